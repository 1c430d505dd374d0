//! The requests that wait at an agent, with their packets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

use super::decision::{RequestKind, TargetCapacity, WaitingRequest};
use super::syns::QueuedSyn;
use super::turns::FairTurns;
use crate::flow::packet::{FlowKey, PacketHeader};

/// The maximum number of waiting SYNs, and of waiting requests of open flows.
const MAX_QUEUED: usize = 256;

/// The maximum number of packets that wait with a request of an open flow.
const MAX_PACKETS_PER_REQUEST: usize = 16;

/// A packet of a request that waits.
#[derive(Clone, Debug)]
pub(super) struct QueuedPacket {
    pub(super) balancer: SocketAddrV4,
    pub(super) header: PacketHeader,
    pub(super) packet: Box<[u8]>,
}

/// A request of an open flow that waits, with its packets in the order of their arrival.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) flow: FlowKey,
    pub(super) request: WaitingRequest,
    pub(super) packets: Vec<QueuedPacket>,
}

impl QueuedRequest {
    /// Returns whether a packet with the same payload waits already.
    pub(super) fn has_copy_of(&self, header: &PacketHeader) -> bool {
        self.packets.iter().any(|queued| {
            queued.header.seq_number == header.seq_number
                && queued.header.payload_len_bytes >= header.payload_len_bytes
        })
    }

    pub(super) const fn is_full(&self) -> bool {
        self.packets.len() >= MAX_PACKETS_PER_REQUEST
    }
}

/// An entry that was taken out of the queue.
#[derive(Debug)]
pub(super) enum Taken {
    Syn(QueuedSyn),
    Request(QueuedRequest),
}

/// The waiting requests, each kind in the order of arrival, and the state of their turns.
#[derive(Debug, Default)]
pub(in super::super) struct RequestQueue {
    pub(super) syns: Vec<QueuedSyn>,
    pub(super) requests: Vec<QueuedRequest>,
    turns: FairTurns,
}

impl RequestQueue {
    pub(in super::super) const fn len(&self) -> usize {
        self.syns.len() + self.requests.len()
    }

    /// Counts a request that was passed to the target, with or without a wait.
    pub(in super::super) fn on_passed(&mut self, caller: Ipv4Addr, now: Instant) {
        self.turns.on_passed(caller, now);
    }

    pub(super) const fn is_syn_queue_full(&self) -> bool {
        self.syns.len() >= MAX_QUEUED
    }

    pub(super) const fn is_request_queue_full(&self) -> bool {
        self.requests.len() >= MAX_QUEUED
    }

    pub(in super::super) fn has_syn(&self, flow: &FlowKey) -> bool {
        self.syns.iter().any(|syn| syn.flow == *flow)
    }

    pub(super) fn request_mut(&mut self, flow: &FlowKey) -> Option<&mut QueuedRequest> {
        self.requests.iter_mut().find(|queued| queued.flow == *flow)
    }

    /// Removes the waiting request of a flow. Returns whether there was one.
    pub(in super::super) fn remove_request(&mut self, flow: &FlowKey) -> bool {
        let before = self.requests.len();
        self.requests.retain(|queued| queued.flow != *flow);
        self.requests.len() < before
    }

    /// Takes out the request to pass next.
    pub(super) fn take_next(&mut self, capacity: &TargetCapacity, now: Instant) -> Option<Taken> {
        if self.len() == 0 {
            return None;
        }
        let entries = self.entries();
        let waiting: Vec<_> = entries.iter().map(|(request, _)| *request).collect();
        let next = self.turns.next(&waiting, capacity, now)?;
        self.turns.on_turn(waiting[next].priority);
        Some(self.take(waiting[next].kind, entries[next].1))
    }

    /// Takes out the requests to give up now.
    pub(super) fn take_given_up(&mut self, capacity: &TargetCapacity, now: Instant) -> Vec<Taken> {
        if self.len() == 0 {
            return Vec::new();
        }
        let entries = self.entries();
        let waiting: Vec<_> = entries.iter().map(|(request, _)| *request).collect();
        let mut given_up: Vec<_> = self
            .turns
            .given_up(&waiting, capacity, now)
            .into_iter()
            .map(|index| (entries[index].1, waiting[index].kind))
            .collect();
        // Later entries are removed first, so that the indices of the others stay valid.
        given_up.sort_by_key(|(index, _)| std::cmp::Reverse(*index));
        given_up
            .into_iter()
            .map(|(index, kind)| self.take(kind, index))
            .collect()
    }

    /// Returns all waiting requests in the order of their arrival, with the index within their kind.
    fn entries(&self) -> Vec<(WaitingRequest, usize)> {
        let syns = self.syns.iter().map(QueuedSyn::waiting_request).enumerate();
        let queued = self
            .requests
            .iter()
            .map(|queued| queued.request)
            .enumerate();
        let mut entries: Vec<_> = syns.chain(queued).map(|(index, r)| (r, index)).collect();
        entries.sort_by_key(|(request, _)| request.arrived_at);
        entries
    }

    fn take(&mut self, kind: RequestKind, index: usize) -> Taken {
        match kind {
            RequestKind::Syn => Taken::Syn(self.syns.remove(index)),
            RequestKind::OpenFlow => Taken::Request(self.requests.remove(index)),
        }
    }
}
