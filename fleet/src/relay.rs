//! Relays the list of caches from discovery to every gateway while only a few gateways subscribe to discovery.
//!
//! Invariants: no event is passed on after a gap in versions, and old data never passes for fresh, since ages only
//! grow from hop to hop.
//!
//! Members are in one order by rendezvous hashing. The first `askers` members subscribe to discovery. Every other
//! member has three upstreams: the first one is about `children` times nearer to the front, so that the depth grows
//! with the logarithm of the number of members, and sends events; the two others send heartbeats only, whose versions
//! and digests reveal events that the first one withholds or invents. Every probe carries version, digest and age as
//! well, so that each gateway compares its list with one other member per second.

use crate::list::List;
use crate::members::{Members, Name};
use crate::rank;
use crate::settings;
use crate::wire::{Chunk, Fetch, Heartbeat, MemberState, Payload, Subscribe};
use kelpcart::{Span, Time};
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One upstream sends events, the others heartbeats only: with any two of them gone at once the third one still
/// reports new versions.
const UPSTREAMS: usize = 3;
/// Subscribers get a heartbeat this often when there is nothing new.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(300);
/// A heartbeat with a new version is repeated after these delays, since datagrams get lost.
const RESEND_DELAYS: [Span; 2] = [Span::from_millis(60), Span::from_millis(200)];
/// An upstream that is silent for this long is dropped.
const UPSTREAM_TIMEOUT: Span = Span::from_millis(1_000);
/// For this long after it fell silent, an upstream does not count among the members ahead in the order.
const SILENT_RETENTION: Span = Span::from_millis(10_000);
/// Subscriptions are renewed this often and expire after `SUBSCRIPTION_TTL`.
const SUBSCRIBE_INTERVAL: Span = Span::from_millis(1_000);
const SUBSCRIPTION_TTL: Span = Span::from_millis(3_500);
/// A new upstream has to send its first heartbeat within this time.
const FIRST_HEARTBEAT_TIMEOUT: Span = Span::from_millis(300);
/// Events up to this size are sent within the heartbeat's datagram.
const MAX_INLINE_BYTES: usize = 1_000;
const CHUNK_BYTES: usize = 1_000;
const CHUNK_WINDOW: u32 = 24;
const FETCH_RETRY: Span = Span::from_millis(80);
const MAX_FETCH_TRIES: u32 = 6;
/// Delay before events are fetched: the first upstream may already be sending them.
const FETCH_DELAY: Span = Span::from_millis(20);
/// How long a member is avoided as an upstream after it failed or refused the subscription.
const AVOID_FAILED: Span = Span::from_millis(5_000);
/// How long it is avoided after it sent inconsistent data.
const AVOID_INCONSISTENT: Span = Span::from_millis(30_000);
/// No member may have joined for this long before one of the first members connects to discovery.
const SETTLE_TIME: Span = Span::from_millis(400);
/// After this time it connects even if members are still joining.
const SETTLE_DEADLINE: Span = Span::from_millis(4_000);
/// A gateway that has reached no other one for this long connects to discovery by itself.
const ISOLATED_AFTER: Span = Span::from_millis(2_000);
/// An upstream at the wrong position in the order is replaced, at most one in this time.
const REBALANCE_INTERVAL: Span = Span::from_millis(2_000);
/// While the first members bring no fresh list, groups of gateways take turns of this length at discovery.
const TURN_DURATION: Span = Span::from_millis(2_000);
/// A gateway that need not be connected to discovery any more stays connected for this long.
const YIELD_AFTER: Span = Span::from_millis(2_000);
const MAX_VOTES: usize = 32;
const VOTE_LIFETIME: Span = Span::from_millis(10_000);
const MAX_AVOIDED: usize = 64;
/// Age of a list that was never confirmed as current.
const UNKNOWN_AGE: u64 = u64::MAX;

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(Name, Vec<Payload>),
    /// An event for the host, a line of JSON.
    Event(Vec<u8>),
}

#[derive(Clone, Debug)]
struct Upstream {
    name: Name,
    subscribed_at: Time,
    /// When its last heartbeat arrived.
    heard_at: Option<Time>,
    since: Time,
    heartbeat: Option<Heartbeat>,
}

#[derive(Clone, Debug)]
struct Subscriber {
    heartbeats_only: bool,
    expires_at: Time,
    sent_version: u64,
    resend: Option<(usize, Time)>,
}

