//! The configuration as an expectation sees it: settings, names and members; and what is chosen of them. Must never guess:
//! a name that is nowhere is a fault, with the nearest that there is.

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
            let DiscoveryEvent::Roster { snapshot: whole, list } = event else { continue };
            if *whole {
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

    pub fn matches(&self, chosen: &MemberSelector, member: &Member, trouble: Option<FailureMode>) -> bool {
        let place = |named: &Option<String>, all: &[String], is: usize| {
            named.as_ref().is_none_or(|n| all.iter().position(|a| a == n) == Some(is))
        };
        chosen.names.as_ref().is_none_or(|names| names.contains(&*member.id))
            && place(&chosen.kind, &self.names.kinds, member.kind)
            && place(&chosen.zone, &self.names.zones, member.zone)
            && chosen.cell.is_none_or(|cell| cell == member.cell)
            && chosen.trouble.is_none_or(|t| trouble == Some(t))
    }

    /// The members that are chosen whatever trouble they are in.
    pub fn select<'a>(&'a self, chosen: &'a MemberSelector) -> impl Iterator<Item = usize> + 'a {
        let any = MemberSelector { trouble: None, ..chosen.clone() };
        (0..self.members.len()).filter(move |&i| self.matches(&any, &self.members[i], None))
    }

    /// The zone from which an expectation's txns come.
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

    /// A member and its trouble, as NAME=TROUBLE.
    pub fn parse_failure(&self, text: &str) -> Result<(usize, FailureMode), String> {
        let (name, word) = text.split_once('=').ok_or_else(|| format!("{text} is not NAME=TROUBLE"))?;
        let ids: Vec<String> = self.members.iter().map(|m| m.id.to_string()).collect();
        self.check_name("member", name, &ids)?;
        let trouble = serde_json::from_value(word.into());
        let trouble = trouble.map_err(|_| {
            format!("{word} is no trouble: down, draining, cold, returned, silent, full, failing")
        })?;
        Ok((ids.iter().position(|id| id == name).unwrap_or(0), trouble))
    }

    /// Everything that is named has to be there.
    pub fn check(&self, suite: &Suite, e: &Expectation) -> Result<(), String> {
        self.rule_index(&e.about.rule)?;
        self.client_zone(suite, e)?;
        let Conditions { members, .. } = &e.given;
        let of_must = match &e.must {
            Requirement::NeverGoTo(c)
            | Requirement::GoFirstTo(c)
            | Requirement::FillOnlyFrom(c)
            | Requirement::NeverFillFrom(c) => Some(c),
            Requirement::ShareBetween { of, .. } => Some(of),
            _ => None,
        };
        for chosen in members.values().chain(of_must) {
            self.check_selector(chosen)?;
        }
        if let Requirement::StayInZone(zone) = &e.must {
            self.check_name("zone", zone, &self.names.zones)?;
        }
        for (trouble, chosen) in members {
            if self.select(chosen).next().is_none() {
                return Err(format!("no member can be {trouble:?}: none is chosen").to_lowercase());
            }
        }
        Ok(())
    }

    fn check_selector(&self, chosen: &MemberSelector) -> Result<(), String> {
        let ids: Vec<String> = self.members.iter().map(|m| m.id.to_string()).collect();
        for name in chosen.names.iter().flatten() {
            self.check_name("member", name, &ids)?;
        }
        if let Some(kind) = &chosen.kind {
            self.check_name("kind", kind, &self.names.kinds)?;
        }
        if let Some(zone) = &chosen.zone {
            self.check_name("zone", zone, &self.names.zones)?;
        }
        Ok(())
    }

    fn check_name(&self, what: &str, name: &str, all: &[String]) -> Result<(), String> {
        let there = all.iter().any(|a| a == name);
        if there {
            Ok(())
        } else {
            Err(format!("the configuration has no {what} {name}{}", suggestion(name, all)))
        }
    }
}

/// The likely name, where one is near.
fn suggestion(name: &str, all: &[String]) -> String {
    let best = all.iter().map(|a| (edit_distance(name, a), a)).min();
    let near = best.filter(|(d, _)| *d <= name.chars().count().div_ceil(3));
    near.map_or(String::new(), |(_, a)| format!("; did you mean {a}?"))
}

/// Letters to change, add or leave out (Levenshtein, 1966).
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
        fn a_distance_is_symmetric_and_zero_only_for_the_same(a: String, b: String) -> bool {
            edit_distance(&a, &b) == edit_distance(&b, &a) && (edit_distance(&a, &b) == 0) == (a == b)
        }
    }
}
