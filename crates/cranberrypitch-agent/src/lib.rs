//! The agent of cranberrypitch, which runs beside a backend server.
//!
//! An agent ends the QUIC connections of callers, decides which requests its backend server gets
//! and when, and announces the backend server to the balancers.

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
