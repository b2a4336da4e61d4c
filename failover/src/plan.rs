//! Plans the shares of all zones at once. Load that a zone's own members can serve stays; the excess spills over to zones
//! with spare capacity, nearest first, within the cross-zone limits. A table moves towards the target by capped steps.
//!
//! Invariants: a zone is never sent more than its observed capacity; zones never forward to each other in a ring,
//! because a zone that sends load away receives none.

use crate::settings::{Crossing, Steps};
use crate::table::{Flow, Table};
use std::collections::{BTreeMap, BTreeSet};

/// The importance that may use the reserve of the cross-zone bandwidth.
const TOP_IMPORTANCE: u8 = 9;
/// Smaller rates and shares are treated as zero.
const EPSILON: f64 = 1e-9;

/// The offered load of a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    pub from: Flow,
    /// Txns per second.
    pub per_s: f64,
    /// KB that one txn transfers when it is sent to another zone.
    pub kb: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Zone {
    /// Txns per second that its members were observed to serve; for cold members what their budgets allow.
    pub capacity_per_s: f64,
    /// 0 to 1, by its health and the operator's override.
    pub usable_share: f64,
}

pub struct PlanInput<'a> {
    pub loads: &'a [Load],
    pub zones: &'a [Zone],
    /// For each zone the other zones, nearest first.
    pub by_distance: &'a [Vec<usize>],
    pub crossing: &'a Crossing,
    pub steps: &'a Steps,
}

/// Why a load could not be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnplacedReason {
    NoCapacity,
    NoBandwidth,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub table: Table,
    /// Txns per second that no zone can serve; they are rejected in their own zone.
    pub unplaced: Vec<(Flow, f64, UnplacedReason)>,
}

fn usable_capacity(input: &PlanInput, zone: usize) -> f64 {
    let z = &input.zones[zone];
    (z.capacity_per_s * z.usable_share * input.steps.head_room).max(0.0)
}

/// The order in which a zone's own txns claim its capacity: higher importance first, then writes, then those with more
/// bytes to move.
fn retention_order(a: &Load, b: &Load) -> std::cmp::Ordering {
    let rank = |l: &Load| (std::cmp::Reverse(l.from.1.importance), !l.from.1.write);
    rank(a).cmp(&rank(b)).then(b.kb.total_cmp(&a.kb))
}

/// Computes the target shares from the loads and capacities of all zones together.
pub fn target(input: &PlanInput, epoch: u64, version: u64) -> Target {
    let mut spare: Vec<f64> = (0..input.zones.len()).map(|z| usable_capacity(input, z)).collect();
    let mut loads: Vec<Load> = input.loads.iter().copied().filter(|l| l.per_s > EPSILON).collect();
    loads.sort_by(retention_order);
    let mut excess: Vec<(Load, f64)> = Vec::new();
    for load in &loads {
        let stays = load.per_s.min(spare[load.from.0]);
        spare[load.from.0] -= stays;
        if load.per_s - stays > EPSILON {
            excess.push((*load, load.per_s - stays));
        }
    }
    let senders: BTreeSet<usize> = excess.iter().map(|(l, _)| l.from.0).collect();
    // Higher importance is placed first; at equal importance reads before writes, and fewer bytes before more.
    excess.sort_by(|(a, _), (b, _)| {
        let rank = |l: &Load| (std::cmp::Reverse(l.from.1.importance), l.from.1.write);
        rank(a).cmp(&rank(b)).then(a.kb.total_cmp(&b.kb)).then(a.from.cmp(&b.from))
    });
    let mut crossed = vec![0.0; input.zones.len()];
    let mut shares: BTreeMap<Flow, Vec<(usize, f64)>> = BTreeMap::new();
    let mut unplaced = Vec::new();
    for (load, mut rest) in excess {
        let from = load.from;
        let mut reason = UnplacedReason::NoCapacity;
        for &to in &input.by_distance[from.0] {
            if rest <= EPSILON || senders.contains(&to) {
                continue;
            }
            let allowance = crossing_allowance(input.crossing, &load, crossed[from.0]);
            if allowance < rest.min(spare[to]) {
                reason = UnplacedReason::NoBandwidth;
            }
            let placed = rest.min(spare[to]).min(allowance);
            if placed > EPSILON {
                spare[to] -= placed;
                crossed[from.0] += placed * load.kb;
                rest -= placed;
                shares.entry(from).or_default().push((to, placed / load.per_s));
            }
        }
        if rest > EPSILON {
            unplaced.push((from, rest, reason));
        }
    }
    let mut table = Table::all_local(epoch, version);
    shares.into_iter().for_each(|(from, shares)| table.set(from, shares));
    Target { table, unplaced }
}

