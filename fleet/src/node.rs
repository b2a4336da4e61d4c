//! One gateway of a fleet: membership, relay and leases behind one set of inputs, driven in the same way by the
//! gateway's host and by tests. The host passes in datagrams, discovery's events and the time, and polls for outputs
//! until there are none.
//!
//! Invariants: no I/O and no clock in here. The host never depends on an output in order to serve: without any it
//! goes on like a single gateway.

use crate::lease::{self, BudgetKey, Decision, Leases};
use crate::list::{List, ListError};
use crate::members::{Disposition, Members, Name};
use crate::relay::{self, Relay};
use crate::seal::{Keys, OpenError};
use crate::settings::{self, Fleet};
use crate::wire::{Packet, Part, Payload};
use kelpcart::{Span, Time};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Datagram(SocketAddr, Vec<u8>),
    /// An event for the host, a line of JSON.
    Event(Vec<u8>),
    Decision(u64, Decision),
    Contended(BudgetKey),
}

/// Progress of the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Joining,
    /// Other members are known, the list is not.
    Joined,
    /// The list is known and the fleet is cold: first fills are limited.
    Warming,
    Serving,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    pub datagrams_in: u64,
    pub bytes_in: u64,
    pub datagrams_out: u64,
    pub bytes_out: u64,
}

pub struct Node {
    pub members: Members,
    pub relay: Relay,
    pub leases: Leases,
    keys: Keys,
    fleet: String,
    packet_number: u64,
    next_due: Time,
    warming_period: Span,
    limits_fills: bool,
    list_received_at: Option<Time>,
    pub traffic: Traffic,
    pub refused: BTreeMap<OpenError, u64>,
    outbox: VecDeque<Output>,
}

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("keys: a secret is not a string of hex digits")]
    Keys,
    #[error("initial events: {0}")]
    InitialEvents(#[from] ListError),
}

impl Node {
    /// `run` is unique to this start. `version` and `initial_events` are what the host knows already.
    pub fn new(
        file: &Fleet,
        run: u64,
        seed: u64,
        now: Time,
        version: u64,
        initial_events: &[Value],
    ) -> Result<Node, StartError> {
        let keys = Keys::new(&file.fleet, &file.keys).ok_or(StartError::Keys)?;
        let mut list = List::new(version, file.relays.most_kb * 1024);
        list.load_initial(initial_events)?;
        let members = Members::new(file, run, seed, now);
        let own = members.name.clone();
        let limits_fills = file.budgets.fills.is_some() || file.budgets.fills_at_cache.is_some();
        Ok(Node {
            members,
            relay: Relay::new(file, list, seed.rotate_left(17), now),
            leases: Leases::new(file.budgets.clone(), own, now),
            keys,
            fleet: file.fleet.clone(),
            packet_number: 0,
            next_due: now,
            warming_period: Span::from_millis(file.budgets.warming_ms),
            limits_fills,
            list_received_at: None,
            traffic: Traffic::default(),
            refused: BTreeMap::new(),
            outbox: VecDeque::new(),
        })
    }

    /// Replaces the keys. Returns `false`, and keeps the old ones, if the new ones can't be used.
    pub fn rekey(&mut self, keys: &[settings::Key]) -> bool {
        let replacement = Keys::new(&self.fleet, keys);
        let usable = replacement.is_some();
        if let Some(replacement) = replacement {
            self.keys = replacement;
        }
        usable
    }

    pub fn phase(&self) -> Phase {
        if self.relay.has_list() {
            if self.relay.warm { Phase::Serving } else { Phase::Warming }
        } else if self.members.joined() {
            Phase::Joined
        } else {
            Phase::Joining
        }
    }

    /// Detects that the process was stopped, on whichever input comes first after it.
    fn detect_pause(&mut self, now: Time) {
        self.members.detect_pause(now, self.next_due);
        self.next_due = self.next_due.max(now);
    }

    // Inputs.

