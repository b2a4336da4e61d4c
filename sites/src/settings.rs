//! The operator's settings for links to other sites, with their validation: an error names the path of the
//! field and what is wrong with it. Fields that are left out have the defaults given here.

use kelpcart::Span;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sites {
    /// This site's name; it must be among the subject names of the certificate.
    pub site: String,
    /// This gateway's name, unique in its site.
    pub gateway: String,
    /// UDP address on which gateways of other sites connect; absent: none are accepted.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Sites whose txns are accepted.
    #[serde(default)]
    pub accept: BTreeSet<String>,
    /// Gateways of other sites that this one sends to.
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub keys: KeyFiles,
    /// Importance by remap rule, 0 to 9; more important txns are sent first. Rules that are not listed have
    /// 5.
    #[serde(default)]
    pub importance: BTreeMap<String, u8>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub ledger: Ledger,
    #[serde(default)]
    pub carrier: Carrier,
    #[serde(default)]
    pub congestion: Congestion,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Unique among the peers; also the member's id in the module.
    pub name: String,
    pub site: String,
    pub address: SocketAddr,
    /// The peer's role here: a parent for reads, the origin for writes, or both.
    #[serde(rename = "as")]
    pub roles: BTreeSet<Role>,
    /// Capacity relative to other members, in the settings' unit.
    pub size: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Stands")]
pub enum Role {
    Parent,
    Origin,
}

/// PEM files; read at startup and on SIGHUP.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyFiles {
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Certificate authorities trusted for peers.
    pub roots: PathBuf,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Txns that may wait for a link.
    pub queue: usize,
    /// Their size in KB.
    pub queue_kb: usize,
    /// Concurrent hops accepted from all other gateways together.
    pub taken: usize,
    /// Concurrent sessions of other gateways.
    pub sessions: usize,
    /// Query the acceptor about hops in doubt; without this each of them is lost.
    pub ask: bool,
    /// Sites that a txn may cross, including its first.
    pub sites: usize,
    /// Ping interval of an idle link.
    pub idle_ping_ms: u64,
    /// How long before its deadline a hop must be answered, so that the answer still reaches the client in
    /// time.
    pub answer_before_ms: u64,
    pub connect_ms: u64,
    /// A silent connection is closed after this time.
    pub dark_after_ms: u64,
    /// Delay before reconnecting: the first.
    pub reconnect_ms: u64,
    /// The longest delay before reconnecting.
    pub reconnect_most_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            queue: 1_024,
            queue_kb: 4_096,
            taken: 1_024,
            sessions: 64,
            ask: true,
            sites: 3,
            idle_ping_ms: 1_000,
            answer_before_ms: 30,
            connect_ms: 2_000,
            dark_after_ms: 1_500,
            reconnect_ms: 100,
            reconnect_most_ms: 2_000,
        }
    }
}

/// Bounds of the ledger, which records unrepeatable txns accepted from other sites.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Ledger {
    pub entries: usize,
    pub bytes: usize,
    pub age_ms: u64,
    /// Gateways of other sites that are remembered.
    pub gateways: usize,
    /// Also stored in this file, so that it survives a restart; absent: in memory only.
    pub file: Option<PathBuf>,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger { entries: 8_192, bytes: 2 * 1024 * 1024, age_ms: 60_000, gateways: 256, file: None }
    }
}

/// How hops share a connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Carrier {
    /// One stream per hop: a lost packet delays only its own hop.
    #[default]
    Streams,
    /// All hops on one stream, as over TCP.
    OneStream,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Congestion {
    /// Delay based: loss alone does not reduce the rate. For links used by one installation only.
    #[default]
    Delay,
    /// By the measured delivery rate.
    Bbr,
    /// Loss based (RFC 9438).
    Cubic,
}

/// Names sent over a link: letters, digits, `-`, `_` and `.`.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=64).contains(&text.len()) && text.bytes().all(allowed)
}

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("line {line}, column {column}: {reason}")]
    Syntax { line: usize, column: usize, reason: String },
    #[error("{path}: {reason}")]
    Field { path: String, reason: String },
}

