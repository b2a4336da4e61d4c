//! Records the unrepeatable txns that a gateway has accepted from other sites, keyed by the sender's run
//! and hop number, with their outcomes. Bounded in entries, bytes, age and senders.
//!
//! Invariant: a txn is called never accepted only if that is certain. A number reported as never accepted
//! is fenced, so that it is not accepted later; an evicted entry is reported as unknown.

use kelpcart::{Span, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The sender's run (new with each start of the sender) and its hop number, which counts up from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub sender: u64,
    pub number: u64,
}

/// How a txn finished at the site that accepted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    Served,
    /// The requester's cached copy is current.
    NotModified,
    /// A retry is harmless, for a keyed txn that may have run only within its dedup window.
    Rejected {
        retry_after: Option<Span>,
        may_have_run: bool,
    },
    /// It may have run in part.
    Aborted,
    /// The request is invalid and was not forwarded.
    Invalid,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub outcome: TxnOutcome,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Recorded now; it may run once.
    New,
    Running,
    Ended(Arc<Answer>),
    /// It did not run and will not.
    Full,
    Fenced,
    /// It may have run.
    Forgotten,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    NeverAccepted,
    Running,
    Ended(Arc<Answer>),
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Running,
    Ended(Arc<Answer>),
    /// The answer was evicted, or the outcome was lost when the process ended.
    Lost,
    Fenced,
}

/// State of a txn in a snapshot of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryState {
    Running,
    Ended(Arc<Answer>),
    /// It may have run.
    Lost,
    Fenced,
}

/// A txn, its state, and since when it has been in that state.
pub type EntrySnapshot = (Key, Time, EntryState);

#[derive(Debug)]
struct Entry {
    state: State,
    since: Time,
}

#[derive(Debug)]
struct Sender {
    /// Numbers below that have no entry are unknown.
    floor: u64,
    entries: BTreeMap<u64, Entry>,
    last_seen: Time,
}

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub entries: usize,
    pub bytes: usize,
    pub age: Span,
    pub senders: usize,
}

/// A change to be applied in order to the durable ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Accepted(Key),
    Ended(Key, Arc<Answer>),
    /// Numbers of the sender below this one without an entry are unknown.
    Floor(Key),
    Dropped(Key),
    /// The sender and all its entries are removed.
    SenderDropped(u64),
}

#[derive(Debug)]
pub struct Ledger {
    bounds: Bounds,
    senders: BTreeMap<u64, Sender>,
    entries: usize,
    bytes: usize,
    changes: Option<Vec<Change>>,
}

impl Ledger {
    /// With `durable`, changes are collected for the store.
    pub fn new(bounds: Bounds, durable: bool) -> Ledger {
        let changes = durable.then(Vec::new);
        Ledger { bounds, senders: BTreeMap::new(), entries: 0, bytes: 0, changes }
    }

    /// Loads the state of the store at startup: txns without an outcome may have run.
    pub fn recover(&mut self, now: Time, floors: &[Key], accepted: &[(Key, Option<Answer>)]) {
        for floor in floors {
            let sender = Sender { floor: floor.number, entries: BTreeMap::new(), last_seen: now };
            self.senders.insert(floor.sender, sender);
        }
        for (key, answer) in accepted {
            let Some(sender) = self.senders.get_mut(&key.sender) else { continue };
            let state = match answer {
                Some(answer) => State::Ended(Arc::new(answer.clone())),
                None => State::Lost,
            };
            self.bytes += answer.as_ref().map_or(0, |a| a.body.len());
            self.entries += 1;
            sender.entries.insert(key.number, Entry { state, since: now });
        }
        while self.bytes > self.bounds.bytes {
            self.evict_oldest_body(None);
        }
    }

    fn record_change(&mut self, change: impl FnOnce() -> Change) {
        if let Some(changes) = &mut self.changes {
            changes.push(change());
        }
    }

    /// Takes the changes since the last call, in order.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Registers a sender that will use numbers from `next_number` on; earlier ones are known only if it
    /// was registered before. Returns `false` if there is no room for another sender.
    pub fn register(&mut self, now: Time, sender: u64, next_number: u64) -> bool {
        if let Some(state) = self.senders.get_mut(&sender) {
            state.last_seen = now;
            return true;
        }
        if self.senders.len() >= self.bounds.senders && !self.evict_sender(now) {
            return false;
        }
        self.senders.insert(sender, Sender { floor: next_number, entries: BTreeMap::new(), last_seen: now });
        self.record_change(|| Change::Floor(Key { sender, number: next_number }));
        true
    }

