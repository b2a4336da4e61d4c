//! The ladders of sizes, one file for each group of mechanisms.

pub mod fleet;
mod group;
