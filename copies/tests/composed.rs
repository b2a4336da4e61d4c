//! Links over copies: the near and far ends of links with the ledger kept by several far gateways, in simulated time, a
//! tick of five milliseconds after the other. Machines are lost with all they held, stopped and cut off, links stall and
//! break, and each book is watched from its client to the central store: none runs twice, none runs though it was
//! rejected, and each has its one answer in time.

use kelpcart::{Span, Time};
use kelpcart_copies::client::{self, RequestError};
use kelpcart_copies::command::{CommandResult, Operation, RegisterSender, TxnKey};
use kelpcart_copies::node::{Node, Out};
use kelpcart_copies::settings::Copies;
use kelpcart_sites::acceptor::{Acceptor, Call, RefusalReason, RequestMeta, SessionAction, SessionId};
use kelpcart_sites::initiator::{HopOutcome, HopSpec, Initiator, LinkAction, Welcome};
use kelpcart_sites::ledger::{Answer, Key, TxnOutcome};
use kelpcart_sites::settings::Sites;
use kelpcart_sites::wire::{self, TxnStatus};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const TICK: Span = Span::from_millis(5);
const LIMIT: Span = Span::from_millis(3_000);
/// What the answer needs to its client, and the tick in which it is seen.
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

fn near(i: usize, fars: usize, seed: u64, now: Time) -> Initiator {
    let peer = |i| json!({"name": format!("f{i}"), "site": "far", "address": "127.0.0.1:9", "as": ["origin"], "size": 1.0});
    let peers: Vec<_> = (0..fars).map(peer).collect();
    Initiator::new(&sites(json!({"site": "near", "gateway": format!("n{i}"), "peers": peers})), seed, now)
}

/// What crosses a link.
#[derive(Clone, Debug)]
enum Msg {
    Hello(wire::Hello),
    Request { number: u64 },
    Ask(u64, Vec<u64>),
    Settle(u64),
    GiveUp(u64),
    Ping(u64),
    Welcome(Welcome),
    Taken(u64),
    Answer(u64, TxnOutcome),
    Turned(u64, RefusalReason),
    Found(u64, TxnStatus),
    Pong(u64, u32, bool),
    Ledger(u64),
}

/// What a question to the holders of copies was for.
enum Why {
    Greet(SessionId, u32),
    Take(Call, Time),
    End(Option<Call>),
    Find(SessionId, (Key, u64)),
    Settle,
}

struct FarEnd {
    core: Acceptor,
    node: Node,
    asks: BTreeMap<u64, Why>,
    /// The book behind a call: the start of the near gateway and its number.
    requests: BTreeMap<Call, (u64, u64)>,
    /// Calls at the store, and when it answers.
    runs: BTreeMap<Call, (Time, bool)>,
    stopped: bool,
}

struct Session {
    near: usize,
    /// The start of the near gateway: its numbers are its own.
    run: u64,
    link: usize,
    there: VecDeque<(Time, Msg)>,
    back: VecDeque<(Time, Msg)>,
}

struct Book {
    until: Time,
    tries: usize,
    runs: u32,
    rejected: bool,
    done: bool,
}

#[derive(Debug, Default)]
struct Ends {
    asked: u64,
    served: u64,
    rejected: u64,
    aborted: u64,
    again: u64,
}

struct World {
    now: Time,
    rng: Pcg64Mcg,
    nears: Vec<(Initiator, u64)>,
    fars: Vec<Option<FarEnd>>,
    starts: u64,
    sessions: BTreeMap<SessionId, Session>,
    /// The session on each near end's link.
    of_link: BTreeMap<(usize, usize), SessionId>,
    next_session: SessionId,
    /// Sessions that their near ends have left, and when the far ones see it.
    left: Vec<(Time, SessionId)>,
    frames: VecDeque<(Time, usize, u64, usize, Vec<u8>)>,
    /// Until when a link stalls, and a far gateway is cut off from the others.
    stalls: BTreeMap<(usize, usize), Time>,
    cut: BTreeMap<usize, Time>,
    books: Vec<Book>,
    /// The book behind a number of a near end, open hops, hops that ended as never run, and books without an answer.
    origin: BTreeMap<(u64, u64), usize>,
    hops: BTreeSet<(usize, u64)>,
    not_run: BTreeSet<(u64, u64)>,
    open: BTreeSet<usize>,
    ends: Ends,
    broken: Vec<String>,
    busy: bool,
}

