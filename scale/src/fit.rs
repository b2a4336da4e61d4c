//! Fits growth laws to benchmark series: a + b f(n) with a, b >= 0, where f is log n, n, n log n or n squared, or the
//! constant a alone.
//!
//! Invariant: an estimate always states whether its size lies outside the measured range.
//!
//! The fit minimizes the squared relative error, so that small sizes weigh as much as large ones. Laws are compared by
//! Akaike's information criterion (AIC), n ln(mean squared error) + 2 per fitted parameter. The slowest-growing law within
//! 1 of the minimum is chosen; the others within 4 are kept as alternatives (Burnham and Anderson, "Model Selection and
//! Multimodel Inference", 2002, 2.6: considerably less support beyond 4). The spread of the alternatives at an
//! extrapolated size is the uncertainty of the prediction.

use crate::slopes::{Sample, Series};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GrowthLaw {
    Constant,
    Log,
    Linear,
    LinearLog,
    Quadratic,
}

/// All laws, ordered from the slowest to the fastest growth.
pub const GROWTH_LAWS: [GrowthLaw; 5] =
    [GrowthLaw::Constant, GrowthLaw::Log, GrowthLaw::Linear, GrowthLaw::LinearLog, GrowthLaw::Quadratic];

impl GrowthLaw {
    /// Returns f(n). Logarithms are taken of 1 + n, so that 0 is a valid size (such as a loss rate of zero).
    pub fn basis(self, n: f64) -> f64 {
        let log = (1.0 + n.max(0.0)).log2();
        match self {
            GrowthLaw::Constant => 0.0,
            GrowthLaw::Log => log,
            GrowthLaw::Linear => n,
            GrowthLaw::LinearLog => n * log,
            GrowthLaw::Quadratic => n * n,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            GrowthLaw::Constant => "constant",
            GrowthLaw::Log => "log n",
            GrowthLaw::Linear => "n",
            GrowthLaw::LinearLog => "n log n",
            GrowthLaw::Quadratic => "n²",
        }
    }
}

/// Selects one statistic of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statistic {
    Mean,
    Worst,
    P99,
}

impl Statistic {
    pub fn of(self, point: &Sample) -> Option<f64> {
        match self {
            Statistic::Mean => Some(point.mean),
            Statistic::Worst => Some(point.worst),
            Statistic::P99 => point.p99,
        }
    }
}

/// a + b f(n).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Curve {
    pub law: GrowthLaw,
    pub a: f64,
    pub b: f64,
}

impl Curve {
    pub fn at(&self, n: f64) -> f64 {
        self.a + self.b * self.law.basis(n)
    }
}

#[derive(Clone, Debug)]
pub struct Fit {
    pub curve: Curve,
    /// Root mean square of the relative error over the samples.
    pub error: f64,
    /// Fits of other laws whose AIC is within `ALTERNATIVE_AIC` of the best.
    pub alternatives: Vec<Curve>,
    /// Measured sizes and values, sorted by size.
    points: Vec<(f64, f64)>,
}

/// The value of a series at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    /// Bounds of the value. At an extrapolated size they cover the chosen law, the alternatives and the law's error.
    pub lower: f64,
    pub upper: f64,
    pub basis: Basis,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Basis {
    /// The size was measured.
    Sampled,
    /// Interpolated linearly between two measured sizes, since values that are bounded or change in steps follow no law.
    Interpolated,
    /// Below the smallest measured size.
    BelowRange,
    /// Extrapolated to this multiple of the largest measured size.
    Extrapolated(f64),
}

/// Weights each sample by the inverse of its value. The value is clamped to 0.1 % of the largest one, so that a sample near
/// zero does not dominate the fit.
fn weights(points: &[(f64, f64)]) -> Vec<f64> {
    let largest = points.iter().fold(0.0_f64, |m, p| m.max(p.1.abs()));
    let floor = if largest > 0.0 { largest * 1e-3 } else { 1.0 };
    points.iter().map(|p| 1.0 / p.1.abs().max(floor)).collect()
}

