//! Short names of objects and groups: the first bits of a hash. A set of them stands for every object whose hash begins
//! with one of its names. Must never leave out an object that it was made of: where bits are few it covers others, too,
//! so that what is purged by it is too much, never too little.

use std::collections::BTreeSet;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub const MAX_BITS: u8 = 64;

/// What is hashed, so that an object and a group of the same number are not one.
const OBJECT: u64 = 1;
const GROUP: u64 = 2;

/// An object's name at full length.
pub fn object_hash(object: u64) -> u64 {
    xxh3_64_with_seed(&object.to_le_bytes(), OBJECT)
}

/// A group's name at full length.
pub fn group_hash(group: u64) -> u64 {
    xxh3_64_with_seed(&group.to_le_bytes(), GROUP)
}

/// The first bits of a name; none: all names are one.
fn first(name: u64, bits: u8) -> u64 {
    name.checked_shr(u32::from(MAX_BITS - bits.min(MAX_BITS))).unwrap_or(0)
}

/// Names cut to so many bits, in order, each once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixSet {
    bits: u8,
    prefixes: Arc<[u64]>,
}

impl PrefixSet {
    /// Of names at full length.
    pub fn new(bits: u8, names: impl IntoIterator<Item = u64>) -> PrefixSet {
        let bits = bits.min(MAX_BITS);
        PrefixSet::from_prefixes(bits, names.into_iter().map(|name| first(name, bits)))
    }

    /// Of names that are cut to `bits` already; what has more bits is cut off in front.
    pub fn from_prefixes(bits: u8, names: impl IntoIterator<Item = u64>) -> PrefixSet {
        let bits = bits.min(MAX_BITS);
        let mask = u64::MAX.checked_shr(u32::from(MAX_BITS - bits)).unwrap_or(0);
        let names: BTreeSet<u64> = names.into_iter().map(|name| name & mask).collect();
        PrefixSet { bits, prefixes: names.into_iter().collect() }
    }

    /// Every object and group.
    pub fn all() -> PrefixSet {
        PrefixSet::from_prefixes(0, [0])
    }

    pub fn object(object: u64) -> PrefixSet {
        PrefixSet::new(MAX_BITS, [object_hash(object)])
    }

    pub fn group(group: u64) -> PrefixSet {
        PrefixSet::new(MAX_BITS, [group_hash(group)])
    }

    /// Whether a name at full length is among them.
    pub fn contains(&self, name: u64) -> bool {
        self.prefixes.binary_search(&first(name, self.bits)).is_ok()
    }

    pub fn bits(&self) -> u8 {
        self.bits
    }

    /// Cut to `bits`, in order.
    pub fn prefixes(&self) -> &[u64] {
        &self.prefixes
    }

    /// The part of all objects that it covers.
    pub fn coverage(&self) -> f64 {
        self.prefixes.len() as f64 / 2f64.powi(self.bits.into())
    }

    /// Covers what this one does with names of so many bits at the most.
    pub fn truncated(&self, bits: u8) -> PrefixSet {
        if bits >= self.bits {
            return self.clone();
        }
        let less = u32::from(self.bits - bits);
        PrefixSet::from_prefixes(bits, self.prefixes.iter().map(|name| name.checked_shr(less).unwrap_or(0)))
    }

    /// Covers what either does.
    pub fn union(&self, other: &PrefixSet) -> PrefixSet {
        let bits = self.bits.min(other.bits);
        let (a, b) = (self.truncated(bits), other.truncated(bits));
        PrefixSet::from_prefixes(bits, a.prefixes.iter().chain(b.prefixes.iter()).copied())
    }
}
