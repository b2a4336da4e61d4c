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
const MAX_WEIGHT_STEP: f64 = 15.0;
const WEIGHT_JITTER: f64 = 2.0;
const MIN_WEIGHT: f64 = 5.0;
const MAX_WEIGHT: f64 = 100.0;
const STEPS_PER_WINDOW: u32 = 3;
const CLEAN_WINDOWS_TO_RECOVER: u32 = 3;
const LATENCY_PENALTY_PER_MS: f64 = 0.4;
const ERROR_PENALTY: f64 = 50.0;
// Open points of the design: signal weights, thresholds, the least sample that is judged.
const FAILURE_SIGNAL_WEIGHT: f64 = 1.5;
const TIMEOUT_SIGNAL_WEIGHT: f64 = 1.5;
const FIRST_BYTE_SIGNAL_WEIGHT: f64 = 0.5;
const CLEAN_WINDOW_MAX_ERROR_RATE: f64 = 0.05;
const BASELINE_TOLERANCE: f64 = 1.5;
const MIN_FILL_SAMPLES: f64 = 8.0;
const MAX_BASELINE_SAMPLES: f64 = 600.0;
// The edge bound over the fair share of this gateway's load in flight, and how many caches of its order an
// object may use.
const LOAD_BOUND_FACTOR: f64 = 3.0;
const MAX_CACHES_PER_OBJECT: usize = 2;
// Gates, in mean txns in flight: at first over the size, a cache's size where it is not told, that of all
// parents and of the origin over all caches', the part of the first gate that stays, the share kept at each
// late answer, the gain at each one in time.
const INITIAL_LIMIT_FACTOR: f64 = 4.0;
const DEFAULT_CACHE_CAPACITY: f64 = 4.0;
const PARENTS_CAPACITY_SHARE: f64 = 0.6;
const ORIGIN_CAPACITY_SHARE: f64 = 0.25;
const MIN_LIMIT_FRACTION: f64 = 0.0625;
const LIMIT_DECREASE_FACTOR: f64 = 0.85;
const LIMIT_INCREASE: f64 = 0.1;
// By how much the room of small txns may exceed that of the mean one, and the part of it that the largest keep: these
// are owed two thirds of their rule's answered share on quiet days, half on others.
const MAX_SIZE_FACTOR: f64 = 3.0;
const MIN_SIZE_FACTOR: f64 = 0.8;
// Time over which the own load at a member is averaged, to stand in for what each other gateway has there:
// of a second, times the root of the sharers, since each sees the less the more there are.
const IN_FLIGHT_AVERAGING: f64 = 0.3;
// Transfers on the zone's link over those that fit that are let stand; what the part of fills' gates that is
// used may change by each second, and its least.
const MAX_LINK_LOAD: f64 = 2.0;
const LINK_FACTOR_STEP: std::ops::Range<f64> = 0.5..2.0;
const MIN_LINK_FACTOR: f64 = 0.05;
// Untold sizes: the sending time of a large txn over its rule's SLA time.
const LARGE_TXN_SLA_FRACTION: f64 = 0.75;
// A sick origin: share of its fills that fail or start after this part of the SLA time.
const ORIGIN_FAILING_RATE: f64 = 0.3;
const SLOW_FIRST_BYTE_SLA_FRACTION: f64 = 0.8;
// Health, further hops, rejections: signs in a row, part of the SLA time from which a hop is overdue, scan
// over connect limit, further hops a txn, their burst, part of the SLA time after which to come back.
const EJECTION_THRESHOLD: u32 = 2;
const OVERDUE_SLA_FRACTION: f64 = 0.9;
const SCAN_INTERVAL_FRACTION: f64 = 0.125;
const RETRY_TOKENS_PER_TXN: f64 = 0.15;
const RETRY_BURST: f64 = 6.0;
const RETRY_AFTER_SLA_FRACTION: std::ops::Range<f64> = 0.1..0.4;
// Cold members: the part of the budget that is used, and what a borne rate keeps each second.
const COLD_BUDGET_MARGIN: f64 = 0.7;
const COLD_BUDGET_MARGIN_ESTIMATED: f64 = 0.5;
const PEAK_RATE_DECAY: f64 = 0.995;
// Sets of purged names that are kept, and their names.
const MAX_PURGES: usize = 512;
const MAX_PURGE_PREFIXES: usize = 512 * 512;
// Parts by which running means follow.
const SLOW_EWMA_WEIGHT: f64 = 0.02;
const FAST_EWMA_WEIGHT: f64 = 0.15;

/// The member of a hop, its fill source, and the orders for a miss.
type HopPlan = (usize, Option<usize>, Option<Fill>);

#[derive(Clone)]
pub struct Gateway {
    settings: Settings,
    rng: Pcg64Mcg,
    pub(crate) state: RouterState,
    retry_tokens: f64,
    miss_ratio: f64,
    /// The part of the gates of fills that the own zone's link leaves.
    link_factor: f64,
    next_scan: Time,
    next_step: Time,
    subscribe_at: Option<Time>,
}

impl WeightController {
    fn new(weight: f64) -> WeightController {
        let h = Histogram::new(0.004, 1.5, 18);
        let settled = h.clone();
        WeightController {
            weight,
            recent_first_byte: h,
            baseline_first_byte: settled,
            fills: 0.0,
            failed: 0.0,
            timed_out: 0.0,
            clean_windows: 0,
            window_degraded: false,
        }
    }

    /// Shares of failed fills and timeouts, and p95 and median over the settled ones, in the window.
    fn signals(&self) -> [f64; 4] {
        if self.fills < 1.0 {
            return [0.0; 4];
        }
        let over = |part: f64| match (
            self.recent_first_byte.quantile(part),
            self.baseline_first_byte.quantile(part),
        ) {
            (Some(now), Some(base)) if self.recent_first_byte.count() >= MIN_FILL_SAMPLES => {
                (now.as_secs_f64() / (base.as_secs_f64() * BASELINE_TOLERANCE) - 1.0).max(0.0)
            }
            _ => 0.0,
        };
        let n = self.fills.max(MIN_FILL_SAMPLES / 2.0);
        [self.failed / n, self.timed_out / n, over(0.95), over(0.5)]
    }

