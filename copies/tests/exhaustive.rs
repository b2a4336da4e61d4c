//! All schedules of a small configuration up to a depth: three holders, one txn accepted at one gateway and queried
//! at another, with frames delivered or held back, one machine lost and time passing, in every order. After each
//! schedule everything is delivered, and every remaining gateway must give the same final result.

use kelpcart::{Span, Time};
use kelpcart_copies::command::{CommandResult, Operation, RegisterSender};
use kelpcart_copies::node::{Node, Out};
use kelpcart_copies::settings::Copies;
use kelpcart_sites::ledger::{Answer, Key, TxnOutcome};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const N: usize = 3;
const KEY: Key = Key { sender: 7, number: 3 };

fn file(i: usize) -> Copies {
    let holder = |i: usize| json!({"name": format!("g{i}"), "address": format!("127.0.0.1:{}", 7_000 + i), "zone": format!("z{i}")});
    let all = json!({
        "gateway": format!("g{i}"), "listen": format!("127.0.0.1:{}", 7_000 + i),
        "holders": (0..N).map(holder).collect::<Vec<_>>(),
    });
    Copies::parse(&all.to_string()).unwrap()
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    Deliver(usize, usize),
    /// With its frames still in flight delivered, or lost with it.
    Kill(usize, bool),
    Wait,
    Query(usize),
    /// The store answers the gateway that runs the txn.
    Answer,
}

/// Frames in flight, with the run id of their sender.
type Link = VecDeque<(u64, Vec<u8>)>;

struct World {
    now: Time,
    all: Vec<Option<Node>>,
    links: BTreeMap<(usize, usize), Link>,
    asks: BTreeMap<(usize, u64), &'static str>,
    killed: bool,
    waits: usize,
    found: bool,
    /// The gateway that runs it, and whether the store has answered.
    runs: Option<usize>,
    ran: bool,
    ended: bool,
    recorded: bool,
    final_results: BTreeSet<&'static str>,
}

impl World {
    /// A group with a leader and a registered sender; the txn's accept is submitted and none of its frames is
    /// delivered.
    fn new(acceptor: usize) -> World {
        let now = Time::from_micros(1_000_000);
        let all = (0..N).map(|i| Node::new(&file(i), 100 + i as u64, i as u64, now)).collect();
        let mut world = World {
            now,
            all,
            links: BTreeMap::new(),
            asks: BTreeMap::new(),
            killed: false,
            waits: 0,
            found: false,
            runs: None,
            ran: false,
            ended: false,
            recorded: false,
            final_results: BTreeSet::new(),
        };
        for i in 0..N {
            for j in (0..N).filter(|j| *j != i) {
                world.meet(i, j);
            }
        }
        world.pass(8_000);
        world.submit(
            acceptor,
            "register",
            Operation::RegisterSender(RegisterSender { sender: KEY.sender, next_number: 1 }),
        );
        world.pass(500);
        world.submit(acceptor, "take", Operation::accept(KEY));
        world
    }

    fn meet(&mut self, i: usize, j: usize) {
        let Some(hello) = self.all[j].as_ref().map(Node::hello) else { return };
        if let Some(node) = &mut self.all[i] {
            node.hello_received(self.now, &hello).unwrap();
        }
    }

    fn submit(&mut self, at: usize, purpose: &'static str, operation: Operation) {
        let now = self.now;
        let Some(node) = &mut self.all[at] else { return };
        let group = node.group_of(KEY.sender);
        let ask = node.submit(now, group, 9, operation);
        self.asks.insert((at, ask), purpose);
        self.pull(at);
    }

    fn pull(&mut self, i: usize) {
        while let Some((out, id)) = self.all[i].as_mut().and_then(|n| Some((n.poll()?, n.id()))) {
            match out {
                Out::Send { holder, frame, .. } => {
                    self.links.entry((i, holder)).or_default().push_back((id, frame));
                }
                Out::Response(response) => {
                    let purpose = self.asks.remove(&(i, response.request_id));
                    self.response_received(i, purpose.unwrap_or("late"), response.result.ok());
                }
                Out::Write { .. } | Out::LedgerChanged { .. } => {}
            }
        }
    }

    fn response_received(&mut self, i: usize, purpose: &'static str, outcome: Option<CommandResult>) {
        match (purpose, outcome) {
            ("take", Some(CommandResult::Granted)) => {
                assert!(
                    self.final_results.is_empty(),
                    "it runs after it was reported as {:?}",
                    self.final_results
                );
                (self.runs, self.ran) = (Some(i), true);
            }
            // Nobody but this gateway could run the txn, and it does not: should the accept be committed, the txn
            // ends as rejected.
            ("take", None) => {
                let answer = Answer {
                    outcome: TxnOutcome::Rejected { retry_after: None, may_have_run: false },
                    body: Vec::new(),
                };
                self.submit(i, "cancel", Operation::end(KEY, &answer, 0));
            }
            ("end", Some(CommandResult::Recorded)) => self.recorded = true,
            ("find", Some(outcome)) => {
                let result = match outcome {
                    CommandResult::NeverAccepted => "never",
                    CommandResult::Ended(answer) if answer.outcome == TxnOutcome::Served => "ended",
                    CommandResult::Ended(_) => "given up",
                    CommandResult::Unknown => "unknown",
                    _ => return,
                };
                let not_run = result == "never" || result == "given up";
                assert!(!not_run || !self.ran, "it ran and is reported as {result}");
                assert!(result != "ended" || self.ended, "it is reported as ended and did not end");
                assert!(
                    !self.recorded || result == "ended",
                    "its end was recorded and it is reported as {result}"
                );
                self.final_results.insert(result);
                assert!(self.final_results.len() == 1, "{:?}", self.final_results);
            }
            _ => {}
        }
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let Some((id, frame)) = self.links.get_mut(&(from, to)).and_then(VecDeque::pop_front) else { return };
        let now = self.now;
        if let Some(node) = &mut self.all[to] {
            node.frame_received(now, from, id, &frame);
            self.pull(to);
        }
    }

