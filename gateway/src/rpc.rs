//! Codec for MessagePack-RPC, without I/O. How the gateway reacts to a message is decided by the caller.
//!
//! Invariants: no input of a client causes a panic; at most one frame of `MAX_FRAME_BYTES` has to be buffered.

use crate::dispatch_api::Request;
use crate::{digits, number};

/// Fits a body of `MAX_BODY_BYTES` with all fields; a longer frame is no valid request.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Largest body of a write.
const MAX_BODY_BYTES: usize = 48_000;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// Most values in a frame.
const MAX_VALUES: usize = 256;
/// Deepest nesting of values in a frame.
const MAX_DEPTH: usize = 6;

#[derive(Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Not MessagePack, or beyond the limits of a frame: the position of the next frame is unknown.
    Malformed { id: Option<u64> },
    /// A complete frame that holds no valid message.
    Invalid { id: Option<u64>, reason: &'static str },
}

#[derive(Debug, PartialEq)]
pub enum Message {
    Request { id: u64, method: String, request: Box<Request> },
    HealthCheck { id: u64 },
    Cancel { ids: Vec<u64> },
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

enum ReadError {
    /// Valid so far, but more bytes are needed.
    Incomplete,
    Malformed,
}

struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
    value_count: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], ReadError> {
        if n > MAX_FRAME_BYTES {
            return Err(ReadError::Malformed);
        }
        let taken = self.bytes.get(self.position..self.position + n).ok_or(ReadError::Incomplete)?;
        self.position += n;
        Ok(taken)
    }

    fn read_uint(&mut self, n: usize) -> Result<u64, ReadError> {
        Ok(self.take(n)?.iter().fold(0, |value, &b| value << 8 | u64::from(b)))
    }

    fn read_bytes(&mut self, n: usize) -> Result<Value<'a>, ReadError> {
        let len = self.read_uint(n)? as usize;
        Ok(Value::Bytes(self.take(len)?))
    }

    fn skip_other(&mut self, n: usize) -> Result<Value<'a>, ReadError> {
        self.take(n)?;
        Ok(Value::Other)
    }

    fn read_value(&mut self, depth: usize) -> Result<Value<'a>, ReadError> {
        self.value_count += 1;
        if self.value_count > MAX_VALUES || depth > MAX_DEPTH {
            return Err(ReadError::Malformed);
        }
        let tag = self.take(1)?[0];
        match tag {
            0x00..=0x7f => Ok(Value::Int(u64::from(tag))),
            0x80..=0x8f => self.read_map(usize::from(tag & 0x0f), depth),
            0x90..=0x9f => self.read_array(usize::from(tag & 0x0f), depth),
            0xa0..=0xbf => Ok(Value::Bytes(self.take(usize::from(tag & 0x1f))?)),
            0xc0 => Ok(Value::Nil),
            0xc1 => Err(ReadError::Malformed),
            0xc2 | 0xc3 | 0xe0..=0xff => Ok(Value::Other),
            0xc4 | 0xd9 => self.read_bytes(1),
            0xc5 | 0xda => self.read_bytes(2),
            0xc6 | 0xdb => self.read_bytes(4),
            0xc7..=0xc9 => {
                let len = self.read_uint(1 << (tag - 0xc7))? as usize;
                self.skip_other(len.saturating_add(1))
            }
            0xca => self.skip_other(4),
            0xcb => self.skip_other(8),
            0xcc..=0xcf => Ok(Value::Int(self.read_uint(1 << (tag - 0xcc))?)),
            0xd0..=0xd3 => {
                let n = 1 << (tag - 0xd0);
                let bits = self.read_uint(n)?;
                // No field of the protocol takes a negative number.
                Ok(if bits >> (n * 8 - 1) == 0 { Value::Int(bits) } else { Value::Other })
            }
            0xd4..=0xd8 => self.skip_other(1 + (1 << (tag - 0xd4))),
            0xdc => self.read_counted(2, depth, Reader::read_array),
            0xdd => self.read_counted(4, depth, Reader::read_array),
            0xde => self.read_counted(2, depth, Reader::read_map),
            0xdf => self.read_counted(4, depth, Reader::read_map),
        }
    }

    fn read_counted(
        &mut self,
        n: usize,
        depth: usize,
        read: fn(&mut Self, usize, usize) -> Result<Value<'a>, ReadError>,
    ) -> Result<Value<'a>, ReadError> {
        let count = self.read_uint(n)? as usize;
        read(self, count, depth)
    }

    fn read_array(&mut self, n: usize, depth: usize) -> Result<Value<'a>, ReadError> {
        if n > MAX_VALUES {
            return Err(ReadError::Malformed);
        }
        (0..n).map(|_| self.read_value(depth + 1)).collect::<Result<_, _>>().map(Value::Array)
    }

    fn read_map(&mut self, n: usize, depth: usize) -> Result<Value<'a>, ReadError> {
        if n > MAX_VALUES {
            return Err(ReadError::Malformed);
        }
        let pair = |_| Ok((self.read_value(depth + 1)?, self.read_value(depth + 1)?));
        (0..n).map(pair).collect::<Result<_, _>>().map(Value::Map)
    }
}

