//! Seeded random schedules of client, discovery and cache behaviour against a gateway process: connections that are opened,
//! closed and abandoned, requests that are sent and cancelled, members that drain, leave and restart, purges, responses that
//! are valid, malformed, truncated or delayed, and a planned shutdown.
//!
//! The rules are checked against the records of the stubs, which share no state with the gateway, and only by the order of
//! events: a request that was sent after the gateway had applied a discovery event must respect that event.

mod stand_ins;

use quickcheck::{Gen, QuickCheck};
use serde_json::json;
use stand_ins::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex};

/// The kind of action, the client or member it applies to, and its parameter.
type Step = (u8, u8, u16);

const EDGES: [&str; 4] = ["e1", "e2", "e3", "e4"];
const BODY_BYTES: usize = 20_000;
const MAX_CLIENTS: usize = 5;

/// Record of the stub caches, and the state that controls their responses.
#[derive(Default)]
struct Record {
    /// How often each write ran.
    ran: BTreeMap<String, u32>,
    /// Hops: request id, member, fill source, and whether a maximum age was set.
    hops: Vec<(String, &'static str, Option<String>, bool)>,
    /// Held responses are sent once this has grown.
    released: u64,
    finished: bool,
}

type Shared = Arc<(Mutex<Record>, Condvar)>;

fn cache(id: &'static str, seed: u64, shared: &Shared) -> StubCache {
    let shared = Arc::clone(shared);
    StubCache::start(move |request| {
        let trace = request.header("X-Trace").unwrap().to_owned();
        let mut record = shared.0.lock().unwrap();
        let before = record.hops.iter().filter(|hop| hop.0 == trace).count() as u64;
        let source = request.header("X-Fill-From").map(str::to_owned);
        let has_max_age = request.header("X-Max-Age-Ms").is_some();
        record.hops.push((trace.clone(), id, source, has_max_age));
        // Derived from the request id and hop number, so that a hop gets the same response in any order of events.
        let chance = mix(seed ^ u64::from_str_radix(&trace, 16).unwrap() << 8 ^ before);
        if chance >> 32 & 3 == 0 {
            let until = record.released + 1;
            record =
                shared.1.wait_while(record, |record| record.released < until && !record.finished).unwrap();
        }
        let path = request.head.split(' ').nth(1).unwrap();
        let (reply, runs) = response(chance, &body_for_path(path, BODY_BYTES));
        if runs && !request.body.is_empty() {
            *record.ran.entry(String::from_utf8(request.body.clone()).unwrap()).or_default() += 1;
        }
        reply
    })
}

fn mix(n: u64) -> u64 {
    let n = (n ^ n >> 31).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (n ^ n >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ n >> 32
}

/// A stub cache's response to a hop, and whether the hop ran.
fn response(chance: u64, body: &[u8]) -> (Reply, bool) {
    let good = http_response("200 OK", "X-Result: hit\r\n", body);
    match chance % 16 {
        0 => (Reply::Send(http_response("404 Not Found", "X-Result: src_lacks\r\n", b"")), false),
        1 => {
            (Reply::Send(http_response("503 Full", "X-Declined: 1\r\nX-Result: src_refused\r\n", b"")), false)
        }
        2 => (Reply::Send(http_response("500 Error", "", b"an error page")), true),
        3 => (Reply::SendAndClose(Vec::new()), true),
        4 => (Reply::SendAndClose(good[..good.len() / 2].to_vec()), true),
        5 => (Reply::Send(http_response("504 Over", "X-Declined: 1\r\n", b"")), false),
        6 => (Reply::SendAndClose(good), true),
        7 => (Reply::Send(b"HTTP/1.1 what\r\n\r\n".to_vec()), true),
        8 => (Reply::Send([&good[..], b"HTTP/1.1 200 OK\r\nContent-Le"].concat()), true),
        9 => (Reply::Send([b"HTTP/1.1 103 Early\r\n\r\n", &good[..]].concat()), true),
        _ => (Reply::Send(good), true),
    }
}

/// A request that was sent.
struct SentRequest {
    path: String,
    /// The body of a write, unique to it; empty for reads.
    effect: String,
}

struct Connection {
    client: Client,
    open: BTreeMap<u64, SentRequest>,
    /// Cancelled requests: an answer that was already in flight may still arrive.
    cancelled: BTreeMap<u64, SentRequest>,
}

struct Schedule {
    gateway: Gateway,
    discovery: DiscoveryServer,
    members: BTreeMap<&'static str, (Member, &'static str)>,
    shared: Shared,
    connections: Vec<Connection>,
    purged: BTreeSet<u64>,
    last_event: u64,
    effects: u32,
    /// Rejected writes: they must not have run, nor run later.
    rejected: Vec<String>,
    /// All requests by request id: members that must not get a hop of it, and whether its object was purged before.
    sent: BTreeMap<String, (BTreeSet<&'static str>, bool)>,
}

impl Schedule {
    fn start(seed: u64) -> (Schedule, Vec<StubCache>) {
        let shared = Shared::default();
        let ids = EDGES.into_iter().map(|id| (id, "box")).chain([("p1", "parent"), ("o", "origin")]);
        let ids: Vec<_> = ids.collect();
        let caches: Vec<StubCache> = ids.iter().map(|(id, _)| cache(id, seed, &shared)).collect();
        let list: Vec<Member> =
            ids.iter().zip(&caches).map(|((id, kind), cache)| Member(id, kind, cache.address)).collect();
        let discovery = DiscoveryServer::start(Vec::new());
        let gateway = Gateway::start(&config(&list, discovery.address, 32));
        discovery.next_subscription();
        let members = list.into_iter().map(|m| (m.0, (m, "up"))).collect();
        let (connections, purged, rejected, sent) = Default::default();
        let (last_event, effects) = (1, 0);
        let schedule = Schedule {
            gateway,
            discovery,
            members,
            shared,
            connections,
            purged,
            last_event,
            effects,
            rejected,
            sent,
        };
        (schedule, caches)
    }

    /// Sends an event and waits until the gateway has applied it.
    fn send_event(&mut self, line: &str) {
        self.discovery.send_line(line);
        while self.gateway.counter("bulletin events") < self.last_event as usize - 1 {}
    }

    fn list_member(&mut self, id: &'static str, state: &'static str, since_ms: u64) {
        self.last_event += 1;
        let (member, now) = self.members.get_mut(id).unwrap();
        *now = state;
        if state == "up" {
            // From now on hops may go to this member again.
            self.sent.values_mut().for_each(|(closed, _)| _ = closed.remove(id));
        }
        let mut entry = endpoint(member, state);
        entry["since_ms"] = json!(since_ms);
        let line = roster_event(self.last_event, json!([entry]));
        self.send_event(&line);
    }

    fn step(&mut self, (kind, pick, what): Step) {
        let n = self.connections.len();
        let at = usize::from(pick) % n.max(1);
        let edge = EDGES[usize::from(pick) % EDGES.len()];
        match kind % 16 {
            0 | 1 if n < MAX_CLIENTS => {
                let client = Client::connect(&self.gateway);
                self.connections.push(Connection {
                    client,
                    open: BTreeMap::new(),
                    cancelled: BTreeMap::new(),
                });
            }
            2..=8 if n > 0 && self.connections[at].client.next_message_id < 250 => {
                self.send_request(at, what)
            }
            9 if n > 0 => {
                let c = &mut self.connections[at];
                let open = c.open.keys().nth(usize::from(what) % c.open.len().max(1)).copied();
                if let Some(id) = open {
                    c.client.cancel(id);
                    let asked = c.open.remove(&id).unwrap();
                    c.cancelled.insert(id, asked);
                }
            }
            // Disconnects with open requests, unread answers and at times a partial message.
            10 if n > 0 => {
                let mut left = self.connections.swap_remove(at);
                if what % 2 == 0 {
                    left.client.send(&[0x94, 0x00, 0xcc]);
                }
            }
            11 => {
                let state = ["up", "draining", "removed", "up"][usize::from(what) % 4];
                // A restart is far enough in the past for the cache to be warm.
                self.list_member(edge, state, u64::from(what % 4 == 3) * 1_000);
            }
            12 => {
                let object = u64::from(what % 12);
                self.last_event += 1;
                let purge = json!({"item": format!("{object:016x}"), "issued": 1_000});
                self.send_event(&json!({"no": self.last_event, "recall": purge}).to_string());
                self.purged.insert(object);
            }
            13 if n > 0 => {
                let c = &mut self.connections[at];
                c.client.send_health_check();
                while !self.read_answer(at) {}
            }
            14 => self.answer_all(),
            15 => self.release(),
            _ => {}
        }
    }

    fn send_request(&mut self, at: usize, what: u16) {
        let (write, object) = (what.is_multiple_of(4), u64::from(what / 4 % 12));
        self.effects += u32::from(write);
        let effect = if write { format!("effect {}", self.effects) } else { String::new() };
        let method = if write { "commit" } else { "segment" };
        let closed = self.members.iter().filter(|(_, (_, state))| *state != "up").map(|(id, _)| *id);
        let (closed, purged) = (closed.collect::<BTreeSet<_>>(), !write && self.purged.contains(&object));
        let c = &mut self.connections[at];
        let id = c.client.send_request(method, object, 20_000, effect.as_bytes());
        self.sent.insert(c.client.request_id.clone(), (closed, purged));
        let path = format!("/x/{method}/{object:016x}/3");
        c.open.insert(id, SentRequest { path, effect });
    }

    fn release(&self) {
        self.shared.0.lock().unwrap().released += 1;
        self.shared.1.notify_all();
    }

    /// Reads a connection's next answer; `true` if it is the answer to a health check.
    fn read_answer(&mut self, at: usize) -> bool {
        let c = &mut self.connections[at];
        let answer = c.client.read_answer();
        if answer.error.is_none() && answer.body.len() == 1 {
            return true;
        }
        let asked = c.open.remove(&answer.id).or_else(|| c.cancelled.remove(&answer.id));
        let asked = asked.unwrap_or_else(|| panic!("answer to a request that is not open: {}", answer.id));
        self.check(&asked, &answer);
        false
    }

    fn check(&mut self, asked: &SentRequest, answer: &Answer) {
        let record = self.shared.0.lock().unwrap();
        let ran = record.ran.get(&asked.effect).copied().unwrap_or(0);
        match answer.error.as_deref() {
            None => {
                assert!(
                    answer.body == body_for_path(&asked.path, BODY_BYTES),
                    "body differs from the cache's response"
                );
                assert!(
                    asked.effect.is_empty() || ran == 1,
                    "{} was served and ran {ran} times",
                    asked.effect
                );
            }
            Some("Backoff") => {
                assert!(asked.effect.is_empty() || ran == 0, "{} was rejected, though it ran", asked.effect);
                self.rejected.push(asked.effect.clone());
            }
            Some(word) => assert_eq!(word, "Lost"),
        }
    }

    /// Waits until all open requests are answered.
    fn answer_all(&mut self) {
        for at in 0..self.connections.len() {
            while !self.connections[at].open.is_empty() {
                // The txn's next hop may be held, too.
                self.release();
                if self.connections[at].client.has_answer() {
                    self.read_answer(at);
                }
            }
        }
    }

    fn end(mut self, stop: bool) {
        if stop {
            self.gateway.signal("TERM");
        }
        self.answer_all();
        if stop {
            assert!(self.gateway.child.wait().unwrap().success());
        } else {
            // Txns that were answered, abandoned or cancelled are in no table.
            let tables = ["txns open", "txns by message", "txns by id", "txns decided on"];
            while !tables.iter().all(|what| self.gateway.gauges()[*what] == 0) {}
            self.release();
            while self.gateway.gauges()["hops out"] + self.gateway.gauges()["hops decided on"] > 0 {
                self.release();
            }
        }
        let mut record = self.shared.0.lock().unwrap();
        record.finished = true;
        self.shared.1.notify_all();
        assert!(record.ran.values().all(|&n| n == 1), "a write ran twice: {:?}", record.ran);
        for effect in self.rejected.iter().filter(|effect| !effect.is_empty()) {
            assert!(!record.ran.contains_key(effect), "{effect} was rejected, but ran");
        }
        for (trace, to, source, has_max_age) in &record.hops {
            let (closed, purged) = &self.sent[trace];
            assert!(
                !closed.contains(to),
                "{trace} went to {to}, which was draining or removed when it was sent"
            );
            let from = source.as_deref().is_some_and(|source| closed.contains(source));
            assert!(
                !from,
                "{trace} was filled from {source:?}, which was draining or removed when it was sent"
            );
            assert!(!purged || *has_max_age, "{trace} allows a copy that was purged before it was sent");
        }
    }
}

fn run_schedule(stop: bool, seed: u64, steps: Vec<Step>) -> bool {
    let (mut schedule, _caches) = Schedule::start(seed);
    for step in steps {
        schedule.step(step);
    }
    schedule.end(stop);
    true
}

#[test]
fn random_schedules_keep_the_rules() {
    // SCHEDULES_SEED explores other schedules; the suite uses a fixed one.
    let seed = std::env::var("SCHEDULES_SEED").map_or(23, |seed| seed.parse().unwrap());
    let seeded = Gen::from_size_and_seed(320, seed);
    QuickCheck::new().rng(seeded).tests(16).quickcheck(run_schedule as fn(bool, u64, Vec<Step>) -> bool);
}
