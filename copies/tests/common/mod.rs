//! Simulation of the holders of replicated ledgers, with machine losses, paused processes, partitions, lost and late
//! frames, and senders of other sites whose txns run at a counting store. The invariants are checked from responses
//! and runs, independently of the deciding code. All randomness comes from one seed.
#![allow(dead_code, reason = "each test file uses its part")]

use kelpcart::{Span, Time};
use kelpcart_copies::client::{RequestError, Response};
use kelpcart_copies::command::{CommandResult, Operation, OutcomeRecord, RegisterSender, TxnKey};
use kelpcart_copies::node::{Node, Out};
use kelpcart_copies::settings::Copies;
use kelpcart_sites::ledger::{Answer, Key, TxnOutcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

pub fn file(i: usize, n: usize, copies: usize, groups: u32, disk: bool) -> Copies {
    let holder = |i: usize| json!({"name": format!("g{i}"), "address": format!("127.0.0.1:{}", 7_000 + i), "zone": format!("z{}", i % 3)});
    let all = json!({
        "gateway": format!("g{i}"), "listen": format!("127.0.0.1:{}", 7_000 + i), "copies": copies, "groups": groups,
        "holders": (0..n).map(holder).collect::<Vec<_>>(),
        "times": {"absent_ms": 4_000},
        "bounds": {"entries": 2_000, "log": 256, "waiting": 512},
        "disk": disk.then_some("notes"),
    });
    Copies::parse(&all.to_string()).unwrap()
}

/// Safeguards to switch off, to show that the checks detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DisabledSafeguards {
    /// A txn runs before its acceptance is replicated.
    pub replicate_accept_first: bool,
    /// A txn is answered before its outcome is replicated.
    pub replicate_outcome_first: bool,
    /// A gateway that lost its state restarts under its former run id.
    pub fresh_run_id: bool,
    /// A granted txn runs even if its accept lease has expired.
    pub accept_lease: bool,
}

/// The purpose of a pending request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Purpose {
    Register(usize),
    Accept(Key),
    End(Key),
    Query(usize, Key),
    Settle,
    /// A query of a recorded outcome, made apart from the senders.
    Probe(u64, Key),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The disk has completed all writes up to the mark.
    Written {
        at: usize,
        id: u64,
        mark: u64,
    },
    /// A frame of this start of a holder arrives.
    Frame {
        from: usize,
        id: u64,
        to: usize,
        no: u64,
    },
    /// Two holders that are not connected to each other connect.
    Meet {
        a: usize,
        b: usize,
    },
    /// The store runs a txn for a gateway's start; the answer comes back later.
    Run {
        at: usize,
        id: u64,
        key: Key,
    },
    Ran {
        at: usize,
        id: u64,
        key: Key,
    },
    /// A sender takes its next action.
    Sender {
        sender: usize,
    },
}

pub struct Host {
    pub node: Option<Node>,
    pub paused: bool,
    leaving: bool,
    /// How far its clock is ahead of the others'.
    pub ahead: Span,
    starts: u64,
    waits: BTreeMap<u64, (Purpose, Time)>,
    /// Txns that it runs for a waiting sender, with the ledger that accepted each.
    runs: BTreeMap<Key, u64>,
    wake: Time,
    /// Outcome records that the disk has taken.
    disk: Vec<OutcomeRecord>,
}

struct Sender {
    run: u64,
    next: u64,
    /// The ledger that registered it and the gateway it is connected to.
    registered: Option<(u64, usize)>,
    txn: Option<Txn>,
    floor: u64,
}

#[derive(Clone, Copy, Debug)]
struct Txn {
    number: u64,
    at: usize,
    id: u64,
    ledger: u64,
    since: Time,
    querying: bool,
}

/// How txns ended for their senders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ends {
    pub submitted: u64,
    pub served: u64,
    pub rejected: u64,
    pub retried: u64,
    pub aborted: u64,
}

