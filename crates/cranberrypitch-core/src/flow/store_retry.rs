//! The wait between failed calls to the store.

use std::time::Duration;

/// The wait after the first failed call; it doubles with each further failure.
const INITIAL_WAIT: Duration = Duration::from_millis(100);

/// The upper bound of the wait.
const MAX_WAIT: Duration = Duration::from_millis(800);

/// The upper bound of the wait before the first successful call. A daemon that has not read or written
/// anything serves no caller, so a wait that outlasts the outage costs requests.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(150);

/// The number of failed calls after which the usual upper bound applies to a starting daemon too, as
/// the outage is longer than a restart of the store.
const MAX_STARTUP_RETRIES: u32 = 25;

/// The maximum number of times that the wait doubles.
const MAX_DOUBLINGS: u32 = 8;

/// Returns the longest wait after a number of consecutive failed calls, which is at least 1. Callers
/// shorten it by jitter. `has_succeeded` is whether any call of the daemon for the same purpose
/// succeeded before.
pub fn retry_wait(consecutive_failures: u32, has_succeeded: bool) -> Duration {
    let doublings = consecutive_failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let is_starting = !has_succeeded && consecutive_failures <= MAX_STARTUP_RETRIES;
    let max_wait = if is_starting {
        MAX_STARTUP_WAIT
    } else {
        MAX_WAIT
    };
    (INITIAL_WAIT * 2_u32.pow(doublings)).min(max_wait)
}
