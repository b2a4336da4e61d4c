//! Remembers which txns may have run, by the ids that their clients chose, where a second run would do harm. A client that has
//! left, or one that was told that the outcome is unknown, may send the same request again.
//!
//! Invariant: at most `MAX_ENTRIES` are kept, each for `RETENTION`; the oldest are dropped first.

use kelpcart::{Span, Time};
use std::collections::{BTreeSet, VecDeque};

const MAX_ENTRIES: usize = 16 * 1024;
/// Longer than any time limit, and than a client takes to come back.
const RETENTION: Span = Span::from_millis(60_000);

/// The request id and the object of a txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TxnIdentity {
    pub request_number: u64,
    pub object: u64,
}

#[derive(Default)]
pub struct RunHistory {
    known: BTreeSet<TxnIdentity>,
    by_age: VecDeque<(Time, TxnIdentity)>,
}

impl RunHistory {
    pub fn record(&mut self, now: Time, txn: TxnIdentity) {
        self.expire(now);
        if self.known.len() >= MAX_ENTRIES {
            self.drop_oldest();
        }
        if self.known.insert(txn) {
            self.by_age.push_back((now, txn));
        }
    }

    /// Whether a txn with this identity may have run.
    pub fn contains(&mut self, now: Time, txn: TxnIdentity) -> bool {
        self.expire(now);
        self.known.contains(&txn)
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn expire(&mut self, now: Time) {
        while self.by_age.front().is_some_and(|(recorded_at, _)| now - *recorded_at >= RETENTION) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, oldest)) = self.by_age.pop_front() {
            self.known.remove(&oldest);
        }
    }
}
