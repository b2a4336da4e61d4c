//! Verdicts follow from series, size and budget, and the tables of docs/CAPACITY.md match the committed slopes and target.

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

fn series(id: &str, over: &str, sizes: &[f64], value: impl Fn(f64) -> f64) -> Series {
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
fn a_row_without_measurements_fails() {
    let verdicts = capacity::verdicts(&slopes(Vec::new()), &target());
    for v in verdicts {
        assert_eq!(v.state == State::NotMeasured, !v.ladders.is_empty(), "{}", v.what);
        assert_eq!(v.fails(), !v.ladders.is_empty() && !v.before, "{}", v.what);
    }
}

#[test]
fn a_row_is_green_within_its_budget_and_red_above_it() {
    let sizes = [25.0, 100.0, 1_000.0, 8_000.0];
    let within_budget = series(IN, "gateways", &sizes, |n| 1_000.0 + 0.1 * n);
    let above_budget = series(OUT, "gateways", &sizes, |n| 1_000.0 + 0.3 * n);
    let both = BOTH.map(|id| series(id, "gateways", &sizes, |n| 2_000.0 + 0.1 * n));
    let verdicts =
        capacity::verdicts(&slopes([vec![within_budget, above_budget], both.to_vec()].concat()), &target());
    let within = &rows(&verdicts, &[IN])[0];
    assert_eq!((within.state, within.value, within.share), (State::Green, Some(1_800.0), Some(0.6)));
    let above = &rows(&verdicts, &[OUT])[0];
    assert_eq!((above.state, above.value), (State::Red, Some(3_400.0)));
    let both = &rows(&verdicts, &BOTH)[0];
    assert_eq!((both.state, both.value, both.budget), (State::Green, Some(5_600.0), Some(6_000.0)));
}

/// A short series far below the target fits several laws; a row is green only if all of them stay within the budget.
#[test]
fn a_row_is_not_green_if_an_alternative_law_exceeds_the_budget() {
    let sizes = [100.0, 110.0, 120.0, 130.0];
    let short = series(IN, "gateways", &sizes, |n| 300.0 + n / 6.0 * if n == 110.0 { 1.2 } else { 1.0 });
    let verdicts = capacity::verdicts(&slopes(vec![short]), &target());
    let row = &rows(&verdicts, &[IN])[0];
    assert_eq!(row.state, State::Uncertain, "{row:?}");
    assert!(row.fails() && row.basis.contains("×61.5 beyond"), "{row:?}");
}

#[test]
fn breaking_points_are_reported_with_their_sizes() {
    let sizes = [25.0, 100.0, 1_000.0, 8_000.0];
    let both = BOTH.map(|id| series(id, "gateways", &sizes, |n| 1_000.0 + 0.1 * n));
    let breaks = capacity::breaking_points(&slopes(both.to_vec()), &target());
    let sizes_and_times: Vec<(f64, f64)> =
        breaks.iter().map(|b| (b.size.round(), (b.times * 100.0).round())).collect();
    assert_eq!(
        sizes_and_times,
        [(5_000.0, 63.0), (5_000.0, 63.0), (20_000.0, 250.0), (20_000.0, 250.0), (20_000.0, 250.0)]
    );
}

#[test]
fn fault_severity_has_no_breaking_point() {
    let lossy = series("feed-lossy.delay.by-lost-part", "lost_part", &[0.01, 0.05, 0.1], |n| 1e5 * n);
    let slopes = slopes(vec![lossy]);
    let verdicts = capacity::verdicts(&slopes, &target());
    assert_eq!(rows(&verdicts, &["feed-lossy.delay.by-lost-part"])[0].state, State::Red);
    assert!(capacity::breaking_points(&slopes, &target()).is_empty());
}

/// The relayed list exceeds its budget, but the feed has replaced it.
#[test]
fn superseded_rows_are_reported_but_do_not_fail() {
    let list = series("fleet.bytes-in.by-gateways", "gateways", &[25.0, 100.0, 1_000.0], |n| 100.0 * n);
    let slopes = slopes(vec![list]);
    let row = &rows(&capacity::verdicts(&slopes, &target()), &["fleet.bytes-in.by-gateways"])[0];
    assert!(row.state == State::Red && !row.fails(), "{row:?}");
    assert!(capacity::breaking_points(&slopes, &target()).is_empty());
}

#[test]
fn pages_with_invalid_markers_are_rejected() {
    let (none, target) = (slopes(Vec::new()), target());
    let page = |text: &str| capacity::page(text, &none, &target);
    assert_eq!(page("<!-- table: nobody -->\n"), Err(PageError::UnknownRole("nobody".to_owned())));
    assert_eq!(page("<!-- table: module -->\n"), Err(PageError::Unterminated("module".to_owned())));
    assert!(matches!(page("no table\n"), Err(PageError::NotOnce(_))));
}

#[test]
fn mechanisms_are_files_in_the_repository() {
    for row in capacity::ROLES.iter().flat_map(|r| r.rows) {
        let path = format!("{}/../{}", env!("CARGO_MANIFEST_DIR"), row.mechanism);
        assert!(std::path::Path::new(&path).is_file(), "{}: {}", row.label, row.mechanism);
    }
}

#[test]
fn remeasured_series_replace_old_ones() {
    let old = slopes(vec![series(IN, "gateways", &[1.0], |_| 1.0), series(OUT, "gateways", &[1.0], |_| 1.0)]);
    let new = slopes(vec![series(OUT, "gateways", &[1.0], |_| 2.0)]).merged_with(old).unwrap();
    assert_eq!(new.ladders.len(), 2);
    assert_eq!(new.get(OUT).unwrap().points[0].mean, 2.0);
    let mut full = slopes(Vec::new());
    full.quick = false;
    assert!(full.merged_with(new).is_err());
}

#[test]
fn invalid_slopes_are_rejected_with_the_series_id() {
    let twice =
        slopes(vec![series(IN, "gateways", &[1.0], |_| 1.0), series(IN, "gateways", &[1.0], |_| 1.0)]);
    assert!(twice.check().unwrap_err().to_string().contains(IN));
    let falling = slopes(vec![series(IN, "gateways", &[2.0, 1.0], |_| 1.0)]);
    assert!(falling.check().unwrap_err().to_string().contains("sizes"));
}

/// After new measurements, update the page with `kelpcart-scale capacity --slopes scale/slopes.json --target deploy/target.json --page docs/CAPACITY.md`.
#[test]
fn the_page_matches_the_committed_slopes_and_target() {
    let slopes = Slopes::read(&file("scale/slopes.json")).unwrap();
    let page = file("docs/CAPACITY.md");
    assert_eq!(page, capacity::page(&page, &slopes, &target()).unwrap());
    assert!(!slopes.quick);
}
