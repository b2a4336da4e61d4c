//! Client side of the platform's protocol (MessagePack-RPC): encodes requests and decodes responses. Performs no I/O.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Served,
    Rejected,
    /// Any other error.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub id: u64,
    pub status: Status,
    pub body: Vec<u8>,
    /// Delay that the gateway asks for before the next attempt, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

pub struct Request<'a> {
    pub id: u32,
    pub rule: &'a str,
    pub trace: u64,
    pub object: u64,
    pub timeout_ms: u64,
    pub need_kb: f64,
    pub body: &'a [u8],
}

fn write_str(out: &mut Vec<u8>, write_str: &str) {
    out.extend([0xd9, write_str.len() as u8]);
    out.extend(write_str.as_bytes());
}

pub fn encode_request(request: &Request) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend(request.id.to_be_bytes());
    write_str(&mut out, request.rule);
    let fields = [
        ("req", format!("{:016x}", request.trace)),
        ("timeout", request.timeout_ms.to_string()),
        ("subject", format!("{:016x}", request.object)),
        ("slice", "0".to_owned()),
        ("set", (request.object % 256).to_string()),
        ("need", format!("{:.3}", request.need_kb)),
    ];
    out.extend([0x92, 0x80 | fields.len() as u8]);
    for (name, value) in &fields {
        write_str(&mut out, name);
        write_str(&mut out, value);
    }
    out.push(0xc5);
    out.extend((request.body.len() as u16).to_be_bytes());
    out.extend(request.body);
    out
}

pub fn encode_check(id: u32) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend(id.to_be_bytes());
    write_str(&mut out, "check");
    out.extend([0x91, 0x80]);
    out
}

enum Value<'a> {
    Nil,
    Int(u64),
    Bool,
    Bytes(&'a [u8]),
    List(Vec<Value<'a>>),
    Map(Vec<(Value<'a>, Value<'a>)>),
}

struct Decoder<'a> {
    bytes: &'a [u8],
    at: usize,
}

/// The message is incomplete, or not one that a gateway sends.
enum DecodeError {
    Incomplete,
    Malformed,
}

impl<'a> Decoder<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], DecodeError> {
        let taken = self.bytes.get(self.at..self.at + n).ok_or(DecodeError::Incomplete)?;
        self.at += n;
        Ok(taken)
    }

    fn uint(&mut self, n: usize) -> Result<u64, DecodeError> {
        Ok(self.take(n)?.iter().fold(0, |all, b| all << 8 | u64::from(*b)))
    }

    fn bytes(&mut self, n: usize) -> Result<Value<'a>, DecodeError> {
        Ok(Value::Bytes(self.take(n)?))
    }

    fn value(&mut self) -> Result<Value<'a>, DecodeError> {
        let tag = self.take(1)?[0];
        Ok(match tag {
            0x00..=0x7f => Value::Int(tag.into()),
            0x80..=0x8f => {
                let pairs = (0..tag & 0x0f).map(|_| Ok((self.value()?, self.value()?)));
                Value::Map(pairs.collect::<Result<_, DecodeError>>()?)
            }
            0x90..=0x9f => Value::List((0..tag & 0x0f).map(|_| self.value()).collect::<Result<_, _>>()?),
            0xa0..=0xbf => self.bytes((tag & 0x1f).into())?,
            0xc0 => Value::Nil,
            0xc2 | 0xc3 => Value::Bool,
            0xc4 | 0xd9 => {
                let n = self.uint(1)? as usize;
                self.bytes(n)?
            }
            0xc5 | 0xda => {
                let n = self.uint(2)? as usize;
                self.bytes(n)?
            }
            0xc6 | 0xdb => {
                let n = self.uint(4)? as usize;
                self.bytes(n)?
            }
            0xcc => Value::Int(self.uint(1)?),
            0xcd => Value::Int(self.uint(2)?),
            0xce => Value::Int(self.uint(4)?),
            0xcf => Value::Int(self.uint(8)?),
            _ => return Err(DecodeError::Malformed),
        })
    }
}

/// Decodes the response at the start of `bytes` and returns it with its length; `None` while it is incomplete, an
/// error if it is malformed.
pub fn decode_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, &'static str> {
    let mut decoder = Decoder { bytes, at: 0 };
    let value = match decoder.value() {
        Ok(value) => value,
        Err(DecodeError::Incomplete) => return Ok(None),
        Err(DecodeError::Malformed) => {
            return Err("malformed MessagePack, or a type that gateways do not send");
        }
    };
    let Value::List(parts) = value else { return Err("message is not an array") };
    let [Value::Int(1), Value::Int(id), error, result] = parts.as_slice() else {
        return Err("message is not a response");
    };
    let retry_after = |value: Option<&Value>| {
        let Some(Value::Map(pairs)) = value else { return None };
        pairs.iter().find_map(|(name, value)| match (name, value) {
            (Value::Bytes(b"holdoff"), Value::Bytes(ms)) => std::str::from_utf8(ms).ok()?.parse().ok(),
            _ => None,
        })
    };
    let (status, body, retry_after_ms) = match (error, result) {
        (Value::Nil, Value::List(all)) => match all.first() {
            Some(Value::Bytes(body)) => (Status::Served, body.to_vec(), None),
            Some(Value::Bool) => (Status::Served, Vec::new(), None),
            _ => return Err("response without a body"),
        },
        (Value::List(all), Value::Nil) => match all.first() {
            Some(Value::Bytes(b"Backoff")) => (Status::Rejected, Vec::new(), retry_after(all.get(1))),
            _ => (Status::Failed, Vec::new(), None),
        },
        _ => return Err("response needs exactly one of error and result"),
    };
    Ok(Some((Response { id: *id, status, body, retry_after_ms }, decoder.at)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    const SERVED: &[u8] = b"\x94\x01\x07\xc0\x92\xc6\x00\x00\x00\x02ok\x80";
    const REJECTED: &[u8] = b"\x94\x01\x08\x92\xa7Backoff\x81\xa7holdoff\xa3250\xc0";

    #[test]
    fn responses_are_decoded_whole_or_not_at_all() {
        let all = [SERVED, REJECTED].concat();
        for len in 0..all.len() {
            let first = decode_response(&all[..len]).unwrap();
            assert_eq!(first.is_some(), len >= SERVED.len(), "{len}");
        }
        let (first, n) = decode_response(&all).unwrap().unwrap();
        assert_eq!((first.id, first.status, &*first.body, n), (7, Status::Served, &b"ok"[..], SERVED.len()));
        let (second, _) = decode_response(&all[n..]).unwrap().unwrap();
        assert_eq!((second.id, second.status, second.retry_after_ms), (8, Status::Rejected, Some(250)));
        assert!(decode_response(&[0xc1]).is_err());
    }

    quickcheck! {
        fn malformed_responses_never_panic(bytes: Vec<u8>, at: usize, with: u8) -> bool {
            _ = decode_response(&bytes);
            let mut one = REJECTED.to_vec();
            let at = at % one.len();
            one[at] = with;
            _ = decode_response(&one);
            true
        }
    }
}
