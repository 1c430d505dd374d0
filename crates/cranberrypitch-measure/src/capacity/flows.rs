//! Memory and processor time of new flows, with real handshakes through one balancer into one
//! agent. Both ends of each connection are in this process; the agent's share of the memory is what
//! its sudden end frees.

use std::time::{Duration, Instant};

use cranberrypitch_caller::{Caller, ServiceEndpoint};
use cranberrypitch_core::ServiceName;
use cranberrypitch_core::config::ConfigText;
use cranberrypitch_standins::{Deployment, DeploymentOptions};
use tokio::runtime::Builder;
use tokio::task::JoinSet;

use super::{Row, as_f64};
use crate::errors::{Error, Result};
use crate::process::{Memory, thread_time};

const TEXT: &str = include_str!("../../../../samples/valves.json");
const SERVICE: &str = "matcher";

/// The open flows; a target of the text holds 2,000.
const SIZES: [u32; 3] = [400, 800, 1600];

/// Handshakes that run at the same time. With 32 the fabric's stand-in loses packets to a full
/// receive buffer, and each loss stalls the run for a second.
const CONCURRENT: usize = 8;

/// The time after the last handshake until its buffers are released.
const SETTLE: Duration = Duration::from_millis(500);

const THREADS: [(&str, &str); 3] = [
    ("balancer, one new flow", "balancer-traffic"),
    ("agent's traffic thread, one new flow", "agent-traffic"),
    ("agent's control thread, one new flow", "agent-control"),
];

pub(super) fn measure() -> Result<Vec<Row>> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(measure_flows())
}

async fn measure_flows() -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for size in SIZES {
        rows.extend(measure_size(size).await?);
    }
    Ok(rows)
}

async fn measure_size(size: u32) -> Result<Vec<Row>> {
    let service = ServiceName::try_new(SERVICE)?;
    let mut deployment = start_deployment(&service).await?;
    let caller = deployment.caller()?;
    let endpoint = deployment.endpoint(&service)?;
    let mut rows = Vec::new();
    let mut push = |figure, value, unit| {
        rows.push(Row {
            figure,
            per: "flow",
            size,
            value,
            unit,
        });
    };
    let before = Memory::read()?;
    let times = thread_times()?;
    let start = Instant::now();
    let open = connect(&caller, &endpoint, size).await?;
    let elapsed = start.elapsed();
    let used = thread_times()?;
    push(
        "new flows",
        f64::from(size) / elapsed.as_secs_f64(),
        "each s",
    );
    for ((figure, _), (used, before)) in THREADS.iter().zip(used.into_iter().zip(times)) {
        let used = used.saturating_sub(before).as_secs_f64();
        push(figure, used * 1e6 / f64::from(size), "us");
    }
    tokio::time::sleep(SETTLE).await;
    let full = Memory::read()?;
    push(
        "both ends, allocated",
        as_f64(full.since(before).allocated_bytes),
        "bytes",
    );
    // The callers keep their ends, so what is freed here was the agent's.
    for target in deployment.targets_mut() {
        target.kill_agent();
    }
    let rest = Memory::read()?;
    push(
        "agent's end, allocated",
        as_f64(full.since(rest).allocated_bytes),
        "bytes",
    );
    drop(open);
    Ok(rows)
}

async fn start_deployment(service: &ServiceName) -> Result<Deployment> {
    let text = ConfigText::parse(TEXT)
        .map_err(|_problems| Error::out_of_range("text", "a valid configuration text"))?;
    let options = DeploymentOptions::new(text, 1)
        .balancers(1)
        .targets(service.clone(), 1);
    Ok(Deployment::start(options).await?)
}

fn thread_times() -> Result<Vec<Duration>> {
    THREADS
        .iter()
        .map(|(_, thread)| thread_time(thread))
        .collect()
}

/// Opens `count` connections and returns them.
async fn connect(
    caller: &Caller,
    endpoint: &ServiceEndpoint,
    count: u32,
) -> Result<Vec<cranberrypitch_caller::Connection>> {
    let mut running = JoinSet::new();
    let mut open = Vec::new();
    for _ in 0..count {
        if running.len() >= CONCURRENT {
            open.extend(next(&mut running).await?);
        }
        let (caller, endpoint) = (caller.clone(), endpoint.clone());
        running.spawn(async move { caller.connect(&endpoint, None).await });
    }
    while let Some(connection) = next(&mut running).await? {
        open.push(connection);
    }
    Ok(open)
}

type Connecting = JoinSet<cranberrypitch_caller::Result<cranberrypitch_caller::Connection>>;

async fn next(running: &mut Connecting) -> Result<Option<cranberrypitch_caller::Connection>> {
    match running.join_next().await {
        None => Ok(None),
        Some(Ok(connected)) => Ok(Some(connected?)),
        Some(Err(ended)) => Err(std::io::Error::other(ended).into()),
    }
}
