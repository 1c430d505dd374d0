//! The flow table of an agent.

use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::FlowAgentOptions;
use super::target_numbers::{FollowedTarget, TargetNumbers};
use crate::collections::FastMap;
use crate::flow::event::FlowEvent;
use crate::flow::flow_view::FlowView;
use crate::flow::load::LoadMeter;
use crate::flow::message::{LookupAnswer, OpenParams};
use crate::flow::packet::{FlowKey, PacketFlags, PacketHeader};
use crate::flow::routes::RequestLimits;
use crate::flow::routes::SYN_ATTEMPT_TIMEOUT;

/// The time for which a new flow counts as an expected request; a caller sends its request within a
/// round trip after the SYN-ACK.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(50);

/// The time between two sweeps for expired flows.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The state of a flow at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostedFlowState {
    /// A SYN was passed to the target.
    Opening,
    /// A packet was passed to the target, which may hold the flow from before the agent started.
    Probing,
    /// The target has not returned the packet within the bounce timeout.
    PresumedHeld,
    /// The target accepted the flow or sent packets of it.
    Accepted,
    /// The caller sent packets to this target after its acceptance.
    Confirmed,
}

/// What the route of a flow says about its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FlowTerms {
    pub(super) priority: u8,
    pub(super) limits: RequestLimits,
}

impl From<&OpenParams> for FlowTerms {
    fn from(params: &OpenParams) -> Self {
        Self {
            priority: params.priority,
            limits: params.limits,
        }
    }
}

/// A flow that the target holds or is asked to open.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostedFlow {
    state: HostedFlowState,
    balancer: Option<SocketAddrV4>,
    /// The balancer that sent an earlier copy of the SYN, until the target has accepted the flow.
    earlier_balancer: Option<SocketAddrV4>,
    target_numbers: TargetNumbers,
    /// The priority and limits of its requests. None if another incarnation of the agent admitted the SYN.
    terms: Option<FlowTerms>,
    /// Whether a request was given up before it was passed, so that its data is missing at the target.
    is_data_missing: bool,
    /// The sequence number after the caller's last payload byte that was passed.
    caller_next_seq: Option<u32>,
    /// The time at which the request that the target has not responded to was passed to it.
    request_started_at: Option<Instant>,
    has_caller_finished: bool,
    has_target_finished: bool,
    /// The time at which the target accepted the flow, or got its SYN.
    opened_at: Instant,
    last_packet_at: Instant,
}

impl HostedFlow {
    /// Returns a flow whose SYN is passed to the target.
    const fn opening(view: FlowView, balancer: SocketAddrV4, now: Instant) -> Self {
        Self::new(HostedFlowState::Opening, view, Some(balancer), now)
    }

    /// Returns a flow that the target may hold from before the agent started.
    const fn probing(balancer: Option<SocketAddrV4>, now: Instant) -> Self {
        Self::new(HostedFlowState::Probing, FlowView::Partial, balancer, now)
    }

    const fn new(
        state: HostedFlowState,
        view: FlowView,
        balancer: Option<SocketAddrV4>,
        now: Instant,
    ) -> Self {
        Self {
            state,
            balancer,
            earlier_balancer: None,
            target_numbers: TargetNumbers::new(view),
            terms: None,
            is_data_missing: false,
            caller_next_seq: None,
            request_started_at: None,
            has_caller_finished: false,
            has_target_finished: false,
            opened_at: now,
            last_packet_at: now,
        }
    }

    /// Records the balancer that sent a copy of the SYN.
    fn set_opening_balancer(&mut self, balancer: SocketAddrV4) {
        let earlier = self.balancer.replace(balancer);
        if !self.is_accepted() && earlier != Some(balancer) {
            self.earlier_balancer = earlier;
        }
    }

    /// Takes out the balancers that wait for the acceptance of the flow.
    pub(super) fn take_opening_balancers(&mut self) -> impl Iterator<Item = SocketAddrV4> + use<> {
        self.balancer
            .into_iter()
            .chain(self.earlier_balancer.take())
    }

    pub(super) const fn balancer(&self) -> Option<SocketAddrV4> {
        self.balancer
    }

    pub(super) fn is_accepted(&self) -> bool {
        matches!(
            self.state,
            HostedFlowState::Accepted | HostedFlowState::Confirmed
        )
    }

    /// Returns whether the target accepted the flow or is presumed to hold it.
    pub(super) fn is_held(&self) -> bool {
        self.is_accepted() || self.state == HostedFlowState::PresumedHeld
    }

    const fn is_closed(&self) -> bool {
        self.has_caller_finished && self.has_target_finished
    }

