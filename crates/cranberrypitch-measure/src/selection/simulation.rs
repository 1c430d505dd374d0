//! One run of a pattern under a policy.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{FlowAgentOptions, FlowKey, MAX_DECLINES};
use cranberrypitch_core::{Result, Slots};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::choice::Chooser;
use super::target::{Arrival, Target};
use super::{COLD_FACTOR, OUTAGE, Pattern, Policy, SelectionFigures, SelectionMeasureOptions};
use crate::timeline::{Simulated, Timeline, count, exponential, percentile_s, play, ratio};

/// The mean time between two requests of a feed.
const FEED_INTERVAL: Duration = Duration::from_secs(1);

/// The requests of a feed's flow.
const FEED_REQUESTS: u32 = 20;

/// The factor on the callers of the first failure domain in [`Pattern::OneDomain`].
const ONE_DOMAIN_FACTOR: f64 = 3.0;

/// The factor on the service time of the targets of a slow failure domain.
const SLOW_FACTOR: f64 = 3.0;

/// A caller gives up after this time.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Feeds open again within this time after a restart.
const REOPEN_TIME: Duration = Duration::from_millis(300);

const WINDOW: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Order {
        domain: usize,
    },
    Feed {
        feed: usize,
        flow: u32,
    },
    Finish {
        target: usize,
        request: usize,
    },
    Report,
    Restart,
    /// A request of a caller that found no target comes again.
    Again {
        caller: Caller,
        arrived: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct RequestKind {
    is_order: bool,
    /// Whether a flow opens for it.
    opens: bool,
}

/// Who sends a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum Caller {
    Order { domain: usize },
    Feed { feed: usize },
}

#[derive(Debug)]
struct Feed {
    domain: usize,
    target: Option<usize>,
    /// The number of the flow, which tells steps of an earlier one apart.
    flow: u32,
    left: u32,
}

#[derive(Debug)]
struct Request {
    domain: usize,
    is_order: bool,
    is_remote: bool,
    arrived: Instant,
    started: Option<Instant>,
    done: Option<Instant>,
    service: Duration,
}

#[derive(Debug)]
pub(super) struct Simulation<'a> {
    options: &'a SelectionMeasureOptions,
    pattern: Pattern,
    policy: Policy,
    start: Instant,
    timeline: Timeline<Step>,
    rng: Pcg64,
    /// The failure domain of each target.
    domains: Vec<usize>,
    targets: Vec<Target>,
    choosers: Vec<Chooser>,
    feeds: Vec<Feed>,
    requests: Vec<Request>,
    refused: u32,
    next_port: u16,
    /// When the targets come back.
    dark_until: Option<Instant>,
}

impl<'a> Simulation<'a> {
    pub(super) fn try_new(
        options: &'a SelectionMeasureOptions,
        pattern: Pattern,
        policy: Policy,
        seed: u64,
    ) -> Result<Self> {
        let start = Instant::now();
        let per_domain = options.targets.iter().enumerate();
        let domains: Vec<usize> = per_domain
            .flat_map(|(domain, targets)| std::iter::repeat_n(domain, *targets))
            .collect();
        let choosers = (0..options.targets.len() * options.balancers)
            .map(|balancer| {
                let place = (balancer, balancer / options.balancers);
                Chooser::try_new(policy, place, &domains, options.slots, seed, start)
            })
            .collect::<Result<Vec<_>>>()?;
        let mut simulation = Self {
            options,
            pattern,
            policy,
            start,
            timeline: Timeline::new(),
            rng: Pcg64::seed_from_u64(seed),
            targets: targets(options, policy, domains.len(), start),
            domains,
            choosers,
            feeds: Vec::new(),
            requests: Vec::new(),
            refused: 0,
            next_port: 0,
            dark_until: None,
        };
        simulation.enter();
        Ok(simulation)
    }

    fn load(&self, domain: usize) -> f64 {
        self.options.load
            * match self.pattern {
                Pattern::OneDomain if domain == 0 => ONE_DOMAIN_FACTOR,
                Pattern::Double => 2.0,
                _ => 1.0,
            }
    }

