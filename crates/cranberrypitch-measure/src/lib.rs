//! Measurements of policies and capacity on the decisions of the core, in simulated time.

pub mod admission;
pub mod drain;
pub mod retry;
pub(crate) mod timeline;
