//! Reading of the packets of callers, with what is known of their arrival.

use std::time::Duration;

use cranberrypitch_core::flow::Arrival;
use tokio::net::UdpSocket;

use super::Balancer;
use crate::io::sockets::{MAX_BATCH_DATAGRAMS, receive, receive_unpolled};
use crate::log;
use crate::platform::Platform;

/// The time without packets of callers after which their socket is checked.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl<P: Platform> Balancer<P> {
    /// Reads packets of callers from a socket that is readable. Returns whether there were any.
    pub(super) fn read_callers(&mut self, socket: &UdpSocket) -> bool {
        self.read_packets(MAX_BATCH_DATAGRAMS, |buffer| {
            receive(socket, buffer).map(|(packet, _)| packet)
        })
    }

    /// Learns whether the socket of callers is empty, which the runtime knows as of its last poll only. Reads a packet if
    /// there is one; the others are left to the next poll. Returns whether there was one.
    pub(super) fn check_callers(&mut self, socket: &UdpSocket) -> bool {
        self.read_packets(1, |buffer| receive_unpolled(socket, buffer))
    }

    /// Reads up to `max_packets` packets of callers. Returns whether there were any.
    fn read_packets(
        &mut self,
        max_packets: usize,
        receive: impl for<'a> Fn(&'a mut [u8]) -> Option<&'a [u8]>,
    ) -> bool {
        let mut now = self.clock.now();
        let mut has_packets = false;
        let mut buffer = std::mem::take(&mut self.buffer);
        self.arrivals.on_turn(now);
        for _ in 0..max_packets {
            let Some(packet) = receive(&mut buffer) else {
                self.arrivals.on_empty(now);
                break;
            };
            has_packets = true;
            // The process may have stood still since the last packet.
            now = self.clock.now();
            self.arrivals.on_turn(now);
            self.on_packet(packet, self.arrivals.arrival(now));
        }
        self.buffer = buffer;
        has_packets
    }

    pub(super) fn is_caller_check_due(&self) -> bool {
        self.arrivals.idle_time(self.clock.now()) >= CALLER_CHECK_INTERVAL
    }

    pub(super) fn on_packet(&mut self, packet: &[u8], arrival: Arrival) {
        match P::parse_header(packet) {
            Ok(header) => {
                let actions = self.dispatcher.on_packet(&header, packet, arrival);
                self.executor.execute::<P>(actions, arrival.read_at());
            }
            Err(error) => {
                tracing::debug!(target: log::TARGET, %error, "malformed packet of a caller dropped");
            }
        }
    }
}