    /// Returns whether a SYN that arrives now opens another flow from the same port: the flow is closed, and its own
    /// SYN has no copies under way.
    fn is_replaced_by_syn(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.last_packet_at);
        self.is_closed() && idle >= SYN_ATTEMPT_TIMEOUT
    }

    /// Returns which target a caller with the given acknowledgement number follows.
    pub(super) fn followed_target(&self, ack_number: u32) -> FollowedTarget {
        self.target_numbers.followed_target(ack_number)
    }

    /// Returns whether the target holds the flow of a caller with the given acknowledgement number.
    fn lookup_answer(&self, ack_number: u32) -> LookupAnswer {
        match self.followed_target(ack_number) {
            FollowedTarget::This => LookupAnswer::Held,
            FollowedTarget::Other => LookupAnswer::NotHeld,
            FollowedTarget::Unknown if self.state == HostedFlowState::PresumedHeld => {
                LookupAnswer::Held
            }
            FollowedTarget::Unknown => LookupAnswer::MayBeHeld,
        }
    }

    /// Returns the event that the target does not hold the flow of a caller with the given acknowledgement number.
    pub(super) fn not_held_event(&self, flow: FlowKey, ack_number: u32) -> Option<FlowEvent> {
        self.target_numbers.not_held_event(flow, ack_number)
    }

    /// Records that a packet is passed to the target, which may not hold the flow. Returns whether the target has no
    /// earlier one to return.
    fn begin_probe(&mut self, balancer: SocketAddrV4, now: Instant) -> bool {
        self.balancer = Some(balancer);
        self.last_packet_at = now;
        std::mem::replace(&mut self.state, HostedFlowState::Probing) != HostedFlowState::Probing
    }

    /// Processes a packet of the caller. Returns whether it is the first packet of a request.
    pub(super) fn on_caller_packet(
        &mut self,
        balancer: SocketAddrV4,
        header: &PacketHeader,
        meter: &mut LoadMeter,
        now: Instant,
    ) -> bool {
        self.balancer = Some(balancer);
        self.last_packet_at = now;
        if self.is_accepted() {
            self.state = HostedFlowState::Confirmed;
        }
        if header.flags.contains(PacketFlags::RST) {
            self.abandon_request(meter, now);
            self.has_caller_finished = true;
            self.has_target_finished = true;
        }
        self.has_caller_finished |= header.flags.contains(PacketFlags::FIN);
        let has_new_data = self.track_caller_data(header);
        let begins_request = has_new_data && self.may_begin_request();
        if begins_request {
            self.request_started_at = Some(now);
            meter.begin_request(now);
        }
        begins_request
    }

    pub(super) const fn terms(&self) -> Option<FlowTerms> {
        self.terms
    }

    pub(super) const fn is_data_missing(&self) -> bool {
        self.is_data_missing
    }

    /// Returns whether the caller has not sent a request yet.
    pub(super) const fn awaits_first_request(&self) -> bool {
        self.caller_next_seq.is_none()
    }

    /// Returns whether the agent knows which data of the caller the target has. On a flow that it met in its middle, the
    /// first data may be a retransmission.
    pub(super) fn is_caller_data_known(&self) -> bool {
        self.target_numbers.view() == FlowView::Whole || self.caller_next_seq.is_some()
    }

    /// Returns whether new data of the caller begins a request.
    pub(super) const fn may_begin_request(&self) -> bool {
        self.request_started_at.is_none() && !self.is_closed()
    }

    /// Returns whether a caller's packet contains data that was not passed yet: a retransmission of a
    /// request that crosses its response is not a new request.
    pub(super) fn has_new_data(&self, header: &PacketHeader) -> bool {
        let next = header.next_seq();
        header.payload_len_bytes > 0
            && self
                .caller_next_seq
                .is_none_or(|last| (1..u32::MAX / 2).contains(&next.wrapping_sub(last)))
    }

    /// Tracks the payload of a caller's packet. Returns whether it contains new data.
    fn track_caller_data(&mut self, header: &PacketHeader) -> bool {
        let has_new_data = self.has_new_data(header);
        if has_new_data {
            self.caller_next_seq = Some(header.next_seq());
        }
        has_new_data
    }

    /// Processes a packet of the target. Returns whether the flow should be reported as accepted: at the
    /// first packet and at each SYN-ACK.
    pub(super) fn on_target_packet(
        &mut self,
        header: &PacketHeader,
        meter: &mut LoadMeter,
        now: Instant,
    ) -> bool {
        self.last_packet_at = now;
        let is_first_packet = !self.is_accepted();
        if !header.flags.contains(PacketFlags::RST) {
            if is_first_packet {
                self.state = HostedFlowState::Accepted;
                self.opened_at = now;
            }
            self.target_numbers.on_packet(header);
        }
        let is_closing =
            header.flags.contains(PacketFlags::FIN) || header.flags.contains(PacketFlags::RST);
        // A target that closes a flow sends no response to the request that its caller gave up.
        if header.payload_len_bytes > 0 {
            self.complete_request(meter, now);
        } else if is_closing {
            self.abandon_request(meter, now);
        }
        self.has_caller_finished |= header.flags.contains(PacketFlags::RST);
        self.has_target_finished |= is_closing;
        is_first_packet || header.is_syn_ack()
    }

    /// Removes the request of the flow from the running ones after its response.
    fn complete_request(&mut self, meter: &mut LoadMeter, now: Instant) {
        if self.request_started_at.take().is_some() {
            meter.complete_request(now);
        }
    }

    /// Removes the request of the flow from the running ones when it is given up.
    fn abandon_request(&mut self, meter: &mut LoadMeter, now: Instant) {
        if self.request_started_at.take().is_some() {
            meter.abandon_request(now);
        }
    }

    /// Returns the time since the target got its request, or nothing if it has none.
    pub(super) fn request_age(&self, now: Instant) -> Option<Duration> {
        let since = self.request_started_at?;
        Some(now.saturating_duration_since(since))
    }

    fn is_kept(&self, options: &FlowAgentOptions, now: Instant) -> bool {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let lifetime = if self.is_held() && !self.is_closed() {
            options.flow_lifetime
        } else {
            options.closed_flow_lifetime
        };
        elapsed(self.last_packet_at) < lifetime
    }
}

