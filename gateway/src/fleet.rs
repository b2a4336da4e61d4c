//! Connects the gateway to its fleet: one UDP socket, the discovery connection while the core wants one, events for
//! the dispatcher, and permits of the shared budgets for hops. All decisions (who subscribes to discovery, what is
//! trusted, what is leased) are made by the core in `kelpcart-fleet`. Nothing here runs unless `KELPCART_FLEET` names
//! a file.

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
use event_listener::Event as Notify;
use futures_lite::future;
use kelpcart::interface::MemberId;
use kelpcart::{Span, Time};
use kelpcart_fleet::lease::{BudgetKey, Decision};
use kelpcart_fleet::node::{Node, Output, Phase};
use kelpcart_fleet::rank;
use kelpcart_fleet::seal::MAX_DATAGRAM_BYTES;
use kelpcart_fleet::settings::Fleet as File;
use kelpcart_fleet::wire::BudgetKind;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::rc::Rc;

/// Datagrams received in a row before other tasks have their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
const MIN_SLEEP: Span = Span::from_millis(1);

pub struct Fleet {
    node: RefCell<Node>,
    /// Set for installations of several sites. The feed shares the socket, and the list comes by it.
    pub feed: Option<Rc<Feed>>,
    /// The version of the member list that the feed has.
    members_version_sent: Cell<u64>,
    socket: Rc<Async<UdpSocket>>,
    clock: Clock,
    counters: Rc<Counters>,
    dispatcher: Sender<Event>,
    names: Names,
    /// Notified when the core's next wake time may have moved forward.
    wake: Notify,
    sleeping_until: Cell<Time>,
    /// Notified when `discovery_wanted` has changed.
    discovery_changed: Notify,
    discovery_wanted: Cell<bool>,
    pending: RefCell<BTreeMap<u64, (BudgetKey, Sender<Decision>)>>,
    /// Released units and cancelled requests, queued so that code that drops a connection while it uses its own
    /// tables is not called back from here.
    returned: RefCell<Vec<Returned>>,
    next_ticket: Cell<u64>,
    caches: Rc<Caches>,
    wait_part: f64,
    phase: Cell<Phase>,
}

enum Returned {
    /// The request was dropped; one unit may have been granted for it meanwhile.
    Ticket {
        ticket: u64,
        granted: Option<BudgetKey>,
    },
    Unit {
        key: BudgetKey,
        done: bool,
    },
}

/// Shared parts of the gateway that the fleet uses.
pub struct Resources {
    pub tasks: Tasks,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub dispatcher: Sender<Event>,
    pub caches: Rc<Caches>,
}

impl Fleet {
    /// `initial_events`: the events of the configuration.
    pub fn start(
        resources: Resources,
        text: &str,
        config: &Config,
        initial_events: &[serde_json::Value],
    ) -> Result<Rc<Fleet>, String> {
        let file = File::read(text).map_err(|e| e.to_string())?;
        let now = resources.clock.now();
        let mut rng = rand::rng();
        let (run, seed) = (rng.random_range(1..=u64::MAX), rng.random());
        let node =
            Node::new(&file, run, seed, now, config.last_event, initial_events).map_err(|e| e.to_string())?;
        let socket =
            Async::<UdpSocket>::bind(file.listen).map_err(|e| format!("listen: {}: {e}", file.listen))?;
        let socket = Rc::new(socket);
        let feed_resources = feed::Resources {
            tasks: resources.tasks,
            clock: resources.clock,
            counters: Rc::clone(&resources.counters),
            socket: Rc::clone(&socket),
        };
        let dispatch = GatewayInit {
            dispatcher: resources.dispatcher.clone(),
            names: config.names.clone(),
            known_events: config.initial_events.clone(),
            last_known: config.last_event,
        };
        let feed = Feed::start(feed_resources, &file, Some(dispatch))?;
        let limited = file.budgets.connections.is_some()
            || file.budgets.fills.is_some()
            || file.budgets.fills_at_cache.is_some();
        let fleet = Rc::new(Fleet {
            node: RefCell::new(node),
            feed,
            members_version_sent: Cell::new(u64::MAX),
            socket,
            clock: resources.clock,
            counters: resources.counters,
            dispatcher: resources.dispatcher,
            names: config.names.clone(),
            wake: Notify::new(),
            sleeping_until: Cell::new(now),
            discovery_changed: Notify::new(),
            discovery_wanted: Cell::new(false),
            pending: RefCell::default(),
            returned: RefCell::default(),
            next_ticket: Cell::new(0),
            caches: Rc::clone(&resources.caches),
            wait_part: file.budgets.wait_part,
            phase: Cell::new(Phase::Joining),
        });
        if limited {
            resources.caches.set_shared_limits(Rc::new(FleetLimits(Rc::clone(&fleet))));
        }
        let (receiver, timers) = (Rc::clone(&fleet), Rc::clone(&fleet));
        resources.tasks.spawn(async move { receiver.receive_datagrams().await }).detach();
        resources.tasks.spawn(async move { timers.run_timers().await }).detach();
        log::info!("{} joins the fleet {} at {}", file.gateway, file.fleet, file.listen);
        Ok(fleet)
    }

