//! Rendezvous hashing (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996): who connects to
//! list services, who holds a budget, which hub to subscribe to.
//!
//! Invariant: every gateway that knows the same members gets the same result.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of a member for a purpose; the highest comes first.
pub fn score(name: &str, purpose: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), purpose)
}

pub fn key(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// Purpose of the contact order, whose first members connect to the discovery service.
pub const CONTACT_ORDER: u64 = 0x006f_7264_6572;

/// The member with the highest score for a purpose.
pub fn first<'a>(names: impl Iterator<Item = &'a str>, purpose: u64) -> Option<&'a str> {
    names.max_by_key(|name| (score(name, purpose), *name))
}

/// The rank of `own`: how many of the names precede it for a purpose.
pub fn rank_of<'a>(names: impl Iterator<Item = &'a str>, own: &str, purpose: u64) -> usize {
    let mine = (score(own, purpose), own);
    names.filter(|name| (score(name, purpose), *name) > mine).count()
}
