//! The shares for all zones at once: what each zone's own members can serve stays, what they can't goes where there is
//! room, the nearest first, within what may cross; and how a table moves there by capped steps. Must never send into a
//! zone more than it has shown to bear, nor let zones hand on to each other in a ring: a zone that sends gets nothing.

use crate::settings::{Crossing, Steps};
use crate::table::{From, Table};
use std::collections::{BTreeMap, BTreeSet};

/// The kind that may use what is reserved of crossing bytes.
const DEAREST: u8 = 9;
/// Less than this part of a zone's txns is nothing.
const NOTHING: f64 = 1e-9;

/// What a zone's clients ask for, of a kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    pub from: From,
    pub per_s: f64,
    /// Of one txn that crosses.
    pub kb: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Zone {
    /// Txns a second that its members have shown to bear; for cold ones what their budgets allow.
    pub bears: f64,
    /// Its health, 0 to 1.
    pub use_of_it: f64,
}

pub struct View<'a> {
    pub loads: &'a [Load],
    pub zones: &'a [Zone],
    /// For each zone the others, the nearest first.
    pub near: &'a [Vec<usize>],
    pub crossing: &'a Crossing,
    pub steps: &'a Steps,
}

/// Why a part of a zone's txns has no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    NoRoom,
    NoBytes,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub table: Table,
    /// What no zone can serve, a second: rejected where it is asked.
    pub unplaced: Vec<(From, f64, Why)>,
}

fn room(view: &View, zone: usize) -> f64 {
    let z = &view.zones[zone];
    (z.bears * z.use_of_it * view.steps.head_room).max(0.0)
}

/// The order in which a zone's own txns keep their places: what matters more first, then writes, then what is dear to
/// move.
fn stays_first(a: &Load, b: &Load) -> std::cmp::Ordering {
    let rank = |l: &Load| (std::cmp::Reverse(l.from.1.importance), !l.from.1.write);
    rank(a).cmp(&rank(b)).then(b.kb.total_cmp(&a.kb))
}

/// Shares as they are wanted, worked out from the loads and rooms of all zones together.
pub fn target(view: &View, epoch: u64, version: u64) -> Target {
    let mut left: Vec<f64> = (0..view.zones.len()).map(|z| room(view, z)).collect();
    let mut loads: Vec<Load> = view.loads.iter().copied().filter(|l| l.per_s > NOTHING).collect();
    loads.sort_by(stays_first);
    let mut over: Vec<(Load, f64)> = Vec::new();
    for load in &loads {
        let stays = load.per_s.min(left[load.from.0]);
        left[load.from.0] -= stays;
        if load.per_s - stays > NOTHING {
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
    let mut parts: BTreeMap<From, Vec<(usize, f64)>> = BTreeMap::new();
    let mut unplaced = Vec::new();
    for (load, mut rest) in over {
        let from = load.from;
        let mut why = Why::NoRoom;
        for &to in &view.near[from.0] {
            if rest <= NOTHING || sends.contains(&to) {
                continue;
            }
            let bytes = may_cross(view.crossing, &load, crossed[from.0]);
            if bytes < rest.min(left[to]) {
                why = Why::NoBytes;
            }
            let goes = rest.min(left[to]).min(bytes);
            if goes > NOTHING {
                left[to] -= goes;
                crossed[from.0] += goes * load.kb;
                rest -= goes;
                parts.entry(from).or_default().push((to, goes / load.per_s));
            }
        }
        if rest > NOTHING {
            unplaced.push((from, rest, why));
        }
    }
    let mut table = Table::near(epoch, version);
    parts.into_iter().for_each(|(from, parts)| table.set(from, parts));
    Target { table, unplaced }
}

/// Txns a second of this load for which there are bytes left.
fn may_cross(crossing: &Crossing, load: &Load, crossed: f64) -> f64 {
    let Some(all) = crossing.kb_per_s else { return f64::INFINITY };
    let part = if load.from.1.importance >= DEAREST { 1.0 } else { 1.0 - crossing.reserve };
    if load.kb <= 0.0 { f64::INFINITY } else { ((all * part - crossed) / load.kb).max(0.0) }
}

/// The next table on the way from one to another: away by no more than a step, back by no more than a smaller one.
pub fn step(now: &Table, wanted: &Table, view: &View) -> Table {
    let mut next = Table::near(wanted.epoch, now.version + 1);
    let kinds: BTreeSet<From> = now.kinds().chain(wanted.kinds()).collect();
    let sends: BTreeSet<usize> = wanted.kinds().map(|f| f.0).collect();
    let mut rises: Vec<(From, usize, f64)> = Vec::new();
    let mut all: BTreeMap<From, BTreeMap<usize, f64>> = BTreeMap::new();
    for &from in &kinds {
        let to: BTreeSet<usize> =
            now.leaving().chain(wanted.leaving()).filter(|l| l.0 == from).map(|l| l.1).collect();
        let (mut room, mut falls) = (view.steps.away, view.steps.away);
        for &to in &to {
            let (is, wants) = (now.share(from, to), wanted.share(from, to));
            // Out of a zone that is ill or sends itself as fast as away; home to a sound one slowly.
            let hurry = sends.contains(&to) || view.zones[to].use_of_it < 1.0;
            let most = if hurry { falls } else { falls.min(view.steps.back) };
            let kept = is.min(wants).max(is - most).max(0.0);
            falls -= is - kept;
            if kept > NOTHING {
                all.entry(from).or_default().insert(to, kept);
            }
            if wants > is {
                let by = (wants - is).min(room);
                room -= by;
                rises.push((from, to, by));
            }
        }
    }
    let per_s: BTreeMap<From, f64> = view.loads.iter().map(|l| (l.from, l.per_s)).collect();
    let load = |from: &From| per_s.get(from).copied().unwrap_or(0.0);
    // What a zone has by now: what stays of its own, and what still comes. A rise may only fill what is left.
    let mut has = vec![0.0; view.zones.len()];
    for (from, per_s) in &per_s {
        let away: f64 = all.get(from).map_or(0.0, |parts| parts.values().sum());
        has[from.0] += per_s * (1.0 - away);
    }
    for (from, parts) in &all {
        parts.iter().for_each(|(to, part)| has[*to] += load(from) * part);
    }
    let gets = |all: &BTreeMap<From, BTreeMap<usize, f64>>| -> BTreeSet<usize> {
        all.values().flat_map(|parts| parts.keys().copied()).collect()
    };
    let mut getting = gets(&all);
    let mut sending: BTreeSet<usize> = all.keys().map(|f| f.0).collect();
    for (from, to, by) in rises {
        // No ring, not even for a moment: who gets does not send, and who sends does not get.
        if getting.contains(&from.0) || sending.contains(&to) {
            continue;
        }
        let most = (room(view, to) - has[to]).max(0.0) / load(&from).max(NOTHING);
        let by = by.min(most);
        if by > NOTHING {
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
pub fn rings(table: &Table) -> BTreeSet<usize> {
    let sends: BTreeSet<usize> = table.leaving().map(|l| l.0.0).collect();
    table.leaving().map(|l| l.1).filter(|to| sends.contains(to)).collect()
}