impl World {
    fn new(nears: usize, fars: usize, seed: u64) -> World {
        let now = Time::from_micros(1_000_000_000);
        let near = |i: usize| (near(i, fars, seed + i as u64, now), 500 + i as u64);
        let mut world = World {
            now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            nears: (0..nears).map(near).collect(),
            fars: (0..fars).map(|_| None).collect(),
            starts: 0,
            sessions: BTreeMap::new(),
            of_link: BTreeMap::new(),
            next_session: 0,
            left: Vec::new(),
            frames: VecDeque::new(),
            stalls: BTreeMap::new(),
            cut: BTreeMap::new(),
            books: Vec::new(),
            origin: BTreeMap::new(),
            hops: BTreeSet::new(),
            not_run: BTreeSet::new(),
            open: BTreeSet::new(),
            ends: Ends::default(),
            broken: Vec::new(),
            busy: true,
        };
        (0..fars).for_each(|i| world.start(i));
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
            Node::new(&copies(i, self.fars.len()), 10_000 + self.starts, self.starts, self.now).unwrap();
        let (asks, requests, runs) = Default::default();
        self.fars[i] = Some(FarEnd { core, node, asks, requests, runs, stopped: false });
    }

    /// The machine is lost with all it held; near ends are not told.
    fn kill(&mut self, i: usize) {
        self.fars[i] = None;
        let gone: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| s.link == i).map(|(id, _)| *id).collect();
        gone.iter().for_each(|id| _ = self.sessions.remove(id));
    }

    /// A near gateway is lost and starts anew: its clients have no answer, and nobody asks about what it had sent.
    fn lose_near(&mut self, n: usize) {
        let fars = self.fars.len();
        for link in 0..fars {
            if let Some(id) = self.of_link.remove(&(n, link)) {
                self.left.push((self.now + Span::from_millis(2_000), id));
            }
        }
        let gone: Vec<(usize, u64)> = self.hops.iter().filter(|h| h.0 == n).copied().collect();
        for hop in gone {
            self.hops.remove(&hop);
            let book = self.origin[&(self.nears[n].1, hop.1)];
            self.open.remove(&book);
            self.books[book].done = true;
            self.ends.aborted += 1;
        }
        self.starts += 1;
        self.nears[n] = (near(n, fars, self.starts, self.now), 9_000 + self.starts);
    }

    fn stalled(&self, near: usize, link: usize) -> bool {
        self.stalls.get(&(near, link)).is_some_and(|until| self.now < *until)
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
            for i in 0..self.fars.len() {
                self.far_tick(i);
            }
            for i in 0..self.nears.len() {
                self.near_pull(i);
                if self.busy && self.rng.random_bool(0.1) {
                    self.ask(i);
                }
            }
            self.check();
        }
    }

    /// Holders that do not know each other find together.
    fn meet(&mut self) {
        let greetings: Vec<Option<Vec<u8>>> =
            self.fars.iter().map(|f| f.as_ref().filter(|f| !f.stopped).map(|f| f.node.hello())).collect();
        if !self.now.as_micros().is_multiple_of(100_000) {
            return;
        }
        for a in 0..self.fars.len() {
            let cut: Vec<bool> = (0..self.fars.len()).map(|i| self.is_cut(i)).collect();
            for b in (0..self.fars.len()).filter(|b| *b != a && !cut[a] && !cut[*b]) {
                let now = self.now;
                if let (Some(greeting), Some(end)) =
                    (&greetings[b], self.fars[a].as_mut().filter(|f| !f.stopped))
                {
                    end.node.hello_received(now, greeting).unwrap();
                }
            }
        }
    }

    fn deliver_frames(&mut self) {
        for _ in 0..self.frames.len() {
            let Some((at, from, id, to, frame)) = self.frames.pop_front() else { return };
            let stopped = self.fars[to].as_ref().is_some_and(|f| f.stopped);
            if at > self.now || stopped {
                self.frames.push_back((at, from, id, to, frame));
            } else if let Some(end) = self.fars[to].as_mut() {
                end.node.frame_received(self.now, from, id, &frame);
            }
        }
    }

    fn deliver_links(&mut self) {
        let now = self.now;
        for (_, id) in self.left.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            let link = self.sessions.get(&id).map(|s| s.link);
            let up = link.is_some_and(|l| self.fars[l].as_ref().is_some_and(|f| !f.stopped));
            if link.is_some() && !up {
                self.left.push((now + TICK, id));
            } else if let Some(end) = self.sessions.remove(&id).and_then(|s| self.fars[s.link].as_mut()) {
                end.core.disconnected(id);
            }
        }
        for id in self.sessions.keys().copied().collect::<Vec<_>>() {
            while let Some(msg) = self.due(id, true) {
                self.far_hears(id, msg);
            }
            while let Some(msg) = self.due(id, false) {
                self.near_hears(id, msg);
            }
        }
    }

    fn due(&mut self, id: SessionId, there: bool) -> Option<Msg> {
        let session = self.sessions.get(&id)?;
        if self.stalled(session.near, session.link)
            || self.fars[session.link].as_ref().is_none_or(|f| f.stopped)
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

    fn far_hears(&mut self, id: SessionId, msg: Msg) {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return };
        let (run, link) = (session.run, session.link);
        let Some(end) = self.fars[link].as_mut() else { return };
        match msg {
            Msg::Hello(hello) => end.core.hello(now, id, &hello, true),
            Msg::Request { number } => {
                let path = ["near".to_owned()];
                let asked = RequestMeta { number, unrepeatable: true, importance: 9, path: &path };
                if let Some(call) = end.core.request(now, id, &asked) {
                    end.requests.insert(call, (run, number));
                }
            }
            Msg::Ask(ledger, numbers) => end.core.query_status(now, id, ledger, &numbers),
            Msg::Settle(below) => end.core.settle(id, below),
            Msg::GiveUp(number) => end.core.cancelled(id, number),
            Msg::Ping(number) => {
                let (credit, leaving) = end.core.pong_state();
                self.post(id, false, Msg::Pong(number, credit, leaving));
            }
            _ => unreachable!("a near end does not say that"),
        }
    }

    fn near_hears(&mut self, id: SessionId, msg: Msg) {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return };
        let (n, link) = (session.near, session.link);
        if self.of_link.get(&(n, link)) != Some(&id) {
            return;
        }
        let near = &mut self.nears[n].0;
        match msg {
            Msg::Welcome(welcome) => near.connected(now, link, &welcome),
            Msg::Taken(number) => _ = near.accepted(now, number),
            Msg::Answer(number, ending) => {
                // What comes twice, or for one that is over, finds no hop.
                if self.hops.contains(&(n, number)) {
                    near.answered(now, link, number, 100.0);
                    self.near_pull_with(n, Some((number, ending)));
                }
            }
            Msg::Turned(number, why) => {
                let end =
                    if why == RefusalReason::Forgotten { HopOutcome::Lost } else { HopOutcome::Refused };
                near.refused(now, link, number, end);
            }
            Msg::Found(number, fate) => near.status_received(now, link, number, fate),
            Msg::Pong(number, credit, leaving) => near.pong_received(now, link, number, credit, leaving),
            Msg::Ledger(ledger) => near.ledger_changed(now, link, ledger),
            _ => unreachable!("a far end does not say that"),
        }
        self.near_pull(n);
    }

    fn near_pull(&mut self, n: usize) {
        self.near_pull_with(n, None);
    }

    fn near_pull_with(&mut self, n: usize, answer: Option<(u64, TxnOutcome)>) {
        while let Some(act) = self.nears[n].0.poll(self.now) {
            let on = |link: usize, of: &BTreeMap<(usize, usize), SessionId>| of.get(&(n, link)).copied();
            match act {
                LinkAction::Dial { link } => self.dial(n, link),
                LinkAction::Disconnect { link } => {
                    // What is on its way, or lies at a stopped machine, is heard there all the same.
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
                        self.post(id, true, Msg::GiveUp(number));
                    }
                }
                LinkAction::QueryStatus { link, ledger, numbers } => {
                    if let Some(id) = on(link, &self.of_link) {
                        self.post(id, true, Msg::Ask(ledger, numbers));
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

    fn dial(&mut self, near: usize, link: usize) {
        if self.fars[link].as_ref().is_none_or(|f| f.stopped) || self.stalled(near, link) {
            return;
        }
        self.next_session += 1;
        let id = self.next_session;
        let (there, back) = Default::default();
        let run = self.nears[near].1;
        self.sessions.insert(id, Session { near, run, link, there, back });
        self.of_link.insert((near, link), id);
        let (core, run) = &self.nears[near];
        let hello = wire::Hello {
            version: wire::VERSION,
            site: "near".to_owned(),
            gateway: format!("n{near}"),
            run_id: *run,
            next_number: core.next_number(),
        };
        self.post(id, true, Msg::Hello(hello));
    }

    /// A client wants a book.
    fn ask(&mut self, near: usize) {
        self.ends.asked += 1;
        self.books.push(Book { until: self.now + LIMIT, tries: 0, runs: 0, rejected: false, done: false });
        self.hop(near, self.books.len() - 1);
    }

    fn hop(&mut self, near: usize, book: usize) {
        let link = self.rng.random_range(0..self.fars.len());
        let until = self.books[book].until;
        self.books[book].tries += 1;
        let want = HopSpec {
            importance: 9,
            unrepeatable: true,
            size_kb: None,
            body_bytes: 10,
            deadline: until,
            sla_deadline: until,
            path: &[],
        };
        let number = self.nears[near].0.submit(self.now, link, &want);
        self.origin.insert((self.nears[near].1, number), book);
        self.hops.insert((near, number));
        self.open.insert(book);
        self.near_pull(near);
    }

    /// The module's part: another hop where the one before has not run, and time is left.
    fn hop_ended(&mut self, near: usize, number: u64, end: HopOutcome, ending: Option<TxnOutcome>) {
        if !self.hops.remove(&(near, number)) {
            return;
        }
        let run = self.nears[near].1;
        let book = self.origin[&(run, number)];
        let not_run = matches!(
            end,
            HopOutcome::Down
                | HopOutcome::Full
                | HopOutcome::Loop
                | HopOutcome::Refused
                | HopOutcome::NeverAccepted
        ) || end == HopOutcome::Answered && matches!(ending, Some(TxnOutcome::Rejected { .. }));
        if not_run {
            self.not_run.insert((run, number));
        }
        if not_run && self.books[book].tries < 6 && self.now + Span::from_millis(300) < self.books[book].until
        {
            self.ends.again += 1;
            return self.hop(near, book);
        }
        let one = &mut self.books[book];
        if one.done {
            self.broken.push(format!("book {book} is answered twice"));
        }
        (one.done, one.rejected) = (true, not_run);
        self.open.remove(&book);
        if self.now > one.until + GRACE {
            self.broken.push(format!("book {book} is answered late"));
        }
        match ending {
            _ if not_run => {
                self.ends.rejected += 1;
                if self.books[book].runs > 0 {
                    self.broken.push(format!("book {book} is rejected by {end:?} and ran"));
                }
            }
            Some(TxnOutcome::Served) => {
                self.ends.served += 1;
                if self.books[book].runs != 1 {
                    self.broken
                        .push(format!("book {book} is served and ran {} times", self.books[book].runs));
                }
            }
            _ => self.ends.aborted += 1,
        }
    }

    fn far_tick(&mut self, i: usize) {
        let now = self.now;
        let Some(end) = self.fars[i].as_mut().filter(|f| !f.stopped) else { return };
        end.node.tick(now);
        let over: Vec<(Call, bool)> =
            end.runs.iter().filter(|(_, r)| r.0 <= now).map(|(c, r)| (*c, r.1)).collect();
        for (call, ran) in over {
            end.runs.remove(&call);
            let ending = if ran { TxnOutcome::Served } else { TxnOutcome::Rejected { retry_after: None } };
            let told = end.core.finished(now, call, &Arc::new(Answer { outcome: ending, body: Vec::new() }));
            assert!(told.is_none(), "nothing is told before it is copied");
        }
        self.node_pull(i);
        self.far_pull(i);
    }

    fn node_pull(&mut self, i: usize) {
        let now = self.now;
        loop {
            let Some(end) = self.fars[i].as_mut() else { return };
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
                Some(Out::Response(told)) => self.told(i, told.request_id, told.result),
                Some(Out::Write { .. }) => unreachable!("no disk here"),
            }
        }
    }

    fn told(&mut self, i: usize, ask: u64, result: Result<CommandResult, RequestError>) {
        let now = self.now;
        let Some(end) = self.fars[i].as_mut() else { return };
        let Some(why) = end.asks.remove(&ask) else { return };
        match why {
            Why::Greet(session, group) => {
                let known = result == Ok(CommandResult::Registered(true));
                let ledger = end.node.ledger(group).filter(|_| known);
                end.core.sender_registered(now, session, ledger);
            }
            Why::Take(call, asked) => {
                let taken = client::accept_result(result, asked, now, Span::from_millis(1_000));
                end.core.accept_replicated(now, call, taken);
            }
            Why::End(Some(call)) => {
                end.core.outcome_replicated(now, call, result == Ok(CommandResult::Recorded))
            }
            Why::Find(session, what) => {
                let found = client::lookup_result(result);
                end.core.replica_status(now, session, what, found);
            }
            Why::End(None) | Why::Settle => {}
        }
    }

    fn question(&mut self, i: usize, sender: u64, word: Operation, why: impl FnOnce(u32) -> Why) {
        let now = self.now;
        let Some(end) = self.fars[i].as_mut() else { return };
        let group = end.node.group_of(sender);
        let ask = end.node.submit(now, group, 9, word);
        end.asks.insert(ask, why(group));
    }

    fn far_pull(&mut self, i: usize) {
        let now = self.now;
        while let Some(todo) = self.fars[i].as_mut().and_then(|f| f.core.poll(now)) {
            match todo {
                SessionAction::AcceptSession { session, credit, leaving, ledger } => {
                    let ledger = ledger.unwrap_or(1 + i as u64);
                    let welcome = Welcome { ledger, credit, leaving, knows_past_ledgers: true };
                    self.post(session, false, Msg::Welcome(welcome));
                }
                SessionAction::RefuseSession { session, reason: why } => {
                    panic!("{session} is refused: {why}")
                }
                SessionAction::Run { call, session, number } => {
                    self.send_on(i, call);
                    if let Some(session) = session {
                        self.post(session, false, Msg::Taken(number));
                    }
                }
                SessionAction::AlreadyRunning { session, number } => {
                    self.post(session, false, Msg::Taken(number))
                }
                SessionAction::SendAnswer { session, number, answer } => {
                    self.post(session, false, Msg::Answer(number, answer.outcome));
                }
                SessionAction::RefuseHop { session, number, reason: why } => {
                    self.post(session, false, Msg::Turned(number, why))
                }
                SessionAction::SendStatus { session, number, status: fate } => {
                    self.post(session, false, Msg::Found(number, fate))
                }
                SessionAction::Discard { call } => {
                    if let Some(end) = self.fars[i].as_mut() {
                        end.requests.remove(&call);
                    }
                }
                SessionAction::Cancel { call } => {
                    // What is at the store runs there all the same.
                    let Some(end) = self.fars[i].as_mut() else { return };
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
                    let word = Operation::RegisterSender(RegisterSender { sender, next_number: fresh });
                    self.question(i, sender, word, |group| Why::Greet(session, group));
                }
                SessionAction::ReplicateAccept { call, key, .. } => {
                    self.question(i, key.sender, Operation::accept(key), |_| Why::Take(call, now));
                }
                SessionAction::ReplicateOutcome { call, key, answer, ledger: of } => {
                    self.question(i, key.sender, Operation::end(key, &answer, of), |_| Why::End(call));
                }
                SessionAction::QueryReplicas { session, key, ledger: of } => {
                    self.question(i, key.sender, Operation::query(key, of), |_| {
                        Why::Find(session, (key, of))
                    });
                }
                SessionAction::ReplicateSettle { sender, below } => {
                    let word = Operation::Settle(TxnKey { sender, number: below });
                    self.question(i, sender, word, |_| Why::Settle);
                }
            }
            self.node_pull(i);
        }
    }

    /// A far gateway sends a book on to the store, where it runs; a few are turned away before that.
    fn send_on(&mut self, i: usize, call: Call) {
        let (ran, took) = (self.rng.random_bool(0.97), Span::from_millis(self.rng.random_range(20..90)));
        let at = self.now + took;
        let Some(end) = self.fars[i].as_mut() else { return };
        let Some(of) = end.requests.remove(&call) else { return };
        end.runs.insert(call, (at, ran));
        if !ran {
            return;
        }
        let Some(&book) = self.origin.get(&of) else { return };
        let one = &mut self.books[book];
        one.runs += 1;
        if one.runs > 1 {
            self.broken.push(format!("book {book} runs again"));
        }
        if one.rejected || self.not_run.contains(&of) {
            self.broken.push(format!("book {book} runs after it was called not run"));
        }
    }

    fn check(&mut self) {
        let late = |book: &usize| self.now > self.books[*book].until + GRACE;
        for book in self.open.iter().filter(|b| late(b)) {
            self.broken.push(format!("book {book} has no answer at its limit"));
        }
        assert!(self.broken.is_empty(), "{:#?}", &self.broken[..self.broken.len().min(4)]);
    }

    fn leader(&self) -> Option<usize> {
        let leads = |f: &FarEnd| (0..2).any(|g| f.node.member(g).is_some_and(|m| m.is_ready()));
        self.fars.iter().position(|f| f.as_ref().is_some_and(leads))
    }
}

/// A day of one trouble after the other; with how many books ended how.
fn day(seed: u64, rounds: usize) -> Ends {
    let (nears, fars) = (2, 5);
    let mut world = World::new(nears, fars, seed);
    world.busy = false;
    world.run(Span::from_millis(6_000));
    world.busy = true;
    for _ in 0..rounds {
        let any = world.rng.random_range(0..fars);
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
                world.fars[one].iter_mut().for_each(|f| f.stopped = true);
                world.run(lasts);
                world.fars[one].iter_mut().for_each(|f| f.stopped = false);
            }
            3 => _ = world.cut.insert(one, until),
            4 => {
                // A link stalls, and the machine behind it is lost meanwhile.
                let near = world.rng.random_range(0..nears);
                world.stalls.insert((near, one), until);
                world.run(lasts * 0.3);
                world.kill(one);
                world.run(lasts * 0.3);
                world.start(one);
            }
            5 => {
                (0..nears).for_each(|near| _ = world.stalls.insert((near, one), until));
                world.run(lasts);
            }
            6 => {
                // Both sites lose a machine in the same moment.
                let near = world.rng.random_range(0..nears);
                world.lose_near(near);
                world.kill(one);
                world.run(lasts);
                world.start(one);
            }
            _ => {
                let other = (one + 1) % fars;
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
fn books_over_links_and_copies_run_once_at_most_and_each_has_its_answer() {
    let seeds = std::env::var("COPIES_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(8);
    let first = std::env::var("COPIES_FIRST").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut all = Ends::default();
    for seed in first..first + seeds {
        println!("seed {seed}");
        let ends = day(seed, 12);
        assert_eq!(ends.asked, ends.served + ends.rejected + ends.aborted);
        for (sum, n) in [
            (&mut all.asked, ends.asked),
            (&mut all.served, ends.served),
            (&mut all.rejected, ends.rejected),
            (&mut all.aborted, ends.aborted),
            (&mut all.again, ends.again),
        ] {
            *sum += n;
        }
    }
    println!("{all:?}");
    assert!(all.served as f64 > all.asked as f64 * 0.8, "{all:?}");
}
