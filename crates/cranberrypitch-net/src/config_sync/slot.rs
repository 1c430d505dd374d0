//! Leased watcher slots of a failure domain.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrypitch_core::{Clock, FailureDomain};

use crate::config_store::watcher_key;
use crate::store::{Epoch, Error, ExpectedVersion, LeaseId, Put, Result, Store, StoreKey};

/// A watcher slot that this process holds under a lease. It only permits watching the store, so a
/// process that resumes after its lease has lapsed does no harm.
#[derive(Debug)]
pub(super) struct WatcherSlot {
    key: StoreKey,
    lease: LeaseId,
    ttl: Duration,
    renewed_at: Instant,
}

impl WatcherSlot {
    /// Takes a free slot, or returns `None` if all are taken.
    pub(super) async fn take<S: Store>(
        store: &S,
        domain: &FailureDomain,
        slots: u32,
        ttl: Duration,
        clock: &dyn Clock,
    ) -> Result<Option<Self>> {
        let prefix = StoreKey::try_new(&format!("watch/{domain}/"))?;
        let taken = store.list(&prefix).await?.entries;
        let keys = (0..slots).map(|number| watcher_key(domain, number));
        let free = keys.filter(|key| taken.iter().all(|entry| entry.key != *key));
        for key in free.collect::<Vec<_>>() {
            let granted_at = clock.now();
            let lease = store.grant(ttl).await?;
            if bind_key(store, &key, lease).await? {
                return Ok(Some(Self {
                    key,
                    lease,
                    ttl,
                    renewed_at: granted_at,
                }));
            }
        }
        Ok(None)
    }

    /// Returns the epoch of the store in which the slot was taken.
    pub(super) const fn epoch(&self) -> Epoch {
        self.lease.epoch()
    }

    pub(super) const fn key(&self) -> &StoreKey {
        &self.key
    }

    /// Renews the lease once a third of its time to live has passed. Returns whether the slot is still
    /// held.
    pub(super) async fn renew_if_due<S: Store>(&mut self, store: &S, clock: &dyn Clock) -> bool {
        let now = clock.now();
        if now >= self.renewed_at + self.ttl {
            return false;
        }
        if self.time_to_renewal(now).is_zero() {
            match store.renew(self.lease).await {
                // The renewal counts from before the call, which is the earliest time at which the store
                // may have renewed the lease.
                Ok(()) => self.renewed_at = now,
                Err(error) if error.is_lease_lost() => return false,
                Err(error) => log::debug!("lease of {} not renewed: {error}", self.key),
            }
        }
        true
    }

    /// Returns the time until the lease is due for renewal; zero if it is due.
    pub(super) fn time_to_renewal(&self, now: Instant) -> Duration {
        let due_at = self.renewed_at + self.ttl / 3;
        due_at.saturating_duration_since(now)
    }

    /// Releases the slot. If the call fails, the slot becomes free when the lease lapses.
    pub(super) async fn release<S: Store>(self, store: &S) {
        release_lease(store, self.lease).await;
    }
}

/// Writes a slot's key under a lease, and returns whether the slot was free. If the write fails or its
/// outcome is unknown, the lease is released, which also frees the slot.
async fn bind_key<S: Store>(store: &S, key: &StoreKey, lease: LeaseId) -> Result<bool> {
    let put = Put {
        key: key.clone(),
        value: Bytes::new(),
        expected: ExpectedVersion::Absent,
        lease: Some(lease),
    };
    match store.put(put).await {
        Ok(_) => Ok(true),
        Err(Error::Conflict { .. }) => {
            release_lease(store, lease).await;
            Ok(false)
        }
        Err(error) => {
            release_lease(store, lease).await;
            Err(error)
        }
    }
}

async fn release_lease<S: Store>(store: &S, lease: LeaseId) {
    if let Err(error) = store.release(lease).await {
        log::debug!("lease {lease} not released, it will lapse: {error}");
    }
}
