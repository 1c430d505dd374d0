//! The JSON bodies between the HTTP adapter and the service.
//!
//! A call is a `POST` to [`PATH`] with a [`Call`]. The answer is status 200 with an [`Answer`], or
//! another status with an [`Error`]. No answer at all leaves the outcome of a
//! write unknown.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::store::{
    Entry, Error, LeaseId, Listing, Operation, Put, Result, StoreKey, Version, WatchOutcome,
};

/// The path of all calls.
pub const PATH: &str = "/v1/store";

/// The longest body: a value in base64 with its key, or a listing.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The longest time that a watch may wait or a lease may last. It keeps a hostile body from
/// overflowing the clock.
pub const MAX_TIME: Duration = Duration::from_hours(1);

/// A call of the store.
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
        /// The time until it lapses.
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
    /// Waits for a change.
    Watch {
        /// The prefix.
        prefix: StoreKey,
        /// The version after which changes count.
        after: Version,
        /// The longest time to wait.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "wait_ms")]
        wait: Duration,
    },
}

impl Call {
    /// Returns the operation.
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

    /// Decodes a call and checks its times.
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

/// The answer to a call that went well.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The answer to a read.
    Entry(Option<Entry>),
    /// The answer to a write.
    Written(Version),
    /// The answer to a listing.
    Listing(Listing),
    /// The answer to the grant of a lease.
    Granted(LeaseId),
    /// The answer to a watch.
    Watched(WatchOutcome),
    /// The answer to the other calls.
    Done,
}

impl Answer {
    /// Decodes an answer.
    pub fn decode(body: &[u8]) -> std::result::Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }
}
