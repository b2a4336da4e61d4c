//! Looks for the smallest circumstance that breaks an expectation: all combinations of up to K members in trouble, fewest
//! first, in an order that is always the same, many at a time. Must never give another verdict for the same input, nor
//! call an expectation held that was never put to the test.

use crate::expect::{Expectation, Must, Suite, Trouble, line_of};
use crate::fleet::Fleet;
use crate::judge::{Case, Verdict};
use crate::world::{Calm, Circumstance, Final, Way, World};
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};

/// More combinations than this are not tried: the expectation says so.
pub const MOST_TRIED: usize = 4_000_000;

#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    Held,
    /// The members in trouble, why it is broken, and the way that shows it.
    Broken {
        troubles: Vec<(String, Trouble)>,
        why: String,
        object: u64,
        steps: Vec<String>,
    },
    /// Nothing that could have broken it ever happened.
    Vacuous,
    /// It speaks of what is not there.
    Unusable(String),
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub name: String,
    pub line: usize,
    pub found: Found,
    pub tried: u64,
}

impl Outcome {
    pub fn passes(&self) -> bool {
        self.found == Found::Held
    }
}

/// The verdict on every expectation, in the order of the file.
pub fn run(fleet: &Fleet, suite: &Suite, text: &str, most_search: Option<usize>) -> Vec<Outcome> {
    let one = |e: &Expectation| {
        let mut tried = 0;
        let found = check(fleet, suite, e, most_search, &mut tried).unwrap_or_else(Found::Unusable);
        let line = line_of(text, &e.name);
        Outcome { name: e.name.clone(), line, found, tried }
    };
    suite.expectations.iter().map(one).collect()
}

/// What an expectation is tried with, the same for each circumstance.
struct Trial<'a> {
    fleet: &'a Fleet,
    e: &'a Expectation,
    rule: usize,
    zone: usize,
    /// By zone.
    starts: Vec<Calm>,
    objects: Vec<u64>,
    calm: Vec<Way>,
    given: Circumstance,
}

