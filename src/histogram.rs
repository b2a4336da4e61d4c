//! A small histogram of spans with a few bins whose upper ends grow by a constant ratio.

use crate::time::Span;

#[derive(Clone, Debug)]
pub struct Histogram {
    first: f64,
    ratio: f64,
    bins: Vec<f64>,
}

impl Histogram {
    /// `first` is the upper end of the lowest bin, in seconds.
    pub fn new(first: f64, ratio: f64, bins: usize) -> Histogram {
        Histogram { first, ratio, bins: vec![0.0; bins] }
    }

    pub fn record(&mut self, span: Span) {
        let steps = (span.as_secs_f64() / self.first).max(1e-9).ln() / self.ratio.ln();
        let bin = steps.ceil().clamp(0.0, (self.bins.len() - 1) as f64) as usize;
        self.bins[bin] += 1.0;
    }

    pub fn count(&self) -> f64 {
        self.bins.iter().sum()
    }

    pub fn halve(&mut self) {
        for bin in &mut self.bins {
            *bin /= 2.0;
        }
    }

    /// The `q` quantile, interpolated linearly within its bin; `None` while empty.
    pub fn quantile(&self, q: f64) -> Option<Span> {
        let total = self.count();
        if total <= 0.0 {
            return None;
        }
        let mut left = total * q;
        for (i, &n) in self.bins.iter().enumerate() {
            if n > 0.0 && left <= n {
                let high = self.first * self.ratio.powi(i as i32);
                let low = if i == 0 { 0.0 } else { high / self.ratio };
                return Some(Span::from_secs_f64(low + (high - low) * left / n));
            }
            left -= n;
        }
        Some(Span::from_secs_f64(self.first * self.ratio.powi(self.bins.len() as i32 - 1)))
    }
}
