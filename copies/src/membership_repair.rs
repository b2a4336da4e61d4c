//! Who is to be a member of a group: replaces those that are lost, by safe steps and within limits, and brings copies
//! back to where they are wanted. One step at a time, told by the group's leader. Must never order a step after which
//! fewer than a majority of the members would be heard.

use crate::placement;
use crate::settings::Holder;
use kelpcart::{Span, Time};
use std::collections::BTreeMap;

/// A member as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberView {
    pub id: u64,
    /// The start of the holder that it is.
    pub run_id: u64,
    /// Its place among the holders.
    pub holder: usize,
    pub voter: bool,
    /// It has all that the leader has, or nearly.
    pub caught_up: bool,
}

/// A holder as the leader's gateway hears it.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerState {
    /// Of its present start; `None` before the first word.
    pub run_id: Option<u64>,
    pub last_heard: Time,
    pub leaving: bool,
    /// The number of its last sign of life, 0 before the first one, and the memberships that it told by that, by group.
    pub sequence: u64,
    pub memberships: BTreeMap<u32, u64>,
}

impl PeerState {
    pub fn new(run_id: Option<u64>, last_heard: Time) -> PeerState {
        PeerState { run_id, last_heard, leaving: false, sequence: 0, memberships: BTreeMap::new() }
    }

