//! Following of the store's configuration and list of agents.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cranberrypitch_core::Clock;
use cranberrypitch_core::flow::{AgentRecord, RouteConfig};
use cranberrypitch_net::store::{
    Entry, KeyChange, Result as StoreResult, Store, StoreKey, Version, WatchOutcome,
};
use rand::RngExt;
use tokio::sync::Notify;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::errors::{Error, Result};
use crate::platform::Platform;
use crate::registration;
use crate::snapshot::Snapshot;

/// A watch on the configuration waits at most this long, so that a connection that went silent is
/// noticed within the time that a change may take.
const CONFIG_WAIT: Duration = Duration::from_secs(3);

/// The same for the list of agents. A flow whose agent may be missing from the list asks for a read.
const AGENTS_WAIT: Duration = Duration::from_secs(8);

/// The time between two watches of the list of agents, so that one call tells of many changes.
/// Agents tell the balancers in use of their own changes, and a new target is slow for this long.
const AGENTS_INTERVAL: Duration = Duration::from_secs(2);

/// The least time between two watches of the list of agents.
const AGENTS_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The wait of a watch that only reads what has changed.
const READ_WAIT: Duration = Duration::from_millis(1);

/// The first pause after a failed call; it doubles with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// A change that a balancer learns from the store.
#[derive(Debug)]
pub(crate) enum Update {
    /// The configuration.
    Config(RouteConfig),
    /// What another balancer knows.
    Snapshot(Snapshot),
    /// The whole list of agents.
    Agents(Vec<AgentRecord>),
    /// An agent registered.
    Registered(AgentRecord),
    /// The registration of a key ended.
    Unregistered(StoreKey),
    /// All changes of the list of agents before this time were passed on.
    ListRead(Instant),
}

/// Follows the configuration until the receiver is gone.
pub(crate) async fn follow_config<P: Platform, S: Store>(
    store: &S,
    updates: Sender<Update>,
    is_store_lost: Arc<AtomicBool>,
) -> Result<()> {
    let key = P::config_key()?;
    let read = |entry: &Entry| match P::read_config(&entry.value) {
        Ok(config) => Some(Update::Config(config)),
        Err(error) => {
            tracing::error!(target: crate::log::TARGET, event = "ConfigurationRefused", %error);
            None
        }
    };
    let mut follower = Follower::new(store, key);
    follower.is_store_lost = is_store_lost;
    loop {
        let changes = match follower.after {
            None => follower
                .list()
                .await
                .map(|entries| entries.iter().filter_map(read).collect()),
            Some(after) => follower.watch(after, CONFIG_WAIT).await.map(|changes| {
                changes
                    .iter()
                    .filter_map(|c| read(c.entry.as_ref()?))
                    .collect()
            }),
        };
        if !follower.pass_on(changes, &updates).await {
            return Ok(());
        }
    }
}

/// Follows the list of agents until the receiver is gone. `wanted` asks to read its changes now.
pub(crate) async fn follow_agents<S: Store>(
    store: &S,
    updates: Sender<Update>,
    wanted: Arc<Notify>,
    clock: Arc<dyn Clock>,
) -> Result<()> {
    let prefix = StoreKey::try_new(registration::PREFIX).map_err(Error::Store)?;
    let mut follower = Follower::new(store, prefix);
    loop {
        let wait = next_wait(&follower, &wanted).await;
        let mut as_of = clock.now();
        let changes = match follower.after {
            None => follower.list().await.map(|entries| listed(&entries)),
            Some(after) => {
                let watched = tokio::select! {
                    watched = follower.watch(after, wait) => Some(watched),
                    () = wanted.notified() => None,
                };
                let watched = if let Some(watched) = watched {
                    watched
                } else {
                    as_of = clock.now();
                    follower.watch(after, READ_WAIT).await
                };
                watched.map(|changes| changes.into_iter().filter_map(changed).collect())
            }
        };
        let changes = changes.map(|mut changes: Vec<_>| {
            changes.push(Update::ListRead(as_of));
            changes
        });
        if !follower.pass_on(changes, &updates).await {
            return Ok(());
        }
    }
}

