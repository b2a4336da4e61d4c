//! What one core of the program carries: the real `kelpcart` process on loopback between the rig's stand-ins, at growing
//! rates and sizes, with the target's list and purges. Owns the process and the clients' pace. Must never take a figure
//! for the gateway's where the stand-ins were late themselves, nor leave anything running.

use crate::ladders::module::{Head, point};
use crate::slopes::{Host, Ladder, Point};
use kelpcart_rig::caches::{CacheEndpoint, Latencies, MAX_BODY_BYTES, Site, unix_ms};
use kelpcart_rig::client::{self, Request, Status};
use kelpcart_rig::discovery::DiscoveryServer;
use kelpcart_rig::fleet::{self, Gateway, Node};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CACHES: usize = 37;
const ELSEWHERE: usize = 1_063;
const PURGES_PER_S: u64 = 150;
/// Each has a bound on what it may have open.
const CONNECTIONS: u32 = 48;
const OBJECTS: u64 = 2_000;
const KB: u64 = 120;
const CLIENT_LIMIT_MS: u64 = 3_000;
/// Answers are still waited for so long after the last request.
const LAST: Duration = Duration::from_millis(500);
const TIMES: Latencies = Latencies {
    hit: Duration::from_millis(2),
    fill: Duration::from_millis(2),
    origin: Duration::from_millis(5),
};
/// A rate is carried where nearly all is served, nearly all of that by then.
const SERVED: f64 = 0.99;
const IN_TIME_MS: f64 = 100.0;
/// The stand-ins are late themselves beyond this.
const GENERATOR_LATE_MS: f64 = 20.0;
const COMMAND: &str = "cargo build --release -p kelpcart-gateway && \
    cargo run --release -p kelpcart-scale -- measure --only data-path --json FILE";

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("there is no `kelpcart` beside this program: {0}")]
    NoProgram(PathBuf),
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Gateway(#[from] fleet::StartError),
}

/// An object's size stands in its number.
fn object(kb: u64, n: u64) -> u64 {
    kb << 32 | n
}

fn len(object: u64) -> usize {
    ((object >> 32) as usize * 1_024).min(MAX_BODY_BYTES)
}

/// The program beside this one, or one folder up, where tests run.
fn program() -> Result<PathBuf, Failed> {
    let own = std::env::current_exe()?;
    let beside = own.with_file_name("kelpcart");
    let above = own.parent().and_then(|p| p.parent()).map(|p| p.join("kelpcart"));
    let found = [Some(beside.clone()), above].into_iter().flatten().find(|p| p.is_file());
    found.ok_or(Failed::NoProgram(beside))
}

/// All that stands round one gateway; it ends with the value.
struct Stand {
    gateway: Gateway,
    site: Arc<Site>,
    ends: Arc<AtomicBool>,
    folder: PathBuf,
    purger: Option<thread::JoinHandle<()>>,
}

