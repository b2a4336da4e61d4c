//! What one direction of a link does to a datagram: when it arrives, how often, or not at all. No I/O and no clock:
//! times are seconds of the caller's.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LinkConditions {
    pub delay_ms: f64,
    /// Up to so much more, spread evenly; order is kept.
    pub jitter_ms: f64,
    pub loss: f64,
    pub duplicate: f64,
    /// The part that is overtaken by what comes behind.
    pub reorder: f64,
    /// KB a second; 0: no bound.
    pub rate_kb: f64,
    /// KB that wait for it; what comes beyond that is lost.
    pub queue_kb: f64,
    /// Nothing passes, there and back.
    #[serde(rename = "dark")]
    pub blocked: [bool; 2],
}

impl Default for LinkConditions {
    fn default() -> LinkConditions {
        LinkConditions {
            delay_ms: 0.0,
            jitter_ms: 0.0,
            loss: 0.0,
            duplicate: 0.0,
            reorder: 0.0,
            rate_kb: 0.0,
            queue_kb: 256.0,
            blocked: [false; 2],
        }
    }
}

#[derive(Debug, Default)]
pub struct LinkDirection {
    /// When the narrow place is free, and the last that was due in order.
    link_free_at: f64,
    last_in_order: f64,
    pub passed: u64,
    pub lost: u64,
}

impl LinkDirection {
    /// When the datagram arrives: never, once, or twice.
    pub fn arrivals(
        &mut self,
        now: f64,
        bytes: usize,
        direction: usize,
        conditions: &LinkConditions,
        rng: &mut Pcg64Mcg,
    ) -> Vec<f64> {
        let mut departs = now;
        if conditions.rate_kb > 0.0 {
            let rate = conditions.rate_kb * 1024.0;
            let start = self.link_free_at.max(now);
            if (start - now) * rate > conditions.queue_kb * 1024.0 {
                self.lost += 1;
                return Vec::new();
            }
            self.link_free_at = start + bytes as f64 / rate;
            departs = self.link_free_at;
        }
        if conditions.blocked[direction] || rng.random_bool(conditions.loss.clamp(0.0, 1.0)) {
            self.lost += 1;
            return Vec::new();
        }
        self.passed += 1;
        let jitter =
            if conditions.jitter_ms > 0.0 { rng.random_range(0.0..conditions.jitter_ms) } else { 0.0 };
        let mut arrival = departs + (conditions.delay_ms + jitter) / 1e3;
        if rng.random_bool(conditions.reorder.clamp(0.0, 1.0)) {
            arrival += (conditions.jitter_ms + 5.0) / 1e3;
        } else {
            arrival = arrival.max(self.last_in_order);
            self.last_in_order = arrival;
        }
        if rng.random_bool(conditions.duplicate.clamp(0.0, 1.0)) {
            vec![arrival, arrival + 0.002]
        } else {
            vec![arrival]
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;
    use rand::SeedableRng;

    quickcheck! {
        fn order_and_delay_hold_where_nothing_is_overtaken(gaps: Vec<u8>, delay: u8, jitter: u8) -> bool {
            let conditions = LinkConditions { delay_ms: delay.into(), jitter_ms: jitter.into(), ..LinkConditions::default() };
            let (mut link, mut rng) = (LinkDirection::default(), Pcg64Mcg::seed_from_u64(7));
            let (mut now, mut last_in_order) = (0.0, 0.0);
            gaps.into_iter().all(|gap| {
                now += f64::from(gap) / 1e3;
                let arrival = link.arrivals(now, 1_000, 0, &conditions, &mut rng);
                let took = arrival[0] - now;
                let ok = arrival.len() == 1 && arrival[0] >= last_in_order && took >= conditions.delay_ms / 1e3 - 1e-9;
                last_in_order = arrival[0];
                ok
            })
        }
    }

    #[test]
    fn a_narrow_place_carries_its_rate_and_loses_what_waits_too_long() {
        let conditions = LinkConditions { rate_kb: 100.0, queue_kb: 10.0, ..LinkConditions::default() };
        let (mut link, mut rng) = (LinkDirection::default(), Pcg64Mcg::seed_from_u64(7));
        let arrival: Vec<f64> =
            (0..100).flat_map(|_| link.arrivals(0.0, 1_024, 0, &conditions, &mut rng)).collect();
        assert_eq!((arrival.len() as u64, link.lost), (link.passed, 100 - link.passed));
        assert!((10..=12).contains(&arrival.len()), "{}", arrival.len());
        assert!((arrival[9] - 0.1).abs() < 1e-6);
    }

    #[test]
    fn loss_and_repeats_come_as_often_as_they_are_told_to() {
        let conditions = LinkConditions { loss: 0.1, duplicate: 0.05, ..LinkConditions::default() };
        let (mut link, mut rng) = (LinkDirection::default(), Pcg64Mcg::seed_from_u64(7));
        let all: Vec<usize> =
            (0..20_000).map(|_| link.arrivals(0.0, 100, 0, &conditions, &mut rng).len()).collect();
        let share = |n| all.iter().filter(|&&m| m == n).count() as f64 / 20_000.0;
        assert!((0.09..0.11).contains(&share(0)) && (0.04..0.05).contains(&share(2)));
        let blocked = LinkConditions { blocked: [true, false], ..LinkConditions::default() };
        assert_eq!(
            (
                link.arrivals(0.0, 1, 0, &blocked, &mut rng).len(),
                link.arrivals(0.0, 1, 1, &blocked, &mut rng).len()
            ),
            (0, 1)
        );
    }
}
