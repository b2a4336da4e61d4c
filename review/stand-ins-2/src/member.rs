//! A cache, a parent or the origin: HTTP/1.1 as on the protocol page, one request at a time on a connection.

use crate::common::Ran;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A request as it came.
#[derive(Clone, Debug)]
pub struct Hop {
    pub object: u64,
    pub headers: BTreeMap<String, String>,
}

impl Hop {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// What a member does with a request, after whatever time its handler took.
pub enum Reply {
    Answer {
        status: u16,
        headers: Vec<(&'static str, String)>,
        body: Vec<u8>,
    },
    /// These bytes, then further requests are read.
    Raw(Vec<u8>),
    /// Each piece after so many milliseconds; the connection then ends, or stays.
    Pieces(Vec<(u64, Vec<u8>)>, bool),
}

impl Reply {
    /// The bytes of an answer.
    pub fn bytes(&self) -> Vec<u8> {
        let Reply::Answer { status, headers, body } = self else {
            return Vec::new();
        };
        let mut head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
        headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        bytes
    }
}

pub fn ok(body: Vec<u8>, born_ms: u64, result: &str) -> Reply {
    let headers = vec![
        ("ETag", format!("{born_ms:016x}")),
        ("X-Born-Ms", born_ms.to_string()),
        ("X-Result", result.to_owned()),
    ];
    Reply::Answer { status: 200, headers, body }
}

#[derive(Clone)]
pub struct Member {
    pub address: SocketAddr,
    dead: Arc<AtomicBool>,
    streams: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    /// Connections that are open now.
    open: Arc<AtomicU64>,
}

impl Member {
    pub fn start(handler: impl Fn(&Hop) -> Reply + Send + Sync + 'static) -> Ran<Member> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let member = Member {
            address: listener.local_addr()?,
            dead: Arc::default(),
            streams: Arc::default(),
            open: Arc::default(),
        };
        let (own, handler, count) = (member.clone(), Arc::new(handler), AtomicU64::new(0));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.dead.load(Ordering::SeqCst) {
                    return;
                }
                let (own, handler) = (own.clone(), Arc::clone(&handler));
                let connection = count.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    own.streams.lock().unwrap().insert(connection, copy);
                }
                own.open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    _ = own.serve(stream, &*handler);
                    own.streams.lock().unwrap().remove(&connection);
                    own.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(member)
    }

    pub fn open_connections(&self) -> u64 {
        self.open.load(Ordering::SeqCst)
    }

    /// The process dies: its connections end, and nothing listens any more.
    pub fn die(&self) {
        self.dead.store(true, Ordering::SeqCst);
        for stream in std::mem::take(&mut *self.streams.lock().unwrap()).into_values() {
            _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener's thread, which then drops the listener.
        _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream, handler: &dyn Fn(&Hop) -> Reply) -> Option<()> {
        _ = stream.set_nodelay(true);
        let (mut buffer, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
        loop {
            let (hop, used) = loop {
                if let Some(found) = parse(&buffer) {
                    break found;
                }
                match stream.read(&mut chunk) {
                    Ok(n @ 1..) => buffer.extend(&chunk[..n]),
                    _ => return None,
                }
            };
            buffer.drain(..used);
            let reply = handler(&hop);
            if self.dead.load(Ordering::SeqCst) {
                return None;
            }
            match reply {
                answer @ Reply::Answer { .. } => stream.write_all(&answer.bytes()).ok()?,
                Reply::Raw(bytes) => stream.write_all(&bytes).ok()?,
                Reply::Pieces(pieces, ends) => {
                    for (gap, piece) in pieces {
                        std::thread::sleep(std::time::Duration::from_millis(gap));
                        stream.write_all(&piece).ok()?;
                    }
                    if ends {
                        return None;
                    }
                }
            }
        }
    }
}

fn parse(bytes: &[u8]) -> Option<(Hop, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let mut path = lines.next()?.split(' ').nth(1)?.split('/').skip(2);
    let object = u64::from_str_radix(path.nth(1)?, 16).ok()?;
    let headers: BTreeMap<String, String> =
        lines.filter_map(|l| l.split_once(": ")).map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
    let len: usize = headers.get("Content-Length").and_then(|n| n.parse().ok()).unwrap_or(0);
    // The body has to be there as well; nobody looks at it.
    bytes.get(end + 4..end + 4 + len)?;
    Some((Hop { object, headers }, end + 4 + len))
}
