//! How much of a zone may be used: falls as fast as hops go wrong, and returns slowly once they have long gone well, in
//! the way of the source's weights of parents. Must never rise by more than a step, nor before the zone was sound for
//! the time that the file says.

use crate::evidence::Estimate;
use crate::settings::Steps;
use kelpcart::{Span, Time};

/// A part of bad hops that is nothing out of the ordinary.
const MAX_NORMAL_BAD_SHARE: f64 = 0.05;
/// From this part on a zone is of no use.
const UNUSABLE_BAD_SHARE: f64 = 0.5;
/// A zone that is not used gives no evidence: after the time that a sound one has to wait it is tried with this part.
const PROBE_SHARE: f64 = 0.02;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    /// 0 to 1.
    pub usable_share: f64,
    /// Since when nothing out of the ordinary was seen.
    healthy_since: Option<Time>,
    last_change: Time,
}

impl Health {
    pub fn new(now: Time) -> Health {
        Health { usable_share: 1.0, healthy_since: Some(now), last_change: now }
    }

    /// Takes in what was estimated; at most one step in each interval.
    pub fn step(&mut self, now: Time, estimate: Option<Estimate>, steps: &Steps) {
        let Some(estimate) = estimate else {
            if self.usable_share < PROBE_SHARE && now - self.last_change >= Span::from_millis(steps.sound_ms)
            {
                (self.usable_share, self.last_change) = (PROBE_SHARE, now);
            }
            return;
        };
        let bad = estimate.bad_share;
        if bad <= MAX_NORMAL_BAD_SHARE {
            let since = *self.healthy_since.get_or_insert(now);
            let rested = now - since >= Span::from_millis(steps.sound_ms);
            if rested
                && self.usable_share < 1.0
                && now - self.last_change >= Span::from_millis(steps.every_ms)
            {
                self.usable_share = (self.usable_share + steps.back).min(1.0);
                self.last_change = now;
            }
            return;
        }
        self.healthy_since = None;
        let wanted =
            ((UNUSABLE_BAD_SHARE - bad) / (UNUSABLE_BAD_SHARE - MAX_NORMAL_BAD_SHARE)).clamp(0.0, 1.0);
        if wanted < self.usable_share && now - self.last_change >= Span::from_millis(steps.every_ms) {
            self.usable_share = wanted.max(self.usable_share - steps.away);
            self.last_change = now;
        }
    }

    /// A part of bad hops that is nothing out of the ordinary.
    pub fn is_normal(bad: f64) -> bool {
        bad <= MAX_NORMAL_BAD_SHARE
    }

    /// From such a part on a zone is of no use, whatever its load.
    pub fn is_unusable(bad: f64) -> bool {
        bad >= UNUSABLE_BAD_SHARE
    }

    /// It has come back with nothing: what is cold is used by a step only.
    pub fn mark_cold(&mut self, now: Time, steps: &Steps) {
        self.usable_share = self.usable_share.min(steps.back);
        (self.healthy_since, self.last_change) = (Some(now), now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        fn it_falls_and_rises_by_capped_steps_and_rises_only_when_long_sound(bad: Vec<u8>) -> bool {
            let steps = Steps { sound_ms: 2_000, ..Steps::default() };
            let (mut health, mut now) = (Health::new(Time::default()), Time::default());
            let mut trouble = Time::default();
            for b in bad {
                now += Span::from_millis(250);
                let bad = f64::from(b % 64) / 63.0 * if b > 128 { 1.0 } else { 0.05 };
                let before = health.usable_share;
                health.step(now, Some(Estimate { bad_share: bad, hops: 100.0 }), &steps);
                let by = health.usable_share - before;
                if bad > MAX_NORMAL_BAD_SHARE {
                    trouble = now;
                }
                let rose_early = by > 1e-9 && now - trouble < Span::from_millis(2_000);
                if by > steps.back + 1e-9 || by < -steps.away - 1e-9 || rose_early {
                    return false;
                }
            }
            (0.0..=1.0).contains(&health.usable_share)
        }
    }

    #[test]
    fn a_zone_that_is_given_up_is_tried_again() {
        let steps = Steps::default();
        let (mut health, mut now) = (Health::new(Time::default()), Time::default());
        for _ in 0..10 {
            now += Span::from_millis(500);
            health.step(now, Some(Estimate { bad_share: 1.0, hops: 50.0 }), &steps);
        }
        assert_eq!(health.usable_share, 0.0);
        health.step(now, None, &steps);
        assert_eq!(health.usable_share, 0.0, "not at once");
        health.step(now + Span::from_millis(steps.sound_ms), None, &steps);
        assert_eq!(health.usable_share, PROBE_SHARE);
    }
}
