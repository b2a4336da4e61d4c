//! The replicated ledger: what each member of a group makes of the same steps. Holds the ledger of `kelpcart-sites`,
//! which gateway runs what, and the names behind the members' ids. Must give the same from the same steps in every
//! process: no clock, no chance, no order of a hash map.

use crate::command::{Kept, Outcome, Word};
use kelpcart::{Span, Time};
use kelpcart_sites::ledger::{Bounds, Found, Intake, Key, Ledger, Stand, Standing};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Debug)]
pub struct Machine {
    bounds: Bounds,
    /// The group's own time as of the last step.
    at: Time,
    ledger: Ledger,
    /// Which start of a gateway runs what.
    runs: BTreeMap<Key, u64>,
    /// Each member by its id: the start of a holder that it is.
    pub members: BTreeMap<u64, Member>,
}

/// All of it, as it goes to a member that is too far behind for the steps.
#[derive(Clone, PartialEq, Message)]
struct Image {
    #[prost(uint64, tag = "1")]
    at_us: u64,
    #[prost(message, repeated, tag = "2")]
    senders: Vec<Sender>,
    #[prost(message, repeated, tag = "3")]
    entries: Vec<Entry>,
    #[prost(message, repeated, tag = "4")]
    members: Vec<Member>,
}

#[derive(Clone, PartialEq, Message)]
struct Sender {
    #[prost(fixed64, tag = "1")]
    sender: u64,
    #[prost(uint64, tag = "2")]
    floor: u64,
    #[prost(uint64, tag = "3")]
    heard_us: u64,
}

