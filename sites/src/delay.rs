//! Delay-based congestion control: the window grows while the round trip stays near its minimum and shrinks
//! as a queue builds up at the bottleneck. Loss is attributed to the link until it is heavy. Meant for
//! links that an installation has to itself; it yields to loss-based flows. No I/O and no clock.
//!
//! Sources: LEDBAT (RFC 6817: a target for the queueing delay, the base delay as a windowed minimum), Copa
//! (Arun and Balakrishnan, NSDI 2018: the standing RTT as the minimum over the last round trip, which is
//! robust to jitter), and RFC 9002 section 7 (persistent congestion, the minimum window).

use kelpcart::{Span, Time};
use std::collections::VecDeque;

/// Window of the base RTT's minimum filter.
const BASE_RTT_WINDOW: Span = Span::from_millis(10_000);
/// Target for the queueing delay: the greater of this and a share of the base RTT.
const MIN_TARGET_DELAY: Span = Span::from_millis(20);
/// Target for the queueing delay as a share of the base RTT.
const TARGET_DELAY_SHARE: f64 = 0.08;
/// Growth of the window per round trip during slow start.
const SLOW_START_FACTOR: f64 = 2.0;
/// Growth of the window per round trip after slow start: in full without a queue, scaled by the square of
/// the unused share of the target.
const GAIN: f64 = 0.15;
/// Slow start ends after this many consecutive rounds over the target: a single one may be noise when few
/// packets are in flight.
const SLOW_START_EXIT_ROUNDS: u32 = 2;
/// A round never reduces the window below this share.
const MIN_DECREASE_FACTOR: f64 = 0.7;
/// Above this loss rate, loss is attributed to an overflowing queue.
const HEAVY_LOSS_RATE: f64 = 0.2;
/// Loss of fewer packets than this is never heavy.
const HEAVY_LOSS_MIN_PACKETS: f64 = 8.0;
/// Initial window.
const INITIAL_WINDOW_PACKETS: f64 = 32.0;
const MIN_WINDOW_PACKETS: f64 = 4.0;
const MAX_WINDOW_BYTES: f64 = 16.0 * 1024.0 * 1024.0;

/// Minimum of the samples in a time window.
#[derive(Clone, Debug, Default)]
struct WindowedMin {
    /// Oldest first, in ascending order of the sample.
    samples: VecDeque<(Time, Span)>,
}

impl WindowedMin {
    fn add(&mut self, now: Time, sample: Span, within: Span) {
        while self.samples.back().is_some_and(|b| b.1 >= sample) {
            self.samples.pop_back();
        }
        self.samples.push_back((now, sample));
        while self.samples.len() > 1 && now - self.samples[0].0 > within {
            self.samples.pop_front();
        }
    }

    fn get(&self) -> Option<Span> {
        self.samples.front().map(|f| f.1)
    }
}

#[derive(Clone, Debug)]
pub struct DelayController {
    window: f64,
    packet_size: f64,
    base_rtt: WindowedMin,
    /// Minimum RTT of this round.
    round_min_rtt: Option<Span>,
    round_acked: f64,
    round_acked_busy: f64,
    round_lost: f64,
    /// The round ends with the first acknowledged packet that was sent after this time.
    round_start: Time,
    slow_start: bool,
    rounds_over_target: u32,
}

impl DelayController {
    pub fn new(now: Time, packet_size: u16) -> DelayController {
        let packet_size = f64::from(packet_size);
        DelayController {
            window: packet_size * INITIAL_WINDOW_PACKETS,
            packet_size,
            base_rtt: WindowedMin::default(),
            round_min_rtt: None,
            round_acked: 0.0,
            round_acked_busy: 0.0,
            round_lost: 0.0,
            round_start: now,
            slow_start: true,
            rounds_over_target: 0,
        }
    }

    /// Bytes that may be in flight.
    pub fn window(&self) -> f64 {
        self.window
    }

    pub fn set_packet_size(&mut self, bytes: u16) {
        self.packet_size = f64::from(bytes);
        self.window = self.window.max(self.packet_size * MIN_WINDOW_PACKETS);
    }

    /// A packet was acknowledged. `limited`: the sender had nothing more to send when it was sent.
    pub fn on_ack(&mut self, now: Time, sent: Time, bytes: f64, limited: bool) {
        let sample = now - sent;
        self.base_rtt.add(now, sample, BASE_RTT_WINDOW);
        self.round_min_rtt = Some(self.round_min_rtt.map_or(sample, |min| min.min(sample)));
        self.round_acked += bytes;
        self.round_acked_busy += if limited { 0.0 } else { bytes };
        if sent >= self.round_start {
            self.end_round(now);
        }
    }

    pub fn on_loss(&mut self, bytes: f64, persistent: bool) {
        self.round_lost += bytes;
        if persistent {
            // Persistent congestion: the estimates may no longer hold for this path.
            self.window = self.packet_size * MIN_WINDOW_PACKETS;
            (self.slow_start, self.base_rtt) = (true, WindowedMin::default());
        }
    }

