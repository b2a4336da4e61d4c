//! The load-balancing decisions of a gateway. The host calls the input methods (`update_members`, `submit`,
//! `record_outcome`, `client_left`, `purge` and so on) as events occur; they only update the state. It then calls
//! `poll` until that returns `None`, and again at `next_wake` at the latest. The types of both directions are in
//! `interface.rs`.
//!
//! Invariant: a txn that may have run is sent again only where its rule's effect permits that: an unrepeatable one
//! never, a keyed one only to members that drop the repeat and only within the dedup window.

use crate::hash_prefix::{PrefixSet, group_hash, object_hash};
use crate::histogram::Histogram;
use crate::interface::*;
use crate::state::*;
use crate::time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;

// Weight controller of the parents, as specified on the design page. Weights and penalties are in points, 0 to 100.
const SECOND: Span = Span::from_millis(1000);
/// Largest decrease in a step; an increase is at most half of it.
const MAX_WEIGHT_STEP: f64 = 15.0;
/// Random addition to a step, either way; left out for changes up to this size.
const WEIGHT_JITTER: f64 = 2.0;
/// A parent's lowest weight, also its first one after a cold start.
const MIN_WEIGHT: f64 = 5.0;
const MAX_WEIGHT: f64 = 100.0;
const STEPS_PER_WINDOW: u32 = 3;
/// Windows in a row without degradation before a weight rises again.
const CLEAN_WINDOWS_TO_RECOVER: u32 = 3;
/// Penalty for each ms of p95 first-byte time above the tolerated baseline.
const LATENCY_PENALTY_PER_MS: f64 = 0.4;
/// Penalty for a combined rate of failures and timeouts of 1.
const ERROR_PENALTY: f64 = 50.0;

// Values that the design page leaves open: signal weights, thresholds and sample sizes.
const FAILURE_SIGNAL_WEIGHT: f64 = 1.5;
const TIMEOUT_SIGNAL_WEIGHT: f64 = 1.5;
const FIRST_BYTE_SIGNAL_WEIGHT: f64 = 0.5;
/// Rate of failures or of timeouts above which a window is degraded.
const CLEAN_WINDOW_MAX_ERROR_RATE: f64 = 0.05;
/// Multiple of the baseline up to which a first-byte time is normal.
const BASELINE_TOLERANCE: f64 = 1.5;
/// Fewer fills than this are not judged by latency.
const MIN_FILL_SAMPLES: f64 = 8.0;
/// Above this count the baseline's samples are halved.
const MAX_BASELINE_SAMPLES: f64 = 600.0;

/// Bounded-load consistent hashing: a cache's bound over its fair share of this gateway's load in flight.
const LOAD_BOUND_FACTOR: f64 = 3.0;
/// The caches of its hash order that an object may use.
const MAX_CACHES_PER_OBJECT: usize = 2;

// Concurrency limits (AIMD), in multiples of the mean txn's load.

/// Initial limit over the member's capacity.
const INITIAL_LIMIT_FACTOR: f64 = 4.0;
/// Assumed capacity of a cache, in txns, where it is unknown.
const DEFAULT_CACHE_CAPACITY: f64 = 4.0;
/// Assumed capacity of all parents over that of all caches.
const PARENTS_CAPACITY_SHARE: f64 = 0.6;
/// Assumed capacity of the origin over that of all caches.
const ORIGIN_CAPACITY_SHARE: f64 = 0.25;
/// Lowest limit over the initial one.
const MIN_LIMIT_FRACTION: f64 = 0.0625;
/// Multiplicative decrease for each late or rejected answer.
const LIMIT_DECREASE_FACTOR: f64 = 0.85;
/// Additive increase for each answer in time.
const LIMIT_INCREASE: f64 = 0.1;
/// Upper bound of the factor by which small txns get a higher limit than the mean one.
const MAX_SIZE_FACTOR: f64 = 3.0;
/// The largest txns keep this part of the limit: they are due two thirds of their rule's share of completed txns on
/// quiet days and half of it on others.
const MIN_SIZE_FACTOR: f64 = 0.8;

/// Time over which this gateway's load in flight at a member is averaged, to stand in for the load of each other
/// gateway. Multiplied by the square root of the number of gateways, since each sees less the more there are.
const IN_FLIGHT_AVERAGING_SECS: f64 = 0.3;

/// Transfers on the zone's link over those that fit: the load that the link factor aims at.
const TARGET_LINK_LOAD: f64 = 2.0;
/// Range of the factor by which the link factor changes in a second.
const LINK_FACTOR_STEP: std::ops::Range<f64> = 0.5..2.0;
const MIN_LINK_FACTOR: f64 = 0.05;

/// Where sizes are unknown: assumed transfer time of a large txn, over its rule's SLA time.
const LARGE_TXN_SLA_FRACTION: f64 = 0.75;

/// Share of origin fills that fail or start late from which the origin counts as failing.
const ORIGIN_FAILING_RATE: f64 = 0.3;
/// Part of the SLA time after which a fill's first byte is late.
const SLOW_FIRST_BYTE_SLA_FRACTION: f64 = 0.8;

/// Failures in a row after which a member is ejected.
const EJECTION_THRESHOLD: u32 = 2;
/// Part of the SLA time from which a hop without an answer is overdue.
const OVERDUE_SLA_FRACTION: f64 = 0.9;
/// Interval of the scan for silent members over the connect timeout; also the delay of a new subscription over the
/// time within which one must be made.
const SCAN_INTERVAL_FRACTION: f64 = 0.125;

/// Retry budget (token bucket): tokens that each new txn adds; a hop after the first takes one.
const RETRY_TOKENS_PER_TXN: f64 = 0.15;
/// Capacity of the bucket: the refill of this many seconds, and at least this many tokens.
const RETRY_BURST: f64 = 6.0;
/// Part of the SLA time after which a rejected client may come again.
const RETRY_AFTER_SLA_FRACTION: std::ops::Range<f64> = 0.1..0.4;

/// The fraction of a cold member's budget that is used where capacities are known.
const COLD_BUDGET_MARGIN: f64 = 0.7;
/// The same where capacities are estimated from completion rates.
const COLD_BUDGET_MARGIN_ESTIMATED: f64 = 0.5;
/// What the peak completion rate of warm members keeps each second.
const PEAK_RATE_DECAY: f64 = 0.995;

/// Bounds of the purges that are kept and of their prefixes together.
const MAX_PURGES: usize = 512;
const MAX_PURGE_PREFIXES: usize = 512 * 512;

// Smoothing factors of the EWMAs.
const SLOW_EWMA_ALPHA: f64 = 0.02;
const FAST_EWMA_ALPHA: f64 = 0.15;

/// The member of the next hop, its fill source, and the instructions for a cache miss.
type HopPlan = (usize, Option<usize>, Option<Fill>);

