//! How the list comes to every gateway while a few ask for it: who asks, whom to follow, what to fetch, and what is
//! believed of it. Must never pass on an event after a gap, nor hold old news for fresh: ages only grow on the way.
//!
//! Members stand in one order by rendezvous hashing. The first ones ask the bulletin; each other one follows a member
//! that is about `children` times nearer to the front, so that the depth grows with the logarithm of the members, and two
//! more that only tell numbers: what the first one keeps back or makes up shows by their numbers and digests.
//! Every probe carries number, digest and age as well, so that each gateway compares itself with another one a second.

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

/// One tells events, the others numbers: with any two of them gone at once the third one still does.
const UPSTREAMS: usize = 3;
/// Followers are told this often that nothing is new, and again so long after something was.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(300);
const RESEND_DELAYS: [Span; 2] = [Span::from_millis(60), Span::from_millis(200)];
/// A source that says nothing for so long is left.
const UPSTREAM_TIMEOUT: Span = Span::from_millis(1_000);
/// One that was left for that is not counted among those ahead for so long.
const SILENT_RETENTION: Span = Span::from_millis(10_000);
/// Followers say this often that they still follow, and are forgotten after the other span.
const SUBSCRIBE_INTERVAL: Span = Span::from_millis(1_000);
const SUBSCRIPTION_TTL: Span = Span::from_millis(3_500);
/// The first answer to a new follower is due by then.
const FIRST_HEARTBEAT_TIMEOUT: Span = Span::from_millis(300);
/// Events that fit into one datagram with the pulse go with it.
const MAX_INLINE_BYTES: usize = 1_000;
const CHUNK_BYTES: usize = 1_000;
const CHUNK_WINDOW: u32 = 24;
const FETCH_RETRY: Span = Span::from_millis(80);
const MAX_FETCH_TRIES: u32 = 6;
/// The events that a number tells of may still be on their way from the first source.
const FETCH_DELAY: Span = Span::from_millis(20);
/// A source that failed, was full, or told what did not hold.
const AVOID_FAILED: Span = Span::from_millis(5_000);
const AVOID_INCONSISTENT: Span = Span::from_millis(30_000);
/// Who is there has to stand for so long before one of the first asks; after the other span it asks all the same.
const SETTLE_TIME: Span = Span::from_millis(400);
const SETTLE_DEADLINE: Span = Span::from_millis(4_000);
/// Alone: so long without hearing of any other gateway.
const ISOLATED_AFTER: Span = Span::from_millis(2_000);
/// A source that stands elsewhere than it should is left for a better one, one of them in this time.
const REBALANCE_INTERVAL: Span = Span::from_millis(2_000);
/// Groups of gateways take turns of this length at the bulletin while the first ones bring nothing.
const TURN_DURATION: Span = Span::from_millis(2_000);
/// One that need not ask any more does so for this long.
const YIELD_AFTER: Span = Span::from_millis(2_000);
const MAX_VOTES: usize = 32;
const VOTE_LIFETIME: Span = Span::from_millis(10_000);
const MAX_AVOIDED: usize = 64;
/// Ages beyond that are no knowledge.
const UNKNOWN_AGE: u64 = u64::MAX;

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(Name, Vec<Payload>),
    /// The host has to hear this event, a line of JSON.
    Event(Vec<u8>),
}