pub struct Net {
    pub now: Time,
    pub all: Vec<Host>,
    files: Vec<Copies>,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    frames: BTreeMap<u64, (Vec<u8>, bool)>,
    no: u64,
    pub rng: Pcg64Mcg,
    pub steps: u64,
    pub loss: f64,
    pub late: f64,
    pub delay: Span,
    pub cuts: BTreeSet<(usize, usize)>,
    known: BTreeMap<(usize, usize), (u64, u64)>,
    senders: Vec<Sender>,
    pub busy: bool,
    pub disabled: DisabledSafeguards,
    pub ends: Ends,
    // State of the invariant checks.
    ran: BTreeMap<Key, u32>,
    never: BTreeSet<Key>,
    /// By ledger and txn: the final result that was given.
    final_results: BTreeMap<(u64, Key), CommandResult>,
    settled: BTreeSet<Key>,
    recorded: BTreeMap<(u64, Key), Time>,
    pub violations: Vec<String>,
    pub leaderless: Vec<Span>,
    without_leader: Option<Time>,
    /// Writes in progress, by holder, run id and mark.
    writing: BTreeMap<(usize, u64, u64), Vec<OutcomeRecord>>,
    pub probes: Vec<(u64, Key, Result<CommandResult, RequestError>)>,
}

fn answer(key: Key) -> Answer {
    Answer { outcome: TxnOutcome::Served, body: key.number.to_be_bytes().to_vec() }
}

impl Net {
    pub fn new(n: usize, copies: usize, groups: u32, senders: usize, seed: u64) -> Net {
        Net::with(n, copies, groups, senders, seed, false)
    }

    pub fn with(n: usize, copies: usize, groups: u32, senders: usize, seed: u64, disk: bool) -> Net {
        let now = Time::from_micros(1_000_000_000);
        let host = || Host {
            node: None,
            paused: false,
            leaving: false,
            ahead: Span::ZERO,
            starts: 0,
            waits: BTreeMap::new(),
            runs: BTreeMap::new(),
            wake: now,
            disk: Vec::new(),
        };
        let sender = |i| Sender { run: 900_000 + i, next: 1, registered: None, txn: None, floor: 0 };
        let mut net = Net {
            now,
            all: (0..n).map(|_| host()).collect(),
            files: (0..n).map(|i| file(i, n, copies, groups, disk)).collect(),
            queue: BinaryHeap::new(),
            frames: BTreeMap::new(),
            no: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            steps: 0,
            loss: 0.0,
            late: 0.0,
            delay: ms(1),
            cuts: BTreeSet::new(),
            known: BTreeMap::new(),
            senders: (0..senders as u64).map(sender).collect(),
            busy: true,
            disabled: DisabledSafeguards::default(),
            ends: Ends::default(),
            ran: BTreeMap::new(),
            never: BTreeSet::new(),
            final_results: BTreeMap::new(),
            settled: BTreeSet::new(),
            recorded: BTreeMap::new(),
            violations: Vec::new(),
            leaderless: Vec::new(),
            without_leader: None,
            writing: BTreeMap::new(),
            probes: Vec::new(),
        };
        (0..n).for_each(|i| net.start(i));
        (0..senders).for_each(|s| net.schedule(ms(20 + 7 * s as u64), Event::Sender { sender: s }));
        net
    }

    fn schedule(&mut self, after: Span, what: Event) {
        self.no += 1;
        self.queue.push(Reverse((self.now + after, self.no, what)));
    }

    pub fn start(&mut self, i: usize) {
        let host = &mut self.all[i];
        host.starts += 1;
        let id = 1_000 * (i as u64 + 1) + if self.disabled.fresh_run_id { 0 } else { host.starts };
        let seed = self.rng.random();
        host.node = Node::new(&self.files[i], id, seed, self.now + host.ahead);
        let notes = host.disk.clone();
        host.node.as_mut().expect("it is among the holders").recover(notes);
        (host.paused, host.leaving, host.wake) = (false, false, self.now);
        self.known.retain(|(a, b), _| *a != i && *b != i);
        for j in (0..self.all.len()).filter(|j| *j != i) {
            self.schedule(ms(2), Event::Meet { a: i.min(j), b: i.max(j) });
        }
    }

    /// The machine is lost with all its state, including the disk.
    pub fn kill(&mut self, i: usize) {
        self.all[i].disk.clear();
        self.stop_process(i);
    }

