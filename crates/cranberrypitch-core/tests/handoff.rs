//! Tests of the handoff of waiting requests between agents.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_core::Reservation;
use cranberrypitch_core::handoff::{Action, Event, Handoff, HandoffOptions, QueueState};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::LOCALHOST,
        u16::try_from(n + 1).expect("a small number"),
    )
}

fn reservation(n: usize, serial: u64) -> Reservation {
    Reservation {
        agent: address(n),
        token: [0; 20],
        serial,
    }
}

fn agent(peers: usize, now: Instant) -> (Handoff, Pcg64Mcg) {
    let mut handoff = Handoff::new(HandoffOptions::default(), now);
    handoff.set_peers((1..=peers).map(address).collect());
    (handoff, Pcg64Mcg::seed_from_u64(3))
}

fn waiting(movable: u32) -> Event {
    Event::Queue(QueueState {
        waiting: movable,
        movable,
        may_offer_slots: true,
        ..QueueState::default()
    })
}

fn idle(free_slots: u32) -> Event {
    Event::Queue(QueueState {
        free_slots,
        may_offer_slots: true,
        ..QueueState::default()
    })
}

/// Guards against two redirects to one slot when an offer arrives twice.
#[test]
fn repeated_offer_moves_one_request() {
    let now = Instant::now();
    let (mut handoff, mut rng) = agent(3, now);
    assert_eq!(handoff.on_event(waiting(2), now, &mut rng).len(), 3);
    let offer = Event::Offer {
        from: address(1),
        reservation: reservation(1, 9),
    };
    let redirect = Action::Redirect(reservation(1, 9));
    assert_eq!(handoff.on_event(offer, now, &mut rng), [redirect]);
    assert_eq!(handoff.on_event(offer, now, &mut rng), []);
}

/// Guards against a redirect to an agent other than the sender of the offer.
#[test]
fn offer_of_a_third_agent_is_ignored() {
    let now = Instant::now();
    let (mut handoff, mut rng) = agent(3, now);
    handoff.on_event(waiting(1), now, &mut rng);
    let offer = Event::Offer {
        from: address(1),
        reservation: reservation(2, 9),
    };
    assert_eq!(handoff.on_event(offer, now, &mut rng), []);
}

/// Guards against a slot that stays reserved after a lost redirect, and against the use of an expired
/// reservation.
#[test]
fn reservation_expires() {
    let now = Instant::now();
    let (mut handoff, mut rng) = agent(3, now);
    handoff.on_event(idle(1), now, &mut rng);
    let notice = Event::WaitingNotice {
        from: address(1),
        count: 2,
        oldest: Duration::ZERO,
    };
    let actions = handoff.on_event(notice, now, &mut rng);
    let [Action::SendOffer { serial, .. }] = actions[..] else {
        panic!("expected one offer, got {actions:?}");
    };
    let later = handoff.next_tick().expect("an expiry");
    assert!(!handoff.claim(serial, later));
    let actions = handoff.on_event(Event::Tick, later, &mut rng);
    assert_eq!(actions[0], Action::ReservationReleased);
}

/// Guards against reservations for requests that have been started in the meantime.
#[test]
fn notices_are_withdrawn_when_nothing_waits() {
    let now = Instant::now();
    let (mut handoff, mut rng) = agent(3, now);
    handoff.on_event(waiting(1), now, &mut rng);
    let actions = handoff.on_event(idle(1), now, &mut rng);
    let is_withdrawal =
        |action: &Action| matches!(action, Action::SendWaitingNotice { count: 0, .. });
    assert_eq!(actions.iter().filter(|a| is_withdrawal(a)).count(), 3);
}

/// Guards against offers of slots for which own requests are waiting, and against offers during a
/// drain.
#[test]
fn busy_or_draining_agent_offers_nothing() {
    let now = Instant::now();
    let (mut handoff, mut rng) = agent(3, now);
    let notice = Event::WaitingNotice {
        from: address(1),
        count: 2,
        oldest: Duration::ZERO,
    };
    handoff.on_event(notice, now, &mut rng);
    for (waiting, may_offer_slots) in [(1, true), (0, false)] {
        let queue = QueueState {
            free_slots: 1,
            waiting,
            may_offer_slots,
            ..QueueState::default()
        };
        assert_eq!(handoff.on_event(Event::Queue(queue), now, &mut rng), []);
    }
}

/// Guards against control traffic that grows with the load.
#[test]
fn messages_per_second_are_bounded() {
    let start = Instant::now();
    let (mut handoff, mut rng) = agent(50, start);
    let mut sent = 0;
    for step in 0..10_000_u32 {
        let now = start + Duration::from_millis(u64::from(step));
        sent += handoff.on_event(waiting(step % 2), now, &mut rng).len();
    }
    let per_second = HandoffOptions::default().messages_per_second as usize;
    assert!(sent <= per_second * 11, "{sent} messages in 10 s");
}

