//! Says whether an expectation held in one circumstance, and whether it was put to the test at all. Pure: ways in, verdict
//! out.

use crate::expect::{Chosen, Must};
use crate::fleet::Fleet;
use crate::world::{Circumstance, Final, Way};
use kelpcart::Span;

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// `true`: something happened that could have broken it.
    Held(bool),
    /// Why, and the way that shows it, by its place.
    Broken(String, usize),
}

pub struct Case<'a> {
    pub fleet: &'a Fleet,
    pub circumstance: &'a Circumstance,
    pub ways: &'a [Way],
    /// The same txns with nobody in trouble.
    pub calm: &'a [Way],
    /// The first fill sources that gateways of other zones choose, in the order of the ways.
    pub elsewhere: &'a [Vec<Option<usize>>],
}

impl Case<'_> {
    fn is(&self, chosen: &Chosen, i: usize) -> bool {
        let trouble = self.circumstance.troubles.get(&i).copied();
        self.fleet.is(chosen, &self.fleet.members[i], trouble)
    }

    fn name(&self, i: usize) -> &str {
        &self.fleet.members[i].id
    }

    /// Some member of the circumstance is one of these.
    fn there_is(&self, chosen: &Chosen) -> bool {
        (0..self.fleet.members.len()).any(|i| self.is(chosen, i))
    }

    /// Each way's steps; the first that breaks it. Exercised where anything was tried and `possible` says so.
    fn each(&self, possible: bool, breaks: impl Fn(&Way) -> Option<String>) -> Verdict {
        let found = self.ways.iter().enumerate().find_map(|(at, way)| Some((breaks(way)?, at)));
        let tried = self.ways.iter().any(|w| !w.steps.is_empty());
        found.map_or(Verdict::Held(possible && tried), |(why, at)| Verdict::Broken(why, at))
    }

    fn first(way: &Way) -> Option<usize> {
        way.steps.first().map(|s| s.member)
    }

    pub fn judge(&self, must: &Must) -> Verdict {
        // A txn without a final answer breaks a rule whatever is expected.
        if let Some(at) = self.ways.iter().position(|w| w.last.is_none()) {
            return Verdict::Broken("it has no final answer".to_owned(), at);
        }
        match must {
            Must::NeverGoTo(chosen) => self.each(self.there_is(chosen), |way| {
                let step = way.steps.iter().find(|s| self.is(chosen, s.member))?;
                Some(format!("it goes to {}", self.name(step.member)))
            }),
            Must::GoFirstTo(chosen) => self.each(self.there_is(chosen), |way| {
                let first = Case::first(way).filter(|&m| !self.is(chosen, m))?;
                Some(format!("it goes to {} first", self.name(first)))
            }),
            Must::FillOnlyFrom(chosen) => self.each(self.fills(), |way| {
                let source = way.steps.iter().filter_map(|s| s.source).find(|&s| !self.is(chosen, s))?;
                Some(format!("it is filled from {}", self.name(source)))
            }),
            Must::NeverFillFrom(chosen) => self.each(self.fills() && self.there_is(chosen), |way| {
                let source = way.steps.iter().filter_map(|s| s.source).find(|&s| self.is(chosen, s))?;
                Some(format!("it is filled from {}", self.name(source)))
            }),
            Must::StayInZone(zone) => self.each(true, |way| {
                let chosen = Chosen { zone: Some(zone.clone()), ..Chosen::default() };
                let step = way.steps.iter().find(|s| !self.is(&chosen, s.member))?;
                Some(format!("it goes to {}, which is elsewhere", self.name(step.member)))
            }),
            Must::AtMostHops(most) => self.each(true, |way| {
                let n = way.steps.len();
                (n > *most as usize).then(|| format!("it takes {n} hops"))
            }),
            Must::NeverAgainOnceItMayHaveRun(_) => {
                let may = self.ways.iter().any(|w| w.steps.iter().any(|s| !s.end.proves_not_run()));
                self.each(may, |way| {
                    let at = way.steps.iter().position(|s| !s.end.proves_not_run())?;
                    let next = way.steps.get(at + 1)?;
                    Some(format!("it goes on to {} after it may have run", self.name(next.member)))
                })
            }
            Must::BeRejected(_) => self.each(self.unserved(), |way| {
                (way.last == Some(Final::Aborted)).then(|| "it is aborted".to_owned())
            }),
            Must::BeAborted(_) => self.each(self.unserved(), |way| {
                matches!(way.last, Some(Final::Rejected(_))).then(|| "it is rejected".to_owned())
            }),
            Must::BeServed(_) => self.each(true, |way| {
                (way.last != Some(Final::Served)).then(|| format!("it ends {:?}", way.last).to_lowercase())
            }),
            Must::ComeBackWithinMs(most) => self.each(self.unserved(), |way| match way.last {
                Some(Final::Rejected(Some(wait))) if wait <= Span::from_millis(*most) => None,
                Some(Final::Rejected(wait)) => Some(format!("it is told to come back after {wait:?}")),
                _ => None,
            }),
            Must::HaveOneHome(_) => {
                let homes = |way: &Way| way.steps.first().and_then(|s| s.source);
                let differs = |at: usize| self.elsewhere.iter().any(|zone| zone[at] != homes(&self.ways[at]));
                match (0..self.ways.len()).find(|&at| differs(at)) {
                    Some(at) => {
                        Verdict::Broken("gateways of two zones fill it from two places".to_owned(), at)
                    }
                    None => Verdict::Held(!self.elsewhere.is_empty() && self.fills()),
                }
            }
            Must::ShareBetween { of, least, most } => {
                let there =
                    self.ways.iter().filter(|w| Case::first(w).is_some_and(|m| self.is(of, m))).count();
                let share = there as f64 / self.ways.len().max(1) as f64;
                let fits = share >= *least && share <= *most;
                if fits {
                    Verdict::Held(true)
                } else {
                    Verdict::Broken(format!("the share there is {share:.3}"), 0)
                }
            }
            Must::MoveAtMost(most) => {
                let pairs = self.ways.iter().zip(self.calm);
                let moved = pairs.filter(|(a, b)| Case::first(a) != Case::first(b)).count();
                let share = moved as f64 / self.ways.len().max(1) as f64;
                let possible = !self.circumstance.troubles.is_empty();
                if share <= *most {
                    Verdict::Held(possible)
                } else {
                    Verdict::Broken(format!("{share:.3} of the objects move"), 0)
                }
            }
        }
    }

    fn fills(&self) -> bool {
        self.ways.iter().any(|w| w.steps.iter().any(|s| s.source.is_some()))
    }

    fn unserved(&self) -> bool {
        self.ways.iter().any(|w| w.last != Some(Final::Served))
    }
}
