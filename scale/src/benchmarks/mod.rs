//! The ladders, each by what it measures, and their order. Must never run two at once: they measure processor time.

use crate::slopes::Series;

pub mod data_path;
pub mod feed;
pub mod fleet;
pub(crate) mod group;
pub mod loopback;
pub mod module;
pub mod roles;

/// Plays ladders with a seed; `quick`: short ones, as CI plays them.
pub type Measure = fn(seed: u64, quick: bool) -> Vec<Series>;

/// By the names that `--only` knows.
pub const MODULES: &[(&str, Measure)] = &[
    ("module", module::measure),
    ("roles", roles::measure),
    ("fleet", fleet::measure),
    ("feed", feed::measure),
    ("feed-faults", feed::faults),
    ("loopback", loopback::measure),
    ("data-path", data_path::measure),
];
