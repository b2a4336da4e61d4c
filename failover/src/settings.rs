//! Owns what operators write of zones and regions, and its checks: a file that can't be used is told by the path of the
//! field and what is wrong with it. Must never hold a decision; what is not written has the value that stands here.

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
    /// Other zones, the nearest first; what is not named is never sent to from here.
    pub near: Vec<String>,
}

/// How fast shares move. The parts are of a zone's txns.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Steps {
    /// One step is made this often.
    pub every_ms: u64,
    /// Away from a zone in one step, at most.
    pub away: f64,
    /// Back to it in one step, at most.
    pub back: f64,
    /// A zone has to be sound for this time before anything returns.
    pub sound_ms: u64,
    /// A table holds for this time; without a fresh one gateways narrow towards near.
    pub holds_ms: u64,
    /// The part of what a zone has shown to bear that is used of it.
    pub head_room: f64,
}

impl Default for Steps {
    fn default() -> Steps {
        Steps { every_ms: 500, away: 0.25, back: 0.05, sound_ms: 10_000, holds_ms: 5_000, head_room: 0.9 }
    }
}

/// What may cross between zones.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Crossing {
    /// KB a second out of one zone; absent: not counted.
    pub kb_per_s: Option<f64>,
    /// The part of it that only the most important may use.
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
        let need = |is: bool, field: &str, what: &'static str| {
            if is { Ok(()) } else { Err(SettingsError::Field(field.to_owned(), what)) }
        };
        need((1..=MAX_ZONES).contains(&self.zones.len()), "zones", "1 to 64 are wanted")?;
        let names: BTreeSet<&str> = self.zones.iter().map(|z| z.name.as_str()).collect();
        need(names.len() == self.zones.len(), "zones", "two have one name")?;
        for (i, zone) in self.zones.iter().enumerate() {
            let near: BTreeSet<&str> = zone.near.iter().map(String::as_str).collect();
            let field = format!("zones[{i}].near");
            need(near.len() == zone.near.len(), &field, "names a zone twice")?;
            need(near.is_subset(&names), &field, "names a zone that there is not")?;
            need(!near.contains(zone.name.as_str()), &field, "names the zone itself")?;
        }
        let s = &self.steps;
        let part = |p: f64| p > 0.0 && p <= 1.0;
        need(s.every_ms >= 50, "steps.every_ms", "50 at the least")?;
        need(part(s.away), "steps.away", "above 0, 1 at most")?;
        need(part(s.back) && s.back <= s.away, "steps.back", "above 0, steps.away at most")?;
        need(s.holds_ms >= 2 * s.every_ms, "steps.holds_ms", "twice steps.every_ms at the least")?;
        need(part(s.head_room), "steps.head_room", "above 0, 1 at most")?;
        let c = &self.crossing;
        need(c.kb_per_s.is_none_or(|kb| kb.is_finite() && kb >= 0.0), "crossing.kb_per_s", "0 or above")?;
        need((0.0..=1.0).contains(&c.reserve), "crossing.reserve", "0 to 1")
    }

    /// For each zone the others by nearness, as places among the zones.
    pub fn zones_by_distance(&self) -> Vec<Vec<usize>> {
        let place = |name: &String| self.zones.iter().position(|z| z.name == *name);
        self.zones.iter().map(|z| z.near.iter().filter_map(place).collect()).collect()
    }
}