fn check(
    fleet: &Fleet,
    suite: &Suite,
    e: &Expectation,
    most_search: Option<usize>,
    tried: &mut u64,
) -> Result<Found, String> {
    fleet.check(suite, e)?;
    let mut given =
        Circumstance { purged: e.given.purged, list_late: e.given.list_late, ..Circumstance::default() };
    for (&trouble, chosen) in &e.given.members {
        for i in fleet.chosen(chosen) {
            if given.troubles.insert(i, trouble).is_some() {
                return Err(format!("{} is in two troubles at once", fleet.members[i].id));
            }
        }
    }
    let objects = match &e.about.object {
        Some(hex) => vec![u64::from_str_radix(hex, 16).map_err(|_| "object is not hex digits".to_owned())?],
        // Spread over all hashes, and the same at each run.
        None => (1..=e.about.objects as u64).map(|i| i.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect(),
    };
    let (rule, zone) = (fleet.rule(&e.about.rule)?, fleet.near(suite, e)?);
    let starts = (0..fleet.names.zones.len().max(zone + 1)).map(|z| Calm::new(fleet, z)).collect();
    let mut trial = Trial { fleet, e, rule, zone, starts, objects, calm: Vec::new(), given };
    trial.calm = trial.ways(trial.zone, &Circumstance::default());
    let free: Vec<usize> =
        (0..fleet.members.len()).filter(|i| !trial.given.troubles.contains_key(i)).collect();
    let troubles: Vec<Trouble> = e.troubles.iter().copied().collect();
    let exercised = AtomicBool::new(false);
    for size in 0..=e.search.min(most_search.unwrap_or(usize::MAX)).min(free.len()) {
        let sets = sets(&free, size);
        let ways = troubles.len().checked_pow(size as u32).filter(|w| w * sets.len() <= MOST_TRIED);
        let Some(ways) = ways else {
            return Err(format!(
                "{size} members at once are more than {MOST_TRIED} circumstances: lower search"
            ));
        };
        // In one order, so that the first that breaks it is always the same one.
        let broken = (0..sets.len() * ways).into_par_iter().find_map_first(|n| {
            let (set, mut which) = (&sets[n / ways], n % ways);
            let mut circumstance = trial.given.clone();
            for &i in set {
                circumstance.troubles.insert(i, troubles[which % troubles.len()]);
                which /= troubles.len();
            }
            trial.breaks(circumstance, &exercised).map(|found| (found, n))
        });
        // As many as one thread alone would have tried.
        let all = broken.as_ref().map_or(sets.len() * ways, |(_, n)| n + 1);
        *tried += all as u64;
        if let Some((broken, _)) = broken {
            return Ok(broken);
        }
    }
    Ok(if exercised.load(Ordering::Relaxed) { Found::Held } else { Found::Vacuous })
}

/// All sets of so many of these, in order.
fn sets(of: &[usize], size: usize) -> Vec<Vec<usize>> {
    if size == 0 {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (at, &first) in of.iter().enumerate() {
        for mut rest in sets(&of[at + 1..], size - 1) {
            rest.insert(0, first);
            all.push(rest);
        }
    }
    all
}

impl Trial<'_> {
    fn ways(&self, zone: usize, circumstance: &Circumstance) -> Vec<Way> {
        let mut world = World::from(&self.starts[zone], self.fleet, circumstance);
        self.objects.iter().map(|&object| world.ask(self.rule, object)).collect()
    }

    fn breaks(&self, circumstance: Circumstance, exercised: &AtomicBool) -> Option<Found> {
        let ways = self.ways(self.zone, &circumstance);
        let mut elsewhere = Vec::new();
        if matches!(self.e.must, Must::HaveOneHome(_)) {
            let sources = |w: &Way| w.steps.first().and_then(|s| s.source);
            for zone in (0..self.fleet.names.zones.len()).filter(|&z| z != self.zone) {
                let others = self.ways(zone, &circumstance);
                // A zone without caches of its own has no fills to compare.
                if others.iter().any(|w| sources(w).is_some()) {
                    elsewhere.push(others.iter().map(sources).collect());
                }
            }
        }
        let case = Case {
            fleet: self.fleet,
            circumstance: &circumstance,
            ways: &ways,
            calm: &self.calm,
            elsewhere: &elsewhere,
        };
        match case.judge(&self.e.must) {
            Verdict::Held(put_to_test) => {
                if put_to_test {
                    exercised.store(true, Ordering::Relaxed);
                }
                None
            }
            Verdict::Broken(why, at) => {
                let name = |i: usize| self.fleet.members[i].id.to_string();
                let steps = ways[at].steps.iter().map(|s| {
                    let from = s.source.map_or(String::new(), |s| format!(", filled from {}", name(s)));
                    format!("hop to {}{from}: {:?}", name(s.member), s.end).to_lowercase()
                });
                let last = match ways[at].last {
                    Some(Final::Served) => "served",
                    Some(Final::Rejected(_)) => "rejected",
                    Some(Final::Aborted) => "aborted",
                    None => "no final answer",
                };
                let steps = steps.chain([last.to_owned()]).collect();
                let troubles: BTreeMap<_, _> =
                    circumstance.troubles.iter().map(|(&i, &t)| (name(i), t)).collect();
                let object = ways[at].object;
                Some(Found::Broken { troubles: troubles.into_iter().collect(), why, object, steps })
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sets_are_all_of_a_size_once_each() {
        assert_eq!(sets(&[1, 2, 3], 2), [[1, 2], [1, 3], [2, 3]]);
        assert_eq!(
            (sets(&[1, 2, 3], 0).len(), sets(&[1, 2, 3, 4, 5], 3).len(), sets(&[1], 2).len()),
            (1, 10, 0)
        );
    }
}
