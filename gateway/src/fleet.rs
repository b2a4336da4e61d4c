//! Joins the gateway to its fleet: one UDP socket, the bulletin's connection while the core wants one, events to the
//! dispatcher, and permits of budgets in common to hops. Owns no decision: who asks, what is believed and what is lent is
//! decided by the core in `kelpcart-fleet`. Nothing of it runs unless `KELPCART_FLEET` names a file.

use crate::Tasks;
use crate::caches::Caches;
use crate::clock::Clock;
use crate::config::{self, Config, Names};
use crate::counters::Counters;
use crate::discovery::Subscriber;
use crate::dispatch_api::{Event, HopRequest, Permit, PermitFuture, Service, SharedLimits};
use crate::feed::{self, Feed, GatewayInit};
use async_channel::{Receiver, Sender};
use async_io::Async;
use event_listener::Event as Woken;
use futures_lite::future;
use kelpcart::interface::MemberId;
use kelpcart::{Span, Time};
use kelpcart_fleet::lease::{Key, Verdict};
use kelpcart_fleet::node::{Node, Out, Phase};
use kelpcart_fleet::rank;
use kelpcart_fleet::seal::MAX_DATAGRAM_BYTES;
use kelpcart_fleet::settings::Fleet as File;
use kelpcart_fleet::wire::Kind;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::rc::Rc;

/// Datagrams that are taken in before others have their turn.
const AT_ONCE: usize = 64;
const LEAST_SLEEP: Span = Span::from_millis(1);

pub struct Fleet {
    node: RefCell<Node>,
    /// Where many sites are one installation. It shares the socket, and the list comes by it.
    pub feed: Option<Rc<Feed>>,
    /// The members that the feed was told of.
    told: Cell<u64>,
    socket: Rc<Async<UdpSocket>>,
    clock: Clock,
    counters: Rc<Counters>,
    dispatcher: Sender<Event>,
    names: Names,
    /// The core was told something: its next time may have moved.
    moved: Woken,
    sleeps_until: Cell<Time>,
    /// Whether the bulletin is to be asked has changed.
    asks: Woken,
    asked: Cell<bool>,
    waiting: RefCell<BTreeMap<u64, (Key, Sender<Verdict>)>>,
    /// What has come back. Guards who drops a connection in the middle of its own tables from being called back there.
    back: RefCell<Vec<Back>>,
    next_ticket: Cell<u64>,
    caches: Rc<Caches>,
    wait_part: f64,
    phase: Cell<Phase>,
}

enum Back {
    /// Nobody waits under this ticket any more; one unit may have been lent for it meanwhile.
    Ticket {
        ticket: u64,
        lent: Option<Key>,
    },
    Unit {
        key: Key,
        done: bool,
    },
}

/// What the rest of the gateway lends.
pub struct Means {
    pub tasks: Tasks,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub dispatcher: Sender<Event>,
    pub caches: Rc<Caches>,
}

impl Fleet {
    /// `known`: the configuration's events of the start.
    pub fn start(
        means: Means,
        text: &str,
        config: &Config,
        known: &[serde_json::Value],
    ) -> Result<Rc<Fleet>, String> {
        let file = File::read(text).map_err(|e| e.to_string())?;
        let now = means.clock.now();
        let mut rng = rand::rng();
        let (run, seed) = (rng.random_range(1..=u64::MAX), rng.random());
        let node = Node::new(&file, run, seed, now, config.last_event, known).map_err(|e| e.to_string())?;
        let socket =
            Async::<UdpSocket>::bind(file.listen).map_err(|e| format!("listen: {}: {e}", file.listen))?;
        let socket = Rc::new(socket);
        let of_feed = feed::Resources {
            tasks: means.tasks,
            clock: means.clock,
            counters: Rc::clone(&means.counters),
            socket: Rc::clone(&socket),
        };
        let serves = GatewayInit {
            dispatcher: means.dispatcher.clone(),
            names: config.names.clone(),
            known_events: config.initial_events.clone(),
            last_known: config.last_event,
        };
        let feed = Feed::start(of_feed, &file, Some(serves))?;
        let counts = file.budgets.connections.is_some()
            || file.budgets.fills.is_some()
            || file.budgets.fills_at_cache.is_some();
        let fleet = Rc::new(Fleet {
            node: RefCell::new(node),
            feed,
            told: Cell::new(u64::MAX),
            socket,
            clock: means.clock,
            counters: means.counters,
            dispatcher: means.dispatcher,
            names: config.names.clone(),
            moved: Woken::new(),
            sleeps_until: Cell::new(now),
            asks: Woken::new(),
            asked: Cell::new(false),
            waiting: RefCell::default(),
            back: RefCell::default(),
            next_ticket: Cell::new(0),
            caches: Rc::clone(&means.caches),
            wait_part: file.budgets.wait_part,
            phase: Cell::new(Phase::Joining),
        });
        if counts {
            means.caches.set_shared_limits(Rc::new(Bounds(Rc::clone(&fleet))));
        }
        let (subscriber, drives) = (Rc::clone(&fleet), Rc::clone(&fleet));
        means.tasks.spawn(async move { subscriber.hear().await }).detach();
        means.tasks.spawn(async move { drives.drive().await }).detach();
        log::info!("{} is of the fleet {} at {}", file.gateway, file.fleet, file.listen);
        Ok(fleet)
    }

