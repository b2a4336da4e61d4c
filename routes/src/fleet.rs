//! The configured members, settings and names that expectations refer to, and the selection of members.
//!
//! Invariant: names are never guessed; an unknown name is an error that suggests the nearest known one.

use crate::expect::{Conditions, Expectation, FailureMode, MemberSelector, Requirement, Suite};
use kelpcart::interface::{Member, MemberState, Settings};
use kelpcart_gateway::config::{Config, DiscoveryEvent, Names};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Fleet {
    pub settings: Settings,
    pub names: Names,
    pub members: Vec<Member>,
    pub seed: u64,
}

impl Fleet {
    pub fn from_config(config: &Config) -> Fleet {
        let mut members: BTreeMap<String, Member> = BTreeMap::new();
        for event in &config.initial_events {
            let DiscoveryEvent::Roster { snapshot, list } = event else { continue };
            if *snapshot {
                members.clear();
            }
            for listed in list {
                members.insert(listed.member.id.to_string(), listed.member.clone());
            }
        }
        members.retain(|_, m| m.state != MemberState::Gone);
        let (settings, names) = (config.settings.clone(), config.names.clone());
        Fleet { settings, names, members: members.into_values().collect(), seed: config.seed }
    }

    pub fn matches(&self, selector: &MemberSelector, member: &Member, failure: Option<FailureMode>) -> bool {
        let name_matches = |named: &Option<String>, all: &[String], index: Option<usize>| {
            named.as_ref().is_none_or(|n| index.is_some() && all.iter().position(|a| a == n) == index)
        };
        selector.names.as_ref().is_none_or(|names| names.contains(&*member.id))
            && name_matches(&selector.kind, &self.names.kinds, Some(member.kind))
            && name_matches(&selector.zone, &self.names.zones, member.zone)
            && selector.cell.is_none_or(|cell| member.cell == Some(cell))
            && selector.trouble.is_none_or(|t| failure == Some(t))
    }

    /// The members that match, whatever their failure mode.
    pub fn select<'a>(&'a self, selector: &'a MemberSelector) -> impl Iterator<Item = usize> + 'a {
        let any_mode = MemberSelector { trouble: None, ..selector.clone() };
        (0..self.members.len()).filter(move |&i| self.matches(&any_mode, &self.members[i], None))
    }

    /// The zone that the expectation's txns come from.
    pub fn client_zone(&self, suite: &Suite, e: &Expectation) -> Result<usize, String> {
        let Some(near) = &e.about.near else { return Ok(self.settings.zone) };
        let zone = suite.hosts.get(near).unwrap_or(near);
        let found = self.names.zones.iter().position(|z| z == zone);
        found.ok_or_else(|| {
            format!("near is {near}, which is no host and no zone{}", suggestion(zone, &self.names.zones))
        })
    }

    pub fn rule_index(&self, name: &str) -> Result<usize, String> {
        let found = self.names.rules.iter().position(|r| r == name);
        found.ok_or_else(|| {
            format!("the configuration has no rule {name}{}", suggestion(name, &self.names.rules))
        })
    }

    pub fn zone_index(&self, name: &str) -> Result<usize, String> {
        let found = self.names.zones.iter().position(|z| z == name);
        found.ok_or_else(|| {
            format!("the configuration has no zone {name}{}", suggestion(name, &self.names.zones))
        })
    }

    /// Parses a member and its failure mode from NAME=TROUBLE.
    pub fn parse_failure(&self, text: &str) -> Result<(usize, FailureMode), String> {
        let (name, mode) = text.split_once('=').ok_or_else(|| format!("{text} is not NAME=TROUBLE"))?;
        let ids: Vec<String> = self.members.iter().map(|m| m.id.to_string()).collect();
        self.check_name("member", name, &ids)?;
        let failure = serde_json::from_value(mode.into());
        let failure = failure.map_err(|_| {
            format!("{mode} is no trouble: down, draining, cold, returned, silent, full, failing")
        })?;
        Ok((ids.iter().position(|id| id == name).unwrap_or(0), failure))
    }

    /// Checks that everything the expectation names exists.
    pub fn check(&self, suite: &Suite, e: &Expectation) -> Result<(), String> {
        self.rule_index(&e.about.rule)?;
        self.client_zone(suite, e)?;
        let Conditions { members, .. } = &e.given;
        let in_requirement = match &e.must {
            Requirement::NeverGoTo(c)
            | Requirement::GoFirstTo(c)
            | Requirement::FillOnlyFrom(c)
            | Requirement::NeverFillFrom(c) => Some(c),
            Requirement::ShareBetween { of, .. } => Some(of),
            _ => None,
        };
        for selector in members.values().chain(in_requirement) {
            self.check_selector(selector)?;
        }
        if let Requirement::StayInZone(zone) = &e.must {
            self.check_name("zone", zone, &self.names.zones)?;
        }
        for (failure, selector) in members {
            if self.select(selector).next().is_none() {
                return Err(format!("no member can be {failure:?}: none is chosen").to_lowercase());
            }
        }
        Ok(())
    }

    fn check_selector(&self, selector: &MemberSelector) -> Result<(), String> {
        let ids: Vec<String> = self.members.iter().map(|m| m.id.to_string()).collect();
        for name in selector.names.iter().flatten() {
            self.check_name("member", name, &ids)?;
        }
        if let Some(kind) = &selector.kind {
            self.check_name("kind", kind, &self.names.kinds)?;
        }
        if let Some(zone) = &selector.zone {
            self.check_name("zone", zone, &self.names.zones)?;
        }
        Ok(())
    }

    fn check_name(&self, what: &str, name: &str, all: &[String]) -> Result<(), String> {
        let exists = all.iter().any(|a| a == name);
        if exists {
            Ok(())
        } else {
            Err(format!("the configuration has no {what} {name}{}", suggestion(name, all)))
        }
    }
}

/// A hint with the most similar name, if one is similar enough.
fn suggestion(name: &str, all: &[String]) -> String {
    let best = all.iter().map(|a| (edit_distance(name, a), a)).min();
    let similar = best.filter(|(d, _)| *d <= name.chars().count().div_ceil(3));
    similar.map_or(String::new(), |(_, a)| format!("; did you mean {a}?"))
}

/// Levenshtein distance (1966).
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut before = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let changed = before + usize::from(x != *y);
            before = row[j + 1];
            row[j + 1] = changed.min(row[j] + 1).min(before + 1);
        }
    }
    row[b.len()]
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        fn edit_distance_is_symmetric_and_zero_only_for_equal_strings(a: String, b: String) -> bool {
            edit_distance(&a, &b) == edit_distance(&b, &a) && (edit_distance(&a, &b) == 0) == (a == b)
        }
    }
}