    pub fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.detect_pause(now);
        self.traffic.datagrams_in += 1;
        self.traffic.bytes_in += bytes.len() as u64;
        let packet = match self.keys.open(bytes) {
            Ok(packet) => packet,
            Err(reason) => {
                *self.refused.entry(reason).or_default() += 1;
                return;
            }
        };
        match self.members.receive(now, from, &packet) {
            Disposition::Accepted => self.handle_packet(now, packet),
            Disposition::Unverified => {
                for part in &packet.parts {
                    if let Some(Payload::Challenge(nonce)) = part.payload {
                        let joining = self.members.wants_to_join();
                        self.members.answer_challenge(from, packet.run, nonce, joining);
                    }
                }
            }
            Disposition::Dropped => {}
        }
        self.collect_output(now);
    }

    fn handle_packet(&mut self, now: Time, packet: Packet) {
        let from = Name::from(packet.from.as_str());
        for payload in packet.parts.iter().filter_map(|p| p.payload.as_ref()) {
            match payload {
                Payload::Challenge(nonce) => {
                    let address = self.members.get(&from).map(|k| k.address);
                    if let Some(to) = address {
                        self.members.answer_challenge(to, packet.run, *nonce, false);
                    }
                }
                Payload::Subscribe(_)
                | Payload::Heartbeat(_)
                | Payload::Fetch(_)
                | Payload::Chunk(_)
                | Payload::SubscriptionRefused(_) => {
                    self.relay.handle(now, &from, payload);
                }
                Payload::LeaseRequests(_) | Payload::Grants(_) => {
                    self.leases.handle(now, &from, payload, &self.members)
                }
                Payload::Ping(ping) | Payload::Ack(ping) => {
                    self.members.handle(now, &from, payload);
                    if let Some(list) = &ping.list {
                        self.relay.evaluate_heartbeat(now, &from, list);
                    }
                }
                _ => self.members.handle(now, &from, payload),
            }
        }
        self.relay.forward(now);
    }

    /// An event as discovery wrote it.
    pub fn discovery_event(&mut self, now: Time, line: &[u8]) -> Result<(), ListError> {
        self.detect_pause(now);
        self.relay.discovery_event(now, line)?;
        self.relay.forward(now);
        self.collect_output(now);
        Ok(())
    }

    /// Discovery's latest version. Returns `false` if it is newer than the events that were received.
    pub fn discovery_version(&mut self, now: Time, version: u64) -> bool {
        self.detect_pause(now);
        let up_to_date = self.relay.discovery_version(now, version);
        self.collect_output(now);
        up_to_date
    }

    /// The connection to discovery has ended or could not be established.
    pub fn discovery_closed(&mut self, now: Time) {
        self.relay.discovery_closed(now);
    }

    /// The host keeps a connection to discovery while this is true.
    pub fn wants_discovery(&self) -> bool {
        self.relay.wants_discovery()
    }

    pub fn request(&mut self, now: Time, key: BudgetKey, ticket: u64, until: Time) {
        self.detect_pause(now);
        self.leases.request(now, key, ticket, until, &self.members);
        self.collect_output(now);
    }

    pub fn cancel(&mut self, ticket: u64) {
        self.leases.cancel(ticket);
    }

    pub fn release(&mut self, now: Time, key: BudgetKey, done: bool) {
        self.detect_pause(now);
        self.leases.release(now, key, done, &self.members);
        self.collect_output(now);
    }

    /// The process is about to end: announces it to some members; the others find out by gossip or by probes.
    pub fn leave(&mut self, now: Time) {
        self.members.leave();
        self.collect_output(now);
    }

    // Timers.

    pub fn next_wake(&self, now: Time) -> Time {
        let at = self.members.next_wake().min(self.relay.next_wake(now));
        self.leases.next_wake(now).map_or(at, |l| l.min(at))
    }

    pub fn tick(&mut self, now: Time) {
        self.detect_pause(now);
        self.members.list = (!self.relay.is_disabled()).then(|| self.relay.heartbeat(now));
        self.members.tick(now);
        self.relay.tick(now, &self.members);
        self.leases.tick(now, &self.members);
        if self.relay.has_list() {
            let at = *self.list_received_at.get_or_insert(now);
            if !self.limits_fills || now - at >= self.warming_period {
                self.relay.warm = true;
            }
        }
        self.collect_output(now);
    }

    pub fn poll(&mut self) -> Option<Output> {
        self.outbox.pop_front()
    }

    fn collect_output(&mut self, now: Time) {
        // Outputs of relay and leases cause no further outputs of either, so one pass is enough.
        while let Some(out) = self.relay.outbox.pop_front() {
            match out {
                relay::Output::Send(to, parts) => self.members.send(&to, parts),
                relay::Output::Event(line) => self.outbox.push_back(Output::Event(line)),
            }
        }
        while let Some(out) = self.leases.outbox.pop_front() {
            match out {
                lease::Output::Send(to, parts) => self.members.send(&to, parts),
                lease::Output::Decision(ticket, decision) => {
                    self.outbox.push_back(Output::Decision(ticket, decision))
                }
                lease::Output::Contended(key) => self.outbox.push_back(Output::Contended(key)),
            }
        }
        while let Some(envelope) = self.members.outbox.pop_front() {
            self.packet_number += 1;
            let packet = Packet {
                from: self.members.name.to_string(),
                run: self.members.run,
                to_run: envelope.to_run,
                number: self.packet_number,
                parts: envelope.parts.into_iter().map(Part::from).collect(),
            };
            let bytes = self.keys.seal(&packet);
            self.traffic.datagrams_out += 1;
            self.traffic.bytes_out += bytes.len() as u64;
            self.outbox.push_back(Output::Datagram(envelope.to, bytes));
        }
        self.next_due = self.next_wake(now).max(now);
    }

    /// Table sizes by name.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = self.members.sizes().to_vec();
        all.extend(self.relay.sizes());
        all.extend(self.leases.sizes());
        all
    }

    /// Checks the invariants that hold after every step; for tests.
    pub fn check_invariants(&self, now: Time) -> Result<(), String> {
        self.members.check_invariants()?;
        self.relay.check_invariants()?;
        self.leases.check_invariants(now)
    }
}
