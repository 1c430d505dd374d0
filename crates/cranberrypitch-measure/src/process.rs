//! Resource use of this process: processor time of its threads, resident memory and allocations.

use std::fs;
use std::time::Duration;

use serde::Serialize;
use stats_alloc::INSTRUMENTED_SYSTEM;

use crate::errors::Result;

/// The length to which the kernel truncates thread names.
const THREAD_NAME_LEN_BYTES: usize = 15;

const PAGE_BYTES: u64 = 4096;

/// The memory use of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Memory {
    /// The resident set size.
    pub resident_bytes: u64,
    /// The bytes allocated and not freed; counted only in the `measure` binary.
    pub allocated_bytes: u64,
    /// The number of allocations since the start; counted only in the `measure` binary.
    pub allocations: u64,
}

impl Memory {
    /// Reads the current memory use.
    ///
    /// # Errors
    ///
    /// Returns an error if `/proc` can't be read.
    pub fn read() -> Result<Self> {
        let pages = fs::read_to_string("/proc/self/statm")?;
        let pages = pages.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
        let stats = INSTRUMENTED_SYSTEM.stats();
        let allocated_bytes = stats.bytes_allocated.wrapping_sub(stats.bytes_deallocated);
        Ok(Self {
            resident_bytes: pages.unwrap_or_default() * PAGE_BYTES,
            allocated_bytes: allocated_bytes as u64,
            allocations: stats.allocations as u64,
        })
    }

    /// Returns the growth since `before`; a decrease counts as zero.
    #[must_use]
    pub const fn since(self, before: Self) -> Self {
        Self {
            resident_bytes: self.resident_bytes.saturating_sub(before.resident_bytes),
            allocated_bytes: self.allocated_bytes.saturating_sub(before.allocated_bytes),
            allocations: self.allocations.saturating_sub(before.allocations),
        }
    }
}

/// Returns the total processor time of the threads of this process with the given name.
///
/// # Errors
///
/// Returns an error if `/proc` can't be read.
pub fn thread_time(name: &str) -> Result<Duration> {
    let name = &name[..name.len().min(THREAD_NAME_LEN_BYTES)];
    let mut total = Duration::ZERO;
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        // A thread may exit between the two reads.
        let Ok(comm) = fs::read_to_string(task.join("comm")) else {
            continue;
        };
        if comm.trim_end() == name {
            let schedule = fs::read_to_string(task.join("schedstat")).unwrap_or_default();
            let nanos = schedule.split(' ').next().and_then(|n| n.parse().ok());
            total += Duration::from_nanos(nanos.unwrap_or_default());
        }
    }
    Ok(total)
}
