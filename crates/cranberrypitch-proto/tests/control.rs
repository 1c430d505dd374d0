//! Round trips of control messages, and decoding of arbitrary, truncated and oversized ones.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use cranberrypitch_core::{FailureDomain, KeyGeneration, Revision, VmId};
use cranberrypitch_proto::Error;
use cranberrypitch_proto::control::{
    Answer, BalancerEntry, ConfigHead, ConfigShard, Digest, Handshake, MAX_HANDSHAKE_BYTES,
    MAX_MESSAGE_BYTES, Message, Notice, RefusalReason, Request,
};
use proptest::prelude::*;

fn balancer(port: u16, is_leaving: bool) -> BalancerEntry {
    BalancerEntry {
        vm: VmId::try_new("vm-1").expect("a valid name"),
        failure_domain: FailureDomain::try_new("mitt-a").expect("a valid name"),
        control_address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        tunnel_address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        is_leaving,
    }
}

fn handshakes() -> impl Strategy<Value = Handshake> {
    let hello = |(version, nonce, generations): (u8, [u8; 32], Vec<u8>)| Handshake::Hello {
        version,
        nonce,
        generations: generations.into_iter().map(KeyGeneration::new).collect(),
    };
    let challenge = |(nonce, generation, tag): ([u8; 32], u8, [u8; 32])| Handshake::Challenge {
        nonce,
        generation: KeyGeneration::new(generation),
        tag,
    };
    prop_oneof![
        (
            any::<u8>(),
            any::<[u8; 32]>(),
            prop::collection::vec(0..16_u8, 0..3)
        )
            .prop_map(hello),
        (any::<[u8; 32]>(), 0..16_u8, any::<[u8; 32]>()).prop_map(challenge),
        any::<[u8; 32]>().prop_map(|tag| Handshake::Proof { tag }),
        Just(Handshake::Welcome),
        Just(Handshake::Refused(RefusalReason::WrongKey)),
    ]
}

fn messages() -> impl Strategy<Value = Message> {
    let fields = (
        any::<u32>(),
        any::<u64>(),
        any::<[u8; 32]>(),
        prop::collection::vec(any::<u8>(), 0..200),
    );
    fields.prop_flat_map(|(id, revision, digest, body)| {
        let (revision, digest, body) = (
            Revision::new(revision),
            Digest::new(digest),
            Bytes::from(body),
        );
        let head = ConfigHead {
            revision,
            digest,
            body: body.clone(),
        };
        let shard = ConfigShard {
            revision,
            digest,
            body,
        };
        let answer = move |answer| Message::Answer { id, answer };
        let balancers = vec![balancer(1, false), balancer(2, true)];
        prop_oneof![
            Just(Message::Request {
                id,
                request: Request::ConfigFetch { since: revision }
            }),
            Just(Message::Request {
                id,
                request: Request::ShardFetch { digest }
            }),
            Just(answer(Answer::ConfigHead(head.clone()))),
            Just(answer(Answer::ConfigShard(shard))),
            Just(answer(Answer::Balancers(balancers.clone()))),
            Just(Message::Notice(Notice::ConfigHead(head))),
            Just(Message::Notice(Notice::Balancers(balancers))),
        ]
    })
}

proptest! {
    /// Guards against decoders that panic on bytes from the network.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        drop(Handshake::decode(&bytes));
        drop(Message::decode(&bytes));
    }

    /// Guards against handshake messages that differ after encoding and decoding.
    #[test]
    fn handshakes_round_trip(handshake in handshakes()) {
        let bytes = handshake.encode().expect("encoding");
        prop_assert!(bytes.len() <= MAX_HANDSHAKE_BYTES);
        prop_assert_eq!(Handshake::decode(&bytes), Ok(handshake));
    }

    /// Guards against messages that differ after encoding and decoding, truncated messages that
    /// decode, and changed messages that make the decoder panic.
    #[test]
    fn messages_round_trip(
        message in messages(),
        place in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = message.encode().expect("encoding");
        prop_assert_eq!(Message::decode(&bytes), Ok(message));
        let place = place.index(bytes.len());
        prop_assert!(Message::decode(&bytes[..place]).is_err());
        bytes[place] = byte;
        drop(Message::decode(&bytes));
    }
}

/// Guards against messages over the limit, which bounds the memory of a session.
#[test]
fn messages_over_the_limit_are_refused() {
    let long = Handshake::decode(&[0; MAX_HANDSHAKE_BYTES + 1]);
    assert!(matches!(long, Err(Error::TooLong { .. })), "{long:?}");
    let long = Message::decode(&vec![0; MAX_MESSAGE_BYTES + 1]);
    assert!(matches!(long, Err(Error::TooLong { .. })), "{long:?}");
    let status = Answer::Status("x".repeat(MAX_MESSAGE_BYTES).into());
    let long = Message::Answer {
        id: 1,
        answer: status,
    }
    .encode();
    assert!(matches!(long, Err(Error::TooLong { .. })), "{long:?}");
}
