//! Measures a link's delivery rate, and derives how much may be in flight and how long a txn waits to be
//! delivered.
//!
//! Invariant: only delivered bytes count, and an idle period is not taken for low bandwidth.
//!
//! Sources: BBR (Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM Queue 2016) for the
//! windowed maximum of the delivery rate and a window that is a multiple of the bandwidth-delay product;
//! draft-cheng-iccrg-delivery-rate-estimation for the rule that only a sender with more to send (not
//! application-limited) learns the link's capacity.

use kelpcart::{Span, Time};
use std::collections::VecDeque;

/// Window of the minimum and maximum filters.
const SAMPLE_WINDOW: Span = Span::from_millis(10_000);
/// Window as a multiple of what is delivered in the shortest answer time. Well above 1, since an answer
/// takes the other site's work in addition to the round trip: with less, the window would limit the
/// measured rate and never grow. What exceeds one multiple queues in the acceptor's sender, behind
/// everything more important.
const WINDOW_GAIN: f64 = 3.0;
/// Lower bound of the window.
const MIN_WINDOW_BYTES: f64 = 256.0 * 1024.0;
/// Upper bound of the window.
const MAX_WINDOW_BYTES: f64 = 8.0 * 1024.0 * 1024.0;
/// The delivery rate is sampled over at least this interval.
const MIN_RATE_INTERVAL: Span = Span::from_millis(200);
/// A shorter blocked period indicates a burst, not a saturated link.
const MIN_BLOCKED_TIME: Span = Span::from_millis(1_000);
/// Bound on the samples kept by a filter.
const MAX_SAMPLES: usize = 64;
/// Shorter answer times measure the scheduler, not the link.
const MIN_ANSWER_TIME: Span = Span::from_millis(1);

/// Maximum of the samples in `SAMPLE_WINDOW`.
#[derive(Debug, Default)]
struct WindowedMax {
    /// Oldest first, in descending order of the sample.
    samples: VecDeque<(Time, f64)>,
}

impl WindowedMax {
    fn get(&self) -> Option<f64> {
        self.samples.front().map(|b| b.1)
    }

    fn add(&mut self, now: Time, value: f64) {
        while self.samples.back().is_some_and(|b| b.1 <= value) {
            self.samples.pop_back();
        }
        self.samples.push_back((now, value));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.remove(1);
        }
        while self.samples.len() > 1 && now - self.samples[0].0 > SAMPLE_WINDOW {
            self.samples.pop_front();
        }
    }

    /// Keeps only the newest sample, until a greater one replaces it.
    fn keep_latest(&mut self) {
        if let Some(&last) = self.samples.back() {
            self.samples = VecDeque::from([last]);
        }
    }
}

#[derive(Debug, Default)]
pub struct Pacer {
    delivered: f64,
    /// Start of the current rate interval, and bytes delivered by then.
    rate_interval: Option<(Time, f64)>,
    /// Delivery rate in bytes per second, over all intervals.
    max_rate: WindowedMax,
    /// Delivery rate while hops waited for the window.
    saturated_rate: WindowedMax,
    /// Since when hops wait for the window, and bytes delivered by then.
    blocked_since: Option<(Time, f64)>,
    /// The shortest answer times in seconds, negated for the maximum filter.
    neg_min_answer_secs: WindowedMax,
    /// Expected bytes in flight.
    in_flight: f64,
}

impl Pacer {
    /// Delivery rate in bytes per second; `None` before the first sample.
    pub fn rate(&self) -> Option<f64> {
        self.max_rate.get()
    }

    pub fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Bytes that may be in flight.
    pub fn window(&self) -> f64 {
        let window =
            self.rate().zip(self.neg_min_answer_secs.get()).map(|(rate, secs)| rate * -secs * WINDOW_GAIN);
        window.unwrap_or(0.0).clamp(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES)
    }

    /// Whether `bytes` fit into the window beside the `out` bytes in flight of at least the same
    /// importance. A hop larger than the window is sent alone.
    pub fn has_room(&self, out: f64, bytes: f64) -> bool {
        out <= 0.0 || out + bytes <= self.window()
    }

    pub fn on_sent(&mut self, bytes: f64) {
        self.in_flight += bytes;
    }

    /// Bytes have arrived, of any hop.
    pub fn on_received(&mut self, now: Time, bytes: f64) {
        self.delivered += bytes;
        let (since, before) = *self.rate_interval.get_or_insert((now, self.delivered));
        let elapsed = now - since;
        if elapsed >= MIN_RATE_INTERVAL.max(self.min_answer_time()) {
            self.max_rate.add(now, (self.delivered - before) / elapsed.as_secs_f64());
            self.rate_interval = Some((now, self.delivered));
        }
        // A link shows its capacity only while more is offered, and for longer than an answer takes.
        if let Some((since, before)) = self.blocked_since {
            let elapsed = now - since;
            if elapsed >= MIN_BLOCKED_TIME.max(self.min_answer_time() * 2.0) {
                self.saturated_rate.add(now, (self.delivered - before) / elapsed.as_secs_f64());
            }
        }
    }

    /// An answer is complete, or will not arrive. `bytes` is what was passed to `on_sent`.
    pub fn on_finished(&mut self, now: Time, sent: Time, bytes: f64, completed: bool) {
        self.in_flight = (self.in_flight - bytes).max(0.0);
        let elapsed = now - sent;
        if completed && elapsed >= MIN_ANSWER_TIME {
            self.neg_min_answer_secs.add(now, -elapsed.as_secs_f64());
        }
    }

