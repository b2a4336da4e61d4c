//! The one task that owns the module, and the table of open txns. Everything reaches it through one queue; it calls
//! the module's inputs, pulls its decisions until there is none, carries them out and sleeps until the module's
//! next time. Must never decide in the module's place, give a txn two final answers, or let it have none: what
//! still comes for one that has ended is told to the module and goes no further.

use crate::Tasks;
use crate::caches::Caches;
use crate::clock::Clock;
use crate::config::{Config, DiscoveryEvent, ListedMember};
use crate::connection_end::ConnectionEnd;
use crate::counters::Counters;
use crate::dispatch_api::{Event, HopRequest, HopResult, Request, Responder, Service, Transport};
use crate::http;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use kelpcart::hash_prefix::{group_hash, object_hash};
use kelpcart::interface::*;
use kelpcart::{Gateway, Span, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// After SIGTERM: requests still come for this long; all is answered this long before the longest wait and the
/// time given on top of it are over; bytes written get this long to leave.
const SHUTDOWN_ACCEPT_PERIOD: Span = Span::from_millis(700);
const SHUTDOWN_ABORT_MARGIN: Span = Span::from_millis(250);
const FLUSH_PERIOD: Span = Span::from_millis(50);
/// The longest wait that a planned restart allows for.
const MAX_SHUTDOWN_WAIT: Span = Span::from_millis(3_000);
/// A client that leaves this shortly before its time is over has waited for it.
const TIMEOUT_TOLERANCE: Span = Span::from_millis(20);

/// What the dispatcher knows of a remap rule.
#[derive(Clone)]
struct Rule {
    name: Rc<str>,
    is_write: bool,
    unrepeatable: bool,
    /// The SLA time, and by what multiple of the txn's own sending time it grows.
    sla: (Span, f64),
}

struct OpenTxn {
    responder: Rc<dyn Responder>,
    message_id: u64,
    rule: usize,
    request: Rc<Request>,
    /// When its SLA time is over.
    sla_deadline: Time,
    deadline: Time,
    hop_count: u32,
}

struct ActiveHop {
    member: MemberId,
    source: Option<MemberId>,
    started: Rc<Cell<bool>>,
    task: Option<Task<()>>,
    ordered_at: Time,
    deadline: Time,
}

pub struct Dispatcher {
    gateway: Gateway,
    clock: Clock,
    tasks: Tasks,
    caches: Rc<Caches>,
    transports: Vec<Rc<dyn Transport>>,
    /// What is told of a stop and asked for its sizes.
    services: Vec<Rc<dyn Service>>,
    /// Members that carriers reach, listed beside those of the bulletin.
    transport_members: Vec<ListedMember>,
    counters: Rc<Counters>,
    queue: (Sender<Event>, Receiver<Event>),
    /// Ends that no task reports: of hops never begun, or taken back.
    local_results: VecDeque<(TxnId, u32, ConnectionEnd)>,
    open_txns: BTreeMap<TxnId, OpenTxn>,
    by_message: BTreeMap<(u64, u64), TxnId>,
    /// Open txns by the clients' own ids.
    by_request_number: BTreeSet<(u64, TxnId)>,
    active_hops: BTreeMap<(TxnId, u32), ActiveHop>,
    last_txn_id: TxnId,
    rules: Vec<Rule>,
    /// KB a second of one transfer to a client; zero where it is not told.
    client_rate_kb_per_s: f64,
    max_hops: u32,
    max_open_txns: usize,
    /// Bytes of the bodies of open writes, and their bound.
    held_write_bytes: usize,
    max_held_write_bytes: usize,
    max_time_limit: Span,
    shutdown_at: Option<Time>,
}

impl Dispatcher {
    pub fn new(
        config: Config,
        clock: Clock,
        tasks: Tasks,
        caches: Rc<Caches>,
        counters: Rc<Counters>,
        queue: (Sender<Event>, Receiver<Event>),
    ) -> Dispatcher {
        let set = config.settings;
        let rule = |(name, r): (&String, &RemapRule)| Rule {
            name: Rc::from(name.as_str()),
            is_write: r.is_write,
            unrepeatable: r.effect != Effect::Repeatable,
            sla: (r.sla, r.sla_size_factor),
        };
        let rules = config.names.rules.iter().zip(&set.rules).map(rule);
        let mut dispatcher = Dispatcher {
            rules: rules.collect(),
            client_rate_kb_per_s: set.client_rate,
            max_hops: set.max_hops,
            max_open_txns: config.max_open_txns,
            held_write_bytes: 0,
            max_held_write_bytes: config.memory_limit / 8,
            max_time_limit: config.max_time_limit,
            gateway: Gateway::new(set, config.seed, clock.now()),
            clock,
            tasks,
            caches,
            transports: Vec::new(),
            services: Vec::new(),
            transport_members: Vec::new(),
            counters,
            queue,
            local_results: VecDeque::new(),
            open_txns: BTreeMap::new(),
            by_message: BTreeMap::new(),
            by_request_number: BTreeSet::new(),
            active_hops: BTreeMap::new(),
            last_txn_id: 0,
            shutdown_at: None,
        };
        for event in config.initial_events {
            dispatcher.apply_discovery_event(event);
        }
        dispatcher
    }

    /// Adds a way to members of its own; they stay listed whatever the bulletin says.
    pub fn add_transport(&mut self, transport: Rc<dyn Transport>, members: Vec<ListedMember>) {
        self.services.push(transport.clone());
        self.transports.push(transport);
        self.transport_members.extend(members.iter().cloned());
        self.apply_discovery_event(DiscoveryEvent::Roster { snapshot: false, list: members });
    }

    pub fn add_service(&mut self, service: Rc<dyn Service>) {
        self.services.push(service);
    }

    /// Ends some time after `Stop`, with all answered.
    pub async fn run(mut self) {
        loop {
            let now = self.clock.now();
            self.run_decisions(now);
            if let Some(at) = self.shutdown_at {
                let end = at + self.max_time_limit.min(MAX_SHUTDOWN_WAIT) + SHUTDOWN_ACCEPT_PERIOD;
                if now + SHUTDOWN_ABORT_MARGIN >= end {
                    self.abort_all(now);
                }
                // Requests cross the close of the connection they come on, and what crosses is still served: the
                // work goes on until every connection has ended.
                if now - at >= SHUTDOWN_ACCEPT_PERIOD {
                    self.services.iter().for_each(|b| b.close());
                }
                let quiet = self.open_txns.is_empty() && self.counters.unwritten_answers.get() == 0;
                let quiet = quiet
                    && now - at >= SHUTDOWN_ACCEPT_PERIOD
                    && self.services.iter().all(|b| b.is_closed());
                if quiet || now + FLUSH_PERIOD >= end {
                    self.clock.sleep(FLUSH_PERIOD).await;
                    return self.dump_counters();
                }
            }
            let mut wake = self.gateway.next_wake();
            if self.shutdown_at.is_some() {
                wake = wake.min(now + FLUSH_PERIOD);
            }
            if let Some(Ok(event)) = self.clock.timeout_at(wake, self.queue.1.recv()).await {
                self.handle_event(event);
                while let Ok(event) = self.queue.1.try_recv() {
                    self.handle_event(event);
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Request { responder, id, method, request, received_at } => {
                self.accept_request(responder, id, &method, request, received_at)
            }
            Event::HealthCheck { responder, id } => responder.ready(id, self.shutdown_at.is_none()),
            Event::Cancelled { responder, id } => self.cancel_txn((responder, id)),
            Event::Disconnected { responder } => {
                let of_responder = self.by_message.range((responder, 0)..=(responder, u64::MAX));
                let keys: Vec<_> = of_responder.map(|(key, _)| *key).collect();
                keys.into_iter().for_each(|key| self.cancel_txn(key));
            }
            Event::HopFinished { txn, hop, result } => self.finish_hop(txn, hop, result),
            Event::Discovery(event) => self.apply_discovery_event(event),
            Event::MemberAlive { member } => self.gateway.member_alive(self.clock.now(), &member),
            Event::DumpCounters => self.dump_counters(),
            Event::Shutdown => {
                log::info!("told to stop, {} txns open", self.open_txns.len());
                self.shutdown_at.get_or_insert(self.clock.now());
                self.services.iter().for_each(|b| b.shutdown());
            }
        }
    }

    /// Writes the counters, with the size of every table that could grow with the day.
    fn dump_counters(&self) {
        let own = [
            ("txns open", self.open_txns.len()),
            ("txns by message", self.by_message.len()),
            ("txns by id", self.by_request_number.len()),
            ("hops out", self.active_hops.len()),
            ("bytes of writes", self.held_write_bytes),
        ];
        let services = self.services.iter().flat_map(|b| b.table_sizes());
        let all = own.into_iter().chain(self.caches.table_sizes()).chain(services);
        let all = all.chain(self.gateway.table_sizes(self.clock.now()));
        *self.counters.table_sizes.borrow_mut() = all.collect();
        log::info!("{}", self.counters);
    }

    fn apply_discovery_event(&mut self, event: DiscoveryEvent) {
        let now = self.clock.now();
        match event {
            DiscoveryEvent::Roster { snapshot, mut list } => {
                if snapshot {
                    list.extend(self.transport_members.iter().cloned());
                }
                let changed = self.caches.update_members(snapshot, &list);
                self.gateway.update_members(now, snapshot, list.into_iter().map(|l| l.member).collect());
                let by = |m: &MemberId| changed.contains(m);
                self.cancel_waiting_hops(|_, active| {
                    by(&active.member) || active.source.as_ref().is_some_and(by)
                });
            }
            DiscoveryEvent::Purge { names, issued_ms } => {
                // The end of its millisecond, lest a copy made in the same one passes for newer.
                let at = Time::from_micros(issued_ms.saturating_add(1).saturating_mul(1_000));
                self.gateway.purge(now, names.clone(), now - at);
                self.cancel_waiting_hops(|request, _| {
                    names.contains(object_hash(request.object))
                        || names.contains(group_hash(request.group.into()))
                });
            }
        }
    }

    /// Takes back hops that wait for a descriptor, a connection or a permit and that news has changed: what was true
    /// when a hop was ordered has to be true when its first byte is written.
    fn cancel_waiting_hops(&mut self, hit: impl Fn(&Request, &ActiveHop) -> bool) {
        let open = |txn| self.open_txns.get(&txn).map(|open: &OpenTxn| &*open.request);
        let waits = self.active_hops.iter().filter(|(_, active)| !active.started.get());
        let hits = waits.filter(|(key, active)| open(key.0).is_some_and(|request| hit(request, active)));
        for (txn, hop) in hits.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.counters.add("waiting hops overtaken by news");
            self.cancel_hop(txn, hop, ConnectionEnd::Overtaken);
        }
    }

    fn accept_request(
        &mut self,
        responder: Rc<dyn Responder>,
        message_id: u64,
        method: &str,
        request: Box<Request>,
        received_at: Time,
    ) {
        let Some(rule) = self.rules.iter().position(|r| *r.name == *method) else {
            self.counters.add("unknown methods");
            return responder.invalid(message_id);
        };
        let write = self.rules[rule].is_write;
        // Guards caches from two txns under one id, and from bodies that nobody reads.
        let same =
            self.by_request_number.range((request.request_number, 0)..=(request.request_number, TxnId::MAX));
        let other =
            same.map(|(_, txn)| &self.open_txns[txn].request).any(|open| open.object != request.object);
        if other || !write && !request.body.is_empty() {
            self.counters.add("requests at odds with their method or id");
            return responder.invalid(message_id);
        }
        // The bounds of the process itself: nothing has run, so that another try is harmless.
        if self.open_txns.len() >= self.max_open_txns
            || self.held_write_bytes + request.body.len() > self.max_held_write_bytes
        {
            self.counters.add("requests over the open bound");
            return responder.reject(message_id, None);
        }
        self.last_txn_id += 1;
        let (txn, now) = (self.last_txn_id, self.clock.now());
        // Nobody waits longer than the settings say: what claims to would only stay in the tables.
        let deadline = received_at + Span::from_millis(request.timeout_ms.into()).min(self.max_time_limit);
        let (object, group, part, size) =
            (request.object, request.group.into(), request.part, request.size_kb);
        let (time_left, max_age) = (deadline - now, request.max_age);
        let sending = request
            .size_kb
            .filter(|_| self.client_rate_kb_per_s > 0.0)
            .map_or(0.0, |kb| kb / self.client_rate_kb_per_s);
        let (sla, size_factor) = self.rules[rule].sla;
        let sla_deadline = received_at + sla + Span::from_secs_f64(sending * size_factor);
        self.held_write_bytes += request.body.len();
        self.by_message.insert((responder.key(), message_id), txn);
        self.by_request_number.insert((request.request_number, txn));
        self.open_txns.insert(
            txn,
            OpenTxn {
                responder,
                message_id,
                rule,
                request: Rc::from(request),
                sla_deadline,
                deadline,
                hop_count: 0,
            },
        );
        self.gateway.submit(
            now,
            Txn { id: txn, rule, object, group, part, is_write: write, size, time_left, max_age },
        );
    }

    /// Takes a txn off the table: from here on it can't be answered again.
    fn remove_txn(&mut self, txn: TxnId) -> Option<OpenTxn> {
        let open = self.open_txns.remove(&txn)?;
        self.by_message.remove(&(open.responder.key(), open.message_id));
        self.by_request_number.remove(&(open.request.request_number, txn));
        self.held_write_bytes -= open.request.body.len();
        Some(open)
    }

    /// Closes a txn that is not served, and counts and traces how it ended.
    fn finish_unserved(&mut self, now: Time, txn: TxnId, counted: &'static str) -> Option<OpenTxn> {
        let open = self.remove_txn(txn)?;
        self.counters.add(counted);
        let left = (open.deadline - now).as_micros();
        log::trace!("{counted}: txn {txn} after {} hops, {left} us left", open.hop_count);
        Some(open)
    }

    /// The client does not wait any more: what is out for it is given up.
    fn cancel_txn(&mut self, key: (u64, u64)) {
        let Some(txn) = self.by_message.get(&key).copied() else { return };
        self.remove_txn(txn);
        self.gateway.client_left(txn);
        self.counters.add("txns left by their client");
        let now = self.clock.now();
        let hops: Vec<_> = self
            .active_hops
            .range((txn, 0)..=(txn, u32::MAX))
            .map(|(key, hop)| (key.1, hop.deadline))
            .collect();
        for (hop, until) in hops {
            self.cancel_hop(
                txn,
                hop,
                if now + TIMEOUT_TOLERANCE >= until { ConnectionEnd::Late } else { ConnectionEnd::Withdrawn },
            );
        }
    }

    fn cancel_hop(&mut self, txn: TxnId, hop: u32, end: ConnectionEnd) {
        let Some(active) = self.active_hops.get_mut(&(txn, hop)) else { return };
        // One that has ended has its outcome in the queue already.
        if let Some(task) = active.task.take_if(|task| !task.is_finished()) {
            drop(task);
            self.counters.record_end(end);
            self.local_results.push_back((txn, hop, end));
        }
    }

    fn finish_hop(&mut self, txn: TxnId, hop: u32, result: HopResult) {
        let Some(active) = self.active_hops.remove(&(txn, hop)) else { return };
        let Some(status) = result.end.hop_status() else { return };
        let now = self.clock.now();
        if status == HopStatus::Completed
            && let Some(open) = self.remove_txn(txn)
        {
            self.counters.add("txns completed");
            open.responder.serve(open.message_id, result.body, open.deadline);
        }
        let link_load = result.load_report.as_deref().and_then(|report| http::load_value(report, "x1"));
        let first_byte = result.first_byte_wait.filter(|waited| *waited > Span::ZERO);
        // At the socket, and without the gateway's own waits: neither is the member's slowness.
        let duration =
            result.finished_at.unwrap_or(now).saturating_sub(result.local_wait) - active.ordered_at;
        let (answered, cache_status) = (!self.open_txns.contains_key(&txn), result.cache_status);
        log::trace!(
            "txn {txn} hop {hop} at {} finished: end {:?}, cache status {cache_status:?}, {} us, link load {link_load:?}, txn answered {answered}",
            active.member,
            result.end,
            duration.as_micros()
        );
        let load = LoadReport { link_load };
        self.gateway.record_outcome(
            now,
            Outcome { txn, hop, status, duration, answered, cache_status, first_byte, load },
        );
    }

    fn run_decisions(&mut self, now: Time) {
        loop {
            while let Some(decision) = self.gateway.poll(now) {
                self.execute(now, decision);
            }
            let Some((txn, hop, end)) = self.local_results.pop_front() else { return };
            self.finish_hop(txn, hop, end.into());
        }
    }

    fn execute(&mut self, now: Time, decision: Decision) {
        match decision {
            Decision::Hop { txn, member, fill, start_by, deadline } => {
                self.start_hop(now, txn, member, fill, [start_by, deadline]);
            }
            Decision::Cancel { txn, hop } => self.cancel_hop(txn, hop, ConnectionEnd::Withdrawn),
            Decision::Reject { txn, retry_after: come_back } => {
                let Some(open) = self.finish_unserved(now, txn, "txns rejected") else { return };
                open.responder.reject(open.message_id, come_back);
            }
            Decision::Abort { txn } => {
                let Some(open) = self.finish_unserved(now, txn, "txns aborted") else { return };
                open.responder.abort(open.message_id);
            }
            // The bulletin is followed from the start.
            Decision::Subscribe => {}
        }
    }

    fn start_hop(
        &mut self,
        now: Time,
        txn: TxnId,
        member: MemberId,
        fill: Option<Fill>,
        [start_by, limit]: [Time; 2],
    ) {
        let Some(open) = self.open_txns.get_mut(&txn) else { return };
        let hop = open.hop_count;
        open.hop_count += 1;
        let deadline = limit.min(open.deadline);
        let Rule { name: rule, is_write, unrepeatable, .. } = self.rules[open.rule].clone();
        log::trace!(
            "txn {txn} hop {hop} to {member} by {rule}, filled from {:?}",
            fill.as_ref().map(|f| &*f.source)
        );
        let sla_deadline = open.sla_deadline;
        let (request, started) = (Rc::clone(&open.request), Rc::<Cell<bool>>::default());
        let source = fill.as_ref().map(|fill| Arc::clone(&fill.source));
        let to = member.clone();
        let hop_request = HopRequest {
            member: to,
            start_by,
            started: Rc::clone(&started),
            deadline,
            sla_deadline,
            rule,
            is_write,
            unrepeatable,
            request,
            fill,
        };
        let mut task = None;
        if hop >= self.max_hops || deadline <= now {
            self.local_results.push_back((txn, hop, ConnectionEnd::LateUnsent));
        } else {
            task =
                Some(match self.transports.iter().find(|transport| transport.reaches(&hop_request.member)) {
                    Some(transport) => {
                        // What a carrier has taken over may cross at any time.
                        started.set(true);
                        self.spawn_hop(txn, hop, transport.hop(hop_request))
                    }
                    None => {
                        let caches = Rc::clone(&self.caches);
                        self.spawn_hop(txn, hop, async move { caches.run_hop(hop_request).await })
                    }
                });
        }
        self.active_hops
            .insert((txn, hop), ActiveHop { member, source, started, task, ordered_at: now, deadline });
    }

    fn spawn_hop(
        &self,
        txn: TxnId,
        hop: u32,
        running: impl Future<Output = HopResult> + 'static,
    ) -> Task<()> {
        let queue = self.queue.0.clone();
        self.tasks.spawn(async move {
            let result = running.await;
            // It fails only when the dispatcher has ended, and with it the process.
            _ = queue.try_send(Event::HopFinished { txn, hop, result });
        })
    }

    /// The restart can't wait longer: what is still open gets an answer that promises nothing.
    fn abort_all(&mut self, now: Time) {
        for txn in self.open_txns.keys().copied().collect::<Vec<_>>() {
            if let Some(open) = self.finish_unserved(now, txn, "txns aborted at the stop") {
                self.gateway.client_left(txn);
                open.responder.abort(open.message_id);
            }
        }
    }
}
