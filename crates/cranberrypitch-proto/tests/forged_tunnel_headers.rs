//! Guards against tunnel datagrams that verify although their sender does not hold the key.

use std::net::{Ipv4Addr, SocketAddrV4};

use cranberrypitch_core::token::CheckKey;
use cranberrypitch_core::{Error as CoreError, KeyGeneration, ServiceTag, TokenKeys};
use cranberrypitch_proto::Error;
use cranberrypitch_proto::tunnel::{DatagramKind, HEADER_LEN_BYTES, Header};
use proptest::prelude::*;

const KINDS: [DatagramKind; 8] = [
    DatagramKind::Forward,
    DatagramKind::Return,
    DatagramKind::Report,
    DatagramKind::ReportAck,
    DatagramKind::Peer,
    DatagramKind::Goodbye,
    DatagramKind::ForwardFirstPacket,
    DatagramKind::RefuseFirstPacket,
];

fn key(generation: u8) -> CheckKey {
    CheckKey::new(KeyGeneration::new(generation), [generation + 1; 16])
}

fn keys(current: u8, other: Option<u8>) -> TokenKeys {
    TokenKeys::new(key(current), other.map(key))
}

fn headers() -> impl Strategy<Value = Header> {
    let address = || {
        (any::<u32>(), any::<u16>())
            .prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
    };
    let kind = prop::sample::select(&KINDS[..]);
    (kind, any::<u32>(), address(), address(), any::<u16>()).prop_map(
        |(kind, tag, service_address, caller, incarnation_low)| Header {
            kind,
            service: ServiceTag::new(tag),
            service_address,
            caller,
            incarnation_low,
        },
    )
}

fn payloads() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..100)
}

fn encode(header: &Header, payload: &[u8], keys: &TokenKeys) -> Vec<u8> {
    let mut datagram = Vec::new();
    header.encode(payload, keys, &mut datagram);
    datagram
}

proptest! {
    /// Guards against datagrams that differ after encoding and decoding, or that fail to verify
    /// during a key rotation.
    #[test]
    fn datagrams_verify_during_a_key_rotation(
        header in headers(), payload in payloads(), generation in 0..15_u8,
    ) {
        let datagram = encode(&header, &payload, &keys(generation, None));
        for held in [keys(generation, None), keys(generation + 1, Some(generation))] {
            prop_assert_eq!(Header::decode(&datagram, &held), Ok((header, &*payload)));
        }
        let refused = Header::decode(&datagram, &keys(generation + 1, None));
        let expected = CoreError::UnknownKeyGeneration { generation };
        prop_assert_eq!(refused, Err(Error::Authentication(expected)));
    }

    /// Guards against datagrams that verify with a changed byte: in the header, or in a payload that
    /// is not QUIC. QUIC payloads are authenticated end to end.
    #[test]
    fn changed_datagrams_never_verify(
        header in headers(),
        payload in payloads(),
        place in any::<prop::sample::Index>(),
        change in 1..=u8::MAX,
    ) {
        let keys = keys(1, Some(2));
        let mut datagram = encode(&header, &payload, &keys);
        let carries_quic = matches!(
            header.kind,
            DatagramKind::Forward
                | DatagramKind::Return
                | DatagramKind::ForwardFirstPacket
                | DatagramKind::RefuseFirstPacket
        );
        let authenticated_len = if carries_quic { HEADER_LEN_BYTES } else { datagram.len() };
        datagram[place.index(authenticated_len)] ^= change;
        prop_assert!(Header::decode(&datagram, &keys).is_err());
    }

    /// Guards against messages that verify although they are truncated or lengthened.
    #[test]
    fn messages_of_another_length_never_verify(
        header in headers(), payload in payloads(), place in any::<prop::sample::Index>(),
    ) {
        let keys = keys(1, None);
        let mut datagram = encode(&header, &payload, &keys);
        let truncated = Header::decode(&datagram[..place.index(HEADER_LEN_BYTES)], &keys);
        let is_truncated = matches!(truncated, Err(Error::Truncated { .. }));
        prop_assert!(is_truncated);
        let carries_quic = matches!(
            header.kind,
            DatagramKind::Forward
                | DatagramKind::Return
                | DatagramKind::ForwardFirstPacket
                | DatagramKind::RefuseFirstPacket
        );
        if !carries_quic {
            prop_assert!(payload.is_empty()
                || Header::decode(&datagram[..datagram.len() - 1], &keys).is_err());
            datagram.push(0);
            prop_assert!(Header::decode(&datagram, &keys).is_err());
        }
    }

    /// Guards against a panic on arbitrary bytes, also after a valid magic number and version.
    #[test]
    fn arbitrary_bytes_are_refused(
        mut bytes in prop::collection::vec(any::<u8>(), 0..80), kind in 0..16_u8,
    ) {
        let keys = keys(1, Some(2));
        prop_assert!(Header::decode(&bytes, &keys).is_err());
        if let [magic, version, generation, ..] = &mut *bytes {
            (*magic, *version, *generation) = (0xc7, 0x10 | kind, 1);
            prop_assert!(Header::decode(&bytes, &keys).is_err());
        }
    }
}
