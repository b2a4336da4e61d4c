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
    Promote { id: u64, replaces: Option<u64> },
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
        let action = choose_action(view, since, self.last_transfer)?;
        self.last_action = Some(view.now);
        if matches!(action, RepairAction::TransferLeadership { .. }) {
            self.last_transfer = Some(view.now);
        }
        Some(action)
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

fn choose_action(view: &GroupView, led_since: Time, last_transfer: Option<Time>) -> Option<RepairAction> {
    let GroupView { now, group, leader_id, limits, holders, preference, members, peers } = *view;
    let health = |m: &MemberView| {
        if m.id == leader_id {
            return if peers.get(m.holder).is_some_and(|h| h.leaving) {
                Health::Leaving
            } else {
                Health::Healthy
            };
        }
        let Some(h) = peers.get(m.holder) else { return Health::StateLost };
        let silence = now - h.last_heard.max(led_since);
        match h.run_id {
            Some(run) if run != m.run_id => Health::StateLost,
            Some(_) if m.voter && h.lost_state(group, m.run_id, m.id) => Health::StateLost,
            _ if silence >= limits.absent_after => Health::Absent,
            _ if silence >= limits.silent_after => Health::Silent,
            None => Health::Silent,
            Some(_) if h.leaving => Health::Leaving,
            Some(_) => Health::Healthy,
        }
    };
    let is_live = |m: &MemberView| health(m) <= Health::Leaving;
    let voters: Vec<&MemberView> = members.iter().filter(|m| m.voter).collect();
    let learners: Vec<&MemberView> = members.iter().filter(|m| !m.voter).collect();
    // A majority of the voters must be live after the action.
    let safe = |removed: Option<u64>, new: usize| {
        let remaining = voters.iter().filter(|v| Some(v.id) != removed);
        let all = remaining.clone().count() + new;
        let live = remaining.filter(|v| is_live(v)).count() + new;
        live > all / 2
    };
    // A learner that is gone or leaving blocks further changes.
    let must_go = |s: Health| s >= Health::Absent || s == Health::Leaving;
    if let Some(removed) = learners.iter().find(|l| must_go(health(l))) {
        return Some(RepairAction::Remove { id: removed.id });
    }
    let worst = voters.iter().filter(|v| v.id != leader_id).max_by_key(|v| (health(v), v.id));
    let replaced = worst.filter(|v| must_go(health(v)));
    let usable = |i: usize| {
        let h = &peers[i];
        h.run_id.is_some() && !h.leaving && now - h.last_heard < limits.silent_after
    };
    let wanted = placement::choose_holders(holders, preference, limits.copies, |i| {
        usable(i) || voters.iter().any(|v| v.holder == i && health(v) == Health::Silent)
    });
    let has_member = |i: usize| {
        members.iter().any(|m| {
            m.holder == i
                && peers[i].run_id == Some(m.run_id)
                && (!m.voter || !peers[i].lost_state(group, m.run_id, m.id))
        })
    };
    if let Some(learner) = learners.iter().find(|l| l.caught_up && health(l) == Health::Healthy) {
        // Replaces the voter of the same holder, else a lost one, else one on a holder that is not preferred.
        let own = voters.iter().find(|v| v.holder == learner.holder);
        let at_size = voters.len() >= limits.copies;
        let misplaced =
            voters.iter().filter(|v| v.id != leader_id && !wanted.contains(&v.holder)).max_by_key(|v| v.id);
        let replaces = own.or(replaced).or(misplaced.filter(|_| at_size)).map(|v| v.id);
        if at_size && replaces.is_none() {
            return Some(RepairAction::Remove { id: learner.id });
        }
        return safe(replaces, 1).then_some(RepairAction::Promote { id: learner.id, replaces });
    }
    if voters.len() > limits.copies && learners.is_empty() {
        // There are too many voters, since the configured number of replicas was lowered.
        let others = voters.iter().filter(|v| v.id != leader_id);
        let spare = others.max_by_key(|v| (health(v), !wanted.contains(&v.holder), v.id));
        return spare.filter(|v| safe(Some(v.id), 0)).map(|v| RepairAction::Remove { id: v.id });
    }
    if learners.is_empty() {
        let candidate = wanted.iter().copied().find(|&i| usable(i) && !has_member(i));
        let missing = voters.len() < limits.copies || replaced.is_some();
        // Replicas of a healthy group move only rarely.
        let may_rebalance = now - led_since >= limits.min_interval * REBALANCE_INTERVALS;
        let healthy = voters.iter().all(|v| health(v) == Health::Healthy);
        let misplaced = voters.iter().any(|v| v.id != leader_id && !wanted.contains(&v.holder));
        if let Some(holder) = candidate.filter(|_| missing || may_rebalance && healthy && misplaced)
            && let Some(run) = peers[holder].run_id
        {
            return Some(RepairAction::AddLearner { run_id: run, holder });
        }
        // No holder can replace it, but a voter that is gone for good would still count towards the majority.
        if let Some(removed) = worst.filter(|v| health(v) == Health::StateLost && candidate.is_none())
            && voters.len() > limits.copies / 2 + 1
            && safe(Some(removed.id), 0)
        {
            return Some(RepairAction::Remove { id: removed.id });
        }
    }
    let healthy = |v: &&&MemberView| v.id != leader_id && v.caught_up && health(v) == Health::Healthy;
    let best_voter =
        voters.iter().filter(healthy).min_by_key(|v| preference.iter().position(|&i| i == v.holder));
    let leader = members.iter().find(|m| m.id == leader_id)?;
    let rank = |i: usize| preference.iter().position(|&o| o == i);
    let leaving = health(leader) == Health::Leaving;
    let may_transfer =
        now - last_transfer.unwrap_or(led_since).max(led_since) >= limits.min_interval * TRANSFER_INTERVALS;
    let better = best_voter.filter(|v| leaving || may_transfer && rank(v.holder) < rank(leader.holder));
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
        fn a_majority_is_live_after_each_action(case: Case) -> bool {
            let (mut members, step) = step(&case);
            let voters = |all: &[MemberView]| all.iter().filter(|m| m.voter).count();
            let before = voters(&members);
            match step {
                Some(RepairAction::Promote { id, replaces }) => {
                    members.iter_mut().filter(|m| m.id == id).for_each(|m| m.voter = true);
                    members.retain(|m| Some(m.id) != replaces);
                }
                Some(RepairAction::Remove { id }) => members.retain(|m| m.id != id),
                _ => return true,
            }
            let up = members.iter().filter(|m| m.voter && !lost(&case, m)).count();
            // An action that leaves the set of voters unchanged is harmless; any other needs a live majority.
            let same = matches!(step, Some(RepairAction::Remove { .. })) && voters(&members) == before;
            same || up > voters(&members) / 2
        }

        fn the_leader_stays_a_member_and_no_lost_holder_is_added_promoted_or_made_leader(case: Case) -> bool {
            let (members, step) = step(&case);
            let me = 200 + case.me as u64;
            let sound = |id: u64| members.iter().any(|m| m.id == id && !lost(&case, m));
            match step {
                None => true,
                Some(RepairAction::AddLearner { run_id: run, holder }) => {
                    run == 100 + holder as u64 + if case.holders[holder].1 == 7 { 50 } else { 0 }
                        && case.holders[holder].1 != 6
                }
                Some(RepairAction::Promote { id, replaces }) => sound(id) && replaces != Some(me),
                Some(RepairAction::Remove { id }) => id != me,
                Some(RepairAction::TransferLeadership { id }) => id != me && sound(id) && members.iter().any(|m| m.id == id && m.voter),
            }
        }

        /// A group with a live majority reaches its configured size on healthy holders.
        fn a_group_reaches_its_configured_size(case: Case) -> bool {
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
                    Some(RepairAction::Promote { id, replaces }) => {
                        let new = of(id).unwrap();
                        replaces.and_then(of).filter(|h| *h != new).into_iter().for_each(|h| case.holders[h].0 = 2);
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
