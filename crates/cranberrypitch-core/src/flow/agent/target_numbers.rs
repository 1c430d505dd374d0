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

/// The maximum length of a range of sequence numbers: half of all numbers, so that later ones can be told from earlier
/// ones.
const MAX_RANGE_BYTES: u32 = u32::MAX / 2;

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

/// The sequence numbers from the SYN-ACK to the last payload byte. They wrap, so the range slides along with the
/// target on a long flow.
#[derive(Clone, Copy, Debug)]
struct SeqRange {
    /// The number of the SYN-ACK.
    first: u32,
    /// The number after the last payload byte.
    next: u32,
    /// The length of the range up to `next`, in bytes.
    len_bytes: u32,
}

impl SeqRange {
    const fn starting_at(first: u32) -> Self {
        Self {
            first,
            next: first,
            len_bytes: 0,
        }
    }

    const fn contains(self, ack_number: u32) -> bool {
        let end = self.next.wrapping_add(FLAG_SEQUENCE_NUMBERS);
        end.wrapping_sub(ack_number) <= self.len_bytes.saturating_add(FLAG_SEQUENCE_NUMBERS)
    }

    fn extend(&mut self, next: u32) {
        let ahead = next.wrapping_sub(self.next);
        // A retransmission is behind, which is a large distance ahead as numbers wrap.
        if ahead <= MAX_RANGE_BYTES {
            self.next = next;
            self.len_bytes = self.len_bytes.saturating_add(ahead).min(MAX_RANGE_BYTES);
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

    /// Returns which part of the flow the agent has seen.
    pub(super) const fn view(&self) -> FlowView {
        self.view
    }

    /// Processes a packet of the target other than a reset.
    pub(super) fn on_packet(&mut self, header: &PacketHeader) {
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
        self.range = Some(SeqRange::starting_at(seq_number));
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
