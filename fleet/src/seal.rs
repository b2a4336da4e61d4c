//! Authenticates packets with the fleet's keys, and holds the anti-replay window (RFC 4303, section 3.4.3).
//!
//! Invariants: no packet is decoded before its code was verified, and no more than one window is kept per sender.

use crate::wire::{Packet, VERSION};
use kelpcart_feed::seal;
use prost::Message;

pub use kelpcart_feed::seal::{MAX_DATAGRAM_BYTES, OpenError};

/// Packet numbers behind the highest one that are still accepted.
const WINDOW_SIZE: u64 = 128;

/// The first key signs; all of them verify.
pub struct Keys(seal::Keys);

impl Keys {
    /// Returns `None` if there is no key or a secret is not a string of hex digits.
    pub fn new(fleet: &str, keys: &[crate::settings::Key]) -> Option<Keys> {
        seal::Keys::new(fleet, keys).map(Keys)
    }

    pub fn seal(&self, packet: &Packet) -> Vec<u8> {
        self.0.seal(VERSION, &packet.encode_to_vec())
    }

    pub fn open(&self, bytes: &[u8]) -> Result<Packet, OpenError> {
        let packet = Packet::decode(self.0.open(VERSION, bytes)?).map_err(|_| OpenError::Malformed)?;
        if packet.is_valid() { Ok(packet) } else { Err(OpenError::Malformed) }
    }
}

/// The packet numbers received from one run of one sender.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    received: u128,
}

impl ReplayWindow {
    /// Records a packet number. Returns `false` if it was received before or is too old to tell.
    pub fn accept(&mut self, number: u64) -> bool {
        if number == 0 {
            return false;
        }
        if number > self.highest {
            let shift = number - self.highest;
            self.received = if shift >= WINDOW_SIZE { 0 } else { self.received << shift };
            self.received |= 1;
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        if behind >= WINDOW_SIZE || self.received & (1 << behind) != 0 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;
    use std::collections::BTreeSet;

    quickcheck! {
        fn a_number_is_taken_once_and_an_old_one_never(numbers: Vec<u8>) -> bool {
            let (mut window, mut seen) = (ReplayWindow::default(), BTreeSet::new());
            numbers.into_iter().all(|n| {
                let n = u64::from(n) * 3;
                let highest = seen.last().copied().unwrap_or(0);
                let fresh = n > 0 && !seen.contains(&n) && (n > highest || highest - n < WINDOW_SIZE);
                let taken = window.accept(n);
                if taken {
                    seen.insert(n);
                }
                taken == fresh
            })
        }
    }
}
