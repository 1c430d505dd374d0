//! Health of a backend server, judged by what the agent sees.
//!
//! Health and load endpoints lag or mislead, both ways. Outcomes of requests overrule them as long
//! as they are recent; the health endpoint decides only where no request has been seen. For the
//! load the agent's own count always holds, as no request reaches the backend server without it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::admission::CapacityLimit;

/// The settings of [`HealthMonitor`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthOptions {
    /// The outcomes that are looked at together.
    pub window_len: usize,
    /// The failures within the window that make a ready backend server failing.
    pub failures_to_fail: usize,
    /// The failures in a row that make a ready backend server failing.
    pub consecutive_failures_to_fail: u32,
    /// The successes in a row that make a failing or starting backend server ready.
    pub successes_to_recover: u32,
    /// An answer that takes longer counts as a failure.
    pub latency_limit: Duration,
    /// All slots busy without an outcome for this long counts as a failure.
    pub stall_limit: Duration,
    /// An outcome older than this does not overrule the health endpoint.
    pub outcome_lifetime: Duration,
    /// The bad answers of the health endpoint in a row that count without recent outcomes.
    pub bad_health_answers_to_fail: u32,
    /// How long a starting backend server is left alone if its health endpoint stays bad.
    pub startup_grace: Duration,
    /// The first time between two probes of a failing backend server; it doubles with each failure.
    pub probe_interval: Duration,
    /// The longest time between two probes.
    pub probe_interval_max: Duration,
    /// The requests that a probe lets through at once.
    pub probe_requests: u32,
    /// After a shed request, the time without another until one more request is let through.
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

/// The judged state of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// It has not shown yet that it works.
    Starting,
    /// It works.
    Ready,
    /// It fails, and gets a few probes only.
    Failing,
}

/// An observation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Observation {
    /// A request was answered after this time.
    Answered {
        /// The time from the start to the answer.
        latency: Duration,
    },
    /// A request failed at the backend server, which could not be reached, broke off or timed out.
    Failed,
    /// The backend server shed a request: it works, but has less room than its slots. This comes
    /// before the [`Observation::Slots`] without the request.
    Shed,
    /// The health endpoint answered, or did not.
    HealthEndpoint {
        /// Whether it said that the backend server works.
        is_ok: bool,
    },
    /// The load endpoint answered.
    LoadEndpoint {
        /// The requests that it says are running.
        running: u32,
    },
    /// Requests that hold a slot now, and the slots that may be used.
    Slots {
        /// Requests that hold a slot.
        running: u32,
        /// Slots that may be used.
        slots: u32,
    },
    /// Time passed.
    Tick,
}

/// A change that the agent has to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The state changed.
    State(HealthState),
    /// Admission may give the backend server this much.
    CapacityLimit(CapacityLimit),
}

/// How often an endpoint said something else than the agent saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointMismatches {
    /// The health endpoint said "works" while requests failed.
    pub health_false_ok: u64,
    /// The health endpoint said "fails" while requests were answered.
    pub health_false_failing: u64,
    /// The load endpoint named another number than the agent's.
    pub load: u64,
}

/// Judges a backend server by what the agent sees.
#[derive(Debug)]
pub struct HealthMonitor {
    options: HealthOptions,
    state: HealthState,
    since: Instant,
    window: VecDeque<bool>,
    failures_in_row: u32,
    successes_in_row: u32,
    bad_answers: u32,
    last_outcome: Option<Instant>,
    full_since: Option<Instant>,
    running: u32,
    slots: u32,
    shed_limit: Option<u32>,
    next_raise: Option<Instant>,
    probe_interval: Duration,
    next_probe: Option<Instant>,
    is_probing: bool,
    endpoint_mismatches: EndpointMismatches,
}

impl HealthMonitor {
    /// Returns the health of a backend server that starts now.
    pub fn new(options: HealthOptions, now: Instant) -> Self {
        Self {
            state: HealthState::Starting,
            since: now,
            window: VecDeque::with_capacity(options.window_len),
            failures_in_row: 0,
            successes_in_row: 0,
            bad_answers: 0,
            last_outcome: None,
            full_since: None,
            running: 0,
            slots: 0,
            shed_limit: None,
            next_raise: None,
            probe_interval: options.probe_interval,
            next_probe: Some(now + options.startup_grace),
            is_probing: false,
            endpoint_mismatches: EndpointMismatches::default(),
            options,
        }
    }

    /// Returns the judged state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns when the state was entered.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Returns whether balancers may place flows here.
    ///
    /// This holds during a probe too, with the slots of the probe in the load report: a target that
    /// gets no flows would never show that it works again.
    pub fn accepts_flows(&self) -> bool {
        self.state == HealthState::Ready || self.is_probing
    }

    /// Returns how often the endpoints said something else than the agent saw.
    pub fn endpoint_mismatches(&self) -> EndpointMismatches {
        self.endpoint_mismatches
    }

    /// Returns what admission may give the backend server before the first change.
    pub fn initial_capacity_limit() -> CapacityLimit {
        CapacityLimit::Blocked
    }

    /// Returns when the next [`Observation::Tick`] is due if nothing else is seen before.
    pub fn next_tick(&self) -> Option<Instant> {
        let stall = self.full_since.map(|full| full + self.options.stall_limit);
        let due = [self.next_probe, self.next_raise, stall];
        due.into_iter().flatten().min()
    }

