//! The decision in common beside other ways to fail over, on zones of a formula that bear only so much: what is served,
//! as a share of the best table for the true state (a linear programme), how far a zone is pushed beyond what it bears,
//! how often shares turn, and what crosses. Prints a table; `--json FILE` gives the same figures, `--seed N` other noise.
//! Exits non-zero where zones hand on to each other in a ring under the decision in common.

use kelpcart::{Span, Time};
use kelpcart_failover::decide::{Decider, Report};
use kelpcart_failover::evidence::Evidence;
use kelpcart_failover::plan::{Load, relay_zones};
use kelpcart_failover::settings::Failover;
use kelpcart_failover::table::{Table, TxnClass};
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::process::ExitCode;

const KINDS: [(TxnClass, f64, f64); 2] = [
    // What a zone's txns are: kind, part, worth of one.
    (TxnClass { importance: 5, write: false }, 0.8, 1.0),
    (TxnClass { importance: 9, write: true }, 0.2, 3.0),
];
const STEPS: usize = 240;
const GATEWAYS: usize = 20;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    InCommon,
    /// Each zone for itself: half of its own goes to the next one while its hops go wrong.
    Alone,
    /// All of it to the nearest zone whose check passes, and all back at once.
    Hard,
    /// A tenth always goes to the next one.
    Static,
}

const POLICIES: [(Policy, &str); 4] = [
    (Policy::InCommon, "in common"),
    (Policy::Alone, "alone"),
    (Policy::Hard, "hard failover"),
    (Policy::Static, "static split"),
];

struct Day {
    name: &'static str,
    bears: Vec<f64>,
    loads: Vec<f64>,
    liars: usize,
    /// The part of a zone's hops that goes wrong whatever its load, at a step.
    bad: fn(zone: usize, step: usize) -> f64,
}

fn days() -> Vec<Day> {
    let day = |name, bears: &[f64], loads: &[f64], liars, bad| Day {
        name,
        bears: bears.to_vec(),
        loads: loads.to_vec(),
        liars,
        bad,
    };
    vec![
        day("calm", &[100.0; 3], &[60.0; 3], 0, |_, _| 0.01),
        day("dark, back at half", &[100.0; 3], &[60.0; 3], 0, |z, s| {
            if z == 0 && (20..120).contains(&s) { 1.0 } else { 0.01 }
        }),
        day("slow, not dead", &[100.0; 3], &[60.0; 3], 0, |z, s| if z == 0 && s > 20 { 0.3 } else { 0.01 }),
        day(
            "brown-out",
            &[100.0, 70.0, 70.0],
            &[60.0; 3],
            0,
            |z, s| if z == 0 && s > 20 { 0.9 } else { 0.01 },
        ),
        day(
            "flaps each 3 s",
            &[100.0; 3],
            &[60.0; 3],
            0,
            |z, s| if z == 0 && s / 6 % 2 == 1 { 1.0 } else { 0.01 },
        ),
        day("a third lies", &[100.0; 3], &[60.0; 3], GATEWAYS / 3, |_, _| 0.01),
        day("sizes 1 to 16", &[320.0, 80.0, 20.0], &[150.0, 50.0, 12.0], 0, |z, s| {
            if z == 2 && (20..120).contains(&s) { 1.0 } else { 0.01 }
        }),
        day("the large one dark", &[320.0, 80.0, 20.0], &[150.0, 50.0, 12.0], 0, |z, s| {
            if z == 0 && (20..120).contains(&s) { 1.0 } else { 0.01 }
        }),
        day("all overloaded", &[50.0; 3], &[60.0, 70.0, 80.0], 0, |_, _| 0.01),
    ]
}

/// The most worth that any table could serve in the true state.
fn best(day: &Day, bad: &[f64]) -> f64 {
    let n = day.bears.len();
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let mut into = vec![Vec::new(); n];
    for (load, _) in day.loads.iter().zip(0..) {
        for (_, part, worth) in KINDS {
            let mut from = Vec::new();
            for (to, into) in into.iter_mut().enumerate() {
                let var = problem.add_var(worth * (1.0 - bad[to]), (0.0, f64::INFINITY));
                from.push((var, 1.0));
                into.push((var, 1.0));
            }
            problem.add_constraint(&from[..], ComparisonOp::Le, load * part);
        }
    }
    for (to, into) in into.into_iter().enumerate() {
        problem.add_constraint(&into[..], ComparisonOp::Le, day.bears[to]);
    }
    // It has an answer always: to serve nothing fits.
    match problem.solve() {
        Ok(SolveOutcome::Solution(best)) => best.objective(),
        _ => 0.0,
    }
}

struct Figures {
    served: f64,
    of_best: f64,
    most: f64,
    crossing: f64,
    turns: usize,
    rings: usize,
}

