//! The watch on the list of agents in the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::{AgentListProgress, AgentRecord};
use cranberrypitch_net::store::{Entry, KeyChange, Store, StoreKey, Version};
use tokio::sync::Notify;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use super::state_update::StateUpdate;
use crate::errors::{Error, Result};
use crate::metrics::RelayMetrics;
use crate::store::prefix_watcher::{POLL_WAIT, PrefixRead, PrefixWatcher};
use crate::store::registration;

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

/// The inputs of [`watch_agents`].
#[derive(Debug)]
pub(crate) struct AgentWatchInputs {
    /// Receives the list of agents and its changes.
    pub(crate) updates: Sender<StateUpdate>,
    /// Triggers an immediate read of the changes.
    pub(crate) refresh: Arc<Notify>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: RelayMetrics,
}

/// Sends the list of agents and then its changes until the receiver is dropped.
///
/// # Errors
///
/// Returns an error if the prefix of the agents' keys is invalid.
pub(crate) async fn watch_agents<S: Store>(store: &S, inputs: AgentWatchInputs) -> Result<()> {
    let AgentWatchInputs {
        updates,
        refresh,
        clock,
        metrics,
    } = inputs;
    let prefix = StoreKey::try_new(registration::PREFIX).map_err(Error::Store)?;
    let mut watcher = PrefixWatcher::new(store, prefix);
    let mut progress = AgentListProgress::default();
    let mut interval = FIRST_AGENTS_INTERVAL;
    let mut is_history_lost = false;
    loop {
        let wait = if is_history_lost {
            POLL_WAIT
        } else {
            next_wait(&watcher, interval, &refresh).await
        };
        let is_listed = watcher.is_listed();
        if is_listed {
            interval = AGENTS_INTERVAL;
        }
        let mut read_started_at = clock.now();
        let read = tokio::select! {
            read = watcher.read(wait) => Some(read),
            () = refresh.notified(), if is_listed => None,
        };
        let read = if let Some(read) = read {
            read
        } else {
            read_started_at = clock.now();
            watcher.read(POLL_WAIT).await
        };
        // A listing after a loss of history may answer a refresh, so the changes since are read at once.
        is_history_lost = is_listed && matches!(read, Ok(PrefixRead::Listing(_)));
        let epoch = watcher.after().map(Version::epoch);
        if let (Ok(PrefixRead::Listing(_)), Some(epoch)) = (&read, epoch) {
            progress.on_listing(epoch.get(), clock.now());
        }
        let mut refused = RefusedEntries::default();
        let changes =
            read.map(|read| agent_updates(read, &progress, read_started_at, &mut refused));
        refused.record(&metrics);
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
    if !watcher.is_listed() {
        return POLL_WAIT;
    }
    sleep(AGENTS_INTERVAL_MIN).await;
    tokio::select! {
        () = sleep(interval) => AGENTS_WAIT,
        () = refresh.notified() => POLL_WAIT,
    }
}

/// Returns the updates for a read that started at `started_at`, and collects refused entries.
fn agent_updates(
    read: PrefixRead,
    progress: &AgentListProgress,
    started_at: Instant,
    refused: &mut RefusedEntries,
) -> Vec<StateUpdate> {
    match read {
        PrefixRead::Listing(entries) => listing_updates(entries, refused),
        PrefixRead::Changes(changes) => {
            let update = |change| change_update(change, refused);
            let mut updates: Vec<_> = changes.into_iter().map(update).collect();
            let known_as_of = progress.on_changes(started_at);
            updates.extend(known_as_of.map(StateUpdate::AgentsReadUpTo));
            updates
        }
    }
}

fn listing_updates(entries: Vec<Entry>, refused: &mut RefusedEntries) -> Vec<StateUpdate> {
    let mut records = Vec::with_capacity(entries.len());
    let mut unreadable = Vec::new();
    for entry in entries {
        match registration::parse_record(&entry) {
            Ok(record) => {
                refused.check_flows(&entry, &record);
                records.push(record);
            }
            Err(error) => {
                refused.add(&entry.key, error);
                unreadable.push(StateUpdate::AgentUnreadable(entry.key));
            }
        }
    }
    let mut updates = vec![StateUpdate::Agents(records)];
    updates.extend(unreadable);
    updates
}

fn change_update(change: KeyChange, refused: &mut RefusedEntries) -> StateUpdate {
    let Some(entry) = change.entry else {
        return StateUpdate::AgentUnregistered(change.key);
    };
    match registration::parse_record(&entry) {
        Ok(record) => {
            refused.check_flows(&entry, &record);
            StateUpdate::AgentRegistered(record)
        }
        Err(error) => {
            refused.add(&entry.key, error);
            StateUpdate::AgentUnreadable(entry.key)
        }
    }
}

/// The entries of an answer that are no records of agents, and the records whose set of held flows is malformed.
/// There may be thousands, so one log line of each kind shows their number and the first one.
#[derive(Debug, Default)]
struct RefusedEntries {
    count: usize,
    first: Option<(StoreKey, Error)>,
    malformed_flows: usize,
    first_malformed_flows: Option<StoreKey>,
}

impl RefusedEntries {
    fn add(&mut self, key: &StoreKey, error: Error) {
        self.count += 1;
        self.first.get_or_insert_with(|| (key.clone(), error));
    }

    /// Counts a record with a malformed set of held flows, which is used without the set.
    fn check_flows(&mut self, entry: &Entry, record: &AgentRecord) {
        if registration::has_malformed_flows(entry, record) {
            self.malformed_flows += 1;
            self.first_malformed_flows
                .get_or_insert_with(|| entry.key.clone());
        }
    }

    /// Counts the entries and writes the log lines.
    fn record(&self, metrics: &RelayMetrics) {
        metrics.add_refused_registrations(self.count);
        if let Some((key, error)) = &self.first {
            let count = self.count;
            tracing::warn!(target: crate::log::TARGET, event = "RegistrationRefused", count, %key, %error);
        }
        if let Some(key) = &self.first_malformed_flows {
            let count = self.malformed_flows;
            tracing::warn!(target: crate::log::TARGET, event = "HeldFlowsRefused", count, %key);
        }
    }
}
