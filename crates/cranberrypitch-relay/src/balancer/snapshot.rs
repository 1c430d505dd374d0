//! The snapshot of a balancer's configuration and agents, for other balancers.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrypitch_core::flow::{AgentRecord, EvacuationSet, RouteConfig};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::errors::Result;
use crate::io::http_server::{self, Call};

/// The path of the whole snapshot.
pub(crate) const PATH: &str = "/snapshot";

/// The path of the list of agents alone. A configuration can be many times as long.
pub(crate) const AGENTS_PATH: &str = "/agents";

/// The minimum time between two copies of the agent list.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration and the evacuations in force at a balancer and its list of agents.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Snapshot {
    pub(crate) config: RouteConfig,
    pub(crate) agents: Vec<AgentRecord>,
    /// The evacuations in force; an earlier release leaves them out.
    #[serde(default)]
    pub(crate) evacuations: EvacuationSet,
}

#[derive(Debug, Default)]
struct SnapshotParts {
    config: Option<RouteConfig>,
    agents: Option<Vec<AgentRecord>>,
    agents_copied_at: Option<Instant>,
    evacuations: EvacuationSet,
}

/// The latest snapshot of this balancer. Clones share the content.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedSnapshot(Arc<Mutex<SnapshotParts>>);

impl SharedSnapshot {
    pub(crate) fn set_config(&self, config: RouteConfig) {
        self.lock().config = Some(config);
    }

    /// Replaces the evacuations, if they have changed.
    pub(crate) fn set_evacuations(&self, evacuations: &EvacuationSet) {
        let mut parts = self.lock();
        if parts.evacuations.version != evacuations.version {
            parts.evacuations = evacuations.clone();
        }
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

    /// Returns the body of the answer to a call, or nothing if there is none.
    fn body(&self, path: &str) -> Option<Vec<u8>> {
        let parts = self.lock();
        match path {
            PATH => encode(&Snapshot {
                config: parts.config.clone()?,
                agents: parts.agents.clone()?,
                evacuations: parts.evacuations.clone(),
            }),
            AGENTS_PATH => encode(parts.agents.as_ref()?),
            _ => None,
        }
    }

    /// Returns whether the balancer has a configuration and a list of agents.
    pub(crate) fn is_complete(&self) -> bool {
        let parts = self.lock();
        parts.config.is_some() && parts.agents.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, SnapshotParts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn encode(content: &impl Serialize) -> Option<Vec<u8>> {
    match serde_json::to_vec(content) {
        Ok(body) => Some(body),
        Err(error) => {
            tracing::error!(target: crate::log::TARGET, %error, "snapshot not encoded");
            None
        }
    }
}

/// Serves the snapshot to other balancers.
pub(crate) async fn serve(address: SocketAddrV4, snapshot: SharedSnapshot) -> Result<()> {
    http_server::serve(address, move |call: Call| {
        let body = snapshot.body(&call.path);
        async move {
            match body {
                Some(body) => (StatusCode::OK, Bytes::from(body)),
                None => (StatusCode::NOT_FOUND, Bytes::new()),
            }
        }
    })
    .await
}
