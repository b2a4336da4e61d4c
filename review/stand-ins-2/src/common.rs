//! What the cases share: the installation's configuration files, gateways as processes, the record, and the outcome.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// What ends a case that could not run: exit code 2.
pub struct NotRun(pub String);

impl<E: std::fmt::Display> From<E> for NotRun {
    fn from(e: E) -> NotRun {
        NotRun(e.to_string())
    }
}

pub type Ran<T> = Result<T, NotRun>;

pub fn not_run<T>(why: impl Into<String>) -> Ran<T> {
    Err(NotRun(why.into()))
}

/// The environment of a case: where the repository is, a temporary folder, the record and whether the disruption is played.
#[derive(Clone)]
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
    record: Arc<Mutex<File>>,
    start: Instant,
}

impl Case {
    pub fn new(root: &str, folder: &str, record: &str) -> Ran<Case> {
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let record = Arc::new(Mutex::new(File::create(record)?));
        let case = Case { root: root.into(), folder: folder.into(), trouble, record, start: Instant::now() };
        case.note(&format!("the disruption is {}", if trouble { "played" } else { "left out" }));
        Ok(case)
    }

    /// Milliseconds since the start of the case.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        _ = writeln!(self.record.lock().unwrap(), "{:>6} ms  {text}", self.ms());
    }

    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }

    /// Writes certificates for the sites by the project's own rig.
    pub fn keys(&self, sites: &[&str]) -> Ran<PathBuf> {
        let folder = self.folder.join("keys");
        let rig = self.root.join("target/release/kelpcart-rig");
        let output = Command::new(rig).arg("keys").arg(&folder).args(sites).output()?;
        if !output.status.success() {
            return not_run(format!("kelpcart-rig keys: {}", String::from_utf8_lossy(&output.stderr)));
        }
        Ok(folder)
    }

    fn deploy_command(&self) -> Ran<String> {
        let text = fs::read_to_string(self.root.join("deploy/balancer.toml"))?;
        let line =
            text.lines().find(|l| l.starts_with("run ")).ok_or(NotRun("no run in the deploy file".into()))?;
        Ok(line.split('"').nth(1).unwrap_or_default().to_owned())
    }

    pub fn write(&self, name: &str, text: &str) -> Ran<PathBuf> {
        let path = self.folder.join(name);
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts a gateway by the command of the deploy file and waits until it answers `check` with true.
    pub fn gateway(&self, name: &str, config: &str, files: &[(&str, &Path)]) -> Ran<Gateway> {
        self.limited_gateway(name, config, files, None)
    }

    /// The same with a limit of descriptors, as the platform sets it for the gateway's process.
    pub fn limited_gateway(
        &self,
        name: &str,
        config: &str,
        files: &[(&str, &Path)],
        descriptors: Option<u32>,
    ) -> Ran<Gateway> {
        let config = self.write(&format!("{name}.config.json"), config)?;
        let mut all = vec![("NODE_CONFIG", config.as_path())];
        all.extend(files);
        let mut gateway = self.process(name, &all, descriptors)?;
        for _ in 0..400 {
            if gateway.ended() {
                return not_run(format!("{name} ended at its start"));
            }
            if crate::client::check(gateway.address) {
                return Ok(gateway);
            }
            sleep_ms(25);
        }
        not_run(format!("{name} was not ready in 10 s"))
    }

    /// Starts the program by the command of the deploy file, with files named in its environment.
    pub fn process(&self, name: &str, files: &[(&str, &Path)], descriptors: Option<u32>) -> Ran<Gateway> {
        let address = free_tcp()?;
        let mut command = Command::new("/bin/sh");
        let limit = descriptors.map(|n| format!("ulimit -n {n}; ")).unwrap_or_default();
        command.arg("-c").arg(format!("{limit}{}", self.deploy_command()?)).current_dir(&self.root);
        for name in ["NODE_CONFIG", "KELPCART_SITES", "KELPCART_COPIES", "KELPCART_FLEET"] {
            command.env_remove(name);
        }
        let level = std::env::var("KELPCART_LOG").unwrap_or_else(|_| "info".into());
        command.env("NODE_NAME", name).env("NODE_LISTEN", address.to_string()).env("KELPCART_LOG", level);
        command.envs(files.iter().map(|(name, path)| (name, path.as_os_str())));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let (case, own) = (self.clone(), name.to_owned());
        if let Some(log) = child.stderr.take() {
            thread::spawn(move || {
                for line in BufReader::new(log).lines().map_while(Result::ok) {
                    case.note(&format!("{own}: {line}"));
                }
            });
        }
        Ok(Gateway { address, child })
    }
}

