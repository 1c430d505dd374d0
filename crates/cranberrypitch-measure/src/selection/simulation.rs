//! The simulation of one load pattern under one policy.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{FlowAgentOptions, FlowKey, MAX_DECLINES};
use cranberrypitch_core::{Result, Slots};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::target::{ArrivalResult, Target};
use super::target_selector::TargetSelector;
use super::{
    COLD_SERVICE_TIME_FACTOR, LoadPattern, OUTAGE_DURATION, Policy, SelectionFigures,
    SelectionMeasureOptions,
};
use crate::discrete_event::{
    EventQueue, SimulationModel, exponential, percentile_s, ratio, run_simulation, to_f64,
};

/// The mean interval between requests of a feed, which is exponentially distributed.
const FEED_INTERVAL: Duration = Duration::from_secs(1);

/// The number of requests after which a feed opens a new flow.
const FEED_REQUESTS_PER_FLOW: u32 = 20;

/// The factor on the load of the first failure domain in [`LoadPattern::HeavyDomain`].
const HEAVY_DOMAIN_LOAD_FACTOR: f64 = 3.0;

/// The factor on the service time in the slow failure domain of [`LoadPattern::SlowDomain`].
const SLOW_DOMAIN_SERVICE_TIME_FACTOR: f64 = 3.0;

/// In [`LoadPattern::UnevenSpeeds`], one target in this number is slow.
const TARGETS_PER_SLOW_TARGET: usize = 4;

/// The speeds of the slow targets and of the others in [`LoadPattern::UnevenSpeeds`].
const UNEVEN_SPEEDS: (f64, f64) = (0.55, 1.2);

/// The factor on the load in [`LoadPattern::UnevenSpeeds`] and [`LoadPattern::Waves`]. Slow targets and
/// failure domains at the peak of their wave are then overloaded, and all targets together are not.
const HIGH_LOAD_FACTOR: f64 = 1.7;

/// The amplitude of the waves relative to the mean load.
const WAVE_AMPLITUDE: f64 = 0.55;

/// The period of the waves.
const WAVE_PERIOD: Duration = Duration::from_secs(16);

/// The time after which a caller stops retrying.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The maximum time from a restart to the reopening of a feed, which is uniformly distributed.
const REOPEN_TIME_MAX: Duration = Duration::from_millis(300);

/// The length of the windows of [`SelectionFigures::worst_window_in_time_fraction`].
const WINDOW: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    OrderArrival {
        domain: usize,
    },
    FeedRequest {
        feed: usize,
        generation: u32,
    },
    Completion {
        target: usize,
        request: usize,
    },
    Report,
    Restart,
    /// A retry of a request that found no target during an outage.
    Retry {
        source: RequestSource,
        arrived_at: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct RequestKind {
    is_order: bool,
    opens_flow: bool,
}

/// The origin of a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestSource {
    Order { domain: usize },
    Feed { feed: usize },
}

#[derive(Debug)]
struct Feed {
    domain: usize,
    target: Option<usize>,
    /// Incremented by a restart, so that events scheduled before it are ignored.
    generation: u32,
    requests_left: u32,
}

#[derive(Debug)]
struct Request {
    domain: usize,
    is_order: bool,
    is_remote: bool,
    arrived_at: Instant,
    started_at: Option<Instant>,
    completed_at: Option<Instant>,
    service_time: Duration,
}

#[derive(Debug)]
pub(super) struct Simulation<'a> {
    options: &'a SelectionMeasureOptions,
    pattern: LoadPattern,
    policy: Policy,
    start: Instant,
    event_queue: EventQueue<SimulationEvent>,
    rng: Pcg64,
    /// The failure domain of each target.
    domains: Vec<usize>,
    targets: Vec<Target>,
    selectors: Vec<TargetSelector>,
    feeds: Vec<Feed>,
    requests: Vec<Request>,
    refused: u32,
    next_port: u16,
    /// The end of the outage.
    outage_until: Option<Instant>,
}

