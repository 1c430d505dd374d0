//! The membership actor, which owns the state of targets and of other balancers.

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use cranberrypitch_core::membership::{
    EvacuatedDomains, Membership, MembershipOptions, ReportResult, Target, TargetReport,
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
use crate::router::{PathObservation, ServiceView, ServiceViews};
use crate::target_events::event_of;
use crate::traffic::ControlDatagram;

/// The interval of checks for silent targets.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// The interval, in reports of an agent, at which acknowledgements carry hints about new peers.
const HINT_INTERVAL_REPORTS: u64 = 8;

/// The number of acknowledgements with hints after a change, because the tunnel may lose some.
const HINT_REPEATS: u8 = 3;

/// The limit on the addresses of each kind in one acknowledgement, which keeps it far below the size
/// of a datagram.
const MAX_HINTS: usize = 8;

/// The shortest interval between two log lines about a target that does not answer first packets.
const SUSPECTED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The arguments of the actor.
#[derive(Clone, Debug)]
pub(crate) struct MembershipActorArgs {
    pub(crate) identity: BalancerIdentity,
    pub(crate) options: MembershipOptions,
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) views: Arc<ArcSwap<ServiceViews>>,
    pub(crate) tunnel: Arc<UdpSocket>,
    pub(crate) revision: watch::Receiver<Revision>,
    pub(crate) newest_peer_revision: watch::Sender<Revision>,
    /// The evacuations, which outlive a restart of the actor.
    pub(crate) evacuated_domains: watch::Receiver<EvacuatedDomains>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) restarts: RestartLog,
}

/// The membership actor. After a failure it restarts empty, and the next reports restore its targets.
#[derive(Debug)]
pub(crate) struct MembershipActor {
    args: MembershipActorArgs,
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
    remaining_hints: u8,
    suspected_log_limit: RateLimit,
}

/// Replaces the list of live balancers, including this one.
#[derive(Debug)]
pub(crate) struct SetBalancers(pub(crate) Vec<BalancerHint>);

/// Checks for silent targets.
#[derive(Debug)]
pub(crate) struct CheckLiveness;

/// Publishes the targets of all services again, after a change of the evacuations.
#[derive(Debug)]
pub(crate) struct RepublishTargets;

/// Announces the shutdown of this balancer to all agents.
#[derive(Debug)]
pub(crate) struct AnnounceShutdown;

/// Returns the known targets, including silent ones.
#[derive(Debug)]
pub(crate) struct ListTargets;

impl Actor for MembershipActor {
    type Args = MembershipActorArgs;
    type Error = Infallible;

