//! Client connections: accepts them up to a limit and serves each in a task of its own (`connection`), with one writer per
//! connection.
//!
//! Invariants: nothing that is read after the shutdown of a connection reaches the dispatcher; answers that are the
//! module's to decide are never generated here; a client that stops reading, sends nothing or sends malformed messages
//! loses only its own connection.

mod client;
mod connection;
mod input;
pub mod message_timer;

pub use client::Client;

use crate::Tasks;
use crate::buffers::Pool;
use crate::clock::Clock;
use crate::counters::{CountGuard, Counters};
use crate::dispatch_api::{Event as DispatchEvent, ResponderKeys, Service};
use crate::memory::Budget;
use crate::rpc::MAX_FRAME_BYTES;
use async_channel::Sender;
use async_io::Async;
use connection::Connection;
use event_listener::Event;
use futures_lite::future;
use input::READ_CHUNK_BYTES;
use kelpcart::Span;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// By the protocol, a client retransmits a request that was in flight when its connection closed, if the two crossed by
/// less than this.
const CROSSING_WINDOW: Span = Span::from_millis(50);
/// Most idle clients that are evicted at the same time. Each holds its descriptor until its close is complete.
const MAX_CONCURRENT_EVICTIONS: usize = 4;

/// A client that sends nothing for this long in the middle of a message loses its connection if others wait for its memory.
const STALLED_INPUT: Span = Span::from_millis(200);

/// State shared by the tasks of all client connections.
#[derive(Clone)]
pub struct Frontend {
    pub tasks: Tasks,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub pool: Rc<Pool>,
    pub buffers: Rc<InputBuffers>,
    pub dispatcher: Sender<DispatchEvent>,
    pub max_clients: usize,
    pub connected: Rc<RefCell<BTreeMap<u64, Rc<Client>>>>,
    pub keys: ResponderKeys,
    pub shutdown_state: Rc<ShutdownState>,
}

/// The memory that all connections share for input.
pub struct InputBuffers {
    /// For input beyond what each connection may buffer anyway.
    budget: Rc<Budget>,
    /// What is read passes through here, so that a connection that waits holds no buffer.
    scratch: RefCell<Box<[u8]>>,
}

impl InputBuffers {
    /// `bytes`: for input of more than a small message, of all connections together; at least one message fits.
    pub fn new(bytes: usize) -> Rc<InputBuffers> {
        let budget = Budget::new(bytes.max(MAX_FRAME_BYTES));
        let scratch = RefCell::new(vec![0; READ_CHUNK_BYTES].into_boxed_slice());
        Rc::new(InputBuffers { budget, scratch })
    }
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
        vec![
            ("clients connected", self.connected.borrow().len()),
            ("bytes of client input", self.buffers.budget.used_bytes()),
        ]
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

    /// Closes the client that has sent nothing for the longest time in the middle of a message, if that is too long, so
    /// that its memory becomes free.
    fn evict_stalled_writer(&self) {
        let connected = self.connected.borrow();
        let stalled_since = self.clock.now().saturating_sub(STALLED_INPUT);
        let is_stalled = |c: &&Rc<Client>| {
            c.holds_input_memory.get() && c.is_idle() && c.last_activity.get() <= stalled_since
        };
        let stalled = connected.values().filter(is_stalled).filter(|c| c.is_writable() && !c.evicting.get());
        if let Some(client) = stalled.min_by_key(|c| c.last_activity.get()) {
            self.counters.add("stalled writers closed for memory");
            client.evicting.set(true);
            client.close_requested.notify(1);
        }
    }

    async fn serve_connection(&self, stream: Async<TcpStream>) {
        // A failure only adds latency.
        _ = stream.get_ref().set_nodelay(true);
        let id = self.keys.next();
        let (sender, frames) = async_channel::unbounded();
        let client = Rc::new(Client::new(id, sender, self.clock.now(), Rc::clone(&self.counters)));
        self.connected.borrow_mut().insert(id, Rc::clone(&client));
        let end = Connection { frontend: self, stream: &stream, client }.run(&frames).await;
        frames.close();
        self.counters.record_end(end);
        _ = self.dispatcher.send(DispatchEvent::Disconnected { responder: id }).await;
        self.connected.borrow_mut().remove(&id);
    }
}
