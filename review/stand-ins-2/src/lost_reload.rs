//! Idle clients fill the descriptors when a new configuration moves the bulletin. What the gateway sends later than the grace
//! after a purge must not be answered from an older copy.

use crate::client::{Answer, Request, Session};
use crate::common::{Bulletin, Case, Config, Listed, Ran, free_udp, near_links, not_run, sleep_ms, unix_ms};
use crate::member::{Member, ok};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// `HeedWithinUs`, and what each time limit is longer on sockets.
const GRACE_MS: u64 = 500 + 50;
/// What the bulletin has to tell counts as told so long after SIGHUP.
const TOLD_AFTER_MS: u64 = 4_000;
/// All caches have dropped older copies by themselves so long after a purge.
const GONE_MS: u64 = 6_000;
const CACHES: usize = 190;
const DESCRIPTORS: u32 = 256;
const IDLE_CLIENTS: usize = 250;
const READERS: u64 = 12;
const MOVE_AT_MS: u64 = 20_000;
const END_MS: u64 = 40_000;
/// Objects that are purged, one each so many milliseconds, and read by all.
const PURGED: std::ops::Range<u64> = 1..40;
const PURGE_EVERY_MS: u64 = 500;

const CLASSES: &str = r#"
{"Name":"media","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":500000,"AimStretch":1.6,"DeadlineUs":6000000},
{"Name":"rates","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":400000,"AimStretch":2.0,"DeadlineUs":2500000},
{"Name":"book","Repeat":"side_effect","DedupScope":"all","MemorySpanUs":0,"SloUs":800000,"DeadlineUs":3000000}"#;

#[derive(Default)]
struct World {
    /// By object: when its purge was told.
    purged: BTreeMap<u64, u64>,
    /// By cache and object: when the copy was fetched anew.
    renewed: BTreeMap<(usize, u64), u64>,
    /// What a cache gave out of purged objects: object, when the request came, when the copy was born, the age limit.
    given: Vec<(u64, u64, u64, Option<u64>)>,
}

/// A client that asks whether the gateway is ready, and holds its connection for as long as it may.
fn hold(address: SocketAddr, ended: &AtomicBool) {
    use std::io::{Read, Write};
    while !ended.load(Ordering::Relaxed) {
        if let Ok(mut stream) = TcpStream::connect(address) {
            _ = stream.write_all(&[&[0x94, 0x00, 0x01, 0xa5][..], b"check", &[0x91, 0x80]].concat());
            _ = stream.set_read_timeout(Some(std::time::Duration::from_secs(8)));
            let mut bytes = [0; 256];
            while matches!(stream.read(&mut bytes), Ok(n) if n > 0) && !ended.load(Ordering::Relaxed) {}
        }
        sleep_ms(20);
    }
}

