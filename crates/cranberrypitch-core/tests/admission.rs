//! Tests of admission control.

use std::time::{Duration, Instant};

use cranberrypitch_core::admission::{
    Action, AdmissionController, AdmissionOptions, CapacityLimit, ColdStart, Event, FinishResult,
    Submission,
};
use cranberrypitch_core::{ConnectionLimit, NotRunReason, RequestClass, RequestId, Slots};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn options(slots: u32, ramp: Duration) -> AdmissionOptions {
    let first_slots = if ramp.is_zero() { slots } else { 1 };
    AdmissionOptions::builder(Slots::new(slots), ConnectionLimit::new(3))
        .organisation_queue_len(4)
        .queue_len(8)
        .cold_start(ColdStart {
            first_slots: Slots::new(first_slots),
            ramp,
        })
        .build()
        .expect("the settings are in range")
}

fn submit(id: u64, organisation: &str, class: RequestClass, deadline: Instant) -> Event {
    Event::Submit(Submission {
        request: RequestId::new(id),
        organisation: organisation.parse().expect("the name is valid"),
        class,
        deadline,
        reservation: None,
    })
}

fn order(id: u64, organisation: &str, deadline: Instant) -> Event {
    submit(id, organisation, RequestClass::Order, deadline)
}

fn finish(id: u64) -> Event {
    Event::Finish {
        request: RequestId::new(id),
        result: FinishResult::Ran,
    }
}

fn start(id: u64) -> Action {
    Action::Start(RequestId::new(id))
}

fn refuse(id: u64, reason: NotRunReason) -> Action {
    Action::Refuse(RequestId::new(id), reason)
}

/// Guards against an organisation with many requests that starves the others.
#[test]
fn organisations_are_served_in_turn() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(options(1, Duration::ZERO), now);
    let late = now + 60 * SECOND;
    let arrivals = [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "c")];
    for (id, organisation) in arrivals {
        admission.handle(order(id, organisation, late), now);
    }
    for (finished, started) in [(1, 4), (4, 5), (5, 2), (2, 3)] {
        let actions = admission.handle(finish(finished), now);
        assert_eq!(actions, [start(started)]);
    }
}

/// Guards against state of organisations that is never removed, and against scores that are removed
/// while they still matter.
#[test]
fn idle_organisations_are_forgotten() {
    let mut now = Instant::now();
    let mut admission = AdmissionController::new(options(1, Duration::ZERO), now);
    for id in 0..10_000 {
        now += SECOND;
        admission.handle(order(id, &format!("t{id}"), now + SECOND), now);
        admission.handle(finish(id), now);
        assert!(admission.tracked_organisations() < 256);
    }
    admission.handle(order(10_000, "z", now + 60 * SECOND), now);
    admission.handle(order(10_001, "t9999", now + 60 * SECOND), now);
    admission.handle(order(10_002, "new", now + 60 * SECOND), now);
    assert_eq!(admission.handle(finish(10_000), now), [start(10_002)]);
}

/// Guards against one organisation that fills the whole queue, so that all others are refused.
#[test]
fn full_queue_displaces_the_longest() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(options(1, Duration::ZERO), now);
    let late = now + 60 * SECOND;
    admission.handle(order(0, "z", late), now);
    for id in 1..=8 {
        let organisation = if id <= 4 { "a" } else { "b" };
        assert_eq!(admission.handle(order(id, organisation, late), now), []);
    }
    let full = refuse(9, NotRunReason::QueueFull);
    assert_eq!(admission.handle(order(9, "a", late), now), [full]);
    let evicted = refuse(8, NotRunReason::QueueFull);
    assert_eq!(admission.handle(order(10, "c", late), now), [evicted]);
}

/// Guards against requests that are queued although they can't start in time, and against requests
/// that wait beyond their deadline.
#[test]
fn hopeless_and_expired_requests_are_refused() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(options(1, Duration::ZERO), now);
    admission.handle(order(1, "a", now + SECOND), now);
    let later = now + 10 * SECOND;
    admission.handle(finish(1), later);
    admission.handle(order(2, "a", later + SECOND), later);
    let late = admission.handle(order(3, "a", later + SECOND), later);
    assert_eq!(late, [refuse(3, NotRunReason::Deadline)]);
    let end = later + 11 * SECOND;
    assert_eq!(admission.handle(order(4, "a", end), later), []);
    assert_eq!(admission.next_tick(later), Some(end));
    let expired = admission.handle(Event::Tick, end);
    assert_eq!(expired, [refuse(4, NotRunReason::Deadline)]);
}

