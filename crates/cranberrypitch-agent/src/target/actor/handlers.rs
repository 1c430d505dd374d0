//! The message handlers of the target actor.

use cranberrypitch_core::admission::{Action, Event, FinishResult, Submission};
use cranberrypitch_core::drain::Lifecycle;
use cranberrypitch_core::health::Observation;
use cranberrypitch_core::orders::TicketDecision;
use cranberrypitch_core::{NotRunReason, Outcome, TargetState};
use cranberrypitch_net::metrics::RequestTimesSnapshot;
use cranberrypitch_proto::request::IssuedTicket;
use kameo::message::{Context, Message};

use super::{PendingRequest, TargetActor, Tick, completion_of};
use crate::socket::ControlDatagram;
use crate::target::messages::{
    CancelRequest, CloseConnection, Completion, Configure, Drain, Finish, GetRequestTimes,
    GetStatus, HealthProbeResult, HealthSample, IssueTicket, OpenConnection, QueryOrder,
    RecordRefusal, SampleMetrics, SetPeers, Submit, SubmitReply, TargetStatus,
};
use crate::target::telemetry::RequestLabels;

impl Message<Submit> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: Submit, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        let labels = RequestLabels {
            organisation: msg.organisation.clone(),
            class: msg.class,
        };
        if let Err(completion) = self.check_ticket(&msg, now) {
            if let Outcome::NotRun(reason) = completion.outcome {
                self.telemetry.record_refusal(reason, Some(&labels), now);
            }
            let _sent = msg.reply.send(SubmitReply::Completed(completion));
            return;
        }
        if let Some(serial) = msg.reservation {
            self.handoff.claim(serial, now);
        }
        let pending = PendingRequest {
            labels,
            ticket: msg.ticket,
            reply: Some(msg.reply),
            arrived_at: now,
            started_at: None,
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
        self.end_request(msg.request, &msg.completion, now);
        match msg.health_sample {
            Some(HealthSample::Responded(latency)) => {
                self.observe_health(Observation::Answered { latency }, now);
            }
            Some(HealthSample::Failed) => self.observe_health(Observation::Failed, now),
            Some(HealthSample::Shed) => self.observe_health(Observation::Shed, now),
            None => {}
        }
        let result = match msg.completion.outcome {
            Outcome::NotRun(_) => FinishResult::NotRun,
            _ => FinishResult::Ran,
        };
        self.handle_event(Event::Finish {
            request: msg.request,
            result,
        });
    }
}

impl Message<CancelRequest> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: CancelRequest, _: &mut Context<Self, ()>) {
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
        let ticket = self.ticket_table.issue(self.args.clock.now());
        Some(IssuedTicket {
            ticket,
            token: self.args.issuer.issue(),
        })
    }
}

impl Message<QueryOrder> for TargetActor {
    type Reply = Option<Completion>;

    async fn handle(&mut self, msg: QueryOrder, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.refresh_keys();
        let now = self.args.clock.now();
        let decision = self.ticket_table.query(&msg.0, now);
        if decision == TicketDecision::Unknown {
            self.telemetry
                .record_unknown_outcome(msg.0.incarnation, msg.0.serial, now);
        }
        Some(completion_of(&decision))
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
        let actions = self.apply_event(Event::ConnectionOpened, now);
        let reason = actions.into_iter().find_map(|action| match action {
            Action::RefuseConnection(reason) => Some(reason),
            _ => None,
        })?;
        self.telemetry.record_refusal(reason, None, now);
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

impl Message<HealthProbeResult> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: HealthProbeResult, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        self.observe_health(Observation::HealthEndpoint { is_ok: msg.is_ok }, now);
        self.update_after_event(now);
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
        self.handoff.set_peers(msg.0);
    }
}

impl Message<ControlDatagram> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ControlDatagram, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        let steps = self.handoff.receive(&msg, now);
        self.apply_handoff_steps(steps, now);
        self.update_after_event(now);
    }
}

impl Message<GetStatus> for TargetActor {
    type Reply = Option<TargetStatus>;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
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
        self.scheduled_tick = None;
        self.observe_health(Observation::Tick, self.args.clock.now());
        self.handle_event(Event::Tick);
    }
}

impl Message<RecordRefusal> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, msg: RecordRefusal, _: &mut Context<Self, ()>) {
        let labels = RequestLabels {
            organisation: msg.organisation,
            class: msg.class,
        };
        let now = self.args.clock.now();
        self.telemetry
            .record_refusal(msg.reason, Some(&labels), now);
    }
}

impl Message<SampleMetrics> for TargetActor {
    type Reply = ();

    async fn handle(&mut self, _: SampleMetrics, _: &mut Context<Self, ()>) {
        let now = self.args.clock.now();
        let load = self.admission.load(now);
        self.telemetry
            .sample(&load, &self.args.socket.drop_counters(), now);
    }
}

impl Message<GetRequestTimes> for TargetActor {
    type Reply = Option<RequestTimesSnapshot>;

    async fn handle(
        &mut self,
        _: GetRequestTimes,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Some(self.telemetry.request_times())
    }
}
