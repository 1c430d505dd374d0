//! Guards against a log whose volume is unbounded under load.

use std::time::{Duration, Instant};

use cranberrypitch_relay::LineRateLimiter;

#[test]
fn lines_over_the_limit_are_suppressed_and_counted() {
    let now = Instant::now();
    let mut limiter = LineRateLimiter::new(3);
    let written = (0..10).filter(|_| limiter.try_acquire(now)).count();
    assert_eq!(written, 3);
    assert_eq!(limiter.take_suppressed(), 7);
    assert_eq!(limiter.take_suppressed(), 0);
    assert!(limiter.try_acquire(now + Duration::from_secs(1)));
}
