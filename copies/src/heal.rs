//! Who is to be a member of a group: replaces those that are lost, by safe steps and within limits, and brings copies
//! back to where they are wanted. One step at a time, told by the group's leader. Must never order a step after which
//! fewer than a majority of the members would be heard.

use crate::place;
use crate::settings::Holder;
use kelpcart::{Span, Time};
use std::collections::BTreeMap;

/// A member as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub id: u64,
    /// The start of the holder that it is.
    pub run: u64,
    /// Its place among the holders.
    pub holder: usize,
    pub voter: bool,
    /// It has all that the leader has, or nearly.
    pub close: bool,
}

/// A holder as the leader's gateway hears it.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    /// Of its present start; `None` before the first word.
    pub id: Option<u64>,
    pub at: Time,
    pub leaving: bool,
    /// The number of its last sign of life, 0 before the first one, and the memberships that it told by that, by group.
    pub no: u64,
    pub holds: BTreeMap<u32, u64>,
}

impl Heard {
    pub fn new(id: Option<u64>, at: Time) -> Heard {
        Heard { id, at, leaving: false, no: 0, holds: BTreeMap::new() }
    }

    /// It says itself that it does not know what this member knew: it has started anew, or dropped its copy.
    pub fn forgot(&self, group: u32, run: u64, id: u64) -> bool {
        self.id.is_some_and(|now| now != run) || self.no > 0 && self.holds.get(&group) != Some(&id)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Let this start of a holder copy all, without a vote.
    Learn { run: u64, holder: usize },
    /// It has caught up: it votes from now on, in the place of another one where that is told.
    Promote { id: u64, instead_of: Option<u64> },
    /// It is no member any more.
    Remove { id: u64 },
    /// Another one is to lead.
    Lead { id: u64 },
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub copies: usize,
    pub absent: Span,
    pub between: Span,
    /// Silence after which one is no longer counted as heard.
    pub silent: Span,
}

/// What the leader remembers between its decisions.
#[derive(Clone, Debug, Default)]
pub struct Healer {
    last: Option<Time>,
    led_since: Option<Time>,
    moved: Option<Time>,
    /// Who learns, and since when.
    learns: Option<(u64, Time)>,
}

/// Leaders move to where they are wanted after this many steps' waits.
const SETTLED: f64 = 5.0;
/// A learner that has not caught up after this many times the wait for an absent one is let go.
const SLOW: f64 = 3.0;
/// And copies of a sound group after this many.
const SOUND: f64 = 10.0;

impl Healer {
    /// A new term of this leader: what it heard before does not count against anybody.
    pub fn leads(&mut self, now: Time) {
        *self = Healer { led_since: Some(now), ..Healer::default() };
    }

    /// The next step, if there is one now.
    pub fn next(&mut self, view: &View) -> Option<Step> {
        let since = self.led_since?;
        let learner = view.members.iter().find(|m| !m.voter).map(|m| m.id);
        self.learns = learner.map(|id| match self.learns {
            Some((known, at)) if known == id => (id, at),
            _ => (id, view.now),
        });
        // One that is called and does not come, or not as fast as others write, stands in the way.
        if let Some((id, at)) = self.learns
            && view.now - at >= view.limits.absent * SLOW
            && view.members.iter().all(|m| m.id != id || !m.close)
        {
            self.learns = None;
            return Some(Step::Remove { id });
        }
        if self.last.is_some_and(|at| view.now - at < view.limits.between) {
            return None;
        }
        let step = decide(view, since, self.moved)?;
        self.last = Some(view.now);
        if matches!(step, Step::Lead { .. }) {
            self.moved = Some(view.now);
        }
        Some(step)
    }
}

/// All that a decision goes by.
pub struct View<'a> {
    pub now: Time,
    pub group: u32,
    /// The leader's id.
    pub me: u64,
    pub limits: &'a Limits,
    pub holders: &'a [Holder],
    /// The holders, the most wanted first.
    pub order: &'a [usize],
    pub members: &'a [Seen],
    /// Each holder, as the leader's gateway hears it.
    pub heard: &'a [Heard],
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Sound,
    /// It wants to be replaced.
    Leaving,
    /// Not heard for a moment.
    Silent,
    /// Not heard for so long that it is replaced.
    Absent,
    /// Its holder has started anew, and has forgotten what it held.
    Gone,
}

