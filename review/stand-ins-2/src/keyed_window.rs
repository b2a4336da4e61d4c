//! A keyed txn crosses a link. The far origin runs it, and its connection is reset long after. The far gateway refuses
//! (the group is `all`); the near gateway must not send the txn again after the time for which repeats are known.

use crate::client::{Request, ask, brief};
use crate::common::{Bulletin, Case, Config, Listed, Ran, free_udp, link_files, not_run, sleep_ms};
use crate::member::{Member, Reply, ok};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;

/// For how long the origin knows a repeat by its key, from the first run.
const WINDOW_MS: u64 = 1_500;
/// After this time of a request the origin resets its connection, where it does.
const RESET_MS: u64 = 1_800;
/// One book in so many has its connection reset.
const RESET_EVERY: usize = 8;
const BOOKS: usize = 64;

const CLASSES: &str = r#"
{"Name":"media","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":500000,"AimStretch":1.6,"DeadlineUs":6000000},
{"Name":"rates","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":400000,"AimStretch":2.0,"DeadlineUs":2500000},
{"Name":"book","Repeat":"token","DedupScope":"all","MemorySpanUs":1500000,"SloUs":800000,"DeadlineUs":3000000}"#;

#[derive(Default)]
struct Origin {
    /// By key: when it ran first within the present memory, and how often it ran.
    known: BTreeMap<String, u64>,
    runs: BTreeMap<String, Vec<u64>>,
    to_reset: Vec<String>,
}

pub fn run(case: &Case) -> Ran<bool> {
    let state: Arc<Mutex<Origin>> = Arc::default();
    let (own, shared) = (case.clone(), Arc::clone(&state));
    let origin = Member::start(move |hop| {
        let key = hop.header("X-Op-Key").unwrap_or_default().to_owned();
        let at = own.ms();
        let (first, reset) = {
            let mut state = shared.lock().unwrap();
            let known = state.known.get(&key).is_some_and(|ran| at - ran < WINDOW_MS);
            if !known {
                state.known.insert(key.clone(), at);
                state.runs.entry(key.clone()).or_default().push(at);
            }
            let reset = state.to_reset.iter().position(|k| *k == key);
            (!known, reset.map(|i| state.to_reset.remove(i)).is_some())
        };
        own.note(&format!(
            "origin: key {key}, trace {}: {}",
            hop.header("X-Trace").unwrap_or_default(),
            if first { "runs" } else { "known as a repeat, does not run" }
        ));
        if reset {
            sleep_ms(RESET_MS);
            own.note(&format!("origin: the connection of key {key} is reset"));
            return Reply::Reset;
        }
        sleep_ms(30);
        ok(b"done".to_vec(), crate::common::unix_ms(), "hit")
    })?;
    let keys = case.keys(&["near", "far"])?;
    let (near_bulletin, far_bulletin, far_udp) = (Bulletin::start()?, Bulletin::start()?, free_udp()?);
    let (near_links, far_links) = link_files(&keys, far_udp, r#""parent","origin""#);
    let (near_links, far_links) =
        (case.write("near.sites.json", &near_links)?, case.write("far.sites.json", &far_links)?);
    let list =
        [Listed { name: "store".into(), address: origin.address, zone: "hub", kind: "origin", group: 0 }];
    let config = |name, bulletin, listed, locality| Config {
        name,
        bulletin,
        listed,
        zones: &["hub", "branch"],
        locality,
        classes: CLASSES,
        write: "false,false,true",
        bypass: true,
        gateways: 1,
    };
    let far = case.gateway(
        "far-1",
        &config("far-1", far_bulletin.address, &list, 0).json(),
        &[("KELPCART_SITES", &far_links)],
    )?;
    let near = case.gateway(
        "near-1",
        &config("near-1", near_bulletin.address, &[], 1).json(),
        &[("KELPCART_SITES", &near_links)],
    )?;
    sleep_ms(1_000);
    let mut books = Vec::new();
    for i in 0..BOOKS {
        let key = format!("book-{i}");
        if case.trouble && i % RESET_EVERY == RESET_EVERY / 2 {
            state.lock().unwrap().to_reset.push(key.clone());
        }
        let (case, address) = (case.clone(), near.address);
        books.push(thread::spawn(move || {
            let req = 0x1000 + i as u64;
            case.note(&format!("client: book {req:016x} with key {key}, 3000 ms"));
            let request = Request {
                class: "book",
                req,
                object: 0x7f00 + i as u64,
                group: 1,
                need_kb: 40,
                timeout_ms: 3_000,
                key: Some(&key),
                body: b"commit",
            };
            let answer = ask(address, &request);
            case.note(&format!("client: book {req:016x}: {}", brief(&answer)));
            matches!(answer, crate::client::Answer::Served(..))
        }));
        sleep_ms(250);
    }
    let served = books.into_iter().filter_map(|b| b.join().ok()).filter(|s| *s).count();
    sleep_ms(500);
    near.counters();
    far.counters();
    let state = state.lock().unwrap();
    case.say(&format!("{} of {BOOKS} books served, {} keys ran", served, state.runs.len()));
    if served < BOOKS / 2 {
        return not_run("fewer than half of the books were served");
    }
    let mut broken = false;
    for (key, runs) in state.runs.iter().filter(|(_, runs)| runs.len() > 1) {
        broken = true;
        case.say(&format!("key {key} ran {} times, at {runs:?} ms; the client asked once", runs.len()));
    }
    Ok(broken)
}
