//! The settings of replication and their validation. Errors name the path of the field and the rule that it breaks.
//! Missing fields take the defaults given here.

use kelpcart::Span;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

pub const MAX_HOLDERS: usize = 64;

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Copies {
    /// This gateway's name among the holders.
    pub gateway: String,
    /// UDP address on which this gateway listens for the other holders.
    pub listen: SocketAddr,
    /// All gateways of the site that accept txns of other sites; the same in each gateway's file.
    pub holders: Vec<Holder>,
    /// Number of replicas of each ledger: 3 or 5.
    #[serde(default = "default_copies")]
    pub copies: usize,
    /// Number of ledgers over which the senders are spread.
    #[serde(default = "default_groups")]
    pub groups: u32,
    /// Folder in which the outcomes of txns are also written, so that they survive the loss of all processes at once.
    /// Absent: they are kept in memory only.
    #[serde(default)]
    pub disk: Option<PathBuf>,
    /// Names of holders that are lost for good; read again on SIGHUP. Groups no longer wait for them, and what only
    /// they held is unknown from then on.
    #[serde(default)]
    pub lost: BTreeSet<String>,
    #[serde(default)]
    pub times: Times,
    #[serde(default)]
    pub bounds: Bounds,
}

#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    pub name: String,
    /// UDP address at which the other holders reach it.
    pub address: SocketAddr,
    /// Failure domain: the replicas of a group are spread over zones.
    pub zone: String,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// A group that does not hear its leader for this time, or up to twice as long, elects another.
    pub election_ms: u64,
    /// A request that gets no majority within this time fails.
    pub wait_ms: u64,
    /// A gateway not heard for this time counts as lost: the txns that it ran may or may not have run.
    pub lost_ms: u64,
    /// A member not heard for this time is replaced, if another gateway is available.
    pub absent_ms: u64,
    /// Minimum interval between changes of a group's members.
    pub replace_ms: u64,
}

impl Default for Times {
    fn default() -> Times {
        Times { election_ms: 300, wait_ms: 1_000, lost_ms: 1_500, absent_ms: 8_000, replace_ms: 1_000 }
    }
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Maximum number of txns in a ledger.
    pub entries: usize,
    /// Maximum bytes of answers in a ledger.
    pub bytes: usize,
    pub age_ms: u64,
    /// Maximum number of gateways of other sites in a ledger.
    pub gateways: usize,
    /// Maximum number of commands of a group that are not replicated yet; the least important ones are refused from
    /// half of it on.
    pub waiting: usize,
    /// Maximum size of an answer's body. A larger answer is not kept: a later query of the txn returns unknown.
    pub answer_kb: usize,
    /// Entries of a group's log that are kept for members that are behind; a member that is further behind gets a
    /// snapshot.
    pub log: usize,
    /// Size of a group's log, in KB, up to which entries are kept for members that are behind.
    pub log_kb: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            entries: 100_000,
            bytes: 16 * 1024 * 1024,
            age_ms: 60_000,
            gateways: 256,
            waiting: 4_096,
            answer_kb: 64,
            log: 4_096,
            log_kb: 4_096,
        }
    }
}

fn default_copies() -> usize {
    3
}

fn default_groups() -> u32 {
    1
}

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{0}")]
    Syntax(#[from] serde_json::Error),
    #[error("{0}: {1}")]
    Field(String, &'static str),
}

impl Copies {
    pub fn parse(text: &str) -> Result<Copies, SettingsError> {
        let file: Copies = serde_json::from_str(text)?;
        file.validate()?;
        Ok(file)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let require = |holds: bool, field: &str, requirement: &'static str| {
            if holds { Ok(()) } else { Err(SettingsError::Field(field.to_owned(), requirement)) }
        };
        require(matches!(self.copies, 3 | 5), "copies", "3 or 5")?;
        require((1..=64).contains(&self.groups), "groups", "1 to 64")?;
        require(self.holders.len() <= MAX_HOLDERS, "holders", "at most 64")?;
        require(self.holders.len() >= self.copies, "holders", "at least as many as there are copies")?;
        require(self.own_index().is_some(), "gateway", "it is not among the holders")?;
        require(self.listen.port() != 0, "listen", "needs a fixed port")?;
        let (mut names, mut places) = (BTreeSet::new(), BTreeSet::new());
        for (i, h) in self.holders.iter().enumerate() {
            let at = |field: &str| format!("holders[{i}].{field}");
            let name = kelpcart_sites::settings::is_name(&h.name);
            require(name, &at("name"), "needs 1 to 64 letters, digits, -, _ or .")?;
            require(names.insert(&h.name), &at("name"), "is used by another holder")?;
            require(places.insert(h.address), &at("address"), "is used by another holder")?;
            require(h.address.port() != 0, &at("address"), "needs a port")?;
            require(!h.zone.is_empty() && h.zone.len() <= 64, &at("zone"), "1 to 64 characters")?;
        }
        let known = self.lost.iter().all(|l| names.contains(l));
        require(known, "lost", "has a name that is not among the holders")?;
        require(!self.lost.contains(&self.gateway), "lost", "names this gateway")?;
        let t = &self.times;
        require((100..=10_000).contains(&t.election_ms), "times.election_ms", "100 to 10,000")?;
        require(t.wait_ms >= t.election_ms, "times.wait_ms", "at least election_ms")?;
        // A gateway may run a txn until `wait_ms` after its request, and must not count as lost before then.
        require(t.lost_ms >= t.wait_ms + t.election_ms, "times.lost_ms", "at least wait_ms + election_ms")?;
        require(t.absent_ms >= t.lost_ms, "times.absent_ms", "at least lost_ms")?;
        require(t.replace_ms >= 100, "times.replace_ms", "at least 100")?;
        let b = &self.bounds;
        require((16..=1_000_000).contains(&b.entries), "bounds.entries", "16 to 1,000,000")?;
        require(b.bytes >= 64 * 1024, "bounds.bytes", "at least 65,536")?;
        require(b.age_ms >= 1_000, "bounds.age_ms", "at least 1,000")?;
        require(b.gateways >= 1, "bounds.gateways", "at least 1")?;
        require((16..=65_536).contains(&b.waiting), "bounds.waiting", "16 to 65,536")?;
        require((1..=240).contains(&b.answer_kb), "bounds.answer_kb", "1 to 240")?;
        require((64..=1_000_000).contains(&b.log), "bounds.log", "64 to 1,000,000")?;
        require((256..=65_536).contains(&b.log_kb), "bounds.log_kb", "256 to 65,536")
    }

    /// This gateway's index among the holders.
    pub fn own_index(&self) -> Option<usize> {
        self.holders.iter().position(|h| h.name == self.gateway)
    }

    /// The JSON Schema (2020-12) of the settings.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Copies)).unwrap_or_default()
    }
}

impl Times {
    /// The Raft tick: a tenth of the election timeout.
    pub fn tick_interval(&self) -> Span {
        Span::from_micros(self.election_ms * 100)
    }
}
