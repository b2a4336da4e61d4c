//! All decisions of a gateway. The host calls the input methods (`members`, `txn`, `outcome`, `hangup`,
//! `purged`) as things happen; they only update what is known. It then calls `poll` until that gives `None`
//! and comes back by `next_wake` at the latest. The types of both directions are in `interface.rs`.

use crate::hash_prefix::{PrefixSet, group_hash, object_hash};
use crate::histogram::Histogram;
use crate::interface::*;
use crate::state::*;
use crate::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;

// The weight controller, by the design page.
const SECOND: Span = Span::from_millis(1000);
const STEP: f64 = 15.0;
const JITTER: f64 = 2.0;
const STANDBY: f64 = 5.0;
const FULL: f64 = 100.0;
const WINDOW_STEPS: u32 = 3;
const CLEAN_WINDOWS: u32 = 3;
const LATENCY_POINTS_PER_MS: f64 = 0.4;
const ERROR_POINTS: f64 = 50.0;
// Open points of the design: signal weights, thresholds, the least sample that is judged.
const FAILED_WEIGHT: f64 = 1.5;
const TIMEOUT_WEIGHT: f64 = 1.5;
const FIRST_BYTE_WEIGHT: f64 = 0.5;
const ERROR_THRESHOLD: f64 = 0.05;
const NEAR_BASELINE: f64 = 1.5;
const LEAST_FILLS: f64 = 8.0;
const SETTLED_FILLS: f64 = 600.0;
// The edge bound over the fair share of this gateway's load in flight, and how many caches of its order an
// object may use.
const BOUND: f64 = 3.0;
const SPREAD: usize = 2;
// Gates, in mean txns in flight: at first over the size, a cache's size where it is not told, that of all
// parents and of the origin over all caches', the part of the first gate that stays, the share kept at each
// late answer, the gain at each one in time.
const GATE_OVER: f64 = 4.0;
const UNSIZED: f64 = 4.0;
const PARENTS_PART: f64 = 0.6;
const ORIGIN_PART: f64 = 0.25;
const GATE_LEAST: f64 = 0.0625;
const GATE_CUT: f64 = 0.85;
const GATE_GAIN: f64 = 0.1;
// By how much the room of small txns may exceed that of the mean one, and the part of it that the largest keep: these
// are owed two thirds of their rule's answered share on quiet days, half on others.
const FAVOUR: f64 = 3.0;
const LARGEST: f64 = 0.8;
// Time over which the own load at a member is averaged, to stand in for what each other gateway has there:
// of a second, times the root of the sharers, since each sees the less the more there are.
const AVERAGED: f64 = 0.3;
// Transfers on the zone's link over those that fit that are let stand; what the part of fills' gates that is
// used may change by each second, and its least.
const LINK_FULL: f64 = 2.0;
const LINK_STEPS: std::ops::Range<f64> = 0.5..2.0;
const LINK_LEAST: f64 = 0.05;
// Untold sizes: the sending time of a large txn over its rule's SLA time.
const LARGE: f64 = 0.75;
// A sick origin: share of its fills that fail or start after this part of the SLA time.
const ORIGIN_SICK: f64 = 0.3;
const SLOW_START: f64 = 0.8;
// Health, further hops, rejections: signs in a row, part of the SLA time from which a hop is overdue, scan
// over connect limit, further hops a txn, their burst, part of the SLA time after which to come back.
const STRIKES: u32 = 2;
const OVERDUE: f64 = 0.9;
const SCANS: f64 = 0.125;
const FURTHER_HOPS: f64 = 0.15;
const FURTHER_BURST: f64 = 6.0;
const COME_BACK: std::ops::Range<f64> = 0.1..0.4;
// Cold members: the part of the budget that is used, and what a borne rate keeps each second.
const COLD_MARGIN: f64 = 0.7;
const COLD_MARGIN_UNSIZED: f64 = 0.5;
const BORNE_KEPT: f64 = 0.995;
// Sets of purged names that are kept, and their names.
const PURGES: usize = 512;
const PURGED_NAMES: usize = 512 * 512;
// Parts by which running means follow.
const SLOW: f64 = 0.02;
const QUICK: f64 = 0.15;

/// The member of a hop, its fill source, and the orders for a miss.
type Plan = (usize, Option<usize>, Option<Fill>);

#[derive(Clone)]
pub struct Gateway {
    set: Settings,
    rng: Pcg64Mcg,
    pub(crate) book: Book,
    further: f64,
    miss_share: f64,
    /// The part of the gates of fills that the own zone's link leaves.
    link_part: f64,
    next_scan: Time,
    next_step: Time,
    subscribe_at: Option<Time>,
}

impl Weight {
    fn new(weight: f64) -> Weight {
        let h = Histogram::new(0.004, 1.5, 18);
        let settled = h.clone();
        Weight { weight, recent: h, settled, fills: 0.0, failed: 0.0, late: 0.0, clean: 0, broken: false }
    }

    /// Shares of failed fills and timeouts, and p95 and median over the settled ones, in the window.
    fn signals(&self) -> [f64; 4] {
        if self.fills < 1.0 {
            return [0.0; 4];
        }
        let over = |part: f64| match (self.recent.quantile(part), self.settled.quantile(part)) {
            (Some(now), Some(base)) if self.recent.count() >= LEAST_FILLS => {
                (now.as_secs_f64() / (base.as_secs_f64() * NEAR_BASELINE) - 1.0).max(0.0)
            }
            _ => 0.0,
        };
        let n = self.fills.max(LEAST_FILLS / 2.0);
        [self.failed / n, self.late / n, over(0.95), over(0.5)]
    }

