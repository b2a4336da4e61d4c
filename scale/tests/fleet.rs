//! The short ladders of a fleet and of the feed are whole and come again with their seed; what a network lays wrong, or a
//! gateway leaves out, is seen.

use kelpcart_scale::benchmarks::{feed, fleet};
use kelpcart_scale::feed_net::{Net, Shape};
use kelpcart_scale::fleet_net::ms;
use kelpcart_scale::memory;
use kelpcart_scale::slopes::Series;
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// One test at a time: they weigh the memory of the whole process.
fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn whole(ladders: &[Series]) {
    let ids: BTreeSet<&str> = ladders.iter().map(|l| l.id.as_str()).collect();
    assert_eq!(ids.len(), ladders.len());
    for l in ladders {
        assert!(l.points.len() >= 5, "{}", l.id);
        assert!(l.points.windows(2).all(|p| p[0].at < p[1].at), "{}", l.id);
        let may_be_none = l.unit == "count";
        let told = |p: &kelpcart_scale::slopes::Sample| p.worst >= p.mean && (p.mean > 0.0 || may_be_none);
        assert!(l.points.iter().all(told), "{}: {:?}", l.id, l.points);
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
        assert!(std::path::Path::new(root).join(&l.mechanism).is_file(), "{}", l.mechanism);
    }
}

/// Bytes held are those of the whole process.
fn counts(all: &[Series]) -> Vec<&Series> {
    all.iter().filter(|l| !l.timed && l.unit != "B").collect()
}

#[test]
fn the_short_ladders_of_the_fleet_are_whole_and_come_again() {
    let _alone = alone();
    let first = fleet::measure(1, true);
    whole(&first);
    assert_eq!(counts(&first), counts(&fleet::measure(1, true)));
}

#[test]
fn the_short_ladders_of_the_feed_are_whole_and_nothing_is_late() {
    let _alone = alone();
    let all = feed::measure(1, true);
    whole(&all);
    let late = all.iter().filter(|l| l.id.starts_with("feed.late"));
    assert!(late.clone().count() == 5 && late.flat_map(|l| &l.points).all(|p| p.mean == 0.0));
}

#[test]
fn a_gateway_that_was_not_told_is_seen() {
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
    // One hears nothing for the time of some purges.
    let one = net.gateways().last().unwrap();
    (0..one).for_each(|i| _ = net.sim.down_links.insert((i, one)));
    net.purges_per_s = 40.0;
    net.run_for(ms(1_000));
    net.purges_per_s = 0.0;
    net.run_for(ms(1_500));
    let why = net.check_delivered().unwrap_err();
    assert!(why.starts_with(&format!("g{one} ")) && !net.all_confirmed(), "{why}");
    net.sim.down_links.clear();
    net.run_for(ms(15_000));
    net.check_delivered().unwrap();
    assert!(net.all_confirmed());
}

#[test]
fn a_size_beyond_half_of_the_memory_is_refused() {
    let _alone = alone();
    assert_eq!(memory::total("MemTotal:       2048 kB\nMemFree: 3 kB\n"), Some(2_048 * 1_024));
    assert!(memory::fits(1 << 20).is_ok());
    assert!(matches!(memory::fits(1 << 60), Err(memory::MemoryError::TooLarge { .. })));
    assert!(memory::peak() >= memory::allocated() && memory::allocated() > 0);
}