fn squared_error(curve: &Curve, points: &[(f64, f64)], weights: &[f64]) -> f64 {
    points.iter().zip(weights).map(|(p, w)| ((curve.at(p.0) - p.1) * w).powi(2)).sum()
}

/// Fits one law to the samples by weighted least squares.
fn fit_law(law: GrowthLaw, points: &[(f64, f64)], weights: &[f64]) -> Curve {
    // Sums of the normal equations for the relative residuals (a + b f - y) w.
    let (mut ww, mut wf, mut ff, mut wy, mut fy) = (0.0, 0.0, 0.0, 0.0, 0.0);
    // f is scaled by its maximum, so that the fourth powers of the quadratic law keep enough precision.
    let scale = points.iter().fold(0.0_f64, |m, p| m.max(law.basis(p.0).abs()));
    let scale = if scale > 0.0 { scale } else { 1.0 };
    for (p, w) in points.iter().zip(weights) {
        let (f, w2) = (law.basis(p.0) / scale, w * w);
        ww += w2;
        wf += w2 * f;
        ff += w2 * f * f;
        wy += w2 * p.1;
        fy += w2 * f * p.1;
    }
    let flat = Curve { law, a: (wy / ww).max(0.0), b: 0.0 };
    if law == GrowthLaw::Constant || ff <= 0.0 {
        return flat;
    }
    let through = Curve { law, a: 0.0, b: (fy / ff).max(0.0) / scale };
    let det = ww * ff - wf * wf;
    let (a, b) = ((wy * ff - fy * wf) / det, (fy * ww - wy * wf) / det);
    if det > 1e-12 * ww * ff && a >= 0.0 && b >= 0.0 {
        return Curve { law, a, b: b / scale };
    }
    let less = squared_error(&through, points, weights) < squared_error(&flat, points, weights);
    if less { through } else { flat }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Difference in AIC up to which two laws count as equally good.
const TIE_AIC: f64 = 1.0;
/// Difference in AIC up to which a law is kept as an alternative.
const ALTERNATIVE_AIC: f64 = 4.0;
/// Floor of the mean squared relative error: relative errors below one millionth count as exact.
const MIN_SQUARED_ERROR: f64 = 1e-12;

fn aic(curve: &Curve, points: &[(f64, f64)], weights: &[f64]) -> f64 {
    let n = points.len() as f64;
    let parameters = if curve.law == GrowthLaw::Constant { 1.0 } else { 2.0 };
    n * (squared_error(curve, points, weights) / n + MIN_SQUARED_ERROR).ln() + 2.0 * parameters
}

/// Fits a growth law to pairs of size and value. Returns `None` if there are no samples or one is negative or not finite.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let mut points = points.to_vec();
    let is_usable = |p: &(f64, f64)| p.0.is_finite() && p.0 >= 0.0 && p.1.is_finite() && p.1 >= 0.0;
    if points.is_empty() || !points.iter().all(is_usable) {
        return None;
    }
    points.sort_by(|x, y| x.0.total_cmp(&y.0));
    let weights = weights(&points);
    let mut distinct: Vec<f64> = points.iter().map(|p| p.0).collect();
    distinct.dedup();
    // Two sizes cannot distinguish the laws: linear growth is assumed.
    let laws = match distinct.len() {
        1 => vec![GrowthLaw::Constant],
        2 => vec![GrowthLaw::Linear],
        _ => GROWTH_LAWS.to_vec(),
    };
    let curves: Vec<Curve> = laws.iter().map(|law| fit_law(*law, &points, &weights)).collect();
    let scores: Vec<f64> = curves.iter().map(|c| aic(c, &points, &weights)).collect();
    let lower = scores.iter().copied().fold(f64::INFINITY, f64::min);
    let chosen = scores.iter().position(|c| *c <= lower + TIE_AIC)?;
    let others = curves.iter().zip(&scores).enumerate();
    let alternatives =
        others.filter(|(i, (_, c))| *i != chosen && **c <= lower + ALTERNATIVE_AIC).map(|(_, (c, _))| *c);
    let alternatives = alternatives.collect();
    let curve = curves[chosen];
    let curve = if curve.b == 0.0 { Curve { law: GrowthLaw::Constant, ..curve } } else { curve };
    let error = (squared_error(&curve, &points, &weights) / points.len() as f64).sqrt();
    Some(Fit { curve, error, alternatives, points })
}

