//! What gateways of a fleet say to each other (protobuf by prost), and what may stand in it. Must never be trusted
//! before `seal` has checked its code; a packet that is not sound is thrown away whole.

use kelpcart_feed::settings::is_valid_name;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

pub const VERSION: u8 = 1;
/// Room for what a packet says, so that it fits a datagram with its head.
pub const MAX_PAYLOAD_BYTES: usize = 1_200;
const MAX_PARTS: usize = 64;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Packet {
    #[prost(string, tag = "1")]
    pub from: String,
    /// A number that is new with each start of the sender.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// The receiver's, as the sender knows it; 0: it does not.
    #[prost(fixed64, tag = "3")]
    pub to_run: u64,
    /// Counts up with each packet of the run.
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
    /// Who the sender is; with the number that it was challenged with.
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(fixed64, tag = "2")]
    Challenge(u64),
    /// What is known of a member.
    #[prost(message, tag = "3")]
    Update(MemberRecord),
    #[prost(message, tag = "4")]
    Ping(Ping),
    #[prost(message, tag = "5")]
    Ack(Ping),
    /// Ask this member for a sign of life in the sender's place.
    #[prost(message, tag = "6")]
    PingReq(PingReq),
    /// The helper is alive and has no answer from the member yet.
    #[prost(uint64, tag = "7")]
    Nack(u64),
    /// The sender leaves.
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
    /// No room for one more that follows.
    #[prost(bool, tag = "15")]
    SubscriptionRefused(bool),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    #[prost(message, optional, tag = "1")]
    pub record: Option<MemberRecord>,
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
    /// It wants to know who is there.
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
    /// Who says so, where it is no good news.
    #[prost(string, tag = "7")]
    pub reported_by: String,
}

/// What a member says of itself with each probe and its answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// How much and what it knows of members, as one number.
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
    /// Only numbers are wanted, no events.
    #[prost(bool, tag = "1")]
    pub heartbeats_only: bool,
    /// No more of it.
    #[prost(bool, tag = "2")]
    pub unsubscribe: bool,
}

/// How far the sender's list goes and how old that knowledge is.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Of the list as it is at that number.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Microseconds since the bulletin said that there is no more than that.
    #[prost(uint64, tag = "3")]
    pub age_us: u64,
    /// Members between the sender and the bulletin.
    #[prost(uint32, tag = "4")]
    pub depth: u32,
    /// Events behind `after` up to `no`, a line each; empty: only the number is told.
    #[prost(uint64, tag = "5")]
    pub after: u64,
    #[prost(bytes = "vec", tag = "6")]
    pub lines: Vec<u8>,
    /// The sender serves fully: the caches are not cold.
    #[prost(bool, tag = "7")]
    pub warm: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Fetch {
    /// What is there behind this number; `whole`: the list as it is.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    #[prost(bool, tag = "2")]
    pub snapshot: bool,
    /// The last number of an answer that has begun; 0: as far as it goes.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    #[prost(uint32, repeated, tag = "4")]
    pub chunks: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// These are the whole list and the purges of late, not events.
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

/// Asks the keeper of a budget.
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
    /// So many in all, those held already included; 0: all given back.
    #[prost(uint32, tag = "3")]
    pub units: u32,
    /// What it was held for is done: nobody needs to do it again.
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
    /// It is done, or not counted any more: go on without.
    #[prost(bool, tag = "5")]
    pub not_required: bool,
    /// Others wait for some of them.
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

/// Only IPv4: what is not has no place in a record.
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
