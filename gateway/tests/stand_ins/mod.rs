//! Test doubles on loopback for caches, the discovery service and clients, and the gateway process under test.
#![allow(dead_code, reason = "each test file uses its part")]

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Ends a test that hangs; far longer than any step takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub type Script = dyn Fn(&ReceivedRequest) -> Reply + Send + Sync;

/// A request that a stub cache received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
    }
}

pub enum Reply {
    Send(Vec<u8>),
    SendAndClose(Vec<u8>),
    Silent,
}

#[derive(Debug)]
pub enum CacheEvent {
    Request(ReceivedRequest),
    Closed,
}

/// A stub cache, parent or origin.
pub struct StubCache {
    pub address: SocketAddr,
    pub events: Receiver<CacheEvent>,
    /// Number of connections accepted so far.
    pub connection_count: Arc<AtomicUsize>,
}

impl StubCache {
    pub fn start(script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static) -> StubCache {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, (sender, events)) = (listener.local_addr().unwrap(), channel());
        let script: Arc<Script> = Arc::new(script);
        let connection_count: Arc<AtomicUsize> = Arc::default();
        let count = Arc::clone(&connection_count);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let (script, sender) = (Arc::clone(&script), sender.clone());
                thread::spawn(move || {
                    serve_connection(stream, &*script, &sender);
                    _ = sender.send(CacheEvent::Closed);
                });
            }
        });
        StubCache { address, events, connection_count }
    }

    /// Answers each request when a message is sent on the returned channel.
    pub fn answering_on_command(body: &'static [u8]) -> (StubCache, Sender<()>) {
        let (release, released) = channel();
        let released = Mutex::new(released);
        let cache = StubCache::start(move |_| {
            released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
            ok_response(body)
        });
        (cache, release)
    }

    /// Closes each connection without a response when a message is sent on the returned channel.
    pub fn closing_on_command() -> (StubCache, Sender<()>) {
        let (close, command) = channel();
        let command = Mutex::new(command);
        let cache = StubCache::start(move |_| {
            command.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
            Reply::SendAndClose(Vec::new())
        });
        (cache, close)
    }

    pub fn next_request(&self) -> ReceivedRequest {
        loop {
            if let CacheEvent::Request(request) = self.events.recv_timeout(TEST_TIMEOUT).unwrap() {
                return request;
            }
        }
    }

    pub fn wait_until_closed(&self) {
        while !matches!(self.events.recv_timeout(TEST_TIMEOUT).unwrap(), CacheEvent::Closed) {}
    }

    /// Waits until the peer's kernel has acknowledged the FIN of every connection that was closed here.
    pub fn wait_for_acknowledged_fins(&self) {
        let port = format!(":{:04X}", self.address.port());
        let sent_only = |line: &str| {
            let mut parts = line.split_whitespace().skip(1);
            // 04 is FIN_WAIT1.
            parts.next().is_some_and(|local| local.ends_with(&port)) && parts.nth(1) == Some("04")
        };
        while std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(sent_only) {
            thread::yield_now();
        }
    }

    pub fn take_request_count(&self) -> usize {
        self.events.try_iter().filter(|n| matches!(n, CacheEvent::Request(_))).count()
    }
}

pub fn serve_connection(stream: TcpStream, script: &Script, sender: &Sender<CacheEvent>) {
    let mut lines = BufReader::new(stream.try_clone().unwrap());
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if lines.read_line(&mut head).unwrap_or(0) == 0 {
                return;
            }
        }
        let mut request = ReceivedRequest { head, body: Vec::new() };
        let len = request.header("Content-Length").map_or(0, |n| n.parse().unwrap());
        request.body = vec![0; len];
        if lines.read_exact(&mut request.body).is_err() {
            return;
        }
        _ = sender.send(CacheEvent::Request(request.clone()));
        let reply = script(&request);
        let (bytes, close) = match reply {
            Reply::Send(bytes) => (bytes, false),
            Reply::SendAndClose(bytes) => (bytes, true),
            Reply::Silent => (Vec::new(), false),
        };
        if (&stream).write_all(&bytes).is_err() || close {
            return;
        }
    }
}

/// An address without a listener.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn http_response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

pub fn ok_response(body: &[u8]) -> Reply {
    Reply::Send(http_response(
        "200 OK",
        "ETag: 12ab\r\nX-Born-Ms: 1\r\nX-Result: hit\r\nX-Stats: x1:0.5\r\n",
        body,
    ))
}