/// The decision module of one gateway. It does no I/O and reads no clock: the host passes the time to each call.
#[derive(Clone)]
pub struct Gateway {
    settings: Settings,
    rng: Pcg64Mcg,
    pub(crate) state: RouterState,
    /// Token bucket for hops after a txn's first one.
    retry_tokens: f64,
    /// EWMA of the share of usable cache answers that needed a fill.
    miss_ratio: f64,
    /// Factor on the limits of fill sources that follows the load on the zone's own link.
    link_factor: f64,
    next_scan: Time,
    next_step: Time,
    subscribe_at: Option<Time>,
}

impl WeightController {
    fn new(weight: f64) -> WeightController {
        let recent_first_byte = Histogram::new(0.004, 1.5, 18);
        let baseline_first_byte = recent_first_byte.clone();
        WeightController {
            weight,
            recent_first_byte,
            baseline_first_byte,
            fills: 0.0,
            failed: 0.0,
            timed_out: 0.0,
            clean_windows: 0,
            window_degraded: false,
        }
    }

    /// Signals of the current window: failure rate, timeout rate, and the relative excess of the p95 and the median
    /// first-byte time over the baseline.
    fn signals(&self) -> [f64; 4] {
        if self.fills < 1.0 {
            return [0.0; 4];
        }
        let excess = |q: f64| match (self.recent_first_byte.quantile(q), self.baseline_first_byte.quantile(q))
        {
            (Some(recent), Some(baseline)) if self.recent_first_byte.count() >= MIN_FILL_SAMPLES => {
                (recent.as_secs_f64() / (baseline.as_secs_f64() * BASELINE_TOLERANCE) - 1.0).max(0.0)
            }
            _ => 0.0,
        };
        let samples = self.fills.max(MIN_FILL_SAMPLES / 2.0);
        [self.failed / samples, self.timed_out / samples, excess(0.95), excess(0.5)]
    }

    /// Runs once a second. `common` is the part of the signals that all parents share: its cause lies elsewhere
    /// (the zone's own link, the origin behind all parents), so it is not held against any one of them.
    fn step(&mut self, common: &[f64; 4], window_ends: bool, jitter: f64) {
        let mut own = self.signals();
        for (signal, shared) in own.iter_mut().zip(common) {
            *signal -= shared;
        }
        let [failed, timed_out, p95, p50] = own;
        let score = (1.0 - FAILURE_SIGNAL_WEIGHT * failed)
            .min(1.0 - TIMEOUT_SIGNAL_WEIGHT * timed_out)
            .min(1.0 - FIRST_BYTE_SIGNAL_WEIGHT * p95)
            .max(0.0);
        let baseline_p95_ms = self
            .baseline_first_byte
            .quantile(0.95)
            .map_or(0.0, |s| s.as_secs_f64() * BASELINE_TOLERANCE * 1e3);
        let target = score * MAX_WEIGHT
            - p95 * baseline_p95_ms * LATENCY_PENALTY_PER_MS
            - (failed + timed_out) * ERROR_PENALTY;
        let target = target.clamp(0.0, MAX_WEIGHT).round();
        self.window_degraded |=
            failed > CLEAN_WINDOW_MAX_ERROR_RATE || timed_out > CLEAN_WINDOW_MAX_ERROR_RATE || p50 > 0.0;
        if window_ends {
            self.clean_windows = if self.window_degraded { 0 } else { self.clean_windows + 1 };
            self.window_degraded = false;
            self.recent_first_byte.halve();
        }
        (self.fills, self.failed, self.timed_out) =
            (self.fills / 2.0, self.failed / 2.0, self.timed_out / 2.0);
        let delta = target - self.weight;
        let jitter = if delta.abs() > WEIGHT_JITTER { jitter } else { 0.0 };
        if delta < 0.0 {
            self.weight += delta.max(-MAX_WEIGHT_STEP) + jitter;
        } else if self.clean_windows >= CLEAN_WINDOWS_TO_RECOVER {
            self.weight += delta.min(MAX_WEIGHT_STEP / 2.0) + jitter;
        }
        self.weight = self.weight.clamp(MIN_WEIGHT, MAX_WEIGHT);
        if self.baseline_first_byte.count() > MAX_BASELINE_SAMPLES {
            self.baseline_first_byte.halve();
        }
    }
}

/// When the first attempt of a txn that may have run was sent, by this gateway or before it. One of which nothing is
/// known counts as sent long ago.
fn first_attempt(open: &OpenTxn) -> Option<Time> {
    let earlier = match open.txn.earlier_attempt {
        EarlierAttempt::None => None,
        EarlierAttempt::SentAt(sent_at) => Some(sent_at),
        EarlierAttempt::Unknown => Some(Time::default()),
    };
    earlier.into_iter().chain(open.may_have_run.map(|first| first.sent_at)).min()
}

fn cold_start_settings(settings: &Settings, role: Role) -> &ColdStart {
    if role == Role::Parent { &settings.parent_cold_start } else { &settings.cache_cold_start }
}

fn is_warm(settings: &Settings, now: Time, record: &MemberRecord) -> bool {
    record.info.started.is_none_or(|at| now - at >= cold_start_settings(settings, record.role).warm_up)
}

/// The number of gateways that send to a member of this role.
fn gateway_count(settings: &Settings, role: Role) -> f64 {
    f64::from(if role == Role::Edge { settings.zone_gateways } else { settings.gateways }.max(1))
}

impl Gateway {
    pub fn new(settings: Settings, seed: u64, now: Time) -> Gateway {
        let stats =
            |r: &RemapRule| RuleStats { mean_transfer_secs: r.sla.as_secs_f64() / 2.0, measured: false };
        Gateway {
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: RouterState {
                rule_stats: settings.rules.iter().map(stats).collect(),
                ..RouterState::default()
            },
            retry_tokens: RETRY_BURST,
            miss_ratio: 0.5,
            link_factor: 1.0,
            next_scan: now,
            next_step: now + SECOND,
            subscribe_at: settings.subscription_required.then_some(now),
            settings,
        }
    }

    /// Applies an update of the member list; with `full_list`, members that it does not contain are gone.
    pub fn update_members(&mut self, now: Time, full_list: bool, list: Vec<Member>) {
        let mut added = Vec::new();
        let missing = |record: &&mut MemberRecord| full_list && list.iter().all(|m| m.id != record.info.id);
        self.state
            .members
            .iter_mut()
            .filter(missing)
            .for_each(|record| record.info.state = MemberState::Gone);
        for m in list {
            let role = match Some(m.kind) {
                k if k == self.settings.parent_kind => Role::Parent,
                k if k == self.settings.origin_kind => Role::Origin,
                _ => Role::Edge,
            };
            let cold = m.started.is_some_and(|at| now - at < self.settings.parent_cold_start.warm_up);
            let weight = if cold { MIN_WEIGHT } else { MAX_WEIGHT };
            if let Some(&i) = self.state.by_id.get(&m.id) {
                let record = &mut self.state.members[i];
                if m.started != record.info.started && m.started.is_some() {
                    (record.consecutive_failures, record.ejected_until, record.weight_controller) =
                        (0, None, WeightController::new(weight));
                    record.cold_charges.clear();
                }
                (record.info, record.role) = (m, role);
                continue;
            }
            let (gateways, weight_controller) =
                (gateway_count(&self.settings, role), WeightController::new(weight));
            added.push(self.state.insert_member(MemberRecord::new(
                now,
                m,
                role,
                gateways,
                SECOND * (IN_FLIGHT_AVERAGING_SECS * gateways.sqrt()),
                weight_controller,
            )));
        }
        self.state.listed_by_role = Default::default();
        for (i, record) in
            self.state.members.iter().enumerate().filter(|(_, record)| record.info.state != MemberState::Gone)
        {
            self.state.listed_by_role[record.role as usize].push(i);
        }
        let in_zone = |i: &&usize| self.state.members[**i].info.zone == Some(self.settings.zone);
        self.state.zone_caches =
            self.state.listed_by_role[Role::Edge as usize].iter().filter(in_zone).copied().collect();
        for i in added {
            self.state.members[i].concurrency_limit = self.initial_limit(i);
        }
    }

