//! Looks for the smallest circumstance that breaks an expectation: all combinations of up to K members in trouble, fewest
//! first, in an order that is always the same, many at a time. Must never give another verdict for the same input, nor
//! call an expectation held that was never put to the test.

use crate::expect::{Expectation, FailureMode, Requirement, Suite, line_of};
use crate::fleet::Fleet;
use crate::judge::{Case, Judgement};
use crate::world::{Final, InitialState, Scenario, Trace, World};
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};

/// More combinations than this are not tried: the expectation says so.
pub const MAX_SCENARIOS: usize = 4_000_000;

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Held,
    /// The members in trouble, why it is broken, and the way that shows it.
    Broken {
        failures: Vec<(String, FailureMode)>,
        why: String,
        object: u64,
        trace: Vec<String>,
    },
    /// Nothing that could have broken it ever happened.
    Vacuous,
    /// It speaks of what is not there.
    Unusable(String),
}

#[derive(Clone, Debug)]
pub struct ExpectationResult {
    pub name: String,
    pub line: usize,
    pub verdict: Verdict,
    pub tried: u64,
}

impl ExpectationResult {
    pub fn passes(&self) -> bool {
        self.verdict == Verdict::Held
    }
}

/// The verdict on every expectation, in the order of the file.
pub fn run(fleet: &Fleet, suite: &Suite, text: &str, most_search: Option<usize>) -> Vec<ExpectationResult> {
    let one = |e: &Expectation| {
        let mut tried = 0;
        let found = check(fleet, suite, e, most_search, &mut tried).unwrap_or_else(Verdict::Unusable);
        let line = line_of(text, &e.name);
        ExpectationResult { name: e.name.clone(), line, verdict: found, tried }
    };
    suite.expectations.iter().map(one).collect()
}

/// What an expectation is tried with, the same for each circumstance.
struct Search<'a> {
    fleet: &'a Fleet,
    expectation: &'a Expectation,
    rule: usize,
    zone: usize,
    /// By zone.
    initial_states: Vec<InitialState>,
    objects: Vec<u64>,
    calm: Vec<Trace>,
    fixed: Scenario,
}

