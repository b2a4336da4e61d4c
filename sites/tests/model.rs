//! Model test of both cores in simulated time against a plain reference: initiators and acceptors;
//! connections that lose, reorder, duplicate and delay messages and break at either end first; processes
//! that are killed between any two steps.
//!
//! Checked after every step: nothing ran twice, nothing reported as not run has run or runs later, each hop
//! finished once and in time, its outcome is true, and all tables keep their bounds.
//!
//! `KELPCART_RUNS` sets the number of runs of 3,000 steps.

use kelpcart::{Span, Time};
use kelpcart_sites::acceptor::{Acceptor, Call, RefusalReason, RequestMeta, SessionAction};
use kelpcart_sites::initiator::{AcceptorAttempts, HopOutcome, HopSpec, Initiator, LinkAction};
use kelpcart_sites::ledger::{Answer, Change, Key, TxnOutcome};
use kelpcart_sites::link::Welcome;
use kelpcart_sites::settings::Sites;
use kelpcart_sites::wire::{self, Hello, TxnStatus, VERSION};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const INITIATORS: usize = 2;
const ACCEPTORS: usize = 2;
const ENTRIES: usize = 14;
const QUEUE: usize = 6;
/// How far the acceptors' clocks are ahead of the initiators'.
const CLOCK_LEAD: Span = Span::from_millis(70_000);

#[derive(Clone, Debug)]
enum Msg {
    Request { number: u64, unrepeatable: bool, path: Vec<String> },
    StatusQuery(Vec<u64>),
    Settle(u64),
    Cancel(u64),
    Ping(u64),
    Welcome { ledger: u64, credit: u32, leaving: bool, clock: Time },
    Accepted(u64),
    Answer { number: u64, body: Vec<u8>, served: bool },
    Refused { number: u64, reason: RefusalReason },
    StatusReply { number: u64, status: TxnStatus },
    Pong(wire::Pong),
    Leaving,
}

/// A connection: the messages in flight in each direction, and whether each end still has it open.
struct Connection {
    initiator: usize,
    run: u64,
    acceptor: usize,
    acceptor_run: u64,
    to_acceptor: Vec<Msg>,
    to_initiator: Vec<Msg>,
    initiator_open: bool,
    acceptor_open: bool,
    /// Whether each direction is blocked.
    blocked: [bool; 2],
}

struct InitiatorEnd {
    core: Initiator,
    run: u64,
    connection: Vec<Option<u64>>,
}

/// Changes applied to a disk, in order.
#[derive(Default)]
struct Disk {
    floors: BTreeMap<u64, u64>,
    accepted: BTreeMap<Key, Option<Answer>>,
}

impl Disk {
    fn apply(&mut self, change: &Change) {
        match change {
            Change::Accepted(key) => _ = self.accepted.insert(*key, None),
            Change::Ended(key, answer) => _ = self.accepted.insert(*key, Some(Answer::clone(answer))),
            Change::Floor(key) => _ = self.floors.insert(key.sender, key.number),
            Change::Dropped(key) => _ = self.accepted.remove(key),
            Change::SenderDropped(sender) => {
                self.floors.remove(sender);
                self.accepted.retain(|key, _| key.sender != *sender);
            }
        }
    }
}

struct AcceptorEnd {
    core: Acceptor,
    run: u64,
    ledger: u64,
    requests: BTreeMap<Call, (u64, u64)>,
    running: BTreeMap<Call, (u64, u64)>,
    disk: Disk,
    unwritten: VecDeque<(u64, Vec<Change>)>,
}

/// The reference's record of a hop.
#[derive(Debug, Default)]
struct HopRecord {
    unrepeatable: bool,
    deadline: Time,
    attempts: AcceptorAttempts,
    runs: u32,
    outcome: Option<HopOutcome>,
    cancelled: bool,
    answers: BTreeSet<Vec<u8>>,
}

struct World {
    rng: Pcg64Mcg,
    now: Time,
    durable: bool,
    settings: Sites,
    initiators: Vec<InitiatorEnd>,
    acceptors: Vec<AcceptorEnd>,
    connections: BTreeMap<u64, Connection>,
    next: u64,
    hops: BTreeMap<(u64, u64), HopRecord>,
    seen: BTreeMap<&'static str, u64>,
}

