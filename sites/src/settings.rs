//! Owns what operators write of other sites, and its checks: a file that can't be used is told by the path of the
//! field and what is wrong with it. Must never hold a decision; what is not written has the value that stands here.

use kelpcart::Span;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sites {
    /// This site's name; the certificate's subject names hold it.
    pub site: String,
    /// This gateway's name, unique in its site.
    pub gateway: String,
    /// Where gateways of other sites connect (UDP); absent: none is taken in.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Sites whose txns are taken in.
    #[serde(default)]
    pub accept: BTreeSet<String>,
    /// Gateways of other sites that this one sends to.
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub keys: KeyFiles,
    /// By remap rule, 0 to 9; what matters more crosses first. A rule that is not named has 5.
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
    /// Its name, unique among the peers; the member's id at the module.
    pub name: String,
    pub site: String,
    pub address: SocketAddr,
    /// What it stands for here: a parent for reads, the origin for writes, or both.
    #[serde(rename = "as")]
    pub roles: BTreeSet<Role>,
    /// Its size beside that of other members, in the settings' unit.
    pub size: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Stands")]
pub enum Role {
    Parent,
    Origin,
}

/// PEM files; read at the start and on SIGHUP.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyFiles {
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// The authorities whose certificates are taken from peers.
    pub roots: PathBuf,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Txns that wait for a link, and their bytes in KB.
    pub queue: usize,
    pub queue_kb: usize,
    /// Hops that all other gateways together may have here at once.
    pub taken: usize,
    /// Sessions of other gateways.
    pub sessions: usize,
    /// Far gateways are asked about hops in doubt; without it each of those is lost.
    pub ask: bool,
    /// Sites that a txn may cross, its first included.
    pub sites: usize,
    /// An idle link is asked for a sign of life this often.
    pub idle_ping_ms: u64,
    /// A hop's answer is wanted this long before its time is over, so that the client has it in time.
    pub answer_before_ms: u64,
    pub connect_ms: u64,
    /// A silent connection is given up after this time.
    pub dark_after_ms: u64,
    /// Waits between tries to connect: the first and the longest.
    pub reconnect_ms: u64,
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

/// What is kept of txns that were taken from other sites and must not run twice.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Ledger {
    pub entries: usize,
    pub bytes: usize,
    pub age_ms: u64,
    /// Gateways of other sites that are remembered.
    pub gateways: usize,
    /// Kept in this file, too, so that it outlives the process; absent: in memory only.
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
    /// A stream for each hop: a lost packet holds up its own hop only.
    #[default]
    Streams,
    /// All on one stream, as they would be on TCP.
    OneStream,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Congestion {
    /// Goes by the queue that builds up: loss alone does not slow it. For links of one's own.
    #[default]
    Delay,
    /// Goes by the measured pace.
    Bbr,
    /// Goes by loss (RFC 9438).
    Cubic,
}

/// Names that cross: letters, digits, `-`, `_` and `.`.
pub fn is_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=64).contains(&text.len()) && text.bytes().all(plain)
}

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("line {line}, column {column}: {why}")]
    Syntax { line: usize, column: usize, why: String },
    #[error("{path}: {why}")]
    Field { path: String, why: String },
}

