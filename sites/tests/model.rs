//! The core of both ends against a plain reference, in simulated time: near and far gateways, connections that lose,
//! reorder, repeat and hold back what they carry, break at either end first, and processes that are killed between
//! any two steps. After every step: nothing ran twice, nothing that was called not run has run or runs later, each
//! hop ended once and in time, what was told of it is so, and all tables keep their bounds.
//!
//! `KELPCART_RUNS` sets how many runs of 3,000 steps there are.

use kelpcart::{Span, Time};
use kelpcart_sites::acceptor::{Acceptor, Call, RefusalReason, RequestMeta, SessionAction};
use kelpcart_sites::initiator::{HopOutcome, HopSpec, Initiator, LinkAction, Welcome};
use kelpcart_sites::ledger::{Answer, Change, Key, TxnOutcome};
use kelpcart_sites::settings::Sites;
use kelpcart_sites::wire::{Hello, TxnStatus, VERSION};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const NEARS: usize = 2;
const FARS: usize = 2;
const ENTRIES: usize = 14;
const QUEUE: usize = 6;

#[derive(Clone, Debug)]
enum Msg {
    Request { number: u64, once: bool, path: Vec<String> },
    Ask(Vec<u64>),
    Settle(u64),
    GiveUp(u64),
    Ping(u64),
    Welcome { ledger: u64, credit: u32, leaving: bool },
    Taken(u64),
    Answer { number: u64, body: Vec<u8>, served: bool },
    Turned { number: u64, why: RefusalReason },
    Found { number: u64, fate: TxnStatus },
    Pong { number: u64, credit: u32, leaving: bool },
    Leaving,
}

/// A connection: what is on its way each way, and whether each end still has it.
struct Conn {
    near: usize,
    run: u64,
    far: usize,
    far_run: u64,
    there: Vec<Msg>,
    back: Vec<Msg>,
    near_has: bool,
    far_has: bool,
    /// Nothing moves that way.
    dark: [bool; 2],
}

struct NearEnd {
    core: Initiator,
    run: u64,
    conn: Vec<Option<u64>>,
}

/// What a disk holds: what was brought there, in order.
#[derive(Default)]
struct Disk {
    floors: BTreeMap<u64, u64>,
    taken: BTreeMap<Key, Option<Answer>>,
}

impl Disk {
    fn apply(&mut self, change: &Change) {
        match change {
            Change::Accepted(key) => _ = self.taken.insert(*key, None),
            Change::Ended(key, answer) => _ = self.taken.insert(*key, Some(Answer::clone(answer))),
            Change::Floor(key) => _ = self.floors.insert(key.sender, key.number),
            Change::Dropped(key) => _ = self.taken.remove(key),
            Change::SenderDropped(sender) => {
                self.floors.remove(sender);
                self.taken.retain(|key, _| key.sender != *sender);
            }
        }
    }
}

struct FarEnd {
    core: Acceptor,
    run: u64,
    ledger: u64,
    requests: BTreeMap<Call, (u64, u64)>,
    running: BTreeMap<Call, (u64, u64)>,
    disk: Disk,
    unwritten: VecDeque<(u64, Vec<Change>)>,
}

/// What the reference knows of a hop.
#[derive(Debug, Default)]
struct Known {
    once: bool,
    until: Time,
    runs: u32,
    ended: Option<HopOutcome>,
    given_up: bool,
    answers: BTreeSet<Vec<u8>>,
}

struct World {
    rng: Pcg64Mcg,
    now: Time,
    durable: bool,
    settings: Sites,
    nears: Vec<NearEnd>,
    fars: Vec<FarEnd>,
    conns: BTreeMap<u64, Conn>,
    next: u64,
    known: BTreeMap<(u64, u64), Known>,
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
        "peers": (0..FARS).map(peer).collect::<Vec<_>>(),
        "keys": {"certificate": "", "key": "", "roots": ""},
        "limits": {"queue": QUEUE, "taken": 12, "sessions": 8, "reconnect_ms": 10, "reconnect_most_ms": 200,
            "dark_after_ms": 300, "connect_ms": 200, "answer_before_ms": 0},
        "ledger": {"entries": ENTRIES, "bytes": 200, "age_ms": 300, "gateways": 6, "file": file},
    });
    Sites::read(&all.to_string()).unwrap()
}

