//! The agent of cranberrypitch, which runs beside a backend server.
//!
//! An agent terminates the QUIC connections of callers, controls the admission of their requests to
//! its backend server, and reports the state and load of the backend server to the balancers.

mod announce;
pub mod backend;
mod balancers;
mod body;
mod caller_paths;
mod daemon;
mod errors;
mod options;
pub mod process;
mod refused_callers;
mod return_path;
mod running_request;
mod server;
mod socket;
mod supervisor;
mod target;
mod token_issuer;

pub use crate::daemon::AgentHandle;
pub use crate::errors::{Error, Result};
pub use crate::options::{AgentIdentity, AgentOptions, AgentOptionsBuilder};
pub use crate::return_path::BalancerEndpoint;
pub use crate::socket::DropCounters;
pub use crate::target::TargetStatus;
