//! Wire formats between the processes of cranberrypitch.
//!
//! Each decoder takes bytes from the network and returns a value or a typed error. Decoders never
//! panic, and the memory that they allocate is proportional to the length of their input.

pub(crate) mod cbor;
pub mod control;
pub mod errors;
pub mod peer;
pub mod relay;
pub mod report;
pub mod request;
pub mod tunnel;

pub use crate::errors::{Error, Result};
