//! The short series of the fleet and the feed are complete and reproducible with their seed, and the simulated feed network
//! detects gateways that missed a change.

use kelpcart_scale::benchmarks::{feed, fleet};
use kelpcart_scale::feed_net::{Net, Shape};
use kelpcart_scale::fleet_net::ms;
use kelpcart_scale::memory;
use kelpcart_scale::slopes::Series;
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Serializes the tests, because they measure the memory of the whole process.
fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn check_complete(all_series: &[Series]) {
    let ids: BTreeSet<&str> = all_series.iter().map(|l| l.id.as_str()).collect();
    assert_eq!(ids.len(), all_series.len());
    for l in all_series {
        assert!(l.points.len() >= 5, "{}", l.id);
        assert!(l.points.windows(2).all(|p| p[0].at < p[1].at), "{}", l.id);
        let may_be_zero = l.unit == "count";
        let valid = |p: &kelpcart_scale::slopes::Sample| p.worst >= p.mean && (p.mean > 0.0 || may_be_zero);
        assert!(l.points.iter().all(valid), "{}: {:?}", l.id, l.points);
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
        assert!(std::path::Path::new(root).join(&l.mechanism).is_file(), "{}", l.mechanism);
    }
}

/// Leaves out memory, which is that of the whole process.
fn counts(all: &[Series]) -> Vec<&Series> {
    all.iter().filter(|l| !l.timed && l.unit != "B").collect()
}

#[test]
fn the_short_fleet_series_are_complete_and_reproducible() {
    let _alone = alone();
    let first = fleet::measure(1, true);
    check_complete(&first);
    assert_eq!(counts(&first), counts(&fleet::measure(1, true)));
}

#[test]
fn the_short_feed_series_are_complete_and_no_purge_is_late() {
    let _alone = alone();
    let all = feed::measure(1, true);
    check_complete(&all);
    let late = all.iter().filter(|l| l.id.starts_with("feed.late"));
    assert!(late.clone().count() == 5 && late.flat_map(|l| &l.points).all(|p| p.mean == 0.0));
}

#[test]
fn a_gateway_that_missed_a_change_is_detected() {
    let _alone = alone();
    let mut net = Net::new(Shape { gateways: 24, sites: 2 }, 7);
    net.check_every = 1;
    net.start_all();
    net.run_for(ms(4_000));
    net.check_delivered().unwrap();
    net.purges_per_s = 40.0;
    net.run_for(ms(3_000));
    net.purges_per_s = 0.0;
    net.run_for(ms(3_000));
    net.check_delivered().unwrap();
    assert!(net.all_confirmed() && net.purge_delays.len() > 100, "{}", net.purge_delays.len());
    // One gateway receives nothing while some purges are published.
    let one = net.gateways().last().unwrap();
    (0..one).for_each(|i| _ = net.sim.down_links.insert((i, one)));
    net.purges_per_s = 40.0;
    net.run_for(ms(1_000));
    net.purges_per_s = 0.0;
    net.run_for(ms(1_500));
    let error = net.check_delivered().unwrap_err();
    assert!(error.starts_with(&format!("g{one} ")) && !net.all_confirmed(), "{error}");
    net.sim.down_links.clear();
    net.run_for(ms(15_000));
    net.check_delivered().unwrap();
    assert!(net.all_confirmed());
}

#[test]
fn a_size_that_needs_over_half_of_the_memory_is_rejected() {
    let _alone = alone();
    assert_eq!(memory::total("MemTotal:       2048 kB\nMemFree: 3 kB\n"), Some(2_048 * 1_024));
    assert!(memory::fits(1 << 20).is_ok());
    assert!(matches!(memory::fits(1 << 60), Err(memory::MemoryError::TooLarge { .. })));
    assert!(memory::peak() >= memory::allocated() && memory::allocated() > 0);
}
