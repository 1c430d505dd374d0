//! The decisions of an agent: which packets reach its target, and where the target's packets go.

mod answers;
mod balancers;
mod hosted;
mod options;
mod run;
mod waiting;

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use self::answers::{AnswerMeter, is_failure};
use self::balancers::KnownBalancer;
use self::hosted::HostedFlows;
pub use self::options::EndpointOptions;
pub use self::run::{StatusReport, TargetProcess};
pub use self::waiting::{MAX_REQUESTS_PER_SLOT, next_queued_syn};
use self::waiting::{WaitingOpening, WaitingOpenings};
use super::directory::AgentRecord;
use super::event::{DropCause, FlowEvent, ResetCause};
use super::load::{AgentLoad, LoadMeter};
use super::message::{
    Action, LookupAnswer, LookupQuery, Message, OpenParams, RefusalCause, dropped, reset,
};
use super::packet::{FlowKey, PacketFlags, PacketHeader};
use crate::collections::FastMap;
use crate::ids::{FailureDomain, Incarnation, ServiceName, ServiceTag};
use crate::target::TargetState;
use crate::units::Slots;

/// What an agent knows of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Where the agent receives messages of balancers.
    pub address: SocketAddrV4,
    /// The service that the settings name.
    pub service: ServiceName,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The run of the agent.
    pub incarnation: Incarnation,
    /// When the agent started, in milliseconds of Unix time, by the clock of the VM.
    pub started_unix_ms: u64,
    /// Balancers that may be there, for an agent that can't register.
    pub seed_balancers: Box<[SocketAddrV4]>,
}

/// Decides for the target beside it.
#[derive(Debug)]
pub struct Endpoint {
    options: EndpointOptions,
    identity: AgentIdentity,
    started_at: Instant,
    target: Option<TargetProcess>,
    flows: HostedFlows,
    waiting: WaitingOpenings,
    meter: LoadMeter,
    answers: AnswerMeter,
    balancers: FastMap<SocketAddrV4, KnownBalancer>,
    is_registered: bool,
    introduced_at: Instant,
    is_leaving: bool,
}

impl Endpoint {
    /// Returns the endpoint of an agent that starts now.
    pub fn new(options: EndpointOptions, identity: AgentIdentity, now: Instant) -> Self {
        Self {
            options,
            identity,
            started_at: now,
            target: None,
            flows: HostedFlows::default(),
            waiting: WaitingOpenings::default(),
            meter: LoadMeter::new(now),
            answers: AnswerMeter::new(now),
            balancers: FastMap::default(),
            is_registered: false,
            introduced_at: now,
            is_leaving: false,
        }
    }

    /// Returns what the agent says about itself and its target.
    pub fn record(&self, now: Instant) -> AgentRecord {
        let target = self.target.as_ref();
        AgentRecord {
            address: self.identity.address,
            service: self.service().clone(),
            failure_domain: self.identity.failure_domain.clone(),
            incarnation: self.identity.incarnation,
            state: self.state(),
            slots: self.slots(),
            warmup_left: target.map_or(Duration::ZERO, |t| t.warmup_left(now)),
        }
    }

    /// Returns the number of flows that are open or opening.
    pub fn flow_count(&self) -> usize {
        self.flows.open_len()
    }

    /// Returns the load of the target. One that is silent looks idle, but refuses all flows.
    fn load(&mut self, now: Instant) -> AgentLoad {
        let failed_responses_percent = if self.is_target_silent(now) {
            100
        } else {
            self.answers.failed_responses_percent(now)
        };
        let waiting = u16::try_from(self.waiting.len()).unwrap_or(u16::MAX);
        AgentLoad {
            running_requests: self.requests(now).saturating_add(waiting),
            failed_responses_percent,
            ..self.meter.load(self.flows.open_len(), now)
        }
    }

    /// Returns the requests that the target has and has not answered, and those on their way to it.
    fn requests(&mut self, now: Instant) -> u16 {
        let on_the_way = u16::try_from(self.flows.requests_on_the_way(now)).unwrap_or(u16::MAX);
        self.running_requests(now).saturating_add(on_the_way)
    }

    fn is_busier_than(&mut self, expected: u16, now: Instant) -> bool {
        let slots = self.slots();
        self.load(now).is_busier_than(expected, slots)
    }

    fn slots(&self) -> Slots {
        let target = self.target.as_ref();
        target.map_or(Slots::new(1), TargetProcess::slots)
    }

