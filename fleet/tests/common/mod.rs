//! A network of nodes in simulated time: datagrams with delay, loss, repeats and cuts, a bulletin that can fail, members
//! that are stopped, killed and started again. Chance comes from one seed.
#![allow(dead_code, reason = "each test file uses its part")]

use kelpcart::{Span, Time};
use kelpcart_fleet::lease::{Key, Verdict};
use kelpcart_fleet::node::{Node, Out};
use kelpcart_fleet::settings::Fleet;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

pub fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250) as u8 + 1], 7_600))
}

pub fn file(i: usize, change: impl Fn(&mut Value)) -> Fleet {
    let mut all = json!({
        "fleet": "east", "gateway": format!("g{i}"), "listen": address(i).to_string(),
        "seeds": [address(0).to_string(), address(1).to_string(), address(2).to_string()],
        "keys": [{"id": 1, "secret": "17".repeat(32)}],
    });
    change(&mut all);
    Fleet::read(&all.to_string()).unwrap()
}

pub struct Place {
    pub node: Option<Node>,
    pub file: Fleet,
    pub stopped: bool,
    wake: Time,
    /// A connection to the bulletin: when it stands, and how far it was told.
    line: Option<(Time, u64, Time)>,
    /// What its host has heard: the number of each line, and when.
    pub heard: Vec<(u64, bool, Time)>,
    pub verdicts: BTreeMap<u64, (Time, Verdict)>,
    starts: u64,
    /// Its clock is that much ahead.
    pub ahead: Span,
}

/// When, its number, from, to, and what.
type Under = Reverse<(Time, u64, usize, usize, Vec<u8>)>;

pub struct Net {
    pub now: Time,
    pub all: Vec<Place>,
    queue: BinaryHeap<Under>,
    sent: u64,
    /// Inputs and ticks after each of which the rules were checked.
    pub steps: u64,
    pub rng: Pcg64Mcg,
    pub loss: f64,
    pub repeat: f64,
    pub delay: Span,
    /// From one to another, one way.
    pub cuts: BTreeSet<(usize, usize)>,
    pub cut_from_bulletin: BTreeSet<usize>,
    pub events: Vec<Value>,
    pub bulletin_up: bool,
    pub connections: u64,
    pub attempts: u64,
    pub at_once: usize,
    /// Datagrams that were under way, kept to be sent again.
    pub recorded: Vec<(usize, usize, Vec<u8>)>,
    pub record: bool,
    places: BTreeMap<SocketAddr, usize>,
    pub change: fn(usize, &mut Value),
}

fn roster(no: u64, whole: bool, names: &[(String, &str)]) -> Value {
    let all: Vec<Value> = names
        .iter()
        .map(|(n, status)| json!({"name": n, "address": "127.0.0.1:1", "zone": "hub", "type": "box", "status": status}))
        .collect();
    json!({"no": no, "roster": {"index": 0, "snapshot": whole, "endpoints": all}})
}

impl Net {
    pub fn new(n: usize, seed: u64, change: fn(usize, &mut Value)) -> Net {
        let caches: Vec<(String, &str)> = (0..40).map(|i| (format!("c{i}"), "up")).collect();
        let mut net = Net {
            now: Time::from_micros(1_000_000_000),
            all: Vec::new(),
            queue: BinaryHeap::new(),
            sent: 0,
            steps: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            repeat: 0.0,
            delay: ms(1),
            cuts: BTreeSet::new(),
            cut_from_bulletin: BTreeSet::new(),
            events: vec![roster(1, true, &caches)],
            bulletin_up: true,
            connections: 0,
            attempts: 0,
            at_once: 0,
            recorded: Vec::new(),
            record: false,
            places: (0..n).map(|i| (address(i), i)).collect(),
            change,
        };
        for i in 0..n {
            net.all.push(Place {
                node: None,
                file: file(i, |v| change(i, v)),
                stopped: false,
                wake: Time::default(),
                line: None,
                heard: Vec::new(),
                verdicts: BTreeMap::new(),
                starts: 0,
                ahead: Span::ZERO,
            });
        }
        net
    }

