//! Memory and processor time of new flows, with real handshakes through one balancer to one agent.
//! Both ends of each connection are in this process; the agent's share of the memory is what killing
//! it frees.

use std::time::{Duration, Instant};

use cranberrypitch_caller::{Caller, ServiceEndpoint};
use cranberrypitch_core::ServiceName;
use cranberrypitch_core::config::ConfigText;
use cranberrypitch_standins::{Deployment, DeploymentOptions};
use tokio::runtime::Builder;
use tokio::task::JoinSet;

use super::{CapacityRow, to_f64};
use crate::errors::{Error, Result};
use crate::process::{Memory, thread_time};

const CONFIG_TEXT: &str = include_str!("../../../../samples/valves.json");
const SERVICE: &str = "matcher";

/// The numbers of open flows; the connection limit of a target in the sample is 2,000.
const SIZES: [u32; 3] = [400, 800, 1600];

/// The number of concurrent handshakes. With 32 the fabric stand-in drops packets at a full receive
/// buffer, and each loss stalls the run for a second.
const CONCURRENT_HANDSHAKES: usize = 8;

/// The time after the last handshake in which its buffers are released.
const BUFFER_RELEASE_TIME: Duration = Duration::from_millis(500);

/// The names of the quantities, with the threads whose processor time they measure.
const THREADS: [(&str, &str); 3] = [
    ("balancer, one new flow", "balancer-traffic"),
    ("agent's traffic thread, one new flow", "agent-traffic"),
    ("agent's control thread, one new flow", "agent-control"),
];

pub(super) fn measure() -> Result<Vec<CapacityRow>> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(measure_flows())
}

async fn measure_flows() -> Result<Vec<CapacityRow>> {
    let mut rows = Vec::new();
    for size in SIZES {
        rows.extend(measure_size(size).await?);
    }
    Ok(rows)
}

async fn measure_size(size: u32) -> Result<Vec<CapacityRow>> {
    let service = ServiceName::try_new(SERVICE)?;
    let mut deployment = start_deployment(&service).await?;
    let caller = deployment.caller()?;
    let endpoint = deployment.endpoint(&service)?;
    let mut rows = Vec::new();
    let mut push = |quantity, value, unit| {
        rows.push(CapacityRow {
            quantity,
            size_unit: "flow",
            size,
            value,
            unit,
        });
    };
    let before = Memory::read()?;
    let times_before = thread_times()?;
    let start = Instant::now();
    let connections = connect(&caller, &endpoint, size).await?;
    let elapsed = start.elapsed();
    let times_after = thread_times()?;
    push(
        "new flows",
        f64::from(size) / elapsed.as_secs_f64(),
        "each s",
    );
    for ((quantity, _), (used, before)) in THREADS
        .iter()
        .zip(times_after.into_iter().zip(times_before))
    {
        let used = used.saturating_sub(before).as_secs_f64();
        push(quantity, used * 1e6 / f64::from(size), "us");
    }
    tokio::time::sleep(BUFFER_RELEASE_TIME).await;
    let with_agent = Memory::read()?;
    push(
        "both ends, allocated",
        to_f64(with_agent.since(before).allocated_bytes),
        "bytes",
    );
    // The callers keep their ends, so the memory freed here belonged to the agent.
    for target in deployment.targets_mut() {
        target.kill_agent();
    }
    let without_agent = Memory::read()?;
    push(
        "agent's end, allocated",
        to_f64(with_agent.since(without_agent).allocated_bytes),
        "bytes",
    );
    drop(connections);
    Ok(rows)
}

async fn start_deployment(service: &ServiceName) -> Result<Deployment> {
    let text = ConfigText::parse(CONFIG_TEXT)
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

/// Opens `count` connections, at most [`CONCURRENT_HANDSHAKES`] at a time.
async fn connect(
    caller: &Caller,
    endpoint: &ServiceEndpoint,
    count: u32,
) -> Result<Vec<cranberrypitch_caller::Connection>> {
    let mut handshakes = JoinSet::new();
    let mut connections = Vec::new();
    for _ in 0..count {
        if handshakes.len() >= CONCURRENT_HANDSHAKES {
            connections.extend(next_connection(&mut handshakes).await?);
        }
        let (caller, endpoint) = (caller.clone(), endpoint.clone());
        handshakes.spawn(async move { caller.connect(&endpoint, None).await });
    }
    while let Some(connection) = next_connection(&mut handshakes).await? {
        connections.push(connection);
    }
    Ok(connections)
}

type Handshakes = JoinSet<cranberrypitch_caller::Result<cranberrypitch_caller::Connection>>;

async fn next_connection(
    handshakes: &mut Handshakes,
) -> Result<Option<cranberrypitch_caller::Connection>> {
    match handshakes.join_next().await {
        None => Ok(None),
        Some(Ok(connected)) => Ok(Some(connected?)),
        Some(Err(error)) => Err(std::io::Error::other(error).into()),
    }
}
