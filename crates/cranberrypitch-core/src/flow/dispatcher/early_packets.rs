//! A buffer for packets that arrive before a balancer has its configuration and agent list.

/// The capacity of the buffer, about half a second of traffic at a busy balancer.
const MAX_PACKETS: usize = 512;

/// Buffers packets until the first configuration and agent list are applied. Routers may send packets
/// to a balancer before it is ready, and a caller retransmits a lost SYN only after 200 ms.
#[derive(Debug, Default)]
pub(super) struct EarlyPacketBuffer(Vec<Box<[u8]>>);

impl EarlyPacketBuffer {
    /// Buffers a packet. Returns false if the buffer is full.
    pub(super) fn push(&mut self, packet: &[u8]) -> bool {
        let has_capacity = self.0.len() < MAX_PACKETS;
        if has_capacity {
            self.0.push(packet.into());
        }
        has_capacity
    }

    pub(super) fn take(&mut self) -> Vec<Box<[u8]>> {
        std::mem::take(&mut self.0)
    }
}
