//! The handoff of waiting requests to peers with free slots.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use cranberrypitch_core::Reservation;
use cranberrypitch_core::handoff::{Action, Event, Handoff, HandoffOptions, QueueState};
use cranberrypitch_proto::peer::PeerMessage;
use cranberrypitch_proto::tunnel::DatagramKind;
use rand::rngs::StdRng;

use crate::socket::{ControlDatagram, TunnelSocket};
use crate::token_issuer::TokenIssuer;

/// Decides on handoffs, and exchanges the messages that carry them out.
#[derive(Debug)]
pub(super) struct PeerHandoff {
    handoff: Handoff,
    issuer: TokenIssuer,
    socket: Arc<TunnelSocket>,
    rng: StdRng,
}

/// A step of a handoff that admission carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HandoffStep {
    /// Remove the next waiting request from the queue and redirect it.
    Redirect(Reservation),
    /// Reserve a slot for a request of this peer, and offer it.
    Reserve { peer: SocketAddrV4, serial: u64 },
}

impl PeerHandoff {
    pub(super) fn new(issuer: TokenIssuer, socket: Arc<TunnelSocket>, now: Instant) -> Self {
        Self {
            handoff: Handoff::new(HandoffOptions::default(), now),
            issuer,
            socket,
            rng: rand::make_rng(),
        }
    }

    pub(super) fn set_peers(&mut self, peers: Vec<SocketAddrV4>) {
        self.handoff.set_peers(peers);
    }

    /// Returns the number of slots that are reserved for requests of peers.
    pub(super) fn reserved_slots(&self) -> u32 {
        self.handoff.reserved_slots()
    }

    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.handoff.next_tick()
    }

    /// Ends a reservation whose request has arrived.
    pub(super) fn claim(&mut self, serial: u64, now: Instant) {
        self.handoff.claim(serial, now);
    }

    /// Evaluates the state of the queue.
    pub(super) fn observe(&mut self, queue: QueueState, now: Instant) -> Vec<HandoffStep> {
        self.handle(Event::Queue(queue), now)
    }

    /// Handles a peer's message. Malformed messages are ignored.
    pub(super) fn receive(&mut self, datagram: &ControlDatagram, now: Instant) -> Vec<HandoffStep> {
        let from = datagram.from;
        let event = match PeerMessage::decode(&datagram.payload) {
            Ok(PeerMessage::WaitingRequests {
                count,
                oldest_wait: oldest,
            }) => Event::WaitingNotice {
                from,
                count,
                oldest,
            },
            Ok(PeerMessage::Offer(reservation)) => Event::Offer { from, reservation },
            Ok(PeerMessage::Decline { serial }) => Event::Decline { from, serial },
            Err(_) => return Vec::new(),
        };
        self.handle(event, now)
    }

    /// Offers a slot that admission has reserved.
    pub(super) fn offer(&self, peer: SocketAddrV4, serial: u64) {
        let reservation = Reservation {
            agent: self.issuer.agent_address(),
            token: self.issuer.issue(),
            serial,
        };
        self.send(peer, &PeerMessage::Offer(reservation));
    }

    fn handle(&mut self, event: Event, now: Instant) -> Vec<HandoffStep> {
        let actions = self.handoff.on_event(event, now, &mut self.rng);
        let mut steps = Vec::new();
        for action in actions {
            match action {
                Action::SendWaitingNotice { to, count, oldest } => {
                    self.send(
                        to,
                        &PeerMessage::WaitingRequests {
                            count,
                            oldest_wait: oldest,
                        },
                    );
                }
                Action::SendDecline { to, serial } => {
                    self.send(to, &PeerMessage::Decline { serial });
                }
                Action::SendOffer { to, serial } => {
                    steps.push(HandoffStep::Reserve { peer: to, serial });
                }
                Action::Redirect(reservation) => steps.push(HandoffStep::Redirect(reservation)),
                // Admission expires its own copy of the reservation at the same time.
                Action::ReservationReleased => {}
            }
        }
        steps
    }

    fn send(&self, to: SocketAddrV4, message: &PeerMessage) {
        if let Ok(bytes) = message.encode() {
            // A lost message only costs time, because the next notice repeats it.
            let _sent = self.socket.send_control(to, DatagramKind::Peer, &bytes);
        }
    }
}
