//! Tests of the membership of targets at a balancer.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::membership::{
    Membership, MembershipOptions, ReportResult, TargetReport, subset,
};
use cranberrypitch_core::{
    Announcement, ConnectionLimit, Incarnation, Revision, ServiceName, ServiceTag, TargetLoad,
    TargetState, VmId,
};

fn address(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 4000)
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_new(name).expect("a valid name")
}

fn report(n: u8, incarnation: u64, sequence: u64, name: Option<&str>) -> TargetReport {
    TargetReport {
        address: address(n),
        incarnation: Incarnation::new(incarnation),
        sequence,
        state: TargetState::Ready,
        revision: Revision::new(1),
        load: TargetLoad::default(),
        announcement: name.map(|name| Announcement {
            vm: VmId::try_new("vm").expect("a valid name"),
            failure_domain: "rs-sul".parse().expect("a valid name"),
            service: service(name),
            connection_limit: ConnectionLimit::new(10),
        }),
    }
}

fn candidates(membership: &Membership, name: &str) -> Vec<SocketAddrV4> {
    let candidates = membership.candidates(ServiceTag::of(&service(name)));
    candidates.iter().map(|target| target.address).collect()
}

struct Fleet {
    membership: Membership,
    now: Instant,
    sequence: u64,
}

impl Fleet {
    fn new(size: u8) -> Self {
        let mut fleet = Self {
            membership: Membership::new(MembershipOptions::default()),
            now: Instant::now(),
            sequence: 0,
        };
        fleet.step(1..=size);
        fleet
    }

    /// Advances the time by one second, in which only the given targets report.
    fn step(&mut self, reporting: impl IntoIterator<Item = u8>) {
        self.now += Duration::from_secs(1);
        self.sequence += 1;
        for n in reporting {
            let report = report(n, 1, self.sequence, Some("tracer"));
            self.membership.on_report(report, self.now);
        }
        self.membership.on_tick(self.now);
    }

    fn candidate_count(&self) -> usize {
        candidates(&self.membership, "tracer").len()
    }
}

/// Guards against a load that is replaced by an older one when reports are reordered.
#[test]
fn older_sequences_and_incarnations_are_ignored() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipOptions::default());
    let accepted = ReportResult::Accepted { is_announced: true };
    assert_eq!(
        membership.on_report(report(1, 5, 3, Some("tracer")), now),
        accepted
    );
    assert_eq!(
        membership.on_report(report(1, 5, 3, None), now),
        ReportResult::Stale
    );
    assert_eq!(
        membership.on_report(report(1, 4, 9, Some("tracer")), now),
        ReportResult::Stale
    );
    assert_eq!(membership.on_report(report(1, 5, 4, None), now), accepted);
}

/// Guards against an agent that does not send its announcement again although it was lost, and
/// therefore gets no flows.
#[test]
fn unknown_announcement_is_reported() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipOptions::default());
    let unannounced = ReportResult::Accepted {
        is_announced: false,
    };
    assert_eq!(
        membership.on_report(report(1, 1, 0, None), now),
        unannounced
    );
    membership.on_report(report(1, 1, 1, Some("tracer")), now);
    assert_eq!(candidates(&membership, "tracer"), [address(1)]);
    assert_eq!(
        membership.on_report(report(1, 2, 0, None), now),
        unannounced
    );
    assert_eq!(candidates(&membership, "tracer"), []);
}

/// Guards against flows of one service that are sent to another one at a reused address (G2).
#[test]
fn another_service_on_the_same_address_replaces_the_target() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipOptions::default());
    membership.on_report(report(1, 1, 1, Some("tracer")), now);
    membership.on_report(report(1, 2, 0, Some("matcher")), now);
    assert_eq!(candidates(&membership, "tracer"), []);
    assert_eq!(candidates(&membership, "matcher"), [address(1)]);
}

/// Guards against a late report that makes a stopped target a candidate again.
#[test]
fn gone_target_stays_gone_until_its_next_incarnation() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipOptions::default());
    membership.on_report(report(1, 1, 1, Some("tracer")), now);
    let gone = TargetReport {
        state: TargetState::Gone,
        ..report(1, 1, 2, None)
    };
    membership.on_report(gone, now);
    assert_eq!(candidates(&membership, "tracer"), []);
    assert_eq!(
        membership.on_report(report(1, 1, 3, Some("tracer")), now),
        ReportResult::Stale
    );
    membership.on_report(report(1, 2, 0, Some("tracer")), now);
    assert_eq!(candidates(&membership, "tracer"), [address(1)]);
}

