//! A site's caches, its parent and its central store as stand-ins (HTTP/1.1, the platform's fields). They hold copies
//! by the time at which the store gave them out, heed the oldest copy that will do, and drop what was purged only
//! seconds later: till then the gateway's word alone keeps an old copy from being served. The store counts how often each write ran.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The largest body there is.
pub const MOST_BODY: usize = 240_000;
const MARK: usize = 16;
/// A purge has come to all caches by then: half a second before the settings say that it has.
const DROPPED_MS: u64 = 5_500;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The bytes of an object: its number, when the store gave this copy out, and a filling that tells it from others.
pub fn body(object: u64, born_ms: u64, len: usize) -> Vec<u8> {
    let mut bytes = vec![0; len.max(MARK)];
    bytes[..8].copy_from_slice(&object.to_be_bytes());
    bytes[8..MARK].copy_from_slice(&born_ms.to_be_bytes());
    for (i, b) in bytes.iter_mut().enumerate().skip(MARK) {
        *b = (object as usize + i) as u8;
    }
    bytes
}

/// When a copy was given out; `None` for bytes that are not this object's.
pub fn born(object: u64, bytes: &[u8]) -> Option<u64> {
    let (mark, born) = (bytes.get(..8)?, bytes.get(8..MARK)?);
    let filled = bytes.iter().enumerate().skip(MARK).all(|(i, b)| *b == (object as usize + i) as u8);
    let born = u64::from_be_bytes(born.try_into().ok()?);
    (mark == object.to_be_bytes() && filled).then_some(born)
}

/// How long things take at the site.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub hit: Duration,
    pub fill: Duration,
    pub origin: Duration,
}

pub struct Site {
    times: Times,
    /// Bytes of an object by its number.
    len: fn(u64) -> usize,
    /// By cache: when its copies were given out.
    copies: Mutex<BTreeMap<String, BTreeMap<u64, u64>>>,
    /// Of objects: copies from before are dropped some time after.
    pub purges: Mutex<BTreeMap<u64, u64>>,
    /// How often each write ran, by the client's id for it.
    pub ran: Mutex<BTreeMap<u64, u32>>,
    /// Whether writes wait before they are answered, and how many have come; changes are told.
    held: Mutex<(bool, u64)>,
    changed: Condvar,
    pub requests: AtomicU64,
    pub from_origin: AtomicU64,
    ends: AtomicBool,
}

/// A member of the site, as the list names it.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub kind: &'static str,
    pub address: SocketAddr,
}

impl Site {
    pub fn new(times: Times, len: fn(u64) -> usize) -> Arc<Site> {
        Arc::new(Site {
            times,
            len,
            copies: Mutex::default(),
            purges: Mutex::default(),
            ran: Mutex::default(),
            held: Mutex::default(),
            changed: Condvar::new(),
            requests: AtomicU64::new(0),
            from_origin: AtomicU64::new(0),
            ends: AtomicBool::new(false),
        })
    }

