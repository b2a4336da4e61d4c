//! Throughput of one core: runs the real `kelpcart` process on loopback between the rig's mock clients and caches at growing
//! rates and object sizes, with a cache list and purge rate as at the target.
//!
//! Invariants: a limit of the load generator is never attributed to the gateway; no process outlives the benchmark.

use crate::benchmarks::module::{SeriesHead, sample};
use crate::slopes::{Host, Sample, Series};
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
const OTHER_ZONE_CACHES: usize = 1_063;
const PURGES_PER_S: u64 = 150;
/// Client connections; the txns in flight on each are limited.
const CONNECTIONS: u32 = 48;
const OBJECTS: u64 = 2_000;
const OBJECT_KB: u64 = 120;
const CLIENT_LIMIT_MS: u64 = 3_000;
/// Time for which responses are awaited after the last request.
const DRAIN_TIME: Duration = Duration::from_millis(500);
const RESPONSE_TIMES: Latencies = Latencies {
    hit: Duration::from_millis(2),
    fill: Duration::from_millis(2),
    origin: Duration::from_millis(5),
};
/// A rate is sustained if at least this ratio of txns is served.
const MIN_SERVED_RATIO: f64 = 0.99;
/// A rate is sustained if the 99th percentile of the delay does not exceed this.
const MAX_P99_MS: f64 = 100.0;
/// Lateness above which the load generator itself counts as the bottleneck.
const MAX_GENERATOR_LATE_MS: f64 = 20.0;
const COMMAND: &str = "cargo build --release -p kelpcart-gateway && \
    cargo run --release -p kelpcart-scale -- measure --only data-path --json FILE";

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("no `kelpcart` binary next to this program: {0}")]
    BinaryNotFound(PathBuf),
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Gateway(#[from] fleet::StartError),
}

/// Returns an object id that encodes the object's size.
fn object(kb: u64, n: u64) -> u64 {
    kb << 32 | n
}

fn len(object: u64) -> usize {
    ((object >> 32) as usize * 1_024).min(MAX_BODY_BYTES)
}

/// Finds the `kelpcart` binary next to this one, or one directory up when run from a test.
fn gateway_binary() -> Result<PathBuf, Error> {
    let own = std::env::current_exe()?;
    let beside = own.with_file_name("kelpcart");
    let above = own.parent().and_then(|p| p.parent()).map(|p| p.join("kelpcart"));
    let found = [Some(beside.clone()), above].into_iter().flatten().find(|p| p.is_file());
    found.ok_or(Error::BinaryNotFound(beside))
}

