//! What is known of a stream: all numbers up to a position, and ranges beyond it. Must never hold a number for known that
//! nobody has told; at its bound it forgets ranges, which are gaps then.

use std::collections::BTreeMap;

/// Numbers stay far below where sums would overflow.
pub const MOST_NO: u64 = 1 << 60;
pub const MOST_RANGES: usize = 64;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Positions {
    position: u64,
    /// The highest number that is known to exist.
    seen: u64,
    /// Known ranges, first and last number; neither touches another nor the position.
    beyond: BTreeMap<u64, u64>,
    pub forgotten: u64,
}

impl Positions {
    pub fn new(position: u64) -> Positions {
        Positions { position, seen: position, ..Positions::default() }
    }

    pub fn position(&self) -> u64 {
        self.position
    }

    pub fn seen(&self) -> u64 {
        self.seen
    }

    pub fn ranges(&self) -> usize {
        self.beyond.len()
    }

    /// This number exists.
    pub fn see(&mut self, no: u64) {
        self.seen = self.seen.max(no);
    }

    /// These are known; nothing where `last` is before `first`.
    pub fn add(&mut self, first: u64, last: u64) {
        self.see(last);
        let (mut first, mut last) = (first.max(self.position + 1), last);
        if last < first {
            return;
        }
        while let Some((&a, &b)) =
            self.beyond.range(..=last + 1).next_back().filter(|(_, b)| **b + 1 >= first)
        {
            (first, last) = (first.min(a), last.max(b));
            self.beyond.remove(&a);
        }
        if first == self.position + 1 {
            self.position = last;
            return;
        }
        self.beyond.insert(first, last);
        if self.beyond.len() > MOST_RANGES {
            self.beyond.pop_first();
            self.forgotten += 1;
        }
    }

    /// All up to this number counts as known, without having been told.
    pub fn start(&mut self, position: u64) {
        if position > self.position {
            self.add(self.position + 1, position);
        }
    }

    /// Nothing beyond this number is known any more.
    pub fn truncate(&mut self, to: u64) {
        self.seen = self.seen.min(to);
        self.position = self.position.min(to);
        self.beyond.retain(|first, _| *first <= to);
        if let Some(mut last) = self.beyond.last_entry() {
            let cut = to.min(*last.get());
            last.insert(cut);
        }
    }

    pub fn holds(&self, no: u64) -> bool {
        no <= self.position || self.beyond.range(..=no).next_back().is_some_and(|(_, last)| no <= *last)
    }

    /// What is missing, the newest first.
    pub fn gaps(&self) -> impl Iterator<Item = (u64, u64)> {
        let tops = std::iter::once(self.seen + 1).chain(self.beyond.keys().rev().copied());
        let bottoms = self.beyond.values().rev().copied().chain(std::iter::once(self.position));
        tops.zip(bottoms).map(|(top, bottom)| (bottom + 1, top - 1)).filter(|(first, last)| first <= last)
    }

    pub fn check_rules(&self) -> Result<(), String> {
        if self.beyond.len() > MOST_RANGES {
            return Err(format!("{} ranges beyond a position", self.beyond.len()));
        }
        let mut before = self.position;
        for (&first, &last) in &self.beyond {
            if first <= before + 1 || last < first {
                return Err(format!("range {first} to {last} behind {before}"));
            }
            before = last;
        }
        if self.seen < before { Err(format!("{before} known and {} seen", self.seen)) } else { Ok(()) }
    }
}