const AGENTS: usize = 4;
const SLOTS: usize = 2;

/// A simulation of agents and a network that loses, duplicates and reorders messages.
struct Simulation {
    agents: Vec<(Handoff, VecDeque<u32>, Vec<u32>)>,
    in_flight: Vec<(usize, Event)>,
    redirected: Vec<(u32, Reservation)>,
    starts: Vec<u32>,
    claims: usize,
    rng: Pcg64Mcg,
    now: Instant,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let agents = (0..AGENTS).map(|own| {
            let mut handoff = Handoff::new(HandoffOptions::default(), now);
            handoff.set_peers((0..AGENTS).filter(|n| *n != own).map(address).collect());
            (handoff, VecDeque::new(), Vec::new())
        });
        Self {
            agents: agents.collect(),
            in_flight: Vec::new(),
            redirected: Vec::new(),
            starts: vec![0; 2000],
            claims: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
        }
    }

    fn handle(&mut self, own: usize, event: Event) {
        let (handoff, queue, _) = &mut self.agents[own];
        for action in handoff.on_event(event, self.now, &mut self.rng) {
            let from = address(own);
            let (to, message) = match action {
                Action::SendWaitingNotice { to, count, oldest } => (
                    to,
                    Event::WaitingNotice {
                        from,
                        count,
                        oldest,
                    },
                ),
                Action::SendOffer { to, serial } => {
                    let reservation = reservation(own, serial);
                    (to, Event::Offer { from, reservation })
                }
                Action::SendDecline { to, serial } => (to, Event::Decline { from, serial }),
                Action::Redirect(reservation) => {
                    let request = queue.pop_front().expect("a movable request");
                    self.redirected.push((request, reservation));
                    continue;
                }
                Action::ReservationReleased => continue,
            };
            let copies = [1, 1, 1, 1, 0, 2][self.rng.random_range(0..6)];
            for _ in 0..copies {
                self.in_flight.push((usize::from(to.port()) - 1, message));
            }
        }
    }

    /// Starts waiting requests in free slots, and passes the new state of the queue to the handoff.
    fn update_queue(&mut self, own: usize) {
        let (handoff, queue, running) = &mut self.agents[own];
        while running.len() + (handoff.reserved_slots() as usize) < SLOTS && !queue.is_empty() {
            let request = queue.pop_front().expect("a request");
            self.starts[request as usize] += 1;
            running.push(request);
        }
        let waiting = u32::try_from(queue.len()).expect("a short queue");
        let state = QueueState {
            free_slots: u32::try_from(SLOTS - running.len()).expect("a few slots"),
            waiting,
            movable: waiting,
            oldest_since: Some(self.now),
            may_offer_slots: true,
        };
        self.handle(own, Event::Queue(state));
    }

    fn arrive(&mut self, own: usize, request: u32, serial: Option<u64>) {
        let (handoff, queue, running) = &mut self.agents[own];
        if serial.is_some_and(|serial| handoff.claim(serial, self.now)) {
            self.claims += 1;
            self.starts[request as usize] += 1;
            running.push(request);
        } else {
            queue.push_back(request);
        }
        let (handoff, _, running) = &self.agents[own];
        assert!(running.len() + handoff.reserved_slots() as usize <= SLOTS);
        self.update_queue(own);
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..20));
        if !self.in_flight.is_empty() {
            let index = self.rng.random_range(0..self.in_flight.len());
            let (to, event) = self.in_flight.swap_remove(index);
            self.handle(to, event);
        }
        if !self.redirected.is_empty() && self.rng.random_bool(0.5) {
            let (request, reservation) = self.redirected.swap_remove(0);
            let own = usize::from(reservation.agent.port()) - 1;
            self.arrive(own, request, Some(reservation.serial));
        }
        let own = self.rng.random_range(0..AGENTS);
        if self.rng.random_bool(0.5) {
            self.agents[own].2.pop();
        }
        self.handle(own, Event::Tick);
        self.update_queue(own);
    }
}

/// Guards against requests that are run twice or lost on a lossy network (G4, G5).
#[test]
fn every_request_starts_exactly_once() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        for request in 0..2000 {
            let own = usize::from(simulation.rng.random_bool(0.3));
            simulation.arrive(own, request, None);
            for _ in 0..3 {
                simulation.step();
            }
        }
        for _ in 0..20_000 {
            simulation.step();
        }
        let wrong = simulation
            .starts
            .iter()
            .filter(|starts| **starts != 1)
            .count();
        assert_eq!(
            wrong, 0,
            "seed {seed}: requests that did not start exactly once"
        );
    }
}
