//! Event counters and gauges, logged on SIGUSR1 and at exit. No decision depends on an event counter.

use crate::connection_end::ConnectionEnd;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

#[derive(Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    ends: RefCell<BTreeMap<ConnectionEnd, u64>>,
    /// Answers that are queued on connections and not yet written.
    pub unwritten_answers: Rc<Cell<usize>>,
    /// Descriptors in use by clients.
    pub client_connections: Rc<Cell<usize>>,
    /// Descriptors in use by hop connections, idle ones included.
    pub hop_connections: Rc<Cell<usize>>,
    /// Sizes of the gateway's tables when they were last queried.
    pub table_sizes: RefCell<Vec<(&'static str, usize)>>,
}

impl Counters {
    pub fn add(&self, name: &'static str) {
        self.add_many(name, 1);
    }

    pub fn add_many(&self, name: &'static str, n: usize) {
        *self.counts.borrow_mut().entry(name).or_default() += n as u64;
    }

    pub fn record_end(&self, end: ConnectionEnd) {
        *self.ends.borrow_mut().entry(end).or_default() += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "now: clients {}, hops {}", self.client_connections.get(), self.hop_connections.get())?;
        self.table_sizes.borrow().iter().try_for_each(|(name, n)| write!(f, ", {name} {n}"))?;
        write!(f, "; in all")?;
        self.counts.borrow().iter().try_for_each(|(name, n)| write!(f, ", {name} {n}"))?;
        self.ends.borrow().iter().try_for_each(|(end, n)| write!(f, ", end {end:?} {n}"))
    }
}

/// Increments a gauge and decrements it on drop.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    pub fn new(count: &Rc<Cell<usize>>) -> CountGuard {
        count.set(count.get() + 1);
        CountGuard(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
