//! The agent of cranberrypitch, which runs beside a backend server.
//!
//! An agent terminates the QUIC connections of callers, controls the admission of their requests to
//! its backend server, and reports the state and load of the backend server to the balancers.

mod announce;
pub mod backend;
mod balancers;
mod body;
mod daemon;
mod errors;
mod flows;
mod ids;
mod options;
pub mod process;
mod returns;
mod run;
mod server;
mod socket;
mod supervisor;
mod target;

pub use crate::daemon::AgentHandle;
pub use crate::errors::{Error, Result};
pub use crate::options::{AgentIdentity, AgentOptions, AgentOptionsBuilder};
pub use crate::returns::BalancerEndpoint;
pub use crate::socket::DropCounters;
pub use crate::target::TargetStatus;
