//! The actor that owns the balancer's view of targets and of other balancers.

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use cranberrypitch_core::membership::{
    Membership, MembershipOptions, ReportResult, Target, TargetReport,
};
use cranberrypitch_core::placement::Candidate;
use cranberrypitch_core::{Clock, FastMap, Revision, ServiceTag, TargetState};
use cranberrypitch_net::daemon::RestartLog;
use cranberrypitch_net::events::RateLimit;
use cranberrypitch_net::{Event, KeyRing};
use cranberrypitch_proto::report::{AckHints, BalancerHint, Report, ReportAck};
use cranberrypitch_proto::tunnel::{DatagramKind, Header};
use kameo::actor::{Actor, ActorRef, WeakActorRef};
use kameo::error::{ActorStopReason, Infallible, PanicError};
use kameo::message::{Context, Message};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

use crate::options::BalancerIdentity;
use crate::routing::{PathObservation, ServiceView, ServiceViews};
use crate::target_events::event_of;
use crate::traffic::ControlDatagram;

/// The time between judgements of silence.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Every so many reports are answered with hints, so that an agent hears of new peers.
const HINT_INTERVAL: u64 = 8;

/// So many answers after a change carry hints, as the tunnel may lose some of them.
const HINT_REPEATS: u8 = 3;

/// The most addresses of each kind in one answer, which keeps it far below one datagram.
const MAX_HINTS: usize = 8;

/// The time between two log lines about a target that leaves first packets unanswered.
const SUSPECTED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What the actor is started with.
#[derive(Clone, Debug)]
pub(crate) struct MembersArgs {
    pub(crate) identity: BalancerIdentity,
    pub(crate) options: MembershipOptions,
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) views: Arc<ArcSwap<ServiceViews>>,
    pub(crate) tunnel: Arc<UdpSocket>,
    pub(crate) revision: watch::Receiver<Revision>,
    pub(crate) newest_peer_revision: watch::Sender<Revision>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) restarts: RestartLog,
}

/// The actor. After a failure it starts empty and learns all targets from their next reports.
#[derive(Debug)]
pub(crate) struct MembersActor {
    args: MembersArgs,
    membership: Membership,
    agents: FastMap<SocketAddrV4, Agent>,
    balancers: Vec<BalancerHint>,
    is_leaving: bool,
    rng: StdRng,
}

/// An agent that reports to this balancer.
#[derive(Debug)]
struct Agent {
    incarnation_low: u16,
    hints_due: u8,
    suspected: RateLimit,
}

/// Replaces the live balancers, this one among them.
#[derive(Debug)]
pub(crate) struct SetBalancers(pub(crate) Vec<BalancerHint>);

/// Judges silence.
#[derive(Debug)]
pub(crate) struct MembersTick;

/// Tells all agents that this balancer leaves.
#[derive(Debug)]
pub(crate) struct SendGoodbye;

/// Asks for the known targets.
#[derive(Debug)]
pub(crate) struct ListTargets;

impl Actor for MembersActor {
    type Args = MembersArgs;
    type Error = Infallible;

    async fn on_start(args: MembersArgs, _: ActorRef<Self>) -> Result<Self, Infallible> {
        args.restarts.record_start();
        let membership = Membership::new(args.options);
        Ok(Self {
            args,
            membership,
            agents: FastMap::default(),
            balancers: Vec::new(),
            is_leaving: false,
            rng: rand::make_rng(),
        })
    }

    async fn on_panic(
        &mut self,
        _: WeakActorRef<Self>,
        err: PanicError,
    ) -> Result<ControlFlow<ActorStopReason>, Infallible> {
        self.args.restarts.record_failure(&err);
        Ok(ControlFlow::Break(ActorStopReason::Panicked(err)))
    }
}

impl MembersActor {
    fn take_report(&mut self, datagram: &ControlDatagram) {
        let Ok(report) = Report::decode(&datagram.payload) else {
            return;
        };
        let (incarnation, sequence) = (report.incarnation, report.sequence);
        self.args
            .newest_peer_revision
            .send_if_modified(|newest_peer_revision| {
                let is_newer = *newest_peer_revision < report.revision;
                *newest_peer_revision = (*newest_peer_revision).max(report.revision);
                is_newer
            });
        let is_gone = report.state == TargetState::Gone;
        let result = self.membership.on_report(
            TargetReport {
                address: datagram.from,
                incarnation,
                sequence,
                state: report.state,
                revision: report.revision,
                load: report.load,
                announcement: report.announcement,
            },
            self.args.clock.now(),
        );
        let ReportResult::Accepted { is_announced } = result else {
            return;
        };
        self.publish(datagram.header.service);
        let is_due = self.take_hint_due(datagram.from, incarnation.low_u16());
        let is_due = is_due || !is_announced || sequence.is_multiple_of(HINT_INTERVAL);
        let hints = is_due.then(|| self.hints_for(datagram));
        let revision = *self.args.revision.borrow();
        self.acknowledge(
            datagram,
            &ReportAck {
                incarnation,
                sequence,
                has_announcement: is_announced,
                revision,
                hints,
            },
        );
        if is_gone {
            self.agents.remove(&datagram.from);
        }
    }

    fn acknowledge(&self, datagram: &ControlDatagram, ack: &ReportAck) {
        if let Ok(bytes) = ack.encode() {
            let header = &datagram.header;
            let (service, incarnation_low) = (header.service, header.incarnation_low);
            self.send(
                datagram.from,
                DatagramKind::ReportAck,
                service,
                incarnation_low,
                &bytes,
            );
        }
    }

