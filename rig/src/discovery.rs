//! Simulated discovery service: streams numbered events to every gateway that connects, and the number of the last
//! event after each batch and at least every 500 ms.

use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

struct State {
    events: Mutex<Vec<Value>>,
    changed: Condvar,
    stopping: AtomicBool,
    /// Number of the last event that gateways have from their configuration.
    first_event_no: u64,
}

pub struct DiscoveryServer {
    pub address: SocketAddr,
    shared: Arc<State>,
}

impl DiscoveryServer {
    /// `first_event_no`: number of the last event that gateways have from their configuration.
    pub fn start(first_event_no: u64) -> io::Result<DiscoveryServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(State {
            events: Mutex::default(),
            changed: Condvar::new(),
            stopping: AtomicBool::new(false),
            first_event_no,
        });
        let accept_state = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accept_state.stopping.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&accept_state);
                // The thread ends with the gateway's connection or with this server.
                thread::spawn(move || _ = serve(&shared, stream));
            }
        });
        Ok(DiscoveryServer { address, shared })
    }

    fn push(&self, kind: &str, value: Value) {
        let mut events = self.shared.events.lock().unwrap();
        let no = self.shared.first_event_no + events.len() as u64 + 1;
        events.push(json!({"no": no, kind: value}));
        self.shared.changed.notify_all();
    }

    /// Publishes the list of caches (`snapshot`) or changes to it.
    pub fn push_roster(&self, snapshot: bool, endpoints: &[Value]) {
        self.push("roster", json!({"index": 0, "snapshot": snapshot, "endpoints": endpoints}));
    }

    /// Number of the last published event.
    pub fn last_event_no(&self) -> u64 {
        self.shared.first_event_no + self.shared.events.lock().unwrap().len() as u64
    }

    /// Publishes a purge of an object, issued at `issued_ms` (Unix time in ms).
    pub fn purge(&self, object: u64, issued_ms: u64) {
        self.push("recall", json!({"item": format!("{object:016x}"), "issued": issued_ms}));
    }
}

fn serve(shared: &State, stream: TcpStream) -> io::Result<()> {
    let mut line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut line)?;
    let after: u64 = line.trim().strip_prefix("after ").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut sent = after.saturating_sub(shared.first_event_no) as usize;
    while !shared.stopping.load(Ordering::Relaxed) {
        let mut events = shared.events.lock().unwrap();
        if sent >= events.len() {
            events = shared.changed.wait_timeout(events, Duration::from_millis(500)).unwrap().0;
        }
        let last_event_no = shared.first_event_no + events.len() as u64;
        let mut text: String = events.iter().skip(sent).map(|e| format!("{e}\n")).collect();
        sent = sent.max(events.len());
        drop(events);
        text.push_str(&format!("{last_event_no}\n"));
        (&stream).write_all(text.as_bytes())?;
    }
    Ok(())
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.changed.notify_all();
        // Unblocks the accept loop.
        _ = TcpStream::connect(self.address);
    }
}
