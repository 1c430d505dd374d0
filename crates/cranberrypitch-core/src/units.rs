//! Sizes and limits.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};

macro_rules! count_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Returns the count with this value.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the value.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                match text.parse() {
                    Ok(value) => Ok(Self(value)),
                    Err(_) => Err(Error::parse($kind, text, "a whole number")),
                }
            }
        }
    };
}

count_type! {
    /// The number of requests that a backend server runs at once.
    Slots, u32, "number of slots"
}
count_type! {
    /// The number of connections that a backend server holds at once.
    ConnectionLimit, u32, "number of connections"
}
count_type! {
    /// A size in bytes.
    ByteSize, u64, "size in bytes"
}
count_type! {
    /// The number of requests of one tenant that wait at one target.
    QueueLimit, u32, "number of waiting requests"
}
