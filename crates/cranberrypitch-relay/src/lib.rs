//! Daemons that relay whole packets between callers and backend servers.
//!
//! The balancer receives the packets of callers and forwards each one to the agent whose target
//! holds the flow. The agent runs on the VM of a backend server and relays all of its traffic.
//! [`cranberrypitch_core::flow`] makes the decisions; [`Platform`] translates the packet layout,
//! the configuration format and the protocols of the surrounding platform.

mod agent;
mod balancer;
mod daemon;
mod errors;
mod io;
mod log;
mod metrics;
mod operator;
mod platform;
mod run;
mod settings;
mod store;

pub use crate::agent::run_agent;
pub use crate::balancer::run_balancer;
pub use crate::errors::{Error, Result};
pub use crate::io::clock::BoottimeClock;
pub use crate::log::LineRateLimiter;
pub use crate::metrics::metrics_page;
pub use crate::operator::command::run_command;
pub use crate::operator::{explain, inspect};
pub use crate::platform::{ConfigWarning, OperatorKey, Platform, StoreOptions, TargetRequest};
pub use crate::run::{Role, run_daemon};
pub use crate::settings::RelaySettings;
