//! Combines the gateways' measurements into a robust estimate of the share of hops into a zone that went wrong, which a
//! few bad links or false reports cannot move.
//!
//! Invariant: one gateway's weight is bounded, and a gateway without hops has none.

use std::collections::BTreeMap;

/// The hops of one gateway into a zone over the last window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    pub hops: f64,
    /// Hops that were refused, broke off, or exceeded their SLA time.
    pub bad: f64,
}

/// Upper bound of a gateway's weight, as a multiple of the median weight.
const MAX_WEIGHT_RATIO: f64 = 3.0;
/// No estimate is made from fewer hops than this in total.
const MIN_HOPS: f64 = 10.0;

/// The share of bad hops, and the number of hops that it is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub bad_share: f64,
    pub hops: f64,
}

/// The weighted median of the gateways' bad shares. A gateway's weight is the square root of its hops, and at most
/// `MAX_WEIGHT_RATIO` times the median weight. While gateways with false reports hold less than half of the weight, the
/// estimate lies within the range that the others report.
pub fn estimate(evidence: &BTreeMap<u64, Evidence>) -> Option<Estimate> {
    let is_valid = |a: &&Evidence| a.hops.is_finite() && a.bad.is_finite() && a.hops > 0.0 && a.bad >= 0.0;
    let mut weighted: Vec<(f64, f64)> =
        evidence.values().filter(is_valid).map(|a| ((a.bad / a.hops).min(1.0), a.hops.sqrt())).collect();
    let hops: f64 = evidence.values().filter(is_valid).map(|a| a.hops).sum();
    if hops < MIN_HOPS {
        return None;
    }
    let mut weights: Vec<f64> = weighted.iter().map(|a| a.1).collect();
    weights.sort_by(f64::total_cmp);
    let max_weight = weights[weights.len() / 2] * MAX_WEIGHT_RATIO;
    weighted.iter_mut().for_each(|a| a.1 = a.1.min(max_weight));
    weighted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = weighted.iter().map(|a| a.1).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for (bad_share, weight) in weighted {
        sum += weight;
        if sum >= half {
            return Some(Estimate { bad_share, hops });
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        /// A minority of false reports never moves the estimate outside the range of the honest ones.
        fn false_reports_of_a_minority_keep_the_estimate_within_the_honest_range(honest: Vec<(u8, u8)>, false_reports: Vec<(u32, u32)>) -> bool {
            let honest: Vec<Evidence> = honest.iter().map(|&(hops, bad)| {
                let hops = f64::from(hops % 100) + 50.0;
                Evidence { hops, bad: hops * f64::from(bad) / 255.0 }
            }).collect();
            if honest.len() < 6 {
                return true;
            }
            let max_false = honest.len() / 6;
            let false_reports = false_reports.iter().take(max_false).map(|&(hops, bad)| Evidence { hops: f64::from(hops), bad: f64::from(bad) });
            let all: BTreeMap<u64, Evidence> = honest.iter().copied().chain(false_reports).enumerate().map(|(i, a)| (i as u64, a)).collect();
            let shares: Vec<f64> = honest.iter().map(|a| a.bad / a.hops).collect();
            let (low, high) = shares.iter().fold((1.0f64, 0.0f64), |(l, h), p| (l.min(*p), h.max(*p)));
            estimate(&all).is_some_and(|e| e.bad_share >= low - 1e-9 && e.bad_share <= high + 1e-9)
        }
    }

    #[test]
    fn too_few_or_invalid_hops_give_no_estimate() {
        let one = |hops, bad| BTreeMap::from([(1, Evidence { hops, bad })]);
        assert_eq!(estimate(&one(9.0, 9.0)), None);
        assert_eq!(estimate(&one(f64::NAN, 1.0)), None);
        assert_eq!(estimate(&one(-5.0, 1.0)), None);
        assert_eq!(estimate(&one(100.0, 500.0)).map(|e| e.bad_share), Some(1.0));
    }
}
