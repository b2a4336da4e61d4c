//! Compares the shared decision with other failover policies on simulated zones of limited capacity: the worth served, as
//! a share of the best table for the true state (a linear program), the highest utilization of a zone that receives
//! load, how often shares reverse direction, and how much crosses zones. Prints a table; `--json FILE` writes the same
//! figures, `--seed N` changes the noise. Exits non-zero if zones forward to each other in a ring under the shared
//! decision.

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

/// The txns of a zone: class, share of the load, worth of one txn.
const CLASSES: [(TxnClass, f64, f64); 2] = [
    (TxnClass { importance: 5, write: false }, 0.8, 1.0),
    (TxnClass { importance: 9, write: true }, 0.2, 3.0),
];
const STEPS: usize = 240;
const GATEWAYS: usize = 20;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Shared,
    /// Each zone decides alone: it moves half of its load per step to the next zone while its hops go wrong.
    Alone,
    /// All load moves to the nearest zone whose health check passes, and all returns at once.
    Hard,
    /// A tenth of the load always goes to the next zone.
    Static,
}

const POLICIES: [(Policy, &str); 4] = [
    (Policy::Shared, "in common"),
    (Policy::Alone, "alone"),
    (Policy::Hard, "hard failover"),
    (Policy::Static, "static split"),
];

struct Case {
    name: &'static str,
    capacity_per_s: Vec<f64>,
    loads: Vec<f64>,
    false_reporters: usize,
    /// The share of a zone's hops that goes wrong at a step, independent of its load.
    bad: fn(zone: usize, step: usize) -> f64,
}

fn cases() -> Vec<Case> {
    let case = |name, capacity_per_s: &[f64], loads: &[f64], false_reporters, bad| Case {
        name,
        capacity_per_s: capacity_per_s.to_vec(),
        loads: loads.to_vec(),
        false_reporters,
        bad,
    };
    vec![
        case("calm", &[100.0; 3], &[60.0; 3], 0, |_, _| 0.01),
        case("dark, back at half", &[100.0; 3], &[60.0; 3], 0, |z, s| {
            if z == 0 && (20..120).contains(&s) { 1.0 } else { 0.01 }
        }),
        case("slow, not dead", &[100.0; 3], &[60.0; 3], 0, |z, s| if z == 0 && s > 20 { 0.3 } else { 0.01 }),
        case(
            "brown-out",
            &[100.0, 70.0, 70.0],
            &[60.0; 3],
            0,
            |z, s| if z == 0 && s > 20 { 0.9 } else { 0.01 },
        ),
        case(
            "flaps each 3 s",
            &[100.0; 3],
            &[60.0; 3],
            0,
            |z, s| if z == 0 && s / 6 % 2 == 1 { 1.0 } else { 0.01 },
        ),
        case("a third lies", &[100.0; 3], &[60.0; 3], GATEWAYS / 3, |_, _| 0.01),
        case("sizes 1 to 16", &[320.0, 80.0, 20.0], &[150.0, 50.0, 12.0], 0, |z, s| {
            if z == 2 && (20..120).contains(&s) { 1.0 } else { 0.01 }
        }),
        case("the large one dark", &[320.0, 80.0, 20.0], &[150.0, 50.0, 12.0], 0, |z, s| {
            if z == 0 && (20..120).contains(&s) { 1.0 } else { 0.01 }
        }),
        case("all overloaded", &[50.0; 3], &[60.0, 70.0, 80.0], 0, |_, _| 0.01),
    ]
}

/// The highest worth that any table could serve in the true state.
fn best(case: &Case, bad: &[f64]) -> f64 {
    let n = case.capacity_per_s.len();
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let mut into = vec![Vec::new(); n];
    for (load, _) in case.loads.iter().zip(0..) {
        for (_, share, worth) in CLASSES {
            let mut from = Vec::new();
            for (to, into) in into.iter_mut().enumerate() {
                let var = problem.add_var(worth * (1.0 - bad[to]), (0.0, f64::INFINITY));
                from.push((var, 1.0));
                into.push((var, 1.0));
            }
            problem.add_constraint(&from[..], ComparisonOp::Le, load * share);
        }
    }
    for (to, into) in into.into_iter().enumerate() {
        problem.add_constraint(&into[..], ComparisonOp::Le, case.capacity_per_s[to]);
    }
    // The program is always feasible: serving nothing satisfies it.
    match problem.solve() {
        Ok(SolveOutcome::Solution(best)) => best.objective(),
        _ => 0.0,
    }
}

struct Figures {
    served: f64,
    of_best: f64,
    max_utilization: f64,
    crossing: f64,
    reversals: usize,
    rings: usize,
}

