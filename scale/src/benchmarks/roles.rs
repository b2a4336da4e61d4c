//! Benchmarks of the remaining roles: connections to caches, load on cold caches, budget coordinators, replicated ledgers
//! and the failover decision.
//!
//! Invariant: the cost of the harness is not attributed to the measured core.

use crate::benchmarks::module::{Case, Harness, SeriesHead, limit_sizes, sample};
use crate::sim::{Actor, Sim};
use crate::slopes::{Host, Sample, Series};
use cpu_time::ThreadTime;
use kelpcart::interface::MemberId;
use kelpcart::{Span, Time};
use kelpcart_copies::command::{CommandResult, Operation, RegisterSender};
use kelpcart_copies::node as copies;
use kelpcart_copies::settings::Copies;
use kelpcart_failover::decide::{Decider, Report};
use kelpcart_failover::evidence::Evidence;
use kelpcart_failover::plan::Load;
use kelpcart_failover::settings::Failover;
use kelpcart_failover::table::TxnClass as Asked;
use kelpcart_fleet::lease::Decision;
use kelpcart_fleet::node::{Node, Output};
use kelpcart_fleet::settings::Fleet;
use kelpcart_fleet::wire::BudgetKind;
use kelpcart_sites::ledger::{Answer, Key, TxnOutcome};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const COMMAND: &str = "cargo run --release -p kelpcart-scale -- measure --only roles --json FILE";

fn head<'a>(id: &'a str, over: &'a str, unit: &'a str, mechanism: &'a str) -> SeriesHead<'a> {
    SeriesHead { id, over, unit, mechanism, command: COMMAND, host: Host::Core, timed: false }
}

fn fixed(all: &[(&str, f64)]) -> BTreeMap<String, f64> {
    all.iter().map(|(name, n)| ((*name).to_owned(), *n)).collect()
}

// Connections.

/// Time after which the host closes an idle connection, derived from `ConnIdleUs` of 15 s.
const IDLE_RETENTION: Span = Span::from_millis(11_250);
const CACHES: &str = "gateway/src/caches.rs";

/// Returns the number of caches to which one gateway has active or idle connections.
fn connected_caches(case: Case, seed: u64) -> f64 {
    let mut harness = Harness::new(case, seed);
    let until = harness.now + IDLE_RETENTION;
    let mut sent: BTreeMap<MemberId, u64> = BTreeMap::new();
    while harness.now < until {
        harness.submit_txn(&mut |_, member, starts| {
            if starts && member.starts_with("cache-") {
                *sent.entry(member.clone()).or_default() += 1;
            }
        });
    }
    sent.len() as f64
}

fn connection_series(seed: u64, quick: bool) -> Vec<Series> {
    let one_series = |id: &str, over: &str, sizes: &[usize], case: fn(usize) -> Case| {
        let points =
            limit_sizes(sizes, quick).iter().map(|&n| sample(n as f64, &[connected_caches(case(n), seed)]));
        head(id, over, "count", CACHES).series(case(sizes[0]).fixed(over), points.collect())
    };
    // The number of txns in flight is such that a txn takes 50 ms at any rate.
    let at_rate = |n: usize| Case { txns_per_s: n as f64, in_flight: (n / 20).max(1), ..Case::default() };
    let in_zone = |n: usize| Case { zone_caches: n, txns_per_s: 600.0, ..Case::default() };
    vec![
        one_series("connections.caches.by-txns", "txns_per_s", &[1, 3, 10, 30, 100, 300, 1_200], at_rate),
        one_series(
            "connections.caches.by-zone-caches",
            "zone_caches",
            &[5, 10, 20, 37, 75, 150, 300, 1_100],
            in_zone,
        ),
    ]
}

// Cold caches.

/// Capacity of a cache in concurrent transfers: twice the number in flight at each of 1,100 caches at 9.6 million txns per
/// second of 24 ms each.
const TRANSFERS: f64 = 400.0;
/// Window over which the budget of a cold cache is counted.
const COLD_SPAN: Span = Span::from_millis(3_000);

