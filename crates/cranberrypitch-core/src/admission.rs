//! Admission: the agent's authority over the slots and connections of its backend server.
//!
//! Orders and uploads take a slot while they run and wait for one in the queue of their
//! organisation. The organisation with the fewest recent starts is next, so an organisation with
//! many requests delays only itself. Feeds take a connection and never wait. A request ends here in
//! one of two ways: it was started and has finished, or it was refused or redirected and was never
//! started.

mod estimate;
mod options;
mod queue;
mod ramp;

use std::collections::BTreeSet;
use std::time::Instant;

pub use self::options::{AdmissionOptions, AdmissionOptionsBuilder, ColdStart};
pub use self::ramp::CapacityLimit;

use self::estimate::ServiceTime;
use self::queue::{FairQueue, QueueIndex};
use self::ramp::Ramp;
use crate::collections::FastMap;
use crate::ids::{OrganisationId, RequestId};
use crate::request::{NotRunReason, RequestClass};
use crate::target::TargetLoad;
use crate::units::Slots;

/// A request that asks to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The number of the request; one that is in use is ignored.
    pub request: RequestId,
    /// The organisation whose queue it joins.
    pub organisation: OrganisationId,
    /// What it takes.
    pub class: RequestClass,
    /// When it must have started.
    pub deadline: Instant,
    /// The reservation that it redeems.
    pub reservation: Option<u64>,
}

/// How a started request ended at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishResult {
    /// It ran, and its time counts as a service time.
    Ran,
    /// No byte of it reached the backend server.
    NotRun,
}

/// What happened at the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Event {
    /// A request arrived.
    Submit(Submission),
    /// A started request has ended.
    Finish {
        /// The request.
        request: RequestId,
        /// How it ended.
        result: FinishResult,
    },
    /// The caller gave a request up.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// A waiting request is about to be redirected to a peer that holds a slot for it.
    Redirect {
        /// The request.
        request: RequestId,
    },
    /// A caller asks for a connection.
    ConnectionOpened,
    /// A caller's connection that was not refused has closed.
    ConnectionClosed,
    /// A peer asks for a free slot.
    Reserve {
        /// The number of the reservation.
        serial: u64,
        /// When the reservation lapses.
        until: Instant,
    },
    /// A peer gives its reservation back.
    Release {
        /// The number of the reservation.
        serial: u64,
    },
    /// The state of the backend server changed what it may be given.
    SetCapacityLimit(CapacityLimit),
    /// The target is leaving.
    Drain {
        /// Until when waiting requests may still start.
        start_until: Instant,
    },
    /// A configuration with other limits is in force. What runs or waits stays.
    Configure(AdmissionOptions),
    /// Time passed.
    Tick,
}

/// What the agent has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// Start the request at the backend server.
    Start(RequestId),
    /// Answer that the request was not run; it never starts.
    Refuse(RequestId, NotRunReason),
    /// Pass the caller's cancellation to the backend server; the request runs until it finishes.
    CancelRunning(RequestId),
    /// Answer with the redirect; the request never starts here.
    Redirect(RequestId),
    /// Refuse the connection.
    RefuseConnection(NotRunReason),
    /// Offer the reserved slot to the peer.
    GrantReservation(u64),
    /// Tell the peer that no slot is free.
    DenyReservation(u64),
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Waiting {
        queue: QueueIndex,
        deadline: Instant,
    },
    Running {
        since: Instant,
    },
    Feed,
}

/// The agent's authority over the slots and connections of its backend server.
#[derive(Debug)]
pub struct AdmissionController {
    options: AdmissionOptions,
    requests: FastMap<RequestId, Phase>,
    queue: FairQueue,
    deadlines: BTreeSet<(Instant, RequestId)>,
    reservations: FastMap<u64, Instant>,
    service_time: ServiceTime,
    ramp: Ramp,
    running: u32,
    feeds: u32,
    connections: u32,
    start_until: Option<Instant>,
}

impl AdmissionController {
    /// Returns the admission of a backend server whose cold start begins now.
    pub fn new(options: AdmissionOptions, now: Instant) -> Self {
        Self {
            queue: FairQueue::new(options.organisation_queue_len(), now),
            ramp: Ramp::new(options.slots().get(), options.cold_start(), now),
            service_time: ServiceTime::new(now),
            requests: FastMap::default(),
            deadlines: BTreeSet::new(),
            reservations: FastMap::default(),
            running: 0,
            feeds: 0,
            connections: 0,
            start_until: None,
            options,
        }
    }