fn simulate(case: &Case, policy: Policy, seed: u64) -> Figures {
    let n = case.capacity_per_s.len();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let near = |z: usize| (1..n).map(|k| format!("z{}", (z + k) % n)).collect::<Vec<_>>();
    let zones: Vec<Value> = (0..n).map(|z| json!({"name": format!("z{z}"), "near": near(z)})).collect();
    let settings = Failover::read(&json!({"zones": zones}).to_string()).expect("valid settings");
    let mut now = Time::from_micros(1_000_000);
    let mut decider = Decider::new(&settings, &case.capacity_per_s, 1, now);
    let mut table = Table::all_local(1, 0);
    let (mut served, mut asked, mut best_of_all, mut crossing, mut max_utilization) =
        (0.0, 0.0, 0.0, 0.0, 0.0f64);
    let (mut last, mut direction, mut reversals, mut ring_count) = (vec![0.0; n], vec![0.0f64; n], 0, 0);
    for s in 0..STEPS {
        now += Span::from_millis(500);
        let own: Vec<f64> = (0..n).map(|z| (case.bad)(z, s)).collect();
        let mut rates = vec![0.0; n];
        for (z, load) in case.loads.iter().enumerate() {
            for (class, share, _) in CLASSES {
                for (to, rate) in rates.iter_mut().enumerate() {
                    *rate += load * share * table.share((z, class), to);
                }
            }
        }
        let bad: Vec<f64> = (0..n)
            .map(|z| {
                let over = if rates[z] > case.capacity_per_s[z] {
                    1.0 - case.capacity_per_s[z] / rates[z]
                } else {
                    0.0
                };
                (own[z] + over).min(1.0)
            })
            .collect();
        for (z, load) in case.loads.iter().enumerate() {
            for (class, share, worth) in CLASSES {
                asked += load * share * worth;
                for (to, bad) in bad.iter().enumerate() {
                    let sent = load * share * table.share((z, class), to);
                    served += sent * worth * (1.0 - bad);
                    crossing += if to == z { 0.0 } else { sent };
                }
            }
        }
        best_of_all += best(case, &own);
        for z in 0..n {
            // Utilization caused by other zones' load: a zone's own load is there without any decision.
            if rates[z] > case.loads[z] + 1e-6 {
                max_utilization = max_utilization.max(rates[z] / case.capacity_per_s[z]);
            }
            let away = table.away_share((z, CLASSES[0].0));
            let delta: f64 = away - last[z];
            if delta.abs() > 0.1 {
                reversals += usize::from(direction[z] != 0.0 && delta.signum() != direction[z].signum());
                (direction[z], last[z]) = (delta, away);
            }
        }
        match policy {
            Policy::Shared => {
                for g in 0..GATEWAYS {
                    let reports_falsely = g < case.false_reporters;
                    let report = Report {
                        hops: (0..n)
                            .map(|z| {
                                let hops = rates[z] / GATEWAYS as f64 * 0.5;
                                let seen = if reports_falsely {
                                    1.0 - bad[z]
                                } else {
                                    bad[z] * rng.random_range(0.7..1.3)
                                };
                                (z, Evidence { hops, bad: hops * seen.min(1.0) })
                            })
                            .collect(),
                        loads: (0..n)
                            .flat_map(|z| {
                                CLASSES.map(|(class, share, _)| Load {
                                    from: (z, class),
                                    per_s: case.loads[z] * share / GATEWAYS as f64,
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
                ring_count += relay_zones(&table).len();
            }
            _ => table = baseline_table(policy, &table, &bad, &own, s),
        }
    }
    Figures {
        served: served / asked,
        of_best: served / best_of_all,
        max_utilization,
        crossing: crossing / (STEPS as f64 * case.loads.iter().sum::<f64>()),
        reversals,
        rings: ring_count,
    }
}

/// The tables of the other policies, which see the true state at once, unlike in practice.
fn baseline_table(policy: Policy, before: &Table, bad: &[f64], own: &[f64], step: usize) -> Table {
    let n = bad.len();
    let mut table = Table::all_local(1, step as u64);
    for z in 0..n {
        for (class, ..) in CLASSES {
            let share = match policy {
                Policy::Alone => {
                    let away = before.away_share((z, class));
                    if bad[z] > 0.05 { (away + 0.5).min(1.0) } else { (away - 0.5).max(0.0) }
                }
                Policy::Hard => f64::from(u8::from(own[z] > 0.5)),
                _ => 0.1,
            };
            let to = (1..n).map(|k| (z + k) % n).find(|&t| policy != Policy::Hard || own[t] <= 0.5);
            table.set((z, class), to.map(|to| (to, share)));
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
    let (mut rows, mut ring_count) = (Vec::new(), 0);
    for case in cases() {
        for (policy, name) in POLICIES {
            let f = simulate(&case, policy, seed);
            println!(
                "{:22}{:16}{:>8.3}{:>9.3}{:>10.2}{:>9.3}{:>7}",
                case.name, name, f.served, f.of_best, f.max_utilization, f.crossing, f.reversals
            );
            ring_count += f.rings;
            rows.push(json!({"day": case.name, "policy": name, "served": f.served, "of_best": f.of_best,
                "most_of_what_a_zone_bears": f.max_utilization, "crosses": f.crossing, "turns": f.reversals, "rings": f.rings}));
        }
    }
    if let Some(path) = after("--json") {
        let all = json!({"seed": seed, "steps": STEPS, "rows": rows});
        if let Err(why) = std::fs::write(path, all.to_string()) {
            eprintln!("{path}: {why}");
            return ExitCode::from(2);
        }
    }
    ExitCode::from(u8::from(ring_count > 0))
}
