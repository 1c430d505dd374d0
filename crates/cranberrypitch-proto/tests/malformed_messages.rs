//! Round trips of reports and request frames, and decoding of arbitrary, truncated and changed ones.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::orders::Ticket;
use cranberrypitch_core::{
    ByteSize, ConnectionLimit, FailureDomain, Incarnation, NotRunReason, OrganisationId, Outcome,
    RequestClass, Reservation, Revision, ServiceName, VmId,
};
use cranberrypitch_proto::Error;
use cranberrypitch_proto::report::{
    AckHints, Announcement, BalancerHint, Report, ReportAck, TargetLoad, TargetState,
};
use cranberrypitch_proto::request::{
    AgentFrame, CallerFrame, IssuedTicket, MAX_FRAME_BYTES, PREFIX_LEN_BYTES, RequestHead,
    decode_frame, encode_frame, frame_len,
};
use proptest::option;
use proptest::prelude::*;

fn addresses() -> impl Strategy<Value = SocketAddrV4> {
    (any::<u32>(), any::<u16>())
        .prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}

fn names() -> impl Strategy<Value = String> {
    let letters = prop::sample::select(&b"abcXYZ019-_."[..]);
    prop::collection::vec(letters, 1..=63)
        .prop_map(|letters| letters.into_iter().map(char::from).collect())
}

fn announcements() -> impl Strategy<Value = Announcement> {
    (names(), names(), names(), any::<u32>()).prop_map(|(vm, domain, service, limit)| {
        Announcement {
            vm: VmId::try_new(&vm).expect("a valid name"),
            failure_domain: FailureDomain::try_new(&domain).expect("a valid name"),
            service: ServiceName::try_new(&service).expect("a valid name"),
            connection_limit: ConnectionLimit::new(limit),
        }
    })
}

fn reports() -> impl Strategy<Value = Report> {
    use TargetState::{Draining, Gone, Ready, Starting};
    let state = prop::sample::select(&[Starting, Ready, Draining, Gone][..]);
    let numbers = any::<(u64, u64, u64)>();
    let load = any::<(u32, u32, u32, u32)>();
    (numbers, state, load, option::of(announcements())).prop_map(
        |((incarnation, sequence, revision), state, load, announcement)| Report {
            incarnation: Incarnation::new(incarnation),
            sequence,
            state,
            revision: Revision::new(revision),
            load: TargetLoad::from(load),
            announcement,
        },
    )
}

fn hints() -> impl Strategy<Value = AckHints> {
    let balancer = (addresses(), option::of(addresses()), names()).prop_map(
        |(tunnel_address, control_address, failure_domain)| BalancerHint {
            tunnel_address,
            control_address,
            failure_domain: FailureDomain::try_new(&failure_domain).expect("a valid name"),
        },
    );
    let peers = prop::collection::vec(addresses(), 0..4);
    let balancers = prop::collection::vec(balancer, 0..4);
    (peers, balancers).prop_map(|(peers, balancers)| AckHints { peers, balancers })
}

fn acks() -> impl Strategy<Value = ReportAck> {
    (any::<(u64, u64, bool, u64)>(), option::of(hints())).prop_map(
        |((incarnation, sequence, has_announcement, revision), hints)| ReportAck {
            incarnation: Incarnation::new(incarnation),
            sequence,
            has_announcement,
            revision: Revision::new(revision),
            hints,
        },
    )
}

fn tickets() -> impl Strategy<Value = Ticket> {
    (addresses(), any::<(u64, u64, u64)>()).prop_map(|(agent, (incarnation, serial, check))| {
        Ticket {
            agent,
            incarnation: Incarnation::new(incarnation),
            serial,
            check,
        }
    })
}

fn caller_frames() -> impl Strategy<Value = CallerFrame> {
    let class = prop::sample::select(&RequestClass::ALL[..]);
    let numbers = any::<(u32, Option<u64>, Option<u64>, u64)>();
    let head = (class, names(), option::of(tickets()), numbers).prop_map(
        |(
            class,
            organisation,
            ticket,
            (deadline_ms, reservation_serial, resume_from, body_len),
        )| {
            CallerFrame::Request(RequestHead {
                class,
                organisation: OrganisationId::try_new(&organisation).expect("a valid name"),
                deadline: Duration::from_millis(deadline_ms.into()),
                ticket,
                reservation_serial,
                resume_from,
                body_len: ByteSize::new(body_len),
            })
        },
    );
    let query = tickets().prop_map(CallerFrame::QueryOrder);
    prop_oneof![Just(CallerFrame::IssueTicket), query, head]
}

