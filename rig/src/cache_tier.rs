//! Simulated caches, parents and origin of a fleet that fail under overload: beyond their connection limit, and
//! beyond their limit of concurrent fills while cold. A failed cache closes all connections, refuses new ones for a
//! while and comes back empty. Service times are slept and use no CPU. The origin counts the fetches of each object
//! and the executions of each write.

use crate::caches::{CacheEndpoint, MAX_BODY_BYTES, body, unix_ms};
use crate::switch;
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Object number and creation time at the start of each body.
const HEADER_BYTES: usize = 16;
/// All caches have applied a purge this long after it.
pub const PURGE_APPLIED_MS: u64 = 5_500;

/// Load beyond which a cache or parent fails, and how long it stays down.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Limit of open connections.
    pub connections: usize,
    /// Limit of concurrent fills while cold.
    pub cold_fills: usize,
    /// How long a member is cold after its start.
    pub cold_for: Duration,
    /// How long a failed member refuses connections.
    pub down_for: Duration,
}

/// Simulated service times.
#[derive(Clone, Copy, Debug)]
pub struct Latencies {
    pub hit: Duration,
    pub fill: Duration,
    pub origin: Duration,
}

#[derive(Clone, Copy, Debug, Default, serde::Serialize, PartialEq)]
pub struct Counts {
    pub most_connections: usize,
    pub connections: u64,
    pub most_cold_fills: usize,
    /// Number of failures from overload.
    pub fallen: u64,
}

#[derive(Default)]
struct Cache {
    counts: Counts,
    open: usize,
    filling: usize,
    /// Creation time (Unix ms) of each copy, by object.
    copies: BTreeMap<u64, u64>,
    /// Incremented by each failure, which closes the connections of earlier generations.
    generation: u64,
    down_until: Option<Instant>,
    cold_since: Option<Instant>,
    slow: Duration,
    failing: bool,
}

struct State {
    caches: BTreeMap<String, Cache>,
    /// Fetches from the origin by object.
    fetched: BTreeMap<u64, u64>,
    /// Executions of each write, by trace id.
    executions: BTreeMap<u64, u32>,
    /// Purge times (Unix ms) by object, ascending.
    purges: BTreeMap<u64, Vec<u64>>,
}

pub struct CacheTier {
    state: Mutex<State>,
    latencies: Latencies,
    capacity: Capacity,
    len: fn(u64) -> usize,
    failed: event_listener::Event,
}

/// Applies a change to a cache's counters when dropped.
struct CountGuard<'a>(&'a CacheTier, &'a str, fn(&mut Cache));

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.with(self.1, self.2);
    }
}

struct CacheRequest {
    object: u64,
    trace: u64,
    write: bool,
    max_age_ms: u64,
    source: Option<String>,
    have_only: bool,
}

/// Address of member `i`.
pub fn address(i: usize) -> SocketAddr {
    switch::address(4, i, 8_080)
}

