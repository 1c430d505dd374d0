//! Handoff of waiting requests to peers with free slots.
//!
//! An agent with waiting requests sends a notice to a few peers, which are agents of the same
//! service. A peer with a free slot and without waiting requests reserves the slot for a short time
//! and offers it. The agent that receives the offer removes its next request from the queue and
//! redirects the caller with the reservation. A request is therefore in one queue or at its caller,
//! never at two agents, and a lost message causes only a delay.

mod limiter;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use self::limiter::RateLimiter;
use crate::collections::FastMap;
use crate::request::Reservation;

/// The settings of a [`Handoff`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandoffOptions {
    /// The number of peers to which a notice of waiting requests is sent.
    pub fanout: usize,
    /// The initial time between two rounds of notices; it doubles with each round without an offer.
    pub notice_interval: Duration,
    /// The maximum time between two rounds of notices.
    pub notice_interval_max: Duration,
    /// How long a notice is valid if it is neither renewed nor withdrawn.
    pub notice_lifetime: Duration,
    /// How long an offered slot stays reserved.
    pub reservation_lifetime: Duration,
    /// The maximum number of messages sent per second.
    pub messages_per_second: u32,
    /// The maximum number of peers whose notices are kept.
    pub notices_max: usize,
}

impl Default for HandoffOptions {
    fn default() -> Self {
        Self {
            fanout: 3,
            notice_interval: Duration::from_millis(10),
            notice_interval_max: Duration::from_millis(200),
            notice_lifetime: Duration::from_secs(2),
            // An offer and a redirect take about 30 ms; the rest allows for one lost packet.
            reservation_lifetime: Duration::from_millis(150),
            messages_per_second: 120,
            notices_max: 64,
        }
    }
}

/// The slots and waiting requests of the agent's admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueState {
    /// The number of slots in which no request runs, including reserved ones.
    pub free_slots: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
    /// The number of waiting requests that may be redirected to a peer.
    pub movable: u32,
    /// The arrival time of the oldest movable request.
    pub oldest_since: Option<Instant>,
    /// Whether slots may be offered to peers; false for a draining target.
    pub may_offer_slots: bool,
}

/// An input of [`Handoff::on_event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The number of free slots or waiting requests has changed.
    Queue(QueueState),
    /// A peer has sent a notice of its waiting requests.
    WaitingNotice {
        /// The peer.
        from: SocketAddrV4,
        /// The number of movable requests; zero withdraws the last notice.
        count: u32,
        /// How long the oldest of them has waited.
        oldest: Duration,
    },
    /// A peer has offered a slot.
    Offer {
        /// The peer.
        from: SocketAddrV4,
        /// The reservation of the slot.
        reservation: Reservation,
    },
    /// A peer has declined an offered slot.
    Decline {
        /// The peer.
        from: SocketAddrV4,
        /// The serial of the reservation.
        serial: u64,
    },
    /// Time has passed; see [`Handoff::next_tick`].
    Tick,
}

/// An action that the agent carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a notice of waiting requests to a peer.
    SendWaitingNotice {
        /// The peer.
        to: SocketAddrV4,
        /// The number of movable requests; zero withdraws the last notice.
        count: u32,
        /// How long the oldest of them has waited.
        oldest: Duration,
    },
    /// Offer a reserved slot to a peer, with a connection id that routes to this agent.
    SendOffer {
        /// The peer.
        to: SocketAddrV4,
        /// The serial of the reservation.
        serial: u64,
    },
    /// Decline an offered slot.
    SendDecline {
        /// The peer.
        to: SocketAddrV4,
        /// The serial of the reservation.
        serial: u64,
    },
    /// Remove the next movable request from the queue and redirect it with this reservation.
    Redirect(Reservation),
    /// Release a reserved slot for the agent's own requests.
    ReservationReleased,
}

/// The last notice of a peer.
#[derive(Clone, Copy, Debug)]
struct ReceivedNotice {
    count: u32,
    oldest_since: Instant,
    received_at: Instant,
}

/// A notice that was sent to a peer and is still valid there.
#[derive(Clone, Copy, Debug)]
struct SentNotice {
    peer: SocketAddrV4,
    sent_at: Instant,
    count: u32,
}

/// A slot that is reserved for a peer.
#[derive(Clone, Copy, Debug)]
struct HeldReservation {
    serial: u64,
    peer: SocketAddrV4,
    until: Instant,
}

/// The number of latest offers that are kept to detect duplicates.
const SEEN_OFFERS_MAX: usize = 64;

