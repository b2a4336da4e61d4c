//! Owns what operators write of the fleet, and its checks: a file that can't be used is told by the path of the field
//! and what is wrong with it. Must never hold a decision; what is not written has the value that stands here.

use kelpcart_feed::settings::{Feed, is_valid_name};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

pub use kelpcart_feed::settings::Key;

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The fleet's name; gateways of others are not heard.
    pub fleet: String,
    /// This gateway's name, unique in its fleet and the same after a restart.
    pub gateway: String,
    /// Where it hears the others (UDP).
    pub listen: SocketAddr,
    /// Where they reach it, if that is another address (IPv4).
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// A few gateways that are asked first; its own address among them does no harm. A machine set aside for control has
    /// none.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The first one signs, each of them is good for what comes; read again on SIGHUP.
    pub keys: Vec<Key>,
    #[serde(default)]
    pub members: Members,
    #[serde(default)]
    pub relays: Relays,
    #[serde(default)]
    pub budgets: Budgets,
    /// Where many sites are one installation: this fleet is one of them. The list is not relayed then.
    #[serde(default)]
    pub feed: Option<Feed>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Members {
    /// Gateways that are known at most.
    pub most: usize,
    /// Gateways that there are, about: one that hears of none shares by it.
    pub expected: usize,
    /// One member is probed this often.
    pub probe_ms: u64,
    /// A probe that is not answered by then is repeated through others; the period's end decides.
    pub answer_ms: u64,
    /// A member that does not answer is held to be gone after this time at the least; it grows with the decimal
    /// logarithm of the members beyond ten.
    pub suspect_ms: u64,
    /// Bytes a second that news may take beyond probes.
    pub news_bytes: u64,
}

impl Default for Members {
    fn default() -> Members {
        Members {
            most: 1_024,
            expected: 100,
            probe_ms: 1_000,
            answer_ms: 300,
            suspect_ms: 3_500,
            news_bytes: 12_288,
        }
    }
}

/// How the list of caches comes to all of them.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Relays {
    /// Without it each gateway asks the bulletin for itself.
    pub on: bool,
    /// Gateways that ask the bulletin.
    pub askers: usize,
    /// Members that one gateway tells, about.
    pub children: usize,
    /// News older than this is not held to be fresh: other sources are sought, the bulletin among them.
    pub stale_ms: u64,
    /// Connections to the bulletin a second, of all gateways together.
    pub connections_per_s: f64,
    /// The largest list that is relayed, in KB.
    pub most_kb: usize,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays { on: true, askers: 3, children: 8, stale_ms: 2_500, connections_per_s: 10.0, most_kb: 1_024 }
    }
}

/// What all gateways together may use of caches and parents while they start. Below what these bear.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Budgets {
    /// Connections to one member of the list; absent: not counted.
    pub connections: Option<u32>,
    /// Gateways that have one object filled at once while the fleet is warming; absent: not counted.
    pub fills: Option<u32>,
    /// Objects that are filled through one cache at once, of all gateways together, while the fleet is warming.
    pub fills_at_cache: Option<u32>,
    /// A lease ends by itself after this time.
    pub lease_ms: u64,
    /// A txn waits for what others hold for this part of its SLA time at the most.
    pub wait_part: f64,
    /// A gateway that starts in a cold fleet is warming for so long.
    pub warming_ms: u64,
}

impl Default for Budgets {
    fn default() -> Budgets {
        Budgets {
            connections: None,
            fills: None,
            fills_at_cache: None,
            lease_ms: 1_500,
            wait_part: 0.5,
            warming_ms: 20_000,
        }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}: {1}")]
    Field(String, &'static str),
}

impl Fleet {
    pub fn read(text: &str) -> Result<Fleet, SettingsError> {
        let file: Fleet = serde_json::from_str(text)?;
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let require = |is: bool, field: &str, what: &'static str| {
            if is { Ok(()) } else { Err(SettingsError::Field(field.to_owned(), what)) }
        };
        require(is_valid_name(&self.fleet), "fleet", "a name has 1 to 64 visible characters")?;
        require(is_valid_name(&self.gateway), "gateway", "a name has 1 to 64 visible characters")?;
        require(self.listen.port() != 0, "listen", "the others have to know the port")?;
        require(
            self.advertised_address().is_ipv4() && self.advertised_address().port() != 0,
            "advertise",
            "an IPv4 address with its port",
        )?;
        let control = self.feed.as_ref().and_then(|f| f.control.as_ref());
        match control {
            Some(control) => {
                require(self.seeds.is_empty(), "seeds", "a control machine has no members: none are wanted")?;
                require(
                    self.gateway == control.name,
                    "gateway",
                    "a control machine has the name of its hub",
                )?;
            }
            None => require((1..=16).contains(&self.seeds.len()), "seeds", "1 to 16 are wanted")?,
        }
        require((1..=4).contains(&self.keys.len()), "keys", "1 to 4 are wanted")?;
        let mut ids = BTreeSet::new();
        for (i, key) in self.keys.iter().enumerate() {
            require(ids.insert(key.id), &format!("keys[{i}].id"), "another key has it")?;
            let long = key.secret_bytes().is_some_and(|b| b.len() >= 32);
            require(long, &format!("keys[{i}].secret"), "32 bytes or more in hex digits are wanted")?;
        }
        let m = &self.members;
        require((2..=4_096).contains(&m.most), "members.most", "2 to 4,096")?;
        require((1..=m.most).contains(&m.expected), "members.expected", "1 to members.most")?;
        require((100..=60_000).contains(&m.probe_ms), "members.probe_ms", "100 to 60,000")?;
        require(
            m.answer_ms >= 20 && m.answer_ms * 2 <= m.probe_ms,
            "members.answer_ms",
            "20 to half of probe_ms",
        )?;
        require(m.suspect_ms >= m.probe_ms, "members.suspect_ms", "probe_ms at the least")?;
        require(m.news_bytes >= 1_024, "members.news_bytes", "1,024 at the least")?;
        let r = &self.relays;
        require((1..=16).contains(&r.askers), "relays.askers", "1 to 16")?;
        require((2..=64).contains(&r.children), "relays.children", "2 to 64")?;
        require((1_500..=60_000).contains(&r.stale_ms), "relays.stale_ms", "1,500 to 60,000")?;
        require(
            r.connections_per_s.is_finite() && r.connections_per_s >= 0.1,
            "relays.connections_per_s",
            "0.1 at the least",
        )?;
        require((16..=16_384).contains(&r.most_kb), "relays.most_kb", "16 to 16,384")?;
        let b = &self.budgets;
        require(b.connections != Some(0), "budgets.connections", "1 at the least")?;
        require(b.fills != Some(0), "budgets.fills", "1 at the least")?;
        require(b.fills_at_cache != Some(0), "budgets.fills_at_cache", "1 at the least")?;
        require((200..=60_000).contains(&b.lease_ms), "budgets.lease_ms", "200 to 60,000")?;
        require((0.0..=0.9).contains(&b.wait_part), "budgets.wait_part", "0 to 0.9")?;
        match &self.feed {
            Some(feed) => {
                feed.check().map_err(|(field, what)| SettingsError::Field(format!("feed.{field}"), what))
            }
            None => Ok(()),
        }
    }

    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// The schema of the file (JSON Schema 2020-12).
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Fleet)).unwrap_or_default()
    }
}
