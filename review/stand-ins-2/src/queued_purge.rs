//! Reads wait for a link while the far store is slow, and a purge is told meanwhile. What the near gateway sends later than
//! the grace after it must not be answered from a copy older than the purge.

use crate::client::{Answer, Request, ask, brief};
use crate::common::{Bulletin, Case, Config, Listed, Ran, free_udp, link_files, not_run, sleep_ms, unix_ms};
use crate::member::{Member, ok};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// `HeedWithinUs`, and what each time limit is longer on sockets.
const GRACE_MS: u64 = 500 + 50;
/// The link is on loopback and has no delay. What a request may need from the near gateway's send to the far cache.
const ON_THE_WAY_MS: u64 = 150;
/// A purge is told at the far site so much later: each site has a bulletin of its own.
const FAR_TOLD_LATER_MS: u64 = 2_000;
/// A fill from the store, and how much slower it is while the store is slow.
const STORE_MS: u64 = 60;
const SLOWER: u64 = 5;
const SLOW_FROM_MS: u64 = 6_000;
const SLOW_FOR_MS: u64 = 9_000;
/// Reads of objects that no cache has, a second.
const COLD_PER_S: u64 = 18;
/// A read of 2,500 KB by the settings; its bytes on the socket are fewer.
const NEED_KB: u64 = 2_500;
const BODY: usize = 70_000;
const SECONDS: u64 = 18;
/// Objects from this number on are in no cache.
const COLD: u64 = 0x10_0000;

const CLASSES: &str = r#"
{"Name":"media","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":500000,"AimStretch":1.6,"DeadlineUs":6000000},
{"Name":"rates","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":400000,"AimStretch":2.0,"DeadlineUs":2500000},
{"Name":"book","Repeat":"side_effect","DedupScope":"all","MemorySpanUs":0,"SloUs":800000,"DeadlineUs":3000000}"#;

/// What a far cache gave out of a purged object: when it got the request, when the copy was born.
struct Given {
    object: u64,
    trace: u64,
    at_ms: u64,
    born_ms: u64,
}

#[derive(Default)]
struct Far {
    slow: AtomicBool,
    given: Mutex<Vec<Given>>,
    /// Copies that were fetched after a purge, by object.
    renewed: Mutex<BTreeMap<u64, u64>>,
}

fn body(object: u64, born_ms: u64) -> Vec<u8> {
    let mut bytes = vec![object as u8; BODY];
    bytes[..8].copy_from_slice(&object.to_be_bytes());
    bytes[8..16].copy_from_slice(&born_ms.to_be_bytes());
    bytes
}

