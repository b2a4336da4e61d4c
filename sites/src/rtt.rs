//! Estimates a link's round-trip time and its variation from the link's own acknowledgements, and the
//! time-out after which silence counts as a sign of failure.
//!
//! Invariant: a sample belongs to exactly one request, so that no ambiguous sample is used.
//!
//! Sources: RFC 6298, section 2 (smoothed RTT and variation) and section 5.5 (back-off when the timer
//! expires); RFC 9002, section 5.3 (first sample).

use kelpcart::Span;

/// Gain of the smoothed RTT (RFC 6298, 2.3).
const ALPHA: f64 = 1.0 / 8.0;
/// Gain of the RTT variation (RFC 6298, 2.3).
const BETA: f64 = 1.0 / 4.0;
/// Multiple of the variation in the time-out (K in RFC 6298).
const VARIATION_FACTOR: f64 = 4.0;
/// Assumed before the first sample (RFC 9002, 6.2.2).
const INITIAL_RTT: Span = Span::from_millis(333);
/// Timers and schedulers on a busy machine are no finer than this.
const TIMER_GRANULARITY: Span = Span::from_millis(20);
const MAX_TIMEOUT: Span = Span::from_millis(4_000);

#[derive(Clone, Debug, Default)]
pub struct RttEstimator {
    smoothed: Option<f64>,
    variation: f64,
}

impl RttEstimator {
    pub fn sample(&mut self, took: Span) {
        let secs = took.as_secs_f64();
        match self.smoothed {
            None => (self.smoothed, self.variation) = (Some(secs), secs / 2.0),
            Some(smooth) => {
                self.variation += BETA * ((smooth - secs).abs() - self.variation);
                self.smoothed = Some(smooth + ALPHA * (secs - smooth));
            }
        }
    }

    /// Smoothed RTT.
    pub fn smoothed(&self) -> Span {
        self.smoothed.map_or(INITIAL_RTT, Span::from_secs_f64)
    }

    /// Time after which a reply is overdue.
    pub fn timeout(&self) -> Span {
        let spread = Span::from_secs_f64(self.variation * VARIATION_FACTOR).max(TIMER_GRANULARITY);
        (self.smoothed() + spread).min(MAX_TIMEOUT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    #[test]
    fn the_first_sample_initializes_the_estimator_as_in_the_rfc() {
        let mut rtt = RttEstimator::default();
        assert_eq!((rtt.smoothed(), rtt.timeout()), (INITIAL_RTT, INITIAL_RTT + TIMER_GRANULARITY));
        rtt.sample(Span::from_millis(100));
        assert_eq!((rtt.smoothed(), rtt.timeout()), (Span::from_millis(100), Span::from_millis(300)));
    }

    quickcheck! {
        fn the_timeout_exceeds_the_estimate_and_converges_on_steady_samples(wild: Vec<u16>, steady: u8) -> bool {
            let mut rtt = RttEstimator::default();
            for ms in wild {
                rtt.sample(Span::from_millis(ms.into()));
                assert!(rtt.timeout() > rtt.smoothed() || rtt.timeout() == MAX_TIMEOUT);
            }
            let steady = Span::from_millis(u64::from(steady) + 1);
            (0..200).for_each(|_| rtt.sample(steady));
            rtt.smoothed().as_micros().abs_diff(steady.as_micros()) < 1_000
                && rtt.timeout() <= steady + TIMER_GRANULARITY + Span::from_millis(1)
        }
    }
}
