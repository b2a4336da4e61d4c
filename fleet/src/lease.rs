//! Budgets that hold for all gateways together: each has one keeper among the live members, by rendezvous hashing, that
//! lends units of it for a time. What one gateway does not use another has; what its holder no longer renews ends by
//! itself. Must never let a gateway use more than it was lent, or, where no keeper answers, more than its fair part: the
//! budget over all members known of late, so that two halves that can't hear each other stay within it together.
//!
//! Source: leases (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
//! Consistency", SOSP 1989).

use crate::members::{Members, Name};
use crate::rank;
use crate::settings::Budgets;
use crate::wire::{Ask, Granted, Kind, Lease, Said, Want};
use kelpcart::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Budgets that one keeper keeps, and objects of which it knows that they are filled.
const MOST_KEPT: usize = 16_384;
/// Budgets of which one gateway holds something or waits for it.
const MOST_HELD: usize = 8_192;
/// A question that is not answered is repeated after this time, and after so many the fair part is used.
const ASK_AGAIN: Span = Span::from_millis(60);
const TRIES: u32 = 2;
/// Leases are renewed when this part of them is over.
const RENEW: f64 = 0.4;
/// Who was told to wait and is not told of a free unit asks again.
const WAITS: Span = Span::from_millis(250);
/// Budgets in one datagram.
const MOST_ASKS: usize = 40;

pub type Key = (Kind, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// One unit is the caller's until it gives it back.
    Go,
    /// Nothing is counted for it (any more).
    Free,
    /// Its time is over.
    No,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send(Name, Vec<Said>),
    Verdict(u64, Verdict),
    /// Others wait for units of this: what rests on it is better closed.
    Wanted(Key),
}

#[derive(Clone, Debug, Default)]
struct Hold {
    /// Lent and not ended, and in use.
    lent: u32,
    until: Time,
    used: u32,
    /// Those that wait, with the time until which they do.
    waiting: VecDeque<(u64, Time)>,
    asked: Time,
    tries: u32,
    /// Asked, and not yet answered.
    open: bool,
    done: bool,
    keeper: Option<Name>,
}

#[derive(Clone, Debug, Default)]
struct Kept {
    holders: BTreeMap<Name, (u32, Time)>,
    waiting: VecDeque<Name>,
    done: bool,
    touched: Time,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub wanted: u64,
    pub lent: u64,
    pub fair: u64,
    pub refused: u64,
    pub free: u64,
}

pub struct Leases {
    set: Budgets,
    holds: BTreeMap<Key, Hold>,
    kept: BTreeMap<Key, Kept>,
    version: u64,
    names: Vec<Name>,
    own: Name,
    /// The members are as they are since then.
    since: Time,
    pub counts: Counts,
    pub out: VecDeque<Out>,
}

impl Leases {
    pub fn new(set: Budgets, own: Name, now: Time) -> Leases {
        Leases {
            set,
            holds: BTreeMap::new(),
            kept: BTreeMap::new(),
            version: u64::MAX,
            names: Vec::new(),
            own,
            since: now,
            counts: Counts::default(),
            out: VecDeque::new(),
        }
    }

