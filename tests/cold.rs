//! Many gateways that know nothing of one another and a cache that has started cold: what all of them send it, hops and
//! further ones, after restarts of their own too, stays within what it bears.

mod common;

use common::*;
use kelpcart::interface::*;
use kelpcart::{Gateway, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// The sending time of the mean txn, in seconds.
const SENDING: f64 = 0.1;

struct Day {
    sharers: u32,
    sized: bool,
    /// Of the caches, so many have started just now, at most all four.
    cold: usize,
    size: f64,
    /// Gateways are restarted, each at its own moment.
    restarts: bool,
    seed: u64,
}

/// Hops out: when they end, of which gateway, and which.
type Out = VecDeque<(Time, usize, TxnId, u32)>;

impl Day {
    fn settings(&self) -> Settings {
        let mut set = settings();
        (set.capacities_known, set.gateways, set.zone_gateways) = (self.sized, self.sharers, self.sharers);
        (set.bypass_allowed, set.sibling_fills) = (false, FillScope::Off);
        set
    }

    fn list(&self) -> Vec<Member> {
        let mut list = fleet();
        for (i, m) in list.iter_mut().enumerate() {
            m.capacity = if m.kind == EDGE { self.size } else { 1_000.0 };
            m.started = (i < self.cold).then(|| at(0));
        }
        list
    }

    /// The most that the cold caches got in any span, over what they bear then: (N + 2 root N + 2); and how many in all.
    fn play(&self) -> (f64, usize) {
        let (set, list) = (self.settings(), self.list());
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let start = |seed, now| {
            let mut gateway = Gateway::new(set.clone(), seed, now);
            gateway.update_members(now, true, list.clone());
            gateway
        };
        let mut gateways: Vec<Gateway> = (0..self.sharers).map(|i| start(i.into(), at(0))).collect();
        let ends = set.cache_cold_start.warm_up;
        let restarts = (0..self.sharers).map(|_| at(rng.random_range(0..ends.as_micros() / 1_000)));
        let mut restarts: Vec<Option<Time>> = restarts.map(|at| self.restarts.then_some(at)).collect();
        // Some gateways see several times the mean.
        let shares: Vec<f64> = (0..self.sharers).map(|i| 1.0 / f64::from(1 + i % 5)).collect();
        let all: f64 = shares.iter().sum();
        let rate = 0.7 * 4.0 * self.size / SENDING;
        let (mut out, mut sent, mut next) = (Out::new(), BTreeMap::<MemberId, Vec<Time>>::new(), 0);
        let mut hops = BTreeMap::<TxnId, u32>::new();
        for tick in 0..ends.as_micros() / 2_000 {
            let now = at(tick * 2);
            for i in 0..gateways.len() {
                if restarts[i].take_if(|at| *at <= now).is_some() {
                    gateways[i] = start(rng.random(), now);
                    out.retain(|o| o.1 != i);
                }
                let mut come = rate * shares[i] / all * 0.002;
                while rng.random::<f64>() < come {
                    come -= 1.0;
                    next += 1;
                    let mut txn = txn(next, 0, rng.random_range(0..400));
                    txn.size = self.sized.then_some(100.0);
                    gateways[i].submit(now, txn);
                }
            }
            while out.front().is_some_and(|o| o.0 <= now) {
                let (_, i, txn, hop) = out.pop_front().unwrap();
                let (end, took) = (HopStatus::Completed, ms(100));
                let (note, load) = (Some(CacheStatus::Held), LoadReport::default());
                let first_byte = None;
                gateways[i].record_outcome(
                    now,
                    Outcome {
                        txn,
                        hop,
                        status: end,
                        duration: took,
                        answered: true,
                        cache_status: note,
                        first_byte,
                        load,
                    },
                );
            }
            for (i, gateway) in gateways.iter_mut().enumerate() {
                while let Some(decision) = gateway.poll(now) {
                    let Decision::Hop { txn, member, .. } = decision else { continue };
                    let hop = hops.entry(txn).or_default();
                    out.push_back((now + ms(100), i, txn, *hop));
                    *hop += 1;
                    sent.entry(member).or_default().push(now);
                }
            }
        }
        let cold: Vec<&Vec<Time>> = list[..self.cold].iter().filter_map(|m| sent.get(&m.id)).collect();
        let mut worst: f64 = 0.0;
        for times in &cold {
            for (i, at_end) in times.iter().enumerate() {
                let in_span = times[..=i]
                    .iter()
                    .filter(|t| *at_end - **t < set.cache_cold_start.overload_window)
                    .count();
                let age = (*at_end - at(0)) / ends;
                let present =
                    set.cache_cold_start.initial_share + (1.0 - set.cache_cold_start.initial_share) * age;
                let capacity = present * self.size / SENDING;
                let n = set.cache_cold_start.overload_factor
                    * capacity
                    * set.cache_cold_start.overload_window.as_secs_f64();
                worst = worst.max(in_span as f64 / (n + 2.0 * n.sqrt() + 2.0));
            }
        }
        (worst, cold.iter().map(|times| times.len()).sum())
    }
}

#[test]
fn a_cold_cache_bears_the_sum_over_all_gateways() {
    for sharers in [1, 3, 20, 30] {
        for size in [0.5, 1.0, 4.0] {
            for (cold, restarts) in [(1, false), (1, true), (4, true)] {
                for sized in [true, false] {
                    let (worst, sent) = Day { sharers, sized, cold, size, restarts, seed: 3 }.play();
                    let day = format!("{sharers} gateways, {cold} cold of {size}, {restarts}, {sized}");
                    assert!(worst <= 1.0, "{day}: {worst} of what they bear, {sent} in all");
                }
            }
        }
    }
}
