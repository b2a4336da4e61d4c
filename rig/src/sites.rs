//! A day between two sites: near and far gateways as processes, stand-in caches and a central store at the far site,
//! links that misbehave by a plan, purges, and clients at the near site that time every answer.

use crate::bulletin::Bulletin;
use crate::caches::{Place, Site, Times, born, unix_ms};
use crate::client::{self, Ask, Word};
use crate::fleet::{self, Gateway, Node, Used};
use crate::keys::Authority;
use crate::lane::Weather;
use crate::plan::{Event, Moment, Plan, What};
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

pub const RULES: [Rule; 3] = [
    Rule { name: "media", importance: 2.0, sla: 0.5, stretch: 1.6, limit: 6.0, write: false },
    Rule { name: "rates", importance: 1.0, sla: 0.4, stretch: 2.0, limit: 2.5, write: false },
    Rule { name: "book", importance: 3.0, sla: 0.8, stretch: 0.0, limit: 3.0, write: true },
];
pub const MEDIA: usize = 0;
pub const RATES: usize = 1;
pub const BOOK: usize = 2;
/// What a client and its machine may take on top of the time limit.
pub const GRACE: f64 = 0.05;
/// From a purge on, copies from before may be served for so long.
pub const PURGE_GRACE_MS: u64 = 500;
/// KB as the settings count them, for each KB on the socket.
pub const COUNTED: f64 = 4.0;
pub const PACE: f64 = 5_000.0;
const CONNECTIONS: usize = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ledger {
    /// What is in doubt is never asked about.
    None,
    Memory,
    Disk,
    /// Kept by several far gateways.
    Copies {
        copies: usize,
        groups: u32,
        zones: usize,
        disk: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Options {
    /// Near gateways, each with links of its own.
    pub nears: usize,
    /// Between far gateways, for what they say to each other of copies.
    pub between: Weather,
    pub seconds: f64,
    pub seed: u64,
    pub weather: Weather,
    pub plan: Plan,
    pub fars: usize,
    pub links: usize,
    /// Txns a second, and the parts of media and book.
    pub rate: f64,
    pub media: f64,
    pub book: f64,
    /// Objects, and the share of txns for objects that nobody wants twice.
    pub objects: u64,
    pub ledger: Ledger,
    pub carrier: &'static str,
    pub congestion: &'static str,
    /// A purge each so many seconds, which the far site is told of so much later.
    pub purge_every: f64,
    pub purge_late: f64,
    pub program: PathBuf,
    pub folder: PathBuf,
    pub memory_mb: u64,
}

/// Bytes of an object: media 8 KB to 235 KB, rates 1 KB to 20 KB, each half as often as one of half its size.
pub fn len(object: u64) -> usize {
    let spread = |low: f64, high: f64| {
        let unit = (object.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64;
        (low / (1.0 - unit * (1.0 - low / high))) as usize
    };
    if object & 1 == 0 { spread(8_000.0, 235_000.0) } else { spread(1_000.0, 20_000.0) }
}

struct Sent {
    rule: usize,
    trace: u64,
    object: u64,
    /// Seconds of the run.
    at: f64,
    unix_ms: u64,
    sla: f64,
    answered: bool,
}

#[derive(Default)]
struct Book {
    open: BTreeMap<(usize, u64), Sent>,
    /// Of objects, as the near gateway was told of it.
    purges: BTreeMap<u64, u64>,
}

struct Clients {
    start: Instant,
    book: Mutex<Book>,
    report: Mutex<Report>,
    ends: AtomicBool,
}

impl Clients {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn read(&self, connection: usize, mut stream: TcpStream) {
        use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
        let (mut held, mut bytes) = (Vec::new(), vec![0; 256 * 1024]);
        while !self.ends.load(Ordering::Relaxed) {
            let n = match stream.read(&mut bytes) {
                Ok(0) => return,
                Ok(n) => n,
                Err(e) if matches!(e.kind(), WouldBlock | TimedOut | Interrupted) => continue,
                Err(_) => return,
            };
            held.extend_from_slice(&bytes[..n]);
            let now = self.now();
            let mut used = 0;
            loop {
                match client::answer(&held[used..]) {
                    Ok(Some((answer, n))) => {
                        used += n;
                        self.answered(connection, &answer, now);
                    }
                    Ok(None) => break,
                    Err(why) => {
                        self.report.lock().unwrap().broken.damaged += 1;
                        eprintln!("an answer can't be read: {why}");
                        return;
                    }
                }
            }
            held.drain(..used);
        }
    }

    fn answered(&self, connection: usize, answer: &client::Answer, now: f64) {
        let mut book = self.book.lock().unwrap();
        let Some(sent) = book.open.get_mut(&(connection, answer.id)) else { return };
        let mut report = self.report.lock().unwrap();
        if sent.answered {
            report.broken.answered_twice += 1;
            return;
        }
        sent.answered = true;
        let (took, rule) = (now - sent.at, &RULES[sent.rule]);
        if took > rule.limit + GRACE {
            report.broken.answered_late += 1;
        }
        let end = match answer.word {
            Word::Served => End::Served,
            Word::Rejected => End::Rejected,
            Word::Failed => End::Aborted,
        };
        report.ended(sent.rule, sent.trace, sent.at, sent.sla, end, took);
        if end == End::Served && !rule.write {
            report.bytes += answer.body.len() as u64;
            let (object, asked) = (sent.object, sent.unix_ms);
            match born(object, &answer.body) {
                None => report.broken.damaged += 1,
                Some(_) if answer.body.len() != len(object) => report.broken.damaged += 1,
                Some(born) => {
                    let purged = book.purges.get(&object).copied();
                    let stale = purged.is_some_and(|at| asked > at + PURGE_GRACE_MS && born < at);
                    report.broken.stale += u64::from(stale);
                }
            }
        }
    }

    /// What has no answer by its time is told, and what has long had one is forgotten.
    fn sweep(&self, all: bool) {
        let now = self.now();
        let mut book = self.book.lock().unwrap();
        let mut report = self.report.lock().unwrap();
        book.open.retain(|_, sent| {
            let over = sent.at + RULES[sent.rule].limit + GRACE;
            if !sent.answered && (now > over + 0.5 || all) {
                report.ended(sent.rule, sent.trace, sent.at, sent.sla, End::Unanswered, now - sent.at);
                return false;
            }
            now < over + 5.0 && !(all && sent.answered)
        });
    }
}

/// What a run gives beside its report.
pub struct Outcome {
    pub report: Report,
    pub near: Vec<Used>,
    pub far: Vec<Used>,
    pub counters: Vec<(String, String)>,
    pub links: Vec<[(u64, u64); 2]>,
    pub origin_fills: u64,
    pub crashed: bool,
    pub purges: usize,
    /// Seconds from the loss of a leader to the next one, for each group that it led.
    pub leaderless: Vec<f64>,
    /// Far gateways lost with their disks.
    pub wiped: usize,
}

struct Hub {
    site: Arc<Site>,
    bulletin: Bulletin,
    places: Vec<Place>,
}

fn hub() -> Result<Hub, fleet::Failed> {
    let ms = Duration::from_millis;
    let site = Site::new(Times { hit: ms(3), fill: ms(8), origin: ms(30) }, len);
    let mut places = Vec::new();
    for (name, kind) in
        [("e1", "box"), ("e2", "box"), ("e3", "box"), ("p1", "parent"), ("p2", "parent"), ("o", "origin")]
    {
        places.push(site.place(name, kind)?);
    }
    Ok(Hub { site, bulletin: Bulletin::start(1)?, places })
}

fn sites_file(o: &Options, site: &str, gateway: &str, rest: Value) -> Value {
    let path = |name: &str| o.folder.join(name).display().to_string();
    let mut all = json!({
        "site": site, "gateway": gateway,
        "keys": {"certificate": path(&format!("{site}.pem")), "key": path(&format!("{site}.key")),
            "roots": path("roots.pem")},
        "importance": {"book": 9, "rates": 5, "media": 2},
        "carrier": o.carrier, "congestion": o.congestion,
        "limits": {"ask": o.ledger != Ledger::None},
    });
    if let (Some(all), Value::Object(rest)) = (all.as_object_mut(), rest) {
        all.extend(rest);
    }
    all
}

struct Far {
    gateway: Option<Gateway>,
    config: Value,
    sites: Value,
    copies: Option<Value>,
    /// The disk's file, if it has one.
    disk: Option<PathBuf>,
    used: Used,
    /// What its starts have led, and when; and when this one was killed.
    led: Vec<(Instant, u32)>,
    killed: Vec<Instant>,
    crashed: bool,
}

impl Far {
    fn start(&mut self, o: &Options) -> Result<(), fleet::Failed> {
        let (sites, copies) = (Some(&self.sites), self.copies.as_ref());
        self.gateway = Some(Gateway::start_with(&o.program, &o.folder, &self.config, sites, copies)?);
        Ok(())
    }

    fn leads(&self) -> f64 {
        let Some(gateway) = &self.gateway else { return 0.0 };
        fleet::counters(&gateway.counters()).get("copies led").copied().unwrap_or(0.0)
    }

    fn kill(&mut self) {
        if let Some(mut gateway) = self.gateway.take() {
            let used = gateway.used();
            self.used.cpu_s += used.cpu_s;
            self.used.peak_mb = self.used.peak_mb.max(used.peak_mb);
            self.crashed |= gateway.has_ended();
            self.killed.push(Instant::now());
            gateway.kill();
            self.led.extend(gateway.led());
        }
    }
}

pub fn run(o: &Options) -> Result<Outcome, Box<dyn std::error::Error>> {
    std::fs::create_dir_all(&o.folder)?;
    let authority = Authority::new()?;
    authority.write(&o.folder, "near")?;
    authority.write(&o.folder, "far")?;
    let hub = hub()?;
    let near_bulletin = Bulletin::start(1)?;
    let mut between = None;
    if matches!(o.ledger, Ledger::Copies { .. }) {
        switch::next_net();
        between = Some(Switch::start(o.fars, o.seed, o.between)?);
    }
    let (mut fars, mut relays) = (Vec::new(), Vec::new());
    let mut peers = vec![Vec::new(); o.nears];
    for i in 0..o.fars {
        let name = format!("far-{i}");
        let listen = fleet::free_udp()?;
        let disk = (o.ledger == Ledger::Disk).then(|| o.folder.join(format!("{name}.redb")));
        let ledger = disk.as_ref().map_or(json!({}), |path| json!({"file": path.display().to_string()}));
        let node = Node {
            name: &name,
            zone: "hub",
            bulletin: hub.bulletin.address,
            places: &hub.places,
            memory_mb: o.memory_mb,
            seed: o.seed + i as u64 + 1,
        };
        let rest = json!({"listen": listen.to_string(), "accept": ["near"], "ledger": ledger});
        let mut far = Far {
            gateway: None,
            config: fleet::config(&node),
            sites: sites_file(o, "far", &name, rest),
            copies: copies_file(o, i),
            disk,
            used: Used::default(),
            led: Vec::new(),
            killed: Vec::new(),
            crashed: false,
        };
        far.start(o)?;
        fars.push(far);
        for (near, peers) in peers.iter_mut().enumerate() {
            for link in 0..o.links {
                let seed = o.seed * 31 + ((near * o.fars + i) * o.links + link) as u64;
                let relay = Relay::start(listen, seed, o.weather)?;
                peers.push(
                    json!({"name": format!("{name}-{link}"), "site": "far", "address": relay.address.to_string(),
                    "as": ["parent", "origin"], "size": 64.0}),
                );
                relays.push((i, relay));
            }
        }
    }
    let mut nears = Vec::new();
    for (i, peers) in peers.iter().enumerate() {
        let name = format!("near-{i}");
        let node = Node {
            name: &name,
            zone: "branch",
            bulletin: near_bulletin.address,
            places: &[],
            memory_mb: o.memory_mb,
            seed: o.seed + 1_000 * i as u64,
        };
        let sites = sites_file(o, "near", &name, json!({"peers": peers}));
        nears.push(Gateway::start(&o.program, &o.folder, &fleet::config(&node), Some(&sites))?);
    }
    nears.iter().zip(&peers).for_each(|(near, peers)| wait_for_links(near, peers.len()));
    let clients = Arc::new(Clients {
        start: Instant::now(),
        book: Mutex::default(),
        report: Mutex::new(Report::new(&RULES)),
        ends: AtomicBool::new(false),
    });
    let mut streams = Vec::new();
    for connection in 0..CONNECTIONS {
        let stream = TcpStream::connect(nears[connection % nears.len()].address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(200)))?;
        let (all, reads) = (Arc::clone(&clients), stream.try_clone()?);
        thread::spawn(move || all.read(connection, reads));
        streams.push((stream, 0u32));
    }
    let world =
        World { relays: &relays, between: between.as_ref(), hub: &hub, near_bulletin: &near_bulletin };
    let (purges, wiped) = drive(o, &clients, &mut streams, &mut fars, &world);
    // The last ones have their time.
    thread::sleep(Duration::from_secs_f64(RULES[MEDIA].limit + GRACE + 0.6));
    clients.sweep(true);
    clients.ends.store(true, Ordering::Relaxed);
    let mut counters: Vec<_> = nears.iter().map(|near| (near.name.clone(), near.counters())).collect();
    let alive = |g: &Option<Gateway>| g.as_ref().map(|g| (g.name.clone(), g.counters()));
    counters.extend(fars.iter().filter_map(|f| alive(&f.gateway)));
    let used = nears.iter().map(Gateway::used).collect();
    let mut crashed = nears.iter_mut().any(Gateway::has_ended);
    let ended = Instant::now();
    fars.iter_mut().for_each(Far::kill);
    crashed |= fars.iter().any(|far| far.crashed);
    hub.site.end();
    let mut report = std::mem::replace(&mut *clients.report.lock().unwrap(), Report::new(&RULES));
    report.ran(&hub.site.ran.lock().unwrap());
    Ok(Outcome {
        report,
        near: used,
        far: fars.iter().map(|f| f.used).collect(),
        counters,
        links: relays.iter().map(|(_, relay)| relay.counts()).collect(),
        origin_fills: hub.site.from_origin.load(Ordering::Relaxed),
        crashed,
        purges,
        leaderless: leaderless(&fars, ended),
        wiped,
    })
}

/// How long groups were without a leader after the one that they had was killed before the run's end.
fn leaderless(fars: &[Far], ended: Instant) -> Vec<f64> {
    let mut led: Vec<(Instant, u32, usize)> = fars
        .iter()
        .enumerate()
        .flat_map(|(i, f)| f.led.iter().map(move |&(at, group)| (at, group, i)))
        .collect();
    led.sort();
    let mut all = Vec::new();
    for (i, far) in fars.iter().enumerate() {
        for &killed in far.killed.iter().filter(|at| **at < ended) {
            let groups: std::collections::BTreeSet<u32> = led.iter().map(|l| l.1).collect();
            for group in groups {
                let of = |l: &&(Instant, u32, usize)| l.1 == group;
                let last = led.iter().filter(of).rfind(|l| l.0 < killed);
                let next = led.iter().filter(of).find(|l| l.0 >= killed);
                if let (Some(_), Some(next)) = (last.filter(|l| l.2 == i), next) {
                    all.push((next.0 - killed).as_secs_f64());
                }
            }
        }
    }
    all.sort_by(f64::total_cmp);
    all
}

/// Where a far gateway that keeps copies has its notes.
fn notes(o: &Options, i: usize) -> PathBuf {
    o.folder.join(format!("far-{i}-notes"))
}

fn copies_file(o: &Options, i: usize) -> Option<Value> {
    let Ledger::Copies { copies, groups, zones, disk } = o.ledger else { return None };
    let disk = disk.then(|| notes(o, i));
    let holder = |i: usize| json!({"name": format!("far-{i}"), "address": switch::reached(i).to_string(), "zone": format!("z{}", i % zones.max(1))});
    Some(json!({
        "gateway": format!("far-{i}"), "listen": switch::own(i).to_string(), "copies": copies, "groups": groups,
        "holders": (0..o.fars).map(holder).collect::<Vec<_>>(), "disk": disk,
    }))
}

/// What lies about the gateways.
struct World<'a> {
    /// Each with the far gateway that it leads to.
    relays: &'a [(usize, Relay)],
    between: Option<&'a Switch>,
    hub: &'a Hub,
    near_bulletin: &'a Bulletin,
}

fn wait_for_links(near: &Gateway, links: usize) {
    let began = Instant::now();
    let up =
        |near: &Gateway| near.log().iter().filter(|l| l.contains("stands") || l.contains(") is up")).count();
    while up(near) < links && began.elapsed() < Duration::from_secs(5) {
        thread::sleep(Duration::from_millis(10));
    }
    // The first signs of life.
    thread::sleep(Duration::from_millis(400));
}

/// Plays the plan and the clients' arrivals, open loop: each has its time whatever the gateway does.
fn drive(
    o: &Options,
    clients: &Clients,
    streams: &mut [(TcpStream, u32)],
    fars: &mut [Far],
    world: &World,
) -> (usize, usize) {
    let (hub, near_bulletin) = (world.hub, world.near_bulletin);
    let mut troubles = Troubles::default();
    let mut rng = Pcg64Mcg::seed_from_u64(o.seed);
    let mut moments = o.plan.moments().into_iter().peekable();
    let (mut next, mut next_purge, mut next_sweep) = (0.0, o.purge_every, 1.0);
    let (mut late_purges, mut purges, mut trace) = (Vec::<(f64, u64, u64)>::new(), 0, 0u64);
    while clients.now() < o.seconds {
        let now = clients.now();
        while let Some(moment) = moments.next_if(|m| m.at <= now) {
            troubles.play(o, &moment, fars, world);
        }
        if o.purge_every > 0.0 && now >= next_purge {
            next_purge += o.purge_every;
            purges += 1;
            // One that many want.
            let object = pick(o, &mut rng, true).1;
            let at = unix_ms();
            near_bulletin.purge(object, at);
            hub.site.purges.lock().unwrap().insert(object, at);
            clients.book.lock().unwrap().purges.insert(object, at);
            late_purges.push((now + o.purge_late, object, at));
        }
        late_purges.retain(|&(due, object, at)| {
            if due <= now {
                hub.bulletin.purge(object, at);
            }
            due > now
        });
        if now >= next_sweep {
            next_sweep += 1.0;
            clients.sweep(false);
        }
        while next <= clients.now() {
            next += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / o.rate;
            trace += 1;
            let (rule, object) = pick(o, &mut rng, false);
            let at = (trace as usize) % streams.len();
            ask(clients, at, &mut streams[at], rule, object, o.seed << 40 | trace);
        }
        let wait = (next - clients.now()).clamp(0.0, 0.005);
        thread::sleep(Duration::from_secs_f64(wait));
    }
    (purges, troubles.wiped)
}

/// A rule and an object: what is wanted often is wanted very often.
fn pick(o: &Options, rng: &mut Pcg64Mcg, often: bool) -> (usize, u64) {
    let kind: f64 = rng.random();
    let rank = if often { rng.random_range(0.0..0.3f64) } else { rng.random::<f64>() };
    let object = (o.objects as f64).powf(rank) as u64 * 2;
    match kind {
        k if k < o.book && !often => (BOOK, 1_000_000_000 + rng.random_range(0..1_000_000)),
        k if k < o.book + o.media => (MEDIA, object),
        _ => (RATES, object + 1),
    }
}

fn ask(
    clients: &Clients,
    connection: usize,
    stream: &mut (TcpStream, u32),
    rule: usize,
    object: u64,
    trace: u64,
) {
    stream.1 += 1;
    let (r, id) = (&RULES[rule], stream.1);
    let need_kb = if r.write { 1.0 } else { len(object) as f64 / 1024.0 * COUNTED };
    let body: &[u8] = if r.write { b"two nights" } else { b"" };
    let timeout_ms = (r.limit * 1e3) as u64;
    let bytes = client::request(&Ask { id, rule: r.name, trace, object, timeout_ms, need_kb, body });
    let sla = r.sla + r.stretch * need_kb / PACE;
    let key = (connection, u64::from(id));
    let sent = |at| Sent { rule, trace, object, at, unix_ms: unix_ms(), sla, answered: false };
    clients.book.lock().unwrap().open.insert(key, sent(clients.now()));
    if stream.0.write_all(&bytes).is_ok() {
        // From the last byte on: the answer may be there already, and is no earlier for it.
        if let Some(sent) = clients.book.lock().unwrap().open.get_mut(&key) {
            sent.at = clients.now();
        }
    }
}

/// What is under way of a plan: who was meant is known at the beginning only.
#[derive(Default)]
struct Troubles {
    meant: Vec<(Event, Vec<usize>)>,
    wiped: usize,
}

impl Troubles {
    fn play(&mut self, o: &Options, moment: &Moment, fars: &mut [Far], world: &World) {
        let (on, what) = (moment.begins, &moment.event.what);
        let of = |i: usize| moment.event.link.is_none_or(|link| link == i);
        for (_, relay) in world.relays.iter().filter(|(far, _)| of(*far)) {
            relay.set(|w| match what {
                What::Dark => w.dark = [on; 2],
                What::DarkThere => w.dark[0] = on,
                What::DarkBack => w.dark[1] = on,
                What::Narrow(rate) => w.rate_kb = if on { *rate } else { o.weather.rate_kb },
                What::Lossy(part) => w.loss = if on { *part } else { o.weather.loss },
                _ => {}
            });
        }
        if let (What::LossyCopies(part), Some(between)) = (what, world.between) {
            between.weather(|w| w.loss = if on { *part } else { o.between.loss });
        }
        let meant = if on {
            let meant = who(o, what, &of, fars);
            self.meant.push((moment.event.clone(), meant.clone()));
            meant
        } else {
            let known = self.meant.iter().position(|(event, _)| *event == moment.event);
            known.map_or(Vec::new(), |i| self.meant.remove(i).1)
        };
        for i in meant {
            let far = &mut fars[i];
            match what {
                What::KillFar | What::WipeFar | What::WipeLeader(_) | What::WipeZone if on => {
                    far.kill();
                    if *what != What::KillFar {
                        self.wiped += 1;
                        // There is none where the ledger is not kept on a disk.
                        far.disk.iter().for_each(|disk| _ = std::fs::remove_file(disk));
                        _ = std::fs::remove_dir_all(notes(o, i));
                    }
                }
                What::KillFar | What::WipeFar | What::WipeLeader(_) | What::WipeZone => {
                    if let Err(why) = far.start(o) {
                        eprintln!("{why}");
                        far.crashed = true;
                    }
                }
                What::StopLeader => {
                    let signal = if on { "STOP" } else { "CONT" };
                    far.gateway.iter().for_each(|gateway| _ = gateway.signal(signal));
                }
                What::CutLeader | What::MuteLeader | What::DeafLeader => {
                    let cut = |a: usize, b: usize| match what {
                        What::MuteLeader => a == i,
                        What::DeafLeader => b == i,
                        _ => a == i || b == i,
                    };
                    world.between.iter().for_each(|between| between.cut(on, cut));
                }
                _ => {}
            }
        }
    }
}

/// The far gateways that an event means: by number, or the one that leads the most groups.
fn who(o: &Options, what: &What, of: &impl Fn(usize) -> bool, fars: &[Far]) -> Vec<usize> {
    let live = |i: &usize| fars[*i].gateway.is_some();
    let leader = || {
        let leads = |i: &usize| (fars[*i].leads() * 1e3) as u64;
        (0..fars.len()).filter(live).max_by_key(leads)
    };
    match what {
        What::KillFar | What::WipeFar => (0..fars.len()).filter(|i| of(*i)).filter(live).collect(),
        What::WipeLeader(n) => {
            let first = leader();
            let others = (0..fars.len()).filter(live).filter(|i| Some(*i) != first);
            first.into_iter().chain(others).take(*n).collect()
        }
        What::WipeZone => {
            let zones = if let Ledger::Copies { zones, .. } = o.ledger { zones.max(1) } else { 1 };
            let zone = leader().map(|i| i % zones);
            (0..fars.len()).filter(live).filter(|i| Some(i % zones) == zone).collect()
        }
        What::StopLeader | What::CutLeader | What::MuteLeader | What::DeafLeader => {
            leader().into_iter().collect()
        }
        _ => Vec::new(),
    }
}

/// The run's figures as they are printed with `--json`.
pub fn json(o: &Options, outcome: &Outcome) -> Value {
    let used = |u: &Used| json!({"cpu_s": u.cpu_s, "peak_mb": u.peak_mb});
    let links: Vec<Value> =
        outcome.links.iter().map(|l| json!({"passed": [l[0].0, l[1].0], "lost": [l[0].1, l[1].1]})).collect();
    json!({
        "seconds": o.seconds, "seed": o.seed, "ledger": format!("{:?}", o.ledger).to_lowercase(),
        "carrier": o.carrier, "congestion": o.congestion, "fars": o.fars, "links_each": o.links,
        "weather": o.weather, "plan": o.plan.events, "report": outcome.report.json(),
        "near": outcome.near.iter().map(used).collect::<Vec<_>>(), "far": outcome.far.iter().map(used).collect::<Vec<_>>(), "links": links,
        "leaderless_s": outcome.leaderless, "wiped": outcome.wiped, "nears": o.nears,
        "origin_fills": outcome.origin_fills, "purges": outcome.purges, "crashed": outcome.crashed,
        "counters": outcome.counters.iter().cloned().collect::<BTreeMap<_, _>>(),
    })
}

/// The program of the gateway: beside this one.
pub fn program() -> PathBuf {
    let here = std::env::current_exe().unwrap_or_default();
    here.parent().unwrap_or(Path::new(".")).join("kelpcart")
}
