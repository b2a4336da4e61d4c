//! A small installation for tests: one zone of caches, two parents and an origin, with the time passed to each call.
#![allow(dead_code, reason = "each test file uses its part")]

use kelpcart::interface::*;
use kelpcart::{Gateway, Span, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

pub const EDGE: usize = 0;
pub const PARENT: usize = 1;
pub const ORIGIN: usize = 2;

pub fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

pub fn at(n: u64) -> Time {
    Time::from_micros(60_000_000 + n * 1_000)
}

pub fn rule(effect: Effect) -> RemapRule {
    RemapRule {
        effect,
        dedup_scope: DedupScope::Zone,
        dedup_window: ms(3_000),
        sla: ms(400),
        sla_size_factor: 1.5,
        max_age: Span::ZERO,
        max_stale: Span::ZERO,
        is_write: effect == Effect::Unrepeatable,
    }
}

pub fn settings() -> Settings {
    Settings {
        gateways: 2,
        zone_gateways: 2,
        zone: 0,
        rules: vec![rule(Effect::Repeatable), rule(Effect::Keyed), rule(Effect::Unrepeatable)],
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        client_rate: 1_000.0,
        capacities_known: true,
        bypass_allowed: true,
        coalescing: true,
        sibling_fills: FillScope::All,
        cancellation: true,
        retry_after_allowed: true,
        max_retry_after: ms(1_000),
        max_hops: 6,
        connect_timeout: ms(400),
        cache_cold_start: ColdStart {
            initial_share: 0.2,
            warm_up: ms(10_000),
            overload_factor: 2.0,
            overload_window: ms(2_000),
        },
        parent_cold_start: ColdStart {
            initial_share: 0.1,
            warm_up: ms(20_000),
            overload_factor: 2.0,
            overload_window: ms(2_000),
        },
        purge_propagation: ms(6_000),
        subscription_required: false,
        subscribe_within: ms(10_000),
        tick: ms(2),
    }
}

pub fn member(id: &str, kind: usize) -> Member {
    let state = MemberState::Up;
    let (zone, cell) = (Some(0), Some(0));
    Member { id: Arc::from(id), zone, kind, cell, state, capacity: 8.0, started: None, remote: false }
}

pub fn fleet() -> Vec<Member> {
    let edges = ["e1", "e2", "e3", "e4"].map(|id| member(id, EDGE));
    let others = [member("p1", PARENT), member("p2", PARENT), member("o", ORIGIN)];
    edges.into_iter().chain(others).collect()
}

pub fn txn(id: TxnId, rule: usize, object: u64) -> Txn {
    let (group, part, is_write, size, time_left) = (object % 8, 0, false, Some(100.0), ms(2_000));
    Txn { id, rule, object, group, part, is_write, size, time_left, ..Txn::default() }
}

pub struct World {
    pub gateway: Gateway,
    hops: BTreeMap<TxnId, u32>,
}

impl World {
    pub fn new(settings: Settings) -> World {
        let mut gateway = Gateway::new(settings, 7, at(0));
        gateway.update_members(at(0), true, fleet());
        World { gateway, hops: BTreeMap::new() }
    }

    /// Polls until nothing is due.
    pub fn poll_all(&mut self, now: Time) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(decision) = self.gateway.poll(now) {
            if let Decision::Hop { txn, .. } = &decision {
                *self.hops.entry(*txn).or_default() += 1;
            }
            decisions.push(decision);
        }
        decisions
    }

    pub fn submit(&mut self, now: Time, txn: Txn) -> Vec<Decision> {
        self.gateway.submit(now, txn);
        self.poll_all(now)
    }

    /// Ends the txn's last hop.
    pub fn end_hop(
        &mut self,
        now: Time,
        txn: TxnId,
        status: HopStatus,
        cache_status: Option<CacheStatus>,
    ) -> Vec<Decision> {
        self.end_hop_after(now, txn, status, cache_status, ms(50), LoadReport::default())
    }

    pub fn end_hop_after(
        &mut self,
        now: Time,
        txn: TxnId,
        status: HopStatus,
        cache_status: Option<CacheStatus>,
        duration: Span,
        load: LoadReport,
    ) -> Vec<Decision> {
        let hop = self.hops[&txn] - 1;
        let (answered, first_byte) = (status == HopStatus::Completed, Some(ms(20)));
        self.gateway.record_outcome(
            now,
            Outcome { txn, hop, status, duration, answered, cache_status, first_byte, load },
        );
        self.poll_all(now)
    }
}