    /// Takes in what happened and returns what has to be done, in order.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Submit(submission) => self.submit(&submission, now, &mut actions),
            Event::Finish { request, result } => self.finish(request, result, now),
            Event::Cancel { request } => self.cancel(request, now, &mut actions),
            Event::Redirect { request } => self.redirect(request, now, &mut actions),
            Event::ConnectionOpened => self.open_connection(&mut actions),
            Event::ConnectionClosed => self.connections = self.connections.saturating_sub(1),
            Event::Reserve { serial, until } => self.reserve(serial, until, now, &mut actions),
            Event::Release { serial } => {
                self.reservations.remove(&serial);
            }
            Event::SetCapacityLimit(limit) => self.set_capacity_limit(limit, now, &mut actions),
            Event::Drain { start_until } => self.drain(start_until, now, &mut actions),
            Event::Configure(options) => {
                self.options = options;
                self.ramp
                    .set_limit(options.slots().get(), options.cold_start());
                self.queue
                    .set_organisation_limit(options.organisation_queue_len());
            }
            Event::Tick => {}
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Returns the load at `now`.
    pub fn load(&self, now: Instant) -> TargetLoad {
        TargetLoad {
            slots: Slots::new(self.ramp.slots(now)),
            running: self.used(),
            waiting: self.queue.len(),
            connections: self.connections.max(self.feeds),
        }
    }

    /// Returns the number of feeds that are open.
    pub fn feeds(&self) -> u32 {
        self.feeds
    }

    /// Returns the number of organisations that take memory: those that wait or were served
    /// recently.
    pub fn known_organisations(&self) -> usize {
        self.queue.organisations()
    }

    /// Returns the waiting request that starts next, which is also the next one to redirect.
    pub fn next_waiting(&self) -> Option<RequestId> {
        self.queue.front()
    }

