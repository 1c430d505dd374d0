//! The health of a backend server, derived from observations of its agent.
//!
//! The answers of health and load endpoints can be delayed or wrong in both directions. Outcomes of
//! requests take precedence as long as they are recent; the health endpoint decides only if there
//! are none. For the load, the agent's own count is always used, because every request to the
//! backend server passes through the agent.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::admission::CapacityLimit;

/// The settings of [`HealthMonitor`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthOptions {
    /// The number of latest outcomes that are evaluated together.
    pub window_len: usize,
    /// The number of failures in the window at which a ready backend server becomes failing.
    pub failures_to_fail: usize,
    /// The number of consecutive failures at which a ready backend server becomes failing.
    pub consecutive_failures_to_fail: u32,
    /// The number of consecutive successes at which a failing or starting backend server becomes
    /// ready.
    pub successes_to_recover: u32,
    /// The latency above which an answer counts as a failure.
    pub latency_limit: Duration,
    /// The backend server becomes failing when all slots have been in use for this long without an
    /// outcome.
    pub stall_limit: Duration,
    /// The age up to which an outcome takes precedence over the health endpoint.
    pub outcome_lifetime: Duration,
    /// The number of consecutive bad answers of the health endpoint at which a ready backend server
    /// without recent outcomes becomes failing.
    pub bad_health_answers_to_fail: u32,
    /// How long after its start a backend server is not probed while its health endpoint stays bad.
    pub startup_grace: Duration,
    /// The initial time between two probes of a failing backend server; it doubles with each failed
    /// probe.
    pub probe_interval: Duration,
    /// The maximum time between two probes.
    pub probe_interval_max: Duration,
    /// The number of concurrent requests during a probe.
    pub probe_requests: u32,
    /// The time without a shed request after which the shed limit is raised by one request.
    pub shed_interval: Duration,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            window_len: 20,
            failures_to_fail: 10,
            consecutive_failures_to_fail: 4,
            successes_to_recover: 3,
            latency_limit: Duration::from_secs(30),
            stall_limit: Duration::from_secs(30),
            outcome_lifetime: Duration::from_secs(5),
            bad_health_answers_to_fail: 3,
            startup_grace: Duration::from_secs(20),
            probe_interval: Duration::from_millis(500),
            probe_interval_max: Duration::from_secs(8),
            probe_requests: 1,
            shed_interval: Duration::from_secs(2),
        }
    }
}

/// The health of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// The backend server has not been observed to work yet.
    Starting,
    /// The backend server works.
    Ready,
    /// The backend server fails and receives only probes.
    Failing,
}

/// An observation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Observation {
    /// A request was answered.
    Answered {
        /// The time from the start of the request to its answer.
        latency: Duration,
    },
    /// A request failed at the backend server: the server could not be reached, closed the
    /// connection or did not answer in time.
    Failed,
    /// The backend server shed a request: it works, but its capacity is less than its slots. This
    /// observation precedes the [`Observation::Slots`] that no longer includes the request.
    Shed,
    /// The health endpoint was queried.
    HealthEndpoint {
        /// Whether the endpoint answered that the backend server works.
        is_ok: bool,
    },
    /// The load endpoint answered.
    LoadEndpoint {
        /// The number of running requests in the answer.
        running: u32,
    },
    /// The use of slots at the agent has changed.
    Slots {
        /// The number of requests that occupy a slot.
        running: u32,
        /// The number of slots that may be used.
        slots: u32,
    },
    /// Time has passed; see [`HealthMonitor::next_tick`].
    Tick,
}

/// A change to which the agent has to react.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The backend server has entered this state.
    State(HealthState),
    /// The limit that admission has to apply from now on.
    CapacityLimit(CapacityLimit),
}

/// The number of answers of each endpoint that contradict the observations of the agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointMismatches {
    /// Answers of the health endpoint that the backend server works while requests failed.
    pub health_false_ok: u64,
    /// Bad answers of the health endpoint while requests were answered.
    pub health_false_failing: u64,
    /// Answers of the load endpoint with another number of requests than the agent's count.
    pub load: u64,
}

/// Derives the health of a backend server from the observations of its agent.
#[derive(Debug)]
pub struct HealthMonitor {
    options: HealthOptions,
    state: HealthState,
    since: Instant,
    window: VecDeque<bool>,
    consecutive_failures: u32,
    consecutive_successes: u32,
    bad_health_answers: u32,
    last_outcome: Option<Instant>,
    full_since: Option<Instant>,
    running: u32,
    slots: u32,
    shed_limit: Option<u32>,
    next_limit_raise: Option<Instant>,
    probe_interval: Duration,
    next_probe: Option<Instant>,
    is_probing: bool,
    endpoint_mismatches: EndpointMismatches,
}

