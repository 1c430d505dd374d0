//! Stand-ins for the systems that cranberrypitch works with, for tests and the demo.
//!
//! `docs/standins.md` describes each stand-in and its options.

pub mod backend;
pub mod certs;
pub mod deployment;
pub mod errors;
pub mod fabric;
pub mod settings;
pub mod store;
pub mod workload;

pub use crate::deployment::{Deployment, DeploymentOptions};
pub use crate::errors::{Error, Result};
