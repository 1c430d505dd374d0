//! The simulation of one scenario under one policy.

use std::time::{Duration, Instant};

use cranberrypitch_core::admission::{Action, Event, FinishResult, Submission};
use cranberrypitch_core::{OrganisationId, RequestClass, RequestId, Result};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::policy::AdmissionPolicy;
use super::{AdmissionFigures, AdmissionMeasureOptions, Policy, Scenario, WARM_UP};
use crate::discrete_event::{
    EventQueue, SimulationModel, exponential, jain_index, percentile_s, ratio, run_simulation,
    to_f64,
};

/// The arrival rate of the heavy organisation, as a multiple of that of each other one.
const HEAVY_ORGANISATION_FACTOR: f64 = 10.0;

#[derive(Debug)]
pub(super) enum SimulationEvent {
    Arrival {
        organisation: usize,
        service_time: Duration,
    },
    Completion(RequestId),
}

#[derive(Debug)]
struct Request {
    organisation: usize,
    service_time: Duration,
    arrived_at: Instant,
    completes_at: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Simulation {
    options: AdmissionMeasureOptions,
    scenario: Scenario,
    policy: Policy,
    admission: AdmissionPolicy,
    organisations: Vec<OrganisationId>,
    start: Instant,
    event_queue: EventQueue<SimulationEvent>,
    requests: Vec<Request>,
    running: u32,
    /// The requests that started in time, by organisation.
    started_in_time: Vec<u32>,
    started_late: u32,
    refused: u32,
    refused_at_arrival: u32,
    refused_early: u32,
    in_time_slot_time: Duration,
    waits: Vec<Duration>,
}

impl Simulation {
    pub(super) fn try_new(
        options: AdmissionMeasureOptions,
        scenario: Scenario,
        policy: Policy,
        seed: u64,
    ) -> Result<Self> {
        let start = Instant::now();
        let organisations = (0..options.organisations)
            .map(|organisation| OrganisationId::try_new(&format!("tenant-{organisation}")))
            .collect::<Result<Vec<_>>>()?;
        let mut simulation = Self {
            admission: AdmissionPolicy::try_new(&options, scenario, policy, start)?,
            started_in_time: vec![0; organisations.len()],
            organisations,
            options,
            scenario,
            policy,
            start,
            event_queue: EventQueue::new(),
            requests: Vec::new(),
            running: 0,
            started_late: 0,
            refused: 0,
            refused_at_arrival: 0,
            refused_early: 0,
            in_time_slot_time: Duration::ZERO,
            waits: Vec::new(),
        };
        simulation.schedule_arrivals(seed);
        Ok(simulation)
    }

    /// Schedules the arrivals of all organisations in advance, so that they are the same for all
    /// policies.
    ///
    /// Organisations with equal arrival rates have equal numbers of arrivals, at uniformly random times.
    /// With a Poisson number of arrivals, Jain's index would include the variance of the demand.
    fn schedule_arrivals(&mut self, seed: u64) {
        let mut rng = Pcg64::seed_from_u64(seed);
        let options = self.options;
        let requests_per_second =
            f64::from(options.slots) * options.load / options.service_time_mean.as_secs_f64();
        let weights: f64 = (0..self.organisations.len())
            .map(|organisation| self.weight(organisation))
            .sum();
        for organisation in 0..self.organisations.len() {
            let share = self.weight(organisation) / weights;
            let arrivals = requests_per_second * share * options.duration.as_secs_f64();
            let mut scheduled = 0.0;
            while scheduled + 0.5 <= arrivals {
                scheduled += 1.0;
                let at = options.duration.mul_f64(rng.random::<f64>());
                let service_time = exponential(options.service_time_mean, &mut rng);
                let event = SimulationEvent::Arrival {
                    organisation,
                    service_time,
                };
                self.event_queue.schedule(self.start + at, event);
            }
        }
    }

    fn is_heavy(&self, organisation: usize) -> bool {
        self.scenario == Scenario::HeavyOrganisation && organisation == 0
    }

    fn weight(&self, organisation: usize) -> f64 {
        if self.is_heavy(organisation) {
            HEAVY_ORGANISATION_FACTOR
        } else {
            1.0
        }
    }

    pub(super) fn run(mut self) -> AdmissionFigures {
        let end = self.start + self.options.duration;
        let start = self.start;
        run_simulation(&mut self, start, end);
        self.figures()
    }

    fn on_arrival(&mut self, organisation: usize, service_time: Duration, now: Instant) {
        let request = RequestId::new(self.requests.len() as u64);
        self.requests.push(Request {
            organisation,
            service_time,
            arrived_at: now,
            completes_at: None,
        });
        let submission = Submission {
            request,
            organisation: self.organisations[organisation].clone(),
            class: RequestClass::Order,
            deadline: now + self.options.start_deadline,
            reservation: None,
        };
        let actions = self.admission.handle(Event::Submit(submission), now);
        self.apply(&actions, Some(request), now);
    }

    fn apply(&mut self, actions: &[Action], arriving: Option<RequestId>, now: Instant) {
        for action in actions {
            match *action {
                Action::Start(request) => self.start_request(request, now),
                Action::Refuse(request, _) => {
                    self.refused += 1;
                    self.refused_at_arrival += u32::from(arriving == Some(request));
                    self.count_early_refusal(request, now);
                }
                _ => {}
            }
        }
    }

