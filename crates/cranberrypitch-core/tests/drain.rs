//! Tests of the life cycle of an agent.

use std::time::{Duration, Instant};

use cranberrypitch_core::drain::{DrainOptions, Lifecycle, RemainingWork};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against an exit that aborts requests or feeds, or that loses the last answers.
#[test]
fn drain_ends_only_when_nothing_is_left() {
    let now = Instant::now();
    let mut draining = Lifecycle::new().ready().drain(DrainOptions::default(), now);
    assert_eq!(draining.start_until(), now + 2 * SECOND);
    let work = [(1, 0, 0), (0, 1, 0), (0, 0, 1)];
    for (running, waiting, feeds) in work {
        let remaining = RemainingWork {
            running,
            waiting,
            feeds,
        };
        draining.observe(remaining, now);
        assert_eq!(draining.remaining(), remaining);
        assert_eq!(draining.exit_at(), None);
        let result = draining.try_stop(now + 3600 * SECOND);
        draining = result.expect_err("work is left");
    }
    let empty_at = now + 10 * SECOND;
    draining.observe(RemainingWork::default(), empty_at);
    draining.observe(RemainingWork::default(), empty_at + SECOND / 4);
    let exit = empty_at + SECOND / 2;
    assert_eq!(draining.exit_at(), Some(exit));
    let draining = draining
        .try_stop(empty_at + SECOND / 4)
        .expect_err("the linger time has not passed");
    let stopped = draining.try_stop(exit).expect("no work is left");
    assert_eq!(stopped.drain_time(), exit - now);
}

/// Guards against an idle agent that exits before the balancers have received its state, so that
/// late requests are lost.
#[test]
fn idle_agent_drains_for_the_minimum_duration() {
    let now = Instant::now();
    let mut draining = Lifecycle::new().drain(DrainOptions::default(), now);
    draining.observe(RemainingWork::default(), now);
    assert_eq!(draining.exit_at(), Some(now + 3 * SECOND));
}
