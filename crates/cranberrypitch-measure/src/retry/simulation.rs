//! One run of a scenario under one policy.

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
use crate::discrete_event::{
    EventQueue, SimulationModel, exponential, ratio, run_simulation, to_f64,
};

const CONNECTION_LIMIT: ConnectionLimit = ConnectionLimit::new(2000);

/// The latency of a failing backend server, which is low enough that it appears idle.
const FAILURE_LATENCY: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    Arrival {
        caller: usize,
        service_time: Duration,
    },
    Retry(usize),
    Completion {
        target: usize,
        request: usize,
    },
}

#[derive(Debug)]
struct Target {
    admission: AdmissionController,
    health: HealthMonitor,
    is_failing: bool,
}

#[derive(Debug)]
struct Request {
    caller: usize,
    service_time: Duration,
    deadline: Instant,
    retry: RetryState,
}

#[derive(Debug)]
pub(super) struct Simulation {
    options: RetryMeasureOptions,
    scenario: Scenario,
    policy: Policy,
    start: Instant,
    event_queue: EventQueue<SimulationEvent>,
    rng: Pcg64,
    targets: Vec<Target>,
    callers: Vec<(OrganisationId, RetryBudget)>,
    requests: Vec<Request>,
    attempt_times: Vec<Instant>,
    done: u32,
    done_slot_time: Duration,
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
            event_queue: EventQueue::new(),
            rng: Pcg64::seed_from_u64(seed),
            targets: Vec::new(),
            callers: Vec::new(),
            requests: Vec::new(),
            attempt_times: Vec::new(),
            done: 0,
            done_slot_time: Duration::ZERO,
        };
        for caller in 0..options.callers {
            let organisation = OrganisationId::try_new(&format!("tenant-{caller}"))?;
            let budget = RetryBudget::new(&policy.options());
            simulation.callers.push((organisation, budget));
        }
        for target in 0..options.targets {
            let is_failing = scenario == Scenario::FailingBackendServer && target == 0;
            simulation
                .targets
                .push(new_target(&options, is_failing, start)?);
        }
        simulation.schedule_arrivals();
        Ok(simulation)
    }

    fn load(&self) -> f64 {
        match self.scenario {
            Scenario::Overload => self.options.overload,
            Scenario::FailingBackendServer => self.options.usual_load,
        }
    }

    fn schedule_arrivals(&mut self) {
        let slots = f64::from(self.options.slots) * f64::from(self.options.targets);
        let requests_per_s = slots * self.load() / self.options.service_time_mean.as_secs_f64();
        let interarrival_mean = Duration::from_secs_f64(1.0 / requests_per_s);
        let mut arrival = exponential(interarrival_mean, &mut self.rng);
        while arrival < self.options.duration {
            let caller = self.rng.random_range(0..self.callers.len());
            let service_time = exponential(self.options.service_time_mean, &mut self.rng);
            let event = SimulationEvent::Arrival {
                caller,
                service_time,
            };
            self.event_queue.schedule(self.start + arrival, event);
            arrival += exponential(interarrival_mean, &mut self.rng);
        }
    }

    pub(super) fn run(mut self) -> RetryFigures {
        let end = self.start + self.options.duration;
        let start = self.start;
        run_simulation(&mut self, start, end);
        self.figures()
    }

    /// Sends a request to a random target that it has not tried, like a balancer without recent load
    /// reports.
    fn send_attempt(&mut self, request: usize, now: Instant) {
        let tried = self.requests[request].retry.tried_targets();
        let untried: Vec<usize> = (0..self.targets.len())
            .filter(|target| !tried.contains(&address(*target)))
            .collect();
        let target = untried[self.rng.random_range(0..untried.len())];
        self.attempt_times.push(now);
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
                    let service_time = if self.targets[target].is_failing {
                        FAILURE_LATENCY
                    } else {
                        self.requests[request].service_time
                    };
                    let event = SimulationEvent::Completion { target, request };
                    self.event_queue.schedule(now + service_time, event);
                }
                Action::Refuse(request, reason) => {
                    let request = usize::try_from(request.get()).unwrap_or(usize::MAX);
                    self.on_attempt_end(request, target, &Outcome::NotRun(reason), now);
                }
                _ => {}
            }
        }
    }

    fn on_completion(&mut self, target: usize, request: usize, now: Instant) {
        let service_time = self.requests[request].service_time;
        let (outcome, observation) = if self.targets[target].is_failing {
            (Outcome::Failed, Observation::Failed)
        } else {
            self.done += 1;
            self.done_slot_time += service_time;
            (
                Outcome::Done,
                Observation::Answered {
                    latency: service_time,
                },
            )
        };
        let finish_event = Event::Finish {
            request: RequestId::new(request as u64),
            result: FinishResult::Ran,
        };
        self.observe(target, observation, now);
        self.handle(target, finish_event, now);
        self.on_attempt_end(request, target, &outcome, now);
    }

    fn observe(&mut self, target: usize, observation: Observation, now: Instant) {
        for change in self.targets[target].health.observe(observation, now) {
            if let HealthChange::CapacityLimit(capacity_limit) = change {
                self.handle(target, Event::SetCapacityLimit(capacity_limit), now);
            }
        }
    }

    fn on_attempt_end(&mut self, request: usize, target: usize, outcome: &Outcome, now: Instant) {
        let caller = self.requests[request].caller;
        let result = AttemptResult {
            outcome,
            target: address(target),
            target_count: self.targets.len(),
        };
        let budget = &mut self.callers[caller].1;
        let retry = &mut self.requests[request].retry;
        let decision = retry.decide(result, budget, &mut self.rng, now);
        if let RetryDecision::RetryAt(at) = decision {
            self.event_queue
                .schedule(at, SimulationEvent::Retry(request));
        }
    }

    fn figures(&self) -> RetryFigures {
        let requests = to_f64(self.requests.len());
        let attempts = to_f64(self.attempt_times.len());
        let duration_s = self.options.duration.as_secs_f64();
        let working_targets = self.targets.iter().filter(|target| !target.is_failing);
        let capacity_slot_s =
            to_f64(working_targets.count()) * f64::from(self.options.slots) * duration_s;
        RetryFigures {
            scenario: match self.scenario {
                Scenario::Overload => "overload",
                Scenario::FailingBackendServer => "failing_backend_server",
            },
            policy: match self.policy {
                Policy::NoRetry => "no_retry",
                Policy::WithoutBudget => "without_budget",
                Policy::Budget => "budget",
            },
            requests: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            attempts: u32::try_from(self.attempt_times.len()).unwrap_or(u32::MAX),
            amplification: ratio(attempts, requests),
            peak_amplification: ratio(self.peak_attempts_per_s(), requests / duration_s),
            done_fraction: ratio(f64::from(self.done), requests),
            goodput: ratio(self.done_slot_time.as_secs_f64(), capacity_slot_s),
        }
    }

    /// Returns the maximum number of attempts within one second.
    fn peak_attempts_per_s(&self) -> f64 {
        let mut per_second = vec![0_usize; self.options.duration.as_secs().try_into().unwrap_or(0)];
        for attempt in &self.attempt_times {
            let second = (*attempt - self.start).as_secs();
            let second = usize::try_from(second).unwrap_or(usize::MAX);
            if let Some(attempts) = per_second.get_mut(second) {
                *attempts += 1;
            }
        }
        to_f64(per_second.into_iter().max().unwrap_or(0))
    }
}

