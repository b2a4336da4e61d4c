//! Several sites of gateways with their hubs, discovery services and caches, as processes and simulated servers on
//! loopback. Clients send requests to every gateway all the time, and each response is checked against the purges.
#![allow(dead_code, reason = "each test file uses its part")]

use super::PATIENCE;
use kelpcart_rig::caches::{CacheEndpoint, Latencies, Site, copy_created_ms, unix_ms};
use kelpcart_rig::client::{self, Request, Status};
use kelpcart_rig::discovery::DiscoveryServer;
use kelpcart_rig::fleet::{self, Node, Process, counters, endpoint};
use kelpcart_rig::fleet_run::client_address;
use kelpcart_rig::link_emulator::LinkConditions;
use kelpcart_rig::switch::{self, Switch};
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Objects that clients request and discovery services purge.
pub const OBJECTS: u64 = 60;
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Time within which a purge has to take effect: collected for one period and sent to a site and down its tree (650),
/// the grace period in the settings (500), and a margin for a busy machine (500).
pub const PURGE_DEADLINE_MS: u64 = 650 + 500 + 500;

static RUN_LOCK: Mutex<()> = Mutex::new(());

pub fn exclusive() -> MutexGuard<'static, ()> {
    // A test that panicked has ended its processes, so a poisoned lock does no harm.
    RUN_LOCK.lock().unwrap_or_else(|e| e.into_inner())
}

