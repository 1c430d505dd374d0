//! The JSON bodies of calls to the store service and of their answers.
//!
//! A call is a `POST` to [`PATH`] with a [`Call`]. The response has status 200 with an [`Answer`], or
//! another status with an [`Error`]. Without a response, the outcome of a write is unknown.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::store::{
    CallKind, Entry, Epoch, Error, LeaseId, Listing, Operation, Put, Result, SetEpoch, StoreKey,
    Version, WatchOutcome,
};

/// The HTTP path of all calls.
pub const PATH: &str = "/v1/store";

/// The header of each response with the epoch of the store. A service without it is in epoch 0.
pub const EPOCH_HEADER: &str = "store-epoch";

/// The limit on the length of a body, which carries base64 values with their keys.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The longest wait time of a watch or time to live of a lease. The limit prevents a malicious call
/// from overflowing time arithmetic.
pub const MAX_TIME: Duration = Duration::from_hours(1);

/// A call to the store.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Call {
    /// Reads a key.
    Get {
        /// The key.
        key: StoreKey,
    },
    /// Writes a key.
    Put(Put),
    /// Deletes a key.
    Delete {
        /// The key.
        key: StoreKey,
        /// The version of its last write.
        version: Version,
    },
    /// Lists the keys under a prefix.
    List {
        /// The prefix.
        prefix: StoreKey,
    },
    /// Grants a lease.
    Grant {
        /// The time to live of the lease, which lapses then unless it is renewed.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "ttl_ms")]
        ttl: Duration,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Ends a lease.
    Release {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits for changes under a prefix.
    Watch {
        /// The prefix.
        prefix: StoreKey,
        /// The version after which changes are reported.
        after: Version,
        /// The longest time to wait.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "wait_ms")]
        wait: Duration,
    },
}

impl Call {
    /// Returns the operation of the call.
    pub const fn operation(&self) -> Operation {
        match self {
            Self::Get { .. } => Operation::Get,
            Self::Put(_) => Operation::Put,
            Self::Delete { .. } => Operation::Delete,
            Self::List { .. } => Operation::List,
            Self::Grant { .. } => Operation::Grant,
            Self::Renew { .. } => Operation::Renew,
            Self::Release { .. } => Operation::Release,
            Self::Watch { .. } => Operation::Watch,
        }
    }

    /// Returns what the call may change.
    pub const fn kind(&self) -> CallKind {
        match self {
            Self::Get { .. } | Self::List { .. } | Self::Watch { .. } => CallKind::Read,
            Self::Put(_) | Self::Delete { .. } => CallKind::Write,
            Self::Grant { .. } | Self::Renew { .. } | Self::Release { .. } => CallKind::Lease,
        }
    }

    /// Returns the epoch in which the store issued the version or the lease of the call, if it has either.
    pub fn epoch(&self) -> Option<Epoch> {
        match self {
            Self::Put(put) => put.epoch(),
            Self::Delete { version, .. } | Self::Watch { after: version, .. } => {
                Some(version.epoch())
            }
            Self::Renew { lease } | Self::Release { lease } => Some(lease.epoch()),
            Self::Get { .. } | Self::List { .. } | Self::Grant { .. } => None,
        }
    }

    /// Decodes a call. Fails with [`Error::Refused`] if it is malformed or a time exceeds [`MAX_TIME`].
    pub fn decode(body: &[u8]) -> Result<Self> {
        let call = serde_json::from_slice(body).map_err(|e| Error::refused(&e))?;
        match call {
            Self::Grant { ttl: time } | Self::Watch { wait: time, .. } if time > MAX_TIME => {
                Err(Error::refused(&"time over one hour"))
            }
            call => Ok(call),
        }
    }
}

impl SetEpoch for Call {
    fn set_epoch(&mut self, epoch: Epoch) {
        match self {
            Self::Put(put) => put.set_epoch(epoch),
            Self::Delete { version, .. } | Self::Watch { after: version, .. } => {
                version.set_epoch(epoch);
            }
            Self::Renew { lease } | Self::Release { lease } => lease.set_epoch(epoch),
            Self::Get { .. } | Self::List { .. } | Self::Grant { .. } => {}
        }
    }
}

/// The answer to a successful call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The answer to [`Call::Get`].
    Entry(Option<Entry>),
    /// The answer to [`Call::Put`]: the version of the write.
    Written(Version),
    /// The answer to [`Call::List`].
    Listing(Listing),
    /// The answer to [`Call::Grant`].
    Granted(LeaseId),
    /// The answer to [`Call::Watch`].
    Watched(WatchOutcome),
    /// The answer to all other calls.
    Done,
}

impl SetEpoch for Answer {
    fn set_epoch(&mut self, epoch: Epoch) {
        match self {
            Self::Entry(entry) => entry.set_epoch(epoch),
            Self::Written(version) => version.set_epoch(epoch),
            Self::Listing(listing) => listing.set_epoch(epoch),
            Self::Granted(lease) => lease.set_epoch(epoch),
            Self::Watched(watched) => watched.set_epoch(epoch),
            Self::Done => {}
        }
    }
}

impl Answer {
    /// Decodes an answer. Fails if the body is not the JSON of an answer.
    pub fn decode(body: &[u8]) -> std::result::Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }
}