/// The body that every stub cache serves for a path.
pub fn body_for_path(path: &str, len: usize) -> Vec<u8> {
    path.bytes().cycle().enumerate().map(|(i, b)| b ^ (i / 7) as u8).take(len).collect()
}

#[derive(Clone, Copy)]
pub struct Member(pub &'static str, pub &'static str, pub SocketAddr);

pub fn endpoint(Member(name, kind, address): &Member, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "z", "type": kind, "group": 0,
        "status": status, "weight": 8.0, "since_ms": 0})
}

pub fn config(members: &[Member], discovery: SocketAddr, memory_mb: u64) -> Value {
    let class = |name: &str, effect: &str| {
        // Long enough that no txn misses its SLA time on a busy machine.
        json!({"Name": name, "Repeat": effect, "DedupScope": "all", "MemorySpanUs": 0, "SloUs": 20_000_000,
            "AimStretch": 1.5, "DeadlineUs": 30_000_000})
    };
    let list: Vec<Value> = members.iter().map(|m| endpoint(m, "up")).collect();
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "7", "bulletin": discovery.to_string(),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 256},
        "known": {"no": 1, "items": [{"no": 1, "roster": {"index": 0, "snapshot": true, "endpoints": list}}]},
        "settings": {
            "Instances": 1, "Locality": 0, "Weights": "nominal", "Discovery": "push", "TickUs": 1000,
            "Zones": ["z"], "Shapes": ["box", "parent", "origin"],
            "Classes": [class("segment", "pure"), class("commit", "side_effect")],
            "FamilyInfo": {"CrewByZone": [1], "ParentKind": 1, "OriginKind": 2, "BypassAllowed": true,
                "CanJoin": false, "Neighbours": "off", "LifetimeByClassUs": [0, 0], "UsableAfterUs": [0, 0],
                "PassOn": [false, true], "ParentColdFrom": 0.1, "UpperColdUs": 9_000_000,
                "ParentFallMultiple": 2.0, "GoneEverywhereUs": 60_000_000, "ClientKbPerS": 100_000.0},
            "PolicyLimits": {"Cancel": true, "RetryAfter": true, "MaxRetryAfterUs": 2_000_000,
                "MaxAttempts": 6, "MaxOpen": 20_000, "ConnectTimeoutUs": 400_000, "ConnIdleUs": 15_000_000},
            "Contract": {"AskWithinUs": 9_000_000, "ColdFrom": 0.2, "ColdUs": 9_000_000, "FallMultiple": 2.0,
                "TipAfterUs": 3_000_000},
        },
    })
}

/// A configuration with a single edge cache, an unreachable origin, and numbers to set by their JSON paths.
pub fn edge_config(edge: &StubCache, numbers: &[(&str, u64)]) -> Value {
    let members = [Member("e1", "box", edge.address), Member("o", "origin", unused_address())];
    let mut all = config(&members, unused_address(), 64);
    for (path, number) in numbers {
        *all.pointer_mut(path).unwrap() = json!(number);
    }
    all
}

/// A gateway process that is killed on drop.
pub struct Gateway {
    pub child: Child,
    /// The path of its configuration file.
    pub config: String,
    pub address: SocketAddr,
    pub log: BufReader<std::process::ChildStderr>,
}

pub fn spawn(config: &Value) -> (Child, String) {
    spawn_by(Command::new(env!("CARGO_BIN_EXE_kelpcart")), config)
}

