//! The life cycle of an agent.

use std::time::{Duration, Instant};

use cranberrypitch_core::drain::{DrainOptions, Lifecycle, RemainingWork};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against an exit that cuts requests, feeds or the last answers.
#[test]
fn drain_ends_only_when_nothing_is_left() {
    let now = Instant::now();
    let mut draining = Lifecycle::new().ready().drain(DrainOptions::default(), now);
    assert_eq!(draining.start_until(), now + 2 * SECOND);
    let left = [(1, 0, 0), (0, 1, 0), (0, 0, 1)];
    for (running, waiting, feeds) in left {
        let remaining = RemainingWork {
            running,
            waiting,
            feeds,
        };
        draining.observe(remaining, now);
        assert_eq!(draining.remaining(), remaining);
        assert_eq!(draining.exit_at(), None);
        let still = draining.try_stop(now + 3600 * SECOND);
        draining = still.expect_err("work is left");
    }
    let empty = now + 10 * SECOND;
    draining.observe(RemainingWork::default(), empty);
    draining.observe(RemainingWork::default(), empty + SECOND / 4);
    let exit = empty + SECOND / 2;
    assert_eq!(draining.exit_at(), Some(exit));
    let draining = draining
        .try_stop(empty + SECOND / 4)
        .expect_err("it lingers");
    let stopped = draining.try_stop(exit).expect("nothing is left");
    assert_eq!(stopped.drain_time(), exit - now);
}

/// Guards against an idle agent that exits before the balancers know, so late requests get lost.
#[test]
fn idle_agent_stays_for_the_notice() {
    let now = Instant::now();
    let mut draining = Lifecycle::new().drain(DrainOptions::default(), now);
    draining.observe(RemainingWork::default(), now);
    assert_eq!(draining.exit_at(), Some(now + 3 * SECOND));
}
