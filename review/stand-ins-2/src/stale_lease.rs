//! Four gateways share a budget of connections to each cache. One of them uses most of it and is cut from the others. Both
//! sides together must stay within the budget.

use crate::client::{Answer, Request, ask};
use crate::common::{Bulletin, Case, Config, Gateway, Listed, Ran, free_udp, not_run, sleep_ms, unix_ms};
use crate::member::{Member, ok};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const GATEWAYS: usize = 4;
/// Connections to one cache, of all gateways together.
const BUDGET: u64 = 12;
const CUT_AT_MS: u64 = 8_000;
/// As long as a zone is partitioned on `split+mass`.
const CUT_FOR_MS: u64 = 6_000;
const END_MS: u64 = 18_000;
/// A read at a cache.
const READ_MS: u64 = 120;
/// `lease_ms`: a holder keeps nothing for longer.
const LEASE_MS: u64 = 1_500;

const CLASSES: &str = r#"
{"Name":"media","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":500000,"AimStretch":1.6,"DeadlineUs":6000000},
{"Name":"rates","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":400000,"AimStretch":2.0,"DeadlineUs":2500000},
{"Name":"book","Repeat":"side_effect","DedupScope":"all","MemorySpanUs":0,"SloUs":800000,"DeadlineUs":3000000}"#;

/// The network between the gateways: each is reached at an address of this switch.
struct Switch {
    sockets: Vec<UdpSocket>,
    listen: Vec<SocketAddr>,
    /// The first gateway is cut from the others.
    cut: AtomicBool,
}

impl Switch {
    fn start(listen: &[SocketAddr]) -> Ran<(Arc<Switch>, Vec<SocketAddr>)> {
        let sockets: Vec<UdpSocket> =
            listen.iter().map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let addresses = sockets.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let switch = Arc::new(Switch { sockets, listen: listen.to_vec(), cut: AtomicBool::new(false) });
        for to in 0..listen.len() {
            let switch = Arc::clone(&switch);
            thread::spawn(move || {
                let mut bytes = [0; 64 * 1024];
                while let Ok((n, source)) = switch.sockets[to].recv_from(&mut bytes) {
                    let Some(from) = switch.listen.iter().position(|l| *l == source) else {
                        continue;
                    };
                    if !(switch.cut.load(Ordering::Relaxed) && (from == 0) != (to == 0)) {
                        _ = switch.sockets[from].send_to(&bytes[..n], switch.listen[to]);
                    }
                }
            });
        }
        Ok((switch, addresses))
    }
}

