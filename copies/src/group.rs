//! One gateway's membership in one group: the consensus library, the steps it holds and the ledger they make, behind
//! one set of inputs. Must never tell what came of a command before a majority holds it, nor take part under an id that
//! an earlier start had: what was forgotten must not vote.

use crate::command::{Command, CommandResult, LogEntry, Operation, OutcomeRecord};
use crate::machine::{self, Machine, Member};
use crate::membership_repair::{self, MemberView, MembershipRepair, PeerState};
use crate::settings::{Copies, Holder};
use crate::storage::LogStorage;
use kelpcart::{Span, Time};
use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType, Message, MessageType};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Steps of the group's clock in an election's time, and between signs of life.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Messages under way to one member, and bytes of steps in one of them.
const MAX_INFLIGHT_MESSAGES: usize = 256;
const MAX_APPEND_BYTES: u64 = 256 * 1024;
/// A member this close to the leader's last step has caught up.
const CAUGHT_UP_ENTRIES: u64 = 64;
/// An image that brought nobody forward by then is sent again.
const SNAPSHOT_TIMEOUT: Span = Span::from_millis(5_000);
const EXPIRY_INTERVAL: Span = Span::from_millis(1_000);

/// What goes to another member.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundMessage {
    /// Memberships.
    pub from: u64,
    pub to: u64,
    pub message: Vec<u8>,
    /// It holds the whole ledger, and has a way of its own.
    pub is_snapshot: bool,
}

/// What came of a command that a gateway asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedProposal {
    pub run_id: u64,
    pub request_id: u64,
    pub result: CommandResult,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Another one leads, or none.
    NotLeader,
    Busy,
}

/// Counters of one member, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    pub elections: u64,
    pub leaderships: u64,
    pub proposed: u64,
    pub busy: u64,
    pub applied: u64,
    pub snapshots_created: u64,
    pub snapshots_installed: u64,
    pub replaced: u64,
}

pub struct GroupMember {
    pub number: u32,
    pub ledger: u64,
    /// Of this membership.
    pub id: u64,
    /// This start of the gateway.
    run_id: u64,
    raft: RawNode<LogStorage>,
    machine: Machine,
    seed: u64,
    tick_interval: Span,
    next_tick: Time,
    /// The group's time when this one began to lead, and when that was here.
    led_since: Option<(Time, Time)>,
    repair: MembershipRepair,
    repair_limits: membership_repair::Limits,
    lost_after: Span,
    /// Starts of gateways whose loss has been proposed in this term.
    reported_lost: BTreeMap<u64, Time>,
    snapshots_in_flight: BTreeMap<u64, Time>,
    next_expiry: Time,
    max_uncommitted: usize,
    log_limits: (usize, usize),
    applied: u64,
    role: StateRole,
    pub counts: Counters,
    pub outbound: VecDeque<OutboundMessage>,
    pub completed: VecDeque<CompletedProposal>,
    /// Endings go to a disk before this member says that it holds them.
    persist_outcomes: bool,
    /// What waits for that: the library's numbers with what may be said after each, in order.
    unpersisted: VecDeque<(u64, bool, Vec<Message>)>,
    /// Endings to be written, and the number that they belong to.
    pub outcome_writes: VecDeque<(u64, Vec<OutcomeRecord>)>,
}

fn config(id: u64) -> Config {
    Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        min_election_tick: ELECTION_TICKS,
        max_election_tick: 2 * ELECTION_TICKS,
        max_size_per_msg: MAX_APPEND_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        max_committed_size_per_ready: u64::MAX,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}

impl GroupMember {
    /// A member of a group that it founds: alone at first, and not ready for promises before others have joined.
    pub fn bootstrap(
        settings: &Copies,
        number: u32,
        ledger: u64,
        run_id: u64,
        seed: u64,
        now: Time,
    ) -> Option<GroupMember> {
        let (holder, id) = (settings.own_index()? as u32, run_id);
        let mut group = GroupMember::start(
            settings,
            (number, ledger),
            (id, run_id),
            seed,
            now,
            LogStorage::bootstrapped(id),
        )?;
        group.machine.members.insert(id, Member { id, holder, run_id });
        // It fails only where it is no voter, which it is.
        _ = group.raft.campaign();
        group.process_ready(now);
        Some(group)
    }

