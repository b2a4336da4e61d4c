//! Estimates the round trip of a link and its spread from the link's own acknowledgements, and when silence is
//! long enough to be a sign. Must never take a sample that could belong to another question.
//!
//! Source: RFC 6298, section 2 (smoothed round trip and variance) and section 5.5 (a timer that runs out backs
//! off); RFC 9002, section 5.3 (the first sample).

use kelpcart::Span;

/// Parts by which the estimates follow a sample (RFC 6298, 2.3).
const ALPHA: f64 = 1.0 / 8.0;
const BETA: f64 = 1.0 / 4.0;
/// Variances that are added to the estimate (K in RFC 6298).
const SPREADS: f64 = 4.0;
/// Before the first sample (RFC 9002, 6.2.2).
const FIRST: Span = Span::from_millis(333);
/// Timers and schedulers are no finer than this on a busy machine.
const GRAIN: Span = Span::from_millis(20);
const MOST: Span = Span::from_millis(4_000);

#[derive(Clone, Debug, Default)]
pub struct RoundTrip {
    smooth: Option<f64>,
    spread: f64,
}

impl RoundTrip {
    pub fn sample(&mut self, took: Span) {
        let secs = took.as_secs_f64();
        match self.smooth {
            None => (self.smooth, self.spread) = (Some(secs), secs / 2.0),
            Some(smooth) => {
                self.spread += BETA * ((smooth - secs).abs() - self.spread);
                self.smooth = Some(smooth + ALPHA * (secs - smooth));
            }
        }
    }

    /// The smoothed round trip.
    pub fn smooth(&self) -> Span {
        self.smooth.map_or(FIRST, Span::from_secs_f64)
    }

    /// An answer that takes longer than this is out of the ordinary.
    pub fn timeout(&self) -> Span {
        let spread = Span::from_secs_f64(self.spread * SPREADS).max(GRAIN);
        (self.smooth() + spread).min(MOST)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    #[test]
    fn the_first_sample_sets_all_as_the_rfc_says() {
        let mut rtt = RoundTrip::default();
        assert_eq!((rtt.smooth(), rtt.timeout()), (FIRST, FIRST + GRAIN));
        rtt.sample(Span::from_millis(100));
        assert_eq!((rtt.smooth(), rtt.timeout()), (Span::from_millis(100), Span::from_millis(300)));
    }

    quickcheck! {
        fn the_timeout_lies_above_the_estimate_and_settles_on_steady_samples(wild: Vec<u16>, steady: u8) -> bool {
            let mut rtt = RoundTrip::default();
            for ms in wild {
                rtt.sample(Span::from_millis(ms.into()));
                assert!(rtt.timeout() > rtt.smooth() || rtt.timeout() == MOST);
            }
            let steady = Span::from_millis(u64::from(steady) + 1);
            (0..200).for_each(|_| rtt.sample(steady));
            rtt.smooth().as_micros().abs_diff(steady.as_micros()) < 1_000
                && rtt.timeout() <= steady + GRAIN + Span::from_millis(1)
        }
    }
}
