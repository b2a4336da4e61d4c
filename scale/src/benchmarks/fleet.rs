//! Cost of the relayed list and of the membership of one fleet by size and by purge rate: the baseline for the feed.
//!
//! Invariant: the start-up phase is not included in any rate.
//!
//! The series end at 300 members: each step of a member iterates over all others (`Members::next_wake`) and start-up
//! updates are disseminated for longer, so that 1,000 members take minutes. The fleet's settings allow 4,096 members.

use super::group::{Run, SeriesGroup};
use crate::fleet_net::{Net, ms};
use crate::memory;
use crate::slopes::{Host, Series};
use kelpcart::Span;
use serde_json::json;

const MECHANISM: &str = "fleet/src/relay.rs";
/// Upper limit of `members.most` in the fleet's settings.
const MAX_MEMBERS: usize = 4_096;

/// Runs a fleet of `n` with membership only, as used by the gateways of a site together with the feed.
fn members(seed: u64, n: usize, span: Span) -> Run {
    let allocated_before = memory::allocated();
    let mut net = Net::new(n, seed, |_, v| {
        v["members"] = json!({"most": MAX_MEMBERS, "expected": n});
        v["relays"] = json!({"on": false});
    });
    (net.keep_log, net.check_every, net.has_discovery) = (false, 1_009, false);
    net.start_all();
    let started = net.sim.now;
    while net.live_view_range() != (n, n) && net.sim.now - started < ms(120_000) {
        net.run_for(ms(100));
    }
    let start = net.sim.now - started;
    settle(&mut net);
    net.sim.reset_usage();
    net.sim.measure_cpu = true;
    net.run_for(span);
    let usage = net.sim.slots.iter().map(|s| s.usage).collect();
    let converged = if net.live_view_range() == (n, n) {
        Ok(())
    } else {
        Err(format!("live members in view: {:?}", net.live_view_range()))
    };
    let memory = (memory::allocated() - allocated_before) as f64 / n as f64;
    Run { usage, duration: span, delays: net.delays.clone(), memory, start, converged, extra: Vec::new() }
}

/// Runs one fleet of `n` with `rate` purges per second.
fn run(seed: u64, n: usize, rate: u64, span: Span) -> Run {
    let allocated_before = memory::allocated();
    let mut net = Net::new(n, seed, |_, v| v["members"] = json!({"most": MAX_MEMBERS, "expected": n}));
    (net.keep_log, net.check_every) = (false, 1_009);
    net.start_all();
    let started = net.sim.now;
    while net.check_delivered().is_err() && net.sim.now - started < ms(60_000) {
        net.run_for(ms(20));
    }
    let start = net.sim.now - started;
    settle(&mut net);
    purge(&mut net, rate, ms(1_000));
    net.delays.reset();
    net.sim.reset_usage();
    net.sim.measure_cpu = true;
    let from = net.sim.now;
    purge(&mut net, rate, span);
    let duration = net.sim.now - from;
    let usage = net.sim.slots.iter().map(|s| s.usage).collect();
    net.run_for(ms(2_000));
    let converged = net.check_delivered();
    let delays = net.delays.clone();
    let memory = (memory::allocated() - allocated_before) as f64 / n as f64;
    Run { usage, duration, delays, memory, start, converged, extra: Vec::new() }
}

/// Runs until no member has start-up updates left to disseminate.
fn settle(net: &mut Net) {
    net.run_for(ms(4_000));
    let started = net.sim.now;
    let updates_pending = |net: &Net| net.sim.live().any(|(_, m)| m.node.members.sizes()[2].1 > 0);
    while updates_pending(net) {
        assert!(net.sim.now - started < ms(120_000), "start-up updates are still being disseminated");
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
