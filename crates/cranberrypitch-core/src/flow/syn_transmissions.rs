//! Which transmissions of a SYN a balancer has got.
//!
//! A caller sends its SYN up to three times, and the routers may send each transmission to another balancer, which
//! may open the flow with it. So that a flow is not open is only known while no transmission can have gone
//! elsewhere.

use std::time::{Duration, Instant};

use super::arrival::Arrival;
use super::packet::PacketHeader;

/// The times after the first transmission of a SYN at which its caller sends it again.
const COPY_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// The difference in the time that two packets of a caller may take to a balancer, by which a copy counts as sent
/// earlier.
const MAX_TRANSIT_DIFFERENCE: Duration = Duration::from_millis(50);

/// The transmissions of a SYN that a balancer has got, from the first one on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SynTransmissions {
    /// The earliest time at which the first one can have arrived.
    first_at: Instant,
    /// The number of transmissions that arrived without a gap.
    count: u32,
}

impl SynTransmissions {
    /// Returns the transmissions up to the first one. Returns nothing for any other packet.
    pub(super) fn first(header: &PacketHeader, arrival: Arrival) -> Option<Self> {
        let is_first = header.is_syn() && header.ack_number == 0;
        is_first.then_some(Self {
            first_at: arrival.earliest(),
            count: 1,
        })
    }

    /// Adds a copy of the SYN, which has the number of earlier transmissions in its acknowledgement number.
    pub(super) const fn add(&mut self, copy: &PacketHeader) {
        if copy.ack_number == self.count {
            self.count += 1;
        }
    }

    /// Returns whether no transmission can have gone to another balancer so far.
    pub(super) fn are_all_known(self, now: Instant) -> bool {
        let next = usize::try_from(self.count - 1).unwrap_or(COPY_DELAYS.len());
        let elapsed = now.saturating_duration_since(self.first_at);
        COPY_DELAYS
            .get(next)
            .is_none_or(|delay| elapsed + MAX_TRANSIT_DIFFERENCE < *delay)
    }
}
