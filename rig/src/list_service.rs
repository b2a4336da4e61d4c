//! The bulletin of a whole fleet as a stand-in that can be swamped: it takes up so many connections a second and writes
//! so many bytes a second to all of them together, one after another; what comes beyond that waits its turn. It counts
//! what it was asked for, can be down, and can die in the middle of a list. Each gateway has an address of its own here,
//! so that one can be cut off.

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

/// What it can do.
#[derive(Clone, Copy, Debug)]
pub struct Bears {
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
    /// Tries that found it down.
    pub refused: u64,
    /// The longest wait for its turn.
    pub longest_wait_ms: u64,
}

struct State {
    events: Vec<Value>,
    counts: Counts,
    open: u64,
    by: BTreeMap<usize, u64>,
    second: (u64, u64),
    /// When it is free for another connection, and for more bytes.
    free: f64,
    free_bytes: f64,
    cut: BTreeSet<usize>,
}

pub struct ListService {
    state: Mutex<State>,
    start: Instant,
    bears: Bears,
    up: AtomicBool,
    /// Connections end after so many bytes; 0: they don't.
    dies_after: AtomicU64,
    more: event_listener::Event,
}

/// Where process `i` reaches one of several list services.
pub fn address(stream: usize, i: usize) -> SocketAddr {
    switch::address(3, i, 7_070 + stream as u16)
}

impl ListService {
    /// `stream`: which of several it is; `first`: the events of the start.
    pub fn start(
        work: &Arc<Executor<'static>>,
        (stream, processes): (usize, usize),
        bears: Bears,
        first: Vec<Value>,
    ) -> io::Result<Arc<ListService>> {
        let service = Arc::new(ListService {
            state: Mutex::new(State {
                events: first,
                counts: Counts::default(),
                open: 0,
                by: BTreeMap::new(),
                second: (0, 0),
                free: 0.0,
                free_bytes: 0.0,
                cut: BTreeSet::new(),
            }),
            start: Instant::now(),
            bears,
            up: AtomicBool::new(true),
            dies_after: AtomicU64::new(0),
            more: event_listener::Event::new(),
        });
        for i in 0..processes {
            let listener = Async::<TcpListener>::bind(address(stream, i))?;
            let (service, on) = (Arc::clone(&service), Arc::clone(work));
            work.spawn(async move {
                loop {
                    let Ok((stream, _)) = listener.accept().await else { return };
                    let service = Arc::clone(&service);
                    // It ends with its gateway.
                    on.spawn(async move { _ = service.tell(i, stream).await }).detach();
                }
            })
            .detach();
        }
        Ok(service)
    }

    /// Adds an event; gives its number.
    pub fn push(&self, what: &str, value: Value) -> u64 {
        let mut state = self.state.lock().unwrap();
        let no = state.events.len() as u64 + 1;
        state.events.push(json!({"no": no, what: value}));
        drop(state);
        self.more.notify(usize::MAX);
        no
    }

    pub fn set_up(&self, is: bool) {
        self.up.store(is, Ordering::SeqCst);
        self.more.notify(usize::MAX);
    }

    pub fn die_after(&self, bytes: u64) {
        self.dies_after.store(bytes, Ordering::SeqCst);
    }

    pub fn cut(&self, is: bool, of: impl Fn(usize) -> bool) {
        let mut state = self.state.lock().unwrap();
        for i in (0..4_000).filter(|&i| of(i)) {
            if is {
                state.cut.insert(i);
            } else {
                state.cut.remove(&i);
            }
        }
        drop(state);
        self.more.notify(usize::MAX);
    }

    pub fn counts(&self) -> Counts {
        self.state.lock().unwrap().counts
    }

    /// The number of the last event.
    pub fn last(&self) -> u64 {
        self.state.lock().unwrap().events.len() as u64
    }

    /// The processes that are connected now.
    pub fn connected(&self) -> Vec<usize> {
        self.state.lock().unwrap().by.keys().copied().collect()
    }