    /// Reads the keys again; with a file that can't be used all stays.
    pub fn rekey(&self, text: Result<String, String>) {
        let file = text.and_then(|text| File::read(&text).map_err(|e| e.to_string()));
        match file {
            Ok(file) if self.node.borrow_mut().rekey(&file.keys) => {
                self.feed.iter().for_each(|feed| feed.reload(&file));
                self.counters.add("fleet keys read again");
                log::info!("the fleet's keys are as they are now in its file");
            }
            Ok(_) => log::warn!("the fleet's keys can't be used; they stay"),
            Err(why) => {
                self.counters.add("fleet keys that can't be used");
                log::warn!("the fleet's file: {why}; its keys stay");
            }
        }
    }

    async fn hear(&self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            for _ in 0..AT_ONCE {
                match self.socket.recv_from(&mut bytes).await {
                    Ok((n, from)) => {
                        if let Some(feed) = &self.feed
                            && bytes[..n].first() == Some(&feed::VERSION)
                        {
                            feed.handle_datagram(from, &bytes[..n]);
                            continue;
                        }
                        let now = self.clock.now();
                        self.node.borrow_mut().datagram(now, from, &bytes[..n]);
                        self.pull();
                        self.hurry(now);
                    }
                    // A closed port at the other end is told as a refusal on the next call.
                    Err(e) => log::debug!("the fleet's socket: {e}"),
                }
            }
            future::yield_now().await;
        }
    }

    async fn drive(&self) {
        loop {
            let now = self.clock.now();
            let back = std::mem::take(&mut *self.back.borrow_mut());
            {
                let mut node = self.node.borrow_mut();
                for one in back {
                    match one {
                        Back::Ticket { ticket, lent } => {
                            self.waiting.borrow_mut().remove(&ticket);
                            node.forget(ticket);
                            lent.into_iter().for_each(|key| node.give_back(now, key, false));
                        }
                        Back::Unit { key, done } => node.give_back(now, key, done),
                    }
                }
                node.tick(now);
            }
            self.pull();
            let moved = self.moved.listen();
            if !self.back.borrow().is_empty() {
                future::yield_now().await;
                continue;
            }
            // Whatever the core asks for, the others of the process have their turn.
            let at = self.node.borrow().next_wake(now).max(now + LEAST_SLEEP);
            self.sleeps_until.set(at);
            self.clock.timeout_at(at, moved).await;
        }
    }

    /// Has the core called sooner where what came asks for it.
    fn hurry(&self, now: Time) {
        if self.node.borrow().next_wake(now) < self.sleeps_until.get() {
            self.moved.notify(1);
        }
    }

    /// Does what the core wants done.
    fn pull(&self) {
        loop {
            let Some(out) = self.node.borrow_mut().poll() else { break };
            match out {
                Out::Datagram(to, bytes) => {
                    // Lost here or on the way is the same to the core.
                    if self.socket.get_ref().send_to(&bytes, to).is_err() {
                        self.counters.add("fleet datagrams not sent");
                    }
                }
                Out::Line(line) => self.news(&line),
                Out::Verdict(ticket, verdict) => {
                    let waits = self.waiting.borrow_mut().remove(&ticket);
                    // It has room for the one verdict that there is; nobody may wait for it any more.
                    if let Some((key, waits)) = waits
                        && waits.try_send(verdict).is_err()
                        && verdict == Verdict::Go
                    {
                        self.comes_back(Back::Unit { key, done: false });
                    }
                }
                Out::Wanted((Kind::Connections, key)) => {
                    self.caches.close_idle(|id| rank::key(id) == key);
                }
                Out::Wanted(_) => {}
            }
        }
        let (asks, phase) = {
            let node = self.node.borrow();
            (node.asks(), node.phase())
        };
        if let Some(feed) = &self.feed {
            let node = self.node.borrow();
            let version = node.members.version;
            if self.told.replace(version) != version {
                feed.set_members(node.members.others().map(|(name, known)| (&**name, known.address)));
            }
        }
        if self.asked.replace(asks) != asks {
            self.asks.notify(usize::MAX);
        }
        if self.phase.replace(phase) != phase {
            log::info!("fleet: {phase:?}, {} members", self.node.borrow().members.live());
        }
    }

    fn news(&self, line: &[u8]) {
        let value: Result<serde_json::Value, _> = serde_json::from_slice(line);
        match value.map_err(|e| e.to_string()).and_then(|v| config::parse_event(&v, &self.names)) {
            Ok((_, Some(said))) => {
                self.counters.add("bulletin events");
                // It fails only when the dispatcher has ended, and with it the process.
                _ = self.dispatcher.try_send(Event::Discovery(said));
            }
            Ok((_, None)) => {}
            Err(why) => {
                self.counters.add("fleet events that can't be used");
                log::warn!("an event of the list can't be used: {why}");
            }
        }
    }

    /// Tells the core something, and does what comes of it.
    fn tell<T>(&self, what: impl FnOnce(&mut Node, Time) -> T) -> T {
        let now = self.clock.now();
        let given = what(&mut self.node.borrow_mut(), now);
        self.pull();
        self.hurry(now);
        given
    }

    fn comes_back(&self, what: Back) {
        self.back.borrow_mut().push(what);
        self.moved.notify(1);
    }

    async fn until(&self, asks: bool) {
        loop {
            let changed = self.asks.listen();
            if self.asked.get() == asks {
                return;
            }
            changed.await;
        }
    }

    fn want(self: &Rc<Self>, key: Key, until: Time) -> Waits {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        let (tell, verdict) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(ticket, (key, tell));
        let waits = Waits { fleet: Rc::clone(self), key, ticket, verdict, over: false };
        self.tell(|node, now| node.want(now, key, ticket, until));
        waits
    }
}

