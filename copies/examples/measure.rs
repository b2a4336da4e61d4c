//! Measures the cost of replication on this machine: the core alone with frames delivered at once and no sockets, and
//! synced disk writes. Prints tables; `--json FILE` writes the same figures, `--seed N` sets the seed.

use kelpcart::{Span, Time};
use kelpcart_copies::command::{CommandResult, EndTxn, Operation, OutcomeRecord, RegisterSender};
use kelpcart_copies::machine::Machine;
use kelpcart_copies::node::{Node, Out};
use kelpcart_copies::outcome_log::OutcomeLog;
use kelpcart_copies::settings::Copies;
use kelpcart_sites::ledger::{Answer, Bounds, Change, Key, TxnOutcome};
use kelpcart_sites::store::Store;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

fn file(i: usize, n: usize, copies: usize, groups: u32) -> Copies {
    let holder = |i: usize| json!({"name": format!("g{i}"), "address": format!("127.0.0.1:{}", 7_000 + i), "zone": format!("z{}", i % 3)});
    let all = json!({
        "gateway": format!("g{i}"), "listen": format!("127.0.0.1:{}", 7_000 + i), "copies": copies, "groups": groups,
        "holders": (0..n).map(holder).collect::<Vec<_>>(), "bounds": {"entries": 1_000_000, "age_ms": 600_000},
    });
    Copies::parse(&all.to_string()).expect("valid settings")
}

/// Holders with immediate delivery, on one thread.
struct World {
    now: Time,
    all: Vec<Node>,
    frames: VecDeque<(usize, usize, Vec<u8>)>,
    done: u64,
    bytes: u64,
}

impl World {
    fn new(n: usize, copies: usize, groups: u32, seed: u64) -> World {
        let now = Time::from_micros(1_000_000);
        let node = |i| Node::new(&file(i, n, copies, groups), 1_000 + i as u64, seed + i as u64, now);
        let all = (0..n).filter_map(node).collect();
        let mut world = World { now, all, frames: VecDeque::new(), done: 0, bytes: 0 };
        let hellos: Vec<Vec<u8>> = world.all.iter().map(Node::hello).collect();
        for (i, node) in world.all.iter_mut().enumerate() {
            for (_, hello) in hellos.iter().enumerate().filter(|(j, _)| *j != i) {
                node.hello_received(now, hello).expect("a holder");
            }
        }
        world.pass(Span::from_millis(20_000));
        world
    }

    fn pull(&mut self, i: usize) {
        while let Some(out) = self.all[i].poll() {
            match out {
                Out::Send { holder, frame, .. } => {
                    self.bytes += frame.len() as u64;
                    self.frames.push_back((i, holder, frame));
                }
                Out::Response(response) => {
                    self.done += u64::from(response.result != Ok(CommandResult::Running))
                }
                Out::LedgerChanged { .. } | Out::Write { .. } => {}
            }
        }
    }

    fn settle(&mut self) {
        (0..self.all.len()).for_each(|i| self.pull(i));
        while let Some((from, to, frame)) = self.frames.pop_front() {
            let (now, id) = (self.now, self.all[from].id());
            self.all[to].frame_received(now, from, id, &frame);
            self.pull(to);
        }
    }

    fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += Span::from_millis(10);
            for i in 0..self.all.len() {
                self.all[i].tick(self.now);
            }
            self.settle();
        }
    }
}

fn answer(n: u64) -> Answer {
    Answer { outcome: TxnOutcome::Served, body: n.to_be_bytes().repeat(2) }
}

