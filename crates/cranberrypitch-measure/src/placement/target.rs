//! A simulated agent: its slots, its waiting requests and its handoff state.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::handoff::{Action, Event, Handoff, HandoffOptions, QueueState};
use cranberrypitch_core::membership::TargetReport;
use cranberrypitch_core::{
    Announcement, ConnectionLimit, FailureDomain, Incarnation, Revision, ServiceName, Slots,
    TargetLoad, TargetState, VmId,
};
use rand_pcg::Pcg64Mcg;

use super::options::Options;
use super::queue::{OrganisationQueues, QueuedRequest};
use super::statistics::Gauge;

pub(crate) const FAILURE_DOMAINS: [&str; 3] = ["mitt-a", "mitt-b", "mitt-c"];
const SERVICE: &str = "verkstad";
const CONNECTIONS_MAX: u32 = 1_000_000;

pub(crate) fn address(target: usize) -> SocketAddrV4 {
    let low = u32::try_from(target).unwrap_or(u32::MAX);
    SocketAddrV4::new(Ipv4Addr::from_bits((10 << 24) | low), 4000)
}

pub(crate) fn target_index(address: SocketAddrV4) -> usize {
    (address.ip().to_bits() & 0x00ff_ffff) as usize
}

pub(crate) fn service_name() -> ServiceName {
    ServiceName::try_new(SERVICE).expect("the constant is a valid name")
}

pub(crate) fn failure_domain(index: usize) -> FailureDomain {
    let name = FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()];
    FailureDomain::try_new(name).expect("the constants are valid names")
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) is_alive: bool,
    pub(crate) incarnation: u64,
    pub(crate) connections: u32,
    pub(crate) requests: Gauge,
    pub(crate) scheduled_tick: Option<Instant>,
    /// Whether the next report carries the announcement: after a start, or when a balancer lacks it.
    pub(crate) must_announce: bool,
    index: usize,
    slots: u32,
    running: u32,
    sequence: u64,
    queues: OrganisationQueues,
    handoff: Option<Handoff>,
    announcement: Announcement,
}

impl Target {
    pub(crate) fn new(index: usize, options: &Options, now: Instant) -> Self {
        Self {
            is_alive: true,
            incarnation: 1,
            connections: 0,
            requests: Gauge::new(now),
            scheduled_tick: None,
            must_announce: true,
            index,
            slots: options.slots,
            running: 0,
            sequence: 0,
            queues: OrganisationQueues::new(options.organisations),
            handoff: None,
            announcement: Announcement {
                vm: VmId::try_new(&format!("vm-{index}")).expect("the format is a valid name"),
                failure_domain: failure_domain(index),
                service: service_name(),
                connection_limit: ConnectionLimit::new(CONNECTIONS_MAX),
            },
        }
    }

    pub(crate) fn enable_handoff(&mut self, targets: usize, now: Instant) {
        let mut handoff = Handoff::new(HandoffOptions::default(), now);
        let peers = (0..targets).filter(|peer| *peer != self.index);
        handoff.set_peers(peers.map(address).collect());
        self.handoff = Some(handoff);
    }

    /// Drops all work at the target and returns the number of flows that break.
    pub(crate) fn kill(&mut self, now: Instant) -> u32 {
        self.is_alive = false;
        self.queues.clear();
        self.running = 0;
        self.handoff = None;
        self.update_request_gauge(now);
        std::mem::take(&mut self.connections)
    }

    pub(crate) fn restart(&mut self) {
        self.is_alive = true;
        self.incarnation += 1;
        self.must_announce = true;
        self.sequence = 0;
    }

    pub(crate) fn report(&mut self) -> TargetReport {
        self.sequence += 1;
        let must_announce = std::mem::take(&mut self.must_announce);
        TargetReport {
            address: address(self.index),
            incarnation: Incarnation::new(self.incarnation),
            sequence: self.sequence,
            state: TargetState::Ready,
            revision: Revision::new(1),
            load: TargetLoad {
                slots: Slots::new(self.slots),
                running: self.running,
                waiting: self.queues.len(),
                connections: self.connections,
            },
            announcement: must_announce.then(|| self.announcement.clone()),
        }
    }

    /// Starts a request on its reserved slot, or else queues it unless the organisation's queue is full.
    pub(crate) fn admit(
        &mut self,
        organisation: usize,
        request: QueuedRequest,
        reservation_serial: Option<u64>,
        now: Instant,
    ) -> AdmitResult {
        if reservation_serial.is_some_and(|serial| self.claim(serial, now)) {
            self.running += 1;
            self.update_request_gauge(now);
            return AdmitResult::Started;
        }
        let is_queued = self.queues.push(organisation, request);
        self.update_request_gauge(now);
        if is_queued {
            AdmitResult::Queued
        } else {
            AdmitResult::Refused
        }
    }

    /// Removes the waiting requests whose deadline has passed and returns the indices of their flows.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<usize> {
        let expired = self.queues.expire(now);
        self.update_request_gauge(now);
        expired
    }

    /// Takes the next waiting request and assigns it a slot, if one is free and not reserved.
    pub(crate) fn start_next(&mut self, now: Instant) -> Option<QueuedRequest> {
        let reserved = self.handoff.as_ref().map_or(0, Handoff::reserved_slots);
        if self.running + reserved >= self.slots {
            return None;
        }
        let next = self.queues.pop()?;
        self.running += 1;
        self.update_request_gauge(now);
        Some(next)
    }

    pub(crate) fn pop_waiting(&mut self, now: Instant) -> Option<QueuedRequest> {
        let next = self.queues.pop()?;
        self.update_request_gauge(now);
        Some(next)
    }

    pub(crate) fn finish(&mut self, now: Instant) {
        self.running -= 1;
        self.update_request_gauge(now);
    }

    /// Returns the event that reports free slots and waiting requests to the handoff.
    pub(crate) fn queue_event(&self) -> Event {
        Event::Queue(QueueState {
            free_slots: self.slots - self.running,
            waiting: self.queues.len(),
            movable: self.queues.len(),
            oldest_since: self.queues.oldest_arrival(),
            may_offer_slots: true,
        })
    }

    pub(crate) fn on_event(
        &mut self,
        event: Event,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Action> {
        match &mut self.handoff {
            Some(handoff) => handoff.on_event(event, now, rng),
            None => Vec::new(),
        }
    }

    /// Returns the time of a tick to schedule, or `None` if one is already scheduled by then.
    pub(crate) fn next_tick_to_schedule(&mut self, now: Instant) -> Option<Instant> {
        let due = self
            .handoff
            .as_ref()?
            .next_tick()?
            .max(now + Duration::from_micros(1));
        if self
            .scheduled_tick
            .is_some_and(|scheduled| scheduled <= due)
        {
            return None;
        }
        self.scheduled_tick = Some(due);
        Some(due)
    }

    fn claim(&mut self, serial: u64, now: Instant) -> bool {
        let handoff = self.handoff.as_mut();
        handoff.is_some_and(|handoff| handoff.claim(serial, now))
    }

    fn update_request_gauge(&mut self, now: Instant) {
        self.requests.set(self.running + self.queues.len(), now);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmitResult {
    Started,
    Queued,
    Refused,
}
