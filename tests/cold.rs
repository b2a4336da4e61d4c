//! Many gateways without knowledge of one another and caches that have just started: what all of them together send to
//! a cold cache, retries and hops after their own restarts included, stays below the load that would bring it down.

mod common;

use common::*;
use kelpcart::interface::*;
use kelpcart::{Gateway, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Transfer time of the mean txn, in seconds.
const TRANSFER_SECS: f64 = 0.1;

struct Scenario {
    gateway_count: u32,
    capacities_known: bool,
    /// The number of caches, of four, that have just started.
    cold_caches: usize,
    cache_capacity: f64,
    /// Each gateway restarts at a random time.
    restarts: bool,
    seed: u64,
}

/// Hops in flight: when they end, their gateway, and their id.
type InFlight = VecDeque<(Time, usize, TxnId, u32)>;

impl Scenario {
    fn settings(&self) -> Settings {
        let mut set = settings();
        (set.capacities_known, set.gateways, set.zone_gateways) =
            (self.capacities_known, self.gateway_count, self.gateway_count);
        (set.bypass_allowed, set.sibling_fills) = (false, FillScope::Off);
        set
    }

    fn list(&self) -> Vec<Member> {
        let mut list = fleet();
        for (i, m) in list.iter_mut().enumerate() {
            m.capacity = if m.kind == EDGE { self.cache_capacity } else { 1_000.0 };
            m.started = (i < self.cold_caches).then(|| at(0));
        }
        list
    }

    /// The highest number of hops that a cold cache got within an overload window over the number N that it sustains then,
    /// as a fraction of N + 2 sqrt(N) + 2; and the number of hops to cold caches in total.
    fn run(&self) -> (f64, usize) {
        let (set, list) = (self.settings(), self.list());
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let start = |seed, now| {
            let mut gateway = Gateway::new(set.clone(), seed, now);
            gateway.update_members(now, true, list.clone());
            gateway
        };
        let mut gateways: Vec<Gateway> = (0..self.gateway_count).map(|i| start(i.into(), at(0))).collect();
        let warm_up = set.cache_cold_start.warm_up;
        let restarts = (0..self.gateway_count).map(|_| at(rng.random_range(0..warm_up.as_micros() / 1_000)));
        let mut restarts: Vec<Option<Time>> = restarts.map(|at| self.restarts.then_some(at)).collect();
        // Some gateways get several times the mean traffic.
        let shares: Vec<f64> = (0..self.gateway_count).map(|i| 1.0 / f64::from(1 + i % 5)).collect();
        let share_sum: f64 = shares.iter().sum();
        let rate = 0.7 * 4.0 * self.cache_capacity / TRANSFER_SECS;
        let (mut in_flight, mut sent, mut next) =
            (InFlight::new(), BTreeMap::<MemberId, Vec<Time>>::new(), 0);
        let mut hops = BTreeMap::<TxnId, u32>::new();
        for tick in 0..warm_up.as_micros() / 2_000 {
            let now = at(tick * 2);
            for i in 0..gateways.len() {
                if restarts[i].take_if(|at| *at <= now).is_some() {
                    gateways[i] = start(rng.random(), now);
                    in_flight.retain(|o| o.1 != i);
                }
                let mut expected = rate * shares[i] / share_sum * 0.002;
                while rng.random::<f64>() < expected {
                    expected -= 1.0;
                    next += 1;
                    let mut txn = txn(next, 0, rng.random_range(0..400));
                    txn.size = self.capacities_known.then_some(100.0);
                    gateways[i].submit(now, txn);
                }
            }
            while in_flight.front().is_some_and(|o| o.0 <= now) {
                let (_, i, txn, hop) = in_flight.pop_front().unwrap();
                let (status, duration) = (HopStatus::Completed, ms(100));
                let (cache_status, load) = (Some(CacheStatus::Held), LoadReport::default());
                let first_byte = None;
                gateways[i].record_outcome(
                    now,
                    Outcome { txn, hop, status, duration, answered: true, cache_status, first_byte, load },
                );
            }
            for (i, gateway) in gateways.iter_mut().enumerate() {
                while let Some(decision) = gateway.poll(now) {
                    let Decision::Hop { txn, member, .. } = decision else { continue };
                    let hop = hops.entry(txn).or_default();
                    in_flight.push_back((now + ms(100), i, txn, *hop));
                    *hop += 1;
                    sent.entry(member).or_default().push(now);
                }
            }
        }
        let cold: Vec<&Vec<Time>> = list[..self.cold_caches].iter().filter_map(|m| sent.get(&m.id)).collect();
        let mut worst: f64 = 0.0;
        for times in &cold {
            for (i, at_end) in times.iter().enumerate() {
                let in_window = times[..=i]
                    .iter()
                    .filter(|t| *at_end - **t < set.cache_cold_start.overload_window)
                    .count();
                let age = (*at_end - at(0)) / warm_up;
                let current_share =
                    set.cache_cold_start.initial_share + (1.0 - set.cache_cold_start.initial_share) * age;
                let capacity = current_share * self.cache_capacity / TRANSFER_SECS;
                let n = set.cache_cold_start.overload_factor
                    * capacity
                    * set.cache_cold_start.overload_window.as_secs_f64();
                worst = worst.max(in_window as f64 / (n + 2.0 * n.sqrt() + 2.0));
            }
        }
        (worst, cold.iter().map(|times| times.len()).sum())
    }
}

#[test]
fn a_cold_cache_sustains_the_load_of_all_gateways() {
    for gateway_count in [1, 3, 20, 30] {
        for cache_capacity in [0.5, 1.0, 4.0] {
            for (cold_caches, restarts) in [(1, false), (1, true), (4, true)] {
                for capacities_known in [true, false] {
                    let (worst, sent) = Scenario {
                        gateway_count,
                        capacities_known,
                        cold_caches,
                        cache_capacity,
                        restarts,
                        seed: 3,
                    }
                    .run();
                    let scenario = format!(
                        "{gateway_count} gateways, {cold_caches} cold of {cache_capacity}, {restarts}, {capacities_known}"
                    );
                    assert!(
                        worst <= 1.0,
                        "{scenario}: {worst} of the sustainable load, {sent} hops in total"
                    );
                }
            }
        }
    }
}
