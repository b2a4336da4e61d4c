//! A gateway's part in replication: its memberships in Raft groups, its requests to groups, the known leaders, and
//! the founding of groups. It has no I/O and no clock: the host passes in frames and times and polls outputs until
//! there are none, so that the gateway and the tests drive it alike.
//!
//! Invariant: no group is founded beside one that is known. Invariant: a member that has lost its state never gets
//! its former membership back.

use crate::client::{Client, Leader, Response};
use crate::command::{Command, CommandResult, ImportOutcomes, Operation, OutcomeRecord};
use crate::group::{CompletedProposal, Counters, GroupMember, ProposeError};
use crate::membership_repair::PeerState;
use crate::placement;
use crate::settings::Copies;
use crate::wire::{self, Payload};
use kelpcart::{Span, Time};
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// A peer heard within this many heartbeat intervals counts as live.
const LIVENESS_HEARTBEATS: f64 = 8.0;
/// Interval between queries for a group that is not known.
const FIND_GROUP_INTERVAL: Span = Span::from_millis(200);
/// How long a peer's `GroupStatus` stays valid.
const GROUP_STATUS_TTL: Span = Span::from_millis(1_000);
/// How long a gateway that supports a founder supports no other one.
const FOUNDER_VOTE_TTL: Span = Span::from_millis(3_000);
/// A member that its group no longer lists, or that was invited but never added, is dropped after this time.
const REMOVED_MEMBER_TIMEOUT: Span = Span::from_millis(3_000);
/// Records in one `ImportOutcomes` command.
const MAX_IMPORT_RECORDS: usize = 128;
/// Bytes of answers in one `ImportOutcomes` command, beyond which no further record is added.
const MAX_IMPORT_BYTES: usize = 128 * 1024;
/// Ended memberships that are remembered. A gateway that reaches this number joins no group any more.
const MAX_ENDED_MEMBERSHIPS: usize = 65_536;

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Send the frame over the connection to this holder; a snapshot goes on a stream of its own.
    Send {
        holder: usize,
        frame: Vec<u8>,
        is_snapshot: bool,
    },
    Response(Response),
    /// Write these records to the disk after all earlier ones, then call `writes_persisted` with the mark.
    Write {
        mark: u64,
        records: Vec<OutcomeRecord>,
    },
    /// The group has a new ledger, or its first known one. The new ledger does not know the requests made to the one
    /// before.
    LedgerChanged {
        group: u32,
        ledger: u64,
    },
}

struct GroupSlot {
    preference: Vec<usize>,
    member: Option<GroupMember>,
    since: Time,
    next_find_group: Time,
    /// The holder from which each member was heard, for use while this member does not know the configuration yet.
    routes: BTreeMap<u64, usize>,
    /// The last `GroupStatus` of each holder, with its time of receipt.
    statuses: BTreeMap<usize, (Time, wire::GroupStatus)>,
    /// The founder that this gateway supports, and until when.
    founder_vote: Option<(u64, Time)>,
    /// Since when the leader's configuration has not listed this member.
    excluded_since: Option<Time>,
    was_ready: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    pub founded: u64,
    pub joined: u64,
    pub dropped: u64,
    pub lost_majorities: u64,
    pub frames_in: u64,
    pub bytes_in: u64,
    pub frames_out: u64,
    pub bytes_out: u64,
    pub invalid_frames: u64,
    /// Outcome records submitted to later ledgers.
    pub imported: u64,
    /// Memberships dropped because the raft library panicked.
    pub raft_panics: u64,
}

pub struct Node {
    settings: Copies,
    own_index: usize,
    id: u64,
    rng: Pcg64Mcg,
    peers: Vec<PeerState>,
    groups: Vec<GroupSlot>,
    client: Client,
    /// Ended memberships: messages for them are ignored.
    ended_memberships: BTreeSet<u64>,
    /// By group: outcome records of ledgers that lost their majority, or that were on the disk at the start.
    pending_imports: BTreeMap<u32, VecDeque<OutcomeRecord>>,
    /// Requests that the node itself made, with their groups.
    own_requests: BTreeMap<u64, u32>,
    /// Pending disk writes: the mark, the group, and the group's number for the write.
    writes: VecDeque<(u64, u32, u64)>,
    last_mark: u64,
    /// A write to the disk failed: this gateway holds no replica any more.
    disk_failed: bool,
    leaving: bool,
    started: Time,
    heartbeat_interval: Span,
    heartbeats_sent: u64,
    next_heartbeat: Time,
    next_check: Time,
    pub totals: Totals,
    ended_counters: Counters,
    outputs: VecDeque<Out>,
}

