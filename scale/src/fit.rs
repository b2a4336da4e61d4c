//! The growth law that holds for a ladder: a + b f(n) with neither below zero, f one of log n, n, n log n and n squared,
//! or the constant a alone. Must never hide that a size lies beyond those that were run.
//!
//! Fitted by least squared relative error, so that small sizes weigh as much as large ones. Laws are compared by
//! Akaike's criterion, n ln(mean squared error) + 2 for each part that was fitted: taken is the one that grows least among
//! those within 1 of the least; the others within 4 are kept as rivals (Burnham and Anderson, "Model Selection and
//! Multimodel Inference", 2002, 2.6: less support beyond 4). What these give at a size beyond the ladder is the range
//! within which the law is not known.

use crate::slopes::{Sample, Series};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GrowthLaw {
    Constant,
    Log,
    Linear,
    LinearLog,
    Quadratic,
}

/// From what grows least to what grows most.
pub const GROWTH_LAWS: [GrowthLaw; 5] =
    [GrowthLaw::Constant, GrowthLaw::Log, GrowthLaw::Linear, GrowthLaw::LinearLog, GrowthLaw::Quadratic];

impl GrowthLaw {
    /// f(n); the logarithm is that of 1 + n, so that nothing lost and nobody there are sizes, too.
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

/// Which figure of the points.
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
    /// Root of the mean squared relative error over the points.
    pub error: f64,
    /// Laws that fit as well, by the rule above.
    pub alternatives: Vec<Curve>,
    /// Sizes and values that were run, by size.
    points: Vec<(f64, f64)>,
}

/// What a ladder gives at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    /// Beyond what was run: of the law and its rivals, with the law's error.
    pub lower: f64,
    pub upper: f64,
    pub basis: Basis,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Basis {
    /// The size itself was run: the value is the run's.
    Sampled,
    /// Between two sizes that were run: on the line from one to the other, since bounds and steps follow no law.
    Interpolated,
    /// Below the smallest size that was run.
    BelowRange,
    /// So many times the largest size that was run.
    Extrapolated(f64),
}

/// A point weighs by its own value; one near zero by the ladder's greatest, so that it alone does not decide.
fn weights(points: &[(f64, f64)]) -> Vec<f64> {
    let greatest = points.iter().fold(0.0_f64, |m, p| m.max(p.1.abs()));
    let floor = if greatest > 0.0 { greatest * 1e-3 } else { 1.0 };
    points.iter().map(|p| 1.0 / p.1.abs().max(floor)).collect()
}

fn squared_error(curve: &Curve, points: &[(f64, f64)], weights: &[f64]) -> f64 {
    points.iter().zip(weights).map(|(p, w)| ((curve.at(p.0) - p.1) * w).powi(2)).sum()
}

