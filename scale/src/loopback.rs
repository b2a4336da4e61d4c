//! Hollow gateways in real time, each with its own UDP socket and thread: the server process that hosts them, and the load
//! test that runs several such processes with real gateways, real hubs and mock discovery services on loopback.
//!
//! Invariant: no socket is opened outside of 127.0.0.0/8.

use crate::benchmarks::group::{Run, SeriesGroup};
use crate::fleet_net::delay_histogram;
use crate::hollow::{Delivery, HollowGateway};
use crate::sim::{Actor, Usage};
use crate::slopes::{Host, Series};
use hdrhistogram::Histogram;
use kelpcart::hash_prefix::object_hash;
use kelpcart::{Span, Time};
use kelpcart_feed::Feed;
use kelpcart_fleet::node::Node;
use kelpcart_fleet::settings::Fleet;
use kelpcart_rig::discovery::DiscoveryServer;
use kelpcart_rig::fleet::{self, Process};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

const MECHANISM: &str = "feed/src/lib.rs";
const GATEWAYS_PER_SITE: usize = 24;
const HUBS: usize = 2;
const STREAMS: usize = 3;
const PURGES_PER_S: u64 = 150;
/// One in this many purges is tracked at each hollow gateway by its hash.
const TRACKED_PURGE_INTERVAL: u64 = 10;
/// Maximum number of hollow gateways in one process.
const HOLLOW_PER_PROCESS: usize = 100;
const MAX_DATAGRAM_BYTES: usize = 2_048;
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Config(String),
    #[error("listen address {0} is not within 127.0.0.0/8")]
    NotLoopback(SocketAddr),
    #[error("{0}")]
    NotConverged(String),
}

fn unix_us() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |d| d.as_micros() as u64)
}

// Server process of hollow gateways.

/// A tracked purge: its hash and the time of its publication.
#[derive(Clone, Copy)]
struct TrackedPurge {
    hash: u64,
    published_us: u64,
}

/// Final report of one hollow gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HollowReport {
    pub name: String,
    pub positions: Vec<u64>,
    pub missing: usize,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub processor_us: u64,
    /// Histogram of delays: pairs of delay in us and count.
    pub delays: Vec<(u64, u64)>,
}

#[derive(Default)]
struct Shared {
    tracked: RwLock<Vec<TrackedPurge>>,
    /// Incremented at each `begin`, which resets the counters; `STOP` or more ends the threads.
    generation: AtomicU32,
    reports: Mutex<Vec<HollowReport>>,
}

const STOP: u32 = 1 << 16;

struct HollowServer {
    hollow: HollowGateway,
    socket: UdpSocket,
    clock: Instant,
    first_pending: usize,
    done: Vec<bool>,
    delays: Histogram<u64>,
    total: Usage,
}

impl HollowServer {
    fn new(file: &Fleet, clock: Instant) -> Result<HollowServer, Error> {
        if !file.listen.ip().is_loopback() {
            return Err(Error::NotLoopback(file.listen));
        }
        let now = now(clock);
        let (run, mut rng) = (rand::rng().random(), rand::rng());
        let node =
            Node::new(file, run, rng.random(), now, 0, &[]).map_err(|e| Error::Config(e.to_string()))?;
        let of = file
            .feed
            .as_ref()
            .ok_or_else(|| Error::Config(format!("{}: settings have no feed", file.gateway)))?;
        let feed = Feed::new(of, &file.keys, &file.gateway, run, rng.random(), now)
            .map_err(|e| Error::Config(e.to_string()))?;
        let mut hollow = HollowGateway::new(now, Some(node), feed);
        hollow.measure_cpu = true;
        let socket = UdpSocket::bind(file.listen)?;
        let (done, delays) = (Vec::new(), delay_histogram());
        Ok(HollowServer { hollow, socket, clock, first_pending: 0, done, delays, total: Usage::default() })
    }