    /// Replaces the keys by those of the file; keeps the old ones if the file can't be used.
    pub fn rekey(&self, text: Result<String, String>) {
        let file = text.and_then(|text| File::read(&text).map_err(|e| e.to_string()));
        match file {
            Ok(file) if self.node.borrow_mut().rekey(&file.keys) => {
                self.feed.iter().for_each(|feed| feed.reload(&file));
                self.counters.add("fleet keys read again");
                log::info!("fleet keys reloaded");
            }
            Ok(_) => log::warn!("the fleet's new keys can't be used; keeping the old ones"),
            Err(why) => {
                self.counters.add("fleet keys that can't be used");
                log::warn!("failed to reload the fleet's settings file: {why}; keeping the old keys");
            }
        }
    }

    async fn receive_datagrams(&self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            for _ in 0..MAX_DATAGRAMS_PER_TURN {
                match self.socket.recv_from(&mut bytes).await {
                    Ok((n, from)) => {
                        if let Some(feed) = &self.feed
                            && bytes[..n].first() == Some(&feed::VERSION)
                        {
                            feed.handle_datagram(from, &bytes[..n]);
                            continue;
                        }
                        let now = self.clock.now();
                        self.node.borrow_mut().handle_datagram(now, from, &bytes[..n]);
                        self.process_output();
                        self.wake_if_earlier(now);
                    }
                    // A closed port at the remote end shows up as an error on the next call.
                    Err(e) => log::debug!("fleet socket: {e}"),
                }
            }
            future::yield_now().await;
        }
    }

    async fn run_timers(&self) {
        loop {
            let now = self.clock.now();
            let returned = std::mem::take(&mut *self.returned.borrow_mut());
            {
                let mut node = self.node.borrow_mut();
                for item in returned {
                    match item {
                        Returned::Ticket { ticket, granted } => {
                            self.pending.borrow_mut().remove(&ticket);
                            node.cancel(ticket);
                            granted.into_iter().for_each(|key| node.release(now, key, false));
                        }
                        Returned::Unit { key, done } => node.release(now, key, done),
                    }
                }
                node.tick(now);
            }
            self.process_output();
            let woken = self.wake.listen();
            if !self.returned.borrow().is_empty() {
                future::yield_now().await;
                continue;
            }
            // Leaves the other tasks of the process their turn, whatever the core asks for.
            let at = self.node.borrow().next_wake(now).max(now + MIN_SLEEP);
            self.sleeping_until.set(at);
            self.clock.timeout_at(at, woken).await;
        }
    }

    /// Wakes the timer task if the core's next wake time is earlier than the time until which it sleeps.
    fn wake_if_earlier(&self, now: Time) {
        if self.node.borrow().next_wake(now) < self.sleeping_until.get() {
            self.wake.notify(1);
        }
    }

    /// Carries out the core's outputs.
    fn process_output(&self) {
        loop {
            let Some(out) = self.node.borrow_mut().poll() else { break };
            match out {
                Output::Datagram(to, bytes) => {
                    // To the core a failed send is the same as a lost datagram.
                    if self.socket.get_ref().send_to(&bytes, to).is_err() {
                        self.counters.add("fleet datagrams not sent");
                    }
                }
                Output::Event(line) => self.forward_event(&line),
                Output::Decision(ticket, decision) => {
                    let pending = self.pending.borrow_mut().remove(&ticket);
                    // The channel has room for the only decision; the send fails if nobody waits for it any more.
                    if let Some((key, sender)) = pending
                        && sender.try_send(decision).is_err()
                        && decision == Decision::Granted
                    {
                        self.queue_return(Returned::Unit { key, done: false });
                    }
                }
                Output::Contended((BudgetKind::Connections, key)) => {
                    self.caches.close_idle(|id| rank::key(id) == key);
                }
                Output::Contended(_) => {}
            }
        }
        let (wanted, phase) = {
            let node = self.node.borrow();
            (node.wants_discovery(), node.phase())
        };
        if let Some(feed) = &self.feed {
            let node = self.node.borrow();
            let version = node.members.version;
            if self.members_version_sent.replace(version) != version {
                feed.set_members(node.members.others().map(|(name, member)| (&**name, member.address)));
            }
        }
        if self.discovery_wanted.replace(wanted) != wanted {
            self.discovery_changed.notify(usize::MAX);
        }
        if self.phase.replace(phase) != phase {
            log::info!("fleet: {phase:?}, {} members", self.node.borrow().members.live());
        }
    }

    fn forward_event(&self, line: &[u8]) {
        let value: Result<serde_json::Value, _> = serde_json::from_slice(line);
        match value.map_err(|e| e.to_string()).and_then(|v| config::parse_event(&v, &self.names)) {
            Ok((_, Some(event))) => {
                self.counters.add("bulletin events");
                // Fails only if the dispatcher has ended, and with it the process.
                _ = self.dispatcher.try_send(Event::Discovery(event));
            }
            Ok((_, None)) => {}
            Err(why) => {
                self.counters.add("fleet events that can't be used");
                log::warn!("event of the cache list can't be used: {why}");
            }
        }
    }

    /// Calls the core and carries out the outputs that follow.
    fn with_node<T>(&self, call: impl FnOnce(&mut Node, Time) -> T) -> T {
        let now = self.clock.now();
        let result = call(&mut self.node.borrow_mut(), now);
        self.process_output();
        self.wake_if_earlier(now);
        result
    }

    fn queue_return(&self, item: Returned) {
        self.returned.borrow_mut().push(item);
        self.wake.notify(1);
    }

    async fn wait_for_discovery(&self, wanted: bool) {
        loop {
            let changed = self.discovery_changed.listen();
            if self.discovery_wanted.get() == wanted {
                return;
            }
            changed.await;
        }
    }

    fn request(self: &Rc<Self>, key: BudgetKey, until: Time) -> PendingRequest {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        let (sender, decision) = async_channel::bounded(1);
        self.pending.borrow_mut().insert(ticket, (key, sender));
        let pending = PendingRequest { fleet: Rc::clone(self), key, ticket, decision, resolved: false };
        self.with_node(|node, now| node.request(now, key, ticket, until));
        pending
    }
}

