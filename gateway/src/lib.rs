//! The gateway on sockets: everything round the decision module that talks to clients, caches and the bulletin.

pub mod buffers;
pub mod caches;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connection_end;
pub mod counters;
pub mod discovery;
pub mod dispatch_api;
pub mod dispatcher;
pub mod feed;
pub mod fleet;
pub mod http;
pub mod logger;
pub mod rpc;
pub mod sites;

use async_executor::LocalExecutor;

/// The one thread's tasks; it lives as long as the process.
pub type Tasks = &'static LocalExecutor<'static>;

/// A whole number written in digits and nothing else.
pub fn digits<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    text.iter().all(u8::is_ascii_digit).then(|| number(text))?
}

/// A number as a field of a peer's message holds it.
pub fn number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
