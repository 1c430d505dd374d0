//! Placement of first packets on the traffic thread.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use cranberrypitch_core::placement::{Candidate, InitialId, PlacementOptions, Placer};
use cranberrypitch_core::{FastMap, Incarnation, ServiceTag, TargetState};
use cranberrypitch_net::events::DropReason;
use rand::rngs::StdRng;
use tokio::sync::mpsc;

const LONG_HEADER_BIT: u8 = 0x80;

/// The state of a service, as published by the control thread.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct ServiceView {
    /// The targets that may receive new flows.
    pub(crate) candidates: Vec<Candidate>,
    /// A ready target in an evacuated failure domain, if there is one.
    pub(crate) evacuated_target: Option<(SocketAddrV4, Incarnation)>,
    /// Other balancers that hold the service's targets, if this one is not in that subset.
    pub(crate) subset: Vec<SocketAddrV4>,
}

/// The views of all services. A report replaces only the view of its service, so its cost does not
/// grow with the number of services.
pub(crate) type ServiceViews = FastMap<ServiceTag, Arc<ArcSwap<ServiceView>>>;

/// The tunnel addresses of the other live balancers.
pub(crate) type PeerBalancers = Vec<SocketAddrV4>;

/// The destination of a first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Destination {
    /// A target of the service.
    Target {
        agent: SocketAddrV4,
        incarnation: Incarnation,
    },
    /// An agent in an evacuated failure domain, which refuses the flow.
    Refusal {
        agent: SocketAddrV4,
        incarnation: Incarnation,
    },
    /// Another balancer, which places the packet on a target.
    Balancer { tunnel_address: SocketAddrV4 },
}

/// An observation of a target by the traffic thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PathObservation {
    /// The target did not answer a first packet.
    Unanswered(SocketAddrV4),
    /// The target answered after an unanswered first packet.
    Answered(SocketAddrV4),
}

#[derive(Debug)]
struct ServicePlacement {
    view: Arc<ServiceView>,
    placer: Placer,
}

/// Selects the destinations of first packets.
#[derive(Debug)]
pub(crate) struct Router {
    options: PlacementOptions,
    views: Arc<ArcSwap<ServiceViews>>,
    peers: Arc<ArcSwap<PeerBalancers>>,
    services: FastMap<ServiceTag, ServicePlacement>,
    observations: mpsc::Sender<PathObservation>,
    rng: StdRng,
}

impl Router {
    pub(crate) fn new(
        options: PlacementOptions,
        views: Arc<ArcSwap<ServiceViews>>,
        peers: Arc<ArcSwap<PeerBalancers>>,
        observations: mpsc::Sender<PathObservation>,
        rng: StdRng,
    ) -> Self {
        Self {
            options,
            views,
            peers,
            services: FastMap::default(),
            observations,
            rng,
        }
    }

    /// Selects a target, or another balancer if this one has none.
    ///
    /// A balancer that has just joined receives packets before the agents report to it. It passes
    /// first packets on to other balancers, because a dropped one delays its caller by one second, and a
    /// refused one may have a target that has not reported here.
    pub(crate) fn place(
        &mut self,
        service: ServiceTag,
        connection_id: &[u8],
        now: Instant,
    ) -> Result<Destination, DropReason> {
        if let Ok(view) = self.view(service)
            && let Some(tunnel_address) = pick_by_connection_id(&view.subset, connection_id)
        {
            return Ok(Destination::Balancer { tunnel_address });
        }
        let placed = self.place_locally(service, connection_id, now);
        let is_unplaced = matches!(
            placed,
            Err(DropReason::NoTarget) | Ok(Destination::Refusal { .. })
        );
        if is_unplaced
            && let Some(tunnel_address) = pick_by_connection_id(&self.peers.load(), connection_id)
        {
            return Ok(Destination::Balancer { tunnel_address });
        }
        placed
    }

    /// Selects a target among those known to this balancer.
    pub(crate) fn place_locally(
        &mut self,
        service: ServiceTag,
        connection_id: &[u8],
        now: Instant,
    ) -> Result<Destination, DropReason> {
        let initial = InitialId::try_new(connection_id).ok_or(DropReason::Malformed)?;
        let view = self.view(service)?;
        let entry = self
            .services
            .entry(service)
            .or_insert_with(|| ServicePlacement {
                view: Arc::default(),
                placer: Placer::new(self.options),
            });
        if !Arc::ptr_eq(&entry.view, &view) {
            entry.placer.set_candidates(&view.candidates, now);
            entry.view = view;
        }
        let placed = entry.placer.place(initial, now, &mut self.rng);
        let Some(placed) = placed else {
            return refusal(&entry.view).ok_or(DropReason::NoTarget);
        };
        if let Some(unanswered) = placed.unanswered_target {
            // If the queue is full, the next retransmission repeats the observation.
            let _sent = self
                .observations
                .try_send(PathObservation::Unanswered(unanswered));
        }
        Ok(Destination::Target {
            agent: placed.target,
            incarnation: placed.incarnation,
        })
    }

    /// Records an answer of a target. Only handshake packets are considered, which costs established
    /// flows next to nothing.
    pub(crate) fn record_return(
        &mut self,
        service: ServiceTag,
        target: SocketAddrV4,
        payload: &[u8],
        now: Instant,
    ) {
        if payload.first().is_none_or(|b| b & LONG_HEADER_BIT == 0) {
            return;
        }
        let Some(service) = self.services.get_mut(&service) else {
            return;
        };
        if service.placer.is_suspected(target, now) {
            let _sent = self
                .observations
                .try_send(PathObservation::Answered(target));
        }
        service.placer.on_answer(target, now);
    }

    fn view(&self, service: ServiceTag) -> Result<Arc<ServiceView>, DropReason> {
        let views = self.views.load();
        let view = views.get(&service).ok_or(DropReason::NoTarget)?;
        Ok(view.load_full())
    }
}

/// Returns the refusal of a flow if all ready targets of the service are in evacuated failure domains.
fn refusal(view: &ServiceView) -> Option<Destination> {
    let is_ready = |candidate: &Candidate| candidate.state == TargetState::Ready;
    if view.candidates.iter().any(is_ready) {
        return None;
    }
    let (agent, incarnation) = view.evacuated_target?;
    Some(Destination::Refusal { agent, incarnation })
}

/// Selects a balancer by the caller's connection id, so that a retransmission reaches the balancer
/// that placed the first packet.
fn pick_by_connection_id(balancers: &[SocketAddrV4], connection_id: &[u8]) -> Option<SocketAddrV4> {
    let hash = connection_id.iter().fold(0_usize, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(usize::from(*byte))
    });
    let index = hash.checked_rem(balancers.len())?;
    balancers.get(index).copied()
}
