//! What gateways and hubs say to each other on the feed (protobuf by prost), and what may stand in it. Must never be
//! trusted before `seal` has checked its code; what is not sound is thrown away whole.

use crate::positions::MAX_SEQ;
use crate::settings::{MAX_STREAMS, is_valid_name};

/// A bundle with its signature.
pub const MAX_BUNDLE_BYTES: usize = 1_150;
/// Bytes of an event that is no purge.
pub const MAX_PIECE_BYTES: usize = 800;
pub const MAX_LINE_BYTES: usize = 1024 * 1024;
/// Ranges that one request names, and members that one report does.
pub const MAX_RANGES_PER_REQUEST: usize = 16;
pub const MAX_LAGGARDS_PER_REPORT: usize = 8;
/// Sites that one hub tells another of in a datagram.
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
    /// A bundle that was asked for.
    #[prost(bytes = "vec", tag = "2")]
    Retransmission(Vec<u8>),
    /// What a contact gathered itself, without a signature.
    #[prost(bytes = "vec", tag = "3")]
    Provisional(Vec<u8>),
    #[prost(message, tag = "4")]
    Subscribe(Subscribe),
    /// Who asks or follows has to show this number, so that what it said is not another's from elsewhere.
    #[prost(fixed64, tag = "5")]
    Challenge(u64),
    #[prost(message, tag = "6")]
    RetransmitRequest(RetransmitRequest),
    /// Nothing of what was asked for is here.
    #[prost(bool, tag = "7")]
    Unavailable(bool),
    #[prost(message, tag = "8")]
    Ack(Ack),
    #[prost(message, tag = "9")]
    Report(Report),
    /// A `Gathered` with its hub's signature behind it.
    #[prost(bytes = "vec", tag = "10")]
    HubSummary(Vec<u8>),
    /// The sender hears a hub itself and stands at this place: one behind it need not be a contact.
    #[prost(uint32, tag = "11")]
    ContactClaim(u32),
}

/// A hub's bundle on its way through a site.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LiveBundle {
    #[prost(bytes = "vec", tag = "1")]
    pub bundle: Vec<u8>,
    /// The place of the contact in the common order.
    #[prost(uint32, tag = "2")]
    pub contact_rank: u32,
}

/// What a hub has gathered in a period. Streams are named by their place in the file.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Bundle {
    /// Of the hub's name; 0: provisional.
    #[prost(fixed32, tag = "1")]
    pub hub: u32,
    #[prost(fixed32, tag = "2")]
    pub run_id: u32,
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// The first number of each stream; 0: nothing is said of it.
    #[prost(uint64, repeated, tag = "4")]
    pub firsts: Vec<u64>,
    /// Numbers of each stream that it holds, from the first one on.
    #[prost(uint64, repeated, tag = "5")]
    pub counts: Vec<u64>,
    /// Since the list service was known to have no more than that, in units of 10 ms, rounded up; empty: not told.
    #[prost(uint32, repeated, tag = "6")]
    pub ages_10ms: Vec<u32>,
    /// From the watermark of sites in touch to the last number; empty: not told.
    #[prost(uint64, repeated, tag = "7")]
    pub in_touch_lag: Vec<u64>,
    /// From the watermark of all sites to that of those in touch; empty: they are one.
    #[prost(uint64, repeated, tag = "8")]
    pub everywhere_lag: Vec<u64>,
    /// The latest stamp of the purges in it, or of late where there are none; Unix ms.
    #[prost(uint64, tag = "9")]
    pub issued_ms: u64,
    /// As `code` writes them; empty: no purges.
    #[prost(bytes = "vec", tag = "10")]
    pub names: Vec<u8>,
    #[prost(message, repeated, tag = "11")]
    pub pieces: Vec<Piece>,
    /// Sites are to report who has everything up to here.
    #[prost(bool, tag = "12")]
    pub wants_report: bool,
    /// How many there are, so that they share a pace when no hub is there.
    #[prost(uint32, tag = "13")]
    pub site_count: u32,
    /// From `issued` to the latest stamp that the hub knows of: nothing up to the last numbers was issued after it.
    #[prost(uint64, tag = "14")]
    pub latest_delta_ms: u64,
}

/// Of an event that is no purge.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Piece {
    #[prost(uint32, tag = "1")]
    pub stream: u32,
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// Where its bytes stand in the event, and how many the event has.
    #[prost(uint32, tag = "3")]
    pub offset: u32,
    #[prost(uint32, tag = "4")]
    pub total_len: u32,
    #[prost(bytes = "vec", tag = "5")]
    pub bytes: Vec<u8>,
}

/// A contact wants what a hub sends, for the next seconds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Subscribe {
    #[prost(string, tag = "1")]
    pub site: String,
    #[prost(string, tag = "2")]
    pub gateway: String,
    /// Of the contact; the number counts up with each one that it sends.
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
    /// Only what is of late.
    #[prost(bool, tag = "2")]
    pub recent_only: bool,
    /// One bundle by its name.
    #[prost(message, optional, tag = "3")]
    pub bundle: Option<BundleId>,
    /// To a hub: who asks.
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
    /// Of the event that is the only one in the range: its bytes from here on.
    #[prost(uint32, tag = "4")]
    pub offset: u32,
}

/// The name of a bundle.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct BundleId {
    #[prost(fixed32, tag = "1")]
    pub hub: u32,
    #[prost(fixed32, tag = "2")]
    pub run_id: u32,
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

/// To a tree's root: all numbers up to the ends of this bundle are known here, except in some streams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {
    #[prost(message, optional, tag = "1")]
    pub bundle: Option<BundleId>,
    #[prost(uint32, repeated, tag = "2")]
    pub streams: Vec<u32>,
    /// The positions in these.
    #[prost(uint64, repeated, tag = "3")]
    pub positions: Vec<u64>,
}

/// To the hub that made the bundle: what its site's live members have confirmed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    #[prost(string, tag = "1")]
    pub site: String,
    #[prost(string, tag = "2")]
    pub gateway: String,
    #[prost(message, optional, tag = "3")]
    pub bundle: Option<BundleId>,
    /// Live ones, the sender included.
    #[prost(uint32, tag = "4")]
    pub members: u32,
    /// Streams in which not all have everything up to the bundle's end, and the least position there.
    #[prost(uint32, repeated, tag = "5")]
    pub streams: Vec<u32>,
    #[prost(uint64, repeated, tag = "6")]
    pub positions: Vec<u64>,
    #[prost(message, repeated, tag = "7")]
    pub laggards: Vec<Laggard>,
    /// Members from whom nothing came, beyond those among the laggards.
    #[prost(uint32, tag = "8")]
    pub silent_omitted: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Laggard {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Nothing came from it.
    #[prost(bool, tag = "2")]
    pub silent: bool,
    #[prost(uint32, tag = "3")]
    pub stream: u32,
    #[prost(uint64, tag = "4")]
    pub position: u64,
}

/// From hub to hub: sites that it hears, and what all of them have.
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
    /// By the hash of their names.
    #[prost(fixed64, repeated, tag = "5")]
    pub sites: Vec<u64>,
    /// They are heard, but have not reported.
    #[prost(bool, tag = "6")]
    pub unreported: bool,
}

impl Bundle {
    /// No purge up to its last numbers has a later stamp.
    pub fn latest_issued_ms(&self) -> u64 {
        self.issued_ms.saturating_add(self.latest_delta_ms)
    }

    pub fn id(&self) -> BundleId {
        BundleId { hub: self.hub, run_id: self.run_id, seq: self.seq }
    }

    /// By stream, first and last number; last is before first where it holds none.
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
