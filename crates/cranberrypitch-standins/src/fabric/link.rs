//! Emulation of link delays.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// A datagram in transit.
#[derive(Clone, Debug)]
pub(crate) struct Datagram {
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) destination: SocketAddrV4,
    pub(crate) payload: Bytes,
}

impl Datagram {
    async fn send(self) {
        let sent = self.socket.send_to(&self.payload, self.destination).await;
        if let Err(error) = sent {
            log::debug!("failed to send a datagram to {}: {error}", self.destination);
        }
    }
}

/// Delays the datagrams of both directions with one queue and one task.
#[derive(Debug)]
pub(crate) struct LinkEmulator {
    queue: Mutex<Queue>,
    earliest_changed: Notify,
    max_queued_datagrams: usize,
}

#[derive(Debug, Default)]
struct Queue {
    datagrams: BinaryHeap<QueuedDatagram>,
    last_sequence: u64,
    dropped: u64,
}

#[derive(Debug)]
struct QueuedDatagram {
    due: Instant,
    sequence: u64,
    datagram: Datagram,
}

impl Ord for QueuedDatagram {
    // Reversed, since the heap returns the greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.sequence).cmp(&(self.due, self.sequence))
    }
}

impl PartialOrd for QueuedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for QueuedDatagram {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for QueuedDatagram {}

impl LinkEmulator {
    pub(crate) fn new(max_queued_datagrams: usize) -> Self {
        Self {
            queue: Mutex::default(),
            earliest_changed: Notify::new(),
            max_queued_datagrams,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of datagrams that were dropped because the queue was full.
    pub(crate) fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    /// Delivers a datagram after a delay, or immediately if the delay is zero.
    pub(crate) async fn deliver(&self, delay: Duration, datagram: Datagram) {
        if delay.is_zero() {
            datagram.send().await;
        } else {
            self.enqueue(Instant::now() + delay, datagram);
        }
    }

    fn enqueue(&self, due: Instant, datagram: Datagram) {
        let mut queue = self.lock();
        if queue.datagrams.len() >= self.max_queued_datagrams {
            queue.dropped += 1;
            return;
        }
        let is_earliest = queue.datagrams.peek().is_none_or(|first| due < first.due);
        queue.last_sequence += 1;
        let sequence = queue.last_sequence;
        queue.datagrams.push(QueuedDatagram {
            due,
            sequence,
            datagram,
        });
        drop(queue);
        if is_earliest {
            self.earliest_changed.notify_one();
        }
    }

    /// Delivers queued datagrams when they are due. Never returns.
    pub(crate) async fn run(&self) {
        loop {
            let next_due = self.lock().datagrams.peek().map(|first| first.due);
            tokio::select! {
                () = self.earliest_changed.notified() => {}
                () = sleep_until_due(next_due) => self.send_due().await,
            }
        }
    }

    async fn send_due(&self) {
        while let Some(datagram) = self.take_due() {
            datagram.send().await;
        }
    }

    fn take_due(&self) -> Option<Datagram> {
        let mut queue = self.lock();
        let first = queue.datagrams.peek()?;
        if first.due > Instant::now() {
            return None;
        }
        queue.datagrams.pop().map(|first| first.datagram)
    }
}

async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}
