//! What the feed costs, and how soon a change is everywhere, by the installation's size, its purges, changes and
//! restarts, and by what goes wrong. Must never count as done what a live gateway has not done.

use super::group::{Group, Run};
use crate::feed_net::{Net, Shape};
use crate::fleet_net::ms;
use crate::memory;
use crate::sim::Spent;
use crate::slopes::{Host, Ladder};
use kelpcart::Span;
use rand::Rng;
use rand::seq::IteratorRandom;

const MECHANISM: &str = "feed/src/lib.rs";

/// What one run gave, of gateways and of hubs.
struct Given {
    feed: Run,
    /// The feed and membership together.
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

/// Starts an installation, lets it settle, and measures it over the load's span while `wrong` happens to it.
fn run(seed: u64, load: Load, wrong: impl FnOnce(&mut Net, Span)) -> Given {
    let held = memory::held();
    let mut net = Net::new(load.shape, seed);
    net.start_all();
    let begun = net.sim.now;
    while net.all_told().is_err() && net.sim.now - begun < ms(60_000) {
        net.run(ms(20));
    }
    let start = net.sim.now - begun;
    (net.purges_per_s, net.changes_per_s) = (load.purges_per_s, load.changes_per_s);
    net.run(ms(10_000));
    net.begin();
    let from = net.sim.now;
    wrong(&mut net, load.span);
    let over = net.sim.now - from;
    let of = |net: &Net, i: usize| net.sim.get(i).map_or(Spent::default(), |h| h.spent);
    let live: Vec<usize> = net.gateways().filter(|&i| net.steady(i)).collect();
    let feed = live.iter().map(|&i| of(&net, i)).collect();
    let control = live.iter().map(|&i| net.sim.slots[i].spent).collect();
    let hubs = net.hubs().filter(|&i| net.steady(i)).map(|i| of(&net, i)).collect();
    (net.purges_per_s, net.changes_per_s) = (0.0, 0.0);
    let ended = net.sim.now;
    while (net.all_told().is_err() || !net.all_known()) && net.sim.now - ended < ms(30_000) {
        net.run(ms(100));
    }
    let told = net.all_told();
    let told = told.and(if net.all_known() { Ok(()) } else { Err("no hub holds all to be done".to_owned()) });
    // Hubs hold what is kept for all; a gateway's own is what its end gives back.
    let hub_memory = (memory::held() - held) as f64;
    let before = memory::held();
    net.gateways().for_each(|i| net.kill(i));
    let memory = (before - memory::held()) as f64 / live.len() as f64;
    let each_hub = (hub_memory - memory * live.len() as f64) / net.hubs().len() as f64;
    let delays = if load.purges_per_s > 0.0 { net.delays.clone() } else { net.changes.clone() };
    let run = |spent, delays, memory| Run { spent, over, delays, memory, start, told: told.clone() };
    Given {
        feed: run(feed, delays.clone(), memory),
        control: run(control, delays, memory),
        hubs: run(hubs, net.known.clone(), each_hub),
    }
}

/// The same over growing sizes of one thing, of the feed, of all control and of hubs.
struct Groups {
    feed: Group,
    control: Group,
    hubs: Group,
}

impl Groups {
    fn new(of: &str, over: &'static str, fixed: &[(&str, f64)]) -> Groups {
        let one = |of: String| Group::new(&of, MECHANISM, Host::Simulated, over, fixed);
        Groups {
            feed: one(of.to_owned()),
            control: one(of.replacen("feed", "control", 1)),
            hubs: one(of.replacen("feed", "hub", 1)),
        }
    }

    fn take(&mut self, at: f64, given: Given) {
        self.feed.take(at, given.feed);
        self.control.take(at, given.control);
        self.hubs.take(at, given.hubs);
    }

