//! Simulated network of fleet nodes with a discovery service that can fail. Members can be paused, killed and restarted, and
//! the events delivered to their hosts are recorded. Used by the fleet's tests and benchmarks.
//!
//! Invariants: no event iterates over all nodes; a violated invariant of a node is always reported (in small networks every
//! step is checked).

use crate::sim::{Actor, Sim};
use hdrhistogram::Histogram;
use kelpcart::{Span, Time};
use kelpcart_fleet::lease::{BudgetKey, Decision};
use kelpcart_fleet::node::{Node, Output};
use kelpcart_fleet::settings::Fleet;
use rand::Rng;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

pub fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250) as u8 + 1], 7_600))
}

/// Returns the settings of one member, modified by `change`.
pub fn member_config(i: usize, change: impl Fn(&mut Value)) -> Fleet {
    let mut all = json!({
        "fleet": "east", "gateway": format!("g{i}"), "listen": address(i).to_string(),
        "seeds": [address(0).to_string(), address(1).to_string(), address(2).to_string()],
        "keys": [{"id": 1, "secret": "17".repeat(32)}],
    });
    change(&mut all);
    Fleet::read(&all.to_string()).expect("valid settings")
}

/// A simulated fleet member: its node and the node's pending outputs.
pub struct Member {
    pub node: Node,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    events: Vec<Vec<u8>>,
    decisions: Vec<(u64, Decision)>,
}

impl Member {
    pub fn new(node: Node) -> Member {
        Member { node, datagrams: VecDeque::new(), events: Vec::new(), decisions: Vec::new() }
    }
}

impl Actor for Member {
    fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.node.handle_datagram(now, from, bytes);
    }

    fn tick(&mut self, now: Time) {
        self.node.tick(now);
    }

    fn next_wake(&self, now: Time) -> Time {
        self.node.next_wake(now)
    }

    fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        while let Some(out) = self.node.poll() {
            match out {
                Output::Datagram(to, bytes) => {
                    assert!(bytes.len() <= kelpcart_fleet::seal::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
                    self.datagrams.push_back((to, bytes));
                }
                Output::Event(line) => self.events.push(line),
                Output::Decision(ticket, verdict) => self.decisions.push((ticket, verdict)),
                Output::Contended(_) => {}
            }
        }
        self.datagrams.pop_front()
    }
}

/// State of a member that survives restarts of its node.
#[derive(Default)]
struct HostState {
    config: Option<Fleet>,
    /// Connection to the discovery service: when it is established, the last event delivered, and when the latest version is
    /// announced next.
    discovery_conn: Option<(Time, u64, Time)>,
    received: Vec<(u64, bool, Time)>,
    decisions: BTreeMap<u64, (Time, Decision)>,
    /// The last event included in the delay histogram.
    delivered: u64,
}

pub struct Net {
    pub sim: Sim<Member>,
    hosts: Vec<HostState>,
    /// Members that want a connection to the discovery service or have one.
    discovery_active: BTreeSet<usize>,
    pub cut_from_discovery: BTreeSet<usize>,
    /// The discovery service's events as serialized, with the time at which each was published.
    pub events: Vec<(String, Time)>,
    pub discovery_up: bool,
    /// Whether there is a discovery service. Without one, members neither connect nor see connection failures.
    pub has_discovery: bool,
    pub connections: u64,
    pub attempts: u64,
    pub max_connections: usize,
    /// Node invariants are checked every this many steps (every step in tests).
    pub check_every: u64,
    /// Whether to record the events delivered to each host and its lease decisions. Otherwise only delays are recorded.
    pub keep_log: bool,
    /// Propagation delay of events to each member that was running when they were published, in us.
    pub delays: Histogram<u64>,
    next_discovery_poll: Time,
}

/// Returns an empty histogram of delays in us, up to one hour, with three significant digits.
pub fn delay_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds")
}

fn roster_event(no: u64, snapshot: bool, names: &[(String, &str)]) -> String {
    let all: Vec<Value> = names
        .iter()
        .map(|(n, status)| json!({"name": n, "address": "127.0.0.1:1", "zone": "hub", "type": "box", "status": status}))
        .collect();
    json!({"no": no, "roster": {"index": 0, "snapshot": snapshot, "endpoints": all}}).to_string()
}

