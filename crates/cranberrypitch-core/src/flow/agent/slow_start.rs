//! The limit on new flows for a target that is slow after its start.
//!
//! All flows of a target pass its agent, so the agent can hold the sum over all balancers below the rate
//! that the operator gives. Requests on open flows are counted but never held back, as callers of open
//! flows can't be sent elsewhere.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{FlowAgent, TargetProcess};
use crate::flow::event::FlowEvent;
use crate::flow::packet::FlowKey;
use crate::units::RequestRate;

/// The length of the window in which passed requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The part of the rate that an agent uses in its first window. An earlier process of the agent may have
/// passed the whole rate just before, and both together must stay below 1.5 times the rate.
const FIRST_WINDOW_DIVISOR: u32 = 2;

/// A SYN or a request that was passed to the target.
#[derive(Clone, Copy, Debug)]
struct PassedRequest {
    flow: FlowKey,
    is_syn: bool,
    passed_at: Instant,
}

/// The SYNs and requests that a cold target got within the window, in the order of time. A SYN counts as
/// the first request of its flow until that request arrives.
#[derive(Debug, Default)]
pub(super) struct SlowStart(VecDeque<PassedRequest>);

impl SlowStart {
    /// Counts a SYN that is passed to the target.
    fn on_syn(&mut self, flow: FlowKey, now: Instant) {
        self.push(flow, true, now);
    }

    /// Counts a request, in place of the SYN of its flow.
    fn on_request(&mut self, flow: FlowKey, now: Instant) {
        self.remove_syn(&flow);
        self.push(flow, false, now);
    }

    /// Counts a request on a flow that the target may hold, unless the window has one of the flow: the agent
    /// can't tell the packets of one request from those of several.
    fn on_probe(&mut self, flow: FlowKey, now: Instant) {
        self.remove_expired(now);
        if !self.0.iter().any(|passed| passed.flow == flow) {
            self.push(flow, false, now);
        }
    }

    /// Removes the SYN of a flow, because the target returned it or the first request replaces it.
    pub(super) fn remove_syn(&mut self, flow: &FlowKey) {
        let is_syn = |passed: &PassedRequest| passed.is_syn && passed.flow == *flow;
        if let Some(index) = self.0.iter().position(is_syn) {
            self.0.remove(index);
        }
    }

    /// Returns the number of requests in the window that ends now.
    fn passed_requests(&mut self, now: Instant) -> u32 {
        self.remove_expired(now);
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    fn push(&mut self, flow: FlowKey, is_syn: bool, now: Instant) {
        self.remove_expired(now);
        self.0.push_back(PassedRequest {
            flow,
            is_syn,
            passed_at: now,
        });
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_expired =
            |passed: &PassedRequest| now.saturating_duration_since(passed.passed_at) >= WINDOW;
        while self.0.front().is_some_and(is_expired) {
            self.0.pop_front();
        }
    }
}

impl FlowAgent {
    /// Returns the event of a new flow that must not be passed to the target now, because the target is cold
    /// and has received as many requests in the window as its rate allows. Returns nothing if there is room or no limit.
    pub(super) fn warmup_limit_event(
        &mut self,
        flow: FlowKey,
        rate: Option<RequestRate>,
        now: Instant,
    ) -> Option<FlowEvent> {
        let limit = self.warmup_limit(rate, now)?;
        let passed_requests = self.slow_start.passed_requests(now);
        (passed_requests >= limit).then_some(FlowEvent::WarmupLimited {
            flow,
            passed_requests,
            limit,
        })
    }

    /// Returns the number of requests that the target may get in one window, or nothing without a limit.
    fn warmup_limit(&self, rate: Option<RequestRate>, now: Instant) -> Option<u32> {
        let rate = rate.map(RequestRate::get).filter(|rate| *rate > 0)?;
        if !self.may_be_cold(now) {
            return None;
        }
        // Nothing shows how slow a target without a status report is, or what it has got.
        let Some(target) = &self.target else {
            return Some(0);
        };
        let age = now.saturating_duration_since(self.started_at);
        if age < WINDOW && target.may_be_older_than_agent() {
            return Some(rate / FIRST_WINDOW_DIVISOR);
        }
        Some(rate)
    }

    /// Returns whether the target is slow after its start, by its last status report, or has sent none.
    fn may_be_cold(&self, now: Instant) -> bool {
        let is_cold = |target: &TargetProcess| !target.warmup_left(now).is_zero();
        self.target.as_ref().is_none_or(is_cold)
    }

    /// Counts the first SYN of a flow that is passed to the target.
    pub(super) fn count_syn_in_warmup(&mut self, flow: FlowKey, now: Instant) {
        if self.may_be_cold(now) {
            self.slow_start.on_syn(flow, now);
        }
    }

    /// Counts a request that is passed to the target.
    pub(super) fn count_request_in_warmup(&mut self, flow: FlowKey, now: Instant) {
        if self.may_be_cold(now) {
            self.slow_start.on_request(flow, now);
        }
    }

    /// Counts a packet with data of a flow that the target may hold from before the agent started.
    pub(super) fn count_probe_in_warmup(&mut self, flow: FlowKey, now: Instant) {
        if self.may_be_cold(now) {
            self.slow_start.on_probe(flow, now);
        }
    }
}
