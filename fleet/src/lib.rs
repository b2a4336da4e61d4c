//! What gateways of one installation know of each other and share: who is there, the list of caches relayed from a
//! few askers, and budgets that hold for all of them together. Everything here is without I/O and clock; the host
//! hands in datagrams, lines and times, and pulls what is to be done. Must never decide on a txn: the module does,
//! and what is decided here only ever narrows what it may use.

pub mod lease;
pub mod list;
pub mod members;
pub mod node;
pub mod relay;
pub mod seal;
pub mod settings;
pub mod wire;

pub use kelpcart_feed::rank;
