//! Ejection and readmission of targets that fail or are slow.

use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    AgentDirectory, AgentDirectoryOptions, AgentLoad, AgentSelector, AgentSelectorOptions,
    EjectionCause, OutlierChange, SelectionRequest,
};

use crate::support::{agent_address, domain, flow, load, record, tag};

const REPORT_INTERVAL: Duration = Duration::from_millis(200);

fn failing(percent: u8, weighted_responses: u8) -> AgentLoad {
    AgentLoad {
        failed_responses_percent: percent,
        weighted_responses,
        ..load(1)
    }
}

fn slow(service_time_ms: u64) -> AgentLoad {
    AgentLoad {
        service_time: Duration::from_millis(service_time_ms),
        ..failing(0, 40)
    }
}

/// A balancer with the reports of the targets of one service.
struct Balancer {
    directory: AgentDirectory,
    selector: AgentSelector,
    loads: Vec<AgentLoad>,
    now: Instant,
    next_port: u16,
}

impl Balancer {
    fn new(loads: &[AgentLoad]) -> Self {
        Self {
            directory: AgentDirectory::new(AgentDirectoryOptions::default(), domain("a")),
            selector: AgentSelector::new(AgentSelectorOptions::default()),
            loads: loads.to_vec(),
            now: Instant::now(),
            next_port: 0,
        }
    }

    /// Passes a report interval and applies a report of each target.
    fn step(&mut self) -> Vec<OutlierChange> {
        self.now += REPORT_INTERVAL;
        for (index, load) in (1..).zip(&self.loads) {
            let record = record(index, "matcher", "a");
            self.directory.on_report(record, *load, self.now);
        }
        self.selector.update_outliers(&self.directory, self.now)
    }

    /// Passes steps until the given time has elapsed.
    fn pass(&mut self, duration: Duration) -> Vec<OutlierChange> {
        let end = self.now + duration;
        let mut changes = Vec::new();
        while self.now < end {
            changes.extend(self.step());
        }
        changes
    }

    /// Opens flows that their targets accept. Returns how many each target got.
    fn open(&mut self, flows: u16) -> Vec<usize> {
        let mut counts = vec![0; self.loads.len()];
        for _ in 0..flows {
            self.next_port += 1;
            let request = SelectionRequest {
                flow: flow(self.next_port),
                service: tag("matcher"),
                is_bulk: false,
                excluded: &[],
            };
            let selected = self.selector.select(&request, &self.directory, self.now);
            let agent = selected.unwrap().address;
            self.selector.on_open_accepted(agent, self.now);
            counts[usize::from(agent.ip().octets()[3]) - 1] += 1;
        }
        counts
    }
}

fn ejected(changes: &[OutlierChange]) -> Vec<(u8, EjectionCause, Duration)> {
    let ejected = changes.iter().filter_map(|change| match change {
        OutlierChange::Ejected {
            agent,
            cause,
            duration,
        } => Some((agent.ip().octets()[3], *cause, *duration)),
        OutlierChange::Readmitted { .. } => None,
    });
    ejected.collect()
}

const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Guards against flows at a target that answers its health checks and fails its requests. Load: one of
/// six targets fails nine in ten.
#[test]
fn failing_target_is_ejected() {
    let mut loads = vec![failing(1, 40); 6];
    loads[2] = failing(90, 40);
    let mut balancer = Balancer::new(&loads);
    let ejections = ejected(&balancer.step());
    assert_eq!(ejections, [(3, EjectionCause::Failures, FIRST_EJECTION)]);
    assert_eq!(balancer.open(60)[2], 0);
    assert_eq!(balancer.selector.ejected_targets(), 1);
}

/// Guards against an ejection by a few failures. Load: a target has failed seven responses.
#[test]
fn few_responses_eject_nobody() {
    let mut loads = vec![failing(0, 40); 6];
    loads[2] = failing(87, 7);
    assert_eq!(Balancer::new(&loads).step(), []);
}

/// Guards against flows at a target that is stuck but responds. Load: one of six targets takes five times
/// as long as the median, another 3.5 times.
#[test]
fn very_slow_target_is_ejected() {
    let mut loads = vec![slow(20); 6];
    loads[0] = slow(100);
    loads[1] = slow(70);
    let ejections = ejected(&Balancer::new(&loads).step());
    assert_eq!(
        ejections,
        [(1, EjectionCause::SlowResponses, FIRST_EJECTION)]
    );
}

