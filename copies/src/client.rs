//! This gateway's pending requests to groups: where each is sent, when it is retransmitted and when it fails.
//!
//! Invariant: a request to accept a txn or to register a sender is refused at once if no leader is known.

use crate::command::{Command, CommandResult, Operation};
use kelpcart::{Span, Time};
use kelpcart_sites::acceptor::AcceptResult;
use kelpcart_sites::ledger::Lookup;
use std::collections::BTreeMap;

/// A request without a reply is sent again after this time, since the leader may have changed.
const RETRANSMIT_INTERVAL: Span = Span::from_millis(150);
/// An outcome that can't be replicated is retried for this long. By then the gateway counts as lost and the txn is
/// unknown.
const OUTCOME_TIMEOUT: Span = Span::from_millis(30_000);
/// Pending requests of this gateway.
pub const MAX_PENDING: usize = 16_384;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request was not sent, or was refused without effect.
    NotSent,
    /// The command may be in a group's log. Nobody but this gateway may act on it.
    Unconfirmed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub request_id: u64,
    pub result: Result<CommandResult, RequestError>,
}

/// What the acceptor may do after a request to accept a txn, submitted and answered at these times. `lease`: how long
/// after submission it may run the txn; no ledger reports it as lost before that, but one may afterwards.
pub fn accept_result(
    result: Result<CommandResult, RequestError>,
    submitted: Time,
    received: Time,
    lease: Span,
) -> AcceptResult {
    match result {
        // A gateway that was stopped in between may count as lost by now.
        Ok(CommandResult::Granted) if received - submitted < lease => AcceptResult::Granted,
        Ok(CommandResult::Running) => AcceptResult::Running,
        Ok(CommandResult::Ended(answer)) => AcceptResult::Ended(answer),
        Ok(CommandResult::Unknown) => AcceptResult::Unknown,
        // Nobody but this gateway may run the txn, and it does not.
        _ => AcceptResult::NotAccepted,
    }
}

/// A group's answer about a txn's status; `None` if there is none.
pub fn lookup_result(result: Result<CommandResult, RequestError>) -> Option<Lookup> {
    Some(match result.ok()? {
        CommandResult::NeverAccepted => Lookup::NeverAccepted,
        CommandResult::Running => Lookup::Running,
        CommandResult::Ended(answer) => Lookup::Ended(answer),
        _ => Lookup::Unknown,
    })
}

#[derive(Debug)]
struct Pending {
    group: u32,
    importance: u32,
    command: Command,
    deadline: Time,
    /// Run id of the gateway that the request was last sent to, and when.
    sent: Option<(u64, Time)>,
    /// Whether the request was ever sent to a leader.
    was_sent: bool,
}

/// The last known leader of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leader {
    pub ledger: u64,
    pub term: u64,
    /// Run id of the leading gateway.
    pub run_id: u64,
    pub ready: bool,
    pub last_heard: Time,
}

#[derive(Debug, PartialEq)]
pub struct OutgoingRequest {
    pub to: u64,
    pub group: u32,
    pub ledger: u64,
    pub request_id: u64,
    pub importance: u32,
    pub command: Command,
}

#[derive(Debug)]
pub struct Client {
    request_timeout: Span,
    /// A leader that has not been heard for this time no longer counts as leader.
    leader_timeout: Span,
    leaders: BTreeMap<u32, Leader>,
    pending: BTreeMap<u64, Pending>,
    last_request_id: u64,
    pub responses: Vec<Response>,
    pub outgoing: Vec<OutgoingRequest>,
    pub refused: u64,
    pub timed_out: u64,
}

impl Client {
    pub fn new(request_timeout: Span, leader_timeout: Span) -> Client {
        Client {
            request_timeout,
            leader_timeout,
            leaders: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_request_id: 0,
            responses: Vec::new(),
            outgoing: Vec::new(),
            refused: 0,
            timed_out: 0,
        }
    }

    /// The leader, if it was heard recently and is ready to accept commands.
    pub fn leader(&self, now: Time, group: u32) -> Option<Leader> {
        let is_current = |l: &&Leader| l.ready && now - l.last_heard < self.leader_timeout;
        self.leaders.get(&group).filter(is_current).copied()
    }

    /// The group's current ledger, if known. A new ledger has none of the old one's state.
    pub fn ledger(&self, group: u32) -> Option<u64> {
        self.leaders.get(&group).map(|l| l.ledger)
    }