/// One ticket; if it is dropped before its verdict was taken, what was lent goes back.
struct Waits {
    fleet: Rc<Fleet>,
    key: Key,
    ticket: u64,
    verdict: Receiver<Verdict>,
    over: bool,
}

impl Waits {
    async fn verdict(mut self) -> Verdict {
        let verdict = self.verdict.recv().await.unwrap_or(Verdict::No);
        self.over = true;
        verdict
    }
}

impl Drop for Waits {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let lent = (self.verdict.try_recv() == Ok(Verdict::Go)).then_some(self.key);
        self.fleet.comes_back(Back::Ticket { ticket: self.ticket, lent });
    }
}

/// Units that go back when it is dropped.
struct Lent {
    fleet: Rc<Fleet>,
    keys: Vec<Key>,
    done: bool,
}

impl Permit for Lent {
    fn complete(&mut self) {
        self.done = true;
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        for key in std::mem::take(&mut self.keys) {
            self.fleet.comes_back(Back::Unit { key, done: self.done });
        }
    }
}

struct Bounds(Rc<Fleet>);

impl SharedLimits for Bounds {
    fn acquire_connection(&self, member: &MemberId, until: Time) -> PermitFuture {
        let waits = self.0.want((Kind::Connections, rank::key(member)), until);
        let fleet = Rc::clone(&self.0);
        Box::pin(async move {
            let key = waits.key;
            let keys = match waits.verdict().await {
                Verdict::Go => vec![key],
                Verdict::Free => Vec::new(),
                Verdict::No => return None,
            };
            Some(Box::new(Lent { fleet, keys, done: false }) as Box<dyn Permit>)
        })
    }

