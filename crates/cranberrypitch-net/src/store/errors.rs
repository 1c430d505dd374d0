//! The errors of calls to the store.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::store::epoch::{Epoch, EpochEnded};
use crate::store::version::{LeaseId, SetEpoch, Version};

/// A result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// The errors of calls to the store.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Error {
    /// The store can't be reached or refuses calls. The call had no effect.
    #[display("store unavailable: {detail}")]
    Unavailable {
        /// What went wrong.
        detail: Box<str>,
    },
    /// The store answered a read, and the response is longer than the limit or did not arrive whole.
    #[display("response of the store not received: {detail}")]
    IncompleteResponse {
        /// What went wrong.
        detail: Box<str>,
    },
    /// The version of the key is not the expected one.
    #[display("key is not as expected, its version is {}", version_text(*current))]
    Conflict {
        /// The current version of the key, or `None` if there is no such key.
        current: Option<Version>,
    },
    /// The lease has lapsed, or never existed.
    #[display("lease {lease} has lapsed")]
    LeaseLapsed {
        /// The lease.
        lease: LeaseId,
    },
    /// The store was restored from a copy since it issued the version or the lease of the call.
    #[display("{_0}")]
    EpochEnded(EpochEnded),
    /// The value is longer than the store allows.
    #[display("value of {len_bytes} bytes is over the limit of {limit_bytes}")]
    ValueTooLong {
        /// The length of the value, in bytes.
        len_bytes: usize,
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// A text is not a valid key.
    #[display("'{text}' is not a key of the store: 1 to 512 letters, digits, '-', '_', '.' or '/'")]
    InvalidKey {
        /// The text, truncated to 80 characters.
        text: Box<str>,
    },
    /// The store rejected the call as invalid. It had no effect.
    #[display("call refused: {detail}")]
    Refused {
        /// What went wrong.
        detail: Box<str>,
    },
    /// It is unknown whether the write had an effect; it may still take effect later.
    #[display("outcome unknown: {detail}")]
    OutcomeUnknown {
        /// What went wrong.
        detail: Box<str>,
    },
}

impl Error {
    /// Returns an [`Error::Unavailable`].
    pub fn unavailable(detail: &impl ToString) -> Self {
        Self::Unavailable {
            detail: detail.to_string().into(),
        }
    }

    /// Returns an [`Error::Refused`].
    pub fn refused(detail: &impl ToString) -> Self {
        Self::Refused {
            detail: detail.to_string().into(),
        }
    }

    /// Returns an [`Error::OutcomeUnknown`].
    pub fn outcome_unknown(detail: &impl ToString) -> Self {
        Self::OutcomeUnknown {
            detail: detail.to_string().into(),
        }
    }

    /// Returns the error of a call without a usable answer: the outcome of a write is unknown, and a
    /// read has no effect.
    pub fn without_answer(is_write: bool, detail: &impl ToString) -> Self {
        if is_write {
            Self::outcome_unknown(detail)
        } else {
            Self::unavailable(detail)
        }
    }

    /// Returns whether the lease of the call is no longer held.
    pub const fn is_lease_lost(&self) -> bool {
        matches!(self, Self::LeaseLapsed { .. } | Self::EpochEnded(_))
    }

    /// Returns whether the call is known to have no effect, now and later.
    pub const fn has_no_effect(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown { .. })
    }
}

impl From<EpochEnded> for Error {
    fn from(ended: EpochEnded) -> Self {
        Self::EpochEnded(ended)
    }
}

impl SetEpoch for Error {
    fn set_epoch(&mut self, epoch: Epoch) {
        match self {
            Self::Conflict { current } => current.set_epoch(epoch),
            Self::LeaseLapsed { lease } => lease.set_epoch(epoch),
            _ => {}
        }
    }
}

fn version_text(version: Option<Version>) -> String {
    version.map_or("absent".into(), |v| v.to_string())
}
