//! Packets to addresses without a route.
//!
//! The route of an open flow may have been dropped, or it may be newer than the configuration in force:
//! balancers learn of a change at different times. A packet that may belong to an open flow therefore
//! waits until the store has been read after its arrival.

pub(super) mod state;

use std::time::Instant;

use self::state::RouteWait;
use super::Dispatcher;
use super::packet_buffer::{BufferedPacket, FlowPacketBuffer};
use super::table::FlowState;
use crate::flow::arrival::Arrival;
use crate::flow::cause::{DropCause, ResetCause};
use crate::flow::message::{Action, dropped, reset};
use crate::flow::packet::{FlowKey, PacketFlags, PacketHeader};
use crate::flow::reset_evidence::ResetEvidence;
use crate::flow::syn_transmissions::SynTransmissions;

/// The maximum number of flows that wait, which bounds the memory of their packets.
const MAX_WAITING_FLOWS: usize = 512;

impl Dispatcher {
    /// Processes a packet to an address without a route. A new flow is refused at once; any other packet
    /// waits for a read of the configuration.
    pub(super) fn on_unrouted<'a>(
        &mut self,
        header: &PacketHeader,
        packet: &[u8],
        arrival: Arrival,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        let now = arrival.read_at();
        if header.flags.contains(PacketFlags::RST) {
            self.flows.remove(&flow);
            return Vec::new();
        }
        let transmissions = SynTransmissions::first(header, arrival);
        if let Some(evidence) = ResetEvidence::not_opened(transmissions, ResetCause::NoRoute, now) {
            self.flows.remove(&flow);
            return reset(header, evidence);
        }
        if let Some(entry) = self.flows.get_mut(&flow)
            && let FlowState::AwaitingRoute(wait) = &mut entry.state
        {
            wait.header = *header;
            return if wait.packets.push_distinct(packet) {
                Vec::new()
            } else {
                dropped(flow, DropCause::BufferFull)
            };
        }
        if self.flows.pending_len() >= MAX_WAITING_FLOWS {
            self.flows.remove(&flow);
            return dropped(flow, DropCause::RouteUnknown);
        }
        let mut packets = FlowPacketBuffer::default();
        packets.push_distinct(packet);
        let wait = RouteWait {
            header: *header,
            packets,
            arrival,
        };
        let state = FlowState::AwaitingRoute(Box::new(wait));
        self.flows.insert(flow, state, now);
        vec![Action::CheckConfig]
    }

    /// Records that the store had no newer configuration than the one in force at `as_of`. Flows without
    /// a route whose packets arrived before are reset, so that their callers do not wait.
    pub fn on_config_read(&mut self, as_of: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        for flow in self.flows.pending_flows() {
            if self.routes.route(flow.service_address).is_none()
                && let Some(wait) = self.route_wait(flow)
                && let Some(evidence) = ResetEvidence::route_dropped(wait.arrival.read_at(), as_of)
            {
                actions.extend(reset(&wait.header, evidence));
                self.flows.remove(&flow);
            }
        }
        actions
    }

    /// Takes out the packets of flows that have waited for a route which is known now.
    pub(super) fn take_routed_packets(&mut self) -> Vec<BufferedPacket> {
        let mut packets = Vec::new();
        for flow in self.flows.pending_flows() {
            if self.route_wait(flow).is_some()
                && self.routes.route(flow.service_address).is_some()
                && let Some(FlowState::AwaitingRoute(mut wait)) = self.flows.remove(&flow)
            {
                let arrival = wait.arrival;
                let buffered = |packet| BufferedPacket { packet, arrival };
                packets.extend(wait.packets.take().into_iter().map(buffered));
            }
        }
        packets
    }

    fn route_wait(&self, flow: FlowKey) -> Option<&RouteWait> {
        match &self.flows.get(&flow)?.state {
            FlowState::AwaitingRoute(wait) => Some(wait),
            _ => None,
        }
    }
}
