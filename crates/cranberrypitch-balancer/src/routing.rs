//! Placement of first packets on the traffic thread.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use cranberrypitch_core::placement::{Candidate, InitialId, PlacementOptions, Placer};
use cranberrypitch_core::{FastMap, Incarnation, ServiceTag};
use cranberrypitch_net::events::DropReason;
use rand::rngs::StdRng;
use tokio::sync::mpsc;

const LONG_HEADER_BIT: u8 = 0x80;

/// A service as the control thread sees it.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct ServiceView {
    /// The targets that new flows may go to.
    pub(crate) candidates: Vec<Candidate>,
    /// Other balancers that know the service's targets, if this one is not of their subset.
    pub(crate) subset: Vec<SocketAddrV4>,
}

/// All services. A report replaces the view of its service and leaves the map as it is, so its cost
/// does not grow with the number of services.
pub(crate) type ServiceViews = FastMap<ServiceTag, Arc<ArcSwap<ServiceView>>>;

/// The tunnel addresses of the other live balancers.
pub(crate) type Peers = Vec<SocketAddrV4>;

/// Where a first packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Destination {
    /// To a target.
    Target {
        agent: SocketAddrV4,
        incarnation: Incarnation,
    },
    /// To a balancer that knows the service's targets.
    Balancer { tunnel_address: SocketAddrV4 },
}

/// What the traffic thread has seen of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PathObservation {
    /// It left a first packet unanswered.
    Unanswered(SocketAddrV4),
    /// It answered after it had left a first packet unanswered.
    Answered(SocketAddrV4),
}

#[derive(Debug)]
struct Service {
    view: Arc<ServiceView>,
    placer: Placer,
}

/// Picks the destinations of first packets.
#[derive(Debug)]
pub(crate) struct Router {
    options: PlacementOptions,
    views: Arc<ArcSwap<ServiceViews>>,
    peers: Arc<ArcSwap<Peers>>,
    services: FastMap<ServiceTag, Service>,
    observations: mpsc::Sender<PathObservation>,
    rng: StdRng,
}

impl Router {
    pub(crate) fn new(
        options: PlacementOptions,
        views: Arc<ArcSwap<ServiceViews>>,
        peers: Arc<ArcSwap<Peers>>,
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

    /// Picks a target, or a balancer that knows one.
    ///
    /// A balancer that has just joined gets packets before the agents report to it. It passes
    /// first packets on, as a dropped one costs its caller a second.
    pub(crate) fn place(
        &mut self,
        service: ServiceTag,
        connection_id: &[u8],
        now: Instant,
    ) -> Result<Destination, DropReason> {
        if let Ok(view) = self.view(service)
            && let Some(tunnel_address) = pick_by_id(&view.subset, connection_id)
        {
            return Ok(Destination::Balancer { tunnel_address });
        }
        let placed = self.place_here(service, connection_id, now);
        if placed == Err(DropReason::NoTarget)
            && let Some(tunnel_address) = pick_by_id(&self.peers.load(), connection_id)
        {
            return Ok(Destination::Balancer { tunnel_address });
        }
        placed
    }

    /// Picks a target among those known here.
    pub(crate) fn place_here(
        &mut self,
        service: ServiceTag,
        connection_id: &[u8],
        now: Instant,
    ) -> Result<Destination, DropReason> {
        let initial = InitialId::try_new(connection_id).ok_or(DropReason::Malformed)?;
        let view = self.view(service)?;
        let entry = self.services.entry(service).or_insert_with(|| Service {
            view: Arc::default(),
            placer: Placer::new(self.options),
        });
        if !Arc::ptr_eq(&entry.view, &view) {
            entry.placer.set_candidates(&view.candidates, now);
            entry.view = view;
        }
        let placed = entry.placer.place(initial, now, &mut self.rng);
        let placed = placed.ok_or(DropReason::NoTarget)?;
        if let Some(unanswered) = placed.unanswered_target {
            // A observation that finds the queue full is repeated by the next retransmission.
            let _sent = self
                .observations
                .try_send(PathObservation::Unanswered(unanswered));
        }
        Ok(Destination::Target {
            agent: placed.target,
            incarnation: placed.incarnation,
        })
    }

    /// Notes an answer of a target. Only packets of handshakes count, which keeps the cost off
    /// established flows.
    pub(crate) fn note_return(
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

/// Picks a balancer by the caller's connection id, so that a retransmission reaches the balancer
/// that remembers the first packet.
fn pick_by_id(balancers: &[SocketAddrV4], connection_id: &[u8]) -> Option<SocketAddrV4> {
    let sum = connection_id.iter().fold(0_usize, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(usize::from(*byte))
    });
    let index = sum.checked_rem(balancers.len())?;
    balancers.get(index).copied()
}
