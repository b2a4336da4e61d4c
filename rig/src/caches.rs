//! Simulated caches, parents and origin of a site (HTTP/1.1 with the platform's header fields). Each copy carries the
//! time at which the origin issued it, and requests can limit a copy's age. Caches drop purged copies only seconds
//! after the purge, so until then only the gateway's age limit keeps a stale copy from being served. The origin
//! counts how often each write was executed.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Largest body that a member of the site sends.
pub const MAX_BODY_BYTES: usize = 240_000;
/// Object number and creation time at the start of each body.
const HEADER_BYTES: usize = 16;
/// All caches have applied a purge this long after it: half a second before the time that the settings state.
const PURGE_APPLIED_MS: u64 = 5_500;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Builds an object's body: its number, the creation time of this copy, and a filling that depends on the object.
pub fn body(object: u64, born_ms: u64, len: usize) -> Vec<u8> {
    let mut bytes = vec![0; len.max(HEADER_BYTES)];
    bytes[..8].copy_from_slice(&object.to_be_bytes());
    bytes[8..HEADER_BYTES].copy_from_slice(&born_ms.to_be_bytes());
    for (i, b) in bytes.iter_mut().enumerate().skip(HEADER_BYTES) {
        *b = (object as usize + i) as u8;
    }
    bytes
}

/// Returns when a copy was created (Unix ms); `None` if the bytes are not this object's.
pub fn copy_created_ms(object: u64, bytes: &[u8]) -> Option<u64> {
    let (mark, created_ms) = (bytes.get(..8)?, bytes.get(8..HEADER_BYTES)?);
    let filled = bytes.iter().enumerate().skip(HEADER_BYTES).all(|(i, b)| *b == (object as usize + i) as u8);
    let created_ms = u64::from_be_bytes(created_ms.try_into().ok()?);
    (mark == object.to_be_bytes() && filled).then_some(created_ms)
}

/// Simulated service times.
#[derive(Clone, Copy, Debug)]
pub struct Latencies {
    pub hit: Duration,
    pub fill: Duration,
    pub origin: Duration,
}

pub struct Site {
    latencies: Latencies,
    /// Body length in bytes for an object number.
    len: fn(u64) -> usize,
    /// Per cache, the creation time of each copy that it holds.
    copies: Mutex<BTreeMap<String, BTreeMap<u64, u64>>>,
    /// Purge time of each object; caches drop older copies `PURGE_APPLIED_MS` later.
    pub purges: Mutex<BTreeMap<u64, u64>>,
    /// How often each write was executed, by the client's trace id.
    pub executions: Mutex<BTreeMap<u64, u32>>,
    /// Whether answers to writes are held back, and how many writes were executed; changes notify `changed`.
    write_gate: Mutex<(bool, u64)>,
    changed: Condvar,
    pub requests: AtomicU64,
    pub origin_fills: AtomicU64,
    stopping: AtomicBool,
}

/// A cache, parent or origin as the discovery service lists it.
#[derive(Clone, Debug)]
pub struct CacheEndpoint {
    pub name: String,
    pub kind: &'static str,
    pub address: SocketAddr,
}

impl Site {
    pub fn new(latencies: Latencies, len: fn(u64) -> usize) -> Arc<Site> {
        Arc::new(Site {
            latencies,
            len,
            copies: Mutex::default(),
            purges: Mutex::default(),
            executions: Mutex::default(),
            write_gate: Mutex::default(),
            changed: Condvar::new(),
            requests: AtomicU64::new(0),
            origin_fills: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        })
    }

