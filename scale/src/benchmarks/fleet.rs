//! What the relayed list and membership of one fleet cost by its size and by its purges: the present way, against which
//! the feed is measured. Must never count the start into a rate.
//!
//! It stops at 300 members: each step of a member looks at all others (`Members::next_wake`) and news of a start go round
//! for the longer, so that 1,000 take minutes; the fleet's file takes 4,096 members at the most.

use super::group::{Run, SeriesGroup};
use crate::fleet_net::{Net, ms};
use crate::memory;
use crate::slopes::{Host, Series};
use kelpcart::Span;
use serde_json::json;

const MECHANISM: &str = "fleet/src/relay.rs";
/// `members.most` of the fleet's file goes no further.
const MAX_MEMBERS: usize = 4_096;

/// `n` that only know one another, as the gateways of a site do beside the feed.
fn members(seed: u64, n: usize, span: Span) -> Run {
    let held = memory::allocated();
    let mut net = Net::new(n, seed, |_, v| {
        v["members"] = json!({"most": MAX_MEMBERS, "expected": n});
        v["relays"] = json!({"on": false});
    });
    (net.keep_log, net.check_every, net.has_discovery) = (false, 1_009, false);
    net.start_all();
    let begun = net.sim.now;
    while net.live_view_range() != (n, n) && net.sim.now - begun < ms(120_000) {
        net.run_for(ms(100));
    }
    let start = net.sim.now - begun;
    settle(&mut net);
    net.sim.reset_usage();
    net.sim.measure_cpu = true;
    net.run_for(span);
    let spent = net.sim.slots.iter().map(|s| s.usage).collect();
    let told = if net.live_view_range() == (n, n) {
        Ok(())
    } else {
        Err(format!("{:?} are seen", net.live_view_range()))
    };
    let memory = (memory::allocated() - held) as f64 / n as f64;
    Run {
        usage: spent,
        duration: span,
        delays: net.delays.clone(),
        memory,
        start,
        converged: told,
        extra: Vec::new(),
    }
}

/// One fleet of `n` at so many purges a second.
fn run(seed: u64, n: usize, rate: u64, span: Span) -> Run {
    let held = memory::allocated();
    let mut net = Net::new(n, seed, |_, v| v["members"] = json!({"most": MAX_MEMBERS, "expected": n}));
    (net.keep_log, net.check_every) = (false, 1_009);
    net.start_all();
    let begun = net.sim.now;
    while net.check_delivered().is_err() && net.sim.now - begun < ms(60_000) {
        net.run_for(ms(20));
    }
    let start = net.sim.now - begun;
    settle(&mut net);
    purge(&mut net, rate, ms(1_000));
    net.delays.reset();
    net.sim.reset_usage();
    net.sim.measure_cpu = true;
    let from = net.sim.now;
    purge(&mut net, rate, span);
    let over = net.sim.now - from;
    let spent = net.sim.slots.iter().map(|s| s.usage).collect();
    net.run_for(ms(2_000));
    let told = net.check_delivered();
    let delays = net.delays.clone();
    let memory = (memory::allocated() - held) as f64 / n as f64;
    Run { usage: spent, duration: over, delays, memory, start, converged: told, extra: Vec::new() }
}

/// Until nobody hands on news of the start any more.
fn settle(net: &mut Net) {
    net.run_for(ms(4_000));
    let begun = net.sim.now;
    let news = |net: &Net| net.sim.live().any(|(_, m)| m.node.members.sizes()[2].1 > 0);
    while news(net) {
        assert!(net.sim.now - begun < ms(120_000), "news of the start do not end");
        net.run_for(ms(500));
    }
}

fn purge(net: &mut Net, rate: u64, span: Span) {
    let gap = Span::from_micros(1_000_000 / rate);
    let until = net.sim.now + span;
    let mut object = net.events.len() as u64;
    while net.sim.now < until {
        net.purge(object);
        object += 1;
        net.run_for(gap);
    }
}

pub fn measure(seed: u64, quick: bool) -> Vec<Series> {
    let span = if quick { ms(2_000) } else { ms(5_000) };
    let sizes: &[usize] = if quick { &[10, 15, 20, 30, 40] } else { &[24, 50, 100, 200, 300] };
    let rate = if quick { 20 } else { 150 };
    let mut all = Vec::new();
    let mut by = SeriesGroup::new(
        "fleet",
        "fleet",
        MECHANISM,
        Host::Simulated,
        "gateways",
        &[("purges_per_s", rate as f64)],
    );
    for &n in sizes {
        if !by.fits_memory(n as f64, true) {
            break;
        }
        by.push(n as f64, run(seed, n, rate, span));
    }
    all.extend(by.series(seed));
    let (n, rates): (usize, &[u64]) =
        if quick { (20, &[10, 20, 40, 60, 80]) } else { (300, &[15, 50, 100, 150, 300]) };
    let mut by = SeriesGroup::new(
        "fleet",
        "fleet",
        MECHANISM,
        Host::Simulated,
        "purges_per_s",
        &[("gateways", n as f64)],
    );
    for &rate in rates {
        by.push(rate as f64, run(seed, n, rate, span));
    }
    all.extend(by.series(seed));
    let mut by =
        SeriesGroup::new("members", "fleet", "fleet/src/members.rs", Host::Simulated, "gateways", &[]);
    for &n in sizes {
        if !by.fits_memory(n as f64, true) {
            break;
        }
        by.push(n as f64, members(seed, n, span));
    }
    all.extend(by.series(seed));
    all
}
