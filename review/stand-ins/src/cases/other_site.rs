//! A keyed txn whose repeats are dropped within one zone: it may have run at one site, and goes out again to another.

use crate::{Run, Verdict};
use kelpcart_review::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The caches of one site, which is a zone: they share what they know of keys and drop repeats.
#[derive(Default)]
struct Zone {
    /// Arrivals: when, the key, and whether it ran then.
    arrivals: Mutex<Vec<(u64, String, bool)>>,
    ran: Mutex<BTreeSet<String>>,
    /// Requests with this key have their connection reset after they were read and run, or dropped as repeats.
    lose: Mutex<Option<String>>,
}

impl Zone {
    fn start_cache(self: &Arc<Zone>, name: &'static str, record: &Record) -> SocketAddr {
        let (zone, record) = (Arc::clone(self), record.clone());
        start_server(move |request| {
            let key = request.field("X-Op-Key").to_owned();
            let new = zone.ran.lock().unwrap().insert(key.clone());
            zone.arrivals.lock().unwrap().push((record.now_ms(), key.clone(), new));
            let trace = request.field("X-Trace");
            let what = if new { "runs" } else { "a repeat, dropped" };
            record.line(&format!("{name}: {} key {key} trace {trace}: {what}", request.path));
            if zone.lose.lock().unwrap().as_ref() == Some(&key) {
                record.line(&format!("{name}: the connection is reset before the answer"));
                return Reply::Reset { after_ms: 5 };
            }
            ok(b"a rate sheet".to_vec(), unix_ms(), "hit", 20)
        })
    }

    /// When a txn ran here first.
    fn ran_at(&self, key: &str) -> Option<u64> {
        self.arrivals.lock().unwrap().iter().find(|a| a.1 == key && a.2).map(|a| a.0)
    }
}

pub fn run(run: &Run) -> Verdict {
    let record = &run.record;
    write_keys(&run.folder, &["near", "a", "b"])?;
    let (zone_a, zone_b): (Arc<Zone>, Arc<Zone>) = Default::default();
    let boxes_a = [zone_a.start_cache("a-box-1", record), zone_a.start_cache("a-box-2", record)];
    let boxes_b = [zone_b.start_cache("b-box-1", record), zone_b.start_cache("b-box-2", record)];
    let log = record.clone();
    let store = start_server(move |request| {
        log.line(&format!("store: {} key {}", request.path, request.field("X-Op-Key")));
        ok(b"a rate sheet".to_vec(), unix_ms(), "hit", 20)
    });
    let classes = [Class {
        name: "rates",
        repeat: "token",
        scope: "zone",
        memory_ms: 5_000,
        slo_ms: 400,
        stretch: 2.0,
        deadline_ms: 2_500,
        write: false,
    }];
    let zones = ["near", "a", "b", "central"];
    let config = |locality: usize, members: &[(&str, &str, &str, SocketAddr)]| {
        let bulletin = Bulletin::start(1).address;
        let (classes, client_kb_per_s) = (&classes, 5_000.0);
        Config { zones: &zones, locality, gateways: 1, classes, bulletin, members, client_kb_per_s }.json()
    };
    let (listen_a, listen_b) = (free_udp(), free_udp());
    let accepting = |site: &str, listen: SocketAddr| {
        let keys = key_files(&run.folder, site);
        format!(
            r#"{{"site":"{site}","gateway":"{site}-1","listen":"{listen}","accept":["near"],"keys":{keys}}}"#
        )
    };
    let peer = |site: &str, at: SocketAddr| {
        format!(r#"{{"name":"{site}-1","site":"{site}","address":"{at}","as":["parent"],"size":64.0}}"#)
    };
    let keys = key_files(&run.folder, "near");
    let near_sites = format!(
        r#"{{"site":"near","gateway":"near-1","peers":[{},{}],"keys":{keys}}}"#,
        peer("a", listen_a),
        peer("b", listen_b)
    );
    let start = |name: &str, config: String, sites: String| {
        Gateway::start(&run.folder, name, &config, &[("KELPCART_SITES", sites)], record)
    };
    let store = ("store", "origin", "central", store);
    let members_a = [("a-box-1", "std-box", "a", boxes_a[0]), ("a-box-2", "std-box", "a", boxes_a[1]), store];
    let members_b = [("b-box-1", "std-box", "b", boxes_b[0]), ("b-box-2", "std-box", "b", boxes_b[1]), store];
    let _a = start("a-1", config(1, &members_a), accepting("a", listen_a))?;
    let _b = start("b-1", config(2, &members_b), accepting("b", listen_b))?;
    let near = start("near-1", config(0, &[]), near_sites)?;
    near.wait_for_log("(a-1) is up", 10_000)?;
    near.wait_for_log("(b-1) is up", 10_000)?;
    let mut client = Client::connect(near.address, record).map_err(|e| e.to_string())?;
    let mut ask = |object: u64, key: &str| {
        let req = new_request_id();
        let ask = Ask {
            class: "rates",
            req: &req,
            object,
            group: 1,
            need_kb: 300.0,
            timeout_ms: 2_500,
            key: Some(key),
            body: b"",
        };
        let id = client.send(&ask).map_err(|e| e.to_string())?;
        let answer = client.answer(4_000).ok_or("no answer")?;
        record.line(&format!("client: rates {id} {req} {key} answered {}", answer.what));
        Ok::<_, String>(())
    };
    // Calm traffic, which shows whose objects have site a first.
    let mut homes_at_a = Vec::new();
    for n in 1..=30u64 {
        let (object, key) = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15), format!("calm-{n}"));
        ask(object, &key)?;
        if zone_a.ran_at(&key).is_some() {
            homes_at_a.push(object);
        }
        sleep_ms(20);
    }
    if homes_at_a.len() < 3 {
        return Err("hardly any txn goes to site a".to_owned());
    }
    let mut broken = Vec::new();
    for (n, object) in homes_at_a.into_iter().take(3).enumerate() {
        let key = format!("key-{n}");
        if run.trouble {
            *zone_a.lose.lock().unwrap() = Some(key.clone());
        }
        ask(object, &key)?;
        *zone_a.lose.lock().unwrap() = None;
        if let (Some(first), Some(later)) = (zone_a.ran_at(&key), zone_b.ran_at(&key)) {
            broken.push(format!(
                "{key} ran in zone a at {first} ms and in zone b at {later} ms: it was sent outside the zone that drops \
                 its repeats"
            ));
        }
        sleep_ms(1_500);
        // Two more calm ones, so that each cache of the site has answered again.
        for more in 0..4u64 {
            ask(object ^ (more + 1), &format!("after-{n}-{more}"))?;
        }
    }
    Ok(broken)
}
