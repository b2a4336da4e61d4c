//! What holders of copies say to each other (protobuf by prost), and what may stand in it. Must never panic on what a
//! peer sends nor hold more of it than a frame's bound. The field numbers are the schema: one that was used is never
//! given anew.

use crate::command::{Command, ResultMessage};
use prost::Message;

pub const VERSION: u32 = 1;
/// A frame: a command with its answer's body, or a message of the groups with many of them.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;
/// A ledger as it is goes in one frame of its own.
pub const MAX_SNAPSHOT_BYTES: usize = 256 * 1024 * 1024;

#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    #[prost(oneof = "Payload", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub payload: Option<Payload>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// Who the sender is; the first frame of each connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A sign of life, with the groups that the sender leads.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Does anybody know this group?
    #[prost(message, tag = "3")]
    FindGroup(FindGroup),
    #[prost(message, tag = "4")]
    GroupStatus(GroupStatus),
    /// A message of a group's members among each other.
    #[prost(message, tag = "5")]
    RaftMessage(RaftMessage),
    #[prost(message, tag = "6")]
    Request(Request),
    #[prost(message, tag = "7")]
    Reply(Reply),
    /// The sender does not lead the group, or has no room: nothing was done with it.
    #[prost(message, tag = "8")]
    Refusal(Refusal),
}

#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub gateway: String,
    /// New with each start.
    #[prost(fixed64, tag = "3")]
    pub run_id: u64,
    /// Of the holders and what else all have to have alike.
    #[prost(fixed64, tag = "4")]
    pub settings_digest: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    #[prost(message, repeated, tag = "1")]
    pub leaderships: Vec<Leadership>,
    /// The sender is about to end, and wants to be replaced.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Grows with each: one that was overtaken says nothing.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The memberships that the sender holds.
    #[prost(message, repeated, tag = "4")]
    pub memberships: Vec<Membership>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Membership {
    #[prost(uint32, tag = "1")]
    pub group: u32,
    #[prost(fixed64, tag = "2")]
    pub id: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Leadership {
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The ledger's own number, new with each founding.
    #[prost(fixed64, tag = "2")]
    pub ledger: u64,
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Enough members hold it for promises to be given.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    #[prost(fixed64, repeated, tag = "5")]
    pub members: Vec<u64>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct FindGroup {
    #[prost(uint32, tag = "1")]
    pub group: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct GroupStatus {
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The ledger that the sender holds a copy of; 0: none.
    #[prost(fixed64, tag = "2")]
    pub ledger: u64,
    /// The asker may found the group: the sender backs nobody else.
    #[prost(bool, tag = "3")]
    pub supports_founder: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct RaftMessage {
    #[prost(uint32, tag = "1")]
    pub group: u32,
    #[prost(fixed64, tag = "2")]
    pub ledger: u64,
    /// In the form of the consensus library.
    #[prost(bytes = "vec", tag = "3")]
    pub message: Vec<u8>,
    /// The start of the gateway that it is meant for.
    #[prost(fixed64, tag = "4")]
    pub to_run_id: u64,
    /// The sender's membership.
    #[prost(fixed64, tag = "5")]
    pub from: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Request {
    #[prost(uint32, tag = "1")]
    pub group: u32,
    #[prost(fixed64, tag = "2")]
    pub ledger: u64,
    #[prost(uint64, tag = "3")]
    pub request_id: u64,
    /// 0 to 9.
    #[prost(uint32, tag = "4")]
    pub importance: u32,
    #[prost(message, optional, tag = "5")]
    pub command: Option<Command>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    #[prost(uint32, tag = "1")]
    pub group: u32,
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    #[prost(message, optional, tag = "3")]
    pub result: Option<ResultMessage>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Refusal {
    #[prost(uint32, tag = "1")]
    pub group: u32,
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// It leads, and has no room for something of that importance.
    #[prost(bool, tag = "3")]
    pub busy: bool,
}

pub fn encode(said: Payload) -> Vec<u8> {
    Frame { payload: Some(said) }.encode_to_vec()
}

/// `None`: it is no frame of ours, or holds what may not stand in one.
pub fn decode(bytes: &[u8]) -> Option<Payload> {
    let said = Frame::decode(bytes).ok()?.payload?;
    let sound = match &said {
        Payload::Hello(h) => {
            h.version != VERSION || h.run_id != 0 && kelpcart_sites::settings::is_name(&h.gateway)
        }
        Payload::Heartbeat(p) => {
            p.leaderships.len() <= 64
                && p.memberships.len() <= 64
                && p.leaderships.iter().all(|l| l.ledger != 0 && l.members.len() <= 64)
        }
        Payload::RaftMessage(m) => m.ledger != 0,
        Payload::Request(a) => {
            a.request_id != 0
                && a.importance <= 9
                && a.command.as_ref().is_some_and(|c| c.operation.is_some())
        }
        Payload::Reply(d) => d.result.is_some(),
        Payload::FindGroup(_) | Payload::GroupStatus(_) | Payload::Refusal(_) => true,
    };
    sound.then_some(said)
}
