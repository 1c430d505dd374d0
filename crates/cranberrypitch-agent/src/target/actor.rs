//! The actor.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_core::admission::{
    Action, Admission, AdmissionOptions, Event, FinishResult, Submission,
};
use cranberrypitch_core::drain::{DrainOptions, Draining, Lifecycle, Remaining};
use cranberrypitch_core::handoff::QueueState;
use cranberrypitch_core::health::{Change, Health, HealthOptions, Observation};
use cranberrypitch_core::ids::RequestId;
use cranberrypitch_core::orders::{Decision, Ticket, TicketBook, TicketBookOptions};
use cranberrypitch_core::{Class, Clock, FastMap, NotRunReason, Outcome, Reservation, TargetState};
use cranberrypitch_proto::request::IssuedTicket;
use kameo::actor::{Actor, ActorRef, WeakActorRef};
use kameo::error::{ActorStopReason, Infallible};
use kameo::message::{Context, Message};
use tokio::sync::{oneshot, watch};

use super::messages::{
    Cancel, CloseConnection, Configure, Drain, Ended, Finish, HealthAnswer, IssueTicket,
    OpenConnection, QueryOrder, SetPeers, Sight, Status, Submit, TargetStatus, Verdict,
};
use super::moves::{Moves, Step};
use crate::ids::TokenIssuer;
use crate::options::AgentIdentity;
use crate::socket::{ControlDatagram, TunnelSocket};

/// How long admission holds a slot for a peer's request; the offer itself lapses earlier.
const RESERVATION: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct Tick;

/// What the actor is started with.
#[derive(Clone, Debug)]
pub(crate) struct TargetArgs {
    pub(crate) identity: AgentIdentity,
    pub(crate) admission: AdmissionOptions,
    pub(crate) tickets: TicketBookOptions,
    pub(crate) health: HealthOptions,
    pub(crate) drain: DrainOptions,
    pub(crate) issuer: TokenIssuer,
    pub(crate) socket: Arc<TunnelSocket>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: watch::Sender<TargetState>,
}

#[derive(Debug)]
struct Pending {
    ticket: Option<Ticket>,
    reply: Option<oneshot::Sender<Verdict>>,
    arrived: Instant,
}

/// The actor.
#[derive(Debug)]
pub(crate) struct TargetActor {
    admission: Admission,
    book: TicketBook,
    health: Health,
    moves: Moves,
    draining: Option<Lifecycle<Draining>>,
    pending: FastMap<RequestId, Pending>,
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
        let mut admission = Admission::new(args.admission, now);
        let closed = Event::Allow(Health::first_allowance());
        admission.handle(closed, now);
        Ok(Self {
            admission,
            book: TicketBook::new(args.tickets, agent, incarnation, args.issuer.keys()),
            health: Health::new(args.health, now),
            moves: Moves::new(args.issuer.clone(), Arc::clone(&args.socket), now),
            draining: None,
            pending: FastMap::default(),
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
            Action::Start(request) => self.reply(request, Verdict::Start),
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
        let used = load.running.saturating_sub(self.moves.reserved());
        let next = self.admission.next_waiting();
        QueueState {
            free_slots: load.slots.get().saturating_sub(used),
            waiting: load.waiting,
            movable: load.waiting,
            oldest_since: next.and_then(|id| self.pending.get(&id)).map(|p| p.arrived),
            may_offer: self.draining.is_none() && self.health.may_place(),
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
                    if actions.contains(&Action::Reserved(serial)) {
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
            if let Change::Allow(allowance) = change {
                self.admit(Event::Allow(allowance), now);
            }
        }
        let may_place = self.health.may_place();
        self.args.state.send_if_modified(|state| {
            let next = match state {
                TargetState::Draining | TargetState::Gone => *state,
                _ if may_place => TargetState::Ready,
                _ => TargetState::Starting,
            };
            std::mem::replace(state, next) != next
        });
    }

    fn reply(&mut self, request: RequestId, verdict: Verdict) {
        let pending = self.pending.get_mut(&request);
        if let Some(reply) = pending.and_then(|p| p.reply.take()) {
            // A caller that has gone does not read its verdict; its task reports the end.
            let _sent = reply.send(verdict);
        }
    }

    /// Notes the end of a request, and answers it if it has not started.
    fn end(&mut self, request: RequestId, ended: &Ended, now: Instant) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        if let Some(ticket) = pending.ticket {
            self.book
                .end(&ticket, ended.outcome.clone(), Arc::clone(&ended.body), now);
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

    fn remaining(&self, now: Instant) -> Remaining {
        let load = self.admission.load(now);
        Remaining {
            running: load.running,
            waiting: load.waiting,
            feeds: self.admission.feeds(),
        }
    }

    /// Decides about the ticket of an order before it is submitted.
    fn check_ticket(&mut self, submit: &Submit, now: Instant) -> Result<(), Ended> {
        if submit.class != Class::Order {
            return Ok(());
        }
        let Some(ticket) = &submit.ticket else {
            return Err(Ended::not_run(NotRunReason::InvalidTicket));
        };
        self.refresh_keys();
        match self.book.use_ticket(ticket, now) {
            Decision::Run => Ok(()),
            decision => Err(ended_by(&decision)),
        }
    }
}

fn ended_by(decision: &Decision) -> Ended {
    let outcome = decision.outcome().unwrap_or(Outcome::Unknown);
    match decision {
        Decision::Answer(answer) => Ended {
            outcome,
            body: Arc::clone(&answer.body),
        },
        _ => Ended::without_body(outcome),
    }
}

impl Message<Submit> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: Submit, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        if let Err(ended) = self.check_ticket(&msg, now) {
            let _sent = msg.reply.send(Verdict::Answer(ended));
            return;
        }
        if let Some(serial) = msg.reservation {
            self.moves.claim(serial, now);
        }
        let pending = Pending {
            ticket: msg.ticket,
            reply: Some(msg.reply),
            arrived: now,
        };
        self.pending.insert(msg.request, pending);
        self.handle_event(Event::Submit(Submission {
            request: msg.request,
            tenant: msg.tenant,
            class: msg.class,
            deadline: now + msg.deadline,
            reservation: msg.reservation,
        }));
    }
}

impl Message<Finish> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: Finish, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        self.end(msg.request, &msg.ended, now);
        match msg.sight {
            Some(Sight::Answered(latency)) => self.observe(Observation::Answered { latency }, now),
            Some(Sight::Failed) => self.observe(Observation::Failed, now),
            Some(Sight::Shed) => self.observe(Observation::Shed, now),
            None => {}
        }
        let result = match msg.ended.outcome {
            Outcome::NotRun(_) => FinishResult::NotRun,
            _ => FinishResult::Ran,
        };
        self.handle_event(Event::Finish {
            request: msg.request,
            result,
        });
    }
}

