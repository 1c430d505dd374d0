//! Ejection of targets that fail or serve far slower than the others of their service.
//!
//! The evidence is in the agents' reports, so each balancer decides by itself and nothing is exchanged.
//! A missing report is no evidence. What a target did before its ejection is no evidence against it
//! afterwards: only a failure ratio or service time that is worse than at the readmission counts.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::collections::FastMap;
use crate::flow::directory::AgentEntry;
use crate::flow::load::AgentLoad;

/// The failure ratio above which a target is an outlier, and its factor on the mean of the service. If all
/// targets fail alike, none is an outlier.
const MAX_FAILURE_RATIO: f64 = 0.5;
const MAX_FAILURE_RATIO_TO_MEAN: f64 = 2.0;

/// The number of weighted responses that a failure ratio needs to be evidence.
const MIN_WEIGHTED_RESPONSES: u8 = 8;

/// The factor on the median service time above which a target is an outlier.
const MAX_SERVICE_TIME_TO_MEDIAN: f64 = 4.0;

/// The first ejection time, which doubles with each consecutive ejection up to the maximum.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(2);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(16);

/// One in this number of the ready targets of a service may be ejected at a time.
const TARGETS_PER_EJECTION: usize = 3;

/// The number of flows that have to succeed until a target on trial is admitted.
const TRIAL_FLOWS: u8 = 3;

/// The time after its acceptance at which a flow of a trial has succeeded unless a report shows failures.
/// At least one report arrives in this time.
const TRIAL_FLOW_TIME: Duration = Duration::from_millis(400);

/// The time after which a flow of a trial that was not accepted makes way for the next one.
const TRIAL_OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// The time without an ejection after which the next one is no longer consecutive.
const RECOVERY_TIME: Duration = MAX_EJECTION_TIME;

/// A change of the ejection of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutlierChange {
    /// The target is ejected.
    Ejected {
        /// The agent of the target.
        agent: SocketAddrV4,
        /// The reason.
        cause: EjectionCause,
        /// The time for which the target is ejected.
        duration: Duration,
    },
    /// The target is admitted again, after a trial.
    Readmitted {
        /// The agent of the target.
        agent: SocketAddrV4,
    },
}

/// Why a target is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum EjectionCause {
    /// Most of its responses fail, and fewer of those of the other targets.
    #[display("failures")]
    Failures,
    /// Its service time is a multiple of the median.
    #[display("slow responses")]
    SlowResponses,
}

/// A flow that a target on trial got.
#[derive(Clone, Copy, Debug)]
struct TrialFlow {
    selected_at: Instant,
    accepted_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
enum EjectionState {
    Admitted {
        since: Instant,
    },
    Ejected {
        until: Instant,
    },
    Trial {
        flow: Option<TrialFlow>,
        successes: u8,
    },
}

/// The lowest values since the last ejection. Only worse ones are evidence for the next.
#[derive(Clone, Copy, Debug)]
struct EvidenceBaseline {
    failed_responses_percent: u8,
    service_time: Duration,
}

/// The ejections of a target.
#[derive(Clone, Copy, Debug)]
struct EjectionRecord {
    state: EjectionState,
    consecutive_ejections: u32,
    baseline: EvidenceBaseline,
}

impl EjectionRecord {
    const fn is_admitted(&self) -> bool {
        matches!(self.state, EjectionState::Admitted { .. })
    }

    fn has_recovered(&self, now: Instant) -> bool {
        let is_long = |since| now.saturating_duration_since(since) >= RECOVERY_TIME;
        matches!(self.state, EjectionState::Admitted { since } if is_long(since))
    }

