//! What purges cost a read: mean time from a txn's coming to its first hop, with none kept, with 150 exact purges a
//! second that are kept for 31 s, and with 62 sets of 75 short names. Prints microseconds.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{World, at, ms, settings, txn};
use kelpcart::hash_prefix::{PrefixSet, object_hash};
use kelpcart::interface::{CacheStatus, HopStatus};
use std::time::Instant;

const READS: u64 = 100_000;
const PURGES: u64 = 150 * 31;

fn main() {
    let short = |i: u64| PrefixSet::new(40, (i * 75..(i + 1) * 75).map(object_hash));
    let exact = (0..PURGES).map(PrefixSet::object).collect();
    for (what, purges) in [
        ("none", Vec::new()),
        ("150 x 31 exact purges", exact),
        ("62 sets of 75 names of 40 bits", (0..62).map(short).collect()),
    ] {
        let (told, read) = cost(&purges);
        println!("{what}: {told:.2} us to take a set in, {read:.2} us a read");
    }
}

/// Microseconds to take one set in, and a read.
fn cost(purges: &[PrefixSet]) -> (f64, f64) {
    let mut world = World::new(settings());
    world.pull(at(0));
    let began = Instant::now();
    for names in purges {
        world.gateway.purge(at(0), names.clone(), ms(500));
    }
    let told = began.elapsed().as_secs_f64() * 1e6 / purges.len().max(1) as f64;
    let began = Instant::now();
    for id in 0..READS {
        world.ask(at(0), txn(id, 0, PURGES + id));
        world.end(at(0), id, HopStatus::Completed, Some(CacheStatus::Held));
    }
    (told, began.elapsed().as_secs_f64() * 1e6 / READS as f64)
}
