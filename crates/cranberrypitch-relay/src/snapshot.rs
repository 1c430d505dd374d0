//! What a balancer knows, for others that start while the store is down.

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
use crate::follow::Update;
use crate::http_server::{self, Call};

const PATH: &str = "/snapshot";

/// How long a balancer that starts waits for the store before it asks others.
const STORE_PATIENCE: Duration = Duration::from_millis(800);

/// The time between two questions that no balancer answered.
const QUESTION_INTERVAL: Duration = Duration::from_millis(200);

/// The time after an answer until the next question, for agents that started since.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The time within which a balancer answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest answer.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The time between two copies of the list of agents.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// What a balancer knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Snapshot {
    pub(crate) config: RouteConfig,
    pub(crate) agents: Vec<AgentRecord>,
}

#[derive(Debug, Default)]
struct Known {
    config: Option<RouteConfig>,
    agents: Option<Vec<AgentRecord>>,
    copied_at: Option<Instant>,
}

/// The latest snapshot of this balancer. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedSnapshot(Arc<Mutex<Known>>);

impl SharedSnapshot {
    pub(crate) fn set_config(&self, config: RouteConfig) {
        self.lock().config = Some(config);
    }

    /// Replaces the agents if the last copy is old enough. `agents` returns nothing while they are not
    /// known.
    pub(crate) fn set_agents(
        &self,
        agents: impl FnOnce() -> Option<Vec<AgentRecord>>,
        now: Instant,
    ) {
        let mut known = self.lock();
        let is_old = |at| now.saturating_duration_since(at) >= COPY_INTERVAL;
        if known.agents.is_none() || known.copied_at.is_none_or(is_old) {
            known.copied_at = Some(now);
            known.agents = agents();
        }
    }

    fn encode(&self) -> Option<Vec<u8>> {
        let known = self.lock();
        let snapshot = Snapshot {
            config: known.config.clone()?,
            agents: known.agents.clone()?,
        };
        match serde_json::to_vec(&snapshot) {
            Ok(body) => Some(body),
            Err(error) => {
                tracing::error!(target: crate::log::TARGET, %error, "snapshot not encoded");
                None
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
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

/// Asks a seed after the other for its snapshot while the store is lost, until the receiver is gone.
pub(crate) async fn fetch(
    seeds: &[SocketAddrV4],
    updates: Sender<Update>,
    is_store_lost: &AtomicBool,
) {
    sleep(STORE_PATIENCE).await;
    // Balancers that start together begin with different seeds.
    let first = rand::rng().random_range(0..seeds.len().max(1));
    for seed in seeds.iter().cycle().skip(first) {
        if !is_store_lost.load(Ordering::Relaxed) {
            sleep(REFRESH_INTERVAL).await;
            continue;
        }
        match fetch_from(*seed).await {
            Ok(snapshot) => {
                if updates.send(Update::Snapshot(snapshot)).await.is_err() {
                    return;
                }
                sleep(REFRESH_INTERVAL).await;
            }
            Err(error) => {
                tracing::debug!(target: crate::log::TARGET, %seed, %error, "no snapshot");
                sleep(QUESTION_INTERVAL).await;
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