    /// One step a second. `common` is what every parent shows alike: it lies elsewhere (the own link, the
    /// origin behind them all) and is not booked against one of them.
    fn step(&mut self, common: &[f64; 4], window_ends: bool, jitter: f64) {
        let mut own = self.signals();
        for (signal, shared) in own.iter_mut().zip(common) {
            *signal -= shared;
        }
        let [failed, late, p95, p50] = own;
        let score = (1.0 - FAILURE_SIGNAL_WEIGHT * failed)
            .min(1.0 - TIMEOUT_SIGNAL_WEIGHT * late)
            .min(1.0 - FIRST_BYTE_SIGNAL_WEIGHT * p95)
            .max(0.0);
        let base = self
            .baseline_first_byte
            .quantile(0.95)
            .map_or(0.0, |s| s.as_secs_f64() * BASELINE_TOLERANCE * 1e3);
        let target =
            score * MAX_WEIGHT - p95 * base * LATENCY_PENALTY_PER_MS - (failed + late) * ERROR_PENALTY;
        let target = target.clamp(0.0, MAX_WEIGHT).round();
        self.window_degraded |=
            failed > CLEAN_WINDOW_MAX_ERROR_RATE || late > CLEAN_WINDOW_MAX_ERROR_RATE || p50 > 0.0;
        if window_ends {
            self.clean_windows = if self.window_degraded { 0 } else { self.clean_windows + 1 };
            self.window_degraded = false;
            self.recent_first_byte.halve();
        }
        (self.fills, self.failed, self.timed_out) =
            (self.fills / 2.0, self.failed / 2.0, self.timed_out / 2.0);
        let way = target - self.weight;
        let jitter = if way.abs() > WEIGHT_JITTER { jitter } else { 0.0 };
        if way < 0.0 {
            self.weight += way.max(-MAX_WEIGHT_STEP) + jitter;
        } else if self.clean_windows >= CLEAN_WINDOWS_TO_RECOVER {
            self.weight += way.min(MAX_WEIGHT_STEP / 2.0) + jitter;
        }
        self.weight = self.weight.clamp(MIN_WEIGHT, MAX_WEIGHT);
        if self.baseline_first_byte.count() > MAX_BASELINE_SAMPLES {
            self.baseline_first_byte.halve();
        }
    }
}

fn cold_start_settings(set: &Settings, role: Role) -> &ColdStart {
    if role == Role::Parent { &set.parent_cold_start } else { &set.cache_cold_start }
}

fn is_warm(set: &Settings, now: Time, c: &MemberRecord) -> bool {
    c.info.started.is_none_or(|at| now - at >= cold_start_settings(set, c.role).warm_up)
}

/// The gateways that send to members of a role.
fn gateway_count(set: &Settings, role: Role) -> f64 {
    f64::from(if role == Role::Edge { set.zone_gateways } else { set.gateways }.max(1))
}

impl Gateway {
    pub fn new(set: Settings, seed: u64, now: Time) -> Gateway {
        let row =
            |r: &RemapRule| RuleStats { mean_transfer_secs: r.sla.as_secs_f64() / 2.0, measured: false };
        Gateway {
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: RouterState { rule_stats: set.rules.iter().map(row).collect(), ..RouterState::default() },
            retry_tokens: RETRY_BURST,
            miss_ratio: 0.5,
            link_factor: 1.0,
            next_scan: now,
            next_step: now + SECOND,
            subscribe_at: set.subscription_required.then_some(now),
            settings: set,
        }
    }

    /// News of the list; with `whole`, members that it does not name are gone.
    pub fn update_members(&mut self, now: Time, whole: bool, list: Vec<Member>) {
        let mut new = Vec::new();
        let unnamed = |c: &&mut MemberRecord| whole && list.iter().all(|m| m.id != c.info.id);
        self.state.members.iter_mut().filter(unnamed).for_each(|c| c.info.state = MemberState::Gone);
        for m in list {
            let role = match Some(m.kind) {
                k if k == self.settings.parent_kind => Role::Parent,
                k if k == self.settings.origin_kind => Role::Origin,
                _ => Role::Edge,
            };
            let cold = m.started.is_some_and(|at| now - at < self.settings.parent_cold_start.warm_up);
            let weight = if cold { MIN_WEIGHT } else { MAX_WEIGHT };
            if let Some(&i) = self.state.by_id.get(&m.id) {
                let c = &mut self.state.members[i];
                if m.started != c.info.started && m.started.is_some() {
                    (c.consecutive_failures, c.ejected_until, c.weight_controller) =
                        (0, None, WeightController::new(weight));
                    c.cold_charges.clear();
                }
                (c.info, c.role) = (m, role);
                continue;
            }
            let (n, par) = (gateway_count(&self.settings, role), WeightController::new(weight));
            new.push(self.state.insert_member(MemberRecord::new(
                now,
                m,
                role,
                n,
                SECOND * (IN_FLIGHT_AVERAGING * n.sqrt()),
                par,
            )));
        }
        self.state.listed_by_role = Default::default();
        for (i, c) in self.state.members.iter().enumerate().filter(|(_, c)| c.info.state != MemberState::Gone)
        {
            self.state.listed_by_role[c.role as usize].push(i);
        }
        let near = |i: &&usize| self.state.members[**i].info.zone == self.settings.zone;
        self.state.zone_caches =
            self.state.listed_by_role[Role::Edge as usize].iter().filter(near).copied().collect();
        for i in new {
            self.state.members[i].concurrency_limit = self.initial_limit(i);
        }
    }

    fn listed_count(&self, role: Role) -> f64 {
        self.state.listed_by_role[role as usize].len().max(1) as f64
    }

