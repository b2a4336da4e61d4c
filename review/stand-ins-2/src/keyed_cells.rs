//! A keyed txn whose repeats are dropped within a cell of caches crosses a link. The caches of a cell at the far site die under it.
//! The txn may have run there: neither gateway may have it sent to another cell.

use crate::client::{Request, ask, brief};
use crate::common::{Bulletin, Case, Config, Listed, Ran, free_udp, link_files, not_run, sleep_ms};
use crate::member::{Member, ok};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CELLS: u32 = 6;
const PER_CELL: u32 = 2;
/// Time that a book takes at a cache; it runs in the middle of it.
const SERVICE_MS: u64 = 80;
const BOOKS: usize = 600;

const CLASSES: &str = r#"
{"Name":"media","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":500000,"AimStretch":1.6,"DeadlineUs":6000000},
{"Name":"rates","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":400000,"AimStretch":2.0,"DeadlineUs":2500000},
{"Name":"book","Repeat":"token","DedupScope":"cell","MemorySpanUs":5000000,"SloUs":800000,"DeadlineUs":3000000}"#;

/// Where and when a key ran.
type Runs = BTreeMap<String, Vec<(u32, u64)>>;

pub fn run(case: &Case) -> Ran<bool> {
    let runs: Arc<Mutex<Runs>> = Arc::default();
    let (mut members, mut list) = (Vec::new(), Vec::new());
    for cell in 0..CELLS {
        // What the caches of a cell share.
        let known: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
        for i in 0..PER_CELL {
            let (own, runs, known) = (case.clone(), Arc::clone(&runs), Arc::clone(&known));
            let name = format!("box-{cell}{i}");
            let label = name.clone();
            let dead: Arc<AtomicBool> = Arc::default();
            let has_died = Arc::clone(&dead);
            let member = Member::start(move |hop| {
                let key = hop.header("X-Op-Key").unwrap_or_default().to_owned();
                let first = known.lock().unwrap().insert(key.clone(), own.ms()).is_none();
                sleep_ms(SERVICE_MS / 2);
                // A process that has died runs nothing more.
                if has_died.load(Ordering::SeqCst) {
                    return ok(Vec::new(), crate::common::unix_ms(), "via_origin");
                }
                if first && !key.is_empty() {
                    runs.lock().unwrap().entry(key.clone()).or_default().push((cell, own.ms()));
                }
                own.note(&format!(
                    "{label}, cell {cell}: key {key} {}",
                    if first { "runs" } else { "is known" }
                ));
                sleep_ms(SERVICE_MS / 2);
                ok(b"done".to_vec(), crate::common::unix_ms(), "via_origin")
            })?;
            list.push(Listed { name, address: member.address, zone: "hub", kind: "box", group: cell });
            members.push((cell, member, dead));
        }
    }
    let origin = Member::start(|_| ok(b"done".to_vec(), crate::common::unix_ms(), "hit"))?;
    list.push(Listed {
        name: "store".into(),
        address: origin.address,
        zone: "hub",
        kind: "origin",
        group: CELLS,
    });
    let keys = case.keys(&["near", "far"])?;
    let (near_bulletin, far_bulletin, far_udp) = (Bulletin::start()?, Bulletin::start()?, free_udp()?);
    let (near_links, far_links) = link_files(&keys, far_udp, r#""parent","origin""#);
    let (near_links, far_links) =
        (case.write("near.sites.json", &near_links)?, case.write("far.sites.json", &far_links)?);
    let config = |name, bulletin, listed, locality| Config {
        name,
        bulletin,
        listed,
        zones: &["hub", "branch"],
        locality,
        classes: CLASSES,
        write: "false,false,true",
        bypass: false,
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
        if case.trouble && i == BOOKS / 2 {
            let struck: Vec<(Member, Arc<AtomicBool>)> =
                members.iter().filter(|m| m.0 == 0).map(|m| (m.1.clone(), Arc::clone(&m.2))).collect();
            let (case, runs) = (case.clone(), Arc::clone(&runs));
            thread::spawn(move || {
                // The moment of the crash: a book has just run there.
                let from = case.ms();
                while !runs.lock().unwrap().values().flatten().any(|(cell, at)| *cell == 0 && *at > from) {
                    sleep_ms(1);
                }
                case.note("the two caches of cell 0 die at once");
                struck.iter().for_each(|(_, dead)| dead.store(true, Ordering::SeqCst));
                struck.iter().for_each(|(member, _)| member.die());
            });
        }
        let (case, address) = (case.clone(), near.address);
        books.push(thread::spawn(move || {
            let (req, key) = (0x1000 + i as u64, format!("book-{i}"));
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
        sleep_ms(5);
    }
    let served = books.into_iter().filter_map(|b| b.join().ok()).filter(|s| *s).count();
    sleep_ms(500);
    near.counters();
    far.counters();
    let runs = runs.lock().unwrap();
    case.say(&format!("{served} of {BOOKS} books served, {} keys ran", runs.len()));
    if served < BOOKS / 2 {
        return not_run("fewer than half of the books were served");
    }
    let mut broken = false;
    for (key, places) in runs.iter().filter(|(_, places)| places.iter().any(|p| p.0 != places[0].0)) {
        broken = true;
        case.say(&format!(
            "key {key} ran in more than one cell: (cell, ms) {places:?}; the client asked once"
        ));
    }
    Ok(broken)
}
