//! The home lease of two regions: unrepeatable txns are accepted by one region at a time, under an epoch and a lease that
//! the other region grants.
//!
//! Invariant: a region never accepts them while the other may still do so; a region that is cut off stops before the
//! other one starts.
//!
//! Gray and Cheriton, "Leases" (1989): the holder's term counts from its request, the grantor's from the grant, and the
//! grantor waits longer by the possible difference of the clock rates. Clocks are never compared with each other.

use kelpcart::{Span, Time};

/// Largest relative error of the rate of a region's clock.
const MAX_CLOCK_DRIFT: f64 = 0.05;
/// The grantor waits for the lease times this factor: the errors of both clocks plus a margin.
const GRANT_FACTOR: f64 = 1.0 + 3.0 * MAX_CLOCK_DRIFT;
/// The lease is renewed after this fraction of it.
const RENEWAL_POINT: f64 = 0.3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// The owner of an epoch requests or renews its lease.
    Renew {
        epoch: u64,
        request_id: u64,
    },
    Grant {
        epoch: u64,
        request_id: u64,
    },
    /// The home hands over: the receiver owns this epoch from now on.
    Handover {
        epoch: u64,
    },
    /// The sender's current epoch.
    Epoch {
        epoch: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Role {
    /// Owns the epoch and may accept txns: until then, or without limit while the peer has not been asked for a lease.
    Holder { until: Option<Time> },
    /// Owns the epoch, but its lease has expired: the peer may have taken over.
    Expired,
    /// The peer owns the epoch and may accept txns until then at the latest.
    Grantor { until: Time },
    /// The peer owns the epoch without a time limit: no timeout ends this role.
    Follower,
}

/// One region's side of the lease. Epochs belong to the two regions alternately, so a region never requests a lease in
/// the name of the other.
#[derive(Clone, Debug)]
pub struct HomeLease {
    lease: Span,
    /// 0 or 1: this region owns the epochs of this parity.
    parity: u64,
    epoch: u64,
    role: Role,
    pending_renewal: Option<(u64, Time)>,
    next_send: Time,
    request_id: u64,
    /// A handover was sent and is not confirmed yet.
    handover_pending: bool,
    /// Number of times the lease was taken over after the peer's had expired.
    takeovers: u64,
    pub outbox: Vec<Message>,
}

impl HomeLease {
    /// `first`: whether this region is the initial home by the operator's settings.
    pub fn new(now: Time, lease: Span, first: bool) -> HomeLease {
        let role = if first { Role::Expired } else { Role::Grantor { until: now + lease * GRANT_FACTOR } };
        let parity = u64::from(!first);
        HomeLease {
            lease,
            parity,
            epoch: 0,
            role,
            pending_renewal: None,
            next_send: now,
            request_id: 0,
            handover_pending: false,
            takeovers: 0,
            outbox: Vec::new(),
        }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn takeovers(&self) -> u64 {
        self.takeovers
    }

    /// Whether unrepeatable txns may be accepted here.
    pub fn holds_lease(&self, now: Time) -> bool {
        matches!(self.role, Role::Holder { until } if until.is_none_or(|until| now < until))
    }

    /// The longest time for which neither region accepts them when the home is cut off.
    pub fn max_outage(lease: Span) -> Span {
        lease * GRANT_FACTOR * (1.0 + MAX_CLOCK_DRIFT)
    }

    /// The next epoch that belongs to the region with this parity.
    fn next_epoch_of(&self, parity: u64) -> u64 {
        if (self.epoch + 1) % 2 == parity { self.epoch + 1 } else { self.epoch + 2 }
    }

    pub fn tick(&mut self, now: Time) {
        match self.role {
            Role::Holder { until: Some(until) } if now >= until => self.role = Role::Expired,
            Role::Grantor { until } if now >= until => {
                // The peer's lease has provably expired: its term counts from the request, this grant from the receipt.
                self.epoch = self.next_epoch_of(self.parity);
                self.role = Role::Holder { until: None };
                self.takeovers += 1;
                self.handover_pending = false;
                self.outbox.push(Message::Epoch { epoch: self.epoch });
            }
            _ => {}
        }
        if now >= self.next_send {
            // A holder without time limit sends no request before it hears from the peer: a request limits its term.
            if matches!(self.role, Role::Expired | Role::Holder { until: Some(_) }) {
                self.send_renewal(now);
            } else if self.handover_pending {
                self.next_send = now + self.lease * RENEWAL_POINT;
                self.outbox.push(Message::Handover { epoch: self.epoch });
            }
        }
    }

    fn send_renewal(&mut self, now: Time) {
        self.next_send = now + self.lease * RENEWAL_POINT;
        self.request_id += 1;
        self.pending_renewal = Some((self.request_id, now));
        self.outbox.push(Message::Renew { epoch: self.epoch, request_id: self.request_id });
    }

    /// Hands the lease over, e.g. when the region is drained; takes effect here at once.
    pub fn hand_over(&mut self, now: Time) {
        if self.holds_lease(now) {
            self.epoch = self.next_epoch_of(1 - self.parity);
            (self.role, self.handover_pending, self.next_send) = (Role::Follower, true, now);
        }
    }

    /// The peer has confirmed that it knows at least this epoch.
    fn confirm_epoch(&mut self, epoch: u64) {
        if epoch >= self.epoch {
            self.handover_pending = false;
        }
    }

    pub fn receive(&mut self, now: Time, message: Message) {
        match message {
            Message::Renew { epoch, request_id } if epoch >= self.epoch && epoch % 2 != self.parity => {
                self.confirm_epoch(epoch);
                self.epoch = epoch;
                self.role = Role::Grantor { until: now + self.lease * GRANT_FACTOR };
                self.outbox.push(Message::Grant { epoch, request_id });
            }
            Message::Renew { .. } => {
                self.outbox.push(Message::Epoch { epoch: self.epoch });
                // The peer is reachable: once it receives the request, it may take over when its grant expires. The
                // term here starts first, so it also ends first.
                if self.role == (Role::Holder { until: None }) {
                    self.role = Role::Holder { until: Some(now + self.lease) };
                    self.send_renewal(now);
                }
            }
            Message::Grant { epoch, request_id } => {
                let pending = self.pending_renewal.filter(|a| a.0 == request_id && epoch == self.epoch);
                let may_hold = matches!(self.role, Role::Expired | Role::Holder { until: Some(_) });
                if let Some((_, at)) = pending.filter(|(_, at)| may_hold && now - *at < self.lease) {
                    self.role = Role::Holder { until: Some(at + self.lease) };
                }
            }
            Message::Handover { epoch } if epoch > self.epoch && epoch % 2 == self.parity => {
                (self.epoch, self.role, self.handover_pending) = (epoch, Role::Holder { until: None }, false);
                self.outbox.push(Message::Epoch { epoch });
            }
            Message::Handover { .. } => self.outbox.push(Message::Epoch { epoch: self.epoch }),
            Message::Epoch { epoch } => {
                self.confirm_epoch(epoch);
                if epoch > self.epoch {
                    self.epoch = epoch;
                    self.role = if epoch % 2 == self.parity { Role::Expired } else { Role::Follower };
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;
    use std::collections::VecDeque;

    const LEASE: Span = Span::from_millis(2_000);

    /// Two regions parity clocks run at different rates, and the messages in flight between them, in true milliseconds.
    struct World {
        now: u64,
        homes: [HomeLease; 2],
        rate: [f64; 2],
        in_flight: VecDeque<(u64, usize, Message)>,
        served: u64,
    }

    impl World {
        fn new(rate: [f64; 2]) -> World {
            let start = Time::default();
            let homes = [HomeLease::new(start, LEASE, true), HomeLease::new(start, LEASE, false)];
            World { now: 0, homes, rate, in_flight: VecDeque::new(), served: 0 }
        }

        fn clock(&self, i: usize) -> Time {
            Time::from_micros((self.now as f64 * 1e3 * self.rate[i]) as u64)
        }

        fn run(&mut self, ms: u64, delivered: [bool; 2], delay: u64) {
            for _ in 0..ms / 10 {
                self.now += 10;
                for _ in 0..self.in_flight.len() {
                    let Some((at, to, message)) = self.in_flight.pop_front() else { break };
                    if at > self.now {
                        self.in_flight.push_back((at, to, message));
                        continue;
                    }
                    let now = self.clock(to);
                    self.homes[to].receive(now, message);
                }
                for (i, delivered) in delivered.into_iter().enumerate() {
                    let now = self.clock(i);
                    self.homes[i].tick(now);
                    for message in std::mem::take(&mut self.homes[i].outbox) {
                        if delivered {
                            self.in_flight.push_back((self.now + delay, 1 - i, message));
                        }
                    }
                }
                let holds: Vec<bool> = (0..2).map(|i| self.homes[i].holds_lease(self.clock(i))).collect();
                assert!(holds != [true, true], "two homes at {}", self.now);
                self.served += u64::from(holds.contains(&true));
            }
        }
    }

    quickcheck! {
        /// Messages are lost in one or both directions or delayed, the lease is handed over at any moment, and the clock
        /// rates differ: there are never two homes.
        fn there_are_never_two_homes(rates: (u8, u8), rounds: Vec<(u8, u8, u8)>) -> bool {
            let rate = |p: u8| 0.95 + f64::from(p) / 255.0 * 0.1;
            let mut world = World::new([rate(rates.0), rate(rates.1)]);
            for (flags, duration, delay) in rounds {
                let delivered = [flags & 1 == 0, flags & 2 == 0];
                if flags & 28 == 0 {
                    let i = usize::from(flags & 32 != 0);
                    let now = world.clock(i);
                    world.homes[i].hand_over(now);
                }
                world.run(u64::from(duration) * 30, delivered, u64::from(delay) * if flags > 200 { 40 } else { 1 });
            }
            // Once messages pass again, one region holds the lease.
            world.run(30_000, [true, true], 20);
            let before = world.served;
            world.run(2_000, [true, true], 20);
            world.served - before == 200
        }
    }

    #[test]
    fn a_home_that_is_cut_off_stops_before_the_peer_starts() {
        let mut world = World::new([0.95, 1.05]);
        world.run(5_000, [true, true], 20);
        assert!(world.homes[0].holds_lease(world.clock(0)));
        let before = world.served;
        world.run(10_000, [false, false], 20);
        assert!(world.homes[1].holds_lease(world.clock(1)) && world.homes[1].takeovers() == 1);
        let outage = 1_000 - (world.served - before);
        let max_outage = HomeLease::max_outage(LEASE).as_secs_f64() * 100.0;
        assert!(outage > 0 && (outage as f64) < max_outage, "{outage} of {max_outage}");
        // It reconnects with an old epoch and accepts nothing.
        world.run(5_000, [true, true], 20);
        assert!(!world.homes[0].holds_lease(world.clock(0)) && world.homes[1].holds_lease(world.clock(1)));
    }
}
