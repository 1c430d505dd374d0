//! Packets, agent records and configurations for the tests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use cranberrypitch_core::flow::{
    Action, AgentLoad, AgentRecord, Backend, FlowEvent, FlowKey, Message, OpenParams, PacketFlags,
    PacketHeader, RequestLimits, Route, RouteConfig, StatusReport,
};
use cranberrypitch_core::{
    FailureDomain, Incarnation, Revision, ServiceName, ServiceTag, Slots, TargetState,
};

pub(crate) const HEADER_BYTES: usize = 23;

pub(crate) fn service(name: &str) -> ServiceName {
    ServiceName::try_new(name).unwrap()
}

pub(crate) fn tag(name: &str) -> ServiceTag {
    ServiceTag::of(&service(name))
}

pub(crate) fn domain(name: &str) -> FailureDomain {
    FailureDomain::try_new(name).unwrap()
}

pub(crate) fn route_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub(crate) fn agent_address(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, index), 8172)
}

pub(crate) fn balancer_address(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, index), 7720)
}

pub(crate) fn flow(caller_port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), caller_port),
        service_address: route_address(),
    }
}

pub(crate) fn record(index: u8, service_name: &str, domain_name: &str) -> AgentRecord {
    AgentRecord {
        address: agent_address(index),
        service: service(service_name),
        failure_domain: domain(domain_name),
        incarnation: Incarnation::new(1),
        state: TargetState::Ready,
        slots: Slots::new(4),
        warmup_left: Duration::ZERO,
        is_agent_stopping: false,
        held_flows: None,
    }
}

pub(crate) fn load(running_requests: u16) -> AgentLoad {
    AgentLoad {
        running_requests,
        mean_requests_hundredths: running_requests * 100,
        failed_responses_percent: 0,
        weighted_responses: 0,
        open_flows: running_requests,
        service_time: Duration::ZERO,
    }
}

pub(crate) fn config(version: u64, services: &[&str]) -> RouteConfig {
    let backends = services.iter().map(|name| Backend {
        service: service(name),
        weight: 1,
    });
    RouteConfig {
        version: Revision::new(version),
        routes: Box::new([Route {
            address: route_address(),
            backends: backends.collect(),
            is_bulk: false,
            priority: 0,
            limits: RequestLimits {
                latency_objective: Duration::from_millis(200),
                timeout: Duration::from_secs(1),
            },
        }]),
        services: Box::new([]),
        idle_timeout: Duration::from_secs(12),
    }
}

pub(crate) fn status_report(id: &str, started_unix_ms: u64, sequence: u64) -> StatusReport {
    StatusReport {
        id: id.into(),
        started_unix_ms,
        sequence,
        service: service("matcher"),
        state: TargetState::Ready,
        slots: Slots::new(4),
        warmup_left: Duration::ZERO,
    }
}

/// Encodes a packet header in the layout of the tests.
pub(crate) fn encode(header: &PacketHeader) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    for address in [header.source, header.destination] {
        bytes.extend(address.ip().octets());
        bytes.extend(address.port().to_be_bytes());
    }
    bytes.push(flag_bits(header.flags));
    bytes.extend(header.seq_number.to_be_bytes());
    bytes.extend(header.ack_number.to_be_bytes());
    bytes.extend(header.payload_len_bytes.to_be_bytes());
    bytes
}

const FLAGS: [PacketFlags; 5] = [
    PacketFlags::SYN,
    PacketFlags::ACK,
    PacketFlags::FIN,
    PacketFlags::RST,
    PacketFlags::BOUNCED,
];

fn flag_bits(flags: PacketFlags) -> u8 {
    let bits = FLAGS.iter().enumerate();
    bits.filter(|(_, flag)| flags.contains(**flag))
        .fold(0, |bits, (index, _)| bits | 1 << index)
}

/// Decodes a packet header in the layout of the tests.
pub(crate) fn decode(bytes: &[u8]) -> PacketHeader {
    let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
    let u16_at = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
    let address = |at| SocketAddrV4::new(Ipv4Addr::from(u32_at(at)), u16_at(at + 4));
    let set = (0..FLAGS.len()).filter(|index| bytes[12] & 1 << index != 0);
    PacketHeader {
        source: address(0),
        destination: address(6),
        flags: set.fold(PacketFlags::default(), |flags, i| flags.with(FLAGS[i])),
        seq_number: u32_at(13),
        ack_number: u32_at(17),
        payload_len_bytes: u16_at(21),
    }
}

