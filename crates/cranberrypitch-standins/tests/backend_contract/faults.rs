//! Fault injection in backend servers, and deadlines at every stage of a request.

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
use crate::{
    Outcome, RESPONSE_TIMEOUT, SERVICE_TIME, info, order, outcome, runs, spawn,
    wait_until_runs_ended,
};

type InjectFault = fn(&BackendHandle);

/// Guards against wrong outcomes of orders and uploads under injected faults, above all a run that is
/// reported as not run and a truncated response that is reported as done.
#[tokio::test]
async fn injected_faults_have_the_right_outcome() {
    let cases: [(&str, InjectFault, Outcome, &[RunOutcome]); 12] = [
        ("none", |_| {}, Outcome::Done, &[RunOutcome::Done]),
        ("draining", BackendHandle::drain, Outcome::NotRun, &[]),
        ("killed", BackendHandle::kill, Outcome::NotRun, &[]),
        (
            "shed",
            |s| s.set_faults(|f| f.shed_rate = 1.0),
            Outcome::NotRun,
            &[],
        ),
        (
            "refused without the header",
            |s| s.set_faults(|f| f.silent_shed_rate = 1.0),
            Outcome::Failed(503),
            &[],
        ),
        (
            "failed run",
            |s| s.set_faults(|f| f.fail_rate = 1.0),
            Outcome::Failed(500),
            &[RunOutcome::Failed],
        ),
        (
            "reset before the run",
            |s| s.set_faults(|f| f.reset_point = Some(ResetPoint::Before)),
            Outcome::Unknown(FailureCause::ConnectionLost),
            &[],
        ),
        (
            "reset during the run",
            |s| s.set_faults(|f| f.reset_point = Some(ResetPoint::During)),
            Outcome::Unknown(FailureCause::ConnectionLost),
            &[RunOutcome::Done],
        ),
        (
            "reset after the run",
            |s| s.set_faults(|f| f.reset_point = Some(ResetPoint::After)),
            Outcome::Unknown(FailureCause::ConnectionLost),
            &[RunOutcome::Done],
        ),
        (
            "truncated response",
            |s| s.set_faults(|f| f.truncates_responses = true),
            Outcome::Unknown(FailureCause::ConnectionLost),
            &[RunOutcome::Done],
        ),
        (
            "late response",
            |s| s.set_faults(|f| f.response_delay = RESPONSE_TIMEOUT * 2),
            Outcome::Unknown(FailureCause::DeadlineExceeded),
            &[RunOutcome::Done],
        ),
        (
            "frozen",
            |s| s.set_faults(|f| f.is_frozen = true),
            Outcome::Unknown(FailureCause::DeadlineExceeded),
            &[],
        ),
    ];
    for (name, inject_fault, expected, expected_runs) in cases {
        let (server, backend) = spawn(|options| options).await;
        inject_fault(&server);
        assert_eq!(outcome(order(&backend, 1).await), expected, "order, {name}");
        assert_eq!(
            outcome(upload(&backend, 2).await),
            expected,
            "upload, {name}"
        );
        sleep(SERVICE_TIME * 3).await;
        wait_until_runs_ended(&server).await;
        assert_eq!(runs(&server, 1), expected_runs, "order, {name}");
        assert_eq!(runs(&server, 2), expected_runs, "upload, {name}");
    }
}

/// Guards against malformed, truncated or unframed responses that are accepted.
#[tokio::test]
async fn answers_that_are_not_whole_are_unknown() {
    let malformed = FailureCause::MalformedResponse;
    let cases: [(&str, &str, FailureCause); 8] = [
        ("nothing", "", FailureCause::ConnectionLost),
        (
            "truncated head",
            "HTTP/1.1 200 OK\r\ncontent-le",
            FailureCause::ConnectionLost,
        ),
        ("no HTTP", "what do you want\r\n\r\n", malformed.clone()),
        (
            "no content length",
            "HTTP/1.1 200 OK\r\n\r\n{}",
            FailureCause::UnframedResponse,
        ),
        (
            "transfer coding other than chunked",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n{}",
            FailureCause::UnframedResponse,
        ),
        (
            "truncated success",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}",
            FailureCause::ConnectionLost,
        ),
        (
            "truncated refusal",
            "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 9\r\n\r\n{}",
            FailureCause::ConnectionLost,
        ),
        (
            "success marked as not run",
            "HTTP/1.1 200 OK\r\nx-not-run: true\r\ncontent-length: 2\r\n\r\n{}",
            malformed,
        ),
    ];
    for (name, response, cause) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let address = listener.local_addr().expect("address");
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            let mut request = [0; 4096];
            let len_bytes = stream.read(&mut request).await.expect("request");
            assert!(len_bytes > 0, "the connection closed without a request");
            stream
                .write_all(response.as_bytes())
                .await
                .expect("response");
        });
        let backend = HttpBackend::new(address, HttpBackendOptions::default());
        let result = order(&backend, 1).await;
        assert_eq!(outcome(result), Outcome::Unknown(cause), "{name}");
        server.await.expect("server task");
    }
}

/// Guards against a request that runs after it was reported as not run. The deadlines cover the time
/// from the connection attempt to the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn deadlines_at_every_stage_have_the_right_outcome() {
    const ORDERS: u128 = 2000;
    let no_service_time = ServiceTime::Fixed(Duration::ZERO);
    let slots = Slots::new(64);
    let (server, backend) = spawn(|o| o.service_time(no_service_time).slots(slots)).await;
    let backend = Arc::new(backend);
    let mut orders = tokio::task::JoinSet::new();
    let mut outcomes = Vec::new();
    for id in 0..ORDERS {
        let backend = Arc::clone(&backend);
        orders.spawn(async move {
            let micros = u64::try_from(id % 40).expect("small") * 100;
            let timeout = Duration::from_micros(micros);
            let body = Bytes::from_static(b"{}");
            let info = RequestInfo {
                response_timeout: timeout,
                ..info(id)
            };
            (id, outcome(backend.order(&info, body).await))
        });
        if orders.len() >= 16 {
            let order = orders.join_next().await.expect("an order");
            outcomes.push(order.expect("no panic"));
        }
    }
    outcomes.extend(orders.join_all().await);
    sleep(SERVICE_TIME * 5).await;
    wait_until_runs_ended(&server).await;
    let count = |kind: fn(&Outcome) -> bool| outcomes.iter().filter(|(_, r)| kind(r)).count();
    let not_run = count(|outcome| *outcome == Outcome::NotRun);
    let unknown = count(|outcome| matches!(outcome, Outcome::Unknown(_)));
    assert!(
        not_run > 0 && unknown > 0,
        "{not_run} not run, {unknown} unknown"
    );
    for (id, outcome) in outcomes {
        let runs = runs(&server, id);
        match outcome {
            Outcome::Done => assert_eq!(runs, [RunOutcome::Done], "order {id}"),
            Outcome::NotRun => assert_eq!(runs, [], "order {id}"),
            Outcome::Failed(status) => panic!("order {id} failed with {status}"),
            Outcome::Unknown(_) => assert!(runs.len() <= 1, "order {id} ran twice"),
        }
    }
}

/// Guards against an overflow for the longest timeouts that a caller can set.
#[tokio::test]
async fn maximum_timeouts_are_accepted() {
    let (_server, backend) = spawn(|options| options).await;
    let info = RequestInfo {
        start_timeout: Duration::MAX,
        response_timeout: Duration::MAX,
        ..info(1)
    };
    let result = backend.order(&info, Bytes::from_static(b"{}")).await;
    assert_eq!(outcome(result), Outcome::Done);
}