impl Stand {
    fn start(seed: u64) -> Result<Stand, Failed> {
        let program = program()?;
        let site = Site::new(TIMES, len);
        let kinds = (0..CACHES).map(|i| (format!("cache-{i}"), "box"));
        let kinds = kinds.chain([("parent".to_owned(), "parent"), ("origin".to_owned(), "origin")]);
        let endpoints: Vec<CacheEndpoint> =
            kinds.map(|(name, kind)| site.start_member(&name, kind)).collect::<io::Result<_>>()?;
        let bulletin = DiscoveryServer::start(1)?;
        let node = Node {
            name: "gateway",
            zone: "here",
            discovery: bulletin.address,
            endpoints: &endpoints,
            memory_mb: 256,
            seed,
        };
        let mut config = fleet::config(&node);
        if let Some(list) =
            config.pointer_mut("/known/items/0/roster/endpoints").and_then(|l| l.as_array_mut())
        {
            // Listed, and of another zone: nothing is sent there.
            let of = endpoints[0].address;
            let other = |i: usize| CacheEndpoint { name: format!("other-{i}"), kind: "box", address: of };
            list.extend((0..ELSEWHERE).map(|i| fleet::endpoint(&other(i), "elsewhere", "up")));
        }
        config["limits"]["sockets"] = json!(1_024);
        let folder = std::env::temp_dir().join(format!("kelpcart-scale-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let gateway = Gateway::start(&program, &folder, &config, None)?;
        let ends = Arc::<AtomicBool>::default();
        let stops = Arc::clone(&ends);
        let purger = thread::spawn(move || {
            let mut n = 0;
            while !stops.load(Ordering::Relaxed) {
                // Objects that nobody asks for: what is measured is what a purge costs, not what its fills do.
                bulletin.purge(object(1, OBJECTS + n), unix_ms());
                n += 1;
                thread::sleep(Duration::from_secs(1) / PURGES_PER_S as u32);
            }
        });
        Ok(Stand { gateway, site, ends, folder, purger: Some(purger) })
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        self.gateway.kill();
        self.site.stop();
        self.ends.store(true, Ordering::Relaxed);
        // Neither is of use to anyone once the run is over.
        _ = self.purger.take().map(thread::JoinHandle::join);
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One rate at one size for a time.
#[derive(Clone, Copy)]
struct Load {
    per_s: f64,
    kb: u64,
    lasts: Duration,
    warm: Duration,
    seed: u64,
}

impl Load {
    fn due(&self, id: u32) -> Duration {
        Duration::from_secs_f64(f64::from(id) / self.per_s)
    }

    fn last(&self) -> u32 {
        ((self.warm + self.lasts).as_secs_f64() * self.per_s) as u32
    }
}

#[derive(Default)]
struct Heard {
    /// From when it was due to its last byte, in ms.
    delays: Vec<f64>,
    refused: usize,
}

#[derive(Debug)]
struct Carried {
    served_per_s: f64,
    refused: usize,
    mb_per_s: f64,
    /// Of the gateway, us a second; and us a second in which it could have run and had no processor.
    processor: f64,
    waited: f64,
    /// Of the stand-ins, cores.
    generator: f64,
    generator_late_ms: f64,
    /// Open to caches, those that rest among them.
    hop_connections: f64,
    delays: Vec<f64>,
}

impl Carried {
    fn quantile(&self, part: f64) -> f64 {
        let last = self.delays.len().saturating_sub(1) as f64;
        self.delays.get((last * part).round() as usize).copied().unwrap_or(0.0)
    }

    fn tell(&self, load: &Load) {
        eprintln!(
            "{} txns/s of {} KB offered: {:.0} served and {} refused, {:.1} MB/s, {:.2} cores and {:.2} waited for, p99 \
             {:.1} ms, {} connections to caches; the stand-ins {:.2} cores, late by {:.1} ms",
            load.per_s,
            load.kb,
            self.served_per_s,
            self.refused,
            self.mb_per_s,
            self.processor / 1e6,
            self.waited / 1e6,
            self.quantile(0.99),
            self.hop_connections,
            self.generator,
            self.generator_late_ms
        );
    }

    fn limit(&self) -> &'static str {
        if self.processor >= 9e5 {
            "the gateway's core"
        } else if self.processor + self.waited >= 9e5 {
            "the gateway's core, shared with others on this machine"
        } else if self.generator_late_ms > GENERATOR_LATE_MS {
            "the stand-ins were late"
        } else {
            "neither the gateway's core nor the clients' pace"
        }
    }

    fn is_carried(&self, load: &Load) -> bool {
        self.served_per_s >= load.per_s * SERVED && self.quantile(0.99) <= IN_TIME_MS
    }
}

/// Seconds for which the threads of a process could have run and had no processor, by what the machine says.
fn waited(id: u32) -> f64 {
    let of = |path: PathBuf| {
        let text = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        text.split_whitespace().nth(1).and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0)
    };
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    tasks.map(|task| of(task.path())).sum::<f64>() / 1e9
}

/// Sends each request, counted from 1, when it is due, whatever has become of the others; gives the longest lateness.
fn send(mut stream: TcpStream, began: Instant, load: Load, first: u32) -> io::Result<Duration> {
    let mut rng = Pcg64Mcg::seed_from_u64(load.seed ^ u64::from(first) << 32);
    let mut late = Duration::ZERO;
    for id in (first..load.last()).step_by(CONNECTIONS as usize) {
        let due = load.due(id);
        thread::sleep(due.saturating_sub(began.elapsed()));
        if due >= load.warm {
            late = late.max(began.elapsed().saturating_sub(due));
        }
        let object = object(load.kb, rng.random_range(0..OBJECTS));
        let trace = rng.random();
        let (rule, body, need_kb) = ("media", &[][..], load.kb as f64);
        let ask = Request { id, rule, trace, object, timeout_ms: CLIENT_LIMIT_MS, need_kb, body };
        stream.write_all(&client::encode_request(&ask))?;
    }
    Ok(late)
}

fn hear(mut stream: TcpStream, began: Instant, load: Load) -> io::Result<Heard> {
    let (mut heard, mut held, mut used) = (Heard::default(), vec![0; 1 << 20], 0..0);
    let ends = load.warm + load.lasts + LAST;
    while let Some(left) = ends.checked_sub(began.elapsed()).filter(|left| !left.is_zero()) {
        stream.set_read_timeout(Some(left))?;
        if used.end == held.len() {
            held.copy_within(used.clone(), 0);
            used = 0..used.len();
        }
        let n = match stream.read(&mut held[used.end..]) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => break,
            Err(e) => return Err(e),
        };
        used.end += n;
        while let Some((answer, n)) =
            client::decode_response(&held[used.clone()]).map_err(io::Error::other)?
        {
            used.start += n;
            let due = load.due(answer.id as u32);
            let whole = answer.status == Status::Served && answer.body.len() == len(object(load.kb, 0));
            if due < load.warm {
                continue;
            } else if whole {
                heard.delays.push(began.elapsed().saturating_sub(due).as_secs_f64() * 1e3);
            } else {
                heard.refused += 1;
            }
        }
    }
    Ok(heard)
}

fn play(stand: &Stand, load: Load) -> Result<Carried, Failed> {
    let address: SocketAddr = stand.gateway.address;
    let streams: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| {
            let stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            Ok(stream)
        })
        .collect::<io::Result<_>>()?;
    let began = Instant::now();
    let mut threads = Vec::new();
    for (stream, first) in streams.iter().zip(1..) {
        let (out, into) = (stream.try_clone()?, stream.try_clone()?);
        let sends = thread::spawn(move || send(out, began, load, first));
        threads.push((sends, thread::spawn(move || hear(into, began, load))));
    }
    thread::sleep(load.warm.saturating_sub(began.elapsed()));
    let (own, waited_before) = (std::process::id(), waited(stand.gateway.id()));
    let (before, own_before, since) =
        (stand.gateway.resource_usage(), fleet::resource_usage(own), began.elapsed());
    thread::sleep((load.warm + load.lasts).saturating_sub(began.elapsed()));
    let (after, own_after, took) =
        (stand.gateway.resource_usage(), fleet::resource_usage(own), (began.elapsed() - since).as_secs_f64());
    let (mut late, mut delays, mut refused) = (Duration::ZERO, Vec::new(), 0);
    for (sends, hears) in threads {
        let gone = |_| io::Error::other("a thread of the clients has ended");
        let heard = hears.join().map_err(gone)??;
        refused += heard.refused;
        delays.extend(heard.delays);
        late = late.max(sends.join().map_err(gone)??);
    }
    streams.iter().for_each(|s| _ = s.shutdown(Shutdown::Both));
    delays.sort_by(f64::total_cmp);
    let counters = fleet::counters(&stand.gateway.counters());
    let hop_connections = counters.get("hops").copied().unwrap_or(0.0);
    let served_per_s = delays.len() as f64 / load.lasts.as_secs_f64();
    Ok(Carried {
        served_per_s,
        refused,
        mb_per_s: served_per_s * len(object(load.kb, 0)) as f64 / 1e6,
        processor: (after.cpu_s - before.cpu_s) / took * 1e6,
        waited: (waited(stand.gateway.id()) - waited_before) / took * 1e6,
        generator: (own_after.cpu_s - own_before.cpu_s) / took,
        generator_late_ms: late.as_secs_f64() * 1e3,
        hop_connections,
        delays,
    })
}

