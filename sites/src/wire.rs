//! What crosses a link: messages in protobuf, each behind its length in four bytes, with the checks that stand
//! between a peer's bytes and the core. Must never panic on what a peer sends, hold more than a message's bound, or
//! pass on a value that it may not send. The field numbers are the schema: one that was used is never given anew.

use crate::ledger::Ending;
use crate::settings::is_name;
use kelpcart::Span;
use prost::Message as _;

/// Both ends speak the same one, or do not speak.
pub const VERSION: u32 = 1;
/// A request with its body of 48,000 bytes fits.
pub const MOST_MESSAGE: usize = 64 * 1024;
const MOST_MARK: usize = 256;
pub const MOST_BODY: usize = 48_000;
/// Behind an answer's message.
pub const MOST_ANSWER: usize = 240_000;
const MOST_PATH: usize = 16;
const MOST_ASKED: usize = 512;
/// Nobody waits longer.
const LONGEST: u64 = 600_000_000;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    #[prost(oneof = "Said", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub said: Option<Said>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Said {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Welcome(Welcome),
    #[prost(message, tag = "3")]
    Refusal(Refusal),
    #[prost(message, tag = "4")]
    Request(Request),
    /// The number of a request that has been taken.
    #[prost(uint64, tag = "5")]
    Taken(u64),
    #[prost(message, tag = "6")]
    Answer(Answer),
    #[prost(message, tag = "7")]
    Ask(Ask),
    #[prost(message, tag = "8")]
    Found(Found),
    #[prost(uint64, tag = "9")]
    Ping(u64),
    #[prost(message, tag = "10")]
    Pong(Pong),
    /// All numbers below are settled: the near end asks for none of them again.
    #[prost(uint64, tag = "11")]
    Settle(u64),
    /// The number of a hop that is given up.
    #[prost(uint64, tag = "12")]
    GiveUp(u64),
    /// The far end takes no more.
    #[prost(bool, tag = "13")]
    Leaving(bool),
    /// The ledger that keeps what the far end takes from now on.
    #[prost(fixed64, tag = "14")]
    Ledger(u64),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub site: String,
    #[prost(string, tag = "3")]
    pub gateway: String,
    /// New with each start of the near gateway.
    #[prost(fixed64, tag = "4")]
    pub run: u64,
    /// It has sent no number from this one on to anybody.
    #[prost(uint64, tag = "5")]
    pub fresh: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Welcome {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub site: String,
    #[prost(string, tag = "3")]
    pub gateway: String,
    /// Whose answers to questions about earlier hops are worth something: new where nothing is remembered.
    #[prost(fixed64, tag = "4")]
    pub ledger: u64,
    #[prost(uint32, tag = "5")]
    pub credit: u32,
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// It may be asked about what earlier ledgers had taken, too.
    #[prost(bool, tag = "7")]
    pub recalls: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Refusal {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub why: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(string, tag = "2")]
    pub rule: String,
    /// The client's own id and the object, 16 hex digits each.
    #[prost(fixed64, tag = "3")]
    pub trace: u64,
    #[prost(fixed64, tag = "4")]
    pub object: u64,
    #[prost(uint64, tag = "5")]
    pub part: u64,
    #[prost(uint32, tag = "6")]
    pub group: u32,
    #[prost(double, optional, tag = "7")]
    pub need: Option<f64>,
    #[prost(string, optional, tag = "8")]
    pub seen: Option<String>,
    #[prost(bytes = "vec", tag = "9")]
    pub body: Vec<u8>,
    /// How long the far end has, in microseconds from when this came.
    #[prost(uint64, tag = "10")]
    pub left_us: u64,
    /// The oldest copy that will do, in microseconds.
    #[prost(uint64, optional, tag = "11")]
    pub oldest_us: Option<u64>,
    /// The sites that it has crossed, the sender's last.
    #[prost(string, repeated, tag = "12")]
    pub path: Vec<String>,
    /// It must not run twice: the far end keeps it in its ledger.
    #[prost(bool, tag = "13")]
    pub once: bool,
    #[prost(uint32, tag = "14")]
    pub importance: u32,
    /// The mark by which caches know a repeat of a keyed txn.
    #[prost(string, optional, tag = "15")]
    pub mark: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(enumeration = "Word", tag = "2")]
    pub word: i32,
    #[prost(uint64, optional, tag = "3")]
    pub come_back_us: Option<u64>,
    /// So many bytes follow the message.
    #[prost(uint32, tag = "5")]
    pub length: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Word {
    None = 0,
    Served = 1,
    Current = 2,
    Rejected = 3,
    Aborted = 4,
    Invalid = 5,
    /// It did not run and will not: no room, or it was fenced.
    Turned = 6,
    /// It came a second time, and what became of the first is not known any more.
    Forgotten = 7,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    #[prost(uint64, repeated, tag = "1")]
    pub numbers: Vec<u64>,
    /// The ledger that they were sent to.
    #[prost(fixed64, tag = "2")]
    pub ledger: u64,
}