    fn deliver_all(&mut self) {
        while let Some(&(from, to)) = self.links.iter().find(|(_, l)| !l.is_empty()).map(|(k, _)| k) {
            self.deliver(from, to);
        }
    }

    fn tick(&mut self, ms: u64) {
        self.now += Span::from_millis(ms);
        for i in 0..N {
            if let Some(node) = &mut self.all[i] {
                node.tick(self.now);
                self.pull(i);
            }
        }
    }

    /// Time passes and everything is delivered.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.tick(20);
            self.deliver_all();
        }
    }

    fn choices(&self) -> Vec<Choice> {
        let links = self.links.iter().filter(|(_, l)| !l.is_empty());
        let mut all: Vec<Choice> = links.map(|(&(from, to), _)| Choice::Deliver(from, to)).collect();
        if !self.killed {
            all.extend((0..N).flat_map(|i| [Choice::Kill(i, false), Choice::Kill(i, true)]));
        }
        if self.waits < 2 {
            all.push(Choice::Wait);
        }
        if !self.found {
            all.extend((0..N).filter(|&i| self.all[i].is_some()).map(Choice::Query));
        }
        if self.runs.is_some_and(|i| self.all[i].is_some()) && !self.ended {
            all.push(Choice::Answer);
        }
        all
    }

    fn play(&mut self, choice: Choice) {
        match choice {
            Choice::Deliver(from, to) => self.deliver(from, to),
            Choice::Kill(i, said) => {
                self.killed = true;
                self.all[i] = None;
                self.links.retain(|(from, to), _| *to != i && (said || *from != i));
            }
            // Longer than an election timeout, so that members that heard nothing campaign.
            Choice::Wait => {
                self.waits += 1;
                (0..8).for_each(|_| self.tick(100));
            }
            Choice::Query(i) => {
                self.found = true;
                self.submit(i, "find", Operation::query(KEY, 0));
            }
            Choice::Answer => self.end(),
        }
    }

    fn end(&mut self) {
        let Some(i) = self.runs.filter(|i| self.all[*i].is_some()) else { return };
        self.ended = true;
        let answer = Answer { outcome: TxnOutcome::Served, body: vec![1] };
        self.submit(i, "end", Operation::end(KEY, &answer, 0));
    }

    /// Delivers everything, then queries each remaining gateway.
    fn settle(&mut self, schedule: &[usize]) {
        self.pass(3_000);
        if !self.ended {
            self.end();
        }
        self.pass(4_000);
        for i in 0..N {
            self.submit(i, "find", Operation::query(KEY, 0));
            self.pass(300);
        }
        let sees: Vec<_> = self
            .all
            .iter()
            .flatten()
            .map(|n| (n.has_majority(self.now, 0), n.member(0).map(|m| m.voters().to_vec())))
            .collect();
        assert!(
            !self.final_results.is_empty(),
            "{schedule:?}: with at most one machine lost the group must answer {sees:?}"
        );
    }
}

/// Explores every schedule of `depth` choices; the rest is delivered in order.
fn explore(
    acceptor: usize,
    prefix: &mut Vec<usize>,
    depth: usize,
    counts: &mut (u64, BTreeMap<&'static str, u64>),
) {
    let mut world = World::new(acceptor);
    let mut open = 0;
    for (step, &at) in prefix.iter().enumerate() {
        let choices = world.choices();
        let Some(&choice) = choices.get(at) else { unreachable!("step {step} of {prefix:?}") };
        world.play(choice);
    }
    if prefix.len() < depth {
        open = world.choices().len();
    }
    if open == 0 {
        let schedule = prefix.clone();
        world.settle(&schedule);
        counts.0 += 1;
        world.final_results.iter().for_each(|result| *counts.1.entry(result).or_default() += 1);
        return;
    }
    for at in 0..open {
        prefix.push(at);
        explore(acceptor, prefix, depth, counts);
        prefix.pop();
    }
}

#[test]
fn every_schedule_gives_one_final_result() {
    let depth = std::env::var("COPIES_DEPTH").ok().and_then(|n| n.parse().ok()).unwrap_or(3);
    let mut counts = (0, BTreeMap::new());
    for acceptor in 0..N {
        explore(acceptor, &mut Vec::new(), depth, &mut counts);
    }
    println!("{} schedules of {depth} choices: {:?}", counts.0, counts.1);
    assert!(counts.1.len() >= 2, "{counts:?}");
}
