//! Race conditions of the gateway process, made deterministic: each step waits until the effect of the previous one is
//! visible.

mod stand_ins;

use serde_json::json;
use stand_ins::*;
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::Duration;

#[test]
fn a_keyed_txn_carries_its_mark_on_every_hop() {
    let origin = StubCache::start({
        let hops = std::sync::Mutex::new(0);
        move |_| {
            let mut hops = hops.lock().unwrap();
            *hops += 1;
            // The first hop ends without a response: it may have run.
            if *hops == 1 { Reply::SendAndClose(Vec::new()) } else { ok_response(b"done") }
        }
    });
    let members = [Member("e1", "box", unused_address()), Member("o", "origin", origin.address)];
    let mut all = config(&members, unused_address(), 64);
    all["settings"]["Classes"][1]["Repeat"] = json!("token");
    all["settings"]["Classes"][1]["MemorySpanUs"] = json!(20_000_000);
    let gateway = Gateway::start(&all);
    let mut client = Client::connect(&gateway);
    let fields = [
        ("req", "9b1f03aa5c7e2d41"),
        ("timeout", "15000"),
        ("subject", "00000000000000ff"),
        ("slice", "0"),
        ("set", "1"),
        ("opkey", "66807aca08cfaa191114271c0d90e573"),
    ];
    client.send_request_with("commit", &fields, b"x");
    for _ in 0..2 {
        assert_eq!(origin.next_request().header("X-Op-Key"), Some("66807aca08cfaa191114271c0d90e573"));
    }
    assert_eq!(client.read_answer().body, b"done");
}

/// A gateway with one descriptor for hops, which a txn at an edge cache occupies: every other hop waits.
struct SaturatedGateway {
    gateway: Gateway,
    edge: StubCache,
    release: std::sync::mpsc::Sender<()>,
    discovery: DiscoveryServer,
    client: Client,
    /// The number of the last discovery event.
    last_event: u64,
}

impl SaturatedGateway {
    fn start(more: &[Member], edit: impl FnOnce(&mut serde_json::Value)) -> SaturatedGateway {
        let (edge, release) = StubCache::answering_on_command(b"held");
        let discovery = DiscoveryServer::start(Vec::new());
        let members = [&[Member("e1", "box", edge.address)], more].concat();
        let mut all = config(&members, discovery.address, 64);
        all["limits"]["sockets"] = json!(33);
        // Longer than the test's timeout, so that no wait ends by itself.
        all["settings"]["PolicyLimits"]["ConnectTimeoutUs"] = json!(60_000_000);
        edit(&mut all);
        let gateway = Gateway::start(&all);
        discovery.next_subscription();
        let mut client = Client::connect(&gateway);
        client.send_request("segment", 1, 30_000, &[]);
        edge.next_request();
        SaturatedGateway { gateway, edge, release, discovery, client, last_event: 1 }
    }

    fn wait_until(&mut self, what: &str, n: usize) {
        while self.gateway.gauges()[what] != n {}
    }

    /// Waits until one more hop is waiting for a descriptor.
    fn wait_for_second_hop(&mut self) {
        self.wait_until("hops out", 2);
    }

    fn send_roster(&mut self, list: serde_json::Value) {
        self.last_event += 1;
        self.discovery.send_line(&roster_event(self.last_event, list));
    }
}

#[test]
fn a_waiting_hop_does_not_go_to_a_member_that_has_begun_to_drain() {
    let origin = StubCache::start(|_| ok_response(b"done"));
    let member = Member("o", "origin", origin.address);
    let mut full = SaturatedGateway::start(&[member], |_| {});
    full.client.send_request("commit", 2, 30_000, b"x");
    full.wait_for_second_hop();
    full.send_roster(json!([endpoint(&member, "draining")]));
    // The write has not run and has no other member to go to: it is rejected at once, so that the client can retry.
    assert_eq!(full.client.read_answer().error.as_deref(), Some("Backoff"));
    full.release.send(()).unwrap();
    assert_eq!(full.client.read_answer().body, b"held");
    assert_eq!(origin.take_request_count(), 0);
}

#[test]
fn a_waiting_hop_goes_where_its_member_is_when_it_goes() {
    let [old, new] = [StubCache::start(|_| ok_response(b"old")), StubCache::start(|_| ok_response(b"new"))];
    let mut full = SaturatedGateway::start(&[Member("o", "origin", old.address)], |_| {});
    full.client.send_request("commit", 2, 30_000, b"x");
    full.wait_for_second_hop();
    full.send_roster(json!([endpoint(&Member("o", "origin", new.address), "up")]));
    full.discovery.send_line(&json!({"no": 3, "recall": {"lot": 200, "issued": 1}}).to_string());
    full.wait_until("purges kept", 1);
    full.release.send(()).unwrap();
    assert_eq!(full.client.read_answer().body, b"held");
    assert_eq!(full.client.read_answer().body, b"new");
    assert_eq!(old.take_request_count(), 0);
}

