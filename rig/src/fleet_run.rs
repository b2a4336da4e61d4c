//! A run of a whole fleet: hundreds of gateways as processes, a discovery service, caches and parents that can be
//! overloaded, an emulated network with a fault plan, and open-loop clients at each gateway that measure every
//! response. Each feature that protects against overload can be disabled.

use crate::cache_tier::{self, CacheTier};
use crate::caches::{copy_created_ms, unix_ms};
use crate::client::{self, Request, Status};
use crate::fleet::{self, Node, Process, ResourceUsage};
use crate::fleet_discovery::{self, FleetDiscovery};
use crate::fleet_plan::{self, Event, Fault, Moment};
use crate::link_emulator::LinkConditions;
use crate::report::{End, Report};
use crate::sites::{
    BOOK, CLIENT_GRACE_S, CLIENT_KB_PER_S, MEDIA, NEED_KB_PER_BODY_KB, PURGE_GRACE_MS, RATES, RULES,
    object_len,
};
use crate::switch::{self, Switch};
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which the last gateway has received an event of a discovery service over the feed, by the feed's
/// periods and paths (docs/design/feed.md).
pub const FEED_PROPAGATION_MS: u64 = 650;

/// An installation of several sites joined by the feed. Excludes extra members and foreign gateways.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Installation {
    pub sites: usize,
    pub hubs: usize,
    /// Discovery services with event numbers of their own; the first publishes the list of caches.
    pub streams: usize,
}

#[derive(Clone, Debug)]
pub struct Options {
    pub gateways: usize,
    pub caches: usize,
    pub parents: usize,
    pub seconds: f64,
    pub seed: u64,
    /// Txns per second over all gateways.
    pub rate: f64,
    pub objects: u64,
    pub plan: Vec<Event>,
    pub conditions: LinkConditions,
    /// Whether the gateways form a fleet; if not, each runs on its own.
    pub fleet: bool,
    /// Whether gateways relay the list of caches to each other.
    pub relays: bool,
    /// Limits shared by the fleet; `None` disables them.
    pub connections: Option<u32>,
    pub fills: Option<u32>,
    pub fills_at_cache: Option<u32>,
    /// This many gateways, the last ones, have another key and form a fleet of their own with the same seeds.
    pub foreign: usize,
    /// Number of additional switch addresses, after those of the fleet, for members that the caller simulates.
    pub extra_members: usize,
    /// If absent, all gateways form one fleet, and the list is relayed within it.
    pub installation: Option<Installation>,
    /// Milliseconds within which purges must have reached all gateways: 0 while the connections to the discovery
    /// service are up, 2,000 if the plan breaks all of them at once, `FEED_PROPAGATION_MS` if the feed distributes
    /// the purges.
    pub propagation_ms: u64,
    /// The caller has already reserved the run's loopback subnet.
    pub subnet_reserved: bool,
    /// Capacities of the simulated servers.
    pub discovery_capacity: fleet_discovery::Capacity,
    pub cache_capacity: cache_tier::Capacity,
    pub memory_mb: u64,
    pub program: PathBuf,
    pub folder: PathBuf,
}

impl Options {
    fn hubs(&self) -> usize {
        self.installation.map_or(0, |installation| installation.hubs)
    }

    fn streams(&self) -> usize {
        self.installation.map_or(1, |installation| installation.streams)
    }

    /// Returns the site of a gateway and the range of gateways at that site (all of them without an installation).
    fn site(&self, i: usize) -> (usize, std::ops::Range<usize>) {
        let sites = self.installation.map_or(1, |installation| installation.sites);
        let (site, from) = (i * sites / self.gateways, |s: usize| (s * self.gateways).div_ceil(sites));
        (site, from(site)..from(site + 1))
    }

    /// Name of a process; hubs are numbered after the gateways.
    fn name(&self, i: usize) -> String {
        if i < self.gateways { format!("g{i}") } else { format!("h{}", i - self.gateways) }
    }

    /// A small fleet with all features enabled and servers of sufficient capacity.
    pub fn small(gateways: usize, seconds: f64, program: PathBuf, folder: PathBuf) -> Options {
        Options {
            gateways,
            caches: 8,
            parents: 2,
            seconds,
            seed: 1,
            rate: 4.0 * gateways as f64,
            objects: 300,
            plan: Vec::new(),
            conditions: LinkConditions { delay_ms: 0.3, ..LinkConditions::default() },
            fleet: true,
            relays: true,
            connections: Some(40),
            fills: Some(1),
            fills_at_cache: Some(8),
            foreign: 0,
            extra_members: 0,
            installation: None,
            propagation_ms: 0,
            subnet_reserved: false,
            discovery_capacity: fleet_discovery::Capacity { connections_per_s: 20.0, kb_per_s: 1_024.0 },
            cache_capacity: cache_tier::Capacity {
                connections: 60,
                cold_fills: 32,
                cold_for: Duration::from_secs(20),
                down_for: Duration::from_secs(3),
            },
            memory_mb: 64,
            program,
            folder,
        }
    }
}

/// Address at which gateway `i` listens for clients.
pub fn client_address(i: usize) -> SocketAddr {
    switch::address(2, i, 9_000)
}

struct PendingTxn {
    rule: usize,
    trace: u64,
    object: u64,
    at: f64,
    unix_ms: u64,
    sla_s: f64,
}

#[derive(Default)]
struct Pending {
    open: BTreeMap<(usize, u64), PendingTxn>,
    answered: BTreeSet<(usize, u64)>,
    /// Purge times (Unix ms) by object, ascending.
    purges: BTreeMap<u64, Vec<u64>>,
    /// Responses to reads sent soon after a purge, while a cache may have held a copy from before it.
    after_purge: u64,
    /// Txns whose gateway was not running or exited.
    lost: u64,
}

