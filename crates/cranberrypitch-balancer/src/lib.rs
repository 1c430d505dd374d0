//! The balancer of cranberrypitch.
//!
//! A balancer forwards datagrams between callers and agents. It keeps no state for established flows:
//! the connection id of a packet carries its route. Only the first packet of a flow is placed.

mod counters;
mod daemon;
mod errors;
mod membership;
mod options;
pub mod process;
pub mod route;
mod router;
mod sampler;
mod target_events;
mod traffic;

pub use crate::counters::TrafficCounters;
pub use crate::daemon::{BalancerHandle, ServiceAddress};
pub use crate::errors::{Error, Result};
pub use crate::options::{BalancerIdentity, BalancerOptions, BalancerOptionsBuilder};
pub use cranberrypitch_net::events::DropReason;