#[test]
fn a_waiting_hop_heeds_a_purge_that_comes_before_it_goes() {
    for purge in [json!({"item": "0000000000000002", "issued": 1}), json!({"lot": 17, "issued": 1})] {
        let mut full = SaturatedGateway::start(&[Member("o", "origin", unused_address())], |_| {});
        full.client.send_request("segment", 2, 30_000, &[]);
        full.wait_for_second_hop();
        full.discovery.send_line(&json!({"no": 2, "recall": purge}).to_string());
        full.wait_until("purges kept", 1);
        full.release.send(()).unwrap();
        assert!(full.edge.next_request().header("X-Max-Age-Ms").is_some(), "an older copy may be served");
        full.release.send(()).unwrap();
        assert_eq!([full.client.read_answer().body, full.client.read_answer().body], [b"held", b"held"]);
    }
}

#[test]
fn a_waiting_hop_is_not_filled_from_a_parent_that_has_gone() {
    let parent = Member("p1", "parent", unused_address());
    let mut full = SaturatedGateway::start(&[parent, Member("o", "origin", unused_address())], |_| {});
    full.client.send_request("segment", 2, 30_000, &[]);
    full.wait_for_second_hop();
    full.send_roster(json!([endpoint(&parent, "removed")]));
    full.discovery.send_line(&json!({"no": 3, "recall": {"lot": 200, "issued": 1}}).to_string());
    full.wait_until("purges kept", 1);
    full.release.send(()).unwrap();
    assert_eq!(full.edge.next_request().header("X-Fill-From"), Some("o"));
}

#[test]
fn a_waiting_hop_is_not_begun_once_caches_have_forgotten_the_first() {
    let (origin, cut) = StubCache::closing_on_command();
    let mut full = SaturatedGateway::start(&[Member("o", "origin", origin.address)], |all| {
        all["settings"]["Classes"][1]["Repeat"] = json!("token");
        all["settings"]["Classes"][1]["MemorySpanUs"] = json!(1_000_000);
    });
    full.release.send(()).unwrap();
    assert_eq!(full.client.read_answer().body, b"held");
    full.client.send_request("commit", 2, 30_000, b"x");
    origin.next_request();
    // Waits for the descriptor of the write's first hop and takes it when that hop ends.
    full.client.send_request("segment", 3, 30_000, &[]);
    full.wait_for_second_hop();
    cut.send(()).unwrap();
    full.edge.next_request();
    assert_eq!(full.client.read_answer().error.as_deref(), Some("Backoff"));
    full.release.send(()).unwrap();
    assert_eq!(full.client.read_answer().body, b"held");
    assert_eq!(origin.take_request_count(), 0);
}

#[test]
fn a_waiting_hop_does_not_go_once_its_client_has_left_or_taken_it_back() {
    let origin = StubCache::start(|_| ok_response(b"done"));
    let mut full = SaturatedGateway::start(&[Member("o", "origin", origin.address)], |_| {});
    let mut other = Client::connect(&full.gateway);
    other.send_request("commit", 2, 30_000, b"left");
    full.wait_for_second_hop();
    drop(other);
    full.wait_until("hops out", 1);
    let id = full.client.send_request("commit", 3, 30_000, b"taken back");
    full.wait_for_second_hop();
    full.client.cancel(id);
    full.wait_until("hops out", 1);
    full.client.send_request("commit", 4, 30_000, b"stays");
    full.wait_for_second_hop();
    full.release.send(()).unwrap();
    assert_eq!(origin.next_request().body, b"stays");
    assert_eq!(origin.take_request_count(), 0);
}

#[test]
fn a_bulletin_that_sends_bytes_but_no_line_is_asked_again() {
    let discovery = DiscoveryServer::start(Vec::new());
    let _gateway = Gateway::start(&config(&[Member("o", "origin", unused_address())], discovery.address, 64));
    discovery.next_subscription();
    let first = discovery.last_connection.lock().unwrap().as_ref().unwrap().try_clone().unwrap();
    let subscribed = || discovery.subscriptions.recv_timeout(Duration::from_millis(50)).is_ok();
    // Bytes of an endless line at intervals below the idle timeout, for longer than that timeout.
    let reconnects = (0..400).any(|_| {
        _ = (&first).write_all(b" ");
        subscribed()
    });
    assert!(reconnects, "the client stays on a connection that delivers no complete line");
}

