//! Leased budgets shared by all gateways of the fleet. Each budget has one lessor among the live members, chosen by
//! rendezvous hashing, that leases units of it for a limited time. Units that one gateway does not use are available
//! to others, and a lease that is not renewed expires by itself.
//!
//! Invariant: a gateway never uses more than it was granted or, while no lessor answers, more than its fair share.
//! The fair share divides the budget by all recently known members, so that two partitions together stay within it.
//!
//! Source: leases (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
//! Consistency", SOSP 1989).

use crate::members::{Members, Name};
use crate::rank;
use crate::settings::Budgets;
use crate::wire::{BudgetKind, Grant, Grants, LeaseRequest, LeaseRequests, Payload};
use kelpcart::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Budgets that one lessor keeps, including objects that it knows to be filled.
const MAX_LESSOR_BUDGETS: usize = 16_384;
/// Budgets of which one gateway holds units or waits for them.
const MAX_LESSEE_BUDGETS: usize = 8_192;
/// An unanswered request is repeated after this time.
const REQUEST_RETRY: Span = Span::from_millis(60);
/// After this many unanswered requests the fair share is used.
const MAX_REQUEST_TRIES: u32 = 2;
/// Leases are renewed after this fraction of their duration.
const RENEWAL_FRACTION: f64 = 0.4;
/// A lessee that waits and was not notified of a free unit repeats its request after this time.
const WAIT_RETRY: Span = Span::from_millis(250);
const MAX_REQUESTS_PER_DATAGRAM: usize = 40;

pub type BudgetKey = (BudgetKind, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// One unit is the caller's until it is released.
    Granted,
    /// The budget is not limited, or no longer needed: go on without a lease.
    NotRequired,
    /// No unit became available in time.
    Denied,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(Name, Vec<Payload>),
    Decision(u64, Decision),
    /// Other gateways wait for units of this budget: idle connections that hold some should be closed.
    Contended(BudgetKey),
}

#[derive(Clone, Debug, Default)]
struct LesseeState {
    /// Units granted by the lessor; valid until `expires_at`.
    granted: u32,
    expires_at: Time,
    in_use: u32,
    /// Waiting tickets, each with its deadline.
    waiting: VecDeque<(u64, Time)>,
    requested_at: Time,
    tries: u32,
    /// A request was sent and has not been answered.
    request_pending: bool,
    done: bool,
    lessor: Option<Name>,
}

#[derive(Clone, Debug, Default)]
struct LessorState {
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
    lessee_states: BTreeMap<BudgetKey, LesseeState>,
    lessor_states: BTreeMap<BudgetKey, LessorState>,
    members_version: u64,
    live_members: Vec<Name>,
    own_name: Name,
    /// When the set of live members last changed.
    members_since: Time,
    pub counts: Counts,
    pub outbox: VecDeque<Output>,
}

impl Leases {
    pub fn new(config: Budgets, own: Name, now: Time) -> Leases {
        Leases {
            config,
            lessee_states: BTreeMap::new(),
            lessor_states: BTreeMap::new(),
            members_version: u64::MAX,
            live_members: Vec::new(),
            own_name: own,
            members_since: now,
            counts: Counts::default(),
            outbox: VecDeque::new(),
        }
    }

