//! Measures what a link delivers, and says how much may be on its way at once and whether a txn can cross in its
//! time. Must never count what was not delivered, nor let one idle moment pass for a narrow link.
//!
//! Source: the windowed greatest of the delivery rate and the window as a multiple of what fits into the shortest time,
//! from BBR (Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM Queue 2016); that only a sender who has
//! more to send learns what a link can do, from draft-cheng-iccrg-delivery-rate-estimation.

use kelpcart::{Span, Time};
use std::collections::VecDeque;

/// The greatest and the least sample count for this long.
const SAMPLE_WINDOW: Span = Span::from_millis(10_000);
/// On the way at most: this many times what is delivered in the time of the quickest answer. Well above one, since an
/// answer takes the far site's work beside the round trip: with less the window would be its own measure and never
/// grow. What is beyond one waits at the far end's sender, behind all that matters more.
const WINDOW_GAIN: f64 = 3.0;
/// Never fewer bytes than this on the way, and never more.
const MIN_WINDOW_BYTES: f64 = 256.0 * 1024.0;
const MAX_WINDOW_BYTES: f64 = 8.0 * 1024.0 * 1024.0;
/// What comes is counted over so long at the least.
const MIN_RATE_INTERVAL: Span = Span::from_millis(200);
/// A shorter time for which something waits shows a burst, not a full link.
const MIN_BLOCKED_TIME: Span = Span::from_millis(1_000);
/// Samples kept at most.
const MAX_SAMPLES: usize = 64;
/// Shorter ones measure the scheduler, not the link.
const MIN_ANSWER_TIME: Span = Span::from_millis(1);

/// The greatest of the samples of late.
#[derive(Debug, Default)]
struct WindowedMax {
    /// Newest last, each greater than all behind it.
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

    /// Only the newest stands, until a greater one comes.
    fn keep_latest(&mut self) {
        if let Some(&last) = self.samples.back() {
            self.samples = VecDeque::from([last]);
        }
    }
}

#[derive(Debug, Default)]
pub struct Pacer {
    delivered: f64,
    /// When the present count began, and what had come till then.
    rate_interval: Option<(Time, f64)>,
    /// Bytes a second: of all counts, and while more waited than the window let go.
    max_rate: WindowedMax,
    saturated_rate: WindowedMax,
    /// Since when more waits, and what was delivered till then.
    blocked_since: Option<(Time, f64)>,
    /// What the quickest answers took, in seconds below zero.
    neg_min_answer_secs: WindowedMax,
    /// Expected bytes on their way.
    in_flight: f64,
}

impl Pacer {
    /// Bytes a second, or `None` while nothing is measured.
    pub fn rate(&self) -> Option<f64> {
        self.max_rate.get()
    }

    pub fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// What may be on its way at once.
    pub fn window(&self) -> f64 {
        let fits =
            self.rate().zip(self.neg_min_answer_secs.get()).map(|(rate, secs)| rate * -secs * WINDOW_GAIN);
        fits.unwrap_or(0.0).clamp(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES)
    }

    /// There is room for so many bytes beside `out` that matter as much, or none do: what is larger than the window
    /// goes alone.
    pub fn has_room(&self, out: f64, bytes: f64) -> bool {
        out <= 0.0 || out + bytes <= self.window()
    }

    pub fn on_sent(&mut self, bytes: f64) {
        self.in_flight += bytes;
    }

    /// So many bytes have come, of whatever was sent.
    pub fn on_received(&mut self, now: Time, bytes: f64) {
        self.delivered += bytes;
        let (since, before) = *self.rate_interval.get_or_insert((now, self.delivered));
        let over = now - since;
        if over >= MIN_RATE_INTERVAL.max(self.min_answer_time()) {
            self.max_rate.add(now, (self.delivered - before) / over.as_secs_f64());
            self.rate_interval = Some((now, self.delivered));
        }
        // A link shows what it can do only while it is asked for more, and for longer than its answers take.
        if let Some((since, before)) = self.blocked_since {
            let over = now - since;
            if over >= MIN_BLOCKED_TIME.max(self.min_answer_time() * 2.0) {
                self.saturated_rate.add(now, (self.delivered - before) / over.as_secs_f64());
            }
        }
    }

