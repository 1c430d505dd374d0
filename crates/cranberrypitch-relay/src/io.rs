//! The clock, the sockets and the HTTP server of the daemons.

pub(crate) mod clock;
pub(crate) mod http_server;
pub(crate) mod sockets;
