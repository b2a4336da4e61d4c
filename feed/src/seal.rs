//! Datagrams under keys that an installation shares: HMAC-SHA256 (RFC 2104, cut to 16 bytes as its section 5 allows) over
//! everything, the installation's name included. Must never say that a datagram is good before its code was checked.
//!
//! The key is common: who has it can speak for each member. What members then claim is judged elsewhere.

use crate::settings::Key;
use ring::hmac;

pub const MAX_DATAGRAM_BYTES: usize = 1_400;
const MAC_LEN: usize = 16;
/// Version, key and code stand in front of the body.
pub const HEADER_LEN: usize = 1 + 4 + MAC_LEN;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OpenError {
    #[error("too short or too long")]
    Length,
    #[error("another version")]
    Version,
    #[error("a key that is not known here")]
    UnknownKey,
    #[error("the code does not fit: another fleet, another key or damage")]
    Mac,
    #[error("no message of ours")]
    Malformed,
}

/// The first signs, all of them are good for what comes.
pub struct Keys {
    keys: Vec<(u32, hmac::Key)>,
    installation: Vec<u8>,
}

impl Keys {
    /// `None`: a secret is no row of hex digits, or there is none.
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

    /// The body of what one with a key has sealed.
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
        let same =
            mac.as_ref()[..MAC_LEN].iter().zip(&bytes[5..HEADER_LEN]).fold(0, |keys, (a, b)| keys | (a ^ b));
        if same == 0 { Ok(body) } else { Err(OpenError::Mac) }
    }
}