    pub fn start(&mut self, i: usize) {
        let (run, seed) = (self.rng.random(), self.rng.random());
        let now = self.at(i);
        let place = &mut self.all[i];
        place.node = Some(Node::new(&place.file, run, seed, now, 0, &[]).unwrap());
        (place.wake, place.stopped, place.line) = (self.now, false, None);
        place.heard.clear();
        place.starts += 1;
    }

    pub fn start_all(&mut self) {
        (0..self.all.len()).for_each(|i| self.start(i));
    }

    pub fn kill(&mut self, i: usize) {
        self.all[i].node = None;
        self.all[i].line = None;
    }

    pub fn node(&self, i: usize) -> &Node {
        self.all[i].node.as_ref().unwrap()
    }

    /// The time by the clock of one.
    pub fn at(&self, i: usize) -> Time {
        self.now + self.all[i].ahead
    }

    pub fn with<T>(&mut self, i: usize, act: impl FnOnce(&mut Node, Time) -> T) -> T {
        let now = self.at(i);
        let given = act(self.all[i].node.as_mut().unwrap(), now);
        self.pull(i);
        given
    }

    pub fn want(&mut self, i: usize, key: Key, ticket: u64, until: Time) {
        self.with(i, |n, now| n.want(now, key, ticket, until));
    }

    pub fn purge(&mut self, object: u64) -> u64 {
        let no = self.events.len() as u64 + 1;
        self.events.push(json!({"no": no, "recall": {"item": format!("{object:016x}"), "issued": 1_000}}));
        self.tell_lines();
        no
    }

    pub fn listed(&mut self, name: &str, status: &'static str) -> u64 {
        let no = self.events.len() as u64 + 1;
        self.events.push(roster(no, false, &[(name.to_owned(), status)]));
        self.tell_lines();
        no
    }