/// Guards against requests that wait until their deadline although requests queued ahead of them
/// leave no time to start.
#[test]
fn overtaken_requests_are_refused_at_once() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(options(1, Duration::ZERO), now);
    admission.handle(order(0, "a", now + 9 * SECOND), now);
    let now = now + SECOND;
    admission.handle(finish(0), now);
    admission.handle(order(1, "a", now + 9 * SECOND), now);
    let tight = now + SECOND * 5 / 2;
    assert_eq!(admission.handle(order(2, "a", tight), now), []);
    assert_eq!(admission.handle(order(3, "b", tight), now), []);
    let overtaken = refuse(2, NotRunReason::Deadline);
    assert_eq!(admission.handle(order(4, "c", tight), now), [overtaken]);
}

/// Guards against a backend server that gets all its slots at once after a cold start.
#[test]
fn cold_start_adds_slots_evenly() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(options(4, 3 * SECOND), now);
    for id in 0..4 {
        admission.handle(order(id, "a", now + 60 * SECOND), now);
    }
    for (second, running) in [(0, 1), (1, 2), (2, 3), (3, 4)] {
        let at = now + SECOND * second;
        admission.handle(Event::Tick, at);
        assert_eq!(admission.load(at).running, running);
        assert_eq!(admission.load(at).slots, Slots::new(running));
    }
}

/// Guards against feeds and connections over the limit.
#[test]
fn connection_limit_holds() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(options(1, Duration::ZERO), now);
    let feed = |id| submit(id, "a", RequestClass::Feed, now + SECOND);
    for id in 0..3 {
        assert_eq!(admission.handle(feed(id), now), [start(id)]);
        assert_eq!(admission.handle(Event::ConnectionOpened, now), []);
    }
    let reason = NotRunReason::ConnectionLimit;
    assert_eq!(admission.handle(feed(3), now), [refuse(3, reason)]);
    let refused = admission.handle(Event::ConnectionOpened, now);
    assert_eq!(refused, [Action::RefuseConnection(reason)]);
    admission.handle(finish(0), now);
    assert_eq!(admission.handle(feed(4), now), [start(4)]);
    admission.handle(Event::SetCapacityLimit(CapacityLimit::Blocked), now);
    admission.handle(finish(1), now);
    let closed = refuse(5, NotRunReason::BackendUnavailable);
    assert_eq!(admission.handle(feed(5), now), [closed]);
}

/// Guards against another request in a reserved slot, and against a reservation that never expires.
#[test]
fn reservation_holds_a_slot_until_it_lapses() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(options(1, Duration::ZERO), now);
    let until = now + SECOND;
    let reserve = |serial| Event::Reserve { serial, until };
    assert_eq!(
        admission.handle(reserve(7), now),
        [Action::GrantReservation(7)]
    );
    assert_eq!(
        admission.handle(reserve(8), now),
        [Action::DenyReservation(8)]
    );
    let late = now + 60 * SECOND;
    assert_eq!(admission.handle(order(1, "a", late), now), []);
    let Event::Submit(redeemed) = order(2, "b", late) else {
        unreachable!("an order is a submission");
    };
    let redeemed = Event::Submit(Submission {
        reservation: Some(7),
        ..redeemed
    });
    assert_eq!(admission.handle(redeemed, now), [start(2)]);
    // A start with a reservation counts for its organisation, so the other organisation is next.
    admission.handle(order(4, "b", late), now);
    admission.handle(order(5, "c", late), now);
    assert_eq!(admission.handle(finish(2), now), [start(1)]);
    assert_eq!(admission.handle(finish(1), now), [start(5)]);
    assert_eq!(admission.handle(finish(5), now), [start(4)]);
    admission.handle(finish(4), now);
    assert_eq!(
        admission.handle(reserve(9), now),
        [Action::GrantReservation(9)]
    );
    admission.handle(order(3, "a", late), now);
    assert_eq!(admission.handle(Event::Tick, until), [start(3)]);
}

