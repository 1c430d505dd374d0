//! A queue that delivers datagrams after their delay.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// A datagram on its way.
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
            log::debug!("can't send a datagram to {}: {error}", self.destination);
        }
    }
}

/// Delays datagrams of both directions with one queue and one task.
#[derive(Debug)]
pub(crate) struct LinkEmulator {
    queue: Mutex<Queue>,
    earlier: Notify,
    max_queued_datagrams: usize,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: BinaryHeap<Waiting>,
    sequence: u64,
    queue_full: u64,
}

#[derive(Debug)]
struct Waiting {
    due: Instant,
    sequence: u64,
    datagram: Datagram,
}

impl Ord for Waiting {
    // The heap gives the greatest first, so the earliest due counts as the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.sequence).cmp(&(self.due, self.sequence))
    }
}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Waiting {}

impl LinkEmulator {
    pub(crate) fn new(max_queued_datagrams: usize) -> Self {
        Self {
            queue: Mutex::default(),
            earlier: Notify::new(),
            max_queued_datagrams,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn queue_full(&self) -> u64 {
        self.lock().queue_full
    }

    /// Delivers a datagram after a delay, or at once when there is none.
    pub(crate) async fn deliver(&self, delay: Duration, datagram: Datagram) {
        if delay.is_zero() {
            datagram.send().await;
        } else {
            self.enqueue(Instant::now() + delay, datagram);
        }
    }

    fn enqueue(&self, due: Instant, datagram: Datagram) {
        let mut queue = self.lock();
        if queue.waiting.len() >= self.max_queued_datagrams {
            queue.queue_full += 1;
            return;
        }
        let is_earliest = queue.waiting.peek().is_none_or(|first| due < first.due);
        queue.sequence += 1;
        let sequence = queue.sequence;
        queue.waiting.push(Waiting {
            due,
            sequence,
            datagram,
        });
        drop(queue);
        if is_earliest {
            self.earlier.notify_one();
        }
    }

    /// Delivers datagrams when they are due, forever.
    pub(crate) async fn run(&self) {
        loop {
            let next_due = self.lock().waiting.peek().map(|first| first.due);
            tokio::select! {
                () = self.earlier.notified() => {}
                () = sleep_to(next_due) => self.send_due().await,
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
        let first = queue.waiting.peek()?;
        if first.due > Instant::now() {
            return None;
        }
        queue.waiting.pop().map(|first| first.datagram)
    }
}

async fn sleep_to(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}
