//! A simulated installation: hubs, sites of gateways, list services that can fail, membership as an oracle with a
//! delay, and faults between all of them; and a plain reference model of what each gateway must have done. Invariants
//! are checked after every step. All randomness comes from one seed.
#![allow(dead_code, reason = "each test file uses its part")]

use kelpcart::hash_prefix::{PrefixSet, group_hash, object_hash};
use kelpcart::{Span, Time};
use kelpcart_feed::seal::{Keys, MAX_DATAGRAM_BYTES};
use kelpcart_feed::settings::{self, Key};
use kelpcart_feed::wire::{Packet, Payload};
use kelpcart_feed::{Feed, Output};
use kelpcart_scale::sim::{Actor, Sim};
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Unix ms at the simulation's zero.
pub const EPOCH_MS: u64 = 1_700_000_000_000;
/// Purges have an effect for this long: caches drop older copies by themselves.
pub const RECENT_WINDOW: Span = Span::from_millis(30_000);
/// Time after which the other members know that a member is dead or unreachable.
const FAILURE_DETECTION: Span = Span::from_millis(3_000);
const LIST_POLL_INTERVAL: Span = Span::from_millis(10);

pub fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

pub fn hub_seed(h: usize) -> [u8; 32] {
    [h as u8 + 1; 32]
}

pub fn key(id: u32, byte: &str) -> Key {
    Key { id, secret: byte.repeat(32) }
}

#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub regions: usize,
    /// Per region.
    pub sites: usize,
    /// Per site.
    pub gateways: usize,
    pub hubs: usize,
}

pub const SMALL: Shape = Shape { regions: 3, sites: 2, gateways: 5, hubs: 2 };

pub enum EventKind {
    Purge { name: u64, issued_ms: u64 },
    Other,
}

pub struct Event {
    pub published_at: Time,
    pub kind: EventKind,
    pub line: Vec<u8>,
}

/// A list service.
pub struct Service {
    pub events: Vec<Event>,
    pub up: bool,
}

pub type Rewrite = fn(&[u8]) -> Vec<u8>;

/// Host of a core: its datagrams and other outputs.
pub struct Host {
    pub feed: Feed,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    outputs: VecDeque<Output>,
    recording: Rc<RefCell<Recording>>,
    own: SocketAddr,
    /// Modifies outgoing datagrams.
    pub rewrite: Option<Rewrite>,
}

/// Sent datagrams, recorded for replay.
#[derive(Default)]
pub struct Recording {
    pub enabled: bool,
    pub datagrams: Vec<(SocketAddr, SocketAddr, Vec<u8>)>,
}

impl Host {
    fn drain(&mut self) {
        while let Some(out) = self.feed.poll() {
            match out {
                Output::Datagram(to, bytes) => {
                    let bytes = if let Some(rewrite) = self.rewrite { rewrite(&bytes) } else { bytes };
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
                    let mut recording = self.recording.borrow_mut();
                    if recording.enabled && recording.datagrams.len() < 20_000 {
                        recording.datagrams.push((self.own, to, bytes.clone()));
                    }
                    self.datagrams.push_back((to, bytes));
                }
                other => self.outputs.push_back(other),
            }
        }
    }
}

impl Actor for Host {
    fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.feed.handle_datagram(now, from, bytes);
    }

    fn tick(&mut self, now: Time) {
        self.feed.tick(now);
    }

    fn next_wake(&self, now: Time) -> Time {
        self.feed.next_wake(now)
    }

    fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.drain();
        self.datagrams.pop_front()
    }
}

/// What a gateway must have done since its start.
#[derive(Default)]
pub struct Expected {
    /// Counts events published since it became a member; before, it was not running or considered dead by its site.
    pub since: Time,
    /// Events published and not yet applied, by stream.
    pub pending: Vec<BTreeSet<u64>>,
    /// Recent purges from before the first position of a gateway that started without one: it requests them.
    pub recent_missing: Vec<BTreeSet<u64>>,
    positions: Vec<u64>,
    lines: Vec<u64>,
    /// Counts of purges applied, of purges of everything, and of their prefixes.
    pub purges: u64,
    pub purges_of_all: u64,
    pub names: u64,
    pub least_bits: u8,
}

#[derive(Clone, Copy)]
struct Link {
    sent: u64,
    next_heartbeat: Time,
}

pub struct Node {
    pub name: String,
    /// `None`: a hub.
    pub site: Option<usize>,
    pub region: usize,
    pub file: settings::Feed,
    pub keys: Vec<Key>,
    pub expected: Expected,
    links: Vec<Option<Link>>,
    next_attempt: Vec<Time>,
    pub attempts: u64,
    /// When the other members will consider it dead, and whether they consider it live.
    fails_at: Option<Time>,
    is_member: bool,
    known_members: BTreeSet<usize>,
}

