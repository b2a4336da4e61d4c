//! The decision for a region, step after step: reports of gateways in, a table out, with the reason for each move. One
//! value that the deciding group's members carry alike: the same reports in the same order give the same tables. Must
//! never read a clock, nor let one gateway's report stand for more than its weight, nor move more than a step.

use crate::evidence::{Estimate, Evidence, estimate};
use crate::health::Health;
use crate::plan::{Load, PlanInput, Target, Zone, step, target};
use crate::settings::{Failover, Steps};
use crate::table::{Flow, Table};
use kelpcart::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Gateways whose reports are kept, and how long one says something.
const MAX_GATEWAYS: usize = 1_024;
const REPORT_TTL: Span = Span::from_millis(3_000);
/// Accounts that say nothing together are kept this long.
const EVIDENCE_WINDOW: Span = Span::from_millis(10_000);
/// Reasons that are remembered.
const MAX_REASONS: usize = 256;
/// A zone that is used this much of what it has shown, and well, may bear so much more.
const PROBE_UTILIZATION: f64 = 0.9;
const CAPACITY_PROBE_STEP: f64 = 0.02;
/// A zone that is ill while less than this of what it has shown is used is not ill for its load.
const MIN_OVERLOAD_UTILIZATION: f64 = 0.5;
/// What a zone has shown is forgotten by this part a step.
const CAPACITY_DECAY: f64 = 0.0005;
/// Moves below this part of a zone's txns are not worth a reason.
const MIN_REPORTED_MOVE: f64 = 0.01;

/// What one gateway saw over its last window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Its hops by the zone that they went to.
    pub hops: BTreeMap<usize, Evidence>,
    /// What its clients asked for, a second.
    pub loads: Vec<Load>,
    /// Hops a second by zone.
    pub rates: BTreeMap<usize, f64>,
}

/// An operator's word on a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ManualOverride {
    /// Nothing goes there any more, by and by over the span.
    Drain { since: Time, over: Span },
    /// Nothing goes there from the next step on.
    Forbid,
    /// It is used by this part whatever is seen.
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
    /// Hops into it go wrong by this part; it is used by that.
    Degraded {
        bad_share: f64,
        usable_share: f64,
    },
    Recovering {
        usable_share: f64,
    },
    Override(ManualOverride),
    /// This part of its own txns of all kinds leaves it, where before it was that.
    ShareAway {
        part: f64,
        before: f64,
    },
    /// Txns a second of its own that no zone has room for.
    Unplaced(f64),
}

#[derive(Clone, Debug)]
pub struct Decider {
    by_distance: Vec<Vec<usize>>,
    settings: Failover,
    health: Vec<Health>,
    /// Txns a second that each zone has shown to bear.
    observed_capacity: Vec<f64>,
    overrides: BTreeMap<usize, ManualOverride>,
    reports: BTreeMap<u64, (Time, Report)>,
    /// Accounts by zone and gateway since the last time that they were enough to say something, and since when.
    evidence: Vec<(Time, BTreeMap<u64, Evidence>)>,
    table: Table,
    next_step: Time,
    reasons: VecDeque<Reason>,
    unplaced: BTreeMap<usize, f64>,
}

