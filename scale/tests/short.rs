//! All short ladders that need no program beside them, as CI plays them: one file, laws that hold
//! whatever the machine's speed, and the same figures again.

use kelpcart_scale::benchmarks::{MODULES, feed};
use kelpcart_scale::capacity::{self, ROLES, Source};
use kelpcart_scale::fit::{self, GrowthLaw, Statistic};
use kelpcart_scale::slopes::{Series, Slopes};
use kelpcart_scale::target::Target;
use std::sync::LazyLock;

fn file(ladders: Vec<Series>) -> Slopes {
    Slopes { seed: 1, quick: true, peak_memory: 0, ladders }
}

/// All, and the feed's a second time; one after the other, since bytes are counted over the process.
static PLAYED: LazyLock<(Slopes, Vec<Series>)> = LazyLock::new(|| {
    let simulated = MODULES.iter().filter(|(name, _)| *name != "data-path");
    let all = simulated.flat_map(|(_, measure)| measure(1, true)).collect();
    (file(all), feed::measure(1, true))
});

fn ladder(id: &str) -> &'static Series {
    PLAYED.0.get(id).unwrap_or_else(|| panic!("{id}"))
}

/// The last size over one of about a third of it, and the same of the values.
fn grows(id: &str, figure: Statistic) -> (f64, f64) {
    let points = &ladder(id).points;
    let last = &points[points.len() - 1];
    let first = points.iter().find(|p| p.at * 3.0 >= last.at).unwrap();
    (last.at / first.at, figure.of(last).unwrap() / figure.of(first).unwrap())
}

#[test]
fn they_make_one_file_in_which_rows_find_their_ladders() {
    let short = &PLAYED.0;
    short.check().unwrap();
    let read = Slopes::read(&serde_json::to_string(short).unwrap()).unwrap();
    assert!(read.ladders.iter().map(|l| &l.id).eq(short.ladders.iter().map(|l| &l.id)));
    // These need the program, and faults are played in full only.
    let long =
        |id: &str| ["data-path.", "loopback.", "feed-", "control-", "hub-"].iter().any(|l| id.starts_with(l));
    let rows = ROLES.iter().flat_map(|r| r.rows);
    let reads =
        rows.filter_map(|row| if let Source::Fitted(reads) = &row.source { Some(*reads) } else { None });
    let ids = reads.flatten().map(|r| r.id).filter(|id| !long(id));
    let missing: Vec<&str> = ids.filter(|id| short.get(id).is_none()).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

/// Two and a half times the gateways, and a site's own cost is no greater: only what is gathered over few seconds moves.
#[test]
fn what_a_gateway_spends_on_the_feed_hardly_grows_with_the_installation() {
    for id in ["control.bytes-in.by-gateways", "control.bytes-out.by-gateways"] {
        let (sizes, values) = grows(id, Statistic::Mean);
        assert!(sizes >= 2.0 && values < 1.5, "{id}: {values} at {sizes} times the gateways");
    }
    let target = Target::read(&std::fs::read_to_string("../deploy/target.json").unwrap()).unwrap();
    let delay = &ladder("feed.delay.by-gateways").points;
    assert!(delay.iter().all(|p| p.worst < target.purges.within_ms as f64), "{delay:?}");
}

/// Why the relayed list goes no further: the one that sends most sends to all the more, the more there are.
#[test]
fn the_relayed_list_costs_its_busiest_gateway_the_more_the_more_there_are() {
    let (sizes, worst) = grows("fleet.bytes-out.by-gateways", Statistic::Worst);
    assert!(sizes >= 2.0 && worst >= 0.9 * sizes, "{worst} at {sizes} times the gateways");
    assert!(grows("fleet.bytes-out.by-gateways", Statistic::Mean).1 < 1.5);
}

#[test]
fn what_the_module_keeps_grows_with_the_caches_listed() {
    let fit = fit::fit_series(ladder("module.kept.by-caches"), Statistic::Mean).unwrap();
    assert_eq!(fit.curve.law, GrowthLaw::Linear);
    assert!(fit.error < 1e-6);
}

#[test]
fn one_seed_gives_the_feed_s_figures_and_their_verdicts_again() {
    let (short, again) = &*PLAYED;
    let untimed = |l: &&Series| !l.timed && l.unit != "B";
    for l in again.iter().filter(untimed) {
        assert_eq!(l, ladder(&l.id), "other figures");
    }
    let target = Target::read(&std::fs::read_to_string("../deploy/target.json").unwrap()).unwrap();
    let of = |all: &[Series]| {
        let kept = all.iter().filter(|l| l.id.starts_with("feed.") && untimed(l)).cloned().collect();
        serde_json::to_string(&capacity::verdicts(&file(kept), &target)).unwrap()
    };
    assert_eq!(of(again), of(&short.ladders));
}
