//! What this process uses: processor time of its threads, resident memory and allocations.

use std::fs;
use std::time::Duration;

use serde::Serialize;
use stats_alloc::INSTRUMENTED_SYSTEM;

use crate::errors::Result;

/// The kernel cuts thread names to this length.
const THREAD_NAME_LEN: usize = 15;

const PAGE_BYTES: u64 = 4096;

/// The memory of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Memory {
    /// Resident pages, in bytes.
    pub resident_bytes: u64,
    /// Bytes allocated and not freed, which only the `measure` binary counts.
    pub allocated_bytes: u64,
    /// Allocations since the start, which only the `measure` binary counts.
    pub allocations: u64,
}

impl Memory {
    /// Reads the figures.
    pub fn read() -> Result<Self> {
        let pages = fs::read_to_string("/proc/self/statm")?;
        let pages = pages.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
        let stats = INSTRUMENTED_SYSTEM.stats();
        let allocated = stats.bytes_allocated.wrapping_sub(stats.bytes_deallocated);
        Ok(Self {
            resident_bytes: pages.unwrap_or_default() * PAGE_BYTES,
            allocated_bytes: allocated as u64,
            allocations: stats.allocations as u64,
        })
    }

    /// Returns how much was added since `before`; what shrank counts as zero.
    #[must_use]
    pub const fn since(self, before: Self) -> Self {
        Self {
            resident_bytes: self.resident_bytes.saturating_sub(before.resident_bytes),
            allocated_bytes: self.allocated_bytes.saturating_sub(before.allocated_bytes),
            allocations: self.allocations.saturating_sub(before.allocations),
        }
    }
}

/// Returns the processor time of all threads of this process with this name.
pub fn thread_time(name: &str) -> Result<Duration> {
    let name = &name[..name.len().min(THREAD_NAME_LEN)];
    let mut total = Duration::ZERO;
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        // A thread may end between the two reads.
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