/// Decides which waiting requests of an agent are redirected and which of its slots are offered.
#[derive(Debug)]
pub struct Handoff {
    options: HandoffOptions,
    peers: Vec<SocketAddrV4>,
    queue: QueueState,
    received_notices: FastMap<SocketAddrV4, ReceivedNotice>,
    held_reservations: Vec<HeldReservation>,
    seen_offers: VecDeque<(SocketAddrV4, u64)>,
    sent_notices: Vec<SentNotice>,
    limiter: RateLimiter,
    next_notice: Instant,
    notice_interval: Duration,
}

impl Handoff {
    /// Returns the handoff of an agent without peers.
    pub fn new(options: HandoffOptions, now: Instant) -> Self {
        Self {
            options,
            peers: Vec::new(),
            queue: QueueState::default(),
            received_notices: FastMap::default(),
            held_reservations: Vec::new(),
            seen_offers: VecDeque::new(),
            sent_notices: Vec::new(),
            limiter: RateLimiter::new(options.messages_per_second, now),
            next_notice: now,
            notice_interval: options.notice_interval,
        }
    }

    /// Replaces the peers, which are the other agents of the same service.
    pub fn set_peers(&mut self, peers: Vec<SocketAddrV4>) {
        self.received_notices.retain(|peer, _| peers.contains(peer));
        self.peers = peers;
    }

    /// Returns the number of slots that are reserved for requests of peers.
    pub fn reserved_slots(&self) -> u32 {
        u32::try_from(self.held_reservations.len()).unwrap_or(u32::MAX)
    }

