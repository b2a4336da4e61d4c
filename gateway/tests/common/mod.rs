//! A gateway client and process inspection for the tests with several processes. The tests do not depend on the machine's
//! speed: all timeouts are long, and each step waits until its effect is visible.
#![allow(dead_code, reason = "each test file uses its part")]

use kelpcart_rig::caches::Site;
use kelpcart_rig::client::{self, Request, Response, Status};
use kelpcart_rig::fleet::Gateway;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Ends a test that hangs; far longer than any step takes.
pub const PATIENCE: Duration = Duration::from_secs(25);

pub fn len(_: u64) -> usize {
    30_000
}

pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_kelpcart"))
}

/// Waits until at least `times` lines of a gateway's log contain `what`.
pub fn wait_for(gateway: &Gateway, what: &str, times: usize) {
    let began = Instant::now();
    while gateway.log().iter().filter(|l| l.contains(what)).count() < times {
        assert!(began.elapsed() < PATIENCE, "{what} did not appear in the log: {:#?}", gateway.log());
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
    next: u32,
}

static TRACES: AtomicU64 = AtomicU64::new(1);

impl Client {
    pub fn of(gateway: &Gateway) -> Client {
        let stream = TcpStream::connect(gateway.address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { stream, buffer: Vec::new(), next: 0 }
    }

    /// Sends a request and returns its trace id.
    pub fn ask(&mut self, rule: &str, object: u64) -> u64 {
        self.next += 1;
        let trace = TRACES.fetch_add(1, Ordering::SeqCst);
        let body: &[u8] = if rule == "book" { b"two nights" } else { b"" };
        let (id, timeout_ms, need_kb) = (self.next, 20_000, 30.0);
        let ask = Request { id, rule, trace, object, timeout_ms, need_kb, body };
        self.stream.write_all(&client::encode_request(&ask)).unwrap();
        trace
    }

    pub fn answer(&mut self) -> Response {
        self.answer_within(PATIENCE).expect("an answer")
    }

    pub fn answer_within(&mut self, most: Duration) -> Option<Response> {
        self.stream.set_read_timeout(Some(most)).unwrap();
        loop {
            if let Some((answer, n)) = client::decode_response(&self.buffer).unwrap() {
                self.buffer.drain(..n);
                return Some(answer);
            }
            let mut bytes = [0; 64 * 1024];
            match self.stream.read(&mut bytes) {
                Ok(n) => {
                    assert!(n > 0, "the gateway closed");
                    self.buffer.extend_from_slice(&bytes[..n]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return None,
                Err(e) => panic!("{e}"),
            }
        }
    }

    /// Sends a write that runs at the central store and is held there; returns its trace id. On a busy machine the link may
    /// briefly be suspected and the first attempts rejected: those have not run.
    pub fn held_book(&mut self, site: &Site) -> u64 {
        site.block_writes(true);
        let (began, before) = (Instant::now(), site.writes_executed());
        loop {
            let trace = self.ask("book", 77);
            while !site.wait_for_writes(before + 1, Duration::from_millis(20)) {
                assert!(began.elapsed() < PATIENCE);
                if let Some(answer) = self.answer_within(Duration::from_millis(20)) {
                    assert_eq!(answer.status, Status::Rejected);
                    break;
                }
            }
            if site.wait_for_writes(before + 1, Duration::ZERO) {
                return trace;
            }
        }
    }

    /// Retries a txn until it is served: the link may not be trusted yet.
    pub fn served(&mut self, rule: &str, object: u64) -> (u64, Response) {
        let began = Instant::now();
        loop {
            let trace = self.ask(rule, object);
            let answer = self.answer();
            if answer.status == Status::Served {
                return (trace, answer);
            }
            assert!(answer.status == Status::Rejected && began.elapsed() < PATIENCE, "{answer:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// The number of threads and of UDP sockets of a process.
pub fn held(id: u32) -> (usize, usize) {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let threads = status.lines().find_map(|l| l.strip_prefix("Threads:")?.trim().parse().ok()).unwrap();
    let udp = std::fs::read_to_string("/proc/net/udp").unwrap();
    let inodes: Vec<&str> = udp.lines().skip(1).filter_map(|l| l.split_whitespace().nth(9)).collect();
    let links = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().flatten();
    let sockets = links.filter_map(|f| std::fs::read_link(f.path()).ok()).filter(|to| {
        let to = to.to_string_lossy();
        to.strip_prefix("socket:[").and_then(|t| t.strip_suffix(']')).is_some_and(|n| inodes.contains(&n))
    });
    (threads, sockets.count())
}
