//! Packets that arrive before a balancer knows routes and agents.

/// Packets that are held at most, about half a second of a busy balancer.
const MAX_PACKETS: usize = 512;

/// Packets that wait for the first configuration and list of agents. Routers may use a balancer
/// before it is ready, and a caller repeats a lost opening packet only after 200 ms.
#[derive(Debug, Default)]
pub(super) struct EarlyPackets(Vec<Box<[u8]>>);

impl EarlyPackets {
    /// Holds a packet. Returns whether there was room.
    pub(super) fn hold(&mut self, packet: &[u8]) -> bool {
        let has_room = self.0.len() < MAX_PACKETS;
        if has_room {
            self.0.push(packet.into());
        }
        has_room
    }

    pub(super) fn take(&mut self) -> Vec<Box<[u8]>> {
        std::mem::take(&mut self.0)
    }
}
