//! Cost of the feed and propagation delay of changes by installation size, purge, change and restart rates, and injected
//! faults.
//!
//! Invariant: a change counts as applied only when every live gateway has applied it.

use super::group::{Run, SeriesGroup};
use crate::feed_net::{Net, Shape};
use crate::fleet_net::ms;
use crate::memory;
use crate::sim::Usage;
use crate::slopes::{Host, Series};
use hdrhistogram::Histogram;
use kelpcart::Span;
use rand::seq::IteratorRandom;

const MECHANISM: &str = "feed/src/lib.rs";
/// Time limit for a purge to be applied everywhere, in us.
const PURGE_DEADLINE_US: u64 = 3_900_000;
const TARGET_PURGES_PER_S: f64 = 150.0;

/// Results of one run, for gateways and for hubs.
struct Runs {
    feed: Run,
    /// Feed and membership of the gateways together.
    control: Run,
    hubs: Run,
}

#[derive(Clone, Copy)]
struct Load {
    shape: Shape,
    purges_per_s: f64,
    changes_per_s: f64,
    span: Span,
}

fn late(delays: &Histogram<u64>) -> u64 {
    delays.count_between(PURGE_DEADLINE_US, delays.high())
}

/// Starts an installation, waits until it has converged, and measures it while `wrong` runs the load and injects faults.
fn run(seed: u64, load: Load, inject: impl FnOnce(&mut Net, Span)) -> Runs {
    let allocated_before = memory::allocated();
    let mut net = Net::new(load.shape, seed);
    net.start_all();
    let started = net.sim.now;
    while net.check_delivered().is_err() && net.sim.now - started < ms(60_000) {
        net.run_for(ms(20));
    }
    let start = net.sim.now - started;
    net.run_for(ms(3_000));
    (net.purges_per_s, net.changes_per_s) = (load.purges_per_s, load.changes_per_s);
    net.run_for(ms(2_000));
    net.start_measurement();
    let from = net.sim.now;
    inject(&mut net, load.span);
    let duration = net.sim.now - from;
    let of = |net: &Net, i: usize| net.sim.actor(i).map_or(Usage::default(), |h| h.usage);
    let live: Vec<usize> = net.gateways().filter(|&i| net.steady(i)).collect();
    let feed = live.iter().map(|&i| of(&net, i)).collect();
    let control = live.iter().map(|&i| net.sim.slots[i].usage).collect();
    let hubs = net.hubs().filter(|&i| net.steady(i)).map(|i| of(&net, i)).collect();
    (net.purges_per_s, net.changes_per_s) = (0.0, 0.0);
    let ended = net.sim.now;
    while (net.check_delivered().is_err() || !net.all_confirmed()) && net.sim.now - ended < ms(30_000) {
        net.run_for(ms(100));
    }
    let confirmed =
        if net.all_confirmed() { Ok(()) } else { Err("no hub has confirmed all changes".to_owned()) };
    let converged = net.check_delivered().and(confirmed);
    let purges_of_all: u64 = net.sim.live().map(|(_, h)| h.feed.counts.gaps_purged).sum();
    // A gateway's memory is what its removal frees. The rest, including shared data, is attributed to the hubs.
    let hub_memory = (memory::allocated() - allocated_before) as f64;
    let before = memory::allocated();
    net.gateways().for_each(|i| net.kill(i));
    let given_back = before.saturating_sub(memory::allocated()) as f64;
    let memory = given_back / load.shape.gateways as f64;
    let each_hub = (hub_memory - given_back) / net.hubs().len() as f64;
    let delays = if load.changes_per_s > 0.0 { &net.change_delays } else { &net.purge_delays }.clone();
    let extra = vec![
        ("late", "count", late(&delays) as f64),
        ("purges-of-all", "count", purges_of_all as f64),
        ("connections-tried", "count", net.attempts as f64),
    ];
    let run = |usage, delays, memory, extra| Run {
        usage,
        duration,
        delays,
        memory,
        start,
        converged: converged.clone(),
        extra,
    };
    Runs {
        feed: run(feed, delays.clone(), memory, extra),
        control: run(control, delays, memory, Vec::new()),
        hubs: run(
            hubs,
            net.confirmation_delays.clone(),
            each_hub,
            vec![("late", "count", late(&net.confirmation_delays) as f64)],
        ),
    }
}

