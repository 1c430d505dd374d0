//! Wire formats between the processes of cranberrypitch.
//!
//! Each decoder takes bytes from the network and returns a value or a typed error. None of them
//! panics, and none allocates more than the size of its input asks for.

pub(crate) mod cbor;
pub mod control;
pub mod errors;
pub mod peer;
pub mod relay;
pub mod report;
pub mod request;
pub mod tunnel;

pub use crate::errors::{Error, Result};
