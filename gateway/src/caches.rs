//! Owns the connections to caches, parents and the origin: one hop at a time on each, idle ones kept by member id
//! and dropped when the member goes or starts anew. Must never send a request twice, nor send one that the module
//! did not order; whatever goes wrong is reported by its one value in `end` and left to the module.

use crate::Tasks;
use crate::buffers::Pool;
use crate::clock::Clock;
use crate::config::ListedMember;
use crate::connection_end::ConnectionEnd;
use crate::counters::{CountGuard, Counters};
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

/// The largest body that is taken from a cache: no object is larger.
const MAX_BODY_BYTES: usize = 240_000;
/// A connection rests this long before it carries another hop: what still follows an answer has come by then, and
/// is found before it could pass for the next one.
const REUSE_DELAY: Span = Span::from_millis(20);

/// What a hop has come to: its end should its time be over now, and its waits for the gateway's own means.
struct Progress {
    timeout_end: Cell<ConnectionEnd>,
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

/// What the configuration sets to connections.
pub struct ConnectionLimits {
    pub connect_timeout: Span,
    /// Caches close idle ones after this time.
    pub idle_timeout: Span,
    /// Descriptors.
    pub max_connections: usize,
}

pub struct Caches {
    clock: Clock,
    pool: Rc<Pool>,
    counters: Rc<Counters>,
    limits: ConnectionLimits,
    endpoints: RefCell<BTreeMap<MemberId, Endpoint>>,
    idle: RefCell<BTreeMap<MemberId, Vec<IdleConnection>>>,
    /// A hop has ended, so that its descriptor may be free.
    connection_freed: Event,
    /// Bounds in common with other gateways, where there are any.
    shared_limits: OnceCell<Rc<dyn SharedLimits>>,
}

/// Tells of the end of a hop, also of one that is taken back.
struct NotifyOnDrop<'a>(&'a Event);