    /// One step a second. `common` is what every parent shows alike: it lies elsewhere (the own link, the
    /// origin behind them all) and is not booked against one of them.
    fn step(&mut self, common: &[f64; 4], window_ends: bool, jitter: f64) {
        let mut own = self.signals();
        for (signal, shared) in own.iter_mut().zip(common) {
            *signal -= shared;
        }
        let [failed, late, p95, p50] = own;
        let score = (1.0 - FAILED_WEIGHT * failed)
            .min(1.0 - TIMEOUT_WEIGHT * late)
            .min(1.0 - FIRST_BYTE_WEIGHT * p95)
            .max(0.0);
        let base = self.settled.quantile(0.95).map_or(0.0, |s| s.as_secs_f64() * NEAR_BASELINE * 1e3);
        let target = score * FULL - p95 * base * LATENCY_POINTS_PER_MS - (failed + late) * ERROR_POINTS;
        let target = target.clamp(0.0, FULL).round();
        self.broken |= failed > ERROR_THRESHOLD || late > ERROR_THRESHOLD || p50 > 0.0;
        if window_ends {
            self.clean = if self.broken { 0 } else { self.clean + 1 };
            self.broken = false;
            self.recent.halve();
        }
        (self.fills, self.failed, self.late) = (self.fills / 2.0, self.failed / 2.0, self.late / 2.0);
        let way = target - self.weight;
        let jitter = if way.abs() > JITTER { jitter } else { 0.0 };
        if way < 0.0 {
            self.weight += way.max(-STEP) + jitter;
        } else if self.clean >= CLEAN_WINDOWS {
            self.weight += way.min(STEP / 2.0) + jitter;
        }
        self.weight = self.weight.clamp(STANDBY, FULL);
        if self.settled.count() > SETTLED_FILLS {
            self.settled.halve();
        }
    }
}

fn cold_start(set: &Settings, role: Role) -> &ColdStart {
    if role == Role::Parent { &set.parent_cold_start } else { &set.cache_cold_start }
}

fn warm(set: &Settings, now: Time, c: &Cache) -> bool {
    c.m.started.is_none_or(|at| now - at >= cold_start(set, c.role).warm_up)
}

/// The gateways that send to members of a role.
fn sharers(set: &Settings, role: Role) -> f64 {
    f64::from(if role == Role::Edge { set.zone_gateways } else { set.gateways }.max(1))
}

impl Gateway {
    pub fn new(set: Settings, seed: u64, now: Time) -> Gateway {
        let row = |r: &RemapRule| Row { sending: r.sla.as_secs_f64() / 2.0, told: false };
        Gateway {
            rng: Pcg64Mcg::seed_from_u64(seed),
            book: Book { rows: set.rules.iter().map(row).collect(), ..Book::default() },
            further: FURTHER_BURST,
            miss_share: 0.5,
            link_part: 1.0,
            next_scan: now,
            next_step: now + SECOND,
            subscribe_at: set.subscription_required.then_some(now),
            set,
        }
    }

    /// News of the list; with `whole`, members that it does not name are gone.
    pub fn update_members(&mut self, now: Time, whole: bool, list: Vec<Member>) {
        let mut new = Vec::new();
        let unnamed = |c: &&mut Cache| whole && list.iter().all(|m| m.id != c.m.id);
        self.book.caches.iter_mut().filter(unnamed).for_each(|c| c.m.state = MemberState::Gone);
        for m in list {
            let role = match Some(m.kind) {
                k if k == self.set.parent_kind => Role::Parent,
                k if k == self.set.origin_kind => Role::Origin,
                _ => Role::Edge,
            };
            let cold = m.started.is_some_and(|at| now - at < self.set.parent_cold_start.warm_up);
            let weight = if cold { STANDBY } else { FULL };
            if let Some(&i) = self.book.by_id.get(&m.id) {
                let c = &mut self.book.caches[i];
                if m.started != c.m.started && m.started.is_some() {
                    (c.strikes, c.trial_at, c.par) = (0, None, Weight::new(weight));
                    c.spent.clear();
                }
                (c.m, c.role) = (m, role);
                continue;
            }
            let (n, par) = (sharers(&self.set, role), Weight::new(weight));
            new.push(self.book.place(Cache::new(now, m, role, n, SECOND * (AVERAGED * n.sqrt()), par)));
        }
        self.book.by_role = Default::default();
        for (i, c) in self.book.caches.iter().enumerate().filter(|(_, c)| c.m.state != MemberState::Gone) {
            self.book.by_role[c.role as usize].push(i);
        }
        let near = |i: &&usize| self.book.caches[**i].m.zone == self.set.zone;
        self.book.near = self.book.by_role[Role::Edge as usize].iter().filter(near).copied().collect();
        for i in new {
            self.book.caches[i].gate = self.first_gate(i);
        }
    }

    fn listed(&self, role: Role) -> f64 {
        self.book.by_role[role as usize].len().max(1) as f64
    }

    /// This gateway's equal part of a member's gate at the start, in mean txns.
    fn first_gate(&self, i: usize) -> f64 {
        let c = &self.book.caches[i];
        let edges = UNSIZED * self.listed(Role::Edge);
        let whole = match c.role {
            Role::Origin => edges * ORIGIN_PART,
            _ if self.set.capacities_known => c.m.capacity,
            Role::Parent => edges * PARENTS_PART / self.listed(Role::Parent),
            Role::Edge => UNSIZED,
        };
        whole * GATE_OVER / c.sharers
    }

