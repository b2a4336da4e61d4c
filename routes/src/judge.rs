//! Says whether an expectation held in one circumstance, and whether it was put to the test at all. Pure: ways in, verdict
//! out.

use crate::expect::{MemberSelector, Requirement};
use crate::fleet::Fleet;
use crate::world::{Final, Scenario, Trace};
use kelpcart::Span;

#[derive(Clone, Debug, PartialEq)]
pub enum Judgement {
    /// `true`: something happened that could have broken it.
    Held(bool),
    /// Why, and the way that shows it, by its place.
    Broken(String, usize),
}

pub struct Case<'a> {
    pub fleet: &'a Fleet,
    pub scenario: &'a Scenario,
    pub traces: &'a [Trace],
    /// The same txns with nobody in trouble.
    pub baseline: &'a [Trace],
    /// The first fill sources that gateways of other zones choose, in the order of the ways.
    pub other_zones: &'a [Vec<Option<usize>>],
}

impl Case<'_> {
    fn matches(&self, chosen: &MemberSelector, i: usize) -> bool {
        let trouble = self.scenario.failures.get(&i).copied();
        self.fleet.matches(chosen, &self.fleet.members[i], trouble)
    }

    fn name(&self, i: usize) -> &str {
        &self.fleet.members[i].id
    }

    /// Some member of the circumstance is one of these.
    fn any_match(&self, chosen: &MemberSelector) -> bool {
        (0..self.fleet.members.len()).any(|i| self.matches(chosen, i))
    }

    /// Each way's steps; the first that breaks it. Exercised where anything was tried and `possible` says so.
    fn check_each(&self, possible: bool, breaks: impl Fn(&Trace) -> Option<String>) -> Judgement {
        let found = self.traces.iter().enumerate().find_map(|(at, way)| Some((breaks(way)?, at)));
        let tried = self.traces.iter().any(|w| !w.hops.is_empty());
        found.map_or(Judgement::Held(possible && tried), |(why, at)| Judgement::Broken(why, at))
    }

    fn first_member(way: &Trace) -> Option<usize> {
        way.hops.first().map(|s| s.member)
    }

    pub fn judge(&self, must: &Requirement) -> Judgement {
        // A txn without a final answer breaks a rule whatever is expected.
        if let Some(at) = self.traces.iter().position(|w| w.result.is_none()) {
            return Judgement::Broken("it has no final answer".to_owned(), at);
        }
        match must {
            Requirement::NeverGoTo(chosen) => self.check_each(self.any_match(chosen), |way| {
                let step = way.hops.iter().find(|s| self.matches(chosen, s.member))?;
                Some(format!("it goes to {}", self.name(step.member)))
            }),
            Requirement::GoFirstTo(chosen) => self.check_each(self.any_match(chosen), |way| {
                let first = Case::first_member(way).filter(|&m| !self.matches(chosen, m))?;
                Some(format!("it goes to {} first", self.name(first)))
            }),
            Requirement::FillOnlyFrom(chosen) => self.check_each(self.any_fill(), |way| {
                let source = way.hops.iter().filter_map(|s| s.source).find(|&s| !self.matches(chosen, s))?;
                Some(format!("it is filled from {}", self.name(source)))
            }),
            Requirement::NeverFillFrom(chosen) => {
                self.check_each(self.any_fill() && self.any_match(chosen), |way| {
                    let source =
                        way.hops.iter().filter_map(|s| s.source).find(|&s| self.matches(chosen, s))?;
                    Some(format!("it is filled from {}", self.name(source)))
                })
            }
            Requirement::StayInZone(zone) => self.check_each(true, |way| {
                let chosen = MemberSelector { zone: Some(zone.clone()), ..MemberSelector::default() };
                let step = way.hops.iter().find(|s| !self.matches(&chosen, s.member))?;
                Some(format!("it goes to {}, which is elsewhere", self.name(step.member)))
            }),
            Requirement::AtMostHops(most) => self.check_each(true, |way| {
                let n = way.hops.len();
                (n > *most as usize).then(|| format!("it takes {n} hops"))
            }),
            Requirement::NeverAgainOnceItMayHaveRun(_) => {
                let may = self.traces.iter().any(|w| w.hops.iter().any(|s| !s.status.proves_not_run()));
                self.check_each(may, |way| {
                    let at = way.hops.iter().position(|s| !s.status.proves_not_run())?;
                    let next = way.hops.get(at + 1)?;
                    Some(format!("it goes on to {} after it may have run", self.name(next.member)))
                })
            }
            Requirement::BeRejected(_) => self.check_each(self.any_unserved(), |way| {
                (way.result == Some(Final::Aborted)).then(|| "it is aborted".to_owned())
            }),
            Requirement::BeAborted(_) => self.check_each(self.any_unserved(), |way| {
                matches!(way.result, Some(Final::Rejected(_))).then(|| "it is rejected".to_owned())
            }),
            Requirement::BeServed(_) => self.check_each(true, |way| {
                (way.result != Some(Final::Served))
                    .then(|| format!("it ends {:?}", way.result).to_lowercase())
            }),
            Requirement::ComeBackWithinMs(most) => {
                self.check_each(self.any_unserved(), |way| match way.result {
                    Some(Final::Rejected(Some(wait))) if wait <= Span::from_millis(*most) => None,
                    Some(Final::Rejected(wait)) => Some(format!("it is told to come back after {wait:?}")),
                    _ => None,
                })
            }
            Requirement::HaveOneHome(_) => {
                let homes = |way: &Trace| way.hops.first().and_then(|s| s.source);
                let differs =
                    |at: usize| self.other_zones.iter().any(|zone| zone[at] != homes(&self.traces[at]));
                match (0..self.traces.len()).find(|&at| differs(at)) {
                    Some(at) => {
                        Judgement::Broken("gateways of two zones fill it from two places".to_owned(), at)
                    }
                    None => Judgement::Held(!self.other_zones.is_empty() && self.any_fill()),
                }
            }
            Requirement::ShareBetween { of, least, most } => {
                let there = self
                    .traces
                    .iter()
                    .filter(|w| Case::first_member(w).is_some_and(|m| self.matches(of, m)))
                    .count();
                let share = there as f64 / self.traces.len().max(1) as f64;
                let fits = share >= *least && share <= *most;
                if fits {
                    Judgement::Held(true)
                } else {
                    Judgement::Broken(format!("the share there is {share:.3}"), 0)
                }
            }
            Requirement::MoveAtMost(most) => {
                let pairs = self.traces.iter().zip(self.baseline);
                let moved = pairs.filter(|(a, b)| Case::first_member(a) != Case::first_member(b)).count();
                let share = moved as f64 / self.traces.len().max(1) as f64;
                let possible = !self.scenario.failures.is_empty();
                if share <= *most {
                    Judgement::Held(possible)
                } else {
                    Judgement::Broken(format!("{share:.3} of the objects move"), 0)
                }
            }
        }
    }

    fn any_fill(&self) -> bool {
        self.traces.iter().any(|w| w.hops.iter().any(|s| s.source.is_some()))
    }

    fn any_unserved(&self) -> bool {
        self.traces.iter().any(|w| w.result != Some(Final::Served))
    }
}
