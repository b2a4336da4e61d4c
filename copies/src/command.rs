//! Log entries, commands and results of the replicated ledger, and their protobuf form.
//!
//! Invariant: a field number that was used never changes its meaning.

use kelpcart_sites::ledger::{Answer, Key};
use kelpcart_sites::wire;
use prost::Message;
use std::sync::Arc;

/// One entry of a group's log.
#[derive(Clone, PartialEq, Message)]
pub struct LogEntry {
    /// The group's own time in microseconds, which each leader continues from the last entry.
    #[prost(uint64, tag = "1")]
    pub at_us: u64,
    /// Run id of the gateway that submitted the command, and its request id; 0 for a command of the leader itself.
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
    /// Registers a gateway of another site.
    #[prost(message, tag = "1")]
    RegisterSender(RegisterSender),
    /// Accepts a txn that the submitting gateway wants to run.
    #[prost(message, tag = "2")]
    Accept(TxnKey),
    #[prost(message, tag = "3")]
    End(EndTxn),
    /// Queries a txn's status. A txn that was not accepted before never will be.
    #[prost(message, tag = "4")]
    Query(Query),
    /// The sender no longer needs txns below this number.
    #[prost(message, tag = "5")]
    Settle(TxnKey),
    /// The gateway with this run id is gone: the txns that it ran may have run.
    #[prost(fixed64, tag = "6")]
    RunnerLost(u64),
    /// Removes entries that have reached their maximum age.
    #[prost(bool, tag = "7")]
    Expire(bool),
    /// Imports outcomes of a ledger that lost its majority.
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
    /// The ledger that the txn was sent to, if it is another one; else 0.
    #[prost(fixed64, tag = "2")]
    pub ledger: u64,
}

/// The outcome of a txn, with the ledger that had accepted it.
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
    /// The ledger that had accepted the txn; 0: the ledger that receives the command.
    #[prost(fixed64, tag = "3")]
    pub ledger: u64,
}

/// A txn's outcome in the wire form of a link, with the body of its answer.
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
        // The number is part of the key.
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

    /// Returns `None` if the key or the answer is missing.
    pub fn read(&self) -> Option<(Key, Answer)> {
        Some((self.key?.into(), self.answer.clone()?.answer()?))
    }
}

impl Operation {
    pub fn accept(key: Key) -> Operation {
        Operation::Accept(key.into())
    }

    /// `ledger`: the ledger that the txn was sent to; 0: the one that is queried.
    pub fn query(key: Key, ledger: u64) -> Operation {
        Operation::Query(Query { key: Some(key.into()), ledger })
    }

    /// `ledger`: the ledger that had accepted the txn; 0: the one that receives the command.
    pub fn end(key: Key, answer: &Answer, ledger: u64) -> Operation {
        Operation::End(EndTxn { ledger, ..EndTxn::new(key, answer) })
    }
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// Whether the sender is registered; false: there is no room for it.
    Registered(bool),
    /// The acceptance is committed: the submitting gateway, and no other, may run the txn.
    Granted,
    /// Another gateway runs the txn.
    Running,
    Ended(Arc<Answer>),
    /// The txn was not accepted and never will be.
    NeverAccepted,
    /// The ledger is full: the txn was not accepted.
    Full,
    /// The txn may have run.
    Unknown,
    /// The command's effect is recorded, now or by an earlier copy of the command.
    Recorded,
    /// The outcome came after the txn was reported as unknown.
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
