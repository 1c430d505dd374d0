//! The flows of a target.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::EndpointOptions;
use crate::collections::FastMap;
use crate::flow::load::LoadMeter;
use crate::flow::packet::{FlowKey, PacketFlags, PacketHeader};

/// A caller may acknowledge this many sequence numbers beyond the last payload, for the flags that
/// count as one.
const FLAG_SEQUENCE_NUMBERS: u32 = 4;

/// How long a flow that opens counts as a request on its way; a caller follows the acceptance with its
/// request within a round trip.
const REQUEST_DELAY: Duration = Duration::from_millis(50);

/// The time between two searches for old flows.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostedState {
    /// The target has an opening packet.
    Opening,
    /// A packet was passed on, as the target may hold the flow from before the agent started.
    Expected,
    /// The target has not returned a packet that it was expected to know.
    Presumed,
    /// The target accepted the flow or sent packets of it.
    Accepted,
    /// The caller follows this target.
    Confirmed,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct HostedFlow {
    state: HostedState,
    balancer: Option<SocketAddrV4>,
    /// The first sequence number of the target and the one after its last payload.
    sent: Option<(u32, u32)>,
    /// The caller's sequence number after its last payload.
    caller_next: Option<u32>,
    /// When the request that the target has was passed to it.
    request_since: Option<Instant>,
    caller_finished: bool,
    target_finished: bool,
    /// When the target accepted the flow, or got its opening packet.
    begun_at: Instant,
    used_at: Instant,
}

impl HostedFlow {
    const fn new(state: HostedState, balancer: Option<SocketAddrV4>, now: Instant) -> Self {
        Self {
            state,
            balancer,
            sent: None,
            caller_next: None,
            request_since: None,
            caller_finished: false,
            target_finished: false,
            begun_at: now,
            used_at: now,
        }
    }

    pub(super) const fn balancer(&self) -> Option<SocketAddrV4> {
        self.balancer
    }

    pub(super) fn is_accepted(&self) -> bool {
        matches!(self.state, HostedState::Accepted | HostedState::Confirmed)
    }

    /// Returns whether packets of the flow go to the target without a doubt.
    pub(super) fn is_held(&self) -> bool {
        self.is_accepted() || self.state == HostedState::Presumed
    }

    const fn is_ended(&self) -> bool {
        self.caller_finished && self.target_finished
    }

    /// Returns whether a caller that follows this target can acknowledge a number. Copies of an
    /// opening packet may have been accepted by several targets, each with its own numbers.
    pub(super) const fn may_be_acknowledged(&self, ack_number: u32) -> bool {
        match self.sent {
            None => true,
            Some((first, next)) => {
                let length = next.wrapping_sub(first).wrapping_add(FLAG_SEQUENCE_NUMBERS);
                ack_number.wrapping_sub(first) <= length
            }
        }
    }

    /// Takes in a packet of the caller. Returns whether a request begins with it.
    pub(super) fn on_caller_packet(
        &mut self,
        balancer: SocketAddrV4,
        head: &PacketHeader,
        meter: &mut LoadMeter,
        now: Instant,
    ) -> bool {
        self.balancer = Some(balancer);
        self.used_at = now;
        if self.is_accepted() {
            self.state = HostedState::Confirmed;
        }
        if head.flags.contains(PacketFlags::RST) {
            self.finish(meter, now);
            self.caller_finished = true;
            self.target_finished = true;
        }
        self.caller_finished |= head.flags.contains(PacketFlags::FIN);
        let is_new = self.note_received(head);
        let begins = is_new && self.request_since.is_none() && !self.is_ended();
        if begins {
            self.request_since = Some(now);
            meter.begin_request(now);
        }
        begins
    }

    /// Notes the payload of a caller's packet. Returns whether it reaches beyond the earlier ones: a
    /// copy of a request may cross its answer, and is no other request.
    fn note_received(&mut self, head: &PacketHeader) -> bool {
        let next = head
            .seq_number
            .wrapping_add(u32::from(head.payload_len_bytes));
        let is_new = head.payload_len_bytes > 0
            && self
                .caller_next
                .is_none_or(|last| (1..u32::MAX / 2).contains(&next.wrapping_sub(last)));
        if is_new {
            self.caller_next = Some(next);
        }
        is_new
    }

