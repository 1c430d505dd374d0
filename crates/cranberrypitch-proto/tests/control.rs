//! Control messages: decoders take any bytes, and messages survive the wire.

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
    /// Guards against bytes from the network that make a decoder panic.
    #[test]
    fn decoders_take_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        drop(Handshake::decode(&bytes));
        drop(Message::decode(&bytes));
    }

    /// Guards against a handshake message that changes on the wire.
    #[test]
    fn handshakes_survive_the_wire(handshake in handshakes()) {
        let bytes = handshake.encode().expect("it encodes");
        prop_assert!(bytes.len() <= MAX_HANDSHAKE_BYTES);
        prop_assert_eq!(Handshake::decode(&bytes), Ok(handshake));
    }

    /// Guards against a message that changes on the wire, or that passes when it is cut or changed
    /// into something that takes down the decoder.
    #[test]
    fn messages_survive_the_wire(
        message in messages(),
        place in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = message.encode().expect("it encodes");
        prop_assert_eq!(Message::decode(&bytes), Ok(message));
        let place = place.index(bytes.len());
        prop_assert!(Message::decode(&bytes[..place]).is_err());
        bytes[place] = byte;
        drop(Message::decode(&bytes));
    }
}

/// Guards against a message that takes more memory than its limit.
#[test]
fn long_messages_are_refused() {
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
