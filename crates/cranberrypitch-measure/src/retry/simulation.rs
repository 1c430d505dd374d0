//! One run of a scenario under a policy.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::admission::{
    Action, AdmissionController, AdmissionOptions, CapacityLimit, Event, FinishResult, Submission,
};
use cranberrypitch_core::health::{HealthChange, HealthMonitor, HealthOptions, Observation};
use cranberrypitch_core::retry::{AttemptResult, RetryBudget, RetryDecision, RetryState};
use cranberrypitch_core::{
    ConnectionLimit, OrganisationId, Outcome, RequestClass, RequestId, Result, Slots,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{Policy, RetryFigures, RetryMeasureOptions, Scenario};
use crate::timeline::{Simulated, Timeline, count, exponential, play, ratio};

const CONNECTION_LIMIT: ConnectionLimit = ConnectionLimit::new(2000);

/// A failing backend server answers this fast, which makes it look idle.
const FAILURE_LATENCY: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Arrive { caller: usize, service: Duration },
    Attempt(usize),
    Finish { target: usize, request: usize },
}

#[derive(Debug)]
struct Target {
    admission: AdmissionController,
    health: HealthMonitor,
    fails: bool,
}

#[derive(Debug)]
struct Request {
    caller: usize,
    service: Duration,
    deadline: Instant,
    retry: RetryState,
}

#[derive(Debug)]
pub(super) struct Simulation {
    options: RetryMeasureOptions,
    scenario: Scenario,
    policy: Policy,
    start: Instant,
    timeline: Timeline<Step>,
    rng: Pcg64,
    targets: Vec<Target>,
    callers: Vec<(OrganisationId, RetryBudget)>,
    requests: Vec<Request>,
    attempts: Vec<Instant>,
    done: u32,
    done_time: Duration,
}

impl Simulation {
    pub(super) fn try_new(
        options: RetryMeasureOptions,
        scenario: Scenario,
        policy: Policy,
        seed: u64,
    ) -> Result<Self> {
        let start = Instant::now();
        let mut simulation = Self {
            options,
            scenario,
            policy,
            start,
            timeline: Timeline::new(),
            rng: Pcg64::seed_from_u64(seed),
            targets: Vec::new(),
            callers: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            done: 0,
            done_time: Duration::ZERO,
        };
        for caller in 0..options.callers {
            let organisation = OrganisationId::try_new(&format!("tenant-{caller}"))?;
            let budget = RetryBudget::new(&policy.options());
            simulation.callers.push((organisation, budget));
        }
        for target in 0..options.targets {
            let fails = scenario == Scenario::FailingBackendServer && target == 0;
            simulation
                .targets
                .push(target_state(&options, fails, start)?);
        }
        simulation.enter_arrivals();
        Ok(simulation)
    }

    fn load(&self) -> f64 {
        match self.scenario {
            Scenario::Overload => self.options.overload,
            Scenario::FailingBackendServer => self.options.usual_load,
        }
    }

    fn enter_arrivals(&mut self) {
        let slots = f64::from(self.options.slots) * f64::from(self.options.targets);
        let rate = slots * self.load() / self.options.service.as_secs_f64();
        let gap = Duration::from_secs_f64(1.0 / rate);
        let mut at = exponential(gap, &mut self.rng);
        while at < self.options.duration {
            let caller = self.rng.random_range(0..self.callers.len());
            let service = exponential(self.options.service, &mut self.rng);
            let step = Step::Arrive { caller, service };
            self.timeline.push(self.start + at, step);
            at += exponential(gap, &mut self.rng);
        }
    }

    pub(super) fn run(mut self) -> RetryFigures {
        let end = self.start + self.options.duration;
        let start = self.start;
        play(&mut self, start, end);
        self.figures()
    }

    /// Sends a request to a random target that it has not tried, as a balancer without news would.
    fn attempt(&mut self, request: usize, now: Instant) {
        let tried = self.requests[request].retry.tried_targets();
        let untried: Vec<usize> = (0..self.targets.len())
            .filter(|target| !tried.contains(&address(*target)))
            .collect();
        let target = untried[self.rng.random_range(0..untried.len())];
        self.attempts.push(now);
        let caller = self.requests[request].caller;
        let submission = Submission {
            request: RequestId::new(request as u64),
            organisation: self.callers[caller].0.clone(),
            class: RequestClass::Upload,
            deadline: self.requests[request].deadline,
            reservation: None,
        };
        self.handle(target, Event::Submit(submission), now);
    }

    fn handle(&mut self, target: usize, event: Event, now: Instant) {
        for action in self.targets[target].admission.handle(event, now) {
            match action {
                Action::Start(request) => {
                    let request = usize::try_from(request.get()).unwrap_or(usize::MAX);
                    let takes = if self.targets[target].fails {
                        FAILURE_LATENCY
                    } else {
                        self.requests[request].service
                    };
                    let step = Step::Finish { target, request };
                    self.timeline.push(now + takes, step);
                }
                Action::Refuse(request, reason) => {
                    let request = usize::try_from(request.get()).unwrap_or(usize::MAX);
                    self.ended(request, target, &Outcome::NotRun(reason), now);
                }
                _ => {}
            }
        }
    }

