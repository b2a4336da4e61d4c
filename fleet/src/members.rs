//! Membership of the fleet: failure detection by probes, suspicion, and gossip of membership updates.
//!
//! Invariant: no member is declared dead on the word of another. A suspicion received by gossip is verified by a
//! direct probe, and only claims that this probe confirms count.
//!
//! Sources: SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", DSN 2002) for indirect probes, incarnation numbers and updates piggybacked on probes; Lifeguard
//! (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018) for the
//! local health multiplier, nacks, a suspicion timeout that shrinks with independent confirmations, and sending the
//! suspicion to the suspect first. Departures: a claim alone changes no state (one lying member could empty the
//! member list), a leave message counts only from the member that leaves, and probes that were pending when the
//! process was stopped are discarded when it resumes.

use crate::seal::ReplayWindow;
use crate::settings;
use crate::wire::{self, Heartbeat, Hello, MemberRecord, MemberState, Packet, Payload, Ping, PingReq};
use kelpcart::{Span, Time};
use prost::Message;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub type Name = Arc<str>;

/// Members that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// An update is retransmitted this many times the binary logarithm of the number of members.
const RETRANSMIT_MULT: f64 = 2.0;
const GOSSIP_INTERVAL: Span = Span::from_millis(200);
const GOSSIP_FANOUT: usize = 3;
/// Upper bound of the local health score; timeouts are multiplied by one plus the score.
const MAX_HEALTH_SCORE: u32 = 2;
/// Independent confirmations that bring the suspicion timeout down to its minimum.
const SUSPICION_CONFIRMATIONS: usize = 3;
/// The maximum suspicion timeout as a multiple of the minimum.
const SUSPICION_MAX_MULT: f64 = 2.0;
/// A call that is later than this means that the process was stopped or starved of CPU.
const PAUSE_THRESHOLD: Span = Span::from_millis(700);
/// Records of dead members are kept this long, so that old gossip does not revive them.
const DEAD_RETENTION: Span = Span::from_millis(60_000);
/// Interval at which a dead member and an unreached seed are contacted; it heals partitions.
const RECONNECT_INTERVAL: Span = Span::from_millis(5_000);
/// Initial and maximum delay between join attempts.
const JOIN_BACKOFF: (Span, Span) = (Span::from_millis(200), Span::from_millis(2_000));
/// Claims that are verified by a direct probe at the same time.
const MAX_VERIFICATIONS: usize = 16;
const MAX_RELAYED_PROBES: usize = 64;
const MAX_ACCUSERS: usize = 8;
/// Refuted claims of one accuser after which its claims are ignored for a while.
const MAX_REFUTED_CLAIMS: u32 = 5;
const IGNORE_ACCUSER_FOR: Span = Span::from_millis(30_000);
/// Bytes per second spent on member lists for joining members.
const JOIN_BYTES_PER_S: f64 = 131_072.0;
const CHALLENGES_PER_S: f64 = 500.0;

/// Token bucket with a burst of one second's rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    pub fn new(rate: f64, now: Time) -> TokenBucket {
        TokenBucket { rate, tokens: rate, refilled_at: now }
    }

    pub fn take(&mut self, now: Time, n: f64) -> bool {
        self.tokens =
            (self.tokens + (now - self.refilled_at).as_secs_f64() * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now;
        let enough = self.tokens >= n;
        if enough {
            self.tokens -= n;
        }
        enough
    }
}

/// A message for a member, or for an address whose run is not known yet (`to_run` is 0).
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    pub to: SocketAddr,
    pub to_run: u64,
    pub parts: Vec<Payload>,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub address: SocketAddr,
    pub run: u64,
    pub incarnation: u64,
    pub state: MemberState,
    state_since: Time,
    /// Members that report it as unresponsive, including this one once its own probe has failed.
    accusers: BTreeSet<Name>,
    deadline: Option<Time>,
    /// The suspicion timeout has expired and the final probe was sent.
    final_probe_sent: bool,
    replay_window: ReplayWindow,
    /// It has sent a packet that names this gateway's run.
    pub knows_our_run: bool,
    /// The last heartbeat of its list, and when it was received.
    pub list: Option<(Time, Heartbeat)>,
}

#[derive(Debug)]
struct Probe {
    seq: u64,
    target: Name,
    /// When indirect probes are sent; `fails_at` is when the probe has failed.
    indirect_at: Time,
    fails_at: Time,
    helpers: Vec<Name>,
    indirect_sent: bool,
}

#[derive(Debug)]
struct RelayedProbe {
    target: Name,
    requester: Name,
    seq: u64,
    nack_at: Time,
    answered: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub probes: u64,
    pub probes_failed: u64,
    pub suspected: u64,
    pub declared_dead: u64,
    /// Declared dead, then heard from again under the same run.
    pub falsely_dead: u64,
    pub claims_refuted: u64,
    pub claims_ignored: u64,
    pub replays: u64,
    pub challenges_sent: u64,
    pub name_conflicts: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The sender is known under this run and the packet is new.
    Accepted,
    /// The sender is not verified; only its challenge may be answered.
    Unverified,
    Dropped,
}

