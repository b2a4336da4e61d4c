//! What one core of the program carries: the real `kelpcart` process on loopback between the rig's stand-ins, at growing
//! rates and sizes, with the target's list and purges. Owns the process and the clients' pace. Must never take a figure
//! for the gateway's where the stand-ins were late themselves, nor leave anything running.

use crate::benchmarks::module::{SeriesHead, sample};
use crate::slopes::{Host, Sample, Series};
use kelpcart_rig::bulletin::Bulletin;
use kelpcart_rig::caches::{MOST_BODY, Place, Site, Times, unix_ms};
use kelpcart_rig::client::{self, Ask, Word};
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
const OTHER_ZONE_CACHES: usize = 1_063;
const PURGES_PER_S: u64 = 150;
/// Each has a bound on what it may have open.
const CONNECTIONS: u32 = 48;
const OBJECTS: u64 = 2_000;
const OBJECT_KB: u64 = 120;
const CLIENT_LIMIT_MS: u64 = 3_000;
/// Answers are still waited for so long after the last request.
const DRAIN_TIME: Duration = Duration::from_millis(500);
const RESPONSE_TIMES: Times =
    Times { hit: Duration::from_millis(2), fill: Duration::from_millis(2), origin: Duration::from_millis(5) };
/// A rate is carried where nearly all is served, nearly all of that by then.
const MIN_SERVED_RATIO: f64 = 0.99;
const MAX_P99_MS: f64 = 100.0;
/// The stand-ins are late themselves beyond this.
const MAX_GENERATOR_LATE_MS: f64 = 20.0;
const COMMAND: &str = "cargo build --release -p kelpcart-gateway && \
    cargo run --release -p kelpcart-scale -- measure --only data-path --json FILE";

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("there is no `kelpcart` beside this program: {0}")]
    BinaryNotFound(PathBuf),
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Gateway(#[from] fleet::Failed),
}

/// An object's size stands in its number.
fn object(kb: u64, n: u64) -> u64 {
    kb << 32 | n
}

fn len(object: u64) -> usize {
    ((object >> 32) as usize * 1_024).min(MOST_BODY)
}

/// The program beside this one, or one folder up, where tests run.
fn gateway_binary() -> Result<PathBuf, Error> {
    let own = std::env::current_exe()?;
    let beside = own.with_file_name("kelpcart");
    let above = own.parent().and_then(|p| p.parent()).map(|p| p.join("kelpcart"));
    let found = [Some(beside.clone()), above].into_iter().flatten().find(|p| p.is_file());
    found.ok_or(Error::BinaryNotFound(beside))
}

/// All that stands round one gateway; it ends with the value.
struct Testbed {
    gateway: Gateway,
    site: Arc<Site>,
    stop: Arc<AtomicBool>,
    folder: PathBuf,
    purger: Option<thread::JoinHandle<()>>,
}

