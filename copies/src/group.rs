//! One gateway's membership in one Raft group: the raft library, its log and the state machine behind one set of
//! inputs.
//!
//! Invariant: a command's result is reported only after the command is committed. Invariant: no member uses an id of
//! an earlier start, since a member that has lost its state must not vote.

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

/// Ticks in the minimum election timeout.
const ELECTION_TICKS: usize = 10;
/// Ticks between heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Append messages in flight to one member.
const MAX_INFLIGHT_MESSAGES: usize = 256;
/// Bytes of entries in one append message.
const MAX_APPEND_BYTES: u64 = 256 * 1024;
/// A member within this many entries of the leader's last index counts as caught up.
const CAUGHT_UP_ENTRIES: u64 = 64;
/// A snapshot that brought no progress by then counts as lost and is sent again.
const SNAPSHOT_TIMEOUT: Span = Span::from_millis(5_000);
/// Interval between checks for expired entries.
const EXPIRY_INTERVAL: Span = Span::from_millis(1_000);

/// A message to another member of the group.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundMessage {
    /// Member ids.
    pub from: u64,
    pub to: u64,
    pub message: Vec<u8>,
    /// The message carries a snapshot and goes on a stream of its own.
    pub is_snapshot: bool,
}

/// The result of a gateway's committed command.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedProposal {
    pub run_id: u64,
    pub request_id: u64,
    pub result: CommandResult,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Another member leads, or there is no leader.
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
    /// Id of this membership.
    pub id: u64,
    /// Run id of this start of the gateway.
    run_id: u64,
    raft: RawNode<LogStorage>,
    machine: Machine,
    seed: u64,
    tick_interval: Span,
    next_tick: Time,
    /// The group's time at which this member began to lead, and the local time of that moment.
    led_since: Option<(Time, Time)>,
    repair: MembershipRepair,
    repair_limits: membership_repair::Limits,
    lost_after: Span,
    /// Run ids whose loss was proposed in this term, and when.
    reported_lost: BTreeMap<u64, Time>,
    snapshots_in_flight: BTreeMap<u64, Time>,
    next_expiry: Time,
    max_unapplied: usize,
    log_limits: (usize, usize),
    applied: u64,
    role: StateRole,
    pub counters: Counters,
    pub outbound: VecDeque<OutboundMessage>,
    pub completed: VecDeque<CompletedProposal>,
    /// Whether outcomes are written to the disk before this member acknowledges their entries.
    persist_outcomes: bool,
    /// Ready numbers that wait for the disk, in order: whether the write is done, and the messages to be sent after
    /// it.
    unpersisted: VecDeque<(u64, bool, Vec<Message>)>,
    /// Outcome records to be written, with the ready number that they belong to.
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
    /// The first member of a new group. It accepts no commands before others have joined.
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
        // Fails only for a member that is not a voter, and this one is.
        _ = group.raft.campaign();
        group.process_ready(now);
        Some(group)
    }

    /// A member that a leader has invited under the id that the leader chose. Its state comes from the leader.
    pub fn join(
        settings: &Copies,
        group: (u32, u64),
        identity: (u64, u64),
        seed: u64,
        now: Time,
    ) -> Option<GroupMember> {
        GroupMember::start(settings, group, identity, seed, now, LogStorage::default())
    }

    /// `group`: the group's number and its ledger; `identity`: the membership id and the run id of this start of the
    /// gateway.
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
        let (t, b, tick_interval) = (&settings.times, &settings.bounds, settings.times.tick_interval());
        Some(GroupMember {
            number,
            ledger,
            id,
            run_id,
            raft,
            machine: Machine::new(machine::bounds(b), ledger),
            seed,
            tick_interval,
            next_tick: now + tick_interval,
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
            max_unapplied: b.waiting,
            log_limits: (b.log, b.log_kb * 1024),
            applied,
            role: StateRole::Follower,
            counters: Counters::default(),
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

    /// Whether this member leads, with enough voters for a majority of the configured replicas, and has applied
    /// everything that earlier leaders committed.
    pub fn is_ready(&self) -> bool {
        let enough = self.raft.store().conf_state.voters.len() > self.repair_limits.copies / 2;
        self.is_leader() && enough && self.led_since.is_some()
    }

    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The leader's membership id, if known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raft.raft.leader_id).filter(|id| *id != 0)
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.machine.members.values()
    }

    /// The holder and run id behind a membership id, if known.
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

    /// Log entries that are not applied yet.
    pub fn unapplied(&self) -> usize {
        (self.raft.raft.raft_log.last_index() - self.applied.min(self.raft.raft.raft_log.last_index()))
            as usize
    }

    // Inputs.

    /// Handles a message of another member.
    pub fn receive(&mut self, bytes: &[u8]) {
        if let Ok(message) = Message::parse_from_bytes(bytes)
            && message.to == self.id
        {
            // The library drops messages that do not fit the member's state.
            _ = self.raft.step(message);
        }
    }

    /// Proposes a command of the gateway with this run id; `importance` is 0 to 9.
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
        // Accepts and registrations of importance 0 are refused once half of the room is used, more important ones
        // later. Outcomes and queries are always proposed, since each of them frees room or ends a wait.
        let share = 0.5 + 0.5 * f64::from(importance.min(9)) / 9.0;
        let needs_room =
            matches!(command.operation, Some(Operation::Accept(_) | Operation::RegisterSender(_)));
        if needs_room && self.unapplied() as f64 >= self.max_unapplied as f64 * share {
            self.counters.busy += 1;
            return Err(ProposeError::Busy);
        }
        self.counters.proposed += 1;
        self.append(now, run_id, request_id, command)
    }

    fn append(
        &mut self,
        now: Time,
        run_id: u64,
        request_id: u64,
        command: Command,
    ) -> Result<(), ProposeError> {
        let at_us = self.group_time(now).as_micros();
        let entry = LogEntry { at_us, run_id, request_id, command: Some(command) };
        self.raft.propose(Vec::new(), entry.encode_to_vec()).map_err(|_| ProposeError::NotLeader)
    }

    /// The group's own time. Each leader continues it from the last log entry, so that no machine's clock matters.
    fn group_time(&self, now: Time) -> Time {
        let (from, at) = self.led_since.unwrap_or((self.machine.time(), now));
        (from + (now - at)).max(self.machine.time())
    }

    /// The gateway with this run id can't be reached at the moment.
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

    pub fn tick(&mut self, now: Time, holders: &[Holder], preference: &[usize], peers: &[PeerState]) {
        let mut ticks = 0;
        while self.next_tick <= now {
            self.next_tick += self.tick_interval;
            ticks += 1;
            // A process that was stopped must not make up for all missed ticks at once: it would call an election
            // before it can receive anything.
            if ticks <= 2 {
                self.raft.tick();
            }
            if ticks > ELECTION_TICKS as u64 {
                self.next_tick = now + self.tick_interval;
            }
        }
        if self.is_leader() {
            self.check_timeouts(now, peers);
            self.repair_membership(now, holders, preference, peers);
        }
    }

    /// Proposes `RunnerLost` for gateways that have not been heard for too long, expires old entries, and reports
    /// lost snapshots.
    fn check_timeouts(&mut self, now: Time, peers: &[PeerState]) {
        let Some((_, since)) = self.led_since else { return };
        for run_id in self.machine.runners().into_keys() {
            if run_id == self.run_id
                || self.reported_lost.get(&run_id).is_some_and(|at| now - *at < self.lost_after)
            {
                continue;
            }
            let peer = peers.iter().find(|h| h.run_id == Some(run_id));
            let is_lost = peer
                .map_or(now - since >= self.lost_after, |h| now - h.last_heard.max(since) >= self.lost_after);
            if is_lost {
                self.reported_lost.insert(run_id, now);
                // If leadership is lost before the commit, the next leader proposes it again.
                _ = self.append(now, 0, 0, Command { operation: Some(Operation::RunnerLost(run_id)) });
            }
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            if self.machine.has_expired(self.group_time(now)) {
                _ = self.append(now, 0, 0, Command { operation: Some(Operation::Expire(true)) });
            }
        }
        let timed_out: Vec<u64> = self
            .snapshots_in_flight
            .iter()
            .filter(|(_, at)| now - **at >= SNAPSHOT_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            self.snapshots_in_flight.remove(&id);
            self.raft.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    fn repair_membership(
        &mut self,
        now: Time,
        holders: &[Holder],
        preference: &[usize],
        peers: &[PeerState],
    ) {
        let conf = &self.raft.store().conf_state;
        let busy = self.raft.raft.has_pending_conf() || !conf.voters_outgoing.is_empty();
        if busy || !self.raft.raft.commit_to_current_term() {
            return;
        }
        let last = self.raft.raft.raft_log.last_index();
        let members: Vec<MemberView> = conf
            .voters
            .iter()
            .chain(&conf.learners)
            .filter_map(|&id| {
                let Member { holder, run_id, .. } = *self.machine.members.get(&id)?;
                let holder = holder as usize;
                let progress = self.raft.raft.prs().get(id)?;
                let has_log = progress.matched > 0 && progress.state != ProgressState::Snapshot;
                let caught_up = id == self.id || has_log && progress.matched + CAUGHT_UP_ENTRIES >= last;
                Some(MemberView { id, run_id, holder, voter: conf.voters.contains(&id), caught_up })
            })
            .collect();
        let view = membership_repair::GroupView {
            now,
            group: self.number,
            leader_id: self.id,
            limits: &self.repair_limits,
            holders,
            preference,
            members: &members,
            peers,
        };
        let action = self.repair.next_action(&view);
        let Some(action) = action else { return };
        let one = |kind: ConfChangeType, id: u64| {
            let mut one = ConfChangeSingle::default();
            one.set_change_type(kind);
            one.node_id = id;
            one
        };
        let mut change = ConfChangeV2::default();
        match action {
            membership_repair::RepairAction::AddLearner { run_id, holder } => {
                // Never an id that was used before: messages to an earlier membership may still be in flight.
                let id = Pcg64Mcg::seed_from_u64(self.seed ^ last.rotate_left(32) ^ run_id)
                    .random_range(1..=u64::MAX);
                change.mut_changes().push(one(ConfChangeType::AddLearnerNode, id));
                change.context = Member { id, holder: holder as u32, run_id }.encode_to_vec().into();
            }
            membership_repair::RepairAction::Promote { id, replaces } => {
                change.mut_changes().push(one(ConfChangeType::AddNode, id));
                if let Some(replaced) = replaces {
                    change.mut_changes().push(one(ConfChangeType::RemoveNode, replaced));
                    self.counters.replaced += 1;
                }
            }
            membership_repair::RepairAction::Remove { id } => {
                change.mut_changes().push(one(ConfChangeType::RemoveNode, id))
            }
            membership_repair::RepairAction::TransferLeadership { id } => {
                return self.raft.transfer_leader(id);
            }
        }
        // If another change is pending, repair decides again after it.
        _ = self.raft.propose_conf_change(Vec::new(), change);
    }

    /// Handles everything that the raft library has ready: messages, snapshots, committed entries and writes.
    pub fn process_ready(&mut self, now: Time) {
        while self.raft.has_ready() {
            let mut ready = self.raft.ready();
            self.queue_messages(now, ready.take_messages());
            if *ready.snapshot() != Default::default() {
                self.install_snapshot(ready.snapshot());
            }
            self.apply(ready.take_committed_entries());
            let entries = ready.take_entries();
            let records = if self.persist_outcomes { self.outcome_records(&entries) } else { Vec::new() };
            if !entries.is_empty() {
                self.raft.mut_store().append(entries);
            }
            if let Some(hard_state) = ready.hs() {
                self.raft.mut_store().hard_state = hard_state.clone();
            }
            let (number, messages) = (ready.number(), ready.take_persisted_messages());
            self.raft.advance_append_async(ready);
            self.unpersisted.push_back((number, records.is_empty(), messages));
            if !records.is_empty() {
                self.outcome_writes.push_back((number, records));
            }
            self.flush_persisted(now);
        }
        self.update_role(now);
        if let Some(index) = self.raft.store().snapshot_wanted()
            && index <= self.applied
        {
            let snapshot = self.machine.snapshot();
            self.raft.store().store_snapshot(self.applied, snapshot);
            self.counters.snapshots_created += 1;
        }
        let (max_entries, max_bytes) = self.log_limits;
        let applied = self.applied;
        self.raft.mut_store().compact(applied, max_entries, max_bytes);
        if !self.snapshots_in_flight.is_empty() {
            let prs = self.raft.raft.prs();
            self.snapshots_in_flight
                .retain(|id, _| prs.get(*id).is_some_and(|p| p.state == ProgressState::Snapshot));
            if self.snapshots_in_flight.is_empty() {
                self.raft.store().drop_snapshot();
            }
        }
    }

    /// The outcomes among new entries. They hold even if the entries are replaced before they are committed.
    fn outcome_records(&self, entries: &[Entry]) -> Vec<OutcomeRecord> {
        let end = |entry: &Entry| match LogEntry::decode(&entry.data[..]).ok()?.command?.operation? {
            Operation::End(end) => {
                let ledger = if end.ledger == 0 { self.ledger } else { end.ledger };
                Some(OutcomeRecord { ledger, end: Some(end) })
            }
            _ => None,
        };
        entries.iter().filter(|e| e.get_entry_type() == EntryType::EntryNormal).filter_map(end).collect()
    }

    /// All outcome records up to this ready number are on the disk.
    pub fn outcomes_persisted(&mut self, now: Time, number: u64) {
        self.unpersisted.iter_mut().filter(|u| u.0 <= number).for_each(|u| u.1 = true);
        self.flush_persisted(now);
    }

    /// Reports persisted entries to the library, in order, and sends the messages that waited for them.
    fn flush_persisted(&mut self, now: Time) {
        while let Some((number, true, _)) = self.unpersisted.front() {
            self.raft.on_persist_ready(*number);
            let messages = self.unpersisted.pop_front().map(|u| u.2).unwrap_or_default();
            self.queue_messages(now, messages);
        }
        // While a snapshot waits for earlier writes, the library counts fewer entries as persisted than are applied
        // here.
        if self.unpersisted.is_empty() {
            self.raft.advance_apply_to(self.applied);
        }
    }

    fn update_role(&mut self, now: Time) {
        // Replaces the library's own random timeout with one derived from the seed and the term, so that runs can be
        // reproduced.
        let timeout_ticks =
            ELECTION_TICKS + Pcg64Mcg::seed_from_u64(self.seed ^ self.term()).random_range(0..ELECTION_TICKS);
        self.raft.raft.set_randomized_election_timeout(timeout_ticks);
        let role = self.raft.raft.state;
        if role != self.role {
            self.role = role;
            self.counters.elections += u64::from(role == StateRole::Candidate);
            if role != StateRole::Leader {
                self.led_since = None;
            }
        }
        if self.is_leader() && self.led_since.is_none() && self.raft.raft.commit_to_current_term() {
            self.led_since = Some((self.machine.time(), now));
            self.repair.leadership_started(now);
            self.reported_lost.clear();
            self.snapshots_in_flight.clear();
            self.counters.leaderships += 1;
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
            // Members of the group encode snapshots alike, and there is no other valid state to continue from.
            ::log::error!("group {}: snapshot from the leader can't be decoded", self.number);
        }
        self.raft.mut_store().restore(snapshot);
        self.applied = snapshot.get_metadata().index;
        self.counters.snapshots_installed += 1;
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.applied = entry.index;
            self.counters.applied += 1;
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_command(&entry),
                _ => self.apply_membership_change(&entry),
            }
        }
    }

    fn apply_command(&mut self, entry: &Entry) {
        let Ok(log_entry) = LogEntry::decode(&entry.data[..]) else { return };
        let Some(operation) = log_entry.command.and_then(|c| c.operation) else { return };
        let result = self.machine.apply(Time::from_micros(log_entry.at_us), log_entry.run_id, &operation);
        // Only the leader replies. A former leader may not know yet that it was deposed.
        if log_entry.request_id != 0 && self.is_leader() {
            self.completed.push_back(CompletedProposal {
                run_id: log_entry.run_id,
                request_id: log_entry.request_id,
                result,
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
        // A member that the snapshot's configuration does not list would reject the snapshot.
        self.raft.store().drop_snapshot();
    }

    /// False once the configuration no longer lists this member.
    pub fn is_member(&self) -> bool {
        self.machine.members.contains_key(&self.id) || self.applied == 0
    }
}