    fn listed_count(&self, role: Role) -> f64 {
        self.state.listed_by_role[role as usize].len().max(1) as f64
    }

    /// This gateway's equal share of a member's initial concurrency limit, in mean txns.
    fn initial_limit(&self, i: usize) -> f64 {
        let record = &self.state.members[i];
        let all_caches = DEFAULT_CACHE_CAPACITY * self.listed_count(Role::Edge);
        let total = match record.role {
            Role::Origin => all_caches * ORIGIN_CAPACITY_SHARE,
            _ if self.settings.capacities_known => record.info.capacity,
            Role::Parent => all_caches * PARENTS_CAPACITY_SHARE / self.listed_count(Role::Parent),
            Role::Edge => DEFAULT_CACHE_CAPACITY,
        };
        total * INITIAL_LIMIT_FACTOR / record.gateway_count
    }

    /// Reports that a member is reachable, apart from any hop: a remote gateway whose link is up again.
    pub fn member_alive(&mut self, now: Time, id: &MemberId) {
        if let Some(&i) = self.state.by_id.get(id) {
            self.state.members[i].record_answer(now);
        }
    }

    /// The discovery service failed or ended the subscription.
    pub fn subscription_failed(&mut self, now: Time) {
        self.subscribe_at = self
            .settings
            .subscription_required
            .then(|| now + self.settings.subscribe_within * SCAN_INTERVAL_FRACTION);
    }

