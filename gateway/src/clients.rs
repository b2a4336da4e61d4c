//! Client connections: accepts them up to a limit, decodes their messages, and writes answers through one writer task
//! per connection.
//!
//! Invariants: nothing that is read after the shutdown of a connection reaches the dispatcher; answers that are the
//! module's to decide are never generated here; a client that stops reading, sends nothing or sends malformed messages
//! loses only its own connection.

pub mod message_timer;

use crate::Tasks;
use crate::buffers::{Body, Pool};
use crate::clock::Clock;
use crate::connection_end::ConnectionEnd;
use crate::counters::{CountGuard, Counters};
use crate::dispatch_api::{Event as DispatchEvent, Responder, ResponderKeys, Service};
use crate::rpc::{self, DecodeError, ErrorCode, Message};
use async_channel::{Receiver, Sender};
use async_io::Async;
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use kelpcart::{Span, Time};
use message_timer::MessageTimer;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, IoSlice};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;

/// Maximum number of open requests per connection, set by the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// No more is read from a connection while more answers than this wait to be written to it.
const MAX_UNWRITTEN_ANSWERS: usize = 2 * MAX_OPEN_REQUESTS;
/// Idle timeout of a connection that has sent a request. Well-behaved clients close theirs earlier.
const IDLE_TIMEOUT: Span = Span::from_millis(5_000);
/// After the write side is shut down, input is read and discarded for this long: closing a socket with unread input
/// sends a reset, which may destroy the last answers.
const LINGER_TIMEOUT: Span = Span::from_millis(300);
/// Most bytes that are read and discarded before a connection is closed.
const MAX_DRAIN_BYTES: usize = 1024 * 1024;
/// By the protocol, a client retransmits a request that was in flight when its connection closed, if the two crossed by
/// less than this.
const CROSSING_WINDOW: Span = Span::from_millis(50);
/// Interval at which a connection that should close is checked for open requests.
const CLOSE_POLL_INTERVAL: Span = Span::from_millis(20);
/// Most idle clients that are evicted at the same time. Each holds its descriptor until its close is complete.
const MAX_CONCURRENT_EVICTIONS: usize = 4;
/// A connection that accepts no bytes for this long is closed.
const STALL_TIMEOUT: Span = Span::from_millis(5_000);
/// The same while other bodies wait for buffers, which a stalled reader holds.
const STALL_TIMEOUT_LOW_MEMORY: Span = Span::from_millis(500);
/// Interval at which a stalled write, or a client that waits for its last answers, is checked.
const POLL_INTERVAL: Span = Span::from_millis(250);

/// One message to a client.
pub struct Frame {
    head: Vec<u8>,
    body: Option<Body>,
    tail: Vec<u8>,
    /// When the client stops waiting, and the id of the request. A frame past this time is replaced by an error answer.
    expiry: Option<(Time, u64)>,
    _guards: [CountGuard; 2],
}

pub struct Client {
    pub id: u64,
    frames: Sender<Frame>,
    open_requests: RefCell<BTreeSet<u64>>,
    last_message_id: Cell<u64>,
    /// Answers that are not completely written yet.
    unwritten_answers: Rc<Cell<usize>>,
    /// Notified after each written answer.
    written: Event,
    connected_at: Time,
    /// The last read from or write to the connection.
    last_activity: Cell<Time>,
    /// Selected to be closed in favour of a new connection, unless input arrives first.
    evicting: Cell<bool>,
    /// Wakes the reader for an eviction or a shutdown.
    close_requested: Event,
    /// The write side has been shut down, or is about to be.
    closing: Cell<bool>,
    counters: Rc<Counters>,
}

impl Client {
    fn send_error(&self, id: u64, code: ErrorCode, fields: &[(&str, &str)]) {
        self.send_answer(id, rpc::encode_error(id, code, fields), None, Vec::new(), None);
    }

    /// Queues the answer to a request. Does nothing if the request is no longer open.
    fn send_answer(
        &self,
        id: u64,
        head: Vec<u8>,
        body: Option<Body>,
        tail: Vec<u8>,
        expiry: Option<(Time, u64)>,
    ) {
        if !self.open_requests.borrow_mut().remove(&id) {
            return;
        }
        let _guards =
            [CountGuard::new(&self.counters.unwritten_answers), CountGuard::new(&self.unwritten_answers)];
        // Fails only if the connection is gone.
        _ = self.frames.try_send(Frame { head, body, tail, expiry, _guards });
    }

