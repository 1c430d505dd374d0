//! The state of a flow that is being opened.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::flow::dispatcher::established::EstablishedFlow;
use crate::flow::packet::PacketHeader;
use crate::flow::routes::RequestLimits;
use crate::flow::syn_transmissions::SynTransmissions;
use crate::ids::{ServiceName, ServiceTag};

/// The number of times that agents may decline a flow for load. The balancer selects again from a fresh
/// report each time, so further declines rarely lead to a better target.
pub const MAX_DECLINES: u32 = 2;

/// The maximum number of times that the open timeout doubles.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// A flow whose SYN has not been accepted or finally refused yet.
#[derive(Debug)]
pub(in crate::flow::dispatcher) struct PendingOpen {
    pub(super) header: PacketHeader,
    pub(super) packet: Box<[u8]>,
    /// The transmissions of the SYN that this balancer has got; none if the first one is not among them.
    pub(super) transmissions: Option<SynTransmissions>,
    pub(super) service: ServiceName,
    pub(super) is_bulk: bool,
    pub(super) priority: u8,
    pub(super) limits: RequestLimits,
    /// The agent that the SYN was last sent to, or none while there is no ready target.
    pub(in crate::flow::dispatcher) agent: Option<SocketAddrV4>,
    /// The agents that refused the flow or did not reply.
    pub(super) failed_agents: Vec<SocketAddrV4>,
    /// The number of agents that did not reply in time.
    pub(super) unanswered_count: u32,
    /// The agents that declined the flow because their targets are or may be slow after their start. Their
    /// reports show little load, so a selection by load alone would choose them again.
    pub(super) cold_agents: Vec<SocketAddrV4>,
    /// Whether the caller has sent packets other than the SYN, so that a target has accepted the flow.
    pub(in crate::flow::dispatcher) is_accepted: bool,
    /// The number of times that agents declined the flow for load.
    pub(super) decline_count: u32,
    pub(super) started_at: Instant,
    /// The time from which the reply timeout counts.
    pub(super) sent_at: Instant,
}

impl PendingOpen {
    /// Returns whether the agent has not replied within the timeout, which doubles with each silent agent.
    pub(in crate::flow::dispatcher) fn is_timed_out(
        &self,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        let doublings = self.unanswered_count.min(MAX_TIMEOUT_DOUBLINGS);
        let timeout = timeout * 2_u32.saturating_pow(doublings);
        now.saturating_duration_since(self.sent_at) >= timeout
    }

    /// Returns the tag of the service that the route named for the flow.
    pub(in crate::flow::dispatcher) fn service_tag(&self) -> ServiceTag {
        ServiceTag::of(&self.service)
    }

    /// Returns the agent whose reply is awaited, unless the timeout for it has passed.
    pub(in crate::flow::dispatcher) fn awaited_agent(&self) -> Option<SocketAddrV4> {
        self.agent
            .filter(|agent| !self.failed_agents.contains(agent))
    }

    /// Returns where the flow would be established if the agent of the last attempt accepted it.
    pub(in crate::flow::dispatcher) fn last_attempt(&self) -> Option<EstablishedFlow> {
        let service = Some(self.service_tag());
        self.agent.map(|agent| EstablishedFlow { agent, service })
    }

    /// Returns the number of the current attempt, from 1.
    pub(super) fn attempt(&self) -> usize {
        self.failed_agents.len() + usize::try_from(self.decline_count).unwrap_or(usize::MAX) + 1
    }

    pub(super) const fn may_decline(&self) -> bool {
        self.decline_count < MAX_DECLINES
    }
}
