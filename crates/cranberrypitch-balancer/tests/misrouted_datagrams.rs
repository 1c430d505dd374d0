//! Routing of caller datagrams: only a valid routing token leads to an agent, and only a complete Initial
//! packet is placed.

use std::net::{Ipv4Addr, SocketAddrV4};

use cranberrypitch_balancer::DropReason;
use cranberrypitch_balancer::route::{Route, route};
use cranberrypitch_core::token::{CheckKey, MAX_NONCE, TOKEN_LEN_BYTES};
use cranberrypitch_core::{Incarnation, KeyGeneration, RoutingToken, ServiceTag, TokenKeys};
use proptest::prelude::*;

const INITIAL: u8 = 0xc0;
const HANDSHAKE: u8 = 0xe0;

fn key(generation: u8) -> CheckKey {
    CheckKey::new(KeyGeneration::new(generation), [generation + 1; 16])
}

fn keys(current: u8, other: Option<u8>) -> TokenKeys {
    TokenKeys::new(key(current), other.map(key))
}

fn tokens() -> impl Strategy<Value = RoutingToken> {
    let fields = (any::<(u32, u16, u32, u64)>(), 0..=MAX_NONCE);
    fields.prop_map(|((ip, port, tag, incarnation), nonce)| {
        let agent = SocketAddrV4::new(Ipv4Addr::from_bits(ip), port);
        let incarnation = Incarnation::new(incarnation);
        RoutingToken::new(agent, ServiceTag::new(tag), incarnation, nonce)
    })
}

fn long_header(first: u8, version: u32, id: &[u8], len: usize) -> Vec<u8> {
    let mut datagram = vec![first];
    datagram.extend_from_slice(&version.to_be_bytes());
    datagram.push(u8::try_from(id.len()).expect("a short id"));
    datagram.extend_from_slice(id);
    datagram.resize(len.max(datagram.len()), 0);
    datagram
}

fn short_header(id: &[u8]) -> Vec<u8> {
    [&[0x40], id, &[0; 30]].concat()
}

proptest! {
    /// Guards against a packet of an established flow that is not routed to its agent, whichever key
    /// generation signed its connection id.
    #[test]
    fn established_flows_reach_their_agent(token in tokens()) {
        let expected = Route::Agent {
            agent: token.agent,
            service: token.service,
            incarnation_low: token.incarnation_low,
        };
        let id = token.encode(&keys(1, None));
        let initial = long_header(INITIAL, 1, &id, 1200);
        for datagram in [short_header(&id), long_header(HANDSHAKE, 1, &id, 60), initial] {
            prop_assert_eq!(route(&datagram, &keys(1, None)), Ok(expected));
            prop_assert_eq!(route(&datagram, &keys(2, Some(1))), Ok(expected));
        }
        let unknown = route(&short_header(&id), &keys(2, Some(3))).map(|_| ());
        prop_assert_eq!(unknown, Err(DropReason::InvalidToken));
    }

    /// Guards against a modified connection id that leads to an agent. Only an Initial packet with one may
    /// be placed.
    #[test]
    fn changed_ids_reach_no_agent(
        token in tokens(), place in 0..TOKEN_LEN_BYTES, change in 1..=u8::MAX,
    ) {
        let keys = keys(1, Some(2));
        let mut id = token.encode(&keys);
        id[place] ^= change;
        for datagram in [short_header(&id), long_header(HANDSHAKE, 1, &id, 1200)] {
            prop_assert_eq!(route(&datagram, &keys), Err(DropReason::InvalidToken));
        }
        let initial = long_header(INITIAL, 1, &id, 1200);
        prop_assert_eq!(route(&initial, &keys), Ok(Route::NewFlow { connection_id: &id }));
    }

    /// Guards against placement of an Initial packet that a server may discard by RFC 9000, or of
    /// another QUIC version.
    #[test]
    fn only_full_initials_are_placed(
        id in prop::collection::vec(any::<u8>(), 0..=20), len in 1100..1300_usize, version: u32,
    ) {
        let keys = keys(1, None);
        let datagram = long_header(INITIAL, 1, &id, len);
        let expected = if len >= 1200 && id.len() >= 8 {
            Ok(Route::NewFlow { connection_id: &id })
        } else {
            Err(DropReason::ShortInitial)
        };
        prop_assert_eq!(route(&datagram, &keys), expected);
        prop_assume!(version != 1);
        let datagram = long_header(INITIAL, version, &id, len);
        prop_assert_eq!(route(&datagram, &keys), Err(DropReason::UnknownVersion));
    }

    /// Guards against a panic or a route for arbitrary bytes and truncated datagrams.
    #[test]
    fn arbitrary_bytes_reach_no_agent(
        mut bytes in prop::collection::vec(any::<u8>(), 0..80), first: u8,
    ) {
        let keys = keys(1, Some(2));
        prop_assert!(route(&bytes, &keys).is_err());
        if bytes.len() > 5 {
            bytes[..5].copy_from_slice(&[first | 0x80, 0, 0, 0, 1]);
            prop_assert!(route(&bytes, &keys).is_err());
        }
    }
}
