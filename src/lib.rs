//! kelpcart decides where a txn goes, where a missing object is filled from, and when to give up.

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
    /// How much is kept and what is held of the members, by name, for the host's counters.
    pub fn table_sizes(&self, now: Time) -> impl Iterator<Item = (&'static str, usize)> {
        self.state.table_sizes(now).into_iter()
    }
}
