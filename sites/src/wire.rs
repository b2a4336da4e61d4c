//! Messages sent over a link: protobuf, each prefixed with its length in four bytes (big endian), and the
//! validation of what a peer sends.
//!
//! Invariant: no input from a peer causes a panic, buffers more than one message's bound, or passes an
//! invalid value on. The field numbers are the schema: a used number is never reassigned.

use crate::ledger::TxnOutcome;
use crate::settings::is_name;
use kelpcart::Span;
use prost::Message as _;

/// Both ends must have the same version.
pub const VERSION: u32 = 1;
/// Fits a request with its largest body of 48,000 bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
pub const MAX_REQUEST_BODY_BYTES: usize = 48_000;
/// The body follows the `Answer` message.
pub const MAX_ANSWER_BODY_BYTES: usize = 240_000;
const MAX_PATH_SITES: usize = 16;
const MAX_QUERY_NUMBERS: usize = 512;
/// Above any client's waiting time.
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
    /// The number of a request that has been accepted.
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
    /// All numbers below are settled: the initiator sends no status query about them.
    #[prost(uint64, tag = "11")]
    Settle(u64),
    /// The number of a hop that is cancelled.
    #[prost(uint64, tag = "12")]
    Cancel(u64),
    /// The acceptor accepts no more requests.
    #[prost(bool, tag = "13")]
    Leaving(bool),
    /// The ledger in which the acceptor records requests from now on.
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
    /// New with each start of the initiator's process.
    #[prost(fixed64, tag = "4")]
    pub run_id: u64,
    /// First number that the initiator has not used yet.
    #[prost(uint64, tag = "5")]
    pub next_number: u64,
    /// Requests of txns that may have run before hold `first_attempt_us`. Earlier releases don't state it.
    #[prost(bool, tag = "6")]
    pub states_attempts: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Welcome {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub site: String,
    #[prost(string, tag = "3")]
    pub gateway: String,
    /// Status queries are valid for hops sent while this ledger was current. New at each start where the
    /// ledger is not durable.
    #[prost(fixed64, tag = "4")]
    pub ledger: u64,
    #[prost(uint32, tag = "5")]
    pub credit: u32,
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Whether status queries about earlier ledgers are answered, too.
    #[prost(bool, tag = "7")]
    pub knows_past_ledgers: bool,
    /// The acceptor's clock in microseconds. Absent: it is of an earlier release, which knows neither
    /// `first_attempt_us` nor `start_by_us`.
    #[prost(fixed64, optional, tag = "8")]
    pub clock_us: Option<u64>,
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
    /// The client's own request id and the object; 16 hex digits each in text form.
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
    /// Time budget in microseconds, counted from the arrival of the request.
    #[prost(uint64, tag = "10")]
    pub time_left_us: u64,
    /// Maximum age of a cached copy in microseconds.
    #[prost(uint64, optional, tag = "11")]
    pub max_age_us: Option<u64>,
    /// The sites that the request has crossed, the sender's last.
    #[prost(string, repeated, tag = "12")]
    pub path: Vec<String>,
    /// It must not run twice: the acceptor records it in its ledger.
    #[prost(bool, tag = "13")]
    pub unrepeatable: bool,
    #[prost(uint32, tag = "14")]
    pub importance: u32,
    /// The key by which caches recognize a repeated keyed txn.
    #[prost(string, optional, tag = "15")]
    pub idempotency_key: Option<String>,
    /// When the first attempt that may have run was sent, on the acceptor's clock and never later than it was.
    #[prost(fixed64, optional, tag = "16")]
    pub first_attempt_us: Option<u64>,
    /// Nothing of the txn may be sent after this time, on the acceptor's clock.
    #[prost(fixed64, optional, tag = "17")]
    pub start_by_us: Option<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(enumeration = "AnswerCode", tag = "2")]
    pub code: i32,
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_us: Option<u64>,
    /// Number of body bytes that follow the message.
    #[prost(uint32, tag = "5")]
    pub body_len: u32,
    /// No attempt of the acceptor's site may have run. Earlier releases don't state it.
    #[prost(bool, tag = "6")]
    pub not_run: bool,
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
    /// It did not run and will not: no room, or the number was fenced.
    Refused = 6,
    /// A duplicate whose first outcome is no longer known.
    Forgotten = 7,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusQuery {
    #[prost(uint64, repeated, tag = "1")]
    pub numbers: Vec<u64>,
    /// The ledger that was current when the hops were sent.
    #[prost(fixed64, tag = "2")]
    pub ledger: u64,
}

/// Reply for one number. A finished hop is reported by an `Answer` instead.
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
    /// As in the welcome.
    #[prost(fixed64, optional, tag = "4")]
    pub clock_us: Option<u64>,
}

/// The texts are sent to the peer as the reason of a QUIC close: they stay as earlier releases send them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    #[error("a message of {0} bytes")]
    Length(usize),
    #[error("no protobuf of ours")]
    Encoding,
    #[error("{0} may not be sent so")]
    Value(&'static str),
}

pub fn encode(message: Message) -> Vec<u8> {
    let envelope = Envelope { message: Some(message) };
    let mut buffer = Vec::with_capacity(4 + envelope.encoded_len());
    buffer.extend((envelope.encoded_len() as u32).to_be_bytes());
    buffer.extend(envelope.encode_to_vec());
    buffer
}

/// Length of a message, from its four-byte prefix.
pub fn decode_length(bytes: [u8; 4]) -> Result<usize, DecodeError> {
    match u32::from_be_bytes(bytes) as usize {
        n @ 1..=MAX_MESSAGE_BYTES => Ok(n),
        n => Err(DecodeError::Length(n)),
    }
}

