//! The gateway process around the decision module: connections to clients, caches and the discovery service.

pub mod buffers;
pub mod caches;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connection_end;
pub mod counters;
pub mod descriptors;
pub mod discovery;
pub mod dispatch_api;
pub mod dispatcher;
pub mod feed;
pub mod fleet;
pub mod http;
pub mod logger;
pub mod memory;
pub mod reload;
pub mod rpc;
pub mod run_history;
pub mod sites;

use async_executor::LocalExecutor;

/// Executor of the process's only thread.
pub type Tasks = &'static LocalExecutor<'static>;

/// Parses an unsigned integer that consists of decimal digits only.
pub fn digits<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    text.iter().all(u8::is_ascii_digit).then(|| number(text))?
}

/// Parses a number from a field of a peer's message; surrounding whitespace is ignored.
pub fn number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
