//! Watches on the configuration and the list of agents in the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::{AgentRecord, RouteConfig};
use cranberrypitch_net::store::{
    Entry, KeyChange, Result as StoreResult, Store, StoreKey, Version, WatchOutcome,
};
use tokio::sync::Notify;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::errors::{Error, Result};
use crate::platform::Platform;
use crate::registration;
use crate::snapshot::Snapshot;

/// The maximum wait of a watch on the configuration. It bounds the time until a dead connection is
/// detected, and with it the delay of a configuration change.
const CONFIG_WAIT: Duration = Duration::from_secs(3);

/// The maximum wait of a watch on the list of agents. It may be longer than [`CONFIG_WAIT`], as a
/// flow whose agent may be missing from the list triggers an immediate read.
const AGENTS_WAIT: Duration = Duration::from_secs(8);

/// The time between two watches on the list of agents, so that one call returns many changes. The
/// delay does no harm: agents report their changes to the balancers in use directly, and a new
/// target is still warming up.
const AGENTS_INTERVAL: Duration = Duration::from_secs(2);

/// The minimum time between two watches on the list of agents.
const AGENTS_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The wait of a watch that returns the changes so far at once.
const POLL_WAIT: Duration = Duration::from_millis(1);

/// A change of a balancer's state, received from the store or from another balancer.
#[derive(Debug)]
pub(crate) enum StateUpdate {
    /// A configuration from the store.
    Config(RouteConfig),
    /// The snapshot of another balancer.
    Snapshot(Snapshot),
    /// The complete list of agents.
    Agents(Vec<AgentRecord>),
    /// The new or changed record of an agent.
    AgentRegistered(AgentRecord),
    /// The key of an agent whose registration ended.
    AgentUnregistered(StoreKey),
    /// All changes of the list of agents up to this time have been sent.
    AgentsReadUpTo(Instant),
}

/// Sends each version of the configuration until the receiver is dropped.
///
/// # Errors
///
/// Returns an error if the platform's configuration key is invalid.
pub(crate) async fn watch_config<P: Platform, S: Store>(
    store: &S,
    updates: Sender<StateUpdate>,
    is_store_unavailable: Arc<AtomicBool>,
) -> Result<()> {
    let key = P::config_key()?;
    let parse = |entry: &Entry| match P::parse_config(&entry.value) {
        Ok(config) => Some(StateUpdate::Config(config)),
        Err(error) => {
            tracing::error!(target: crate::log::TARGET, event = "ConfigurationRefused", %error);
            None
        }
    };
    let mut watcher = PrefixWatcher::new(store, key);
    watcher.is_store_unavailable = is_store_unavailable;
    loop {
        let changes = match watcher.after {
            None => watcher
                .list()
                .await
                .map(|entries| entries.iter().filter_map(parse).collect()),
            Some(after) => watcher.watch(after, CONFIG_WAIT).await.map(|changes| {
                changes
                    .iter()
                    .filter_map(|c| parse(c.entry.as_ref()?))
                    .collect()
            }),
        };
        if !watcher.send_updates(changes, &updates).await {
            return Ok(());
        }
    }
}

/// Sends the list of agents and then its changes until the receiver is dropped. `refresh` triggers
/// an immediate read of the changes.
///
/// # Errors
///
/// Returns an error if the prefix of the agents' keys is invalid.
pub(crate) async fn watch_agents<S: Store>(
    store: &S,
    updates: Sender<StateUpdate>,
    refresh: Arc<Notify>,
    clock: Arc<dyn Clock>,
) -> Result<()> {
    let prefix = StoreKey::try_new(registration::PREFIX).map_err(Error::Store)?;
    let mut watcher = PrefixWatcher::new(store, prefix);
    loop {
        let wait = next_wait(&watcher, &refresh).await;
        let mut read_started_at = clock.now();
        let changes = match watcher.after {
            None => watcher.list().await.map(|entries| list_updates(&entries)),
            Some(after) => {
                let result = tokio::select! {
                    result = watcher.watch(after, wait) => Some(result),
                    () = refresh.notified() => None,
                };
                let result = if let Some(result) = result {
                    result
                } else {
                    read_started_at = clock.now();
                    watcher.watch(after, POLL_WAIT).await
                };
                result.map(|changes| changes.into_iter().filter_map(change_update).collect())
            }
        };
        let changes = changes.map(|mut changes: Vec<_>| {
            changes.push(StateUpdate::AgentsReadUpTo(read_started_at));
            changes
        });
        if !watcher.send_updates(changes, &updates).await {
            return Ok(());
        }
    }
}

