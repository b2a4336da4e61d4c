//! Rendezvous hashing (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996): who asks, who keeps
//! a budget, whom to follow. Must give the same in every gateway that knows the same members.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much a member is wanted for a purpose; the greatest is first.
pub fn score(name: &str, purpose: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), purpose)
}

pub fn key(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// The place of each name in the common order, which asks the bulletin from the front.
pub const CONTACT_ORDER: u64 = 0x006f_7264_6572;

/// The first of those named for a purpose.
pub fn first<'a>(names: impl Iterator<Item = &'a str>, purpose: u64) -> Option<&'a str> {
    names.max_by_key(|name| (score(name, purpose), *name))
}

/// How many of the names come before this one for a purpose.
pub fn rank_of<'a>(names: impl Iterator<Item = &'a str>, own: &str, purpose: u64) -> usize {
    let mine = (score(own, purpose), own);
    names.filter(|name| (score(name, purpose), *name) > mine).count()
}