    fn count_early_refusal(&mut self, id: RequestId, now: Instant) {
        let index = usize::try_from(id.get()).unwrap_or(usize::MAX);
        let wait = now - self.requests[index].arrived_at;
        let has_time_left = wait * 4 <= self.options.start_deadline * 3;
        self.refused_early += u32::from(has_time_left);
    }

    fn start_request(&mut self, id: RequestId, now: Instant) {
        self.running += 1;
        let service_time_factor = self.service_time_factor(now);
        let index = usize::try_from(id.get()).unwrap_or(usize::MAX);
        let request = &mut self.requests[index];
        let completes_at = now + request.service_time.mul_f64(service_time_factor);
        request.completes_at = Some(completes_at);
        let wait = now - request.arrived_at;
        self.waits.push(wait);
        self.event_queue
            .schedule(completes_at, SimulationEvent::Completion(id));
        if wait > self.options.start_deadline {
            self.started_late += 1;
            return;
        }
        self.started_in_time[request.organisation] += 1;
        let end = self.start + self.options.duration;
        self.in_time_slot_time += (completes_at.min(end) - now).div_f64(service_time_factor);
    }

    /// Returns the factor on the service time of a request that starts now.
    ///
    /// A cold backend server that runs more requests than its warm slots slows down by the square of
    /// the ratio. This is an assumption of the scenario, not a measured property.
    fn service_time_factor(&self, now: Instant) -> f64 {
        let overload = f64::from(self.running) / self.warm_slots(now - self.start);
        overload.max(1.0).powi(2)
    }

    fn warm_slots(&self, elapsed: Duration) -> f64 {
        let slots = f64::from(self.options.slots);
        if self.scenario != Scenario::ColdStart {
            return slots;
        }
        let warmth = elapsed.as_secs_f64() / WARM_UP.as_secs_f64();
        (1.0 + (slots - 1.0) * warmth).floor().min(slots)
    }

    /// Returns the warm slot time of the backend server over the whole run, in slot-seconds.
    fn capacity_slot_s(&self) -> f64 {
        let interval = Duration::from_millis(10);
        let intervals = u32::try_from(self.options.duration.as_millis() / 10).unwrap_or(u32::MAX);
        let warm_slots = (0..intervals).map(|index| self.warm_slots(interval * index));
        warm_slots.sum::<f64>() * interval.as_secs_f64()
    }

    fn figures(mut self) -> AdmissionFigures {
        let capacity_slot_s = self.capacity_slot_s();
        let usual: Vec<usize> = (0..self.organisations.len())
            .filter(|organisation| !self.is_heavy(*organisation))
            .collect();
        let usual_started: Vec<u32> = usual
            .iter()
            .map(|organisation| self.started_in_time[*organisation])
            .collect();
        AdmissionFigures {
            scenario: match self.scenario {
                Scenario::Overload => "overload",
                Scenario::HeavyOrganisation => "heavy_tenant",
                Scenario::ColdStart => "cold_start",
            },
            policy: match self.policy {
                Policy::OrganisationQueues => "tenant_queues",
                Policy::Fifo => "fifo",
                Policy::FifoWithDeadline => "fifo_with_deadline",
            },
            arrived: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            started_in_time: self.started_in_time.iter().sum(),
            started_late: self.started_late,
            refused: self.refused,
            goodput: ratio(self.in_time_slot_time.as_secs_f64(), capacity_slot_s),
            jain_index: jain_index(&usual_started),
            usual_organisations_served_fraction: self
                .served_fraction(|organisation| usual.contains(&organisation)),
            heavy_organisation_served_fraction: self
                .served_fraction(|organisation| !usual.contains(&organisation)),
            refused_at_arrival_fraction: ratio(
                f64::from(self.refused_at_arrival),
                f64::from(self.refused),
            ),
            early_refusal_fraction: ratio(f64::from(self.refused_early), f64::from(self.refused)),
            wait_p50_s: percentile_s(&mut self.waits, 0.5),
            wait_p90_s: percentile_s(&mut self.waits, 0.9),
            wait_p99_s: percentile_s(&mut self.waits, 0.99),
        }
    }

    fn served_fraction(&self, includes: impl Fn(usize) -> bool) -> f64 {
        let arrived = self
            .requests
            .iter()
            .filter(|request| includes(request.organisation));
        let started =
            (0..self.started_in_time.len()).filter(|organisation| includes(*organisation));
        let started: u32 = started
            .map(|organisation| self.started_in_time[organisation])
            .sum();
        ratio(f64::from(started), to_f64(arrived.count()))
    }
}

impl SimulationModel for Simulation {
    type Event = SimulationEvent;

    fn event_queue(&mut self) -> &mut EventQueue<SimulationEvent> {
        &mut self.event_queue
    }

    fn next_tick(&self, now: Instant) -> Option<Instant> {
        self.admission.next_tick(now)
    }

    fn on_tick(&mut self, now: Instant) {
        let actions = self.admission.handle(Event::Tick, now);
        self.apply(&actions, None, now);
    }

    fn on_event(&mut self, event: SimulationEvent, now: Instant) {
        match event {
            SimulationEvent::Arrival {
                organisation,
                service_time,
            } => self.on_arrival(organisation, service_time, now),
            SimulationEvent::Completion(request) => {
                self.running -= 1;
                let result = FinishResult::Ran;
                let actions = self
                    .admission
                    .handle(Event::Finish { request, result }, now);
                self.apply(&actions, None, now);
            }
        }
    }
}
