//! Measures what a link delivers, and says how much may be on its way at once and whether a txn can cross in its
//! time. Must never count what was not delivered, nor let one idle moment pass for a narrow link.
//!
//! Source: the delivery-rate estimate of draft-cheng-iccrg-delivery-rate-estimation (a sample is what was delivered
//! between the sending of a thing and its arrival; one that the sender did not fill only raises the estimate), and
//! the windowed greatest of BBR (Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM Queue 2016).

use kelpcart::{Span, Time};
use std::collections::VecDeque;

/// The greatest sample counts for this long.
const REMEMBERED: Span = Span::from_millis(10_000);
/// On the way at most: this many times what fits into the shortest round trip at the pace. More than one, so that a
/// wider link is found; what is beyond one queues before the narrowest place.
const WINDOW: f64 = 1.25;
/// Never fewer bytes than this on the way: a few answers of usual size. Also the window while nothing is measured.
const LEAST_WINDOW: f64 = 64.0 * 1024.0;
const FIRST_WINDOW: f64 = 512.0 * 1024.0;
/// Samples kept at most.
const MOST_SAMPLES: usize = 64;
/// Shorter ones measure the scheduler, not the link.
const SHORTEST: Span = Span::from_millis(1);

/// What was delivered when a thing was sent; goes with it and comes back with its arrival.
#[derive(Clone, Copy, Debug)]
pub struct Mark {
    at: Time,
    delivered: f64,
    filled: bool,
}

#[derive(Debug, Default)]
pub struct Pace {
    delivered: f64,
    /// Bytes a second, newest last, each greater than all behind it.
    best: VecDeque<(Time, f64)>,
    /// Expected bytes on their way.
    out: f64,
}

impl Pace {
    /// Bytes a second, or `None` while nothing is measured.
    pub fn rate(&self) -> Option<f64> {
        self.best.front().map(|b| b.1)
    }

    pub fn out(&self) -> f64 {
        self.out
    }

    /// What may be on its way at once.
    pub fn window(&self, least_round_trip: Span) -> f64 {
        let fits = self.rate().map(|rate| rate * least_round_trip.as_secs_f64() * WINDOW);
        fits.map_or(FIRST_WINDOW, |fits| fits.max(LEAST_WINDOW))
    }

    /// There is room for so many bytes more, or nothing is on its way: what is larger than the window goes alone.
    pub fn has_room(&self, bytes: f64, least_round_trip: Span) -> bool {
        self.out <= 0.0 || self.out + bytes <= self.window(least_round_trip)
    }

    pub fn sent(&mut self, now: Time, bytes: f64, least_round_trip: Span) -> Mark {
        self.out += bytes;
        let filled = self.out * WINDOW >= self.window(least_round_trip);
        Mark { at: now, delivered: self.delivered, filled }
    }

    /// It has come, or will not: `expected` is what was told to `sent`, `real` what arrived.
    pub fn ended(&mut self, now: Time, mark: Mark, expected: f64, real: Option<f64>) {
        self.out = (self.out - expected).max(0.0);
        let Some(real) = real else { return };
        self.delivered += real;
        let took = now - mark.at;
        if took < SHORTEST {
            return;
        }
        let rate = (self.delivered - mark.delivered) / took.as_secs_f64();
        // A link that was not filled shows what was asked of it, not what it can do.
        if mark.filled || self.rate().is_none_or(|best| rate > best) {
            self.remember(now, rate);
        }
    }

    fn remember(&mut self, now: Time, rate: f64) {
        while self.best.back().is_some_and(|b| b.1 <= rate) {
            self.best.pop_back();
        }
        self.best.push_back((now, rate));
        if self.best.len() > MOST_SAMPLES {
            self.best.remove(1);
        }
        while self.best.len() > 1 && now - self.best[0].0 > REMEMBERED {
            self.best.pop_front();
        }
    }