    fn finish(&mut self, target: usize, request: usize, now: Instant) {
        let service = self.requests[request].service;
        let (outcome, observation) = if self.targets[target].fails {
            (Outcome::Failed, Observation::Failed)
        } else {
            self.done += 1;
            self.done_time += service;
            (Outcome::Done, Observation::Answered { latency: service })
        };
        let finished = Event::Finish {
            request: RequestId::new(request as u64),
            result: FinishResult::Ran,
        };
        self.observe(target, observation, now);
        self.handle(target, finished, now);
        self.ended(request, target, &outcome, now);
    }

    fn observe(&mut self, target: usize, observation: Observation, now: Instant) {
        for change in self.targets[target].health.observe(observation, now) {
            if let HealthChange::CapacityLimit(capacity_limit) = change {
                self.handle(target, Event::SetCapacityLimit(capacity_limit), now);
            }
        }
    }

    fn ended(&mut self, request: usize, target: usize, outcome: &Outcome, now: Instant) {
        let caller = self.requests[request].caller;
        let end = AttemptResult {
            outcome,
            target: address(target),
            target_count: self.targets.len(),
        };
        let budget = &mut self.callers[caller].1;
        let retry = &mut self.requests[request].retry;
        let decision = retry.decide(end, budget, &mut self.rng, now);
        if let RetryDecision::RetryAt(at) = decision {
            self.timeline.push(at, Step::Attempt(request));
        }
    }

    fn figures(&self) -> RetryFigures {
        let requests = count(self.requests.len());
        let attempts = count(self.attempts.len());
        let seconds = self.options.duration.as_secs_f64();
        let working = self.targets.iter().filter(|target| !target.fails);
        let capacity_s = count(working.count()) * f64::from(self.options.slots) * seconds;
        RetryFigures {
            scenario: match self.scenario {
                Scenario::Overload => "overload",
                Scenario::FailingBackendServer => "failing_backend_server",
            },
            policy: match self.policy {
                Policy::None => "no_retry",
                Policy::Unbounded => "without_budget",
                Policy::Budget => "budget",
            },
            requests: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            attempts: u32::try_from(self.attempts.len()).unwrap_or(u32::MAX),
            amplification: ratio(attempts, requests),
            peak_amplification: ratio(self.peak_attempts(), requests / seconds),
            done: ratio(f64::from(self.done), requests),
            goodput: ratio(self.done_time.as_secs_f64(), capacity_s),
        }
    }

    /// Returns the most attempts within one second.
    fn peak_attempts(&self) -> f64 {
        let mut per_second = vec![0_usize; self.options.duration.as_secs().try_into().unwrap_or(0)];
        for attempt in &self.attempts {
            let second = (*attempt - self.start).as_secs();
            let second = usize::try_from(second).unwrap_or(usize::MAX);
            if let Some(attempts) = per_second.get_mut(second) {
                *attempts += 1;
            }
        }
        count(per_second.into_iter().max().unwrap_or(0))
    }
}

impl Simulated for Simulation {
    type Step = Step;

    fn timeline(&mut self) -> &mut Timeline<Step> {
        &mut self.timeline
    }

    fn next_tick(&self, now: Instant) -> Option<Instant> {
        let ticks = self.targets.iter().map(|target| target.next_tick(now));
        ticks.flatten().min()
    }

    fn tick(&mut self, now: Instant) {
        for target in 0..self.targets.len() {
            self.observe(target, Observation::Tick, now);
            self.handle(target, Event::Tick, now);
        }
    }

    fn step(&mut self, step: Step, now: Instant) {
        match step {
            Step::Arrive { caller, service } => {
                let deadline = now + self.options.deadline;
                self.requests.push(Request {
                    caller,
                    service,
                    deadline,
                    retry: RetryState::new(self.policy.options(), true, deadline),
                });
                self.attempt(self.requests.len() - 1, now);
            }
            Step::Attempt(request) => self.attempt(request, now),
            Step::Finish { target, request } => self.finish(target, request, now),
        }
    }
}

impl Target {
    fn next_tick(&self, now: Instant) -> Option<Instant> {
        let admission = self.admission.next_tick(now);
        let health = self.health.next_tick();
        admission.into_iter().chain(health).min()
    }
}

fn target_state(options: &RetryMeasureOptions, fails: bool, start: Instant) -> Result<Target> {
    let admission_options =
        AdmissionOptions::builder(Slots::new(options.slots), CONNECTION_LIMIT).build()?;
    let mut admission = AdmissionController::new(admission_options, start);
    admission.handle(Event::SetCapacityLimit(CapacityLimit::AllSlots), start);
    let mut health = HealthMonitor::new(HealthOptions::default(), start);
    health.observe(Observation::HealthEndpoint { is_ok: true }, start);
    Ok(Target {
        admission,
        health,
        fails,
    })
}

fn address(target: usize) -> SocketAddrV4 {
    let port = u16::try_from(target).unwrap_or(u16::MAX);
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}