    /// Returns when the next [`Event::Tick`] is due if nothing else happens before.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let lapse = self.reservations.values().min().copied();
        let ramp = self.ramp.next_step(now).filter(|_| self.queue.len() > 0);
        let drain = self.start_until.filter(|_| self.queue.len() > 0);
        [deadline, lapse, ramp, drain].into_iter().flatten().min()
    }

    fn used(&self) -> u32 {
        let reserved = u32::try_from(self.reservations.len()).unwrap_or(u32::MAX);
        self.running.saturating_add(reserved)
    }

    fn has_free_slot(&self, now: Instant) -> bool {
        self.used() < self.ramp.slots(now)
    }

    /// Refuses what has passed its deadline and drops lapsed reservations.
    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            if self.take_waiting(request, now) {
                actions.push(Action::Refuse(request, NotRunReason::Deadline));
            }
        }
        self.reservations.retain(|_, until| *until > now);
        if self.start_until.is_some_and(|until| until <= now) {
            self.refuse_all_waiting(NotRunReason::Draining, now, actions);
        }
    }

    fn submit(&mut self, submission: &Submission, now: Instant, actions: &mut Vec<Action>) {
        let request = submission.request;
        if self.requests.contains_key(&request) {
            return;
        }
        let reserved = submission
            .reservation
            .and_then(|serial| self.reservations.remove(&serial))
            .is_some();
        let result = if self.start_until.is_some() {
            Err(NotRunReason::Draining)
        } else if submission.deadline <= now {
            Err(NotRunReason::Deadline)
        } else if !submission.class.takes_slot() {
            self.open_feed(request, actions)
        } else if reserved && self.has_free_slot(now) {
            self.queue.count_start(&submission.organisation, now);
            self.start(request, now, actions);
            Ok(())
        } else {
            self.enqueue(submission, now, actions)
        };
        if let Err(reason) = result {
            actions.push(Action::Refuse(request, reason));
        }
    }

    fn open_feed(
        &mut self,
        request: RequestId,
        actions: &mut Vec<Action>,
    ) -> Result<(), NotRunReason> {
        if !self.ramp.takes_feeds() {
            return Err(NotRunReason::BackendUnavailable);
        }
        if self.feeds >= self.options.connection_limit().get() {
            return Err(NotRunReason::ConnectionLimit);
        }
        self.feeds += 1;
        self.requests.insert(request, Phase::Feed);
        actions.push(Action::Start(request));
        Ok(())
    }

    fn enqueue(
        &mut self,
        submission: &Submission,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Result<(), NotRunReason> {
        if self.ramp.slots(now) == 0 {
            return Err(NotRunReason::BackendUnavailable);
        }
        let ahead = self.queue.ahead_of(&submission.organisation, now);
        if self.is_hopeless(ahead, submission.deadline, now) {
            return Err(NotRunReason::Deadline);
        }
        if self.queue.len() >= self.options.queue_len() {
            let longest = self.queue.last_of_longer_queue(&submission.organisation);
            let displaced = longest.ok_or(NotRunReason::QueueFull)?;
            self.take_waiting(displaced, now);
            actions.push(Action::Refuse(displaced, NotRunReason::QueueFull));
        }
        let queue = self
            .queue
            .push(&submission.organisation, submission.request)?;
        let deadline = submission.deadline;
        self.deadlines.insert((deadline, submission.request));
        let phase = Phase::Waiting { queue, deadline };
        self.requests.insert(submission.request, phase);
        if ahead + 1 < self.queue.len() {
            self.refuse_overtaken(now, actions);
        }
        Ok(())
    }

    /// Refuses requests that can't start in time any more because a newcomer comes before them.
    /// Their callers have time left to go elsewhere, which they would not have at the deadline.
    fn refuse_overtaken(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut ahead = 0;
        for request in self.queue.in_order(now) {
            let Some(&Phase::Waiting { deadline, .. }) = self.requests.get(&request) else {
                continue;
            };
            if self.is_hopeless(ahead, deadline, now) {
                self.take_waiting(request, now);
                actions.push(Action::Refuse(request, NotRunReason::Deadline));
            } else {
                ahead += 1;
            }
        }
    }

    /// Returns whether the service times seen say that the deadline can't be met.
    fn is_hopeless(&self, ahead: u32, deadline: Instant, now: Instant) -> bool {
        let slots = self.ramp.slots(now);
        if self.used().saturating_add(ahead) < slots {
            return false;
        }
        // Slots that a ramp adds meanwhile count from the middle of the wait on.
        let remaining = deadline.saturating_duration_since(now);
        let slots = self.ramp.slots(now + remaining / 2).max(1);
        let wait = self.service_time.expected_wait(ahead, slots, now);
        wait.is_some_and(|wait| wait > remaining)
    }

    fn start(&mut self, request: RequestId, now: Instant, actions: &mut Vec<Action>) {
        self.running += 1;
        self.service_time.progressed(now);
        self.requests.insert(request, Phase::Running { since: now });
        actions.push(Action::Start(request));
    }

    fn start_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.has_free_slot(now) {
            let Some(request) = self.queue.pop(now) else {
                break;
            };
            if let Some(Phase::Waiting { deadline, .. }) = self.requests.get(&request) {
                self.deadlines.remove(&(*deadline, request));
            }
            self.start(request, now, actions);
        }
    }

    fn finish(&mut self, request: RequestId, result: FinishResult, now: Instant) {
        match self.requests.get(&request) {
            Some(&Phase::Running { since }) => {
                self.running = self.running.saturating_sub(1);
                if result == FinishResult::Ran {
                    let elapsed = now.saturating_duration_since(since);
                    self.service_time.finished(elapsed, now);
                }
            }
            Some(Phase::Feed) => self.feeds = self.feeds.saturating_sub(1),
            Some(Phase::Waiting { .. }) | None => return,
        }
        self.requests.remove(&request);
    }

    fn cancel(&mut self, request: RequestId, now: Instant, actions: &mut Vec<Action>) {
        if self.take_waiting(request, now) {
            actions.push(Action::Refuse(request, NotRunReason::Cancelled));
        } else if self.requests.contains_key(&request) {
            actions.push(Action::CancelRunning(request));
        }
    }

    fn redirect(&mut self, request: RequestId, now: Instant, actions: &mut Vec<Action>) {
        if self.take_waiting(request, now) {
            actions.push(Action::Redirect(request));
        }
    }

    fn open_connection(&mut self, actions: &mut Vec<Action>) {
        if self.start_until.is_some() {
            actions.push(Action::RefuseConnection(NotRunReason::Draining));
        } else if self.connections >= self.options.connection_limit().get() {
            actions.push(Action::RefuseConnection(NotRunReason::ConnectionLimit));
        } else {
            self.connections += 1;
        }
    }

    fn reserve(&mut self, serial: u64, until: Instant, now: Instant, actions: &mut Vec<Action>) {
        let idle = self.queue.len() == 0 && self.has_free_slot(now);
        let known = self.reservations.contains_key(&serial);
        if known || until <= now || self.start_until.is_some() || !idle {
            actions.push(Action::DenyReservation(serial));
            return;
        }
        self.reservations.insert(serial, until);
        actions.push(Action::GrantReservation(serial));
    }

    /// A closed backend server refuses what waits at once, so that callers can go elsewhere.
    fn set_capacity_limit(
        &mut self,
        limit: CapacityLimit,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.ramp.set_capacity_limit(limit, now);
        self.service_time.progressed(now);
        if limit == CapacityLimit::Blocked {
            self.refuse_all_waiting(NotRunReason::BackendUnavailable, now, actions);
        }
    }

    fn drain(&mut self, start_until: Instant, now: Instant, actions: &mut Vec<Action>) {
        let earlier = self.start_until.unwrap_or(start_until);
        self.start_until = Some(earlier.min(start_until));
        self.reservations.clear();
        self.expire(now, actions);
    }

    fn refuse_all_waiting(
        &mut self,
        reason: NotRunReason,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        while let Some(request) = self.queue.front() {
            self.take_waiting(request, now);
            actions.push(Action::Refuse(request, reason));
        }
    }

    /// Removes a request that waits, and returns whether it did.
    fn take_waiting(&mut self, request: RequestId, now: Instant) -> bool {
        let Some(&Phase::Waiting { queue, deadline }) = self.requests.get(&request) else {
            return false;
        };
        self.requests.remove(&request);
        self.deadlines.remove(&(deadline, request));
        self.queue.remove(queue, request, now);
        true
    }
}
