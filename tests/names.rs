//! Short names cover at least what they were made of.

use kelpcart::names::{NameSet, of_group, of_object};
use quickcheck::quickcheck;

quickcheck! {
    fn a_set_covers_what_it_was_made_of_at_any_length(objects: Vec<u64>, bits: u8, less: u8) -> bool {
        let set = NameSet::new(bits % 65, objects.iter().map(|o| of_object(*o)));
        let coarser = set.coarser(less % 65);
        objects.iter().all(|o| set.covers(of_object(*o)) && coarser.covers(of_object(*o)))
    }

    fn two_joined_cover_what_either_does(a: Vec<u64>, b: Vec<u64>, bits: (u8, u8)) -> bool {
        let names = |of: &[u64]| of.iter().map(|o| of_object(*o)).collect::<Vec<_>>();
        let both = NameSet::new(bits.0 % 65, names(&a)).join(&NameSet::new(bits.1 % 65, names(&b)));
        a.iter().chain(&b).all(|o| both.covers(of_object(*o)))
    }
}

#[test]
fn a_full_name_covers_its_object_alone_and_the_empty_one_all() {
    let one = NameSet::object(7);
    assert!(one.covers(of_object(7)) && !one.covers(of_object(8)) && !one.covers(of_group(7)));
    assert!(NameSet::group(7).covers(of_group(7)) && !NameSet::group(7).covers(of_object(7)));
    assert!(NameSet::all().covers(of_object(1)) && NameSet::all().covers(of_group(u64::MAX)));
    assert!(!NameSet::new(40, []).covers(of_object(1)));
    assert_eq!(NameSet::new(12, [u64::MAX]).names(), [0xfff]);
    assert_eq!(NameSet::all().part(), 1.0);
}
