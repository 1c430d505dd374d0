//! Shared runtime of the cranberrypitch daemons.

pub mod config_store;
pub mod keeper;
pub mod operator;
pub mod store;