/// Txns per second of this load that the remaining cross-zone bandwidth allows.
fn crossing_allowance(crossing: &Crossing, load: &Load, crossed: f64) -> f64 {
    let Some(total) = crossing.kb_per_s else { return f64::INFINITY };
    let share = if load.from.1.importance >= TOP_IMPORTANCE { 1.0 } else { 1.0 - crossing.reserve };
    if load.kb <= 0.0 { f64::INFINITY } else { ((total * share - crossed) / load.kb).max(0.0) }
}

/// The next table on the way from the current one to the target: shares move away by at most `away` and back by at most
/// `back` per step.
pub fn step(current: &Table, target: &Table, input: &PlanInput) -> Table {
    let mut next = Table::all_local(target.epoch, current.version + 1);
    let flows: BTreeSet<Flow> = current.flows().chain(target.flows()).collect();
    let senders: BTreeSet<usize> = target.flows().map(|f| f.0).collect();
    let mut rises: Vec<(Flow, usize, f64)> = Vec::new();
    let mut all: BTreeMap<Flow, BTreeMap<usize, f64>> = BTreeMap::new();
    for &from in &flows {
        let to: BTreeSet<usize> = current
            .remote_shares()
            .chain(target.remote_shares())
            .filter(|l| l.0 == from)
            .map(|l| l.1)
            .collect();
        let (mut rise_budget, mut fall_budget) = (input.steps.away, input.steps.away);
        for &to in &to {
            let (now, wanted) = (current.share(from, to), target.share(from, to));
            // Shares leave a zone that is unhealthy or sends load itself at the `away` rate; they leave a healthy one at
            // the slower `back` rate.
            let fast = senders.contains(&to) || input.zones[to].usable_share < 1.0;
            let max_fall = if fast { fall_budget } else { fall_budget.min(input.steps.back) };
            let kept = now.min(wanted).max(now - max_fall).max(0.0);
            fall_budget -= now - kept;
            if kept > EPSILON {
                all.entry(from).or_default().insert(to, kept);
            }
            if wanted > now {
                let delta = (wanted - now).min(rise_budget);
                rise_budget -= delta;
                rises.push((from, to, delta));
            }
        }
    }
    let per_s: BTreeMap<Flow, f64> = input.loads.iter().map(|l| (l.from, l.per_s)).collect();
    let load = |from: &Flow| per_s.get(from).copied().unwrap_or(0.0);
    // The load of each zone: what stays of its own, plus what it still receives. A rise may only fill the remainder.
    let mut load_of = vec![0.0; input.zones.len()];
    for (from, per_s) in &per_s {
        let away: f64 = all.get(from).map_or(0.0, |shares| shares.values().sum());
        load_of[from.0] += per_s * (1.0 - away);
    }
    for (from, shares) in &all {
        shares.iter().for_each(|(to, share)| load_of[*to] += load(from) * share);
    }
    let receivers = |all: &BTreeMap<Flow, BTreeMap<usize, f64>>| -> BTreeSet<usize> {
        all.values().flat_map(|shares| shares.keys().copied()).collect()
    };
    let mut receiving = receivers(&all);
    let mut sending: BTreeSet<usize> = all.keys().map(|f| f.0).collect();
    for (from, to, delta) in rises {
        // Not even a transient ring: a zone that receives does not send, and a zone that sends does not receive.
        if receiving.contains(&from.0) || sending.contains(&to) {
            continue;
        }
        let max_delta = (usable_capacity(input, to) - load_of[to]).max(0.0) / load(&from).max(EPSILON);
        let delta = delta.min(max_delta);
        if delta > EPSILON {
            *all.entry(from).or_default().entry(to).or_default() += delta;
            load_of[to] += delta * load(&from);
            load_of[from.0] -= delta * load(&from);
            receiving.insert(to);
            sending.insert(from.0);
        }
    }
    all.into_iter().for_each(|(from, shares)| next.set(from, shares));
    next
}

/// Zones that both send and receive load; empty for every table that is planned here.
pub fn relay_zones(table: &Table) -> BTreeSet<usize> {
    let senders: BTreeSet<usize> = table.remote_shares().map(|l| l.0.0).collect();
    table.remote_shares().map(|l| l.1).filter(|to| senders.contains(to)).collect()
}
