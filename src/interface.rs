//! The types that pass between a host and the decision module, independent of any protocol. Ids are assigned by the
//! host; the module only compares and hashes them.

use crate::time::{Span, Time};
use std::sync::Arc;

pub type TxnId = u64;
pub type MemberId = Arc<str>;

/// How a member's capacity grows after a start, and the load that it cannot sustain meanwhile.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    /// Fraction of the full capacity that is available at the start.
    pub initial_share: f64,
    /// Time until the full capacity is available.
    pub warm_up: Span,
    /// Load above this multiple of the current capacity, sustained over `overload_window`, brings the member down.
    pub overload_factor: f64,
    pub overload_window: Span,
}

/// Whether a txn that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    /// It carries an idempotency key: members of the dedup scope drop the repeat.
    Keyed,
    Unrepeatable,
}

/// The caches among which a repeat of a keyed txn is recognised and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// How the txns of one kind are treated.
#[derive(Clone, Debug)]
pub struct RemapRule {
    pub effect: Effect,
    pub dedup_scope: DedupScope,
    /// How long a keyed txn is remembered after its first hop.
    pub dedup_window: Span,
    pub sla: Span,
    /// The SLA time grows by this multiple of the txn's own transfer time.
    pub sla_size_factor: f64,
    /// The greatest age of a copy. Zero: a copy is valid until it is purged.
    pub max_age: Span,
    /// How much older than `max_age` a copy may be where a stale one is accepted.
    pub max_stale: Span,
    /// Txns run at the origin and their answers are not cached.
    pub is_write: bool,
}

/// The sibling caches that may be a fill source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillScope {
    Off,
    Zone,
    All,
}

/// What a gateway is given at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gateways in all zones.
    pub gateways: u32,
    /// Gateways in this gateway's zone.
    pub zone_gateways: u32,
    pub zone: usize,
    pub rules: Vec<RemapRule>,
    /// The `Member::kind` of parents.
    pub parent_kind: Option<usize>,
    /// The `Member::kind` of the origin.
    pub origin_kind: Option<usize>,
    /// Rate of one transfer to a client, in KB a second; zero where it is unknown.
    pub client_rate: f64,
    /// Members' capacities are known, in concurrent transfers at `client_rate`.
    pub capacities_known: bool,
    /// A hop may go straight to a parent or the origin, past the caches.
    pub bypass_allowed: bool,
    /// Caches can coalesce concurrent fills of one object.
    pub coalescing: bool,
    pub sibling_fills: FillScope,
    /// Hops can be cancelled.
    pub cancellation: bool,
    /// A rejection may carry the time after which to retry.
    pub retry_after_allowed: bool,
    pub max_retry_after: Span,
    /// Of a txn, the first one included.
    pub max_hops: u32,
    pub connect_timeout: Span,
    pub cache_cold_start: ColdStart,
    pub parent_cold_start: ColdStart,
    /// Time after which all members have dropped what was purged.
    pub purge_propagation: Span,
    /// The member list is sent only to subscribers.
    pub subscription_required: bool,
    /// Time within which a subscription must be made.
    pub subscribe_within: Span,
    /// Resolution of the host's timers.
    pub tick: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    Up,
    Draining,
    Gone,
}

/// An entry of the member list.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: MemberId,
    /// `None` where it is unknown, as for a gateway of another site.
    pub zone: Option<usize>,
    /// Cache, parent or origin, by `Settings::parent_kind` and `Settings::origin_kind`.
    pub kind: usize,
    /// The members of a cell share the idempotency keys that they have seen. `None` where it is unknown.
    pub cell: Option<u64>,
    pub state: MemberState,
    /// In concurrent transfers at `Settings::client_rate`, where capacities are known.
    pub capacity: f64,
    /// `None`: so long ago that it is warm.
    pub started: Option<Time>,
    /// A gateway of another site that only this gateway reaches, over a link: no cache can fill from it.
    pub remote: bool,
}

/// Whether a txn may have run before it came to this gateway, as its sender states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EarlierAttempt {
    #[default]
    None,
    /// The first attempt that may have run was sent at this time.
    SentAt(Time),
    /// The sender can't state it: one may have been sent at any time.
    Unknown,
}