/// Fits one statistic of a series. Returns `None` if a sample lacks the statistic.
pub fn fit_series(series: &Series, statistic: Statistic) -> Option<Fit> {
    let points: Option<Vec<_>> = series.points.iter().map(|p| Some((p.at, statistic.of(p)?))).collect();
    fit(&points?)
}

impl Fit {
    pub fn largest(&self) -> f64 {
        self.points.last().map_or(0.0, |p| p.0)
    }

    /// Formats the law with its error.
    pub fn describe(&self) -> String {
        let (law, a, b) = (self.curve.law.name(), self.curve.a, self.curve.b);
        let formula = match (a > 0.0, b > 0.0) {
            (_, false) => format_number(a),
            (false, true) => format!("{} {law}", format_number(b)),
            (true, true) => format!("{} + {} {law}", format_number(a), format_number(b)),
        };
        format!("{formula} {}", format_error(self.error))
    }

    pub fn at(&self, n: f64) -> Estimate {
        let measured: Vec<f64> = self.points.iter().filter(|p| p.0 == n).map(|p| p.1).collect();
        let exact = |value: f64, basis: Basis| Estimate { value, lower: value, upper: value, basis };
        if !measured.is_empty() {
            return exact(mean(&measured), Basis::Sampled);
        }
        let next = self.points.partition_point(|p| p.0 < n);
        if next > 0 && next < self.points.len() {
            let (low, high) = (self.points[next - 1], self.points[next]);
            let part = (n - low.0) / (high.0 - low.0);
            return exact(low.1 + part * (high.1 - low.1), Basis::Interpolated);
        }
        let value = self.curve.at(n);
        let all = || self.alternatives.iter().map(|c| c.at(n));
        let (lower, most) = (all().fold(value, f64::min), all().fold(value, f64::max));
        let basis = if next == 0 { Basis::BelowRange } else { Basis::Extrapolated(n / self.largest()) };
        Estimate {
            value,
            lower: lower * (1.0 - self.error).max(0.0),
            upper: most * (1.0 + self.error),
            basis,
        }
    }
}

/// Formats a relative error as a percentage; less than 0.01 % is shown as 0.
pub fn format_error(error: f64) -> String {
    let percent = error * 100.0;
    format!("±{}%", if percent < 0.01 { "0".to_owned() } else { format_number(percent) })
}

/// Formats a number with three significant digits and thousands separators.
pub fn format_number(value: f64) -> String {
    let size = value.abs();
    if size >= 1e9 {
        return format!("{value:.2e}");
    }
    if size >= 99.95 {
        let step = 10f64.powi((size.log10().floor() as i32 - 2).max(0));
        let digits = format!("{:.0}", (size / step).round() * step);
        let mut out = String::new();
        for (i, digit) in digits.chars().enumerate() {
            if i > 0 && (digits.len() - i).is_multiple_of(3) {
                out.push(',');
            }
            out.push(digit);
        }
        return if value < 0.0 { format!("-{out}") } else { out };
    }
    if size == 0.0 {
        return "0".to_owned();
    }
    if size < 1e-3 {
        return format!("{value:.1e}");
    }
    let places = (2 - size.log10().floor() as i32).clamp(0, 5) as usize;
    let text = format!("{value:.places$}");
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text }
}
