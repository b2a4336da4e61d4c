//! A read that waits for a link to another site goes out after a purge that its gateway was told of, and is answered from a
//! copy older than the purge.

use crate::{Run, Verdict};
use kelpcart_review::*;
use std::sync::{Arc, Mutex};

/// The purge rule's grace.
const GRACE_MS: u64 = 500;

pub fn run(run: &Run) -> Verdict {
    let record = &run.record;
    write_keys(&run.folder, &["near", "far"])?;
    // A cache of the far site that holds a copy of every object, made a minute ago, and fetches a new one where that is
    // too old.
    let made = unix_ms() - 60_000;
    let served: Arc<Mutex<Vec<(u64, u64, u64)>>> = Arc::default();
    let (log, answers) = (record.clone(), Arc::clone(&served));
    let cache = start_server(move |request| {
        let (now, max_age) = (unix_ms(), request.field("X-Max-Age-Ms").parse::<u64>().unwrap_or(0));
        let born = if max_age > 0 && now - made > max_age { now } else { made };
        let object =
            request.path.split('/').nth(3).and_then(|o| u64::from_str_radix(o, 16).ok()).unwrap_or(0);
        answers.lock().unwrap().push((object, log.now_ms(), born));
        log.line(&format!(
            "far cache: {} trace {} max age {}: a copy of {} ms ago",
            request.path,
            request.field("X-Trace"),
            request.field("X-Max-Age-Ms"),
            now - born
        ));
        let mut body = born.to_be_bytes().to_vec();
        body.resize(2_000, 7);
        ok(body, born, if born == now { "filled" } else { "hit" }, 700)
    });
    let classes = [Class {
        name: "media",
        repeat: "pure",
        scope: "all",
        memory_ms: 5_000,
        slo_ms: 500,
        stretch: 1.6,
        deadline_ms: 6_000,
        write: false,
    }];
    let zones = ["near", "far"];
    let (near_bulletin, far_bulletin) = (Bulletin::start(1), Bulletin::start(1));
    let config =
        |locality: usize, bulletin: &Bulletin, members: &[(&str, &str, &str, std::net::SocketAddr)]| {
            let bulletin = bulletin.address;
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
        r#"{{"site":"far","gateway":"far-1","listen":"{listen}","accept":["near"],"keys":{far_keys},"limits":{{"taken":4}}}}"#
    );
    let near_sites = format!(
        r#"{{"site":"near","gateway":"near-1","keys":{near_keys},
        "peers":[{{"name":"far-1","site":"far","address":"{listen}","as":["parent","origin"],"size":64.0}}]}}"#
    );
    let start = |name: &str, config: String, sites: String| {
        Gateway::start(&run.folder, name, &config, &[("KELPCART_SITES", sites)], record)
    };
    let _far = start("far-1", config(1, &far_bulletin, &[("box-1", "std-box", "far", cache)]), far_sites)?;
    let near = start("near-1", config(0, &near_bulletin, &[]), near_sites)?;
    near.wait_for_log("(far-1) is up", 10_000)?;
    let mut client = Client::connect(near.address, record).map_err(|e| e.to_string())?;
    let mut broken = Vec::new();
    for round in 1..=4u64 {
        let first = round * 100;
        for n in 0..14 {
            let req = new_request_id();
            let ask = Ask {
                class: "media",
                req: &req,
                object: first + n,
                group: round as u8,
                need_kb: 4_000.0,
                timeout_ms: 6_000,
                key: None,
                body: b"",
            };
            let id = client.send(&ask).map_err(|e| e.to_string())?;
            record.line(&format!("client: media {id} {req} object {}", first + n));
        }
        sleep_ms(50);
        let purge = format!("\"recall\":{{\"lot\":{round},\"issued\":{}}}", unix_ms());
        near_bulletin.publish(&purge);
        let (told, issued) = (record.now_ms() + 5, unix_ms());
        record.line(&format!("near bulletin: group {round} is purged"));
        if !run.trouble {
            far_bulletin.publish(&purge);
            record.line(&format!("far bulletin: group {round} is purged"));
        }
        let mut got = 0;
        while let Some(answer) = client.answer(2_500) {
            let born = answer.body.get(..8).map(|b| u64::from_be_bytes(b.try_into().unwrap()));
            record.line(&format!("client: {} answered {}, copy made {:?}", answer.id, answer.what, born));
            got += 1;
            if got == 14 {
                break;
            }
        }
        for (object, at, born) in served.lock().unwrap().iter() {
            if (first..first + 14).contains(object) && *at > told + GRACE_MS + 50 && *born < issued {
                broken.push(format!(
                    "object {object}: asked for at the far cache {} ms after near-1 was told of the purge, and answered \
                     from a copy older than it",
                    at - told
                ));
            }
        }
        if run.trouble {
            // The far site's discovery runs behind.
            far_bulletin.publish(&purge);
            record.line(&format!("far bulletin: group {round} is purged, late"));
        }
        sleep_ms(500);
    }
    Ok(broken)
}
