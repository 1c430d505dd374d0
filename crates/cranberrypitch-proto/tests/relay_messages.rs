//! Round trips of relay messages, and decoding of arbitrary, truncated and foreign datagrams.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use cranberrypitch_core::flow::{
    AgentLoad, AgentRecord, ConfigCheck, EvacuationSet, EvacuationVersion, FlowKey, LookupAnswer,
    LookupQuery, Message, OpenParams, RefusalCause, RequestLimits,
};
use cranberrypitch_core::{
    FailureDomain, Incarnation, RequestRate, Revision, ServiceName, ServiceTag, Slots, TargetState,
};
use cranberrypitch_proto::{Error, relay};
use proptest::prelude::*;

fn addresses() -> impl Strategy<Value = SocketAddrV4> {
    (any::<u32>(), any::<u16>())
        .prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}

fn flows() -> impl Strategy<Value = FlowKey> {
    (addresses(), addresses()).prop_map(|(caller, service_address)| FlowKey {
        caller,
        service_address,
    })
}

fn packets() -> impl Strategy<Value = std::borrow::Cow<'static, [u8]>> {
    prop::collection::vec(any::<u8>(), 0..1300).prop_map(Into::into)
}

fn records() -> impl Strategy<Value = AgentRecord> {
    let state = prop::sample::select(
        &[
            (TargetState::Starting, false),
            (TargetState::Ready, false),
            (TargetState::Draining, false),
            (TargetState::Draining, true),
            (TargetState::Gone, false),
        ][..],
    );
    let name = "[a-z0-9-]{1,63}";
    (
        addresses(),
        name,
        name,
        any::<u64>(),
        state,
        any::<u32>(),
        any::<u32>(),
    )
        .prop_map(
            |(
                address,
                service,
                domain,
                incarnation,
                (state, is_agent_stopping),
                slots,
                warmup_ms,
            )| {
                AgentRecord {
                    address,
                    service: ServiceName::try_new(&service).unwrap(),
                    failure_domain: FailureDomain::try_new(&domain).unwrap(),
                    incarnation: Incarnation::new(incarnation),
                    state,
                    slots: Slots::new(slots),
                    warmup_left: Duration::from_millis(u64::from(warmup_ms)),
                    is_agent_stopping,
                    held_flows: None,
                }
            },
        )
}

/// Sets before the first evacuation, and later ones.
fn evacuations() -> impl Strategy<Value = EvacuationSet> {
    let names = prop::collection::btree_set("[a-z0-9-]{1,63}", 0..5);
    let set = |(epoch, revision, names): (u64, u64, std::collections::BTreeSet<String>)| {
        let domain = |name: String| FailureDomain::try_new(&name).unwrap();
        EvacuationSet {
            version: EvacuationVersion { epoch, revision },
            failure_domains: names.into_iter().map(domain).collect(),
        }
    };
    prop_oneof![
        Just(EvacuationSet::default()),
        (any::<u64>(), 1..=u64::MAX, names).prop_map(set),
    ]
}

