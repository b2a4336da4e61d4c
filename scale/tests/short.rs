//! All short ladders that need no program beside them, as CI plays them: one file, laws that hold
//! whatever the machine's speed, and the same figures again.

use kelpcart_scale::capacity;
use kelpcart_scale::fit::{self, Figure, Law};
use kelpcart_scale::ladders::{MODULES, feed};
use kelpcart_scale::slopes::{Ladder, Slopes};
use kelpcart_scale::target::Target;
use std::sync::LazyLock;

fn file(ladders: Vec<Ladder>) -> Slopes {
    Slopes { seed: 1, quick: true, peak_memory: 0, ladders }
}

/// All, and the feed's a second time; one after the other, since bytes are counted over the process.
static PLAYED: LazyLock<(Slopes, Vec<Ladder>)> = LazyLock::new(|| {
    let simulated = MODULES.iter().filter(|(name, _)| *name != "data-path");
    let all = simulated.flat_map(|(_, measure)| measure(1, true)).collect();
    (file(all), feed::measure(1, true))
});

fn ladder(id: &str) -> &'static Ladder {
    PLAYED.0.get(id).unwrap_or_else(|| panic!("{id}"))
}

/// The last value over the first.
fn grows(id: &str, figure: Figure) -> f64 {
    let points = &ladder(id).points;
    figure.of(&points[points.len() - 1]).unwrap() / figure.of(&points[0]).unwrap()
}

#[test]
fn they_make_one_file() {
    let short = &PLAYED.0;
    short.check().unwrap();
    let read = Slopes::read(&serde_json::to_string(short).unwrap()).unwrap();
    assert!(read.ladders.iter().map(|l| &l.id).eq(short.ladders.iter().map(|l| &l.id)));
}

/// Three times the gateways make a site's own cost no greater: only what is measured over few seconds moves.
#[test]
fn what_a_gateway_spends_on_the_feed_hardly_grows_with_the_installation() {
    assert!(ladder("control.bytes-in.by-gateways").points.len() >= 3);
    for id in ["control.bytes-in.by-gateways", "control.bytes-out.by-gateways"] {
        assert!(grows(id, Figure::Mean) < 1.5, "{id}: {}", grows(id, Figure::Mean));
    }
    let target = Target::read(&std::fs::read_to_string("../deploy/target.json").unwrap()).unwrap();
    let delay = &ladder("feed.delay.by-gateways").points;
    assert!(delay.iter().all(|p| p.worst < target.purges.within_ms as f64), "{delay:?}");
}

/// Why the relayed list goes no further: the one that sends most sends to all the more, the more there are.
#[test]
fn the_relayed_list_costs_its_busiest_gateway_the_more_the_more_there_are() {
    assert!(grows("fleet.bytes-out.by-gateways", Figure::Worst) > 3.0);
    assert!(grows("fleet.bytes-out.by-gateways", Figure::Mean) < 1.5);
}

#[test]
fn what_the_module_keeps_grows_with_the_caches_listed() {
    let fit = fit::of_ladder(ladder("module.kept.by-caches"), Figure::Mean).unwrap();
    assert_eq!(fit.curve.law, Law::Linear);
    assert!(fit.error < 1e-6);
}

#[test]
fn one_seed_gives_the_feed_s_figures_and_their_verdicts_again() {
    let (short, again) = &*PLAYED;
    let untimed = |l: &&Ladder| !l.timed && l.unit != "B";
    for l in again.iter().filter(untimed) {
        assert_eq!(l, ladder(&l.id), "other figures");
    }
    let target = Target::read(&std::fs::read_to_string("../deploy/target.json").unwrap()).unwrap();
    let of = |all: &[Ladder]| {
        let kept = all.iter().filter(|l| l.id.starts_with("feed.") && untimed(l)).cloned().collect();
        serde_json::to_string(&capacity::verdicts(&file(kept), &target)).unwrap()
    };
    assert_eq!(of(again), of(&short.ladders));
}
