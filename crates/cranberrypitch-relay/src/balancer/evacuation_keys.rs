//! The keys of evacuations in a read of the operators' keys.

use cranberrypitch_core::FailureDomain;
use cranberrypitch_core::flow::{EvacuationChange, EvacuationContents, EvacuationRead};
use cranberrypitch_net::store::{KeyChange, StoreKey, Version};

use crate::log;
use crate::platform::{OperatorKey, Platform};
use crate::store::prefix_watcher::PrefixRead;

/// Returns what a read up to `version` contains about evacuations. Logs the number of malformed keys and the
/// first of them.
pub(crate) fn evacuation_read<P: Platform>(read: &PrefixRead, version: Version) -> EvacuationRead {
    let mut refused = RefusedKeys::default();
    let contents = match read {
        PrefixRead::Listing(entries) => {
            let domain = |key| failure_domain::<P>(key, &mut refused);
            let keys = entries.iter().map(|entry| &entry.key);
            EvacuationContents::Listing(keys.filter_map(domain).collect())
        }
        PrefixRead::Changes(changes) => {
            let change = |change: &KeyChange| {
                let written_at = change.entry.as_ref().map(|entry| entry.version.number());
                Some(EvacuationChange {
                    failure_domain: failure_domain::<P>(&change.key, &mut refused)?,
                    written_at,
                })
            };
            EvacuationContents::Changes(changes.iter().filter_map(change).collect())
        }
    };
    refused.log();
    EvacuationRead {
        epoch: version.epoch().get(),
        revision: version.number(),
        contents,
    }
}

/// Returns the failure domain that a key evacuates, if it is the key of an evacuation.
fn failure_domain<P: Platform>(key: &StoreKey, refused: &mut RefusedKeys) -> Option<FailureDomain> {
    match P::operator_key(key) {
        OperatorKey::Evacuation(failure_domain) => Some(failure_domain),
        OperatorKey::MalformedEvacuation => {
            refused.add(key);
            None
        }
        OperatorKey::Configuration | OperatorKey::Other => None,
    }
}

/// The malformed keys of a read. There may be thousands, so they share one log line.
#[derive(Debug, Default)]
struct RefusedKeys {
    count: usize,
    first: Option<StoreKey>,
}

impl RefusedKeys {
    fn add(&mut self, key: &StoreKey) {
        self.count += 1;
        self.first.get_or_insert_with(|| key.clone());
    }

    fn log(&self) {
        if let Some(key) = &self.first {
            let count = self.count;
            tracing::warn!(target: log::TARGET, event = "EvacuationRefused", count, %key);
        }
    }
}