    /// Removes the least recently seen sender that has nothing running and has been idle for the retention
    /// time.
    fn evict_sender(&mut self, now: Time) -> bool {
        let idle = |s: &Sender| s.entries.values().all(|e| e.state != State::Running);
        let expired = |s: &Sender| now - s.last_seen >= self.bounds.age;
        let idle_senders = self.senders.iter().filter(|(_, s)| idle(s) && expired(s));
        let Some(sender) = idle_senders.min_by_key(|(_, s)| s.last_seen).map(|(id, _)| *id) else {
            return false;
        };
        if let Some(removed) = self.senders.remove(&sender) {
            self.entries -= removed.entries.len();
            self.bytes -= removed.entries.values().map(size).sum::<usize>();
        }
        self.record_change(|| Change::SenderDropped(sender));
        true
    }

    /// The reply to a duplicate, or to a number that may have been accepted before; `None` if it certainly
    /// was not.
    pub fn previous_admission(&mut self, now: Time, key: Key) -> Option<Admission> {
        let Some(sender) = self.senders.get_mut(&key.sender) else { return Some(Admission::Forgotten) };
        sender.last_seen = now;
        match sender.entries.get(&key.number).map(|e| &e.state) {
            Some(State::Running) => Some(Admission::Running),
            Some(State::Ended(answer)) => Some(Admission::Ended(Arc::clone(answer))),
            Some(State::Lost) => Some(Admission::Forgotten),
            Some(State::Fenced) => Some(Admission::Fenced),
            None => (key.number < sender.floor).then_some(Admission::Forgotten),
        }
    }

    /// Accepts a txn. It may run only on `New`.
    pub fn accept(&mut self, now: Time, key: Key) -> Admission {
        if let Some(previous) = self.previous_admission(now, key) {
            return previous;
        }
        if !self.has_room(now) {
            return Admission::Full;
        }
        self.insert(now, key, State::Running);
        self.record_change(|| Change::Accepted(key));
        Admission::New
    }

    fn insert(&mut self, now: Time, key: Key, state: State) {
        if let Some(sender) = self.senders.get_mut(&key.sender) {
            sender.entries.insert(key.number, Entry { state, since: now });
            self.entries += 1;
        }
    }

    fn has_room(&mut self, now: Time) -> bool {
        if self.entries >= self.bounds.entries {
            self.expire(now);
        }
        self.entries < self.bounds.entries
    }

    /// Records the outcome, which is kept until the sender settles the number.
    pub fn finish(&mut self, now: Time, key: Key, answer: &Arc<Answer>) {
        let Some(sender) = self.senders.get_mut(&key.sender) else { return };
        let Some(entry) = sender.entries.get_mut(&key.number) else { return };
        if entry.state != State::Running {
            return;
        }
        if answer.body.len() > self.bounds.bytes {
            entry.state = State::Lost;
            return;
        }
        (entry.state, entry.since) = (State::Ended(Arc::clone(answer)), now);
        self.bytes += answer.body.len();
        self.record_change(|| Change::Ended(key, Arc::clone(answer)));
        while self.bytes > self.bounds.bytes {
            self.evict_oldest_body(Some(key));
        }
    }

    /// Evicts the oldest answer with a body, except for that of key `except`.
    fn evict_oldest_body(&mut self, except: Option<Key>) {
        let entries = self.senders.iter_mut().flat_map(|(&sender, s)| {
            s.entries.iter_mut().map(move |(&number, e)| (Key { sender, number }, e))
        });
        let with_body = entries.filter(|(key, e)| Some(*key) != except && size(e) > 0);
        let Some((_, entry)) = with_body.min_by_key(|(key, e)| (e.since, *key)) else { return };
        self.bytes -= size(entry);
        entry.state = State::Lost;
    }

    /// Outcome of a hop. A number that was never accepted is fenced: if it arrives later, it will not run.
    pub fn lookup(&mut self, now: Time, key: Key) -> Lookup {
        let Some(sender) = self.senders.get_mut(&key.sender) else { return Lookup::Unknown };
        sender.last_seen = now;
        if let Some(entry) = sender.entries.get(&key.number) {
            return match &entry.state {
                State::Running => Lookup::Running,
                State::Ended(answer) => Lookup::Ended(Arc::clone(answer)),
                State::Lost => Lookup::Unknown,
                State::Fenced => Lookup::NeverAccepted,
            };
        }
        // Without room for the fence it could still be accepted later.
        if key.number < sender.floor || !self.has_room(now) {
            return Lookup::Unknown;
        }
        self.insert(now, key, State::Fenced);
        Lookup::NeverAccepted
    }

    /// The hop was refused: if it arrives again, it will not run. Without room for an entry the floor is
    /// raised, which makes all numbers below unknown.
    pub fn fence(&mut self, now: Time, key: Key) {
        let Some(sender) = self.senders.get(&key.sender) else { return };
        if sender.entries.contains_key(&key.number) || key.number < sender.floor {
            return;
        }
        if self.has_room(now) {
            return self.insert(now, key, State::Fenced);
        }
        if let Some(sender) = self.senders.get_mut(&key.sender) {
            sender.floor = sender.floor.max(key.number + 1);
            let floor = Key { sender: key.sender, number: sender.floor };
            self.record_change(|| Change::Floor(floor));
        }
    }