/// A gateway process; killed when the value is dropped.
pub struct Gateway {
    pub address: SocketAddr,
    child: Child,
}

impl Gateway {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Has it write its counters into the record.
    pub fn counters(&self) {
        self.signal("USR1");
        sleep_ms(100);
    }

    pub fn signal(&self, name: &str) {
        _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

pub fn free_tcp() -> Ran<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

pub fn free_udp() -> Ran<SocketAddr> {
    Ok(UdpSocket::bind("127.0.0.1:0")?.local_addr()?)
}

/// A listed cache, parent or origin.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub group: u32,
}

impl Listed {
    pub fn json(&self, status: &str) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{status}","weight":64,"since_ms":0}}"#,
            self.name, self.address, self.zone, self.kind, self.group
        )
    }
}

/// One gateway's configuration. `classes`: the entries of `Classes`; `write`: the entries of `PassOn`.
pub struct Config<'a> {
    pub name: &'a str,
    pub bulletin: SocketAddr,
    pub listed: &'a [Listed],
    pub zones: &'a [&'a str],
    pub locality: usize,
    pub classes: &'a str,
    pub write: &'a str,
    pub bypass: bool,
    /// How many gateways there are in the zone.
    pub gateways: usize,
}

impl Config<'_> {
    pub fn json(&self) -> String {
        let listed: Vec<String> = self.listed.iter().map(|l| l.json("up")).collect();
        let zones: Vec<String> = self.zones.iter().map(|z| format!("\"{z}\"")).collect();
        let crew: Vec<String> = (0..self.zones.len())
            .map(|i| if i == self.locality { self.gateways.to_string() } else { "0".into() })
            .collect();
        format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":128,"sockets":1024}},"bulletin":"{bulletin}",
"flow_bytes_per_s":310000,"link_bytes_per_s":12400000,
"known":{{"no":1,"items":[{{"no":1,"roster":{{"index":1,"snapshot":true,"endpoints":[{listed}]}}}}]}},
"settings":{{"Instances":{gateways},"Me":0,"Locality":{locality},"Zones":[{zones}],"Shapes":["box","parent","origin"],
"Weights":"nominal","Discovery":"push","TickUs":1000,"Classes":[{classes}],
"FamilyInfo":{{"CrewByZone":[{crew}],"ParentKind":1,"OriginKind":2,"BypassAllowed":{bypass},"CanJoin":false,
"Neighbours":"off","ClientKbPerS":5000.0,"LifetimeByClassUs":[0,0,0],"UsableAfterUs":[0,0,0],"PassOn":[{write}],
"ParentColdFrom":0.1,"UpperColdUs":20000000,"ParentFallMultiple":2.0,"GoneEverywhereUs":6000000,
"HeedWithinUs":500000}},
"PolicyLimits":{{"Cancel":true,"RetryAfter":true,"MaxRetryAfterUs":2000000,"MaxAttempts":6,"MaxOpen":20000,
"ConnectTimeoutUs":400000,"ConnIdleUs":15000000,"ParallelTries":false}},
"Contract":{{"AskWithinUs":10000000,"ColdFrom":0.2,"ColdUs":15000000,"FallMultiple":2.0,"TipAfterUs":3000000,
"DrainGraceUs":1000000,"GraceToAnswerUs":8000}}}}}}"#,
            name = self.name,
            bulletin = self.bulletin,
            listed = listed.join(","),
            locality = self.locality,
            zones = zones.join(","),
            classes = self.classes,
            crew = crew.join(","),
            bypass = self.bypass,
            gateways = self.gateways,
            write = self.write,
        )
    }
}

/// The bulletin: numbered events, and each second the last number.
#[derive(Clone)]
pub struct Bulletin {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
    /// When it was given up for another address.
    retired: Arc<Mutex<Option<Instant>>>,
}

impl Bulletin {
    /// Event 1 is in the configuration.
    pub fn start() -> Ran<Bulletin> {
        Bulletin::with(Arc::default())
    }

