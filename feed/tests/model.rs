//! The feed's core in simulated time under random fault schedules, with invariants checked after every step.
//! `FEED_STEPS` (seconds of schedule) and `FEED_SEEDS` make the runs longer.

mod common;

use common::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::Rng;
use std::sync::atomic::{AtomicU64, Ordering};

static STEPS: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    seconds: u64,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Schedule {
        let seconds = std::env::var("FEED_STEPS").ok().and_then(|s| s.parse().ok()).unwrap_or(30);
        Schedule { seed: u64::arbitrary(g), seconds }
    }
}

/// Prints the seed of a failed schedule; `FEED_SEED` replays that one alone.
struct SeedOnFailure(u64);

impl Drop for SeedOnFailure {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {}", self.0);
        }
    }
}

/// Kills, starts, pauses, partitions, loss, duplicates, replays, hubs and list services down; then a phase without
/// faults, after which every gateway has every event and the hubs know it.
fn random_schedule(s: Schedule) -> bool {
    let _seed_on_failure = SeedOnFailure(s.seed);
    let mut w = Simulation::new(SMALL, s.seed);
    w.recording.borrow_mut().enabled = true;
    w.start_all();
    (w.purges_per_s, w.other_events_per_s) = (20.0, 0.5);
    w.run(ms(3_000));
    w.set_faulty(true);
    let (regions, sites) = (SMALL.regions, SMALL.regions * SMALL.sites);
    for _ in 0..s.seconds * 4 {
        let i = w.rng.random_range(0..w.nodes.len());
        let j = w.rng.random_range(w.gateways());
        let (region, to, site) =
            (w.rng.random_range(0..regions), w.rng.random_range(0..regions), w.rng.random_range(0..sites));
        match w.rng.random_range(0..22) {
            0 => w.kill(i),
            1..=3 if w.sim.actor(i).is_none() => {
                let known = w.rng.random_bool(0.5);
                w.start(i, known);
            }
            4 => w.stop(i),
            5 | 6 => (0..w.nodes.len()).for_each(|i| w.resume(i)),
            7 => _ = w.cuts.borrow_mut().regions.insert(region),
            8 => _ = w.cuts.borrow_mut().sites.insert(site),
            9 if region != to => _ = w.cuts.borrow_mut().one_way.insert((region, to)),
            10 => _ = w.cuts.borrow_mut().pairs.insert((i, j)),
            11 => _ = w.cuts.borrow_mut().isolated.insert(j),
            12..=14 => *w.cuts.borrow_mut() = Cuts::default(),
            15 => w.sim.loss = w.rng.random_range(0.0..0.3),
            16 => w.sim.duplication = w.rng.random_range(0.0..0.3),
            17 => (w.sim.loss, w.sim.duplication) = (0.0, 0.0),
            18 => w.services[region].up = !w.services[region].up,
            19 => w.purges_per_s = w.rng.random_range(1.0..60.0),
            20 | 21 => {
                let kept = w.recording.borrow().datagrams.len();
                if kept > 0 {
                    let at = w.rng.random_range(0..kept);
                    let (from, to, bytes) = w.recording.borrow_mut().datagrams.swap_remove(at);
                    let node = |a| w.sim.slots.iter().position(|s| s.address == a).unwrap();
                    let (from, to) = (node(from), node(to));
                    w.sim.send(from, to, &bytes);
                }
            }
            _ => {}
        }
        w.run(ms(250));
    }
    w.heal();
    w.run(ms(10_000));
    (w.purges_per_s, w.other_events_per_s) = (0.0, 0.0);
    w.until(ms(40_000), |w| w.all_received().and_then(|()| w.all_acknowledged()));
    STEPS.fetch_add(w.steps, Ordering::Relaxed);
    true
}

#[test]
fn random_fault_schedules_keep_the_invariants_and_converge() {
    if let Some(seed) = std::env::var("FEED_SEED").ok().and_then(|s| s.parse().ok()) {
        let seconds = Schedule::arbitrary(&mut Gen::new(1)).seconds;
        assert!(random_schedule(Schedule { seed, seconds }));
        return;
    }
    let seeds = std::env::var("FEED_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(12);
    QuickCheck::new().tests(seeds).quickcheck(random_schedule as fn(Schedule) -> bool);
    println!("{} steps in {seeds} schedules", STEPS.load(Ordering::Relaxed));
}
