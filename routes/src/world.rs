//! Simulates one scenario on the real decision module: the member list, the failures, then txns one by one, each to its
//! final answer. Owns the simulated time.
//!
//! Invariant: it makes no routing decision; it only answers hops according to the failure mode of their member.

use crate::expect::FailureMode;
use crate::fleet::Fleet;
use kelpcart::explain::Explanation;
use kelpcart::hash_prefix::PrefixSet;
use kelpcart::interface::*;
use kelpcart::{Gateway, Span, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The failed members by index, and the other conditions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    pub failures: BTreeMap<usize, FailureMode>,
    pub purged: bool,
    /// The gateway's member list does not show the failures yet.
    pub list_late: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TraceHop {
    pub member: usize,
    pub source: Option<usize>,
    pub max_age: Option<Span>,
    pub status: HopStatus,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Final {
    Served,
    Rejected(Option<Span>),
    Aborted,
}

/// All hops of a txn and its result.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    pub object: u64,
    pub hops: Vec<TraceHop>,
    /// None if there is no final answer within `MAX_DECISIONS`, which is an error in itself.
    pub result: Option<Final>,
}

const START_US: u64 = 1_000_000_000;
/// Interval between txns; long enough that nothing is outstanding when the next one starts.
const TXN_INTERVAL: Span = Span::from_millis(400);
/// Upper bound of the decisions on one txn.
const MAX_DECISIONS: usize = 64;
const ANSWER_DELAY: Span = Span::from_millis(20);

pub struct World<'a> {
    fleet: &'a Fleet,
    now: Time,
    gateway: Gateway,
    scenario: &'a Scenario,
    by_id: Arc<BTreeMap<MemberId, usize>>,
    next_txn: TxnId,
}

/// A gateway that has the member list and has handled no txn: the start of every scenario.
#[derive(Clone)]
pub struct InitialState {
    now: Time,
    gateway: Gateway,
    by_id: Arc<BTreeMap<MemberId, usize>>,
}

impl InitialState {
    pub fn new(fleet: &Fleet, zone: usize) -> InitialState {
        let mut settings = fleet.settings.clone();
        settings.zone = zone;
        settings.subscription_required = false;
        let now = Time::from_micros(START_US);
        let mut gateway = Gateway::new(settings, fleet.seed, now);
        let by_id = fleet.members.iter().enumerate().map(|(i, m)| (m.id.clone(), i)).collect();
        gateway.update_members(now, true, fleet.members.clone());
        while gateway.poll(now).is_some() {}
        InitialState { now, gateway, by_id: Arc::new(by_id) }
    }
}

