//! The replicated state machine: the ledger of `kelpcart-sites`, the run id that runs each txn, the group's members,
//! and the outcomes imported from earlier ledgers that lost their majority. Of those ledgers it knows only how txns
//! ended, never that a txn was not accepted.
//!
//! Invariant: the same log gives the same state in every process, so nothing here depends on a clock, on random
//! numbers or on the order of a hash map.

use crate::command::{CommandResult, EndTxn, Operation, OutcomeRecord, Query, StoredAnswer};
use kelpcart::{Span, Time};
use kelpcart_sites::ledger::{Admission, Answer, Bounds, EntrySnapshot, EntryState, Key, Ledger, Lookup};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Debug)]
pub struct Machine {
    bounds: Bounds,
    /// The group's time as of the last log entry.
    time: Time,
    ledger: Ledger,
    /// The run id of the gateway that runs each txn.
    runner_of: BTreeMap<Key, u64>,
    /// The members by membership id.
    pub members: BTreeMap<u64, Member>,
    /// The id of this ledger.
    ledger_id: u64,
    /// Outcomes of txns that earlier ledgers had accepted, by ledger and key. `None` marks a txn that was queried
    /// while unknown, which stays unknown.
    imported: BTreeMap<(u64, Key), Imported>,
    imported_bytes: usize,
}

/// When the outcome became known here, and the outcome.
type Imported = (Time, Option<Arc<Answer>>);

/// A ledger younger than this may still import outcomes, so it does not report a txn as unknown yet.
const IMPORT_GRACE: Span = Span::from_millis(2_000);

/// The whole state, for a member that is behind the start of the log.
#[derive(Clone, PartialEq, Message)]
struct Snapshot {
    #[prost(uint64, tag = "1")]
    at_us: u64,
    #[prost(message, repeated, tag = "2")]
    senders: Vec<Sender>,
    #[prost(message, repeated, tag = "3")]
    entries: Vec<Entry>,
    #[prost(message, repeated, tag = "4")]
    members: Vec<Member>,
    #[prost(message, repeated, tag = "5")]
    imported: Vec<ImportedOutcome>,
}

#[derive(Clone, PartialEq, Message)]
struct ImportedOutcome {
    #[prost(uint64, tag = "1")]
    at_us: u64,
    #[prost(message, optional, tag = "2")]
    note: Option<OutcomeRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct Sender {
    #[prost(fixed64, tag = "1")]
    sender: u64,
    #[prost(uint64, tag = "2")]
    floor: u64,
    #[prost(uint64, tag = "3")]
    last_seen_us: u64,
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
    run_id: u64,
    #[prost(message, optional, tag = "6")]
    answer: Option<StoredAnswer>,
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
    /// New with each admission to the group, so that messages and votes of an earlier membership do not apply to this
    /// one.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    #[prost(uint32, tag = "2")]
    pub holder: u32,
    #[prost(fixed64, tag = "3")]
    pub run_id: u64,
}

impl Machine {
    /// `ledger_id`: the ledger's id, new with each founding.
    pub fn new(bounds: Bounds, ledger_id: u64) -> Machine {
        Machine {
            bounds,
            time: Time::default(),
            ledger: Ledger::new(bounds, false),
            runner_of: BTreeMap::new(),
            members: BTreeMap::new(),
            ledger_id,
            imported: BTreeMap::new(),
            imported_bytes: 0,
        }
    }

    pub fn time(&self) -> Time {
        self.time
    }

    /// Applies a command. `run_id`: the start of the gateway that submitted it.
    pub fn apply(&mut self, at: Time, run_id: u64, operation: &Operation) -> CommandResult {
        // A new leader's time may be behind the last entry's: the group's time never goes back.
        self.time = self.time.max(at);
        let now = self.time;
        match operation {
            Operation::RegisterSender(g) => {
                CommandResult::Registered(self.ledger.register(now, g.sender, g.next_number))
            }
            Operation::Accept(n) => self.accept(now, run_id, (*n).into()),
            Operation::End(end) => {
                let Some((key, answer)) = end.read() else { return CommandResult::Unknown };
                if end.ledger != 0 && end.ledger != self.ledger_id {
                    return self.import(now, end.ledger, key, answer);
                }
                self.end(now, run_id, key, Arc::new(answer))
            }
            Operation::Query(find) => self.query(now, find),
            Operation::ImportOutcomes(recall) => {
                for record in &recall.records {
                    if let Some((key, answer)) = record.end.as_ref().and_then(EndTxn::read) {
                        self.import(now, record.ledger, key, answer);
                    }
                }
                CommandResult::Recorded
            }
            Operation::Settle(n) => {
                self.ledger.settle(n.sender, n.number);
                self.drop_settled_runners();
                CommandResult::Recorded
            }
            Operation::RunnerLost(gone) => {
                let keys: Vec<Key> =
                    self.runner_of.iter().filter(|(_, r)| *r == gone).map(|(k, _)| *k).collect();
                for key in keys {
                    self.ledger.mark_lost(now, key);
                    self.runner_of.remove(&key);
                }
                CommandResult::Recorded
            }
            Operation::Expire(_) => {
                self.ledger.expire(now);
                let old = |at: Time| now - at >= self.bounds.age;
                let gone: usize = self
                    .imported
                    .values()
                    .filter(|r| old(r.0))
                    .map(|r| r.1.as_ref().map_or(0, |a| a.body.len()))
                    .sum();
                self.imported_bytes -= gone;
                self.imported.retain(|_, r| now - r.0 < self.bounds.age);
                CommandResult::Recorded
            }
        }
    }

