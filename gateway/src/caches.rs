//! HTTP connections to caches, parents and the origin: one hop at a time per connection, with a pool of idle connections
//! per member that is dropped when the member leaves or restarts.
//!
//! Invariants: a request is never sent twice, nor without an order of the module. Every failure is reported as one
//! `ConnectionEnd` and left to the module to handle.

use crate::Tasks;
use crate::buffers::Pool;
use crate::clock::Clock;
use crate::config::ListedMember;
use crate::connection_end::ConnectionEnd;
use crate::counters::{CountGuard, Counters};
use crate::descriptors;
use crate::dispatch_api::{HopRequest, HopResult, Permit, SharedLimits};
use crate::http;
use async_io::Async;
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use kelpcart::interface::{MemberId, MemberState};
use kelpcart::{Span, Time};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Largest response body that is accepted from a cache: no object is larger.
const MAX_BODY_BYTES: usize = 240_000;
/// An idle connection is not reused before this delay: stray bytes that follow a response have arrived by then and are
/// detected, before they could be taken for the next response.
const REUSE_DELAY: Span = Span::from_millis(20);

/// State of a running hop.
struct Progress {
    /// How the hop ends if its deadline passes now.
    timeout_end: Cell<ConnectionEnd>,
    /// Time spent waiting for this gateway's own resources.
    local_wait: Cell<Span>,
}

struct Connection {
    stream: Async<TcpStream>,
    _guard: CountGuard,
    _permit: Option<Box<dyn Permit>>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Time,
}

struct Endpoint {
    address: SocketAddr,
    started: Option<Time>,
}

/// Connection limits from the configuration.
pub struct ConnectionLimits {
    pub connect_timeout: Span,
    /// Caches close idle connections after this time.
    pub idle_timeout: Span,
    /// Limit on open connections, idle ones included; each takes one descriptor. `set_max_connections` replaces it.
    pub max_connections: usize,
}

pub struct Caches {
    clock: Clock,
    pool: Rc<Pool>,
    counters: Rc<Counters>,
    limits: ConnectionLimits,
    max_connections: Cell<usize>,
    endpoints: RefCell<BTreeMap<MemberId, Endpoint>>,
    idle: RefCell<BTreeMap<MemberId, Vec<IdleConnection>>>,
    /// Notified when a hop has ended and its descriptor may be free.
    connection_freed: Event,
    /// Limits shared with other gateways, if there are any.
    shared_limits: OnceCell<Rc<dyn SharedLimits>>,
}

/// Notifies on the end of a hop, cancellation included.
struct NotifyOnDrop<'a>(&'a Event);

impl Drop for NotifyOnDrop<'_> {
    fn drop(&mut self) {
        // Wakes one further waiter even if an earlier one has not run yet: two ends free two descriptors.
        self.0.notify_additional(1);
    }
}

impl Caches {
    pub fn new(clock: Clock, pool: Rc<Pool>, counters: Rc<Counters>, limits: ConnectionLimits) -> Rc<Caches> {
        let (endpoints, idle) = Default::default();
        Rc::new(Caches {
            clock,
            pool,
            counters,
            max_connections: Cell::new(limits.max_connections),
            limits,
            endpoints,
            idle,
            connection_freed: Event::new(),
            shared_limits: OnceCell::new(),
        })
    }

    /// Replaces the limit on open connections.
    pub fn set_max_connections(&self, limit: usize) {
        self.max_connections.set(limit);
    }

    /// From now on connections and fills need a permit.
    pub fn set_shared_limits(&self, limits: Rc<dyn SharedLimits>) {
        // Only the first call has an effect.
        _ = self.shared_limits.set(limits);
    }

    /// Closes idle connections to the members that `selected` accepts, so that other gateways can use their permits.
    pub fn close_idle(&self, selected: impl Fn(&MemberId) -> bool) {
        self.idle.borrow_mut().retain(|id, _| !selected(id));
    }

