//! The gateways of a site follow two list services by a hub's feed. Half of them die and start again. What one sends later than
//! the grace after its start must not be answered from a copy older than a purge that was told before.

use crate::client::{Answer, Request, ask, brief};
use crate::common::{Bulletin, Case, Config, Gateway, Listed, Ran, free_udp, not_run, sleep_ms, unix_ms};
use crate::member::{Member, ok};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;

/// `HeedWithinUs`, and what each time limit is longer on sockets.
const GRACE_MS: u64 = 500 + 50;
/// What the feed takes to tell the last gateway, by docs/design/feed.md.
const FEED_MS: u64 = 640;
/// All caches have dropped older copies by themselves so long after a purge.
const GONE_MS: u64 = 6_000;
const GATEWAYS: usize = 24;
/// These die at once and come back one after the other.
const DYING: std::ops::Range<usize> = 12..24;
const AWAY_MS: std::ops::Range<u64> = 1_600..7_800;
const PURGES_PER_S: u64 = 80;
/// Times after the start at which objects are read that were purged before.
const READ_AT_MS: [u64; 12] =
    [1_210, 1_250, 1_300, 1_350, 1_400, 1_500, 1_600, 1_700, 1_800, 2_000, 2_300, 2_700];
const READS_AT_ONCE: usize = 2;

const CLASSES: &str = r#"
{"Name":"media","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":500000,"AimStretch":1.6,"DeadlineUs":6000000},
{"Name":"rates","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":400000,"AimStretch":2.0,"DeadlineUs":2500000},
{"Name":"book","Repeat":"side_effect","DedupScope":"all","MemorySpanUs":0,"SloUs":800000,"DeadlineUs":3000000}"#;

#[derive(Default)]
struct World {
    /// By object: when it was purged.
    purged: BTreeMap<u64, u64>,
    /// By object: when the caches' copy was fetched anew.
    renewed: BTreeMap<u64, u64>,
    /// What a cache gave out: object, trace, when the request came, when the copy was born, the age limit.
    given: Vec<(u64, u64, u64, u64, Option<u64>)>,
}

