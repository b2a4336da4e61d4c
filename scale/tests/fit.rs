//! Growth laws are recovered from samples independent of scale and unit.

use kelpcart_scale::fit::{self, Basis, GrowthLaw};
use quickcheck::{TestResult, quickcheck};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SIZES: [f64; 8] = [25.0, 50.0, 100.0, 300.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0];
const NOISE: f64 = 0.03;

fn law(n: u8) -> GrowthLaw {
    fit::GROWTH_LAWS[usize::from(n) % fit::GROWTH_LAWS.len()]
}

/// Returns a law whose growing term is `part` times the constant one at the smallest size.
fn truth(law: GrowthLaw, part: f64) -> impl Fn(f64) -> f64 {
    move |n| 100.0 + 100.0 * part * law.basis(n) / law.basis(SIZES[0]).max(1.0)
}

quickcheck! {
    fn a_law_with_noise_is_recovered_or_approximated_within_the_noise(n: u8, part: u8, seed: u64) -> bool {
        let (law, mut rng) = (law(n), Pcg64Mcg::seed_from_u64(seed));
        let truth = truth(law, f64::from(part) / 64.0);
        let points: Vec<_> =
            SIZES.iter().map(|n| (*n, truth(*n) * rng.random_range(1.0 - NOISE..1.0 + NOISE))).collect();
        let found = fit::fit(&points).unwrap();
        let off = |n: &f64| (found.curve.at(*n) / truth(*n) - 1.0).powi(2);
        let off = (SIZES.iter().map(off).sum::<f64>() / SIZES.len() as f64).sqrt();
        found.curve.law == law || off < NOISE
    }

    fn a_law_without_noise_is_recovered_exactly(n: u8, part: u8) -> TestResult {
        if part < 8 {
            return TestResult::discard();
        }
        let law = law(n);
        let truth = truth(law, f64::from(part) / 64.0);
        let found = fit::fit(&SIZES.map(|n| (n, truth(n)))).unwrap();
        let extrapolated = found.at(80_000.0);
        let is_close = (extrapolated.value / truth(80_000.0) - 1.0).abs() < 1e-4;
        TestResult::from_bool(found.curve.law == law && found.error < 1e-6 && is_close)
    }

    fn the_law_is_independent_of_the_unit(n: u8, part: u8, seed: u64, unit: i8) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let truth = truth(law(n), f64::from(part) / 64.0);
        let unit = 10f64.powi(i32::from(unit) / 12);
        let points: Vec<_> =
            SIZES.iter().map(|n| (*n, truth(*n) * rng.random_range(1.0 - NOISE..1.0 + NOISE))).collect();
        let scaled: Vec<_> = points.iter().map(|p| (p.0, p.1 * unit)).collect();
        let (one, other) = (fit::fit(&points).unwrap(), fit::fit(&scaled).unwrap());
        let same = (other.curve.at(5e4) / one.curve.at(5e4) / unit - 1.0).abs() < 1e-6;
        one.curve.law == other.curve.law && same && (one.error - other.error).abs() < 1e-9
    }

    fn falling_or_jumping_values_give_no_negative_coefficients(values: Vec<u16>) -> TestResult {
        if values.is_empty() || values.len() > 12 {
            return TestResult::discard();
        }
        let points: Vec<_> = values.iter().enumerate().map(|(i, v)| (10.0 * i as f64, f64::from(*v))).collect();
        let found = fit::fit(&points).unwrap();
        let valid = found.curve.a >= 0.0 && found.curve.b >= 0.0 && found.error.is_finite();
        let at = found.at(1e4);
        TestResult::from_bool(valid && at.lower <= at.value && at.value <= at.upper)
    }
}

#[test]
fn an_estimate_states_how_far_it_is_extrapolated() {
    let found = fit::fit(&SIZES.map(|n| (n, 3.0 * n))).unwrap();
    assert_eq!(found.curve.law, GrowthLaw::Linear);
    assert_eq!(found.at(16_000.0).basis, Basis::Extrapolated(2.0));
    assert_eq!(found.at(500.0).basis, Basis::Interpolated);
    assert_eq!(found.at(1.0).basis, Basis::BelowRange);
    assert_eq!(found.at(4_000.0).basis, Basis::Sampled);
}

#[test]
fn a_measured_size_gives_the_measured_value() {
    let mut points = SIZES.map(|n| (n, 3.0 * n));
    points[6].1 *= 1.2;
    assert_eq!(fit::fit(&points).unwrap().at(4_000.0).value, 14_400.0);
}

/// A bounded table follows no growth law, so values between samples must come from interpolation.
#[test]
fn values_between_samples_are_interpolated_linearly() {
    let bounded = [(25.0, 25.0), (1_000.0, 1_000.0), (2_000.0, 1_024.0), (8_000.0, 1_024.0)];
    let found = fit::fit(&bounded).unwrap();
    assert_eq!((found.at(727.0).value, found.at(4_000.0).value), (727.0, 1_024.0));
    let extrapolated = found.at(16_000.0);
    let laws = found.alternatives.iter().chain([&found.curve]).map(|c| c.at(16_000.0));
    let top = laws.fold(0.0, f64::max);
    assert!(found.error > 0.2 && extrapolated.upper >= top * (1.0 + found.error), "{extrapolated:?}");
}

/// All laws fit closely spaced sizes, so the extrapolated range must show their spread.
#[test]
fn laws_that_a_short_series_cannot_distinguish_give_a_range() {
    let narrow =
        [100.0, 110.0, 120.0, 130.0].map(|n: f64| (n, 300.0 + n * if n == 110.0 { 1.05 } else { 1.0 }));
    let extrapolated = fit::fit(&narrow).unwrap().at(10_000.0);
    assert!(extrapolated.upper > 2.0 * extrapolated.lower, "{extrapolated:?}");
}

/// Measured times in us for lists of 100 to 2,200 caches. One outlier must not change the law to n log n.
#[test]
fn a_clearly_better_fit_is_preferred_to_a_slower_growing_law() {
    let run = [(100.0, 21.6), (300.0, 97.9), (600.0, 364.0), (1_100.0, 902.0), (2_200.0, 2_800.0)];
    assert_eq!(fit::fit(&run).unwrap().curve.law, GrowthLaw::Quadratic);
}

#[test]
fn invalid_samples_are_not_fitted() {
    assert!(fit::fit(&[]).is_none());
    assert!(fit::fit(&[(1.0, f64::NAN)]).is_none());
    assert!(fit::fit(&[(1.0, -1.0)]).is_none());
}
