//! Who gets new flows under load.
//!
//! Each test names the pattern of load that it answers.

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

fn choice(port: u16, is_bulk: bool) -> SelectionRequest<'static> {
    SelectionRequest {
        flow: flow(port),
        service: tag("matcher"),
        is_bulk,
        excluded: &[],
    }
}

/// Returns where a chosen agent receives messages.
fn pick(
    selector: &mut AgentSelector,
    choice: &SelectionRequest<'_>,
    directory: &AgentDirectory,
    now: Instant,
) -> Option<SocketAddrV4> {
    let pick = selector.select(choice, directory, now);
    pick.map(|pick| pick.address)
}

/// Returns how many of 1,000 flows go to the agents of the own failure domain.
fn local_share(directory: &AgentDirectory, is_bulk: bool, now: Instant) -> usize {
    // A new selector for each flow: own choices of a moment before do not count.
    let is_local = |port| {
        let mut selector = AgentSelector::new(AgentSelectorOptions::default());
        let agent = pick(&mut selector, &choice(port, is_bulk), directory, now);
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

/// Usual load: bytes between failure domains are costly, so all flows stay.
#[test]
fn usual_load_stays_in_the_failure_domain() {
    let now = Instant::now();
    assert_eq!(local_share(&two_domains(2, 1, now), false, now), 1000);
}

/// One failure domain with more callers than its targets can serve (`rs-oeste` of cvt-balanceio on
/// its scale days): what is over goes to targets elsewhere.
#[test]
fn overload_of_one_failure_domain_spills_over() {
    let now = Instant::now();
    assert_eq!(local_share(&two_domains(6, 1, now), false, now), 0);
}

/// Uploads: a file of 20 kB costs more between failure domains than a short wait.
#[test]
fn uploads_stay_longer() {
    let now = Instant::now();
    assert_eq!(local_share(&two_domains(6, 1, now), true, now), 1000);
}

/// Overload everywhere: moving work elsewhere would only add delay.
#[test]
fn overload_everywhere_stays() {
    let now = Instant::now();
    assert_eq!(local_share(&two_domains(8, 7, now), false, now), 1000);
}

/// Targets that have not reported are not taken for idle, or all balancers would send their overload
/// to the same unknown targets.
#[test]
fn unknown_load_counts_as_typical() {
    let now = Instant::now();
    let local: Vec<_> = (1..=2).map(|i| record(i, "matcher", "a")).collect();
    let remote = vec![record(10, "matcher", "b")];
    let mut directory = directory(&[local.clone(), remote].concat(), now);
    for record in local {
        directory.on_report(record, load(6), now);
    }
    assert_eq!(local_share(&directory, false, now), 1000);
}

/// A burst of new flows between two reports is spread over the targets.
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
        let agent = pick(&mut selector, &choice(port, false), &directory, now);
        counts[usize::from(agent.unwrap().ip().octets()[3])] += 1;
    }
    assert_eq!(counts, [0, 20, 20, 20]);
}

/// Release: a target that has just started is slow, and takes its share only when others are busy.
#[test]
fn target_that_warms_up_is_spared() {
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
    let chosen = pick(&mut selector, &choice(1, false), &directory, now);
    assert_eq!(chosen, Some(agent_address(1)));
    directory.on_report(warm, load(4), now);
    let later = now + Duration::from_millis(200);
    let chosen = pick(&mut selector, &choice(1, false), &directory, later);
    assert_eq!(chosen, Some(agent_address(2)));
}

/// Recovery: after a loss of power all callers open long flows at once, before any request runs.
/// Where they open decides the load of the next minutes, so they are spread by number.
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
        open_flows,
    };
    directory.on_report(few, with_flows(10, 1), now);
    directory.on_report(many, with_flows(40, 1), now);
    let mut selector = AgentSelector::new(AgentSelectorOptions::default());
    for port in 0..10 {
        let at = now + Duration::from_millis(200) * u32::from(port);
        let chosen = pick(&mut selector, &choice(port, false), &directory, at);
        assert_eq!(chosen, Some(agent_address(1)), "flow {port}");
    }
}

/// A target that left an opening packet unanswered is avoided while there are others.
#[test]
fn unanswered_target_is_avoided() {
    let now = Instant::now();
    let records: Vec<_> = (1..=2).map(|i| record(i, "matcher", "a")).collect();
    let directory = directory(&records, now);
    let mut selector = AgentSelector::new(AgentSelectorOptions::default());
    selector.on_open_timeout(agent_address(1), now);
    for port in 0..100 {
        let chosen = pick(&mut selector, &choice(port, false), &directory, now);
        assert_eq!(chosen, Some(agent_address(2)));
    }
    selector.on_open_timeout(agent_address(2), now);
    assert!(pick(&mut selector, &choice(1, false), &directory, now).is_some());
}

fn failing(percent: u8) -> AgentLoad {
    AgentLoad {
        failed_responses_percent: percent,
        ..load(1)
    }
}

/// A target that answers its health checks and fails its requests (`srv_lying_health`): it looks idle
/// because failures are fast, and gets no flows while others do better.
#[test]
fn failing_target_is_avoided() {
    let now = Instant::now();
    let mut directory = two_domains(3, 3, now);
    directory.on_report(record(1, "matcher", "a"), failing(90), now);
    for port in 0..1000 {
        // Own choices of a moment before do not count.
        let mut selector = AgentSelector::new(AgentSelectorOptions::default());
        let agent = pick(&mut selector, &choice(port, false), &directory, now);
        assert_ne!(agent, Some(agent_address(1)));
    }
}

/// A service whose requests fail everywhere, as after a bad release: no target is better, and the
/// placement stays as it is.
#[test]
fn failures_everywhere_change_nothing() {
    let now = Instant::now();
    let mut directory = two_domains(1, 1, now);
    for record in directory.records() {
        directory.on_report(record, failing(90), now);
    }
    assert_eq!(local_share(&directory, false, now), 1000);
}