impl<'a> Simulation<'a> {
    pub(super) fn try_new(
        options: &'a SelectionMeasureOptions,
        pattern: LoadPattern,
        policy: Policy,
        seed: u64,
    ) -> Result<Self> {
        let start = Instant::now();
        let per_domain = options.targets_per_domain.iter().enumerate();
        let domains: Vec<usize> = per_domain
            .flat_map(|(domain, targets)| std::iter::repeat_n(domain, *targets))
            .collect();
        let selectors = (0..options.targets_per_domain.len() * options.balancers_per_domain)
            .map(|balancer| {
                let location = (balancer, balancer / options.balancers_per_domain);
                TargetSelector::try_new(policy, location, &domains, options.slots, seed, start)
            })
            .collect::<Result<Vec<_>>>()?;
        let mut simulation = Self {
            options,
            pattern,
            policy,
            start,
            event_queue: EventQueue::new(),
            rng: Pcg64::seed_from_u64(seed),
            targets: targets(options, policy, domains.len(), start),
            domains,
            selectors,
            feeds: Vec::new(),
            requests: Vec::new(),
            refused: 0,
            next_port: 0,
            outage_until: None,
        };
        simulation.schedule_initial_events();
        Ok(simulation)
    }

    fn load(&self, domain: usize) -> f64 {
        self.options.load
            * match self.pattern {
                LoadPattern::HeavyDomain if domain == 0 => HEAVY_DOMAIN_LOAD_FACTOR,
                LoadPattern::DoubleLoad => 2.0,
                LoadPattern::UnevenSpeeds | LoadPattern::Waves => HIGH_LOAD_FACTOR,
                _ => 1.0,
            }
    }

    /// Returns the factor on the rates of a failure domain at a time.
    fn wave(&self, domain: usize, now: Instant) -> f64 {
        if self.pattern != LoadPattern::Waves {
            return 1.0;
        }
        let elapsed = now.saturating_duration_since(self.start);
        let phase = to_f64(domain) / to_f64(self.options.targets_per_domain.len());
        let turns = elapsed.div_duration_f64(WAVE_PERIOD) + phase;
        1.0 + WAVE_AMPLITUDE * (turns * std::f64::consts::TAU).sin()
    }

    fn schedule_initial_events(&mut self) {
        for domain in 0..self.options.targets_per_domain.len() {
            let load = self.load(domain);
            let feeds = (to_f64(self.options.feeds_per_domain) * load).round();
            let mut scheduled = 0.0;
            while scheduled < feeds {
                scheduled += 1.0;
                let feed = self.feeds.len();
                self.feeds.push(Feed {
                    domain,
                    target: None,
                    generation: 0,
                    requests_left: 0,
                });
                let at = FEED_INTERVAL.mul_f64(self.rng.random());
                self.event_queue.schedule(
                    self.start + at,
                    SimulationEvent::FeedRequest {
                        feed,
                        generation: 0,
                    },
                );
            }
            self.schedule_order(domain, self.start);
        }
        self.event_queue
            .schedule(self.start, SimulationEvent::Report);
        if matches!(self.pattern, LoadPattern::Restart | LoadPattern::Outage) {
            let halfway = self.start + self.options.duration / 2;
            self.event_queue.schedule(halfway, SimulationEvent::Restart);
        }
    }

    fn schedule_order(&mut self, domain: usize, now: Instant) {
        let rate = self.options.orders_per_second * self.load(domain) * self.wave(domain, now);
        let interarrival = exponential(Duration::from_secs_f64(1.0 / rate), &mut self.rng);
        self.event_queue
            .schedule(now + interarrival, SimulationEvent::OrderArrival { domain });
    }

    pub(super) fn run(mut self) -> SelectionFigures {
        let end = self.start + self.options.duration;
        let start = self.start;
        run_simulation(&mut self, start, end);
        self.figures()
    }

    /// Schedules the next request of a feed and sends the current one.
    fn on_feed_request(&mut self, feed: usize, now: Instant) {
        let wave = self.wave(self.feeds[feed].domain, now);
        let interarrival = exponential(FEED_INTERVAL.div_f64(wave), &mut self.rng);
        let generation = self.feeds[feed].generation;
        self.event_queue.schedule(
            now + interarrival,
            SimulationEvent::FeedRequest { feed, generation },
        );
        self.send(RequestSource::Feed { feed }, now, now);
    }