impl Sites {
    pub fn read(json: &str) -> Result<Sites, SettingsError> {
        let form = |e: serde_json::Error| SettingsError::Syntax {
            line: e.line(),
            column: e.column(),
            why: e.to_string().split(" at line ").next().unwrap_or_default().to_owned(),
        };
        let sites: Sites = serde_json::from_str(json).map_err(form)?;
        sites.validate()?;
        Ok(sites)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let bad =
            |path: &str, why: &str| Err(SettingsError::Field { path: path.to_owned(), why: why.to_owned() });
        if !is_name(&self.site) || !is_name(&self.gateway) {
            return bad("site, gateway", "1 to 64 letters, digits, -, _ or . are a name");
        }
        if self.listen.is_none() && self.peers.is_empty() {
            return bad("listen, peers", "with neither, nothing is carried");
        }
        if self.accept.contains(&self.site) {
            return bad("accept", "holds this very site");
        }
        if self.listen.is_some() && self.accept.is_empty() {
            return bad("accept", "is empty, so that `listen` would take in nobody");
        }
        let mut names = BTreeSet::new();
        for (i, peer) in self.peers.iter().enumerate() {
            let at = |field: &str| format!("peers[{i}].{field}");
            if !is_name(&peer.name) || !is_name(&peer.site) {
                return bad(&at("name, site"), "1 to 64 letters, digits, -, _ or . are a name");
            }
            if !names.insert(&peer.name) {
                return bad(&at("name"), "is another peer's, too");
            }
            if peer.site == self.site {
                return bad(&at("site"), "is this very site");
            }
            if peer.roles.is_empty() {
                return bad(&at("as"), "is empty, so that no txn would go there");
            }
            if !(peer.size.is_finite() && peer.size > 0.0) {
                return bad(&at("size"), "is not above 0");
            }
        }
        if let Some((rule, _)) = self.importance.iter().find(|(_, i)| **i > 9) {
            return bad(&format!("importance.{rule}"), "is above 9");
        }
        let l = &self.limits;
        let counts = [("queue", l.queue), ("taken", l.taken), ("sessions", l.sessions), ("sites", l.sites)];
        if let Some((name, _)) = counts.iter().find(|(_, n)| *n == 0) {
            return bad(&format!("limits.{name}"), "is 0");
        }
        if l.sites > 16 {
            return bad("limits.sites", "is above 16");
        }
        let waits = [
            ("idle_ping_ms", l.idle_ping_ms),
            ("connect_ms", l.connect_ms),
            ("dark_after_ms", l.dark_after_ms),
            ("reconnect_ms", l.reconnect_ms),
        ];
        if let Some((name, _)) = waits.iter().find(|(_, ms)| !(10..=600_000).contains(ms)) {
            return bad(&format!("limits.{name}"), "is not between 10 and 600000");
        }
        if l.reconnect_most_ms < l.reconnect_ms {
            return bad("limits.reconnect_most_ms", "is below reconnect_ms");
        }
        if self.ledger.entries == 0 || self.ledger.gateways == 0 || self.ledger.age_ms == 0 {
            return bad("ledger", "entries, gateways or age_ms is 0");
        }
        Ok(())
    }

    /// How much a rule's txns matter on a link.
    pub fn importance(&self, rule: &str) -> u8 {
        self.importance.get(rule).copied().unwrap_or(5)
    }

    /// The schema of the file, for editors and checks.
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

    fn whole() -> Value {
        json!({
            "site": "east", "gateway": "east-1", "listen": "127.0.0.1:7443", "accept": ["west"],
            "peers": [{"name": "w1", "site": "west", "address": "127.0.0.1:7444", "as": ["parent", "origin"],
                "size": 8.0}],
            "keys": {"certificate": "c.pem", "key": "k.pem", "roots": "r.pem"},
            "importance": {"book": 9},
        })
    }

    #[test]
    fn each_fault_is_told_by_its_place() {
        let sites = Sites::read(&whole().to_string()).unwrap();
        assert_eq!((sites.importance("book"), sites.importance("media")), (9, 5));
        let faults: [(&str, Value, &str); 14] = [
            ("/site", json!("a b"), "site, gateway: "),
            ("/accept", json!([]), "accept: is empty"),
            ("/accept", json!(["east"]), "accept: holds this very site"),
            ("/peers/0/site", json!("east"), "peers[0].site: is this very site"),
            ("/peers/0/as", json!([]), "peers[0].as: is empty"),
            ("/peers/0/size", json!(0.0), "peers[0].size: "),
            ("/peers/0/address", json!("nowhere"), "line 1, column"),
            ("/importance/book", json!(10), "importance.book: is above 9"),
            ("/limits", json!({"sites": 0}), "limits.sites: is 0"),
            ("/limits", json!({"idle_ping_ms": 1}), "limits.idle_ping_ms: "),
            ("/limits", json!({"reconnect_most_ms": 1}), "limits.reconnect_most_ms: "),
            ("/limits", json!({"quue": 1}), "line 1, column"),
            ("/ledger", json!({"entries": 0}), "ledger: "),
            ("/keys", json!({}), "line 1, column"),
        ];
        for (path, value, told) in faults {
            let mut all = whole();
            let (parent, field) = path.rsplit_once('/').unwrap();
            all.pointer_mut(parent).unwrap()[field] = value;
            let why = Sites::read(&all.to_string()).unwrap_err().to_string();
            assert!(why.starts_with(told), "{path}: {why}");
        }
        let mut twice = whole();
        let peer = twice["peers"][0].clone();
        twice["peers"].as_array_mut().unwrap().push(peer);
        assert!(Sites::read(&twice.to_string()).unwrap_err().to_string().starts_with("peers[1].name"));
    }
}