/// Returns the number of txns that one gateway sends to each cold cache of its zone in the first window when `sharers`
/// gateways share them.
fn txns_to_cold(sharers: usize, seed: u64) -> Vec<f64> {
    let cold = Some(TRANSFERS);
    let case = Case { zone_gateways: sharers as u32, cold, ..Case::default() };
    let mut harness = Harness::new(case, seed);
    let until = harness.now + COLD_SPAN;
    let mut sent: BTreeMap<MemberId, f64> = BTreeMap::new();
    while harness.now < until {
        harness.submit_txn(&mut |_, member, starts| {
            if starts && member.starts_with("cache-") {
                *sent.entry(member.clone()).or_default() += 1.0;
            }
        });
    }
    let mut all: Vec<f64> = sent.into_values().collect();
    all.resize(case.zone_caches, 0.0);
    all
}

fn cold_series(seed: u64, quick: bool) -> Vec<Series> {
    let sizes = [24, 267, 800, 2_400, 8_000, 24_000, 80_000];
    let sizes = limit_sizes(&sizes, quick);
    let over = "zone_gateways";
    let case = Case { cold: Some(TRANSFERS), ..Case::default() };
    let mut fixed_values = case.fixed(over);
    fixed_values.insert("transfers".to_owned(), TRANSFERS);
    let all: Vec<(f64, Vec<f64>)> = sizes.iter().map(|&n| (n as f64, txns_to_cold(n, seed))).collect();
    let each = all.iter().map(|(n, sent)| sample(*n, sent)).collect();
    let totals = all.iter().map(|(n, sent)| {
        let Sample { mean, worst, .. } = sample(*n, sent);
        let by_all = |per_gateway: f64| per_gateway * n / COLD_SPAN.as_secs_f64();
        Sample { mean: by_all(mean), worst: by_all(worst), ..sample(*n, &[]) }
    });
    let logic = "src/logic.rs";
    vec![
        head("cold.txns-of-one-gateway.by-zone-gateways", over, "count", logic)
            .series(fixed_values.clone(), each),
        head("cold.txns-at-a-cache.by-zone-gateways", over, "txns/s", logic)
            .series(fixed_values, totals.collect()),
    ]
}

// Shared budgets.

/// A fleet member: its node, outgoing datagrams and the number of leases granted to it.
struct Member {
    node: Node,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    granted: u32,
}

impl Member {
    fn drain_output(&mut self) {
        while let Some(output) = self.node.poll() {
            match output {
                Output::Datagram(to, bytes) => self.out.push_back((to, bytes)),
                Output::Decision(_, verdict) => self.granted += u32::from(verdict == Decision::Granted),
                _ => {}
            }
        }
    }
}

impl Actor for Member {
    fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.node.handle_datagram(now, from, bytes);
        self.drain_output();
    }

    fn tick(&mut self, now: Time) {
        self.node.tick(now);
        self.drain_output();
    }

    fn next_wake(&self, now: Time) -> Time {
        self.node.next_wake(now)
    }

    fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }
}

/// Connections to one cache allowed to the whole fleet by its settings.
const BUDGET: u32 = 64;
const LEASES: &str = "fleet/src/lease.rs";

fn fleet(n: usize, seed: u64) -> Sim<Member> {
    let at = |i: usize| SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250) as u8 + 1], 7_600));
    let mut sim = Sim::new(seed);
    for i in 0..n {
        let file = json!({
            "fleet": "site", "gateway": format!("g{i}"), "listen": at(i).to_string(),
            "seeds": (0..n.min(3)).map(|s| at(s).to_string()).collect::<Vec<_>>(),
            "keys": [{"id": 1, "secret": "17".repeat(32)}], "budgets": {"connections": BUDGET},
        });
        let file = Fleet::read(&file.to_string()).expect("valid settings");
        let node = Node::new(&file, 1_000 + i as u64, seed + i as u64, sim.now, 0, &[]).expect("valid keys");
        sim.add(at(i), Some(Member { node, out: VecDeque::new(), granted: 0 }));
    }
    sim.run_for(Span::from_millis(20_000));
    let has_converged = |m: &Member| m.node.members.live() == n;
    assert!(sim.live().all(|(_, m)| has_converged(m)), "a fleet of {n} has not converged");
    sim.measure_cpu = true;
    sim
}

/// Load of the busiest member, which is the budget's coordinator, in excess of its load without lease requests.
struct CoordinatorLoad {
    bytes_in: f64,
    bytes_out: f64,
    cpu_us_per_s: f64,
    /// Ratio of requested budget units that were granted.
    granted_part: f64,
}

