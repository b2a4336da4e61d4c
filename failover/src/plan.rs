//! The shares for all zones at once: what each zone's own members can serve stays, what they can't goes where there is
//! room, the nearest first, within what may cross; and how a table moves there by capped steps. Must never send into a
//! zone more than it has shown to bear, nor let zones hand on to each other in a ring: a zone that sends gets nothing.

use crate::settings::{Crossing, Steps};
use crate::table::{Flow, Table};
use std::collections::{BTreeMap, BTreeSet};

/// The kind that may use what is reserved of crossing bytes.
const TOP_IMPORTANCE: u8 = 9;
/// Less than this part of a zone's txns is nothing.
const EPSILON: f64 = 1e-9;

/// What a zone's clients ask for, of a kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    pub from: Flow,
    pub per_s: f64,
    /// Of one txn that crosses.
    pub kb: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Zone {
    /// Txns a second that its members have shown to bear; for cold ones what their budgets allow.
    pub capacity_per_s: f64,
    /// Its health, 0 to 1.
    pub usable_share: f64,
}

pub struct PlanInput<'a> {
    pub loads: &'a [Load],
    pub zones: &'a [Zone],
    /// For each zone the others, the nearest first.
    pub by_distance: &'a [Vec<usize>],
    pub crossing: &'a Crossing,
    pub steps: &'a Steps,
}

/// Why a part of a zone's txns has no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnplacedReason {
    NoCapacity,
    NoBandwidth,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub table: Table,
    /// What no zone can serve, a second: rejected where it is asked.
    pub unplaced: Vec<(Flow, f64, UnplacedReason)>,
}

fn usable_capacity(view: &PlanInput, zone: usize) -> f64 {
    let z = &view.zones[zone];
    (z.capacity_per_s * z.usable_share * view.steps.head_room).max(0.0)
}

/// The order in which a zone's own txns keep their places: what matters more first, then writes, then what is dear to
/// move.
fn retention_order(a: &Load, b: &Load) -> std::cmp::Ordering {
    let rank = |l: &Load| (std::cmp::Reverse(l.from.1.importance), !l.from.1.write);
    rank(a).cmp(&rank(b)).then(b.kb.total_cmp(&a.kb))
}

/// Shares as they are wanted, worked out from the loads and rooms of all zones together.
pub fn target(view: &PlanInput, epoch: u64, version: u64) -> Target {
    let mut left: Vec<f64> = (0..view.zones.len()).map(|z| usable_capacity(view, z)).collect();
    let mut loads: Vec<Load> = view.loads.iter().copied().filter(|l| l.per_s > EPSILON).collect();
    loads.sort_by(retention_order);
    let mut over: Vec<(Load, f64)> = Vec::new();
    for load in &loads {
        let stays = load.per_s.min(left[load.from.0]);
        left[load.from.0] -= stays;
        if load.per_s - stays > EPSILON {
            over.push((*load, load.per_s - stays));
        }
    }
    let sends: BTreeSet<usize> = over.iter().map(|(l, _)| l.from.0).collect();
    // What matters more finds a place first; of what matters alike reads before writes, cheap before dear.
    over.sort_by(|(a, _), (b, _)| {
        let rank = |l: &Load| (std::cmp::Reverse(l.from.1.importance), l.from.1.write);
        rank(a).cmp(&rank(b)).then(a.kb.total_cmp(&b.kb)).then(a.from.cmp(&b.from))
    });
    let mut crossed = vec![0.0; view.zones.len()];
    let mut parts: BTreeMap<Flow, Vec<(usize, f64)>> = BTreeMap::new();
    let mut unplaced = Vec::new();
    for (load, mut rest) in over {
        let from = load.from;
        let mut why = UnplacedReason::NoCapacity;
        for &to in &view.by_distance[from.0] {
            if rest <= EPSILON || sends.contains(&to) {
                continue;
            }
            let bytes = crossing_allowance(view.crossing, &load, crossed[from.0]);
            if bytes < rest.min(left[to]) {
                why = UnplacedReason::NoBandwidth;
            }
            let goes = rest.min(left[to]).min(bytes);
            if goes > EPSILON {
                left[to] -= goes;
                crossed[from.0] += goes * load.kb;
                rest -= goes;
                parts.entry(from).or_default().push((to, goes / load.per_s));
            }
        }
        if rest > EPSILON {
            unplaced.push((from, rest, why));
        }
    }
    let mut table = Table::all_local(epoch, version);
    parts.into_iter().for_each(|(from, parts)| table.set(from, parts));
    Target { table, unplaced }
}

