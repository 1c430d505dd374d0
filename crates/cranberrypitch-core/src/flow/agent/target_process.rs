//! A process of a target, as described by its status reports.

use std::time::{Duration, Instant};

use crate::ids::ServiceName;
use crate::target::TargetState;
use crate::units::Slots;

/// The maximum time by which a target that starts together with its VM is ahead of its agent. A killed
/// agent takes longer to restart, so within this time no earlier incarnation of the agent can have
/// opened flows at the target.
pub(super) const START_MARGIN_MS: u64 = 250;

/// A status report of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The id of the target, which may stay the same across restarts.
    pub id: Box<str>,
    /// The start of the target's process in milliseconds of Unix time; it distinguishes processes with
    /// the same id.
    pub started_unix_ms: u64,
    /// The sequence number of the report within the process; reports that are not newer are ignored.
    pub sequence: u64,
    /// The service that the target serves.
    pub service: ServiceName,
    /// The state of the target.
    pub state: TargetState,
    /// The number of requests that the target runs concurrently.
    pub slots: Slots,
    /// The remaining time for which the target is slow after its start.
    pub warmup_left: Duration,
}

impl StatusReport {
    /// Returns whether both reports are of one process, which never changes its service.
    pub(super) fn is_same_process(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_unix_ms == other.started_unix_ms
            && self.service == other.service
    }
}

/// The process of a target from its first status report to its exit.
#[derive(Clone, Debug)]
pub struct TargetProcess {
    report: StatusReport,
    is_draining: bool,
    is_older_than_agent: bool,
    confirmation: Confirmation,
    first_reported_at: Instant,
    reported_at: Instant,
    /// The time at which the target announced its exit.
    exited_at: Option<Instant>,
}

/// Whether more than one report shows that the process is that of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// Several reports of it arrived at their interval.
    Confirmed,
    /// A single report arrived, which may be of another writer.
    Unconfirmed {
        /// Whether the report agrees with what the agent knows of its target.
        is_plausible: bool,
        /// The time up to which flows belong to the process before it. None if there was none, or if that
        /// process is known to have ended.
        earlier_flows_until: Option<Instant>,
    },
}

impl TargetProcess {
    /// Returns the process that a report describes. `agent_started_unix_ms` is the start of the agent.
    pub(super) fn new(
        report: StatusReport,
        agent_started_unix_ms: u64,
        confirmation: Confirmation,
        now: Instant,
    ) -> Self {
        let latest_start = report.started_unix_ms.saturating_add(START_MARGIN_MS);
        Self {
            is_older_than_agent: latest_start < agent_started_unix_ms,
            confirmation,
            is_draining: report.state == TargetState::Draining,
            report,
            first_reported_at: now,
            reported_at: now,
            exited_at: None,
        }
    }

    /// Returns the last report.
    pub(super) const fn report(&self) -> &StatusReport {
        &self.report
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
        if self.exited_at.is_some() {
            TargetState::Gone
        } else if self.is_draining {
            TargetState::Draining
        } else {
            self.report.state
        }
    }

    pub(super) fn warmup_left(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.reported_at);
        self.report.warmup_left.saturating_sub(age)
    }

    /// Returns whether the target may have been running before the agent, so that it may hold unknown
    /// flows.
    pub(super) const fn may_be_older_than_agent(&self) -> bool {
        self.is_older_than_agent || self.is_doubtful()
    }

    /// Returns whether the only report of the process disagrees with what the agent knows of its target.
    pub(super) const fn is_doubtful(&self) -> bool {
        matches!(
            self.confirmation,
            Confirmation::Unconfirmed {
                is_plausible: false,
                ..
            }
        )
    }

    /// Returns whether more than a single report shows the process.
    pub(super) const fn is_confirmed(&self) -> bool {
        matches!(self.confirmation, Confirmation::Confirmed)
    }

    /// Records that a second report confirmed the process. Returns the time up to which flows belong to the
    /// process before it, if that one has ended by this.
    pub(super) const fn confirm(&mut self) -> Option<Instant> {
        let earlier_flows_until = match self.confirmation {
            Confirmation::Confirmed => None,
            Confirmation::Unconfirmed {
                earlier_flows_until,
                ..
            } => earlier_flows_until,
        };
        self.confirmation = Confirmation::Confirmed;
        earlier_flows_until
    }

    pub(super) fn has_reported_within(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.reported_at) < limit
    }

    pub(super) const fn reported_at(&self) -> Instant {
        self.reported_at
    }

    /// Returns the time between the first and the last report of the process. It is short if late reports
    /// arrived together.
    pub(super) fn reported_for(&self) -> Duration {
        self.reported_at
            .saturating_duration_since(self.first_reported_at)
    }

    pub(super) fn is_same_process(&self, report: &StatusReport) -> bool {
        self.report.is_same_process(report)
    }

    /// Returns whether this process started later than the one of a report.
    pub(super) const fn is_newer(&self, report: &StatusReport) -> bool {
        self.report.started_unix_ms > report.started_unix_ms
    }

    /// Returns to the series of reports of the process that goes on, after a report of another writer with
    /// its id and start time.
    pub(super) fn resume(&mut self, report: StatusReport, now: Instant) {
        self.is_draining = report.state == TargetState::Draining;
        self.report = report;
        self.reported_at = now;
        self.exited_at = None;
    }

    pub(super) fn mark_exited(&mut self, now: Instant) {
        self.exited_at.get_or_insert(now);
    }

    /// Returns whether the target announced its exit at least `delay` ago.
    pub(super) fn has_exited_for(&self, delay: Duration, now: Instant) -> bool {
        self.exited_at
            .is_some_and(|at| now.saturating_duration_since(at) >= delay)
    }

    /// Applies the next report of the process, which arrives now. `interval` is the time between two reports.
    /// Returns whether the state or the slots changed.
    pub(super) fn update(
        &mut self,
        report: StatusReport,
        interval: Duration,
        now: Instant,
    ) -> bool {
        let earlier = (self.state(), self.slots());
        // One report may be of another writer, so a drain ends with the second one that does not name it.
        self.is_draining = report.state == TargetState::Draining
            || self.is_draining && self.report.state == TargetState::Draining;
        // A target sends no reports after its exit. The announcement was late, of an earlier process.
        if self.has_exited_for(interval, now) {
            self.exited_at = None;
        }
        self.report = report;
        self.reported_at = now;
        (self.state(), self.slots()) != earlier
    }
}
