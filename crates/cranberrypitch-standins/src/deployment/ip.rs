//! Loopback addresses for the VMs of one deployment.

use std::net::{Ipv4Addr, UdpSocket};

use rand::RngExt;

/// A port that nothing else binds. A socket on it marks a subnet as taken.
const CLAIM_PORT: u16 = 19_999;

/// The host number of the claim; VMs have lower ones.
const CLAIM_HOST: u8 = 254;

/// A /24 subnet of loopback that no other deployment on this machine uses at the same time.
#[derive(Debug)]
pub struct Subnet {
    middle: [u8; 2],
    next_host: u8,
    // Kept for its drop, which frees the subnet.
    _claim: UdpSocket,
}

impl Subnet {
    /// Claims a free subnet.
    pub fn claim() -> Self {
        loop {
            // 127.0.0.0/16 is left to services of the machine.
            let middle = [rand::rng().random_range(1..255), rand::rng().random()];
            let address = Ipv4Addr::new(127, middle[0], middle[1], CLAIM_HOST);
            if let Ok(claim) = UdpSocket::bind((address, CLAIM_PORT)) {
                return Self {
                    middle,
                    next_host: 1,
                    _claim: claim,
                };
            }
        }
    }

    /// Returns an IP that has not been handed out.
    pub fn next_ip(&mut self) -> Ipv4Addr {
        let [second, third] = self.middle;
        let ip = Ipv4Addr::new(127, second, third, self.next_host);
        self.next_host = self.next_host.wrapping_add(1);
        ip
    }
}
