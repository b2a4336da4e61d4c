//! Measures what purges cost a read: mean time from a txn's arrival to its first hop, without purges, with 150 purges of
//! single objects a second that are kept for 31 s, and with 62 sets of 75 hash prefixes. Prints microseconds.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{World, at, ms, settings, txn};
use kelpcart::hash_prefix::{PrefixSet, object_hash};
use kelpcart::interface::{CacheStatus, HopStatus};
use std::time::Instant;

const READS: u64 = 100_000;
const PURGES: u64 = 150 * 31;

fn main() {
    let prefix_set = |i: u64| PrefixSet::new(40, (i * 75..(i + 1) * 75).map(object_hash));
    let exact = (0..PURGES).map(PrefixSet::object).collect();
    for (label, purges) in [
        ("none", Vec::new()),
        ("150 x 31 exact purges", exact),
        ("62 sets of 75 prefixes of 40 bits", (0..62).map(prefix_set).collect()),
    ] {
        let (add_us, read_us) = cost(&purges);
        println!("{label}: {add_us:.2} us to add a set, {read_us:.2} us a read");
    }
}

/// Microseconds to add one set, and for a read.
fn cost(purges: &[PrefixSet]) -> (f64, f64) {
    let mut world = World::new(settings());
    world.poll_all(at(0));
    let started = Instant::now();
    for set in purges {
        world.gateway.purge(at(0), set.clone(), ms(500));
    }
    let add_us = started.elapsed().as_secs_f64() * 1e6 / purges.len().max(1) as f64;
    let started = Instant::now();
    for id in 0..READS {
        world.submit(at(0), txn(id, 0, PURGES + id));
        world.end_hop(at(0), id, HopStatus::Completed, Some(CacheStatus::Held));
    }
    (add_us, started.elapsed().as_secs_f64() * 1e6 / READS as f64)
}
