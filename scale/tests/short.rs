//! All short series that need no gateway binary, as run in CI: they form a valid slopes file, follow growth laws that do not
//! depend on the machine's speed, and are reproducible.

use kelpcart_scale::benchmarks::{MODULES, feed};
use kelpcart_scale::capacity::{self, ROLES, Source};
use kelpcart_scale::fit::{self, GrowthLaw, Statistic};
use kelpcart_scale::slopes::{Series, Slopes};
use kelpcart_scale::target::Target;
use std::sync::LazyLock;

fn file(ladders: Vec<Series>) -> Slopes {
    Slopes { seed: 1, quick: true, peak_memory: 0, ladders }
}

/// All series, and those of the feed a second time. Run sequentially, because memory is measured for the whole process.
static PLAYED: LazyLock<(Slopes, Vec<Series>)> = LazyLock::new(|| {
    let simulated = MODULES.iter().filter(|(name, _)| *name != "data-path");
    let all = simulated.flat_map(|(_, measure)| measure(1, true)).collect();
    (file(all), feed::measure(1, true))
});

fn series(id: &str) -> &'static Series {
    PLAYED.0.get(id).unwrap_or_else(|| panic!("{id}"))
}

/// Returns the ratio of the last size to one of about a third of it, and the ratio of their values.
fn growth(id: &str, figure: Statistic) -> (f64, f64) {
    let points = &series(id).points;
    let last = &points[points.len() - 1];
    let first = points.iter().find(|p| p.at * 3.0 >= last.at).unwrap();
    (last.at / first.at, figure.of(last).unwrap() / figure.of(first).unwrap())
}

#[test]
fn they_form_a_valid_file_that_covers_all_capacity_rows() {
    let short = &PLAYED.0;
    short.check().unwrap();
    let read = Slopes::read(&serde_json::to_string(short).unwrap()).unwrap();
    assert!(read.ladders.iter().map(|l| &l.id).eq(short.ladders.iter().map(|l| &l.id)));
    // These need the gateway binary, or are fault scenarios, which are not run in quick mode.
    let not_in_quick_run =
        |id: &str| ["data-path.", "loopback.", "feed-", "control-", "hub-"].iter().any(|l| id.starts_with(l));
    let rows = ROLES.iter().flat_map(|r| r.rows);
    let reads =
        rows.filter_map(|row| if let Source::Fitted(reads) = &row.source { Some(*reads) } else { None });
    let ids = reads.flatten().map(|r| r.id).filter(|id| !not_in_quick_run(id));
    let missing: Vec<&str> = ids.filter(|id| short.get(id).is_none()).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

/// At 2.5 times the gateways the cost per gateway stays nearly constant; the margin allows for variation due to batching
/// over a run of a few seconds.
#[test]
fn feed_cost_per_gateway_hardly_grows_with_the_installation() {
    for id in ["control.bytes-in.by-gateways", "control.bytes-out.by-gateways"] {
        let (sizes, values) = growth(id, Statistic::Mean);
        assert!(sizes >= 2.0 && values < 1.5, "{id}: {values} at {sizes} times the gateways");
    }
    let target = Target::read(&std::fs::read_to_string("../deploy/target.json").unwrap()).unwrap();
    let delay = &series("feed.delay.by-gateways").points;
    assert!(delay.iter().all(|p| p.worst < target.purges.within_ms as f64), "{delay:?}");
}

/// The relayed list does not scale, because the busiest gateway's traffic grows linearly with the number of gateways.
#[test]
fn relayed_list_cost_of_the_busiest_gateway_grows_linearly() {
    let (sizes, worst) = growth("fleet.bytes-out.by-gateways", Statistic::Worst);
    assert!(sizes >= 2.0 && worst >= 0.9 * sizes, "{worst} at {sizes} times the gateways");
    assert!(growth("fleet.bytes-out.by-gateways", Statistic::Mean).1 < 1.5);
}

#[test]
fn module_tables_grow_linearly_with_the_listed_caches() {
    let fit = fit::fit_series(series("module.kept.by-caches"), Statistic::Mean).unwrap();
    assert_eq!(fit.curve.law, GrowthLaw::Linear);
    assert!(fit.error < 1e-6);
}

#[test]
fn feed_series_and_verdicts_are_reproducible_with_one_seed() {
    let (short, repeated) = &*PLAYED;
    let untimed = |l: &&Series| !l.timed && l.unit != "B";
    for l in repeated.iter().filter(untimed) {
        assert_eq!(l, series(&l.id), "values differ with the same seed");
    }
    let target = Target::read(&std::fs::read_to_string("../deploy/target.json").unwrap()).unwrap();
    let of = |all: &[Series]| {
        let kept = all.iter().filter(|l| l.id.starts_with("feed.") && untimed(l)).cloned().collect();
        serde_json::to_string(&capacity::verdicts(&file(kept), &target)).unwrap()
    };
    assert_eq!(of(repeated), of(&short.ladders));
}