    fn end_round(&mut self, now: Time) {
        let (base_rtt, standing_rtt) =
            (self.base_rtt.get().unwrap_or_default(), self.round_min_rtt.take().unwrap_or_default());
        let queue = Span::from_micros(standing_rtt.as_micros().saturating_sub(base_rtt.as_micros()));
        let target = MIN_TARGET_DELAY.max(base_rtt * TARGET_DELAY_SHARE);
        let loss = self.round_lost / (self.round_acked + self.round_lost).max(1.0);
        let heavy_loss =
            loss > HEAVY_LOSS_RATE && self.round_lost > HEAVY_LOSS_MIN_PACKETS * self.packet_size;
        self.rounds_over_target = if queue > target { self.rounds_over_target + 1 } else { 0 };
        if self.slow_start
            && queue <= target * 2.0
            && self.rounds_over_target < SLOW_START_EXIT_ROUNDS
            && !heavy_loss
        {
            // One round over the target is not conclusive yet: hold the window.
            self.window *= if self.rounds_over_target == 0 && self.round_acked_busy * 2.0 >= self.round_acked
            {
                SLOW_START_FACTOR
            } else {
                1.0
            };
        } else if queue > target || heavy_loss {
            self.slow_start = false;
            let excess = (queue / target - 1.0).max(0.0) * (target / (base_rtt + queue));
            let factor = if heavy_loss { 1.0 - loss / 2.0 } else { 1.0 - excess };
            self.window *= factor.max(MIN_DECREASE_FACTOR);
        } else if self.round_acked_busy * 2.0 >= self.round_acked {
            let headroom = (1.0 - queue / target).powi(2);
            self.window = self.window * (1.0 + GAIN * headroom) + self.packet_size * headroom;
        }
        self.window = self.window.clamp(self.packet_size * MIN_WINDOW_PACKETS, MAX_WINDOW_BYTES);
        (self.round_acked, self.round_acked_busy, self.round_lost, self.round_start) = (0.0, 0.0, 0.0, now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    const PACKET: f64 = 1_200.0;

    struct Link {
        /// Bytes per second; RTT and jitter in seconds; loss rate; queue capacity in bytes.
        rate: f64,
        trip: f64,
        jitter: f64,
        loss: f64,
        queue: f64,
    }

    fn at(secs: f64) -> Time {
        Time::from_micros((secs * 1e6) as u64 + 1)
    }

    /// Simulates a sender that always has data. Returns the share of the link rate that arrived and the
    /// mean queueing delay in seconds, both over the second half.
    fn run(delay: &mut DelayController, link: &Link, from: f64, secs: f64) -> (f64, f64) {
        let mut rng = Pcg64Mcg::seed_from_u64(7);
        let (mut now, mut free, mut in_flight, mut last) = (from, from, 0.0, 0.0_f64);
        let mut out = VecDeque::new();
        let (mut arrived, mut waited, mut n) = (0.0, 0.0, 0.0);
        while now < from + secs {
            while in_flight + PACKET <= delay.window() {
                in_flight += PACKET;
                let waits = (free - now).max(0.0);
                let fits = waits * link.rate <= link.queue;
                if fits {
                    free = free.max(now) + PACKET / link.rate;
                }
                let passes = fits && !rng.random_bool(link.loss);
                let due = free.max(now) + link.trip + rng.random_range(0.0..link.jitter + 1e-9);
                last = last.max(due);
                out.push_back((last, now, passes));
                if now > from + secs / 2.0 {
                    (waited, n) = (waited + waits, n + 1.0);
                }
            }
            let Some((due, sent, passes)) = out.pop_front() else { break };
            now = now.max(due);
            in_flight -= PACKET;
            if passes {
                delay.on_ack(at(now), at(sent), PACKET, false);
                arrived += if now > from + secs / 2.0 { PACKET } else { 0.0 };
            } else {
                delay.on_loss(PACKET, false);
            }
        }
        (arrived / link.rate / (secs / 2.0), waited / f64::max(n, 1.0))
    }

    #[test]
    fn loss_and_jitter_cost_little_throughput_and_the_queue_stays_short() {
        for (loss, least) in [(0.0, 0.9), (0.02, 0.88), (0.1, 0.8)] {
            let link = Link { rate: 2e6, trip: 0.16, jitter: 0.02, loss, queue: 1e6 };
            let mut delay = DelayController::new(at(0.0), PACKET as u16);
            let (part, queue) = run(&mut delay, &link, 0.0, 40.0);
            assert!(part >= least && part <= 1.01, "{loss}: {part}");
            assert!(queue < 0.08, "{loss}: {queue}");
        }
    }

    #[test]
    fn the_window_follows_changes_of_the_link_rate() {
        let mut delay = DelayController::new(at(0.0), PACKET as u16);
        let wide = Link { rate: 4e6, trip: 0.1, jitter: 0.01, loss: 0.01, queue: 1e6 };
        let narrow = Link { rate: 0.4e6, ..wide };
        run(&mut delay, &wide, 0.0, 20.0);
        let (part, queue) = run(&mut delay, &narrow, 20.0, 20.0);
        assert!(part > 0.85 && queue < 0.1, "{part} {queue}");
        let (part, _) = run(&mut delay, &wide, 40.0, 30.0);
        assert!(part > 0.8, "{part}");
    }

    #[test]
    fn a_queue_too_short_to_measure_is_detected_by_heavy_loss() {
        let link = Link { rate: 1e6, trip: 0.1, jitter: 0.0, loss: 0.0, queue: 6_000.0 };
        let mut delay = DelayController::new(at(0.0), PACKET as u16);
        let (part, _) = run(&mut delay, &link, 0.0, 40.0);
        assert!(part > 0.7, "{part}");
        // At most a quarter more in flight than the link holds.
        assert!(delay.window() < 1.6 * 1e6 * 0.106, "{}", delay.window());
    }

    #[test]
    fn an_application_limited_sender_keeps_its_window_and_persistent_congestion_resets_it() {
        let mut delay = DelayController::new(at(0.0), 1_200);
        let before = delay.window();
        for i in 0..100 {
            let now = f64::from(i);
            delay.on_ack(at(now + 0.1), at(now), 1_200.0, true);
        }
        assert!((delay.window() - before).abs() < 1.0);
        delay.on_loss(1_200.0, true);
        assert!((delay.window() - 4_800.0).abs() < 1.0);
    }
}
