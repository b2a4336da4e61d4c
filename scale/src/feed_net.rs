//! Simulated installation: discovery services, hubs, sites of hollow gateways, and the network between them with injected
//! faults. Records when each gateway applies each change.
//!
//! Invariant: a change that a live gateway missed is always reported.

use crate::fleet_net::delay_histogram;
use crate::hollow::{Delivery, HollowGateway};
use crate::sim::{Sim, Usage};
use hdrhistogram::Histogram;
use kelpcart::hash_prefix::object_hash;
use kelpcart::{Span, Time};
use kelpcart_feed::Feed;
use kelpcart_feed::settings::Key;
use kelpcart_fleet::node::Node;
use kelpcart_fleet::settings::Fleet;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Unix time in ms at simulated time zero.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Interval at which connections to discovery services are processed.
const DISCOVERY_POLL_INTERVAL: Span = Span::from_millis(10);
/// Delay before a host reconnects to a discovery service.
const RECONNECT_DELAY: Span = Span::from_millis(200);
/// Interval at which a discovery service announces its latest sequence number on each connection.
const KEEPALIVE_INTERVAL: Span = Span::from_millis(1_000);
/// Approximate number of purges per second whose application is tracked at each gateway by their hash. Stream positions
/// cover all purges.
const TRACKED_PURGES_PER_S: f64 = 8.0;
pub const REGIONS: usize = 11;
pub const HUBS: usize = 5;
pub const GATEWAYS_PER_SITE: usize = 24;
/// One-way delay within a site, and from a discovery service to hosts of its region.
const LOCAL_DELAY: Span = Span::from_millis(1);
/// One-way delay between sites, and from a discovery service to other regions.
const REMOTE_DELAY: Span = Span::from_millis(50);

#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub gateways: usize,
    pub sites: usize,
}

impl Shape {
    pub fn of(gateways: usize) -> Shape {
        Shape { gateways, sites: gateways.div_ceil(GATEWAYS_PER_SITE) }
    }
}

struct Event {
    at: Time,
    line: Vec<u8>,
    is_purge: bool,
}

#[derive(Default)]
struct DiscoveryService {
    events: Vec<Event>,
}

/// A purge whose application is tracked at each gateway by its hash.
struct TrackedPurge {
    at: Time,
    hash: u64,
    issued_ms: u64,
}

#[derive(Clone, Copy)]
struct Connection {
    sent: usize,
    next_keepalive: Time,
}

struct HostState {
    region: usize,
    /// `None` for a hub.
    site: Option<usize>,
    name: String,
    connections: Vec<Option<Connection>>,
    reconnect_at: Vec<Time>,
    /// Index of the first tracked purge that has not been applied.
    first_pending: usize,
    /// Later tracked purges that have been applied.
    done: BTreeSet<usize>,
    /// Per stream, the last change delivered to the gateway; at a hub, the watermark of changes applied everywhere.
    reported: Vec<u64>,
    /// The host has run without interruption since the measurement started.
    steady: bool,
}

#[derive(Default)]
pub struct Partitions {
    /// Regions that are cut off from all others.
    pub regions: BTreeSet<usize>,
}

pub struct Net {
    pub sim: Sim<HollowGateway>,
    pub shape: Shape,
    pub partitions: Rc<RefCell<Partitions>>,
    pub purges_per_s: f64,
    pub changes_per_s: f64,
    /// Time from the publication of a purge to its application, at each gateway, in us.
    pub purge_delays: Histogram<u64>,
    /// The same for other changes.
    pub change_delays: Histogram<u64>,
    /// Time from the publication of a change to a hub's confirmation that it is applied everywhere, in us.
    pub confirmation_delays: Histogram<u64>,
    pub connections: u64,
    pub attempts: u64,
    pub check_every: u64,
    services: Vec<DiscoveryService>,
    hosts: Vec<HostState>,
    tracked: Vec<TrackedPurge>,
    active: BTreeSet<usize>,
    next_event: Time,
    next_discovery_poll: Time,
    rng: Pcg64Mcg,
    feed_config: Value,
    measure_cpu: bool,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn hub_seed(h: usize) -> [u8; 32] {
    [h as u8 + 1; 32]
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, (i / 200) as u8, (i % 200) as u8 + 1], 7_700))
}