/// Txns a second of this load for which there are bytes left.
fn crossing_allowance(crossing: &Crossing, load: &Load, crossed: f64) -> f64 {
    let Some(all) = crossing.kb_per_s else { return f64::INFINITY };
    let part = if load.from.1.importance >= TOP_IMPORTANCE { 1.0 } else { 1.0 - crossing.reserve };
    if load.kb <= 0.0 { f64::INFINITY } else { ((all * part - crossed) / load.kb).max(0.0) }
}

/// The next table on the way from one to another: away by no more than a step, back by no more than a smaller one.
pub fn step(now: &Table, wanted: &Table, view: &PlanInput) -> Table {
    let mut next = Table::all_local(wanted.epoch, now.version + 1);
    let kinds: BTreeSet<Flow> = now.flows().chain(wanted.flows()).collect();
    let sends: BTreeSet<usize> = wanted.flows().map(|f| f.0).collect();
    let mut rises: Vec<(Flow, usize, f64)> = Vec::new();
    let mut all: BTreeMap<Flow, BTreeMap<usize, f64>> = BTreeMap::new();
    for &from in &kinds {
        let to: BTreeSet<usize> =
            now.remote_shares().chain(wanted.remote_shares()).filter(|l| l.0 == from).map(|l| l.1).collect();
        let (mut room, mut falls) = (view.steps.away, view.steps.away);
        for &to in &to {
            let (is, wants) = (now.share(from, to), wanted.share(from, to));
            // Out of a zone that is ill or sends itself as fast as away; home to a sound one slowly.
            let hurry = sends.contains(&to) || view.zones[to].usable_share < 1.0;
            let most = if hurry { falls } else { falls.min(view.steps.back) };
            let kept = is.min(wants).max(is - most).max(0.0);
            falls -= is - kept;
            if kept > EPSILON {
                all.entry(from).or_default().insert(to, kept);
            }
            if wants > is {
                let by = (wants - is).min(room);
                room -= by;
                rises.push((from, to, by));
            }
        }
    }
    let per_s: BTreeMap<Flow, f64> = view.loads.iter().map(|l| (l.from, l.per_s)).collect();
    let load = |from: &Flow| per_s.get(from).copied().unwrap_or(0.0);
    // What a zone has by now: what stays of its own, and what still comes. A rise may only fill what is left.
    let mut has = vec![0.0; view.zones.len()];
    for (from, per_s) in &per_s {
        let away: f64 = all.get(from).map_or(0.0, |parts| parts.values().sum());
        has[from.0] += per_s * (1.0 - away);
    }
    for (from, parts) in &all {
        parts.iter().for_each(|(to, part)| has[*to] += load(from) * part);
    }
    let gets = |all: &BTreeMap<Flow, BTreeMap<usize, f64>>| -> BTreeSet<usize> {
        all.values().flat_map(|parts| parts.keys().copied()).collect()
    };
    let mut getting = gets(&all);
    let mut sending: BTreeSet<usize> = all.keys().map(|f| f.0).collect();
    for (from, to, by) in rises {
        // No ring, not even for a moment: who gets does not send, and who sends does not get.
        if getting.contains(&from.0) || sending.contains(&to) {
            continue;
        }
        let most = (usable_capacity(view, to) - has[to]).max(0.0) / load(&from).max(EPSILON);
        let by = by.min(most);
        if by > EPSILON {
            *all.entry(from).or_default().entry(to).or_default() += by;
            has[to] += by * load(&from);
            has[from.0] -= by * load(&from);
            getting.insert(to);
            sending.insert(from.0);
        }
    }
    all.into_iter().for_each(|(from, parts)| next.set(from, parts));
    next
}

/// Zones that both send and get; there are never any.
pub fn relay_zones(table: &Table) -> BTreeSet<usize> {
    let sends: BTreeSet<usize> = table.remote_shares().map(|l| l.0.0).collect();
    table.remote_shares().map(|l| l.1).filter(|to| sends.contains(to)).collect()
}
