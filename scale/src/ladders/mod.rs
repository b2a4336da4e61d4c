//! The ladders, each by what it measures, and their order. Must never run two at once: they measure processor time.

use crate::slopes::Ladder;

pub mod data_path;
pub mod module;
pub mod roles;

/// Plays ladders with a seed; `quick`: short ones, as CI plays them.
pub type Measure = fn(seed: u64, quick: bool) -> Vec<Ladder>;

/// By the names that `--only` knows.
pub const MODULES: &[(&str, Measure)] =
    &[("module", module::measure), ("roles", roles::measure), ("data-path", data_path::measure)];

/// The most memory that this process held so far, in bytes; 0 where the machine does not tell.
pub fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().strip_suffix(" kB")?.parse::<u64>().ok()).map_or(0, |kb| kb * 1_024)
}