    /// Starts a cache, parent or origin; it stops with the site.
    pub fn start_member(self: &Arc<Site>, name: &str, kind: &'static str) -> io::Result<CacheEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let endpoint = CacheEndpoint { name: name.to_owned(), kind, address: listener.local_addr()? };
        let (site, member) = (Arc::clone(self), endpoint.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if site.stopping.load(Ordering::Relaxed) {
                    return;
                }
                let (site, member) = (Arc::clone(&site), member.clone());
                // The thread ends with the connection.
                thread::spawn(move || _ = site.serve(&member, stream));
            }
        });
        Ok(endpoint)
    }

    /// While blocked, writes are executed but not answered.
    pub fn block_writes(&self, blocked: bool) {
        self.write_gate.lock().unwrap().0 = blocked;
        self.changed.notify_all();
    }

    fn wait_while_blocked(&self) {
        let mut write_gate = self.write_gate.lock().unwrap();
        write_gate.1 += 1;
        self.changed.notify_all();
        while write_gate.0 && !self.stopping.load(Ordering::Relaxed) {
            write_gate = self.changed.wait_timeout(write_gate, Duration::from_millis(100)).unwrap().0;
        }
    }

    /// Number of executed writes.
    pub fn writes_executed(&self) -> u64 {
        self.write_gate.lock().unwrap().1
    }

    /// Waits until `n` writes have been executed; `false` on timeout.
    pub fn wait_for_writes(&self, n: u64, timeout: Duration) -> bool {
        let write_gate = self.write_gate.lock().unwrap();
        let (write_gate, _) = self.changed.wait_timeout_while(write_gate, timeout, |h| h.1 < n).unwrap();
        write_gate.1 >= n
    }

    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    fn serve(&self, endpoint: &CacheEndpoint, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut lines = BufReader::new(stream.try_clone()?);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if lines.read_line(&mut head)? == 0 || head.len() > 16 * 1024 {
                    return Ok(());
                }
            }
            let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
            let length = field("Content-Length").and_then(|n| n.parse().ok()).unwrap_or(0);
            let mut body_sent = vec![0; length];
            lines.read_exact(&mut body_sent)?;
            let path = head.split(' ').nth(1).unwrap_or_default();
            let object = path.split('/').nth(3).and_then(|o| u64::from_str_radix(o, 16).ok());
            let Some(object) = object else {
                (&stream).write_all(b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            self.requests.fetch_add(1, Ordering::Relaxed);
            let trace = field("X-Trace").and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or(0);
            let max_age_ms = field("X-Max-Age-Ms").and_then(|t| t.parse().ok()).filter(|ms| *ms > 0);
            let source = field("X-Fill-From");
            let have_only = field("X-Flags").is_some_and(|f| f.split('+').any(|f| f == "have-only"));
            let response = if !body_sent.is_empty()
                || endpoint.kind == "origin" && source.is_none() && path.contains("/book/")
            {
                thread::sleep(self.latencies.origin);
                *self.executions.lock().unwrap().entry(trace).or_default() += 1;
                self.wait_while_blocked();
                Some((body(object, unix_ms(), HEADER_BYTES), "hit", 0))
            } else {
                self.read(endpoint, object, max_age_ms.unwrap_or(u64::MAX), source, have_only)
            };
            match response {
                Some((bytes, result, waited_ms)) => {
                    let created_ms =
                        u64::from_be_bytes(bytes[8..HEADER_BYTES].try_into().unwrap_or_default());
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nETag: {object:016x}\r\nX-Born-Ms: {created_ms}\r\nX-Result: {result}\r\n\
                        X-Waited-Ms: {waited_ms}\r\nContent-Length: {}\r\n\r\n",
                        bytes.len()
                    );
                    let message = [head.as_bytes(), &bytes].concat();
                    (&stream).write_all(&message)?;
                }
                None => (&stream).write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?,
            }
        }
    }

    /// Serves a copy no older than `max_age_ms`: from this cache, from the source, or from the origin.
    fn read(
        &self,
        endpoint: &CacheEndpoint,
        object: u64,
        max_age_ms: u64,
        source: Option<&str>,
        have_only: bool,
    ) -> Option<(Vec<u8>, &'static str, u64)> {
        let len = (self.len)(object).min(MAX_BODY_BYTES);
        let purged = self.purges.lock().unwrap().get(&object).copied();
        let purged_ms =
            |created_ms: u64| purged.is_some_and(|at| created_ms < at && unix_ms() >= at + PURGE_APPLIED_MS);
        let fresh =
            |created_ms: u64| unix_ms().saturating_sub(created_ms) <= max_age_ms && !purged_ms(created_ms);
        let write_gate = |name: &str| {
            let copies = self.copies.lock().unwrap();
            copies.get(name)?.get(&object).copied().filter(|created_ms| fresh(*created_ms))
        };
        let store = |name: &str, created_ms: u64| {
            _ = self.copies.lock().unwrap().entry(name.to_owned()).or_default().insert(object, created_ms);
        };
        if let Some(created_ms) = write_gate(&endpoint.name).filter(|_| endpoint.kind != "origin") {
            thread::sleep(self.latencies.hit);
            return Some((body(object, created_ms, len), "hit", 0));
        }
        let is_origin = endpoint.kind == "origin";
        let source = source.filter(|s| *s != endpoint.name);
        if !is_origin && source.is_none() {
            return None;
        }
        if let Some(created_ms) = source.and_then(write_gate) {
            thread::sleep(self.latencies.fill);
            store(&endpoint.name, created_ms);
            return Some((body(object, created_ms, len), "filled", self.latencies.fill.as_millis() as u64));
        }
        if have_only {
            return None;
        }
        thread::sleep(self.latencies.fill + self.latencies.origin);
        self.origin_fills.fetch_add(1, Ordering::Relaxed);
        let created_ms = unix_ms();
        store(&endpoint.name, created_ms);
        if let Some(source) = source {
            store(source, created_ms);
        }
        let waited_ms = (self.latencies.fill + self.latencies.origin).as_millis() as u64;
        Some((body(object, created_ms, len), "via_origin", waited_ms))
    }
}
