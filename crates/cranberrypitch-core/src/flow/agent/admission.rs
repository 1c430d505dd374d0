//! Which new flows an agent admits to its target.

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::Instant;

use super::FlowAgent;
use super::hosted_flows::FlowTerms;
use super::refusal::refuse;
use super::schedule::QueuedSyn;
use super::target_process::TargetProcess;
use crate::flow::cause::{DropCause, RefusalCause};
use crate::flow::event::FlowEvent;
use crate::flow::message::{Action, OpenParams, dropped};
use crate::flow::packet::{FlowKey, PacketHeader};
use crate::ids::{ServiceName, ServiceTag};
use crate::target::TargetState;

impl FlowAgent {
    /// Processes a balancer's request to open a flow.
    pub fn on_open<'a>(
        &mut self,
        balancer: SocketAddrV4,
        params: OpenParams,
        header: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        self.on_balancer_message(balancer, now).last_open = Some(now);
        if !header.is_syn() {
            return dropped(flow, DropCause::UnexpectedFlags);
        }
        let is_new = self.flows.get(&flow).is_none() && !self.queue.has_syn(&flow);
        let limited = is_new
            .then(|| self.warmup_limit_event(flow, params.warmup_rate, now))
            .flatten();
        let is_limited = limited.is_some();
        // A retransmitted SYN of a flow that the target has is not declined for load.
        let load_refusal = |agent: &mut Self| {
            let expected = params
                .expected_requests
                .filter(|_| agent.flows.get(&flow).is_none())?;
            let is_busier = is_limited || agent.is_busier_than(expected, now);
            is_busier.then_some(RefusalCause::BusierThanExpected)
        };
        if let Some(cause) = self
            .refusal_cause(params.service, now)
            .or_else(|| load_refusal(self))
        {
            // The report is sent first, so that the balancer selects again with the current load.
            let mut actions = vec![self.refused_event(flow, cause)];
            let is_declined = cause == RefusalCause::BusierThanExpected;
            actions.extend(limited.filter(|_| is_declined).map(Action::RecordEvent));
            actions.extend(self.report(balancer, now));
            actions.push(refuse(balancer, flow, cause));
            return actions;
        }
        let syn = QueuedSyn {
            flow,
            balancer,
            params,
            packet: packet.into(),
            queued_at: now,
        };
        if let Some(mut actions) = self.queue_syn(syn) {
            actions.extend(limited.map(Action::RecordEvent));
            return actions;
        }
        let mut actions = self.open_flow(flow, balancer, FlowTerms::from(&params), now);
        actions.push(Action::SendToTarget(Cow::Borrowed(packet)));
        actions
    }

    /// Adds a flow whose SYN is passed to the target. Returns the event, unless the SYN is a copy.
    pub(super) fn open_flow<'a>(
        &mut self,
        flow: FlowKey,
        balancer: SocketAddrV4,
        terms: FlowTerms,
        now: Instant,
    ) -> Vec<Action<'a>> {
        let view = self.view_of_new_flow(now);
        if !self.flows.open(flow, view, balancer, terms, now) {
            return Vec::new();
        }
        self.queue.on_passed(*flow.caller.ip(), now);
        self.count_syn_in_warmup(flow, now);
        let process = |target: &TargetProcess| {
            let report = target.report();
            (report.id.clone(), report.started_unix_ms)
        };
        vec![Action::RecordEvent(FlowEvent::SynPassed {
            flow,
            balancer,
            service: self.service().clone(),
            target: self.target.as_ref().map(process),
        })]
    }

    /// Returns the service of the target: the one in the settings, unless several reports of a process name another
    /// one. A single report may be a late one of the target that had the address before.
    pub(super) fn service(&self) -> &ServiceName {
        let confirmed = self.target.as_ref().filter(|target| target.is_confirmed());
        confirmed.map_or(&self.identity.service, TargetProcess::service)
    }

    /// Returns whether a report names another service than [`Self::service`], so that it is open which one the
    /// target serves.
    fn may_serve_other(&self) -> bool {
        let service = self.service();
        let is_other = |target: &TargetProcess| target.service() != service;
        self.target.as_ref().is_some_and(is_other) || self.report_series.may_serve_other(service)
    }

    /// Returns why a flow for a service must be refused, or nothing if it may be opened.
    pub(super) fn refusal_cause(&self, service: ServiceTag, now: Instant) -> Option<RefusalCause> {
        if self.is_stopping {
            return Some(RefusalCause::Draining);
        }
        if self.is_evacuated() {
            return Some(RefusalCause::Evacuated);
        }
        if self.may_serve_other() || ServiceTag::of(self.service()) != service {
            return Some(RefusalCause::OtherService);
        }
        let is_ready = |target: &TargetProcess| target.state() == TargetState::Ready;
        if !self.target.as_ref().is_none_or(is_ready) || self.flow_list.may_be_stored() {
            return Some(RefusalCause::Draining);
        }
        self.is_status_overdue(now)
            .then_some(RefusalCause::TargetSilent)
    }

    /// Returns whether the target has not sent a status report within the timeout, or accepts no flows
    /// before its first one.
    pub(super) fn is_status_overdue(&self, now: Instant) -> bool {
        let options = &self.options;
        match &self.target {
            Some(target) => !target.has_reported_within(options.status_timeout, now),
            None if self.is_syn_returned_before_report => true,
            None => now.saturating_duration_since(self.started_at) >= options.first_status_timeout,
        }
    }
}