/// Each gateway requests one unit of the same cache's budget twice per second and holds it for 250 ms.
fn coordinator_load(n: usize, seed: u64) -> CoordinatorLoad {
    let mut sim = fleet(n, seed);
    let duration = Span::from_millis(10_000);
    let usages = |sim: &Sim<Member>| sim.slots.iter().map(|s| s.usage).collect::<Vec<_>>();
    sim.reset_usage();
    sim.run_for(duration);
    let idle = usages(&sim);
    sim.reset_usage();
    let key = (BudgetKind::Connections, 77);
    let quarter = Span::from_millis(250);
    for round in 0..20 {
        for i in 0..n {
            sim.with_actor(i, |m, now| {
                m.node.request(now, key, round, now + quarter);
                m.drain_output();
            });
        }
        sim.run_for(quarter);
        for i in 0..n {
            sim.with_actor(i, |m, now| {
                if m.node.leases.usage(key).0 > 0 {
                    m.node.release(now, key, false);
                }
                m.drain_output();
            });
        }
        sim.run_for(quarter);
    }
    let busy = usages(&sim);
    let per_second = |excess: f64| excess.max(0.0) / duration.as_secs_f64();
    let most = |of: fn(&crate::sim::Usage) -> f64| {
        let excess = busy.iter().zip(&idle).map(|(b, c)| of(b) - of(c));
        per_second(excess.fold(0.0, f64::max))
    };
    let granted: u32 = sim.live().map(|(_, m)| m.granted).sum();
    CoordinatorLoad {
        bytes_in: most(|s| s.bytes_in as f64),
        bytes_out: most(|s| s.bytes_out as f64),
        cpu_us_per_s: most(|s| s.cpu_time.as_secs_f64() * 1e6),
        granted_part: f64::from(granted) / 20.0 / n as f64,
    }
}

fn budget_series(seed: u64, quick: bool) -> Vec<Series> {
    let sizes = limit_sizes(&[4, 8, 12, 24, 36, 100, 300], quick);
    let all: Vec<(f64, CoordinatorLoad)> =
        sizes.iter().map(|&n| (n as f64, coordinator_load(n, seed))).collect();
    let one_series = |what: &str, unit: &str, timed: bool, of: fn(&CoordinatorLoad) -> f64| {
        let id = format!("budgets.{what}.by-gateways");
        let points = all.iter().map(|(n, k)| sample(*n, &[of(k)])).collect();
        let fixed_values = fixed(&[("budget", BUDGET.into()), ("wants_per_s", 2.0)]);
        let head = SeriesHead { timed, host: Host::Simulated, ..head(&id, "gateways", unit, LEASES) };
        head.series(fixed_values, points)
    };
    vec![
        one_series("keeper-bytes-in", "B/s", false, |k| k.bytes_in),
        one_series("keeper-bytes-out", "B/s", false, |k| k.bytes_out),
        one_series("keeper-processor", "us/s", true, |k| k.cpu_us_per_s),
        one_series("lent-part", "part", false, |k| k.granted_part),
    ]
}

// Replicated ledgers.

const REPLICAS: usize = 9;
const COPIES: usize = 3;
const GROUP: &str = "copies/src/group.rs";

/// Ledger replicas on one thread that exchange messages without delay.
struct Replicas {
    now: Time,
    all: Vec<copies::Node>,
    frames: VecDeque<(usize, usize, Vec<u8>)>,
    answered: u64,
    bytes: u64,
}

