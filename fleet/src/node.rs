//! One gateway in its fleet: members, relay and leases behind one set of inputs, driven alike by the gateway's host and
//! by tests. The host hands in datagrams, the bulletin's lines and times, and pulls what is to be done until there is
//! nothing. Must never do I/O, read a clock, or keep the host from serving: a host that gets no word goes on as alone.

use crate::lease::{self, Key, Leases, Verdict};
use crate::list::{List, Unusable};
use crate::members::{Members, Name, Taken};
use crate::relay::{self, Relay};
use crate::seal::{Keys, OpenError};
use crate::settings::{self, Fleet};
use crate::wire::{Packet, Part, Said};
use kelpcart::{Span, Time};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Datagram(SocketAddr, Vec<u8>),
    /// An event that the host has to hear, a line of JSON.
    Line(Vec<u8>),
    Verdict(u64, Verdict),
    Wanted(Key),
}

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Joining,
    /// Others are known, the list is not.
    Joined,
    /// The list is known, and the fleet is cold: first fills are counted.
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
    number: u64,
    due: Time,
    warming: Span,
    counts_fills: bool,
    listed_at: Option<Time>,
    pub traffic: Traffic,
    pub refused: BTreeMap<OpenError, u64>,
    out: VecDeque<Out>,
}

#[derive(Debug, thiserror::Error)]
pub enum Unstartable {
    #[error("keys: a secret is no row of hex digits")]
    Keys,
    #[error("what is known at the start: {0}")]
    Known(#[from] Unusable),
}

impl Node {
    /// `run`: a number that no other start has; `no` and `known`: the events that the host knows already.
    pub fn new(
        file: &Fleet,
        run: u64,
        seed: u64,
        now: Time,
        no: u64,
        known: &[Value],
    ) -> Result<Node, Unstartable> {
        let keys = Keys::new(&file.fleet, &file.keys).ok_or(Unstartable::Keys)?;
        let mut list = List::new(no, file.relays.most_kb * 1024);
        list.know(known)?;
        let members = Members::new(file, run, seed, now);
        let own = members.name.clone();
        let counts_fills = file.budgets.fills.is_some() || file.budgets.fills_at_cache.is_some();
        Ok(Node {
            members,
            relay: Relay::new(file, list, seed.rotate_left(17), now),
            leases: Leases::new(file.budgets.clone(), own, now),
            keys,
            fleet: file.fleet.clone(),
            number: 0,
            due: now,
            warming: Span::from_millis(file.budgets.warming_ms),
            counts_fills,
            listed_at: None,
            traffic: Traffic::default(),
            refused: BTreeMap::new(),
            out: VecDeque::new(),
        })
    }

    /// Other keys from now on; `false`: they can't be used, and all stays.
    pub fn rekey(&mut self, keys: &[settings::Key]) -> bool {
        let fresh = Keys::new(&self.fleet, keys);
        let usable = fresh.is_some();
        if let Some(fresh) = fresh {
            self.keys = fresh;
        }
        usable
    }

    pub fn phase(&self) -> Phase {
        if self.relay.listed() {
            if self.relay.warm { Phase::Serving } else { Phase::Warming }
        } else if self.members.joined() {
            Phase::Joined
        } else {
            Phase::Joining
        }
    }

    /// Whatever comes first after a stop shows it.
    fn comes(&mut self, now: Time) {
        self.members.comes(now, self.due);
        self.due = self.due.max(now);
    }

    // Inputs.

    pub fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.comes(now);
        self.traffic.datagrams_in += 1;
        self.traffic.bytes_in += bytes.len() as u64;
        let packet = match self.keys.open(bytes) {
            Ok(packet) => packet,
            Err(why) => {
                *self.refused.entry(why).or_default() += 1;
                return;
            }
        };
        match self.members.receive(now, from, &packet) {
            Taken::Good => self.packet(now, packet),
            Taken::Stranger => {
                for part in &packet.parts {
                    if let Some(Said::Challenge(nonce)) = part.said {
                        let joins = self.members.wants_to_join();
                        self.members.challenged(from, packet.run, nonce, joins);
                    }
                }
            }
            Taken::Dropped => {}
        }
        self.collect(now);
    }

