//! Seeded random runs: for any input, the invariants hold after each step and nothing panics.

mod common;

use common::*;
use kelpcart::hash_prefix::{PrefixSet, group_hash, object_hash};
use kelpcart::interface::*;
use kelpcart::{Span, Time};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

type Step = (u8, u8, u16);

const STATUSES: [HopStatus; 10] = [
    HopStatus::Completed,
    HopStatus::Errored,
    HopStatus::TurnedAway,
    HopStatus::TimedOut,
    HopStatus::Unreachable,
    HopStatus::Broken,
    HopStatus::Withdrawn,
    HopStatus::NeverSent,
    HopStatus::Overtaken,
    HopStatus::Lacking,
];
const CACHE_STATUSES: [Option<CacheStatus>; 8] = [
    None,
    Some(CacheStatus::Held),
    Some(CacheStatus::Filled),
    Some(CacheStatus::FilledByOrigin),
    Some(CacheStatus::SourceLost),
    Some(CacheStatus::SourceLacks),
    Some(CacheStatus::NoPlace),
    Some(CacheStatus::OriginFailed),
];

struct OpenTxn {
    rule: usize,
    object: u64,
    deadline: Time,
    hops: u32,
    in_flight: Option<(MemberId, Time)>,
    /// Member and time of the first hop that may have run.
    may_have_run: Option<(MemberId, Time)>,
}

struct Model {
    set: Settings,
    world: World,
    now: Time,
    members: BTreeMap<MemberId, Member>,
    open: BTreeMap<TxnId, OpenTxn>,
    /// What was purged, the time from which copies are valid, and the time of receipt.
    purges: Vec<(PrefixSet, Time, Time)>,
    /// Hops and fills sent: member, time, transfer time in seconds, txn.
    sent: Vec<(MemberId, Time, f64, TxnId)>,
}

fn settings_for(shape: u16) -> Settings {
    let mut set = settings();
    let bit = |n: u16| shape >> n & 1 == 1;
    (set.bypass_allowed, set.cancellation, set.retry_after_allowed, set.coalescing) =
        (bit(0), bit(1), bit(2), bit(3));
    set.sibling_fills = if bit(4) { FillScope::Off } else { FillScope::Zone };
    if bit(5) {
        set.parent_kind = None;
    }
    if bit(6) && bit(7) {
        (set.client_rate, set.connect_timeout, set.gateways, set.zone_gateways) = (0.0, Span::ZERO, 0, 0);
        (set.cache_cold_start, set.parent_cold_start) = (ColdStart::default(), ColdStart::default());
    }
    if bit(8) {
        set.rules[0].max_age = ms(500);
        set.rules[0].max_stale = ms(1_500);
    }
    if bit(10) {
        (set.gateways, set.zone_gateways) = (400, 12);
    }
    set.rules[1].dedup_scope = if bit(9) { DedupScope::All } else { DedupScope::Cell };
    set
}

impl Model {
    fn change_member(&mut self, pick: u8, what: u16) {
        let ids: Vec<MemberId> = self.members.keys().cloned().collect();
        let Some(m) = self.members.get_mut(&ids[usize::from(pick) % ids.len()]) else { return };
        m.state = [MemberState::Up, MemberState::Draining, MemberState::Gone][usize::from(what) % 3];
        if m.state == MemberState::Up && what.is_multiple_of(2) {
            m.started = Some(self.now.saturating_sub(ms(u64::from(what) / 64)));
            let id = m.id.clone();
            self.sent.retain(|s| s.0 != id);
        }
        let m = m.clone();
        self.world.gateway.update_members(self.now, false, vec![m]);
    }