#[derive(Clone, PartialEq, Message)]
struct Entry {
    #[prost(fixed64, tag = "1")]
    sender: u64,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(uint64, tag = "3")]
    at_us: u64,
    #[prost(enumeration = "State", tag = "4")]
    state: i32,
    #[prost(fixed64, tag = "5")]
    run: u64,
    #[prost(message, optional, tag = "6")]
    answer: Option<Kept>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum State {
    Running = 0,
    Ended = 1,
    Lost = 2,
    Fenced = 3,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Member {
    /// New with each time that it is let in: what an earlier membership was sent, or voted, is none of this one's.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    #[prost(uint32, tag = "2")]
    pub holder: u32,
    #[prost(fixed64, tag = "3")]
    pub run: u64,
}

impl Machine {
    pub fn new(bounds: Bounds) -> Machine {
        let ledger = Ledger::new(bounds, false);
        Machine { bounds, at: Time::default(), ledger, runs: BTreeMap::new(), members: BTreeMap::new() }
    }

    pub fn at(&self) -> Time {
        self.at
    }

    /// `run`: the start of the gateway that asks.
    pub fn apply(&mut self, at: Time, run: u64, word: &Word) -> Outcome {
        // Guards against a leader whose steps were stamped before the last one's: time never goes back here.
        self.at = self.at.max(at);
        let now = self.at;
        match word {
            Word::Greet(g) => Outcome::Greeted(self.ledger.greet(now, g.sender, g.fresh)),
            Word::Take(n) => self.take(now, run, (*n).into()),
            Word::End(end) => {
                let (Some(key), Some(answer)) = (end.key, end.answer.clone().and_then(Kept::answer)) else {
                    return Outcome::Unknown;
                };
                self.end(now, run, key.into(), Arc::new(answer))
            }
            Word::Find(n) => match self.ledger.find(now, (*n).into()) {
                Found::NeverTaken => Outcome::NeverTaken,
                Found::Running => Outcome::Running,
                Found::Ended(answer) => Outcome::Ended(answer),
                Found::Unknown => Outcome::Unknown,
            },
            Word::Settle(n) => {
                self.ledger.settle(n.sender, n.number);
                self.drop_runs();
                Outcome::Noted
            }
            Word::Lost(gone) => {
                let keys: Vec<Key> = self.runs.iter().filter(|(_, r)| *r == gone).map(|(k, _)| *k).collect();
                for key in keys {
                    self.ledger.lose(now, key);
                    self.runs.remove(&key);
                }
                Outcome::Noted
            }
            Word::Expire(_) => {
                self.ledger.expire(now);
                Outcome::Noted
            }
        }
    }

    fn take(&mut self, now: Time, run: u64, key: Key) -> Outcome {
        match self.ledger.take(now, key) {
            Intake::New => {
                self.runs.insert(key, run);
                Outcome::Go
            }
            // The same question again, since its first answer was lost.
            Intake::Running if self.runs.get(&key) == Some(&run) => Outcome::Go,
            Intake::Running => Outcome::Running,
            Intake::Ended(answer) => Outcome::Ended(answer),
            Intake::Full => Outcome::Full,
            Intake::Fenced => Outcome::NeverTaken,
            Intake::Forgotten => Outcome::Unknown,
        }
    }

    /// Only who runs it can end it, and only once.
    fn end(&mut self, now: Time, run: u64, key: Key, answer: Arc<kelpcart_sites::ledger::Answer>) -> Outcome {
        if self.runs.get(&key) == Some(&run) {
            self.runs.remove(&key);
            self.ledger.end(now, key, &answer);
            return Outcome::Noted;
        }
        match self.ledger.known(now, key) {
            Some(Intake::Ended(kept)) if kept == answer => Outcome::Noted,
            _ => Outcome::TooLate,
        }
    }

    /// What was settled is nobody's any more.
    fn drop_runs(&mut self) {
        let ledger = &self.ledger;
        self.runs.retain(|key, _| ledger.is_running(*key));
    }

    /// Starts of gateways that run something, and how much.
    pub fn runners(&self) -> BTreeMap<u64, usize> {
        let mut all = BTreeMap::new();
        self.runs.values().for_each(|run| *all.entry(*run).or_default() += 1);
        all
    }

    /// Whether `Expire` would let something go by then.
    pub fn has_old(&self, at: Time) -> bool {
        self.ledger.has_old(at)
    }

    pub fn image(&self) -> Vec<u8> {
        let (senders, entries) = self.ledger.all();
        let sender = |s: (u64, u64, Time)| Sender { sender: s.0, floor: s.1, heard_us: s.2.as_micros() };
        let entry = |(key, at, stand): (Key, Time, Stand)| {
            let (state, answer) = match stand {
                Stand::Running => (State::Running, None),
                Stand::Ended(answer) => (State::Ended, Some(Kept::from(&*answer))),
                Stand::Lost => (State::Lost, None),
                Stand::Fenced => (State::Fenced, None),
            };
            Entry {
                sender: key.sender,
                number: key.number,
                at_us: at.as_micros(),
                state: state as i32,
                run: self.runs.get(&key).copied().unwrap_or(0),
                answer,
            }
        };
        let image = Image {
            at_us: self.at.as_micros(),
            senders: senders.into_iter().map(sender).collect(),
            entries: entries.into_iter().map(entry).collect(),
            members: self.members.values().copied().collect(),
        };
        image.encode_to_vec()
    }

    /// `None`: it is no image of ours, and nothing of it was taken in.
    pub fn from_image(bounds: Bounds, bytes: &[u8]) -> Option<Machine> {
        let image = Image::decode(bytes).ok()?;
        let mut runs = BTreeMap::new();
        let mut entries: Vec<Standing> = Vec::with_capacity(image.entries.len());
        for e in image.entries {
            let key = Key { sender: e.sender, number: e.number };
            let stand = match State::try_from(e.state).ok()? {
                State::Running => {
                    runs.insert(key, e.run);
                    Stand::Running
                }
                State::Ended => Stand::Ended(Arc::new(e.answer?.answer()?)),
                State::Lost => Stand::Lost,
                State::Fenced => Stand::Fenced,
            };
            entries.push((key, Time::from_micros(e.at_us), stand));
        }
        let senders = image.senders.iter().map(|s| (s.sender, s.floor, Time::from_micros(s.heard_us)));
        Some(Machine {
            bounds,
            at: Time::from_micros(image.at_us),
            ledger: Ledger::from_all(bounds, senders, entries),
            runs,
            members: image.members.iter().map(|m| (m.id, *m)).collect(),
        })
    }

    /// Takes an image's place, or stays as it is where that can't be read.
    pub fn restore(&mut self, bytes: &[u8]) -> bool {
        let read = Machine::from_image(self.bounds, bytes);
        read.map(|machine| *self = machine).is_some()
    }

    pub fn len(&self) -> usize {
        self.ledger.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.ledger.bytes()
    }

    pub fn running(&self) -> usize {
        self.runs.len()
    }
}

pub fn bounds(b: &crate::settings::Bounds) -> Bounds {
    let age = Span::from_millis(b.age_ms);
    Bounds { entries: b.entries, bytes: b.bytes, age, senders: b.gateways }
}