pub fn run(case: &Case) -> Ran<bool> {
    let world: Arc<Mutex<World>> = Arc::default();
    let first_born = unix_ms() - 60_000;
    let cache = |world: Arc<Mutex<World>>| {
        Member::start(move |hop| {
            let came = unix_ms();
            let trace = u64::from_str_radix(hop.header("X-Trace").unwrap_or("0"), 16).unwrap_or(0);
            let limit: Option<u64> =
                hop.header("X-Max-Age-Ms").and_then(|t| t.parse().ok()).filter(|n| *n > 0);
            let mut all = world.lock().unwrap();
            let gone = all.purged.get(&hop.object).is_some_and(|at| came >= at + GONE_MS - 500);
            let mut born = all.renewed.get(&hop.object).copied().unwrap_or(first_born);
            if limit.is_some_and(|limit| came.saturating_sub(born) > limit) || gone && born == first_born {
                born = came;
                all.renewed.insert(hop.object, born);
            }
            all.given.push((hop.object, trace, came, born, limit));
            ok([hop.object.to_be_bytes(), born.to_be_bytes()].concat(), born, "hit")
        })
    };
    let mut list = Vec::new();
    let mut members = Vec::new();
    for name in ["box-a", "box-b"] {
        let member = cache(Arc::clone(&world))?;
        list.push(Listed {
            name: name.into(),
            address: member.address,
            zone: "branch",
            kind: "box",
            group: 0,
        });
        members.push(member);
    }
    let store = Member::start(|hop| ok(hop.object.to_be_bytes().to_vec(), unix_ms(), "hit"))?;
    list.push(Listed { name: "mid".into(), address: store.address, zone: "hub", kind: "parent", group: 0 });
    list.push(Listed { name: "store".into(), address: store.address, zone: "hub", kind: "origin", group: 0 });
    // The first list service has the caches, the second one tells purges of another region.
    let lists = [Bulletin::start()?, Bulletin::start()?];
    lists[0].list(&list);
    lists[1].list(&[]);
    let hub_address = free_udp()?;
    // The pair of keys of the examples in deploy/.
    let (secret, public) =
        ("01".repeat(32), "8a88e3dd7409f195fd52db2d3cba5d72ca6709bf1d94121bf3748801b40f6f5c");
    let feed = |site: &str, more: &str| {
        format!(
            r#""feed":{{"name":"main","site":"{site}","streams":[{{"name":"east","address":"{}"}},{{"name":"west","address":"{}"}}],"own":0,"hubs":[{{"name":"control-1","address":"{hub_address}","public":"{public}"}}]{more}}}"#,
            lists[0].address, lists[1].address
        )
    };
    let key = format!(r#""keys":[{{"id":1,"secret":"{}"}}]"#, "5a".repeat(32));
    let control = format!(r#","control":{{"name":"control-1","secret":"{secret}","sites":["east-1"]}}"#);
    let hub = format!(
        r#"{{"fleet":"control","gateway":"control-1","listen":"{hub_address}",{key},{}}}"#,
        feed("control", &control)
    );
    let hub = case.write("control-1.fleet.json", &hub)?;
    let mut control = case.process("control-1", &[("KELPCART_FLEET", &hub)], None)?;
    sleep_ms(1_500);
    if control.ended() {
        return not_run("the hub ended at its start");
    }
    let listen: Vec<SocketAddr> = (0..GATEWAYS).map(|_| free_udp()).collect::<Ran<_>>()?;
    let seeds: Vec<String> = listen.iter().take(3).map(|a| format!("\"{a}\"")).collect();
    let start = |i: usize| -> Ran<Gateway> {
        let name = format!("g{}", i + 1);
        let config = Config {
            name: &name,
            bulletin: lists[0].address,
            listed: &list,
            zones: &["hub", "branch"],
            locality: 1,
            classes: CLASSES,
            write: "false,false,true",
            bypass: false,
            gateways: GATEWAYS,
        };
        let fleet = format!(
            r#"{{"fleet":"east-1","gateway":"{name}","listen":"{}","seeds":[{}],{key},"members":{{"expected":{GATEWAYS}}},{}}}"#,
            listen[i],
            seeds.join(","),
            feed("east-1", "")
        );
        let fleet: PathBuf = case.write(&format!("{name}.fleet.json"), &fleet)?;
        case.gateway(&name, &config.json(), &[("KELPCART_FLEET", &fleet)])
    };
    let mut gateways: Vec<Option<Gateway>> = Vec::new();
    for i in 0..GATEWAYS {
        gateways.push(Some(start(i)?));
    }
    sleep_ms(4_000);
    // Purges, from now to the end.
    let (teller, told) = (lists[1].clone(), Arc::clone(&world));
    let own = case.clone();
    thread::spawn(move || {
        for object in 0x1000.. {
            let issued = unix_ms();
            told.lock().unwrap().purged.insert(object, issued);
            teller.tell(&format!(r#""recall":{{"item":"{object:016x}","issued":{issued}}}"#));
            own.note(&format!("purge of {object:x}, issued and told at {issued}"));
            sleep_ms(1_000 / PURGES_PER_S);
        }
    });
    sleep_ms(6_000);
    case.note(if case.trouble { "half of the gateways die (SIGKILL)" } else { "nobody dies" });
    // By trace: when the gateway was ready.
    let starts: Mutex<BTreeMap<u64, u64>> = Mutex::default();
    let answers: Mutex<BTreeMap<&str, u32>> = Mutex::default();
    let taken: Mutex<BTreeSet<u64>> = Mutex::default();
    let dead: Vec<(usize, Option<Gateway>)> =
        DYING.map(|i| (i, gateways[i].take().filter(|_| !case.trouble))).collect();
    let (starts, answers, taken, start, world) = (&starts, &answers, &taken, &start, &*world);
    let back: Vec<Ran<Gateway>> = thread::scope(|scope| {
        let come_back = |(n, (i, gateway)): (usize, (usize, Option<Gateway>))| {
            scope.spawn(move || -> Ran<Gateway> {
                let step = (AWAY_MS.end - AWAY_MS.start) / DYING.len() as u64;
                sleep_ms(AWAY_MS.start + step * n as u64);
                let gateway = gateway.map_or_else(|| start(i), Ok)?;
                let ready = unix_ms();
                case.note(&format!("g{} is ready at {ready}", i + 1));
                for (k, at) in READ_AT_MS.into_iter().enumerate() {
                    sleep_ms((ready + at).saturating_sub(unix_ms()));
                    // Objects that were purged before the start and that nobody has read yet.
                    let due: Vec<u64> = {
                        let (all, mut taken) = (world.lock().unwrap(), taken.lock().unwrap());
                        let before =
                            all.purged.iter().filter(|(_, at)| **at + 1_000 < ready && **at + 2_500 > ready);
                        let free: Vec<u64> = before
                            .map(|(o, _)| *o)
                            .filter(|o| !taken.contains(o))
                            .take(READS_AT_ONCE)
                            .collect();
                        taken.extend(&free);
                        free
                    };
                    for (j, object) in due.into_iter().enumerate() {
                        let req = (i as u64) << 32 | (k * READS_AT_ONCE + j + 1) as u64;
                        starts.lock().unwrap().insert(req, ready);
                        let request = Request {
                            class: "media",
                            req,
                            object,
                            group: 1,
                            need_kb: 100,
                            timeout_ms: 6_000,
                            key: None,
                            body: b"",
                        };
                        let answer = ask(gateway.address, &request);
                        case.note(&format!(
                            "client: read {req:016x} of {object:x} at g{}: {}",
                            i + 1,
                            brief(&answer)
                        ));
                        let kind = if matches!(answer, Answer::Served(..)) { "served" } else { "other" };
                        *answers.lock().unwrap().entry(kind).or_default() += 1;
                    }
                }
                Ok(gateway)
            })
        };
        let all: Vec<_> = dead.into_iter().enumerate().map(come_back).collect();
        all.into_iter().map(|b| b.join().unwrap_or_else(|_| not_run("a client panicked"))).collect()
    });
    let back = back.into_iter().collect::<Ran<Vec<Gateway>>>()?;
    back.iter().for_each(Gateway::counters);
    let answers = answers.lock().unwrap();
    case.say(&format!("reads: {answers:?}"));
    if answers.get("served").is_none_or(|n| *n < 50) {
        return not_run("fewer than 50 reads were served");
    }
    let starts = starts.lock().unwrap();
    let world = world.lock().unwrap();
    let mut broken = false;
    for (object, trace, came, born, limit) in &world.given {
        let (Some(ready), Some(purged)) = (starts.get(trace), world.purged.get(object)) else { continue };
        if born < purged && *came > ready + FEED_MS + GRACE_MS && *came < purged + GONE_MS {
            broken = true;
            case.say(&format!(
                "read {trace:016x} of {object:x} was sent {} ms after its gateway was ready, {} ms after the purge, age limit \
                 {limit:?}, and was answered from a copy older than the purge",
                came - ready,
                came - purged
            ));
        }
    }
    Ok(broken)
}
