//! The share table: for each flow, which share of its txns goes to which zone.
//!
//! Invariant: the shares of a flow sum to one.

use kelpcart::{Span, Time};
use std::collections::BTreeMap;

/// Txns that are moved alike: their importance, 0 to 9, and whether they write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TxnClass {
    pub importance: u8,
    pub write: bool,
}

/// The txns of one class that arrive in a zone: zone index and class.
pub type Flow = (usize, TxnClass);

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub epoch: u64,
    pub version: u64,
    /// Shares by destination zone; the remainder stays in its own zone.
    shares: BTreeMap<Flow, BTreeMap<usize, f64>>,
}

impl Table {
    /// A table by which every txn stays in its own zone.
    pub fn all_local(epoch: u64, version: u64) -> Table {
        Table { epoch, version, shares: BTreeMap::new() }
    }

    /// The share of a flow that goes to a zone, or stays if that is its own.
    pub fn share(&self, from: Flow, to: usize) -> f64 {
        match self.shares.get(&from) {
            None => f64::from(u8::from(from.0 == to)),
            Some(shares) if to == from.0 => {
                1.0 - shares.iter().filter(|p| *p.0 != to).map(|p| p.1).sum::<f64>()
            }
            Some(shares) => shares.get(&to).copied().unwrap_or(0.0),
        }
    }

    /// The share of a flow that leaves its zone.
    pub fn away_share(&self, from: Flow) -> f64 {
        1.0 - self.share(from, from.0)
    }

    /// Sets the shares that leave; the remainder stays. Invalid shares are dropped, and a sum above 1 is scaled down to 1.
    pub fn set(&mut self, from: Flow, shares: impl IntoIterator<Item = (usize, f64)>) {
        let shares = shares.into_iter().filter(|(to, p)| *to != from.0 && *p > 0.0 && p.is_finite());
        let mut all: BTreeMap<usize, f64> = shares.collect();
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

    /// All shares that leave their zone: flow, destination and share.
    pub fn remote_shares(&self) -> impl Iterator<Item = (Flow, usize, f64)> {
        self.shares.iter().flat_map(|(&from, shares)| shares.iter().map(move |(&to, &p)| (from, to, p)))
    }

    pub fn flows(&self) -> impl Iterator<Item = Flow> {
        self.shares.keys().copied()
    }

    /// The largest share of any flow that the two tables place differently.
    pub fn distance(&self, other: &Table) -> f64 {
        let flows = self.flows().chain(other.flows());
        let moved = |from: Flow| -> f64 {
            let to = self
                .shares
                .get(&from)
                .into_iter()
                .chain(other.shares.get(&from))
                .flat_map(|p| p.keys().copied());
            let to: std::collections::BTreeSet<usize> = to.chain([from.0]).collect();
            to.into_iter().map(|to| (self.share(from, to) - other.share(from, to)).abs()).sum::<f64>() / 2.0
        };
        flows.map(moved).fold(0.0, f64::max)
    }
}

/// A table with the time of its receipt, as stored by a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedTable {
    pub table: Table,
    pub received_at: Time,
    pub valid_for: Span,
}
