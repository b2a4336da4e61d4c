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
const STILL_COMING: Span = Span::from_millis(700);
const ANSWERED_BEFORE: Span = Span::from_millis(250);
const LEAVING: Span = Span::from_millis(50);
/// The longest wait that a planned restart allows for.
const LONGEST: Span = Span::from_millis(3_000);
/// A client that leaves this shortly before its time is over has waited for it.
const AT_LIMIT: Span = Span::from_millis(20);

/// What the dispatcher knows of a remap rule.
#[derive(Clone)]
struct Rule {
    name: Rc<str>,
    write: bool,
    once: bool,
    /// The SLA time, and by what multiple of the txn's own sending time it grows.
    sla: (Span, f64),
}

struct Open {
    client: Rc<dyn Responder>,
    id: u64,
    rule: usize,
    ask: Rc<Request>,
    /// When its SLA time is over.
    wanted: Time,
    limit: Time,
    hops: u32,
}

struct Out {
    member: MemberId,
    source: Option<MemberId>,
    begun: Rc<Cell<bool>>,
    task: Option<Task<()>>,
    sent: Time,
    until: Time,
}

pub struct Dispatcher {
    gateway: Gateway,
    clock: Clock,
    tasks: Tasks,
    caches: Rc<Caches>,
    carriers: Vec<Rc<dyn Transport>>,
    /// What is told of a stop and asked for its sizes.
    services: Vec<Rc<dyn Service>>,
    /// Members that carriers reach, listed beside those of the bulletin.
    carried: Vec<ListedMember>,
    counters: Rc<Counters>,
    queue: (Sender<Event>, Receiver<Event>),
    /// Ends that no task reports: of hops never begun, or taken back.
    own: VecDeque<(TxnId, u32, ConnectionEnd)>,
    open: BTreeMap<TxnId, Open>,
    by_message: BTreeMap<(u64, u64), TxnId>,
    /// Open txns by the clients' own ids.
    by_req: BTreeSet<(u64, TxnId)>,
    out: BTreeMap<(TxnId, u32), Out>,
    next: TxnId,
    rules: Vec<Rule>,
    /// KB a second of one transfer to a client; zero where it is not told.
    pace: f64,
    max_hops: u32,
    most_open: usize,
    /// Bytes of the bodies of open writes, and their bound.
    held: usize,
    most_held: usize,
    most_wait: Span,
    stopped: Option<Time>,
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
            write: r.is_write,
            once: r.effect != Effect::Repeatable,
            sla: (r.sla, r.sla_size_factor),
        };
        let rules = config.names.rules.iter().zip(&set.rules).map(rule);
        let mut dispatcher = Dispatcher {
            rules: rules.collect(),
            pace: set.client_rate,
            max_hops: set.max_hops,
            most_open: config.max_open_txns,
            held: 0,
            most_held: config.memory_limit / 8,
            most_wait: config.max_time_limit,
            gateway: Gateway::new(set, config.seed, clock.now()),
            clock,
            tasks,
            caches,
            carriers: Vec::new(),
            services: Vec::new(),
            carried: Vec::new(),
            counters,
            queue,
            own: VecDeque::new(),
            open: BTreeMap::new(),
            by_message: BTreeMap::new(),
            by_req: BTreeSet::new(),
            out: BTreeMap::new(),
            next: 0,
            stopped: None,
        };
        for said in config.initial_events {
            dispatcher.news(said);
        }
        dispatcher
    }

    /// Adds a way to members of its own; they stay listed whatever the bulletin says.
    pub fn add(&mut self, carrier: Rc<dyn Transport>, members: Vec<ListedMember>) {
        self.services.push(carrier.clone());
        self.carriers.push(carrier);
        self.carried.extend(members.iter().cloned());
        self.news(DiscoveryEvent::Roster { whole: false, list: members });
    }

    pub fn add_service(&mut self, service: Rc<dyn Service>) {
        self.services.push(service);
    }

    /// Ends some time after `Stop`, with all answered.
    pub async fn run(mut self) {
        loop {
            let now = self.clock.now();
            self.pull(now);
            if let Some(at) = self.stopped {
                let end = at + self.most_wait.min(LONGEST) + STILL_COMING;
                if now + ANSWERED_BEFORE >= end {
                    self.abort_all(now);
                }
                // Requests cross the close of the connection they come on, and what crosses is still served: the
                // work goes on until every connection has ended.
                if now - at >= STILL_COMING {
                    self.services.iter().for_each(|b| b.close());
                }
                let quiet = self.open.is_empty() && self.counters.unwritten.get() == 0;
                let quiet = quiet && now - at >= STILL_COMING && self.services.iter().all(|b| b.is_closed());
                if quiet || now + LEAVING >= end {
                    self.clock.sleep(LEAVING).await;
                    return self.tell();
                }
            }
            let mut wake = self.gateway.next_wake();
            if self.stopped.is_some() {
                wake = wake.min(now + LEAVING);
            }
            if let Some(Ok(event)) = self.clock.by(wake, self.queue.1.recv()).await {
                self.event(event);
                while let Ok(event) = self.queue.1.try_recv() {
                    self.event(event);
                }
            }
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Request { client, id, method, request: ask, at } => {
                self.asked(client, id, &method, ask, at)
            }
            Event::HealthCheck { client, id } => client.ready(id, self.stopped.is_none()),
            Event::Cancelled { client, id } => self.left((client, id)),
            Event::Disconnected { client } => {
                let of_client = self.by_message.range((client, 0)..=(client, u64::MAX));
                let keys: Vec<_> = of_client.map(|(key, _)| *key).collect();
                keys.into_iter().for_each(|key| self.left(key));
            }
            Event::HopFinished { txn, hop, result: ended } => self.ended(txn, hop, ended),
            Event::Discovery(said) => self.news(said),
            Event::MemberAlive { member } => self.gateway.member_alive(self.clock.now(), &member),
            Event::DumpCounters => self.tell(),
            Event::Shutdown => {
                log::info!("told to stop, {} txns open", self.open.len());
                self.stopped.get_or_insert(self.clock.now());
                self.services.iter().for_each(|b| b.shutdown());
            }
        }
    }

    /// Writes the counters, with the size of every table that could grow with the day.
    fn tell(&self) {
        let own = [
            ("txns open", self.open.len()),
            ("txns by message", self.by_message.len()),
            ("txns by id", self.by_req.len()),
            ("hops out", self.out.len()),
            ("bytes of writes", self.held),
        ];
        let services = self.services.iter().flat_map(|b| b.table_sizes());
        let all = own.into_iter().chain(self.caches.sizes()).chain(services);
        let all = all.chain(self.gateway.table_sizes(self.clock.now()));
        *self.counters.sizes.borrow_mut() = all.collect();
        log::info!("{}", self.counters);
    }

    fn news(&mut self, said: DiscoveryEvent) {
        let now = self.clock.now();
        match said {
            DiscoveryEvent::Roster { whole, mut list } => {
                if whole {
                    list.extend(self.carried.iter().cloned());
                }
                let changed = self.caches.members(whole, &list);
                self.gateway.update_members(now, whole, list.into_iter().map(|l| l.member).collect());
                let by = |m: &MemberId| changed.contains(m);
                self.overtake(|_, out| by(&out.member) || out.source.as_ref().is_some_and(by));
            }
            DiscoveryEvent::Purge { names, issued_ms } => {
                // The end of its millisecond, lest a copy made in the same one passes for newer.
                let at = Time::from_micros(issued_ms.saturating_add(1).saturating_mul(1_000));
                self.gateway.purge(now, names.clone(), now - at);
                self.overtake(|ask, _| {
                    names.contains(object_hash(ask.object)) || names.contains(group_hash(ask.group.into()))
                });
            }
        }
    }

    /// Takes back hops that wait for a descriptor, a connection or a permit and that news has changed: what was true
    /// when a hop was ordered has to be true when its first byte is written.
    fn overtake(&mut self, hit: impl Fn(&Request, &Out) -> bool) {
        let open = |txn| self.open.get(&txn).map(|open: &Open| &*open.ask);
        let waits = self.out.iter().filter(|(_, out)| !out.begun.get());
        let hits = waits.filter(|(key, out)| open(key.0).is_some_and(|ask| hit(ask, out)));
        for (txn, hop) in hits.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.counters.add("waiting hops overtaken by news");
            self.take_back(txn, hop, ConnectionEnd::Overtaken);
        }
    }

    fn asked(&mut self, client: Rc<dyn Responder>, id: u64, method: &str, ask: Box<Request>, at: Time) {
        let Some(rule) = self.rules.iter().position(|r| *r.name == *method) else {
            self.counters.add("unknown methods");
            return client.invalid(id);
        };
        let write = self.rules[rule].write;
        // Guards caches from two txns under one id, and from bodies that nobody reads.
        let same = self.by_req.range((ask.request_number, 0)..=(ask.request_number, TxnId::MAX));
        let other = same.map(|(_, txn)| &self.open[txn].ask).any(|open| open.object != ask.object);
        if other || !write && !ask.body.is_empty() {
            self.counters.add("requests at odds with their method or id");
            return client.invalid(id);
        }
        // The bounds of the process itself: nothing has run, so that another try is harmless.
        if self.open.len() >= self.most_open || self.held + ask.body.len() > self.most_held {
            self.counters.add("requests over the open bound");
            return client.reject(id, None);
        }
        self.next += 1;
        let (txn, now) = (self.next, self.clock.now());
        // Nobody waits longer than the settings say: what claims to would only stay in the tables.
        let limit = at + Span::from_millis(ask.timeout_ms.into()).min(self.most_wait);
        let (object, group, part, size) = (ask.object, ask.group.into(), ask.part, ask.size_kb);
        let (left, oldest) = (limit - now, ask.max_age);
        let sending = ask.size_kb.filter(|_| self.pace > 0.0).map_or(0.0, |kb| kb / self.pace);
        let (sla, stretch) = self.rules[rule].sla;
        let wanted = at + sla + Span::from_secs_f64(sending * stretch);
        self.held += ask.body.len();
        self.by_message.insert((client.key(), id), txn);
        self.by_req.insert((ask.request_number, txn));
        self.open.insert(txn, Open { client, id, rule, ask: Rc::from(ask), wanted, limit, hops: 0 });
        self.gateway.submit(
            now,
            Txn {
                id: txn,
                rule,
                object,
                group,
                part,
                is_write: write,
                size,
                time_left: left,
                max_age: oldest,
            },
        );
    }

    /// Takes a txn off the table: from here on it can't be answered again.
    fn close(&mut self, txn: TxnId) -> Option<Open> {
        let open = self.open.remove(&txn)?;
        self.by_message.remove(&(open.client.key(), open.id));
        self.by_req.remove(&(open.ask.request_number, txn));
        self.held -= open.ask.body.len();
        Some(open)
    }

    /// Closes a txn that is not served, and counts and traces how it ended.
    fn give_up(&mut self, now: Time, txn: TxnId, counted: &'static str) -> Option<Open> {
        let open = self.close(txn)?;
        self.counters.add(counted);
        let left = (open.limit - now).as_micros();
        log::trace!("{counted}: txn {txn} after {} hops, {left} us left", open.hops);
        Some(open)
    }

    /// The client does not wait any more: what is out for it is given up.
    fn left(&mut self, key: (u64, u64)) {
        let Some(txn) = self.by_message.get(&key).copied() else { return };
        self.close(txn);
        self.gateway.client_left(txn);
        self.counters.add("txns left by their client");
        let now = self.clock.now();
        let hops: Vec<_> = self.out.range((txn, 0)..=(txn, u32::MAX)).map(|(k, o)| (k.1, o.until)).collect();
        for (hop, until) in hops {
            self.take_back(
                txn,
                hop,
                if now + AT_LIMIT >= until { ConnectionEnd::Late } else { ConnectionEnd::Withdrawn },
            );
        }
    }

    fn take_back(&mut self, txn: TxnId, hop: u32, end: ConnectionEnd) {
        let Some(out) = self.out.get_mut(&(txn, hop)) else { return };
        // One that has ended has its outcome in the queue already.
        if let Some(task) = out.task.take_if(|task| !task.is_finished()) {
            drop(task);
            self.counters.record_end(end);
            self.own.push_back((txn, hop, end));
        }
    }

    fn ended(&mut self, txn: TxnId, hop: u32, ended: HopResult) {
        let Some(out) = self.out.remove(&(txn, hop)) else { return };
        let Some(end) = ended.end.hop_status() else { return };
        let now = self.clock.now();
        if end == HopStatus::Completed
            && let Some(open) = self.close(txn)
        {
            self.counters.add("txns completed");
            open.client.serve(open.id, ended.body, open.limit);
        }
        let link = ended.stats.as_deref().and_then(|report| http::stat(report, "x1"));
        let first_byte = ended.waited.filter(|waited| *waited > Span::ZERO);
        // At the socket, and without the gateway's own waits: neither is the member's slowness.
        let took = ended.at.unwrap_or(now).saturating_sub(ended.local_wait) - out.sent;
        let (closed, note) = (!self.open.contains_key(&txn), ended.cache_status);
        log::trace!(
            "txn {txn} hop {hop} at {} ended {:?} {note:?} after {} us, link {link:?}, closed {closed}",
            out.member,
            ended.end,
            took.as_micros()
        );
        let load = LoadReport { link_load: link };
        self.gateway.record_outcome(
            now,
            Outcome {
                txn,
                hop,
                status: end,
                duration: took,
                answered: closed,
                cache_status: note,
                first_byte,
                load,
            },
        );
    }

    fn pull(&mut self, now: Time) {
        loop {
            while let Some(decision) = self.gateway.poll(now) {
                self.order(now, decision);
            }
            let Some((txn, hop, end)) = self.own.pop_front() else { return };
            self.ended(txn, hop, end.into());
        }
    }

    fn order(&mut self, now: Time, decision: Decision) {
        match decision {
            Decision::Hop { txn, member, fill, start_by: begin_by, deadline: limit } => {
                self.hop(now, txn, member, fill, [begin_by, limit]);
            }
            Decision::Cancel { txn, hop } => self.take_back(txn, hop, ConnectionEnd::Withdrawn),
            Decision::Reject { txn, retry_after: come_back } => {
                let Some(open) = self.give_up(now, txn, "txns rejected") else { return };
                open.client.reject(open.id, come_back);
            }
            Decision::Abort { txn } => {
                let Some(open) = self.give_up(now, txn, "txns aborted") else { return };
                open.client.abort(open.id);
            }
            // The bulletin is followed from the start.
            Decision::Subscribe => {}
        }
    }

    fn hop(
        &mut self,
        now: Time,
        txn: TxnId,
        member: MemberId,
        fill: Option<Fill>,
        [begin_by, limit]: [Time; 2],
    ) {
        let Some(open) = self.open.get_mut(&txn) else { return };
        let hop = open.hops;
        open.hops += 1;
        let until = limit.min(open.limit);
        let Rule { name: rule, write, once, .. } = self.rules[open.rule].clone();
        log::trace!(
            "txn {txn} hop {hop} to {member} by {rule}, filled from {:?}",
            fill.as_ref().map(|f| &*f.source)
        );
        let wanted = open.wanted;
        let (ask, begun) = (Rc::clone(&open.ask), Rc::<Cell<bool>>::default());
        let source = fill.as_ref().map(|fill| Arc::clone(&fill.source));
        let to = member.clone();
        let job = HopRequest {
            member: to,
            start_by: begin_by,
            started: Rc::clone(&begun),
            deadline: until,
            sla_deadline: wanted,
            rule,
            write,
            unrepeatable: once,
            request: ask,
            fill,
        };
        let mut task = None;
        if hop >= self.max_hops || until <= now {
            self.own.push_back((txn, hop, ConnectionEnd::LateUnsent));
        } else {
            task = Some(match self.carriers.iter().find(|c| c.reaches(&job.member)) {
                Some(carrier) => {
                    // What a carrier has taken over may cross at any time.
                    begun.set(true);
                    self.report(txn, hop, carrier.hop(job))
                }
                None => {
                    let caches = Rc::clone(&self.caches);
                    self.report(txn, hop, async move { caches.hop(job).await })
                }
            });
        }
        self.out.insert((txn, hop), Out { member, source, begun, task, sent: now, until });
    }

    fn report(&self, txn: TxnId, hop: u32, running: impl Future<Output = HopResult> + 'static) -> Task<()> {
        let queue = self.queue.0.clone();
        self.tasks.spawn(async move {
            let ended = running.await;
            // It fails only when the dispatcher has ended, and with it the process.
            _ = queue.try_send(Event::HopFinished { txn, hop, result: ended });
        })
    }

    /// The restart can't wait longer: what is still open gets an answer that promises nothing.
    fn abort_all(&mut self, now: Time) {
        for txn in self.open.keys().copied().collect::<Vec<_>>() {
            if let Some(open) = self.give_up(now, txn, "txns aborted at the stop") {
                self.gateway.client_left(txn);
                open.client.abort(open.id);
            }
        }
    }
}