fn agent_frames() -> impl Strategy<Value = AgentFrame> {
    let reservation =
        (addresses(), any::<([u8; 20], u64)>()).prop_map(|(agent, (token, serial))| {
            Outcome::Redirect(Reservation {
                agent,
                token,
                serial,
            })
        });
    let outcome = prop_oneof![
        Just(Outcome::Done),
        Just(Outcome::NotRun(NotRunReason::QueueFull)),
        reservation,
        Just(Outcome::Failed),
        Just(Outcome::StillRunning),
        Just(Outcome::Unknown),
    ];
    let payload = prop::collection::vec(any::<u8>(), 0..300).prop_map(Bytes::from);
    prop_oneof![
        (tickets(), any::<[u8; 20]>())
            .prop_map(|(ticket, token)| AgentFrame::Ticket(IssuedTicket { ticket, token })),
        (outcome, any::<u64>()).prop_map(|(outcome, len)| AgentFrame::Response {
            outcome,
            body_len: ByteSize::new(len),
        }),
        any::<u64>().prop_map(|first_sequence| AgentFrame::FeedOpen { first_sequence }),
        (any::<u64>(), payload)
            .prop_map(|(sequence, payload)| AgentFrame::Reading { sequence, payload }),
        Just(AgentFrame::GoAway),
        any::<u64>().prop_map(|next_sequence| AgentFrame::FeedEnd { next_sequence }),
    ]
}

/// Checks the length prefix of an encoded frame and returns the body.
fn frame_body(frame: &[u8]) -> &[u8] {
    let (prefix, body) = frame
        .split_first_chunk::<PREFIX_LEN_BYTES>()
        .expect("a prefix");
    assert_eq!(frame_len(*prefix), Ok(body.len()));
    body
}

proptest! {
    /// Guards against reports and acknowledgements that differ after encoding and decoding, exceed
    /// the limit of their decoder, or decode when truncated or followed by other bytes.
    #[test]
    fn reports_round_trip(
        report in reports(), ack in acks(), place in any::<prop::sample::Index>(), byte: u8,
    ) {
        let mut bytes = report.encode().expect("encoding");
        prop_assert!(Report::decode(&bytes[..place.index(bytes.len())]).is_err());
        prop_assert_eq!(Report::decode(&bytes), Ok(report));
        bytes.push(byte);
        prop_assert!(Report::decode(&bytes).is_err());

        let mut bytes = ack.encode().expect("encoding");
        prop_assert!(ReportAck::decode(&bytes[..place.index(bytes.len())]).is_err());
        prop_assert_eq!(ReportAck::decode(&bytes), Ok(ack));
        bytes.push(byte);
        prop_assert!(ReportAck::decode(&bytes).is_err());
    }

    /// Guards against frames that differ after encoding and decoding, have a wrong prefix, or decode
    /// when truncated.
    #[test]
    fn frames_round_trip(
        caller in caller_frames(), agent in agent_frames(), place in any::<prop::sample::Index>(),
    ) {
        let bytes = encode_frame(&caller).expect("encoding");
        let body = frame_body(&bytes);
        prop_assert!(decode_frame::<CallerFrame>(&body[..place.index(body.len())]).is_err());
        prop_assert_eq!(decode_frame(body), Ok(caller));

        let bytes = encode_frame(&agent).expect("encoding");
        let body = frame_body(&bytes);
        prop_assert!(decode_frame::<AgentFrame>(&body[..place.index(body.len())]).is_err());
        prop_assert_eq!(decode_frame(body), Ok(agent));
    }

    /// Guards against a panic on arbitrary bytes, and on messages with a changed byte.
    #[test]
    fn arbitrary_or_changed_bytes_do_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        ack in acks(),
        caller in caller_frames(),
        place in any::<prop::sample::Index>(),
        byte: u8,
    ) {
        drop((Report::decode(&bytes), ReportAck::decode(&bytes)));
        drop((decode_frame::<CallerFrame>(&bytes), decode_frame::<AgentFrame>(&bytes)));
        let mut bytes = ack.encode().expect("encoding");
        let index = place.index(bytes.len());
        bytes[index] = byte;
        drop(ReportAck::decode(&bytes));
        let mut bytes = encode_frame(&caller).expect("encoding").split_off(PREFIX_LEN_BYTES);
        let index = place.index(bytes.len());
        bytes[index] = byte;
        drop(decode_frame::<CallerFrame>(&bytes));
    }

    /// Guards against prefixes that make a reader allocate more than the maximum frame length.
    #[test]
    fn prefixes_over_the_limit_are_refused(prefix: u32) {
        let len_bytes = prefix as usize;
        let len = frame_len(prefix.to_be_bytes());
        prop_assert_eq!(len.is_ok(), len_bytes <= MAX_FRAME_BYTES);
        let is_too_long = matches!(len, Err(Error::TooLong { .. }));
        prop_assert_eq!(is_too_long, len_bytes > MAX_FRAME_BYTES);
    }
}