    /// The sender no longer needs the numbers below and sends none of them again. Returns `false` if that
    /// was known.
    pub fn settle(&mut self, sender: u64, below: u64) -> bool {
        let Some(state) = self.senders.get_mut(&sender) else { return false };
        if below <= state.floor {
            return false;
        }
        state.floor = below;
        let remaining = state.entries.split_off(&below);
        let removed = std::mem::replace(&mut state.entries, remaining);
        self.entries -= removed.len();
        self.bytes -= removed.values().map(size).sum::<usize>();
        self.record_change(|| Change::Floor(Key { sender, number: below }));
        removed.keys().for_each(|&number| self.record_change(|| Change::Dropped(Key { sender, number })));
        true
    }

    /// Removes entries older than the retention time; they are unknown from then on.
    pub fn expire(&mut self, now: Time) {
        let (age, mut removed) = (self.bounds.age, Vec::new());
        for (&id, sender) in &mut self.senders {
            let mut floor = sender.floor;
            sender.entries.retain(|&number, e| {
                let expired = e.state != State::Running && now - e.since >= age;
                if expired {
                    self.entries -= 1;
                    self.bytes -= size(e);
                    floor = floor.max(number + 1);
                    removed.push(Change::Dropped(Key { sender: id, number }));
                }
                !expired
            });
            if floor > sender.floor {
                sender.floor = floor;
                // The floor goes before the entries it covers: a replica that has applied only part of this
                // must not call one of them never accepted.
                removed.insert(0, Change::Floor(Key { sender: id, number: floor }));
            }
        }
        if let Some(changes) = &mut self.changes {
            changes.append(&mut removed);
        }
    }

    /// The gateway that ran it is gone: it may have run.
    pub fn mark_lost(&mut self, now: Time, key: Key) {
        let entry = self.senders.get_mut(&key.sender).and_then(|s| s.entries.get_mut(&key.number));
        if let Some(entry) = entry.filter(|e| e.state == State::Running) {
            (entry.state, entry.since) = (State::Lost, now);
        }
    }

    pub fn is_running(&self, key: Key) -> bool {
        let entry = self.senders.get(&key.sender).and_then(|s| s.entries.get(&key.number));
        entry.is_some_and(|e| e.state == State::Running)
    }

    /// Whether `expire` at `now` would remove anything.
    pub fn has_expired(&self, now: Time) -> bool {
        let expired = |e: &Entry| e.state != State::Running && now - e.since >= self.bounds.age;
        self.senders.values().flat_map(|s| s.entries.values()).any(expired)
    }

    /// All senders with their floors and when they were last seen, and all txns.
    pub fn snapshot(&self) -> (Vec<(u64, u64, Time)>, Vec<EntrySnapshot>) {
        let senders = self.senders.iter().map(|(&id, s)| (id, s.floor, s.last_seen)).collect();
        let entries_of = |(&sender, s): (&u64, &Sender)| -> Vec<EntrySnapshot> {
            let snapshot_of = |(&number, e): (&u64, &Entry)| {
                let state = match &e.state {
                    State::Running => EntryState::Running,
                    State::Ended(answer) => EntryState::Ended(Arc::clone(answer)),
                    State::Lost => EntryState::Lost,
                    State::Fenced => EntryState::Fenced,
                };
                (Key { sender, number }, e.since, state)
            };
            s.entries.iter().map(snapshot_of).collect()
        };
        (senders, self.senders.iter().flat_map(entries_of).collect())
    }

    /// Restores a ledger from the parts of a [`Ledger::snapshot`].
    pub fn from_snapshot(
        bounds: Bounds,
        senders: impl Iterator<Item = (u64, u64, Time)>,
        txns: impl IntoIterator<Item = EntrySnapshot>,
    ) -> Ledger {
        let mut ledger = Ledger::new(bounds, false);
        let sender = |(id, floor, last_seen)| (id, Sender { floor, entries: BTreeMap::new(), last_seen });
        ledger.senders = senders.map(sender).collect();
        for (key, since, state) in txns {
            let state = match state {
                EntryState::Running => State::Running,
                EntryState::Ended(answer) => State::Ended(answer),
                EntryState::Lost => State::Lost,
                EntryState::Fenced => State::Fenced,
            };
            let entry = Entry { state, since };
            let Some(sender) = ledger.senders.get_mut(&key.sender) else { continue };
            ledger.bytes += size(&entry);
            ledger.entries += 1;
            sender.entries.insert(key.number, entry);
        }
        ledger
    }

    pub fn len(&self) -> usize {
        self.entries
    }

    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn senders(&self) -> usize {
        self.senders.len()
    }
}

fn size(entry: &Entry) -> usize {
    if let State::Ended(answer) = &entry.state { answer.body.len() } else { 0 }
}