impl Message<Cancel> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: Cancel, _: &mut Context<Self, ()>) {
        self.handle_event(Event::Cancel { request: msg.0 });
    }
}

impl Message<IssueTicket> for TargetActor {
    type Reply = Option<IssuedTicket>;

    async fn handle(&mut self, _: IssueTicket, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        if self.draining.is_some() {
            return None;
        }
        self.refresh_keys();
        let ticket = self.book.issue(self.args.clock.now());
        Some(IssuedTicket {
            ticket,
            token: self.args.issuer.issue(),
        })
    }
}

impl Message<QueryOrder> for TargetActor {
    type Reply = Option<Ended>;

    async fn handle(&mut self, msg: QueryOrder, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.refresh_keys();
        Some(ended_by(&self.book.query(&msg.0, self.args.clock.now())))
    }
}

impl Message<OpenConnection> for TargetActor {
    type Reply = Option<NotRunReason>;

    async fn handle(
        &mut self,
        _: OpenConnection,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.args.clock.now();
        let actions = self.admit(Event::ConnectionOpened, now);
        actions.into_iter().find_map(|action| match action {
            Action::RefuseConnection(reason) => Some(reason),
            _ => None,
        })
    }
}

impl Message<CloseConnection> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, _: CloseConnection, _: &mut Context<Self, ()>) {
        self.handle_event(Event::ConnectionClosed);
    }
}

impl Message<Drain> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, _: Drain, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        let options = self.args.drain;
        let begin = || Lifecycle::new().drain(options, now);
        let start_until = self.draining.get_or_insert_with(begin).start_until();
        self.args.state.send_replace(TargetState::Draining);
        self.handle_event(Event::Drain { start_until });
    }
}

impl Message<HealthAnswer> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: HealthAnswer, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        self.observe(Observation::HealthEndpoint { is_ok: msg.is_ok }, now);
        self.settle(now);
    }
}

impl Message<Configure> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: Configure, _: &mut Context<Self, ()>) {
        self.handle_event(Event::Configure(msg.0));
    }
}

impl Message<SetPeers> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetPeers, _: &mut Context<Self, ()>) {
        self.moves.set_peers(msg.0);
    }
}

impl Message<ControlDatagram> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ControlDatagram, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        let steps = self.moves.receive(&msg, now);
        self.take_steps(steps, now);
        self.settle(now);
    }
}

impl Message<Status> for TargetActor {
    type Reply = Option<TargetStatus>;

    async fn handle(&mut self, _: Status, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.args.clock.now();
        Some(TargetStatus {
            state: *self.args.state.borrow(),
            load: self.admission.load(now),
            feeds: self.admission.feeds(),
            exit_in: self
                .draining
                .as_ref()
                .and_then(Lifecycle::exit_at)
                .map(|at| at.saturating_duration_since(now)),
        })
    }
}

impl Message<Tick> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.tick_at = None;
        self.observe(Observation::Tick, self.args.clock.now());
        self.handle_event(Event::Tick);
    }
}
