//! Owns the connections of clients: accepts them up to a bound, reads their messages, writes answers whole, by one
//! writer a connection, and closes each of them by one sequence. Must never answer by itself what the module has to
//! decide, nor pass on what is read after the shutdown of a connection; a client that stops reading, sends nothing
//! or sends what can't be read costs its own connection only.

use crate::Tasks;
use crate::buffers::{Body, Pool};
use crate::clock::Clock;
use crate::connection_end::ConnectionEnd;
use crate::counters::{CountGuard, Counters};
use crate::dispatch_api::{Event as Said, Responder, ResponderKeys, Service};
use crate::rpc::{self, Fault, Message, Word};
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
const MOST_OPEN: usize = 32;
/// Answers that may wait for a connection to take bytes before no more is read from it.
const MOST_WAITING: usize = 2 * MOST_OPEN;
/// A connection on which something was asked may be idle for this long: usual clients close theirs earlier.
const IDLE: Span = Span::from_millis(5_000);
/// From the connection, or from the first byte of a message, to its last: short of the 3 s after which even a
/// client that sends nothing whole is owed a close.
const WHOLE: Span = Span::from_millis(2_500);
/// What a client still sends after the shutdown of its connection is read for this long and this far, lest the answers
/// before it be lost with a reset.
const DRAINED: Span = Span::from_millis(300);
const MOST_DRAINED: usize = 1024 * 1024;
/// A request that crosses a close by less than this is sent again by its client, by the protocol.
const CROSSING: Span = Span::from_millis(50);
/// Between two looks at whether a connection that is to end owes nothing.
const OWES_LOOKS: Span = Span::from_millis(20);
/// Clients that make room at once: each keeps its place until its close is through.
const MAKING_ROOM: usize = 4;
/// One that takes no bytes may stall for this long, or for the shorter time while bodies are short of memory.
const STALLED: Span = Span::from_millis(5_000);
const STALLED_SHORT: Span = Span::from_millis(500);
const LOOKS: Span = Span::from_millis(250);

/// What is written to a client in one piece.
pub struct Frame {
    head: Vec<u8>,
    body: Option<Body>,
    tail: Vec<u8>,
    /// When nobody waits for it any more, and what goes out then in its place.
    until: Option<(Time, u64)>,
    _held: [CountGuard; 2],
}

pub struct Client {
    pub id: u64,
    out: Sender<Frame>,
    open: RefCell<BTreeSet<u64>>,
    last: Cell<u64>,
    /// Answers that are not written whole yet.
    waiting: Rc<Cell<usize>>,
    written: Event,
    /// When it came, and when it last sent or was sent something.
    since: Time,
    heard: Cell<Time>,
    /// It has to make room; the event wakes its reader, which closes it if nothing comes just then.
    crowded: Cell<bool>,
    leave: Event,
    /// The sequence of its close has begun.
    closed: Cell<bool>,
    counters: Rc<Counters>,
}

impl Client {
    fn refuse(&self, id: u64, word: Word, fields: &[(&str, &str)]) {
        self.answer(id, rpc::unserved(id, word, fields), None, Vec::new(), None);
    }

    /// A request's one answer; none goes out for one that is not open any more.
    fn answer(&self, id: u64, head: Vec<u8>, body: Option<Body>, tail: Vec<u8>, until: Option<(Time, u64)>) {
        if !self.open.borrow_mut().remove(&id) {
            return;
        }
        let _held = [CountGuard::new(&self.counters.unwritten), CountGuard::new(&self.waiting)];
        // It fails only when the connection is gone.
        _ = self.out.try_send(Frame { head, body, tail, until, _held });
    }

    /// It owes nothing and is owed nothing: closing its connection loses no request.
    fn is_idle(&self) -> bool {
        self.open.borrow().is_empty() && self.waiting.get() == 0
    }

    /// Something may still be written to it.
    pub fn is_open(&self) -> bool {
        !self.closed.get()
    }

    fn has_asked(&self) -> bool {
        self.last.get() > 0
    }

    /// Takes in a message id; `false` if it was used before.
    fn take(&self, id: u64) -> bool {
        let new = id > self.last.get();
        if new {
            self.last.set(id);
            self.open.borrow_mut().insert(id);
        }
        new
    }
}

impl Responder for Client {
    fn key(&self) -> u64 {
        self.id
    }

    fn serve(&self, id: u64, body: Option<Body>, until: Time) {
        let len = body.as_ref().map_or(0, Body::len);
        let (head, tail) = rpc::served(id, len, body.is_none());
        self.answer(id, head, body, tail, Some((until, id)));
    }

    fn reject(&self, id: u64, come_back: Option<Span>) {
        let wait = come_back.map(|span| (span.as_micros() / 1_000).to_string());
        let fields = wait.as_deref().map(|wait| ("holdoff", wait));
        self.refuse(id, Word::Backoff, fields.as_slice());
    }

