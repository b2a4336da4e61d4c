//! Two sites on loopback: real gateways as processes, a link between them that the test holds in its hand, and stand-ins
//! at the far one. No test depends on how fast the machine is: all limits are long, and each step waits for its sign.

mod common;

use common::{Client, PATIENCE, len, program, wait_for};
use kelpcart_rig::caches::{CacheEndpoint, Latencies, Site, copy_created_ms};
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
use std::time::{Duration, Instant};

struct World {
    folder: PathBuf,
    site: Arc<Site>,
    endpoints: Vec<CacheEndpoint>,
    near_bulletin: DiscoveryServer,
    far_bulletin: DiscoveryServer,
    authority: Authority,
    listen: SocketAddr,
}

impl Drop for World {
    fn drop(&mut self) {
        self.site.stop();
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl World {
    fn new(name: &str) -> World {
        let folder = format!("{}/sites-{name}-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        let folder = PathBuf::from(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let times = Latencies { hit: Duration::ZERO, fill: Duration::ZERO, origin: Duration::ZERO };
        let site = Site::new(times, len);
        let place = |(name, kind)| site.start_member(name, kind).unwrap();
        let endpoints = [("e1", "box"), ("p1", "parent"), ("o", "origin")].map(place).to_vec();
        let authority = Authority::new().unwrap();
        ["near", "far"].iter().for_each(|site| authority.write(&folder, site).unwrap());
        World {
            site,
            endpoints,
            near_bulletin: DiscoveryServer::start(1).unwrap(),
            far_bulletin: DiscoveryServer::start(1).unwrap(),
            authority,
            listen: free_udp_address().unwrap(),
            folder,
        }
    }

    fn config(&self, name: &str, bulletin: &DiscoveryServer, endpoints: &[CacheEndpoint]) -> Value {
        let zone = "z";
        let node = Node { name, zone, discovery: bulletin.address, endpoints, memory_mb: 96, seed: 7 };
        let mut all = fleet::config(&node);
        for class in all["settings"]["Classes"].as_array_mut().unwrap() {
            (class["SloUs"], class["DeadlineUs"]) = (json!(20_000_000), json!(24_000_000));
        }
        all
    }

    fn sites(&self, site: &str, rest: Value) -> Value {
        let path = |name: &str| self.folder.join(name).display().to_string();
        let mut all = json!({
            "site": site, "gateway": format!("{site}-1"), "importance": {"book": 9},
            "keys": {"certificate": path(&format!("{site}.pem")), "key": path(&format!("{site}.key")),
                "roots": path("roots.pem")},
        });
        all.as_object_mut().unwrap().extend(rest.as_object().unwrap().clone());
        all
    }

    fn far(&self, rest: Value) -> Gateway {
        let mut all = json!({"listen": self.listen.to_string(), "accept": ["near"]});
        all.as_object_mut().unwrap().extend(rest.as_object().unwrap().clone());
        let config = self.config("far-1", &self.far_bulletin, &self.endpoints);
        Gateway::start(program(), &self.folder, &config, Some(&self.sites("far", all))).unwrap()
    }

    fn durable_far(&self) -> Gateway {
        let file = self.folder.join("ledger.redb").display().to_string();
        self.far(json!({"ledger": {"file": file}}))
    }

    fn near(&self, by: &Relay) -> Gateway {
        let peer = json!({"name": "far-1", "site": "far", "address": by.address.to_string(),
            "as": ["parent", "origin"], "size": 64.0});
        let config = self.config("near-1", &self.near_bulletin, &[]);
        Gateway::start(program(), &self.folder, &config, Some(&self.sites("near", json!({"peers": [peer]}))))
            .unwrap()
    }

    fn relay(&self) -> Relay {
        Relay::start(self.listen, 7, LinkConditions::default()).unwrap()
    }

    fn ran(&self, trace: u64) -> u32 {
        self.site.executions.lock().unwrap().get(&trace).copied().unwrap_or(0)
    }
}

#[test]
fn reads_and_writes_cross_and_a_purge_at_the_near_site_bounds_copies_at_the_far_one() {
    let world = World::new("cross");
    let (far, relay) = (world.far(json!({})), world.relay());
    let near = world.near(&relay);
    wait_for(&near, "stands", 1);
    let mut client = Client::of(&near);
    let (_, first) = client.served("media", 6);
    let born_first = copy_created_ms(6, &first.body).unwrap();
    assert_eq!(first.body.len(), 30_000);
    let (trace, _) = client.served("book", 77);
    assert_eq!(world.ran(trace), 1);
    // Another read is served by the copy at the far cache.
    assert_eq!(copy_created_ms(6, &client.served("media", 6).1.body), Some(born_first));
    // Only the near gateway hears of the purge.
    std::thread::sleep(Duration::from_millis(3));
    let at = kelpcart_rig::caches::unix_ms();
    world.near_bulletin.purge(6, at);
    let began = Instant::now();
    while near.counters().contains("purges kept 0") {
        assert!(began.elapsed() < PATIENCE);
    }
    let after = copy_created_ms(6, &client.served("media", 6).1.body).unwrap();
    assert!(after >= at, "{after} {at}");
    drop(far);
}

#[test]
fn a_cut_between_commit_and_answer_gives_the_one_answer_once_the_link_is_back() {
    let world = World::new("cut");
    let (_far, relay) = (world.far(json!({})), world.relay());
    let near = world.near(&relay);
    wait_for(&near, "stands", 1);
    let mut client = Client::of(&near);
    client.served("book", 1);
    let trace = client.held_book(&world.site);
    relay.set_conditions(|w| w.blocked = [true; 2]);
    wait_for(&near, "is given up", 1);
    // It ends while nobody can be told.
    world.site.block_writes(false);
    relay.set_conditions(|w| w.blocked = [false; 2]);
    assert_eq!((client.answer().status, world.ran(trace)), (Status::Served, 1));
    wait_for(&near, "stands", 2);
    // Nothing more comes for it: the next answer is the next txn's.
    let (_, next) = client.served("media", 6);
    assert!(copy_created_ms(6, &next.body).is_some());
}

#[test]
fn one_direction_dark_is_seen_and_a_book_that_never_arrived_runs_once_later() {
    let world = World::new("half");
    let (_far, relay) = (world.far(json!({})), world.relay());
    let near = world.near(&relay);
    wait_for(&near, "stands", 1);
    let mut client = Client::of(&near);
    client.served("book", 1);
    relay.set_conditions(|w| w.blocked = [true, false]);
    let trace = client.ask("book", 77);
    wait_for(&near, "is given up", 1);
    assert_eq!(world.ran(trace), 0);
    relay.set_conditions(|w| w.blocked = [false; 2]);
    // Never taken, as the far end says: the module may try again, or reject.
    let answer = client.answer();
    let ran = u32::from(answer.status == Status::Served);
    assert!(answer.status != Status::Failed && world.ran(trace) == ran, "{answer:?}");
}

#[test]
fn a_far_gateway_that_was_killed_with_a_book_running_makes_it_an_abort_and_never_a_second_run() {
    for durable in [false, true] {
        let world = World::new(if durable { "killed-disk" } else { "killed" });
        let start = || if durable { world.durable_far() } else { world.far(json!({})) };
        let (mut far, relay) = (start(), world.relay());
        let near = world.near(&relay);
        wait_for(&near, "stands", 1);
        let mut client = Client::of(&near);
        client.served("book", 1);
        let trace = client.held_book(&world.site);
        far.kill();
        world.site.block_writes(false);
        let _far = start();
        let answer = client.answer();
        assert_eq!((answer.status, world.ran(trace)), (Status::Failed, 1), "durable: {durable}");
    }
}

#[test]
fn a_durable_ledger_knows_after_a_kill_how_a_book_ended() {
    let world = World::new("disk");
    let (mut far, relay) = (world.durable_far(), world.relay());
    let near = world.near(&relay);
    wait_for(&near, "stands", 1);
    let mut client = Client::of(&near);
    client.served("book", 1);
    // The answer can't cross; that it ended is on the disk when the process is killed.
    let trace = client.held_book(&world.site);
    relay.set_conditions(|w| w.blocked = [false, true]);
    world.site.block_writes(false);
    let began = Instant::now();
    while !far.counters().contains("txns completed 2") {
        assert!(began.elapsed() < PATIENCE);
    }
    // The end goes to the disk behind it; a later entry shows that it is there.
    std::thread::sleep(Duration::from_millis(300));
    far.kill();
    let _far = world.durable_far();
    relay.set_conditions(|w| w.blocked = [false; 2]);
    assert_eq!((client.answer().status, world.ran(trace)), (Status::Served, 1));
}

#[test]
fn a_gateway_told_to_stop_answers_what_came_over_the_link_and_takes_no_more() {
    let world = World::new("stop");
    let (mut far, relay) = (world.far(json!({})), world.relay());
    let near = world.near(&relay);
    wait_for(&near, "stands", 1);
    let mut client = Client::of(&near);
    client.served("book", 1);
    let trace = client.held_book(&world.site);
    far.signal("TERM").unwrap();
    wait_for(&near, "takes no more", 1);
    let other = client.ask("book", 78);
    assert_eq!(client.answer().status, Status::Rejected);
    world.site.block_writes(false);
    assert_eq!((client.answer().status, world.ran(trace), world.ran(other)), (Status::Served, 1, 0));
    let began = Instant::now();
    while !far.has_exited() {
        assert!(began.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn strangers_are_turned_away_and_keys_change_while_links_go_on() {
    let world = World::new("keys");
    let far = world.far(json!({}));
    let relay = world.relay();
    let near = world.near(&relay);
    wait_for(&near, "stands", 1);
    let mut client = Client::of(&near);
    client.served("media", 6);
    // Another authority's certificates at the near site: the link stands, a new one would not come about.
    let other = Authority::new().unwrap();
    other.write(&world.folder, "near").unwrap();
    near.signal("HUP").unwrap();
    wait_for(&near, "links made from now on", 1);
    client.served("media", 6);
    relay.set_conditions(|w| w.blocked = [true; 2]);
    wait_for(&near, "is given up", 1);
    relay.set_conditions(|w| w.blocked = [false; 2]);
    wait_for(&near, "no link to far-1", 1);
    // The right ones again, by a signal alone.
    world.authority.write(&world.folder, "near").unwrap();
    near.signal("HUP").unwrap();
    wait_for(&near, "stands", 2);
    client.served("media", 6);
    // Files that can't be used change nothing.
    std::fs::write(world.folder.join("near.key"), "no key").unwrap();
    near.signal("HUP").unwrap();
    wait_for(&near, "links go on by the keys from before", 1);
    client.served("media", 6);
    drop(far);
}

#[test]
fn a_file_that_cannot_be_used_ends_the_start_with_its_fault() {
    let world = World::new("file");
    let config = world.config("near-1", &world.near_bulletin, &[]);
    let start = |sites: Value| match Gateway::start(program(), &world.folder, &config, Some(&sites)) {
        Ok(_) => panic!("it started"),
        Err(why) => why.to_string(),
    };
    let why = start(world.sites("near", json!({})));
    assert!(why.contains("listen, peers: with neither"), "{why}");
    let why = start(world.sites(
        "near",
        json!({"listen": "127.0.0.1:0", "accept": ["far"], "keys": {
        "certificate": "/nowhere", "key": "/nowhere", "roots": "/nowhere"}}),
    ));
    assert!(why.contains("/nowhere"), "{why}");
}

#[test]
fn without_the_file_nothing_of_it_is_there() {
    let world = World::new("off");
    let config = world.config("alone", &world.near_bulletin, &world.endpoints);
    let alone = Gateway::start(program(), &world.folder, &config, None).unwrap();
    let mut client = Client::of(&alone);
    client.served("media", 6);
    let counters = alone.counters();
    assert!(!counters.contains("links up") && !counters.contains("far sessions"), "{counters}");
}

#[test]
fn a_near_gateway_told_to_stop_answers_what_is_in_doubt_before_it_ends() {
    let world = World::new("doubt");
    let (_far, relay) = (world.far(json!({})), world.relay());
    let mut near = world.near(&relay);
    wait_for(&near, "stands", 1);
    let mut client = Client::of(&near);
    client.served("book", 1);
    let trace = client.held_book(&world.site);
    relay.set_conditions(|w| w.blocked = [true; 2]);
    wait_for(&near, "is given up", 1);
    near.signal("TERM").unwrap();
    // It may have run, and more will not be known in time.
    assert_eq!((client.answer().status, world.ran(trace)), (Status::Failed, 1));
    let began = Instant::now();
    while !near.has_exited() {
        assert!(began.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// What a far gateway does with a peer that says these to it first.
fn say_to_far(world: &World, far: &Gateway, said: &[Vec<u8>], sign: &str) {
    use kelpcart_sites::quic::{self, Endpoint, Keys};
    use kelpcart_sites::settings::{Congestion, KeyFiles};
    let file = |name: &str| world.folder.join(name);
    let files = KeyFiles { certificate: file("near.pem"), key: file("near.key"), roots: file("roots.pem") };
    let keys = Keys::read(&files, Congestion::Delay).unwrap();
    let endpoint = Endpoint::start(None, &keys).unwrap();
    let work = async {
        let connection = endpoint.dial(&keys, world.listen, "far").await.unwrap();
        let (mut send, _recv) = connection.open_bi().await.unwrap();
        for bytes in said {
            quic::write(&mut send, bytes).await.unwrap();
        }
        connection.closed().await;
    };
    async_io::block_on(futures_lite::future::or(work, endpoint.drive()));
    wait_for(far, sign, 1);
}

#[test]
fn a_peer_that_sends_what_it_may_not_loses_its_connection_and_nothing_else() {
    use kelpcart_sites::wire::{self, Message};
    let world = World::new("hostile");
    let (far, relay) = (world.far(json!({})), world.relay());
    let near = world.near(&relay);
    wait_for(&near, "stands", 1);
    let hello = |version, site: &str| {
        let (site, gateway) = (site.to_owned(), "n9".to_owned());
        wire::encode(Message::Hello(wire::Hello { version, site, gateway, run_id: 99, next_number: 1 }))
    };
    say_to_far(&world, &far, &[hello(7, "near")], "version 1 is spoken here, not 7");
    say_to_far(&world, &far, &[hello(1, "far")], "the certificate is not that site's");
    say_to_far(&world, &far, &[wire::encode(Message::Ping(1))], "its first word is no hello");
    say_to_far(&world, &far, &[vec![0xff; 64]], "a message of 4294967295 bytes");
    say_to_far(&world, &far, &[hello(1, "near"), vec![0, 0, 0, 2, 0x28, 0]], "0 may not be sent so");
    say_to_far(
        &world,
        &far,
        &[hello(1, "near"), wire::encode(Message::Leaving(true))],
        "it sends what it may not",
    );
    let mut client = Client::of(&near);
    let (trace, _) = client.served("book", 77);
    assert_eq!(world.ran(trace), 1);
}
