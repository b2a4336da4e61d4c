//! A run between two sites ("near" and "far" in configurations and results): local and remote gateways as processes,
//! simulated caches and an origin at the remote site, emulated links with a fault plan, purges, and open-loop clients
//! at the local site that measure every response.

use crate::caches::{CacheEndpoint, Latencies, Site, copy_created_ms, unix_ms};
use crate::client::{self, Request, Status};
use crate::discovery::DiscoveryServer;
use crate::fleet::{self, Gateway, Node, ResourceUsage};
use crate::keys::Authority;
use crate::link_emulator::LinkConditions;
use crate::plan::{Event, Fault, Moment, Plan};
use crate::relay::Relay;
use crate::report::{End, Report, Rule};
use crate::switch::{self, Switch};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The remap rules; they match the ones in [`fleet::config`].
pub const RULES: [Rule; 3] = [
    Rule { name: "media", importance: 2.0, sla_s: 0.5, stretch: 1.6, limit_s: 6.0, write: false },
    Rule { name: "rates", importance: 1.0, sla_s: 0.4, stretch: 2.0, limit_s: 2.5, write: false },
    Rule { name: "book", importance: 3.0, sla_s: 0.8, stretch: 0.0, limit_s: 3.0, write: true },
];
pub const MEDIA: usize = 0;
pub const RATES: usize = 1;
pub const BOOK: usize = 2;
/// Seconds that the client and its machine may add to the time limit.
pub const CLIENT_GRACE_S: f64 = 0.05;
/// Milliseconds after a purge during which older copies may still be served.
pub const PURGE_GRACE_MS: u64 = 500;
/// KB of need, as the settings count it, for each KB of body on the socket.
pub const NEED_KB_PER_BODY_KB: f64 = 4.0;
/// Equals `ClientKbPerS` of the gateways' settings.
pub const CLIENT_KB_PER_S: f64 = 5_000.0;
/// Client connections, distributed over the local gateways.
const CONNECTIONS: usize = 12;

