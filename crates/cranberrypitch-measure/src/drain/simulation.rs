//! The simulation of targets, balancers and callers around one drain.

mod flows;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::admission::{
    Action, AdmissionController, AdmissionOptions, CapacityLimit, Event, FinishResult, Submission,
};
use cranberrypitch_core::drain::{DrainOptions, Draining, Lifecycle, RemainingWork};
use cranberrypitch_core::retry::{
    AttemptResult, RetryBudget, RetryDecision, RetryOptions, RetryState,
};
use cranberrypitch_core::{
    ConnectionLimit, OrganisationId, Outcome, RequestClass, RequestId, Result, Slots,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::feeds::{Feed, Flow};
use super::{DrainFigures, DrainMeasureOptions, Policy, Scenario};
use crate::discrete_event::{
    EventQueue, SimulationModel, exponential, round_to_4_decimals, run_simulation,
};

const CONNECTION_LIMIT: ConnectionLimit = ConnectionLimit::new(2000);

/// The target that drains.
const LEAVING: usize = 0;

/// After this time without an answer a caller sends its first packet again.
const FIRST_PACKET_TIMEOUT: Duration = Duration::from_secs(1);

/// After this time without a packet a caller takes its flow for broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time between two attempts to open a feed.
const FEED_BACKOFF: Duration = Duration::from_millis(50);

/// The mean time after the drain for which a feed that can't move goes on.
const FEED_REST: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    Arrive { service: Duration },
    Attempt { order: usize },
    AtTarget { work: usize, target: usize },
    Finish { work: usize, target: usize },
    OpenFeed { feed: usize },
    FeedOpened { flow: usize },
    Reading { flow: usize, sequence: u64 },
    Move { flow: usize },
    Close { work: usize, target: usize },
    Readings,
    Drain,
    TryStop,
}

#[derive(Clone, Copy, Debug)]
enum Work {
    Order(usize),
    Flow(usize),
}

#[derive(Debug)]
struct Order {
    service: Duration,
    deadline: Instant,
    retry: RetryState,
    avoids_leaving: bool,
}

#[derive(Debug)]
pub(super) struct Simulation {
    options: DrainMeasureOptions,
    scenario: Scenario,
    policy: Policy,
    start: Instant,
    drain_at: Instant,
    event_queue: EventQueue<SimulationEvent>,
    rng: Pcg64,
    organisation: OrganisationId,
    admission: AdmissionOptions,
    targets: Vec<AdmissionController>,
    draining: Option<Lifecycle<Draining>>,
    is_gone: bool,
    budget: RetryBudget,
    /// The unit of admission: an attempt of an order, or a flow of a feed.
    work: Vec<(Work, Instant)>,
    orders: Vec<Order>,
    feeds: Vec<Feed>,
    flows: Vec<Flow>,
    produced: u64,
    figures: DrainFigures,
}

impl Simulation {
    pub(super) fn try_new(
        options: DrainMeasureOptions,
        scenario: Scenario,
        policy: Policy,
        seed: u64,
    ) -> Result<Self> {
        let start = Instant::now();
        let slots = Slots::new(options.slots);
        let admission = AdmissionOptions::builder(slots, CONNECTION_LIMIT).build()?;
        let mut simulation = Self {
            drain_at: start + options.drain_at,
            options,
            scenario,
            policy,
            start,
            event_queue: EventQueue::new(),
            rng: Pcg64::seed_from_u64(seed),
            organisation: OrganisationId::try_new("tenant")?,
            targets: (0..options.targets)
                .map(|_| warm_target(admission, start))
                .collect(),
            admission,
            draining: None,
            is_gone: false,
            budget: RetryBudget::new(&RetryOptions::default()),
            work: Vec::new(),
            orders: Vec::new(),
            feeds: Vec::new(),
            flows: Vec::new(),
            produced: 0,
            figures: DrainFigures {
                scenario: scenario.name,
                policy: match policy {
                    Policy::Graceful => "graceful",
                    Policy::ExitAtOnce => "exit_at_once",
                },
                ..DrainFigures::default()
            },
        };
        simulation.schedule_arrivals();
        Ok(simulation)
    }

