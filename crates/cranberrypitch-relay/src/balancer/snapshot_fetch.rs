//! Fetches of the snapshots of other balancers, for balancers that start while the store is down or lacks
//! the newest configuration.

use std::net::SocketAddrV4;
use std::time::Duration;

use cranberrypitch_net::http_client::{HttpClient, HttpClientOptions};
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use rand::RngExt;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::snapshot::{AGENTS_PATH, PATH, SharedSnapshot};
use super::state_update::StateUpdate;
use crate::errors::{Error, Result};

/// The time for which a starting balancer waits for the store before it fetches a snapshot.
const STORE_WAIT: Duration = Duration::from_millis(800);

/// The pause after a failed fetch.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two fetches while the store stays down, for agents that started in between.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The time without the store after which a balancer that has a list of agents fetches that of
/// another. New agents announce themselves to the seed balancers, so shorter outages need no fetch.
const AGENTS_FETCH_DELAY: Duration = Duration::from_secs(3);

/// The timeout of connection setup and of a fetch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum body length of a snapshot.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// What a balancer lacks because it can't read the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum MissingState {
    /// The last read succeeded, or the configuration is current by the check of another balancer.
    #[default]
    Nothing,
    /// Agents may have registered.
    Agents,
    /// There is no configuration, or another balancer has read a newer one.
    Config,
    /// The store does not have a configuration that the balancer with this address for messages of agents
    /// has in force.
    ConfigOf(SocketAddrV4),
}

/// Where snapshots can be fetched.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSources {
    /// The snapshot addresses of other balancers.
    pub(crate) seeds: Vec<SocketAddrV4>,
    /// The port at which all balancers serve their snapshots, if they do.
    pub(crate) port: Option<u16>,
}

impl SnapshotSources {
    /// Returns the snapshot address of a balancer.
    fn address_of(&self, balancer: SocketAddrV4) -> Option<SocketAddrV4> {
        self.port
            .map(|port| SocketAddrV4::new(*balancer.ip(), port))
    }
}

/// Fetches what is missing from the balancer that has it, or from one seed balancer after the other, until
/// the receiver is dropped. `own` is the snapshot of this balancer.
pub(crate) async fn fetch(
    sources: SnapshotSources,
    own: SharedSnapshot,
    updates: Sender<StateUpdate>,
    mut missing: watch::Receiver<MissingState>,
) {
    sleep(STORE_WAIT).await;
    // Balancers that start at the same time begin with different seeds.
    let first = rand::rng().random_range(0..sources.seeds.len().max(1));
    let mut seeds = sources.seeds.iter().cycle().skip(first);
    let mut has_failed = false;
    while let Ok(state) = wait_until_missing(&own, &mut missing).await {
        let peer = match state {
            MissingState::ConfigOf(peer) if !has_failed => sources.address_of(peer),
            _ => None,
        };
        let Some(source) = peer.or_else(|| seeds.next().copied()) else {
            has_failed = false;
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let result = match state {
            MissingState::Nothing | MissingState::Agents => fetch_from(source, AGENTS_PATH)
                .await
                .map(StateUpdate::AgentsOfBalancer),
            _ => fetch_from(source, PATH).await.map(StateUpdate::Snapshot),
        };
        has_failed = result.is_err();
        match result {
            Ok(update) => {
                if updates.send(update).await.is_err() {
                    return;
                }
                sleep(REFRESH_INTERVAL).await;
            }
            Err(error) => {
                tracing::debug!(target: crate::log::TARGET, %source, %error, "snapshot not fetched");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Waits until something is missing that another balancer may have, and returns it. A list of agents
/// is fetched only after [`AGENTS_FETCH_DELAY`].
async fn wait_until_missing(
    own: &SharedSnapshot,
    missing: &mut watch::Receiver<MissingState>,
) -> std::result::Result<MissingState, watch::error::RecvError> {
    loop {
        let state = *missing.wait_for(|s| *s != MissingState::Nothing).await?;
        if matches!(state, MissingState::ConfigOf(_)) {
            return Ok(state);
        }
        if state == MissingState::Config || !own.is_complete() {
            return Ok(MissingState::Config);
        }
        let other = missing.wait_for(|s| *s != MissingState::Agents);
        match timeout(AGENTS_FETCH_DELAY, other).await {
            Ok(changed) => {
                changed?;
            }
            Err(_) => return Ok(MissingState::Agents),
        }
    }
}

async fn fetch_from<T: DeserializeOwned>(seed: SocketAddrV4, path: &str) -> Result<T> {
    let client = HttpClient::new(HttpClientOptions {
        address: seed,
        connect_timeout: ANSWER_TIMEOUT,
        max_body_bytes: MAX_BODY_BYTES,
    });
    let request = Request::get(path)
        .header(header::HOST, seed.to_string())
        .body(Full::default())
        .map_err(|e| Error::malformed("request", &e))?;
    let answer = client.exchange(request, ANSWER_TIMEOUT).await;
    let response = answer.map_err(|e| Error::malformed("snapshot", &e))?;
    match response.status {
        StatusCode::OK => {
            serde_json::from_slice(&response.body).map_err(|e| Error::malformed("snapshot", &e))
        }
        status => Err(Error::malformed("snapshot", &status)),
    }
}
