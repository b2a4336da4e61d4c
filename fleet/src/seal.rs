//! Datagrams under the fleet's keys: HMAC-SHA256 (RFC 2104, cut to 16 bytes as its section 5 allows) over everything, the
//! fleet's name included, and the window of numbers against replays (RFC 4303, section 3.4.3). Must never say that a
//! datagram is good before its code was checked, nor hold more of a sender than one window.
//!
//! The key is common to the fleet: who has it can speak for each member. What members then claim is judged elsewhere.

use crate::settings::Key;
use crate::wire::{Packet, VERSION};
use prost::Message;
use ring::hmac;

pub const MOST_DATAGRAM: usize = 1_400;
const CODE: usize = 16;
const HEAD: usize = 1 + 4 + CODE;
/// Numbers behind the newest that may still come.
const WINDOW: u64 = 128;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refused {
    #[error("too short or too long")]
    Length,
    #[error("another version")]
    Version,
    #[error("a key that is not known here")]
    UnknownKey,
    #[error("the code does not fit: another fleet, another key or damage")]
    Code,
    #[error("no message of ours")]
    Form,
}

/// The first signs, all of them are good for what comes.
pub struct Keys {
    all: Vec<(u32, hmac::Key)>,
    fleet: Vec<u8>,
}

impl Keys {
    /// `None`: a secret is no row of hex digits, or there is none.
    pub fn new(fleet: &str, keys: &[Key]) -> Option<Keys> {
        let one = |key: &Key| Some((key.id, hmac::Key::new(hmac::HMAC_SHA256, &key.bytes()?)));
        let all = keys.iter().map(one).collect::<Option<Vec<_>>>()?;
        (!all.is_empty()).then(|| Keys { all, fleet: fleet.as_bytes().to_vec() })
    }

    fn code(&self, key: &hmac::Key, head: &[u8], body: &[u8]) -> hmac::Tag {
        let mut context = hmac::Context::with_key(key);
        context.update(&(self.fleet.len() as u32).to_be_bytes());
        context.update(&self.fleet);
        context.update(head);
        context.update(body);
        context.sign()
    }

    pub fn seal(&self, packet: &Packet) -> Vec<u8> {
        let (id, key) = &self.all[0];
        let mut out = Vec::with_capacity(HEAD + packet.encoded_len());
        out.push(VERSION);
        out.extend(id.to_be_bytes());
        let body = packet.encode_to_vec();
        let code = self.code(key, &out, &body);
        out.extend(&code.as_ref()[..CODE]);
        out.extend(body);
        out
    }

    pub fn open(&self, bytes: &[u8]) -> Result<Packet, Refused> {
        if !(HEAD..=MOST_DATAGRAM).contains(&bytes.len()) {
            return Err(Refused::Length);
        }
        if bytes[0] != VERSION {
            return Err(Refused::Version);
        }
        let id = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
        let (_, key) = self.all.iter().find(|(i, _)| *i == id).ok_or(Refused::UnknownKey)?;
        let (head, body) = (&bytes[..5], &bytes[HEAD..]);
        let code = self.code(key, head, body);
        let same = code.as_ref()[..CODE].iter().zip(&bytes[5..HEAD]).fold(0, |all, (a, b)| all | (a ^ b));
        if same != 0 {
            return Err(Refused::Code);
        }
        let packet = Packet::decode(body).map_err(|_| Refused::Form)?;
        if packet.is_sound() { Ok(packet) } else { Err(Refused::Form) }
    }
}

/// What has come of one start of one sender.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    top: u64,
    seen: u128,
}

impl Window {
    /// Notes a number; `false`: it came before, or is too old to tell.
    pub fn take(&mut self, number: u64) -> bool {
        if number == 0 {
            return false;
        }
        if number > self.top {
            let by = number - self.top;
            self.seen = if by >= WINDOW { 0 } else { self.seen << by };
            self.seen |= 1;
            self.top = number;
            return true;
        }
        let behind = self.top - number;
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
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
            let (mut window, mut seen) = (Window::default(), BTreeSet::new());
            numbers.into_iter().all(|n| {
                let n = u64::from(n) * 3;
                let top = seen.last().copied().unwrap_or(0);
                let fresh = n > 0 && !seen.contains(&n) && (n > top || top - n < WINDOW);
                let taken = window.take(n);
                if taken {
                    seen.insert(n);
                }
                taken == fresh
            })
        }
    }
}
