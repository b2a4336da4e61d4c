//! Routing tests: checks the operators' routing expectations against a configuration, without traffic, on the decision
//! module that also serves. `expect` is the expectations file, `fleet` the configured members, `world` simulates one
//! scenario, `judge` decides whether an expectation held in it, `search` looks for a counterexample, and `report`
//! renders the verdicts. Only the binary does I/O.

pub mod diff;
pub mod expect;
pub mod explain;
pub mod fleet;
pub mod judge;
pub mod measure;
pub mod report;
pub mod search;
pub mod world;
