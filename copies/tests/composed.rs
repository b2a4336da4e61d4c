//! Links over replicated ledgers: initiators and acceptors, whose ledger several gateways replicate, in simulated
//! time with ticks of 5 ms. Machines are lost with all their state, paused and partitioned, links stall and break,
//! and each txn is followed from its client to the central store: none runs twice, none runs after it was rejected,
//! and each gets one answer in time.

use kelpcart::{Span, Time};
use kelpcart_copies::client::{self, RequestError};
use kelpcart_copies::command::{CommandResult, Operation, RegisterSender, TxnKey};
use kelpcart_copies::node::{Node, Out};
use kelpcart_copies::settings::Copies;
use kelpcart_sites::acceptor::{Acceptor, Call, RefusalReason, RequestMeta, SessionAction, SessionId};
use kelpcart_sites::initiator::{HopOutcome, HopSpec, Initiator, LinkAction};
use kelpcart_sites::ledger::{Answer, Key, TxnOutcome};
use kelpcart_sites::link::Welcome;
use kelpcart_sites::settings::Sites;
use kelpcart_sites::wire::{self, TxnStatus};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const TICK: Span = Span::from_millis(5);
const TIME_LIMIT: Span = Span::from_millis(3_000);
/// Time for the answer to reach its client, and the tick in which it is seen.
const GRACE: Span = Span::from_millis(50);

fn sites(text: serde_json::Value) -> Sites {
    let mut all = json!({"keys": {"certificate": "c", "key": "k", "roots": "r"}});
    all.as_object_mut().unwrap().extend(text.as_object().unwrap().clone());
    Sites::read(&all.to_string()).unwrap()
}

fn copies(i: usize, n: usize) -> Copies {
    let holder = |i: usize| json!({"name": format!("f{i}"), "address": format!("127.0.0.1:{}", 7_000 + i), "zone": format!("z{}", i % 3)});
    let all = json!({
        "gateway": format!("f{i}"), "listen": format!("127.0.0.1:{}", 7_000 + i), "groups": 2,
        "holders": (0..n).map(holder).collect::<Vec<_>>(), "times": {"absent_ms": 4_000},
    });
    Copies::parse(&all.to_string()).unwrap()
}

fn initiator(i: usize, acceptors: usize, seed: u64, now: Time) -> Initiator {
    let peer = |i| json!({"name": format!("f{i}"), "site": "far", "address": "127.0.0.1:9", "as": ["origin"], "size": 1.0});
    let peers: Vec<_> = (0..acceptors).map(peer).collect();
    Initiator::new(&sites(json!({"site": "near", "gateway": format!("n{i}"), "peers": peers})), seed, now)
}

/// A message on a link.
#[derive(Clone, Debug)]
enum Msg {
    Hello(wire::Hello),
    Request { number: u64 },
    Query(u64, Vec<u64>),
    Settle(u64),
    Cancel(u64),
    Ping(u64),
    Welcome(Welcome),
    Accepted(u64),
    Answer(u64, TxnOutcome),
    Refused(u64, RefusalReason),
    Status(u64, TxnStatus),
    Pong(wire::Pong),
    Ledger(u64),
}

/// The purpose of a request to a group.
enum Purpose {
    Register(SessionId, u32),
    Accept(Call, Time),
    End(Option<Call>),
    Query(SessionId, (Key, u64)),
    Settle,
}

struct AcceptorHost {
    core: Acceptor,
    node: Node,
    pending: BTreeMap<u64, Purpose>,
    /// The txn behind a call: the initiator's run id and the txn's number.
    requests: BTreeMap<Call, (u64, u64)>,
    /// Calls at the store: when it answers, and whether the txn ran.
    runs: BTreeMap<Call, (Time, bool)>,
    stopped: bool,
}

struct Session {
    initiator: usize,
    /// The initiator's run id; its numbers are unique within it.
    run: u64,
    link: usize,
    there: VecDeque<(Time, Msg)>,
    back: VecDeque<(Time, Msg)>,
}

