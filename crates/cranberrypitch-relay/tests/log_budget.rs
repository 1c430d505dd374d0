//! Keeps the volume of the log bounded under load.

use std::time::{Duration, Instant};

use cranberrypitch_relay::LineRateLimiter;

#[test]
fn lines_over_the_budget_are_counted() {
    let now = Instant::now();
    let mut budget = LineRateLimiter::new(3);
    let written = (0..10).filter(|_| budget.try_acquire(now)).count();
    assert_eq!(written, 3);
    assert_eq!(budget.take_suppressed(), 7);
    assert_eq!(budget.take_suppressed(), 0);
    assert!(budget.try_acquire(now + Duration::from_secs(1)));
}
