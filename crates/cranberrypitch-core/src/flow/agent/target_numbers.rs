//! What an agent knows of the sequence numbers that its target uses for a flow.
//!
//! Retransmissions of a SYN may be accepted by several targets, each with its own numbers, and the caller follows
//! one of them. That a caller follows another target can only be told from numbers that were seen whole: an
//! agent that started after the flow was opened knows neither the first number nor how far the target has come, and
//! a late copy of the SYN shows only the first one.

use crate::flow::event::FlowEvent;
use crate::flow::flow_view::FlowView;
use crate::flow::packet::{FlowKey, PacketHeader};

/// The number of sequence numbers beyond the last payload byte that a caller may acknowledge, for flags
/// that each occupy a sequence number.
const FLAG_SEQUENCE_NUMBERS: u32 = 4;

/// Which target a caller follows, as shown by the number that it acknowledges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FollowedTarget {
    /// The target of this agent.
    This,
    /// Another one, as the target of this agent did not send the number.
    Other,
    /// Either: the number may be one that the target sent before the agent started.
    Unknown,
}

/// The sequence numbers from the SYN-ACK to the last payload byte.
#[derive(Clone, Copy, Debug)]
struct SeqRange {
    first: u32,
    next: u32,
}

impl SeqRange {
    const fn contains(self, ack_number: u32) -> bool {
        let len = self.next.wrapping_sub(self.first);
        ack_number.wrapping_sub(self.first) <= len.wrapping_add(FLAG_SEQUENCE_NUMBERS)
    }

    const fn extend(&mut self, next: u32) {
        let is_further = next.wrapping_sub(self.first) > self.next.wrapping_sub(self.first);
        let is_near = next.wrapping_sub(self.first) < u32::MAX / 2;
        if is_further && is_near {
            self.next = next;
        }
    }
}

/// The known sequence numbers of a target on a flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetNumbers {
    view: FlowView,
    /// The numbers since the last SYN-ACK; none before one was seen.
    range: Option<SeqRange>,
    /// Whether the target sent a packet that it sends only on an open flow, so that the caller follows it.
    is_open: bool,
}

impl TargetNumbers {
    pub(super) const fn new(view: FlowView) -> Self {
        Self {
            view,
            range: None,
            is_open: false,
        }
    }

    /// Processes a packet of the target other than a reset.
    pub(super) const fn on_packet(&mut self, header: &PacketHeader) {
        if header.is_syn_ack() {
            self.on_syn_ack(header.seq_number);
            return;
        }
        self.is_open = true;
        if let Some(range) = &mut self.range {
            range.extend(header.next_seq());
        }
    }

    const fn on_syn_ack(&mut self, seq_number: u32) {
        if let Some(range) = &self.range {
            if range.first == seq_number {
                return;
            }
            // A later process of the target accepted the flow with new sequence numbers.
            self.is_open = false;
        }
        self.range = Some(SeqRange {
            first: seq_number,
            next: seq_number,
        });
    }

    /// Returns which target a caller with the given acknowledgement number follows.
    pub(super) fn followed_target(&self, ack_number: u32) -> FollowedTarget {
        let is_in_range = self.range.map(|range| range.contains(ack_number));
        match (self.view, is_in_range) {
            (_, Some(true)) => FollowedTarget::This,
            (FlowView::Whole, Some(false)) => FollowedTarget::Other,
            _ if self.is_open => FollowedTarget::This,
            _ => FollowedTarget::Unknown,
        }
    }

    /// Returns the event that the target does not hold the flow of a caller with the given acknowledgement number.
    pub(super) fn not_held_event(&self, flow: FlowKey, ack_number: u32) -> Option<FlowEvent> {
        let range = self.range?;
        Some(FlowEvent::NotHeld {
            flow,
            ack_number,
            first_seq: range.first,
            next_seq: range.next,
            view: self.view,
        })
    }
}
