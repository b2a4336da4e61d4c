//! The gateway as a process where two events cross, forced by their order: each step waits for the sign of the last.

mod stand_ins;

use serde_json::json;
use stand_ins::*;

#[test]
fn a_keyed_txn_carries_its_mark_on_every_hop() {
    let origin = Cache::start({
        let hops = std::sync::Mutex::new(0);
        move |_| {
            let mut hops = hops.lock().unwrap();
            *hops += 1;
            // The first may have run.
            if *hops == 1 { Reply::SendAndClose(Vec::new()) } else { ok(b"done") }
        }
    });
    let members = [Member("e1", "box", nobody()), Member("o", "origin", origin.address)];
    let mut all = config(&members, nobody(), 64);
    all["settings"]["Classes"][1]["Repeat"] = json!("token");
    all["settings"]["Classes"][1]["MemorySpanUs"] = json!(20_000_000);
    let gateway = Gateway::start(&all);
    let mut client = Client::of(&gateway);
    let fields = [
        ("req", "9b1f03aa5c7e2d41"),
        ("timeout", "15000"),
        ("subject", "00000000000000ff"),
        ("slice", "0"),
        ("set", "1"),
        ("opkey", "66807aca08cfaa191114271c0d90e573"),
    ];
    client.ask_with("commit", &fields, b"x");
    for _ in 0..2 {
        assert_eq!(origin.came().field("X-Op-Key"), Some("66807aca08cfaa191114271c0d90e573"));
    }
    assert_eq!(client.answer().body, b"done");
}

/// A gateway with a descriptor for one hop, and a txn of an edge cache that holds it: every other hop waits.
struct Full {
    gateway: Gateway,
    edge: Cache,
    release: std::sync::mpsc::Sender<()>,
    bulletin: Bulletin,
    client: Client,
    /// The last event that the bulletin has told.
    no: u64,
}

impl Full {
    fn start(more: &[Member], edit: impl FnOnce(&mut serde_json::Value)) -> Full {
        let (edge, release) = Cache::holding(b"held");
        let bulletin = Bulletin::start(Vec::new());
        let members = [&[Member("e1", "box", edge.address)], more].concat();
        let mut all = config(&members, bulletin.address, 64);
        all["limits"]["sockets"] = json!(33);
        // Longer than the test's patience: no wait ends by itself.
        all["settings"]["PolicyLimits"]["ConnectTimeoutUs"] = json!(60_000_000);
        edit(&mut all);
        let gateway = Gateway::start(&all);
        bulletin.asked();
        let mut client = Client::of(&gateway);
        client.ask("segment", 1, 30_000, &[]);
        edge.came();
        Full { gateway, edge, release, bulletin, client, no: 1 }
    }

    fn wait_until(&mut self, what: &str, n: usize) {
        while self.gateway.now()[what] != n {}
    }

    /// One more hop waits from here on.
    fn waits(&mut self) {
        self.wait_until("hops out", 2);
    }

    fn tell(&mut self, list: serde_json::Value) {
        self.no += 1;
        self.bulletin.tell(&change(self.no, list));
    }
}

#[test]
fn a_waiting_hop_does_not_go_to_a_member_that_has_begun_to_drain() {
    let origin = Cache::start(|_| ok(b"done"));
    let member = Member("o", "origin", origin.address);
    let mut full = Full::start(&[member], |_| {});
    full.client.ask("commit", 2, 30_000, b"x");
    full.waits();
    full.tell(json!([endpoint(&member, "draining")]));
    // It never ran and goes nowhere: the client may come again, and hears so at once.
    assert_eq!(full.client.answer().word.as_deref(), Some("Backoff"));
    full.release.send(()).unwrap();
    assert_eq!(full.client.answer().body, b"held");
    assert_eq!(origin.came_so_far(), 0);
}

