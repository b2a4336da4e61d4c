//! Acceptors with replicated ledgers, as processes on loopback: one is lost with all its state, or several are, and
//! the outcomes are found again. No test depends on the machine's speed.

mod common;

use common::{Client, PATIENCE, held, len, program, wait_for};
use kelpcart_rig::caches::{CacheEndpoint, Latencies, Site};
use kelpcart_rig::client::Status;
use kelpcart_rig::discovery::DiscoveryServer;
use kelpcart_rig::fleet::{self, Gateway, Node, free_udp_address};
use kelpcart_rig::keys::Authority;
use kelpcart_rig::link_emulator::LinkConditions;
use kelpcart_rig::relay::Relay;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

static TESTS: AtomicU8 = AtomicU8::new(1);

/// Two sites; the far one has several gateways that replicate their ledger.
struct World {
    folder: PathBuf,
    site: Arc<Site>,
    endpoints: Vec<CacheEndpoint>,
    bulletins: [DiscoveryServer; 2],
    listens: Vec<SocketAddr>,
    holders: Vec<SocketAddr>,
    relays: Vec<Relay>,
    fars: Vec<Option<Gateway>>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.site.stop();
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl World {
    fn new(name: &str, fars: usize) -> World {
        let folder = format!("{}/copies-{name}-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        let folder = PathBuf::from(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let times = Latencies { hit: Duration::ZERO, fill: Duration::ZERO, origin: Duration::ZERO };
        let site = Site::new(times, len);
        let place = |(name, kind)| site.start_member(name, kind).unwrap();
        let endpoints = [("e1", "box"), ("p1", "parent"), ("o", "origin")].map(place).to_vec();
        let authority = Authority::new().unwrap();
        ["near", "far"].iter().for_each(|site| authority.write(&folder, site).unwrap());
        // Addresses of this test's own, so that no port that others bind by port 0 collides with them.
        let (net, test) = (60 + (std::process::id() % 100) as u8, TESTS.fetch_add(1, Ordering::SeqCst));
        let own = |port| (0..fars as u8).map(|i| ([127, net, test, i + 1], port).into()).collect::<Vec<_>>();
        let (listens, holders): (Vec<SocketAddr>, Vec<SocketAddr>) = (own(7_601), own(7_602));
        let relay = |at: &SocketAddr| Relay::start(*at, 7, LinkConditions::default()).unwrap();
        let relays = listens.iter().map(relay).collect();
        let mut world = World {
            folder,
            site,
            endpoints,
            bulletins: [DiscoveryServer::start(1).unwrap(), DiscoveryServer::start(1).unwrap()],
            listens,
            holders,
            relays,
            fars: (0..fars).map(|_| None).collect(),
        };
        (0..fars).for_each(|i| world.start(i));
        world
    }

    fn config(&self, name: &str, bulletin: &DiscoveryServer, endpoints: &[CacheEndpoint]) -> Value {
        let node = Node { name, zone: "z", discovery: bulletin.address, endpoints, memory_mb: 96, seed: 7 };
        let mut all = fleet::config(&node);
        for class in all["settings"]["Classes"].as_array_mut().unwrap() {
            (class["SloUs"], class["DeadlineUs"]) = (json!(20_000_000), json!(24_000_000));
        }
        all
    }

    fn sites(&self, site: &str, gateway: &str, rest: Value) -> Value {
        let path = |name: &str| self.folder.join(name).display().to_string();
        let mut all = json!({
            "site": site, "gateway": gateway, "importance": {"book": 9},
            "keys": {"certificate": path(&format!("{site}.pem")), "key": path(&format!("{site}.key")),
                "roots": path("roots.pem")},
        });
        all.as_object_mut().unwrap().extend(rest.as_object().unwrap().clone());
        all
    }

    /// Starts a far gateway without any state of an earlier start.
    fn start(&mut self, i: usize) {
        let name = format!("far-{i}");
        let rest = json!({"listen": self.listens[i].to_string(), "accept": ["near"]});
        let holder = |(i, at): (usize, &SocketAddr)| json!({"name": format!("far-{i}"), "address": at.to_string(), "zone": format!("z{i}")});
        let copies = json!({
            "gateway": name, "listen": self.holders[i].to_string(), "copies": 3,
            "holders": self.holders.iter().enumerate().map(holder).collect::<Vec<_>>(),
            // Long timeouts, so that a busy machine does not make a gateway count as lost.
            "times": {"election_ms": 600, "wait_ms": 4_000, "lost_ms": 5_000, "absent_ms": 8_000},
        });
        let (config, sites) =
            (self.config(&name, &self.bulletins[1], &self.endpoints), self.sites("far", &name, rest));
        let far = Gateway::start_with(program(), &self.folder, &config, Some(&sites), Some(&copies));
        self.fars[i] = Some(far.unwrap());
    }

    fn lose(&mut self, i: usize) {
        self.fars[i].as_mut().unwrap().kill();
        self.fars[i] = None;
    }

    fn near(&self) -> Gateway {
        let peer = |(i, relay): (usize, &Relay)| {
            json!({"name": format!("far-{i}"), "site": "far", "address": relay.address.to_string(),
                "as": ["parent", "origin"], "size": 64.0})
        };
        let peers: Vec<Value> = self.relays.iter().enumerate().map(peer).collect();
        let config = self.config("near-1", &self.bulletins[0], &[]);
        let sites = self.sites("near", "near-1", json!({"peers": peers}));
        let near = Gateway::start(program(), &self.folder, &config, Some(&sites)).unwrap();
        wait_for(&near, ") is up", self.fars.len());
        near
    }

    fn ran(&self, trace: u64) -> u32 {
        self.site.executions.lock().unwrap().get(&trace).copied().unwrap_or(0)
    }

    fn count(&self, i: usize, what: &str) -> f64 {
        let Some(far) = &self.fars[i] else { return 0.0 };
        fleet::counters(&far.counters()).get(what).copied().unwrap_or(0.0)
    }

    /// The far gateways for which a counter is above zero, once there are any.
    fn with(&self, what: &str) -> Vec<usize> {
        let began = Instant::now();
        loop {
            let all: Vec<usize> = (0..self.fars.len()).filter(|&i| self.count(i, what) > 0.0).collect();
            if !all.is_empty() {
                return all;
            }
            assert!(began.elapsed() < PATIENCE, "{what}");
        }
    }

    /// Waits until this many members vote and all gateways see a leader.
    fn settle(&self, voters: usize) {
        let began = Instant::now();
        let live = || (0..self.fars.len()).filter(|&i| self.fars[i].is_some());
        loop {
            let held: f64 = live().map(|i| self.count(i, "copies voting")).sum();
            let led = live().all(|i| self.count(i, "copies groups with a leader") >= 1.0);
            if held >= voters as f64 && led {
                return;
            }
            assert!(began.elapsed() < PATIENCE, "{held} of {voters} vote");
        }
    }
}

#[test]
fn another_gateway_reports_the_outcome_after_its_own_gateway_is_lost() {
    let mut world = World::new("ended", 4);
    world.settle(3);
    let near = world.near();
    let mut client = Client::of(&near);
    client.served("book", 1);
    let trace = client.held_book(&world.site);
    let at = world.with("far txns running")[0];
    // The txn ends and its outcome is replicated; its answer is lost on the link when its machine is lost with all
    // its state.
    world.relays[at].set_conditions(|w| w.blocked = [true; 2]);
    world.site.block_writes(false);
    let began = Instant::now();
    while world.count(at, "far txns running") > 0.0 {
        assert!(began.elapsed() < PATIENCE);
    }
    world.lose(at);
    assert_eq!((client.answer().status, world.ran(trace)), (Status::Served, 1));
}

#[test]
fn a_txn_running_at_a_lost_gateway_ends_as_unknown_and_never_runs_again() {
    let mut world = World::new("in-hand", 4);
    world.settle(3);
    let near = world.near();
    let mut client = Client::of(&near);
    client.served("book", 1);
    for _ in 0..2 {
        let trace = client.held_book(&world.site);
        let at = world.with("far txns running")[0];
        world.lose(at);
        world.site.block_writes(false);
        assert_eq!((client.answer().status, world.ran(trace)), (Status::Failed, 1));
        // It restarts without state and receives the ledger from the others.
        world.start(at);
        world.settle(3);
        client.served("book", 1);
    }
}

#[test]
fn without_a_majority_unrepeatable_txns_are_rejected_at_once_and_reads_go_on() {
    let mut world = World::new("majority", 3);
    world.settle(3);
    let near = world.near();
    let mut client = Client::of(&near);
    client.served("book", 1);
    client.served("media", 6);
    let lost = [0, 1];
    lost.iter().for_each(|&i| world.lose(i));
    let began = Instant::now();
    while world.count(2, "copies groups with a leader") > 0.0 {
        assert!(began.elapsed() < PATIENCE);
    }
    let trace = client.ask("book", 5);
    let answer = client.answer();
    assert_eq!((answer.status, world.ran(trace)), (Status::Rejected, 0));
    client.served("media", 6);
    // The lost gateways restart without state: a new ledger is founded, and txns are served again.
    lost.iter().for_each(|&i| world.start(i));
    let (trace, _) = client.served("book", 7);
    assert_eq!(world.ran(trace), 1);
    wait_for(world.fars[2].as_ref().unwrap(), "a majority of its group has lost its state", 1);
}

#[test]
fn once_lost_machines_are_listed_in_the_settings_txns_are_served_again() {
    let mut world = World::new("for-good", 4);
    world.settle(3);
    let near = world.near();
    let mut client = Client::of(&near);
    client.served("book", 1);
    let voting: Vec<usize> = (0..4).filter(|&i| world.count(i, "copies voting") > 0.0).take(2).collect();
    voting.iter().for_each(|&i| world.lose(i));
    let live: Vec<usize> = (0..4).filter(|i| !voting.contains(i)).collect();
    let began = Instant::now();
    while live.iter().any(|&i| world.count(i, "copies groups with a leader") > 0.0) {
        assert!(began.elapsed() < PATIENCE);
    }
    for &i in &live {
        let path = world.folder.join(format!("far-{i}.copies.json"));
        let mut file: Value = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
        file["lost"] = voting.iter().map(|i| format!("far-{i}")).collect();
        std::fs::write(&path, file.to_string()).unwrap();
        world.fars[i].as_ref().unwrap().signal("HUP").unwrap();
    }
    let (trace, _) = client.served("book", 7);
    assert_eq!(world.ran(trace), 1);
}

#[test]
fn a_leader_paused_while_it_runs_txns_runs_none_twice_after_it_resumes() {
    let world = World::new("stopped", 4);
    world.settle(3);
    let near = world.near();
    let mut client = Client::of(&near);
    client.served("book", 1);
    let leader = world.with("copies led")[0];
    let far = world.fars[leader].as_ref().unwrap();
    far.signal("STOP").unwrap();
    // What it was sent before stays in its buffers; others accept what comes now.
    let traces: Vec<u64> = (0..8).map(|_| client.ask("book", 9)).collect();
    let others: Vec<usize> = (0..4).filter(|i| *i != leader).collect();
    let began = Instant::now();
    while others.iter().all(|&i| world.count(i, "copies led") == 0.0) {
        assert!(began.elapsed() < PATIENCE);
    }
    far.signal("CONT").unwrap();
    let mut words: Vec<Status> = traces.iter().map(|_| client.answer().status).collect();
    words.dedup();
    for trace in &traces {
        assert!(world.ran(*trace) <= 1, "{words:?}");
    }
    let (trace, _) = client.served("book", 3);
    assert_eq!(world.ran(trace), 1);
}

#[test]
fn without_replication_there_is_no_thread_socket_or_counter_of_it() {
    let mut world = World::new("off", 3);
    world.settle(3);
    let on = held(world.fars[0].as_ref().unwrap().id());
    world.lose(0);
    let rest = json!({"listen": world.listens[0].to_string(), "accept": ["near"]});
    let config = world.config("far-0", &world.bulletins[1], &world.endpoints);
    let sites = world.sites("far", "far-0", rest);
    let far = Gateway::start(program(), &world.folder, &config, Some(&sites)).unwrap();
    // Only the links' own socket, and no more threads than with replication in memory.
    let off = held(far.id());
    assert_eq!((off, off.1 + 1), ((on.0, 1), on.1));
    let counters = far.counters();
    assert!(!counters.is_empty() && !counters.contains("copies"), "{counters}");
}

#[test]
fn invalid_settings_are_reported_and_prevent_the_start() {
    let mut world = World::new("unfit", 3);
    let refused = |copies: Value, what: &str| {
        let rest = json!({"listen": free_udp_address().unwrap().to_string(), "accept": ["near"]});
        let config = world.config("far-9", &world.bulletins[1], &world.endpoints);
        let sites = world.sites("far", "far-9", rest);
        let start = Gateway::start_with(program(), &world.folder, &config, Some(&sites), Some(&copies));
        let why = start.err().unwrap().to_string();
        assert!(why.contains(what), "{why}");
    };
    let holder = |i: usize| json!({"name": format!("far-{i}"), "address": format!("127.0.0.1:{}", 9_000 + i), "zone": "z"});
    let all = |n: usize| (0..n).map(holder).collect::<Vec<_>>();
    refused(
        json!({"gateway": "far-9", "listen": "127.0.0.1:9", "holders": all(3)}),
        "gateway: it is not among",
    );
    refused(
        json!({"gateway": "far-0", "listen": "127.0.0.1:9", "holders": all(2)}),
        "holders: at least as many",
    );
    refused(
        json!({"gateway": "far-0", "listen": "127.0.0.1:9", "holders": all(3), "times": {"lost_ms": 900}}),
        "times.lost_ms",
    );
    world.fars.clear();
}
