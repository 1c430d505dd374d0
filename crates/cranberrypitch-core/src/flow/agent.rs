//! The state machine of an agent, which admits packets to its target and sends the target's packets to
//! callers.

mod admission;
mod balancers;
mod evacuation;
mod flow_list;
mod hosted_flows;
mod options;
mod refusal;
mod report_series;
mod response_meter;
mod schedule;
mod slow_start;
mod status;
mod target_numbers;
mod target_presence;
mod target_process;

use std::borrow::Cow;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use self::balancers::BalancerEntry;
use self::flow_list::FlowList;
pub use self::flow_list::{NumberedRecord, RecordNumber};
use self::hosted_flows::HostedFlows;
pub use self::options::FlowAgentOptions;
use self::report_series::ReportSeries;
use self::response_meter::{ResponseMeter, is_failure};
use self::schedule::RequestQueue;
pub use self::schedule::{
    FairTurns, MAX_REQUESTS_PER_SLOT, RequestKind, TargetCapacity, WaitingRequest,
};
use self::slow_start::SlowStart;
use self::target_numbers::FollowedTarget;
use self::target_presence::TargetPresence;
pub use self::target_process::{StatusReport, TargetProcess};
use super::cause::DropCause;
use super::cause::RefusalCause;
use super::directory::AgentRecord;
use super::evacuation::EvacuationSet;
use super::event::FlowEvent;
use super::flow_view::FlowView;
use super::load::{AgentLoad, LoadMeter};
use super::message::{Action, LookupAnswer, LookupQuery, Message, dropped, reset};
use super::packet::{FlowKey, PacketFlags, PacketHeader};
use super::reset_evidence::ResetEvidence;
use crate::collections::FastMap;
use crate::ids::{FailureDomain, Incarnation, ServiceName};
use crate::target::TargetState;
use crate::units::Slots;

/// The lowest HTTP status code of responses that do not show how fast a target serves requests: it
/// failed, or refused the request.
const MIN_FAILURE_STATUS: u16 = 500;

/// The address and settings of an agent that do not change while it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// The address at which the agent receives messages of balancers.
    pub address: SocketAddrV4,
    /// The service in the settings, which is assumed until the first status report.
    pub service: ServiceName,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The incarnation of the agent, which differs after each start.
    pub incarnation: Incarnation,
    /// The start of the agent in milliseconds of Unix time, by the clock of the VM.
    pub started_unix_ms: u64,
    /// The addresses of balancers that the agent reports to while it is not registered.
    pub seed_balancers: Box<[SocketAddrV4]>,
}

/// Admits the packets of flows to the target beside the agent, and reports its state to balancers.
#[derive(Debug)]
pub struct FlowAgent {
    options: FlowAgentOptions,
    identity: AgentIdentity,
    started_at: Instant,
    target: Option<TargetProcess>,
    report_series: ReportSeries,
    /// Whether a SYN was returned before the first status report. Nothing accepts flows then.
    is_syn_returned_before_report: bool,
    flows: HostedFlows,
    target_presence: TargetPresence,
    flow_list: FlowList,
    queue: RequestQueue,
    slow_start: SlowStart,
    load_meter: LoadMeter,
    response_meter: ResponseMeter,
    balancers: FastMap<SocketAddrV4, BalancerEntry>,
    /// The balancers that have sent checks of the configuration, with the time of the last one.
    config_checkers: FastMap<SocketAddrV4, Instant>,
    /// The evacuations that the agent knows of.
    evacuations: EvacuationSet,
    is_registered: bool,
    /// The time of the last report to the seed balancers.
    seeds_reported_at: Option<Instant>,
    /// The time of the first report to the seed balancers.
    announced_since: Option<Instant>,
    is_stopping: bool,
}

impl FlowAgent {
    /// Returns an agent that starts at `now`, without a status report of its target.
    pub fn new(options: FlowAgentOptions, identity: AgentIdentity, now: Instant) -> Self {
        Self {
            options,
            identity,
            started_at: now,
            target: None,
            report_series: ReportSeries::default(),
            is_syn_returned_before_report: false,
            flows: HostedFlows::default(),
            target_presence: TargetPresence::default(),
            flow_list: FlowList::default(),
            load_meter: LoadMeter::new(Slots::new(1), now),
            queue: RequestQueue::default(),
            slow_start: SlowStart::default(),
            response_meter: ResponseMeter::new(now),
            balancers: FastMap::default(),
            config_checkers: FastMap::default(),
            evacuations: EvacuationSet::default(),
            is_registered: false,
            seeds_reported_at: None,
            announced_since: None,
            is_stopping: false,
        }
    }

