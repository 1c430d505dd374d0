//! The configuration that an edit is made from, also after the store was restored from a copy.
//!
//! A restored store may lack edits that are in force. Watchers write them back, so the first edit of an
//! epoch waits for them. It then skips more revisions than the store can have lost, so that its own is
//! above all in force even if nothing was written back.

use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::Revision;
use cranberrypitch_core::config::ConfigHead;
use tokio::time::{Instant, sleep};

use crate::config_store::{Error, Result, epoch_key, read_head};
use crate::config_writes::expected_version;
use crate::store::{Entry, Epoch, Error as StoreError, Put, Store, Version};

/// The number of revisions that the first edit of an epoch skips. It is above the number of edits that a
/// store accepts in the age of a copy.
pub(super) const SKIPPED_REVISIONS: u64 = 1000;

/// The interval between two reads of the head while the first edit of an epoch waits.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// The head that an edit is made from.
#[derive(Debug)]
pub(super) struct EditBase {
    pub(super) head: Option<ConfigHead>,
    pub(super) version: Option<Version>,
    /// The epoch of the store, if no edit is known to have been accepted in it.
    pub(super) new_epoch: Option<Epoch>,
}

impl EditBase {
    /// Returns the revision in the store, or 0 before the first edit.
    pub(super) fn revision(&self) -> Revision {
        self.head
            .as_ref()
            .map_or(Revision::default(), |head| head.revision)
    }
}

/// Reads the head. In an epoch without an accepted edit, waits at most `wait` until the head has changed and
/// its revision is at least `edited`, which the operator knows. A higher revision shows at once that the
/// operator edited an older one.
pub(super) async fn read_base<S: Store>(
    store: &S,
    edited: Revision,
    wait: Duration,
) -> Result<EditBase> {
    let deadline = Instant::now() + wait;
    let (head, version) = read_head(store).await?.unzip();
    let new_epoch = new_epoch(store).await?;
    let mut base = EditBase {
        head,
        version,
        new_epoch,
    };
    let found = base.version;
    let may_be_lost = base.new_epoch.is_some() && base.revision() <= edited;
    let is_unchanged = |base: &EditBase| base.version == found || base.revision() < edited;
    while may_be_lost && is_unchanged(&base) && Instant::now() < deadline {
        sleep(READ_INTERVAL.min(wait)).await;
        (base.head, base.version) = read_head(store).await?.unzip();
    }
    Ok(base)
}

/// Returns the epoch of the store if no edit is recorded as accepted in it. The first epoch needs no record.
async fn new_epoch<S: Store>(store: &S) -> Result<Option<Epoch>> {
    let epoch = store.epoch().unwrap_or_default();
    if epoch == Epoch::default() {
        return Ok(None);
    }
    let recorded = store.get(&epoch_key()).await?;
    let recorded = recorded.as_ref().map(decode_epoch).transpose()?;
    Ok((recorded < Some(epoch)).then_some(epoch))
}

fn decode_epoch(entry: &Entry) -> Result<Epoch> {
    let text = String::from_utf8_lossy(&entry.value);
    let epoch = text.parse();
    epoch.map_err(|e| Error::Content(cranberrypitch_core::Error::malformed("epoch", &e)))
}

/// Records that an edit was accepted in an epoch.
pub(super) async fn record_epoch<S: Store>(
    store: &S,
    epoch: Epoch,
) -> std::result::Result<(), StoreError> {
    let key = epoch_key();
    let current = store.get(&key).await?;
    let put = Put {
        key,
        value: Bytes::from(epoch.to_string()),
        expected: expected_version(current.map(|entry| entry.version)),
        lease: None,
    };
    store.put(put).await?;
    Ok(())
}
