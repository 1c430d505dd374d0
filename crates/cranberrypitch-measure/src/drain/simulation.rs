//! The discrete-event simulation of targets, balancers and callers during the drain of one target.

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

/// The index of the target that drains.
const DRAINING_TARGET: usize = 0;

/// The time after which a caller sends an unanswered first packet again.
const FIRST_PACKET_TIMEOUT: Duration = Duration::from_secs(1);

/// The time without packets after which a caller treats its flow as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time between attempts to open a feed.
const FEED_BACKOFF: Duration = Duration::from_millis(50);

/// The mean of the exponentially distributed time that a feed without support for moves stays open
/// after the drain starts.
const FEED_REMAINING_TIME_MEAN: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    Arrival { service_time: Duration },
    OrderAttempt { order: usize },
    TargetArrival { item: usize, target: usize },
    Completion { item: usize, target: usize },
    FeedOpen { feed: usize },
    FeedOpened { flow: usize },
    ReadingDelivery { flow: usize, sequence: u64 },
    MoveReceived { flow: usize },
    FlowClose { item: usize, target: usize },
    ReadingsDue,
    DrainStart,
    TryStop,
}

#[derive(Clone, Copy, Debug)]
enum WorkItem {
    Order(usize),
    Flow(usize),
}

#[derive(Debug)]
struct Order {
    service_time: Duration,
    deadline: Instant,
    retry: RetryState,
    avoids_draining_target: bool,
}

