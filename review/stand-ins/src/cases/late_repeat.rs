//! A keyed txn that may have run at another site goes out again after the time for which its key is remembered.

use crate::{Run, Verdict};
use kelpcart_review::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// How long the store remembers a key, counted from its first run.
const MEMORY_MS: u64 = 400;
/// The protocol page: "each time limit is 50 ms longer".
const SLACK_MS: u64 = 50;

#[derive(Default)]
struct Store {
    /// By key: when it ran.
    ran: Mutex<BTreeMap<String, Vec<u64>>>,
    /// The connection of the first request with this key is reset so long after the run.
    lose: Mutex<Option<(String, u64)>>,
}

pub fn run(run: &Run) -> Verdict {
    let record = &run.record;
    write_keys(&run.folder, &["near", "far"])?;
    let store = Arc::new(Store::default());
    let (serving, log) = (Arc::clone(&store), record.clone());
    let address = start_server(move |request| {
        let (key, now) = (request.field("X-Op-Key").to_owned(), log.now_ms());
        let mut ran = serving.ran.lock().unwrap();
        let times = ran.entry(key.clone()).or_default();
        let repeat = times.last().is_some_and(|at| now - at < MEMORY_MS + SLACK_MS);
        if !repeat {
            times.push(now);
        }
        log.line(&format!(
            "store: {} key {key} trace {}: {}",
            request.path,
            request.field("X-Trace"),
            if repeat { "a repeat, dropped" } else { "runs" }
        ));
        if let Some((_, after_ms)) = serving.lose.lock().unwrap().take_if(|l| l.0 == key) {
            log.line(&format!("store: the connection is reset {after_ms} ms later, before the answer"));
            return Reply::Reset { after_ms };
        }
        ok(b"done".to_vec(), unix_ms(), "hit", 20)
    });
    let classes = [Class {
        name: "book",
        repeat: "token",
        scope: "all",
        memory_ms: MEMORY_MS,
        slo_ms: 300,
        stretch: 0.0,
        deadline_ms: 1_000,
        write: true,
    }];
    let zones = ["near", "far"];
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
    let listen = free_udp();
    let (near_keys, far_keys) = (key_files(&run.folder, "near"), key_files(&run.folder, "far"));
    let far_sites = format!(
        r#"{{"site":"far","gateway":"far-1","listen":"{listen}","accept":["near"],"keys":{far_keys}}}"#
    );
    let near_sites = format!(
        r#"{{"site":"near","gateway":"near-1","keys":{near_keys},
        "peers":[{{"name":"far-1","site":"far","address":"{listen}","as":["origin"],"size":64.0}}]}}"#
    );
    let start = |name: &str, config: String, sites: String| {
        Gateway::start(&run.folder, name, &config, &[("KELPCART_SITES", sites)], record)
    };
    let _far = start("far-1", config(1, &[("store", "origin", "far", address)]), far_sites)?;
    let near = start("near-1", config(0, &[]), near_sites)?;
    near.wait_for_log("(far-1) is up", 10_000)?;
    let mut client = Client::connect(near.address, record).map_err(|e| e.to_string())?;
    let mut broken = Vec::new();
    for n in 1..=12u64 {
        let (key, req) = (format!("key-{n}"), new_request_id());
        if run.trouble && n % 4 == 0 {
            *store.lose.lock().unwrap() = Some((key.clone(), MEMORY_MS + 120));
        }
        let ask = Ask {
            class: "book",
            req: &req,
            object: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            group: 1,
            need_kb: 20.0,
            timeout_ms: 1_000,
            key: Some(&key),
            body: b"two nights",
        };
        let id = client.send(&ask).map_err(|e| e.to_string())?;
        let answer = client.answer(4_000).ok_or("no answer")?;
        record.line(&format!("client: book {id} {req} {key} answered {}", answer.what));
        let ran = store.ran.lock().unwrap().get(&key).cloned().unwrap_or_default();
        if ran.len() > 1 {
            broken.push(format!(
                "{key} ran at {ran:?} ms: sent again after the {MEMORY_MS} ms for which it is remembered"
            ));
        }
        sleep_ms(200);
    }
    Ok(broken)
}
