//! The structured log: one JSON object per line on the standard output.
//!
//! A thread writes the lines from a bounded queue. Lines for a full queue are dropped, so that a
//! reader that stops reading never blocks traffic.

use std::time::{Duration, Instant};

use cranberrypitch_core::FailureDomain;
use cranberrypitch_core::flow::{EvacuationVersion, FlowEvent};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// The `tracing` target of all log lines of the daemons.
pub(crate) const TARGET: &str = "cranberrypitch";

/// The capacity of the writer's queue, in lines.
const QUEUE_LINES: usize = 2000;

/// The maximum number of lines per second for routine decisions.
const ROUTINE_LINES_PER_S: u32 = 200;

/// The maximum number of lines per second for refusals and changes. They have a limit of their own,
/// so that routine decisions never suppress them.
const NOTABLE_LINES_PER_S: u32 = 400;

/// Installs the log subscriber. Lines are written until the guard is dropped.
pub(crate) fn init() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer)
        .finish();
    // A subscriber that is already installed stays in place.
    drop(tracing::subscriber::set_global_default(subscriber));
    guard
}

/// A limit on the log lines per second, with a count of the suppressed lines.
#[derive(Clone, Copy, Debug)]
pub struct LineRateLimiter {
    max_lines_per_s: u32,
    window_start: Option<Instant>,
    lines_in_window: u32,
    suppressed_lines: u64,
}

impl LineRateLimiter {
    /// Returns a limiter for this number of lines per second.
    pub const fn new(max_lines_per_s: u32) -> Self {
        Self {
            max_lines_per_s,
            window_start: None,
            lines_in_window: 0,
            suppressed_lines: 0,
        }
    }

    /// Returns whether a line may be written at `now`, and counts it as written or suppressed.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        const SECOND: Duration = Duration::from_secs(1);
        let is_over = |since| now.saturating_duration_since(since) >= SECOND;
        if self.window_start.is_none_or(is_over) {
            self.window_start = Some(now);
            self.lines_in_window = 0;
        }
        let may_write = self.lines_in_window < self.max_lines_per_s;
        if may_write {
            self.lines_in_window += 1;
        } else {
            self.suppressed_lines += 1;
        }
        may_write
    }

    /// Returns the number of lines suppressed since the last call.
    pub const fn take_suppressed(&mut self) -> u64 {
        std::mem::replace(&mut self.suppressed_lines, 0)
    }
}

/// The log of decisions and changes, with one rate limit for routine decisions and one for the rest.
#[derive(Debug)]
pub(crate) struct EventLog {
    routine: LineRateLimiter,
    notable: LineRateLimiter,
}

impl EventLog {
    pub(crate) const fn new() -> Self {
        Self {
            routine: LineRateLimiter::new(ROUTINE_LINES_PER_S),
            notable: LineRateLimiter::new(NOTABLE_LINES_PER_S),
        }
    }

    /// Writes a line for an event, unless the rate limit suppresses it.
    pub(crate) fn record(&mut self, event: &FlowEvent, now: Instant) {
        let limiter = if is_routine(event) {
            &mut self.routine
        } else {
            &mut self.notable
        };
        if limiter.try_acquire(now) {
            write(event);
        }
    }

    /// Writes a line for a [`FlowEvent::RequestPassed`], with the request id if there is one. Other
    /// events are ignored.
    pub(crate) fn record_request(
        &mut self,
        event: &FlowEvent,
        request_id: Option<&str>,
        now: Instant,
    ) {
        if let FlowEvent::RequestPassed {
            flow,
            balancer,
            running_requests,
        } = event
            && self.routine.try_acquire(now)
        {
            tracing::info!(target: TARGET, event = "RequestPassed", request_id, %flow, %balancer, running = running_requests);
        }
    }

    /// Writes the numbers of lines suppressed since the last call, if any, and returns their sum.
    pub(crate) fn summarize(&mut self) -> u64 {
        let (routine, notable) = (
            self.routine.take_suppressed(),
            self.notable.take_suppressed(),
        );
        if routine + notable > 0 {
            tracing::warn!(target: TARGET, event = "LinesLeftOut", routine, notable);
        }
        routine + notable
    }
}

const fn is_routine(event: &FlowEvent) -> bool {
    matches!(
        event,
        FlowEvent::Placed { .. }
            | FlowEvent::Located { .. }
            | FlowEvent::NotHeld { .. }
            | FlowEvent::Dropped { .. }
            | FlowEvent::SynPassed { .. }
            | FlowEvent::WarmupLimited { .. }
            | FlowEvent::RequestPassed { .. }
            | FlowEvent::RequestAnswered { .. }
    )
}