fn far_settings(durable: bool) -> Sites {
    let mut all = settings(durable);
    (all.site, all.accept) = ("west".to_owned(), BTreeSet::from(["east".to_owned()]));
    all
}

impl World {
    fn new(seed: u64, durable: bool) -> World {
        let (now, set) = (Time::from_micros(1_000_000), settings(durable));
        let mut world = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            durable,
            settings: set,
            nears: Vec::new(),
            fars: Vec::new(),
            conns: BTreeMap::new(),
            next: 100,
            known: BTreeMap::new(),
            seen: BTreeMap::new(),
        };
        (0..NEARS).for_each(|_| {
            let near = world.near();
            world.nears.push(near);
        });
        (0..FARS).for_each(|_| {
            let far = world.far(Disk::default());
            world.fars.push(far);
        });
        world
    }

    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn near(&mut self) -> NearEnd {
        let run = self.id();
        NearEnd { core: Initiator::new(&self.settings, run, self.now), run, conn: vec![None; FARS] }
    }

    fn far(&mut self, disk: Disk) -> FarEnd {
        let run = self.id();
        let mut core = Acceptor::new(&far_settings(self.durable), self.now);
        let floors: Vec<Key> = disk.floors.iter().map(|(&sender, &number)| Key { sender, number }).collect();
        let taken: Vec<_> = disk.taken.iter().map(|(k, a)| (*k, a.clone())).collect();
        core.recover(self.now, &floors, &taken);
        let (requests, running, unwritten) = Default::default();
        FarEnd { core, run, ledger: run, requests, running, disk, unwritten }
    }

    fn count(&mut self, what: &'static str) {
        *self.seen.entry(what).or_default() += 1;
    }

    fn step(&mut self) {
        match self.rng.random_range(0..1_000) {
            0..150 => self.now += Span::from_millis(self.rng.random_range(0..30)),
            150..300 => self.ask(),
            300..800 => self.deliver(),
            800..900 => self.finish(),
            900..905 => self.cut(),
            905..909 => self.darken(),
            909..920 => self.repeat(),
            920..930 => self.give_up(),
            930..990 => self.flush(),
            990..994 => self.notice(),
            994..996 => self.kill(),
            996 if self.rng.random_bool(0.05) => {
                let i = self.rng.random_range(0..FARS);
                self.fars[i].core.stop();
                self.count("told to stop");
            }
            _ => {}
        }
        self.pull();
        self.check();
    }

    fn ask(&mut self) {
        let (i, link) = (self.rng.random_range(0..NEARS), self.rng.random_range(0..FARS));
        let once = self.rng.random_bool(0.7);
        let until = self.now + Span::from_millis(self.rng.random_range(50..1_500));
        let path = if self.rng.random_bool(0.03) { vec!["west".to_owned()] } else { Vec::new() };
        let (importance, need) = (self.rng.random_range(0..9), Some(self.rng.random_range(0.1..50.0)));
        let want = HopSpec {
            importance,
            unrepeatable: once,
            size_kb: need,
            body_bytes: 10,
            deadline: until,
            sla_deadline: until,
            path: &path,
        };
        let number = self.nears[i].core.submit(self.now, link, &want);
        let known = Known { once, until, ..Known::default() };
        self.known.insert((self.nears[i].run, number), known);
    }

    fn deliver(&mut self) {
        let moves = |(id, c): (&u64, &Conn)| {
            let (there, back) = (!c.there.is_empty() && !c.dark[0], !c.back.is_empty() && !c.dark[1]);
            [there.then_some((*id, true)), back.then_some((*id, false))]
        };
        let ways: Vec<(u64, bool)> = self.conns.iter().flat_map(moves).flatten().collect();
        if ways.is_empty() {
            return;
        }
        let (id, there) = ways[self.rng.random_range(0..ways.len())];
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let all = if there { &mut conn.there } else { &mut conn.back };
        // A welcome comes first; else any stream may be the next.
        let at = if matches!(all[0], Msg::Welcome { .. }) { 0 } else { self.rng.random_range(0..all.len()) };
        let msg = all.swap_remove(at);
        if there {
            self.at_far(id, msg);
        } else {
            self.at_near(id, msg);
        }
    }

    fn at_far(&mut self, id: u64, msg: Msg) {
        let (now, conn) = (self.now, &self.conns[&id]);
        let far = &mut self.fars[conn.far];
        if !conn.far_has || conn.far_run != far.run {
            return;
        }
        match msg {
            Msg::Request { number, once, path } => {
                if let Some(call) = far.core.request(
                    now,
                    id,
                    &RequestMeta { number, unrepeatable: once, importance: 5, path: &path },
                ) {
                    far.requests.insert(call, (conn.run, number));
                }
            }
            Msg::Ask(numbers) => far.core.query_status(now, id, 0, &numbers),
            Msg::Settle(below) => far.core.settle(id, below),
            Msg::GiveUp(number) => far.core.cancelled(id, number),
            Msg::Ping(number) => {
                let (credit, leaving) = far.core.pong_state();
                self.back(id, Msg::Pong { number, credit, leaving });
            }
            _ => unreachable!(),
        }
    }

    fn at_near(&mut self, id: u64, msg: Msg) {
        let (now, conn) = (self.now, &self.conns[&id]);
        let (far, near) = (conn.far, &mut self.nears[conn.near]);
        if !conn.near_has || near.run != conn.run || near.conn[far] != Some(id) {
            return;
        }
        match msg {
            Msg::Welcome { ledger, credit, leaving } => {
                near.core.connected(now, far, &Welcome { ledger, credit, leaving, knows_past_ledgers: false })
            }
            Msg::Taken(number) => _ = near.core.accepted(now, number),
            Msg::Answer { number, body, served } => {
                let known = &self.known[&(near.run, number)];
                // An answer is one that the far end gave; and only what ran was served.
                assert!(!known.once || known.answers.contains(&body) || !served);
                assert!(!served || known.runs > 0);
                near.core.answered(now, far, number, 500.0);
            }
            Msg::Turned { number, why } => {
                let end = match why {
                    RefusalReason::Forgotten => HopOutcome::Lost,
                    RefusalReason::Loop => HopOutcome::Loop,
                    RefusalReason::Leaving | RefusalReason::Full | RefusalReason::Fenced => {
                        HopOutcome::Refused
                    }
                };
                near.core.refused(now, far, number, end);
            }
            Msg::Found { number, fate } => near.core.status_received(now, far, number, fate),
            Msg::Pong { number, credit, leaving } => {
                near.core.pong_received(now, far, number, credit, leaving)
            }
            Msg::Leaving => near.core.peer_leaving(now, far),
            _ => unreachable!(),
        }
    }

    fn back(&mut self, id: u64, msg: Msg) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.back.push(msg);
        }
    }

    /// A txn at a far end runs to its end.
    fn finish(&mut self) {
        let far = self.rng.random_range(0..FARS);
        let calls: Vec<Call> = self.fars[far].running.keys().copied().collect();
        if calls.is_empty() {
            return;
        }
        let call = calls[self.rng.random_range(0..calls.len())];
        self.end_call(far, call);
    }

    fn end_call(&mut self, far: usize, call: Call) {
        let Some((run, number)) = self.fars[far].running.remove(&call) else { return };
        let body = vec![self.rng.random(); self.rng.random_range(0..60)];
        let served = self.rng.random_bool(0.8);
        let ending = if served { TxnOutcome::Served } else { TxnOutcome::Aborted };
        let body = if served { body } else { Vec::new() };
        if let Some(known) = self.known.get_mut(&(run, number)) {
            known.answers.insert(body.clone());
        }
        let answer = Arc::new(Answer { outcome: ending, body: body.clone() });
        if let Some((session, number)) = self.fars[far].core.finished(self.now, call, &answer) {
            self.back(session, Msg::Answer { number, body, served });
        }
    }

    fn cut(&mut self) {
        let keys: Vec<u64> = self.conns.keys().copied().collect();
        if keys.is_empty() {
            return;
        }
        let id = keys[self.rng.random_range(0..keys.len())];
        self.count("cut");
        // Either end may notice first; what is on its way may still come to the other.
        match self.rng.random_range(0..3) {
            0 => {
                self.near_loses(id);
                // What it sent may be held up for long.
                let held = self.rng.random_bool(0.7);
                _ = self.conns.get_mut(&id).map(|c| c.dark[0] = held);
            }
            1 => self.far_loses(id),
            _ => {
                self.near_loses(id);
                self.far_loses(id);
            }
        }
    }

    /// Far ends notice that near ones have gone.
    fn notice(&mut self) {
        let gone: Vec<u64> = self.conns.iter().filter(|(_, c)| !c.near_has).map(|(id, _)| *id).collect();
        gone.into_iter().for_each(|id| self.far_loses(id));
    }

    fn near_loses(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| c.near_has) else { return };
        conn.near_has = false;
        let (near, far) = (conn.near, conn.far);
        if self.nears[near].run == conn.run && self.nears[near].conn[far] == Some(id) {
            self.nears[near].conn[far] = None;
            self.nears[near].core.disconnected(self.now, far);
        }
    }

    fn far_loses(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| c.far_has) else { return };
        conn.far_has = false;
        let far = &mut self.fars[conn.far];
        if conn.far_run == far.run {
            far.core.disconnected(id);
        }
    }

    fn darken(&mut self) {
        let way = self.rng.random_range(0..2);
        let dark = self.rng.random_bool(0.3);
        let keys: Vec<u64> = self.conns.keys().copied().collect();
        if let Some(id) = keys.get(self.rng.random_range(0..keys.len().max(1))) {
            self.conns.get_mut(id).unwrap().dark[way] = dark;
            self.count("one direction dark or back");
        }
    }

    fn repeat(&mut self) {
        let again = self.rng.random_range(0..4);
        for conn in self.conns.values_mut() {
            let requests: Vec<Msg> =
                conn.there.iter().filter(|m| matches!(m, Msg::Request { .. })).take(again).cloned().collect();
            conn.there.extend(requests);
        }
        self.count("requests repeated");
    }

    fn give_up(&mut self) {
        let near = self.rng.random_range(0..NEARS);
        let run = self.nears[near].run;
        let open: Vec<u64> = self
            .known
            .range((run, 0)..=(run, u64::MAX))
            .filter(|(_, k)| k.ended.is_none() && !k.given_up)
            .map(|(key, _)| key.1)
            .collect();
        if let Some(&number) = open.get(self.rng.random_range(0..open.len().max(1))) {
            self.known.get_mut(&(run, number)).unwrap().given_up = true;
            self.nears[near].core.cancelled(self.now, number);
        }
    }

    fn flush(&mut self) {
        let i = self.rng.random_range(0..FARS);
        let far = &mut self.fars[i];
        let Some((mark, changes)) = far.unwritten.pop_front() else { return };
        // The disk refuses now and then: nothing of a write is there then.
        if self.rng.random_bool(0.02) && changes.iter().all(|c| matches!(c, Change::Accepted(_))) {
            far.core.persist_failed(self.now, mark);
            return self.count("disk refused");
        }
        changes.iter().for_each(|c| far.disk.apply(c));
        far.core.persisted(self.now, mark);
    }

    fn kill(&mut self) {
        if self.rng.random_bool(0.5) {
            let i = self.rng.random_range(0..NEARS);
            let run = self.nears[i].run;
            for (_, known) in self.known.range_mut((run, 0)..=(run, u64::MAX)) {
                known.given_up = true;
            }
            let near = self.near();
            self.nears[i] = near;
            let of_near = |c: &Conn| c.near == i;
            self.conns.values_mut().filter(|c| of_near(c)).for_each(|c| c.near_has = false);
            return self.count("near killed");
        }
        let i = self.rng.random_range(0..FARS);
        let disk = if self.durable { std::mem::take(&mut self.fars[i].disk) } else { Disk::default() };
        let ledger = self.fars[i].ledger;
        let mut far = self.far(disk);
        if self.durable {
            far.ledger = ledger;
        }
        self.fars[i] = far;
        self.conns.values_mut().filter(|c| c.far == i).for_each(|c| c.far_has = false);
        self.count("far killed");
    }

    /// Carries out what the cores order, until they order nothing.
    fn pull(&mut self) {
        loop {
            let mut quiet = true;
            for i in 0..NEARS {
                while let Some(act) = self.nears[i].core.poll(self.now) {
                    quiet = false;
                    self.act(i, act);
                }
            }
            for i in 0..FARS {
                while let Some(todo) = self.fars[i].core.poll(self.now) {
                    quiet = false;
                    self.carry_out(i, todo);
                }
            }
            if quiet {
                break;
            }
        }
        let now_gone = |c: &Conn| !c.near_has && (!c.far_has || c.there.is_empty());
        let gone: Vec<u64> = self.conns.iter().filter(|(_, c)| now_gone(c)).map(|(id, _)| *id).collect();
        for id in gone {
            self.far_loses(id);
            self.conns.remove(&id);
        }
    }

    fn act(&mut self, near: usize, act: LinkAction) {
        let run = self.nears[near].run;
        let conn = |world: &World, link: usize| world.nears[near].conn[link];
        let say = |world: &mut World, link: usize, msg: Msg| {
            if let Some(id) = conn(world, link) {
                world.conns.get_mut(&id).unwrap().there.push(msg);
            }
        };
        match act {
            LinkAction::Dial { link } => {
                let id = self.id();
                let far_run = self.fars[link].run;
                let (there, back) = Default::default();
                let (near_has, far_has, dark) = (true, true, [false; 2]);
                let conn = Conn { near, run, far: link, far_run, there, back, near_has, far_has, dark };
                self.conns.insert(id, conn);
                self.nears[near].conn[link] = Some(id);
                let hello = Hello {
                    version: VERSION,
                    site: "east".to_owned(),
                    gateway: "e".to_owned(),
                    run_id: run,
                    next_number: self.nears[near].core.next_number(),
                };
                self.fars[link].core.hello(self.now, id, &hello, true);
            }
            LinkAction::Disconnect { link } => {
                if let Some(id) = self.nears[near].conn[link].take() {
                    self.conns.get_mut(&id).unwrap().near_has = false;
                }
            }
            LinkAction::Send { link, number, time_left: left } => {
                assert!(left > Span::ZERO);
                let once = self.known[&(run, number)].once;
                if conn(self, link).is_none() {
                    return self.nears[near].core.send_failed(self.now, number);
                }
                say(self, link, Msg::Request { number, once, path: vec!["east".to_owned()] });
            }
            LinkAction::LinkUp { .. } => {}
            LinkAction::Cancel { link, number } => say(self, link, Msg::GiveUp(number)),
            LinkAction::QueryStatus { link, numbers, .. } => say(self, link, Msg::Ask(numbers)),
            LinkAction::Ping { link, number } => say(self, link, Msg::Ping(number)),
            LinkAction::Settle { link, below } => say(self, link, Msg::Settle(below)),
            LinkAction::Finished { number, outcome: end } => {
                let known = self.known.get_mut(&(run, number)).unwrap();
                assert!(known.ended.is_none() && !known.given_up, "{number} ended twice: {known:?}, {end:?}");
                known.ended = Some(end);
                let not_run = matches!(
                    end,
                    HopOutcome::Down
                        | HopOutcome::Full
                        | HopOutcome::Loop
                        | HopOutcome::Refused
                        | HopOutcome::NeverAccepted
                );
                assert!(!known.once || !not_run || known.runs == 0, "{number} has run: {known:?}");
                let what = match end {
                    HopOutcome::Answered => "answered",
                    HopOutcome::Down => "down",
                    HopOutcome::Full => "full",
                    HopOutcome::Loop => "loop",
                    HopOutcome::Refused => "turned",
                    HopOutcome::NeverAccepted => "never taken",
                    HopOutcome::Lost => "lost",
                    HopOutcome::TimedOut => "timed out",
                };
                self.count(what);
            }
        }
    }

    fn carry_out(&mut self, far: usize, todo: SessionAction) {
        let ledger = self.fars[far].ledger;
        match todo {
            SessionAction::AcceptSession { session, credit, leaving, .. } => {
                self.back(session, Msg::Welcome { ledger, credit, leaving });
            }
            SessionAction::RefuseSession { session, .. } => {
                self.count("refused");
                self.far_loses(session);
                self.near_loses(session);
            }
            SessionAction::Run { call, session, number } => {
                let end = &mut self.fars[far];
                let (run, of) = end.requests.remove(&call).unwrap();
                assert_eq!(of, number);
                end.running.insert(call, (run, number));
                let key = Key { sender: run, number };
                let known = self.known.get_mut(&(run, number)).unwrap();
                if known.once {
                    known.runs += 1;
                    assert_eq!(known.runs, 1, "{number} of {run} runs twice");
                    let not_run = [
                        HopOutcome::Down,
                        HopOutcome::Full,
                        HopOutcome::Loop,
                        HopOutcome::Refused,
                        HopOutcome::NeverAccepted,
                    ];
                    let told = known.ended.is_some_and(|end| not_run.contains(&end));
                    assert!(!told, "{number} of {run} was called not run and runs");
                    assert!(
                        !self.durable || end.disk.taken.contains_key(&key),
                        "it runs before it is on disk"
                    );
                } else {
                    known.runs = 1;
                }
                if let Some(session) = session {
                    self.back(session, Msg::Taken(number));
                }
            }
            SessionAction::AlreadyRunning { session, number } => self.back(session, Msg::Taken(number)),
            SessionAction::SendAnswer { session, number, answer } => {
                let served = answer.outcome == TxnOutcome::Served;
                self.back(session, Msg::Answer { number, body: answer.body.clone(), served });
            }
            SessionAction::RefuseHop { session, number, reason: why } => {
                self.back(session, Msg::Turned { number, why })
            }
            SessionAction::SendStatus { session, number, status: fate } => {
                self.back(session, Msg::Found { number, fate })
            }
            SessionAction::Discard { call } => _ = self.fars[far].requests.remove(&call).unwrap(),
            SessionAction::Cancel { call } => self.end_call(far, call),
            SessionAction::AnnounceLeaving { session } => self.back(session, Msg::Leaving),
            SessionAction::LedgerChanged { .. }
            | SessionAction::RegisterSender { .. }
            | SessionAction::ReplicateAccept { .. }
            | SessionAction::ReplicateOutcome { .. }
            | SessionAction::QueryReplicas { .. }
            | SessionAction::ReplicateSettle { .. } => {
                panic!("no copies are kept here: {todo:?}")
            }
            SessionAction::Persist { seq: mark, changes } => {
                self.fars[far].unwritten.push_back((mark, changes))
            }
        }
    }

    fn check(&mut self) {
        for near in &self.nears {
            assert!(near.core.next_wake() > self.now, "it has been called, and asks to be called at once");
            for link in 0..FARS {
                let view = near.core.link_stats(link);
                assert!(view.queued <= QUEUE && (0.0..=1.0).contains(&view.credit_share));
            }
            let late = self.known.range((near.run, 0)..=(near.run, u64::MAX));
            for (key, known) in late {
                let open = known.ended.is_none() && !known.given_up;
                assert!(!open || known.until > self.now, "{key:?} is open after its time: {known:?}");
            }
        }
        for far in &self.fars {
            for (what, n) in far.core.sizes() {
                let most = match what {
                    "ledger entries" => ENTRIES,
                    "ledger bytes" => 200,
                    "ledger senders" => 6,
                    "far sessions" => 8,
                    _ => 12,
                };
                assert!(n <= most, "{what}: {n}");
            }
        }
    }

    /// All that is open comes to its end by its time, and with that the near tables are empty.
    fn run_out(&mut self) {
        for _ in 0..300 {
            self.now += Span::from_millis(10);
            self.pull();
            self.check();
        }
        for near in &self.nears {
            assert!(near.core.sizes()[1..5].iter().all(|(_, n)| *n == 0), "{:?}", near.core.sizes());
        }
    }
}

fn number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or)
}

#[test]
fn no_schedule_breaks_a_rule() {
    let (steps, runs) = (3_000, number("KELPCART_RUNS", 40));
    let mut seen = BTreeMap::<_, u64>::new();
    for seed in 0..runs {
        let mut world = World::new(seed, seed % 2 == 0);
        for _ in 0..steps {
            world.step();
        }
        world.run_out();
        world.seen.into_iter().for_each(|(what, n)| *seen.entry(what).or_default() += n);
    }
    println!("{seen:?}");
    // A schedule that never comes to these would prove nothing.
    for what in [
        "answered",
        "down",
        "full",
        "loop",
        "turned",
        "never taken",
        "lost",
        "timed out",
        "cut",
        "far killed",
    ] {
        assert!(seen.get(what).is_some_and(|n| *n > 5), "{what} was not played: {seen:?}");
    }
}
