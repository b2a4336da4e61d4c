//! The operator's failover settings and their validation. An error names the path of the field and what is wrong with
//! it. Fields that are absent take the defaults defined here.

use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;

pub const MAX_ZONES: usize = 64;

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Failover {
    /// All zones of the region.
    pub zones: Vec<Zone>,
    #[serde(default)]
    pub steps: Steps,
    #[serde(default)]
    pub crossing: Crossing,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: String,
    /// Other zones, nearest first. Txns of this zone are never sent to a zone that is not listed.
    pub near: Vec<String>,
}

/// How fast shares move. Shares are fractions of a zone's txns.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Steps {
    /// Interval between steps.
    pub every_ms: u64,
    /// Largest share moved away from a zone in one step.
    pub away: f64,
    /// Largest share moved back to a zone in one step.
    pub back: f64,
    /// Hold time: how long a zone has to be healthy before any share returns to it.
    pub sound_ms: u64,
    /// How long a table is valid; without a newer one, gateways then reduce in steps the shares sent to other zones.
    pub holds_ms: u64,
    /// The fraction of a zone's observed capacity that is planned for use.
    pub head_room: f64,
}

impl Default for Steps {
    fn default() -> Steps {
        Steps { every_ms: 500, away: 0.25, back: 0.05, sound_ms: 10_000, holds_ms: 5_000, head_room: 0.9 }
    }
}

/// Limits on traffic between zones.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Crossing {
    /// KB per second out of one zone; absent: no limit.
    pub kb_per_s: Option<f64>,
    /// The fraction of it reserved for txns of the highest importance.
    pub reserve: f64,
}

impl Default for Crossing {
    fn default() -> Crossing {
        Crossing { kb_per_s: None, reserve: 0.2 }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{0}")]
    Syntax(#[from] serde_json::Error),
    #[error("{0}: {1}")]
    Field(String, &'static str),
}

impl Failover {
    pub fn read(text: &str) -> Result<Failover, SettingsError> {
        let file: Failover = serde_json::from_str(text)?;
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let require = |holds: bool, field: &str, message: &'static str| {
            if holds { Ok(()) } else { Err(SettingsError::Field(field.to_owned(), message)) }
        };
        require((1..=MAX_ZONES).contains(&self.zones.len()), "zones", "must have 1 to 64 entries")?;
        let names: BTreeSet<&str> = self.zones.iter().map(|z| z.name.as_str()).collect();
        require(names.len() == self.zones.len(), "zones", "two zones have the same name")?;
        for (i, zone) in self.zones.iter().enumerate() {
            let near: BTreeSet<&str> = zone.near.iter().map(String::as_str).collect();
            let field = format!("zones[{i}].near");
            require(near.len() == zone.near.len(), &field, "lists a zone twice")?;
            require(near.is_subset(&names), &field, "lists an unknown zone")?;
            require(!near.contains(zone.name.as_str()), &field, "lists the zone itself")?;
        }
        let s = &self.steps;
        let is_share = |p: f64| p > 0.0 && p <= 1.0;
        require(s.every_ms >= 50, "steps.every_ms", "must be at least 50")?;
        require(is_share(s.away), "steps.away", "must be above 0 and at most 1")?;
        require(
            is_share(s.back) && s.back <= s.away,
            "steps.back",
            "must be above 0 and at most steps.away",
        )?;
        require(s.holds_ms >= 2 * s.every_ms, "steps.holds_ms", "must be at least twice steps.every_ms")?;
        require(is_share(s.head_room), "steps.head_room", "must be above 0 and at most 1")?;
        let c = &self.crossing;
        require(
            c.kb_per_s.is_none_or(|kb| kb.is_finite() && kb >= 0.0),
            "crossing.kb_per_s",
            "must be 0 or more",
        )?;
        require((0.0..=1.0).contains(&c.reserve), "crossing.reserve", "must be from 0 to 1")
    }

    /// For each zone the indexes of the other zones, nearest first.
    pub fn zones_by_distance(&self) -> Vec<Vec<usize>> {
        let index = |name: &String| self.zones.iter().position(|z| z.name == *name);
        self.zones.iter().map(|z| z.near.iter().filter_map(index).collect()).collect()
    }
}
