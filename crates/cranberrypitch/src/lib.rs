//! A layer-4 load balancer that operators drive by editing one text of services.
//!
//! This crate is the facade: it names what is public of the crates behind it, and holds the command
//! `cranberrypitch`. `docs/design.md` describes the system, `docs/command.md` the command.

pub mod command;
pub mod daemon;

/// Decisions and types, free of input and output.
pub use cranberrypitch_core as core;

/// Wire codecs: tunnel header, load reports, control messages, request frames.
pub use cranberrypitch_proto as proto;

/// The shared runtime of daemons and the operator's functions.
pub use cranberrypitch_net as net;

/// The balancer.
pub use cranberrypitch_balancer as balancer;

/// The agent beside each backend server.
pub use cranberrypitch_agent as agent;

/// The caller's library.
pub use cranberrypitch_caller as caller;

/// Stand-ins for the systems around cranberrypitch.
pub use cranberrypitch_standins as standins;

pub use cranberrypitch_caller::{
    Caller, Feed, FeedOptions, OrderOptions, OrderReport, Proxy, ProxyOptions, ServiceEndpoint,
    UploadOptions, UploadReport, place_order, query_order, upload,
};
pub use cranberrypitch_core::config::{ConfigText, Problems};
pub use cranberrypitch_core::{OrganisationId, Outcome, RequestClass, Revision, ServiceName};
pub use cranberrypitch_net::operator::{ApplyOutcome, Operator, OperatorOptions};