/// The flows of a target.
#[derive(Debug, Default)]
pub(super) struct HostedFlows {
    flows: FastMap<FlowKey, HostedFlow>,
    /// Flows of an earlier process of the target, which are reset at their next packet.
    orphans: FastMap<FlowKey, HostedFlow>,
    orphaned_at: Option<Instant>,
    /// Flows whose packets the target may return, with the times of their first packets.
    probing: VecDeque<(Instant, FlowKey)>,
    /// Flows that were opened within [`FIRST_REQUEST_DELAY`], with the times of their SYNs.
    recently_opened: VecDeque<(Instant, FlowKey)>,
    open_len: usize,
    swept_at: Option<Instant>,
}

impl HostedFlows {
    /// Returns the number of flows that are open or being opened, as of the last sweep or change.
    pub(super) fn open_len(&self) -> usize {
        self.open_len
    }

    /// Returns the flows that are not closed, including those being opened or probed.
    pub(super) fn open_flows(&self) -> impl Iterator<Item = FlowKey> {
        let open = self.flows.iter().filter(|(_, hosted)| !hosted.is_closed());
        open.map(|(flow, _)| *flow)
    }

    pub(super) fn get(&self, flow: &FlowKey) -> Option<&HostedFlow> {
        self.flows.get(flow)
    }

    pub(super) fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut HostedFlow> {
        self.flows.get_mut(flow)
    }

    /// Adds a flow whose SYN is passed to the target. `view` tells whether the target can have held it before.
    /// Returns whether it is new.
    pub(super) fn open(
        &mut self,
        flow: FlowKey,
        view: FlowView,
        balancer: SocketAddrV4,
        terms: FlowTerms,
        now: Instant,
    ) -> bool {
        self.orphans.remove(&flow);
        let is_port_reused = |hosted: &HostedFlow| hosted.is_replaced_by_syn(now);
        if self.flows.get(&flow).is_some_and(is_port_reused) {
            self.flows.remove(&flow);
        }
        let is_new = !self.flows.contains_key(&flow);
        if is_new {
            self.open_len += 1;
            self.recently_opened.push_back((now, flow));
        }
        let opening = || HostedFlow::opening(view, balancer, now);
        let hosted = self.flows.entry(flow).or_insert_with(opening);
        // The target may hold the flow again after a copy of its SYN.
        if hosted.is_closed() {
            hosted.has_caller_finished = false;
            hosted.has_target_finished = false;
        }
        hosted.set_opening_balancer(balancer);
        hosted.terms.get_or_insert(terms);
        hosted.last_packet_at = now;
        is_new
    }

    /// Returns the number of recently opened flows whose first request has not arrived yet.
    pub(super) fn expected_requests(&mut self, now: Instant) -> usize {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= FIRST_REQUEST_DELAY;
        while self
            .recently_opened
            .front()
            .is_some_and(|(at, _)| is_old(*at))
        {
            self.recently_opened.pop_front();
        }
        let is_awaiting_request =
            |flow: &FlowKey| self.get(flow).is_some_and(|h| h.caller_next_seq.is_none());
        self.recently_opened
            .iter()
            .filter(|(_, flow)| is_awaiting_request(flow))
            .count()
    }

