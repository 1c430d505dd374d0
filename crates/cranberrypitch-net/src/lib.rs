//! The shared runtime of the cranberrypitch daemons: store clients, configuration, control channel,
//! keys, settings, log events and metrics.

pub mod config_editor;
pub mod config_store;
pub mod config_sync;
mod config_writes;
pub mod control;
pub mod daemon;
pub mod errors;
pub mod evacuation;
pub mod events;
pub mod http_client;
pub(crate) mod json;
pub mod keys;
pub mod metrics;
pub mod peers;
pub mod registry;
pub mod settings;
pub mod store;
pub mod tls;
pub mod udp;

pub use crate::control::{ControlClient, ControlServer};
pub use crate::errors::{Error, Result};
pub use crate::events::Event;
pub use crate::keys::KeyRing;
pub use crate::metrics::{Metrics, RequestHistograms};
pub use crate::settings::{AgentSettings, BalancerSettings};