/// The best of one law over some points.
fn fit_law(law: GrowthLaw, points: &[(f64, f64)], weights: &[f64]) -> Curve {
    // Relative residuals: (a + b f - y) w.
    let (mut ww, mut wf, mut ff, mut wy, mut fy) = (0.0, 0.0, 0.0, 0.0, 0.0);
    // Scaled by the greatest, so that squares of squares stay exact enough.
    let unit = points.iter().fold(0.0_f64, |m, p| m.max(law.basis(p.0).abs()));
    let unit = if unit > 0.0 { unit } else { 1.0 };
    for (p, w) in points.iter().zip(weights) {
        let (f, w2) = (law.basis(p.0) / unit, w * w);
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
    let through = Curve { law, a: 0.0, b: (fy / ff).max(0.0) / unit };
    let det = ww * ff - wf * wf;
    let (a, b) = ((wy * ff - fy * wf) / det, (fy * ww - wy * wf) / det);
    if det > 1e-12 * ww * ff && a >= 0.0 && b >= 0.0 {
        return Curve { law, a, b: b / unit };
    }
    let less = squared_error(&through, points, weights) < squared_error(&flat, points, weights);
    if less { through } else { flat }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// By Akaike's criterion: no law is preferred for less than this, and none left out for less than that.
const TIE_AIC: f64 = 1.0;
const ALTERNATIVE_AIC: f64 = 4.0;
/// Mean squared relative error below which nothing is told apart: a millionth, squared.
const MIN_SQUARED_ERROR: f64 = 1e-12;

fn aic(curve: &Curve, points: &[(f64, f64)], weights: &[f64]) -> f64 {
    let n = points.len() as f64;
    let parts = if curve.law == GrowthLaw::Constant { 1.0 } else { 2.0 };
    n * (squared_error(curve, points, weights) / n + MIN_SQUARED_ERROR).ln() + 2.0 * parts
}

/// Of sizes and values; none where there are no points or one is not a number.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let mut points = points.to_vec();
    let usable = |p: &(f64, f64)| p.0.is_finite() && p.0 >= 0.0 && p.1.is_finite() && p.1 >= 0.0;
    if points.is_empty() || !points.iter().all(usable) {
        return None;
    }
    points.sort_by(|x, y| x.0.total_cmp(&y.0));
    let weights = weights(&points);
    let mut distinct: Vec<f64> = points.iter().map(|p| p.0).collect();
    distinct.dedup();
    // Two sizes can't tell laws apart: what grows is taken to grow as they do.
    let laws = match distinct.len() {
        1 => vec![GrowthLaw::Constant],
        2 => vec![GrowthLaw::Linear],
        _ => GROWTH_LAWS.to_vec(),
    };
    let curves: Vec<Curve> = laws.iter().map(|law| fit_law(*law, &points, &weights)).collect();
    let judged: Vec<f64> = curves.iter().map(|c| aic(c, &points, &weights)).collect();
    let least = judged.iter().copied().fold(f64::INFINITY, f64::min);
    let chosen = judged.iter().position(|c| *c <= least + TIE_AIC)?;
    let others = curves.iter().zip(&judged).enumerate();
    let rivals =
        others.filter(|(i, (_, c))| *i != chosen && **c <= least + ALTERNATIVE_AIC).map(|(_, (c, _))| *c);
    let rivals = rivals.collect();
    let curve = curves[chosen];
    let curve = if curve.b == 0.0 { Curve { law: GrowthLaw::Constant, ..curve } } else { curve };
    let error = (squared_error(&curve, &points, &weights) / points.len() as f64).sqrt();
    Some(Fit { curve, error, alternatives: rivals, points })
}

/// Of one figure of a ladder, where all its points have it.
pub fn fit_series(ladder: &Series, figure: Statistic) -> Option<Fit> {
    let points: Option<Vec<_>> = ladder.points.iter().map(|p| Some((p.at, figure.of(p)?))).collect();
    fit(&points?)
}

impl Fit {
    pub fn largest(&self) -> f64 {
        self.points.last().map_or(0.0, |p| p.0)
    }

    /// The law in words, with its error.
    pub fn describe(&self) -> String {
        let (law, a, b) = (self.curve.law.name(), self.curve.a, self.curve.b);
        let grows = match (a > 0.0, b > 0.0) {
            (_, false) => format_number(a),
            (false, true) => format!("{} {law}", format_number(b)),
            (true, true) => format!("{} + {} {law}", format_number(a), format_number(b)),
        };
        format!("{grows} {}", format_error(self.error))
    }

    pub fn at(&self, n: f64) -> Estimate {
        let run: Vec<f64> = self.points.iter().filter(|p| p.0 == n).map(|p| p.1).collect();
        let surely = |value: f64, basis: Basis| Estimate { value, lower: value, upper: value, basis };
        if !run.is_empty() {
            return surely(mean(&run), Basis::Sampled);
        }
        let above = self.points.partition_point(|p| p.0 < n);
        if above > 0 && above < self.points.len() {
            let (low, high) = (self.points[above - 1], self.points[above]);
            let part = (n - low.0) / (high.0 - low.0);
            return surely(low.1 + part * (high.1 - low.1), Basis::Interpolated);
        }
        let value = self.curve.at(n);
        let all = || self.alternatives.iter().map(|c| c.at(n));
        let (least, most) = (all().fold(value, f64::min), all().fold(value, f64::max));
        let basis = if above == 0 { Basis::BelowRange } else { Basis::Extrapolated(n / self.largest()) };
        Estimate {
            value,
            lower: least * (1.0 - self.error).max(0.0),
            upper: most * (1.0 + self.error),
            basis,
        }
    }
}

/// A relative error in per cent; below a hundredth of one it is none.
pub fn format_error(error: f64) -> String {
    let percent = error * 100.0;
    format!("±{}%", if percent < 0.01 { "0".to_owned() } else { format_number(percent) })
}

/// Three digits that count, thousands set apart.
pub fn format_number(value: f64) -> String {
    let size = value.abs();
    if size >= 1e9 {
        return format!("{value:.2e}");
    }
    if size >= 99.95 {
        let step = 10f64.powi((size.log10().floor() as i32 - 2).max(0));
        let whole = format!("{:.0}", (size / step).round() * step);
        let mut out = String::new();
        for (i, digit) in whole.chars().enumerate() {
            if i > 0 && (whole.len() - i).is_multiple_of(3) {
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