/// Where the remote gateways keep their ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ledger {
    /// The outcome of a lost hop is never asked for.
    None,
    Memory,
    Disk,
    /// Replicated over several remote gateways.
    Copies {
        copies: usize,
        groups: u32,
        zones: usize,
        disk: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Options {
    /// Number of local gateways, each with links of its own.
    pub local_gateways: usize,
    /// Conditions of the network between remote gateways, which carries the replication traffic.
    pub replica_link: LinkConditions,
    pub seconds: f64,
    pub seed: u64,
    /// Conditions of the links between the sites.
    pub conditions: LinkConditions,
    pub plan: Plan,
    pub remote_gateways: usize,
    /// Links to each remote gateway.
    pub links: usize,
    /// Txns per second.
    pub rate: f64,
    /// Fractions of txns under the rules media and book.
    pub media_share: f64,
    pub book_share: f64,
    /// Number of objects that clients request.
    pub objects: u64,
    pub ledger: Ledger,
    pub carrier: &'static str,
    pub congestion: &'static str,
    /// Interval between purges; 0 means none.
    pub purge_every_s: f64,
    /// Delay until the remote site receives a purge.
    pub purge_delay_s: f64,
    pub program: PathBuf,
    pub folder: PathBuf,
    pub memory_mb: u64,
}

/// Length of an object in bytes: media (even numbers) 8 KB to 235 KB, rates 1 KB to 20 KB. Each size is half as
/// frequent as half that size.
pub fn object_len(object: u64) -> usize {
    let spread = |low: f64, high: f64| {
        let unit = (object.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64;
        (low / (1.0 - unit * (1.0 - low / high))) as usize
    };
    if object & 1 == 0 { spread(8_000.0, 235_000.0) } else { spread(1_000.0, 20_000.0) }
}

struct PendingTxn {
    rule: usize,
    trace: u64,
    object: u64,
    /// Time of sending, in seconds of the run.
    at: f64,
    unix_ms: u64,
    sla_s: f64,
    answered: bool,
}

#[derive(Default)]
struct Pending {
    open: BTreeMap<(usize, u64), PendingTxn>,
    /// Purge times (Unix ms) of objects, as published to the local gateways.
    purges: BTreeMap<u64, u64>,
}

struct Clients {
    start: Instant,
    pending: Mutex<Pending>,
    report: Mutex<Report>,
    stopping: AtomicBool,
}

impl Clients {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn read_responses(&self, connection: usize, mut stream: TcpStream) {
        use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
        let (mut buffer, mut bytes) = (Vec::new(), vec![0; 256 * 1024]);
        while !self.stopping.load(Ordering::Relaxed) {
            let n = match stream.read(&mut bytes) {
                Ok(0) => return,
                Ok(n) => n,
                Err(e) if matches!(e.kind(), WouldBlock | TimedOut | Interrupted) => continue,
                Err(_) => return,
            };
            buffer.extend_from_slice(&bytes[..n]);
            let now = self.now();
            let mut used = 0;
            loop {
                match client::decode_response(&buffer[used..]) {
                    Ok(Some((response, n))) => {
                        used += n;
                        self.record_response(connection, &response, now);
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

    fn record_response(&self, connection: usize, response: &client::Response, now: f64) {
        let mut pending = self.pending.lock().unwrap();
        let Some(txn) = pending.open.get_mut(&(connection, response.id)) else { return };
        let mut report = self.report.lock().unwrap();
        if txn.answered {
            report.violations.answered_twice += 1;
            return;
        }
        txn.answered = true;
        let (latency, rule) = (now - txn.at, &RULES[txn.rule]);
        if latency > rule.limit_s + CLIENT_GRACE_S {
            report.violations.answered_late += 1;
        }
        let end = match response.status {
            Status::Served => End::Served,
            Status::Rejected => End::Rejected,
            Status::Failed => End::Aborted,
        };
        report.record_end(txn.rule, txn.trace, txn.at, txn.sla_s, end, latency);
        if end == End::Served && !rule.write {
            report.bytes += response.body.len() as u64;
            let (object, sent_at_ms) = (txn.object, txn.unix_ms);
            match copy_created_ms(object, &response.body) {
                None => report.violations.damaged += 1,
                Some(_) if response.body.len() != object_len(object) => report.violations.damaged += 1,
                Some(created_ms) => {
                    let purged = pending.purges.get(&object).copied();
                    let stale = purged.is_some_and(|at| sent_at_ms > at + PURGE_GRACE_MS && created_ms < at);
                    report.violations.stale += u64::from(stale);
                }
            }
        }
    }

    /// Reports txns that are unanswered past their time limit (or all, at the end), and drops entries of answered
    /// ones.
    fn expire(&self, all: bool) {
        let now = self.now();
        let mut pending = self.pending.lock().unwrap();
        let mut report = self.report.lock().unwrap();
        pending.open.retain(|_, txn| {
            let deadline = txn.at + RULES[txn.rule].limit_s + CLIENT_GRACE_S;
            if !txn.answered && (now > deadline + 0.5 || all) {
                report.record_end(txn.rule, txn.trace, txn.at, txn.sla_s, End::Unanswered, now - txn.at);
                return false;
            }
            now < deadline + 5.0 && !(all && txn.answered)
        });
    }
}

/// Results of a run.
pub struct Outcome {
    pub report: Report,
    pub local_usage: Vec<ResourceUsage>,
    pub remote_usage: Vec<ResourceUsage>,
    pub counters: Vec<(String, String)>,
    /// Forwarded and lost datagrams of each link, outbound and return.
    pub links: Vec<[(u64, u64); 2]>,
    pub origin_fills: u64,
    pub crashed: bool,
    pub purges: usize,
    /// Seconds from the loss of a leader to its successor, for each group that it led; ascending.
    pub leaderless_s: Vec<f64>,
    /// Number of remote gateways lost with their disks.
    pub wiped: usize,
}

/// The simulated servers of the remote site.
struct RemoteSite {
    site: Arc<Site>,
    discovery: DiscoveryServer,
    endpoints: Vec<CacheEndpoint>,
}

fn start_remote_site() -> Result<RemoteSite, fleet::StartError> {
    let ms = Duration::from_millis;
    let site = Site::new(Latencies { hit: ms(3), fill: ms(8), origin: ms(30) }, object_len);
    let mut endpoints = Vec::new();
    for (name, kind) in
        [("e1", "box"), ("e2", "box"), ("e3", "box"), ("p1", "parent"), ("p2", "parent"), ("o", "origin")]
    {
        endpoints.push(site.start_member(name, kind)?);
    }
    Ok(RemoteSite { site, discovery: DiscoveryServer::start(1)?, endpoints })
}

fn sites_config(options: &Options, site: &str, gateway: &str, rest: Value) -> Value {
    let path = |name: &str| options.folder.join(name).display().to_string();
    let mut config = json!({
        "site": site, "gateway": gateway,
        "keys": {"certificate": path(&format!("{site}.pem")), "key": path(&format!("{site}.key")),
            "roots": path("roots.pem")},
        "importance": {"book": 9, "rates": 5, "media": 2},
        "carrier": options.carrier, "congestion": options.congestion,
        "limits": {"ask": options.ledger != Ledger::None},
    });
    if let (Some(config), Value::Object(rest)) = (config.as_object_mut(), rest) {
        config.extend(rest);
    }
    config
}

struct RemoteGateway {
    gateway: Option<Gateway>,
    config: Value,
    sites: Value,
    copies: Option<Value>,
    /// File of the ledger on disk, if there is one.
    disk: Option<PathBuf>,
    used: ResourceUsage,
    /// When this gateway, over all its starts, became leader of which group.
    leadership: Vec<(Instant, u32)>,
    killed_at: Vec<Instant>,
    crashed: bool,
}

impl RemoteGateway {
    fn start(&mut self, options: &Options) -> Result<(), fleet::StartError> {
        let (sites, copies) = (Some(&self.sites), self.copies.as_ref());
        self.gateway =
            Some(Gateway::start_with(&options.program, &options.folder, &self.config, sites, copies)?);
        Ok(())
    }

    fn groups_led(&self) -> f64 {
        let Some(gateway) = &self.gateway else { return 0.0 };
        fleet::counters(&gateway.counters()).get("copies led").copied().unwrap_or(0.0)
    }

    fn kill(&mut self) {
        if let Some(mut gateway) = self.gateway.take() {
            let used = gateway.resource_usage();
            self.used.cpu_s += used.cpu_s;
            self.used.peak_mb = self.used.peak_mb.max(used.peak_mb);
            self.crashed |= gateway.has_exited();
            self.killed_at.push(Instant::now());
            gateway.kill();
            self.leadership.extend(gateway.leadership());
        }
    }
}

pub fn run(options: &Options) -> Result<Outcome, Box<dyn std::error::Error>> {
    std::fs::create_dir_all(&options.folder)?;
    let authority = Authority::new()?;
    authority.write(&options.folder, "near")?;
    authority.write(&options.folder, "far")?;
    let remote_site = start_remote_site()?;
    let local_discovery = DiscoveryServer::start(1)?;
    let mut replica_switch = None;
    if matches!(options.ledger, Ledger::Copies { .. }) {
        switch::next_subnet();
        replica_switch = Some(Switch::start(options.remote_gateways, options.seed, options.replica_link)?);
    }
    let (mut remotes, mut relays) = (Vec::new(), Vec::new());
    let mut peers = vec![Vec::new(); options.local_gateways];
    for i in 0..options.remote_gateways {
        let name = format!("far-{i}");
        let listen = fleet::free_udp_address()?;
        let disk = (options.ledger == Ledger::Disk).then(|| options.folder.join(format!("{name}.redb")));
        let ledger = disk.as_ref().map_or(json!({}), |path| json!({"file": path.display().to_string()}));
        let node = Node {
            name: &name,
            zone: "hub",
            discovery: remote_site.discovery.address,
            endpoints: &remote_site.endpoints,
            memory_mb: options.memory_mb,
            seed: options.seed + i as u64 + 1,
        };
        let rest = json!({"listen": listen.to_string(), "accept": ["near"], "ledger": ledger});
        let mut remote = RemoteGateway {
            gateway: None,
            config: fleet::config(&node),
            sites: sites_config(options, "far", &name, rest),
            copies: copies_config(options, i),
            disk,
            used: ResourceUsage::default(),
            leadership: Vec::new(),
            killed_at: Vec::new(),
            crashed: false,
        };
        remote.start(options)?;
        remotes.push(remote);
        for (local, peers) in peers.iter_mut().enumerate() {
            for link in 0..options.links {
                let seed =
                    options.seed * 31 + ((local * options.remote_gateways + i) * options.links + link) as u64;
                let relay = Relay::start(listen, seed, options.conditions)?;
                peers.push(
                    json!({"name": format!("{name}-{link}"), "site": "far", "address": relay.address.to_string(),
                    "as": ["parent", "origin"], "size": 64.0}),
                );
                relays.push((i, relay));
            }
        }
    }
    let mut locals = Vec::new();
    for (i, peers) in peers.iter().enumerate() {
        let name = format!("near-{i}");
        let node = Node {
            name: &name,
            zone: "branch",
            discovery: local_discovery.address,
            endpoints: &[],
            memory_mb: options.memory_mb,
            seed: options.seed + 1_000 * i as u64,
        };
        let sites = sites_config(options, "near", &name, json!({"peers": peers}));
        locals.push(Gateway::start(&options.program, &options.folder, &fleet::config(&node), Some(&sites))?);
    }
    locals.iter().zip(&peers).for_each(|(local, peers)| wait_for_links(local, peers.len()));
    let clients = Arc::new(Clients {
        start: Instant::now(),
        pending: Mutex::default(),
        report: Mutex::new(Report::new(&RULES)),
        stopping: AtomicBool::new(false),
    });
    let mut streams = Vec::new();
    for connection in 0..CONNECTIONS {
        let stream = TcpStream::connect(locals[connection % locals.len()].address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(200)))?;
        let (receiver, reads) = (Arc::clone(&clients), stream.try_clone()?);
        thread::spawn(move || receiver.read_responses(connection, reads));
        streams.push((stream, 0u32));
    }
    let env = Environment {
        relays: &relays,
        replica_switch: replica_switch.as_ref(),
        remote_site: &remote_site,
        local_discovery: &local_discovery,
    };
    let (purges, wiped) = run_workload(options, &clients, &mut streams, &mut remotes, &env);
    // Waits until the last txns have passed their time limits.
    thread::sleep(Duration::from_secs_f64(RULES[MEDIA].limit_s + CLIENT_GRACE_S + 0.6));
    clients.expire(true);
    clients.stopping.store(true, Ordering::Relaxed);
    let mut counters: Vec<_> = locals.iter().map(|local| (local.name.clone(), local.counters())).collect();
    let alive = |g: &Option<Gateway>| g.as_ref().map(|g| (g.name.clone(), g.counters()));
    counters.extend(remotes.iter().filter_map(|f| alive(&f.gateway)));
    let used = locals.iter().map(Gateway::resource_usage).collect();
    let mut crashed = locals.iter_mut().any(Gateway::has_exited);
    let ended = Instant::now();
    remotes.iter_mut().for_each(RemoteGateway::kill);
    crashed |= remotes.iter().any(|remote| remote.crashed);
    remote_site.site.stop();
    let mut report = std::mem::replace(&mut *clients.report.lock().unwrap(), Report::new(&RULES));
    report.record_executions(&remote_site.site.executions.lock().unwrap());
    Ok(Outcome {
        report,
        local_usage: used,
        remote_usage: remotes.iter().map(|f| f.used).collect(),
        counters,
        links: relays.iter().map(|(_, relay)| relay.counts()).collect(),
        origin_fills: remote_site.site.origin_fills.load(Ordering::Relaxed),
        crashed,
        purges,
        leaderless_s: leaderless_times(&remotes, ended),
        wiped,
    })
}

/// How long groups had no leader after theirs was killed, in seconds; only kills before the end of the run count.
fn leaderless_times(remotes: &[RemoteGateway], ended: Instant) -> Vec<f64> {
    let mut leadership: Vec<(Instant, u32, usize)> = remotes
        .iter()
        .enumerate()
        .flat_map(|(i, f)| f.leadership.iter().map(move |&(at, group)| (at, group, i)))
        .collect();
    leadership.sort();
    let mut gaps = Vec::new();
    for (i, remote) in remotes.iter().enumerate() {
        for &killed in remote.killed_at.iter().filter(|at| **at < ended) {
            let groups: std::collections::BTreeSet<u32> = leadership.iter().map(|l| l.1).collect();
            for group in groups {
                let in_group = |l: &&(Instant, u32, usize)| l.1 == group;
                let last = leadership.iter().filter(in_group).rfind(|l| l.0 < killed);
                let next = leadership.iter().filter(in_group).find(|l| l.0 >= killed);
                if let (Some(_), Some(next)) = (last.filter(|l| l.2 == i), next) {
                    gaps.push((next.0 - killed).as_secs_f64());
                }
            }
        }
    }
    gaps.sort_by(f64::total_cmp);
    gaps
}

/// Folder of the replicated log of remote gateway `i`.
fn replica_log_dir(options: &Options, i: usize) -> PathBuf {
    options.folder.join(format!("far-{i}-notes"))
}

fn copies_config(options: &Options, i: usize) -> Option<Value> {
    let Ledger::Copies { copies, groups, zones, disk } = options.ledger else { return None };
    let disk = disk.then(|| replica_log_dir(options, i));
    let replica = |i: usize| json!({"name": format!("far-{i}"), "address": switch::advertised_address(i).to_string(), "zone": format!("z{}", i % zones.max(1))});
    Some(json!({
        "gateway": format!("far-{i}"), "listen": switch::bind_address(i).to_string(), "copies": copies, "groups": groups,
        "holders": (0..options.remote_gateways).map(replica).collect::<Vec<_>>(), "disk": disk,
    }))
}

/// The emulated networks and simulated servers around the gateways.
struct Environment<'a> {
    /// Each relay with the number of the remote gateway to which it leads.
    relays: &'a [(usize, Relay)],
    replica_switch: Option<&'a Switch>,
    remote_site: &'a RemoteSite,
    local_discovery: &'a DiscoveryServer,
}

fn wait_for_links(local: &Gateway, links: usize) {
    let started = Instant::now();
    let up = |local: &Gateway| {
        local.log().iter().filter(|l| l.contains("stands") || l.contains(") is up")).count()
    };
    while up(local) < links && started.elapsed() < Duration::from_secs(5) {
        thread::sleep(Duration::from_millis(10));
    }
    // Time for the first heartbeats.
    thread::sleep(Duration::from_millis(400));
}

/// Applies the fault plan and generates an open-loop workload: txns are sent on schedule no matter how the gateways
/// respond. Returns the numbers of purges and of wiped gateways.
fn run_workload(
    options: &Options,
    clients: &Clients,
    streams: &mut [(TcpStream, u32)],
    remotes: &mut [RemoteGateway],
    env: &Environment,
) -> (usize, usize) {
    let (remote_site, local_discovery) = (env.remote_site, env.local_discovery);
    let mut faults = ActiveFaults::default();
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut moments = options.plan.moments().into_iter().peekable();
    let (mut next, mut next_purge, mut next_expiry) = (0.0, options.purge_every_s, 1.0);
    let (mut late_purges, mut purges, mut trace) = (Vec::<(f64, u64, u64)>::new(), 0, 0u64);
    while clients.now() < options.seconds {
        let now = clients.now();
        while let Some(moment) = moments.next_if(|m| m.at <= now) {
            faults.apply(options, &moment, remotes, env);
        }
        if options.purge_every_s > 0.0 && now >= next_purge {
            next_purge += options.purge_every_s;
            purges += 1;
            // A frequently requested object.
            let object = pick_txn(options, &mut rng, true).1;
            let at = unix_ms();
            local_discovery.purge(object, at);
            remote_site.site.purges.lock().unwrap().insert(object, at);
            clients.pending.lock().unwrap().purges.insert(object, at);
            late_purges.push((now + options.purge_delay_s, object, at));
        }
        late_purges.retain(|&(due, object, at)| {
            if due <= now {
                remote_site.discovery.purge(object, at);
            }
            due > now
        });
        if now >= next_expiry {
            next_expiry += 1.0;
            clients.expire(false);
        }
        while next <= clients.now() {
            next += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / options.rate;
            trace += 1;
            let (rule, object) = pick_txn(options, &mut rng, false);
            let at = (trace as usize) % streams.len();
            send_request(clients, at, &mut streams[at], rule, object, options.seed << 40 | trace);
        }
        let wait = (next - clients.now()).clamp(0.0, 0.005);
        thread::sleep(Duration::from_secs_f64(wait));
    }
    (purges, faults.wiped)
}

/// Picks a rule and an object. Object popularity is heavily skewed; `often` picks only among the popular ones.
fn pick_txn(options: &Options, rng: &mut Pcg64Mcg, often: bool) -> (usize, u64) {
    let kind: f64 = rng.random();
    let rank = if often { rng.random_range(0.0..0.3f64) } else { rng.random::<f64>() };
    let object = (options.objects as f64).powf(rank) as u64 * 2;
    match kind {
        k if k < options.book_share && !often => (BOOK, 1_000_000_000 + rng.random_range(0..1_000_000)),
        k if k < options.book_share + options.media_share => (MEDIA, object),
        _ => (RATES, object + 1),
    }
}

fn send_request(
    clients: &Clients,
    connection: usize,
    stream: &mut (TcpStream, u32),
    rule: usize,
    object: u64,
    trace: u64,
) {
    stream.1 += 1;
    let (r, id) = (&RULES[rule], stream.1);
    let need_kb = if r.write { 1.0 } else { object_len(object) as f64 / 1024.0 * NEED_KB_PER_BODY_KB };
    let body: &[u8] = if r.write { b"two nights" } else { b"" };
    let timeout_ms = (r.limit_s * 1e3) as u64;
    let bytes =
        client::encode_request(&Request { id, rule: r.name, trace, object, timeout_ms, need_kb, body });
    let sla_s = r.sla_s + r.stretch * need_kb / CLIENT_KB_PER_S;
    let key = (connection, u64::from(id));
    let txn = |at| PendingTxn { rule, trace, object, at, unix_ms: unix_ms(), sla_s, answered: false };
    clients.pending.lock().unwrap().open.insert(key, txn(clients.now()));
    if stream.0.write_all(&bytes).is_ok() {
        // Latency counts from the last byte. The response may have been recorded already; its latency stays as it is.
        if let Some(txn) = clients.pending.lock().unwrap().open.get_mut(&key) {
            txn.at = clients.now();
        }
    }
}

/// Events of the plan that are in effect, with their targets: those are selected at the beginning of an event and
/// needed again at its end.
#[derive(Default)]
struct ActiveFaults {
    targets: Vec<(Event, Vec<usize>)>,
    wiped: usize,
}

impl ActiveFaults {
    fn apply(
        &mut self,
        options: &Options,
        moment: &Moment,
        remotes: &mut [RemoteGateway],
        env: &Environment,
    ) {
        let (begins, fault) = (moment.begins, &moment.event.what);
        let matches_link = |i: usize| moment.event.link.is_none_or(|link| link == i);
        for (_, relay) in env.relays.iter().filter(|(remote, _)| matches_link(*remote)) {
            relay.set_conditions(|w| match fault {
                Fault::Dark => w.blocked = [begins; 2],
                Fault::DarkThere => w.blocked[0] = begins,
                Fault::DarkBack => w.blocked[1] = begins,
                Fault::Narrow(rate) => w.rate_kb = if begins { *rate } else { options.conditions.rate_kb },
                Fault::Lossy(part) => w.loss = if begins { *part } else { options.conditions.loss },
                _ => {}
            });
        }
        if let (Fault::LossyCopies(part), Some(replica_switch)) = (fault, env.replica_switch) {
            replica_switch
                .set_conditions(|w| w.loss = if begins { *part } else { options.replica_link.loss });
        }
        let targets = if begins {
            let targets = select_targets(options, fault, &matches_link, remotes);
            self.targets.push((moment.event.clone(), targets.clone()));
            targets
        } else {
            let position = self.targets.iter().position(|(event, _)| *event == moment.event);
            position.map_or(Vec::new(), |i| self.targets.remove(i).1)
        };
        for i in targets {
            let remote = &mut remotes[i];
            match fault {
                Fault::KillFar | Fault::WipeFar | Fault::WipeLeader(_) | Fault::WipeZone if begins => {
                    remote.kill();
                    if *fault != Fault::KillFar {
                        self.wiped += 1;
                        // Fails if the ledger is not kept on disk.
                        remote.disk.iter().for_each(|disk| _ = std::fs::remove_file(disk));
                        _ = std::fs::remove_dir_all(replica_log_dir(options, i));
                    }
                }
                Fault::KillFar | Fault::WipeFar | Fault::WipeLeader(_) | Fault::WipeZone => {
                    if let Err(why) = remote.start(options) {
                        eprintln!("{why}");
                        remote.crashed = true;
                    }
                }
                Fault::StopLeader => {
                    let signal = if begins { "STOP" } else { "CONT" };
                    remote.gateway.iter().for_each(|gateway| _ = gateway.signal(signal));
                }
                Fault::CutLeader | Fault::MuteLeader | Fault::DeafLeader => {
                    let is_blocked = |a: usize, b: usize| match fault {
                        Fault::MuteLeader => a == i,
                        Fault::DeafLeader => b == i,
                        _ => a == i || b == i,
                    };
                    env.replica_switch
                        .iter()
                        .for_each(|replica_switch| replica_switch.set_blocked(begins, is_blocked));
                }
                _ => {}
            }
        }
    }
}

/// Selects the remote gateways that an event affects: by number, or the leader of the most groups.
fn select_targets(
    options: &Options,
    fault: &Fault,
    matches_link: &impl Fn(usize) -> bool,
    remotes: &[RemoteGateway],
) -> Vec<usize> {
    let live = |i: &usize| remotes[*i].gateway.is_some();
    let leader = || {
        let leads = |i: &usize| (remotes[*i].groups_led() * 1e3) as u64;
        (0..remotes.len()).filter(live).max_by_key(leads)
    };
    match fault {
        Fault::KillFar | Fault::WipeFar => {
            (0..remotes.len()).filter(|i| matches_link(*i)).filter(live).collect()
        }
        Fault::WipeLeader(n) => {
            let first = leader();
            let others = (0..remotes.len()).filter(live).filter(|i| Some(*i) != first);
            first.into_iter().chain(others).take(*n).collect()
        }
        Fault::WipeZone => {
            let zones = if let Ledger::Copies { zones, .. } = options.ledger { zones.max(1) } else { 1 };
            let zone = leader().map(|i| i % zones);
            (0..remotes.len()).filter(live).filter(|i| Some(i % zones) == zone).collect()
        }
        Fault::StopLeader | Fault::CutLeader | Fault::MuteLeader | Fault::DeafLeader => {
            leader().into_iter().collect()
        }
        _ => Vec::new(),
    }
}

/// The results as `--json` writes them.
pub fn json(options: &Options, outcome: &Outcome) -> Value {
    let used = |u: &ResourceUsage| json!({"cpu_s": u.cpu_s, "peak_mb": u.peak_mb});
    let links: Vec<Value> =
        outcome.links.iter().map(|l| json!({"passed": [l[0].0, l[1].0], "lost": [l[0].1, l[1].1]})).collect();
    json!({
        "seconds": options.seconds, "seed": options.seed, "ledger": format!("{:?}", options.ledger).to_lowercase(),
        "carrier": options.carrier, "congestion": options.congestion, "fars": options.remote_gateways, "links_each": options.links,
        "weather": options.conditions, "plan": options.plan.events, "report": outcome.report.json(),
        "near": outcome.local_usage.iter().map(used).collect::<Vec<_>>(), "far": outcome.remote_usage.iter().map(used).collect::<Vec<_>>(), "links": links,
        "leaderless_s": outcome.leaderless_s, "wiped": outcome.wiped, "nears": options.local_gateways,
        "origin_fills": outcome.origin_fills, "purges": outcome.purges, "crashed": outcome.crashed,
        "counters": outcome.counters.iter().cloned().collect::<BTreeMap<_, _>>(),
    })
}

/// Path of the gateway executable beside this one.
pub fn default_program() -> PathBuf {
    let here = std::env::current_exe().unwrap_or_default();
    here.parent().unwrap_or(Path::new(".")).join("kelpcart")
}
