//! Holds what waits to cross a link: by importance, in order of coming within one, bounded in entries and bytes.
//! Must never let what is less important stand before what is more; what does not fit is told to the caller, the
//! least important first, and never lost silently.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedHop {
    pub number: u64,
    /// Greater goes first.
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
    pub fn new(most: usize, most_bytes: f64) -> Queue {
        Queue {
            order: BTreeSet::new(),
            hops: BTreeMap::new(),
            bytes: 0.0,
            max_len: most.max(1),
            max_bytes: most_bytes,
        }
    }

    /// Puts one in and gives back those that have to go for it, the new one itself if all others matter more.
    pub fn push(&mut self, one: QueuedHop) -> Vec<u64> {
        self.order.insert((u8::MAX - one.importance, one.number));
        self.bytes += one.bytes;
        self.hops.insert(one.number, one);
        let mut gone = Vec::new();
        while self.hops.len() > self.max_len || self.bytes > self.max_bytes && self.hops.len() > 1 {
            let Some(&(_, last)) = self.order.last() else { break };
            self.remove(last);
            gone.push(last);
        }
        gone
    }

    pub fn remove(&mut self, number: u64) -> Option<QueuedHop> {
        let one = self.hops.remove(&number)?;
        self.order.remove(&(u8::MAX - one.importance, number));
        self.bytes = if self.hops.is_empty() { 0.0 } else { self.bytes - one.bytes };
        Some(one)
    }

    pub fn first(&self) -> Option<QueuedHop> {
        self.order.first().map(|(_, number)| self.hops[number])
    }

    /// Bytes that go before one of this importance that comes now.
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

    /// Takes all out, first come first.
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
            let (mut inside, mut next) = (Vec::<QueuedHop>::new(), 0);
            for (importance, bytes, takes) in steps {
                let importance = importance % 4;
                if takes && let Some(first) = queue.first() {
                    let best = inside.iter().map(|w| w.importance).max().unwrap();
                    let oldest = inside.iter().filter(|w| w.importance == best).map(|w| w.number).min();
                    assert_eq!((first.importance, Some(first.number)), (best, oldest));
                    assert_eq!(queue.remove(first.number), Some(first));
                    inside.retain(|w| w.number != first.number);
                    continue;
                }
                next += 1;
                let one = QueuedHop { number: next, importance, bytes: bytes.into() };
                inside.push(one);
                for gone in queue.push(one) {
                    let at = inside.iter().position(|w| w.number == gone).unwrap();
                    let gone = inside.remove(at);
                    // Nothing that matters less, or came later and matters as much, stays.
                    assert!(inside.iter().all(|w| (w.importance, gone.number) >= (gone.importance, w.number)
                        || w.importance > gone.importance));
                }
                let sum: f64 = inside.iter().map(|w| w.bytes).sum();
                assert!((queue.bytes - sum).abs() < 1e-6 && queue.len() == inside.len());
                assert!(inside.len() <= 20 && (sum <= 100_000.0 || inside.len() == 1));
                let ahead: f64 = inside.iter().filter(|w| w.importance >= importance).map(|w| w.bytes).sum();
                assert!((queue.bytes_ahead(importance) - ahead).abs() < 1e-6);
            }
            let mut drained = queue.drain();
            drained.sort_unstable();
            inside.sort_by_key(|w| w.number);
            queue.is_empty() && drained == inside.iter().map(|w| w.number).collect::<Vec<_>>()
        }
    }
}
