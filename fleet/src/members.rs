//! Who is there: probes, what is said of others, and whom that is believed. Must never hold a member to be gone because
//! another says so: what is claimed is checked by a probe of one's own, and only claims that this bears out count.
//!
//! Sources: SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol", DSN 2002) for probes through others, incarnations and news that ride on probes; Lifeguard (Dadgar, Phillips,
//! Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018) for the local health
//! multiplier, nacks, suspicion that shortens with independent confirmations, and telling the suspect first. Departures:
//! a claim is no verdict (one that lies would empty the list), a word to leave counts from the leaver alone, and a probe
//! that a stopped process sent says nothing when it goes on.

use crate::seal::Window;
use crate::settings;
use crate::wire::{self, Hello, Packet, Ping, PingFor, Pulse, Record, Said, Standing};
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
const HELPERS: usize = 3;
/// News are passed on this many times the binary logarithm of the members.
const TOLD: f64 = 2.0;
const GOSSIP_EVERY: Span = Span::from_millis(200);
const GOSSIP_TO: usize = 3;
/// The local health multiplier's greatest value.
const MOST_STRAIN: u32 = 2;
/// Independent accusers that bring the suspicion down to its shortest.
const CONFIRMED: usize = 3;
/// The longest suspicion is this many times the shortest.
const LONGEST: f64 = 2.0;
/// The host comes so late only when the process was stopped or starved.
const STOPPED: Span = Span::from_millis(700);
/// Records of those that are gone are kept, lest old news raise them.
const REMEMBERED: Span = Span::from_millis(60_000);
/// One that is gone, or a seed, is asked this often: two halves find each other again by it.
const SEEK_EVERY: Span = Span::from_millis(5_000);
/// Tries to join: the first and the longest wait.
const JOIN_WAITS: (Span, Span) = (Span::from_millis(200), Span::from_millis(2_000));
/// Claims that are checked at once.
const MOST_CHECKS: usize = 16;
const MOST_HELPING: usize = 64;
const MOST_ACCUSERS: usize = 8;
/// Claims borne out by nothing, of one accuser, before it is not heard for a while.
const MOST_STRIKES: u32 = 5;
const NOT_HEARD: Span = Span::from_millis(30_000);
/// Bytes a second for lists of members to those that join.
const JOIN_BYTES: f64 = 131_072.0;
const CHALLENGES_A_SECOND: f64 = 500.0;

/// Bytes a second, saved up for one second.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    has: f64,
    at: Time,
}

impl Bucket {
    pub fn new(rate: f64, now: Time) -> Bucket {
        Bucket { rate, has: rate, at: now }
    }

    pub fn take(&mut self, now: Time, n: f64) -> bool {
        self.has = (self.has + (now - self.at).as_secs_f64() * self.rate).min(self.rate.max(1.0));
        self.at = now;
        let enough = self.has >= n;
        if enough {
            self.has -= n;
        }
        enough
    }
}

/// What is to be sent to a member, or to an address of which nothing is known yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Letter {
    pub to: SocketAddr,
    pub to_run: u64,
    pub parts: Vec<Said>,
}

#[derive(Clone, Debug)]
pub struct Known {
    pub address: SocketAddr,
    pub run: u64,
    pub incarnation: u64,
    pub standing: Standing,
    since: Time,
    /// Who says that it does not answer, oneself among them once one's own probe failed.
    accusers: BTreeSet<Name>,
    deadline: Option<Time>,
    /// The suspicion is over, and it was asked once more.
    asked_last: bool,
    window: Window,
    /// It has named this start of ours.
    pub knows_us: bool,
    /// What it said of its list, and when.
    pub list: Option<(Time, Pulse)>,
}

#[derive(Debug)]
struct Probe {
    seq: u64,
    target: Name,
    /// When others are asked, and when it has failed.
    helped_at: Time,
    ends: Time,
    helpers: Vec<Name>,
    asked: bool,
}

#[derive(Debug)]
struct Helping {
    target: Name,
    to: Name,
    seq: u64,
    nack_at: Time,
    done: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub probes: u64,
    pub failed: u64,
    pub suspected: u64,
    pub gone: u64,
    /// Held to be gone, and then heard from again under the same run.
    pub falsely_gone: u64,
    pub claims_refuted: u64,
    pub not_heard: u64,
    pub replays: u64,
    pub challenged: u64,
    pub twins: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The sender is known by this run and says something new.
    Good,
    /// Only its challenge may be looked at.
    Stranger,
    Dropped,
}

