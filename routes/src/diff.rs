//! Compares two configurations: the share of objects whose first cache or first parent changes, without failures and with
//! each single member down, and the expectations whose verdict changes. Each moved object is cold at its new place and
//! costs an additional fill. Pure.

use crate::expect::{FailureMode, Suite};
use crate::fleet::Fleet;
use crate::search::{self, ExpectationResult};
use crate::world::{InitialState, Scenario, Trace, World};
use kelpcart::interface::MemberId;
use rayon::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Shares of a rule's objects that change, 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct MovedShares {
    pub rule: String,
    /// The member that is down in both configurations, if any.
    pub down: Option<String>,
    /// Another first cache.
    pub cache: f64,
    /// Another first parent.
    pub parent: f64,
    /// Served by the old configuration but not by the new one.
    pub lost: f64,
}

#[derive(Clone, Debug)]
pub struct Diff {
    pub added: Vec<String>,
    pub removed: Vec<String>,
    pub moved: Vec<MovedShares>,
    /// Expectations whose verdict differs: name, passed before, passes now.
    pub verdicts: Vec<(String, bool, bool)>,
}

fn traces(fleet: &Fleet, rule: usize, down: Option<&str>, objects: u64) -> Vec<Trace> {
    let index = |name: &str| fleet.members.iter().position(|m| &*m.id == name);
    let failures: BTreeMap<usize, FailureMode> =
        down.and_then(index).map(|i| (i, FailureMode::Down)).into_iter().collect();
    let scenario = Scenario { failures, ..Scenario::default() };
    let mut world = World::from_state(&InitialState::new(fleet, fleet.settings.zone), fleet, &scenario);
    (1..=objects).map(|i| world.run_txn(rule, i.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect()
}

fn share_moved(
    old: &Fleet,
    new: &Fleet,
    rule: &str,
    down: Option<&str>,
    objects: u64,
) -> Option<MovedShares> {
    let (before, after) = (old.rule_index(rule).ok()?, new.rule_index(rule).ok()?);
    let (before, after) = (traces(old, before, down, objects), traces(new, after, down, objects));
    let id = |fleet: &Fleet, i: Option<usize>| i.map(|i| MemberId::clone(&fleet.members[i].id));
    let first = |fleet: &Fleet, w: &Trace| id(fleet, w.hops.first().map(|s| s.member));
    let source = |fleet: &Fleet, w: &Trace| id(fleet, w.hops.first().and_then(|s| s.source));
    let served = |w: &Trace| w.result == Some(crate::world::Final::Served);
    let share_of = |differs: &dyn Fn(&Trace, &Trace) -> bool| {
        before.iter().zip(&after).filter(|(a, b)| differs(a, b)).count() as f64 / objects.max(1) as f64
    };
    Some(MovedShares {
        rule: rule.to_owned(),
        down: down.map(str::to_owned),
        cache: share_of(&|a, b| first(old, a) != first(new, b)),
        parent: share_of(&|a, b| source(old, a) != source(new, b)),
        lost: share_of(&|a, b| served(a) && !served(b)),
    })
}

/// Compares two fleets; `suite` is the suite and its text.
pub fn diff(old: &Fleet, new: &Fleet, suite: Option<(&Suite, &str)>, objects: u64) -> Diff {
    let names = |f: &Fleet| -> Vec<String> { f.members.iter().map(|m| m.id.to_string()).collect() };
    let (before, after) = (names(old), names(new));
    let not_in = |of: &[String], all: &[String]| of.iter().filter(|n| !all.contains(n)).cloned().collect();
    let both = before.iter().filter(|n| after.contains(n)).map(|n| Some(n.as_str()));
    let down_members: Vec<Option<&str>> = [None].into_iter().chain(both).collect();
    let cases: Vec<(&String, Option<&str>)> =
        new.names.rules.iter().flat_map(|rule| down_members.iter().map(move |down| (rule, *down))).collect();
    let moved =
        cases.par_iter().filter_map(|(rule, down)| share_moved(old, new, rule, *down, objects)).collect();
    let passes = |fleet: &Fleet, (suite, text): (&Suite, &str)| -> Vec<(String, bool)> {
        search::run(fleet, suite, text, None)
            .iter()
            .map(|o| (o.name.clone(), ExpectationResult::passes(o)))
            .collect()
    };
    let verdicts = suite.map_or(Vec::new(), |suite| {
        let pairs = passes(old, suite).into_iter().zip(passes(new, suite));
        pairs.filter(|(a, b)| a.1 != b.1).map(|((name, a), (_, b))| (name, a, b)).collect()
    });
    Diff { added: not_in(&after, &before), removed: not_in(&before, &after), moved, verdicts }
}

impl Diff {
    pub fn text(&self) -> String {
        let mut out = String::new();
        for (what, all) in [("added", &self.added), ("removed", &self.removed)] {
            if !all.is_empty() {
                out.push_str(&format!("{what}: {}\n", all.join(", ")));
            }
        }
        out.push_str("rule         down             other cache  other parent  no more served\n");
        for m in &self.moved {
            let down = m.down.as_deref().unwrap_or("nobody");
            out.push_str(&format!(
                "{:12} {down:16} {:>11.3} {:>13.3} {:>15.3}\n",
                m.rule, m.cache, m.parent, m.lost
            ));
        }
        for (name, before, now) in &self.verdicts {
            let label = |passes: &bool| if *passes { "holds" } else { "fails" };
            out.push_str(&format!("{name}: {} before, {} now\n", label(before), label(now)));
        }
        out
    }

    pub fn json(&self) -> Value {
        let moved: Vec<Value> = self
            .moved
            .iter()
            .map(|m| json!({"rule": m.rule, "down": m.down, "cache": m.cache, "parent": m.parent, "lost": m.lost}))
            .collect();
        let verdicts: Vec<Value> =
            self.verdicts.iter().map(|(n, a, b)| json!({"name": n, "before": a, "now": b})).collect();
        json!({"added": self.added, "removed": self.removed, "moved": moved, "verdicts": verdicts})
    }
}
