//! Feeds and the endpoints for health and load.

use std::time::Duration;

use cranberrypitch_agent::backend::{
    BackendError, BackendLoad, BackendServer, BackendState, FailureCause, FeedSource,
};
use cranberrypitch_standins::backend::{Faults, reading};

use crate::{info, spawn};

/// Guards against feeds that end early, skip a reading or differ between servers, unnoticed.
#[tokio::test]
async fn feeds_are_whole_or_fail() {
    let cut = Faults {
        feed_abort_after_readings: Some(3),
        ..Faults::default()
    };
    let gap = Faults {
        feed_gap_after_readings: Some(3),
        ..Faults::default()
    };
    let skipped = FailureCause::SequenceGap {
        expected: 103,
        found: 104,
    };
    let cases = [
        ("whole", Faults::default(), 5, None),
        ("cut", cut, 3, Some(FailureCause::ConnectionLost)),
        ("gap", gap, 3, Some(skipped)),
    ];
    for (name, faults, expected_len, expected_cause) in cases {
        let (_server, backend) = spawn(|o| o.feed_seed(9).feed_len(5).faults(faults)).await;
        let mut feed = backend.feed(&info(1), Some(100)).await.expect("feed");
        let mut sequence = 100;
        let end = loop {
            match feed.next_reading().await {
                Ok(Some(found)) => {
                    assert_eq!(found.payload, reading(9, sequence).as_bytes(), "{name}");
                    sequence += 1;
                }
                Ok(None) => break None,
                Err(BackendError::OutcomeUnknown { cause }) => break Some(cause),
                Err(error) => panic!("{name}: {error}"),
            }
        };
        assert_eq!(
            (sequence - 100, end),
            (expected_len, expected_cause),
            "{name}"
        );
    }
}

/// Guards against a feed that seems to end as a whole when its server is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn feeds_of_killed_servers_break_off() {
    let interval = Duration::from_millis(1);
    for round in 0..50 {
        let (server, backend) = spawn(|o| o.reading_interval(interval)).await;
        let mut feed = backend.feed(&info(1), None).await.expect("feed");
        feed.next_reading().await.expect("first reading");
        server.kill();
        let broken = loop {
            match feed.next_reading().await {
                Ok(Some(_)) => {}
                Ok(None) => panic!("round {round}: the feed ended as a whole"),
                Err(error) => break error,
            }
        };
        assert!(broken.is_outcome_unknown(), "round {round}: {broken}");
    }
}

/// Guards against a drain that breaks open feeds or still takes new ones, and against endpoints
/// that can't be made to lag and lie.
#[tokio::test]
async fn drain_keeps_open_feeds_and_endpoints_mislead() {
    let interval = Duration::from_millis(5);
    let (server, backend) = spawn(|o| o.reading_interval(interval)).await;
    let lag = Duration::from_mins(1);
    server.set_faults(|faults| faults.max_health_age = lag);
    assert_eq!(backend.health().await, Ok(BackendState::Ready));
    let mut feed = backend.feed(&info(1), None).await.expect("feed");
    server.drain();
    assert_eq!(backend.health().await, Ok(BackendState::Ready), "lags");
    server.set_faults(|faults| faults.max_health_age = Duration::ZERO);
    assert_eq!(backend.health().await, Ok(BackendState::Draining));
    server.set_faults(|faults| faults.reported_load = Some(BackendLoad::default()));
    let claimed = backend.load().await.expect("load");
    assert_eq!((claimed.slots, claimed.connections), (0, 0), "lies");
    let refused = backend.feed(&info(2), None).await.expect_err("refused");
    assert!(refused.is_not_run(), "{refused}");
    for _ in 0..3 {
        let reading = feed.next_reading().await.expect("open feed");
        assert!(reading.is_some(), "the feed goes on");
    }
}