#[derive(Debug)]
pub(super) struct Simulation {
    options: DrainMeasureOptions,
    scenario: Scenario,
    policy: Policy,
    start: Instant,
    drain_start: Instant,
    event_queue: EventQueue<SimulationEvent>,
    rng: Pcg64,
    organisation: OrganisationId,
    admission: AdmissionOptions,
    targets: Vec<AdmissionController>,
    draining: Option<Lifecycle<Draining>>,
    has_exited: bool,
    budget: RetryBudget,
    /// The units of admission with their arrival times: attempts of orders and flows of feeds.
    work_items: Vec<(WorkItem, Instant)>,
    orders: Vec<Order>,
    feeds: Vec<Feed>,
    flows: Vec<Flow>,
    produced_readings: u64,
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
            drain_start: start + options.drain_start,
            options,
            scenario,
            policy,
            start,
            event_queue: EventQueue::new(),
            rng: Pcg64::seed_from_u64(seed),
            organisation: OrganisationId::try_new("tenant")?,
            targets: (0..options.target_count)
                .map(|_| warm_target(admission, start))
                .collect(),
            admission,
            draining: None,
            has_exited: false,
            budget: RetryBudget::new(&RetryOptions::default()),
            work_items: Vec::new(),
            orders: Vec::new(),
            feeds: Vec::new(),
            flows: Vec::new(),
            produced_readings: 0,
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
        let targets = u32::try_from(self.options.target_count).unwrap_or(u32::MAX);
        let slots = f64::from(self.options.slots * targets);
        let requests_per_s =
            slots * self.options.load / self.options.service_time_mean.as_secs_f64();
        let interarrival_mean = Duration::from_secs_f64(1.0 / requests_per_s);
        let mut arrival = exponential(interarrival_mean, &mut self.rng);
        while arrival < self.options.duration {
            let service_time = exponential(self.options.service_time_mean, &mut self.rng);
            let event = SimulationEvent::Arrival { service_time };
            self.event_queue.schedule(self.start + arrival, event);
            arrival += exponential(interarrival_mean, &mut self.rng);
        }
        for feed in 0..self.options.feed_count {
            let is_graceful = self.policy == Policy::Graceful;
            self.feeds.push(Feed::new(feed % 10 != 0, is_graceful));
            self.open_flow(feed, feed % self.options.target_count, self.start);
        }
        self.event_queue
            .schedule(self.start, SimulationEvent::ReadingsDue);
        self.event_queue
            .schedule(self.drain_start, SimulationEvent::DrainStart);
    }

    pub(super) fn run(mut self) -> DrainFigures {
        let end = self.start + self.options.duration;
        let start = self.start;
        run_simulation(&mut self, start, end);
        self.into_figures()
    }

    fn draw_message_delay(&mut self) -> Duration {
        let delay = self.options.message_delay_min;
        delay + delay.mul_f64(self.rng.random::<f64>())
    }

    fn on_arrival(&mut self, service_time: Duration, now: Instant) {
        let deadline = now + self.options.start_deadline;
        self.orders.push(Order {
            service_time,
            deadline,
            retry: RetryState::new(RetryOptions::default(), false, deadline),
            avoids_draining_target: false,
        });
        self.send_order(self.orders.len() - 1, now);
    }

    fn send_order(&mut self, order: usize, now: Instant) {
        let mut avoided = self.orders[order].retry.tried_targets().to_vec();
        if self.orders[order].avoids_draining_target {
            avoided.push(address(DRAINING_TARGET));
        }
        let target = self.select_target(&avoided, now);
        self.send(WorkItem::Order(order), target, now);
    }

    /// Selects a random target among those that a random balancer considers live, preferably none of
    /// `avoided`.
    fn select_target(&mut self, avoided: &[SocketAddrV4], now: Instant) -> usize {
        let balancer = self
            .rng
            .random_range(0..self.scenario.drain_visible_after.len());
        let drain_visible_after = self.scenario.drain_visible_after[balancer];
        let is_drain_visible =
            drain_visible_after.is_some_and(|after| now >= self.drain_start + after);
        let live: Vec<usize> = (0..self.targets.len())
            .filter(|target| !(is_drain_visible && *target == DRAINING_TARGET))
            .collect();
        let untried = live.iter().copied();
        let untried: Vec<usize> = untried
            .filter(|target| !avoided.contains(&address(*target)))
            .collect();
        let candidates = if untried.is_empty() { live } else { untried };
        candidates[self.rng.random_range(0..candidates.len())]
    }

    fn send(&mut self, item: WorkItem, target: usize, now: Instant) {
        let arrives = now + self.draw_message_delay() + self.draw_message_delay();
        self.work_items.push((item, arrives));
        let item = self.work_items.len() - 1;
        self.event_queue
            .schedule(arrives, SimulationEvent::TargetArrival { item, target });
    }

    fn on_target_arrival(&mut self, item: usize, target: usize, now: Instant) {
        if target == DRAINING_TARGET && self.has_exited {
            self.on_unanswered(item, now);
            return;
        }
        let (class, deadline) = match self.work_items[item].0 {
            WorkItem::Order(order) => (RequestClass::Order, self.orders[order].deadline),
            WorkItem::Flow(_) => (RequestClass::Feed, now + self.options.start_deadline),
        };
        let submission = Submission {
            request: RequestId::new(item as u64),
            organisation: self.organisation.clone(),
            class,
            deadline,
            reservation: None,
        };
        self.handle(target, Event::Submit(submission), now);
    }

    /// Schedules the retransmission of an unanswered first packet, which goes to another target.
    fn on_unanswered(&mut self, item: usize, now: Instant) {
        self.figures.sent_after_exit += 1;
        let event = match self.work_items[item].0 {
            WorkItem::Order(order) => {
                self.orders[order].avoids_draining_target = true;
                SimulationEvent::OrderAttempt { order }
            }
            WorkItem::Flow(flow) => SimulationEvent::FeedOpen {
                feed: self.flows[flow].feed,
            },
        };
        self.event_queue.schedule(now + FIRST_PACKET_TIMEOUT, event);
    }

    fn handle(&mut self, target: usize, event: Event, now: Instant) {
        for action in self.targets[target].handle(event, now) {
            match action {
                Action::Start(request) => self.on_started(request_index(request), target, now),
                Action::Refuse(request, reason) => {
                    let is_after_start = now >= self.drain_start && target == DRAINING_TARGET;
                    self.figures.refused_after_drain_start += u32::from(is_after_start);
                    let outcome = Outcome::NotRun(reason);
                    self.on_refused(request_index(request), target, &outcome, now);
                }
                _ => {}
            }
        }
        self.update_drain(target, now);
    }

    fn on_started(&mut self, item: usize, target: usize, now: Instant) {
        if target == DRAINING_TARGET && now >= self.drain_start {
            let is_new = self.work_items[item].1 >= self.drain_start;
            self.figures.new_work_started += u32::from(is_new);
            self.figures.waiting_started += u32::from(!is_new);
            let elapsed_s = (now - self.drain_start).as_secs_f64();
            self.figures.last_start_s = round_to_4_decimals(elapsed_s);
        }
        match self.work_items[item].0 {
            WorkItem::Order(order) => {
                let completes_at = now + self.orders[order].service_time;
                self.event_queue
                    .schedule(completes_at, SimulationEvent::Completion { item, target });
            }
            WorkItem::Flow(flow) => {
                self.flows[flow].is_open = true;
                let delay = self.draw_message_delay();
                let at = self.flows[flow].delivery_time(now, delay);
                self.event_queue
                    .schedule(at, SimulationEvent::FeedOpened { flow });
                self.send_readings(flow, now);
            }
        }
    }

    fn on_refused(&mut self, item: usize, target: usize, outcome: &Outcome, now: Instant) {
        let order = match self.work_items[item].0 {
            WorkItem::Order(order) => order,
            WorkItem::Flow(flow) => {
                let feed = self.flows[flow].feed;
                self.event_queue
                    .schedule(now + FEED_BACKOFF, SimulationEvent::FeedOpen { feed });
                return;
            }
        };
        match self.decide_retry(order, target, outcome, now) {
            RetryDecision::RetryAt(at) => self
                .event_queue
                .schedule(at, SimulationEvent::OrderAttempt { order }),
            _ => self.figures.not_run += 1,
        }
    }

    fn decide_retry(
        &mut self,
        order: usize,
        target: usize,
        outcome: &Outcome,
        now: Instant,
    ) -> RetryDecision {
        let result = AttemptResult {
            outcome,
            target: address(target),
            target_count: self.targets.len(),
        };
        let retry = &mut self.orders[order].retry;
        retry.decide(result, &mut self.budget, &mut self.rng, now)
    }

    fn on_completion(&mut self, item: usize, target: usize, now: Instant) {
        let WorkItem::Order(order) = self.work_items[item].0 else {
            return;
        };
        if target == DRAINING_TARGET && self.has_exited {
            return;
        }
        self.figures.done += 1;
        self.decide_retry(order, target, &Outcome::Done, now);
        self.finish_item(item, target, now);
    }

    fn finish_item(&mut self, item: usize, target: usize, now: Instant) {
        let request = RequestId::new(item as u64);
        let result = FinishResult::Ran;
        self.handle(target, Event::Finish { request, result }, now);
    }

    fn start_drain(&mut self, now: Instant) {
        if self.policy == Policy::ExitAtOnce {
            self.exit(now);
            return;
        }
        let draining = Lifecycle::new().ready().drain(DrainOptions::default(), now);
        let start_until = draining.start_until();
        self.draining = Some(draining);
        for flow in self.draining_target_flows() {
            let delay = self.draw_message_delay();
            let at = self.flows[flow].delivery_time(now, delay);
            self.event_queue
                .schedule(at, SimulationEvent::MoveReceived { flow });
            if !self.feeds[self.flows[flow].feed].can_move {
                let remaining_time = exponential(FEED_REMAINING_TIME_MEAN, &mut self.rng);
                self.close_flow(flow, now + remaining_time);
            }
        }
        self.handle(DRAINING_TARGET, Event::Drain { start_until }, now);
    }

    fn update_drain(&mut self, target: usize, now: Instant) {
        if target != DRAINING_TARGET {
            return;
        }
        let load = self.targets[DRAINING_TARGET].load(now);
        let feeds = self.targets[DRAINING_TARGET].feeds();
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

    /// Ends the process of the draining target, which interrupts its remaining requests and feeds.
    fn exit(&mut self, now: Instant) {
        self.has_exited = true;
        let elapsed_s = (now - self.drain_start).as_secs_f64();
        self.figures.drain_s = Some(round_to_4_decimals(elapsed_s));
        let load = self.targets[DRAINING_TARGET].load(now);
        self.figures.requests_interrupted = load.running + load.waiting;
        self.targets[DRAINING_TARGET] = warm_target(self.admission, now);
        let interrupted = self.draining_target_flows();
        self.figures.feeds_interrupted = u32::try_from(interrupted.len()).unwrap_or(u32::MAX);
        for flow in interrupted {
            self.flows[flow].is_open = false;
            let feed = self.flows[flow].feed;
            let event = SimulationEvent::FeedOpen { feed };
            self.event_queue.schedule(now + IDLE_TIMEOUT, event);
        }
    }

    fn into_figures(mut self) -> DrainFigures {
        let requests = u32::try_from(self.orders.len()).unwrap_or(u32::MAX);
        let figures = &mut self.figures;
        figures.requests = requests;
        figures.unfinished =
            requests - figures.done - figures.not_run - figures.requests_interrupted;
        self.figures.readings_missing = self.feeds.iter().map(|feed| feed.missing_readings).sum();
        self.figures.readings_repeated = self.feeds.iter().map(|feed| feed.repeated_readings).sum();
        self.figures.duplicates_dropped =
            self.feeds.iter().map(|feed| feed.dropped_duplicates).sum();
        self.figures
    }
}