#[test]
fn numbers_below_the_last_are_neither_news_nor_a_reason_to_ask() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let discovery = DiscoveryServer::start(Vec::new());
    let member = Member("e1", "box", edge.address);
    let mut gateway =
        Gateway::start(&config(&[member, Member("o", "origin", unused_address())], discovery.address, 64));
    discovery.next_subscription();
    discovery.send_line(&json!({"no": 2, "recall": {"lot": 200, "issued": 1}}).to_string());
    while gateway.gauges()["purges kept"] != 1 {}
    // An event number that was already delivered: numbers also continue across address changes, so this one is ignored.
    discovery.send_line(&roster_event(1, json!([endpoint(&member, "removed")])));
    discovery.send_line("1");
    discovery.send_line(&json!({"no": 3, "recall": {"lot": 201, "issued": 1}}).to_string());
    while gateway.gauges()["purges kept"] != 2 {}
    let mut client = Client::connect(&gateway);
    client.send_request("segment", 1, 15_000, &[]);
    assert_eq!(client.read_answer().body, b"x");
    assert!(discovery.subscriptions.try_recv().is_err());
}

#[test]
fn a_flood_of_idle_clients_leaves_a_descriptor_for_the_bulletin_and_one_for_a_cache() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let down = unused_address();
    let mut all = config(&[Member("o", "origin", unused_address())], down, 64);
    all["limits"]["sockets"] = json!(33);
    let gateway = Gateway::start_limited(&all);
    // More clients than descriptors, while the discovery service is unreachable.
    let flood: Vec<Client> = (0..60).map(|_| Client::connect(&gateway)).collect();
    let mut client = Client::connect(&gateway);
    assert!(client.is_ready());
    let discovery = DiscoveryServer::start(Vec::new());
    all["bulletin"] = json!(discovery.address.to_string());
    gateway.replace_config(&all.to_string());
    assert_eq!(discovery.next_subscription(), "after 1\n");
    discovery.send_line(&roster_event(2, json!([endpoint(&Member("e1", "box", edge.address), "up")])));
    loop {
        client.send_request("segment", 1, 15_000, &[]);
        if client.read_answer().body == b"x" {
            break;
        }
    }
    drop(flood);
}

#[test]
fn a_signal_that_comes_before_the_configuration_is_read_does_not_end_it() {
    let path = format!("{}/{}-early.fifo", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_kelpcart"));
    command.env_remove("NODE_LISTEN").env_remove("KELPCART_LOG").env("NODE_CONFIG", &path);
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    // Opening the FIFO for writing blocks until the gateway has opened it for reading: it is now reading its configuration.
    let mut file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    let kill = format!("kill -s USR1 {}", child.id());
    assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    file.write_all(config(&[], unused_address(), 64).to_string().as_bytes()).unwrap();
    drop(file);
    let mut line = String::new();
    BufReader::new(child.stderr.take().unwrap()).read_line(&mut line).unwrap();
    assert!(line.contains("listens on"), "{line}");
    _ = child.kill();
    _ = child.wait();
    _ = std::fs::remove_file(path);
}

#[test]
fn a_configuration_of_another_deployment_starts_and_serves() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let mut all = config(
        &[Member("e1", "box", edge.address), Member("o", "origin", unused_address())],
        unused_address(),
        64,
    );
    // Hundreds of zones, no parents, optional settings left out, and unknown settings.
    let settings = all["settings"].as_object_mut().unwrap();
    settings["Zones"] = (0..500).map(|n| format!("zone {n}")).collect::<Vec<_>>().into();
    settings["Locality"] = json!(400);
    settings.insert("Unheard".to_owned(), json!({"of": [1, null]}));
    for class in settings["Classes"].as_array_mut().unwrap() {
        let class = class.as_object_mut().unwrap();
        class.retain(|name, _| !["DedupScope", "MemorySpanUs", "AimStretch"].contains(&name.as_str()));
    }
    let family = settings["FamilyInfo"].as_object_mut().unwrap();
    family["ParentKind"] = json!(-1);
    let omitted = ["CrewByZone", "ParentColdFrom", "UpperColdUs", "ParentFallMultiple", "ClientKbPerS"];
    family.retain(|name, _| !omitted.contains(&name.as_str()));
    let listed = all["known"]["items"][0]["roster"]["endpoints"].as_array_mut().unwrap();
    listed[0]["zone"] = json!("zone 400");
    let mut unusual = listed[0].clone();
    (unusual["name"], unusual["status"], unusual["type"]) =
        (json!("e2"), json!("resting"), json!("unheard of"));
    unusual["address"] = json!(unused_address().to_string());
    listed.push(unusual);
    let gateway = Gateway::start(&all);
    let mut client = Client::connect(&gateway);
    for object in 0..20 {
        client.send_request("segment", object, 15_000, &[]);
        assert_eq!(client.read_answer().body, b"x");
    }
}