/// Writes a line for an event.
fn write(event: &FlowEvent) {
    match event {
        FlowEvent::Placed {
            flow,
            service,
            agent,
            attempt,
            version,
            load_age,
        } => {
            let load_age_ms = load_age.map(milliseconds);
            tracing::info!(target: TARGET, event = "Placed", %flow, %service, %agent, attempt, %version, load_age_ms);
        }
        FlowEvent::Located {
            flow,
            agent,
            queried_agents,
            elapsed,
        } => {
            let elapsed_ms = milliseconds(*elapsed);
            tracing::info!(target: TARGET, event = "Located", %flow, %agent, asked = queried_agents, elapsed_ms);
        }
        FlowEvent::NotLocated {
            flow,
            queried_agents,
            unresponsive_agents,
            excluding_agents,
            longest_silent,
            elapsed,
        } => {
            let agent = longest_silent.map(|(agent, _)| tracing::field::display(agent));
            let silent_ms = longest_silent.map(|(_, silence)| milliseconds(silence));
            let elapsed_ms = milliseconds(*elapsed);
            tracing::warn!(target: TARGET, event = "NotLocated", %flow, asked = queried_agents, silent = unresponsive_agents, excluding = excluding_agents, agent, silent_ms, elapsed_ms);
        }
        FlowEvent::NotHeld {
            flow,
            ack_number,
            first_seq,
            next_seq,
            view,
        } => {
            tracing::info!(target: TARGET, event = "NotHeld", %flow, ack_number, first_seq, next_seq, %view);
        }
        FlowEvent::Refused { flow, agent, cause } => {
            tracing::info!(target: TARGET, event = "Refused", %flow, %agent, %cause);
        }
        FlowEvent::WarmupLimited {
            flow,
            passed_requests,
            limit,
        } => {
            tracing::info!(target: TARGET, event = "WarmupLimited", %flow, passed = passed_requests, limit);
        }
        FlowEvent::Unanswered { flow, agent } => {
            tracing::warn!(target: TARGET, event = "Unanswered", %flow, %agent);
        }
        FlowEvent::RequestAnswered { flow, elapsed } => {
            let elapsed_ms = milliseconds(*elapsed);
            tracing::info!(target: TARGET, event = "RequestAnswered", %flow, elapsed_ms);
        }
        FlowEvent::RequestTimedOut { flow, waited } => {
            let waited_ms = milliseconds(*waited);
            tracing::info!(target: TARGET, event = "RequestTimedOut", %flow, waited_ms);
        }
        FlowEvent::SynPassed {
            flow,
            balancer,
            service,
            target,
        } => {
            let target_id = target.as_ref().map(|(id, _)| &**id);
            let started_unix_ms = target.as_ref().map(|(_, started)| *started);
            tracing::info!(target: TARGET, event = "SynPassed", %flow, %balancer, %service, target_id, started_unix_ms);
        }
        FlowEvent::Reset {
            flow,
            cause,
            evidence,
            read_after,
        } => {
            let read_after_ms = read_after.map(milliseconds);
            tracing::warn!(target: TARGET, event = "Reset", %flow, %cause, %evidence, read_after_ms);
        }
        FlowEvent::Dropped { flow, cause } => {
            tracing::info!(target: TARGET, event = "Dropped", %flow, %cause);
        }
        other => write_state(other),
    }
}

/// Writes a line for an event of the configuration or of a target.
fn write_state(event: &FlowEvent) {
    match event {
        FlowEvent::ConfigurationInForce {
            version,
            route_count,
        } => {
            tracing::info!(target: TARGET, event = "ConfigurationInForce", %version, routes = route_count);
        }
        FlowEvent::ConfigurationStale { version } => {
            tracing::warn!(target: TARGET, event = "ConfigurationStale", %version);
        }
        FlowEvent::EvacuationInForce {
            failure_domain,
            version,
            agent_count,
        } => write_evacuation(failure_domain, *version, *agent_count),
        FlowEvent::EvacuationEnded {
            failure_domain,
            version,
        } => {
            tracing::info!(target: TARGET, event = "EvacuationEnded", %failure_domain, %version);
        }
        FlowEvent::TargetChanged {
            agent,
            service,
            incarnation,
            state,
        } => {
            tracing::info!(target: TARGET, event = "TargetChanged", %agent, %service, %incarnation, ?state);
        }
        FlowEvent::TargetAbsent { agent } => {
            tracing::info!(target: TARGET, event = "TargetAbsent", %agent);
        }
        FlowEvent::TargetGone { agent } => {
            tracing::warn!(target: TARGET, event = "TargetGone", %agent);
        }
        FlowEvent::TargetEjected {
            agent,
            cause,
            duration,
        } => {
            let duration_ms = milliseconds(*duration);
            tracing::warn!(target: TARGET, event = "TargetEjected", %agent, %cause, duration_ms);
        }
        FlowEvent::TargetReadmitted { agent } => {
            tracing::info!(target: TARGET, event = "TargetReadmitted", %agent);
        }
        FlowEvent::TargetReported {
            id,
            started_unix_ms,
            service,
            is_confirmed,
        } => {
            tracing::info!(target: TARGET, event = "TargetReported", %id, started_unix_ms, %service, is_confirmed);
        }
        FlowEvent::StatusReportIgnored {
            id,
            started_unix_ms,
            sequence,
            cause,
        } => {
            tracing::warn!(target: TARGET, event = "StatusReportIgnored", %id, started_unix_ms, sequence, %cause);
        }
        other => tracing::info!(target: TARGET, event = "Other", detail = ?other),
    }
}

/// Writes a line for an evacuation: a warning if no agent is in the failure domain, as its name may be wrong.
fn write_evacuation(
    failure_domain: &FailureDomain,
    version: EvacuationVersion,
    agent_count: usize,
) {
    if agent_count == 0 {
        tracing::warn!(target: TARGET, event = "EvacuationInForce", %failure_domain, %version, agents = agent_count);
    } else {
        tracing::info!(target: TARGET, event = "EvacuationInForce", %failure_domain, %version, agents = agent_count);
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
