//! Buffers for packets that a balancer can't forward yet.

use crate::flow::arrival::Arrival;

/// The packets of one flow that wait for its agent or its route; a sender has at most 16 in flight.
pub(super) type FlowPacketBuffer = PacketBuffer<16>;

/// A packet that was kept in a buffer, with its arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferedPacket {
    /// The packet as it arrived.
    pub packet: Box<[u8]>,
    /// The arrival of the packet, or of the first one that was kept for its flow.
    pub arrival: Arrival,
}

/// Buffers up to `CAPACITY` packets.
#[derive(Debug, Default)]
pub(super) struct PacketBuffer<const CAPACITY: usize>(Vec<Box<[u8]>>);

/// The number of packets that are kept until the first configuration and agent list are applied, about half a second
/// of traffic at a busy balancer.
const MAX_EARLY_PACKETS: usize = 512;

/// The packets that arrive before the first configuration and agent list are applied. Routers may send packets to a
/// balancer before it is ready, and a caller retransmits a lost SYN only after 200 ms.
#[derive(Debug, Default)]
pub(super) struct EarlyPacketBuffer(Vec<BufferedPacket>);

impl EarlyPacketBuffer {
    /// Adds a packet. Returns false if the buffer is full.
    pub(super) fn push(&mut self, packet: &[u8], arrival: Arrival) -> bool {
        let has_capacity = self.0.len() < MAX_EARLY_PACKETS;
        if has_capacity {
            let packet = packet.into();
            self.0.push(BufferedPacket { packet, arrival });
        }
        has_capacity
    }

    pub(super) fn take(&mut self) -> Vec<BufferedPacket> {
        std::mem::take(&mut self.0)
    }
}

impl<const CAPACITY: usize> PacketBuffer<CAPACITY> {
    fn push(&mut self, packet: &[u8]) -> bool {
        let has_capacity = self.0.len() < CAPACITY;
        if has_capacity {
            self.0.push(packet.into());
        }
        has_capacity
    }

    /// Adds a packet unless the buffer contains it, as several agents may return the same packet. Returns
    /// false if the buffer is full.
    pub(super) fn push_distinct(&mut self, packet: &[u8]) -> bool {
        self.0.iter().any(|buffered| **buffered == *packet) || self.push(packet)
    }

    pub(super) fn take(&mut self) -> Vec<Box<[u8]>> {
        std::mem::take(&mut self.0)
    }
}
