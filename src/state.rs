//! The state that a gateway keeps between calls: plain records, written and read by the decisions in `logic.rs`.

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

/// State of a parent's weight controller, from this gateway's own fills. The counts are halved in each step.
#[derive(Clone)]
pub struct WeightController {
    /// 5 to 100.
    pub weight: f64,
    /// Time to first byte of fills, in the recent windows and over the long term.
    pub recent_first_byte: Histogram,
    pub baseline_first_byte: Histogram,
    pub fills: f64,
    pub failed: f64,
    pub timed_out: f64,
    /// Windows in a row without degradation.
    pub clean_windows: u32,
    pub window_degraded: bool,
}

/// What is known of a listed member: an edge cache, a parent or the origin.
#[derive(Clone)]
pub struct MemberRecord {
    pub info: Member,
    /// Hash of the id, for rendezvous hashing.
    pub id_hash: u64,
    pub role: Role,
    /// The number of gateways that send to it.
    pub gateway_count: f64,
    /// Load in flight from this gateway: KB, or txns where sizes are unknown.
    pub in_flight: f64,
    /// EWMA of `in_flight` as of `mean_updated_at`, over `averaging_time`.
    mean_in_flight: f64,
    mean_updated_at: Time,
    averaging_time: Span,
    pub consecutive_failures: u32,
    /// While the member is ejected: when the next probe hop may be sent.
    pub ejected_until: Option<Time>,
    pub last_answer_at: Time,
    /// When the newest of the hops that it completed in time was sent.
    pub last_timely_sent_at: Time,
    /// What counts against the cold-start budget: when it was sent, its transfer time in seconds, and the hop.
    pub cold_charges: VecDeque<(Time, f64, (TxnId, u32))>,
    /// Transfer time, in seconds, of the hops completed since the last step.
    pub completed_since_step: f64,
    /// Its EWMA: seconds of transfer time completed a second.
    pub completion_rate: f64,
    /// In mean txns.
    pub concurrency_limit: f64,
    /// Of use for parents only.
    pub weight_controller: WeightController,
}

impl MemberRecord {
    pub fn new(
        now: Time,
        info: Member,
        role: Role,
        gateway_count: f64,
        averaging_time: Span,
        weight_controller: WeightController,
    ) -> MemberRecord {
        let (
            in_flight,
            mean_in_flight,
            mean_updated_at,
            completed_since_step,
            completion_rate,
            concurrency_limit,
        ) = (0.0, 0.0, now, 0.0, 0.0, 0.0);
        let id_hash = xxh3_64(info.id.as_bytes());
        let (consecutive_failures, ejected_until, last_answer_at, last_timely_sent_at, cold_charges) =
            (0, None, now, now, VecDeque::new());
        MemberRecord {
            info,
            id_hash,
            role,
            gateway_count,
            in_flight,
            mean_in_flight,
            mean_updated_at,
            averaging_time,
            consecutive_failures,
            ejected_until,
            last_answer_at,
            last_timely_sent_at,
            cold_charges,
            completed_since_step,
            completion_rate,
            concurrency_limit,
            weight_controller,
        }
    }

    /// The EWMA of `in_flight` at `now`: each moment's weight decays exponentially over `averaging_time`.
    pub fn mean_in_flight(&self, now: Time) -> f64 {
        self.in_flight
            + (self.mean_in_flight - self.in_flight)
                * (-((now - self.mean_updated_at) / self.averaging_time)).exp()
    }

    pub fn add_in_flight(&mut self, now: Time, delta: f64) {
        self.mean_in_flight = self.mean_in_flight(now);
        (self.mean_updated_at, self.in_flight) = (now, self.in_flight + delta);
    }

    /// The member has answered: ends an ejection and resets the count of failures.
    pub fn record_answer(&mut self, now: Time) {
        (self.last_answer_at, self.consecutive_failures, self.ejected_until) = (now, 0, None);
    }

    /// The member's weight in rendezvous hashing and load bounds; equal where capacities are unknown.
    pub fn relative_capacity(&self, capacities_known: bool) -> f64 {
        if capacities_known { self.info.capacity.max(1e-6) } else { 1.0 }
    }
}

/// Where and when a hop was sent, as the member was listed then.
#[derive(Clone, Copy)]
pub struct Destination {
    pub member: usize,
    /// `None` where it is unknown.
    pub zone: Option<usize>,
    /// `None` where it is unknown.
    pub cell: Option<u64>,
    pub sent_at: Time,
}

