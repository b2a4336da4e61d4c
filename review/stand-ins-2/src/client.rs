//! A client: MessagePack-RPC over TCP.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The body, and whether the client's own copy was called current.
    Served(Vec<u8>, bool),
    Refused,
    Failed(String),
    /// The connection ended with no whole answer.
    Closed,
    /// No answer until half a second after the time-out.
    None,
}

#[derive(Debug)]
enum Value {
    Nil,
    Bool(bool),
    Int,
    Bytes(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

/// Decodes one value; `None` while it is not whole.
fn decode(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let tag = *bytes.get(*at)?;
    *at += 1;
    let number = |n: usize, at: &mut usize| -> Option<u64> {
        let value = bytes.get(*at..*at + n)?.iter().fold(0u64, |v, b| v << 8 | u64::from(*b));
        *at += n;
        Some(value)
    };
    let take = |n: usize, at: &mut usize| -> Option<Value> {
        let value = bytes.get(*at..*at + n)?.to_vec();
        *at += n;
        Some(Value::Bytes(value))
    };
    let array =
        |n: usize, at: &mut usize| (0..n).map(|_| decode(bytes, at)).collect::<Option<_>>().map(Value::Array);
    let map = |n: usize, at: &mut usize| {
        let pair = |_| Some((decode(bytes, at)?, decode(bytes, at)?));
        (0..n).map(pair).collect::<Option<_>>().map(Value::Map)
    };
    match tag {
        0..=0x7f => Some(Value::Int),
        0x80..=0x8f => map(usize::from(tag & 15), at),
        0x90..=0x9f => array(usize::from(tag & 15), at),
        0xa0..=0xbf => take(usize::from(tag & 31), at),
        0xc2 | 0xc3 => Some(Value::Bool(tag == 0xc3)),
        0xc4 | 0xd9 => number(1, at).and_then(|n| take(n as usize, at)),
        0xc5 | 0xda => number(2, at).and_then(|n| take(n as usize, at)),
        0xc6 | 0xdb => number(4, at).and_then(|n| take(n as usize, at)),
        0xcc..=0xcf => number(1 << (tag - 0xcc), at).map(|_| Value::Int),
        0xdc => number(2, at).and_then(|n| array(n as usize, at)),
        0xde => number(2, at).and_then(|n| map(n as usize, at)),
        _ => Some(Value::Nil),
    }
}

fn text(out: &mut Vec<u8>, text: &str) {
    out.extend([0xd9, text.len() as u8]);
    out.extend(text.as_bytes());
}

pub fn encode(id: u32, method: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend(id.to_be_bytes());
    text(&mut out, method);
    out.push(0x92);
    out.extend([0xde, 0, fields.len() as u8]);
    for (name, value) in fields {
        text(&mut out, name);
        text(&mut out, value);
    }
    out.push(0xc5);
    out.extend((body.len() as u16).to_be_bytes());
    out.extend(body);
    out
}

fn read(stream: &mut TcpStream, until: Instant) -> Result<Value, Answer> {
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Answer::None);
        }
        _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut chunk) {
            Ok(0) => return Err(Answer::Closed),
            Ok(n) => buffer.extend(&chunk[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return Err(Answer::Closed),
        }
        if let Some(value) = decode(&buffer, &mut 0) {
            return Ok(value);
        }
    }
}

/// Whether a gateway answers `check` with true.
pub fn check(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    // [0, 1, "check", [{}]]
    let request = [&[0x94, 0x00, 0x01, 0xa5][..], b"check", &[0x91, 0x80]].concat();
    if stream.write_all(&request).is_err() {
        return false;
    }
    let Ok(Value::Array(parts)) = read(&mut stream, Instant::now() + Duration::from_secs(2)) else {
        return false;
    };
    matches!(parts.get(3), Some(Value::Array(result)) if matches!(result.first(), Some(Value::Bool(true))))
}

pub struct Request<'a> {
    pub class: &'a str,
    pub req: u64,
    pub object: u64,
    pub group: u8,
    pub need_kb: u64,
    pub timeout_ms: u64,
    pub key: Option<&'a str>,
    pub body: &'a [u8],
}

/// Sends a request on a connection of its own and waits for the answer.
pub fn ask(address: SocketAddr, request: &Request) -> Answer {
    Session::open(address).map_or(Answer::Closed, |mut session| session.ask(request))
}

/// A connection that carries one request after the other.
pub struct Session {
    stream: TcpStream,
    last_id: u32,
}

impl Session {
    pub fn open(address: SocketAddr) -> Option<Session> {
        let stream = TcpStream::connect(address).ok()?;
        _ = stream.set_nodelay(true);
        Some(Session { stream, last_id: 0 })
    }

    pub fn ask(&mut self, request: &Request) -> Answer {
        let (req, subject) = (format!("{:016x}", request.req), format!("{:016x}", request.object));
        let (timeout, set, need) =
            (request.timeout_ms.to_string(), request.group.to_string(), request.need_kb.to_string());
        let mut fields = vec![
            ("req", req.as_str()),
            ("timeout", timeout.as_str()),
            ("subject", subject.as_str()),
            ("slice", "0"),
            ("set", set.as_str()),
            ("need", need.as_str()),
        ];
        fields.extend(request.key.map(|key| ("opkey", key)));
        self.last_id += 1;
        if self.stream.write_all(&encode(self.last_id, request.class, &fields, request.body)).is_err() {
            return Answer::Closed;
        }
        let until = Instant::now() + Duration::from_millis(request.timeout_ms + 500);
        let parts = match read(&mut self.stream, until) {
            Ok(Value::Array(parts)) => parts,
            Ok(_) => return Answer::Failed("unreadable".into()),
            Err(end) => return end,
        };
        match (parts.get(2), parts.get(3)) {
            (Some(Value::Nil), Some(Value::Array(result))) => {
                let current = matches!(result.get(1), Some(Value::Map(fields)) if !fields.is_empty());
                match result.first() {
                    Some(Value::Bytes(body)) => Answer::Served(body.clone(), current),
                    _ => Answer::Failed("unreadable".into()),
                }
            }
            (Some(Value::Array(error)), _) => match error.first() {
                Some(Value::Bytes(name)) if name == b"Backoff" => Answer::Refused,
                Some(Value::Bytes(name)) => Answer::Failed(String::from_utf8_lossy(name).into_owned()),
                _ => Answer::Failed("unreadable".into()),
            },
            _ => Answer::Failed("unreadable".into()),
        }
    }
}

/// For the record.
pub fn brief(answer: &Answer) -> String {
    match answer {
        Answer::Served(body, current) => format!("served, {} bytes, current {current}", body.len()),
        other => format!("{other:?}"),
    }
}