/// Series groups over the same dimension for the feed, all control traffic and the hubs.
struct SeriesGroups {
    feed: SeriesGroup,
    control: SeriesGroup,
    hubs: SeriesGroup,
}

impl SeriesGroups {
    fn new(of: &str, module: &'static str, over: &'static str, fixed: &[(&str, f64)]) -> SeriesGroups {
        let group = |of: String| SeriesGroup::new(&of, module, MECHANISM, Host::Simulated, over, fixed);
        SeriesGroups {
            feed: group(of.to_owned()),
            control: group(of.replacen("feed", "control", 1)),
            hubs: group(of.replacen("feed", "hub", 1)),
        }
    }

    fn push(&mut self, at: f64, runs: Runs) {
        self.feed.push(at, runs.feed);
        self.control.push(at, runs.control);
        self.hubs.push(at, runs.hubs);
    }

    fn series(self, seed: u64) -> Vec<Series> {
        [self.feed, self.control, self.hubs].iter().flat_map(|g| g.series(seed)).collect()
    }
}

fn no_fault(net: &mut Net, span: Span) {
    net.run_for(span);
}

/// Restarts one random gateway after another at the given rate.
fn restarts(net: &mut Net, span: Span, per_h: f64) {
    let (until, gap) = (net.sim.now + span, Span::from_secs_f64(3_600.0 / per_h));
    while net.sim.now + gap < until {
        net.run_for(gap);
        let i = net.gateways().choose(&mut net.sim.rng).expect("at least one gateway");
        net.kill(i);
        net.start(i);
    }
    net.run_for(until - net.sim.now);
}

fn restart_after(net: &mut Net, which: &[usize], after: Span) {
    which.iter().for_each(|&i| net.kill(i));
    net.run_for(after);
    which.iter().for_each(|&i| net.start(i));
}

type FaultFn = fn(&mut Net, f64);

/// The fault scenarios: name, severity dimension, severities and injection.
const FAULTS: &[(&str, &str, &[f64], FaultFn)] = &[
    ("feed-hubs-killed", "hubs_killed", &[0.0, 1.0, 2.0, 3.0, 4.0], |net, n| {
        let hubs: Vec<usize> = net.hubs().take(n as usize).collect();
        restart_after(net, &hubs, ms(8_000));
        net.run_for(ms(7_000));
    }),
    ("feed-hubs-away", "away_s", &[1.0, 2.0, 5.0, 10.0, 20.0], |net, s| {
        let hubs: Vec<usize> = net.hubs().collect();
        restart_after(net, &hubs, Span::from_secs_f64(s));
        net.run_for(ms(7_000));
    }),
    ("feed-restarted-at-once", "restarted_part", &[0.01, 0.05, 0.1, 0.3, 0.9], |net, part| {
        let some = (part * net.shape.gateways as f64).round() as usize;
        let chosen = net.gateways().choose_multiple(&mut net.sim.rng, some);
        restart_after(net, &chosen, ms(1_000));
        net.run_for(ms(9_000));
    }),
    // Datagrams are lost and duplicated with the same probability.
    ("feed-lossy", "lost_part", &[0.005, 0.01, 0.02, 0.05, 0.1], |net, part| {
        (net.sim.loss, net.sim.duplication) = (part, part);
        net.run_for(ms(10_000));
        (net.sim.loss, net.sim.duplication) = (0.0, 0.0);
    }),
    ("feed-region-away", "away_s", &[1.0, 2.0, 5.0, 10.0, 20.0], |net, s| {
        net.partitions.borrow_mut().regions.insert(3);
        net.run_for(Span::from_secs_f64(s));
        net.partitions.borrow_mut().regions.clear();
        net.run_for(ms(7_000));
    }),
    ("feed-flood", "purges_per_s", &[300.0, 500.0, 750.0, 1_000.0, 1_500.0], |net, rate| {
        net.purges_per_s = rate;
        // The flood of ten times the target rate lasts half a minute.
        net.run_for(ms(if rate < 10.0 * TARGET_PURGES_PER_S { 8_000 } else { 30_000 }));
        net.purges_per_s = TARGET_PURGES_PER_S;
        net.run_for(ms(2_000));
    }),
];