fn warm_target(options: AdmissionOptions, now: Instant) -> AdmissionController {
    let mut admission = AdmissionController::new(options, now);
    admission.handle(Event::SetCapacityLimit(CapacityLimit::AllSlots), now);
    admission
}

fn request_index(request: RequestId) -> usize {
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
            SimulationEvent::Arrival { service_time } => self.on_arrival(service_time, now),
            SimulationEvent::OrderAttempt { order } => self.send_order(order, now),
            SimulationEvent::TargetArrival { item, target } => {
                self.on_target_arrival(item, target, now);
            }
            SimulationEvent::Completion { item, target } => self.on_completion(item, target, now),
            SimulationEvent::FeedOpen { feed } => self.open_feed(feed, now),
            SimulationEvent::FeedOpened { flow } => self.on_feed_opened(flow, now),
            SimulationEvent::ReadingDelivery { flow, sequence } => {
                let feed = self.flows[flow].feed;
                self.feeds[feed].receive(sequence);
            }
            SimulationEvent::MoveReceived { flow } => {
                let feed = self.flows[flow].feed;
                if self.feeds[feed].can_move {
                    self.open_feed(feed, now);
                }
            }
            SimulationEvent::FlowClose { item, target } => self.on_flow_close(item, target, now),
            SimulationEvent::ReadingsDue => self.produce_readings(now),
            SimulationEvent::DrainStart => self.start_drain(now),
            SimulationEvent::TryStop => self.try_stop(now),
        }
    }
}
