//! Loopback addresses for the VMs of a deployment.

use std::net::{Ipv4Addr, UdpSocket};

use rand::RngExt;

/// The port of the socket that reserves a subnet. No other socket binds it.
const RESERVATION_PORT: u16 = 19_999;

/// The host number of the socket that reserves a subnet. VMs have lower ones.
const RESERVATION_HOST: u8 = 254;

/// A reserved /24 subnet of loopback, which no other deployment on this machine uses concurrently.
#[derive(Debug)]
pub struct Subnet {
    middle_octets: [u8; 2],
    next_host: u8,
    // Its drop releases the subnet.
    _reservation: UdpSocket,
}

impl Subnet {
    /// Reserves a free subnet, which is released on drop.
    pub fn claim() -> Self {
        loop {
            // 127.0.0.0/16 is left to other services of the machine.
            let middle_octets = [rand::rng().random_range(1..255), rand::rng().random()];
            let address = Ipv4Addr::new(127, middle_octets[0], middle_octets[1], RESERVATION_HOST);
            if let Ok(reservation) = UdpSocket::bind((address, RESERVATION_PORT)) {
                return Self {
                    middle_octets,
                    next_host: 1,
                    _reservation: reservation,
                };
            }
        }
    }

    /// Returns the next unused IP. A subnet has 253 of them.
    pub fn next_ip(&mut self) -> Ipv4Addr {
        let [second, third] = self.middle_octets;
        let ip = Ipv4Addr::new(127, second, third, self.next_host);
        self.next_host = self.next_host.wrapping_add(1);
        ip
    }
}
