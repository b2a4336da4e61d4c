//! The usable share of a zone. It falls by capped steps while hops go wrong and recovers slowly once the zone has been
//! healthy for the hold time, like the weight controller of parents in the decision module.
//!
//! Invariant: the share never rises by more than one step at a time, nor before the zone has been healthy for
//! `sound_ms`.

use crate::evidence::Estimate;
use crate::settings::Steps;
use kelpcart::{Span, Time};

/// Up to this share of bad hops a zone is healthy.
const MAX_NORMAL_BAD_SHARE: f64 = 0.05;
/// From this share of bad hops on, a zone is unusable.
const UNUSABLE_BAD_SHARE: f64 = 0.5;
/// A zone without traffic yields no evidence, so after `sound_ms` it is probed with this share.
const PROBE_SHARE: f64 = 0.02;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    /// 0 to 1.
    pub usable_share: f64,
    /// Start of the current healthy period; none while the zone is unhealthy.
    healthy_since: Option<Time>,
    last_change: Time,
}

impl Health {
    pub fn new(now: Time) -> Health {
        Health { usable_share: 1.0, healthy_since: Some(now), last_change: now }
    }

    /// Applies an estimate; makes at most one step per interval.
    pub fn step(&mut self, now: Time, estimate: Option<Estimate>, steps: &Steps) {
        let Some(estimate) = estimate else {
            if self.usable_share < PROBE_SHARE && now - self.last_change >= Span::from_millis(steps.sound_ms)
            {
                (self.usable_share, self.last_change) = (PROBE_SHARE, now);
            }
            return;
        };
        let bad_share = estimate.bad_share;
        if bad_share <= MAX_NORMAL_BAD_SHARE {
            let since = *self.healthy_since.get_or_insert(now);
            let held_long_enough = now - since >= Span::from_millis(steps.sound_ms);
            if held_long_enough
                && self.usable_share < 1.0
                && now - self.last_change >= Span::from_millis(steps.every_ms)
            {
                self.usable_share = (self.usable_share + steps.back).min(1.0);
                self.last_change = now;
            }
            return;
        }
        self.healthy_since = None;
        let target =
            ((UNUSABLE_BAD_SHARE - bad_share) / (UNUSABLE_BAD_SHARE - MAX_NORMAL_BAD_SHARE)).clamp(0.0, 1.0);
        if target < self.usable_share && now - self.last_change >= Span::from_millis(steps.every_ms) {
            self.usable_share = target.max(self.usable_share - steps.away);
            self.last_change = now;
        }
    }

    /// Whether a share of bad hops is within the normal range.
    pub fn is_normal(bad_share: f64) -> bool {
        bad_share <= MAX_NORMAL_BAD_SHARE
    }

    /// Whether a share of bad hops makes a zone unusable, whatever its load.
    pub fn is_unusable(bad_share: f64) -> bool {
        bad_share >= UNUSABLE_BAD_SHARE
    }

    /// The zone has returned with cold caches: its usable share is cut to at most one step back.
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
        fn the_share_moves_by_capped_steps_and_rises_only_after_the_hold_time(samples: Vec<u8>) -> bool {
            let steps = Steps { sound_ms: 2_000, ..Steps::default() };
            let (mut health, mut now) = (Health::new(Time::default()), Time::default());
            let mut last_unhealthy = Time::default();
            for b in samples {
                now += Span::from_millis(250);
                let bad_share = f64::from(b % 64) / 63.0 * if b > 128 { 1.0 } else { 0.05 };
                let before = health.usable_share;
                health.step(now, Some(Estimate { bad_share, hops: 100.0 }), &steps);
                let delta = health.usable_share - before;
                if bad_share > MAX_NORMAL_BAD_SHARE {
                    last_unhealthy = now;
                }
                let rose_early = delta > 1e-9 && now - last_unhealthy < Span::from_millis(2_000);
                if delta > steps.back + 1e-9 || delta < -steps.away - 1e-9 || rose_early {
                    return false;
                }
            }
            (0.0..=1.0).contains(&health.usable_share)
        }
    }

    #[test]
    fn an_unused_zone_is_probed_after_the_hold_time() {
        let steps = Steps::default();
        let (mut health, mut now) = (Health::new(Time::default()), Time::default());
        for _ in 0..10 {
            now += Span::from_millis(500);
            health.step(now, Some(Estimate { bad_share: 1.0, hops: 50.0 }), &steps);
        }
        assert_eq!(health.usable_share, 0.0);
        health.step(now, None, &steps);
        assert_eq!(health.usable_share, 0.0, "no probe before the hold time");
        health.step(now + Span::from_millis(steps.sound_ms), None, &steps);
        assert_eq!(health.usable_share, PROBE_SHARE);
    }
}
