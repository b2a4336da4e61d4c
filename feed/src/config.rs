//! The configuration prepared for use: hubs, signing keys and timeouts.
//!
//! Invariant: it does not change after the start.

use crate::rank;
use crate::settings::{self, decode_hex};
use crate::wire::{Bundle, HubSummary};
use kelpcart::{Span, Time};
use prost::Message;
use ring::signature::{ED25519, Ed25519KeyPair, UnparsedPublicKey};
use std::net::SocketAddr;

pub const SIGNATURE_LEN: usize = 64;

/// Domain separation: the kind is part of what is signed, so that one message cannot pass for another.
#[derive(Clone, Copy)]
pub enum SignedKind {
    Bundle = 1,
    HubSummary = 2,
}

/// Folds a hub's name hash or a run id to 32 bits.
pub fn fold_to_u32(hash: u64) -> u32 {
    (hash ^ hash >> 32) as u32
}

pub struct Hub {
    pub name: String,
    pub id: u32,
    pub address: SocketAddr,
    key: UnparsedPublicKey<Vec<u8>>,
}

impl Hub {
    /// Returns `None` if the secret does not match the hub's public key. Guards against a hub that runs while all its
    /// bundles are rejected.
    pub fn signer(&self, secret: &str) -> Option<Ed25519KeyPair> {
        Ed25519KeyPair::from_seed_and_public_key(&decode_hex(secret)?, self.key.as_ref()).ok()
    }
}

pub struct Config {
    /// The installation's name.
    pub installation: String,
    pub site: String,
    pub streams: Vec<settings::Stream>,
    pub hubs: Vec<Hub>,
    /// Indices into `hubs`, in the order in which this site prefers them.
    pub hub_order: Vec<usize>,
    pub period: Span,
    pub silence_timeout: Span,
    pub gap_grace: Span,
    pub connections_per_s: f64,
}

impl Config {
    pub fn new(file: &settings::Feed) -> Option<Config> {
        let hub = |h: &settings::Hub| {
            let key = UnparsedPublicKey::new(&ED25519, decode_hex(&h.public)?);
            Some(Hub {
                name: h.name.clone(),
                id: fold_to_u32(rank::key(&h.name)).max(1),
                address: h.address,
                key,
            })
        };
        let hubs = file.hubs.iter().map(hub).collect::<Option<Vec<Hub>>>()?;
        let mut hub_order: Vec<usize> = (0..hubs.len()).collect();
        let site_hash = rank::key(&file.site);
        hub_order.sort_by_key(|i| std::cmp::Reverse((rank::score(&hubs[*i].name, site_hash), *i)));
        Some(Config {
            installation: file.name.clone(),
            site: file.site.clone(),
            streams: file.streams.clone(),
            hubs,
            hub_order,
            period: Span::from_millis(file.period_ms),
            silence_timeout: Span::from_millis(file.silent_ms),
            gap_grace: Span::from_millis(file.grace_ms),
            connections_per_s: file.connections_per_s,
        })
    }

    pub fn hub_index_by_address(&self, address: SocketAddr) -> Option<usize> {
        self.hubs.iter().position(|h| h.address == address)
    }

    pub fn hub_index_by_id(&self, id: u32) -> Option<usize> {
        self.hubs.iter().position(|h| h.id == id)
    }

    fn signed_message(&self, kind: SignedKind, body: &[u8]) -> Vec<u8> {
        let mut all = Vec::with_capacity(32 + self.installation.len() + body.len());
        all.extend(b"kelpcart feed ");
        all.push(kind as u8);
        all.extend((self.installation.len() as u32).to_be_bytes());
        all.extend(self.installation.as_bytes());
        all.extend(body);
        all
    }

    /// Appends the signature to the body.
    pub fn sign(&self, pair: &Ed25519KeyPair, kind: SignedKind, mut body: Vec<u8>) -> Vec<u8> {
        let signature = pair.sign(&self.signed_message(kind, &body));
        body.extend(signature.as_ref());
        body
    }

    /// Whether this hub has signed it.
    pub fn is_signed_by(&self, hub: u32, kind: SignedKind, bytes: &[u8]) -> bool {
        let Some((body, signature)) = bytes.split_last_chunk::<SIGNATURE_LEN>() else { return false };
        let Some(hub) = self.hub_index_by_id(hub) else { return false };
        self.hubs[hub].key.verify(&self.signed_message(kind, body), signature).is_ok()
    }
}

/// Decodes what precedes a signature, which is not verified here.
fn decode_body<M: Message + Default>(bytes: &[u8]) -> Option<M> {
    let (body, _) = bytes.split_last_chunk::<SIGNATURE_LEN>()?;
    M::decode(body).ok()
}

pub fn decode_bundle(bytes: &[u8]) -> Option<Bundle> {
    decode_body(bytes)
}

pub fn decode_hub_summary(bytes: &[u8]) -> Option<HubSummary> {
    decode_body(bytes)
}

/// Token bucket: a burst, then a steady rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    pub fn new(now: Time, burst: f64) -> TokenBucket {
        TokenBucket { tokens: burst, refilled_at: now }
    }

    pub fn take(&mut self, now: Time, per_s: f64, burst: f64) -> bool {
        self.tokens = (self.tokens + (now - self.refilled_at).as_secs_f64() * per_s).min(burst);
        self.refilled_at = self.refilled_at.max(now);
        let granted = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(granted));
        granted
    }
}
