//! Decides whether an expectation held in one scenario, and whether the scenario exercised it at all. Pure: traces in,
//! judgement out.

use crate::expect::{MemberSelector, Requirement};
use crate::fleet::Fleet;
use crate::world::{Final, Scenario, Trace};
use kelpcart::Span;

#[derive(Clone, Debug, PartialEq)]
pub enum Judgement {
    /// `true`: exercised, i.e. something happened that could have broken it.
    Held(bool),
    /// The reason, and the index of the trace that shows it.
    Broken(String, usize),
}

pub struct Case<'a> {
    pub fleet: &'a Fleet,
    pub scenario: &'a Scenario,
    pub traces: &'a [Trace],
    /// The same txns without failures.
    pub baseline: &'a [Trace],
    /// The first fill sources that gateways of other zones choose, in the order of the traces.
    pub other_zones: &'a [Vec<Option<usize>>],
}

impl Case<'_> {
    fn matches(&self, selector: &MemberSelector, i: usize) -> bool {
        let failure = self.scenario.failures.get(&i).copied();
        self.fleet.matches(selector, &self.fleet.members[i], failure)
    }

    fn name(&self, i: usize) -> &str {
        &self.fleet.members[i].id
    }

    /// Whether some member of the scenario matches.
    fn any_match(&self, selector: &MemberSelector) -> bool {
        (0..self.fleet.members.len()).any(|i| self.matches(selector, i))
    }

    /// Checks each trace and reports the first that breaks the expectation. It is exercised if there was any hop and
    /// `possible` is set.
    fn check_each(&self, possible: bool, breaks: impl Fn(&Trace) -> Option<String>) -> Judgement {
        let found = self.traces.iter().enumerate().find_map(|(index, trace)| Some((breaks(trace)?, index)));
        let tried = self.traces.iter().any(|w| !w.hops.is_empty());
        found.map_or(Judgement::Held(possible && tried), |(why, index)| Judgement::Broken(why, index))
    }

    fn first_member(trace: &Trace) -> Option<usize> {
        trace.hops.first().map(|s| s.member)
    }

    pub fn judge(&self, requirement: &Requirement) -> Judgement {
        // A txn without a final answer breaks every expectation.
        if let Some(index) = self.traces.iter().position(|w| w.result.is_none()) {
            return Judgement::Broken("it has no final answer".to_owned(), index);
        }
        match requirement {
            Requirement::NeverGoTo(selector) => self.check_each(self.any_match(selector), |trace| {
                let hop = trace.hops.iter().find(|s| self.matches(selector, s.member))?;
                Some(format!("it goes to {}", self.name(hop.member)))
            }),
            Requirement::GoFirstTo(selector) => self.check_each(self.any_match(selector), |trace| {
                let member = Case::first_member(trace).filter(|&m| !self.matches(selector, m))?;
                Some(format!("it goes to {} first", self.name(member)))
            }),
            Requirement::FillOnlyFrom(selector) => self.check_each(self.any_fill(), |trace| {
                let source =
                    trace.hops.iter().filter_map(|s| s.source).find(|&s| !self.matches(selector, s))?;
                Some(format!("it is filled from {}", self.name(source)))
            }),
            Requirement::NeverFillFrom(selector) => {
                self.check_each(self.any_fill() && self.any_match(selector), |trace| {
                    let source =
                        trace.hops.iter().filter_map(|s| s.source).find(|&s| self.matches(selector, s))?;
                    Some(format!("it is filled from {}", self.name(source)))
                })
            }
            Requirement::StayInZone(zone) => self.check_each(true, |trace| {
                let selector = MemberSelector { zone: Some(zone.clone()), ..MemberSelector::default() };
                let hop = trace.hops.iter().find(|s| !self.matches(&selector, s.member))?;
                Some(format!("it goes to {}, which is elsewhere", self.name(hop.member)))
            }),
            Requirement::AtMostHops(most) => self.check_each(true, |trace| {
                let n = trace.hops.len();
                (n > *most as usize).then(|| format!("it takes {n} hops"))
            }),
            Requirement::NeverAgainOnceItMayHaveRun(_) => {
                let may_have_run =
                    self.traces.iter().any(|w| w.hops.iter().any(|s| !s.status.proves_not_run()));
                self.check_each(may_have_run, |trace| {
                    let index = trace.hops.iter().position(|s| !s.status.proves_not_run())?;
                    let next = trace.hops.get(index + 1)?;
                    Some(format!("it goes on to {} after it may have run", self.name(next.member)))
                })
            }
            Requirement::BeRejected(_) => self.check_each(self.any_unserved(), |trace| {
                (trace.result == Some(Final::Aborted)).then(|| "it is aborted".to_owned())
            }),
            Requirement::BeAborted(_) => self.check_each(self.any_unserved(), |trace| {
                matches!(trace.result, Some(Final::Rejected(_))).then(|| "it is rejected".to_owned())
            }),
            Requirement::BeServed(_) => self.check_each(true, |trace| {
                (trace.result != Some(Final::Served))
                    .then(|| format!("it ends {:?}", trace.result).to_lowercase())
            }),
            Requirement::ComeBackWithinMs(most) => {
                self.check_each(self.any_unserved(), |trace| match trace.result {
                    Some(Final::Rejected(Some(wait))) if wait <= Span::from_millis(*most) => None,
                    Some(Final::Rejected(wait)) => Some(format!("it is told to come back after {wait:?}")),
                    _ => None,
                })
            }
            Requirement::HaveOneHome(_) => {
                let fill_source = |trace: &Trace| trace.hops.first().and_then(|s| s.source);
                let differs = |index: usize| {
                    self.other_zones.iter().any(|zone| zone[index] != fill_source(&self.traces[index]))
                };
                match (0..self.traces.len()).find(|&index| differs(index)) {
                    Some(index) => {
                        Judgement::Broken("gateways of two zones fill it from two places".to_owned(), index)
                    }
                    None => Judgement::Held(!self.other_zones.is_empty() && self.any_fill()),
                }
            }
            Requirement::ShareBetween { of, least, most } => {
                let matching = self
                    .traces
                    .iter()
                    .filter(|w| Case::first_member(w).is_some_and(|m| self.matches(of, m)))
                    .count();
                let share = matching as f64 / self.traces.len().max(1) as f64;
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
