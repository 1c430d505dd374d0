//! The targets that a balancer has learned of from the reports of their agents.
//!
//! A target becomes silent when its reports are overdue and it has left a packet on the traffic path
//! unanswered: packet loss on the control path alone removes no target. When most targets of a
//! service are silent at the same time, the fault is more likely on the network path of the
//! balancer. The service then enters self-preservation: its last known targets stay candidates.

mod change;
mod evacuation;
pub mod subset;

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::ids::{Incarnation, Revision, ServiceName, ServiceTag, VmId};
pub use crate::membership::change::TargetChange;
pub use crate::membership::evacuation::{EvacuatedDomains, EvacuationVersion, Evacuations};
use crate::target::{Announcement, TargetLoad, TargetState};

/// The settings of a [`Membership`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// The longest time between two reports of a healthy agent.
    pub report_interval: Duration,
    /// The number of consecutive reports that must be missing before a target can become silent.
    pub missed_reports: u32,
    /// How long a silent target must have reported again before it becomes a candidate again.
    pub rejoin_after: Duration,
    /// How long at least half of the targets must be other than silent before self-preservation
    /// ends.
    pub preservation_end_after: Duration,
    /// How long a target is kept after its last report.
    pub forget_after: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_secs(1),
            missed_reports: 3,
            rejoin_after: Duration::from_secs(1),
            preservation_end_after: Duration::from_secs(5),
            forget_after: Duration::from_mins(1),
        }
    }
}

impl MembershipOptions {
    fn overdue_after(&self) -> Duration {
        self.report_interval * self.missed_reports
    }
}

/// A report as a balancer receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// The address at which the agent receives tunnel datagrams.
    pub address: SocketAddrV4,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the report within the incarnation.
    pub sequence: u64,
    /// The state of the target.
    pub state: TargetState,
    /// The configuration in force at the agent.
    pub revision: Revision,
    /// The load at the time of the report.
    pub load: TargetLoad,
    /// The announcement, if the report contains one.
    pub announcement: Option<Announcement>,
}

/// The result of [`Membership::on_report`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportResult {
    /// The report is the newest one of its agent.
    Accepted {
        /// Whether the agent's announcement has been received; the acknowledgement states this, so
        /// that the agent can stop sending it.
        is_announced: bool,
    },
    /// A newer report or a newer incarnation has been received before.
    Stale,
}

/// A target whose announcement has been received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The address at which the agent receives tunnel datagrams.
    pub address: SocketAddrV4,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the last report.
    pub sequence: u64,
    /// The state of the target.
    pub state: TargetState,
    /// The configuration in force at the agent.
    pub revision: Revision,
    /// The load in the last report.
    pub load: TargetLoad,
    /// The arrival time of the last report.
    pub reported_at: Instant,
    /// The tag of the announced service.
    pub service: ServiceTag,
    /// The properties that are constant during the incarnation.
    pub announcement: Announcement,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    Alive,
    Silent,
    Rejoining { since: Instant },
}

#[derive(Clone, Debug)]
struct Entry {
    incarnation: Incarnation,
    sequence: Option<u64>,
    is_gone: bool,
    is_restart: bool,
    reported_at: Instant,
    is_unanswered: bool,
    liveness: Liveness,
    target: Option<Target>,
}