    /// Moves a target whose ejection time is over to its trial, and a trial to its next flow or its end.
    /// Returns whether the target is admitted now and was not before.
    fn advance(&mut self, agent: &AgentEntry, now: Instant) -> bool {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        match &mut self.state {
            EjectionState::Admitted { .. } => {}
            EjectionState::Ejected { until } if now < *until => {}
            EjectionState::Ejected { .. } => {
                self.baseline = EvidenceBaseline::of(agent.load);
                self.state = EjectionState::Trial {
                    flow: None,
                    successes: 0,
                };
            }
            EjectionState::Trial { flow, successes } => match *flow {
                Some(TrialFlow {
                    accepted_at: Some(at),
                    ..
                }) if elapsed(at) >= TRIAL_FLOW_TIME
                    && agent.reported_at.is_some_and(|reported| reported > at) =>
                {
                    *flow = None;
                    *successes += 1;
                    if *successes >= TRIAL_FLOWS {
                        self.state = EjectionState::Admitted { since: now };
                        return true;
                    }
                }
                Some(TrialFlow {
                    accepted_at: None,
                    selected_at,
                }) if elapsed(selected_at) >= TRIAL_OPEN_TIMEOUT => *flow = None,
                _ => {}
            },
        }
        false
    }
}

impl EvidenceBaseline {
    const fn of(load: AgentLoad) -> Self {
        Self {
            failed_responses_percent: load.failed_responses_percent,
            service_time: if load.service_time.is_zero() {
                Duration::MAX
            } else {
                load.service_time
            },
        }
    }

    fn update(&mut self, load: AgentLoad) {
        let percent = &mut self.failed_responses_percent;
        *percent = (*percent).min(load.failed_responses_percent);
        // Zero means that the service time is not known.
        if !load.service_time.is_zero() {
            self.service_time = self.service_time.min(load.service_time);
        }
    }
}

/// The mean failure ratio and the median service time of a service.
#[derive(Clone, Copy, Debug)]
struct ServiceAverages {
    mean_failure_ratio: f64,
    median_service_time: Duration,
}

impl ServiceAverages {
    fn of(agents: &[&AgentEntry]) -> Self {
        let ratios = agents.iter().map(|agent| agent.load.failure_ratio());
        let (sum, count) =
            ratios.fold((0.0, 0.0), |(sum, count), ratio| (sum + ratio, count + 1.0));
        let mut times: Vec<_> = agents
            .iter()
            .map(|agent| agent.load.service_time)
            .filter(|time| !time.is_zero())
            .collect();
        times.sort_unstable();
        Self {
            mean_failure_ratio: if count > 0.0 { sum / count } else { 0.0 },
            median_service_time: times.get(times.len() / 2).copied().unwrap_or_default(),
        }
    }

    /// Returns why a target is an outlier, and by how much it exceeds the limit.
    fn outlier(
        &self,
        load: AgentLoad,
        history: Option<&EjectionRecord>,
    ) -> Option<(EjectionCause, f64)> {
        let past = history.map(|history| history.baseline);
        let is_on_trial = history.is_some_and(|history| !history.is_admitted());
        let ratio = load.failure_ratio();
        let max_ratio = MAX_FAILURE_RATIO.max(self.mean_failure_ratio * MAX_FAILURE_RATIO_TO_MEAN);
        let is_worse =
            past.is_none_or(|p| load.failed_responses_percent > p.failed_responses_percent);
        // A target on trial has few responses, and its past ones have decayed.
        let has_responses = is_on_trial || load.weighted_responses >= MIN_WEIGHTED_RESPONSES;
        if ratio > max_ratio && is_worse && has_responses {
            return Some((EjectionCause::Failures, ratio / max_ratio));
        }
        let max_time = self.median_service_time.mul_f64(MAX_SERVICE_TIME_TO_MEDIAN);
        let is_worse = past.is_none_or(|p| load.service_time > p.service_time);
        (!max_time.is_zero() && load.service_time > max_time && is_worse).then(|| {
            let excess = load.service_time.div_duration_f64(max_time);
            (EjectionCause::SlowResponses, excess)
        })
    }
}

/// Decides at a balancer which targets are ejected, and when they return.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    histories: FastMap<SocketAddrV4, EjectionRecord>,
}

impl OutlierDetector {
    /// Returns whether a target may get a new flow: it is admitted, or on trial without a flow.
    pub(super) fn admits(&self, agent: SocketAddrV4) -> bool {
        match self.histories.get(&agent).map(|history| history.state) {
            None | Some(EjectionState::Admitted { .. }) => true,
            Some(EjectionState::Ejected { .. }) => false,
            Some(EjectionState::Trial { flow, .. }) => flow.is_none(),
        }
    }

    /// Returns whether a target is on trial.
    pub(super) fn is_on_trial(&self, agent: SocketAddrV4) -> bool {
        let history = self.histories.get(&agent);
        history.is_some_and(|history| matches!(history.state, EjectionState::Trial { .. }))
    }