impl Node {
    /// `id`: a run id that no other start of any gateway has. Returns `None` if the settings do not list this
    /// gateway.
    pub fn new(settings: &Copies, id: u64, seed: u64, now: Time) -> Option<Node> {
        let own_index = settings.own_index()?;
        let slot = |group| GroupSlot {
            preference: placement::preference_order(&settings.holders, group),
            member: None,
            since: now,
            next_find_group: now,
            routes: BTreeMap::new(),
            statuses: BTreeMap::new(),
            founder_vote: None,
            excluded_since: None,
            was_ready: false,
        };
        let heartbeat = Span::from_micros(settings.times.election_ms * 500);
        let mut peers = vec![PeerState::new(None, now); settings.holders.len()];
        peers[own_index].run_id = Some(id);
        Some(Node {
            own_index,
            id,
            rng: Pcg64Mcg::seed_from_u64(seed),
            peers,
            groups: (0..settings.groups).map(slot).collect(),
            client: Client::new(Span::from_millis(settings.times.wait_ms), heartbeat * 5.0),
            ended_memberships: BTreeSet::new(),
            pending_imports: BTreeMap::new(),
            own_requests: BTreeMap::new(),
            writes: VecDeque::new(),
            last_mark: 0,
            disk_failed: false,
            leaving: false,
            started: now,
            heartbeat_interval: heartbeat,
            heartbeats_sent: 0,
            next_heartbeat: now,
            next_check: now,
            totals: Totals::default(),
            ended_counters: Counters::default(),
            outputs: VecDeque::new(),
            settings: settings.clone(),
        })
    }

    pub fn id(&self) -> u64 {
        self.id
    }

    pub fn holders(&self) -> usize {
        self.peers.len()
    }

    pub fn group_of(&self, sender: u64) -> u32 {
        placement::group_of(sender, self.settings.groups)
    }

    /// The ledger of a group, if known.
    pub fn ledger(&self, group: u32) -> Option<u64> {
        self.client.ledger(group)
    }

    /// Whether the group has a leader that can accept txns now.
    pub fn has_majority(&self, now: Time, group: u32) -> bool {
        self.client.leader(now, group).is_some()
    }

    pub fn member(&self, group: u32) -> Option<&GroupMember> {
        self.groups.get(group as usize)?.member.as_ref()
    }

    pub fn leader_counts(&self, now: Time) -> (usize, usize) {
        let led = (0..self.settings.groups).filter(|&g| self.has_majority(now, g)).count();
        (led, self.groups.iter().filter(|s| s.member.is_some()).count())
    }

    // Inputs.

    /// The first frame of each connection.
    pub fn hello(&self) -> Vec<u8> {
        wire::encode(Payload::Hello(wire::Hello {
            version: wire::VERSION,
            gateway: self.settings.gateway.clone(),
            run_id: self.id,
            settings_digest: self.settings_digest(),
        }))
    }

    /// Hash of the settings that all holders must agree on: the holders, the number of replicas and the number of
    /// groups.
    fn settings_digest(&self) -> u64 {
        let names: Vec<&str> = self.settings.holders.iter().map(|h| h.name.as_str()).collect();
        let text = format!("{}/{}/{}", names.join(","), self.settings.copies, self.settings.groups);
        xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    }

    /// Handles the first frame of a connection. Returns the holder's index and run id, or why the connection is
    /// refused.
    pub fn hello_received(&mut self, now: Time, bytes: &[u8]) -> Result<(usize, u64), String> {
        let Some(Payload::Hello(hello)) = wire::decode(bytes) else {
            return Err("the first frame is not a Hello".to_owned());
        };
        if hello.version != wire::VERSION {
            return Err(format!("expected protocol version {}, got {}", wire::VERSION, hello.version));
        }
        let holder = self.settings.holders.iter().position(|h| h.name == hello.gateway);
        let Some(holder) = holder.filter(|h| *h != self.own_index) else {
            return Err(format!("{} is not among the holders", hello.gateway));
        };
        if hello.settings_digest != self.settings_digest() {
            return Err(format!("{} has different holders, copies or groups in its settings", hello.gateway));
        }
        if let Some(before) = self.peers[holder].run_id.filter(|id| *id != hello.run_id) {
            self.report_unreachable(before);
        }
        if self.peers[holder].run_id != Some(hello.run_id) {
            self.peers[holder] = PeerState::new(Some(hello.run_id), now);
        }
        self.peers[holder].last_heard = now;
        Ok((holder, hello.run_id))
    }

