//! Stand-ins on loopback for the cases of the review: servers (caches, parents, the central store), discovery, a client, and
//! the gateway's processes. Standard library only.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run: one line an event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }
}

// Servers.

#[derive(Clone, Debug)]
pub struct Request {
    /// Class, object and part.
    pub path: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(&name.to_ascii_lowercase()).map_or("-", String::as_str)
    }
}

pub enum Reply {
    /// Status line, further fields, and body, after a time in milliseconds.
    Answer { status: &'static str, fields: String, body: Vec<u8>, after_ms: u64 },
    /// The connection is reset after a time in milliseconds.
    Reset { after_ms: u64 },
}

pub fn ok(body: Vec<u8>, born_ms: u64, result: &str, after_ms: u64) -> Reply {
    let fields = format!(
        "ETag: 00000000000000aa\r\nX-Born-Ms: {born_ms}\r\nX-Result: {result}\r\nX-Stats: inflight:1;x0:0.7;x1:0.3\r\n"
    );
    Reply::Answer { status: "200 OK", fields, body, after_ms }
}

type Serve = dyn Fn(&Request) -> Reply + Send + Sync;

/// A server with HTTP/1.1: a cache, a parent or the origin.
pub fn start_server(serve: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve: Arc<Serve> = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || _ = serve_connection(stream, &*serve));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, serve: &Serve) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut lines = BufReader::new(stream.try_clone()?);
    loop {
        let mut first = String::new();
        if lines.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let mut fields = BTreeMap::new();
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line)? == 0 {
                return Ok(());
            }
            match line.trim_end().split_once(": ") {
                Some((name, value)) => _ = fields.insert(name.to_ascii_lowercase(), value.to_owned()),
                None => break,
            }
        }
        let length = fields.get("content-length").map_or(0, |n| n.parse().unwrap_or(0));
        let mut body = vec![0; length];
        lines.read_exact(&mut body)?;
        let path = first.split(' ').nth(1).unwrap_or("/").to_owned();
        match serve(&Request { path, fields, body }) {
            Reply::Answer { status, fields, body, after_ms } => {
                sleep_ms(after_ms);
                let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
                stream.write_all(&[head.as_bytes(), &body].concat())?;
            }
            Reply::Reset { after_ms } => {
                sleep_ms(after_ms);
                reset_on_close(&stream);
                return Ok(());
            }
        }
    }
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// From now on closing the socket sends a reset, as the end of a process does where input is unread.
fn reset_on_close(stream: &TcpStream) {
    let linger = [1, 0];
    // SOL_SOCKET and SO_LINGER of Linux; the option's value is two integers.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

// Discovery.

/// The bulletin: numbered events, and the last number each second.
#[derive(Clone)]
pub struct Bulletin {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    first: u64,
    down: Arc<AtomicBool>,
}

impl Bulletin {
    /// `known`: the number of the last event in the configurations.
    pub fn start(known: u64) -> Bulletin {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let bulletin = Bulletin { address, events: Arc::default(), first: known, down: Arc::default() };
        let shared = bulletin.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.down.load(Ordering::SeqCst) {
                    continue;
                }
                let one = shared.clone();
                thread::spawn(move || _ = one.tell(stream));
            }
        });
        bulletin
    }

    fn tell(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut line = String::new();
        BufReader::new(stream.try_clone()?).read_line(&mut line)?;
        let after = line.trim().strip_prefix("after ").and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let (mut told, mut last_line) = (after.max(self.first), Instant::now() - Duration::from_secs(2));
        while !self.down.load(Ordering::SeqCst) {
            let new: Vec<String> = {
                let events = self.events.lock().unwrap();
                events.iter().skip((told - self.first) as usize).cloned().collect()
            };
            for event in new {
                stream.write_all(event.as_bytes())?;
                told += 1;
            }
            if last_line.elapsed() >= Duration::from_secs(1) {
                last_line = Instant::now();
                stream.write_all(format!("{told}\n").as_bytes())?;
            }
            sleep_ms(2);
        }
        Ok(())
    }

    /// `content`: the event without its number, as in `"recall":{...}`.
    pub fn publish(&self, content: &str) {
        let mut events = self.events.lock().unwrap();
        let number = self.first + events.len() as u64 + 1;
        events.push(format!("{{\"no\":{number},{content}}}\n"));
    }

    /// Ends the open connections and serves none, until it is up again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }
}

// Clients.

