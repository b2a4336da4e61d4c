//! Reads and writes MessagePack-RPC, without I/O. Must never panic on what a client sends, nor hold more than one
//! frame of the bounded length; what the frames mean to the gateway is decided elsewhere.

use crate::dispatch_api::Request;
use crate::{digits, number};

/// A body of 48,000 bytes with its fields fits; more is no request.
pub const MOST_FRAME: usize = 64 * 1024;
/// A write's body.
const MOST_BODY: usize = 48_000;
const MOST_MARK: usize = 256;
/// Values in a frame and their nesting.
const MOST_VALUES: usize = 256;
const MOST_DEPTH: usize = 6;

#[derive(Debug, PartialEq, Eq)]
pub enum Fault {
    /// The bytes are no MessagePack, or more than a frame may hold: nothing after them can be trusted.
    Damaged { id: Option<u64> },
    /// A whole message, but none that is known here.
    Refused { id: Option<u64>, why: &'static str },
}

#[derive(Debug, PartialEq)]
pub enum Message {
    Request { id: u64, method: String, ask: Box<Request> },
    Check { id: u64 },
    Interrupt { ids: Vec<u64> },
}

enum Value<'a> {
    Nil,
    Int(u64),
    Bytes(&'a [u8]),
    Array(Vec<Value<'a>>),
    Map(Vec<(Value<'a>, Value<'a>)>),
    Other,
}

impl<'a> Value<'a> {
    fn bytes(&self) -> Option<&'a [u8]> {
        if let Value::Bytes(bytes) = self { Some(bytes) } else { None }
    }

    fn int(&self) -> Option<u64> {
        if let Value::Int(n) = self { Some(*n) } else { None }
    }
}

enum Stop {
    /// The bytes so far are good, and not enough.
    Short,
    Damaged,
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    values: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Stop> {
        if n > MOST_FRAME {
            return Err(Stop::Damaged);
        }
        let taken = self.bytes.get(self.at..self.at + n).ok_or(Stop::Short)?;
        self.at += n;
        Ok(taken)
    }

    fn big(&mut self, n: usize) -> Result<u64, Stop> {
        Ok(self.take(n)?.iter().fold(0, |all, &b| all << 8 | u64::from(b)))
    }

    fn sized(&mut self, n: usize) -> Result<Value<'a>, Stop> {
        let len = self.big(n)? as usize;
        Ok(Value::Bytes(self.take(len)?))
    }

    fn other(&mut self, n: usize) -> Result<Value<'a>, Stop> {
        self.take(n)?;
        Ok(Value::Other)
    }

    fn value(&mut self, depth: usize) -> Result<Value<'a>, Stop> {
        self.values += 1;
        if self.values > MOST_VALUES || depth > MOST_DEPTH {
            return Err(Stop::Damaged);
        }
        let tag = self.take(1)?[0];
        match tag {
            0x00..=0x7f => Ok(Value::Int(u64::from(tag))),
            0x80..=0x8f => self.map(usize::from(tag & 0x0f), depth),
            0x90..=0x9f => self.array(usize::from(tag & 0x0f), depth),
            0xa0..=0xbf => Ok(Value::Bytes(self.take(usize::from(tag & 0x1f))?)),
            0xc0 => Ok(Value::Nil),
            0xc1 => Err(Stop::Damaged),
            0xc2 | 0xc3 | 0xe0..=0xff => Ok(Value::Other),
            0xc4 | 0xd9 => self.sized(1),
            0xc5 | 0xda => self.sized(2),
            0xc6 | 0xdb => self.sized(4),
            0xc7..=0xc9 => {
                let len = self.big(1 << (tag - 0xc7))? as usize;
                self.other(len.saturating_add(1))
            }
            0xca => self.other(4),
            0xcb => self.other(8),
            0xcc..=0xcf => Ok(Value::Int(self.big(1 << (tag - 0xcc))?)),
            0xd0..=0xd3 => {
                let n = 1 << (tag - 0xd0);
                let bits = self.big(n)?;
                // A negative number is none that is known here.
                Ok(if bits >> (n * 8 - 1) == 0 { Value::Int(bits) } else { Value::Other })
            }
            0xd4..=0xd8 => self.other(1 + (1 << (tag - 0xd4))),
            0xdc => self.counted(2, depth, Reader::array),
            0xdd => self.counted(4, depth, Reader::array),
            0xde => self.counted(2, depth, Reader::map),
            0xdf => self.counted(4, depth, Reader::map),
        }
    }

    fn counted(
        &mut self,
        n: usize,
        depth: usize,
        read: fn(&mut Self, usize, usize) -> Result<Value<'a>, Stop>,
    ) -> Result<Value<'a>, Stop> {
        let count = self.big(n)? as usize;
        read(self, count, depth)
    }

    fn array(&mut self, n: usize, depth: usize) -> Result<Value<'a>, Stop> {
        if n > MOST_VALUES {
            return Err(Stop::Damaged);
        }
        (0..n).map(|_| self.value(depth + 1)).collect::<Result<_, _>>().map(Value::Array)
    }

    fn map(&mut self, n: usize, depth: usize) -> Result<Value<'a>, Stop> {
        if n > MOST_VALUES {
            return Err(Stop::Damaged);
        }
        let pair = |_| Ok((self.value(depth + 1)?, self.value(depth + 1)?));
        (0..n).map(pair).collect::<Result<_, _>>().map(Value::Map)
    }
}

