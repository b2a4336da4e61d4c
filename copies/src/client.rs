//! What this gateway asks of groups and has no word on yet: to whom it goes, how often, and when it is told off. Must
//! never hold what can't be had: without a leader that is heard, what would be a new promise is told off at once.

use crate::command::{Command, Outcome, Word};
use kelpcart::{Span, Time};
use kelpcart_sites::acceptor::AcceptResult;
use kelpcart_sites::ledger::Lookup;
use std::collections::BTreeMap;

/// A question without an answer is put again after this time: its leader may have gone since.
const AGAIN: Span = Span::from_millis(150);
/// An ending that can't be copied is told this long, and let go then: what it ended is unknown by that time.
const ENDINGS: Span = Span::from_millis(30_000);
/// Questions of this gateway without an answer.
pub const MOST: usize = 16_384;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// Nothing of it was told to any group.
    Never,
    /// It may stand in a group's ledger, and nobody will act on it but this gateway.
    Unheard,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub ask: u64,
    pub result: Result<Outcome, Failed>,
}

/// What a far end may do on a group's word about a txn that it wants to run, asked for and heard at these times. `right`:
/// how long after its question it may act: nobody calls it lost before, but somebody may after that.
pub fn taken(result: Result<Outcome, Failed>, asked: Time, heard: Time, right: Span) -> AcceptResult {
    match result {
        // Who was stopped in between may be held to be lost by now.
        Ok(Outcome::Go) if heard - asked < right => AcceptResult::Granted,
        Ok(Outcome::Running) => AcceptResult::Running,
        Ok(Outcome::Ended(answer)) => AcceptResult::Ended(answer),
        Ok(Outcome::Unknown) => AcceptResult::Unknown,
        // Nobody but this gateway could act on it, and it does not.
        _ => AcceptResult::NotAccepted,
    }
}

/// What a group knows of a number; `None`: it does not say.
pub fn found(result: Result<Outcome, Failed>) -> Option<Lookup> {
    Some(match result.ok()? {
        Outcome::NeverTaken => Lookup::NeverAccepted,
        Outcome::Running => Lookup::Running,
        Outcome::Ended(answer) => Lookup::Ended(answer),
        _ => Lookup::Unknown,
    })
}

#[derive(Debug)]
struct Pending {
    group: u32,
    importance: u32,
    command: Command,
    until: Time,
    /// To which start of a gateway it went last, and when.
    sent: Option<(u64, Time)>,
    /// It was heard by one that could act on it.
    heard: bool,
}

/// What is known of a group's leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leader {
    pub ledger: u64,
    pub term: u64,
    /// This start of a gateway.
    pub id: u64,
    pub ready: bool,
    pub heard: Time,
}

#[derive(Debug, PartialEq)]
pub struct Send {
    pub to: u64,
    pub group: u32,
    pub ledger: u64,
    pub ask: u64,
    pub importance: u32,
    pub command: Command,
}

#[derive(Debug)]
pub struct Client {
    wait: Span,
    /// A leader not heard for this time leads no more, as far as this gateway goes.
    leads_for: Span,
    leaders: BTreeMap<u32, Leader>,
    pending: BTreeMap<u64, Pending>,
    next: u64,
    pub told: Vec<Told>,
    pub send: Vec<Send>,
    pub told_off: u64,
    pub unheard: u64,
}

impl Client {
    pub fn new(wait: Span, leads_for: Span) -> Client {
        Client {
            wait,
            leads_for,
            leaders: BTreeMap::new(),
            pending: BTreeMap::new(),
            next: 0,
            told: Vec::new(),
            send: Vec::new(),
            told_off: 0,
            unheard: 0,
        }
    }

    /// The leader, while it is heard and may give promises.
    pub fn leader(&self, now: Time, group: u32) -> Option<Leader> {
        let heard = |l: &&Leader| l.ready && now - l.heard < self.leads_for;
        self.leaders.get(&group).filter(heard).copied()
    }

    /// The ledger that the group has, as far as is known; a new one has forgotten all.
    pub fn ledger(&self, group: u32) -> Option<u64> {
        self.leaders.get(&group).map(|l| l.ledger)
    }