    /// No request is open and no answer is unwritten: closing the connection loses nothing.
    fn is_idle(&self) -> bool {
        self.open_requests.borrow().is_empty() && self.unwritten_answers.get() == 0
    }

    /// Whether answers may still be written.
    pub fn is_writable(&self) -> bool {
        !self.closing.get()
    }

    fn has_sent_request(&self) -> bool {
        self.last_message_id.get() > 0
    }

    /// Opens a request under a message id; `false` if the id is not higher than all earlier ones.
    fn register_message_id(&self, id: u64) -> bool {
        let new = id > self.last_message_id.get();
        if new {
            self.last_message_id.set(id);
            self.open_requests.borrow_mut().insert(id);
        }
        new
    }
}

impl Responder for Client {
    fn key(&self) -> u64 {
        self.id
    }

    fn serve(&self, id: u64, body: Option<Body>, deadline: Time) {
        let len = body.as_ref().map_or(0, Body::len);
        let (head, tail) = rpc::encode_served(id, len, body.is_none());
        self.send_answer(id, head, body, tail, Some((deadline, id)));
    }

    fn reject(&self, id: u64, retry_after: Option<Span>) {
        let wait = retry_after.map(|span| (span.as_micros() / 1_000).to_string());
        let fields = wait.as_deref().map(|wait| ("holdoff", wait));
        self.send_error(id, ErrorCode::Backoff, fields.as_slice());
    }

    fn abort(&self, id: u64) {
        self.send_error(id, ErrorCode::Lost, &[]);
    }

    fn invalid(&self, id: u64) {
        self.send_error(id, ErrorCode::Invalid, &[]);
    }

    fn ready(&self, id: u64, ready: bool) {
        self.send_answer(id, rpc::encode_health(id, ready), None, Vec::new(), None);
    }
}

/// State shared by the tasks of all client connections.
#[derive(Clone)]
pub struct Frontend {
    pub tasks: Tasks,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub pool: Rc<Pool>,
    pub dispatcher: Sender<DispatchEvent>,
    pub max_clients: usize,
    pub connected: Rc<RefCell<BTreeMap<u64, Rc<Client>>>>,
    pub keys: ResponderKeys,
    pub shutdown_state: Rc<ShutdownState>,
}

/// Progress of the frontend's shutdown.
#[derive(Default)]
pub struct ShutdownState {
    started: Cell<bool>,
    changed: Event,
    /// The listener is closed and its accept queue is empty.
    listener_closed: Cell<bool>,
}

impl Service for Frontend {
    fn shutdown(&self) {}

    fn close(&self) {
        if !self.shutdown_state.started.replace(true) {
            self.shutdown_state.changed.notify(usize::MAX);
            self.connected.borrow().values().for_each(|client| _ = client.close_requested.notify(1));
        }
    }

    fn is_closed(&self) -> bool {
        self.shutdown_state.listener_closed.get() && self.connected.borrow().is_empty()
    }

    fn table_sizes(&self) -> Vec<(&'static str, usize)> {
        vec![("clients connected", self.connected.borrow().len())]
    }
}