    fn outcome(&mut self, pick: u8, what: u16) -> Vec<Decision> {
        let in_flight: Vec<TxnId> =
            self.open.iter().filter(|a| a.1.in_flight.is_some()).map(|a| *a.0).collect();
        let Some(&id) = in_flight.get(usize::from(pick) % in_flight.len().max(1)) else { return Vec::new() };
        let status = STATUSES[usize::from(what) % STATUSES.len()];
        let open = self.open.get_mut(&id).expect("an open txn");
        let hop = open.in_flight.take();
        if !status.proves_not_run() && open.may_have_run.is_none() {
            open.may_have_run = hop;
        }
        if status == HopStatus::Completed {
            self.open.remove(&id);
        }
        let cache_status = CACHE_STATUSES[usize::from(what / 16) % CACHE_STATUSES.len()];
        if cache_status == Some(CacheStatus::Held) {
            let (members, parent) = (&self.members, self.set.parent_kind);
            self.sent.retain(|s| s.3 != id || Some(members[&s.0].kind) != parent);
        }
        self.world.end_hop(self.now, id, status, cache_status)
    }

    fn budget(&self, id: &MemberId) -> Option<f64> {
        let m = &self.members[id];
        if m.kind == ORIGIN {
            return None;
        }
        let parent = Some(m.kind) == self.set.parent_kind;
        let cold = if parent { &self.set.parent_cold_start } else { &self.set.cache_cold_start };
        let age = m.started.map(|at| self.now - at).filter(|age| *age < cold.warm_up)?;
        let gateway_count = if parent { self.set.gateways } else { self.set.zone_gateways };
        let current_share = cold.initial_share + (1.0 - cold.initial_share) * (age / cold.warm_up);
        Some(
            cold.overload_factor * current_share * m.capacity * cold.overload_window.as_secs_f64()
                / f64::from(gateway_count),
        )
    }

    fn check_hop(&mut self, id: TxnId, member: &MemberId, fill: Option<&Fill>) {
        let rules = self.set.rules.clone();
        let open = self.open.get_mut(&id).expect("no hop for an ended txn");
        assert!(open.in_flight.is_none(), "two hops at once");
        open.hops += 1;
        assert!(open.hops <= self.set.max_hops);
        let (rule, to) = (&rules[open.rule], &self.members[member]);
        if let Some((first, when)) = &open.may_have_run {
            assert!(rule.effect != Effect::Unrepeatable, "an unrepeatable txn may run twice");
            if rule.effect == Effect::Keyed {
                assert!(rule.dedup_scope == DedupScope::All || to.cell == self.members[first].cell);
                assert!(self.now - *when < rule.dedup_window);
            }
        }
        open.in_flight = Some((member.clone(), self.now));
        let object = open.object;
        let source = fill.map(|f| &f.source).filter(|s| *s != member);
        for target in [Some(member), source].into_iter().flatten() {
            assert_eq!(self.members[target].state, MemberState::Up, "sent to a member that is not up");
            self.sent.push((target.clone(), self.now, 0.1, id));
        }
        for target in [Some(member), source].into_iter().flatten() {
            let Some(budget) = self.budget(target) else { continue };
            let since = self.now.saturating_sub(self.set.cache_cold_start.overload_window);
            let spent = self.sent.iter().filter(|s| s.0 == *target && s.1 >= since);
            assert!(spent.map(|s| s.2).sum::<f64>() <= budget + 1e-9, "{target}: cold-start budget exceeded");
        }
        let hashes = [object_hash(object), group_hash(object % 8)];
        let applies = |p: &&(PrefixSet, Time, Time)| {
            hashes.iter().any(|h| p.0.contains(*h)) && self.now - p.2 < self.set.purge_propagation
        };
        let purge = self.purges.iter().filter(applies);
        if let (Some(age), Some(fill)) = (purge.map(|p| self.now - p.1).min(), fill) {
            let oldest = fill.max_age.expect("no limit on the age of copies after a purge");
            assert!(oldest > Span::ZERO && oldest <= age.max(Span::from_micros(1)));
        }
    }

