//! The benchmark series, grouped into modules by what they measure.
//!
//! Invariant: benchmarks never run in parallel, because they measure processor time.

use crate::slopes::Series;

pub mod data_path;
pub mod feed;
pub mod fleet;
pub(crate) mod group;
pub mod loopback;
pub mod module;
pub mod roles;

/// Runs the series of a module with a seed; `quick` selects the short series run in CI.
pub type Measure = fn(seed: u64, quick: bool) -> Vec<Series>;

/// All modules with their names for `--only`, in the order in which they run.
pub const MODULES: &[(&str, Measure)] = &[
    ("module", module::measure),
    ("roles", roles::measure),
    ("fleet", fleet::measure),
    ("feed", feed::measure),
    ("feed-faults", feed::faults),
    ("loopback", loopback::measure),
    ("data-path", data_path::measure),
];
