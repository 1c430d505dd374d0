//! Sizes and limits.

use std::str::FromStr;

use crate::errors::{Error, Result};
use crate::newtype::number_type;

number_type! {
    /// The number of requests that a backend server runs at once.
    Slots, u32, "number of slots"
}
number_type! {
    /// The number of connections that a backend server holds at once.
    ConnectionLimit, u32, "number of connections"
}
number_type! {
    /// A size in bytes.
    ByteSize, u64, "size in bytes"
}
number_type! {
    /// The number of requests of one organisation that wait at one target.
    QueueLimit, u32, "number of waiting requests"
}
