//! Links between sites: how a gateway sends txns to gateways of another site over a slow, lossy link, and
//! accepts theirs.
//!
//! `initiator`, `link`, `acceptor`, `ledger`, `rtt`, `pace`, `delay` and `queue` are the core, without I/O or
//! clock. `wire` holds the messages, `settings` the operator's file, `store` the ledger on disk and `quic`
//! the transport.

pub mod acceptor;
pub mod delay;
pub mod initiator;
pub mod ledger;
pub mod link;
pub mod pace;
pub mod peer_clock;
pub mod queue;
pub mod quic;
pub mod rtt;
pub mod settings;
pub mod store;
pub mod wire;
