//! Sets of hash prefixes of objects and groups. A set covers every object whose hash begins with one of its prefixes.
//!
//! Invariant: a set covers every object that it was made from. Short prefixes cover others too, so a purge by a set
//! covers too much, never too little.

use std::collections::BTreeSet;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub const MAX_BITS: u8 = 64;

/// Hash seeds that keep an object and a group of the same number apart.
const OBJECT_SEED: u64 = 1;
const GROUP_SEED: u64 = 2;

/// An object's full-length hash.
pub fn object_hash(object: u64) -> u64 {
    xxh3_64_with_seed(&object.to_le_bytes(), OBJECT_SEED)
}

/// A group's full-length hash.
pub fn group_hash(group: u64) -> u64 {
    xxh3_64_with_seed(&group.to_le_bytes(), GROUP_SEED)
}

/// The first `bits` of a hash; with 0 bits all hashes are alike.
fn prefix(hash: u64, bits: u8) -> u64 {
    hash.checked_shr(u32::from(MAX_BITS - bits.min(MAX_BITS))).unwrap_or(0)
}

/// Prefixes of `bits` length, sorted and without duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixSet {
    bits: u8,
    prefixes: Arc<[u64]>,
}

impl PrefixSet {
    /// From full-length hashes.
    pub fn new(bits: u8, hashes: impl IntoIterator<Item = u64>) -> PrefixSet {
        let bits = bits.min(MAX_BITS);
        PrefixSet::from_prefixes(bits, hashes.into_iter().map(|hash| prefix(hash, bits)))
    }

    /// From prefixes of `bits` length; higher bits are masked off.
    pub fn from_prefixes(bits: u8, prefixes: impl IntoIterator<Item = u64>) -> PrefixSet {
        let bits = bits.min(MAX_BITS);
        let mask = u64::MAX.checked_shr(u32::from(MAX_BITS - bits)).unwrap_or(0);
        let prefixes: BTreeSet<u64> = prefixes.into_iter().map(|prefix| prefix & mask).collect();
        PrefixSet { bits, prefixes: prefixes.into_iter().collect() }
    }

    /// The set that covers every object and group.
    pub fn all() -> PrefixSet {
        PrefixSet::from_prefixes(0, [0])
    }

    pub fn object(object: u64) -> PrefixSet {
        PrefixSet::new(MAX_BITS, [object_hash(object)])
    }

    pub fn group(group: u64) -> PrefixSet {
        PrefixSet::new(MAX_BITS, [group_hash(group)])
    }

    /// Whether the set covers a full-length hash.
    pub fn contains(&self, hash: u64) -> bool {
        self.prefixes.binary_search(&prefix(hash, self.bits)).is_ok()
    }

    pub fn bits(&self) -> u8 {
        self.bits
    }

    /// Sorted, of `bits` length.
    pub fn prefixes(&self) -> &[u64] {
        &self.prefixes
    }

    /// The fraction of all objects that the set covers.
    pub fn coverage(&self) -> f64 {
        self.prefixes.len() as f64 / 2f64.powi(self.bits.into())
    }

    /// A set with prefixes of at most `bits` that covers at least what this one covers.
    pub fn truncated(&self, bits: u8) -> PrefixSet {
        if bits >= self.bits {
            return self.clone();
        }
        let less = u32::from(self.bits - bits);
        PrefixSet::from_prefixes(
            bits,
            self.prefixes.iter().map(|prefix| prefix.checked_shr(less).unwrap_or(0)),
        )
    }

    /// A set that covers at least what either covers.
    pub fn union(&self, other: &PrefixSet) -> PrefixSet {
        let bits = self.bits.min(other.bits);
        let (a, b) = (self.truncated(bits), other.truncated(bits));
        PrefixSet::from_prefixes(bits, a.prefixes.iter().chain(b.prefixes.iter()).copied())
    }
}
