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
use crate::wire::{BudgetKind, Grant, Grants, LeaseRequest, LeaseRequests, Payload};
use kelpcart::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Budgets that one keeper keeps, and objects of which it knows that they are filled.
const MAX_LESSOR_BUDGETS: usize = 16_384;
/// Budgets of which one gateway holds something or waits for it.
const MAX_LESSEE_BUDGETS: usize = 8_192;
/// A question that is not answered is repeated after this time, and after so many the fair part is used.
const REQUEST_RETRY: Span = Span::from_millis(60);
const MAX_REQUEST_TRIES: u32 = 2;
/// Leases are renewed when this part of them is over.
const RENEWAL_FRACTION: f64 = 0.4;
/// Who was told to wait and is not told of a free unit asks again.
const WAIT_RETRY: Span = Span::from_millis(250);
/// Budgets in one datagram.
const MAX_REQUESTS_PER_DATAGRAM: usize = 40;

pub type BudgetKey = (BudgetKind, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// One unit is the caller's until it gives it back.
    Granted,
    /// Nothing is counted for it (any more).
    NotRequired,
    /// Its time is over.
    Denied,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(Name, Vec<Payload>),
    Decision(u64, Decision),
    /// Others wait for units of this: what rests on it is better closed.
    Contended(BudgetKey),
}

#[derive(Clone, Debug, Default)]
struct Lessee {
    /// Lent and not ended, and in use.
    granted: u32,
    expires_at: Time,
    in_use: u32,
    /// Those that wait, with the time until which they do.
    waiting: VecDeque<(u64, Time)>,
    requested_at: Time,
    tries: u32,
    /// Asked, and not yet answered.
    request_pending: bool,
    done: bool,
    lessor: Option<Name>,
}

#[derive(Clone, Debug, Default)]
struct Lessor {
    lessees: BTreeMap<Name, (u32, Time)>,
    waiting: VecDeque<Name>,
    done: bool,
    last_used: Time,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub requested: u64,
    pub granted: u64,
    pub fair_share: u64,
    pub denied: u64,
    pub not_required: u64,
}

pub struct Leases {
    config: Budgets,
    lessee: BTreeMap<BudgetKey, Lessee>,
    lessor: BTreeMap<BudgetKey, Lessor>,
    members_version: u64,
    live_members: Vec<Name>,
    own_name: Name,
    /// The members are as they are since then.
    members_since: Time,
    pub counts: Counts,
    pub outbox: VecDeque<Output>,
}

impl Leases {
    pub fn new(config: Budgets, own: Name, now: Time) -> Leases {
        Leases {
            config,
            lessee: BTreeMap::new(),
            lessor: BTreeMap::new(),
            members_version: u64::MAX,
            live_members: Vec::new(),
            own_name: own,
            members_since: now,
            counts: Counts::default(),
            outbox: VecDeque::new(),
        }
    }