    /// Sends a request; during an outage a retry is scheduled for its end.
    fn send(&mut self, source: RequestSource, arrived_at: Instant, now: Instant) {
        if let Some(until) = self.outage_until.filter(|until| now < *until) {
            let at = until + REOPEN_TIME_MAX.mul_f64(self.rng.random());
            self.event_queue
                .schedule(at, SimulationEvent::Retry { source, arrived_at });
            return;
        }
        match source {
            RequestSource::Order { domain } => {
                let target = self.place_flow(domain, now);
                let kind = RequestKind {
                    is_order: true,
                    opens_flow: true,
                };
                self.submit_request(domain, target, kind, arrived_at, now);
            }
            RequestSource::Feed { feed } => self.send_feed(feed, arrived_at, now),
        }
    }

    /// Sends a request of a feed, on a new flow if none is open.
    fn send_feed(&mut self, feed: usize, arrived_at: Instant, now: Instant) {
        let domain = self.feeds[feed].domain;
        let opens_flow = self.feeds[feed].target.is_none();
        let target = self.feeds[feed].target.unwrap_or_else(|| {
            let target = self.place_flow(domain, now);
            self.targets[target].open_flows += 1;
            self.feeds[feed].target = Some(target);
            self.feeds[feed].requests_left = FEED_REQUESTS_PER_FLOW;
            target
        });
        let kind = RequestKind {
            is_order: false,
            opens_flow,
        };
        self.submit_request(domain, target, kind, arrived_at, now);
        let state = &mut self.feeds[feed];
        state.requests_left -= 1;
        if state.requests_left == 0 {
            state.target = None;
            self.targets[target].open_flows -= 1;
        }
    }