    /// A sign of life that came apart from hops: of a far gateway whose link stands again.
    pub fn member_alive(&mut self, now: Time, id: &MemberId) {
        if let Some(&i) = self.book.by_id.get(id) {
            self.book.caches[i].heard(now);
        }
    }

    /// The list service failed or ended the subscription.
    pub fn subscription_failed(&mut self, now: Time) {
        self.subscribe_at = self.set.subscription_required.then(|| now + self.set.subscribe_within * SCANS);
    }

    pub fn submit(&mut self, now: Time, txn: Txn) {
        self.book.arrivals += 1.0;
        let most = FURTHER_BURST * (FURTHER_HOPS * self.book.arrival_rate).max(1.0);
        self.further = (self.further + FURTHER_HOPS).min(most);
        let sending = self.sending(&txn);
        if let (Some(_), Some(row)) = (txn.size, self.book.rows.get_mut(txn.rule)) {
            follow(&mut row.sending, sending, if row.told { SLOW } else { 1.0 });
            row.told = true;
        }
        let part = if self.book.mean_load == 0.0 { 1.0 } else { SLOW };
        follow(&mut self.book.mean_load, txn.size.unwrap_or(1.0), part);
        follow(&mut self.book.mean_sending, sending, part);
        self.book.ready.push_back(txn.id);
        self.book.open.insert(txn.id, Open::new(txn.clone(), now + txn.time_left));
    }

    pub fn client_left(&mut self, id: TxnId) {
        self.book.open.remove(&id);
    }

    /// Nothing older than `ago` is good any more of the objects and groups that `names` covers.
    pub fn purge(&mut self, now: Time, names: PrefixSet, ago: Span) {
        self.book.purges.push(Purge { names, at: now.saturating_sub(ago), told: now });
        let over = |b: &Book| b.purges.len() > PURGES || b.purged_names() > PURGED_NAMES;
        while over(&self.book) && self.join_purges() {}
    }

    /// Guards memory and the time of each read against a flood of purges: the two neighbours in time whose
    /// names stand for the least together are kept as one. What it purges is too much, never too little.
    fn join_purges(&mut self) -> bool {
        let covered = |pair: &[Purge]| {
            let (a, b) = (&pair[0].names, &pair[1].names);
            (a.prefixes().len() + b.prefixes().len()) as f64 / 2f64.powi(a.bits().min(b.bits()).into())
        };
        let pairs = self.book.purges.windows(2).map(covered).enumerate();
        let Some((i, _)) = pairs.min_by(|a, b| a.1.total_cmp(&b.1)) else { return false };
        let later = self.book.purges.remove(i + 1);
        let kept = &mut self.book.purges[i];
        kept.names = kept.names.union(&later.names);
        // Fewer bits shorten a set only where they cover nearly all.
        if kept.names.prefixes().len() > PURGED_NAMES / PURGES {
            kept.names = PrefixSet::all();
        }
        (kept.at, kept.told) = (kept.at.max(later.at), kept.told.max(later.told));
        self.book.purges_joined += 1;
        true
    }

