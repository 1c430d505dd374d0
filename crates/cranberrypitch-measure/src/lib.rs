//! Measurements of policies and capacity, not shipped with the daemons.

pub mod config;
