//! What a gateway has taken from those of other sites and must not run twice, by the sender's run and its number
//! there, with how each ended. Answers what became of a hop in doubt; a number that was answered as never taken is
//! fenced and never will be. Bounded in entries, bytes, age and senders. Must never call a txn not taken that may
//! have been: what it has let go of is not known any more.

use kelpcart::{Span, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A sender's run (new with each of its starts) and its number for the hop, growing from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub sender: u64,
    pub number: u64,
}

/// How a txn ended at the site that took it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    Served,
    /// The asker's own copy is the one.
    NotModified,
    /// Another try is harmless.
    Rejected {
        retry_after: Option<Span>,
    },
    /// What has run is not known.
    Aborted,
    /// It can't be used and went nowhere.
    Invalid,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub outcome: TxnOutcome,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in the ledger now, and may run once.
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
    /// Its answer had to go, or ended with the process.
    Lost,
    Fenced,
}

/// How a txn stands, for copies of the whole ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryState {
    Running,
    Ended(Arc<Answer>),
    /// It may have run.
    Lost,
    Fenced,
}

/// A txn, since when it stands so, and how.
pub type EntrySnapshot = (Key, Time, EntryState);

#[derive(Debug)]
struct Entry {
    state: State,
    since: Time,
}

#[derive(Debug)]
struct Sender {
    /// What is below and not among the entries is not known any more.
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

/// What a durable copy of the ledger has to change; in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Accepted(Key),
    Ended(Key, Arc<Answer>),
    /// What the sender has below and is not kept is not known any more.
    Floor(Key),
    Dropped(Key),
    /// The sender is gone whole.
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
    /// With `durable`, changes are collected for a copy on a disk.
    pub fn new(bounds: Bounds, durable: bool) -> Ledger {
        let changes = durable.then(Vec::new);
        Ledger { bounds, senders: BTreeMap::new(), entries: 0, bytes: 0, changes }
    }

