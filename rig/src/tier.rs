//! The caches, parents and the central store of a fleet as stand-ins that fall over: past their connections, and past the
//! fills that they bear while they are cold. One that has fallen closes all, refuses for a while and is back empty.
//! Times are slept, not worked; the store counts how often each object was fetched and each write ran.

use crate::caches::{MOST_BODY, Place, body, unix_ms};
use crate::switch;
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MARK: usize = 16;
/// A purge has come to all caches by then.
pub const DROPPED_MS: u64 = 5_500;

/// What one of them bears.
#[derive(Clone, Copy, Debug)]
pub struct Bears {
    pub connections: usize,
    /// Fills under way at once while it is cold.
    pub cold_fills: usize,
    pub cold_for: Duration,
    pub down_for: Duration,
}

#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub hit: Duration,
    pub fill: Duration,
    pub origin: Duration,
}

#[derive(Clone, Copy, Debug, Default, serde::Serialize, PartialEq)]
pub struct Counts {
    pub most_connections: usize,
    pub connections: u64,
    pub most_cold_fills: usize,
    pub fallen: u64,
}

#[derive(Default)]
struct Cache {
    counts: Counts,
    open: usize,
    filling: usize,
    copies: BTreeMap<u64, u64>,
    /// Each fall ends the connections of the life before.
    life: u64,
    down_until: Option<Instant>,
    cold_since: Option<Instant>,
    slow: Duration,
    bad: bool,
}

struct State {
    caches: BTreeMap<String, Cache>,
    /// By object: how often the store was asked for it.
    fetched: BTreeMap<u64, u64>,
    ran: BTreeMap<u64, u32>,
    /// By object: when it was purged, in order.
    purged: BTreeMap<u64, Vec<u64>>,
}

pub struct Tier {
    state: Mutex<State>,
    times: Times,
    bears: Bears,
    len: fn(u64) -> usize,
    fell: event_listener::Event,
}

/// Counts back when it is dropped.
struct In<'a>(&'a Tier, &'a str, fn(&mut Cache));

impl Drop for In<'_> {
    fn drop(&mut self) {
        self.0.with(self.1, self.2);
    }
}

struct Asked {
    object: u64,
    trace: u64,
    write: bool,
    oldest: u64,
    source: Option<String>,
    only: bool,
}

pub fn address(i: usize) -> SocketAddr {
    switch::address(4, i, 8_080)
}

