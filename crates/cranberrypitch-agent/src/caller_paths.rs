//! The service address that each caller sends to, which is the source address of replies.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use cranberrypitch_core::FastMap;

/// Entries that have been idle for longer may be evicted. The idle timeout of connections is
/// shorter, so no open connection loses its entry.
const ENTRY_IDLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Limits the memory that datagrams with spoofed caller addresses can occupy.
const MAX_ENTRIES: usize = 65_536;

/// A caller's address and the service IP address; QUIC identifies a network path by both.
type NetworkPath = (SocketAddrV4, Ipv4Addr);

#[derive(Debug)]
struct Entry {
    service_address: SocketAddrV4,
    last_datagram_at: Instant,
}

/// The table of callers' network paths.
#[derive(Debug, Default)]
pub(crate) struct CallerPaths {
    entries: Mutex<FastMap<NetworkPath, Entry>>,
}

impl CallerPaths {
    /// Records a datagram from a caller. Returns false if the table is full and no entry is idle.
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

    /// Returns the service address that the caller sends to on this path.
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