    /// Starts a task that closes idle connections well before the caches would: otherwise one may be closed by the cache
    /// just as it is reused.
    pub fn spawn_idle_sweep(self: &Rc<Self>, tasks: Tasks) {
        let caches = Rc::clone(self);
        let sweep = async move {
            loop {
                caches.clock.sleep(Span::from_millis(500)).await;
                let cutoff = caches.clock.now().saturating_sub(caches.limits.idle_timeout * 0.75);
                caches
                    .idle
                    .borrow_mut()
                    .values_mut()
                    .for_each(|all| all.retain(|connection| connection.idle_since > cutoff));
            }
        };
        tasks.spawn(sweep).detach();
    }

    /// Applies an update of the member list; with `snapshot`, members that it does not name are removed. Returns the members
    /// that were removed, drain, restarted or changed address.
    pub fn update_members(&self, snapshot: bool, list: &[ListedMember]) -> BTreeSet<MemberId> {
        let (mut endpoints, mut idle) = (self.endpoints.borrow_mut(), self.idle.borrow_mut());
        let mut changed = BTreeSet::new();
        if snapshot {
            let named: BTreeSet<_> = list.iter().map(|l| &l.member.id).collect();
            changed.extend(endpoints.keys().filter(|id| !named.contains(id)).cloned());
            endpoints.retain(|id, _| named.contains(id));
        }
        for listed in list {
            let (m, address) = (&listed.member, listed.address);
            let previous = endpoints.get(&m.id);
            if previous.is_some_and(|p| Some(p.address) != address || p.started != m.started) {
                idle.remove(&m.id);
                changed.insert(m.id.clone());
            }
            match address {
                // Keeps the address of a draining member: hops ordered earlier may still be sent to it.
                Some(address) if m.state != MemberState::Gone => {
                    // If the address belonged to another member before, connections to that one must not be reused.
                    idle.retain(|id, _| {
                        *id == m.id || endpoints.get(id).is_none_or(|p| p.address != address)
                    });
                    endpoints.insert(m.id.clone(), Endpoint { address, started: m.started });
                }
                _ => _ = endpoints.remove(&m.id),
            }
            if m.state != MemberState::Up {
                idle.remove(&m.id);
                changed.insert(m.id.clone());
            }
        }
        idle.retain(|id, _| endpoints.contains_key(id));
        changed
    }