fn head<'a>(id: &'a str, over: &'a str, unit: &'a str) -> Head<'a> {
    let (mechanism, host, timed) = ("gateway/src/dispatcher.rs", Host::Loopback, true);
    Head { id, over, unit, mechanism, command: COMMAND, host, timed }
}

fn fixed(more: &[(&str, f64)]) -> BTreeMap<String, f64> {
    let all = [
        ("caches", (CACHES + ELSEWHERE) as f64),
        ("zone_caches", CACHES as f64),
        ("purges_per_s", PURGES_PER_S as f64),
    ];
    all.iter().chain(more).map(|(name, n)| ((*name).to_owned(), *n)).collect()
}

fn delay(at: f64, c: &Carried) -> Point {
    Point { p50: Some(c.quantile(0.5)), p99: Some(c.quantile(0.99)), ..point(at, &c.delays) }
}

/// Until all is warm, and what is measured.
fn times(quick: bool) -> (Duration, Duration) {
    if quick {
        (Duration::from_millis(200), Duration::from_millis(200))
    } else {
        (Duration::from_millis(700), Duration::from_millis(2_000))
    }
}

/// Rates that were carried, and what of a higher one was served, which tells where one core ends.
fn rates(stand: &Stand, (seed, quick): (u64, bool)) -> Result<Vec<Ladder>, Failed> {
    let (warm, lasts) = times(quick);
    let sizes = [
        300.0, 600.0, 1_200.0, 1_800.0, 2_400.0, 3_600.0, 4_800.0, 6_000.0, 7_200.0, 8_400.0, 9_600.0,
        12_000.0, 15_000.0, 18_000.0,
    ];
    let (mut all, mut past) = (Vec::new(), None);
    for per_s in sizes.into_iter().take(if quick { 2 } else { sizes.len() }) {
        let load = Load { per_s, kb: KB, lasts, warm, seed };
        let mut got = play(stand, load)?;
        got.tell(&load);
        // Once more: others on the machine may have had its processors.
        if !got.is_carried(&load) && !quick {
            got = play(stand, load)?;
            got.tell(&load);
        }
        if !got.is_carried(&load) {
            eprintln!("{per_s} txns/s are not carried: {}", got.limit());
            past = Some((per_s, got));
            break;
        }
        all.push((per_s, got));
    }
    let one = |what: &str, unit: &str, of: &dyn Fn(f64, &Carried) -> Point, whole: bool| {
        let id = format!("data-path.{what}.by-txns");
        let seen = all.iter().chain(past.iter().filter(|_| whole));
        let points = seen.map(|(at, got)| of(*at, got)).collect();
        head(&id, "txns_per_s", unit).with(fixed(&[("kb", KB as f64)]), points)
    };
    Ok(vec![
        one("processor", "us/s", &|at, c| point(at, &[c.processor]), false),
        one("delay", "ms", &delay, false),
        one("served", "txns/s", &|at, c| point(at, &[c.served_per_s]), true),
        one("payload", "MB/s", &|at, c| point(at, &[c.mb_per_s]), true),
        one("hop-connections", "count", &|at, c| point(at, &[c.hop_connections]), true),
        one("waited", "us/s", &|at, c| point(at, &[c.waited]), true),
        one("generator-late", "ms", &|at, c| point(at, &[c.generator_late_ms]), true),
    ])
}