/// A pending request. If it is dropped before its decision was taken, a granted unit is released.
struct PendingRequest {
    fleet: Rc<Fleet>,
    key: BudgetKey,
    ticket: u64,
    decision: Receiver<Decision>,
    resolved: bool,
}

impl PendingRequest {
    async fn decision(mut self) -> Decision {
        let decision = self.decision.recv().await.unwrap_or(Decision::Denied);
        self.resolved = true;
        decision
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let granted = (self.decision.try_recv() == Ok(Decision::Granted)).then_some(self.key);
        self.fleet.queue_return(Returned::Ticket { ticket: self.ticket, granted });
    }
}

/// Leased units; released when the permit is dropped.
struct LeasePermit {
    fleet: Rc<Fleet>,
    keys: Vec<BudgetKey>,
    done: bool,
}

impl Permit for LeasePermit {
    fn complete(&mut self) {
        self.done = true;
    }
}

impl Drop for LeasePermit {
    fn drop(&mut self) {
        for key in std::mem::take(&mut self.keys) {
            self.fleet.queue_return(Returned::Unit { key, done: self.done });
        }
    }
}

struct FleetLimits(Rc<Fleet>);

impl SharedLimits for FleetLimits {
    fn acquire_connection(&self, member: &MemberId, until: Time) -> PermitFuture {
        let pending = self.0.request((BudgetKind::Connections, rank::key(member)), until);
        let fleet = Rc::clone(&self.0);
        Box::pin(async move {
            let key = pending.key;
            let keys = match pending.decision().await {
                Decision::Granted => vec![key],
                Decision::NotRequired => Vec::new(),
                Decision::Denied => return None,
            };
            Some(Box::new(LeasePermit { fleet, keys, done: false }) as Box<dyn Permit>)
        })
    }

