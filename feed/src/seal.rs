//! Datagrams under keys that an installation shares: HMAC-SHA256 (RFC 2104, cut to 16 bytes as its section 5 allows) over
//! everything, the installation's name included. Must never say that a datagram is good before its code was checked.
//!
//! The key is common: who has it can speak for each member. What members then claim is judged elsewhere.

use crate::settings::Key;
use ring::hmac;

pub const MOST_DATAGRAM: usize = 1_400;
const CODE: usize = 16;
/// Version, key and code stand in front of the body.
pub const HEAD: usize = 1 + 4 + CODE;

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
    of: Vec<u8>,
}

impl Keys {
    /// `None`: a secret is no row of hex digits, or there is none.
    pub fn new(of: &str, keys: &[Key]) -> Option<Keys> {
        let one = |key: &Key| Some((key.id, hmac::Key::new(hmac::HMAC_SHA256, &key.bytes()?)));
        let all = keys.iter().map(one).collect::<Option<Vec<_>>>()?;
        (!all.is_empty()).then(|| Keys { all, of: of.as_bytes().to_vec() })
    }

    fn code(&self, key: &hmac::Key, head: &[u8], body: &[u8]) -> hmac::Tag {
        let mut context = hmac::Context::with_key(key);
        context.update(&(self.of.len() as u32).to_be_bytes());
        context.update(&self.of);
        context.update(head);
        context.update(body);
        context.sign()
    }

    pub fn seal(&self, version: u8, body: &[u8]) -> Vec<u8> {
        let (id, key) = &self.all[0];
        let mut out = Vec::with_capacity(HEAD + body.len());
        out.push(version);
        out.extend(id.to_be_bytes());
        let code = self.code(key, &out, body);
        out.extend(&code.as_ref()[..CODE]);
        out.extend(body);
        out
    }

    /// The body of what one with a key has sealed.
    pub fn open<'a>(&self, version: u8, bytes: &'a [u8]) -> Result<&'a [u8], Refused> {
        if !(HEAD..=MOST_DATAGRAM).contains(&bytes.len()) {
            return Err(Refused::Length);
        }
        if bytes[0] != version {
            return Err(Refused::Version);
        }
        let id = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
        let (_, key) = self.all.iter().find(|(i, _)| *i == id).ok_or(Refused::UnknownKey)?;
        let (head, body) = (&bytes[..5], &bytes[HEAD..]);
        let code = self.code(key, head, body);
        let same = code.as_ref()[..CODE].iter().zip(&bytes[5..HEAD]).fold(0, |all, (a, b)| all | (a ^ b));
        if same == 0 { Ok(body) } else { Err(Refused::Code) }
    }
}
