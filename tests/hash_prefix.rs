//! Sets of hash prefixes cover at least what they were made from.

use kelpcart::hash_prefix::{PrefixSet, group_hash, object_hash};
use quickcheck::quickcheck;

quickcheck! {
    fn a_set_covers_what_it_was_made_from_at_any_length(objects: Vec<u64>, bits: u8, less: u8) -> bool {
        let set = PrefixSet::new(bits % 65, objects.iter().map(|o| object_hash(*o)));
        let truncated = set.truncated(less % 65);
        objects.iter().all(|o| set.contains(object_hash(*o)) && truncated.contains(object_hash(*o)))
    }

    fn a_union_covers_what_either_set_covers(a: Vec<u64>, b: Vec<u64>, bits: (u8, u8)) -> bool {
        let hashes = |of: &[u64]| of.iter().map(|o| object_hash(*o)).collect::<Vec<_>>();
        let union = PrefixSet::new(bits.0 % 65, hashes(&a)).union(&PrefixSet::new(bits.1 % 65, hashes(&b)));
        a.iter().chain(&b).all(|o| union.contains(object_hash(*o)))
    }
}

#[test]
fn a_full_length_hash_covers_its_object_only_and_the_empty_prefix_covers_all() {
    let one = PrefixSet::object(7);
    assert!(one.contains(object_hash(7)) && !one.contains(object_hash(8)) && !one.contains(group_hash(7)));
    assert!(PrefixSet::group(7).contains(group_hash(7)) && !PrefixSet::group(7).contains(object_hash(7)));
    assert!(PrefixSet::all().contains(object_hash(1)) && PrefixSet::all().contains(group_hash(u64::MAX)));
    assert!(!PrefixSet::new(40, []).contains(object_hash(1)));
    assert_eq!(PrefixSet::new(12, [u64::MAX]).prefixes(), [0xfff]);
    assert_eq!(PrefixSet::all().coverage(), 1.0);
}
