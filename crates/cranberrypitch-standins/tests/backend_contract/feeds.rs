//! Feeds, and the endpoints for health and load.

use std::time::Duration;

use cranberrypitch_agent::backend::{
    BackendError, BackendLoad, BackendServer, BackendState, FailureCause, FeedSource,
};
use cranberrypitch_standins::backend::{Faults, reading_json};

use crate::{info, spawn};

/// Guards against feeds that end early, skip a reading or differ between servers without an error.
#[tokio::test]
async fn feeds_are_complete_or_fail() {
    let aborted = Faults {
        feed_abort_after_readings: Some(3),
        ..Faults::default()
    };
    let gap = Faults {
        feed_gap_after_readings: Some(3),
        ..Faults::default()
    };
    let gap_cause = FailureCause::SequenceGap {
        expected: 103,
        found: 104,
    };
    let cases = [
        ("complete", Faults::default(), 5, None),
        ("aborted", aborted, 3, Some(FailureCause::ConnectionLost)),
        ("gap", gap, 3, Some(gap_cause)),
    ];
    for (name, faults, expected_len, expected_cause) in cases {
        let (_server, backend) =
            spawn(|o| o.feed_seed(9).readings_per_feed(5).faults(faults)).await;
        let mut feed = backend.feed(&info(1), Some(100)).await.expect("feed");
        let mut sequence = 100;
        let end = loop {
            match feed.next_reading().await {
                Ok(Some(reading)) => {
                    assert_eq!(
                        reading.payload,
                        reading_json(9, sequence).as_bytes(),
                        "{name}"
                    );
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

/// Guards against a feed that seems complete although its server was killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn feeds_of_killed_servers_fail() {
    let interval = Duration::from_millis(1);
    for round in 0..50 {
        let (server, backend) = spawn(|o| o.reading_interval(interval)).await;
        let mut feed = backend.feed(&info(1), None).await.expect("feed");
        feed.next_reading().await.expect("first reading");
        server.kill();
        let error = loop {
            match feed.next_reading().await {
                Ok(Some(_)) => {}
                Ok(None) => panic!("round {round}: the feed ended without an error"),
                Err(error) => break error,
            }
        };
        assert!(error.is_outcome_unknown(), "round {round}: {error}");
    }
}

/// Guards against a drain that breaks open feeds or accepts new ones, and against endpoint faults that
/// have no effect.
#[tokio::test]
async fn drain_keeps_open_feeds_and_endpoint_faults_take_effect() {
    let interval = Duration::from_millis(5);
    let (server, backend) = spawn(|o| o.reading_interval(interval)).await;
    let max_age = Duration::from_mins(1);
    server.set_faults(|faults| faults.max_health_age = max_age);
    assert_eq!(backend.health().await, Ok(BackendState::Ready));
    let mut feed = backend.feed(&info(1), None).await.expect("feed");
    server.drain();
    assert_eq!(
        backend.health().await,
        Ok(BackendState::Ready),
        "cached state"
    );
    server.set_faults(|faults| faults.max_health_age = Duration::ZERO);
    assert_eq!(backend.health().await, Ok(BackendState::Draining));
    server.set_faults(|faults| faults.reported_load = Some(BackendLoad::default()));
    let load = backend.load().await.expect("load");
    assert_eq!((load.slots, load.connections), (0, 0), "injected load");
    let refused = backend.feed(&info(2), None).await.expect_err("refused");
    assert!(refused.is_not_run(), "{refused}");
    for _ in 0..3 {
        let reading = feed.next_reading().await.expect("open feed");
        assert!(reading.is_some(), "the feed continues");
    }
}
