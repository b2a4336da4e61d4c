//! UDP relay that emulates a link between two sites: forwards datagrams both ways under the given link conditions.
//!
//! Invariant: sends only on loopback, and holds at most `MAX_IN_FLIGHT` datagrams.

use crate::link_emulator::{LinkConditions, LinkDirection};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of datagrams in flight; further ones are lost.
const MAX_IN_FLIGHT: usize = 65_536;
/// Maximum number of sockets towards the remote end, one per sender.
const MAX_SENDERS: usize = 64;
/// Interval at which threads check whether to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

struct Scheduled {
    at: f64,
    no: u64,
    bytes: Vec<u8>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.no == other.no
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.no.cmp(&other.no))
    }
}

struct Shared {
    start: Instant,
    conditions: Mutex<LinkConditions>,
    directions: Mutex<([LinkDirection; 2], Pcg64Mcg)>,
    queue: Mutex<(BinaryHeap<Reverse<Scheduled>>, u64)>,
    changed: Condvar,
    stopping: AtomicBool,
}

impl Shared {
    fn schedule(&self, direction: usize, bytes: &[u8], socket: &Arc<UdpSocket>, to: SocketAddr) {
        let now = self.start.elapsed().as_secs_f64();
        let conditions = *self.conditions.lock().unwrap();
        let times = {
            let mut directions = self.directions.lock().unwrap();
            let (directions, rng) = &mut *directions;
            directions[direction].arrivals(now, bytes.len(), direction, &conditions, rng)
        };
        let mut queue = self.queue.lock().unwrap();
        for at in times.into_iter().take(MAX_IN_FLIGHT.saturating_sub(queue.0.len())) {
            queue.1 += 1;
            let no = queue.1;
            queue.0.push(Reverse(Scheduled {
                at,
                no,
                bytes: bytes.to_vec(),
                socket: Arc::clone(socket),
                to,
            }));
        }
        self.changed.notify_one();
    }

    /// Sends each datagram at its arrival time.
    fn send(&self) {
        let mut queue = self.queue.lock().unwrap();
        while !self.stopping.load(Ordering::Relaxed) {
            let now = self.start.elapsed().as_secs_f64();
            let next = queue.0.peek().map(|d| d.0.at);
            match next {
                Some(at) if at <= now => {
                    let Some(Reverse(one)) = queue.0.pop() else { continue };
                    // Errors are ignored: datagrams to a gateway that is not running are lost, as on a real link.
                    _ = one.socket.send_to(&one.bytes, one.to);
                }
                next => {
                    let wait =
                        next.map_or(POLL_INTERVAL, |at| Duration::from_secs_f64(at - now).min(POLL_INTERVAL));
                    queue = self.changed.wait_timeout(queue, wait).unwrap().0;
                }
            }
        }
    }
}

pub struct Relay {
    /// Address to which the local end connects.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

fn bind_socket() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(POLL_INTERVAL))?;
    Ok(socket)
}

fn is_fatal(e: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, Interrupted, TimedOut, WouldBlock};
    // A closed port at the other end is reported as a refused connection on the next call. Reads are interrupted when
    // a suspended process is resumed.
    !matches!(e.kind(), WouldBlock | TimedOut | ConnectionRefused | Interrupted)
}

impl Relay {
    pub fn start(to: SocketAddr, seed: u64, conditions: LinkConditions) -> io::Result<Relay> {
        let listener = Arc::new(bind_socket()?);
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            start: Instant::now(),
            conditions: Mutex::new(conditions),
            directions: Mutex::new((Default::default(), Pcg64Mcg::seed_from_u64(seed))),
            queue: Mutex::default(),
            changed: Condvar::new(),
            stopping: AtomicBool::new(false),
        });
        let sender = Arc::clone(&shared);
        thread::spawn(move || sender.send());
        let receiver = Arc::clone(&shared);
        thread::spawn(move || {
            let (mut bytes, mut return_sockets) =
                (vec![0; 65_536], BTreeMap::<SocketAddr, Arc<UdpSocket>>::new());
            while !receiver.stopping.load(Ordering::Relaxed) {
                let (n, from) = match listener.recv_from(&mut bytes) {
                    Ok(got) => got,
                    Err(e) if is_fatal(&e) => return,
                    Err(_) => continue,
                };
                if !return_sockets.contains_key(&from) {
                    let Ok(return_socket) = bind_socket() else { continue };
                    if return_sockets.len() >= MAX_SENDERS {
                        return_sockets.pop_first();
                    }
                    let return_socket = Arc::new(return_socket);
                    return_sockets.insert(from, Arc::clone(&return_socket));
                    let (shared, listener) = (Arc::clone(&receiver), Arc::clone(&listener));
                    thread::spawn(move || {
                        let mut bytes = vec![0; 65_536];
                        while !shared.stopping.load(Ordering::Relaxed) {
                            match return_socket.recv_from(&mut bytes) {
                                Ok((n, _)) => shared.schedule(1, &bytes[..n], &listener, from),
                                Err(e) if is_fatal(&e) => return,
                                Err(_) => {}
                            }
                        }
                    });
                }
                receiver.schedule(0, &bytes[..n], &return_sockets[&from], to);
            }
        });
        Ok(Relay { address, shared })
    }

    pub fn set_conditions(&self, change: impl FnOnce(&mut LinkConditions)) {
        change(&mut self.shared.conditions.lock().unwrap());
    }

    /// Forwarded and lost datagrams: outbound, return.
    pub fn counts(&self) -> [(u64, u64); 2] {
        let directions = self.shared.directions.lock().unwrap();
        [0, 1].map(|direction| (directions.0[direction].passed, directions.0[direction].lost))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
    }
}