impl Testbed {
    fn start(seed: u64) -> Result<Testbed, Error> {
        let program = gateway_binary()?;
        let site = Site::new(RESPONSE_TIMES, len);
        let kinds = (0..CACHES).map(|i| (format!("cache-{i}"), "box"));
        let kinds = kinds.chain([("parent".to_owned(), "parent"), ("origin".to_owned(), "origin")]);
        let places: Vec<Place> =
            kinds.map(|(name, kind)| site.place(&name, kind)).collect::<io::Result<_>>()?;
        let bulletin = Bulletin::start(1)?;
        let node = Node {
            name: "gateway",
            zone: "here",
            bulletin: bulletin.address,
            places: &places,
            memory_mb: 256,
            seed,
        };
        let mut config = fleet::config(&node);
        if let Some(list) =
            config.pointer_mut("/known/items/0/roster/endpoints").and_then(|l| l.as_array_mut())
        {
            // Listed, and of another zone: nothing is sent there.
            let of = places[0].address;
            let other = |i: usize| Place { name: format!("other-{i}"), kind: "box", address: of };
            list.extend((0..OTHER_ZONE_CACHES).map(|i| fleet::endpoint(&other(i), "elsewhere", "up")));
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
        Ok(Testbed { gateway, site, stop: ends, folder, purger: Some(purger) })
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.gateway.kill();
        self.site.end();
        self.stop.store(true, Ordering::Relaxed);
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
    duration: Duration,
    warm_up: Duration,
    seed: u64,
}

impl Load {
    fn due_at(&self, id: u32) -> Duration {
        Duration::from_secs_f64(f64::from(id) / self.per_s)
    }

    fn end_id(&self) -> u32 {
        ((self.warm_up + self.duration).as_secs_f64() * self.per_s) as u32
    }
}

#[derive(Default)]
struct Responses {
    /// From when it was due to its last byte, in ms.
    delays: Vec<f64>,
    refused: usize,
}

#[derive(Debug)]
struct LoadResult {
    served_per_s: f64,
    refused: usize,
    mb_per_s: f64,
    /// Of the gateway, us a second; and us a second in which it could have run and had no processor.
    cpu_us_per_s: f64,
    wait_us_per_s: f64,
    /// Of the stand-ins, cores.
    generator_cores: f64,
    generator_late_ms: f64,
    /// Open to caches, those that rest among them.
    hop_connections: f64,
    delays: Vec<f64>,
}

impl LoadResult {
    fn quantile(&self, part: f64) -> f64 {
        let last = self.delays.len().saturating_sub(1) as f64;
        self.delays.get((last * part).round() as usize).copied().unwrap_or(0.0)
    }

    fn print(&self, load: &Load) {
        eprintln!(
            "{} txns/s of {} KB offered: {:.0} served and {} refused, {:.1} MB/s, {:.2} cores and {:.2} waited for, p99 \
             {:.1} ms, {} connections to caches; the stand-ins {:.2} cores, late by {:.1} ms",
            load.per_s,
            load.kb,
            self.served_per_s,
            self.refused,
            self.mb_per_s,
            self.cpu_us_per_s / 1e6,
            self.wait_us_per_s / 1e6,
            self.quantile(0.99),
            self.hop_connections,
            self.generator_cores,
            self.generator_late_ms
        );
    }

    fn bottleneck(&self) -> &'static str {
        if self.cpu_us_per_s >= 9e5 {
            "the gateway's core"
        } else if self.cpu_us_per_s + self.wait_us_per_s >= 9e5 {
            "the gateway's core, shared with others on this machine"
        } else if self.generator_late_ms > MAX_GENERATOR_LATE_MS {
            "the stand-ins were late"
        } else {
            "neither the gateway's core nor the clients' pace"
        }
    }

    fn is_sustained(&self, load: &Load) -> bool {
        self.served_per_s >= load.per_s * MIN_SERVED_RATIO && self.quantile(0.99) <= MAX_P99_MS
    }
}

/// Seconds for which the threads of a process could have run and had no processor, by what the machine says.
fn run_queue_wait_s(id: u32) -> f64 {
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
    for id in (first..load.end_id()).step_by(CONNECTIONS as usize) {
        let due = load.due_at(id);
        thread::sleep(due.saturating_sub(began.elapsed()));
        if due >= load.warm_up {
            late = late.max(began.elapsed().saturating_sub(due));
        }
        let object = object(load.kb, rng.random_range(0..OBJECTS));
        let trace = rng.random();
        let (rule, body, need_kb) = ("media", &[][..], load.kb as f64);
        let ask = Ask { id, rule, trace, object, timeout_ms: CLIENT_LIMIT_MS, need_kb, body };
        stream.write_all(&client::request(&ask))?;
    }
    Ok(late)
}

fn receive(mut stream: TcpStream, began: Instant, load: Load) -> io::Result<Responses> {
    let (mut heard, mut held, mut used) = (Responses::default(), vec![0; 1 << 20], 0..0);
    let ends = load.warm_up + load.duration + DRAIN_TIME;
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
        while let Some((answer, n)) = client::answer(&held[used.clone()]).map_err(io::Error::other)? {
            used.start += n;
            let due = load.due_at(answer.id as u32);
            let whole = answer.word == Word::Served && answer.body.len() == len(object(load.kb, 0));
            if due < load.warm_up {
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

fn run_load(stand: &Testbed, load: Load) -> Result<LoadResult, Error> {
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
        threads.push((sends, thread::spawn(move || receive(into, began, load))));
    }
    thread::sleep(load.warm_up.saturating_sub(began.elapsed()));
    let (own, waited_before) = (std::process::id(), run_queue_wait_s(stand.gateway.id()));
    let (before, own_before, since) = (stand.gateway.used(), fleet::used(own), began.elapsed());
    thread::sleep((load.warm_up + load.duration).saturating_sub(began.elapsed()));
    let (after, own_after, took) =
        (stand.gateway.used(), fleet::used(own), (began.elapsed() - since).as_secs_f64());
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
    let served_per_s = delays.len() as f64 / load.duration.as_secs_f64();
    Ok(LoadResult {
        served_per_s,
        refused,
        mb_per_s: served_per_s * len(object(load.kb, 0)) as f64 / 1e6,
        cpu_us_per_s: (after.cpu_s - before.cpu_s) / took * 1e6,
        wait_us_per_s: (run_queue_wait_s(stand.gateway.id()) - waited_before) / took * 1e6,
        generator_cores: (own_after.cpu_s - own_before.cpu_s) / took,
        generator_late_ms: late.as_secs_f64() * 1e3,
        hop_connections,
        delays,
    })
}

fn head<'a>(id: &'a str, over: &'a str, unit: &'a str) -> SeriesHead<'a> {
    let (mechanism, host, timed) = ("gateway/src/dispatcher.rs", Host::Loopback, true);
    SeriesHead { id, over, unit, mechanism, command: COMMAND, host, timed }
}

fn fixed(more: &[(&str, f64)]) -> BTreeMap<String, f64> {
    let all = [
        ("caches", (CACHES + OTHER_ZONE_CACHES) as f64),
        ("zone_caches", CACHES as f64),
        ("purges_per_s", PURGES_PER_S as f64),
    ];
    all.iter().chain(more).map(|(name, n)| ((*name).to_owned(), *n)).collect()
}

fn delay(at: f64, c: &LoadResult) -> Sample {
    Sample { p50: Some(c.quantile(0.5)), p99: Some(c.quantile(0.99)), ..sample(at, &c.delays) }
}

/// Until all is warm, and what is measured.
fn durations(quick: bool) -> (Duration, Duration) {
    if quick {
        (Duration::from_millis(200), Duration::from_millis(200))
    } else {
        (Duration::from_millis(700), Duration::from_millis(2_000))
    }
}

/// Rates that were carried, and what of a higher one was served, which tells where one core ends.
fn rate_series(stand: &Testbed, (seed, quick): (u64, bool)) -> Result<Vec<Series>, Error> {
    let (warm, lasts) = durations(quick);
    let sizes = [
        300.0, 600.0, 1_200.0, 1_800.0, 2_400.0, 3_600.0, 4_800.0, 6_000.0, 7_200.0, 8_400.0, 9_600.0,
        12_000.0, 15_000.0, 18_000.0,
    ];
    let (mut all, mut past) = (Vec::new(), None);
    for per_s in sizes.into_iter().take(if quick { 2 } else { sizes.len() }) {
        let load = Load { per_s, kb: OBJECT_KB, duration: lasts, warm_up: warm, seed };
        let mut got = run_load(stand, load)?;
        got.print(&load);
        // Once more: others on the machine may have had its processors.
        if !got.is_sustained(&load) && !quick {
            got = run_load(stand, load)?;
            got.print(&load);
        }
        if !got.is_sustained(&load) {
            eprintln!("{per_s} txns/s are not carried: {}", got.bottleneck());
            past = Some((per_s, got));
            break;
        }
        all.push((per_s, got));
    }
    let one = |what: &str, unit: &str, of: &dyn Fn(f64, &LoadResult) -> Sample, whole: bool| {
        let id = format!("data-path.{what}.by-txns");
        let seen = all.iter().chain(past.iter().filter(|_| whole));
        let points = seen.map(|(at, got)| of(*at, got)).collect();
        head(&id, "txns_per_s", unit).series(fixed(&[("kb", OBJECT_KB as f64)]), points)
    };
    Ok(vec![
        one("processor", "us/s", &|at, c| sample(at, &[c.cpu_us_per_s]), false),
        one("delay", "ms", &delay, false),
        one("served", "txns/s", &|at, c| sample(at, &[c.served_per_s]), true),
        one("payload", "MB/s", &|at, c| sample(at, &[c.mb_per_s]), true),
        one("hop-connections", "count", &|at, c| sample(at, &[c.hop_connections]), true),
        one("waited", "us/s", &|at, c| sample(at, &[c.wait_us_per_s]), true),
        one("generator-late", "ms", &|at, c| sample(at, &[c.generator_late_ms]), true),
    ])
}

/// Processor time a txn by the object's size, at one rate.
fn size_series(stand: &Testbed, (seed, quick): (u64, bool)) -> Result<Series, Error> {
    let (per_s, all) = (1_000.0, [4, 16, 60, 120, 234]);
    let ((warm, lasts), mut points) = (durations(quick), Vec::new());
    for kb in all.into_iter().take(if quick { 1 } else { all.len() }) {
        let load = Load { per_s, kb, duration: lasts, warm_up: warm, seed };
        let got = run_load(stand, load)?;
        got.print(&load);
        points.push(sample(kb as f64, &[got.cpu_us_per_s / got.served_per_s]));
    }
    let fixed = fixed(&[("txns_per_s", per_s)]);
    Ok(head("data-path.processor-a-txn.by-kb", "kb", "us").series(fixed, points))
}

pub fn run(seed: u64, quick: bool) -> Result<Vec<Series>, Error> {
    let stand = Testbed::start(seed)?;
    // The rates end with one that is too much, and leave their marks.
    let mut all = vec![size_series(&stand, (seed, quick))?];
    all.extend(rate_series(&stand, (seed, quick))?);
    Ok(all)
}

/// Where the program is not there, nothing is measured, and that is said.
pub fn measure(seed: u64, quick: bool) -> Vec<Series> {
    run(seed, quick).unwrap_or_else(|why| {
        eprintln!("data path, not run: {why}");
        Vec::new()
    })
}
