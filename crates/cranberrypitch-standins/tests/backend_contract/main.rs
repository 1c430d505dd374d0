//! Contract tests of the agent's interface to backend servers, for the HTTP/1.1 adapter and the
//! stand-in.
//!
//! Each case checks the outcome that the adapter reports and the runs in the journal of the stand-in.

mod faults;
mod feeds;
mod limits;
mod uploads;

use std::time::Duration;

use cranberrypitch_agent::backend::{
    BackendError, BackendRequestId, BackendResponse, BackendServer, FailureCause, HttpBackend,
    HttpBackendOptions, RequestInfo, Result,
};
use cranberrypitch_core::OrganisationId;
use cranberrypitch_standins::backend::{
    BackendHandle, BackendOptions, BackendStandin, JournalEntry, RunOutcome, ServiceTime,
};
use tokio::time::{sleep, timeout};

const SERVICE_TIME: Duration = Duration::from_millis(20);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

fn info(id: u128) -> RequestInfo {
    RequestInfo {
        id: BackendRequestId::new(id),
        organisation: OrganisationId::try_new("shop-1").expect("valid organisation"),
        start_timeout: Duration::from_millis(200),
        response_timeout: RESPONSE_TIMEOUT,
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

async fn order(backend: &HttpBackend, id: u128) -> Result<BackendResponse> {
    let body = format!("{{\"key\":\"k{id}\"}}");
    backend.order(&info(id), body.into()).await
}

/// Waits until a condition holds, and panics after 10 s.
async fn wait_until(holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(Duration::from_secs(10), waiting)
        .await
        .expect("condition within 10 s");
}

/// Waits until the server has these numbers of waiting and running requests.
async fn wait_until_load(server: &BackendHandle, waiting: u32, running: u32) {
    wait_until(|| {
        let load = server.load();
        (load.waiting, load.running) == (waiting, running)
    })
    .await;
}

/// Waits until every run has ended.
async fn wait_until_runs_ended(server: &BackendHandle) {
    let is_running = |entry: &JournalEntry| entry.outcome == RunOutcome::Running;
    wait_until(|| !server.journal().iter().any(is_running)).await;
}

/// Returns the outcomes of the runs of a request, from the journal.
fn runs(server: &BackendHandle, id: u128) -> Vec<RunOutcome> {
    let id = BackendRequestId::new(id).to_string();
    let entries = server.journal().into_iter();
    let of_id = entries.filter(|entry| *entry.request_id == *id);
    of_id.map(|entry| entry.outcome).collect()
}

/// The outcome that the adapter reports.
#[derive(Debug, PartialEq)]
enum Outcome {
    Done,
    NotRun,
    Failed(u16),
    Unknown(FailureCause),
}

fn outcome(result: Result<BackendResponse>) -> Outcome {
    match result {
        Ok(_) => Outcome::Done,
        Err(BackendError::NotRun { .. }) => Outcome::NotRun,
        Err(BackendError::Failed { status, .. }) => Outcome::Failed(status),
        Err(BackendError::OutcomeUnknown { cause }) => Outcome::Unknown(cause),
    }
}
