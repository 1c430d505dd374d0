//! One queue per tenant, served in turn.

use std::collections::VecDeque;

use crate::collections::FastMap;
use crate::ids::{RequestId, TenantId};
use crate::request::NotRunReason;

/// The place of a tenant's queue, valid while the queue holds a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueIndex(usize);

#[derive(Debug)]
struct TenantQueue {
    tenant: TenantId,
    requests: VecDeque<RequestId>,
}

/// The queues of all tenants that have waiting requests.
///
/// A tenant without waiting requests takes no memory.
#[derive(Debug)]
pub(super) struct FairQueue {
    index: FastMap<TenantId, QueueIndex>,
    queues: Vec<Option<TenantQueue>>,
    vacant: Vec<usize>,
    turns: VecDeque<QueueIndex>,
    /// `longer_than[n]` is the number of queues with more than `n` requests, which makes the
    /// number of requests ahead of a newcomer a short sum.
    longer_than: Vec<u32>,
    len: u32,
}

impl FairQueue {
    /// Returns empty queues of at most `tenant_limit` requests each.
    pub(super) fn new(tenant_limit: u32) -> Self {
        Self {
            index: FastMap::default(),
            queues: Vec::new(),
            vacant: Vec::new(),
            turns: VecDeque::new(),
            longer_than: vec![0; tenant_limit as usize],
            len: 0,
        }
    }

    pub(super) fn len(&self) -> u32 {
        self.len
    }

    pub(super) fn tenants(&self) -> usize {
        self.turns.len()
    }

    /// Returns how many waiting requests start before the next request of `tenant`.
    pub(super) fn ahead_of(&self, tenant: &TenantId) -> u32 {
        let own = match self.index.get(tenant) {
            Some(index) => self.queue_len(*index),
            None => 0,
        };
        self.longer_than.iter().take(own + 1).sum()
    }

    /// Adds a request to the end of its tenant's queue.
    pub(super) fn push(
        &mut self,
        tenant: &TenantId,
        request: RequestId,
    ) -> Result<QueueIndex, NotRunReason> {
        let index = match self.index.get(tenant) {
            Some(index) => *index,
            None => self.add_tenant(tenant),
        };
        let Some(queue) = &mut self.queues[index.0] else {
            return Err(NotRunReason::QueueFull);
        };
        let Some(longer) = self.longer_than.get_mut(queue.requests.len()) else {
            return Err(NotRunReason::QueueFull);
        };
        *longer += 1;
        queue.requests.push_back(request);
        self.len += 1;
        Ok(index)
    }

    /// Returns the request whose turn it is.
    pub(super) fn front(&self) -> Option<RequestId> {
        let index = self.turns.front()?;
        self.queues[index.0].as_ref()?.requests.front().copied()
    }

    /// Takes the request whose turn it is; its tenant's next turn comes after all others'.
    pub(super) fn pop(&mut self) -> Option<RequestId> {
        let index = self.turns.pop_front()?;
        let request = self.queues[index.0].as_mut()?.requests.pop_front()?;
        self.turns.push_back(index);
        self.removed_one(index);
        Some(request)
    }

    /// Returns the newest request of the longest queue, if that is longer than the queue of
    /// `tenant` would be with one more request.
    pub(super) fn last_of_longer_queue(&self, tenant: &TenantId) -> Option<RequestId> {
        let own = match self.index.get(tenant) {
            Some(index) => self.queue_len(*index),
            None => 0,
        };
        let longest = self.longer_than.iter().take_while(|n| **n > 0).count();
        if longest <= own + 1 {
            return None;
        }
        let has_longest = |index: &&QueueIndex| self.queue_len(**index) == longest;
        let index = self.turns.iter().rev().find(has_longest)?;
        self.queues[index.0].as_ref()?.requests.back().copied()
    }

    /// Removes a request from anywhere in a queue.
    pub(super) fn remove(&mut self, index: QueueIndex, request: RequestId) {
        let Some(queue) = &mut self.queues[index.0] else {
            return;
        };
        let Some(position) = queue.requests.iter().position(|r| *r == request) else {
            return;
        };
        queue.requests.remove(position);
        self.removed_one(index);
    }

    fn queue_len(&self, index: QueueIndex) -> usize {
        self.queues[index.0]
            .as_ref()
            .map_or(0, |queue| queue.requests.len())
    }

    fn add_tenant(&mut self, tenant: &TenantId) -> QueueIndex {
        let queue = Some(TenantQueue {
            tenant: tenant.clone(),
            requests: VecDeque::new(),
        });
        let index = if let Some(place) = self.vacant.pop() {
            self.queues[place] = queue;
            QueueIndex(place)
        } else {
            self.queues.push(queue);
            QueueIndex(self.queues.len() - 1)
        };
        self.index.insert(tenant.clone(), index);
        self.turns.push_back(index);
        index
    }

    /// Corrects the counts after a request left a queue, and releases the queue if it is empty.
    fn removed_one(&mut self, index: QueueIndex) {
        self.len -= 1;
        let remaining = self.queue_len(index);
        self.longer_than[remaining] -= 1;
        if remaining > 0 {
            return;
        }
        if let Some(queue) = self.queues[index.0].take() {
            self.index.remove(&queue.tenant);
        }
        self.vacant.push(index.0);
        self.turns.retain(|turn| *turn != index);
        if self.turns.is_empty() {
            self.release_memory();
        }
    }

    fn release_memory(&mut self) {
        self.index = FastMap::default();
        self.queues = Vec::new();
        self.vacant = Vec::new();
        self.turns = VecDeque::new();
    }
}