/// A gateway process with its mock environment. Everything is stopped on drop.
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
        let places: Vec<CacheEndpoint> =
            kinds.map(|(name, kind)| site.start_member(&name, kind)).collect::<io::Result<_>>()?;
        let bulletin = DiscoveryServer::start(1)?;
        let node = Node {
            name: "gateway",
            zone: "here",
            discovery: bulletin.address,
            endpoints: &places,
            memory_mb: 256,
            seed,
        };
        let mut config = fleet::config(&node);
        if let Some(list) =
            config.pointer_mut("/known/items/0/roster/endpoints").and_then(|l| l.as_array_mut())
        {
            // Caches of another zone are listed only; no txns are sent to them.
            let of = places[0].address;
            let other = |i: usize| CacheEndpoint { name: format!("other-{i}"), kind: "box", address: of };
            list.extend((0..OTHER_ZONE_CACHES).map(|i| fleet::endpoint(&other(i), "elsewhere", "up")));
        }
        config["limits"]["sockets"] = json!(1_024);
        let folder = std::env::temp_dir().join(format!("kelpcart-scale-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let gateway = Gateway::start(&program, &folder, &config, None)?;
        let stop = Arc::<AtomicBool>::default();
        let purger_stop = Arc::clone(&stop);
        let purger = thread::spawn(move || {
            let mut n = 0;
            while !purger_stop.load(Ordering::Relaxed) {
                // Purges objects that are never requested, so that the cost of purges is measured without that of refills.
                bulletin.purge(object(1, OBJECTS + n), unix_ms());
                n += 1;
                thread::sleep(Duration::from_secs(1) / PURGES_PER_S as u32);
            }
        });
        Ok(Testbed { gateway, site, stop, folder, purger: Some(purger) })
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.gateway.kill();
        self.site.stop();
        self.stop.store(true, Ordering::Relaxed);
        // Errors are ignored: the results of both are no longer needed.
        _ = self.purger.take().map(thread::JoinHandle::join);
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Load at one rate and object size.
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
    /// Latencies from the scheduled start of a request to the last byte of its response, in ms.
    delays: Vec<f64>,
    refused: usize,
}

#[derive(Debug)]
struct LoadResult {
    served_per_s: f64,
    refused: usize,
    mb_per_s: f64,
    /// Processor time of the gateway.
    cpu_us_per_s: f64,
    /// Time in which the gateway was runnable but had no processor.
    wait_us_per_s: f64,
    /// Processor use of the load generator, in cores.
    generator_cores: f64,
    generator_late_ms: f64,
    /// Connections to caches, including idle ones.
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

/// Returns the total run-queue wait of a process's threads in seconds, from `/proc/PID/task/*/schedstat`.
fn run_queue_wait_s(id: u32) -> f64 {
    let of = |path: PathBuf| {
        let text = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        text.split_whitespace().nth(1).and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0)
    };
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    tasks.map(|task| of(task.path())).sum::<f64>() / 1e9
}

/// Sends each request at its scheduled time regardless of outstanding responses (open loop). Request ids start at 1. Returns
/// the maximum lateness.
fn send(mut stream: TcpStream, started: Instant, load: Load, first: u32) -> io::Result<Duration> {
    let mut rng = Pcg64Mcg::seed_from_u64(load.seed ^ u64::from(first) << 32);
    let mut max_late = Duration::ZERO;
    for id in (first..load.end_id()).step_by(CONNECTIONS as usize) {
        let due = load.due_at(id);
        thread::sleep(due.saturating_sub(started.elapsed()));
        if due >= load.warm_up {
            max_late = max_late.max(started.elapsed().saturating_sub(due));
        }
        let object = object(load.kb, rng.random_range(0..OBJECTS));
        let trace = rng.random();
        let (rule, body, need_kb) = ("media", &[][..], load.kb as f64);
        let ask = Request { id, rule, trace, object, timeout_ms: CLIENT_LIMIT_MS, need_kb, body };
        stream.write_all(&client::encode_request(&ask))?;
    }
    Ok(max_late)
}

fn receive(mut stream: TcpStream, started: Instant, load: Load) -> io::Result<Responses> {
    let (mut responses, mut buffer, mut used) = (Responses::default(), vec![0; 1 << 20], 0..0);
    let end = load.warm_up + load.duration + DRAIN_TIME;
    while let Some(left) = end.checked_sub(started.elapsed()).filter(|left| !left.is_zero()) {
        stream.set_read_timeout(Some(left))?;
        if used.end == buffer.len() {
            buffer.copy_within(used.clone(), 0);
            used = 0..used.len();
        }
        let n = match stream.read(&mut buffer[used.end..]) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => break,
            Err(e) => return Err(e),
        };
        used.end += n;
        while let Some((answer, n)) =
            client::decode_response(&buffer[used.clone()]).map_err(io::Error::other)?
        {
            used.start += n;
            let due = load.due_at(answer.id as u32);
            let complete = answer.status == Status::Served && answer.body.len() == len(object(load.kb, 0));
            if due < load.warm_up {
                continue;
            } else if complete {
                responses.delays.push(started.elapsed().saturating_sub(due).as_secs_f64() * 1e3);
            } else {
                responses.refused += 1;
            }
        }
    }
    Ok(responses)
}

fn run_load(testbed: &Testbed, load: Load) -> Result<LoadResult, Error> {
    let address: SocketAddr = testbed.gateway.address;
    let streams: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| {
            let stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            Ok(stream)
        })
        .collect::<io::Result<_>>()?;
    let started = Instant::now();
    let mut threads = Vec::new();
    for (stream, first) in streams.iter().zip(1..) {
        let (out, into) = (stream.try_clone()?, stream.try_clone()?);
        let sender = thread::spawn(move || send(out, started, load, first));
        threads.push((sender, thread::spawn(move || receive(into, started, load))));
    }
    thread::sleep(load.warm_up.saturating_sub(started.elapsed()));
    let (own_id, waited_before) = (std::process::id(), run_queue_wait_s(testbed.gateway.id()));
    let (before, own_before, since) =
        (testbed.gateway.resource_usage(), fleet::resource_usage(own_id), started.elapsed());
    thread::sleep((load.warm_up + load.duration).saturating_sub(started.elapsed()));
    let (after, own_after, took) = (
        testbed.gateway.resource_usage(),
        fleet::resource_usage(own_id),
        (started.elapsed() - since).as_secs_f64(),
    );
    let (mut max_late, mut delays, mut refused) = (Duration::ZERO, Vec::new(), 0);
    for (sender, receiver) in threads {
        let panicked = |_| io::Error::other("a client thread panicked");
        let responses = receiver.join().map_err(panicked)??;
        refused += responses.refused;
        delays.extend(responses.delays);
        max_late = max_late.max(sender.join().map_err(panicked)??);
    }
    streams.iter().for_each(|s| _ = s.shutdown(Shutdown::Both));
    delays.sort_by(f64::total_cmp);
    let counters = fleet::counters(&testbed.gateway.counters());
    let hop_connections = counters.get("hops").copied().unwrap_or(0.0);
    let served_per_s = delays.len() as f64 / load.duration.as_secs_f64();
    Ok(LoadResult {
        served_per_s,
        refused,
        mb_per_s: served_per_s * len(object(load.kb, 0)) as f64 / 1e6,
        cpu_us_per_s: (after.cpu_s - before.cpu_s) / took * 1e6,
        wait_us_per_s: (run_queue_wait_s(testbed.gateway.id()) - waited_before) / took * 1e6,
        generator_cores: (own_after.cpu_s - own_before.cpu_s) / took,
        generator_late_ms: max_late.as_secs_f64() * 1e3,
        hop_connections,
        delays,
    })
}

