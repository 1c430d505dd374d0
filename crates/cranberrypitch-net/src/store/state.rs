//! The content of an in-memory store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;

use crate::store::errors::{Error, Result};
use crate::store::{
    Entry, Epoch, EpochEnded, ExpectedVersion, KeyChange, LeaseId, Listing, MAX_VALUE_BYTES, Put,
    SetEpoch, StoreKey, Version, WatchOutcome,
};

/// The number of writes in the log. A watch that is further behind has to list again.
const MAX_LOG_ENTRIES: usize = 10_000;

#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    epoch: Epoch,
    version: u64,
    entries: BTreeMap<StoreKey, Entry>,
    leases: FastMap<LeaseId, Lease>,
    next_lease_id: u64,
    log: VecDeque<(Version, StoreKey)>,
    log_starts_after: Version,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    lapses_at: Instant,
    keys: BTreeSet<StoreKey>,
}

impl State {
    pub(crate) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Replaces the content by that of a copy, as after a loss of the store. The leases of the copy are
    /// granted anew for their full time to live.
    pub(crate) fn restore(&mut self, copy: Self, now: Instant) {
        let epoch = Epoch::new(self.epoch.get() + 1);
        *self = Self { epoch, ..copy };
        self.log_starts_after.set_epoch(epoch);
        for (version, _) in &mut self.log {
            version.set_epoch(epoch);
        }
        for entry in self.entries.values_mut() {
            entry.set_epoch(epoch);
        }
        let leases = std::mem::take(&mut self.leases);
        for (id, lease) in leases {
            let lapses_at = now + lease.ttl;
            let lease = Lease { lapses_at, ..lease };
            self.leases.insert(id.in_epoch(epoch), lease);
        }
    }

    /// Checks that the version or the lease of a call is of the present epoch.
    fn check_epoch(&self, issued_in: Epoch) -> Result<()> {
        let newest = self.epoch;
        if issued_in != newest {
            return Err(EpochEnded { issued_in, newest }.into());
        }
        Ok(())
    }

    /// Ends the leases that have lapsed. Returns whether there were any.
    pub(crate) fn expire_leases(&mut self, now: Instant) -> bool {
        let lapsed: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.lapses_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &lapsed {
            self.end_lease(*id);
        }
        !lapsed.is_empty()
    }

    pub(crate) fn get(&self, key: &StoreKey) -> Option<Entry> {
        self.entries.get(key).cloned()
    }

    pub(crate) fn put(&mut self, put: Put) -> Result<Version> {
        if put.value.len() > MAX_VALUE_BYTES {
            return Err(Error::ValueTooLong {
                len_bytes: put.value.len(),
                limit_bytes: MAX_VALUE_BYTES,
            });
        }
        put.epoch().map_or(Ok(()), |e| self.check_epoch(e))?;
        let current = self.entries.get(&put.key).map(|e| e.version);
        let expected = match put.expected {
            ExpectedVersion::Absent => None,
            ExpectedVersion::Version(version) => Some(version),
        };
        if current != expected {
            return Err(Error::Conflict { current });
        }
        self.attach(&put.key, put.lease)?;
        let version = self.next_version(&put.key);
        let entry = Entry {
            key: put.key.clone(),
            value: put.value,
            version,
            lease: put.lease,
        };
        self.entries.insert(put.key, entry);
        Ok(version)
    }

    pub(crate) fn delete(&mut self, key: &StoreKey, version: Version) -> Result<()> {
        self.check_epoch(version.epoch())?;
        let current = self.entries.get(key).map(|e| e.version);
        if current != Some(version) {
            return Err(Error::Conflict { current });
        }
        self.remove(key);
        Ok(())
    }

    pub(crate) fn list(&self, prefix: &StoreKey) -> Listing {
        let candidates = self.entries.range(prefix.clone()..);
        let listed = candidates.take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()));
        Listing {
            version: self.newest_version(),
            entries: listed.map(|(_, entry)| entry.clone()).collect(),
        }
    }

    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.next_lease_id += 1;
        let id = LeaseId::new(self.epoch, self.next_lease_id);
        let lease = Lease {
            ttl,
            lapses_at: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    pub(crate) fn renew(&mut self, id: LeaseId, now: Instant) -> Result<()> {
        self.check_epoch(id.epoch())?;
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.lapses_at = now + lease.ttl;
                Ok(())
            }
            None => Err(Error::LeaseLapsed { lease: id }),
        }
    }

    pub(crate) fn release(&mut self, id: LeaseId) -> Result<()> {
        self.check_epoch(id.epoch())?;
        if self.end_lease(id) {
            Ok(())
        } else {
            Err(Error::LeaseLapsed { lease: id })
        }
    }

    /// Returns the changes under a prefix after a version, or `None` if there are none yet.
    pub(crate) fn changes(&self, prefix: &StoreKey, after: Version) -> Option<WatchOutcome> {
        let is_known = (self.log_starts_after..=self.newest_version()).contains(&after);
        if after.epoch() != self.epoch || !is_known {
            return Some(WatchOutcome::Reset);
        }
        let first = self.log.partition_point(|(version, _)| *version <= after);
        let keys: BTreeSet<_> = self
            .log
            .range(first..)
            .map(|(_, key)| key)
            .filter(|key| key.as_str().starts_with(prefix.as_str()))
            .collect();
        if keys.is_empty() {
            return None;
        }
        let change = |key: &StoreKey| KeyChange {
            key: key.clone(),
            entry: self.get(key),
        };
        Some(WatchOutcome::Changed {
            version: self.newest_version(),
            changes: keys.into_iter().map(change).collect(),
        })
    }

    fn attach(&mut self, key: &StoreKey, lease: Option<LeaseId>) -> Result<()> {
        if let Some(id) = lease {
            let Some(lease) = self.leases.get_mut(&id) else {
                return Err(Error::LeaseLapsed { lease: id });
            };
            lease.keys.insert(key.clone());
        }
        let previous = self.entries.get(key).and_then(|e| e.lease);
        if previous != lease {
            self.detach(key, previous);
        }
        Ok(())
    }

    fn detach(&mut self, key: &StoreKey, lease: Option<LeaseId>) {
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn end_lease(&mut self, id: LeaseId) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        for key in &lease.keys {
            self.remove(key);
        }
        true
    }

    fn remove(&mut self, key: &StoreKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.detach(key, entry.lease);
            self.next_version(key);
        }
    }

    const fn newest_version(&self) -> Version {
        Version::new(self.epoch, self.version)
    }

    fn next_version(&mut self, key: &StoreKey) -> Version {
        self.version += 1;
        let version = self.newest_version();
        self.log.push_back((version, key.clone()));
        if self.log.len() > MAX_LOG_ENTRIES
            && let Some((dropped, _)) = self.log.pop_front()
        {
            self.log_starts_after = dropped;
        }
        version
    }
}