    /// Returns whether an agent has not been told often enough of the last change.
    fn take_hint_due(&mut self, from: SocketAddrV4, incarnation_low: u16) -> bool {
        let agent = self.agents.entry(from).or_insert(Agent {
            incarnation_low,
            hints_due: HINT_REPEATS,
            suspected: RateLimit::new(SUSPECTED_LOG_INTERVAL),
        });
        if agent.incarnation_low != incarnation_low {
            agent.incarnation_low = incarnation_low;
            agent.hints_due = HINT_REPEATS;
        }
        let is_due = agent.hints_due > 0;
        agent.hints_due = agent.hints_due.saturating_sub(1);
        is_due
    }

    /// Returns a random sample of what an agent needs to know. It is random so that an agent of a
    /// large service hears of other peers with each answer.
    fn hints_for(&mut self, datagram: &ControlDatagram) -> AckHints {
        let targets = self.membership.candidates(datagram.header.service);
        let peers = targets.into_iter().map(|t| t.address);
        let peers: Vec<_> = peers.filter(|a| *a != datagram.from).collect();
        let peers = peers.sample(&mut self.rng, MAX_HINTS).copied().collect();
        let balancers = self.balancers.sample(&mut self.rng, MAX_HINTS);
        AckHints {
            peers,
            balancers: balancers.cloned().collect(),
        }
    }

    /// Notes that a target left a first packet unanswered.
    fn suspect(&mut self, address: SocketAddrV4) {
        self.membership.on_unanswered_packet(address);
        let now = self.args.clock.now();
        let due = self.agents.get_mut(&address);
        let is_due = due.is_some_and(|agent| agent.suspected.count(now).is_some());
        if let Some(target) = self.membership.target(address).filter(|_| is_due) {
            Event::TargetSuspected {
                vm: target.announcement.vm.clone(),
                service: target.announcement.service.clone(),
            }
            .log();
        }
    }

    fn send(
        &self,
        to: SocketAddrV4,
        kind: DatagramKind,
        service: ServiceTag,
        incarnation_low: u16,
        payload: &[u8],
    ) {
        let mut datagram = Vec::new();
        let header = Header::without_caller(kind, service, incarnation_low);
        header.encode(payload, &self.args.keys.tunnel_keys(), &mut datagram);
        // A lost control datagram is made up for by the agent's next report.
        let _sent = self.args.tunnel.send_to(&datagram, SocketAddr::V4(to));
    }

    /// Publishes a service's targets to the traffic thread, if they have changed.
    fn publish(&self, service: ServiceTag) {
        let domain = &self.args.identity.failure_domain;
        let targets = self.membership.candidates(service);
        let candidates = targets.into_iter().map(|t| Candidate::new(t, domain));
        let view = ServiceView {
            candidates: candidates.collect(),
            subset: Vec::new(),
        };
        let views = self.args.views.load();
        let Some(published) = views.get(&service) else {
            self.change_services(|views| {
                views.insert(service, Arc::new(ArcSwap::from_pointee(view)));
            });
            return;
        };
        if **published.load() != view {
            published.store(Arc::new(view));
        }
    }

    /// Replaces the map of services, which is copied, as the traffic thread may be reading it.
    fn change_services(&self, change: impl FnOnce(&mut ServiceViews)) {
        let mut views = ServiceViews::clone(&self.args.views.load());
        change(&mut views);
        self.args.views.store(Arc::new(views));
    }

    /// Publishes what silence has changed, and drops services without targets.
    fn publish_all(&self) {
        let views = self.args.views.load_full();
        for service in views.keys() {
            self.publish(*service);
        }
        let is_known = |service: &ServiceTag| self.membership.contains_service(*service);
        if !views.keys().all(is_known) {
            self.change_services(|views| views.retain(|service, _| is_known(service)));
        }
    }
}

impl Message<ControlDatagram> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: ControlDatagram, _: &mut Context<Self, ()>) {
        if msg.header.kind == DatagramKind::Report && !self.is_leaving {
            self.take_report(&msg);
        }
    }
}

impl Message<PathObservation> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: PathObservation, _: &mut Context<Self, ()>) {
        match msg {
            PathObservation::Unanswered(address) => self.suspect(address),
            PathObservation::Answered(address) => self.membership.on_answer(address),
        }
    }
}

impl Message<MembersTick> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, _: MembersTick, _: &mut Context<Self, ()>) {
        let changes = self.membership.on_tick(self.args.clock.now());
        for event in changes.into_iter().filter_map(event_of) {
            event.log();
        }
        self.agents
            .retain(|address, _| self.membership.target(*address).is_some());
        self.publish_all();
    }
}

impl Message<SetBalancers> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetBalancers, _: &mut Context<Self, ()>) {
        if self.balancers == msg.0 {
            return;
        }
        self.balancers = msg.0;
        for agent in self.agents.values_mut() {
            agent.hints_due = HINT_REPEATS;
        }
    }
}

impl Message<SendGoodbye> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, _: SendGoodbye, _: &mut Context<Self, ()>) {
        self.is_leaving = true;
        for (address, agent) in &self.agents {
            self.send(
                *address,
                DatagramKind::Goodbye,
                ServiceTag::default(),
                agent.incarnation_low,
                &[],
            );
        }
    }
}

impl Message<ListTargets> for MembersActor {
    type Reply = Vec<Target>;

    async fn handle(&mut self, _: ListTargets, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let addresses = self.agents.keys();
        let targets = addresses.filter_map(|a| self.membership.target(*a));
        targets.cloned().collect()
    }
}
