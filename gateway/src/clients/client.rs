//! The state of one connected client, shared by the tasks that read, write and answer its requests.

use crate::buffers::Body;
use crate::counters::{CountGuard, Counters};
use crate::dispatch_api::{Rejection, Responder};
use crate::rpc::{self, ErrorCode};
use async_channel::Sender;
use event_listener::Event;
use kelpcart::Time;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// One message to a client.
pub(super) struct Frame {
    pub head: Vec<u8>,
    pub body: Option<Body>,
    pub tail: Vec<u8>,
    /// When the client stops waiting, and the id of the request. A frame past this time is replaced by an error answer.
    pub expiry: Option<(Time, u64)>,
    _guards: [CountGuard; 2],
}

impl Frame {
    /// The bytes of the message, in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        let body = self.body.iter().flat_map(Body::chunks);
        std::iter::once(self.head.as_slice()).chain(body).chain([self.tail.as_slice()])
    }
}

/// A connected client: its open requests and the queue of its answers.
pub struct Client {
    pub(super) id: u64,
    pub(super) frames: Sender<Frame>,
    pub(super) open_requests: RefCell<BTreeSet<u64>>,
    last_message_id: Cell<u64>,
    /// Answers that are not completely written yet.
    pub(super) unwritten_answers: Rc<Cell<usize>>,
    /// Notified after each written answer.
    pub(super) written: Event,
    pub(super) connected_at: Time,
    /// The last read from or write to the connection.
    pub(super) last_activity: Cell<Time>,
    /// Selected to be closed in favour of a new connection, unless input arrives first.
    pub(super) evicting: Cell<bool>,
    /// The connection holds a part of the memory that all connections share for input.
    pub(super) holds_input_memory: Cell<bool>,
    /// Wakes the reader for an eviction or a shutdown.
    pub(super) close_requested: Event,
    /// The write side has been shut down, or is about to be.
    pub(super) closing: Cell<bool>,
    counters: Rc<Counters>,
}

impl Client {
    pub(super) fn new(id: u64, frames: Sender<Frame>, connected_at: Time, counters: Rc<Counters>) -> Client {
        Client {
            id,
            frames,
            open_requests: RefCell::default(),
            last_message_id: Cell::new(0),
            unwritten_answers: Rc::default(),
            written: Event::new(),
            connected_at,
            last_activity: Cell::new(connected_at),
            evicting: Cell::new(false),
            holds_input_memory: Cell::new(false),
            close_requested: Event::new(),
            closing: Cell::new(false),
            counters,
        }
    }

    pub(super) fn send_error(&self, id: u64, code: ErrorCode, fields: &[(&str, &str)]) {
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
    pub(super) fn is_idle(&self) -> bool {
        self.open_requests.borrow().is_empty() && self.unwritten_answers.get() == 0
    }

    /// Whether answers may still be written.
    pub fn is_writable(&self) -> bool {
        !self.closing.get()
    }

    pub(super) fn has_sent_request(&self) -> bool {
        self.last_message_id.get() > 0
    }

    /// Opens a request under a message id; `false` if the id is not higher than all earlier ones.
    pub(super) fn register_message_id(&self, id: u64) -> bool {
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

    fn reject(&self, id: u64, rejection: Rejection) {
        let wait = rejection.retry_after.map(|span| (span.as_micros() / 1_000).to_string());
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