fn settings(durable: bool) -> Sites {
    let peer = |i: usize| {
        serde_json::json!({"name": format!("f{i}"), "site": "west", "address": "127.0.0.1:1", "as": ["parent"],
            "size": 1.0})
    };
    let file = durable.then_some("somewhere");
    let all = serde_json::json!({
        "site": "east", "gateway": "e", "listen": "127.0.0.1:1", "accept": ["west"],
        "peers": (0..ACCEPTORS).map(peer).collect::<Vec<_>>(),
        "keys": {"certificate": "", "key": "", "roots": ""},
        "limits": {"queue": QUEUE, "taken": 12, "sessions": 8, "reconnect_ms": 10, "reconnect_most_ms": 200,
            "dark_after_ms": 300, "connect_ms": 200, "answer_before_ms": 0},
        "ledger": {"entries": ENTRIES, "bytes": 200, "age_ms": 300, "gateways": 6, "file": file},
    });
    Sites::read(&all.to_string()).unwrap()
}

fn acceptor_settings(durable: bool) -> Sites {
    let mut all = settings(durable);
    (all.site, all.accept) = ("west".to_owned(), BTreeSet::from(["east".to_owned()]));
    all
}

impl World {
    fn new(seed: u64, durable: bool) -> World {
        let (now, sites_settings) = (Time::from_micros(1_000_000), settings(durable));
        let mut world = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            durable,
            settings: sites_settings,
            initiators: Vec::new(),
            acceptors: Vec::new(),
            connections: BTreeMap::new(),
            next: 100,
            hops: BTreeMap::new(),
            seen: BTreeMap::new(),
        };
        (0..INITIATORS).for_each(|_| {
            let initiator = world.new_initiator();
            world.initiators.push(initiator);
        });
        (0..ACCEPTORS).for_each(|_| {
            let acceptor = world.new_acceptor(Disk::default());
            world.acceptors.push(acceptor);
        });
        world
    }

    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn new_initiator(&mut self) -> InitiatorEnd {
        let run = self.id();
        InitiatorEnd {
            core: Initiator::new(&self.settings, run, self.now),
            run,
            connection: vec![None; ACCEPTORS],
        }
    }

    fn new_acceptor(&mut self, disk: Disk) -> AcceptorEnd {
        let run = self.id();
        let mut core = Acceptor::new(&acceptor_settings(self.durable), self.now);
        let floors: Vec<Key> = disk.floors.iter().map(|(&sender, &number)| Key { sender, number }).collect();
        let accepted: Vec<_> = disk.accepted.iter().map(|(key, a)| (*key, a.clone())).collect();
        core.recover(self.now, &floors, &accepted);
        let (requests, running, unwritten) = Default::default();
        AcceptorEnd { core, run, ledger: run, requests, running, disk, unwritten }
    }

    fn count(&mut self, what: &'static str) {
        *self.seen.entry(what).or_default() += 1;
    }

    fn step(&mut self) {
        match self.rng.random_range(0..1_000) {
            0..150 => self.now += Span::from_millis(self.rng.random_range(0..30)),
            150..300 => self.submit(),
            300..800 => self.deliver(),
            800..900 => self.finish(),
            900..905 => self.disconnect(),
            905..909 => self.toggle_partition(),
            909..920 => self.duplicate_requests(),
            920..930 => self.cancel(),
            930..990 => self.write_to_disk(),
            990..994 => self.detect_closed(),
            994..996 => self.kill(),
            996 if self.rng.random_bool(0.05) => {
                let i = self.rng.random_range(0..ACCEPTORS);
                self.acceptors[i].core.stop();
                self.count("stopped");
            }
            _ => {}
        }
        self.run_actions();
        self.check();
    }

    fn submit(&mut self) {
        let (i, link) = (self.rng.random_range(0..INITIATORS), self.rng.random_range(0..ACCEPTORS));
        let unrepeatable = self.rng.random_bool(0.7);
        let deadline = self.now + Span::from_millis(self.rng.random_range(50..1_500));
        let path = if self.rng.random_bool(0.03) { vec!["west".to_owned()] } else { Vec::new() };
        let (importance, size_kb) = (self.rng.random_range(0..9), Some(self.rng.random_range(0.1..50.0)));
        let first_attempt = self.rng.random_bool(0.3).then_some(self.now);
        let start_by = self.now + Span::from_millis(self.rng.random_range(0..1_500));
        let start_by = start_by.min(deadline);
        let spec = HopSpec {
            importance,
            unrepeatable,
            size_kb,
            body_bytes: 10,
            deadline,
            sla_deadline: deadline,
            first_attempt,
            start_by,
            path: &path,
        };
        let number = self.initiators[i].core.submit(self.now, link, &spec);
        // As the acceptor's clock shows them.
        let on_acceptor = |at: Time| at + CLOCK_LEAD;
        let attempts = AcceptorAttempts {
            first_attempt: first_attempt.map(on_acceptor),
            start_by: Some(on_acceptor(start_by)),
        };
        let record = HopRecord { unrepeatable, deadline, attempts, ..HopRecord::default() };
        self.hops.insert((self.initiators[i].run, number), record);
    }

    fn deliver(&mut self) {
        let moves = |(id, connection): (&u64, &Connection)| {
            let (to_acceptor, to_initiator) = (
                !connection.to_acceptor.is_empty() && !connection.blocked[0],
                !connection.to_initiator.is_empty() && !connection.blocked[1],
            );
            [to_acceptor.then_some((*id, true)), to_initiator.then_some((*id, false))]
        };
        let directions: Vec<(u64, bool)> = self.connections.iter().flat_map(moves).flatten().collect();
        if directions.is_empty() {
            return;
        }
        let (id, to_acceptor) = directions[self.rng.random_range(0..directions.len())];
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let all = if to_acceptor { &mut connection.to_acceptor } else { &mut connection.to_initiator };
        // A welcome is delivered first; otherwise any stream may be next.
        let at = if matches!(all[0], Msg::Welcome { .. }) { 0 } else { self.rng.random_range(0..all.len()) };
        let msg = all.swap_remove(at);
        if to_acceptor {
            self.receive_at_acceptor(id, msg);
        } else {
            self.receive_at_initiator(id, msg);
        }
    }

    fn receive_at_acceptor(&mut self, id: u64, msg: Msg) {
        let (now, connection) = (self.now, &self.connections[&id]);
        let acceptor = &mut self.acceptors[connection.acceptor];
        if !connection.acceptor_open || connection.acceptor_run != acceptor.run {
            return;
        }
        match msg {
            Msg::Request { number, unrepeatable, path } => {
                if let Some(call) = acceptor.core.request(
                    now,
                    id,
                    &RequestMeta { number, unrepeatable, importance: 5, path: &path },
                ) {
                    acceptor.requests.insert(call, (connection.run, number));
                }
            }
            Msg::StatusQuery(numbers) => acceptor.core.query_status(now, id, 0, &numbers),
            Msg::Settle(below) => acceptor.core.settle(id, below),
            Msg::Cancel(number) => acceptor.core.cancelled(id, number),
            Msg::Ping(number) => {
                let (credit, leaving) = acceptor.core.pong_state();
                let clock_us = Some((now + CLOCK_LEAD).as_micros());
                self.send_to_initiator(id, Msg::Pong(wire::Pong { number, credit, leaving, clock_us }));
            }
            _ => unreachable!(),
        }
    }

    fn receive_at_initiator(&mut self, id: u64, msg: Msg) {
        let (now, connection) = (self.now, &self.connections[&id]);
        let (acceptor, initiator) = (connection.acceptor, &mut self.initiators[connection.initiator]);
        if !connection.initiator_open
            || initiator.run != connection.run
            || initiator.connection[acceptor] != Some(id)
        {
            return;
        }
        match msg {
            Msg::Welcome { ledger, credit, leaving, clock } => initiator.core.connected(
                now,
                acceptor,
                &Welcome { ledger, credit, leaving, knows_past_ledgers: false, clock: Some(clock) },
            ),
            Msg::Accepted(number) => _ = initiator.core.accepted(now, number),
            Msg::Answer { number, body, served } => {
                let record = &self.hops[&(initiator.run, number)];
                // The acceptor produced this answer, and only a txn that ran was served.
                assert!(!record.unrepeatable || record.answers.contains(&body) || !served);
                assert!(!served || record.runs > 0);
                initiator.core.answered(now, acceptor, number, 500.0);
            }
            Msg::Refused { number, reason } => {
                let outcome = match reason {
                    RefusalReason::Forgotten => HopOutcome::Lost,
                    RefusalReason::Loop => HopOutcome::Loop,
                    RefusalReason::Leaving | RefusalReason::Full | RefusalReason::Fenced => {
                        HopOutcome::Refused
                    }
                };
                initiator.core.refused(now, acceptor, number, outcome);
            }
            Msg::StatusReply { number, status } => {
                initiator.core.status_received(now, acceptor, number, status)
            }
            Msg::Pong(pong) => initiator.core.pong_received(now, acceptor, &pong),
            Msg::Leaving => initiator.core.peer_leaving(now, acceptor),
            _ => unreachable!(),
        }
    }

    fn send_to_initiator(&mut self, id: u64, msg: Msg) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.to_initiator.push(msg);
        }
    }

    /// A txn that runs at an acceptor finishes.
    fn finish(&mut self) {
        let acceptor = self.rng.random_range(0..ACCEPTORS);
        let calls: Vec<Call> = self.acceptors[acceptor].running.keys().copied().collect();
        if calls.is_empty() {
            return;
        }
        let call = calls[self.rng.random_range(0..calls.len())];
        self.end_call(acceptor, call);
    }

    fn end_call(&mut self, acceptor: usize, call: Call) {
        let Some((run, number)) = self.acceptors[acceptor].running.remove(&call) else { return };
        let body = vec![self.rng.random(); self.rng.random_range(0..60)];
        let served = self.rng.random_bool(0.8);
        let outcome = if served { TxnOutcome::Served } else { TxnOutcome::Aborted };
        let body = if served { body } else { Vec::new() };
        if let Some(record) = self.hops.get_mut(&(run, number)) {
            record.answers.insert(body.clone());
        }
        let answer = Arc::new(Answer { outcome, body: body.clone() });
        if let Some((session, number)) = self.acceptors[acceptor].core.finished(self.now, call, &answer) {
            self.send_to_initiator(session, Msg::Answer { number, body, served });
        }
    }

    fn disconnect(&mut self) {
        let keys: Vec<u64> = self.connections.keys().copied().collect();
        if keys.is_empty() {
            return;
        }
        let id = keys[self.rng.random_range(0..keys.len())];
        self.count("disconnect");
        // Either end may notice first; messages in flight may still reach the other.
        match self.rng.random_range(0..3) {
            0 => {
                self.close_at_initiator(id);
                // Messages already sent may be delayed for long.
                let delayed = self.rng.random_bool(0.7);
                _ = self.connections.get_mut(&id).map(|connection| connection.blocked[0] = delayed);
            }
            1 => self.close_at_acceptor(id),
            _ => {
                self.close_at_initiator(id);
                self.close_at_acceptor(id);
            }
        }
    }

    /// Acceptors detect connections that their initiators have closed.
    fn detect_closed(&mut self) {
        let removed: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.initiator_open)
            .map(|(id, _)| *id)
            .collect();
        removed.into_iter().for_each(|id| self.close_at_acceptor(id));
    }

    fn close_at_initiator(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| connection.initiator_open)
        else {
            return;
        };
        connection.initiator_open = false;
        let (initiator, acceptor) = (connection.initiator, connection.acceptor);
        if self.initiators[initiator].run == connection.run
            && self.initiators[initiator].connection[acceptor] == Some(id)
        {
            self.initiators[initiator].connection[acceptor] = None;
            self.initiators[initiator].core.disconnected(self.now, acceptor);
        }
    }

    fn close_at_acceptor(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| connection.acceptor_open)
        else {
            return;
        };
        connection.acceptor_open = false;
        let acceptor = &mut self.acceptors[connection.acceptor];
        if connection.acceptor_run == acceptor.run {
            acceptor.core.disconnected(id);
        }
    }

    fn toggle_partition(&mut self) {
        let direction = self.rng.random_range(0..2);
        let blocked = self.rng.random_bool(0.3);
        let keys: Vec<u64> = self.connections.keys().copied().collect();
        if let Some(id) = keys.get(self.rng.random_range(0..keys.len().max(1))) {
            self.connections.get_mut(id).unwrap().blocked[direction] = blocked;
            self.count("direction blocked or unblocked");
        }
    }

    fn duplicate_requests(&mut self) {
        let count = self.rng.random_range(0..4);
        for connection in self.connections.values_mut() {
            let requests: Vec<Msg> = connection
                .to_acceptor
                .iter()
                .filter(|m| matches!(m, Msg::Request { .. }))
                .take(count)
                .cloned()
                .collect();
            connection.to_acceptor.extend(requests);
        }
        self.count("requests duplicated");
    }

    fn cancel(&mut self) {
        let initiator = self.rng.random_range(0..INITIATORS);
        let run = self.initiators[initiator].run;
        let open: Vec<u64> = self
            .hops
            .range((run, 0)..=(run, u64::MAX))
            .filter(|(_, record)| record.outcome.is_none() && !record.cancelled)
            .map(|(key, _)| key.1)
            .collect();
        if let Some(&number) = open.get(self.rng.random_range(0..open.len().max(1))) {
            self.hops.get_mut(&(run, number)).unwrap().cancelled = true;
            self.initiators[initiator].core.cancelled(self.now, number);
        }
    }

    fn write_to_disk(&mut self) {
        let i = self.rng.random_range(0..ACCEPTORS);
        let acceptor = &mut self.acceptors[i];
        let Some((seq, changes)) = acceptor.unwritten.pop_front() else { return };
        // The disk fails now and then: nothing of that write is stored.
        if self.rng.random_bool(0.02)
            && changes.iter().all(|connection| matches!(connection, Change::Accepted(_)))
        {
            acceptor.core.persist_failed(self.now, seq);
            return self.count("disk failed");
        }
        changes.iter().for_each(|connection| acceptor.disk.apply(connection));
        acceptor.core.persisted(self.now, seq);
    }

    fn kill(&mut self) {
        if self.rng.random_bool(0.5) {
            let i = self.rng.random_range(0..INITIATORS);
            let run = self.initiators[i].run;
            for (_, record) in self.hops.range_mut((run, 0)..=(run, u64::MAX)) {
                record.cancelled = true;
            }
            let initiator = self.new_initiator();
            self.initiators[i] = initiator;
            let of_initiator = |connection: &Connection| connection.initiator == i;
            self.connections
                .values_mut()
                .filter(|connection| of_initiator(connection))
                .for_each(|connection| connection.initiator_open = false);
            return self.count("initiator killed");
        }
        let i = self.rng.random_range(0..ACCEPTORS);
        let disk = if self.durable { std::mem::take(&mut self.acceptors[i].disk) } else { Disk::default() };
        let ledger = self.acceptors[i].ledger;
        let mut acceptor = self.new_acceptor(disk);
        if self.durable {
            acceptor.ledger = ledger;
        }
        self.acceptors[i] = acceptor;
        self.connections
            .values_mut()
            .filter(|connection| connection.acceptor == i)
            .for_each(|connection| connection.acceptor_open = false);
        self.count("acceptor killed");
    }

    /// Carries out the actions of the cores until there are none.
    fn run_actions(&mut self) {
        loop {
            let mut idle = true;
            for i in 0..INITIATORS {
                while let Some(action) = self.initiators[i].core.poll(self.now) {
                    idle = false;
                    self.handle_link_action(i, action);
                }
            }
            for i in 0..ACCEPTORS {
                while let Some(action) = self.acceptors[i].core.poll(self.now) {
                    idle = false;
                    self.handle_session_action(i, action);
                }
            }
            if idle {
                break;
            }
        }
        let closed = |connection: &Connection| {
            !connection.initiator_open && (!connection.acceptor_open || connection.to_acceptor.is_empty())
        };
        let removed: Vec<u64> =
            self.connections.iter().filter(|(_, connection)| closed(connection)).map(|(id, _)| *id).collect();
        for id in removed {
            self.close_at_acceptor(id);
            self.connections.remove(&id);
        }
    }

    fn handle_link_action(&mut self, initiator: usize, action: LinkAction) {
        let run = self.initiators[initiator].run;
        let connection = |world: &World, link: usize| world.initiators[initiator].connection[link];
        let send = |world: &mut World, link: usize, msg: Msg| {
            if let Some(id) = connection(world, link) {
                world.connections.get_mut(&id).unwrap().to_acceptor.push(msg);
            }
        };
        match action {
            LinkAction::Dial { link } => {
                let id = self.id();
                let acceptor_run = self.acceptors[link].run;
                let (to_acceptor, to_initiator) = Default::default();
                let (initiator_open, acceptor_open, blocked) = (true, true, [false; 2]);
                let connection = Connection {
                    initiator,
                    run,
                    acceptor: link,
                    acceptor_run,
                    to_acceptor,
                    to_initiator,
                    initiator_open,
                    acceptor_open,
                    blocked,
                };
                self.connections.insert(id, connection);
                self.initiators[initiator].connection[link] = Some(id);
                let hello = Hello {
                    version: VERSION,
                    site: "east".to_owned(),
                    gateway: "e".to_owned(),
                    run_id: run,
                    next_number: self.initiators[initiator].core.next_number(),
                    states_attempts: true,
                };
                self.acceptors[link].core.hello(self.now, id, &hello, true);
            }
            LinkAction::Disconnect { link } => {
                if let Some(id) = self.initiators[initiator].connection[link].take() {
                    self.connections.get_mut(&id).unwrap().initiator_open = false;
                }
            }
            LinkAction::Send { link, number, time_left, attempts } => {
                assert!(time_left > Span::ZERO);
                let record = &self.hops[&(run, number)];
                let unrepeatable = record.unrepeatable;
                assert!(
                    record.attempts.start_by > Some(self.now + CLOCK_LEAD),
                    "{record:?} at {:?}",
                    self.now
                );
                // Stated where it matters, and never later than it is.
                let is_stated = |stated: Option<Time>, actual: Option<Time>| {
                    stated.is_some() == actual.is_some() && stated <= actual
                };
                assert!(
                    is_stated(attempts.first_attempt, record.attempts.first_attempt),
                    "{attempts:?} {record:?}"
                );
                let start_by = record.attempts.start_by.filter(|_| unrepeatable);
                assert!(is_stated(attempts.start_by, start_by), "{attempts:?} {record:?}");
                if connection(self, link).is_none() {
                    return self.initiators[initiator].core.send_failed(self.now, number);
                }
                send(self, link, Msg::Request { number, unrepeatable, path: vec!["east".to_owned()] });
            }
            LinkAction::LinkUp { .. } => {}
            LinkAction::Cancel { link, number } => send(self, link, Msg::Cancel(number)),
            LinkAction::QueryStatus { link, numbers, .. } => send(self, link, Msg::StatusQuery(numbers)),
            LinkAction::Ping { link, number } => send(self, link, Msg::Ping(number)),
            LinkAction::Settle { link, below } => send(self, link, Msg::Settle(below)),
            LinkAction::Finished { number, outcome } => {
                let record = self.hops.get_mut(&(run, number)).unwrap();
                assert!(
                    record.outcome.is_none() && !record.cancelled,
                    "{number} finished twice: {record:?}, {outcome:?}"
                );
                record.outcome = Some(outcome);
                let not_run = matches!(
                    outcome,
                    HopOutcome::Down
                        | HopOutcome::Full
                        | HopOutcome::Loop
                        | HopOutcome::Outdated
                        | HopOutcome::Refused
                        | HopOutcome::NeverAccepted
                );
                assert!(!record.unrepeatable || !not_run || record.runs == 0, "{number} has run: {record:?}");
                let what = match outcome {
                    HopOutcome::Answered => "answered",
                    HopOutcome::Down => "down",
                    HopOutcome::Full => "full",
                    HopOutcome::Loop => "loop",
                    HopOutcome::Outdated => "outdated",
                    HopOutcome::Refused => "refused",
                    HopOutcome::NeverAccepted => "never accepted",
                    HopOutcome::Lost => "lost",
                    HopOutcome::TimedOut => "timed out",
                };
                self.count(what);
            }
        }
    }

    fn handle_session_action(&mut self, acceptor: usize, action: SessionAction) {
        let ledger = self.acceptors[acceptor].ledger;
        match action {
            SessionAction::AcceptSession { session, credit, leaving, .. } => {
                let clock = self.now + CLOCK_LEAD;
                self.send_to_initiator(session, Msg::Welcome { ledger, credit, leaving, clock });
            }
            SessionAction::RefuseSession { session, .. } => {
                self.count("session refused");
                self.close_at_acceptor(session);
                self.close_at_initiator(session);
            }
            SessionAction::Run { call, session, number } => {
                let end = &mut self.acceptors[acceptor];
                let (run, of) = end.requests.remove(&call).unwrap();
                assert_eq!(of, number);
                end.running.insert(call, (run, number));
                let key = Key { sender: run, number };
                let record = self.hops.get_mut(&(run, number)).unwrap();
                if record.unrepeatable {
                    record.runs += 1;
                    assert_eq!(record.runs, 1, "{number} of {run} runs twice");
                    let not_run = [
                        HopOutcome::Down,
                        HopOutcome::Full,
                        HopOutcome::Loop,
                        HopOutcome::Refused,
                        HopOutcome::NeverAccepted,
                    ];
                    let reported = record.outcome.is_some_and(|outcome| not_run.contains(&outcome));
                    assert!(!reported, "{number} of {run} was reported as not run and runs");
                    assert!(
                        !self.durable || end.disk.accepted.contains_key(&key),
                        "it runs before it is on disk"
                    );
                } else {
                    record.runs = 1;
                }
                if let Some(session) = session {
                    self.send_to_initiator(session, Msg::Accepted(number));
                }
            }
            SessionAction::AlreadyRunning { session, number } => {
                self.send_to_initiator(session, Msg::Accepted(number))
            }
            SessionAction::SendAnswer { session, number, answer } => {
                let served = answer.outcome == TxnOutcome::Served;
                self.send_to_initiator(session, Msg::Answer { number, body: answer.body.clone(), served });
            }
            SessionAction::RefuseHop { session, number, reason } => {
                self.send_to_initiator(session, Msg::Refused { number, reason })
            }
            SessionAction::SendStatus { session, number, status } => {
                self.send_to_initiator(session, Msg::StatusReply { number, status })
            }
            SessionAction::Discard { call } => _ = self.acceptors[acceptor].requests.remove(&call).unwrap(),
            SessionAction::Cancel { call } => self.end_call(acceptor, call),
            SessionAction::AnnounceLeaving { session } => self.send_to_initiator(session, Msg::Leaving),
            SessionAction::LedgerChanged { .. }
            | SessionAction::RegisterSender { .. }
            | SessionAction::ReplicateAccept { .. }
            | SessionAction::ReplicateOutcome { .. }
            | SessionAction::QueryReplicas { .. }
            | SessionAction::ReplicateSettle { .. } => {
                panic!("replication is not enabled here: {action:?}")
            }
            SessionAction::Persist { seq, changes } => {
                self.acceptors[acceptor].unwritten.push_back((seq, changes))
            }
        }
    }

    fn check(&mut self) {
        for initiator in &self.initiators {
            assert!(initiator.core.next_wake() > self.now, "next_wake is not after the time of the call");
            for link in 0..ACCEPTORS {
                let stats = initiator.core.link_stats(link);
                assert!(stats.queued <= QUEUE && (0.0..=1.0).contains(&stats.credit_share));
            }
            let hops_of_run = self.hops.range((initiator.run, 0)..=(initiator.run, u64::MAX));
            for (key, record) in hops_of_run {
                let open = record.outcome.is_none() && !record.cancelled;
                assert!(
                    !open || record.deadline > self.now,
                    "{key:?} is open after its deadline: {record:?}"
                );
            }
        }
        for acceptor in &self.acceptors {
            for (what, n) in acceptor.core.sizes() {
                let limit = match what {
                    "ledger entries" => ENTRIES,
                    "ledger bytes" => 200,
                    "ledger senders" => 6,
                    "far sessions" => 8,
                    _ => 12,
                };
                assert!(n <= limit, "{what}: {n}");
            }
        }
    }

    /// All open hops finish by their deadlines, after which the initiators' tables are empty.
    fn drain(&mut self) {
        for _ in 0..300 {
            self.now += Span::from_millis(10);
            self.run_actions();
            self.check();
        }
        for initiator in &self.initiators {
            assert!(
                initiator.core.sizes()[1..5].iter().all(|(_, n)| *n == 0),
                "{:?}",
                initiator.core.sizes()
            );
        }
    }
}

fn number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or)
}

#[test]
fn no_schedule_violates_an_invariant() {
    let (steps, runs) = (3_000, number("KELPCART_RUNS", 40));
    let mut seen = BTreeMap::<_, u64>::new();
    for seed in 0..runs {
        let mut world = World::new(seed, seed % 2 == 0);
        for _ in 0..steps {
            world.step();
        }
        world.drain();
        world.seen.into_iter().for_each(|(what, n)| *seen.entry(what).or_default() += n);
    }
    println!("{seen:?}");
    // Each of these must have occurred, or the run proves nothing.
    for what in [
        "answered",
        "down",
        "full",
        "loop",
        "refused",
        "never accepted",
        "lost",
        "timed out",
        "disconnect",
        "acceptor killed",
    ] {
        assert!(seen.get(what).is_some_and(|n| *n > 5), "{what} did not occur: {seen:?}");
    }
}