pub fn run(case: &Case) -> Ran<bool> {
    let far_state: Arc<Far> = Arc::default();
    let first_born = unix_ms() - 20_000;
    let mut list = Vec::new();
    for name in ["box-a", "box-b", "box-c"] {
        let (own, state) = (case.clone(), Arc::clone(&far_state));
        let member = Member::start(move |hop| {
            let came = unix_ms();
            let store = STORE_MS * if state.slow.load(Ordering::Relaxed) { SLOWER } else { 1 };
            let trace = u64::from_str_radix(hop.header("X-Trace").unwrap_or("0"), 16).unwrap_or(0);
            if hop.object >= COLD {
                sleep_ms(store);
                let born = unix_ms();
                return ok(body(hop.object, born), born, "via_origin");
            }
            let limit: Option<u64> =
                hop.header("X-Max-Age-Ms").and_then(|t| t.parse().ok()).filter(|n| *n > 0);
            let mut born = state.renewed.lock().unwrap().get(&hop.object).copied().unwrap_or(first_born);
            let fresh = limit.is_none_or(|limit| came.saturating_sub(born) <= limit);
            if !fresh {
                sleep_ms(store);
                born = unix_ms();
                state.renewed.lock().unwrap().insert(hop.object, born);
            }
            own.note(&format!(
                "{name}: read {trace:016x} of {:x}, age limit {limit:?}, copy born at {born}",
                hop.object
            ));
            state.given.lock().unwrap().push(Given { object: hop.object, trace, at_ms: came, born_ms: born });
            sleep_ms(10);
            ok(body(hop.object, born), born, if fresh { "hit" } else { "via_origin" })
        })?;
        list.push(Listed { name: name.into(), address: member.address, zone: "hub", kind: "box", group: 0 });
    }
    let origin = Member::start(|hop| ok(body(hop.object, unix_ms()), unix_ms(), "hit"))?;
    list.push(Listed { name: "mid".into(), address: origin.address, zone: "hub", kind: "parent", group: 0 });
    list.push(Listed {
        name: "store".into(),
        address: origin.address,
        zone: "hub",
        kind: "origin",
        group: 0,
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
    let start = case.ms();
    let tallies: Arc<Mutex<BTreeMap<&'static str, u32>>> = Arc::default();
    // By object: when its purge was told to the near gateway.
    let mut purges: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut n, mut hot, mut next_hot) = (0u64, 0u64, 500);
    let mut reads = Vec::new();
    loop {
        let at = case.ms() - start;
        if at >= SECONDS * 1_000 {
            break;
        }
        let slow = case.trouble && (SLOW_FROM_MS..SLOW_FROM_MS + SLOW_FOR_MS).contains(&at);
        if far_state.slow.swap(slow, Ordering::Relaxed) != slow {
            case.note(if slow {
                "the far store is slow from now on"
            } else {
                "the far store is as fast as before"
            });
        }
        let read = |object: u64, req: u64| {
            let (case, address, tallies) = (case.clone(), near.address, Arc::clone(&tallies));
            thread::spawn(move || {
                let request = Request {
                    class: "media",
                    req,
                    object,
                    group: 1,
                    need_kb: NEED_KB,
                    timeout_ms: 6_000,
                    key: None,
                    body: b"",
                };
                let answer = ask(address, &request);
                if object < COLD {
                    case.note(&format!("client: read {req:016x} of {object:x}: {}", brief(&answer)));
                }
                let kind = match answer {
                    Answer::Served(..) => "served",
                    Answer::Refused => "refused",
                    _ => "other",
                };
                *tallies.lock().unwrap().entry(kind).or_default() += 1;
            })
        };
        n += 1;
        reads.push(read(COLD + n, 0x1000_0000 + n));
        if at >= next_hot {
            // A client reads an object that the far caches hold; right after it the object is purged.
            next_hot += 200;
            hot += 1;
            case.note(&format!("client: read {:016x} of {hot:x}", 0x2000_0000 + hot));
            reads.push(read(hot, 0x2000_0000 + hot));
            sleep_ms(20);
            let issued = unix_ms();
            let event = format!(r#""recall":{{"item":"{hot:016x}","issued":{issued}}}"#);
            near_bulletin.tell(&event);
            purges.insert(hot, unix_ms());
            case.note(&format!("purge of {hot:x} issued at {issued}, told to the near gateway"));
            let far_bulletin = far_bulletin.clone();
            thread::spawn(move || {
                sleep_ms(FAR_TOLD_LATER_MS);
                far_bulletin.tell(&event);
            });
        }
        sleep_ms(1_000 / COLD_PER_S);
    }
    reads.into_iter().for_each(|r| _ = r.join());
    sleep_ms(300);
    near.counters();
    far.counters();
    case.say(&format!("{} purges; reads: {:?}", purges.len(), tallies.lock().unwrap()));
    if tallies.lock().unwrap().get("served").is_none_or(|served| *served < 100) {
        return not_run("fewer than 100 reads were served");
    }
    let mut broken = false;
    for given in far_state.given.lock().unwrap().iter() {
        let Some(&told) = purges.get(&given.object) else {
            continue;
        };
        let after = given.at_ms.saturating_sub(told);
        if given.born_ms < told && after > 100 {
            case.note(&format!("read {:016x}: old copy, {after} ms after the purge was told", given.trace));
        }
        if given.born_ms < told && after > GRACE_MS + ON_THE_WAY_MS {
            broken = true;
            case.say(&format!(
                "read {:016x} of {:x} came to the far cache {after} ms after the near gateway was told of the purge, and was \
                 answered from a copy born {} ms before it",
                given.trace,
                given.object,
                told - given.born_ms
            ));
        }
    }
    Ok(broken)
}
