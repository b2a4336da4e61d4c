//! Stand-ins, links that misbehave by a plan, and the checks of the rules, for measurements and for loopback tests.
//! Everything stays on 127.0.0.1 and ends with who started it. All servers are simulated; the gateways are real.

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
