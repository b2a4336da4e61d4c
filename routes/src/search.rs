//! Searches for the smallest scenario that breaks an expectation: all combinations of up to K failed members, fewest
//! first, in a fixed order, evaluated in parallel.
//!
//! Invariants: the same input always gives the same verdict; an expectation that was never exercised is reported as
//! vacuous, not as held.

use crate::expect::{Expectation, FailureMode, Requirement, Suite, line_of};
use crate::fleet::Fleet;
use crate::judge::{Case, Judgement};
use crate::world::{Final, InitialState, Scenario, Trace, World};
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};

/// Upper bound of the scenarios of one size; an expectation that needs more is rejected as unusable.
pub const MAX_SCENARIOS: usize = 4_000_000;

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Held,
    /// The counterexample: the failed members, the reason, and the trace that shows it.
    Broken {
        failures: Vec<(String, FailureMode)>,
        why: String,
        object: u64,
        trace: Vec<String>,
    },
    /// No scenario exercised it.
    Vacuous,
    /// It cannot be evaluated, e.g. because it names something unknown.
    Unusable(String),
}

#[derive(Clone, Debug)]
pub struct ExpectationResult {
    pub name: String,
    pub line: usize,
    pub verdict: Verdict,
    /// Number of scenarios tried.
    pub tried: u64,
}

impl ExpectationResult {
    pub fn passes(&self) -> bool {
        self.verdict == Verdict::Held
    }
}

/// Evaluates every expectation, in the order of the file.
pub fn run(fleet: &Fleet, suite: &Suite, text: &str, max_search: Option<usize>) -> Vec<ExpectationResult> {
    let one = |e: &Expectation| {
        let mut tried = 0;
        let verdict = check(fleet, suite, e, max_search, &mut tried).unwrap_or_else(Verdict::Unusable);
        let line = line_of(text, &e.name);
        ExpectationResult { name: e.name.clone(), line, verdict, tried }
    };
    suite.expectations.iter().map(one).collect()
}

/// The search for one expectation: what all its scenarios have in common.
struct Search<'a> {
    fleet: &'a Fleet,
    expectation: &'a Expectation,
    rule: usize,
    zone: usize,
    /// By zone of the gateway.
    initial_states: Vec<InitialState>,
    objects: Vec<u64>,
    baseline: Vec<Trace>,
    fixed: Scenario,
}

fn check(
    fleet: &Fleet,
    suite: &Suite,
    e: &Expectation,
    max_search: Option<usize>,
    tried: &mut u64,
) -> Result<Verdict, String> {
    fleet.check(suite, e)?;
    let mut fixed = Scenario { purged: e.given.purged, list_late: e.given.list_late, ..Scenario::default() };
    for (&mode, selector) in &e.given.members {
        for i in fleet.select(selector) {
            if fixed.failures.insert(i, mode).is_some() {
                return Err(format!("{} is in two troubles at once", fleet.members[i].id));
            }
        }
    }
    let objects = match &e.about.object {
        Some(hex) => vec![u64::from_str_radix(hex, 16).map_err(|_| "object is not hex digits".to_owned())?],
        // Multiples of the golden-ratio constant: spread over the hash range, and the same in each run.
        None => (1..=e.about.objects as u64).map(|i| i.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect(),
    };
    let (rule, zone) = (fleet.rule_index(&e.about.rule)?, fleet.client_zone(suite, e)?);
    let initial_states =
        (0..fleet.names.zones.len().max(zone + 1)).map(|z| InitialState::new(fleet, z)).collect();
    let mut search =
        Search { fleet, expectation: e, rule, zone, initial_states, objects, baseline: Vec::new(), fixed };
    search.baseline = search.traces(search.zone, &Scenario::default());
    let candidates: Vec<usize> =
        (0..fleet.members.len()).filter(|i| !search.fixed.failures.contains_key(i)).collect();
    let modes: Vec<FailureMode> = e.troubles.iter().copied().collect();
    let exercised = AtomicBool::new(false);
    for size in 0..=e.search.min(max_search.unwrap_or(usize::MAX)).min(candidates.len()) {
        let subsets = combinations(&candidates, size);
        let assignments = modes.len().checked_pow(size as u32).filter(|n| n * subsets.len() <= MAX_SCENARIOS);
        let Some(assignments) = assignments else {
            return Err(format!(
                "{size} members at once are more than {MAX_SCENARIOS} circumstances: lower search"
            ));
        };
        // A fixed order, so that the first counterexample is always the same one.
        let broken = (0..subsets.len() * assignments).into_par_iter().find_map_first(|n| {
            let (subset, mut choice) = (&subsets[n / assignments], n % assignments);
            let mut scenario = search.fixed.clone();
            for &i in subset {
                scenario.failures.insert(i, modes[choice % modes.len()]);
                choice /= modes.len();
            }
            search.counterexample(scenario, &exercised).map(|broken| (broken, n))
        });
        // Counted as if tried by one thread.
        let total = broken.as_ref().map_or(subsets.len() * assignments, |(_, n)| n + 1);
        *tried += total as u64;
        if let Some((broken, _)) = broken {
            return Ok(broken);
        }
    }
    Ok(if exercised.load(Ordering::Relaxed) { Verdict::Held } else { Verdict::Vacuous })
}

/// All subsets of the given size, in order.
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
    fn traces(&self, zone: usize, scenario: &Scenario) -> Vec<Trace> {
        let mut world = World::from_state(&self.initial_states[zone], self.fleet, scenario);
        self.objects.iter().map(|&object| world.run_txn(self.rule, object)).collect()
    }

    fn counterexample(&self, scenario: Scenario, exercised: &AtomicBool) -> Option<Verdict> {
        let traces = self.traces(self.zone, &scenario);
        let mut other_zones = Vec::new();
        if matches!(self.expectation.must, Requirement::HaveOneHome(_)) {
            let fill_source = |w: &Trace| w.hops.first().and_then(|s| s.source);
            for zone in (0..self.fleet.names.zones.len()).filter(|&z| z != self.zone) {
                let others = self.traces(zone, &scenario);
                // A zone without caches of its own has no fills to compare.
                if others.iter().any(|w| fill_source(w).is_some()) {
                    other_zones.push(others.iter().map(fill_source).collect());
                }
            }
        }
        let case = Case {
            fleet: self.fleet,
            scenario: &scenario,
            traces: &traces,
            baseline: &self.baseline,
            other_zones: &other_zones,
        };
        match case.judge(&self.expectation.must) {
            Judgement::Held(was_exercised) => {
                if was_exercised {
                    exercised.store(true, Ordering::Relaxed);
                }
                None
            }
            Judgement::Broken(why, index) => {
                let name = |i: usize| self.fleet.members[i].id.to_string();
                let hops = traces[index].hops.iter().map(|s| {
                    let from = s.source.map_or(String::new(), |s| format!(", filled from {}", name(s)));
                    format!("hop to {}{from}: {:?}", name(s.member), s.status).to_lowercase()
                });
                let result = match traces[index].result {
                    Some(Final::Served) => "served",
                    Some(Final::Rejected(_)) => "rejected",
                    Some(Final::Aborted) => "aborted",
                    None => "no final answer",
                };
                let trace = hops.chain([result.to_owned()]).collect();
                let failures: BTreeMap<_, _> =
                    scenario.failures.iter().map(|(&i, &t)| (name(i), t)).collect();
                let object = traces[index].object;
                Some(Verdict::Broken { failures: failures.into_iter().collect(), why, object, trace })
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn combinations_lists_each_subset_of_a_size_once() {
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
