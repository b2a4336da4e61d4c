//! Between sites: how a gateway passes txns to gateways of another site across a slow, lossy link, and takes in
//! theirs. `near`, `far`, `ledger`, `rtt`, `pace`, `delay` and `queue` are the core, without I/O or clock; `wire` is what
//! crosses, `settings` what operators write, `store` the ledger on a disk, `quic` the carrier.

pub mod acceptor;
pub mod delay;
pub mod initiator;
pub mod ledger;
pub mod pace;
pub mod queue;
pub mod quic;
pub mod rtt;
pub mod settings;
pub mod store;
pub mod wire;
