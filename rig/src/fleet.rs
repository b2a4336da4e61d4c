//! Real gateways as processes: configuration, start, termination, logs and resource usage.

use crate::caches::CacheEndpoint;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than a gateway may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of log lines kept in memory per gateway; the oldest are dropped first.
const MAX_LOG_LINES: usize = 20_000;

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("gateway {0} did not start: {1}")]
    Start(String, String),
}

/// The part of the configuration that differs between the gateways of a run.
pub struct Node<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub discovery: SocketAddr,
    pub endpoints: &'a [CacheEndpoint],
    pub memory_mb: u64,
    pub seed: u64,
}

pub fn endpoint(endpoint: &CacheEndpoint, zone: &str, status: &str) -> Value {
    json!({"name": endpoint.name, "address": endpoint.address.to_string(), "zone": zone, "type": endpoint.kind, "group": 0,
        "status": status, "weight": 64.0, "since_ms": 0})
}

/// Configuration with the remap rules of the example deployment: media and rates are repeatable, book is not.
pub fn config(node: &Node) -> Value {
    let rule = |name: &str, effect: &str, sla_ms: u64, stretch: f64, limit_ms: u64| {
        json!({"Name": name, "Repeat": effect, "DedupScope": "all", "MemorySpanUs": 0, "SloUs": sla_ms * 1_000,
            "AimStretch": stretch, "DeadlineUs": limit_ms * 1_000})
    };
    let list: Vec<Value> = node.endpoints.iter().map(|p| endpoint(p, node.zone, "up")).collect();
    json!({
        "name": node.name, "listen": "127.0.0.1:0", "seed": format!("{:x}", node.seed),
        "bulletin": node.discovery.to_string(),
        "limits": {"cores": 1.0, "memory_mb": node.memory_mb, "sockets": 1_024},
        "known": {"no": 1, "items": [{"no": 1, "roster": {"index": 0, "snapshot": true, "endpoints": list}}]},
        "settings": {
            "Instances": 1, "Locality": 0, "Weights": "nominal", "Discovery": "push", "TickUs": 1000,
            "Zones": [node.zone], "Shapes": ["box", "parent", "origin"],
            "Classes": [
                rule("media", "pure", 500, 1.6, 6_000),
                rule("rates", "pure", 400, 2.0, 2_500),
                rule("book", "side_effect", 800, 0.0, 3_000),
            ],
            "FamilyInfo": {"CrewByZone": [1], "ParentKind": 1, "OriginKind": 2, "BypassAllowed": true,
                "CanJoin": false, "Neighbours": "off", "LifetimeByClassUs": [0, 0, 0],
                "UsableAfterUs": [0, 0, 0], "PassOn": [false, false, true], "ParentColdFrom": 0.1,
                "UpperColdUs": 20_000_000, "ParentFallMultiple": 2.0, "GoneEverywhereUs": 6_000_000,
                "ClientKbPerS": 5_000.0},
            "PolicyLimits": {"Cancel": true, "RetryAfter": true, "MaxRetryAfterUs": 2_000_000, "MaxAttempts": 6,
                "MaxOpen": 20_000, "ConnectTimeoutUs": 400_000, "ConnIdleUs": 15_000_000},
            "Contract": {"AskWithinUs": 10_000_000, "ColdFrom": 0.2, "ColdUs": 15_000_000, "FallMultiple": 2.0,
                "TipAfterUs": 3_000_000},
        },
    })
}

/// A gateway process that is killed when the value is dropped.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    /// When this gateway became leader of which replica group, from its log.
    leadership: Arc<Mutex<Vec<(Instant, u32)>>>,
}

/// Returns the group that this gateway leads from now on according to a log line.
fn parse_leader_group(line: &str) -> Option<u32> {
    line.split_once("group ")?.1.strip_suffix(": led here")?.parse().ok()
}

/// CPU time and peak memory of a process, from `/proc`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    pub cpu_s: f64,
    pub peak_mb: f64,
}

impl Gateway {
    pub fn start(
        program: &Path,
        folder: &Path,
        config: &Value,
        sites: Option<&Value>,
    ) -> Result<Gateway, StartError> {
        Gateway::start_with(program, folder, config, sites, None)
    }

