//! Versions and leases, which are unique within an epoch of the store.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::store::epoch::Epoch;

/// A type whose values a store issues in one of its epochs.
///
/// The wire format carries the epoch once per response, so decoded values are in epoch 0 until the
/// client sets the epoch of the response.
pub trait SetEpoch {
    /// Sets the epoch in which the store issued the value.
    fn set_epoch(&mut self, epoch: Epoch);

    /// Returns the value with another epoch.
    #[must_use]
    fn in_epoch(mut self, epoch: Epoch) -> Self
    where
        Self: Sized,
    {
        self.set_epoch(epoch);
        self
    }
}

macro_rules! issued_number {
    ($(#[$docs:meta])* $name:ident) => {
        $(#[$docs])*
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
        #[display("{number}")]
        #[serde(from = "u64", into = "u64")]
        pub struct $name {
            epoch: Epoch,
            number: u64,
        }

        impl $name {
            /// Returns the value with a number that the store issued in an epoch.
            pub const fn new(epoch: Epoch, number: u64) -> Self {
                Self { epoch, number }
            }

            /// Returns the epoch in which the store issued the number.
            pub const fn epoch(self) -> Epoch {
                self.epoch
            }

            /// Returns the number.
            pub const fn number(self) -> u64 {
                self.number
            }
        }

        impl SetEpoch for $name {
            fn set_epoch(&mut self, epoch: Epoch) {
                self.epoch = epoch;
            }
        }

        impl From<u64> for $name {
            fn from(number: u64) -> Self {
                Self::new(Epoch::default(), number)
            }
        }

        impl From<$name> for u64 {
            fn from(value: $name) -> Self {
                value.number
            }
        }
    };
}

issued_number! {
    /// The version of the store, which increases with each write of any key. Versions of a later epoch
    /// are greater.
    Version
}
issued_number! {
    /// The identifier of a lease.
    LeaseId
}

impl<T: SetEpoch> SetEpoch for Option<T> {
    fn set_epoch(&mut self, epoch: Epoch) {
        if let Some(value) = self {
            value.set_epoch(epoch);
        }
    }
}

impl<T: SetEpoch> SetEpoch for Vec<T> {
    fn set_epoch(&mut self, epoch: Epoch) {
        for value in self {
            value.set_epoch(epoch);
        }
    }
}