    /// Starts a member; it ends with the site.
    pub fn place(self: &Arc<Site>, name: &str, kind: &'static str) -> io::Result<Place> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let place = Place { name: name.to_owned(), kind, address: listener.local_addr()? };
        let (site, of) = (Arc::clone(self), place.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if site.ends.load(Ordering::Relaxed) {
                    return;
                }
                let (site, of) = (Arc::clone(&site), of.clone());
                // It ends with the connection.
                thread::spawn(move || _ = site.talk(&of, stream));
            }
        });
        Ok(place)
    }

    /// From now on writes run, and are not answered until `hold` is called with `false`.
    pub fn hold(&self, is: bool) {
        self.held.lock().unwrap().0 = is;
        self.changed.notify_all();
    }

    fn wait_if_held(&self) {
        let mut held = self.held.lock().unwrap();
        held.1 += 1;
        self.changed.notify_all();
        while held.0 && !self.ends.load(Ordering::Relaxed) {
            held = self.changed.wait_timeout(held, Duration::from_millis(100)).unwrap().0;
        }
    }

    /// How many writes have run.
    pub fn writes(&self) -> u64 {
        self.held.lock().unwrap().1
    }

    /// Waits until so many writes have run; `false` if they don't within the time.
    pub fn wait_for_writes(&self, n: u64, most: Duration) -> bool {
        let held = self.held.lock().unwrap();
        let (held, _) = self.changed.wait_timeout_while(held, most, |h| h.1 < n).unwrap();
        held.1 >= n
    }

    pub fn end(&self) {
        self.ends.store(true, Ordering::Relaxed);
    }

    fn talk(&self, place: &Place, stream: TcpStream) -> io::Result<()> {
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
            let mut sent = vec![0; length];
            lines.read_exact(&mut sent)?;
            let path = head.split(' ').nth(1).unwrap_or_default();
            let object = path.split('/').nth(3).and_then(|o| u64::from_str_radix(o, 16).ok());
            let Some(object) = object else {
                (&stream).write_all(b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            self.requests.fetch_add(1, Ordering::Relaxed);
            let trace = field("X-Trace").and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or(0);
            let oldest = field("X-Max-Age-Ms").and_then(|t| t.parse().ok()).filter(|ms| *ms > 0);
            let source = field("X-Fill-From");
            let only = field("X-Flags").is_some_and(|f| f.split('+').any(|f| f == "have-only"));
            let answer = if !sent.is_empty()
                || place.kind == "origin" && source.is_none() && path.contains("/book/")
            {
                thread::sleep(self.times.origin);
                *self.ran.lock().unwrap().entry(trace).or_default() += 1;
                self.wait_if_held();
                Some((body(object, unix_ms(), MARK), "hit", 0))
            } else {
                self.read(place, object, oldest.unwrap_or(u64::MAX), source, only)
            };
            match answer {
                Some((bytes, note, waited)) => {
                    let born = u64::from_be_bytes(bytes[8..MARK].try_into().unwrap_or_default());
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nETag: {object:016x}\r\nX-Born-Ms: {born}\r\nX-Result: {note}\r\n\
                        X-Waited-Ms: {waited}\r\nContent-Length: {}\r\n\r\n",
                        bytes.len()
                    );
                    let all = [head.as_bytes(), &bytes].concat();
                    (&stream).write_all(&all)?;
                }
                None => (&stream).write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?,
            }
        }
    }

    /// A copy that is young enough, from here or from the source.
    fn read(
        &self,
        place: &Place,
        object: u64,
        oldest: u64,
        source: Option<&str>,
        only: bool,
    ) -> Option<(Vec<u8>, &'static str, u64)> {
        let len = (self.len)(object).min(MOST_BODY);
        let purged = self.purges.lock().unwrap().get(&object).copied();
        let dropped = |born: u64| purged.is_some_and(|at| born < at && unix_ms() >= at + DROPPED_MS);
        let young = |born: u64| unix_ms().saturating_sub(born) <= oldest && !dropped(born);
        let held = |name: &str| {
            let copies = self.copies.lock().unwrap();
            copies.get(name)?.get(&object).copied().filter(|born| young(*born))
        };
        let keep = |name: &str, born: u64| {
            _ = self.copies.lock().unwrap().entry(name.to_owned()).or_default().insert(object, born);
        };
        if let Some(born) = held(&place.name).filter(|_| place.kind != "origin") {
            thread::sleep(self.times.hit);
            return Some((body(object, born, len), "hit", 0));
        }
        let is_origin = place.kind == "origin";
        let source = source.filter(|s| *s != place.name);
        if !is_origin && source.is_none() {
            return None;
        }
        if let Some(born) = source.and_then(held) {
            thread::sleep(self.times.fill);
            keep(&place.name, born);
            return Some((body(object, born, len), "filled", self.times.fill.as_millis() as u64));
        }
        if only {
            return None;
        }
        thread::sleep(self.times.fill + self.times.origin);
        self.from_origin.fetch_add(1, Ordering::Relaxed);
        let born = unix_ms();
        keep(&place.name, born);
        if let Some(source) = source {
            keep(source, born);
        }
        let waited = (self.times.fill + self.times.origin).as_millis() as u64;
        Some((body(object, born, len), "via_origin", waited))
    }
}