    fn query(&mut self, now: Time, find: &Query) -> CommandResult {
        let Some(key) = find.key.map(Key::from) else { return CommandResult::Unknown };
        if find.ledger != 0 && find.ledger != self.ledger_id {
            // That an earlier ledger did not accept the txn can't be proven any more.
            let known = self.imported.get(&(find.ledger, key)).map(|r| r.1.clone());
            return match known {
                Some(Some(answer)) => CommandResult::Ended(answer),
                None if now - Time::default() < IMPORT_GRACE => CommandResult::Running,
                _ => {
                    if self.imported.len() < self.bounds.entries {
                        self.imported.entry((find.ledger, key)).or_insert((now, None));
                    }
                    CommandResult::Unknown
                }
            };
        }
        match self.ledger.lookup(now, key) {
            Lookup::NeverAccepted => CommandResult::NeverAccepted,
            Lookup::Running => CommandResult::Running,
            Lookup::Ended(answer) => CommandResult::Ended(answer),
            Lookup::Unknown => CommandResult::Unknown,
        }
    }

    /// Records the outcome of a txn that another ledger had accepted.
    fn import(&mut self, now: Time, ledger: u64, key: Key, answer: Answer) -> CommandResult {
        if ledger == self.ledger_id {
            return CommandResult::TooLate;
        }
        if let Some((_, known)) = self.imported.get(&(ledger, key)) {
            let same = known.as_deref() == Some(&answer);
            return if same { CommandResult::Recorded } else { CommandResult::TooLate };
        }
        let bytes = self.imported_bytes + answer.body.len();
        if self.imported.len() >= self.bounds.entries || bytes > self.bounds.bytes {
            return CommandResult::TooLate;
        }
        self.imported_bytes = bytes;
        self.imported.insert((ledger, key), (now, Some(Arc::new(answer))));
        CommandResult::Recorded
    }

    /// All outcomes known here, for import by the next ledger.
    pub fn outcome_records(&self) -> Vec<OutcomeRecord> {
        let (_, entries) = self.ledger.snapshot();
        let own = entries.into_iter().filter_map(|(key, _, state)| match state {
            EntryState::Ended(answer) => {
                Some(OutcomeRecord { ledger: self.ledger_id, end: Some(EndTxn::new(key, &answer)) })
            }
            _ => None,
        });
        let others = self.imported.iter();
        let others = others.filter_map(|((ledger, key), (_, answer))| {
            Some(OutcomeRecord { ledger: *ledger, end: Some(EndTxn::new(*key, answer.as_ref()?)) })
        });
        own.chain(others).collect()
    }

    fn accept(&mut self, now: Time, run_id: u64, key: Key) -> CommandResult {
        match self.ledger.accept(now, key) {
            Admission::New => {
                self.runner_of.insert(key, run_id);
                CommandResult::Granted
            }
            // The request was sent again because its first reply was lost.
            Admission::Running if self.runner_of.get(&key) == Some(&run_id) => CommandResult::Granted,
            Admission::Running => CommandResult::Running,
            Admission::Ended(answer) => CommandResult::Ended(answer),
            Admission::Full => CommandResult::Full,
            Admission::Fenced => CommandResult::NeverAccepted,
            Admission::Forgotten => CommandResult::Unknown,
        }
    }

    /// Only the gateway that runs a txn can end it, and only once.
    fn end(&mut self, now: Time, run_id: u64, key: Key, answer: Arc<Answer>) -> CommandResult {
        if self.runner_of.get(&key) == Some(&run_id) {
            self.runner_of.remove(&key);
            self.ledger.finish(now, key, &answer);
            return CommandResult::Recorded;
        }
        match self.ledger.previous_admission(now, key) {
            Some(Admission::Ended(kept)) if kept == answer => CommandResult::Recorded,
            _ => CommandResult::TooLate,
        }
    }

