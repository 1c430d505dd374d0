//! The actor that owns admission, order tickets and the state of the target.
//!
//! Its state can't be rebuilt: an agent whose target actor has failed ends, and the next run has
//! a new incarnation, which answers older tickets with "unknown".

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_core::admission::{
    Action, Admission, AdmissionOptions, Event, FinishResult, Submission,
};
use cranberrypitch_core::ids::RequestId;
use cranberrypitch_core::orders::{Decision, Ticket, TicketBook, TicketBookOptions};
use cranberrypitch_core::{
    Class, Clock, FastMap, Load, NotRunReason, Outcome, TargetState, TenantId,
};
use cranberrypitch_proto::request::IssuedTicket;
use kameo::actor::{Actor, ActorRef, WeakActorRef};
use kameo::error::{ActorStopReason, Infallible};
use kameo::message::{Context, Message};
use tokio::sync::{oneshot, watch};

use crate::ids::TokenIssuer;
use crate::options::AgentIdentity;

/// How long requests that already wait may still start after a drain has begun.
const DRAIN_START_WINDOW: Duration = Duration::from_secs(2);

/// The end of a request, with the body of its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ended {
    pub(crate) outcome: Outcome,
    pub(crate) body: Arc<[u8]>,
}

impl Ended {
    pub(crate) fn without_body(outcome: Outcome) -> Self {
        Self {
            outcome,
            body: Arc::default(),
        }
    }

    pub(crate) fn not_run(reason: NotRunReason) -> Self {
        Self::without_body(Outcome::NotRun(reason))
    }
}

/// What becomes of a submitted request.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// It starts now and has to be finished with [`Finish`].
    Start,
    /// It does not start.
    Answer(Ended),
}

/// Submits a request.
#[derive(Debug)]
pub(crate) struct Submit {
    pub(crate) request: RequestId,
    pub(crate) tenant: TenantId,
    pub(crate) class: Class,
    pub(crate) deadline: Duration,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) reservation: Option<u64>,
    pub(crate) reply: oneshot::Sender<Verdict>,
}

/// Reports the end of a request that was started.
#[derive(Debug)]
pub(crate) struct Finish {
    pub(crate) request: RequestId,
    pub(crate) ended: Ended,
}

/// Withdraws a request whose caller has gone.
#[derive(Debug)]
pub(crate) struct Cancel(pub(crate) RequestId);

/// Asks for a ticket.
#[derive(Debug)]
pub(crate) struct IssueTicket;

/// Asks for the outcome of an order.
#[derive(Debug)]
pub(crate) struct QueryOrder(pub(crate) Ticket);

/// Asks for a connection; the reply is `None` if it may be taken.
#[derive(Debug)]
pub(crate) struct OpenConnection;

/// Gives a connection back.
#[derive(Debug)]
pub(crate) struct CloseConnection;

/// Begins the drain.
#[derive(Debug)]
pub(crate) struct Drain;

/// Sets whether the backend server may be given work.
#[derive(Debug)]
pub(crate) struct SetReady(pub(crate) bool);

/// Asks for state and load.
#[derive(Debug)]
pub(crate) struct Status;

/// State and load of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// The state.
    pub state: TargetState,
    /// The load.
    pub load: Load,
    /// Feeds that are open.
    pub feeds: u32,
}

impl TargetStatus {
    /// Returns whether nothing waits or runs any more.
    pub const fn is_idle(&self) -> bool {
        self.load.running == 0 && self.load.waiting == 0 && self.feeds == 0
    }
}

#[derive(Debug)]
struct Tick;

/// What the actor is started with.
#[derive(Clone, Debug)]
pub(crate) struct TargetArgs {
    pub(crate) identity: AgentIdentity,
    pub(crate) admission: AdmissionOptions,
    pub(crate) tickets: TicketBookOptions,
    pub(crate) issuer: TokenIssuer,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: watch::Sender<TargetState>,
}

#[derive(Debug)]
struct Pending {
    ticket: Option<Ticket>,
    reply: Option<oneshot::Sender<Verdict>>,
}

/// The actor.
#[derive(Debug)]
pub(crate) struct TargetActor {
    admission: Admission,
    book: TicketBook,
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
        let keys = args.issuer.keys();
        Ok(Self {
            admission: Admission::new(args.admission, now),
            book: TicketBook::new(
                args.tickets,
                identity.tunnel_address,
                identity.incarnation,
                keys,
            ),
            pending: FastMap::default(),
            args,
            tick_at: None,
            this: actor_ref.downgrade(),
        })
    }

    async fn on_stop(
        &mut self,
        _this: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Infallible> {
        self.args.state.send_replace(TargetState::Gone);
        Ok(())
    }
}

impl TargetActor {
    fn handle_event(&mut self, event: Event) {
        let now = self.args.clock.now();
        for action in self.admission.handle(event, now) {
            self.apply(action, now);
        }
        self.schedule_tick(now);
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

    fn reply(&mut self, request: RequestId, verdict: Verdict) {
        let pending = self.pending.get_mut(&request);
        if let Some(reply) = pending.and_then(|p| p.reply.take()) {
            // A caller that has gone does not read its verdict; its guard reports the end.
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
        let Some(due) = self.admission.next_tick(now) else {
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

    fn is_draining(&self) -> bool {
        *self.args.state.borrow() == TargetState::Draining
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
        let pending = Pending {
            ticket: msg.ticket,
            reply: Some(msg.reply),
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
        if self.is_draining() {
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
        self.admission
            .handle(Event::ConnectionOpened, now)
            .into_iter()
            .find_map(|action| match action {
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
        self.args.state.send_replace(TargetState::Draining);
        let start_until = self.args.clock.now() + DRAIN_START_WINDOW;
        self.handle_event(Event::Drain { start_until });
    }
}

impl Message<SetReady> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetReady, _: &mut Context<Self, ()>) {
        let state = if msg.0 {
            TargetState::Ready
        } else {
            TargetState::Starting
        };
        self.args.state.send_if_modified(|current| {
            let is_new = *current != state && *current != TargetState::Draining;
            if is_new {
                *current = state;
            }
            is_new
        });
    }
}

impl Message<Status> for TargetActor {
    type Reply = Option<TargetStatus>;

    async fn handle(&mut self, _: Status, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let load = self.admission.load(self.args.clock.now());
        Some(TargetStatus {
            state: *self.args.state.borrow(),
            load: Load {
                slots: load.slots,
                running: load.running,
                waiting: load.waiting,
                connections: load.connections,
            },
            feeds: self.admission.feeds(),
        })
    }
}

impl Message<Tick> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.tick_at = None;
        self.handle_event(Event::Tick);
    }
}
