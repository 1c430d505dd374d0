//! The failure domains that operators have evacuated, as a balancer follows them in the store.

use std::collections::BTreeSet;

use crate::ids::FailureDomain;

/// The names of evacuated failure domains.
pub type EvacuatedDomains = BTreeSet<FailureDomain>;

/// The version of the store at a reading. Versions are ordered by epoch, then by revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvacuationVersion {
    /// The epoch of the store, which rises when the store is restored from a copy.
    pub epoch: u64,
    /// The revision of the store within the epoch.
    pub revision: u64,
}

/// The evacuations in force. Only a later reading of the store changes them, so they stay in force while
/// the store is away.
#[derive(Debug, Default)]
pub struct Evacuations {
    version: Option<EvacuationVersion>,
    listed: EvacuatedDomains,
    /// Domains that were evacuated before the store was restored from a copy and have not been listed
    /// since. The operator needs time to evacuate them again.
    unconfirmed: EvacuatedDomains,
    readings_left: u32,
}

impl Evacuations {
    /// Applies a reading of the store unless an earlier one was newer. Domains that are missing after a
    /// restoration of the store stay evacuated for `kept_readings` readings.
    pub fn on_reading(
        &mut self,
        version: EvacuationVersion,
        listed: EvacuatedDomains,
        kept_readings: u32,
    ) {
        if self.version.is_some_and(|known| version < known) {
            return;
        }
        let is_restored = self
            .version
            .is_some_and(|known| known.epoch < version.epoch);
        if is_restored {
            self.unconfirmed = self.in_force();
            self.readings_left = kept_readings;
        }
        self.version = Some(version);
        self.unconfirmed.retain(|domain| !listed.contains(domain));
        if self.readings_left == 0 {
            self.unconfirmed.clear();
        }
        self.readings_left = self.readings_left.saturating_sub(1);
        self.listed = listed;
    }

    /// Returns the evacuated failure domains.
    pub fn in_force(&self) -> EvacuatedDomains {
        self.listed.union(&self.unconfirmed).cloned().collect()
    }
}
