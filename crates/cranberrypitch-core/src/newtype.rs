//! A macro for newtypes over integers.

/// Declares a newtype over an unsigned integer with `Display`, `FromStr` and transparent
/// serialization.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps `value`; every value of the inner type is valid.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the wrapped integer.
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

pub(crate) use number_type;