    /// Table sizes by name.
    pub fn table_sizes(&self) -> [(&'static str, usize); 2] {
        let idle = self.idle.borrow().values().map(Vec::len).sum();
        [("members with an address", self.endpoints.borrow().len()), ("idle hop connections", idle)]
    }

    /// Runs one hop to its end, at the latest at its deadline.
    pub async fn run_hop(&self, hop: HopRequest) -> HopResult {
        let progress =
            Progress { timeout_end: Cell::new(ConnectionEnd::LateUnsent), local_wait: Cell::default() };
        let _notify = NotifyOnDrop(&self.connection_freed);
        // Boxed, since each wrapper around a future would hold its size twice, for every hop that waits.
        let run = self.clock.timeout_at(hop.times.deadline, Box::pin(self.execute(&hop, &progress)));
        // No first byte may be written after `start_by`.
        let too_late = async {
            self.clock.sleep_until(hop.times.start_by).await;
            if hop.started.get() {
                future::pending::<()>().await;
            }
            Some(ConnectionEnd::Overtaken.into())
        };
        let result = future::or(run, too_late).await;
        let mut result = result.unwrap_or_else(|| progress.timeout_end.get().into());
        (result.finished_at, result.local_wait) = (Some(self.clock.now()), progress.local_wait.get());
        self.counters.record_end(result.end);
        result
    }

    /// Runs a wait for one of the gateway's own resources and records its duration, which must not count as the member's
    /// latency. `timeout_end` is the end of the hop if its deadline passes meanwhile.
    async fn track_local_wait<T>(
        &self,
        progress: &Progress,
        timeout_end: ConnectionEnd,
        wait: impl Future<Output = T>,
    ) -> T {
        let (previous_end, wait_start) = (progress.timeout_end.replace(timeout_end), self.clock.now());
        let output = wait.await;
        progress.timeout_end.set(previous_end);
        progress.local_wait.set(progress.local_wait.get() + (self.clock.now() - wait_start));
        output
    }

    async fn execute(&self, hop: &HopRequest, progress: &Progress) -> HopResult {
        let address = self.endpoints.borrow().get(&hop.member).map(|p| p.address);
        let Some(address) = address else { return ConnectionEnd::NoSocket.into() };
        let mut fill_permit = None;
        if let Some(permit) = self.shared_limits.get().and_then(|limits| limits.acquire_fill(hop)) {
            fill_permit = self.track_local_wait(progress, ConnectionEnd::LateUnsent, permit).await;
            if fill_permit.is_none() {
                self.counters.add("hops without a fill in common");
                return ConnectionEnd::NoSocket.into();
            }
        }
        let result = self.exchange(hop, address, progress).await;
        if let Some(permit) = fill_permit.as_mut().filter(|_| result.end == ConnectionEnd::Whole) {
            permit.complete();
        }
        result
    }

    async fn exchange(&self, hop: &HopRequest, address: SocketAddr, progress: &Progress) -> HopResult {
        let (mut connection, reused) = match self.take_idle(&hop.member) {
            Some(connection) => (connection, true),
            None => match self.connect(&hop.member, address, progress).await {
                Ok(connection) => (connection, false),
                Err(end) => return end.into(),
            },
        };
        let host = address.to_string();
        let request = http::Request {
            rule: &hop.rule,
            object: &hop.request.object_name,
            part: hop.request.part,
            trace_id: &hop.request.request_id,
            host: &host,
            time_limit: hop.times.deadline - self.clock.now(),
            fill: hop.fill.as_ref(),
            etag: hop.request.client_etag.as_deref().filter(|_| !hop.is_write),
            idempotency_key: hop.request.idempotency_key.as_deref(),
            content_length: hop.is_write.then_some(hop.request.body.len()),
        };
        let mut bytes = request.encode();
        if hop.is_write {
            bytes.extend_from_slice(&hop.request.body);
        }
        // The caller's timer for this may be ready only together with the connection.
        if self.clock.now() >= hop.times.start_by {
            return ConnectionEnd::Overtaken.into();
        }
        hop.started.set(true);
        if connection.stream.write_all(&bytes).await.is_err() {
            return if reused { ConnectionEnd::KeptClosed } else { ConnectionEnd::CutUnsent }.into();
        }
        progress.timeout_end.set(ConnectionEnd::Late);
        match self.read_response(&mut connection, request.etag.is_some(), progress).await {
            Ok((result, keep)) => {
                if keep && result.end.leaves_connection_usable() {
                    self.return_idle(&hop.member, address, connection);
                }
                result
            }
            Err(end) => end.into(),
        }
    }

    /// Reads one response; the flag says whether the connection can be reused.
    async fn read_response(
        &self,
        connection: &mut Connection,
        has_copy: bool,
        progress: &Progress,
    ) -> Result<(HopResult, bool), ConnectionEnd> {
        let malformed = |what: &str| {
            log::debug!("caches: response discarded and connection closed: {what}");
            ConnectionEnd::Damaged
        };
        // Allocated only once there is something to read: most hops wait for that longer than for anything else.
        connection.stream.readable().await.map_err(|_| ConnectionEnd::Cut)?;
        let mut buffer = vec![0; http::MAX_HEAD_BYTES];
        let mut n = 0;
        let (head, used) = loop {
            let read = connection.stream.read(&mut buffer[n..]).await.map_err(|_| ConnectionEnd::Cut)?;
            if read == 0 {
                return Err(ConnectionEnd::Cut);
            }
            n += read;
            if let Some(found) = http::parse_head(&buffer[..n]).map_err(|d| malformed(d.0))? {
                break found;
            }
        };
        if head.content_length > MAX_BODY_BYTES {
            return Err(malformed("body is larger than any object"));
        }
        let body = self
            .track_local_wait(progress, ConnectionEnd::LateForRoom, self.pool.allocate(head.content_length))
            .await;
        let mut body = body.ok_or(ConnectionEnd::Damaged)?;
        // Bytes after a complete response do not invalidate it, but the connection is not reused.
        let has_trailing_bytes = body.copy_from(&buffer[used..n]) < n - used;
        drop(buffer);
        while !body.is_full() {
            let read = connection.stream.read(body.unfilled()).await.map_err(|_| ConnectionEnd::Cut)?;
            if read == 0 {
                return Err(ConnectionEnd::Cut);
            }
            body.advance(read);
        }
        let end = match (head.status, head.declined) {
            (200, _) => ConnectionEnd::Whole,
            (304, _) if has_copy => ConnectionEnd::Current,
            // A client that holds no copy must not get an answer without a body.
            (304, _) => return Err(malformed("304 for a request without If-None-Match")),
            (404, _) => ConnectionEnd::Lacking,
            (503, true) => ConnectionEnd::Full,
            (504, true) => ConnectionEnd::Over,
            _ => ConnectionEnd::Errored,
        };
        let body = (end == ConnectionEnd::Whole).then_some(body);
        let result = HopResult {
            cache_status: head.cache_status,
            first_byte_wait: head.first_byte_wait,
            load_report: head.load_report,
            body,
            ..end.into()
        };
        Ok((result, !head.close && !has_trailing_bytes))
    }

    /// An idle connection that is past `REUSE_DELAY` and on which neither data nor an end of stream is pending.
    fn take_idle(&self, id: &MemberId) -> Option<Connection> {
        let (mut idle, reusable_since) =
            (self.idle.borrow_mut(), self.clock.now().saturating_sub(REUSE_DELAY));
        let all = idle.get_mut(id)?;
        while let Some(last) = all.iter().rposition(|connection| connection.idle_since <= reusable_since) {
            let connection = all.remove(last).connection;
            let peeked = connection.stream.get_ref().peek(&mut [0]);
            if peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                return Some(connection);
            }
            self.counters.add("kept connections found closed");
        }
        None
    }

