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
