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
pub struct WeightController {
    pub weight: f64,
    pub recent_first_byte: Histogram,
    pub baseline_first_byte: Histogram,
    pub fills: f64,
    pub failed: f64,
    pub timed_out: f64,
    pub clean_windows: u32,
    pub window_degraded: bool,
}

/// A member of the list: an edge cache, a parent or the origin.
#[derive(Clone)]
pub struct MemberRecord {
    pub info: Member,
    pub id_hash: u64,
    pub role: Role,
    /// The gateways that send to it.
    pub gateway_count: f64,
    /// In flight from this gateway: KB, or txns where sizes are not told.
    pub in_flight: f64,
    /// Its running mean, as of when it last changed.
    mean_in_flight: f64,
    mean_updated_at: Time,
    averaging_time: Span,
    /// Signs of silence in a row; while there are enough, the time of the next trial.
    pub consecutive_failures: u32,
    pub ejected_until: Option<Time>,
    pub last_answer_at: Time,
    /// When the newest of the hops was sent that it completed in time.
    pub last_timely_sent_at: Time,
    /// What was sent of late to one that may be cold: when, its sending time, by which hop.
    pub cold_charges: VecDeque<(Time, f64, (TxnId, u32))>,
    /// Sending time completed since the last step, and a second on average.
    pub completed_since_step: f64,
    pub completion_rate: f64,
    pub concurrency_limit: f64,
    pub weight_controller: WeightController,
}

impl MemberRecord {
    pub fn new(
        now: Time,
        m: Member,
        role: Role,
        sharers: f64,
        span: Span,
        par: WeightController,
    ) -> MemberRecord {
        let (load, mean, changed, work, rate, gate) = (0.0, 0.0, now, 0.0, 0.0, 0.0);
        let key = xxh3_64(m.id.as_bytes());
        let (strikes, trial_at, answered, prompt, spent) = (0, None, now, now, VecDeque::new());
        MemberRecord {
            info: m,
            id_hash: key,
            role,
            gateway_count: sharers,
            in_flight: load,
            mean_in_flight: mean,
            mean_updated_at: changed,
            averaging_time: span,
            consecutive_failures: strikes,
            ejected_until: trial_at,
            last_answer_at: answered,
            last_timely_sent_at: prompt,
            cold_charges: spent,
            completed_since_step: work,
            completion_rate: rate,
            concurrency_limit: gate,
            weight_controller: par,
        }
    }

    /// The load on average, each moment weighing less by the time since over its span.
    pub fn mean_in_flight(&self, now: Time) -> f64 {
        self.in_flight
            + (self.mean_in_flight - self.in_flight)
                * (-((now - self.mean_updated_at) / self.averaging_time)).exp()
    }

    pub fn add_in_flight(&mut self, now: Time, more: f64) {
        self.mean_in_flight = self.mean_in_flight(now);
        (self.mean_updated_at, self.in_flight) = (now, self.in_flight + more);
    }

    pub fn record_answer(&mut self, now: Time) {
        (self.last_answer_at, self.consecutive_failures, self.ejected_until) = (now, 0, None);
    }

    pub fn relative_capacity(&self, sized: bool) -> f64 {
        if sized { self.info.capacity.max(1e-6) } else { 1.0 }
    }
}

#[derive(Clone)]
pub struct Hop {
    pub member: usize,
    pub source: Option<usize>,
    pub sent_at: Time,
    pub overdue_at: Time,
    pub sla: Span,
    /// Seconds that the txn takes to send.
    pub transfer_secs: f64,
    pub load: f64,
    pub fill_load: f64,
    pub reaches_origin: bool,
    pub size_known: bool,
    pub cancelled: bool,
}

#[derive(Clone)]
pub struct OpenTxn {
    pub txn: Txn,
    pub deadline: Time,
    pub hop_count: u32,
    pub hops_in_flight: u32,
    pub avoid: Vec<usize>,
    /// A cache was asked only for what it holds, and lacked it.
    pub cache_lacked: bool,
    /// The parent was asked only for what it holds, and lacked it.
    pub parent_lacked: bool,
    pub origin_failed: bool,
    /// The member and time of the first hop that may have run.
    pub may_have_run: Option<(usize, Time)>,
}

impl OpenTxn {
    pub fn new(txn: Txn, limit: Time) -> OpenTxn {
        let (looked, parent_lacks, origin_failed) = (false, false, false);
        let (hops, out, avoid, may_have_run) = (0, 0, Vec::new(), None);
        OpenTxn {
            txn,
            deadline: limit,
            hop_count: hops,
            hops_in_flight: out,
            avoid,
            cache_lacked: looked,
            parent_lacked: parent_lacks,
            origin_failed,
            may_have_run,
        }
    }

    /// What it puts in flight: KB, or one txn where its size is not told.
    pub fn load(&self) -> f64 {
        self.txn.size.unwrap_or(1.0)
    }
}

/// What is measured of a remap rule's txns: their mean sending time in seconds.
#[derive(Clone)]
pub struct RuleStats {
    pub mean_transfer_secs: f64,
    pub measured: bool,
}

/// A line through what hops of late took by their txns' sending times, from running means.
#[derive(Clone, Default)]
pub struct DurationModel {
    weight: f64,
    transfer: f64,
    duration: f64,
    transfer_sq: f64,
    transfer_duration: f64,
}

impl DurationModel {
    pub fn record(&mut self, sent: f64, took: f64, part: f64) {
        update_ewma(&mut self.weight, 1.0, part);
        update_ewma(&mut self.transfer, sent, part);
        update_ewma(&mut self.duration, took, part);
        update_ewma(&mut self.transfer_sq, sent * sent, part);
        update_ewma(&mut self.transfer_duration, sent * took, part);
    }

