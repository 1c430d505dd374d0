//! Tests that connection ids and tickets verify only if an agent has issued them, and as long as
//! their key is in use.

use std::net::{Ipv4Addr, SocketAddrV4};

use cranberrypitch_core::orders::Ticket;
use cranberrypitch_core::token::{CheckKey, MAX_NONCE, NonceSequence, TOKEN_LEN_BYTES};
use cranberrypitch_core::{Error, Incarnation, KeyGeneration, RoutingToken, ServiceTag, TokenKeys};
use proptest::prelude::*;

fn key(generation: u8) -> CheckKey {
    CheckKey::new(KeyGeneration::new(generation), [generation + 1; 16])
}

fn keys(current: u8, other: Option<u8>) -> TokenKeys {
    TokenKeys::new(key(current), other.map(key))
}

fn addresses() -> impl Strategy<Value = SocketAddrV4> {
    (any::<u32>(), any::<u16>())
        .prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}

fn tokens() -> impl Strategy<Value = RoutingToken> {
    let fields = (addresses(), any::<u32>(), any::<u64>(), 0..=MAX_NONCE);
    fields.prop_map(|(agent, tag, incarnation, nonce)| {
        let incarnation = Incarnation::new(incarnation);
        RoutingToken::new(agent, ServiceTag::new(tag), incarnation, nonce)
    })
}

proptest! {
    /// Guards against a token that differs after decoding, or that is invalid after a change of keys.
    #[test]
    fn tokens_survive_a_key_change(token in tokens(), generation in 0..15_u8) {
        let id = token.encode(&keys(generation, None));
        for token_keys in [keys(generation, None), keys(generation + 1, Some(generation))] {
            prop_assert_eq!(RoutingToken::decode(&id, &token_keys), Ok(token));
        }
        let dropped = RoutingToken::decode(&id, &keys(generation + 1, None));
        prop_assert_eq!(dropped, Err(Error::UnknownKeyGeneration { generation }));
    }

    /// Guards against a token that verifies after a change of any byte, including the check value.
    #[test]
    fn changed_tokens_never_verify(
        token in tokens(),
        position in 0..TOKEN_LEN_BYTES,
        change in 1..=u8::MAX,
    ) {
        let keys = keys(1, Some(2));
        let mut id = token.encode(&keys);
        id[position] ^= change;
        prop_assert!(RoutingToken::decode(&id, &keys).is_err());
    }

    /// Guards against a token that verifies with another secret of the same generation.
    #[test]
    fn tokens_of_another_secret_never_verify(token in tokens(), secret in any::<[u8; 16]>()) {
        let generation = KeyGeneration::new(3);
        prop_assume!(secret != [4; 16]);
        let id = token.encode(&TokenKeys::new(CheckKey::new(generation, secret), None));
        prop_assert_eq!(RoutingToken::decode(&id, &keys(3, None)), Err(Error::CheckMismatch));
    }

    /// Guards against a panic on arbitrary ids, and against accepting an id of another length.
    #[test]
    fn arbitrary_ids_are_refused(id in prop::collection::vec(any::<u8>(), 0..40)) {
        let error = RoutingToken::decode(&id, &keys(1, Some(2))).unwrap_err();
        let len_bytes = id.len();
        let wrong_length = error == Error::TokenLength { len_bytes };
        prop_assert_eq!(wrong_length, len_bytes != TOKEN_LEN_BYTES);
    }

    /// Guards against a ticket that is invalid after a change of keys, or valid without its key.
    #[test]
    fn tickets_survive_a_key_change(
        agent in addresses(), incarnation in any::<u64>(), serial in any::<u64>(),
    ) {
        let ticket = Ticket::sign(agent, Incarnation::new(incarnation), serial, &keys(1, None));
        prop_assert!(ticket.verifies(&keys(1, None)));
        prop_assert!(ticket.verifies(&keys(2, Some(1))));
        prop_assert!(!ticket.verifies(&keys(2, Some(3))));
        let json = serde_json::to_vec(&ticket).expect("it encodes");
        prop_assert_eq!(serde_json::from_slice::<Ticket>(&json).expect("it decodes"), ticket);
    }

    /// Guards against running an order twice by means of a modified ticket.
    #[test]
    fn changed_tickets_never_verify(
        agent in addresses(),
        incarnation in any::<u64>(),
        serial in any::<u64>(),
        bit in 0..240_u32,
    ) {
        let keys = keys(1, Some(2));
        let signed = Ticket::sign(agent, Incarnation::new(incarnation), serial, &keys);
        let mut ticket = signed;
        match bit {
            0..32 => ticket.agent.set_ip(Ipv4Addr::from_bits(agent.ip().to_bits() ^ (1 << bit))),
            32..48 => ticket.agent.set_port(agent.port() ^ (1 << (bit - 32))),
            48..112 => ticket.incarnation = Incarnation::new(incarnation ^ (1 << (bit - 48))),
            112..176 => ticket.serial ^= 1 << (bit - 112),
            _ => ticket.check ^= 1 << (bit - 176),
        }
        prop_assert!(!ticket.verifies(&keys));
    }
}

/// Guards against issuing a connection id that a connection still uses: the next caller with this id
/// would never receive an answer.
#[test]
fn nonces_of_an_agent_repeat_only_after_all_were_used() {
    let nonces = NonceSequence::new(u32::MAX - 1000);
    let mut used = vec![false; MAX_NONCE as usize + 1];
    for _ in 0..=MAX_NONCE {
        let nonce = nonces.next() as usize;
        assert!(!used[nonce], "nonce {nonce} was issued twice");
        used[nonce] = true;
    }
}
