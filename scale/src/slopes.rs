//! The slopes file: the benchmark series measured by a run. Defines its format and validates it.
//!
//! Invariant: measured values are never modified after the run.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    pub seed: u64,
    /// The series are short ones, as run in CI.
    pub quick: bool,
    /// Peak memory of the run, in bytes.
    pub peak_memory: u64,
    pub ladders: Vec<Series>,
}

/// A benchmark series: one quantity measured at growing sizes of one dimension, with all other dimensions fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Unique id made of role, quantity and dimension, such as `feed.bytes-out.by-gateways`.
    pub id: String,
    /// The dimension that grows: `gateways`, `caches`, `sites`, `purges_per_s`, `changes_per_s`, `restarts_per_h`, `lost_part`.
    pub over: String,
    /// Values of the dimensions that are fixed, by the same names.
    pub fixed: BTreeMap<String, f64>,
    /// `B/s`, `datagrams/s`, `us`, `us/s`, `ms`, `B`, `count`, `txns/s`, `MB/s`, `objects`.
    pub unit: String,
    /// The environment of the run: `simulated`, `loopback` or `core`.
    pub host: Host,
    /// The source file in the repository that implements the measured mechanism.
    pub mechanism: String,
    /// The command that reproduces the series, run from the repository's root.
    pub command: String,
    /// The values depend on the machine's speed, so CI does not compare them.
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
    /// Mean over all members of the role.
    pub mean: f64,
    /// Value of the member with the highest one; for a delay, the longest.
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
    Json(#[from] serde_json::Error),
    #[error("series {0}: {1}")]
    Series(String, &'static str),
    #[error("short and full series can't be merged into one file")]
    MixedLengths,
}

impl Slopes {
    pub fn read(text: &str) -> Result<Slopes, InvalidSlopes> {
        let slopes: Slopes = serde_json::from_str(text)?;
        slopes.check()?;
        Ok(slopes)
    }

    pub fn check(&self) -> Result<(), InvalidSlopes> {
        let mut seen = BTreeSet::new();
        for series in &self.ladders {
            let require = |ok: bool, what: &'static str| {
                if ok { Ok(()) } else { Err(InvalidSlopes::Series(series.id.clone(), what)) }
            };
            require(seen.insert(&series.id), "duplicate id")?;
            require(!series.points.is_empty(), "no samples")?;
            let values = |p: &Sample| [Some(p.at), Some(p.mean), Some(p.worst), p.p50, p.p99];
            let mut all = series.points.iter().flat_map(values).flatten();
            require(all.all(|f| f.is_finite() && f >= 0.0), "a value is negative or not finite")?;
            require(
                series.points.windows(2).all(|w| w[0].at < w[1].at),
                "sizes are not strictly increasing",
            )?;
        }
        Ok(())
    }

    /// Merges these series with an older file: series of the old file are kept unless they were measured again. The result
    /// is sorted by id.
    pub fn merged_with(mut self, old: Slopes) -> Result<Slopes, InvalidSlopes> {
        if self.quick != old.quick {
            return Err(InvalidSlopes::MixedLengths);
        }
        self.peak_memory = self.peak_memory.max(old.peak_memory);
        let kept: Vec<Series> = old.ladders.into_iter().filter(|l| self.get(&l.id).is_none()).collect();
        self.ladders.extend(kept);
        self.ladders.sort_by(|x, y| x.id.cmp(&y.id));
        Ok(self)
    }
}