    async fn on_start(args: MembershipActorArgs, _: ActorRef<Self>) -> Result<Self, Infallible> {
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

impl MembershipActor {
    fn handle_report(&mut self, datagram: &ControlDatagram) {
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
        self.publish_service(datagram.header.service);
        let is_due = self.consume_hint(datagram.from, incarnation.low_u16());
        let is_due = is_due || !is_announced || sequence.is_multiple_of(HINT_INTERVAL_REPORTS);
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

    /// Returns whether an acknowledgement to an agent is due to carry hints after a change, and counts
    /// it.
    fn consume_hint(&mut self, from: SocketAddrV4, incarnation_low: u16) -> bool {
        let agent = self.agents.entry(from).or_insert(Agent {
            incarnation_low,
            remaining_hints: HINT_REPEATS,
            suspected_log_limit: RateLimit::new(SUSPECTED_LOG_INTERVAL),
        });
        if agent.incarnation_low != incarnation_low {
            agent.incarnation_low = incarnation_low;
            agent.remaining_hints = HINT_REPEATS;
        }
        let is_due = agent.remaining_hints > 0;
        agent.remaining_hints = agent.remaining_hints.saturating_sub(1);
        is_due
    }

    /// Returns a random sample of the peers of an agent and of the balancers. Random sampling gives an
    /// agent of a large service different peers with each acknowledgement.
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

    /// Records that a target did not answer a first packet, and logs it.
    fn record_unanswered(&mut self, address: SocketAddrV4) {
        self.membership.on_unanswered_packet(address);
        let now = self.args.clock.now();
        let due = self.agents.get_mut(&address);
        let is_due = due.is_some_and(|agent| agent.suspected_log_limit.count(now).is_some());
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
        // The acknowledgement of the agent's next report makes up for a lost control datagram.
        let _sent = self.args.tunnel.send_to(&datagram, SocketAddr::V4(to));
    }

    /// Publishes the targets of a service to the traffic thread if they have changed.
    fn publish_service(&self, service: ServiceTag) {
        let domain = &self.args.identity.failure_domain;
        let targets = self.membership.candidates(service);
        let evacuated = self.args.evacuated_domains.borrow();
        let is_evacuated = |target: &&Target| {
            let failure_domain = &target.announcement.failure_domain;
            evacuated.contains(failure_domain)
        };
        let (excluded, placeable): (Vec<_>, Vec<_>) = targets.into_iter().partition(is_evacuated);
        let refusing = excluded.iter().find(|t| t.state == TargetState::Ready);
        let candidates = placeable.into_iter().map(|t| Candidate::new(t, domain));
        let view = ServiceView {
            candidates: candidates.collect(),
            evacuated_target: refusing.map(|target| (target.address, target.incarnation)),
            subset: Vec::new(),
        };
        let views = self.args.views.load();
        let Some(published) = views.get(&service) else {
            self.update_service_map(|views| {
                views.insert(service, Arc::new(ArcSwap::from_pointee(view)));
            });
            return;
        };
        if **published.load() != view {
            published.store(Arc::new(view));
        }
    }

    /// Replaces the map of services by an updated copy, because the traffic thread may be reading it.
    fn update_service_map(&self, change: impl FnOnce(&mut ServiceViews)) {
        let mut views = ServiceViews::clone(&self.args.views.load());
        change(&mut views);
        self.args.views.store(Arc::new(views));
    }

    /// Publishes the targets of all services, and removes services without targets.
    fn publish_all(&self) {
        let views = self.args.views.load_full();
        for service in views.keys() {
            self.publish_service(*service);
        }
        let is_known = |service: &ServiceTag| self.membership.contains_service(*service);
        if !views.keys().all(is_known) {
            self.update_service_map(|views| views.retain(|service, _| is_known(service)));
        }
    }
}

impl Message<ControlDatagram> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: ControlDatagram, _: &mut Context<Self, ()>) {
        if msg.header.kind == DatagramKind::Report && !self.is_leaving {
            self.handle_report(&msg);
        }
    }
}

impl Message<PathObservation> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: PathObservation, _: &mut Context<Self, ()>) {
        match msg {
            PathObservation::Unanswered(address) => self.record_unanswered(address),
            PathObservation::Answered(address) => self.membership.on_answer(address),
        }
    }
}

impl Message<CheckLiveness> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: CheckLiveness, _: &mut Context<Self, ()>) {
        let changes = self.membership.on_tick(self.args.clock.now());
        for event in changes.into_iter().filter_map(event_of) {
            event.log();
        }
        self.agents
            .retain(|address, _| self.membership.target(*address).is_some());
        self.publish_all();
    }
}

impl Message<SetBalancers> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetBalancers, _: &mut Context<Self, ()>) {
        if self.balancers == msg.0 {
            return;
        }
        self.balancers = msg.0;
        for agent in self.agents.values_mut() {
            agent.remaining_hints = HINT_REPEATS;
        }
    }
}

impl Message<RepublishTargets> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: RepublishTargets, _: &mut Context<Self, ()>) {
        self.publish_all();
    }
}

impl Message<AnnounceShutdown> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: AnnounceShutdown, _: &mut Context<Self, ()>) {
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

impl Message<ListTargets> for MembershipActor {
    type Reply = Vec<Target>;

    async fn handle(&mut self, _: ListTargets, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let addresses = self.agents.keys();
        let targets = addresses.filter_map(|a| self.membership.target(*a));
        targets.cloned().collect()
    }
}
