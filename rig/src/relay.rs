//! A link between sites as a stand-in: passes datagrams both ways and does to them what its weather says. Must never
//! send anywhere but on loopback, nor hold more than its bound.

use crate::lane::{Lane, Weather};
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

/// Datagrams under way; beyond that, new ones are lost.
const MOST: usize = 65_536;
/// Sockets towards the far end, one for each sender.
const MOST_SENDERS: usize = 64;
/// How often a thread looks whether it is to end.
const LOOKS: Duration = Duration::from_millis(100);

struct Due {
    at: f64,
    no: u64,
    bytes: Vec<u8>,
    by: Arc<UdpSocket>,
    to: SocketAddr,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.no == other.no
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.no.cmp(&other.no))
    }
}

struct Shared {
    start: Instant,
    weather: Mutex<Weather>,
    lanes: Mutex<([Lane; 2], Pcg64Mcg)>,
    due: Mutex<(BinaryHeap<Reverse<Due>>, u64)>,
    changed: Condvar,
    ends: AtomicBool,
}

impl Shared {
    fn pass(&self, way: usize, bytes: &[u8], by: &Arc<UdpSocket>, to: SocketAddr) {
        let now = self.start.elapsed().as_secs_f64();
        let weather = *self.weather.lock().unwrap();
        let times = {
            let mut lanes = self.lanes.lock().unwrap();
            let (lanes, rng) = &mut *lanes;
            lanes[way].pass(now, bytes.len(), way, &weather, rng)
        };
        let mut due = self.due.lock().unwrap();
        for at in times.into_iter().take(MOST.saturating_sub(due.0.len())) {
            due.1 += 1;
            let no = due.1;
            due.0.push(Reverse(Due { at, no, bytes: bytes.to_vec(), by: Arc::clone(by), to }));
        }
        self.changed.notify_one();
    }

    /// Sends each when it is due.
    fn send(&self) {
        let mut due = self.due.lock().unwrap();
        while !self.ends.load(Ordering::Relaxed) {
            let now = self.start.elapsed().as_secs_f64();
            let next = due.0.peek().map(|d| d.0.at);
            match next {
                Some(at) if at <= now => {
                    let Some(Reverse(one)) = due.0.pop() else { continue };
                    // A gateway that is not there is a link into nowhere.
                    _ = one.by.send_to(&one.bytes, one.to);
                }
                next => {
                    let wait = next.map_or(LOOKS, |at| Duration::from_secs_f64(at - now).min(LOOKS));
                    due = self.changed.wait_timeout(due, wait).unwrap().0;
                }
            }
        }
    }
}

pub struct Relay {
    /// Where the near end connects.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

fn socket() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(LOOKS))?;
    Ok(socket)
}

fn over(e: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, Interrupted, TimedOut, WouldBlock};
    // A closed port at the other end is told as a refusal on the next call; a process that was stopped and goes on has its
    // reads interrupted.
    !matches!(e.kind(), WouldBlock | TimedOut | ConnectionRefused | Interrupted)
}

impl Relay {
    pub fn start(to: SocketAddr, seed: u64, weather: Weather) -> io::Result<Relay> {
        let front = Arc::new(socket()?);
        let address = front.local_addr()?;
        let shared = Arc::new(Shared {
            start: Instant::now(),
            weather: Mutex::new(weather),
            lanes: Mutex::new((Default::default(), Pcg64Mcg::seed_from_u64(seed))),
            due: Mutex::default(),
            changed: Condvar::new(),
            ends: AtomicBool::new(false),
        });
        let sends = Arc::clone(&shared);
        thread::spawn(move || sends.send());
        let reads = Arc::clone(&shared);
        thread::spawn(move || {
            let (mut bytes, mut backs) = (vec![0; 65_536], BTreeMap::<SocketAddr, Arc<UdpSocket>>::new());
            while !reads.ends.load(Ordering::Relaxed) {
                let (n, from) = match front.recv_from(&mut bytes) {
                    Ok(got) => got,
                    Err(e) if over(&e) => return,
                    Err(_) => continue,
                };
                if !backs.contains_key(&from) {
                    let Ok(back) = socket() else { continue };
                    if backs.len() >= MOST_SENDERS {
                        backs.pop_first();
                    }
                    let back = Arc::new(back);
                    backs.insert(from, Arc::clone(&back));
                    let (shared, front) = (Arc::clone(&reads), Arc::clone(&front));
                    thread::spawn(move || {
                        let mut bytes = vec![0; 65_536];
                        while !shared.ends.load(Ordering::Relaxed) {
                            match back.recv_from(&mut bytes) {
                                Ok((n, _)) => shared.pass(1, &bytes[..n], &front, from),
                                Err(e) if over(&e) => return,
                                Err(_) => {}
                            }
                        }
                    });
                }
                reads.pass(0, &bytes[..n], &backs[&from], to);
            }
        });
        Ok(Relay { address, shared })
    }

    pub fn set(&self, change: impl FnOnce(&mut Weather)) {
        change(&mut self.shared.weather.lock().unwrap());
    }

    /// Datagrams that were passed and lost, there and back.
    pub fn counts(&self) -> [(u64, u64); 2] {
        let lanes = self.shared.lanes.lock().unwrap();
        [0, 1].map(|way| (lanes.0[way].passed, lanes.0[way].lost))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
    }
}
