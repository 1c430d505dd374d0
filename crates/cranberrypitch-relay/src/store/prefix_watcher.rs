//! Reads of all entries below a prefix of the store, and of their changes.

use std::time::Duration;

use cranberrypitch_net::store::{
    Entry, Error as StoreError, KeyChange, Result as StoreResult, Store, StoreKey, Version,
    WatchOutcome,
};
use tokio::sync::mpsc::Sender;

use super::backoff::Backoff;

/// The wait of a watch that returns the changes so far at once.
pub(crate) const POLL_WAIT: Duration = Duration::from_millis(1);

/// What a read of a prefix returned.
#[derive(Debug)]
pub(crate) enum PrefixRead {
    /// All entries, from the first read and after a loss of history.
    Listing(Vec<Entry>),
    /// All changes since the last read.
    Changes(Vec<KeyChange>),
}

/// A watch on the keys of a prefix. It lists the prefix before the first watch and after a loss of
/// history.
#[derive(Debug)]
pub(crate) struct PrefixWatcher<'a, S> {
    store: &'a S,
    prefix: StoreKey,
    /// The version up to which changes have been received; none if the prefix must be listed.
    after: Option<Version>,
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

    /// Returns the version up to which changes have been received, if the prefix has been listed.
    pub(crate) const fn after(&self) -> Option<Version> {
        self.after
    }

    /// Returns whether the next read returns changes, unless the store has lost their history.
    pub(crate) const fn is_listed(&self) -> bool {
        self.after.is_some()
    }

    /// Waits up to `wait` for changes since the last read. Lists the prefix if it has not been listed, or
    /// if the store no longer has the changes or its answer with them could not be received: the same watch
    /// would be answered with at least as many changes again.
    pub(crate) async fn read(&mut self, wait: Duration) -> StoreResult<PrefixRead> {
        if let Some(after) = self.after {
            match self.store.watch(&self.prefix, after, wait).await {
                Ok(WatchOutcome::Unchanged) => return Ok(PrefixRead::Changes(Vec::new())),
                Ok(WatchOutcome::Changed { version, changes }) => {
                    self.after = Some(version);
                    return Ok(PrefixRead::Changes(changes));
                }
                Ok(WatchOutcome::Reset) => {}
                Err(error @ StoreError::IncompleteResponse { .. }) => {
                    let prefix = &self.prefix;
                    tracing::warn!(target: crate::log::TARGET, %prefix, %error, "changes not received, so the prefix is listed");
                }
                Err(error) => return Err(error),
            }
            self.after = None;
        }
        let listing = self.store.list(&self.prefix).await?;
        self.after = Some(listing.version);
        Ok(PrefixRead::Listing(listing.entries))
    }

    /// Sends the updates of a successful call, or waits after a failed one. Returns whether the
    /// receiver still exists.
    pub(crate) async fn send_updates<U>(
        &mut self,
        changes: StoreResult<Vec<U>>,
        updates: &Sender<U>,
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
