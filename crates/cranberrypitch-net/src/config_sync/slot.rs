//! The watcher slots of a failure domain.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrypitch_core::{Clock, FailureDomain};

use crate::config_store::watcher_key;
use crate::store::{Error, ExpectedVersion, LeaseId, Put, Result, Store, StoreKey};

/// A slot that this process holds until its lease lapses. Holding it permits nothing but to ask the
/// store, so a holder that wakes up after its lease lapsed does no harm.
#[derive(Debug)]
pub(super) struct Slot {
    key: StoreKey,
    lease: LeaseId,
    ttl: Duration,
    renewed_at: Instant,
}

impl Slot {
    /// Takes a free slot, or returns `None` when there is none.
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
            let asked_at = clock.now();
            let lease = store.grant(ttl).await?;
            if bind(store, &key, lease).await? {
                return Ok(Some(Self {
                    key,
                    lease,
                    ttl,
                    renewed_at: asked_at,
                }));
            }
        }
        Ok(None)
    }

    pub(super) const fn key(&self) -> &StoreKey {
        &self.key
    }

    /// Renews the lease when a third of its time has passed; returns whether the slot is still held.
    pub(super) async fn keep<S: Store>(&mut self, store: &S, clock: &dyn Clock) -> bool {
        let now = clock.now();
        if now >= self.renewed_at + self.ttl {
            return false;
        }
        if self.renewal_due(now).is_zero() {
            match store.renew(self.lease).await {
                // The lease counts from before the call, as the store may have renewed it then.
                Ok(()) => self.renewed_at = now,
                Err(Error::LeaseLapsed { .. }) => return false,
                Err(error) => log::debug!("{} is not renewed: {error}", self.key),
            }
        }
        true
    }

    /// Returns the time until the lease has to be renewed.
    pub(super) fn renewal_due(&self, now: Instant) -> Duration {
        let due_at = self.renewed_at + self.ttl / 3;
        due_at.saturating_duration_since(now)
    }

    /// Gives the slot up. If that fails, the lease lapses.
    pub(super) async fn release<S: Store>(self, store: &S) {
        release(store, self.lease).await;
    }
}

/// Binds a slot's key to a lease; returns whether the slot was free. A slot whose write has an unknown
/// outcome is given up with its lease.
async fn bind<S: Store>(store: &S, key: &StoreKey, lease: LeaseId) -> Result<bool> {
    let put = Put {
        key: key.clone(),
        value: Bytes::new(),
        expected: ExpectedVersion::Absent,
        lease: Some(lease),
    };
    match store.put(put).await {
        Ok(_) => Ok(true),
        Err(Error::Conflict { .. }) => {
            release(store, lease).await;
            Ok(false)
        }
        Err(error) => {
            release(store, lease).await;
            Err(error)
        }
    }
}

async fn release<S: Store>(store: &S, lease: LeaseId) {
    if let Err(error) = store.release(lease).await {
        log::debug!("lease {lease} is left to lapse: {error}");
    }
}
