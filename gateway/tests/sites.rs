//! Two sites on loopback: real gateways as processes, a link between them through a relay that the test
//! controls, and simulated caches and origin at the accepting site. No test depends on the machine's speed:
//! all limits are long, and each step waits for a log line or counter.

mod common;
mod stand_ins;

use common::{Client, PATIENCE, len, program, wait_for};
use kelpcart_rig::caches::{CacheEndpoint, Latencies, Site, copy_created_ms};
use kelpcart_rig::client::Status;
use kelpcart_rig::discovery::DiscoveryServer;
use kelpcart_rig::fleet::{self, Gateway, Node, free_udp_address};
use kelpcart_rig::keys::Authority;
use kelpcart_rig::link_emulator::LinkConditions;
use kelpcart_rig::relay::Relay;
use kelpcart_sites::quic::{self, Connection, Endpoint, Keys, RecvStream};
use kelpcart_sites::settings::{Congestion, KeyFiles};
use kelpcart_sites::wire::{self, AnswerCode, Message};
use serde_json::{Value, json};
use stand_ins::{Reply, StubCache};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

struct TestSites {
    folder: PathBuf,
    site: Arc<Site>,
    places: Vec<CacheEndpoint>,
    initiator_bulletin: DiscoveryServer,
    acceptor_bulletin: DiscoveryServer,
    authority: Authority,
    listen: SocketAddr,
    /// Makes bookings keyed txns; `None`: they are unrepeatable.
    dedup: Option<Dedup>,
}

/// The caches that drop repeats of a keyed txn, and for how long.
struct Dedup {
    scope: &'static str,
    window_ms: u64,
}