    /// Returns whether the first request of a flow counts among [`Self::expected_requests`].
    pub(super) fn is_request_expected(&mut self, flow: &FlowKey, now: Instant) -> bool {
        let awaits_first = self.get(flow).is_some_and(HostedFlow::awaits_first_request);
        awaits_first
            && self.expected_requests(now) > 0
            && self
                .recently_opened
                .iter()
                .any(|(_, opened)| opened == flow)
    }

    /// Marks a flow whose waiting request is given up.
    pub(super) fn mark_data_dropped(&mut self, flow: &FlowKey) {
        if let Some(hosted) = self.flows.get_mut(flow) {
            hosted.is_data_missing = true;
        }
    }

    /// Returns whether the target holds a flow whose caller sent the given acknowledgement number; nothing if it
    /// neither accepted the flow nor is presumed to hold it.
    pub(super) fn holds(&self, flow: &FlowKey, ack_number: u32) -> Option<LookupAnswer> {
        let held = self.flows.get(flow).filter(|hosted| hosted.is_held());
        held.map(|hosted| hosted.lookup_answer(ack_number))
    }

    /// Records that a packet of a flow that the target may hold is passed to it.
    pub(super) fn probe(&mut self, flow: FlowKey, balancer: SocketAddrV4, now: Instant) {
        let is_first = match self.flows.entry(flow) {
            Entry::Occupied(mut hosted) => hosted.get_mut().begin_probe(balancer, now),
            Entry::Vacant(vacant) => {
                vacant.insert(HostedFlow::probing(Some(balancer), now));
                true
            }
        };
        if is_first {
            self.probing.push_back((now, flow));
        }
    }

    /// Marks the flows whose packets the target has not returned within `timeout` as presumed held.
    /// Returns them with their balancers.
    pub(super) fn presume_held(
        &mut self,
        timeout: Duration,
        now: Instant,
    ) -> Vec<(FlowKey, SocketAddrV4)> {
        let mut presumed = Vec::new();
        while let Some((since, flow)) = self.probing.front().copied() {
            if now.saturating_duration_since(since) < timeout {
                break;
            }
            self.probing.pop_front();
            if let Some(hosted) = self.flows.get_mut(&flow)
                && hosted.state == HostedFlowState::Probing
                && let Some(balancer) = hosted.balancer
            {
                hosted.state = HostedFlowState::PresumedHeld;
                presumed.push((flow, balancer));
            }
        }
        presumed
    }

    /// Returns a flow that the target sent a packet of, and adds it if the agent has not seen it.
    pub(super) fn get_or_insert(&mut self, flow: FlowKey, now: Instant) -> &mut HostedFlow {
        self.flows
            .entry(flow)
            .or_insert_with(|| HostedFlow::probing(None, now))
    }

    pub(super) fn remove(&mut self, flow: &FlowKey, meter: &mut LoadMeter, now: Instant) {
        if let Some(mut hosted) = self.flows.remove(flow) {
            hosted.abandon_request(meter, now);
            self.open_len = self.open_len.saturating_sub(1);
        }
    }

    /// Moves the flows that were opened before `until` to the orphans, as the target restarted and no
    /// longer holds them. If the target does not hold a later flow either, it returns its packets.
    pub(super) fn orphan(&mut self, until: Instant, meter: &mut LoadMeter, now: Instant) {
        let earlier = self.flows.extract_if(|_, hosted| hosted.opened_at < until);
        let confirmed = earlier.filter(|(_, hosted)| hosted.state == HostedFlowState::Confirmed);
        self.orphans.extend(confirmed);
        self.orphaned_at = None;
        self.open_len = self.flows.len();
        for _ in self
            .flows
            .values()
            .filter(|f| f.request_started_at.is_some())
        {
            meter.begin_request(now);
        }
    }

    /// Returns whether an earlier process of the target held a flow whose caller sent the given
    /// acknowledgement number.
    pub(super) fn is_orphan(&self, flow: &FlowKey, ack_number: u32) -> bool {
        let orphan = self.orphans.get(flow);
        orphan.is_some_and(|hosted| hosted.followed_target(ack_number) == FollowedTarget::This)
    }

    pub(super) fn sweep(
        &mut self,
        options: &FlowAgentOptions,
        meter: &mut LoadMeter,
        now: Instant,
    ) {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        if self.swept_at.is_some_and(|at| elapsed(at) < SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(now);
        self.flows.retain(|_, hosted| {
            if hosted.request_age(now) >= Some(options.request_timeout) {
                hosted.abandon_request(meter, now);
            }
            let is_kept = hosted.is_kept(options, now);
            if !is_kept {
                hosted.abandon_request(meter, now);
            }
            is_kept
        });
        self.open_len = self.flows.values().filter(|f| !f.is_closed()).count();
        let orphaned_at = *self.orphaned_at.get_or_insert(now);
        if elapsed(orphaned_at) >= options.flow_lifetime {
            self.orphans.clear();
        }
    }
}
