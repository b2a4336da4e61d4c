//! Settings of the feed and their validation; an error names the path of the field and the reason.
//!
//! Invariant: settings hold no decisions; a field that is left out has the default given here.

use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

pub const MAX_NAME_BYTES: usize = 64;
pub const MAX_STREAMS: usize = 32;
pub const MAX_HUBS: usize = 16;
pub const MAX_SITES: usize = 4_096;

#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Key {
    pub id: u32,
    /// At least 32 bytes in hexadecimal.
    pub secret: String,
}

/// Dissemination of changes to all gateways of all sites, instead of the relayed list.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Feed {
    /// Name of the installation, the same at all its sites.
    pub name: String,
    /// This gateway's site. The fleet named in the file is the site's.
    pub site: String,
    /// The list services, one per region, in the same order in all files.
    pub streams: Vec<Stream>,
    /// Index of the stream that is the configuration's bulletin, counted from 0.
    #[serde(default)]
    pub own: usize,
    /// The hubs (control machines), in any order.
    pub hubs: Vec<Hub>,
    /// Makes this process a hub, which takes no txns.
    #[serde(default)]
    pub control: Option<Control>,
    /// Period in which changes are collected into a bundle.
    #[serde(default = "default_period_ms")]
    pub period_ms: u64,
    /// After this time without a bundle, a gateway tries another hub or contact.
    #[serde(default = "default_silent_ms")]
    pub silent_ms: u64,
    /// A gap open for this long becomes a purge of everything older than its end. Below the settings' purge grace.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Rate of connections to each list service, over all gateways, while no hub is reachable.
    #[serde(default = "default_connections_per_s")]
    pub connections_per_s: f64,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    pub name: String,
    pub address: SocketAddr,
    /// Sequence number of the last event that the configuration already includes.
    #[serde(default)]
    pub known: u64,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Hub {
    pub name: String,
    /// UDP address on which it listens for gateways.
    pub address: SocketAddr,
    /// Public key that verifies its signatures: Ed25519, 32 bytes in hexadecimal.
    pub public: String,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Its name in `hubs`.
    pub name: String,
    /// Seed of its signing key: 32 bytes in hexadecimal.
    pub secret: String,
    /// All sites of the installation: an event counts as done everywhere only after all of them have acknowledged it.
    pub sites: Vec<String>,
    /// Events kept per stream for gateways that are behind. The default is two hours at 150 a second.
    #[serde(default = "default_most_kept")]
    pub most_kept: usize,
}

fn default_period_ms() -> u64 {
    500
}

fn default_silent_ms() -> u64 {
    1_200
}

fn default_grace_ms() -> u64 {
    400
}

fn default_connections_per_s() -> f64 {
    10.0
}

fn default_most_kept() -> usize {
    1_100_000
}

/// Decodes hexadecimal digits.
pub fn decode_hex(digits: &str) -> Option<Vec<u8>> {
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok();
    let digits = digits.as_bytes();
    digits.len().is_multiple_of(2).then(|| digits.chunks(2).map(pair).collect::<Option<Vec<u8>>>())?
}

pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
}

impl Key {
    pub fn secret_bytes(&self) -> Option<Vec<u8>> {
        decode_hex(&self.secret)
    }
}

impl Feed {
    /// Returns the path of the first invalid field, relative to the feed's settings, and the reason.
    pub fn check(&self) -> Result<(), (String, &'static str)> {
        let need = |is: bool, field: &str, what: &'static str| {
            if is { Ok(()) } else { Err((field.to_owned(), what)) }
        };
        let visible = "must have 1 to 64 visible characters";
        need(is_valid_name(&self.name), "name", visible)?;
        need(is_valid_name(&self.site), "site", visible)?;
        need((1..=MAX_STREAMS).contains(&self.streams.len()), "streams", "must have 1 to 32 entries")?;
        need(self.own < self.streams.len(), "own", "must be the index of a stream, counted from 0")?;
        need((1..=MAX_HUBS).contains(&self.hubs.len()), "hubs", "must have 1 to 16 entries")?;
        let mut seen = BTreeSet::new();
        for (i, stream) in self.streams.iter().enumerate() {
            need(is_valid_name(&stream.name), &format!("streams[{i}].name"), visible)?;
            need(
                seen.insert(&stream.name),
                &format!("streams[{i}].name"),
                "must be unique among the streams",
            )?;
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for (i, hub) in self.hubs.iter().enumerate() {
            need(is_valid_name(&hub.name), &format!("hubs[{i}].name"), visible)?;
            need(names.insert(&hub.name), &format!("hubs[{i}].name"), "must be unique among the hubs")?;
            need(
                hub.address.is_ipv4() && hub.address.port() != 0,
                &format!("hubs[{i}].address"),
                "must be an IPv4 address with a port",
            )?;
            need(
                addresses.insert(hub.address),
                &format!("hubs[{i}].address"),
                "must be unique among the hubs",
            )?;
            let key = decode_hex(&hub.public).is_some_and(|k| k.len() == 32);
            need(key, &format!("hubs[{i}].public"), "must be 32 bytes in hexadecimal")?;
        }
        if let Some(control) = &self.control {
            need(names.contains(&control.name), "control.name", "must name one of the hubs")?;
            let key = decode_hex(&control.secret).is_some_and(|k| k.len() == 32);
            need(key, "control.secret", "must be 32 bytes in hexadecimal")?;
            need(control.sites.len() <= MAX_SITES, "control.sites", "must have at most 4,096 entries")?;
            need(control.sites.iter().all(|s| is_valid_name(s)), "control.sites", visible)?;
            need(
                (1_024..=20_000_000).contains(&control.most_kept),
                "control.most_kept",
                "must be 1,024 to 20,000,000",
            )?;
        }
        need((50..=5_000).contains(&self.period_ms), "period_ms", "must be 50 to 5,000")?;
        need(self.silent_ms >= 2 * self.period_ms, "silent_ms", "must be at least two periods")?;
        need(self.grace_ms <= 60_000, "grace_ms", "must be at most 60,000")?;
        let paced = self.connections_per_s.is_finite() && self.connections_per_s >= 0.1;
        need(paced, "connections_per_s", "must be at least 0.1")
    }

    /// Index of the hub that this process is.
    pub fn control_hub_index(&self) -> Option<usize> {
        let control = self.control.as_ref()?;
        self.hubs.iter().position(|h| h.name == control.name)
    }
}