/// A request of a client, or of a gateway of another site that passes one on.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    pub id: TxnId,
    /// Index in `Settings::rules`.
    pub rule: usize,
    pub object: u64,
    pub group: u64,
    pub part: u64,
    pub is_write: bool,
    /// KB to be sent; `None` where it is unknown.
    pub size: Option<f64>,
    /// Time until the client gives up.
    pub time_left: Span,
    /// The oldest copy that the client accepts, where it states one.
    pub max_age: Option<Span>,
    pub earlier_attempt: EarlierAttempt,
    /// Nothing of the txn may be sent after this time, where its sender states one.
    pub start_by: Option<Time>,
}

/// How a hop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopStatus {
    Completed,
    Errored,
    /// The member rejected it, for example as overloaded.
    TurnedAway,
    /// The member, a gateway, rejected it after an attempt of its own that may have run.
    GivenUp,
    TimedOut,
    /// No connection could be made, or it ended before the request was sent in full.
    Unreachable,
    /// The connection ended after the request was sent in full and before the answer was complete.
    Broken,
    /// The answer can't be used, though the member is not overloaded.
    Spoilt,
    /// Cancelled, or given up for a reason of the gateway's own: says nothing about the member.
    Withdrawn,
    /// The request was not sent in full, for a reason of the gateway's own.
    NeverSent,
    /// Cancelled before anything was sent, as an update has changed what the decision was based on.
    Overtaken,
    /// The member was asked only for a copy that it has and had none.
    Lacking,
}

impl HopStatus {
    /// Invariant: true only where the txn has certainly not run.
    pub fn proves_not_run(self) -> bool {
        use HopStatus::*;
        matches!(self, TurnedAway | Unreachable | NeverSent | Overtaken | Lacking)
    }
}

/// How a cache answered or why its fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Hit.
    Held,
    /// Miss, filled from the source's copy.
    Filled,
    /// Miss, filled from the origin through the source.
    FilledByOrigin,
    /// Miss, coalesced with a fill in progress.
    Joined,
    /// Stale hit.
    Old,
    /// The fill source rejected the fill.
    SourceRefused,
    /// The fill source could not be reached or did not answer.
    SourceLost,
    /// The fill source was asked only for a copy that it has and had none.
    SourceLacks,
    /// The cache had no capacity for the fill.
    NoPlace,
    OriginFailed,
}

/// Load that a member reported with an outcome; `None` where it reported none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Of a cache: transfers on its zone's link over those that fit. Of a parent: fetches in progress.
    pub link_load: Option<f64>,
}

/// The end of a hop.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub txn: TxnId,
    /// Number of the hop within its txn, from 0.
    pub hop: u32,
    pub status: HopStatus,
    pub duration: Span,
    /// The txn has its final answer.
    pub answered: bool,
    pub cache_status: Option<CacheStatus>,
    /// Time until the fill source's first byte or until the fill failed.
    pub first_byte: Option<Span>,
    pub load: LoadReport,
}

/// Instructions to a cache for a miss.
#[derive(Clone, Debug, PartialEq)]
pub struct Fill {
    pub source: MemberId,
    /// 0: the copy is not kept; 1 to 3: the rank at which it is kept.
    pub keep_rank: u8,
    /// Joins a fill of the object that is in progress.
    pub coalesce: bool,
    /// The source serves only a copy that it has.
    pub only_if_cached: bool,
    /// An expired copy may be revalidated instead of fetched again.
    pub revalidate: bool,
    /// The oldest acceptable copy; `None`: the remap rule's max age.
    pub max_age: Option<Span>,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Sends the txn to `member`. Nothing of it may be sent after `start_by`.
    Hop {
        txn: TxnId,
        member: MemberId,
        fill: Option<Fill>,
        /// When the first attempt that may have run was sent, here or by an earlier gateway.
        first_attempt: Option<Time>,
        start_by: Time,
        deadline: Time,
    },
    /// Cancels a hop; the host still reports its outcome.
    Cancel { txn: TxnId, hop: u32 },
    /// Answers the client that its txn was not served and may be repeated. A gateway of another site also needs to be
    /// told whether a hop may have run.
    Reject { txn: TxnId, retry_after: Option<Span> },
    /// Answers the client that its txn failed and may have run.
    Abort { txn: TxnId },
    /// Subscribes to the member list.
    Subscribe,
}
