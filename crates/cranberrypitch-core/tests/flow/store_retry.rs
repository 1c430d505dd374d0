//! Load pattern: all VMs lose power while the store refuses calls for some seconds.

use std::time::Duration;

use cranberrypitch_core::flow::retry_wait;

/// The latency objective of most requests. A daemon that retries within it lets callers whose first
/// packet arrives after the outage be served in time.
const MAX_IDLE_AFTER_OUTAGE: Duration = Duration::from_millis(200);

/// Guards against starting balancers that wait for most of a second after the store is back, while no
/// caller is served: their backoff had grown during the outage.
#[test]
fn starting_daemon_retries_soon_after_a_short_outage() {
    let outage = Duration::from_secs(2);
    let mut elapsed = Duration::ZERO;
    let mut failures = 0;
    while elapsed < outage {
        failures += 1;
        let wait = retry_wait(failures, false);
        assert!(wait <= MAX_IDLE_AFTER_OUTAGE, "{wait:?} after {elapsed:?}");
        elapsed += wait;
    }
}

/// Guards against a fleet that keeps calling a store at the rate of its first second during a long
/// outage: each call is counted, refused ones too.
#[test]
fn long_outage_is_not_called_at_the_rate_of_a_start() {
    assert_eq!(retry_wait(40, false), Duration::from_millis(800));
    assert_eq!(retry_wait(u32::MAX, false), Duration::from_millis(800));
}

/// Guards against a change of the backoff of daemons that serve callers from what they know.
#[test]
fn running_daemon_backs_off_exponentially() {
    let waits_ms: Vec<_> = (1..=5).map(|n| retry_wait(n, true).as_millis()).collect();
    assert_eq!(waits_ms, [100, 200, 400, 800, 800]);
}
