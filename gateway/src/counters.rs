//! Owns the numbers of what the gateway takes in, sends and answers. Must never decide anything: nothing reads a
//! count but the lines that are written on SIGUSR1 and at the exit.

use crate::end::End;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

#[derive(Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    ends: RefCell<BTreeMap<String, u64>>,
    /// Answers handed to connections and not yet written.
    pub unwritten: Cell<usize>,
    /// Descriptors of clients, and of hops with those kept for later ones.
    pub clients: Cell<usize>,
    pub hops: Cell<usize>,
}

impl Counters {
    pub fn add(&self, what: &'static str) {
        *self.counts.borrow_mut().entry(what).or_default() += 1;
    }

    pub fn ended(&self, end: End) {
        *self.ends.borrow_mut().entry(format!("end {end:?}")).or_default() += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "now: clients {}, hops {}; in all", self.clients.get(), self.hops.get())?;
        self.counts.borrow().iter().try_for_each(|(what, n)| write!(f, ", {what} {n}"))?;
        self.ends.borrow().iter().try_for_each(|(what, n)| write!(f, ", {what} {n}"))
    }
}

/// Counts a thing as there until it is dropped.
pub struct Held(Rc<Counters>, fn(&Counters) -> &Cell<usize>);

impl Held {
    pub fn new(counters: &Rc<Counters>, which: fn(&Counters) -> &Cell<usize>) -> Held {
        let cell = which(counters);
        cell.set(cell.get() + 1);
        Held(Rc::clone(counters), which)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let cell = (self.1)(&self.0);
        cell.set(cell.get() - 1);
    }
}
