//! Owns the numbers of what the gateway takes in, sends and answers. Must never decide anything: nothing reads a
//! count but the lines that are written on SIGUSR1 and at the exit.

use crate::connection_end::ConnectionEnd;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

#[derive(Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    ends: RefCell<BTreeMap<ConnectionEnd, u64>>,
    /// Answers handed to connections and not yet written.
    pub unwritten_answers: Rc<Cell<usize>>,
    /// Descriptors of clients, and of hops with those kept for later ones.
    pub client_connections: Rc<Cell<usize>>,
    pub hop_connections: Rc<Cell<usize>>,
    /// How much the tables of the gateway held when they were last asked.
    pub table_sizes: RefCell<Vec<(&'static str, usize)>>,
}

impl Counters {
    pub fn add(&self, name: &'static str) {
        *self.counts.borrow_mut().entry(name).or_default() += 1;
    }

    pub fn record_end(&self, end: ConnectionEnd) {
        *self.ends.borrow_mut().entry(end).or_default() += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "now: clients {}, hops {}", self.client_connections.get(), self.hop_connections.get())?;
        self.table_sizes.borrow().iter().try_for_each(|(what, n)| write!(f, ", {what} {n}"))?;
        write!(f, "; in all")?;
        self.counts.borrow().iter().try_for_each(|(what, n)| write!(f, ", {what} {n}"))?;
        self.ends.borrow().iter().try_for_each(|(end, n)| write!(f, ", end {end:?} {n}"))
    }
}

/// Counts a thing as there until it is dropped.
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
