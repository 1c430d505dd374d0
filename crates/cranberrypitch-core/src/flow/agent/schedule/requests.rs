//! Requests of open flows that wait at an agent for a slot of its target.

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::Instant;

use super::decision::{RequestKind, WaitingRequest};
use super::queue::{QueuedPacket, QueuedRequest};
use crate::flow::agent::{FlowAgent, reset_orphan};
use crate::flow::cause::DropCause;
use crate::flow::event::FlowEvent;
use crate::flow::message::{Action, dropped};
use crate::flow::packet::{FlowKey, PacketFlags, PacketHeader};

/// What happens to a packet of an open flow.
enum PacketVerdict {
    Pass,
    /// The packet begins a request that has to wait.
    BeginWait(WaitingRequest),
    /// The packet belongs to the waiting request of the flow.
    Wait,
    /// A copy of the packet waits.
    Ignore,
    /// The caller ends the flow while its request waits.
    GiveUp,
    Drop(DropCause),
}

impl FlowAgent {
    /// Returns whether requests wait, so that [`Self::on_tick`] has to be called at a shorter interval.
    pub const fn has_waiting_requests(&self) -> bool {
        self.queue.len() > 0
    }

    /// Returns the number of waiting SYNs and requests of open flows.
    pub const fn waiting_requests(&self) -> usize {
        self.queue.len()
    }

    /// Processes a caller's packet of a flow that the target holds.
    pub(in super::super) fn on_packet_of_held_flow<'a>(
        &mut self,
        balancer: SocketAddrV4,
        header: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        let queued_packet = || QueuedPacket {
            balancer,
            header: *header,
            packet: packet.into(),
        };
        match self.packet_verdict(&flow, header, now) {
            PacketVerdict::Pass => self.pass_packet(balancer, header, packet.into(), now),
            PacketVerdict::BeginWait(request) => {
                self.queue.requests.push(QueuedRequest {
                    flow,
                    request,
                    packets: vec![queued_packet()],
                });
                Vec::new()
            }
            PacketVerdict::Wait => {
                if let Some(queued) = self.queue.request_mut(&flow) {
                    queued.packets.push(queued_packet());
                }
                Vec::new()
            }
            PacketVerdict::Ignore => Vec::new(),
            PacketVerdict::GiveUp => {
                self.queue.remove_request(&flow);
                self.flows.mark_data_dropped(&flow);
                self.pass_packet(balancer, header, packet.into(), now)
            }
            PacketVerdict::Drop(cause) => dropped(flow, cause),
        }
    }

    fn packet_verdict(
        &mut self,
        flow: &FlowKey,
        header: &PacketHeader,
        now: Instant,
    ) -> PacketVerdict {
        let Some(hosted) = self.flows.get(flow).copied() else {
            return PacketVerdict::Pass;
        };
        let is_ending =
            header.flags.contains(PacketFlags::FIN) || header.flags.contains(PacketFlags::RST);
        let has_new_data = hosted.has_new_data(header);
        if let Some(queued) = self.queue.request_mut(flow) {
            return match () {
                () if is_ending => PacketVerdict::GiveUp,
                () if !has_new_data => PacketVerdict::Pass,
                () if queued.has_copy_of(header) => PacketVerdict::Ignore,
                () if queued.is_full() => PacketVerdict::Drop(DropCause::BufferFull),
                () => PacketVerdict::Wait,
            };
        }
        if is_ending || !has_new_data {
            return PacketVerdict::Pass;
        }
        // The target lacks the data of the abandoned request, so it can't read what follows either.
        if hosted.is_data_missing() {
            return PacketVerdict::Drop(DropCause::RequestTimedOut);
        }
        // The admission of its SYN has already counted the first request of a flow.
        let may_wait = !self.is_stopping
            && hosted.may_begin_request()
            && hosted.is_caller_data_known()
            && !self.flows.is_request_expected(flow, now)
            && !self.queue.is_request_queue_full()
            && self.is_target_busy(now);
        match hosted.terms() {
            Some(terms) if may_wait && !terms.limits.timeout.is_zero() => {
                PacketVerdict::BeginWait(WaitingRequest {
                    kind: RequestKind::OpenFlow,
                    priority: terms.priority,
                    limits: terms.limits,
                    caller: *flow.caller.ip(),
                    arrived_at: now,
                })
            }
            _ => PacketVerdict::Pass,
        }
    }

    /// Passes a packet of an open flow to the target, and counts the request that it begins.
    fn pass_packet<'a>(
        &mut self,
        balancer: SocketAddrV4,
        header: &PacketHeader,
        packet: Cow<'a, [u8]>,
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        let mut actions = vec![Action::SendToTarget(packet)];
        let Some(hosted) = self.flows.get_mut(&flow) else {
            return actions;
        };
        let is_first = hosted.awaits_first_request();
        if hosted.on_caller_packet(balancer, header, &mut self.load_meter, now) {
            if !is_first {
                self.queue.on_passed(*flow.caller.ip(), now);
            }
            self.count_request_in_warmup(flow, now);
            let running_requests = self.load_meter.load(0, now).running_requests;
            actions.push(Action::RecordEvent(FlowEvent::RequestPassed {
                flow,
                balancer,
                running_requests,
            }));
        }
        actions
    }

    /// Passes the packets of a waiting request in the order of their arrival.
    pub(super) fn pass_queued_request(
        &mut self,
        queued: QueuedRequest,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        for QueuedPacket {
            balancer,
            header,
            packet,
        } in queued.packets
        {
            if self.flows.is_orphan(&queued.flow, header.ack_number) {
                return reset_orphan(&header);
            }
            let packet = Cow::Owned(packet.into_vec());
            actions.extend(self.pass_packet(balancer, &header, packet, now));
        }
        actions
    }

    /// Drops a request that can't be answered before its timeout. The flow stays open.
    pub(super) fn drop_queued_request(
        &mut self,
        queued: &QueuedRequest,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.flows.mark_data_dropped(&queued.flow);
        vec![Action::RecordEvent(FlowEvent::RequestTimedOut {
            flow: queued.flow,
            waited: now.saturating_duration_since(queued.request.arrived_at),
        })]
    }

    /// Passes all waiting requests of open flows to the target, which ended or whose agent stops: a target
    /// returns packets of flows that it does not hold.
    pub(in super::super) fn pass_all_queued_requests(
        &mut self,
        now: Instant,
    ) -> Vec<Action<'static>> {
        let queued = std::mem::take(&mut self.queue.requests);
        queued
            .into_iter()
            .flat_map(|queued| self.pass_queued_request(queued, now))
            .collect()
    }
}
