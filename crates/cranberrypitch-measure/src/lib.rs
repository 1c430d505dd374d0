//! Measurements of policies and capacity on the decisions of the core, in simulated time.

pub mod admission;
pub(crate) mod timeline;