/// Guards against accepting requests during a drain, and against refusing waiting requests too early.
#[test]
fn drain_lets_waiting_requests_start_until_its_deadline() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(options(1, Duration::ZERO), now);
    let late = now + 60 * SECOND;
    for id in 0..3 {
        admission.handle(order(id, "a", late), now);
    }
    let start_until = now + SECOND;
    assert_eq!(admission.handle(order(0, "a", late), now), []);
    assert_eq!(admission.handle(Event::Drain { start_until }, now), []);
    let refused = refuse(3, NotRunReason::Draining);
    assert_eq!(admission.handle(order(3, "b", late), now), [refused]);
    assert_eq!(admission.handle(finish(0), now), [start(1)]);
    let refused = refuse(2, NotRunReason::Draining);
    assert_eq!(admission.handle(Event::Tick, start_until), [refused]);
    assert_eq!(admission.load(start_until).running, 1);
}

/// Guards against a drain that is delayed by the reservation of a peer.
#[test]
fn drain_drops_reservations() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(options(1, Duration::ZERO), now);
    let until = now + SECOND;
    admission.handle(Event::Reserve { serial: 7, until }, now);
    assert_eq!(admission.load(now).running, 1);
    admission.handle(Event::Drain { start_until: until }, now);
    assert_eq!(admission.load(now).running, 0);
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u8, u8, u16),
    Finish(u8),
    Cancel(u8),
    Redirect(u8),
    Reserve(u8),
    Redeem(u8, u8),
    Release(u8),
    SetCapacityLimit(u8),
    Advance(u16),
    Drain(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<u8>(), 0..5_u8, 1..4000_u16).prop_map(|(id, t, ms)| Step::Submit(id, t, ms)),
        6 => any::<u8>().prop_map(Step::Finish),
        1 => any::<u8>().prop_map(Step::Cancel),
        1 => any::<u8>().prop_map(Step::Redirect),
        2 => (0..4_u8).prop_map(Step::Reserve),
        2 => (any::<u8>(), 0..4_u8).prop_map(|(id, serial)| Step::Redeem(id, serial)),
        1 => (0..4_u8).prop_map(Step::Release),
        1 => (0..4_u8).prop_map(Step::SetCapacityLimit),
        4 => (0..1500_u16).prop_map(Step::Advance),
        1 => (0..1500_u16).prop_map(Step::Drain),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestState {
    Submitted,
    Started,
    Ended,
}

/// Tracks the state of each request by the actions.
struct Observer {
    states: Vec<Option<RequestState>>,
    running: u32,
}

impl Observer {
    /// Records the submission of a request, unless its id is in use.
    fn on_submit(&mut self, id: u8) {
        self.states[id as usize].get_or_insert(RequestState::Submitted);
    }

    fn on_finish(&mut self, id: u8) {
        if self.states[id as usize] == Some(RequestState::Started) {
            self.states[id as usize] = Some(RequestState::Ended);
            self.running -= 1;
        }
    }

    fn on_action(&mut self, action: Action) {
        let (request, from, to) = match action {
            Action::Start(request) => (request, RequestState::Submitted, RequestState::Started),
            Action::Refuse(request, _) | Action::Redirect(request) => {
                (request, RequestState::Submitted, RequestState::Ended)
            }
            Action::CancelRunning(request) => {
                (request, RequestState::Started, RequestState::Started)
            }
            _ => return,
        };
        let index = usize::try_from(request.get()).expect("ids are small");
        assert_eq!(self.states[index], Some(from), "{action:?}");
        self.states[index] = Some(to);
        self.running += u32::from(matches!(action, Action::Start(_)));
    }
}

