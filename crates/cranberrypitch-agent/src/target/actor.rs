//! The actor.

mod handlers;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_core::admission::{Action, AdmissionController, AdmissionOptions, Event};
use cranberrypitch_core::drain::{DrainOptions, Draining, Lifecycle, RemainingWork};
use cranberrypitch_core::handoff::QueueState;
use cranberrypitch_core::health::{
    HealthChange, HealthMonitor, HealthOptions, HealthState, Observation,
};
use cranberrypitch_core::ids::RequestId;
use cranberrypitch_core::orders::{Ticket, TicketDecision, TicketTable, TicketTableOptions};
use cranberrypitch_core::{
    Clock, FastMap, NotRunReason, Outcome, RequestClass, Reservation, TargetState,
};
use cranberrypitch_net::{Event as LogEvent, Metrics};
use kameo::actor::{Actor, ActorRef, WeakActorRef};
use kameo::error::{ActorStopReason, Infallible};
use tokio::sync::{oneshot, watch};

use super::messages::{Ended, Submit, Verdict};
use super::moves::{Moves, Step};
use super::record::{Record, RequestKind};
use crate::ids::TokenIssuer;
use crate::options::AgentIdentity;
use crate::socket::TunnelSocket;

/// How long admission holds a slot for a peer's request; the offer itself lapses earlier.
const RESERVATION: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct Tick;

/// What the actor is started with.
#[derive(Clone, Debug)]
pub(crate) struct TargetArgs {
    pub(crate) identity: AgentIdentity,
    pub(crate) admission: AdmissionOptions,
    pub(crate) tickets: TicketTableOptions,
    pub(crate) health: HealthOptions,
    pub(crate) drain: DrainOptions,
    pub(crate) issuer: TokenIssuer,
    pub(crate) socket: Arc<TunnelSocket>,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: watch::Sender<TargetState>,
}

#[derive(Debug)]
struct Pending {
    kind: RequestKind,
    ticket: Option<Ticket>,
    reply: Option<oneshot::Sender<Verdict>>,
    arrived: Instant,
    started: Option<Instant>,
}

/// The actor.
#[derive(Debug)]
pub(crate) struct TargetActor {
    admission: AdmissionController,
    book: TicketTable,
    health: HealthMonitor,
    moves: Moves,
    draining: Option<Lifecycle<Draining>>,
    pending: FastMap<RequestId, Pending>,
    record: Record,
    args: TargetArgs,
    tick_at: Option<Instant>,
    this: WeakActorRef<Self>,
}

impl Actor for TargetActor {
    type Args = TargetArgs;
    type Error = Infallible;

    async fn on_start(args: TargetArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        let now = args.clock.now();
        let identity = &args.identity;
        let (agent, incarnation) = (identity.tunnel_address, identity.incarnation);
        let mut admission = AdmissionController::new(args.admission, now);
        let closed = Event::SetCapacityLimit(HealthMonitor::initial_capacity_limit());
        admission.handle(closed, now);
        Ok(Self {
            admission,
            book: TicketTable::new(args.tickets, agent, incarnation, args.issuer.keys()),
            health: HealthMonitor::new(args.health, now),
            moves: Moves::new(args.issuer.clone(), Arc::clone(&args.socket), now),
            draining: None,
            pending: FastMap::default(),
            record: Record::new(args.metrics.clone(), now),
            args,
            tick_at: None,
            this: actor_ref.downgrade(),
        })
    }

    async fn on_stop(
        &mut self,
        _actor_ref: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Infallible> {
        self.args.state.send_replace(TargetState::Gone);
        Ok(())
    }
}

impl TargetActor {
    fn handle_event(&mut self, event: Event) {
        let now = self.args.clock.now();
        self.admit(event, now);
        self.settle(now);
    }

    /// Carries out what follows from an event, and returns it. Any event may start or refuse other
    /// requests than the one it is about, as time has passed since the last one.
    fn admit(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let actions = self.admission.handle(event, now);
        for action in &actions {
            self.apply(*action, now);
        }
        actions
    }

    fn apply(&mut self, action: Action, now: Instant) {
        match action {
            Action::Start(request) => self.start(request, now),
            Action::Refuse(request, reason) => {
                self.end(request, &Ended::not_run(reason), now);
            }
            // A started request runs on without its caller, whose ticket finds its outcome.
            _ => {}
        }
    }

    /// Lets health, moves and the drain take in what has changed.
    fn settle(&mut self, now: Instant) {
        let load = self.admission.load(now);
        let slots = Observation::Slots {
            running: load.running,
            slots: load.slots.get(),
        };
        self.observe(slots, now);
        let queue = self.queue_state(now);
        let steps = self.moves.observe(queue, now);
        self.take_steps(steps, now);
        let remaining = self.remaining(now);
        if let Some(draining) = &mut self.draining {
            draining.observe(remaining, now);
        }
        self.schedule_tick(now);
    }

    fn queue_state(&self, now: Instant) -> QueueState {
        let load = self.admission.load(now);
        let used = load.running.saturating_sub(self.moves.reserved_slots());
        let next = self.admission.next_waiting();
        QueueState {
            free_slots: load.slots.get().saturating_sub(used),
            waiting: load.waiting,
            movable: load.waiting,
            oldest_since: next.and_then(|id| self.pending.get(&id)).map(|p| p.arrived),
            may_offer_slots: self.draining.is_none() && self.health.accepts_flows(),
        }
    }

