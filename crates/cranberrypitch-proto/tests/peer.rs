//! Tests of the messages between agents.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use cranberrypitch_core::Reservation;
use cranberrypitch_proto::peer::{MAX_PEER_MESSAGE_BYTES, PeerMessage};
use proptest::prelude::*;

fn message() -> impl Strategy<Value = PeerMessage> {
    let offer = (any::<u32>(), any::<u16>(), any::<[u8; 20]>(), any::<u64>()).prop_map(
        |(ip, port, token, serial)| {
            PeerMessage::Offer(Reservation {
                agent: SocketAddrV4::new(Ipv4Addr::from_bits(ip), port),
                token,
                serial,
            })
        },
    );
    prop_oneof![
        (any::<u32>(), any::<u32>()).prop_map(|(count, ms)| PeerMessage::WaitingRequests {
            count,
            oldest_wait: Duration::from_millis(u64::from(ms)),
        }),
        offer,
        any::<u64>().prop_map(|serial| PeerMessage::Decline { serial }),
    ]
}

proptest! {
    /// Guards against messages that change on the way or exceed the limit of the decoder.
    #[test]
    fn messages_survive_the_wire(message in message()) {
        let bytes = message.encode().expect("a valid message");
        prop_assert!(bytes.len() <= MAX_PEER_MESSAGE_BYTES);
        prop_assert_eq!(PeerMessage::decode(&bytes), Ok(message));
    }

    /// Guards against a decoder that panics on hostile input.
    #[test]
    fn any_bytes_decode_or_fail(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let decoded = PeerMessage::decode(&bytes);
        prop_assert!(bytes.len() <= MAX_PEER_MESSAGE_BYTES || decoded.is_err());
    }
}