impl Entry {
    fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            sequence: None,
            is_gone: false,
            is_restart: false,
            reported_at: now,
            is_unanswered: false,
            liveness: Liveness::Alive,
            target: None,
        }
    }

    fn is_stale(&self, report: &TargetReport) -> bool {
        report.incarnation < self.incarnation
            || self.is_gone
            || Some(report.sequence) <= self.sequence
    }

    fn service(&self) -> Option<ServiceTag> {
        self.target.as_ref().map(|target| target.service)
    }

    fn is_alive(&self) -> bool {
        self.liveness == Liveness::Alive
    }

    fn accept(&mut self, report: TargetReport, now: Instant) -> Option<TargetChange> {
        self.sequence = Some(report.sequence);
        self.reported_at = now;
        self.is_unanswered = false;
        let was_silent = self.liveness == Liveness::Silent;
        if was_silent {
            self.liveness = Liveness::Rejoining { since: now };
        }
        self.is_gone = report.state == TargetState::Gone;
        let previous = self.target.take();
        let was_announced = previous.is_some();
        let (service, announcement) = match (report.announcement, previous) {
            (Some(announcement), _) => (ServiceTag::of(&announcement.service), announcement),
            (None, Some(previous)) => (previous.service, previous.announcement),
            (None, None) => return None,
        };
        let (vm, name) = (announcement.vm.clone(), announcement.service.clone());
        if self.is_gone {
            return was_announced.then_some(TargetChange::Left { vm, service: name });
        }
        let change = if was_announced {
            was_silent.then_some(TargetChange::Recovered { vm, service: name })
        } else {
            Some(self.announcement_change(vm, name, report.address))
        };
        self.target = Some(Target {
            address: report.address,
            incarnation: report.incarnation,
            sequence: report.sequence,
            state: report.state,
            revision: report.revision,
            load: report.load,
            reported_at: now,
            service,
            announcement,
        });
        change
    }

    fn announcement_change(
        &self,
        vm: VmId,
        service: ServiceName,
        address: SocketAddrV4,
    ) -> TargetChange {
        let incarnation = self.incarnation;
        if self.is_restart {
            return TargetChange::Restarted {
                vm,
                service,
                incarnation,
            };
        }
        TargetChange::Joined {
            vm,
            service,
            address,
            incarnation,
        }
    }

    /// Updates the liveness, and returns a change if the target has become silent.
    fn update_liveness(
        &mut self,
        options: &MembershipOptions,
        now: Instant,
    ) -> Option<TargetChange> {
        let was_silent = self.liveness == Liveness::Silent;
        let silence = now.saturating_duration_since(self.reported_at);
        let is_overdue = silence >= options.overdue_after();
        self.liveness = match self.liveness {
            Liveness::Alive if is_overdue && self.is_unanswered => Liveness::Silent,
            Liveness::Rejoining { .. } if is_overdue => Liveness::Silent,
            Liveness::Rejoining { since }
                if now.saturating_duration_since(since) >= options.rejoin_after =>
            {
                Liveness::Alive
            }
            unchanged => unchanged,
        };
        if was_silent || self.liveness != Liveness::Silent {
            return None;
        }
        let announcement = &self.target.as_ref()?.announcement;
        Some(TargetChange::Silent {
            vm: announcement.vm.clone(),
            service: announcement.service.clone(),
            silent_for: silence,
        })
    }
}

/// Whether a service is in self-preservation, and since when fewer of its targets are silent.
#[derive(Clone, Copy, Debug, Default)]
struct Preservation {
    is_active: bool,
    recovered_since: Option<Instant>,
}

/// The targets that have reported to a balancer, with their liveness.
#[derive(Debug, Default)]
pub struct Membership {
    options: MembershipOptions,
    entries: FastMap<SocketAddrV4, Entry>,
    // The targets of each service in the order of their addresses. It avoids a scan of all targets
    // for each report.
    by_service: FastMap<ServiceTag, Vec<SocketAddrV4>>,
    preservations: FastMap<ServiceTag, Preservation>,
    changes: Vec<TargetChange>,
}

