//! Tests of the flow dispatcher and endpoint, without sockets.

mod backlog;
mod dispatcher;
mod endpoint;
mod liveness;
mod load;
mod routes;
mod selection;
mod support;
mod world;