/// Returns no series in quick mode: fault handling is covered by the feed's own tests.
pub fn faults(seed: u64, quick: bool) -> Vec<Series> {
    if quick {
        return Vec::new();
    }
    let n = 1_000;
    let load =
        Load { shape: Shape::of(n), purges_per_s: TARGET_PURGES_PER_S, changes_per_s: 0.0, span: Span::ZERO };
    let mut all = Vec::new();
    for (of, over, severities, inject) in FAULTS {
        let purges = (*over != "purges_per_s").then_some(("purges_per_s", TARGET_PURGES_PER_S));
        let fixed: Vec<(&str, f64)> = [Some(("gateways", n as f64)), purges].into_iter().flatten().collect();
        let mut by = SeriesGroups::new(of, "feed-faults", over, &fixed);
        for severity in *severities {
            by.push(*severity, run(seed, load, |net, _| inject(net, *severity)));
        }
        all.extend(by.series(seed));
    }
    all
}

pub fn measure(seed: u64, quick: bool) -> Vec<Series> {
    let span = if quick { ms(2_000) } else { ms(10_000) };
    let n = if quick { 24 } else { 1_000 };
    let shape = Shape::of(n);
    let load = Load { shape, purges_per_s: TARGET_PURGES_PER_S, changes_per_s: 0.0, span };
    let mut all = Vec::new();

    let sizes: &[usize] = if quick { &[12, 24, 36, 48, 60] } else { &[25, 100, 300, 1_000, 3_000, 8_000] };
    let mut by = SeriesGroups::new("feed", "feed", "gateways", &[("purges_per_s", TARGET_PURGES_PER_S)]);
    for &n in sizes {
        if !by.feed.fits_memory(n as f64, false) {
            break;
        }
        by.push(n as f64, run(seed, Load { shape: Shape::of(n), ..load }, no_fault));
    }
    all.extend(by.series(seed));

    let mut by = SeriesGroups::new("feed", "feed", "purges_per_s", &[("gateways", n as f64)]);
    for rate in [15.0, 50.0, 150.0, 300.0, 600.0] {
        by.push(rate, run(seed, Load { purges_per_s: rate, ..load }, no_fault));
    }
    all.extend(by.series(seed));
    if !quick {
        let mut by = SeriesGroups::new("feed-at-8000", "feed", "purges_per_s", &[("gateways", 8_000.0)]);
        for rate in [15.0, 50.0, 300.0] {
            let load = Load { shape: Shape::of(8_000), purges_per_s: rate, span: ms(4_000), ..load };
            by.push(rate, run(seed, load, no_fault));
        }
        all.extend(by.series(seed));
    }

    let sites: [usize; 5] = if quick { [1, 2, 3, 4, 6] } else { [10, 20, 42, 80, 160] };
    let fixed = [("gateways", n as f64), ("purges_per_s", TARGET_PURGES_PER_S)];
    let mut by = SeriesGroups::new("feed", "feed", "sites", &fixed);
    for sites in sites {
        by.push(sites as f64, run(seed, Load { shape: Shape { sites, ..shape }, ..load }, no_fault));
    }
    all.extend(by.series(seed));

    // The target is 0.085 changes per second.
    let mut by = SeriesGroups::new("feed", "feed", "changes_per_s", &fixed);
    for rate in if quick { [2.0, 4.0, 8.0, 16.0, 32.0] } else { [0.085, 0.34, 1.36, 5.44, 21.76] } {
        let span = if rate < 1.0 { ms(40_000) } else { span };
        by.push(rate, run(seed, Load { changes_per_s: rate, span, ..load }, no_fault));
    }
    all.extend(by.series(seed));

    let mut by = SeriesGroups::new("feed", "feed", "restarts_per_h", &fixed);
    let per_h = [450.0, 900.0, 1_800.0, 3_600.0, 7_200.0];
    for per_h in if quick { per_h.map(|n| n * 4.0) } else { per_h } {
        let span = if quick { ms(3_000) } else { ms(17_000) };
        by.push(per_h, run(seed, Load { span, ..load }, |net, span| restarts(net, span, per_h)));
    }
    all.extend(by.series(seed));
    all
}
