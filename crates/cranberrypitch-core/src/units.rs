//! Newtypes for sizes and limits.

use std::str::FromStr;

use crate::errors::{Error, Result};
use crate::newtype::number_type;

number_type! {
    /// The number of requests that a backend server runs concurrently.
    Slots, u32, "number of slots"
}
number_type! {
    /// The maximum number of concurrent connections of a backend server.
    ConnectionLimit, u32, "number of connections"
}
number_type! {
    /// A rate of requests, per second.
    RequestRate, u32, "number of requests per second"
}
number_type! {
    /// A size in bytes.
    ByteSize, u64, "size in bytes"
}
number_type! {
    /// The maximum number of waiting requests of one organisation at one target.
    QueueLimit, u32, "number of waiting requests"
}