    fn enter(&mut self) {
        for domain in 0..self.options.targets.len() {
            let load = self.load(domain);
            let feeds = (count(self.options.feeds) * load).round();
            let mut entered = 0.0;
            while entered < feeds {
                entered += 1.0;
                let feed = self.feeds.len();
                self.feeds.push(Feed {
                    domain,
                    target: None,
                    flow: 0,
                    left: 0,
                });
                let at = FEED_INTERVAL.mul_f64(self.rng.random());
                self.timeline
                    .push(self.start + at, Step::Feed { feed, flow: 0 });
            }
            self.enter_order(domain, self.start);
        }
        self.timeline.push(self.start, Step::Report);
        if matches!(self.pattern, Pattern::Restart | Pattern::Outage) {
            let middle = self.start + self.options.duration / 2;
            self.timeline.push(middle, Step::Restart);
        }
    }

    fn enter_order(&mut self, domain: usize, now: Instant) {
        let rate = self.options.orders_per_second * self.load(domain);
        let gap = exponential(Duration::from_secs_f64(1.0 / rate), &mut self.rng);
        self.timeline.push(now + gap, Step::Order { domain });
    }

    pub(super) fn run(mut self) -> SelectionFigures {
        let end = self.start + self.options.duration;
        let start = self.start;
        play(&mut self, start, end);
        self.figures()
    }

    /// Schedules the next request of a feed and sends one, or lets it come again after an outage.
    fn feed(&mut self, feed: usize, now: Instant) {
        let gap = exponential(FEED_INTERVAL, &mut self.rng);
        let flow = self.feeds[feed].flow;
        self.timeline.push(now + gap, Step::Feed { feed, flow });
        self.send(Caller::Feed { feed }, now, now);
    }

    /// Sends a request that arrived at a time, or lets it come again after an outage.
    fn send(&mut self, caller: Caller, arrived: Instant, now: Instant) {
        if let Some(until) = self.dark_until.filter(|until| now < *until) {
            let at = until + REOPEN_TIME.mul_f64(self.rng.random());
            self.timeline.push(at, Step::Again { caller, arrived });
            return;
        }
        match caller {
            Caller::Order { domain } => {
                let target = self.place(domain, now);
                let kind = RequestKind {
                    is_order: true,
                    opens: true,
                };
                self.request(domain, target, kind, arrived, now);
            }
            Caller::Feed { feed } => self.send_feed(feed, arrived, now),
        }
    }

    /// Sends a request of a feed, which opens a flow if it has none.
    fn send_feed(&mut self, feed: usize, arrived: Instant, now: Instant) {
        let domain = self.feeds[feed].domain;
        let opens = self.feeds[feed].target.is_none();
        let target = self.feeds[feed].target.unwrap_or_else(|| {
            let target = self.place(domain, now);
            self.targets[target].flows += 1;
            self.feeds[feed].target = Some(target);
            self.feeds[feed].left = FEED_REQUESTS;
            target
        });
        let kind = RequestKind {
            is_order: false,
            opens,
        };
        self.request(domain, target, kind, arrived, now);
        let state = &mut self.feeds[feed];
        state.left -= 1;
        if state.left == 0 {
            state.target = None;
            self.targets[target].flows -= 1;
        }
    }

