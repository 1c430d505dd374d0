//! Admission control: an agent limits the requests and connections of its backend server.
//!
//! An order or upload occupies one slot while it runs and waits for a slot in the queue of its
//! organisation. The next free slot goes to the organisation with the fewest recent starts, so an
//! organisation with many requests delays only its own. Feeds occupy a connection and are never
//! queued. Each request ends in exactly one of two ways: it is started and finishes, or it is
//! refused or redirected without having been started.

mod estimate;
mod options;
mod queue;
mod ramp;

use std::collections::BTreeSet;
use std::time::Instant;

pub use self::options::{AdmissionOptions, AdmissionOptionsBuilder, ColdStart};
pub use self::ramp::CapacityLimit;

use self::estimate::ServiceTimeEstimate;
use self::queue::{FairQueue, QueueIndex};
use self::ramp::Ramp;
use crate::collections::FastMap;
use crate::ids::{OrganisationId, RequestId};
use crate::request::{NotRunReason, RequestClass};
use crate::target::TargetLoad;
use crate::units::Slots;

/// A request that has arrived at the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The id of the request. A submission whose id is already in use is ignored.
    pub request: RequestId,
    /// The organisation in whose queue the request waits.
    pub organisation: OrganisationId,
    /// The class, which decides whether the request needs a slot or a connection.
    pub class: RequestClass,
    /// The latest time at which the request may start.
    pub deadline: Instant,
    /// The serial of the reservation that the request uses, if it was redirected here.
    pub reservation: Option<u64>,
}

/// How a started request has ended at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishResult {
    /// The request ran; its duration is counted as a service time.
    Ran,
    /// No byte of the request reached the backend server.
    NotRun,
}

/// An input of [`AdmissionController::handle`].
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
    /// The caller has cancelled a request.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// A waiting request is to be redirected to a peer that has reserved a slot for it.
    Redirect {
        /// The request.
        request: RequestId,
    },
    /// A caller has opened a connection.
    ConnectionOpened,
    /// A caller's connection that was not refused has closed.
    ConnectionClosed,
    /// A free slot is to be reserved for a request of a peer.
    Reserve {
        /// The serial of the reservation.
        serial: u64,
        /// When the reservation expires.
        until: Instant,
    },
    /// A reservation is no longer needed.
    Release {
        /// The serial of the reservation.
        serial: u64,
    },
    /// The health of the backend server has changed the number of slots that may be used.
    SetCapacityLimit(CapacityLimit),
    /// The target drains.
    Drain {
        /// The time after which waiting requests are refused.
        start_until: Instant,
    },
    /// A configuration with other limits is in force. Running and waiting requests are kept.
    Configure(AdmissionOptions),
    /// Time has passed; see [`AdmissionController::next_tick`].
    Tick,
}

/// An action that the agent carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// Start the request at the backend server.
    Start(RequestId),
    /// Answer that the request was not run; it will not be started.
    Refuse(RequestId, NotRunReason),
    /// Pass the cancellation on to the backend server; the request keeps its slot until it has
    /// finished.
    CancelRunning(RequestId),
    /// Answer with a redirect; the request will not be started here.
    Redirect(RequestId),
    /// Refuse the connection.
    RefuseConnection(NotRunReason),
    /// Offer the slot of the reservation with this serial to the peer.
    GrantReservation(u64),
    /// No slot is free for the reservation with this serial.
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

/// Decides which requests and connections the backend server of an agent gets, and when.
#[derive(Debug)]
pub struct AdmissionController {
    options: AdmissionOptions,
    requests: FastMap<RequestId, Phase>,
    queue: FairQueue,
    deadlines: BTreeSet<(Instant, RequestId)>,
    reservations: FastMap<u64, Instant>,
    service_time: ServiceTimeEstimate,
    ramp: Ramp,
    running: u32,
    feeds: u32,
    connections: u32,
    start_until: Option<Instant>,
}

impl AdmissionController {
    /// Returns the controller of a backend server whose cold start begins at `now`.
    pub fn new(options: AdmissionOptions, now: Instant) -> Self {
        Self {
            queue: FairQueue::new(options.organisation_queue_len(), now),
            ramp: Ramp::new(options.slots().get(), options.cold_start(), now),
            service_time: ServiceTimeEstimate::new(now),
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

    /// Handles an event and returns the resulting actions in the order of their execution.
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
            running: self.used_slots(),
            waiting: self.queue.len(),
            connections: self.connections.max(self.feeds),
        }
    }

    /// Returns the number of feeds that are open.
    pub fn feeds(&self) -> u32 {
        self.feeds
    }

