//! Seeded random runs: whatever comes in, the rules hold after every step and nothing panics.

mod common;

use common::*;
use kelpcart::hash_prefix::{PrefixSet, group_hash, object_hash};
use kelpcart::interface::*;
use kelpcart::{Span, Time};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

type Step = (u8, u8, u16);

const ENDS: [HopStatus; 10] = [
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
const NOTES: [Option<CacheStatus>; 8] = [
    None,
    Some(CacheStatus::Held),
    Some(CacheStatus::Filled),
    Some(CacheStatus::FilledByOrigin),
    Some(CacheStatus::SourceLost),
    Some(CacheStatus::SourceLacks),
    Some(CacheStatus::NoPlace),
    Some(CacheStatus::OriginFailed),
];

struct Asked {
    rule: usize,
    object: u64,
    limit: Time,
    hops: u32,
    out: Option<(MemberId, Time)>,
    /// Where and when the first hop went that may have run.
    ran: Option<(MemberId, Time)>,
}

struct Model {
    set: Settings,
    world: World,
    now: Time,
    list: BTreeMap<MemberId, Member>,
    asked: BTreeMap<TxnId, Asked>,
    /// What was purged, as of when, and when it was told.
    purges: Vec<(PrefixSet, Time, Time)>,
    sent: Vec<(MemberId, Time, f64, TxnId)>,
}

fn shaped(shape: u16) -> Settings {
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
    fn member(&mut self, pick: u8, what: u16) {
        let ids: Vec<MemberId> = self.list.keys().cloned().collect();
        let Some(m) = self.list.get_mut(&ids[usize::from(pick) % ids.len()]) else { return };
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
        let out: Vec<TxnId> = self.asked.iter().filter(|a| a.1.out.is_some()).map(|a| *a.0).collect();
        let Some(&id) = out.get(usize::from(pick) % out.len().max(1)) else { return Vec::new() };
        let end = ENDS[usize::from(what) % ENDS.len()];
        let ask = self.asked.get_mut(&id).expect("asked");
        let hop = ask.out.take();
        if !end.proves_not_run() && ask.ran.is_none() {
            ask.ran = hop;
        }
        if end == HopStatus::Completed {
            self.asked.remove(&id);
        }
        let note = NOTES[usize::from(what / 16) % NOTES.len()];
        if note == Some(CacheStatus::Held) {
            let (list, parent) = (&self.list, self.set.parent_kind);
            self.sent.retain(|s| s.3 != id || Some(list[&s.0].kind) != parent);
        }
        self.world.end(self.now, id, end, note)
    }

    fn budget(&self, id: &MemberId) -> Option<f64> {
        let m = &self.list[id];
        if m.kind == ORIGIN {
            return None;
        }
        let parent = Some(m.kind) == self.set.parent_kind;
        let cold = if parent { &self.set.parent_cold_start } else { &self.set.cache_cold_start };
        let age = m.started.map(|at| self.now - at).filter(|age| *age < cold.warm_up)?;
        let sharers = if parent { self.set.gateways } else { self.set.zone_gateways };
        let present = cold.initial_share + (1.0 - cold.initial_share) * (age / cold.warm_up);
        Some(
            cold.overload_factor * present * m.capacity * cold.overload_window.as_secs_f64()
                / f64::from(sharers),
        )
    }

    fn check_hop(&mut self, id: TxnId, member: &MemberId, fill: Option<&Fill>) {
        let rules = self.set.rules.clone();
        let ask = self.asked.get_mut(&id).expect("no hop for an ended txn");
        assert!(ask.out.is_none(), "two hops at once");
        ask.hops += 1;
        assert!(ask.hops <= self.set.max_hops);
        let (rule, to) = (&rules[ask.rule], &self.list[member]);
        if let Some((first, when)) = &ask.ran {
            assert!(rule.effect != Effect::Unrepeatable, "an effect may happen twice");
            if rule.effect == Effect::Keyed {
                assert!(rule.dedup_scope == DedupScope::All || to.cell == self.list[first].cell);
                assert!(self.now - *when < rule.dedup_window);
            }
        }
        ask.out = Some((member.clone(), self.now));
        let object = ask.object;
        let source = fill.map(|f| &f.source).filter(|s| *s != member);
        for place in [Some(member), source].into_iter().flatten() {
            assert_eq!(self.list[place].state, MemberState::Up, "sent to a leaving member");
            self.sent.push((place.clone(), self.now, 0.1, id));
        }
        for place in [Some(member), source].into_iter().flatten() {
            let Some(budget) = self.budget(place) else { continue };
            let since = self.now.saturating_sub(self.set.cache_cold_start.overload_window);
            let spent = self.sent.iter().filter(|s| s.0 == *place && s.1 >= since);
            assert!(spent.map(|s| s.2).sum::<f64>() <= budget + 1e-9, "{place} pushed over");
        }
        let names = [object_hash(object), group_hash(object % 8)];
        let binds = |p: &&(PrefixSet, Time, Time)| {
            names.iter().any(|n| p.0.contains(*n)) && self.now - p.2 < self.set.purge_propagation
        };
        let purge = self.purges.iter().filter(binds);
        if let (Some(age), Some(fill)) = (purge.map(|p| self.now - p.1).min(), fill) {
            let oldest = fill.max_age.expect("no limit on age after a purge");
            assert!(oldest > Span::ZERO && oldest <= age.max(Span::from_micros(1)));
        }
    }

    fn check(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Hop { txn, member, fill, start_by: begin_by, deadline: limit } => {
                    // Before this one is booked as sent, or it would be its own first.
                    let (ask, first) = (&self.asked[&txn], self.asked[&txn].ran.as_ref().map(|ran| ran.1));
                    let rule = &self.set.rules[ask.rule];
                    let known =
                        first.filter(|_| rule.effect == Effect::Keyed).map(|at| at + rule.dedup_window);
                    assert!(begin_by <= known.unwrap_or(ask.limit));
                    self.check_hop(txn, &member, fill.as_ref());
                    assert!(limit <= self.asked[&txn].limit);
                }
                Decision::Reject { txn, retry_after: come_back } => {
                    let ask = self.asked.remove(&txn).expect("a second answer");
                    let rule = &self.set.rules[ask.rule];
                    let all = rule.effect == Effect::Keyed && rule.dedup_scope == DedupScope::All;
                    assert!(ask.out.is_none());
                    assert!(ask.ran.is_none() || all || rule.effect == Effect::Repeatable);
                    assert_eq!(come_back.is_some(), self.set.retry_after_allowed);
                }
                Decision::Abort { txn } => {
                    let ask = self.asked.remove(&txn).expect("a second answer");
                    assert!(ask.out.is_none());
                }
                Decision::Cancel { txn, .. } => {
                    assert!(self.set.cancellation && self.asked[&txn].out.is_some());
                }
                Decision::Subscribe => panic!("nothing to ask here"),
            }
        }
        assert!(self.asked.values().all(|a| a.out.is_some()), "a txn is held with nothing out for it");
        assert!(self.world.gateway.next_wake() > self.now, "it would spin");
    }
}