/// Decodes the message at the start of `bytes` and returns it with its length including the prefix; `None`
/// while it is incomplete.
pub fn decode(bytes: &[u8]) -> Result<Option<(Message, usize)>, DecodeError> {
    let Some((first, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let n = decode_length(*first)?;
    if rest.len() < n { Ok(None) } else { Ok(Some((decode_message(&rest[..n])?, n + 4))) }
}

/// Decodes a complete message without its prefix.
pub fn decode_message(bytes: &[u8]) -> Result<Message, DecodeError> {
    let message =
        Envelope::decode(bytes).map_err(|_| DecodeError::Encoding)?.message.ok_or(DecodeError::Encoding)?;
    validate(&message).map_err(DecodeError::Value)?;
    Ok(message)
}

fn validate(message: &Message) -> Result<(), &'static str> {
    let ensure = |valid: bool, what| if valid { Ok(()) } else { Err(what) };
    match message {
        Message::Hello(h) => {
            ensure(h.version == VERSION || !h.site.is_empty(), "a version")?;
            // Of another version only the version number is validated, so that the hello can be refused for
            // it.
            ensure(h.version != VERSION || is_name(&h.site) && is_name(&h.gateway), "a name")?;
            ensure(h.version != VERSION || h.run_id != 0 && h.next_number != 0, "a run or its first number")
        }
        Message::Welcome(w) => ensure(is_name(&w.site) && is_name(&w.gateway) && w.ledger != 0, "a welcome"),
        Message::Refusal(r) => ensure(r.reason.len() <= 200, "a refusal"),
        Message::Request(r) => {
            ensure(r.number != 0, "number 0")?;
            ensure(is_name(&r.rule), "a rule's name")?;
            ensure(r.body.len() <= MAX_REQUEST_BODY_BYTES, "so long a body")?;
            ensure(r.group <= 255, "a group")?;
            ensure(r.size_kb.is_none_or(|kb| kb.is_finite() && kb > 0.0), "a size")?;
            let is_etag = |t: &str| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit());
            ensure(r.etag.as_deref().is_none_or(is_etag), "a tag")?;
            let is_key = |m: &str| {
                (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&m.len()) && m.bytes().all(|b| b.is_ascii_graphic())
            };
            ensure(r.idempotency_key.as_deref().is_none_or(is_key), "a mark")?;
            ensure((1..=MAX_DURATION_US).contains(&r.time_left_us), "a time")?;
            ensure(r.max_age_us != Some(0), "an age of 0")?;
            ensure(r.path.len() <= MAX_PATH_SITES && !r.path.is_empty(), "a path")?;
            ensure(r.path.iter().all(|site| is_name(site)) && r.importance <= 9, "a path or importance")
        }
        Message::Answer(a) => {
            ensure(a.number != 0, "number 0")?;
            ensure(a.body_len as usize <= MAX_ANSWER_BODY_BYTES, "so long an answer")?;
            ensure(
                matches!(AnswerCode::try_from(a.code), Ok(code) if code != AnswerCode::Unspecified),
                "a word",
            )?;
            let served = a.code == AnswerCode::Served as i32;
            ensure(served || a.body_len == 0, "bytes behind such a word")?;
            ensure(a.retry_after_us.is_none_or(|us| us <= MAX_DURATION_US), "a time")
        }
        Message::StatusQuery(a) => {
            ensure(a.numbers.len() <= MAX_QUERY_NUMBERS && !a.numbers.contains(&0), "so many numbers")
        }
        Message::StatusReply(f) => ensure(f.number != 0 && TxnStatus::try_from(f.status).is_ok(), "a fate"),
        Message::Accepted(n) | Message::Cancel(n) | Message::Settle(n) => ensure(*n != 0, "number 0"),
        Message::Ledger(n) => ensure(*n != 0, "ledger 0"),
        Message::Ping(_) | Message::Pong(_) | Message::Leaving(_) => Ok(()),
    }
}

impl Answer {
    pub fn new(number: u64, outcome: TxnOutcome, body_len: usize) -> Answer {
        let (code, retry_after, not_run) = match outcome {
            TxnOutcome::Served => (AnswerCode::Served, None, false),
            TxnOutcome::NotModified => (AnswerCode::NotModified, None, false),
            TxnOutcome::Rejected { retry_after, may_have_run } => {
                (AnswerCode::Rejected, retry_after, !may_have_run)
            }
            TxnOutcome::Aborted => (AnswerCode::Aborted, None, false),
            TxnOutcome::Invalid => (AnswerCode::Invalid, None, true),
        };
        let retry_after_us = retry_after.map(Span::as_micros);
        Answer { number, code: code as i32, retry_after_us, body_len: body_len as u32, not_run }
    }

    pub fn refused(number: u64, code: AnswerCode) -> Answer {
        let not_run = code == AnswerCode::Refused;
        Answer { number, code: code as i32, retry_after_us: None, body_len: 0, not_run }
    }

    /// The txn's outcome; `None` if it did not finish at the acceptor.
    pub fn outcome(&self) -> Option<TxnOutcome> {
        Some(match AnswerCode::try_from(self.code).ok()? {
            AnswerCode::Served => TxnOutcome::Served,
            AnswerCode::NotModified => TxnOutcome::NotModified,
            AnswerCode::Rejected => TxnOutcome::Rejected {
                retry_after: self.retry_after_us.map(Span::from_micros),
                may_have_run: !self.not_run,
            },
            AnswerCode::Aborted => TxnOutcome::Aborted,
            AnswerCode::Invalid => TxnOutcome::Invalid,
            AnswerCode::Unspecified | AnswerCode::Refused | AnswerCode::Forgotten => return None,
        })
    }
}