struct Txn {
    until: Time,
    tries: usize,
    runs: u32,
    rejected: bool,
    done: bool,
}

#[derive(Debug, Default)]
struct Ends {
    submitted: u64,
    served: u64,
    rejected: u64,
    aborted: u64,
    retried: u64,
}

struct World {
    now: Time,
    rng: Pcg64Mcg,
    initiators: Vec<(Initiator, u64)>,
    acceptors: Vec<Option<AcceptorHost>>,
    starts: u64,
    sessions: BTreeMap<SessionId, Session>,
    /// The session on each initiator's link.
    of_link: BTreeMap<(usize, usize), SessionId>,
    next_session: SessionId,
    /// Sessions that their initiators have left, and when the acceptors notice.
    left: Vec<(Time, SessionId)>,
    frames: VecDeque<(Time, usize, u64, usize, Vec<u8>)>,
    /// Until when a link stalls, and until when an acceptor is partitioned from the others.
    stalls: BTreeMap<(usize, usize), Time>,
    cut: BTreeMap<usize, Time>,
    txns: Vec<Txn>,
    /// The txn behind an initiator's number, open hops, hops that ended as never run, and txns without an answer.
    origin: BTreeMap<(u64, u64), usize>,
    hops: BTreeSet<(usize, u64)>,
    not_run: BTreeSet<(u64, u64)>,
    open: BTreeSet<usize>,
    ends: Ends,
    violations: Vec<String>,
    busy: bool,
}

impl World {
    fn new(initiators: usize, acceptors: usize, seed: u64) -> World {
        let now = Time::from_micros(1_000_000_000);
        let initiator = |i: usize| (initiator(i, acceptors, seed + i as u64, now), 500 + i as u64);
        let mut world = World {
            now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            initiators: (0..initiators).map(initiator).collect(),
            acceptors: (0..acceptors).map(|_| None).collect(),
            starts: 0,
            sessions: BTreeMap::new(),
            of_link: BTreeMap::new(),
            next_session: 0,
            left: Vec::new(),
            frames: VecDeque::new(),
            stalls: BTreeMap::new(),
            cut: BTreeMap::new(),
            txns: Vec::new(),
            origin: BTreeMap::new(),
            hops: BTreeSet::new(),
            not_run: BTreeSet::new(),
            open: BTreeSet::new(),
            ends: Ends::default(),
            violations: Vec::new(),
            busy: true,
        };
        (0..acceptors).for_each(|i| world.start(i));
        world
    }

    fn start(&mut self, i: usize) {
        self.starts += 1;
        let file = sites(
            json!({"site": "far", "gateway": format!("f{i}"), "listen": "127.0.0.1:9", "accept": ["near"]}),
        );
        let mut core = Acceptor::new(&file, self.now);
        core.enable_replication();
        let node =
            Node::new(&copies(i, self.acceptors.len()), 10_000 + self.starts, self.starts, self.now).unwrap();
        let (pending, requests, runs) = Default::default();
        self.acceptors[i] = Some(AcceptorHost { core, node, pending, requests, runs, stopped: false });
    }

