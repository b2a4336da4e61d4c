//! Planning for all zones at once, on random loads and capacities: invariants of each table and of each step.

use kelpcart_failover::plan::{Load, PlanInput, Target, Zone, relay_zones, step, target};
use kelpcart_failover::settings::{Crossing, Steps};
use kelpcart_failover::table::{Table, TxnClass};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct Case {
    loads: Vec<Load>,
    zones: Vec<Zone>,
    near: Vec<Vec<usize>>,
    crossing: Crossing,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let part = |g: &mut Gen| f64::from(u16::arbitrary(g)) / 65_535.0;
        let n = usize::arbitrary(g) % 5 + 2;
        let sizes: Vec<f64> = (0..n).map(|_| [10.0, 100.0, 1_000.0][usize::arbitrary(g) % 3]).collect();
        let mut loads = Vec::new();
        for (z, size) in sizes.iter().enumerate() {
            for (importance, write) in [(9, true), (5, false), (2, false)] {
                let class = TxnClass { importance, write };
                let kb = 1.0 + part(g) * 50.0;
                loads.push(Load { from: (z, class), per_s: part(g) * size * 0.5, kb });
            }
        }
        let use_of_it = |g: &mut Gen| [0.0, 0.3, 1.0, 1.0, 1.0][usize::arbitrary(g) % 5];
        let zones = sizes
            .iter()
            .map(|s| Zone { capacity_per_s: s * (0.5 + part(g)), usable_share: use_of_it(g) })
            .collect();
        let near =
            (0..n).map(|z| (1..n).map(|k| (z + k) % n).filter(|_| u8::arbitrary(g) > 30).collect()).collect();
        let kb_per_s = bool::arbitrary(g).then(|| part(g) * 2_000.0);
        Case { loads, zones, near, crossing: Crossing { kb_per_s, reserve: 0.2 } }
    }
}

impl Case {
    fn input<'a>(&'a self, steps: &'a Steps) -> PlanInput<'a> {
        PlanInput {
            loads: &self.loads,
            zones: &self.zones,
            by_distance: &self.near,
            crossing: &self.crossing,
            steps,
        }
    }

    fn capacity(&self, z: usize, steps: &Steps) -> f64 {
        self.zones[z].capacity_per_s * self.zones[z].usable_share * steps.head_room
    }

    /// The load of each zone by a table.
    fn zone_loads(&self, table: &Table) -> Vec<f64> {
        let mut zone_loads = vec![0.0; self.zones.len()];
        for load in &self.loads {
            for (to, zone_load) in zone_loads.iter_mut().enumerate() {
                *zone_load += load.per_s * table.share(load.from, to);
            }
        }
        zone_loads
    }

    fn target(&self, steps: &Steps) -> Target {
        target(&self.input(steps), 1, 1)
    }
}

