//! The ladders, each by what it measures.

pub mod data_path;
pub mod module;
