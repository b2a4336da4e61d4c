//! Who is there: probes, what is said of others, and whom that is believed. Must never hold a member to be gone because
//! another says so: what is claimed is checked by a probe of one's own, and only claims that this bears out count.
//!
//! Sources: SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", DSN 2002) for probes through others, incarnations and news that ride on probes; Lifeguard (Dadgar, Phillips,
//! Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018) for the local health
//! multiplier, nacks, suspicion that shortens with independent confirmations, and telling the suspect first. Departures:
//! a claim is no verdict (one that lies would empty the list), a word to leave counts from the leaver alone, and a probe
//! that a stopped process sent says nothing when it goes on.

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

/// Others that are asked to probe in one's place.
const INDIRECT_PROBES: usize = 3;
/// News are passed on this many times the binary logarithm of the members.
const RETRANSMIT_MULT: f64 = 2.0;
const GOSSIP_INTERVAL: Span = Span::from_millis(200);
const GOSSIP_FANOUT: usize = 3;
/// The local health multiplier's greatest value.
const MAX_HEALTH_SCORE: u32 = 2;
/// Independent accusers that bring the suspicion down to its shortest.
const SUSPICION_CONFIRMATIONS: usize = 3;
/// The longest suspicion is this many times the shortest.
const SUSPICION_MAX_MULT: f64 = 2.0;
/// The host comes so late only when the process was stopped or starved.
const PAUSE_THRESHOLD: Span = Span::from_millis(700);
/// Records of those that are gone are kept, lest old news raise them.
const DEAD_RETENTION: Span = Span::from_millis(60_000);
/// One that is gone, or a seed, is asked this often: two halves find each other again by it.
const RECONNECT_INTERVAL: Span = Span::from_millis(5_000);
/// Tries to join: the first and the longest wait.
const JOIN_BACKOFF: (Span, Span) = (Span::from_millis(200), Span::from_millis(2_000));
/// Claims that are checked at once.
const MAX_VERIFICATIONS: usize = 16;
const MAX_RELAYED_PROBES: usize = 64;
const MAX_ACCUSERS: usize = 8;
/// Claims borne out by nothing, of one accuser, before it is not heard for a while.
const MAX_REFUTED_CLAIMS: u32 = 5;
const IGNORE_ACCUSER_FOR: Span = Span::from_millis(30_000);
/// Bytes a second for lists of members to those that join.
const JOIN_BYTES_PER_S: f64 = 131_072.0;
const CHALLENGES_PER_S: f64 = 500.0;

/// Bytes a second, saved up for one second.
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

/// What is to be sent to a member, or to an address of which nothing is known yet.
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
    /// Who says that it does not answer, oneself among them once one's own probe failed.
    accusers: BTreeSet<Name>,
    deadline: Option<Time>,
    /// The suspicion is over, and it was asked once more.
    final_probe_sent: bool,
    replay_window: ReplayWindow,
    /// It has named this start of ours.
    pub knows_our_run: bool,
    /// What it said of its list, and when.
    pub list: Option<(Time, Heartbeat)>,
}

#[derive(Debug)]
struct Probe {
    seq: u64,
    target: Name,
    /// When others are asked, and when it has failed.
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
    /// Held to be gone, and then heard from again under the same run.
    pub falsely_dead: u64,
    pub claims_refuted: u64,
    pub claims_ignored: u64,
    pub replays: u64,
    pub challenges_sent: u64,
    pub name_conflicts: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The sender is known by this run and says something new.
    Accepted,
    /// Only its challenge may be looked at.
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
    /// By its number, when it is repeated once, and when it has failed.
    verifications: BTreeMap<Name, (u64, Option<Time>, Time)>,
    to_verify: VecDeque<Name>,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    health_score: u32,
    /// When any member was last heard, and the last probe that failed: an answer that still comes to it was late
    /// here rather than there.
    last_heard_any: Time,
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
    /// What is said of oneself with probes.
    pub list: Option<Heartbeat>,
    leaving: bool,
    /// Counts changes of who is there.
    pub version: u64,
    /// When that last grew.
    pub last_growth: Time,
    live: usize,
    pub counts: Counts,
    pub outbox: VecDeque<Envelope>,
}

