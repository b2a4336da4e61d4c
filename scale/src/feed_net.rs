//! An installation in simulated time: list services, hubs, sites of hollow gateways, the ways between them and what goes
//! wrong on these. Notes when each gateway acted on what was told; must never let a change that one missed go unseen.

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

/// Unix ms at the simulation's zero.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// What list services have to tell is looked at this often.
const DISCOVERY_POLL_INTERVAL: Span = Span::from_millis(10);
/// A host's pause before it connects to a list service again.
const RECONNECT_DELAY: Span = Span::from_millis(200);
const KEEPALIVE_INTERVAL: Span = Span::from_millis(1_000);
/// So many purges a second are followed to each gateway by their names; positions follow all.
const TRACKED_PURGES_PER_S: f64 = 8.0;
pub const REGIONS: usize = 11;
pub const HUBS: usize = 5;
/// Gateways of a site.
pub const GATEWAYS_PER_SITE: usize = 24;
const LOCAL_DELAY: Span = Span::from_millis(1);
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

/// A purge that is followed by its name.
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
    /// `None`: a hub.
    site: Option<usize>,
    name: String,
    connections: Vec<Option<Connection>>,
    reconnect_at: Vec<Time>,
    /// Followed purges from here on are not all done; those behind it that are.
    first_pending: usize,
    done: BTreeSet<usize>,
    /// Lines told to it, by stream; at a hub, what it holds to be done everywhere.
    reported: Vec<u64>,
    /// It has run without a break since this was measured.
    steady: bool,
}

#[derive(Default)]
pub struct Partitions {
    /// From and to everything outside.
    pub regions: BTreeSet<usize>,
}

