//! Names, numbers and ids.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use derive_more::Display;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use siphasher::sip::SipHasher24;

use crate::errors::{Error, Result};
use crate::newtype::number_type;

const MAX_NAME_CHARS: usize = 63;
const NAME_RULE: &str = "1 to 63 letters, digits, '-', '_' or '.'";

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash,
            SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name, or [`Error::Parse`] unless it consists of 1 to 63 ASCII letters,
            /// digits, `-`, `_` and `.`.
            pub fn try_new(name: &str) -> Result<Self> {
                if is_name(name) {
                    Ok(Self(name.into()))
                } else {
                    Err(Error::parse($kind, name, NAME_RULE))
                }
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                Self::try_new(text)
            }
        }
    };
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.chars().all(is_allowed)
}

name_type! {
    /// The name of a service in the configuration text.
    ServiceName, "service name"
}
name_type! {
    /// The name of a failure domain: a part of a region whose machines can fail together.
    FailureDomain, "failure domain"
}
name_type! {
    /// The name of a deployment, which has one configuration text.
    DeploymentName, "deployment name"
}
name_type! {
    /// The name of a region.
    Region, "region"
}
name_type! {
    /// The name of an organisation to which callers belong.
    OrganisationId, "tenant"
}
name_type! {
    /// The name of a VM, unique within a deployment.
    VmId, "VM id"
}

number_type! {
    /// The incarnation number of an agent or balancer; it increases with each restart.
    Incarnation, u64, "incarnation"
}
number_type! {
    /// The revision number of a configuration; each edit increases it by one.
    Revision, u64, "revision"
}
number_type! {
    /// The generation of a key, 0 to 15.
    KeyGeneration, u8, "key generation"
}
number_type! {
    /// The id of a request, unique at its agent.
    RequestId, u64, "request id"
}
number_type! {
    /// The 32-bit tag that identifies a service in packets; see [`ServiceTag::of`].
    ServiceTag, u32, "service tag"
}

impl Revision {
    /// Returns the next revision.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Incarnation {
    /// Returns the low 16 bits, which are part of routing tokens.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "only the low bits are needed"
    )]
    pub const fn low_u16(self) -> u16 {
        self.0 as u16
    }
}

impl ServiceTag {
    /// Returns the tag of the service with this name: the low 32 bits of an unkeyed SipHash-2-4 of
    /// the name, so that all processes derive the same tag.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the tag consists of the low bits of the hash"
    )]
    pub fn of(name: &ServiceName) -> Self {
        let mut hasher = SipHasher24::new_with_keys(0, 0);
        hasher.write(name.as_str().as_bytes());
        Self(hasher.finish() as u32)
    }
}

/// The 128-bit id of an edit of the configuration, chosen by the operator's command. It is written as
/// 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct EditId(u128);

impl EditId {
    /// Wraps a 128-bit value.
    pub const fn new(value: u128) -> Self {
        Self(value)
    }
}

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for EditId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match u128::from_str_radix(text, 16) {
            Ok(value) if text.len() == 32 => Ok(Self(value)),
            _ => Err(Error::parse("edit id", text, "32 hexadecimal digits")),
        }
    }
}
