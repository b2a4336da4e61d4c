//! What is known of a peer's clock from the readings that it sends. The clocks of two gateways differ by any
//! amount, and a message may take any time.
//!
//! Invariant: a time is never converted to a reading of the peer's clock that is later than it.

use kelpcart::Time;

/// A reading of the peer's clock, and the local time at which it had arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerClock {
    reading: Time,
    received_at: Time,
}

impl PeerClock {
    pub fn new(reading: Time, received_at: Time) -> PeerClock {
        PeerClock { reading, received_at }
    }

    /// The earliest that the peer's clock may show at the local time `at`.
    pub fn earliest(&self, at: Time) -> Time {
        let after = self.reading + (at - self.received_at);
        after.saturating_sub(self.received_at - at)
    }
}
