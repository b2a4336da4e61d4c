//! Scalability benchmarks and capacity planning: runs the real protocol cores by the thousand in simulated networks,
//! measures benchmark series over growing sizes, fits growth laws to them and compares the load predicted for a target
//! installation with the budgets of each role.
//!
//! Invariants: this crate is a development tool and is never deployed; every number it reports comes from a run.

pub mod benchmarks;
pub mod capacity;
pub mod feed_net;
pub mod fit;
pub mod fleet_net;
pub mod hollow;
pub mod loopback;
pub mod memory;
pub mod plot;
pub mod sim;
pub mod slopes;
pub mod target;