    fn check(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Hop { txn, member, fill, first_attempt, start_by, deadline } => {
                    // Read before this hop is recorded, as it would be its own first one otherwise.
                    let (open, first) =
                        (&self.open[&txn], self.open[&txn].may_have_run.as_ref().map(|ran| ran.1));
                    let rule = &self.set.rules[open.rule];
                    let dedup_end =
                        first.filter(|_| rule.effect == Effect::Keyed).map(|at| at + rule.dedup_window);
                    assert!(start_by <= dedup_end.unwrap_or(open.deadline));
                    assert_eq!(first_attempt, first);
                    self.check_hop(txn, &member, fill.as_ref());
                    assert!(deadline <= self.open[&txn].deadline);
                }
                Decision::Reject { txn, retry_after } => {
                    let open = self.open.remove(&txn).expect("a second answer");
                    let rule = &self.set.rules[open.rule];
                    let all = rule.effect == Effect::Keyed && rule.dedup_scope == DedupScope::All;
                    assert!(open.in_flight.is_none());
                    assert!(open.may_have_run.is_none() || all || rule.effect == Effect::Repeatable);
                    assert_eq!(retry_after.is_some(), self.set.retry_after_allowed);
                }
                Decision::Abort { txn } => {
                    let open = self.open.remove(&txn).expect("a second answer");
                    assert!(open.in_flight.is_none());
                }
                Decision::Cancel { txn, .. } => {
                    assert!(self.set.cancellation && self.open[&txn].in_flight.is_some());
                }
                Decision::Subscribe => panic!("no subscription is required here"),
            }
        }
        assert!(
            self.open.values().all(|a| a.in_flight.is_some()),
            "a txn without a hop in flight was left undecided"
        );
        assert!(self.world.gateway.next_wake() > self.now, "next_wake must lie in the future");
    }
}

fn invariants_hold(shape: u16, steps: Vec<Step>) -> bool {
    let set = settings_for(shape);
    let members = fleet().into_iter().map(|m| (m.id.clone(), m)).collect();
    let (world, open) = (World::new(set.clone()), BTreeMap::new());
    let mut model = Model { set, world, now: at(0), members, open, purges: Vec::new(), sent: Vec::new() };
    for (i, &(kind, pick, what)) in steps.iter().enumerate() {
        model.now += Span::from_micros(u64::from(what) % 40_000);
        let (id, object) = (i as TxnId, u64::from(pick % 32));
        let mut decisions = match kind % 16 {
            0..=7 => {
                let time_left = ms(50 + u64::from(what) % 3_000);
                let txn = Txn { time_left, ..txn(id, usize::from(what) % 3, object) };
                let (rule, deadline) = (txn.rule, model.now + time_left);
                model.open.insert(
                    id,
                    OpenTxn { rule, object, deadline, hops: 0, in_flight: None, may_have_run: None },
                );
                model.world.submit(model.now, txn)
            }
            8..=12 => model.outcome(pick, what),
            13 => {
                model.change_member(pick, what);
                Vec::new()
            }
            14 => {
                let ago = ms(u64::from(pick) * u64::from(what) % 9_000);
                // Exact hashes, and prefixes that cover some others too.
                let names = PrefixSet::new(
                    [64, 6][i % 2],
                    [[object_hash(object), group_hash(object % 8)][i / 2 % 2]],
                );
                model.purges.push((names.clone(), model.now.saturating_sub(ago), model.now));
                model.world.gateway.purge(model.now, names, ago);
                Vec::new()
            }
            _ => {
                let gone = model.open.keys().next().copied().unwrap_or(id);
                model.open.remove(&gone);
                model.world.gateway.client_left(gone);
                Vec::new()
            }
        };
        decisions.extend(model.world.poll_all(model.now));
        model.check(decisions);
    }
    true
}

#[test]
fn the_invariants_hold_in_random_runs() {
    for seed in 0..24 {
        let mut check = QuickCheck::new().tests(12).rng(Gen::from_size_and_seed(400, seed));
        check.quickcheck(invariants_hold as fn(u16, Vec<Step>) -> bool);
    }
}