    /// It says itself that it does not know what this member knew: it has started anew, or dropped its copy.
    pub fn lost_state(&self, group: u32, run_id: u64, id: u64) -> bool {
        self.run_id.is_some_and(|now| now != run_id)
            || self.sequence > 0 && self.memberships.get(&group) != Some(&id)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairAction {
    /// Let this start of a holder copy all, without a vote.
    AddLearner { run_id: u64, holder: usize },
    /// It has caught up: it votes from now on, in the place of another one where that is told.
    Promote { id: u64, instead_of: Option<u64> },
    /// It is no member any more.
    Remove { id: u64 },
    /// Another one is to lead.
    TransferLeadership { id: u64 },
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub copies: usize,
    pub absent_after: Span,
    pub min_interval: Span,
    /// Silence after which one is no longer counted as heard.
    pub silent_after: Span,
}

/// What the leader remembers between its decisions.
#[derive(Clone, Debug, Default)]
pub struct MembershipRepair {
    last_action: Option<Time>,
    led_since: Option<Time>,
    last_transfer: Option<Time>,
    /// Who learns, and since when.
    learner: Option<(u64, Time)>,
}

/// Leaders move to where they are wanted after this many steps' waits.
const TRANSFER_INTERVALS: f64 = 5.0;
/// A learner that has not caught up after this many times the wait for an absent one is let go.
const LEARNER_TIMEOUT_FACTOR: f64 = 3.0;
/// And copies of a sound group after this many.
const REBALANCE_INTERVALS: f64 = 10.0;

impl MembershipRepair {
    /// A new term of this leader: what it heard before does not count against anybody.
    pub fn leadership_started(&mut self, now: Time) {
        *self = MembershipRepair { led_since: Some(now), ..MembershipRepair::default() };
    }

    /// The next step, if there is one now.
    pub fn next_action(&mut self, view: &GroupView) -> Option<RepairAction> {
        let since = self.led_since?;
        let learner = view.members.iter().find(|m| !m.voter).map(|m| m.id);
        self.learner = learner.map(|id| match self.learner {
            Some((known, at)) if known == id => (id, at),
            _ => (id, view.now),
        });
        // One that is called and does not come, or not as fast as others write, stands in the way.
        if let Some((id, at)) = self.learner
            && view.now - at >= view.limits.absent_after * LEARNER_TIMEOUT_FACTOR
            && view.members.iter().all(|m| m.id != id || !m.caught_up)
        {
            self.learner = None;
            return Some(RepairAction::Remove { id });
        }
        if self.last_action.is_some_and(|at| view.now - at < view.limits.min_interval) {
            return None;
        }
        let step = choose_action(view, since, self.last_transfer)?;
        self.last_action = Some(view.now);
        if matches!(step, RepairAction::TransferLeadership { .. }) {
            self.last_transfer = Some(view.now);
        }
        Some(step)
    }
}

/// All that a decision goes by.
pub struct GroupView<'a> {
    pub now: Time,
    pub group: u32,
    /// The leader's id.
    pub leader_id: u64,
    pub limits: &'a Limits,
    pub holders: &'a [Holder],
    /// The holders, the most wanted first.
    pub preference: &'a [usize],
    pub members: &'a [MemberView],
    /// Each holder, as the leader's gateway hears it.
    pub peers: &'a [PeerState],
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Health {
    Healthy,
    /// It wants to be replaced.
    Leaving,
    /// Not heard for a moment.
    Silent,
    /// Not heard for so long that it is replaced.
    Absent,
    /// Its holder has started anew, and has forgotten what it held.
    StateLost,
}

fn choose_action(view: &GroupView, since: Time, moved: Option<Time>) -> Option<RepairAction> {
    let GroupView { now, group, leader_id: me, limits, holders, preference: order, members, peers: heard } =
        *view;
    let standing = |m: &MemberView| {
        if m.id == me {
            return if heard.get(m.holder).is_some_and(|h| h.leaving) {
                Health::Leaving
            } else {
                Health::Healthy
            };
        }
        let Some(h) = heard.get(m.holder) else { return Health::StateLost };
        let quiet = now - h.last_heard.max(since);
        match h.run_id {
            Some(run) if run != m.run_id => Health::StateLost,
            Some(_) if m.voter && h.lost_state(group, m.run_id, m.id) => Health::StateLost,
            _ if quiet >= limits.absent_after => Health::Absent,
            _ if quiet >= limits.silent_after => Health::Silent,
            None => Health::Silent,
            Some(_) if h.leaving => Health::Leaving,
            Some(_) => Health::Healthy,
        }
    };
    let alive = |m: &MemberView| standing(m) <= Health::Leaving;
    let voters: Vec<&MemberView> = members.iter().filter(|m| m.voter).collect();
    let learners: Vec<&MemberView> = members.iter().filter(|m| !m.voter).collect();
    // Of the voters left after a step, a majority has to be heard.
    let safe = |gone: Option<u64>, new: usize| {
        let left = voters.iter().filter(|v| Some(v.id) != gone);
        let all = left.clone().count() + new;
        let up = left.filter(|v| alive(v)).count() + new;
        up > all / 2
    };
    // A learner that is gone, or whose place was lost meanwhile, stands in the way.
    let no_use = |s: Health| s >= Health::Absent || s == Health::Leaving;
    if let Some(gone) = learners.iter().find(|l| no_use(standing(l))) {
        return Some(RepairAction::Remove { id: gone.id });
    }
    let worst = voters.iter().filter(|v| v.id != me).max_by_key(|v| (standing(v), v.id));
    let replaced = worst.filter(|v| no_use(standing(v)));
    let usable = |i: usize| {
        let h = &heard[i];
        h.run_id.is_some() && !h.leaving && now - h.last_heard < limits.silent_after
    };
    let wanted = placement::choose_holders(holders, order, limits.copies, |i| {
        usable(i) || voters.iter().any(|v| v.holder == i && standing(v) == Health::Silent)
    });
    let has = |i: usize| {
        members.iter().any(|m| {
            m.holder == i
                && heard[i].run_id == Some(m.run_id)
                && (!m.voter || !heard[i].lost_state(group, m.run_id, m.id))
        })
    };
    if let Some(ready) = learners.iter().find(|l| l.caught_up && standing(l) == Health::Healthy) {
        // In the place of one that is lost, one with the same holder first; else of one that is where none is wanted.
        let own = voters.iter().find(|v| v.holder == ready.holder);
        let too_many = voters.len() >= limits.copies;
        let misplaced =
            voters.iter().filter(|v| v.id != me && !wanted.contains(&v.holder)).max_by_key(|v| v.id);
        let instead_of = own.or(replaced).or(misplaced.filter(|_| too_many)).map(|v| v.id);
        if too_many && instead_of.is_none() {
            return Some(RepairAction::Remove { id: ready.id });
        }
        return safe(instead_of, 1).then_some(RepairAction::Promote { id: ready.id, instead_of });
    }
    if voters.len() > limits.copies && learners.is_empty() {
        // More than are wanted, since the file says less than it did.
        let others = voters.iter().filter(|v| v.id != me);
        let spare = others.max_by_key(|v| (standing(v), !wanted.contains(&v.holder), v.id));
        return spare.filter(|v| safe(Some(v.id), 0)).map(|v| RepairAction::Remove { id: v.id });
    }
    if learners.is_empty() {
        let candidate = wanted.iter().copied().find(|&i| usable(i) && !has(i));
        let missing = voters.len() < limits.copies || replaced.is_some();
        // A sound group moves its copies only now and then.
        let rested = now - since >= limits.min_interval * REBALANCE_INTERVALS;
        let sound = voters.iter().all(|v| standing(v) == Health::Healthy);
        let misplaced = voters.iter().any(|v| v.id != me && !wanted.contains(&v.holder));
        if let Some(holder) = candidate.filter(|_| missing || rested && sound && misplaced)
            && let Some(run) = heard[holder].run_id
        {
            return Some(RepairAction::AddLearner { run_id: run, holder });
        }
        // There is nobody to take its place: one that is gone for good counts against the majority all the same.
        if let Some(gone) = worst.filter(|v| standing(v) == Health::StateLost && candidate.is_none())
            && voters.len() > limits.copies / 2 + 1
            && safe(Some(gone.id), 0)
        {
            return Some(RepairAction::Remove { id: gone.id });
        }
    }
    let sound = |v: &&&MemberView| v.id != me && v.caught_up && standing(v) == Health::Healthy;
    let leads_best = voters.iter().filter(sound).min_by_key(|v| order.iter().position(|&i| i == v.holder));
    let mine = members.iter().find(|m| m.id == me)?;
    let place = |i: usize| order.iter().position(|&o| o == i);
    let leaving = standing(mine) == Health::Leaving;
    let settled = now - moved.unwrap_or(since).max(since) >= limits.min_interval * TRANSFER_INTERVALS;
    let better = leads_best.filter(|v| leaving || settled && place(v.holder) < place(mine.holder));
    better.map(|v| RepairAction::TransferLeadership { id: v.id })
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Arbitrary, Gen, quickcheck};
    use std::collections::BTreeSet;

    /// Nine holders in three zones, some members of a group among them, in any state.
    #[derive(Clone, Debug)]
    struct Case {
        five: bool,
        /// By holder: whether it is a voter, a learner or none, and how it is heard.
        holders: Vec<(u8, u8, bool)>,
        me: usize,
    }

    impl Arbitrary for Case {
        fn arbitrary(g: &mut Gen) -> Case {
            let holder = |g: &mut Gen| (u8::arbitrary(g) % 4, u8::arbitrary(g) % 8, bool::arbitrary(g));
            Case {
                five: bool::arbitrary(g),
                holders: (0..9).map(|_| holder(g)).collect(),
                me: usize::arbitrary(g) % 9,
            }
        }
    }

    const NOW: Time = Time::from_micros(100_000_000);

    /// The states of a holder: 0 to 4 sound, 5 leaving, 6 silent for long, 7 started anew.
    fn view(case: &Case) -> (Vec<Holder>, Vec<MemberView>, Vec<PeerState>) {
        let (mut holders, mut members, mut heard) = (Vec::new(), Vec::new(), Vec::new());
        for (i, &(role, state, close)) in case.holders.iter().enumerate() {
            let address = ([127, 0, 0, 1], 1_000 + i as u16).into();
            holders.push(Holder { name: format!("g{i}"), address, zone: format!("z{}", i % 3) });
            let me = i == case.me;
            let (run, id) = (100 + i as u64, 200 + i as u64);
            if me || role < 2 {
                members.push(MemberView {
                    id,
                    run_id: run,
                    holder: i,
                    voter: me || role == 0,
                    caught_up: me || close,
                });
            }
            let quiet = if state == 6 && !me { 60_000 } else { 0 };
            let mut one = PeerState::new(
                Some(if state == 7 && !me { run + 50 } else { run }),
                NOW.saturating_sub(Span::from_millis(quiet)),
            );
            one.leaving = state == 5;
            heard.push(one);
        }
        (holders, members, heard)
    }

    fn step(case: &Case) -> (Vec<MemberView>, Option<RepairAction>) {
        let (holders, members, heard) = view(case);
        let order = placement::preference_order(&holders, 1);
        let limits = Limits {
            copies: if case.five { 5 } else { 3 },
            absent_after: Span::from_millis(8_000),
            min_interval: Span::from_millis(1_000),
            silent_after: Span::from_millis(1_500),
        };
        let mut repair = MembershipRepair::default();
        repair.leadership_started(NOW.saturating_sub(Span::from_millis(90_000)));
        let (now, group, me) = (NOW, 1, 200 + case.me as u64);
        let view = GroupView {
            now,
            group,
            leader_id: me,
            limits: &limits,
            holders: &holders,
            preference: &order,
            members: &members,
            peers: &heard,
        };
        let first = repair.next_action(&view);
        assert!(first.is_none() || repair.next_action(&view).is_none(), "one step at a time");
        (members, first)
    }

    fn lost(case: &Case, m: &MemberView) -> bool {
        m.holder != case.me && matches!(case.holders[m.holder].1, 6 | 7)
    }

    quickcheck! {
        fn a_majority_is_heard_after_each_step(case: Case) -> bool {
            let (mut members, step) = step(&case);
            let voters = |all: &[MemberView]| all.iter().filter(|m| m.voter).count();
            let before = voters(&members);
            match step {
                Some(RepairAction::Promote { id, instead_of }) => {
                    members.iter_mut().filter(|m| m.id == id).for_each(|m| m.voter = true);
                    members.retain(|m| Some(m.id) != instead_of);
                }
                Some(RepairAction::Remove { id }) => members.retain(|m| m.id != id),
                _ => return true,
            }
            let up = members.iter().filter(|m| m.voter && !lost(&case, m)).count();
            // A step that leaves the voters as they are harms nothing; another one needs a majority that is heard.
            let same = matches!(step, Some(RepairAction::Remove { .. })) && voters(&members) == before;
            same || up > voters(&members) / 2
        }

        fn the_leader_stays_a_member_and_nobody_lost_is_let_in_or_made_to_lead(case: Case) -> bool {
            let (members, step) = step(&case);
            let me = 200 + case.me as u64;
            let sound = |id: u64| members.iter().any(|m| m.id == id && !lost(&case, m));
            match step {
                None => true,
                Some(RepairAction::AddLearner { run_id: run, holder }) => {
                    run == 100 + holder as u64 + if case.holders[holder].1 == 7 { 50 } else { 0 }
                        && case.holders[holder].1 != 6
                }
                Some(RepairAction::Promote { id, instead_of }) => sound(id) && instead_of != Some(me),
                Some(RepairAction::Remove { id }) => id != me,
                Some(RepairAction::TransferLeadership { id }) => id != me && sound(id) && members.iter().any(|m| m.id == id && m.voter),
            }
        }

        /// Followed step by step, a group with a majority comes to its wanted size on holders that are sound.
        fn a_group_heals(case: Case) -> bool {
            let mut case = case;
            case.holders[case.me].1 %= 5;
            let copies = if case.five { 5 } else { 3 };
            let (members, _) = step(&case);
            let voters: Vec<&MemberView> = members.iter().filter(|m| m.voter).collect();
            let up = voters.iter().filter(|m| !lost(&case, m)).count();
            let sound = (0..9).filter(|&i| i == case.me || case.holders[i].1 < 5).count();
            if up <= voters.len() / 2 || sound < copies {
                return true;
            }
            case.holders[case.me].0 = 0;
            // Who learns catches up.
            case.holders.iter_mut().for_each(|h| h.2 = true);
            for _ in 0..80 {
                let (members, step) = step(&case);
                let of = |id: u64| members.iter().find(|m| m.id == id).map(|m| m.holder);
                match step {
                    None => break,
                    // It has caught up by the next step; one that started anew holds a copy again.
                    Some(RepairAction::AddLearner { holder, .. }) => case.holders[holder] = (1, case.holders[holder].1 % 5, true),
                    Some(RepairAction::Promote { id, instead_of }) => {
                        let new = of(id).unwrap();
                        instead_of.and_then(of).filter(|h| *h != new).into_iter().for_each(|h| case.holders[h].0 = 2);
                        case.holders[new].0 = 0;
                    }
                    Some(RepairAction::Remove { id }) => case.holders[of(id).unwrap()].0 = 2,
                    Some(RepairAction::TransferLeadership { id }) => case.me = of(id).unwrap(),
                }
            }
            let (members, _) = step(&case);
            let voters: BTreeSet<usize> = members.iter().filter(|m| m.voter).map(|m| m.holder).collect();
            let healed = voters.len() == copies && members.iter().filter(|m| m.voter).all(|m| !lost(&case, m));
            if !healed {
                println!("{copies} wanted: {members:?}\n{case:?}");
            }
            healed
        }
    }
}
