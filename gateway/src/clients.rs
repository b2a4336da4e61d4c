//! Owns the connections of clients: accepts them up to a bound, reads their messages, writes answers whole, by one
//! writer a connection, and closes each of them by one sequence. Must never answer by itself what the module has to
//! decide, nor pass on what is read after the shutdown of a connection; a client that stops reading, sends nothing
//! or sends what can't be read costs its own connection only.

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
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, IoSlice};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;

/// Open requests on a connection, by the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// Answers that may wait for a connection to take bytes before no more is read from it.
const MAX_UNWRITTEN_ANSWERS: usize = 2 * MAX_OPEN_REQUESTS;
/// A connection on which something was asked may be idle for this long: usual clients close theirs earlier.
const IDLE_TIMEOUT: Span = Span::from_millis(5_000);
/// From the connection, or from the first byte of a message, to its last: short of the 3 s after which even a
/// client that sends nothing whole is owed a close.
const MESSAGE_TIMEOUT: Span = Span::from_millis(2_500);
/// What a client still sends after the shutdown of its connection is read for this long and this far, lest the answers
/// before it be lost with a reset.
const LINGER_TIMEOUT: Span = Span::from_millis(300);
const MAX_DRAIN_BYTES: usize = 1024 * 1024;
/// A request that crosses a close by less than this is sent again by its client, by the protocol.
const CROSSING_WINDOW: Span = Span::from_millis(50);
/// Between two looks at whether a connection that is to end owes nothing.
const CLOSE_POLL_INTERVAL: Span = Span::from_millis(20);
/// Clients that make room at once: each keeps its place until its close is through.
const MAX_CONCURRENT_EVICTIONS: usize = 4;
/// One that takes no bytes may stall for this long, or for the shorter time while bodies are short of memory.
const STALL_TIMEOUT: Span = Span::from_millis(5_000);
const STALL_TIMEOUT_LOW_MEMORY: Span = Span::from_millis(500);
const POLL_INTERVAL: Span = Span::from_millis(250);

/// What is written to a client in one piece.
pub struct Frame {
    head: Vec<u8>,
    body: Option<Body>,
    tail: Vec<u8>,
    /// When nobody waits for it any more, and what goes out then in its place.
    expiry: Option<(Time, u64)>,
    _guards: [CountGuard; 2],
}

pub struct Client {
    pub id: u64,
    frames: Sender<Frame>,
    open_requests: RefCell<BTreeSet<u64>>,
    last_message_id: Cell<u64>,
    /// Answers that are not written whole yet.
    unwritten_answers: Rc<Cell<usize>>,
    written: Event,
    /// When it came, and when it last sent or was sent something.
    connected_at: Time,
    last_activity: Cell<Time>,
    /// It has to make room; the event wakes its reader, which closes it if nothing comes just then.
    evicting: Cell<bool>,
    close_requested: Event,
    /// The sequence of its close has begun.
    closing: Cell<bool>,
    counters: Rc<Counters>,
}

impl Client {
    fn send_error(&self, id: u64, word: ErrorCode, fields: &[(&str, &str)]) {
        self.send_answer(id, rpc::encode_error(id, word, fields), None, Vec::new(), None);
    }

    /// A request's one answer; none goes out for one that is not open any more.
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
        // It fails only when the connection is gone.
        _ = self.frames.try_send(Frame { head, body, tail, expiry, _guards });
    }

    /// It owes nothing and is owed nothing: closing its connection loses no request.
    fn is_idle(&self) -> bool {
        self.open_requests.borrow().is_empty() && self.unwritten_answers.get() == 0
    }

    /// Something may still be written to it.
    pub fn is_writable(&self) -> bool {
        !self.closing.get()
    }

    fn has_sent_request(&self) -> bool {
        self.last_message_id.get() > 0
    }

    /// Takes in a message id; `false` if it was used before.
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