impl Net {
    pub fn new(shape: Shape, seed: u64) -> Net {
        let Shape { gateways, sites } = shape;
        let mut sim: Sim<HollowGateway> = Sim::new(seed);
        let site_of = |i: usize| i.checked_sub(HUBS).map(|g| g * sites / gateways);
        let hosts: Vec<HostState> = (0..HUBS + gateways)
            .map(|i| {
                sim.add(address(i), None);
                let site = site_of(i);
                HostState {
                    region: site.map_or(i * REGIONS / HUBS, |s| s * REGIONS / sites),
                    site,
                    name: site.map_or(format!("hub{i}"), |_| format!("g{i}")),
                    connections: vec![None; REGIONS],
                    reconnect_at: vec![sim.now; REGIONS],
                    first_pending: 0,
                    done: BTreeSet::new(),
                    reported: vec![0; REGIONS],
                    steady: false,
                }
            })
            .collect();
        let partitions: Rc<RefCell<Partitions>> = Rc::default();
        let zones: Rc<[(usize, Option<usize>)]> = hosts.iter().map(|p| (p.region, p.site)).collect();
        let (c, z) = (Rc::clone(&partitions), Rc::clone(&zones));
        sim.link_down = Box::new(move |a, b| {
            let (a, b, c) = (z[a].0, z[b].0, c.borrow());
            a != b && (c.regions.contains(&a) || c.regions.contains(&b))
        });
        sim.delay = Box::new(move |a, b| if zones[a] == zones[b] { LOCAL_DELAY } else { REMOTE_DELAY });
        let hubs: Vec<Value> = (0..HUBS)
            .map(|h| {
                let pair = Ed25519KeyPair::from_seed_unchecked(&hub_seed(h)).expect("valid seed");
                let public = hex(pair.public_key().as_ref());
                json!({"name": format!("hub{h}"), "address": address(h).to_string(), "public": public})
            })
            .collect();
        let streams: Vec<Value> = (0..REGIONS)
            .map(|r| json!({"name": format!("list{r}"), "address": format!("127.3.0.{}:80", r + 1)}))
            .collect();
        let now = sim.now;
        let mut net = Net {
            partitions,
            shape,
            purges_per_s: 0.0,
            changes_per_s: 0.0,
            purge_delays: delay_histogram(),
            change_delays: delay_histogram(),
            confirmation_delays: delay_histogram(),
            connections: 0,
            attempts: 0,
            check_every: 4_001,
            services: (0..REGIONS).map(|_| DiscoveryService::default()).collect(),
            hosts,
            tracked: Vec::new(),
            active: BTreeSet::new(),
            next_event: now,
            next_discovery_poll: now,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x0066_6565_6400),
            feed_config: json!({"name": "sea", "streams": streams, "hubs": hubs}),
            measure_cpu: false,
            sim,
        };
        // Initial events: a sequence number of 0 would mean that the state is unknown.
        (0..3 * REGIONS).for_each(|n| net.publish(n % REGIONS, true));
        net
    }

    pub fn hubs(&self) -> std::ops::Range<usize> {
        0..HUBS
    }

    pub fn gateways(&self) -> std::ops::Range<usize> {
        HUBS..self.hosts.len()
    }

    pub fn region(&self, i: usize) -> usize {
        self.hosts[i].region
    }

    fn node(&self, i: usize, seeds: [u64; 2]) -> Option<Node> {
        let host = &self.hosts[i];
        let site = host.site?;
        let first = self.hosts.partition_point(|p| p.site < Some(site));
        let seeds_of: Vec<String> = (first..self.hosts.len())
            .take_while(|&j| self.hosts[j].site == Some(site))
            .take(3)
            .map(|j| address(j).to_string())
            .collect();
        let file = json!({
            "fleet": format!("site{site}"), "gateway": host.name, "listen": address(i).to_string(),
            "seeds": seeds_of, "keys": [{"id": 1, "secret": "17".repeat(32)}], "relays": {"on": false},
            "members": {"expected": self.shape.gateways.div_ceil(self.shape.sites)},
        });
        let file = Fleet::read(&file.to_string()).expect("valid settings");
        Some(Node::new(&file, seeds[0], seeds[1], self.sim.local_time(i), 0, &[]).expect("valid node"))
    }

    /// Starts a host with an initial state that knows no events.
    pub fn start(&mut self, i: usize) {
        let seeds = [self.rng.random(), self.rng.random()];
        let host = &self.hosts[i];
        let mut file = self.feed_config.clone();
        file["site"] = json!(host.site.map_or("control".to_owned(), |s| format!("site{s}")));
        if host.site.is_none() {
            let sites: Vec<String> = (0..self.shape.sites).map(|s| format!("site{s}")).collect();
            file["control"] = json!({"name": host.name, "secret": hex(&hub_seed(i)), "sites": sites});
        }
        let file: kelpcart_feed::settings::Feed = serde_json::from_value(file).expect("valid feed settings");
        let keys = [Key { id: 1, secret: "17".repeat(32) }];
        let now = self.sim.local_time(i);
        let feed = Feed::new(&file, &keys, &host.name, seeds[0], seeds[1], now).expect("valid feed");
        let mut hollow = HollowGateway::new(now, self.node(i, seeds), feed);
        hollow.measure_cpu = self.measure_cpu;
        let lasts: Vec<u64> = self.services.iter().map(|s| s.events.len() as u64).collect();
        let tracked = self.tracked.len();
        let host = &mut self.hosts[i];
        host.connections.fill(None);
        host.reconnect_at.fill(self.sim.now);
        (host.first_pending, host.reported, host.steady) = (tracked, lasts, false);
        host.done.clear();
        self.sim.set_actor(i, Some(hollow));
        self.after_step(i);
    }

    pub fn start_all(&mut self) {
        (0..self.hosts.len()).for_each(|i| self.start(i));
    }

    pub fn kill(&mut self, i: usize) {
        self.sim.set_actor(i, None);
        self.hosts[i].connections.fill(None);
    }

    /// Starts a measurement: resets usage and delays, and records processor time from now on.
    pub fn start_measurement(&mut self) {
        self.sim.reset_usage();
        self.sim.measure_cpu = true;
        self.measure_cpu = true;
        for slot in &mut self.sim.slots {
            if let Some(hollow) = &mut slot.actor {
                hollow.usage = Usage::default();
                hollow.measure_cpu = true;
            }
        }
        self.hosts.iter_mut().for_each(|p| p.steady = true);
        self.purge_delays.reset();
        self.change_delays.reset();
        self.confirmation_delays.reset();
        (self.attempts, self.connections) = (0, 0);
    }

    /// Whether a host has run without interruption since the measurement started.
    pub fn steady(&self, i: usize) -> bool {
        self.hosts[i].steady && self.sim.actor(i).is_some()
    }

    fn now_ms(&self) -> u64 {
        EPOCH_MS + self.sim.now.as_micros() / 1_000
    }

    fn publish(&mut self, stream: usize, is_purge: bool) {
        let no = self.services[stream].events.len() as u64 + 1;
        let line = if is_purge {
            let (object, issued_ms): (u64, u64) = (self.rng.random(), self.now_ms());
            if self
                .rng
                .random_bool((TRACKED_PURGES_PER_S / self.purges_per_s.max(TRACKED_PURGES_PER_S)).min(1.0))
            {
                self.tracked.push(TrackedPurge { at: self.sim.now, hash: object_hash(object), issued_ms });
            }
            json!({"no": no, "recall": {"item": format!("{object:016x}"), "issued": issued_ms}})
        } else {
            let cache = json!({"name": format!("c{}", no % 1_100), "address": "192.0.2.77:8080",
                "zone": "hub", "type": "box", "status": "up"});
            json!({"no": no, "roster": {"index": stream, "snapshot": false, "endpoints": [cache]}})
        };
        let event = Event { at: self.sim.now, line: line.to_string().into_bytes(), is_purge };
        self.services[stream].events.push(event);
    }

    /// Records what was delivered to a host in a step and checks its invariants.
    fn after_step(&mut self, i: usize) {
        let now = self.sim.now;
        let checks = self.sim.steps.is_multiple_of(self.check_every);
        let Some(hollow) = self.sim.slots[i].actor.as_mut() else { return };
        let host = &mut self.hosts[i];
        if checks {
            let result = hollow.feed.check_invariants();
            result.unwrap_or_else(|why| panic!("{}: {why}", host.name));
        }
        if (0..REGIONS).any(|s| hollow.feed.wants_connection(s) || host.connections[s].is_some()) {
            self.active.insert(i);
        }
        for delivery in hollow.deliveries.drain(..) {
            match delivery {
                Delivery::Purge { names, issued_ms } => {
                    for n in host.first_pending..self.tracked.len() {
                        let purge = &self.tracked[n];
                        if issued_ms >= purge.issued_ms && names.contains(purge.hash) && host.done.insert(n) {
                            self.purge_delays.saturating_record((now - purge.at).as_micros());
                        }
                    }
                    while host.done.remove(&host.first_pending) {
                        host.first_pending += 1;
                    }
                }
                Delivery::Line { stream, no } => {
                    let event = &self.services[stream].events[no as usize - 1];
                    assert!(!event.is_purge, "{} received a purge as a line", host.name);
                    // A host that has just started also receives earlier changes, which are not counted.
                    if no > host.reported[stream] {
                        self.change_delays.saturating_record((now - event.at).as_micros());
                        host.reported[stream] = no;
                    }
                }
            }
        }
        if host.site.is_none() {
            for stream in 0..REGIONS {
                let done = hollow.feed.watermarks(stream).everywhere;
                for no in host.reported[stream]..done {
                    let at = self.services[stream].events[no as usize].at;
                    self.confirmation_delays.saturating_record((now - at).as_micros());
                }
                host.reported[stream] = host.reported[stream].max(done);
            }
        }
    }

    /// Opens and closes connections to discovery services and delivers events on them.
    fn update_connections(&mut self) {
        for i in self.active.clone() {
            let Some(hollow) = self.sim.actor(i) else {
                self.active.remove(&i);
                continue;
            };
            if self.sim.slots[i].stopped {
                continue;
            }
            let wanted: Vec<bool> = (0..REGIONS).map(|s| hollow.feed.wants_connection(s)).collect();
            if !wanted.contains(&true) && self.hosts[i].connections.iter().all(Option::is_none) {
                self.active.remove(&i);
                continue;
            }
            for (stream, wants) in wanted.into_iter().enumerate() {
                self.update_connection(i, stream, wants);
                self.deliver_events(i, stream);
            }
            self.after_step(i);
        }
    }

    fn can_reach(&self, i: usize, stream: usize) -> bool {
        let (local, partitions) = (self.hosts[i].region, self.partitions.borrow());
        local == stream || !(partitions.regions.contains(&local) || partitions.regions.contains(&stream))
    }

    fn update_connection(&mut self, i: usize, stream: usize, wants: bool) {
        let (now, reachable) = (self.sim.now, self.can_reach(i, stream));
        let host = &mut self.hosts[i];
        let mut closed = false;
        match host.connections[stream] {
            None if wants && host.reconnect_at[stream] <= now => {
                self.attempts += 1;
                host.reconnect_at[stream] = now + RECONNECT_DELAY;
                if reachable {
                    self.connections += 1;
                    let sent = self.sim.actor(i).map_or(0, |h| h.feed.resume_after(stream)) as usize;
                    host.connections[stream] = Some(Connection { sent, next_keepalive: now });
                } else {
                    closed = true;
                }
            }
            Some(_) if !wants || !reachable => {
                host.connections[stream] = None;
                closed = true;
            }
            _ => {}
        }
        if closed {
            self.sim.with_actor(i, |hollow, now| {
                hollow.with_feed(now, |feed| feed.handle_disconnect(now, stream))
            });
        }
    }

    fn deliver_events(&mut self, i: usize, stream: usize) {
        let Some(Connection { sent, next_keepalive }) = self.hosts[i].connections[stream] else {
            return;
        };
        let now = self.sim.now;
        let delay = if self.hosts[i].region == stream { LOCAL_DELAY } else { REMOTE_DELAY };
        let events = &self.services[stream].events;
        let deliverable = sent + events[sent..].iter().take_while(|e| e.at + delay <= now).count();
        if deliverable == sent && now < next_keepalive {
            return;
        }
        let lines = &events[sent..deliverable];
        let accepted = self.sim.with_actor(i, |hollow, local| {
            hollow.with_feed(local, |feed| {
                for event in lines {
                    feed.handle_line(local, stream, &event.line).expect("valid line");
                }
                now < next_keepalive || feed.handle_last(local, stream, deliverable as u64)
            })
        });
        assert_eq!(
            accepted,
            Some(true),
            "{} rejected the last sequence number of stream {stream}",
            self.hosts[i].name
        );
        let next_keepalive = if now >= next_keepalive { now + KEEPALIVE_INTERVAL } else { next_keepalive };
        self.hosts[i].connections[stream] = Some(Connection { sent: deliverable, next_keepalive });
    }

    pub fn run_for(&mut self, span: Span) {
        let end = self.sim.now + span;
        loop {
            let all = self.purges_per_s + self.changes_per_s;
            let event = if all > 0.0 { self.next_event } else { end };
            let until = end.min(self.next_discovery_poll).min(event).max(self.sim.now);
            while let Some(i) = self.sim.step(until) {
                self.after_step(i);
            }
            if self.sim.now >= self.next_discovery_poll {
                self.next_discovery_poll = self.sim.now + DISCOVERY_POLL_INTERVAL;
                self.update_connections();
            }
            if all > 0.0 && self.sim.now >= self.next_event {
                // Exponentially distributed interval of a Poisson process.
                let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / all;
                self.next_event = self.next_event.max(self.sim.now) + Span::from_secs_f64(gap);
                let stream = self.rng.random_range(0..REGIONS);
                let purge = self.rng.random_range(0.0..all) < self.purges_per_s;
                self.publish(stream, purge);
            }
            if self.sim.now >= end {
                return;
            }
        }
    }

    /// Checks that every live gateway is at the last position of every stream and has applied all tracked purges and all
    /// other changes.
    pub fn check_delivered(&self) -> Result<(), String> {
        let lasts: Vec<u64> = self.services.iter().map(|s| s.events.len() as u64).collect();
        for (i, hollow) in self.sim.live() {
            let host = &self.hosts[i];
            for (stream, last) in lasts.iter().enumerate() {
                let at = hollow.feed.position(stream);
                if at != *last {
                    return Err(format!("{} is at {at} of {last} in stream {stream}", host.name));
                }
                let change = self.services[stream].events.iter().rposition(|e| !e.is_purge);
                if host.site.is_some() && change.is_some_and(|n| host.reported[stream] < n as u64 + 1) {
                    return Err(format!("{} has not received the last change of stream {stream}", host.name));
                }
            }
            if host.site.is_some() && host.first_pending != self.tracked.len() {
                return Err(format!("{} has not applied a tracked purge", host.name));
            }
        }
        Ok(())
    }

    /// Whether any hub has confirmed that all changes are applied everywhere.
    pub fn all_confirmed(&self) -> bool {
        let lasts = self.services.iter().map(|s| s.events.len() as u64).enumerate();
        let has_confirmed = |h: usize| {
            let feed = self.sim.actor(h).map(|hollow| &hollow.feed);
            feed.is_some_and(|f| lasts.clone().all(|(s, last)| f.watermarks(s).everywhere == last))
        };
        self.hubs().any(has_confirmed)
    }
}