impl Replicas {
    fn new(groups: usize, seed: u64) -> Replicas {
        let now = Time::from_micros(1_000_000);
        let at = |i: usize| format!("127.0.0.1:{}", 7_000 + i);
        let holder =
            |i: usize| json!({"name": format!("g{i}"), "address": at(i), "zone": format!("z{}", i % 3)});
        let holders: Vec<_> = (0..REPLICAS).map(holder).collect();
        let node = |i: usize| {
            let file = json!({"gateway": format!("g{i}"), "listen": at(i), "copies": COPIES, "groups": groups,
                "holders": holders, "bounds": {"entries": 1_000_000, "age_ms": 600_000}});
            let file = Copies::parse(&file.to_string()).expect("valid settings");
            copies::Node::new(&file, 1_000 + i as u64, seed + i as u64, now).expect("valid replica")
        };
        let all: Vec<copies::Node> = (0..REPLICAS).map(node).collect();
        let greetings: Vec<Vec<u8>> = all.iter().map(copies::Node::hello).collect();
        let mut replicas = Replicas { now, all, frames: VecDeque::new(), answered: 0, bytes: 0 };
        for (i, node) in replicas.all.iter_mut().enumerate() {
            for (_, greeting) in greetings.iter().enumerate().filter(|(j, _)| *j != i) {
                node.hello_received(now, greeting).expect("valid replica");
            }
        }
        replicas.advance(Span::from_millis(20_000));
        replicas
    }

    fn drain_output(&mut self, i: usize) {
        while let Some(output) = self.all[i].poll() {
            match output {
                copies::Out::Send { holder, frame, .. } => {
                    self.bytes += frame.len() as u64;
                    self.frames.push_back((i, holder, frame));
                }
                copies::Out::Response(answer) => {
                    self.answered += u64::from(answer.result != Ok(CommandResult::Running))
                }
                copies::Out::LedgerChanged { .. } | copies::Out::Write { .. } => {}
            }
        }
    }

    fn deliver_all(&mut self) {
        (0..REPLICAS).for_each(|i| self.drain_output(i));
        while let Some((from, to, frame)) = self.frames.pop_front() {
            let (now, id) = (self.now, self.all[from].id());
            self.all[to].frame_received(now, from, id, &frame);
            self.drain_output(to);
        }
    }

    fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now += Span::from_millis(10);
            self.all.iter_mut().for_each(|node| node.tick(self.now));
            self.deliver_all();
        }
    }
}

/// Returns the ledger entries completed by all groups per second of one thread's processor time, and the bytes exchanged
/// between replicas per entry.
fn ledger_throughput(groups: usize, at_once: u64, total: u64, seed: u64) -> (f64, f64) {
    let mut replicas = Replicas::new(groups, seed);
    let senders: Vec<u64> = (1..=64).collect();
    for &sender in &senders {
        let group = replicas.all[0].group_of(sender);
        replicas.all[0].submit(
            replicas.now,
            group,
            9,
            Operation::RegisterSender(RegisterSender { sender, next_number: 1 }),
        );
    }
    replicas.deliver_all();
    let (started, bytes, answered) = (ThreadTime::now(), replicas.bytes, replicas.answered);
    let mut number = 0;
    while number < total {
        for end in [false, true] {
            for seq in number + 1..=number + at_once {
                let key = Key { sender: senders[seq as usize % senders.len()], number: seq };
                let at = seq as usize % REPLICAS;
                let group = replicas.all[at].group_of(key.sender);
                let answer = Answer { outcome: TxnOutcome::Served, body: seq.to_be_bytes().repeat(2) };
                let word = if end { Operation::end(key, &answer, 0) } else { Operation::accept(key) };
                replicas.all[at].submit(replicas.now, group, 9, word);
            }
            replicas.deliver_all();
        }
        number += at_once;
        if number.is_multiple_of(1_024) {
            replicas.advance(Span::from_millis(10));
        }
    }
    assert_eq!(replicas.answered - answered, 2 * number, "ledger commands without an answer");
    (number as f64 / started.elapsed().as_secs_f64(), (replicas.bytes - bytes) as f64 / number as f64)
}

fn ledger_series(seed: u64, quick: bool) -> Vec<Series> {
    let total = if quick { 256 } else { 20_000 };
    let mut series = Vec::new();
    for (name, over, sizes) in
        [("groups", "groups", [1, 2, 4, 8, 16]), ("books-at-once", "at_once", [1, 4, 16, 64, 256])]
    {
        let played = sizes.map(|n| {
            let (groups, at_once) = if over == "groups" { (n, 64) } else { (4, n) };
            (n as f64, ledger_throughput(groups, at_once as u64, total, seed))
        });
        let other = if over == "groups" { ("at_once", 64.0) } else { ("groups", 4.0) };
        let fixed_values = fixed(&[("copies", COPIES as f64), ("holders", REPLICAS as f64), other]);
        let points = |of: fn((f64, f64)) -> f64| played.iter().map(|(n, b)| sample(*n, &[of(*b)])).collect();
        let id = format!("ledgers.books.by-{name}");
        let rate = SeriesHead { timed: true, ..head(&id, over, "txns/s", GROUP) };
        series.push(rate.series(fixed_values.clone(), points(|b| b.0)));
        let id = format!("ledgers.bytes-a-book.by-{name}");
        series.push(head(&id, over, "B", GROUP).series(fixed_values, points(|b| b.1)));
    }
    series
}