    /// A gateway says that it leads. `true`: the group has another ledger than before.
    pub fn leads(&mut self, now: Time, group: u32, leader: Leader) -> bool {
        let before = self.leaders.get(&group).copied();
        if let Some(known) = before {
            let same = known.ledger == leader.ledger;
            let older = same && known.term > leader.term;
            let other = !same && now - known.heard < self.leads_for && known.ready;
            if older || other {
                return false;
            }
        }
        self.leaders.insert(group, leader);
        let moved = before.is_none_or(|b| b.id != leader.id || b.ready != leader.ready);
        if moved && leader.ready {
            let waits: Vec<u64> =
                self.pending.iter().filter(|(_, p)| p.group == group).map(|(a, _)| *a).collect();
            waits.into_iter().for_each(|ask| self.put(now, ask));
        }
        before.is_none_or(|b| b.ledger != leader.ledger)
    }

    /// Asks a group for something; the number under which it will be told what came of it.
    pub fn ask(&mut self, now: Time, group: u32, importance: u32, word: Word) -> u64 {
        self.next += 1;
        let ask = self.next;
        let promise = matches!(word, Word::Take(_) | Word::Greet(_));
        let lasts = if matches!(word, Word::End(_)) { ENDINGS } else { self.wait };
        if self.pending.len() >= MOST || promise && self.leader(now, group).is_none() {
            self.told_off += 1;
            self.told.push(Told { ask, result: Err(Failed::Never) });
            return ask;
        }
        let command = Command { word: Some(word) };
        let until = now + lasts;
        self.pending.insert(ask, Pending { group, importance, command, until, sent: None, heard: false });
        self.put(now, ask);
        ask
    }

    /// Nobody waits for it any more.
    pub fn forget(&mut self, ask: u64) {
        self.pending.remove(&ask);
    }

    fn put(&mut self, now: Time, ask: u64) {
        let Some(group) = self.pending.get(&ask).map(|p| p.group) else { return };
        let Some(leader) = self.leader(now, group) else { return };
        let Some(p) = self.pending.get_mut(&ask) else { return };
        p.sent = Some((leader.id, now));
        p.heard = true;
        self.send.push(Send {
            to: leader.id,
            group,
            ledger: leader.ledger,
            ask,
            importance: p.importance,
            command: p.command.clone(),
        });
    }

    pub fn done(&mut self, ask: u64, outcome: Outcome) {
        if self.pending.remove(&ask).is_some() {
            self.told.push(Told { ask, result: Ok(outcome) });
        }
    }

    /// One that it was sent to has no part in it: nothing was done.
    pub fn not(&mut self, now: Time, from: u64, ask: u64, busy: bool) {
        let Some(p) = self.pending.get_mut(&ask) else { return };
        if p.sent.is_none_or(|(to, _)| to != from) {
            return;
        }
        if busy {
            self.pending.remove(&ask);
            self.told_off += 1;
            self.told.push(Told { ask, result: Err(Failed::Never) });
            return;
        }
        let group = p.group;
        p.sent = None;
        // It leads no more, or not yet: its next word says which.
        if self.leaders.get(&group).is_some_and(|l| l.id == from) {
            self.leaders.entry(group).and_modify(|l| l.ready = false);
        }
        self.put(now, ask);
    }

    pub fn tick(&mut self, now: Time) {
        let over: Vec<u64> = self.pending.iter().filter(|(_, p)| p.until <= now).map(|(a, _)| *a).collect();
        for ask in over {
            if let Some(p) = self.pending.remove(&ask) {
                self.unheard += 1;
                let failed = if p.heard { Failed::Unheard } else { Failed::Never };
                self.told.push(Told { ask, result: Err(failed) });
            }
        }
        let again = |p: &Pending| p.sent.is_none_or(|(_, at)| now - at >= AGAIN);
        let again: Vec<u64> = self.pending.iter().filter(|(_, p)| again(p)).map(|(a, _)| *a).collect();
        again.into_iter().for_each(|ask| self.put(now, ask));
    }

    pub fn next_wake(&self) -> Option<Time> {
        let of = |p: &Pending| p.sent.map_or(p.until, |(_, at)| p.until.min(at + AGAIN));
        self.pending.values().map(of).min()
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
