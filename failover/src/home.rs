//! Where unrepeatable txns of two regions are at home: in one region at a time, by an epoch and a lease that the other
//! one grants. Must never let a region take them while the other may still do so; a region that is cut off stops before
//! the other one starts.
//!
//! Gray and Cheriton, "Leases" (1989): who holds counts from when it asked, who grants from when it granted, and longer
//! by what clocks may differ in pace. No clock is compared with another.

use kelpcart::{Span, Time};

/// Each region's clock runs fast or slow by no more than this part.
const APART: f64 = 0.05;
/// So much longer than the lease the other one waits: both clocks' errors, and some more.
const LONGER: f64 = 1.0 + 3.0 * APART;
/// The lease is renewed when this part of it is over.
const RENEWS: f64 = 0.3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// Its owner asks for the lease of an epoch anew.
    Renew {
        epoch: u64,
        no: u64,
    },
    Granted {
        epoch: u64,
        no: u64,
    },
    /// The home hands over: the other one owns this epoch from now on.
    Yield {
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
    Holds { until: Option<Time> },
    /// The epoch is this one's, and its lease is over: the other one may have followed.
    Lapsed,
    /// The epoch is the other one's, who may take txns until then at the latest.
    Grants { until: Time },
    /// The epoch is the other one's, who may take txns for good: time alone changes nothing.
    Follows,
}

/// One region's part. Epochs belong to the two in turns, so that nobody ever asks in the name of another.
#[derive(Clone, Debug)]
pub struct Home {
    lease: Span,
    /// 0 or 1: epochs with this remainder by two are this one's.
    me: u64,
    epoch: u64,
    role: Role,
    asked: Option<(u64, Time)>,
    next_ask: Time,
    no: u64,
    /// Handed over, and not heard to be known.
    yields: bool,
    /// Taken from the other one while it was not heard.
    moves: u64,
    pub out: Vec<Said>,
}

