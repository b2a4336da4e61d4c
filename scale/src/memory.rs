//! The process's memory as its allocator counts it, and the refusal of what would not fit. Must never guess what a size
//! needs: the bytes of one come from a run.

use cap::Cap;
use std::alloc::System;

#[global_allocator]
static ALLOCATED: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that the process holds now.
pub fn allocated() -> u64 {
    ALLOCATED.allocated() as u64
}

/// The most that it has held since its start.
pub fn peak() -> u64 {
    ALLOCATED.max_allocated() as u64
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemoryError {
    #[error("{needs} bytes are wanted, more than half of the machine's {total}")]
    TooLarge { needs: u64, total: u64 },
    #[error("the machine does not tell its memory")]
    Unknown,
}

/// The machine's memory in bytes, by what `/proc/meminfo` says.
pub fn total(meminfo: &str) -> Option<u64> {
    let line = meminfo.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok().map(|kb| kb * 1_024)
}

/// Whether `needs` more bytes leave half of the machine's memory to others.
pub fn fits(needs: u64) -> Result<(), MemoryError> {
    let read = std::fs::read_to_string("/proc/meminfo").ok();
    let total = read.as_deref().and_then(total).ok_or(MemoryError::Unknown)?;
    let needs = needs.saturating_add(allocated());
    if needs <= total / 2 { Ok(()) } else { Err(MemoryError::TooLarge { needs, total }) }
}