#[derive(Clone, Debug)]
pub struct Answer {
    pub at_ms: u64,
    pub id: u64,
    /// "served", "ready", or the error's name.
    pub what: String,
    pub body: Vec<u8>,
}

pub enum FromGateway {
    Answer(Answer),
    Closed(u64),
}

pub struct Client {
    pub stream: TcpStream,
    pub answers: Receiver<FromGateway>,
    next: u64,
}

static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// A request id that no other request of this run has.
pub fn new_request_id() -> String {
    format!("{:016x}", (unix_ms() << 20) + REQUESTS.fetch_add(1, Ordering::SeqCst))
}

pub struct Ask<'a> {
    pub class: &'a str,
    pub req: &'a str,
    pub object: u64,
    pub group: u8,
    pub need_kb: f64,
    pub timeout_ms: u64,
    pub key: Option<&'a str>,
    pub body: &'a [u8],
}

impl Client {
    pub fn connect(address: SocketAddr, record: &Record) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(Duration::from_secs(5)))?;
        let (sender, answers) = channel();
        let (mut input, record) = (stream.try_clone()?, record.clone());
        thread::spawn(move || {
            let (mut buffer, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
            loop {
                let n = input.read(&mut chunk).unwrap_or(0);
                if n == 0 {
                    _ = sender.send(FromGateway::Closed(record.now_ms()));
                    return;
                }
                buffer.extend_from_slice(&chunk[..n]);
                while let Some((mut answer, used)) = decode_answer(&buffer) {
                    buffer.drain(..used);
                    answer.at_ms = record.now_ms();
                    _ = sender.send(FromGateway::Answer(answer));
                }
            }
        });
        Ok(Client { stream, answers, next: 0 })
    }

    /// The message of a request, and its number.
    pub fn encode(&mut self, ask: &Ask) -> (u64, Vec<u8>) {
        self.next += 1;
        let id = self.next;
        let (group, need) = (ask.group.to_string(), ask.need_kb.to_string());
        let (object, timeout) = (format!("{:016x}", ask.object), ask.timeout_ms.to_string());
        let mut fields = vec![
            ("req", ask.req),
            ("subject", &object),
            ("timeout", &timeout),
            ("slice", "0"),
            ("set", &group),
            ("need", &need),
        ];
        fields.extend(ask.key.map(|key| ("opkey", key)));
        let mut out = vec![0x94, 0x00, 0xce];
        out.extend((id as u32).to_be_bytes());
        push_text(&mut out, ask.class);
        out.extend([0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            push_text(&mut out, name);
            push_text(&mut out, value);
        }
        out.push(0xc5);
        out.extend((ask.body.len() as u16).to_be_bytes());
        out.extend(ask.body);
        (id, out)
    }

    pub fn send(&mut self, ask: &Ask) -> std::io::Result<u64> {
        let (id, bytes) = self.encode(ask);
        self.stream.write_all(&bytes)?;
        Ok(id)
    }

    /// The next answer; `None` if none comes in this time, or the connection was closed.
    pub fn answer(&self, wait_ms: u64) -> Option<Answer> {
        match self.answers.recv_timeout(Duration::from_millis(wait_ms)).ok()? {
            FromGateway::Answer(answer) => Some(answer),
            FromGateway::Closed(_) => None,
        }
    }

    fn check(&mut self) -> std::io::Result<u64> {
        self.next += 1;
        let mut out = vec![0x94, 0x00, 0xce];
        out.extend((self.next as u32).to_be_bytes());
        push_text(&mut out, "check");
        out.extend([0x91, 0x80]);
        self.stream.write_all(&out)?;
        Ok(self.next)
    }
}

fn push_text(out: &mut Vec<u8>, text: &str) {
    out.extend([0xd9, text.len() as u8]);
    out.extend(text.as_bytes());
}

enum Value {
    Nil,
    Bool(bool),
    Int(u64),
    Bytes(Vec<u8>),
    Array(Vec<Value>),
    Map,
}