#[derive(Default)]
pub struct Cuts {
    /// From and to everything outside.
    pub regions: BTreeSet<usize>,
    pub sites: BTreeSet<usize>,
    /// One way, from region to region.
    pub one_way: BTreeSet<(usize, usize)>,
    /// One way, from node to node.
    pub pairs: BTreeSet<(usize, usize)>,
    /// Gateways that can neither send nor receive.
    pub isolated: BTreeSet<usize>,
    /// Hosts without a path to any list service.
    pub without_lists: BTreeSet<usize>,
}

pub struct Simulation {
    pub shape: Shape,
    pub sim: Sim<Host>,
    pub nodes: Vec<Node>,
    pub services: Vec<Service>,
    pub cuts: Rc<RefCell<Cuts>>,
    pub recording: Rc<RefCell<Recording>>,
    pub rng: Pcg64Mcg,
    /// Purges per second, over all streams.
    pub purges_per_s: f64,
    /// Other events per second.
    pub other_events_per_s: f64,
    next_event: Time,
    next_list_poll: Time,
    /// Delay of each event at each gateway, from publication until it is applied, in ms.
    pub delays_ms: Vec<u64>,
    /// Whether watermarks are checked against what the gateways have.
    pub checks_watermarks: bool,
    pub steps: u64,
    /// Since when no fault is active, and how long after that everything must be in order.
    healthy_since: Option<Time>,
    pub settle_time: Span,
    pub catch_up_time: Span,
    locations: Rc<Vec<(usize, Option<usize>)>>,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, (i / 200) as u8, (i % 200) as u8 + 1], 7_700))
}

impl Simulation {
    pub fn new(shape: Shape, seed: u64) -> Simulation {
        Simulation::with_files(shape, seed, |_, _| ())
    }