    /// A txn has arrived from a client; the next `poll` decides on it.
    pub fn submit(&mut self, now: Time, mut txn: Txn) {
        // The sender of an unrepeatable txn passes it on only if it has not run, also where it can't state that.
        let rule = self.settings.rules.get(txn.rule);
        if txn.earlier_attempt == EarlierAttempt::Unknown
            && rule.is_some_and(|rule| rule.effect == Effect::Unrepeatable)
        {
            txn.earlier_attempt = EarlierAttempt::None;
        }
        self.state.arrivals_since_step += 1.0;
        let capacity = RETRY_BURST * (RETRY_TOKENS_PER_TXN * self.state.arrival_rate).max(1.0);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_TXN).min(capacity);
        let transfer_secs = self.transfer_secs(&txn);
        if let (Some(_), Some(stats)) = (txn.size, self.state.rule_stats.get_mut(txn.rule)) {
            update_ewma(
                &mut stats.mean_transfer_secs,
                transfer_secs,
                if stats.measured { SLOW_EWMA_ALPHA } else { 1.0 },
            );
            stats.measured = true;
        }
        let alpha = if self.state.mean_txn_load == 0.0 { 1.0 } else { SLOW_EWMA_ALPHA };
        update_ewma(&mut self.state.mean_txn_load, txn.size.unwrap_or(1.0), alpha);
        update_ewma(&mut self.state.mean_transfer_secs, transfer_secs, alpha);
        self.state.ready.push_back(txn.id);
        self.state.open_txns.insert(txn.id, OpenTxn::new(txn.clone(), now + txn.time_left));
    }

    /// The client has disconnected or given up: nothing more is decided for the txn.
    pub fn client_left(&mut self, id: TxnId) {
        self.state.open_txns.remove(&id);
    }

    /// Copies of the objects and groups in `set` that are older than `age` are no longer valid.
    pub fn purge(&mut self, now: Time, set: PrefixSet, age: Span) {
        self.state.purges.push(Purge { set, valid_from: now.saturating_sub(age), received_at: now });
        let over_limit =
            |s: &RouterState| s.purges.len() > MAX_PURGES || s.purge_prefix_count() > MAX_PURGE_PREFIXES;
        while over_limit(&self.state) && self.merge_purges() {}
    }

    /// Bounds memory and the cost of each read under a flood of purges by merging the two purges adjacent in time
    /// that cover the fewest objects together. The merged purge covers too much, never too little.
    fn merge_purges(&mut self) -> bool {
        let combined_coverage = |pair: &[Purge]| {
            let (a, b) = (&pair[0].set, &pair[1].set);
            (a.prefixes().len() + b.prefixes().len()) as f64 / 2f64.powi(a.bits().min(b.bits()).into())
        };
        let pairs = self.state.purges.windows(2).map(combined_coverage).enumerate();
        let Some((i, _)) = pairs.min_by(|a, b| a.1.total_cmp(&b.1)) else { return false };
        let later = self.state.purges.remove(i + 1);
        let kept = &mut self.state.purges[i];
        kept.set = kept.set.union(&later.set);
        // Truncating the prefixes would reduce their number only once they cover nearly all objects.
        if kept.set.prefixes().len() > MAX_PURGE_PREFIXES / MAX_PURGES {
            kept.set = PrefixSet::all();
        }
        (kept.valid_from, kept.received_at) =
            (kept.valid_from.max(later.valid_from), kept.received_at.max(later.received_at));
        self.state.purges_merged += 1;
        true
    }

    /// A hop has ended. Updates the member's health, limits and statistics, and queues the txn for its next decision.
    pub fn record_outcome(&mut self, now: Time, outcome: Outcome) {
        let Some(hop) = self.state.hops.remove(&(outcome.txn, outcome.hop)) else { return };
        self.adjust_limit(now, &hop, &outcome);
        let is_cache = self.state.members[hop.member].role == Role::Edge;
        let in_time = outcome.status == HopStatus::Completed && outcome.duration <= hop.sla;
        let record = &mut self.state.members[hop.member];
        record.last_timely_sent_at =
            record.last_timely_sent_at.max(if in_time { hop.sent_at } else { record.last_timely_sent_at });
        // A hop without an answer is no sign of congestion if a later hop to the member completed in time.
        let congested = outcome.status == HopStatus::TimedOut && record.last_timely_sent_at <= hop.sent_at;
        if (outcome.status == HopStatus::Completed || congested) && hop.size_known {
            self.state.duration_model.record(
                hop.transfer_secs,
                outcome.duration.as_secs_f64(),
                SLOW_EWMA_ALPHA,
            );
        }
        if let Some(link_load) = outcome.load.link_load.filter(|_| is_cache) {
            update_ewma(&mut self.state.link_load, link_load, FAST_EWMA_ALPHA);
        }
        let filled = matches!(outcome.cache_status, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin));
        let hit = matches!(outcome.cache_status, Some(CacheStatus::Held | CacheStatus::Old));
        if let Some(origin) = self.state.origin.filter(|_| hop.reaches_origin) {
            self.state.members[origin].add_in_flight(now, -hop.load);
        }
        self.state.members[hop.member].add_in_flight(now, -hop.load);
        let record = &mut self.state.members[hop.member];
        record.completed_since_step += hop.transfer_secs * indicator(outcome.status == HopStatus::Completed);
        let unresponsive = match outcome.status {
            HopStatus::Unreachable | HopStatus::Broken => true,
            HopStatus::TimedOut => record.last_answer_at <= hop.sent_at,
            _ => false,
        };
        if unresponsive {
            self.record_failure(now, hop.member);
        } else if !matches!(
            outcome.status,
            HopStatus::TimedOut | HopStatus::Withdrawn | HopStatus::NeverSent | HopStatus::Overtaken
        ) {
            record.record_answer(now);
        }
        let mut failed_member = hop.member;
        if let Some(source) = hop.source {
            if hit || filled {
                update_ewma(&mut self.miss_ratio, indicator(filled), SLOW_EWMA_ALPHA / 2.0);
            }
            self.state.members[source].add_in_flight(now, -hop.fill_load);
            let record = &mut self.state.members[source];
            if hit {
                record.cold_charges.retain(|charge| charge.2 != (outcome.txn, outcome.hop));
            }
            let refused =
                matches!(outcome.cache_status, Some(CacheStatus::SourceRefused | CacheStatus::OriginFailed));
            let timed_out = outcome.status == HopStatus::TimedOut
                && !unresponsive
                && record.last_answer_at <= hop.sent_at;
            let lost = timed_out || outcome.cache_status == Some(CacheStatus::SourceLost);
            if filled || lost || outcome.cache_status == Some(CacheStatus::SourceRefused) {
                record.weight_controller.fills += 1.0;
                record.weight_controller.failed += indicator(!filled && !timed_out);
                record.weight_controller.timed_out += indicator(timed_out);
            }
            if let (Some(CacheStatus::Filled), Some(first_byte)) = (outcome.cache_status, outcome.first_byte)
            {
                record.weight_controller.recent_first_byte.record(first_byte);
                record.weight_controller.baseline_first_byte.record(first_byte);
            }
            record.completed_since_step += hop.transfer_secs * indicator(filled);
            if refused || lost {
                failed_member = source;
            }
            if lost {
                self.record_failure(now, source);
            } else if filled || refused {
                record.record_answer(now);
            }
        }
        // Hops to a remote gateway are scored as fills are, by the first byte over the link.
        let record = &mut self.state.members[hop.member];
        if record.info.remote && record.role == Role::Parent {
            let failed = matches!(
                outcome.status,
                HopStatus::Unreachable
                    | HopStatus::Broken
                    | HopStatus::Errored
                    | HopStatus::TurnedAway
                    | HopStatus::GivenUp
                    | HopStatus::NeverSent
                    | HopStatus::Spoilt
            );
            let timed_out = outcome.status == HopStatus::TimedOut;
            record.weight_controller.fills +=
                indicator(failed || timed_out || outcome.status == HopStatus::Completed);
            record.weight_controller.failed += indicator(failed);
            record.weight_controller.timed_out += indicator(timed_out);
            if let Some(first_byte) = outcome.first_byte {
                record.weight_controller.recent_first_byte.record(first_byte);
                record.weight_controller.baseline_first_byte.record(first_byte);
            }
        }
        let Some(open) = self.state.open_txns.get_mut(&outcome.txn) else { return };
        if outcome.cache_status == Some(CacheStatus::Held)
            && open.txn.size.is_none()
            && let Some(stats) = self.state.rule_stats.get_mut(open.txn.rule)
        {
            update_ewma(&mut stats.mean_transfer_secs, outcome.duration.as_secs_f64(), SLOW_EWMA_ALPHA);
        }
        if outcome.answered {
            self.state.open_txns.remove(&outcome.txn);
            return;
        }
        open.hops_in_flight = open.hops_in_flight.saturating_sub(1);
        if outcome.status == HopStatus::Lacking && hop.source.is_none() {
            open.cache_lacked = true;
        } else if outcome.cache_status == Some(CacheStatus::SourceLacks) {
            open.cache_lacked = true;
            open.parent_lacked |=
                hop.source.is_some_and(|source| self.state.members[source].role == Role::Parent);
        } else if outcome.cache_status == Some(CacheStatus::OriginFailed) {
            open.origin_failed = true;
        } else if outcome.status != HopStatus::Overtaken {
            open.avoid.push(failed_member);
        }
        let is_first = open.may_have_run.is_none_or(|first| hop.sent_at < first.sent_at);
        if !outcome.status.proves_not_run() && is_first {
            let Hop { member, zone, cell, sent_at, .. } = hop;
            open.may_have_run = Some(Destination { member, zone, cell, sent_at });
        }
        if open.hops_in_flight == 0 {
            self.state.ready.push_back(outcome.txn);
        }
    }

    /// Adapts a concurrency limit: additive increase for an answer in time, multiplicative decrease for a late or
    /// rejected one, at the member that the txn went through. Keeps work from piling up at a cache, a parent or the
    /// link in front of it, whatever the cause: overload, retries, large objects, a slow machine. It would do harm
    /// where txns are late for other reasons: therefore fills don't count against the cache, hits don't count
    /// against the parent, and errors of a txn that no member can serve count against none.
    fn adjust_limit(&mut self, now: Time, hop: &Hop, outcome: &Outcome) {
        let slow_first_byte =
            outcome.first_byte.is_some_and(|first| first > hop.sla * SLOW_FIRST_BYTE_SLA_FRACTION);
        let target = match outcome.cache_status {
            // An error at a second member too is due to the txn: the first member's decrease is undone.
            None if outcome.status == HopStatus::Errored && outcome.hop > 0 => {
                let first =
                    self.state.open_txns.get(&outcome.txn).and_then(|open| open.avoid.first().copied());
                let first = first.filter(|_| outcome.hop == 1).map(|i| &mut self.state.members[i]);
                _ = first.map(|record| {
                    record.concurrency_limit /= LIMIT_DECREASE_FACTOR.powf(record.gateway_count.sqrt())
                });
                None
            }
            None
            | Some(CacheStatus::Held | CacheStatus::Old | CacheStatus::Joined | CacheStatus::NoPlace) => {
                Some(hop.member)
            }
            Some(CacheStatus::OriginFailed) => self.state.origin,
            Some(CacheStatus::FilledByOrigin) if slow_first_byte => self.state.origin,
            Some(CacheStatus::FilledByOrigin) if hop.reaches_origin && outcome.duration <= hop.sla => {
                self.state.origin
            }
            _ => hop.source,
        };
        if outcome.cache_status == Some(CacheStatus::OriginFailed)
            || outcome.cache_status == Some(CacheStatus::FilledByOrigin)
        {
            let bad = slow_first_byte || outcome.cache_status == Some(CacheStatus::OriginFailed);
            update_ewma(&mut self.state.origin_failure_rate, indicator(bad), FAST_EWMA_ALPHA);
        }
        let (Some(target), mean_load) = (target, self.state.mean_txn_load.max(1e-6)) else { return };
        let (in_flight, floor) =
            (self.in_flight_share(now, target), self.initial_limit(target) * MIN_LIMIT_FRACTION);
        let parent_count = self.listed_count(Role::Parent);
        let record = &mut self.state.members[target];
        // Each gateway sees only a part of a member's late answers and reacts to them the more strongly.
        let gateways_per_member = if record.role == Role::Parent {
            record.gateway_count / parent_count
        } else {
            record.gateway_count
        };
        let step_scale = gateways_per_member.sqrt().max(1.0);
        match outcome.status {
            HopStatus::Completed
                if outcome.duration <= hop.sla && in_flight < record.concurrency_limit * mean_load / 2.0 => {}
            HopStatus::Completed if outcome.duration <= hop.sla => {
                record.concurrency_limit += LIMIT_INCREASE / step_scale
            }
            // Over a link, late answers are due to packet loss; the link's congestion window limits the load there.
            HopStatus::Completed if record.info.remote => {}
            HopStatus::Completed | HopStatus::TurnedAway | HopStatus::GivenUp | HopStatus::Errored => {
                record.concurrency_limit =
                    (record.concurrency_limit * LIMIT_DECREASE_FACTOR.powf(step_scale)).max(floor);
            }
            _ => {}
        }
    }

    /// Fills from the origin fail or start late behind all parents alike. Parents are then asked first for the copy
    /// they have, stale copies are accepted, and fills that do go on to the origin are subject to its limit, so that
    /// a slow or overloaded origin gets only what it can answer in time. Costs an extra hop for each miss.
    pub(crate) fn origin_failing(&self) -> bool {
        self.state.origin_failure_rate > ORIGIN_FAILING_RATE
    }

    /// Load in flight at a member, as this gateway's share of the total: each other gateway is assumed to have this
    /// gateway's mean load there. Evens out chance where many gateways have one txn or less each: an idle moment is
    /// not spare capacity and one large txn is not congestion. Inaccurate where the gateways' loads differ much.
    fn in_flight_share(&self, now: Time, i: usize) -> f64 {
        let record = &self.state.members[i];
        (record.in_flight + record.mean_in_flight(now) * (record.gateway_count - 1.0)) / record.gateway_count
    }

    /// A member's concurrency limit as load: KB, or txns where sizes are unknown.
    fn allowed_in_flight(&self, i: usize) -> f64 {
        let record = &self.state.members[i];
        let link_factor = if record.role == Role::Edge { 1.0 } else { self.link_factor };
        record.concurrency_limit * link_factor * self.state.mean_txn_load
    }

    /// Whether a txn fits under a member's limit, which is higher for small txns and lower for large ones. Importance
    /// counts by the txn, so when not all fit this completes the most of it; large txns wait longest for capacity.
    pub(crate) fn within_limit(&self, now: Time, i: usize, load: f64, transfer_secs: f64) -> bool {
        let (record, in_flight, allowed) = (
            &self.state.members[i],
            self.in_flight_share(now, i),
            self.allowed_in_flight(i) * self.size_factor(transfer_secs),
        );
        record.in_flight <= 0.0 && in_flight <= allowed / 2.0
            || in_flight + load / record.gateway_count <= allowed
    }

    /// Factor on a limit by the txn's transfer time over the mean one.
    fn size_factor(&self, transfer_secs: f64) -> f64 {
        (self.state.mean_transfer_secs / transfer_secs.max(1e-6))
            .sqrt()
            .clamp(MIN_SIZE_FACTOR, MAX_SIZE_FACTOR)
    }

    /// Records that a member took work without answering or could not be reached. After a few failures in a row it is
    /// ejected and gets only single probe hops, with exponential backoff. Covers crashes, hangs and cut links that
    /// the member list does not show; does harm only if a member is merely slow and answers nothing else.
    fn record_failure(&mut self, now: Time, i: usize) {
        let record = &mut self.state.members[i];
        record.consecutive_failures += 1;
        if record.consecutive_failures >= EJECTION_THRESHOLD {
            let ejection_time = self.settings.connect_timeout
                * 2f64.powi((record.consecutive_failures - EJECTION_THRESHOLD).min(3) as i32);
            record.ejected_until = Some(now + ejection_time);
        }
    }

    /// The next decision that is due, after running the periodic work that is due.
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

    /// When `poll` must be called again at the latest.
    pub fn next_wake(&self) -> Time {
        let scan = if self.state.hops.is_empty() { self.next_step } else { self.next_scan };
        let next = self.next_step.min(scan);
        self.subscribe_at.map_or(next, |at| at.min(next))
    }

    /// Periodic update, once a second.
    fn step(&mut self, now: Time) {
        while self.next_step <= now {
            self.next_step += SECOND;
        }
        self.state.step_count += 1;
        // Protects the zone's own link from fills, whose limits are many times higher. Does harm if the reported
        // link load is wrong.
        let adjustment = (TARGET_LINK_LOAD / self.state.link_load.max(0.01))
            .clamp(LINK_FACTOR_STEP.start, LINK_FACTOR_STEP.end);
        self.link_factor = (self.link_factor * adjustment).clamp(MIN_LINK_FACTOR, 1.0);
        update_ewma(&mut self.state.arrival_rate, self.state.arrivals_since_step, FAST_EWMA_ALPHA);
        self.state.arrivals_since_step = 0.0;
        // With no hop in flight nothing is measured: the model decays, or all txns would be rejected for good.
        if self.state.hops.is_empty() {
            self.state.duration_model.decay(FAST_EWMA_ALPHA);
        }
        let propagation = self.settings.purge_propagation;
        // Counted from receipt, so that a purge delayed by a partition still applies for the full time.
        self.state.purges.retain(|p| now - p.received_at < propagation + SECOND);
        let up = |record: &&MemberRecord| record.role == Role::Parent && record.info.state == MemberState::Up;
        let min = |a: [f64; 4], b: [f64; 4]| std::array::from_fn(|i| a[i].min(b[i]));
        let signals =
            self.state.members.iter().filter(up).map(|record| record.weight_controller.signals()).reduce(min);
        let common = signals.filter(|_| self.listed_count(Role::Parent) > 1.0).unwrap_or_default();
        for (peak, role) in self.state.peak_warm_rate.iter_mut().zip([Role::Edge, Role::Parent]) {
            let in_zone =
                |record: &MemberRecord| role == Role::Parent || record.info.zone == Some(self.settings.zone);
            let counts = |record: &&MemberRecord| {
                record.role == role && record.info.state == MemberState::Up && in_zone(record)
            };
            let counts = |record: &&MemberRecord| counts(record) && is_warm(&self.settings, now, record);
            let (sum, n) = self
                .state
                .members
                .iter()
                .filter(counts)
                .fold((0.0, 0.0), |(s, n), record| (s + record.completion_rate, n + 1.0));
            *peak = (*peak * PEAK_RATE_DECAY).max(sum / f64::max(n, 1.0));
        }
        for record in &mut self.state.members {
            update_ewma(&mut record.completion_rate, record.completed_since_step, FAST_EWMA_ALPHA);
            record.completed_since_step = 0.0;
            if record.role == Role::Parent {
                let jitter = self.rng.random_range(-WEIGHT_JITTER..=WEIGHT_JITTER);
                record.weight_controller.step(
                    &common,
                    self.state.step_count.is_multiple_of(STEPS_PER_WINDOW),
                    jitter,
                );
            }
        }
    }

    /// Ejects members that have stopped answering and cancels the repeatable hops that wait for them.
    fn detect_silent_members(&mut self, now: Time) {
        self.next_scan = now
            + (self.settings.connect_timeout * SCAN_INTERVAL_FRACTION)
                .max(self.settings.tick)
                .max(Span::from_millis(1));
        let mut overdue = BTreeMap::new();
        for hop in self.state.hops.values().filter(|h| h.overdue_at <= now) {
            let record = &self.state.members[hop.member];
            if record.last_answer_at <= hop.sent_at
                && now - record.last_answer_at > self.settings.connect_timeout
            {
                *overdue.entry(hop.member).or_insert(0) += 1;
            }
        }
        for (i, count) in overdue {
            if count >= EJECTION_THRESHOLD && self.state.members[i].ejected_until.is_none() {
                self.state.members[i].consecutive_failures = EJECTION_THRESHOLD - 1;
                self.record_failure(now, i);
            }
        }
        let members = &self.state.members;
        for (&(id, seq), hop) in self.state.hops.iter_mut().filter(|_| self.settings.cancellation) {
            let unresponsive =
                |i: usize| members[i].ejected_until.is_some() && members[i].last_answer_at <= hop.sent_at;
            if hop.cancelled
                || hop.overdue_at > now
                || !(unresponsive(hop.member) || hop.source.is_some_and(unresponsive))
            {
                continue;
            }
            let Some(open) = self.state.open_txns.get(&id) else { continue };
            let repeatable =
                self.settings.rules.get(open.txn.rule).is_some_and(|r| r.effect == Effect::Repeatable);
            if repeatable && open.hop_count < self.settings.max_hops && self.retry_tokens >= 1.0 {
                hop.cancelled = true;
                self.state.pending_cancels.push_back((id, seq));
            }
        }
    }

    /// The SLA time of a txn; where its size is unknown, that of a large txn of its rule.
    fn sla(&self, txn: &Txn, rule: &RemapRule) -> Span {
        let transfer_secs = if txn.size.is_some() {
            self.transfer_secs(txn)
        } else {
            rule.sla.as_secs_f64() * LARGE_TXN_SLA_FRACTION
        };
        rule.sla + Span::from_secs_f64(transfer_secs * rule.sla_size_factor)
    }

    /// The txn's own transfer time in seconds, or the mean of its rule where it is unknown.
    pub(crate) fn transfer_secs(&self, txn: &Txn) -> f64 {
        match txn.size {
            Some(kb) if self.settings.client_rate > 0.0 => kb / self.settings.client_rate,
            _ => self.state.rule_stats.get(txn.rule).map_or(0.0, |r| r.mean_transfer_secs),
        }
    }

    /// Slow start of a member that has just started: this gateway's equal share of what all gateways together may
    /// send it within an overload window. Its capacity is the stated one, or else what warm members of its role
    /// have been seen to complete.
    pub(crate) fn within_cold_budget(&self, now: Time, i: usize, cost: f64) -> bool {
        let record = &self.state.members[i];
        let (cold, gateways) = (cold_start_settings(&self.settings, record.role), record.gateway_count);
        let Some(age) = record.info.started.map(|at| now - at).filter(|&age| age < cold.warm_up) else {
            return true;
        };
        let observed = self.state.peak_warm_rate[usize::from(record.role == Role::Parent)] * gateways;
        let estimated = (observed, COLD_BUDGET_MARGIN_ESTIMATED);
        let (capacity, margin) = if self.settings.capacities_known {
            (record.info.capacity, COLD_BUDGET_MARGIN)
        } else {
            estimated
        };
        let current_share = cold.initial_share + (1.0 - cold.initial_share) * (age / cold.warm_up);
        let budget = cold.overload_factor * current_share * capacity * cold.overload_window.as_secs_f64()
            / gateways
            * margin;
        let since = now.saturating_sub(cold.overload_window);
        let used: f64 =
            record.cold_charges.iter().filter(|charge| charge.0 >= since).map(|charge| charge.1).sum();
        used + cost <= budget || used == 0.0 && !self.settings.capacities_known && capacity == 0.0
    }

    /// Listed as up and not ejected, or ejected with a probe due.
    fn usable(&self, now: Time, i: usize) -> bool {
        let record = &self.state.members[i];
        record.info.state == MemberState::Up && record.ejected_until.is_none_or(|at| at <= now)
    }

    /// Members of a role in the object's hash order: rendezvous hashing, weighted where capacities are known.
    pub(crate) fn hash_order(&self, role: Role, txn: &Txn, all_zones: bool) -> Vec<usize> {
        let all = &self.state.listed_by_role[role as usize];
        let listed = if role == Role::Edge && !all_zones { &self.state.zone_caches } else { all };
        let scored = |&i: &usize| {
            let record = &self.state.members[i];
            (
                -unit_interval(hash_triple(txn.object, txn.part, record.id_hash)).ln()
                    / record.relative_capacity(self.settings.capacities_known),
                i,
            )
        };
        let mut order: Vec<(f64, usize)> = listed.iter().map(scored).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.into_iter().map(|(_, i)| i).collect()
    }

    /// The object's fraction, 0 to 1: it uses the first parent in hash order whose weight exceeds it.
    pub(crate) fn object_fraction(&self, txn: &Txn) -> f64 {
        unit_interval(hash_triple(txn.object, txn.part, 0))
    }

    /// The parent to fill from, or the origin where no parent is usable.
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
        let origin_limited =
            open.parent_lacked && self.state.origin.is_some_and(|o| !self.within_limit(now, o, load, cost));
        if open.origin_failed || origin_limited {
            return None;
        }
        let fraction = self.object_fraction(&open.txn);
        let by_weight =
            order.iter().find(|&&i| self.state.members[i].weight_controller.weight / MAX_WEIGHT > fraction);
        let home = by_weight.or(order.last()).copied();
        // Compared over all parents together: a fill leaves its home parent by weight, not by chance.
        let (in_flight, allowed) = order
            .iter()
            .fold((0.0, 0.0), |(f, a), &i| (f + self.in_flight_share(now, i), a + self.allowed_in_flight(i)));
        let fits_overall = in_flight + load / gateway_count(&self.settings, Role::Parent)
            <= allowed * self.size_factor(cost);
        home.filter(|&i| fits_overall || self.within_limit(now, i, load, cost))
    }

    /// The first usable origin in hash order; those that this txn is to avoid come last.
    fn pick_origin(&self, now: Time, open: &OpenTxn) -> Option<usize> {
        let order =
            self.hash_order(Role::Origin, &open.txn, true).into_iter().filter(|&i| self.usable(now, i));
        order.min_by_key(|i| open.avoid.contains(i))
    }

    /// The first cache in hash order within the load bound, else the first one under its concurrency limit.
    fn pick_cache(&self, now: Time, open: &OpenTxn, cost: f64, load: f64) -> Option<usize> {
        let mut order = self.hash_order(Role::Edge, &open.txn, false);
        order.retain(|&i| {
            self.usable(now, i)
                && !open.avoid.contains(&i)
                && self.within_cold_budget(now, i, cost)
                && self.within_dedup_scope(open, now, i)
        });
        let capacity = |i: usize| self.state.members[i].relative_capacity(self.settings.capacities_known);
        let load_share = load / gateway_count(&self.settings, Role::Edge);
        let total_in_flight: f64 =
            order.iter().map(|&i| self.in_flight_share(now, i)).sum::<f64>() + load_share;
        let total_capacity: f64 = order.iter().map(|&i| capacity(i)).sum();
        // Each spill further down the order is a miss that fills one more cache and adds to a congestion of fills.
        order.truncate(MAX_CACHES_PER_OBJECT);
        let transfer_secs = self.transfer_secs(&open.txn);
        order.retain(|&i| self.within_limit(now, i, load, transfer_secs));
        let bound = |i: usize| {
            (LOAD_BOUND_FACTOR * total_in_flight * capacity(i) / total_capacity)
                .max(self.allowed_in_flight(i))
        };
        let fits = |i: usize| {
            self.in_flight_share(now, i) + load_share <= bound(i) || self.state.members[i].in_flight <= 0.0
        };
        order.iter().copied().find(|&i| fits(i)).or(order.first().copied())
    }

    /// A keyed txn that may have run stays with the caches that drop its repeat, within their dedup window.
    fn within_dedup_scope(&self, open: &OpenTxn, now: Time, i: usize) -> bool {
        let Some(first_sent_at) = first_attempt(open) else { return true };
        let rule = &self.settings.rules[open.txn.rule];
        match rule.effect {
            Effect::Repeatable => true,
            Effect::Unrepeatable => false,
            Effect::Keyed => {
                // Where an earlier gateway sent it is unknown here.
                let ran_elsewhere = open.txn.earlier_attempt != EarlierAttempt::None;
                let drops_earlier = !ran_elsewhere || rule.dedup_scope == DedupScope::All;
                let drops_own =
                    open.may_have_run.is_none_or(|first| self.drops_repeats_of(first, i, rule.dedup_scope));
                now - first_sent_at < rule.dedup_window && drops_earlier && drops_own
            }
        }
    }

    /// Whether member `i` drops the repeat of a keyed txn that may have run at `first`. An unknown zone or cell equals
    /// none, itself included: a remote gateway may send the repeat to another member of its site.
    fn drops_repeats_of(&self, first: Destination, i: usize, scope: DedupScope) -> bool {
        let info = &self.state.members[i].info;
        match scope {
            DedupScope::All => true,
            _ if first.member == i && !info.remote => true,
            DedupScope::Zone => first.zone.is_some() && first.zone == info.zone,
            DedupScope::Cell => first.cell.is_some() && first.cell == info.cell,
        }
    }

    /// The oldest acceptable copy for a txn's first hop; `None`: the remap rule's max age.
    pub(crate) fn max_age_for(&self, now: Time, txn: &Txn) -> Option<Span> {
        let rule = self.settings.rules.get(txn.rule)?;
        self.max_copy_age(now, txn, rule, self.origin_failing())
    }

    /// The oldest acceptable copy: younger than any purge of the object or its group, for as long as some member may
    /// have an older one. At least 1 us, since zero would mean no limit.
    fn max_copy_age(&self, now: Time, txn: &Txn, rule: &RemapRule, allow_stale: bool) -> Option<Span> {
        let purges = &self.state.purges;
        let hashes = (!purges.is_empty()).then(|| [object_hash(txn.object), group_hash(txn.group)]);
        let applies = |p: &&Purge| hashes.is_some_and(|hashes| hashes.iter().any(|&h| p.set.contains(h)));
        let purge_age = purges.iter().filter(applies).map(|p| now - p.valid_from).chain(txn.max_age).min();
        let expires = rule.max_age > Span::ZERO;
        let limit = if allow_stale && expires { rule.max_age + rule.max_stale } else { rule.max_age };
        let at_least_one_us = |s: Span| s.max(Span::from_micros(1));
        match purge_age {
            Some(age) if expires => Some(at_least_one_us(age.min(limit))),
            Some(age) => Some(at_least_one_us(age)),
            None => (limit > rule.max_age).then_some(limit),
        }
    }

    /// Decides on a txn without hops in flight: the next hop, or a final answer.
    fn decide(&mut self, now: Time, mut open: OpenTxn) -> Decision {
        let id = open.txn.id;
        let Some(rule) = self.settings.rules.get(open.txn.rule).cloned() else {
            return Decision::Abort { txn: id };
        };
        let (transfer_secs, sla) = (self.transfer_secs(&open.txn), self.sla(&open.txn, &rule));
        let has_retry_token = open.hop_count == 0 || self.retry_tokens >= 1.0;
        // Large txns that cannot be sent before the client gives up would take capacity for seconds and then time
        // out. Does harm where one cache is slow and the others are not.
        let predicted = Span::from_secs_f64(self.state.duration_model.predict(transfer_secs));
        let in_time = now + predicted < open.deadline && (open.hop_count > 0 || predicted < sla);
        let must_not_repeat = rule.effect == Effect::Unrepeatable && first_attempt(&open).is_some();
        let may_start = !must_not_repeat && open.txn.start_by.is_none_or(|by| now < by);
        let plan = (has_retry_token && in_time && may_start && open.hop_count < self.settings.max_hops)
            .then(|| self.plan_hop(now, &open, &rule))
            .flatten();
        let Some((member, source, fill)) = plan else { return self.give_up(&open, &rule) };
        self.retry_tokens -= indicator(open.hop_count > 0);
        let (load, hop_id, mean_transfer_secs) =
            (open.load(), (id, open.hop_count), self.state.rule_stats[open.txn.rule].mean_transfer_secs);
        let fill_load = if open.cache_lacked { load } else { load * self.miss_ratio };
        // A parent is charged the txn's own transfer time, a cache the mean of the rule.
        let bypasses_cache = self.state.members[member].role != Role::Edge;
        let cost = if bypasses_cache { transfer_secs } else { mean_transfer_secs };
        for (i, cost, load) in [(Some(member), cost, load), (source, transfer_secs, fill_load)] {
            let Some(i) = i else { continue };
            let record = &mut self.state.members[i];
            record.add_in_flight(now, load);
            if let Some(at) = &mut record.ejected_until {
                *at = now + self.settings.connect_timeout;
            }
            if record.info.started.is_some() {
                record.cold_charges.push_back((now, cost.max(0.001), hop_id));
                let window_start = now.saturating_sub(self.settings.cache_cold_start.overload_window);
                while record.cold_charges.front().is_some_and(|charge| charge.0 < window_start) {
                    record.cold_charges.pop_front();
                }
            }
        }
        let reaches_origin = source.is_some() && open.parent_lacked;
        if let Some(origin) = self.state.origin.filter(|_| reaches_origin) {
            self.state.members[origin].add_in_flight(now, load);
        }
        let overdue_at = now + sla * OVERDUE_SLA_FRACTION;
        // Over a link the round trip dominates the duration, which then says nothing of the transfer rate.
        let &Member { remote, zone, cell, .. } = &self.state.members[member].info;
        let (sent_at, cancelled, size_known) = (now, false, open.txn.size.is_some() && !remote);
        let hop = Hop {
            size_known,
            member,
            zone,
            cell,
            source,
            sent_at,
            overdue_at,
            sla,
            transfer_secs,
            load,
            fill_load,
            reaches_origin,
            cancelled,
        };
        self.state.hops.insert(hop_id, hop);
        open.hop_count += 1;
        open.hops_in_flight += 1;
        let (deadline, first_attempt) = (open.deadline, first_attempt(&open));
        let start_by = self.start_by(now, &open, &rule, member);
        self.state.open_txns.insert(id, open);
        let member = Arc::clone(&self.state.members[member].info.id);
        Decision::Hop { txn: id, member, fill, first_attempt, start_by, deadline }
    }

    /// The latest time at which a hop may be sent. One of a keyed txn may wait, e.g. for a connection, until members no
    /// longer recognise its repeat. A remote gateway may still hold a hop that was given up here and is repeated
    /// elsewhere, so the dedup window binds the first hop there too.
    fn start_by(&self, now: Time, open: &OpenTxn, rule: &RemapRule, member: usize) -> Time {
        let latest = open.txn.start_by.map_or(open.deadline, |by| by.min(open.deadline));
        if rule.effect != Effect::Keyed {
            return latest;
        }
        let is_remote = self.state.members[member].info.remote;
        let counted_from = first_attempt(open).or(is_remote.then_some(now));
        counted_from.map_or(latest, |first| latest.min(first + rule.dedup_window))
    }

    /// Picks the next hop: cache, fill source and how the copy is kept.
    fn plan_hop(&mut self, now: Time, open: &OpenTxn, rule: &RemapRule) -> Option<HopPlan> {
        let txn = &open.txn;
        let mean_transfer_secs = self.state.rule_stats[txn.rule].mean_transfer_secs;
        let is_write = txn.is_write || rule.is_write;
        if is_write && self.settings.bypass_allowed {
            let origin = self.pick_origin(now, open).filter(|&i| self.within_dedup_scope(open, now, i));
            return origin.map(|i| (i, None, None));
        }
        let source = if is_write { self.pick_origin(now, open) } else { self.fill_source(now, open) };
        let is_remote = |i: usize| self.state.members[i].info.remote;
        let member = self
            .pick_cache(now, open, mean_transfer_secs, open.load())
            .filter(|_| !source.is_some_and(is_remote));
        let Some(member) = member else {
            // No cache of the zone has capacity, or none can fill from a remote source: goes straight to the fill
            // source where that is allowed.
            let source = source.filter(|&i| {
                (self.settings.bypass_allowed || is_remote(i)) && self.within_dedup_scope(open, now, i)
            })?;
            if is_write {
                return Some((source, None, None));
            }
            let upstream = self.pick_origin(now, open).unwrap_or(source);
            return Some((source, None, Some(self.build_fill(now, open, rule, upstream, 0))));
        };
        let source = source.or_else(|| self.sibling_source(now, open, member));
        // No fill source has capacity: asks the cache once for the copy it has.
        if source.is_none() && (open.cache_lacked || open.origin_failed && rule.max_stale == Span::ZERO) {
            return None;
        }
        let source = source.unwrap_or(member);
        let fill = self.build_fill(now, open, rule, source, u8::from(!is_write));
        Some((member, (source != member).then_some(source), Some(fill)))
    }

    /// For when no parent has capacity for a fill: the first warm cache in the object's hash order, over the zones
    /// allowed, serves the copy it has. Covers lost or overloaded parents while copies exist elsewhere; adds load to
    /// siblings.
    fn sibling_source(&self, now: Time, open: &OpenTxn, member: usize) -> Option<usize> {
        if self.settings.sibling_fills == FillScope::Off
            || open.cache_lacked
            || open.origin_failed
            || open.txn.is_write
        {
            return None;
        }
        // Copies from other zones come over the zone's own link: not while that is full.
        let all_zones =
            self.settings.sibling_fills == FillScope::All && self.state.link_load < TARGET_LINK_LOAD;
        let order = self.hash_order(Role::Edge, &open.txn, all_zones);
        let (load, transfer_secs) = (open.load() * self.miss_ratio, self.transfer_secs(&open.txn));
        let fits = |&i: &usize| {
            i != member
                && self.usable(now, i)
                && is_warm(&self.settings, now, &self.state.members[i])
                && self.within_limit(now, i, load, transfer_secs)
        };
        order.into_iter().find(|i| fits(i) && !open.avoid.contains(i))
    }

    fn build_fill(&self, now: Time, open: &OpenTxn, rule: &RemapRule, source: usize, keep_rank: u8) -> Fill {
        let record = &self.state.members[source];
        Fill {
            source: Arc::clone(&record.info.id),
            keep_rank,
            coalesce: self.settings.coalescing,
            only_if_cached: record.role == Role::Edge
                || record.role == Role::Parent && self.origin_failing() && !open.parent_lacked,
            revalidate: is_warm(&self.settings, now, record) && rule.max_age > Span::ZERO,
            max_age: self.max_copy_age(now, &open.txn, rule, open.hop_count > 0 || self.origin_failing()),
        }
    }

    /// No further hop: answers at once, with a rejection where a repeat by the client is harmless. A gateway that sent
    /// the txn here knows of its own earlier attempts: only hops of this gateway count.
    fn give_up(&mut self, open: &OpenTxn, rule: &RemapRule) -> Decision {
        let txn = open.txn.id;
        let repeat_is_safe = open.may_have_run.is_none()
            || rule.effect == Effect::Repeatable
            || rule.effect == Effect::Keyed && rule.dedup_scope == DedupScope::All;
        if !repeat_is_safe {
            return Decision::Abort { txn };
        }
        // Early enough that the retry can still meet the SLA time, spread so that retries don't come all at once.
        let wait = rule.sla * self.rng.random_range(RETRY_AFTER_SLA_FRACTION);
        let retry_after = self.settings.retry_after_allowed.then(|| wait.min(self.settings.max_retry_after));
        Decision::Reject { txn, retry_after }
    }
}