#[derive(Clone, Debug)]
struct Upstream {
    name: Name,
    subscribed_at: Time,
    /// Its last word, and the one that is due.
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
    /// What is here was made up by someone: the list that comes stands in its place, whatever its number.
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
    /// The host has been told to connect.
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
    /// The list comes by the feed: nobody is asked, followed or told.
    disabled: bool,
    expected: usize,
    /// Its place among the seeds is one of the first.
    is_seed: bool,
    pub list: List,
    started_at: Time,
    /// When the bulletin had no more than what is known here.
    fresh_at: Option<Time>,
    depth: u32,
    discovery: DiscoveryLink,
    next_attempt: Time,
    /// Tries that its part of the common pace allows now, and as of when.
    tokens: (f64, Time),
    last_backoff: Span,
    /// Since when it is not one of those that have to ask.
    spare_since: Option<Time>,
    upstreams: [Option<Upstream>; UPSTREAMS],
    avoided: BTreeMap<Name, Time>,
    /// Sources that fell silent, and when: who stands behind them asks in their place before they are held to be gone.
    silent: BTreeMap<Name, Time>,
    subscribers: BTreeMap<Name, Subscriber>,
    next_heartbeat: Time,
    fetch: Option<FetchState>,
    /// A number that is not here yet, who told it, and when it is fetched.
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
        let early: f64 = rng.random();
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
            tokens: (early, now),
            last_backoff: Span::ZERO,
            spare_since: None,
            upstreams: [const { None }; UPSTREAMS],
            avoided: BTreeMap::new(),
            silent: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            next_heartbeat: now + HEARTBEAT_INTERVAL * early,
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