/// For one number; what has ended comes as an answer instead.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Found {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(enumeration = "Fate", tag = "2")]
    pub fate: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Fate {
    Unknown = 0,
    NeverTaken = 1,
    Running = 2,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(uint32, tag = "2")]
    pub credit: u32,
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damaged {
    #[error("a message of {0} bytes")]
    Long(usize),
    #[error("no protobuf of ours")]
    Form,
    #[error("{0} may not be sent so")]
    Value(&'static str),
}

pub fn encode(said: Said) -> Vec<u8> {
    let envelope = Envelope { said: Some(said) };
    let mut out = Vec::with_capacity(4 + envelope.encoded_len());
    out.extend((envelope.encoded_len() as u32).to_be_bytes());
    out.extend(envelope.encode_to_vec());
    out
}

/// The length of a message by its first four bytes.
pub fn length(bytes: [u8; 4]) -> Result<usize, Damaged> {
    match u32::from_be_bytes(bytes) as usize {
        n @ 1..=MOST_MESSAGE => Ok(n),
        n => Err(Damaged::Long(n)),
    }
}

/// The message at the start of `bytes` and its length with the four bytes before it; `None` while it is not whole.
pub fn decode(bytes: &[u8]) -> Result<Option<(Said, usize)>, Damaged> {
    let Some((first, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let n = length(*first)?;
    if rest.len() < n { Ok(None) } else { Ok(Some((message(&rest[..n])?, n + 4))) }
}

/// A whole message without its length.
pub fn message(bytes: &[u8]) -> Result<Said, Damaged> {
    let said = Envelope::decode(bytes).map_err(|_| Damaged::Form)?.said.ok_or(Damaged::Form)?;
    check(&said).map_err(Damaged::Value)?;
    Ok(said)
}

fn check(said: &Said) -> Result<(), &'static str> {
    let need = |is: bool, what| if is { Ok(()) } else { Err(what) };
    match said {
        Said::Hello(h) => {
            need(h.version == VERSION || !h.site.is_empty(), "a version")?;
            // Of another version only the version counts: it is turned away by that.
            need(h.version != VERSION || is_name(&h.site) && is_name(&h.gateway), "a name")?;
            need(h.version != VERSION || h.run != 0 && h.fresh != 0, "a run or its first number")
        }
        Said::Welcome(w) => need(is_name(&w.site) && is_name(&w.gateway) && w.ledger != 0, "a welcome"),
        Said::Refusal(r) => need(r.why.len() <= 200, "a refusal"),
        Said::Request(r) => {
            need(r.number != 0, "number 0")?;
            need(is_name(&r.rule), "a rule's name")?;
            need(r.body.len() <= MOST_BODY, "so long a body")?;
            need(r.group <= 255, "a group")?;
            need(r.need.is_none_or(|kb| kb.is_finite() && kb > 0.0), "a size")?;
            let tag = |t: &str| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit());
            need(r.seen.as_deref().is_none_or(tag), "a tag")?;
            let mark =
                |m: &str| (1..=MOST_MARK).contains(&m.len()) && m.bytes().all(|b| b.is_ascii_graphic());
            need(r.mark.as_deref().is_none_or(mark), "a mark")?;
            need((1..=LONGEST).contains(&r.left_us), "a time")?;
            need(r.oldest_us != Some(0), "an age of 0")?;
            need(r.path.len() <= MOST_PATH && !r.path.is_empty(), "a path")?;
            need(r.path.iter().all(|site| is_name(site)) && r.importance <= 9, "a path or importance")
        }
        Said::Answer(a) => {
            need(a.number != 0, "number 0")?;
            need(a.length as usize <= MOST_ANSWER, "so long an answer")?;
            need(matches!(Word::try_from(a.word), Ok(word) if word != Word::None), "a word")?;
            let served = a.word == Word::Served as i32;
            need(served || a.length == 0, "bytes behind such a word")?;
            need(a.come_back_us.is_none_or(|us| us <= LONGEST), "a time")
        }
        Said::Ask(a) => need(a.numbers.len() <= MOST_ASKED && !a.numbers.contains(&0), "so many numbers"),
        Said::Found(f) => need(f.number != 0 && Fate::try_from(f.fate).is_ok(), "a fate"),
        Said::Taken(n) | Said::GiveUp(n) | Said::Settle(n) => need(*n != 0, "number 0"),
        Said::Ledger(n) => need(*n != 0, "ledger 0"),
        Said::Ping(_) | Said::Pong(_) | Said::Leaving(_) => Ok(()),
    }
}

impl Answer {
    pub fn of(number: u64, ending: Ending, length: usize) -> Answer {
        let (word, come_back) = match ending {
            Ending::Served => (Word::Served, None),
            Ending::Current => (Word::Current, None),
            Ending::Rejected { come_back } => (Word::Rejected, come_back),
            Ending::Aborted => (Word::Aborted, None),
            Ending::Invalid => (Word::Invalid, None),
        };
        let come_back_us = come_back.map(Span::as_micros);
        Answer { number, word: word as i32, come_back_us, length: length as u32 }
    }

    pub fn turned(number: u64, word: Word) -> Answer {
        Answer { number, word: word as i32, come_back_us: None, length: 0 }
    }

    /// How it ended there; `None` where it did not come to an end.
    pub fn ending(&self) -> Option<Ending> {
        Some(match Word::try_from(self.word).ok()? {
            Word::Served => Ending::Served,
            Word::Current => Ending::Current,
            Word::Rejected => Ending::Rejected { come_back: self.come_back_us.map(Span::from_micros) },
            Word::Aborted => Ending::Aborted,
            Word::Invalid => Ending::Invalid,
            Word::None | Word::Turned | Word::Forgotten => return None,
        })
    }
}
