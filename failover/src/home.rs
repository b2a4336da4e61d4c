//! Where unrepeatable txns of two regions are at home: in one region at a time, by an epoch and a lease that the other
//! one grants. Must never let a region take them while the other may still do so; a region that is cut off stops before
//! the other one starts.
//!
//! Gray and Cheriton, "Leases" (1989): who holds counts from when it asked, who grants from when it granted, and longer
//! by what clocks may differ in pace. No clock is compared with another.

use kelpcart::{Span, Time};

/// Each region's clock runs fast or slow by no more than this part.
const MAX_CLOCK_DRIFT: f64 = 0.05;
/// So much longer than the lease the other one waits: both clocks' errors, and some more.
const GRANT_FACTOR: f64 = 1.0 + 3.0 * MAX_CLOCK_DRIFT;
/// The lease is renewed when this part of it is over.
const RENEWAL_POINT: f64 = 0.3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Its owner asks for the lease of an epoch anew.
    Renew {
        epoch: u64,
        request_id: u64,
    },
    Grant {
        epoch: u64,
        request_id: u64,
    },
    /// The home hands over: the other one owns this epoch from now on.
    Handover {
        epoch: u64,
    },
    /// The epoch that is known.
    Epoch {
        epoch: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Role {
    /// The epoch is this one's, and it may take txns: until then, or for good while the other one has not been asked.
    Holder { until: Option<Time> },
    /// The epoch is this one's, and its lease is over: the other one may have followed.
    Expired,
    /// The epoch is the other one's, who may take txns until then at the latest.
    Grantor { until: Time },
    /// The epoch is the other one's, who may take txns for good: time alone changes nothing.
    Follower,
}

/// One region's part. Epochs belong to the two in turns, so that nobody ever asks in the name of another.
#[derive(Clone, Debug)]
pub struct HomeLease {
    lease: Span,
    /// 0 or 1: epochs with this remainder by two are this one's.
    parity: u64,
    epoch: u64,
    role: Role,
    pending_renewal: Option<(u64, Time)>,
    next_send: Time,
    request_id: u64,
    /// Handed over, and not heard to be known.
    handover_pending: bool,
    /// Taken from the other one while it was not heard.
    takeovers: u64,
    pub outbox: Vec<Message>,
}

impl HomeLease {
    /// `first`: the home at the very beginning, by the operators' file.
    pub fn new(now: Time, lease: Span, first: bool) -> HomeLease {
        let role = if first { Role::Expired } else { Role::Grantor { until: now + lease * GRANT_FACTOR } };
        let me = u64::from(!first);
        HomeLease {
            lease,
            parity: me,
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

    /// An unrepeatable txn may be taken here.
    pub fn holds_lease(&self, now: Time) -> bool {
        matches!(self.role, Role::Holder { until } if until.is_none_or(|until| now < until))
    }

    /// The longest time for which neither region takes them when the home is cut off.
    pub fn max_outage(lease: Span) -> Span {
        lease * GRANT_FACTOR * (1.0 + MAX_CLOCK_DRIFT)
    }

    /// The next epoch of one of the two.
    fn next_epoch_of(&self, whose: u64) -> u64 {
        if (self.epoch + 1) % 2 == whose { self.epoch + 1 } else { self.epoch + 2 }
    }

    pub fn tick(&mut self, now: Time) {
        match self.role {
            Role::Holder { until: Some(until) } if now >= until => self.role = Role::Expired,
            Role::Grantor { until } if now >= until => {
                // The other one's lease has provably ended: it counts from its asking, this one from its hearing.
                self.epoch = self.next_epoch_of(self.parity);
                self.role = Role::Holder { until: None };
                self.takeovers += 1;
                self.handover_pending = false;
                self.outbox.push(Message::Epoch { epoch: self.epoch });
            }
            _ => {}
        }
        if now >= self.next_send {
            // Who holds for good does not ask before the other one is heard: asking makes it a matter of time.
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

    /// Hands over, as when a region is drained; in force at once here.
    pub fn hand_over(&mut self, now: Time) {
        if self.holds_lease(now) {
            self.epoch = self.next_epoch_of(1 - self.parity);
            (self.role, self.handover_pending, self.next_send) = (Role::Follower, true, now);
        }
    }

    /// The other one knows at least this epoch.
    fn confirm_epoch(&mut self, epoch: u64) {
        if epoch >= self.epoch {
            self.handover_pending = false;
        }
    }

    pub fn receive(&mut self, now: Time, said: Message) {
        match said {
            Message::Renew { epoch, request_id: no } if epoch >= self.epoch && epoch % 2 != self.parity => {
                self.confirm_epoch(epoch);
                self.epoch = epoch;
                self.role = Role::Grantor { until: now + self.lease * GRANT_FACTOR };
                self.outbox.push(Message::Grant { epoch, request_id: no });
            }
            Message::Renew { .. } => {
                self.outbox.push(Message::Epoch { epoch: self.epoch });
                // The other one is there: from its hearing the question on it may follow when that time is over, which
                // counts here first.
                if self.role == (Role::Holder { until: None }) {
                    self.role = Role::Holder { until: Some(now + self.lease) };
                    self.send_renewal(now);
                }
            }
            Message::Grant { epoch, request_id: no } => {
                let asked = self.pending_renewal.filter(|a| a.0 == no && epoch == self.epoch);
                let may = matches!(self.role, Role::Expired | Role::Holder { until: Some(_) });
                if let Some((_, at)) = asked.filter(|(_, at)| may && now - *at < self.lease) {
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

    /// Two regions whose clocks run apart, with what is under way between them, in true milliseconds.
    struct World {
        now: u64,
        homes: [HomeLease; 2],
        pace: [f64; 2],
        under: VecDeque<(u64, usize, Message)>,
        served: u64,
    }

    impl World {
        fn new(pace: [f64; 2]) -> World {
            let start = Time::default();
            let homes = [HomeLease::new(start, LEASE, true), HomeLease::new(start, LEASE, false)];
            World { now: 0, homes, pace, under: VecDeque::new(), served: 0 }
        }

        fn clock(&self, i: usize) -> Time {
            Time::from_micros((self.now as f64 * 1e3 * self.pace[i]) as u64)
        }

        fn run(&mut self, ms: u64, passes: [bool; 2], delay: u64) {
            for _ in 0..ms / 10 {
                self.now += 10;
                for _ in 0..self.under.len() {
                    let Some((at, to, said)) = self.under.pop_front() else { break };
                    if at > self.now {
                        self.under.push_back((at, to, said));
                        continue;
                    }
                    let now = self.clock(to);
                    self.homes[to].receive(now, said);
                }
                for (i, passes) in passes.into_iter().enumerate() {
                    let now = self.clock(i);
                    self.homes[i].tick(now);
                    for said in std::mem::take(&mut self.homes[i].outbox) {
                        if passes {
                            self.under.push_back((self.now + delay, 1 - i, said));
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
        /// Cut and late, one way or both, handed over at any moment, with clocks that run apart: never two homes.
        fn there_are_never_two_homes(paces: (u8, u8), rounds: Vec<(u8, u8, u8)>) -> bool {
            let pace = |p: u8| 0.95 + f64::from(p) / 255.0 * 0.1;
            let mut world = World::new([pace(paces.0), pace(paces.1)]);
            for (what, lasts, delay) in rounds {
                let passes = [what & 1 == 0, what & 2 == 0];
                if what & 28 == 0 {
                    let i = usize::from(what & 32 != 0);
                    let now = world.clock(i);
                    world.homes[i].hand_over(now);
                }
                world.run(u64::from(lasts) * 30, passes, u64::from(delay) * if what > 200 { 40 } else { 1 });
            }
            // Once all passes again one of them holds.
            world.run(30_000, [true, true], 20);
            let before = world.served;
            world.run(2_000, [true, true], 20);
            world.served - before == 200
        }
    }

    #[test]
    fn a_home_that_is_cut_off_stops_before_the_other_one_starts() {
        let mut world = World::new([0.95, 1.05]);
        world.run(5_000, [true, true], 20);
        assert!(world.homes[0].holds_lease(world.clock(0)));
        let before = world.served;
        world.run(10_000, [false, false], 20);
        assert!(world.homes[1].holds_lease(world.clock(1)) && world.homes[1].takeovers() == 1);
        let without = 1_000 - (world.served - before);
        let most = HomeLease::max_outage(LEASE).as_secs_f64() * 100.0;
        assert!(without > 0 && (without as f64) < most, "{without} of {most}");
        // It comes back with an old epoch, and takes nothing.
        world.run(5_000, [true, true], 20);
        assert!(!world.homes[0].holds_lease(world.clock(0)) && world.homes[1].holds_lease(world.clock(1)));
    }
}