    /// Takes in an observation and returns the changes that follow from it.
    pub fn observe(&mut self, observation: Observation, now: Instant) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        match observation {
            Observation::Answered { latency } => {
                let is_success = latency <= self.options.latency_limit;
                self.outcome(is_success, now, &mut changes);
            }
            Observation::Failed => self.outcome(false, now, &mut changes),
            Observation::Shed => self.shed(now, &mut changes),
            Observation::HealthEndpoint { is_ok } => self.endpoint(is_ok, now, &mut changes),
            Observation::LoadEndpoint { running } => {
                self.endpoint_mismatches.load += u64::from(running != self.running);
            }
            Observation::Slots { running, slots } => self.slots(running, slots, now),
            Observation::Tick => {}
        }
        self.check_stall(now, &mut changes);
        self.check_probe(now, &mut changes);
        self.check_raise(now, &mut changes);
        changes
    }

    fn outcome(&mut self, is_success: bool, now: Instant, changes: &mut Vec<HealthChange>) {
        self.last_outcome = Some(now);
        if self.full_since.is_some() {
            self.full_since = Some(now);
        }
        if self.window.len() >= self.options.window_len {
            self.window.pop_front();
        }
        self.window.push_back(is_success);
        if is_success {
            self.successes_in_row += 1;
            self.failures_in_row = 0;
        } else {
            self.successes_in_row = 0;
            self.failures_in_row += 1;
        }
        match self.state {
            HealthState::Ready if self.has_failed() => self.fail(now, changes),
            HealthState::Ready => {}
            HealthState::Starting | HealthState::Failing if !is_success => self.fail(now, changes),
            HealthState::Starting | HealthState::Failing => {
                if self.successes_in_row >= self.options.successes_to_recover {
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
            || self.failures_in_row >= self.options.consecutive_failures_to_fail
    }

    /// A shed request proves that the backend server answers, and that it has less room than its
    /// slots: it gets one request less than it had, and more again step by step.
    fn shed(&mut self, now: Instant, changes: &mut Vec<HealthChange>) {
        self.last_outcome = Some(now);
        match self.state {
            HealthState::Starting => {}
            HealthState::Failing => self.fail(now, changes),
            HealthState::Ready => {
                let limit = self.running.saturating_sub(1).max(1);
                self.shed_limit = Some(limit);
                self.next_raise = Some(now + self.options.shed_interval);
                changes.push(HealthChange::CapacityLimit(CapacityLimit::Limited(limit)));
            }
        }
    }

    fn check_raise(&mut self, now: Instant, changes: &mut Vec<HealthChange>) {
        let (Some(limit), Some(due)) = (self.shed_limit, self.next_raise) else {
            return;
        };
        if due > now {
            return;
        }
        // Fewer slots in force than the limit allows: the limit is over the slots.
        if self.slots < limit {
            self.lift_shed_limit();
            changes.push(HealthChange::CapacityLimit(CapacityLimit::AllSlots));
            return;
        }
        self.shed_limit = Some(limit + 1);
        self.next_raise = Some(now + self.options.shed_interval);
        changes.push(HealthChange::CapacityLimit(CapacityLimit::Limited(
            limit + 1,
        )));
    }

    fn lift_shed_limit(&mut self) {
        self.shed_limit = None;
        self.next_raise = None;
    }

    fn endpoint(&mut self, is_ok: bool, now: Instant, changes: &mut Vec<HealthChange>) {
        self.bad_answers = if is_ok { 0 } else { self.bad_answers + 1 };
        let is_recent =
            |seen: Instant| now.saturating_duration_since(seen) < self.options.outcome_lifetime;
        let has_evidence = self.last_outcome.is_some_and(is_recent);
        match (self.state, is_ok) {
            (HealthState::Starting, true) => self.recover(now, changes),
            (HealthState::Failing, true) => self.endpoint_mismatches.health_false_ok += 1,
            (HealthState::Ready, false) if has_evidence => {
                self.endpoint_mismatches.health_false_failing += 1;
            }
            (HealthState::Ready, false) => {
                if self.bad_answers >= self.options.bad_health_answers_to_fail {
                    self.fail(now, changes);
                }
            }
            (HealthState::Starting | HealthState::Failing, false) | (HealthState::Ready, true) => {}
        }
    }

    fn slots(&mut self, running: u32, slots: u32, now: Instant) {
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
        self.lift_shed_limit();
        self.successes_in_row = 0;
        changes.push(HealthChange::CapacityLimit(CapacityLimit::Blocked));
        self.enter(HealthState::Failing, now, changes);
    }

    fn recover(&mut self, now: Instant, changes: &mut Vec<HealthChange>) {
        self.window.clear();
        self.failures_in_row = 0;
        self.bad_answers = 0;
        self.next_probe = None;
        self.is_probing = false;
        self.lift_shed_limit();
        changes.push(HealthChange::CapacityLimit(CapacityLimit::Ramp));
        self.enter(HealthState::Ready, now, changes);
    }

    fn enter(&mut self, state: HealthState, now: Instant, changes: &mut Vec<HealthChange>) {
        if self.state == state {
            return;
        }
        self.state = state;
        self.since = now;
        changes.push(HealthChange::State(state));
    }
}