    /// Returns when the next [`Event::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Instant> {
        let expiry = self.held_reservations.iter().map(|held| held.until).min();
        let notice = (self.queue.movable > 0 && !self.peers.is_empty()).then_some(self.next_notice);
        expiry.into_iter().chain(notice).min()
    }

    /// Ends a reservation whose request has arrived, and returns whether the reservation was valid.
    ///
    /// A request with an expired reservation is queued like any other.
    pub fn claim(&mut self, serial: u64, now: Instant) -> bool {
        let position = self
            .held_reservations
            .iter()
            .position(|held| held.serial == serial);
        let Some(index) = position else {
            return false;
        };
        if now >= self.held_reservations[index].until {
            return false;
        }
        self.held_reservations.swap_remove(index);
        self.queue.free_slots = self.queue.free_slots.saturating_sub(1);
        true
    }

    /// Handles an event and returns the resulting actions in the order of their execution.
    pub fn on_event(&mut self, event: Event, now: Instant, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Queue(queue) => self.on_queue(queue, now),
            Event::WaitingNotice {
                from,
                count,
                oldest,
            } => self.on_waiting(from, count, oldest, now),
            Event::Offer { from, reservation } => {
                self.on_offer(from, reservation, now, &mut actions);
            }
            Event::Decline { from, serial } => self.on_decline(from, serial, &mut actions),
            Event::Tick => {}
        }
        self.expire(now, &mut actions);
        self.offer_slots(now, rng, &mut actions);
        self.send_notices(now, rng, &mut actions);
        actions
    }

    fn on_queue(&mut self, queue: QueueState, now: Instant) {
        if self.queue.movable == 0 && queue.movable > 0 {
            self.notice_interval = self.options.notice_interval;
            self.next_notice = self.next_notice.min(now);
        }
        self.queue = queue;
    }

    fn on_waiting(&mut self, from: SocketAddrV4, count: u32, oldest: Duration, now: Instant) {
        if count == 0 || !self.peers.contains(&from) {
            self.received_notices.remove(&from);
            return;
        }
        let is_known = self.received_notices.contains_key(&from);
        if !is_known && self.received_notices.len() >= self.options.notices_max {
            return;
        }
        let notice = ReceivedNotice {
            count,
            oldest_since: now.checked_sub(oldest).unwrap_or(now),
            received_at: now,
        };
        self.received_notices.insert(from, notice);
    }

    fn on_offer(
        &mut self,
        from: SocketAddrV4,
        reservation: Reservation,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let offer = (from, reservation.serial);
        if reservation.agent != from || self.seen_offers.contains(&offer) {
            return;
        }
        if self.seen_offers.len() == SEEN_OFFERS_MAX {
            self.seen_offers.pop_front();
        }
        self.seen_offers.push_back(offer);
        if self.queue.movable > 0 {
            self.queue.movable -= 1;
            self.queue.waiting = self.queue.waiting.saturating_sub(1);
            self.notice_interval = self.options.notice_interval;
            self.count_offer(from);
            actions.push(Action::Redirect(reservation));
        } else if self.limiter.try_take(now) {
            actions.push(Action::SendDecline {
                to: from,
                serial: reservation.serial,
            });
        }
    }

    fn on_decline(&mut self, from: SocketAddrV4, serial: u64, actions: &mut Vec<Action>) {
        let is_declined = |held: &HeldReservation| held.serial == serial && held.peer == from;
        if let Some(index) = self.held_reservations.iter().position(is_declined) {
            self.held_reservations.swap_remove(index);
            self.received_notices.remove(&from);
            actions.push(Action::ReservationReleased);
        }
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let before = self.held_reservations.len();
        self.held_reservations.retain(|held| now < held.until);
        actions.extend((self.held_reservations.len()..before).map(|_| Action::ReservationReleased));
        let valid = self.options.notice_lifetime;
        self.received_notices
            .retain(|_, notice| now.saturating_duration_since(notice.received_at) < valid);
    }

    fn offer_slots(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        while self.queue.may_offer_slots
            && self.queue.waiting == 0
            && self.queue.free_slots > self.reserved_slots()
        {
            let oldest = |(peer, notice): &(&SocketAddrV4, &mut ReceivedNotice)| {
                (notice.oldest_since, **peer)
            };
            let Some((&peer, notice)) = self.received_notices.iter_mut().min_by_key(oldest) else {
                return;
            };
            if !self.limiter.try_take(now) {
                return;
            }
            notice.count -= 1;
            if notice.count == 0 {
                self.received_notices.remove(&peer);
            }
            let serial = rng.random();
            let until = now + self.options.reservation_lifetime;
            self.held_reservations.push(HeldReservation {
                serial,
                peer,
                until,
            });
            actions.push(Action::SendOffer { to: peer, serial });
        }
    }

    /// Deducts an offer from the number of requests in the last notice to a peer.
    fn count_offer(&mut self, from: SocketAddrV4) {
        if let Some(notice) = self
            .sent_notices
            .iter_mut()
            .find(|notice| notice.peer == from)
        {
            notice.count -= 1;
        }
        self.sent_notices.retain(|notice| notice.count > 0);
    }

    fn send_notices(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let valid = self.options.notice_lifetime;
        self.sent_notices
            .retain(|notice| now.saturating_duration_since(notice.sent_at) < valid);
        if self.queue.movable == 0 {
            self.withdraw_notices(now, actions);
            return;
        }
        if now < self.next_notice {
            return;
        }
        let count = self.queue.movable;
        let oldest_since = self.queue.oldest_since.unwrap_or(now);
        let oldest = now.saturating_duration_since(oldest_since);
        for peer in self.peers_to_notify(now, rng) {
            if !self.limiter.try_take_unreserved(now) {
                break;
            }
            self.sent_notices.retain(|notice| notice.peer != peer);
            self.sent_notices.push(SentNotice {
                peer,
                sent_at: now,
                count,
            });
            actions.push(Action::SendWaitingNotice {
                to: peer,
                count,
                oldest,
            });
        }
        self.next_notice = now + self.notice_interval;
        self.notice_interval = (self.notice_interval * 2).min(self.options.notice_interval_max);
    }

    /// Returns up to `fanout` peers without a fresh notice of all waiting requests. Peers without
    /// any valid notice come first, and within each group those without waiting requests.
    fn peers_to_notify(&self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddrV4> {
        let mut ranked = Vec::with_capacity(self.peers.len());
        for peer in &self.peers {
            let notice = self.sent_notices.iter().find(|notice| notice.peer == *peer);
            let is_fresh = |notice: &SentNotice| {
                let age = now.saturating_duration_since(notice.sent_at);
                notice.count >= self.queue.movable && age < self.options.notice_lifetime / 2
            };
            if !notice.is_some_and(is_fresh) {
                let is_busy = self.received_notices.contains_key(peer);
                ranked.push((notice.is_some(), is_busy, rng.random::<u32>(), *peer));
            }
        }
        ranked.sort_unstable();
        ranked.truncate(self.options.fanout);
        ranked.into_iter().map(|(.., peer)| peer).collect()
    }

    /// Withdraws all notices. An offer for an outdated notice would keep a slot idle for the time of
    /// two messages.
    fn withdraw_notices(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for notice in std::mem::take(&mut self.sent_notices) {
            if !self.limiter.try_take_unreserved(now) {
                return;
            }
            actions.push(Action::SendWaitingNotice {
                to: notice.peer,
                count: 0,
                oldest: Duration::ZERO,
            });
        }
    }
}