    fn packet(&mut self, now: Time, packet: Packet) {
        let from = Name::from(packet.from.as_str());
        for said in packet.parts.iter().filter_map(|p| p.said.as_ref()) {
            match said {
                Said::Challenge(nonce) => {
                    let address = self.members.get(&from).map(|k| k.address);
                    if let Some(to) = address {
                        self.members.challenged(to, packet.run, *nonce, false);
                    }
                }
                Said::Follow(_) | Said::Pulse(_) | Said::Fetch(_) | Said::Chunk(_) | Said::Full(_) => {
                    self.relay.said(now, &from, said);
                }
                Said::Want(_) | Said::Lease(_) => self.leases.said(now, &from, said, &self.members),
                Said::Ping(ping) | Said::Ack(ping) => {
                    self.members.said(now, &from, said);
                    if let Some(list) = &ping.list {
                        self.relay.weigh(now, &from, list);
                    }
                }
                _ => self.members.said(now, &from, said),
            }
        }
        self.relay.pass_on(now);
    }

    /// An event of the bulletin as it wrote it.
    pub fn line(&mut self, now: Time, line: &[u8]) -> Result<(), Unusable> {
        self.comes(now);
        self.relay.line(now, line)?;
        self.relay.pass_on(now);
        self.collect(now);
        Ok(())
    }

    /// The bulletin's last number; `false`: it has more than it told.
    pub fn last(&mut self, now: Time, no: u64) -> bool {
        self.comes(now);
        let fits = self.relay.last(now, no);
        self.collect(now);
        fits
    }

    /// The connection to the bulletin has ended or did not come up.
    pub fn ended(&mut self, now: Time) {
        self.relay.ended(now);
    }

    /// The host keeps a connection to the bulletin while this holds.
    pub fn asks(&self) -> bool {
        self.relay.asks()
    }

    pub fn want(&mut self, now: Time, key: Key, ticket: u64, until: Time) {
        self.comes(now);
        self.leases.want(now, key, ticket, until, &self.members);
        self.collect(now);
    }

    pub fn forget(&mut self, ticket: u64) {
        self.leases.forget(ticket);
    }

    pub fn give_back(&mut self, now: Time, key: Key, done: bool) {
        self.comes(now);
        self.leases.give_back(now, key, done, &self.members);
        self.collect(now);
    }

    /// The process ends: some are told, the others find out.
    pub fn leave(&mut self, now: Time) {
        self.members.leave();
        self.collect(now);
    }

    // Time.

    pub fn next_wake(&self, now: Time) -> Time {
        let at = self.members.next_wake().min(self.relay.next_wake(now));
        self.leases.next_wake(now).map_or(at, |l| l.min(at))
    }

    pub fn tick(&mut self, now: Time) {
        self.comes(now);
        self.members.list = (!self.relay.is_off()).then(|| self.relay.pulse(now));
        self.members.tick(now);
        self.relay.tick(now, &self.members);
        self.leases.tick(now, &self.members);
        if self.relay.listed() {
            let at = *self.listed_at.get_or_insert(now);
            if !self.counts_fills || now - at >= self.warming {
                self.relay.warm = true;
            }
        }
        self.collect(now);
    }

    pub fn poll(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    fn collect(&mut self, now: Time) {
        // Verdicts of one's own keeper and lines change nothing below, so that one round is enough.
        while let Some(out) = self.relay.out.pop_front() {
            match out {
                relay::Out::Send(to, parts) => self.members.send(&to, parts),
                relay::Out::Line(line) => self.out.push_back(Out::Line(line)),
            }
        }
        while let Some(out) = self.leases.out.pop_front() {
            match out {
                lease::Out::Send(to, parts) => self.members.send(&to, parts),
                lease::Out::Verdict(ticket, verdict) => self.out.push_back(Out::Verdict(ticket, verdict)),
                lease::Out::Wanted(key) => self.out.push_back(Out::Wanted(key)),
            }
        }
        while let Some(letter) = self.members.out.pop_front() {
            self.number += 1;
            let packet = Packet {
                from: self.members.name.to_string(),
                run: self.members.run,
                to_run: letter.to_run,
                number: self.number,
                parts: letter.parts.into_iter().map(Part::from).collect(),
            };
            let bytes = self.keys.seal(&packet);
            self.traffic.datagrams_out += 1;
            self.traffic.bytes_out += bytes.len() as u64;
            self.out.push_back(Out::Datagram(letter.to, bytes));
        }
        self.due = self.next_wake(now).max(now);
    }

    /// How much is kept, by name.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = self.members.sizes().to_vec();
        all.extend(self.relay.sizes());
        all.extend(self.leases.sizes());
        all
    }

    /// The rules that have to hold after every step; for tests.
    pub fn check_rules(&self, now: Time) -> Result<(), String> {
        self.members.check_rules()?;
        self.relay.check_rules()?;
        self.leases.check_rules(now)
    }
}