    /// A member that another one has called, under an id that it gave: it learns all from the leader.
    pub fn join(
        settings: &Copies,
        of: (u32, u64),
        as_who: (u64, u64),
        seed: u64,
        now: Time,
    ) -> Option<GroupMember> {
        GroupMember::start(settings, of, as_who, seed, now, LogStorage::default())
    }

    /// `of`: the group's number and its ledger; `as_who`: the id of the membership, and this start of the gateway.
    fn start(
        settings: &Copies,
        (number, ledger): (u32, u64),
        (id, run_id): (u64, u64),
        seed: u64,
        now: Time,
        log: LogStorage,
    ) -> Option<GroupMember> {
        let applied = log.hard_state.commit;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&Config { applied, ..config(id) }, log, &logger).ok()?;
        let (t, b, step) = (&settings.times, &settings.bounds, settings.times.tick_interval());
        Some(GroupMember {
            number,
            ledger,
            id,
            run_id,
            raft,
            machine: Machine::new(machine::bounds(b), ledger),
            seed,
            tick_interval: step,
            next_tick: now + step,
            led_since: None,
            repair: MembershipRepair::default(),
            repair_limits: membership_repair::Limits {
                copies: settings.copies,
                absent_after: Span::from_millis(t.absent_ms),
                min_interval: Span::from_millis(t.replace_ms),
                silent_after: Span::from_millis(t.lost_ms),
            },
            lost_after: Span::from_millis(t.lost_ms),
            reported_lost: BTreeMap::new(),
            snapshots_in_flight: BTreeMap::new(),
            next_expiry: now + EXPIRY_INTERVAL,
            max_uncommitted: b.waiting,
            log_limits: (b.log, b.log_kb * 1024),
            applied,
            role: StateRole::Follower,
            counts: Counters::default(),
            outbound: VecDeque::new(),
            completed: VecDeque::new(),
            persist_outcomes: settings.disk.is_some(),
            unpersisted: VecDeque::new(),
            outcome_writes: VecDeque::new(),
        })
    }

    pub fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Enough members vote for a majority of them to be one of the copies wanted, and all that earlier leaders
    /// promised is known here.
    pub fn is_ready(&self) -> bool {
        let enough = self.raft.store().conf_state.voters.len() > self.repair_limits.copies / 2;
        self.is_leader() && enough && self.led_since.is_some()
    }

    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The leader, where one is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raft.raft.leader_id).filter(|id| *id != 0)
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.machine.members.values()
    }

    /// The holder and its start that a member is, where that is known.
    pub fn member(&self, id: u64) -> Option<&Member> {
        self.machine.members.get(&id)
    }

    pub fn voters(&self) -> &[u64] {
        &self.raft.store().conf_state.voters
    }

    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    pub fn log(&self) -> &LogStorage {
        self.raft.store()
    }

    /// Commands that are proposed and not held by a majority yet.
    pub fn uncommitted(&self) -> usize {
        (self.raft.raft.raft_log.last_index() - self.applied.min(self.raft.raft.raft_log.last_index()))
            as usize
    }

    // Inputs.

    /// From another member.
    pub fn receive(&mut self, bytes: &[u8]) {
        if let Ok(message) = Message::parse_from_bytes(bytes)
            && message.to == self.id
        {
            // What does not fit its state is dropped by the library.
            _ = self.raft.step(message);
        }
    }

    /// A command of a gateway's start; `importance` 0 to 9.
    pub fn propose(
        &mut self,
        now: Time,
        run_id: u64,
        request_id: u64,
        importance: u32,
        command: Command,
    ) -> Result<(), ProposeError> {
        if !self.is_ready() {
            return Err(ProposeError::NotLeader);
        }
        // Room for the least important ends at half, and grows with importance; endings and questions always pass,
        // since each makes room or lets somebody stop waiting.
        let share = 0.5 + 0.5 * f64::from(importance.min(9)) / 9.0;
        let needs_room =
            matches!(command.operation, Some(Operation::Accept(_) | Operation::RegisterSender(_)));
        if needs_room && self.uncommitted() as f64 >= self.max_uncommitted as f64 * share {
            self.counts.busy += 1;
            return Err(ProposeError::Busy);
        }
        self.counts.proposed += 1;
        self.append(now, run_id, request_id, command)
    }

    fn append(
        &mut self,
        now: Time,
        run_id: u64,
        request_id: u64,
        command: Command,
    ) -> Result<(), ProposeError> {
        let at = self.group_time(now).as_micros();
        let step = LogEntry { at_us: at, run_id, request_id, command: Some(command) };
        self.raft.propose(Vec::new(), step.encode_to_vec()).map_err(|_| ProposeError::NotLeader)
    }

    /// The group's own time, carried on by each leader from where the last step left it: no clock of a machine counts.
    fn group_time(&self, now: Time) -> Time {
        let (from, at) = self.led_since.unwrap_or((self.machine.time(), now));
        (from + (now - at)).max(self.machine.time())
    }

    /// A start of a holder can't be reached at the moment.
    pub fn report_unreachable(&mut self, run_id: u64) {
        let of_run = self.machine.members.values().filter(|m| m.run_id == run_id).map(|m| m.id);
        for id in of_run.collect::<Vec<_>>() {
            self.raft.report_unreachable(id);
            if self.snapshots_in_flight.remove(&id).is_some() {
                self.raft.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    // Time.

    pub fn next_wake(&self) -> Time {
        self.next_tick
    }

    pub fn tick(&mut self, now: Time, holders: &[Holder], order: &[usize], peers: &[PeerState]) {
        let mut steps = 0;
        while self.next_tick <= now {
            self.next_tick += self.tick_interval;
            steps += 1;
            // A process that was stopped does not make up for it in one go: others had no chance to be heard.
            if steps <= 2 {
                self.raft.tick();
            }
            if steps > ELECTION_TICKS as u64 {
                self.next_tick = now + self.tick_interval;
            }
        }
        if self.is_leader() {
            self.check_timeouts(now, peers);
            self.repair_membership(now, holders, order, peers);
        }
    }

    /// Gateways that are gone take what they ran with them; what is old is let go of.
    fn check_timeouts(&mut self, now: Time, peers: &[PeerState]) {
        let Some((_, since)) = self.led_since else { return };
        for run_id in self.machine.runners().into_keys() {
            if run_id == self.run_id
                || self.reported_lost.get(&run_id).is_some_and(|at| now - *at < self.lost_after)
            {
                continue;
            }
            let one = peers.iter().find(|h| h.run_id == Some(run_id));
            let gone = one
                .map_or(now - since >= self.lost_after, |h| now - h.last_heard.max(since) >= self.lost_after);
            if gone {
                self.reported_lost.insert(run_id, now);
                // It is tried again where leadership is lost meanwhile.
                _ = self.append(now, 0, 0, Command { operation: Some(Operation::RunnerLost(run_id)) });
            }
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            if self.machine.has_expired(self.group_time(now)) {
                _ = self.append(now, 0, 0, Command { operation: Some(Operation::Expire(true)) });
            }
        }
        let late: Vec<u64> = self
            .snapshots_in_flight
            .iter()
            .filter(|(_, at)| now - **at >= SNAPSHOT_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.snapshots_in_flight.remove(&id);
            self.raft.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    fn repair_membership(&mut self, now: Time, holders: &[Holder], order: &[usize], peers: &[PeerState]) {
        let conf = &self.raft.store().conf_state;
        let busy = self.raft.raft.has_pending_conf() || !conf.voters_outgoing.is_empty();
        if busy || !self.raft.raft.commit_to_current_term() {
            return;
        }
        let last = self.raft.raft.raft_log.last_index();
        let seen: Vec<MemberView> = conf
            .voters
            .iter()
            .chain(&conf.learners)
            .filter_map(|&id| {
                let Member { holder, run_id, .. } = *self.machine.members.get(&id)?;
                let holder = holder as usize;
                let progress = self.raft.raft.prs().get(id)?;
                let has = progress.matched > 0 && progress.state != ProgressState::Snapshot;
                let close = id == self.id || has && progress.matched + CAUGHT_UP_ENTRIES >= last;
                Some(MemberView { id, run_id, holder, voter: conf.voters.contains(&id), caught_up: close })
            })
            .collect();
        let view = membership_repair::GroupView {
            now,
            group: self.number,
            leader_id: self.id,
            limits: &self.repair_limits,
            holders,
            preference: order,
            members: &seen,
            peers,
        };
        let next = self.repair.next_action(&view);
        let Some(next) = next else { return };
        let one = |kind: ConfChangeType, id: u64| {
            let mut one = ConfChangeSingle::default();
            one.set_change_type(kind);
            one.node_id = id;
            one
        };
        let mut change = ConfChangeV2::default();
        match next {
            membership_repair::RepairAction::AddLearner { run_id, holder } => {
                // Never one that was: what was sent to an earlier membership may still be under way.
                let id = Pcg64Mcg::seed_from_u64(self.seed ^ last.rotate_left(32) ^ run_id)
                    .random_range(1..=u64::MAX);
                change.mut_changes().push(one(ConfChangeType::AddLearnerNode, id));
                change.context = Member { id, holder: holder as u32, run_id }.encode_to_vec().into();
            }
            membership_repair::RepairAction::Promote { id, instead_of } => {
                change.mut_changes().push(one(ConfChangeType::AddNode, id));
                if let Some(gone) = instead_of {
                    change.mut_changes().push(one(ConfChangeType::RemoveNode, gone));
                    self.counts.replaced += 1;
                }
            }
            membership_repair::RepairAction::Remove { id } => {
                change.mut_changes().push(one(ConfChangeType::RemoveNode, id))
            }
            membership_repair::RepairAction::TransferLeadership { id } => {
                return self.raft.transfer_leader(id);
            }
        }
        // Where another change is under way, the next one comes after it.
        _ = self.raft.propose_conf_change(Vec::new(), change);
    }

    /// Carries on whatever the inputs have made possible.
    pub fn process_ready(&mut self, now: Time) {
        while self.raft.has_ready() {
            let mut ready = self.raft.ready();
            self.queue_messages(now, ready.take_messages());
            if *ready.snapshot() != Default::default() {
                self.install_snapshot(ready.snapshot());
            }
            self.apply(ready.take_committed_entries());
            let steps = ready.take_entries();
            let notes = if self.persist_outcomes { self.outcome_records(&steps) } else { Vec::new() };
            if !steps.is_empty() {
                self.raft.mut_store().append(steps);
            }
            if let Some(hard) = ready.hs() {
                self.raft.mut_store().hard_state = hard.clone();
            }
            let (number, held) = (ready.number(), ready.take_persisted_messages());
            self.raft.advance_append_async(ready);
            self.unpersisted.push_back((number, notes.is_empty(), held));
            if !notes.is_empty() {
                self.outcome_writes.push_back((number, notes));
            }
            self.flush_persisted(now);
        }
        self.update_role(now);
        if let Some(index) = self.raft.store().snapshot_wanted()
            && index <= self.applied
        {
            let snapshot = self.machine.snapshot();
            self.raft.store().store_snapshot(self.applied, snapshot);
            self.counts.snapshots_created += 1;
        }
        let (most, bytes) = self.log_limits;
        let applied = self.applied;
        self.raft.mut_store().compact(applied, most, bytes);
        if !self.snapshots_in_flight.is_empty() {
            let prs = self.raft.raft.prs();
            self.snapshots_in_flight
                .retain(|id, _| prs.get(*id).is_some_and(|p| p.state == ProgressState::Snapshot));
            if self.snapshots_in_flight.is_empty() {
                self.raft.store().drop_snapshot();
            }
        }
    }

    /// Endings among new steps: whatever becomes of the steps, these txns ended so.
    fn outcome_records(&self, steps: &[Entry]) -> Vec<OutcomeRecord> {
        let end = |step: &Entry| match LogEntry::decode(&step.data[..]).ok()?.command?.operation? {
            Operation::End(end) => {
                let ledger = if end.ledger == 0 { self.ledger } else { end.ledger };
                Some(OutcomeRecord { ledger, end: Some(end) })
            }
            _ => None,
        };
        steps.iter().filter(|s| s.get_entry_type() == EntryType::EntryNormal).filter_map(end).collect()
    }

    /// The disk has what was to be written with this number, and all before.
    pub fn outcomes_persisted(&mut self, now: Time, number: u64) {
        self.unpersisted.iter_mut().filter(|u| u.0 <= number).for_each(|u| u.1 = true);
        self.flush_persisted(now);
    }

    /// Says what may be said: what is held, in order.
    fn flush_persisted(&mut self, now: Time) {
        while let Some((number, true, _)) = self.unpersisted.front() {
            self.raft.on_persist_ready(*number);
            let said = self.unpersisted.pop_front().map(|u| u.2).unwrap_or_default();
            self.queue_messages(now, said);
        }
        // Behind an image that waits for earlier writes the library holds less than is applied here.
        if self.unpersisted.is_empty() {
            self.raft.advance_apply_to(self.applied);
        }
    }

    fn update_role(&mut self, now: Time) {
        // In place of what the library draws from the process's own chance: by the seed, anew in each term.
        let timeout_ticks =
            ELECTION_TICKS + Pcg64Mcg::seed_from_u64(self.seed ^ self.term()).random_range(0..ELECTION_TICKS);
        self.raft.raft.set_randomized_election_timeout(timeout_ticks);
        let role = self.raft.raft.state;
        if role != self.role {
            self.role = role;
            self.counts.elections += u64::from(role == StateRole::Candidate);
            if role != StateRole::Leader {
                self.led_since = None;
            }
        }
        if self.is_leader() && self.led_since.is_none() && self.raft.raft.commit_to_current_term() {
            self.led_since = Some((self.machine.time(), now));
            self.repair.leadership_started(now);
            self.reported_lost.clear();
            self.snapshots_in_flight.clear();
            self.counts.leaderships += 1;
        }
    }

    fn queue_messages(&mut self, now: Time, messages: Vec<Message>) {
        for message in messages {
            let is_snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
            if is_snapshot {
                self.snapshots_in_flight.insert(message.to, now);
            }
            if let Ok(bytes) = message.write_to_bytes() {
                self.outbound.push_back(OutboundMessage {
                    from: self.id,
                    to: message.to,
                    message: bytes,
                    is_snapshot,
                });
            }
        }
    }

    fn install_snapshot(&mut self, snapshot: &raft::eraftpb::Snapshot) {
        if !self.machine.restore(&snapshot.data) {
            // Its own kind made it: nothing here can go on from a state that is not the group's.
            ::log::error!("group {}: the ledger as it was sent can't be read", self.number);
        }
        self.raft.mut_store().restore(snapshot);
        self.applied = snapshot.get_metadata().index;
        self.counts.snapshots_installed += 1;
    }

    fn apply(&mut self, steps: Vec<Entry>) {
        for step in steps {
            self.applied = step.index;
            self.counts.applied += 1;
            match step.get_entry_type() {
                EntryType::EntryNormal if step.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_command(&step),
                _ => self.apply_membership_change(&step),
            }
        }
    }

    fn apply_command(&mut self, entry: &Entry) {
        let Ok(step) = LogEntry::decode(&entry.data[..]) else { return };
        let Some(operation) = step.command.and_then(|c| c.operation) else { return };
        let outcome = self.machine.apply(Time::from_micros(step.at_us), step.run_id, &operation);
        // Who leads tells: one that led when it was proposed may not know that it does no more.
        if step.request_id != 0 && self.is_leader() {
            self.completed.push_back(CompletedProposal {
                run_id: step.run_id,
                request_id: step.request_id,
                result: outcome,
            });
        }
    }

    fn apply_membership_change(&mut self, entry: &Entry) {
        let Ok(change) = ConfChangeV2::parse_from_bytes(&entry.data) else { return };
        let Ok(members) = self.raft.apply_conf_change(&change) else { return };
        if let Ok(member) = Member::decode(&change.context[..])
            && member.id != 0
        {
            self.machine.members.insert(member.id, member);
        }
        let all = [&members.voters, &members.learners, &members.voters_outgoing, &members.learners_next];
        self.machine.members.retain(|id, _| all.iter().any(|some| some.contains(id)));
        self.snapshots_in_flight.retain(|id, _| members.learners.contains(id) || members.voters.contains(id));
        self.raft.mut_store().conf_state = members;
        // A member that an image does not name would not take it.
        self.raft.store().drop_snapshot();
    }

    /// It has been replaced, or its group is gone.
    pub fn is_member(&self) -> bool {
        self.machine.members.contains_key(&self.id) || self.applied == 0
    }
}
