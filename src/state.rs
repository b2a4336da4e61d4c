//! What a gateway keeps between calls; plain records, filled and read by the decisions.

use crate::hash_prefix::PrefixSet;
use crate::histogram::Histogram;
use crate::interface::{Member, MemberId, MemberState, Txn, TxnId};
use crate::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Edge,
    Parent,
    Origin,
}

/// What the weight controller keeps of a parent, from this gateway's own fills.
#[derive(Clone)]
pub struct Weight {
    pub weight: f64,
    pub recent: Histogram,
    pub settled: Histogram,
    pub fills: f64,
    pub failed: f64,
    pub late: f64,
    pub clean: u32,
    pub broken: bool,
}

/// A member of the list: an edge cache, a parent or the origin.
#[derive(Clone)]
pub struct Cache {
    pub m: Member,
    pub key: u64,
    pub role: Role,
    /// The gateways that send to it.
    pub sharers: f64,
    /// In flight from this gateway: KB, or txns where sizes are not told.
    pub load: f64,
    /// Its running mean, as of when it last changed.
    mean: f64,
    changed: Time,
    span: Span,
    /// Signs of silence in a row; while there are enough, the time of the next trial.
    pub strikes: u32,
    pub trial_at: Option<Time>,
    pub answered: Time,
    /// When the newest of the hops was sent that it completed in time.
    pub prompt: Time,
    /// What was sent of late to one that may be cold: when, its sending time, by which hop.
    pub spent: VecDeque<(Time, f64, (TxnId, u32))>,
    /// Sending time completed since the last step, and a second on average.
    pub work: f64,
    pub rate: f64,
    pub gate: f64,
    pub par: Weight,
}

impl Cache {
    pub fn new(now: Time, m: Member, role: Role, sharers: f64, span: Span, par: Weight) -> Cache {
        let (load, mean, changed, work, rate, gate) = (0.0, 0.0, now, 0.0, 0.0, 0.0);
        let key = xxh3_64(m.id.as_bytes());
        let (strikes, trial_at, answered, prompt, spent) = (0, None, now, now, VecDeque::new());
        Cache {
            m,
            key,
            role,
            sharers,
            load,
            mean,
            changed,
            span,
            strikes,
            trial_at,
            answered,
            prompt,
            spent,
            work,
            rate,
            gate,
            par,
        }
    }

    /// The load on average, each moment weighing less by the time since over its span.
    pub fn mean_load(&self, now: Time) -> f64 {
        self.load + (self.mean - self.load) * (-((now - self.changed) / self.span)).exp()
    }

    pub fn carry(&mut self, now: Time, more: f64) {
        self.mean = self.mean_load(now);
        (self.changed, self.load) = (now, self.load + more);
    }

    pub fn heard(&mut self, now: Time) {
        (self.answered, self.strikes, self.trial_at) = (now, 0, None);
    }

    pub fn size(&self, sized: bool) -> f64 {
        if sized { self.m.capacity.max(1e-6) } else { 1.0 }
    }
}

#[derive(Clone)]
pub struct Hop {
    pub member: usize,
    pub source: Option<usize>,
    pub sent: Time,
    pub due: Time,
    pub sla: Span,
    /// Seconds that the txn takes to send.
    pub sending: f64,
    pub load: f64,
    pub fill_load: f64,
    pub to_origin: bool,
    pub sized: bool,
    pub cancelled: bool,
}

#[derive(Clone)]
pub struct Open {
    pub txn: Txn,
    pub limit: Time,
    pub hops: u32,
    pub out: u32,
    pub avoid: Vec<usize>,
    /// A cache was asked only for what it holds, and lacked it.
    pub looked: bool,
    /// The parent was asked only for what it holds, and lacked it.
    pub parent_lacks: bool,
    pub origin_failed: bool,
    /// The member and time of the first hop that may have run.
    pub may_have_run: Option<(usize, Time)>,
}

impl Open {
    pub fn new(txn: Txn, limit: Time) -> Open {
        let (looked, parent_lacks, origin_failed) = (false, false, false);
        let (hops, out, avoid, may_have_run) = (0, 0, Vec::new(), None);
        Open { txn, limit, hops, out, avoid, looked, parent_lacks, origin_failed, may_have_run }
    }

    /// What it puts in flight: KB, or one txn where its size is not told.
    pub fn load(&self) -> f64 {
        self.txn.size.unwrap_or(1.0)
    }
}

/// What is measured of a remap rule's txns: their mean sending time in seconds.
#[derive(Clone)]
pub struct Row {
    pub sending: f64,
    pub told: bool,
}

/// A line through what hops of late took by their txns' sending times, from running means.
#[derive(Clone, Default)]
pub struct Pace {
    weight: f64,
    sent: f64,
    took: f64,
    sent_sent: f64,
    sent_took: f64,
}

impl Pace {
    pub fn record(&mut self, sent: f64, took: f64, part: f64) {
        follow(&mut self.weight, 1.0, part);
        follow(&mut self.sent, sent, part);
        follow(&mut self.took, took, part);
        follow(&mut self.sent_sent, sent * sent, part);
        follow(&mut self.sent_took, sent * took, part);
    }

    /// Moves the line by `part` of the way to where all take their sending time and no more.
    pub fn forget(&mut self, part: f64) {
        let (sent, sent_sent) = (self.sent, self.sent_sent);
        follow(&mut self.took, sent, part);
        follow(&mut self.sent_took, sent_sent, part);
    }