/// A MessagePack value of the forms that answers have; `None` while it is incomplete.
fn read_value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let take = |n: usize, at: &mut usize| {
        let part = bytes.get(*at..*at + n)?;
        *at += n;
        Some(part.to_vec())
    };
    let int = |n: usize, at: &mut usize| Some(take(n, at)?.iter().fold(0, |v, b| v << 8 | u64::from(*b)));
    let tag = take(1, at)?[0];
    Some(match tag {
        0x00..=0x7f => Value::Int(tag.into()),
        0x80..=0x8f => {
            for _ in 0..2 * (tag & 0x0f) {
                read_value(bytes, at)?;
            }
            Value::Map
        }
        0x90..=0x9f => {
            let all: Option<Vec<Value>> = (0..tag & 0x0f).map(|_| read_value(bytes, at)).collect();
            Value::Array(all?)
        }
        0xa0..=0xbf => Value::Bytes(take((tag & 0x1f).into(), at)?),
        0xc0 => Value::Nil,
        0xc2 | 0xc3 => Value::Bool(tag == 0xc3),
        0xc4..=0xc6 => {
            let n = int(1 << (tag - 0xc4), at)?;
            Value::Bytes(take(n as usize, at)?)
        }
        0xcc..=0xcf => Value::Int(int(1 << (tag - 0xcc), at)?),
        0xd9..=0xdb => {
            let n = int(1 << (tag - 0xd9), at)?;
            Value::Bytes(take(n as usize, at)?)
        }
        _ => panic!("answer of an unexpected form: {tag:02x}"),
    })
}

fn decode_answer(bytes: &[u8]) -> Option<(Answer, usize)> {
    let mut at = 0;
    let Value::Array(parts) = read_value(bytes, &mut at)? else { panic!("answer is no array") };
    let [Value::Int(1), Value::Int(id), error, result] = parts.as_slice() else { panic!("not an answer") };
    let (what, body) = match (error, result) {
        (Value::Nil, Value::Array(result)) => match result.first() {
            Some(Value::Bytes(body)) => ("served".to_owned(), body.clone()),
            Some(Value::Bool(ready)) => (if *ready { "ready" } else { "not ready" }.to_owned(), Vec::new()),
            _ => panic!("result of an unexpected form"),
        },
        (Value::Array(error), _) => match error.first() {
            Some(Value::Bytes(name)) => (String::from_utf8_lossy(name).into_owned(), Vec::new()),
            _ => panic!("error of an unexpected form"),
        },
        _ => panic!("answer of an unexpected form"),
    };
    Some((Answer { at_ms: 0, id: *id, what, body }, at))
}

// Gateways.

/// The command that the deploy file starts a gateway with.
pub fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("run from the repository's root");
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).expect("run in the deploy file");
    line.split('"').next().unwrap().to_owned()
}

pub fn free_tcp() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn free_udp() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
    log: PathBuf,
}

impl Gateway {
    /// Starts a gateway and waits until it answers `check` with true.
    pub fn start(
        folder: &Path,
        name: &str,
        config: &str,
        files: &[(&str, String)],
        record: &Record,
    ) -> Result<Gateway, String> {
        let address = free_tcp();
        let path = folder.join(format!("{name}.config.json"));
        let config = config.replace("@LISTEN@", &address.to_string()).replace("@NAME@", name);
        fs::write(&path, config).map_err(|e| e.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run_command()]);
        for variable in ["KELPCART_SITES", "KELPCART_COPIES", "KELPCART_FLEET"] {
            command.env_remove(variable);
        }
        command.env("NODE_NAME", name).env("NODE_CONFIG", &path).env("NODE_LISTEN", address.to_string());
        for (variable, text) in files {
            let path = folder.join(format!("{name}.{variable}.json"));
            fs::write(&path, text).map_err(|e| e.to_string())?;
            command.env(variable, path);
        }
        let output = File::create(&log).map_err(|e| e.to_string())?;
        command.env("KELPCART_LOG", "trace").stdin(Stdio::null()).stdout(Stdio::null()).stderr(output);
        // PR_SET_PDEATHSIG: a gateway is killed when this program ends, however it ends.
        unsafe { command.pre_exec(|| Ok(_ = prctl(1, 9))) };
        let child = command.spawn().map_err(|e| format!("{name} does not start: {e}"))?;
        record.line(&format!("{name}: started, clients at {address}"));
        let gateway = Gateway { name: name.to_owned(), address, child, log };
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(30) {
            if let Ok(mut client) = Client::connect(address, record)
                && client.check().is_ok()
                && client.answer(500).is_some_and(|a| a.what == "ready")
            {
                return Ok(gateway);
            }
            sleep_ms(50);
        }
        Err(format!("{name} is not ready after 30 s"))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits for a line of the log.
    pub fn wait_for_log(&self, text: &str, wait_ms: u64) -> Result<(), String> {
        let began = Instant::now();
        while !self.log().contains(text) {
            if began.elapsed() > Duration::from_millis(wait_ms) {
                return Err(format!("{}: no line with {text:?} in its log", self.name));
            }
            sleep_ms(20);
        }
        Ok(())
    }

