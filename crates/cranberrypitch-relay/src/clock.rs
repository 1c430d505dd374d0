//! A clock that goes on while the machine is suspended.

use std::time::{Duration, Instant, SystemTime};

use cranberrypitch_core::Clock;
use rustix::time::{ClockId, clock_gettime};

/// The clock of the daemons. Unlike that of [`Instant::now`], its monotonic time includes the time
/// in which the machine was suspended, so what is known from before the suspension looks as old as
/// it is.
#[derive(Clone, Copy, Debug)]
pub struct BoottimeClock {
    start: Instant,
    start_boottime: Duration,
}

impl BoottimeClock {
    /// Returns the clock.
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
