//! Routing tests: what operators expect of routes, checked without traffic against the configuration as written, on the
//! very module that serves. `expect` is the file, `fleet` the members it speaks of, `world` plays one circumstance,
//! `judge` says whether an expectation held in it, `search` looks for a circumstance that breaks it, `report` tells.
//! Nothing here does I/O but the program.

pub mod diff;
pub mod expect;
pub mod explain;
pub mod fleet;
pub mod judge;
pub mod measure;
pub mod report;
pub mod search;
pub mod world;
