//! Short names of objects and groups: the first bits of a hash. A set of them stands for every object whose hash begins
//! with one of its names. Must never leave out an object that it was made of: where bits are few it covers others, too,
//! so that what is purged by it is too much, never too little.

use std::collections::BTreeSet;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub const MOST_BITS: u8 = 64;

/// What is hashed, so that an object and a group of the same number are not one.
const OBJECT: u64 = 1;
const GROUP: u64 = 2;

/// An object's name at full length.
pub fn of_object(object: u64) -> u64 {
    xxh3_64_with_seed(&object.to_le_bytes(), OBJECT)
}

/// A group's name at full length.
pub fn of_group(group: u64) -> u64 {
    xxh3_64_with_seed(&group.to_le_bytes(), GROUP)
}

/// The first bits of a name; none: all names are one.
fn first(name: u64, bits: u8) -> u64 {
    name.checked_shr(u32::from(MOST_BITS - bits.min(MOST_BITS))).unwrap_or(0)
}

/// Names cut to so many bits, in order, each once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameSet {
    bits: u8,
    names: Arc<[u64]>,
}

impl NameSet {
    /// Of names at full length.
    pub fn new(bits: u8, names: impl IntoIterator<Item = u64>) -> NameSet {
        let bits = bits.min(MOST_BITS);
        NameSet::cut(bits, names.into_iter().map(|name| first(name, bits)))
    }

    /// Of names that are cut to `bits` already; what has more bits is cut off in front.
    pub fn cut(bits: u8, names: impl IntoIterator<Item = u64>) -> NameSet {
        let bits = bits.min(MOST_BITS);
        let mask = u64::MAX.checked_shr(u32::from(MOST_BITS - bits)).unwrap_or(0);
        let names: BTreeSet<u64> = names.into_iter().map(|name| name & mask).collect();
        NameSet { bits, names: names.into_iter().collect() }
    }

    /// Every object and group.
    pub fn all() -> NameSet {
        NameSet::cut(0, [0])
    }

    pub fn object(object: u64) -> NameSet {
        NameSet::new(MOST_BITS, [of_object(object)])
    }

    pub fn group(group: u64) -> NameSet {
        NameSet::new(MOST_BITS, [of_group(group)])
    }

    /// Whether a name at full length is among them.
    pub fn covers(&self, name: u64) -> bool {
        self.names.binary_search(&first(name, self.bits)).is_ok()
    }

    pub fn bits(&self) -> u8 {
        self.bits
    }

    /// Cut to `bits`, in order.
    pub fn names(&self) -> &[u64] {
        &self.names
    }

    /// The part of all objects that it covers.
    pub fn part(&self) -> f64 {
        self.names.len() as f64 / 2f64.powi(self.bits.into())
    }

    /// Covers what this one does with names of so many bits at the most.
    pub fn coarser(&self, bits: u8) -> NameSet {
        if bits >= self.bits {
            return self.clone();
        }
        let less = u32::from(self.bits - bits);
        NameSet::cut(bits, self.names.iter().map(|name| name.checked_shr(less).unwrap_or(0)))
    }

    /// Covers what either does.
    pub fn join(&self, other: &NameSet) -> NameSet {
        let bits = self.bits.min(other.bits);
        let (a, b) = (self.coarser(bits), other.coarser(bits));
        NameSet::cut(bits, a.names.iter().chain(b.names.iter()).copied())
    }
}