pub struct Members {
    pub name: Name,
    address: SocketAddr,
    pub run: u64,
    incarnation: u64,
    config: settings::Members,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<Name, Member>,
    rng: Pcg64Mcg,
    secret: u64,
    seq: u64,
    probe_order: Vec<Name>,
    probe: Option<Probe>,
    next_probe: Time,
    /// Probe number, time of the single retransmission, and time of failure.
    verifications: BTreeMap<Name, (u64, Option<Time>, Time)>,
    to_verify: VecDeque<Name>,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    health_score: u32,
    /// When any member was last heard from.
    last_heard_any: Time,
    /// The last probe that failed. An ack that still arrives for it shows that this gateway was slow, not the target.
    last_failed_probe: u64,
    updates: BTreeMap<Name, (MemberRecord, u32)>,
    next_gossip: Time,
    next_reconnect: Time,
    next_join: Time,
    join_backoff: Span,
    refuted_claims: BTreeMap<Name, (u32, Time)>,
    gossip_budget: TokenBucket,
    join_budget: TokenBucket,
    challenge_budget: TokenBucket,
    sync_cursor: Option<Name>,
    last_tick: Time,
    suspicion_paused_until: Time,
    /// The list heartbeat that is sent with probes and acks.
    pub list: Option<Heartbeat>,
    leaving: bool,
    /// Incremented whenever a member becomes live or stops being live.
    pub version: u64,
    /// When a member last became live.
    pub last_growth: Time,
    live: usize,
    pub counts: Counts,
    pub outbox: VecDeque<Envelope>,
}

impl Members {
    pub fn new(file: &settings::Fleet, run: u64, seed: u64, now: Time) -> Members {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (secret, jitter) = (rng.random(), rng.random_range(0.0..1.0));
        let config = file.members.clone();
        let period = Span::from_millis(config.probe_ms);
        Members {
            name: Arc::from(file.gateway.as_str()),
            address: file.advertised_address(),
            run: run.max(1),
            incarnation: 1,
            seeds: file.seeds.iter().copied().filter(|s| *s != file.advertised_address()).collect(),
            members: BTreeMap::new(),
            rng,
            secret,
            seq: 0,
            probe_order: Vec::new(),
            probe: None,
            next_probe: now + period * jitter,
            verifications: BTreeMap::new(),
            to_verify: VecDeque::new(),
            relayed_probes: BTreeMap::new(),
            health_score: 0,
            last_heard_any: now,
            last_failed_probe: 0,
            updates: BTreeMap::new(),
            next_gossip: now + GOSSIP_INTERVAL * jitter,
            next_reconnect: now + RECONNECT_INTERVAL * (1.0 + jitter),
            next_join: now,
            join_backoff: JOIN_BACKOFF.0,
            refuted_claims: BTreeMap::new(),
            gossip_budget: TokenBucket::new(config.news_bytes as f64, now),
            join_budget: TokenBucket::new(JOIN_BYTES_PER_S, now),
            challenge_budget: TokenBucket::new(CHALLENGES_PER_S, now),
            sync_cursor: None,
            last_tick: now,
            suspicion_paused_until: now,
            list: None,
            leaving: false,
            version: 0,
            last_growth: now,
            live: 0,
            counts: Counts::default(),
            outbox: VecDeque::new(),
            config,
        }
    }

    /// Live members without this one; suspects are included.
    pub fn others(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter().filter(|(_, m)| m.state <= MemberState::Suspect)
    }

