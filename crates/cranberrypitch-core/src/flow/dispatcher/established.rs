//! Where a balancer forwards the packets of an open flow.

use std::net::SocketAddrV4;

use crate::ids::ServiceTag;

/// A flow that a target holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EstablishedFlow {
    /// The agent of the target.
    pub(super) agent: SocketAddrV4,
    /// The service that the flow was opened for; none if this balancer did not open it. The agent may
    /// serve another one by now, as addresses are reused.
    pub(super) service: Option<ServiceTag>,
}