fn decide(view: &View, since: Time, moved: Option<Time>) -> Option<Step> {
    let View { now, group, me, limits, holders, order, members, heard } = *view;
    let standing = |m: &Seen| {
        if m.id == me {
            return if heard.get(m.holder).is_some_and(|h| h.leaving) {
                Standing::Leaving
            } else {
                Standing::Sound
            };
        }
        let Some(h) = heard.get(m.holder) else { return Standing::Gone };
        let quiet = now - h.at.max(since);
        match h.id {
            Some(run) if run != m.run => Standing::Gone,
            Some(_) if m.voter && h.forgot(group, m.run, m.id) => Standing::Gone,
            _ if quiet >= limits.absent => Standing::Absent,
            _ if quiet >= limits.silent => Standing::Silent,
            None => Standing::Silent,
            Some(_) if h.leaving => Standing::Leaving,
            Some(_) => Standing::Sound,
        }
    };
    let alive = |m: &Seen| standing(m) <= Standing::Leaving;
    let voters: Vec<&Seen> = members.iter().filter(|m| m.voter).collect();
    let learners: Vec<&Seen> = members.iter().filter(|m| !m.voter).collect();
    // Of the voters left after a step, a majority has to be heard.
    let safe = |gone: Option<u64>, new: usize| {
        let left = voters.iter().filter(|v| Some(v.id) != gone);
        let all = left.clone().count() + new;
        let up = left.filter(|v| alive(v)).count() + new;
        up > all / 2
    };
    // A learner that is gone, or whose place was lost meanwhile, stands in the way.
    if let Some(gone) = learners.iter().find(|l| standing(l) >= Standing::Absent) {
        return Some(Step::Remove { id: gone.id });
    }
    let worst = voters.iter().filter(|v| v.id != me).max_by_key(|v| (standing(v), v.id));
    let replaced = worst.filter(|v| standing(v) >= Standing::Absent || standing(v) == Standing::Leaving);
    let usable = |i: usize| {
        let h = &heard[i];
        h.id.is_some() && !h.leaving && now - h.at < limits.silent
    };
    let wanted = place::choose(holders, order, limits.copies, |i| {
        usable(i) || voters.iter().any(|v| v.holder == i && standing(v) == Standing::Silent)
    });
    let has = |i: usize| {
        members.iter().any(|m| {
            m.holder == i && heard[i].id == Some(m.run) && (!m.voter || !heard[i].forgot(group, m.run, m.id))
        })
    };
    if let Some(ready) = learners.iter().find(|l| l.close && standing(l) == Standing::Sound) {
        // In the place of one that is lost, one with the same holder first; else of one that is where none is wanted.
        let own = voters.iter().find(|v| v.holder == ready.holder);
        let too_many = voters.len() >= limits.copies;
        let misplaced =
            voters.iter().filter(|v| v.id != me && !wanted.contains(&v.holder)).max_by_key(|v| v.id);
        let instead_of = own.or(replaced).or(misplaced.filter(|_| too_many)).map(|v| v.id);
        if too_many && instead_of.is_none() {
            return Some(Step::Remove { id: ready.id });
        }
        return safe(instead_of, 1).then_some(Step::Promote { id: ready.id, instead_of });
    }
    if learners.is_empty() {
        let candidate = wanted.iter().copied().find(|&i| usable(i) && !has(i));
        let missing = voters.len() < limits.copies || replaced.is_some();
        // A sound group moves its copies only now and then.
        let rested = now - since >= limits.between * SOUND;
        let sound = voters.iter().all(|v| standing(v) == Standing::Sound);
        let misplaced = voters.iter().any(|v| v.id != me && !wanted.contains(&v.holder));
        if let Some(holder) = candidate.filter(|_| missing || rested && sound && misplaced)
            && let Some(run) = heard[holder].id
        {
            return Some(Step::Learn { run, holder });
        }
        // There is nobody to take its place: one that is gone for good counts against the majority all the same.
        if let Some(gone) = worst.filter(|v| standing(v) == Standing::Gone && candidate.is_none())
            && voters.len() > limits.copies / 2 + 1
            && safe(Some(gone.id), 0)
        {
            return Some(Step::Remove { id: gone.id });
        }
    }
    let sound = |v: &&&Seen| v.id != me && v.close && standing(v) == Standing::Sound;
    let leads_best = voters.iter().filter(sound).min_by_key(|v| order.iter().position(|&i| i == v.holder));
    let mine = members.iter().find(|m| m.id == me)?;
    let place = |i: usize| order.iter().position(|&o| o == i);
    let leaving = standing(mine) == Standing::Leaving;
    let settled = now - moved.unwrap_or(since).max(since) >= limits.between * SETTLED;
    let better = leads_best.filter(|v| leaving || settled && place(v.holder) < place(mine.holder));
    better.map(|v| Step::Lead { id: v.id })
}