impl<'a> World<'a> {
    pub fn new(fleet: &'a Fleet, zone: usize, scenario: &'a Scenario) -> World<'a> {
        World::from_state(&InitialState::new(fleet, zone), fleet, scenario)
    }

    /// Applies the scenario to an initial state.
    pub fn from_state(initial: &InitialState, fleet: &'a Fleet, scenario: &'a Scenario) -> World<'a> {
        let InitialState { now, gateway, by_id } = initial.clone();
        let mut world = World { fleet, now, gateway, scenario, by_id, next_txn: 1 };
        if !scenario.list_late {
            // A returned member was gone before.
            let returned = scenario.failures.iter().filter(|(_, t)| **t == FailureMode::Returned);
            let gone: Vec<Member> =
                returned.filter_map(|(&i, _)| world.member_update(i, FailureMode::Down)).collect();
            if !gone.is_empty() {
                world.gateway.update_members(world.now, false, gone);
                world.now += TXN_INTERVAL;
                world.drain_decisions();
            }
            let updates = scenario
                .failures
                .iter()
                .filter_map(|(&i, &failure)| world.member_update(i, failure))
                .collect();
            world.gateway.update_members(world.now, false, updates);
        }
        world
    }

    /// The update of the member list for a failure mode; none if the list does not show it.
    fn member_update(&self, i: usize, failure: FailureMode) -> Option<Member> {
        let member = self.fleet.members[i].clone();
        match failure {
            FailureMode::Down => Some(Member { state: MemberState::Gone, ..member }),
            FailureMode::Draining => Some(Member { state: MemberState::Draining, ..member }),
            FailureMode::Cold | FailureMode::Returned => Some(Member { started: Some(self.now), ..member }),
            FailureMode::Silent | FailureMode::Full | FailureMode::Failing => None,
        }
    }

    fn drain_decisions(&mut self) {
        while self.gateway.poll(self.now).is_some() {}
    }

    /// The outcome of a hop by the failure mode of its member, then of its fill source.
    fn hop_result(
        &self,
        member: usize,
        source: Option<usize>,
        fill: Option<&Fill>,
    ) -> (HopStatus, Option<CacheStatus>) {
        let failure = |i: usize| self.scenario.failures.get(&i).copied();
        match failure(member) {
            Some(FailureMode::Down) => (HopStatus::Unreachable, None),
            Some(FailureMode::Silent) => (HopStatus::TimedOut, None),
            Some(FailureMode::Full) => (HopStatus::TurnedAway, None),
            Some(FailureMode::Failing) => (HopStatus::Errored, None),
            _ => match source.map(|s| (s, failure(s))) {
                // All caches are empty, the worst case for routing: a member that is asked only for a cached copy lacks
                // it.
                None if fill
                    .is_some_and(|f| f.only_if_cached && f.source == self.fleet.members[member].id) =>
                {
                    (HopStatus::Lacking, None)
                }
                Some(_) if fill.is_some_and(|f| f.only_if_cached) => {
                    (HopStatus::Lacking, Some(CacheStatus::SourceLacks))
                }
                Some((_, Some(FailureMode::Down | FailureMode::Silent))) => {
                    (HopStatus::Errored, Some(CacheStatus::SourceLost))
                }
                Some((_, Some(FailureMode::Full | FailureMode::Failing))) => {
                    (HopStatus::Errored, Some(CacheStatus::SourceRefused))
                }
                _ => (HopStatus::Completed, Some(CacheStatus::Filled)),
            },
        }
    }

    fn make_txn(&self, rule: usize, object: u64) -> Txn {
        let (id, group, write) = (self.next_txn, object % 256, self.fleet.settings.rules[rule].is_write);
        let time_left = self.fleet.settings.rules[rule].sla * 4.0;
        let size = (self.fleet.settings.client_rate > 0.0).then_some(1.0);
        Txn { id, rule, object, group, is_write: write, size, time_left, ..Txn::default() }
    }

    /// The module's explanation for a txn that would arrive now.
    pub fn explain(&mut self, rule: usize, object: u64) -> Explanation {
        // The time at which `run_txn` would submit it.
        let now = self.now + TXN_INTERVAL;
        let mut future = self.gateway.clone();
        while future.poll(now).is_some() {}
        future.explain(now, &self.make_txn(rule, object))
    }

    /// Runs one txn from its arrival to its final answer.
    pub fn run_txn(&mut self, rule: usize, object: u64) -> Trace {
        self.now += TXN_INTERVAL;
        self.drain_decisions();
        let txn = self.make_txn(rule, object);
        let (id, time_left) = (txn.id, txn.time_left);
        self.next_txn += 1;
        if self.scenario.purged {
            self.gateway.purge(self.now, PrefixSet::object(object), Span::ZERO);
        }
        self.gateway.submit(self.now, txn);
        let mut trace = Trace { object, hops: Vec::new(), result: None };
        for _ in 0..MAX_DECISIONS {
            match self.gateway.poll(self.now) {
                Some(Decision::Hop { txn, member, fill, .. }) if txn == id => {
                    let Some(&member) = self.by_id.get(&member) else { return trace };
                    let source = fill.as_ref().and_then(|f| self.by_id.get(&f.source)).copied();
                    let source = source.filter(|&s| s != member);
                    let (status, cache_status) = self.hop_result(member, source, fill.as_ref());
                    let (hop, completed) = (trace.hops.len() as u32, status == HopStatus::Completed);
                    let max_age = fill.and_then(|f| f.max_age);
                    trace.hops.push(TraceHop { member, source, max_age, status });
                    let duration =
                        if status == HopStatus::TimedOut { time_left * 0.25 } else { ANSWER_DELAY };
                    self.now += duration;
                    let (first_byte, load) = (Some(ANSWER_DELAY), LoadReport::default());
                    self.gateway.record_outcome(
                        self.now,
                        Outcome {
                            txn,
                            hop,
                            status,
                            duration,
                            answered: completed,
                            cache_status,
                            first_byte,
                            load,
                        },
                    );
                    if completed {
                        trace.result = Some(Final::Served);
                        return trace;
                    }
                }
                Some(Decision::Reject { txn, retry_after }) if txn == id => {
                    trace.result = Some(Final::Rejected(retry_after));
                    return trace;
                }
                Some(Decision::Abort { txn }) if txn == id => {
                    trace.result = Some(Final::Aborted);
                    return trace;
                }
                Some(_) => {}
                None => return trace,
            }
        }
        trace
    }
}
