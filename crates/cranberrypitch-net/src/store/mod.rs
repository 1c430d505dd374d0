//! The key-value store of the platform.
//!
//! [`Store`] is the interface, [`HttpStore`] the client of the service, and [`MemoryStore`] an in-memory
//! implementation with fault injection. Each call counts against the rate limits of the service; a
//! waiting watch counts as one call.

mod client;
mod counters;
mod epoch;
mod errors;
mod faults;
mod http;
mod key;
mod memory;
mod observed;
mod state;
mod version;
pub mod wire;

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

pub use client::{CallKind, CallOptions, StoreClient, StoreResponse};
pub use counters::{CallCounters, Operation};
pub use epoch::{Epoch, EpochEnded, EpochTracker};
pub use errors::{Error, Result};
pub use faults::FaultInjector;
pub use http::{HttpStore, HttpStoreOptions};
pub use key::StoreKey;
pub use memory::{MemoryStore, StoreCopy};
pub use observed::{ObservedStore, StoreMonitor, StoreObserver};
pub use version::{LeaseId, SetEpoch, Version};

/// The limit on the length of a value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A key with its value.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The key.
    pub key: StoreKey,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Bytes,
    /// The version at which the key was last written.
    pub version: Version,
    /// The lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// All entries under a prefix, at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// The version of the store at the time of the listing; a watch continues from here.
    pub version: Version,
    /// The entries, in ascending order of their keys.
    pub entries: Vec<Entry>,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedVersion {
    /// The key does not exist.
    Absent,
    /// The key was last written at this version.
    Version(Version),
}

/// A compare-and-swap write.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// The key.
    pub key: StoreKey,
    /// The new value.
    #[serde_as(as = "Base64")]
    pub value: Bytes,
    /// The version that the key must have for the write to succeed.
    pub expected: ExpectedVersion,
    /// The lease to attach the key to.
    pub lease: Option<LeaseId>,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyChange {
    /// The key.
    pub key: StoreKey,
    /// The latest entry, or `None` if the key was deleted.
    pub entry: Option<Entry>,
}

/// The result of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchOutcome {
    /// Nothing changed within the wait time.
    Unchanged,
    /// The changes up to a version, possibly none; each changed key occurs once, with its latest entry.
    Changed {
        /// The version of the store at the time of the answer; the next watch continues from here.
        version: Version,
        /// The changed keys.
        changes: Vec<KeyChange>,
    },
    /// The store does not have the changes since the version, or issued it in an earlier epoch, so the
    /// watcher has to list the prefix again.
    Reset,
}

impl SetEpoch for Entry {
    fn set_epoch(&mut self, epoch: Epoch) {
        self.version.set_epoch(epoch);
        self.lease.set_epoch(epoch);
    }
}

impl SetEpoch for Listing {
    fn set_epoch(&mut self, epoch: Epoch) {
        self.version.set_epoch(epoch);
        self.entries.set_epoch(epoch);
    }
}

impl SetEpoch for ExpectedVersion {
    fn set_epoch(&mut self, epoch: Epoch) {
        if let Self::Version(version) = self {
            version.set_epoch(epoch);
        }
    }
}

impl SetEpoch for Put {
    fn set_epoch(&mut self, epoch: Epoch) {
        self.expected.set_epoch(epoch);
        self.lease.set_epoch(epoch);
    }
}

impl SetEpoch for KeyChange {
    fn set_epoch(&mut self, epoch: Epoch) {
        self.entry.set_epoch(epoch);
    }
}

impl SetEpoch for WatchOutcome {
    fn set_epoch(&mut self, epoch: Epoch) {
        if let Self::Changed { version, changes } = self {
            version.set_epoch(epoch);
            changes.set_epoch(epoch);
        }
    }
}

impl Put {
    /// Returns the epoch in which the store issued the expected version or the lease, if there is either.
    pub fn epoch(&self) -> Option<Epoch> {
        let expected = match self.expected {
            ExpectedVersion::Absent => None,
            ExpectedVersion::Version(version) => Some(version.epoch()),
        };
        let lease = self.lease.map(LeaseId::epoch);
        // If they differ, the call fails, as one of them is of an earlier epoch.
        expected.into_iter().chain(lease).min()
    }
}

/// The interface of the platform's key-value store.
///
/// Versions and leases hold in the epoch in which the store issued them. A store that was restored from
/// a copy issues the same numbers again, for other writes and to other processes, so a call with one of
/// an earlier epoch fails with [`Error::EpochEnded`], and a watch ends with [`WatchOutcome::Reset`].
///
/// Any error other than [`Error::OutcomeUnknown`] guarantees that a write has had no effect and will
/// have none later.
pub trait Store: Send + Sync + 'static {
    /// Returns the newest epoch in the answers so far, or nothing before the first answer.
    fn epoch(&self) -> Option<Epoch>;

    /// Returns the number of items in the answers so far that were left out as malformed. Other writers may
    /// have put them there.
    fn malformed_items(&self) -> u64 {
        0
    }

    /// Returns the entry of a key, or `None` if there is no such key.
    fn get(&self, key: &StoreKey) -> impl Future<Output = Result<Option<Entry>>> + Send;

    /// Writes a key if its version is as expected, and returns the version of the write. Fails with
    /// [`Error::Conflict`] otherwise.
    fn put(&self, put: Put) -> impl Future<Output = Result<Version>> + Send;

    /// Deletes a key if it was last written at `version`. Fails with [`Error::Conflict`] otherwise.
    fn delete(&self, key: &StoreKey, version: Version) -> impl Future<Output = Result<()>> + Send;

    /// Returns all entries under a prefix.
    fn list(&self, prefix: &StoreKey) -> impl Future<Output = Result<Listing>> + Send;

    /// Grants a lease that lapses after `ttl` unless it is renewed.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId>> + Send;

    /// Renews a lease for its full time to live. Fails with [`Error::LeaseLapsed`] if it has lapsed.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Ends a lease and deletes the keys attached to it. A client renews the lease before, so that after
    /// a restoration it ends no lease that the store has issued again to another process.
    fn release(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Waits for changes under a prefix after version `after`, for at most `wait`.
    fn watch(
        &self,
        prefix: &StoreKey,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchOutcome>> + Send;
}