    /// Handles a frame of a connection whose `Hello` was accepted.
    pub fn frame_received(&mut self, now: Time, holder: usize, id: u64, bytes: &[u8]) {
        self.totals.frames_in += 1;
        self.totals.bytes_in += bytes.len() as u64;
        // The frame is a late one from an earlier start of the holder.
        if self.peers[holder].run_id != Some(id) {
            return;
        }
        let Some(payload) = wire::decode(bytes) else {
            self.totals.invalid_frames += 1;
            return;
        };
        self.peers[holder].last_heard = now;
        match payload {
            Payload::Hello(_) => self.totals.invalid_frames += 1,
            Payload::Heartbeat(heartbeat) => self.heartbeat_received(now, holder, id, &heartbeat),
            Payload::FindGroup(request) => self.find_group_received(now, holder, id, request.group),
            Payload::GroupStatus(status) => {
                if let Some(slot) = self.groups.get_mut(status.group as usize) {
                    slot.statuses.insert(holder, (now, status));
                }
            }
            Payload::RaftMessage(message) => self.raft_message_received(now, holder, &message),
            Payload::Request(request) => self.request_received(now, holder, id, request),
            Payload::Reply(reply) => {
                if let Some(result) = reply.result.and_then(crate::command::ResultMessage::into_result) {
                    self.client.reply_received(reply.request_id, result);
                }
            }
            Payload::Refusal(refusal) => {
                self.client.refusal_received(now, id, refusal.request_id, refusal.busy)
            }
        }
        self.process(now);
    }

    /// The connection to a holder was lost.
    pub fn connection_lost(&mut self, now: Time, holder: usize) {
        if let Some(id) = self.peers[holder].run_id {
            self.report_unreachable(id);
        }
        self.process(now);
    }

    fn report_unreachable(&mut self, id: u64) {
        (0..self.groups.len()).for_each(|group| _ = self.with_member(group, |m| m.report_unreachable(id)));
    }

    /// Calls `what` on a member. If the raft library panics on its input, the membership is dropped and the reason
    /// logged, so that it neither votes on a state it can't trust nor ends the process.
    fn with_member<T>(&mut self, group: usize, what: impl FnOnce(&mut GroupMember) -> T) -> Option<T> {
        let member = self.groups.get_mut(group)?.member.as_mut()?;
        // The member is dropped after a panic, so its inconsistent state is never read.
        match catch_unwind(AssertUnwindSafe(|| what(member))) {
            Ok(completed) => Some(completed),
            Err(_) => {
                self.totals.raft_panics += 1;
                self.drop_member(group as u32, "the raft library panicked");
                None
            }
        }
    }

    /// Submits an operation to a group. The result comes as an `Out::Response` with the returned request id.
    pub fn submit(&mut self, now: Time, group: u32, importance: u32, operation: Operation) -> u64 {
        let request_id = self.client.submit(now, group, importance, operation);
        self.process(now);
        request_id
    }

    pub fn cancel(&mut self, request_id: u64) {
        self.client.cancel(request_id);
    }

    /// Queues the outcome records that were on the disk at the start for import by the current ledgers.
    pub fn recover(&mut self, records: Vec<OutcomeRecord>) {
        for record in records {
            let sender = record.end.as_ref().and_then(|e| e.key).map_or(0, |k| k.sender);
            let group = self.group_of(sender);
            self.queue_import(group, record);
        }
    }

    fn queue_member_imports(&mut self, group: u32) {
        let member = self.groups[group as usize].member.as_ref();
        let known = member.map(|m| m.machine().outcome_records()).unwrap_or_default();
        known.into_iter().for_each(|record| self.queue_import(group, record));
    }

    fn queue_import(&mut self, group: u32, record: OutcomeRecord) {
        let pending = self.pending_imports.entry(group).or_default();
        if pending.len() >= self.settings.bounds.entries {
            pending.pop_front();
        }
        pending.push_back(record);
    }

    /// All writes up to the mark are on the disk.
    pub fn writes_persisted(&mut self, now: Time, mark: u64) {
        while let Some((at, group, number)) = self.writes.pop_front_if(|m| m.0 <= mark) {
            debug_assert!(at <= mark);
            self.with_member(group as usize, |m| m.outcomes_persisted(now, number));
        }
        self.process(now);
    }