// Failover decision.

const DECIDE: &str = "failover/src/decide.rs";

struct StepCosts {
    /// Processor time of each decision step including the reports before it, in us.
    us: Vec<f64>,
    /// Number of gateways whose reports were counted.
    counted: f64,
}

/// Runs decision steps in which all gateways report first and one zone in five is unhealthy from the start.
fn step_costs(zones: usize, gateways: usize, rounds: usize) -> StepCosts {
    let neighbors = |z: usize| (1..zones).map(|k| format!("z{}", (z + k) % zones)).collect::<Vec<_>>();
    let all: Vec<_> = (0..zones).map(|z| json!({"name": format!("z{z}"), "near": neighbors(z)})).collect();
    let file = Failover::read(&json!({"zones": all}).to_string()).expect("valid settings");
    let mut now = Time::from_micros(1_000_000);
    let mut decider = Decider::new(&file, &vec![0.0; zones], 1, now);
    let kinds = [(5, false), (9, true)].map(|(importance, write)| Asked { importance, write });
    let report = |g: usize| {
        let bad = |z: usize| if z % 5 == 4 { 50.0 } else { 1.0 };
        let load = |(z, kind)| Load { from: (z, kind), per_s: 0.5, kb: 120.0 };
        Report {
            hops: (0..zones).map(|z| (z, Evidence { hops: 100.0, bad: bad(z) })).collect(),
            loads: kinds.map(|kind| load((g % zones, kind))).to_vec(),
            // Each gateway reports a rate of one, so a zone's total is the number of gateways counted.
            rates: (0..zones).map(|z| (z, 1.0)).collect(),
        }
    };
    let reports: Vec<Report> = (0..gateways).map(report).collect();
    let us = (0..rounds).map(|_| {
        now += Span::from_millis(500);
        let reports = reports.clone();
        let started = ThreadTime::now();
        for (g, report) in reports.into_iter().enumerate() {
            decider.report(now, g as u64, report);
        }
        decider.tick(now);
        started.elapsed().as_secs_f64() * 1e6
    });
    let us = us.collect();
    StepCosts { us, counted: decider.observed_capacity(0) }
}

fn failover_series(quick: bool) -> Vec<Series> {
    let rounds = if quick { 2 } else { 10 };
    let timed = |id, over| SeriesHead { timed: true, ..head(id, over, "us", DECIDE) };
    let by_zones = [5, 10, 20, 40, 64].map(|n| sample(n as f64, &step_costs(n, 267, rounds).us));
    let sizes = limit_sizes(&[25, 100, 267, 1_000, 2_000, 4_000, 8_000], quick);
    let all: Vec<(f64, StepCosts)> = sizes.iter().map(|&n| (n as f64, step_costs(30, n, rounds))).collect();
    let zones = fixed(&[("zones", 30.0)]);
    let by_gateways = all.iter().map(|(n, s)| sample(*n, &s.us)).collect();
    let counted = all.iter().map(|(n, s)| sample(*n, &[s.counted])).collect();
    vec![
        timed("failover.processor-a-step.by-zones", "zones")
            .series(fixed(&[("gateways", 267.0)]), by_zones.to_vec()),
        timed("failover.processor-a-step.by-gateways", "gateways").series(zones.clone(), by_gateways),
        head("failover.gateways-heard.by-gateways", "gateways", "count", DECIDE).series(zones, counted),
    ]
}

pub fn measure(seed: u64, quick: bool) -> Vec<Series> {
    let all = [
        connection_series(seed, quick),
        cold_series(seed, quick),
        budget_series(seed, quick),
        ledger_series(seed, quick),
    ];
    all.into_iter().flatten().chain(failover_series(quick)).collect()
}
