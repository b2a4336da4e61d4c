//! The task that owns the decision module and the table of open txns. All events reach it through one queue; it feeds
//! them to the module, executes the module's decisions until none is left and sleeps until the module's next wake-up.
//!
//! Invariants: every txn gets exactly one final answer; a hop result that arrives after its txn was answered is
//! reported to the module and never to the client; the dispatcher takes no routing decision of its own.

use crate::Tasks;
use crate::caches::Caches;
use crate::clock::Clock;
use crate::config::{Config, DiscoveryEvent, ListedMember};
use crate::connection_end::ConnectionEnd;
use crate::counters::Counters;
use crate::dispatch_api::{
    Event, HopFuture, HopRequest, HopResult, HopTimes, Rejection, Request, Responder, Service, Transport,
};
use crate::run_history::{RunHistory, TxnIdentity};
use crate::{http, memory};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use kelpcart::hash_prefix::{group_hash, object_hash};
use kelpcart::interface::*;
use kelpcart::{Gateway, Span, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// Requests are still accepted for this long after SIGTERM: clients learn of the shutdown only with delay.
const SHUTDOWN_ACCEPT_PERIOD: Span = Span::from_millis(700);
/// Open txns are aborted this long before the shutdown deadline, so that their answers can still be written.
const SHUTDOWN_ABORT_MARGIN: Span = Span::from_millis(250);
/// Time for written bytes to leave the socket buffers before the process exits. Also the polling interval for
/// completion during a shutdown.
const FLUSH_PERIOD: Span = Span::from_millis(50);
/// Upper bound of the time that a planned restart waits for open txns, beside `SHUTDOWN_ACCEPT_PERIOD`.
const MAX_SHUTDOWN_WAIT: Span = Span::from_millis(3_000);
/// A client that disconnects or cancels this close to a hop's deadline counts as having waited for it: the hop timed out.
const TIMEOUT_TOLERANCE: Span = Span::from_millis(20);

/// Memory of one open txn beside its request: its entries in the tables here and in the module, and its hop.
const TXN_OVERHEAD_BYTES: usize = 4 * 1024;

/// The memory that a txn takes while it is open.
fn txn_bytes(request: &Request) -> usize {
    TXN_OVERHEAD_BYTES + request.heap_bytes()
}

/// The attributes of a remap rule that the dispatcher needs.
#[derive(Clone)]
struct Rule {
    name: Rc<str>,
    is_write: bool,
    unrepeatable: bool,
    /// A second run would do harm, and not every member drops it.
    runs_once: bool,
    /// The SLA time, and the multiple of the txn's transfer time that is added to it.
    sla: (Span, f64),
}

struct OpenTxn {
    responder: Rc<dyn Responder>,
    message_id: u64,
    rule: usize,
    request: Rc<Request>,
    sla_deadline: Time,
    deadline: Time,
    hop_count: u32,
    /// A hop has ended without proof that the txn did not run.
    may_have_run: bool,
}

impl OpenTxn {
    fn identity(&self) -> TxnIdentity {
        identity(&self.request)
    }
}

fn identity(request: &Request) -> TxnIdentity {
    TxnIdentity { request_number: request.request_number, object: request.object }
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
    /// Notified of a shutdown and queried for table sizes.
    services: Vec<Rc<dyn Service>>,
    /// Members reached through transports; they are added to every snapshot of the discovery service.
    transport_members: Vec<ListedMember>,
    counters: Rc<Counters>,
    queue: (Sender<Event>, Receiver<Event>),
    /// Results of hops that no task reports: never started, or cancelled.
    local_results: VecDeque<(TxnId, u32, ConnectionEnd)>,
    open_txns: BTreeMap<TxnId, OpenTxn>,
    /// Open txns by responder key and message id.
    by_message: BTreeMap<(u64, u64), TxnId>,
    /// Open txns by the request id that the client chose.
    by_request_number: BTreeSet<(u64, TxnId)>,
    active_hops: BTreeMap<(TxnId, u32), ActiveHop>,
    /// Txns that may have run and must not run again.
    run_history: RunHistory,
    last_txn_id: TxnId,
    rules: Vec<Rule>,
    /// Transfer rate to one client; zero if it is not configured.
    client_rate_kb_per_s: f64,
    max_hops: u32,
    max_open_txns: usize,
    /// Memory that all open txns take, at most `max_txn_bytes`.
    txn_bytes: usize,
    max_txn_bytes: usize,
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
        let settings = config.settings;
        let rule = |(name, r): (&String, &RemapRule)| Rule {
            name: Rc::from(name.as_str()),
            is_write: r.is_write,
            unrepeatable: r.effect != Effect::Repeatable,
            runs_once: match r.effect {
                Effect::Repeatable => false,
                Effect::Keyed => r.dedup_scope != DedupScope::All,
                Effect::Unrepeatable => true,
            },
            sla: (r.sla, r.sla_size_factor),
        };
        let rules = config.names.rules.iter().zip(&settings.rules).map(rule);
        let mut dispatcher = Dispatcher {
            rules: rules.collect(),
            client_rate_kb_per_s: settings.client_rate,
            max_hops: settings.max_hops,
            max_open_txns: config.max_open_txns,
            txn_bytes: 0,
            max_txn_bytes: memory::Shares::new(config.memory_limit).txns,
            max_time_limit: config.max_time_limit,
            gateway: Gateway::new(settings, config.seed, clock.now()),
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
            run_history: RunHistory::default(),
            last_txn_id: 0,
            shutdown_at: None,
        };
        for event in config.initial_events {
            dispatcher.apply_discovery_event(event);
        }
        dispatcher
    }

    /// Adds a transport and the members that it reaches. Snapshots of the discovery service do not remove them.
    pub fn add_transport(&mut self, transport: Rc<dyn Transport>, members: Vec<ListedMember>) {
        self.services.push(transport.clone());
        self.transports.push(transport);
        self.transport_members.extend(members.iter().cloned());
        self.apply_discovery_event(DiscoveryEvent::Roster { snapshot: false, list: members });
    }

    pub fn add_service(&mut self, service: Rc<dyn Service>) {
        self.services.push(service);
    }

    /// Runs until a shutdown is complete: every txn is answered and every service is closed, or the shutdown deadline
    /// has passed.
    pub async fn run(mut self) {
        loop {
            let now = self.clock.now();
            self.run_decisions(now);
            if let Some(at) = self.shutdown_at {
                let end = at + self.max_time_limit.min(MAX_SHUTDOWN_WAIT) + SHUTDOWN_ACCEPT_PERIOD;
                if now + SHUTDOWN_ABORT_MARGIN >= end {
                    self.abort_all(now);
                }
                // A request may be in flight while its connection is being closed. It is still served, so the
                // dispatcher keeps running until every connection has ended.
                if now - at >= SHUTDOWN_ACCEPT_PERIOD {
                    self.services.iter().for_each(|service| service.close());
                }
                let drained = self.open_txns.is_empty() && self.counters.unwritten_answers.get() == 0;
                let drained = drained
                    && now - at >= SHUTDOWN_ACCEPT_PERIOD
                    && self.services.iter().all(|service| service.is_closed());
                if drained || now + FLUSH_PERIOD >= end {
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
                self.services.iter().for_each(|service| service.shutdown());
            }
        }
    }

    /// Logs the counters and the size of every table that could grow without bound over a long run.
    fn dump_counters(&self) {
        let own = [
            ("txns open", self.open_txns.len()),
            ("txns by message", self.by_message.len()),
            ("txns by id", self.by_request_number.len()),
            ("hops out", self.active_hops.len()),
            ("bytes of txns", self.txn_bytes),
            ("ids that may have run", self.run_history.len()),
        ];
        let services = self.services.iter().flat_map(|service| service.table_sizes());
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
                let is_changed = |m: &MemberId| changed.contains(m);
                self.cancel_waiting_hops(|_, active| {
                    is_changed(&active.member) || active.source.as_ref().is_some_and(is_changed)
                });
            }
            DiscoveryEvent::Purge { names, issued_ms } => {
                // Rounded up to the end of the millisecond: a copy made within it must not pass for newer.
                let issued_at = Time::from_micros(issued_ms.saturating_add(1).saturating_mul(1_000));
                self.gateway.purge(now, names.clone(), now - issued_at);
                self.cancel_waiting_hops(|request, _| {
                    names.contains(object_hash(request.object))
                        || names.contains(group_hash(request.group.into()))
                });
            }
        }
    }

    /// Cancels hops that still wait for a descriptor, a connection or a permit and that `is_affected` selects. What the module
    /// assumed when it ordered a hop must still hold when the hop's first byte is written.
    fn cancel_waiting_hops(&mut self, is_affected: impl Fn(&Request, &ActiveHop) -> bool) {
        let open = |txn| self.open_txns.get(&txn).map(|open: &OpenTxn| &*open.request);
        let waiting = self.active_hops.iter().filter(|(_, active)| !active.started.get());
        let affected =
            waiting.filter(|(key, active)| open(key.0).is_some_and(|request| is_affected(request, active)));
        for (txn, hop) in affected.map(|(key, _)| *key).collect::<Vec<_>>() {
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
        let is_write = self.rules[rule].is_write;
        // Caches must never see two objects under one request id, nor a read with a body, which they would not consume.
        let same_id =
            self.by_request_number.range((request.request_number, 0)..=(request.request_number, TxnId::MAX));
        let open_objects = same_id.map(|(_, txn)| self.open_txns[txn].request.object);
        let (same_object, other_objects): (Vec<u64>, Vec<u64>) =
            open_objects.partition(|open| *open == request.object);
        let names_other_object = !other_objects.is_empty();
        if names_other_object || !is_write && !request.body.is_empty() {
            self.counters.add("requests at odds with their method or id");
            return responder.invalid(message_id);
        }
        let now = self.clock.now();
        if self.rules[rule].runs_once
            && (!same_object.is_empty() || self.run_history.contains(now, identity(&request)))
        {
            self.counters.add("requests that may have run before");
            return responder.abort(message_id);
        }
        // Limits of this process. No hop was started, so the client may safely retry.
        if self.open_txns.len() >= self.max_open_txns
            || self.txn_bytes + txn_bytes(&request) > self.max_txn_bytes
        {
            self.counters.add("requests over the open bound");
            return responder.reject(message_id, Rejection::NOT_STARTED);
        }
        self.last_txn_id += 1;
        let txn = self.last_txn_id;
        // Capped by the settings: a longer timeout would only keep the entry in the tables.
        let deadline = received_at + Span::from_millis(request.timeout_ms.into()).min(self.max_time_limit);
        let (object, group, part, size) =
            (request.object, request.group.into(), request.part, request.size_kb);
        let (time_left, max_age) = (deadline - now, request.max_age);
        let (earlier_attempt, start_by) = (request.earlier_attempt, request.start_by);
        let transfer_s = request
            .size_kb
            .filter(|_| self.client_rate_kb_per_s > 0.0)
            .map_or(0.0, |kb| kb / self.client_rate_kb_per_s);
        let (sla, size_factor) = self.rules[rule].sla;
        let sla_deadline = received_at + sla + Span::from_secs_f64(transfer_s * size_factor);
        self.txn_bytes += txn_bytes(&request);
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
                may_have_run: false,
            },
        );
        self.gateway.submit(
            now,
            Txn {
                id: txn,
                rule,
                object,
                group,
                part,
                is_write,
                size,
                time_left,
                max_age,
                earlier_attempt,
                start_by,
            },
        );
    }

    /// Removes a txn from all tables. Afterwards it can't be answered again.
    fn remove_txn(&mut self, txn: TxnId) -> Option<OpenTxn> {
        let open = self.open_txns.remove(&txn)?;
        let mut active = self.active_hops.range((txn, 0)..=(txn, u32::MAX));
        let may_have_run = open.may_have_run || active.any(|(_, hop)| hop.started.get());
        if may_have_run && self.rules[open.rule].runs_once {
            self.run_history.record(self.clock.now(), open.identity());
        }
        self.by_message.remove(&(open.responder.key(), open.message_id));
        self.by_request_number.remove(&(open.request.request_number, txn));
        self.txn_bytes -= txn_bytes(&open.request);
        Some(open)
    }

    /// Removes a txn that is not served, and counts and traces how it ended.
    fn finish_unserved(&mut self, now: Time, txn: TxnId, counted: &'static str) -> Option<OpenTxn> {
        let open = self.remove_txn(txn)?;
        self.counters.add(counted);
        let left = (open.deadline - now).as_micros();
        log::trace!("{counted}: txn {txn} after {} hops, {left} us before its deadline", open.hop_count);
        Some(open)
    }

    /// The client no longer waits for the answer: removes the txn and cancels its hops.
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
        for (hop, deadline) in hops {
            self.cancel_hop(
                txn,
                hop,
                if now + TIMEOUT_TOLERANCE >= deadline {
                    ConnectionEnd::Late
                } else {
                    ConnectionEnd::Withdrawn
                },
            );
        }
    }

    fn cancel_hop(&mut self, txn: TxnId, hop: u32, end: ConnectionEnd) {
        let Some(active) = self.active_hops.get_mut(&(txn, hop)) else { return };
        // The result of a finished task is already in the queue.
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
        if !status.proves_not_run()
            && let Some(open) = self.open_txns.get_mut(&txn)
        {
            open.may_have_run = true;
        }
        if status == HopStatus::Completed
            && let Some(open) = self.remove_txn(txn)
        {
            self.counters.add("txns completed");
            open.responder.serve(open.message_id, result.body, open.deadline);
        }
        let link_load = result.load_report.as_deref().and_then(|report| http::load_value(report, "x1"));
        let first_byte = result.first_byte_wait.filter(|waited| *waited > Span::ZERO);
        // Measured at the socket and without waits for this gateway's own resources, which are not the member's latency.
        let duration =
            result.finished_at.unwrap_or(now).saturating_sub(result.local_wait) - active.ordered_at;
        let (answered, cache_status) = (!self.open_txns.contains_key(&txn), result.cache_status);
        log::trace!(
            "txn {txn} hop {hop} at member {} ended {:?} after {} us: cache status {cache_status:?}, \
             link load {link_load:?}, txn answered {answered}",
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
            Decision::Hop { txn, member, fill, first_attempt, start_by, deadline } => {
                let Some(open) = self.open_txns.get(&txn) else { return };
                let (sla_deadline, deadline) = (open.sla_deadline, deadline.min(open.deadline));
                let times = HopTimes { first_attempt, start_by, sla_deadline, deadline };
                self.start_hop(now, txn, member, fill, times);
            }
            Decision::Cancel { txn, hop } => self.cancel_hop(txn, hop, ConnectionEnd::Withdrawn),
            Decision::Reject { txn, retry_after } => {
                let Some(open) = self.finish_unserved(now, txn, "txns rejected") else { return };
                let rejection = Rejection { retry_after, may_have_run: open.may_have_run };
                open.responder.reject(open.message_id, rejection);
            }
            Decision::Abort { txn } => {
                let Some(open) = self.finish_unserved(now, txn, "txns aborted") else { return };
                open.responder.abort(open.message_id);
            }
            // The subscription to the discovery service exists from the start.
            Decision::Subscribe => {}
        }
    }

    fn start_hop(&mut self, now: Time, txn: TxnId, member: MemberId, fill: Option<Fill>, times: HopTimes) {
        let Some(open) = self.open_txns.get_mut(&txn) else { return };
        let hop = open.hop_count;
        open.hop_count += 1;
        let Rule { name: rule, is_write, unrepeatable, .. } = self.rules[open.rule].clone();
        log::trace!(
            "txn {txn} hop {hop} to member {member}: rule {rule}, fill source {:?}",
            fill.as_ref().map(|f| &*f.source)
        );
        let (request, started) = (Rc::clone(&open.request), Rc::<Cell<bool>>::default());
        let source = fill.as_ref().map(|fill| Arc::clone(&fill.source));
        let to = member.clone();
        let hop_request = HopRequest {
            member: to,
            times,
            started: Rc::clone(&started),
            rule,
            is_write,
            unrepeatable,
            request,
            fill,
        };
        let mut task = None;
        if hop >= self.max_hops || times.deadline <= now {
            self.local_results.push_back((txn, hop, ConnectionEnd::LateUnsent));
        } else {
            task =
                Some(match self.transports.iter().find(|transport| transport.reaches(&hop_request.member)) {
                    Some(transport) => {
                        // A transport may send the request at any time after this call.
                        started.set(true);
                        self.spawn_hop(txn, hop, transport.hop(hop_request))
                    }
                    None => {
                        let caches = Rc::clone(&self.caches);
                        self.spawn_hop(txn, hop, Box::pin(async move { caches.run_hop(hop_request).await }))
                    }
                });
        }
        let (ordered_at, deadline) = (now, times.deadline);
        self.active_hops
            .insert((txn, hop), ActiveHop { member, source, started, task, ordered_at, deadline });
    }

    fn spawn_hop(&self, txn: TxnId, hop: u32, running: HopFuture) -> Task<()> {
        let queue = self.queue.0.clone();
        self.tasks.spawn(async move {
            let result = running.await;
            // Fails only if the dispatcher has ended, and the process with it.
            _ = queue.try_send(Event::HopFinished { txn, hop, result });
        })
    }

    /// Aborts all open txns at the shutdown deadline: whether their hops ran is unknown.
    fn abort_all(&mut self, now: Time) {
        for txn in self.open_txns.keys().copied().collect::<Vec<_>>() {
            if let Some(open) = self.finish_unserved(now, txn, "txns aborted at the stop") {
                self.gateway.client_left(txn);
                open.responder.abort(open.message_id);
            }
        }
    }
}