impl Tier {
    /// Members by name and kind, each at an address of its own.
    pub fn start(
        work: &Arc<Executor<'static>>,
        members: &[(String, &'static str)],
        (times, bears): (Times, Bears),
        len: fn(u64) -> usize,
    ) -> io::Result<(Arc<Tier>, Vec<Place>)> {
        let cold = |_: &(String, &str)| Cache { cold_since: Some(Instant::now()), ..Cache::default() };
        let caches = members.iter().map(|m| (m.0.clone(), cold(m))).collect();
        let (fetched, ran, purged) = Default::default();
        let state = Mutex::new(State { caches, fetched, ran, purged });
        let tier = Arc::new(Tier { state, times, bears, len, fell: event_listener::Event::new() });
        let mut places = Vec::new();
        for (i, (name, kind)) in members.iter().enumerate() {
            let listener = Async::<TcpListener>::bind(address(i))?;
            let place = Place { name: name.clone(), kind, address: address(i) };
            places.push(place.clone());
            let (tier, on) = (Arc::clone(&tier), Arc::clone(work));
            work.spawn(async move {
                loop {
                    let Ok((stream, _)) = listener.accept().await else { return };
                    let (tier, place) = (Arc::clone(&tier), place.clone());
                    // It ends with the connection.
                    on.spawn(async move { _ = tier.serve(&place, stream).await }).detach();
                }
            })
            .detach();
        }
        Ok((tier, places))
    }

    fn with<T>(&self, name: &str, act: impl FnOnce(&mut Cache) -> T) -> T {
        let mut state = self.state.lock().unwrap();
        act(state.caches.entry(name.to_owned()).or_default())
    }

    /// From here on it answers that much later, or with errors.
    pub fn spoil(&self, name: &str, slow: Duration, bad: bool) {
        self.with(name, |c| (c.slow, c.bad) = (slow, bad));
    }

    pub fn purge(&self, object: u64, at_ms: u64) {
        self.state.lock().unwrap().purged.entry(object).or_default().push(at_ms);
    }

    pub fn counts(&self) -> BTreeMap<String, Counts> {
        self.state.lock().unwrap().caches.iter().map(|(n, c)| (n.clone(), c.counts)).collect()
    }

    /// How often the store was asked for an object that it was asked for at all: mean and most; and how many there are.
    pub fn fetches(&self) -> (f64, u64, usize) {
        let state = self.state.lock().unwrap();
        let (n, sum) = (state.fetched.len(), state.fetched.values().sum::<u64>());
        (sum as f64 / n.max(1) as f64, state.fetched.values().copied().max().unwrap_or(0), n)
    }

    pub fn ran(&self) -> BTreeMap<u64, u32> {
        self.state.lock().unwrap().ran.clone()
    }

    fn fall(&self, c: &mut Cache) {
        c.counts.fallen += 1;
        c.life += 1;
        c.copies.clear();
        c.down_until = Some(Instant::now() + self.bears.down_for);
        c.cold_since = c.down_until;
        self.fell.notify(usize::MAX);
    }

    async fn serve(&self, place: &Place, stream: Async<TcpStream>) -> io::Result<()> {
        let most = if place.kind == "origin" { usize::MAX } else { self.bears.connections };
        let life = self.with(&place.name, |c| {
            if c.down_until.is_some_and(|at| at > Instant::now()) {
                return None;
            }
            c.open += 1;
            c.counts.connections += 1;
            c.counts.most_connections = c.counts.most_connections.max(c.open);
            if c.open > most {
                self.fall(c);
            }
            Some(c.life)
        });
        let Some(life) = life else { return Ok(()) };
        let _in = In(self, &place.name, |c| c.open -= 1);
        let fallen = async {
            loop {
                let fell = self.fell.listen();
                if self.with(&place.name, |c| c.life != life) {
                    return Ok(());
                }
                fell.await;
            }
        };
        future::or(self.talk(place, stream), fallen).await
    }

    async fn talk(&self, place: &Place, mut stream: Async<TcpStream>) -> io::Result<()> {
        let mut held = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = held.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at + 4;
                }
                let mut bytes = [0; 4_096];
                let n = stream.read(&mut bytes).await?;
                if n == 0 || held.len() > 64 * 1024 {
                    return Ok(());
                }
                held.extend_from_slice(&bytes[..n]);
            };
            let head = String::from_utf8_lossy(&held[..end]).into_owned();
            let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
            let length: usize = field("Content-Length").and_then(|n| n.parse().ok()).unwrap_or(0);
            while held.len() < end + length {
                let mut bytes = [0; 4_096];
                let n = stream.read(&mut bytes).await?;
                if n == 0 {
                    return Ok(());
                }
                held.extend_from_slice(&bytes[..n]);
            }
            let path = head.split(' ').nth(1).unwrap_or_default();
            let object = path.split('/').nth(3).and_then(|o| u64::from_str_radix(o, 16).ok());
            let Some(object) = object else { return Ok(()) };
            let asked = Asked {
                object,
                trace: field("X-Trace").and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or(0),
                write: length > 0,
                oldest: field("X-Max-Age-Ms")
                    .and_then(|t| t.parse().ok())
                    .filter(|ms| *ms > 0)
                    .unwrap_or(u64::MAX),
                source: field("X-Fill-From").map(str::to_owned),
                only: field("X-Flags").is_some_and(|f| f.split('+').any(|f| f == "have-only")),
            };
            held.drain(..end + length);
            let (slow, bad) = self.with(&place.name, |c| (c.slow, c.bad));
            Timer::after(slow).await;
            if bad {
                stream.write_all(b"HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            match self.answer(place, &asked).await {
                Some((bytes, note, waited)) => {
                    let born = u64::from_be_bytes(bytes[8..MARK].try_into().unwrap_or_default());
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nETag: {object:016x}\r\nX-Born-Ms: {born}\r\nX-Result: {note}\r\n\
                        X-Waited-Ms: {waited}\r\nContent-Length: {}\r\n\r\n",
                        bytes.len()
                    );
                    stream.write_all(&[head.as_bytes(), &bytes].concat()).await?;
                }
                None => stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?,
            }
        }
    }

    async fn answer(&self, place: &Place, asked: &Asked) -> Option<(Vec<u8>, &'static str, u64)> {
        let object = asked.object;
        if asked.write {
            Timer::after(self.times.origin).await;
            *self.state.lock().unwrap().ran.entry(asked.trace).or_default() += 1;
            return Some((body(object, unix_ms(), MARK), "hit", 0));
        }
        let len = (self.len)(object).min(MOST_BODY);
        let held = |name: &str| {
            let state = self.state.lock().unwrap();
            let born = state.caches.get(name)?.copies.get(&object).copied()?;
            let purges = state.purged.get(&object).map(Vec::as_slice).unwrap_or_default();
            let first = purges.get(purges.partition_point(|at| *at <= born));
            let purged = first.is_some_and(|at| unix_ms() >= at + DROPPED_MS);
            (unix_ms().saturating_sub(born) <= asked.oldest && !purged).then_some(born)
        };
        let is_origin = place.kind == "origin";
        if let Some(born) = held(&place.name).filter(|_| !is_origin) {
            Timer::after(self.times.hit).await;
            return Some((body(object, born, len), "hit", 0));
        }
        let source = asked.source.as_deref().filter(|s| *s != place.name);
        if !is_origin && source.is_none() {
            return None;
        }
        // From here on it is a fill, and a cold cache bears only so many.
        let bears = self.bears;
        self.with(&place.name, |c| {
            c.filling += 1;
            let cold = c.cold_since.is_some_and(|at| at.elapsed() < bears.cold_for);
            if cold && !is_origin {
                c.counts.most_cold_fills = c.counts.most_cold_fills.max(c.filling);
                if c.filling > bears.cold_fills {
                    self.fall(c);
                }
            }
        });
        let _in = In(self, &place.name, |c| c.filling -= 1);
        let keep = |name: &str, born: u64| {
            let life = self.with(name, |c| c.down_until.is_none_or(|at| at <= Instant::now()));
            if life {
                self.with(name, |c| _ = c.copies.insert(object, born));
            }
        };
        if let Some(born) = source.and_then(held) {
            Timer::after(self.times.fill).await;
            keep(&place.name, born);
            return Some((body(object, born, len), "filled", self.times.fill.as_millis() as u64));
        }
        if asked.only {
            return None;
        }
        *self.state.lock().unwrap().fetched.entry(object).or_default() += 1;
        Timer::after(self.times.fill + self.times.origin).await;
        let born = unix_ms();
        keep(&place.name, born);
        if let Some(source) = source {
            keep(source, born);
        }
        Some((
            body(object, born, len),
            "via_origin",
            (self.times.fill + self.times.origin).as_millis() as u64,
        ))
    }

    /// Names of the caches that are down now.
    pub fn down(&self) -> BTreeSet<String> {
        let state = self.state.lock().unwrap();
        let down = |c: &&Cache| c.down_until.is_some_and(|at| at > Instant::now());
        state.caches.iter().filter(|(_, c)| down(c)).map(|(n, _)| n.clone()).collect()
    }
}
