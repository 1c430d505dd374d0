//! The target actor and the transitions of its state.

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

use super::messages::{Completion, Submit, SubmitReply};
use super::peer_handoff::{HandoffStep, PeerHandoff};
use super::telemetry::{RequestLabels, Telemetry};
use crate::options::AgentIdentity;
use crate::socket::TunnelSocket;
use crate::token_issuer::TokenIssuer;

/// How long admission reserves a slot for a peer's request. The offer to the peer expires earlier.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(150);

/// A timer event.
#[derive(Debug)]
struct Tick;

/// The arguments of the actor.
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

/// A request that has been submitted and has not completed.
#[derive(Debug)]
struct PendingRequest {
    labels: RequestLabels,
    ticket: Option<Ticket>,
    reply: Option<oneshot::Sender<SubmitReply>>,
    arrived_at: Instant,
    started_at: Option<Instant>,
}

/// The actor that owns the state of the target.
#[derive(Debug)]
pub(crate) struct TargetActor {
    admission: AdmissionController,
    ticket_table: TicketTable,
    health: HealthMonitor,
    handoff: PeerHandoff,
    draining: Option<Lifecycle<Draining>>,
    pending: FastMap<RequestId, PendingRequest>,
    telemetry: Telemetry,
    args: TargetArgs,
    scheduled_tick: Option<Instant>,
    self_ref: WeakActorRef<Self>,
}

impl Actor for TargetActor {
    type Args = TargetArgs;
    type Error = Infallible;

