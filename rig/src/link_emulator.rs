//! Emulates one direction of a link: delay, jitter, loss, duplication, reordering and a rate limit. Performs no I/O
//! and reads no clock; times are in seconds on the caller's clock.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Properties of a link; they apply to each direction.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LinkConditions {
    pub delay_ms: f64,
    /// Maximum additional delay, uniformly distributed; order is preserved.
    pub jitter_ms: f64,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram arrives twice.
    pub duplicate: f64,
    /// Probability that a datagram is overtaken by later ones.
    pub reorder: f64,
    /// Rate limit in KB per second; 0 means unlimited.
    pub rate_kb: f64,
    /// Queue in front of the rate limit in KB; datagrams beyond it are lost.
    pub queue_kb: f64,
    /// Blocks a direction entirely: outbound, return.
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

/// State of one direction of a link.
#[derive(Debug, Default)]
pub struct LinkDirection {
    /// When the rate limit admits the next datagram.
    link_free_at: f64,
    /// Latest arrival among datagrams that were not reordered.
    last_in_order: f64,
    pub passed: u64,
    pub lost: u64,
}

impl LinkDirection {
    /// Returns the arrival times of a datagram: none (lost), one, or two (duplicated).
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
        fn order_and_delay_are_kept_without_reordering(gaps: Vec<u8>, delay: u8, jitter: u8) -> bool {
            let conditions = LinkConditions { delay_ms: delay.into(), jitter_ms: jitter.into(), ..LinkConditions::default() };
            let (mut link, mut rng) = (LinkDirection::default(), Pcg64Mcg::seed_from_u64(7));
            let (mut now, mut last_in_order) = (0.0, 0.0);
            gaps.into_iter().all(|gap| {
                now += f64::from(gap) / 1e3;
                let arrivals = link.arrivals(now, 1_000, 0, &conditions, &mut rng);
                let latency = arrivals[0] - now;
                let ok = arrivals.len() == 1 && arrivals[0] >= last_in_order && latency >= conditions.delay_ms / 1e3 - 1e-9;
                last_in_order = arrivals[0];
                ok
            })
        }
    }

    #[test]
    fn a_rate_limit_is_kept_and_excess_datagrams_are_lost() {
        let conditions = LinkConditions { rate_kb: 100.0, queue_kb: 10.0, ..LinkConditions::default() };
        let (mut link, mut rng) = (LinkDirection::default(), Pcg64Mcg::seed_from_u64(7));
        let arrivals: Vec<f64> =
            (0..100).flat_map(|_| link.arrivals(0.0, 1_024, 0, &conditions, &mut rng)).collect();
        assert_eq!((arrivals.len() as u64, link.lost), (link.passed, 100 - link.passed));
        assert!((10..=12).contains(&arrivals.len()), "{}", arrivals.len());
        assert!((arrivals[9] - 0.1).abs() < 1e-6);
    }

    #[test]
    fn loss_and_duplication_match_their_probabilities() {
        let conditions = LinkConditions { loss: 0.1, duplicate: 0.05, ..LinkConditions::default() };
        let (mut link, mut rng) = (LinkDirection::default(), Pcg64Mcg::seed_from_u64(7));
        let counts: Vec<usize> =
            (0..20_000).map(|_| link.arrivals(0.0, 100, 0, &conditions, &mut rng).len()).collect();
        let share = |n| counts.iter().filter(|&&m| m == n).count() as f64 / 20_000.0;
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
