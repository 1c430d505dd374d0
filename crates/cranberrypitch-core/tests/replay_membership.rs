//! Replays the traces in `traces/membership` and checks their expected results. The first line of
//! each trace describes the failure that it guards against.

mod traces;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

use cranberrypitch_core::membership::{
    Membership, MembershipOptions, ReportResult, TargetChange, TargetReport,
};
use cranberrypitch_core::{
    Announcement, ConnectionLimit, Incarnation, Revision, ServiceName, ServiceTag, TargetLoad,
    TargetState, VmId,
};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Event {
    Report(Report),
    Unanswered(Vec<u8>),
    Answered(Vec<u8>),
    Tick,
}

/// One report from each of the targets. It contains an announcement if `service` is given.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Report {
    targets: Vec<u8>,
    incarnation: u64,
    sequence: u64,
    state: Option<TargetState>,
    service: Option<ServiceName>,
    #[serde(default)]
    running: u32,
}

/// The expected state after an event. Omitted fields are not checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    /// The result of each report of the event.
    result: Option<Outcome>,
    /// The candidates for new flows, by service.
    #[serde(rename = "offered")]
    candidates: Option<BTreeMap<ServiceName, Vec<u8>>>,
    /// Whether the service is in self-preservation, by service.
    #[serde(rename = "held")]
    is_preserved: Option<BTreeMap<ServiceName, bool>>,
    /// The running requests of targets, by the number of the target.
    running: Option<BTreeMap<u8, u32>>,
    /// The changes that a tick returns, in any order.
    changes: Option<Vec<String>>,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    Accepted,
    Unannounced,
    Stale,
}

fn address(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 4000)
}

fn target_report(n: u8, report: &Report) -> TargetReport {
    let announcement = report.service.clone().map(|service| Announcement {
        vm: VmId::try_new(&format!("vm-{n}")).expect("a valid name"),
        failure_domain: "rs-sul".parse().expect("a valid name"),
        service,
        connection_limit: ConnectionLimit::new(10),
    });
    TargetReport {
        address: address(n),
        incarnation: Incarnation::new(report.incarnation),
        sequence: report.sequence,
        state: report.state.unwrap_or(TargetState::Ready),
        revision: Revision::new(1),
        load: TargetLoad {
            running: report.running,
            ..TargetLoad::default()
        },
        announcement,
    }
}

fn describe(change: &TargetChange) -> String {
    match change {
        TargetChange::Joined { vm, service, .. } => format!("joined {vm} {service}"),
        TargetChange::Restarted { vm, service, .. } => format!("restarted {vm} {service}"),
        TargetChange::Left { vm, service } => format!("left {vm} {service}"),
        TargetChange::Silent { vm, service, .. } => format!("silent {vm} {service}"),
        TargetChange::Recovered { vm, service } => format!("back {vm} {service}"),
        TargetChange::SelfPreservation {
            service,
            silent,
            total,
        } => format!("kept {service} {silent}/{total}"),
        other => panic!("no trace contains {other:?}"),
    }
}

#[derive(Debug, Default)]
struct Observed {
    results: Vec<Outcome>,
    changes: Option<Vec<String>>,
}

fn apply(membership: &mut Membership, event: &Event, now: Instant) -> Observed {
    let mut observed = Observed::default();
    match event {
        Event::Report(report) => {
            for &n in &report.targets {
                let result = membership.on_report(target_report(n, report), now);
                observed.results.push(match result {
                    ReportResult::Accepted { is_announced: true } => Outcome::Accepted,
                    ReportResult::Accepted {
                        is_announced: false,
                    } => Outcome::Unannounced,
                    ReportResult::Stale => Outcome::Stale,
                });
            }
        }
        Event::Unanswered(targets) => {
            let mut record = |n: &u8| membership.on_unanswered_packet(address(*n));
            targets.iter().for_each(&mut record);
        }
        Event::Answered(targets) => {
            let mut record = |n: &u8| membership.on_answer(address(*n));
            targets.iter().for_each(&mut record);
        }
        Event::Tick => {
            let mut changes: Vec<_> = membership.on_tick(now).iter().map(describe).collect();
            changes.sort_unstable();
            observed.changes = Some(changes);
        }
    }
    observed
}

fn check(membership: &Membership, observed: &Observed, expected: Expected, location: &str) {
    if let Some(result) = expected.result {
        assert!(!observed.results.is_empty(), "{location}: no report");
        for found in &observed.results {
            assert_eq!(*found, result, "{location}");
        }
    }
    for (service, targets) in expected.candidates.into_iter().flatten() {
        let candidates = membership.candidates(ServiceTag::of(&service));
        let found: Vec<_> = candidates.iter().map(|t| t.address).collect();
        let targets: Vec<_> = targets.into_iter().map(address).collect();
        assert_eq!(found, targets, "{location}: candidates of {service}");
    }
    for (service, is_preserved) in expected.is_preserved.into_iter().flatten() {
        let found = membership.is_preserved(ServiceTag::of(&service));
        assert_eq!(
            found, is_preserved,
            "{location}: self-preservation of {service}"
        );
    }
    for (n, running) in expected.running.into_iter().flatten() {
        let target = membership.target(address(n)).expect("a known target");
        assert_eq!(target.load.running, running, "{location}: load of {n}");
    }
    if let Some(mut changes) = expected.changes {
        changes.sort_unstable();
        assert_eq!(observed.changes, Some(changes), "{location}: changes");
    }
}

/// Guards against the failures that the traces describe.
#[test]
fn membership_traces_end_as_stated() {
    for trace in traces::load::<Event, Expected>("membership") {
        let mut membership = Membership::new(MembershipOptions::default());
        let start = Instant::now();
        for step in trace.steps {
            let observed = apply(&mut membership, &step.event, start + step.at);
            if let Some(expected) = step.expected {
                let location = format!("{}: {}", trace.failure, step.location);
                check(&membership, &observed, expected, &location);
            }
        }
    }
}
