//! A bounded table of recently received first packets.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::Candidate;
use crate::collections::FastMap;
use crate::ids::Incarnation;

const MAX_ID_LEN_BYTES: usize = 20;

/// The destination connection id of a caller's first packet, which the caller chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InitialId {
    len_bytes: u8,
    bytes: [u8; MAX_ID_LEN_BYTES],
}

impl InitialId {
    /// Returns the id, or `None` if it is longer than the 20 bytes that QUIC version 1 allows.
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

/// The target to which a recent first packet was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentInitial {
    pub(crate) target: SocketAddrV4,
    pub(crate) incarnation: Incarnation,
    pub(crate) placed_at: Instant,
}

/// The recent first packets by connection id, limited in number and age.
#[derive(Debug)]
pub(crate) struct RecentInitials {
    max_len: usize,
    lifetime: Duration,
    by_id: FastMap<InitialId, RecentInitial>,
    by_age: VecDeque<(Instant, InitialId)>,
}

impl RecentInitials {
    pub(crate) fn new(max_len: usize, lifetime: Duration) -> Self {
        Self {
            max_len,
            lifetime,
            by_id: FastMap::default(),
            by_age: VecDeque::new(),
        }
    }

    pub(crate) fn get(&self, id: InitialId, now: Instant) -> Option<RecentInitial> {
        let recent = *self.by_id.get(&id)?;
        let age = now.saturating_duration_since(recent.placed_at);
        (age < self.lifetime).then_some(recent)
    }

    pub(crate) fn insert(&mut self, id: InitialId, target: &Candidate, now: Instant) {
        self.evict(now);
        let recent = RecentInitial {
            target: target.address,
            incarnation: target.incarnation,
            placed_at: now,
        };
        self.by_id.insert(id, recent);
        self.by_age.push_back((now, id));
    }

    /// Removes entries that have expired or exceed the limit. An id that was placed again occurs
    /// twice in `by_age`, and only the later occurrence is valid.
    fn evict(&mut self, now: Instant) {
        while let Some(&(placed_at, id)) = self.by_age.front() {
            let is_expired = now.saturating_duration_since(placed_at) >= self.lifetime;
            if !is_expired && self.by_age.len() < self.max_len {
                return;
            }
            self.by_age.pop_front();
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
