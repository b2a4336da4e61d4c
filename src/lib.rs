//! kelpcart decides where a txn goes, where a missing object is filled from, and when to give up.

pub mod explain;
mod histogram;
pub mod interface;
mod logic;
pub mod names;
mod state;
mod time;

pub use logic::Gateway;
pub use time::{Span, Time};

impl Gateway {
    /// How much is kept and what is held of the members, by name, for the host's counters.
    pub fn sizes(&self, now: Time) -> impl Iterator<Item = (&'static str, usize)> {
        self.book.sizes(now).into_iter()
    }
}
