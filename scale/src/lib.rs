//! How costs grow with the size of an installation: hosts that run the real cores many at a time, ladders of sizes, the
//! laws that fit them, and what a target size then asks of each role. Must never run on the platform, nor hold a figure
//! that a run did not give.

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
