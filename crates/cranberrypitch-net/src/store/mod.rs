//! The platform's key-value service.
//!
//! [`Store`] is the interface, [`HttpStore`] the adapter to the service, and [`MemoryStore`] an
//! implementation in memory with fault switches. Each call counts against the service's rates, and a
//! waiting watch counts as one call.

mod counters;
mod errors;
mod faults;
mod http;
mod key;
mod memory;
mod observed;
mod state;
pub mod wire;

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

pub use counters::{CallCounters, Operation};
pub use errors::{Error, Result};
pub use faults::FaultInjector;
pub use http::{HttpStore, HttpStoreOptions};
pub use key::StoreKey;
pub use memory::MemoryStore;
pub use observed::{ObservedStore, StoreMonitor, StoreObserver};

/// The longest value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The number of the store's latest write; it grows with every write of any key.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// Returns the version with this value.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the value.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The id of a lease.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(u64);

impl LeaseId {
    /// Returns the id with this value.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }
}

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
    /// The version of the last write of this key.
    pub version: Version,
    /// The lease that the key is bound to.
    pub lease: Option<LeaseId>,
}

/// All keys under a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// The store's version at the time; a watch continues from here.
    pub version: Version,
    /// The keys with their values, in ascending order.
    pub entries: Vec<Entry>,
}

/// What a write expects to find.
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
    /// What the write expects to find.
    pub expected: ExpectedVersion,
    /// The lease to bind the key to.
    pub lease: Option<LeaseId>,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyChange {
    /// The key.
    pub key: StoreKey,
    /// Its latest value, or `None` when it was deleted.
    pub entry: Option<Entry>,
}

/// The answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchOutcome {
    /// Nothing changed within the time.
    Unchanged,
    /// Some keys changed; each is named once, with its latest value.
    Changed {
        /// The store's version at the time; the next watch continues from here.
        version: Version,
        /// The changed keys.
        changes: Vec<KeyChange>,
    },
    /// The version is too old for the store to tell; the watcher lists the prefix again.
    Reset,
}

/// The platform's key-value service.
///
/// An error that is not [`Error::OutcomeUnknown`] promises that a write took no effect and will take
/// none later.
pub trait Store: Send + Sync + 'static {
    /// Returns a key's value.
    fn get(&self, key: &StoreKey) -> impl Future<Output = Result<Option<Entry>>> + Send;

    /// Writes a key if it is as expected, and returns the version of the write.
    fn put(&self, put: Put) -> impl Future<Output = Result<Version>> + Send;

    /// Deletes a key if it was last written at a version.
    fn delete(&self, key: &StoreKey, version: Version) -> impl Future<Output = Result<()>> + Send;

    /// Returns all keys under a prefix.
    fn list(&self, prefix: &StoreKey) -> impl Future<Output = Result<Listing>> + Send;

    /// Grants a lease that lapses after `ttl` unless it is renewed.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId>> + Send;

    /// Renews a lease for its whole time.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Ends a lease and deletes the keys bound to it.
    fn release(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Waits until a key under a prefix changes after a version, for at most `wait`.
    fn watch(
        &self,
        prefix: &StoreKey,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchOutcome>> + Send;
}