/// Processor time a txn by the object's size, at one rate.
fn sizes(stand: &Stand, (seed, quick): (u64, bool)) -> Result<Ladder, Failed> {
    let (per_s, all) = (1_000.0, [4, 16, 60, 120, 234]);
    let ((warm, lasts), mut points) = (times(quick), Vec::new());
    for kb in all.into_iter().take(if quick { 1 } else { all.len() }) {
        let load = Load { per_s, kb, lasts, warm, seed };
        let got = play(stand, load)?;
        got.tell(&load);
        points.push(point(kb as f64, &[got.processor / got.served_per_s]));
    }
    let fixed = fixed(&[("txns_per_s", per_s)]);
    Ok(head("data-path.processor-a-txn.by-kb", "kb", "us").with(fixed, points))
}

pub fn run(seed: u64, quick: bool) -> Result<Vec<Ladder>, Failed> {
    let stand = Stand::start(seed)?;
    // The rates end with one that is too much, and leave their marks.
    let mut all = vec![sizes(&stand, (seed, quick))?];
    all.extend(rates(&stand, (seed, quick))?);
    Ok(all)
}

/// Where the program is not there, nothing is measured, and that is said.
pub fn measure(seed: u64, quick: bool) -> Vec<Ladder> {
    run(seed, quick).unwrap_or_else(|why| {
        eprintln!("data path, not run: {why}");
        Vec::new()
    })
}
