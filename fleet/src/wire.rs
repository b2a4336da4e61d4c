//! Messages between the gateways of a fleet (protobuf, encoded by prost) and their validity rules.
//!
//! Invariants: no message is used before `seal` has verified its authentication code, and a packet with an invalid
//! part is discarded as a whole.

use kelpcart_feed::settings::is_valid_name;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

pub const VERSION: u8 = 1;
/// Payload bytes per packet, so that it fits into a datagram with its header.
pub const MAX_PAYLOAD_BYTES: usize = 1_200;
const MAX_PARTS: usize = 64;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Packet {
    #[prost(string, tag = "1")]
    pub from: String,
    /// Unique to each start of the sender.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// The receiver's run as the sender knows it; 0 if it does not.
    #[prost(fixed64, tag = "3")]
    pub to_run: u64,
    /// Packet number, increasing within the run.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    #[prost(message, repeated, tag = "5")]
    pub parts: Vec<Part>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    #[prost(oneof = "Payload", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub payload: Option<Payload>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// Introduces the sender; answers a challenge by its nonce.
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(fixed64, tag = "2")]
    Challenge(u64),
    /// A gossip update: the state of a member.
    #[prost(message, tag = "3")]
    Update(MemberRecord),
    #[prost(message, tag = "4")]
    Ping(Ping),
    #[prost(message, tag = "5")]
    Ack(Ping),
    /// Asks the receiver to probe a member on the sender's behalf.
    #[prost(message, tag = "6")]
    PingReq(PingReq),
    /// The helper is alive and has no ack from the target yet.
    #[prost(uint64, tag = "7")]
    Nack(u64),
    /// The sender leaves the fleet.
    #[prost(bool, tag = "8")]
    Leave(bool),
    #[prost(message, tag = "9")]
    Subscribe(Subscribe),
    #[prost(message, tag = "10")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "11")]
    Fetch(Fetch),
    #[prost(message, tag = "12")]
    Chunk(Chunk),
    #[prost(message, tag = "13")]
    LeaseRequests(LeaseRequests),
    #[prost(message, tag = "14")]
    Grants(Grants),
    /// The sender has no room for another subscriber.
    #[prost(bool, tag = "15")]
    SubscriptionRefused(bool),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    #[prost(message, optional, tag = "1")]
    pub record: Option<MemberRecord>,
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
    /// It asks for the member list.
    #[prost(bool, tag = "3")]
    pub joining: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum MemberState {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
    Left = 3,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRecord {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(fixed32, tag = "2")]
    pub ip: u32,
    #[prost(uint32, tag = "3")]
    pub port: u32,
    #[prost(fixed64, tag = "4")]
    pub run: u64,
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    #[prost(enumeration = "MemberState", tag = "6")]
    pub state: i32,
    /// The member that reports the state, unless the state is alive.
    #[prost(string, tag = "7")]
    pub reported_by: String,
}

