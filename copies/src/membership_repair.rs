//! Membership repair: decides, one action at a time, how the leader of a group replaces lost members and moves
//! replicas to the preferred holders.
//!
//! Invariant: after each action a majority of the voters is live.

use crate::placement;
use crate::settings::Holder;
use kelpcart::{Span, Time};
use std::collections::BTreeMap;

/// A member as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberView {
    pub id: u64,
    /// Run id of the holder's start that the member belongs to.
    pub run_id: u64,
    /// Index among the holders.
    pub holder: usize,
    pub voter: bool,
    /// Its log is nearly as long as the leader's.
    pub caught_up: bool,
}

/// A holder as the leader's gateway sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerState {
    /// Run id of its current start; `None` before its first frame.
    pub run_id: Option<u64>,
    pub last_heard: Time,
    pub leaving: bool,
    /// Sequence number of its last heartbeat (0 before the first one), and the memberships that it listed, by group.
    pub sequence: u64,
    pub memberships: BTreeMap<u32, u64>,
}

impl PeerState {
    pub fn new(run_id: Option<u64>, last_heard: Time) -> PeerState {
        PeerState { run_id, last_heard, leaving: false, sequence: 0, memberships: BTreeMap::new() }
    }

    /// Whether the holder itself shows that it lost this member's state: it has restarted, or dropped the membership.
    pub fn lost_state(&self, group: u32, run_id: u64, id: u64) -> bool {
        self.run_id.is_some_and(|now| now != run_id)
            || self.sequence > 0 && self.memberships.get(&group) != Some(&id)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairAction {
    /// Add this holder as a learner.
    AddLearner { run_id: u64, holder: usize },
    /// Make a caught-up learner a voter, in place of another one if given.
    Promote { id: u64, instead_of: Option<u64> },
    /// Remove a member.
    Remove { id: u64 },
    /// Transfer leadership to this member.
    TransferLeadership { id: u64 },
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub copies: usize,
    pub absent_after: Span,
    pub min_interval: Span,
    /// A member not heard for this time no longer counts as live.
    pub silent_after: Span,
}

/// The leader's state between decisions.
#[derive(Clone, Debug, Default)]
pub struct MembershipRepair {
    last_action: Option<Time>,
    led_since: Option<Time>,
    last_transfer: Option<Time>,
    /// The current learner, and since when there is one.
    learner: Option<(u64, Time)>,
}

/// Leadership moves to a preferred holder only after this many times `min_interval`.
const TRANSFER_INTERVALS: f64 = 5.0;
/// A learner that has not caught up after this many times `absent_after` is removed.
const LEARNER_TIMEOUT_FACTOR: f64 = 3.0;
/// Replicas of a healthy group move only after this many times `min_interval`.
const REBALANCE_INTERVALS: f64 = 10.0;

impl MembershipRepair {
    /// Begins a new term of leadership; silence before it does not count against any member.
    pub fn leadership_started(&mut self, now: Time) {
        *self = MembershipRepair { led_since: Some(now), ..MembershipRepair::default() };
    }

    /// The next action, if one is due.
    pub fn next_action(&mut self, view: &GroupView) -> Option<RepairAction> {
        let since = self.led_since?;
        let learner = view.members.iter().find(|m| !m.voter).map(|m| m.id);
        self.learner = learner.map(|id| match self.learner {
            Some((known, at)) if known == id => (id, at),
            _ => (id, view.now),
        });
        // A learner that never comes up, or that falls behind the rate of writes, blocks further changes.
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

/// The input of a decision.
pub struct GroupView<'a> {
    pub now: Time,
    pub group: u32,
    /// Membership id of the leader.
    pub leader_id: u64,
    pub limits: &'a Limits,
    pub holders: &'a [Holder],
    /// The holders in order of preference.
    pub preference: &'a [usize],
    pub members: &'a [MemberView],
    /// The state of each holder, as the leader's gateway sees it.
    pub peers: &'a [PeerState],
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Health {
    Healthy,
    /// It asks to be replaced.
    Leaving,
    /// Not heard for `silent_after`.
    Silent,
    /// Not heard for `absent_after`, so that it is replaced.
    Absent,
    /// Its holder has restarted and lost its state.
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
    // A majority of the voters must be live after the action.
    let safe = |gone: Option<u64>, new: usize| {
        let left = voters.iter().filter(|v| Some(v.id) != gone);
        let all = left.clone().count() + new;
        let up = left.filter(|v| alive(v)).count() + new;
        up > all / 2
    };
    // A learner that is gone or leaving blocks further changes.
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
        // Replaces the voter of the same holder, else a lost one, else one on a holder that is not preferred.
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
        // There are too many voters, since the configured number of replicas was lowered.
        let others = voters.iter().filter(|v| v.id != me);
        let spare = others.max_by_key(|v| (standing(v), !wanted.contains(&v.holder), v.id));
        return spare.filter(|v| safe(Some(v.id), 0)).map(|v| RepairAction::Remove { id: v.id });
    }
    if learners.is_empty() {
        let candidate = wanted.iter().copied().find(|&i| usable(i) && !has(i));
        let missing = voters.len() < limits.copies || replaced.is_some();
        // Replicas of a healthy group move only rarely.
        let rested = now - since >= limits.min_interval * REBALANCE_INTERVALS;
        let sound = voters.iter().all(|v| standing(v) == Health::Healthy);
        let misplaced = voters.iter().any(|v| v.id != me && !wanted.contains(&v.holder));
        if let Some(holder) = candidate.filter(|_| missing || rested && sound && misplaced)
            && let Some(run) = heard[holder].run_id
        {
            return Some(RepairAction::AddLearner { run_id: run, holder });
        }
        // No holder can replace it, but a voter that is gone for good would still count towards the majority.
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

    /// Nine holders in three zones in any state; some of them are members of the group.
    #[derive(Clone, Debug)]
    struct Case {
        five: bool,
        /// By holder: its role (0 voter, 1 learner, else none), its state, and whether it has caught up.
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

    /// States of a holder: 0 to 4 healthy, 5 leaving, 6 absent, 7 restarted.
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
        assert!(first.is_none() || repair.next_action(&view).is_none(), "one action at a time");
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
            // An action that leaves the set of voters unchanged is harmless; any other needs a live majority.
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

        /// A group with a live majority reaches its configured size on healthy holders.
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
            // Learners catch up.
            case.holders.iter_mut().for_each(|h| h.2 = true);
            for _ in 0..80 {
                let (members, step) = step(&case);
                let of = |id: u64| members.iter().find(|m| m.id == id).map(|m| m.holder);
                match step {
                    None => break,
                    // It has caught up by the next step; a restarted holder has a replica again.
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
