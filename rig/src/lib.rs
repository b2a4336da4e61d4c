//! End-to-end test harness: simulated servers and clients, link emulation with fault injection, and invariant checks,
//! for measurements and loopback tests. The gateways are real processes; every other server is simulated.
//!
//! Invariant: all traffic stays on 127.0.0.0/8, and nothing outlives the process that started it.

pub mod cache_tier;
pub mod caches;
pub mod client;
pub mod discovery;
pub mod fleet;
pub mod fleet_discovery;
pub mod fleet_plan;
pub mod fleet_run;
pub mod keys;
pub mod link_emulator;
pub mod plan;
pub mod relay;
pub mod report;
pub mod sites;
pub mod switch;
