//! Hollow gateways: the real membership and feed cores without sockets, clock or txns, so that thousands of them fit into
//! one process.
//!
//! Invariant: a hollow gateway drives the cores exactly as a real gateway's host does.

use crate::sim::{Actor, Usage};
use cpu_time::ThreadTime;
use kelpcart::Time;
use kelpcart::hash_prefix::PrefixSet;
use kelpcart_feed::{Feed, VERSION};
use kelpcart_fleet::node::{Node, Output};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// A change that a real gateway would pass on to its routing module.
#[derive(Clone, Debug)]
pub enum Delivery {
    Purge { names: PrefixSet, issued_ms: u64 },
    Line { stream: usize, no: u64 },
}

pub struct HollowGateway {
    /// Membership node of the site; `None` at a hub.
    pub node: Option<Node>,
    pub feed: Feed,
    /// Usage of the feed alone; the network records the sum of feed and membership.
    pub usage: Usage,
    /// Whether the feed's processor time is recorded.
    pub measure_cpu: bool,
    pub deliveries: Vec<Delivery>,
    members_version: u64,
    node_wake: Time,
    feed_wake: Time,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
}

impl HollowGateway {
    pub fn new(now: Time, node: Option<Node>, feed: Feed) -> HollowGateway {
        HollowGateway {
            node_wake: now,
            feed_wake: now,
            node,
            feed,
            usage: Usage::default(),
            measure_cpu: false,
            deliveries: Vec::new(),
            members_version: u64::MAX,
            datagrams: VecDeque::new(),
        }
    }

    /// Calls `act` on the feed and records its processor time.
    pub fn with_feed<T>(&mut self, now: Time, act: impl FnOnce(&mut Feed) -> T) -> T {
        let started = self.measure_cpu.then(ThreadTime::now);
        let result = act(&mut self.feed);
        self.feed_wake = self.feed.next_wake(now);
        self.usage.cpu_time += started.map_or(Duration::ZERO, |b| b.elapsed());
        result
    }

    /// Passes the live members to the feed whenever the membership has changed.
    fn update_members(&mut self, now: Time) {
        let Some(node) = &self.node else { return };
        self.node_wake = node.next_wake(now);
        if node.members.version == self.members_version {
            return;
        }
        self.members_version = node.members.version;
        let started = self.measure_cpu.then(ThreadTime::now);
        let live = node.members.others().map(|(name, known)| (&**name, known.address));
        self.feed.set_members(now, live);
        self.feed_wake = self.feed.next_wake(now);
        self.usage.cpu_time += started.map_or(Duration::ZERO, |b| b.elapsed());
    }

    fn drain(&mut self) {
        while let Some(out) = self.feed.poll() {
            match out {
                kelpcart_feed::Output::Datagram(to, bytes) => {
                    self.usage.datagrams_out += 1;
                    self.usage.bytes_out += bytes.len() as u64;
                    self.datagrams.push_back((to, bytes));
                }
                kelpcart_feed::Output::Purge { names, issued_ms, .. } => {
                    self.deliveries.push(Delivery::Purge { names, issued_ms });
                }
                kelpcart_feed::Output::Line { stream, seq: no, .. } => {
                    self.deliveries.push(Delivery::Line { stream, no })
                }
            }
        }
        // Outputs other than datagrams are ignored: relays and budgets are not used here.
        while let Some(out) = self.node.as_mut().and_then(Node::poll) {
            if let Output::Datagram(to, bytes) = out {
                self.datagrams.push_back((to, bytes));
            }
        }
    }
}

impl Actor for HollowGateway {
    fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        if bytes.first() == Some(&VERSION) {
            self.usage.datagrams_in += 1;
            self.usage.bytes_in += bytes.len() as u64;
            self.with_feed(now, |feed| feed.handle_datagram(now, from, bytes));
        } else if let Some(node) = &mut self.node {
            node.handle_datagram(now, from, bytes);
            self.update_members(now);
        }
    }

    fn tick(&mut self, now: Time) {
        if let Some(node) = self.node.as_mut().filter(|_| self.node_wake <= now) {
            node.tick(now);
            self.update_members(now);
        }
        if self.feed_wake <= now {
            self.with_feed(now, |feed| feed.tick(now));
        }
    }

    fn next_wake(&self, _now: Time) -> Time {
        if self.node.is_some() { self.node_wake.min(self.feed_wake) } else { self.feed_wake }
    }

    fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.drain();
        self.datagrams.pop_front()
    }
}