impl Net {
    pub fn new(n: usize, seed: u64, change: impl Fn(usize, &mut Value)) -> Net {
        let caches: Vec<(String, &str)> = (0..40).map(|i| (format!("c{i}"), "up")).collect();
        let mut sim = Sim::new(seed);
        let hosts = (0..n)
            .map(|i| {
                sim.add(address(i), None);
                HostState { config: Some(member_config(i, |v| change(i, v))), ..HostState::default() }
            })
            .collect();
        Net {
            events: vec![(roster_event(1, true, &caches), sim.now)],
            next_discovery_poll: sim.now,
            sim,
            hosts,
            discovery_active: BTreeSet::new(),
            cut_from_discovery: BTreeSet::new(),
            discovery_up: true,
            has_discovery: true,
            connections: 0,
            attempts: 0,
            max_connections: 0,
            check_every: 1,
            keep_log: true,
            delays: delay_histogram(),
        }
    }

    pub fn start(&mut self, i: usize) {
        let (run, seed) = (self.sim.rng.random(), self.sim.rng.random());
        let now = self.sim.local_time(i);
        let last = self.events.len() as u64;
        let host = &mut self.hosts[i];
        host.received.clear();
        (host.discovery_conn, host.delivered) = (None, last);
        let config = host.config.as_ref().expect("settings");
        let node = Node::new(config, run, seed, now, 0, &[]).expect("valid node");
        self.sim.set_actor(i, Some(Member::new(node)));
        self.after_step(i);
    }

    pub fn start_all(&mut self) {
        (0..self.hosts.len()).for_each(|i| self.start(i));
    }

    pub fn kill(&mut self, i: usize) {
        self.sim.set_actor(i, None);
        self.hosts[i].discovery_conn = None;
    }

    pub fn is_running(&self, i: usize) -> bool {
        self.sim.actor(i).is_some()
    }

    pub fn is_stopped(&self, i: usize) -> bool {
        self.sim.slots[i].stopped
    }

    pub fn node(&self, i: usize) -> &Node {
        &self.sim.actor(i).expect("running member").node
    }

    /// Events delivered to a member's host since its start: sequence number, whether it is a snapshot, and time.
    pub fn received(&self, i: usize) -> &[(u64, bool, Time)] {
        &self.hosts[i].received
    }

    pub fn decisions(&self, i: usize) -> &BTreeMap<u64, (Time, Decision)> {
        &self.hosts[i].decisions
    }

    pub fn with_node<T>(&mut self, i: usize, act: impl FnOnce(&mut Node, Time) -> T) -> T {
        let result =
            self.sim.with_actor(i, |member, now| act(&mut member.node, now)).expect("running member");
        self.after_step(i);
        result
    }

    pub fn request(&mut self, i: usize, key: BudgetKey, ticket: u64, until: Time) {
        self.with_node(i, |n, now| n.request(now, key, ticket, until));
    }

    fn publish(&mut self, line: String) -> u64 {
        self.events.push((line, self.sim.now));
        self.deliver_events();
        self.events.len() as u64
    }

    pub fn purge(&mut self, object: u64) -> u64 {
        let no = self.events.len() as u64 + 1;
        self.publish(
            json!({"no": no, "recall": {"item": format!("{object:016x}"), "issued": 1_000}}).to_string(),
        )
    }

    pub fn publish_endpoint(&mut self, name: &str, status: &'static str) -> u64 {
        let no = self.events.len() as u64 + 1;
        self.publish(roster_event(no, false, &[(name.to_owned(), status)]))
    }

    /// Records the outputs of a member after a step and checks its invariants.
    fn after_step(&mut self, i: usize) {
        let now = self.sim.now;
        let local = self.sim.local_time(i);
        let checks = self.sim.steps.is_multiple_of(self.check_every);
        let Some(member) = self.sim.slots[i].actor.as_mut() else { return };
        let (events, decisions) = (std::mem::take(&mut member.events), std::mem::take(&mut member.decisions));
        let node = &member.node;
        if checks {
            node.check_invariants(local).unwrap_or_else(|why| panic!("g{i}: {why}"));
        }
        let host = &mut self.hosts[i];
        if self.has_discovery && (node.wants_discovery() || host.discovery_conn.is_some()) {
            self.discovery_active.insert(i);
        }
        // A version beyond the published events does not correspond to any event.
        let no = node.relay.list.version().min(self.events.len() as u64);
        while host.delivered < no {
            let delay = now - self.events[host.delivered as usize].1;
            self.delays.saturating_record(delay.as_micros());
            host.delivered += 1;
        }
        if !self.keep_log {
            return;
        }
        for line in events {
            let value: Value = serde_json::from_slice(&line).expect("valid JSON");
            let snapshot = value.pointer("/roster/snapshot") == Some(&Value::Bool(true));
            let no = value["no"].as_u64().expect("sequence number");
            host.received.push((no, snapshot, now));
        }
        for (ticket, verdict) in decisions {
            let before = host.decisions.insert(ticket, (now, verdict));
            assert!(before.is_none(), "two decisions for ticket {ticket}");
        }
    }