#[derive(Clone, Debug)]
struct FetchState {
    from: Name,
    after: u64,
    snapshot: bool,
    /// The local list is inconsistent: the fetched snapshot replaces it, whatever its version.
    repair: bool,
    to: u64,
    digest: u64,
    total: u32,
    received: BTreeMap<u32, Vec<u8>>,
    requested_at: Time,
    tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiscoveryLink {
    Closed,
    /// The host was asked to connect.
    Connecting,
    Open,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub discovery_attempts: u64,
    pub events_from_discovery: u64,
    pub events_from_members: u64,
    pub snapshots_fetched: u64,
    pub fetches_failed: u64,
    pub upstreams_dropped: u64,
    pub disputes: u64,
    pub inconsistencies: u64,
    pub turns: u64,
}

pub struct Relay {
    config: settings::Relays,
    /// The list comes by the feed; the relay does nothing.
    disabled: bool,
    expected: usize,
    /// Whether this gateway is among the first `askers` seeds.
    is_seed: bool,
    pub list: List,
    started_at: Time,
    /// When discovery had nothing newer than the local list.
    fresh_at: Option<Time>,
    depth: u32,
    discovery: DiscoveryLink,
    next_attempt: Time,
    /// Connection attempts that its share of the fleet's rate allows, and as of when.
    tokens: (f64, Time),
    last_backoff: Span,
    /// Since when it need not be connected to discovery.
    spare_since: Option<Time>,
    upstreams: [Option<Upstream>; UPSTREAMS],
    avoided: BTreeMap<Name, Time>,
    /// Upstreams that fell silent, and when. The members behind them connect to discovery in their place before they
    /// are declared dead.
    silent: BTreeMap<Name, Time>,
    subscribers: BTreeMap<Name, Subscriber>,
    next_heartbeat: Time,
    fetch: Option<FetchState>,
    /// A newer version, the member that reported it, and when it is to be fetched.
    pending: Option<(u64, Name, Time)>,
    votes: BTreeMap<Name, (Time, bool)>,
    next_rebalance: Time,
    ranked_version: u64,
    rank: usize,
    order: Vec<Name>,
    rng: Pcg64Mcg,
    pub warm: bool,
    pub counts: Counts,
    pub outbox: VecDeque<Output>,
}

impl Relay {
    pub fn new(file: &settings::Fleet, list: List, seed: u64, now: Time) -> Relay {
        let config = file.relays.clone();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let jitter: f64 = rng.random();
        Relay {
            disabled: file.feed.is_some(),
            expected: file.members.expected,
            is_seed: file.seeds.iter().take(config.askers).any(|s| *s == file.advertised_address()),
            list,
            started_at: now,
            fresh_at: None,
            depth: 0,
            discovery: DiscoveryLink::Closed,
            next_attempt: now,
            tokens: (jitter, now),
            last_backoff: Span::ZERO,
            spare_since: None,
            upstreams: [const { None }; UPSTREAMS],
            avoided: BTreeMap::new(),
            silent: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            next_heartbeat: now + HEARTBEAT_INTERVAL * jitter,
            fetch: None,
            pending: None,
            votes: BTreeMap::new(),
            next_rebalance: now,
            ranked_version: u64::MAX,
            rank: 0,
            order: Vec::new(),
            rng,
            warm: false,
            counts: Counts::default(),
            outbox: VecDeque::new(),
            config,
        }
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = vec![
            ("fleet followers", self.subscribers.len()),
            ("fleet sources avoided", self.avoided.len()),
            ("fleet sources silent", self.silent.len()),
            ("fleet votes", self.votes.len()),
            ("fleet depth", self.depth as usize),
        ];
        all.extend(self.list.sizes());
        all
    }