    pub fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.repeat));
        for _ in 0..copies {
            self.sent += 1;
            let at = self.now + self.delay * self.rng.random_range(0.5..1.5);
            self.queue.push(Reverse((at, self.sent, from, to, bytes.clone())));
        }
    }

    fn pull(&mut self, i: usize) {
        let now = self.now;
        while let Some(out) = self.all[i].node.as_mut().and_then(Node::poll) {
            match out {
                Out::Datagram(to, bytes) => {
                    assert!(bytes.len() <= kelpcart_fleet::seal::MOST_DATAGRAM, "{} bytes", bytes.len());
                    let Some(to) = self.places.get(&to).copied() else { continue };
                    if self.record && self.recorded.len() < 5_000 {
                        self.recorded.push((i, to, bytes.clone()));
                    }
                    self.send(i, to, bytes);
                }
                Out::Line(line) => {
                    let value: Value = serde_json::from_slice(&line).unwrap();
                    let whole = value.pointer("/roster/snapshot") == Some(&Value::Bool(true));
                    let no = value["no"].as_u64().unwrap();
                    self.all[i].heard.push((no, whole, now));
                }
                Out::Verdict(ticket, verdict) => {
                    let before = self.all[i].verdicts.insert(ticket, (now, verdict));
                    assert!(before.is_none(), "two verdicts for ticket {ticket}");
                }
                Out::Wanted(_) => {}
            }
        }
        self.steps += 1;
        let place = &mut self.all[i];
        if let Some(node) = &place.node {
            let own = now + place.ahead;
            place.wake = now + (node.next_wake(own) - own);
            node.check_rules(own).unwrap_or_else(|why| panic!("g{i}: {why}"));
        }
    }

    /// What stands at the bulletin is told to those who are connected.
    fn tell_lines(&mut self) {
        for i in 0..self.all.len() {
            let Some((since, mut told, mut pulse)) = self.all[i].line else { continue };
            if since > self.now || self.all[i].stopped {
                continue;
            }
            let (now, own) = (self.now, self.at(i));
            let last = self.events.len() as u64;
            let Some(node) = self.all[i].node.as_mut() else { continue };
            while told < last {
                node.line(own, self.events[told as usize].to_string().as_bytes()).unwrap();
                told += 1;
            }
            if now >= pulse {
                assert!(node.last(own, last));
                pulse = now + ms(1_000);
            }
            self.all[i].line = Some((since, told, pulse));
            self.pull(i);
        }
    }

    fn lines(&mut self) {
        let mut open = 0;
        for i in 0..self.all.len() {
            let reach = self.bulletin_up && !self.cut_from_bulletin.contains(&i);
            let place = &mut self.all[i];
            let Some(node) = place.node.as_mut() else { continue };
            let asks = node.asks();
            match place.line {
                None if asks => {
                    self.attempts += 1;
                    if reach {
                        self.connections += 1;
                        let at = self.now + ms(2);
                        place.line = Some((at, node.relay.list.no(), at));
                    } else {
                        node.ended(self.now + place.ahead);
                    }
                }
                Some(_) if !asks || !reach => {
                    place.line = None;
                    if asks {
                        node.ended(self.now + place.ahead);
                    }
                }
                _ => {}
            }
            open += usize::from(place.line.is_some());
        }
        self.at_once = self.at_once.max(open);
        self.tell_lines();
    }

    /// Goes on for so long, rules checked after every step.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        let mut next_lines = self.now;
        let mut turns = (self.now, 0);
        loop {
            let due = self.queue.peek().map(|Reverse(d)| d.0);
            let live = self.all.iter().filter(|p| p.node.is_some() && !p.stopped).map(|p| p.wake).min();
            let at = [due, live, Some(next_lines)].into_iter().flatten().min().unwrap_or(end).max(self.now);
            if at > end {
                self.now = end;
                return;
            }
            turns = if turns.0 == at { (at, turns.1 + 1) } else { (at, 0) };
            assert!(turns.1 < 20_000, "time stands still");
            self.now = at;
            if at >= next_lines {
                self.lines();
                next_lines = at + ms(10);
            }
            if due == Some(at)
                && let Some(Reverse((_, _, from, to, bytes))) = self.queue.pop()
            {
                let place = &mut self.all[to];
                if !place.stopped
                    && let Some(node) = place.node.as_mut()
                {
                    node.datagram(at + place.ahead, address(from), &bytes);
                    self.pull(to);
                }
                continue;
            }
            for i in 0..self.all.len() {
                let place = &mut self.all[i];
                if place.wake <= at
                    && !place.stopped
                    && let Some(node) = place.node.as_mut()
                {
                    node.tick(at + place.ahead);
                    self.pull(i);
                }
            }
        }
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.all.len()).filter(|&i| self.all[i].node.is_some() && !self.all[i].stopped).collect()
    }

    /// Every live one knows the bulletin's list, whole and in order.
    pub fn all_told(&self) -> Result<(), String> {
        let last = self.events.len() as u64;
        for i in self.live() {
            let no = self.node(i).relay.list.no();
            if no != last {
                return Err(format!("g{i} is at {no} of {last}"));
            }
        }
        Ok(())
    }

    /// Each line once, none after a gap; a whole list may stand for those before it.
    pub fn in_order(&self) -> Result<(), String> {
        for (i, place) in self.all.iter().enumerate() {
            let mut at = 0;
            for &(no, whole, _) in &place.heard {
                let fits = if whole { no >= at } else { no == at + 1 || no <= at };
                if !fits {
                    return Err(format!("g{i} heard {no} after {at}"));
                }
                at = at.max(no);
            }
        }
        Ok(())
    }

    /// How many others each live one holds to be live, least and most.
    pub fn seen(&self) -> (usize, usize) {
        let all = self.live().into_iter().map(|i| self.node(i).members.live());
        all.fold((usize::MAX, 0), |(a, b), n| (a.min(n), b.max(n)))
    }
}