    fn ladders(self, seed: u64) -> Vec<Ladder> {
        [self.feed, self.control, self.hubs].iter().flat_map(|g| g.ladders(seed)).collect()
    }
}

fn calm(net: &mut Net, span: Span) {
    net.run(span);
}

/// One gateway after another ends and starts again.
fn restarts(net: &mut Net, span: Span, per_h: f64) {
    let (until, gap) = (net.sim.now + span, Span::from_secs_f64(3_600.0 / per_h));
    while net.sim.now + gap < until {
        net.run(gap);
        let i = net.gateways().choose(&mut net.sim.rng).expect("a gateway");
        net.kill(i);
        net.start(i);
    }
    net.run(until - net.sim.now);
}

fn faults(seed: u64, quick: bool) -> Vec<Ladder> {
    let n = if quick { 48 } else { 1_000 };
    let rate = 150.0;
    let span = ms(10_000);
    let load = Load { shape: Shape::of(n), purges_per_s: rate, changes_per_s: 0.0, span };
    let fixed = [("gateways", n as f64), ("purges_per_s", rate)];
    let mut all = Vec::new();
    let mut by = Groups::new("feed.hubs-killed", "hubs_killed", &fixed);
    for k in if quick { 1..2 } else { 1..5 } {
        by.take(
            f64::from(k),
            run(seed, load, |net, span| {
                net.run(ms(1_000));
                (0..k as usize).for_each(|h| net.kill(h));
                net.run(span);
                (0..k as usize).for_each(|h| net.start(h));
                net.run(ms(5_000));
            }),
        );
    }
    all.extend(by.ladders(seed));
    let mut by = Groups::new("feed.hubs-away", "away_s", &fixed);
    for s in if quick { &[3][..] } else { &[2, 5, 10, 30] } {
        by.take(
            *s as f64,
            run(seed, load, |net, _| {
                net.run(ms(1_000));
                net.hubs().for_each(|h| net.kill(h));
                net.run(ms(s * 1_000));
                net.hubs().for_each(|h| net.start(h));
                net.run(ms(10_000));
            }),
        );
    }
    all.extend(by.ladders(seed));
    let mut by = Groups::new("feed.restarted-at-once", "restarted_part", &fixed);
    for part in if quick { &[0.1][..] } else { &[0.01, 0.1, 0.3, 0.9] } {
        by.take(
            *part,
            run(seed, load, |net, span| {
                net.run(ms(1_000));
                let some = (part * n as f64).round() as usize;
                let chosen = net.gateways().choose_multiple(&mut net.sim.rng, some);
                chosen.iter().for_each(|&i| net.kill(i));
                net.run(ms(1_000));
                chosen.iter().for_each(|&i| net.start(i));
                net.run(span);
            }),
        );
    }
    all.extend(by.ladders(seed));
    let mut by = Groups::new("feed.lossy", "lost_part", &fixed);
    for part in if quick { &[0.05][..] } else { &[0.01, 0.02, 0.05, 0.1] } {
        by.take(
            *part,
            run(seed, load, |net, span| {
                (net.sim.loss, net.sim.repeat) = (*part, *part);
                net.run(span);
                (net.sim.loss, net.sim.repeat) = (0.0, 0.0);
            }),
        );
    }
    all.extend(by.ladders(seed));
    let mut by = Groups::new("feed.region-away", "away_s", &fixed);
    for s in if quick { &[3][..] } else { &[2, 5, 10, 30] } {
        by.take(
            *s as f64,
            run(seed, load, |net, _| {
                net.run(ms(1_000));
                net.cuts.borrow_mut().regions.insert(3);
                net.run(ms(s * 1_000));
                net.cuts.borrow_mut().regions.clear();
                net.run(ms(10_000));
            }),
        );
    }
    all.extend(by.ladders(seed));
    let mut by = Groups::new("feed.flood", "purges_per_s", &fixed[..1]);
    for rate in if quick { &[600.0][..] } else { &[300.0, 600.0, 1_500.0] } {
        by.take(
            *rate,
            run(seed, load, |net, _| {
                net.purges_per_s = *rate;
                net.run(ms(if quick { 3_000 } else { 30_000 }));
            }),
        );
    }
    all.extend(by.ladders(seed));
    all
}

pub fn measure(seed: u64, quick: bool) -> Vec<Ladder> {
    let span = if quick { ms(2_000) } else { ms(10_000) };
    let load =
        |n: usize, purges_per_s: f64| Load { shape: Shape::of(n), purges_per_s, changes_per_s: 0.0, span };
    let mut all = Vec::new();
    let sizes: &[usize] = if quick { &[24, 48, 72] } else { &[25, 100, 300, 1_000, 3_000, 8_000] };
    let mut by = Groups::new("feed", "gateways", &[("purges_per_s", 150.0)]);
    for &n in sizes {
        if !by.feed.fits(n as f64, false) {
            break;
        }
        by.take(n as f64, run(seed, load(n, 150.0), calm));
    }
    all.extend(by.ladders(seed));
    all
}

#[allow(dead_code)]
fn rest(seed: u64, quick: bool) -> Vec<Ladder> {
    let mut all = faults(seed, quick);
    let mut by = Groups::new("feed", "restarts_per_h", &[]);
    let load = Load { shape: Shape::of(100), purges_per_s: 10.0, changes_per_s: 0.0, span: ms(2_000) };
    by.take(1.0, run(seed, load, |net, span| restarts(net, span, 3_600.0)));
    all.extend(by.ladders(seed));
    let _: u64 = rand::rng().random();
    all
}