    /// Takes in what a durable copy held when the process started: what had not ended may have run.
    pub fn recover(&mut self, now: Time, floors: &[Key], taken: &[(Key, Option<Answer>)]) {
        for floor in floors {
            let sender = Sender { floor: floor.number, entries: BTreeMap::new(), last_seen: now };
            self.senders.insert(floor.sender, sender);
        }
        for (key, answer) in taken {
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

    /// What has changed since the last call, in order.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// A sender has come, and will use numbers from `fresh` on: earlier ones are known only if it was known before.
    /// `false`: there is no room to remember it.
    pub fn register(&mut self, now: Time, sender: u64, fresh: u64) -> bool {
        if let Some(known) = self.senders.get_mut(&sender) {
            known.last_seen = now;
            return true;
        }
        if self.senders.len() >= self.bounds.senders && !self.evict_sender(now) {
            return false;
        }
        self.senders.insert(sender, Sender { floor: fresh, entries: BTreeMap::new(), last_seen: now });
        self.record_change(|| Change::Floor(Key { sender, number: fresh }));
        true
    }

    /// The one heard of least lately that has nothing running and has been quiet for the age.
    fn evict_sender(&mut self, now: Time) -> bool {
        let idle = |s: &Sender| s.entries.values().all(|e| e.state != State::Running);
        let old = |s: &Sender| now - s.last_seen >= self.bounds.age;
        let quiet = self.senders.iter().filter(|(_, s)| idle(s) && old(s));
        let Some(sender) = quiet.min_by_key(|(_, s)| s.last_seen).map(|(id, _)| *id) else { return false };
        if let Some(gone) = self.senders.remove(&sender) {
            self.entries -= gone.entries.len();
            self.bytes -= gone.entries.values().map(size).sum::<usize>();
        }
        self.record_change(|| Change::SenderDropped(sender));
        true
    }

    /// What is to be said of one that has come before, or may have; `None` for one that certainly has not.
    pub fn known(&mut self, now: Time, key: Key) -> Option<Admission> {
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

    /// A txn has come. Only `New` lets it run.
    pub fn accept(&mut self, now: Time, key: Key) -> Admission {
        if let Some(known) = self.known(now, key) {
            return known;
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

    /// It has ended; what is known of it stays until the sender says that it needs no more.
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

    /// Lets the oldest answer with a body go, but for the newest one.
    fn evict_oldest_body(&mut self, but: Option<Key>) {
        let all = self.senders.iter_mut().flat_map(|(&sender, s)| {
            s.entries.iter_mut().map(move |(&number, e)| (Key { sender, number }, e))
        });
        let holds = all.filter(|(key, e)| Some(*key) != but && size(e) > 0);
        let Some((_, entry)) = holds.min_by_key(|(key, e)| (e.since, *key)) else { return };
        self.bytes -= size(entry);
        entry.state = State::Lost;
    }

    /// What became of a hop. One that was never taken is fenced: should it still come, it will not run.
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
        // Without room for the fence it could still be taken.
        if key.number < sender.floor || !self.has_room(now) {
            return Lookup::Unknown;
        }
        self.insert(now, key, State::Fenced);
        Lookup::NeverAccepted
    }

    /// It was told off: should it come again, it will not run. Without room for that all numbers below go with it.
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

    /// The sender needs no number below any more, and sends none. `false`: that was known.
    pub fn settle(&mut self, sender: u64, below: u64) -> bool {
        let Some(known) = self.senders.get_mut(&sender) else { return false };
        if below <= known.floor {
            return false;
        }
        known.floor = below;
        let kept = known.entries.split_off(&below);
        let gone = std::mem::replace(&mut known.entries, kept);
        self.entries -= gone.len();
        self.bytes -= gone.values().map(size).sum::<usize>();
        self.record_change(|| Change::Floor(Key { sender, number: below }));
        gone.keys().for_each(|&number| self.record_change(|| Change::Dropped(Key { sender, number })));
        true
    }

    /// Lets go of what has ended longer ago than the age: not known any more from then on.
    pub fn expire(&mut self, now: Time) {
        let (age, mut gone) = (self.bounds.age, Vec::new());
        for (&id, sender) in &mut self.senders {
            let mut floor = sender.floor;
            sender.entries.retain(|&number, e| {
                let old = e.state != State::Running && now - e.since >= age;
                if old {
                    self.entries -= 1;
                    self.bytes -= size(e);
                    floor = floor.max(number + 1);
                    gone.push(Change::Dropped(Key { sender: id, number }));
                }
                !old
            });
            if floor > sender.floor {
                sender.floor = floor;
                // Before what it covers: a copy that holds only some of this must not call one never taken.
                gone.insert(0, Change::Floor(Key { sender: id, number: floor }));
            }
        }
        if let Some(changes) = &mut self.changes {
            changes.append(&mut gone);
        }
    }

    /// Who ran it is gone: it may have run.
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

    /// Whether `expire` would let something go by then.
    pub fn has_expired(&self, now: Time) -> bool {
        let old = |e: &Entry| e.state != State::Running && now - e.since >= self.bounds.age;
        self.senders.values().flat_map(|s| s.entries.values()).any(old)
    }

    /// All that is known: senders with their floors and when they were heard, and each txn.
    pub fn snapshot(&self) -> (Vec<(u64, u64, Time)>, Vec<EntrySnapshot>) {
        let senders = self.senders.iter().map(|(&id, s)| (id, s.floor, s.last_seen)).collect();
        let of = |(&sender, s): (&u64, &Sender)| -> Vec<EntrySnapshot> {
            let stands = |(&number, e): (&u64, &Entry)| {
                let stand = match &e.state {
                    State::Running => EntryState::Running,
                    State::Ended(answer) => EntryState::Ended(Arc::clone(answer)),
                    State::Lost => EntryState::Lost,
                    State::Fenced => EntryState::Fenced,
                };
                (Key { sender, number }, e.since, stand)
            };
            s.entries.iter().map(stands).collect()
        };
        (senders, self.senders.iter().flat_map(of).collect())
    }

    /// A ledger that knows what another one told by `all`.
    pub fn from_snapshot(
        bounds: Bounds,
        senders: impl Iterator<Item = (u64, u64, Time)>,
        txns: impl IntoIterator<Item = EntrySnapshot>,
    ) -> Ledger {
        let mut ledger = Ledger::new(bounds, false);
        let sender = |(id, floor, heard)| (id, Sender { floor, entries: BTreeMap::new(), last_seen: heard });
        ledger.senders = senders.map(sender).collect();
        for (key, at, stand) in txns {
            let state = match stand {
                EntryState::Running => State::Running,
                EntryState::Ended(answer) => State::Ended(answer),
                EntryState::Lost => State::Lost,
                EntryState::Fenced => State::Fenced,
            };
            let entry = Entry { state, since: at };
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
