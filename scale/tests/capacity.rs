//! The page's tables are those of the committed slopes and target; a verdict is what its ladder, size and budget give.

use kelpcart_scale::capacity::{self, PageError, State, Verdict};
use kelpcart_scale::slopes::{Host, Sample, Series, Slopes};
use kelpcart_scale::target::Target;
use std::collections::BTreeMap;

fn file(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

fn target() -> Target {
    Target::read(&file("deploy/target.json")).unwrap()
}

fn ladder(id: &str, over: &str, sizes: &[f64], value: impl Fn(f64) -> f64) -> Series {
    let point = |n: &f64| Sample { at: *n, mean: value(*n), worst: 2.0 * value(*n), p50: None, p99: None };
    Series {
        id: id.to_owned(),
        over: over.to_owned(),
        fixed: BTreeMap::new(),
        unit: "B/s".to_owned(),
        host: Host::Simulated,
        mechanism: "feed/src/lib.rs".to_owned(),
        command: "kelpcart-scale measure".to_owned(),
        timed: false,
        points: sizes.iter().map(point).collect(),
    }
}

const IN: &str = "feed.bytes-in.by-gateways";
const OUT: &str = "feed.bytes-out.by-gateways";
const BOTH: [&str; 2] = ["control.bytes-in.by-gateways", "control.bytes-out.by-gateways"];

fn slopes(ladders: Vec<Series>) -> Slopes {
    Slopes { seed: 1, quick: true, peak_memory: 0, ladders }
}

fn rows(verdicts: &[Verdict], ids: &[&str]) -> Vec<Verdict> {
    let rows: Vec<Verdict> = verdicts.iter().filter(|v| v.ladders == ids).cloned().collect();
    assert!(!rows.is_empty(), "{ids:?}");
    rows
}

#[test]
fn a_row_that_nobody_measured_is_red() {
    let verdicts = capacity::verdicts(&slopes(Vec::new()), &target());
    for v in verdicts {
        assert_eq!(v.state == State::NotMeasured, !v.ladders.is_empty(), "{}", v.what);
        assert_eq!(v.fails(), !v.ladders.is_empty() && !v.before, "{}", v.what);
    }
}

#[test]
fn a_row_is_green_within_its_budget_and_red_above() {
    let sizes = [25.0, 100.0, 1_000.0, 8_000.0];
    let slow = ladder(IN, "gateways", &sizes, |n| 1_000.0 + 0.1 * n);
    let fast = ladder(OUT, "gateways", &sizes, |n| 1_000.0 + 0.3 * n);
    let both = BOTH.map(|id| ladder(id, "gateways", &sizes, |n| 2_000.0 + 0.1 * n));
    let verdicts = capacity::verdicts(&slopes([vec![slow, fast], both.to_vec()].concat()), &target());
    let within = &rows(&verdicts, &[IN])[0];
    assert_eq!((within.state, within.value, within.share), (State::Green, Some(1_800.0), Some(0.6)));
    let above = &rows(&verdicts, &[OUT])[0];
    assert_eq!((above.state, above.value), (State::Red, Some(3_400.0)));
    let both = &rows(&verdicts, &BOTH)[0];
    assert_eq!((both.state, both.value, both.budget), (State::Green, Some(5_600.0), Some(6_000.0)));
}

/// A short ladder far below the target could go on in more than one way: that one of them keeps the budget is not enough.
#[test]
fn a_row_that_another_law_breaks_is_not_green() {
    let sizes = [100.0, 110.0, 120.0, 130.0];
    let short = ladder(IN, "gateways", &sizes, |n| 300.0 + n / 6.0 * if n == 110.0 { 1.2 } else { 1.0 });
    let verdicts = capacity::verdicts(&slopes(vec![short]), &target());
    let row = &rows(&verdicts, &[IN])[0];
    assert_eq!(row.state, State::Uncertain, "{row:?}");
    assert!(row.fails() && row.basis.contains("×61.5 beyond"), "{row:?}");
}

#[test]
fn what_breaks_first_is_told_with_its_size() {
    let sizes = [25.0, 100.0, 1_000.0, 8_000.0];
    let both = BOTH.map(|id| ladder(id, "gateways", &sizes, |n| 1_000.0 + 0.1 * n));
    let breaks = capacity::breaking_points(&slopes(both.to_vec()), &target());
    let told: Vec<(f64, f64)> = breaks.iter().map(|b| (b.size.round(), (b.times * 100.0).round())).collect();
    assert_eq!(
        told,
        [(5_000.0, 63.0), (5_000.0, 63.0), (20_000.0, 250.0), (20_000.0, 250.0), (20_000.0, 250.0)]
    );
}

#[test]
fn a_worse_fault_is_no_growth() {
    let lossy = ladder("feed-lossy.delay.by-lost-part", "lost_part", &[0.01, 0.05, 0.1], |n| 1e5 * n);
    let slopes = slopes(vec![lossy]);
    let verdicts = capacity::verdicts(&slopes, &target());
    assert_eq!(rows(&verdicts, &["feed-lossy.delay.by-lost-part"])[0].state, State::Red);
    assert!(capacity::breaking_points(&slopes, &target()).is_empty());
}

/// The relayed list passes its budget, but it is the feed that stands there now.
#[test]
fn what_was_before_is_told_and_has_no_weight() {
    let list = ladder("fleet.bytes-in.by-gateways", "gateways", &[25.0, 100.0, 1_000.0], |n| 100.0 * n);
    let slopes = slopes(vec![list]);
    let row = &rows(&capacity::verdicts(&slopes, &target()), &["fleet.bytes-in.by-gateways"])[0];
    assert!(row.state == State::Red && !row.fails(), "{row:?}");
    assert!(capacity::breaking_points(&slopes, &target()).is_empty());
}

#[test]
fn the_page_is_refused_where_a_table_is_not_whole() {
    let (none, target) = (slopes(Vec::new()), target());
    let page = |text: &str| capacity::page(text, &none, &target);
    assert_eq!(page("<!-- table: nobody -->\n"), Err(PageError::UnknownRole("nobody".to_owned())));
    assert_eq!(page("<!-- table: module -->\n"), Err(PageError::Unterminated("module".to_owned())));
    assert!(matches!(page("no table\n"), Err(PageError::NotOnce(_))));
}

#[test]
fn mechanisms_are_files_of_the_repository() {
    for row in capacity::ROLES.iter().flat_map(|r| r.rows) {
        let path = format!("{}/../{}", env!("CARGO_MANIFEST_DIR"), row.mechanism);
        assert!(std::path::Path::new(&path).is_file(), "{}: {}", row.label, row.mechanism);
    }
}

#[test]
fn slopes_measured_anew_take_the_place_of_old_ones() {
    let old = slopes(vec![ladder(IN, "gateways", &[1.0], |_| 1.0), ladder(OUT, "gateways", &[1.0], |_| 1.0)]);
    let new = slopes(vec![ladder(OUT, "gateways", &[1.0], |_| 2.0)]).merged_with(old).unwrap();
    assert_eq!(new.ladders.len(), 2);
    assert_eq!(new.get(OUT).unwrap().points[0].mean, 2.0);
    let mut full = slopes(Vec::new());
    full.quick = false;
    assert!(full.merged_with(new).is_err());
}

#[test]
fn slopes_that_can_t_be_used_are_refused_by_name() {
    let twice =
        slopes(vec![ladder(IN, "gateways", &[1.0], |_| 1.0), ladder(IN, "gateways", &[1.0], |_| 1.0)]);
    assert!(twice.check().unwrap_err().to_string().contains(IN));
    let falling = slopes(vec![ladder(IN, "gateways", &[2.0, 1.0], |_| 1.0)]);
    assert!(falling.check().unwrap_err().to_string().contains("sizes"));
}

/// After a run: `kelpcart-scale capacity --slopes scale/slopes.json --target deploy/target.json --page docs/CAPACITY.md`.
#[test]
fn the_page_s_tables_are_those_of_the_committed_slopes_and_target() {
    let slopes = Slopes::read(&file("scale/slopes.json")).unwrap();
    let page = file("docs/CAPACITY.md");
    assert_eq!(page, capacity::page(&page, &slopes, &target()).unwrap());
    assert!(!slopes.quick);
}