    /// How long `bytes` take behind `ahead` bytes.
    pub fn crossing(&self, ahead: f64, bytes: f64) -> Span {
        self.rate().map_or(Span::ZERO, |rate| Span::from_secs_f64((ahead + bytes) / rate.max(1.0)))
    }

    /// A new connection: nothing is on its way, and the pace has to be found again. The old figure stands until a
    /// greater one comes or it is forgotten.
    pub fn reconnected(&mut self) {
        self.out = 0.0;
        if let Some(&last) = self.best.back() {
            self.best = VecDeque::from([last]);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    const RTT: Span = Span::from_millis(100);

    /// A link that carries `rate` bytes a second behind a queue, and a sender that keeps the window full.
    fn run(pace: &mut Pace, mut now: Time, rate: f64, each: f64, steps: usize) -> (Time, f64) {
        let (mut free, mut out, mut worst) = (now, VecDeque::new(), 0.0_f64);
        for step in 0..steps {
            while pace.has_room(each, RTT) {
                free = free.max(now) + Span::from_secs_f64(each / rate);
                out.push_back((free + RTT, pace.sent(now, each, RTT)));
                // The first ones go out in one burst: only what follows is held by the pace.
                if step > steps / 2 {
                    worst = worst.max((free - now).as_secs_f64());
                }
            }
            let (at, mark) = out.pop_front().unwrap();
            now = at;
            pace.ended(now, mark, each, Some(each));
        }
        for (at, mark) in out {
            pace.ended(at.max(now), mark, each, Some(each));
            now = now.max(at);
        }
        (now, worst)
    }

    #[test]
    fn it_finds_the_rate_of_a_link_and_follows_when_that_narrows() {
        let mut pace = Pace::default();
        let (now, _) = run(&mut pace, Time::from_micros(1), 2e6, 20e3, 2_000);
        let found = pace.rate().unwrap();
        assert!((1.5e6..2.5e6).contains(&found), "{found}");
        // The queue before the narrow place stays below half a round trip once the pace is known.
        let (now, worst) = run(&mut pace, now, 2e6, 20e3, 500);
        assert!(worst < 0.5 * RTT.as_secs_f64() + 0.02, "{worst}");
        let (_, _) = run(&mut pace, now, 0.5e6, 20e3, 1_500);
        let found = pace.rate().unwrap();
        assert!((0.3e6..0.8e6).contains(&found), "{found}");
    }

    #[test]
    fn an_idle_link_is_not_taken_for_a_narrow_one() {
        let mut pace = Pace::default();
        let (mut now, _) = run(&mut pace, Time::from_micros(1), 2e6, 20e3, 1_000);
        let before = pace.rate().unwrap();
        for _ in 0..100 {
            let mark = pace.sent(now, 1e3, RTT);
            now += RTT;
            pace.ended(now, mark, 1e3, Some(1e3));
            now += Span::from_millis(900);
        }
        assert!(pace.rate().unwrap() >= before);
    }

    quickcheck! {
        fn what_is_out_is_given_back_and_the_samples_stay_bounded(all: Vec<(u16, bool, u8)>) -> bool {
            let (mut pace, mut now, mut out) = (Pace::default(), Time::from_micros(1), VecDeque::new());
            for (bytes, arrives, wait) in all {
                let bytes = f64::from(bytes);
                out.push_back((pace.sent(now, bytes, RTT), bytes));
                now += Span::from_millis(u64::from(wait) * 20);
                if arrives && let Some((mark, bytes)) = out.pop_front() {
                    pace.ended(now, mark, bytes, Some(bytes));
                }
                assert!(pace.best.len() <= MOST_SAMPLES && pace.best.iter().all(|b| b.1.is_finite()));
                assert!(pace.best.iter().zip(pace.best.iter().skip(1)).all(|(a, b)| a.1 > b.1));
            }
            for (mark, bytes) in out {
                pace.ended(now, mark, bytes, None);
            }
            pace.out() < 1e-6
        }
    }
}