    pub fn signal(&self, name: &str) {
        _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

// Configurations.

/// A remap rule of the settings.
pub struct Class {
    pub name: &'static str,
    /// `pure`, `token` or `side_effect`.
    pub repeat: &'static str,
    pub scope: &'static str,
    pub memory_ms: u64,
    pub slo_ms: u64,
    pub stretch: f64,
    pub deadline_ms: u64,
    pub write: bool,
}

pub struct Config<'a> {
    pub zones: &'a [&'a str],
    pub locality: usize,
    pub gateways: u32,
    pub classes: &'a [Class],
    pub bulletin: SocketAddr,
    /// Name, kind, zone and address.
    pub members: &'a [(&'a str, &'a str, &'a str, SocketAddr)],
    pub client_kb_per_s: f64,
}

impl Config<'_> {
    /// The figures that are not named here are those of the protocol's example for `member-channel-net`.
    pub fn json(&self) -> String {
        let list = |all: Vec<String>| all.join(",");
        let zones = list(self.zones.iter().map(|z| format!("\"{z}\"")).collect());
        let crew = list(self.zones.iter().map(|_| "1".to_owned()).collect());
        let class = |c: &Class| {
            format!(
                r#"{{"Name":"{}","Repeat":"{}","DedupScope":"{}","MemorySpanUs":{},"SloUs":{},"AimStretch":{},"DeadlineUs":{},"Credit":1.0,"LateWorth":0.1,"Stream":false}}"#,
                c.name,
                c.repeat,
                c.scope,
                c.memory_ms * 1000,
                c.slo_ms * 1000,
                c.stretch,
                c.deadline_ms * 1000
            )
        };
        let classes = list(self.classes.iter().map(class).collect());
        let zeros = list(self.classes.iter().map(|_| "0".to_owned()).collect());
        let writes = list(self.classes.iter().map(|c| c.write.to_string()).collect());
        let member = |(name, kind, zone, address): &(&str, &str, &str, SocketAddr)| {
            format!(
                r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":0,"status":"up","weight":16.0,"since_ms":0}}"#
            )
        };
        let members = list(self.members.iter().map(member).collect());
        format!(
            r#"{{"name":"@NAME@","listen":"@LISTEN@","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":96,"sockets":512}},"bulletin":"{}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"no":1,"items":[{{"no":1,"roster":{{"index":1,"snapshot":true,"endpoints":[{members}]}}}}]}},
"settings":{{"Instances":{},"Locality":{},"Zones":[{zones}],"Shapes":["std-box","parent","origin"],"Weights":"nominal",
"Discovery":"push","TickUs":2000,"Classes":[{classes}],
"FamilyInfo":{{"CrewByZone":[{crew}],"ParentKind":1,"OriginKind":2,"BypassAllowed":true,"CanJoin":false,"Neighbours":"any",
"ClientKbPerS":{},"LifetimeByClassUs":[{zeros}],"UsableAfterUs":[{zeros}],"PassOn":[{writes}],"ParentColdFrom":0.074,
"UpperColdUs":22000000,"ParentFallMultiple":2.0,"GoneEverywhereUs":6000000,"HeedWithinUs":500000}},
"PolicyLimits":{{"Cancel":true,"RetryAfter":true,"MaxRetryAfterUs":2000000,"MaxAttempts":6,"MaxOpen":20000,
"ConnectTimeoutUs":400000,"ConnIdleUs":15000000}},
"Contract":{{"AskWithinUs":10000000,"ColdFrom":0.19,"ColdUs":17000000,"DrainGraceUs":1000000,"FallMultiple":2.0,
"GraceToAnswerUs":8000,"TipAfterUs":3000000}}}}}}"#,
            self.bulletin, self.gateways, self.locality, self.client_kb_per_s
        )
    }
}

/// Writes the certificates of the links with the project's own tool.
pub fn write_keys(folder: &Path, sites: &[&str]) -> Result<(), String> {
    let status = Command::new("target/release/kelpcart-rig").arg("keys").arg(folder).args(sites).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        other => Err(format!("kelpcart-rig keys: {other:?}")),
    }
}

pub fn key_files(folder: &Path, site: &str) -> String {
    let path = |name: String| folder.join(name).display().to_string();
    format!(
        r#"{{"certificate":"{}","key":"{}","roots":"{}"}}"#,
        path(format!("{site}.pem")),
        path(format!("{site}.key")),
        path("roots.pem".to_owned())
    )
}
