//! The ladders, each by what it measures.

pub mod module;
