//! Selection of agents for new flows under different load patterns.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    AgentDirectory, AgentDirectoryOptions, AgentLoad, AgentRecord, AgentSelector,
    AgentSelectorOptions, SelectionRequest,
};

use crate::support::{agent_address, domain, flow, load, record, tag};

fn directory(records: &[AgentRecord], now: Instant) -> AgentDirectory {
    let mut directory = AgentDirectory::new(AgentDirectoryOptions::default(), domain("a"));
    directory.on_agent_list(records.to_vec(), now);
    directory
}

fn selection_request(port: u16, is_bulk: bool) -> SelectionRequest<'static> {
    SelectionRequest {
        flow: flow(port),
        service: tag("matcher"),
        is_bulk,
        excluded: &[],
    }
}

/// Selects an agent and returns its address.
fn select(
    selector: &mut AgentSelector,
    request: &SelectionRequest<'_>,
    directory: &AgentDirectory,
    now: Instant,
) -> Option<SocketAddrV4> {
    let selected = selector.select(request, directory, now);
    selected.map(|selected| selected.address)
}

/// Returns how many of 1,000 flows go to agents in the own failure domain.
fn local_flows(directory: &AgentDirectory, is_bulk: bool, now: Instant) -> usize {
    // Each flow has a new selector, so that earlier selections do not count as load.
    let is_local = |port| {
        let mut selector = AgentSelector::new(AgentSelectorOptions::default());
        let agent = select(
            &mut selector,
            &selection_request(port, is_bulk),
            directory,
            now,
        );
        agent.is_some_and(|agent| agent.ip().octets()[3] < 10)
    };
    (0..1000).filter(|port| is_local(*port)).count()
}

fn two_domains(local_load: u16, remote_load: u16, now: Instant) -> AgentDirectory {
    let local: Vec<_> = (1..=2).map(|i| record(i, "matcher", "a")).collect();
    let remote: Vec<_> = (10..=14).map(|i| record(i, "matcher", "b")).collect();
    let mut directory = directory(&[local.clone(), remote.clone()].concat(), now);
    for record in local {
        directory.on_report(record, load(local_load), now);
    }
    for record in remote {
        directory.on_report(record, load(remote_load), now);
    }
    directory
}

/// Traffic between failure domains is costly, so all flows stay local under normal load.
#[test]
fn normal_load_stays_in_the_failure_domain() {
    let now = Instant::now();
    assert_eq!(local_flows(&two_domains(2, 1, now), false, now), 1000);
}

/// One failure domain has more callers than its targets can serve, so flows go to targets in other
/// failure domains.
#[test]
fn overload_of_one_failure_domain_spills_over() {
    let now = Instant::now();
    assert_eq!(local_flows(&two_domains(6, 1, now), false, now), 0);
}

/// Sending an upload of 20 kB to another failure domain costs more than a short wait, so flows with
/// large bodies stay local at a higher load.
#[test]
fn uploads_stay_local_at_higher_load() {
    let now = Instant::now();
    assert_eq!(local_flows(&two_domains(6, 1, now), true, now), 1000);
}

/// All failure domains are overloaded, so moving flows to another one would only add delay.
#[test]
fn overload_everywhere_stays_local() {
    let now = Instant::now();
    assert_eq!(local_flows(&two_domains(8, 7, now), false, now), 1000);
}

/// Targets that have not reported must not count as idle, or all balancers would send their overload to
/// the same targets.
#[test]
fn unknown_load_counts_as_mean_load() {
    let now = Instant::now();
    let local: Vec<_> = (1..=2).map(|i| record(i, "matcher", "a")).collect();
    let remote = vec![record(10, "matcher", "b")];
    let mut directory = directory(&[local.clone(), remote].concat(), now);
    for record in local {
        directory.on_report(record, load(6), now);
    }
    assert_eq!(local_flows(&directory, false, now), 1000);
}

/// A burst of new flows between two reports is distributed evenly over the targets.
#[test]
fn burst_between_reports_is_spread() {
    let now = Instant::now();
    let records: Vec<_> = (1..=3).map(|i| record(i, "matcher", "a")).collect();
    let mut directory = directory(&records, now);
    for record in records {
        directory.on_report(record, load(1), now);
    }
    let mut selector = AgentSelector::new(AgentSelectorOptions::default());
    let mut counts = [0_u32; 4];
    for port in 0..60 {
        let agent = select(
            &mut selector,
            &selection_request(port, false),
            &directory,
            now,
        );
        counts[usize::from(agent.unwrap().ip().octets()[3])] += 1;
    }
    assert_eq!(counts, [0, 20, 20, 20]);
}

/// During a release, a target that has just started is slow and gets flows only when others are busy.
#[test]
fn target_in_warmup_is_avoided() {
    let now = Instant::now();
    let warm = record(1, "matcher", "a");
    let cold = AgentRecord {
        warmup_left: Duration::from_secs(2),
        ..record(2, "matcher", "a")
    };
    let mut directory = directory(&[warm.clone(), cold.clone()], now);
    directory.on_report(warm.clone(), load(1), now);
    directory.on_report(cold.clone(), load(0), now);
    let mut selector = AgentSelector::new(AgentSelectorOptions::default());
    let selected = select(&mut selector, &selection_request(1, false), &directory, now);
    assert_eq!(selected, Some(agent_address(1)));
    directory.on_report(warm, load(4), now);
    let later = now + Duration::from_millis(200);
    let selected = select(
        &mut selector,
        &selection_request(1, false),
        &directory,
        later,
    );
    assert_eq!(selected, Some(agent_address(2)));
}

