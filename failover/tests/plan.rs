//! Shares for all zones at once, on random loads and rooms: what has to hold of each table and of each step.

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
                let kind = TxnClass { importance, write };
                let kb = 1.0 + part(g) * 50.0;
                loads.push(Load { from: (z, kind), per_s: part(g) * size * 0.5, kb });
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
    fn view<'a>(&'a self, steps: &'a Steps) -> PlanInput<'a> {
        PlanInput {
            loads: &self.loads,
            zones: &self.zones,
            by_distance: &self.near,
            crossing: &self.crossing,
            steps,
        }
    }

    fn room(&self, z: usize, steps: &Steps) -> f64 {
        self.zones[z].capacity_per_s * self.zones[z].usable_share * steps.head_room
    }

    /// What each zone has by a table.
    fn has(&self, table: &Table) -> Vec<f64> {
        let mut has = vec![0.0; self.zones.len()];
        for load in &self.loads {
            for (to, has) in has.iter_mut().enumerate() {
                *has += load.per_s * table.share(load.from, to);
            }
        }
        has
    }

    fn wanted(&self, steps: &Steps) -> Target {
        target(&self.view(steps), 1, 1)
    }
}

quickcheck! {
    fn nothing_is_sent_beyond_what_a_zone_bears_and_no_zone_both_sends_and_gets(case: Case) -> bool {
        let steps = Steps::default();
        let wanted = case.wanted(&steps);
        let has = case.has(&wanted.table);
        let gets: Vec<bool> = (0..has.len()).map(|z| wanted.table.remote_shares().any(|l| l.1 == z)).collect();
        let fits = (0..has.len()).all(|z| !gets[z] || has[z] <= case.room(z, &steps) + 1e-6);
        fits && relay_zones(&wanted.table).is_empty()
    }

    fn only_what_a_zone_cannot_serve_leaves_it_and_what_is_not_placed_had_no_place(case: Case) -> bool {
        let steps = Steps::default();
        let wanted = case.wanted(&steps);
        let has = case.has(&wanted.table);
        case.zones.iter().enumerate().all(|(z, _)| {
            let own: f64 = case.loads.iter().filter(|l| l.from.0 == z).map(|l| l.per_s).sum();
            let away: f64 = wanted.table.remote_shares().filter(|l| l.0.0 == z).map(|l| {
                l.2 * case.loads.iter().find(|x| x.from == l.0).map_or(0.0, |x| x.per_s)
            }).sum();
            let unplaced: f64 = wanted.unplaced.iter().filter(|u| u.0.0 == z).map(|u| u.1).sum();
            let room = case.room(z, &steps);
            // Its own members are full before anything leaves, and nobody near has room where something is left over.
            let full = away + unplaced < 1e-6 || own - away - unplaced >= room - 1e-6;
            let no_room = unplaced < 1e-6 || case.crossing.kb_per_s.is_some()
                || case.near[z].iter().all(|&to| has[to] >= case.room(to, &steps) - 1e-6
                    || wanted.table.remote_shares().any(|l| l.0.0 == to) || wanted.unplaced.iter().any(|u| u.0.0 == to));
            full && no_room && away <= own - own.min(room) + 1e-6
        })
    }

    fn what_crosses_keeps_to_its_bytes_and_the_reserve_is_for_the_dearest(case: Case) -> bool {
        let steps = Steps::default();
        let wanted = case.wanted(&steps);
        let Some(all) = case.crossing.kb_per_s else { return true };
        let mut crossed = BTreeMap::<usize, (f64, f64)>::new();
        for (from, _, part) in wanted.table.remote_shares() {
            let load = case.loads.iter().find(|l| l.from == from).unwrap();
            let kb = part * load.per_s * load.kb;
            let of = crossed.entry(from.0).or_default();
            of.0 += kb;
            of.1 += if from.1.importance < 9 { kb } else { 0.0 };
        }
        crossed.values().all(|(kb, cheap)| *kb <= all + 1e-6 && *cheap <= all * (1.0 - case.crossing.reserve) + 1e-6)
    }

    /// Step after step a table comes to what is wanted and stays there: each step capped, no zone sends and gets, no zone
    /// gets more by a step than it bears, and the way there never turns.
    fn a_table_comes_to_what_is_wanted_by_capped_steps(before: Case, after: Case) -> bool {
        let steps = Steps::default();
        // The same zones, other loads and health.
        let mut case = before.clone();
        let n = before.zones.len();
        case.zones = (0..n).map(|z| after.zones[z % after.zones.len()]).collect();
        let (first, wanted) = (before.wanted(&steps).table, case.wanted(&steps).table);
        let (mut table, mut distance) = (first, f64::INFINITY);
        for _ in 0..400 {
            let next = step(&table, &wanted, &case.view(&steps));
            if next.distance(&table) > steps.away * 2.0 + 1e-6 || !relay_zones(&next).is_empty() {
                println!("a step of {} or a ring {:?}", next.distance(&table), relay_zones(&next));
                return false;
            }
            let (was, has) = (case.has(&table), case.has(&next));
            for z in 0..n {
                let more = next.remote_shares().any(|l| l.1 == z && l.2 > table.share(l.0, z) + 1e-9);
                if more && has[z] > case.room(z, &steps) + 1e-6 && has[z] > was[z] + 1e-6 {
                    println!("zone {z} has {} of {}", has[z], case.room(z, &steps));
                    return false;
                }
            }
            let left = next.distance(&wanted);
            if left > distance + 1e-6 {
                println!("it turns: {distance} to {left}");
                return false;
            }
            (table, distance) = (next, left);
        }
        if distance >= 1e-6 {
            println!("still {distance} away: {table:?}\n{wanted:?}\n{:?} {:?}", case.zones, case.has(&table));
        }
        distance < 1e-6 && case.has(&table).iter().zip(case.has(&wanted)).all(|(a, b)| (a - b).abs() < 1e-3)
    }
}

#[test]
fn what_matters_more_keeps_its_place_and_finds_the_nearest_first() {
    let kind = |importance, write| TxnClass { importance, write };
    let loads = [
        Load { from: (0, kind(9, true)), per_s: 40.0, kb: 1.0 },
        Load { from: (0, kind(5, false)), per_s: 40.0, kb: 5.0 },
        Load { from: (0, kind(2, false)), per_s: 40.0, kb: 50.0 },
        Load { from: (1, kind(5, false)), per_s: 60.0, kb: 5.0 },
        Load { from: (2, kind(5, false)), per_s: 10.0, kb: 5.0 },
    ];
    let zones = [
        Zone { capacity_per_s: 60.0, usable_share: 1.0 },
        Zone { capacity_per_s: 80.0, usable_share: 1.0 },
        Zone { capacity_per_s: 200.0, usable_share: 1.0 },
    ];
    let steps = Steps { head_room: 1.0, ..Steps::default() };
    let near = [vec![1, 2], vec![0, 2], vec![1, 0]];
    let view = PlanInput {
        loads: &loads,
        zones: &zones,
        by_distance: &near,
        crossing: &Crossing::default(),
        steps: &steps,
    };
    let wanted = target(&view, 1, 1);
    assert_eq!(wanted.table.away_share((0, kind(9, true))), 0.0);
    assert!((wanted.table.share((0, kind(5, false)), 1) - 0.5).abs() < 1e-9, "twenty find room next door");
    assert!((wanted.table.share((0, kind(2, false)), 2) - 1.0).abs() < 1e-9, "the rest goes further");
    assert!(wanted.unplaced.is_empty());
}
