//! The structured log: one JSON object a line on the standard output.
//!
//! A thread writes the lines from a bounded queue. A full queue drops lines, so a reader that stops
//! reading never holds up traffic.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::FlowEvent;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// The target of all lines of the daemons.
pub(crate) const TARGET: &str = "cranberrypitch";

/// The lines that wait for the writer at most.
const QUEUE_LINES: usize = 2000;

/// Lines a second of routine decisions.
const ROUTINE_LINES_PER_S: u32 = 200;

/// Lines a second of refusals and changes, which are kept before routine decisions.
const NOTABLE_LINES_PER_S: u32 = 400;

/// Sets up the log. The lines are written until the guard is dropped.
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
    // A subscriber that is set already stays.
    drop(tracing::subscriber::set_global_default(subscriber));
    guard
}

/// Limits the lines of one second and counts those left out.
#[derive(Clone, Copy, Debug)]
pub struct LineBudget {
    per_second: u32,
    second: Option<Instant>,
    used: u32,
    left_out: u64,
}

impl LineBudget {
    /// Returns a budget of lines a second.
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            second: None,
            used: 0,
            left_out: 0,
        }
    }

    /// Returns whether a line may be written now.
    pub fn take(&mut self, now: Instant) -> bool {
        const SECOND: Duration = Duration::from_secs(1);
        let is_over = |since| now.saturating_duration_since(since) >= SECOND;
        if self.second.is_none_or(is_over) {
            self.second = Some(now);
            self.used = 0;
        }
        let may_write = self.used < self.per_second;
        if may_write {
            self.used += 1;
        } else {
            self.left_out += 1;
        }
        may_write
    }

    /// Returns the lines left out since the last call.
    pub const fn take_left_out(&mut self) -> u64 {
        std::mem::replace(&mut self.left_out, 0)
    }
}

/// Writes decisions within their budgets.
#[derive(Debug)]
pub(crate) struct EventLog {
    routine: LineBudget,
    notable: LineBudget,
}

impl EventLog {
    pub(crate) const fn new() -> Self {
        Self {
            routine: LineBudget::new(ROUTINE_LINES_PER_S),
            notable: LineBudget::new(NOTABLE_LINES_PER_S),
        }
    }

    /// Writes a decision, or counts it as left out.
    pub(crate) fn record(&mut self, event: &FlowEvent, now: Instant) {
        let budget = if is_routine(event) {
            &mut self.routine
        } else {
            &mut self.notable
        };
        if budget.take(now) {
            write(event);
        }
    }

    /// Writes that a request was passed to the target, with its id where it can be read.
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
            && self.routine.take(now)
        {
            tracing::info!(target: TARGET, event = "RequestPassed", request_id, %flow, %balancer, running = running_requests);
        }
    }

    /// Writes how many lines were left out, if any, and returns the number.
    pub(crate) fn summarize(&mut self) -> u64 {
        let (routine, notable) = (self.routine.take_left_out(), self.notable.take_left_out());
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
            | FlowEvent::Dropped { .. }
            | FlowEvent::RequestPassed { .. }
            | FlowEvent::RequestAnswered { .. }
    )
}

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
            let load_age_ms =
                load_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
            tracing::info!(target: TARGET, event = "Placed", %flow, %service, %agent, attempt, %version, load_age_ms);
        }
        FlowEvent::Located {
            flow,
            agent,
            queried_agents,
            elapsed,
        } => {
            let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            tracing::info!(target: TARGET, event = "Located", %flow, %agent, asked = queried_agents, elapsed_ms);
        }
        FlowEvent::NotLocated {
            flow,
            queried_agents,
            unresponsive_agents,
        } => {
            tracing::warn!(target: TARGET, event = "NotLocated", %flow, asked = queried_agents, silent = unresponsive_agents);
        }
        FlowEvent::Refused { flow, agent, cause } => {
            tracing::info!(target: TARGET, event = "Refused", %flow, %agent, %cause);
        }
        FlowEvent::Unanswered { flow, agent } => {
            tracing::warn!(target: TARGET, event = "Unanswered", %flow, %agent);
        }
        FlowEvent::RequestAnswered { flow, elapsed } => {
            let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            tracing::info!(target: TARGET, event = "RequestAnswered", %flow, elapsed_ms);
        }
        FlowEvent::Reset { flow, cause } => {
            tracing::warn!(target: TARGET, event = "Reset", %flow, %cause);
        }
        FlowEvent::Dropped { flow, cause } => {
            tracing::info!(target: TARGET, event = "Dropped", %flow, %cause);
        }
        FlowEvent::ConfigurationInForce {
            version,
            route_count,
        } => {
            tracing::info!(target: TARGET, event = "ConfigurationInForce", %version, routes = route_count);
        }
        FlowEvent::ConfigurationStale { version } => {
            tracing::warn!(target: TARGET, event = "ConfigurationStale", %version);
        }
        FlowEvent::TargetChanged {
            agent,
            service,
            incarnation,
            state,
        } => {
            tracing::info!(target: TARGET, event = "TargetChanged", %agent, %service, %incarnation, ?state);
        }
        FlowEvent::TargetGone { agent } => {
            tracing::warn!(target: TARGET, event = "TargetGone", %agent);
        }
        other => tracing::info!(target: TARGET, event = "Other", detail = ?other),
    }
}