    pub fn sizes(&self) -> [(&'static str, usize); 2] {
        [("fleet budgets held", self.lessee.len()), ("fleet budgets kept", self.lessor.len())]
    }

    /// `None`: that is not counted.
    pub fn limit(&self, kind: BudgetKind) -> Option<u32> {
        match kind {
            BudgetKind::Connections => self.config.connections,
            BudgetKind::Fill => self.config.fills,
            BudgetKind::FillsAtCache => self.config.fills_at_cache,
        }
    }

    fn lease_duration(&self) -> Span {
        Span::from_millis(self.config.lease_ms)
    }

    fn lessor_of(&self, key: u64) -> Name {
        let all = self.live_members.iter().map(|n| &**n).chain([&*self.own_name]);
        rank::first(all, key).map_or(self.own_name.clone(), Name::from)
    }

    /// What this gateway may use of a budget by itself.
    fn fair_share(&self, key: BudgetKey, members: &Members) -> u32 {
        let Some(most) = self.limit(key.0) else { return u32::MAX };
        let n = members.recent_names().count().max(1) as u32;
        let place = rank::rank_of(members.recent_names(), &self.own_name, key.1) as u32;
        most / n + u32::from(place < most % n)
    }

    /// One unit is wanted by `until`; the verdict comes under the ticket. A ticket is used once.
    pub fn request(&mut self, now: Time, key: BudgetKey, ticket: u64, until: Time, members: &Members) {
        self.counts.requested += 1;
        if self.limit(key.0).is_none() {
            return self.outbox.push_back(Output::Decision(ticket, Decision::NotRequired));
        }
        if self.lessee.len() >= MAX_LESSEE_BUDGETS && !self.lessee.contains_key(&key) {
            self.counts.denied += 1;
            return self.outbox.push_back(Output::Decision(ticket, Decision::Denied));
        }
        let hold = self.lessee.entry(key).or_default();
        hold.waiting.push_back((ticket, until));
        self.assign_units(now, key);
        self.request_if_idle(now, key, members);
    }

    /// Nobody waits under this ticket any more.
    pub fn cancel(&mut self, ticket: u64) {
        self.lessee.values_mut().for_each(|h| h.waiting.retain(|(t, _)| *t != ticket));
    }

    /// A unit is given back; `done`: what it was lent for need not be done again by anyone.
    pub fn release(&mut self, now: Time, key: BudgetKey, done: bool, members: &Members) {
        let Some(hold) = self.lessee.get_mut(&key) else { return };
        hold.in_use = hold.in_use.saturating_sub(1);
        if done && key.0 == BudgetKind::Fill {
            hold.done = true;
            let free: Vec<u64> = hold.waiting.drain(..).map(|(t, _)| t).collect();
            self.counts.not_required += free.len() as u64;
            self.outbox.extend(free.into_iter().map(|t| Output::Decision(t, Decision::NotRequired)));
        }
        self.assign_units(now, key);
        self.send_request(now, key, members);
        // What is done has to be known to the keeper; the rest ends by itself if this word is lost.
        if self.lessee.get(&key).is_some_and(|h| h.in_use == 0 && h.waiting.is_empty() && !h.done) {
            self.lessee.remove(&key);
        }
    }

    /// Hands out what is lent and not used.
    fn assign_units(&mut self, now: Time, key: BudgetKey) {
        let Some(hold) = self.lessee.get_mut(&key) else { return };
        let lent = if hold.expires_at > now { hold.granted } else { 0 };
        while hold.in_use < lent
            && let Some((ticket, _)) = hold.waiting.pop_front()
        {
            hold.in_use += 1;
            self.counts.granted += 1;
            self.outbox.push_back(Output::Decision(ticket, Decision::Granted));
        }
    }

    fn request_if_idle(&mut self, now: Time, key: BudgetKey, members: &Members) {
        if self.lessee.get(&key).is_some_and(|h| !h.request_pending && !h.waiting.is_empty()) {
            self.send_request(now, key, members);
        }
    }

    fn send_request(&mut self, now: Time, key: BudgetKey, members: &Members) {
        self.refresh_members(now, members);
        let keeper = self.lessor_of(key.1);
        let Some(hold) = self.lessee.get_mut(&key) else { return };
        let units = hold.in_use + hold.waiting.len() as u32;
        let ask = LeaseRequest { key: key.1, kind: key.0 as i32, units, done: hold.done };
        (hold.requested_at, hold.request_pending) = (now, true);
        hold.lessor = Some(keeper.clone());
        if keeper == self.own_name {
            let own = self.own_name.clone();
            self.grant_all(now, &own, &[ask], members);
        } else {
            self.outbox.push_back(Output::Send(
                keeper,
                vec![Payload::LeaseRequests(LeaseRequests { requests: vec![ask] })],
            ));
        }
    }

    fn refresh_members(&mut self, now: Time, members: &Members) {
        if self.members_version != members.version {
            self.members_version = members.version;
            self.members_since = now;
            self.live_members = members.others().map(|(n, _)| n.clone()).collect();
        }
    }

    pub fn handle(&mut self, now: Time, from: &Name, said: &Payload, members: &Members) {
        match said {
            Payload::LeaseRequests(requests) => {
                self.refresh_members(now, members);
                self.grant_all(now, from, &requests.requests, members);
            }
            Payload::Grants(grants) => grants.grants.iter().for_each(|g| self.handle_grant(now, g)),
            _ => {}
        }
    }

    // The keeper.

    fn grant_all(&mut self, now: Time, to: &Name, asks: &[LeaseRequest], members: &Members) {
        let mut granted = Vec::new();
        for ask in asks {
            let Ok(kind) = BudgetKind::try_from(ask.kind) else { continue };
            if let Some(one) = self.grant_one(now, to, (kind, ask.key), ask, members) {
                granted.push(one);
            }
        }
        self.reply(now, to, granted);
    }

    fn reply(&mut self, now: Time, to: &Name, granted: Vec<Grant>) {
        if granted.is_empty() {
            return;
        }
        if *to == self.own_name {
            granted.iter().for_each(|g| self.handle_grant(now, g));
        } else {
            self.outbox
                .push_back(Output::Send(to.clone(), vec![Payload::Grants(Grants { grants: granted })]));
        }
    }

    fn grant_one(
        &mut self,
        now: Time,
        to: &Name,
        key: BudgetKey,
        ask: &LeaseRequest,
        members: &Members,
    ) -> Option<Grant> {
        let most = self.limit(key.0)?;
        let fair = self.fair_share(key, members);
        // Whoever kept it before may have lent it out: till those leases are over only the fair part is lent here.
        let sure = now - self.members_since >= self.lease_duration();
        if self.lessor.len() >= MAX_LESSOR_BUDGETS && !self.lessor.contains_key(&key) {
            self.evict_idle(now);
        }
        if self.lessor.len() >= MAX_LESSOR_BUDGETS && !self.lessor.contains_key(&key) {
            return None;
        }
        let lasts = self.lease_duration();
        let kept = self.lessor.entry(key).or_default();
        kept.last_used = now;
        kept.done |= ask.done;
        kept.lessees.retain(|_, (_, until)| *until > now);
        kept.waiting.retain(|n| n != to);
        let mut free = Grant {
            key: key.1,
            kind: key.0 as i32,
            units: 0,
            duration_us: 0,
            not_required: true,
            contended: false,
        };
        if kept.done {
            kept.lessees.clear();
            let told: Vec<Name> = kept.waiting.drain(..).collect();
            for name in told {
                self.reply(now, &name, vec![free.clone()]);
            }
            return Some(free);
        }
        let before = kept.lessees.remove(to).map_or(0, |(n, _)| n);
        let out: u32 = kept.lessees.values().map(|(n, _)| n).sum();
        // A keeper that is new to it may not count on its table: each gateway's part by itself sums up to the budget.
        let room = if sure { most.saturating_sub(out) } else { fair.min(most.saturating_sub(out)) };
        let units = ask.units.min(room);
        if units > 0 {
            kept.lessees.insert(to.clone(), (units, now + lasts));
        }
        if units < ask.units && kept.waiting.len() < 1_024 {
            kept.waiting.push_back(to.clone());
        }
        let wanted = kept.waiting.iter().any(|n| n != to);
        (free.units, free.duration_us, free.not_required, free.contended) =
            (units, lasts.as_micros(), false, wanted);
        if units < before && !self.lessor[&key].waiting.is_empty() {
            self.grant_to_waiting(now, key, most);
        }
        if ask.units == 0 {
            // Given back: nothing is owed in return.
            if self.lessor.get(&key).is_some_and(|k| k.lessees.is_empty() && k.waiting.is_empty()) {
                self.lessor.remove(&key);
            }
            return None;
        }
        Some(free)
    }

    /// Units have come back: one each is lent to those that wait, in their order.
    fn grant_to_waiting(&mut self, now: Time, key: BudgetKey, most: u32) {
        let Some(kept) = self.lessor.get_mut(&key) else { return };
        let out: u32 = kept.lessees.values().map(|(n, _)| n).sum();
        let mut room = most.saturating_sub(out);
        let lasts = Span::from_millis(self.config.lease_ms);
        let mut told = Vec::new();
        while room > 0
            && let Some(name) = kept.waiting.pop_front()
        {
            let one = kept.lessees.entry(name.clone()).or_insert((0, now));
            one.0 += 1;
            one.1 = now + lasts;
            room -= 1;
            told.push((name, one.0));
        }
        for (name, units) in told {
            let duration_us = lasts.as_micros();
            let g = Grant {
                key: key.1,
                kind: key.0 as i32,
                units,
                duration_us,
                not_required: false,
                contended: false,
            };
            self.reply(now, &name, vec![g]);
        }
    }

    fn evict_idle(&mut self, now: Time) {
        let idle = |k: &Lessor| k.lessees.values().all(|(_, until)| *until <= now);
        let mut old: Vec<(Time, BudgetKey)> =
            self.lessor.iter().filter(|(_, k)| idle(k)).map(|(key, k)| (k.last_used, *key)).collect();
        old.sort_unstable();
        for (_, key) in old.into_iter().take(MAX_LESSOR_BUDGETS / 8) {
            self.lessor.remove(&key);
        }
    }

    // The holder.

    fn handle_grant(&mut self, now: Time, g: &Grant) {
        let Ok(kind) = BudgetKind::try_from(g.kind) else { return };
        let key = (kind, g.key);
        let Some(hold) = self.lessee.get_mut(&key) else { return };
        (hold.request_pending, hold.tries) = (false, 0);
        if g.not_required {
            hold.done = true;
            let all: Vec<u64> = hold.waiting.drain(..).map(|(t, _)| t).collect();
            self.counts.not_required += all.len() as u64;
            self.outbox.extend(all.into_iter().map(|t| Output::Decision(t, Decision::NotRequired)));
            return;
        }
        // From when it was asked for: the keeper's own lease ends no earlier.
        let most = self.config.lease_ms * 1_000;
        hold.granted = g.units;
        hold.expires_at = now + Span::from_micros(g.duration_us.min(most)) * 0.9;
        if g.contended {
            self.outbox.push_back(Output::Contended(key));
        }
        self.assign_units(now, key);
    }

    /// In use and lent, of one budget; for the host's and the tests' checks.
    pub fn usage(&self, key: BudgetKey) -> (u32, u32) {
        self.lessee.get(&key).map_or((0, 0), |h| (h.in_use, h.granted))
    }

    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let renew = self.lease_duration() * RENEWAL_FRACTION;
        let one = |h: &Lessee| {
            let again = h.request_pending.then(|| h.requested_at + REQUEST_RETRY);
            let waits = (!h.waiting.is_empty() && !h.request_pending).then(|| h.requested_at + WAIT_RETRY);
            let over = h.waiting.iter().map(|(_, until)| *until).min();
            let renew = (h.in_use > 0 && !h.request_pending && !h.done).then(|| h.requested_at + renew);
            [again, waits, over, renew].into_iter().flatten().min()
        };
        self.lessee.values().filter_map(one).min().map(|at| at.max(now))
    }

