//! The discrete-event simulation of balancers that follow the configuration.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::Revision;
use cranberrypitch_core::flow::{ConfigCheck, ConfigRead, ConfigReadOptions, ConfigReadSchedule};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Design, DisseminationFigures, DisseminationOptions, FAILURE_TIME};
use crate::discrete_event::{
    EventQueue, SimulationModel, exponential, percentile_s, ratio, round_to_4_decimals,
    run_simulation, to_f64,
};

/// The time from a call to the store to its answer, without the wait of a watch.
const CALL_TIME: Duration = Duration::from_millis(8);

/// The time after which a call without an answer fails, beyond the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The wait after a failed call.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// The maximum wait of a watch if each balancer watches the store.
const OWN_WATCH_WAIT: Duration = Duration::from_secs(3);

/// The upper bound of the random time by which balancers differ in the maximum age of a check.
const MAX_JITTER: Duration = Duration::from_millis(400);

/// The number of agents of each failure domain that relay a check.
const RELAYS_PER_DOMAIN: usize = 3;

/// One-way delays within a failure domain and between two of them.
const LOCAL_DELAY: Duration = Duration::from_micros(200);
const REMOTE_DELAY: Duration = Duration::from_micros(3500);

/// The size of a check with UDP and IP headers.
const CHECK_BYTES: f64 = 48.0;

/// The time from the start of all balancers to the first counted call.
const START_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A balancer decides what to do next. Outdated if the number of the step is not the latest.
    Step { balancer: usize, number: u64 },
    /// The store answers a call, or the call times out.
    CallEnds { balancer: usize, number: u64 },
    /// A check arrives.
    CheckArrives { balancer: usize, check: ConfigCheck },
    /// The configuration changes.
    Change,
    /// A watching balancer fails.
    Failure,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    started_at: Instant,
    wait: Duration,
}

#[derive(Debug)]
struct Balancer {
    schedule: ConfigReadSchedule,
    call: Option<Call>,
    /// The number of the latest scheduled step or call.
    number: u64,
    version: u64,
    failed_until: Instant,
}

/// A change of the configuration that some balancers do not have yet.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    version: u64,
    changed_at: Instant,
}