fn check(
    fleet: &Fleet,
    suite: &Suite,
    e: &Expectation,
    most_search: Option<usize>,
    tried: &mut u64,
) -> Result<Verdict, String> {
    fleet.check(suite, e)?;
    let mut given = Scenario { purged: e.given.purged, list_late: e.given.list_late, ..Scenario::default() };
    for (&trouble, chosen) in &e.given.members {
        for i in fleet.select(chosen) {
            if given.failures.insert(i, trouble).is_some() {
                return Err(format!("{} is in two troubles at once", fleet.members[i].id));
            }
        }
    }
    let objects = match &e.about.object {
        Some(hex) => vec![u64::from_str_radix(hex, 16).map_err(|_| "object is not hex digits".to_owned())?],
        // Spread over all hashes, and the same at each run.
        None => (1..=e.about.objects as u64).map(|i| i.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect(),
    };
    let (rule, zone) = (fleet.rule_index(&e.about.rule)?, fleet.client_zone(suite, e)?);
    let starts = (0..fleet.names.zones.len().max(zone + 1)).map(|z| InitialState::new(fleet, z)).collect();
    let mut trial = Search {
        fleet,
        expectation: e,
        rule,
        zone,
        initial_states: starts,
        objects,
        calm: Vec::new(),
        fixed: given,
    };
    trial.calm = trial.traces(trial.zone, &Scenario::default());
    let free: Vec<usize> =
        (0..fleet.members.len()).filter(|i| !trial.fixed.failures.contains_key(i)).collect();
    let troubles: Vec<FailureMode> = e.troubles.iter().copied().collect();
    let exercised = AtomicBool::new(false);
    for size in 0..=e.search.min(most_search.unwrap_or(usize::MAX)).min(free.len()) {
        let sets = combinations(&free, size);
        let ways = troubles.len().checked_pow(size as u32).filter(|w| w * sets.len() <= MAX_SCENARIOS);
        let Some(ways) = ways else {
            return Err(format!(
                "{size} members at once are more than {MAX_SCENARIOS} circumstances: lower search"
            ));
        };
        // In one order, so that the first that breaks it is always the same one.
        let broken = (0..sets.len() * ways).into_par_iter().find_map_first(|n| {
            let (set, mut which) = (&sets[n / ways], n % ways);
            let mut circumstance = trial.fixed.clone();
            for &i in set {
                circumstance.failures.insert(i, troubles[which % troubles.len()]);
                which /= troubles.len();
            }
            trial.counterexample(circumstance, &exercised).map(|found| (found, n))
        });
        // As many as one thread alone would have tried.
        let all = broken.as_ref().map_or(sets.len() * ways, |(_, n)| n + 1);
        *tried += all as u64;
        if let Some((broken, _)) = broken {
            return Ok(broken);
        }
    }
    Ok(if exercised.load(Ordering::Relaxed) { Verdict::Held } else { Verdict::Vacuous })
}

/// All sets of so many of these, in order.
fn combinations(of: &[usize], size: usize) -> Vec<Vec<usize>> {
    if size == 0 {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (at, &first) in of.iter().enumerate() {
        for mut rest in combinations(&of[at + 1..], size - 1) {
            rest.insert(0, first);
            all.push(rest);
        }
    }
    all
}

impl Search<'_> {
    fn traces(&self, zone: usize, circumstance: &Scenario) -> Vec<Trace> {
        let mut world = World::from_state(&self.initial_states[zone], self.fleet, circumstance);
        self.objects.iter().map(|&object| world.run_txn(self.rule, object)).collect()
    }

    fn counterexample(&self, circumstance: Scenario, exercised: &AtomicBool) -> Option<Verdict> {
        let ways = self.traces(self.zone, &circumstance);
        let mut elsewhere = Vec::new();
        if matches!(self.expectation.must, Requirement::HaveOneHome(_)) {
            let sources = |w: &Trace| w.hops.first().and_then(|s| s.source);
            for zone in (0..self.fleet.names.zones.len()).filter(|&z| z != self.zone) {
                let others = self.traces(zone, &circumstance);
                // A zone without caches of its own has no fills to compare.
                if others.iter().any(|w| sources(w).is_some()) {
                    elsewhere.push(others.iter().map(sources).collect());
                }
            }
        }
        let case = Case {
            fleet: self.fleet,
            scenario: &circumstance,
            traces: &ways,
            baseline: &self.calm,
            other_zones: &elsewhere,
        };
        match case.judge(&self.expectation.must) {
            Judgement::Held(put_to_test) => {
                if put_to_test {
                    exercised.store(true, Ordering::Relaxed);
                }
                None
            }
            Judgement::Broken(why, at) => {
                let name = |i: usize| self.fleet.members[i].id.to_string();
                let steps = ways[at].hops.iter().map(|s| {
                    let from = s.source.map_or(String::new(), |s| format!(", filled from {}", name(s)));
                    format!("hop to {}{from}: {:?}", name(s.member), s.status).to_lowercase()
                });
                let last = match ways[at].result {
                    Some(Final::Served) => "served",
                    Some(Final::Rejected(_)) => "rejected",
                    Some(Final::Aborted) => "aborted",
                    None => "no final answer",
                };
                let steps = steps.chain([last.to_owned()]).collect();
                let troubles: BTreeMap<_, _> =
                    circumstance.failures.iter().map(|(&i, &t)| (name(i), t)).collect();
                let object = ways[at].object;
                Some(Verdict::Broken { failures: troubles.into_iter().collect(), why, object, trace: steps })
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sets_are_all_of_a_size_once_each() {
        assert_eq!(combinations(&[1, 2, 3], 2), [[1, 2], [1, 3], [2, 3]]);
        assert_eq!(
            (
                combinations(&[1, 2, 3], 0).len(),
                combinations(&[1, 2, 3, 4, 5], 3).len(),
                combinations(&[1], 2).len()
            ),
            (1, 10, 0)
        );
    }
}
