//! How changes (purges, lists of caches, configurations) reach every gateway of a large installation, and how it is known
//! that they did. Everything here is without I/O and clock; the host hands in datagrams, lines and times, and pulls what
//! is to be done. Must never decide on a txn, nor pass over a gap: what is not known is known to be missing.

pub mod rank;
pub mod seal;
pub mod settings;