/// Decodes the message at the start of `bytes` and returns it with its length; `None` while it is incomplete.
pub fn decode_message(bytes: &[u8]) -> Result<Option<(Message, usize)>, (DecodeError, usize)> {
    let mut reader = Reader { bytes, position: 0, value_count: 0 };
    match reader.read_value(0) {
        Ok(value) => match interpret(&value) {
            Ok(message) => Ok(Some((message, reader.position))),
            Err(error) => Err((error, reader.position)),
        },
        Err(ReadError::Incomplete) if bytes.len() < MAX_FRAME_BYTES => Ok(None),
        Err(_) => Err((DecodeError::Malformed { id: request_id_of_prefix(bytes) }, bytes.len())),
    }
}

/// The message id of a request of which only the start can be decoded.
fn request_id_of_prefix(bytes: &[u8]) -> Option<u64> {
    let rest = bytes.strip_prefix(&[0x94, 0x00])?;
    Reader { bytes: rest, position: 0, value_count: 0 }.read_value(0).ok()?.int()
}

fn interpret(value: &Value) -> Result<Message, DecodeError> {
    let invalid = |id, reason| DecodeError::Invalid { id, reason };
    let Value::Array(parts) = value else { return Err(invalid(None, "frame is not an array")) };
    match parts.as_slice() {
        [Value::Int(0), Value::Int(id), method, Value::Array(params)] => {
            let method = method.bytes().and_then(|m| std::str::from_utf8(m).ok());
            let method = method.ok_or(invalid(Some(*id), "method is not a string"))?;
            if method == "check" {
                return Ok(Message::HealthCheck { id: *id });
            }
            let request = parse_request(params).map_err(|reason| invalid(Some(*id), reason))?;
            Ok(Message::Request { id: *id, method: method.to_owned(), request: Box::new(request) })
        }
        [Value::Int(0), Value::Int(id), ..] => Err(invalid(Some(*id), "malformed request")),
        [Value::Int(2), method, Value::Array(ids)] if method.bytes() == Some(b"interrupt") => {
            Ok(Message::Cancel { ids: ids.iter().filter_map(Value::int).collect() })
        }
        _ => Err(invalid(None, "unknown message type")),
    }
}

