//! What membership and the relayed list cost and how soon they know, by the fleet's size, in simulated time:
//! `cargo run --release -p kelpcart-fleet --example fleet-measure -- [--seed S] [--json FILE]`. Exits non-zero when a
//! live member was held to be gone.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Net, ms};
use kelpcart::Span;
use kelpcart_fleet::wire::Standing;
use serde_json::{Value, json};
use std::process::ExitCode;

fn traffic(net: &Net) -> u64 {
    net.live().into_iter().map(|i| net.node(i).traffic.bytes_out).sum()
}

fn seconds(span: Span) -> f64 {
    (span.as_secs_f64() * 100.0).round() / 100.0
}

fn row(n: usize, seed: u64) -> Value {
    let mut net = Net::new(n, seed, |_, _| ());
    net.start_all();
    let begun = net.now;
    while net.all_told().is_err() && net.now - begun < ms(30_000) {
        net.run(ms(50));
    }
    let listed = net.now - begun;
    net.run(ms(20_000));
    let (start_bytes, from) = (traffic(&net), net.now);
    net.run(ms(20_000));
    let calm = (traffic(&net) - start_bytes) as f64 / (net.now - from).as_secs_f64() / n as f64;
    let depth = net.live().into_iter().map(|i| net.node(i).relay.pulse(net.now).depth).max();
    let (at, no) = (net.now, net.purge(5));
    net.run(ms(1_000));
    let heard =
        net.live().into_iter().filter_map(|i| Some(net.all[i].heard.iter().find(|h| h.0 == no)?.2 - at));
    let purge = heard.max().unwrap_or_default();
    // One dies: when the first knows, and when all do.
    let dead = n - 1;
    let (name, at) = (format!("g{dead}"), net.now);
    net.kill(dead);
    let (mut first, mut last) = (None, None);
    while last.is_none() && net.now - at < ms(60_000) {
        net.run(ms(100));
        let gone = |i: &usize| net.node(*i).members.get(&name).is_none_or(|k| k.standing >= Standing::Gone);
        let known = net.live().iter().filter(|i| gone(i)).count();
        first = first.or((known > 0).then(|| net.now - at));
        last = (known == n - 1).then(|| net.now - at);
    }
    // A tenth lost, and one in ten stopped for 2 s each 5 s.
    net.loss = 0.1;
    let count = |net: &Net, f: fn(&kelpcart_fleet::members::Counts) -> u64| -> u64 {
        net.live().into_iter().map(|i| f(&net.node(i).members.counts)).sum()
    };
    let before = (count(&net, |c| c.suspected), count(&net, |c| c.gone));
    for round in 0..8 {
        let stopped: Vec<usize> = (0..n / 10).map(|i| (round * n / 10 + i) % (n - 1)).collect();
        stopped.iter().for_each(|&i| net.all[i].stopped = true);
        net.run(ms(2_000));
        stopped.iter().for_each(|&i| net.all[i].stopped = false);
        net.run(ms(3_000));
    }
    let falsely = count(&net, |c| c.gone) - before.1;
    json!({
        "gateways": n, "listed_s": seconds(listed), "connections": net.connections, "depth": depth,
        "purge_ms": purge.as_micros() / 1_000, "calm_bytes_a_second": calm.round(),
        "first_knows_s": first.map(seconds), "all_know_s": last.map(seconds),
        "suspicions_an_hour_of_one": (count(&net, |c| c.suspected) - before.0) as f64 / (n as f64 * 40.0 / 3_600.0),
        "falsely_gone": falsely,
    })
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let told = |name: &str| args.iter().position(|a| a == name).and_then(|i| args.get(i + 1));
    let seed = told("--seed").and_then(|s| s.parse().ok()).unwrap_or(1);
    let rows: Vec<Value> = [25, 50, 100, 200, 300].into_iter().map(|n| row(n, seed)).collect();
    let names: Vec<&String> = rows[0].as_object().into_iter().flatten().map(|(k, _)| k).collect();
    println!("{}", names.iter().map(|n| n.as_str()).collect::<Vec<_>>().join(" | "));
    for row in &rows {
        println!("{}", names.iter().map(|n| row[n.as_str()].to_string()).collect::<Vec<_>>().join(" | "));
    }
    if let Some(path) = told("--json")
        && let Err(why) = std::fs::write(path, json!(rows).to_string())
    {
        eprintln!("{path}: {why}");
        return ExitCode::from(2);
    }
    let wrong = rows.iter().any(|r| r["falsely_gone"] != 0);
    if wrong { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