    /// A write to the disk failed. The memberships are dropped, since a member that has not persisted an outcome must
    /// not acknowledge it.
    pub fn write_failed(&mut self, now: Time) {
        self.disk_failed = true;
        self.writes.clear();
        (0..self.settings.groups).for_each(|group| self.drop_member(group, "a write to the disk failed"));
        self.process(now);
    }

    /// Applies the reloaded list of holders that are lost for good.
    pub fn set_lost_holders(&mut self, names: &BTreeSet<String>) {
        self.settings.lost.clone_from(names);
    }

    fn is_lost(&self, holder: usize) -> bool {
        self.settings.lost.contains(&self.settings.holders[holder].name)
    }

    /// Begins an orderly shutdown: other gateways replace this one in its groups.
    pub fn leave(&mut self, now: Time) {
        self.leaving = true;
        self.peers[self.own_index].leaving = true;
        self.next_heartbeat = now;
    }

    /// Whether this gateway is leaving and is a voter of no group any more.
    pub fn has_left(&self) -> bool {
        self.leaving
            && self.groups.iter().all(|s| s.member.as_ref().is_none_or(|m| !m.voters().contains(&m.id)))
    }

    fn heartbeat_received(&mut self, now: Time, holder: usize, id: u64, heartbeat: &wire::Heartbeat) {
        let peer = &mut self.peers[holder];
        if heartbeat.sequence <= peer.sequence {
            return;
        }
        (peer.sequence, peer.leaving) = (heartbeat.sequence, heartbeat.leaving);
        peer.memberships = heartbeat.memberships.iter().map(|h| (h.group, h.id)).collect();
        for lead in &heartbeat.leaderships {
            self.leadership_announced(now, id, lead);
        }
    }

    /// Handles the announcement of a group's leader, which may be this gateway.
    fn leadership_announced(&mut self, now: Time, id: u64, lead: &wire::Leadership) {
        let Some(slot) = self.groups.get_mut(lead.group as usize) else { return };
        if let Some(member) = slot.member.as_ref().filter(|_| id != self.id) {
            let other_ledger = member.ledger != lead.ledger;
            // Two ledgers were founded for one group: both leaders decide by the same rule which one gives way.
            let gives_way =
                member.is_leader() && (lead.ready, lead.ledger) > (member.is_ready(), member.ledger);
            let is_listed = lead.members.contains(&member.id);
            let is_newer = lead.term >= member.term();
            if other_ledger && member.is_leader() && !gives_way || !other_ledger && (is_listed || !is_newer) {
                slot.excluded_since = None;
            } else {
                let since = *slot.excluded_since.get_or_insert(now);
                if gives_way || now - since >= REMOVED_MEMBER_TIMEOUT {
                    if other_ledger {
                        self.queue_member_imports(lead.group);
                    }
                    self.drop_member(lead.group, "the group's configuration does not list it");
                }
            }
        }
        let leader =
            Leader { ledger: lead.ledger, term: lead.term, run_id: id, ready: lead.ready, last_heard: now };
        if self.client.leader_announced(now, lead.group, leader) {
            self.outputs.push_back(Out::LedgerChanged { group: lead.group, ledger: lead.ledger });
        }
    }

    fn drop_member(&mut self, group: u32, reason: &str) {
        let slot = &mut self.groups[group as usize];
        let Some(member) = slot.member.take() else { return };
        ::log::warn!("group {group}: membership dropped: {reason}");
        slot.excluded_since = None;
        slot.statuses.clear();
        self.totals.dropped += 1;
        self.ended_memberships.insert(member.id);
        self.writes.retain(|m| m.1 != group);
        add_counters(&mut self.ended_counters, &member.counters);
    }

    /// A gateway looks for a group, and may found it if no gateway knows it.
    fn find_group_received(&mut self, now: Time, holder: usize, id: u64, group: u32) {
        let Some(slot) = self.groups.get_mut(group as usize) else { return };
        let led_ledger = self.client.leader(now, group).map(|l| l.ledger);
        // An invited member that has received no state knows of no accepted txn, so it must not block the founding.
        let initialized = slot.member.as_ref().filter(|m| !m.voters().is_empty());
        let ledger = initialized.map(|m| m.ledger).or(led_ledger).unwrap_or(0);
        let is_free = slot.founder_vote.is_none_or(|(founder, until)| founder == id || until <= now);
        let supports_founder = ledger == 0 && is_free;
        if supports_founder {
            slot.founder_vote = Some((id, now + FOUNDER_VOTE_TTL));
        }
        self.send(holder, Payload::GroupStatus(wire::GroupStatus { group, ledger, supports_founder }), false);
    }

