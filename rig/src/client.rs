//! A client of the platform's protocol (MessagePack-RPC): writes requests and reads answers, without I/O of its own.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Served,
    Rejected,
    /// Any other error.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub id: u64,
    pub word: Word,
    pub body: Vec<u8>,
    /// How long to stay away, in milliseconds.
    pub holdoff: Option<u64>,
}

pub struct Ask<'a> {
    pub id: u32,
    pub rule: &'a str,
    pub trace: u64,
    pub object: u64,
    pub timeout_ms: u64,
    pub need_kb: f64,
    pub body: &'a [u8],
}

fn text(out: &mut Vec<u8>, text: &str) {
    out.extend([0xd9, text.len() as u8]);
    out.extend(text.as_bytes());
}

pub fn request(ask: &Ask) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend(ask.id.to_be_bytes());
    text(&mut out, ask.rule);
    let fields = [
        ("req", format!("{:016x}", ask.trace)),
        ("timeout", ask.timeout_ms.to_string()),
        ("subject", format!("{:016x}", ask.object)),
        ("slice", "0".to_owned()),
        ("set", (ask.object % 256).to_string()),
        ("need", format!("{:.3}", ask.need_kb)),
    ];
    out.extend([0x92, 0x80 | fields.len() as u8]);
    for (name, value) in &fields {
        text(&mut out, name);
        text(&mut out, value);
    }
    out.push(0xc5);
    out.extend((ask.body.len() as u16).to_be_bytes());
    out.extend(ask.body);
    out
}

pub fn check(id: u32) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend(id.to_be_bytes());
    text(&mut out, "check");
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

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

/// Not whole yet, or not what a gateway sends.
enum Stop {
    Short,
    Damaged,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Stop> {
        let taken = self.bytes.get(self.at..self.at + n).ok_or(Stop::Short)?;
        self.at += n;
        Ok(taken)
    }

    fn big(&mut self, n: usize) -> Result<u64, Stop> {
        Ok(self.take(n)?.iter().fold(0, |all, b| all << 8 | u64::from(*b)))
    }

    fn bytes(&mut self, n: usize) -> Result<Value<'a>, Stop> {
        Ok(Value::Bytes(self.take(n)?))
    }

    fn value(&mut self) -> Result<Value<'a>, Stop> {
        let tag = self.take(1)?[0];
        Ok(match tag {
            0x00..=0x7f => Value::Int(tag.into()),
            0x80..=0x8f => {
                let pairs = (0..tag & 0x0f).map(|_| Ok((self.value()?, self.value()?)));
                Value::Map(pairs.collect::<Result<_, Stop>>()?)
            }
            0x90..=0x9f => Value::List((0..tag & 0x0f).map(|_| self.value()).collect::<Result<_, _>>()?),
            0xa0..=0xbf => self.bytes((tag & 0x1f).into())?,
            0xc0 => Value::Nil,
            0xc2 | 0xc3 => Value::Bool,
            0xc4 | 0xd9 => {
                let n = self.big(1)? as usize;
                self.bytes(n)?
            }
            0xc5 | 0xda => {
                let n = self.big(2)? as usize;
                self.bytes(n)?
            }
            0xc6 | 0xdb => {
                let n = self.big(4)? as usize;
                self.bytes(n)?
            }
            0xcc => Value::Int(self.big(1)?),
            0xcd => Value::Int(self.big(2)?),
            0xce => Value::Int(self.big(4)?),
            0xcf => Value::Int(self.big(8)?),
            _ => return Err(Stop::Damaged),
        })
    }
}

/// The answer at the start of `bytes` and its length; `None` while it is not whole, an error if it never will be.
pub fn answer(bytes: &[u8]) -> Result<Option<(Answer, usize)>, &'static str> {
    let mut reader = Reader { bytes, at: 0 };
    let value = match reader.value() {
        Ok(value) => value,
        Err(Stop::Short) => return Ok(None),
        Err(Stop::Damaged) => return Err("no MessagePack that a gateway sends"),
    };
    let Value::List(parts) = value else { return Err("no message") };
    let [Value::Int(1), Value::Int(id), error, result] = parts.as_slice() else { return Err("no answer") };
    let fields = |value: Option<&Value>| {
        let Some(Value::Map(pairs)) = value else { return None };
        pairs.iter().find_map(|(name, value)| match (name, value) {
            (Value::Bytes(b"holdoff"), Value::Bytes(ms)) => std::str::from_utf8(ms).ok()?.parse().ok(),
            _ => None,
        })
    };
    let (word, body, holdoff) = match (error, result) {
        (Value::Nil, Value::List(all)) => match all.first() {
            Some(Value::Bytes(body)) => (Word::Served, body.to_vec(), None),
            Some(Value::Bool) => (Word::Served, Vec::new(), None),
            _ => return Err("no body"),
        },
        (Value::List(all), Value::Nil) => match all.first() {
            Some(Value::Bytes(b"Backoff")) => (Word::Rejected, Vec::new(), fields(all.get(1))),
            _ => (Word::Failed, Vec::new(), None),
        },
        _ => return Err("no error and no result, or both"),
    };
    Ok(Some((Answer { id: *id, word, body, holdoff }, reader.at)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    const SERVED: &[u8] = b"\x94\x01\x07\xc0\x92\xc6\x00\x00\x00\x02ok\x80";
    const REJECTED: &[u8] = b"\x94\x01\x08\x92\xa7Backoff\x81\xa7holdoff\xa3250\xc0";

    #[test]
    fn answers_are_read_whole_or_not_at_all() {
        let all = [SERVED, REJECTED].concat();
        for cut in 0..all.len() {
            let first = answer(&all[..cut]).unwrap();
            assert_eq!(first.is_some(), cut >= SERVED.len(), "{cut}");
        }
        let (first, n) = answer(&all).unwrap().unwrap();
        assert_eq!((first.id, first.word, &*first.body, n), (7, Word::Served, &b"ok"[..], SERVED.len()));
        let (second, _) = answer(&all[n..]).unwrap().unwrap();
        assert_eq!((second.id, second.word, second.holdoff), (8, Word::Rejected, Some(250)));
        assert!(answer(&[0xc1]).is_err());
    }

    quickcheck! {
        fn damaged_answers_never_panic(bytes: Vec<u8>, at: usize, with: u8) -> bool {
            _ = answer(&bytes);
            let mut one = REJECTED.to_vec();
            let at = at % one.len();
            one[at] = with;
            _ = answer(&one);
            true
        }
    }
}