    /// Moves the line by `part` of the way to where all take their sending time and no more.
    pub fn decay(&mut self, part: f64) {
        let (sent, sent_sent) = (self.transfer, self.transfer_sq);
        update_ewma(&mut self.duration, sent, part);
        update_ewma(&mut self.transfer_duration, sent_sent, part);
    }

    /// What a txn of this sending time takes on the line: at least that. Where sizes hardly differ, or the line would
    /// start below nothing, a multiple of it.
    pub fn predict(&self, sending: f64) -> f64 {
        let n = self.weight.max(1e-9);
        let (sent, took) = (self.transfer / n, self.duration / n);
        let spread = self.transfer_sq / n - sent * sent;
        let slope = (self.transfer_duration / n - sent * took) / spread.max(1e-12);
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
    pub set: PrefixSet,
    /// Nothing older is good any more.
    pub valid_from: Time,
    pub received_at: Time,
}

/// All that a gateway knows at a moment.
#[derive(Clone, Default)]
pub struct RouterState {
    pub members: Vec<MemberRecord>,
    /// Members listed now, by role, and the caches of the own zone: what a txn has to choose from.
    pub listed_by_role: [Vec<usize>; 3],
    pub zone_caches: Vec<usize>,
    pub by_id: BTreeMap<MemberId, usize>,
    pub open_txns: BTreeMap<TxnId, OpenTxn>,
    pub hops: BTreeMap<(TxnId, u32), Hop>,
    pub rule_stats: Vec<RuleStats>,
    pub ready: VecDeque<TxnId>,
    pub pending_cancels: VecDeque<(TxnId, u32)>,
    /// In the order in which they were told.
    pub purges: Vec<Purge>,
    pub purges_merged: usize,
    pub mean_txn_load: f64,
    pub mean_transfer_secs: f64,
    /// What hops took by their txns' sending times, where sizes are told.
    pub duration_model: DurationModel,
    /// Sending time a second that this gateway saw a warm cache and a warm parent complete, at most lately.
    pub peak_warm_rate: [f64; 2],
    pub origin: Option<usize>,
    pub origin_failure_rate: f64,
    /// Transfers on the own zone's link over those that fit, as caches report it.
    pub link_load: f64,
    pub arrivals_since_step: f64,
    pub arrival_rate: f64,
    pub step_count: u32,
}

impl RouterState {
    /// Puts a member where one was that has gone and that nothing names any more, or behind all others: what is
    /// kept does not grow with the ids that have been.
    pub fn insert_member(&mut self, cache: MemberRecord) -> usize {
        let named = |i: usize| {
            let of_open = |o: &OpenTxn| o.avoid.contains(&i) || o.may_have_run.is_some_and(|(m, _)| m == i);
            let of_hop = |h: &Hop| h.member == i || h.source == Some(i);
            self.open_txns.values().any(of_open) || self.hops.values().any(of_hop)
        };
        let free = |&i: &usize| self.members[i].info.state == MemberState::Gone && !named(i);
        let i = (0..self.members.len()).find(free).unwrap_or(self.members.len());
        let (id, role) = (Arc::clone(&cache.info.id), cache.role);
        match self.members.get_mut(i) {
            Some(gone) => _ = self.by_id.remove(&std::mem::replace(gone, cache).info.id),
            None => self.members.push(cache),
        }
        self.by_id.insert(id, i);
        self.origin = if role == Role::Origin { Some(i) } else { self.origin.filter(|&o| o != i) };
        i
    }

    pub fn purge_prefix_count(&self) -> usize {
        self.purges.iter().map(|p| p.set.prefixes().len()).sum()
    }

    /// How much is kept, by name, and what is held of the members: how many are passed over, and how long ago
    /// the near one that has been quiet longest answered, of those that are not.
    pub fn table_sizes(&self, now: Time) -> [(&'static str, usize); 11] {
        let listed = self.members.iter().filter(|c| c.info.state != MemberState::Gone);
        let left_out = listed.filter(|c| c.ejected_until.is_some()).count();
        let near = self.zone_caches.iter().map(|&i| &self.members[i]).filter(|c| c.ejected_until.is_none());
        let quiet = near.map(|c| now - c.last_answer_at).max().unwrap_or(Span::ZERO);
        let spent = self.members.iter().map(|c| c.cold_charges.len()).sum();
        [
            ("members kept", self.members.len()),
            ("members by id", self.by_id.len()),
            ("txns decided on", self.open_txns.len()),
            ("hops decided on", self.hops.len()),
            ("txns ready", self.ready.len()),
            ("purges kept", self.purges.len()),
            ("names of purges kept", self.purge_prefix_count()),
            ("purges joined at the bound", self.purges_merged),
            ("sent to cold members", spent),
            ("members left out", left_out),
            ("ms of the longest silence", (quiet.as_micros() / 1_000) as usize),
        ]
    }
}

/// A share of 1, evenly spread over hashes.
pub fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

pub fn hash_triple(a: u64, b: u64, c: u64) -> u64 {
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..16].copy_from_slice(&b.to_le_bytes());
    bytes[16..].copy_from_slice(&c.to_le_bytes());
    xxh3_64(&bytes)
}

pub fn indicator(is: bool) -> f64 {
    f64::from(u8::from(is))
}

/// A running mean: moves `mean` by `part` of the way to `value`.
pub fn update_ewma(mean: &mut f64, value: f64, part: f64) {
    *mean += (value - *mean) * part;
}