    fn abort(&self, id: u64) {
        self.refuse(id, Word::Lost, &[]);
    }

    fn invalid(&self, id: u64) {
        self.refuse(id, Word::Invalid, &[]);
    }

    fn ready(&self, id: u64, ready: bool) {
        self.answer(id, rpc::checked(id, ready), None, Vec::new(), None);
    }
}

/// What the tasks of all connections share.
#[derive(Clone)]
pub struct Front {
    pub tasks: Tasks,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub pool: Rc<Pool>,
    pub dispatcher: Sender<Said>,
    pub most: usize,
    pub connected: Rc<RefCell<BTreeMap<u64, Rc<Client>>>>,
    pub keys: ResponderKeys,
    pub ending: Rc<Ending>,
}

/// How far the front is with its end at a planned restart.
#[derive(Default)]
pub struct Ending {
    begun: Cell<bool>,
    told: Event,
    /// The listener is closed, with nothing left in its queue.
    deaf: Cell<bool>,
}

impl Service for Front {
    fn shutdown(&self) {}

    fn close(&self) {
        if !self.ending.begun.replace(true) {
            self.ending.told.notify(usize::MAX);
            self.connected.borrow().values().for_each(|client| _ = client.leave.notify(1));
        }
    }

    fn is_closed(&self) -> bool {
        self.ending.deaf.get() && self.connected.borrow().is_empty()
    }

    fn table_sizes(&self) -> Vec<(&'static str, usize)> {
        vec![("clients connected", self.connected.borrow().len())]
    }
}