pub struct Members {
    pub name: Name,
    address: SocketAddr,
    pub run: u64,
    incarnation: u64,
    set: settings::Members,
    seeds: Vec<SocketAddr>,
    all: BTreeMap<Name, Known>,
    rng: Pcg64Mcg,
    secret: u64,
    seq: u64,
    order: Vec<Name>,
    probe: Option<Probe>,
    next_probe: Time,
    /// By its number, when it is repeated once, and when it has failed.
    checks: BTreeMap<Name, (u64, Option<Time>, Time)>,
    to_check: VecDeque<Name>,
    helping: BTreeMap<u64, Helping>,
    strain: u32,
    /// When any member was last heard, and the last probe that failed: an answer that still comes to it was late
    /// here rather than there.
    answered: Time,
    failed: u64,
    news: BTreeMap<Name, (Record, u32)>,
    next_gossip: Time,
    next_seek: Time,
    next_join: Time,
    join_wait: Span,
    strikes: BTreeMap<Name, (u32, Time)>,
    news_bytes: Bucket,
    join_bytes: Bucket,
    challenges: Bucket,
    cursor: Option<Name>,
    last_tick: Time,
    calm_until: Time,
    /// What is said of oneself with probes.
    pub list: Option<Pulse>,
    leaving: bool,
    /// Counts changes of who is there.
    pub version: u64,
    /// When that last grew.
    pub grew: Time,
    live: usize,
    pub counts: Counts,
    pub out: VecDeque<Letter>,
}

impl Members {
    pub fn new(file: &settings::Fleet, run: u64, seed: u64, now: Time) -> Members {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (secret, early) = (rng.random(), rng.random_range(0.0..1.0));
        let set = file.members.clone();
        let period = Span::from_millis(set.probe_ms);
        Members {
            name: Arc::from(file.gateway.as_str()),
            address: file.reached(),
            run: run.max(1),
            incarnation: 1,
            seeds: file.seeds.iter().copied().filter(|s| *s != file.reached()).collect(),
            all: BTreeMap::new(),
            rng,
            secret,
            seq: 0,
            order: Vec::new(),
            probe: None,
            next_probe: now + period * early,
            checks: BTreeMap::new(),
            to_check: VecDeque::new(),
            helping: BTreeMap::new(),
            strain: 0,
            answered: now,
            failed: 0,
            news: BTreeMap::new(),
            next_gossip: now + GOSSIP_EVERY * early,
            next_seek: now + SEEK_EVERY * (1.0 + early),
            next_join: now,
            join_wait: JOIN_WAITS.0,
            strikes: BTreeMap::new(),
            news_bytes: Bucket::new(set.news_bytes as f64, now),
            join_bytes: Bucket::new(JOIN_BYTES, now),
            challenges: Bucket::new(CHALLENGES_A_SECOND, now),
            cursor: None,
            last_tick: now,
            calm_until: now,
            list: None,
            leaving: false,
            version: 0,
            grew: now,
            live: 0,
            counts: Counts::default(),
            out: VecDeque::new(),
            set,
        }
    }

    /// Live ones apart from oneself; those under suspicion are among them.
    pub fn others(&self) -> impl Iterator<Item = (&Name, &Known)> {
        self.all.iter().filter(|(_, k)| k.standing <= Standing::Suspect)
    }

