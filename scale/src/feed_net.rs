//! An installation in simulated time: list services, hubs, sites of hollow gateways, the ways between them and what goes
//! wrong on these. Notes when each gateway acted on what was told; must never let a change that one missed go unseen.

use crate::fleet_net::delays;
use crate::hollow::{Hollow, Told};
use crate::sim::{Sim, Spent};
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
const LINES: Span = Span::from_millis(10);
/// A host's pause before it connects to a list service again.
const CONNECT_AGAIN: Span = Span::from_millis(200);
const PULSE: Span = Span::from_millis(1_000);
/// So many purges a second are followed to each gateway by their names; positions follow all.
const FOLLOWED_PER_S: f64 = 8.0;
pub const REGIONS: usize = 11;
pub const HUBS: usize = 5;
/// Gateways of a site.
pub const SITE: usize = 24;
const NEAR: Span = Span::from_millis(1);
const FAR: Span = Span::from_millis(50);

#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub gateways: usize,
    pub sites: usize,
}

impl Shape {
    pub fn of(gateways: usize) -> Shape {
        Shape { gateways, sites: gateways.div_ceil(SITE) }
    }
}

struct Event {
    at: Time,
    line: Vec<u8>,
    purge: bool,
}

#[derive(Default)]
struct Service {
    events: Vec<Event>,
}

/// A purge that is followed by its name.
struct Follow {
    at: Time,
    name: u64,
    issued_ms: u64,
}

#[derive(Clone, Copy)]
struct Link {
    told: usize,
    pulse: Time,
}

struct Place {
    region: usize,
    /// `None`: a hub.
    site: Option<usize>,
    name: String,
    links: Vec<Option<Link>>,
    again: Vec<Time>,
    /// Followed purges from here on are not all done; those behind it that are.
    first: usize,
    done: BTreeSet<usize>,
    /// Lines told to it, by stream; at a hub, what it holds to be done everywhere.
    told: Vec<u64>,
    /// It has run without a break since this was measured.
    steady: bool,
}

#[derive(Default)]
pub struct Cuts {
    /// From and to everything outside.
    pub regions: BTreeSet<usize>,
}

pub struct Net {
    pub sim: Sim<Hollow>,
    pub shape: Shape,
    pub cuts: Rc<RefCell<Cuts>>,
    pub purges_per_s: f64,
    pub changes_per_s: f64,
    /// From a purge's line to its being acted on, at each gateway, in us.
    pub delays: Histogram<u64>,
    /// The same of other changes.
    pub changes: Histogram<u64>,
    /// From a line to a hub's knowing that it is done everywhere.
    pub known: Histogram<u64>,
    pub connections: u64,
    pub attempts: u64,
    pub check_every: u64,
    services: Vec<Service>,
    places: Vec<Place>,
    followed: Vec<Follow>,
    active: BTreeSet<usize>,
    next_event: Time,
    next_lines: Time,
    rng: Pcg64Mcg,
    file: Value,
    measures: bool,
}

