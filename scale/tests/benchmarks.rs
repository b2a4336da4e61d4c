//! The series of single roles have at least five sizes, unique ids and reproducible counts with the expected values.

use kelpcart_scale::benchmarks::{data_path, module, roles};
use kelpcart_scale::slopes::Series;
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Serializes the tests, because memory is measured for the whole process.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn check_complete(all: &[Series]) {
    let ids: BTreeSet<&str> = all.iter().map(|l| l.id.as_str()).collect();
    assert_eq!(ids.len(), all.len(), "duplicate series id");
    for l in all {
        assert!(l.points.len() >= 5, "{}", l.id);
        assert!(l.points.windows(2).all(|p| p[0].at < p[1].at), "{}", l.id);
        assert!(l.points.iter().all(|p| p.mean.is_finite() && p.mean <= p.worst), "{}", l.id);
        assert!(!l.fixed.contains_key(&l.over), "{}", l.id);
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
        assert!(std::path::Path::new(root).join(&l.mechanism).is_file(), "{}", l.mechanism);
    }
}

fn counts(all: &[Series]) -> Vec<&Series> {
    all.iter().filter(|l| !l.timed).collect()
}

#[test]
fn the_module_serves_all_txns_and_keeps_two_entries_per_cache() {
    let _alone = alone();
    let all = module::measure(3, true);
    check_complete(&all);
    assert_eq!(counts(&all), counts(&module::measure(3, true)), "counts differ with the same seed");
    for l in all.iter().filter(|l| l.id.starts_with("module.refused")) {
        assert!(l.points.iter().all(|p| p.worst == 0.0), "{}: rejected txns would distort the costs", l.id);
    }
    let kept = all.iter().find(|l| l.id == "module.kept.by-caches").expect("series");
    for pair in kept.points.windows(2) {
        // Each cache has one entry by index and one by id.
        assert_eq!(pair[1].mean - pair[0].mean, 2.0 * (pair[1].at - pair[0].at));
    }
}

fn means(all: &[Series], id: &str) -> Vec<f64> {
    all.iter().find(|l| l.id == id).expect("series").points.iter().map(|p| p.mean).collect()
}

#[test]
fn the_other_roles_stay_within_their_bounds_at_all_sizes() {
    let _alone = alone();
    let all = roles::measure(3, true);
    check_complete(&all);
    assert_eq!(counts(&all), counts(&roles::measure(3, true)), "counts differ with the same seed");
    let zone_caches = means(&all, "connections.caches.by-zone-caches");
    assert_eq!(zone_caches, [5.0, 10.0, 20.0, 37.0, 75.0], "only caches of the own zone");
    // Capacity of a cold cache of 400 transfers at the end of the window: twice 0.2 + 0.8 * 3 / 15 of it, at 24 ms each.
    let capacity = 2.0 * 0.36 * 400.0 / 0.024;
    let at = all.iter().find(|l| l.id == "cold.txns-at-a-cache.by-zone-gateways").expect("series");
    assert!(at.points.iter().all(|p| p.worst <= capacity), "{at:?}");
    assert_eq!(means(&all, "budgets.lent-part.by-gateways"), [1.0; 5], "all have room in the budget");
    assert_eq!(means(&all, "failover.gateways-heard.by-gateways")[..3], [25.0, 100.0, 267.0]);
}

#[test]
fn the_gateway_binary_is_measured_if_present() {
    let _alone = alone();
    match data_path::run(3, true) {
        Ok(all) => {
            let spent = all.iter().filter(|l| l.id.starts_with("data-path.processor"));
            assert!(spent.clone().count() == 2 && spent.flat_map(|l| &l.points).all(|p| p.mean > 0.0));
        }
        Err(data_path::Error::BinaryNotFound(path)) => eprintln!("not run: no program at {}", path.display()),
        Err(why) => panic!("{why}"),
    }
}
