//! Keeps the volume of the log bounded under load.

use std::time::{Duration, Instant};

use cranberrypitch_relay::LineBudget;

#[test]
fn lines_over_the_budget_are_counted() {
    let now = Instant::now();
    let mut budget = LineBudget::new(3);
    let written = (0..10).filter(|_| budget.take(now)).count();
    assert_eq!(written, 3);
    assert_eq!(budget.take_left_out(), 7);
    assert_eq!(budget.take_left_out(), 0);
    assert!(budget.take(now + Duration::from_secs(1)));
}
