//! SYNs that wait at an agent, and their admission to the target or refusal.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::MAX_REQUESTS_PER_SLOT;
use super::decision::{RequestKind, TargetCapacity, WaitingRequest};
use super::queue::Taken;
use crate::flow::agent::FlowAgent;
use crate::flow::agent::hosted_flows::FlowTerms;
use crate::flow::agent::refusal::refuse;
use crate::flow::cause::RefusalCause;
use crate::flow::message::{Action, Message, OpenParams};
use crate::flow::packet::FlowKey;

/// The time for which a SYN waits for the first write of the registration. That takes a few round trips to the
/// store; if it takes longer, another agent may be registered already.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// A SYN that waits at the agent.
#[derive(Debug)]
pub(in super::super) struct QueuedSyn {
    pub(in super::super) flow: FlowKey,
    pub(in super::super) balancer: SocketAddrV4,
    pub(in super::super) params: OpenParams,
    pub(in super::super) packet: Box<[u8]>,
    pub(in super::super) queued_at: Instant,
}

impl QueuedSyn {
    pub(super) const fn waiting_request(&self) -> WaitingRequest {
        WaitingRequest {
            kind: RequestKind::Syn,
            priority: self.params.priority,
            limits: self.params.limits,
            caller: *self.flow.caller.ip(),
            arrived_at: self.queued_at,
        }
    }
}

impl FlowAgent {
    /// Returns the mean time for which a request occupies a slot of the target; zero if it is not known.
    pub(in super::super) fn service_time(&mut self, now: Instant) -> Duration {
        self.load_meter.load(0, now).service_time
    }

    /// Returns whether queued SYNs may be passed, which a cold target at its rate limit forbids.
    fn admits_flows(&mut self, now: Instant) -> bool {
        let next = self.queue.syns.first();
        let Some((flow, rate)) = next.map(|syn| (syn.flow, syn.params.warmup_rate)) else {
            return true;
        };
        self.warmup_limit_event(flow, rate, now).is_none()
    }

    fn syn_wait_limit(&self) -> Option<Duration> {
        let is_pending = self.flow_list.is_first_write_pending();
        is_pending.then_some(FIRST_WRITE_TIMEOUT)
    }

    pub(super) fn capacity(&mut self, now: Instant) -> TargetCapacity {
        TargetCapacity {
            service_time: self.service_time(now),
            slots: self.slots().get(),
            min_syn_wait: self.options.min_syn_wait,
            syn_wait_limit: self.syn_wait_limit(),
            admits_flows: !self.flow_list.is_first_write_pending() && self.admits_flows(now),
        }
    }

    /// Queues a SYN that can't be passed now: the target is busy or at its warm-up limit, or the first write of
    /// the registration is pending. Refuses it if the queue is full or its expected wait is too long. Returns
    /// nothing if the SYN should be passed now.
    pub(in super::super) fn queue_syn(&mut self, syn: QueuedSyn) -> Option<Vec<Action<'static>>> {
        let (flow, balancer, now) = (syn.flow, syn.balancer, syn.queued_at);
        let queued = Action::send(balancer, Message::OpenQueued { flow });
        if self.queue.has_syn(&flow) {
            return Some(vec![queued]);
        }
        let is_limited = |agent: &mut Self| {
            let rate = syn.params.warmup_rate;
            agent.warmup_limit_event(flow, rate, now).is_some()
        };
        if self.flows.get(&flow).is_some() || !(self.must_queue(now) || is_limited(self)) {
            return None;
        }
        if self.queue.is_syn_queue_full() {
            return Some(self.refuse_queued_syn(&syn, RefusalCause::Overloaded));
        }
        self.queue.syns.push(syn);
        let mut actions = self.give_up_requests(now);
        if self.queue.has_syn(&flow) {
            actions.push(queued);
        }
        Some(actions)
    }

    /// Passes waiting requests to the target while it has capacity.
    pub(in super::super) fn pass_waiting_requests(&mut self, now: Instant) -> Vec<Action<'static>> {
        let mut actions = Vec::new();
        if self.queue.len() == 0 {
            return actions;
        }
        while !self.is_target_busy(now) {
            let capacity = self.capacity(now);
            let Some(taken) = self.queue.take_next(&capacity, now) else {
                break;
            };
            match taken {
                Taken::Syn(syn) => actions.extend(self.pass_queued_syn(syn, now)),
                Taken::Request(request) => actions.extend(self.pass_queued_request(request, now)),
            }
        }
        actions
    }

    fn pass_queued_syn(&mut self, syn: QueuedSyn, now: Instant) -> Vec<Action<'static>> {
        if let Some(cause) = self.refusal_cause(syn.params.service, now) {
            return self.refuse_queued_syn(&syn, cause);
        }
        let terms = FlowTerms::from(&syn.params);
        let mut actions = self.open_flow(syn.flow, syn.balancer, terms, now);
        actions.push(Action::SendToTarget(syn.packet.into_vec().into()));
        actions
    }

    /// Refuses SYNs that would wait too long, and drops requests of open flows that can't be answered before
    /// their timeout.
    pub(in super::super) fn give_up_requests(&mut self, now: Instant) -> Vec<Action<'static>> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let capacity = self.capacity(now);
        // A SYN that waited for the registration may be admitted by another agent.
        let cause = if self.flow_list.is_first_write_pending() {
            RefusalCause::Draining
        } else {
            RefusalCause::Overloaded
        };
        let given_up = self.queue.take_given_up(&capacity, now);
        let mut actions = Vec::new();
        for taken in given_up {
            match taken {
                Taken::Syn(syn) => {
                    actions.extend(self.refuse_queued_syn(&syn, cause));
                }
                Taken::Request(request) => actions.extend(self.drop_queued_request(&request, now)),
            }
        }
        actions
    }

    /// Refuses all queued SYNs.
    pub(in super::super) fn refuse_queued_syns(
        &mut self,
        cause: RefusalCause,
    ) -> Vec<Action<'static>> {
        let queued = std::mem::take(&mut self.queue.syns);
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

    /// Returns whether a SYN has to wait: for capacity of the target, or for the first write of the registration,
    /// until which the store may hold the flows of an earlier process at the address.
    fn must_queue(&mut self, now: Instant) -> bool {
        self.flow_list.is_first_write_pending() || self.is_target_busy(now)
    }

    /// Returns whether the target has at least [`MAX_REQUESTS_PER_SLOT`] requests for each slot.
    pub(super) fn is_target_busy(&mut self, now: Instant) -> bool {
        let limit = self
            .slots()
            .get()
            .max(1)
            .saturating_mul(MAX_REQUESTS_PER_SLOT);
        u32::from(self.requests(now)) >= limit
    }
}