/// Guards against removing a working target only because its reports are lost.
#[test]
fn silence_needs_missed_reports_and_a_missing_answer() {
    let mut fleet = Fleet::new(5);
    for _ in 0..5 {
        fleet.step(2..=5);
    }
    assert_eq!(fleet.candidate_count(), 5);
    fleet.membership.on_unanswered_packet(address(1));
    fleet.step(2..=5);
    assert_eq!(fleet.candidate_count(), 4);
}

/// Guards against a target that alternates between silent and alive while only some of its reports
/// arrive.
#[test]
fn silent_target_is_offered_again_only_after_steady_reports() {
    let mut fleet = Fleet::new(5);
    for _ in 0..3 {
        fleet.step(2..=5);
    }
    fleet.membership.on_unanswered_packet(address(1));
    fleet.step(2..=5);
    fleet.step(1..=5);
    assert_eq!(fleet.candidate_count(), 4);
    fleet.step(1..=5);
    assert_eq!(fleet.candidate_count(), 5);
}

/// Guards against losing most candidates when the balancer is partitioned from most targets of a
/// service.
#[test]
fn most_silent_at_once_keeps_the_last_known_set_without_flapping() {
    let mut fleet = Fleet::new(5);
    for _ in 0..4 {
        for n in 1..=4 {
            fleet.membership.on_unanswered_packet(address(n));
        }
        fleet.step([5]);
    }
    assert!(
        fleet
            .membership
            .is_preserved(ServiceTag::of(&service("tracer")))
    );
    for _ in 0..120 {
        fleet.step([5]);
        assert_eq!(fleet.candidate_count(), 5);
    }
    for _ in 0..10 {
        fleet.step(1..=5);
        assert_eq!(fleet.candidate_count(), 5);
    }
    assert!(
        !fleet
            .membership
            .is_preserved(ServiceTag::of(&service("tracer")))
    );
}

/// Guards against a table that keeps every address from which a report has ever arrived.
#[test]
fn silent_target_is_forgotten() {
    let mut fleet = Fleet::new(5);
    for _ in 0..61 {
        fleet.step(2..=5);
    }
    assert!(fleet.membership.target(address(1)).is_none());
}

/// Guards against lists per service that differ from the targets. A missing target would get no
/// flows; an obsolete entry would get flows of a service that it no longer serves.
#[test]
fn services_list_exactly_their_targets() {
    let mut membership = Membership::new(MembershipOptions::default());
    let mut now = Instant::now();
    let names = ["matcher", "tracer", "verkstad"];
    for step in 0..400_u64 {
        let n = u8::try_from(step * 7 % 23).expect("below 23");
        let name = names[usize::from(n + u8::try_from(step % 5).expect("below 5")) % 3];
        let mut report = report(n, 1 + step / 100, step, Some(name));
        if step % 11 == 0 {
            report.state = TargetState::Gone;
        }
        membership.on_report(report, now);
        now += Duration::from_secs(step % 3 * 2);
        membership.on_tick(now);
        for name in names {
            let tag = ServiceTag::of(&service(name));
            let all = (0..23).filter_map(|n| membership.target(address(n)));
            let expected: Vec<_> = all
                .filter(|t| t.service == tag)
                .map(|t| t.address)
                .collect();
            assert_eq!(candidates(&membership, name), expected, "step {step}");
            assert_eq!(membership.contains_service(tag), !expected.is_empty());
        }
    }
}

/// Guards against subsets that change when a balancer outside of them fails.
#[test]
fn subset_changes_only_where_its_balancer_died() {
    let balancers: Vec<VmId> = (0..20)
        .map(|n| VmId::try_new(&format!("b{n}")).expect("a valid name"))
        .collect();
    let mut changed = 0;
    for tag in 0..200 {
        let tag = ServiceTag::new(tag);
        let before = subset::select(tag, &balancers, 3);
        let after = subset::select(tag, &balancers[1..], 3);
        assert_eq!(before.len(), 3);
        let kept = before.iter().filter(|b| **b != &balancers[0]);
        assert!(kept.clone().all(|b| after.contains(b)));
        changed += usize::from(kept.count() < 3);
    }
    assert!(
        (10..=60).contains(&changed),
        "{changed} of 200 subsets contained the balancer"
    );
}
