//! The decision module of kelpcart: which cache a txn goes to, where a missing object is filled from, and when to give
//! up. It does no I/O; the host reports events and carries out the decisions.

pub mod explain;
pub mod hash_prefix;
mod histogram;
pub mod interface;
mod logic;
mod state;
mod time;

pub use logic::Gateway;
pub use time::{Span, Time};

impl Gateway {
    /// Table sizes and member health by name, for the host's counters.
    pub fn table_sizes(&self, now: Time) -> impl Iterator<Item = (&'static str, usize)> {
        self.state.table_sizes(now).into_iter()
    }
}
