//! Encoding of hash prefixes, and ranges of positions: round trips, limits and corrupted input.

use kelpcart::hash_prefix::{PrefixSet, object_hash};
use kelpcart_feed::name_codec::{self, MAX_BITS, MIN_BITS};
use kelpcart_feed::positions::{MAX_RANGES, Positions};
use quickcheck::quickcheck;
use std::collections::BTreeSet;

fn names(n: usize, seed: u64) -> Vec<u64> {
    (0..n as u64).map(|i| object_hash(i ^ seed << 32)).collect()
}

quickcheck! {
    fn encoding_round_trips(all: Vec<u64>, bits: u8) -> bool {
        let set = PrefixSet::new(bits % 65, all);
        let bytes = name_codec::encode(&set);
        bytes.len() == name_codec::encoded_len(&set) && name_codec::decode(&bytes) == Some(set)
    }

    fn damage_is_refused_or_another_set(all: Vec<u64>, at: usize, bit: u8) -> bool {
        let set = PrefixSet::new(32, all);
        let mut bytes = name_codec::encode(&set);
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        name_codec::decode(&bytes) != Some(set)
    }

    fn arbitrary_bytes_are_decoded_or_rejected(bytes: Vec<u8>) -> bool {
        // A decoded set takes no more memory than its bytes can encode.
        name_codec::decode(&bytes).is_none_or(|set| set.prefixes().len() <= bytes.len() * 8)
    }

    fn positions_hold_exactly_the_added_ranges(ranges: Vec<(u8, u8)>) -> bool {
        let (mut positions, mut plain) = (Positions::new(0), BTreeSet::new());
        for (first, span) in ranges {
            let (first, last) = (u64::from(first) + 1, u64::from(first) + u64::from(span % 8));
            positions.add(first, last);
            plain.extend(first..=last);
            assert_eq!(positions.check_invariants(), Ok(()));
        }
        let known = |no: u64| plain.contains(&no);
        let gaps: u64 = positions.gaps().map(|(a, b)| b - a + 1).sum();
        let missing = (1..=positions.highest_seen()).filter(|no| !known(*no)).count() as u64;
        (1..300).all(|no| positions.contains(no) == known(no)) && gaps == missing
    }
}

#[test]
fn prefixes_are_as_long_as_fits_and_cover_all_names() {
    // Expected from the entropy of sorted names: n * (bits - log2 n + 1.44) / 8 bytes; the code takes some 5% more.
    for (n, most_bytes, least, most) in
        [(75, 340, 40, 40), (750, 930, 17, 18), (375, 930, 26, 27), (10, 100, 40, 40)]
    {
        let all = names(n, n as u64);
        let (bits, bytes) = name_codec::encode_within(&all, most_bytes);
        assert!((least..=most).contains(&bits), "{n} names: {bits} bits");
        assert!(bytes.len() <= most_bytes, "{n} names: {} bytes", bytes.len());
        let set = name_codec::decode(&bytes).unwrap();
        assert!(all.iter().all(|name| set.contains(*name)));
        assert_eq!((set.bits(), set.prefixes().len() <= n), (bits, true));
    }
}

#[test]
fn any_number_of_names_fits_700_bytes() {
    for n in [1_000, 2_000, 3_000, 5_000, 10_000, 100_000] {
        let all = names(n, 7);
        let (bits, bytes) = name_codec::encode_within(&all, 700);
        assert!(bits >= MIN_BITS && bytes.len() <= 700, "{n} names: {bits} bits, {} bytes", bytes.len());
        let set = name_codec::decode(&bytes).unwrap();
        assert!(all.iter().all(|name| set.contains(*name)));
    }
    assert_eq!(name_codec::encode_within(&[], 10).0, MAX_BITS);
}

#[test]
fn the_set_of_everything_is_one_prefix_of_zero_bits() {
    let bytes = name_codec::encode(&PrefixSet::all());
    assert!(bytes.len() <= 4);
    let set = name_codec::decode(&bytes).unwrap();
    let ends = PrefixSet::new(64, [u64::MAX, 0]);
    assert_eq!(name_codec::decode(&name_codec::encode(&ends)), Some(ends));
    assert!(names(100, 3).into_iter().all(|name| set.contains(name)));
}

#[test]
fn a_count_beyond_the_bytes_is_rejected() {
    // 40 bits, Rice parameter 0, and four thousand million names in one byte.
    assert_eq!(name_codec::decode(&[40, 0, 0xff, 0xff, 0xff, 0xff, 0x0f, 0]), None);
    assert_eq!(name_codec::decode(&[65, 0, 0]), None);
    assert_eq!(name_codec::decode(&[40]), None);
    // Trailing bytes.
    let mut bytes = name_codec::encode(&PrefixSet::object(1));
    bytes.push(0);
    assert_eq!(name_codec::decode(&bytes), None);
}

#[test]
fn at_the_limit_ranges_are_forgotten_and_become_gaps() {
    let mut positions = Positions::new(10);
    for i in 0..200 {
        positions.add(20 + 10 * i, 20 + 10 * i);
        assert_eq!(positions.check_invariants(), Ok(()));
    }
    assert_eq!((positions.position(), positions.range_count()), (10, MAX_RANGES));
    assert_eq!(positions.forgotten, 200 - MAX_RANGES as u64);
    assert!(!positions.contains(20) && positions.contains(20 + 10 * 199));
    assert_eq!(positions.gaps().last(), Some((11, 20 + 10 * (200 - MAX_RANGES as u64) - 1)));
    positions.add(11, 5_000);
    assert_eq!((positions.position(), positions.gaps().next()), (5_000, None));
    positions.truncate(4_000);
    assert_eq!((positions.position(), positions.highest_seen()), (4_000, 4_000));
}
