//! Memory accounting of this process by a counting allocator, and the check whether a benchmark fits into memory.
//!
//! Invariant: the memory needed by a size is derived from earlier runs, never guessed.

use cap::Cap;
use std::alloc::System;

#[global_allocator]
static ALLOCATED: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes currently allocated by the process.
pub fn allocated() -> u64 {
    ALLOCATED.allocated() as u64
}

/// Largest number of bytes allocated at once since the process started.
pub fn peak() -> u64 {
    ALLOCATED.max_allocated() as u64
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemoryError {
    #[error("{needs} bytes needed, more than half of the machine's {total}")]
    TooLarge { needs: u64, total: u64 },
    #[error("the machine's memory size can't be read from /proc/meminfo")]
    Unknown,
}

/// Parses the machine's memory size in bytes from the contents of `/proc/meminfo`.
pub fn total(meminfo: &str) -> Option<u64> {
    let line = meminfo.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok().map(|kb| kb * 1_024)
}

/// Checks that allocating `needs` more bytes leaves half of the machine's memory to other processes.
pub fn fits(needs: u64) -> Result<(), MemoryError> {
    let meminfo = std::fs::read_to_string("/proc/meminfo").ok();
    let total = meminfo.as_deref().and_then(total).ok_or(MemoryError::Unknown)?;
    let needs = needs.saturating_add(allocated());
    if needs <= total / 2 { Ok(()) } else { Err(MemoryError::TooLarge { needs, total }) }
}
