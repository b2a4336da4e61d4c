//! Stand-ins, links that misbehave by a plan, and the checks of the rules, for measurements and for loopback tests.
//! Everything stays on 127.0.0.1 and ends with who started it. All servers are simulated; the gateways are real.

pub mod bulletin;
pub mod caches;
pub mod client;
pub mod fleet;
pub mod fleet_day;
pub mod fleet_plan;
pub mod keys;
pub mod lane;
pub mod list_service;
pub mod plan;
pub mod relay;
pub mod report;
pub mod sites;
pub mod switch;
pub mod tier;