    fn acquire_fill(&self, job: &HopRequest) -> Option<PermitFuture> {
        if job.is_write || job.fill.is_none() || self.0.phase.get() >= Phase::Serving {
            return None;
        }
        let fleet = Rc::clone(&self.0);
        let now = fleet.clock.now();
        let until = now + (job.times.sla_deadline - now) * fleet.wait_part;
        let object = rank::key(&format!("{}/{}/{}", job.rule, job.request.object_name, job.request.part));
        let cache = (BudgetKind::FillsAtCache, rank::key(&job.member));
        let first = fleet.request((BudgetKind::Fill, object), until);
        Some(Box::pin(async move {
            let mut permit = LeasePermit { fleet: Rc::clone(&fleet), keys: Vec::new(), done: false };
            let key = first.key;
            match first.decision().await {
                Decision::Granted => permit.keys.push(key),
                Decision::NotRequired => {}
                Decision::Denied => return None,
            }
            // No second unit is needed if another gateway had the object filled: its copy is already close.
            if !permit.keys.is_empty() {
                match fleet.request(cache, until).decision().await {
                    Decision::Granted => permit.keys.push(cache),
                    Decision::NotRequired => {}
                    Decision::Denied => return None,
                }
            }
            Some(Box::new(permit) as Box<dyn Permit>)
        }))
    }
}

impl Service for Fleet {
    fn shutdown(&self) {
        self.with_node(|node, now| node.leave(now));
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
                ("fleet asks the bulletin", u64::from(node.wants_discovery())),
                ("fleet list number", node.relay.list.version()),
                ("fleet list age us", age),
                ("fleet bytes in", t.bytes_in),
                ("fleet bytes out", t.bytes_out),
                ("fleet datagrams in", t.datagrams_in),
                ("fleet datagrams out", t.datagrams_out),
                ("fleet datagrams refused", node.refused.values().sum()),
                ("fleet probes", m.probes),
                ("fleet probes failed", m.probes_failed),
                ("fleet suspected", m.suspected),
                ("fleet held gone", m.declared_dead),
                ("fleet falsely gone", m.falsely_dead),
                ("fleet claims refuted", m.claims_refuted),
                ("fleet claims not heard", m.claims_ignored),
                ("fleet replays", m.replays),
                ("fleet twins", m.name_conflicts),
                ("fleet bulletin asked", r.discovery_attempts),
                ("fleet events from the bulletin", r.events_from_discovery),
                ("fleet events from members", r.events_from_members),
                ("fleet lists fetched", r.snapshots_fetched),
                ("fleet fetches failed", r.fetches_failed),
                ("fleet sources left", r.upstreams_dropped),
                ("fleet disputes", r.disputes),
                ("fleet lies", r.inconsistencies),
                ("fleet units wanted", l.requested),
                ("fleet units lent", l.granted),
                ("fleet units fair", l.fair_share),
                ("fleet units refused", l.denied),
                ("fleet units free", l.not_required),
            ]
            .map(|(name, n)| (name, n as usize)),
        );
        all.extend(self.feed.iter().flat_map(|feed| feed.sizes()));
        all
    }
}

/// Passes discovery's events to the core, which forwards them to the dispatcher and to other members.
pub struct DiscoverySubscriber(pub Rc<Fleet>);

impl Subscriber for DiscoverySubscriber {
    fn last_event(&self) -> u64 {
        self.0.node.borrow().relay.list.version()
    }

    fn on_line(&mut self, line: &[u8]) -> Result<(), String> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        if let Some(version) = crate::digits(line) {
            let up_to_date = self.0.with_node(|node, now| node.discovery_version(now, version));
            return if up_to_date {
                Ok(())
            } else {
                Err(format!("version {version} does not follow {}", self.last_event()))
            };
        }
        self.0.with_node(|node, now| node.discovery_event(now, line)).map_err(|e| e.to_string())
    }

    fn connection_wanted(&self) -> impl Future<Output = ()> {
        self.0.wait_for_discovery(true)
    }

    fn connection_unwanted(&self) -> impl Future<Output = ()> {
        self.0.wait_for_discovery(false)
    }

    fn connection_ended(&mut self) {
        self.0.with_node(|node, now| node.discovery_closed(now));
    }
}
