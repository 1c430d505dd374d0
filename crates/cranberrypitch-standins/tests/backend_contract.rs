//! Contract of the agent's backend server interface: the HTTP/1.1 adapter against the stand-in.
//!
//! Each case states what the adapter must report and what the stand-in's journal must hold.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_agent::backend::{
    Answer, BackendError, BackendLoad, BackendServer, BackendState, BodySource, CancelState, Cause,
    FeedSource, HttpBackend, HttpBackendOptions, RequestId, RequestInfo, Result,
};
use cranberrypitch_core::{ByteSize, ConnectionLimit, Slots, TenantId};
use cranberrypitch_standins::backend::{
    BackendHandle, BackendOptions, BackendStandin, Faults, ResetPoint, RunOutcome, ServiceTime,
    reading,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const SERVICE_TIME: Duration = Duration::from_millis(20);
const ANSWER_WITHIN: Duration = Duration::from_millis(400);
const FILE: &[u8] = &[7; 300_000];

/// Gives a file in parts, and fails in place of the last part when it is to break off.
struct Parts {
    rest: &'static [u8],
    breaks_off: bool,
}

impl BodySource for Parts {
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        const PART_BYTES: usize = 64 * 1024;
        if self.rest.is_empty() {
            return Ok(None);
        }
        let (part, rest) = self.rest.split_at(PART_BYTES.min(self.rest.len()));
        if rest.is_empty() && self.breaks_off {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.rest = rest;
        Ok(Some(Bytes::from_static(part)))
    }
}

fn whole_file() -> Parts {
    Parts {
        rest: FILE,
        breaks_off: false,
    }
}

fn file_len() -> ByteSize {
    ByteSize::new(FILE.len() as u64)
}

fn info(id: u128) -> RequestInfo {
    RequestInfo {
        id: RequestId::new(id),
        tenant: TenantId::try_new("shop-1").expect("valid tenant"),
        start_within: Duration::from_millis(200),
        answer_within: ANSWER_WITHIN,
    }
}

async fn spawn(
    adjust: impl FnOnce(BackendOptions) -> BackendOptions,
) -> (BackendHandle, HttpBackend) {
    let options = BackendOptions::new(1).service_time(ServiceTime::Fixed(SERVICE_TIME));
    let server = BackendStandin::spawn(adjust(options))
        .await
        .expect("server");
    let backend = HttpBackend::new(server.address(), HttpBackendOptions::default());
    (server, backend)
}

async fn order(backend: &HttpBackend, id: u128) -> Result<Answer> {
    let body = format!("{{\"key\":\"k{id}\"}}");
    backend.order(&info(id), body.into()).await
}

async fn upload(backend: &HttpBackend, id: u128) -> Result<Answer> {
    backend.upload(&info(id), file_len(), whole_file()).await
}

fn runs(server: &BackendHandle, id: u128) -> Vec<RunOutcome> {
    let id = RequestId::new(id).to_string();
    let entries = server.journal().into_iter();
    let of_id = entries.filter(|entry| *entry.request_id == *id);
    of_id.map(|entry| entry.outcome).collect()
}

/// What the adapter must report.
#[derive(Debug, PartialEq)]
enum Report {
    Done,
    NotSent,
    Failed(u16),
    Unknown(Cause),
}

fn report(result: Result<Answer>) -> Report {
    match result {
        Ok(_) => Report::Done,
        Err(BackendError::NotSent { .. }) => Report::NotSent,
        Err(BackendError::Failed { status, .. }) => Report::Failed(status),
        Err(BackendError::Unknown { cause }) => Report::Unknown(cause),
    }
}

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
            |s| s.set_faults(|f| f.reset = Some(ResetPoint::Before)),
            Report::Unknown(Cause::Cut),
            &[],
        ),
        (
            "reset during the run",
            |s| s.set_faults(|f| f.reset = Some(ResetPoint::During)),
            Report::Unknown(Cause::Cut),
            &[RunOutcome::Done],
        ),
        (
            "reset after the run",
            |s| s.set_faults(|f| f.reset = Some(ResetPoint::After)),
            Report::Unknown(Cause::Cut),
            &[RunOutcome::Done],
        ),
        (
            "cut answer",
            |s| s.set_faults(|f| f.cut_answers = true),
            Report::Unknown(Cause::Cut),
            &[RunOutcome::Done],
        ),
        (
            "late answer",
            |s| s.set_faults(|f| f.answer_delay = ANSWER_WITHIN * 2),
            Report::Unknown(Cause::Deadline),
            &[RunOutcome::Done],
        ),
        (
            "frozen",
            |s| s.set_faults(|f| f.freeze = true),
            Report::Unknown(Cause::Deadline),
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
        assert_eq!(runs(&server, 1), expected_runs, "order, {name}");
        assert_eq!(runs(&server, 2), expected_runs, "upload, {name}");
    }
}