impl Decider {
    /// `bears`: what each zone is held to bear before it has shown anything.
    pub fn new(file: &Failover, bears: &[f64], epoch: u64, now: Time) -> Decider {
        let zones = file.zones.len();
        Decider {
            by_distance: file.zones_by_distance(),
            settings: file.clone(),
            health: vec![Health::new(now); zones],
            observed_capacity: (0..zones).map(|z| bears.get(z).copied().unwrap_or(0.0).max(0.0)).collect(),
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

    /// How much of a zone is used: by what is seen, and by the operators' hand.
    pub fn usable_share(&self, now: Time, zone: usize) -> f64 {
        let seen = self.health.get(zone).map_or(0.0, |h| h.usable_share);
        match self.overrides.get(&zone) {
            None => seen,
            Some(ManualOverride::Forbid) => 0.0,
            Some(ManualOverride::Pin(part)) => part.clamp(0.0, 1.0),
            Some(ManualOverride::Drain { since, over }) => {
                let left = 1.0 - ((now - *since) / *over).min(1.0);
                seen.min(left)
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
        for (&zone, account) in &report.hops {
            let sound = account.hops.is_finite() && account.bad.is_finite();
            if let Some((_, all)) = self.evidence.get_mut(zone).filter(|_| sound)
                && (all.len() < MAX_GATEWAYS || all.contains_key(&gateway))
            {
                let sum = all.entry(gateway).or_default();
                (sum.hops, sum.bad) = (sum.hops + account.hops, sum.bad + account.bad);
            }
        }
        self.reports.insert(gateway, (now, report));
    }

    /// `None`: what is seen counts again; it returns by steps.
    pub fn set_override(&mut self, now: Time, zone: usize, hand: Option<ManualOverride>) {
        if zone >= self.health.len() {
            return;
        }
        match hand {
            Some(hand) => {
                self.overrides.insert(zone, hand);
                self.push_reason(now, zone, Change::Override(hand));
            }
            None if self.overrides.remove(&zone).is_some() => {
                // Its caches have been without txns: it returns as one that is cold.
                self.health[zone].mark_cold(now, &self.settings.steps);
            }
            None => {}
        }
    }

    /// A zone has come back with nothing.
    pub fn mark_cold(&mut self, now: Time, zone: usize) {
        if let Some(health) = self.health.get_mut(zone) {
            health.mark_cold(now, &self.settings.steps);
        }
    }

    // Time.

    pub fn next_wake(&self) -> Time {
        self.next_step
    }

    /// The next table, once its time has come.
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
        let view = PlanInput {
            loads: &loads,
            zones: &zones,
            by_distance: &self.by_distance,
            crossing: &self.settings.crossing,
            steps: &steps,
        };
        let wanted = target(&view, self.table.epoch, self.table.version);
        let next = step(&self.table, &wanted.table, &view);
        self.record_changes(now, &next, &wanted, &loads);
        self.table = next;
        Some(&self.table)
    }

    /// What a step would do, without doing it.
    pub fn dry_run(&self, now: Time, zone: usize, hand: Option<ManualOverride>) -> Decider {
        let mut other = self.clone();
        other.reasons.clear();
        other.set_override(now, zone, hand);
        other.next_step = now;
        other.tick(now);
        other
    }

    fn evaluate_zone(&mut self, now: Time, zone: usize, steps: &Steps) {
        // A zone that gets little says little: its accounts add up until they say something, or are too old.
        let (since, accounts) = &mut self.evidence[zone];
        let seen: Option<Estimate> = estimate(accounts);
        if seen.is_some() || now - *since >= EVIDENCE_WINDOW {
            accounts.clear();
            *since = now;
        }
        let rate: f64 =
            self.reports.values().filter_map(|(_, r)| r.rates.get(&zone)).filter(|r| r.is_finite()).sum();
        let before = self.health[zone].usable_share;
        self.health[zone].step(now, seen, steps);
        let after = self.health[zone].usable_share;
        self.update_capacity(zone, seen, rate);
        if after < before {
            let bad = seen.map_or(0.0, |s| s.bad_share);
            self.push_reason(now, zone, Change::Degraded { bad_share: bad, usable_share: after });
        } else if after > before {
            self.push_reason(now, zone, Change::Recovering { usable_share: after });
        }
    }

    /// What a zone bears is what it was seen to serve well, and a little more where all of that is used and somebody
    /// finds no room.
    fn update_capacity(&mut self, zone: usize, seen: Option<Estimate>, rate: f64) {
        let Some(seen) = seen else { return };
        let wanted = self.unplaced.values().any(|n| *n > 0.0);
        let shown = &mut self.observed_capacity[zone];
        let well = rate * (1.0 - seen.bad_share);
        if Health::is_normal(seen.bad_share) {
            *shown *= 1.0 - CAPACITY_DECAY;
            let probes = wanted && rate >= *shown * (PROBE_UTILIZATION - CAPACITY_PROBE_STEP);
            *shown = rate.max(if probes { *shown * (1.0 + CAPACITY_PROBE_STEP) } else { *shown });
        } else if !Health::is_unusable(seen.bad_share) && rate >= *shown * MIN_OVERLOAD_UTILIZATION {
            // A brown-out follows its load: what went wrong was too much. What is dark says nothing of what it bears.
            *shown = shown.min(well.max(*shown * (1.0 - 2.0 * CAPACITY_PROBE_STEP)));
        }
    }

    fn loads(&self) -> Vec<Load> {
        let mut all: BTreeMap<Flow, (f64, f64)> = BTreeMap::new();
        for load in self.reports.values().flat_map(|(_, r)| &r.loads) {
            let sound = load.per_s.is_finite() && load.per_s > 0.0 && load.kb.is_finite() && load.kb >= 0.0;
            if sound && load.from.0 < self.health.len() {
                let sum = all.entry(load.from).or_default();
                sum.0 += load.per_s;
                sum.1 += load.per_s * load.kb;
            }
        }
        all.into_iter().map(|(from, (per_s, kb))| Load { from, per_s, kb: kb / per_s }).collect()
    }

    fn record_changes(&mut self, now: Time, next: &Table, wanted: &Target, loads: &[Load]) {
        let leaves = |table: &Table, zone: usize| {
            let own = loads.iter().filter(|l| l.from.0 == zone);
            let (all, away) = own.fold((0.0, 0.0), |(all, away), l| {
                (all + l.per_s, away + l.per_s * table.away_share(l.from))
            });
            if all > 0.0 { away / all } else { 0.0 }
        };
        for zone in 0..self.health.len() {
            let (part, before) = (leaves(next, zone), leaves(&self.table, zone));
            if (part - before).abs() >= MIN_REPORTED_MOVE {
                self.push_reason(now, zone, Change::ShareAway { part, before });
            }
            let unplaced: f64 = wanted.unplaced.iter().filter(|u| u.0.0 == zone).map(|u| u.1).sum();
            let known = self.unplaced.insert(zone, unplaced).unwrap_or(0.0);
            if (unplaced > 0.0) != (known > 0.0) {
                self.push_reason(now, zone, Change::Unplaced(unplaced));
            }
        }
    }

    fn push_reason(&mut self, at: Time, zone: usize, what: Change) {
        if self.reasons.len() >= MAX_REASONS {
            self.reasons.pop_front();
        }
        self.reasons.push_back(Reason { at, version: self.table.version + 1, zone, change: what });
    }
}
