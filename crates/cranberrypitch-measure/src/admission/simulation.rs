//! One run of a scenario under a policy.

use std::time::{Duration, Instant};

use cranberrypitch_core::admission::{Action, Event, FinishResult, Submission};
use cranberrypitch_core::{OrganisationId, RequestClass, RequestId, Result};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::desk::Desk;
use super::{AdmissionFigures, AdmissionMeasureOptions, Policy, RAMP, Scenario};
use crate::timeline::{
    Simulated, Timeline, count, exponential, jain_index, percentile_s, play, ratio,
};

const HEAVY_ORGANISATION_FACTOR: f64 = 10.0;

#[derive(Debug)]
pub(super) enum Step {
    Arrive {
        organisation: usize,
        service: Duration,
    },
    Finish(RequestId),
}

#[derive(Debug)]
struct Request {
    organisation: usize,
    service: Duration,
    arrived: Instant,
    ends: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct Simulation {
    options: AdmissionMeasureOptions,
    scenario: Scenario,
    policy: Policy,
    desk: Desk,
    organisations: Vec<OrganisationId>,
    start: Instant,
    timeline: Timeline<Step>,
    requests: Vec<Request>,
    running: u32,
    served: Vec<u32>,
    late: u32,
    refused: u32,
    refused_at_arrival: u32,
    refused_early: u32,
    good_time: Duration,
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
            desk: Desk::try_new(&options, scenario, policy, start)?,
            served: vec![0; organisations.len()],
            organisations,
            options,
            scenario,
            policy,
            start,
            timeline: Timeline::new(),
            requests: Vec::new(),
            running: 0,
            late: 0,
            refused: 0,
            refused_at_arrival: 0,
            refused_early: 0,
            good_time: Duration::ZERO,
            waits: Vec::new(),
        };
        simulation.enter_arrivals(seed);
        Ok(simulation)
    }

    /// Enters the arrivals of all organisations, so that all policies see the same.
    ///
    /// Organisations of equal demand have equally many arrivals, at random times. With a Poisson
    /// number of arrivals, Jain's index would measure the spread of the demand too.
    fn enter_arrivals(&mut self, seed: u64) {
        let mut rng = Pcg64::seed_from_u64(seed);
        let options = self.options;
        let per_second = f64::from(options.slots) * options.load / options.service.as_secs_f64();
        let weights: f64 = (0..self.organisations.len())
            .map(|organisation| self.weight(organisation))
            .sum();
        for organisation in 0..self.organisations.len() {
            let share = self.weight(organisation) / weights;
            let arrivals = per_second * share * options.duration.as_secs_f64();
            let mut entered = 0.0;
            while entered + 0.5 <= arrivals {
                entered += 1.0;
                let at = options.duration.mul_f64(rng.random::<f64>());
                let service = exponential(options.service, &mut rng);
                let step = Step::Arrive {
                    organisation,
                    service,
                };
                self.timeline.push(self.start + at, step);
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
        play(&mut self, start, end);
        self.figures()
    }

    fn arrive(&mut self, organisation: usize, service: Duration, now: Instant) {
        let request = RequestId::new(self.requests.len() as u64);
        self.requests.push(Request {
            organisation,
            service,
            arrived: now,
            ends: None,
        });
        let submission = Submission {
            request,
            organisation: self.organisations[organisation].clone(),
            class: RequestClass::Order,
            deadline: now + self.options.deadline,
            reservation: None,
        };
        let actions = self.desk.handle(Event::Submit(submission), now);
        self.act(&actions, Some(request), now);
    }

    fn act(&mut self, actions: &[Action], arriving: Option<RequestId>, now: Instant) {
        for action in actions {
            match *action {
                Action::Start(request) => self.start_request(request, now),
                Action::Refuse(request, _) => {
                    self.refused += 1;
                    self.refused_at_arrival += u32::from(arriving == Some(request));
                    self.note_time_left(request, now);
                }
                _ => {}
            }
        }
    }

    fn note_time_left(&mut self, id: RequestId, now: Instant) {
        let index = usize::try_from(id.get()).unwrap_or(usize::MAX);
        let waited = now - self.requests[index].arrived;
        let has_time_left = waited * 4 <= self.options.deadline * 3;
        self.refused_early += u32::from(has_time_left);
    }

    fn start_request(&mut self, id: RequestId, now: Instant) {
        self.running += 1;
        let stretch = self.stretch(now);
        let index = usize::try_from(id.get()).unwrap_or(usize::MAX);
        let request = &mut self.requests[index];
        let ends = now + request.service.mul_f64(stretch);
        request.ends = Some(ends);
        let wait = now - request.arrived;
        self.waits.push(wait);
        self.timeline.push(ends, Step::Finish(id));
        if wait > self.options.deadline {
            self.late += 1;
            return;
        }
        self.served[request.organisation] += 1;
        let end = self.start + self.options.duration;
        self.good_time += (ends.min(end) - now).div_f64(stretch);
    }

    /// Returns the factor on the service time of a request that starts now.
    ///
    /// A cold backend server that runs more requests than it is warm for slows down by the square
    /// of the excess. This is an assumption of the scenario, not a measured property.
    fn stretch(&self, now: Instant) -> f64 {
        let excess = f64::from(self.running) / self.warm_slots(now - self.start);
        excess.max(1.0).powi(2)
    }

    fn warm_slots(&self, elapsed: Duration) -> f64 {
        let slots = f64::from(self.options.slots);
        if self.scenario != Scenario::ColdStart {
            return slots;
        }
        let warmth = elapsed.as_secs_f64() / RAMP.as_secs_f64();
        (1.0 + (slots - 1.0) * warmth).floor().min(slots)
    }

    /// Returns the slot time that the backend server offers in the whole run, in seconds.
    fn capacity_s(&self) -> f64 {
        let step = Duration::from_millis(10);
        let steps = u32::try_from(self.options.duration.as_millis() / 10).unwrap_or(u32::MAX);
        let warm = (0..steps).map(|index| self.warm_slots(step * index));
        warm.sum::<f64>() * step.as_secs_f64()
    }

    fn figures(mut self) -> AdmissionFigures {
        let capacity_s = self.capacity_s();
        let usual: Vec<usize> = (0..self.organisations.len())
            .filter(|organisation| !self.is_heavy(*organisation))
            .collect();
        let usual_served: Vec<u32> = usual
            .iter()
            .map(|organisation| self.served[*organisation])
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
            started_in_time: self.served.iter().sum(),
            started_late: self.late,
            refused: self.refused,
            goodput: ratio(self.good_time.as_secs_f64(), capacity_s),
            jain: jain_index(&usual_served),
            usual_organisations_served: self
                .served_fraction(|organisation| usual.contains(&organisation)),
            heavy_organisation_served: self
                .served_fraction(|organisation| !usual.contains(&organisation)),
            refused_at_arrival: ratio(f64::from(self.refused_at_arrival), f64::from(self.refused)),
            early_refusals: ratio(f64::from(self.refused_early), f64::from(self.refused)),
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
        let served = (0..self.served.len()).filter(|organisation| includes(*organisation));
        let served: u32 = served.map(|organisation| self.served[organisation]).sum();
        ratio(f64::from(served), count(arrived.count()))
    }
}

impl Simulated for Simulation {
    type Step = Step;

    fn timeline(&mut self) -> &mut Timeline<Step> {
        &mut self.timeline
    }

    fn next_tick(&self, now: Instant) -> Option<Instant> {
        self.desk.next_tick(now)
    }

    fn tick(&mut self, now: Instant) {
        let actions = self.desk.handle(Event::Tick, now);
        self.act(&actions, None, now);
    }

    fn step(&mut self, step: Step, now: Instant) {
        match step {
            Step::Arrive {
                organisation,
                service,
            } => self.arrive(organisation, service, now),
            Step::Finish(request) => {
                self.running -= 1;
                let result = FinishResult::Ran;
                let actions = self.desk.handle(Event::Finish { request, result }, now);
                self.act(&actions, None, now);
            }
        }
    }
}