    /// Notes the HTTP status of an answer. Balancers prefer targets whose answers do not fail.
    pub fn on_response(&mut self, status: u16, now: Instant) {
        self.answers.note(is_failure(status), now);
    }

    /// Returns the requests that the target has and has not answered.
    pub fn running_requests(&mut self, now: Instant) -> u16 {
        self.meter.load(0, now).running_requests
    }

    fn service(&self) -> &ServiceName {
        let reported = self.target.as_ref().map(TargetProcess::service);
        reported.unwrap_or(&self.identity.service)
    }

    fn state(&self) -> TargetState {
        match &self.target {
            _ if self.is_leaving => TargetState::Gone,
            Some(target) => target.state(),
            None => TargetState::Ready,
        }
    }

    /// Takes in a status report of the target. Returns actions, or nothing for a late report.
    pub fn on_status_report(&mut self, report: StatusReport, now: Instant) -> Vec<Action<'static>> {
        if let Some(target) = &mut self.target
            && target.is_same_run(&report)
        {
            let is_changed = target.update(report, now);
            return if is_changed {
                self.announce(now)
            } else {
                Vec::new()
            };
        }
        if self.target.as_ref().is_some_and(|t| t.is_newer(&report)) {
            return Vec::new();
        }
        // A target that was there before the agent holds flows that the agent has not seen.
        let is_first = self.target.is_none();
        let agent_started = is_first.then_some(self.identity.started_unix_ms);
        let target = TargetProcess::new(report, agent_started, now);
        if let Some(earlier) = self.target.replace(target) {
            self.meter = LoadMeter::new(now);
            self.answers.note_restart(now);
            let until = self.earliest_begin_of_next_run(&earlier, now);
            self.flows.orphan(until, &mut self.meter, now);
        }
        self.announce(now)
    }

    /// Returns since when flows may be those of the run after `earlier`, whose first report comes now.
    /// The new run takes flows before that report, and the last report of the earlier one may have
    /// been late.
    fn earliest_begin_of_next_run(&self, earlier: &TargetProcess, now: Instant) -> Instant {
        if earlier.service() != self.service() {
            return now;
        }
        let latest_delay = self.options.status_timeout;
        let heard_at = earlier.heard_at();
        heard_at.checked_sub(latest_delay).unwrap_or(heard_at)
    }

    /// Notes that the target said that it is gone.
    pub fn on_target_exit(&mut self, id: &str, now: Instant) -> Vec<Action<'static>> {
        match &mut self.target {
            Some(target) if target.id() == id => target.leave(now),
            _ => return Vec::new(),
        }
        self.announce(now)
    }

    /// Notes that the agent stops, which its balancers are told.
    pub fn on_stop(&mut self, now: Instant) -> Vec<Action<'static>> {
        self.is_leaving = true;
        let mut actions = self.refuse_openings(RefusalCause::Draining);
        actions.extend(self.announce(now));
        actions
    }

    /// Takes in an opening packet from a balancer.
    pub fn on_open<'a>(
        &mut self,
        balancer: SocketAddrV4,
        params: OpenParams,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        self.heard(balancer, now).opened = Some(now);
        if !head.is_syn() {
            return dropped(flow, DropCause::UnexpectedFlags);
        }
        // A copy of the opening packet of a flow that is here belongs here.
        let declined = |endpoint: &mut Self| {
            let expected = params
                .expected_requests
                .filter(|_| endpoint.flows.get(&flow).is_none())?;
            let is_busier = endpoint.is_busier_than(expected, now);
            is_busier.then_some(RefusalCause::BusierThanExpected)
        };
        if let Some(cause) = self.refusal(params.service, now).or_else(|| declined(self)) {
            // The report goes first, so that the balancer chooses again by it.
            let mut actions = vec![self.refused(flow, cause)];
            actions.extend(self.report(balancer, now));
            actions.push(refuse(balancer, flow, cause));
            return actions;
        }
        let opening = WaitingOpening {
            flow,
            balancer,
            params,
            packet: packet.into(),
            since: now,
        };
        if let Some(actions) = self.hold_opening(opening) {
            return actions;
        }
        self.flows.open(flow, balancer, now);
        vec![Action::SendToTarget(Cow::Borrowed(packet))]
    }

    /// Takes in a later packet of a flow from a balancer.
    pub fn on_forward<'a>(
        &mut self,
        balancer: SocketAddrV4,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        self.heard(balancer, now);
        if head.flags.contains(PacketFlags::SYN) {
            return dropped(flow, DropCause::UnexpectedFlags);
        }
        if self.flows.is_orphan(&flow, head.ack_number) {
            return end_orphan(head);
        }
        let packet = Cow::Borrowed(packet);
        match self.holding(&flow, head.ack_number, now) {
            LookupAnswer::Held if self.is_target_gone(now) => end_orphan(head),
            LookupAnswer::Held => {
                let hosted = self.flows.get_mut(&flow);
                let begins = hosted
                    .is_some_and(|h| h.on_caller_packet(balancer, head, &mut self.meter, now));
                let mut actions = vec![Action::SendToTarget(packet)];
                if begins {
                    let running_requests = self.meter.load(0, now).running_requests;
                    actions.push(Action::RecordEvent(FlowEvent::RequestPassed {
                        flow,
                        balancer,
                        running_requests,
                    }));
                }
                actions
            }
            LookupAnswer::MayBeHeld => {
                self.flows.expect(flow, balancer, now);
                vec![Action::SendToTarget(packet)]
            }
            LookupAnswer::NotHeld => {
                vec![Action::send(balancer, Message::PacketReturned { packet })]
            }
        }
    }

    /// Returns whether the target holds a flow whose caller acknowledged a number. Copies of an
    /// opening packet may reach several targets, and the caller follows one of them.
    fn holding(&self, flow: &FlowKey, ack_number: u32, now: Instant) -> LookupAnswer {
        match self.flows.get(flow) {
            Some(hosted) if hosted.is_held() => {
                if hosted.may_be_acknowledged(ack_number) {
                    LookupAnswer::Held
                } else {
                    LookupAnswer::NotHeld
                }
            }
            // The agent sees the acceptance of a flow before the caller does, unless it started
            // after that.
            _ if self.may_hold_unknown(now) => LookupAnswer::MayBeHeld,
            _ => LookupAnswer::NotHeld,
        }
    }

    /// Answers a balancer that looks for a flow.
    pub fn on_lookup(
        &mut self,
        balancer: SocketAddrV4,
        flow: FlowKey,
        ack_number: u32,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.heard(balancer, now);
        let answer = self.located(&flow, ack_number, now);
        vec![Action::send(
            balancer,
            Message::LookupReply { flow, answer },
        )]
    }

    /// Answers a balancer that looks for several flows.
    pub fn on_lookup_batch(
        &mut self,
        balancer: SocketAddrV4,
        questions: &[LookupQuery],
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.heard(balancer, now);
        let answers = questions
            .iter()
            .map(|question| {
                let answer = self.located(&question.flow, question.ack_number, now);
                (question.flow, answer)
            })
            .collect();
        vec![Action::send(balancer, Message::LookupBatchReply(answers))]
    }

    fn located(&self, flow: &FlowKey, ack_number: u32, now: Instant) -> LookupAnswer {
        // The agent resets a flow of an earlier run of the target at its next packet.
        if self.flows.is_orphan(flow, ack_number) {
            LookupAnswer::Held
        } else {
            self.holding(flow, ack_number, now)
        }
    }

    /// Takes in a packet that the target sent.
    pub fn on_target_packet<'a>(
        &mut self,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        if head.flags.contains(PacketFlags::BOUNCED) {
            return self.on_bounced(head, packet, now);
        }
        let flow = head.flow_from_target();
        let mut actions = Vec::with_capacity(3);
        let hosted = self.flows.get_or_adopt(flow, now);
        if head.flags.contains(PacketFlags::RST) && hosted.request_age(now).is_some() {
            self.answers.note(true, now);
        }
        if head.payload_len_bytes > 0
            && let Some(elapsed) = hosted.request_age(now)
        {
            let event = FlowEvent::RequestAnswered { flow, elapsed };
            actions.push(Action::RecordEvent(event));
        }
        let is_new = hosted.on_target_packet(head, &mut self.meter, now);
        if is_new && let Some(balancer) = hosted.balancer() {
            actions.push(Action::send(balancer, Message::OpenAccepted { flow }));
        }
        actions.push(Action::SendToCaller {
            caller: flow.caller,
            packet: Cow::Borrowed(packet),
        });
        actions.extend(self.admit_openings(now));
        actions
    }

    /// Lets time pass: reports to the balancers that are due, and forgets old flows.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action<'static>> {
        self.flows.sweep(&self.options, &mut self.meter, now);
        let options = self.options;
        self.balancers
            .retain(|_, b| now.saturating_duration_since(b.heard) < options.balancer_lifetime);
        let mut actions = self.introduce(now);
        actions.extend(self.admit_openings(now));
        actions.extend(self.presume(now));
        let due: Vec<_> = self
            .balancers
            .iter()
            .filter(|(_, balancer)| balancer.is_due(&options, now))
            .map(|(address, _)| *address)
            .collect();
        let reports = due.into_iter().filter_map(|b| self.report(b, now));
        actions.extend(reports);
        actions
    }

    /// Tells balancers of flows that the target did not return.
    fn presume(&mut self, now: Instant) -> Vec<Action<'static>> {
        let is_alive =
            |target: &TargetProcess| target.heard_within(self.options.status_timeout, now);
        if !self.target.as_ref().is_some_and(is_alive) {
            return Vec::new();
        }
        let presumed = self.flows.presume(self.options.bounce_timeout, now);
        let accepted = |(flow, balancer)| Action::send(balancer, Message::OpenAccepted { flow });
        presumed.into_iter().map(accepted).collect()
    }

    /// Returns why a flow for a service can't be opened, if it can't.
    fn refusal(&self, service: ServiceTag, now: Instant) -> Option<RefusalCause> {
        if self.is_leaving {
            return Some(RefusalCause::Draining);
        }
        if ServiceTag::of(self.service()) != service {
            return Some(RefusalCause::OtherService);
        }
        let is_ready = |target: &TargetProcess| target.state() == TargetState::Ready;
        if !self.target.as_ref().is_none_or(is_ready) {
            return Some(RefusalCause::Draining);
        }
        self.is_target_silent(now)
            .then_some(RefusalCause::TargetSilent)
    }

    /// Returns whether the target has not reported for too long, its start included.
    fn is_target_silent(&self, now: Instant) -> bool {
        let options = &self.options;
        match &self.target {
            Some(target) => !target.heard_within(options.status_timeout, now),
            None => now.saturating_duration_since(self.started_at) >= options.first_status_timeout,
        }
    }

    /// Returns whether the target may hold flows from before the agent started.
    fn may_hold_unknown(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        age < self.options.flow_lifetime
            && self.target.as_ref().is_none_or(TargetProcess::is_inherited)
    }

    fn on_bounced<'a>(
        &mut self,
        head: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = head.flow_from_caller();
        let Some(hosted) = self.flows.get(&flow) else {
            return dropped(flow, DropCause::FlowNotFound);
        };
        let (balancer, is_accepted) = (hosted.balancer(), hosted.is_accepted());
        if head.is_syn() && is_accepted {
            return Vec::new();
        }
        // The caller follows another target that accepted a copy of the opening packet.
        if let Some(balancer) = balancer
            && is_accepted
            && !hosted.may_be_acknowledged(head.ack_number)
        {
            let packet = Cow::Borrowed(packet);
            return vec![Action::send(balancer, Message::PacketReturned { packet })];
        }
        self.flows.remove(&flow, &mut self.meter, now);
        match balancer {
            Some(balancer) if head.is_syn() => self.refused_by_target(balancer, flow),
            // Only a flow that the target has accepted is known to have ended there.
            _ if is_accepted => reset(head, ResetCause::FlowUnknown),
            Some(balancer) => {
                let packet = Cow::Borrowed(packet);
                vec![Action::send(balancer, Message::PacketReturned { packet })]
            }
            None => dropped(flow, DropCause::FlowNotFound),
        }
    }

    fn refused_by_target(&self, balancer: SocketAddrV4, flow: FlowKey) -> Vec<Action<'static>> {
        let cause = RefusalCause::TargetFull;
        vec![self.refused(flow, cause), refuse(balancer, flow, cause)]
    }

    const fn refused<'a>(&self, flow: FlowKey, cause: RefusalCause) -> Action<'a> {
        let agent = self.identity.address;
        Action::RecordEvent(FlowEvent::Refused { flow, agent, cause })
    }

    /// Returns whether the target said long enough ago that it is gone.
    fn is_target_gone(&self, now: Instant) -> bool {
        let delay = self.options.exit_delay;
        let target = self.target.as_ref();
        target.is_some_and(|target| target.is_gone_for(delay, now))
    }
}

/// Resets a flow of an earlier run of the target.
fn end_orphan<'a>(head: &PacketHeader) -> Vec<Action<'a>> {
    if head.flags.contains(PacketFlags::RST) {
        return Vec::new();
    }
    reset(head, ResetCause::FlowUnknown)
}

fn refuse<'a>(balancer: SocketAddrV4, flow: FlowKey, cause: RefusalCause) -> Action<'a> {
    Action::send(balancer, Message::OpenRefused { flow, cause })
}
