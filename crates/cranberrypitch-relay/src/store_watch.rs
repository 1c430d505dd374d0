//! Watches on a prefix of the store, and on the list of agents.

use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::AgentRecord;
use cranberrypitch_net::store::{
    Entry, KeyChange, Result as StoreResult, Store, StoreKey, Version, WatchOutcome,
};
use tokio::sync::Notify;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::errors::{Error, Result};
use crate::registration;
use crate::state_update::StateUpdate;

/// The maximum wait of a watch on the list of agents. It may be longer than that of a watch on the
/// configuration, as a flow whose agent may be missing from the list triggers an immediate read.
const AGENTS_WAIT: Duration = Duration::from_secs(20);

/// The time between two watches on the list of agents, so that one call returns many changes. The
/// delay does no harm: agents report their changes to the balancers in use directly, and a new agent
/// announces itself to the balancers of its failure domain.
const AGENTS_INTERVAL: Duration = Duration::from_secs(8);

/// The time between the first list of agents and the first watch. When a whole deployment starts, agents
/// register within it, after the first list.
const FIRST_AGENTS_INTERVAL: Duration = Duration::from_millis(1500);

/// The minimum time between two watches on the list of agents.
const AGENTS_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The wait of a watch that returns the changes so far at once.
pub(crate) const POLL_WAIT: Duration = Duration::from_millis(1);

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
    let mut interval = FIRST_AGENTS_INTERVAL;
    loop {
        let wait = next_wait(&watcher, interval, &refresh).await;
        if watcher.after.is_some() {
            interval = AGENTS_INTERVAL;
        }
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
async fn next_wait<S: Store>(
    watcher: &PrefixWatcher<'_, S>,
    interval: Duration,
    refresh: &Notify,
) -> Duration {
    if watcher.after.is_none() {
        return POLL_WAIT;
    }
    sleep(AGENTS_INTERVAL_MIN).await;
    tokio::select! {
        () = sleep(interval) => AGENTS_WAIT,
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
pub(crate) struct PrefixWatcher<'a, S> {
    store: &'a S,
    prefix: StoreKey,
    /// The version up to which changes have been received; none if the prefix must be listed.
    pub(crate) after: Option<Version>,
    backoff: Backoff,
}

impl<'a, S: Store> PrefixWatcher<'a, S> {
    pub(crate) fn new(store: &'a S, prefix: StoreKey) -> Self {
        Self {
            store,
            prefix,
            after: None,
            backoff: Backoff::default(),
        }
    }

    pub(crate) async fn list(&mut self) -> StoreResult<Vec<Entry>> {
        let listing = self.store.list(&self.prefix).await?;
        self.after = Some(listing.version);
        Ok(listing.entries)
    }

    /// Returns the changes after a version. If the store no longer has the history of that version,
    /// returns none and marks the prefix to be listed.
    pub(crate) async fn watch(
        &mut self,
        after: Version,
        wait: Duration,
    ) -> StoreResult<Vec<KeyChange>> {
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
    pub(crate) async fn send_updates(
        &mut self,
        changes: StoreResult<Vec<StateUpdate>>,
        updates: &Sender<StateUpdate>,
    ) -> bool {
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
