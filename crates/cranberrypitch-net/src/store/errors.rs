//! The failures of calls to the store.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::store::{LeaseId, Version};

/// A result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Error {
    /// The store can't be reached or refuses calls. The call took no effect.
    #[display("store unavailable: {detail}")]
    Unavailable {
        /// What went wrong.
        detail: Box<str>,
    },
    /// The key is not as expected.
    #[display("key is not as expected, its version is {}", show(*current))]
    Conflict {
        /// The version of the key, or `None` when there is no such key.
        current: Option<Version>,
    },
    /// The lease has lapsed or never existed.
    #[display("lease {lease} has lapsed")]
    LeaseLapsed {
        /// The lease.
        lease: LeaseId,
    },
    /// The value is longer than the store keeps.
    #[display("value of {len_bytes} bytes is over the limit of {limit_bytes}")]
    ValueTooLong {
        /// The length found.
        len_bytes: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// A text is no key.
    #[display("'{text}' is no key of the store: 1 to 512 letters, digits, '-', '_', '.' or '/'")]
    InvalidKey {
        /// The rejected text.
        text: Box<str>,
    },
    /// The store did not understand the call, which took no effect.
    #[display("call refused: {detail}")]
    Refused {
        /// What went wrong.
        detail: Box<str>,
    },
    /// It can't be told whether the write took effect, and it may do so later.
    #[display("outcome unknown: {detail}")]
    OutcomeUnknown {
        /// What went wrong.
        detail: Box<str>,
    },
}

impl Error {
    /// Returns an error of a store that can't be reached.
    pub fn unavailable(detail: &impl ToString) -> Self {
        Self::Unavailable {
            detail: detail.to_string().into(),
        }
    }

    /// Returns an error of a call that was not understood.
    pub fn refused(detail: &impl ToString) -> Self {
        Self::Refused {
            detail: detail.to_string().into(),
        }
    }

    /// Returns an error of a write with an unknown outcome.
    pub fn outcome_unknown(detail: &impl ToString) -> Self {
        Self::OutcomeUnknown {
            detail: detail.to_string().into(),
        }
    }

    /// Returns the error of a call without a usable answer. A read took no effect.
    pub fn without_answer(is_write: bool, detail: &impl ToString) -> Self {
        if is_write {
            Self::outcome_unknown(detail)
        } else {
            Self::unavailable(detail)
        }
    }

    /// Returns whether the call is known to have taken no effect, now and later.
    pub const fn has_no_effect(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown { .. })
    }
}

fn show(version: Option<Version>) -> String {
    version.map_or("absent".into(), |v| v.to_string())
}
