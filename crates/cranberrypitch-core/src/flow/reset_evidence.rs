//! The evidence that the reset of a flow requires.
//!
//! A reset of a flow that its target still holds loses the caller's requests, so the lack of knowledge is
//! no reason for one: not an agent that is not listed, or a route that is not known. A balancer's evidence
//! is built from what shows that the flow is not open, or no longer; an agent sees by its target that the
//! flow has ended.
//!
//! Silence is no reason either, however long: a machine that is slow, or that starts a process again, holds its
//! flows. An agent counts as gone with its flows once its registration has ended in the store. Until then
//! callers of a VM that was lost wait for their own deadline.

use std::time::{Duration, Instant};

use super::cause::{ResetCause, ResetEvidenceKind};
use super::event::FlowEvent;
use super::packet::FlowKey;
use super::syn_transmissions::SynTransmissions;

/// Evidence that a flow may be reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResetEvidence {
    cause: ResetCause,
    kind: ResetEvidenceKind,
    /// The time from the packet or the last query to the read of the store that shows it.
    read_after: Option<Duration>,
}

impl ResetEvidence {
    /// All transmissions of a SYN came to this balancer, which has not opened the flow. Returns nothing if another
    /// balancer may have got one.
    pub(super) fn not_opened(
        transmissions: Option<SynTransmissions>,
        cause: ResetCause,
        now: Instant,
    ) -> Option<Self> {
        let evidence = Self::new(cause, ResetEvidenceKind::FirstSyn);
        let is_known = transmissions.is_some_and(|sent| sent.are_all_known(now));
        is_known.then_some(evidence)
    }

    /// The configuration in force has no route for a packet that arrived at `arrived_at`, and the store
    /// had no newer one at `config_as_of`. Returns nothing if the store was read before the packet
    /// arrived: the route may have been added since.
    pub(super) fn route_dropped(arrived_at: Instant, config_as_of: Instant) -> Option<Self> {
        let read_after = config_as_of.checked_duration_since(arrived_at)?;
        Some(Self {
            read_after: Some(read_after),
            ..Self::new(ResetCause::NoRoute, ResetEvidenceKind::Configuration)
        })
    }

    /// No agent that responds, of a list that is known as of `list_as_of`, holds the flow. Returns nothing if
    /// the list is older than `needed_as_of`, as it may lack the agent of the flow, or the planned stop of a
    /// silent one.
    pub(super) fn not_held(needed_as_of: Instant, list_as_of: Option<Instant>) -> Option<Self> {
        let read_after = list_as_of?.checked_duration_since(needed_as_of)?;
        Some(Self {
            read_after: Some(read_after),
            ..Self::new(ResetCause::FlowUnknown, ResetEvidenceKind::AgentList)
        })
    }

    /// The target returned a packet of a flow that it had accepted.
    pub(super) const fn returned_by_holder() -> Self {
        Self::new(ResetCause::FlowUnknown, ResetEvidenceKind::ReturnedPacket)
    }

    /// The process of the target that accepted the flow has ended.
    pub(super) const fn process_ended() -> Self {
        Self::new(ResetCause::FlowUnknown, ResetEvidenceKind::ProcessEnded)
    }

    const fn new(cause: ResetCause, kind: ResetEvidenceKind) -> Self {
        Self {
            cause,
            kind,
            read_after: None,
        }
    }

    /// Returns the event of the reset of a flow.
    pub(super) const fn reset_event(self, flow: FlowKey) -> FlowEvent {
        FlowEvent::Reset {
            flow,
            cause: self.cause,
            evidence: self.kind,
            read_after: self.read_after,
        }
    }
}