fn event(step: &Step, now: Instant) -> Event {
    let request = |id: &u8| RequestId::new(u64::from(*id));
    let after = |ms: &u16| now + Duration::from_millis((*ms).into());
    match step {
        Step::Submit(id, organisation, ms) => {
            order((*id).into(), &format!("t{organisation}"), after(ms))
        }
        Step::Redeem(id, serial) => Event::Submit(Submission {
            request: request(id),
            organisation: "redeemer".parse().expect("the name is valid"),
            class: RequestClass::Upload,
            deadline: now + SECOND,
            reservation: Some((*serial).into()),
        }),
        Step::Finish(id) => finish((*id).into()),
        Step::Cancel(id) => Event::Cancel {
            request: request(id),
        },
        Step::Redirect(id) => Event::Redirect {
            request: request(id),
        },
        Step::Reserve(serial) => Event::Reserve {
            serial: (*serial).into(),
            until: now + SECOND,
        },
        Step::Release(serial) => Event::Release {
            serial: (*serial).into(),
        },
        Step::SetCapacityLimit(0) => Event::SetCapacityLimit(CapacityLimit::Blocked),
        Step::SetCapacityLimit(1) => Event::SetCapacityLimit(CapacityLimit::Probe(1)),
        Step::SetCapacityLimit(2) => Event::SetCapacityLimit(CapacityLimit::Ramp),
        Step::SetCapacityLimit(_) => Event::SetCapacityLimit(CapacityLimit::AllSlots),
        Step::Drain(ms) => Event::Drain {
            start_until: after(ms),
        },
        Step::Advance(_) => Event::Tick,
    }
}

proptest! {
    /// Guards against more running requests than slots, requests that end twice or never, and
    /// requests that are refused after their start.
    #[test]
    fn each_request_ends_once_within_the_slots(steps in prop::collection::vec(step(), 1..200)) {
        let mut now = Instant::now();
        let mut admission = AdmissionController::new(options(3, 2 * SECOND), now);
        let mut observer = Observer { states: vec![None; 256], running: 0 };
        for step in &steps {
            match step {
                Step::Advance(ms) => now += Duration::from_millis((*ms).into()),
                // The agent uses each id for one request only.
                Step::Submit(id, ..) | Step::Redeem(id, _)
                    if observer.states[*id as usize].is_some() => continue,
                Step::Submit(id, ..) | Step::Redeem(id, _) => observer.on_submit(*id),
                Step::Finish(id) => observer.on_finish(*id),
                _ => {}
            }
            let before = observer.running;
            for action in admission.handle(event(step, now), now) {
                observer.on_action(action);
            }
            let load = admission.load(now);
            let waiting = observer.states.iter().filter(|s| **s == Some(RequestState::Submitted)).count();
            prop_assert!(observer.running <= before || load.running <= load.slots.get());
            prop_assert!(observer.running <= 3 && load.running <= 3);
            prop_assert!(load.running >= observer.running);
            prop_assert_eq!(load.waiting as usize, waiting);
            prop_assert!(waiting <= 8);
        }
        now += 10 * SECOND;
        for action in admission.handle(Event::Tick, now) {
            observer.on_action(action);
        }
        prop_assert!(!observer.states.contains(&Some(RequestState::Submitted)));
    }
}

/// Guards against a configuration that does not take effect: with more slots, waiting requests start
/// at once; with fewer slots, running requests continue.
#[test]
fn other_limits_take_effect_at_once_and_cut_nothing() {
    let now = Instant::now();
    let options = |slots| options(slots, Duration::ZERO);
    let mut admission = AdmissionController::new(options(2), now);
    admission.handle(Event::SetCapacityLimit(CapacityLimit::AllSlots), now);
    let deadline = now + 60 * SECOND;
    let submit = |id| submit(id, "a", RequestClass::Upload, deadline);
    let started = (0..4).map(|id| admission.handle(submit(id), now).len());
    assert_eq!(started.sum::<usize>(), 2);

    let actions = admission.handle(Event::Configure(options(3)), now);
    assert_eq!(actions, [Action::Start(RequestId::new(2))]);

    assert_eq!(admission.handle(Event::Configure(options(1)), now), []);
    assert_eq!(admission.load(now).running, 3);
    for id in 0..3 {
        let request = RequestId::new(id);
        let result = FinishResult::Ran;
        let actions = admission.handle(Event::Finish { request, result }, now);
        let expected = (id == 2).then(|| Action::Start(RequestId::new(3)));
        assert_eq!(actions, expected.into_iter().collect::<Vec<_>>());
    }
}