    fn flush(&mut self, shared: &Shared) {
        while let Some((to, bytes)) = self.hollow.poll_datagram() {
            self.total.datagrams_out += 1;
            self.total.bytes_out += bytes.len() as u64;
            // A datagram that the system does not accept counts as lost.
            _ = self.socket.send_to(&bytes, to);
        }
        let at = unix_us();
        for delivery in std::mem::take(&mut self.hollow.deliveries) {
            let Delivery::Purge { names, .. } = delivery else { continue };
            let tracked = shared.tracked.read().expect("no writer panics");
            self.done.resize(tracked.len(), false);
            for (purge, done) in tracked.iter().zip(&mut self.done).skip(self.first_pending) {
                if !*done && names.contains(purge.hash) {
                    *done = true;
                    self.delays.saturating_record(at.saturating_sub(purge.published_us));
                }
            }
            self.first_pending += self.done[self.first_pending..].iter().take_while(|d| **d).count();
        }
    }

    /// Serves until `generation` reaches `STOP`.
    fn run(mut self, shared: &Shared) -> HollowReport {
        let mut seen = 0;
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        loop {
            let command = shared.generation.load(Ordering::Relaxed);
            if command >= STOP {
                break;
            }
            if command != seen {
                seen = command;
                (self.total, self.hollow.usage) = (Usage::default(), Usage::default());
                self.delays.reset();
            }
            let at = now(self.clock);
            let next_wake = self.hollow.next_wake(at);
            if next_wake <= at {
                self.hollow.tick(at);
                self.flush(shared);
                continue;
            }
            let timeout = Duration::from_micros((next_wake - at).as_micros().clamp(1_000, 100_000));
            _ = self.socket.set_read_timeout(Some(timeout));
            match self.socket.recv_from(&mut bytes) {
                Ok((n, from)) => {
                    self.total.datagrams_in += 1;
                    self.total.bytes_in += n as u64;
                    self.hollow.handle_datagram(now(self.clock), from, &bytes[..n]);
                    self.flush(shared);
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        let tracked = shared.tracked.read().map_or(0, |f| f.len());
        self.done.resize(tracked, false);
        let file = self.hollow.node.as_ref().map_or(String::new(), |n| n.members.name.to_string());
        HollowReport {
            name: file,
            positions: (0..STREAMS).map(|s| self.hollow.feed.position(s)).collect(),
            missing: self.done.iter().filter(|d| !**d).count(),
            bytes_in: self.total.bytes_in,
            bytes_out: self.total.bytes_out,
            datagrams_in: self.total.datagrams_in,
            datagrams_out: self.total.datagrams_out,
            processor_us: self.hollow.usage.cpu_time.as_micros() as u64,
            delays: self
                .delays
                .iter_recorded()
                .map(|v| (v.value_iterated_to(), v.count_at_value()))
                .collect(),
        }
    }
}

fn now(clock: Instant) -> Time {
    Time::from_micros(1_000_000_000) + Span::from_micros(clock.elapsed().as_micros() as u64)
}

/// Serves the gateways of a file, which holds a list of fleet settings, each with a `feed`. Commands are read from standard
/// input: `OBJECT US` tracks a purge that was published at that Unix time, `begin` restarts the measurement. At the end of
/// input all gateways stop, and their reports are printed to standard output as a JSON list.
pub fn serve(files: &Path) -> Result<(), Error> {
    let all: Vec<Value> = serde_json::from_str(&std::fs::read_to_string(files)?)?;
    let (clock, shared) = (Instant::now(), Arc::new(Shared::default()));
    let mut servers = Vec::new();
    for file in all {
        let file = Fleet::read(&file.to_string()).map_err(|e| Error::Config(e.to_string()))?;
        servers.push(HollowServer::new(&file, clock)?);
    }
    let mut threads = Vec::new();
    for server in servers {
        let shared = Arc::clone(&shared);
        let builder = thread::Builder::new().stack_size(512 * 1_024);
        threads.push(builder.spawn(move || {
            let report = server.run(&shared);
            shared.reports.lock().expect("no thread panics").push(report);
        })?);
    }
    for line in io::stdin().lock().lines() {
        let line = line?;
        if line == "begin" {
            shared.generation.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let (object, published_us) = line.split_once(' ').unwrap_or_default();
        if let (Ok(object), Ok(published_us)) = (object.parse(), published_us.parse()) {
            let purge = TrackedPurge { hash: object_hash(object), published_us };
            shared.tracked.write().expect("no reader panics").push(purge);
        }
    }
    shared.generation.store(STOP, Ordering::Relaxed);
    for thread in threads {
        _ = thread.join();
    }
    let mut reports = std::mem::take(&mut *shared.reports.lock().expect("no thread panics"));
    reports.sort_by(|a, b| a.name.cmp(&b.name));
    println!("{}", serde_json::to_string(&reports)?);
    Ok(())
}

// Load test with several server processes.

pub struct Options {
    /// The `kelpcart` binary, and the binary with the subcommand `hollow`.
    pub kelpcart: PathBuf,
    pub hollow: PathBuf,
    pub folder: PathBuf,
    pub seed: u64,
    pub sizes: Vec<usize>,
    /// Maximum number of real gateway processes, one per site.
    pub real: usize,
    pub span: Duration,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn hub_secret(h: usize) -> [u8; 32] {
    [h as u8 + 1; 32]
}

struct Installation {
    discovery: Vec<DiscoveryServer>,
    hubs: Vec<Process>,
    real: Vec<Process>,
    hollow: Vec<Child>,
    gateways: usize,
}

impl Drop for Installation {
    fn drop(&mut self) {
        for child in &mut self.hollow {
            // Fails only if the process has already ended.
            _ = child.kill();
            _ = child.wait();
        }
    }
}

impl Installation {
    fn start(o: &Options, n: usize, net: u8) -> Result<Installation, Error> {
        let place = |i: usize| SocketAddr::from(([127, net, (i / 200) as u8, (i % 200) as u8 + 1], 7_800));
        let discovery = (0..STREAMS).map(|_| DiscoveryServer::start(1)).collect::<io::Result<Vec<_>>>()?;
        let sites = n.div_ceil(GATEWAYS_PER_SITE);
        let hubs: Vec<Value> = (0..HUBS)
            .map(|h| {
                let pair = Ed25519KeyPair::from_seed_unchecked(&hub_secret(h)).expect("valid seed");
                let public = hex(pair.public_key().as_ref());
                json!({"name": format!("h{h}"), "address": place(n + h).to_string(), "public": public})
            })
            .collect();
        let streams: Vec<Value> = discovery
            .iter()
            .enumerate()
            .map(|(s, l)| json!({"name": format!("s{s}"), "address": l.address.to_string(), "known": 1}))
            .collect();
        let file = |i: usize, name: String, site: String, first: usize| {
            json!({
                "fleet": site, "gateway": name, "listen": place(i).to_string(),
                "seeds": (first..first + 3).map(|j| place(j).to_string()).collect::<Vec<_>>(),
                "keys": [{"id": 1, "secret": "17".repeat(32)}], "members": {"expected": GATEWAYS_PER_SITE},
                "feed": {"name": "loop", "site": site, "streams": streams, "hubs": hubs},
            })
        };
        let site_of = |i: usize| i * sites / n;
        let first_of = |site: usize| (0..n).find(|&i| site_of(i) == site).unwrap_or(0);
        let all: Vec<Value> = (0..n)
            .map(|i| file(i, format!("g{i}"), format!("site{}", site_of(i)), first_of(site_of(i))))
            .collect();
        let mut installation =
            Installation { discovery, hubs: Vec::new(), real: Vec::new(), hollow: Vec::new(), gateways: n };
        let spawn = |name: &str, file: &Value, installation: &Installation| {
            let node = fleet::Node {
                name,
                zone: "hub",
                discovery: installation.discovery[0].address,
                endpoints: &[],
                memory_mb: 64,
                seed: o.seed,
            };
            Process::spawn(&o.kelpcart, &o.folder, name, &fleet::config(&node), Some(file))
        };
        for h in 0..HUBS {
            let mut settings = file(n + h, format!("h{h}"), "control".to_owned(), 0);
            let named: Vec<String> = (0..sites).map(|s| format!("site{s}")).collect();
            settings["seeds"] = json!([]);
            settings["feed"]["control"] =
                json!({"name": format!("h{h}"), "secret": hex(&hub_secret(h)), "sites": named});
            installation.hubs.push(spawn(&format!("h{h}"), &settings, &installation)?);
        }
        // The last gateway of each site is a real one.
        let last_of = |site: usize| (0..n).rfind(|&i| site_of(i) == site).unwrap_or(0);
        let real: Vec<usize> = (0..sites.min(o.real)).map(last_of).collect();
        for &i in &real {
            installation.real.push(spawn(&format!("g{i}"), &all[i], &installation)?);
        }
        let hollow: Vec<&Value> = (0..n).filter(|i| !real.contains(i)).map(|i| &all[i]).collect();
        for (p, files) in hollow.chunks(HOLLOW_PER_PROCESS).enumerate() {
            let path = o.folder.join(format!("hollow{p}.json"));
            std::fs::write(&path, json!(files).to_string())?;
            let mut command = Command::new(&o.hollow);
            command.arg("hollow").arg("--files").arg(&path);
            installation.hollow.push(command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?);
        }
        Ok(installation)
    }

    fn counters(&self, of: &Process) -> BTreeMap<String, f64> {
        let count = |log: &str| log.lines().filter(|l| l.contains("now: clients")).count();
        let before = count(&of.log());
        _ = fleet::signal("USR1", &[of.id()]);
        let started = Instant::now();
        while count(&of.log()) == before && started.elapsed() < Duration::from_secs(5) {
            thread::sleep(Duration::from_millis(10));
        }
        of.log().lines().rfind(|l| l.contains("now: clients")).map(fleet::counters).unwrap_or_default()
    }

    fn command(&mut self, line: &str) -> io::Result<()> {
        for child in &mut self.hollow {
            if let Some(input) = &mut child.stdin {
                writeln!(input, "{line}")?;
            }
        }
        Ok(())
    }

    /// Whether any hub has confirmed that all published changes are applied everywhere.
    fn is_converged(&self) -> bool {
        let done = |c: &BTreeMap<String, f64>| {
            let mut all = self.discovery.iter().enumerate();
            all.all(|(s, l)| {
                c.get(&format!("fleet feed done everywhere {s}")) == Some(&(l.last_event_no() as f64))
            })
        };
        self.hubs.iter().any(|h| done(&self.counters(h)))
    }

    fn wait_converged(&self, what: &str) -> Result<(), Error> {
        let started = Instant::now();
        while !self.is_converged() {
            if started.elapsed() > CONVERGENCE_TIMEOUT {
                return Err(Error::NotConverged(format!(
                    "{what}: no hub has confirmed all changes at all {} gateways",
                    self.gateways
                )));
            }
            thread::sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    fn purge(&mut self, rng: &mut Pcg64Mcg, span: Duration) -> io::Result<()> {
        let (started, mut sent) = (Instant::now(), 0);
        while started.elapsed() < span {
            let object: u64 = rng.random();
            let published = unix_us();
            self.discovery[rng.random_range(0..STREAMS)].purge(object, published / 1_000);
            if sent % TRACKED_PURGE_INTERVAL == 0 {
                self.command(&format!("{object} {published}"))?;
            }
            sent += 1;
            let due = Duration::from_micros(sent * 1_000_000 / PURGES_PER_S);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
        Ok(())
    }
}

fn run(o: &Options, n: usize, net: u8) -> Result<Run, Error> {
    let started = Instant::now();
    let mut all = Installation::start(o, n, net)?;
    let mut rng = Pcg64Mcg::seed_from_u64(o.seed);
    all.purge(&mut rng, Duration::from_millis(500))?;
    all.wait_converged("at the start")?;
    let start = Span::from_micros(started.elapsed().as_micros() as u64);
    all.purge(&mut rng, Duration::from_secs(2))?;
    let before: Vec<_> = all.real.iter().map(|r| all.counters(r)).collect();
    all.command("begin")?;
    let from = Instant::now();
    all.purge(&mut rng, o.span)?;
    let duration = Span::from_micros(from.elapsed().as_micros() as u64);
    let after: Vec<_> = all.real.iter().map(|r| all.counters(r)).collect();
    all.wait_converged("at the end")?;
    for r in &all.real {
        let c = all.counters(r);
        let at = |(s, l): (usize, &DiscoveryServer)| {
            c.get(&format!("fleet feed position {s}")) == Some(&(l.last_event_no() as f64))
        };
        if !all.discovery.iter().enumerate().all(at) {
            return Err(Error::NotConverged(format!(
                "a real gateway has not reached the last stream positions: {}",
                r.log()
            )));
        }
    }
    let mut reports: Vec<HollowReport> = Vec::new();
    for child in &mut all.hollow {
        drop(child.stdin.take());
        let Some(output) = child.stdout.take() else { continue };
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        reports.extend(serde_json::from_str::<Vec<HollowReport>>(&line)?);
    }
    let lasts: Vec<u64> = all.discovery.iter().map(DiscoveryServer::last_event_no).collect();
    let lagging = reports.iter().find(|r| r.positions != lasts || r.missing > 0);
    let converged = lagging.map_or(Ok(()), |s| {
        Err(format!(
            "{} is at {:?} of {lasts:?}, {} tracked purges were not applied",
            s.name, s.positions, s.missing
        ))
    });
    let mut delays = delay_histogram();
    reports.iter().flat_map(|s| &s.delays).for_each(|(us, n)| _ = delays.record_n(*us, *n));
    let usage: Vec<Usage> = reports.iter().map(Usage::from).collect();
    let real = |what: &str| {
        let names = [format!("fleet {what}"), format!("fleet feed {what}")];
        let of = |c: &BTreeMap<String, f64>| names.iter().filter_map(|n| c.get(n)).sum::<f64>();
        let all: f64 = after.iter().zip(&before).map(|(a, b)| of(a) - of(b)).sum();
        all / after.len().max(1) as f64 / duration.as_secs_f64()
    };
    let extra =
        vec![("real-bytes-in", "B/s", real("bytes in")), ("real-bytes-out", "B/s", real("bytes out"))];
    Ok(Run { usage, duration, delays, memory: 0.0, start, converged, extra })
}

impl From<&HollowReport> for Usage {
    fn from(s: &HollowReport) -> Usage {
        Usage {
            bytes_in: s.bytes_in,
            bytes_out: s.bytes_out,
            datagrams_in: s.datagrams_in,
            datagrams_out: s.datagrams_out,
            cpu_time: Duration::from_micros(s.processor_us),
        }
    }
}

/// Measures hollow gateways together with some real ones at growing sizes. Traffic covers feed and membership; it is that of
/// the hollow gateways unless the series' id contains `real`.
pub fn loopback(o: &Options) -> Result<Vec<Series>, Error> {
    std::fs::create_dir_all(&o.folder)?;
    let mut by = SeriesGroup::new(
        "loopback",
        "loopback",
        MECHANISM,
        Host::Loopback,
        "gateways",
        &[("purges_per_s", PURGES_PER_S as f64)],
    );
    for (i, &n) in o.sizes.iter().enumerate() {
        let run = run(o, n, 100 + i as u8)?;
        if let Err(why) = run.converged {
            return Err(Error::NotConverged(why));
        }
        by.push(n as f64, run);
    }
    let mut all = by.series(o.seed);
    all.retain(|l| !l.id.contains(".memory."));
    Ok(all)
}