struct Clients {
    start: Instant,
    pending: Mutex<Pending>,
    report: Mutex<Report>,
    /// Time of the first response with a body from each gateway, in seconds of the run.
    first_response_at: Mutex<BTreeMap<usize, f64>>,
    /// Time of the last start of each gateway, in seconds of the run.
    started_at: Mutex<BTreeMap<usize, f64>>,
    /// Stale copies served: the gateway, and the milliseconds between the purge and the request.
    stale: Mutex<Vec<(usize, u64)>>,
}

impl Clients {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Sends the requests for one gateway over a connection and reads the responses; reconnects when it is lost.
    async fn run_connection(self: Arc<Self>, i: usize, requests: Receiver<(usize, u64, u64)>) {
        let mut connection = 0u64;
        loop {
            let Ok(mut stream) = Async::<TcpStream>::connect(client_address(i)).await else {
                // No gateway is listening: requests are refused until the next attempt.
                let until = Instant::now() + Duration::from_millis(50);
                while Instant::now() < until {
                    let wait = async {
                        Timer::at(until).await;
                        None
                    };
                    let Some(Ok(request)) = future::or(async { Some(requests.recv().await) }, wait).await
                    else {
                        break;
                    };
                    self.record_refused(request);
                }
                if requests.is_closed() && requests.is_empty() {
                    return;
                }
                continue;
            };
            connection += 1;
            _ = stream.get_ref().set_nodelay(true);
            let Ok(copy) = stream.get_ref().try_clone() else { continue };
            let Ok(reads) = Async::new(copy) else { continue };
            let id_base = connection << 32;
            let writes = async {
                let mut id = 0u32;
                while let Ok((rule, object, trace)) = requests.recv().await {
                    id += 1;
                    if !self.send_request(i, id_base, id, &mut stream, rule, object, trace).await {
                        return true;
                    }
                }
                // Waits for the last responses.
                Timer::after(Duration::from_secs_f64(RULES[MEDIA].limit_s + 1.0)).await;
                false
            };
            let read = async {
                self.read_responses(i, id_base, reads).await;
                true
            };
            let reconnect = future::or(writes, read).await;
            self.connection_lost(i, id_base);
            if !reconnect {
                return;
            }
        }
    }

    /// No gateway was listening: nothing was sent, so the client knows that the txn was not run.
    fn record_refused(&self, (rule, _, trace): (usize, u64, u64)) {
        self.pending.lock().unwrap().lost += 1;
        self.report.lock().unwrap().record_end(
            rule,
            trace,
            self.now(),
            RULES[rule].sla_s,
            End::Rejected,
            0.0,
        );
    }

    /// The connection was closed: its open txns count as aborted, which is permitted when a gateway is killed.
    fn connection_lost(&self, i: usize, id_base: u64) {
        let mut pending = self.pending.lock().unwrap();
        let keys: Vec<_> =
            pending.open.range((i, id_base)..(i, id_base + (1 << 32))).map(|(k, _)| *k).collect();
        let now = self.now();
        for key in keys {
            if let Some(txn) = pending.open.remove(&key) {
                pending.lost += 1;
                let end = End::Aborted;
                self.report.lock().unwrap().record_end(
                    txn.rule,
                    txn.trace,
                    txn.at,
                    txn.sla_s,
                    end,
                    now - txn.at,
                );
            }
        }
    }

    #[allow(clippy::too_many_arguments, reason = "private, with a single caller")]
    async fn send_request(
        &self,
        i: usize,
        id_base: u64,
        id: u32,
        stream: &mut Async<TcpStream>,
        rule: usize,
        object: u64,
        trace: u64,
    ) -> bool {
        let r = &RULES[rule];
        let need_kb = if r.write { 1.0 } else { object_len(object) as f64 / 1024.0 * NEED_KB_PER_BODY_KB };
        let body: &[u8] = if r.write { b"two nights" } else { b"" };
        let timeout_ms = (r.limit_s * 1e3) as u64;
        let bytes =
            client::encode_request(&Request { id, rule: r.name, trace, object, timeout_ms, need_kb, body });
        let sla_s = r.sla_s + r.stretch * need_kb / CLIENT_KB_PER_S;
        let txn = PendingTxn { rule, trace, object, at: self.now(), unix_ms: unix_ms(), sla_s };
        self.pending.lock().unwrap().open.insert((i, id_base + u64::from(id)), txn);
        stream.write_all(&bytes).await.is_ok()
    }

    async fn read_responses(&self, i: usize, id_base: u64, mut stream: Async<TcpStream>) {
        let (mut buffer, mut bytes) = (Vec::new(), vec![0; 32 * 1024]);
        loop {
            let Ok(n @ 1..) = stream.read(&mut bytes).await else { return };
            buffer.extend_from_slice(&bytes[..n]);
            let mut used = 0;
            loop {
                match client::decode_response(&buffer[used..]) {
                    Ok(Some((response, n))) => {
                        used += n;
                        self.record_response(i, id_base, &response);
                    }
                    Ok(None) => break,
                    Err(why) => {
                        self.report.lock().unwrap().violations.damaged += 1;
                        eprintln!("client received an invalid response: {why}");
                        return;
                    }
                }
            }
            buffer.drain(..used);
        }
    }