fn digits(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn secret(hub: usize) -> [u8; 32] {
    [hub as u8 + 1; 32]
}

pub fn hub(i: usize, address: SocketAddr) -> Value {
    let pair = Ed25519KeyPair::from_seed_unchecked(&secret(i)).unwrap();
    json!({"name": format!("h{i}"), "address": address.to_string(), "public": digits(pair.public_key().as_ref())})
}

/// Responses that were older than a purge, each with the gateway and by how many milliseconds the request came after
/// the purge.
#[derive(Default)]
struct Observations {
    purges: Mutex<BTreeMap<u64, u64>>,
    stale: Mutex<Vec<(usize, u64)>>,
    served: Vec<AtomicU64>,
    ends: AtomicBool,
}

pub struct Installation {
    _exclusive: MutexGuard<'static, ()>,
    pub switch: Switch,
    pub discovery_services: Arc<Vec<DiscoveryServer>>,
    site: Arc<Site>,
    caches: Vec<CacheEndpoint>,
    /// The site of each gateway.
    pub site_of: Vec<usize>,
    hubs: usize,
    processes: Vec<Option<Process>>,
    observations: Arc<Observations>,
    clients: Vec<JoinHandle<()>>,
    purges: Option<(Arc<AtomicBool>, JoinHandle<u64>)>,
    folder: PathBuf,
    /// The first key signs.
    pub keys: Vec<u32>,
}

impl Installation {
    /// `sites`: the number of gateways of each site. Waits until all members know each other and receive from a hub.
    pub fn start(test: &str, sites: &[usize], hubs: usize, streams: usize) -> Installation {
        let mut all = Installation::with(test, sites, hubs, streams);
        (0..all.processes.len()).for_each(|i| all.spawn(i));
        all.wait_for("a complete installation", |all| {
            let whole = |i: &usize| {
                let c = all.counters(*i);
                let members = sites[all.site_of[*i]] as f64;
                c.get("fleet members live") == Some(&members) && c.get("fleet feed bundles") > Some(&0.0)
            };
            all.gateways().iter().all(whole)
        });
        all.wait_for_single_contacts();
        let (observations, n) = (Arc::clone(&all.observations), all.site_of.len());
        all.clients = (0..n)
            .map(|i| {
                let observations = Arc::clone(&observations);
                thread::spawn(move || run_client(i, &observations))
            })
            .collect();
        all
    }

    fn with(test: &str, sites: &[usize], hubs: usize, streams: usize) -> Installation {
        let exclusive = exclusive();
        switch::next_subnet();
        let folder = std::env::temp_dir().join(format!("kelpcart-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let site_of: Vec<usize> = sites.iter().enumerate().flat_map(|(s, n)| vec![s; *n]).collect();
        let ms = Duration::from_millis;
        let site = Site::new(Latencies { hit: ms(2), fill: ms(3), origin: ms(10) }, |_| 2_000);
        let kinds = [("c0", "box"), ("c1", "box"), ("p0", "parent"), ("o", "origin")];
        let caches = kinds.map(|(name, kind)| site.start_member(name, kind).unwrap()).to_vec();
        let weather = LinkConditions { delay_ms: 2.0, ..LinkConditions::default() };
        let switch = Switch::start(site_of.len() + hubs, 1, weather).unwrap();
        Installation {
            _exclusive: exclusive,
            switch,
            discovery_services: Arc::new((0..streams).map(|_| DiscoveryServer::start(1).unwrap()).collect()),
            site,
            caches,
            processes: (0..site_of.len() + hubs).map(|_| None).collect(),
            observations: Arc::new(Observations {
                served: site_of.iter().map(|_| AtomicU64::new(0)).collect(),
                ..Observations::default()
            }),
            site_of,
            hubs,
            clients: Vec::new(),
            purges: None,
            folder,
            keys: vec![1],
        }
    }

    /// The index of a hub in `processes`, after the gateways.
    pub fn hub(&self, i: usize) -> usize {
        self.site_of.len() + i
    }

    pub fn hubs(&self) -> Vec<usize> {
        (0..self.hubs).map(|i| self.hub(i)).filter(|i| self.processes[*i].is_some()).collect()
    }

    /// Gateways that are running.
    pub fn gateways(&self) -> Vec<usize> {
        (0..self.site_of.len()).filter(|i| self.processes[*i].is_some()).collect()
    }

    fn name(&self, i: usize) -> String {
        if i < self.site_of.len() { format!("g{i}") } else { format!("h{}", i - self.site_of.len()) }
    }

    fn file(&self, i: usize) -> Value {
        let n = self.site_of.len();
        let hubs: Vec<Value> = (0..self.hubs).map(|h| hub(h, switch::advertised_address(n + h))).collect();
        let stream = |(i, l): (usize, &DiscoveryServer)| json!({"name": format!("s{i}"), "address": l.address.to_string(), "known": 1});
        let streams: Vec<Value> = self.discovery_services.iter().enumerate().map(stream).collect();
        let site = self.site_of.get(i).map_or("control".to_owned(), |s| format!("site{s}"));
        let keys: Vec<Value> =
            self.keys.iter().map(|id| json!({"id": id, "secret": format!("{id:02x}").repeat(32)})).collect();
        let mut file = json!({
            "fleet": site, "gateway": self.name(i), "listen": switch::bind_address(i).to_string(),
            "advertise": switch::advertised_address(i).to_string(), "keys": keys,
            "feed": {"name": "rig", "site": site, "streams": streams, "hubs": hubs},
        });
        if i < n {
            let peers = (0..n).filter(|p| self.site_of[*p] == self.site_of[i]);
            let seeds: Vec<String> =
                peers.clone().take(3).map(|p| switch::advertised_address(p).to_string()).collect();
            file["seeds"] = json!(seeds);
            file["members"] =
                json!({"expected": peers.count(), "probe_ms": 500, "answer_ms": 200, "suspect_ms": 1_500});
        } else {
            let sites: Vec<String> =
                (0..=self.site_of.last().copied().unwrap_or(0)).map(|s| format!("site{s}")).collect();
            file["feed"]["control"] =
                json!({"name": self.name(i), "secret": digits(&secret(i - n)), "sites": sites});
        }
        file
    }

    fn config(&self, i: usize) -> Value {
        let (zone, bulletin, places) = ("hub", self.discovery_services[0].address, self.caches.as_slice());
        let name = self.name(i);
        let node =
            Node { name: &name, zone, discovery: bulletin, endpoints: places, memory_mb: 64, seed: i as u64 };
        let mut config = fleet::config(&node);
        config["listen"] = json!(client_address(i).to_string());
        config
    }

    pub fn spawn(&mut self, i: usize) {
        let (config, file) = (self.config(i), self.file(i));
        let process = Process::spawn(super::program(), &self.folder, &self.name(i), &config, Some(&file));
        self.processes[i] = Some(process.unwrap());
    }

    /// Makes all processes reload their files as they would be written now, and returns when they have.
    pub fn reload_settings(&self) {
        let of: Vec<usize> = self.gateways().into_iter().chain(self.hubs()).collect();
        let times = |i: usize| self.counter(i, "fleet feed files read again").max(0.0);
        let before: Vec<f64> = of.iter().map(|i| times(*i)).collect();
        for i in of.iter().copied() {
            for (end, value) in [("config", self.config(i)), ("fleet", self.file(i))] {
                // Replaced atomically, so that no process reads half a file.
                let path = self.folder.join(format!("{}.{end}.json", self.name(i)));
                std::fs::write(path.with_extension("part"), value.to_string()).unwrap();
                std::fs::rename(path.with_extension("part"), path).unwrap();
            }
        }
        self.signal("HUP", &of);
        self.wait_for("files read again", |_| of.iter().zip(&before).all(|(i, n)| times(*i) > *n));
    }

    /// Replaces all discovery services by new ones at other addresses, which continue at the same event number.
    pub fn move_discovery_services(&mut self) {
        let lists = Arc::get_mut(&mut self.discovery_services).expect("purges have ended");
        lists.iter_mut().for_each(|list| *list = DiscoveryServer::start(list.last_event_no()).unwrap());
        self.reload_settings();
    }

    /// Publishes a list of caches by one discovery service; nothing listens at their addresses.
    pub fn list(&self, stream: usize, whole: bool, names: &[String]) {
        let nowhere =
            |n: &String| CacheEndpoint { name: n.clone(), kind: "box", address: switch::address(4, 0, 9) };
        let all: Vec<Value> = names.iter().map(|n| endpoint(&nowhere(n), "hub", "draining")).collect();
        self.discovery_services[stream].push_roster(whole, &all);
    }

    /// Kills a process, as in a crash.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut process) = self.processes[i].take() {
            assert!(!process.has_exited() && !process.log().contains("panicked at"), "{}", process.log());
            process.kill();
        }
    }

    pub fn signal(&self, name: &str, of: &[usize]) {
        let ids: Vec<u32> = of.iter().filter_map(|i| self.processes[*i].as_ref()).map(Process::id).collect();
        fleet::signal(name, &ids).unwrap();
    }

    pub fn log(&self, i: usize) -> String {
        self.processes[i].as_ref().map(Process::log).unwrap_or_default()
    }

    /// The present counters of a process; empty if it does not log them within a second.
    pub fn counters(&self, i: usize) -> BTreeMap<String, f64> {
        let dumps = || self.log(i).lines().filter(|l| l.contains("now: clients")).count();
        let (before, began) = (dumps(), Instant::now());
        self.signal("USR1", &[i]);
        while dumps() == before {
            if began.elapsed() > Duration::from_secs(1) {
                return BTreeMap::new();
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.log(i).lines().rfind(|l| l.contains("now: clients")).map(counters).unwrap_or_default()
    }

    /// Waits until one gateway of each site receives from a hub for the whole site. Otherwise each gateway would, and
    /// there would be no tree to break.
    pub fn wait_for_single_contacts(&self) {
        self.wait_for("one contact for each site", |all| {
            let mut contacts: BTreeMap<usize, f64> = BTreeMap::new();
            for i in all.gateways() {
                *contacts.entry(all.site_of[i]).or_default() += all.counter(i, "fleet feed is contact");
            }
            contacts.values().all(|n| *n == 1.0)
        });
    }

    /// The sites or gateways that a hub reports as not having confirmed.
    pub fn not_confirmed(&self, hub: usize) -> Vec<String> {
        self.counters(hub);
        // The lines after the first dump are complete once the second dump is there.
        self.counters(hub);
        let log = self.log(hub);
        let mut lines: Vec<&str> =
            log.lines().rev().skip_while(|l| !l.contains("now: clients")).skip(1).collect();
        lines.truncate(lines.iter().position(|l| l.contains("now: clients")).unwrap_or(lines.len()));
        let named = lines.iter().filter_map(|l| l.split_once("not confirmed: "));
        named.map(|(_, who)| who.to_owned()).collect()
    }

    pub fn counter(&self, i: usize, name: &str) -> f64 {
        self.counters(i).get(name).copied().unwrap_or(-1.0)
    }

    pub fn sum(&self, name: &str) -> f64 {
        self.gateways().into_iter().map(|i| self.counter(i, name)).sum()
    }

    pub fn wait_for(&self, what: &str, is: impl Fn(&Installation) -> bool) {
        let began = Instant::now();
        while !is(self) {
            if began.elapsed() > PATIENCE {
                let all = (0..self.processes.len()).map(|i| format!("{i}: {:?}\n", self.counters(i)));
                panic!("timed out waiting for {what}:\n{}", all.collect::<String>());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Members of a site in the order in which they become its contact.
    pub fn order(&self, site: usize) -> Vec<usize> {
        use kelpcart_feed::rank;
        let mut all: Vec<usize> = self.gateways().into_iter().filter(|i| self.site_of[*i] == site).collect();
        all.sort_by_key(|i| std::cmp::Reverse(rank::score(&self.name(*i), rank::CONTACT_ORDER)));
        all
    }

    /// Starts to purge objects at a fixed rate per second, by all discovery services in turn.
    pub fn purge(&mut self, a_second: u32) {
        let (lists, observations, site) =
            (Arc::clone(&self.discovery_services), Arc::clone(&self.observations), Arc::clone(&self.site));
        let ends = Arc::new(AtomicBool::new(false));
        let ended = Arc::clone(&ends);
        let purges = thread::spawn(move || {
            let mut n = 0;
            while !ended.load(Ordering::SeqCst) {
                let (object, at) = (n * 7 % OBJECTS, unix_ms());
                observations.purges.lock().unwrap().insert(object, at);
                site.purges.lock().unwrap().insert(object, at);
                lists[n as usize % lists.len()].purge(object, at);
                n += 1;
                thread::sleep(Duration::from_secs(1) / a_second);
            }
            n
        });
        self.purges = Some((ends, purges));
    }

    /// Stops the purges and returns their number.
    pub fn stop_purges(&mut self) -> u64 {
        let Some((ends, purges)) = self.purges.take() else { return 0 };
        ends.store(true, Ordering::SeqCst);
        purges.join().unwrap()
    }

    pub fn is_up_to_date(&self, i: usize) -> bool {
        let c = self.counters(i);
        let at = |s: usize| c.get(&format!("fleet feed position {s}")).copied();
        self.discovery_services.iter().enumerate().all(|(s, list)| at(s) == Some(list.last_event_no() as f64))
    }

    /// Waits until every running gateway has the last event of each discovery service.
    pub fn wait_for_all_events(&self) {
        self.wait_for("all events at all gateways", |all| {
            all.gateways().into_iter().all(|i| all.is_up_to_date(i))
        });
    }

    /// Waits until every running gateway has the events published so far, while more may follow.
    pub fn wait_for_current_events(&self) {
        let last: Vec<f64> = self.discovery_services.iter().map(|l| l.last_event_no() as f64).collect();
        self.wait_for("the events so far at all gateways", |all| {
            all.gateways().into_iter().all(|i| {
                let c = all.counters(i);
                let at = |s: usize| c.get(&format!("fleet feed position {s}")).copied().unwrap_or(-1.0);
                (0..last.len()).all(|s| at(s) >= last[s])
            })
        });
    }

    /// Waits until every hub knows that every running gateway has them.
    pub fn wait_for_all_confirmed(&self) {
        self.wait_for_all_events();
        self.wait_for("all events confirmed at all hubs", |all| {
            all.hubs().into_iter().all(|i| {
                let c = all.counters(i);
                let done = |s: usize| c.get(&format!("fleet feed done everywhere {s}")).copied();
                all.discovery_services
                    .iter()
                    .enumerate()
                    .all(|(s, list)| done(s) == Some(list.last_event_no() as f64))
            })
        });
    }

    /// Ends the installation. Checks that no response was older than a purge for a request sent more than the given
    /// time after the purge, and that every running gateway has served.
    pub fn end(self, deadline_ms: u64) {
        self.end_by(|_| deadline_ms);
    }

    /// The same with a separate time for each gateway.
    pub fn end_by(mut self, deadline_ms: impl Fn(usize) -> u64) {
        self.stop_purges();
        self.wait_for_single_contacts();
        let began = Instant::now();
        let before: Vec<u64> = self.observations.served.iter().map(|s| s.load(Ordering::SeqCst)).collect();
        let serves = |i: &usize| self.observations.served[*i].load(Ordering::SeqCst) > before[*i];
        while !self.gateways().iter().all(serves) {
            assert!(began.elapsed() < PATIENCE, "a running gateway does not serve");
            thread::sleep(Duration::from_millis(20));
        }
        let stale = std::mem::take(&mut *self.observations.stale.lock().unwrap());
        let latest = stale.iter().map(|s| s.1).max().unwrap_or(0);
        println!("{} responses older than a purge, the latest {latest} ms after it", stale.len());
        let late: Vec<(usize, u64)> = stale.into_iter().filter(|s| s.1 > deadline_ms(s.0)).collect();
        assert!(late.is_empty(), "(gateway, ms after the purge): {late:?}");
        (0..self.processes.len()).for_each(|i| self.kill(i));
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.stop_purges();
        self.observations.ends.store(true, Ordering::SeqCst);
        self.processes.iter_mut().for_each(|p| *p = None);
        self.site.stop();
        self.clients.drain(..).for_each(|c| _ = c.join());
        if !thread::panicking() {
            _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends requests to one gateway until the end, whenever it is running.
fn run_client(i: usize, observations: &Observations) {
    let mut n = i as u64;
    while !observations.ends.load(Ordering::SeqCst) {
        if let Ok(stream) = TcpStream::connect(client_address(i)) {
            // The connection ends with its gateway and is opened again with it.
            _ = send_requests(i, observations, &stream, &mut n);
        }
        thread::sleep(REQUEST_INTERVAL);
    }
}

fn send_requests(
    i: usize,
    observations: &Observations,
    mut stream: &TcpStream,
    n: &mut u64,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_millis(200)))?;
    stream.set_nodelay(true)?;
    let (mut buffer, mut bytes) = (Vec::new(), [0; 16 * 1024]);
    let mut id = 0;
    loop {
        thread::sleep(REQUEST_INTERVAL);
        (id, *n) = (id + 1, *n + 11);
        let (object, sent) = (*n % OBJECTS, unix_ms());
        let trace = (i as u64) << 40 | *n;
        let request =
            Request { id, rule: "media", trace, object, timeout_ms: 5_000, need_kb: 2.0, body: b"" };
        stream.write_all(&client::encode_request(&request))?;
        let answer = loop {
            if let Some((answer, used)) = client::decode_response(&buffer).map_err(std::io::Error::other)? {
                buffer.drain(..used);
                break answer;
            }
            match stream.read(&mut bytes) {
                Ok(0) => return Ok(()),
                Ok(got) => buffer.extend(&bytes[..got]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
            if observations.ends.load(Ordering::SeqCst) {
                return Ok(());
            }
        };
        if answer.status != Status::Served {
            continue;
        }
        observations.served[i].fetch_add(1, Ordering::SeqCst);
        let created = copy_created_ms(object, &answer.body).expect("a body with the object's own bytes");
        let purged = observations.purges.lock().unwrap().get(&object).copied();
        if let Some(at) = purged.filter(|at| sent > *at && created < *at) {
            observations.stale.lock().unwrap().push((i, sent - at));
        }
    }
}
