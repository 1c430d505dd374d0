//! The parts of a packet that decisions depend on.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{caller}>{service_address}")]
pub struct FlowKey {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The address and port of the route that the caller sends to.
    pub service_address: SocketAddrV4,
}

/// The flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PacketFlags(u8);

impl PacketFlags {
    /// Opens a flow.
    pub const SYN: Self = Self(1);
    /// The acknowledgement field is valid.
    pub const ACK: Self = Self(2);
    /// The sender has sent all its bytes.
    pub const FIN: Self = Self(4);
    /// Ends the flow at once.
    pub const RST: Self = Self(8);
    /// The backend server returned the packet because it does not hold the flow.
    pub const BOUNCED: Self = Self(16);

    /// Returns these flags with others added.
    #[must_use]
    pub const fn with(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns whether all flags of `other` are set.
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

/// The fields of a packet that decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHeader {
    /// The end that sent the packet.
    pub source: SocketAddrV4,
    /// The end that the packet is meant for.
    pub destination: SocketAddrV4,
    /// The flags.
    pub flags: PacketFlags,
    /// The sequence number.
    pub seq_number: u32,
    /// The acknowledged sequence number; in an opening packet, the number of earlier copies.
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

    /// Returns whether the packet asks to open a flow.
    pub const fn is_syn(&self) -> bool {
        self.flags.contains(PacketFlags::SYN) && !self.flags.contains(PacketFlags::ACK)
    }

    /// Returns whether the packet accepts the opening of a flow.
    pub const fn is_syn_ack(&self) -> bool {
        self.flags.contains(PacketFlags::SYN.with(PacketFlags::ACK))
    }
}

/// A reset that the system sends to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// The flow that ends.
    pub flow: FlowKey,
    /// The sequence number; a caller ignores one that is far from what it acknowledged last.
    pub seq_number: u32,
}

impl Reset {
    /// Returns the reset that answers a caller's packet.
    pub const fn in_reply_to(head: &PacketHeader) -> Self {
        Self {
            flow: head.flow_from_caller(),
            seq_number: if head.is_syn() { 0 } else { head.ack_number },
        }
    }
}