    async fn on_start(args: TargetArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        let now = args.clock.now();
        let identity = &args.identity;
        let (agent, incarnation) = (identity.tunnel_address, identity.incarnation);
        let mut admission = AdmissionController::new(args.admission, now);
        let initial_limit = Event::SetCapacityLimit(HealthMonitor::initial_capacity_limit());
        admission.handle(initial_limit, now);
        Ok(Self {
            admission,
            ticket_table: TicketTable::new(
                args.tickets,
                agent,
                incarnation,
                args.issuer.token_keys(),
            ),
            health: HealthMonitor::new(args.health, now),
            handoff: PeerHandoff::new(args.issuer.clone(), Arc::clone(&args.socket), now),
            draining: None,
            pending: FastMap::default(),
            telemetry: Telemetry::new(args.metrics.clone(), now),
            args,
            scheduled_tick: None,
            self_ref: actor_ref.downgrade(),
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
        self.apply_event(event, now);
        self.update_after_event(now);
    }

    /// Passes an event to admission, carries out the resulting actions and returns them. Any event
    /// may start or refuse further requests, because time has passed since the last one.
    fn apply_event(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let actions = self.admission.handle(event, now);
        for action in &actions {
            self.apply_action(*action, now);
        }
        actions
    }

    fn apply_action(&mut self, action: Action, now: Instant) {
        match action {
            Action::Start(request) => self.start_request(request, now),
            Action::Refuse(request, reason) => {
                self.end_request(request, &Completion::not_run(reason), now);
            }
            // A started request continues without its caller, who can query the outcome by ticket.
            _ => {}
        }
    }

    /// Updates health, handoff, drain and timer from the state of admission.
    fn update_after_event(&mut self, now: Instant) {
        let load = self.admission.load(now);
        let slots = Observation::Slots {
            running: load.running,
            slots: load.slots.get(),
        };
        self.observe_health(slots, now);
        let queue = self.queue_state(now);
        let steps = self.handoff.observe(queue, now);
        self.apply_handoff_steps(steps, now);
        let remaining = self.remaining(now);
        if let Some(draining) = &mut self.draining {
            draining.observe(remaining, now);
        }
        self.schedule_tick(now);
    }

    fn queue_state(&self, now: Instant) -> QueueState {
        let load = self.admission.load(now);
        let used = load.running.saturating_sub(self.handoff.reserved_slots());
        let next = self.admission.next_waiting();
        QueueState {
            free_slots: load.slots.get().saturating_sub(used),
            waiting: load.waiting,
            movable: load.waiting,
            oldest_since: next
                .and_then(|id| self.pending.get(&id))
                .map(|p| p.arrived_at),
            may_offer_slots: self.draining.is_none() && self.health.accepts_flows(),
        }
    }

    fn apply_handoff_steps(&mut self, steps: Vec<HandoffStep>, now: Instant) {
        for step in steps {
            match step {
                HandoffStep::Redirect(reservation) => self.redirect_next(reservation, now),
                HandoffStep::Reserve { peer, serial } => {
                    let until = now + RESERVATION_LIFETIME;
                    let reserve = Event::Reserve { serial, until };
                    let actions = self.apply_event(reserve, now);
                    if actions.contains(&Action::GrantReservation(serial)) {
                        self.handoff.offer(peer, serial);
                    }
                }
            }
        }
    }

    /// Redirects the next request of the queue to a peer. It is removed from the queue, so it can't
    /// run at both agents.
    fn redirect_next(&mut self, reservation: Reservation, now: Instant) {
        let Some(request) = self.admission.next_waiting() else {
            return;
        };
        let actions = self.apply_event(Event::Redirect { request }, now);
        if actions.contains(&Action::Redirect(request)) {
            let completion = Completion::without_body(Outcome::Redirect(reservation));
            self.end_request(request, &completion, now);
        }
    }

    fn observe_health(&mut self, observation: Observation, now: Instant) {
        for change in self.health.observe(observation, now) {
            match change {
                HealthChange::CapacityLimit(capacity_limit) => {
                    self.apply_event(Event::SetCapacityLimit(capacity_limit), now);
                }
                HealthChange::State(state) => self.log_health_state(state, observation, now),
            }
        }
        self.telemetry
            .record_overruled_probes(self.health.endpoint_mismatches(), now);
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

    fn start_request(&mut self, request: RequestId, now: Instant) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.started_at = Some(now);
        let wait = now.saturating_duration_since(pending.arrived_at);
        self.telemetry.record_start(&pending.labels, wait);
        if let Some(reply) = pending.reply.take() {
            // The reply fails if the caller has disconnected; the task of the request reports its
            // end.
            let _sent = reply.send(SubmitReply::Started);
        }
    }

    fn log_health_state(&self, state: HealthState, cause: Observation, now: Instant) {
        match state {
            HealthState::Starting => {}
            HealthState::Ready => LogEvent::BackendReady {
                slots: self.admission.load(now).slots,
            }
            .log(),
            HealthState::Failing => LogEvent::BackendDown {
                error: failure_cause(cause).into(),
            }
            .log(),
        }
    }

    /// Records the completion of a request, and replies to its caller if it was not started.
    fn end_request(&mut self, request: RequestId, completion: &Completion, now: Instant) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let service_time = pending
            .started_at
            .map(|at| now.saturating_duration_since(at));
        self.telemetry
            .record_end(&pending.labels, &completion.outcome, service_time, now);
        if let Some(ticket) = pending.ticket {
            if completion.outcome == Outcome::Unknown {
                self.telemetry
                    .record_unknown_outcome(ticket.incarnation, ticket.serial, now);
            }
            self.ticket_table.complete(
                &ticket,
                completion.outcome.clone(),
                Arc::clone(&completion.body),
                now,
            );
        }
        if let Some(reply) = pending.reply {
            let _sent = reply.send(SubmitReply::Completed(completion.clone()));
        }
    }

    fn schedule_tick(&mut self, now: Instant) {
        let ticks = [
            self.admission.next_tick(now),
            self.handoff.next_tick(),
            self.health.next_tick(),
        ];
        let Some(due) = ticks.into_iter().flatten().min() else {
            return;
        };
        if self.scheduled_tick.is_some_and(|at| at <= due && at > now) {
            return;
        }
        self.scheduled_tick = Some(due);
        let actor = self.self_ref.clone();
        let wait = due.saturating_duration_since(now);
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            if let Some(actor) = actor.upgrade() {
                let _sent = actor.tell(Tick).await;
            }
        });
    }

    fn refresh_keys(&mut self) {
        self.ticket_table.set_keys(self.args.issuer.token_keys());
    }

    fn remaining(&self, now: Instant) -> RemainingWork {
        let load = self.admission.load(now);
        RemainingWork {
            running: load.running,
            waiting: load.waiting,
            feeds: self.admission.feeds(),
        }
    }

    /// Checks the ticket of an order before it is submitted. Returns the completion of an order
    /// that must not run.
    fn check_ticket(&mut self, submit: &Submit, now: Instant) -> Result<(), Completion> {
        if submit.class != RequestClass::Order {
            return Ok(());
        }
        let Some(ticket) = &submit.ticket else {
            return Err(Completion::not_run(NotRunReason::InvalidTicket));
        };
        self.refresh_keys();
        let decision = self.ticket_table.use_ticket(ticket, now);
        match &decision {
            TicketDecision::Run => return Ok(()),
            TicketDecision::Answer(_) => {
                self.telemetry
                    .record_repeated_order(ticket.incarnation, ticket.serial, now);
            }
            TicketDecision::Unknown => {
                self.telemetry
                    .record_unknown_outcome(ticket.incarnation, ticket.serial, now);
            }
            _ => {}
        }
        Err(completion_of(&decision))
    }
}

/// Returns the reason for which a backend server counts as failing.
const fn failure_cause(cause: Observation) -> &'static str {
    match cause {
        Observation::Answered { .. } => "responses take too long",
        Observation::Failed => "requests fail",
        Observation::Shed => "the backend server sheds requests",
        Observation::HealthEndpoint { .. } => "the health endpoint does not report a working state",
        _ => "all slots are busy and no request completes",
    }
}

fn completion_of(decision: &TicketDecision) -> Completion {
    let outcome = decision.outcome().unwrap_or(Outcome::Unknown);
    match decision {
        TicketDecision::Answer(answer) => Completion {
            outcome,
            body: Arc::clone(&answer.body),
        },
        _ => Completion::without_body(outcome),
    }
}
