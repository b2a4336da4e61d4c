//! What crosses a link: messages in protobuf, each behind its length in four bytes, with the checks that stand
//! between a peer's bytes and the core. Must never panic on what a peer sends, hold more than a message's bound, or
//! pass on a value that it may not send. The field numbers are the schema: one that was used is never given anew.

use crate::ledger::TxnOutcome;
use crate::settings::is_name;
use kelpcart::Span;
use prost::Message as _;

/// Both ends speak the same one, or do not speak.
pub const VERSION: u32 = 1;
/// A request with its body of 48,000 bytes fits.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
pub const MAX_REQUEST_BODY_BYTES: usize = 48_000;
/// Behind an answer's message.
pub const MAX_ANSWER_BODY_BYTES: usize = 240_000;
const MAX_PATH_SITES: usize = 16;
const MAX_QUERY_NUMBERS: usize = 512;
/// Nobody waits longer.
const MAX_DURATION_US: u64 = 600_000_000;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    #[prost(oneof = "Message", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub message: Option<Message>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Message {
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
    Accepted(u64),
    #[prost(message, tag = "6")]
    Answer(Answer),
    #[prost(message, tag = "7")]
    StatusQuery(StatusQuery),
    #[prost(message, tag = "8")]
    StatusReply(StatusReply),
    #[prost(uint64, tag = "9")]
    Ping(u64),
    #[prost(message, tag = "10")]
    Pong(Pong),
    /// All numbers below are settled: the near end asks for none of them again.
    #[prost(uint64, tag = "11")]
    Settle(u64),
    /// The number of a hop that is given up.
    #[prost(uint64, tag = "12")]
    Cancel(u64),
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
    pub run_id: u64,
    /// It has sent no number from this one on to anybody.
    #[prost(uint64, tag = "5")]
    pub next_number: u64,
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
    pub knows_past_ledgers: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Refusal {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub reason: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(string, tag = "2")]
    pub rule: String,
    /// The client's own id and the object, 16 hex digits each.
    #[prost(fixed64, tag = "3")]
    pub trace_id: u64,
    #[prost(fixed64, tag = "4")]
    pub object: u64,
    #[prost(uint64, tag = "5")]
    pub part: u64,
    #[prost(uint32, tag = "6")]
    pub group: u32,
    #[prost(double, optional, tag = "7")]
    pub size_kb: Option<f64>,
    #[prost(string, optional, tag = "8")]
    pub etag: Option<String>,
    #[prost(bytes = "vec", tag = "9")]
    pub body: Vec<u8>,
    /// How long the far end has, in microseconds from when this came.
    #[prost(uint64, tag = "10")]
    pub time_left_us: u64,
    /// The oldest copy that will do, in microseconds.
    #[prost(uint64, optional, tag = "11")]
    pub max_age_us: Option<u64>,
    /// The sites that it has crossed, the sender's last.
    #[prost(string, repeated, tag = "12")]
    pub path: Vec<String>,
    /// It must not run twice: the far end keeps it in its ledger.
    #[prost(bool, tag = "13")]
    pub unrepeatable: bool,
    #[prost(uint32, tag = "14")]
    pub importance: u32,
    /// The mark by which caches know a repeat of a keyed txn.
    #[prost(string, optional, tag = "15")]
    pub idempotency_key: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(enumeration = "AnswerCode", tag = "2")]
    pub code: i32,
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_us: Option<u64>,
    /// So many bytes follow the message.
    #[prost(uint32, tag = "5")]
    pub body_len: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum AnswerCode {
    Unspecified = 0,
    Served = 1,
    NotModified = 2,
    Rejected = 3,
    Aborted = 4,
    Invalid = 5,
    /// It did not run and will not: no room, or it was fenced.
    Refused = 6,
    /// It came a second time, and what became of the first is not known any more.
    Forgotten = 7,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusQuery {
    #[prost(uint64, repeated, tag = "1")]
    pub numbers: Vec<u64>,
    /// The ledger that they were sent to.
    #[prost(fixed64, tag = "2")]
    pub ledger: u64,
}

/// For one number; what has ended comes as an answer instead.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReply {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(enumeration = "TxnStatus", tag = "2")]
    pub status: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum TxnStatus {
    Unknown = 0,
    NeverAccepted = 1,
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
pub enum DecodeError {
    #[error("a message of {0} bytes")]
    Length(usize),
    #[error("no protobuf of ours")]
    Encoding,
    #[error("{0} may not be sent so")]
    Value(&'static str),
}

pub fn encode(said: Message) -> Vec<u8> {
    let envelope = Envelope { message: Some(said) };
    let mut out = Vec::with_capacity(4 + envelope.encoded_len());
    out.extend((envelope.encoded_len() as u32).to_be_bytes());
    out.extend(envelope.encode_to_vec());
    out
}

/// The length of a message by its first four bytes.
pub fn decode_length(bytes: [u8; 4]) -> Result<usize, DecodeError> {
    match u32::from_be_bytes(bytes) as usize {
        n @ 1..=MAX_MESSAGE_BYTES => Ok(n),
        n => Err(DecodeError::Length(n)),
    }
}

/// The message at the start of `bytes` and its length with the four bytes before it; `None` while it is not whole.
pub fn decode(bytes: &[u8]) -> Result<Option<(Message, usize)>, DecodeError> {
    let Some((first, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let n = decode_length(*first)?;
    if rest.len() < n { Ok(None) } else { Ok(Some((decode_message(&rest[..n])?, n + 4))) }
}

/// A whole message without its length.
pub fn decode_message(bytes: &[u8]) -> Result<Message, DecodeError> {
    let said =
        Envelope::decode(bytes).map_err(|_| DecodeError::Encoding)?.message.ok_or(DecodeError::Encoding)?;
    validate(&said).map_err(DecodeError::Value)?;
    Ok(said)
}

fn validate(said: &Message) -> Result<(), &'static str> {
    let need = |is: bool, what| if is { Ok(()) } else { Err(what) };
    match said {
        Message::Hello(h) => {
            need(h.version == VERSION || !h.site.is_empty(), "a version")?;
            // Of another version only the version counts: it is turned away by that.
            need(h.version != VERSION || is_name(&h.site) && is_name(&h.gateway), "a name")?;
            need(h.version != VERSION || h.run_id != 0 && h.next_number != 0, "a run or its first number")
        }
        Message::Welcome(w) => need(is_name(&w.site) && is_name(&w.gateway) && w.ledger != 0, "a welcome"),
        Message::Refusal(r) => need(r.reason.len() <= 200, "a refusal"),
        Message::Request(r) => {
            need(r.number != 0, "number 0")?;
            need(is_name(&r.rule), "a rule's name")?;
            need(r.body.len() <= MAX_REQUEST_BODY_BYTES, "so long a body")?;
            need(r.group <= 255, "a group")?;
            need(r.size_kb.is_none_or(|kb| kb.is_finite() && kb > 0.0), "a size")?;
            let tag = |t: &str| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit());
            need(r.etag.as_deref().is_none_or(tag), "a tag")?;
            let mark = |m: &str| {
                (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&m.len()) && m.bytes().all(|b| b.is_ascii_graphic())
            };
            need(r.idempotency_key.as_deref().is_none_or(mark), "a mark")?;
            need((1..=MAX_DURATION_US).contains(&r.time_left_us), "a time")?;
            need(r.max_age_us != Some(0), "an age of 0")?;
            need(r.path.len() <= MAX_PATH_SITES && !r.path.is_empty(), "a path")?;
            need(r.path.iter().all(|site| is_name(site)) && r.importance <= 9, "a path or importance")
        }
        Message::Answer(a) => {
            need(a.number != 0, "number 0")?;
            need(a.body_len as usize <= MAX_ANSWER_BODY_BYTES, "so long an answer")?;
            need(
                matches!(AnswerCode::try_from(a.code), Ok(word) if word != AnswerCode::Unspecified),
                "a word",
            )?;
            let served = a.code == AnswerCode::Served as i32;
            need(served || a.body_len == 0, "bytes behind such a word")?;
            need(a.retry_after_us.is_none_or(|us| us <= MAX_DURATION_US), "a time")
        }
        Message::StatusQuery(a) => {
            need(a.numbers.len() <= MAX_QUERY_NUMBERS && !a.numbers.contains(&0), "so many numbers")
        }
        Message::StatusReply(f) => need(f.number != 0 && TxnStatus::try_from(f.status).is_ok(), "a fate"),
        Message::Accepted(n) | Message::Cancel(n) | Message::Settle(n) => need(*n != 0, "number 0"),
        Message::Ledger(n) => need(*n != 0, "ledger 0"),
        Message::Ping(_) | Message::Pong(_) | Message::Leaving(_) => Ok(()),
    }
}

impl Answer {
    pub fn new(number: u64, ending: TxnOutcome, length: usize) -> Answer {
        let (word, come_back) = match ending {
            TxnOutcome::Served => (AnswerCode::Served, None),
            TxnOutcome::NotModified => (AnswerCode::NotModified, None),
            TxnOutcome::Rejected { retry_after: come_back } => (AnswerCode::Rejected, come_back),
            TxnOutcome::Aborted => (AnswerCode::Aborted, None),
            TxnOutcome::Invalid => (AnswerCode::Invalid, None),
        };
        let come_back_us = come_back.map(Span::as_micros);
        Answer { number, code: word as i32, retry_after_us: come_back_us, body_len: length as u32 }
    }

    pub fn refused(number: u64, word: AnswerCode) -> Answer {
        Answer { number, code: word as i32, retry_after_us: None, body_len: 0 }
    }

    /// How it ended there; `None` where it did not come to an end.
    pub fn outcome(&self) -> Option<TxnOutcome> {
        Some(match AnswerCode::try_from(self.code).ok()? {
            AnswerCode::Served => TxnOutcome::Served,
            AnswerCode::NotModified => TxnOutcome::NotModified,
            AnswerCode::Rejected => {
                TxnOutcome::Rejected { retry_after: self.retry_after_us.map(Span::from_micros) }
            }
            AnswerCode::Aborted => TxnOutcome::Aborted,
            AnswerCode::Invalid => TxnOutcome::Invalid,
            AnswerCode::Unspecified | AnswerCode::Refused | AnswerCode::Forgotten => return None,
        })
    }
}