    /// How old what is known is; `None`: nothing was ever heard.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.fresh_at.map(|at| now - at)
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age <= Span::from_millis(self.config.stale_ms))
    }

    /// The list, whole, has come from somewhere.
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

    // The bulletin.

    /// The host keeps a connection to the bulletin while this holds.
    pub fn wants_discovery(&self) -> bool {
        self.discovery != DiscoveryLink::Closed
    }

    /// The connection has ended or did not come up.
    pub fn discovery_closed(&mut self, now: Time) {
        self.discovery = DiscoveryLink::Closed;
        // Decorrelated, and no sooner than the fleet's common pace allows.
        let share = f64::from(2 * self.config.askers as u32) / self.config.connections_per_s;
        let most = (share * 4.0).max(2.0);
        let least = share.min(most);
        let high = (self.last_backoff.as_secs_f64() * 3.0).clamp(least + 0.01, most + 0.02);
        self.last_backoff = Span::from_secs_f64(self.rng.random_range(least..high));
        self.next_attempt = now + self.last_backoff;
    }

    /// An event as the bulletin wrote it.
    pub fn discovery_event(&mut self, now: Time, line: &[u8]) -> Result<(), crate::list::ListError> {
        self.discovery = DiscoveryLink::Open;
        if self.list.apply(now, line)? {
            self.counts.events_from_discovery += 1;
            self.outbox.push_back(Output::Event(line.trim_ascii().to_vec()));
        }
        Ok(())
    }

    /// The bulletin's last number. `false`: it has more than was told.
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

    /// Tells followers at once what has come.
    pub fn forward(&mut self, now: Time) {
        let version = self.list.version();
        let late: Vec<Name> = self
            .subscribers
            .iter()
            .filter(|(_, f)| f.sent_version < version)
            .map(|(n, _)| n.clone())
            .collect();
        for name in late {
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

    // What members say.

    pub fn handle(&mut self, now: Time, from: &Name, payload: &Payload) {
        if self.disabled {
            return;
        }
        self.silent.remove(from);
        match payload {
            Payload::Subscribe(follow) => self.handle_subscribe(now, from, follow),
            Payload::SubscriptionRefused(_) if self.upstreams.iter().flatten().any(|s| s.name == *from) => {
                self.drop_upstream(now, from, AVOID_FAILED);
            }
            Payload::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, heartbeat),
            Payload::Fetch(fetch) => self.handle_fetch(now, from, fetch),
            Payload::Chunk(chunk) => self.handle_chunk(now, from, chunk),
            _ => {}
        }
    }

    fn handle_subscribe(&mut self, now: Time, from: &Name, follow: &Subscribe) {
        if follow.unsubscribe {
            self.subscribers.remove(from);
            return;
        }
        // Many more follow for numbers than for events.
        let most = self.config.children * if follow.heartbeats_only { 2 * UPSTREAMS } else { 2 };
        let alike = self.subscribers.values().filter(|f| f.heartbeats_only == follow.heartbeats_only).count();
        let known = self.subscribers.get(from).is_some_and(|f| f.heartbeats_only == follow.heartbeats_only);
        if !known && alike >= most {
            self.outbox.push_back(Output::Send(from.clone(), vec![Payload::SubscriptionRefused(true)]));
            return;
        }
        let until = now + SUBSCRIPTION_TTL;
        let sent_version = self.list.version();
        if known {
            if let Some(subscriber) = self.subscribers.get_mut(from) {
                subscriber.expires_at = until;
            }
        } else {
            self.subscribers.insert(
                from.clone(),
                Subscriber {
                    heartbeats_only: follow.heartbeats_only,
                    expires_at: until,
                    sent_version,
                    resend: None,
                },
            );
            self.send_heartbeat(now, from, false);
        }
    }

    /// One's own list against what another says of its own.
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
            // Others decide between the two, at once.
            let near = self.order.iter().filter(|n| *n != from).cloned();
            for name in near.choose_multiple(&mut self.rng, 4) {
                let ask = Fetch { after: self.list.version(), snapshot: false, to: 0, chunks: Vec::new() };
                self.outbox.push_back(Output::Send(name, vec![Payload::Fetch(ask)]));
            }
        }
        let of_late = |same: bool| {
            let wanted = move |(at, s): &(Time, bool)| *s == same && now - *at < VOTE_LIFETIME;
            self.votes.iter().filter(move |(_, v)| wanted(v)).map(|(n, _)| n.clone())
        };
        let (with, against): (Vec<Name>, Vec<Name>) = (of_late(true).collect(), of_late(false).collect());
        let mending = self.fetch.as_ref().is_some_and(|f| f.repair);
        if against.len() >= 2 && against.len() > with.len() && !mending {
            // Most others hold another list: this one was told a lie, by one of those that bear it out.
            self.counts.inconsistencies += 1;
            let upstreams: Vec<Name> = self.upstreams.iter().flatten().map(|s| s.name.clone()).collect();
            for name in upstreams.iter().filter(|n| with.contains(n)) {
                self.drop_upstream(now, name, AVOID_INCONSISTENT);
            }
            self.votes.clear();
            if let Some(from) = against.choose(&mut self.rng).cloned() {
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

    /// A number, a digest and an age that another names, by whatever way.
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
            let upstream = self.upstreams.iter().flatten().any(|s| s.name == *from);
            if upstream && self.fresh_at.is_none_or(|known| at > known) {
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

    /// Events in order; what does not fit is its teller's fault.
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
            // It told one thing and gave another.
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

    /// Gets the whole list from someone else.
    fn repair(&mut self, now: Time, not: &Name) {
        let fit = |n: &&Name| *n != not && !self.is_avoided(now, n);
        let others: Vec<Name> = self.order.iter().filter(fit).cloned().collect();
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
        let ask = Fetch { after: f.after, snapshot: f.snapshot, to: f.to, chunks };
        self.outbox.push_back(Output::Send(f.from.clone(), vec![Payload::Fetch(ask)]));
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
        // Of an older number the digest may be known no more; 0 is not compared.
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
        let most = self.config.most_kb * 1024;
        let Some(f) = self.fetch.as_mut().filter(|f| f.from == *from) else { return };
        if chunk.total as usize * CHUNK_BYTES > most + CHUNK_BYTES {
            self.counts.fetches_failed += 1;
            return self.drop_upstream(now, from, AVOID_INCONSISTENT);
        }
        let same = (chunk.after, chunk.snapshot, chunk.to, chunk.digest, chunk.total);
        if f.total == 0 || (f.after, f.snapshot, f.to, f.digest, f.total) != same {
            (f.after, f.snapshot, f.to, f.digest, f.total) = same;
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
            // Older than what has come meanwhile, and nothing speaks against that.
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
                    // The bulletin is asked anew from this number.
                    self.discovery = DiscoveryLink::Closed;
                }
            }
            Err(_) => {
                self.counts.fetches_failed += 1;
                self.drop_upstream(now, from, AVOID_INCONSISTENT);
            }
        }
    }

    // What time brings.

    pub fn next_wake(&self, now: Time) -> Time {
        let mut at = now + Span::from_millis(100);
        if !self.subscribers.is_empty() {
            at = at.min(self.next_heartbeat);
        }
        let again = self.subscribers.values().filter_map(|f| f.resend.map(|a| a.1));
        at = again.fold(at, Time::min);
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
            // The seeds are known to all before anyone else is: they bring the first list.
            return self.connect_if(now, true, 0.5 / askers as f64);
        }
        if !members.joined() {
            // Its fair part of the common pace, and no more.
            let part = 1.0 / self.expected.max(members.recent_names().count()).max(1) as f64;
            let mine = f64::from(members.name.len() as u32 % 8) / 8.0;
            return self.connect_if(now, since > ISOLATED_AFTER * (1.0 + mine), part);
        }
        // With most of those that are expected the order is nearly the last one.
        let enough = n * 5 >= self.expected * 4;
        // One that is fed already takes its place at the bulletin when the order stands for sure.
        let settled =
            if self.is_fresh(now) { false } else { enough || now - members.last_growth >= SETTLE_TIME };
        let settled = settled || since >= SETTLE_DEADLINE;
        let passed = |n: &&Name| self.silent.get(*n).is_some_and(|at| now - *at < SILENT_RETENTION);
        let ahead = self.rank.min(self.order.len());
        let silent = self.order[..ahead].iter().filter(passed).count();
        let first = self.rank - silent.min(self.rank) < askers;
        if first {
            self.spare_since = None;
            return self.connect_if(now, settled, 0.5 / askers as f64);
        }
        let stale = match self.age(now) {
            Some(age) => age,
            None => since,
        };
        let limit = Span::from_millis(self.config.stale_ms);
        if stale > limit {
            self.spare_since = None;
            let (groups, turn) = (
                n.div_ceil(askers),
                ((stale.as_micros() - limit.as_micros()) / TURN_DURATION.as_micros()) as usize,
            );
            let mine = groups > 1 && self.rank / askers == 1 + turn % (groups - 1).max(1);
            if mine && self.discovery == DiscoveryLink::Closed {
                self.counts.turns += 1;
            }
            if mine || self.discovery == DiscoveryLink::Open {
                self.connect_if(now, settled, 0.5 / askers as f64);
            } else {
                self.discovery = DiscoveryLink::Closed;
            }
            return;
        }
        if self.discovery != DiscoveryLink::Closed {
            // Others bring it now: the place at the bulletin is given back once they have done so for a while.
            let fed = self.upstreams.iter().flatten().any(|s| {
                s.heartbeat
                    .as_ref()
                    .is_some_and(|p| p.age_us < limit.as_micros() && p.version >= self.list.version())
            });
            let spare = *self.spare_since.get_or_insert(now);
            if !fed {
                self.spare_since = Some(now);
            } else if now - spare > YIELD_AFTER {
                self.discovery = DiscoveryLink::Closed;
            }
        }
    }

    fn connect_if(&mut self, now: Time, is: bool, part: f64) {
        if !is {
            return;
        }
        // Saved up one at the most; the first ones need none for their first try.
        let rate = self.config.connections_per_s * part;
        self.tokens.0 = (self.tokens.0 + (now - self.tokens.1).as_secs_f64() * rate).min(1.0);
        self.tokens.1 = now;
        if self.discovery == DiscoveryLink::Closed && now >= self.next_attempt {
            let first = self.is_seed || self.rank < self.config.askers && !self.order.is_empty();
            let begins = self.counts.discovery_attempts == 0 && first;
            if !self.config.on || begins || self.tokens.0 >= 1.0 {
                self.tokens.0 = (self.tokens.0 - 1.0).max(0.0);
                self.counts.discovery_attempts += 1;
                self.discovery = DiscoveryLink::Connecting;
            }
        }
    }

    /// Whom one may follow: members about `children` times nearer to the front, or, with those gone, any nearer one.
    fn upstream_candidates(&self, now: Time, members: &Members) -> Vec<Name> {
        let ahead = self.rank.min(self.order.len());
        let near = (ahead / self.config.children).max(self.config.askers).min(ahead);
        let from = if near > self.config.askers { near / 2 } else { 0 };
        let fit = |names: &[Name]| -> Vec<Name> {
            let good = |n: &&Name| {
                !self.is_avoided(now, n) && members.get(n).is_some_and(|k| k.state == MemberState::Alive)
            };
            names.iter().filter(good).cloned().collect()
        };
        // The order leaves oneself out: all before one's own place are nearer.
        let mut all = fit(&self.order[from..near]);
        if all.len() < 2 {
            all = fit(&self.order[..ahead]);
        }
        if all.len() < 2 {
            all = fit(&self.order);
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
            let gone = members.get(&s.name).is_none_or(|k| k.state >= MemberState::Dead);
            // Old itself while another member says that it is not.
            let old = s.heartbeat.as_ref().is_some_and(|p| p.age_us > stale.as_micros())
                && now - s.since > stale
                && members
                    .others()
                    .any(|(n, k)| *n != s.name && Self::is_fresher(k.list.as_ref(), now, stale));
            if silent || gone || old {
                let name = s.name.clone();
                if silent {
                    self.silent.insert(name.clone(), now);
                }
                self.drop_upstream(now, &name, AVOID_FAILED);
            }
        }
        if self.discovery == DiscoveryLink::Open && first {
            // The source of others needs none for itself; its probes compare it with them.
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
                    let better: Vec<Name> = members
                        .others()
                        .filter(|(n, k)| {
                            Self::is_fresher(k.list.as_ref(), now, stale) && !self.is_avoided(now, n)
                        })
                        .map(|(n, _)| n.clone())
                        .collect();
                    if !better.is_empty() {
                        all = better;
                    }
                }
                all.retain(|n| !taken.contains(n));
                let purpose = rank::key(&members.name) ^ i as u64;
                let Some(name) = all.iter().max_by_key(|n| rank::score(n, purpose)).cloned() else {
                    continue;
                };
                self.upstreams[i] = Some(Upstream {
                    name: name.clone(),
                    subscribed_at: now,
                    heard_at: None,
                    since: now,
                    heartbeat: None,
                });
                let follow = Subscribe { heartbeats_only: i > 0, unsubscribe: false };
                self.outbox.push_back(Output::Send(name, vec![Payload::Subscribe(follow)]));
            } else if let Some(s) =
                self.upstreams[i].as_mut().filter(|s| now - s.subscribed_at >= SUBSCRIBE_INTERVAL)
            {
                s.subscribed_at = now;
                let follow = Subscribe { heartbeats_only: i > 0, unsubscribe: false };
                self.outbox.push_back(Output::Send(s.name.clone(), vec![Payload::Subscribe(follow)]));
            }
        }
    }

    /// Who is followed since the start was chosen among the few known then: one at a time moves to its right place.
    fn rebalance(&mut self, now: Time, members: &Members) {
        if now < self.next_rebalance || now - members.last_growth < REBALANCE_INTERVAL || !self.is_fresh(now)
        {
            return;
        }
        self.next_rebalance = now + REBALANCE_INTERVAL * self.rng.random_range(0.7..1.3);
        let fit = self.upstream_candidates(now, members);
        let astray = |s: &&mut Upstream| !fit.contains(&s.name) && now - s.since > REBALANCE_INTERVAL;
        let enough = fit.len() >= UPSTREAMS.min(self.order.len());
        if let Some(name) =
            self.upstreams.iter_mut().flatten().find(astray).map(|s| s.name.clone()).filter(|_| enough)
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
        let due = |f: &Subscriber| periodic || f.resend.is_some_and(|(_, at)| at <= now);
        let due: Vec<Name> =
            self.subscribers.iter().filter(|(_, f)| due(f)).map(|(n, _)| n.clone()).collect();
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

    /// The rules that have to hold after every step; for tests.
    pub fn check_invariants(&self) -> Result<(), String> {
        let most = self.config.children * (2 + 2 * UPSTREAMS);
        if self.subscribers.len() > most {
            return Err(format!("{} followers, {most} at most", self.subscribers.len()));
        }
        let names: BTreeSet<&Name> = self.upstreams.iter().flatten().map(|s| &s.name).collect();
        if names.len() < self.upstreams.iter().flatten().count() {
            return Err("two sources are one".to_owned());
        }
        Ok(())
    }
}