    /// The process ends; the disk keeps what it has taken.
    pub fn stop_process(&mut self, i: usize) {
        let host = &mut self.all[i];
        host.node = None;
        host.waits.clear();
        host.runs.clear();
        self.known.retain(|(a, b), _| *a != i && *b != i);
        self.disconnect_senders(i);
    }

    /// Declares these holders lost for good in the settings of all gateways, and reloads them.
    pub fn lose_for_good(&mut self, gone: &[usize]) {
        let names: BTreeSet<String> = gone.iter().map(|i| format!("g{i}")).collect();
        self.files.iter_mut().for_each(|f| f.lost.clone_from(&names));
        for i in 0..self.all.len() {
            self.with_node(i, |node, _| node.set_lost_holders(&names));
        }
    }

    /// Orderly shutdown: it accepts no more txns and finishes those that it runs.
    pub fn leave(&mut self, i: usize) {
        self.with_node(i, |node, now| node.leave(now));
        for sender in &mut self.senders {
            let idle = sender.txn.is_none() && sender.registered.is_some_and(|(_, at)| at == i);
            sender.registered = sender.registered.filter(|_| !idle);
        }
        self.all[i].leaving = true;
    }

    pub fn pause(&mut self, i: usize, is: bool) {
        self.all[i].paused = is;
        if is {
            // Its senders get no replies and query other gateways.
            self.disconnect_senders(i);
        } else {
            // Buffered frames may arrive before the gateway's first tick.
            let wakes = ms(self.rng.random_range(0..100));
            self.all[i].wake = self.now + wakes;
        }
    }

    /// Breaks the links of other sites to a gateway.
    pub fn disconnect_senders(&mut self, i: usize) {
        for s in 0..self.senders.len() {
            let sender = &mut self.senders[s];
            if sender.registered.is_some_and(|(_, at)| at == i) {
                sender.registered = None;
                if let Some(txn) = &mut sender.txn {
                    txn.querying = true;
                }
                self.schedule(ms(5), Event::Sender { sender: s });
            }
        }
    }