    /// Like `start`, with a configuration for the replicated ledger.
    pub fn start_with(
        program: &Path,
        folder: &Path,
        config: &Value,
        sites: Option<&Value>,
        copies: Option<&Value>,
    ) -> Result<Gateway, StartError> {
        let name = config["name"].as_str().unwrap_or("gateway").to_owned();
        let file = |end: &str, value: &Value| -> io::Result<PathBuf> {
            let path = folder.join(format!("{name}.{end}.json"));
            std::fs::write(&path, value.to_string())?;
            Ok(path)
        };
        let mut command = Command::new(program);
        command.env_remove("NODE_LISTEN").env_remove("KELPCART_SITES").env_remove("KELPCART_COPIES");
        command.stderr(Stdio::piped());
        command.env("NODE_CONFIG", file("config", config)?);
        if let Some(sites) = sites {
            command.env("KELPCART_SITES", file("sites", sites)?);
        }
        if let Some(copies) = copies {
            command.env("KELPCART_COPIES", file("copies", copies)?);
        }
        let mut child = command.spawn()?;
        let Some(stderr) = child.stderr.take() else {
            return Err(StartError::Start(name, "its stderr is not available".to_owned()));
        };
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let leadership: Arc<Mutex<Vec<(Instant, u32)>>> = Arc::default();
        let (lines, leadership_writer) = (Arc::clone(&log), Arc::clone(&leadership));
        let path = folder.join(format!("{name}.log"));
        let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
        let reader = thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                leadership_writer
                    .lock()
                    .unwrap()
                    .extend(parse_leader_group(&line).map(|group| (Instant::now(), group)));
                // A failed write is ignored: the last lines are also kept in memory.
                _ = writeln!(file, "{line}");
                let mut all = lines.lock().unwrap();
                if all.len() >= MAX_LOG_LINES {
                    all.remove(0);
                }
                all.push(line);
            }
        });
        let began = Instant::now();
        loop {
            let listens = |l: &String| l.split_once(" listens on ")?.1.parse().ok();
            let found = log.lock().unwrap().iter().find_map(listens);
            if let Some(address) = found {
                return Ok(Gateway { name, address, child, log, leadership });
            }
            if child.try_wait()?.is_some() || began.elapsed() > START_TIMEOUT {
                _ = child.kill();
                _ = child.wait();
                // The last log line is complete only after the reader has reached the end.
                _ = reader.join();
                let last = log.lock().unwrap().last().cloned().unwrap_or_default();
                return Err(StartError::Start(name, last));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().map(|_| ())
    }

    /// Kills the process (SIGKILL), as a crash would.
    pub fn kill(&mut self) {
        // Fails only if the process has already exited.
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// Whether the process has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// When this gateway became leader of which group.
    pub fn leadership(&self) -> Vec<(Instant, u32)> {
        self.leadership.lock().unwrap().clone()
    }

    /// Requests the counters' log line (SIGUSR1) and returns it; empty if none is written within 2 s.
    pub fn counters(&self) -> String {
        let counts = |log: &[String]| log.iter().filter(|l| l.contains("now: clients")).count();
        let before = counts(&self.log.lock().unwrap());
        if self.signal("USR1").is_err() {
            return String::new();
        }
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(2) {
            let log = self.log.lock().unwrap();
            if counts(&log) > before {
                return log.iter().rfind(|l| l.contains("now: clients")).cloned().unwrap_or_default();
            }
            drop(log);
            thread::sleep(Duration::from_millis(5));
        }
        String::new()
    }

    pub fn resource_usage(&self) -> ResourceUsage {
        resource_usage(self.child.id())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One of many gateways: logs to a file, and its start is not awaited.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// `name` is the stem of the files in the folder; with a fleet configuration the gateway joins that fleet.
    pub fn spawn(
        program: &Path,
        folder: &Path,
        name: &str,
        config: &Value,
        fleet: Option<&Value>,
    ) -> io::Result<Process> {
        let file = |end: &str, value: &Value| -> io::Result<PathBuf> {
            let path = folder.join(format!("{name}.{end}.json"));
            std::fs::write(&path, value.to_string())?;
            Ok(path)
        };
        let path = folder.join(format!("{name}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
        let mut command = Command::new(program);
        command.env_remove("NODE_LISTEN").env_remove("KELPCART_SITES").env_remove("KELPCART_FLEET");
        command.env("NODE_CONFIG", file("config", config)?);
        if let Some(fleet) = fleet {
            command.env("KELPCART_FLEET", file("fleet", fleet)?);
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        Ok(Process { child, log: path })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        // Fails only if the process has already exited.
        _ = self.child.kill();
        _ = self.child.wait();
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn resource_usage(&self) -> ResourceUsage {
        resource_usage(self.child.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a signal to many processes.
pub fn signal(name: &str, ids: &[u32]) -> io::Result<()> {
    for some in ids.chunks(256) {
        let ids = some.iter().map(u32::to_string);
        Command::new("kill").args(["-s", name]).args(ids).stderr(Stdio::null()).status()?;
    }
    Ok(())
}

/// Parses the counters' line that a gateway logs on SIGUSR1.
pub fn counters(line: &str) -> BTreeMap<String, f64> {
    let parts = line.split([',', ';']).filter_map(|part| {
        let (name, n) = part.trim().trim_start_matches("in all").trim().rsplit_once(' ')?;
        Some((name.to_owned(), n.parse().ok()?))
    });
    parts.collect()
}

/// CPU time and peak memory of a process, from `/proc`.
pub fn resource_usage(id: u32) -> ResourceUsage {
    let read = |what: &str| std::fs::read_to_string(format!("/proc/{id}/{what}"));
    let stat = read("stat").unwrap_or_default();
    // Fields 14 and 15 (user and system time, counted from behind the name) are in ticks of 10 ms.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status").unwrap_or_default();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
    let peak_kb = peak.and_then(|kb| kb.trim().parse::<f64>().ok()).unwrap_or(0.0);
    ResourceUsage { cpu_s: (ticks(11) + ticks(12)) / 100.0, peak_mb: peak_kb / 1024.0 }
}

/// Returns a loopback UDP address on which nothing listens at the moment.
pub fn free_udp_address() -> io::Result<SocketAddr> {
    std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()
}