/// Waits until the next watch on the list of agents is due, and returns the wait of that watch.
async fn next_wait<S: Store>(watcher: &PrefixWatcher<'_, S>, refresh: &Notify) -> Duration {
    if watcher.after.is_none() {
        return POLL_WAIT;
    }
    sleep(AGENTS_INTERVAL_MIN).await;
    tokio::select! {
        () = sleep(AGENTS_INTERVAL) => AGENTS_WAIT,
        () = refresh.notified() => POLL_WAIT,
    }
}

fn list_updates(entries: &[Entry]) -> Vec<StateUpdate> {
    let records = entries.iter().filter_map(parse_record).collect();
    vec![StateUpdate::Agents(records)]
}

fn change_update(change: KeyChange) -> Option<StateUpdate> {
    match &change.entry {
        Some(entry) => parse_record(entry).map(StateUpdate::AgentRegistered),
        None => Some(StateUpdate::AgentUnregistered(change.key)),
    }
}

fn parse_record(entry: &Entry) -> Option<AgentRecord> {
    match serde_json::from_slice(&entry.value) {
        Ok(record) => Some(record),
        Err(error) => {
            let key = &entry.key;
            tracing::warn!(target: crate::log::TARGET, %key, %error, "malformed registration of an agent ignored");
            None
        }
    }
}

/// A watch on the keys of a prefix. It lists the prefix before the first watch and after a loss of
/// history.
#[derive(Debug)]
struct PrefixWatcher<'a, S> {
    store: &'a S,
    prefix: StoreKey,
    /// The version up to which changes have been received; none if the prefix must be listed.
    after: Option<Version>,
    backoff: Backoff,
    /// Whether the last call failed. Shared with the task that fetches snapshots.
    is_store_unavailable: Arc<AtomicBool>,
}

impl<'a, S: Store> PrefixWatcher<'a, S> {
    fn new(store: &'a S, prefix: StoreKey) -> Self {
        Self {
            store,
            prefix,
            after: None,
            backoff: Backoff::default(),
            is_store_unavailable: Arc::default(),
        }
    }

    async fn list(&mut self) -> StoreResult<Vec<Entry>> {
        let listing = self.store.list(&self.prefix).await?;
        self.after = Some(listing.version);
        Ok(listing.entries)
    }

    /// Returns the changes after a version. If the store no longer has the history of that version,
    /// returns none and marks the prefix to be listed.
    async fn watch(&mut self, after: Version, wait: Duration) -> StoreResult<Vec<KeyChange>> {
        match self.store.watch(&self.prefix, after, wait).await? {
            WatchOutcome::Unchanged => Ok(Vec::new()),
            WatchOutcome::Changed { version, changes } => {
                self.after = Some(version);
                Ok(changes)
            }
            WatchOutcome::Reset => {
                self.after = None;
                Ok(Vec::new())
            }
        }
    }

    /// Sends the updates of a successful call, or waits after a failed one. Returns whether the
    /// receiver still exists.
    async fn send_updates(
        &mut self,
        changes: StoreResult<Vec<StateUpdate>>,
        updates: &Sender<StateUpdate>,
    ) -> bool {
        self.is_store_unavailable
            .store(changes.is_err(), Ordering::Relaxed);
        match changes {
            Ok(changes) => {
                self.backoff.reset(&self.prefix);
                for update in changes {
                    if updates.send(update).await.is_err() {
                        return false;
                    }
                }
                true
            }
            Err(error) => {
                self.backoff.wait(&self.prefix, &error).await;
                !updates.is_closed()
            }
        }
    }
}
