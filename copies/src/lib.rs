//! Replication of acceptors' ledgers: the gateways of one site keep each ledger in a Raft group of 3 or 5 members, so
//! that the loss of a machine with all its state loses no accepted txn. The crate has no I/O and no clock except in
//! `outcome_log`: the host passes in frames and times and polls outputs.
//!
//! Invariant: an unrepeatable txn is not run before its acceptance is committed. Invariant: a txn is not reported as
//! never accepted before it is committed that it will not be.

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
