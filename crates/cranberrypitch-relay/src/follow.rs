//! Following of the store's configuration and list of agents.

use std::time::Duration;

use cranberrypitch_core::flow::{AgentRecord, RouteConfig};
use cranberrypitch_net::store::{Entry, KeyChange, Store, StoreKey, Version, Watched};
use rand::RngExt;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::errors::{Error, Result};
use crate::platform::Platform;
use crate::registration;

/// A watch on the configuration waits at most this long, so that a connection that went silent is
/// noticed within the time that a change may take.
const CONFIG_WAIT: Duration = Duration::from_millis(2000);

/// The same for the list of agents, whose changes agents also tell themselves.
const AGENTS_WAIT: Duration = Duration::from_millis(4000);

/// The first pause after a failed call; it doubles with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// A change that a balancer learns from the store.
#[derive(Debug)]
pub(crate) enum Update {
    /// The configuration.
    Config(RouteConfig),
    /// The whole list of agents.
    Agents(Vec<AgentRecord>),
    /// An agent registered.
    Registered(AgentRecord),
    /// The registration of a key ended.
    Unregistered(StoreKey),
    /// The store tells of changes of the list of agents, or does not answer.
    AgentsFollowed(bool),
}

/// Follows the configuration until the receiver is gone.
pub(crate) async fn follow_config<P: Platform>(store: &P::Store, updates: Sender<Update>) -> Result<()> {
    let key = P::config_key()?;
    let read = |entry: &Entry| match P::read_config(&entry.value) {
        Ok(config) => Some(Update::Config(config)),
        Err(error) => {
            tracing::error!(target: crate::log::TARGET, %error, "configuration refused");
            None
        }
    };
    let change = move |change: KeyChange| read(change.entry.as_ref()?);
    let list = move |entries: Vec<Entry>| entries.iter().filter_map(&read).collect();
    follow(store, &key, CONFIG_WAIT, list, change, |_| None, updates).await;
    Ok(())
}

/// Follows the list of agents until the receiver is gone.
pub(crate) async fn follow_agents<S: Store>(store: &S, updates: Sender<Update>) -> Result<()> {
    let prefix = StoreKey::try_new(registration::PREFIX).map_err(Error::Store)?;
    let list = |entries: Vec<Entry>| {
        let records = entries.iter().filter_map(read_record).collect();
        vec![Update::Agents(records)]
    };
    let change = |change: KeyChange| match &change.entry {
        Some(entry) => read_record(entry).map(Update::Registered),
        None => Some(Update::Unregistered(change.key)),
    };
    let followed = |is_followed| Some(Update::AgentsFollowed(is_followed));
    follow(store, &prefix, AGENTS_WAIT, list, change, followed, updates).await;
    Ok(())
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

/// Lists a prefix, then passes on its changes. A list that fails is tried again after a pause.
async fn follow<S: Store>(
    store: &S,
    prefix: &StoreKey,
    wait: Duration,
    list: impl Fn(Vec<Entry>) -> Vec<Update>,
    change: impl Fn(KeyChange) -> Option<Update>,
    followed: impl Fn(bool) -> Option<Update>,
    updates: Sender<Update>,
) {
    let mut pause = Pause::default();
    let mut after: Option<Version> = None;
    loop {
        let result = match after {
            None => store
                .list(prefix)
                .await
                .map(|listing| (Some(listing.version), list(listing.entries))),
            Some(version) => store
                .watch(prefix, version, wait)
                .await
                .map(|watched| match watched {
                    Watched::Unchanged => (after, Vec::new()),
                    Watched::Reset => (None, Vec::new()),
                    Watched::Changed { version, changes } => {
                        (Some(version), changes.into_iter().filter_map(&change).collect())
                    }
                }),
        };
        match result {
            Ok((next, changes)) => {
                let regained = pause.reset(prefix).then(|| followed(true)).flatten();
                after = next;
                for update in changes.into_iter().chain(regained) {
                    if updates.send(update).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) => {
                if let Some(update) = followed(false)
                    && updates.send(update).await.is_err()
                {
                    return;
                }
                pause.wait(prefix, &error).await;
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
    /// Notes a call that went well. Returns whether the one before had failed.
    pub(crate) fn reset(&mut self, what: &StoreKey) -> bool {
        let is_regained = std::mem::take(&mut self.failures) > 0;
        if is_regained {
            tracing::info!(target: crate::log::TARGET, event = "StoreRegained", %what);
        }
        is_regained
    }

    /// Waits after a failed call.
    pub(crate) async fn wait(
        &mut self,
        what: &StoreKey,
        error: &cranberrypitch_net::store::Error,
    ) {
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
