//! The table of shares: of each zone's txns of a kind, which part goes to which zone. Must always give each kind's parts
//! a sum of one, and tell how far one table is from another.

use kelpcart::{Span, Time};
use std::collections::BTreeMap;

/// What is moved alike: an importance class, 0 to 9, and whether it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TxnClass {
    pub importance: u8,
    pub write: bool,
}

/// From a zone, of a kind.
pub type Flow = (usize, TxnClass);

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub epoch: u64,
    pub version: u64,
    /// Parts by zone; what is not named stays where it is.
    shares: BTreeMap<Flow, BTreeMap<usize, f64>>,
}

impl Table {
    /// All stays in its own zone.
    pub fn all_local(epoch: u64, version: u64) -> Table {
        Table { epoch, version, shares: BTreeMap::new() }
    }

    /// The part of a zone's txns of a kind that goes to another zone, or stays.
    pub fn share(&self, from: Flow, to: usize) -> f64 {
        match self.shares.get(&from) {
            None => f64::from(u8::from(from.0 == to)),
            Some(parts) if to == from.0 => {
                1.0 - parts.iter().filter(|p| *p.0 != to).map(|p| p.1).sum::<f64>()
            }
            Some(parts) => parts.get(&to).copied().unwrap_or(0.0),
        }
    }

    /// The part that leaves the zone.
    pub fn away_share(&self, from: Flow) -> f64 {
        1.0 - self.share(from, from.0)
    }

    /// Sets the parts that leave; what is left over stays. Parts that can't be are cut to what can.
    pub fn set(&mut self, from: Flow, parts: impl IntoIterator<Item = (usize, f64)>) {
        let parts = parts.into_iter().filter(|(to, p)| *to != from.0 && *p > 0.0 && p.is_finite());
        let mut all: BTreeMap<usize, f64> = parts.collect();
        let sum: f64 = all.values().sum();
        if sum > 1.0 {
            all.values_mut().for_each(|p| *p /= sum);
        }
        if all.is_empty() {
            self.shares.remove(&from);
        } else {
            self.shares.insert(from, all);
        }
    }

    pub fn remote_shares(&self) -> impl Iterator<Item = (Flow, usize, f64)> {
        self.shares.iter().flat_map(|(&from, parts)| parts.iter().map(move |(&to, &p)| (from, to, p)))
    }

    pub fn flows(&self) -> impl Iterator<Item = Flow> {
        self.shares.keys().copied()
    }

    /// The largest part of any zone's kind that is elsewhere than in the other table.
    pub fn distance(&self, other: &Table) -> f64 {
        let kinds = self.flows().chain(other.flows());
        let part = |from: Flow| -> f64 {
            let to = self
                .shares
                .get(&from)
                .into_iter()
                .chain(other.shares.get(&from))
                .flat_map(|p| p.keys().copied());
            let to: std::collections::BTreeSet<usize> = to.chain([from.0]).collect();
            to.into_iter().map(|to| (self.share(from, to) - other.share(from, to)).abs()).sum::<f64>() / 2.0
        };
        kinds.map(part).fold(0.0, f64::max)
    }
}

/// A table with when it was heard, as a gateway has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedTable {
    pub table: Table,
    pub received_at: Time,
    pub valid_for: Span,
}