    /// `change` edits the settings of each host, by its index.
    pub fn with_files(shape: Shape, seed: u64, change: impl Fn(usize, &mut Value)) -> Simulation {
        let Shape { regions, sites, gateways, hubs } = shape;
        let mut locations: Vec<(usize, Option<usize>)> = (0..hubs).map(|h| (h % regions, None)).collect();
        for site in 0..regions * sites {
            locations.extend((0..gateways).map(|_| (site / sites, Some(site))));
        }
        let locations = Rc::new(locations);
        let mut sim: Sim<Host> = Sim::new(seed);
        let cuts = Rc::new(RefCell::new(Cuts::default()));
        let (c, z) = (Rc::clone(&cuts), Rc::clone(&locations));
        sim.link_down = Box::new(move |a, b| {
            let c = c.borrow();
            let (from, to) = (z[a], z[b]);
            let apart = |cut: bool, cut_too: bool| cut || cut_too;
            (from.0 != to.0 && apart(c.regions.contains(&from.0), c.regions.contains(&to.0)))
                || (from.1 != to.1 && [from.1, to.1].iter().flatten().any(|site| c.sites.contains(site)))
                || c.one_way.contains(&(from.0, to.0))
                || c.pairs.contains(&(a, b))
                || c.isolated.contains(&a)
                || c.isolated.contains(&b)
        });
        let z = Rc::clone(&locations);
        sim.delay = Box::new(move |a, b| match (z[a], z[b]) {
            ((_, Some(a)), (_, Some(b))) if a == b => ms(1),
            ((a, _), (b, _)) if a == b => ms(15),
            _ => ms(66),
        });
        let streams: Vec<Value> = (0..regions)
            .map(|r| json!({"name": format!("list{r}"), "address": format!("127.3.0.{}:80", r + 1)}))
            .collect();
        let public = |h: usize| {
            let pair = Ed25519KeyPair::from_seed_unchecked(&hub_seed(h)).unwrap();
            hex(pair.public_key().as_ref())
        };
        let all_hubs: Vec<Value> = (0..hubs)
            .map(|h| json!({"name": format!("hub{h}"), "address": address(h).to_string(), "public": public(h)}))
            .collect();
        let all_sites: Vec<String> = (0..regions * sites).map(|s| format!("site{s}")).collect();
        let now = sim.now;
        let nodes = locations.iter().enumerate().map(|(i, &(region, site))| {
            let mut file = json!({
                "name": "sea", "site": site.map_or("control".to_owned(), |s| format!("site{s}")),
                "streams": streams, "hubs": all_hubs, "own": region,
            });
            if site.is_none() {
                file["control"] =
                    json!({"name": format!("hub{i}"), "secret": hex(&hub_seed(i)), "sites": all_sites});
            }
            change(i, &mut file);
            let file: settings::Feed = serde_json::from_value(file).unwrap();
            file.check().unwrap();
            let streams = file.streams.len();
            Node {
                name: site.map_or(format!("hub{i}"), |s| format!("g{s}-{i}")),
                site,
                region,
                file,
                keys: vec![key(1, "17")],
                expected: Expected::default(),
                links: vec![None; streams],
                next_attempt: vec![now; streams],
                attempts: 0,
                fails_at: None,
                is_member: false,
                known_members: BTreeSet::new(),
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        for i in 0..nodes.len() {
            assert_eq!(sim.add(address(i), None), i);
        }
        let mut world = Simulation {
            shape,
            nodes,
            services: (0..regions).map(|_| Service { events: Vec::new(), up: true }).collect(),
            cuts,
            recording: Rc::default(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            purges_per_s: 0.0,
            other_events_per_s: 0.0,
            next_event: now,
            next_list_poll: now,
            delays_ms: Vec::new(),
            checks_watermarks: true,
            steps: 0,
            healthy_since: Some(now),
            settle_time: ms(8_000),
            catch_up_time: ms(30_000),
            sim,
            locations,
        };
        // Earlier events: a sequence number of 0 in the settings means that nothing is known.
        for stream in 0..regions {
            (0..3).for_each(|object| _ = world.purge(stream, object));
        }
        world
    }

    pub fn hubs(&self) -> std::ops::Range<usize> {
        0..self.shape.hubs
    }

    pub fn gateways(&self) -> std::ops::Range<usize> {
        self.shape.hubs..self.nodes.len()
    }

    pub fn gateways_of_site(&self, site: usize) -> Vec<usize> {
        self.gateways().filter(|&i| self.nodes[i].site == Some(site)).collect()
    }

    pub fn gateways_of_region(&self, region: usize) -> Vec<usize> {
        self.gateways().filter(|&i| self.nodes[i].region == region).collect()
    }

    pub fn feed(&self, i: usize) -> &Feed {
        &self.sim.actor(i).unwrap().feed
    }

    pub fn is_running(&self, i: usize) -> bool {
        self.sim.slots[i].actor.is_some() && !self.sim.slots[i].stopped
    }

    pub fn last(&self, stream: usize) -> u64 {
        self.services[stream].events.len() as u64
    }

    /// Marks the start or the end of a faulty phase.
    pub fn set_faulty(&mut self, is: bool) {
        self.healthy_since = (!is).then_some(self.sim.now);
    }

    /// Starts a node. `known`: its configuration includes everything the list services have published so far.
    pub fn start(&mut self, i: usize, known: bool) {
        let (run, seed) = (self.rng.random(), self.rng.random());
        let lasts: Vec<u64> = (0..self.services.len()).map(|s| self.last(s)).collect();
        let (now, own) = (self.sim.now, self.sim.local_time(i));
        let node = &mut self.nodes[i];
        for (stream, last) in node.file.streams.iter_mut().zip(&lasts) {
            stream.known = if known { *last } else { 0 };
        }
        let feed = Feed::new(&node.file, &node.keys, &node.name, run, seed, own).unwrap();
        let positions: Vec<u64> = node.file.streams.iter().map(|s| s.known).collect();
        let n = positions.len();
        node.links = vec![None; n];
        node.next_attempt = vec![now; n];
        (node.fails_at, node.is_member) = (None, false);
        node.known_members = BTreeSet::new();
        node.expected = Expected {
            since: now,
            pending: vec![BTreeSet::new(); n],
            recent_missing: vec![BTreeSet::new(); n],
            positions,
            lines: vec![0; n],
            least_bits: 64,
            ..Expected::default()
        };
        if !known {
            for (stream, service) in self.services.iter().enumerate() {
                let recent = service
                    .events
                    .iter()
                    .enumerate()
                    .rev()
                    .take_while(|(_, e)| now - e.published_at < RECENT_WINDOW);
                let recent_missing = recent.filter(|(_, e)| matches!(e.kind, EventKind::Purge { .. }));
                self.nodes[i].expected.recent_missing[stream] =
                    recent_missing.map(|(at, _)| at as u64 + 1).collect();
            }
        }
        let (recording, own) = (Rc::clone(&self.recording), address(i));
        let host = Host {
            feed,
            datagrams: VecDeque::new(),
            outputs: VecDeque::new(),
            recording,
            own,
            rewrite: None,
        };
        self.sim.set_actor(i, Some(host));
        self.check_node(i);
        self.update_members();
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|i| self.start(i, true));
    }

    pub fn kill(&mut self, i: usize) {
        self.sim.set_actor(i, None);
        self.nodes[i].links.fill(None);
        self.mark_unreachable(i);
    }

    /// Pauses a node.
    pub fn stop(&mut self, i: usize) {
        if self.is_running(i) {
            self.sim.set_stopped(i, true);
            self.mark_unreachable(i);
        }
    }

    pub fn resume(&mut self, i: usize) {
        if self.sim.slots[i].actor.is_some() && self.sim.slots[i].stopped {
            self.sim.set_stopped(i, false);
            self.check_node(i);
            self.update_members();
        }
    }

    fn mark_unreachable(&mut self, i: usize) {
        let at = self.sim.now + FAILURE_DETECTION;
        self.nodes[i].fails_at.get_or_insert(at);
    }

    /// Updates each member's view of its site.
    fn update_members(&mut self) {
        let now = self.sim.now;
        for i in self.gateways() {
            let there = self.is_running(i) && !self.cuts.borrow().isolated.contains(&i);
            let node = &mut self.nodes[i];
            if there {
                if !node.is_member {
                    node.expected.since = now;
                }
                (node.fails_at, node.is_member) = (None, true);
            } else if node.is_member {
                node.is_member = *node.fails_at.get_or_insert(now + FAILURE_DETECTION) > now;
            }
        }
        for i in self.gateways().filter(|&i| self.is_running(i)).collect::<Vec<_>>() {
            let held = |j: usize| self.nodes[j].is_member;
            let mut seen: BTreeSet<usize> =
                self.gateways_of_site(self.nodes[i].site.unwrap_or_default()).into_iter().collect();
            seen.retain(|&j| j != i && held(i) && held(j));
            if seen != self.nodes[i].known_members {
                let named: Vec<(String, SocketAddr)> =
                    seen.iter().map(|&j| (self.nodes[j].name.clone(), address(j))).collect();
                self.nodes[i].known_members = seen;
                self.sim.with_actor(i, |host, now| {
                    host.feed.set_members(now, named.iter().map(|(n, a)| (n.as_str(), *a)));
                });
                self.check_node(i);
            }
        }
    }

    fn reaches(&self, i: usize, stream: usize) -> bool {
        let c = self.cuts.borrow();
        let (region, site) = self.locations[i];
        let Some(service) = self.services.get(stream) else { return false };
        let apart = region != stream && (c.regions.contains(&region) || c.regions.contains(&stream));
        service.up
            && !apart
            && !site.is_some_and(|s| c.sites.contains(&s))
            && !c.isolated.contains(&i)
            && !c.without_lists.contains(&i)
    }

    fn publish(&mut self, stream: usize, kind: EventKind, line: Vec<u8>) -> u64 {
        let published_at = self.sim.now;
        self.services[stream].events.push(Event { published_at, kind, line });
        let seq = self.last(stream);
        for i in self.gateways() {
            let node = &mut self.nodes[i];
            if self.sim.slots[i].actor.is_some() && stream < node.expected.pending.len() {
                node.expected.pending[stream].insert(seq);
            }
        }
        for i in 0..self.nodes.len() {
            self.send_lines(i, stream);
        }
        seq
    }

    pub fn is_purge(&self, stream: usize, seq: u64) -> bool {
        matches!(self.services[stream].events[seq as usize - 1].kind, EventKind::Purge { .. })
    }

    pub fn now_ms(&self) -> u64 {
        EPOCH_MS + self.sim.now.as_micros() / 1_000
    }

    pub fn purge(&mut self, stream: usize, object: u64) -> u64 {
        let issued_ms = self.now_ms() - self.rng.random_range(0..60);
        self.purge_at(stream, object, issued_ms)
    }

    /// Purges with the timestamp of a wrong clock.
    pub fn purge_at(&mut self, stream: usize, object: u64, issued_ms: u64) -> u64 {
        let seq = self.last(stream) + 1;
        let line = json!({"no": seq, "recall": {"item": format!("{object:016x}"), "issued": issued_ms}});
        self.publish(
            stream,
            EventKind::Purge { name: object_hash(object), issued_ms },
            line.to_string().into_bytes(),
        )
    }

    pub fn purge_group(&mut self, stream: usize, group: u64) -> u64 {
        let issued_ms = self.now_ms() - self.rng.random_range(0..60);
        let seq = self.last(stream) + 1;
        let line = json!({"no": seq, "recall": {"lot": group, "issued": issued_ms}});
        self.publish(
            stream,
            EventKind::Purge { name: group_hash(group), issued_ms },
            line.to_string().into_bytes(),
        )
    }

    /// Publishes an event of another kind with a line of about this many bytes.
    pub fn other(&mut self, stream: usize, bytes: usize) -> u64 {
        let seq = self.last(stream) + 1;
        let roster = json!({"index": stream, "endpoints": [{"name": "x".repeat(bytes)}]});
        let line = json!({"no": seq, "roster": roster});
        self.publish(stream, EventKind::Other, line.to_string().into_bytes())
    }

    fn send_lines(&mut self, i: usize, stream: usize) {
        let Some(Some(link)) = self.nodes[i].links.get(stream).copied() else { return };
        if !self.is_running(i) {
            return;
        }
        let (own, last) = (self.sim.local_time(i), self.last(stream));
        let heartbeat = self.sim.now >= link.next_heartbeat;
        if link.sent >= last && !heartbeat {
            return;
        }
        let lines: Vec<&[u8]> =
            self.services[stream].events[link.sent as usize..].iter().map(|e| e.line.as_slice()).collect();
        let whole = self.sim.with_actor(i, |host, _| {
            lines.iter().for_each(|line| host.feed.handle_line(own, stream, line).unwrap());
            !heartbeat || host.feed.handle_last(own, stream, last)
        });
        assert_eq!(whole, Some(true), "{} missed events of {stream}", self.nodes[i].name);
        let next = if heartbeat { self.sim.now + ms(1_000) } else { link.next_heartbeat };
        self.nodes[i].links[stream] = Some(Link { sent: last, next_heartbeat: next });
        self.check_node(i);
    }

    fn poll_lists(&mut self) {
        for i in 0..self.nodes.len() {
            if !self.is_running(i) {
                continue;
            }
            for stream in 0..self.nodes[i].links.len() {
                let (asks, reach) = (self.feed(i).wants_connection(stream), self.reaches(i, stream));
                let now = self.sim.now;
                let node = &mut self.nodes[i];
                let mut ended = false;
                match node.links[stream] {
                    None if asks && node.next_attempt[stream] <= now => {
                        node.attempts += 1;
                        node.next_attempt[stream] = now + ms(200);
                        if reach {
                            let sent = self.sim.actor(i).map_or(0, |h| h.feed.resume_after(stream));
                            node.links[stream] = Some(Link { sent, next_heartbeat: now });
                        } else {
                            ended = true;
                        }
                    }
                    Some(_) if !asks || !reach => {
                        node.links[stream] = None;
                        ended = true;
                    }
                    _ => {}
                }
                if ended {
                    self.sim.with_actor(i, |host, now| host.feed.handle_disconnect(now, stream));
                    self.check_node(i);
                }
                self.send_lines(i, stream);
            }
        }
    }

    fn event(&mut self) {
        let all = self.purges_per_s + self.other_events_per_s;
        let stream = self.rng.random_range(0..self.services.len());
        if self.rng.random_range(0.0..all) < self.purges_per_s {
            let object = self.rng.random_range(0..1_000_000);
            if self.rng.random_bool(0.05) {
                self.purge_group(stream, object)
            } else {
                self.purge(stream, object)
            };
        } else {
            let bytes = if self.rng.random_bool(0.1) { 2_500 } else { self.rng.random_range(10..900) };
            self.other(stream, bytes);
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.sim.now + span;
        loop {
            let all = self.purges_per_s + self.other_events_per_s;
            let event = if all > 0.0 { self.next_event } else { end };
            let until = end.min(self.next_list_poll).min(event).max(self.sim.now);
            while let Some(i) = self.sim.step(until) {
                self.check_node(i);
            }
            if self.sim.now >= self.next_list_poll {
                self.next_list_poll = self.sim.now + LIST_POLL_INTERVAL;
                self.update_members();
                self.poll_lists();
                self.check_progress();
            }
            if all > 0.0 && self.sim.now >= self.next_event {
                // Interval of a Poisson process.
                let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / all;
                self.next_event = self.next_event.max(self.sim.now) + Span::from_secs_f64(gap);
                self.event();
            }
            if self.sim.now >= end {
                return;
            }
        }
    }

    /// Records what a node has done and checks it.
    fn check_node(&mut self, i: usize) {
        self.steps += 1;
        let now = self.sim.now;
        let Some(host) = self.sim.slots[i].actor.as_mut() else { return };
        host.drain();
        host.feed.check_invariants().unwrap_or_else(|why| panic!("{}: {why}", self.nodes[i].name));
        let outputs: Vec<Output> = host.outputs.drain(..).collect();
        let hub = self.nodes[i].site.is_none();
        assert!(!hub || outputs.is_empty(), "a hub produced an event");
        for output in outputs {
            match output {
                Output::Purge { names, issued_ms, .. } => self.record_purge(i, &names, issued_ms),
                Output::Line { stream, seq, line } => self.record_line(i, stream, seq, &line),
                Output::Datagram(..) => unreachable!("drained before"),
            }
        }
        let Some(host) = self.sim.slots[i].actor.as_ref() else { return };
        let expected = &mut self.nodes[i].expected;
        for stream in 0..expected.positions.len() {
            let at = host.feed.position(stream);
            let published = self.services.get(stream).map_or(0, |s| s.events.len() as u64);
            assert!(at <= published, "{}: position {at} of {published} in {stream}", self.nodes[i].name);
            let before = expected.positions[stream];
            if hub || at == before {
                continue;
            }
            assert!(at > before, "{}: back from {before} to {at} in {stream}", self.nodes[i].name);
            expected.positions[stream] = at;
            let covered: Vec<u64> = expected.pending[stream].range(..=at).copied().collect();
            if before == 0 {
                // It started without a position and begins with what it receives first; earlier purges are requested,
                // other earlier events come from the configuration.
                covered.iter().for_each(|seq| _ = expected.pending[stream].remove(seq));
                let events = &self.services[stream].events;
                let purge = |seq: &u64| matches!(events[*seq as usize - 1].kind, EventKind::Purge { .. });
                expected.recent_missing[stream].extend(covered.into_iter().filter(purge));
            } else if let Some(seq) = covered.first() {
                let age = now - self.services[stream].events[*seq as usize - 1].published_at;
                panic!(
                    "{}: at {at} of {stream} without {seq}, published {} ms ago",
                    self.nodes[i].name,
                    age.as_micros() / 1_000
                );
            }
        }
        self.check_watermarks(i);
    }

    fn record_purge(&mut self, i: usize, names: &PrefixSet, purged_ms: u64) {
        let now = self.sim.now;
        let expected = &mut self.nodes[i].expected;
        expected.purges += 1;
        expected.purges_of_all += u64::from(names.bits() == 0);
        expected.names += names.prefixes().len() as u64;
        if names.bits() > 0 {
            expected.least_bits = expected.least_bits.min(names.bits());
        }
        for (stream, service) in self.services.iter().enumerate().take(expected.pending.len()) {
            let covers = |seq: &u64| match service.events[*seq as usize - 1].kind {
                EventKind::Purge { name, issued_ms } => names.contains(name) && purged_ms >= issued_ms,
                EventKind::Other => false,
            };
            let done: Vec<u64> = expected.pending[stream].iter().filter(|seq| covers(seq)).copied().collect();
            for seq in &done {
                expected.pending[stream].remove(seq);
                let delay = now - service.events[*seq as usize - 1].published_at;
                self.delays_ms.push(delay.as_micros() / 1_000);
            }
            expected.recent_missing[stream].retain(|seq| !covers(seq));
        }
    }

    fn record_line(&mut self, i: usize, stream: usize, seq: u64, line: &[u8]) {
        let event = &self.services[stream].events[seq as usize - 1];
        let node = &mut self.nodes[i];
        let (expected, name) = (&mut node.expected, &node.name);
        assert_eq!(line.trim_ascii(), event.line.trim_ascii(), "{name}: line {seq} of {stream}");
        let before = expected.lines[stream];
        assert!(seq > before, "{name}: line {seq} of {stream} after {before}");
        assert!(matches!(event.kind, EventKind::Other), "{name}: {seq} of {stream} is a purge");
        expected.lines[stream] = seq;
        let missed = expected.pending[stream].range(..seq).next().copied();
        if expected.positions[stream] > 0
            && let Some(missed) = missed
        {
            panic!("{name}: line {seq} of {stream} before {missed}");
        }
        expected.recent_missing[stream].remove(&seq);
        if expected.pending[stream].remove(&seq) {
            self.delays_ms.push((self.sim.now - event.published_at).as_micros() / 1_000);
        }
    }

    /// A watermark covers only what all live gateways have, except those named as lagging.
    fn check_watermarks(&self, i: usize) {
        if !self.checks_watermarks {
            return;
        }
        let Some(host) = self.sim.slots[i].actor.as_ref() else { return };
        let hub = self.nodes[i].site.is_none();
        let mut named: Option<BTreeSet<String>> = None;
        for stream in 0..self.services.len().min(self.nodes[i].file.streams.len()) {
            let done = host.feed.watermarks(stream);
            assert!(done.everywhere <= done.in_touch || !hub, "{done:?}");
            let most = done.in_touch.max(done.everywhere);
            if most == 0 {
                continue;
            }
            for j in self.gateways() {
                if !self.is_running(j) || !self.nodes[j].is_member || self.nodes[j].fails_at.is_some() {
                    continue;
                }
                let expected = &self.nodes[j].expected;
                let is_counted = |seq: &&u64| {
                    self.services[stream].events[**seq as usize - 1].published_at > expected.since
                };
                let open = expected.pending.get(stream).and_then(|t| t.range(..=most).find(is_counted));
                let recent_missing =
                    expected.recent_missing.get(stream).and_then(|t| t.range(..=most).find(is_counted));
                let Some(seq) = open.or(recent_missing).copied() else { continue };
                let from = if open.is_some() { "published to all" } else { "from before its first position" };
                let who = &self.nodes[j].name;
                let reporter = &self.nodes[i].name;
                assert!(
                    seq > done.everywhere,
                    "{reporter}: {seq} of {stream} is everywhere, but {who} lacks it, {from}"
                );
                if !hub {
                    continue;
                }
                let named =
                    named.get_or_insert_with(|| host.feed.unacked().into_iter().map(|m| m.site).collect());
                let site = &self.nodes[j].file.site;
                assert!(
                    seq > done.in_touch || named.contains(site),
                    "{reporter}: {seq} of {stream} is done in touch, but {who} lacks it, {from}: {:?}",
                    host.feed.unacked()
                );
            }
        }
    }

    /// Without faults, everything is applied in time.
    fn check_progress(&mut self) {
        let now = self.sim.now;
        let Some(healthy_since) = self.healthy_since.filter(|c| now - *c > self.settle_time) else { return };
        let soon = ms(2_500);
        for i in self.gateways() {
            if !self.is_running(i) {
                continue;
            }
            let started = now - self.nodes[i].expected.since > self.settle_time;
            let Node { expected, name, .. } = &mut self.nodes[i];
            for (stream, service) in self.services.iter().enumerate().take(expected.pending.len()) {
                let published_at = |seq: &u64| service.events[*seq as usize - 1].published_at;
                expected.recent_missing[stream].retain(|seq| now - published_at(seq) < RECENT_WINDOW);
                // Gaps are detected and purged in time; other events are caught up at a limited rate.
                let is_purge =
                    |seq: &u64| matches!(service.events[*seq as usize - 1].kind, EventKind::Purge { .. });
                let since = now - healthy_since;
                let due = |seq: &&u64| {
                    now - published_at(seq) > soon && (is_purge(seq) || since > self.catch_up_time)
                };
                let overdue = expected.pending[stream].iter().find(due);
                let recent_missing = expected.recent_missing[stream]
                    .first()
                    .filter(|seq| started && now - published_at(seq) > soon);
                if let Some(seq) = overdue.or(recent_missing) {
                    let kind = match service.events[*seq as usize - 1].kind {
                        EventKind::Purge { .. } => "purge",
                        EventKind::Other => "event",
                    };
                    panic!(
                        "{name} lacks {kind} {seq} of {stream}, published {} ms ago, with nothing wrong for {} ms; at {}",
                        (now - published_at(seq)).as_micros() / 1_000,
                        (now - healthy_since).as_micros() / 1_000,
                        expected.positions[stream],
                    );
                }
            }
        }
    }

    /// Ends all faults: no loss, partitions, paused or dead nodes.
    pub fn heal(&mut self) {
        (self.sim.loss, self.sim.duplication) = (0.0, 0.0);
        *self.cuts.borrow_mut() = Cuts::default();
        self.services.iter_mut().for_each(|s| s.up = true);
        for i in 0..self.nodes.len() {
            self.resume(i);
            if self.sim.slots[i].actor.is_none() {
                // A hub has no configuration that includes events.
                self.start(i, self.nodes[i].site.is_some());
            }
        }
        self.set_faulty(false);
    }

    /// Every gateway has every event.
    pub fn all_received(&self) -> Result<(), String> {
        for i in self.gateways().filter(|&i| self.is_running(i)) {
            for stream in 0..self.services.len().min(self.nodes[i].file.streams.len()) {
                let (at, last) = (self.feed(i).position(stream), self.last(stream));
                let open = self.nodes[i].expected.pending[stream].len();
                if at != last || open > 0 {
                    return Err(format!(
                        "{} is at {at} of {last} in {stream}, lacks {open}",
                        self.nodes[i].name
                    ));
                }
            }
        }
        Ok(())
    }

    /// Every hub knows that every gateway has every event.
    pub fn all_acknowledged(&self) -> Result<(), String> {
        for h in self.hubs().filter(|&h| self.is_running(h)) {
            for stream in 0..self.services.len() {
                let (done, last) = (self.feed(h).watermarks(stream), self.last(stream));
                if (done.in_touch, done.everywhere) != (last, last) {
                    return Err(format!(
                        "hub{h}: {done:?} of {last} in {stream}; {:?}",
                        self.feed(h).unacked()
                    ));
                }
            }
        }
        Ok(())
    }

    /// Runs until the condition holds; returns how long that took.
    pub fn until(&mut self, most: Span, holds: impl Fn(&Simulation) -> Result<(), String>) -> Span {
        let started_at = self.sim.now;
        while let Err(why) = holds(self) {
            assert!(self.sim.now - started_at < most, "not within {} ms: {why}", most.as_micros() / 1_000);
            self.run(ms(10));
        }
        self.sim.now - started_at
    }

    /// The maximum delay, in ms.
    pub fn max_delay_ms(&self) -> u64 {
        self.delays_ms.iter().copied().max().unwrap_or(0)
    }

    /// The fraction of delays above this many ms.
    pub fn fraction_over(&self, most: u64) -> f64 {
        self.delays_ms.iter().filter(|l| **l > most).count() as f64 / self.delays_ms.len().max(1) as f64
    }

    /// The gateways to which hubs send within a second and a bit, by site.
    pub fn contacts(&mut self) -> BTreeMap<usize, BTreeSet<usize>> {
        let before = std::mem::take(&mut *self.recording.borrow_mut());
        self.recording.borrow_mut().enabled = true;
        self.run(ms(1_100));
        let datagrams = std::mem::replace(&mut *self.recording.borrow_mut(), before).datagrams;
        let mut all: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
        for (from, to, _) in datagrams {
            let (from, to) = (self.node_at(from), self.node_at(to));
            if let (Some(None), Some(site)) =
                (from.map(|f| self.nodes[f].site), to.and_then(|t| self.nodes[t].site))
            {
                all.entry(site).or_default().extend(to);
            }
        }
        all
    }

    pub fn node_at(&self, at: SocketAddr) -> Option<usize> {
        self.sim.slots.iter().position(|s| s.address == at)
    }

    /// Bytes per second, in and out, of the selected gateways since the last reset: mean and maximum.
    pub fn bytes_per_s(&self, span: Span, counts: impl Fn(usize) -> bool) -> (f64, f64) {
        let of = |i: usize| (self.sim.slots[i].usage.bytes_in + self.sim.slots[i].usage.bytes_out) as f64;
        let all: Vec<f64> =
            self.gateways().filter(|&i| counts(i)).map(|i| of(i) / span.as_secs_f64()).collect();
        (all.iter().sum::<f64>() / all.len().max(1) as f64, all.iter().copied().fold(0.0, f64::max))
    }

    /// Sends a payload sealed with the shared key, as if from `from`.
    pub fn send_payload(&mut self, from: usize, to: usize, payload: Payload) {
        if let Some(keys) = Keys::new("sea", &[key(1, "17")]) {
            let bytes = keys.seal(kelpcart_feed::VERSION, &Packet { payload: Some(payload) }.encode_to_vec());
            self.sim.send(from, to, &bytes);
        }
    }

    /// The recorded payloads with sender and receiver.
    pub fn recorded_payloads(&self) -> Vec<(usize, usize, Payload)> {
        let Some(keys) = Keys::new("sea", &[key(1, "17")]) else { return Vec::new() };
        let payload =
            |bytes: &[u8]| Packet::decode(keys.open(kelpcart_feed::VERSION, bytes).ok()?).ok()?.payload;
        let recording = self.recording.borrow();
        let all = recording
            .datagrams
            .iter()
            .filter_map(|(a, b, bytes)| Some((self.node_at(*a)?, self.node_at(*b)?, payload(bytes)?)));
        all.collect()
    }

    /// Number of recent purges that a gateway started without a position still lacks.
    pub fn missing_recent_purges(&self, i: usize) -> usize {
        let now = self.sim.now;
        let recent_missing = self.nodes[i].expected.recent_missing.iter().zip(&self.services);
        let binds = |s: &Service, seq: &u64| now - s.events[*seq as usize - 1].published_at < RECENT_WINDOW;
        recent_missing
            .map(|(recent_missing, s)| recent_missing.iter().filter(|seq| binds(s, seq)).count())
            .sum()
    }

    /// Opens a datagram, modifies its body and seals it again.
    pub fn reseal_changed(&self, bytes: &[u8], change: impl FnOnce(&mut Vec<u8>)) -> Option<Vec<u8>> {
        let keys = Keys::new("sea", &[key(1, "17")])?;
        let mut body = keys.open(kelpcart_feed::VERSION, bytes).ok()?.to_vec();
        change(&mut body);
        Some(keys.seal(kelpcart_feed::VERSION, &body))
    }

    /// The gateways that are connected to list services themselves.
    pub fn list_clients(&self) -> Vec<usize> {
        let asks = |i: &usize| {
            (0..self.services.len()).any(|s| self.is_running(*i) && self.feed(*i).wants_connection(s))
        };
        self.gateways().filter(asks).collect()
    }

    pub fn sum(&self, kind: impl Fn(&kelpcart_feed::Counts) -> u64) -> u64 {
        (0..self.nodes.len()).filter(|&i| self.is_running(i)).map(|i| kind(&self.feed(i).counts)).sum()
    }
}