    fn schedule_arrivals(&mut self) {
        let targets = u32::try_from(self.options.targets).unwrap_or(u32::MAX);
        let slots = f64::from(self.options.slots * targets);
        let rate = slots * self.options.load / self.options.service.as_secs_f64();
        let gap = Duration::from_secs_f64(1.0 / rate);
        let mut at = exponential(gap, &mut self.rng);
        while at < self.options.duration {
            let service = exponential(self.options.service, &mut self.rng);
            let event = SimulationEvent::Arrive { service };
            self.event_queue.schedule(self.start + at, event);
            at += exponential(gap, &mut self.rng);
        }
        for feed in 0..self.options.feeds {
            let is_graceful = self.policy == Policy::Graceful;
            self.feeds.push(Feed::new(feed % 10 != 0, is_graceful));
            self.open_flow(feed, feed % self.options.targets, self.start);
        }
        self.event_queue
            .schedule(self.start, SimulationEvent::Readings);
        self.event_queue
            .schedule(self.drain_at, SimulationEvent::Drain);
    }

    pub(super) fn run(mut self) -> DrainFigures {
        let end = self.start + self.options.duration;
        let start = self.start;
        run_simulation(&mut self, start, end);
        self.finish_figures()
    }

    fn delay(&mut self) -> Duration {
        let delay = self.options.delay;
        delay + delay.mul_f64(self.rng.random::<f64>())
    }

    fn arrive(&mut self, service: Duration, now: Instant) {
        let deadline = now + self.options.deadline;
        self.orders.push(Order {
            service,
            deadline,
            retry: RetryState::new(RetryOptions::default(), false, deadline),
            avoids_leaving: false,
        });
        self.attempt(self.orders.len() - 1, now);
    }

    fn attempt(&mut self, order: usize, now: Instant) {
        let mut avoided = self.orders[order].retry.tried_targets().to_vec();
        if self.orders[order].avoids_leaving {
            avoided.push(address(LEAVING));
        }
        let target = self.place(&avoided, now);
        self.send(Work::Order(order), target, now);
    }

    /// Picks a target at random among those that a random balancer holds for live.
    fn place(&mut self, avoided: &[SocketAddrV4], now: Instant) -> usize {
        let balancer = self.rng.random_range(0..self.scenario.learn_after.len());
        let learn_after = self.scenario.learn_after[balancer];
        let knows = learn_after.is_some_and(|after| now >= self.drain_at + after);
        let live: Vec<usize> = (0..self.targets.len())
            .filter(|target| !(knows && *target == LEAVING))
            .collect();
        let untried = live.iter().copied();
        let untried: Vec<usize> = untried
            .filter(|target| !avoided.contains(&address(*target)))
            .collect();
        let candidates = if untried.is_empty() { live } else { untried };
        candidates[self.rng.random_range(0..candidates.len())]
    }

    fn send(&mut self, work: Work, target: usize, now: Instant) {
        let arrives = now + self.delay() + self.delay();
        self.work.push((work, arrives));
        let work = self.work.len() - 1;
        self.event_queue
            .schedule(arrives, SimulationEvent::AtTarget { work, target });
    }

    fn at_target(&mut self, work: usize, target: usize, now: Instant) {
        if target == LEAVING && self.is_gone {
            self.unanswered(work, now);
            return;
        }
        let (class, deadline) = match self.work[work].0 {
            Work::Order(order) => (RequestClass::Order, self.orders[order].deadline),
            Work::Flow(_) => (RequestClass::Feed, now + self.options.deadline),
        };
        let submission = Submission {
            request: RequestId::new(work as u64),
            organisation: self.organisation.clone(),
            class,
            deadline,
            reservation: None,
        };
        self.handle(target, Event::Submit(submission), now);
    }

