//! Emulates the network between the gateways of a fleet. The address that a gateway advertises is a socket of this
//! switch, which forwards datagrams to the gateway itself under the link conditions and the blocked paths.
//!
//! Invariant: sends only on loopback, and holds at most `MAX_IN_FLIGHT` datagrams.

use crate::link_emulator::{LinkConditions, LinkDirection};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of datagrams in flight; further ones are lost.
const MAX_IN_FLIGHT: usize = 262_144;
/// Interval at which threads check whether to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The loopback subnet of the current run, 0 to 30. Each run of a process takes the next one, beginning with
/// `KELPCART_RIG_NET`, so that parallel runs can be separated and a run that is still shutting down does not occupy
/// the addresses of the next.
static SUBNET: AtomicU8 = AtomicU8::new(u8::MAX);

/// Reserves the next loopback subnet for a run.
pub fn next_subnet() {
    let first = || std::env::var("KELPCART_RIG_NET").ok().and_then(|n| n.parse::<u8>().ok()).unwrap_or(0);
    let next = |n: u8| if n == u8::MAX { first() } else { n + 1 };
    // Load and store need not be atomic together: the runs of a process are sequential.
    SUBNET.store(next(SUBNET.load(Ordering::SeqCst)) % 31, Ordering::SeqCst);
}

fn subnet(part: u8) -> u8 {
    SUBNET.load(Ordering::SeqCst).min(30) * 7 + 20 + part
}

/// Address `i` in one of the address ranges of a run.
pub fn address(part: u8, i: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, subnet(part), (i / 200) as u8, (i % 200) as u8 + 1], port))
}

/// Address to which gateway `i` of a fleet binds.
pub fn bind_address(i: usize) -> SocketAddr {
    address(0, i, 7_600)
}

/// Address that gateway `i` advertises to the others: a socket of the switch.
pub fn advertised_address(i: usize) -> SocketAddr {
    address(1, i, 7_600)
}

#[derive(Default)]
struct State {
    links: BTreeMap<(usize, usize), LinkDirection>,
    /// Blocked one-way paths (from, to).
    blocked: BTreeSet<(usize, usize)>,
    conditions: LinkConditions,
}

/// A datagram in flight: arrival time in microseconds, sequence number, from, to, and content.
type InFlight = Reverse<(u64, u64, usize, usize, Vec<u8>)>;

struct Shared {
    start: Instant,
    sockets: Vec<UdpSocket>,
    state: Mutex<(State, Pcg64Mcg)>,
    queue: Mutex<(BinaryHeap<InFlight>, u64)>,
    changed: Condvar,
    stopping: AtomicBool,
    passed: AtomicU64,
    bytes: AtomicU64,
}

pub struct Switch {
    shared: Arc<Shared>,
}

impl Switch {
    pub fn start(n: usize, seed: u64, conditions: LinkConditions) -> io::Result<Switch> {
        let sockets = (0..n)
            .map(|i| {
                let socket = UdpSocket::bind(advertised_address(i))?;
                socket.set_read_timeout(Some(POLL_INTERVAL))?;
                Ok(socket)
            })
            .collect::<io::Result<Vec<_>>>()?;
        let state = State { conditions, ..State::default() };
        let shared = Arc::new(Shared {
            start: Instant::now(),
            sockets,
            state: Mutex::new((state, Pcg64Mcg::seed_from_u64(seed))),
            queue: Mutex::default(),
            changed: Condvar::new(),
            stopping: AtomicBool::new(false),
            passed: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        let sender = Arc::clone(&shared);
        thread::spawn(move || sender.send());
        for i in 0..n {
            let receiver = Arc::clone(&shared);
            thread::Builder::new().stack_size(128 * 1024).spawn(move || receiver.read(i))?;
        }
        Ok(Switch { shared })
    }

    pub fn set_conditions(&self, change: impl FnOnce(&mut LinkConditions)) {
        change(&mut self.shared.state.lock().unwrap().0.conditions);
    }

    /// Blocks, or unblocks, each one-way path (from, to) that `matches`.
    pub fn set_blocked(&self, blocked: bool, matches: impl Fn(usize, usize) -> bool) {
        let n = self.shared.sockets.len();
        let mut state = self.shared.state.lock().unwrap();
        for from in 0..n {
            for to in (0..n).filter(|&to| to != from && matches(from, to)) {
                if blocked {
                    state.0.blocked.insert((from, to));
                } else {
                    state.0.blocked.remove(&(from, to));
                }
            }
        }
    }

    /// Forwarded datagrams and bytes.
    pub fn counts(&self) -> (u64, u64) {
        (self.shared.passed.load(Ordering::Relaxed), self.shared.bytes.load(Ordering::Relaxed))
    }
}

impl Shared {
    /// Receives datagrams at the advertised address of `to` and schedules them.
    fn read(&self, to: usize) {
        let mut bytes = vec![0; 2_048];
        while !self.stopping.load(Ordering::Relaxed) {
            let Ok((n, from)) = self.sockets[to].recv_from(&mut bytes) else { continue };
            let SocketAddr::V4(from) = from else { continue };
            let [_, b, c, d] = from.ip().octets();
            let from = usize::from(c) * 200 + usize::from(d).wrapping_sub(1);
            if b != subnet(0) || from >= self.sockets.len() {
                continue;
            }
            let now = self.start.elapsed().as_secs_f64();
            let times = {
                let mut state = self.state.lock().unwrap();
                let (state, rng) = &mut *state;
                if state.blocked.contains(&(from, to)) {
                    continue;
                }
                let conditions = state.conditions;
                state.links.entry((from, to)).or_default().arrivals(now, n, 0, &conditions, rng)
            };
            let mut queue = self.queue.lock().unwrap();
            for at in times.into_iter().take(MAX_IN_FLIGHT.saturating_sub(queue.0.len())) {
                queue.1 += 1;
                let no = queue.1;
                queue.0.push(Reverse(((at * 1e6) as u64, no, from, to, bytes[..n].to_vec())));
            }
            self.changed.notify_one();
        }
    }

    fn send(&self) {
        let mut queue = self.queue.lock().unwrap();
        while !self.stopping.load(Ordering::Relaxed) {
            let now = self.start.elapsed().as_micros() as u64;
            match queue.0.peek().map(|Reverse(d)| d.0) {
                Some(at) if at <= now => {
                    let Some(Reverse((_, _, from, to, bytes))) = queue.0.pop() else { continue };
                    drop(queue);
                    // Errors are ignored: datagrams to a gateway that is not running are lost.
                    _ = self.sockets[from].send_to(&bytes, bind_address(to));
                    self.passed.fetch_add(1, Ordering::Relaxed);
                    self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                    queue = self.queue.lock().unwrap();
                }
                next => {
                    let wait =
                        next.map_or(POLL_INTERVAL, |at| Duration::from_micros(at - now).min(POLL_INTERVAL));
                    queue = self.changed.wait_timeout(queue, wait).unwrap().0;
                }
            }
        }
    }
}

impl Drop for Switch {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.changed.notify_all();
    }
}