    pub fn sizes(&self) -> [(&'static str, usize); 2] {
        [("fleet budgets held", self.holds.len()), ("fleet budgets kept", self.kept.len())]
    }

    /// `None`: that is not counted.
    pub fn most(&self, kind: Kind) -> Option<u32> {
        match kind {
            Kind::Connections => self.set.connections,
            Kind::Fill => self.set.fills,
            Kind::FillsAt => self.set.fills_at_cache,
        }
    }

    fn span(&self) -> Span {
        Span::from_millis(self.set.lease_ms)
    }

    fn keeper(&self, key: u64) -> Name {
        let all = self.names.iter().map(|n| &**n).chain([&*self.own]);
        rank::first(all, key).map_or(self.own.clone(), Name::from)
    }

    /// What this gateway may use of a budget by itself.
    fn fair(&self, key: Key, members: &Members) -> u32 {
        let Some(most) = self.most(key.0) else { return u32::MAX };
        let n = members.names_of_late().count().max(1) as u32;
        let place = rank::rank_of(members.names_of_late(), &self.own, key.1) as u32;
        most / n + u32::from(place < most % n)
    }

    /// One unit is wanted by `until`; the verdict comes under the ticket. A ticket is used once.
    pub fn want(&mut self, now: Time, key: Key, ticket: u64, until: Time, members: &Members) {
        self.counts.wanted += 1;
        if self.most(key.0).is_none() {
            return self.out.push_back(Out::Verdict(ticket, Verdict::Free));
        }
        if self.holds.len() >= MOST_HELD && !self.holds.contains_key(&key) {
            self.counts.refused += 1;
            return self.out.push_back(Out::Verdict(ticket, Verdict::No));
        }
        let hold = self.holds.entry(key).or_default();
        hold.waiting.push_back((ticket, until));
        self.serve(now, key);
        self.ask(now, key, members);
    }

    /// Nobody waits under this ticket any more.
    pub fn forget(&mut self, ticket: u64) {
        self.holds.values_mut().for_each(|h| h.waiting.retain(|(t, _)| *t != ticket));
    }

    /// A unit is given back; `done`: what it was lent for need not be done again by anyone.
    pub fn give_back(&mut self, now: Time, key: Key, done: bool, members: &Members) {
        let Some(hold) = self.holds.get_mut(&key) else { return };
        hold.used = hold.used.saturating_sub(1);
        if done && key.0 == Kind::Fill {
            hold.done = true;
            let free: Vec<u64> = hold.waiting.drain(..).map(|(t, _)| t).collect();
            self.counts.free += free.len() as u64;
            self.out.extend(free.into_iter().map(|t| Out::Verdict(t, Verdict::Free)));
        }
        self.serve(now, key);
        self.ask_now(now, key, members);
        // What is done has to be known to the keeper; the rest ends by itself if this word is lost.
        if self.holds.get(&key).is_some_and(|h| h.used == 0 && h.waiting.is_empty() && !h.done) {
            self.holds.remove(&key);
        }
    }

    /// Hands out what is lent and not used.
    fn serve(&mut self, now: Time, key: Key) {
        let Some(hold) = self.holds.get_mut(&key) else { return };
        let lent = if hold.until > now { hold.lent } else { 0 };
        while hold.used < lent
            && let Some((ticket, _)) = hold.waiting.pop_front()
        {
            hold.used += 1;
            self.counts.lent += 1;
            self.out.push_back(Out::Verdict(ticket, Verdict::Go));
        }
    }

    fn ask(&mut self, now: Time, key: Key, members: &Members) {
        if self.holds.get(&key).is_some_and(|h| !h.open && !h.waiting.is_empty()) {
            self.ask_now(now, key, members);
        }
    }

    fn ask_now(&mut self, now: Time, key: Key, members: &Members) {
        self.refresh(now, members);
        let keeper = self.keeper(key.1);
        let Some(hold) = self.holds.get_mut(&key) else { return };
        let units = hold.used + hold.waiting.len() as u32;
        let ask = Ask { key: key.1, kind: key.0 as i32, units, done: hold.done };
        (hold.asked, hold.open) = (now, true);
        hold.keeper = Some(keeper.clone());
        if keeper == self.own {
            let own = self.own.clone();
            self.lend(now, &own, &[ask], members);
        } else {
            self.out.push_back(Out::Send(keeper, vec![Said::Want(Want { all: vec![ask] })]));
        }
    }

    fn refresh(&mut self, now: Time, members: &Members) {
        if self.version != members.version {
            self.version = members.version;
            self.since = now;
            self.names = members.others().map(|(n, _)| n.clone()).collect();
        }
    }

    pub fn said(&mut self, now: Time, from: &Name, said: &Said, members: &Members) {
        match said {
            Said::Want(want) => {
                self.refresh(now, members);
                self.lend(now, from, &want.all, members);
            }
            Said::Lease(lease) => lease.all.iter().for_each(|g| self.lent(now, g)),
            _ => {}
        }
    }

    // The keeper.

    fn lend(&mut self, now: Time, to: &Name, asks: &[Ask], members: &Members) {
        let mut granted = Vec::new();
        for ask in asks {
            let Ok(kind) = Kind::try_from(ask.kind) else { continue };
            if let Some(one) = self.lend_one(now, to, (kind, ask.key), ask, members) {
                granted.push(one);
            }
        }
        self.reply(now, to, granted);
    }

    fn reply(&mut self, now: Time, to: &Name, granted: Vec<Granted>) {
        if granted.is_empty() {
            return;
        }
        if *to == self.own {
            granted.iter().for_each(|g| self.lent(now, g));
        } else {
            self.out.push_back(Out::Send(to.clone(), vec![Said::Lease(Lease { all: granted })]));
        }
    }

    fn lend_one(&mut self, now: Time, to: &Name, key: Key, ask: &Ask, members: &Members) -> Option<Granted> {
        let most = self.most(key.0)?;
        let fair = self.fair(key, members);
        // Whoever kept it before may have lent it out: till those leases are over only the fair part is lent here.
        let sure = now - self.since >= self.span();
        if self.kept.len() >= MOST_KEPT && !self.kept.contains_key(&key) {
            self.drop_oldest(now);
        }
        if self.kept.len() >= MOST_KEPT && !self.kept.contains_key(&key) {
            return None;
        }
        let lasts = self.span();
        let kept = self.kept.entry(key).or_default();
        kept.touched = now;
        kept.done |= ask.done;
        kept.holders.retain(|_, (_, until)| *until > now);
        kept.waiting.retain(|n| n != to);
        let mut free =
            Granted { key: key.1, kind: key.0 as i32, units: 0, lasts_us: 0, free: true, wanted: false };
        if kept.done {
            kept.holders.clear();
            let told: Vec<Name> = kept.waiting.drain(..).collect();
            for name in told {
                self.reply(now, &name, vec![free.clone()]);
            }
            return Some(free);
        }
        let before = kept.holders.remove(to).map_or(0, |(n, _)| n);
        let out: u32 = kept.holders.values().map(|(n, _)| n).sum();
        // A keeper that is new to it may not count on its table: each gateway's part by itself sums up to the budget.
        let room = if sure { most.saturating_sub(out) } else { fair.min(most.saturating_sub(out)) };
        let units = ask.units.min(room);
        if units > 0 {
            kept.holders.insert(to.clone(), (units, now + lasts));
        }
        if units < ask.units && kept.waiting.len() < 1_024 {
            kept.waiting.push_back(to.clone());
        }
        let wanted = kept.waiting.iter().any(|n| n != to);
        (free.units, free.lasts_us, free.free, free.wanted) = (units, lasts.as_micros(), false, wanted);
        if units < before && !self.kept[&key].waiting.is_empty() {
            self.offer(now, key, most);
        }
        if ask.units == 0 {
            // Given back: nothing is owed in return.
            if self.kept.get(&key).is_some_and(|k| k.holders.is_empty() && k.waiting.is_empty()) {
                self.kept.remove(&key);
            }
            return None;
        }
        Some(free)
    }

    /// Units have come back: one each is lent to those that wait, in their order.
    fn offer(&mut self, now: Time, key: Key, most: u32) {
        let Some(kept) = self.kept.get_mut(&key) else { return };
        let out: u32 = kept.holders.values().map(|(n, _)| n).sum();
        let mut room = most.saturating_sub(out);
        let lasts = Span::from_millis(self.set.lease_ms);
        let mut told = Vec::new();
        while room > 0
            && let Some(name) = kept.waiting.pop_front()
        {
            let one = kept.holders.entry(name.clone()).or_insert((0, now));
            one.0 += 1;
            one.1 = now + lasts;
            room -= 1;
            told.push((name, one.0));
        }
        for (name, units) in told {
            let lasts_us = lasts.as_micros();
            let g = Granted { key: key.1, kind: key.0 as i32, units, lasts_us, free: false, wanted: false };
            self.reply(now, &name, vec![g]);
        }
    }

    fn drop_oldest(&mut self, now: Time) {
        let idle = |k: &Kept| k.holders.values().all(|(_, until)| *until <= now);
        let mut old: Vec<(Time, Key)> =
            self.kept.iter().filter(|(_, k)| idle(k)).map(|(key, k)| (k.touched, *key)).collect();
        old.sort_unstable();
        for (_, key) in old.into_iter().take(MOST_KEPT / 8) {
            self.kept.remove(&key);
        }
    }

    // The holder.

    fn lent(&mut self, now: Time, g: &Granted) {
        let Ok(kind) = Kind::try_from(g.kind) else { return };
        let key = (kind, g.key);
        let Some(hold) = self.holds.get_mut(&key) else { return };
        (hold.open, hold.tries) = (false, 0);
        if g.free {
            hold.done = true;
            let all: Vec<u64> = hold.waiting.drain(..).map(|(t, _)| t).collect();
            self.counts.free += all.len() as u64;
            self.out.extend(all.into_iter().map(|t| Out::Verdict(t, Verdict::Free)));
            return;
        }
        // From when it was asked for: the keeper's own lease ends no earlier.
        let most = self.set.lease_ms * 1_000;
        hold.lent = g.units;
        hold.until = now + Span::from_micros(g.lasts_us.min(most)) * 0.9;
        if g.wanted {
            self.out.push_back(Out::Wanted(key));
        }
        self.serve(now, key);
    }

    /// In use and lent, of one budget; for the host's and the tests' checks.
    pub fn used(&self, key: Key) -> (u32, u32) {
        self.holds.get(&key).map_or((0, 0), |h| (h.used, h.lent))
    }

    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let renew = self.span() * RENEW;
        let one = |h: &Hold| {
            let again = h.open.then(|| h.asked + ASK_AGAIN);
            let waits = (!h.waiting.is_empty() && !h.open).then(|| h.asked + WAITS);
            let over = h.waiting.iter().map(|(_, until)| *until).min();
            let renew = (h.used > 0 && !h.open && !h.done).then(|| h.asked + renew);
            [again, waits, over, renew].into_iter().flatten().min()
        };
        self.holds.values().filter_map(one).min().map(|at| at.max(now))
    }

