//! The messages of the target actor.

use cranberrypitch_core::admission::{Action, Event, FinishResult, Submission};
use cranberrypitch_core::drain::Lifecycle;
use cranberrypitch_core::health::Observation;
use cranberrypitch_core::orders::Decision;
use cranberrypitch_core::{NotRunReason, Outcome, TargetState};
use cranberrypitch_net::metrics::Snapshot;
use cranberrypitch_proto::request::IssuedTicket;
use kameo::message::{Context, Message};

use super::{Pending, TargetActor, Tick, ended_by};
use crate::socket::ControlDatagram;
use crate::target::messages::{
    Cancel, CloseConnection, Configure, Drain, Ended, Finish, HealthAnswer, HealthSample,
    IssueTicket, OpenConnection, QueryOrder, Refused, RequestTimes, Sample, SetPeers, Status,
    Submit, TargetStatus, Verdict,
};
use crate::target::record::RequestKind;

impl Message<Submit> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: Submit, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        let kind = RequestKind {
            organisation: msg.organisation.clone(),
            class: msg.class,
        };
        if let Err(ended) = self.check_ticket(&msg, now) {
            if let Outcome::NotRun(reason) = ended.outcome {
                self.record.refuse(reason, Some(&kind), now);
            }
            let _sent = msg.reply.send(Verdict::Answer(ended));
            return;
        }
        if let Some(serial) = msg.reservation {
            self.moves.claim(serial, now);
        }
        let pending = Pending {
            kind,
            ticket: msg.ticket,
            reply: Some(msg.reply),
            arrived: now,
            started: None,
        };
        self.pending.insert(msg.request, pending);
        self.handle_event(Event::Submit(Submission {
            request: msg.request,
            organisation: msg.organisation,
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
        match msg.health_sample {
            Some(HealthSample::Answered(latency)) => {
                self.observe(Observation::Answered { latency }, now);
            }
            Some(HealthSample::Failed) => self.observe(Observation::Failed, now),
            Some(HealthSample::Shed) => self.observe(Observation::Shed, now),
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
        let now = self.args.clock.now();
        let decision = self.book.query(&msg.0, now);
        if decision == Decision::Unknown {
            self.record.unknown(msg.0.incarnation, msg.0.serial, now);
        }
        Some(ended_by(&decision))
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
        let reason = actions.into_iter().find_map(|action| match action {
            Action::RefuseConnection(reason) => Some(reason),
            _ => None,
        })?;
        self.record.refuse(reason, None, now);
        Some(reason)
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
            open_feeds: self.admission.feeds(),
            time_until_exit: self
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

impl Message<Refused> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: Refused, _: &mut Context<Self, ()>) {
        let kind = RequestKind {
            organisation: msg.organisation,
            class: msg.class,
        };
        let now = self.args.clock.now();
        self.record.refuse(msg.reason, Some(&kind), now);
    }
}

impl Message<Sample> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, _: Sample, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        let load = self.admission.load(now);
        self.record.sample(&load, &self.args.socket.counters(), now);
    }
}

impl Message<RequestTimes> for TargetActor {
    type Reply = Option<Snapshot>;

    async fn handle(&mut self, _: RequestTimes, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Some(self.record.times())
    }
}
