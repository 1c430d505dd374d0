//! One run of a target, as its status reports tell it.

use std::time::{Duration, Instant};

use crate::ids::ServiceName;
use crate::target::TargetState;
use crate::units::Slots;

/// The time by which a target that started with its VM may be ahead of its agent. An agent that is
/// killed is back later than this, so no earlier run of it can have opened flows there.
const START_MARGIN_MS: u64 = 250;

/// A status report of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The id of the target.
    pub id: Box<str>,
    /// When the target started, in milliseconds of Unix time; tells runs under one id apart.
    pub started_unix_ms: u64,
    /// The number of the report within the run.
    pub sequence: u64,
    /// The service.
    pub service: ServiceName,
    /// The state.
    pub state: TargetState,
    /// The requests that the target runs at once.
    pub slots: Slots,
    /// How much longer the target is slow after its start.
    pub warmup_left: Duration,
}

/// A run of a target.
#[derive(Clone, Debug)]
pub struct TargetProcess {
    report: StatusReport,
    is_inherited: bool,
    heard_at: Instant,
    gone_at: Option<Instant>,
}

impl TargetProcess {
    /// Returns the run that a first report tells of. `agent_started_unix_ms` is when its agent started,
    /// if that may be later.
    pub(super) fn new(
        report: StatusReport,
        agent_started_unix_ms: Option<u64>,
        now: Instant,
    ) -> Self {
        let latest_start = report.started_unix_ms.saturating_add(START_MARGIN_MS);
        Self {
            is_inherited: agent_started_unix_ms.is_some_and(|started| latest_start < started),
            report,
            heard_at: now,
            gone_at: None,
        }
    }

    pub(super) fn id(&self) -> &str {
        &self.report.id
    }

    pub(super) const fn service(&self) -> &ServiceName {
        &self.report.service
    }

    pub(super) const fn slots(&self) -> Slots {
        self.report.slots
    }

    pub(super) const fn state(&self) -> TargetState {
        if self.gone_at.is_some() {
            TargetState::Gone
        } else {
            self.report.state
        }
    }

    pub(super) fn warmup_left(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.heard_at);
        self.report.warmup_left.saturating_sub(age)
    }

    /// Returns whether the target was there before the agent.
    pub(super) const fn is_inherited(&self) -> bool {
        self.is_inherited
    }

    pub(super) fn heard_within(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) < limit
    }

    pub(super) const fn heard_at(&self) -> Instant {
        self.heard_at
    }

    pub(super) fn is_same_run(&self, report: &StatusReport) -> bool {
        self.report.id == report.id && self.report.started_unix_ms == report.started_unix_ms
    }

    /// Returns whether this run started later than the one of a report.
    pub(super) const fn is_newer(&self, report: &StatusReport) -> bool {
        self.report.started_unix_ms > report.started_unix_ms
    }

    pub(super) fn leave(&mut self, now: Instant) {
        self.gone_at.get_or_insert(now);
    }

    /// Returns whether the target said this long ago that it is gone.
    pub(super) fn is_gone_for(&self, delay: Duration, now: Instant) -> bool {
        self.gone_at
            .is_some_and(|at| now.saturating_duration_since(at) >= delay)
    }

    /// Takes in a report of the same run. Returns whether the state changed.
    pub(super) fn update(&mut self, report: StatusReport, now: Instant) -> bool {
        if report.sequence <= self.report.sequence {
            return false;
        }
        self.heard_at = now;
        // A target that leaves does not come back in the same run.
        let state = match self.report.state {
            TargetState::Draining => TargetState::Draining,
            _ => report.state,
        };
        let is_changed = state != self.report.state || report.slots != self.report.slots;
        self.report = StatusReport { state, ..report };
        is_changed && self.gone_at.is_none()
    }
}
