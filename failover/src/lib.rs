//! Shared failover decisions of a region's gateways: zone health from measured traffic, the share of each zone's txns
//! that is sent to other zones, and the region that holds the lease for unrepeatable txns. No I/O and no clock.
//!
//! Invariant: this crate never routes a single txn; the decision module does, and receives only shares from here.

pub mod decide;
pub mod evidence;
pub mod health;
pub mod home;
pub mod local_table;
pub mod plan;
pub mod settings;
pub mod table;