    fn return_idle(&self, id: &MemberId, address: SocketAddr, connection: Connection) {
        if self.endpoints.borrow().get(id).is_some_and(|p| p.address == address) {
            let idle_since = self.clock.now();
            self.idle
                .borrow_mut()
                .entry(id.clone())
                .or_default()
                .push(IdleConnection { connection, idle_since });
        }
    }

    async fn connect(
        &self,
        member: &MemberId,
        address: SocketAddr,
        progress: &Progress,
    ) -> Result<Connection, ConnectionEnd> {
        let descriptor = self.clock.timeout(self.limits.connect_timeout, self.wait_for_descriptor());
        self.track_local_wait(progress, ConnectionEnd::LateUnsent, descriptor)
            .await
            .ok_or(ConnectionEnd::NoSocket)?;
        let mut permit = None;
        if let Some(limits) = self.shared_limits.get() {
            let acquired = limits.acquire_connection(member, self.clock.now() + self.limits.connect_timeout);
            permit = self.track_local_wait(progress, ConnectionEnd::LateUnsent, acquired).await;
            if permit.is_none() {
                self.counters.add("hops without a connection in common");
                return Err(ConnectionEnd::NoSocket);
            }
        }
        let deadline = self.clock.now() + self.limits.connect_timeout;
        let guard = CountGuard::new(&self.counters.hop_connections);
        self.counters.add("hop connections opened");
        let connected = self.clock.timeout_at(deadline, Async::<TcpStream>::connect(address)).await;
        let stream = connected.ok_or(ConnectionEnd::NoConnection)?.map_err(connect_error)?;
        stream.get_ref().set_nodelay(true).map_err(connect_error)?;
        Ok(Connection { stream, _guard: guard, _permit: permit })
    }

    /// Waits for a free descriptor, as part of the connect timeout. If the hop failed at once instead, a txn would exhaust
    /// all its caches in a moment whenever the limit is reached.
    async fn wait_for_descriptor(&self) {
        while self.counters.hop_connections.get() >= self.max_connections.get() {
            self.close_oldest_idle();
            let connection_freed = self.connection_freed.listen();
            if self.counters.hop_connections.get() >= self.max_connections.get() {
                connection_freed.await;
            }
        }
    }

    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|all| !all.is_empty()).min_by_key(|all| all[0].idle_since);
        if let Some(all) = oldest {
            all.remove(0);
        }
    }
}

fn connect_error(e: io::Error) -> ConnectionEnd {
    if e.kind() == ErrorKind::AddrNotAvailable || descriptors::is_exhaustion(&e) {
        return ConnectionEnd::NoSocket;
    }
    ConnectionEnd::Refused
}
