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
const MOST_BODY: usize = 240_000;
/// A connection rests this long before it carries another hop: what still follows an answer has come by then, and
/// is found before it could pass for the next one.
const REST: Span = Span::from_millis(20);

/// What a hop has come to: its end should its time be over now, and its waits for the gateway's own means.
struct Progress {
    late: Cell<ConnectionEnd>,
    own: Cell<Span>,
}

struct Link {
    stream: Async<TcpStream>,
    _held: CountGuard,
    _permit: Option<Box<dyn Permit>>,
}

struct Kept {
    link: Link,
    since: Time,
}

struct Place {
    address: SocketAddr,
    started: Option<Time>,
}

/// What the configuration sets to connections.
pub struct Bounds {
    pub connect: Span,
    /// Caches close idle ones after this time.
    pub idle: Span,
    /// Descriptors.
    pub most: usize,
}

pub struct Caches {
    clock: Clock,
    pool: Rc<Pool>,
    counters: Rc<Counters>,
    bounds: Bounds,
    places: RefCell<BTreeMap<MemberId, Place>>,
    kept: RefCell<BTreeMap<MemberId, Vec<Kept>>>,
    /// A hop has ended, so that its descriptor may be free.
    freed: Event,
    /// Bounds in common with other gateways, where there are any.
    common: OnceCell<Rc<dyn SharedLimits>>,
}

/// Tells of the end of a hop, also of one that is taken back.
struct Tells<'a>(&'a Event);

impl Drop for Tells<'_> {
    fn drop(&mut self) {
        // One more each time, also while another is still waking: two ends at once free two.
        self.0.notify_additional(1);
    }
}

impl Caches {
    pub fn new(clock: Clock, pool: Rc<Pool>, counters: Rc<Counters>, bounds: Bounds) -> Rc<Caches> {
        let (places, kept) = Default::default();
        Rc::new(Caches {
            clock,
            pool,
            counters,
            bounds,
            places,
            kept,
            freed: Event::new(),
            common: OnceCell::new(),
        })
    }

    /// Connections and fills need a permit from now on.
    pub fn bound_by(&self, common: Rc<dyn SharedLimits>) {
        // A second one has no place beside the first.
        _ = self.common.set(common);
    }

    /// Closes idle connections to some members: others want their places.
    pub fn close_idle(&self, of: impl Fn(&MemberId) -> bool) {
        self.kept.borrow_mut().retain(|id, _| !of(id));
    }

    /// Closes idle connections well before the caches would, lest one is closed just as it is used.
    pub fn sweep(self: &Rc<Self>, tasks: Tasks) {
        let caches = Rc::clone(self);
        let sweep = async move {
            loop {
                caches.clock.sleep(Span::from_millis(500)).await;
                let old = caches.clock.now().saturating_sub(caches.bounds.idle * 0.75);
                caches.kept.borrow_mut().values_mut().for_each(|all| all.retain(|k| k.since > old));
            }
        };
        tasks.spawn(sweep).detach();
    }

    /// News of the list; with `whole`, members that it does not name are gone. Gives those that are not what they were:
    /// gone, draining, started anew or elsewhere.
    pub fn members(&self, whole: bool, list: &[ListedMember]) -> BTreeSet<MemberId> {
        let (mut places, mut kept) = (self.places.borrow_mut(), self.kept.borrow_mut());
        let mut changed = BTreeSet::new();
        if whole {
            let named: BTreeSet<_> = list.iter().map(|l| &l.member.id).collect();
            changed.extend(places.keys().filter(|id| !named.contains(id)).cloned());
            places.retain(|id, _| named.contains(id));
        }
        for listed in list {
            let (m, address) = (&listed.member, listed.address);
            let before = places.get(&m.id);
            if before.is_some_and(|p| Some(p.address) != address || p.started != m.started) {
                kept.remove(&m.id);
                changed.insert(m.id.clone());
            }
            match address {
                // Hops that were ordered before may still be on their way to one that drains.
                Some(address) if m.state != MemberState::Gone => {
                    // An address is used again: connections to the one that had it before are not the new one's.
                    kept.retain(|id, _| *id == m.id || places.get(id).is_none_or(|p| p.address != address));
                    places.insert(m.id.clone(), Place { address, started: m.started });
                }
                _ => _ = places.remove(&m.id),
            }
            if m.state != MemberState::Up {
                kept.remove(&m.id);
                changed.insert(m.id.clone());
            }
        }
        kept.retain(|id, _| places.contains_key(id));
        changed
    }