fn messages() -> impl Strategy<Value = Message<'static>> {
    let causes = prop::sample::select(
        &[
            RefusalCause::OtherService,
            RefusalCause::Draining,
            RefusalCause::TargetSilent,
            RefusalCause::TargetFull,
            RefusalCause::BusierThanExpected,
            RefusalCause::Overloaded,
            RefusalCause::Evacuated,
        ][..],
    );
    let answers = prop::sample::select(
        &[
            LookupAnswer::Held,
            LookupAnswer::NotHeld,
            LookupAnswer::MayBeHeld,
        ][..],
    );
    let counts = (
        any::<u16>(),
        any::<u16>(),
        any::<u16>(),
        any::<u8>(),
        any::<u8>(),
    );
    let load = (counts, any::<u16>()).prop_map(|(counts, service_time_tenth_ms)| {
        let (
            running_requests,
            mean_requests_hundredths,
            open_flows,
            failed_responses_percent,
            weighted_responses,
        ) = counts;
        AgentLoad {
            running_requests,
            mean_requests_hundredths,
            open_flows,
            failed_responses_percent,
            weighted_responses,
            service_time: Duration::from_micros(u64::from(service_time_tenth_ms) * 100),
        }
    });
    let limits =
        (any::<u16>(), any::<u16>()).prop_map(|(objective_ms, timeout_ms)| RequestLimits {
            latency_objective: Duration::from_millis(u64::from(objective_ms)),
            timeout: Duration::from_millis(u64::from(timeout_ms)),
        });
    let rate = proptest::option::of(1..=u32::from(u16::MAX));
    let expected = proptest::option::of(0..u16::MAX);
    prop_oneof![
        (any::<u32>(), any::<u8>(), expected, limits, rate, packets()).prop_map(
            |(tag, priority, expected_requests, limits, rate, packet)| Message::Open {
                params: OpenParams {
                    service: ServiceTag::new(tag),
                    priority,
                    expected_requests,
                    limits,
                    warmup_rate: rate.map(RequestRate::new),
                },
                packet
            }
        ),
        packets().prop_map(|packet| Message::Forward { packet }),
        (flows(), any::<u32>()).prop_map(|(flow, ack_number)| Message::Lookup { flow, ack_number }),
        prop::collection::vec((flows(), any::<u32>()), 0..64).prop_map(|all| {
            let query = |(flow, ack_number)| LookupQuery { flow, ack_number };
            Message::LookupBatch(all.into_iter().map(query).collect())
        }),
        prop::collection::vec((flows(), answers.clone()), 0..64)
            .prop_map(|all| Message::LookupBatchReply(all.into())),
        flows().prop_map(|flow| Message::OpenQueued { flow }),
        flows().prop_map(|flow| Message::OpenAccepted { flow }),
        (flows(), causes).prop_map(|(flow, cause)| Message::OpenRefused { flow, cause }),
        (flows(), answers).prop_map(|(flow, answer)| Message::LookupReply { flow, answer }),
        packets().prop_map(|packet| Message::PacketReturned { packet }),
        prop::collection::vec(addresses(), 0..40).prop_map(|a| Message::AgentList(a.into())),
        Just(Message::BalancerQuery),
        prop::collection::vec(addresses(), 0..40).prop_map(|a| Message::BalancerList(a.into())),
        (records(), load, evacuations()).prop_map(|(record, load, set)| Message::Report {
            record,
            load,
            evacuations: set.version,
        }),
        evacuations().prop_map(Message::Evacuations),
        (any::<u64>(), any::<u32>(), addresses(), evacuations()).prop_map(
            |(version, age_ms, checked_by, evacuations)| Message::ConfigCheck {
                check: ConfigCheck {
                    version: Revision::new(version),
                    age: Duration::from_millis(u64::from(age_ms)),
                    checked_by,
                },
                evacuations,
            }
        ),
    ]
}

proptest! {
    /// Guards against messages that differ after encoding and decoding. The buffer is reused, so it
    /// holds other bytes before.
    #[test]
    fn messages_round_trip(message in messages()) {
        let mut datagram = vec![9; 5];
        relay::encode(&message, &mut datagram);
        prop_assert_eq!(relay::decode(&datagram).unwrap(), message);
    }

    /// Guards against a panic or a wrong message when a datagram is truncated. The decoder can't detect
    /// a truncated packet, whose own header has its length, or a list with fewer items.
    #[test]
    fn truncated_messages_are_refused(message in messages(), len in any::<prop::sample::Index>()) {
        let mut datagram = Vec::new();
        relay::encode(&message, &mut datagram);
        let len = len.index(datagram.len());
        let decoded = relay::decode(&datagram[..len]);
        let has_open_end = matches!(
            message,
            Message::Open { .. }
                | Message::Forward { .. }
                | Message::PacketReturned { .. }
                | Message::LookupBatch(_)
                | Message::LookupBatchReply(_)
                | Message::AgentList(_)
                | Message::BalancerList(_)
        );
        if !has_open_end {
            prop_assert!(decoded.is_err());
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = relay::decode(&bytes);
    }
}

/// Guards against longer checks and reports in deployments that evacuate nothing: a set before the first
/// evacuation takes one byte.
#[test]
fn set_before_the_first_evacuation_takes_one_byte() {
    let mut datagram = Vec::new();
    relay::encode(
        &Message::Evacuations(EvacuationSet::default()),
        &mut datagram,
    );
    assert_eq!(datagram.len(), 3);
}

/// Guards against datagrams that are too short or of another protocol and decode as a message.
#[test]
fn foreign_datagrams_are_refused() {
    assert!(matches!(
        relay::decode(&[]),
        Err(Error::Truncated { len_bytes: 0 })
    ));
    assert!(matches!(
        relay::decode(&[0x00, 1]),
        Err(Error::UnknownFormat)
    ));
    assert!(matches!(
        relay::decode(&[0xd2, 99]),
        Err(Error::UnknownKind { kind: 99 })
    ));
}