pub struct Net {
    pub sim: Sim<HollowGateway>,
    pub shape: Shape,
    pub partitions: Rc<RefCell<Partitions>>,
    pub purges_per_s: f64,
    pub changes_per_s: f64,
    /// From a purge's line to its being acted on, at each gateway, in us.
    pub purge_delays: Histogram<u64>,
    /// The same of other changes.
    pub change_delays: Histogram<u64>,
    /// From a line to a hub's knowing that it is done everywhere.
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
        let places: Vec<HostState> = (0..HUBS + gateways)
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
        let cuts: Rc<RefCell<Partitions>> = Rc::default();
        let zones: Rc<[(usize, Option<usize>)]> = places.iter().map(|p| (p.region, p.site)).collect();
        let (c, z) = (Rc::clone(&cuts), Rc::clone(&zones));
        sim.link_down = Box::new(move |a, b| {
            let (a, b, c) = (z[a].0, z[b].0, c.borrow());
            a != b && (c.regions.contains(&a) || c.regions.contains(&b))
        });
        sim.delay = Box::new(move |a, b| if zones[a] == zones[b] { LOCAL_DELAY } else { REMOTE_DELAY });
        let hubs: Vec<Value> = (0..HUBS)
            .map(|h| {
                let pair = Ed25519KeyPair::from_seed_unchecked(&hub_seed(h)).expect("a seed");
                let public = hex(pair.public_key().as_ref());
                json!({"name": format!("hub{h}"), "address": address(h).to_string(), "public": public})
            })
            .collect();
        let streams: Vec<Value> = (0..REGIONS)
            .map(|r| json!({"name": format!("list{r}"), "address": format!("127.3.0.{}:80", r + 1)}))
            .collect();
        let now = sim.now;
        let mut net = Net {
            partitions: cuts,
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
            hosts: places,
            tracked: Vec::new(),
            active: BTreeSet::new(),
            next_event: now,
            next_discovery_poll: now,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x0066_6565_6400),
            feed_config: json!({"name": "sea", "streams": streams, "hubs": hubs}),
            measure_cpu: false,
            sim,
        };
        // What was before: a number of 0 says that nothing is known.
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
        let place = &self.hosts[i];
        let site = place.site?;
        let first = self.hosts.partition_point(|p| p.site < Some(site));
        let seeds_of: Vec<String> = (first..self.hosts.len())
            .take_while(|&j| self.hosts[j].site == Some(site))
            .take(3)
            .map(|j| address(j).to_string())
            .collect();
        let file = json!({
            "fleet": format!("site{site}"), "gateway": place.name, "listen": address(i).to_string(),
            "seeds": seeds_of, "keys": [{"id": 1, "secret": "17".repeat(32)}], "relays": {"on": false},
            "members": {"expected": self.shape.gateways.div_ceil(self.shape.sites)},
        });
        let file = Fleet::read(&file.to_string()).expect("a file that can be used");
        Some(Node::new(&file, seeds[0], seeds[1], self.sim.local_time(i), 0, &[]).expect("a node"))
    }

    /// Starts one; its configuration knows of nothing.
    pub fn start(&mut self, i: usize) {
        let seeds = [self.rng.random(), self.rng.random()];
        let place = &self.hosts[i];
        let mut file = self.feed_config.clone();
        file["site"] = json!(place.site.map_or("control".to_owned(), |s| format!("site{s}")));
        if place.site.is_none() {
            let sites: Vec<String> = (0..self.shape.sites).map(|s| format!("site{s}")).collect();
            file["control"] = json!({"name": place.name, "secret": hex(&hub_seed(i)), "sites": sites});
        }
        let file: kelpcart_feed::settings::Feed = serde_json::from_value(file).expect("a file of the feed");
        let keys = [Key { id: 1, secret: "17".repeat(32) }];
        let now = self.sim.local_time(i);
        let feed = Feed::new(&file, &keys, &place.name, seeds[0], seeds[1], now).expect("a feed");
        let mut hollow = HollowGateway::new(now, self.node(i, seeds), feed);
        hollow.measure_cpu = self.measure_cpu;
        let lasts: Vec<u64> = self.services.iter().map(|s| s.events.len() as u64).collect();
        let followed = self.tracked.len();
        let place = &mut self.hosts[i];
        place.connections.fill(None);
        place.reconnect_at.fill(self.sim.now);
        (place.first_pending, place.reported, place.steady) = (followed, lasts, false);
        place.done.clear();
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

    /// What was spent so far does not count; processor time is noted from now on.
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

    /// Whether one has run since the beginning.
    pub fn steady(&self, i: usize) -> bool {
        self.hosts[i].steady && self.sim.actor(i).is_some()
    }

    fn now_ms(&self) -> u64 {
        EPOCH_MS + self.sim.now.as_micros() / 1_000
    }

    fn publish(&mut self, stream: usize, purge: bool) {
        let no = self.services[stream].events.len() as u64 + 1;
        let line = if purge {
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
        let event = Event { at: self.sim.now, line: line.to_string().into_bytes(), is_purge: purge };
        self.services[stream].events.push(event);
    }

    /// One has done something: what its host was told is noted, and the rules hold.
    fn after_step(&mut self, i: usize) {
        let now = self.sim.now;
        let checks = self.sim.steps.is_multiple_of(self.check_every);
        let Some(hollow) = self.sim.slots[i].actor.as_mut() else { return };
        let place = &mut self.hosts[i];
        if checks {
            let sound = hollow.feed.check_invariants();
            sound.unwrap_or_else(|why| panic!("{}: {why}", place.name));
        }
        if (0..REGIONS).any(|s| hollow.feed.wants_connection(s) || place.connections[s].is_some()) {
            self.active.insert(i);
        }
        for told in hollow.deliveries.drain(..) {
            match told {
                Delivery::Purge { names, issued_ms } => {
                    for n in place.first_pending..self.tracked.len() {
                        let follow = &self.tracked[n];
                        if issued_ms >= follow.issued_ms
                            && names.contains(follow.hash)
                            && place.done.insert(n)
                        {
                            self.purge_delays.saturating_record((now - follow.at).as_micros());
                        }
                    }
                    while place.done.remove(&place.first_pending) {
                        place.first_pending += 1;
                    }
                }
                Delivery::Line { stream, no } => {
                    let event = &self.services[stream].events[no as usize - 1];
                    assert!(!event.is_purge, "{} was told a purge as a line", place.name);
                    // One that has just started is told of what was before, too.
                    if no > place.reported[stream] {
                        self.change_delays.saturating_record((now - event.at).as_micros());
                        place.reported[stream] = no;
                    }
                }
            }
        }
        if place.site.is_none() {
            for stream in 0..REGIONS {
                let done = hollow.feed.watermarks(stream).everywhere;
                for no in place.reported[stream]..done {
                    let at = self.services[stream].events[no as usize].at;
                    self.confirmation_delays.saturating_record((now - at).as_micros());
                }
                place.reported[stream] = place.reported[stream].max(done);
            }
        }
    }

    /// What list services tell those who are connected, and who connects.
    fn update_connections(&mut self) {
        for i in self.active.clone() {
            let Some(hollow) = self.sim.actor(i) else {
                self.active.remove(&i);
                continue;
            };
            if self.sim.slots[i].stopped {
                continue;
            }
            let asked: Vec<bool> = (0..REGIONS).map(|s| hollow.feed.wants_connection(s)).collect();
            if !asked.contains(&true) && self.hosts[i].connections.iter().all(Option::is_none) {
                self.active.remove(&i);
                continue;
            }
            for (stream, asks) in asked.into_iter().enumerate() {
                self.update_connection(i, stream, asks);
                self.deliver_events(i, stream);
            }
            self.after_step(i);
        }
    }

    fn can_reach(&self, i: usize, stream: usize) -> bool {
        let (own, cuts) = (self.hosts[i].region, self.partitions.borrow());
        own == stream || !(cuts.regions.contains(&own) || cuts.regions.contains(&stream))
    }

    fn update_connection(&mut self, i: usize, stream: usize, asks: bool) {
        let (now, reach) = (self.sim.now, self.can_reach(i, stream));
        let place = &mut self.hosts[i];
        let mut ended = false;
        match place.connections[stream] {
            None if asks && place.reconnect_at[stream] <= now => {
                self.attempts += 1;
                place.reconnect_at[stream] = now + RECONNECT_DELAY;
                if reach {
                    self.connections += 1;
                    let told = self.sim.actor(i).map_or(0, |h| h.feed.resume_after(stream)) as usize;
                    place.connections[stream] = Some(Connection { sent: told, next_keepalive: now });
                } else {
                    ended = true;
                }
            }
            Some(_) if !asks || !reach => {
                place.connections[stream] = None;
                ended = true;
            }
            _ => {}
        }
        if ended {
            self.sim.with_actor(i, |hollow, now| {
                hollow.with_feed(now, |feed| feed.handle_disconnect(now, stream))
            });
        }
    }

    fn deliver_events(&mut self, i: usize, stream: usize) {
        let Some(Connection { sent: told, next_keepalive: pulse }) = self.hosts[i].connections[stream] else {
            return;
        };
        let now = self.sim.now;
        let way = if self.hosts[i].region == stream { LOCAL_DELAY } else { REMOTE_DELAY };
        let events = &self.services[stream].events;
        let come = told + events[told..].iter().take_while(|e| e.at + way <= now).count();
        if come == told && now < pulse {
            return;
        }
        let lines = &events[told..come];
        let whole = self.sim.with_actor(i, |hollow, own| {
            hollow.with_feed(own, |feed| {
                for event in lines {
                    feed.handle_line(own, stream, &event.line).expect("a line that fits");
                }
                now < pulse || feed.handle_last(own, stream, come as u64)
            })
        });
        assert_eq!(whole, Some(true), "{} was told all of {stream}", self.hosts[i].name);
        let pulse = if now >= pulse { now + KEEPALIVE_INTERVAL } else { pulse };
        self.hosts[i].connections[stream] = Some(Connection { sent: come, next_keepalive: pulse });
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
                // Between two events of a Poisson stream.
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

    /// Each live gateway knows all numbers of all streams, and has done each followed purge and each other change.
    pub fn check_delivered(&self) -> Result<(), String> {
        let lasts: Vec<u64> = self.services.iter().map(|s| s.events.len() as u64).collect();
        for (i, hollow) in self.sim.live() {
            let place = &self.hosts[i];
            for (stream, last) in lasts.iter().enumerate() {
                let at = hollow.feed.position(stream);
                if at != *last {
                    return Err(format!("{} is at {at} of {last} in stream {stream}", place.name));
                }
                let change = self.services[stream].events.iter().rposition(|e| !e.is_purge);
                if place.site.is_some() && change.is_some_and(|n| place.reported[stream] < n as u64 + 1) {
                    return Err(format!("{} was not told the last change of stream {stream}", place.name));
                }
            }
            if place.site.is_some() && place.first_pending != self.tracked.len() {
                return Err(format!("{} has not done a purge that was followed", place.name));
            }
        }
        Ok(())
    }

    /// Whether a hub holds all of it to be done everywhere.
    pub fn all_confirmed(&self) -> bool {
        let lasts = self.services.iter().map(|s| s.events.len() as u64).enumerate();
        let known = |h: usize| {
            let feed = self.sim.actor(h).map(|hollow| &hollow.feed);
            feed.is_some_and(|f| lasts.clone().all(|(s, last)| f.watermarks(s).everywhere == last))
        };
        self.hubs().any(known)
    }
}