impl HealthMonitor {
    /// Returns the monitor of a backend server that starts at `now`.
    pub fn new(options: HealthOptions, now: Instant) -> Self {
        Self {
            state: HealthState::Starting,
            since: now,
            window: VecDeque::with_capacity(options.window_len),
            consecutive_failures: 0,
            consecutive_successes: 0,
            bad_health_answers: 0,
            last_outcome: None,
            full_since: None,
            running: 0,
            slots: 0,
            shed_limit: None,
            next_limit_raise: None,
            probe_interval: options.probe_interval,
            next_probe: Some(now + options.startup_grace),
            is_probing: false,
            endpoint_mismatches: EndpointMismatches::default(),
            options,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns when the current state was entered.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Returns whether balancers may send new flows to this target.
    ///
    /// They may during a probe as well, when the load report contains the slots of the probe. A
    /// target without flows would have no outcome that shows its recovery.
    pub fn accepts_flows(&self) -> bool {
        self.state == HealthState::Ready || self.is_probing
    }

    /// Returns the number of answers of the endpoints that contradict the agent's observations.
    pub fn endpoint_mismatches(&self) -> EndpointMismatches {
        self.endpoint_mismatches
    }

    /// Returns the limit that admission applies before the first [`HealthChange::CapacityLimit`].
    pub fn initial_capacity_limit() -> CapacityLimit {
        CapacityLimit::Blocked
    }

    /// Returns when the next [`Observation::Tick`] is due, unless another observation comes first.
    pub fn next_tick(&self) -> Option<Instant> {
        let stall = self.full_since.map(|full| full + self.options.stall_limit);
        let due_times = [self.next_probe, self.next_limit_raise, stall];
        due_times.into_iter().flatten().min()
    }

    /// Handles an observation and returns the resulting changes in order.
    pub fn observe(&mut self, observation: Observation, now: Instant) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        match observation {
            Observation::Answered { latency } => {
                let is_success = latency <= self.options.latency_limit;
                self.record_outcome(is_success, now, &mut changes);
            }
            Observation::Failed => self.record_outcome(false, now, &mut changes),
            Observation::Shed => self.on_shed(now, &mut changes),
            Observation::HealthEndpoint { is_ok } => {
                self.on_health_endpoint(is_ok, now, &mut changes);
            }
            Observation::LoadEndpoint { running } => {
                self.endpoint_mismatches.load += u64::from(running != self.running);
            }
            Observation::Slots { running, slots } => self.on_slots(running, slots, now),
            Observation::Tick => {}
        }
        self.check_stall(now, &mut changes);
        self.check_probe(now, &mut changes);
        self.check_limit_raise(now, &mut changes);
        changes
    }

    fn record_outcome(&mut self, is_success: bool, now: Instant, changes: &mut Vec<HealthChange>) {
        self.last_outcome = Some(now);
        if self.full_since.is_some() {
            self.full_since = Some(now);
        }
        if self.window.len() >= self.options.window_len {
            self.window.pop_front();
        }
        self.window.push_back(is_success);
        if is_success {
            self.consecutive_successes += 1;
            self.consecutive_failures = 0;
        } else {
            self.consecutive_successes = 0;
            self.consecutive_failures += 1;
        }
        match self.state {
            HealthState::Ready if self.has_failed() => self.fail(now, changes),
            HealthState::Ready => {}
            HealthState::Starting | HealthState::Failing if !is_success => self.fail(now, changes),
            HealthState::Starting | HealthState::Failing => {
                if self.consecutive_successes >= self.options.successes_to_recover {
                    self.recover(now, changes);
                }
            }
        }
    }

    fn has_failed(&self) -> bool {
        let failures = self
            .window
            .iter()
            .filter(|is_success| !**is_success)
            .count();
        failures >= self.options.failures_to_fail
            || self.consecutive_failures >= self.options.consecutive_failures_to_fail
    }

    /// Limits the backend server to one request less than it had when it shed one, as its capacity
    /// is less than its slots. The limit is then raised step by step.
    fn on_shed(&mut self, now: Instant, changes: &mut Vec<HealthChange>) {
        self.last_outcome = Some(now);
        match self.state {
            HealthState::Starting => {}
            HealthState::Failing => self.fail(now, changes),
            HealthState::Ready => {
                let limit = self.running.saturating_sub(1).max(1);
                self.shed_limit = Some(limit);
                self.next_limit_raise = Some(now + self.options.shed_interval);
                changes.push(HealthChange::CapacityLimit(CapacityLimit::Limited(limit)));
            }
        }
    }

    fn check_limit_raise(&mut self, now: Instant, changes: &mut Vec<HealthChange>) {
        let (Some(limit), Some(due)) = (self.shed_limit, self.next_limit_raise) else {
            return;
        };
        if due > now {
            return;
        }
        // The limit exceeds the number of usable slots, so it no longer has an effect.
        if self.slots < limit {
            self.clear_shed_limit();
            changes.push(HealthChange::CapacityLimit(CapacityLimit::AllSlots));
            return;
        }
        self.shed_limit = Some(limit + 1);
        self.next_limit_raise = Some(now + self.options.shed_interval);
        changes.push(HealthChange::CapacityLimit(CapacityLimit::Limited(
            limit + 1,
        )));
    }

    fn clear_shed_limit(&mut self) {
        self.shed_limit = None;
        self.next_limit_raise = None;
    }

    fn on_health_endpoint(&mut self, is_ok: bool, now: Instant, changes: &mut Vec<HealthChange>) {
        self.bad_health_answers = if is_ok {
            0
        } else {
            self.bad_health_answers + 1
        };
        let is_recent =
            |seen: Instant| now.saturating_duration_since(seen) < self.options.outcome_lifetime;
        let has_recent_outcome = self.last_outcome.is_some_and(is_recent);
        match (self.state, is_ok) {
            (HealthState::Starting, true) => self.recover(now, changes),
            (HealthState::Failing, true) => self.endpoint_mismatches.health_false_ok += 1,
            (HealthState::Ready, false) if has_recent_outcome => {
                self.endpoint_mismatches.health_false_failing += 1;
            }
            (HealthState::Ready, false) => {
                if self.bad_health_answers >= self.options.bad_health_answers_to_fail {
                    self.fail(now, changes);
                }
            }
            (HealthState::Starting | HealthState::Failing, false) | (HealthState::Ready, true) => {}
        }
    }

    fn on_slots(&mut self, running: u32, slots: u32, now: Instant) {
        self.running = running;
        self.slots = slots;
        let is_full = slots > 0 && running >= slots;
        self.full_since = is_full.then(|| self.full_since.unwrap_or(now));
    }

    fn check_stall(&mut self, now: Instant, changes: &mut Vec<HealthChange>) {
        let limit = self.options.stall_limit;
        let is_stalled = |full: Instant| now.saturating_duration_since(full) >= limit;
        if !self.full_since.is_some_and(is_stalled) {
            return;
        }
        self.full_since = Some(now);
        if self.state != HealthState::Failing {
            self.fail(now, changes);
        }
    }

    fn check_probe(&mut self, now: Instant, changes: &mut Vec<HealthChange>) {
        if self.next_probe.is_some_and(|due| due <= now) {
            self.next_probe = None;
            self.is_probing = true;
            let capacity_limit = CapacityLimit::Probe(self.options.probe_requests);
            changes.push(HealthChange::CapacityLimit(capacity_limit));
        }
    }

    fn fail(&mut self, now: Instant, changes: &mut Vec<HealthChange>) {
        let interval = if self.state == HealthState::Failing {
            (self.probe_interval * 2).min(self.options.probe_interval_max)
        } else {
            self.options.probe_interval
        };
        self.probe_interval = interval;
        self.next_probe = Some(now + interval);
        self.is_probing = false;
        self.clear_shed_limit();
        self.consecutive_successes = 0;
        changes.push(HealthChange::CapacityLimit(CapacityLimit::Blocked));
        self.set_state(HealthState::Failing, now, changes);
    }

    fn recover(&mut self, now: Instant, changes: &mut Vec<HealthChange>) {
        self.window.clear();
        self.consecutive_failures = 0;
        self.bad_health_answers = 0;
        self.next_probe = None;
        self.is_probing = false;
        self.clear_shed_limit();
        changes.push(HealthChange::CapacityLimit(CapacityLimit::Ramp));
        self.set_state(HealthState::Ready, now, changes);
    }

    fn set_state(&mut self, state: HealthState, now: Instant, changes: &mut Vec<HealthChange>) {
        if self.state == state {
            return;
        }
        self.state = state;
        self.since = now;
        changes.push(HealthChange::State(state));
    }
}
