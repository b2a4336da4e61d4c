//! What a host tells the module and what it gets back, in the project's own words and apart from any
//! protocol. Ids are the host's; the module only compares and hashes them.

use crate::time::{Span, Time};
use std::sync::Arc;

pub type TxnId = u64;
pub type MemberId = Arc<str>;

/// What a restart allows: at least `from` of the capacity at once, all of it `within` the span. More than
/// `multiple` of what it can do, kept up `over` a span, pushes it over.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    pub initial_share: f64,
    pub warm_up: Span,
    pub overload_factor: f64,
    pub overload_window: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    Keyed,
    Unrepeatable,
}

/// The caches that drop repeats of a keyed txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct RemapRule {
    pub effect: Effect,
    pub dedup_scope: DedupScope,
    pub dedup_window: Span,
    pub sla: Span,
    /// The SLA time grows by this multiple of the txn's own sending time.
    pub sla_size_factor: f64,
    /// Zero: a copy is good until it is purged.
    pub max_age: Span,
    /// How much older than fresh a copy may be when asked for.
    pub max_stale: Span,
    /// Never kept, runs at the origin.
    pub is_write: bool,
}

/// The caches that may be a fill source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillScope {
    Off,
    Zone,
    All,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub gateways: u32,
    /// Gateways in the own zone.
    pub zone_gateways: u32,
    pub zone: usize,
    pub rules: Vec<RemapRule>,
    pub parent_kind: Option<usize>,
    pub origin_kind: Option<usize>,
    /// KB a second of one transfer to a client; zero where it is not told.
    pub client_rate: f64,
    /// Members' sizes are told, in transfers at `client_pace`.
    pub capacities_known: bool,
    /// A hop may go straight to a parent or the origin.
    pub bypass_allowed: bool,
    pub coalescing: bool,
    pub sibling_fills: FillScope,
    pub cancellation: bool,
    pub retry_after_allowed: bool,
    pub max_retry_after: Span,
    pub max_hops: u32,
    pub connect_timeout: Span,
    pub cache_cold_start: ColdStart,
    pub parent_cold_start: ColdStart,
    /// When all members have dropped what was purged.
    pub purge_propagation: Span,
    /// The list must be asked for.
    pub subscription_required: bool,
    pub subscribe_within: Span,
    pub tick: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    Up,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub id: MemberId,
    pub zone: usize,
    pub kind: usize,
    pub cell: u64,
    pub state: MemberState,
    pub capacity: f64,
    /// `None`: long ago.
    pub started: Option<Time>,
    /// A gateway of another site, reached over a link by this gateway alone: no cache can fill from it.
    pub remote: bool,
}

#[derive(Clone, Debug)]
pub struct Txn {
    pub id: TxnId,
    pub rule: usize,
    pub object: u64,
    pub group: u64,
    pub part: u64,
    pub is_write: bool,
    /// KB to be sent; `None` where it is not told.
    pub size: Option<f64>,
    /// How long until the client gives this try up.
    pub time_left: Span,
    /// The oldest copy that the asker takes, where it says so.
    pub max_age: Option<Span>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopStatus {
    Completed,
    Errored,
    TurnedAway,
    TimedOut,
    Unreachable,
    Broken,
    /// It answered what can't be used, though its load is as it should be.
    Spoilt,
    Withdrawn,
    NeverSent,
    /// Taken back before anything was sent: news has changed what it was ordered on.
    Overtaken,
    Lacking,
}

impl HopStatus {
    pub fn proves_not_run(self) -> bool {
        use HopStatus::*;
        matches!(self, TurnedAway | Unreachable | NeverSent | Overtaken | Lacking)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    Held,
    Filled,
    FilledByOrigin,
    Joined,
    Old,
    SourceRefused,
    SourceLost,
    SourceLacks,
    NoPlace,
    OriginFailed,
}

/// Load that came with an outcome; `None` where it is not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Of a cache: transfers on its zone's link over those that fit. Of a parent: fetches out.
    pub link_load: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub txn: TxnId,
    /// Counted from 0 in a txn.
    pub hop: u32,
    pub status: HopStatus,
    pub duration: Span,
    /// The txn has its final answer.
    pub answered: bool,
    pub cache_status: Option<CacheStatus>,
    /// Time to the source's first byte or to the fill's failure.
    pub first_byte: Option<Span>,
    pub load: LoadReport,
}

/// What a cache is to do when it lacks a fresh copy.
#[derive(Clone, Debug, PartialEq)]
pub struct Fill {
    pub source: MemberId,
    /// 0: pass through; 1 to 3: the rank at which the copy is kept.
    pub keep_rank: u8,
    pub coalesce: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    pub revalidate: bool,
    /// `None`: the remap rule's fresh time.
    pub max_age: Option<Span>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Nothing of it may be sent after `begin_by`.
    Hop {
        txn: TxnId,
        member: MemberId,
        fill: Option<Fill>,
        start_by: Time,
        deadline: Time,
    },
    Cancel {
        txn: TxnId,
        hop: u32,
    },
    Reject {
        txn: TxnId,
        retry_after: Option<Span>,
    },
    Abort {
        txn: TxnId,
    },
    Subscribe,
}