    pub fn sizes(&self) -> [(&'static str, usize); 2] {
        [("fleet budgets held", self.lessee_states.len()), ("fleet budgets kept", self.lessor_states.len())]
    }

    /// The configured limit; `None` if this kind is not limited.
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

    /// The units that this gateway may use without a lessor: its fair share.
    fn fair_share(&self, key: BudgetKey, members: &Members) -> u32 {
        let Some(limit) = self.limit(key.0) else { return u32::MAX };
        let n = members.recent_names().count().max(1) as u32;
        let position = rank::rank_of(members.recent_names(), &self.own_name, key.1) as u32;
        limit / n + u32::from(position < limit % n)
    }

    /// Requests one unit by `until`; the decision is reported under the ticket. Tickets are not reused.
    pub fn request(&mut self, now: Time, key: BudgetKey, ticket: u64, until: Time, members: &Members) {
        self.counts.requested += 1;
        if self.limit(key.0).is_none() {
            return self.outbox.push_back(Output::Decision(ticket, Decision::NotRequired));
        }
        if self.lessee_states.len() >= MAX_LESSEE_BUDGETS && !self.lessee_states.contains_key(&key) {
            self.counts.denied += 1;
            return self.outbox.push_back(Output::Decision(ticket, Decision::Denied));
        }
        let lessee = self.lessee_states.entry(key).or_default();
        lessee.waiting.push_back((ticket, until));
        self.assign_units(now, key);
        self.request_if_idle(now, key, members);
    }

    /// Cancels a request.
    pub fn cancel(&mut self, ticket: u64) {
        self.lessee_states.values_mut().for_each(|h| h.waiting.retain(|(t, _)| *t != ticket));
    }

    /// Releases a unit. `done` means that the work it was leased for is finished and need not be repeated by anyone.
    pub fn release(&mut self, now: Time, key: BudgetKey, done: bool, members: &Members) {
        let Some(lessee) = self.lessee_states.get_mut(&key) else { return };
        lessee.in_use = lessee.in_use.saturating_sub(1);
        if done && key.0 == BudgetKind::Fill {
            lessee.done = true;
            let tickets: Vec<u64> = lessee.waiting.drain(..).map(|(t, _)| t).collect();
            self.counts.not_required += tickets.len() as u64;
            self.outbox.extend(tickets.into_iter().map(|t| Output::Decision(t, Decision::NotRequired)));
        }
        self.assign_units(now, key);
        self.send_request(now, key, members);
        // The lessor has to learn of finished work; otherwise the lease expires by itself if this message is lost.
        if self.lessee_states.get(&key).is_some_and(|h| h.in_use == 0 && h.waiting.is_empty() && !h.done) {
            self.lessee_states.remove(&key);
        }
    }

    /// Assigns granted units that are not in use to waiting tickets.
    fn assign_units(&mut self, now: Time, key: BudgetKey) {
        let Some(lessee) = self.lessee_states.get_mut(&key) else { return };
        let granted = if lessee.expires_at > now { lessee.granted } else { 0 };
        while lessee.in_use < granted
            && let Some((ticket, _)) = lessee.waiting.pop_front()
        {
            lessee.in_use += 1;
            self.counts.granted += 1;
            self.outbox.push_back(Output::Decision(ticket, Decision::Granted));
        }
    }

    fn request_if_idle(&mut self, now: Time, key: BudgetKey, members: &Members) {
        if self.lessee_states.get(&key).is_some_and(|h| !h.request_pending && !h.waiting.is_empty()) {
            self.send_request(now, key, members);
        }
    }

    fn send_request(&mut self, now: Time, key: BudgetKey, members: &Members) {
        self.refresh_members(now, members);
        let lessor = self.lessor_of(key.1);
        let Some(lessee) = self.lessee_states.get_mut(&key) else { return };
        let units = lessee.in_use + lessee.waiting.len() as u32;
        let request = LeaseRequest { key: key.1, kind: key.0 as i32, units, done: lessee.done };
        (lessee.requested_at, lessee.request_pending) = (now, true);
        lessee.lessor = Some(lessor.clone());
        if lessor == self.own_name {
            let own = self.own_name.clone();
            self.grant_all(now, &own, &[request], members);
        } else {
            self.outbox.push_back(Output::Send(
                lessor,
                vec![Payload::LeaseRequests(LeaseRequests { requests: vec![request] })],
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

    pub fn handle(&mut self, now: Time, from: &Name, payload: &Payload, members: &Members) {
        match payload {
            Payload::LeaseRequests(requests) => {
                self.refresh_members(now, members);
                self.grant_all(now, from, &requests.requests, members);
            }
            Payload::Grants(grants) => grants.grants.iter().for_each(|g| self.handle_grant(now, g)),
            _ => {}
        }
    }

    // The lessor.

    fn grant_all(&mut self, now: Time, to: &Name, requests: &[LeaseRequest], members: &Members) {
        let mut grants = Vec::new();
        for request in requests {
            let Ok(kind) = BudgetKind::try_from(request.kind) else { continue };
            if let Some(grant) = self.grant_one(now, to, (kind, request.key), request, members) {
                grants.push(grant);
            }
        }
        self.reply(now, to, grants);
    }

    fn reply(&mut self, now: Time, to: &Name, grants: Vec<Grant>) {
        if grants.is_empty() {
            return;
        }
        if *to == self.own_name {
            grants.iter().for_each(|g| self.handle_grant(now, g));
        } else {
            self.outbox.push_back(Output::Send(to.clone(), vec![Payload::Grants(Grants { grants })]));
        }
    }

    fn grant_one(
        &mut self,
        now: Time,
        to: &Name,
        key: BudgetKey,
        request: &LeaseRequest,
        members: &Members,
    ) -> Option<Grant> {
        let limit = self.limit(key.0)?;
        let fair_share = self.fair_share(key, members);
        // The previous lessor may have leased out units: until those leases have expired only the fair share is
        // granted.
        let settled = now - self.members_since >= self.lease_duration();
        if self.lessor_states.len() >= MAX_LESSOR_BUDGETS && !self.lessor_states.contains_key(&key) {
            self.evict_idle(now);
        }
        if self.lessor_states.len() >= MAX_LESSOR_BUDGETS && !self.lessor_states.contains_key(&key) {
            return None;
        }
        let duration = self.lease_duration();
        let lessor = self.lessor_states.entry(key).or_default();
        lessor.last_used = now;
        lessor.done |= request.done;
        lessor.lessees.retain(|_, (_, until)| *until > now);
        lessor.waiting.retain(|n| n != to);
        let mut grant = Grant {
            key: key.1,
            kind: key.0 as i32,
            units: 0,
            duration_us: 0,
            not_required: true,
            contended: false,
        };
        if lessor.done {
            lessor.lessees.clear();
            let waiting: Vec<Name> = lessor.waiting.drain(..).collect();
            for name in waiting {
                self.reply(now, &name, vec![grant.clone()]);
            }
            return Some(grant);
        }
        let previous = lessor.lessees.remove(to).map_or(0, |(n, _)| n);
        let leased: u32 = lessor.lessees.values().map(|(n, _)| n).sum();
        // A new lessor does not know the leases of the previous one, but the fair shares of all gateways add up to
        // the budget.
        let room =
            if settled { limit.saturating_sub(leased) } else { fair_share.min(limit.saturating_sub(leased)) };
        let units = request.units.min(room);
        if units > 0 {
            lessor.lessees.insert(to.clone(), (units, now + duration));
        }
        if units < request.units && lessor.waiting.len() < 1_024 {
            lessor.waiting.push_back(to.clone());
        }
        let contended = lessor.waiting.iter().any(|n| n != to);
        (grant.units, grant.duration_us, grant.not_required, grant.contended) =
            (units, duration.as_micros(), false, contended);
        if units < previous && !self.lessor_states[&key].waiting.is_empty() {
            self.grant_to_waiting(now, key, limit);
        }
        if request.units == 0 {
            // A request for zero units is a release and gets no reply.
            if self.lessor_states.get(&key).is_some_and(|k| k.lessees.is_empty() && k.waiting.is_empty()) {
                self.lessor_states.remove(&key);
            }
            return None;
        }
        Some(grant)
    }

    /// Grants freed units to waiting lessees, one each, in the order of their requests.
    fn grant_to_waiting(&mut self, now: Time, key: BudgetKey, limit: u32) {
        let Some(lessor) = self.lessor_states.get_mut(&key) else { return };
        let leased: u32 = lessor.lessees.values().map(|(n, _)| n).sum();
        let mut room = limit.saturating_sub(leased);
        let duration = Span::from_millis(self.config.lease_ms);
        let mut notified = Vec::new();
        while room > 0
            && let Some(name) = lessor.waiting.pop_front()
        {
            let lease = lessor.lessees.entry(name.clone()).or_insert((0, now));
            lease.0 += 1;
            lease.1 = now + duration;
            room -= 1;
            notified.push((name, lease.0));
        }
        for (name, units) in notified {
            let duration_us = duration.as_micros();
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
        let idle = |k: &LessorState| k.lessees.values().all(|(_, until)| *until <= now);
        let mut idle_budgets: Vec<(Time, BudgetKey)> =
            self.lessor_states.iter().filter(|(_, k)| idle(k)).map(|(key, k)| (k.last_used, *key)).collect();
        idle_budgets.sort_unstable();
        for (_, key) in idle_budgets.into_iter().take(MAX_LESSOR_BUDGETS / 8) {
            self.lessor_states.remove(&key);
        }
    }

    // The lessee.

    fn handle_grant(&mut self, now: Time, g: &Grant) {
        let Ok(kind) = BudgetKind::try_from(g.kind) else { return };
        let key = (kind, g.key);
        let Some(lessee) = self.lessee_states.get_mut(&key) else { return };
        (lessee.request_pending, lessee.tries) = (false, 0);
        if g.not_required {
            lessee.done = true;
            let tickets: Vec<u64> = lessee.waiting.drain(..).map(|(t, _)| t).collect();
            self.counts.not_required += tickets.len() as u64;
            self.outbox.extend(tickets.into_iter().map(|t| Output::Decision(t, Decision::NotRequired)));
            return;
        }
        // A little shorter than the lessor's duration, so that the lessor's lease ends no earlier.
        let max_us = self.config.lease_ms * 1_000;
        lessee.granted = g.units;
        lessee.expires_at = now + Span::from_micros(g.duration_us.min(max_us)) * 0.9;
        if g.contended {
            self.outbox.push_back(Output::Contended(key));
        }
        self.assign_units(now, key);
    }

    /// Units in use and units granted of one budget; for checks by the host and by tests.
    pub fn usage(&self, key: BudgetKey) -> (u32, u32) {
        self.lessee_states.get(&key).map_or((0, 0), |h| (h.in_use, h.granted))
    }

    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let renew = self.lease_duration() * RENEWAL_FRACTION;
        let wake = |h: &LesseeState| {
            let retry = h.request_pending.then(|| h.requested_at + REQUEST_RETRY);
            let poll = (!h.waiting.is_empty() && !h.request_pending).then(|| h.requested_at + WAIT_RETRY);
            let deadline = h.waiting.iter().map(|(_, until)| *until).min();
            let renew = (h.in_use > 0 && !h.request_pending && !h.done).then(|| h.requested_at + renew);
            [retry, poll, deadline, renew].into_iter().flatten().min()
        };
        self.lessee_states.values().filter_map(wake).min().map(|at| at.max(now))
    }

    pub fn tick(&mut self, now: Time, members: &Members) {
        self.refresh_members(now, members);
        let renew = self.lease_duration() * RENEWAL_FRACTION;
        let keys: Vec<BudgetKey> = self.lessee_states.keys().copied().collect();
        let mut requests: BTreeMap<Name, Vec<LeaseRequest>> = BTreeMap::new();
        for key in keys {
            let fair_share = self.fallback_share(now, key, members);
            let Some(lessee) = self.lessee_states.get_mut(&key) else { continue };
            let expired: Vec<u64> =
                lessee.waiting.iter().filter(|(_, u)| *u <= now).map(|(t, _)| *t).collect();
            lessee.waiting.retain(|(_, u)| *u > now);
            self.counts.denied += expired.len() as u64;
            self.outbox.extend(expired.into_iter().map(|t| Output::Decision(t, Decision::Denied)));
            if let Some(fair_share) = fair_share {
                // The lessor does not answer: units are assigned up to the fair share, and units in use beyond it are
                // not added to.
                while lessee.in_use < fair_share
                    && let Some((ticket, _)) = lessee.waiting.pop_front()
                {
                    lessee.in_use += 1;
                    self.counts.fair_share += 1;
                    self.outbox.push_back(Output::Decision(ticket, Decision::Granted));
                }
                lessee.tries = MAX_REQUEST_TRIES;
            }
            let unanswered = lessee.request_pending && now - lessee.requested_at >= REQUEST_RETRY;
            let poll = !lessee.request_pending
                && !lessee.waiting.is_empty()
                && now - lessee.requested_at >= WAIT_RETRY;
            let renewal = !lessee.request_pending
                && lessee.in_use > 0
                && !lessee.done
                && now - lessee.requested_at >= renew;
            if unanswered {
                lessee.tries += 1;
            }
            if lessee.in_use == 0 && lessee.waiting.is_empty() && !lessee.request_pending {
                self.lessee_states.remove(&key);
                continue;
            }
            if unanswered
                && lessee.tries > MAX_REQUEST_TRIES + 1
                && lessee.waiting.is_empty()
                && lessee.in_use == 0
            {
                // The release was repeated often enough; the lease expires by itself at the lessor.
                self.lessee_states.remove(&key);
                continue;
            }
            if unanswered || poll || renewal {
                let units = lessee.in_use + lessee.waiting.len() as u32;
                let request = LeaseRequest { key: key.1, kind: key.0 as i32, units, done: lessee.done };
                (lessee.requested_at, lessee.request_pending) = (now, true);
                let lessor = self.lessor_of(key.1);
                requests.entry(lessor).or_default().push(request);
            }
        }
        for (lessor, all) in requests {
            for part in all.chunks(MAX_REQUESTS_PER_DATAGRAM) {
                if lessor == self.own_name {
                    let own = self.own_name.clone();
                    self.grant_all(now, &own, part, members);
                } else {
                    self.outbox.push_back(Output::Send(
                        lessor.clone(),
                        vec![Payload::LeaseRequests(LeaseRequests { requests: part.to_vec() })],
                    ));
                }
            }
        }
    }

    /// The fair share, if the lessor has not answered the allowed number of requests.
    fn fallback_share(&self, now: Time, key: BudgetKey, members: &Members) -> Option<u32> {
        let lessee = self.lessee_states.get(&key)?;
        let unanswered = lessee.request_pending
            && lessee.tries >= MAX_REQUEST_TRIES
            && now - lessee.requested_at >= REQUEST_RETRY;
        (unanswered && !lessee.waiting.is_empty()).then(|| self.fair_share(key, members))
    }

    /// Checks the invariants that hold after every step; for tests.
    pub fn check_invariants(&self, now: Time) -> Result<(), String> {
        for (key, lessor) in &self.lessor_states {
            let leased: u32 = lessor.lessees.values().filter(|(_, until)| *until > now).map(|(n, _)| n).sum();
            let limit = self.limit(key.0).unwrap_or(u32::MAX);
            if leased > limit {
                return Err(format!("{leased} units of {key:?} leased, the limit is {limit}"));
            }
        }
        let names: BTreeSet<&Name> = self.live_members.iter().collect();
        if self.lessor_states.len() > MAX_LESSOR_BUDGETS
            || self.lessee_states.len() > MAX_LESSEE_BUDGETS
            || names.contains(&self.own_name)
        {
            return Err("table over its limit, or this gateway listed among the others".to_owned());
        }
        Ok(())
    }
}