    /// Returns the record of the agent and its target for reports. It lacks the set of held flows, which only
    /// the store has: see [`Self::registration_record`].
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
            is_agent_stopping: self.is_stopping && self.state() != TargetState::Gone,
            held_flows: None,
        }
    }

    /// Returns the number of flows that are open or being opened.
    pub fn flow_count(&self) -> usize {
        self.flows.open_len()
    }

    /// Returns the load of the target. All responses of a target without status reports count as failed:
    /// it looks idle, but the agent refuses all flows for it.
    fn load(&mut self, now: Instant) -> AgentLoad {
        let failed_responses_percent = if self.is_status_overdue(now) {
            100
        } else {
            self.response_meter.failed_responses_percent(now)
        };
        let queued_requests = u16::try_from(self.queue.len()).unwrap_or(u16::MAX);
        AgentLoad {
            running_requests: self.requests(now).saturating_add(queued_requests),
            failed_responses_percent,
            weighted_responses: self.response_meter.weighted_responses(now),
            ..self.load_meter.load(self.flows.open_len(), now)
        }
    }

    /// Returns the number of requests that the target has not responded to and of expected first
    /// requests.
    fn requests(&mut self, now: Instant) -> u16 {
        let expected = u16::try_from(self.flows.expected_requests(now)).unwrap_or(u16::MAX);
        self.running_requests(now).saturating_add(expected)
    }

    fn is_busier_than(&mut self, expected: u16, now: Instant) -> bool {
        let slots = self.slots();
        self.load(now).is_busier_than(expected, slots)
    }

    fn slots(&self) -> Slots {
        let target = self.target.as_ref();
        target.map_or(Slots::new(1), TargetProcess::slots)
    }

    /// Counts a response by its HTTP status code. Balancers avoid targets whose responses fail.
    pub fn on_response(&mut self, status: u16, now: Instant) {
        self.response_meter.on_response(is_failure(status), now);
        if status >= MIN_FAILURE_STATUS {
            self.load_meter.on_failed_response();
        }
    }

    /// Returns the number of requests that the target has not responded to.
    pub fn running_requests(&mut self, now: Instant) -> u16 {
        self.load_meter.load(0, now).running_requests
    }

    fn state(&self) -> TargetState {
        let state = match &self.target {
            Some(target) => target.state(),
            None if self.is_stopping && self.target_presence.is_absent => TargetState::Gone,
            None => TargetState::Starting,
        };
        // The target may outlive its agent, and then still holds its flows.
        if self.is_stopping && state != TargetState::Gone {
            TargetState::Draining
        } else {
            state
        }
    }

    /// Processes the stop of the agent: refuses queued SYNs, passes the waiting requests of open flows and
    /// reports to all balancers.
    pub fn on_stop(&mut self, now: Instant) -> Vec<Action<'static>> {
        self.is_stopping = true;
        let mut actions = self.refuse_queued_syns(RefusalCause::Draining);
        actions.extend(self.pass_all_queued_requests(now));
        actions.extend(self.report_change(now));
        actions
    }

    /// Processes a forwarded packet of a caller other than a SYN.
    pub fn on_forward<'a>(
        &mut self,
        balancer: SocketAddrV4,
        header: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        self.on_balancer_message(balancer, now);
        if header.flags.contains(PacketFlags::SYN) {
            return dropped(flow, DropCause::UnexpectedFlags);
        }
        if self.flows.is_orphan(&flow, header.ack_number) {
            return reset_orphan(header);
        }
        match self.holds_flow(&flow, header.ack_number, now) {
            LookupAnswer::Held if self.has_target_exited(now) => {
                self.queue.remove_request(&flow);
                reset_orphan(header)
            }
            LookupAnswer::Held => self.on_packet_of_held_flow(balancer, header, packet, now),
            LookupAnswer::MayBeHeld => {
                self.flows.probe(flow, balancer, now);
                if header.payload_len_bytes > 0 {
                    self.count_probe_in_warmup(flow, now);
                }
                vec![Action::SendToTarget(Cow::Borrowed(packet))]
            }
            LookupAnswer::NotHeld => {
                let packet = Cow::Borrowed(packet);
                let mut actions = self.not_held_events(&flow, header.ack_number);
                actions.push(Action::send(balancer, Message::PacketReturned { packet }));
                actions
            }
        }
    }

    /// Returns whether the target holds a flow whose caller sent the given acknowledgement number.
    /// Retransmissions of a SYN may reach several targets, and the caller uses one of them.
    fn holds_flow(&self, flow: &FlowKey, ack_number: u32, now: Instant) -> LookupAnswer {
        match self.flows.holds(flow, ack_number) {
            Some(answer) => answer,
            // The agent sees the SYN-ACK of a flow before the caller does, unless the agent started
            // later.
            None if self.may_hold_unknown_flows(now) => LookupAnswer::MayBeHeld,
            None => LookupAnswer::NotHeld,
        }
    }

    /// Answers a balancer's lookup of a flow.
    pub fn on_lookup(
        &mut self,
        balancer: SocketAddrV4,
        flow: FlowKey,
        ack_number: u32,
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.on_balancer_message(balancer, now);
        let answer = self.lookup(&flow, ack_number, now);
        let mut actions = Vec::with_capacity(1);
        if answer == LookupAnswer::NotHeld {
            actions.extend(self.not_held_events(&flow, ack_number));
        }
        let reply = Message::LookupReply { flow, answer };
        actions.push(Action::send(balancer, reply));
        actions
    }

    /// Answers a balancer's lookup of several flows in one message.
    pub fn on_lookup_batch(
        &mut self,
        balancer: SocketAddrV4,
        queries: &[LookupQuery],
        now: Instant,
    ) -> Vec<Action<'static>> {
        self.on_balancer_message(balancer, now);
        let mut actions = Vec::with_capacity(1);
        let mut answers = Vec::with_capacity(queries.len());
        for LookupQuery { flow, ack_number } in queries {
            let answer = self.lookup(flow, *ack_number, now);
            if answer == LookupAnswer::NotHeld {
                actions.extend(self.not_held_events(flow, *ack_number));
            }
            answers.push((*flow, answer));
        }
        let reply = Message::LookupBatchReply(answers.into());
        actions.push(Action::send(balancer, reply));
        actions
    }

    /// Returns the event that the target does not hold a flow, if the agent has an entry for it.
    fn not_held_events<'a>(&self, flow: &FlowKey, ack_number: u32) -> Vec<Action<'a>> {
        let hosted = self.flows.get(flow);
        let event = hosted.and_then(|hosted| hosted.not_held_event(*flow, ack_number));
        event.map(Action::RecordEvent).into_iter().collect()
    }

    fn lookup(&self, flow: &FlowKey, ack_number: u32, now: Instant) -> LookupAnswer {
        // The agent resets a flow of an earlier process of the target at its next packet.
        if self.flows.is_orphan(flow, ack_number) {
            LookupAnswer::Held
        } else {
            self.holds_flow(flow, ack_number, now)
        }
    }

    /// Processes a packet that the target sent or returned.
    pub fn on_target_packet<'a>(
        &mut self,
        header: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        if header.flags.contains(PacketFlags::BOUNCED) {
            return self.on_bounced(header, packet, now);
        }
        let flow = header.flow_from_target();
        // The flow opens only if its caller gets the SYN-ACK, and balancers may know a set that excludes it.
        if header.is_syn_ack() && self.flow_list.may_be_stored() && self.flows.get(&flow).is_none()
        {
            return dropped(flow, DropCause::FlowNotFound);
        }
        let mut actions = Vec::with_capacity(3);
        let hosted = self.flows.get_or_insert(flow, now);
        if header.flags.contains(PacketFlags::RST) && hosted.request_age(now).is_some() {
            self.response_meter.on_response(true, now);
        }
        if header.payload_len_bytes > 0
            && let Some(elapsed) = hosted.request_age(now)
        {
            let event = FlowEvent::RequestAnswered { flow, elapsed };
            actions.push(Action::RecordEvent(event));
        }
        let is_acceptance = hosted.on_target_packet(header, &mut self.load_meter, now);
        if is_acceptance {
            let accepted = |balancer| Action::send(balancer, Message::OpenAccepted { flow });
            actions.extend(hosted.take_opening_balancers().map(accepted));
        }
        actions.push(Action::SendToCaller {
            caller: flow.caller,
            packet: Cow::Borrowed(packet),
        });
        actions.extend(self.pass_waiting_requests(now));
        actions
    }

    /// Processes timeouts: removes expired flows and balancers, passes or gives up waiting requests, and
    /// sends the reports that are due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Action<'static>> {
        self.flows.sweep(&self.options, &mut self.load_meter, now);
        let options = self.options;
        self.remove_silent_balancers(now);
        let mut actions = self.report_to_seeds(now);
        actions.extend(self.pass_waiting_requests(now));
        actions.extend(self.give_up_requests(now));
        actions.extend(self.presume_held(now));
        let due: Vec<_> = self
            .balancers
            .iter()
            .filter(|(_, balancer)| balancer.is_report_due(&options, now))
            .map(|(address, _)| *address)
            .collect();
        let reports = due.into_iter().filter_map(|b| self.report(b, now));
        actions.extend(reports);
        actions
    }

    /// Sends [`Message::OpenAccepted`] for flows whose packets the target has not returned.
    fn presume_held(&mut self, now: Instant) -> Vec<Action<'static>> {
        let is_alive =
            |target: &TargetProcess| target.has_reported_within(self.options.status_timeout, now);
        if !self.target.as_ref().is_some_and(is_alive) {
            return Vec::new();
        }
        let presumed = self.flows.presume_held(self.options.bounce_timeout, now);
        let accepted = |(flow, balancer)| Action::send(balancer, Message::OpenAccepted { flow });
        presumed.into_iter().map(accepted).collect()
    }

    /// Returns whether the target may hold flows that were opened before the agent started.
    fn may_hold_unknown_flows(&self, now: Instant) -> bool {
        !self.target_presence.was_absent && self.may_target_hold_earlier_flows(now)
    }

    /// Returns whether the target may hold flows that were opened before the agent started, by what it reports of itself
    /// alone. A target whose port refuses connections may hold flows all the same.
    fn may_target_hold_earlier_flows(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        let target = self.target.as_ref();
        age < self.options.flow_lifetime
            && target.is_none_or(TargetProcess::may_be_older_than_agent)
    }

    /// Returns which part of a flow the agent sees if it passes its SYN to the target now.
    fn view_of_new_flow(&self, now: Instant) -> FlowView {
        if self.may_target_hold_earlier_flows(now) {
            FlowView::Partial
        } else {
            FlowView::Whole
        }
    }

    /// Processes a packet that the target returned because it does not hold the flow.
    fn on_bounced<'a>(
        &mut self,
        header: &PacketHeader,
        packet: &'a [u8],
        now: Instant,
    ) -> Vec<Action<'a>> {
        let flow = header.flow_from_caller();
        let Some(hosted) = self.flows.get(&flow) else {
            return dropped(flow, DropCause::FlowNotFound);
        };
        self.is_syn_returned_before_report |= header.is_syn() && self.target.is_none();
        let (balancer, is_accepted) = (hosted.balancer(), hosted.is_accepted());
        if header.is_syn() && is_accepted {
            return Vec::new();
        }
        // The caller may use another target, which accepted a retransmission of the SYN.
        if is_accepted && hosted.followed_target(header.ack_number) != FollowedTarget::This {
            return return_to_balancer(balancer, flow, packet);
        }
        self.flows.remove(&flow, &mut self.load_meter, now);
        self.queue.remove_request(&flow);
        if header.is_syn() {
            self.slow_start.remove_syn(&flow);
        }
        match balancer {
            Some(balancer) if header.is_syn() => self.refuse_bounced_syn(balancer, flow),
            // Only a flow that the target had accepted is certain to have ended.
            _ if is_accepted => reset(header, ResetEvidence::returned_by_holder()),
            balancer => return_to_balancer(balancer, flow, packet),
        }
    }

    /// Returns whether the target announced its exit and the exit delay has passed.
    fn has_target_exited(&self, now: Instant) -> bool {
        let delay = self.options.exit_delay;
        let target = self.target.as_ref();
        target.is_some_and(|target| target.has_exited_for(delay, now))
    }
}

/// Returns a packet that the target does not take to the balancer that sent it, if that is known.
fn return_to_balancer(
    balancer: Option<SocketAddrV4>,
    flow: FlowKey,
    packet: &[u8],
) -> Vec<Action<'_>> {
    let Some(balancer) = balancer else {
        return dropped(flow, DropCause::FlowNotFound);
    };
    let packet = Cow::Borrowed(packet);
    vec![Action::send(balancer, Message::PacketReturned { packet })]
}

/// Resets a flow that ended with a process of the target, unless the caller's packet is a reset.
fn reset_orphan<'a>(header: &PacketHeader) -> Vec<Action<'a>> {
    if header.flags.contains(PacketFlags::RST) {
        return Vec::new();
    }
    reset(header, ResetEvidence::process_ended())
}
