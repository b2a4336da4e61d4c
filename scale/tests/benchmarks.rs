//! The ladders of single roles: at least five sizes each, ids of their own, and counts that are as the sizes say.

use kelpcart_scale::benchmarks::{data_path, module, roles};
use kelpcart_scale::slopes::Series;
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Bytes are counted over the process: one test at a time.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn sound(all: &[Series]) {
    let ids: BTreeSet<&str> = all.iter().map(|l| l.id.as_str()).collect();
    assert_eq!(ids.len(), all.len(), "two ladders of one id");
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
fn the_module_decides_on_all_txns_and_keeps_what_it_was_told() {
    let _alone = alone();
    let all = module::measure(3, true);
    sound(&all);
    assert_eq!(counts(&all), counts(&module::measure(3, true)), "one seed, other counts");
    for l in all.iter().filter(|l| l.id.starts_with("module.refused")) {
        assert!(l.points.iter().all(|p| p.worst == 0.0), "{}: what is turned away costs nothing", l.id);
    }
    let kept = all.iter().find(|l| l.id == "module.kept.by-caches").expect("a ladder");
    for pair in kept.points.windows(2) {
        // One entry by place and one by id.
        assert_eq!(pair[1].mean - pair[0].mean, 2.0 * (pair[1].at - pair[0].at));
    }
}

fn means(all: &[Series], id: &str) -> Vec<f64> {
    all.iter().find(|l| l.id == id).expect("a ladder").points.iter().map(|p| p.mean).collect()
}

#[test]
fn the_other_roles_keep_their_bounds_at_all_sizes() {
    let _alone = alone();
    let all = roles::measure(3, true);
    sound(&all);
    assert_eq!(counts(&all), counts(&roles::measure(3, true)), "one seed, other counts");
    let near = means(&all, "connections.caches.by-zone-caches");
    assert_eq!(near, [5.0, 10.0, 20.0, 37.0, 75.0], "only caches of the own zone");
    // What a size of 400 bears cold at the end of the span: twice 0.2 + 0.8 * 3 / 15 of it, 24 ms each.
    let bears = 2.0 * 0.36 * 400.0 / 0.024;
    let at = all.iter().find(|l| l.id == "cold.txns-at-a-cache.by-zone-gateways").expect("a ladder");
    assert!(at.points.iter().all(|p| p.worst <= bears), "{at:?}");
    assert_eq!(means(&all, "budgets.lent-part.by-gateways"), [1.0; 5], "all have room in the budget");
    assert_eq!(means(&all, "failover.gateways-heard.by-gateways")[..3], [25.0, 100.0, 267.0]);
}

#[test]
fn the_program_is_measured_where_it_is_there() {
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