    fn acquire_fill(&self, job: &HopRequest) -> Option<PermitFuture> {
        if job.is_write || job.fill.is_none() || self.0.phase.get() >= Phase::Serving {
            return None;
        }
        let fleet = Rc::clone(&self.0);
        let now = fleet.clock.now();
        let until = now + (job.sla_deadline - now) * fleet.wait_part;
        let object = rank::key(&format!("{}/{}/{}", job.rule, job.request.object_name, job.request.part));
        let at = (Kind::FillsAt, rank::key(&job.member));
        let first = fleet.want((Kind::Fill, object), until);
        Some(Box::pin(async move {
            let mut lent = Lent { fleet: Rc::clone(&fleet), keys: Vec::new(), done: false };
            let key = first.key;
            match first.verdict().await {
                Verdict::Go => lent.keys.push(key),
                Verdict::Free => {}
                Verdict::No => return None,
            }
            // The copy is near already where somebody else had it filled.
            if !lent.keys.is_empty() {
                match fleet.want(at, until).verdict().await {
                    Verdict::Go => lent.keys.push(at),
                    Verdict::Free => {}
                    Verdict::No => return None,
                }
            }
            Some(Box::new(lent) as Box<dyn Permit>)
        }))
    }
}

impl Service for Fleet {
    fn shutdown(&self) {
        self.tell(|node, now| node.leave(now));
    }

    fn table_sizes(&self) -> Vec<(&'static str, usize)> {
        let node = self.node.borrow();
        let (m, r, l, t) = (&node.members.counts, &node.relay.counts, &node.leases.counts, &node.traffic);
        let age = node.relay.age(self.clock.now()).map_or(u64::MAX, Span::as_micros);
        let mut all = node.sizes();
        all.extend(
            [
                ("fleet phase", node.phase() as u64),
                ("fleet rank", node.relay.rank() as u64),
                ("fleet asks the bulletin", u64::from(node.asks())),
                ("fleet list number", node.relay.list.no()),
                ("fleet list age us", age),
                ("fleet bytes in", t.bytes_in),
                ("fleet bytes out", t.bytes_out),
                ("fleet datagrams in", t.datagrams_in),
                ("fleet datagrams out", t.datagrams_out),
                ("fleet datagrams refused", node.refused.values().sum()),
                ("fleet probes", m.probes),
                ("fleet probes failed", m.failed),
                ("fleet suspected", m.suspected),
                ("fleet held gone", m.gone),
                ("fleet falsely gone", m.falsely_gone),
                ("fleet claims refuted", m.claims_refuted),
                ("fleet claims not heard", m.not_heard),
                ("fleet replays", m.replays),
                ("fleet twins", m.twins),
                ("fleet bulletin asked", r.asked),
                ("fleet events from the bulletin", r.events_from_bulletin),
                ("fleet events from members", r.events_from_members),
                ("fleet lists fetched", r.lists_fetched),
                ("fleet fetches failed", r.fetches_failed),
                ("fleet sources left", r.sources_left),
                ("fleet disputes", r.disputes),
                ("fleet lies", r.lies),
                ("fleet units wanted", l.wanted),
                ("fleet units lent", l.lent),
                ("fleet units fair", l.fair),
                ("fleet units refused", l.refused),
                ("fleet units free", l.free),
            ]
            .map(|(name, n)| (name, n as usize)),
        );
        all.extend(self.feed.iter().flat_map(|feed| feed.sizes()));
        all
    }
}

/// The bulletin's lines go to the core, which passes them on to the dispatcher and the others.
pub struct Asker(pub Rc<Fleet>);

impl Subscriber for Asker {
    fn last_event(&self) -> u64 {
        self.0.node.borrow().relay.list.no()
    }

    fn on_line(&mut self, line: &[u8]) -> Result<(), String> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        if let Some(no) = crate::digits(line) {
            let fits = self.0.tell(|node, now| node.last(now, no));
            return if fits { Ok(()) } else { Err(format!("number {no} after {}", self.last_event())) };
        }
        self.0.tell(|node, now| node.line(now, line)).map_err(|e| e.to_string())
    }

    fn connection_wanted(&self) -> impl Future<Output = ()> {
        self.0.until(true)
    }

    fn connection_unwanted(&self) -> impl Future<Output = ()> {
        self.0.until(false)
    }

    fn connection_ended(&mut self) {
        self.0.tell(|node, now| node.ended(now));
    }
}
