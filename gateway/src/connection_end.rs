//! Owns every way in which a connection can end, or the hop that it carries, and what each means to the module: the
//! mapping stands here and nowhere else. Must never call a hop not run unless that is proven: no connection
//! came up, the request was not written whole, or the cache said so.

use kelpcart::interface::HopStatus;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionEnd {
    /// 200: the bytes, whole.
    Whole,
    /// 304: the client's own copy is the one.
    Current,
    /// 404.
    Lacking,
    /// 503 with the word that it never ran.
    Full,
    /// 504 with the word that it never ran.
    Over,
    /// 500, or any other answer that proves nothing.
    Errored,
    /// No connection: refused, or the network said no.
    Refused,
    /// No connection within the connect limit.
    NoConnection,
    /// The own descriptors are used up, or the member has no address.
    NoSocket,
    /// The hop's time was over before its request was written whole.
    LateUnsent,
    /// Taken back before its first byte: news has changed what it was ordered on, or it may not begin any more.
    Overtaken,
    /// The connection ended before the request was written whole.
    CutUnsent,
    /// A connection kept from earlier was found closed before the request was written whole.
    KeptClosed,
    /// The connection ended after that, before the answer was whole.
    Cut,
    /// The answer can't be read or is larger than allowed.
    Damaged,
    /// The hop's time was over.
    Late,
    /// It was over while the gateway had no room for the answer's body.
    LateForRoom,
    /// Taken back by the module.
    Withdrawn,
    /// A link to another site is down or silent, or the gateway there leaves: nothing was sent.
    FarDown,
    /// The link has no room, or it can't cross in its time: nothing was sent.
    FarFull,
    /// The gateway there has no room, or leaves: nothing of it has run.
    FarTurned,
    /// It has crossed that site before, or too many.
    FarLoop,
    /// It was sent, and the gateway there says that it never ran and never will.
    FarNever,
    /// It was sent, and what became of it will not be known.
    FarLost,
    /// Rejected there: another try is harmless.
    FarRejected,
    /// Aborted there.
    FarAborted,
    /// The gateway there can't use it; it went nowhere.
    FarInvalid,
    /// A client or the bulletin closed, or broke off.
    PeerLeft,
    /// Nothing came from it for longer than it may be silent.
    PeerSilent,
    /// It stopped reading what was written to it.
    PeerStalled,
    /// What it sent can't be read.
    PeerDamaged,
}

impl ConnectionEnd {
    pub const ALL: [ConnectionEnd; 31] = [
        ConnectionEnd::Whole,
        ConnectionEnd::Current,
        ConnectionEnd::Lacking,
        ConnectionEnd::Full,
        ConnectionEnd::Over,
        ConnectionEnd::Errored,
        ConnectionEnd::Refused,
        ConnectionEnd::NoConnection,
        ConnectionEnd::NoSocket,
        ConnectionEnd::LateUnsent,
        ConnectionEnd::Overtaken,
        ConnectionEnd::CutUnsent,
        ConnectionEnd::KeptClosed,
        ConnectionEnd::Cut,
        ConnectionEnd::Damaged,
        ConnectionEnd::Late,
        ConnectionEnd::LateForRoom,
        ConnectionEnd::Withdrawn,
        ConnectionEnd::FarDown,
        ConnectionEnd::FarFull,
        ConnectionEnd::FarTurned,
        ConnectionEnd::FarLoop,
        ConnectionEnd::FarNever,
        ConnectionEnd::FarLost,
        ConnectionEnd::FarRejected,
        ConnectionEnd::FarAborted,
        ConnectionEnd::FarInvalid,
        ConnectionEnd::PeerLeft,
        ConnectionEnd::PeerSilent,
        ConnectionEnd::PeerStalled,
        ConnectionEnd::PeerDamaged,
    ];

    /// `None`: the connection carried no hop.
    pub fn hop_status(self) -> Option<HopStatus> {
        Some(match self {
            ConnectionEnd::Whole | ConnectionEnd::Current => HopStatus::Completed,
            ConnectionEnd::Lacking => HopStatus::Lacking,
            ConnectionEnd::Full
            | ConnectionEnd::FarTurned
            | ConnectionEnd::FarLoop
            | ConnectionEnd::FarRejected
            | ConnectionEnd::FarInvalid => HopStatus::TurnedAway,
            ConnectionEnd::Errored | ConnectionEnd::FarAborted => HopStatus::Errored,
            // An answer that can't be read is one all the same: its sender is alive and took the txn.
            ConnectionEnd::Damaged => HopStatus::Spoilt,
            ConnectionEnd::Refused | ConnectionEnd::NoConnection | ConnectionEnd::CutUnsent => {
                HopStatus::Unreachable
            }
            ConnectionEnd::FarDown | ConnectionEnd::FarNever => HopStatus::Unreachable,
            ConnectionEnd::FarFull
            | ConnectionEnd::Over
            | ConnectionEnd::NoSocket
            | ConnectionEnd::LateUnsent
            | ConnectionEnd::KeptClosed => HopStatus::NeverSent,
            ConnectionEnd::Overtaken => HopStatus::Overtaken,
            ConnectionEnd::Cut | ConnectionEnd::FarLost => HopStatus::Broken,
            ConnectionEnd::Late => HopStatus::TimedOut,
            // Given up here for a reason of the gateway's own: nothing is told of the member.
            ConnectionEnd::Withdrawn | ConnectionEnd::LateForRoom => HopStatus::Withdrawn,
            ConnectionEnd::PeerLeft
            | ConnectionEnd::PeerSilent
            | ConnectionEnd::PeerStalled
            | ConnectionEnd::PeerDamaged => return None,
        })
    }

    /// The answer came whole, so that the connection can carry another request.
    pub fn leaves_connection_usable(self) -> bool {
        matches!(
            self,
            ConnectionEnd::Whole
                | ConnectionEnd::Current
                | ConnectionEnd::Lacking
                | ConnectionEnd::Full
                | ConnectionEnd::Over
                | ConnectionEnd::Errored
        )
    }
}