    /// Delivers pending discovery events to all connected members.
    fn deliver_events(&mut self) {
        for i in self.discovery_active.clone() {
            let now = self.sim.now;
            let Some((since, sent, next_announcement)) = self.hosts[i].discovery_conn else { continue };
            if since > now || self.is_stopped(i) || !self.is_running(i) {
                continue;
            }
            let last = self.events.len() as u64;
            let events = &self.events[sent as usize..];
            self.sim.with_actor(i, |member, local| {
                for (line, _) in events {
                    member.node.discovery_event(local, line.as_bytes()).expect("valid event");
                }
                if now >= next_announcement {
                    assert!(member.node.discovery_version(local, last));
                }
            });
            let next_announcement =
                if now >= next_announcement { now + ms(1_000) } else { next_announcement };
            self.hosts[i].discovery_conn = Some((since, last, next_announcement));
            self.after_step(i);
        }
    }

    fn update_connections(&mut self) {
        let mut open_connections = 0;
        for i in self.discovery_active.clone() {
            let reachable = self.discovery_up && !self.cut_from_discovery.contains(&i);
            let (now, local) = (self.sim.now, self.sim.local_time(i));
            let host = &mut self.hosts[i];
            // The connection of a paused member is closed, too.
            let Some(node) = self.sim.slots[i].actor.as_mut().map(|m| &mut m.node) else {
                self.discovery_active.remove(&i);
                continue;
            };
            let wants = node.wants_discovery();
            match host.discovery_conn {
                None if wants => {
                    self.attempts += 1;
                    if reachable {
                        self.connections += 1;
                        let at = now + ms(2);
                        host.discovery_conn = Some((at, node.relay.list.version(), at));
                    } else {
                        node.discovery_closed(local);
                    }
                }
                Some(_) if !wants || !reachable => {
                    host.discovery_conn = None;
                    if wants {
                        node.discovery_closed(local);
                    }
                }
                _ => {}
            }
            open_connections += usize::from(host.discovery_conn.is_some());
            if !wants && host.discovery_conn.is_none() {
                self.discovery_active.remove(&i);
            }
        }
        self.max_connections = self.max_connections.max(open_connections);
        self.deliver_events();
    }

    /// Runs the simulation for `span`.
    pub fn run_for(&mut self, span: Span) {
        let end = self.sim.now + span;
        loop {
            let until = end.min(self.next_discovery_poll);
            while let Some(i) = self.sim.step(until) {
                self.after_step(i);
            }
            if self.next_discovery_poll > end {
                return;
            }
            if self.has_discovery {
                self.update_connections();
            }
            self.next_discovery_poll = self.sim.now + ms(10);
        }
    }

    pub fn live(&self) -> Vec<usize> {
        self.sim.live().map(|(i, _)| i).collect()
    }

    /// Checks that every live member has received all discovery events.
    pub fn check_delivered(&self) -> Result<(), String> {
        let last = self.events.len() as u64;
        for (i, member) in self.sim.live() {
            let no = member.node.relay.list.version();
            if no != last {
                return Err(format!("g{i} is at {no} of {last}"));
            }
        }
        Ok(())
    }

    /// Checks that every host received the events in order without gaps; a snapshot replaces all earlier events.
    pub fn check_order(&self) -> Result<(), String> {
        for (i, host) in self.hosts.iter().enumerate() {
            let mut at = 0;
            for &(no, snapshot, _) in &host.received {
                let fits = if snapshot { no >= at } else { no == at + 1 || no <= at };
                if !fits {
                    return Err(format!("g{i} received {no} after {at}"));
                }
                at = at.max(no);
            }
        }
        Ok(())
    }

    /// Returns the smallest and largest number of members that a live member considers live.
    pub fn live_view_range(&self) -> (usize, usize) {
        let all = self.sim.live().map(|(_, m)| m.node.members.live());
        all.fold((usize::MAX, 0), |(a, b), n| (a.min(n), b.max(n)))
    }
}