    /// Handles a leader's announcement. Returns whether the group has a new ledger.
    pub fn leader_announced(&mut self, now: Time, group: u32, leader: Leader) -> bool {
        let before = self.leaders.get(&group).copied();
        if let Some(known) = before {
            let same = known.ledger == leader.ledger;
            let stale = same && known.term > leader.term;
            let rival = !same && now - known.last_heard < self.leader_timeout && known.ready;
            if stale || rival {
                return false;
            }
        }
        self.leaders.insert(group, leader);
        let changed = before.is_none_or(|b| b.run_id != leader.run_id || b.ready != leader.ready);
        if changed && leader.ready {
            let waiting: Vec<u64> =
                self.pending.iter().filter(|(_, p)| p.group == group).map(|(id, _)| *id).collect();
            waiting.into_iter().for_each(|request_id| self.transmit(now, request_id));
        }
        before.is_none_or(|b| b.ledger != leader.ledger)
    }

    /// Submits an operation to a group. Returns the request id under which the response will come.
    pub fn submit(&mut self, now: Time, group: u32, importance: u32, operation: Operation) -> u64 {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let needs_leader = matches!(operation, Operation::Accept(_) | Operation::RegisterSender(_));
        let timeout =
            if matches!(operation, Operation::End(_)) { OUTCOME_TIMEOUT } else { self.request_timeout };
        if self.pending.len() >= MAX_PENDING || needs_leader && self.leader(now, group).is_none() {
            self.refused += 1;
            self.responses.push(Response { request_id, result: Err(RequestError::NotSent) });
            return request_id;
        }
        let command = Command { operation: Some(operation) };
        let deadline = now + timeout;
        self.pending.insert(
            request_id,
            Pending { group, importance, command, deadline, sent: None, was_sent: false },
        );
        self.transmit(now, request_id);
        request_id
    }

    /// Drops a request whose result is no longer needed.
    pub fn cancel(&mut self, request_id: u64) {
        self.pending.remove(&request_id);
    }

    fn transmit(&mut self, now: Time, request_id: u64) {
        let Some(group) = self.pending.get(&request_id).map(|p| p.group) else { return };
        let Some(leader) = self.leader(now, group) else { return };
        let Some(p) = self.pending.get_mut(&request_id) else { return };
        p.sent = Some((leader.run_id, now));
        p.was_sent = true;
        self.outgoing.push(OutgoingRequest {
            to: leader.run_id,
            group,
            ledger: leader.ledger,
            request_id,
            importance: p.importance,
            command: p.command.clone(),
        });
    }

    pub fn reply_received(&mut self, request_id: u64, result: CommandResult) {
        if self.pending.remove(&request_id).is_some() {
            self.responses.push(Response { request_id, result: Ok(result) });
        }
    }

    /// The gateway that the request was sent to has refused it without effect.
    pub fn refusal_received(&mut self, now: Time, from: u64, request_id: u64, busy: bool) {
        let Some(p) = self.pending.get_mut(&request_id) else { return };
        if p.sent.is_none_or(|(to, _)| to != from) {
            return;
        }
        if busy {
            self.pending.remove(&request_id);
            self.refused += 1;
            self.responses.push(Response { request_id, result: Err(RequestError::NotSent) });
            return;
        }
        let group = p.group;
        p.sent = None;
        // The gateway does not lead any more, or not yet; its next heartbeat tells which.
        if self.leaders.get(&group).is_some_and(|l| l.run_id == from) {
            self.leaders.entry(group).and_modify(|l| l.ready = false);
        }
        self.transmit(now, request_id);
    }

    pub fn tick(&mut self, now: Time) {
        let expired: Vec<u64> =
            self.pending.iter().filter(|(_, p)| p.deadline <= now).map(|(id, _)| *id).collect();
        for request_id in expired {
            if let Some(p) = self.pending.remove(&request_id) {
                self.timed_out += 1;
                let error = if p.was_sent { RequestError::Unconfirmed } else { RequestError::NotSent };
                self.responses.push(Response { request_id, result: Err(error) });
            }
        }
        let due = |p: &Pending| p.sent.is_none_or(|(_, at)| now - at >= RETRANSMIT_INTERVAL);
        let due: Vec<u64> = self.pending.iter().filter(|(_, p)| due(p)).map(|(id, _)| *id).collect();
        due.into_iter().for_each(|request_id| self.transmit(now, request_id));
    }

    pub fn next_wake(&self) -> Option<Time> {
        let wake_at =
            |p: &Pending| p.sent.map_or(p.deadline, |(_, at)| p.deadline.min(at + RETRANSMIT_INTERVAL));
        self.pending.values().map(wake_at).min()
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
