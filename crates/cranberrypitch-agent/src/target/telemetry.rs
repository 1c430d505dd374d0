//! The log events and metrics of the target actor.

use std::time::{Duration, Instant};

use cranberrypitch_core::TargetLoad;
use cranberrypitch_core::health::EndpointMismatches;
use cranberrypitch_core::{
    FastMap, Incarnation, NotRunReason, OrganisationId, Outcome, RequestClass, Reservation,
};
use cranberrypitch_net::Event;
use cranberrypitch_net::events::{DropReason, RateLimit};
use cranberrypitch_net::metrics::{
    Counter, Gauge, Metrics, RequestTimesLog, RequestTimesSnapshot, Sampler,
};

use crate::socket::DropCounters;

/// The minimum interval of log lines that callers can cause.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The minimum interval of log lines about a wrong health endpoint.
const MISMATCH_LOG_INTERVAL: Duration = Duration::from_mins(1);

/// The interval of log lines with the times of requests.
const TIMES_INTERVAL: Duration = Duration::from_mins(1);

/// The maximum number of organisations with separate times, which limits the memory and the length
/// of the log line.
const MAX_ORGANISATIONS: usize = 128;

/// The labels by which requests are logged and counted.
#[derive(Clone, Debug)]
pub(super) struct RequestLabels {
    pub(super) organisation: OrganisationId,
    pub(super) class: RequestClass,
}

/// The rate limits of log lines about refusals for one reason.
#[derive(Debug)]
struct RefusalLog {
    limit: RateLimit,
    order_limit: RateLimit,
    last_organisation: Option<OrganisationId>,
}

/// A rate-limited log line about orders, with the ticket of the last order.
#[derive(Debug)]
struct OrderLog {
    limit: RateLimit,
    last_ticket: (Incarnation, u64),
}

impl OrderLog {
    const fn new() -> Self {
        Self {
            limit: RateLimit::new(LOG_INTERVAL),
            last_ticket: (Incarnation::new(0), 0),
        }
    }
}

/// The numbers of requests by outcome.
#[derive(Debug, Default)]
struct Totals {
    done: u64,
    not_run: u64,
    redirected: u64,
    failed: u64,
    unknown: u64,
}

/// Writes the log events and metrics of one target.
#[derive(Debug)]
pub(super) struct Telemetry {
    sampler: Sampler,
    times: RequestTimesLog,
    totals: Totals,
    refusals: FastMap<NotRunReason, RefusalLog>,
    unknown_outcomes: OrderLog,
    repeated_orders: OrderLog,
    logged_mismatches: EndpointMismatches,
    false_ok_limit: RateLimit,
    false_failing_limit: RateLimit,
}

impl Telemetry {
    pub(super) fn new(metrics: Metrics, now: Instant) -> Self {
        Self {
            times: RequestTimesLog::new(metrics.clone(), MAX_ORGANISATIONS, TIMES_INTERVAL, now),
            sampler: Sampler::new(metrics),
            totals: Totals::default(),
            refusals: FastMap::default(),
            unknown_outcomes: OrderLog::new(),
            repeated_orders: OrderLog::new(),
            logged_mismatches: EndpointMismatches::default(),
            false_ok_limit: RateLimit::new(MISMATCH_LOG_INTERVAL),
            false_failing_limit: RateLimit::new(MISMATCH_LOG_INTERVAL),
        }
    }

    /// Records the start of a request.
    pub(super) fn record_start(&mut self, labels: &RequestLabels, wait: Duration) {
        self.times
            .record_wait(&labels.organisation, labels.class, wait);
    }

    /// Records the end of a request, with its service time if it was started.
    pub(super) fn record_end(
        &mut self,
        labels: &RequestLabels,
        outcome: &Outcome,
        service_time: Option<Duration>,
        now: Instant,
    ) {
        if let Some(service_time) = service_time {
            self.times
                .record_service(&labels.organisation, labels.class, service_time);
        }
        match outcome {
            Outcome::Done => self.totals.done += 1,
            Outcome::Failed => self.totals.failed += 1,
            Outcome::Redirect(reservation) => self.record_redirect(reservation),
            Outcome::NotRun(reason) => self.record_refusal(*reason, Some(labels), now),
            Outcome::Unknown => self.totals.unknown += 1,
            _ => {}
        }
    }

    fn record_redirect(&mut self, reservation: &Reservation) {
        self.totals.redirected += 1;
        Event::RequestRedirected {
            peer: reservation.agent,
            serial: reservation.serial,
        }
        .log();
    }

    /// Records a request or connection that was refused.
    pub(super) fn record_refusal(
        &mut self,
        reason: NotRunReason,
        labels: Option<&RequestLabels>,
        now: Instant,
    ) {
        self.totals.not_run += 1;
        let refusal_log = self.refusals.entry(reason).or_insert_with(|| RefusalLog {
            limit: RateLimit::new(LOG_INTERVAL),
            order_limit: RateLimit::new(LOG_INTERVAL),
            last_organisation: None,
        });
        match labels.filter(|labels| labels.class == RequestClass::Order) {
            Some(labels) => {
                refusal_log.last_organisation = Some(labels.organisation.clone());
                let count = refusal_log.order_limit.count(now);
                log_orders_refused(count, reason, &labels.organisation);
            }
            None => log_refused(refusal_log.limit.count(now), reason),
        }
    }

