//! What the relayed list and membership of one fleet cost by its size and by its purges: the present way, against which
//! the feed is measured. Must never count the start into a rate.
//!
//! It stops at 300 members: each step of a member looks at all others (`Members::next_wake`) and news of a start go round
//! for the longer, so that 1,000 take minutes; the fleet's file takes 4,096 members at the most.

use super::group::{Group, Run};
use crate::fleet_net::{Net, ms};
use crate::memory;
use crate::slopes::{Host, Ladder};
use kelpcart::Span;
use serde_json::json;

const MECHANISM: &str = "fleet/src/relay.rs";
/// `members.most` of the fleet's file goes no further.
const MOST_MEMBERS: usize = 4_096;

/// `n` that only know one another, as the gateways of a site do beside the feed.
fn members(seed: u64, n: usize, span: Span) -> Run {
    let held = memory::held();
    let mut net = Net::new(n, seed, |_, v| {
        v["members"] = json!({"most": MOST_MEMBERS, "expected": n});
        v["relays"] = json!({"on": false});
    });
    (net.keeps, net.check_every, net.told) = (false, 1_009, false);
    net.start_all();
    let begun = net.sim.now;
    while net.seen() != (n, n) && net.sim.now - begun < ms(120_000) {
        net.run(ms(100));
    }
    let start = net.sim.now - begun;
    settle(&mut net);
    net.sim.reset_spent();
    net.sim.measures = true;
    net.run(span);
    let spent = net.sim.slots.iter().map(|s| s.spent).collect();
    let told = if net.seen() == (n, n) { Ok(()) } else { Err(format!("{:?} are seen", net.seen())) };
    let memory = (memory::held() - held) as f64 / n as f64;
    Run { spent, over: span, delays: net.delays.clone(), memory, start, told, more: Vec::new() }
}

/// One fleet of `n` at so many purges a second.
fn run(seed: u64, n: usize, rate: u64, span: Span) -> Run {
    let held = memory::held();
    let mut net = Net::new(n, seed, |_, v| v["members"] = json!({"most": MOST_MEMBERS, "expected": n}));
    (net.keeps, net.check_every) = (false, 1_009);
    net.start_all();
    let begun = net.sim.now;
    while net.all_told().is_err() && net.sim.now - begun < ms(60_000) {
        net.run(ms(20));
    }
    let start = net.sim.now - begun;
    settle(&mut net);
    purge(&mut net, rate, ms(1_000));
    net.delays.reset();
    net.sim.reset_spent();
    net.sim.measures = true;
    let from = net.sim.now;
    purge(&mut net, rate, span);
    let over = net.sim.now - from;
    let spent = net.sim.slots.iter().map(|s| s.spent).collect();
    net.run(ms(2_000));
    let told = net.all_told();
    let delays = net.delays.clone();
    let memory = (memory::held() - held) as f64 / n as f64;
    Run { spent, over, delays, memory, start, told, more: Vec::new() }
}

/// Until nobody hands on news of the start any more.
fn settle(net: &mut Net) {
    net.run(ms(4_000));
    let begun = net.sim.now;
    let news = |net: &Net| net.sim.live().any(|(_, m)| m.node.members.sizes()[2].1 > 0);
    while news(net) {
        assert!(net.sim.now - begun < ms(120_000), "news of the start do not end");
        net.run(ms(500));
    }
}

fn purge(net: &mut Net, rate: u64, span: Span) {
    let gap = Span::from_micros(1_000_000 / rate);
    let until = net.sim.now + span;
    let mut object = net.events.len() as u64;
    while net.sim.now < until {
        net.purge(object);
        object += 1;
        net.run(gap);
    }
}

pub fn measure(seed: u64, quick: bool) -> Vec<Ladder> {
    let span = if quick { ms(2_000) } else { ms(5_000) };
    let sizes: &[usize] = if quick { &[10, 15, 20, 30, 40] } else { &[24, 50, 100, 200, 300] };
    let rate = if quick { 20 } else { 150 };
    let mut all = Vec::new();
    let mut by = Group::new(
        "fleet",
        "fleet",
        MECHANISM,
        Host::Simulated,
        "gateways",
        &[("purges_per_s", rate as f64)],
    );
    for &n in sizes {
        if !by.fits(n as f64, true) {
            break;
        }
        by.take(n as f64, run(seed, n, rate, span));
    }
    all.extend(by.ladders(seed));
    let (n, rates): (usize, &[u64]) =
        if quick { (20, &[10, 20, 40, 60, 80]) } else { (300, &[15, 50, 100, 150, 300]) };
    let mut by =
        Group::new("fleet", "fleet", MECHANISM, Host::Simulated, "purges_per_s", &[("gateways", n as f64)]);
    for &rate in rates {
        by.take(rate as f64, run(seed, n, rate, span));
    }
    all.extend(by.ladders(seed));
    let mut by = Group::new("members", "fleet", "fleet/src/members.rs", Host::Simulated, "gateways", &[]);
    for &n in sizes {
        if !by.fits(n as f64, true) {
            break;
        }
        by.take(n as f64, members(seed, n, span));
    }
    all.extend(by.ladders(seed));
    all
}