    /// Drops the runners of settled txns.
    fn drop_settled_runners(&mut self) {
        let ledger = &self.ledger;
        self.runner_of.retain(|key, _| ledger.is_running(*key));
    }

    /// The run ids that run txns, with the number of txns each.
    pub fn runners(&self) -> BTreeMap<u64, usize> {
        let mut all = BTreeMap::new();
        self.runner_of.values().for_each(|run_id| *all.entry(*run_id).or_default() += 1);
        all
    }

    /// Whether `Expire` would remove anything at this time.
    pub fn has_expired(&self, at: Time) -> bool {
        self.ledger.has_expired(at) || self.imported.values().any(|r| at - r.0 >= self.bounds.age)
    }

    pub fn snapshot(&self) -> Vec<u8> {
        let (senders, entries) = self.ledger.snapshot();
        let sender = |s: (u64, u64, Time)| Sender { sender: s.0, floor: s.1, last_seen_us: s.2.as_micros() };
        let entry = |(key, at, state): (Key, Time, EntryState)| {
            let (state, answer) = match state {
                EntryState::Running => (State::Running, None),
                EntryState::Ended(answer) => (State::Ended, Some(StoredAnswer::from(&*answer))),
                EntryState::Lost => (State::Lost, None),
                EntryState::Fenced => (State::Fenced, None),
            };
            Entry {
                sender: key.sender,
                number: key.number,
                at_us: at.as_micros(),
                state: state as i32,
                run_id: self.runner_of.get(&key).copied().unwrap_or(0),
                answer,
            }
        };
        let imported = |((ledger, key), (at, answer)): (&(u64, Key), &Imported)| {
            // An unknown outcome is stored as its key alone.
            let end = answer
                .as_ref()
                .map_or(EndTxn { key: Some((*key).into()), ..EndTxn::default() }, |a| EndTxn::new(*key, a));
            ImportedOutcome {
                at_us: at.as_micros(),
                note: Some(OutcomeRecord { ledger: *ledger, end: Some(end) }),
            }
        };
        let snapshot = Snapshot {
            at_us: self.time.as_micros(),
            senders: senders.into_iter().map(sender).collect(),
            entries: entries.into_iter().map(entry).collect(),
            members: self.members.values().copied().collect(),
            imported: self.imported.iter().map(imported).collect(),
        };
        snapshot.encode_to_vec()
    }

    /// Returns `None` if the bytes are not a valid snapshot.
    pub fn from_snapshot(bounds: Bounds, ledger_id: u64, bytes: &[u8]) -> Option<Machine> {
        let snapshot = Snapshot::decode(bytes).ok()?;
        let mut runner_of = BTreeMap::new();
        let mut entries: Vec<EntrySnapshot> = Vec::with_capacity(snapshot.entries.len());
        for e in snapshot.entries {
            let key = Key { sender: e.sender, number: e.number };
            let state = match State::try_from(e.state).ok()? {
                State::Running => {
                    runner_of.insert(key, e.run_id);
                    EntryState::Running
                }
                State::Ended => EntryState::Ended(Arc::new(e.answer?.answer()?)),
                State::Lost => EntryState::Lost,
                State::Fenced => EntryState::Fenced,
            };
            entries.push((key, Time::from_micros(e.at_us), state));
        }
        let (mut imported, mut imported_bytes) = (BTreeMap::new(), 0);
        for one in snapshot.imported {
            let record = one.note?;
            let end = record.end?;
            let answer = end.read().map(|(_, answer)| Arc::new(answer));
            imported_bytes += answer.as_ref().map_or(0, |a| a.body.len());
            imported.insert((record.ledger, end.key?.into()), (Time::from_micros(one.at_us), answer));
        }
        let senders = snapshot.senders.iter().map(|s| (s.sender, s.floor, Time::from_micros(s.last_seen_us)));
        Some(Machine {
            bounds,
            time: Time::from_micros(snapshot.at_us),
            ledger: Ledger::from_snapshot(bounds, senders, entries),
            runner_of,
            members: snapshot.members.iter().map(|m| (m.id, *m)).collect(),
            ledger_id,
            imported,
            imported_bytes,
        })
    }

    /// Replaces the state with a snapshot's. Returns false and changes nothing if the snapshot is invalid.
    pub fn restore(&mut self, bytes: &[u8]) -> bool {
        let read = Machine::from_snapshot(self.bounds, self.ledger_id, bytes);
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
        self.runner_of.len()
    }

    /// Imported outcomes of earlier ledgers.
    pub fn imported(&self) -> usize {
        self.imported.len()
    }
}

pub fn bounds(b: &crate::settings::Bounds) -> Bounds {
    let age = Span::from_millis(b.age_ms);
    Bounds { entries: b.entries, bytes: b.bytes, age, senders: b.gateways }
}
