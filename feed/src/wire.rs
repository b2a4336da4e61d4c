//! Messages between gateways and hubs (protobuf by prost), and their validation.
//!
//! Invariant: nothing here is trusted before `seal` has verified its MAC; an invalid message is discarded as a whole.

use crate::positions::MAX_SEQ;
use crate::settings::{MAX_STREAMS, is_valid_name};

/// Maximum length of a bundle with its signature.
pub const MAX_BUNDLE_BYTES: usize = 1_150;
/// Maximum number of bytes of one piece of an event.
pub const MAX_PIECE_BYTES: usize = 800;
/// Maximum length of an event.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;
/// Maximum number of ranges in one request.
pub const MAX_RANGES_PER_REQUEST: usize = 16;
/// Maximum number of members named in one report.
pub const MAX_LAGGARDS_PER_REPORT: usize = 8;
/// Maximum number of sites in one summary.
pub const MAX_SITES_PER_SUMMARY: usize = 100;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Packet {
    #[prost(oneof = "Payload", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub payload: Option<Payload>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    #[prost(message, tag = "1")]
    Live(LiveBundle),
    /// A requested bundle.
    #[prost(bytes = "vec", tag = "2")]
    Retransmission(Vec<u8>),
    /// A bundle without signature that a contact composed itself.
    #[prost(bytes = "vec", tag = "3")]
    Provisional(Vec<u8>),
    #[prost(message, tag = "4")]
    Subscribe(Subscribe),
    /// Token that a requester or subscriber has to return, as proof that it receives at its source address.
    #[prost(fixed64, tag = "5")]
    Challenge(u64),
    #[prost(message, tag = "6")]
    RetransmitRequest(RetransmitRequest),
    /// Nothing of what was requested is available.
    #[prost(bool, tag = "7")]
    Unavailable(bool),
    #[prost(message, tag = "8")]
    Ack(Ack),
    #[prost(message, tag = "9")]
    Report(Report),
    /// A `HubSummary` followed by its hub's signature.
    #[prost(bytes = "vec", tag = "10")]
    HubSummary(Vec<u8>),
    /// The sender receives bundles directly from a hub and has this rank: members with a higher rank need not be
    /// contacts.
    #[prost(uint32, tag = "11")]
    ContactClaim(u32),
}

/// A hub's bundle as it is disseminated through a site.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LiveBundle {
    #[prost(bytes = "vec", tag = "1")]
    pub bundle: Vec<u8>,
    /// Rank of the contact that received it, in contact order.
    #[prost(uint32, tag = "2")]
    pub contact_rank: u32,
}

/// The events a hub has collected in one period. Streams are identified by their index in the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Bundle {
    /// Derived from the hub's name; 0: provisional.
    #[prost(fixed32, tag = "1")]
    pub hub: u32,
    #[prost(fixed32, tag = "2")]
    pub run_id: u32,
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// The first sequence number of each stream; 0: the bundle does not name the stream.
    #[prost(uint64, repeated, tag = "4")]
    pub firsts: Vec<u64>,
    /// Number of events of each stream, from the first one on.
    #[prost(uint64, repeated, tag = "5")]
    pub counts: Vec<u64>,
    /// Time since the list service was known to have no more events, in units of 10 ms, rounded up; empty: unknown.
    #[prost(uint32, repeated, tag = "6")]
    pub ages_10ms: Vec<u32>,
    /// Distance from the watermark of sites in touch to the last sequence number; empty: unknown.
    #[prost(uint64, repeated, tag = "7")]
    pub in_touch_lag: Vec<u64>,
    /// Distance from the watermark of all sites to that of sites in touch; empty: the two are equal.
    #[prost(uint64, repeated, tag = "8")]
    pub everywhere_lag: Vec<u64>,
    /// The latest timestamp of the purges in the bundle, or the latest recent one if it has none; Unix ms.
    #[prost(uint64, tag = "9")]
    pub issued_ms: u64,
    /// As encoded by `name_codec`; empty: no purges.
    #[prost(bytes = "vec", tag = "10")]
    pub names: Vec<u8>,
    #[prost(message, repeated, tag = "11")]
    pub pieces: Vec<Piece>,
    /// Sites report which members have everything up to this bundle.
    #[prost(bool, tag = "12")]
    pub wants_report: bool,
    /// Number of sites, so that they can share a connection rate while no hub is reachable.
    #[prost(uint32, tag = "13")]
    pub site_count: u32,
    /// Distance from `issued_ms` to the latest timestamp known to the hub: nothing up to the last sequence numbers was
    /// issued later.
    #[prost(uint64, tag = "14")]
    pub latest_delta_ms: u64,
}

