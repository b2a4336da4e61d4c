//! Plays one circumstance on the real module: the list, the troubles, then txns one by one, each to its final answer. Owns
//! simulated time. Must never decide in the module's place: it only answers hops as their member's trouble says.

use crate::expect::FailureMode;
use crate::fleet::Fleet;
use kelpcart::explain::Explanation;
use kelpcart::hash_prefix::PrefixSet;
use kelpcart::interface::*;
use kelpcart::{Gateway, Span, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Which members are in trouble, and what else holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    pub failures: BTreeMap<usize, FailureMode>,
    pub purged: bool,
    /// The gateway's list does not say so yet.
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

/// A txn's whole way.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    pub object: u64,
    pub hops: Vec<TraceHop>,
    /// None within the bound on decisions: that is a fault of its own.
    pub result: Option<Final>,
}

const START_US: u64 = 1_000_000_000;
/// A txn and the next are this far apart: nothing is out when one begins.
const TXN_INTERVAL: Span = Span::from_millis(400);
/// No txn has more decisions than this.
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

/// A gateway that knows the list and has met nothing yet: the start of every circumstance.
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
    pub fn new(fleet: &'a Fleet, zone: usize, circumstance: &'a Scenario) -> World<'a> {
        World::from_state(&InitialState::new(fleet, zone), fleet, circumstance)
    }

    /// The circumstance on top of what was calm.
    pub fn from_state(calm: &InitialState, fleet: &'a Fleet, circumstance: &'a Scenario) -> World<'a> {
        let InitialState { now, gateway, by_id } = calm.clone();
        let mut world = World { fleet, now, gateway, scenario: circumstance, by_id, next_txn: 1 };
        if !circumstance.list_late {
            // What is back was gone before.
            let returned = circumstance.failures.iter().filter(|(_, t)| **t == FailureMode::Returned);
            let gone: Vec<Member> =
                returned.filter_map(|(&i, _)| world.member_update(i, FailureMode::Down)).collect();
            if !gone.is_empty() {
                world.gateway.update_members(world.now, false, gone);
                world.now += TXN_INTERVAL;
                world.drain_decisions();
            }
            let news = circumstance
                .failures
                .iter()
                .filter_map(|(&i, &trouble)| world.member_update(i, trouble))
                .collect();
            world.gateway.update_members(world.now, false, news);
        }
        world
    }

    /// What the list says of a member in trouble; nothing where it does not know.
    fn member_update(&self, i: usize, trouble: FailureMode) -> Option<Member> {
        let member = self.fleet.members[i].clone();
        match trouble {
            FailureMode::Down => Some(Member { state: MemberState::Gone, ..member }),
            FailureMode::Draining => Some(Member { state: MemberState::Draining, ..member }),
            FailureMode::Cold | FailureMode::Returned => Some(Member { started: Some(self.now), ..member }),
            FailureMode::Silent | FailureMode::Full | FailureMode::Failing => None,
        }
    }

    fn drain_decisions(&mut self) {
        while self.gateway.poll(self.now).is_some() {}
    }

    /// How a hop ends: its member's trouble, then its source's.
    fn hop_result(
        &self,
        member: usize,
        source: Option<usize>,
        fill: Option<&Fill>,
    ) -> (HopStatus, Option<CacheStatus>) {
        let trouble = |i: usize| self.scenario.failures.get(&i).copied();
        match trouble(member) {
            Some(FailureMode::Down) => (HopStatus::Unreachable, None),
            Some(FailureMode::Silent) => (HopStatus::TimedOut, None),
            Some(FailureMode::Full) => (HopStatus::TurnedAway, None),
            Some(FailureMode::Failing) => (HopStatus::Errored, None),
            _ => match source.map(|s| (s, trouble(s))) {
                // Nothing is kept anywhere yet, the worst case for routes: who is asked only for what it holds lacks it.
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
        let left = self.fleet.settings.rules[rule].sla * 4.0;
        let size = (self.fleet.settings.client_rate > 0.0).then_some(1.0);
        Txn { id, rule, object, group, part: 0, is_write: write, size, time_left: left, max_age: None }
    }

    /// What the module has to say of a txn that would come now.
    pub fn explain(&mut self, rule: usize, object: u64) -> Explanation {
        // The moment at which `ask` would bring it.
        let now = self.now + TXN_INTERVAL;
        let mut as_then = self.gateway.clone();
        while as_then.poll(now).is_some() {}
        as_then.explain(now, &self.make_txn(rule, object))
    }

    /// One txn from its coming to its final answer.
    pub fn run_txn(&mut self, rule: usize, object: u64) -> Trace {
        self.now += TXN_INTERVAL;
        self.drain_decisions();
        let txn = self.make_txn(rule, object);
        let (id, left) = (txn.id, txn.time_left);
        self.next_txn += 1;
        if self.scenario.purged {
            self.gateway.purge(self.now, PrefixSet::object(object), Span::ZERO);
        }
        self.gateway.submit(self.now, txn);
        let mut way = Trace { object, hops: Vec::new(), result: None };
        for _ in 0..MAX_DECISIONS {
            match self.gateway.poll(self.now) {
                Some(Decision::Hop { txn, member, fill, .. }) if txn == id => {
                    let Some(&member) = self.by_id.get(&member) else { return way };
                    let source = fill.as_ref().and_then(|f| self.by_id.get(&f.source)).copied();
                    let source = source.filter(|&s| s != member);
                    let (end, note) = self.hop_result(member, source, fill.as_ref());
                    let (hop, closed) = (way.hops.len() as u32, end == HopStatus::Completed);
                    let oldest = fill.and_then(|f| f.max_age);
                    way.hops.push(TraceHop { member, source, max_age: oldest, status: end });
                    let took = if end == HopStatus::TimedOut { left * 0.25 } else { ANSWER_DELAY };
                    self.now += took;
                    let (first_byte, load) = (Some(ANSWER_DELAY), LoadReport::default());
                    self.gateway.record_outcome(
                        self.now,
                        Outcome {
                            txn,
                            hop,
                            status: end,
                            duration: took,
                            answered: closed,
                            cache_status: note,
                            first_byte,
                            load,
                        },
                    );
                    if closed {
                        way.result = Some(Final::Served);
                        return way;
                    }
                }
                Some(Decision::Reject { txn, retry_after: come_back }) if txn == id => {
                    way.result = Some(Final::Rejected(come_back));
                    return way;
                }
                Some(Decision::Abort { txn }) if txn == id => {
                    way.result = Some(Final::Aborted);
                    return way;
                }
                Some(_) => {}
                None => return way,
            }
        }
        way
    }
}
