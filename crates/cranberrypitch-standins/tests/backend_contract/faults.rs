//! Faults of backend servers, and deadlines at any moment.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_agent::backend::{
    BackendServer, FailureCause, HttpBackend, HttpBackendOptions, RequestInfo,
};
use cranberrypitch_core::Slots;
use cranberrypitch_standins::backend::{BackendHandle, ResetPoint, RunOutcome, ServiceTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::uploads::upload;
use crate::{ANSWER_WITHIN, Report, SERVICE_TIME, info, order, report, runs, spawn, until_settled};

type Prepare = fn(&BackendHandle);

/// Guards against each fault being reported as another kind of outcome than it is, for orders and
/// uploads: above all a run reported as not sent, and a cut answer reported as done.
#[tokio::test]
async fn faults_are_reported_as_what_they_are() {
    let cases: [(&str, Prepare, Report, &[RunOutcome]); 12] = [
        ("none", |_| {}, Report::Done, &[RunOutcome::Done]),
        ("draining", BackendHandle::drain, Report::NotSent, &[]),
        ("killed", BackendHandle::kill, Report::NotSent, &[]),
        (
            "shed",
            |s| s.set_faults(|f| f.shed_rate = 1.0),
            Report::NotSent,
            &[],
        ),
        (
            "refused without a promise",
            |s| s.set_faults(|f| f.silent_shed_rate = 1.0),
            Report::Failed(503),
            &[],
        ),
        (
            "failed run",
            |s| s.set_faults(|f| f.fail_rate = 1.0),
            Report::Failed(500),
            &[RunOutcome::Failed],
        ),
        (
            "reset before the run",
            |s| s.set_faults(|f| f.reset_point = Some(ResetPoint::Before)),
            Report::Unknown(FailureCause::ConnectionLost),
            &[],
        ),
        (
            "reset during the run",
            |s| s.set_faults(|f| f.reset_point = Some(ResetPoint::During)),
            Report::Unknown(FailureCause::ConnectionLost),
            &[RunOutcome::Done],
        ),
        (
            "reset after the run",
            |s| s.set_faults(|f| f.reset_point = Some(ResetPoint::After)),
            Report::Unknown(FailureCause::ConnectionLost),
            &[RunOutcome::Done],
        ),
        (
            "cut answer",
            |s| s.set_faults(|f| f.truncates_responses = true),
            Report::Unknown(FailureCause::ConnectionLost),
            &[RunOutcome::Done],
        ),
        (
            "late answer",
            |s| s.set_faults(|f| f.response_delay = ANSWER_WITHIN * 2),
            Report::Unknown(FailureCause::DeadlineExceeded),
            &[RunOutcome::Done],
        ),
        (
            "frozen",
            |s| s.set_faults(|f| f.is_frozen = true),
            Report::Unknown(FailureCause::DeadlineExceeded),
            &[],
        ),
    ];
    for (name, prepare, expected, expected_runs) in cases {
        let (server, backend) = spawn(|options| options).await;
        prepare(&server);
        assert_eq!(report(order(&backend, 1).await), expected, "order, {name}");
        assert_eq!(
            report(upload(&backend, 2).await),
            expected,
            "upload, {name}"
        );
        sleep(SERVICE_TIME * 3).await;
        until_settled(&server).await;
        assert_eq!(runs(&server, 1), expected_runs, "order, {name}");
        assert_eq!(runs(&server, 2), expected_runs, "upload, {name}");
    }
}

/// Guards against answers that are malformed, cut or end without a sign of their end, and pass.
#[tokio::test]
async fn answers_that_are_not_whole_are_unknown() {
    let malformed = FailureCause::MalformedResponse;
    let cases: [(&str, &str, FailureCause); 8] = [
        ("nothing", "", FailureCause::ConnectionLost),
        (
            "half a head",
            "HTTP/1.1 200 OK\r\ncontent-le",
            FailureCause::ConnectionLost,
        ),
        ("no HTTP", "what do you want\r\n\r\n", malformed.clone()),
        (
            "no length",
            "HTTP/1.1 200 OK\r\n\r\n{}",
            FailureCause::UnframedResponse,
        ),
        (
            "other coding than chunked",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n{}",
            FailureCause::UnframedResponse,
        ),
        (
            "short success",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}",
            FailureCause::ConnectionLost,
        ),
        (
            "short refusal",
            "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 9\r\n\r\n{}",
            FailureCause::ConnectionLost,
        ),
        (
            "success that was not run",
            "HTTP/1.1 200 OK\r\nx-not-run: true\r\ncontent-length: 2\r\n\r\n{}",
            malformed,
        ),
    ];
    for (name, answer, cause) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let address = listener.local_addr().expect("address");
        let script = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            let mut request = [0; 4096];
            let len_bytes = stream.read(&mut request).await.expect("request");
            assert!(len_bytes > 0, "a request came");
            stream.write_all(answer.as_bytes()).await.expect("answer");
        });
        let backend = HttpBackend::new(address, HttpBackendOptions::default());
        let result = order(&backend, 1).await;
        assert_eq!(report(result), Report::Unknown(cause), "{name}");
        script.await.expect("script");
    }
}

/// Guards against a request that runs after it was reported as not sent: deadlines fall on every
/// moment between the connection attempt and the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn deadlines_at_any_moment_tell_the_truth() {
    const ORDERS: u128 = 2000;
    let fast = ServiceTime::Fixed(Duration::ZERO);
    let slots = Slots::new(64);
    let (server, backend) = spawn(|o| o.service_time(fast).slots(slots)).await;
    let backend = Arc::new(backend);
    let mut orders = tokio::task::JoinSet::new();
    let mut reports = Vec::new();
    for id in 0..ORDERS {
        let backend = Arc::clone(&backend);
        orders.spawn(async move {
            let micros = u64::try_from(id % 40).expect("small") * 100;
            let within = Duration::from_micros(micros);
            let body = Bytes::from_static(b"{}");
            let info = RequestInfo {
                response_timeout: within,
                ..info(id)
            };
            (id, report(backend.order(&info, body).await))
        });
        if orders.len() >= 16 {
            let order = orders.join_next().await.expect("an order");
            reports.push(order.expect("no panic"));
        }
    }
    reports.extend(orders.join_all().await);
    sleep(SERVICE_TIME * 5).await;
    until_settled(&server).await;
    let count = |kind: fn(&Report) -> bool| reports.iter().filter(|(_, r)| kind(r)).count();
    let not_sent = count(|report| *report == Report::NotSent);
    let unknown = count(|report| matches!(report, Report::Unknown(_)));
    assert!(
        not_sent > 0 && unknown > 0,
        "{not_sent} not sent, {unknown} unknown"
    );
    for (id, report) in reports {
        let runs = runs(&server, id);
        match report {
            Report::Done => assert_eq!(runs, [RunOutcome::Done], "order {id}"),
            Report::NotSent => assert_eq!(runs, [], "order {id}"),
            Report::Failed(status) => panic!("order {id} failed with {status}"),
            Report::Unknown(_) => assert!(runs.len() <= 1, "order {id} ran twice"),
        }
    }
}

/// Guards against a time that a caller may ask for and that overflows.
#[tokio::test]
async fn endless_deadlines_are_served() {
    let (_server, backend) = spawn(|options| options).await;
    let endless = RequestInfo {
        start_timeout: Duration::MAX,
        response_timeout: Duration::MAX,
        ..info(1)
    };
    let result = backend.order(&endless, Bytes::from_static(b"{}")).await;
    assert_eq!(report(result), Report::Done);
}