/// The message at the start of `bytes` and its length; `None` while it is not whole.
pub fn message(bytes: &[u8]) -> Result<Option<(Message, usize)>, (Fault, usize)> {
    let mut reader = Reader { bytes, at: 0, values: 0 };
    match reader.value(0) {
        Ok(value) => match understand(&value) {
            Ok(message) => Ok(Some((message, reader.at))),
            Err(fault) => Err((fault, reader.at)),
        },
        Err(Stop::Short) if bytes.len() < MOST_FRAME => Ok(None),
        Err(_) => Err((Fault::Damaged { id: early_id(bytes) }, bytes.len())),
    }
}

/// The id of a request of which only the start could be read.
fn early_id(bytes: &[u8]) -> Option<u64> {
    let rest = bytes.strip_prefix(&[0x94, 0x00])?;
    Reader { bytes: rest, at: 0, values: 0 }.value(0).ok()?.int()
}

fn understand(value: &Value) -> Result<Message, Fault> {
    let refused = |id, why| Fault::Refused { id, why };
    let Value::Array(parts) = value else { return Err(refused(None, "no message")) };
    match parts.as_slice() {
        [Value::Int(0), Value::Int(id), method, Value::Array(params)] => {
            let method = method.bytes().and_then(|m| std::str::from_utf8(m).ok());
            let method = method.ok_or(refused(Some(*id), "no method"))?;
            if method == "check" {
                return Ok(Message::Check { id: *id });
            }
            let ask = ask(params).map_err(|why| refused(Some(*id), why))?;
            Ok(Message::Request { id: *id, method: method.to_owned(), ask: Box::new(ask) })
        }
        [Value::Int(0), Value::Int(id), ..] => Err(refused(Some(*id), "no request")),
        [Value::Int(2), method, Value::Array(ids)] if method.bytes() == Some(b"interrupt") => {
            Ok(Message::Interrupt { ids: ids.iter().filter_map(Value::int).collect() })
        }
        _ => Err(refused(None, "no message")),
    }
}

