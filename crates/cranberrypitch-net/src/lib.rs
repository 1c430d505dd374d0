//! Shared runtime of the cranberrypitch daemons.

pub mod store;