fn head<'a>(id: &'a str, over: &'a str, unit: &'a str) -> SeriesHead<'a> {
    let (mechanism, host, timed) = ("gateway/src/dispatcher.rs", Host::Loopback, true);
    SeriesHead { id, over, unit, mechanism, command: COMMAND, host, timed }
}

fn fixed(extra: &[(&str, f64)]) -> BTreeMap<String, f64> {
    let all = [
        ("caches", (CACHES + OTHER_ZONE_CACHES) as f64),
        ("zone_caches", CACHES as f64),
        ("purges_per_s", PURGES_PER_S as f64),
    ];
    all.iter().chain(extra).map(|(name, n)| ((*name).to_owned(), *n)).collect()
}

fn delay(at: f64, c: &LoadResult) -> Sample {
    Sample { p50: Some(c.quantile(0.5)), p99: Some(c.quantile(0.99)), ..sample(at, &c.delays) }
}

/// Returns the duration of the warm-up and of the measurement.
fn durations(quick: bool) -> (Duration, Duration) {
    if quick {
        (Duration::from_millis(200), Duration::from_millis(200))
    } else {
        (Duration::from_millis(700), Duration::from_millis(2_000))
    }
}

/// Measures growing rates until one is not sustained. Series of throughput and bottlenecks include that rate, as it shows
/// the limit of one core.
fn rate_series(testbed: &Testbed, (seed, quick): (u64, bool)) -> Result<Vec<Series>, Error> {
    let (warm_up, duration) = durations(quick);
    let sizes = [
        300.0, 600.0, 1_200.0, 1_800.0, 2_400.0, 3_600.0, 4_800.0, 6_000.0, 7_200.0, 8_400.0, 9_600.0,
        12_000.0, 15_000.0, 18_000.0,
    ];
    let (mut all, mut overloaded) = (Vec::new(), None);
    for per_s in sizes.into_iter().take(if quick { 2 } else { sizes.len() }) {
        let load = Load { per_s, kb: OBJECT_KB, duration, warm_up, seed };
        let mut result = run_load(testbed, load)?;
        result.print(&load);
        // Retries once, because other processes may have used the processors.
        if !result.is_sustained(&load) && !quick {
            result = run_load(testbed, load)?;
            result.print(&load);
        }
        if !result.is_sustained(&load) {
            eprintln!("{per_s} txns/s are not carried: {}", result.bottleneck());
            overloaded = Some((per_s, result));
            break;
        }
        all.push((per_s, result));
    }
    let series = |what: &str, unit: &str, of: &dyn Fn(f64, &LoadResult) -> Sample, include_overload: bool| {
        let id = format!("data-path.{what}.by-txns");
        let included = all.iter().chain(overloaded.iter().filter(|_| include_overload));
        let points = included.map(|(at, result)| of(*at, result)).collect();
        head(&id, "txns_per_s", unit).series(fixed(&[("kb", OBJECT_KB as f64)]), points)
    };
    Ok(vec![
        series("processor", "us/s", &|at, c| sample(at, &[c.cpu_us_per_s]), false),
        series("delay", "ms", &delay, false),
        series("served", "txns/s", &|at, c| sample(at, &[c.served_per_s]), true),
        series("payload", "MB/s", &|at, c| sample(at, &[c.mb_per_s]), true),
        series("hop-connections", "count", &|at, c| sample(at, &[c.hop_connections]), true),
        series("waited", "us/s", &|at, c| sample(at, &[c.wait_us_per_s]), true),
        series("generator-late", "ms", &|at, c| sample(at, &[c.generator_late_ms]), true),
    ])
}

/// Measures the processor time per txn by object size at a fixed rate.
fn size_series(testbed: &Testbed, (seed, quick): (u64, bool)) -> Result<Series, Error> {
    let (per_s, all) = (1_000.0, [4, 16, 60, 120, 234]);
    let ((warm_up, duration), mut points) = (durations(quick), Vec::new());
    for kb in all.into_iter().take(if quick { 1 } else { all.len() }) {
        let load = Load { per_s, kb, duration, warm_up, seed };
        let result = run_load(testbed, load)?;
        result.print(&load);
        points.push(sample(kb as f64, &[result.cpu_us_per_s / result.served_per_s]));
    }
    let fixed = fixed(&[("txns_per_s", per_s)]);
    Ok(head("data-path.processor-a-txn.by-kb", "kb", "us").series(fixed, points))
}

pub fn run(seed: u64, quick: bool) -> Result<Vec<Series>, Error> {
    let testbed = Testbed::start(seed)?;
    // Sizes are measured first, because the rates end with an overload that affects later measurements.
    let mut all = vec![size_series(&testbed, (seed, quick))?];
    all.extend(rate_series(&testbed, (seed, quick))?);
    Ok(all)
}

/// Returns no series and prints a message if the benchmark fails, such as for a missing `kelpcart` binary.
pub fn measure(seed: u64, quick: bool) -> Vec<Series> {
    run(seed, quick).unwrap_or_else(|why| {
        eprintln!("data path, not run: {why}");
        Vec::new()
    })
}