    /// The same bulletin at another address; the numbers go on. The old one takes no new connection, tells nothing more
    /// and closes the open ones after 1.5 s, from `retire` on.
    pub fn moved(&self) -> Ran<Bulletin> {
        Bulletin::with(Arc::clone(&self.events))
    }

    pub fn retire(&self) {
        *self.retired.lock().unwrap() = Some(Instant::now());
        // Wakes the listener's thread, which then drops the listener.
        _ = TcpStream::connect(self.address);
    }

    fn with(events: Arc<Mutex<Vec<(u64, String)>>>) -> Ran<Bulletin> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let bulletin = Bulletin { address: listener.local_addr()?, events, retired: Arc::default() };
        let own = bulletin.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.retired.lock().unwrap().is_some() {
                    return;
                }
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        Ok(bulletin)
    }

    /// Puts event 1 in, the list of the configuration, for those that ask for all events.
    pub fn list(&self, listed: &[Listed]) {
        let listed: Vec<String> = listed.iter().map(|l| l.json("up")).collect();
        let body = format!(r#""roster":{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, listed.join(","));
        self.events.lock().unwrap().push((1, format!("{{\"no\":1,{body}}}\n")));
    }

    /// Tells an event from now on; `body` is what follows the number.
    pub fn tell(&self, body: &str) -> u64 {
        let mut events = self.events.lock().unwrap();
        let number = events.last().map_or(1, |e| e.0) + 1;
        events.push((number, format!("{{\"no\":{number},{body}}}\n")));
        number
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        _ = stream.set_nodelay(true);
        let mut line = String::new();
        BufReader::new(stream.try_clone().ok()?).read_line(&mut line).ok()?;
        let mut sent: u64 = line.trim().strip_prefix("after ")?.parse().ok()?;
        let mut beat = Instant::now();
        loop {
            let retired = *self.retired.lock().unwrap();
            if let Some(since) = retired {
                thread::sleep(Duration::from_millis(1_500).saturating_sub(since.elapsed()));
                return None;
            }
            let due: Vec<(u64, String)> =
                self.events.lock().unwrap().iter().filter(|e| e.0 > sent).cloned().collect();
            for (number, event) in due {
                stream.write_all(event.as_bytes()).ok()?;
                sent = number;
            }
            if beat.elapsed() >= Duration::from_secs(1) {
                beat = Instant::now();
                stream.write_all(format!("{sent}\n").as_bytes()).ok()?;
            }
            sleep_ms(5);
        }
    }
}

const IMPORTANCE: &str = r#"{"book":9,"rates":5,"media":2}"#;

fn keys_of(keys: &Path, site: &str) -> String {
    let path = |end: &str| keys.join(end).display().to_string();
    format!(
        r#"{{"certificate":"{}","key":"{}","roots":"{}"}}"#,
        path(&format!("{site}.pem")),
        path(&format!("{site}.key")),
        path("roots.pem")
    )
}

/// The file of links of a near gateway to far ones, by name and address. `roles`: what the far ones are here.
pub fn near_links(keys: &Path, far: &[(&str, SocketAddr)], roles: &str) -> String {
    let peer = |(name, address): &(&str, SocketAddr)| {
        format!(r#"{{"name":"{name}","site":"far","address":"{address}","as":[{roles}],"size":64.0}}"#)
    };
    let peers: Vec<String> = far.iter().map(peer).collect();
    format!(
        r#"{{"site":"near","gateway":"near-1","peers":[{}],"keys":{},"importance":{IMPORTANCE}}}"#,
        peers.join(","),
        keys_of(keys, "near")
    )
}

/// The file of links of a far gateway.
pub fn far_links(keys: &Path, name: &str, listen: SocketAddr) -> String {
    format!(
        r#"{{"site":"far","gateway":"{name}","listen":"{listen}","accept":["near"],"keys":{},"importance":{IMPORTANCE}}}"#,
        keys_of(keys, "far")
    )
}

/// The files of links between a near and a far gateway.
pub fn link_files(keys: &Path, far_udp: SocketAddr, roles: &str) -> (String, String) {
    (near_links(keys, &[("far-1", far_udp)], roles), far_links(keys, "far-1", far_udp))
}
