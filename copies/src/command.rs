//! What the members of a group agree on, one after the other, and what comes of each: the words of the replicated
//! ledger and their form in protobuf. Must never change the meaning of a field that was used.

use kelpcart_sites::ledger::{Answer, Key};
use kelpcart_sites::wire;
use prost::Message;
use std::sync::Arc;

/// One step of a group's log.
#[derive(Clone, PartialEq, Message)]
pub struct Step {
    /// Microseconds of the group's own time, which its leaders carry on one after the other.
    #[prost(uint64, tag = "1")]
    pub at_us: u64,
    /// The start of the gateway that asks, and its number for that; 0: the group itself.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    #[prost(uint64, tag = "3")]
    pub ask: u64,
    #[prost(message, optional, tag = "4")]
    pub command: Option<Command>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Command {
    #[prost(oneof = "Word", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub word: Option<Word>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Word {
    /// A gateway of another site has come.
    #[prost(message, tag = "1")]
    Greet(Greet),
    /// The asking gateway has a txn and wants to run it.
    #[prost(message, tag = "2")]
    Take(Number),
    #[prost(message, tag = "3")]
    End(End),
    /// What became of it? One that was not taken never will be.
    #[prost(message, tag = "4")]
    Find(Find),
    /// The sender needs no number below.
    #[prost(message, tag = "5")]
    Settle(Number),
    /// This start of a gateway is gone: what it ran may have run.
    #[prost(fixed64, tag = "6")]
    Lost(u64),
    /// What has been kept for its time is let go.
    #[prost(bool, tag = "7")]
    Expire(bool),
    /// What is known of a ledger that lost its majority.
    #[prost(message, tag = "8")]
    Recall(Recall),
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Greet {
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    #[prost(uint64, tag = "2")]
    pub fresh: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Number {
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Find {
    #[prost(message, optional, tag = "1")]
    pub key: Option<Number>,
    /// The ledger that it was sent to, where that is another one.
    #[prost(fixed64, tag = "2")]
    pub of: u64,
}

/// How a txn ended that another ledger had taken.
#[derive(Clone, PartialEq, Message)]
pub struct Note {
    #[prost(fixed64, tag = "1")]
    pub ledger: u64,
    #[prost(message, optional, tag = "2")]
    pub end: Option<End>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Recall {
    #[prost(message, repeated, tag = "1")]
    pub notes: Vec<Note>,
}

#[derive(Clone, PartialEq, Message)]
pub struct End {
    #[prost(message, optional, tag = "1")]
    pub key: Option<Number>,
    #[prost(message, optional, tag = "2")]
    pub answer: Option<Kept>,
    /// The ledger that had taken it; 0: the one that is told.
    #[prost(fixed64, tag = "3")]
    pub of: u64,
}

/// How a txn ended, in the form of a link, with the bytes of its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Kept {
    #[prost(message, optional, tag = "1")]
    pub answer: Option<wire::Answer>,
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}

impl From<Key> for Number {
    fn from(key: Key) -> Number {
        Number { sender: key.sender, number: key.number }
    }
}

impl From<Number> for Key {
    fn from(n: Number) -> Key {
        Key { sender: n.sender, number: n.number }
    }
}

impl From<&Answer> for Kept {
    fn from(answer: &Answer) -> Kept {
        // Its number stands with the key.
        let told = wire::Answer::new(0, answer.outcome, answer.body.len());
        Kept { answer: Some(told), body: answer.body.clone() }
    }
}

impl Kept {
    pub fn answer(self) -> Option<Answer> {
        Some(Answer { outcome: self.answer?.outcome()?, body: self.body })
    }
}

impl End {
    pub fn of(key: Key, answer: &Answer) -> End {
        End { key: Some(key.into()), answer: Some(answer.into()), of: 0 }
    }

    /// `None`: it does not say what ended, or how.
    pub fn read(&self) -> Option<(Key, Answer)> {
        Some((self.key?.into(), self.answer.clone()?.answer()?))
    }
}

impl Word {
    pub fn take(key: Key) -> Word {
        Word::Take(key.into())
    }

    /// `of`: the ledger that it was sent to, 0 where that is the one asked.
    pub fn find(key: Key, of: u64) -> Word {
        Word::Find(Find { key: Some(key.into()), of })
    }

    /// `of`: the ledger that had taken it.
    pub fn end(key: Key, answer: &Answer, of: u64) -> Word {
        Word::End(End { of, ..End::of(key, answer) })
    }
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The sender is remembered; or there is no room for it.
    Greeted(bool),
    /// A majority holds that the asker has it: it may be sent on, by the asker alone.
    Go,
    /// Another gateway runs it, or the same one since an earlier question.
    Running,
    Ended(Arc<Answer>),
    /// It was not taken, and never will be.
    NeverTaken,
    /// There is no room to remember it: it was not taken.
    Full,
    /// It may have run.
    Unknown,
    /// It is noted, or was before.
    Noted,
    /// An ending came after its txn was called unknown.
    TooLate,
}

#[derive(Clone, PartialEq, Message)]
pub struct Result {
    #[prost(enumeration = "What", tag = "1")]
    pub what: i32,
    #[prost(message, optional, tag = "2")]
    pub answer: Option<Kept>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum What {
    None = 0,
    Greeted = 1,
    NotGreeted = 2,
    Go = 3,
    Running = 4,
    Ended = 5,
    NeverTaken = 6,
    Full = 7,
    Unknown = 8,
    Noted = 9,
    TooLate = 10,
}

impl From<&Outcome> for Result {
    fn from(outcome: &Outcome) -> Result {
        let what = match outcome {
            Outcome::Greeted(true) => What::Greeted,
            Outcome::Greeted(false) => What::NotGreeted,
            Outcome::Go => What::Go,
            Outcome::Running => What::Running,
            Outcome::Ended(_) => What::Ended,
            Outcome::NeverTaken => What::NeverTaken,
            Outcome::Full => What::Full,
            Outcome::Unknown => What::Unknown,
            Outcome::Noted => What::Noted,
            Outcome::TooLate => What::TooLate,
        };
        let answer = if let Outcome::Ended(answer) = outcome { Some(Kept::from(&**answer)) } else { None };
        Result { what: what as i32, answer }
    }
}

impl Result {
    pub fn outcome(self) -> Option<Outcome> {
        Some(match What::try_from(self.what).ok()? {
            What::None => return None,
            What::Greeted => Outcome::Greeted(true),
            What::NotGreeted => Outcome::Greeted(false),
            What::Go => Outcome::Go,
            What::Running => Outcome::Running,
            What::Ended => Outcome::Ended(Arc::new(self.answer?.answer()?)),
            What::NeverTaken => Outcome::NeverTaken,
            What::Full => Outcome::Full,
            What::Unknown => Outcome::Unknown,
            What::Noted => Outcome::Noted,
            What::TooLate => Outcome::TooLate,
        })
    }
}