    /// How much is kept, by name.
    pub fn sizes(&self) -> [(&'static str, usize); 2] {
        let idle = self.kept.borrow().values().map(Vec::len).sum();
        [("members with an address", self.places.borrow().len()), ("idle hop connections", idle)]
    }

    /// Runs one hop to its end, which comes by the job's time at the latest.
    pub async fn hop(&self, job: HopRequest) -> HopResult {
        let progress = Progress { late: Cell::new(ConnectionEnd::LateUnsent), own: Cell::default() };
        let _tells = Tells(&self.freed);
        let run = self.clock.by(job.deadline, self.run(&job, &progress));
        // Guards against a first byte at a time at which the hop may not be begun any more.
        let too_late = async {
            self.clock.sleep_until(job.start_by).await;
            if job.started.get() {
                future::pending::<()>().await;
            }
            Some(ConnectionEnd::Overtaken.into())
        };
        let ended = future::or(run, too_late).await;
        let mut ended = ended.unwrap_or_else(|| progress.late.get().into());
        (ended.at, ended.local_wait) = (Some(self.clock.now()), progress.own.get());
        self.counters.record_end(ended.end);
        ended
    }

    /// Guards members against being held to be slow for what the gateway itself lacks.
    async fn own<T>(&self, progress: &Progress, late: ConnectionEnd, wait: impl Future<Output = T>) -> T {
        let (before, since) = (progress.late.replace(late), self.clock.now());
        let got = wait.await;
        progress.late.set(before);
        progress.own.set(progress.own.get() + (self.clock.now() - since));
        got
    }

    async fn run(&self, job: &HopRequest, progress: &Progress) -> HopResult {
        let place = self.places.borrow().get(&job.member).map(|p| p.address);
        let Some(address) = place else { return ConnectionEnd::NoSocket.into() };
        let mut fill = None;
        if let Some(permit) = self.common.get().and_then(|common| common.acquire_fill(job)) {
            fill = self.own(progress, ConnectionEnd::LateUnsent, permit).await;
            if fill.is_none() {
                self.counters.add("hops without a fill in common");
                return ConnectionEnd::NoSocket.into();
            }
        }
        let ended = self.talk(job, address, progress).await;
        if let Some(fill) = fill.as_mut().filter(|_| ended.end == ConnectionEnd::Whole) {
            fill.complete();
        }
        ended
    }

    async fn talk(&self, job: &HopRequest, address: SocketAddr, progress: &Progress) -> HopResult {
        let (mut link, again) = match self.take_idle(&job.member) {
            Some(link) => (link, true),
            None => match self.connect(&job.member, address, progress).await {
                Ok(link) => (link, false),
                Err(end) => return end.into(),
            },
        };
        let host = address.to_string();
        let request = http::Request {
            rule: &job.rule,
            object: &job.request.object_name,
            part: job.request.part,
            trace: &job.request.request_id,
            host: &host,
            patience: job.deadline - self.clock.now(),
            fill: job.fill.as_ref(),
            have: job.request.client_etag.as_deref().filter(|_| !job.write),
            mark: job.request.idempotency_key.as_deref(),
            body: job.write.then_some(job.request.body.len()),
        };
        let mut bytes = request.encode();
        if job.write {
            bytes.extend_from_slice(&job.request.body);
        }
        job.started.set(true);
        if link.stream.write_all(&bytes).await.is_err() {
            return if again { ConnectionEnd::KeptClosed } else { ConnectionEnd::CutUnsent }.into();
        }
        progress.late.set(ConnectionEnd::Late);
        match self.answer(&mut link, request.have.is_some(), progress).await {
            Ok((ended, keep)) => {
                if keep && ended.end.leaves_connection_usable() {
                    self.keep(&job.member, address, link);
                }
                ended
            }
            Err(end) => end.into(),
        }
    }

    /// Reads one answer; tells whether the connection can be used again.
    async fn answer(
        &self,
        link: &mut Link,
        has_copy: bool,
        progress: &Progress,
    ) -> Result<(HopResult, bool), ConnectionEnd> {
        let damaged = |what: &str| {
            log::debug!("a cache's answer can't be used: {what}");
            ConnectionEnd::Damaged
        };
        let mut bytes = [0; http::MOST_HEAD];
        let mut n = 0;
        let (head, used) = loop {
            let got = link.stream.read(&mut bytes[n..]).await.map_err(|_| ConnectionEnd::Cut)?;
            if got == 0 {
                return Err(ConnectionEnd::Cut);
            }
            n += got;
            if let Some(found) = http::head(&bytes[..n]).map_err(|d| damaged(d.0))? {
                break found;
            }
        };
        if head.length > MOST_BODY {
            return Err(damaged("too large"));
        }
        let room = self.own(progress, ConnectionEnd::LateForRoom, self.pool.body(head.length)).await;
        let mut body = room.ok_or(ConnectionEnd::Damaged)?;
        // What follows a whole answer does not make it a bad one; but nothing more is read from there.
        let more = body.fill(&bytes[used..n]) < n - used;
        while !body.is_full() {
            let got = link.stream.read(body.space()).await.map_err(|_| ConnectionEnd::Cut)?;
            if got == 0 {
                return Err(ConnectionEnd::Cut);
            }
            body.advance(got);
        }
        let end = match (head.status, head.declined) {
            (200, _) => ConnectionEnd::Whole,
            (304, _) if has_copy => ConnectionEnd::Current,
            // Guards a client without a copy from an answer without bytes.
            (304, _) => return Err(damaged("it confirms a copy that nobody has")),
            (404, _) => ConnectionEnd::Lacking,
            (503, true) => ConnectionEnd::Full,
            (504, true) => ConnectionEnd::Over,
            _ => ConnectionEnd::Errored,
        };
        let body = (end == ConnectionEnd::Whole).then_some(body);
        let ended =
            HopResult { cache_status: head.note, waited: head.waited, stats: head.stats, body, ..end.into() };
        Ok((ended, !head.close && !more))
    }

    /// A connection kept from an earlier hop on which nothing has come since, its end included.
    fn take_idle(&self, id: &MemberId) -> Option<Link> {
        let (mut kept, rested) = (self.kept.borrow_mut(), self.clock.now().saturating_sub(REST));
        let all = kept.get_mut(id)?;
        while let Some(last) = all.iter().rposition(|k| k.since <= rested) {
            let link = all.remove(last).link;
            let quiet = link.stream.get_ref().peek(&mut [0]);
            if quiet.is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                return Some(link);
            }
            self.counters.add("kept connections found closed");
        }
        None
    }

