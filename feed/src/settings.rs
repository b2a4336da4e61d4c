//! Owns what operators write of the feed, and its checks: a file that can't be used is told by the path of the field and
//! what is wrong with it. Must never hold a decision; what is not written has the value that stands here.

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
    /// 32 bytes or more in hex digits.
    pub secret: String,
}

/// How changes reach all gateways of all sites, in place of the relayed list.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Feed {
    /// The name of the installation, the same at all its sites.
    pub name: String,
    /// This gateway's site; the fleet that the file names is that of the site.
    pub site: String,
    /// The list services, one a region, in the order in which all files name them.
    pub streams: Vec<Stream>,
    /// Which of them is the configuration's bulletin; counted from 0.
    #[serde(default)]
    pub own: usize,
    /// The machines set aside for control, in any order.
    pub hubs: Vec<Hub>,
    /// This process is such a machine and takes no txns.
    #[serde(default)]
    pub control: Option<Control>,
    /// Changes are gathered for so long.
    #[serde(default = "default_period_ms")]
    pub period_ms: u64,
    /// Nothing heard for so long: another way is taken.
    #[serde(default = "default_silent_ms")]
    pub silent_ms: u64,
    /// A gap that stands for so long is a purge of all that is older than its end. Below the settings' purge grace.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Connections to each list service a second, of all gateways together, while no hub is heard.
    #[serde(default = "default_connections_per_s")]
    pub connections_per_s: f64,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    pub name: String,
    pub address: SocketAddr,
    /// The last event that the configuration knows already.
    #[serde(default)]
    pub known: u64,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Hub {
    pub name: String,
    /// Where it hears gateways (UDP).
    pub address: SocketAddr,
    /// The key by which what it says is known to be its own: Ed25519, 32 bytes in hex digits.
    pub public: String,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Its name among the hubs.
    pub name: String,
    /// The seed of its signing key: 32 bytes in hex digits.
    pub secret: String,
    /// All sites that there are: what has not reached one of them is not done.
    pub sites: Vec<String>,
    /// Events of each stream that are kept for those who were away: two hours of 150 a second.
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

/// A row of hex digits as bytes.
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
    /// The path of the first field that can't be used, below the feed's own, and what is wrong with it.
    pub fn check(&self) -> Result<(), (String, &'static str)> {
        let need = |is: bool, field: &str, what: &'static str| {
            if is { Ok(()) } else { Err((field.to_owned(), what)) }
        };
        let visible = "a name has 1 to 64 visible characters";
        need(is_valid_name(&self.name), "name", visible)?;
        need(is_valid_name(&self.site), "site", visible)?;
        need((1..=MAX_STREAMS).contains(&self.streams.len()), "streams", "1 to 32 are wanted")?;
        need(self.own < self.streams.len(), "own", "the place of a stream, counted from 0")?;
        need((1..=MAX_HUBS).contains(&self.hubs.len()), "hubs", "1 to 16 are wanted")?;
        let mut seen = BTreeSet::new();
        for (i, stream) in self.streams.iter().enumerate() {
            need(is_valid_name(&stream.name), &format!("streams[{i}].name"), visible)?;
            need(seen.insert(&stream.name), &format!("streams[{i}].name"), "another stream has it")?;
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for (i, hub) in self.hubs.iter().enumerate() {
            need(is_valid_name(&hub.name), &format!("hubs[{i}].name"), visible)?;
            need(names.insert(&hub.name), &format!("hubs[{i}].name"), "another hub has it")?;
            need(
                hub.address.is_ipv4() && hub.address.port() != 0,
                &format!("hubs[{i}].address"),
                "an IPv4 address with its port",
            )?;
            need(addresses.insert(hub.address), &format!("hubs[{i}].address"), "another hub has it")?;
            let key = decode_hex(&hub.public).is_some_and(|k| k.len() == 32);
            need(key, &format!("hubs[{i}].public"), "32 bytes in hex digits are wanted")?;
        }
        if let Some(control) = &self.control {
            need(names.contains(&control.name), "control.name", "no hub has it")?;
            let key = decode_hex(&control.secret).is_some_and(|k| k.len() == 32);
            need(key, "control.secret", "32 bytes in hex digits are wanted")?;
            need(control.sites.len() <= MAX_SITES, "control.sites", "4,096 at the most")?;
            need(control.sites.iter().all(|s| is_valid_name(s)), "control.sites", visible)?;
            need(
                (1_024..=20_000_000).contains(&control.most_kept),
                "control.most_kept",
                "1,024 to 20,000,000",
            )?;
        }
        need((50..=5_000).contains(&self.period_ms), "period_ms", "50 to 5,000")?;
        need(self.silent_ms >= 2 * self.period_ms, "silent_ms", "two periods at the least")?;
        need(self.grace_ms <= 60_000, "grace_ms", "60,000 at the most")?;
        let paced = self.connections_per_s.is_finite() && self.connections_per_s >= 0.1;
        need(paced, "connections_per_s", "0.1 at the least")
    }

    /// The place of the hub that this process is.
    pub fn control_hub_index(&self) -> Option<usize> {
        let control = self.control.as_ref()?;
        self.hubs.iter().position(|h| h.name == control.name)
    }
}