#[test]
fn answers_that_never_end_cost_their_time_and_give_back_their_room() {
    let edge = StubCache::start(|request| {
        let body = body_for_path("whole", 240_000);
        let complete = http_response("200 OK", "", &body);
        // Two responses that stop in the middle; each holds half of the available memory.
        let stalled = ["/x/segment/0000000000000001/3", "/x/segment/0000000000000002/3"];
        let stalled = stalled.iter().any(|path| request.head.contains(path));
        Reply::Send(if stalled { complete[..1_000].to_vec() } else { complete })
    });
    let members = [Member("e1", "box", edge.address), Member("o", "origin", unused_address())];
    let mut gateway = Gateway::start(&config(&members, unused_address(), 1));
    let mut client = Client::connect(&gateway);
    let stopped = [client.send_request("segment", 1, 700, &[]), client.send_request("segment", 2, 700, &[])];
    edge.next_request();
    edge.next_request();
    let complete = client.send_request("segment", 3, 15_000, &[]);
    let mut served = Vec::new();
    for _ in 0..3 {
        let answer = client.read_answer();
        if answer.error.is_none() {
            served.push((answer.id, answer.body == body_for_path("whole", 240_000)));
        } else {
            assert!(stopped.contains(&answer.id));
        }
    }
    assert_eq!(served, [(complete, true)]);
    // Their connections are closed, and no hop is left.
    edge.wait_until_closed();
    edge.wait_until_closed();
    assert_eq!(gateway.gauges()["hops out"], 0);
}

#[test]
fn a_client_that_closes_its_half_has_gone() {
    // The protocol has no half-closed connections: a client that has closed its write side counts as disconnected.
    let (edge, _release) = StubCache::answering_on_command(b"x");
    let mut gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    client.send_request("segment", 1, 15_000, &[]);
    edge.next_request();
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    // Its hop is cancelled.
    while gateway.gauges()["hops out"] > 0 {}
    assert!(client.is_closed());
}

/// Guards against a second run: a write whose client left while it may run, or is still open, comes again under the same id.
#[test]
fn a_write_that_may_have_run_does_not_run_again_when_its_id_comes_back() {
    for has_left in [true, false] {
        let origin = StubCache::start(|_| Reply::Silent);
        let members = [Member("e1", "box", unused_address()), Member("o", "origin", origin.address)];
        let mut gateway = Gateway::start(&config(&members, unused_address(), 64));
        let mut first = Client::connect(&gateway);
        first.send_request("commit", 1, 15_000, b"x");
        origin.next_request();
        let mut second = Client::connect(&gateway);
        second.request_id = first.request_id.clone();
        if has_left {
            drop(first);
            while gateway.gauges()["txns open"] > 0 {}
        }
        second.resend_request("commit", 1, 15_000, b"x");
        assert_eq!(second.read_answer().error.as_deref(), Some("Lost"), "left: {has_left}");
        assert_eq!(origin.take_request_count(), 0);
    }
}

/// What certainly did not run, or may run twice, is taken again under the same id.
#[test]
fn a_write_that_did_not_run_and_a_read_are_taken_again_under_their_ids() {
    let origin = StubCache::start(|_| Reply::Silent);
    let members = [Member("e1", "box", origin.address), Member("o", "origin", unused_address())];
    let mut gateway = Gateway::start(&config(&members, unused_address(), 64));
    for (method, body) in [("commit", &b"x"[..]), ("segment", b"")] {
        let mut first = Client::connect(&gateway);
        first.send_request(method, 1, 15_000, body);
        if method == "commit" {
            // Its origin can't be reached.
            assert_eq!(first.read_answer().error.as_deref(), Some("Backoff"));
        } else {
            origin.next_request();
        }
        let mut second = Client::connect(&gateway);
        second.request_id = first.request_id.clone();
        drop(first);
        while gateway.gauges()["txns open"] > 0 {}
        second.resend_request(method, 1, 700, body);
        if method == "commit" {
            assert_eq!(second.read_answer().error.as_deref(), Some("Backoff"));
        } else {
            origin.next_request();
        }
    }
}