    fn keep(&self, id: &MemberId, address: SocketAddr, link: Link) {
        if self.places.borrow().get(id).is_some_and(|p| p.address == address) {
            let since = self.clock.now();
            self.kept.borrow_mut().entry(id.clone()).or_default().push(Kept { link, since });
        }
    }

    async fn connect(
        &self,
        member: &MemberId,
        address: SocketAddr,
        progress: &Progress,
    ) -> Result<Link, ConnectionEnd> {
        let room = self.clock.within(self.bounds.connect, self.room());
        self.own(progress, ConnectionEnd::LateUnsent, room).await.ok_or(ConnectionEnd::NoSocket)?;
        let mut permit = None;
        if let Some(common) = self.common.get() {
            let permits = common.acquire_connection(member, self.clock.now() + self.bounds.connect);
            permit = self.own(progress, ConnectionEnd::LateUnsent, permits).await;
            if permit.is_none() {
                self.counters.add("hops without a connection in common");
                return Err(ConnectionEnd::NoSocket);
            }
        }
        let limit = self.clock.now() + self.bounds.connect;
        let held = CountGuard::new(&self.counters.hops);
        self.counters.add("hop connections opened");
        let connected = self.clock.by(limit, Async::<TcpStream>::connect(address)).await;
        let stream = connected.ok_or(ConnectionEnd::NoConnection)?.map_err(refusal)?;
        stream.get_ref().set_nodelay(true).map_err(refusal)?;
        Ok(Link { stream, _held: held, _permit: permit })
    }

    /// Guards txns at the bound of descriptors against being told off at once by every cache in turn: a hop waits
    /// for one as it would for its connection.
    async fn room(&self) {
        while self.counters.hops.get() >= self.bounds.most {
            self.drop_oldest();
            let freed = self.freed.listen();
            if self.counters.hops.get() >= self.bounds.most {
                freed.await;
            }
        }
    }

    fn drop_oldest(&self) {
        let mut kept = self.kept.borrow_mut();
        let oldest = kept.values_mut().filter(|all| !all.is_empty()).min_by_key(|all| all[0].since);
        if let Some(all) = oldest {
            all.remove(0);
        }
    }
}

fn refusal(e: io::Error) -> ConnectionEnd {
    // EMFILE and ENFILE have no kind of their own.
    match (e.kind(), e.raw_os_error()) {
        (ErrorKind::AddrNotAvailable, _) | (_, Some(23 | 24)) => ConnectionEnd::NoSocket,
        _ => ConnectionEnd::Refused,
    }
}