/// After a power failure all callers open long flows at once, before any request runs. The targets that
/// they are opened at determine the load of the next minutes, so flows are balanced by number.
#[test]
fn long_flows_are_spread_by_number() {
    let now = Instant::now();
    let few = record(1, "matcher", "a");
    let many = record(2, "matcher", "a");
    let mut directory = directory(&[few.clone(), many.clone()], now);
    let with_flows = |open_flows, running_requests| AgentLoad {
        running_requests,
        mean_requests_hundredths: running_requests * 100,
        failed_responses_percent: 0,
        weighted_responses: 0,
        open_flows,
        service_time: Duration::ZERO,
    };
    directory.on_report(few, with_flows(10, 1), now);
    directory.on_report(many, with_flows(40, 1), now);
    let mut selector = AgentSelector::new(AgentSelectorOptions::default());
    for port in 0..10 {
        let at = now + Duration::from_millis(200) * u32::from(port);
        let selected = select(
            &mut selector,
            &selection_request(port, false),
            &directory,
            at,
        );
        assert_eq!(selected, Some(agent_address(1)), "flow {port}");
    }
}

/// An agent that did not reply to a SYN is avoided while there are others.
#[test]
fn unresponsive_agent_is_avoided() {
    let now = Instant::now();
    let records: Vec<_> = (1..=2).map(|i| record(i, "matcher", "a")).collect();
    let directory = directory(&records, now);
    let mut selector = AgentSelector::new(AgentSelectorOptions::default());
    selector.on_open_timeout(agent_address(1), now);
    for port in 0..100 {
        let selected = select(
            &mut selector,
            &selection_request(port, false),
            &directory,
            now,
        );
        assert_eq!(selected, Some(agent_address(2)));
    }
    selector.on_open_timeout(agent_address(2), now);
    assert!(select(&mut selector, &selection_request(1, false), &directory, now).is_some());
}

fn failing(percent: u8) -> AgentLoad {
    AgentLoad {
        failed_responses_percent: percent,
        ..load(1)
    }
}

/// A target that passes its health checks and fails its requests looks idle because failures are fast.
/// It must get no flows while other targets fail less.
#[test]
fn failing_target_is_avoided() {
    let now = Instant::now();
    let mut directory = two_domains(3, 3, now);
    directory.on_report(record(1, "matcher", "a"), failing(90), now);
    for port in 0..1000 {
        // A new selector has no earlier selections that count as load.
        let mut selector = AgentSelector::new(AgentSelectorOptions::default());
        let agent = select(
            &mut selector,
            &selection_request(port, false),
            &directory,
            now,
        );
        assert_ne!(agent, Some(agent_address(1)));
    }
}

/// The requests of a service fail at all targets, as after a faulty release. No target is better, so the
/// selection must not change.
#[test]
fn failures_everywhere_change_nothing() {
    let now = Instant::now();
    let mut directory = two_domains(1, 1, now);
    for record in directory.records() {
        directory.on_report(record, failing(90), now);
    }
    assert_eq!(local_flows(&directory, false, now), 1000);
}

/// Waves of load reach one failure domain after the other. Guards against balancers that all select the
/// same remote target: six balancers of an overloaded failure domain have the same reports of equal
/// remote targets, and none of them knows the selections of the others.
#[test]
fn overflow_of_several_balancers_is_spread_over_remote_targets() {
    let now = Instant::now();
    let directory = two_domains(12, 1, now);
    let mut counts = [0_u32; 5];
    for balancer in 0..6 {
        let mut selector = AgentSelector::new(AgentSelectorOptions::default());
        for flow in 0..20 {
            let request = selection_request(balancer * 20 + flow, false);
            let agent = select(&mut selector, &request, &directory, now).unwrap();
            let last_octet = agent.ip().octets()[3];
            if let Some(count) = last_octet.checked_sub(10) {
                counts[usize::from(count)] += 1;
            }
        }
    }
    let remote: u32 = counts.iter().sum();
    assert!(remote >= 60, "{counts:?}");
    assert!(
        counts.iter().all(|count| *count * 5 <= remote * 2),
        "{counts:?}"
    );
}

/// A cold target gets no flows until it is warm, and all of them at once when it is. Guards against that
/// step: its penalty falls with the rest of the warm-up. Load: the other target runs one request more.
#[test]
fn penalty_of_a_cold_target_falls_with_its_warmup() {
    let now = Instant::now();
    let warm = record(1, "matcher", "a");
    let cold = |left_ms| AgentRecord {
        warmup_left: Duration::from_millis(left_ms),
        ..record(2, "matcher", "a")
    };
    let mut directory = directory(&[warm.clone(), cold(2000)], now);
    let mut select_at = |left_ms| {
        directory.on_report(warm.clone(), load(1), now);
        directory.on_report(cold(left_ms), load(0), now);
        let mut selector = AgentSelector::new(AgentSelectorOptions::default());
        select(&mut selector, &selection_request(1, false), &directory, now)
    };
    assert_eq!(select_at(2000), Some(agent_address(1)));
    assert_eq!(select_at(1500), Some(agent_address(1)));
    assert_eq!(select_at(500), Some(agent_address(2)));
}