fn play(day: &Day, policy: Policy, seed: u64) -> Figures {
    let n = day.bears.len();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let near = |z: usize| (1..n).map(|k| format!("z{}", (z + k) % n)).collect::<Vec<_>>();
    let zones: Vec<Value> = (0..n).map(|z| json!({"name": format!("z{z}"), "near": near(z)})).collect();
    let file = Failover::read(&json!({"zones": zones}).to_string()).expect("a file that fits");
    let mut now = Time::from_micros(1_000_000);
    let mut decider = Decider::new(&file, &day.bears, 1, now);
    let mut table = Table::all_local(1, 0);
    let (mut served, mut asked, mut best_of_all, mut crossing, mut most) = (0.0, 0.0, 0.0, 0.0, 0.0f64);
    let (mut last, mut way, mut turns, mut ring) = (vec![0.0; n], vec![0.0f64; n], 0, 0);
    for s in 0..STEPS {
        now += Span::from_millis(500);
        let own: Vec<f64> = (0..n).map(|z| (day.bad)(z, s)).collect();
        let mut rates = vec![0.0; n];
        for (z, load) in day.loads.iter().enumerate() {
            for (kind, part, _) in KINDS {
                for (to, rate) in rates.iter_mut().enumerate() {
                    *rate += load * part * table.share((z, kind), to);
                }
            }
        }
        let bad: Vec<f64> = (0..n)
            .map(|z| {
                let over = if rates[z] > day.bears[z] { 1.0 - day.bears[z] / rates[z] } else { 0.0 };
                (own[z] + over).min(1.0)
            })
            .collect();
        for (z, load) in day.loads.iter().enumerate() {
            for (kind, part, worth) in KINDS {
                asked += load * part * worth;
                for (to, bad) in bad.iter().enumerate() {
                    let goes = load * part * table.share((z, kind), to);
                    served += goes * worth * (1.0 - bad);
                    crossing += if to == z { 0.0 } else { goes };
                }
            }
        }
        best_of_all += best(day, &own);
        for z in 0..n {
            // Beyond what it bears, by what others send: its own are there without any decision.
            if rates[z] > day.loads[z] + 1e-6 {
                most = most.max(rates[z] / day.bears[z]);
            }
            let away = table.away_share((z, KINDS[0].0));
            let by: f64 = away - last[z];
            if by.abs() > 0.1 {
                turns += usize::from(way[z] != 0.0 && by.signum() != way[z].signum());
                (way[z], last[z]) = (by, away);
            }
        }
        match policy {
            Policy::InCommon => {
                for g in 0..GATEWAYS {
                    let lies = g < day.liars;
                    let report = Report {
                        hops: (0..n)
                            .map(|z| {
                                let hops = rates[z] / GATEWAYS as f64 * 0.5;
                                let seen =
                                    if lies { 1.0 - bad[z] } else { bad[z] * rng.random_range(0.7..1.3) };
                                (z, Evidence { hops, bad: hops * seen.min(1.0) })
                            })
                            .collect(),
                        loads: (0..n)
                            .flat_map(|z| {
                                KINDS.map(|(kind, part, _)| Load {
                                    from: (z, kind),
                                    per_s: day.loads[z] * part / GATEWAYS as f64,
                                    kb: 10.0,
                                })
                            })
                            .collect(),
                        rates: (0..n).map(|z| (z, rates[z] / GATEWAYS as f64)).collect(),
                    };
                    decider.report(now, g as u64, report);
                }
                decider.tick(now);
                table = decider.table().clone();
                ring += relay_zones(&table).len();
            }
            _ => table = other(policy, &table, &bad, &own, s),
        }
    }
    Figures {
        served: served / asked,
        of_best: served / best_of_all,
        most,
        crossing: crossing / (STEPS as f64 * day.loads.iter().sum::<f64>()),
        turns,
        rings: ring,
    }
}

/// The other ways see what is true at once, which none of them would.
fn other(policy: Policy, before: &Table, bad: &[f64], own: &[f64], step: usize) -> Table {
    let n = bad.len();
    let mut table = Table::all_local(1, step as u64);
    for z in 0..n {
        for (kind, ..) in KINDS {
            let part = match policy {
                Policy::Alone => {
                    let away = before.away_share((z, kind));
                    if bad[z] > 0.05 { (away + 0.5).min(1.0) } else { (away - 0.5).max(0.0) }
                }
                Policy::Hard => f64::from(u8::from(own[z] > 0.5)),
                _ => 0.1,
            };
            let to = (1..n).map(|k| (z + k) % n).find(|&t| policy != Policy::Hard || own[t] <= 0.5);
            table.set((z, kind), to.map(|to| (to, part)));
        }
    }
    table
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let after = |name: &str| args.iter().position(|a| a == name).and_then(|i| args.get(i + 1));
    let seed: u64 = after("--seed").and_then(|s| s.parse().ok()).unwrap_or(1);
    println!(
        "{:22}{:16}{:>8}{:>9}{:>10}{:>9}{:>7}",
        "day", "policy", "served", "of best", "most of", "crosses", "turns"
    );
    let (mut rows, mut ring) = (Vec::new(), 0);
    for day in days() {
        for (policy, name) in POLICIES {
            let f = play(&day, policy, seed);
            println!(
                "{:22}{:16}{:>8.3}{:>9.3}{:>10.2}{:>9.3}{:>7}",
                day.name, name, f.served, f.of_best, f.most, f.crossing, f.turns
            );
            ring += f.rings;
            rows.push(json!({"day": day.name, "policy": name, "served": f.served, "of_best": f.of_best,
                "most_of_what_a_zone_bears": f.most, "crosses": f.crossing, "turns": f.turns, "rings": f.rings}));
        }
    }
    if let Some(path) = after("--json") {
        let all = json!({"seed": seed, "steps": STEPS, "rows": rows});
        if let Err(why) = std::fs::write(path, all.to_string()) {
            eprintln!("{path}: {why}");
            return ExitCode::from(2);
        }
    }
    ExitCode::from(u8::from(ring > 0))
}
