//! The targets of a simulated deployment.

use std::collections::HashMap;

use cranberrypitch_core::flow::{FlowKey, PacketFlags, PacketHeader};

use super::simulation::Service;
use crate::support::{from_target, syn_ack};

/// The payload of a response.
const RESPONSE_BYTES: u16 = 100;

/// The number of processes in a group whose first sequence numbers are near each other.
const GROUP_LEN: u32 = 4;

/// The distance of the first sequence numbers of two groups.
const GROUP_DISTANCE: u32 = 1 << 26;

/// The distance of the first sequence numbers of two processes of a group, which is more than a flow sends here.
const PROCESS_DISTANCE: u32 = 19_000;

/// The number by which the sequence numbers of a group begin before its multiple of [`GROUP_DISTANCE`], so that those
/// of the first process wrap with its first responses.
const WRAP_LEAD: u32 = 300;

/// A flow at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetFlow {
    first_seq: u32,
    next_seq: u32,
    is_open: bool,
}

/// What a target does with a packet of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) enum TargetReply {
    SynAck(PacketHeader),
    Response(PacketHeader),
    /// The target does not hold the flow and returns the packet.
    Returned,
}

#[derive(Debug)]
pub(super) struct Target {
    pub(super) service: Service,
    pub(super) process: u64,
    pub(super) sequence: u64,
    pub(super) is_draining: bool,
    pub(super) flows: HashMap<FlowKey, TargetFlow>,
}

impl Target {
    pub(super) fn new(service: Service, process: u64) -> Self {
        Self {
            service,
            process,
            sequence: 0,
            is_draining: false,
            flows: HashMap::new(),
        }
    }

    /// Returns the sequence number of the SYN-ACKs of the process, which differs from those of all others.
    fn first_seq(&self) -> u32 {
        let process = u32::try_from(self.process).unwrap();
        let (group, place) = ((process - 1) / GROUP_LEN, (process - 1) % GROUP_LEN);
        let start = group.wrapping_mul(GROUP_DISTANCE);
        (start + place * PROCESS_DISTANCE).wrapping_sub(WRAP_LEAD)
    }

    /// Processes a packet of a caller. Retransmissions of a SYN may be accepted by several targets; the flow is open
    /// at the one whose number its caller acknowledges.
    pub(super) fn receive(&mut self, received: &PacketHeader) -> TargetReply {
        let key = received.flow_from_caller();
        let first_seq = self.first_seq();
        if received.is_syn() {
            let accepted = TargetFlow {
                first_seq,
                next_seq: first_seq,
                is_open: false,
            };
            let flow = self.flows.entry(key).or_insert(accepted);
            return TargetReply::SynAck(syn_ack(key, flow.first_seq));
        }
        match self.flows.get_mut(&key) {
            Some(flow) if flow.is_open || received.ack_number == flow.first_seq => {
                flow.is_open = true;
                let response = from_target(key, PacketFlags::ACK, flow.next_seq, RESPONSE_BYTES);
                flow.next_seq = flow.next_seq.wrapping_add(u32::from(RESPONSE_BYTES));
                TargetReply::Response(response)
            }
            _ => TargetReply::Returned,
        }
    }
}
