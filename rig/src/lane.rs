//! What one direction of a link does to a datagram: when it arrives, how often, or not at all. No I/O and no clock:
//! times are seconds of the caller's.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Weather {
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
    pub dark: [bool; 2],
}

impl Default for Weather {
    fn default() -> Weather {
        Weather {
            delay_ms: 0.0,
            jitter_ms: 0.0,
            loss: 0.0,
            duplicate: 0.0,
            reorder: 0.0,
            rate_kb: 0.0,
            queue_kb: 256.0,
            dark: [false; 2],
        }
    }
}

#[derive(Debug, Default)]
pub struct Lane {
    /// When the narrow place is free, and the last that was due in order.
    free: f64,
    last: f64,
    pub passed: u64,
    pub lost: u64,
}

impl Lane {
    /// When the datagram arrives: never, once, or twice.
    pub fn pass(&mut self, now: f64, bytes: usize, way: usize, w: &Weather, rng: &mut Pcg64Mcg) -> Vec<f64> {
        let mut leaves = now;
        if w.rate_kb > 0.0 {
            let rate = w.rate_kb * 1024.0;
            let start = self.free.max(now);
            if (start - now) * rate > w.queue_kb * 1024.0 {
                self.lost += 1;
                return Vec::new();
            }
            self.free = start + bytes as f64 / rate;
            leaves = self.free;
        }
        if w.dark[way] || rng.random_bool(w.loss.clamp(0.0, 1.0)) {
            self.lost += 1;
            return Vec::new();
        }
        self.passed += 1;
        let jitter = if w.jitter_ms > 0.0 { rng.random_range(0.0..w.jitter_ms) } else { 0.0 };
        let mut due = leaves + (w.delay_ms + jitter) / 1e3;
        if rng.random_bool(w.reorder.clamp(0.0, 1.0)) {
            due += (w.jitter_ms + 5.0) / 1e3;
        } else {
            due = due.max(self.last);
            self.last = due;
        }
        if rng.random_bool(w.duplicate.clamp(0.0, 1.0)) { vec![due, due + 0.002] } else { vec![due] }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;
    use rand::SeedableRng;

    quickcheck! {
        fn order_and_delay_hold_where_nothing_is_overtaken(gaps: Vec<u8>, delay: u8, jitter: u8) -> bool {
            let w = Weather { delay_ms: delay.into(), jitter_ms: jitter.into(), ..Weather::default() };
            let (mut lane, mut rng) = (Lane::default(), Pcg64Mcg::seed_from_u64(7));
            let (mut now, mut last) = (0.0, 0.0);
            gaps.into_iter().all(|gap| {
                now += f64::from(gap) / 1e3;
                let due = lane.pass(now, 1_000, 0, &w, &mut rng);
                let took = due[0] - now;
                let fine = due.len() == 1 && due[0] >= last && took >= w.delay_ms / 1e3 - 1e-9;
                last = due[0];
                fine
            })
        }
    }

    #[test]
    fn a_narrow_place_carries_its_rate_and_loses_what_waits_too_long() {
        let w = Weather { rate_kb: 100.0, queue_kb: 10.0, ..Weather::default() };
        let (mut lane, mut rng) = (Lane::default(), Pcg64Mcg::seed_from_u64(7));
        let due: Vec<f64> = (0..100).flat_map(|_| lane.pass(0.0, 1_024, 0, &w, &mut rng)).collect();
        assert_eq!((due.len() as u64, lane.lost), (lane.passed, 100 - lane.passed));
        assert!((10..=12).contains(&due.len()), "{}", due.len());
        assert!((due[9] - 0.1).abs() < 1e-6);
    }

    #[test]
    fn loss_and_repeats_come_as_often_as_they_are_told_to() {
        let w = Weather { loss: 0.1, duplicate: 0.05, ..Weather::default() };
        let (mut lane, mut rng) = (Lane::default(), Pcg64Mcg::seed_from_u64(7));
        let all: Vec<usize> = (0..20_000).map(|_| lane.pass(0.0, 100, 0, &w, &mut rng).len()).collect();
        let share = |n| all.iter().filter(|&&m| m == n).count() as f64 / 20_000.0;
        assert!((0.09..0.11).contains(&share(0)) && (0.04..0.05).contains(&share(2)));
        let dark = Weather { dark: [true, false], ..Weather::default() };
        assert_eq!(
            (lane.pass(0.0, 1, 0, &dark, &mut rng).len(), lane.pass(0.0, 1, 1, &dark, &mut rng).len()),
            (0, 1)
        );
    }
}
