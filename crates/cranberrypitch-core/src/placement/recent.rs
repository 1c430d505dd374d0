//! A bounded table of recent first packets.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::Candidate;
use crate::collections::FastMap;
use crate::ids::Incarnation;

const MAX_ID_LEN_BYTES: usize = 20;

/// The connection id that a caller chose for its first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InitialId {
    len_bytes: u8,
    bytes: [u8; MAX_ID_LEN_BYTES],
}

impl InitialId {
    /// Returns the id, or nothing when it is longer than QUIC version 1 allows.
    pub fn try_new(id: &[u8]) -> Option<Self> {
        let mut bytes = [0; MAX_ID_LEN_BYTES];
        bytes.get_mut(..id.len())?.copy_from_slice(id);
        Some(Self {
            len_bytes: u8::try_from(id.len()).ok()?,
            bytes,
        })
    }

    /// Returns the bytes of the id.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len_bytes)]
    }
}

/// Where a recent first packet went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Recent {
    pub(crate) target: SocketAddrV4,
    pub(crate) incarnation: Incarnation,
    pub(crate) placed_at: Instant,
}

#[derive(Debug)]
pub(crate) struct RecentInitials {
    max: usize,
    keep_for: Duration,
    by_id: FastMap<InitialId, Recent>,
    in_order: VecDeque<(Instant, InitialId)>,
}

impl RecentInitials {
    pub(crate) fn new(max: usize, keep_for: Duration) -> Self {
        Self {
            max,
            keep_for,
            by_id: FastMap::default(),
            in_order: VecDeque::new(),
        }
    }

    pub(crate) fn get(&self, id: InitialId, now: Instant) -> Option<Recent> {
        let recent = *self.by_id.get(&id)?;
        let age = now.saturating_duration_since(recent.placed_at);
        (age < self.keep_for).then_some(recent)
    }

    pub(crate) fn insert(&mut self, id: InitialId, target: &Candidate, now: Instant) {
        self.evict(now);
        let recent = Recent {
            target: target.address,
            incarnation: target.incarnation,
            placed_at: now,
        };
        self.by_id.insert(id, recent);
        self.in_order.push_back((now, id));
    }

    /// Drops what is too old or over the limit. An id that was placed again has two places in the
    /// order, and only the later one counts.
    fn evict(&mut self, now: Instant) {
        while let Some(&(placed_at, id)) = self.in_order.front() {
            let is_old = now.saturating_duration_since(placed_at) >= self.keep_for;
            if !is_old && self.in_order.len() < self.max {
                return;
            }
            self.in_order.pop_front();
            if self
                .by_id
                .get(&id)
                .is_some_and(|r| r.placed_at == placed_at)
            {
                self.by_id.remove(&id);
            }
        }
    }
}