fn keeps_rules(shape: u16, steps: Vec<Step>) -> bool {
    let set = shaped(shape);
    let list = fleet().into_iter().map(|m| (m.id.clone(), m)).collect();
    let (world, asked) = (World::new(set.clone()), BTreeMap::new());
    let mut model = Model { set, world, now: at(0), list, asked, purges: Vec::new(), sent: Vec::new() };
    for (i, &(kind, pick, what)) in steps.iter().enumerate() {
        model.now += Span::from_micros(u64::from(what) % 40_000);
        let (id, object) = (i as TxnId, u64::from(pick % 32));
        let mut made = match kind % 16 {
            0..=7 => {
                let left = ms(50 + u64::from(what) % 3_000);
                let txn = Txn { time_left: left, ..txn(id, usize::from(what) % 3, object) };
                let (rule, limit) = (txn.rule, model.now + left);
                model.asked.insert(id, Asked { rule, object, limit, hops: 0, out: None, ran: None });
                model.world.ask(model.now, txn)
            }
            8..=12 => model.outcome(pick, what),
            13 => {
                model.member(pick, what);
                Vec::new()
            }
            14 => {
                let ago = ms(u64::from(pick) * u64::from(what) % 9_000);
                // Exact ones and short ones that cover some others, too.
                let names = PrefixSet::new(
                    [64, 6][i % 2],
                    [[object_hash(object), group_hash(object % 8)][i / 2 % 2]],
                );
                model.purges.push((names.clone(), model.now.saturating_sub(ago), model.now));
                model.world.gateway.purge(model.now, names, ago);
                Vec::new()
            }
            _ => {
                let gone = model.asked.keys().next().copied().unwrap_or(id);
                model.asked.remove(&gone);
                model.world.gateway.client_left(gone);
                Vec::new()
            }
        };
        made.extend(model.world.pull(model.now));
        model.check(made);
    }
    true
}

#[test]
fn the_rules_hold_in_random_runs() {
    for seed in 0..24 {
        let mut check = QuickCheck::new().tests(12).rng(Gen::from_size_and_seed(400, seed));
        check.quickcheck(keeps_rules as fn(u16, Vec<Step>) -> bool);
    }
}