    /// Returns the number of organisations for which state is kept: those with waiting requests and
    /// those with recent starts.
    pub fn tracked_organisations(&self) -> usize {
        self.queue.organisations()
    }

    /// Returns the waiting request that would start next. It is also the first to be redirected.
    pub fn next_waiting(&self) -> Option<RequestId> {
        self.queue.front()
    }

    /// Returns when the next [`Event::Tick`] is due, unless another event comes first.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let expiry = self.reservations.values().min().copied();
        let ramp = self.ramp.next_step(now).filter(|_| self.queue.len() > 0);
        let drain = self.start_until.filter(|_| self.queue.len() > 0);
        [deadline, expiry, ramp, drain].into_iter().flatten().min()
    }

    fn used_slots(&self) -> u32 {
        let reserved = u32::try_from(self.reservations.len()).unwrap_or(u32::MAX);
        self.running.saturating_add(reserved)
    }

    fn has_free_slot(&self, now: Instant) -> bool {
        self.used_slots() < self.ramp.slots(now)
    }

    /// Refuses waiting requests whose deadline has passed and drops expired reservations.
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
        let has_reservation = submission
            .reservation
            .and_then(|serial| self.reservations.remove(&serial))
            .is_some();
        let result = if self.start_until.is_some() {
            Err(NotRunReason::Draining)
        } else if submission.deadline <= now {
            Err(NotRunReason::Deadline)
        } else if !submission.class.takes_slot() {
            self.open_feed(request, actions)
        } else if has_reservation && self.has_free_slot(now) {
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
        if !self.ramp.accepts_feeds() {
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
        let ahead = self.queue.count_ahead(&submission.organisation, now);
        if self.will_miss_deadline(ahead, submission.deadline, now) {
            return Err(NotRunReason::Deadline);
        }
        if self.queue.len() >= self.options.queue_len() {
            let longest = self.queue.last_of_longer_queue(&submission.organisation);
            let evicted = longest.ok_or(NotRunReason::QueueFull)?;
            self.take_waiting(evicted, now);
            actions.push(Action::Refuse(evicted, NotRunReason::QueueFull));
        }
        let queue = self
            .queue
            .push(&submission.organisation, submission.request)?;
        let deadline = submission.deadline;
        self.deadlines.insert((deadline, submission.request));
        let phase = Phase::Waiting { queue, deadline };
        self.requests.insert(submission.request, phase);
        if ahead + 1 < self.queue.len() {
            self.refuse_expected_misses(now, actions);
        }
        Ok(())
    }

    /// Refuses waiting requests that can't start in time any more because a new request was queued
    /// ahead of them. Their callers still have time to try another target, which they would not
    /// have at the deadline.
    fn refuse_expected_misses(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut ahead = 0;
        for request in self.queue.in_start_order(now) {
            let Some(&Phase::Waiting { deadline, .. }) = self.requests.get(&request) else {
                continue;
            };
            if self.will_miss_deadline(ahead, deadline, now) {
                self.take_waiting(request, now);
                actions.push(Action::Refuse(request, NotRunReason::Deadline));
            } else {
                ahead += 1;
            }
        }
    }

    /// Returns whether the expected wait behind `ahead` other requests exceeds the deadline.
    fn will_miss_deadline(&self, ahead: u32, deadline: Instant, now: Instant) -> bool {
        let slots = self.ramp.slots(now);
        if self.used_slots().saturating_add(ahead) < slots {
            return false;
        }
        // A ramp adds slots during the wait; the number at half of the remaining time approximates
        // their mean.
        let remaining = deadline.saturating_duration_since(now);
        let slots = self.ramp.slots(now + remaining / 2).max(1);
        let wait = self.service_time.expected_wait(ahead, slots, now);
        wait.is_some_and(|wait| wait > remaining)
    }

    fn start(&mut self, request: RequestId, now: Instant, actions: &mut Vec<Action>) {
        self.running += 1;
        self.service_time.on_progress(now);
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
                    self.service_time.record(elapsed, now);
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
        let has_idle_slot = self.queue.len() == 0 && self.has_free_slot(now);
        let is_duplicate = self.reservations.contains_key(&serial);
        if is_duplicate || until <= now || self.start_until.is_some() || !has_idle_slot {
            actions.push(Action::DenyReservation(serial));
            return;
        }
        self.reservations.insert(serial, until);
        actions.push(Action::GrantReservation(serial));
    }

    /// Applies the limit. When the backend server is blocked, all waiting requests are refused at
    /// once, so that their callers can try another target.
    fn set_capacity_limit(
        &mut self,
        limit: CapacityLimit,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.ramp.set_capacity_limit(limit, now);
        self.service_time.on_progress(now);
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

    /// Removes a waiting request, and returns whether the request was waiting.
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