/// Guards against answers that are malformed, cut or end without a sign of their end, and pass.
#[tokio::test]
async fn answers_that_are_not_whole_are_unknown() {
    let malformed = Cause::Malformed;
    let cases: [(&str, &str, Cause); 8] = [
        ("nothing", "", Cause::Cut),
        ("half a head", "HTTP/1.1 200 OK\r\ncontent-le", Cause::Cut),
        ("no HTTP", "what do you want\r\n\r\n", malformed.clone()),
        ("no length", "HTTP/1.1 200 OK\r\n\r\n{}", Cause::Unframed),
        (
            "other coding than chunked",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n{}",
            Cause::Unframed,
        ),
        (
            "short success",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}",
            Cause::Cut,
        ),
        (
            "short refusal",
            "HTTP/1.1 503 Busy\r\nx-not-run: true\r\ncontent-length: 9\r\n\r\n{}",
            Cause::Cut,
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
                answer_within: within,
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

/// Guards against an order that fails because its pooled connection was closed meanwhile.
#[tokio::test]
async fn closed_idle_connections_are_replaced() {
    let (server, backend) = spawn(|options| options).await;
    let address = server.address();
    order(&backend, 1).await.expect("first order");
    assert_eq!(server.load().connections, 1);
    order(&backend, 2).await.expect("second order");
    assert_eq!(server.load().connections, 1, "the connection is reused");
    drop(server);
    sleep(SERVICE_TIME).await;
    let again = BackendOptions::new(2).address(address);
    let server = BackendStandin::spawn(again).await.expect("restart");
    order(&backend, 3).await.expect("order after the restart");
    assert_eq!(runs(&server, 3), [RunOutcome::Done]);
}

/// Guards against connections that stay busy after their request was abandoned.
#[tokio::test]
async fn abandoned_requests_close_their_connections() {
    let (server, backend) = spawn(|options| options).await;
    let abandoned = tokio::time::timeout(SERVICE_TIME / 2, order(&backend, 1)).await;
    assert!(abandoned.is_err(), "the order still ran");
    sleep(SERVICE_TIME).await;
    assert_eq!(server.load().connections, 0);
    assert_eq!(runs(&server, 1), [RunOutcome::Done]);
}

/// Guards against requests beyond the slots or connections that are not refused as not run.
#[tokio::test]
async fn full_servers_refuse_as_not_run() {
    let long = ServiceTime::Fixed(Duration::from_millis(300));
    let one = Slots::new(1);
    let (server, backend) = spawn(|o| o.slots(one).service_time(long)).await;
    let (first, second) = tokio::join!(order(&backend, 1), order(&backend, 2));
    assert_eq!(report(first), Report::Done);
    assert_eq!(report(second), Report::NotSent);
    assert_eq!(runs(&server, 2), []);

    let limit = ConnectionLimit::new(1);
    let (_server, backend) = spawn(|o| o.connections(limit)).await;
    let feed = backend.feed(&info(3), None).await.expect("feed");
    assert_eq!(report(order(&backend, 4).await), Report::NotSent);
    drop(feed);
    sleep(SERVICE_TIME).await;
    assert_eq!(report(order(&backend, 5).await), Report::Done);
}

/// Guards against uploads that break off on the caller's side and count as run or not sent.
#[tokio::test]
async fn uploads_that_break_off_are_unknown() {
    let (server, backend) = spawn(|options| options).await;
    let broken = Parts {
        rest: FILE,
        breaks_off: true,
    };
    let too_long = ByteSize::new(file_len().get() + 1);
    let results = [
        backend.upload(&info(1), file_len(), broken).await,
        backend.upload(&info(2), too_long, whole_file()).await,
    ];
    let kinds = [io::ErrorKind::ConnectionReset, io::ErrorKind::UnexpectedEof];
    for (result, kind) in results.into_iter().zip(kinds) {
        let cause = Cause::BodySource { kind };
        assert_eq!(report(result), Report::Unknown(cause));
    }
    sleep(SERVICE_TIME).await;
    assert_eq!(runs(&server, 1), [RunOutcome::Interrupted]);
    assert_eq!(runs(&server, 2), [RunOutcome::Interrupted]);
}

/// Guards against a refusal that is lost because the file was still being sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusals_of_large_uploads_are_heard() {
    static LARGE: [u8; 16 << 20] = [7; 16 << 20];
    let (server, backend) = spawn(|options| options).await;
    server.drain();
    for id in 0..50 {
        let file = Parts {
            rest: &LARGE,
            breaks_off: false,
        };
        let len = ByteSize::new(LARGE.len() as u64);
        let result = backend.upload(&info(id), len, file).await;
        assert_eq!(report(result), Report::NotSent, "upload {id}");
    }
}

/// Guards against answers to uploads that don't state what arrived.
#[tokio::test]
async fn uploads_are_answered_with_length_and_hash() {
    let (_server, backend) = spawn(|options| options).await;
    let answer = upload(&backend, 1).await.expect("upload");
    let content: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!(content["len_bytes"], FILE.len());
    let hash = ring::digest::digest(&ring::digest::SHA256, FILE);
    let sent = content["sha256"].as_str().expect("hash");
    let sent = (0..sent.len()).step_by(2).map(|at| &sent[at..at + 2]);
    let sent: Vec<_> = sent.map(|hex| u8::from_str_radix(hex, 16)).collect();
    assert_eq!(
        sent,
        hash.as_ref().iter().copied().map(Ok).collect::<Vec<_>>()
    );
}

/// Guards against cancellations that miss their request, or promise what is not so.
#[tokio::test]
async fn requests_are_cancelled_where_they_stand() {
    let long = ServiceTime::Fixed(Duration::from_secs(5));
    let one = Slots::new(1);
    let (server, backend) = spawn(|o| o.slots(one).service_time(long)).await;
    let pause = SERVICE_TIME;
    let (running, waiting, states) = tokio::join!(
        order(&backend, 1),
        async {
            sleep(pause).await;
            order(&backend, 2).await
        },
        async {
            sleep(pause * 2).await;
            let withdrawn = backend.cancel(RequestId::new(2)).await;
            let stopped = backend.cancel(RequestId::new(1)).await;
            let absent = backend.cancel(RequestId::new(3)).await;
            [withdrawn, stopped, absent].map(|state| state.expect("cancel"))
        },
    );
    let expected = [
        CancelState::Withdrawn,
        CancelState::Stopped,
        CancelState::Absent,
    ];
    assert_eq!(states, expected);
    assert_eq!(report(waiting), Report::NotSent);
    assert_eq!(report(running), Report::Failed(409));
    assert_eq!(runs(&server, 1), [RunOutcome::Cancelled]);
    assert_eq!(runs(&server, 2), []);
}

/// Guards against feeds that end early, skip a reading or differ between servers, unnoticed.
#[tokio::test]
async fn feeds_are_whole_or_fail() {
    let cut = Faults {
        feed_cut_after: Some(3),
        ..Faults::default()
    };
    let gap = Faults {
        feed_gap_after: Some(3),
        ..Faults::default()
    };
    let skipped = Cause::Gap {
        expected: 103,
        found: 104,
    };
    let cases = [
        ("whole", Faults::default(), 5, None),
        ("cut", cut, 3, Some(Cause::Cut)),
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
                Err(BackendError::Unknown { cause }) => break Some(cause),
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
        assert!(broken.is_unknown(), "round {round}: {broken}");
    }
}

/// Guards against a time that a caller may ask for and that overflows.
#[tokio::test]
async fn endless_deadlines_are_served() {
    let (_server, backend) = spawn(|options| options).await;
    let endless = RequestInfo {
        start_within: Duration::MAX,
        answer_within: Duration::MAX,
        ..info(1)
    };
    let result = backend.order(&endless, Bytes::from_static(b"{}")).await;
    assert_eq!(report(result), Report::Done);
}

/// Guards against a drain that breaks open feeds or still takes new ones, and against endpoints
/// that can't be made to lag and lie.
#[tokio::test]
async fn drain_keeps_open_feeds_and_endpoints_mislead() {
    let interval = Duration::from_millis(5);
    let (server, backend) = spawn(|o| o.reading_interval(interval)).await;
    let lag = Duration::from_mins(1);
    server.set_faults(|faults| faults.health_lag = lag);
    assert_eq!(backend.health().await, Ok(BackendState::Ready));
    let mut feed = backend.feed(&info(1), None).await.expect("feed");
    server.drain();
    assert_eq!(backend.health().await, Ok(BackendState::Ready), "lags");
    server.set_faults(|faults| faults.health_lag = Duration::ZERO);
    assert_eq!(backend.health().await, Ok(BackendState::Draining));
    server.set_faults(|faults| faults.load_claim = Some(BackendLoad::default()));
    let claimed = backend.load().await.expect("load");
    assert_eq!((claimed.slots, claimed.connections), (0, 0), "lies");
    let refused = backend.feed(&info(2), None).await.expect_err("refused");
    assert!(refused.is_not_sent(), "{refused}");
    for _ in 0..3 {
        let reading = feed.next_reading().await.expect("open feed");
        assert!(reading.is_some(), "the feed goes on");
    }
}