impl Membership {
    /// Returns a membership without targets.
    pub fn new(options: MembershipOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Handles a report.
    ///
    /// A higher incarnation at the same address replaces the previous one, and an announcement of
    /// another service moves the target to that service.
    pub fn on_report(&mut self, report: TargetReport, now: Instant) -> ReportResult {
        let entry = self
            .entries
            .entry(report.address)
            .or_insert_with(|| Entry::new(report.incarnation, now));
        let before = entry.service();
        if entry.incarnation < report.incarnation {
            *entry = Entry::new(report.incarnation, now);
            entry.is_restart = true;
        }
        if entry.is_stale(&report) {
            return ReportResult::Stale;
        }
        let address = report.address;
        let change = entry.accept(report, now);
        let is_announced = entry.target.is_some() || entry.is_gone;
        let service = entry.service();
        self.changes.extend(change);
        if service != before {
            self.move_target(address, before, service);
        }
        ReportResult::Accepted { is_announced }
    }

    /// Moves a target from the list of one service to that of another one.
    fn move_target(
        &mut self,
        address: SocketAddrV4,
        from: Option<ServiceTag>,
        to: Option<ServiceTag>,
    ) {
        if let Some(service) = from
            && let Some(targets) = self.by_service.get_mut(&service)
        {
            targets.retain(|listed| *listed != address);
            if targets.is_empty() {
                self.by_service.remove(&service);
            }
        }
        if let Some(service) = to {
            let targets = self.by_service.entry(service).or_default();
            if let Err(index) = targets.binary_search(&address) {
                targets.insert(index, address);
            }
        }
    }

    /// Records that a target has left a packet on the traffic path unanswered.
    pub fn on_unanswered_packet(&mut self, address: SocketAddrV4) {
        if let Some(entry) = self.entries.get_mut(&address) {
            entry.is_unanswered = true;
        }
    }

    /// Records that a target has answered on the traffic path.
    pub fn on_answer(&mut self, address: SocketAddrV4) {
        if let Some(entry) = self.entries.get_mut(&address) {
            entry.is_unanswered = false;
        }
    }

    /// Updates the liveness of all targets, removes those that have not reported for long, and
    /// returns the changes since the last call. To be called about once per second.
    pub fn on_tick(&mut self, now: Instant) -> Vec<TargetChange> {
        for entry in self.entries.values_mut() {
            self.changes
                .extend(entry.update_liveness(&self.options, now));
        }
        self.update_preservations(now);
        self.remove_expired(now);
        std::mem::take(&mut self.changes)
    }

    /// Returns the targets of a service that are candidates for new flows, in the order of their
    /// addresses.
    pub fn candidates(&self, service: ServiceTag) -> Vec<&Target> {
        let is_preserved = self.is_preserved(service);
        let addresses = self.by_service.get(&service).into_iter().flatten();
        addresses
            .filter_map(|address| self.entries.get(address))
            .filter(|entry| is_preserved || entry.is_alive())
            .filter_map(|entry| entry.target.as_ref())
            .collect()
    }

    /// Returns whether the service has any target, silent or not.
    pub fn contains_service(&self, service: ServiceTag) -> bool {
        self.by_service.contains_key(&service)
    }

    /// Returns the target at an address, silent or not.
    pub fn target(&self, address: SocketAddrV4) -> Option<&Target> {
        self.entries.get(&address)?.target.as_ref()
    }

    /// Returns whether the service is in self-preservation because most of its targets are silent.
    pub fn is_preserved(&self, service: ServiceTag) -> bool {
        self.preservations
            .get(&service)
            .is_some_and(|preservation| preservation.is_active)
    }

    fn update_preservations(&mut self, now: Instant) {
        let mut counts: FastMap<ServiceTag, (&ServiceName, usize, usize)> = FastMap::default();
        for entry in self.entries.values() {
            let Some(target) = &entry.target else {
                continue;
            };
            let name = &target.announcement.service;
            let (_, silent, all) = counts.entry(target.service).or_insert((name, 0, 0));
            *all += 1;
            *silent += usize::from(entry.liveness == Liveness::Silent);
        }
        self.preservations
            .retain(|service, _| counts.contains_key(service));
        for (service, (name, silent, total)) in counts {
            let preservation = self.preservations.entry(service).or_default();
            let was_active = preservation.is_active;
            preservation.update(silent * 2 > total, self.options.preservation_end_after, now);
            if preservation.is_active && !was_active {
                self.changes.push(TargetChange::SelfPreservation {
                    service: name.clone(),
                    silent,
                    total,
                });
            }
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        let forget_after = self.options.forget_after;
        let preservations = &self.preservations;
        let mut removed = Vec::new();
        self.entries.retain(|address, entry| {
            let preservation = entry
                .service()
                .and_then(|service| preservations.get(&service));
            let is_kept = preservation.is_some_and(|preservation| preservation.is_active)
                || now.saturating_duration_since(entry.reported_at) < forget_after;
            if !is_kept {
                removed.push((*address, entry.service()));
            }
            is_kept
        });
        for (address, service) in removed {
            self.move_target(address, service, None);
        }
    }
}

impl Preservation {
    fn update(&mut self, is_mostly_silent: bool, end_after: Duration, now: Instant) {
        if is_mostly_silent {
            self.is_active = true;
            self.recovered_since = None;
            return;
        }
        let since = *self.recovered_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= end_after {
            self.is_active = false;
        }
    }
}
