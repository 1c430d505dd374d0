//! A layer-4 load balancer that is configured by one text file of services.
//!
//! This crate re-exports the public items of the other crates, and contains the command
//! `cranberrypitch`. `docs/design.md` describes the system, `docs/command.md` the command.

pub mod command;
pub mod daemon;

/// Decision logic and types without I/O.
pub use cranberrypitch_core as core;

/// Wire codecs: tunnel header, load reports, control messages, request frames.
pub use cranberrypitch_proto as proto;

/// Networking shared by the daemons: control sessions, store, TLS, metrics, and operator functions.
pub use cranberrypitch_net as net;

/// The balancer.
pub use cranberrypitch_balancer as balancer;

/// The agent beside each backend server.
pub use cranberrypitch_agent as agent;

/// The caller's library.
pub use cranberrypitch_caller as caller;

/// Stand-ins for the external systems: backend server, network fabric and store.
pub use cranberrypitch_standins as standins;

pub use cranberrypitch_caller::{
    Caller, Feed, FeedOptions, OrderOptions, OrderReport, Proxy, ProxyOptions, ServiceEndpoint,
    UploadOptions, UploadReport, place_order, query_order, upload,
};
pub use cranberrypitch_core::config::{ConfigText, Problems};
pub use cranberrypitch_core::{OrganisationId, Outcome, RequestClass, Revision, ServiceName};
pub use cranberrypitch_net::config_editor::{ApplyOutcome, ConfigEditor, ConfigEditorOptions};
