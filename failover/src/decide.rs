//! The replicated decision of a region: takes the gateways' reports and produces a share table at each step, with a
//! reason for each change.
//!
//! Invariants: the same reports in the same order give the same tables on every replica; no clock is read; one
//! gateway's report never counts for more than its bounded weight; no share moves by more than one step at a time.

use crate::evidence::{Estimate, Evidence, estimate};
use crate::health::Health;
use crate::plan::{Load, PlanInput, Target, Zone, step, target};
use crate::settings::{Failover, Steps};
use crate::table::{Flow, Table};
use kelpcart::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Upper bound of the gateways whose reports are kept.
const MAX_GATEWAYS: usize = 1_024;
/// A report is used for this long.
const REPORT_TTL: Span = Span::from_millis(3_000);
/// Evidence that is too little for an estimate accumulates for at most this long.
const EVIDENCE_WINDOW: Span = Span::from_millis(10_000);
/// Upper bound of the reasons that are kept; the oldest are dropped first.
const MAX_REASONS: usize = 256;
/// A healthy zone at this utilization of its observed capacity may have more, which is probed.
const PROBE_UTILIZATION: f64 = 0.9;
/// Relative step by which the observed capacity is raised when probing.
const CAPACITY_PROBE_STEP: f64 = 0.02;
/// Below this utilization of the observed capacity, an unhealthy zone is not considered overloaded.
const MIN_OVERLOAD_UTILIZATION: f64 = 0.5;
/// The observed capacity decays by this fraction per step.
const CAPACITY_DECAY: f64 = 0.0005;
/// Moves of a smaller share of a zone's txns are not recorded as a reason.
const MIN_REPORTED_MOVE: f64 = 0.01;

/// The measurements of one gateway over its last window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Its hops by destination zone.
    pub hops: BTreeMap<usize, Evidence>,
    /// The load offered by its clients.
    pub loads: Vec<Load>,
    /// Hops per second by destination zone.
    pub rates: BTreeMap<usize, f64>,
}

/// An operator's override for a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ManualOverride {
    /// Ramps the usable share down to zero over the span.
    Drain { since: Time, over: Span },
    /// Sets the usable share to zero from the next step on.
    Forbid,
    /// Fixes the usable share whatever the evidence.
    Pin(f64),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Reason {
    pub at: Time,
    pub version: u64,
    pub zone: usize,
    pub change: Change,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Hops into the zone go wrong; the usable share was lowered.
    Degraded {
        bad_share: f64,
        usable_share: f64,
    },
    /// The zone is healthy again; the usable share was raised.
    Recovering {
        usable_share: f64,
    },
    Override(ManualOverride),
    /// The share of the zone's own txns, of all classes, that leaves it, and the share before.
    ShareAway {
        share: f64,
        before: f64,
    },
    /// Txns per second of its own that no zone has capacity for.
    Unplaced(f64),
}

#[derive(Clone, Debug)]
pub struct Decider {
    by_distance: Vec<Vec<usize>>,
    settings: Failover,
    health: Vec<Health>,
    /// Txns per second that each zone was observed to serve.
    observed_capacity: Vec<f64>,
    overrides: BTreeMap<usize, ManualOverride>,
    reports: BTreeMap<u64, (Time, Report)>,
    /// By zone: evidence per gateway since the last estimate, and the start of that period.
    evidence: Vec<(Time, BTreeMap<u64, Evidence>)>,
    table: Table,
    next_step: Time,
    reasons: VecDeque<Reason>,
    unplaced: BTreeMap<usize, f64>,
}

