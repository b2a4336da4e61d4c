//! Owns what operators write of the copies, and its checks: a file that can't be used is told by the path of the field
//! and what is wrong with it. Must never hold a decision; what is not written has the value that stands here.

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
    /// Where it hears the other holders (UDP).
    pub listen: SocketAddr,
    /// All gateways of the site that take in txns of other sites; the same in each one's file.
    pub holders: Vec<Holder>,
    /// Gateways that keep each ledger: 3 or 5.
    #[serde(default = "default_copies")]
    pub copies: usize,
    /// Ledgers that the senders are spread over.
    #[serde(default = "default_groups")]
    pub groups: u32,
    /// How txns ended is kept in this folder, too, so that it outlives the loss of all processes at once; absent: in
    /// memory only.
    #[serde(default)]
    pub disk: Option<PathBuf>,
    /// Holders that are gone for good, by name; read again on SIGHUP. Their word is not waited for any more: what only
    /// they knew is unknown from then on.
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
    /// Where the others reach it.
    pub address: SocketAddr,
    /// What fails together: copies are spread over zones.
    pub zone: String,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// A group without a word from its leader for this time, up to twice of it, chooses another.
    pub election_ms: u64,
    /// What waits for a majority is told off after this time.
    pub wait_ms: u64,
    /// A gateway not heard for this time has lost what it was running: that may have run, or not.
    pub lost_ms: u64,
    /// A member not heard for this time is replaced, if another gateway can be had.
    pub absent_ms: u64,
    /// Members of a group are replaced no more often.
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
    /// Txns that one ledger remembers.
    pub entries: usize,
    /// Bytes of answers that one ledger remembers.
    pub bytes: usize,
    pub age_ms: u64,
    /// Gateways of other sites that one ledger remembers.
    pub gateways: usize,
    /// Commands of one group that are not copied yet; the least important are told off from half of it on.
    pub waiting: usize,
    /// An answer with a longer body is not kept: asked about, it is unknown.
    pub answer_kb: usize,
    /// Commands and bytes of a group's log that are kept for members that are behind; beyond that they get the ledger
    /// as it is.
    pub log: usize,
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
        require(self.holders.len() <= MAX_HOLDERS, "holders", "64 at the most")?;
        require(self.holders.len() >= self.copies, "holders", "at least as many as there are copies")?;
        require(self.own_index().is_some(), "gateway", "it is not among the holders")?;
        require(self.listen.port() != 0, "listen", "the others have to know the port")?;
        let (mut names, mut places) = (BTreeSet::new(), BTreeSet::new());
        for (i, h) in self.holders.iter().enumerate() {
            let at = |field: &str| format!("holders[{i}].{field}");
            let name = kelpcart_sites::settings::is_name(&h.name);
            require(name, &at("name"), "1 to 64 letters, digits, -, _ or . are a name")?;
            require(names.insert(&h.name), &at("name"), "another holder has it")?;
            require(places.insert(h.address), &at("address"), "another holder has it")?;
            require(h.address.port() != 0, &at("address"), "a port is wanted")?;
            require(!h.zone.is_empty() && h.zone.len() <= 64, &at("zone"), "1 to 64 characters")?;
        }
        let known = self.lost.iter().all(|l| names.contains(l));
        require(known, "lost", "names somebody who is not among the holders")?;
        require(!self.lost.contains(&self.gateway), "lost", "names this very gateway")?;
        let t = &self.times;
        require((100..=10_000).contains(&t.election_ms), "times.election_ms", "100 to 10,000")?;
        require(t.wait_ms >= t.election_ms, "times.wait_ms", "election_ms at the least")?;
        // What a gateway may send on it may until `wait_ms` after it asked; by then nobody may call it lost.
        require(
            t.lost_ms >= t.wait_ms + t.election_ms,
            "times.lost_ms",
            "wait_ms and election_ms at the least",
        )?;
        require(t.absent_ms >= t.lost_ms, "times.absent_ms", "lost_ms at the least")?;
        require(t.replace_ms >= 100, "times.replace_ms", "100 at the least")?;
        let b = &self.bounds;
        require((16..=1_000_000).contains(&b.entries), "bounds.entries", "16 to 1,000,000")?;
        require(b.bytes >= 64 * 1024, "bounds.bytes", "65,536 at the least")?;
        require(b.age_ms >= 1_000, "bounds.age_ms", "1,000 at the least")?;
        require(b.gateways >= 1, "bounds.gateways", "1 at the least")?;
        require((16..=65_536).contains(&b.waiting), "bounds.waiting", "16 to 65,536")?;
        require((1..=240).contains(&b.answer_kb), "bounds.answer_kb", "1 to 240")?;
        require((64..=1_000_000).contains(&b.log), "bounds.log", "64 to 1,000,000")?;
        require((256..=65_536).contains(&b.log_kb), "bounds.log_kb", "256 to 65,536")
    }

    /// This gateway's place among the holders.
    pub fn own_index(&self) -> Option<usize> {
        self.holders.iter().position(|h| h.name == self.gateway)
    }

    /// The schema of the file (JSON Schema 2020-12).
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Copies)).unwrap_or_default()
    }
}

impl Times {
    /// Between two steps of the groups' clocks: a tenth of an election.
    pub fn tick_interval(&self) -> Span {
        Span::from_micros(self.election_ms * 100)
    }
}
