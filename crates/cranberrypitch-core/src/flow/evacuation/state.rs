//! The set of evacuated failure domains and its version.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::FailureDomain;

/// The version of an [`EvacuationSet`]. Versions are ordered by epoch, then by revision. The default is the
/// version before the first evacuation.
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
#[display("{epoch}.{revision}")]
pub struct EvacuationVersion {
    /// The epoch of the store, which rises when the store is restored from a copy.
    pub epoch: u64,
    /// The revision of the store as of which the set is known.
    pub revision: u64,
}

/// The evacuated failure domains as of a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// The version of the set.
    pub version: EvacuationVersion,
    /// The evacuated failure domains.
    pub failure_domains: BTreeSet<FailureDomain>,
}

impl EvacuationSet {
    /// Returns whether a failure domain is evacuated.
    pub fn contains(&self, failure_domain: &FailureDomain) -> bool {
        self.failure_domains.contains(failure_domain)
    }

    /// Replaces the set by one with a higher version, and ignores any other. Returns whether it was replaced.
    pub fn replace_by_newer(&mut self, set: Self) -> bool {
        let is_newer = set.version > self.version;
        if is_newer {
            *self = set;
        }
        is_newer
    }
}