    /// Live members and this one.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.others().map(|(n, _)| &**n).chain([&*self.name])
    }

    /// Members that are live or were until recently, and this one.
    pub fn recent_names(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(|n| &**n).chain([&*self.name])
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Number of live members, including this one.
    pub fn live(&self) -> usize {
        self.live + 1
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Another gateway was reached, or no seeds are configured.
    pub fn joined(&self) -> bool {
        self.live > 0 || self.seeds.is_empty()
    }

    pub fn sizes(&self) -> [(&'static str, usize); 5] {
        [
            ("fleet members known", self.members.len()),
            ("fleet members live", self.live()),
            ("fleet news", self.updates.len()),
            ("fleet claims", self.verifications.len() + self.to_verify.len()),
            ("fleet accusers", self.refuted_claims.len()),
        ]
    }

    pub fn self_record(&self) -> MemberRecord {
        let (ip, port) = wire::ipv4_and_port(self.address);
        MemberRecord {
            name: self.name.to_string(),
            ip,
            port,
            run: self.run,
            incarnation: self.incarnation,
            state: MemberState::Alive as i32,
            reported_by: String::new(),
        }
    }

    fn record(name: &Name, m: &Member, reported_by: &str) -> MemberRecord {
        let (ip, port) = wire::ipv4_and_port(m.address);
        let reported_by = if m.state == MemberState::Alive { "" } else { reported_by };
        let (run, incarnation, state) = (m.run, m.incarnation, m.state as i32);
        MemberRecord {
            name: name.to_string(),
            ip,
            port,
            run,
            incarnation,
            state,
            reported_by: reported_by.to_owned(),
        }
    }

    /// Sends to a known member. The sender's own record goes first if the member may not know this run yet.
    pub fn send(&mut self, to: &str, mut parts: Vec<Payload>) {
        if let Some(m) = self.members.get(to) {
            if !m.knows_our_run {
                parts.insert(0, Payload::Update(self.self_record()));
            }
            self.outbox.push_back(Envelope { to: m.address, to_run: m.run, parts });
        }
    }

    /// Equal for equal sets of members, runs and incarnations.
    fn digest(&self) -> u64 {
        let hash =
            |name: &str, run: u64, inc: u64| xxh3_64_with_seed(name.as_bytes(), run ^ inc.rotate_left(32));
        let others = self.others().map(|(n, m)| hash(n, m.run, m.incarnation));
        others.fold(hash(&self.name, self.run, self.incarnation), |digest, h| digest ^ h)
    }

    fn ping(&mut self) -> Ping {
        let (incarnation, members_digest) = (self.incarnation, self.digest());
        Ping { seq: 0, incarnation, members_digest, list: self.list.clone() }
    }

    fn nonce(&self, now: Time, name: &str, run: u64, back: u64) -> u64 {
        let slot = (now.as_micros() / 10_000_000).saturating_sub(back);
        xxh3_64_with_seed(name.as_bytes(), self.secret ^ run ^ slot.rotate_left(40)).max(1)
    }

    // Incoming packets.

    /// Authenticates the sender's run before any part of the packet is processed.
    pub fn receive(&mut self, now: Time, from: SocketAddr, packet: &Packet) -> Disposition {
        let own_name = *packet.from == *self.name;
        if own_name || packet.to_run != self.run && packet.to_run != 0 {
            self.counts.name_conflicts += u64::from(own_name && packet.run != self.run);
            if !own_name {
                // It knows an earlier run of this gateway; the challenge tells it the present one.
                self.challenge(now, from, packet);
            }
            return Disposition::Dropped;
        }
        if let Some(m) = self.members.get_mut(&*packet.from)
            && m.run == packet.run
        {
            if packet.to_run == 0 {
                // It does not know this gateway's run yet; the packet may be a replay.
                self.challenge(now, from, packet);
                return Disposition::Dropped;
            }
            if !m.replay_window.accept(packet.number) {
                self.counts.replays += 1;
                return Disposition::Dropped;
            }
            m.knows_our_run = true;
            self.last_heard_any = now;
            self.mark_alive(now, &packet.from);
            return Disposition::Accepted;
        }
        let hello = packet.parts.iter().find_map(|p| match &p.payload {
            Some(Payload::Hello(h)) => Some(h),
            _ => None,
        });
        let own = packet.parts.iter().find_map(|p| match &p.payload {
            Some(Payload::Hello(Hello { record: Some(r), .. }) | Payload::Update(r))
                if r.name == packet.from =>
            {
                Some(r)
            }
            _ => None,
        });
        let proven = hello.is_some_and(|h| {
            let good = |back| h.nonce == self.nonce(now, &packet.from, packet.run, back);
            good(0) || good(1)
        });
        // Only a sender that has received a packet of this run can name it. A name that is known under another run
        // also has to answer a challenge.
        let fresh = packet.to_run == self.run && (proven || !self.members.contains_key(&*packet.from));
        match own {
            Some(own) if fresh && own.run == packet.run => {
                let admitted = self.admit(now, own);
                if let Some(m) = admitted.then(|| self.members.get_mut(&*packet.from)).flatten() {
                    _ = m.replay_window.accept(packet.number);
                    m.knows_our_run = true;
                    return Disposition::Accepted;
                }
                Disposition::Dropped
            }
            _ => {
                let has_challenge =
                    packet.parts.iter().any(|p| matches!(p.payload, Some(Payload::Challenge(_))));
                if has_challenge {
                    return Disposition::Unverified;
                }
                self.challenge(now, from, packet);
                Disposition::Dropped
            }
        }
    }

    fn challenge(&mut self, now: Time, to: SocketAddr, packet: &Packet) {
        if self.challenge_budget.take(now, 1.0) {
            self.counts.challenges_sent += 1;
            let nonce = self.nonce(now, &packet.from, packet.run, 0);
            self.outbox.push_back(Envelope {
                to,
                to_run: packet.run,
                parts: vec![Payload::Challenge(nonce)],
            });
        }
    }

    /// Adds or replaces a member whose run was proven to be live, whatever was reported of its name before.
    fn admit(&mut self, now: Time, record: &MemberRecord) -> bool {
        let Some(address) = record.address() else { return false };
        let before = self.members.get(&*record.name);
        if before.is_none() && self.members.len() >= self.config.most {
            return false;
        }
        let min_incarnation = before.map_or(1, |m| m.incarnation + 1);
        let incarnation = record.incarnation.max(min_incarnation);
        let name: Name = Arc::from(record.name.as_str());
        self.set_state(now, &name, address, record.run, incarnation, MemberState::Alive);
        self.enqueue_update(&name, "");
        if incarnation > record.incarnation {
            // It rejoins with an incarnation greater than any that was gossiped about it.
            let record = Self::record(&name, &self.members[&name], "");
            self.send(&name, vec![Payload::Update(record)]);
        }
        true
    }

    fn set_state(
        &mut self,
        now: Time,
        name: &Name,
        address: SocketAddr,
        run: u64,
        incarnation: u64,
        state: MemberState,
    ) {
        let before = self.members.get(name);
        let was_live = before.is_some_and(|m| m.state <= MemberState::Suspect);
        let same = before.filter(|m| m.run == run);
        if same.is_some_and(|m| m.state == MemberState::Dead) && state == MemberState::Alive {
            self.counts.falsely_dead += 1;
        }
        let replay_window = same.map(|m| m.replay_window).unwrap_or_default();
        let list = same.and_then(|m| m.list.clone());
        let knows_our_run = same.is_some_and(|m| m.knows_our_run);
        let member = Member {
            address,
            run,
            incarnation,
            state,
            state_since: now,
            accusers: BTreeSet::new(),
            deadline: None,
            final_probe_sent: false,
            replay_window,
            knows_our_run,
            list,
        };
        self.members.insert(name.clone(), member);
        let is_live = state <= MemberState::Suspect;
        if was_live != is_live {
            self.version += 1;
            if is_live {
                self.live += 1;
                self.last_growth = now;
                let at = self.rng.random_range(0..=self.probe_order.len());
                self.probe_order.insert(at, name.clone());
            } else {
                self.live -= 1;
                self.probe_order.retain(|n| n != name);
            }
        }
    }

    /// The member was heard from directly, so all suspicions of it are refuted.
    fn mark_alive(&mut self, now: Time, name: &str) {
        let Some(m) = self.members.get(name) else { return };
        if m.state == MemberState::Left {
            return;
        }
        let accusers: Vec<Name> = m.accusers.iter().cloned().collect();
        if m.state == MemberState::Alive && accusers.is_empty() {
            return;
        }
        let (name, m): (Name, Member) = (Arc::from(name), m.clone());
        self.record_refuted_claims(now, &accusers);
        self.set_state(now, &name, m.address, m.run, m.incarnation, MemberState::Alive);
        self.verifications.remove(&name);
        self.to_verify.retain(|n| *n != name);
    }

    fn record_refuted_claims(&mut self, now: Time, accusers: &[Name]) {
        for accuser in accusers.iter().filter(|a| **a != self.name) {
            self.counts.claims_refuted += 1;
            let count = self.refuted_claims.entry(accuser.clone()).or_insert((0, now));
            *count = (count.0 + 1, now);
        }
        while self.refuted_claims.len() > self.config.most {
            self.refuted_claims.pop_first();
        }
    }

    fn is_trusted(&self, now: Time, accuser: &str) -> bool {
        self.refuted_claims
            .get(accuser)
            .is_none_or(|(n, at)| *n < MAX_REFUTED_CLAIMS || now - *at > IGNORE_ACCUSER_FOR)
    }

    /// Handles one part of a packet whose sender was accepted.
    pub fn handle(&mut self, now: Time, from: &Name, payload: &Payload) {
        match payload {
            Payload::Hello(h) => self.handle_hello(now, from, h),
            Payload::Update(record) => self.handle_update(now, from, record),
            Payload::Ping(ping) => {
                self.update_from_ping(now, from, ping);
                let mut ack = self.ping();
                ack.seq = ping.seq;
                self.send_with_updates(from, Payload::Ack(ack));
                self.sync_if_diverged(now, from, ping.members_digest);
            }
            Payload::Ack(ack) => self.handle_ack(now, from, ack),
            Payload::PingReq(p) => self.handle_ping_req(now, from, p),
            Payload::Nack(seq) => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == *seq) {
                    probe.helpers.retain(|n| n != from);
                }
            }
            Payload::Leave(_) => {
                if let Some(m) = self.members.get(from).cloned() {
                    self.set_state(now, from, m.address, m.run, m.incarnation, MemberState::Left);
                    let reported_by = from.clone();
                    self.enqueue_update(from, &reported_by);
                }
            }
            _ => {}
        }
    }

    /// Answers the challenge of a gateway that does not know this run yet.
    pub fn answer_challenge(&mut self, to: SocketAddr, run: u64, nonce: u64, joining: bool) {
        let hello = Hello { record: Some(self.self_record()), nonce, joining };
        self.outbox.push_back(Envelope { to, to_run: run, parts: vec![Payload::Hello(hello)] });
    }

    pub fn wants_to_join(&self) -> bool {
        self.live == 0
    }

    fn handle_hello(&mut self, now: Time, from: &Name, hello: &Hello) {
        if !hello.joining {
            return;
        }
        // The own record goes first, so that the joining member accepts the following packets.
        let me = Hello { record: Some(self.self_record()), nonce: 0, joining: false };
        self.send(from, vec![Payload::Hello(me)]);
        let pages = (self.members.len() / 24 + 1).min(self.config.most / 24 + 1);
        for _ in 0..pages {
            if !self.join_budget.take(now, wire::MAX_PAYLOAD_BYTES as f64) {
                break;
            }
            self.send_sync_page(from);
        }
    }

    /// Sends one datagram of member records, starting after the last one that was sent.
    fn send_sync_page(&mut self, to: &Name) {
        let mut parts = Vec::new();
        let mut room = wire::MAX_PAYLOAD_BYTES;
        let start = self.sync_cursor.clone();
        let behind = self.members.iter().filter(|(n, _)| start.as_ref().is_none_or(|s| *n > s));
        let before = self.members.iter().filter(|(n, _)| start.as_ref().is_some_and(|s| *n <= s));
        for (name, m) in behind.chain(before) {
            if name == to {
                continue;
            }
            let record = Self::record(name, m, &self.name);
            let size = record.encoded_len() + 6;
            if size > room || parts.len() >= 40 {
                break;
            }
            room -= size;
            self.sync_cursor = Some(name.clone());
            parts.push(Payload::Update(record));
        }
        if !parts.is_empty() {
            self.send(to, parts);
        }
    }

    /// Anti-entropy: if the digests differ, sends a datagram of records within the gossip budget.
    fn sync_if_diverged(&mut self, now: Time, from: &Name, digest: u64) {
        if digest != self.digest() && self.gossip_budget.take(now, wire::MAX_PAYLOAD_BYTES as f64) {
            self.send_sync_page(from);
        }
    }

    fn update_from_ping(&mut self, now: Time, from: &Name, ping: &Ping) {
        if let Some(m) = self.members.get_mut(from) {
            m.list = ping.list.clone().map(|list| (now, list));
            if ping.incarnation > m.incarnation {
                m.incarnation = ping.incarnation;
            }
        }
    }

    fn handle_ack(&mut self, now: Time, from: &Name, ack: &Ping) {
        if let Some(relayed) = self.relayed_probes.get_mut(&ack.seq)
            && relayed.target == *from
            && !relayed.answered
        {
            relayed.answered = true;
            let (to, seq) = (relayed.requester.clone(), relayed.seq);
            let mut forwarded = ack.clone();
            // The list heartbeat in the ack describes the target's list, not the helper's.
            (forwarded.seq, forwarded.list) = (seq, None);
            self.send(&to, vec![Payload::Ack(forwarded)]);
        }
        if self.verifications.get(from).is_some_and(|(seq, ..)| *seq == ack.seq) {
            self.verifications.remove(from);
        }
        if ack.seq == self.last_failed_probe {
            self.last_failed_probe = 0;
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
        if let Some(probe) = self.probe.as_ref().filter(|p| p.seq == ack.seq) {
            let target = probe.target.clone();
            if target == *from {
                self.update_from_ping(now, from, ack);
                self.sync_if_diverged(now, from, ack.members_digest);
            }
            // An ack forwarded by a helper counts as well.
            self.mark_alive(now, &target);
            self.probe = None;
            self.health_score = self.health_score.saturating_sub(1);
        }
    }

    fn handle_ping_req(&mut self, now: Time, from: &Name, request: &PingReq) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || !self.members.contains_key(&*request.name) {
            return;
        }
        self.seq += 1;
        let target: Name = Arc::from(request.name.as_str());
        let nack_at = now + Span::from_millis(self.config.answer_ms) * 0.8;
        let seq = self.seq;
        let relayed = RelayedProbe {
            target: target.clone(),
            requester: from.clone(),
            seq: request.seq,
            nack_at,
            answered: false,
        };
        self.relayed_probes.insert(seq, relayed);
        self.send_ping(&target, seq);
    }

    fn send_ping(&mut self, to: &Name, seq: u64) {
        let mut ping = self.ping();
        ping.seq = seq;
        self.send_with_updates(to, Payload::Ping(ping));
    }

    /// Handles an update about any member; its sender may be lying.
    fn handle_update(&mut self, now: Time, from: &Name, r: &MemberRecord) {
        let Ok(state) = MemberState::try_from(r.state) else { return };
        if r.name == *self.name {
            return self.handle_update_about_self(now, r, state);
        }
        let Some(address) = r.address() else { return };
        let name: Name = Arc::from(r.name.as_str());
        let Some(m) = self.members.get(&name) else {
            if state == MemberState::Alive && self.members.len() < self.config.most {
                self.set_state(now, &name, address, r.run, r.incarnation, MemberState::Alive);
                self.enqueue_update(&name, "");
            }
            return;
        };
        match state {
            MemberState::Alive => {
                let newer = r.incarnation > m.incarnation;
                // A member that has left by itself comes back only with a new run.
                let may_return = m.state != MemberState::Left || m.run != r.run;
                if newer && may_return {
                    let unchanged = m.run == r.run && m.state == MemberState::Alive && m.address == address;
                    if unchanged && m.accusers.is_empty() {
                        let name = name.clone();
                        if let Some(m) = self.members.get_mut(&name) {
                            m.incarnation = r.incarnation;
                        }
                    } else {
                        let accusers: Vec<Name> = m.accusers.iter().cloned().collect();
                        // The member has refuted its accusers, so each of them gets a refuted claim.
                        if m.run == r.run {
                            self.record_refuted_claims(now, &accusers);
                        }
                        self.set_state(now, &name, address, r.run, r.incarnation, MemberState::Alive);
                    }
                    self.enqueue_update(&name, "");
                }
            }
            MemberState::Suspect | MemberState::Dead | MemberState::Left => {
                let accuser: &str = if r.reported_by.is_empty() { from } else { &r.reported_by };
                let current = r.run == m.run && r.incarnation >= m.incarnation;
                if !current || m.state >= MemberState::Dead {
                    return;
                }
                if !self.is_trusted(now, accuser) || !self.is_trusted(now, from) {
                    self.counts.claims_ignored += 1;
                    return;
                }
                let accuser: Name = Arc::from(accuser);
                self.handle_claim(now, &name, accuser);
            }
        }
    }

    fn handle_update_about_self(&mut self, now: Time, r: &MemberRecord, state: MemberState) {
        let other = r.run != self.run;
        if r.incarnation < self.incarnation
            || state == MemberState::Alive && !other && r.incarnation == self.incarnation
        {
            return;
        }
        self.counts.name_conflicts +=
            u64::from(other && state == MemberState::Alive && r.incarnation > self.incarnation);
        // Either adopts the incarnation that an admitting member assigned, or refutes the claim with a greater one.
        let assigned = state == MemberState::Alive && !other;
        self.incarnation = if assigned { r.incarnation } else { r.incarnation + 1 };
        if state == MemberState::Suspect && !other {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
        let me = self.self_record();
        self.updates.insert(self.name.clone(), (me, 0));
        self.next_gossip = self.next_gossip.min(now + GOSSIP_INTERVAL);
    }

    fn handle_claim(&mut self, now: Time, name: &Name, accuser: Name) {
        let min_s = self.min_suspicion_s();
        let Some(m) = self.members.get_mut(name) else { return };
        let repeated = m.accusers.contains(&accuser);
        if m.accusers.len() < MAX_ACCUSERS {
            m.accusers.insert(accuser);
        }
        if m.state == MemberState::Suspect {
            // An own probe has failed already: another confirmation shortens the timeout.
            if !m.final_probe_sent {
                m.deadline = Some(Self::suspicion_deadline(min_s, m));
            }
            if !repeated && m.accusers.len() <= SUSPICION_CONFIRMATIONS + 1 {
                let own = self.name.clone();
                self.enqueue_update(name, &own);
            }
        } else if !self.verifications.contains_key(name) && !self.to_verify.contains(name) {
            self.to_verify.push_back(name.clone());
            self.start_verifications(now);
        }
    }

    /// Starts direct probes that verify queued claims, a bounded number at a time.
    fn start_verifications(&mut self, now: Time) {
        while self.verifications.len() < MAX_VERIFICATIONS {
            let Some(name) = self.to_verify.pop_front() else { return };
            if self.members.get(&name).is_some_and(|m| m.state == MemberState::Alive) {
                self.seq += 1;
                let timeout = Span::from_millis(self.config.answer_ms);
                self.verifications.insert(name.clone(), (self.seq, Some(now + timeout), now + timeout * 2.0));
                let seq = self.seq;
                self.send_verification(&name, seq);
            }
        }
    }

    /// Sends the claim along with the probe, so that the suspect can refute it to everyone.
    fn send_verification(&mut self, name: &Name, seq: u64) {
        let Some(m) = self.members.get(name) else { return };
        let mut claim = Self::record(name, m, "");
        (claim.state, claim.reported_by) = (MemberState::Suspect as i32, self.name.to_string());
        let mut ping = self.ping();
        ping.seq = seq;
        self.send(name, vec![Payload::Update(claim), Payload::Ping(ping)]);
    }

    /// The minimum suspicion timeout in seconds; updates need time logarithmic in the number of members to spread
    /// (Lifeguard, section 3.4).
    fn min_suspicion_s(&self) -> f64 {
        self.config.suspect_ms as f64 / 1e3 * (self.live() as f64).log10().max(1.0)
    }

    fn suspicion_deadline(min_s: f64, m: &Member) -> Time {
        let max_s = min_s * SUSPICION_MAX_MULT;
        let confirmations = m.accusers.len().saturating_sub(1) as f64;
        let fraction = (confirmations + 1.0).ln() / (SUSPICION_CONFIRMATIONS as f64 + 1.0).ln();
        m.state_since + Span::from_secs_f64((max_s - (max_s - min_s) * fraction).max(min_s))
    }

    /// Records that an own probe of the member has failed.
    fn mark_suspect(&mut self, now: Time, name: &Name) {
        if now < self.suspicion_paused_until {
            return;
        }
        let (own, min_s) = (self.name.clone(), self.min_suspicion_s());
        let Some(m) = self.members.get_mut(name).filter(|m| m.state <= MemberState::Suspect) else { return };
        m.accusers.insert(own.clone());
        if m.state == MemberState::Alive {
            self.counts.suspected += 1;
            m.state = MemberState::Suspect;
            m.state_since = now;
        }
        if !m.final_probe_sent {
            m.deadline = Some(Self::suspicion_deadline(min_s, m));
        }
        self.enqueue_update(name, &own);
    }

    /// Queues the record of a member for gossip.
    fn enqueue_update(&mut self, name: &Name, by: &str) {
        if let Some(m) = self.members.get(name) {
            let record = Self::record(name, m, by);
            self.updates.insert(name.clone(), (record, 0));
        }
    }

    /// Takes updates for one datagram, the least often transmitted first.
    fn take_updates(&mut self, to: &Name, mut room: usize) -> Vec<Payload> {
        let max_transmissions = (RETRANSMIT_MULT * f64::from(self.live() as u32 + 1).log2()).ceil() as u32;
        let mut order: Vec<(u32, Name)> =
            self.updates.iter().map(|(n, (_, sent))| (*sent, n.clone())).collect();
        order.sort_unstable();
        let mut parts = Vec::new();
        for (_, name) in order {
            if parts.len() >= 30 {
                break;
            }
            let Some((record, sent)) = self.updates.get_mut(&name) else { continue };
            let size = record.encoded_len() + 6;
            if name == *to && record.state == MemberState::Alive as i32 || size > room {
                continue;
            }
            room -= size;
            *sent += 1;
            parts.push(Payload::Update(record.clone()));
            if *sent >= max_transmissions {
                self.updates.remove(&name);
            }
        }
        parts
    }

    fn send_with_updates(&mut self, to: &Name, payload: Payload) {
        let mut parts = self.take_updates(to, wire::MAX_PAYLOAD_BYTES - 300);
        parts.push(payload);
        self.send(to, parts);
    }

    // Timers.

    pub fn next_wake(&self) -> Time {
        if self.leaving {
            return self.last_tick + RECONNECT_INTERVAL;
        }
        let mut at = self.next_probe.min(self.next_reconnect);
        if self.probe.as_ref().is_some_and(|p| !p.indirect_sent) {
            at = self.probe.iter().fold(at, |at, p| at.min(p.indirect_at));
        }
        if !self.updates.is_empty() {
            at = at.min(self.next_gossip);
        }
        if self.wants_to_join() && !self.seeds.is_empty() {
            at = at.min(self.next_join);
        }
        let verifications = self
            .verifications
            .values()
            .map(|(_, retransmit_at, fails_at)| retransmit_at.unwrap_or(*fails_at));
        let nacks = self.relayed_probes.values().map(|h| h.nack_at);
        let suspicions = self.members.values().filter_map(|m| m.deadline);
        verifications.chain(nacks).chain(suspicions).fold(at, Time::min)
    }

    /// Called before every input with the time at which the next call was due.
    pub fn detect_pause(&mut self, now: Time, due: Time) {
        if now - due > PAUSE_THRESHOLD {
            self.handle_pause(now, now - due);
        }
    }

    pub fn tick(&mut self, now: Time) {
        self.last_tick = now;
        if self.leaving {
            return;
        }
        if self.wants_to_join() && now >= self.next_join {
            // Decorrelated jitter: between the initial delay and three times the last one.
            let (min_s, max_s) = (JOIN_BACKOFF.0.as_secs_f64(), JOIN_BACKOFF.1.as_secs_f64());
            let wait =
                self.rng.random_range(min_s..=(self.join_backoff.as_secs_f64() * 3.0).max(min_s)).min(max_s);
            self.join_backoff = Span::from_secs_f64(wait);
            self.next_join = now + self.join_backoff;
            let hello = Hello { record: Some(self.self_record()), nonce: 0, joining: true };
            for to in self.seeds.clone() {
                self.outbox.push_back(Envelope { to, to_run: 0, parts: vec![Payload::Hello(hello.clone())] });
            }
        }
        self.tick_relayed_probes(now);
        self.tick_verifications(now);
        self.tick_probe(now);
        self.expire_suspicions(now);
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL * self.rng.random_range(0.8..1.2);
            self.gossip(now);
        }
        if now >= self.next_reconnect {
            self.next_reconnect = now + RECONNECT_INTERVAL * self.rng.random_range(0.8..1.2);
            self.reconnect();
        }
    }

    /// After the process was stopped, pending probes say nothing about other members: they are discarded, and
    /// suspicion timeouts are extended.
    fn handle_pause(&mut self, now: Time, gap: Span) {
        self.probe = None;
        self.verifications.clear();
        self.relayed_probes.clear();
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        self.suspicion_paused_until = now + Span::from_millis(self.config.probe_ms) * 2.0;
        for m in self.members.values_mut() {
            if let Some(at) = &mut m.deadline {
                *at += gap + Span::from_millis(self.config.probe_ms) * 2.0;
            }
        }
    }

    fn tick_verifications(&mut self, now: Time) {
        let is_due = |(_, retransmit_at, fails_at): &(u64, Option<Time>, Time)| {
            retransmit_at.is_some_and(|at| at <= now) || *fails_at <= now
        };
        let due: Vec<Name> =
            self.verifications.iter().filter(|(_, c)| is_due(c)).map(|(n, _)| n.clone()).collect();
        for name in due {
            let Some(check) = self.verifications.get_mut(&name) else { continue };
            if check.2 > now {
                check.1 = None;
                let seq = check.0;
                self.send_verification(&name, seq);
            } else {
                self.verifications.remove(&name);
                self.mark_suspect(now, &name);
                // When many members fail at once, one failure leads on to the next check; the first ack ends the
                // chain.
                let eligible = |n: &Name, m: &Member| {
                    m.state == MemberState::Alive
                        && !self.verifications.contains_key(n)
                        && !self.to_verify.contains(n)
                };
                let others = self.members.iter().filter(|(n, m)| eligible(n, m)).map(|(n, _)| n.clone());
                if let Some(next) = others.choose(&mut self.rng) {
                    self.to_verify.push_back(next);
                }
            }
        }
        self.start_verifications(now);
    }

    fn tick_relayed_probes(&mut self, now: Time) {
        let due: Vec<u64> =
            self.relayed_probes.iter().filter(|(_, h)| h.nack_at <= now).map(|(s, _)| *s).collect();
        for seq in due {
            if let Some(h) = self.relayed_probes.remove(&seq).filter(|h| !h.answered) {
                self.send(&h.requester, vec![Payload::Nack(h.seq)]);
            }
        }
    }

    fn tick_probe(&mut self, now: Time) {
        let slowdown = f64::from(1 + self.health_score);
        if let Some(probe) = &mut self.probe {
            if !probe.indirect_sent && now >= probe.indirect_at && now < probe.fails_at {
                probe.indirect_sent = true;
                let (seq, target) = (probe.seq, probe.target.clone());
                let eligible =
                    self.members.iter().filter(|(n, m)| m.state == MemberState::Alive && **n != target);
                let helpers: Vec<Name> =
                    eligible.map(|(n, _)| n.clone()).choose_multiple(&mut self.rng, INDIRECT_PROBES);
                if let Some(probe) = &mut self.probe {
                    probe.helpers = helpers.clone();
                }
                let request = Payload::PingReq(PingReq { seq, name: target.to_string() });
                for helper in helpers {
                    self.send(&helper, vec![request.clone()]);
                }
            }
            if now >= self.probe.as_ref().map_or(now, |p| p.fails_at)
                && let Some(probe) = self.probe.take()
            {
                self.counts.probes_failed += 1;
                self.last_failed_probe = probe.seq;
                // Helpers that sent not even a nack point to a local problem, unless other members answer. Then these
                // helpers are checked next, since they may have failed together with the target.
                if now - self.last_heard_any > Span::from_millis(self.config.probe_ms) * 2.0 {
                    self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
                }
                for silent in probe.helpers {
                    if !self.verifications.contains_key(&silent) && !self.to_verify.contains(&silent) {
                        self.to_verify.push_back(silent);
                    }
                }
                self.start_verifications(now);
                self.mark_suspect(now, &probe.target);
            }
        }
        if now < self.next_probe {
            return;
        }
        let period = Span::from_millis(self.config.probe_ms) * slowdown;
        self.next_probe = now + period;
        if self.probe.is_some() {
            return;
        }
        while let Some(name) = self.next_probe_target() {
            // A suspect is probed once more when its timeout expires; until then other members are probed.
            if self.members.get(&name).is_none_or(|m| m.state != MemberState::Alive) {
                continue;
            }
            self.counts.probes += 1;
            self.seq += 1;
            let timeout = Span::from_millis(self.config.answer_ms) * slowdown;
            self.probe = Some(Probe {
                seq: self.seq,
                target: name.clone(),
                indirect_at: now + timeout,
                fails_at: now + period * 0.95,
                helpers: Vec::new(),
                indirect_sent: false,
            });
            let seq = self.seq;
            self.send_ping(&name, seq);
            return;
        }
    }

    /// Probes each member once per round, in an order that is shuffled for each round (SWIM, section 4.3).
    fn next_probe_target(&mut self) -> Option<Name> {
        if self.probe_order.is_empty() {
            let eligible = |m: &Member| m.state == MemberState::Alive;
            self.probe_order =
                self.members.iter().filter(|(_, m)| eligible(m)).map(|(n, _)| n.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        self.probe_order.pop()
    }

    fn expire_suspicions(&mut self, now: Time) {
        let expired = |m: &Member| m.state == MemberState::Suspect && m.deadline.is_some_and(|at| at <= now);
        let expired_names: Vec<Name> =
            self.members.iter().filter(|(_, m)| expired(m)).map(|(n, _)| n.clone()).collect();
        for name in expired_names {
            let wait = Span::from_millis(self.config.answer_ms) * 2.0 * f64::from(1 + self.health_score);
            if let Some(m) = self.members.get_mut(&name).filter(|m| !m.final_probe_sent) {
                // Final probe: acks are late on a starved machine, and any packet from the member refutes the
                // suspicion.
                (m.final_probe_sent, m.deadline) = (true, Some(now + wait));
                self.seq += 1;
                let seq = self.seq;
                self.send_verification(&name, seq);
                continue;
            }
            self.counts.declared_dead += 1;
            let m = self.members[&name].clone();
            self.set_state(now, &name, m.address, m.run, m.incarnation, MemberState::Dead);
            let own = self.name.clone();
            self.enqueue_update(&name, &own);
        }
        self.members.retain(|_, m| m.state <= MemberState::Suspect || now - m.state_since < DEAD_RETENTION);
    }

    fn gossip(&mut self, now: Time) {
        for _ in 0..GOSSIP_FANOUT {
            if self.updates.is_empty() || !self.gossip_budget.take(now, wire::MAX_PAYLOAD_BYTES as f64) {
                return;
            }
            let live = self.members.iter().filter(|(_, m)| m.state <= MemberState::Suspect);
            let Some(to) = live.map(|(n, _)| n.clone()).choose(&mut self.rng) else { return };
            let parts = self.take_updates(&to, wire::MAX_PAYLOAD_BYTES - 100);
            self.send(&to, parts);
        }
    }

    /// Contacts a dead member and an unreached seed. Two partitions that have declared each other dead, or a member
    /// that has lost all others, rejoin by it.
    fn reconnect(&mut self) {
        let dead = self.members.iter().filter(|(_, m)| m.state == MemberState::Dead);
        if let Some(name) = dead.map(|(n, _)| n.clone()).choose(&mut self.rng) {
            let claim = Self::record(&name, &self.members[&name], &self.name);
            self.seq += 1;
            let mut ping = self.ping();
            ping.seq = self.seq;
            self.send(&name, vec![Payload::Update(claim), Payload::Ping(ping)]);
        }
        let reached = |seed: &SocketAddr| self.others().any(|(_, m)| m.address == *seed);
        let unreached: Vec<SocketAddr> = self.seeds.iter().copied().filter(|s| !reached(s)).collect();
        if let Some(to) = unreached.into_iter().choose(&mut self.rng) {
            let hello = Hello { record: Some(self.self_record()), nonce: 0, joining: true };
            self.outbox.push_back(Envelope { to, to_run: 0, parts: vec![Payload::Hello(hello)] });
        }
    }

    /// Announces the departure to some members; they gossip it, and the others find out by probes.
    pub fn leave(&mut self) {
        self.leaving = true;
        let live: Vec<Name> = self.others().map(|(n, _)| n.clone()).collect();
        let to = live.into_iter().choose_multiple(&mut self.rng, 32);
        for name in to {
            self.send(&name, vec![Payload::Leave(true)]);
        }
    }

    /// Checks the invariants that hold after every step; for tests.
    pub fn check_invariants(&self) -> Result<(), String> {
        let live = self.others().count();
        if live != self.live {
            return Err(format!("live count is {}, but {live} members are live", self.live));
        }
        if self.members.len() > self.config.most || self.members.contains_key(&self.name) {
            return Err("member table is over its limit or contains this gateway".to_owned());
        }
        for (name, m) in &self.members {
            let own_probe_failed = m.accusers.contains(&self.name);
            if m.state == MemberState::Suspect && (!own_probe_failed || m.deadline.is_none()) {
                return Err(format!("{name} is suspect without a failed probe of this gateway"));
            }
            if m.accusers.len() > MAX_ACCUSERS + 1 {
                return Err(format!("{name} has {} accusers", m.accusers.len()));
            }
        }
        if self.verifications.len() > MAX_VERIFICATIONS || self.relayed_probes.len() > MAX_RELAYED_PROBES {
            return Err("more verifications or relayed probes than allowed".to_owned());
        }
        Ok(())
    }
}
