//! Authenticates datagrams with keys shared by an installation: HMAC-SHA256 (RFC 2104, truncated to 16 bytes as its
//! section 5 allows) over everything, including the installation's name.
//!
//! Invariant: a datagram is not accepted before its MAC has been verified.
//!
//! The keys are shared: whoever has one can impersonate any member. Claims of members are checked elsewhere.

use crate::settings::Key;
use ring::hmac;

pub const MAX_DATAGRAM_BYTES: usize = 1_400;
const MAC_LEN: usize = 16;
/// Version, key id and MAC precede the body.
pub const HEADER_LEN: usize = 1 + 4 + MAC_LEN;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OpenError {
    #[error("datagram length out of range")]
    Length,
    #[error("unsupported version")]
    Version,
    #[error("unknown key id")]
    UnknownKey,
    #[error("MAC mismatch: other fleet, other key or corrupted datagram")]
    Mac,
    #[error("malformed message")]
    Malformed,
}

/// The first key is used for sending, all of them are accepted.
pub struct Keys {
    keys: Vec<(u32, hmac::Key)>,
    installation: Vec<u8>,
}

impl Keys {
    /// Returns `None` if a secret is not hexadecimal, or if there are no keys.
    pub fn new(installation: &str, keys: &[Key]) -> Option<Keys> {
        let one = |key: &Key| Some((key.id, hmac::Key::new(hmac::HMAC_SHA256, &key.secret_bytes()?)));
        let keys = keys.iter().map(one).collect::<Option<Vec<_>>>()?;
        (!keys.is_empty()).then(|| Keys { keys, installation: installation.as_bytes().to_vec() })
    }

    fn mac(&self, key: &hmac::Key, header: &[u8], body: &[u8]) -> hmac::Tag {
        let mut context = hmac::Context::with_key(key);
        context.update(&(self.installation.len() as u32).to_be_bytes());
        context.update(&self.installation);
        context.update(header);
        context.update(body);
        context.sign()
    }

    pub fn seal(&self, version: u8, body: &[u8]) -> Vec<u8> {
        let (id, key) = &self.keys[0];
        let mut out = Vec::with_capacity(HEADER_LEN + body.len());
        out.push(version);
        out.extend(id.to_be_bytes());
        let mac = self.mac(key, &out, body);
        out.extend(&mac.as_ref()[..MAC_LEN]);
        out.extend(body);
        out
    }

    /// Verifies a datagram and returns its body.
    pub fn open<'a>(&self, version: u8, bytes: &'a [u8]) -> Result<&'a [u8], OpenError> {
        if !(HEADER_LEN..=MAX_DATAGRAM_BYTES).contains(&bytes.len()) {
            return Err(OpenError::Length);
        }
        if bytes[0] != version {
            return Err(OpenError::Version);
        }
        let id = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
        let (_, key) = self.keys.iter().find(|(i, _)| *i == id).ok_or(OpenError::UnknownKey)?;
        let (header, body) = (&bytes[..5], &bytes[HEADER_LEN..]);
        let mac = self.mac(key, header, body);
        let difference =
            mac.as_ref()[..MAC_LEN].iter().zip(&bytes[5..HEADER_LEN]).fold(0, |keys, (a, b)| keys | (a ^ b));
        if difference == 0 { Ok(body) } else { Err(OpenError::Mac) }
    }
}
