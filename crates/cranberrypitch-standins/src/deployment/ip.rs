//! Loopback addresses for the VMs of one deployment.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};

/// The next subnet of this process.
static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

/// A /24 subnet of loopback. The process id and a counter keep deployments apart.
#[derive(Debug)]
pub struct Subnet {
    process: u8,
    number: u8,
    next_host: u8,
}

impl Subnet {
    /// Claims the next subnet of this process.
    pub fn claim() -> Self {
        const FIRST: u32 = 16;
        const COUNT: u32 = 200;
        let process = u8::try_from(FIRST + std::process::id() % COUNT).unwrap_or(u8::MAX);
        let number = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        Self {
            process,
            number,
            next_host: 1,
        }
    }

    /// Returns an IP that has not been handed out.
    pub fn next_ip(&mut self) -> Ipv4Addr {
        let ip = Ipv4Addr::new(127, self.process, self.number, self.next_host);
        self.next_host = self.next_host.wrapping_add(1);
        ip
    }
}
