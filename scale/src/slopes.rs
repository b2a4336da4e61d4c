//! The file of slopes: what a run measured, on which ladder of sizes, and the law that fits it. Owns its form; must never
//! change a figure that a run gave.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    pub seed: u64,
    /// Short ladders, as CI plays them.
    pub quick: bool,
    /// The most memory that the run held, in bytes.
    pub peak_memory: u64,
    pub ladders: Vec<Series>,
}

/// One quantity at growing sizes of one thing, all else fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Unique: what is measured, of whom, and over what, such as `feed.bytes-out.by-gateways`.
    pub id: String,
    /// What grows: `gateways`, `caches`, `sites`, `purges_per_s`, `changes_per_s`, `restarts_per_h`, `lost_part`.
    pub over: String,
    /// What stood still, by the same names.
    pub fixed: BTreeMap<String, f64>,
    /// `B/s`, `datagrams/s`, `us`, `us/s`, `ms`, `B`, `count`, `txns/s`, `MB/s`, `objects`.
    pub unit: String,
    /// What it ran on: `simulated`, `loopback` or `core`.
    pub host: Host,
    /// The file in the repository that carries the mechanism.
    pub mechanism: String,
    /// The command line that gives it again, from the root.
    pub command: String,
    /// Depends on the machine's speed: CI does not compare it.
    pub timed: bool,
    pub points: Vec<Sample>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Host {
    Simulated,
    Loopback,
    Core,
}

impl Host {
    pub fn name(self) -> &'static str {
        match self {
            Host::Simulated => "simulated",
            Host::Loopback => "loopback",
            Host::Core => "core",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// The size.
    pub at: f64,
    /// Over all members of the role.
    pub mean: f64,
    /// Of the member that has most; of a delay, the longest.
    pub worst: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub p50: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub p99: Option<f64>,
}

impl Slopes {
    pub fn get(&self, id: &str) -> Option<&Series> {
        self.ladders.iter().find(|l| l.id == id)
    }
}

#[derive(Debug, thiserror::Error)]
pub enum InvalidSlopes {
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    #[error("ladder {0}: {1}")]
    Ladder(String, &'static str),
    #[error("quick ladders and full ones don't go into one file")]
    Quick,
}

impl Slopes {
    pub fn read(text: &str) -> Result<Slopes, InvalidSlopes> {
        let slopes: Slopes = serde_json::from_str(text)?;
        slopes.check()?;
        Ok(slopes)
    }

    pub fn check(&self) -> Result<(), InvalidSlopes> {
        let mut seen = BTreeSet::new();
        for ladder in &self.ladders {
            let need = |is: bool, what: &'static str| {
                if is { Ok(()) } else { Err(InvalidSlopes::Ladder(ladder.id.clone(), what)) }
            };
            need(seen.insert(&ladder.id), "stands twice")?;
            need(!ladder.points.is_empty(), "no points")?;
            let figures = |p: &Sample| [Some(p.at), Some(p.mean), Some(p.worst), p.p50, p.p99];
            let mut all = ladder.points.iter().flat_map(figures).flatten();
            need(all.all(|f| f.is_finite() && f >= 0.0), "a figure is below zero or none")?;
            need(ladder.points.windows(2).all(|w| w[0].at < w[1].at), "sizes don't rise")?;
        }
        Ok(())
    }

    /// These, and those of an older file that were not measured anew, by id.
    pub fn merged_with(mut self, old: Slopes) -> Result<Slopes, InvalidSlopes> {
        if self.quick != old.quick {
            return Err(InvalidSlopes::Quick);
        }
        self.peak_memory = self.peak_memory.max(old.peak_memory);
        let kept: Vec<Series> = old.ladders.into_iter().filter(|l| self.get(&l.id).is_none()).collect();
        self.ladders.extend(kept);
        self.ladders.sort_by(|x, y| x.id.cmp(&y.id));
        Ok(self)
    }
}