/// Returns the header of a SYN; `earlier` is the number of earlier transmissions.
pub(crate) fn syn(flow: FlowKey, earlier: u32) -> PacketHeader {
    from_caller(flow, PacketFlags::SYN, earlier, 0)
}

/// Returns the header of a caller's packet with a request of 100 bytes.
pub(crate) fn request(flow: FlowKey, ack_number: u32) -> PacketHeader {
    from_caller(flow, PacketFlags::ACK, ack_number, 100)
}

pub(crate) fn from_caller(
    flow: FlowKey,
    flags: PacketFlags,
    ack_number: u32,
    payload_len_bytes: u16,
) -> PacketHeader {
    PacketHeader {
        source: flow.caller,
        destination: flow.service_address,
        flags,
        seq_number: 1000,
        ack_number,
        payload_len_bytes,
    }
}

/// Returns the header of a target's packet.
pub(crate) fn from_target(
    flow: FlowKey,
    flags: PacketFlags,
    seq_number: u32,
    payload_len_bytes: u16,
) -> PacketHeader {
    PacketHeader {
        source: flow.service_address,
        destination: flow.caller,
        flags,
        seq_number,
        ack_number: 1000,
        payload_len_bytes,
    }
}

pub(crate) fn syn_ack(flow: FlowKey, seq_number: u32) -> PacketHeader {
    from_target(flow, PacketFlags::SYN.with(PacketFlags::ACK), seq_number, 0)
}

/// Returns the messages that the actions send, with their receivers.
pub(crate) fn sent_messages<'a>(actions: &'a [Action<'_>]) -> Vec<(SocketAddrV4, &'a Message<'a>)> {
    let message = |action: &'a Action<'_>| match action {
        Action::Send { peer, message } => Some((*peer, message)),
        _ => None,
    };
    actions.iter().filter_map(message).collect()
}

pub(crate) fn reset_count(actions: &[Action<'_>]) -> usize {
    let is_reset = |action: &&Action<'_>| matches!(action, Action::Reset(_));
    actions.iter().filter(is_reset).count()
}

pub(crate) fn events<'a>(actions: &'a [Action<'_>]) -> Vec<&'a FlowEvent> {
    let event = |action: &'a Action<'_>| match action {
        Action::RecordEvent(event) => Some(event),
        _ => None,
    };
    actions.iter().filter_map(event).collect()
}

/// Returns a message that owns its packet.
pub(crate) fn owned_message(message: Message<'_>) -> Message<'static> {
    match message {
        Message::Open { params, packet } => Message::Open {
            params,
            packet: packet.into_owned().into(),
        },
        Message::Forward { packet } => Message::Forward {
            packet: packet.into_owned().into(),
        },
        Message::PacketReturned { packet } => Message::PacketReturned {
            packet: packet.into_owned().into(),
        },
        Message::Lookup { flow, ack_number } => Message::Lookup { flow, ack_number },
        Message::LookupBatch(queries) => Message::LookupBatch(queries),
        Message::LookupBatchReply(answers) => Message::LookupBatchReply(answers),
        Message::OpenQueued { flow } => Message::OpenQueued { flow },
        Message::OpenAccepted { flow } => Message::OpenAccepted { flow },
        Message::OpenRefused { flow, cause } => Message::OpenRefused { flow, cause },
        Message::LookupReply { flow, answer } => Message::LookupReply { flow, answer },
        Message::Report {
            record,
            load,
            evacuations,
        } => Message::Report {
            record,
            load,
            evacuations,
        },
        Message::AgentList(agents) => Message::AgentList(agents),
        other => panic!("unexpected message: {other:?}"),
    }
}

/// Returns the parameters for opening a flow to the service `matcher`.
pub(crate) fn params(priority: u8, expected_requests: Option<u16>) -> OpenParams {
    OpenParams {
        service: tag("matcher"),
        priority,
        expected_requests,
        limits: RequestLimits::default(),
        warmup_rate: None,
    }
}