/// A piece of an event that is not a purge.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Piece {
    #[prost(uint32, tag = "1")]
    pub stream: u32,
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// Offset of the piece in the event, and length of the whole event.
    #[prost(uint32, tag = "3")]
    pub offset: u32,
    #[prost(uint32, tag = "4")]
    pub total_len: u32,
    #[prost(bytes = "vec", tag = "5")]
    pub bytes: Vec<u8>,
}

/// Subscribes a contact to a hub's bundles for the next seconds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Subscribe {
    #[prost(string, tag = "1")]
    pub site: String,
    #[prost(string, tag = "2")]
    pub gateway: String,
    /// Run id of the contact, and a counter of its subscriptions.
    #[prost(fixed32, tag = "3")]
    pub run_id: u32,
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    #[prost(fixed64, tag = "5")]
    pub token: u64,
    #[prost(bool, tag = "6")]
    pub unsubscribe: bool,
    /// By stream.
    #[prost(uint64, repeated, tag = "7")]
    pub positions: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RetransmitRequest {
    #[prost(message, repeated, tag = "1")]
    pub ranges: Vec<Range>,
    /// Only recent events.
    #[prost(bool, tag = "2")]
    pub recent_only: bool,
    /// One bundle by its id.
    #[prost(message, optional, tag = "3")]
    pub bundle: Option<BundleId>,
    /// In requests to a hub: the requesting site.
    #[prost(string, tag = "4")]
    pub site: String,
    #[prost(fixed64, tag = "5")]
    pub token: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Range {
    #[prost(uint32, tag = "1")]
    pub stream: u32,
    #[prost(uint64, tag = "2")]
    pub first: u64,
    #[prost(uint64, tag = "3")]
    pub last: u64,
    /// For a range of one event: its bytes from this offset on.
    #[prost(uint32, tag = "4")]
    pub offset: u32,
}

/// The id of a bundle.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct BundleId {
    #[prost(fixed32, tag = "1")]
    pub hub: u32,
    #[prost(fixed32, tag = "2")]
    pub run_id: u32,
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

/// Sent to the root of a tree: everything up to the ends of this bundle has been received, except in the listed
/// streams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {
    #[prost(message, optional, tag = "1")]
    pub bundle: Option<BundleId>,
    #[prost(uint32, repeated, tag = "2")]
    pub streams: Vec<u32>,
    /// The positions in these streams.
    #[prost(uint64, repeated, tag = "3")]
    pub positions: Vec<u64>,
}

/// Sent to the hub that made the bundle: what the live members of the site have acknowledged.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    #[prost(string, tag = "1")]
    pub site: String,
    #[prost(string, tag = "2")]
    pub gateway: String,
    #[prost(message, optional, tag = "3")]
    pub bundle: Option<BundleId>,
    /// Live members, including the sender.
    #[prost(uint32, tag = "4")]
    pub members: u32,
    /// Streams in which some members lack events of the bundle, and the minimum position there.
    #[prost(uint32, repeated, tag = "5")]
    pub streams: Vec<u32>,
    #[prost(uint64, repeated, tag = "6")]
    pub positions: Vec<u64>,
    #[prost(message, repeated, tag = "7")]
    pub laggards: Vec<Laggard>,
    /// Number of silent members beyond those listed as laggards.
    #[prost(uint32, tag = "8")]
    pub silent_omitted: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Laggard {
    #[prost(string, tag = "1")]
    pub name: String,
    /// No acknowledgement was received from it.
    #[prost(bool, tag = "2")]
    pub silent: bool,
    #[prost(uint32, tag = "3")]
    pub stream: u32,
    #[prost(uint64, tag = "4")]
    pub position: u64,
}

