//! Simulated discovery service of a fleet, with limited capacity: connections per second and bytes per second are
//! limited for all gateways together, and excess load queues. It counts its load, can be unavailable, and can close
//! connections in the middle of a list. Each gateway reaches it at an address of its own, so that a single gateway
//! can be cut off.

use crate::switch;
use async_channel::Receiver;
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Capacity of the service, shared by all connections.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    pub connections_per_s: f64,
    pub kb_per_s: f64,
}

#[derive(Clone, Copy, Debug, Default, serde::Serialize, PartialEq)]
pub struct Counts {
    pub connections: u64,
    pub most_at_once: u64,
    pub most_in_a_second: u64,
    pub lines: u64,
    pub bytes: u64,
    /// Connections refused while the service was unavailable to the gateway.
    pub refused: u64,
    /// Longest time that a connection waited in the queue.
    pub longest_wait_ms: u64,
}

struct State {
    events: Vec<Value>,
    counts: Counts,
    open: u64,
    /// Open connections of each gateway.
    connected_by: BTreeMap<usize, u64>,
    current_second: (u64, u64),
    /// When the capacity admits the next connection, and the next write, in seconds from the start.
    next_accept_at: f64,
    next_write_at: f64,
    /// Gateways that are cut off.
    unreachable: BTreeSet<usize>,
}

pub struct FleetDiscovery {
    state: Mutex<State>,
    start: Instant,
    capacity: Capacity,
    available: AtomicBool,
    /// Connections are closed after this many bytes; 0 means never.
    close_after_bytes: AtomicU64,
    changed: event_listener::Event,
}

/// Address at which process `i` reaches the service of this stream.
pub fn address(stream: usize, i: usize) -> SocketAddr {
    switch::address(3, i, 7_070 + stream as u16)
}