    /// An answer is whole, or will not come: `bytes` is what was told to `sent`.
    pub fn on_finished(&mut self, now: Time, sent: Time, bytes: f64, came: bool) {
        self.in_flight = (self.in_flight - bytes).max(0.0);
        let took = now - sent;
        if came && took >= MIN_ANSWER_TIME {
            self.neg_min_answer_secs.add(now, -took.as_secs_f64());
        }
    }

    /// Whether something waits that the window does not let go.
    pub fn set_blocked(&mut self, now: Time, is: bool) {
        self.blocked_since = is.then(|| self.blocked_since.unwrap_or((now, self.delivered)));
        if !is {
            self.saturated_rate = WindowedMax::default();
        }
    }

    /// What the quickest answer of late took.
    pub fn min_answer_time(&self) -> Span {
        self.neg_min_answer_secs.get().map_or(Span::ZERO, |secs| Span::from_secs_f64(-secs))
    }

    /// How long `bytes` wait behind `ahead` bytes, those on their way included, beyond what any answer takes; nothing
    /// while nothing waits: then the figure may be of another time.
    pub fn queueing_delay(&self, ahead: f64, bytes: f64) -> Span {
        let Some(rate) = self.saturated_rate.get().filter(|_| self.blocked_since.is_some()) else {
            return Span::ZERO;
        };
        let all = (ahead + bytes) / rate.max(1.0);
        Span::from_secs_f64(all - self.min_answer_time().as_secs_f64())
    }

    /// A new connection: nothing is on its way, and the pace has to be found again.
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

    /// A link that carries `rate` bytes a second behind a queue, and a sender that always has more to send.
    fn run(pace: &mut Pacer, mut now: Time, rate: f64, each: f64, steps: usize) -> (Time, f64) {
        let (mut free, mut out, mut worst) = (now, VecDeque::new(), 0.0_f64);
        for step in 0..steps {
            while pace.has_room(pace.in_flight(), each) {
                pace.on_sent(each);
                free = free.max(now) + Span::from_secs_f64(each / rate);
                out.push_back((free + RTT, now));
                // The first ones go out in one burst: only what follows is held by the pace.
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
    fn it_finds_the_rate_of_a_link_and_follows_when_that_narrows() {
        let mut pace = Pacer::default();
        let (now, _) = run(&mut pace, Time::from_micros(1), 2e6, 20e3, 2_000);
        let found = pace.rate().unwrap();
        assert!((1.5e6..2.5e6).contains(&found), "{found}");
        // What waits before the narrow place stays below two round trips once the pace is known.
        let (now, worst) = run(&mut pace, now, 2e6, 20e3, 500);
        assert!(worst < 2.5 * RTT.as_secs_f64() + 0.02, "{worst}");
        let (_, _) = run(&mut pace, now, 0.5e6, 20e3, 3_000);
        let found = pace.rate().unwrap();
        assert!((0.3e6..0.8e6).contains(&found), "{found}");
    }

    #[test]
    fn an_idle_link_is_not_taken_for_a_narrow_one() {
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
        // Nothing waits: nobody is told off for what the link did not show.
        assert_eq!(pace.queueing_delay(1e9, 1e9), Span::ZERO);
        assert!(before > 1e6 && pace.window() >= MIN_WINDOW_BYTES);
    }

    quickcheck! {
        fn what_is_out_is_given_back_and_the_samples_stay_bounded(all: Vec<(u16, bool, u8)>) -> bool {
            let (mut pace, mut now, mut out) = (Pacer::default(), Time::from_micros(1), VecDeque::new());
            for (bytes, comes, wait) in all {
                let bytes = f64::from(bytes);
                pace.on_sent(bytes);
                out.push_back((now, bytes));
                now += Span::from_millis(u64::from(wait) * 20);
                if comes && let Some((sent, bytes)) = out.pop_front() {
                    pace.on_received(now, bytes);
                    pace.on_finished(now, sent, bytes, true);
                }
                let all = &pace.max_rate.samples;
                assert!(all.len() <= MAX_SAMPLES && all.iter().all(|b| b.1.is_finite()));
                assert!(all.iter().zip(all.iter().skip(1)).all(|(a, b)| a.1 > b.1));
            }
            for (sent, bytes) in out {
                pace.on_finished(now, sent, bytes, false);
            }
            pace.in_flight() < 1e-6
        }
    }
}