    /// The caller's first packet goes elsewhere when it is sent again.
    fn unanswered(&mut self, work: usize, now: Instant) {
        self.figures.sent_after_exit += 1;
        let event = match self.work[work].0 {
            Work::Order(order) => {
                self.orders[order].avoids_leaving = true;
                SimulationEvent::Attempt { order }
            }
            Work::Flow(flow) => SimulationEvent::OpenFeed {
                feed: self.flows[flow].feed,
            },
        };
        self.event_queue.schedule(now + FIRST_PACKET_TIMEOUT, event);
    }

    fn handle(&mut self, target: usize, event: Event, now: Instant) {
        for action in self.targets[target].handle(event, now) {
            match action {
                Action::Start(request) => self.started(index(request), target, now),
                Action::Refuse(request, reason) => {
                    let is_late = now >= self.drain_at && target == LEAVING;
                    self.figures.late_refused += u32::from(is_late);
                    let outcome = Outcome::NotRun(reason);
                    self.refused(index(request), target, &outcome, now);
                }
                _ => {}
            }
        }
        self.observe_drain(target, now);
    }

    fn started(&mut self, work: usize, target: usize, now: Instant) {
        if target == LEAVING && now >= self.drain_at {
            let is_new = self.work[work].1 >= self.drain_at;
            self.figures.new_work_started += u32::from(is_new);
            self.figures.waiting_started += u32::from(!is_new);
            let after = (now - self.drain_at).as_secs_f64();
            self.figures.last_start_s = round_to_4_decimals(after);
        }
        match self.work[work].0 {
            Work::Order(order) => {
                let ends = now + self.orders[order].service;
                self.event_queue
                    .schedule(ends, SimulationEvent::Finish { work, target });
            }
            Work::Flow(flow) => {
                self.flows[flow].is_open = true;
                let delay = self.delay();
                let at = self.flows[flow].delivery(now, delay);
                self.event_queue
                    .schedule(at, SimulationEvent::FeedOpened { flow });
                self.send_readings(flow, now);
            }
        }
    }

    fn refused(&mut self, work: usize, target: usize, outcome: &Outcome, now: Instant) {
        let order = match self.work[work].0 {
            Work::Order(order) => order,
            Work::Flow(flow) => {
                let feed = self.flows[flow].feed;
                self.event_queue
                    .schedule(now + FEED_BACKOFF, SimulationEvent::OpenFeed { feed });
                return;
            }
        };
        match self.decide(order, target, outcome, now) {
            RetryDecision::RetryAt(at) => self
                .event_queue
                .schedule(at, SimulationEvent::Attempt { order }),
            _ => self.figures.not_run += 1,
        }
    }

    fn decide(
        &mut self,
        order: usize,
        target: usize,
        outcome: &Outcome,
        now: Instant,
    ) -> RetryDecision {
        let end = AttemptResult {
            outcome,
            target: address(target),
            target_count: self.targets.len(),
        };
        let retry = &mut self.orders[order].retry;
        retry.decide(end, &mut self.budget, &mut self.rng, now)
    }

    fn finish(&mut self, work: usize, target: usize, now: Instant) {
        let Work::Order(order) = self.work[work].0 else {
            return;
        };
        if target == LEAVING && self.is_gone {
            return;
        }
        self.figures.done += 1;
        self.decide(order, target, &Outcome::Done, now);
        self.finish_work(work, target, now);
    }

    fn finish_work(&mut self, work: usize, target: usize, now: Instant) {
        let request = RequestId::new(work as u64);
        let result = FinishResult::Ran;
        self.handle(target, Event::Finish { request, result }, now);
    }

    fn drain(&mut self, now: Instant) {
        if self.policy == Policy::ExitAtOnce {
            self.exit(now);
            return;
        }
        let draining = Lifecycle::new().ready().drain(DrainOptions::default(), now);
        let start_until = draining.start_until();
        self.draining = Some(draining);
        for flow in self.leaving_flows() {
            let delay = self.delay();
            let at = self.flows[flow].delivery(now, delay);
            self.event_queue
                .schedule(at, SimulationEvent::Move { flow });
            if !self.feeds[self.flows[flow].feed].can_move {
                let rest = exponential(FEED_REST, &mut self.rng);
                self.close_flow(flow, now + rest);
            }
        }
        self.handle(LEAVING, Event::Drain { start_until }, now);
    }

