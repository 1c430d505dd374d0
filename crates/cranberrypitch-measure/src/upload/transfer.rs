//! One upload from a caller through the fabric, balancers and an agent to a backend server.

use std::time::{Duration, Instant};

use cranberrypitch_caller::Connection;
use cranberrypitch_core::config::ConfigText;
use cranberrypitch_core::{ByteSize, OrganisationId, Outcome, RequestClass, ServiceName};
use cranberrypitch_proto::request::RequestHead;
use cranberrypitch_standins::{Deployment, DeploymentOptions};
use serde::Serialize;
use tokio::runtime::Builder;

use super::{Condition, Options, Thresholds};
use crate::discrete_event::round_to_4_decimals;
use crate::errors::Result;

const CONFIG_TEXT: &str = include_str!("../../../../samples/valves.json");
const SERVICE: &str = "tracer";
const WORKER_THREADS: usize = 2;
const REQUEST_DEADLINE: Duration = Duration::from_secs(10);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UploadResult {
    /// The backend server confirmed the upload.
    Done,
    /// The upload timed out.
    #[serde(rename = "limit")]
    TimedOut,
    /// The upload was refused or interrupted.
    Failed,
}

/// The measurements of one upload.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Upload {
    /// The network condition.
    pub condition: Condition,
    /// The loss-detection thresholds of both endpoints.
    pub thresholds: Thresholds,
    /// The result.
    #[serde(rename = "end")]
    pub result: UploadResult,
    /// The time from the open connection to the result.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// The number of packets that the caller's transport sent.
    #[serde(rename = "sent")]
    pub sent_packets: u64,
    /// The number of packets that the caller's transport declared lost.
    #[serde(rename = "lost")]
    pub lost_packets: u64,
    /// The number of packets that the fabric dropped, in both directions.
    pub dropped_by_fabric: u64,
}

impl Upload {
    /// Returns the fraction of the sent packets that the transport declared lost, rounded to four decimals.
    #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 packets")]
    pub fn lost_fraction(&self) -> f64 {
        round_to_4_decimals(self.lost_packets as f64 / self.sent_packets.max(1) as f64)
    }
}

/// Runs one upload in a separate deployment and runtime, so that no state of the previous one remains.
pub(super) fn run(
    options: &Options,
    condition: Condition,
    thresholds: Thresholds,
    seed: u64,
) -> Result<Upload> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let upload = runtime.block_on(run_upload(options, condition, thresholds, seed));
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    upload
}

async fn run_upload(
    options: &Options,
    condition: Condition,
    thresholds: Thresholds,
    seed: u64,
) -> Result<Upload> {
    let service = ServiceName::try_new(SERVICE)?;
    let deployment = start_deployment(&service, condition, thresholds, seed).await?;
    let caller = deployment.caller()?;
    let connection = caller
        .connect(&deployment.endpoint(&service)?, None)
        .await?;
    let started = Instant::now();
    let result = send_file(&connection, options).await?;
    let duration_s = started.elapsed().as_secs_f64();
    let stats = connection.stats();
    connection.close();
    let counters = deployment.fabric().counters();
    let lost_on_links: u64 = counters.balancers.values().map(|b| b.lost).sum();
    Ok(Upload {
        condition,
        thresholds,
        result,
        duration_s: round_to_4_decimals(duration_s),
        sent_packets: stats.path.sent_packets,
        lost_packets: stats.path.lost_packets,
        dropped_by_fabric: lost_on_links + counters.queue_full,
    })
}

async fn start_deployment(
    service: &ServiceName,
    condition: Condition,
    thresholds: Thresholds,
    seed: u64,
) -> Result<Deployment> {
    let text = ConfigText::parse(CONFIG_TEXT)?;
    let options = DeploymentOptions::new(text, seed)
        .balancers(condition.balancers)
        .targets(service.clone(), 1)
        .links(condition.link(), condition.link())
        .transport(thresholds.transport());
    Ok(Deployment::start(options).await?)
}

/// Sends the file on an open connection. The caller's `upload` would close its connection, and the
/// transport statistics would be lost with it.
async fn send_file(connection: &Connection, options: &Options) -> Result<UploadResult> {
    let file = vec![0x5a; options.len_bytes];
    let head = RequestHead {
        class: RequestClass::Upload,
        organisation: OrganisationId::try_new("bench-1")?,
        deadline: REQUEST_DEADLINE,
        ticket: None,
        reservation_serial: None,
        resume_from: None,
        body_len: ByteSize::new(file.len() as u64),
    };
    let sent = tokio::time::timeout(options.timeout, connection.send_request(head, &file)).await;
    Ok(match sent {
        Ok(Ok(response)) if response.outcome == Outcome::Done => UploadResult::Done,
        Ok(_) => UploadResult::Failed,
        Err(_) => UploadResult::TimedOut,
    })
}
