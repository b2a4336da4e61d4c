//! Caches whose answers sometimes bring a second copy some milliseconds later, and half of which stand still now and then.
//! No client may get the answer of another.

use crate::client::{Answer, Request, ask, brief};
use crate::common::{Bulletin, Case, Config, Listed, Ran, not_run, sleep_ms, unix_ms};
use crate::member::{Member, Reply, ok};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CACHES: usize = 8;
/// Caches that stand still: half of them, for 75 to 280 ms every few seconds.
const PAUSED: usize = CACHES / 2;
const PAUSE_MS: std::ops::Range<u64> = 75..280;
const PAUSE_EVERY_MS: u64 = 2_500;
/// One answer in so many brings a second copy, so many milliseconds later.
const SECOND_EVERY: u64 = 5;
const SECOND_AFTER_MS: std::ops::Range<u64> = 3..10;
const CLIENTS: u64 = 24;
const SECONDS: u64 = 95;

const CLASSES: &str = r#"
{"Name":"media","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":500000,"AimStretch":1.6,"DeadlineUs":6000000},
{"Name":"rates","Repeat":"pure","DedupScope":"all","MemorySpanUs":0,"SloUs":400000,"AimStretch":2.0,"DeadlineUs":2500000},
{"Name":"book","Repeat":"side_effect","DedupScope":"all","MemorySpanUs":0,"SloUs":800000,"DeadlineUs":3000000}"#;

/// SplitMix64.
fn mix(n: u64) -> u64 {
    let n = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ n >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ n >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ n >> 31
}

fn within(range: &std::ops::Range<u64>, random: u64) -> u64 {
    range.start + random % (range.end - range.start)
}

fn body(object: u64) -> Vec<u8> {
    let mut bytes = vec![object as u8; 2_000 + (object % 7) as usize * 1_000];
    bytes[..8].copy_from_slice(&object.to_be_bytes());
    bytes
}

/// A cache as a process of its own. Tells its address on standard output and runs until it is killed.
pub fn cache(seed: u64, second_copies: bool) -> Ran<()> {
    let count = AtomicU64::new(0);
    let member = Member::start(move |hop| {
        let random = mix(seed << 32 | count.fetch_add(1, Ordering::Relaxed));
        sleep_ms(5 + random % 15);
        let answer = ok(body(hop.object), unix_ms(), "hit").bytes();
        if second_copies && (random >> 8) % SECOND_EVERY == 0 {
            let later = within(&SECOND_AFTER_MS, random >> 16);
            return Reply::Pieces(vec![(0, answer.clone()), (later, answer)], false);
        }
        Reply::Raw(answer)
    })?;
    println!("{}", member.address);
    loop {
        thread::park();
    }
}

struct Cache(Child);

impl Cache {
    fn signal(&self, name: &str) {
        _ = Command::new("kill").args(["-s", name, &self.0.id().to_string()]).status();
    }
}

impl Drop for Cache {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

pub fn run(case: &Case) -> Ran<bool> {
    let (mut caches, mut list) = (Vec::new(), Vec::new());
    for i in 0..CACHES {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["cache", &i.to_string(), if case.trouble { "second-copies" } else { "plain" }]);
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        caches.push(Cache(child));
        list.push(Listed {
            name: format!("box-{i}"),
            address: line.trim().parse()?,
            zone: "branch",
            kind: "box",
            group: 0,
        });
    }
    let store = Member::start(|hop| ok(body(hop.object), unix_ms(), "hit"))?;
    list.push(Listed { name: "mid".into(), address: store.address, zone: "hub", kind: "parent", group: 0 });
    list.push(Listed { name: "store".into(), address: store.address, zone: "hub", kind: "origin", group: 0 });
    let bulletin = Bulletin::start()?;
    let config = Config {
        name: "g1",
        bulletin: bulletin.address,
        listed: &list,
        zones: &["hub", "branch"],
        locality: 1,
        classes: CLASSES,
        write: "false,false,true",
        bypass: false,
        gateways: 1,
    };
    let gateway = case.gateway("g1", &config.json(), &[])?;
    let (start, ended) = (case.ms(), Arc::new(AtomicBool::new(false)));
    let tally: Arc<Mutex<BTreeMap<&'static str, u32>>> = Arc::default();
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (case, address, ended) = (case.clone(), gateway.address, Arc::clone(&ended));
        let (tally, foreign) = (Arc::clone(&tally), Arc::clone(&foreign));
        clients.push(thread::spawn(move || {
            let mut n = 0;
            while !ended.load(Ordering::Relaxed) {
                n += 1;
                let (req, object) = (client << 32 | n, mix(client << 32 | n));
                let (class, timeout_ms) = [("media", 6_000), ("rates", 2_500)][n as usize % 2];
                let request =
                    Request { class, req, object, group: 1, need_kb: 100, timeout_ms, key: None, body: b"" };
                let answer = ask(address, &request);
                let kind = match &answer {
                    Answer::Served(bytes, false) if *bytes == body(object) => "right",
                    Answer::Served(bytes, _) => {
                        let got = bytes.first_chunk().map_or(0, |b| u64::from_be_bytes(*b));
                        let text = format!(
                            "client: {class} {req:016x} asked for {object:016x} and was served {} bytes of {got:016x}",
                            bytes.len()
                        );
                        case.note(&text);
                        foreign.lock().unwrap().push(text);
                        "foreign"
                    }
                    Answer::Refused => "refused",
                    other => {
                        case.note(&format!("client: {class} {req:016x}: {}", brief(other)));
                        "other"
                    }
                };
                *tally.lock().unwrap().entry(kind).or_default() += 1;
                sleep_ms(20 + mix(object) % 80);
            }
        }));
    }
    // To see the second copies alone.
    let pausing = case.trouble && std::env::var("PAUSES").map_or(true, |p| p != "0");
    let mut pauses = 0;
    let mut next: Vec<u64> = (0..PAUSED as u64).map(|i| 1_000 + i * PAUSE_EVERY_MS / PAUSED as u64).collect();
    while case.ms() - start < SECONDS * 1_000 {
        let at = case.ms() - start;
        for i in 0..PAUSED {
            if pausing && at >= next[i] {
                pauses += 1;
                next[i] = at + PAUSE_EVERY_MS + mix(pauses) % 500;
                let ms = within(&PAUSE_MS, mix(pauses + 1_000));
                case.note(&format!("box-{i} stands still for {ms} ms"));
                caches[i].signal("STOP");
                sleep_ms(ms);
                caches[i].signal("CONT");
            }
        }
        sleep_ms(2);
    }
    ended.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| _ = c.join());
    gateway.counters();
    case.say(&format!("{pauses} pauses; answers: {:?}", tally.lock().unwrap()));
    if tally.lock().unwrap().get("right").is_none_or(|n| *n < 1_000) {
        return not_run("fewer than 1,000 reads were served");
    }
    let foreign = foreign.lock().unwrap();
    foreign.iter().for_each(|text| case.say(text));
    Ok(!foreign.is_empty())
}