impl Front {
    /// Takes in clients until the front is to close, and then what still waits in the machine's queue: closing the
    /// listener would reset it.
    pub async fn accept(self, listener: Async<TcpListener>) {
        let mut wait = Span::from_millis(10);
        loop {
            let told = self.ending.told.listen();
            let last = self.ending.begun.get();
            if !last {
                let wanted = async { _ = listener.readable().await };
                future::or(wanted, told).await;
            }
            if self.counters.clients.get() >= self.most {
                self.make_room();
                self.clock.sleep(Span::from_millis(1)).await;
                continue;
            }
            match listener.get_ref().accept().and_then(|(stream, _)| Async::new(stream)) {
                Ok(stream) => {
                    wait = Span::from_millis(10);
                    self.counters.add("client connections");
                    let (front, held) = (self.clone(), CountGuard::new(&self.counters.clients));
                    let task = async move {
                        front.serve(stream).await;
                        drop(held);
                    };
                    self.tasks.spawn(task).detach();
                    // Guards those that are connected against a flood of those that connect.
                    future::yield_now().await;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock && last => break,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => {
                    log::warn!("a connection can't be accepted: {e}");
                    self.counters.add("accepts failed");
                    self.clock.sleep(wait).await;
                    wait = (wait * 2.0).min(Span::from_millis(1_000));
                }
            }
        }
        drop(listener);
        self.ending.deaf.set(true);
    }

    /// Guards other clients against one that opens connections and leaves them idle: at the bound the one idle
    /// longest makes room, those first that never asked. With none idle, new ones wait in the machine's queue.
    fn make_room(&self) {
        let connected = self.connected.borrow();
        if connected.values().filter(|c| c.crowded.get()).count() >= MAKING_ROOM {
            return;
        }
        let idle = connected.values().filter(|c| c.is_idle() && c.is_open() && !c.crowded.get());
        if let Some(client) = idle.min_by_key(|c| (c.has_asked(), c.heard.get())) {
            self.counters.add("idle clients closed for room");
            client.crowded.set(true);
            client.leave.notify(1);
        }
    }

    async fn serve(&self, stream: Async<TcpStream>) {
        let id = self.keys.next();
        // Without it answers only come later.
        _ = stream.get_ref().set_nodelay(true);
        let (out, frames) = async_channel::unbounded();
        let since = self.clock.now();
        let client = Rc::new(Client {
            id,
            out,
            open: RefCell::default(),
            last: Cell::new(0),
            waiting: Rc::default(),
            written: Event::new(),
            since,
            heard: Cell::new(since),
            crowded: Cell::new(false),
            leave: Event::new(),
            closed: Cell::new(false),
            counters: Rc::clone(&self.counters),
        });
        self.connected.borrow_mut().insert(id, Rc::clone(&client));
        let mut write = pin!(self.write(&stream, &client, &frames));
        let end = future::or(self.read(&stream, &client), write.as_mut()).await;
        match end {
            // Guards the answer that is half written against the end: the one writer goes on to the last of them.
            ConnectionEnd::PeerDamaged => {
                self.give_up(&client).await;
                write.await;
                self.close(&stream, &client).await;
            }
            ConnectionEnd::PeerSilent => self.close(&stream, &client).await,
            // There is nobody to close for.
            _ => {}
        }
        frames.close();
        self.counters.record_end(end);
        _ = self.dispatcher.send(Said::Disconnected { client: id }).await;
        self.connected.borrow_mut().remove(&id);
    }

    /// The end of one that sent what can't be read: each of its open requests gets an answer that promises nothing.
    async fn give_up(&self, client: &Client) {
        _ = self.dispatcher.send(Said::Disconnected { client: client.id }).await;
        let open: Vec<u64> = client.open.borrow().iter().copied().collect();
        open.into_iter().for_each(|id| client.refuse(id, Word::Lost, &[]));
        client.out.close();
    }

    /// The one sequence by which a connection is closed that is not broken: nothing more is written, and what comes
    /// from here on is thrown away, up to a bound. Guards the last answers against the reset that a close over unread
    /// bytes sends after them, and what crosses the close against being passed on.
    async fn close(&self, stream: &Async<TcpStream>, client: &Client) {
        client.closed.set(true);
        if stream.get_ref().shutdown(Shutdown::Write).is_ok() {
            let most = if client.crowded.get() { CROSSING } else { DRAINED };
            self.clock.within(most, drain(stream)).await;
        }
    }

    /// Whether a connection that is to end can do so now: it is owed nothing, and nothing comes in this moment.
    fn leaves(&self, stream: &Async<TcpStream>, client: &Client, half: bool) -> Option<ConnectionEnd> {
        let now = self.clock.now();
        // One that came last has its first request on the way, half a message its other half.
        let on_the_way = !client.has_asked() && !client.crowded.get() && now < client.since + CROSSING;
        if !client.is_idle() {
            client.crowded.set(false);
        }
        if !client.is_idle() || on_the_way || half && now < client.heard.get() + CROSSING {
            return None;
        }
        let end = look(stream);
        if end.is_none() {
            client.crowded.set(false);
        }
        end
    }

    async fn read(&self, mut stream: &Async<TcpStream>, client: &Rc<Client>) -> ConnectionEnd {
        let mut held: Vec<u8> = Vec::new();
        let mut bytes = vec![0; 16 * 1024];
        // When what is held began to come, or the connection.
        let mut began = self.clock.now();
        loop {
            // Guards the others against one that sends at full speed: they have their turn after each piece.
            future::yield_now().await;
            // Guards memory against a client that asks on and on and takes no answer.
            while client.waiting.get() > MOST_WAITING {
                let written = client.written.listen();
                if client.waiting.get() > MOST_WAITING {
                    written.await;
                }
            }
            let due = !held.is_empty() || !client.has_asked();
            let mut until = if due { began + WHOLE } else { client.heard.get() + IDLE };
            let told = client.leave.listen();
            if client.crowded.get() || self.ending.begun.get() {
                if let Some(end) = self.leaves(stream, client, !held.is_empty()) {
                    return end;
                }
                until = until.min(self.clock.now() + OWES_LOOKS);
            }
            let read = async { Some(self.clock.by(until, stream.read(&mut bytes)).await) };
            let told = async {
                told.await;
                None
            };
            let n = match future::or(read, told).await {
                Some(Some(Ok(0) | Err(_))) => return ConnectionEnd::PeerLeft,
                Some(Some(Ok(n))) => n,
                // Nothing more is taken from one that sends half a message; what it is owed still goes out.
                Some(None) if due && began + WHOLE <= self.clock.now() => {
                    return self.await_owed(stream, client).await;
                }
                Some(None) if !due && client.heard.get() + IDLE <= self.clock.now() => {
                    if !client.is_idle() {
                        client.heard.set(self.clock.now());
                    } else if let Some(end) = look(stream) {
                        return end;
                    }
                    continue;
                }
                None | Some(None) => continue,
            };
            let at = self.clock.now();
            client.heard.set(at);
            if held.is_empty() && client.has_asked() {
                began = at;
            }
            held.extend_from_slice(&bytes[..n]);
            let mut used = 0;
            while used < held.len() {
                let len = match rpc::message(&held[used..]) {
                    Ok(None) => break,
                    Ok(Some((message, len))) => {
                        if !self.take(client, message, at).await {
                            return ConnectionEnd::PeerDamaged;
                        }
                        len
                    }
                    Err((fault, len)) => {
                        self.counters.add("client messages refused");
                        log::debug!("a client's message is refused: {fault:?}");
                        let (Fault::Damaged { id } | Fault::Refused { id, .. }) = fault;
                        let Some(id) = id.filter(|id| client.take(*id)) else {
                            return ConnectionEnd::PeerDamaged;
                        };
                        client.invalid(id);
                        if matches!(fault, Fault::Damaged { .. }) {
                            return ConnectionEnd::PeerDamaged;
                        }
                        len
                    }
                };
                used += len;
            }
            held.drain(..used);
            if used > 0 && client.has_asked() {
                began = at;
            }
            if held.is_empty() {
                held.shrink_to(bytes.len());
            }
        }
    }

    /// Waits until a client has all that it is owed; what it sends meanwhile is thrown away, but that it leaves is seen.
    async fn await_owed(&self, mut stream: &Async<TcpStream>, client: &Client) -> ConnectionEnd {
        let (mut bytes, mut left) = (vec![0; 16 * 1024], MOST_DRAINED);
        while !client.is_idle() {
            if left == 0 {
                self.clock.sleep(LOOKS).await;
                continue;
            }
            match self.clock.within(LOOKS, stream.read(&mut bytes)).await {
                Some(Ok(0) | Err(_)) => return ConnectionEnd::PeerLeft,
                Some(Ok(n)) => left = left.saturating_sub(n),
                None => {}
            }
            future::yield_now().await;
        }
        ConnectionEnd::PeerSilent
    }

    /// `false`: the connection can't go on.
    async fn take(&self, client: &Rc<Client>, message: Message, at: Time) -> bool {
        let event = match message {
            Message::Interrupt { ids } => {
                for id in ids {
                    if client.open.borrow_mut().remove(&id) {
                        self.counters.add("requests interrupted");
                        _ = self.dispatcher.send(Said::Cancelled { client: client.id, id }).await;
                    }
                }
                return true;
            }
            Message::Check { id } | Message::Request { id, .. } if !client.take(id) => {
                self.counters.add("message ids used again");
                return false;
            }
            Message::Check { id } => Said::HealthCheck { client: Rc::clone(client) as _, id },
            Message::Request { id, .. } if client.open.borrow().len() > MOST_OPEN => {
                self.counters.add("requests over the connection's bound");
                client.reject(id, None);
                return true;
            }
            Message::Request { id, method, ask } => {
                self.counters.add("requests");
                Said::Request { client: Rc::clone(client) as _, id, method, request: ask, at }
            }
        };
        // It fails only when the dispatcher has ended, and with it the process.
        _ = self.dispatcher.send(event).await;
        true
    }

    async fn write(
        &self,
        stream: &Async<TcpStream>,
        client: &Client,
        frames: &Receiver<Frame>,
    ) -> ConnectionEnd {
        while let Ok(mut frame) = frames.recv().await {
            if let Some((_, id)) = frame.until.filter(|(until, _)| *until < self.clock.now()) {
                // Nobody waits for these bytes: they would only keep the buffers and the line busy.
                self.counters.add("answers too late to write");
                (frame.head, frame.body) = (rpc::unserved(id, Word::Lost, &[]), None);
                frame.tail.clear();
            }
            let body = frame.body.iter().flat_map(Body::slices);
            let parts = std::iter::once(frame.head.as_slice()).chain(body).chain([frame.tail.as_slice()]);
            let mut slices: Vec<IoSlice> = parts.map(IoSlice::new).collect();
            if let Err(end) = self.write_all(stream, &mut slices).await {
                return end;
            }
            drop(frame);
            client.heard.set(self.clock.now());
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
        let mut moved = self.clock.now();
        while !slices.is_empty() {
            let written: Option<io::Result<usize>> =
                self.clock.within(LOOKS, stream.write_vectored(slices)).await;
            match written {
                // Guards the bodies of others: what a stopped reader pins is freed the sooner they wait for it.
                None => {
                    let limit = if self.pool.is_short() { STALLED_SHORT } else { STALLED };
                    if self.clock.now() - moved >= limit {
                        return Err(ConnectionEnd::PeerStalled);
                    }
                }
                Some(Ok(0) | Err(_)) => return Err(ConnectionEnd::PeerLeft),
                Some(Ok(n)) => {
                    moved = self.clock.now();
                    IoSlice::advance_slices(&mut slices, n);
                }
            }
        }
        Ok(())
    }
}

/// How a connection that nobody uses ends; `None`: something has come, so that it is used.
fn look(stream: &Async<TcpStream>) -> Option<ConnectionEnd> {
    match stream.get_ref().peek(&mut [0]) {
        Ok(1..) => None,
        Err(e) if e.kind() == ErrorKind::WouldBlock => Some(ConnectionEnd::PeerSilent),
        _ => Some(ConnectionEnd::PeerLeft),
    }
}

/// Throws away what still comes, up to a bound.
async fn drain(mut stream: &Async<TcpStream>) {
    let (mut bytes, mut left) = (vec![0; 16 * 1024], MOST_DRAINED);
    while let Ok(n @ 1..) = stream.read(&mut bytes).await {
        left = left.saturating_sub(n);
        if left == 0 {
            return;
        }
        future::yield_now().await;
    }
}