    fn record_response(&self, i: usize, id_base: u64, response: &client::Response) {
        let now = self.now();
        let key = (i, id_base + response.id);
        let mut pending = self.pending.lock().unwrap();
        let mut report = self.report.lock().unwrap();
        let Some(txn) = pending.open.remove(&key) else {
            report.violations.answered_twice += u64::from(pending.answered.contains(&key));
            return;
        };
        pending.answered.insert(key);
        let (latency, rule) = (now - txn.at, &RULES[txn.rule]);
        if latency > rule.limit_s + CLIENT_GRACE_S + SCHEDULING_GRACE_S {
            report.violations.answered_late += 1;
        }
        let end = match response.status {
            Status::Served => End::Served,
            Status::Rejected => End::Rejected,
            Status::Failed => End::Aborted,
        };
        report.record_end(txn.rule, txn.trace, txn.at, txn.sla_s, end, latency);
        if end != End::Served || rule.write {
            return;
        }
        self.first_response_at.lock().unwrap().entry(i).or_insert(now);
        report.bytes += response.body.len() as u64;
        match copy_created_ms(txn.object, &response.body) {
            None => report.violations.damaged += 1,
            Some(_) if response.body.len() != object_len(txn.object) => report.violations.damaged += 1,
            Some(created_ms) => {
                let purges = pending.purges.get(&txn.object).map(Vec::as_slice).unwrap_or_default();
                let before = purges.partition_point(|at| *at < txn.unix_ms);
                let soon_after_purge =
                    before > 0 && txn.unix_ms - purges[before - 1] < cache_tier::PURGE_APPLIED_MS;
                let first = purges[..before].get(purges.partition_point(|at| *at <= created_ms)).copied();
                pending.after_purge += u64::from(soon_after_purge);
                if let Some(at) = first {
                    self.stale.lock().unwrap().push((i, txn.unix_ms - at));
                }
            }
        }
    }

    /// Reports txns that are unanswered past their time limit, or all open ones at the end.
    fn expire(&self, all: bool) {
        let now = self.now();
        let mut pending = self.pending.lock().unwrap();
        let mut report = self.report.lock().unwrap();
        let late = |txn: &PendingTxn| {
            now > txn.at + RULES[txn.rule].limit_s + CLIENT_GRACE_S + SCHEDULING_GRACE_S + 0.5 || all
        };
        let expired: Vec<_> = pending.open.iter().filter(|(_, s)| late(s)).map(|(k, _)| *k).collect();
        for key in expired {
            if let Some(txn) = pending.open.remove(&key) {
                report.record_end(txn.rule, txn.trace, txn.at, txn.sla_s, End::Unanswered, now - txn.at);
            }
        }
    }
}

/// Seconds added to time limits: hundreds of processes share a few cores, and scheduling delay is not the gateway's
/// fault.
const SCHEDULING_GRACE_S: f64 = 0.5;

/// Copies served although older than a purge, and how long after the purge they were requested.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, PartialEq)]
pub struct AfterPurge {
    pub purges: usize,
    /// Reads requested while a cache may have held an old copy.
    pub reads: u64,
    pub copies: usize,
    pub p99_ms: u64,
    pub latest_ms: u64,
}

pub struct Outcome {
    pub report: Report,
    pub discovery: fleet_discovery::Counts,
    pub caches: BTreeMap<String, cache_tier::Counts>,
    /// Origin fetches per object: mean, maximum, and the number of objects.
    pub fetches: (f64, u64, usize),
    /// Last event number and load of each discovery service; the first is also `discovery`.
    pub discovery_by_stream: Vec<(u64, fleet_discovery::Counts)>,
    pub usage: Vec<ResourceUsage>,
    pub counters: Vec<BTreeMap<String, f64>>,
    /// Second of the run at which the counters were requested.
    pub counters_at_s: f64,
    pub hub_usage: Vec<ResourceUsage>,
    pub hub_counters: Vec<BTreeMap<String, f64>>,
    /// Gateways that exited by themselves or logged a panic.
    pub crashed: usize,
    /// First second of the run from which 0.95 of the importance is served in time, over two seconds.
    pub served_95_at_s: Option<usize>,
    /// Seconds from the start of a gateway to its first served txn: median and maximum.
    pub first_served_s: (f64, f64),
    /// The same for gateways that were restarted.
    pub first_served_again_s: (f64, f64),
    /// Seconds that starting all processes took.
    pub spawn_s: f64,
    pub lost: u64,
    pub after_purge: AfterPurge,
    /// Gateways that were suspended (SIGSTOP) by the plan.
    pub stopped: BTreeSet<usize>,
}

struct Run<'a> {
    options: &'a Options,
    /// Gateways, then hubs.
    processes: Vec<Option<Process>>,
    configs: Vec<Value>,
    fleet_configs: Vec<Value>,
    discovery: Vec<Arc<FleetDiscovery>>,
    tier: Arc<CacheTier>,
    switch: Switch,
    clients: Arc<Clients>,
    rng: Pcg64Mcg,
    /// Gateways affected by each current event, so that its end can undo it.
    targets: BTreeMap<String, Vec<usize>>,
    stopped: BTreeSet<usize>,
    /// Gateways that were started again into a running fleet.
    restarted: BTreeSet<usize>,
    /// Gateways in a rolling restart that have been signalled (SIGTERM) and are started again once they exit.
    rolling: Vec<usize>,
    crashed: usize,
    usage: BTreeMap<usize, ResourceUsage>,
}

fn key(id: u32) -> Value {
    json!({"id": id, "secret": format!("{id:02x}").repeat(32)})
}