quickcheck! {
    fn no_zone_is_sent_more_than_its_capacity_and_none_both_sends_and_receives(case: Case) -> bool {
        let steps = Steps::default();
        let target = case.target(&steps);
        let loads = case.zone_loads(&target.table);
        let receives: Vec<bool> = (0..loads.len()).map(|z| target.table.remote_shares().any(|l| l.1 == z)).collect();
        let fits = (0..loads.len()).all(|z| !receives[z] || loads[z] <= case.capacity(z, &steps) + 1e-6);
        fits && relay_zones(&target.table).is_empty()
    }

    fn only_excess_load_leaves_a_zone_and_only_unplaceable_load_stays_unplaced(case: Case) -> bool {
        let steps = Steps::default();
        let target = case.target(&steps);
        let loads = case.zone_loads(&target.table);
        case.zones.iter().enumerate().all(|(z, _)| {
            let own: f64 = case.loads.iter().filter(|l| l.from.0 == z).map(|l| l.per_s).sum();
            let away: f64 = target.table.remote_shares().filter(|l| l.0.0 == z).map(|l| {
                l.2 * case.loads.iter().find(|x| x.from == l.0).map_or(0.0, |x| x.per_s)
            }).sum();
            let unplaced: f64 = target.unplaced.iter().filter(|u| u.0.0 == z).map(|u| u.1).sum();
            let capacity = case.capacity(z, &steps);
            // The zone's own members are full before anything leaves, and where load is unplaced no zone in reach has
            // spare capacity.
            let full = away + unplaced < 1e-6 || own - away - unplaced >= capacity - 1e-6;
            let no_spare_capacity = unplaced < 1e-6 || case.crossing.kb_per_s.is_some()
                || case.near[z].iter().all(|&to| loads[to] >= case.capacity(to, &steps) - 1e-6
                    || target.table.remote_shares().any(|l| l.0.0 == to) || target.unplaced.iter().any(|u| u.0.0 == to));
            full && no_spare_capacity && away <= own - own.min(capacity) + 1e-6
        })
    }

    fn cross_zone_traffic_keeps_its_limit_and_the_reserve_is_for_the_highest_importance(case: Case) -> bool {
        let steps = Steps::default();
        let target = case.target(&steps);
        let Some(all) = case.crossing.kb_per_s else { return true };
        let mut crossed = BTreeMap::<usize, (f64, f64)>::new();
        for (from, _, part) in target.table.remote_shares() {
            let load = case.loads.iter().find(|l| l.from == from).unwrap();
            let kb = part * load.per_s * load.kb;
            let of = crossed.entry(from.0).or_default();
            of.0 += kb;
            of.1 += if from.1.importance < 9 { kb } else { 0.0 };
        }
        crossed.values().all(|(kb, unreserved)| *kb <= all + 1e-6 && *unreserved <= all * (1.0 - case.crossing.reserve) + 1e-6)
    }

    /// The table converges to the target and stays there: each step is capped, no zone both sends and receives, no step
    /// sends a zone more than its capacity, and the distance to the target never grows.
    fn a_table_converges_to_the_target_by_capped_steps(before: Case, after: Case) -> bool {
        let steps = Steps::default();
        // The same loads and zones, with other capacities and health.
        let mut case = before.clone();
        let n = before.zones.len();
        case.zones = (0..n).map(|z| after.zones[z % after.zones.len()]).collect();
        let (first, target) = (before.target(&steps).table, case.target(&steps).table);
        let (mut table, mut distance) = (first, f64::INFINITY);
        for _ in 0..400 {
            let next = step(&table, &target, &case.input(&steps));
            if next.distance(&table) > steps.away * 2.0 + 1e-6 || !relay_zones(&next).is_empty() {
                println!("step of {}, relay zones {:?}", next.distance(&table), relay_zones(&next));
                return false;
            }
            let (was, loads) = (case.zone_loads(&table), case.zone_loads(&next));
            for z in 0..n {
                let more = next.remote_shares().any(|l| l.1 == z && l.2 > table.share(l.0, z) + 1e-9);
                if more && loads[z] > case.capacity(z, &steps) + 1e-6 && loads[z] > was[z] + 1e-6 {
                    println!("zone {z}: load {}, capacity {}", loads[z], case.capacity(z, &steps));
                    return false;
                }
            }
            let left = next.distance(&target);
            if left > distance + 1e-6 {
                println!("distance grew from {distance} to {left}");
                return false;
            }
            (table, distance) = (next, left);
        }
        if distance >= 1e-6 {
            println!("still at distance {distance}: {table:?}\n{target:?}\n{:?} {:?}", case.zones, case.zone_loads(&table));
        }
        distance < 1e-6 && case.zone_loads(&table).iter().zip(case.zone_loads(&target)).all(|(a, b)| (a - b).abs() < 1e-3)
    }
}

#[test]
fn higher_importance_stays_local_and_the_excess_goes_to_the_nearest_zone() {
    let class = |importance, write| TxnClass { importance, write };
    let loads = [
        Load { from: (0, class(9, true)), per_s: 40.0, kb: 1.0 },
        Load { from: (0, class(5, false)), per_s: 40.0, kb: 5.0 },
        Load { from: (0, class(2, false)), per_s: 40.0, kb: 50.0 },
        Load { from: (1, class(5, false)), per_s: 60.0, kb: 5.0 },
        Load { from: (2, class(5, false)), per_s: 10.0, kb: 5.0 },
    ];
    let zones = [
        Zone { capacity_per_s: 60.0, usable_share: 1.0 },
        Zone { capacity_per_s: 80.0, usable_share: 1.0 },
        Zone { capacity_per_s: 200.0, usable_share: 1.0 },
    ];
    let steps = Steps { head_room: 1.0, ..Steps::default() };
    let near = [vec![1, 2], vec![0, 2], vec![1, 0]];
    let input = PlanInput {
        loads: &loads,
        zones: &zones,
        by_distance: &near,
        crossing: &Crossing::default(),
        steps: &steps,
    };
    let target = target(&input, 1, 1);
    assert_eq!(target.table.away_share((0, class(9, true))), 0.0);
    assert!(
        (target.table.share((0, class(5, false)), 1) - 0.5).abs() < 1e-9,
        "twenty fit into the nearest zone"
    );
    assert!(
        (target.table.share((0, class(2, false)), 2) - 1.0).abs() < 1e-9,
        "the rest goes to the next nearest zone"
    );
    assert!(target.unplaced.is_empty());
}