    /// The machine is lost with all its state; initiators are not notified.
    fn kill(&mut self, i: usize) {
        self.acceptors[i] = None;
        let gone: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| s.link == i).map(|(id, _)| *id).collect();
        gone.iter().for_each(|id| _ = self.sessions.remove(id));
    }

    /// An initiator is lost and restarts: its clients get no answer, and nobody queries what it had sent.
    fn lose_initiator(&mut self, n: usize) {
        let acceptors = self.acceptors.len();
        for link in 0..acceptors {
            if let Some(id) = self.of_link.remove(&(n, link)) {
                self.left.push((self.now + Span::from_millis(2_000), id));
            }
        }
        let gone: Vec<(usize, u64)> = self.hops.iter().filter(|h| h.0 == n).copied().collect();
        for hop in gone {
            self.hops.remove(&hop);
            let txn = self.origin[&(self.initiators[n].1, hop.1)];
            self.open.remove(&txn);
            self.txns[txn].done = true;
            self.ends.aborted += 1;
        }
        self.starts += 1;
        self.initiators[n] = (initiator(n, acceptors, self.starts, self.now), 9_000 + self.starts);
    }

    fn stalled(&self, initiator: usize, link: usize) -> bool {
        self.stalls.get(&(initiator, link)).is_some_and(|until| self.now < *until)
    }

    fn is_cut(&self, i: usize) -> bool {
        self.cut.get(&i).is_some_and(|until| self.now < *until)
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.meet();
            self.deliver_frames();
            self.deliver_links();
            for i in 0..self.acceptors.len() {
                self.tick_acceptor(i);
            }
            for i in 0..self.initiators.len() {
                self.pull_initiator(i);
                if self.busy && self.rng.random_bool(0.1) {
                    self.submit_txn(i);
                }
            }
            self.check();
        }
    }

    /// Connects holders that do not know each other.
    fn meet(&mut self) {
        let hellos: Vec<Option<Vec<u8>>> = self
            .acceptors
            .iter()
            .map(|f| f.as_ref().filter(|f| !f.stopped).map(|f| f.node.hello()))
            .collect();
        if !self.now.as_micros().is_multiple_of(100_000) {
            return;
        }
        for a in 0..self.acceptors.len() {
            let cut: Vec<bool> = (0..self.acceptors.len()).map(|i| self.is_cut(i)).collect();
            for b in (0..self.acceptors.len()).filter(|b| *b != a && !cut[a] && !cut[*b]) {
                let now = self.now;
                if let (Some(hello), Some(end)) =
                    (&hellos[b], self.acceptors[a].as_mut().filter(|f| !f.stopped))
                {
                    end.node.hello_received(now, hello).unwrap();
                }
            }
        }
    }

    fn deliver_frames(&mut self) {
        for _ in 0..self.frames.len() {
            let Some((at, from, id, to, frame)) = self.frames.pop_front() else { return };
            let stopped = self.acceptors[to].as_ref().is_some_and(|f| f.stopped);
            if at > self.now || stopped {
                self.frames.push_back((at, from, id, to, frame));
            } else if let Some(end) = self.acceptors[to].as_mut() {
                end.node.frame_received(self.now, from, id, &frame);
            }
        }
    }

    fn deliver_links(&mut self) {
        let now = self.now;
        for (_, id) in self.left.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            let link = self.sessions.get(&id).map(|s| s.link);
            let up = link.is_some_and(|l| self.acceptors[l].as_ref().is_some_and(|f| !f.stopped));
            if link.is_some() && !up {
                self.left.push((now + TICK, id));
            } else if let Some(end) = self.sessions.remove(&id).and_then(|s| self.acceptors[s.link].as_mut())
            {
                end.core.disconnected(id);
            }
        }
        for id in self.sessions.keys().copied().collect::<Vec<_>>() {
            while let Some(msg) = self.due(id, true) {
                self.acceptor_receives(id, msg);
            }
            while let Some(msg) = self.due(id, false) {
                self.initiator_receives(id, msg);
            }
        }
    }

    fn due(&mut self, id: SessionId, there: bool) -> Option<Msg> {
        let session = self.sessions.get(&id)?;
        if self.stalled(session.initiator, session.link)
            || self.acceptors[session.link].as_ref().is_none_or(|f| f.stopped)
        {
            return None;
        }
        let now = self.now;
        let session = self.sessions.get_mut(&id)?;
        let queue = if there { &mut session.there } else { &mut session.back };
        queue.pop_front_if(|(at, _)| *at <= now).map(|(_, msg)| msg)
    }

    fn post(&mut self, id: SessionId, there: bool, msg: Msg) {
        let delay = Span::from_millis(self.rng.random_range(10..25));
        let at = self.now + delay;
        if let Some(session) = self.sessions.get_mut(&id) {
            let queue = if there { &mut session.there } else { &mut session.back };
            // In order, as on a stream.
            let at = queue.back().map_or(at, |(last, _)| at.max(*last));
            queue.push_back((at, msg));
        }
    }

    fn acceptor_receives(&mut self, id: SessionId, msg: Msg) {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return };
        let (run, link) = (session.run, session.link);
        let Some(end) = self.acceptors[link].as_mut() else { return };
        match msg {
            Msg::Hello(hello) => end.core.hello(now, id, &hello, true),
            Msg::Request { number } => {
                let path = ["near".to_owned()];
                let asked = RequestMeta { number, unrepeatable: true, importance: 9, path: &path };
                if let Some(call) = end.core.request(now, id, &asked) {
                    end.requests.insert(call, (run, number));
                }
            }
            Msg::Query(ledger, numbers) => end.core.query_status(now, id, ledger, &numbers),
            Msg::Settle(below) => end.core.settle(id, below),
            Msg::Cancel(number) => end.core.cancelled(id, number),
            Msg::Ping(number) => {
                let (credit, leaving) = end.core.pong_state();
                let clock_us = Some(now.as_micros());
                self.post(id, false, Msg::Pong(wire::Pong { number, credit, leaving, clock_us }));
            }
            _ => unreachable!("not a message from an initiator"),
        }
    }

    fn initiator_receives(&mut self, id: SessionId, msg: Msg) {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return };
        let (n, link) = (session.initiator, session.link);
        if self.of_link.get(&(n, link)) != Some(&id) {
            return;
        }
        let initiator = &mut self.initiators[n].0;
        match msg {
            Msg::Welcome(welcome) => initiator.connected(now, link, &welcome),
            Msg::Accepted(number) => _ = initiator.accepted(now, number),
            Msg::Answer(number, ending) => {
                // A duplicate, or an answer to a hop that is over, finds no hop.
                if self.hops.contains(&(n, number)) {
                    initiator.answered(now, link, number, 100.0);
                    self.pull_initiator_with(n, Some((number, ending)));
                }
            }
            Msg::Refused(number, why) => {
                let end =
                    if why == RefusalReason::Forgotten { HopOutcome::Lost } else { HopOutcome::Refused };
                initiator.refused(now, link, number, end);
            }
            Msg::Status(number, status) => initiator.status_received(now, link, number, status),
            Msg::Pong(pong) => initiator.pong_received(now, link, &pong),
            Msg::Ledger(ledger) => initiator.ledger_changed(now, link, ledger),
            _ => unreachable!("not a message from an acceptor"),
        }
        self.pull_initiator(n);
    }

    fn pull_initiator(&mut self, n: usize) {
        self.pull_initiator_with(n, None);
    }

    fn pull_initiator_with(&mut self, n: usize, answer: Option<(u64, TxnOutcome)>) {
        while let Some(act) = self.initiators[n].0.poll(self.now) {
            let on = |link: usize, of: &BTreeMap<(usize, usize), SessionId>| of.get(&(n, link)).copied();
            match act {
                LinkAction::Dial { link } => self.dial(n, link),
                LinkAction::Disconnect { link } => {
                    // Messages in flight or buffered at a paused machine still arrive.
                    if let Some(id) = self.of_link.remove(&(n, link)) {
                        let lasts = Span::from_millis(self.rng.random_range(50..6_000));
                        self.left.push((self.now + lasts, id));
                    }
                }
                LinkAction::Send { link, number, .. } => {
                    if let Some(id) = on(link, &self.of_link) {
                        self.post(id, true, Msg::Request { number });
                    }
                }
                LinkAction::Cancel { link, number } => {
                    if let Some(id) = on(link, &self.of_link) {
                        self.post(id, true, Msg::Cancel(number));
                    }
                }
                LinkAction::QueryStatus { link, ledger, numbers } => {
                    if let Some(id) = on(link, &self.of_link) {
                        self.post(id, true, Msg::Query(ledger, numbers));
                    }
                }
                LinkAction::Ping { link, number } => {
                    if let Some(id) = on(link, &self.of_link) {
                        self.post(id, true, Msg::Ping(number));
                    }
                }
                LinkAction::Settle { link, below } => {
                    if let Some(id) = on(link, &self.of_link) {
                        self.post(id, true, Msg::Settle(below));
                    }
                }
                LinkAction::LinkUp { .. } => {}
                LinkAction::Finished { number, outcome: end } => {
                    let ending = answer.filter(|a| a.0 == number).map(|a| a.1);
                    self.hop_ended(n, number, end, ending);
                }
            }
        }
    }

    fn dial(&mut self, initiator: usize, link: usize) {
        if self.acceptors[link].as_ref().is_none_or(|f| f.stopped) || self.stalled(initiator, link) {
            return;
        }
        self.next_session += 1;
        let id = self.next_session;
        let (there, back) = Default::default();
        let run = self.initiators[initiator].1;
        self.sessions.insert(id, Session { initiator, run, link, there, back });
        self.of_link.insert((initiator, link), id);
        let (core, run) = &self.initiators[initiator];
        let hello = wire::Hello {
            version: wire::VERSION,
            site: "near".to_owned(),
            gateway: format!("n{initiator}"),
            run_id: *run,
            next_number: core.next_number(),
            states_attempts: true,
        };
        self.post(id, true, Msg::Hello(hello));
    }

    /// A client submits a txn.
    fn submit_txn(&mut self, initiator: usize) {
        self.ends.submitted += 1;
        self.txns.push(Txn { until: self.now + TIME_LIMIT, tries: 0, runs: 0, rejected: false, done: false });
        self.hop(initiator, self.txns.len() - 1);
    }

    fn hop(&mut self, initiator: usize, txn: usize) {
        let link = self.rng.random_range(0..self.acceptors.len());
        let until = self.txns[txn].until;
        self.txns[txn].tries += 1;
        let want = HopSpec {
            importance: 9,
            unrepeatable: true,
            size_kb: None,
            body_bytes: 10,
            deadline: until,
            sla_deadline: until,
            first_attempt: None,
            start_by: until,
            path: &[],
        };
        let number = self.initiators[initiator].0.submit(self.now, link, &want);
        self.origin.insert((self.initiators[initiator].1, number), txn);
        self.hops.insert((initiator, number));
        self.open.insert(txn);
        self.pull_initiator(initiator);
    }

    /// The routing module's part: retries with another hop if the last one has not run and time is left.
    fn hop_ended(&mut self, initiator: usize, number: u64, end: HopOutcome, ending: Option<TxnOutcome>) {
        if !self.hops.remove(&(initiator, number)) {
            return;
        }
        let run = self.initiators[initiator].1;
        let txn = self.origin[&(run, number)];
        let not_run = matches!(
            end,
            HopOutcome::Down
                | HopOutcome::Full
                | HopOutcome::Loop
                | HopOutcome::Refused
                | HopOutcome::NeverAccepted
        ) || end == HopOutcome::Answered
            && matches!(ending, Some(TxnOutcome::Rejected { may_have_run: false, .. }));
        if not_run {
            self.not_run.insert((run, number));
        }
        if not_run && self.txns[txn].tries < 6 && self.now + Span::from_millis(300) < self.txns[txn].until {
            self.ends.retried += 1;
            return self.hop(initiator, txn);
        }
        let one = &mut self.txns[txn];
        if one.done {
            self.violations.push(format!("txn {txn} is answered twice"));
        }
        (one.done, one.rejected) = (true, not_run);
        self.open.remove(&txn);
        if self.now > one.until + GRACE {
            self.violations.push(format!("txn {txn} is answered late"));
        }
        match ending {
            _ if not_run => {
                self.ends.rejected += 1;
                if self.txns[txn].runs > 0 {
                    self.violations.push(format!("txn {txn} is rejected by {end:?} and ran"));
                }
            }
            Some(TxnOutcome::Served) => {
                self.ends.served += 1;
                if self.txns[txn].runs != 1 {
                    self.violations
                        .push(format!("txn {txn} is served and ran {} times", self.txns[txn].runs));
                }
            }
            _ => self.ends.aborted += 1,
        }
    }

    fn tick_acceptor(&mut self, i: usize) {
        let now = self.now;
        let Some(end) = self.acceptors[i].as_mut().filter(|f| !f.stopped) else { return };
        end.node.tick(now);
        let over: Vec<(Call, bool)> =
            end.runs.iter().filter(|(_, r)| r.0 <= now).map(|(c, r)| (*c, r.1)).collect();
        for (call, ran) in over {
            end.runs.remove(&call);
            let ending = if ran {
                TxnOutcome::Served
            } else {
                TxnOutcome::Rejected { retry_after: None, may_have_run: false }
            };
            let response =
                end.core.finished(now, call, &Arc::new(Answer { outcome: ending, body: Vec::new() }));
            assert!(response.is_none(), "no answer before its outcome is replicated");
        }
        self.pull_node(i);
        self.pull_acceptor(i);
    }

    fn pull_node(&mut self, i: usize) {
        let now = self.now;
        loop {
            let Some(end) = self.acceptors[i].as_mut() else { return };
            let id = end.node.id();
            match end.node.poll() {
                None => return,
                Some(Out::Send { holder, frame, .. }) => {
                    let lost = self.is_cut(i) || self.is_cut(holder);
                    if !lost && !self.rng.random_bool(0.002) {
                        let late = self.rng.random_bool(0.001);
                        let delay = if late { self.rng.random_range(1_000..30_000) } else { 1 };
                        self.frames.push_back((now + Span::from_millis(delay), i, id, holder, frame));
                    }
                }
                Some(Out::LedgerChanged { group, ledger }) => {
                    let node = &end.node;
                    end.core.replica_ledger_changed(now, ledger, |sender| node.group_of(sender) == group);
                }
                Some(Out::Response(response)) => {
                    self.response_received(i, response.request_id, response.result)
                }
                Some(Out::Write { .. }) => unreachable!("no disk here"),
            }
        }
    }

    fn response_received(&mut self, i: usize, ask: u64, result: Result<CommandResult, RequestError>) {
        let now = self.now;
        let Some(end) = self.acceptors[i].as_mut() else { return };
        let Some(purpose) = end.pending.remove(&ask) else { return };
        match purpose {
            Purpose::Register(session, group) => {
                let known = result == Ok(CommandResult::Registered(true));
                let ledger = end.node.ledger(group).filter(|_| known);
                end.core.sender_registered(now, session, ledger);
            }
            Purpose::Accept(call, asked) => {
                let taken = client::accept_result(result, asked, now, Span::from_millis(1_000));
                end.core.accept_replicated(now, call, taken);
            }
            Purpose::End(Some(call)) => {
                end.core.outcome_replicated(now, call, result == Ok(CommandResult::Recorded))
            }
            Purpose::Query(session, what) => {
                let found = client::lookup_result(result);
                end.core.replica_status(now, session, what, found);
            }
            Purpose::End(None) | Purpose::Settle => {}
        }
    }

    fn submit(&mut self, i: usize, sender: u64, operation: Operation, purpose: impl FnOnce(u32) -> Purpose) {
        let now = self.now;
        let Some(end) = self.acceptors[i].as_mut() else { return };
        let group = end.node.group_of(sender);
        let ask = end.node.submit(now, group, 9, operation);
        end.pending.insert(ask, purpose(group));
    }

    fn pull_acceptor(&mut self, i: usize) {
        let now = self.now;
        while let Some(todo) = self.acceptors[i].as_mut().and_then(|f| f.core.poll(now)) {
            match todo {
                SessionAction::AcceptSession { session, credit, leaving, ledger } => {
                    let ledger = ledger.unwrap_or(1 + i as u64);
                    let clock = Some(now);
                    let welcome = Welcome { ledger, credit, leaving, knows_past_ledgers: true, clock };
                    self.post(session, false, Msg::Welcome(welcome));
                }
                SessionAction::RefuseSession { session, reason: why } => {
                    panic!("{session} is refused: {why}")
                }
                SessionAction::Run { call, session, number } => {
                    self.run_txn(i, call);
                    if let Some(session) = session {
                        self.post(session, false, Msg::Accepted(number));
                    }
                }
                SessionAction::AlreadyRunning { session, number } => {
                    self.post(session, false, Msg::Accepted(number))
                }
                SessionAction::SendAnswer { session, number, answer } => {
                    self.post(session, false, Msg::Answer(number, answer.outcome));
                }
                SessionAction::RefuseHop { session, number, reason: why } => {
                    self.post(session, false, Msg::Refused(number, why))
                }
                SessionAction::SendStatus { session, number, status } => {
                    self.post(session, false, Msg::Status(number, status))
                }
                SessionAction::Discard { call } => {
                    if let Some(end) = self.acceptors[i].as_mut() {
                        end.requests.remove(&call);
                    }
                }
                SessionAction::Cancel { call } => {
                    // A txn that is at the store runs all the same.
                    let Some(end) = self.acceptors[i].as_mut() else { return };
                    end.runs.remove(&call);
                    end.core.finished(
                        now,
                        call,
                        &Arc::new(Answer { outcome: TxnOutcome::Aborted, body: Vec::new() }),
                    );
                }
                SessionAction::AnnounceLeaving { .. } | SessionAction::Persist { .. } => {}
                SessionAction::LedgerChanged { session, ledger } => {
                    self.post(session, false, Msg::Ledger(ledger))
                }
                SessionAction::RegisterSender { session, sender, next_number: fresh } => {
                    let operation = Operation::RegisterSender(RegisterSender { sender, next_number: fresh });
                    self.submit(i, sender, operation, |group| Purpose::Register(session, group));
                }
                SessionAction::ReplicateAccept { call, key, .. } => {
                    self.submit(i, key.sender, Operation::accept(key), |_| Purpose::Accept(call, now));
                }
                SessionAction::ReplicateOutcome { call, key, answer, ledger: of } => {
                    self.submit(i, key.sender, Operation::end(key, &answer, of), |_| Purpose::End(call));
                }
                SessionAction::QueryReplicas { session, key, ledger: of } => {
                    self.submit(i, key.sender, Operation::query(key, of), |_| {
                        Purpose::Query(session, (key, of))
                    });
                }
                SessionAction::ReplicateSettle { sender, below } => {
                    let operation = Operation::Settle(TxnKey { sender, number: below });
                    self.submit(i, sender, operation, |_| Purpose::Settle);
                }
            }
            self.pull_node(i);
        }
    }

    /// An acceptor sends a txn to the store, where it runs; a few are rejected before that.
    fn run_txn(&mut self, i: usize, call: Call) {
        let (ran, took) = (self.rng.random_bool(0.97), Span::from_millis(self.rng.random_range(20..90)));
        let at = self.now + took;
        let Some(end) = self.acceptors[i].as_mut() else { return };
        let Some(of) = end.requests.remove(&call) else { return };
        end.runs.insert(call, (at, ran));
        if !ran {
            return;
        }
        let Some(&txn) = self.origin.get(&of) else { return };
        let one = &mut self.txns[txn];
        one.runs += 1;
        if one.runs > 1 {
            self.violations.push(format!("txn {txn} runs again"));
        }
        if one.rejected || self.not_run.contains(&of) {
            self.violations.push(format!("txn {txn} runs after it was reported as not run"));
        }
    }

    fn check(&mut self) {
        let late = |txn: &usize| self.now > self.txns[*txn].until + GRACE;
        for txn in self.open.iter().filter(|b| late(b)) {
            self.violations.push(format!("txn {txn} has no answer at its limit"));
        }
        assert!(self.violations.is_empty(), "{:#?}", &self.violations[..self.violations.len().min(4)]);
    }

    fn leader(&self) -> Option<usize> {
        let leads = |f: &AcceptorHost| (0..2).any(|g| f.node.member(g).is_some_and(|m| m.is_ready()));
        self.acceptors.iter().position(|f| f.as_ref().is_some_and(leads))
    }
}