impl Run<'_> {
    fn spawn(&mut self, i: usize) {
        let file = self.options.fleet.then_some(&self.fleet_configs[i]);
        let name = self.options.name(i);
        match Process::spawn(&self.options.program, &self.options.folder, &name, &self.configs[i], file) {
            Ok(process) => {
                self.processes[i] = Some(process);
                if self.clients.started_at.lock().unwrap().contains_key(&i) {
                    self.restarted.insert(i);
                    self.clients.first_response_at.lock().unwrap().remove(&i);
                }
                self.clients.started_at.lock().unwrap().insert(i, self.clients.now());
            }
            Err(why) => eprintln!("{name}: {why}"),
        }
    }

    fn end(&mut self, i: usize) {
        if let Some(mut process) = self.processes[i].take() {
            // A panic in a detached task ends only that task, so it is visible only in the log.
            self.crashed += usize::from(process.has_exited() || process.log().contains("panicked at"));
            let used = process.resource_usage();
            let total = self.usage.entry(i).or_default();
            (total.cpu_s, total.peak_mb) = (total.cpu_s + used.cpu_s, total.peak_mb.max(used.peak_mb));
            process.kill();
        }
    }

    fn pick_gateways(&mut self, part: f64) -> Vec<usize> {
        let mut gateways: Vec<usize> = (0..self.options.gateways).collect();
        gateways.shuffle(&mut self.rng);
        gateways.truncate((part * self.options.gateways as f64).round() as usize);
        gateways
    }

    fn signal(&self, name: &str, gateways: &[usize]) {
        let ids: Vec<u32> =
            gateways.iter().filter_map(|&i| self.processes[i].as_ref()).map(Process::id).collect();
        if let Err(why) = fleet::signal(name, &ids) {
            eprintln!("signal {name}: {why}");
        }
    }

    /// Processes that are connected to a discovery service.
    fn discovery_clients(&self) -> Vec<usize> {
        let connected: BTreeSet<usize> = self.discovery.iter().flat_map(|l| l.connected()).collect();
        connected.into_iter().collect()
    }

    fn apply(&mut self, moment: &Moment) {
        let (begins, id) = (moment.begins, format!("{:?}", moment.event));
        let previous = self.targets.remove(&id).unwrap_or_default();
        let caches: Vec<String> = (0..self.options.caches).map(|c| format!("c{c}")).collect();
        let set_faults = |every: usize, slow: u64, failing: bool| {
            let slow = Duration::from_millis(if begins { slow } else { 0 });
            caches.iter().step_by(every).for_each(|c| self.tier.set_fault(c, slow, failing && begins));
        };
        let mut targets = Vec::new();
        match &moment.event.what {
            Fault::BulletinDown => self.discovery.iter().for_each(|l| l.set_available(!begins)),
            Fault::BulletinDies(bytes) => {
                self.discovery.iter().for_each(|l| l.set_close_after(if begins { *bytes } else { 0 }))
            }
            Fault::Kill(_) | Fault::KillAskers => {
                if begins {
                    targets = match &moment.event.what {
                        Fault::Kill(part) => self.pick_gateways(*part),
                        _ => self.discovery_clients(),
                    };
                    targets.iter().for_each(|&i| self.end(i));
                } else {
                    previous.iter().for_each(|&i| self.spawn(i));
                }
            }
            Fault::Stop(_) | Fault::StopAskers => {
                if begins {
                    targets = match &moment.event.what {
                        Fault::Stop(part) => self.pick_gateways(*part),
                        _ => self.discovery_clients(),
                    };
                    self.signal("STOP", &targets);
                    self.stopped.extend(&targets);
                } else {
                    self.signal("CONT", &previous);
                }
            }
            Fault::Cut(part) => {
                targets = if begins { self.pick_gateways(*part) } else { previous };
                let side: BTreeSet<usize> = targets.iter().copied().collect();
                self.switch.set_blocked(begins, |a, b| side.contains(&a) != side.contains(&b));
                self.discovery.iter().for_each(|l| l.set_unreachable(begins, |i| side.contains(&i)));
            }
            Fault::Deaf(i) => self.switch.set_blocked(begins, |_, to| to == *i),
            Fault::Lossy(part) => self
                .switch
                .set_conditions(|w| w.loss = if begins { *part } else { self.options.conditions.loss }),
            Fault::Bad(every) => set_faults(*every, 0, true),
            Fault::Slow(every, ms) => set_faults(*every, *ms, false),
            Fault::Roll => {}
            Fault::Purge => {
                if begins {
                    let object = self.pick_txn(true).1;
                    self.purge(object);
                }
            }
            Fault::Purges(_) | Fault::Rekey => {}
        }
        if begins {
            self.targets.insert(id, targets);
        }
    }

    fn purge(&mut self, object: u64) {
        let at = unix_ms();
        self.tier.purge(object, at);
        self.clients.pending.lock().unwrap().purges.entry(object).or_default().push(at);
        let stream = self.rng.random_range(0..self.discovery.len());
        self.discovery[stream].push("recall", json!({"item": format!("{object:016x}"), "issued": at}));
    }

    /// Advances an event that acts over its duration, from one fraction of the duration to another.
    fn advance(&mut self, event: &Event, from: f64, to: f64) {
        let (n, processes) = (self.options.gateways, self.processes.len());
        match event.what {
            Fault::Roll => {
                for tenth in (0..10).filter(|t| (from..to).contains(&(f64::from(*t) / 10.0))) {
                    let batch: Vec<usize> = (0..n).filter(|i| i % 10 == tenth as usize).collect();
                    self.signal("TERM", &batch);
                    self.rolling.extend(batch);
                }
            }
            Fault::Purges(rate) => {
                let purged_by = |part: f64| (part.clamp(0.0, 1.0) * event.lasts * rate) as u64;
                for _ in purged_by(from)..purged_by(to) {
                    let object =
                        self.rng.random_range(1..self.options.objects) * 2 + self.rng.random_range(0..2);
                    self.purge(object);
                }
            }
            Fault::Rekey => {
                let steps = [vec![key(1), key(2)], vec![key(2), key(1)], vec![key(2)]];
                for (s, keys) in steps.iter().enumerate() {
                    if (from..to).contains(&(s as f64 / 3.0)) {
                        for i in 0..processes {
                            self.fleet_configs[i]["keys"] = json!(keys);
                            let path =
                                self.options.folder.join(format!("{}.fleet.json", self.options.name(i)));
                            // Replaced atomically: a gateway may read the file at any time.
                            let part = path.with_extension("new");
                            let written = std::fs::write(&part, self.fleet_configs[i].to_string());
                            if let Err(why) = written.and_then(|()| std::fs::rename(&part, &path)) {
                                eprintln!("{}: {why}", path.display());
                            }
                        }
                        self.signal("HUP", &(0..processes).collect::<Vec<_>>());
                    }
                }
            }
            _ => {}
        }
    }

    fn restart_exited(&mut self) {
        let stopped = |p: &mut Option<Process>| p.as_mut().is_none_or(Process::has_exited);
        let (again, wait): (Vec<usize>, Vec<usize>) =
            std::mem::take(&mut self.rolling).into_iter().partition(|&i| stopped(&mut self.processes[i]));
        self.rolling = wait;
        for i in again {
            self.processes[i] = None;
            self.spawn(i);
        }
    }

    /// Picks a rule and an object. Object popularity is heavily skewed; `often` picks only among the popular ones.
    fn pick_txn(&mut self, often: bool) -> (usize, u64) {
        let kind: f64 = self.rng.random();
        let rank = if often { self.rng.random_range(0.0..0.3f64) } else { self.rng.random::<f64>() };
        let object = (self.options.objects as f64).powf(rank) as u64 * 2;
        match kind {
            k if k < 0.1 && !often => (BOOK, 1_000_000_000 + self.rng.random_range(0..1_000_000)),
            k if k < 0.6 => (MEDIA, object),
            _ => (RATES, object + 1),
        }
    }
}