    pub fn tick(&mut self, now: Time, members: &Members) {
        self.refresh_members(now, members);
        let renew = self.lease_duration() * RENEWAL_FRACTION;
        let keys: Vec<BudgetKey> = self.lessee.keys().copied().collect();
        let mut asks: BTreeMap<Name, Vec<LeaseRequest>> = BTreeMap::new();
        for key in keys {
            let fair = self.fallback_share(now, key, members);
            let Some(hold) = self.lessee.get_mut(&key) else { continue };
            let over: Vec<u64> = hold.waiting.iter().filter(|(_, u)| *u <= now).map(|(t, _)| *t).collect();
            hold.waiting.retain(|(_, u)| *u > now);
            self.counts.denied += over.len() as u64;
            self.outbox.extend(over.into_iter().map(|t| Output::Decision(t, Decision::Denied)));
            if let Some(fair) = fair {
                // No keeper answers: what is used beyond the fair part is not added to.
                while hold.in_use < fair
                    && let Some((ticket, _)) = hold.waiting.pop_front()
                {
                    hold.in_use += 1;
                    self.counts.fair_share += 1;
                    self.outbox.push_back(Output::Decision(ticket, Decision::Granted));
                }
                hold.tries = MAX_REQUEST_TRIES;
            }
            let silent = hold.request_pending && now - hold.requested_at >= REQUEST_RETRY;
            let waits =
                !hold.request_pending && !hold.waiting.is_empty() && now - hold.requested_at >= WAIT_RETRY;
            let old =
                !hold.request_pending && hold.in_use > 0 && !hold.done && now - hold.requested_at >= renew;
            if silent {
                hold.tries += 1;
            }
            if hold.in_use == 0 && hold.waiting.is_empty() && !hold.request_pending {
                self.lessee.remove(&key);
                continue;
            }
            if silent && hold.tries > MAX_REQUEST_TRIES + 1 && hold.waiting.is_empty() && hold.in_use == 0 {
                // It was told often enough; what it lent ends by itself there.
                self.lessee.remove(&key);
                continue;
            }
            if silent || waits || old {
                let units = hold.in_use + hold.waiting.len() as u32;
                let ask = LeaseRequest { key: key.1, kind: key.0 as i32, units, done: hold.done };
                (hold.requested_at, hold.request_pending) = (now, true);
                let keeper = self.lessor_of(key.1);
                asks.entry(keeper).or_default().push(ask);
            }
        }
        for (keeper, all) in asks {
            for part in all.chunks(MAX_REQUESTS_PER_DATAGRAM) {
                if keeper == self.own_name {
                    let own = self.own_name.clone();
                    self.grant_all(now, &own, part, members);
                } else {
                    self.outbox.push_back(Output::Send(
                        keeper.clone(),
                        vec![Payload::LeaseRequests(LeaseRequests { requests: part.to_vec() })],
                    ));
                }
            }
        }
    }

    /// The fair part where the keeper has been silent for its tries.
    fn fallback_share(&self, now: Time, key: BudgetKey, members: &Members) -> Option<u32> {
        let hold = self.lessee.get(&key)?;
        let silent = hold.request_pending
            && hold.tries >= MAX_REQUEST_TRIES
            && now - hold.requested_at >= REQUEST_RETRY;
        (silent && !hold.waiting.is_empty()).then(|| self.fair_share(key, members))
    }

    /// The rules that have to hold after every step; for tests.
    pub fn check_invariants(&self, now: Time) -> Result<(), String> {
        for (key, kept) in &self.lessor {
            let out: u32 = kept.lessees.values().filter(|(_, until)| *until > now).map(|(n, _)| n).sum();
            let most = self.limit(key.0).unwrap_or(u32::MAX);
            if out > most {
                return Err(format!("{out} of {most} lent of {key:?}"));
            }
        }
        let names: BTreeSet<&Name> = self.live_members.iter().collect();
        if self.lessor.len() > MAX_LESSOR_BUDGETS
            || self.lessee.len() > MAX_LESSEE_BUDGETS
            || names.contains(&self.own_name)
        {
            return Err("a table over its bound".to_owned());
        }
        Ok(())
    }
}