    /// What a txn of this sending time takes on the line: at least that. Where sizes hardly differ, or the line would
    /// start below nothing, a multiple of it.
    pub fn takes(&self, sending: f64) -> f64 {
        let n = self.weight.max(1e-9);
        let (sent, took) = (self.sent / n, self.took / n);
        let spread = self.sent_sent / n - sent * sent;
        let slope = (self.sent_took / n - sent * took) / spread.max(1e-12);
        let base = took - slope.max(1.0) * sent;
        if spread > sent * sent * 0.01 && base >= 0.0 {
            base + sending * slope.max(1.0)
        } else {
            sending * (took / sent.max(1e-6)).max(1.0)
        }
    }
}

#[derive(Clone)]
pub struct Purge {
    pub names: PrefixSet,
    /// Nothing older is good any more.
    pub at: Time,
    pub told: Time,
}

/// All that a gateway knows at a moment.
#[derive(Clone, Default)]
pub struct Book {
    pub caches: Vec<Cache>,
    /// Members listed now, by role, and the caches of the own zone: what a txn has to choose from.
    pub by_role: [Vec<usize>; 3],
    pub near: Vec<usize>,
    pub by_id: BTreeMap<MemberId, usize>,
    pub open: BTreeMap<TxnId, Open>,
    pub hops: BTreeMap<(TxnId, u32), Hop>,
    pub rows: Vec<Row>,
    pub ready: VecDeque<TxnId>,
    pub cancels: VecDeque<(TxnId, u32)>,
    /// In the order in which they were told.
    pub purges: Vec<Purge>,
    pub purges_joined: usize,
    pub mean_load: f64,
    pub mean_sending: f64,
    /// What hops took by their txns' sending times, where sizes are told.
    pub pace: Pace,
    /// Sending time a second that this gateway saw a warm cache and a warm parent complete, at most lately.
    pub borne: [f64; 2],
    pub origin: Option<usize>,
    pub origin_bad: f64,
    /// Transfers on the own zone's link over those that fit, as caches report it.
    pub link: f64,
    pub arrivals: f64,
    pub arrival_rate: f64,
    pub steps: u32,
}

impl Book {
    /// Puts a member where one was that has gone and that nothing names any more, or behind all others: what is
    /// kept does not grow with the ids that have been.
    pub fn place(&mut self, cache: Cache) -> usize {
        let named = |i: usize| {
            let of_open = |o: &Open| o.avoid.contains(&i) || o.may_have_run.is_some_and(|(m, _)| m == i);
            let of_hop = |h: &Hop| h.member == i || h.source == Some(i);
            self.open.values().any(of_open) || self.hops.values().any(of_hop)
        };
        let free = |&i: &usize| self.caches[i].m.state == MemberState::Gone && !named(i);
        let i = (0..self.caches.len()).find(free).unwrap_or(self.caches.len());
        let (id, role) = (Arc::clone(&cache.m.id), cache.role);
        match self.caches.get_mut(i) {
            Some(gone) => _ = self.by_id.remove(&std::mem::replace(gone, cache).m.id),
            None => self.caches.push(cache),
        }
        self.by_id.insert(id, i);
        self.origin = if role == Role::Origin { Some(i) } else { self.origin.filter(|&o| o != i) };
        i
    }

    pub fn purged_names(&self) -> usize {
        self.purges.iter().map(|p| p.names.prefixes().len()).sum()
    }

    /// How much is kept, by name, and what is held of the members: how many are passed over, and how long ago
    /// the near one that has been quiet longest answered, of those that are not.
    pub fn table_sizes(&self, now: Time) -> [(&'static str, usize); 11] {
        let listed = self.caches.iter().filter(|c| c.m.state != MemberState::Gone);
        let left_out = listed.filter(|c| c.trial_at.is_some()).count();
        let near = self.near.iter().map(|&i| &self.caches[i]).filter(|c| c.trial_at.is_none());
        let quiet = near.map(|c| now - c.answered).max().unwrap_or(Span::ZERO);
        let spent = self.caches.iter().map(|c| c.spent.len()).sum();
        [
            ("members kept", self.caches.len()),
            ("members by id", self.by_id.len()),
            ("txns decided on", self.open.len()),
            ("hops decided on", self.hops.len()),
            ("txns ready", self.ready.len()),
            ("purges kept", self.purges.len()),
            ("names of purges kept", self.purged_names()),
            ("purges joined at the bound", self.purges_joined),
            ("sent to cold members", spent),
            ("members left out", left_out),
            ("ms of the longest silence", (quiet.as_micros() / 1_000) as usize),
        ]
    }
}

/// A share of 1, evenly spread over hashes.
pub fn unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

pub fn hash(a: u64, b: u64, c: u64) -> u64 {
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..16].copy_from_slice(&b.to_le_bytes());
    bytes[16..].copy_from_slice(&c.to_le_bytes());
    xxh3_64(&bytes)
}

pub fn one(is: bool) -> f64 {
    f64::from(u8::from(is))
}

/// A running mean: moves `mean` by `part` of the way to `value`.
pub fn follow(mean: &mut f64, value: f64, part: f64) {
    *mean += (value - *mean) * part;
}