impl Decider {
    /// `capacity_per_s`: the assumed capacity of each zone before anything is observed.
    pub fn new(settings: &Failover, capacity_per_s: &[f64], epoch: u64, now: Time) -> Decider {
        let zones = settings.zones.len();
        Decider {
            by_distance: settings.zones_by_distance(),
            settings: settings.clone(),
            health: vec![Health::new(now); zones],
            observed_capacity: (0..zones)
                .map(|z| capacity_per_s.get(z).copied().unwrap_or(0.0).max(0.0))
                .collect(),
            overrides: BTreeMap::new(),
            reports: BTreeMap::new(),
            evidence: vec![(now, BTreeMap::new()); zones],
            table: Table::all_local(epoch, 0),
            next_step: now,
            reasons: VecDeque::new(),
            unplaced: BTreeMap::new(),
        }
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    pub fn reasons(&self) -> impl Iterator<Item = &Reason> {
        self.reasons.iter()
    }

    /// The usable share of a zone by its health and the operator's override.
    pub fn usable_share(&self, now: Time, zone: usize) -> f64 {
        let healthy = self.health.get(zone).map_or(0.0, |h| h.usable_share);
        match self.overrides.get(&zone) {
            None => healthy,
            Some(ManualOverride::Forbid) => 0.0,
            Some(ManualOverride::Pin(share)) => share.clamp(0.0, 1.0),
            Some(ManualOverride::Drain { since, over }) => {
                let remaining = 1.0 - ((now - *since) / *over).min(1.0);
                healthy.min(remaining)
            }
        }
    }

    pub fn observed_capacity(&self, zone: usize) -> f64 {
        self.observed_capacity.get(zone).copied().unwrap_or(0.0)
    }

    // Inputs.

    pub fn report(&mut self, now: Time, gateway: u64, report: Report) {
        if self.reports.len() >= MAX_GATEWAYS && !self.reports.contains_key(&gateway) {
            let oldest = self.reports.iter().min_by_key(|(_, r)| r.0).map(|(g, _)| *g);
            oldest.into_iter().for_each(|g| _ = self.reports.remove(&g));
        }
        for (&zone, evidence) in &report.hops {
            let is_valid = evidence.hops.is_finite() && evidence.bad.is_finite();
            if let Some((_, all)) = self.evidence.get_mut(zone).filter(|_| is_valid)
                && (all.len() < MAX_GATEWAYS || all.contains_key(&gateway))
            {
                let sum = all.entry(gateway).or_default();
                (sum.hops, sum.bad) = (sum.hops + evidence.hops, sum.bad + evidence.bad);
            }
        }
        self.reports.insert(gateway, (now, report));
    }

    /// Sets or clears an override. With `None` the evidence counts again, and the share returns by steps.
    pub fn set_override(&mut self, now: Time, zone: usize, manual: Option<ManualOverride>) {
        if zone >= self.health.len() {
            return;
        }
        match manual {
            Some(manual) => {
                self.overrides.insert(zone, manual);
                self.push_reason(now, zone, Change::Override(manual));
            }
            None if self.overrides.remove(&zone).is_some() => {
                // Its caches had no txns meanwhile, so the zone returns as a cold one.
                self.health[zone].mark_cold(now, &self.settings.steps);
            }
            None => {}
        }
    }

    /// A zone has returned with cold caches.
    pub fn mark_cold(&mut self, now: Time, zone: usize) {
        if let Some(health) = self.health.get_mut(zone) {
            health.mark_cold(now, &self.settings.steps);
        }
    }

    // Time.

    pub fn next_wake(&self) -> Time {
        self.next_step
    }

    /// Computes the next table if a step is due.
    pub fn tick(&mut self, now: Time) -> Option<&Table> {
        if now < self.next_step {
            return None;
        }
        self.next_step = now + Span::from_millis(self.settings.steps.every_ms);
        self.reports.retain(|_, (at, _)| now - *at < REPORT_TTL);
        let steps = self.settings.steps.clone();
        (0..self.health.len()).for_each(|zone| self.evaluate_zone(now, zone, &steps));
        let loads = self.loads();
        let zones: Vec<Zone> = (0..self.health.len())
            .map(|z| Zone {
                capacity_per_s: self.observed_capacity[z],
                usable_share: self.usable_share(now, z),
            })
            .collect();
        let input = PlanInput {
            loads: &loads,
            zones: &zones,
            by_distance: &self.by_distance,
            crossing: &self.settings.crossing,
            steps: &steps,
        };
        let target = target(&input, self.table.epoch, self.table.version);
        let next = step(&self.table, &target.table, &input);
        self.record_changes(now, &next, &target, &loads);
        self.table = next;
        Some(&self.table)
    }

    /// The state after one step with the override, without changing this one.
    pub fn dry_run(&self, now: Time, zone: usize, manual: Option<ManualOverride>) -> Decider {
        let mut other = self.clone();
        other.reasons.clear();
        other.set_override(now, zone, manual);
        other.next_step = now;
        other.tick(now);
        other
    }

    fn evaluate_zone(&mut self, now: Time, zone: usize, steps: &Steps) {
        // A zone with little traffic yields little evidence: it accumulates until it suffices for an estimate or is
        // too old.
        let (since, evidence) = &mut self.evidence[zone];
        let estimated: Option<Estimate> = estimate(evidence);
        if estimated.is_some() || now - *since >= EVIDENCE_WINDOW {
            evidence.clear();
            *since = now;
        }
        let rate: f64 =
            self.reports.values().filter_map(|(_, r)| r.rates.get(&zone)).filter(|r| r.is_finite()).sum();
        let before = self.health[zone].usable_share;
        self.health[zone].step(now, estimated, steps);
        let after = self.health[zone].usable_share;
        self.update_capacity(zone, estimated, rate);
        if after < before {
            let bad_share = estimated.map_or(0.0, |s| s.bad_share);
            self.push_reason(now, zone, Change::Degraded { bad_share, usable_share: after });
        } else if after > before {
            self.push_reason(now, zone, Change::Recovering { usable_share: after });
        }
    }

    /// Updates the observed capacity of a zone from the rate that it serves well. The capacity is probed upwards while
    /// it is nearly used up and some load is unplaced.
    fn update_capacity(&mut self, zone: usize, estimate: Option<Estimate>, rate: f64) {
        let Some(estimate) = estimate else { return };
        let some_unplaced = self.unplaced.values().any(|n| *n > 0.0);
        let capacity = &mut self.observed_capacity[zone];
        let served = rate * (1.0 - estimate.bad_share);
        if Health::is_normal(estimate.bad_share) {
            *capacity *= 1.0 - CAPACITY_DECAY;
            let probe = some_unplaced && rate >= *capacity * (PROBE_UTILIZATION - CAPACITY_PROBE_STEP);
            *capacity = rate.max(if probe { *capacity * (1.0 + CAPACITY_PROBE_STEP) } else { *capacity });
        } else if !Health::is_unusable(estimate.bad_share) && rate >= *capacity * MIN_OVERLOAD_UTILIZATION {
            // In a brown-out the failures follow the load, so the load exceeded the capacity. A dark zone says
            // nothing about its capacity.
            *capacity = capacity.min(served.max(*capacity * (1.0 - 2.0 * CAPACITY_PROBE_STEP)));
        }
    }

    fn loads(&self) -> Vec<Load> {
        let mut all: BTreeMap<Flow, (f64, f64)> = BTreeMap::new();
        for load in self.reports.values().flat_map(|(_, r)| &r.loads) {
            let is_valid =
                load.per_s.is_finite() && load.per_s > 0.0 && load.kb.is_finite() && load.kb >= 0.0;
            if is_valid && load.from.0 < self.health.len() {
                let sum = all.entry(load.from).or_default();
                sum.0 += load.per_s;
                sum.1 += load.per_s * load.kb;
            }
        }
        all.into_iter().map(|(from, (per_s, kb))| Load { from, per_s, kb: kb / per_s }).collect()
    }

    fn record_changes(&mut self, now: Time, next: &Table, target: &Target, loads: &[Load]) {
        let away_share = |table: &Table, zone: usize| {
            let own = loads.iter().filter(|l| l.from.0 == zone);
            let (all, away) = own.fold((0.0, 0.0), |(all, away), l| {
                (all + l.per_s, away + l.per_s * table.away_share(l.from))
            });
            if all > 0.0 { away / all } else { 0.0 }
        };
        for zone in 0..self.health.len() {
            let (share, before) = (away_share(next, zone), away_share(&self.table, zone));
            if (share - before).abs() >= MIN_REPORTED_MOVE {
                self.push_reason(now, zone, Change::ShareAway { share, before });
            }
            let unplaced: f64 = target.unplaced.iter().filter(|u| u.0.0 == zone).map(|u| u.1).sum();
            let previous = self.unplaced.insert(zone, unplaced).unwrap_or(0.0);
            if (unplaced > 0.0) != (previous > 0.0) {
                self.push_reason(now, zone, Change::Unplaced(unplaced));
            }
        }
    }

    fn push_reason(&mut self, at: Time, zone: usize, change: Change) {
        if self.reasons.len() >= MAX_REASONS {
            self.reasons.pop_front();
        }
        self.reasons.push_back(Reason { at, version: self.table.version + 1, zone, change });
    }
}
