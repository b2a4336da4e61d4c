//! All the ways in which a connection, or the hop on it, can end, and the only mapping of them to the module's `HopStatus`.
//!
//! Invariant: a hop is never reported as not run unless that is proven: no connection was established, the request was
//! not completely written, or the cache or the remote gateway said so.

use kelpcart::interface::HopStatus;

/// The variant names are part of the counters' and log lines' text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionEnd {
    /// Status 200 with a complete body.
    Whole,
    /// Status 304: the client's copy is current.
    Current,
    /// Status 404: the cache lacks the object.
    Lacking,
    /// Status 503 with `X-Declined`: the txn did not run.
    Full,
    /// Status 504 with `X-Declined`: the txn did not run.
    Over,
    /// Status 500 or any other; whether the txn ran is unknown.
    Errored,
    /// No connection: refused, or a network error.
    Refused,
    /// No connection within the connect timeout.
    NoConnection,
    /// No descriptor or permit was available here, or the member has no address.
    NoSocket,
    /// The hop's deadline passed before its request was completely written.
    LateUnsent,
    /// Cancelled before its first byte: a discovery event invalidated the decision, or the latest start time passed.
    Overtaken,
    /// The connection ended before the request was completely written.
    CutUnsent,
    /// A reused idle connection turned out to be closed before the request was completely written.
    KeptClosed,
    /// The connection ended after the request was written and before the response was complete.
    Cut,
    /// The response is malformed or larger than allowed.
    Damaged,
    /// The hop's deadline passed after the request was written.
    Late,
    /// The deadline passed while this gateway had no buffers for the response body.
    LateForRoom,
    /// Cancelled by the module or by the client.
    Withdrawn,
    /// The link to another site is down or silent, or the gateway there is shutting down: nothing was sent.
    FarDown,
    /// The link has no capacity, or the txn can't cross it before its deadline: nothing was sent.
    FarFull,
    /// The remote gateway has no capacity or is shutting down: the txn did not run.
    FarTurned,
    /// The txn has crossed that site before, or too many sites.
    FarLoop,
    /// It was sent, and the remote gateway confirms that it did not run and will not run.
    FarNever,
    /// It was sent, and its outcome can't be determined.
    FarLost,
    /// Rejected by the remote gateway, and no attempt of its own may have run.
    FarRejected,
    /// Rejected by the remote gateway after an attempt of its own that may have run: a repeat is safe only as long as
    /// the txn's effect permits one.
    FarGaveUp,
    /// The remote gateway is of an earlier release, which can't be told until when the txn may be sent: nothing was
    /// sent.
    FarOutdated,
    /// Aborted by the remote gateway.
    FarAborted,
    /// The remote gateway considers the request invalid and did not forward it.
    FarInvalid,
    /// A client or the discovery service closed or reset the connection.
    PeerLeft,
    /// The peer's idle timeout passed.
    PeerSilent,
    /// The peer stopped reading.
    PeerStalled,
    /// The peer sent malformed data.
    PeerDamaged,
}

impl ConnectionEnd {
    pub const ALL: [ConnectionEnd; 33] = [
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
        ConnectionEnd::FarGaveUp,
        ConnectionEnd::FarOutdated,
        ConnectionEnd::FarAborted,
        ConnectionEnd::FarInvalid,
        ConnectionEnd::PeerLeft,
        ConnectionEnd::PeerSilent,
        ConnectionEnd::PeerStalled,
        ConnectionEnd::PeerDamaged,
    ];

    /// `None` for ends of connections that carry no hops.
    pub fn hop_status(self) -> Option<HopStatus> {
        Some(match self {
            ConnectionEnd::Whole | ConnectionEnd::Current => HopStatus::Completed,
            ConnectionEnd::Lacking => HopStatus::Lacking,
            ConnectionEnd::Full
            | ConnectionEnd::FarTurned
            | ConnectionEnd::FarLoop
            | ConnectionEnd::FarRejected
            | ConnectionEnd::FarInvalid => HopStatus::TurnedAway,
            ConnectionEnd::FarGaveUp => HopStatus::GivenUp,
            ConnectionEnd::Errored | ConnectionEnd::FarAborted => HopStatus::Errored,
            // A malformed response still shows that the member is alive and took the txn.
            ConnectionEnd::Damaged => HopStatus::Spoilt,
            ConnectionEnd::Refused | ConnectionEnd::NoConnection | ConnectionEnd::CutUnsent => {
                HopStatus::Unreachable
            }
            ConnectionEnd::FarDown | ConnectionEnd::FarNever => HopStatus::Unreachable,
            ConnectionEnd::FarFull
            | ConnectionEnd::FarOutdated
            | ConnectionEnd::Over
            | ConnectionEnd::NoSocket
            | ConnectionEnd::LateUnsent
            | ConnectionEnd::KeptClosed => HopStatus::NeverSent,
            ConnectionEnd::Overtaken => HopStatus::Overtaken,
            ConnectionEnd::Cut | ConnectionEnd::FarLost => HopStatus::Broken,
            ConnectionEnd::Late => HopStatus::TimedOut,
            // Given up for a reason local to this gateway: says nothing about the member.
            ConnectionEnd::Withdrawn | ConnectionEnd::LateForRoom => HopStatus::Withdrawn,
            ConnectionEnd::PeerLeft
            | ConnectionEnd::PeerSilent
            | ConnectionEnd::PeerStalled
            | ConnectionEnd::PeerDamaged => return None,
        })
    }

    /// Whether the response was complete, so that the connection can carry another request.
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