impl CacheTier {
    /// Starts the members, given by name and kind, each at an address of its own.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        members: &[(String, &'static str)],
        (latencies, capacity): (Latencies, Capacity),
        len: fn(u64) -> usize,
    ) -> io::Result<(Arc<CacheTier>, Vec<CacheEndpoint>)> {
        let cold = |_: &(String, &str)| Cache { cold_since: Some(Instant::now()), ..Cache::default() };
        let caches = members.iter().map(|m| (m.0.clone(), cold(m))).collect();
        let (fetched, executions, purges) = Default::default();
        let state = Mutex::new(State { caches, fetched, executions, purges });
        let tier =
            Arc::new(CacheTier { state, latencies, capacity, len, failed: event_listener::Event::new() });
        let mut endpoints = Vec::new();
        for (i, (name, kind)) in members.iter().enumerate() {
            let listener = Async::<TcpListener>::bind(address(i))?;
            let endpoint = CacheEndpoint { name: name.clone(), kind, address: address(i) };
            endpoints.push(endpoint.clone());
            let (tier, on) = (Arc::clone(&tier), Arc::clone(executor));
            executor
                .spawn(async move {
                    loop {
                        let Ok((stream, _)) = listener.accept().await else { return };
                        let (tier, endpoint) = (Arc::clone(&tier), endpoint.clone());
                        // The task ends with the connection.
                        on.spawn(async move { _ = tier.serve(&endpoint, stream).await }).detach();
                    }
                })
                .detach();
        }
        Ok((tier, endpoints))
    }

    fn with<T>(&self, name: &str, act: impl FnOnce(&mut Cache) -> T) -> T {
        let mut state = self.state.lock().unwrap();
        act(state.caches.entry(name.to_owned()).or_default())
    }

    /// From now on the cache answers `slow` later, or with errors if `failing`.
    pub fn set_fault(&self, name: &str, slow: Duration, failing: bool) {
        self.with(name, |c| (c.slow, c.failing) = (slow, failing));
    }

    pub fn purge(&self, object: u64, at_ms: u64) {
        self.state.lock().unwrap().purges.entry(object).or_default().push(at_ms);
    }

    pub fn counts(&self) -> BTreeMap<String, Counts> {
        self.state.lock().unwrap().caches.iter().map(|(n, c)| (n.clone(), c.counts)).collect()
    }

    /// Origin fetches per fetched object: mean, maximum, and the number of such objects.
    pub fn fetches(&self) -> (f64, u64, usize) {
        let state = self.state.lock().unwrap();
        let (n, sum) = (state.fetched.len(), state.fetched.values().sum::<u64>());
        (sum as f64 / n.max(1) as f64, state.fetched.values().copied().max().unwrap_or(0), n)
    }

    pub fn executions(&self) -> BTreeMap<u64, u32> {
        self.state.lock().unwrap().executions.clone()
    }

    fn fail(&self, c: &mut Cache) {
        c.counts.fallen += 1;
        c.generation += 1;
        c.copies.clear();
        c.down_until = Some(Instant::now() + self.capacity.down_for);
        c.cold_since = c.down_until;
        self.failed.notify(usize::MAX);
    }

    async fn serve(&self, endpoint: &CacheEndpoint, stream: Async<TcpStream>) -> io::Result<()> {
        let max_connections = if endpoint.kind == "origin" { usize::MAX } else { self.capacity.connections };
        let generation = self.with(&endpoint.name, |c| {
            if c.down_until.is_some_and(|at| at > Instant::now()) {
                return None;
            }
            c.open += 1;
            c.counts.connections += 1;
            c.counts.most_connections = c.counts.most_connections.max(c.open);
            if c.open > max_connections {
                self.fail(c);
            }
            Some(c.generation)
        });
        let Some(generation) = generation else { return Ok(()) };
        let _guard = CountGuard(self, &endpoint.name, |c| c.open -= 1);
        let fallen = async {
            loop {
                let failed = self.failed.listen();
                if self.with(&endpoint.name, |c| c.generation != generation) {
                    return Ok(());
                }
                failed.await;
            }
        };
        future::or(self.serve_requests(endpoint, stream), fallen).await
    }

    async fn serve_requests(&self, endpoint: &CacheEndpoint, mut stream: Async<TcpStream>) -> io::Result<()> {
        let mut cached = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = cached.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at + 4;
                }
                let mut bytes = [0; 4_096];
                let n = stream.read(&mut bytes).await?;
                if n == 0 || cached.len() > 64 * 1024 {
                    return Ok(());
                }
                cached.extend_from_slice(&bytes[..n]);
            };
            let head = String::from_utf8_lossy(&cached[..end]).into_owned();
            let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
            let length: usize = field("Content-Length").and_then(|n| n.parse().ok()).unwrap_or(0);
            while cached.len() < end + length {
                let mut bytes = [0; 4_096];
                let n = stream.read(&mut bytes).await?;
                if n == 0 {
                    return Ok(());
                }
                cached.extend_from_slice(&bytes[..n]);
            }
            let path = head.split(' ').nth(1).unwrap_or_default();
            let object = path.split('/').nth(3).and_then(|o| u64::from_str_radix(o, 16).ok());
            let Some(object) = object else { return Ok(()) };
            let request = CacheRequest {
                object,
                trace: field("X-Trace").and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or(0),
                write: length > 0,
                max_age_ms: field("X-Max-Age-Ms")
                    .and_then(|t| t.parse().ok())
                    .filter(|ms| *ms > 0)
                    .unwrap_or(u64::MAX),
                source: field("X-Fill-From").map(str::to_owned),
                have_only: field("X-Flags").is_some_and(|f| f.split('+').any(|f| f == "have-only")),
            };
            cached.drain(..end + length);
            let (slow, failing) = self.with(&endpoint.name, |c| (c.slow, c.failing));
            Timer::after(slow).await;
            if failing {
                stream.write_all(b"HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            match self.respond(endpoint, &request).await {
                Some((bytes, result, waited_ms)) => {
                    let created_ms =
                        u64::from_be_bytes(bytes[8..HEADER_BYTES].try_into().unwrap_or_default());
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nETag: {object:016x}\r\nX-Born-Ms: {created_ms}\r\nX-Result: {result}\r\n\
                        X-Waited-Ms: {waited_ms}\r\nContent-Length: {}\r\n\r\n",
                        bytes.len()
                    );
                    stream.write_all(&[head.as_bytes(), &bytes].concat()).await?;
                }
                None => stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?,
            }
        }
    }

    async fn respond(
        &self,
        endpoint: &CacheEndpoint,
        request: &CacheRequest,
    ) -> Option<(Vec<u8>, &'static str, u64)> {
        let object = request.object;
        if request.write {
            Timer::after(self.latencies.origin).await;
            *self.state.lock().unwrap().executions.entry(request.trace).or_default() += 1;
            return Some((body(object, unix_ms(), HEADER_BYTES), "hit", 0));
        }
        let len = (self.len)(object).min(MAX_BODY_BYTES);
        let cached = |name: &str| {
            let state = self.state.lock().unwrap();
            let created_ms = state.caches.get(name)?.copies.get(&object).copied()?;
            let purges = state.purges.get(&object).map(Vec::as_slice).unwrap_or_default();
            let first = purges.get(purges.partition_point(|at| *at <= created_ms));
            let is_purged = first.is_some_and(|at| unix_ms() >= at + PURGE_APPLIED_MS);
            (unix_ms().saturating_sub(created_ms) <= request.max_age_ms && !is_purged).then_some(created_ms)
        };
        let is_origin = endpoint.kind == "origin";
        if let Some(created_ms) = cached(&endpoint.name).filter(|_| !is_origin) {
            Timer::after(self.latencies.hit).await;
            return Some((body(object, created_ms, len), "hit", 0));
        }
        let source = request.source.as_deref().filter(|s| *s != endpoint.name);
        if !is_origin && source.is_none() {
            return None;
        }
        // From here on this is a fill; a cold cache fails beyond its limit of concurrent fills.
        let capacity = self.capacity;
        self.with(&endpoint.name, |c| {
            c.filling += 1;
            let cold = c.cold_since.is_some_and(|at| at.elapsed() < capacity.cold_for);
            if cold && !is_origin {
                c.counts.most_cold_fills = c.counts.most_cold_fills.max(c.filling);
                if c.filling > capacity.cold_fills {
                    self.fail(c);
                }
            }
        });
        let _guard = CountGuard(self, &endpoint.name, |c| c.filling -= 1);
        let store = |name: &str, created_ms: u64| {
            let generation = self.with(name, |c| c.down_until.is_none_or(|at| at <= Instant::now()));
            if generation {
                self.with(name, |c| _ = c.copies.insert(object, created_ms));
            }
        };
        if let Some(created_ms) = source.and_then(cached) {
            Timer::after(self.latencies.fill).await;
            store(&endpoint.name, created_ms);
            return Some((body(object, created_ms, len), "filled", self.latencies.fill.as_millis() as u64));
        }
        if request.have_only {
            return None;
        }
        *self.state.lock().unwrap().fetched.entry(object).or_default() += 1;
        Timer::after(self.latencies.fill + self.latencies.origin).await;
        let created_ms = unix_ms();
        store(&endpoint.name, created_ms);
        if let Some(source) = source {
            store(source, created_ms);
        }
        Some((
            body(object, created_ms, len),
            "via_origin",
            (self.latencies.fill + self.latencies.origin).as_millis() as u64,
        ))
    }

    /// Names of the caches that are down at the moment.
    pub fn down(&self) -> BTreeSet<String> {
        let state = self.state.lock().unwrap();
        let down = |c: &&Cache| c.down_until.is_some_and(|at| at > Instant::now());
        state.caches.iter().filter(|(_, c)| down(c)).map(|(n, _)| n.clone()).collect()
    }
}