fn spawn_by(mut command: Command, config: &Value) -> (Child, String) {
    static NEXT: Mutex<u32> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    *next += 1;
    let name = format!("{}/{}-{}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id(), *next);
    std::fs::write(&name, config.to_string()).unwrap();
    command.env_remove("NODE_LISTEN").env_remove("KELPCART_LOG").env("NODE_CONFIG", &name);
    (command.stderr(Stdio::piped()).spawn().unwrap(), name)
}

impl Gateway {
    pub fn start(config: &Value) -> Gateway {
        Gateway::from_child(spawn(config))
    }

    /// Limits the process's descriptors to the number in the configuration.
    pub fn start_limited(config: &Value) -> Gateway {
        Gateway::start_limited_with(config, &[])
    }

    /// The same with further environment variables.
    pub fn start_limited_with(config: &Value, variables: &[(&str, &str)]) -> Gateway {
        let mut command = Command::new("sh");
        let limit = format!("ulimit -n {}; exec \"$0\"", config["limits"]["sockets"]);
        command.args(["-c", &limit, env!("CARGO_BIN_EXE_kelpcart")]).envs(variables.iter().copied());
        Gateway::from_child(spawn_by(command, config))
    }

    fn from_child((mut child, config): (Child, String)) -> Gateway {
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains(" listens on ") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the gateway ended before it listened");
        }
        let address = line.trim().rsplit(' ').next().unwrap().parse().unwrap();
        Gateway { child, config, address, log }
    }

    /// A gateway with a single edge cache and an unreachable origin.
    pub fn with_edge(edge: &StubCache) -> Gateway {
        Gateway::start(&edge_config(edge, &[]))
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -s {name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn replace_config(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("HUP");
    }

    /// The current gauges and table sizes of the counter log line.
    pub fn gauges(&mut self) -> BTreeMap<String, usize> {
        self.signal("USR1");
        let line = loop {
            let line = self.next_log_line();
            if line.contains("now: ") {
                break line;
            }
        };
        let now = line.split_once("now: ").unwrap().1.split_once("; in all").unwrap().0;
        let pair = |size: &str| size.rsplit_once(' ').map(|(what, n)| (what.to_owned(), n.parse().unwrap()));
        now.split(", ").map(|size| pair(size).unwrap()).collect()
    }

    /// The total of one event counter.
    pub fn counter(&mut self, what: &str) -> usize {
        self.signal("USR1");
        loop {
            let line = self.next_log_line();
            let Some((_, all)) = line.split_once("; in all") else { continue };
            let pairs = all.split(", ").filter_map(|pair| pair.trim().rsplit_once(' '));
            return pairs.filter(|(name, _)| *name == what).map(|(_, n)| n.parse::<usize>().unwrap()).sum();
        }
    }

    pub fn next_log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).unwrap();
        line
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

pub struct Client {
    pub stream: TcpStream,
    pub next_message_id: u8,
    /// The request id of the last request.
    pub request_id: String,
}

#[derive(Debug, PartialEq)]
pub struct Answer {
    pub id: u64,
    /// The name of the error, if it is one.
    pub error: Option<String>,
    /// The body of a served txn; for a health check one byte, 1 for ready.
    pub body: Vec<u8>,
    pub fields: BTreeMap<String, String>,
}

impl Client {
    pub fn connect(gateway: &Gateway) -> Client {
        let stream = TcpStream::connect(gateway.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { stream, next_message_id: 1, request_id: String::new() }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn send_request_with(&mut self, method: &str, fields: &[(&str, &str)], body: &[u8]) -> u64 {
        let id = self.next_message_id;
        self.next_message_id += 1;
        let mut out = vec![0x94, 0x00, 0xcc, id];
        push_str(&mut out, method);
        out.extend([0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            push_str(&mut out, name);
            push_str(&mut out, value);
        }
        out.push(0xc5);
        out.extend((body.len() as u16).to_be_bytes());
        out.extend(body);
        self.send(&out);
        u64::from(id)
    }

    pub fn send_request(&mut self, method: &str, object: u64, timeout: u64, body: &[u8]) -> u64 {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        self.request_id = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
        self.resend_request(method, object, timeout, body)
    }

    pub fn resend_request(&mut self, method: &str, object: u64, timeout: u64, body: &[u8]) -> u64 {
        let (object, timeout) = (format!("{object:016x}"), timeout.to_string());
        let req = self.request_id.clone();
        let fields = [
            ("req", &*req),
            ("timeout", &timeout),
            ("subject", &object),
            ("slice", "3"),
            ("set", "17"),
            ("need", "40.5"),
        ];
        self.send_request_with(method, &fields, body)
    }

    pub fn send_health_check(&mut self) -> u64 {
        let id = self.next_message_id;
        self.next_message_id += 1;
        self.send(&[0x94, 0x00, id, 0xa5, b'c', b'h', b'e', b'c', b'k', 0x91, 0x80]);
        u64::from(id)
    }

    pub fn is_ready(&mut self) -> bool {
        self.send_health_check();
        self.read_answer().body == [1]
    }

    pub fn cancel(&mut self, id: u64) {
        let mut out = vec![0x93, 0x02];
        push_str(&mut out, "interrupt");
        out.extend([0x91, 0xcc, id as u8]);
        self.send(&out);
    }

    pub fn read_byte(&mut self) -> u8 {
        self.read_bytes(1)[0]
    }

    pub fn read_bytes(&mut self, n: usize) -> Vec<u8> {
        let mut bytes = vec![0; n];
        self.stream.read_exact(&mut bytes).unwrap();
        bytes
    }

    pub fn read_uint(&mut self, n: usize) -> usize {
        self.read_bytes(n).iter().fold(0, |all, &b| all << 8 | usize::from(b))
    }

    /// Reads a string, a binary, an integer or a boolean.
    pub fn read_value(&mut self) -> Vec<u8> {
        let len = match self.read_byte() {
            tag @ 0xa0..=0xbf => usize::from(tag & 0x1f),
            0xc0 => return Vec::new(),
            tag @ (0xc2 | 0xc3) => return vec![tag & 1],
            tag @ 0x00..=0x7f => return vec![tag],
            0xcd => return self.read_bytes(2),
            0xc6 => self.read_uint(4),
            0xda => self.read_uint(2),
            tag => panic!("unexpected MessagePack tag in an answer: {tag:#x}"),
        };
        self.read_bytes(len)
    }

    pub fn read_fields(&mut self) -> BTreeMap<String, String> {
        let n = self.read_byte() & 0x0f;
        let mut text = || String::from_utf8(self.read_value()).unwrap();
        (0..n).map(|_| (text(), text())).collect()
    }

    pub fn read_answer(&mut self) -> Answer {
        assert_eq!(self.read_bytes(2), [0x94, 0x01]);
        let id = self.read_value().iter().fold(0, |all, &b| all << 8 | u64::from(b));
        let (mut word, mut body) = (None, Vec::new());
        let fields = match self.read_byte() {
            0xc0 => {
                assert_eq!(self.read_byte(), 0x92);
                body = self.read_value();
                self.read_fields()
            }
            0x92 => {
                word = Some(String::from_utf8(self.read_value()).unwrap());
                let fields = self.read_fields();
                assert_eq!(self.read_byte(), 0xc0);
                fields
            }
            tag => panic!("unexpected MessagePack tag in an answer: {tag:#x}"),
        };
        Answer { id, error: word, body, fields }
    }

    /// Whether input arrives within 5 ms.
    pub fn has_answer(&mut self) -> bool {
        self.stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        peeked.is_ok()
    }

    pub fn is_closed(&mut self) -> bool {
        match self.stream.read(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}

pub fn push_str(out: &mut Vec<u8>, text: &str) {
    out.extend([0xd9, text.len() as u8]);
    out.extend(text.as_bytes());
}

/// A stub discovery service: for each connection it reports the subscription line that it received and sends the next of
/// the given texts.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    pub subscriptions: Receiver<String>,
    pub last_connection: Arc<Mutex<Option<TcpStream>>>,
}

impl DiscoveryServer {
    pub fn start(lines: Vec<String>) -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, (sender, subscriptions)) = (listener.local_addr().unwrap(), channel());
        let last_connection: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        let current = Arc::clone(&last_connection);
        thread::spawn(move || {
            for (i, stream) in listener.incoming().flatten().enumerate() {
                let mut line = String::new();
                BufReader::new(stream.try_clone().unwrap()).read_line(&mut line).unwrap();
                _ = (&stream).write_all(lines.get(i).map_or("", String::as_str).as_bytes());
                *current.lock().unwrap() = Some(stream);
                _ = sender.send(line);
            }
        });
        DiscoveryServer { address, subscriptions, last_connection }
    }

    pub fn next_subscription(&self) -> String {
        self.subscriptions.recv_timeout(TEST_TIMEOUT).unwrap()
    }

    /// Writes to the latest connection.
    pub fn write(&self, text: &str) {
        self.last_connection.lock().unwrap().as_ref().unwrap().write_all(text.as_bytes()).unwrap();
    }

    pub fn send_line(&self, line: &str) {
        self.write(&format!("{line}\n"));
    }

    pub fn disconnect(&self) {
        *self.last_connection.lock().unwrap() = None;
    }
}

pub fn roster_event(no: u64, list: Value) -> String {
    json!({"no": no, "roster": {"index": no, "snapshot": false, "endpoints": list}}).to_string()
}