fn roster_event(endpoints: &[crate::caches::CacheEndpoint], since_ms: u64) -> Value {
    let listed: Vec<Value> = endpoints
        .iter()
        .map(|endpoint| {
            let mut entry = fleet::endpoint(endpoint, "hub", "up");
            entry["since_ms"] = json!(since_ms);
            entry
        })
        .collect();
    json!({"no": 1, "roster": {"index": 0, "snapshot": true, "endpoints": listed}})
}

fn gateway_config(options: &Options, i: usize, roster: &Value) -> Value {
    let node = Node {
        name: &options.name(i),
        zone: "hub",
        discovery: fleet_discovery::address(0, i),
        endpoints: &[],
        memory_mb: options.memory_mb,
        seed: options.seed * 1_000 + i as u64,
    };
    let mut config = fleet::config(&node);
    config["listen"] = json!(client_address(i).to_string());
    // Without an installation gateways start without a list and receive it from the discovery service or from each
    // other. The feed carries no complete lists, so with an installation the list is part of the configuration.
    config["known"] = match options.installation {
        None => json!({"no": 0, "items": []}),
        Some(_) => json!({"no": 1, "items": [roster]}),
    };
    config["settings"]["Instances"] = json!(options.gateways);
    config["settings"]["FamilyInfo"]["CrewByZone"] = json!([options.gateways]);
    config
}

