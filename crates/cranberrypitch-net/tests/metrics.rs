//! Metrics over UDP and in-memory histograms.

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use cranberrypitch_core::{OrganisationId, RequestClass, VmId};
use cranberrypitch_net::events::{DropReason, Program};
use cranberrypitch_net::metrics::{self, Counter, Gauge, RequestTimesLog, Sampler, Timer};
use cranberrypitch_net::{Event, Metrics, RequestHistograms};
use expect_test::{expect, expect_file};

fn organisation(name: &str) -> OrganisationId {
    OrganisationId::try_new(name).expect("a valid name")
}

/// Guards against metrics that are not sent, or are sent without their name or tags.
#[test]
fn metrics_are_sent_in_statsd_format() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    receiver
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a timeout");
    let Ok(SocketAddr::V4(address)) = receiver.local_addr() else {
        panic!("bound to IPv4");
    };
    let vm = VmId::try_new("vm-1").expect("a valid name");
    let metrics = Metrics::try_new(Some(address), Program::Agent, &vm).expect("a socket");
    metrics.count(Counter::FlowsPlaced, 3);
    metrics.count_dropped(DropReason::NoTarget, 2);
    metrics.gauge(Gauge::Connections, 7);
    metrics.time_request(
        Timer::RequestWait,
        RequestClass::Order,
        Duration::from_millis(12),
    );
    metrics.flush();
    let mut buffer = [0; 2048];
    let len_bytes = receiver.recv(&mut buffer).expect("metrics arrive");
    let text = std::str::from_utf8(&buffer[..len_bytes]).expect("text");
    expect![[r"
        cranberrypitch.agent.flows.placed:3|c|#vm:vm-1
        cranberrypitch.agent.datagrams.dropped:2|c|#vm:vm-1,reason:no_target
        cranberrypitch.agent.connections:7|g|#vm:vm-1
        cranberrypitch.agent.requests.wait:12|ms|#vm:vm-1,class:order
    "]]
    .assert_eq(text);
}

/// Guards against differences between the catalogue and the page.
#[test]
fn metrics_page_is_complete() {
    expect_file!["../../../docs/metrics.md"].assert_eq(&metrics::metrics_page());
}

/// Guards against increments that are sent twice, or are lost between two log lines.
#[test]
fn a_sampler_sends_the_increments_of_totals() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    receiver
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a timeout");
    let Ok(SocketAddr::V4(address)) = receiver.local_addr() else {
        panic!("bound to IPv4");
    };
    let vm = VmId::try_new("vm-1").expect("a valid name");
    let metrics = Metrics::try_new(Some(address), Program::Balancer, &vm).expect("a socket");
    let mut sampler = Sampler::new(metrics.clone());
    let start = Instant::now();
    let mut events = Vec::new();
    for (total, seconds) in [(5, 0), (5, 1), (9, 2), (9, 60)] {
        let now = start + Duration::from_secs(seconds);
        sampler.count(Counter::FlowsPlaced, total);
        events.extend(sampler.count_dropped([(DropReason::NoBalancer, total)], now));
    }
    let expected = [5, 4].map(|count| Event::NoReturnPath { count });
    assert_eq!(events, expected);
    metrics.flush();
    let mut buffer = [0; 2048];
    let len_bytes = receiver.recv(&mut buffer).expect("metrics arrive");
    let text = std::str::from_utf8(&buffer[..len_bytes]).expect("text");
    expect![[r"
        cranberrypitch.balancer.flows.placed:5|c|#vm:vm-1
        cranberrypitch.balancer.datagrams.dropped:5|c|#vm:vm-1,reason:no_balancer
        cranberrypitch.balancer.flows.placed:4|c|#vm:vm-1
        cranberrypitch.balancer.datagrams.dropped:4|c|#vm:vm-1,reason:no_balancer
    "]]
    .assert_eq(text);
}

/// Guards against memory that grows with the number of organisation names, and against lost values.
#[test]
fn organisations_beyond_the_bound_share_a_row() {
    let mut histograms = RequestHistograms::new(2);
    for name in ["a", "b", "c", "d"] {
        histograms.record_wait(
            &organisation(name),
            RequestClass::Order,
            Duration::from_millis(10),
        );
    }
    let rows = histograms.snapshot().rows;
    let counts: Vec<_> = rows
        .iter()
        .map(|row| (row.organisation.clone(), row.wait.count))
        .collect();
    assert_eq!(
        counts,
        [
            (Some(organisation("a")), 1),
            (Some(organisation("b")), 1),
            (None, 2)
        ]
    );
}

/// Guards against an interval that is not logged or contains times of another one, and a log line for
/// an interval without requests.
#[test]
fn times_are_logged_once_per_interval_with_requests() {
    let minute = Duration::from_mins(1);
    let start = Instant::now();
    let mut times = RequestTimesLog::new(Metrics::disabled(), 4, minute, start);
    times.record_wait(
        &organisation("a"),
        RequestClass::Order,
        Duration::from_millis(10),
    );
    assert_eq!(times.due(start + minute / 2), None);
    let Some(Event::RequestTimes { json }) = times.due(start + minute) else {
        panic!("an event is due");
    };
    assert!(
        json.starts_with(r#"{"rows":[{"tenant":"a","class":"order","wait":{"count":1,"#),
        "{json}"
    );
    assert_eq!(times.due(start + minute * 2), None, "no requests since");
    times.record_service(
        &organisation("b"),
        RequestClass::Feed,
        Duration::from_millis(10),
    );
    let rows = times.snapshot().rows;
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].service.count, 1);
}

/// Guards against classes or organisations that are mixed up when histograms are added and serialised.
#[test]
fn a_snapshot_serializes_sums() {
    let mut sum = RequestHistograms::new(4);
    for wait_ms in [10, 30] {
        let mut histograms = RequestHistograms::new(4);
        histograms.record_wait(
            &organisation("a"),
            RequestClass::Upload,
            Duration::from_millis(wait_ms),
        );
        histograms.record_service(&organisation("b"), RequestClass::Order, Duration::MAX);
        sum.add(&histograms);
    }
    let text = serde_json::to_string(&sum.snapshot()).expect("a snapshot serializes");
    let text = text.replace("},", "},\n");
    expect![[r#"
        {"rows":[{"tenant":"a","class":"upload","wait":{"count":2,"mean_ms":20.016,"p50_ms":10.047,"p90_ms":30.079,"p99_ms":30.079,"max_ms":30.079},
        "service":{"count":0,"mean_ms":0.0,"p50_ms":0.0,"p90_ms":0.0,"p99_ms":0.0,"max_ms":0.0}},
        {"tenant":"b","class":"order","wait":{"count":0,"mean_ms":0.0,"p50_ms":0.0,"p90_ms":0.0,"p99_ms":0.0,"max_ms":0.0},
        "service":{"count":2,"mean_ms":3598712.832,"p50_ms":3607101.439,"p90_ms":3607101.439,"p99_ms":3607101.439,"max_ms":3607101.439}}]}"#]].assert_eq(&text);
}
