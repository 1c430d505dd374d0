//! One upload from a caller through fabric, balancers and agent to a backend server.

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

const SERVICES: &str = include_str!("../../../../samples/valves.json");
const SERVICE: &str = "tracer";
const WORKER_THREADS: usize = 2;
const START_DEADLINE: Duration = Duration::from_secs(10);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// How an upload ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The backend server confirmed the file.
    Done,
    /// It was given up at the time limit.
    Limit,
    /// It was refused or cut.
    Failed,
}

/// The figures of one upload.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Upload {
    /// The condition of the path.
    pub condition: Condition,
    /// The thresholds of both ends.
    pub thresholds: Thresholds,
    /// How it ended.
    pub end: End,
    /// From the open connection to the end.
    pub seconds: f64,
    /// Packets that the caller's transport sent.
    pub sent: u64,
    /// Packets that the caller's transport counted as lost.
    pub lost: u64,
    /// Packets that the fabric dropped, in both directions.
    pub dropped_by_fabric: u64,
}

impl Upload {
    /// Returns the share of the packets sent that the transport counted as lost.
    #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 packets")]
    pub fn lost_share(&self) -> f64 {
        round_to_4_decimals(self.lost as f64 / self.sent.max(1) as f64)
    }
}

/// Runs one upload in a deployment and runtime of its own, so that nothing is left of the last one.
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
    let upload = runtime.block_on(upload(options, condition, thresholds, seed));
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    upload
}

async fn upload(
    options: &Options,
    condition: Condition,
    thresholds: Thresholds,
    seed: u64,
) -> Result<Upload> {
    let service = ServiceName::try_new(SERVICE)?;
    let deployment = start(&service, condition, thresholds, seed).await?;
    let caller = deployment.caller()?;
    let connection = caller
        .connect(&deployment.endpoint(&service)?, None)
        .await?;
    let started = Instant::now();
    let end = send(&connection, options).await?;
    let seconds = started.elapsed().as_secs_f64();
    let stats = connection.stats();
    connection.close();
    let counters = deployment.fabric().counters();
    let dropped: u64 = counters.balancers.values().map(|b| b.lost).sum();
    Ok(Upload {
        condition,
        thresholds,
        end,
        seconds: round_to_4_decimals(seconds),
        sent: stats.path.sent_packets,
        lost: stats.path.lost_packets,
        dropped_by_fabric: dropped + counters.queue_full,
    })
}

async fn start(
    service: &ServiceName,
    condition: Condition,
    thresholds: Thresholds,
    seed: u64,
) -> Result<Deployment> {
    let text = ConfigText::parse(SERVICES)?;
    let options = DeploymentOptions::new(text, seed)
        .balancers(condition.balancers)
        .targets(service.clone(), 1)
        .links(condition.link(), condition.link())
        .transport(thresholds.transport());
    Ok(Deployment::start(options).await?)
}

/// Sends the file. The caller's `upload` does the same but closes its connection, and the
/// statistics of the transport end with it.
async fn send(connection: &Connection, options: &Options) -> Result<End> {
    let file = vec![0x5a; options.len_bytes];
    let head = RequestHead {
        class: RequestClass::Upload,
        organisation: OrganisationId::try_new("bench-1")?,
        deadline: START_DEADLINE,
        ticket: None,
        reservation_serial: None,
        resume_from: None,
        body_len: ByteSize::new(file.len() as u64),
    };
    let sent = tokio::time::timeout(options.limit, connection.send_request(head, &file)).await;
    Ok(match sent {
        Ok(Ok(response)) if response.outcome == Outcome::Done => End::Done,
        Ok(_) => End::Failed,
        Err(_) => End::Limit,
    })
}
