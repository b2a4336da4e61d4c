//! Client of the discovery service (`bulletin` on the wire and in settings).
//!
//! Invariants: events are delivered in the order of their numbers and exactly once, also across a change of the service's
//! address; no event is delivered after a gap. On a gap, a malformed line or silence the client reconnects and asks for
//! the events after the last one it delivered.

use crate::clock::Clock;
use crate::config::{Names, parse_event};
use crate::connection_end::ConnectionEnd;
use crate::counters::Counters;
use crate::dispatch_api::Event;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use kelpcart::Span;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// A longer line ends the connection.
const MAX_LINE_BYTES: usize = 1024 * 1024;
/// The service writes a line each second. A connection without a complete line for this long is considered dead; for each
/// read chunk of an incomplete long line the timeout is extended by the same time.
const IDLE_TIMEOUT: Span = Span::from_millis(2_000);
const READ_CHUNK_BYTES: usize = 16 * 1024;
const CONNECT_TIMEOUT: Span = Span::from_millis(500);
/// First and largest delay between two connection attempts; it doubles until a line is accepted.
const RECONNECT_BACKOFF: std::ops::Range<Span> = Span::from_millis(50)..Span::from_millis(400);

// Events must arrive within 2 s after a disconnect and within 4 s after the service falls silent, even if the first
// reconnect attempt fails.
const MAX_ATTEMPT_US: u64 = CONNECT_TIMEOUT.as_micros() + RECONNECT_BACKOFF.end.as_micros();
const _: () =
    assert!(2 * MAX_ATTEMPT_US < 2_000_000 && IDLE_TIMEOUT.as_micros() + 2 * MAX_ATTEMPT_US < 4_000_000);

/// Receives the lines of the discovery service.
pub trait Subscriber {
    /// The number of the last event that was received.
    fn last_event(&self) -> u64;
    /// An error, such as a malformed line or a gap in the numbers, ends the connection.
    fn on_line(&mut self, line: &[u8]) -> Result<(), String>;
    /// Completes when a connection is wanted.
    fn connection_wanted(&self) -> impl Future<Output = ()>;
    /// Completes when an established connection is no longer wanted.
    fn connection_unwanted(&self) -> impl Future<Output = ()>;
    /// A connection has ended or could not be established.
    fn connection_ended(&mut self) {}
}

pub struct DiscoveryClient<S> {
    pub address: SocketAddr,
    /// New addresses of the service, from reloads of the configuration.
    pub address_changes: Receiver<SocketAddr>,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub subscriber: S,
}

impl<S: Subscriber> DiscoveryClient<S> {
    pub async fn run(mut self) {
        let (address_changes, mut backoff) = (self.address_changes.clone(), RECONNECT_BACKOFF.start);
        loop {
            let current = self.address;
            let address_changed = async {
                while let Ok(address) = address_changes.recv().await {
                    if address != current {
                        return address;
                    }
                }
                future::pending().await
            };
            let session = async {
                self.subscriber.connection_wanted().await;
                let (before, mut healthy) = (self.subscriber.last_event(), false);
                let end = self.read(&mut healthy).await;
                self.counters.record_end(end);
                let after = self.subscriber.last_event();
                if end == ConnectionEnd::PeerDamaged || after > before && end != ConnectionEnd::Withdrawn {
                    log::warn!("discovery: connection ended ({end:?}); resubscribing after event {after}");
                }
                self.subscriber.connection_ended();
                backoff = if healthy {
                    RECONNECT_BACKOFF.start
                } else {
                    (backoff * 2.0).min(RECONNECT_BACKOFF.end)
                };
                self.clock.sleep(backoff).await;
                current
            };
            self.address = future::or(address_changed, session).await;
            if self.address != current {
                backoff = RECONNECT_BACKOFF.start;
                let after = self.subscriber.last_event();
                log::info!("discovery: service now followed at {}, after event {after}", self.address);
            }
        }
    }

    /// Runs one connection to its end. `healthy` becomes true with the first accepted line.
    async fn read(&mut self, healthy: &mut bool) -> ConnectionEnd {
        let mut stream =
            match self.clock.timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(self.address)).await {
                Some(Ok(stream)) => stream,
                Some(Err(_)) => return ConnectionEnd::Refused,
                None => return ConnectionEnd::NoConnection,
            };
        let subscribe_line = format!("after {}\n", self.subscriber.last_event());
        match self.clock.timeout(IDLE_TIMEOUT, stream.write_all(subscribe_line.as_bytes())).await {
            Some(Ok(())) => {}
            Some(Err(_)) => return ConnectionEnd::PeerLeft,
            None => return ConnectionEnd::PeerSilent,
        }
        let (mut buffer, mut chunk, mut last_line_at) =
            (Vec::new(), vec![0; READ_CHUNK_BYTES], self.clock.now());
        loop {
            // Counted from the last complete line: a connection that only trickles bytes must time out, too.
            let idle_deadline = last_line_at + IDLE_TIMEOUT * (1 + buffer.len() / READ_CHUNK_BYTES) as f64;
            let read = async { Some(self.clock.timeout_at(idle_deadline, stream.read(&mut chunk)).await) };
            let unwanted = async {
                self.subscriber.connection_unwanted().await;
                None
            };
            let Some(read_result) = future::or(read, unwanted).await else { return ConnectionEnd::Withdrawn };
            let n = match read_result {
                Some(Ok(0) | Err(_)) => return ConnectionEnd::PeerLeft,
                Some(Ok(n)) => n,
                None => return ConnectionEnd::PeerSilent,
            };
            let scanned = buffer.len();
            buffer.extend_from_slice(&chunk[..n]);
            let mut used = 0;
            while let Some(end) = buffer[scanned.max(used)..].iter().position(|&b| b == b'\n') {
                let end = scanned.max(used) + end;
                if let Err(reason) = self.subscriber.on_line(&buffer[used..end]) {
                    log::warn!("discovery: a line can't be used, reconnecting: {reason}");
                    return ConnectionEnd::PeerDamaged;
                }
                *healthy = true;
                last_line_at = self.clock.now();
                used = end + 1;
            }
            buffer.drain(..used);
            if buffer.len() > MAX_LINE_BYTES {
                return ConnectionEnd::PeerDamaged;
            }
        }
    }
}

/// Delivers events to the dispatcher; a connection is always wanted.
pub struct DispatcherSubscriber {
    /// The number of the last event that was delivered.
    pub last_event: u64,
    pub names: Names,
    pub counters: Rc<Counters>,
    pub dispatcher: Sender<Event>,
}

impl Subscriber for DispatcherSubscriber {
    fn last_event(&self) -> u64 {
        self.last_event
    }

    async fn connection_wanted(&self) {}

    async fn connection_unwanted(&self) {
        future::pending().await
    }

    fn on_line(&mut self, line: &[u8]) -> Result<(), String> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let value: serde_json::Value =
            serde_json::from_slice(line).map_err(|e| format!("not valid JSON: {e}"))?;
        let gap = |number| format!("gap in the event numbers: {number} after {}", self.last_event);
        if let Some(number) = value.as_u64() {
            return if number > self.last_event { Err(gap(number)) } else { Ok(()) };
        }
        let (number, event) = parse_event(&value, &self.names)?;
        if number > self.last_event + 1 {
            return Err(gap(number));
        }
        if number == self.last_event + 1 {
            self.last_event = number;
            self.counters.add("bulletin events");
            if let Some(event) = event {
                // Fails only if the dispatcher has ended, and the process with it.
                _ = self.dispatcher.try_send(Event::Discovery(event));
            }
        }
        Ok(())
    }
}