    /// The age of the list; `None` if no version was ever confirmed.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.fresh_at.map(|at| now - at)
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age <= Span::from_millis(self.config.stale_ms))
    }

    /// Whether a complete list was received from any source.
    pub fn has_list(&self) -> bool {
        self.disabled || !self.list.is_empty()
    }

    pub fn is_disabled(&self) -> bool {
        self.disabled
    }

    pub fn heartbeat(&self, now: Time) -> Heartbeat {
        Heartbeat {
            version: self.list.version(),
            digest: self.list.digest(),
            age_us: self.age(now).map_or(UNKNOWN_AGE, Span::as_micros),
            depth: self.depth,
            after: 0,
            lines: Vec::new(),
            warm: self.warm,
        }
    }

    // Discovery.

    /// The host keeps a connection to discovery while this is true.
    pub fn wants_discovery(&self) -> bool {
        self.discovery != DiscoveryLink::Closed
    }

    /// The connection to discovery has ended or could not be established.
    pub fn discovery_closed(&mut self, now: Time) {
        self.discovery = DiscoveryLink::Closed;
        // Decorrelated jitter, with a minimum that keeps to the fleet's connection rate.
        let share = f64::from(2 * self.config.askers as u32) / self.config.connections_per_s;
        let max_s = (share * 4.0).max(2.0);
        let min_s = share.min(max_s);
        let upper = (self.last_backoff.as_secs_f64() * 3.0).clamp(min_s + 0.01, max_s + 0.02);
        self.last_backoff = Span::from_secs_f64(self.rng.random_range(min_s..upper));
        self.next_attempt = now + self.last_backoff;
    }

    /// An event as discovery wrote it.
    pub fn discovery_event(&mut self, now: Time, line: &[u8]) -> Result<(), crate::list::ListError> {
        self.discovery = DiscoveryLink::Open;
        if self.list.apply(now, line)? {
            self.counts.events_from_discovery += 1;
            self.outbox.push_back(Output::Event(line.trim_ascii().to_vec()));
        }
        Ok(())
    }

    /// Discovery's latest version. Returns `false` if it is newer than the events that were received.
    pub fn discovery_version(&mut self, now: Time, version: u64) -> bool {
        (self.discovery, self.last_backoff) = (DiscoveryLink::Open, Span::ZERO);
        if version > self.list.version() {
            return false;
        }
        if version == self.list.version() {
            (self.fresh_at, self.depth) = (Some(now), 0);
        }
        true
    }

    /// Sends new events to subscribers at once.
    pub fn forward(&mut self, now: Time) {
        let version = self.list.version();
        let behind: Vec<Name> = self
            .subscribers
            .iter()
            .filter(|(_, f)| f.sent_version < version)
            .map(|(n, _)| n.clone())
            .collect();
        for name in behind {
            self.send_heartbeat(now, &name, true);
        }
    }

    fn send_heartbeat(&mut self, now: Time, name: &Name, fresh: bool) {
        let mut heartbeat = self.heartbeat(now);
        let Some(subscriber) = self.subscribers.get_mut(name) else { return };
        if fresh {
            if !subscriber.heartbeats_only
                && let Some(lines) = self
                    .list
                    .lines(subscriber.sent_version, heartbeat.version)
                    .filter(|l| l.len() <= MAX_INLINE_BYTES)
            {
                (heartbeat.after, heartbeat.lines) = (subscriber.sent_version, lines);
            }
            subscriber.sent_version = heartbeat.version;
            subscriber.resend = Some((0, now + RESEND_DELAYS[0]));
        }
        self.outbox.push_back(Output::Send(name.clone(), vec![Payload::Heartbeat(heartbeat)]));
    }

    // Messages of members.

    pub fn handle(&mut self, now: Time, from: &Name, payload: &Payload) {
        if self.disabled {
            return;
        }
        self.silent.remove(from);
        match payload {
            Payload::Subscribe(request) => self.handle_subscribe(now, from, request),
            Payload::SubscriptionRefused(_) if self.upstreams.iter().flatten().any(|s| s.name == *from) => {
                self.drop_upstream(now, from, AVOID_FAILED);
            }
            Payload::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, heartbeat),
            Payload::Fetch(fetch) => self.handle_fetch(now, from, fetch),
            Payload::Chunk(chunk) => self.handle_chunk(now, from, chunk),
            _ => {}
        }
    }

    fn handle_subscribe(&mut self, now: Time, from: &Name, request: &Subscribe) {
        if request.unsubscribe {
            self.subscribers.remove(from);
            return;
        }
        // Each member has one upstream for events and two for heartbeats only, so more subscriptions of the latter
        // kind are accepted.
        let max = self.config.children * if request.heartbeats_only { 2 * UPSTREAMS } else { 2 };
        let count =
            self.subscribers.values().filter(|f| f.heartbeats_only == request.heartbeats_only).count();
        let renewal =
            self.subscribers.get(from).is_some_and(|f| f.heartbeats_only == request.heartbeats_only);
        if !renewal && count >= max {
            self.outbox.push_back(Output::Send(from.clone(), vec![Payload::SubscriptionRefused(true)]));
            return;
        }
        let expires_at = now + SUBSCRIPTION_TTL;
        let sent_version = self.list.version();
        if renewal {
            if let Some(subscriber) = self.subscribers.get_mut(from) {
                subscriber.expires_at = expires_at;
            }
        } else {
            self.subscribers.insert(
                from.clone(),
                Subscriber {
                    heartbeats_only: request.heartbeats_only,
                    expires_at,
                    sent_version,
                    resend: None,
                },
            );
            self.send_heartbeat(now, from, false);
        }
    }

    /// Compares the digest of the local list with that of another member at the same version.
    fn compare_digests(&mut self, now: Time, from: &Name, heartbeat: &Heartbeat) {
        let Some(own) = self.list.digest_at(heartbeat.version).filter(|d| *d != 0 && heartbeat.digest != 0)
        else {
            return;
        };
        let same = own == heartbeat.digest;
        let disputed = self.votes.values().any(|(at, same)| !same && now - *at < VOTE_LIFETIME);
        self.votes.insert(from.clone(), (now, same));
        if self.votes.len() > MAX_VOTES {
            let oldest = self.votes.iter().min_by_key(|(_, (at, _))| *at).map(|(n, _)| n.clone());
            oldest.map(|n| self.votes.remove(&n));
        }
        if same {
            return;
        }
        if !disputed {
            self.counts.disputes += 1;
            // Asks other members for their heartbeats at once, to decide between the two lists.
            let others = self.order.iter().filter(|n| *n != from).cloned();
            for name in others.choose_multiple(&mut self.rng, 4) {
                let request =
                    Fetch { after: self.list.version(), snapshot: false, to: 0, chunks: Vec::new() };
                self.outbox.push_back(Output::Send(name, vec![Payload::Fetch(request)]));
            }
        }
        let recent = |same: bool| {
            let matches = move |(at, s): &(Time, bool)| *s == same && now - *at < VOTE_LIFETIME;
            self.votes.iter().filter(move |(_, v)| matches(v)).map(|(n, _)| n.clone())
        };
        let (agreeing, dissenting): (Vec<Name>, Vec<Name>) =
            (recent(true).collect(), recent(false).collect());
        let repairing = self.fetch.as_ref().is_some_and(|f| f.repair);
        if dissenting.len() >= 2 && dissenting.len() > agreeing.len() && !repairing {
            // Most others have a different list: the local one is wrong, and the upstreams that agree with it are
            // dropped.
            self.counts.inconsistencies += 1;
            let upstreams: Vec<Name> = self.upstreams.iter().flatten().map(|s| s.name.clone()).collect();
            for name in upstreams.iter().filter(|n| agreeing.contains(n)) {
                self.drop_upstream(now, name, AVOID_INCONSISTENT);
            }
            self.votes.clear();
            if let Some(from) = dissenting.choose(&mut self.rng).cloned() {
                self.start_fetch(now, &from, 0, true);
            }
        }
    }

    fn handle_heartbeat(&mut self, now: Time, from: &Name, heartbeat: &Heartbeat) {
        let at = self.upstreams.iter().position(|s| s.as_ref().is_some_and(|s| s.name == *from));
        if let Some(upstream) = at.and_then(|i| self.upstreams[i].as_mut()) {
            upstream.heard_at = Some(now);
            upstream.heartbeat = Some(Heartbeat { lines: Vec::new(), ..heartbeat.clone() });
        }
        self.warm |= heartbeat.warm && at.is_some();
        if heartbeat.version > self.list.version()
            && at == Some(0)
            && !heartbeat.lines.is_empty()
            && heartbeat.after <= self.list.version()
        {
            self.apply_events(now, from, &heartbeat.lines, heartbeat.version, heartbeat.digest);
        }
        self.evaluate_heartbeat(now, from, heartbeat);
    }

    /// Evaluates version, digest and age of another member's list, whether from a heartbeat or from a probe.
    pub fn evaluate_heartbeat(&mut self, now: Time, from: &Name, heartbeat: &Heartbeat) {
        if self.disabled {
            return;
        }
        self.compare_digests(now, from, heartbeat);
        let version = self.list.version();
        if heartbeat.version > version && heartbeat.age_us != UNKNOWN_AGE && !self.is_avoided(now, from) {
            let first = self.upstreams[0].as_ref().is_some_and(|s| s.name == *from);
            let wait = if first || self.fetch.is_none() && version == 0 { Span::ZERO } else { FETCH_DELAY };
            if self.pending.as_ref().is_none_or(|(n, _, _)| *n < heartbeat.version) {
                let at = self.pending.as_ref().map_or(now + wait, |(_, _, at)| *at);
                self.pending = Some((heartbeat.version, from.clone(), at));
            }
        }
        if heartbeat.version == version
            && heartbeat.age_us != UNKNOWN_AGE
            && (heartbeat.digest == self.list.digest() || version == 0)
        {
            let at = now.saturating_sub(Span::from_micros(heartbeat.age_us));
            let is_upstream = self.upstreams.iter().flatten().any(|s| s.name == *from);
            if is_upstream && self.fresh_at.is_none_or(|fresh_at| at > fresh_at) {
                self.fresh_at = Some(at);
                if self.discovery != DiscoveryLink::Open {
                    self.depth = heartbeat.depth.saturating_add(1).min(64);
                }
            }
        }
    }

    fn is_avoided(&self, now: Time, name: &Name) -> bool {
        self.avoided.get(name).is_some_and(|until| *until > now)
    }

    fn drop_upstream(&mut self, now: Time, name: &Name, span: Span) {
        for upstream in &mut self.upstreams {
            if upstream.as_ref().is_some_and(|s| s.name == *name) {
                *upstream = None;
                self.counts.upstreams_dropped += 1;
                let unsubscribe = Subscribe { heartbeats_only: false, unsubscribe: true };
                self.outbox.push_back(Output::Send(name.clone(), vec![Payload::Subscribe(unsubscribe)]));
            }
        }
        self.avoided.insert(name.clone(), now + span);
        if self.avoided.len() > MAX_AVOIDED {
            let first = self.avoided.iter().min_by_key(|(_, until)| **until).map(|(n, _)| n.clone());
            first.map(|n| self.avoided.remove(&n));
        }
        if self.fetch.as_ref().is_some_and(|f| f.from == *name) {
            self.fetch = None;
        }
        if self.pending.as_ref().is_some_and(|(_, from, _)| from == name) {
            self.pending = None;
        }
    }

    /// Applies events in order. If one does not fit, its sender is dropped.
    fn apply_events(&mut self, now: Time, from: &Name, lines: &[u8], to: u64, digest: u64) {
        for line in lines.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
            match self.list.apply(now, line) {
                Ok(true) => {
                    self.counts.events_from_members += 1;
                    self.outbox.push_back(Output::Event(line.to_vec()));
                }
                Ok(false) => {}
                Err(_) => {
                    self.counts.inconsistencies += 1;
                    return self.drop_upstream(now, from, AVOID_INCONSISTENT);
                }
            }
        }
        let fits = self.list.digest_at(to).is_none_or(|own| own == digest || digest == 0 || own == 0);
        if self.list.version() < to || !fits {
            // The events do not lead to the announced version and digest.
            self.counts.inconsistencies += 1;
            self.drop_upstream(now, from, AVOID_INCONSISTENT);
            if !fits {
                self.repair(now, from);
            }
        }
        if self.pending.as_ref().is_some_and(|(version, _, _)| *version <= self.list.version()) {
            self.pending = None;
        }
    }

    /// Fetches a snapshot from a member other than `not`.
    fn repair(&mut self, now: Time, not: &Name) {
        let eligible = |n: &&Name| *n != not && !self.is_avoided(now, n);
        let others: Vec<Name> = self.order.iter().filter(eligible).cloned().collect();
        if let Some(from) = others.choose(&mut self.rng) {
            self.start_fetch(now, from, 0, true);
        }
    }

    // Fetching.

    fn start_fetch(&mut self, now: Time, from: &Name, after: u64, snapshot: bool) {
        let received = BTreeMap::new();
        let (to, digest, total, tries) = (0, 0, 0, 0);
        let repair = snapshot;
        let from = from.clone();
        self.fetch = Some(FetchState {
            from,
            after,
            snapshot,
            repair,
            to,
            digest,
            total,
            received,
            requested_at: now,
            tries,
        });
        self.request_chunks();
    }

    fn request_chunks(&mut self) {
        let Some(f) = &self.fetch else { return };
        let total = if f.total == 0 { CHUNK_WINDOW } else { f.total };
        let chunks = (0..total).filter(|i| !f.received.contains_key(i)).take(CHUNK_WINDOW as usize).collect();
        let request = Fetch { after: f.after, snapshot: f.snapshot, to: f.to, chunks };
        self.outbox.push_back(Output::Send(f.from.clone(), vec![Payload::Fetch(request)]));
    }

    fn handle_fetch(&mut self, now: Time, from: &Name, fetch: &Fetch) {
        if fetch.chunks.is_empty() {
            let heartbeat = self.heartbeat(now);
            self.outbox.push_back(Output::Send(from.clone(), vec![Payload::Heartbeat(heartbeat)]));
            return;
        }
        let to = if fetch.to == 0 { self.list.version() } else { fetch.to };
        let events = if fetch.snapshot { None } else { self.list.lines(fetch.after, to) };
        let (after, snapshot, to, bytes) = match events {
            Some(lines) => (fetch.after, false, to, lines),
            None => {
                let Some((to, bytes)) = self.list.snapshot(now, fetch.to) else { return };
                (0, true, to, bytes.to_vec())
            }
        };
        // The digest of an older version may not be kept any more; 0 is not compared.
        let digest = self.list.digest_at(to).unwrap_or(0);
        let total = bytes.len().div_ceil(CHUNK_BYTES).max(1) as u32;
        for &index in fetch.chunks.iter().filter(|i| **i < total) {
            let at = index as usize * CHUNK_BYTES;
            let part = bytes[at..(at + CHUNK_BYTES).min(bytes.len())].to_vec();
            let chunk = Chunk { after, snapshot, to, digest, index, total, bytes: part };
            self.outbox.push_back(Output::Send(from.clone(), vec![Payload::Chunk(chunk)]));
        }
    }

    fn handle_chunk(&mut self, now: Time, from: &Name, chunk: &Chunk) {
        let max_bytes = self.config.most_kb * 1024;
        let Some(f) = self.fetch.as_mut().filter(|f| f.from == *from) else { return };
        if chunk.total as usize * CHUNK_BYTES > max_bytes + CHUNK_BYTES {
            self.counts.fetches_failed += 1;
            return self.drop_upstream(now, from, AVOID_INCONSISTENT);
        }
        let header = (chunk.after, chunk.snapshot, chunk.to, chunk.digest, chunk.total);
        if f.total == 0 || (f.after, f.snapshot, f.to, f.digest, f.total) != header {
            (f.after, f.snapshot, f.to, f.digest, f.total) = header;
            f.received.clear();
        }
        let fresh = f.received.insert(chunk.index, chunk.bytes.clone()).is_none();
        if fresh {
            (f.requested_at, f.tries) = (now, 0);
        }
        if f.received.len() < f.total as usize {
            if fresh && (f.received.len() as u32).is_multiple_of(CHUNK_WINDOW) {
                self.request_chunks();
            }
            return;
        }
        let Some(f) = self.fetch.take() else { return };
        let text: Vec<u8> = f.received.into_values().flatten().collect();
        if !f.snapshot {
            return self.apply_events(now, from, &text, f.to, f.digest);
        }
        if f.to < self.list.version() && !f.repair {
            // Older than the local list by now, and the local list is not in doubt.
            return;
        }
        match self.list.replace(now, &text, f.to, f.digest) {
            Ok(lines) => {
                self.counts.snapshots_fetched += 1;
                self.outbox.extend(lines.into_iter().map(Output::Event));
                self.votes.clear();
                if self.pending.as_ref().is_some_and(|(version, _, _)| *version <= self.list.version()) {
                    self.pending = None;
                }
                if self.discovery == DiscoveryLink::Open {
                    // Reconnects, so that discovery continues from this version.
                    self.discovery = DiscoveryLink::Closed;
                }
            }
            Err(_) => {
                self.counts.fetches_failed += 1;
                self.drop_upstream(now, from, AVOID_INCONSISTENT);
            }
        }
    }

    // Timers.

    pub fn next_wake(&self, now: Time) -> Time {
        let mut at = now + Span::from_millis(100);
        if !self.subscribers.is_empty() {
            at = at.min(self.next_heartbeat);
        }
        let resends = self.subscribers.values().filter_map(|f| f.resend.map(|a| a.1));
        at = resends.fold(at, Time::min);
        if let Some((_, _, due)) = self.pending.as_ref().filter(|_| self.fetch.is_none()) {
            at = at.min(*due);
        }
        if let Some(fetch) = &self.fetch {
            at = at.min(fetch.requested_at + FETCH_RETRY);
        }
        at.max(now)
    }

    pub fn tick(&mut self, now: Time, members: &Members) {
        if self.disabled {
            return;
        }
        if self.ranked_version != members.version {
            self.update_rank(members);
        }
        if !self.config.on {
            self.connect_if(now, true, 1.0);
            return;
        }
        self.decide_discovery(now, members);
        self.tick_upstreams(now, members);
        self.tick_fetch(now, members);
        self.tick_subscribers(now);
        self.avoided.retain(|_, until| *until > now);
        self.silent.retain(|_, at| now - *at < SILENT_RETENTION);
    }

    fn update_rank(&mut self, members: &Members) {
        self.ranked_version = members.version;
        let mut all: Vec<(u64, Name)> =
            members.others().map(|(n, _)| (rank::score(n, rank::CONTACT_ORDER), n.clone())).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        self.order = all.into_iter().map(|(_, n)| n).collect();
        self.rank = rank::rank_of(self.order.iter().map(|n| &**n), &members.name, rank::CONTACT_ORDER);
    }

    pub fn rank(&self) -> usize {
        self.rank
    }

    fn decide_discovery(&mut self, now: Time, members: &Members) {
        let (askers, n) = (self.config.askers, members.live());
        let since = now - self.started_at;
        if self.is_seed && !self.has_list() && since < SETTLE_DEADLINE {
            // The seeds are known to all gateways from the start, so they fetch the first list.
            return self.connect_if(now, true, 0.5 / askers as f64);
        }
        if !members.joined() {
            // Its share of the fleet's connection rate.
            let share = 1.0 / self.expected.max(members.recent_names().count()).max(1) as f64;
            let jitter = f64::from(members.name.len() as u32 % 8) / 8.0;
            return self.connect_if(now, since > ISOLATED_AFTER * (1.0 + jitter), share);
        }
        // With most of the expected members present, the order is nearly final.
        let complete = n * 5 >= self.expected * 4;
        // A gateway with a fresh list connects only once the order is certain.
        let settled =
            if self.is_fresh(now) { false } else { complete || now - members.last_growth >= SETTLE_TIME };
        let settled = settled || since >= SETTLE_DEADLINE;
        let is_silent = |n: &&Name| self.silent.get(*n).is_some_and(|at| now - *at < SILENT_RETENTION);
        let ahead = self.rank.min(self.order.len());
        let silent = self.order[..ahead].iter().filter(is_silent).count();
        let first = self.rank - silent.min(self.rank) < askers;
        if first {
            self.spare_since = None;
            return self.connect_if(now, settled, 0.5 / askers as f64);
        }
        let age = match self.age(now) {
            Some(age) => age,
            None => since,
        };
        let limit = Span::from_millis(self.config.stale_ms);
        if age > limit {
            self.spare_since = None;
            let (groups, turn) = (
                n.div_ceil(askers),
                ((age.as_micros() - limit.as_micros()) / TURN_DURATION.as_micros()) as usize,
            );
            let our_turn = groups > 1 && self.rank / askers == 1 + turn % (groups - 1).max(1);
            if our_turn && self.discovery == DiscoveryLink::Closed {
                self.counts.turns += 1;
            }
            if our_turn || self.discovery == DiscoveryLink::Open {
                self.connect_if(now, settled, 0.5 / askers as f64);
            } else {
                self.discovery = DiscoveryLink::Closed;
            }
            return;
        }
        if self.discovery != DiscoveryLink::Closed {
            // Upstreams deliver a fresh list: the connection is closed once they have done so for a while.
            let fresh_upstream = self.upstreams.iter().flatten().any(|s| {
                s.heartbeat
                    .as_ref()
                    .is_some_and(|p| p.age_us < limit.as_micros() && p.version >= self.list.version())
            });
            let spare_since = *self.spare_since.get_or_insert(now);
            if !fresh_upstream {
                self.spare_since = Some(now);
            } else if now - spare_since > YIELD_AFTER {
                self.discovery = DiscoveryLink::Closed;
            }
        }
    }

    fn connect_if(&mut self, now: Time, allowed: bool, share: f64) {
        if !allowed {
            return;
        }
        // The bucket holds one attempt at most; the first members need no token for their first attempt.
        let rate = self.config.connections_per_s * share;
        self.tokens.0 = (self.tokens.0 + (now - self.tokens.1).as_secs_f64() * rate).min(1.0);
        self.tokens.1 = now;
        if self.discovery == DiscoveryLink::Closed && now >= self.next_attempt {
            let first = self.is_seed || self.rank < self.config.askers && !self.order.is_empty();
            let initial = self.counts.discovery_attempts == 0 && first;
            if !self.config.on || initial || self.tokens.0 >= 1.0 {
                self.tokens.0 = (self.tokens.0 - 1.0).max(0.0);
                self.counts.discovery_attempts += 1;
                self.discovery = DiscoveryLink::Connecting;
            }
        }
    }

    /// Possible upstreams: members about `children` times nearer to the front or, if those are gone, any nearer one.
    fn upstream_candidates(&self, now: Time, members: &Members) -> Vec<Name> {
        let ahead = self.rank.min(self.order.len());
        let near = (ahead / self.config.children).max(self.config.askers).min(ahead);
        let from = if near > self.config.askers { near / 2 } else { 0 };
        let eligible = |names: &[Name]| -> Vec<Name> {
            let usable = |n: &&Name| {
                !self.is_avoided(now, n) && members.get(n).is_some_and(|k| k.state == MemberState::Alive)
            };
            names.iter().filter(usable).cloned().collect()
        };
        // `order` does not contain this gateway: all before its own position are nearer to the front.
        let mut all = eligible(&self.order[from..near]);
        if all.len() < 2 {
            all = eligible(&self.order[..ahead]);
        }
        if all.len() < 2 {
            all = eligible(&self.order);
        }
        all
    }

    fn tick_upstreams(&mut self, now: Time, members: &Members) {
        let first = self.rank < self.config.askers;
        let stale = Span::from_millis(self.config.stale_ms);
        for i in 0..UPSTREAMS {
            let Some(s) = &self.upstreams[i] else { continue };
            let silent = match s.heard_at {
                Some(at) => now - at > UPSTREAM_TIMEOUT,
                None => now - s.since > FIRST_HEARTBEAT_TIMEOUT,
            };
            let dead = members.get(&s.name).is_none_or(|k| k.state >= MemberState::Dead);
            // Its list is stale while another member reports a fresh one.
            let outdated = s.heartbeat.as_ref().is_some_and(|p| p.age_us > stale.as_micros())
                && now - s.since > stale
                && members
                    .others()
                    .any(|(n, k)| *n != s.name && Self::is_fresher(k.list.as_ref(), now, stale));
            if silent || dead || outdated {
                let name = s.name.clone();
                if silent {
                    self.silent.insert(name.clone(), now);
                }
                self.drop_upstream(now, &name, AVOID_FAILED);
            }
        }
        if self.discovery == DiscoveryLink::Open && first {
            // A gateway connected to discovery needs no upstream; its probes compare its list with others.
            for i in 0..UPSTREAMS {
                if let Some(s) = self.upstreams[i].take() {
                    let unsubscribe = Subscribe { heartbeats_only: false, unsubscribe: true };
                    self.outbox.push_back(Output::Send(s.name, vec![Payload::Subscribe(unsubscribe)]));
                }
            }
            return;
        }
        self.rebalance(now, members);
        for i in 0..UPSTREAMS {
            if self.upstreams[i].is_none() {
                let taken: Vec<Name> = self.upstreams.iter().flatten().map(|s| s.name.clone()).collect();
                let mut all = self.upstream_candidates(now, members);
                if !self.is_fresh(now) && now - self.started_at > stale {
                    let fresher: Vec<Name> = members
                        .others()
                        .filter(|(n, k)| {
                            Self::is_fresher(k.list.as_ref(), now, stale) && !self.is_avoided(now, n)
                        })
                        .map(|(n, _)| n.clone())
                        .collect();
                    if !fresher.is_empty() {
                        all = fresher;
                    }
                }
                all.retain(|n| !taken.contains(n));
                let seed = rank::key(&members.name) ^ i as u64;
                let Some(name) = all.iter().max_by_key(|n| rank::score(n, seed)).cloned() else {
                    continue;
                };
                self.upstreams[i] = Some(Upstream {
                    name: name.clone(),
                    subscribed_at: now,
                    heard_at: None,
                    since: now,
                    heartbeat: None,
                });
                let request = Subscribe { heartbeats_only: i > 0, unsubscribe: false };
                self.outbox.push_back(Output::Send(name, vec![Payload::Subscribe(request)]));
            } else if let Some(s) =
                self.upstreams[i].as_mut().filter(|s| now - s.subscribed_at >= SUBSCRIBE_INTERVAL)
            {
                s.subscribed_at = now;
                let request = Subscribe { heartbeats_only: i > 0, unsubscribe: false };
                self.outbox.push_back(Output::Send(s.name.clone(), vec![Payload::Subscribe(request)]));
            }
        }
    }

    /// Upstreams chosen at the start were chosen among the few members known then: moves one at a time to the right
    /// position.
    fn rebalance(&mut self, now: Time, members: &Members) {
        if now < self.next_rebalance || now - members.last_growth < REBALANCE_INTERVAL || !self.is_fresh(now)
        {
            return;
        }
        self.next_rebalance = now + REBALANCE_INTERVAL * self.rng.random_range(0.7..1.3);
        let candidates = self.upstream_candidates(now, members);
        let misplaced =
            |s: &&mut Upstream| !candidates.contains(&s.name) && now - s.since > REBALANCE_INTERVAL;
        let enough = candidates.len() >= UPSTREAMS.min(self.order.len());
        if let Some(name) =
            self.upstreams.iter_mut().flatten().find(misplaced).map(|s| s.name.clone()).filter(|_| enough)
        {
            self.drop_upstream(now, &name, Span::ZERO);
        }
    }

    fn is_fresher(list: Option<&(Time, Heartbeat)>, now: Time, stale: Span) -> bool {
        list.is_some_and(|(at, p)| {
            p.age_us != UNKNOWN_AGE && Span::from_micros(p.age_us) + (now - *at) < stale
        })
    }

    fn tick_fetch(&mut self, now: Time, members: &Members) {
        if let Some(f) = &mut self.fetch {
            if now - f.requested_at >= FETCH_RETRY {
                f.tries += 1;
                f.requested_at = now;
                if f.tries > MAX_FETCH_TRIES {
                    let from = f.from.clone();
                    self.counts.fetches_failed += 1;
                    self.fetch = None;
                    self.drop_upstream(now, &from, AVOID_FAILED);
                } else {
                    self.request_chunks();
                }
            }
            return;
        }
        let Some((version, from, at)) = self.pending.clone() else { return };
        if version <= self.list.version() || self.discovery == DiscoveryLink::Open {
            self.pending = None;
        } else if at <= now {
            self.pending = None;
            if members.get(&from).is_some_and(|k| k.state <= MemberState::Suspect) {
                let after = self.list.version();
                self.start_fetch(now, &from, after, false);
            }
        }
    }

    fn tick_subscribers(&mut self, now: Time) {
        self.subscribers.retain(|_, f| f.expires_at > now);
        let periodic = now >= self.next_heartbeat;
        if periodic {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        }
        let is_due = |f: &Subscriber| periodic || f.resend.is_some_and(|(_, at)| at <= now);
        let due: Vec<Name> =
            self.subscribers.iter().filter(|(_, f)| is_due(f)).map(|(n, _)| n.clone()).collect();
        for name in due {
            if let Some(f) = self.subscribers.get_mut(&name) {
                f.resend = match f.resend {
                    Some((i, at)) if at <= now => RESEND_DELAYS.get(i + 1).map(|wait| (i + 1, now + *wait)),
                    other => other,
                };
            }
            self.send_heartbeat(now, &name, false);
        }
    }

    /// Checks the invariants that hold after every step; for tests.
    pub fn check_invariants(&self) -> Result<(), String> {
        let max = self.config.children * (2 + 2 * UPSTREAMS);
        if self.subscribers.len() > max {
            return Err(format!("{} subscribers, the limit is {max}", self.subscribers.len()));
        }
        let names: BTreeSet<&Name> = self.upstreams.iter().flatten().map(|s| &s.name).collect();
        if names.len() < self.upstreams.iter().flatten().count() {
            return Err("one member is upstream twice".to_owned());
        }
        Ok(())
    }
}
