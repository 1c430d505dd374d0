//! Round trips of the messages between agents, and decoding of arbitrary bytes.

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
    /// Guards against messages that differ after encoding and decoding, or exceed the limit of the
    /// decoder.
    #[test]
    fn messages_round_trip(message in message()) {
        let bytes = message.encode().expect("a valid message");
        prop_assert!(bytes.len() <= MAX_PEER_MESSAGE_BYTES);
        prop_assert_eq!(PeerMessage::decode(&bytes), Ok(message));
    }

    /// Guards against a decoder that panics on arbitrary bytes or accepts oversized messages.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let decoded = PeerMessage::decode(&bytes);
        prop_assert!(bytes.len() <= MAX_PEER_MESSAGE_BYTES || decoded.is_err());
    }
}