/// What the tasks of all connections share.
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

/// How far the front is with its end at a planned restart.
#[derive(Default)]
pub struct ShutdownState {
    started: Cell<bool>,
    notify: Event,
    /// The listener is closed, with nothing left in its queue.
    listener_closed: Cell<bool>,
}

impl Service for Frontend {
    fn shutdown(&self) {}

    fn close(&self) {
        if !self.shutdown_state.started.replace(true) {
            self.shutdown_state.notify.notify(usize::MAX);
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
    /// Takes in clients until the front is to close, and then what still waits in the machine's queue: closing the
    /// listener would reset it.
    pub async fn accept(self, listener: Async<TcpListener>) {
        let mut retry_delay = Span::from_millis(10);
        loop {
            let shutdown = self.shutdown_state.notify.listen();
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
                    // Guards those that are connected against a flood of those that connect.
                    future::yield_now().await;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock && draining => break,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => {
                    log::warn!("a connection can't be accepted: {e}");
                    self.counters.add("accepts failed");
                    self.clock.sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2.0).min(Span::from_millis(1_000));
                }
            }
        }
        drop(listener);
        self.shutdown_state.listener_closed.set(true);
    }

    /// Guards other clients against one that opens connections and leaves them idle: at the bound the one idle
    /// longest makes room, those first that never asked. With none idle, new ones wait in the machine's queue.
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
        // Without it answers only come later.
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
            // Guards the answer that is half written against the end: the one writer goes on to the last of them.
            ConnectionEnd::PeerDamaged => {
                self.abort_open_requests(&client).await;
                writer.await;
                self.close_connection(&stream, &client).await;
            }
            ConnectionEnd::PeerSilent => self.close_connection(&stream, &client).await,
            // There is nobody to close for.
            _ => {}
        }
        receiver.close();
        self.counters.record_end(end);
        _ = self.dispatcher.send(DispatchEvent::Disconnected { responder: id }).await;
        self.connected.borrow_mut().remove(&id);
    }

    /// The end of one that sent what can't be read: each of its open requests gets an answer that promises nothing.
    async fn abort_open_requests(&self, client: &Client) {
        _ = self.dispatcher.send(DispatchEvent::Disconnected { responder: client.id }).await;
        let open: Vec<u64> = client.open_requests.borrow().iter().copied().collect();
        open.into_iter().for_each(|id| client.send_error(id, ErrorCode::Lost, &[]));
        client.frames.close();
    }

    /// The one sequence by which a connection is closed that is not broken: nothing more is written, and what comes
    /// from here on is thrown away, up to a bound. Guards the last answers against the reset that a close over unread
    /// bytes sends after them, and what crosses the close against being passed on.
    async fn close_connection(&self, stream: &Async<TcpStream>, client: &Client) {
        client.closing.set(true);
        if stream.get_ref().shutdown(Shutdown::Write).is_ok() {
            let linger = if client.evicting.get() { CROSSING_WINDOW } else { LINGER_TIMEOUT };
            self.clock.timeout(linger, drain(stream)).await;
        }
    }

    /// Whether a connection that is to end can do so now: it is owed nothing, and nothing comes in this moment.
    fn try_close(
        &self,
        stream: &Async<TcpStream>,
        client: &Client,
        has_partial_message: bool,
    ) -> Option<ConnectionEnd> {
        let now = self.clock.now();
        // One that came last has its first request on the way, half a message its other half.
        let first_request_pending = !client.has_sent_request()
            && !client.evicting.get()
            && now < client.connected_at + CROSSING_WINDOW;
        if !client.is_idle() {
            client.evicting.set(false);
        }
        if !client.is_idle()
            || first_request_pending
            || has_partial_message && now < client.last_activity.get() + CROSSING_WINDOW
        {
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
        // When what is held began to come, or the connection.
        let mut message_start = self.clock.now();
        loop {
            // Guards the others against one that sends at full speed: they have their turn after each piece.
            future::yield_now().await;
            // Guards memory against a client that asks on and on and takes no answer.
            while client.unwritten_answers.get() > MAX_UNWRITTEN_ANSWERS {
                let written = client.written.listen();
                if client.unwritten_answers.get() > MAX_UNWRITTEN_ANSWERS {
                    written.await;
                }
            }
            let message_due = !buffer.is_empty() || !client.has_sent_request();
            let mut deadline = if message_due {
                message_start + MESSAGE_TIMEOUT
            } else {
                client.last_activity.get() + IDLE_TIMEOUT
            };
            let close_requested = client.close_requested.listen();
            if client.evicting.get() || self.shutdown_state.started.get() {
                if let Some(end) = self.try_close(stream, client, !buffer.is_empty()) {
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
                // Nothing more is taken from one that sends half a message; what it is owed still goes out.
                Some(None) if message_due && message_start + MESSAGE_TIMEOUT <= self.clock.now() => {
                    return self.wait_until_answered(stream, client).await;
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
                message_start = at;
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
                    Err((fault, len)) => {
                        self.counters.add("client messages refused");
                        log::debug!("a client's message is refused: {fault:?}");
                        let (DecodeError::Malformed { id } | DecodeError::Invalid { id, .. }) = fault;
                        let Some(id) = id.filter(|id| client.register_message_id(*id)) else {
                            return ConnectionEnd::PeerDamaged;
                        };
                        client.invalid(id);
                        if matches!(fault, DecodeError::Malformed { .. }) {
                            return ConnectionEnd::PeerDamaged;
                        }
                        len
                    }
                };
                used += len;
            }
            buffer.drain(..used);
            if used > 0 && client.has_sent_request() {
                message_start = at;
            }
            if buffer.is_empty() {
                buffer.shrink_to(chunk.len());
            }
        }
    }

    /// Waits until a client has all that it is owed; what it sends meanwhile is thrown away, but that it leaves is seen.
    async fn wait_until_answered(&self, mut stream: &Async<TcpStream>, client: &Client) -> ConnectionEnd {
        let (mut chunk, mut budget) = (vec![0; 16 * 1024], MAX_DRAIN_BYTES);
        while !client.is_idle() {
            if budget == 0 {
                self.clock.sleep(POLL_INTERVAL).await;
                continue;
            }
            match self.clock.timeout(POLL_INTERVAL, stream.read(&mut chunk)).await {
                Some(Ok(0) | Err(_)) => return ConnectionEnd::PeerLeft,
                Some(Ok(n)) => budget = budget.saturating_sub(n),
                None => {}
            }
            future::yield_now().await;
        }
        ConnectionEnd::PeerSilent
    }

    /// `false`: the connection can't go on.
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
        // It fails only when the dispatcher has ended, and with it the process.
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
                // Nobody waits for these bytes: they would only keep the buffers and the line busy.
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
                // Guards the bodies of others: what a stopped reader pins is freed the sooner they wait for it.
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

/// How a connection that nobody uses ends; `None`: something has come, so that it is used.
fn check_idle_socket(stream: &Async<TcpStream>) -> Option<ConnectionEnd> {
    match stream.get_ref().peek(&mut [0]) {
        Ok(1..) => None,
        Err(e) if e.kind() == ErrorKind::WouldBlock => Some(ConnectionEnd::PeerSilent),
        _ => Some(ConnectionEnd::PeerLeft),
    }
}

/// Throws away what still comes, up to a bound.
async fn drain(mut stream: &Async<TcpStream>) {
    let (mut chunk, mut budget) = (vec![0; 16 * 1024], MAX_DRAIN_BYTES);
    while let Ok(n @ 1..) = stream.read(&mut chunk).await {
        budget = budget.saturating_sub(n);
        if budget == 0 {
            return;
        }
        future::yield_now().await;
    }
}