/// A hop in flight.
#[derive(Clone)]
pub struct Hop {
    pub member: usize,
    pub source: Option<usize>,
    pub sent_at: Time,
    pub zone: Option<usize>,
    pub cell: Option<u64>,
    pub overdue_at: Time,
    pub sla: Span,
    /// Transfer time of the txn, in seconds.
    pub transfer_secs: f64,
    /// Load in flight at the member: KB, or one txn where its size is unknown.
    pub load: f64,
    /// Load in flight at the fill source, weighted by how often a fill is needed.
    pub fill_load: f64,
    /// The fill is expected to go on from the parent to the origin.
    pub reaches_origin: bool,
    /// The duration tells the transfer rate: the size is known, and the member is not remote.
    pub size_known: bool,
    pub cancelled: bool,
}

/// A txn without a final answer.
#[derive(Clone)]
pub struct OpenTxn {
    pub txn: Txn,
    pub deadline: Time,
    pub hop_count: u32,
    pub hops_in_flight: u32,
    /// Members that failed this txn.
    pub avoid: Vec<usize>,
    /// A cache, or a source behind it, was asked only for a copy that it has and had none.
    pub cache_lacked: bool,
    /// The parent was asked only for a copy that it has and had none.
    pub parent_lacked: bool,
    pub origin_failed: bool,
    /// The first hop of this gateway that may have run.
    pub may_have_run: Option<Destination>,
}

impl OpenTxn {
    pub fn new(txn: Txn, deadline: Time) -> OpenTxn {
        let (cache_lacked, parent_lacked, origin_failed) = (false, false, false);
        let (hop_count, hops_in_flight, avoid, may_have_run) = (0, 0, Vec::new(), None);
        OpenTxn {
            txn,
            deadline,
            hop_count,
            hops_in_flight,
            avoid,
            cache_lacked,
            parent_lacked,
            origin_failed,
            may_have_run,
        }
    }

    /// The load that a hop puts in flight: KB, or one txn where the size is unknown.
    pub fn load(&self) -> f64 {
        self.txn.size.unwrap_or(1.0)
    }
}

/// Measurements of a remap rule's txns.
#[derive(Clone)]
pub struct RuleStats {
    pub mean_transfer_secs: f64,
    /// `mean_transfer_secs` is measured from known sizes, no longer assumed.
    pub measured: bool,
}

/// Running linear regression of hop duration on transfer time, both in seconds, from EWMAs of the moments.
#[derive(Clone, Default)]
pub struct DurationModel {
    weight: f64,
    transfer: f64,
    duration: f64,
    transfer_sq: f64,
    transfer_duration: f64,
}

impl DurationModel {
    pub fn record(&mut self, transfer: f64, duration: f64, alpha: f64) {
        update_ewma(&mut self.weight, 1.0, alpha);
        update_ewma(&mut self.transfer, transfer, alpha);
        update_ewma(&mut self.duration, duration, alpha);
        update_ewma(&mut self.transfer_sq, transfer * transfer, alpha);
        update_ewma(&mut self.transfer_duration, transfer * duration, alpha);
    }

    /// Moves the line by the fraction `alpha` towards the one where each hop takes just its transfer time.
    pub fn decay(&mut self, alpha: f64) {
        let (transfer, transfer_sq) = (self.transfer, self.transfer_sq);
        update_ewma(&mut self.duration, transfer, alpha);
        update_ewma(&mut self.transfer_duration, transfer_sq, alpha);
    }

    /// Predicted hop duration, at least the transfer time. Where sizes hardly differ, or the line has a negative
    /// intercept, the prediction is a multiple of the transfer time.
    pub fn predict(&self, transfer_secs: f64) -> f64 {
        let weight = self.weight.max(1e-9);
        let (mean_transfer, mean_duration) = (self.transfer / weight, self.duration / weight);
        let variance = self.transfer_sq / weight - mean_transfer * mean_transfer;
        let slope = (self.transfer_duration / weight - mean_transfer * mean_duration) / variance.max(1e-12);
        let intercept = mean_duration - slope.max(1.0) * mean_transfer;
        if variance > mean_transfer * mean_transfer * 0.01 && intercept >= 0.0 {
            intercept + transfer_secs * slope.max(1.0)
        } else {
            transfer_secs * (mean_duration / mean_transfer.max(1e-6)).max(1.0)
        }
    }
}

#[derive(Clone)]
pub struct Purge {
    pub set: PrefixSet,
    /// Copies made before are no longer valid.
    pub valid_from: Time,
    pub received_at: Time,
}

