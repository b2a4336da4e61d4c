//! The fleet's settings file and its validation. A file that can't be used is reported by the path of the field and
//! what is wrong with it. Absent fields have the defaults given here.

use kelpcart_feed::settings::{Feed, is_valid_name};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

pub use kelpcart_feed::settings::Key;

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The fleet's name; gateways of other fleets are ignored.
    pub fleet: String,
    /// This gateway's name, unique in its fleet and the same after a restart.
    pub gateway: String,
    /// The address that it listens on for the other gateways (UDP).
    pub listen: SocketAddr,
    /// The address at which the others reach it, if that is a different one (IPv4).
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// A few gateways that are contacted first; its own address among them does no harm. A control machine has none.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The first key signs, each of them verifies; read again on SIGHUP.
    pub keys: Vec<Key>,
    #[serde(default)]
    pub members: Members,
    #[serde(default)]
    pub relays: Relays,
    #[serde(default)]
    pub budgets: Budgets,
    /// For installations of several sites: this fleet is one of them. The list is then not relayed within the fleet.
    #[serde(default)]
    pub feed: Option<Feed>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Members {
    /// The maximum number of gateways.
    pub most: usize,
    /// The approximate number of gateways; one that reaches no other takes its share by it.
    pub expected: usize,
    /// Interval between probes; each goes to one member.
    pub probe_ms: u64,
    /// A probe that is not acknowledged by then is repeated through other members; it has failed at the end of the
    /// interval.
    pub answer_ms: u64,
    /// A member that does not answer is declared dead after this time at the earliest; the time grows with the
    /// decimal logarithm of the number of members beyond ten.
    pub suspect_ms: u64,
    /// Bytes per second for gossip beyond what is sent with probes.
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

/// How the list of caches reaches all gateways.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Relays {
    /// If false, each gateway subscribes to discovery by itself.
    pub on: bool,
    /// Number of gateways that subscribe to discovery.
    pub askers: usize,
    /// Approximate number of members to which one gateway relays the list.
    pub children: usize,
    /// A list that was last confirmed longer ago than this is stale: other sources are used, discovery among them.
    pub stale_ms: u64,
    /// Connections to discovery per second, of all gateways together.
    pub connections_per_s: f64,
    /// The largest list that is relayed, in KB.
    pub most_kb: usize,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays { on: true, askers: 3, children: 8, stale_ms: 2_500, connections_per_s: 10.0, most_kb: 1_024 }
    }
}

/// Limits on the use of caches and parents by all gateways together while they start. Set below the capacity of
/// these.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Budgets {
    /// Connections to one member of the list; absent: no limit.
    pub connections: Option<u32>,
    /// Gateways that have one object filled at the same time while the fleet is warming; absent: no limit.
    pub fills: Option<u32>,
    /// Objects that all gateways together fill through one cache at the same time while the fleet is warming; absent:
    /// no limit.
    pub fills_at_cache: Option<u32>,
    /// A lease expires after this time.
    pub lease_ms: u64,
    /// The fraction of its SLA time that a txn waits at most for units that others hold.
    pub wait_part: f64,
    /// How long a gateway that starts in a cold fleet is warming.
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
        require(is_valid_name(&self.fleet), "fleet", "must have 1 to 64 visible characters")?;
        require(is_valid_name(&self.gateway), "gateway", "must have 1 to 64 visible characters")?;
        require(self.listen.port() != 0, "listen", "the port must be given")?;
        require(
            self.advertised_address().is_ipv4() && self.advertised_address().port() != 0,
            "advertise",
            "must be an IPv4 address with a port",
        )?;
        let control = self.feed.as_ref().and_then(|f| f.control.as_ref());
        match control {
            Some(control) => {
                require(
                    self.seeds.is_empty(),
                    "seeds",
                    "must be empty for a control machine, which has no members",
                )?;
                require(
                    self.gateway == control.name,
                    "gateway",
                    "must be the name of the hub on a control machine",
                )?;
            }
            None => require((1..=16).contains(&self.seeds.len()), "seeds", "must have 1 to 16 entries")?,
        }
        require((1..=4).contains(&self.keys.len()), "keys", "must have 1 to 4 entries")?;
        let mut ids = BTreeSet::new();
        for (i, key) in self.keys.iter().enumerate() {
            require(ids.insert(key.id), &format!("keys[{i}].id"), "used by another key")?;
            let long = key.secret_bytes().is_some_and(|b| b.len() >= 32);
            require(long, &format!("keys[{i}].secret"), "must be at least 32 bytes in hex digits")?;
        }
        let m = &self.members;
        require((2..=4_096).contains(&m.most), "members.most", "must be 2 to 4,096")?;
        require((1..=m.most).contains(&m.expected), "members.expected", "must be 1 to members.most")?;
        require((100..=60_000).contains(&m.probe_ms), "members.probe_ms", "must be 100 to 60,000")?;
        require(
            m.answer_ms >= 20 && m.answer_ms * 2 <= m.probe_ms,
            "members.answer_ms",
            "must be 20 to half of probe_ms",
        )?;
        require(m.suspect_ms >= m.probe_ms, "members.suspect_ms", "must be at least probe_ms")?;
        require(m.news_bytes >= 1_024, "members.news_bytes", "must be at least 1,024")?;
        let r = &self.relays;
        require((1..=16).contains(&r.askers), "relays.askers", "must be 1 to 16")?;
        require((2..=64).contains(&r.children), "relays.children", "must be 2 to 64")?;
        require((1_500..=60_000).contains(&r.stale_ms), "relays.stale_ms", "must be 1,500 to 60,000")?;
        require(
            r.connections_per_s.is_finite() && r.connections_per_s >= 0.1,
            "relays.connections_per_s",
            "must be at least 0.1",
        )?;
        require((16..=16_384).contains(&r.most_kb), "relays.most_kb", "must be 16 to 16,384")?;
        let b = &self.budgets;
        require(b.connections != Some(0), "budgets.connections", "must be at least 1")?;
        require(b.fills != Some(0), "budgets.fills", "must be at least 1")?;
        require(b.fills_at_cache != Some(0), "budgets.fills_at_cache", "must be at least 1")?;
        require((200..=60_000).contains(&b.lease_ms), "budgets.lease_ms", "must be 200 to 60,000")?;
        require((0.0..=0.9).contains(&b.wait_part), "budgets.wait_part", "must be 0 to 0.9")?;
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

    /// The JSON Schema (2020-12) of the file.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Fleet)).unwrap_or_default()
    }
}
