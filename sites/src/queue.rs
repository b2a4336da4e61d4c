//! Priority queue of the hops that wait for a link: by importance, first in first out within one, bounded
//! in entries and bytes.
//!
//! Invariant: a less important hop is never ahead of a more important one. On overflow the least important
//! hops are returned to the caller, never dropped silently.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedHop {
    pub number: u64,
    /// Greater is sent first.
    pub importance: u8,
    /// Bytes that it will put on the link.
    pub bytes: f64,
}

#[derive(Debug)]
pub struct Queue {
    order: BTreeSet<(u8, u64)>,
    hops: BTreeMap<u64, QueuedHop>,
    bytes: f64,
    max_len: usize,
    max_bytes: f64,
}

impl Queue {
    pub fn new(max_len: usize, max_bytes: f64) -> Queue {
        Queue {
            order: BTreeSet::new(),
            hops: BTreeMap::new(),
            bytes: 0.0,
            max_len: max_len.max(1),
            max_bytes,
        }
    }

    /// Adds a hop and returns those evicted for it, which may include the new one.
    pub fn push(&mut self, hop: QueuedHop) -> Vec<u64> {
        self.order.insert((u8::MAX - hop.importance, hop.number));
        self.bytes += hop.bytes;
        self.hops.insert(hop.number, hop);
        let mut evicted = Vec::new();
        while self.hops.len() > self.max_len || self.bytes > self.max_bytes && self.hops.len() > 1 {
            let Some(&(_, last)) = self.order.last() else { break };
            self.remove(last);
            evicted.push(last);
        }
        evicted
    }

    pub fn remove(&mut self, number: u64) -> Option<QueuedHop> {
        let hop = self.hops.remove(&number)?;
        self.order.remove(&(u8::MAX - hop.importance, number));
        self.bytes = if self.hops.is_empty() { 0.0 } else { self.bytes - hop.bytes };
        Some(hop)
    }

    pub fn first(&self) -> Option<QueuedHop> {
        self.order.first().map(|(_, number)| self.hops[number])
    }

    /// Bytes queued ahead of a new hop of this importance.
    pub fn bytes_ahead(&self, importance: u8) -> f64 {
        let before = self.order.range(..=(u8::MAX - importance, u64::MAX));
        before.map(|(_, number)| self.hops[number].bytes).sum()
    }

    pub fn len(&self) -> usize {
        self.hops.len()
    }

    pub fn is_empty(&self) -> bool {
        self.hops.is_empty()
    }

    /// Removes all hops and returns their numbers in queue order.
    pub fn drain(&mut self) -> Vec<u64> {
        let all = self.order.iter().map(|o| o.1).collect();
        self.order.clear();
        self.hops.clear();
        self.bytes = 0.0;
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        fn order_bounds_and_sums_hold_after_every_step(steps: Vec<(u8, u16, bool)>) -> bool {
            let mut queue = Queue::new(20, 100_000.0);
            let (mut expected, mut next) = (Vec::<QueuedHop>::new(), 0);
            for (importance, bytes, pops) in steps {
                let importance = importance % 4;
                if pops && let Some(first) = queue.first() {
                    let best = expected.iter().map(|w| w.importance).max().unwrap();
                    let oldest = expected.iter().filter(|w| w.importance == best).map(|w| w.number).min();
                    assert_eq!((first.importance, Some(first.number)), (best, oldest));
                    assert_eq!(queue.remove(first.number), Some(first));
                    expected.retain(|w| w.number != first.number);
                    continue;
                }
                next += 1;
                let hop = QueuedHop { number: next, importance, bytes: bytes.into() };
                expected.push(hop);
                for evicted in queue.push(hop) {
                    let at = expected.iter().position(|w| w.number == evicted).unwrap();
                    let evicted = expected.remove(at);
                    // Nothing stays that is less important, or equally important and newer.
                    assert!(expected.iter().all(|w| (w.importance, evicted.number) >= (evicted.importance, w.number)
                        || w.importance > evicted.importance));
                }
                let sum: f64 = expected.iter().map(|w| w.bytes).sum();
                assert!((queue.bytes - sum).abs() < 1e-6 && queue.len() == expected.len());
                assert!(expected.len() <= 20 && (sum <= 100_000.0 || expected.len() == 1));
                let ahead: f64 = expected.iter().filter(|w| w.importance >= importance).map(|w| w.bytes).sum();
                assert!((queue.bytes_ahead(importance) - ahead).abs() < 1e-6);
            }
            let mut drained = queue.drain();
            drained.sort_unstable();
            expected.sort_by_key(|w| w.number);
            queue.is_empty() && drained == expected.iter().map(|w| w.number).collect::<Vec<_>>()
        }
    }
}