fn ask(params: &[Value]) -> Result<Request, &'static str> {
    let (fields, body) = match params {
        [Value::Map(fields)] => (fields, &[][..]),
        [Value::Map(fields), Value::Nil] => (fields, &[][..]),
        [Value::Map(fields), Value::Bytes(body)] => (fields, *body),
        _ => return Err("no fields"),
    };
    let twice = |i: usize| fields[..i].iter().any(|(name, _)| name.bytes() == fields[i].0.bytes());
    if body.len() > MOST_BODY || (0..fields.len()).any(twice) {
        return Err("too long a body, or a field twice");
    }
    let mut ask = Request { body: body.to_vec(), ..Request::default() };
    let (mut part, mut group, mut timeout) = (None, None, None);
    for (name, value) in fields {
        let (Some(name), Some(value)) = (name.bytes(), value.bytes()) else {
            return Err("a field is no text");
        };
        match name {
            b"req" => (ask.request_id, ask.request_number) = hex(value).ok_or("no req")?,
            b"subject" => (ask.object_name, ask.object) = hex(value).ok_or("no subject")?,
            b"slice" => part = digits::<u32>(value),
            b"set" => group = digits(value),
            b"timeout" => timeout = digits(value).filter(|ms| *ms > 0),
            b"need" => ask.size_kb = Some(size(value).ok_or("no need")?),
            b"seen" => ask.client_etag = Some(hex(value).ok_or("no seen")?.0),
            b"opkey" => ask.idempotency_key = Some(mark(value).ok_or("no opkey")?),
            b"resent" if value != b"1" => return Err("no resent"),
            _ => {}
        }
    }
    ask.part = part.ok_or("no slice")?.into();
    ask.group = group.ok_or("no set")?;
    ask.timeout_ms = timeout.ok_or("no timeout")?;
    if ask.request_id.is_empty() || ask.object_name.is_empty() {
        return Err("no req or subject");
    }
    Ok(ask)
}

/// A size in KB: digits with a point at most, and more than nothing.
fn size(value: &[u8]) -> Option<f64> {
    let plain = value.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    number(value).filter(|kb: &f64| plain && kb.is_finite() && *kb > 0.0)
}

/// A mark goes on unchanged in a head's line, which it must not break.
fn mark(value: &[u8]) -> Option<String> {
    let plain = (1..=MOST_MARK).contains(&value.len()) && value.iter().all(u8::is_ascii_graphic);
    plain.then(|| String::from_utf8_lossy(value).into_owned())
}

fn hex(value: &[u8]) -> Option<(String, u64)> {
    let text = std::str::from_utf8(value).ok().filter(|t| t.len() == 16)?;
    let plain = text.bytes().all(|b| b.is_ascii_hexdigit());
    plain.then(|| u64::from_str_radix(text, 16).ok()).flatten().map(|n| (text.to_owned(), n))
}

/// How an answer names what became of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Backoff,
    Lost,
    Invalid,
}

fn push_int(out: &mut Vec<u8>, n: u64) {
    match n {
        0..=0x7f => out.push(n as u8),
        0x80..=0xffff => {
            out.push(0xcd);
            out.extend_from_slice(&(n as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(0xce);
            out.extend_from_slice(&(n as u32).to_be_bytes());
        }
        _ => {
            out.push(0xcf);
            out.extend_from_slice(&n.to_be_bytes());
        }
    }
}

fn push_str(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        n @ 0..=31 => out.push(0xa0 | n as u8),
        n => {
            out.push(0xda);
            out.extend_from_slice(&(n as u16).to_be_bytes());
        }
    }
    out.extend_from_slice(text.as_bytes());
}

fn push_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        push_str(out, name);
        push_str(out, value);
    }
}

fn answer(id: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(48);
    out.extend_from_slice(&[0x94, 0x01]);
    push_int(&mut out, id);
    out
}

/// What stands before and after the body of a served answer.
pub fn served(id: u64, len: usize, current: bool) -> (Vec<u8>, Vec<u8>) {
    let mut head = answer(id);
    head.extend_from_slice(&[0xc0, 0x92, 0xc6]);
    head.extend_from_slice(&(len as u32).to_be_bytes());
    let mut tail = Vec::new();
    push_fields(&mut tail, if current { &[("current", "1")] } else { &[] });
    (head, tail)
}

pub fn unserved(id: u64, word: Word, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = answer(id);
    out.push(0x92);
    let name = match word {
        Word::Backoff => "Backoff",
        Word::Lost => "Lost",
        Word::Invalid => "Invalid",
    };
    push_str(&mut out, name);
    push_fields(&mut out, fields);
    out.push(0xc0);
    out
}

pub fn checked(id: u64, ready: bool) -> Vec<u8> {
    let mut out = answer(id);
    out.extend_from_slice(&[0xc0, 0x92, if ready { 0xc3 } else { 0xc2 }]);
    push_fields(&mut out, &[]);
    out
}