/// Accepts and ends txns, `at_once` at a time, and measures the cost of one.
fn txns(copies: usize, groups: u32, at_once: u64, seed: u64) -> Value {
    let n = 9.max(copies);
    let mut world = World::new(n, copies, groups, seed);
    let senders: Vec<u64> = (1..=64).collect();
    for &sender in &senders {
        let group = world.all[0].group_of(sender);
        world.all[0].submit(
            world.now,
            group,
            9,
            Operation::RegisterSender(RegisterSender { sender, next_number: 1 }),
        );
    }
    world.settle();
    let (total, began, bytes, done) = (20_000u64, Instant::now(), world.bytes, world.done);
    let mut number = 0;
    while number < total {
        let batch: Vec<u64> = (0..at_once).map(|i| number + i + 1).collect();
        number += at_once;
        for end in [false, true] {
            for &one in &batch {
                let key = Key { sender: senders[one as usize % senders.len()], number: one };
                let at = one as usize % n;
                let group = world.all[at].group_of(key.sender);
                let operation =
                    if end { Operation::end(key, &answer(one), 0) } else { Operation::accept(key) };
                world.all[at].submit(world.now, group, 9, operation);
            }
            world.settle();
        }
        if number.is_multiple_of(1_024) {
            world.pass(Span::from_millis(10));
        }
    }
    let took = began.elapsed().as_secs_f64();
    let told = world.done - done;
    assert!(told >= 2 * number, "{told} of {} told", 2 * number);
    json!({
        "copies": copies, "groups": groups, "at_once": at_once, "books_per_s": (number as f64 / took) as u64,
        "us_a_book": took / number as f64 * 1e6, "bytes_a_book": (world.bytes - bytes) / number,
    })
}

/// A member is lost, and a new one receives a ledger of 50,000 txns while txns go on: the simulated time until the
/// group is complete, and the real time of the slowest turn.
fn catch_up(copies: usize, seed: u64) -> Value {
    let mut world = World::new(9, copies, 1, seed);
    world.all[0].submit(
        world.now,
        0,
        9,
        Operation::RegisterSender(RegisterSender { sender: 1, next_number: 1 }),
    );
    world.settle();
    let mut number = 0;
    let mut run_txns = |world: &mut World, n: u64| {
        for end in [false, true] {
            for one in number + 1..=number + n {
                let key = Key { sender: 1, number: one };
                let at = one as usize % world.all.len();
                let operation =
                    if end { Operation::end(key, &answer(one), 0) } else { Operation::accept(key) };
                world.all[at].submit(world.now, 0, 9, operation);
            }
            world.settle();
        }
        number += n;
    };
    for _ in 0..500 {
        run_txns(&mut world, 100);
        world.pass(Span::from_millis(10));
    }
    let leads = |w: &World| w.all.iter().position(|n| n.member(0).is_some_and(|m| m.is_ready())).unwrap_or(0);
    let leader = leads(&world);
    let held = |w: &World, i: usize| w.all[i].member(0).is_some_and(|m| m.voters().contains(&m.id));
    let lost = (0..9).find(|&i| i != leader && held(&world, i)).unwrap_or(0);
    // It restarts without state.
    let start = Node::new(&file(lost, 9, copies, 1), 5_000, seed, world.now).expect("a holder");
    world.all[lost] = start;
    for i in (0..9).filter(|i| *i != lost) {
        let (theirs, ours) = (world.all[i].hello(), world.all[lost].hello());
        let now = world.now;
        world.all[lost].hello_received(now, &theirs).expect("a holder");
        world.all[i].hello_received(now, &ours).expect("a holder");
    }
    let (began, mut slowest) = (world.now, 0.0f64);
    while world.now - began < Span::from_millis(30_000) {
        let turn = Instant::now();
        run_txns(&mut world, 10);
        world.pass(Span::from_millis(10));
        slowest = slowest.max(turn.elapsed().as_secs_f64());
        let leader = leads(&world);
        let voters = world.all[leader].member(0).map_or(0, |m| m.voters().len());
        let all_live = (0..9).filter(|&i| held(&world, i)).count();
        if voters == copies && all_live == copies {
            break;
        }
    }
    json!({"copies": copies, "entries": 50_000, "whole_again_s": (world.now - began).as_secs_f64(),
        "slowest_turn_ms": slowest * 1e3})
}

/// This process's resident memory.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
    line.and_then(|kb| kb.trim().parse().ok()).unwrap_or(0)
}