/// Guards against the ejection of most of a service. Load: three of seven targets fail more than twice
/// the mean, to different degrees.
#[test]
fn at_most_a_third_is_ejected_and_the_worst_first() {
    let mut loads = vec![failing(0, 40); 7];
    for (index, percent) in [(1, 80), (3, 95), (5, 90)] {
        loads[index] = failing(percent, 40);
    }
    let mut balancer = Balancer::new(&loads);
    let agents: Vec<_> = ejected(&balancer.step())
        .iter()
        .map(|(agent, ..)| *agent)
        .collect();
    assert_eq!(agents, [4, 6]);
    assert_eq!(ejected(&balancer.step()), []);
}

/// Guards against a service without targets after a burst of failures. Load: the requests at all
/// targets fail.
#[test]
fn burst_of_failures_at_all_targets_ejects_nobody() {
    let mut balancer = Balancer::new(&[failing(95, 60); 6]);
    assert_eq!(balancer.pass(Duration::from_secs(4)), []);
}

/// Guards against the ejection of the last target. Load: the only target of a service fails; one of two
/// targets fails.
#[test]
fn last_target_is_never_ejected() {
    assert_eq!(Balancer::new(&[failing(95, 60)]).step(), []);
    assert_eq!(Balancer::new(&[failing(95, 60), failing(0, 60)]).step(), []);
}

/// Guards against a missing report as evidence. Load: a target that failed sends no more reports, then
/// none of them does.
#[test]
fn missing_reports_eject_nobody() {
    let mut loads = vec![failing(0, 40); 6];
    loads[2] = failing(90, 40);
    let mut balancer = Balancer::new(&loads);
    // The reports arrive, and the first decision is after they have expired.
    for (index, load) in (1..).zip(&loads) {
        let record = record(index, "matcher", "a");
        balancer.directory.on_report(record, *load, balancer.now);
    }
    let later = balancer.now + Duration::from_secs(4);
    let changes = balancer
        .selector
        .update_outliers(&balancer.directory, later);
    assert_eq!(changes, []);
}

/// Guards against an ejection that outlasts all evidence. Load: a target is ejected, then all reports
/// are missing.
#[test]
fn ejected_targets_return_when_all_reports_are_missing() {
    let mut loads = vec![failing(0, 40); 6];
    loads[2] = failing(90, 40);
    let mut balancer = Balancer::new(&loads);
    balancer.step();
    let later = balancer.now + Duration::from_secs(4);
    let changes = balancer
        .selector
        .update_outliers(&balancer.directory, later);
    let readmitted = OutlierChange::Readmitted {
        agent: agent_address(3),
    };
    assert_eq!(changes, [readmitted]);
}

/// Guards against a target that restarts repeatedly and gets flows in between. Load: each restart fails
/// most responses at once, and the failures decay until the next one.
#[test]
fn target_that_restarts_repeatedly_is_ejected_longer_each_time() {
    let mut balancer = Balancer::new(&[failing(0, 40); 6]);
    let mut durations = Vec::new();
    for _ in 0..5 {
        balancer.loads[2] = failing(90, 20);
        let ejections = ejected(&balancer.step());
        let [(3, _, duration)] = ejections[..] else {
            panic!("{ejections:?} after {durations:?}");
        };
        balancer.loads[2] = failing(70, 9);
        assert_eq!(ejected(&balancer.pass(duration)), []);
        durations.push(duration.as_secs());
    }
    assert_eq!(durations, [2, 4, 8, 16, 16]);
}

/// Guards against a full load on a target that may still fail. Load: a target no longer fails after its
/// ejection; 20 flows arrive in each report interval.
#[test]
fn ejected_target_returns_by_trial() {
    let mut loads = vec![failing(0, 40); 6];
    loads[2] = failing(90, 40);
    let mut balancer = Balancer::new(&loads);
    balancer.step();
    balancer.loads[2] = failing(0, 0);
    balancer.pass(FIRST_EJECTION);
    let mut trial_flows = 0;
    for _ in 0..20 {
        let flows = balancer.open(20)[2];
        assert!(flows <= 1, "{flows} flows at once on trial");
        trial_flows += flows;
        if !balancer.step().is_empty() {
            break;
        }
    }
    assert_eq!(trial_flows, 3);
    assert_eq!(balancer.selector.ejected_targets(), 0);
    assert!(balancer.open(60)[2] > 3);
}

/// Guards against a second ejection by the failures of the first. Load: the target succeeds after its
/// ejection, and its earlier failures are still in its reports.
#[test]
fn earlier_failures_do_not_eject_again() {
    let mut loads = vec![failing(0, 40); 6];
    loads[2] = failing(90, 200);
    let mut balancer = Balancer::new(&loads);
    balancer.step();
    let mut changes = Vec::new();
    for percent in (60..=89).rev() {
        balancer.loads[2] = failing(percent, percent);
        balancer.open(20);
        changes.extend(balancer.step());
    }
    assert_eq!(ejected(&changes), []);
    assert_eq!(changes.len(), 1, "{changes:?}");
}