    pub fn tick(&mut self, now: Time, members: &Members) {
        self.refresh(now, members);
        let renew = self.span() * RENEW;
        let keys: Vec<Key> = self.holds.keys().copied().collect();
        let mut asks: BTreeMap<Name, Vec<Ask>> = BTreeMap::new();
        for key in keys {
            let fair = self.fair_if_needed(now, key, members);
            let Some(hold) = self.holds.get_mut(&key) else { continue };
            let over: Vec<u64> = hold.waiting.iter().filter(|(_, u)| *u <= now).map(|(t, _)| *t).collect();
            hold.waiting.retain(|(_, u)| *u > now);
            self.counts.refused += over.len() as u64;
            self.out.extend(over.into_iter().map(|t| Out::Verdict(t, Verdict::No)));
            if let Some(fair) = fair {
                // No keeper answers: what is used beyond the fair part is not added to.
                while hold.used < fair
                    && let Some((ticket, _)) = hold.waiting.pop_front()
                {
                    hold.used += 1;
                    self.counts.fair += 1;
                    self.out.push_back(Out::Verdict(ticket, Verdict::Go));
                }
                hold.tries = TRIES;
            }
            let silent = hold.open && now - hold.asked >= ASK_AGAIN;
            let waits = !hold.open && !hold.waiting.is_empty() && now - hold.asked >= WAITS;
            let old = !hold.open && hold.used > 0 && !hold.done && now - hold.asked >= renew;
            if silent {
                hold.tries += 1;
            }
            if hold.used == 0 && hold.waiting.is_empty() && !hold.open {
                self.holds.remove(&key);
                continue;
            }
            if silent && hold.tries > TRIES + 1 && hold.waiting.is_empty() && hold.used == 0 {
                // It was told often enough; what it lent ends by itself there.
                self.holds.remove(&key);
                continue;
            }
            if silent || waits || old {
                let units = hold.used + hold.waiting.len() as u32;
                let ask = Ask { key: key.1, kind: key.0 as i32, units, done: hold.done };
                (hold.asked, hold.open) = (now, true);
                let keeper = self.keeper(key.1);
                asks.entry(keeper).or_default().push(ask);
            }
        }
        for (keeper, all) in asks {
            for part in all.chunks(MOST_ASKS) {
                if keeper == self.own {
                    let own = self.own.clone();
                    self.lend(now, &own, part, members);
                } else {
                    self.out
                        .push_back(Out::Send(keeper.clone(), vec![Said::Want(Want { all: part.to_vec() })]));
                }
            }
        }
    }

    /// The fair part where the keeper has been silent for its tries.
    fn fair_if_needed(&self, now: Time, key: Key, members: &Members) -> Option<u32> {
        let hold = self.holds.get(&key)?;
        let silent = hold.open && hold.tries >= TRIES && now - hold.asked >= ASK_AGAIN;
        (silent && !hold.waiting.is_empty()).then(|| self.fair(key, members))
    }

    /// The rules that have to hold after every step; for tests.
    pub fn check_rules(&self, now: Time) -> Result<(), String> {
        for (key, kept) in &self.kept {
            let out: u32 = kept.holders.values().filter(|(_, until)| *until > now).map(|(n, _)| n).sum();
            let most = self.most(key.0).unwrap_or(u32::MAX);
            if out > most {
                return Err(format!("{out} of {most} lent of {key:?}"));
            }
        }
        let names: BTreeSet<&Name> = self.names.iter().collect();
        if self.kept.len() > MOST_KEPT || self.holds.len() > MOST_HELD || names.contains(&self.own) {
            return Err("a table over its bound".to_owned());
        }
        Ok(())
    }
}
