//! Received sequence numbers of a stream: everything up to a position, and ranges beyond it.
//!
//! Invariant: only received sequence numbers are recorded; at its limit it forgets ranges, which become gaps again.

use std::collections::BTreeMap;

/// Maximum sequence number, far below where sums would overflow.
pub const MAX_SEQ: u64 = 1 << 60;
pub const MAX_RANGES: usize = 64;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Positions {
    position: u64,
    /// The highest sequence number known to exist.
    highest_seen: u64,
    /// Received ranges, first and last sequence number; none is adjacent to another or to the position.
    ranges: BTreeMap<u64, u64>,
    pub forgotten: u64,
}

impl Positions {
    pub fn new(position: u64) -> Positions {
        Positions { position, highest_seen: position, ..Positions::default() }
    }

    pub fn position(&self) -> u64 {
        self.position
    }

    pub fn highest_seen(&self) -> u64 {
        self.highest_seen
    }

    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Records that a sequence number exists.
    pub fn observe(&mut self, seq: u64) {
        self.highest_seen = self.highest_seen.max(seq);
    }

    /// Adds a range; empty if `last` is below `first`.
    pub fn add(&mut self, first: u64, last: u64) {
        self.observe(last);
        let (mut first, mut last) = (first.max(self.position + 1), last);
        if last < first {
            return;
        }
        while let Some((&a, &b)) =
            self.ranges.range(..=last + 1).next_back().filter(|(_, b)| **b + 1 >= first)
        {
            (first, last) = (first.min(a), last.max(b));
            self.ranges.remove(&a);
        }
        if first == self.position + 1 {
            self.position = last;
            return;
        }
        self.ranges.insert(first, last);
        if self.ranges.len() > MAX_RANGES {
            self.ranges.pop_first();
            self.forgotten += 1;
        }
    }

    /// Treats everything up to this sequence number as received.
    pub fn start_at(&mut self, position: u64) {
        if position > self.position {
            self.add(self.position + 1, position);
        }
    }

    /// Forgets everything beyond this sequence number.
    pub fn truncate(&mut self, to: u64) {
        self.highest_seen = self.highest_seen.min(to);
        self.position = self.position.min(to);
        self.ranges.retain(|first, _| *first <= to);
        if let Some(mut last) = self.ranges.last_entry() {
            let cut = to.min(*last.get());
            last.insert(cut);
        }
    }

    pub fn contains(&self, seq: u64) -> bool {
        seq <= self.position || self.ranges.range(..=seq).next_back().is_some_and(|(_, last)| seq <= *last)
    }

    /// The gaps, newest first.
    pub fn gaps(&self) -> impl Iterator<Item = (u64, u64)> {
        let tops = std::iter::once(self.highest_seen + 1).chain(self.ranges.keys().rev().copied());
        let bottoms = self.ranges.values().rev().copied().chain(std::iter::once(self.position));
        tops.zip(bottoms).map(|(top, bottom)| (bottom + 1, top - 1)).filter(|(first, last)| first <= last)
    }

    pub fn check_invariants(&self) -> Result<(), String> {
        if self.ranges.len() > MAX_RANGES {
            return Err(format!("{} ranges beyond a position", self.ranges.len()));
        }
        let mut before = self.position;
        for (&first, &last) in &self.ranges {
            if first <= before + 1 || last < first {
                return Err(format!("range {first} to {last} behind {before}"));
            }
            before = last;
        }
        if self.highest_seen < before {
            Err(format!("{before} received, but highest known is {}", self.highest_seen))
        } else {
            Ok(())
        }
    }
}