    fn place(&mut self, domain: usize, now: Instant) -> usize {
        self.next_port = self.next_port.wrapping_add(1);
        let number = u8::try_from(domain).unwrap_or(u8::MAX);
        let flow = FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, number, 1), self.next_port),
            service_address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        };
        let turn = usize::from(self.next_port) % self.options.balancers;
        let balancer = domain * self.options.balancers + turn;
        for _ in 0..MAX_DECLINES {
            let (target, expected) = self.choosers[balancer].choose(flow, now);
            let Some(expected) = expected else {
                return target;
            };
            let load = self.targets[target].load(now);
            if !load.is_busier_than(expected, Slots::new(self.options.slots)) {
                return target;
            }
            let warmup_left = self.warmup_left(target, now);
            self.choosers[balancer].on_report(target, load, warmup_left, now);
        }
        self.choosers[balancer].choose(flow, now).0
    }

    fn request(
        &mut self,
        domain: usize,
        target: usize,
        kind: RequestKind,
        arrived: Instant,
        now: Instant,
    ) {
        // The shared queue has no place, so no way between failure domains counts.
        let is_remote = self.policy != Policy::SharedQueue && self.domains[target] != domain;
        let request = self.requests.len();
        self.requests.push(Request {
            domain,
            is_order: kind.is_order,
            is_remote,
            arrived,
            started: None,
            done: None,
            service: self.options.service.mul_f64(0.5 + self.rng.random::<f64>()),
        });
        if !(kind.opens && self.holds_openings() && self.targets[target].hold(request, now)) {
            self.arrive(target, request, now);
        }
    }

    /// Returns whether agents keep flows that open while their targets are busy.
    fn holds_openings(&self) -> bool {
        matches!(self.policy, Policy::Selection | Policy::OwnDomain)
    }

    fn arrive(&mut self, target: usize, request: usize, now: Instant) {
        match self.targets[target].arrive(request, now) {
            Arrival::Starts => self.begin(target, request, now),
            Arrival::Waits => {}
            Arrival::Refused => self.refused += 1,
        }
    }

    fn begin(&mut self, target: usize, request: usize, now: Instant) {
        let factor = self.slowness(target, request, now);
        let started = &mut self.requests[request];
        started.started = Some(now);
        let ends = now + started.service.mul_f64(factor);
        self.timeline.push(ends, Step::Finish { target, request });
    }

    fn slowness(&self, target: usize, request: usize, now: Instant) -> f64 {
        // The slots of the shared queue are those of all targets in turn.
        let target_of_slot = if self.policy == Policy::SharedQueue {
            request % self.domains.len()
        } else {
            target
        };
        let is_slow = self.pattern == Pattern::SlowDomain && self.domains[target_of_slot] == 0;
        let slow = if is_slow { SLOW_FACTOR } else { 1.0 };
        let is_cold = !self.warmup_left(target, now).is_zero();
        slow * if is_cold { COLD_FACTOR } else { 1.0 }
    }

    fn warmup_left(&self, target: usize, now: Instant) -> Duration {
        let started_at = self.targets[target].started_at;
        let elapsed = started_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        self.options.cold.saturating_sub(elapsed)
    }

    fn finish(&mut self, target: usize, request: usize, now: Instant) {
        // A target that started anew in between has lost the request.
        let started = self.requests[request].started;
        if self.targets[target].started_at > started {
            return;
        }
        self.requests[request].done = Some(now);
        if let Some(next) = self.targets[target].finish(now) {
            self.begin(target, next, now);
        }
        let limit = FlowAgentOptions::default().backlog_timeout;
        let (opening, overdue) = self.targets[target].release(limit, now);
        self.refused += u32::try_from(overdue).unwrap_or(u32::MAX);
        if let Some(request) = opening {
            self.arrive(target, request, now);
        }
    }

    fn report(&mut self, now: Instant) {
        for target in 0..self.domains.len() {
            let target_load = match self.targets.get_mut(target) {
                Some(target) => target.load(now),
                None => return,
            };
            let warmup_left = self.warmup_left(target, now);
            for chooser in &mut self.choosers {
                chooser.on_report(target, target_load, warmup_left, now);
            }
        }
        let next = now + self.options.report_interval;
        self.timeline.push(next, Step::Report);
    }

    /// Lets all targets lose their flows, and comes back for their return after an outage.
    fn restart(&mut self, now: Instant) {
        let is_outage = self.pattern == Pattern::Outage && self.dark_until.is_none();
        if is_outage {
            self.dark_until = Some(now + OUTAGE);
            self.timeline.push(now + OUTAGE, Step::Restart);
        }
        self.targets = targets(self.options, self.policy, self.domains.len(), now);
        for target in &mut self.targets {
            target.started_at = Some(now);
        }
        for feed in 0..self.feeds.len() {
            let state = &mut self.feeds[feed];
            state.target = None;
            if self.pattern == Pattern::Outage {
                continue;
            }
            state.flow += 1;
            let flow = state.flow;
            let at = REOPEN_TIME.mul_f64(self.rng.random());
            self.timeline.push(now + at, Step::Feed { feed, flow });
        }
    }

    fn is_in_time(&self, request: &Request) -> bool {
        let trip = if request.is_remote {
            self.options.delay * 2
        } else {
            Duration::ZERO
        };
        let done = request.done;
        done.is_some_and(|done| done + trip - request.arrived <= self.options.objective)
    }

    /// Returns the fraction in time of the requests that end before the run does.
    fn in_time(&self, includes: impl Fn(&Request) -> bool) -> f64 {
        let end = self.start + self.options.duration;
        let judged = || {
            let requests = self.requests.iter();
            requests.filter(|r| r.arrived + self.options.objective < end && includes(r))
        };
        let good = judged().filter(|request| self.is_in_time(request));
        ratio(count(good.count()), count(judged().count()))
    }

    fn figures(&self) -> SelectionFigures {
        let window_of =
            |request: &Request| (request.arrived - self.start).as_millis() / WINDOW.as_millis();
        let windows = self.options.duration.as_millis() / WINDOW.as_millis();
        let least = |shares: Vec<f64>| shares.into_iter().fold(1.0, f64::min);
        let in_windows = (0..windows).map(|w| self.in_time(|request| window_of(request) == w));
        let domains = 0..self.options.targets.len();
        let in_domains = domains.map(|d| self.in_time(|request| request.domain == d));
        let requests = count(self.requests.len());
        let remote = self.requests.iter().filter(|request| request.is_remote);
        let mut waits: Vec<Duration> = self
            .requests
            .iter()
            .filter_map(|request| Some(request.started? - request.arrived))
            .collect();
        SelectionFigures {
            pattern: self.pattern,
            policy: self.policy,
            requests: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            in_time: self.in_time(|_| true),
            feeds_in_time: self.in_time(|request| !request.is_order),
            orders_in_time: self.in_time(|request| request.is_order),
            worst_domain: least(in_domains.collect()),
            worst_window: least(in_windows.collect()),
            refused: ratio(f64::from(self.refused), requests),
            wait_p99_s: percentile_s(&mut waits, 0.99),
            remote: ratio(count(remote.count()), requests),
        }
    }
}

