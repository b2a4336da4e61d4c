//! What gateways measured by serving, put together: the part of hops into a zone that went wrong, as a few bad links or
//! false figures can't move it. Must never count one gateway for more than a bounded weight, nor one that has seen
//! nothing at all.

use std::collections::BTreeMap;

/// One gateway's account of the hops that it had into a zone, over the last window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    pub hops: f64,
    /// Of them: refused, broken off, or late beyond their SLA time.
    pub bad: f64,
}

/// A gateway counts for at most this many times what the middle one does.
const MAX_WEIGHT_RATIO: f64 = 3.0;
/// Accounts of fewer hops in all say nothing.
const MIN_HOPS: f64 = 10.0;

/// The part of hops that went wrong, and the hops behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub bad_share: f64,
    pub hops: f64,
}

/// The weighted median over gateways, by the root of what each has seen and no more than `MOST_WEIGHT` middle ones:
/// while those that report falsely hold less than half of the weight, it lies within what the others report.
pub fn estimate(accounts: &BTreeMap<u64, Evidence>) -> Option<Estimate> {
    let sound = |a: &&Evidence| a.hops.is_finite() && a.bad.is_finite() && a.hops > 0.0 && a.bad >= 0.0;
    let mut all: Vec<(f64, f64)> =
        accounts.values().filter(sound).map(|a| ((a.bad / a.hops).min(1.0), a.hops.sqrt())).collect();
    let hops: f64 = accounts.values().filter(sound).map(|a| a.hops).sum();
    if hops < MIN_HOPS {
        return None;
    }
    let mut weights: Vec<f64> = all.iter().map(|a| a.1).collect();
    weights.sort_by(f64::total_cmp);
    let most = weights[weights.len() / 2] * MAX_WEIGHT_RATIO;
    all.iter_mut().for_each(|a| a.1 = a.1.min(most));
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = all.iter().map(|a| a.1).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for (bad, weight) in all {
        sum += weight;
        if sum >= half {
            return Some(Estimate { bad_share: bad, hops });
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        /// A third that reports what it likes moves the estimate to nothing that the others do not report.
        fn a_third_that_lies_moves_it_within_what_the_others_report(sound: Vec<(u8, u8)>, lies: Vec<(u32, u32)>) -> bool {
            let sound: Vec<Evidence> = sound.iter().map(|&(hops, bad)| {
                let hops = f64::from(hops % 100) + 50.0;
                Evidence { hops, bad: hops * f64::from(bad) / 255.0 }
            }).collect();
            if sound.len() < 6 {
                return true;
            }
            let most = sound.len() / 6;
            let lies = lies.iter().take(most).map(|&(hops, bad)| Evidence { hops: f64::from(hops), bad: f64::from(bad) });
            let all: BTreeMap<u64, Evidence> = sound.iter().copied().chain(lies).enumerate().map(|(i, a)| (i as u64, a)).collect();
            let parts: Vec<f64> = sound.iter().map(|a| a.bad / a.hops).collect();
            let (low, high) = parts.iter().fold((1.0f64, 0.0f64), |(l, h), p| (l.min(*p), h.max(*p)));
            estimate(&all).is_some_and(|e| e.bad_share >= low - 1e-9 && e.bad_share <= high + 1e-9)
        }
    }

    #[test]
    fn little_or_impossible_evidence_says_nothing() {
        let one = |hops, bad| BTreeMap::from([(1, Evidence { hops, bad })]);
        assert_eq!(estimate(&one(9.0, 9.0)), None);
        assert_eq!(estimate(&one(f64::NAN, 1.0)), None);
        assert_eq!(estimate(&one(-5.0, 1.0)), None);
        assert_eq!(estimate(&one(100.0, 500.0)).map(|e| e.bad_share), Some(1.0));
    }
}