pub(super) struct Simulation<'a> {
    options: &'a DisseminationOptions,
    design: Design,
    rng: Pcg64Mcg,
    queue: EventQueue<Event>,
    start: Instant,
    now: Instant,
    version: u64,
    balancers: Vec<Balancer>,
    pending_changes: Vec<PendingChange>,
    delays: Vec<Duration>,
    store_calls: usize,
    local_checks: usize,
    remote_checks: usize,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        options: &'a DisseminationOptions,
        balancer_count: usize,
        design: Design,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let balancers = (0..balancer_count).map(|index| {
            let jitter = MAX_JITTER.mul_f64(rng.random());
            let options = ConfigReadOptions::default();
            Balancer {
                schedule: ConfigReadSchedule::new(options, address(index), jitter),
                call: None,
                number: 0,
                version: 0,
                failed_until: start,
            }
        });
        let balancers: Vec<_> = balancers.collect();
        let mut simulation = Self {
            options,
            design,
            rng,
            queue: EventQueue::new(),
            start,
            now: start,
            version: 1,
            balancers,
            pending_changes: Vec::new(),
            delays: Vec::new(),
            store_calls: 0,
            local_checks: 0,
            remote_checks: 0,
        };
        for balancer in 0..balancer_count {
            let offset = Duration::from_millis(300).mul_f64(simulation.rng.random());
            simulation.schedule_step(balancer, start + offset);
        }
        simulation.schedule_change(start + START_TIME);
        if let Some(interval) = options.failure_interval {
            simulation
                .queue
                .schedule(start + START_TIME + interval, Event::Failure);
        }
        simulation
    }

    pub(super) fn run(mut self) -> DisseminationFigures {
        let end = self.start + START_TIME + self.options.duration;
        let start = self.start;
        run_simulation(&mut self, start, end);
        let seconds = self.options.duration.as_secs_f64();
        let calls_per_s = ratio(to_f64(self.store_calls), seconds);
        let bytes_per_s = |checks: usize| ratio(to_f64(checks) * CHECK_BYTES, seconds);
        DisseminationFigures {
            design: self.design,
            store_calls_per_s: calls_per_s,
            store_calls_per_balancer_s: ratio(calls_per_s, to_f64(self.balancers.len())),
            local_bytes_per_s: bytes_per_s(self.local_checks),
            remote_bytes_per_s: bytes_per_s(self.remote_checks),
            complete_changes: self.delays.len(),
            known_everywhere_p50_s: percentile_s(&mut self.delays, 0.5),
            known_everywhere_max_s: round_to_4_decimals(
                self.delays.iter().max().map_or(0.0, Duration::as_secs_f64),
            ),
        }
    }

    fn is_counted(&self) -> bool {
        self.now >= self.start + START_TIME
    }

    fn schedule_change(&mut self, after: Instant) {
        let mean = Duration::from_secs_f64(1.0 / self.options.changes_per_s);
        let at = after + exponential(mean, &mut self.rng);
        self.queue.schedule(at, Event::Change);
    }

    fn schedule_step(&mut self, index: usize, at: Instant) {
        let balancer = &mut self.balancers[index];
        balancer.number += 1;
        let number = balancer.number;
        let step = Event::Step {
            balancer: index,
            number,
        };
        self.queue.schedule(at, step);
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let balancer = &mut self.balancers[index];
        let next = match self.design {
            Design::SharedChecks => balancer.schedule.next(now),
            Design::OwnWatch => ConfigRead::Watch {
                wait: OWN_WATCH_WAIT,
            },
        };
        match next {
            ConfigRead::Now => self.start_call(index, Duration::ZERO),
            ConfigRead::Watch { wait } => self.start_call(index, wait),
            ConfigRead::WaitUntil(at) => self.schedule_step(index, at),
        }
    }

    fn start_call(&mut self, index: usize, wait: Duration) {
        self.store_calls += usize::from(self.is_counted());
        let now = self.now;
        self.balancers[index].call = Some(Call {
            started_at: now,
            wait,
        });
        self.schedule_call_end(index);
    }

    /// Schedules the end of a call: at once if the balancer lacks a change, otherwise after the wait.
    fn schedule_call_end(&mut self, index: usize) {
        let (now, version) = (self.now, self.version);
        let balancer = &mut self.balancers[index];
        let Some(call) = balancer.call else { return };
        let end = if balancer.failed_until > now {
            call.started_at + call.wait + CALL_TIMEOUT
        } else if balancer.version < version {
            now.max(call.started_at) + CALL_TIME
        } else {
            call.started_at + call.wait + CALL_TIME
        };
        balancer.number += 1;
        let number = balancer.number;
        self.queue.schedule(
            end.max(now),
            Event::CallEnds {
                balancer: index,
                number,
            },
        );
    }

    fn end_call(&mut self, index: usize) {
        let (now, version) = (self.now, self.version);
        let balancer = &mut self.balancers[index];
        let Some(call) = balancer.call.take() else {
            return;
        };
        if balancer.failed_until > now {
            balancer.schedule.on_failure();
            return self.schedule_step(index, now + RETRY_WAIT);
        }
        let is_changed = balancer.version < version;
        balancer.version = version;
        let checked_at = if is_changed {
            now
        } else {
            call.started_at + call.wait
        };
        let version = Some(Revision::new(version));
        let check = balancer.schedule.on_read(version, checked_at, now);
        if let Some(check) = check.filter(|_| self.design == Design::SharedChecks) {
            self.announce(index, check);
        }
        self.record_known_changes();
        self.schedule_step(index, now);
    }

    /// Sends a check to agents of each failure domain, which relay it to the balancers that they know.
    fn announce(&mut self, sender: usize, check: ConfigCheck) {
        let domains = self.options.failure_domains;
        for domain in 0..domains {
            for _ in 0..RELAYS_PER_DOMAIN {
                let is_local = domain == sender % domains;
                self.count_check(is_local);
                if self.is_lost() {
                    continue;
                }
                let delay = if is_local { LOCAL_DELAY } else { REMOTE_DELAY };
                self.relay(sender, domain, check, delay);
            }
        }
    }

    fn relay(&mut self, sender: usize, domain: usize, check: ConfigCheck, delay: Duration) {
        let receivers = (domain..self.balancers.len()).step_by(self.options.failure_domains);
        for receiver in receivers {
            let is_known = self.rng.random::<f64>() < self.options.known_balancers;
            if receiver == sender || !is_known {
                continue;
            }
            self.count_check(true);
            if !self.is_lost() {
                let arrival = Event::CheckArrives {
                    balancer: receiver,
                    check,
                };
                self.queue.schedule(self.now + delay + LOCAL_DELAY, arrival);
            }
        }
    }

    fn count_check(&mut self, is_local: bool) {
        if self.is_counted() && is_local {
            self.local_checks += 1;
        } else if self.is_counted() {
            self.remote_checks += 1;
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random::<f64>() < self.options.loss
    }

    fn on_check(&mut self, index: usize, check: &ConfigCheck) {
        let now = self.now;
        let balancer = &mut self.balancers[index];
        if balancer.failed_until > now {
            return;
        }
        let is_watching = balancer.call.is_some_and(|call| !call.wait.is_zero());
        balancer.schedule.on_check(check, now);
        if is_watching && balancer.schedule.is_outdated() {
            balancer.call = None;
        }
        if balancer.call.is_none() {
            self.schedule_step(index, now);
        }
    }

    fn change(&mut self) {
        self.version += 1;
        self.pending_changes.push(PendingChange {
            version: self.version,
            changed_at: self.now,
        });
        for index in 0..self.balancers.len() {
            self.schedule_call_end(index);
        }
        self.schedule_change(self.now);
    }

    fn record_known_changes(&mut self) {
        let now = self.now;
        let working = self.balancers.iter().filter(|b| b.failed_until <= now);
        let known = working.map(|b| b.version).min().unwrap_or(0);
        let delays = &mut self.delays;
        self.pending_changes.retain(|change| {
            let is_pending = change.version > known;
            if !is_pending {
                delays.push(now - change.changed_at);
            }
            is_pending
        });
    }

    /// Lets a watching balancer fail for [`FAILURE_TIME`].
    fn fail(&mut self, interval: Duration) {
        let is_watching = |b: &Balancer| b.call.is_some_and(|call| !call.wait.is_zero());
        if let Some(index) = self.balancers.iter().position(is_watching) {
            self.balancers[index].failed_until = self.now + FAILURE_TIME;
            self.schedule_call_end(index);
        }
        self.queue.schedule(self.now + interval, Event::Failure);
    }
}

impl SimulationModel for Simulation<'_> {
    type Event = Event;

    fn event_queue(&mut self) -> &mut EventQueue<Event> {
        &mut self.queue
    }

    fn next_tick(&self, _now: Instant) -> Option<Instant> {
        None
    }

    fn on_tick(&mut self, _now: Instant) {}

    fn on_event(&mut self, event: Event, now: Instant) {
        self.now = now;
        match event {
            Event::Step { balancer, number } if self.balancers[balancer].number == number => {
                self.step(balancer);
            }
            Event::CallEnds { balancer, number } if self.balancers[balancer].number == number => {
                self.end_call(balancer);
            }
            Event::Step { .. } | Event::CallEnds { .. } => {}
            Event::CheckArrives { balancer, check } => self.on_check(balancer, &check),
            Event::Change => self.change(),
            Event::Failure => {
                if let Some(interval) = self.options.failure_interval {
                    self.fail(interval);
                }
            }
        }
    }
}

/// Returns the address of a balancer. Lower indexes have lower addresses.
fn address(index: usize) -> SocketAddrV4 {
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 | index), 7720)
}