/// Exchanged between hubs: sites in direct touch with the sender, and the positions that all of them have acknowledged.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HubSummary {
    #[prost(fixed32, tag = "1")]
    pub hub: u32,
    #[prost(fixed32, tag = "2")]
    pub run_id: u32,
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    #[prost(uint64, repeated, tag = "4")]
    pub positions: Vec<u64>,
    /// Hashes of the site names.
    #[prost(fixed64, repeated, tag = "5")]
    pub sites: Vec<u64>,
    /// The sites are in touch but have not reported.
    #[prost(bool, tag = "6")]
    pub unreported: bool,
}

impl Bundle {
    /// No purge up to the bundle's last sequence numbers has a later timestamp.
    pub fn latest_issued_ms(&self) -> u64 {
        self.issued_ms.saturating_add(self.latest_delta_ms)
    }

    pub fn id(&self) -> BundleId {
        BundleId { hub: self.hub, run_id: self.run_id, seq: self.seq }
    }

    /// Stream, first and last sequence number; last is below first if the bundle has no events of the stream.
    pub fn ranges(&self) -> impl Iterator<Item = (usize, u64, u64)> {
        let all = self.firsts.iter().zip(&self.counts).enumerate();
        all.filter(|(_, (first, _))| **first != 0).map(|(s, (first, count))| (s, *first, first + count - 1))
    }

    pub fn is_valid(&self) -> bool {
        let n = self.firsts.len();
        let part = |len: usize| len == 0 || len == n;
        let numbers = |(first, count): (&u64, &u64)| {
            *first <= MAX_SEQ && *count <= MAX_SEQ && (*first != 0 || *count == 0)
        };
        let piece = |p: &Piece| {
            (p.stream as usize) < MAX_STREAMS
                && (1..=MAX_SEQ).contains(&p.seq)
                && p.total_len as usize <= MAX_LINE_BYTES
                && (1..=MAX_PIECE_BYTES).contains(&p.bytes.len())
                && u64::from(p.offset) + p.bytes.len() as u64 <= p.total_len.into()
        };
        n <= MAX_STREAMS
            && self.counts.len() == n
            && self.firsts.iter().zip(&self.counts).all(numbers)
            && part(self.ages_10ms.len())
            && part(self.in_touch_lag.len())
            && part(self.everywhere_lag.len())
            && self.pieces.iter().all(piece)
    }
}

fn are_valid_positions(streams: &[u32], positions: &[u64]) -> bool {
    streams.len() == positions.len()
        && streams.is_sorted_by(|a, b| a < b)
        && streams.iter().all(|s| (*s as usize) < MAX_STREAMS)
        && positions.iter().all(|p| *p <= MAX_SEQ)
}

impl Payload {
    pub fn is_valid(&self) -> bool {
        match self {
            Payload::Live(p) => p.bundle.len() <= MAX_BUNDLE_BYTES,
            Payload::Retransmission(b) | Payload::Provisional(b) | Payload::HubSummary(b) => b.len() <= 1_300,
            Payload::Subscribe(f) => {
                is_valid_name(&f.site) && is_valid_name(&f.gateway) && f.positions.len() <= MAX_STREAMS
            }
            Payload::RetransmitRequest(f) => {
                let range = |r: &Range| {
                    (r.stream as usize) < MAX_STREAMS
                        && (1..=MAX_SEQ).contains(&r.first)
                        && (r.first..=MAX_SEQ).contains(&r.last)
                        && (r.offset == 0 || r.first == r.last)
                };
                let site = f.site.is_empty() || is_valid_name(&f.site);
                f.ranges.len() <= MAX_RANGES_PER_REQUEST && f.ranges.iter().all(range) && site
            }
            Payload::Ack(c) => c.bundle.is_some() && are_valid_positions(&c.streams, &c.positions),
            Payload::Report(r) => {
                let laggard = |l: &Laggard| is_valid_name(&l.name) && (l.stream as usize) < MAX_STREAMS;
                is_valid_name(&r.site)
                    && is_valid_name(&r.gateway)
                    && r.bundle.is_some()
                    && are_valid_positions(&r.streams, &r.positions)
                    && r.laggards.len() <= MAX_LAGGARDS_PER_REPORT
                    && r.laggards.iter().all(laggard)
            }
            Payload::Challenge(_) | Payload::Unavailable(_) | Payload::ContactClaim(_) => true,
        }
    }
}
