//! What the members of a group agree on, one after the other, and what comes of each: the words of the replicated
//! ledger and their form in protobuf. Must never change the meaning of a field that was used.

use kelpcart_sites::ledger::{Answer, Key};
use kelpcart_sites::wire;
use prost::Message;
use std::sync::Arc;

/// One step of a group's log.
#[derive(Clone, PartialEq, Message)]
pub struct LogEntry {
    /// Microseconds of the group's own time, which its leaders carry on one after the other.
    #[prost(uint64, tag = "1")]
    pub at_us: u64,
    /// The start of the gateway that asks, and its number for that; 0: the group itself.
    #[prost(fixed64, tag = "2")]
    pub run_id: u64,
    #[prost(uint64, tag = "3")]
    pub request_id: u64,
    #[prost(message, optional, tag = "4")]
    pub command: Option<Command>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Command {
    #[prost(oneof = "Operation", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub operation: Option<Operation>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Operation {
    /// A gateway of another site has come.
    #[prost(message, tag = "1")]
    RegisterSender(RegisterSender),
    /// The asking gateway has a txn and wants to run it.
    #[prost(message, tag = "2")]
    Accept(TxnKey),
    #[prost(message, tag = "3")]
    End(EndTxn),
    /// What became of it? One that was not taken never will be.
    #[prost(message, tag = "4")]
    Query(Query),
    /// The sender needs no number below.
    #[prost(message, tag = "5")]
    Settle(TxnKey),
    /// This start of a gateway is gone: what it ran may have run.
    #[prost(fixed64, tag = "6")]
    RunnerLost(u64),
    /// What has been kept for its time is let go.
    #[prost(bool, tag = "7")]
    Expire(bool),
    /// What is known of a ledger that lost its majority.
    #[prost(message, tag = "8")]
    ImportOutcomes(ImportOutcomes),
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct RegisterSender {
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    #[prost(uint64, tag = "2")]
    pub next_number: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct TxnKey {
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Query {
    #[prost(message, optional, tag = "1")]
    pub key: Option<TxnKey>,
    /// The ledger that it was sent to, where that is another one.
    #[prost(fixed64, tag = "2")]
    pub ledger: u64,
}

/// How a txn ended that another ledger had taken.
#[derive(Clone, PartialEq, Message)]
pub struct OutcomeRecord {
    #[prost(fixed64, tag = "1")]
    pub ledger: u64,
    #[prost(message, optional, tag = "2")]
    pub end: Option<EndTxn>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ImportOutcomes {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<OutcomeRecord>,
}

#[derive(Clone, PartialEq, Message)]
pub struct EndTxn {
    #[prost(message, optional, tag = "1")]
    pub key: Option<TxnKey>,
    #[prost(message, optional, tag = "2")]
    pub answer: Option<StoredAnswer>,
    /// The ledger that had taken it; 0: the one that is told.
    #[prost(fixed64, tag = "3")]
    pub ledger: u64,
}

/// How a txn ended, in the form of a link, with the bytes of its answer.
#[derive(Clone, PartialEq, Message)]
pub struct StoredAnswer {
    #[prost(message, optional, tag = "1")]
    pub answer: Option<wire::Answer>,
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}

impl From<Key> for TxnKey {
    fn from(key: Key) -> TxnKey {
        TxnKey { sender: key.sender, number: key.number }
    }
}

impl From<TxnKey> for Key {
    fn from(n: TxnKey) -> Key {
        Key { sender: n.sender, number: n.number }
    }
}

impl From<&Answer> for StoredAnswer {
    fn from(answer: &Answer) -> StoredAnswer {
        // Its number stands with the key.
        let header = wire::Answer::new(0, answer.outcome, answer.body.len());
        StoredAnswer { answer: Some(header), body: answer.body.clone() }
    }
}

impl StoredAnswer {
    pub fn answer(self) -> Option<Answer> {
        Some(Answer { outcome: self.answer?.outcome()?, body: self.body })
    }
}

impl EndTxn {
    pub fn new(key: Key, answer: &Answer) -> EndTxn {
        EndTxn { key: Some(key.into()), answer: Some(answer.into()), ledger: 0 }
    }

    /// `None`: it does not say what ended, or how.
    pub fn read(&self) -> Option<(Key, Answer)> {
        Some((self.key?.into(), self.answer.clone()?.answer()?))
    }
}

impl Operation {
    pub fn accept(key: Key) -> Operation {
        Operation::Accept(key.into())
    }

    /// `of`: the ledger that it was sent to, 0 where that is the one asked.
    pub fn query(key: Key, ledger: u64) -> Operation {
        Operation::Query(Query { key: Some(key.into()), ledger })
    }

    /// `of`: the ledger that had taken it.
    pub fn end(key: Key, answer: &Answer, ledger: u64) -> Operation {
        Operation::End(EndTxn { ledger, ..EndTxn::new(key, answer) })
    }
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The sender is remembered; or there is no room for it.
    Registered(bool),
    /// A majority holds that the asker has it: it may be sent on, by the asker alone.
    Granted,
    /// Another gateway runs it, or the same one since an earlier question.
    Running,
    Ended(Arc<Answer>),
    /// It was not taken, and never will be.
    NeverAccepted,
    /// There is no room to remember it: it was not taken.
    Full,
    /// It may have run.
    Unknown,
    /// It is noted, or was before.
    Recorded,
    /// An ending came after its txn was called unknown.
    TooLate,
}

#[derive(Clone, PartialEq, Message)]
pub struct ResultMessage {
    #[prost(enumeration = "ResultCode", tag = "1")]
    pub code: i32,
    #[prost(message, optional, tag = "2")]
    pub answer: Option<StoredAnswer>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResultCode {
    None = 0,
    Registered = 1,
    NotRegistered = 2,
    Granted = 3,
    Running = 4,
    Ended = 5,
    NeverAccepted = 6,
    Full = 7,
    Unknown = 8,
    Recorded = 9,
    TooLate = 10,
}

impl From<&CommandResult> for ResultMessage {
    fn from(outcome: &CommandResult) -> ResultMessage {
        let what = match outcome {
            CommandResult::Registered(true) => ResultCode::Registered,
            CommandResult::Registered(false) => ResultCode::NotRegistered,
            CommandResult::Granted => ResultCode::Granted,
            CommandResult::Running => ResultCode::Running,
            CommandResult::Ended(_) => ResultCode::Ended,
            CommandResult::NeverAccepted => ResultCode::NeverAccepted,
            CommandResult::Full => ResultCode::Full,
            CommandResult::Unknown => ResultCode::Unknown,
            CommandResult::Recorded => ResultCode::Recorded,
            CommandResult::TooLate => ResultCode::TooLate,
        };
        let answer = if let CommandResult::Ended(answer) = outcome {
            Some(StoredAnswer::from(&**answer))
        } else {
            None
        };
        ResultMessage { code: what as i32, answer }
    }
}

impl ResultMessage {
    pub fn into_result(self) -> Option<CommandResult> {
        Some(match ResultCode::try_from(self.code).ok()? {
            ResultCode::None => return None,
            ResultCode::Registered => CommandResult::Registered(true),
            ResultCode::NotRegistered => CommandResult::Registered(false),
            ResultCode::Granted => CommandResult::Granted,
            ResultCode::Running => CommandResult::Running,
            ResultCode::Ended => CommandResult::Ended(Arc::new(self.answer?.answer()?)),
            ResultCode::NeverAccepted => CommandResult::NeverAccepted,
            ResultCode::Full => CommandResult::Full,
            ResultCode::Unknown => CommandResult::Unknown,
            ResultCode::Recorded => CommandResult::Recorded,
            ResultCode::TooLate => CommandResult::TooLate,
        })
    }
}
