//! Tests of the changes that the membership of a balancer reports.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::membership::{Membership, MembershipOptions, TargetChange, TargetReport};
use cranberrypitch_core::{
    Announcement, ConnectionLimit, Incarnation, Revision, ServiceName, TargetLoad, TargetState,
    VmId,
};

fn address(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 4000)
}

fn vm(n: u8) -> VmId {
    VmId::try_new(&format!("vm-{n}")).expect("a valid name")
}

fn service() -> ServiceName {
    ServiceName::try_new("tracer").expect("a valid name")
}

fn report(n: u8, incarnation: u64, sequence: u64, state: TargetState) -> TargetReport {
    TargetReport {
        address: address(n),
        incarnation: Incarnation::new(incarnation),
        sequence,
        state,
        revision: Revision::new(1),
        load: TargetLoad::default(),
        announcement: Some(Announcement {
            vm: vm(n),
            failure_domain: "rs-sul".parse().expect("a valid name"),
            service: service(),
            connection_limit: ConnectionLimit::new(10),
        }),
    }
}

/// Guards against a join, restart or leave that is not reported, or is reported twice.
#[test]
fn joins_restarts_and_leaves_are_reported_once() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipOptions::default());
    for sequence in 0..3 {
        membership.on_report(report(1, 1, sequence, TargetState::Ready), now);
    }
    let joined = TargetChange::Joined {
        vm: vm(1),
        service: service(),
        address: address(1),
        incarnation: Incarnation::new(1),
    };
    assert_eq!(membership.on_tick(now), [joined]);
    membership.on_report(report(1, 2, 0, TargetState::Ready), now);
    let restarted = TargetChange::Restarted {
        vm: vm(1),
        service: service(),
        incarnation: Incarnation::new(2),
    };
    assert_eq!(membership.on_tick(now), [restarted]);
    for sequence in 1..3 {
        membership.on_report(report(1, 2, sequence, TargetState::Gone), now);
    }
    let left = TargetChange::Left {
        vm: vm(1),
        service: service(),
    };
    assert_eq!(membership.on_tick(now), [left]);
    assert_eq!(membership.on_tick(now), []);
}

/// Guards against silence, its end, or self-preservation that is not reported, or is reported with
/// each tick.
#[test]
fn silence_and_self_preservation_are_reported_once() {
    let start = Instant::now();
    let mut membership = Membership::new(MembershipOptions::default());
    for n in 1..=3 {
        membership.on_report(report(n, 1, 0, TargetState::Ready), start);
    }
    assert_eq!(membership.on_tick(start).len(), 3);
    membership.on_unanswered_packet(address(1));
    membership.on_unanswered_packet(address(2));
    let later = start + Duration::from_secs(4);
    let changes = membership.on_tick(later);
    let silent = |n| TargetChange::Silent {
        vm: vm(n),
        service: service(),
        silent_for: Duration::from_secs(4),
    };
    assert!(
        changes.contains(&silent(1)) && changes.contains(&silent(2)),
        "{changes:?}"
    );
    let preserved = TargetChange::SelfPreservation {
        service: service(),
        silent: 2,
        total: 3,
    };
    assert_eq!(changes.last(), Some(&preserved));
    assert_eq!(changes.len(), 3);
    assert_eq!(membership.on_tick(later), []);
    membership.on_report(report(1, 1, 1, TargetState::Ready), later);
    let recovered = TargetChange::Recovered {
        vm: vm(1),
        service: service(),
    };
    assert_eq!(membership.on_tick(later), [recovered]);
}