    fn reached_by(&self, i: usize) -> bool {
        self.up.load(Ordering::SeqCst) && !self.state.lock().unwrap().cut.contains(&i)
    }

    async fn tell(&self, i: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
        if !self.reached_by(i) {
            self.state.lock().unwrap().counts.refused += 1;
            return Ok(());
        }
        let wait = {
            let now = self.start.elapsed().as_secs_f64();
            let mut state = self.state.lock().unwrap();
            state.open += 1;
            *state.by.entry(i).or_default() += 1;
            let begun = state.free.max(now);
            state.free = begun + 1.0 / self.bears.connections_per_s;
            let (second, open) = (now as u64, state.open);
            state.second = if state.second.0 == second { (second, state.second.1 + 1) } else { (second, 1) };
            let in_second = state.second.1;
            let counts = &mut state.counts;
            counts.connections += 1;
            counts.most_at_once = counts.most_at_once.max(open);
            counts.most_in_a_second = counts.most_in_a_second.max(in_second);
            counts.longest_wait_ms = counts.longest_wait_ms.max(((begun - now) * 1e3) as u64);
            begun - now
        };
        Timer::after(Duration::from_secs_f64(wait)).await;
        let told = self.events(i, &mut stream).await;
        let mut state = self.state.lock().unwrap();
        state.open -= 1;
        let left = state.by.entry(i).or_default();
        *left -= 1;
        if *left == 0 {
            state.by.remove(&i);
        }
        told
    }

    async fn events(&self, i: usize, stream: &mut Async<TcpStream>) -> io::Result<()> {
        let mut asked = Vec::new();
        let mut byte = [0];
        while stream.read(&mut byte).await? == 1 && byte[0] != b'\n' && asked.len() < 64 {
            asked.push(byte[0]);
        }
        let asked = String::from_utf8_lossy(&asked).into_owned();
        let mut sent: u64 = asked.trim().strip_prefix("after ").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut bytes = 0u64;
        while self.reached_by(i) {
            let more = self.more.listen();
            let (text, wait) = {
                let now = self.start.elapsed().as_secs_f64();
                let mut state = self.state.lock().unwrap();
                let last = state.events.len() as u64;
                let mut text: String =
                    state.events.iter().skip(sent as usize).map(|e| format!("{e}\n")).collect();
                let lines = last.saturating_sub(sent) + 1;
                sent = sent.max(last);
                text.push_str(&format!("{last}\n"));
                state.counts.lines += lines;
                state.counts.bytes += text.len() as u64;
                let begun = state.free_bytes.max(now);
                state.free_bytes = begun + text.len() as f64 / 1024.0 / self.bears.kb_per_s;
                (text, state.free_bytes - now)
            };
            Timer::after(Duration::from_secs_f64(wait)).await;
            let dies = self.dies_after.load(Ordering::SeqCst);
            if dies > 0 && bytes + text.len() as u64 > dies {
                let part = (dies.saturating_sub(bytes) as usize).min(text.len());
                stream.write_all(&text.as_bytes()[..part]).await?;
                return Ok(());
            }
            stream.write_all(text.as_bytes()).await?;
            bytes += text.len() as u64;
            let pause = async { _ = Timer::after(Duration::from_secs(1)).await };
            let left = async {
                // A gateway that closes says nothing more.
                let mut one = [0];
                _ = stream.read(&mut one).await;
                false
            };
            let goes_on = async {
                future::or(more, pause).await;
                true
            };
            if !future::or(goes_on, left).await {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Runs tasks on a few threads until the sender is dropped.
pub fn drive(work: &Arc<Executor<'static>>, threads: usize, ends: &Receiver<()>) {
    for _ in 0..threads {
        let (work, ends) = (Arc::clone(work), ends.clone());
        std::thread::spawn(move || async_io::block_on(work.run(async { _ = ends.recv().await })));
    }
}
