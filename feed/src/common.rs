//! What the parts of the core need of the file, ready for use: who the hubs are, by what keys they sign, and the times.
//! Must never change after the start.

use crate::rank;
use crate::settings::{self, hex};
use crate::wire::{Bundle, Gathered};
use kelpcart::{Span, Time};
use prost::Message;
use ring::signature::{ED25519, Ed25519KeyPair, UnparsedPublicKey};
use std::net::SocketAddr;

pub const SIGNATURE: usize = 64;

/// What is signed, so that one can't be taken for the other.
#[derive(Clone, Copy)]
pub enum Signs {
    Bundle = 1,
    Gathered = 2,
}

/// The short form of a hub's name, or of a run's number.
pub fn short(long: u64) -> u32 {
    (long ^ long >> 32) as u32
}

pub struct Hub {
    pub name: String,
    pub id: u32,
    pub address: SocketAddr,
    key: UnparsedPublicKey<Vec<u8>>,
}

impl Hub {
    /// Guards against a hub that starts well while all its bundles are refused: `None` where the secret is not that of its
    /// public key.
    pub fn signer(&self, secret: &str) -> Option<Ed25519KeyPair> {
        Ed25519KeyPair::from_seed_and_public_key(&hex(secret)?, self.key.as_ref()).ok()
    }
}

pub struct Set {
    /// The installation's name.
    pub of: String,
    pub site: String,
    pub streams: Vec<settings::Stream>,
    pub hubs: Vec<Hub>,
    /// Hubs by their places above, in the order in which this site follows them.
    pub order: Vec<usize>,
    pub period: Span,
    pub silent: Span,
    pub grace: Span,
    pub connections_per_s: f64,
}

impl Set {
    pub fn new(file: &settings::Feed) -> Option<Set> {
        let hub = |h: &settings::Hub| {
            let key = UnparsedPublicKey::new(&ED25519, hex(&h.public)?);
            Some(Hub { name: h.name.clone(), id: short(rank::key(&h.name)).max(1), address: h.address, key })
        };
        let hubs = file.hubs.iter().map(hub).collect::<Option<Vec<Hub>>>()?;
        let mut order: Vec<usize> = (0..hubs.len()).collect();
        let near = rank::key(&file.site);
        order.sort_by_key(|i| std::cmp::Reverse((rank::score(&hubs[*i].name, near), *i)));
        Some(Set {
            of: file.name.clone(),
            site: file.site.clone(),
            streams: file.streams.clone(),
            hubs,
            order,
            period: Span::from_millis(file.period_ms),
            silent: Span::from_millis(file.silent_ms),
            grace: Span::from_millis(file.grace_ms),
            connections_per_s: file.connections_per_s,
        })
    }

    pub fn hub_at(&self, address: SocketAddr) -> Option<usize> {
        self.hubs.iter().position(|h| h.address == address)
    }

    pub fn hub_of(&self, id: u32) -> Option<usize> {
        self.hubs.iter().position(|h| h.id == id)
    }

    fn signed(&self, what: Signs, body: &[u8]) -> Vec<u8> {
        let mut all = Vec::with_capacity(32 + self.of.len() + body.len());
        all.extend(b"kelpcart feed ");
        all.push(what as u8);
        all.extend((self.of.len() as u32).to_be_bytes());
        all.extend(self.of.as_bytes());
        all.extend(body);
        all
    }

    /// The body with the signature behind it.
    pub fn sign(&self, pair: &Ed25519KeyPair, what: Signs, mut body: Vec<u8>) -> Vec<u8> {
        let signature = pair.sign(&self.signed(what, &body));
        body.extend(signature.as_ref());
        body
    }

    /// Whether this hub has signed it.
    pub fn is_signed(&self, hub: u32, what: Signs, bytes: &[u8]) -> bool {
        let Some((body, signature)) = bytes.split_last_chunk::<SIGNATURE>() else { return false };
        let Some(hub) = self.hub_of(hub) else { return false };
        self.hubs[hub].key.verify(&self.signed(what, body), signature).is_ok()
    }
}

/// What stands before a signature, not checked yet.
fn body<M: Message + Default>(bytes: &[u8]) -> Option<M> {
    let (body, _) = bytes.split_last_chunk::<SIGNATURE>()?;
    M::decode(body).ok()
}

pub fn bundle(bytes: &[u8]) -> Option<Bundle> {
    body(bytes)
}

pub fn gathered(bytes: &[u8]) -> Option<Gathered> {
    body(bytes)
}

/// So many at once, and then at this pace.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    left: f64,
    at: Time,
}

impl Bucket {
    pub fn new(now: Time, most: f64) -> Bucket {
        Bucket { left: most, at: now }
    }

    pub fn take(&mut self, now: Time, per_s: f64, most: f64) -> bool {
        self.left = (self.left + (now - self.at).as_secs_f64() * per_s).min(most);
        self.at = self.at.max(now);
        let is = self.left >= 1.0;
        self.left -= f64::from(u8::from(is));
        is
    }
}
