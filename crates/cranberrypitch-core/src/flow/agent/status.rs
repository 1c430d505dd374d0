//! Status reports of the target, and the announcement of its exit.

use std::time::Instant;

use super::FlowAgent;
use super::report_series::{ReportVerdict, is_from_future, is_plausible};
use super::target_process::{Confirmation, StatusReport, TargetProcess};
use crate::flow::cause::{IgnoredReportCause, RefusalCause};
use crate::flow::event::FlowEvent;
use crate::flow::load::LoadMeter;
use crate::flow::message::Action;
use crate::ids::ServiceName;
use crate::target::TargetState;

/// The time between the first and the last report of a process, in report intervals, from which on the process
/// is confirmed.
const MIN_REPORTED_INTERVALS: f64 = 0.5;

impl FlowAgent {
    /// Processes a status report. A report that is late, or that may be of another writer, has no effect
    /// beyond a log line.
    pub fn on_status_report(&mut self, report: StatusReport, now: Instant) -> Vec<Action<'static>> {
        let actions = self.apply_status_report(report, now);
        self.load_meter.set_slots(self.slots(), now);
        actions
    }

    fn apply_status_report(&mut self, report: StatusReport, now: Instant) -> Vec<Action<'static>> {
        match self.report_verdict(&report, now) {
            ReportVerdict::Continues => self.on_next_report(report, now),
            ReportVerdict::FirstReport => self.on_first_report(report, now),
            ReportVerdict::Replaces => self.on_replacement(report, now),
            ReportVerdict::Ignored(cause) => {
                vec![Action::RecordEvent(FlowEvent::StatusReportIgnored {
                    id: report.id,
                    started_unix_ms: report.started_unix_ms,
                    sequence: report.sequence,
                    cause,
                })]
            }
        }
    }

    fn report_verdict(&mut self, report: &StatusReport, now: Instant) -> ReportVerdict {
        if is_from_future(report, self.unix_time_ms(now)) {
            return ReportVerdict::Ignored(IgnoredReportCause::FutureStart);
        }
        let is_plausible = self.is_plausible(report, now);
        let current = self.target.as_ref();
        self.report_series
            .verdict(current, report, is_plausible, &self.options, now)
    }

    /// Returns whether a report agrees with what the agent knows of its target.
    fn is_plausible(&self, report: &StatusReport, now: Instant) -> bool {
        is_plausible(report, &self.identity.service, self.unix_time_ms(now))
    }

    /// Returns the Unix time in milliseconds by the clock of the VM at the start of the agent, which later
    /// steps of that clock do not change.
    fn unix_time_ms(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.started_at);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.identity.started_unix_ms.saturating_add(age_ms)
    }

    /// Processes the next report of the target's process, which confirms that process.
    fn on_next_report(&mut self, report: StatusReport, now: Instant) -> Vec<Action<'static>> {
        let Some(target) = &mut self.target else {
            return Vec::new();
        };
        let is_changed = target.update(report, self.options.status_interval, now);
        // Late reports of one process arrive together.
        let min_time = self.options.status_interval.mul_f64(MIN_REPORTED_INTERVALS);
        if target.reported_for() >= min_time
            && let Some(until) = target.confirm()
        {
            self.on_earlier_process_ended(until, now);
        }
        if is_changed {
            self.report_change(now)
        } else {
            Vec::new()
        }
    }

    /// Processes the first report of a process. Until the next one, flows of the process before it are
    /// kept, unless that one has announced its exit: the target returns packets of flows that it does not
    /// hold.
    fn on_first_report(&mut self, report: StatusReport, now: Instant) -> Vec<Action<'static>> {
        let earlier = self.target.as_ref().filter(|target| !target.is_doubtful());
        let has_exited = earlier.is_some_and(|target| target.state() == TargetState::Gone);
        let earlier_flows_until = earlier
            .map(|earlier| self.earliest_start_of_next_process(earlier, &report.service, now));
        let confirmation = Confirmation::Unconfirmed {
            is_plausible: self.is_plausible(&report, now),
            earlier_flows_until: earlier_flows_until.filter(|_| !has_exited),
        };
        let ended_flows_until = earlier_flows_until.filter(|_| has_exited);
        self.replace_target(report, confirmation, ended_flows_until, now)
    }

    /// Processes the second report of a series that replaces the present one. A single report does not show
    /// that there was a process which has ended.
    fn on_replacement(&mut self, report: StatusReport, now: Instant) -> Vec<Action<'static>> {
        if let Some(target) = &mut self.target
            && target.is_same_process(&report)
        {
            target.resume(report, now);
            if let Some(until) = target.confirm() {
                self.on_earlier_process_ended(until, now);
            }
            return self.report_change(now);
        }
        let confirmed = self.target.as_ref().filter(|target| target.is_confirmed());
        let ended_flows_until = confirmed
            .map(|earlier| self.earliest_start_of_next_process(earlier, &report.service, now));
        self.replace_target(report, Confirmation::Confirmed, ended_flows_until, now)
    }

    /// Takes the process of a report for that of the target. Ends the flows of the process before it that were
    /// opened before `ended_flows_until`, if that process is known to have ended.
    fn replace_target(
        &mut self,
        report: StatusReport,
        confirmation: Confirmation,
        ended_flows_until: Option<Instant>,
        now: Instant,
    ) -> Vec<Action<'static>> {
        if self.target.is_some() {
            self.response_meter.on_restart(now);
        }
        let started_unix_ms = self.identity.started_unix_ms;
        let event = FlowEvent::TargetReported {
            id: report.id.clone(),
            started_unix_ms: report.started_unix_ms,
            service: report.service.clone(),
            is_confirmed: confirmation == Confirmation::Confirmed,
        };
        let target = TargetProcess::new(report, started_unix_ms, confirmation, now);
        self.target = Some(target);
        self.target_presence.is_absent = false;
        if let Some(until) = ended_flows_until {
            self.on_earlier_process_ended(until, now);
        }
        let mut actions = vec![Action::RecordEvent(event)];
        actions.extend(self.pass_all_queued_requests(now));
        actions.extend(self.report_change(now));
        actions
    }

    /// Ends the flows that were opened before `until`, at the process before the present one.
    fn on_earlier_process_ended(&mut self, until: Instant, now: Instant) {
        self.load_meter = LoadMeter::new(self.slots(), now);
        self.flows.orphan(until, &mut self.load_meter, now);
    }

    /// Returns the earliest time from which flows may belong to the process after `earlier`, whose first
    /// report arrives now. The new process accepts flows before that report, and the last report of the
    /// earlier process may have been delayed.
    fn earliest_start_of_next_process(
        &self,
        earlier: &TargetProcess,
        service: &ServiceName,
        now: Instant,
    ) -> Instant {
        if earlier.service() != service {
            return now;
        }
        let max_delay = self.options.status_timeout;
        let reported_at = earlier.reported_at();
        reported_at.checked_sub(max_delay).unwrap_or(reported_at)
    }

    /// Processes the announcement that the target with the given id exits. Nothing waits for it any longer.
    pub fn on_target_exit(&mut self, id: &str, now: Instant) -> Vec<Action<'static>> {
        match &mut self.target {
            Some(target) if target.id() == id => target.mark_exited(now),
            _ => return Vec::new(),
        }
        let mut actions = self.refuse_queued_syns(RefusalCause::Draining);
        actions.extend(self.pass_all_queued_requests(now));
        actions.extend(self.report_change(now));
        actions
    }
}
