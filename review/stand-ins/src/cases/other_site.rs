//! A keyed txn whose repeats are dropped within one zone: it may have run at one site, and goes out again to another.

use crate::{Run, Verdict};
use kelpcart_review::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

/// The central store of one site. It drops repeats of a key, as all servers of its zone do.
struct Store {
    name: &'static str,
    /// Arrivals: when, the key, and whether it ran then.
    arrivals: Mutex<Vec<(u64, String, bool)>>,
    ran: Mutex<BTreeSet<String>>,
    /// Requests with this key have their connection reset after they have run.
    lose: Mutex<Option<String>>,
}

impl Store {
    fn start(name: &'static str, record: &Record) -> (Arc<Store>, std::net::SocketAddr) {
        let store = Arc::new(Store {
            name,
            arrivals: Mutex::default(),
            ran: Mutex::default(),
            lose: Mutex::default(),
        });
        let (serving, record) = (Arc::clone(&store), record.clone());
        let address = start_server(move |request| {
            let key = request.field("X-Op-Key").to_owned();
            let new = serving.ran.lock().unwrap().insert(key.clone());
            serving.arrivals.lock().unwrap().push((record.now_ms(), key.clone(), new));
            record.line(&format!(
                "{}: {} key {key} trace {}: {}",
                serving.name,
                request.path,
                request.field("X-Trace"),
                if new { "runs" } else { "a repeat, dropped" }
            ));
            if serving.lose.lock().unwrap().as_ref() == Some(&key) {
                record.line(&format!("{}: the connection is reset before the answer", serving.name));
                return Reply::Reset { after_ms: 5 };
            }
            ok(b"done".to_vec(), unix_ms(), "hit", 20)
        });
        (store, address)
    }

    fn arrivals_of(&self, key: &str) -> Vec<(u64, bool)> {
        let all = self.arrivals.lock().unwrap();
        all.iter().filter(|a| a.1 == key).map(|a| (a.0, a.2)).collect()
    }
}

pub fn run(run: &Run) -> Verdict {
    let record = &run.record;
    write_keys(&run.folder, &["near", "a", "b"])?;
    let (store_a, address_a) = Store::start("store of a", record);
    let (store_b, address_b) = Store::start("store of b", record);
    let classes = [Class {
        name: "book",
        repeat: "token",
        scope: "zone",
        memory_ms: 5_000,
        slo_ms: 800,
        stretch: 0.0,
        deadline_ms: 3_000,
        write: true,
    }];
    let zones = ["near", "a", "b"];
    let config = |locality: usize, members: &[(&str, &str, &str, std::net::SocketAddr)]| {
        let bulletin = Bulletin::start(1).address;
        Config {
            zones: &zones,
            locality,
            gateways: 1,
            classes: &classes,
            bulletin,
            members,
            client_kb_per_s: 5_000.0,
        }
        .json()
    };
    let (listen_a, listen_b) = (free_udp(), free_udp());
    let accepting = |site: &str, listen: std::net::SocketAddr| {
        let keys = key_files(&run.folder, site);
        format!(
            r#"{{"site":"{site}","gateway":"{site}-1","listen":"{listen}","accept":["near"],"keys":{keys},"importance":{{"book":9}}}}"#
        )
    };
    let peer = |site: &str, at: std::net::SocketAddr| {
        format!(r#"{{"name":"{site}-1","site":"{site}","address":"{at}","as":["origin"],"size":64.0}}"#)
    };
    let keys = key_files(&run.folder, "near");
    let near_sites = format!(
        r#"{{"site":"near","gateway":"near-1","peers":[{},{}],"keys":{keys},"importance":{{"book":9}}}}"#,
        peer("a", listen_a),
        peer("b", listen_b)
    );
    let start = |name: &str, config: String, sites: String| {
        Gateway::start(&run.folder, name, &config, &[("KELPCART_SITES", sites)], record)
    };
    let _a = start("a-1", config(1, &[("store-a", "origin", "a", address_a)]), accepting("a", listen_a))?;
    let _b = start("b-1", config(2, &[("store-b", "origin", "b", address_b)]), accepting("b", listen_b))?;
    let near = start("near-1", config(0, &[]), near_sites)?;
    near.wait_for_log("(a-1) is up", 10_000)?;
    near.wait_for_log("(b-1) is up", 10_000)?;
    let mut client = Client::connect(near.address, record).map_err(|e| e.to_string())?;
    let mut book = |object: u64, key: &str| {
        let req = new_request_id();
        let ask = Ask {
            class: "book",
            req: &req,
            object,
            group: 1,
            need_kb: 20.0,
            timeout_ms: 3_000,
            key: Some(key),
            body: b"two nights",
        };
        let id = client.send(&ask).map_err(|e| e.to_string())?;
        let answer = client.answer(4_000).ok_or("no answer")?;
        record.line(&format!("client: book {id} {req} {key} answered {}", answer.what));
        Ok::<_, String>(())
    };
    // Calm traffic, which shows whose books go to site a.
    let mut homes_at_a = Vec::new();
    for n in 1..=30u64 {
        let (object, key) = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15), format!("calm-{n}"));
        book(object, &key)?;
        if !store_a.arrivals_of(&key).is_empty() {
            homes_at_a.push(object);
        }
        sleep_ms(20);
    }
    if homes_at_a.len() < 3 {
        return Err("hardly any book goes to site a".to_owned());
    }
    let mut broken = Vec::new();
    for (n, object) in homes_at_a.into_iter().take(3).enumerate() {
        let key = format!("key-{n}");
        if run.trouble {
            *store_a.lose.lock().unwrap() = Some(key.clone());
        }
        book(object, &key)?;
        *store_a.lose.lock().unwrap() = None;
        let (a, b) = (store_a.arrivals_of(&key), store_b.arrivals_of(&key));
        let ran = |all: &[(u64, bool)]| all.iter().find(|one| one.1).map(|one| one.0);
        if let (Some(first), Some(later)) = (ran(&a), ran(&b)) {
            broken.push(format!(
                "{key} ran at the store of a at {first} ms and at the store of b at {later} ms: it was sent outside the \
                 zone that drops its repeats"
            ));
        }
        // The gateway leaves the store alone for a moment after resets.
        sleep_ms(1_500);
    }
    Ok(broken)
}