    fn place_flow(&mut self, domain: usize, now: Instant) -> usize {
        self.next_port = self.next_port.wrapping_add(1);
        let number = u8::try_from(domain).unwrap_or(u8::MAX);
        let flow = FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, number, 1), self.next_port),
            service_address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        };
        let index = usize::from(self.next_port) % self.options.balancers_per_domain;
        let balancer = domain * self.options.balancers_per_domain + index;
        for _ in 0..MAX_DECLINES {
            let (target, expected) = self.selectors[balancer].select_target(flow, now);
            let Some(expected) = expected else {
                return target;
            };
            let load = self.targets[target].load(now);
            if !load.is_busier_than(expected, Slots::new(self.options.slots)) {
                return target;
            }
            let warmup_left = self.warmup_left(target, now);
            self.selectors[balancer].on_report(target, load, warmup_left, now);
        }
        self.selectors[balancer].select_target(flow, now).0
    }

    fn submit_request(
        &mut self,
        domain: usize,
        target: usize,
        kind: RequestKind,
        arrived_at: Instant,
        now: Instant,
    ) {
        // The shared queue belongs to no failure domain, so its requests are never remote.
        let is_remote = self.policy != Policy::SharedQueue && self.domains[target] != domain;
        let request = self.requests.len();
        self.requests.push(Request {
            domain,
            is_order: kind.is_order,
            is_remote,
            arrived_at,
            started_at: None,
            completed_at: None,
            service_time: self
                .options
                .service_time_mean
                .mul_f64(0.5 + self.rng.random::<f64>()),
        });
        if !(kind.opens_flow
            && self.holds_new_flows()
            && self.targets[target].hold_if_busy(request, now))
        {
            self.arrive(target, request, now);
        }
    }

    /// Returns whether agents hold new flows while their targets are busy.
    fn holds_new_flows(&self) -> bool {
        matches!(self.policy, Policy::Selection | Policy::OwnDomain)
    }

    fn arrive(&mut self, target: usize, request: usize, now: Instant) {
        match self.targets[target].arrive(request, now) {
            ArrivalResult::Started => self.start_request(target, request, now),
            ArrivalResult::Queued => {}
            ArrivalResult::Refused => self.refused += 1,
        }
    }

    fn start_request(&mut self, target: usize, request: usize, now: Instant) {
        let factor = self.service_time_factor(target, request, now);
        let starting = &mut self.requests[request];
        starting.started_at = Some(now);
        let ends = now + starting.service_time.mul_f64(factor);
        self.event_queue
            .schedule(ends, SimulationEvent::Completion { target, request });
    }

    fn service_time_factor(&self, target: usize, request: usize, now: Instant) -> f64 {
        // Assigns the requests of the shared queue to the slots of all targets in turn.
        let target_of_slot = if self.policy == Policy::SharedQueue {
            request % self.domains.len()
        } else {
            target
        };
        let slow_factor = match self.pattern {
            LoadPattern::SlowDomain if self.domains[target_of_slot] == 0 => {
                SLOW_DOMAIN_SERVICE_TIME_FACTOR
            }
            LoadPattern::UnevenSpeeds => 1.0 / uneven_speed(target_of_slot),
            _ => 1.0,
        };
        let is_cold = !self.warmup_left(target, now).is_zero();
        slow_factor
            * if is_cold {
                COLD_SERVICE_TIME_FACTOR
            } else {
                1.0
            }
    }

    fn warmup_left(&self, target: usize, now: Instant) -> Duration {
        let started_at = self.targets[target].started_at;
        let elapsed = started_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        self.options.warm_up.saturating_sub(elapsed)
    }

    fn on_completion(&mut self, target: usize, request: usize, now: Instant) {
        // A restart of the target since then has dropped the request.
        let started_at = self.requests[request].started_at;
        if self.targets[target].started_at > started_at {
            return;
        }
        self.requests[request].completed_at = Some(now);
        if let Some(next) = self.targets[target].finish(now) {
            self.start_request(target, next, now);
        }
        let limit = FlowAgentOptions::default().min_syn_wait;
        let (released, overdue) = self.targets[target].release_held(limit, now);
        self.refused += u32::try_from(overdue).unwrap_or(u32::MAX);
        if let Some(request) = released {
            self.arrive(target, request, now);
        }
    }

    fn send_reports(&mut self, now: Instant) {
        for target in 0..self.domains.len() {
            let target_load = match self.targets.get_mut(target) {
                Some(target) => target.load(now),
                None => return,
            };
            let warmup_left = self.warmup_left(target, now);
            for selector in &mut self.selectors {
                selector.on_report(target, target_load, warmup_left, now);
            }
        }
        for selector in &mut self.selectors {
            selector.update_outliers(now);
        }
        let next = now + self.options.report_interval;
        self.event_queue.schedule(next, SimulationEvent::Report);
    }

    /// Restarts all targets, which drops their flows. An outage schedules a second restart at its end.
    fn on_restart(&mut self, now: Instant) {
        let starts_outage = self.pattern == LoadPattern::Outage && self.outage_until.is_none();
        if starts_outage {
            self.outage_until = Some(now + OUTAGE_DURATION);
            self.event_queue
                .schedule(now + OUTAGE_DURATION, SimulationEvent::Restart);
        }
        self.targets = targets(self.options, self.policy, self.domains.len(), now);
        for target in &mut self.targets {
            target.started_at = Some(now);
        }
        for feed in 0..self.feeds.len() {
            let state = &mut self.feeds[feed];
            state.target = None;
            if self.pattern == LoadPattern::Outage {
                continue;
            }
            state.generation += 1;
            let generation = state.generation;
            let at = REOPEN_TIME_MAX.mul_f64(self.rng.random());
            self.event_queue
                .schedule(now + at, SimulationEvent::FeedRequest { feed, generation });
        }
    }

    fn meets_objective(&self, request: &Request) -> bool {
        let round_trip = if request.is_remote {
            self.options.inter_domain_delay * 2
        } else {
            Duration::ZERO
        };
        let completed_at = request.completed_at;
        completed_at.is_some_and(|completed_at| {
            completed_at + round_trip - request.arrived_at <= self.options.latency_objective
        })
    }

    /// Returns the fraction in time of the included requests whose objective ends before the run does.
    fn in_time_fraction(&self, includes: impl Fn(&Request) -> bool) -> f64 {
        let end = self.start + self.options.duration;
        let eligible = || {
            let requests = self.requests.iter();
            requests.filter(|r| r.arrived_at + self.options.latency_objective < end && includes(r))
        };
        let in_time = eligible().filter(|request| self.meets_objective(request));
        ratio(to_f64(in_time.count()), to_f64(eligible().count()))
    }

    fn figures(&self) -> SelectionFigures {
        let window_of =
            |request: &Request| (request.arrived_at - self.start).as_millis() / WINDOW.as_millis();
        let windows = self.options.duration.as_millis() / WINDOW.as_millis();
        let minimum = |shares: Vec<f64>| shares.into_iter().fold(1.0, f64::min);
        let in_windows =
            (0..windows).map(|w| self.in_time_fraction(|request| window_of(request) == w));
        let domains = 0..self.options.targets_per_domain.len();
        let in_domains = domains.map(|d| self.in_time_fraction(|request| request.domain == d));
        let requests = to_f64(self.requests.len());
        let remote = self.requests.iter().filter(|request| request.is_remote);
        let mut waits: Vec<Duration> = self
            .requests
            .iter()
            .filter_map(|request| Some(request.started_at? - request.arrived_at))
            .collect();
        SelectionFigures {
            pattern: self.pattern,
            policy: self.policy,
            requests: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            in_time_fraction: self.in_time_fraction(|_| true),
            feeds_in_time_fraction: self.in_time_fraction(|request| !request.is_order),
            orders_in_time_fraction: self.in_time_fraction(|request| request.is_order),
            worst_domain_in_time_fraction: minimum(in_domains.collect()),
            worst_window_in_time_fraction: minimum(in_windows.collect()),
            refused_fraction: ratio(f64::from(self.refused), requests),
            wait_p99_s: percentile_s(&mut waits, 0.99),
            remote_fraction: ratio(to_f64(remote.count()), requests),
        }
    }
}

