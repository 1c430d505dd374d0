//! The encoded length of each kind of message.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::{
    Announcement, ConnectionLimit, FailureDomain, Incarnation, Reservation, Revision, ServiceName,
    Slots, TargetLoad, TargetState, VmId,
};
use cranberrypitch_proto::control::{
    Answer, BalancerEntry, ConfigHead, Digest, Message, Notice, Request,
};
use cranberrypitch_proto::peer::PeerMessage;
use cranberrypitch_proto::report::{AckHints, BalancerHint, Report, ReportAck};

use super::{CapacityRow, to_f64};
use crate::errors::Result;

/// An incarnation of usual length: the start of an agent in microseconds since the Unix epoch.
const INCARNATION: Incarnation = Incarnation::new(1_800_000_000_000_000);

/// A revision of usual length: two years of 42,000 changes a day.
const REVISION: Revision = Revision::new(30_000_000);

/// A sequence number of usual length: 500 days of five reports per second.
const SEQUENCE: u64 = 216_000_000;

pub(super) fn measure() -> Result<Vec<CapacityRow>> {
    let mut rows = Vec::new();
    for name_len in [8, 16, 32] {
        let announcement = Some(announcement_with_names(name_len)?);
        let bytes = report(announcement).encode()?.len();
        rows.push(row(
            "report with announcement",
            "name byte",
            name_len,
            bytes,
        ));
    }
    for connections in [10, 1000, 100_000] {
        let mut report = report(None);
        report.load.connections = connections;
        let bytes = report.encode()?.len();
        rows.push(row("report", "connection", connections, bytes));
    }
    rows.push(row(
        "answer to a report",
        "hint",
        0,
        ack(None).encode()?.len(),
    ));
    for hints in [1, 4, 8] {
        let bytes = ack(Some(ack_hints(hints)?)).encode()?.len();
        rows.push(row("answer with hints", "hint of each kind", hints, bytes));
    }
    peer_rows(&mut rows)?;
    control_rows(&mut rows)?;
    Ok(rows)
}

fn row(quantity: &'static str, size_unit: &'static str, size: u32, bytes: usize) -> CapacityRow {
    let value = to_f64(bytes as u64);
    CapacityRow {
        quantity,
        size_unit,
        size,
        value,
        unit: "bytes",
    }
}

fn name(len: u32) -> String {
    "n".repeat(len as usize)
}

fn address(number: u32) -> SocketAddrV4 {
    let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 250, 200, 0)) + number);
    SocketAddrV4::new(ip, 20_001)
}

fn announcement_with_names(name_len: u32) -> Result<Announcement> {
    Ok(Announcement {
        vm: VmId::try_new(&name(name_len))?,
        failure_domain: FailureDomain::try_new(&name(name_len))?,
        service: ServiceName::try_new(&name(name_len))?,
        connection_limit: ConnectionLimit::new(2000),
    })
}

const fn report(announcement: Option<Announcement>) -> Report {
    Report {
        incarnation: INCARNATION,
        sequence: SEQUENCE,
        state: TargetState::Draining,
        revision: REVISION,
        load: TargetLoad {
            slots: Slots::new(200),
            running: 200,
            waiting: 1000,
            connections: 2000,
        },
        announcement,
    }
}

const fn ack(hints: Option<AckHints>) -> ReportAck {
    ReportAck {
        incarnation: INCARNATION,
        sequence: SEQUENCE,
        has_announcement: true,
        revision: REVISION,
        hints,
    }
}

fn ack_hints(count: u32) -> Result<AckHints> {
    let failure_domain = FailureDomain::try_new(&name(16))?;
    let balancer = |number| BalancerHint {
        tunnel_address: address(number),
        control_address: Some(address(number)),
        failure_domain: failure_domain.clone(),
    };
    Ok(AckHints {
        peers: (0..count).map(address).collect(),
        balancers: (0..count).map(balancer).collect(),
    })
}

fn peer_rows(rows: &mut Vec<CapacityRow>) -> Result<()> {
    for count in [1, 100, 10_000] {
        let oldest_wait = Duration::from_secs(10);
        let bytes = PeerMessage::WaitingRequests { count, oldest_wait }
            .encode()?
            .len();
        rows.push(row("peer message: waiting", "request", count, bytes));
    }
    let offer = PeerMessage::Offer(Reservation {
        agent: address(0),
        token: [200; 20],
        serial: SEQUENCE,
    });
    let bytes = offer.encode()?.len();
    rows.push(row("peer message: offer", "message", 1, bytes));
    let serial = SEQUENCE;
    let bytes = PeerMessage::Decline { serial }.encode()?.len();
    rows.push(row("peer message: decline", "message", 1, bytes));
    Ok(())
}

fn control_rows(rows: &mut Vec<CapacityRow>) -> Result<()> {
    let request = |request| Message::Request { id: 1000, request };
    let answer = |answer| Message::Answer { id: 1000, answer };
    let digest = Digest::new([200; 32]);
    let fetch = request(Request::ConfigFetch { since: REVISION });
    let shard = request(Request::ShardFetch { digest });
    let messages = [
        ("control: fetch of the head", fetch),
        ("control: fetch of a shard", shard),
        ("control: ping", request(Request::Ping)),
        ("control: up to date", answer(Answer::UpToDate)),
    ];
    for (quantity, message) in messages {
        rows.push(row(quantity, "message", 1, message.encode()?.len()));
    }
    for shards in [64, 512, 4096] {
        // A head contains the digests in base64, which takes 44 bytes per digest of 32 bytes.
        let body = Bytes::from(vec![0; (shards as usize * 32).div_ceil(3) * 4]);
        let revision = REVISION;
        let head = ConfigHead {
            revision,
            digest,
            body,
        };
        let bytes = Message::Notice(Notice::ConfigHead(head)).encode()?.len();
        rows.push(row("control: notice of a head", "shard", shards, bytes));
    }
    for count in [100, 1000, 10_000] {
        let bytes = answer(Answer::Balancers(balancers(count)?)).encode()?.len();
        rows.push(row("control: live balancers", "balancer", count, bytes));
    }
    for count in [2, 20, 200] {
        let peers = Answer::PeerTargets((0..count).map(address).collect());
        let bytes = answer(peers).encode()?.len();
        rows.push(row("control: agents of a service", "agent", count, bytes));
    }
    Ok(())
}

fn balancers(count: u32) -> Result<Vec<BalancerEntry>> {
    let entry = |number| {
        Ok(BalancerEntry {
            vm: VmId::try_new(&name(16))?,
            failure_domain: FailureDomain::try_new(&name(16))?,
            control_address: address(number),
            tunnel_address: address(number),
            is_leaving: false,
        })
    };
    (0..count).map(entry).collect()
}
