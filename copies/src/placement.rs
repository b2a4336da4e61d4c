//! Placement of a group's replicas by rendezvous hashing over the holders, so that the loss of one holder moves only
//! its own replicas. No zone holds a majority of a group where the zones allow that.
//!
//! Invariant: every gateway with the same settings gets the same result, and no holder is chosen twice.

use crate::settings::Holder;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// All holders, in order of preference for the group.
pub fn preference_order(holders: &[Holder], group: u32) -> Vec<usize> {
    let mut all: Vec<usize> = (0..holders.len()).collect();
    let score = |i: usize| xxh3_64_with_seed(holders[i].name.as_bytes(), u64::from(group));
    all.sort_by_key(|&i| (std::cmp::Reverse(score(i)), &holders[i].name));
    all
}

/// The `n` most preferred usable holders. A zone gets less than a majority unless there are no other holders.
pub fn choose_holders(
    holders: &[Holder],
    order: &[usize],
    n: usize,
    usable: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let most = (n - 1) / 2;
    let mut by_zone = BTreeMap::<&str, usize>::new();
    let (mut chosen, mut spare) = (Vec::new(), Vec::new());
    for &i in order.iter().filter(|&&i| usable(i)) {
        let zone = by_zone.entry(&holders[i].zone).or_default();
        if chosen.len() < n && *zone < most {
            *zone += 1;
            chosen.push(i);
        } else {
            spare.push(i);
        }
    }
    let missing = n.saturating_sub(chosen.len());
    chosen.extend(spare.into_iter().take(missing));
    chosen
}

/// The group that keeps a sender's txns.
pub fn group_of(sender: u64, groups: u32) -> u32 {
    (xxh3_64_with_seed(&sender.to_be_bytes(), 0) % u64::from(groups.max(1))) as u32
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    fn holders(zones: &[u8]) -> Vec<Holder> {
        let one = |(i, zone): (usize, &u8)| Holder {
            name: format!("g{i}"),
            address: ([127, 0, 0, 1], 1_000 + i as u16).into(),
            zone: format!("z{}", zone % 4),
        };
        zones.iter().enumerate().map(one).collect()
    }

    quickcheck! {
        fn no_zone_holds_a_majority_where_zones_allow_it(zones: Vec<u8>, five: bool, group: u8) -> bool {
            let (holders, n) = (holders(&zones[..zones.len().min(40)]), if five { 5 } else { 3 });
            let order = preference_order(&holders, group.into());
            let chosen = choose_holders(&holders, &order, n, |_| true);
            let distinct: std::collections::BTreeSet<_> = chosen.iter().collect();
            let mut sizes = BTreeMap::<&str, usize>::new();
            holders.iter().for_each(|h| *sizes.entry(&h.zone).or_default() += 1);
            let possible = sizes.values().map(|s| (*s).min((n - 1) / 2)).sum::<usize>() >= n;
            let mut held = BTreeMap::<&str, usize>::new();
            chosen.iter().for_each(|&i| *held.entry(&holders[i].zone).or_default() += 1);
            distinct.len() == chosen.len()
                && chosen.len() == n.min(holders.len())
                && (!possible || held.values().all(|h| *h <= (n - 1) / 2))
        }

        fn the_loss_of_a_holder_moves_only_its_own_replicas(zones: Vec<u8>, gone: usize, group: u8) -> bool {
            let holders = holders(&zones[..zones.len().min(40)]);
            if holders.len() < 4 {
                return true;
            }
            let (order, gone) = (preference_order(&holders, group.into()), gone % holders.len());
            // Each holder in a zone of its own, so that zones do not limit the choice.
            let apart: Vec<Holder> = holders.iter().map(|h| Holder { zone: h.name.clone(), ..h.clone() }).collect();
            let (before, after) = (choose_holders(&apart, &order, 3, |_| true), choose_holders(&apart, &order, 3, |i| i != gone));
            before.iter().filter(|&&i| i != gone).all(|i| after.contains(i))
        }
    }
}
