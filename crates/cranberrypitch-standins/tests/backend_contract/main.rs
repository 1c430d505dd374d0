//! Contract of the agent's backend server interface: the HTTP/1.1 adapter against the stand-in.
//!
//! Each case states what the adapter must report and what the stand-in's journal must hold.

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
const ANSWER_WITHIN: Duration = Duration::from_millis(400);

fn info(id: u128) -> RequestInfo {
    RequestInfo {
        id: BackendRequestId::new(id),
        organisation: OrganisationId::try_new("shop-1").expect("valid organisation"),
        start_timeout: Duration::from_millis(200),
        response_timeout: ANSWER_WITHIN,
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

/// Waits until something holds, and fails when it doesn't within seconds.
async fn until(holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(Duration::from_secs(10), waiting)
        .await
        .expect("in time");
}

async fn until_load(server: &BackendHandle, waiting: u32, running: u32) {
    until(|| {
        let load = server.load();
        (load.waiting, load.running) == (waiting, running)
    })
    .await;
}

/// Waits until every run has ended.
async fn until_settled(server: &BackendHandle) {
    let is_running = |entry: &JournalEntry| entry.outcome == RunOutcome::Running;
    until(|| !server.journal().iter().any(is_running)).await;
}

fn runs(server: &BackendHandle, id: u128) -> Vec<RunOutcome> {
    let id = BackendRequestId::new(id).to_string();
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
    Unknown(FailureCause),
}

fn report(result: Result<BackendResponse>) -> Report {
    match result {
        Ok(_) => Report::Done,
        Err(BackendError::NotRun { .. }) => Report::NotSent,
        Err(BackendError::Failed { status, .. }) => Report::Failed(status),
        Err(BackendError::OutcomeUnknown { cause }) => Report::Unknown(cause),
    }
}