impl SimulationModel for Simulation<'_> {
    type Event = SimulationEvent;

    fn event_queue(&mut self) -> &mut EventQueue<SimulationEvent> {
        &mut self.event_queue
    }

    fn next_tick(&self, _now: Instant) -> Option<Instant> {
        None
    }

    fn on_tick(&mut self, _now: Instant) {}

    fn on_event(&mut self, event: SimulationEvent, now: Instant) {
        match event {
            SimulationEvent::OrderArrival { domain } => {
                self.send(RequestSource::Order { domain }, now, now);
                self.schedule_order(domain, now);
            }
            SimulationEvent::FeedRequest { feed, generation }
                if self.feeds[feed].generation == generation =>
            {
                self.on_feed_request(feed, now);
            }
            SimulationEvent::FeedRequest { .. } => {}
            SimulationEvent::Completion { target, request } => {
                self.on_completion(target, request, now);
            }
            SimulationEvent::Report => self.send_reports(now),
            SimulationEvent::Restart => self.on_restart(now),
            SimulationEvent::Retry { source, arrived_at } => {
                if now.saturating_duration_since(arrived_at) < CALLER_TIMEOUT {
                    self.send(source, arrived_at, now);
                }
            }
        }
    }
}

/// Returns the speed of a target in [`LoadPattern::UnevenSpeeds`].
const fn uneven_speed(target: usize) -> f64 {
    let (slow, fast) = UNEVEN_SPEEDS;
    if target.is_multiple_of(TARGETS_PER_SLOW_TARGET) {
        slow
    } else {
        fast
    }
}

/// Returns the targets, or for the shared queue one with the slots and queue length of all.
fn targets(
    options: &SelectionMeasureOptions,
    policy: Policy,
    target_count: usize,
    now: Instant,
) -> Vec<Target> {
    if policy == Policy::SharedQueue {
        let factor = u32::try_from(target_count).unwrap_or(u32::MAX);
        let target = Target::new(
            options.slots * factor,
            options.queue_len_max * target_count,
            now,
        );
        return vec![target];
    }
    let target = || Target::new(options.slots, options.queue_len_max, now);
    std::iter::repeat_with(target).take(target_count).collect()
}
