//! Which service address each caller has dialled, so that answers come from that address.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;

/// Entries that have been idle for longer may be dropped: no connection outlives it, as its idle
/// timeout is shorter.
const ENTRY_IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Bounds the memory that spoofed caller addresses can take.
const MAX_ENTRIES: usize = 65_536;

/// A caller's address together with the IP that it dialled, as QUIC tells paths apart.
type NetworkPath = (SocketAddrV4, Ipv4Addr);

#[derive(Debug)]
struct Entry {
    service_address: SocketAddrV4,
    last_datagram_at: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct CallerPaths {
    entries: Mutex<FastMap<NetworkPath, Entry>>,
}

impl CallerPaths {
    /// Notes a datagram of a caller. Returns false when the table is full of live entries.
    pub(crate) fn record(
        &self,
        caller: SocketAddrV4,
        service_address: SocketAddrV4,
        now: Instant,
    ) -> bool {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let path = (caller, *service_address.ip());
        if let Some(entry) = entries.get_mut(&path) {
            *entry = Entry {
                service_address,
                last_datagram_at: now,
            };
            return true;
        }
        if entries.len() >= MAX_ENTRIES {
            entries.retain(|_, e| {
                now.saturating_duration_since(e.last_datagram_at) < ENTRY_IDLE_TIMEOUT
            });
        }
        if entries.len() >= MAX_ENTRIES {
            return false;
        }
        entries.insert(
            path,
            Entry {
                service_address,
                last_datagram_at: now,
            },
        );
        true
    }

    /// Returns the address that the caller dialled.
    pub(crate) fn service_address(
        &self,
        caller: SocketAddrV4,
        service_ip: Option<Ipv4Addr>,
    ) -> Option<SocketAddrV4> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries
            .get(&(caller, service_ip?))
            .map(|e| e.service_address)
    }
}
