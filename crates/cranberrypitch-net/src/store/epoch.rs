//! The epochs of a store's history.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error, FromStr};
use hyper::HeaderMap;
use serde::{Deserialize, Serialize};

/// The epoch of a store's history.
///
/// A store that is restored from a copy loses what it has acknowledged since the copy was made, and
/// begins the next epoch. It may issue the versions and leases of the lost history again, so they are
/// unique only within an epoch. A store that reports no epoch stays in epoch 0.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(u64);

impl Epoch {
    /// Returns the epoch with this number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the epoch.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the epoch in the header `name` of a response, if there is one. Fails with a description
    /// of the problem if it is malformed.
    pub fn from_header(headers: &HeaderMap, name: &str) -> Result<Option<Self>, Box<str>> {
        let Some(value) = headers.get(name) else {
            return Ok(None);
        };
        let epoch = value.to_str().ok().and_then(|text| text.parse().ok());
        let malformed = || format!("malformed header {name}: {value:?}").into();
        epoch.map(Some).ok_or_else(malformed)
    }
}

/// The epoch in which a store issued a version or a lease is over.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("the store was restored from a copy: epoch {issued_in} is over, {newest} has begun")]
pub struct EpochEnded {
    /// The epoch in which the store issued the version or the lease.
    pub issued_in: Epoch,
    /// The newest known epoch.
    pub newest: Epoch,
}

/// The newest epoch in the answers of a store, if there was any answer. Clones share the value.
#[derive(Clone, Debug, Default)]
pub struct EpochTracker(Arc<Mutex<Option<Epoch>>>);

impl EpochTracker {
    /// Records the epoch of an answer; late answers may carry earlier ones. Returns the epoch before if
    /// a newer one has begun since.
    pub fn observe(&self, epoch: Epoch) -> Option<Epoch> {
        let mut newest = self.lock();
        let previous = *newest;
        *newest = previous.max(Some(epoch));
        previous.filter(|previous| *previous < epoch)
    }

    /// Checks that the epoch in which the store issued the numbers of a call is the newest one known; none
    /// for a call without such numbers.
    pub fn check(&self, issued_in: Option<Epoch>) -> Result<(), EpochEnded> {
        let (Some(issued_in), Some(newest)) = (issued_in, self.newest()) else {
            return Ok(());
        };
        if issued_in < newest {
            return Err(EpochEnded { issued_in, newest });
        }
        Ok(())
    }

    /// Returns the newest epoch, or nothing before the first answer.
    pub fn newest(&self) -> Option<Epoch> {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Epoch>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
