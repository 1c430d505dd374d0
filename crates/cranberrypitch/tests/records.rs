//! Log lines and metrics of an agent about requests.

mod common;

use std::sync::Mutex;
use std::time::Duration;

use common::{order_body, order_options, organisation, service, small, upload_options};
use cranberrypitch_agent::backend::BackendState;
use cranberrypitch_caller::{place_order, upload};
use cranberrypitch_core::orders::Ticket;
use cranberrypitch_core::{ByteSize, Outcome, RequestClass};
use cranberrypitch_proto::request::RequestHead;
use cranberrypitch_standins::Deployment;

/// Longer than the time until any expected line. A silent target is logged after three seconds.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// A logger that keeps all lines in [`LINES`].
struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn record_log() {
    if log::set_logger(&Recorder).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}

async fn logged(start: &str) {
    let has_line = || LINES.lock().unwrap().iter().any(|l| l.starts_with(start));
    let found = tokio::time::timeout(LOG_TIMEOUT, async {
        while !has_line() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let is_found = found.await.is_ok();
    assert!(is_found, "no line {start} in {:#?}", LINES.lock().unwrap());
}

fn order_head(ticket: Option<Ticket>) -> RequestHead {
    RequestHead {
        organisation: organisation("santa-maria"),
        class: RequestClass::Order,
        deadline: Duration::from_secs(5),
        body_len: ByteSize::new(order_body("twice").len() as u64),
        ticket,
        reservation_serial: None,
        resume_from: None,
    }
}

/// Guards against request times that are not recorded per organisation and class.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn times_are_kept_per_organisation_and_class() {
    let deployment = Deployment::start(small(1, 1, 11)).await.unwrap();
    let caller = deployment.caller().unwrap();
    let options = order_options(&deployment, "matcher");
    let order = place_order(&caller, &options, &order_body("one")).await;
    assert_eq!(order.unwrap().outcome, Outcome::Done);
    let options = upload_options(&deployment, "matcher");
    let file = upload(&caller, &options, &[7; 10_000]).await;
    assert_eq!(file.unwrap().outcome, Outcome::Done);

    let name = service("matcher");
    let target = deployment.targets().iter().find(|t| *t.service() == name);
    let agent = target.unwrap().agent().unwrap();
    let rows = agent.request_times().await.unwrap().rows;
    let counts: Vec<_> = rows
        .iter()
        .map(|row| {
            (
                row.organisation.clone(),
                row.class,
                row.wait.count,
                row.service.count,
            )
        })
        .collect();
    let expected = [
        (Some(organisation("bench-1")), RequestClass::Upload, 1, 1),
        (Some(organisation("santa-maria")), RequestClass::Order, 1, 1),
    ];
    assert_eq!(counts, expected);
}

/// Guards against orders that are refused, repeated or unknown without a log line.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fates_of_orders_are_logged() {
    record_log();
    let mut deployment = Deployment::start(small(1, 1, 12)).await.unwrap();
    let caller = deployment.caller().unwrap();
    let endpoint = deployment.endpoint(&service("matcher")).unwrap();
    let connection = caller.connect(&endpoint, None).await.unwrap();
    let body = order_body("twice");
    let refused = connection
        .send_request(order_head(None), &body)
        .await
        .unwrap();
    assert!(refused.outcome.is_not_run());
    logged("CP0601 1 orders refused as not run: no valid ticket, last of tenant santa-maria").await;

    let issued = connection.request_ticket().await.unwrap();
    for _ in 0..2 {
        let head = order_head(Some(issued.ticket));
        let response = connection.send_request(head, &body).await.unwrap();
        assert_eq!(response.outcome, Outcome::Done);
    }
    logged("CP0603 1 orders repeated, stored answer given, last 0").await;

    let name = service("matcher");
    let mut targets = deployment.targets().iter();
    let index = targets.position(|t| *t.service() == name).unwrap();
    deployment.targets_mut()[index].kill_agent();
    deployment.restart_agent(index).unwrap();
    deployment.wait_until_ready().await.unwrap();
    logged("CP0307 ").await;
    let again = caller.connect(&endpoint, None).await.unwrap();
    let response = again.query_order(issued.ticket).await.unwrap();
    assert_eq!(response.outcome, Outcome::Unknown);
    logged("CP0602 answered 1 times that the outcome of an order is unknown, last order 0").await;
}

/// Guards against refusals, a failing backend server, or a wrong health endpoint, without a log
/// line of the agent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_and_failures_are_logged() {
    record_log();
    let deployment = Deployment::start(small(1, 1, 13)).await.unwrap();
    let caller = deployment.caller().unwrap();
    let endpoint = deployment.endpoint(&service("tracer")).unwrap();
    let connection = caller.connect(&endpoint, None).await.unwrap();
    let late = RequestHead {
        class: RequestClass::Upload,
        deadline: Duration::ZERO,
        ..order_head(None)
    };
    let refused = connection
        .send_request(late, &order_body("twice"))
        .await
        .unwrap();
    assert!(refused.outcome.is_not_run());
    logged("CP0508 1 requests refused as not run: deadline").await;

    let name = service("tracer");
    let mut targets = deployment.targets().iter();
    let target = targets.find(|t| *t.service() == name).unwrap();
    target.backend().set_faults(|faults| {
        faults.fail_rate = 1.0;
        faults.reported_state = Some(BackendState::Ready);
    });
    for _ in 0..6 {
        let issued = connection.request_ticket().await.unwrap();
        let head = order_head(Some(issued.ticket));
        let response = connection.send_request(head, &order_body("twice")).await;
        assert_ne!(response.unwrap().outcome, Outcome::Done);
    }
    logged("CP0505 backend server down: requests fail").await;
    logged("CP0507 health endpoint overruled ").await;
}