impl FleetDiscovery {
    /// `stream`: number of this service among several; `first`: its initial events.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        (stream, processes): (usize, usize),
        capacity: Capacity,
        first: Vec<Value>,
    ) -> io::Result<Arc<FleetDiscovery>> {
        let service = Arc::new(FleetDiscovery {
            state: Mutex::new(State {
                events: first,
                counts: Counts::default(),
                open: 0,
                connected_by: BTreeMap::new(),
                current_second: (0, 0),
                next_accept_at: 0.0,
                next_write_at: 0.0,
                unreachable: BTreeSet::new(),
            }),
            start: Instant::now(),
            capacity,
            available: AtomicBool::new(true),
            close_after_bytes: AtomicU64::new(0),
            changed: event_listener::Event::new(),
        });
        for i in 0..processes {
            let listener = Async::<TcpListener>::bind(address(stream, i))?;
            let (service, on) = (Arc::clone(&service), Arc::clone(executor));
            executor
                .spawn(async move {
                    loop {
                        let Ok((stream, _)) = listener.accept().await else { return };
                        let service = Arc::clone(&service);
                        // The task ends with the gateway's connection.
                        on.spawn(async move { _ = service.serve(i, stream).await }).detach();
                    }
                })
                .detach();
        }
        Ok(service)
    }

    /// Publishes an event and returns its number.
    pub fn push(&self, kind: &str, value: Value) -> u64 {
        let mut state = self.state.lock().unwrap();
        let no = state.events.len() as u64 + 1;
        state.events.push(json!({"no": no, kind: value}));
        drop(state);
        self.changed.notify(usize::MAX);
        no
    }

    pub fn set_available(&self, available: bool) {
        self.available.store(available, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    pub fn set_close_after(&self, bytes: u64) {
        self.close_after_bytes.store(bytes, Ordering::SeqCst);
    }

    pub fn set_unreachable(&self, unreachable: bool, matches: impl Fn(usize) -> bool) {
        let mut state = self.state.lock().unwrap();
        for i in (0..4_000).filter(|&i| matches(i)) {
            if unreachable {
                state.unreachable.insert(i);
            } else {
                state.unreachable.remove(&i);
            }
        }
        drop(state);
        self.changed.notify(usize::MAX);
    }

    pub fn counts(&self) -> Counts {
        self.state.lock().unwrap().counts
    }

    /// Number of the last published event.
    pub fn last_event_no(&self) -> u64 {
        self.state.lock().unwrap().events.len() as u64
    }

    /// Processes that are connected at the moment.
    pub fn connected(&self) -> Vec<usize> {
        self.state.lock().unwrap().connected_by.keys().copied().collect()
    }

    fn is_reachable_by(&self, i: usize) -> bool {
        self.available.load(Ordering::SeqCst) && !self.state.lock().unwrap().unreachable.contains(&i)
    }

    async fn serve(&self, i: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
        if !self.is_reachable_by(i) {
            self.state.lock().unwrap().counts.refused += 1;
            return Ok(());
        }
        let wait = {
            let now = self.start.elapsed().as_secs_f64();
            let mut state = self.state.lock().unwrap();
            state.open += 1;
            *state.connected_by.entry(i).or_default() += 1;
            let starts_at = state.next_accept_at.max(now);
            state.next_accept_at = starts_at + 1.0 / self.capacity.connections_per_s;
            let (current_second, open) = (now as u64, state.open);
            state.current_second = if state.current_second.0 == current_second {
                (current_second, state.current_second.1 + 1)
            } else {
                (current_second, 1)
            };
            let in_second = state.current_second.1;
            let counts = &mut state.counts;
            counts.connections += 1;
            counts.most_at_once = counts.most_at_once.max(open);
            counts.most_in_a_second = counts.most_in_a_second.max(in_second);
            counts.longest_wait_ms = counts.longest_wait_ms.max(((starts_at - now) * 1e3) as u64);
            starts_at - now
        };
        Timer::after(Duration::from_secs_f64(wait)).await;
        let result = self.stream_events(i, &mut stream).await;
        let mut state = self.state.lock().unwrap();
        state.open -= 1;
        let left = state.connected_by.entry(i).or_default();
        *left -= 1;
        if *left == 0 {
            state.connected_by.remove(&i);
        }
        result
    }

    async fn stream_events(&self, i: usize, stream: &mut Async<TcpStream>) -> io::Result<()> {
        let mut request = Vec::new();
        let mut byte = [0];
        while stream.read(&mut byte).await? == 1 && byte[0] != b'\n' && request.len() < 64 {
            request.push(byte[0]);
        }
        let request = String::from_utf8_lossy(&request).into_owned();
        let mut sent: u64 = request.trim().strip_prefix("after ").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut bytes = 0u64;
        while self.is_reachable_by(i) {
            let notified = self.changed.listen();
            let (text, wait) = {
                let now = self.start.elapsed().as_secs_f64();
                let mut state = self.state.lock().unwrap();
                let last_event_no = state.events.len() as u64;
                let mut text: String =
                    state.events.iter().skip(sent as usize).map(|e| format!("{e}\n")).collect();
                let lines = last_event_no.saturating_sub(sent) + 1;
                sent = sent.max(last_event_no);
                text.push_str(&format!("{last_event_no}\n"));
                state.counts.lines += lines;
                state.counts.bytes += text.len() as u64;
                let starts_at = state.next_write_at.max(now);
                state.next_write_at = starts_at + text.len() as f64 / 1024.0 / self.capacity.kb_per_s;
                (text, state.next_write_at - now)
            };
            Timer::after(Duration::from_secs_f64(wait)).await;
            let close_after = self.close_after_bytes.load(Ordering::SeqCst);
            if close_after > 0 && bytes + text.len() as u64 > close_after {
                let part = (close_after.saturating_sub(bytes) as usize).min(text.len());
                stream.write_all(&text.as_bytes()[..part]).await?;
                return Ok(());
            }
            stream.write_all(text.as_bytes()).await?;
            bytes += text.len() as u64;
            let pause = async { _ = Timer::after(Duration::from_secs(1)).await };
            let closed = async {
                // Gateways send nothing after the request, so the read returns when they close the connection.
                let mut one = [0];
                _ = stream.read(&mut one).await;
                false
            };
            let continues = async {
                future::or(notified, pause).await;
                true
            };
            if !future::or(continues, closed).await {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Runs the executor on `threads` threads until the sender of `stop` is dropped.
pub fn run_executor(executor: &Arc<Executor<'static>>, threads: usize, stop: &Receiver<()>) {
    for _ in 0..threads {
        let (executor, stop) = (Arc::clone(executor), stop.clone());
        std::thread::spawn(move || async_io::block_on(executor.run(async { _ = stop.recv().await })));
    }
}