    pub fn record_outcome(&mut self, now: Time, o: Outcome) {
        let Some(hop) = self.book.hops.remove(&(o.txn, o.hop)) else { return };
        self.adjust(now, &hop, &o);
        let near = self.book.caches[hop.member].role == Role::Edge;
        let in_time = o.status == HopStatus::Completed && o.duration <= hop.sla;
        let c = &mut self.book.caches[hop.member];
        c.prompt = c.prompt.max(if in_time { hop.sent } else { c.prompt });
        // Answers that never come, while later hops are completed in time, are no sign of a jam.
        let jammed = o.status == HopStatus::TimedOut && c.prompt <= hop.sent;
        if (o.status == HopStatus::Completed || jammed) && hop.sized {
            self.book.pace.record(hop.sending, o.duration.as_secs_f64(), SLOW);
        }
        if let Some(link) = o.load.link_load.filter(|_| near) {
            follow(&mut self.book.link, link, QUICK);
        }
        let filled = matches!(o.cache_status, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin));
        let held = matches!(o.cache_status, Some(CacheStatus::Held | CacheStatus::Old));
        if let Some(origin) = self.book.origin.filter(|_| hop.to_origin) {
            self.book.caches[origin].carry(now, -hop.load);
        }
        self.book.caches[hop.member].carry(now, -hop.load);
        let c = &mut self.book.caches[hop.member];
        c.work += hop.sending * one(o.status == HopStatus::Completed);
        let silent = match o.status {
            HopStatus::Unreachable | HopStatus::Broken => true,
            HopStatus::TimedOut => c.answered <= hop.sent,
            _ => false,
        };
        if silent {
            self.strike(now, hop.member);
        } else if !matches!(
            o.status,
            HopStatus::TimedOut | HopStatus::Withdrawn | HopStatus::NeverSent | HopStatus::Overtaken
        ) {
            c.heard(now);
        }
        let mut culprit = hop.member;
        if let Some(p) = hop.source {
            if held || filled {
                follow(&mut self.miss_share, one(filled), SLOW / 2.0);
            }
            self.book.caches[p].carry(now, -hop.fill_load);
            let c = &mut self.book.caches[p];
            if held {
                c.spent.retain(|s| s.2 != (o.txn, o.hop));
            }
            let refused =
                matches!(o.cache_status, Some(CacheStatus::SourceRefused | CacheStatus::OriginFailed));
            let timed_out = o.status == HopStatus::TimedOut && !silent && c.answered <= hop.sent;
            let lost = timed_out || o.cache_status == Some(CacheStatus::SourceLost);
            if filled || lost || o.cache_status == Some(CacheStatus::SourceRefused) {
                c.par.fills += 1.0;
                c.par.failed += one(!filled && !timed_out);
                c.par.late += one(timed_out);
            }
            if let (Some(CacheStatus::Filled), Some(first)) = (o.cache_status, o.first_byte) {
                c.par.recent.record(first);
                c.par.settled.record(first);
            }
            c.work += hop.sending * one(filled);
            if refused || lost {
                culprit = p;
            }
            if lost {
                self.strike(now, p);
            } else if filled || refused {
                c.heard(now);
            }
        }
        // What a far gateway carries is scored as fills are, by the link's own first sign.
        let c = &mut self.book.caches[hop.member];
        if c.m.remote && c.role == Role::Parent {
            let failed = matches!(
                o.status,
                HopStatus::Unreachable
                    | HopStatus::Broken
                    | HopStatus::Errored
                    | HopStatus::TurnedAway
                    | HopStatus::NeverSent
                    | HopStatus::Spoilt
            );
            let late = o.status == HopStatus::TimedOut;
            c.par.fills += one(failed || late || o.status == HopStatus::Completed);
            c.par.failed += one(failed);
            c.par.late += one(late);
            if let Some(first) = o.first_byte {
                c.par.recent.record(first);
                c.par.settled.record(first);
            }
        }
        let Some(open) = self.book.open.get_mut(&o.txn) else { return };
        if o.cache_status == Some(CacheStatus::Held)
            && open.txn.size.is_none()
            && let Some(row) = self.book.rows.get_mut(open.txn.rule)
        {
            follow(&mut row.sending, o.duration.as_secs_f64(), SLOW);
        }
        if o.answered {
            self.book.open.remove(&o.txn);
            return;
        }
        open.out = open.out.saturating_sub(1);
        if o.status == HopStatus::Lacking && hop.source.is_none() {
            open.looked = true;
        } else if o.cache_status == Some(CacheStatus::SourceLacks) {
            open.looked = true;
            open.parent_lacks |= hop.source.is_some_and(|p| self.book.caches[p].role == Role::Parent);
        } else if o.cache_status == Some(CacheStatus::OriginFailed) {
            open.origin_failed = true;
        } else if o.status != HopStatus::Overtaken {
            open.avoid.push(culprit);
        }
        if !o.status.proves_not_run() && open.may_have_run.is_none_or(|(_, at)| hop.sent < at) {
            open.may_have_run = Some((hop.member, hop.sent));
        }
        if open.out == 0 {
            self.book.ready.push_back(o.txn);
        }
    }

    /// Guards against work piling up at a cache, a parent or the link before it, whatever fills it: overload,
    /// retries, large objects, a slow machine. What comes late or is turned away shrinks the gate of the place
    /// that it went through, what comes in time widens it. Harmful where txns are late for other reasons: fills
    /// don't count against the cache, hits against the parent, nor errors of a txn that none can use against any.
    fn adjust(&mut self, now: Time, hop: &Hop, o: &Outcome) {
        let slow_start = o.first_byte.is_some_and(|first| first > hop.sla * SLOW_START);
        let place = match o.cache_status {
            // A second member's error tells of the txn: the first one's gate is given back what it lost.
            None if o.status == HopStatus::Errored && o.hop > 0 => {
                let first = self.book.open.get(&o.txn).and_then(|open| open.avoid.first().copied());
                let first = first.filter(|_| o.hop == 1).map(|i| &mut self.book.caches[i]);
                _ = first.map(|c| c.gate /= GATE_CUT.powf(c.sharers.sqrt()));
                None
            }
            None
            | Some(CacheStatus::Held | CacheStatus::Old | CacheStatus::Joined | CacheStatus::NoPlace) => {
                Some(hop.member)
            }
            Some(CacheStatus::OriginFailed) => self.book.origin,
            Some(CacheStatus::FilledByOrigin) if slow_start => self.book.origin,
            Some(CacheStatus::FilledByOrigin) if hop.to_origin && o.duration <= hop.sla => self.book.origin,
            _ => hop.source,
        };
        if o.cache_status == Some(CacheStatus::OriginFailed)
            || o.cache_status == Some(CacheStatus::FilledByOrigin)
        {
            let bad = slow_start || o.cache_status == Some(CacheStatus::OriginFailed);
            follow(&mut self.book.origin_bad, one(bad), QUICK);
        }
        let (Some(place), mean) = (place, self.book.mean_load.max(1e-6)) else { return };
        let (held, least) = (self.held(now, place), self.first_gate(place) * GATE_LEAST);
        let parents = self.listed(Role::Parent);
        let c = &mut self.book.caches[place];
        // The gateways to each member: one sees a part of its late answers only, and moves the faster.
        let each = if c.role == Role::Parent { c.sharers / parents } else { c.sharers };
        let pace = each.sqrt().max(1.0);
        match o.status {
            HopStatus::Completed if o.duration <= hop.sla && held < c.gate * mean / 2.0 => {}
            HopStatus::Completed if o.duration <= hop.sla => c.gate += GATE_GAIN / pace,
            // Over a link what comes late tells of lost packets; its own window holds back what it can't carry.
            HopStatus::Completed if c.m.remote => {}
            HopStatus::Completed | HopStatus::TurnedAway | HopStatus::Errored => {
                c.gate = (c.gate * GATE_CUT.powf(pace)).max(least);
            }
            _ => {}
        }
    }

    /// Origin fills fail or start late behind every parent alike. Then parents are asked for what they hold
    /// first, ageing copies will do, and what must go on to the origin passes its gate: a slow or crowded
    /// origin gets what it can answer in time. Costs a hop for each miss while it lasts.
    pub(crate) fn origin_sick(&self) -> bool {
        self.book.origin_bad > ORIGIN_SICK
    }

    /// What is in flight at a member, as this gateway's part of the whole: its own load, with its own mean in
    /// the place of each other gateway's. Guards gates against chance where many gateways have a txn or less
    /// each: an idle moment is no room, one large txn no jam. Harmful where the gateways' loads differ much.
    fn held(&self, now: Time, i: usize) -> f64 {
        let c = &self.book.caches[i];
        (c.load + c.mean_load(now) * (c.sharers - 1.0)) / c.sharers
    }

    fn room(&self, i: usize) -> f64 {
        let c = &self.book.caches[i];
        let link = if c.role == Role::Edge { 1.0 } else { self.link_part };
        c.gate * link * self.book.mean_load
    }

    /// Room for a txn at a member: more for small txns, less for large ones. Where there is not enough for
    /// all, importance by the txn is served best so; large ones wait longest for a gate to open.
    pub(crate) fn passes(&self, now: Time, i: usize, load: f64, sending: f64) -> bool {
        let (c, held, room) = (&self.book.caches[i], self.held(now, i), self.room(i) * self.favour(sending));
        c.load <= 0.0 && held <= room / 2.0 || held + load / c.sharers <= room
    }

    fn favour(&self, sending: f64) -> f64 {
        (self.book.mean_sending / sending.max(1e-6)).sqrt().clamp(LARGEST, FAVOUR)
    }

    /// Evidence that a member takes work and answers nothing, or can't be reached. After a few in a row it
    /// is passed over but for a trial now and then. Guards against crashes, hangs and cut links that the list
    /// does not know of; harmful only if a member is merely slow and nothing else answers from it.
    fn strike(&mut self, now: Time, i: usize) {
        let c = &mut self.book.caches[i];
        c.strikes += 1;
        if c.strikes >= STRIKES {
            let rest = self.set.connect_timeout * 2f64.powi((c.strikes - STRIKES).min(3) as i32);
            c.trial_at = Some(now + rest);
        }
    }

    pub fn poll(&mut self, now: Time) -> Option<Decision> {
        if self.subscribe_at.take_if(|at| *at <= now).is_some() {
            return Some(Decision::Subscribe);
        }
        if now >= self.next_step {
            self.step(now);
        }
        if now >= self.next_scan {
            self.scan(now);
        }
        if let Some((txn, hop)) = self.book.cancels.pop_front() {
            return Some(Decision::Cancel { txn, hop });
        }
        while let Some(id) = self.book.ready.pop_front() {
            if let Some(open) = self.book.open.remove(&id) {
                return Some(self.decide(now, open));
            }
        }
        None
    }

    pub fn next_wake(&self) -> Time {
        let scan = if self.book.hops.is_empty() { self.next_step } else { self.next_scan };
        let next = self.next_step.min(scan);
        self.subscribe_at.map_or(next, |at| at.min(next))
    }

    fn step(&mut self, now: Time) {
        while self.next_step <= now {
            self.next_step += SECOND;
        }
        self.book.steps += 1;
        // Guards the own link against fills: their gates are many times wider. Harmful if its report is wrong.
        let way = (LINK_FULL / self.book.link.max(0.01)).clamp(LINK_STEPS.start, LINK_STEPS.end);
        self.link_part = (self.link_part * way).clamp(LINK_LEAST, 1.0);
        follow(&mut self.book.arrival_rate, self.book.arrivals, QUICK);
        self.book.arrivals = 0.0;
        // With nothing out nothing is measured: the pace of late is forgotten, lest all be rejected for good.
        if self.book.hops.is_empty() {
            self.book.pace.forget(QUICK);
        }
        let purge_done = self.set.purge_propagation;
        // By when it was told: one that a cut way brought late still binds.
        self.book.purges.retain(|p| now - p.told < purge_done + SECOND);
        let up = |c: &&Cache| c.role == Role::Parent && c.m.state == MemberState::Up;
        let least = |a: [f64; 4], b: [f64; 4]| std::array::from_fn(|i| a[i].min(b[i]));
        let shown = self.book.caches.iter().filter(up).map(|c| c.par.signals()).reduce(least);
        let common = shown.filter(|_| self.listed(Role::Parent) > 1.0).unwrap_or_default();
        for (borne, role) in self.book.borne.iter_mut().zip([Role::Edge, Role::Parent]) {
            let near = |c: &Cache| role == Role::Parent || c.m.zone == self.set.zone;
            let counts = |c: &&Cache| c.role == role && c.m.state == MemberState::Up && near(c);
            let counts = |c: &&Cache| counts(c) && warm(&self.set, now, c);
            let (sum, n) =
                self.book.caches.iter().filter(counts).fold((0.0, 0.0), |(s, n), c| (s + c.rate, n + 1.0));
            *borne = (*borne * BORNE_KEPT).max(sum / f64::max(n, 1.0));
        }
        for c in &mut self.book.caches {
            follow(&mut c.rate, c.work, QUICK);
            c.work = 0.0;
            if c.role == Role::Parent {
                let jitter = self.rng.random_range(-JITTER..=JITTER);
                c.par.step(&common, self.book.steps.is_multiple_of(WINDOW_STEPS), jitter);
            }
        }
    }

    /// Finds members that have gone silent and takes repeatable hops away from them.
    fn scan(&mut self, now: Time) {
        self.next_scan =
            now + (self.set.connect_timeout * SCANS).max(self.set.tick).max(Span::from_millis(1));
        let mut overdue = BTreeMap::new();
        for hop in self.book.hops.values().filter(|h| h.due <= now) {
            let c = &self.book.caches[hop.member];
            if c.answered <= hop.sent && now - c.answered > self.set.connect_timeout {
                *overdue.entry(hop.member).or_insert(0) += 1;
            }
        }
        for (i, n) in overdue {
            if n >= STRIKES && self.book.caches[i].trial_at.is_none() {
                self.book.caches[i].strikes = STRIKES - 1;
                self.strike(now, i);
            }
        }
        let caches = &self.book.caches;
        for (&(id, seq), hop) in self.book.hops.iter_mut().filter(|_| self.set.cancellation) {
            let stuck = |i: usize| caches[i].trial_at.is_some() && caches[i].answered <= hop.sent;
            if hop.cancelled || hop.due > now || !(stuck(hop.member) || hop.source.is_some_and(stuck)) {
                continue;
            }
            let Some(open) = self.book.open.get(&id) else { continue };
            let again = self.set.rules.get(open.txn.rule).is_some_and(|r| r.effect == Effect::Repeatable);
            if again && open.hops < self.set.max_hops && self.further >= 1.0 {
                hop.cancelled = true;
                self.book.cancels.push_back((id, seq));
            }
        }
    }

    /// The SLA time of a txn; where its size is not told, that of a large one of its rule.
    fn sla(&self, txn: &Txn, rule: &RemapRule) -> Span {
        let sending = if txn.size.is_some() { self.sending(txn) } else { rule.sla.as_secs_f64() * LARGE };
        rule.sla + Span::from_secs_f64(sending * rule.sla_size_factor)
    }

    /// The txn's own sending time, as far as it is told.
    pub(crate) fn sending(&self, txn: &Txn) -> f64 {
        match txn.size {
            Some(kb) if self.set.client_rate > 0.0 => kb / self.set.client_rate,
            _ => self.book.rows.get(txn.rule).map_or(0.0, |r| r.sending),
        }
    }

    /// Guards a member that has just started: this gateway's equal part of what all may send it together in
    /// any span of the stated length. The capacity is its size, else what warm ones of its role have borne.
    pub(crate) fn has_room(&self, now: Time, i: usize, cost: f64) -> bool {
        let c = &self.book.caches[i];
        let (cold, sharers) = (cold_start(&self.set, c.role), c.sharers);
        let Some(age) = c.m.started.map(|at| now - at).filter(|&age| age < cold.warm_up) else { return true };
        let borne = self.book.borne[usize::from(c.role == Role::Parent)] * sharers;
        let untold = (borne, COLD_MARGIN_UNSIZED);
        let (capacity, margin) = if self.set.capacities_known { (c.m.capacity, COLD_MARGIN) } else { untold };
        let present = cold.initial_share + (1.0 - cold.initial_share) * (age / cold.warm_up);
        let budget =
            cold.overload_factor * present * capacity * cold.overload_window.as_secs_f64() / sharers * margin;
        let since = now.saturating_sub(cold.overload_window);
        let spent: f64 = c.spent.iter().filter(|s| s.0 >= since).map(|s| s.1).sum();
        spent + cost <= budget || spent == 0.0 && !self.set.capacities_known && capacity == 0.0
    }

    /// Listed as up, and not passed over for its silence; a trial is let through when it is due.
    fn usable(&self, now: Time, i: usize) -> bool {
        let c = &self.book.caches[i];
        c.m.state == MemberState::Up && c.trial_at.is_none_or(|at| at <= now)
    }

    /// Members of a role in the object's hash order, by weighted rendezvous where sizes are told.
    pub(crate) fn order(&self, role: Role, txn: &Txn, all_zones: bool) -> Vec<usize> {
        let all = &self.book.by_role[role as usize];
        let listed = if role == Role::Edge && !all_zones { &self.book.near } else { all };
        let place = |&i: &usize| {
            let c = &self.book.caches[i];
            (-unit(hash(txn.object, txn.part, c.key)).ln() / c.size(self.set.capacities_known), i)
        };
        let mut order: Vec<(f64, usize)> = listed.iter().map(place).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, i)| i).collect()
    }

    /// By which of its parents' weights an object goes to its first one, 0 to 1.
    pub(crate) fn fraction(&self, txn: &Txn) -> f64 {
        unit(hash(txn.object, txn.part, 0))
    }

    fn source(&self, now: Time, open: &Open) -> Option<usize> {
        let cost = self.sending(&open.txn);
        let mut order = self.order(Role::Parent, &open.txn, true);
        order.retain(|&i| self.usable(now, i) && !open.avoid.contains(&i) && self.has_room(now, i, cost));
        let load = open.load() * if open.looked { 1.0 } else { self.miss_share };
        if order.is_empty() {
            return self.origin(now, open).filter(|&o| self.passes(now, o, load, cost));
        }
        let held_back =
            open.parent_lacks && self.book.origin.is_some_and(|o| !self.passes(now, o, load, cost));
        if open.origin_failed || held_back {
            return None;
        }
        let fraction = self.fraction(&open.txn);
        let by_weight = order.iter().find(|&&i| self.book.caches[i].par.weight / FULL > fraction);
        let home = by_weight.or(order.last()).copied();
        // Room is counted over all parents together: a fill leaves its home by weight, not by chance.
        let (held, room) =
            order.iter().fold((0.0, 0.0), |(h, r), &i| (h + self.held(now, i), r + self.room(i)));
        let spare = held + load / sharers(&self.set, Role::Parent) <= room * self.favour(cost);
        home.filter(|&i| spare || self.passes(now, i, load, cost))
    }

    /// The first usable one in hash order, those last that this txn has met already.
    fn origin(&self, now: Time, open: &Open) -> Option<usize> {
        let order = self.order(Role::Origin, &open.txn, true).into_iter().filter(|&i| self.usable(now, i));
        order.min_by_key(|i| open.avoid.contains(i))
    }

    /// The first cache in hash order within the bound; else the first that its gate lets through.
    fn edge(&self, now: Time, open: &Open, cost: f64, load: f64) -> Option<usize> {
        let mut order = self.order(Role::Edge, &open.txn, false);
        order.retain(|&i| {
            self.usable(now, i)
                && !open.avoid.contains(&i)
                && self.has_room(now, i, cost)
                && self.in_group(open, now, i)
        });
        let size = |i: usize| self.book.caches[i].size(self.set.capacities_known);
        let part = load / sharers(&self.set, Role::Edge);
        let total: f64 = order.iter().map(|&i| self.held(now, i)).sum::<f64>() + part;
        let sizes: f64 = order.iter().map(|&i| size(i)).sum();
        // Further from home each spill is a miss that fills one more cache, which feeds a jam of fills.
        order.truncate(SPREAD);
        let sending = self.sending(&open.txn);
        order.retain(|&i| self.passes(now, i, load, sending));
        let bound = |i: usize| (BOUND * total * size(i) / sizes).max(self.room(i));
        let fits = |i: usize| self.held(now, i) + part <= bound(i) || self.book.caches[i].load <= 0.0;
        order.iter().copied().find(|&i| fits(i)).or(order.first().copied())
    }

    /// A keyed txn that may have run stays among the caches that drop its repeats, while they remember it.
    fn in_group(&self, open: &Open, now: Time, i: usize) -> bool {
        let Some((first, at)) = open.may_have_run else { return true };
        let (rule, of) = (&self.set.rules[open.txn.rule], &self.book.caches);
        let (a, b) = (&of[first].m, &of[i].m);
        match rule.effect {
            Effect::Repeatable => true,
            Effect::Unrepeatable => false,
            Effect::Keyed => {
                now - at < rule.dedup_window
                    && match rule.dedup_scope {
                        DedupScope::All => true,
                        DedupScope::Zone => a.zone == b.zone,
                        DedupScope::Cell => a.cell == b.cell,
                    }
            }
        }
    }

    pub(crate) fn oldest_for(&self, now: Time, txn: &Txn) -> Option<Span> {
        let rule = self.set.rules.get(txn.rule)?;
        self.oldest(now, txn, rule, self.origin_sick())
    }

    /// The oldest copy that will do: younger than any purge of the object or its group, for as long as some
    /// member may hold an older one. Zero would mean no limit.
    fn oldest(&self, now: Time, txn: &Txn, rule: &RemapRule, stale: bool) -> Option<Span> {
        let purges = &self.book.purges;
        let names = (!purges.is_empty()).then(|| [object_hash(txn.object), group_hash(txn.group)]);
        let hits = |p: &&Purge| names.is_some_and(|names| names.iter().any(|&n| p.names.contains(n)));
        let purge = purges.iter().filter(hits).map(|p| now - p.at).chain(txn.max_age).min();
        let fresh = rule.max_age > Span::ZERO;
        let most = if stale && fresh { rule.max_age + rule.max_stale } else { rule.max_age };
        let least = |s: Span| s.max(Span::from_micros(1));
        match purge {
            Some(age) if fresh => Some(least(age.min(most))),
            Some(age) => Some(least(age)),
            None => (most > rule.max_age).then_some(most),
        }
    }

    fn decide(&mut self, now: Time, mut open: Open) -> Decision {
        let id = open.txn.id;
        let Some(rule) = self.set.rules.get(open.txn.rule).cloned() else {
            return Decision::Abort { txn: id };
        };
        let (sending, sla) = (self.sending(&open.txn), self.sla(&open.txn, &rule));
        let paid = open.hops == 0 || self.further >= 1.0;
        // Guards capacity against large txns that can't be sent before the client gives up: they would hold
        // their places for seconds and time out. Harmful where one cache is slow and the rest are not.
        let ends = Span::from_secs_f64(self.book.pace.takes(sending));
        let in_time = now + ends < open.limit && (open.hops > 0 || ends < sla);
        let fixed = rule.effect == Effect::Unrepeatable && open.may_have_run.is_some();
        let plan = (paid && in_time && !fixed && open.hops < self.set.max_hops)
            .then(|| self.plan(now, &open, &rule))
            .flatten();
        let Some((member, source, fill)) = plan else { return self.give_up(&open, &rule) };
        self.further -= one(open.hops > 0);
        let (load, key, mean) = (open.load(), (id, open.hops), self.book.rows[open.txn.rule].sending);
        let fill_load = if open.looked { load } else { load * self.miss_share };
        // A parent is charged a txn's own sending time, a cache the mean of its rule.
        let direct = self.book.caches[member].role != Role::Edge;
        let cost = if direct { sending } else { mean };
        for (i, cost, load) in [(Some(member), cost, load), (source, sending, fill_load)] {
            let Some(i) = i else { continue };
            let c = &mut self.book.caches[i];
            c.carry(now, load);
            if let Some(at) = &mut c.trial_at {
                *at = now + self.set.connect_timeout;
            }
            if c.m.started.is_some() {
                c.spent.push_back((now, cost.max(0.001), key));
                let old = now.saturating_sub(self.set.cache_cold_start.overload_window);
                while c.spent.front().is_some_and(|s| s.0 < old) {
                    c.spent.pop_front();
                }
            }
        }
        let to_origin = source.is_some() && open.parent_lacks;
        if let Some(origin) = self.book.origin.filter(|_| to_origin) {
            self.book.caches[origin].carry(now, load);
        }
        let due = now + sla * OVERDUE;
        // Over a link the round trip is the most of it: that is no pace of sending.
        let far = self.book.caches[member].m.remote;
        let (sent, cancelled, sized) = (now, false, open.txn.size.is_some() && !far);
        let hop =
            Hop { sized, member, source, sent, due, sla, sending, load, fill_load, to_origin, cancelled };
        self.book.hops.insert(key, hop);
        open.hops += 1;
        open.out += 1;
        let limit = open.limit;
        // Guards keyed effects against a hop that waits, for a connection say, until its repeat is not known any more.
        let begin_by = match open.may_have_run {
            Some((_, at)) if rule.effect == Effect::Keyed => limit.min(at + rule.dedup_window),
            _ => limit,
        };
        self.book.open.insert(id, open);
        let member = Arc::clone(&self.book.caches[member].m.id);
        Decision::Hop { txn: id, member, fill, start_by: begin_by, deadline: limit }
    }

    /// Where the next hop goes: cache, fill source and how the copy is kept.
    fn plan(&mut self, now: Time, open: &Open, rule: &RemapRule) -> Option<Plan> {
        let txn = &open.txn;
        let mean = self.book.rows[txn.rule].sending;
        let write = txn.is_write || rule.is_write;
        if write && self.set.bypass_allowed {
            let origin = self.origin(now, open).filter(|&i| self.in_group(open, now, i));
            return origin.map(|i| (i, None, None));
        }
        let source = if write { self.origin(now, open) } else { self.source(now, open) };
        let far = |i: usize| self.book.caches[i].m.remote;
        let member = self.edge(now, open, mean, open.load()).filter(|_| !source.is_some_and(far));
        let Some(member) = member else {
            // No cache of the own zone can take it, or none could fill from there: straight to the fill source,
            // where that is allowed.
            let source =
                source.filter(|&i| (self.set.bypass_allowed || far(i)) && self.in_group(open, now, i))?;
            if write {
                return Some((source, None, None));
            }
            let behind = self.origin(now, open).unwrap_or(source);
            return Some((source, None, Some(self.fill(now, open, rule, behind, 0))));
        };
        let source = source.or_else(|| self.sib(now, open, member));
        // No room for a fill: ask the cache for what it holds, once.
        if source.is_none() && (open.looked || open.origin_failed && rule.max_stale == Span::ZERO) {
            return None;
        }
        let source = source.unwrap_or(member);
        let fill = self.fill(now, open, rule, source, u8::from(!write));
        Some((member, (source != member).then_some(source), Some(fill)))
    }

    /// Where no parent has room for a fill: the warm cache that comes first in the object's hash order over
    /// the zones in reach gives what it holds. Guards against parents lost or crowded while copies stand
    /// elsewhere; adds load to siblings.
    fn sib(&self, now: Time, open: &Open, member: usize) -> Option<usize> {
        if self.set.sibling_fills == FillScope::Off || open.looked || open.origin_failed || open.txn.is_write
        {
            return None;
        }
        // What stands in other zones comes over the own link: not while that is full.
        let all = self.set.sibling_fills == FillScope::All && self.book.link < LINK_FULL;
        let order = self.order(Role::Edge, &open.txn, all);
        let (load, sending) = (open.load() * self.miss_share, self.sending(&open.txn));
        let fits = |&i: &usize| {
            i != member
                && self.usable(now, i)
                && warm(&self.set, now, &self.book.caches[i])
                && self.passes(now, i, load, sending)
        };
        order.into_iter().find(|i| fits(i) && !open.avoid.contains(i))
    }

    fn fill(&self, now: Time, open: &Open, rule: &RemapRule, source: usize, keep: u8) -> Fill {
        let c = &self.book.caches[source];
        Fill {
            source: Arc::clone(&c.m.id),
            keep_rank: keep,
            coalesce: self.set.coalescing,
            only_if_cached: c.role == Role::Edge
                || c.role == Role::Parent && self.origin_sick() && !open.parent_lacks,
            revalidate: warm(&self.set, now, c) && rule.max_age > Span::ZERO,
            max_age: self.oldest(now, &open.txn, rule, open.hops > 0 || self.origin_sick()),
        }
    }

    /// Nothing more will be tried: the answer goes out at once, a rejection where a repeat is harmless.
    fn give_up(&mut self, open: &Open, rule: &RemapRule) -> Decision {
        let txn = open.txn.id;
        let harmless = open.may_have_run.is_none()
            || rule.effect == Effect::Repeatable
            || rule.effect == Effect::Keyed && rule.dedup_scope == DedupScope::All;
        if !harmless {
            return Decision::Abort { txn };
        }
        // Soon enough that the SLA time may still be met, spread so that they don't come at once.
        let wait = rule.sla * self.rng.random_range(COME_BACK);
        let come_back = self.set.retry_after_allowed.then(|| wait.min(self.set.max_retry_after));
        Decision::Reject { txn, retry_after: come_back }
    }
}
