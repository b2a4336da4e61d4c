//! Log of recent bundles as received, from which neighbours are served.
//!
//! Invariant: it stays within its limits and contains only bundles that a hub has signed.

use crate::wire::{Bundle, BundleId, Range};
use kelpcart::Time;
use std::collections::{BTreeSet, VecDeque};

pub const MAX_BYTES: usize = 96 * 1024;
pub const MAX_BUNDLES: usize = 512;
pub const MAX_SEEN: usize = 2_048;

struct Entry {
    received_at: Time,
    id: BundleId,
    ranges: Vec<(usize, u64, u64)>,
    /// Stream, sequence number and offset.
    pieces: Vec<(usize, u64, u32)>,
    bytes: Vec<u8>,
}

#[derive(Default)]
pub struct Log {
    all: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    pub fn push(&mut self, now: Time, body: &Bundle, bytes: &[u8]) {
        let ranges = body.ranges().filter(|(_, first, last)| first <= last).collect();
        let pieces = body.pieces.iter().map(|p| (p.stream as usize, p.seq, p.offset)).collect();
        self.bytes += bytes.len();
        self.all.push_back(Entry { received_at: now, id: body.id(), ranges, pieces, bytes: bytes.to_vec() });
        while self.bytes > MAX_BYTES || self.all.len() > MAX_BUNDLES {
            self.bytes -= self.all.pop_front().map_or(0, |e| e.bytes.len());
        }
    }

    pub fn get(&self, id: BundleId) -> Option<&[u8]> {
        self.all.iter().rev().find(|e| e.id == id).map(|e| e.bytes.as_slice())
    }

    /// The newest bundles received at `since` or later that contain part of the ranges.
    pub fn find(&self, ranges: &[Range], since: Time, max: usize) -> Vec<&[u8]> {
        let holds = |e: &Entry, r: &Range| {
            let s = r.stream as usize;
            let numbers =
                r.offset == 0 && e.ranges.iter().any(|x| x.0 == s && x.1 <= r.last && r.first <= x.2);
            numbers
                || e.pieces.iter().any(|p| p.0 == s && (r.first..=r.last).contains(&p.1) && p.2 >= r.offset)
        };
        let late = self.all.iter().rev().take_while(|e| e.received_at >= since);
        late.filter(|e| ranges.iter().any(|r| holds(e, r))).take(max).map(|e| e.bytes.as_slice()).collect()
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn check_invariants(&self) -> Result<(), String> {
        let sum: usize = self.all.iter().map(|e| e.bytes.len()).sum();
        let within_limits = sum == self.bytes && sum <= MAX_BYTES && self.all.len() <= MAX_BUNDLES;
        if within_limits {
            Ok(())
        } else {
            Err(format!("{} bundles of {sum} bytes in the log", self.all.len()))
        }
    }
}

/// Ids of the latest bundles received, to detect duplicates.
#[derive(Default)]
pub struct Seen {
    all: BTreeSet<BundleId>,
    order: VecDeque<BundleId>,
}

impl Seen {
    pub fn contains(&self, id: &BundleId) -> bool {
        self.all.contains(id)
    }

    pub fn insert(&mut self, id: BundleId) {
        if self.all.insert(id) {
            self.order.push_back(id);
            if self.order.len() > MAX_SEEN
                && let Some(old) = self.order.pop_front()
            {
                self.all.remove(&old);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }
}