impl Drop for NotifyOnDrop<'_> {
    fn drop(&mut self) {
        // One more each time, also while another is still waking: two ends at once free two.
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
            limits,
            endpoints,
            idle,
            connection_freed: Event::new(),
            shared_limits: OnceCell::new(),
        })
    }

    /// Connections and fills need a permit from now on.
    pub fn set_shared_limits(&self, limits: Rc<dyn SharedLimits>) {
        // A second one has no place beside the first.
        _ = self.shared_limits.set(limits);
    }

    /// Closes idle connections to some members: others want their places.
    pub fn close_idle(&self, of: impl Fn(&MemberId) -> bool) {
        self.idle.borrow_mut().retain(|id, _| !of(id));
    }

    /// Closes idle connections well before the caches would, lest one is closed just as it is used.
    pub fn spawn_idle_sweep(self: &Rc<Self>, tasks: Tasks) {
        let caches = Rc::clone(self);
        let sweep = async move {
            loop {
                caches.clock.sleep(Span::from_millis(500)).await;
                let cutoff = caches.clock.now().saturating_sub(caches.limits.idle_timeout * 0.75);
                caches.idle.borrow_mut().values_mut().for_each(|all| all.retain(|k| k.idle_since > cutoff));
            }
        };
        tasks.spawn(sweep).detach();
    }

    /// News of the list; with `whole`, members that it does not name are gone. Gives those that are not what they were:
    /// gone, draining, started anew or elsewhere.
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
                // Hops that were ordered before may still be on their way to one that drains.
                Some(address) if m.state != MemberState::Gone => {
                    // An address is used again: connections to the one that had it before are not the new one's.
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

    /// How much is kept, by name.
    pub fn table_sizes(&self) -> [(&'static str, usize); 2] {
        let idle = self.idle.borrow().values().map(Vec::len).sum();
        [("members with an address", self.endpoints.borrow().len()), ("idle hop connections", idle)]
    }

    /// Runs one hop to its end, which comes by the job's time at the latest.
    pub async fn run_hop(&self, hop: HopRequest) -> HopResult {
        let progress =
            Progress { timeout_end: Cell::new(ConnectionEnd::LateUnsent), local_wait: Cell::default() };
        let _notify = NotifyOnDrop(&self.connection_freed);
        let run = self.clock.timeout_at(hop.deadline, self.execute(&hop, &progress));
        // Guards against a first byte at a time at which the hop may not be begun any more.
        let too_late = async {
            self.clock.sleep_until(hop.start_by).await;
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

    /// Guards members against being held to be slow for what the gateway itself lacks.
    async fn track_local_wait<T>(
        &self,
        progress: &Progress,
        timeout_end: ConnectionEnd,
        wait: impl Future<Output = T>,
    ) -> T {
        let (before, since) = (progress.timeout_end.replace(timeout_end), self.clock.now());
        let output = wait.await;
        progress.timeout_end.set(before);
        progress.local_wait.set(progress.local_wait.get() + (self.clock.now() - since));
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
            time_limit: hop.deadline - self.clock.now(),
            fill: hop.fill.as_ref(),
            etag: hop.request.client_etag.as_deref().filter(|_| !hop.is_write),
            idempotency_key: hop.request.idempotency_key.as_deref(),
            content_length: hop.is_write.then_some(hop.request.body.len()),
        };
        let mut bytes = request.encode();
        if hop.is_write {
            bytes.extend_from_slice(&hop.request.body);
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

    /// Reads one answer; tells whether the connection can be used again.
    async fn read_response(
        &self,
        connection: &mut Connection,
        has_copy: bool,
        progress: &Progress,
    ) -> Result<(HopResult, bool), ConnectionEnd> {
        let malformed = |what: &str| {
            log::debug!("a cache's answer can't be used: {what}");
            ConnectionEnd::Damaged
        };
        let mut buffer = [0; http::MAX_HEAD_BYTES];
        let mut n = 0;
        let (head, used) = loop {
            let got = connection.stream.read(&mut buffer[n..]).await.map_err(|_| ConnectionEnd::Cut)?;
            if got == 0 {
                return Err(ConnectionEnd::Cut);
            }
            n += got;
            if let Some(found) = http::parse_head(&buffer[..n]).map_err(|d| malformed(d.0))? {
                break found;
            }
        };
        if head.content_length > MAX_BODY_BYTES {
            return Err(malformed("too large"));
        }
        let body = self
            .track_local_wait(progress, ConnectionEnd::LateForRoom, self.pool.allocate(head.content_length))
            .await;
        let mut body = body.ok_or(ConnectionEnd::Damaged)?;
        // What follows a whole answer does not make it a bad one; but nothing more is read from there.
        let has_trailing_bytes = body.copy_from(&buffer[used..n]) < n - used;
        while !body.is_full() {
            let got = connection.stream.read(body.unfilled()).await.map_err(|_| ConnectionEnd::Cut)?;
            if got == 0 {
                return Err(ConnectionEnd::Cut);
            }
            body.advance(got);
        }
        let end = match (head.status, head.declined) {
            (200, _) => ConnectionEnd::Whole,
            (304, _) if has_copy => ConnectionEnd::Current,
            // Guards a client without a copy from an answer without bytes.
            (304, _) => return Err(malformed("it confirms a copy that nobody has")),
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

    /// A connection kept from an earlier hop on which nothing has come since, its end included.
    fn take_idle(&self, id: &MemberId) -> Option<Connection> {
        let (mut idle, rested) = (self.idle.borrow_mut(), self.clock.now().saturating_sub(REUSE_DELAY));
        let all = idle.get_mut(id)?;
        while let Some(last) = all.iter().rposition(|k| k.idle_since <= rested) {
            let connection = all.remove(last).connection;
            let quiet = connection.stream.get_ref().peek(&mut [0]);
            if quiet.is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
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
            let permits = limits.acquire_connection(member, self.clock.now() + self.limits.connect_timeout);
            permit = self.track_local_wait(progress, ConnectionEnd::LateUnsent, permits).await;
            if permit.is_none() {
                self.counters.add("hops without a connection in common");
                return Err(ConnectionEnd::NoSocket);
            }
        }
        let limit = self.clock.now() + self.limits.connect_timeout;
        let guard = CountGuard::new(&self.counters.hop_connections);
        self.counters.add("hop connections opened");
        let connected = self.clock.timeout_at(limit, Async::<TcpStream>::connect(address)).await;
        let stream = connected.ok_or(ConnectionEnd::NoConnection)?.map_err(connect_error)?;
        stream.get_ref().set_nodelay(true).map_err(connect_error)?;
        Ok(Connection { stream, _guard: guard, _permit: permit })
    }

    /// Guards txns at the bound of descriptors against being told off at once by every cache in turn: a hop waits
    /// for one as it would for its connection.
    async fn wait_for_descriptor(&self) {
        while self.counters.hop_connections.get() >= self.limits.max_connections {
            self.close_oldest_idle();
            let connection_freed = self.connection_freed.listen();
            if self.counters.hop_connections.get() >= self.limits.max_connections {
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
    // EMFILE and ENFILE have no kind of their own.
    match (e.kind(), e.raw_os_error()) {
        (ErrorKind::AddrNotAvailable, _) | (_, Some(23 | 24)) => ConnectionEnd::NoSocket,
        _ => ConnectionEnd::Refused,
    }
}