fn parse_request(params: &[Value]) -> Result<Request, &'static str> {
    let (fields, body) = match params {
        [Value::Map(fields)] => (fields, &[][..]),
        [Value::Map(fields), Value::Nil] => (fields, &[][..]),
        [Value::Map(fields), Value::Bytes(body)] => (fields, *body),
        _ => return Err("parameters are not a map and an optional body"),
    };
    let is_duplicate = |i: usize| fields[..i].iter().any(|(name, _)| name.bytes() == fields[i].0.bytes());
    if body.len() > MAX_BODY_BYTES || (0..fields.len()).any(is_duplicate) {
        return Err("body too long, or duplicate field");
    }
    let mut request = Request { body: body.to_vec(), ..Request::default() };
    let (mut part, mut group, mut timeout) = (None, None, None);
    for (name, value) in fields {
        let (Some(name), Some(value)) = (name.bytes(), value.bytes()) else {
            return Err("field name or value is not a string");
        };
        match name {
            b"req" => {
                (request.request_id, request.request_number) =
                    parse_hex_id(value).ok_or("req is not 16 hex digits")?
            }
            b"subject" => {
                (request.object_name, request.object) =
                    parse_hex_id(value).ok_or("subject is not 16 hex digits")?
            }
            b"slice" => part = digits::<u32>(value),
            b"set" => group = digits(value),
            b"timeout" => timeout = digits(value).filter(|ms| *ms > 0),
            b"need" => {
                request.size_kb = Some(parse_size_kb(value).ok_or("need is not a positive decimal number")?)
            }
            b"seen" => request.client_etag = Some(parse_hex_id(value).ok_or("seen is not 16 hex digits")?.0),
            b"opkey" => {
                request.idempotency_key = Some(
                    parse_idempotency_key(value).ok_or("opkey is empty, too long or not printable ASCII")?,
                )
            }
            b"resent" if value != b"1" => return Err("resent is not 1"),
            _ => {}
        }
    }
    request.part = part.ok_or("slice is missing or not a number")?.into();
    request.group = group.ok_or("set is missing or not a number up to 255")?;
    request.timeout_ms = timeout.ok_or("timeout is missing or not a positive number")?;
    if request.request_id.is_empty() || request.object_name.is_empty() {
        return Err("req or subject is missing");
    }
    Ok(request)
}

/// A positive size in KB in plain decimal notation: no sign and no exponent.
fn parse_size_kb(value: &[u8]) -> Option<f64> {
    let valid = value.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    number(value).filter(|kb: &f64| valid && kb.is_finite() && *kb > 0.0)
}

/// Printable ASCII without spaces only: the key is copied unchanged into an HTTP header, which it must not break.
fn parse_idempotency_key(value: &[u8]) -> Option<String> {
    let valid =
        (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&value.len()) && value.iter().all(u8::is_ascii_graphic);
    valid.then(|| String::from_utf8_lossy(value).into_owned())
}

fn parse_hex_id(value: &[u8]) -> Option<(String, u64)> {
    let text = std::str::from_utf8(value).ok().filter(|t| t.len() == 16)?;
    let valid = text.bytes().all(|b| b.is_ascii_hexdigit());
    valid.then(|| u64::from_str_radix(text, 16).ok()).flatten().map(|n| (text.to_owned(), n))
}

/// Error name in the answer to a request that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCode {
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

fn encode_response_start(id: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(48);
    out.extend_from_slice(&[0x94, 0x01]);
    push_int(&mut out, id);
    out
}

/// The bytes before and after the body in the answer to a served request.
pub fn encode_served(id: u64, len: usize, not_modified: bool) -> (Vec<u8>, Vec<u8>) {
    let mut head = encode_response_start(id);
    head.extend_from_slice(&[0xc0, 0x92, 0xc6]);
    head.extend_from_slice(&(len as u32).to_be_bytes());
    let mut tail = Vec::new();
    push_fields(&mut tail, if not_modified { &[("current", "1")] } else { &[] });
    (head, tail)
}

pub fn encode_error(id: u64, code: ErrorCode, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = encode_response_start(id);
    out.push(0x92);
    let name = match code {
        ErrorCode::Backoff => "Backoff",
        ErrorCode::Lost => "Lost",
        ErrorCode::Invalid => "Invalid",
    };
    push_str(&mut out, name);
    push_fields(&mut out, fields);
    out.push(0xc0);
    out
}

pub fn encode_health(id: u64, ready: bool) -> Vec<u8> {
    let mut out = encode_response_start(id);
    out.extend_from_slice(&[0xc0, 0x92, if ready { 0xc3 } else { 0xc2 }]);
    push_fields(&mut out, &[]);
    out
}
