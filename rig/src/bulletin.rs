//! The bulletin as a stand-in: numbered events, told to whoever connects, and the last number each second.

use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

struct Shared {
    events: Mutex<Vec<Value>>,
    more: Condvar,
    ends: AtomicBool,
    /// The number of the last event of the start.
    first: u64,
}

pub struct Bulletin {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Bulletin {
    /// `first`: the number of the last event that gateways know from their start.
    pub fn start(first: u64) -> io::Result<Bulletin> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            events: Mutex::default(),
            more: Condvar::new(),
            ends: AtomicBool::new(false),
            first,
        });
        let all = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if all.ends.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&all);
                // It ends with its gateway, or with the stand-in.
                thread::spawn(move || _ = tell(&shared, stream));
            }
        });
        Ok(Bulletin { address, shared })
    }

    fn push(&self, what: &str, value: Value) {
        let mut events = self.shared.events.lock().unwrap();
        let no = self.shared.first + events.len() as u64 + 1;
        events.push(json!({"no": no, what: value}));
        self.shared.more.notify_all();
    }

    /// A list of caches, or what has changed of it.
    pub fn roster(&self, snapshot: bool, endpoints: &[Value]) {
        self.push("roster", json!({"index": 0, "snapshot": snapshot, "endpoints": endpoints}));
    }

    /// The number of the last event.
    pub fn last(&self) -> u64 {
        self.shared.first + self.shared.events.lock().unwrap().len() as u64
    }

    /// Purges an object as of a Unix millisecond.
    pub fn purge(&self, object: u64, issued_ms: u64) {
        self.push("recall", json!({"item": format!("{object:016x}"), "issued": issued_ms}));
    }
}

fn tell(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    let mut line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut line)?;
    let after: u64 = line.trim().strip_prefix("after ").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut sent = after.saturating_sub(shared.first) as usize;
    while !shared.ends.load(Ordering::Relaxed) {
        let mut events = shared.events.lock().unwrap();
        if sent >= events.len() {
            events = shared.more.wait_timeout(events, Duration::from_millis(500)).unwrap().0;
        }
        let last = shared.first + events.len() as u64;
        let mut text: String = events.iter().skip(sent).map(|e| format!("{e}\n")).collect();
        sent = sent.max(events.len());
        drop(events);
        text.push_str(&format!("{last}\n"));
        (&stream).write_all(text.as_bytes())?;
    }
    Ok(())
}

impl Drop for Bulletin {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
        self.shared.more.notify_all();
        // Wakes the one that waits for connections.
        _ = TcpStream::connect(self.address);
    }
}