    pub fn cut(&mut self, is: bool, of: impl Fn(usize, usize) -> bool) {
        let n = self.all.len();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            if !of(a, b) {
                continue;
            }
            if is {
                self.cuts.insert((a, b));
            } else {
                self.cuts.remove(&(a, b));
            }
        }
    }

    fn id(&self, i: usize) -> Option<u64> {
        self.all[i].node.as_ref().map(Node::id)
    }

    fn up(&self, i: usize) -> bool {
        self.all[i].node.is_some() && !self.all[i].paused
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            let wakes = self.all.iter().filter(|p| p.node.is_some() && !p.paused).map(|p| p.wake).min();
            let event = self.queue.peek().map(|Reverse(e)| e.0);
            let next = [wakes, event, Some(end)].into_iter().flatten().min().unwrap_or(end).max(self.now);
            self.now = next;
            if next >= end {
                return;
            }
            if event == Some(next) {
                if let Some(Reverse((_, _, what))) = self.queue.pop() {
                    self.act(what);
                }
                continue;
            }
            for i in 0..self.all.len() {
                if self.up(i) && self.all[i].wake <= self.now {
                    self.with_node(i, |node, now| node.tick(now));
                }
            }
            self.watch_leader();
        }
    }

    fn watch_leader(&mut self) {
        let led = self
            .all
            .iter()
            .filter_map(|p| p.node.as_ref())
            .any(|n| n.member(0).is_some_and(|m| m.is_ready()));
        match (led, self.without_leader) {
            (false, None) => self.without_leader = Some(self.now),
            (true, Some(since)) => {
                self.leaderless.push(self.now - since);
                self.without_leader = None;
            }
            _ => {}
        }
    }

    fn with_node<T>(&mut self, i: usize, what: impl FnOnce(&mut Node, Time) -> T) -> Option<T> {
        let (now, ahead) = (self.now, self.all[i].ahead);
        let node = self.all[i].node.as_mut()?;
        let given = what(node, now + ahead);
        self.steps += 1;
        let (mut outs, id) = (Vec::new(), node.id());
        while let Some(out) = node.poll() {
            outs.push(out);
        }
        if let Err(why) = node.check_invariants() {
            self.violations.push(why);
        }
        let wake = self.all[i].node.as_ref().map_or(now, |n| n.next_wake().saturating_sub(ahead));
        self.all[i].wake = wake.max(now + ms(1));
        for out in outs {
            match out {
                Out::Send { holder, frame, is_snapshot } => self.send(i, id, holder, frame, is_snapshot),
                Out::Response(response) => self.response_received(i, id, response),
                Out::Write { mark, records } => {
                    self.writing.insert((i, id, mark), records);
                    let after = ms(self.rng.random_range(1..5));
                    self.schedule(after, Event::Written { at: i, id, mark });
                }
                Out::LedgerChanged { group, ledger } => self.ledger_changed(i, group, ledger),
            }
        }
        Some(given)
    }

    /// A sender that was registered by another ledger has to register again.
    fn ledger_changed(&mut self, i: usize, group: u32, ledger: u64) {
        for s in 0..self.senders.len() {
            let of = self.all[i].node.as_ref().is_some_and(|n| n.group_of(self.senders[s].run) == group);
            if of && self.senders[s].registered.is_some_and(|(l, at)| at == i && l != 0 && l != ledger) {
                self.senders[s].registered = None;
                self.senders[s].txn.iter_mut().for_each(|b| b.querying = true);
                self.schedule(ms(5), Event::Sender { sender: s });
            }
        }
    }

    fn send(&mut self, from: usize, id: u64, to: usize, frame: Vec<u8>, is_snapshot: bool) {
        let theirs = self.id(to);
        let run_ids = self.known.get(&(from.min(to), from.max(to)));
        let connected = run_ids.is_some_and(|(a, b)| {
            let (x, y) = if from < to { (*a, *b) } else { (*b, *a) };
            x == id && Some(y) == theirs
        });
        if !connected || self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let mut delay =
            self.delay * self.rng.random_range(0.5..1.5) + if is_snapshot { ms(20) } else { Span::ZERO };
        if self.rng.random_bool(self.late) {
            delay = delay + ms(self.rng.random_range(100..30_000));
        }
        self.no += 1;
        let no = self.no;
        self.frames.insert(no, (frame, is_snapshot));
        self.schedule(delay, Event::Frame { from, id, to, no });
    }

    fn act(&mut self, what: Event) {
        match what {
            Event::Frame { from, id, to, no } => {
                let Some((frame, _)) = self.frames.remove(&no) else { return };
                if self.all[to].paused {
                    // Stays in the machine's buffers until the process resumes.
                    self.frames.insert(no, (frame, false));
                    return self.schedule(ms(50), what);
                }
                if self.up(to) && !self.cuts.contains(&(from, to)) {
                    self.with_node(to, |node, now| node.frame_received(now, from, id, &frame));
                }
            }
            Event::Meet { a, b } => {
                let cut = self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a));
                if self.all[a].node.is_none() || self.all[b].node.is_none() {
                    return;
                }
                if cut || !self.up(a) || !self.up(b) {
                    return self.schedule(ms(100), what);
                }
                let hellos = [a, b].map(|i| self.all[i].node.as_ref().map(Node::hello).unwrap_or_default());
                self.with_node(a, |node, now| node.hello_received(now, &hellos[1]).unwrap());
                self.with_node(b, |node, now| node.hello_received(now, &hellos[0]).unwrap());
                if let (Some(x), Some(y)) = (self.id(a), self.id(b)) {
                    self.known.insert((a, b), (x, y));
                }
            }
            Event::Run { at, id, key } => {
                // The hop reaches the store even if its gateway is lost meanwhile.
                *self.ran.entry(key).or_default() += 1;
                if self.ran[&key] > 1 {
                    self.violations.push(format!("{key:?} ran twice"));
                }
                if self.never.contains(&key) {
                    self.violations.push(format!("{key:?} ran after it was reported as never accepted"));
                }
                let took = ms(self.rng.random_range(10..80));
                self.schedule(took, Event::Ran { at, id, key });
            }
            Event::Ran { at, id, key } => {
                if self.id(at) != Some(id) {
                    return;
                }
                if self.all[at].paused {
                    return self.schedule(ms(50), what);
                }
                if self.disabled.replicate_outcome_first {
                    self.serve(at, key);
                }
                let of = self.all[at].runs.get(&key).copied().unwrap_or(0);
                self.submit(at, key.sender, 9, Operation::end(key, &answer(key), of), Purpose::End(key));
            }
            Event::Sender { sender } => self.sender(sender),
            Event::Written { at, id, mark } => {
                if self.id(at) != Some(id) {
                    return;
                }
                if self.all[at].paused {
                    return self.schedule(ms(50), what);
                }
                for m in self.writing.range((at, id, 0)..=(at, id, mark)).map(|(k, _)| *k).collect::<Vec<_>>()
                {
                    let notes = self.writing.remove(&m).unwrap_or_default();
                    self.all[at].disk.extend(notes);
                }
                self.with_node(at, |node, now| node.writes_persisted(now, mark));
            }
        }
    }

    fn submit(&mut self, at: usize, sender: u64, importance: u32, operation: Operation, purpose: Purpose) {
        let (now, ahead) = (self.now, self.all[at].ahead);
        // The request id must be stored before any output is processed.
        let asked = self.all[at].node.as_mut().map(|node| {
            let group = node.group_of(sender);
            node.submit(now + ahead, group, importance, operation)
        });
        if let Some(ask) = asked {
            self.all[at].waits.insert(ask, (purpose, now));
            self.with_node(at, |_, _| ());
        }
    }

    /// A sender of another site: registers with a gateway, has a txn run, and queries another gateway if its link
    /// broke.
    fn sender(&mut self, s: usize) {
        let live: Vec<usize> = (0..self.all.len()).filter(|&i| self.up(i) && !self.all[i].leaving).collect();
        if live.is_empty() {
            return self.schedule(ms(200), Event::Sender { sender: s });
        }
        let sender = &mut self.senders[s];
        let leaves = sender.registered.is_some_and(|(_, at)| self.all[at].leaving);
        sender.registered = sender.registered.filter(|_| !leaves || sender.txn.is_some());
        let at = live[self.rng.random_range(0..live.len())];
        let sender = &self.senders[s];
        let (run, number) = (sender.run, sender.next);
        if sender.registered.is_none() {
            let next_number = sender.next;
            self.senders[s].registered = Some((0, at));
            self.submit(
                at,
                run,
                5,
                Operation::RegisterSender(RegisterSender { sender: run, next_number }),
                Purpose::Register(s),
            );
            return;
        }
        let Some((ledger, at)) = sender.registered.filter(|(ledger, _)| *ledger != 0) else { return };
        if let Some(txn) = sender.txn {
            let key = Key { sender: run, number: txn.number };
            if !txn.querying {
                return;
            }
            // If the ledger has changed, the query names the one that accepted the txn.
            return self.submit(at, run, 9, Operation::query(key, txn.ledger), Purpose::Query(s, key));
        }
        if !self.busy {
            return self.schedule(ms(100), Event::Sender { sender: s });
        }
        let Some(id) = self.id(at) else { return };
        let key = Key { sender: run, number };
        let sender = &mut self.senders[s];
        sender.next += 1;
        sender.txn = Some(Txn { number, at, id, ledger, since: self.now, querying: false });
        self.ends.submitted += 1;
        if self.disabled.replicate_accept_first {
            self.schedule(ms(1), Event::Run { at, id, key });
        }
        self.submit(at, run, 9, Operation::accept(key), Purpose::Accept(key));
    }

    /// A txn has ended for its sender; the next one follows soon.
    fn finish_txn(&mut self, s: usize, count: impl FnOnce(&mut Ends)) {
        count(&mut self.ends);
        if let Some(txn) = self.senders[s].txn.take() {
            let run = self.senders[s].run;
            // Now and then the sender settles its earlier txns.
            if self.rng.random_bool(0.2) {
                self.senders[s].floor = txn.number + 1;
                for n in 0..=txn.number {
                    self.settled.insert(Key { sender: run, number: n });
                }
                if let Some((_, at)) = self.senders[s].registered.filter(|(l, at)| *l != 0 && self.up(*at)) {
                    let below = TxnKey { sender: run, number: txn.number + 1 };
                    self.submit(at, run, 9, Operation::Settle(below), Purpose::Settle);
                }
            }
        }
        let wait = ms(self.rng.random_range(1..60));
        self.schedule(wait, Event::Sender { sender: s });
    }

    fn by_run(&self, run: u64) -> usize {
        self.senders.iter().position(|s| s.run == run).unwrap()
    }

    /// Answers the sender that waits at this gateway for the txn.
    fn serve(&mut self, at: usize, key: Key) {
        let s = self.by_run(key.sender);
        let waits = self.senders[s].txn.is_some_and(|b| b.number == key.number && b.at == at && !b.querying);
        let ledger = self.senders[s].txn.map_or(0, |b| b.ledger);
        if waits && self.senders[s].registered.is_some_and(|(_, g)| g == at) {
            self.check_final_result(ledger, key, CommandResult::Ended(answer(key).into()));
            if self.rng.random_bool(0.1) {
                // Its link breaks just before the answer.
                self.senders[s].registered = None;
                self.senders[s].txn.iter_mut().for_each(|b| b.querying = true);
                return self.schedule(ms(5), Event::Sender { sender: s });
            }
            self.finish_txn(s, |e| e.served += 1);
        }
    }

    /// Checks that a txn has a single final result, whichever gateway is queried, until its sender settles it.
    fn check_final_result(&mut self, ledger: u64, key: Key, operation: CommandResult) {
        if self.settled.contains(&key) {
            return;
        }
        if operation == CommandResult::NeverAccepted {
            if self.recorded.contains_key(&(ledger, key)) {
                self.violations.push(format!("{key:?} had ended and is reported as never accepted"));
            }
            self.never.insert(key);
            if self.ran.contains_key(&key) {
                self.violations.push(format!("{key:?} is reported as never accepted and ran"));
            }
        }
        if let CommandResult::Ended(answer) = &operation
            && answer.outcome == TxnOutcome::Served
            && !self.ran.contains_key(&key)
        {
            self.violations.push(format!("{key:?} is reported as served and never ran"));
        }
        // Outcomes held only by the members of a lost majority are unknown to the next ledger.
        let current_ledger = self.senders[self.by_run(key.sender)].registered.map_or(0, |(l, _)| l);
        if operation == CommandResult::Unknown && current_ledger != ledger {
            return;
        }
        let first = self.final_results.entry((ledger, key)).or_insert_with(|| operation.clone());
        if *first != operation {
            self.violations
                .push(format!("{key:?} of {ledger:x} was {first:?} and is {operation:?} at {:?}", self.now));
        }
    }

    fn response_received(&mut self, i: usize, id: u64, response: Response) {
        let Some((purpose, asked)) = self.all[i].waits.remove(&response.request_id) else { return };
        match purpose {
            Purpose::Settle => {}
            Purpose::Probe(ledger, key) => self.probes.push((ledger, key, response.result)),
            Purpose::Register(s) => {
                let ledger =
                    self.all[i].node.as_ref().and_then(|n| n.ledger(n.group_of(self.senders[s].run)));
                let waits = self.senders[s].registered.is_some_and(|(_, at)| at == i);
                if !waits {
                    return;
                }
                let fine = response.result == Ok(CommandResult::Registered(true));
                self.senders[s].registered = ledger.filter(|_| fine).map(|l| (l, i));
                let wait = if fine { ms(1) } else { ms(150) };
                self.schedule(wait, Event::Sender { sender: s });
            }
            Purpose::Accept(key) => self.accept_response(i, id, key, asked, response.result),
            Purpose::End(key) => {
                self.all[i].runs.remove(&key);
                let s = self.by_run(key.sender);
                let mine = self.senders[s].txn.filter(|b| b.number == key.number && b.at == i);
                match response.result {
                    Ok(CommandResult::Recorded) => {
                        if let Some(txn) = mine {
                            self.recorded.insert((txn.ledger, key), self.now);
                        }
                        self.serve(i, key);
                    }
                    // Reported as unknown meanwhile, or not replicated: whether it ran is unknown.
                    _ if mine.is_some_and(|b| !b.querying) => self.finish_txn(s, |e| e.aborted += 1),
                    _ => {}
                }
            }
            Purpose::Query(s, key) => {
                let Some(txn) = self.senders[s].txn.filter(|b| b.number == key.number && b.querying) else {
                    return;
                };
                if self.senders[s].registered.is_none_or(|(_, at)| at != i) {
                    return;
                }
                match response.result {
                    Ok(CommandResult::Running) => {
                        // The sender gives up at its time limit.
                        if self.now - txn.since >= ms(3_000) {
                            return self.finish_txn(s, |e| e.aborted += 1);
                        }
                        self.schedule(ms(50), Event::Sender { sender: s });
                    }
                    Ok(operation) => {
                        let count: fn(&mut Ends) = match &operation {
                            CommandResult::Ended(_) => |e| e.served += 1,
                            CommandResult::NeverAccepted => |e| e.retried += 1,
                            _ => |e| e.aborted += 1,
                        };
                        self.check_final_result(txn.ledger, key, operation);
                        self.finish_txn(s, count);
                    }
                    Err(_) => self.finish_txn(s, |e| e.aborted += 1),
                }
            }
        }
    }

    fn accept_response(
        &mut self,
        i: usize,
        id: u64,
        key: Key,
        asked: Time,
        result: Result<CommandResult, RequestError>,
    ) {
        let s = self.by_run(key.sender);
        let waits = self.senders[s].txn.is_some_and(|b| b.number == key.number && b.at == i && !b.querying);
        match result {
            Ok(CommandResult::Granted) => {
                let group = self.all[i].node.as_ref().map_or(0, |n| n.group_of(key.sender));
                if self.leader(group).is_some() && self.voters(group).len() < 2 {
                    self.violations.push(format!("{key:?} is granted by a single member"));
                }
                let in_time = self.now - asked < ms(1_000);
                if self.disabled.replicate_accept_first {
                    return;
                }
                if in_time || self.disabled.accept_lease {
                    // A gateway that was paused and counts as lost must not run the txn.
                    let called = self
                        .final_results
                        .iter()
                        .any(|((_, k), operation)| *k == key && *operation == CommandResult::Unknown);
                    if called {
                        self.violations.push(format!("{key:?} runs after it was reported as unknown"));
                    }
                    let of = self.senders[s].txn.map_or(0, |b| b.ledger);
                    self.all[i].runs.insert(key, of);
                    let after = ms(self.rng.random_range(0..4));
                    self.schedule(after, Event::Run { at: i, id, key });
                } else {
                    // It was paused in between, and its accept lease has expired.
                    let rejected = Answer {
                        outcome: TxnOutcome::Rejected { retry_after: None, may_have_run: false },
                        body: Vec::new(),
                    };
                    self.submit(i, key.sender, 9, Operation::end(key, &rejected, 0), Purpose::Settle);
                    if waits {
                        self.never.insert(key);
                        self.finish_txn(s, |e| e.rejected += 1);
                    }
                }
            }
            // Nobody but this gateway would run the txn, and it does not.
            Err(_) if !self.disabled.replicate_accept_first => {
                if waits {
                    self.never.insert(key);
                    self.finish_txn(s, |e| e.rejected += 1);
                }
                let rejected = Answer {
                    outcome: TxnOutcome::Rejected { retry_after: None, may_have_run: false },
                    body: Vec::new(),
                };
                if result == Err(RequestError::Unconfirmed) {
                    self.submit(i, key.sender, 9, Operation::end(key, &rejected, 0), Purpose::Settle);
                }
            }
            Ok(CommandResult::Full | CommandResult::NeverAccepted) if waits => {
                self.never.insert(key);
                self.finish_txn(s, |e| e.rejected += 1);
            }
            _ if waits => self.finish_txn(s, |e| e.aborted += 1),
            _ => {}
        }
    }

    pub fn assert_sound(&self) {
        assert!(self.violations.is_empty(), "{:#?}", &self.violations[..self.violations.len().min(5)]);
    }

    /// Whether every live gateway sees a ready leader of each group.
    pub fn all_led(&self) -> bool {
        let mut live =
            self.all.iter().filter(|p| !p.paused).filter_map(|p| Some((p.node.as_ref()?, p.ahead)));
        let groups = self.files[0].groups;
        live.all(|(n, ahead)| (0..groups).all(|g| n.has_majority(self.now + ahead, g)))
    }

    /// The voters of a group, as its leader sees them.
    pub fn voters(&self, group: u32) -> Vec<u64> {
        let leads = |n: &Node| n.member(group).filter(|m| m.is_ready()).map(|m| m.voters().to_vec());
        self.all.iter().filter_map(|p| p.node.as_ref()).find_map(leads).unwrap_or_default()
    }

    pub fn leader(&self, group: u32) -> Option<usize> {
        let leads = |p: &Host| p.node.as_ref().is_some_and(|n| n.member(group).is_some_and(|m| m.is_ready()));
        self.all.iter().position(leads)
    }

    /// The state of all holders, for failure messages.
    pub fn state(&self) -> String {
        let mut out = String::new();
        for (i, host) in self.all.iter().enumerate() {
            let Some(node) = &host.node else { continue };
            let sees: Vec<bool> =
                (0..self.files[0].groups).map(|g| node.has_majority(self.now + host.ahead, g)).collect();
            out +=
                &format!("g{i} run {} paused {} sees {sees:?} {:?}\n", node.id(), host.paused, node.totals);
            for m in (0..self.files[0].groups).filter_map(|g| node.member(g)) {
                let (conf, steps) = (&m.log().conf_state, m.log());
                out += &format!(
                    "  group {} ledger {:x} id {:x} leads {} ready {} term {} leader {:x?} last {} commit {}\n    \
                    voters {:x?} before {:x?} learners {:x?} members {:x?}\n",
                    m.number,
                    m.ledger,
                    m.id,
                    m.is_leader(),
                    m.is_ready(),
                    m.term(),
                    m.leader(),
                    steps.last(),
                    steps.hard_state.commit,
                    conf.voters,
                    conf.voters_outgoing,
                    conf.learners,
                    m.members().map(|m| (m.id, m.holder, m.run_id)).collect::<Vec<_>>()
                );
            }
        }
        out
    }

    /// Memberships that were dropped because the raft library panicked.
    pub fn raft_panics(&self) -> u64 {
        self.all.iter().filter_map(|p| p.node.as_ref()).map(|n| n.totals.raft_panics).sum()
    }

    /// Submits an operation and returns its result, within three seconds.
    pub fn submit_and_wait(
        &mut self,
        at: usize,
        operation: Operation,
    ) -> Result<CommandResult, RequestError> {
        self.probes.clear();
        self.submit(at, 77, 9, operation, Purpose::Probe(0, Key { sender: 77, number: 0 }));
        self.run(ms(3_000));
        self.probes.pop().map_or(Err(RequestError::Unconfirmed), |p| p.2)
    }

    pub fn ledger(&self, at: usize, group: u32) -> Option<u64> {
        self.all[at].node.as_ref()?.ledger(group)
    }

    /// The holders that are members of a group.
    pub fn member_holders(&self, group: u32) -> Vec<usize> {
        let holds = |i: &usize| self.all[*i].node.as_ref().is_some_and(|n| n.member(group).is_some());
        (0..self.all.len()).filter(holds).collect()
    }

    /// Queries each recorded outcome at a random gateway. Returns how many were found as they ended, and how many
    /// were queried.
    pub fn probe(&mut self) -> (usize, usize) {
        self.probes.clear();
        let all = self.recorded_outcomes();
        for &(ledger, key) in &all {
            let live: Vec<usize> = (0..self.all.len()).filter(|&i| self.up(i)).collect();
            let at = live[self.rng.random_range(0..live.len())];
            self.submit(at, key.sender, 9, Operation::query(key, ledger), Purpose::Probe(ledger, key));
            self.run(ms(20));
        }
        self.run(ms(2_000));
        let ended = |p: &&(u64, Key, Result<CommandResult, RequestError>)| {
            p.2 == Ok(CommandResult::Ended(answer(p.1).into()))
        };
        (self.probes.iter().filter(ended).count(), all.len())
    }

    /// Recorded outcomes of txns that were not settled since.
    pub fn recorded_outcomes(&self) -> Vec<(u64, Key)> {
        self.recorded.keys().filter(|(_, key)| !self.settled.contains(key)).copied().collect()
    }
}
