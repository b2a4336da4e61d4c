//! Shared state of the gateways of one installation: membership, the list of caches relayed from a few gateways that
//! subscribe to discovery, and budgets that hold for all gateways together. Everything here is without I/O and clock:
//! the host passes in datagrams, events and the time, and polls for outputs.
//!
//! Invariant: nothing here decides on a txn. That is up to the module; the results of this package only narrow down
//! what it may use.

pub mod lease;
pub mod list;
pub mod members;
pub mod node;
pub mod relay;
pub mod seal;
pub mod settings;
pub mod wire;

pub use kelpcart_feed::rank;