impl Members {
    pub fn new(file: &settings::Fleet, run: u64, seed: u64, now: Time) -> Members {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (secret, early) = (rng.random(), rng.random_range(0.0..1.0));
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
            next_probe: now + period * early,
            verifications: BTreeMap::new(),
            to_verify: VecDeque::new(),
            relayed_probes: BTreeMap::new(),
            health_score: 0,
            last_heard_any: now,
            last_failed_probe: 0,
            updates: BTreeMap::new(),
            next_gossip: now + GOSSIP_INTERVAL * early,
            next_reconnect: now + RECONNECT_INTERVAL * (1.0 + early),
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

    /// Live ones apart from oneself; those under suspicion are among them.
    pub fn others(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter().filter(|(_, k)| k.state <= MemberState::Suspect)
    }

    /// Live ones and oneself.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.others().map(|(n, _)| &**n).chain([&*self.name])
    }

    /// All that are live or were of late, oneself among them.
    pub fn recent_names(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(|n| &**n).chain([&*self.name])
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// How many are live, oneself among them.
    pub fn live(&self) -> usize {
        self.live + 1
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Another gateway was heard, or there is none to hear.
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

    fn record(name: &Name, k: &Member, reported_by: &str) -> MemberRecord {
        let (ip, port) = wire::ipv4_and_port(k.address);
        let reported_by = if k.state == MemberState::Alive { "" } else { reported_by };
        let (run, incarnation, state) = (k.run, k.incarnation, k.state as i32);
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

    /// Sends to a member that is known. One's own record goes first where it may not know the sender yet.
    pub fn send(&mut self, to: &str, mut parts: Vec<Payload>) {
        if let Some(k) = self.members.get(to) {
            if !k.knows_our_run {
                parts.insert(0, Payload::Update(self.self_record()));
            }
            self.outbox.push_back(Envelope { to: k.address, to_run: k.run, parts });
        }
    }

    /// Same members, same incarnations: same number.
    fn digest(&self) -> u64 {
        let one =
            |name: &str, run: u64, inc: u64| xxh3_64_with_seed(name.as_bytes(), run ^ inc.rotate_left(32));
        let others = self.others().map(|(n, k)| one(n, k.run, k.incarnation));
        others.fold(one(&self.name, self.run, self.incarnation), |all, h| all ^ h)
    }

    fn ping(&mut self) -> Ping {
        let (incarnation, members_digest) = (self.incarnation, self.digest());
        Ping { seq: 0, incarnation, members_digest, list: self.list.clone() }
    }

    fn nonce(&self, now: Time, name: &str, run: u64, back: u64) -> u64 {
        let slot = (now.as_micros() / 10_000_000).saturating_sub(back);
        xxh3_64_with_seed(name.as_bytes(), self.secret ^ run ^ slot.rotate_left(40)).max(1)
    }

    // What comes in.

    /// Looks at who sends before anything of it is believed.
    pub fn receive(&mut self, now: Time, from: SocketAddr, packet: &Packet) -> Disposition {
        let own_name = *packet.from == *self.name;
        if own_name || packet.to_run != self.run && packet.to_run != 0 {
            self.counts.name_conflicts += u64::from(own_name && packet.run != self.run);
            if !own_name {
                // It knows an earlier start of ours: by this word it learns of the present one.
                self.challenge(now, from, packet);
            }
            return Disposition::Dropped;
        }
        if let Some(k) = self.members.get_mut(&*packet.from)
            && k.run == packet.run
        {
            if packet.to_run == 0 {
                // It does not know this gateway's run yet; what it says may be old.
                self.challenge(now, from, packet);
                return Disposition::Dropped;
            }
            if !k.replay_window.accept(packet.number) {
                self.counts.replays += 1;
                return Disposition::Dropped;
            }
            k.knows_our_run = true;
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
        // Only who has heard this start of ours can name its run; a name that is known by another run has to prove more.
        let fresh = packet.to_run == self.run && (proven || !self.members.contains_key(&*packet.from));
        match own {
            Some(own) if fresh && own.run == packet.run => {
                let sure = self.admit(now, own);
                if let Some(k) = sure.then(|| self.members.get_mut(&*packet.from)).flatten() {
                    _ = k.replay_window.accept(packet.number);
                    k.knows_our_run = true;
                    return Disposition::Accepted;
                }
                Disposition::Dropped
            }
            _ => {
                let asks = packet.parts.iter().any(|p| matches!(p.payload, Some(Payload::Challenge(_))));
                if asks {
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

    /// A start that has proven to be live: it stands, whatever was said of the name before.
    fn admit(&mut self, now: Time, record: &MemberRecord) -> bool {
        let Some(address) = record.address() else { return false };
        let before = self.members.get(&*record.name);
        if before.is_none() && self.members.len() >= self.config.most {
            return false;
        }
        let least = before.map_or(1, |k| k.incarnation + 1);
        let incarnation = record.incarnation.max(least);
        let name: Name = Arc::from(record.name.as_str());
        self.set_state(now, &name, address, record.run, incarnation, MemberState::Alive);
        self.enqueue_update(&name, "");
        if incarnation > record.incarnation {
            // It comes back under a number that is greater than all that was said of it.
            let told = Self::record(&name, &self.members[&name], "");
            self.send(&name, vec![Payload::Update(told)]);
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
        let was_live = before.is_some_and(|k| k.state <= MemberState::Suspect);
        let same = before.filter(|k| k.run == run);
        if same.is_some_and(|k| k.state == MemberState::Dead) && state == MemberState::Alive {
            self.counts.falsely_dead += 1;
        }
        let replay_window = same.map(|k| k.replay_window).unwrap_or_default();
        let list = same.and_then(|k| k.list.clone());
        let knows_our_run = same.is_some_and(|k| k.knows_our_run);
        let known = Member {
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
        self.members.insert(name.clone(), known);
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

    /// It was heard itself: whoever said otherwise was wrong.
    fn mark_alive(&mut self, now: Time, name: &str) {
        let Some(k) = self.members.get(name) else { return };
        if k.state == MemberState::Left {
            return;
        }
        let held: Vec<Name> = k.accusers.iter().cloned().collect();
        if k.state == MemberState::Alive && held.is_empty() {
            return;
        }
        let (name, k): (Name, Member) = (Arc::from(name), k.clone());
        self.record_refuted_claims(now, &held);
        self.set_state(now, &name, k.address, k.run, k.incarnation, MemberState::Alive);
        self.verifications.remove(&name);
        self.to_verify.retain(|n| *n != name);
    }

    fn record_refuted_claims(&mut self, now: Time, accusers: &[Name]) {
        for accuser in accusers.iter().filter(|a| **a != self.name) {
            self.counts.claims_refuted += 1;
            let strikes = self.refuted_claims.entry(accuser.clone()).or_insert((0, now));
            *strikes = (strikes.0 + 1, now);
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

    /// One part of a packet whose sender is known by its run.
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
                if let Some(k) = self.members.get(from).cloned() {
                    self.set_state(now, from, k.address, k.run, k.incarnation, MemberState::Left);
                    let by = from.clone();
                    self.enqueue_update(from, &by);
                }
            }
            _ => {}
        }
    }

    /// A challenge by one that does not know this start yet.
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
        // Who answers is told first, so that the joiner takes what follows.
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

    /// A part of all that is known, the next one each time.
    fn send_sync_page(&mut self, to: &Name) {
        let mut parts = Vec::new();
        let mut room = wire::MAX_PAYLOAD_BYTES;
        let start = self.sync_cursor.clone();
        let behind = self.members.iter().filter(|(n, _)| start.as_ref().is_none_or(|s| *n > s));
        let before = self.members.iter().filter(|(n, _)| start.as_ref().is_some_and(|s| *n <= s));
        for (name, k) in behind.chain(before) {
            if name == to {
                continue;
            }
            let record = Self::record(name, k, &self.name);
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

    /// The other knows something else: a part of what is known here goes there, within its bytes.
    fn sync_if_diverged(&mut self, now: Time, from: &Name, digest: u64) {
        if digest != self.digest() && self.gossip_budget.take(now, wire::MAX_PAYLOAD_BYTES as f64) {
            self.send_sync_page(from);
        }
    }

    fn update_from_ping(&mut self, now: Time, from: &Name, ping: &Ping) {
        if let Some(k) = self.members.get_mut(from) {
            k.list = ping.list.clone().map(|list| (now, list));
            if ping.incarnation > k.incarnation {
                k.incarnation = ping.incarnation;
            }
        }
    }

    fn handle_ack(&mut self, now: Time, from: &Name, ack: &Ping) {
        if let Some(helping) = self.relayed_probes.get_mut(&ack.seq)
            && helping.target == *from
            && !helping.answered
        {
            helping.answered = true;
            let (to, seq) = (helping.requester.clone(), helping.seq);
            let mut passed = ack.clone();
            // What the other says of its list is not the helper's.
            (passed.seq, passed.list) = (seq, None);
            self.send(&to, vec![Payload::Ack(passed)]);
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
            // Through another it lives, too.
            self.mark_alive(now, &target);
            self.probe = None;
            self.health_score = self.health_score.saturating_sub(1);
        }
    }

    fn handle_ping_req(&mut self, now: Time, from: &Name, wanted: &PingReq) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || !self.members.contains_key(&*wanted.name) {
            return;
        }
        self.seq += 1;
        let target: Name = Arc::from(wanted.name.as_str());
        let nack_at = now + Span::from_millis(self.config.answer_ms) * 0.8;
        let seq = self.seq;
        let helping = RelayedProbe {
            target: target.clone(),
            requester: from.clone(),
            seq: wanted.seq,
            nack_at,
            answered: false,
        };
        self.relayed_probes.insert(seq, helping);
        self.send_ping(&target, seq);
    }

    fn send_ping(&mut self, to: &Name, seq: u64) {
        let mut ping = self.ping();
        ping.seq = seq;
        self.send_with_updates(to, Payload::Ping(ping));
    }

    /// What is said of one, by one that need not tell the truth.
    fn handle_update(&mut self, now: Time, from: &Name, r: &MemberRecord) {
        let Ok(state) = MemberState::try_from(r.state) else { return };
        if r.name == *self.name {
            return self.handle_update_about_self(now, r, state);
        }
        let Some(address) = r.address() else { return };
        let name: Name = Arc::from(r.name.as_str());
        let Some(k) = self.members.get(&name) else {
            if state == MemberState::Alive && self.members.len() < self.config.most {
                self.set_state(now, &name, address, r.run, r.incarnation, MemberState::Alive);
                self.enqueue_update(&name, "");
            }
            return;
        };
        match state {
            MemberState::Alive => {
                let newer = r.incarnation > k.incarnation;
                // One that said itself that it leaves comes back by a new start alone.
                let back = k.state != MemberState::Left || k.run != r.run;
                if newer && back {
                    let known = k.run == r.run && k.state == MemberState::Alive && k.address == address;
                    if known && k.accusers.is_empty() {
                        let name = name.clone();
                        if let Some(k) = self.members.get_mut(&name) {
                            k.incarnation = r.incarnation;
                        }
                    } else {
                        let accusers: Vec<Name> = k.accusers.iter().cloned().collect();
                        // It has answered them; only who saw nothing of its own was wrong.
                        if k.run == r.run {
                            self.record_refuted_claims(now, &accusers);
                        }
                        self.set_state(now, &name, address, r.run, r.incarnation, MemberState::Alive);
                    }
                    self.enqueue_update(&name, "");
                }
            }
            MemberState::Suspect | MemberState::Dead | MemberState::Left => {
                let accuser: &str = if r.reported_by.is_empty() { from } else { &r.reported_by };
                let of_now = r.run == k.run && r.incarnation >= k.incarnation;
                if !of_now || k.state >= MemberState::Dead {
                    return;
                }
                if !self.is_trusted(now, accuser) || !self.is_trusted(now, from) {
                    self.counts.claims_ignored += 1;
                    return;
                }
                let by: Name = Arc::from(accuser);
                self.handle_claim(now, &name, by);
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
        // Raised by who admitted it, or refuted.
        let told = state == MemberState::Alive && !other;
        self.incarnation = if told { r.incarnation } else { r.incarnation + 1 };
        if state == MemberState::Suspect && !other {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
        let me = self.self_record();
        self.updates.insert(self.name.clone(), (me, 0));
        self.next_gossip = self.next_gossip.min(now + GOSSIP_INTERVAL);
    }

    fn handle_claim(&mut self, now: Time, name: &Name, by: Name) {
        let least = self.min_suspicion_s();
        let Some(k) = self.members.get_mut(name) else { return };
        let known = k.accusers.contains(&by);
        if k.accusers.len() < MAX_ACCUSERS {
            k.accusers.insert(by);
        }
        if k.state == MemberState::Suspect {
            // Borne out already by a probe of one's own: another confirmation shortens the wait.
            if !k.final_probe_sent {
                k.deadline = Some(Self::suspicion_deadline(least, k));
            }
            if !known && k.accusers.len() <= SUSPICION_CONFIRMATIONS + 1 {
                let own = self.name.clone();
                self.enqueue_update(name, &own);
            }
        } else if !self.verifications.contains_key(name) && !self.to_verify.contains(name) {
            self.to_verify.push_back(name.clone());
            self.start_verifications(now);
        }
    }

    /// Claims become probes of one's own, a bounded number at once.
    fn start_verifications(&mut self, now: Time) {
        while self.verifications.len() < MAX_VERIFICATIONS {
            let Some(name) = self.to_verify.pop_front() else { return };
            if self.members.get(&name).is_some_and(|k| k.state == MemberState::Alive) {
                self.seq += 1;
                let answer = Span::from_millis(self.config.answer_ms);
                self.verifications.insert(name.clone(), (self.seq, Some(now + answer), now + answer * 2.0));
                let seq = self.seq;
                self.send_verification(&name, seq);
            }
        }
    }

    /// The suspect hears of the claim with the probe, so that it can answer to all.
    fn send_verification(&mut self, name: &Name, seq: u64) {
        let Some(k) = self.members.get(name) else { return };
        let mut claim = Self::record(name, k, "");
        (claim.state, claim.reported_by) = (MemberState::Suspect as i32, self.name.to_string());
        let mut ping = self.ping();
        ping.seq = seq;
        self.send(name, vec![Payload::Update(claim), Payload::Ping(ping)]);
    }

    /// The shortest suspicion in seconds: news need the logarithm of the members to come round (Lifeguard, section 3.4).
    fn min_suspicion_s(&self) -> f64 {
        self.config.suspect_ms as f64 / 1e3 * (self.live() as f64).log10().max(1.0)
    }

    fn suspicion_deadline(least: f64, k: &Member) -> Time {
        let most = least * SUSPICION_MAX_MULT;
        let others = k.accusers.len().saturating_sub(1) as f64;
        let part = (others + 1.0).ln() / (SUSPICION_CONFIRMATIONS as f64 + 1.0).ln();
        k.state_since + Span::from_secs_f64((most - (most - least) * part).max(least))
    }

    /// A probe of one's own has failed.
    fn mark_suspect(&mut self, now: Time, name: &Name) {
        if now < self.suspicion_paused_until {
            return;
        }
        let (own, least) = (self.name.clone(), self.min_suspicion_s());
        let Some(k) = self.members.get_mut(name).filter(|k| k.state <= MemberState::Suspect) else { return };
        k.accusers.insert(own.clone());
        if k.state == MemberState::Alive {
            self.counts.suspected += 1;
            k.state = MemberState::Suspect;
            k.state_since = now;
        }
        if !k.final_probe_sent {
            k.deadline = Some(Self::suspicion_deadline(least, k));
        }
        self.enqueue_update(name, &own);
    }

    /// Queues what is known of one for the others.
    fn enqueue_update(&mut self, name: &Name, by: &str) {
        if let Some(k) = self.members.get(name) {
            let record = Self::record(name, k, by);
            self.updates.insert(name.clone(), (record, 0));
        }
    }

    /// Takes news for one datagram, those told least first.
    fn take_updates(&mut self, to: &Name, mut room: usize) -> Vec<Payload> {
        let often = (RETRANSMIT_MULT * f64::from(self.live() as u32 + 1).log2()).ceil() as u32;
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
            if *sent >= often {
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

    // What time brings.

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
        let checks = self.verifications.values().map(|(_, again, until)| again.unwrap_or(*until));
        let helps = self.relayed_probes.values().map(|h| h.nack_at);
        let ends = self.members.values().filter_map(|k| k.deadline);
        checks.chain(helps).chain(ends).fold(at, Time::min)
    }

    /// The host comes now, and was to come at `due`.
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
            // Decorrelated: between the first wait and three times the last one.
            let (least, most) = (JOIN_BACKOFF.0.as_secs_f64(), JOIN_BACKOFF.1.as_secs_f64());
            let wait =
                self.rng.random_range(least..=(self.join_backoff.as_secs_f64() * 3.0).max(least)).min(most);
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

    /// Guards others from a process that was stopped: what it did not hear while it stood says nothing of them.
    fn handle_pause(&mut self, now: Time, gap: Span) {
        self.probe = None;
        self.verifications.clear();
        self.relayed_probes.clear();
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        self.suspicion_paused_until = now + Span::from_millis(self.config.probe_ms) * 2.0;
        for k in self.members.values_mut() {
            if let Some(at) = &mut k.deadline {
                *at += gap + Span::from_millis(self.config.probe_ms) * 2.0;
            }
        }
    }

    fn tick_verifications(&mut self, now: Time) {
        let due = |(_, again, until): &(u64, Option<Time>, Time)| {
            again.is_some_and(|at| at <= now) || *until <= now
        };
        let over: Vec<Name> =
            self.verifications.iter().filter(|(_, c)| due(c)).map(|(n, _)| n.clone()).collect();
        for name in over {
            let Some(check) = self.verifications.get_mut(&name) else { continue };
            if check.2 > now {
                check.1 = None;
                let seq = check.0;
                self.send_verification(&name, seq);
            } else {
                self.verifications.remove(&name);
                self.mark_suspect(now, &name);
                // Where many die at once one that is gone leads to others; the first answer ends the row.
                let fit = |n: &Name, k: &Member| {
                    k.state == MemberState::Alive
                        && !self.verifications.contains_key(n)
                        && !self.to_verify.contains(n)
                };
                let others = self.members.iter().filter(|(n, k)| fit(n, k)).map(|(n, _)| n.clone());
                if let Some(next) = others.choose(&mut self.rng) {
                    self.to_verify.push_back(next);
                }
            }
        }
        self.start_verifications(now);
    }

    fn tick_relayed_probes(&mut self, now: Time) {
        let over: Vec<u64> =
            self.relayed_probes.iter().filter(|(_, h)| h.nack_at <= now).map(|(s, _)| *s).collect();
        for seq in over {
            if let Some(h) = self.relayed_probes.remove(&seq).filter(|h| !h.answered) {
                self.send(&h.requester, vec![Payload::Nack(h.seq)]);
            }
        }
    }

    fn tick_probe(&mut self, now: Time) {
        let slower = f64::from(1 + self.health_score);
        if let Some(probe) = &mut self.probe {
            if !probe.indirect_sent && now >= probe.indirect_at && now < probe.fails_at {
                probe.indirect_sent = true;
                let (seq, target) = (probe.seq, probe.target.clone());
                let fit = self.members.iter().filter(|(n, k)| k.state == MemberState::Alive && **n != target);
                let helpers: Vec<Name> =
                    fit.map(|(n, _)| n.clone()).choose_multiple(&mut self.rng, INDIRECT_PROBES);
                if let Some(probe) = &mut self.probe {
                    probe.helpers = helpers.clone();
                }
                let ask = Payload::PingReq(PingReq { seq, name: target.to_string() });
                for helper in helpers {
                    self.send(&helper, vec![ask.clone()]);
                }
            }
            if now >= self.probe.as_ref().map_or(now, |p| p.fails_at)
                && let Some(probe) = self.probe.take()
            {
                self.counts.probes_failed += 1;
                self.last_failed_probe = probe.seq;
                // Helpers that did not even say that they are there speak against one's own state.
                // Helpers that did not even say that they are there speak against one's own state, unless others answer:
                // then these are looked at next, since where many die at once their helpers have died, too.
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
        let period = Span::from_millis(self.config.probe_ms) * slower;
        self.next_probe = now + period;
        if self.probe.is_some() {
            return;
        }
        while let Some(name) = self.next_probe_target() {
            // One under suspicion is asked once more at its end; till then others are looked at.
            if self.members.get(&name).is_none_or(|k| k.state != MemberState::Alive) {
                continue;
            }
            self.counts.probes += 1;
            self.seq += 1;
            let answer = Span::from_millis(self.config.answer_ms) * slower;
            self.probe = Some(Probe {
                seq: self.seq,
                target: name.clone(),
                indirect_at: now + answer,
                fails_at: now + period * 0.95,
                helpers: Vec::new(),
                indirect_sent: false,
            });
            let seq = self.seq;
            self.send_ping(&name, seq);
            return;
        }
    }

    /// Each one once in a round, in an order drawn anew each time (SWIM, section 4.3).
    fn next_probe_target(&mut self) -> Option<Name> {
        if self.probe_order.is_empty() {
            let fit = |k: &Member| k.state == MemberState::Alive;
            self.probe_order = self.members.iter().filter(|(_, k)| fit(k)).map(|(n, _)| n.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        self.probe_order.pop()
    }

    fn expire_suspicions(&mut self, now: Time) {
        let over = |k: &Member| k.state == MemberState::Suspect && k.deadline.is_some_and(|at| at <= now);
        let gone: Vec<Name> = self.members.iter().filter(|(_, k)| over(k)).map(|(n, _)| n.clone()).collect();
        for name in gone {
            let wait = Span::from_millis(self.config.answer_ms) * 2.0 * f64::from(1 + self.health_score);
            if let Some(k) = self.members.get_mut(&name).filter(|k| !k.final_probe_sent) {
                // A last word from here: on a starved machine an answer is late, and any sign of it is enough.
                (k.final_probe_sent, k.deadline) = (true, Some(now + wait));
                self.seq += 1;
                let seq = self.seq;
                self.send_verification(&name, seq);
                continue;
            }
            self.counts.declared_dead += 1;
            let k = self.members[&name].clone();
            self.set_state(now, &name, k.address, k.run, k.incarnation, MemberState::Dead);
            let own = self.name.clone();
            self.enqueue_update(&name, &own);
        }
        self.members.retain(|_, k| k.state <= MemberState::Suspect || now - k.state_since < DEAD_RETENTION);
    }

    fn gossip(&mut self, now: Time) {
        for _ in 0..GOSSIP_FANOUT {
            if self.updates.is_empty() || !self.gossip_budget.take(now, wire::MAX_PAYLOAD_BYTES as f64) {
                return;
            }
            let live = self.members.iter().filter(|(_, k)| k.state <= MemberState::Suspect);
            let Some(to) = live.map(|(n, _)| n.clone()).choose(&mut self.rng) else { return };
            let parts = self.take_updates(&to, wire::MAX_PAYLOAD_BYTES - 100);
            self.send(&to, parts);
        }
    }

    /// Two halves that hold each other to be gone find together again by this, and so does one that lost all.
    fn reconnect(&mut self) {
        let gone = self.members.iter().filter(|(_, k)| k.state == MemberState::Dead);
        if let Some(name) = gone.map(|(n, _)| n.clone()).choose(&mut self.rng) {
            let claim = Self::record(&name, &self.members[&name], &self.name);
            self.seq += 1;
            let mut ping = self.ping();
            ping.seq = self.seq;
            self.send(&name, vec![Payload::Update(claim), Payload::Ping(ping)]);
        }
        let known = |seed: &SocketAddr| self.others().any(|(_, k)| k.address == *seed);
        let lost: Vec<SocketAddr> = self.seeds.iter().copied().filter(|s| !known(s)).collect();
        if let Some(to) = lost.into_iter().choose(&mut self.rng) {
            let hello = Hello { record: Some(self.self_record()), nonce: 0, joining: true };
            self.outbox.push_back(Envelope { to, to_run: 0, parts: vec![Payload::Hello(hello)] });
        }
    }

    /// Says so to some; they pass it on, and the others find it out by a probe.
    pub fn leave(&mut self) {
        self.leaving = true;
        let live: Vec<Name> = self.others().map(|(n, _)| n.clone()).collect();
        let to = live.into_iter().choose_multiple(&mut self.rng, 32);
        for name in to {
            self.send(&name, vec![Payload::Leave(true)]);
        }
    }

    /// The rules that have to hold after every step; for tests.
    pub fn check_invariants(&self) -> Result<(), String> {
        let live = self.others().count();
        if live != self.live {
            return Err(format!("{} counted as live, {live} are", self.live));
        }
        if self.members.len() > self.config.most || self.members.contains_key(&self.name) {
            return Err("too many, or itself among the others".to_owned());
        }
        for (name, k) in &self.members {
            let own = k.accusers.contains(&self.name);
            if k.state == MemberState::Suspect && (!own || k.deadline.is_none()) {
                return Err(format!("{name} is suspected without a failed probe of one's own"));
            }
            if k.accusers.len() > MAX_ACCUSERS + 1 {
                return Err(format!("{name} has {} accusers", k.accusers.len()));
            }
        }
        if self.verifications.len() > MAX_VERIFICATIONS || self.relayed_probes.len() > MAX_RELAYED_PROBES {
            return Err("more checks or helps than their bound".to_owned());
        }
        Ok(())
    }
}
