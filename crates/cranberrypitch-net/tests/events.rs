//! The catalogue of log events and their rate limits.

use std::time::{Duration, Instant};

use cranberrypitch_net::Event;
use cranberrypitch_net::events::{self, CATALOGUE, DropLog, DropReason};
use expect_test::expect_file;

/// Guards against differences between the catalogue and the page.
#[test]
fn catalogue_is_complete() {
    expect_file!["../../../docs/log-events.md"].assert_eq(&events::catalogue_page());
}

/// Guards against numbers that are used twice or lie outside the areas.
#[test]
fn numbers_ascend_within_the_areas() {
    let numbers: Vec<_> = CATALOGUE.iter().map(|entry| entry.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let areas = 1..=u16::try_from(events::AREAS.len()).expect("few areas");
    assert!(numbers.iter().all(|number| areas.contains(&(number / 100))));
}

/// Guards against a multi-line error text that looks like several events.
#[test]
fn an_event_is_one_line() {
    let problem = "a.json: vm: missing\na.json: region: missing".into();
    let event = Event::SettingsRefused { problem };
    let expected = "CP0201 settings refused: a.json: vm: missing; a.json: region: missing";
    assert_eq!(event.line(), expected);
    let paused_ms = Duration::from_millis(1500);
    assert_eq!(
        Event::Paused { paused_ms }.line(),
        "CP0107 process was paused for 1500 ms"
    );
}

/// Guards against a flood of invalid datagrams that floods the log or is not counted.
#[test]
fn dropped_datagrams_are_counted_and_limited_in_rate() {
    let mut log = DropLog::new(Duration::from_secs(1));
    let start = Instant::now();
    let event = |reason, count| Some(Event::DatagramsDropped { count, reason });
    for reason in DropReason::ALL {
        assert!(
            log.count(reason, start).is_some(),
            "the first is logged at once"
        );
    }
    for _ in 0..1000 {
        assert_eq!(log.count(DropReason::InvalidTunnel, start), None);
    }
    let later = start + Duration::from_millis(1001);
    assert_eq!(
        log.count(DropReason::InvalidTunnel, later),
        event(DropReason::InvalidTunnel, 1001)
    );
    assert_eq!(log.count(DropReason::Misdirected, start), None);
    let due: Vec<_> = log.due(later).collect();
    assert_eq!(due, [Event::MisdirectedDropped { count: 1 }]);
    assert_eq!(
        log.due(later + Duration::from_secs(5)).count(),
        0,
        "nothing is left"
    );
}
