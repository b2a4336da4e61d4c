//! Divides the process's descriptors between clients, hops and everything else.
//!
//! Invariant: clients, hops and what is reserved never add up to more than the limit, where the limit leaves room for one hop
//! connection at all. What is open at the end of the start is counted, not assumed, so that every optional part is covered.

use rustix::process::{Resource, getrlimit};
use std::io;

/// Standard input, output and error, which count as this process's own.
const STANDARD_STREAMS: usize = 3;
/// A file that is read on a reload, and one for what is not foreseen.
const SPARE_DESCRIPTORS: usize = 2;
/// Least number of reserved descriptors.
const MIN_RESERVED: usize = 16;
/// Client connections beyond a third of the limit, for those that are still closing.
const CLOSING_CLIENTS: usize = 8;
/// `EMFILE` and `ENFILE`, which have no `ErrorKind` of their own.
const NO_DESCRIPTOR_ERRORS: [i32; 2] = [24, 23];

/// Whether an operation failed because the process or the system has no free descriptor.
pub fn is_exhaustion(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| NO_DESCRIPTOR_ERRORS.contains(&code))
}

/// The number of open descriptors of this process; `None` where the system does not tell.
pub fn open_count() -> Option<usize> {
    // The listing itself takes one.
    std::fs::read_dir("/proc/self/fd").ok().map(|entries| entries.count().saturating_sub(1))
}

/// The process's soft limit on descriptors; `None`: unlimited.
pub fn process_limit() -> Option<usize> {
    getrlimit(Resource::Nofile).current.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// What is open or will be, besides clients and hops.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Open descriptors when the process began.
    pub inherited: usize,
    /// Open descriptors once all parts have started, inherited ones included.
    pub open: usize,
    /// What is opened later: connections to discovery services, files that are written.
    pub opened_later: usize,
}

/// How many descriptors clients and hops may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    pub clients: usize,
    pub hops: usize,
}

impl Shares {
    /// `configured`: the limit in the settings; `process_limit` applies to inherited descriptors, too.
    pub fn new(configured: usize, process_limit: Option<usize>, usage: Usage) -> Shares {
        let foreign = usage.inherited.saturating_sub(STANDARD_STREAMS);
        let allowed = process_limit.map_or(usize::MAX, |limit| limit.saturating_sub(foreign));
        let limit = configured.min(allowed);
        let own = usage.open.saturating_sub(foreign);
        let reserved = (own + usage.opened_later + SPARE_DESCRIPTORS).max(MIN_RESERVED);
        let available = limit.saturating_sub(reserved);
        let clients = (limit / 3 + CLOSING_CLIENTS).min(available.saturating_sub(1)).max(1);
        Shares { clients, hops: available.saturating_sub(clients).max(1) }
    }
}