/// A run with one fault after another. Returns how the txns ended.
fn random_run(seed: u64, rounds: usize) -> Ends {
    let (initiators, acceptors) = (2, 5);
    let mut world = World::new(initiators, acceptors, seed);
    world.busy = false;
    world.run(Span::from_millis(6_000));
    world.busy = true;
    for _ in 0..rounds {
        let any = world.rng.random_range(0..acceptors);
        let one = if world.rng.random_bool(0.5) { world.leader().unwrap_or(any) } else { any };
        let lasts = Span::from_millis(world.rng.random_range(100..5_000));
        let until = world.now + lasts;
        match world.rng.random_range(0..8) {
            0 | 1 => {
                world.kill(one);
                world.run(lasts);
                world.start(one);
            }
            2 => {
                world.acceptors[one].iter_mut().for_each(|f| f.stopped = true);
                world.run(lasts);
                world.acceptors[one].iter_mut().for_each(|f| f.stopped = false);
            }
            3 => _ = world.cut.insert(one, until),
            4 => {
                // A link stalls, and the machine behind it is lost meanwhile.
                let initiator = world.rng.random_range(0..initiators);
                world.stalls.insert((initiator, one), until);
                world.run(lasts * 0.3);
                world.kill(one);
                world.run(lasts * 0.3);
                world.start(one);
            }
            5 => {
                (0..initiators).for_each(|initiator| _ = world.stalls.insert((initiator, one), until));
                world.run(lasts);
            }
            6 => {
                // Both sites lose a machine at the same moment.
                let initiator = world.rng.random_range(0..initiators);
                world.lose_initiator(initiator);
                world.kill(one);
                world.run(lasts);
                world.start(one);
            }
            _ => {
                let other = (one + 1) % acceptors;
                world.kill(one);
                world.kill(other);
                world.run(lasts * 0.5);
                world.start(one);
                world.start(other);
            }
        }
        let rest = Span::from_millis(world.rng.random_range(200..3_000));
        world.run(rest);
    }
    world.busy = false;
    world.run(Span::from_millis(12_000));
    world.ends
}

#[test]
fn txns_over_links_and_replicas_run_at_most_once_and_get_one_answer_in_time() {
    let seeds = std::env::var("COPIES_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(8);
    let first = std::env::var("COPIES_FIRST").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut all = Ends::default();
    for seed in first..first + seeds {
        println!("seed {seed}");
        let ends = random_run(seed, 12);
        assert_eq!(ends.submitted, ends.served + ends.rejected + ends.aborted);
        for (sum, n) in [
            (&mut all.submitted, ends.submitted),
            (&mut all.served, ends.served),
            (&mut all.rejected, ends.rejected),
            (&mut all.aborted, ends.aborted),
            (&mut all.retried, ends.retried),
        ] {
            *sum += n;
        }
    }
    println!("{all:?}");
    assert!(all.served as f64 > all.submitted as f64 * 0.8, "{all:?}");
}