fn fleet_config(options: &Options, i: usize) -> Value {
    let (site, peers) = options.site(i.min(options.gateways - 1));
    let seeds: Vec<String> =
        peers.clone().take(3).map(|s| switch::advertised_address(s).to_string()).collect();
    // The capacity of a cache is shared by all sites, so each site gets its proportion of the limit.
    let site_part =
        |limit: Option<u32>| limit.map(|limit| (limit as usize * peers.len() / options.gateways).max(1));
    let foreign = (options.gateways - options.foreign..options.gateways).contains(&i);
    let mut file = json!({
        "fleet": "rig", "gateway": options.name(i), "listen": switch::bind_address(i).to_string(),
        "advertise": switch::advertised_address(i).to_string(), "seeds": seeds,
        "keys": [key(if foreign { 9 } else { 1 })],
        "members": {"expected": peers.len()},
        "relays": {"on": options.relays},
        "budgets": {"connections": site_part(options.connections), "fills": options.fills,
            "fills_at_cache": site_part(options.fills_at_cache)},
    });
    let Some(installation) = options.installation else { return file };
    let site_name = |site: usize| format!("site{site}");
    let hub = |h: usize| {
        let address = switch::advertised_address(options.gateways + h).to_string();
        json!({"name": options.name(options.gateways + h), "address": address, "public": hex(&hub_key_pair(h).1)})
    };
    let stream = |s: usize| {
        let address = fleet_discovery::address(s, i).to_string();
        json!({"name": format!("list{s}"), "address": address, "known": usize::from(s == 0)})
    };
    let streams: Vec<Value> = (0..installation.streams).map(stream).collect();
    let hubs: Vec<Value> = (0..installation.hubs).map(hub).collect();
    file["fleet"] = json!(site_name(site));
    file["feed"] = json!({"name": "rig", "site": site_name(site), "streams": streams, "hubs": hubs});
    if i >= options.gateways {
        let sites: Vec<String> = (0..installation.sites).map(site_name).collect();
        file["fleet"] = json!("control");
        file["seeds"] = json!([]);
        file["feed"]["site"] = json!("control");
        file["feed"]["control"] = json!({"name": options.name(i), "secret": hex(&hub_key_pair(i - options.gateways).0), "sites": sites});
    }
    file
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Seed and public key of a hub.
fn hub_key_pair(hub: usize) -> ([u8; 32], Vec<u8>) {
    let seed = [hub as u8 + 1; 32];
    let public = Ed25519KeyPair::from_seed_unchecked(&seed).map(|k| k.public_key().as_ref().to_vec());
    // Never empty: any 32 bytes are a valid seed.
    (seed, public.unwrap_or_default())
}

pub fn run(options: &Options) -> Result<Outcome, Box<dyn std::error::Error>> {
    std::fs::create_dir_all(&options.folder)?;
    if !options.subnet_reserved {
        switch::next_subnet();
    }
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let (stop, stopped): (Sender<()>, Receiver<()>) = async_channel::bounded(1);
    fleet_discovery::run_executor(&executor, 3, &stopped);
    let mut members: Vec<(String, &'static str)> =
        (0..options.caches).map(|c| (format!("c{c}"), "box")).collect();
    members.extend((0..options.parents).map(|p| (format!("p{p}"), "parent")));
    members.push(("o".to_owned(), "origin"));
    let ms = Duration::from_millis;
    let latencies = cache_tier::Latencies { hit: ms(3), fill: ms(8), origin: ms(60) };
    let (tier, endpoints) =
        CacheTier::start(&executor, &members, (latencies, options.cache_capacity), object_len)?;
    let (roster, processes) = (roster_event(&endpoints, unix_ms()), options.gateways + options.hubs());
    let start_discovery = |s: usize| {
        let first = if s == 0 { vec![roster.clone()] } else { Vec::new() };
        FleetDiscovery::start(&executor, (s, processes), options.discovery_capacity, first)
    };
    let discovery = (0..options.streams()).map(start_discovery).collect::<std::io::Result<Vec<_>>>()?;
    let switch = Switch::start(processes + options.extra_members, options.seed, options.conditions)?;
    let clients = Arc::new(Clients {
        start: Instant::now(),
        pending: Mutex::default(),
        report: Mutex::new(Report::new(&RULES)),
        first_response_at: Mutex::default(),
        started_at: Mutex::default(),
        stale: Mutex::default(),
    });
    let mut run = Run {
        options,
        processes: (0..processes).map(|_| None).collect(),
        configs: (0..processes).map(|i| gateway_config(options, i, &roster)).collect(),
        fleet_configs: (0..processes).map(|i| fleet_config(options, i)).collect(),
        discovery,
        tier,
        switch,
        clients: Arc::clone(&clients),
        rng: Pcg64Mcg::seed_from_u64(options.seed),
        targets: BTreeMap::new(),
        stopped: BTreeSet::new(),
        restarted: BTreeSet::new(),
        rolling: Vec::new(),
        crashed: 0,
        usage: BTreeMap::new(),
    };
    let mut requests = Vec::new();
    for i in 0..options.gateways {
        let (request, receiver) = async_channel::unbounded();
        executor.spawn(Arc::clone(&clients).run_connection(i, receiver)).detach();
        requests.push(request);
    }
    let mut order: Vec<usize> = (0..options.gateways).collect();
    order.shuffle(&mut run.rng);
    // Faults at second 0 are in effect before the first gateway connects.
    let mut moments = fleet_plan::moments(&options.plan).into_iter().peekable();
    while let Some(moment) = moments.next_if(|m| m.at <= 0.0 && m.begins) {
        run.apply(&moment);
    }
    let began = clients.now();
    (options.gateways..processes).chain(order).for_each(|i| run.spawn(i));
    let spawn_s = clients.now() - began;
    let (mut next, mut next_expiry, mut trace, mut last) = (clients.now(), 1.0, 0u64, 0.0);
    while clients.now() < options.seconds {
        let now = clients.now();
        while let Some(moment) = moments.next_if(|m| m.at <= now) {
            run.apply(&moment);
        }
        for event in options.plan.iter().filter(|e| e.lasts > 0.0) {
            let part = |t: f64| (t - event.at) / event.lasts;
            if part(now) >= 0.0 && part(last) < 1.0 {
                run.advance(event, part(last), part(now));
            }
        }
        run.restart_exited();
        last = now;
        if now >= next_expiry {
            next_expiry += 1.0;
            clients.expire(false);
        }
        while next <= clients.now() {
            next += -run.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / options.rate;
            trace += 1;
            let (rule, object) = run.pick_txn(false);
            let i = run.rng.random_range(0..options.gateways);
            // Cannot fail: the receiver lives as long as the run.
            _ = requests[i].try_send((rule, object, options.seed << 40 | trace));
        }
        thread::sleep(Duration::from_secs_f64((next - clients.now()).clamp(0.0, 0.005)));
    }
    drop(requests);
    let last = clients.now() + RULES[MEDIA].limit_s + CLIENT_GRACE_S + SCHEDULING_GRACE_S + 0.2;
    while clients.now() < last && !clients.pending.lock().unwrap().open.is_empty() {
        thread::sleep(Duration::from_millis(20));
        clients.expire(false);
    }
    clients.expire(true);
    let live: Vec<usize> = (0..processes).filter(|&i| run.processes[i].is_some()).collect();
    let counters_at_s = clients.now();
    run.signal("USR1", &live);
    let counters_of = |p: &Process| {
        let log = p.log();
        log.lines().rfind(|l| l.contains("now: clients")).map(fleet::counters).unwrap_or_default()
    };
    let wait = Instant::now();
    let (counters, hub_counters) = loop {
        thread::sleep(Duration::from_millis(200));
        let (gateways, hubs) = run.processes.split_at(options.gateways);
        let read_all =
            |group: &[Option<Process>]| group.iter().flatten().map(counters_of).collect::<Vec<_>>();
        let counters = (read_all(gateways), read_all(hubs));
        if counters.0.iter().chain(&counters.1).all(|c| !c.is_empty())
            || wait.elapsed() > Duration::from_secs(10)
        {
            break counters;
        }
    };
    (0..processes).for_each(|i| run.end(i));
    let mut report = std::mem::replace(&mut *clients.report.lock().unwrap(), Report::new(&RULES));
    report.record_executions(&run.tier.executions());
    let stale = clients.stale.lock().unwrap();
    // With hundreds of processes on a few cores the machine delays purges too; its grace is separate from the
    // gateways'.
    let late = options.propagation_ms + PURGE_GRACE_MS + (SCHEDULING_GRACE_S * 1e3) as u64;
    report.violations.stale = stale.iter().filter(|(_, after)| *after > late).count() as u64;
    let mut after: Vec<u64> = stale.iter().map(|s| s.1).collect();
    after.sort_unstable();
    let after_purge = {
        let pending = clients.pending.lock().unwrap();
        AfterPurge {
            purges: pending.purges.values().map(Vec::len).sum(),
            reads: pending.after_purge,
            copies: after.len(),
            p99_ms: after.get(after.len() * 99 / 100).copied().unwrap_or(0),
            latest_ms: after.last().copied().unwrap_or(0),
        }
    };
    let (first, started) = (clients.first_response_at.lock().unwrap(), clients.started_at.lock().unwrap());
    let to_first = |again: bool| {
        let selected = first.iter().filter(|(i, _)| run.restarted.contains(i) == again);
        let mut seconds: Vec<f64> =
            selected.filter_map(|(i, at)| Some(at - started.get(i)?)).filter(|s| *s >= 0.0).collect();
        seconds.sort_by(f64::total_cmp);
        (seconds.get(seconds.len() / 2).copied().unwrap_or(-1.0), seconds.last().copied().unwrap_or(-1.0))
    };
    let (first_served_s, first_served_again_s) = (to_first(false), to_first(true));
    let served_95_at_s = (0..options.seconds as usize).find(|&s| report.share(s, s + 2) >= 0.95);
    drop(stop);
    Ok(Outcome {
        served_95_at_s,
        first_served_s,
        first_served_again_s,
        spawn_s,
        lost: clients.pending.lock().unwrap().lost,
        after_purge,
        discovery: run.discovery[0].counts(),
        discovery_by_stream: run.discovery.iter().map(|l| (l.last_event_no(), l.counts())).collect(),
        caches: run.tier.counts(),
        fetches: run.tier.fetches(),
        usage: run.usage.range(..options.gateways).map(|u| *u.1).collect(),
        counters,
        counters_at_s,
        hub_usage: run.usage.range(options.gateways..).map(|u| *u.1).collect(),
        hub_counters,
        crashed: run.crashed,
        stopped: run.stopped.clone(),
        report,
    })
}

/// Mean and maximum of a counter over the processes.
fn mean_and_max(processes: &[BTreeMap<String, f64>], name: &str) -> (f64, f64) {
    let values: Vec<f64> = processes.iter().filter_map(|c| c.get(name).copied()).collect();
    let sum: f64 = values.iter().sum();
    (sum / values.len().max(1) as f64, values.iter().copied().fold(0.0, f64::max))
}

/// The results as `--json` writes them.
pub fn json(options: &Options, outcome: &Outcome) -> Value {
    let kind = |c: char| {
        let values: Vec<&cache_tier::Counts> =
            outcome.caches.iter().filter(|(n, _)| n.starts_with(c)).map(|(_, c)| c).collect();
        let max = |f: fn(&cache_tier::Counts) -> usize| values.iter().map(|c| f(c)).max().unwrap_or(0);
        json!({
            "most_connections": max(|c| c.most_connections), "most_cold_fills": max(|c| c.most_cold_fills),
            "fallen": values.iter().map(|c| c.fallen).sum::<u64>(),
            "connections": values.iter().map(|c| c.connections).sum::<u64>(),
        })
    };
    let names = [
        "fleet members live",
        "fleet bytes in",
        "fleet bytes out",
        "fleet datagrams out",
        "fleet suspected",
        "fleet held gone",
        "fleet falsely gone",
        "fleet depth",
        "fleet bulletin asked",
        "fleet lies",
        "fleet disputes",
        "fleet fetches failed",
        "fleet units wanted",
        "fleet units lent",
        "fleet units fair",
        "fleet units refused",
        "fleet units free",
        "fleet list age us",
        "names of purges kept",
        "purges kept",
        "fleet feed bundles",
        "fleet feed bytes in",
        "fleet feed bytes out",
        "fleet feed contacts",
        "fleet feed copies",
        "fleet feed datagrams in",
        "fleet feed datagrams out",
        "fleet feed dropped",
        "fleet feed fetches",
        "fleet feed gaps purged",
        "fleet feed hubs left",
        "fleet feed is contact",
        "fleet feed lacked",
        "fleet feed list services asked",
        "fleet feed numbers missing",
        "fleet feed oldest age us",
        "fleet feed provisional",
        "fleet feed purges",
        "fleet feed repaired",
    ];
    let summary = |values: &[BTreeMap<String, f64>]| -> serde_json::Map<String, Value> {
        let is_present = |n: &&&str| values.iter().any(|c| c.contains_key(**n));
        let one = |n: &&str| {
            let (mean, max) = mean_and_max(values, n);
            (n.to_string(), json!({"mean": mean, "most": max}))
        };
        names.iter().filter(is_present).map(one).collect()
    };
    let bytes_per_s = |direction: &str| {
        let all = |c: &BTreeMap<String, f64>| {
            let values = |what: &str| c.get(&format!("{what} {direction}")).copied().unwrap_or(0.0);
            (values("fleet bytes") + values("fleet feed bytes")) / outcome.counters_at_s
        };
        let all = outcome.counters.iter().map(all);
        let (sum, max) = all.fold((0.0, 0.0f64), |(sum, max), n| (sum + n, max.max(n)));
        json!({"mean": sum / outcome.counters.len().max(1) as f64, "most": max})
    };
    let streams = || -> Vec<Value> {
        let one = |(s, (last, counts)): (usize, &(u64, fleet_discovery::Counts))| {
            let done = |what: &str| {
                let all = outcome.hub_counters.iter();
                all.filter_map(|c| c.get(&format!("fleet feed done {what} {s}")).copied()).collect::<Vec<_>>()
            };
            json!({"last": last, "asked": counts, "done_in_touch": done("in touch"),
                "done_everywhere": done("everywhere")})
        };
        outcome.discovery_by_stream.iter().enumerate().map(one).collect()
    };
    let n = outcome.usage.len().max(1) as f64;
    json!({
        "gateways": options.gateways, "seconds": options.seconds, "seed": options.seed, "rate": options.rate, "fleet": options.fleet,
        "relays": options.relays, "connections": options.connections, "fills": options.fills, "fills_at_cache": options.fills_at_cache,
        "plan": options.plan, "bulletin": outcome.discovery, "caches": kind('c'), "parents": kind('p'),
        "fetches_of_an_object": {"mean": outcome.fetches.0, "most": outcome.fetches.1, "objects": outcome.fetches.2},
        "served_0.95_at_s": outcome.served_95_at_s, "first_served_s": outcome.first_served_s,
        "first_served_again_s": outcome.first_served_again_s, "started_over_s": outcome.spawn_s, "lost": outcome.lost, "crashed": outcome.crashed,
        "after_purge": outcome.after_purge,
        "cpu_s": {"mean": outcome.usage.iter().map(|u| u.cpu_s).sum::<f64>() / n,
            "most": outcome.usage.iter().map(|u| u.cpu_s).fold(0.0, f64::max)},
        "peak_mb": outcome.usage.iter().map(|u| u.peak_mb).fold(0.0, f64::max),
        "control_bytes_a_second": {"in": bytes_per_s("in"), "out": bytes_per_s("out")},
        "installation": options.installation.map(|all| json!({"size": all, "streams": streams(),
            "hubs": {"counters": summary(&outcome.hub_counters),
                "cpu_s": outcome.hub_usage.iter().map(|u| u.cpu_s).collect::<Vec<_>>(),
                "peak_mb": outcome.hub_usage.iter().map(|u| u.peak_mb).collect::<Vec<_>>()}})),
        "counters": summary(&outcome.counters), "report": outcome.report.json(),
    })
}

/// The results as a table for the terminal.
pub fn table(options: &Options, outcome: &Outcome) -> String {
    let results = json(options, outcome);
    let mut out = outcome.report.table();
    let mut line = |what: &str, text: String| out.push_str(&format!("{what:44} {text}\n"));
    line("gateways, spawned over s", format!("{}, {:.2}", options.gateways, outcome.spawn_s));
    let served = outcome.served_95_at_s.map_or("not in this run".to_owned(), |s| format!("{s} s"));
    line("0.95 of importance served from", served);
    let (median, max) = outcome.first_served_s;
    line("first served after a start, median, most s", format!("{median:.2}, {max:.2}"));
    if outcome.first_served_again_s.1 >= 0.0 {
        let (median, max) = outcome.first_served_again_s;
        line("the same for those started again", format!("{median:.2}, {max:.2}"));
    }
    let b = &outcome.discovery;
    line(
        "bulletin: connections, most at once, a second",
        format!("{}, {}, {}", b.connections, b.most_at_once, b.most_in_a_second),
    );
    line(
        "bulletin: lines, KB, refused, longest wait ms",
        format!("{}, {}, {}, {}", b.lines, b.bytes / 1024, b.refused, b.longest_wait_ms),
    );
    for (name, kind) in [("caches", "caches"), ("parents", "parents")] {
        let k = &results[kind];
        line(
            &format!("{name}: most connections, cold fills, fallen"),
            format!("{}, {}, {}", k["most_connections"], k["most_cold_fills"], k["fallen"]),
        );
    }
    let (mean, max, n) = outcome.fetches;
    line("store: fetches of an object, mean, most, of", format!("{mean:.2}, {max}, {n}"));
    let p = &outcome.after_purge;
    line("purges told, reads soon after one", format!("{}, {}", p.purges, p.reads));
    line(
        "copies older than a purge, p99, latest ms after",
        format!("{}, {}, {}", p.copies, p.p99_ms, p.latest_ms),
    );
    line("txns that lost their gateway or found none", outcome.lost.to_string());
    line(
        "CPU of a gateway, mean, most s; memory MB",
        format!(
            "{:.2}, {:.2}; {:.1}",
            results["cpu_s"]["mean"].as_f64().unwrap_or(0.0),
            results["cpu_s"]["most"].as_f64().unwrap_or(0.0),
            results["peak_mb"].as_f64().unwrap_or(0.0)
        ),
    );
    let mean_and_max = |value: &Value| {
        format!("{:.1}, {:.0}", value["mean"].as_f64().unwrap_or(0.0), value["most"].as_f64().unwrap_or(0.0))
    };
    if options.fleet {
        for (direction, value) in results["control_bytes_a_second"].as_object().into_iter().flatten() {
            line(&format!("control bytes {direction} a second, mean, most"), mean_and_max(value));
        }
        for (name, value) in results["counters"].as_object().into_iter().flatten() {
            line(&format!("{name}, mean, most"), mean_and_max(value));
        }
    }
    let hubs = &results["installation"]["hubs"];
    for (s, stream) in results["installation"]["streams"].as_array().into_iter().flatten().enumerate() {
        let event_nos =
            format!("{}, {}, {}", stream["last"], stream["done_in_touch"], stream["done_everywhere"]);
        line(&format!("stream {s}: last, hubs' done in touch, everywhere"), event_nos);
        let receiver = &stream["asked"];
        line(
            &format!("stream {s}: connections, most at once, KB"),
            format!(
                "{}, {}, {}",
                receiver["connections"],
                receiver["most_at_once"],
                receiver["bytes"].as_u64().unwrap_or(0) / 1024
            ),
        );
    }
    for (name, value) in hubs["counters"].as_object().into_iter().flatten() {
        line(&format!("hubs: {name}, mean, most"), mean_and_max(value));
    }
    if options.installation.is_some() {
        line("hubs: CPU s; memory MB", format!("{}; {}", hubs["cpu_s"], hubs["peak_mb"]));
    }
    if outcome.crashed > 0 {
        line("gateways that ended by themselves or panicked", format!("{}  BROKEN", outcome.crashed));
    }
    out
}

/// Whether violations or crashes fail the run. If gateways were suspended, unanswered and late txns are not counted,
/// as those are expected.
pub fn failed(outcome: &Outcome) -> bool {
    let mut violations = outcome.report.violations.clone();
    if !outcome.stopped.is_empty() {
        (violations.unanswered, violations.answered_late) = (0, 0);
    }
    violations.any() || outcome.crashed > 0
}