/// The cost of a ledger with this many txns, and of its snapshot.
fn snapshot(entries: u64) -> Value {
    let age = Span::from_millis(60_000);
    let bounds = Bounds { entries: 1_000_000, bytes: 64 << 20, age, senders: 256 };
    let mut machine = Machine::new(bounds, 1);
    machine.apply(
        Time::from_micros(1),
        5,
        &Operation::RegisterSender(RegisterSender { sender: 1, next_number: 1 }),
    );
    let before = resident_kb();
    let began = Instant::now();
    for number in 1..=entries {
        let key = Key { sender: 1, number };
        machine.apply(Time::from_micros(number), 5, &Operation::accept(key));
        machine.apply(Time::from_micros(number), 5, &Operation::end(key, &answer(number), 0));
    }
    let filled = began.elapsed().as_secs_f64();
    let kb = resident_kb().saturating_sub(before);
    let began = Instant::now();
    let bytes = machine.snapshot();
    let made = began.elapsed().as_secs_f64();
    let began = Instant::now();
    let again = Machine::from_snapshot(bounds, 1, &bytes).map(|m| m.len());
    let read = began.elapsed().as_secs_f64();
    assert_eq!(again, Some(entries as usize));
    json!({"entries": entries, "us_an_entry": filled / entries as f64 * 1e6, "resident_kb": kb, "image_kb": bytes.len() / 1024,
        "made_ms": made * 1e3, "read_ms": read * 1e3})
}

/// Outcomes written to the disk in batches: the outcome log, and the embedded store.
fn disk(at_once: u64) -> Value {
    let folder = std::env::temp_dir().join(format!("kelpcart-copies-{}", std::process::id()));
    let (mut notes, _) = OutcomeLog::open(&folder).expect("a folder");
    let rounds = 100;
    let one = |n: u64| (Key { sender: 1, number: n }, Arc::new(answer(n)));
    let p = |mut all: Vec<f64>, q: f64| {
        all.sort_by(f64::total_cmp);
        all[((all.len() - 1) as f64 * q) as usize] * 1e3
    };
    let (mut log, mut store) = (Vec::new(), Vec::new());
    let (mut kept, _) = Store::open(&folder.join("store"), 1).expect("a file");
    for round in 0..rounds {
        let all: Vec<_> = (0..at_once).map(|i| one(round * at_once + i)).collect();
        let began = Instant::now();
        let records: Vec<OutcomeRecord> =
            all.iter().map(|(key, a)| OutcomeRecord { ledger: 1, end: Some(EndTxn::new(*key, a)) }).collect();
        notes.write(records.iter()).expect("room on the disk");
        log.push(began.elapsed().as_secs_f64());
        let began = Instant::now();
        let changes: Vec<Change> = all.into_iter().map(|(key, a)| Change::Ended(key, a)).collect();
        kept.apply(changes.iter()).expect("room on the disk");
        store.push(began.elapsed().as_secs_f64());
    }
    _ = std::fs::remove_dir_all(&folder);
    json!({"at_once": at_once, "records_p50_ms": p(log.clone(), 0.5), "records_p99_ms": p(log, 0.99),
        "store_p50_ms": p(store.clone(), 0.5), "store_p99_ms": p(store, 0.99)})
}

fn table(title: &str, rows: &[Value]) {
    println!("{title}");
    let Some(first) = rows.first().and_then(Value::as_object) else { return };
    println!("{}", first.keys().map(|k| format!("{k:>16}")).collect::<String>());
    for row in rows.iter().filter_map(Value::as_object) {
        let cell = |v: &Value| match v.as_f64() {
            Some(f) if v.is_f64() => format!("{f:>16.2}"),
            _ => format!("{:>16}", v.to_string()),
        };
        println!("{}", row.values().map(cell).collect::<String>());
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let after = |name: &str| args.iter().position(|a| a == name).and_then(|i| args.get(i + 1));
    let seed = after("--seed").and_then(|s| s.parse().ok()).unwrap_or(1);
    // The largest first, while the process holds no freed memory that it could reuse.
    let images: Vec<Value> = [100_000, 10_000, 1_000].map(snapshot).to_vec();
    let mut all = Vec::new();
    for copies in [3, 5] {
        for (groups, at_once) in [(1, 1), (1, 64), (4, 64), (16, 64)] {
            all.push(txns(copies, groups, at_once, seed));
        }
    }
    table("txns, nine holders on one thread, no sockets", &all);
    let catches: Vec<Value> = [3, 5].map(|copies| catch_up(copies, seed)).to_vec();
    table("snapshots of a ledger", &images);
    let disks: Vec<Value> = [1, 16, 64].map(disk).to_vec();
    table("a new member during 1,000 txns/s", &catches);
    table("outcomes written to disk", &disks);
    if let Some(path) = after("--json") {
        let value =
            json!({"seed": seed, "books": all, "images": images, "catch_up": catches, "disks": disks});
        std::fs::write(path, value.to_string()).expect("the file can be written");
    }
}