    fn take_steps(&mut self, steps: Vec<Step>, now: Instant) {
        for step in steps {
            match step {
                Step::Redirect(reservation) => self.redirect_next(reservation, now),
                Step::Reserve { peer, serial } => {
                    let until = now + RESERVATION;
                    let reserve = Event::Reserve { serial, until };
                    let actions = self.admit(reserve, now);
                    if actions.contains(&Action::GrantReservation(serial)) {
                        self.moves.offer(peer, serial);
                    }
                }
            }
        }
    }

    /// Redirects the request that would start next. It leaves the queue for good, so it can't run
    /// here any more.
    fn redirect_next(&mut self, reservation: Reservation, now: Instant) {
        let Some(request) = self.admission.next_waiting() else {
            return;
        };
        let actions = self.admit(Event::Redirect { request }, now);
        if actions.contains(&Action::Redirect(request)) {
            let ended = Ended::without_body(Outcome::Redirect(reservation));
            self.end(request, &ended, now);
        }
    }

    fn observe(&mut self, observation: Observation, now: Instant) {
        for change in self.health.observe(observation, now) {
            match change {
                HealthChange::CapacityLimit(capacity_limit) => {
                    self.admit(Event::SetCapacityLimit(capacity_limit), now);
                }
                HealthChange::State(state) => self.log_health(state, observation, now),
            }
        }
        self.record
            .overruled(self.health.endpoint_mismatches(), now);
        let accepts_flows = self.health.accepts_flows();
        self.args.state.send_if_modified(|state| {
            let next = match state {
                TargetState::Draining | TargetState::Gone => *state,
                _ if accepts_flows => TargetState::Ready,
                _ => TargetState::Starting,
            };
            std::mem::replace(state, next) != next
        });
    }

    fn start(&mut self, request: RequestId, now: Instant) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.started = Some(now);
        let wait = now.saturating_duration_since(pending.arrived);
        self.record.start(&pending.kind, wait);
        if let Some(reply) = pending.reply.take() {
            // A caller that has gone does not read its verdict; its task reports the end.
            let _sent = reply.send(Verdict::Start);
        }
    }

    fn log_health(&self, state: HealthState, cause: Observation, now: Instant) {
        match state {
            HealthState::Starting => {}
            HealthState::Ready => LogEvent::BackendReady {
                slots: self.admission.load(now).slots,
            }
            .log(),
            HealthState::Failing => LogEvent::BackendDown {
                error: cause_text(cause).into(),
            }
            .log(),
        }
    }

    /// Notes the end of a request, and answers it if it has not started.
    fn end(&mut self, request: RequestId, ended: &Ended, now: Instant) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let service = pending.started.map(|at| now.saturating_duration_since(at));
        self.record.end(&pending.kind, &ended.outcome, service, now);
        if let Some(ticket) = pending.ticket {
            if ended.outcome == Outcome::Unknown {
                self.record.unknown(ticket.incarnation, ticket.serial, now);
            }
            self.book
                .complete(&ticket, ended.outcome.clone(), Arc::clone(&ended.body), now);
        }
        if let Some(reply) = pending.reply {
            let _sent = reply.send(Verdict::Answer(ended.clone()));
        }
    }

    fn schedule_tick(&mut self, now: Instant) {
        let ticks = [
            self.admission.next_tick(now),
            self.moves.next_tick(),
            self.health.next_tick(),
        ];
        let Some(due) = ticks.into_iter().flatten().min() else {
            return;
        };
        if self.tick_at.is_some_and(|at| at <= due && at > now) {
            return;
        }
        self.tick_at = Some(due);
        let this = self.this.clone();
        let wait = due.saturating_duration_since(now);
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            if let Some(this) = this.upgrade() {
                let _sent = this.tell(Tick).await;
            }
        });
    }

    fn refresh_keys(&mut self) {
        self.book.set_keys(self.args.issuer.keys());
    }

    fn remaining(&self, now: Instant) -> RemainingWork {
        let load = self.admission.load(now);
        RemainingWork {
            running: load.running,
            waiting: load.waiting,
            feeds: self.admission.feeds(),
        }
    }

    /// Decides about the ticket of an order before it is submitted.
    fn check_ticket(&mut self, submit: &Submit, now: Instant) -> Result<(), Ended> {
        if submit.class != RequestClass::Order {
            return Ok(());
        }
        let Some(ticket) = &submit.ticket else {
            return Err(Ended::not_run(NotRunReason::InvalidTicket));
        };
        self.refresh_keys();
        let decision = self.book.use_ticket(ticket, now);
        match &decision {
            TicketDecision::Run => return Ok(()),
            TicketDecision::Answer(_) => {
                self.record.repeated(ticket.incarnation, ticket.serial, now);
            }
            TicketDecision::Unknown => {
                self.record.unknown(ticket.incarnation, ticket.serial, now);
            }
            _ => {}
        }
        Err(ended_by(&decision))
    }
}

/// Returns why a backend server is taken for failing.
const fn cause_text(cause: Observation) -> &'static str {
    match cause {
        Observation::Answered { .. } => "answers take too long",
        Observation::Failed => "requests fail",
        Observation::Shed => "requests are shed",
        Observation::HealthEndpoint { .. } => "the health endpoint does not say that it works",
        _ => "all slots are busy and nothing is answered",
    }
}

fn ended_by(decision: &TicketDecision) -> Ended {
    let outcome = decision.outcome().unwrap_or(Outcome::Unknown);
    match decision {
        TicketDecision::Answer(answer) => Ended {
            outcome,
            body: Arc::clone(&answer.body),
        },
        _ => Ended::without_body(outcome),
    }
}
