//! Tests of the flow dispatcher and endpoint, without sockets.

mod dispatcher;
mod endpoint;
mod liveness;
mod load;
mod placement;
mod routes;
mod support;
mod waiting;
mod world;
