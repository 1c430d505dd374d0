//! Flow keys and the header fields of packets that forwarding depends on.

use std::hash::Hasher;
use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

/// The pair of addresses that identifies a flow.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{caller}>{service_address}")]
pub struct FlowKey {
    /// The address and port of the caller.
    pub caller: SocketAddrV4,
    /// The address and port that the caller sends to, which a route maps to a service.
    pub service_address: SocketAddrV4,
}

impl FlowKey {
    /// Hashes the flow with fixed keys, so that all agents and balancers compute the same value.
    pub(crate) fn stable_hash(&self) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(0, 0);
        for address in [self.caller, self.service_address] {
            hasher.write(&address.ip().octets());
            hasher.write(&address.port().to_be_bytes());
        }
        hasher.finish()
    }

    /// Returns the hash of the flow as a fraction from 0 to 1, which is the same at all balancers.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a fraction with 53 significant bits is precise enough"
    )]
    pub(crate) fn hash_fraction(&self) -> f64 {
        self.stable_hash() as f64 / u64::MAX as f64
    }
}

/// The set of flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PacketFlags(u8);

impl PacketFlags {
    /// Asks to open a flow.
    pub const SYN: Self = Self(1);
    /// The acknowledgement number is valid.
    pub const ACK: Self = Self(2);
    /// The sender sends no more data.
    pub const FIN: Self = Self(4);
    /// Resets the flow.
    pub const RST: Self = Self(8);
    /// Set on a caller's packet that the backend server sends back because it does not hold the flow.
    pub const BOUNCED: Self = Self(16);

    /// Returns the union of both sets.
    #[must_use]
    pub const fn with(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns whether all flags of `other` are set.
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

/// The header fields of a packet that forwarding depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHeader {
    /// The address and port of the sender.
    pub source: SocketAddrV4,
    /// The address and port of the receiver.
    pub destination: SocketAddrV4,
    /// The flags, including [`PacketFlags::BOUNCED`].
    pub flags: PacketFlags,
    /// The sequence number of the first payload byte; wraps around at 2^32.
    pub seq_number: u32,
    /// The acknowledgement number. In a SYN it counts the earlier transmissions of the same SYN.
    pub ack_number: u32,
    /// The length of the payload in bytes.
    pub payload_len_bytes: u16,
}

impl PacketHeader {
    /// Returns the flow of a packet that a caller sent.
    pub const fn flow_from_caller(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            service_address: self.destination,
        }
    }

    /// Returns the flow of a packet that a backend server sent.
    pub const fn flow_from_target(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            service_address: self.source,
        }
    }

    /// Returns whether the packet is a SYN without ACK, which asks to open a flow.
    pub const fn is_syn(&self) -> bool {
        self.flags.contains(PacketFlags::SYN) && !self.flags.contains(PacketFlags::ACK)
    }

    /// Returns whether the packet is a SYN-ACK, with which a target accepts a flow.
    pub const fn is_syn_ack(&self) -> bool {
        self.flags.contains(PacketFlags::SYN.with(PacketFlags::ACK))
    }

    /// Returns the sequence number after the payload.
    pub(super) const fn next_seq(&self) -> u32 {
        self.seq_number.wrapping_add(self.payload_len_bytes as u32)
    }
}

/// A reset that a balancer or an agent sends to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// The flow to reset.
    pub flow: FlowKey,
    /// The sequence number; callers ignore a reset whose number is far from their last
    /// acknowledgement number.
    pub seq_number: u32,
}

impl Reset {
    /// Returns the reset that answers a caller's packet, with a sequence number that the caller
    /// accepts: the packet's acknowledgement number, or 0 for a SYN.
    pub const fn in_reply_to(header: &PacketHeader) -> Self {
        Self {
            flow: header.flow_from_caller(),
            seq_number: if header.is_syn() {
                0
            } else {
                header.ack_number
            },
        }
    }
}