pub fn run(case: &Case) -> Ran<bool> {
    let world: Arc<Mutex<World>> = Arc::default();
    let first_born = unix_ms() - 60_000;
    let mut list = Vec::new();
    for i in 0..CACHES {
        let shared = Arc::clone(&world);
        let member = Member::start(move |hop| {
            let came = unix_ms();
            let limit: Option<u64> =
                hop.header("X-Max-Age-Ms").and_then(|t| t.parse().ok()).filter(|n| *n > 0);
            let mut all = shared.lock().unwrap();
            let mut born = all.renewed.get(&(i, hop.object)).copied().unwrap_or(first_born);
            let gone = all.purged.get(&hop.object).is_some_and(|at| came >= at + GONE_MS - 500 && born < *at);
            if limit.is_some_and(|limit| came.saturating_sub(born) > limit) || gone {
                born = came;
                all.renewed.insert((i, hop.object), born);
            }
            if PURGED.contains(&hop.object) {
                all.given.push((hop.object, came, born, limit));
            }
            drop(all);
            sleep_ms(5);
            ok([hop.object.to_be_bytes(), born.to_be_bytes()].concat(), born, "hit")
        })?;
        list.push(Listed {
            name: format!("box-{i}"),
            address: member.address,
            zone: "branch",
            kind: "box",
            group: 0,
        });
    }
    let store = Member::start(|hop| ok(hop.object.to_be_bytes().to_vec(), unix_ms(), "hit"))?;
    list.push(Listed { name: "mid".into(), address: store.address, zone: "hub", kind: "parent", group: 0 });
    list.push(Listed { name: "store".into(), address: store.address, zone: "hub", kind: "origin", group: 0 });
    let old = Bulletin::start()?;
    let new = old.moved()?;
    // Links with another site, both ways, with a ledger on a disk; the other site is not up, and all that is read here is of
    // the gateway's own site.
    let keys = case.keys(&["near", "far"])?;
    let links = near_links(&keys, &[("far-1", free_udp()?)], r#""origin""#);
    let (listen, ledger) = (free_udp()?, case.folder.join("ledger"));
    let both =
        format!(r#"{{"listen":"{listen}","accept":["far"],"ledger":{{"file":"{}"}},"#, ledger.display());
    let links = case.write("near.sites.json", &links.replacen('{', &both, 1))?;
    // A fleet for budgets in common, of which nobody else is there; each gateway follows the bulletin by itself.
    let fleet_address = free_udp()?;
    let fleet = format!(
        r#"{{"fleet":"branch","gateway":"near-1","listen":"{fleet_address}","seeds":["{fleet_address}"],"keys":[{{"id":1,"secret":"{}"}}],"members":{{"expected":4}},"relays":{{"on":false}},"budgets":{{"connections":80}}}}"#,
        "5a".repeat(32)
    );
    let fleet = case.write("near.fleet.json", &fleet)?;
    let config = |bulletin: SocketAddr| {
        let config = Config {
            name: "near-1",
            bulletin,
            listed: &list,
            zones: &["hub", "branch"],
            locality: 1,
            classes: CLASSES,
            write: "false,false,true",
            bypass: false,
            gateways: 1,
        };
        config.json().replace(r#""sockets":1024"#, &format!(r#""sockets":{DESCRIPTORS}"#))
    };
    let mut gateway = case.limited_gateway(
        "near-1",
        &config(old.address),
        &[("KELPCART_SITES", &links), ("KELPCART_FLEET", &fleet)],
        Some(DESCRIPTORS),
    )?;
    let (start, ended) = (case.ms(), Arc::new(AtomicBool::new(false)));
    let (served, lost) = (Arc::new(Mutex::new(0u32)), Arc::new(Mutex::new(0u32)));
    let mut threads = Vec::new();
    // Usual clients: each keeps a connection and reads objects, purged ones among them.
    for reader in 0..READERS {
        let (case, ended, address) = (case.clone(), Arc::clone(&ended), gateway.address);
        let (served, lost, world) = (Arc::clone(&served), Arc::clone(&lost), Arc::clone(&world));
        threads.push(thread::spawn(move || {
            let (mut n, mut session) = (0u64, None);
            while !ended.load(Ordering::Relaxed) {
                let Some(open) = &mut session else {
                    session = Session::open(address);
                    continue;
                };
                n += 1;
                let now = unix_ms();
                let recent: Vec<u64> = {
                    let all = world.lock().unwrap();
                    all.purged.iter().filter(|(_, at)| **at + GONE_MS > now).map(|(o, _)| *o).collect()
                };
                let object = match n % 4 {
                    0 if !recent.is_empty() => recent[(n / 4 + reader) as usize % recent.len()],
                    _ => 1_000 + (n.wrapping_mul(0x9e37_79b9) ^ reader << 20) % 100_000,
                };
                let req = reader << 32 | n;
                let request = Request {
                    class: "media",
                    req,
                    object,
                    group: 1,
                    need_kb: 50,
                    timeout_ms: 6_000,
                    key: None,
                    body: b"",
                };
                match open.ask(&request) {
                    Answer::Served(..) => *served.lock().unwrap() += 1,
                    other => {
                        case.note(&format!("client: read {req:016x}: {other:?}"));
                        *lost.lock().unwrap() += 1;
                        session = None;
                    }
                }
                sleep_ms(15);
            }
        }));
    }
    sleep_ms(6_000);
    if case.trouble {
        case.note("idle clients fill the descriptors from now on");
        for _ in 0..IDLE_CLIENTS {
            let (address, ended) = (gateway.address, Arc::clone(&ended));
            threads.push(thread::spawn(move || hold(address, &ended)));
        }
    }
    sleep_ms(MOVE_AT_MS.saturating_sub(case.ms() - start));
    let open = std::fs::read_dir(format!("/proc/{}/fd", gateway.id())).map_or(0, |all| all.count());
    case.say(&format!(
        "a new configuration moves the bulletin; {open} of {DESCRIPTORS} descriptors are open"
    ));
    case.write("near-1.config.json", &config(new.address))?;
    old.retire();
    let moved = unix_ms();
    gateway.signal("HUP");
    for object in PURGED {
        if case.ms() - start >= END_MS {
            break;
        }
        sleep_ms(PURGE_EVERY_MS);
        let issued = unix_ms();
        let number = new.tell(&format!(r#""recall":{{"item":"{object:016x}","issued":{issued}}}"#));
        world.lock().unwrap().purged.insert(object, issued);
        case.note(&format!("event {number}: purge of {object:x}, told at {issued}"));
    }
    sleep_ms(1_000);
    gateway.counters();
    let crashed = gateway.ended();
    ended.store(true, Ordering::Relaxed);
    drop(gateway);
    threads.into_iter().for_each(|t| _ = t.join());
    case.say(&format!(
        "{} reads served, {} not; the gateway ended: {crashed}",
        served.lock().unwrap(),
        lost.lock().unwrap()
    ));
    if *served.lock().unwrap() < 1_000 {
        return not_run("fewer than 1,000 reads were served");
    }
    let world = world.lock().unwrap();
    let (mut old_copies, mut latest) = (0, 0);
    for (object, came, born, limit) in &world.given {
        let Some(purged) = world.purged.get(object) else { continue };
        let told = *purged.max(&(moved + TOLD_AFTER_MS));
        if born < purged && *came > told + GRACE_MS {
            old_copies += 1;
            latest = latest.max(came - told);
            case.note(&format!(
                "a read of {object:x} was sent {} ms after its purge counts as told, age limit {limit:?}, and was answered from \
                 a copy older than it",
                came - told
            ));
        }
    }
    case.say(&format!("{old_copies} reads were answered from copies older than a purge, the latest {latest} ms after it was told"));
    Ok(old_copies > 0)
}
