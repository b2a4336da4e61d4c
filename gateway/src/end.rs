//! Owns every way in which a connection can end, or the hop that it carries, and what each means to the module: the
//! mapping stands here and nowhere else. Must never call a hop not run unless that is proven: no connection
//! came up, the request was not written whole, or the cache said so.

use kelpcart::interface::HopStatus;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
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

impl End {
    pub const ALL: [End; 31] = [
        End::Whole,
        End::Current,
        End::Lacking,
        End::Full,
        End::Over,
        End::Errored,
        End::Refused,
        End::NoConnection,
        End::NoSocket,
        End::LateUnsent,
        End::Overtaken,
        End::CutUnsent,
        End::KeptClosed,
        End::Cut,
        End::Damaged,
        End::Late,
        End::LateForRoom,
        End::Withdrawn,
        End::FarDown,
        End::FarFull,
        End::FarTurned,
        End::FarLoop,
        End::FarNever,
        End::FarLost,
        End::FarRejected,
        End::FarAborted,
        End::FarInvalid,
        End::PeerLeft,
        End::PeerSilent,
        End::PeerStalled,
        End::PeerDamaged,
    ];

    /// `None`: the connection carried no hop.
    pub fn to_module(self) -> Option<HopStatus> {
        Some(match self {
            End::Whole | End::Current => HopStatus::Completed,
            End::Lacking => HopStatus::Lacking,
            End::Full | End::FarTurned | End::FarLoop | End::FarRejected | End::FarInvalid => {
                HopStatus::TurnedAway
            }
            End::Errored | End::FarAborted => HopStatus::Errored,
            // An answer that can't be read is one all the same: its sender is alive and took the txn.
            End::Damaged => HopStatus::Spoilt,
            End::Refused | End::NoConnection | End::CutUnsent => HopStatus::Unreachable,
            End::FarDown | End::FarNever => HopStatus::Unreachable,
            End::FarFull | End::Over | End::NoSocket | End::LateUnsent | End::KeptClosed => HopStatus::NeverSent,
            End::Overtaken => HopStatus::Overtaken,
            End::Cut | End::FarLost => HopStatus::Broken,
            End::Late => HopStatus::TimedOut,
            // Given up here for a reason of the gateway's own: nothing is told of the member.
            End::Withdrawn | End::LateForRoom => HopStatus::Withdrawn,
            End::PeerLeft | End::PeerSilent | End::PeerStalled | End::PeerDamaged => return None,
        })
    }

    /// The answer came whole, so that the connection can carry another request.
    pub fn leaves_connection(self) -> bool {
        matches!(self, End::Whole | End::Current | End::Lacking | End::Full | End::Over | End::Errored)
    }
}
