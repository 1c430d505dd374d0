//! Snapshots of a balancer's configuration and agents, for balancers that start while the store is
//! down.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrypitch_core::flow::{AgentRecord, RouteConfig};
use cranberrypitch_net::http_client::{HttpClient, HttpClientOptions};
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::errors::{Error, Result};
use crate::http_server::{self, Call};
use crate::store_watch::StateUpdate;

const PATH: &str = "/snapshot";

/// The time for which a starting balancer waits for the store before it fetches a snapshot.
const STORE_WAIT: Duration = Duration::from_millis(800);

/// The pause after a failed fetch.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two fetches while the store stays down, for agents that started in between.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of connection setup and of a fetch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum body length of a snapshot.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The minimum time between two copies of the agent list.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration in force at a balancer and its list of agents.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Snapshot {
    pub(crate) config: RouteConfig,
    pub(crate) agents: Vec<AgentRecord>,
}

#[derive(Debug, Default)]
struct SnapshotParts {
    config: Option<RouteConfig>,
    agents: Option<Vec<AgentRecord>>,
    agents_copied_at: Option<Instant>,
}

/// The latest snapshot of this balancer. Clones share the content.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedSnapshot(Arc<Mutex<SnapshotParts>>);

impl SharedSnapshot {
    pub(crate) fn set_config(&self, config: RouteConfig) {
        self.lock().config = Some(config);
    }

    /// Replaces the agent list if the last copy is older than [`COPY_INTERVAL`]. `agents` returns
    /// `None` until the balancer has its first list.
    pub(crate) fn set_agents(
        &self,
        agents: impl FnOnce() -> Option<Vec<AgentRecord>>,
        now: Instant,
    ) {
        let mut parts = self.lock();
        let is_old = |at| now.saturating_duration_since(at) >= COPY_INTERVAL;
        if parts.agents.is_none() || parts.agents_copied_at.is_none_or(is_old) {
            parts.agents_copied_at = Some(now);
            parts.agents = agents();
        }
    }

    fn encode(&self) -> Option<Vec<u8>> {
        let parts = self.lock();
        let snapshot = Snapshot {
            config: parts.config.clone()?,
            agents: parts.agents.clone()?,
        };
        match serde_json::to_vec(&snapshot) {
            Ok(body) => Some(body),
            Err(error) => {
                tracing::error!(target: crate::log::TARGET, %error, "snapshot not encoded");
                None
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, SnapshotParts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves the snapshot to other balancers.
pub(crate) async fn serve(address: SocketAddrV4, snapshot: SharedSnapshot) -> Result<()> {
    http_server::serve(address, move |call: Call| {
        let body = (&*call.path == PATH).then(|| snapshot.encode()).flatten();
        async move {
            match body {
                Some(body) => (StatusCode::OK, Bytes::from(body)),
                None => (StatusCode::NOT_FOUND, Bytes::new()),
            }
        }
    })
    .await
}

/// Fetches snapshots from one seed balancer after the other while the store is unavailable, until
/// the receiver is dropped.
pub(crate) async fn fetch(
    seeds: &[SocketAddrV4],
    updates: Sender<StateUpdate>,
    is_store_unavailable: &AtomicBool,
) {
    sleep(STORE_WAIT).await;
    // Balancers that start at the same time begin with different seeds.
    let first = rand::rng().random_range(0..seeds.len().max(1));
    for seed in seeds.iter().cycle().skip(first) {
        if !is_store_unavailable.load(Ordering::Relaxed) {
            sleep(REFRESH_INTERVAL).await;
            continue;
        }
        match fetch_from(*seed).await {
            Ok(snapshot) => {
                if updates.send(StateUpdate::Snapshot(snapshot)).await.is_err() {
                    return;
                }
                sleep(REFRESH_INTERVAL).await;
            }
            Err(error) => {
                tracing::debug!(target: crate::log::TARGET, %seed, %error, "snapshot not fetched");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn fetch_from(seed: SocketAddrV4) -> Result<Snapshot> {
    let client = HttpClient::new(HttpClientOptions {
        address: seed,
        connect_timeout: ANSWER_TIMEOUT,
        max_body_bytes: MAX_BODY_BYTES,
    });
    let request = Request::get(PATH)
        .header(header::HOST, seed.to_string())
        .body(Full::default())
        .map_err(|e| Error::malformed("request", &e))?;
    let answer = client.exchange(request, ANSWER_TIMEOUT).await;
    match answer.map_err(|e| Error::malformed("snapshot", &e))? {
        (StatusCode::OK, body) => {
            serde_json::from_slice(&body).map_err(|e| Error::malformed("snapshot", &e))
        }
        (status, _) => Err(Error::malformed("snapshot", &status)),
    }
}
