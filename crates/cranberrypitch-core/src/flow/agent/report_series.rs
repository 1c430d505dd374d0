//! Which process of the target the status reports describe.
//!
//! A report may be late, or come from another writer with any id, start time and sequence number. A process
//! sends reports at a steady interval, so a report that does not continue the current series takes effect
//! only once the current series has ended and the other one goes on.

use std::time::{Duration, Instant};

use super::options::FlowAgentOptions;
use super::target_process::{START_MARGIN_MS, StatusReport, TargetProcess};
use crate::flow::cause::IgnoredReportCause;
use crate::ids::ServiceName;
use crate::target::TargetState;

/// The time by which the start of a target may be ahead of the agent's clock. Clocks of VMs differ and jump
/// by seconds.
const MAX_CLOCK_ERROR: Duration = Duration::from_mins(1);

/// The number of sequence numbers by which a report may always be ahead of the last one.
const MIN_SEQUENCE_JUMP: u64 = 16;

/// The shortest interval of status reports, which bounds the number of reports that may have been lost.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// The number of report intervals without a report after which a series has ended.
const SILENT_INTERVALS: f64 = 1.5;

/// How to process a status report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportVerdict {
    /// The report continues the current series.
    Continues,
    /// The report is the first one of a process, while none is known or the present one is silent or gone.
    /// It describes the target from now on, but may be of another writer.
    FirstReport,
    /// The report is the second one of a series that describes the target from now on.
    Replaces,
    /// The report has no effect.
    Ignored(IgnoredReportCause),
}

/// Another series of reports, which may replace the current one.
#[derive(Debug)]
struct CandidateSeries {
    last: StatusReport,
    last_at: Instant,
    /// Whether it started later than the present process.
    is_successor: bool,
}

/// Tells the reports of the target's process from late ones and those of other writers.
#[derive(Debug, Default)]
pub(super) struct ReportSeries {
    candidate: Option<CandidateSeries>,
}

impl ReportSeries {
    /// Returns how to process a report, which agrees with what the agent knows of its target if `is_plausible`.
    pub(super) fn verdict(
        &mut self,
        current: Option<&TargetProcess>,
        report: &StatusReport,
        is_plausible: bool,
        options: &FlowAgentOptions,
        now: Instant,
    ) -> ReportVerdict {
        let Some(current) = current else {
            return ReportVerdict::FirstReport;
        };
        if current.is_doubtful() && is_plausible {
            return ReportVerdict::FirstReport;
        }
        if is_continuation(current.report(), report, current.reported_at(), now) {
            self.candidate = None;
            return ReportVerdict::Continues;
        }
        let silence = now.saturating_duration_since(current.reported_at());
        let is_over = current.state() == TargetState::Gone || silence >= options.status_timeout;
        let is_successor = !current.is_same_process(report) && !current.is_newer(report);
        let has_paused = silence >= options.status_interval.mul_f64(SILENT_INTERVALS);
        if has_paused && self.is_continued_by(report, now) {
            self.candidate = None;
            return ReportVerdict::Replaces;
        }
        if is_successor && is_over {
            self.candidate = None;
            return ReportVerdict::FirstReport;
        }
        self.candidate = Some(CandidateSeries {
            last: report.clone(),
            last_at: now,
            is_successor,
        });
        ReportVerdict::Ignored(if is_successor {
            IgnoredReportCause::Unconfirmed
        } else {
            IgnoredReportCause::OutOfOrder
        })
    }

    /// Returns whether an unconfirmed report says that the target serves another service. New flows are
    /// refused then, as the address may have been reused, until the present process reports again.
    pub(super) fn may_serve_other(&self, service: &ServiceName) -> bool {
        let candidate = self.candidate.as_ref();
        candidate
            .is_some_and(|candidate| candidate.is_successor && candidate.last.service != *service)
    }

    /// Returns whether a report continues the candidate series.
    fn is_continued_by(&self, report: &StatusReport, now: Instant) -> bool {
        self.candidate.as_ref().is_some_and(|candidate| {
            is_continuation(&candidate.last, report, candidate.last_at, now)
        })
    }
}

/// Returns whether a report agrees with what an agent knows of its target: the service in its settings, and
/// how many reports a process sends between its start and now.
pub(super) fn is_plausible(
    report: &StatusReport,
    service: &ServiceName,
    unix_time_ms: u64,
) -> bool {
    let latest_time_ms = unix_time_ms.saturating_add(START_MARGIN_MS);
    latest_time_ms
        .checked_sub(report.started_unix_ms)
        .is_some_and(|age_ms| {
            let max_sequence = max_sequence_jump(Duration::from_millis(age_ms));
            report.service == *service && report.sequence <= max_sequence
        })
}

/// Returns the maximum number of reports that a process sends in a time, with a margin.
fn max_sequence_jump(elapsed: Duration) -> u64 {
    let reports = elapsed.as_millis() / MIN_REPORT_INTERVAL.as_millis();
    u64::try_from(reports)
        .unwrap_or(u64::MAX)
        .saturating_add(MIN_SEQUENCE_JUMP)
}

/// Returns whether the process of a report would have started in the future. `unix_time_ms` is the time by the
/// clock of the agent's VM.
pub(super) fn is_from_future(report: &StatusReport, unix_time_ms: u64) -> bool {
    let max_error_ms = u64::try_from(MAX_CLOCK_ERROR.as_millis()).unwrap_or(u64::MAX);
    report.started_unix_ms > unix_time_ms.saturating_add(max_error_ms)
}

/// Returns whether a report that arrives now continues a series whose last report arrived at `last_at`.
fn is_continuation(
    last: &StatusReport,
    report: &StatusReport,
    last_at: Instant,
    now: Instant,
) -> bool {
    let elapsed = now.saturating_duration_since(last_at);
    let max_jump = max_sequence_jump(elapsed);
    let jump = report.sequence.checked_sub(last.sequence);
    last.is_same_process(report) && jump.is_some_and(|jump| (1..=max_jump).contains(&jump))
}