    /// Records an order whose outcome was reported as unknown.
    pub(super) fn record_unknown_outcome(
        &mut self,
        incarnation: Incarnation,
        serial: u64,
        now: Instant,
    ) {
        self.unknown_outcomes.last_ticket = (incarnation, serial);
        let count = self.unknown_outcomes.limit.count(now);
        log_unknown(count, self.unknown_outcomes.last_ticket);
    }

    /// Records a repeated order, which received the stored response.
    pub(super) fn record_repeated_order(
        &mut self,
        incarnation: Incarnation,
        serial: u64,
        now: Instant,
    ) {
        self.repeated_orders.last_ticket = (incarnation, serial);
        let count = self.repeated_orders.limit.count(now);
        log_repeated(count, self.repeated_orders.last_ticket);
    }

    /// Logs that request outcomes contradict the health endpoint. `total` counts since the start.
    pub(super) fn record_overruled_probes(&mut self, total: EndpointMismatches, now: Instant) {
        let logged = std::mem::replace(&mut self.logged_mismatches, total);
        let false_ok = total.health_false_ok - logged.health_false_ok;
        let false_failing = total.health_false_failing - logged.health_false_failing;
        let details = [
            (
                self.false_ok_limit.add(false_ok, now),
                "it reports a working backend server, but requests fail",
            ),
            (
                self.false_failing_limit.add(false_failing, now),
                "it reports a failing backend server, but requests succeed",
            ),
        ];
        for (count, detail) in details {
            if let Some(count) = count {
                Event::EndpointOverruled { count, detail }.log();
            }
        }
    }

    /// Samples the metrics, and writes the log lines that are due. Called once per second.
    pub(super) fn sample(&mut self, load: &TargetLoad, socket: &DropCounters, now: Instant) {
        let totals = [
            (Counter::RequestsDone, self.totals.done),
            (Counter::RequestsNotRun, self.totals.not_run),
            (Counter::RequestsRedirected, self.totals.redirected),
            (Counter::RequestsFailed, self.totals.failed),
            (Counter::RequestsUnknown, self.totals.unknown),
        ];
        for (counter, total) in totals {
            self.sampler.count(counter, total);
        }
        let gauges = [
            (Gauge::RequestsRunning, load.running),
            (Gauge::RequestsWaiting, load.waiting),
            (Gauge::Connections, load.connections),
        ];
        for (gauge, value) in gauges {
            self.sampler.metrics().gauge(gauge, u64::from(value));
        }
        let dropped = [
            (DropReason::InvalidTunnel, socket.invalid()),
            (DropReason::Misdirected, socket.misdirected()),
            (DropReason::NoBalancer, socket.no_balancer()),
            (DropReason::QueueFull, socket.queue_full()),
        ];
        for event in self.sampler.count_dropped(dropped, now) {
            event.log();
        }
        self.log_suppressed(now);
        if let Some(event) = self.times.due(now) {
            event.log();
        }
    }

    /// Returns the queueing and service times of requests since they were last logged.
    pub(super) fn request_times(&self) -> RequestTimesSnapshot {
        self.times.snapshot()
    }

    /// Writes the log lines that a rate limit has delayed.
    fn log_suppressed(&mut self, now: Instant) {
        for (reason, refusal_log) in &mut self.refusals {
            log_refused(refusal_log.limit.take(now), *reason);
            if let Some(organisation) = &refusal_log.last_organisation {
                log_orders_refused(refusal_log.order_limit.take(now), *reason, organisation);
            }
        }
        log_unknown(
            self.unknown_outcomes.limit.take(now),
            self.unknown_outcomes.last_ticket,
        );
        log_repeated(
            self.repeated_orders.limit.take(now),
            self.repeated_orders.last_ticket,
        );
    }
}

fn log_refused(count: Option<u64>, reason: NotRunReason) {
    if let Some(count) = count {
        Event::RequestsRefused { count, reason }.log();
    }
}

fn log_orders_refused(count: Option<u64>, reason: NotRunReason, organisation: &OrganisationId) {
    if let Some(count) = count {
        let organisation = organisation.clone();
        Event::OrderRefused {
            count,
            reason,
            organisation,
        }
        .log();
    }
}

fn log_unknown(count: Option<u64>, (incarnation, serial): (Incarnation, u64)) {
    if let Some(count) = count {
        Event::OrderUnknown {
            count,
            incarnation,
            serial,
        }
        .log();
    }
}

fn log_repeated(count: Option<u64>, (_, serial): (Incarnation, u64)) {
    if let Some(count) = count {
        Event::OrderRepeated { count, serial }.log();
    }
}