#[test]
fn a_waiting_hop_goes_where_its_member_is_when_it_goes() {
    let [old, new] = [Cache::start(|_| ok(b"old")), Cache::start(|_| ok(b"new"))];
    let mut full = Full::start(&[Member("o", "origin", old.address)], |_| {});
    full.client.ask("commit", 2, 30_000, b"x");
    full.waits();
    full.tell(json!([endpoint(&Member("o", "origin", new.address), "up")]));
    full.bulletin.tell(&json!({"no": 3, "recall": {"lot": 200, "issued": 1}}).to_string());
    full.wait_until("purges kept", 1);
    full.release.send(()).unwrap();
    assert_eq!(full.client.answer().body, b"held");
    assert_eq!(full.client.answer().body, b"new");
    assert_eq!(old.came_so_far(), 0);
}

#[test]
fn a_waiting_hop_heeds_a_purge_that_comes_before_it_goes() {
    for purge in [json!({"item": "0000000000000002", "issued": 1}), json!({"lot": 17, "issued": 1})] {
        let mut full = Full::start(&[Member("o", "origin", nobody())], |_| {});
        full.client.ask("segment", 2, 30_000, &[]);
        full.waits();
        full.bulletin.tell(&json!({"no": 2, "recall": purge}).to_string());
        full.wait_until("purges kept", 1);
        full.release.send(()).unwrap();
        assert!(full.edge.came().field("X-Max-Age-Ms").is_some(), "an older copy may be served");
        full.release.send(()).unwrap();
        assert_eq!([full.client.answer().body, full.client.answer().body], [b"held", b"held"]);
    }
}

#[test]
fn a_waiting_hop_is_not_filled_from_a_parent_that_has_gone() {
    let parent = Member("p1", "parent", nobody());
    let mut full = Full::start(&[parent, Member("o", "origin", nobody())], |_| {});
    full.client.ask("segment", 2, 30_000, &[]);
    full.waits();
    full.tell(json!([endpoint(&parent, "removed")]));
    full.bulletin.tell(&json!({"no": 3, "recall": {"lot": 200, "issued": 1}}).to_string());
    full.wait_until("purges kept", 1);
    full.release.send(()).unwrap();
    assert_eq!(full.edge.came().field("X-Fill-From"), Some("o"));
}

#[test]
fn a_waiting_hop_is_not_begun_once_caches_have_forgotten_the_first() {
    let (origin, cut) = Cache::cutting();
    let mut full = Full::start(&[Member("o", "origin", origin.address)], |all| {
        all["settings"]["Classes"][1]["Repeat"] = json!("token");
        all["settings"]["Classes"][1]["MemorySpanUs"] = json!(1_000_000);
    });
    full.release.send(()).unwrap();
    assert_eq!(full.client.answer().body, b"held");
    full.client.ask("commit", 2, 30_000, b"x");
    origin.came();
    // Waits for the descriptor of the write's first hop, and holds it from that one's end on.
    full.client.ask("segment", 3, 30_000, &[]);
    full.waits();
    cut.send(()).unwrap();
    full.edge.came();
    assert_eq!(full.client.answer().word.as_deref(), Some("Backoff"));
    full.release.send(()).unwrap();
    assert_eq!(full.client.answer().body, b"held");
    assert_eq!(origin.came_so_far(), 0);
}

#[test]
fn a_waiting_hop_does_not_go_once_its_client_has_left_or_taken_it_back() {
    let origin = Cache::start(|_| ok(b"done"));
    let mut full = Full::start(&[Member("o", "origin", origin.address)], |_| {});
    let mut other = Client::of(&full.gateway);
    other.ask("commit", 2, 30_000, b"left");
    full.waits();
    drop(other);
    full.wait_until("hops out", 1);
    let id = full.client.ask("commit", 3, 30_000, b"taken back");
    full.waits();
    full.client.interrupt(id);
    full.wait_until("hops out", 1);
    full.client.ask("commit", 4, 30_000, b"stays");
    full.waits();
    full.release.send(()).unwrap();
    assert_eq!(origin.came().body, b"stays");
    assert_eq!(origin.came_so_far(), 0);
}
