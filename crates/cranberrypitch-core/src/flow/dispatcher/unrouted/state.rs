//! The state of a flow without a route.

use std::time::{Duration, Instant};

use crate::flow::arrival::Arrival;
use crate::flow::dispatcher::packet_buffer::FlowPacketBuffer;
use crate::flow::packet::PacketHeader;

/// A flow whose packets wait until it is known whether its route was dropped.
#[derive(Debug)]
pub(in crate::flow::dispatcher) struct RouteWait {
    /// The header of the latest packet.
    pub(super) header: PacketHeader,
    pub(super) packets: FlowPacketBuffer,
    /// The arrival of the first packet.
    pub(super) arrival: Arrival,
}

impl RouteWait {
    pub(in crate::flow::dispatcher) fn is_expired(&self, lifetime: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.arrival.read_at()) >= lifetime
    }
}