/// The state of a gateway's decision module. Members are referred to by their index in `members`.
#[derive(Clone, Default)]
pub struct RouterState {
    pub members: Vec<MemberRecord>,
    /// Members that are not gone, by role.
    pub listed_by_role: [Vec<usize>; 3],
    /// The listed caches of this gateway's zone.
    pub zone_caches: Vec<usize>,
    pub by_id: BTreeMap<MemberId, usize>,
    pub open_txns: BTreeMap<TxnId, OpenTxn>,
    pub hops: BTreeMap<(TxnId, u32), Hop>,
    pub rule_stats: Vec<RuleStats>,
    /// Txns that wait for a decision.
    pub ready: VecDeque<TxnId>,
    pub pending_cancels: VecDeque<(TxnId, u32)>,
    /// In the order in which they were received.
    pub purges: Vec<Purge>,
    pub purges_merged: usize,
    /// EWMA over txns: KB, or 1 where sizes are unknown.
    pub mean_txn_load: f64,
    pub mean_transfer_secs: f64,
    /// From hops of txns of known size.
    pub duration_model: DurationModel,
    /// Decaying maximum of the mean completion rate of warm caches and of warm parents, from this gateway.
    pub peak_warm_rate: [f64; 2],
    pub origin: Option<usize>,
    /// EWMA of the share of origin fills that fail or start late.
    pub origin_failure_rate: f64,
    /// EWMA of the transfers on the zone's own link over those that fit, as reported by caches.
    pub link_load: f64,
    pub arrivals_since_step: f64,
    /// EWMA, in txns a second.
    pub arrival_rate: f64,
    pub step_count: u32,
}

impl RouterState {
    /// Inserts a member in the slot of one that is gone and no longer referenced, else at the end, so that memory does
    /// not grow with the number of ids ever seen.
    pub fn insert_member(&mut self, record: MemberRecord) -> usize {
        let referenced = |i: usize| {
            let by_txn =
                |o: &OpenTxn| o.avoid.contains(&i) || o.may_have_run.is_some_and(|hop| hop.member == i);
            let by_hop = |h: &Hop| h.member == i || h.source == Some(i);
            self.open_txns.values().any(by_txn) || self.hops.values().any(by_hop)
        };
        let free = |&i: &usize| self.members[i].info.state == MemberState::Gone && !referenced(i);
        let i = (0..self.members.len()).find(free).unwrap_or(self.members.len());
        let (id, role) = (Arc::clone(&record.info.id), record.role);
        match self.members.get_mut(i) {
            Some(slot) => _ = self.by_id.remove(&std::mem::replace(slot, record).info.id),
            None => self.members.push(record),
        }
        self.by_id.insert(id, i);
        self.origin = if role == Role::Origin { Some(i) } else { self.origin.filter(|&o| o != i) };
        i
    }

    pub fn purge_prefix_count(&self) -> usize {
        self.purges.iter().map(|p| p.set.prefixes().len()).sum()
    }

    /// Table sizes by name, the number of ejected members, and the longest time since the last answer of a cache of the
    /// zone that is not ejected.
    pub fn table_sizes(&self, now: Time) -> [(&'static str, usize); 11] {
        let listed = self.members.iter().filter(|record| record.info.state != MemberState::Gone);
        let ejected = listed.filter(|record| record.ejected_until.is_some()).count();
        let answering = self
            .zone_caches
            .iter()
            .map(|&i| &self.members[i])
            .filter(|record| record.ejected_until.is_none());
        let longest_silence = answering.map(|record| now - record.last_answer_at).max().unwrap_or(Span::ZERO);
        let cold_charges = self.members.iter().map(|record| record.cold_charges.len()).sum();
        [
            ("members kept", self.members.len()),
            ("members by id", self.by_id.len()),
            ("txns decided on", self.open_txns.len()),
            ("hops decided on", self.hops.len()),
            ("txns ready", self.ready.len()),
            ("purges kept", self.purges.len()),
            ("names of purges kept", self.purge_prefix_count()),
            ("purges joined at the bound", self.purges_merged),
            ("sent to cold members", cold_charges),
            ("members left out", ejected),
            ("ms of the longest silence", (longest_silence.as_micros() / 1_000) as usize),
        ]
    }
}

/// Maps a hash evenly to the interval 0 to 1.
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

/// 1 if true, else 0.
pub fn indicator(is: bool) -> f64 {
    f64::from(u8::from(is))
}

/// Moves `mean` by the fraction `alpha` towards `value`.
pub fn update_ewma(mean: &mut f64, value: f64, alpha: f64) {
    *mean += (value - *mean) * alpha;
}