    /// Takes in a packet of the target. Returns whether it is the first sign that the target holds
    /// the flow, or a copy of its acceptance.
    pub(super) fn on_target_packet(
        &mut self,
        head: &PacketHeader,
        meter: &mut LoadMeter,
        now: Instant,
    ) -> bool {
        self.used_at = now;
        let is_first_sign = !self.is_accepted();
        if !head.flags.contains(PacketFlags::RST) {
            if is_first_sign {
                self.state = HostedState::Accepted;
                self.begun_at = now;
            }
            self.note_sent(head);
        }
        let closes = head.flags.contains(PacketFlags::FIN) || head.flags.contains(PacketFlags::RST);
        // A target that closes the flow of a request that was given up sends no answer.
        if head.payload_len_bytes > 0 || closes {
            self.finish(meter, now);
        }
        self.caller_finished |= head.flags.contains(PacketFlags::RST);
        self.target_finished |= closes;
        is_first_sign || head.is_syn_ack()
    }

    fn note_sent(&mut self, head: &PacketHeader) {
        let next = head
            .seq_number
            .wrapping_add(u32::from(head.payload_len_bytes));
        match &mut self.sent {
            // A later run of the target accepted the flow with numbers of its own.
            Some((first, _)) if head.is_syn_ack() && *first != head.seq_number => {
                self.sent = Some((head.seq_number, next));
            }
            Some((first, last)) => {
                let is_further = next.wrapping_sub(*first) > last.wrapping_sub(*first);
                let is_near = next.wrapping_sub(*first) < u32::MAX / 2;
                if is_further && is_near {
                    *last = next;
                }
            }
            // The numbers are complete only if the acceptance was seen.
            None if head.is_syn_ack() => self.sent = Some((head.seq_number, next)),
            None => {}
        }
    }

    /// Notes that the target answered the request of the flow, or that it is given up.
    fn finish(&mut self, meter: &mut LoadMeter, now: Instant) {
        if self.request_since.take().is_some() {
            meter.end_request(now);
        }
    }

    /// Returns how long the target has had its request, if it has one.
    pub(super) fn request_age(&self, now: Instant) -> Option<Duration> {
        let since = self.request_since?;
        Some(now.saturating_duration_since(since))
    }

    fn is_kept(&self, options: &EndpointOptions, now: Instant) -> bool {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let limit = if self.is_held() && !self.is_ended() {
            options.flow_lifetime
        } else {
            options.closed_flow_lifetime
        };
        elapsed(self.used_at) < limit
    }
}

/// The flows of one target.
#[derive(Debug, Default)]
pub(super) struct HostedFlows {
    flows: FastMap<FlowKey, HostedFlow>,
    /// Flows of an earlier run of the target, which are reset at their next packet.
    orphans: FastMap<FlowKey, HostedFlow>,
    orphaned_at: Option<Instant>,
    /// Flows whose packets the target may return.
    expected: VecDeque<(Instant, FlowKey)>,
    /// Flows that were opened lately.
    opened: VecDeque<(Instant, FlowKey)>,
    open_len: usize,
    swept_at: Option<Instant>,
}

impl HostedFlows {
    /// Returns the number of flows that are open or opening, as of the last sweep or change.
    pub(super) fn open_len(&self) -> usize {
        self.open_len
    }

    pub(super) fn get(&self, flow: &FlowKey) -> Option<&HostedFlow> {
        self.flows.get(flow)
    }

    pub(super) fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut HostedFlow> {
        self.flows.get_mut(flow)
    }

    pub(super) fn open(&mut self, flow: FlowKey, balancer: SocketAddrV4, now: Instant) {
        self.orphans.remove(&flow);
        let open_len = &mut self.open_len;
        let hosted = self.flows.entry(flow).or_insert_with(|| {
            *open_len += 1;
            self.opened.push_back((now, flow));
            HostedFlow::new(HostedState::Opening, Some(balancer), now)
        });
        hosted.balancer = Some(balancer);
        hosted.used_at = now;
    }