impl Sites {
    pub fn read(json: &str) -> Result<Sites, SettingsError> {
        let syntax = |e: serde_json::Error| SettingsError::Syntax {
            line: e.line(),
            column: e.column(),
            reason: e.to_string().split(" at line ").next().unwrap_or_default().to_owned(),
        };
        let sites: Sites = serde_json::from_str(json).map_err(syntax)?;
        sites.validate()?;
        Ok(sites)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let invalid = |path: &str, reason: &str| {
            Err(SettingsError::Field { path: path.to_owned(), reason: reason.to_owned() })
        };
        if !is_name(&self.site) || !is_name(&self.gateway) {
            return invalid("site, gateway", "must be 1 to 64 letters, digits, `-`, `_` or `.`");
        }
        if self.listen.is_none() && self.peers.is_empty() {
            return invalid("listen, peers", "at least one of them is required");
        }
        if self.accept.contains(&self.site) {
            return invalid("accept", "must not contain this site");
        }
        if self.listen.is_some() && self.accept.is_empty() {
            return invalid("accept", "must not be empty when `listen` is set");
        }
        let mut names = BTreeSet::new();
        for (i, peer) in self.peers.iter().enumerate() {
            let at = |field: &str| format!("peers[{i}].{field}");
            if !is_name(&peer.name) || !is_name(&peer.site) {
                return invalid(&at("name, site"), "must be 1 to 64 letters, digits, `-`, `_` or `.`");
            }
            if !names.insert(&peer.name) {
                return invalid(&at("name"), "must be unique among the peers");
            }
            if peer.site == self.site {
                return invalid(&at("site"), "must not be this site");
            }
            if peer.roles.is_empty() {
                return invalid(&at("as"), "must not be empty");
            }
            if !(peer.size.is_finite() && peer.size > 0.0) {
                return invalid(&at("size"), "must be above 0");
            }
        }
        if let Some((rule, _)) = self.importance.iter().find(|(_, i)| **i > 9) {
            return invalid(&format!("importance.{rule}"), "must be at most 9");
        }
        let l = &self.limits;
        let counts = [("queue", l.queue), ("taken", l.taken), ("sessions", l.sessions), ("sites", l.sites)];
        if let Some((name, _)) = counts.iter().find(|(_, n)| *n == 0) {
            return invalid(&format!("limits.{name}"), "must not be 0");
        }
        if l.sites > 16 {
            return invalid("limits.sites", "must be at most 16");
        }
        let waits = [
            ("idle_ping_ms", l.idle_ping_ms),
            ("connect_ms", l.connect_ms),
            ("dark_after_ms", l.dark_after_ms),
            ("reconnect_ms", l.reconnect_ms),
        ];
        if let Some((name, _)) = waits.iter().find(|(_, ms)| !(10..=600_000).contains(ms)) {
            return invalid(&format!("limits.{name}"), "must be between 10 and 600000");
        }
        if l.reconnect_most_ms < l.reconnect_ms {
            return invalid("limits.reconnect_most_ms", "must be at least reconnect_ms");
        }
        if self.ledger.entries == 0 || self.ledger.gateways == 0 || self.ledger.age_ms == 0 {
            return invalid("ledger", "entries, gateways and age_ms must not be 0");
        }
        Ok(())
    }

    /// Importance of a rule's txns on a link.
    pub fn importance(&self, rule: &str) -> u8 {
        self.importance.get(rule).copied().unwrap_or(5)
    }

    /// JSON schema of the settings file, for editors and checks.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Sites);
        serde_json::to_string_pretty(&schema).unwrap_or_default()
    }
}

impl Limits {
    pub fn idle_ping(&self) -> Span {
        Span::from_millis(self.idle_ping_ms)
    }

    pub fn dark_after(&self) -> Span {
        Span::from_millis(self.dark_after_ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    fn valid_settings() -> Value {
        json!({
            "site": "east", "gateway": "east-1", "listen": "127.0.0.1:7443", "accept": ["west"],
            "peers": [{"name": "w1", "site": "west", "address": "127.0.0.1:7444", "as": ["parent", "origin"],
                "size": 8.0}],
            "keys": {"certificate": "c.pem", "key": "k.pem", "roots": "r.pem"},
            "importance": {"book": 9},
        })
    }

    #[test]
    fn each_error_names_its_field() {
        let sites = Sites::read(&valid_settings().to_string()).unwrap();
        assert_eq!((sites.importance("book"), sites.importance("media")), (9, 5));
        let errors: [(&str, Value, &str); 14] = [
            ("/site", json!("a b"), "site, gateway: "),
            ("/accept", json!([]), "accept: must not be empty"),
            ("/accept", json!(["east"]), "accept: must not contain this site"),
            ("/peers/0/site", json!("east"), "peers[0].site: must not be this site"),
            ("/peers/0/as", json!([]), "peers[0].as: must not be empty"),
            ("/peers/0/size", json!(0.0), "peers[0].size: "),
            ("/peers/0/address", json!("nowhere"), "line 1, column"),
            ("/importance/book", json!(10), "importance.book: must be at most 9"),
            ("/limits", json!({"sites": 0}), "limits.sites: must not be 0"),
            ("/limits", json!({"idle_ping_ms": 1}), "limits.idle_ping_ms: "),
            ("/limits", json!({"reconnect_most_ms": 1}), "limits.reconnect_most_ms: "),
            ("/limits", json!({"quue": 1}), "line 1, column"),
            ("/ledger", json!({"entries": 0}), "ledger: "),
            ("/keys", json!({}), "line 1, column"),
        ];
        for (path, value, expected) in errors {
            let mut all = valid_settings();
            let (parent, field) = path.rsplit_once('/').unwrap();
            all.pointer_mut(parent).unwrap()[field] = value;
            let reason = Sites::read(&all.to_string()).unwrap_err().to_string();
            assert!(reason.starts_with(expected), "{path}: {reason}");
        }
        let mut duplicate = valid_settings();
        let peer = duplicate["peers"][0].clone();
        duplicate["peers"].as_array_mut().unwrap().push(peer);
        assert!(Sites::read(&duplicate.to_string()).unwrap_err().to_string().starts_with("peers[1].name"));
    }
}