    /// Sets whether hops wait that the window holds back.
    pub fn set_blocked(&mut self, now: Time, blocked: bool) {
        self.blocked_since = blocked.then(|| self.blocked_since.unwrap_or((now, self.delivered)));
        if !blocked {
            self.saturated_rate = WindowedMax::default();
        }
    }

    /// The shortest recent answer time.
    pub fn min_answer_time(&self) -> Span {
        self.neg_min_answer_secs.get().map_or(Span::ZERO, |secs| Span::from_secs_f64(-secs))
    }

    /// How long `bytes` wait behind `ahead` bytes, including those in flight, beyond the shortest answer
    /// time. Zero while nothing waits: the saturated rate may then be outdated.
    pub fn queueing_delay(&self, ahead: f64, bytes: f64) -> Span {
        let Some(rate) = self.saturated_rate.get().filter(|_| self.blocked_since.is_some()) else {
            return Span::ZERO;
        };
        let delay_secs = (ahead + bytes) / rate.max(1.0);
        Span::from_secs_f64(delay_secs - self.min_answer_time().as_secs_f64())
    }

    /// A new connection: nothing is in flight, and the rate has to be measured again.
    pub fn on_reconnect(&mut self) {
        self.in_flight = 0.0;
        self.max_rate.keep_latest();
        self.neg_min_answer_secs.keep_latest();
        (self.saturated_rate, self.blocked_since, self.rate_interval) = (WindowedMax::default(), None, None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    const RTT: Span = Span::from_millis(100);

    /// Simulates a link of `rate` bytes per second with a queue, and a sender that always has data.
    fn run(pace: &mut Pacer, mut now: Time, rate: f64, each: f64, steps: usize) -> (Time, f64) {
        let (mut free, mut out, mut worst) = (now, VecDeque::new(), 0.0_f64);
        for step in 0..steps {
            while pace.has_room(pace.in_flight(), each) {
                pace.on_sent(each);
                free = free.max(now) + Span::from_secs_f64(each / rate);
                out.push_back((free + RTT, now));
                // The first ones are sent as one burst; only later ones are limited by the window.
                if step > steps / 2 {
                    worst = worst.max((free - now).as_secs_f64());
                }
            }
            pace.set_blocked(now, true);
            let (at, sent) = out.pop_front().unwrap();
            now = at;
            pace.on_received(now, each);
            pace.on_finished(now, sent, each, true);
        }
        for (at, sent) in out {
            now = now.max(at);
            pace.on_received(now, each);
            pace.on_finished(now, sent, each, true);
        }
        pace.set_blocked(now, false);
        (now, worst)
    }

    #[test]
    fn the_rate_of_a_link_is_found_and_followed_when_it_drops() {
        let mut pace = Pacer::default();
        let (now, _) = run(&mut pace, Time::from_micros(1), 2e6, 20e3, 2_000);
        let found = pace.rate().unwrap();
        assert!((1.5e6..2.5e6).contains(&found), "{found}");
        // The queue at the bottleneck stays below two round trips once the rate is known.
        let (now, worst) = run(&mut pace, now, 2e6, 20e3, 500);
        assert!(worst < 2.5 * RTT.as_secs_f64() + 0.02, "{worst}");
        let (_, _) = run(&mut pace, now, 0.5e6, 20e3, 3_000);
        let found = pace.rate().unwrap();
        assert!((0.3e6..0.8e6).contains(&found), "{found}");
    }

    #[test]
    fn an_idle_link_is_not_taken_for_a_slow_one() {
        let mut pace = Pacer::default();
        let (mut now, _) = run(&mut pace, Time::from_micros(1), 2e6, 20e3, 1_000);
        let before = pace.rate().unwrap();
        for _ in 0..100 {
            let sent = now;
            pace.on_sent(1e3);
            now += RTT;
            pace.on_received(now, 1e3);
            pace.on_finished(now, sent, 1e3, true);
            now += Span::from_millis(900);
        }
        // Nothing waits, so no hop is refused for a rate that was not measured.
        assert_eq!(pace.queueing_delay(1e9, 1e9), Span::ZERO);
        assert!(before > 1e6 && pace.window() >= MIN_WINDOW_BYTES);
    }

    quickcheck! {
        fn bytes_in_flight_return_to_zero_and_the_samples_stay_bounded(steps: Vec<(u16, bool, u8)>) -> bool {
            let (mut pace, mut now, mut out) = (Pacer::default(), Time::from_micros(1), VecDeque::new());
            for (bytes, comes, wait) in steps {
                let bytes = f64::from(bytes);
                pace.on_sent(bytes);
                out.push_back((now, bytes));
                now += Span::from_millis(u64::from(wait) * 20);
                if comes && let Some((sent, bytes)) = out.pop_front() {
                    pace.on_received(now, bytes);
                    pace.on_finished(now, sent, bytes, true);
                }
                let samples = &pace.max_rate.samples;
                assert!(samples.len() <= MAX_SAMPLES && samples.iter().all(|b| b.1.is_finite()));
                assert!(samples.iter().zip(samples.iter().skip(1)).all(|(a, b)| a.1 > b.1));
            }
            for (sent, bytes) in out {
                pace.on_finished(now, sent, bytes, false);
            }
            pace.in_flight() < 1e-6
        }
    }
}
