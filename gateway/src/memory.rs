//! Divides the memory limit between what grows with load, and keeps budgets: each holder reserves what it is about to take
//! and gives it back on drop.
//!
//! Invariants: the shares and `FIXED_BYTES` add up to less than the limit, where that leaves room for `MIN_BODY_BYTES`; the
//! reservations of a budget never add up to more than its limit.

use event_listener::{Event, EventListener};
use std::cell::Cell;
use std::rc::Rc;

/// Memory beside the shares: the program, the module's tables, and what each connection may hold without a reservation.
const FIXED_BYTES: usize = 8 << 20;
/// The largest part of the limit that is set aside for that, as a divisor.
const MAX_FIXED_SHARE: usize = 4;
/// Two of the largest bodies: with less, one stalled body would keep all others out.
const MIN_BODY_BYTES: usize = 512 << 10;

/// Bytes that each kind of memory that grows with load may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Bodies on their way to clients.
    pub bodies: usize,
    /// Open txns, with their hops and the bodies of writes.
    pub txns: usize,
    /// Unfinished input of clients.
    pub input: usize,
}

impl Shares {
    /// `limit`: the memory limit of the process, in bytes.
    pub fn new(limit: usize) -> Shares {
        let available = limit - FIXED_BYTES.min(limit / MAX_FIXED_SHARE);
        let bodies = (available / 2).max(MIN_BODY_BYTES);
        Shares { bodies, txns: available / 6, input: available / 16 }
    }
}

pub struct Budget {
    limit: usize,
    used: Cell<usize>,
    freed: Event,
}

impl Budget {
    /// `limit`: bytes for all reservations together.
    pub fn new(limit: usize) -> Rc<Budget> {
        Rc::new(Budget { limit, used: Cell::new(0), freed: Event::new() })
    }

    pub fn used_bytes(&self) -> usize {
        self.used.get()
    }

    /// Reserves memory; `None` while too much of it is in use.
    pub fn reserve(self: &Rc<Budget>, bytes: usize) -> Option<Reservation> {
        let used = self.used.get() + bytes;
        if used > self.limit {
            return None;
        }
        self.used.set(used);
        Some(Reservation { budget: Rc::clone(self), bytes })
    }

    /// Notified after each release.
    pub fn freed(&self) -> EventListener {
        self.freed.listen()
    }
}

/// Reserved memory; released on drop.
pub struct Reservation {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
        // Wakes one further waiter even if an earlier one has not run yet: two releases make room for two.
        self.budget.freed.notify_additional(1);
    }
}
