//! Opening packets that wait at an agent for a slot of its target.
//!
//! After a loss of power, or when many callers come at once, more requests arrive than targets serve.
//! In a queue of the target each of them becomes late. Here the most urgent go first, as the operator
//! ranks routes, and of those the newest: its caller can still be answered in time. Those that wait too
//! long are told to come back.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{Endpoint, refuse};
use crate::flow::message::{Action, Message, OpenParams, RefusalCause};
use crate::flow::packet::FlowKey;

/// Requests for each slot, running ones included, that a target gets before openings wait. One behind each
/// running one keeps the slot busy while the next flow opens.
pub const MAX_REQUESTS_PER_SLOT: u32 = 2;

/// Openings that wait at most.
const MAX_WAITING: usize = 256;

/// Returns which of the waiting openings goes next, by their priorities in the order of arrival: the
/// newest of the most urgent ones.
pub fn next_queued_syn(priorities: impl Iterator<Item = u8>) -> Option<usize> {
    let next = priorities
        .enumerate()
        .min_by_key(|(index, priority)| (*priority, Reverse(*index)));
    next.map(|(index, _)| index)
}

/// An opening packet that waits.
#[derive(Debug)]
pub(super) struct WaitingOpening {
    pub(super) flow: FlowKey,
    pub(super) balancer: SocketAddrV4,
    pub(super) params: OpenParams,
    pub(super) packet: Box<[u8]>,
    pub(super) since: Instant,
}

/// The opening packets that wait, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct WaitingOpenings(Vec<WaitingOpening>);

impl WaitingOpenings {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    fn contains(&self, flow: &FlowKey) -> bool {
        self.0.iter().any(|opening| opening.flow == *flow)
    }

    /// Takes out the one that goes next.
    fn take_next(&mut self) -> Option<WaitingOpening> {
        let next = next_queued_syn(self.0.iter().map(|opening| opening.params.priority))?;
        Some(self.0.remove(next))
    }

    /// Takes out those that have waited for longer than `limit`.
    fn take_overdue(&mut self, limit: Duration, now: Instant) -> Vec<WaitingOpening> {
        let is_overdue =
            |opening: &mut WaitingOpening| now.saturating_duration_since(opening.since) >= limit;
        self.0.extract_if(.., is_overdue).collect()
    }
}

impl Endpoint {
    /// Keeps an opening packet if the target has enough to do. Returns the actions, or nothing if the
    /// target should get it now.
    pub(super) fn hold_opening(&mut self, opening: WaitingOpening) -> Option<Vec<Action<'static>>> {
        let (flow, balancer, now) = (opening.flow, opening.balancer, opening.since);
        let waits = Action::send(balancer, Message::OpenQueued { flow });
        if self.waiting.contains(&flow) {
            return Some(vec![waits]);
        }
        if self.flows.get(&flow).is_some() || !self.is_occupied(now) {
            return None;
        }
        if self.waiting.len() >= MAX_WAITING {
            return Some(self.refuse_opening(&opening, RefusalCause::Overloaded));
        }
        self.waiting.0.push(opening);
        Some(vec![waits])
    }

    /// Passes on opening packets while the target has slots for them, and refuses those that
    /// waited for too long.
    pub(super) fn admit_openings(&mut self, now: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        while !self.is_occupied(now)
            && let Some(opening) = self.waiting.take_next()
        {
            if let Some(cause) = self.refusal(opening.params.service, now) {
                actions.extend(self.refuse_opening(&opening, cause));
                continue;
            }
            self.flows.open(opening.flow, opening.balancer, now);
            actions.push(Action::SendToTarget(opening.packet.into_vec().into()));
        }
        for opening in self.waiting.take_overdue(self.options.backlog_timeout, now) {
            actions.extend(self.refuse_opening(&opening, RefusalCause::Overloaded));
        }
        actions
    }

    /// Refuses all opening packets that wait, as the target takes no more flows.
    pub(super) fn refuse_openings(&mut self, cause: RefusalCause) -> Vec<Action<'static>> {
        let waiting = std::mem::take(&mut self.waiting.0);
        let refuse = |opening: &WaitingOpening| self.refuse_opening(opening, cause);
        waiting.iter().flat_map(refuse).collect()
    }

    fn refuse_opening(
        &self,
        opening: &WaitingOpening,
        cause: RefusalCause,
    ) -> Vec<Action<'static>> {
        let flow = opening.flow;
        vec![
            self.refused(flow, cause),
            refuse(opening.balancer, flow, cause),
        ]
    }

    /// Returns whether the target has as many requests as it should have at once.
    fn is_occupied(&mut self, now: Instant) -> bool {
        let limit = self
            .slots()
            .get()
            .max(1)
            .saturating_mul(MAX_REQUESTS_PER_SLOT);
        u32::from(self.requests(now)) >= limit
    }
}