impl SimulationModel for Simulation {
    type Event = SimulationEvent;

    fn event_queue(&mut self) -> &mut EventQueue<SimulationEvent> {
        &mut self.event_queue
    }

    fn next_tick(&self, now: Instant) -> Option<Instant> {
        let ticks = self.targets.iter().map(|target| target.next_tick(now));
        ticks.flatten().min()
    }

    fn on_tick(&mut self, now: Instant) {
        for target in 0..self.targets.len() {
            self.observe(target, Observation::Tick, now);
            self.handle(target, Event::Tick, now);
        }
    }

    fn on_event(&mut self, event: SimulationEvent, now: Instant) {
        match event {
            SimulationEvent::Arrival {
                caller,
                service_time,
            } => {
                let deadline = now + self.options.start_deadline;
                self.requests.push(Request {
                    caller,
                    service_time,
                    deadline,
                    retry: RetryState::new(self.policy.options(), true, deadline),
                });
                self.send_attempt(self.requests.len() - 1, now);
            }
            SimulationEvent::Retry(request) => self.send_attempt(request, now),
            SimulationEvent::Completion { target, request } => {
                self.on_completion(target, request, now);
            }
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

fn new_target(options: &RetryMeasureOptions, is_failing: bool, start: Instant) -> Result<Target> {
    let admission_options =
        AdmissionOptions::builder(Slots::new(options.slots), CONNECTION_LIMIT).build()?;
    let mut admission = AdmissionController::new(admission_options, start);
    admission.handle(Event::SetCapacityLimit(CapacityLimit::AllSlots), start);
    let mut health = HealthMonitor::new(HealthOptions::default(), start);
    health.observe(Observation::HealthEndpoint { is_ok: true }, start);
    Ok(Target {
        admission,
        health,
        is_failing,
    })
}

fn address(target: usize) -> SocketAddrV4 {
    let port = u16::try_from(target).unwrap_or(u16::MAX);
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}
