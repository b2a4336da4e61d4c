//! The short ladders are whole: unique names, growing sizes, figures that a run gave.

use kelpcart_scale::ladders::fleet;
use kelpcart_scale::memory;
use std::collections::BTreeSet;

fn whole(ladders: &[kelpcart_scale::slopes::Ladder]) {
    let ids: BTreeSet<&str> = ladders.iter().map(|l| l.id.as_str()).collect();
    assert_eq!(ids.len(), ladders.len());
    for ladder in ladders {
        assert!(ladder.points.len() >= 3, "{}", ladder.id);
        assert!(ladder.points.windows(2).all(|p| p[0].at < p[1].at), "{}", ladder.id);
        assert!(
            ladder.points.iter().all(|p| p.worst >= p.mean && p.mean > 0.0),
            "{}: {:?}",
            ladder.id,
            ladder.points
        );
    }
}

#[test]
fn the_short_ladders_of_the_fleet_are_whole_and_come_again_with_their_seed() {
    let first = fleet::measure(1, true);
    whole(&first);
    let again = fleet::measure(1, true);
    for (a, b) in first.iter().zip(&again).filter(|(a, _)| !a.timed && a.unit != "B") {
        assert_eq!(a, b);
    }
}

#[test]
fn a_size_beyond_half_of_the_memory_is_refused() {
    assert_eq!(memory::total("MemTotal:       2048 kB\nMemFree: 3 kB\n"), Some(2_048 * 1_024));
    assert!(memory::fits(1 << 20).is_ok());
    assert!(matches!(memory::fits(1 << 60), Err(memory::Refused::Large { .. })));
    assert!(memory::peak() >= memory::held() && memory::held() > 0);
}