    /// Live ones and oneself.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.others().map(|(n, _)| &**n).chain([&*self.name])
    }

    /// All that are live or were of late, oneself among them.
    pub fn names_of_late(&self) -> impl Iterator<Item = &str> {
        self.all.keys().map(|n| &**n).chain([&*self.name])
    }

    pub fn get(&self, name: &str) -> Option<&Known> {
        self.all.get(name)
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
            ("fleet members known", self.all.len()),
            ("fleet members live", self.live()),
            ("fleet news", self.news.len()),
            ("fleet claims", self.checks.len() + self.to_check.len()),
            ("fleet accusers", self.strikes.len()),
        ]
    }

    pub fn me(&self) -> Record {
        let (ip, port) = wire::place(self.address);
        Record {
            name: self.name.to_string(),
            ip,
            port,
            run: self.run,
            incarnation: self.incarnation,
            standing: Standing::Alive as i32,
            by: String::new(),
        }
    }

    fn record(name: &Name, k: &Known, by: &str) -> Record {
        let (ip, port) = wire::place(k.address);
        let by = if k.standing == Standing::Alive { "" } else { by };
        let (run, incarnation, standing) = (k.run, k.incarnation, k.standing as i32);
        Record { name: name.to_string(), ip, port, run, incarnation, standing, by: by.to_owned() }
    }

    /// Sends to a member that is known. One's own record goes first where it may not know the sender yet.
    pub fn send(&mut self, to: &str, mut parts: Vec<Said>) {
        if let Some(k) = self.all.get(to) {
            if !k.knows_us {
                parts.insert(0, Said::News(self.me()));
            }
            self.out.push_back(Letter { to: k.address, to_run: k.run, parts });
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
        let (incarnation, known) = (self.incarnation, self.digest());
        Ping { seq: 0, incarnation, known, list: self.list.clone() }
    }

    fn nonce(&self, now: Time, name: &str, run: u64, back: u64) -> u64 {
        let slot = (now.as_micros() / 10_000_000).saturating_sub(back);
        xxh3_64_with_seed(name.as_bytes(), self.secret ^ run ^ slot.rotate_left(40)).max(1)
    }

    // What comes in.

    /// Looks at who sends before anything of it is believed.
    pub fn receive(&mut self, now: Time, from: SocketAddr, packet: &Packet) -> Taken {
        let strange = *packet.from == *self.name;
        if strange || packet.to_run != self.run && packet.to_run != 0 {
            self.counts.twins += u64::from(strange && packet.run != self.run);
            if !strange {
                // It knows an earlier start of ours: by this word it learns of the present one.
                self.challenge(now, from, packet);
            }
            return Taken::Dropped;
        }
        if let Some(k) = self.all.get_mut(&*packet.from)
            && k.run == packet.run
        {
            if packet.to_run == 0 {
                // It does not know this gateway's run yet; what it says may be old.
                self.challenge(now, from, packet);
                return Taken::Dropped;
            }
            if !k.window.take(packet.number) {
                self.counts.replays += 1;
                return Taken::Dropped;
            }
            k.knows_us = true;
            self.answered = now;
            self.alive(now, &packet.from);
            return Taken::Good;
        }
        let hello = packet.parts.iter().find_map(|p| match &p.said {
            Some(Said::Hello(h)) => Some(h),
            _ => None,
        });
        let own = packet.parts.iter().find_map(|p| match &p.said {
            Some(Said::Hello(Hello { me: Some(r), .. }) | Said::News(r)) if r.name == packet.from => Some(r),
            _ => None,
        });
        let proven = hello.is_some_and(|h| {
            let good = |back| h.proof == self.nonce(now, &packet.from, packet.run, back);
            good(0) || good(1)
        });
        // Only who has heard this start of ours can name its run; a name that is known by another run has to prove more.
        let fresh = packet.to_run == self.run && (proven || !self.all.contains_key(&*packet.from));
        match own {
            Some(own) if fresh && own.run == packet.run => {
                let sure = self.admit(now, own);
                if let Some(k) = sure.then(|| self.all.get_mut(&*packet.from)).flatten() {
                    _ = k.window.take(packet.number);
                    k.knows_us = true;
                    return Taken::Good;
                }
                Taken::Dropped
            }
            _ => {
                let asks = packet.parts.iter().any(|p| matches!(p.said, Some(Said::Challenge(_))));
                if asks {
                    return Taken::Stranger;
                }
                self.challenge(now, from, packet);
                Taken::Dropped
            }
        }
    }

    fn challenge(&mut self, now: Time, to: SocketAddr, packet: &Packet) {
        if self.challenges.take(now, 1.0) {
            self.counts.challenged += 1;
            let nonce = self.nonce(now, &packet.from, packet.run, 0);
            self.out.push_back(Letter { to, to_run: packet.run, parts: vec![Said::Challenge(nonce)] });
        }
    }

    /// A start that has proven to be live: it stands, whatever was said of the name before.
    fn admit(&mut self, now: Time, record: &Record) -> bool {
        let Some(address) = record.address() else { return false };
        let before = self.all.get(&*record.name);
        if before.is_none() && self.all.len() >= self.set.most {
            return false;
        }
        let least = before.map_or(1, |k| k.incarnation + 1);
        let incarnation = record.incarnation.max(least);
        let name: Name = Arc::from(record.name.as_str());
        self.put(now, &name, address, record.run, incarnation, Standing::Alive);
        self.tell(&name, "");
        if incarnation > record.incarnation {
            // It comes back under a number that is greater than all that was said of it.
            let told = Self::record(&name, &self.all[&name], "");
            self.send(&name, vec![Said::News(told)]);
        }
        true
    }

    fn put(
        &mut self,
        now: Time,
        name: &Name,
        address: SocketAddr,
        run: u64,
        incarnation: u64,
        standing: Standing,
    ) {
        let before = self.all.get(name);
        let was_live = before.is_some_and(|k| k.standing <= Standing::Suspect);
        let same = before.filter(|k| k.run == run);
        if same.is_some_and(|k| k.standing == Standing::Gone) && standing == Standing::Alive {
            self.counts.falsely_gone += 1;
        }
        let window = same.map(|k| k.window).unwrap_or_default();
        let list = same.and_then(|k| k.list.clone());
        let knows_us = same.is_some_and(|k| k.knows_us);
        let known = Known {
            address,
            run,
            incarnation,
            standing,
            since: now,
            accusers: BTreeSet::new(),
            deadline: None,
            asked_last: false,
            window,
            knows_us,
            list,
        };
        self.all.insert(name.clone(), known);
        let is_live = standing <= Standing::Suspect;
        if was_live != is_live {
            self.version += 1;
            if is_live {
                self.live += 1;
                self.grew = now;
                let at = self.rng.random_range(0..=self.order.len());
                self.order.insert(at, name.clone());
            } else {
                self.live -= 1;
                self.order.retain(|n| n != name);
            }
        }
    }

    /// It was heard itself: whoever said otherwise was wrong.
    fn alive(&mut self, now: Time, name: &str) {
        let Some(k) = self.all.get(name) else { return };
        if k.standing == Standing::Left {
            return;
        }
        let held: Vec<Name> = k.accusers.iter().cloned().collect();
        if k.standing == Standing::Alive && held.is_empty() {
            return;
        }
        let (name, k): (Name, Known) = (Arc::from(name), k.clone());
        self.strike(now, &held);
        self.put(now, &name, k.address, k.run, k.incarnation, Standing::Alive);
        self.checks.remove(&name);
        self.to_check.retain(|n| *n != name);
    }

    fn strike(&mut self, now: Time, accusers: &[Name]) {
        for accuser in accusers.iter().filter(|a| **a != self.name) {
            self.counts.claims_refuted += 1;
            let strikes = self.strikes.entry(accuser.clone()).or_insert((0, now));
            *strikes = (strikes.0 + 1, now);
        }
        while self.strikes.len() > self.set.most {
            self.strikes.pop_first();
        }
    }

    fn is_heard(&self, now: Time, accuser: &str) -> bool {
        self.strikes.get(accuser).is_none_or(|(n, at)| *n < MOST_STRIKES || now - *at > NOT_HEARD)
    }

    /// One part of a packet whose sender is known by its run.
    pub fn said(&mut self, now: Time, from: &Name, said: &Said) {
        match said {
            Said::Hello(h) => self.hello(now, from, h),
            Said::News(record) => self.hear(now, from, record),
            Said::Ping(ping) => {
                self.note(now, from, ping);
                let mut ack = self.ping();
                ack.seq = ping.seq;
                self.with_news(from, Said::Ack(ack));
                self.compare(now, from, ping.known);
            }
            Said::Ack(ack) => self.ack(now, from, ack),
            Said::PingFor(p) => self.help(now, from, p),
            Said::Nack(seq) => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == *seq) {
                    probe.helpers.retain(|n| n != from);
                }
            }
            Said::Leaving(_) => {
                if let Some(k) = self.all.get(from).cloned() {
                    self.put(now, from, k.address, k.run, k.incarnation, Standing::Left);
                    let by = from.clone();
                    self.tell(from, &by);
                }
            }
            _ => {}
        }
    }

    /// A challenge by one that does not know this start yet.
    pub fn challenged(&mut self, to: SocketAddr, run: u64, nonce: u64, joins: bool) {
        let hello = Hello { me: Some(self.me()), proof: nonce, joins };
        self.out.push_back(Letter { to, to_run: run, parts: vec![Said::Hello(hello)] });
    }

    pub fn wants_to_join(&self) -> bool {
        self.live == 0
    }

    fn hello(&mut self, now: Time, from: &Name, hello: &Hello) {
        if !hello.joins {
            return;
        }
        // Who answers is told first, so that the joiner takes what follows.
        let me = Hello { me: Some(self.me()), proof: 0, joins: false };
        self.send(from, vec![Said::Hello(me)]);
        let pages = (self.all.len() / 24 + 1).min(self.set.most / 24 + 1);
        for _ in 0..pages {
            if !self.join_bytes.take(now, wire::ROOM as f64) {
                break;
            }
            self.page(from);
        }
    }

    /// A part of all that is known, the next one each time.
    fn page(&mut self, to: &Name) {
        let mut parts = Vec::new();
        let mut room = wire::ROOM;
        let start = self.cursor.clone();
        let behind = self.all.iter().filter(|(n, _)| start.as_ref().is_none_or(|s| *n > s));
        let before = self.all.iter().filter(|(n, _)| start.as_ref().is_some_and(|s| *n <= s));
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
            self.cursor = Some(name.clone());
            parts.push(Said::News(record));
        }
        if !parts.is_empty() {
            self.send(to, parts);
        }
    }

    /// The other knows something else: a part of what is known here goes there, within its bytes.
    fn compare(&mut self, now: Time, from: &Name, known: u64) {
        if known != self.digest() && self.news_bytes.take(now, wire::ROOM as f64) {
            self.page(from);
        }
    }

    fn note(&mut self, now: Time, from: &Name, ping: &Ping) {
        if let Some(k) = self.all.get_mut(from) {
            k.list = ping.list.clone().map(|list| (now, list));
            if ping.incarnation > k.incarnation {
                k.incarnation = ping.incarnation;
            }
        }
    }

    fn ack(&mut self, now: Time, from: &Name, ack: &Ping) {
        if let Some(helping) = self.helping.get_mut(&ack.seq)
            && helping.target == *from
            && !helping.done
        {
            helping.done = true;
            let (to, seq) = (helping.to.clone(), helping.seq);
            let mut passed = ack.clone();
            // What the other says of its list is not the helper's.
            (passed.seq, passed.list) = (seq, None);
            self.send(&to, vec![Said::Ack(passed)]);
        }
        if self.checks.get(from).is_some_and(|(seq, ..)| *seq == ack.seq) {
            self.checks.remove(from);
        }
        if ack.seq == self.failed {
            self.failed = 0;
            self.strain = (self.strain + 1).min(MOST_STRAIN);
        }
        if let Some(probe) = self.probe.as_ref().filter(|p| p.seq == ack.seq) {
            let target = probe.target.clone();
            if target == *from {
                self.note(now, from, ack);
                self.compare(now, from, ack.known);
            }
            // Through another it lives, too.
            self.alive(now, &target);
            self.probe = None;
            self.strain = self.strain.saturating_sub(1);
        }
    }

    fn help(&mut self, now: Time, from: &Name, wanted: &PingFor) {
        if self.helping.len() >= MOST_HELPING || !self.all.contains_key(&*wanted.name) {
            return;
        }
        self.seq += 1;
        let target: Name = Arc::from(wanted.name.as_str());
        let nack_at = now + Span::from_millis(self.set.answer_ms) * 0.8;
        let seq = self.seq;
        let helping =
            Helping { target: target.clone(), to: from.clone(), seq: wanted.seq, nack_at, done: false };
        self.helping.insert(seq, helping);
        self.send_ping(&target, seq);
    }

    fn send_ping(&mut self, to: &Name, seq: u64) {
        let mut ping = self.ping();
        ping.seq = seq;
        self.with_news(to, Said::Ping(ping));
    }

    /// What is said of one, by one that need not tell the truth.
    fn hear(&mut self, now: Time, from: &Name, r: &Record) {
        let Ok(standing) = Standing::try_from(r.standing) else { return };
        if r.name == *self.name {
            return self.about_me(now, r, standing);
        }
        let Some(address) = r.address() else { return };
        let name: Name = Arc::from(r.name.as_str());
        let Some(k) = self.all.get(&name) else {
            if standing == Standing::Alive && self.all.len() < self.set.most {
                self.put(now, &name, address, r.run, r.incarnation, Standing::Alive);
                self.tell(&name, "");
            }
            return;
        };
        match standing {
            Standing::Alive => {
                let newer = r.incarnation > k.incarnation;
                // One that said itself that it leaves comes back by a new start alone.
                let back = k.standing != Standing::Left || k.run != r.run;
                if newer && back {
                    let known = k.run == r.run && k.standing == Standing::Alive && k.address == address;
                    if known && k.accusers.is_empty() {
                        let name = name.clone();
                        if let Some(k) = self.all.get_mut(&name) {
                            k.incarnation = r.incarnation;
                        }
                    } else {
                        let accusers: Vec<Name> = k.accusers.iter().cloned().collect();
                        // It has answered them; only who saw nothing of its own was wrong.
                        if k.run == r.run {
                            self.strike(now, &accusers);
                        }
                        self.put(now, &name, address, r.run, r.incarnation, Standing::Alive);
                    }
                    self.tell(&name, "");
                }
            }
            Standing::Suspect | Standing::Gone | Standing::Left => {
                let accuser: &str = if r.by.is_empty() { from } else { &r.by };
                let of_now = r.run == k.run && r.incarnation >= k.incarnation;
                if !of_now || k.standing >= Standing::Gone {
                    return;
                }
                if !self.is_heard(now, accuser) || !self.is_heard(now, from) {
                    self.counts.not_heard += 1;
                    return;
                }
                let by: Name = Arc::from(accuser);
                self.accused(now, &name, by);
            }
        }
    }

    fn about_me(&mut self, now: Time, r: &Record, standing: Standing) {
        let other = r.run != self.run;
        if r.incarnation < self.incarnation
            || standing == Standing::Alive && !other && r.incarnation == self.incarnation
        {
            return;
        }
        self.counts.twins +=
            u64::from(other && standing == Standing::Alive && r.incarnation > self.incarnation);
        // Raised by who admitted it, or refuted.
        let told = standing == Standing::Alive && !other;
        self.incarnation = if told { r.incarnation } else { r.incarnation + 1 };
        if standing == Standing::Suspect && !other {
            self.strain = (self.strain + 1).min(MOST_STRAIN);
        }
        let me = self.me();
        self.news.insert(self.name.clone(), (me, 0));
        self.next_gossip = self.next_gossip.min(now + GOSSIP_EVERY);
    }

    fn accused(&mut self, now: Time, name: &Name, by: Name) {
        let least = self.least_suspicion();
        let Some(k) = self.all.get_mut(name) else { return };
        let known = k.accusers.contains(&by);
        if k.accusers.len() < MOST_ACCUSERS {
            k.accusers.insert(by);
        }
        if k.standing == Standing::Suspect {
            // Borne out already by a probe of one's own: another confirmation shortens the wait.
            if !k.asked_last {
                k.deadline = Some(Self::deadline(least, k));
            }
            if !known && k.accusers.len() <= CONFIRMED + 1 {
                let own = self.name.clone();
                self.tell(name, &own);
            }
        } else if !self.checks.contains_key(name) && !self.to_check.contains(name) {
            self.to_check.push_back(name.clone());
            self.check(now);
        }
    }

    /// Claims become probes of one's own, a bounded number at once.
    fn check(&mut self, now: Time) {
        while self.checks.len() < MOST_CHECKS {
            let Some(name) = self.to_check.pop_front() else { return };
            if self.all.get(&name).is_some_and(|k| k.standing == Standing::Alive) {
                self.seq += 1;
                let answer = Span::from_millis(self.set.answer_ms);
                self.checks.insert(name.clone(), (self.seq, Some(now + answer), now + answer * 2.0));
                let seq = self.seq;
                self.send_check(&name, seq);
            }
        }
    }

    /// The suspect hears of the claim with the probe, so that it can answer to all.
    fn send_check(&mut self, name: &Name, seq: u64) {
        let Some(k) = self.all.get(name) else { return };
        let mut claim = Self::record(name, k, "");
        (claim.standing, claim.by) = (Standing::Suspect as i32, self.name.to_string());
        let mut ping = self.ping();
        ping.seq = seq;
        self.send(name, vec![Said::News(claim), Said::Ping(ping)]);
    }

    /// The shortest suspicion in seconds: news need the logarithm of the members to come round (Lifeguard, section 3.4).
    fn least_suspicion(&self) -> f64 {
        self.set.suspect_ms as f64 / 1e3 * (self.live() as f64).log10().max(1.0)
    }

    fn deadline(least: f64, k: &Known) -> Time {
        let most = least * LONGEST;
        let others = k.accusers.len().saturating_sub(1) as f64;
        let part = (others + 1.0).ln() / (CONFIRMED as f64 + 1.0).ln();
        k.since + Span::from_secs_f64((most - (most - least) * part).max(least))
    }

    /// A probe of one's own has failed.
    fn suspect(&mut self, now: Time, name: &Name) {
        if now < self.calm_until {
            return;
        }
        let (own, least) = (self.name.clone(), self.least_suspicion());
        let Some(k) = self.all.get_mut(name).filter(|k| k.standing <= Standing::Suspect) else { return };
        k.accusers.insert(own.clone());
        if k.standing == Standing::Alive {
            self.counts.suspected += 1;
            k.standing = Standing::Suspect;
            k.since = now;
        }
        if !k.asked_last {
            k.deadline = Some(Self::deadline(least, k));
        }
        self.tell(name, &own);
    }

    /// Queues what is known of one for the others.
    fn tell(&mut self, name: &Name, by: &str) {
        if let Some(k) = self.all.get(name) {
            let record = Self::record(name, k, by);
            self.news.insert(name.clone(), (record, 0));
        }
    }

    /// Takes news for one datagram, those told least first.
    fn take_news(&mut self, to: &Name, mut room: usize) -> Vec<Said> {
        let often = (TOLD * f64::from(self.live() as u32 + 1).log2()).ceil() as u32;
        let mut order: Vec<(u32, Name)> = self.news.iter().map(|(n, (_, sent))| (*sent, n.clone())).collect();
        order.sort_unstable();
        let mut parts = Vec::new();
        for (_, name) in order {
            if parts.len() >= 30 {
                break;
            }
            let Some((record, sent)) = self.news.get_mut(&name) else { continue };
            let size = record.encoded_len() + 6;
            if name == *to && record.standing == Standing::Alive as i32 || size > room {
                continue;
            }
            room -= size;
            *sent += 1;
            parts.push(Said::News(record.clone()));
            if *sent >= often {
                self.news.remove(&name);
            }
        }
        parts
    }

    fn with_news(&mut self, to: &Name, said: Said) {
        let mut parts = self.take_news(to, wire::ROOM - 300);
        parts.push(said);
        self.send(to, parts);
    }

    // What time brings.

    pub fn next_wake(&self) -> Time {
        if self.leaving {
            return self.last_tick + SEEK_EVERY;
        }
        let mut at = self.next_probe.min(self.next_seek);
        if self.probe.as_ref().is_some_and(|p| !p.asked) {
            at = self.probe.iter().fold(at, |at, p| at.min(p.helped_at));
        }
        if !self.news.is_empty() {
            at = at.min(self.next_gossip);
        }
        if self.wants_to_join() && !self.seeds.is_empty() {
            at = at.min(self.next_join);
        }
        let checks = self.checks.values().map(|(_, again, until)| again.unwrap_or(*until));
        let helps = self.helping.values().map(|h| h.nack_at);
        let ends = self.all.values().filter_map(|k| k.deadline);
        checks.chain(helps).chain(ends).fold(at, Time::min)
    }

    /// The host comes now, and was to come at `due`.
    pub fn comes(&mut self, now: Time, due: Time) {
        if now - due > STOPPED {
            self.stopped(now, now - due);
        }
    }

    pub fn tick(&mut self, now: Time) {
        self.last_tick = now;
        if self.leaving {
            return;
        }
        if self.wants_to_join() && now >= self.next_join {
            // Decorrelated: between the first wait and three times the last one.
            let (least, most) = (JOIN_WAITS.0.as_secs_f64(), JOIN_WAITS.1.as_secs_f64());
            let wait =
                self.rng.random_range(least..=(self.join_wait.as_secs_f64() * 3.0).max(least)).min(most);
            self.join_wait = Span::from_secs_f64(wait);
            self.next_join = now + self.join_wait;
            let hello = Hello { me: Some(self.me()), proof: 0, joins: true };
            for to in self.seeds.clone() {
                self.out.push_back(Letter { to, to_run: 0, parts: vec![Said::Hello(hello.clone())] });
            }
        }
        self.tick_helping(now);
        self.tick_checks(now);
        self.tick_probe(now);
        self.bury(now);
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_EVERY * self.rng.random_range(0.8..1.2);
            self.gossip(now);
        }
        if now >= self.next_seek {
            self.next_seek = now + SEEK_EVERY * self.rng.random_range(0.8..1.2);
            self.seek();
        }
    }

    /// Guards others from a process that was stopped: what it did not hear while it stood says nothing of them.
    fn stopped(&mut self, now: Time, gap: Span) {
        self.probe = None;
        self.checks.clear();
        self.helping.clear();
        self.strain = (self.strain + 1).min(MOST_STRAIN);
        self.calm_until = now + Span::from_millis(self.set.probe_ms) * 2.0;
        for k in self.all.values_mut() {
            if let Some(at) = &mut k.deadline {
                *at += gap + Span::from_millis(self.set.probe_ms) * 2.0;
            }
        }
    }

    fn tick_checks(&mut self, now: Time) {
        let due = |(_, again, until): &(u64, Option<Time>, Time)| {
            again.is_some_and(|at| at <= now) || *until <= now
        };
        let over: Vec<Name> = self.checks.iter().filter(|(_, c)| due(c)).map(|(n, _)| n.clone()).collect();
        for name in over {
            let Some(check) = self.checks.get_mut(&name) else { continue };
            if check.2 > now {
                check.1 = None;
                let seq = check.0;
                self.send_check(&name, seq);
            } else {
                self.checks.remove(&name);
                self.suspect(now, &name);
                // Where many die at once one that is gone leads to others; the first answer ends the row.
                let fit = |n: &Name, k: &Known| {
                    k.standing == Standing::Alive
                        && !self.checks.contains_key(n)
                        && !self.to_check.contains(n)
                };
                let others = self.all.iter().filter(|(n, k)| fit(n, k)).map(|(n, _)| n.clone());
                if let Some(next) = others.choose(&mut self.rng) {
                    self.to_check.push_back(next);
                }
            }
        }
        self.check(now);
    }

    fn tick_helping(&mut self, now: Time) {
        let over: Vec<u64> = self.helping.iter().filter(|(_, h)| h.nack_at <= now).map(|(s, _)| *s).collect();
        for seq in over {
            if let Some(h) = self.helping.remove(&seq).filter(|h| !h.done) {
                self.send(&h.to, vec![Said::Nack(h.seq)]);
            }
        }
    }

    fn tick_probe(&mut self, now: Time) {
        let slower = f64::from(1 + self.strain);
        if let Some(probe) = &mut self.probe {
            if !probe.asked && now >= probe.helped_at && now < probe.ends {
                probe.asked = true;
                let (seq, target) = (probe.seq, probe.target.clone());
                let fit = self.all.iter().filter(|(n, k)| k.standing == Standing::Alive && **n != target);
                let helpers: Vec<Name> = fit.map(|(n, _)| n.clone()).choose_multiple(&mut self.rng, HELPERS);
                if let Some(probe) = &mut self.probe {
                    probe.helpers = helpers.clone();
                }
                let ask = Said::PingFor(PingFor { seq, name: target.to_string() });
                for helper in helpers {
                    self.send(&helper, vec![ask.clone()]);
                }
            }
            if now >= self.probe.as_ref().map_or(now, |p| p.ends)
                && let Some(probe) = self.probe.take()
            {
                self.counts.failed += 1;
                self.failed = probe.seq;
                // Helpers that did not even say that they are there speak against one's own state.
                // Helpers that did not even say that they are there speak against one's own state, unless others answer:
                // then these are looked at next, since where many die at once their helpers have died, too.
                if now - self.answered > Span::from_millis(self.set.probe_ms) * 2.0 {
                    self.strain = (self.strain + 1).min(MOST_STRAIN);
                }
                for silent in probe.helpers {
                    if !self.checks.contains_key(&silent) && !self.to_check.contains(&silent) {
                        self.to_check.push_back(silent);
                    }
                }
                self.check(now);
                self.suspect(now, &probe.target);
            }
        }
        if now < self.next_probe {
            return;
        }
        let period = Span::from_millis(self.set.probe_ms) * slower;
        self.next_probe = now + period;
        if self.probe.is_some() {
            return;
        }
        while let Some(name) = self.next_target() {
            // One under suspicion is asked once more at its end; till then others are looked at.
            if self.all.get(&name).is_none_or(|k| k.standing != Standing::Alive) {
                continue;
            }
            self.counts.probes += 1;
            self.seq += 1;
            let answer = Span::from_millis(self.set.answer_ms) * slower;
            self.probe = Some(Probe {
                seq: self.seq,
                target: name.clone(),
                helped_at: now + answer,
                ends: now + period * 0.95,
                helpers: Vec::new(),
                asked: false,
            });
            let seq = self.seq;
            self.send_ping(&name, seq);
            return;
        }
    }

    /// Each one once in a round, in an order drawn anew each time (SWIM, section 4.3).
    fn next_target(&mut self) -> Option<Name> {
        if self.order.is_empty() {
            let fit = |k: &Known| k.standing == Standing::Alive;
            self.order = self.all.iter().filter(|(_, k)| fit(k)).map(|(n, _)| n.clone()).collect();
            self.order.shuffle(&mut self.rng);
        }
        self.order.pop()
    }

    fn bury(&mut self, now: Time) {
        let over = |k: &Known| k.standing == Standing::Suspect && k.deadline.is_some_and(|at| at <= now);
        let gone: Vec<Name> = self.all.iter().filter(|(_, k)| over(k)).map(|(n, _)| n.clone()).collect();
        for name in gone {
            let wait = Span::from_millis(self.set.answer_ms) * 2.0 * f64::from(1 + self.strain);
            if let Some(k) = self.all.get_mut(&name).filter(|k| !k.asked_last) {
                // A last word from here: on a starved machine an answer is late, and any sign of it is enough.
                (k.asked_last, k.deadline) = (true, Some(now + wait));
                self.seq += 1;
                let seq = self.seq;
                self.send_check(&name, seq);
                continue;
            }
            self.counts.gone += 1;
            let k = self.all[&name].clone();
            self.put(now, &name, k.address, k.run, k.incarnation, Standing::Gone);
            let own = self.name.clone();
            self.tell(&name, &own);
        }
        self.all.retain(|_, k| k.standing <= Standing::Suspect || now - k.since < REMEMBERED);
    }

    fn gossip(&mut self, now: Time) {
        for _ in 0..GOSSIP_TO {
            if self.news.is_empty() || !self.news_bytes.take(now, wire::ROOM as f64) {
                return;
            }
            let live = self.all.iter().filter(|(_, k)| k.standing <= Standing::Suspect);
            let Some(to) = live.map(|(n, _)| n.clone()).choose(&mut self.rng) else { return };
            let parts = self.take_news(&to, wire::ROOM - 100);
            self.send(&to, parts);
        }
    }

    /// Two halves that hold each other to be gone find together again by this, and so does one that lost all.
    fn seek(&mut self) {
        let gone = self.all.iter().filter(|(_, k)| k.standing == Standing::Gone);
        if let Some(name) = gone.map(|(n, _)| n.clone()).choose(&mut self.rng) {
            let claim = Self::record(&name, &self.all[&name], &self.name);
            self.seq += 1;
            let mut ping = self.ping();
            ping.seq = self.seq;
            self.send(&name, vec![Said::News(claim), Said::Ping(ping)]);
        }
        let known = |seed: &SocketAddr| self.others().any(|(_, k)| k.address == *seed);
        let lost: Vec<SocketAddr> = self.seeds.iter().copied().filter(|s| !known(s)).collect();
        if let Some(to) = lost.into_iter().choose(&mut self.rng) {
            let hello = Hello { me: Some(self.me()), proof: 0, joins: true };
            self.out.push_back(Letter { to, to_run: 0, parts: vec![Said::Hello(hello)] });
        }
    }

    /// Says so to some; they pass it on, and the others find it out by a probe.
    pub fn leave(&mut self) {
        self.leaving = true;
        let live: Vec<Name> = self.others().map(|(n, _)| n.clone()).collect();
        let to = live.into_iter().choose_multiple(&mut self.rng, 32);
        for name in to {
            self.send(&name, vec![Said::Leaving(true)]);
        }
    }

    /// The rules that have to hold after every step; for tests.
    pub fn check_rules(&self) -> Result<(), String> {
        let live = self.others().count();
        if live != self.live {
            return Err(format!("{} counted as live, {live} are", self.live));
        }
        if self.all.len() > self.set.most || self.all.contains_key(&self.name) {
            return Err("too many, or itself among the others".to_owned());
        }
        for (name, k) in &self.all {
            let own = k.accusers.contains(&self.name);
            if k.standing == Standing::Suspect && (!own || k.deadline.is_none()) {
                return Err(format!("{name} is suspected without a failed probe of one's own"));
            }
            if k.accusers.len() > MOST_ACCUSERS + 1 {
                return Err(format!("{name} has {} accusers", k.accusers.len()));
            }
        }
        if self.checks.len() > MOST_CHECKS || self.helping.len() > MOST_HELPING {
            return Err("more checks or helps than their bound".to_owned());
        }
        Ok(())
    }
}