impl Frontend {
    /// Accepts clients until the shutdown, then empties the kernel's accept queue: closing the listener would reset the
    /// connections in it.
    pub async fn accept(self, listener: Async<TcpListener>) {
        let mut retry_delay = Span::from_millis(10);
        loop {
            let shutdown = self.shutdown_state.changed.listen();
            let draining = self.shutdown_state.started.get();
            if !draining {
                let readable = async { _ = listener.readable().await };
                future::or(readable, shutdown).await;
            }
            if self.counters.client_connections.get() >= self.max_clients {
                self.evict_idle_client();
                self.clock.sleep(Span::from_millis(1)).await;
                continue;
            }
            match listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) {
                Ok(stream) => {
                    retry_delay = Span::from_millis(10);
                    self.counters.add("client connections");
                    let (frontend, guard) =
                        (self.clone(), CountGuard::new(&self.counters.client_connections));
                    let task = async move {
                        frontend.serve_connection(stream).await;
                        drop(guard);
                    };
                    self.tasks.spawn(task).detach();
                    // A burst of new connections must not starve the established ones.
                    future::yield_now().await;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock && draining => break,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => {
                    log::warn!("clients: accept failed, retrying after a backoff: {e}");
                    self.counters.add("accepts failed");
                    self.clock.sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2.0).min(Span::from_millis(1_000));
                }
            }
        }
        drop(listener);
        self.shutdown_state.listener_closed.set(true);
    }

    /// At the connection limit, evicts the client that has been idle longest, preferring clients that never sent a
    /// request, so that idle connections can't keep others out. If none is idle, new connections stay in the kernel's
    /// accept queue.
    fn evict_idle_client(&self) {
        let connected = self.connected.borrow();
        if connected.values().filter(|c| c.evicting.get()).count() >= MAX_CONCURRENT_EVICTIONS {
            return;
        }
        let idle = connected.values().filter(|c| c.is_idle() && c.is_writable() && !c.evicting.get());
        if let Some(client) = idle.min_by_key(|c| (c.has_sent_request(), c.last_activity.get())) {
            self.counters.add("idle clients closed for room");
            client.evicting.set(true);
            client.close_requested.notify(1);
        }
    }

    async fn serve_connection(&self, stream: Async<TcpStream>) {
        let id = self.keys.next();
        // A failure only adds latency.
        _ = stream.get_ref().set_nodelay(true);
        let (sender, receiver) = async_channel::unbounded();
        let connected_at = self.clock.now();
        let client = Rc::new(Client {
            id,
            frames: sender,
            open_requests: RefCell::default(),
            last_message_id: Cell::new(0),
            unwritten_answers: Rc::default(),
            written: Event::new(),
            connected_at,
            last_activity: Cell::new(connected_at),
            evicting: Cell::new(false),
            close_requested: Event::new(),
            closing: Cell::new(false),
            counters: Rc::clone(&self.counters),
        });
        self.connected.borrow_mut().insert(id, Rc::clone(&client));
        let mut writer = pin!(self.write_loop(&stream, &client, &receiver));
        let end = future::or(self.read_loop(&stream, &client), writer.as_mut()).await;
        match end {
            // Keeps the writer running until the last answer: a partly written one must not be cut off.
            ConnectionEnd::PeerDamaged => {
                self.abort_open_requests(&client).await;
                writer.await;
                self.close_connection(&stream, &client).await;
            }
            ConnectionEnd::PeerSilent => self.close_connection(&stream, &client).await,
            // The peer is gone or does not read: closing in order has no effect.
            _ => {}
        }
        receiver.close();
        self.counters.record_end(end);
        _ = self.dispatcher.send(DispatchEvent::Disconnected { responder: id }).await;
        self.connected.borrow_mut().remove(&id);
    }

    /// Answers every open request of a client that sent malformed input with `Lost`: whether it ran is unknown.
    async fn abort_open_requests(&self, client: &Client) {
        _ = self.dispatcher.send(DispatchEvent::Disconnected { responder: client.id }).await;
        let open: Vec<u64> = client.open_requests.borrow().iter().copied().collect();
        open.into_iter().for_each(|id| client.send_error(id, ErrorCode::Lost, &[]));
        client.frames.close();
    }

    /// Closes an intact connection: shuts down the write side, then discards input up to a limit. Without that, closing
    /// with unread input would send a reset that may destroy the last answers. Discarded requests are never executed.
    async fn close_connection(&self, stream: &Async<TcpStream>, client: &Client) {
        client.closing.set(true);
        if stream.get_ref().shutdown(Shutdown::Write).is_ok() {
            let linger = if client.evicting.get() { CROSSING_WINDOW } else { LINGER_TIMEOUT };
            self.clock.timeout(linger, self.drain(stream)).await;
        }
    }

    /// Reads and discards input up to `MAX_DRAIN_BYTES`.
    async fn drain(&self, mut stream: &Async<TcpStream>) {
        let (mut chunk, mut budget) = (vec![0; 16 * 1024], MAX_DRAIN_BYTES);
        while let Ok(n @ 1..) = stream.read(&mut chunk).await {
            self.counters.add_many("client bytes discarded after the shutdown", n);
            budget = budget.saturating_sub(n);
            if budget == 0 {
                return;
            }
            future::yield_now().await;
        }
    }

    /// Whether a connection that should close can close now, with no open request and no pending input, and how it ends.
    fn try_close(
        &self,
        stream: &Async<TcpStream>,
        client: &Client,
        partial_message: Option<&MessageTimer>,
    ) -> Option<ConnectionEnd> {
        let now = self.clock.now();
        let message_arriving = partial_message.is_some_and(|timer| {
            now < client.last_activity.get() + CROSSING_WINDOW && !timer.is_extended(now)
        });
        // The first request of a new connection, or the rest of a partial message, may be in flight.
        let first_request_pending = !client.has_sent_request()
            && !client.evicting.get()
            && now < client.connected_at + CROSSING_WINDOW;
        if !client.is_idle() {
            client.evicting.set(false);
        }
        if !client.is_idle() || first_request_pending || message_arriving {
            return None;
        }
        let end = check_idle_socket(stream);
        if end.is_none() {
            client.evicting.set(false);
        }
        end
    }

    async fn read_loop(&self, mut stream: &Async<TcpStream>, client: &Rc<Client>) -> ConnectionEnd {
        let mut buffer: Vec<u8> = Vec::new();
        let mut chunk = vec![0; 16 * 1024];
        let mut message_timer = MessageTimer::start(self.clock.now());
        loop {
            // Lets other tasks run after each chunk, so that a client sending at full speed does not starve them.
            future::yield_now().await;
            // Backpressure: bounds the memory held by a client that sends requests and reads no answers.
            while client.unwritten_answers.get() > MAX_UNWRITTEN_ANSWERS {
                let written = client.written.listen();
                if client.unwritten_answers.get() > MAX_UNWRITTEN_ANSWERS {
                    let wait_start = self.clock.now();
                    written.await;
                    message_timer.exclude(self.clock.now() - wait_start);
                }
            }
            let message_due = !buffer.is_empty() || !client.has_sent_request();
            let mut deadline = if message_due {
                message_timer.deadline()
            } else {
                client.last_activity.get() + IDLE_TIMEOUT
            };
            if !client.is_idle() {
                // An answer keeps the connection open beyond its timeouts.
                deadline = deadline.max(self.clock.now() + POLL_INTERVAL);
            }
            let close_requested = client.close_requested.listen();
            if client.evicting.get() || self.shutdown_state.started.get() {
                let partial_message = (!buffer.is_empty()).then_some(&message_timer);
                if let Some(end) = self.try_close(stream, client, partial_message) {
                    return end;
                }
                deadline = deadline.min(self.clock.now() + CLOSE_POLL_INTERVAL);
            }
            let read = async { Some(self.clock.timeout_at(deadline, stream.read(&mut chunk)).await) };
            let close_requested = async {
                close_requested.await;
                None
            };
            let n = match future::or(read, close_requested).await {
                Some(Some(Ok(0) | Err(_))) => return ConnectionEnd::PeerLeft,
                Some(Some(Ok(n))) => n,
                Some(None) if message_due && message_timer.deadline() <= self.clock.now() => {
                    // What follows on an open connection may be a complete request, which has to be answered: input is
                    // discarded only after the shutdown of the write side.
                    if let Some(end) = client.is_idle().then(|| check_idle_socket(stream)).flatten() {
                        self.log_overdue_message(&message_timer);
                        return end;
                    }
                    continue;
                }
                Some(None)
                    if !message_due && client.last_activity.get() + IDLE_TIMEOUT <= self.clock.now() =>
                {
                    if !client.is_idle() {
                        client.last_activity.set(self.clock.now());
                    } else if let Some(end) = check_idle_socket(stream) {
                        return end;
                    }
                    continue;
                }
                None | Some(None) => continue,
            };
            let at = self.clock.now();
            client.last_activity.set(at);
            if buffer.is_empty() && client.has_sent_request() {
                message_timer = MessageTimer::start(at);
            }
            buffer.extend_from_slice(&chunk[..n]);
            let mut used = 0;
            while used < buffer.len() {
                let len = match rpc::decode_message(&buffer[used..]) {
                    Ok(None) => break,
                    Ok(Some((message, len))) => {
                        if !self.handle_message(client, message, at).await {
                            return ConnectionEnd::PeerDamaged;
                        }
                        len
                    }
                    Err((error, len)) => {
                        self.counters.add("client messages refused");
                        log::debug!("clients: malformed or invalid message rejected: {error:?}");
                        let (DecodeError::Malformed { id } | DecodeError::Invalid { id, .. }) = error;
                        let Some(id) = id.filter(|id| client.register_message_id(*id)) else {
                            return ConnectionEnd::PeerDamaged;
                        };
                        client.invalid(id);
                        if matches!(error, DecodeError::Malformed { .. }) {
                            return ConnectionEnd::PeerDamaged;
                        }
                        len
                    }
                };
                used += len;
            }
            buffer.drain(..used);
            if used > 0 && client.has_sent_request() {
                message_timer = MessageTimer::start(at);
            }
            message_timer.record_input(at, buffer.len());
            if buffer.is_empty() {
                buffer.shrink_to(chunk.len());
            }
        }
    }

    fn log_overdue_message(&self, timer: &MessageTimer) {
        self.counters.add("client messages overdue");
        let now = self.clock.now();
        log::debug!(
            "clients: connection closed: a message is incomplete after {} ms, {} bytes received, the last {} ms ago",
            timer.age(now).as_micros() / 1_000,
            timer.received_bytes(),
            timer.pause(now).as_micros() / 1_000,
        );
    }

    /// Returns `false` if the connection has to be closed.
    async fn handle_message(&self, client: &Rc<Client>, message: Message, at: Time) -> bool {
        let event = match message {
            Message::Cancel { ids } => {
                for id in ids {
                    if client.open_requests.borrow_mut().remove(&id) {
                        self.counters.add("requests interrupted");
                        _ = self.dispatcher.send(DispatchEvent::Cancelled { responder: client.id, id }).await;
                    }
                }
                return true;
            }
            Message::HealthCheck { id } | Message::Request { id, .. } if !client.register_message_id(id) => {
                self.counters.add("message ids used again");
                return false;
            }
            Message::HealthCheck { id } => {
                DispatchEvent::HealthCheck { responder: Rc::clone(client) as _, id }
            }
            Message::Request { id, .. } if client.open_requests.borrow().len() > MAX_OPEN_REQUESTS => {
                self.counters.add("requests over the connection's bound");
                client.reject(id, None);
                return true;
            }
            Message::Request { id, method, request } => {
                self.counters.add("requests");
                DispatchEvent::Request {
                    responder: Rc::clone(client) as _,
                    id,
                    method,
                    request,
                    received_at: at,
                }
            }
        };
        // Fails only if the dispatcher has ended, and the process with it.
        _ = self.dispatcher.send(event).await;
        true
    }

    async fn write_loop(
        &self,
        stream: &Async<TcpStream>,
        client: &Client,
        frames: &Receiver<Frame>,
    ) -> ConnectionEnd {
        while let Ok(mut frame) = frames.recv().await {
            if let Some((_, id)) = frame.expiry.filter(|(deadline, _)| *deadline < self.clock.now()) {
                // The client has stopped waiting: the body would only occupy buffers and bandwidth.
                self.counters.add("answers too late to write");
                (frame.head, frame.body) = (rpc::encode_error(id, ErrorCode::Lost, &[]), None);
                frame.tail.clear();
            }
            let body = frame.body.iter().flat_map(Body::chunks);
            let segments = std::iter::once(frame.head.as_slice()).chain(body).chain([frame.tail.as_slice()]);
            let mut slices: Vec<IoSlice> = segments.map(IoSlice::new).collect();
            if let Err(end) = self.write_all(stream, &mut slices).await {
                return end;
            }
            drop(frame);
            client.last_activity.set(self.clock.now());
            client.written.notify(1);
        }
        ConnectionEnd::PeerLeft
    }

    async fn write_all(
        &self,
        mut stream: &Async<TcpStream>,
        mut slices: &mut [IoSlice<'_>],
    ) -> Result<(), ConnectionEnd> {
        IoSlice::advance_slices(&mut slices, 0);
        let mut last_progress = self.clock.now();
        while !slices.is_empty() {
            let written: Option<io::Result<usize>> =
                self.clock.timeout(POLL_INTERVAL, stream.write_vectored(slices)).await;
            match written {
                // A stalled reader pins buffers; they are freed sooner while other bodies wait for them.
                None => {
                    let limit =
                        if self.pool.has_waiters() { STALL_TIMEOUT_LOW_MEMORY } else { STALL_TIMEOUT };
                    if self.clock.now() - last_progress >= limit {
                        return Err(ConnectionEnd::PeerStalled);
                    }
                }
                Some(Ok(0) | Err(_)) => return Err(ConnectionEnd::PeerLeft),
                Some(Ok(n)) => {
                    last_progress = self.clock.now();
                    IoSlice::advance_slices(&mut slices, n);
                }
            }
        }
        Ok(())
    }
}

/// How an idle connection ends; `None` if input is pending, so that the connection is in use.
fn check_idle_socket(stream: &Async<TcpStream>) -> Option<ConnectionEnd> {
    match stream.get_ref().peek(&mut [0]) {
        Ok(1..) => None,
        Err(e) if e.kind() == ErrorKind::WouldBlock => Some(ConnectionEnd::PeerSilent),
        _ => Some(ConnectionEnd::PeerLeft),
    }
}
