//! Copies of what a gateway holds for other sites. Gateways of one site keep replicated ledgers in groups, so that a
//! machine that is lost with all it holds loses nothing that was promised. Without I/O and clock, but for `notes`: the
//! host hands in frames and times and pulls what is to be done. Must never let a txn that must not run twice be sent on before a
//! majority holds that it was taken, nor call one never taken before a majority holds that it will not be.

pub mod client;
pub mod command;
pub mod group;
pub mod machine;
pub mod membership_repair;
pub mod node;
pub mod outcome_log;
pub mod placement;
pub mod settings;
pub mod storage;
pub mod wire;