    /// Returns the number of targets that are ejected or on trial.
    pub(super) fn ejected_len(&self) -> usize {
        let histories = self.histories.values();
        histories.filter(|history| !history.is_admitted()).count()
    }

    pub(super) fn on_selected(&mut self, agent: SocketAddrV4, now: Instant) {
        if let Some(history) = self.histories.get_mut(&agent)
            && let EjectionState::Trial { flow, .. } = &mut history.state
        {
            *flow = Some(TrialFlow {
                selected_at: now,
                accepted_at: None,
            });
        }
    }

    pub(super) fn on_accepted(&mut self, agent: SocketAddrV4, now: Instant) {
        if let Some(history) = self.histories.get_mut(&agent)
            && let EjectionState::Trial {
                flow: Some(flow), ..
            } = &mut history.state
        {
            flow.accepted_at.get_or_insert(now);
        }
    }

    pub(super) fn remove(&mut self, agent: SocketAddrV4) {
        self.histories.remove(&agent);
    }

    /// Updates the ejections of a service. `ready` holds its ready targets, `reporting` those of them
    /// with valid reports.
    pub(super) fn update(
        &mut self,
        ready: &[&AgentEntry],
        reporting: &[&AgentEntry],
        now: Instant,
    ) -> Vec<OutlierChange> {
        let mut changes = self.advance(ready, reporting, now);
        let norm = ServiceAverages::of(reporting);
        let mut outliers: Vec<_> = reporting
            .iter()
            .filter_map(|agent| {
                let (cause, excess) = self.outlier(agent, &norm)?;
                Some((excess, cause, agent.record.address))
            })
            .collect();
        outliers.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.2.cmp(&b.2)));
        let is_ejected = |agent: &&&AgentEntry| !self.is_admitted(agent.record.address);
        let ejected = ready.iter().filter(is_ejected).count();
        let mut free = (ready.len() / TARGETS_PER_EJECTION).saturating_sub(ejected);
        for (_, cause, agent) in outliers {
            // A target on trial is counted already.
            if self.is_admitted(agent) {
                if free == 0 {
                    continue;
                }
                free -= 1;
            }
            changes.push(self.eject(agent, cause, now));
        }
        changes
    }

    fn advance(
        &mut self,
        ready: &[&AgentEntry],
        reporting: &[&AgentEntry],
        now: Instant,
    ) -> Vec<OutlierChange> {
        let mut changes = Vec::new();
        for agent in ready {
            let address = agent.record.address;
            let Some(history) = self.histories.get_mut(&address) else {
                continue;
            };
            let is_readmitted = if reporting.is_empty() && !history.is_admitted() {
                history.state = EjectionState::Admitted { since: now };
                true
            } else {
                history.advance(agent, now)
            };
            history.baseline.update(agent.load);
            if is_readmitted {
                changes.push(OutlierChange::Readmitted { agent: address });
            }
            if history.has_recovered(now) {
                self.histories.remove(&address);
            }
        }
        changes
    }

    fn is_admitted(&self, agent: SocketAddrV4) -> bool {
        let history = self.histories.get(&agent);
        history.is_none_or(EjectionRecord::is_admitted)
    }

    fn outlier(&self, agent: &AgentEntry, norm: &ServiceAverages) -> Option<(EjectionCause, f64)> {
        let history = self.histories.get(&agent.record.address);
        if history.is_some_and(|h| matches!(h.state, EjectionState::Ejected { .. })) {
            return None;
        }
        norm.outlier(agent.load, history)
    }

    fn eject(&mut self, agent: SocketAddrV4, cause: EjectionCause, now: Instant) -> OutlierChange {
        let earlier = self.histories.get(&agent);
        let consecutive_ejections = earlier.map_or(0, |history| history.consecutive_ejections);
        let factor = 2_u32.saturating_pow(consecutive_ejections);
        let duration = MIN_EJECTION_TIME
            .saturating_mul(factor)
            .min(MAX_EJECTION_TIME);
        let history = EjectionRecord {
            state: EjectionState::Ejected {
                until: now + duration,
            },
            consecutive_ejections: consecutive_ejections.saturating_add(1),
            baseline: EvidenceBaseline {
                failed_responses_percent: u8::MAX,
                service_time: Duration::MAX,
            },
        };
        self.histories.insert(agent, history);
        OutlierChange::Ejected {
            agent,
            cause,
            duration,
        }
    }
}