    /// This gateway's equal part of a member's gate at the start, in mean txns.
    fn initial_limit(&self, i: usize) -> f64 {
        let c = &self.state.members[i];
        let edges = DEFAULT_CACHE_CAPACITY * self.listed_count(Role::Edge);
        let whole = match c.role {
            Role::Origin => edges * ORIGIN_CAPACITY_SHARE,
            _ if self.settings.capacities_known => c.info.capacity,
            Role::Parent => edges * PARENTS_CAPACITY_SHARE / self.listed_count(Role::Parent),
            Role::Edge => DEFAULT_CACHE_CAPACITY,
        };
        whole * INITIAL_LIMIT_FACTOR / c.gateway_count
    }

    /// A sign of life that came apart from hops: of a far gateway whose link stands again.
    pub fn member_alive(&mut self, now: Time, id: &MemberId) {
        if let Some(&i) = self.state.by_id.get(id) {
            self.state.members[i].record_answer(now);
        }
    }

    /// The list service failed or ended the subscription.
    pub fn subscription_failed(&mut self, now: Time) {
        self.subscribe_at = self
            .settings
            .subscription_required
            .then(|| now + self.settings.subscribe_within * SCAN_INTERVAL_FRACTION);
    }

    pub fn submit(&mut self, now: Time, txn: Txn) {
        self.state.arrivals_since_step += 1.0;
        let most = RETRY_BURST * (RETRY_TOKENS_PER_TXN * self.state.arrival_rate).max(1.0);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_TXN).min(most);
        let sending = self.transfer_secs(&txn);
        if let (Some(_), Some(row)) = (txn.size, self.state.rule_stats.get_mut(txn.rule)) {
            update_ewma(
                &mut row.mean_transfer_secs,
                sending,
                if row.measured { SLOW_EWMA_WEIGHT } else { 1.0 },
            );
            row.measured = true;
        }
        let part = if self.state.mean_txn_load == 0.0 { 1.0 } else { SLOW_EWMA_WEIGHT };
        update_ewma(&mut self.state.mean_txn_load, txn.size.unwrap_or(1.0), part);
        update_ewma(&mut self.state.mean_transfer_secs, sending, part);
        self.state.ready.push_back(txn.id);
        self.state.open_txns.insert(txn.id, OpenTxn::new(txn.clone(), now + txn.time_left));
    }

    pub fn client_left(&mut self, id: TxnId) {
        self.state.open_txns.remove(&id);
    }

    /// Nothing older than `ago` is good any more of the objects and groups that `names` covers.
    pub fn purge(&mut self, now: Time, names: PrefixSet, ago: Span) {
        self.state.purges.push(Purge { set: names, valid_from: now.saturating_sub(ago), received_at: now });
        let over =
            |b: &RouterState| b.purges.len() > MAX_PURGES || b.purge_prefix_count() > MAX_PURGE_PREFIXES;
        while over(&self.state) && self.merge_purges() {}
    }

    /// Guards memory and the time of each read against a flood of purges: the two neighbours in time whose
    /// names stand for the least together are kept as one. What it purges is too much, never too little.
    fn merge_purges(&mut self) -> bool {
        let covered = |pair: &[Purge]| {
            let (a, b) = (&pair[0].set, &pair[1].set);
            (a.prefixes().len() + b.prefixes().len()) as f64 / 2f64.powi(a.bits().min(b.bits()).into())
        };
        let pairs = self.state.purges.windows(2).map(covered).enumerate();
        let Some((i, _)) = pairs.min_by(|a, b| a.1.total_cmp(&b.1)) else { return false };
        let later = self.state.purges.remove(i + 1);
        let kept = &mut self.state.purges[i];
        kept.set = kept.set.union(&later.set);
        // Fewer bits shorten a set only where they cover nearly all.
        if kept.set.prefixes().len() > MAX_PURGE_PREFIXES / MAX_PURGES {
            kept.set = PrefixSet::all();
        }
        (kept.valid_from, kept.received_at) =
            (kept.valid_from.max(later.valid_from), kept.received_at.max(later.received_at));
        self.state.purges_merged += 1;
        true
    }

    pub fn record_outcome(&mut self, now: Time, o: Outcome) {
        let Some(hop) = self.state.hops.remove(&(o.txn, o.hop)) else { return };
        self.adjust_limit(now, &hop, &o);
        let near = self.state.members[hop.member].role == Role::Edge;
        let in_time = o.status == HopStatus::Completed && o.duration <= hop.sla;
        let c = &mut self.state.members[hop.member];
        c.last_timely_sent_at =
            c.last_timely_sent_at.max(if in_time { hop.sent_at } else { c.last_timely_sent_at });
        // Answers that never come, while later hops are completed in time, are no sign of a jam.
        let jammed = o.status == HopStatus::TimedOut && c.last_timely_sent_at <= hop.sent_at;
        if (o.status == HopStatus::Completed || jammed) && hop.size_known {
            self.state.duration_model.record(hop.transfer_secs, o.duration.as_secs_f64(), SLOW_EWMA_WEIGHT);
        }
        if let Some(link) = o.load.link_load.filter(|_| near) {
            update_ewma(&mut self.state.link_load, link, FAST_EWMA_WEIGHT);
        }
        let filled = matches!(o.cache_status, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin));
        let held = matches!(o.cache_status, Some(CacheStatus::Held | CacheStatus::Old));
        if let Some(origin) = self.state.origin.filter(|_| hop.reaches_origin) {
            self.state.members[origin].add_in_flight(now, -hop.load);
        }
        self.state.members[hop.member].add_in_flight(now, -hop.load);
        let c = &mut self.state.members[hop.member];
        c.completed_since_step += hop.transfer_secs * indicator(o.status == HopStatus::Completed);
        let silent = match o.status {
            HopStatus::Unreachable | HopStatus::Broken => true,
            HopStatus::TimedOut => c.last_answer_at <= hop.sent_at,
            _ => false,
        };
        if silent {
            self.record_failure(now, hop.member);
        } else if !matches!(
            o.status,
            HopStatus::TimedOut | HopStatus::Withdrawn | HopStatus::NeverSent | HopStatus::Overtaken
        ) {
            c.record_answer(now);
        }
        let mut culprit = hop.member;
        if let Some(p) = hop.source {
            if held || filled {
                update_ewma(&mut self.miss_ratio, indicator(filled), SLOW_EWMA_WEIGHT / 2.0);
            }
            self.state.members[p].add_in_flight(now, -hop.fill_load);
            let c = &mut self.state.members[p];
            if held {
                c.cold_charges.retain(|s| s.2 != (o.txn, o.hop));
            }
            let refused =
                matches!(o.cache_status, Some(CacheStatus::SourceRefused | CacheStatus::OriginFailed));
            let timed_out = o.status == HopStatus::TimedOut && !silent && c.last_answer_at <= hop.sent_at;
            let lost = timed_out || o.cache_status == Some(CacheStatus::SourceLost);
            if filled || lost || o.cache_status == Some(CacheStatus::SourceRefused) {
                c.weight_controller.fills += 1.0;
                c.weight_controller.failed += indicator(!filled && !timed_out);
                c.weight_controller.timed_out += indicator(timed_out);
            }
            if let (Some(CacheStatus::Filled), Some(first)) = (o.cache_status, o.first_byte) {
                c.weight_controller.recent_first_byte.record(first);
                c.weight_controller.baseline_first_byte.record(first);
            }
            c.completed_since_step += hop.transfer_secs * indicator(filled);
            if refused || lost {
                culprit = p;
            }
            if lost {
                self.record_failure(now, p);
            } else if filled || refused {
                c.record_answer(now);
            }
        }
        // What a far gateway carries is scored as fills are, by the link's own first sign.
        let c = &mut self.state.members[hop.member];
        if c.info.remote && c.role == Role::Parent {
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
            c.weight_controller.fills += indicator(failed || late || o.status == HopStatus::Completed);
            c.weight_controller.failed += indicator(failed);
            c.weight_controller.timed_out += indicator(late);
            if let Some(first) = o.first_byte {
                c.weight_controller.recent_first_byte.record(first);
                c.weight_controller.baseline_first_byte.record(first);
            }
        }
        let Some(open) = self.state.open_txns.get_mut(&o.txn) else { return };
        if o.cache_status == Some(CacheStatus::Held)
            && open.txn.size.is_none()
            && let Some(row) = self.state.rule_stats.get_mut(open.txn.rule)
        {
            update_ewma(&mut row.mean_transfer_secs, o.duration.as_secs_f64(), SLOW_EWMA_WEIGHT);
        }
        if o.answered {
            self.state.open_txns.remove(&o.txn);
            return;
        }
        open.hops_in_flight = open.hops_in_flight.saturating_sub(1);
        if o.status == HopStatus::Lacking && hop.source.is_none() {
            open.cache_lacked = true;
        } else if o.cache_status == Some(CacheStatus::SourceLacks) {
            open.cache_lacked = true;
            open.parent_lacked |= hop.source.is_some_and(|p| self.state.members[p].role == Role::Parent);
        } else if o.cache_status == Some(CacheStatus::OriginFailed) {
            open.origin_failed = true;
        } else if o.status != HopStatus::Overtaken {
            open.avoid.push(culprit);
        }
        if !o.status.proves_not_run() && open.may_have_run.is_none_or(|(_, at)| hop.sent_at < at) {
            open.may_have_run = Some((hop.member, hop.sent_at));
        }
        if open.hops_in_flight == 0 {
            self.state.ready.push_back(o.txn);
        }
    }

    /// Guards against work piling up at a cache, a parent or the link before it, whatever fills it: overload,
    /// retries, large objects, a slow machine. What comes late or is turned away shrinks the gate of the place
    /// that it went through, what comes in time widens it. Harmful where txns are late for other reasons: fills
    /// don't count against the cache, hits against the parent, nor errors of a txn that none can use against any.
    fn adjust_limit(&mut self, now: Time, hop: &Hop, o: &Outcome) {
        let slow_start = o.first_byte.is_some_and(|first| first > hop.sla * SLOW_FIRST_BYTE_SLA_FRACTION);
        let place = match o.cache_status {
            // A second member's error tells of the txn: the first one's gate is given back what it lost.
            None if o.status == HopStatus::Errored && o.hop > 0 => {
                let first = self.state.open_txns.get(&o.txn).and_then(|open| open.avoid.first().copied());
                let first = first.filter(|_| o.hop == 1).map(|i| &mut self.state.members[i]);
                _ = first.map(|c| c.concurrency_limit /= LIMIT_DECREASE_FACTOR.powf(c.gateway_count.sqrt()));
                None
            }
            None
            | Some(CacheStatus::Held | CacheStatus::Old | CacheStatus::Joined | CacheStatus::NoPlace) => {
                Some(hop.member)
            }
            Some(CacheStatus::OriginFailed) => self.state.origin,
            Some(CacheStatus::FilledByOrigin) if slow_start => self.state.origin,
            Some(CacheStatus::FilledByOrigin) if hop.reaches_origin && o.duration <= hop.sla => {
                self.state.origin
            }
            _ => hop.source,
        };
        if o.cache_status == Some(CacheStatus::OriginFailed)
            || o.cache_status == Some(CacheStatus::FilledByOrigin)
        {
            let bad = slow_start || o.cache_status == Some(CacheStatus::OriginFailed);
            update_ewma(&mut self.state.origin_failure_rate, indicator(bad), FAST_EWMA_WEIGHT);
        }
        let (Some(place), mean) = (place, self.state.mean_txn_load.max(1e-6)) else { return };
        let (held, least) =
            (self.in_flight_share(now, place), self.initial_limit(place) * MIN_LIMIT_FRACTION);
        let parents = self.listed_count(Role::Parent);
        let c = &mut self.state.members[place];
        // The gateways to each member: one sees a part of its late answers only, and moves the faster.
        let each = if c.role == Role::Parent { c.gateway_count / parents } else { c.gateway_count };
        let pace = each.sqrt().max(1.0);
        match o.status {
            HopStatus::Completed if o.duration <= hop.sla && held < c.concurrency_limit * mean / 2.0 => {}
            HopStatus::Completed if o.duration <= hop.sla => c.concurrency_limit += LIMIT_INCREASE / pace,
            // Over a link what comes late tells of lost packets; its own window holds back what it can't carry.
            HopStatus::Completed if c.info.remote => {}
            HopStatus::Completed | HopStatus::TurnedAway | HopStatus::Errored => {
                c.concurrency_limit = (c.concurrency_limit * LIMIT_DECREASE_FACTOR.powf(pace)).max(least);
            }
            _ => {}
        }
    }

    /// Origin fills fail or start late behind every parent alike. Then parents are asked for what they hold
    /// first, ageing copies will do, and what must go on to the origin passes its gate: a slow or crowded
    /// origin gets what it can answer in time. Costs a hop for each miss while it lasts.
    pub(crate) fn origin_failing(&self) -> bool {
        self.state.origin_failure_rate > ORIGIN_FAILING_RATE
    }

    /// What is in flight at a member, as this gateway's part of the whole: its own load, with its own mean in
    /// the place of each other gateway's. Guards gates against chance where many gateways have a txn or less
    /// each: an idle moment is no room, one large txn no jam. Harmful where the gateways' loads differ much.
    fn in_flight_share(&self, now: Time, i: usize) -> f64 {
        let c = &self.state.members[i];
        (c.in_flight + c.mean_in_flight(now) * (c.gateway_count - 1.0)) / c.gateway_count
    }

    fn allowed_in_flight(&self, i: usize) -> f64 {
        let c = &self.state.members[i];
        let link = if c.role == Role::Edge { 1.0 } else { self.link_factor };
        c.concurrency_limit * link * self.state.mean_txn_load
    }

    /// Room for a txn at a member: more for small txns, less for large ones. Where there is not enough for
    /// all, importance by the txn is served best so; large ones wait longest for a gate to open.
    pub(crate) fn within_limit(&self, now: Time, i: usize, load: f64, sending: f64) -> bool {
        let (c, held, room) = (
            &self.state.members[i],
            self.in_flight_share(now, i),
            self.allowed_in_flight(i) * self.size_factor(sending),
        );
        c.in_flight <= 0.0 && held <= room / 2.0 || held + load / c.gateway_count <= room
    }

    fn size_factor(&self, sending: f64) -> f64 {
        (self.state.mean_transfer_secs / sending.max(1e-6)).sqrt().clamp(MIN_SIZE_FACTOR, MAX_SIZE_FACTOR)
    }

    /// Evidence that a member takes work and answers nothing, or can't be reached. After a few in a row it
    /// is passed over but for a trial now and then. Guards against crashes, hangs and cut links that the list
    /// does not know of; harmful only if a member is merely slow and nothing else answers from it.
    fn record_failure(&mut self, now: Time, i: usize) {
        let c = &mut self.state.members[i];
        c.consecutive_failures += 1;
        if c.consecutive_failures >= EJECTION_THRESHOLD {
            let rest = self.settings.connect_timeout
                * 2f64.powi((c.consecutive_failures - EJECTION_THRESHOLD).min(3) as i32);
            c.ejected_until = Some(now + rest);
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
            self.detect_silent_members(now);
        }
        if let Some((txn, hop)) = self.state.pending_cancels.pop_front() {
            return Some(Decision::Cancel { txn, hop });
        }
        while let Some(id) = self.state.ready.pop_front() {
            if let Some(open) = self.state.open_txns.remove(&id) {
                return Some(self.decide(now, open));
            }
        }
        None
    }

    pub fn next_wake(&self) -> Time {
        let scan = if self.state.hops.is_empty() { self.next_step } else { self.next_scan };
        let next = self.next_step.min(scan);
        self.subscribe_at.map_or(next, |at| at.min(next))
    }

    fn step(&mut self, now: Time) {
        while self.next_step <= now {
            self.next_step += SECOND;
        }
        self.state.step_count += 1;
        // Guards the own link against fills: their gates are many times wider. Harmful if its report is wrong.
        let way = (MAX_LINK_LOAD / self.state.link_load.max(0.01))
            .clamp(LINK_FACTOR_STEP.start, LINK_FACTOR_STEP.end);
        self.link_factor = (self.link_factor * way).clamp(MIN_LINK_FACTOR, 1.0);
        update_ewma(&mut self.state.arrival_rate, self.state.arrivals_since_step, FAST_EWMA_WEIGHT);
        self.state.arrivals_since_step = 0.0;
        // With nothing out nothing is measured: the pace of late is forgotten, lest all be rejected for good.
        if self.state.hops.is_empty() {
            self.state.duration_model.decay(FAST_EWMA_WEIGHT);
        }
        let purge_done = self.settings.purge_propagation;
        // By when it was told: one that a cut way brought late still binds.
        self.state.purges.retain(|p| now - p.received_at < purge_done + SECOND);
        let up = |c: &&MemberRecord| c.role == Role::Parent && c.info.state == MemberState::Up;
        let least = |a: [f64; 4], b: [f64; 4]| std::array::from_fn(|i| a[i].min(b[i]));
        let shown = self.state.members.iter().filter(up).map(|c| c.weight_controller.signals()).reduce(least);
        let common = shown.filter(|_| self.listed_count(Role::Parent) > 1.0).unwrap_or_default();
        for (borne, role) in self.state.peak_warm_rate.iter_mut().zip([Role::Edge, Role::Parent]) {
            let near = |c: &MemberRecord| role == Role::Parent || c.info.zone == self.settings.zone;
            let counts = |c: &&MemberRecord| c.role == role && c.info.state == MemberState::Up && near(c);
            let counts = |c: &&MemberRecord| counts(c) && is_warm(&self.settings, now, c);
            let (sum, n) = self
                .state
                .members
                .iter()
                .filter(counts)
                .fold((0.0, 0.0), |(s, n), c| (s + c.completion_rate, n + 1.0));
            *borne = (*borne * PEAK_RATE_DECAY).max(sum / f64::max(n, 1.0));
        }
        for c in &mut self.state.members {
            update_ewma(&mut c.completion_rate, c.completed_since_step, FAST_EWMA_WEIGHT);
            c.completed_since_step = 0.0;
            if c.role == Role::Parent {
                let jitter = self.rng.random_range(-WEIGHT_JITTER..=WEIGHT_JITTER);
                c.weight_controller.step(
                    &common,
                    self.state.step_count.is_multiple_of(STEPS_PER_WINDOW),
                    jitter,
                );
            }
        }
    }

    /// Finds members that have gone silent and takes repeatable hops away from them.
    fn detect_silent_members(&mut self, now: Time) {
        self.next_scan = now
            + (self.settings.connect_timeout * SCAN_INTERVAL_FRACTION)
                .max(self.settings.tick)
                .max(Span::from_millis(1));
        let mut overdue = BTreeMap::new();
        for hop in self.state.hops.values().filter(|h| h.overdue_at <= now) {
            let c = &self.state.members[hop.member];
            if c.last_answer_at <= hop.sent_at && now - c.last_answer_at > self.settings.connect_timeout {
                *overdue.entry(hop.member).or_insert(0) += 1;
            }
        }
        for (i, n) in overdue {
            if n >= EJECTION_THRESHOLD && self.state.members[i].ejected_until.is_none() {
                self.state.members[i].consecutive_failures = EJECTION_THRESHOLD - 1;
                self.record_failure(now, i);
            }
        }
        let caches = &self.state.members;
        for (&(id, seq), hop) in self.state.hops.iter_mut().filter(|_| self.settings.cancellation) {
            let stuck =
                |i: usize| caches[i].ejected_until.is_some() && caches[i].last_answer_at <= hop.sent_at;
            if hop.cancelled || hop.overdue_at > now || !(stuck(hop.member) || hop.source.is_some_and(stuck))
            {
                continue;
            }
            let Some(open) = self.state.open_txns.get(&id) else { continue };
            let again =
                self.settings.rules.get(open.txn.rule).is_some_and(|r| r.effect == Effect::Repeatable);
            if again && open.hop_count < self.settings.max_hops && self.retry_tokens >= 1.0 {
                hop.cancelled = true;
                self.state.pending_cancels.push_back((id, seq));
            }
        }
    }

    /// The SLA time of a txn; where its size is not told, that of a large one of its rule.
    fn sla(&self, txn: &Txn, rule: &RemapRule) -> Span {
        let sending = if txn.size.is_some() {
            self.transfer_secs(txn)
        } else {
            rule.sla.as_secs_f64() * LARGE_TXN_SLA_FRACTION
        };
        rule.sla + Span::from_secs_f64(sending * rule.sla_size_factor)
    }

    /// The txn's own sending time, as far as it is told.
    pub(crate) fn transfer_secs(&self, txn: &Txn) -> f64 {
        match txn.size {
            Some(kb) if self.settings.client_rate > 0.0 => kb / self.settings.client_rate,
            _ => self.state.rule_stats.get(txn.rule).map_or(0.0, |r| r.mean_transfer_secs),
        }
    }

    /// Guards a member that has just started: this gateway's equal part of what all may send it together in
    /// any span of the stated length. The capacity is its size, else what warm ones of its role have borne.
    pub(crate) fn within_cold_budget(&self, now: Time, i: usize, cost: f64) -> bool {
        let c = &self.state.members[i];
        let (cold, sharers) = (cold_start_settings(&self.settings, c.role), c.gateway_count);
        let Some(age) = c.info.started.map(|at| now - at).filter(|&age| age < cold.warm_up) else {
            return true;
        };
        let borne = self.state.peak_warm_rate[usize::from(c.role == Role::Parent)] * sharers;
        let untold = (borne, COLD_BUDGET_MARGIN_ESTIMATED);
        let (capacity, margin) =
            if self.settings.capacities_known { (c.info.capacity, COLD_BUDGET_MARGIN) } else { untold };
        let present = cold.initial_share + (1.0 - cold.initial_share) * (age / cold.warm_up);
        let budget =
            cold.overload_factor * present * capacity * cold.overload_window.as_secs_f64() / sharers * margin;
        let since = now.saturating_sub(cold.overload_window);
        let spent: f64 = c.cold_charges.iter().filter(|s| s.0 >= since).map(|s| s.1).sum();
        spent + cost <= budget || spent == 0.0 && !self.settings.capacities_known && capacity == 0.0
    }

    /// Listed as up, and not passed over for its silence; a trial is let through when it is due.
    fn usable(&self, now: Time, i: usize) -> bool {
        let c = &self.state.members[i];
        c.info.state == MemberState::Up && c.ejected_until.is_none_or(|at| at <= now)
    }

    /// Members of a role in the object's hash order, by weighted rendezvous where sizes are told.
    pub(crate) fn hash_order(&self, role: Role, txn: &Txn, all_zones: bool) -> Vec<usize> {
        let all = &self.state.listed_by_role[role as usize];
        let listed = if role == Role::Edge && !all_zones { &self.state.zone_caches } else { all };
        let place = |&i: &usize| {
            let c = &self.state.members[i];
            (
                -unit_interval(hash_triple(txn.object, txn.part, c.id_hash)).ln()
                    / c.relative_capacity(self.settings.capacities_known),
                i,
            )
        };
        let mut order: Vec<(f64, usize)> = listed.iter().map(place).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, i)| i).collect()
    }

    /// By which of its parents' weights an object goes to its first one, 0 to 1.
    pub(crate) fn object_fraction(&self, txn: &Txn) -> f64 {
        unit_interval(hash_triple(txn.object, txn.part, 0))
    }

    fn fill_source(&self, now: Time, open: &OpenTxn) -> Option<usize> {
        let cost = self.transfer_secs(&open.txn);
        let mut order = self.hash_order(Role::Parent, &open.txn, true);
        order.retain(|&i| {
            self.usable(now, i) && !open.avoid.contains(&i) && self.within_cold_budget(now, i, cost)
        });
        let load = open.load() * if open.cache_lacked { 1.0 } else { self.miss_ratio };
        if order.is_empty() {
            return self.pick_origin(now, open).filter(|&o| self.within_limit(now, o, load, cost));
        }
        let held_back =
            open.parent_lacked && self.state.origin.is_some_and(|o| !self.within_limit(now, o, load, cost));
        if open.origin_failed || held_back {
            return None;
        }
        let fraction = self.object_fraction(&open.txn);
        let by_weight =
            order.iter().find(|&&i| self.state.members[i].weight_controller.weight / MAX_WEIGHT > fraction);
        let home = by_weight.or(order.last()).copied();
        // Room is counted over all parents together: a fill leaves its home by weight, not by chance.
        let (held, room) = order
            .iter()
            .fold((0.0, 0.0), |(h, r), &i| (h + self.in_flight_share(now, i), r + self.allowed_in_flight(i)));
        let spare =
            held + load / gateway_count(&self.settings, Role::Parent) <= room * self.size_factor(cost);
        home.filter(|&i| spare || self.within_limit(now, i, load, cost))
    }

    /// The first usable one in hash order, those last that this txn has met already.
    fn pick_origin(&self, now: Time, open: &OpenTxn) -> Option<usize> {
        let order =
            self.hash_order(Role::Origin, &open.txn, true).into_iter().filter(|&i| self.usable(now, i));
        order.min_by_key(|i| open.avoid.contains(i))
    }

    /// The first cache in hash order within the bound; else the first that its gate lets through.
    fn pick_cache(&self, now: Time, open: &OpenTxn, cost: f64, load: f64) -> Option<usize> {
        let mut order = self.hash_order(Role::Edge, &open.txn, false);
        order.retain(|&i| {
            self.usable(now, i)
                && !open.avoid.contains(&i)
                && self.within_cold_budget(now, i, cost)
                && self.within_dedup_scope(open, now, i)
        });
        let size = |i: usize| self.state.members[i].relative_capacity(self.settings.capacities_known);
        let part = load / gateway_count(&self.settings, Role::Edge);
        let total: f64 = order.iter().map(|&i| self.in_flight_share(now, i)).sum::<f64>() + part;
        let sizes: f64 = order.iter().map(|&i| size(i)).sum();
        // Further from home each spill is a miss that fills one more cache, which feeds a jam of fills.
        order.truncate(MAX_CACHES_PER_OBJECT);
        let sending = self.transfer_secs(&open.txn);
        order.retain(|&i| self.within_limit(now, i, load, sending));
        let bound = |i: usize| (LOAD_BOUND_FACTOR * total * size(i) / sizes).max(self.allowed_in_flight(i));
        let fits = |i: usize| {
            self.in_flight_share(now, i) + part <= bound(i) || self.state.members[i].in_flight <= 0.0
        };
        order.iter().copied().find(|&i| fits(i)).or(order.first().copied())
    }

    /// A keyed txn that may have run stays among the caches that drop its repeats, while they remember it.
    fn within_dedup_scope(&self, open: &OpenTxn, now: Time, i: usize) -> bool {
        let Some((first, at)) = open.may_have_run else { return true };
        let (rule, of) = (&self.settings.rules[open.txn.rule], &self.state.members);
        let (a, b) = (&of[first].info, &of[i].info);
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

    pub(crate) fn max_age_for(&self, now: Time, txn: &Txn) -> Option<Span> {
        let rule = self.settings.rules.get(txn.rule)?;
        self.max_copy_age(now, txn, rule, self.origin_failing())
    }

    /// The oldest copy that will do: younger than any purge of the object or its group, for as long as some
    /// member may hold an older one. Zero would mean no limit.
    fn max_copy_age(&self, now: Time, txn: &Txn, rule: &RemapRule, stale: bool) -> Option<Span> {
        let purges = &self.state.purges;
        let names = (!purges.is_empty()).then(|| [object_hash(txn.object), group_hash(txn.group)]);
        let hits = |p: &&Purge| names.is_some_and(|names| names.iter().any(|&n| p.set.contains(n)));
        let purge = purges.iter().filter(hits).map(|p| now - p.valid_from).chain(txn.max_age).min();
        let fresh = rule.max_age > Span::ZERO;
        let most = if stale && fresh { rule.max_age + rule.max_stale } else { rule.max_age };
        let least = |s: Span| s.max(Span::from_micros(1));
        match purge {
            Some(age) if fresh => Some(least(age.min(most))),
            Some(age) => Some(least(age)),
            None => (most > rule.max_age).then_some(most),
        }
    }

    fn decide(&mut self, now: Time, mut open: OpenTxn) -> Decision {
        let id = open.txn.id;
        let Some(rule) = self.settings.rules.get(open.txn.rule).cloned() else {
            return Decision::Abort { txn: id };
        };
        let (sending, sla) = (self.transfer_secs(&open.txn), self.sla(&open.txn, &rule));
        let paid = open.hop_count == 0 || self.retry_tokens >= 1.0;
        // Guards capacity against large txns that can't be sent before the client gives up: they would hold
        // their places for seconds and time out. Harmful where one cache is slow and the rest are not.
        let ends = Span::from_secs_f64(self.state.duration_model.predict(sending));
        let in_time = now + ends < open.deadline && (open.hop_count > 0 || ends < sla);
        let fixed = rule.effect == Effect::Unrepeatable && open.may_have_run.is_some();
        let plan = (paid && in_time && !fixed && open.hop_count < self.settings.max_hops)
            .then(|| self.plan_hop(now, &open, &rule))
            .flatten();
        let Some((member, source, fill)) = plan else { return self.give_up(&open, &rule) };
        self.retry_tokens -= indicator(open.hop_count > 0);
        let (load, key, mean) =
            (open.load(), (id, open.hop_count), self.state.rule_stats[open.txn.rule].mean_transfer_secs);
        let fill_load = if open.cache_lacked { load } else { load * self.miss_ratio };
        // A parent is charged a txn's own sending time, a cache the mean of its rule.
        let direct = self.state.members[member].role != Role::Edge;
        let cost = if direct { sending } else { mean };
        for (i, cost, load) in [(Some(member), cost, load), (source, sending, fill_load)] {
            let Some(i) = i else { continue };
            let c = &mut self.state.members[i];
            c.add_in_flight(now, load);
            if let Some(at) = &mut c.ejected_until {
                *at = now + self.settings.connect_timeout;
            }
            if c.info.started.is_some() {
                c.cold_charges.push_back((now, cost.max(0.001), key));
                let old = now.saturating_sub(self.settings.cache_cold_start.overload_window);
                while c.cold_charges.front().is_some_and(|s| s.0 < old) {
                    c.cold_charges.pop_front();
                }
            }
        }
        let to_origin = source.is_some() && open.parent_lacked;
        if let Some(origin) = self.state.origin.filter(|_| to_origin) {
            self.state.members[origin].add_in_flight(now, load);
        }
        let due = now + sla * OVERDUE_SLA_FRACTION;
        // Over a link the round trip is the most of it: that is no pace of sending.
        let far = self.state.members[member].info.remote;
        let (sent, cancelled, sized) = (now, false, open.txn.size.is_some() && !far);
        let hop = Hop {
            size_known: sized,
            member,
            source,
            sent_at: sent,
            overdue_at: due,
            sla,
            transfer_secs: sending,
            load,
            fill_load,
            reaches_origin: to_origin,
            cancelled,
        };
        self.state.hops.insert(key, hop);
        open.hop_count += 1;
        open.hops_in_flight += 1;
        let limit = open.deadline;
        // Guards keyed effects against a hop that waits, for a connection say, until its repeat is not known any more.
        let begin_by = match open.may_have_run {
            Some((_, at)) if rule.effect == Effect::Keyed => limit.min(at + rule.dedup_window),
            _ => limit,
        };
        self.state.open_txns.insert(id, open);
        let member = Arc::clone(&self.state.members[member].info.id);
        Decision::Hop { txn: id, member, fill, start_by: begin_by, deadline: limit }
    }

    /// Where the next hop goes: cache, fill source and how the copy is kept.
    fn plan_hop(&mut self, now: Time, open: &OpenTxn, rule: &RemapRule) -> Option<HopPlan> {
        let txn = &open.txn;
        let mean = self.state.rule_stats[txn.rule].mean_transfer_secs;
        let write = txn.is_write || rule.is_write;
        if write && self.settings.bypass_allowed {
            let origin = self.pick_origin(now, open).filter(|&i| self.within_dedup_scope(open, now, i));
            return origin.map(|i| (i, None, None));
        }
        let source = if write { self.pick_origin(now, open) } else { self.fill_source(now, open) };
        let far = |i: usize| self.state.members[i].info.remote;
        let member = self.pick_cache(now, open, mean, open.load()).filter(|_| !source.is_some_and(far));
        let Some(member) = member else {
            // No cache of the own zone can take it, or none could fill from there: straight to the fill source,
            // where that is allowed.
            let source = source.filter(|&i| {
                (self.settings.bypass_allowed || far(i)) && self.within_dedup_scope(open, now, i)
            })?;
            if write {
                return Some((source, None, None));
            }
            let behind = self.pick_origin(now, open).unwrap_or(source);
            return Some((source, None, Some(self.build_fill(now, open, rule, behind, 0))));
        };
        let source = source.or_else(|| self.sibling_source(now, open, member));
        // No room for a fill: ask the cache for what it holds, once.
        if source.is_none() && (open.cache_lacked || open.origin_failed && rule.max_stale == Span::ZERO) {
            return None;
        }
        let source = source.unwrap_or(member);
        let fill = self.build_fill(now, open, rule, source, u8::from(!write));
        Some((member, (source != member).then_some(source), Some(fill)))
    }

    /// Where no parent has room for a fill: the warm cache that comes first in the object's hash order over
    /// the zones in reach gives what it holds. Guards against parents lost or crowded while copies stand
    /// elsewhere; adds load to siblings.
    fn sibling_source(&self, now: Time, open: &OpenTxn, member: usize) -> Option<usize> {
        if self.settings.sibling_fills == FillScope::Off
            || open.cache_lacked
            || open.origin_failed
            || open.txn.is_write
        {
            return None;
        }
        // What stands in other zones comes over the own link: not while that is full.
        let all = self.settings.sibling_fills == FillScope::All && self.state.link_load < MAX_LINK_LOAD;
        let order = self.hash_order(Role::Edge, &open.txn, all);
        let (load, sending) = (open.load() * self.miss_ratio, self.transfer_secs(&open.txn));
        let fits = |&i: &usize| {
            i != member
                && self.usable(now, i)
                && is_warm(&self.settings, now, &self.state.members[i])
                && self.within_limit(now, i, load, sending)
        };
        order.into_iter().find(|i| fits(i) && !open.avoid.contains(i))
    }

    fn build_fill(&self, now: Time, open: &OpenTxn, rule: &RemapRule, source: usize, keep: u8) -> Fill {
        let c = &self.state.members[source];
        Fill {
            source: Arc::clone(&c.info.id),
            keep_rank: keep,
            coalesce: self.settings.coalescing,
            only_if_cached: c.role == Role::Edge
                || c.role == Role::Parent && self.origin_failing() && !open.parent_lacked,
            revalidate: is_warm(&self.settings, now, c) && rule.max_age > Span::ZERO,
            max_age: self.max_copy_age(now, &open.txn, rule, open.hop_count > 0 || self.origin_failing()),
        }
    }

    /// Nothing more will be tried: the answer goes out at once, a rejection where a repeat is harmless.
    fn give_up(&mut self, open: &OpenTxn, rule: &RemapRule) -> Decision {
        let txn = open.txn.id;
        let harmless = open.may_have_run.is_none()
            || rule.effect == Effect::Repeatable
            || rule.effect == Effect::Keyed && rule.dedup_scope == DedupScope::All;
        if !harmless {
            return Decision::Abort { txn };
        }
        // Soon enough that the SLA time may still be met, spread so that they don't come at once.
        let wait = rule.sla * self.rng.random_range(RETRY_AFTER_SLA_FRACTION);
        let come_back = self.settings.retry_after_allowed.then(|| wait.min(self.settings.max_retry_after));
        Decision::Reject { txn, retry_after: come_back }
    }
}