/// What a member reports about itself with each probe and ack.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The sender's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Digest of the live members that it knows.
    #[prost(fixed64, tag = "3")]
    pub members_digest: u64,
    #[prost(message, optional, tag = "4")]
    pub list: Option<Heartbeat>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct PingReq {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    #[prost(string, tag = "2")]
    pub name: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Subscribe {
    /// Only heartbeats are wanted, no events.
    #[prost(bool, tag = "1")]
    pub heartbeats_only: bool,
    /// Ends the subscription.
    #[prost(bool, tag = "2")]
    pub unsubscribe: bool,
}

/// Version, digest and age of the sender's list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the list at that version.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Microseconds since discovery confirmed that there is no newer version.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// Relay hops between the sender and discovery.
    #[prost(uint32, tag = "4")]
    pub depth: u32,
    /// Events after `after` up to `version`, one per line; empty if there are none in this datagram.
    #[prost(uint64, tag = "5")]
    pub after: u64,
    #[prost(bytes = "vec", tag = "6")]
    pub lines: Vec<u8>,
    /// The sender is serving without the warm-up limits: the caches are not cold.
    #[prost(bool, tag = "7")]
    pub warm: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Fetch {
    /// Requests the events after this version or, with `snapshot`, the complete list.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    #[prost(bool, tag = "2")]
    pub snapshot: bool,
    /// The version of a transfer that has begun; 0: the latest.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    #[prost(uint32, repeated, tag = "4")]
    pub chunks: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The chunks are a snapshot and recent purges, not events.
    #[prost(bool, tag = "2")]
    pub snapshot: bool,
    #[prost(uint64, tag = "3")]
    pub to: u64,
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    #[prost(uint32, tag = "5")]
    pub index: u32,
    #[prost(uint32, tag = "6")]
    pub total: u32,
    #[prost(bytes = "vec", tag = "7")]
    pub bytes: Vec<u8>,
}

/// Requests to the lessor of the budgets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseRequests {
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<LeaseRequest>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseRequest {
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    #[prost(enumeration = "BudgetKind", tag = "2")]
    pub kind: i32,
    /// Total number of units wanted, including those already held; 0 releases all.
    #[prost(uint32, tag = "3")]
    pub units: u32,
    /// The work that the units were leased for is finished; nobody needs to repeat it.
    #[prost(bool, tag = "4")]
    pub done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum BudgetKind {
    Connections = 0,
    Fill = 1,
    FillsAtCache = 2,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Grants {
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<Grant>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    #[prost(enumeration = "BudgetKind", tag = "2")]
    pub kind: i32,
    #[prost(uint32, tag = "3")]
    pub units: u32,
    #[prost(uint64, tag = "4")]
    pub duration_us: u64,
    /// The work is done, or the budget is not limited any more: go on without a lease.
    #[prost(bool, tag = "5")]
    pub not_required: bool,
    /// Other members wait for units.
    #[prost(bool, tag = "6")]
    pub contended: bool,
}

impl From<Payload> for Part {
    fn from(payload: Payload) -> Part {
        Part { payload: Some(payload) }
    }
}

impl MemberRecord {
    pub fn address(&self) -> Option<SocketAddr> {
        let port = u16::try_from(self.port).ok().filter(|p| *p != 0)?;
        Some(SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::from(self.ip), port)))
    }
}

/// The address and port as fields of a member record, which holds IPv4 only; (0, 0) for IPv6.
pub fn ipv4_and_port(address: SocketAddr) -> (u32, u32) {
    match address {
        SocketAddr::V4(a) => (u32::from(*a.ip()), a.port().into()),
        SocketAddr::V6(_) => (0, 0),
    }
}

impl Packet {
    pub fn is_valid(&self) -> bool {
        is_valid_name(&self.from)
            && self.run != 0
            && self.parts.len() <= MAX_PARTS
            && self.parts.iter().all(|p| p.payload.as_ref().is_some_and(Payload::is_valid))
    }
}

impl Payload {
    fn is_valid(&self) -> bool {
        let valid_record = |r: &MemberRecord| {
            is_valid_name(&r.name)
                && r.address().is_some()
                && r.run != 0
                && r.incarnation != 0
                && MemberState::try_from(r.state).is_ok()
                && (r.reported_by.is_empty() || is_valid_name(&r.reported_by))
        };
        match self {
            Payload::Hello(h) => h.record.as_ref().is_some_and(valid_record),
            Payload::Update(r) => valid_record(r),
            Payload::PingReq(p) => is_valid_name(&p.name),
            Payload::Heartbeat(p) => p.after <= p.version,
            Payload::Fetch(f) => f.chunks.len() <= 64 && (f.to == 0 || f.after <= f.to),
            Payload::Chunk(c) => c.index < c.total && c.total <= 16_384 && c.after <= c.to,
            Payload::LeaseRequests(w) => w.requests.iter().all(|a| BudgetKind::try_from(a.kind).is_ok()),
            Payload::Grants(l) => l.grants.iter().all(|g| BudgetKind::try_from(g.kind).is_ok()),
            Payload::Ping(_) | Payload::Ack(_) | Payload::Nack(_) | Payload::Leave(_) => true,
            Payload::Subscribe(_) | Payload::Challenge(_) | Payload::SubscriptionRefused(_) => true,
        }
    }
}