impl Drop for TestSites {
    fn drop(&mut self) {
        self.site.stop();
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn peer(site: &str, address: SocketAddr) -> Value {
    json!({"name": format!("{site}-1"), "site": site, "address": address.to_string(),
        "as": ["parent", "origin"], "size": 64.0})
}

/// Books until a booking has reached one of the origins, and returns its answer and how often it has. One that is rejected
/// before has not run: the link may not be trusted yet.
fn book_until_it_runs(client: &mut Client, origins: &[StubCache]) -> (Status, usize) {
    let began = Instant::now();
    loop {
        client.ask("book", 77);
        let status = client.answer().status;
        let runs = origins.iter().map(StubCache::take_request_count).sum();
        if runs > 0 || status != Status::Rejected || began.elapsed() > PATIENCE {
            return (status, runs);
        }
    }
}

impl TestSites {
    fn new(name: &str) -> TestSites {
        let folder = format!("{}/sites-{name}-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        let folder = PathBuf::from(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let times = Latencies { hit: Duration::ZERO, fill: Duration::ZERO, origin: Duration::ZERO };
        let site = Site::new(times, len);
        let place = |(name, kind)| site.start_member(name, kind).unwrap();
        let places = [("e1", "box"), ("p1", "parent"), ("o", "origin")].map(place).to_vec();
        let authority = Authority::new().unwrap();
        ["near", "mid", "far"].iter().for_each(|site| authority.write(&folder, site).unwrap());
        TestSites {
            site,
            places,
            initiator_bulletin: DiscoveryServer::start(1).unwrap(),
            acceptor_bulletin: DiscoveryServer::start(1).unwrap(),
            authority,
            listen: free_udp_address().unwrap(),
            folder,
            dedup: None,
        }
    }

    fn config(&self, name: &str, bulletin: &DiscoveryServer, places: &[CacheEndpoint]) -> Value {
        let zone = "z";
        let node =
            Node { name, zone, discovery: bulletin.address, endpoints: places, memory_mb: 96, seed: 7 };
        let mut all = fleet::config(&node);
        for class in all["settings"]["Classes"].as_array_mut().unwrap() {
            (class["SloUs"], class["DeadlineUs"]) = (json!(20_000_000), json!(24_000_000));
        }
        if let Some(Dedup { scope, window_ms }) = self.dedup {
            let book = &mut all["settings"]["Classes"][2];
            (book["Repeat"], book["DedupScope"]) = (json!("token"), json!(scope));
            book["MemorySpanUs"] = json!(window_ms * 1_000);
        }
        all
    }

    fn site_settings(&self, site: &str, rest: Value) -> Value {
        let path = |name: &str| self.folder.join(name).display().to_string();
        let mut all = json!({
            "site": site, "gateway": format!("{site}-1"), "importance": {"book": 9},
            "keys": {"certificate": path(&format!("{site}.pem")), "key": path(&format!("{site}.key")),
                "roots": path("roots.pem")},
        });
        all.as_object_mut().unwrap().extend(rest.as_object().unwrap().clone());
        all
    }

    fn acceptor(&self, rest: Value) -> Gateway {
        let mut all = json!({"listen": self.listen.to_string(), "accept": ["near"]});
        all.as_object_mut().unwrap().extend(rest.as_object().unwrap().clone());
        let config = self.config("far-1", &self.acceptor_bulletin, &self.places);
        self.start_acceptor(&config, all)
    }

    fn start_acceptor(&self, config: &Value, settings: Value) -> Gateway {
        Gateway::start(program(), &self.folder, config, Some(&self.site_settings("far", settings))).unwrap()
    }

    /// An acceptor whose bookings run at either of two origins, which are in different zones and cells.
    fn acceptor_with_origins(&self, origins: [SocketAddr; 2], accept: &str) -> Gateway {
        let endpoint = |(i, address)| CacheEndpoint { name: format!("origin-{i}"), kind: "origin", address };
        let endpoints: Vec<CacheEndpoint> = origins.into_iter().enumerate().map(endpoint).collect();
        let mut config = self.config("far-1", &self.acceptor_bulletin, &endpoints);
        config["settings"]["Zones"] = json!(["z", "y"]);
        let second = &mut config["known"]["items"][0]["roster"]["endpoints"][1];
        (second["zone"], second["group"]) = (json!("y"), json!(1));
        self.start_acceptor(&config, json!({"listen": self.listen.to_string(), "accept": [accept]}))
    }

    fn durable_acceptor(&self) -> Gateway {
        let file = self.folder.join("ledger.redb").display().to_string();
        self.acceptor(json!({"ledger": {"file": file}}))
    }

    fn initiator(&self, relay: &Relay) -> Gateway {
        self.initiator_to("far", relay.address)
    }

    fn initiator_to(&self, site: &str, address: SocketAddr) -> Gateway {
        self.start_site("near", json!({"peers": [peer(site, address)]}))
    }

    /// A gateway of a site without caches.
    fn start_site(&self, site: &str, links: Value) -> Gateway {
        let config = self.config(&format!("{site}-1"), &self.initiator_bulletin, &[]);
        Gateway::start(program(), &self.folder, &config, Some(&self.site_settings(site, links))).unwrap()
    }

    fn relay(&self) -> Relay {
        Relay::start(self.listen, 7, LinkConditions::default()).unwrap()
    }

    fn ran(&self, trace: u64) -> u32 {
        self.site.executions.lock().unwrap().get(&trace).copied().unwrap_or(0)
    }
}

#[test]
fn reads_and_writes_cross_a_link_and_a_purge_at_one_site_bounds_copies_at_the_other() {
    let sites = TestSites::new("cross");
    let (acceptor, relay) = (sites.acceptor(json!({})), sites.relay());
    let initiator = sites.initiator(&relay);
    wait_for(&initiator, "(far-1) is up", 1);
    let mut client = Client::of(&initiator);
    let (_, first) = client.served("media", 6);
    let born_first = copy_created_ms(6, &first.body).unwrap();
    assert_eq!(first.body.len(), 30_000);
    let (trace, _) = client.served("book", 77);
    assert_eq!(sites.ran(trace), 1);
    // Another read is served from the copy at the accepting site's cache.
    assert_eq!(copy_created_ms(6, &client.served("media", 6).1.body), Some(born_first));
    // Only the initiating gateway is told of the purge.
    std::thread::sleep(Duration::from_millis(3));
    let at = kelpcart_rig::caches::unix_ms();
    sites.initiator_bulletin.purge(6, at);
    let started = Instant::now();
    while initiator.counters().contains("purges kept 0") {
        assert!(started.elapsed() < PATIENCE);
    }
    let after = copy_created_ms(6, &client.served("media", 6).1.body).unwrap();
    assert!(after >= at, "{after} {at}");
    drop(acceptor);
}

#[test]
fn a_disconnect_between_commit_and_answer_gives_one_answer_after_reconnecting() {
    let sites = TestSites::new("cut");
    let (_acceptor, relay) = (sites.acceptor(json!({})), sites.relay());
    let initiator = sites.initiator(&relay);
    wait_for(&initiator, "(far-1) is up", 1);
    let mut client = Client::of(&initiator);
    client.served("book", 1);
    let trace = client.held_book(&sites.site);
    relay.set_conditions(|w| w.blocked = [true; 2]);
    wait_for(&initiator, "link to far-1 closed", 1);
    // The txn finishes while the link is down.
    sites.site.block_writes(false);
    relay.set_conditions(|w| w.blocked = [false; 2]);
    assert_eq!((client.answer().status, sites.ran(trace)), (Status::Served, 1));
    wait_for(&initiator, "(far-1) is up", 2);
    // No duplicate answer arrives: the next answer is the next txn's.
    let (_, next) = client.served("media", 6);
    assert!(copy_created_ms(6, &next.body).is_some());
}

#[test]
fn a_one_way_failure_is_detected_and_a_booking_that_never_arrived_runs_once_later() {
    let sites = TestSites::new("half");
    let (_acceptor, relay) = (sites.acceptor(json!({})), sites.relay());
    let initiator = sites.initiator(&relay);
    wait_for(&initiator, "(far-1) is up", 1);
    let mut client = Client::of(&initiator);
    client.served("book", 1);
    relay.set_conditions(|w| w.blocked = [true, false]);
    let trace = client.ask("book", 77);
    wait_for(&initiator, "link to far-1 closed", 1);
    assert_eq!(sites.ran(trace), 0);
    relay.set_conditions(|w| w.blocked = [false; 2]);
    // The acceptor reports it as never accepted: the module may retry it, or reject it.
    let answer = client.answer();
    let ran = u32::from(answer.status == Status::Served);
    assert!(answer.status != Status::Failed && sites.ran(trace) == ran, "{answer:?}");
}

#[test]
fn a_booking_running_at_a_killed_acceptor_is_aborted_and_never_runs_twice() {
    for durable in [false, true] {
        let sites = TestSites::new(if durable { "killed-disk" } else { "killed" });
        let start = || if durable { sites.durable_acceptor() } else { sites.acceptor(json!({})) };
        let (mut acceptor, relay) = (start(), sites.relay());
        let initiator = sites.initiator(&relay);
        wait_for(&initiator, "(far-1) is up", 1);
        let mut client = Client::of(&initiator);
        client.served("book", 1);
        let trace = client.held_book(&sites.site);
        acceptor.kill();
        sites.site.block_writes(false);
        let _acceptor = start();
        let answer = client.answer();
        assert_eq!((answer.status, sites.ran(trace)), (Status::Failed, 1), "durable: {durable}");
    }
}

/// Guards against a keyed txn that runs twice: the zone and the cell in which another site ran it are not known here, so a
/// second hop over the link is never within its dedup scope.
#[test]
fn a_keyed_txn_that_may_have_run_at_another_site_does_not_cross_the_link_again() {
    for scope in ["zone", "cell"] {
        let mut sites = TestSites::new(&format!("keyed-{scope}"));
        sites.dedup = Some(Dedup { scope, window_ms: 24_000 });
        let origins = [(); 2].map(|()| StubCache::start(|_| Reply::SendAndClose(Vec::new())));
        let _acceptor = sites.acceptor_with_origins([origins[0].address, origins[1].address], "near");
        let relay = sites.relay();
        let initiator = sites.initiator(&relay);
        wait_for(&initiator, "(far-1) is up", 1);
        let answer = book_until_it_runs(&mut Client::of(&initiator), &origins);
        assert_eq!(answer, (Status::Failed, 1), "scope: {scope}");
    }
}

/// Guards against a keyed txn that runs again after its key is forgotten: a far gateway's rejection is no proof that no
/// attempt of its own ran, nor is that of a gateway between the two.
#[test]
fn a_keyed_txn_that_ran_at_another_site_is_not_sent_there_after_its_dedup_window() {
    for through_mid in [false, true] {
        let mut sites = TestSites::new(&format!("window-{through_mid}"));
        sites.dedup = Some(Dedup { scope: "all", window_ms: 400 });
        // The connection ends without an answer once the key is forgotten.
        let forget_and_close = |_: &_| {
            std::thread::sleep(Duration::from_millis(600));
            Reply::SendAndClose(Vec::new())
        };
        let origins = [(); 2].map(|()| StubCache::start(forget_and_close));
        let accept = if through_mid { "mid" } else { "near" };
        let _acceptor = sites.acceptor_with_origins([origins[0].address, origins[1].address], accept);
        let mid_listen = free_udp_address().unwrap();
        let mid_links = json!({"listen": mid_listen.to_string(), "accept": ["near"],
            "peers": [peer("far", sites.listen)]});
        let mid = through_mid.then(|| sites.start_site("mid", mid_links));
        mid.iter().for_each(|mid| wait_for(mid, "(far-1) is up", 1));
        let (site, address) = if through_mid { ("mid", mid_listen) } else { ("far", sites.listen) };
        let initiator = sites.initiator_to(site, address);
        wait_for(&initiator, "-1) is up", 1);
        let answer = book_until_it_runs(&mut Client::of(&initiator), &origins);
        assert_eq!(answer, (Status::Rejected, 1), "through a third site: {through_mid}");
    }
}

/// Guards against a rejection that passes for proof when a ledger replays it after a cut.
#[test]
fn a_keyed_txn_whose_rejection_is_replayed_from_the_ledger_does_not_run_again() {
    let mut sites = TestSites::new("replayed");
    sites.dedup = Some(Dedup { scope: "all", window_ms: 400 });
    let (origin, close) = StubCache::closing_on_command();
    let acceptor = sites.acceptor_with_origins([origin.address; 2], "near");
    let relay = sites.relay();
    let initiator = sites.initiator(&relay);
    wait_for(&initiator, "(far-1) is up", 1);
    let (mut client, began) = (Client::of(&initiator), Instant::now());
    client.ask("book", 77);
    while origin.take_request_count() == 0 {
        assert!(began.elapsed() < PATIENCE);
        if client.answer_within(Duration::from_millis(20)).is_some() {
            client.ask("book", 77);
        }
    }
    relay.set_conditions(|w| w.blocked = [true; 2]);
    wait_for(&initiator, "link to far-1 closed", 1);
    // The attempt ends without an answer, after the key is forgotten.
    close.send(()).unwrap();
    while !acceptor.counters().contains("txns rejected") {
        assert!(began.elapsed() < PATIENCE);
    }
    relay.set_conditions(|w| w.blocked = [false; 2]);
    assert_eq!((client.answer().status, origin.take_request_count()), (Status::Rejected, 0));
    assert!(initiator.counters().contains("end FarGaveUp 1"), "{}", initiator.counters());
}

/// Guards against a keyed txn that runs late: on a link that takes longer than the dedup window, the far gateway knows when
/// the window ends and does not start it.
#[test]
fn a_keyed_txn_that_is_on_its_way_for_its_whole_dedup_window_does_not_run() {
    for (window_ms, runs) in [(400, 0), (24_000, 1)] {
        let mut sites = TestSites::new(&format!("late-{window_ms}"));
        sites.dedup = Some(Dedup { scope: "all", window_ms });
        let (acceptor, relay) = (sites.acceptor(json!({})), sites.relay());
        let initiator = sites.initiator(&relay);
        wait_for(&initiator, "(far-1) is up", 1);
        relay.set_conditions(|w| w.delay_ms = 500.0);
        let mut client = Client::of(&initiator);
        let began = Instant::now();
        let (status, trace) = loop {
            let trace = client.ask("book", 77);
            let status = client.answer().status;
            let crossed = acceptor.counters().contains("far requests ");
            if crossed && (runs == 0 || status == Status::Served) {
                break (status, trace);
            }
            assert!(status == Status::Rejected && began.elapsed() < PATIENCE, "{status:?}");
        };
        let expected = if runs == 0 { Status::Rejected } else { Status::Served };
        assert_eq!((status, sites.ran(trace)), (expected, runs), "window of {window_ms} ms");
    }
}

/// Guards against a repeat that comes from an earlier release, whose requests don't state earlier attempts.
#[test]
fn a_keyed_txn_of_an_earlier_release_does_not_run_and_an_unrepeatable_one_does() {
    for (dedup, runs) in [(Some(Dedup { scope: "all", window_ms: 24_000 }), 0), (None, 1)] {
        let mut sites = TestSites::new(&format!("from-earlier-{runs}"));
        sites.dedup = dedup;
        let _acceptor = sites.acceptor(json!({}));
        let request = wire::Request {
            number: 1,
            rule: "book".to_owned(),
            trace_id: 5,
            body: b"two nights".to_vec(),
            time_left_us: 20_000_000,
            path: vec!["near".to_owned()],
            unrepeatable: true,
            ..wire::Request::default()
        };
        let messages = [hello(1, "near", false), wire::encode(Message::Request(request))];
        let answer = connect_to_acceptor(&sites, &messages, async |_connection, mut recv| {
            loop {
                if let Message::Answer(answer) = quic::read(&mut recv).await.unwrap() {
                    break answer;
                }
            }
        });
        let expected = if runs == 0 { AnswerCode::Rejected } else { AnswerCode::Served };
        assert_eq!((answer.code, answer.not_run, sites.ran(5)), (expected as i32, runs == 0, runs));
    }
}

#[test]
fn a_durable_ledger_keeps_the_outcome_of_a_booking_after_a_kill() {
    let sites = TestSites::new("disk");
    let (mut acceptor, relay) = (sites.durable_acceptor(), sites.relay());
    let initiator = sites.initiator(&relay);
    wait_for(&initiator, "(far-1) is up", 1);
    let mut client = Client::of(&initiator);
    client.served("book", 1);
    // The answer can't be sent; its outcome is on disk when the process is killed.
    let trace = client.held_book(&sites.site);
    relay.set_conditions(|w| w.blocked = [false, true]);
    sites.site.block_writes(false);
    let started = Instant::now();
    while !acceptor.counters().contains("txns completed 2") {
        assert!(started.elapsed() < PATIENCE);
    }
    // The outcome is written to disk after the counter changes; wait until it is there.
    std::thread::sleep(Duration::from_millis(300));
    acceptor.kill();
    let _acceptor = sites.durable_acceptor();
    relay.set_conditions(|w| w.blocked = [false; 2]);
    assert_eq!((client.answer().status, sites.ran(trace)), (Status::Served, 1));
}

#[test]
fn a_stopping_acceptor_answers_running_requests_and_accepts_no_more() {
    let sites = TestSites::new("stop");
    let (mut acceptor, relay) = (sites.acceptor(json!({})), sites.relay());
    let initiator = sites.initiator(&relay);
    wait_for(&initiator, "(far-1) is up", 1);
    let mut client = Client::of(&initiator);
    client.served("book", 1);
    let trace = client.held_book(&sites.site);
    acceptor.signal("TERM").unwrap();
    wait_for(&initiator, "accepts no more txns", 1);
    let other = client.ask("book", 78);
    assert_eq!(client.answer().status, Status::Rejected);
    sites.site.block_writes(false);
    assert_eq!((client.answer().status, sites.ran(trace), sites.ran(other)), (Status::Served, 1, 0));
    let started = Instant::now();
    while !acceptor.has_exited() {
        assert!(started.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn untrusted_peers_are_refused_and_keys_are_reloaded_while_links_stay_up() {
    let sites = TestSites::new("keys");
    let acceptor = sites.acceptor(json!({}));
    let relay = sites.relay();
    let initiator = sites.initiator(&relay);
    wait_for(&initiator, "(far-1) is up", 1);
    let mut client = Client::of(&initiator);
    client.served("media", 6);
    // Certificates of another authority at the initiating site: the link stays up, but a new one could not
    // be established.
    let other = Authority::new().unwrap();
    other.write(&sites.folder, "near").unwrap();
    initiator.signal("HUP").unwrap();
    wait_for(&initiator, "new links use the reloaded keys", 1);
    client.served("media", 6);
    relay.set_conditions(|w| w.blocked = [true; 2]);
    wait_for(&initiator, "link to far-1 closed", 1);
    relay.set_conditions(|w| w.blocked = [false; 2]);
    wait_for(&initiator, "connecting to far-1 failed", 1);
    // The right certificates again, reloaded on a signal.
    sites.authority.write(&sites.folder, "near").unwrap();
    initiator.signal("HUP").unwrap();
    wait_for(&initiator, "(far-1) is up", 2);
    client.served("media", 6);
    // Files that can't be used change nothing.
    std::fs::write(sites.folder.join("near.key"), "no key").unwrap();
    initiator.signal("HUP").unwrap();
    wait_for(&initiator, "links keep the previous keys", 1);
    client.served("media", 6);
    drop(acceptor);
}

#[test]
fn an_invalid_settings_file_fails_the_start_with_its_error() {
    let sites = TestSites::new("file");
    let config = sites.config("near-1", &sites.initiator_bulletin, &[]);
    let start = |settings: Value| match Gateway::start(program(), &sites.folder, &config, Some(&settings)) {
        Ok(_) => panic!("it started"),
        Err(error) => error.to_string(),
    };
    let error = start(sites.site_settings("near", json!({})));
    assert!(error.contains("listen, peers: at least one of them is required"), "{error}");
    let error = start(sites.site_settings(
        "near",
        json!({"listen": "127.0.0.1:0", "accept": ["far"], "keys": {
        "certificate": "/nowhere", "key": "/nowhere", "roots": "/nowhere"}}),
    ));
    assert!(error.contains("/nowhere"), "{error}");
}

#[test]
fn without_the_settings_file_there_are_no_link_counters() {
    let sites = TestSites::new("off");
    let config = sites.config("alone", &sites.initiator_bulletin, &sites.places);
    let alone = Gateway::start(program(), &sites.folder, &config, None).unwrap();
    let mut client = Client::of(&alone);
    client.served("media", 6);
    let counters = alone.counters();
    assert!(!counters.contains("links up") && !counters.contains("far sessions"), "{counters}");
}

#[test]
fn a_stopping_initiator_answers_hops_in_doubt_before_it_exits() {
    let sites = TestSites::new("doubt");
    let (_acceptor, relay) = (sites.acceptor(json!({})), sites.relay());
    let mut initiator = sites.initiator(&relay);
    wait_for(&initiator, "(far-1) is up", 1);
    let mut client = Client::of(&initiator);
    client.served("book", 1);
    let trace = client.held_book(&sites.site);
    relay.set_conditions(|w| w.blocked = [true; 2]);
    wait_for(&initiator, "link to far-1 closed", 1);
    initiator.signal("TERM").unwrap();
    // It may have run, and nothing more can be learned before the deadline.
    assert_eq!((client.answer().status, sites.ran(trace)), (Status::Failed, 1));
    let started = Instant::now();
    while !initiator.has_exited() {
        assert!(started.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The first message of a peer; earlier releases don't state attempts.
fn hello(version: u32, site: &str, states_attempts: bool) -> Vec<u8> {
    let (site, gateway, run_id, next_number) = (site.to_owned(), "n9".to_owned(), 99, 1);
    wire::encode(Message::Hello(wire::Hello { version, site, gateway, run_id, next_number, states_attempts }))
}

/// Connects as a peer, sends these messages, and goes on with the connection and its control stream.
fn connect_to_acceptor<T>(
    sites: &TestSites,
    messages: &[Vec<u8>],
    go_on: impl AsyncFnOnce(Connection, RecvStream) -> T,
) -> T {
    let file = |name: &str| sites.folder.join(name);
    let files = KeyFiles { certificate: file("near.pem"), key: file("near.key"), roots: file("roots.pem") };
    let keys = Keys::read(&files, Congestion::Delay).unwrap();
    let endpoint = Endpoint::start(None, &keys).unwrap();
    let work = async {
        let connection = endpoint.dial(&keys, sites.listen, "far").await.unwrap();
        let (mut send, recv) = connection.open_bi().await.unwrap();
        for bytes in messages {
            quic::write(&mut send, bytes).await.unwrap();
        }
        go_on(connection, recv).await
    };
    let drive = async {
        endpoint.drive().await;
        panic!("the endpoint has ended")
    };
    async_io::block_on(futures_lite::future::or(work, drive))
}

/// Sends these messages as a peer, and waits for the line in the acceptor's log.
fn send_to_acceptor(sites: &TestSites, acceptor: &Gateway, messages: &[Vec<u8>], log_line: &str) {
    connect_to_acceptor(sites, messages, async |connection, _| _ = connection.closed().await);
    wait_for(acceptor, log_line, 1);
}

#[test]
fn a_peer_that_sends_invalid_messages_only_loses_its_connection() {
    let sites = TestSites::new("hostile");
    let (acceptor, relay) = (sites.acceptor(json!({})), sites.relay());
    let initiator = sites.initiator(&relay);
    wait_for(&initiator, "(far-1) is up", 1);
    let hello = |version, site| hello(version, site, true);
    send_to_acceptor(&sites, &acceptor, &[hello(7, "near")], "version 1 is spoken here, not 7");
    send_to_acceptor(&sites, &acceptor, &[hello(1, "far")], "the certificate is not that site's");
    send_to_acceptor(
        &sites,
        &acceptor,
        &[wire::encode(Message::Ping(1))],
        "the first message is not a hello",
    );
    send_to_acceptor(&sites, &acceptor, &[vec![0xff; 64]], "a message of 4294967295 bytes");
    send_to_acceptor(
        &sites,
        &acceptor,
        &[hello(1, "near"), vec![0, 0, 0, 2, 0x28, 0]],
        "number 0 may not be sent so",
    );
    send_to_acceptor(
        &sites,
        &acceptor,
        &[hello(1, "near"), wire::encode(Message::Leaving(true))],
        "it sends what it may not",
    );
    let mut client = Client::of(&initiator);
    let (trace, _) = client.served("book", 77);
    assert_eq!(sites.ran(trace), 1);
}