    fn raft_message_received(&mut self, now: Time, holder: usize, message: &wire::RaftMessage) {
        let Some(slot) = self.groups.get_mut(message.group as usize) else { return };
        if message.to_run_id != self.id {
            return;
        }
        let free = slot.member.is_none() && !self.disk_failed;
        let called = if free { invited_membership(&message.message) } else { None };
        if let Some(id) = called.filter(|id| {
            self.ended_memberships.len() < MAX_ENDED_MEMBERSHIPS && !self.ended_memberships.contains(id)
        }) {
            let seed = self.rng.random();
            slot.member =
                GroupMember::join(&self.settings, (message.group, message.ledger), (id, self.id), seed, now);
            (slot.since, slot.excluded_since) = (now, None);
            slot.routes.clear();
            self.totals.joined += 1;
        }
        slot.routes.insert(message.from, holder);
        self.with_member(message.group as usize, |m| {
            if m.ledger == message.ledger {
                m.receive(&message.message);
            }
        });
    }

    /// A gateway's request, to be replicated if this gateway leads the group.
    fn request_received(&mut self, now: Time, holder: usize, id: u64, request: wire::Request) {
        let (group, request_id) = (request.group, request.request_id);
        let error = match request.command {
            Some(command) => {
                self.propose(now, id, group, request.ledger, request_id, request.importance, command)
            }
            None => None,
        };
        if let Some(error) = error {
            self.send(
                holder,
                Payload::Refusal(wire::Refusal { group, request_id, busy: error == ProposeError::Busy }),
                false,
            );
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of a request")]
    fn propose(
        &mut self,
        now: Time,
        run_id: u64,
        group: u32,
        ledger: u64,
        request_id: u64,
        importance: u32,
        command: Command,
    ) -> Option<ProposeError> {
        let asked = self.with_member(group as usize, |m| {
            if m.ledger == ledger {
                m.propose(now, run_id, request_id, importance, command)
            } else {
                Err(ProposeError::NotLeader)
            }
        });
        asked.unwrap_or(Err(ProposeError::NotLeader)).err()
    }

    // Time.

    pub fn next_wake(&self) -> Time {
        let members = self.groups.iter().filter_map(|s| s.member.as_ref()).map(GroupMember::next_wake);
        let at = self.next_heartbeat.min(self.next_check);
        let at = self.client.next_wake().map_or(at, |asks| asks.min(at));
        members.fold(at, Time::min)
    }

    pub fn tick(&mut self, now: Time) {
        self.peers[self.own_index].last_heard = now;
        for group in 0..self.groups.len() {
            // Moved out for the call, since `with_member` borrows all of `self`.
            let (preference, peers) =
                (std::mem::take(&mut self.groups[group].preference), std::mem::take(&mut self.peers));
            let holders = std::mem::take(&mut self.settings.holders);
            self.with_member(group, |m| m.tick(now, &holders, &preference, &peers));
            (self.groups[group].preference, self.peers, self.settings.holders) = (preference, peers, holders);
        }
        if now >= self.next_check {
            self.next_check = now + self.heartbeat_interval;
            (0..self.settings.groups).for_each(|group| self.check_group(now, group));
        }
        self.client.tick(now);
        self.process(now);
        if now >= self.next_heartbeat {
            self.send_heartbeat(now);
        }
    }

    /// Sends a heartbeat with the groups led and the memberships held.
    fn send_heartbeat(&mut self, now: Time) {
        self.next_heartbeat = now + self.heartbeat_interval;
        let lead = |m: &GroupMember| wire::Leadership {
            group: m.number,
            ledger: m.ledger,
            term: m.term(),
            ready: m.is_ready(),
            members: m.members().map(|m| m.id).collect(),
        };
        let members = self.groups.iter().filter_map(|s| s.member.as_ref());
        let leads: Vec<wire::Leadership> = members.filter(|m| m.is_leader()).map(lead).collect();
        leads.iter().for_each(|l| self.leadership_announced(now, self.id, l));
        let members = self.groups.iter().filter_map(|s| s.member.as_ref());
        let holds = members.map(|m| wire::Membership { group: m.number, id: m.id }).collect();
        self.heartbeats_sent += 1;
        let heartbeat = Payload::Heartbeat(wire::Heartbeat {
            leaderships: leads,
            leaving: self.leaving,
            sequence: self.heartbeats_sent,
            memberships: holds,
        });
        self.send_all(&heartbeat);
    }

    fn is_live(&self, now: Time, holder: usize) -> bool {
        holder == self.own_index
            || self.peers[holder].run_id.is_some()
                && now - self.peers[holder].last_heard < self.heartbeat_interval * LIVENESS_HEARTBEATS
    }

    /// Drops a membership whose group can't elect a leader any more, and founds a group that no gateway knows.
    fn check_group(&mut self, now: Time, group: u32) {
        let slot = &self.groups[group as usize];
        if let Some(member) = &slot.member {
            if self.client.leader(now, group).is_some() {
                return self.submit_imports(now, group);
            }
            if member.is_leader() {
                return;
            }
            let lost_state = |id: &u64| {
                let Some(peer_member) = member.member(*id) else { return false };
                if self.is_lost(peer_member.holder as usize) {
                    return true;
                }
                let peers = self.peers.get(peer_member.holder as usize);
                peer_member.id != member.id
                    && peers.is_some_and(|h| h.lost_state(group, peer_member.run_id, peer_member.id))
            };
            // During a joint configuration change both the old and the new configuration need a majority.
            let members = &member.log().conf_state;
            let majority_lost = |voters: &[u64]| {
                let remaining = voters.iter().filter(|v| !lost_state(v)).count();
                !voters.is_empty() && remaining <= voters.len() / 2
            };
            let initialized = !members.voters.is_empty();
            if majority_lost(&members.voters) || majority_lost(&members.voters_outgoing) {
                self.totals.lost_majorities += 1;
                // The outcomes known here are imported into the ledger that follows.
                self.queue_member_imports(group);
                self.drop_member(group, "a majority of its group has lost its state");
            } else if !initialized && now - slot.since >= REMOVED_MEMBER_TIMEOUT {
                self.drop_member(group, "it was invited but never added");
            }
            return;
        }
        if self.client.leader(now, group).is_some() {
            return self.submit_imports(now, group);
        }
        if self.leaving || self.disk_failed {
            return;
        }
        let preferred = slot.preference.iter().copied().find(|&h| self.is_live(now, h));
        let settled = now - self.started >= self.heartbeat_interval * LIVENESS_HEARTBEATS
            || (0..self.peers.len()).all(|h| self.is_live(now, h) || self.is_lost(h));
        if preferred != Some(self.own_index) || !settled {
            return;
        }
        let is_fresh = |at: Time| now - at < GROUP_STATUS_TTL;
        let statuses: Vec<wire::GroupStatus> =
            slot.statuses.values().filter(|s| is_fresh(s.0)).map(|s| s.1).collect();
        let known = statuses.iter().any(|h| h.ledger != 0);
        let may_found = slot.founder_vote.is_none_or(|(of, until)| of == self.id || until <= now);
        let supporters = statuses.iter().filter(|h| h.supports_founder).count() + 1;
        let eligible = (0..self.peers.len()).filter(|&h| !self.is_lost(h)).count();
        if !known && may_found && supporters > eligible / 2 {
            return self.found_group(now, group);
        }
        if now >= slot.next_find_group {
            let slot = &mut self.groups[group as usize];
            slot.next_find_group = now + FIND_GROUP_INTERVAL;
            if may_found {
                slot.founder_vote = Some((self.id, now + FOUNDER_VOTE_TTL));
            }
            let request = Payload::FindGroup(wire::FindGroup { group });
            self.send_all(&request);
        }
    }

    /// Submits the outcomes of earlier ledgers to the group, one batch at a time.
    fn submit_imports(&mut self, now: Time, group: u32) {
        let Some(ledger) = self.client.ledger(group) else { return };
        if self.own_requests.values().any(|g| *g == group) {
            return;
        }
        let Some(pending) = self.pending_imports.get_mut(&group) else { return };
        let (mut records, mut bytes) = (Vec::new(), 0);
        while let Some(record) =
            pending.pop_front_if(|_| records.len() < MAX_IMPORT_RECORDS && bytes < MAX_IMPORT_BYTES)
        {
            bytes += record.end.as_ref().and_then(|e| e.answer.as_ref()).map_or(0, |a| a.body.len());
            if record.ledger != ledger {
                records.push(record);
            }
        }
        if pending.is_empty() {
            self.pending_imports.remove(&group);
        }
        if !records.is_empty() {
            self.totals.imported += records.len() as u64;
            let request_id =
                self.client.submit(now, group, 9, Operation::ImportOutcomes(ImportOutcomes { records }));
            self.own_requests.insert(request_id, group);
        }
    }

    fn found_group(&mut self, now: Time, group: u32) {
        let (ledger, seed) = (self.rng.random_range(1..=u64::MAX), self.rng.random());
        let slot = &mut self.groups[group as usize];
        slot.member = GroupMember::bootstrap(&self.settings, group, ledger, self.id, seed, now);
        (slot.since, slot.excluded_since) = (now, None);
        slot.statuses.clear();
        self.totals.founded += 1;
        ::log::info!("group {group}: founded with ledger {ledger:016x}");
    }

    pub fn poll(&mut self) -> Option<Out> {
        self.outputs.pop_front()
    }

    fn send(&mut self, holder: usize, payload: Payload, is_snapshot: bool) {
        self.totals.frames_out += 1;
        let frame = wire::encode(payload);
        self.totals.bytes_out += frame.len() as u64;
        self.outputs.push_back(Out::Send { holder, frame, is_snapshot });
    }

    fn send_all(&mut self, payload: &Payload) {
        for holder in (0..self.peers.len()).filter(|h| *h != self.own_index).collect::<Vec<_>>() {
            self.send(holder, payload.clone(), false);
        }
    }

    fn send_to(&mut self, id: u64, payload: Payload, is_snapshot: bool) {
        let holder = self.peers.iter().position(|h| h.run_id == Some(id));
        match holder {
            Some(holder) if holder != self.own_index => self.send(holder, payload, is_snapshot),
            _ => self.report_unreachable(id),
        }
    }

    /// Processes requests and group events until there are none left.
    fn process(&mut self, now: Time) {
        loop {
            let mut moved = false;
            for send in std::mem::take(&mut self.client.outgoing) {
                moved = true;
                let crate::client::OutgoingRequest { to, group, ledger, request_id, importance, command } =
                    send;
                if to == self.id {
                    let refused = self.propose(now, to, group, ledger, request_id, importance, command);
                    if let Some(why) = refused {
                        self.client.refusal_received(now, to, request_id, why == ProposeError::Busy);
                    }
                } else {
                    let command = Some(command);
                    self.send_to(
                        to,
                        Payload::Request(wire::Request { group, ledger, request_id, importance, command }),
                        false,
                    );
                }
            }
            for group in 0..self.groups.len() {
                moved |= self.process_group(now, group);
            }
            if !moved {
                break;
            }
        }
        for response in std::mem::take(&mut self.client.responses) {
            match self.own_requests.remove(&response.request_id) {
                // If the ledger was replaced meanwhile, the members that hold these records import them again.
                Some(group) => {
                    if response.result == Ok(CommandResult::Recorded) {
                        self.submit_imports(now, group);
                    }
                }
                None => self.outputs.push_back(Out::Response(response)),
            }
        }
    }

    /// Processes one group's events. Returns whether there were any.
    fn process_group(&mut self, now: Time, group: usize) -> bool {
        self.with_member(group, |m| m.process_ready(now));
        let Some(member) = &mut self.groups[group].member else { return false };
        let (outbound, completed) =
            (std::mem::take(&mut member.outbound), std::mem::take(&mut member.completed));
        for (number, records) in std::mem::take(&mut member.outcome_writes) {
            self.last_mark += 1;
            self.writes.push_back((self.last_mark, group as u32, number));
            self.outputs.push_back(Out::Write { mark: self.last_mark, records });
        }
        let (number, ledger, ready) = (member.number, member.ledger, member.is_ready());
        let moved = !outbound.is_empty() || !completed.is_empty();
        for one in outbound {
            // A member that has not received the configuration yet replies to the holder that it was contacted from.
            let slot = &self.groups[group];
            let known =
                slot.member.as_ref().and_then(|m| m.member(one.to)).map(|m| (m.holder as usize, m.run_id));
            let route = || slot.routes.get(&one.to).and_then(|&h| Some((h, self.peers[h].run_id?)));
            let Some((holder, to_run)) = known.or_else(route) else { continue };
            let payload = wire::RaftMessage {
                group: number,
                ledger,
                message: one.message,
                to_run_id: to_run,
                from: one.from,
            };
            if self.peers.get(holder).is_some_and(|h| h.run_id == Some(to_run)) && holder != self.own_index {
                self.send(holder, Payload::RaftMessage(payload), one.is_snapshot);
            } else {
                self.report_unreachable(to_run);
            }
        }
        for CompletedProposal { run_id, request_id, result } in completed {
            if run_id == self.id {
                self.client.reply_received(request_id, result);
            } else {
                let result = Some((&result).into());
                self.send_to(
                    run_id,
                    Payload::Reply(wire::Reply { group: number, request_id, result }),
                    false,
                );
            }
        }
        // Announced at once, since requests may be waiting for a leader.
        if std::mem::replace(&mut self.groups[group].was_ready, ready) != ready {
            ::log::info!("group {group}: {}", if ready { "led here" } else { "not led here any more" });
            self.send_heartbeat(now);
            return true;
        }
        moved
    }

    /// Counters of all memberships, including ended ones.
    pub fn counters(&self) -> Counters {
        let mut all = self.ended_counters;
        self.groups
            .iter()
            .filter_map(|s| s.member.as_ref())
            .for_each(|m| add_counters(&mut all, &m.counters));
        all
    }

    pub fn sizes(&self) -> [(&'static str, usize); 11] {
        let members = || self.groups.iter().filter_map(|s| s.member.as_ref());
        [
            ("copies held", members().count()),
            ("copies voting", members().filter(|m| m.voters().contains(&m.id)).count()),
            ("copies led", members().filter(|m| m.is_leader()).count()),
            ("copies entries", members().map(|m| m.machine().len()).sum()),
            ("copies bytes", members().map(|m| m.machine().bytes()).sum()),
            ("copies steps kept", members().map(|m| m.log().len()).sum()),
            ("copies steps bytes", members().map(|m| m.log().bytes()).sum()),
            ("copies image bytes", members().map(|m| m.log().snapshot_bytes()).sum()),
            ("copies questions open", self.client.len()),
            ("copies writes waiting", self.writes.len()),
            ("copies endings of ledgers before", members().map(|m| m.machine().imported()).sum()),
        ]
    }

    /// Requests that were refused for want of a majority or of room, and those that got no reply in time.
    pub fn failed_requests(&self) -> (u64, u64) {
        (self.client.refused, self.client.timed_out)
    }

    /// Checks the invariants that hold after every input; for tests.
    pub fn check_invariants(&self) -> Result<(), String> {
        let ids: BTreeSet<u64> = self.peers.iter().filter_map(|h| h.run_id).collect();
        if ids.len() != self.peers.iter().filter(|h| h.run_id.is_some()).count() {
            return Err("two holders have the same run id".to_owned());
        }
        for member in self.groups.iter().filter_map(|s| s.member.as_ref()) {
            if member.machine().len() > self.settings.bounds.entries {
                return Err(format!("group {}: more entries than its limit", member.number));
            }
            let (steps, most) =
                (member.log().len(), self.settings.bounds.log + 2 * self.settings.bounds.waiting + 1_024);
            if steps > most {
                return Err(format!("group {}: {steps} log entries kept", member.number));
            }
        }
        Ok(())
    }
}

/// The membership that a leader's message invites this gateway to. Vote requests create no membership.
fn invited_membership(bytes: &[u8]) -> Option<u64> {
    let from_leader =
        |kind| matches!(kind, MessageType::MsgAppend | MessageType::MsgHeartbeat | MessageType::MsgSnapshot);
    let message = Message::parse_from_bytes(bytes).ok()?;
    (from_leader(message.get_msg_type()) && message.to != 0).then_some(message.to)
}

fn add_counters(all: &mut Counters, more: &Counters) {
    all.elections += more.elections;
    all.leaderships += more.leaderships;
    all.proposed += more.proposed;
    all.busy += more.busy;
    all.applied += more.applied;
    all.snapshots_created += more.snapshots_created;
    all.snapshots_installed += more.snapshots_installed;
    all.replaced += more.replaced;
}

/// The frame with its length in front (4 bytes, big endian).
pub fn length_prefixed(frame: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(4 + frame.len());
    out.extend((frame.len() as u32).to_be_bytes());
    out.extend_from_slice(frame);
    out
}
