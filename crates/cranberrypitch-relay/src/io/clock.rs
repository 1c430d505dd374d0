//! A clock that keeps running while the VM is suspended.

use std::time::{Duration, Instant, SystemTime};

use cranberrypitch_core::Clock;
use rustix::time::{ClockId, clock_gettime};

/// The clock of the daemons, based on `CLOCK_BOOTTIME`. Unlike [`Instant::now`], its monotonic time
/// includes the time for which the VM was suspended, so data from before the suspension gets its
/// true age.
#[derive(Clone, Copy, Debug)]
pub struct BoottimeClock {
    start: Instant,
    start_boottime: Duration,
}

impl BoottimeClock {
    /// Returns a clock that starts at the current instant.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            start_boottime: boottime(),
        }
    }
}

impl Default for BoottimeClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BoottimeClock {
    fn now(&self) -> Instant {
        self.start + boottime().saturating_sub(self.start_boottime)
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn boottime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