impl Simulated for Simulation<'_> {
    type Step = Step;

    fn timeline(&mut self) -> &mut Timeline<Step> {
        &mut self.timeline
    }

    fn next_tick(&self, _now: Instant) -> Option<Instant> {
        None
    }

    fn tick(&mut self, _now: Instant) {}

    fn step(&mut self, step: Step, now: Instant) {
        match step {
            Step::Order { domain } => {
                self.send(Caller::Order { domain }, now, now);
                self.enter_order(domain, now);
            }
            Step::Feed { feed, flow } if self.feeds[feed].flow == flow => self.feed(feed, now),
            Step::Feed { .. } => {}
            Step::Finish { target, request } => self.finish(target, request, now),
            Step::Report => self.report(now),
            Step::Restart => self.restart(now),
            Step::Again { caller, arrived } => {
                if now.saturating_duration_since(arrived) < PATIENCE {
                    self.send(caller, arrived, now);
                }
            }
        }
    }
}

/// Returns the targets, or one with all slots and queues for the shared queue.
fn targets(
    options: &SelectionMeasureOptions,
    policy: Policy,
    number: usize,
    now: Instant,
) -> Vec<Target> {
    if policy == Policy::SharedQueue {
        let all = u32::try_from(number).unwrap_or(u32::MAX);
        let target = Target::new(options.slots * all, options.queue_len * number, now);
        return vec![target];
    }
    let target = || Target::new(options.slots, options.queue_len, now);
    std::iter::repeat_with(target).take(number).collect()
}