    /// Returns the flows that were opened lately and whose first request is still on its way.
    pub(super) fn requests_on_the_way(&mut self, now: Instant) -> usize {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= REQUEST_DELAY;
        while self.opened.front().is_some_and(|(at, _)| is_old(*at)) {
            self.opened.pop_front();
        }
        let awaits = |flow: &FlowKey| self.get(flow).is_some_and(|h| h.caller_next.is_none());
        self.opened.iter().filter(|(_, flow)| awaits(flow)).count()
    }

    pub(super) fn expect(&mut self, flow: FlowKey, balancer: SocketAddrV4, now: Instant) {
        let hosted = HostedFlow::new(HostedState::Expected, Some(balancer), now);
        if self.flows.insert(flow, hosted).is_none() {
            self.expected.push_back((now, flow));
        }
    }

    /// Presumes that the target holds the flows whose packets it has not returned within `limit`.
    /// Returns them with their balancers.
    pub(super) fn presume(
        &mut self,
        limit: Duration,
        now: Instant,
    ) -> Vec<(FlowKey, SocketAddrV4)> {
        let mut presumed = Vec::new();
        while let Some((since, flow)) = self.expected.front().copied() {
            if now.saturating_duration_since(since) < limit {
                break;
            }
            self.expected.pop_front();
            if let Some(hosted) = self.flows.get_mut(&flow)
                && hosted.state == HostedState::Expected
                && let Some(balancer) = hosted.balancer
            {
                hosted.state = HostedState::Presumed;
                presumed.push((flow, balancer));
            }
        }
        presumed
    }

    pub(super) fn get_or_adopt(&mut self, flow: FlowKey, now: Instant) -> &mut HostedFlow {
        self.flows
            .entry(flow)
            .or_insert_with(|| HostedFlow::new(HostedState::Expected, None, now))
    }

    pub(super) fn remove(&mut self, flow: &FlowKey, meter: &mut LoadMeter, now: Instant) {
        if let Some(mut hosted) = self.flows.remove(flow) {
            hosted.finish(meter, now);
            self.open_len = self.open_len.saturating_sub(1);
        }
    }

    /// Notes that the target started anew and holds none of the flows that began before `until`.
    /// The target returns packets of those later flows that it does not hold.
    pub(super) fn orphan(&mut self, until: Instant, meter: &mut LoadMeter, now: Instant) {
        let earlier = self.flows.extract_if(|_, hosted| hosted.begun_at < until);
        let confirmed = earlier.filter(|(_, hosted)| hosted.state == HostedState::Confirmed);
        self.orphans.extend(confirmed);
        self.orphaned_at = None;
        self.open_len = self.flows.len();
        for _ in self.flows.values().filter(|f| f.request_since.is_some()) {
            meter.begin_request(now);
        }
    }

    /// Returns whether an earlier run of the target held a flow whose caller acknowledged a number.
    pub(super) fn is_orphan(&self, flow: &FlowKey, ack_number: u32) -> bool {
        let orphan = self.orphans.get(flow);
        orphan.is_some_and(|hosted| hosted.may_be_acknowledged(ack_number))
    }

    pub(super) fn sweep(&mut self, options: &EndpointOptions, meter: &mut LoadMeter, now: Instant) {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        if self.swept_at.is_some_and(|at| elapsed(at) < SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(now);
        self.flows.retain(|_, hosted| {
            if hosted.request_age(now) >= Some(options.request_timeout) {
                hosted.finish(meter, now);
            }
            let is_kept = hosted.is_kept(options, now);
            if !is_kept {
                hosted.finish(meter, now);
            }
            is_kept
        });
        self.open_len = self.flows.values().filter(|f| !f.is_ended()).count();
        let orphaned_at = *self.orphaned_at.get_or_insert(now);
        if elapsed(orphaned_at) >= options.flow_lifetime {
            self.orphans.clear();
        }
    }
}