fn digits(bytes: &[u8]) -> String {
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
        let mut sim: Sim<Hollow> = Sim::new(seed);
        let site_of = |i: usize| i.checked_sub(HUBS).map(|g| g * sites / gateways);
        let places: Vec<Place> = (0..HUBS + gateways)
            .map(|i| {
                sim.add(address(i), None);
                let site = site_of(i);
                Place {
                    region: site.map_or(i * REGIONS / HUBS, |s| s * REGIONS / sites),
                    site,
                    name: site.map_or(format!("hub{i}"), |_| format!("g{i}")),
                    links: vec![None; REGIONS],
                    again: vec![sim.now; REGIONS],
                    first: 0,
                    done: BTreeSet::new(),
                    told: vec![0; REGIONS],
                    steady: false,
                }
            })
            .collect();
        let cuts: Rc<RefCell<Cuts>> = Rc::default();
        let zones: Rc<[(usize, Option<usize>)]> = places.iter().map(|p| (p.region, p.site)).collect();
        let (c, z) = (Rc::clone(&cuts), Rc::clone(&zones));
        sim.cut = Box::new(move |a, b| {
            let (a, b, c) = (z[a].0, z[b].0, c.borrow());
            a != b && (c.regions.contains(&a) || c.regions.contains(&b))
        });
        sim.delay = Box::new(move |a, b| if zones[a] == zones[b] { NEAR } else { FAR });
        let hubs: Vec<Value> = (0..HUBS)
            .map(|h| {
                let pair = Ed25519KeyPair::from_seed_unchecked(&hub_seed(h)).expect("a seed");
                let public = digits(pair.public_key().as_ref());
                json!({"name": format!("hub{h}"), "address": address(h).to_string(), "public": public})
            })
            .collect();
        let streams: Vec<Value> = (0..REGIONS)
            .map(|r| json!({"name": format!("list{r}"), "address": format!("127.3.0.{}:80", r + 1)}))
            .collect();
        let now = sim.now;
        let mut net = Net {
            cuts,
            shape,
            purges_per_s: 0.0,
            changes_per_s: 0.0,
            delays: delays(),
            changes: delays(),
            known: delays(),
            connections: 0,
            attempts: 0,
            check_every: 4_001,
            services: (0..REGIONS).map(|_| Service::default()).collect(),
            places,
            followed: Vec::new(),
            active: BTreeSet::new(),
            next_event: now,
            next_lines: now,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x0066_6565_6400),
            file: json!({"name": "sea", "streams": streams, "hubs": hubs}),
            measures: false,
            sim,
        };
        // What was before: a number of 0 says that nothing is known.
        (0..3 * REGIONS).for_each(|n| net.tell(n % REGIONS, true));
        net
    }

    pub fn hubs(&self) -> std::ops::Range<usize> {
        0..HUBS
    }

    pub fn gateways(&self) -> std::ops::Range<usize> {
        HUBS..self.places.len()
    }

    pub fn region(&self, i: usize) -> usize {
        self.places[i].region
    }

    fn node(&self, i: usize, seeds: [u64; 2]) -> Option<Node> {
        let place = &self.places[i];
        let site = place.site?;
        let first = self.places.partition_point(|p| p.site < Some(site));
        let seeds_of: Vec<String> = (first..self.places.len())
            .take_while(|&j| self.places[j].site == Some(site))
            .take(3)
            .map(|j| address(j).to_string())
            .collect();
        let file = json!({
            "fleet": format!("site{site}"), "gateway": place.name, "listen": address(i).to_string(),
            "seeds": seeds_of, "keys": [{"id": 1, "secret": "17".repeat(32)}], "relays": {"on": false},
            "members": {"expected": self.shape.gateways.div_ceil(self.shape.sites)},
        });
        let file = Fleet::read(&file.to_string()).expect("a file that can be used");
        Some(Node::new(&file, seeds[0], seeds[1], self.sim.at(i), 0, &[]).expect("a node"))
    }

    /// Starts one; its configuration knows of nothing.
    pub fn start(&mut self, i: usize) {
        let seeds = [self.rng.random(), self.rng.random()];
        let place = &self.places[i];
        let mut file = self.file.clone();
        file["site"] = json!(place.site.map_or("control".to_owned(), |s| format!("site{s}")));
        if place.site.is_none() {
            let sites: Vec<String> = (0..self.shape.sites).map(|s| format!("site{s}")).collect();
            file["control"] = json!({"name": place.name, "secret": digits(&hub_seed(i)), "sites": sites});
        }
        let file: kelpcart_feed::settings::Feed = serde_json::from_value(file).expect("a file of the feed");
        let keys = [Key { id: 1, secret: "17".repeat(32) }];
        let now = self.sim.at(i);
        let feed = Feed::new(&file, &keys, &place.name, seeds[0], seeds[1], now).expect("a feed");
        let mut hollow = Hollow::new(now, self.node(i, seeds), feed);
        hollow.measures = self.measures;
        let lasts: Vec<u64> = self.services.iter().map(|s| s.events.len() as u64).collect();
        let followed = self.followed.len();
        let place = &mut self.places[i];
        place.links.fill(None);
        place.again.fill(self.sim.now);
        (place.first, place.told, place.steady) = (followed, lasts, false);
        place.done.clear();
        self.sim.put(i, Some(hollow));
        self.done(i);
    }

    pub fn start_all(&mut self) {
        (0..self.places.len()).for_each(|i| self.start(i));
    }

    pub fn kill(&mut self, i: usize) {
        self.sim.put(i, None);
        self.places[i].links.fill(None);
    }

    /// What was spent so far does not count; processor time is noted from now on.
    pub fn begin(&mut self) {
        self.sim.reset_spent();
        self.sim.measures = true;
        self.measures = true;
        for slot in &mut self.sim.slots {
            if let Some(hollow) = &mut slot.actor {
                hollow.spent = Spent::default();
                hollow.measures = true;
            }
        }
        self.places.iter_mut().for_each(|p| p.steady = true);
        self.delays.reset();
        self.changes.reset();
        self.known.reset();
        (self.attempts, self.connections) = (0, 0);
    }

    /// Whether one has run since the beginning.
    pub fn steady(&self, i: usize) -> bool {
        self.places[i].steady && self.sim.get(i).is_some()
    }

    fn now_ms(&self) -> u64 {
        EPOCH_MS + self.sim.now.as_micros() / 1_000
    }

    fn tell(&mut self, stream: usize, purge: bool) {
        let no = self.services[stream].events.len() as u64 + 1;
        let line = if purge {
            let (object, issued_ms): (u64, u64) = (self.rng.random(), self.now_ms());
            if self.rng.random_bool((FOLLOWED_PER_S / self.purges_per_s.max(FOLLOWED_PER_S)).min(1.0)) {
                self.followed.push(Follow { at: self.sim.now, name: object_hash(object), issued_ms });
            }
            json!({"no": no, "recall": {"item": format!("{object:016x}"), "issued": issued_ms}})
        } else {
            let cache = json!({"name": format!("c{}", no % 1_100), "address": "192.0.2.77:8080",
                "zone": "hub", "type": "box", "status": "up"});
            json!({"no": no, "roster": {"index": stream, "snapshot": false, "endpoints": [cache]}})
        };
        let event = Event { at: self.sim.now, line: line.to_string().into_bytes(), purge };
        self.services[stream].events.push(event);
    }

    /// One has done something: what its host was told is noted, and the rules hold.
    fn done(&mut self, i: usize) {
        let now = self.sim.now;
        let checks = self.sim.steps.is_multiple_of(self.check_every);
        let Some(hollow) = self.sim.slots[i].actor.as_mut() else { return };
        let place = &mut self.places[i];
        if checks {
            let sound = hollow.feed.check_invariants();
            sound.unwrap_or_else(|why| panic!("{}: {why}", place.name));
        }
        if (0..REGIONS).any(|s| hollow.feed.wants_connection(s) || place.links[s].is_some()) {
            self.active.insert(i);
        }
        for told in hollow.told.drain(..) {
            match told {
                Told::Purge { names, issued_ms } => {
                    for n in place.first..self.followed.len() {
                        let follow = &self.followed[n];
                        if issued_ms >= follow.issued_ms
                            && names.contains(follow.name)
                            && place.done.insert(n)
                        {
                            self.delays.saturating_record((now - follow.at).as_micros());
                        }
                    }
                    while place.done.remove(&place.first) {
                        place.first += 1;
                    }
                }
                Told::Line { stream, no } => {
                    let event = &self.services[stream].events[no as usize - 1];
                    assert!(!event.purge, "{} was told a purge as a line", place.name);
                    // One that has just started is told of what was before, too.
                    if no > place.told[stream] {
                        self.changes.saturating_record((now - event.at).as_micros());
                        place.told[stream] = no;
                    }
                }
            }
        }
        if place.site.is_none() {
            for stream in 0..REGIONS {
                let done = hollow.feed.watermarks(stream).everywhere;
                for no in place.told[stream]..done {
                    let at = self.services[stream].events[no as usize].at;
                    self.known.saturating_record((now - at).as_micros());
                }
                place.told[stream] = place.told[stream].max(done);
            }
        }
    }

    /// What list services tell those who are connected, and who connects.
    fn lines(&mut self) {
        for i in self.active.clone() {
            let Some(hollow) = self.sim.get(i) else {
                self.active.remove(&i);
                continue;
            };
            if self.sim.slots[i].stopped {
                continue;
            }
            let asked: Vec<bool> = (0..REGIONS).map(|s| hollow.feed.wants_connection(s)).collect();
            if !asked.contains(&true) && self.places[i].links.iter().all(Option::is_none) {
                self.active.remove(&i);
                continue;
            }
            for (stream, asks) in asked.into_iter().enumerate() {
                self.link(i, stream, asks);
                self.tell_lines(i, stream);
            }
            self.done(i);
        }
    }

    fn reaches(&self, i: usize, stream: usize) -> bool {
        let (own, cuts) = (self.places[i].region, self.cuts.borrow());
        own == stream || !(cuts.regions.contains(&own) || cuts.regions.contains(&stream))
    }

    fn link(&mut self, i: usize, stream: usize, asks: bool) {
        let (now, reach) = (self.sim.now, self.reaches(i, stream));
        let place = &mut self.places[i];
        let mut ended = false;
        match place.links[stream] {
            None if asks && place.again[stream] <= now => {
                self.attempts += 1;
                place.again[stream] = now + CONNECT_AGAIN;
                if reach {
                    self.connections += 1;
                    let told = self.sim.get(i).map_or(0, |h| h.feed.resume_after(stream)) as usize;
                    place.links[stream] = Some(Link { told, pulse: now });
                } else {
                    ended = true;
                }
            }
            Some(_) if !asks || !reach => {
                place.links[stream] = None;
                ended = true;
            }
            _ => {}
        }
        if ended {
            self.sim.with(i, |hollow, now| hollow.feeds(now, |feed| feed.handle_disconnect(now, stream)));
        }
    }

    fn tell_lines(&mut self, i: usize, stream: usize) {
        let Some(Link { told, pulse }) = self.places[i].links[stream] else { return };
        let now = self.sim.now;
        let way = if self.places[i].region == stream { NEAR } else { FAR };
        let events = &self.services[stream].events;
        let come = told + events[told..].iter().take_while(|e| e.at + way <= now).count();
        if come == told && now < pulse {
            return;
        }
        let lines = &events[told..come];
        let whole = self.sim.with(i, |hollow, own| {
            hollow.feeds(own, |feed| {
                for event in lines {
                    feed.handle_line(own, stream, &event.line).expect("a line that fits");
                }
                now < pulse || feed.handle_last(own, stream, come as u64)
            })
        });
        assert_eq!(whole, Some(true), "{} was told all of {stream}", self.places[i].name);
        let pulse = if now >= pulse { now + PULSE } else { pulse };
        self.places[i].links[stream] = Some(Link { told: come, pulse });
    }

    pub fn run(&mut self, span: Span) {
        let end = self.sim.now + span;
        loop {
            let all = self.purges_per_s + self.changes_per_s;
            let event = if all > 0.0 { self.next_event } else { end };
            let until = end.min(self.next_lines).min(event).max(self.sim.now);
            while let Some(i) = self.sim.step(until) {
                self.done(i);
            }
            if self.sim.now >= self.next_lines {
                self.next_lines = self.sim.now + LINES;
                self.lines();
            }
            if all > 0.0 && self.sim.now >= self.next_event {
                // Between two events of a Poisson stream.
                let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / all;
                self.next_event = self.next_event.max(self.sim.now) + Span::from_secs_f64(gap);
                let stream = self.rng.random_range(0..REGIONS);
                let purge = self.rng.random_range(0.0..all) < self.purges_per_s;
                self.tell(stream, purge);
            }
            if self.sim.now >= end {
                return;
            }
        }
    }

    /// Each live gateway knows all numbers of all streams, and has done each followed purge and each other change.
    pub fn all_told(&self) -> Result<(), String> {
        let lasts: Vec<u64> = self.services.iter().map(|s| s.events.len() as u64).collect();
        for (i, hollow) in self.sim.live() {
            let place = &self.places[i];
            for (stream, last) in lasts.iter().enumerate() {
                let at = hollow.feed.position(stream);
                if at != *last {
                    return Err(format!("{} is at {at} of {last} in stream {stream}", place.name));
                }
                let change = self.services[stream].events.iter().rposition(|e| !e.purge);
                if place.site.is_some() && change.is_some_and(|n| place.told[stream] < n as u64 + 1) {
                    return Err(format!("{} was not told the last change of stream {stream}", place.name));
                }
            }
            if place.site.is_some() && place.first != self.followed.len() {
                return Err(format!("{} has not done a purge that was followed", place.name));
            }
        }
        Ok(())
    }

    /// Whether a hub holds all of it to be done everywhere.
    pub fn all_known(&self) -> bool {
        let lasts = self.services.iter().map(|s| s.events.len() as u64).enumerate();
        let known = |h: usize| {
            let feed = self.sim.get(h).map(|hollow| &hollow.feed);
            feed.is_some_and(|f| lasts.clone().all(|(s, last)| f.watermarks(s).everywhere == last))
        };
        self.hubs().any(known)
    }
}