/// Waits until the next watch of the list of agents is due, and returns how long it may wait.
async fn next_wait<S: Store>(follower: &Follower<'_, S>, wanted: &Notify) -> Duration {
    if follower.after.is_none() {
        return READ_WAIT;
    }
    sleep(AGENTS_INTERVAL_MIN).await;
    tokio::select! {
        () = sleep(AGENTS_INTERVAL) => AGENTS_WAIT,
        () = wanted.notified() => READ_WAIT,
    }
}

fn listed(entries: &[Entry]) -> Vec<Update> {
    let records = entries.iter().filter_map(read_record).collect();
    vec![Update::Agents(records)]
}

fn changed(change: KeyChange) -> Option<Update> {
    match &change.entry {
        Some(entry) => read_record(entry).map(Update::Registered),
        None => Some(Update::Unregistered(change.key)),
    }
}

fn read_record(entry: &Entry) -> Option<AgentRecord> {
    match serde_json::from_slice(&entry.value) {
        Ok(record) => Some(record),
        Err(error) => {
            let key = &entry.key;
            tracing::warn!(target: crate::log::TARGET, %key, %error, "registration refused");
            None
        }
    }
}

/// Lists a prefix, then watches it.
#[derive(Debug)]
struct Follower<'a, S> {
    store: &'a S,
    prefix: StoreKey,
    /// The version up to which changes are known, or none before the first list.
    after: Option<Version>,
    pause: Pause,
    /// Whether the last call failed, for others that ask.
    is_store_lost: Arc<AtomicBool>,
}

impl<'a, S: Store> Follower<'a, S> {
    fn new(store: &'a S, prefix: StoreKey) -> Self {
        Self {
            store,
            prefix,
            after: None,
            pause: Pause::default(),
            is_store_lost: Arc::default(),
        }
    }

    async fn list(&mut self) -> StoreResult<Vec<Entry>> {
        let listing = self.store.list(&self.prefix).await?;
        self.after = Some(listing.version);
        Ok(listing.entries)
    }

    /// Returns the changes after a version. After a loss of history, the prefix is listed next.
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

    /// Passes on what a call returned, or pauses after one that failed. Returns whether the receiver
    /// is there.
    async fn pass_on(
        &mut self,
        changes: StoreResult<Vec<Update>>,
        updates: &Sender<Update>,
    ) -> bool {
        self.is_store_lost
            .store(changes.is_err(), Ordering::Relaxed);
        match changes {
            Ok(changes) => {
                self.pause.reset(&self.prefix);
                for update in changes {
                    if updates.send(update).await.is_err() {
                        return false;
                    }
                }
                true
            }
            Err(error) => {
                self.pause.wait(&self.prefix, &error).await;
                !updates.is_closed()
            }
        }
    }
}

/// Pauses after failed calls, with jitter so that daemons do not call at the same moment.
#[derive(Debug, Default)]
pub(crate) struct Pause {
    failures: u32,
}

impl Pause {
    /// Notes a call that went well.
    pub(crate) fn reset(&mut self, what: &StoreKey) {
        if std::mem::take(&mut self.failures) > 0 {
            tracing::info!(target: crate::log::TARGET, event = "StoreRegained", %what);
        }
    }

    /// Waits after a failed call.
    pub(crate) async fn wait(&mut self, what: &StoreKey, error: &cranberrypitch_net::store::Error) {
        if self.failures == 0 {
            tracing::warn!(target: crate::log::TARGET, event = "StoreLost", %what, %error);
        }
        let factor = 1_u32 << self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        let longest = (FIRST_PAUSE * factor).min(MAX_PAUSE);
        let jitter = rand::rng().random_range(0.5..=1.0);
        sleep(longest.mul_f64(jitter)).await;
    }
}