impl Home {
    /// `first`: the home at the very beginning, by the operators' file.
    pub fn new(now: Time, lease: Span, first: bool) -> Home {
        let role = if first { Role::Lapsed } else { Role::Grants { until: now + lease * LONGER } };
        let me = u64::from(!first);
        Home {
            lease,
            me,
            epoch: 0,
            role,
            asked: None,
            next_ask: now,
            no: 0,
            yields: false,
            moves: 0,
            out: Vec::new(),
        }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn moves(&self) -> u64 {
        self.moves
    }

    /// An unrepeatable txn may be taken here.
    pub fn holds(&self, now: Time) -> bool {
        matches!(self.role, Role::Holds { until } if until.is_none_or(|until| now < until))
    }

    /// The longest time for which neither region takes them when the home is cut off.
    pub fn without_service(lease: Span) -> Span {
        lease * LONGER * (1.0 + APART)
    }

    /// The next epoch of one of the two.
    fn next_of(&self, whose: u64) -> u64 {
        if (self.epoch + 1) % 2 == whose { self.epoch + 1 } else { self.epoch + 2 }
    }

    pub fn tick(&mut self, now: Time) {
        match self.role {
            Role::Holds { until: Some(until) } if now >= until => self.role = Role::Lapsed,
            Role::Grants { until } if now >= until => {
                // The other one's lease has provably ended: it counts from its asking, this one from its hearing.
                self.epoch = self.next_of(self.me);
                self.role = Role::Holds { until: None };
                self.moves += 1;
                self.yields = false;
                self.out.push(Said::Epoch { epoch: self.epoch });
            }
            _ => {}
        }
        if now >= self.next_ask {
            // Who holds for good does not ask before the other one is heard: asking makes it a matter of time.
            if matches!(self.role, Role::Lapsed | Role::Holds { until: Some(_) }) {
                self.ask(now);
            } else if self.yields {
                self.next_ask = now + self.lease * RENEWS;
                self.out.push(Said::Yield { epoch: self.epoch });
            }
        }
    }

    fn ask(&mut self, now: Time) {
        self.next_ask = now + self.lease * RENEWS;
        self.no += 1;
        self.asked = Some((self.no, now));
        self.out.push(Said::Renew { epoch: self.epoch, no: self.no });
    }

    /// Hands over, as when a region is drained; in force at once here.
    pub fn hand_over(&mut self, now: Time) {
        if self.holds(now) {
            self.epoch = self.next_of(1 - self.me);
            (self.role, self.yields, self.next_ask) = (Role::Follows, true, now);
        }
    }

    /// The other one knows at least this epoch.
    fn known(&mut self, epoch: u64) {
        if epoch >= self.epoch {
            self.yields = false;
        }
    }

    pub fn hear(&mut self, now: Time, said: Said) {
        match said {
            Said::Renew { epoch, no } if epoch >= self.epoch && epoch % 2 != self.me => {
                self.known(epoch);
                self.epoch = epoch;
                self.role = Role::Grants { until: now + self.lease * LONGER };
                self.out.push(Said::Granted { epoch, no });
            }
            Said::Renew { .. } => {
                self.out.push(Said::Epoch { epoch: self.epoch });
                // The other one is there: from its hearing the question on it may follow when that time is over, which
                // counts here first.
                if self.role == (Role::Holds { until: None }) {
                    self.role = Role::Holds { until: Some(now + self.lease) };
                    self.ask(now);
                }
            }
            Said::Granted { epoch, no } => {
                let asked = self.asked.filter(|a| a.0 == no && epoch == self.epoch);
                let may = matches!(self.role, Role::Lapsed | Role::Holds { until: Some(_) });
                if let Some((_, at)) = asked.filter(|(_, at)| may && now - *at < self.lease) {
                    self.role = Role::Holds { until: Some(at + self.lease) };
                }
            }
            Said::Yield { epoch } if epoch > self.epoch && epoch % 2 == self.me => {
                (self.epoch, self.role, self.yields) = (epoch, Role::Holds { until: None }, false);
                self.out.push(Said::Epoch { epoch });
            }
            Said::Yield { .. } => self.out.push(Said::Epoch { epoch: self.epoch }),
            Said::Epoch { epoch } => {
                self.known(epoch);
                if epoch > self.epoch {
                    self.epoch = epoch;
                    self.role = if epoch % 2 == self.me { Role::Lapsed } else { Role::Follows };
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
        homes: [Home; 2],
        pace: [f64; 2],
        under: VecDeque<(u64, usize, Said)>,
        served: u64,
    }

    impl World {
        fn new(pace: [f64; 2]) -> World {
            let start = Time::default();
            let homes = [Home::new(start, LEASE, true), Home::new(start, LEASE, false)];
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
                    self.homes[to].hear(now, said);
                }
                for (i, passes) in passes.into_iter().enumerate() {
                    let now = self.clock(i);
                    self.homes[i].tick(now);
                    for said in std::mem::take(&mut self.homes[i].out) {
                        if passes {
                            self.under.push_back((self.now + delay, 1 - i, said));
                        }
                    }
                }
                let holds: Vec<bool> = (0..2).map(|i| self.homes[i].holds(self.clock(i))).collect();
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
        assert!(world.homes[0].holds(world.clock(0)));
        let before = world.served;
        world.run(10_000, [false, false], 20);
        assert!(world.homes[1].holds(world.clock(1)) && world.homes[1].moves() == 1);
        let without = 1_000 - (world.served - before);
        let most = Home::without_service(LEASE).as_secs_f64() * 100.0;
        assert!(without > 0 && (without as f64) < most, "{without} of {most}");
        // It comes back with an old epoch, and takes nothing.
        world.run(5_000, [true, true], 20);
        assert!(!world.homes[0].holds(world.clock(0)) && world.homes[1].holds(world.clock(1)));
    }
}