pub fn run(case: &Case) -> Ran<bool> {
    let caches: Vec<Member> = (0..2)
        .map(|_| {
            Member::start(|hop| {
                sleep_ms(READ_MS);
                ok(hop.object.to_be_bytes().to_vec(), unix_ms(), "hit")
            })
        })
        .collect::<Ran<_>>()?;
    let store = Member::start(|hop| ok(hop.object.to_be_bytes().to_vec(), unix_ms(), "hit"))?;
    let mut list: Vec<Listed> = Vec::new();
    for (i, cache) in caches.iter().enumerate() {
        list.push(Listed {
            name: format!("box-{i}"),
            address: cache.address,
            zone: "branch",
            kind: "box",
            group: 0,
        });
    }
    list.push(Listed { name: "mid".into(), address: store.address, zone: "hub", kind: "parent", group: 0 });
    list.push(Listed { name: "store".into(), address: store.address, zone: "hub", kind: "origin", group: 0 });
    let bulletin = Bulletin::start()?;
    let listen: Vec<SocketAddr> = (0..GATEWAYS).map(|_| free_udp()).collect::<Ran<_>>()?;
    let (switch, addresses) = Switch::start(&listen)?;
    let seeds: Vec<String> = addresses.iter().take(3).map(|a| format!("\"{a}\"")).collect();
    let mut gateways: Vec<Gateway> = Vec::new();
    for i in 0..GATEWAYS {
        let name = format!("g{}", i + 1);
        let config = Config {
            name: &name,
            bulletin: bulletin.address,
            listed: &list,
            zones: &["hub", "branch"],
            locality: 1,
            classes: CLASSES,
            write: "false,false,true",
            bypass: false,
            gateways: GATEWAYS,
        };
        let fleet = format!(
            r#"{{"fleet":"branch","gateway":"{name}","listen":"{}","advertise":"{}","seeds":[{}],"keys":[{{"id":1,"secret":"{}"}}],"members":{{"expected":{GATEWAYS}}},"budgets":{{"connections":{BUDGET}}}}}"#,
            listen[i],
            addresses[i],
            seeds.join(","),
            "5a".repeat(32)
        );
        let fleet = case.write(&format!("{name}.fleet.json"), &fleet)?;
        gateways.push(case.gateway(&name, &config.json(), &[("KELPCART_FLEET", &fleet)])?);
    }
    sleep_ms(3_000);
    let (start, ended) = (case.ms(), Arc::new(AtomicBool::new(false)));
    let served: Arc<Vec<AtomicU32>> = Arc::new((0..GATEWAYS).map(|_| AtomicU32::new(0)).collect());
    // At first the clients are at the first gateway; after a while as many more at the others.
    let mut clients = Vec::new();
    for (gateway, count, from) in
        [(0, 24, 0), (1, 8, CUT_AT_MS + 500), (2, 8, CUT_AT_MS + 500), (3, 8, CUT_AT_MS + 500)]
    {
        for client in 0..count {
            let (case, address) = (case.clone(), gateways[gateway].address);
            let (ended, served) = (Arc::clone(&ended), Arc::clone(&served));
            clients.push(thread::spawn(move || {
                while case.ms() - start < from {
                    sleep_ms(10);
                }
                let mut n = 0;
                while !ended.load(Ordering::Relaxed) {
                    n += 1;
                    let req = ((gateway as u64) << 40) + (client << 24) + n;
                    let request = Request {
                        class: "media",
                        req,
                        object: req.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                        group: 1,
                        need_kb: 500,
                        timeout_ms: 6_000,
                        key: None,
                        body: b"",
                    };
                    match ask(address, &request) {
                        Answer::Served(..) => _ = served[gateway].fetch_add(1, Ordering::Relaxed),
                        // As the gateway may ask of clients: come back later.
                        _ => sleep_ms(100),
                    }
                }
            }));
        }
    }
    // Samples of the open connections at each cache.
    let samples: Arc<Mutex<Vec<(u64, Vec<u64>)>>> = Arc::default();
    while case.ms() - start < END_MS {
        let at = case.ms() - start;
        let cut = case.trouble && (CUT_AT_MS..CUT_AT_MS + CUT_FOR_MS).contains(&at);
        if switch.cut.swap(cut, Ordering::Relaxed) != cut {
            case.note(if cut { "g1 is cut from the others" } else { "the cut ends" });
        }
        let open: Vec<u64> = caches.iter().map(Member::open_connections).collect();
        let mut samples = samples.lock().unwrap();
        if samples.len() % 10 == 0 {
            let served: Vec<u32> = served.iter().map(|s| s.load(Ordering::Relaxed)).collect();
            case.note(&format!("open connections at the caches {open:?}, served by g1 to g4 {served:?}"));
        }
        samples.push((at, open));
        drop(samples);
        thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| _ = c.join());
    gateways.iter().for_each(Gateway::counters);
    let served: Vec<u32> = served.iter().map(|s| s.load(Ordering::Relaxed)).collect();
    case.say(&format!("served by g1 to g4: {served:?}"));
    if served.iter().any(|s| *s < 20) {
        return not_run("a gateway served fewer than 20 reads");
    }
    let mut broken = false;
    for cache in 0..caches.len() {
        // The longest time without a sample within the budget.
        let (mut since, mut longest, mut most) = (None, (0, 0), 0);
        for (at, open) in samples.lock().unwrap().iter() {
            most = most.max(open[cache]);
            if open[cache] <= BUDGET {
                since = None;
                continue;
            }
            let began = *since.get_or_insert(*at);
            if at - began > longest.0 {
                longest = (at - began, began);
            }
        }
        case.say(&format!(
            "box-{cache}: {most} connections at most, {} ms over the budget from {} ms on",
            longest.0, longest.1
        ));
        broken |= longest.0 > LEASE_MS;
    }
    Ok(broken)
}