    fn observe_drain(&mut self, target: usize, now: Instant) {
        if target != LEAVING {
            return;
        }
        let load = self.targets[LEAVING].load(now);
        let feeds = self.targets[LEAVING].feeds();
        let Some(draining) = &mut self.draining else {
            return;
        };
        let remaining = RemainingWork {
            running: load.running,
            waiting: load.waiting,
            feeds,
        };
        draining.observe(remaining, now);
        if let Some(at) = draining.exit_at() {
            self.event_queue
                .schedule(at.max(now), SimulationEvent::TryStop);
        }
    }

    fn try_stop(&mut self, now: Instant) {
        let Some(draining) = self.draining.take() else {
            return;
        };
        match draining.try_stop(now) {
            Ok(_) => self.exit(now),
            Err(draining) => self.draining = Some(draining),
        }
    }

    /// The process ends, with everything that it still holds.
    fn exit(&mut self, now: Instant) {
        self.is_gone = true;
        let after = (now - self.drain_at).as_secs_f64();
        self.figures.drain_s = Some(round_to_4_decimals(after));
        let load = self.targets[LEAVING].load(now);
        self.figures.requests_cut = load.running + load.waiting;
        self.targets[LEAVING] = warm_target(self.admission, now);
        let cut = self.leaving_flows();
        self.figures.feeds_cut = u32::try_from(cut.len()).unwrap_or(u32::MAX);
        for flow in cut {
            self.flows[flow].is_open = false;
            let feed = self.flows[flow].feed;
            let event = SimulationEvent::OpenFeed { feed };
            self.event_queue.schedule(now + IDLE_TIMEOUT, event);
        }
    }

    fn finish_figures(mut self) -> DrainFigures {
        let requests = u32::try_from(self.orders.len()).unwrap_or(u32::MAX);
        let figures = &mut self.figures;
        figures.requests = requests;
        figures.unfinished = requests - figures.done - figures.not_run - figures.requests_cut;
        self.figures.readings_missing = self.feeds.iter().map(|feed| feed.missing).sum();
        self.figures.readings_repeated = self.feeds.iter().map(|feed| feed.repeated).sum();
        self.figures.copies_dropped = self.feeds.iter().map(|feed| feed.dropped).sum();
        self.figures
    }
}

fn warm_target(options: AdmissionOptions, now: Instant) -> AdmissionController {
    let mut admission = AdmissionController::new(options, now);
    admission.handle(Event::SetCapacityLimit(CapacityLimit::AllSlots), now);
    admission
}

fn index(request: RequestId) -> usize {
    usize::try_from(request.get()).unwrap_or(usize::MAX)
}

fn address(target: usize) -> SocketAddrV4 {
    let port = u16::try_from(target).unwrap_or(u16::MAX);
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
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
            self.handle(target, Event::Tick, now);
        }
    }

    fn on_event(&mut self, event: SimulationEvent, now: Instant) {
        match event {
            SimulationEvent::Arrive { service } => self.arrive(service, now),
            SimulationEvent::Attempt { order } => self.attempt(order, now),
            SimulationEvent::AtTarget { work, target } => self.at_target(work, target, now),
            SimulationEvent::Finish { work, target } => self.finish(work, target, now),
            SimulationEvent::OpenFeed { feed } => self.open_feed(feed, now),
            SimulationEvent::FeedOpened { flow } => self.feed_opened(flow, now),
            SimulationEvent::Reading { flow, sequence } => {
                let feed = self.flows[flow].feed;
                self.feeds[feed].receive(sequence);
            }
            SimulationEvent::Move { flow } => {
                let feed = self.flows[flow].feed;
                if self.feeds[feed].can_move {
                    self.open_feed(feed, now);
                }
            }
            SimulationEvent::Close { work, target } => self.close(work, target, now),
            SimulationEvent::Readings => self.produce_readings(now),
            SimulationEvent::Drain => self.drain(now),
            SimulationEvent::TryStop => self.try_stop(now),
        }
    }
}
