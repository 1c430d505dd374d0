//! The backlog of SYNs that wait at an agent for a slot of its target.
//!
//! After a power failure, or when many callers arrive at once, there are more requests than the targets
//! can serve. In a FIFO queue at the target all of them become late. The backlog admits the SYNs with
//! the highest priority first, by the priorities that the operator gives to routes, and among those the
//! newest, whose caller can still get a response in time. SYNs that time out in the backlog are refused,
//! so that their callers can retry.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::FlowAgent;
use super::refusal::refuse;
use crate::flow::cause::RefusalCause;
use crate::flow::message::{Action, Message, OpenParams};
use crate::flow::packet::FlowKey;

/// The number of requests per slot, including the running one, at which SYNs are queued. A second
/// request keeps the slot busy while the next flow is opened.
pub const MAX_REQUESTS_PER_SLOT: u32 = 2;

/// The capacity of the backlog.
const MAX_QUEUED_SYNS: usize = 256;

/// Returns the index of the queued SYN to admit next, given the priorities in the order of arrival: the
/// newest of those with the highest priority. Returns nothing if there are none.
pub fn next_queued_syn(priorities: impl Iterator<Item = u8>) -> Option<usize> {
    let next = priorities
        .enumerate()
        .min_by_key(|(index, priority)| (*priority, Reverse(*index)));
    next.map(|(index, _)| index)
}

/// A SYN in the backlog.
#[derive(Debug)]
pub(super) struct QueuedSyn {
    pub(super) flow: FlowKey,
    pub(super) balancer: SocketAddrV4,
    pub(super) params: OpenParams,
    pub(super) packet: Box<[u8]>,
    pub(super) queued_at: Instant,
}

/// The queued SYNs, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct SynBacklog(Vec<QueuedSyn>);

impl SynBacklog {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.0.iter().any(|syn| syn.flow == *flow)
    }

    /// Returns the SYN to admit next.
    fn next(&self) -> Option<&QueuedSyn> {
        let next = next_queued_syn(self.0.iter().map(|syn| syn.params.priority))?;
        self.0.get(next)
    }

    /// Takes out the SYN to admit next.
    fn take_next(&mut self) -> Option<QueuedSyn> {
        let next = next_queued_syn(self.0.iter().map(|syn| syn.params.priority))?;
        Some(self.0.remove(next))
    }

    /// Takes out the SYNs that have been queued for at least `timeout`.
    fn take_timed_out(&mut self, timeout: Duration, now: Instant) -> Vec<QueuedSyn> {
        let is_timed_out =
            |syn: &mut QueuedSyn| now.saturating_duration_since(syn.queued_at) >= timeout;
        self.0.extract_if(.., is_timed_out).collect()
    }
}

impl FlowAgent {
    /// Queues a SYN if the target is busy, or cold and at its limit, or refuses it if the backlog is full. Returns nothing if the
    /// SYN should be passed to the target now.
    pub(super) fn queue_syn(&mut self, syn: QueuedSyn) -> Option<Vec<Action<'static>>> {
        let (flow, balancer, now) = (syn.flow, syn.balancer, syn.queued_at);
        let queued = Action::send(balancer, Message::OpenQueued { flow });
        if self.backlog.contains(&flow) {
            return Some(vec![queued]);
        }
        if self.flows.get(&flow).is_some()
            || !(self.is_target_busy(now) || self.is_warmup_limited(&syn.params, flow, now))
        {
            return None;
        }
        if self.backlog.len() >= MAX_QUEUED_SYNS {
            return Some(self.refuse_queued_syn(&syn, RefusalCause::Overloaded));
        }
        self.backlog.0.push(syn);
        Some(vec![queued])
    }

    /// Passes queued SYNs to the target while it has capacity, and refuses those that timed out.
    pub(super) fn admit_queued_syns(&mut self, now: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        while !self.is_target_busy(now)
            && let Some((params, flow)) = self.backlog.next().map(|syn| (syn.params, syn.flow))
            && !self.is_warmup_limited(&params, flow, now)
            && let Some(syn) = self.backlog.take_next()
        {
            if let Some(cause) = self.refusal_cause(syn.params.service, now) {
                actions.extend(self.refuse_queued_syn(&syn, cause));
                continue;
            }
            actions.extend(self.open_flow(syn.flow, syn.balancer, now));
            actions.push(Action::SendToTarget(syn.packet.into_vec().into()));
        }
        for syn in self
            .backlog
            .take_timed_out(self.options.backlog_timeout, now)
        {
            actions.extend(self.refuse_queued_syn(&syn, RefusalCause::Overloaded));
        }
        actions
    }

    /// Refuses all queued SYNs.
    pub(super) fn refuse_queued_syns(&mut self, cause: RefusalCause) -> Vec<Action<'static>> {
        let queued = std::mem::take(&mut self.backlog.0);
        let refuse = |syn: &QueuedSyn| self.refuse_queued_syn(syn, cause);
        queued.iter().flat_map(refuse).collect()
    }

    fn refuse_queued_syn(&self, syn: &QueuedSyn, cause: RefusalCause) -> Vec<Action<'static>> {
        let flow = syn.flow;
        vec![
            self.refused_event(flow, cause),
            refuse(syn.balancer, flow, cause),
        ]
    }

    /// Returns whether the target is cold and has got the requests that it bears.
    fn is_warmup_limited(&mut self, params: &OpenParams, flow: FlowKey, now: Instant) -> bool {
        self.warmup_limit_event(flow, params.warmup_rate, now)
            .is_some()
    }

    /// Returns whether the target has at least [`MAX_REQUESTS_PER_SLOT`] requests for each slot.
    fn is_target_busy(&mut self, now: Instant) -> bool {
        let limit = self
            .slots()
            .get()
            .max(1)
            .saturating_mul(MAX_REQUESTS_PER_SLOT);
        u32::from(self.requests(now)) >= limit
    }
}
