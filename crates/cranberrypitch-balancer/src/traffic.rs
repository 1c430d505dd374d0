//! The traffic thread, which forwards datagrams between callers and agents.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use cranberrypitch_core::{Clock, FastMap, ServiceTag};
use cranberrypitch_net::KeyRing;
use cranberrypitch_net::events::DropReason;
use cranberrypitch_proto::tunnel::{DatagramKind, HEADER_LEN_BYTES, Header};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet};

use crate::counters::TrafficCounters;
use crate::route::{Route, route};
use crate::router::{Destination, Router};

/// The limit on the length of a datagram, which fits into an Ethernet frame.
const MAX_DATAGRAM_BYTES: usize = 1500;

/// The number of datagrams received from one socket before the task yields to other sockets.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// The idle time after which a socket is closed if its address is no longer in the configuration.
/// Until then it stays open for its remaining flows.
const UNUSED_SOCKET_TIMEOUT: Duration = Duration::from_mins(10);

/// A tunnel datagram for the control thread.
#[derive(Debug)]
pub(crate) struct ControlDatagram {
    pub(crate) from: SocketAddrV4,
    pub(crate) header: Header,
    pub(crate) payload: Vec<u8>,
}

/// The services by their addresses.
pub(crate) type ServiceAddresses = FastMap<SocketAddrV4, ServiceTag>;

/// The inputs of the traffic thread.
pub(crate) struct TrafficThreadArgs {
    pub(crate) keys: Arc<KeyRing>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) addresses: Arc<ArcSwap<ServiceAddresses>>,
    pub(crate) counters: Arc<TrafficCounters>,
    pub(crate) tunnel: UdpSocket,
    pub(crate) router: Router,
    pub(crate) control: mpsc::Sender<ControlDatagram>,
    pub(crate) service_sockets: mpsc::Receiver<ServiceSocket>,
}

/// A socket that the control thread opened for a service address.
#[derive(Debug)]
pub(crate) struct ServiceSocket {
    pub(crate) address: SocketAddrV4,
    pub(crate) socket: std::net::UdpSocket,
}

/// The state that the tasks of the traffic thread share.
struct TrafficState {
    keys: Arc<KeyRing>,
    clock: Arc<dyn Clock>,
    addresses: Arc<ArcSwap<ServiceAddresses>>,
    counters: Arc<TrafficCounters>,
    tunnel: UdpSocket,
    router: RefCell<Router>,
    sockets: RefCell<FastMap<SocketAddrV4, Rc<UdpSocket>>>,
}

/// Runs the traffic thread until the channel of service sockets is closed.
pub(crate) async fn run(args: TrafficThreadArgs) -> io::Result<()> {
    let shared = Rc::new(TrafficState {
        keys: args.keys,
        clock: args.clock,
        addresses: args.addresses,
        counters: args.counters,
        tunnel: args.tunnel,
        router: RefCell::new(args.router),
        sockets: RefCell::default(),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn_local(serve_tunnel(Rc::clone(&shared), args.control));
    let mut service_sockets = args.service_sockets;
    loop {
        let opened = tokio::select! {
            opened = service_sockets.recv() => opened,
            Some(ended) = tasks.join_next() => {
                propagate_panic(ended);
                continue;
            }
        };
        let Some(opened) = opened else {
            return Ok(());
        };
        let socket = Rc::new(UdpSocket::from_std(opened.socket)?);
        shared
            .sockets
            .borrow_mut()
            .insert(opened.address, Rc::clone(&socket));
        tasks.spawn_local(serve_callers(Rc::clone(&shared), opened.address, socket));
    }
}

/// Propagates the panic of a task, which ends the thread. Otherwise the task's socket would stay open
/// without being served.
fn propagate_panic(ended: Result<(), JoinError>) {
    if let Err(error) = ended
        && error.is_panic()
    {
        std::panic::resume_unwind(error.into_panic());
    }
}

/// Forwards the datagrams that callers send to one service address.
async fn serve_callers(shared: Rc<TrafficState>, address: SocketAddrV4, socket: Rc<UdpSocket>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let idle = tokio::time::timeout(UNUSED_SOCKET_TIMEOUT, socket.readable());
        if idle.await.is_err() {
            if shared.addresses.load().contains_key(&address) {
                continue;
            }
            shared.sockets.borrow_mut().remove(&address);
            return;
        }
        for _ in 0..MAX_BATCH_DATAGRAMS {
            // Leaves space for the tunnel header in front of the payload, so that no copy is needed.
            match socket.try_recv_from(&mut datagram[HEADER_LEN_BYTES..]) {
                Ok((len, SocketAddr::V4(caller))) => {
                    let datagram = &mut datagram[..HEADER_LEN_BYTES + len];
                    if let Err(reason) = shared.forward(address, caller, datagram) {
                        shared.counters.count_dropped(reason);
                    }
                }
                Ok(_) => shared.counters.count_dropped(DropReason::Malformed),
                Err(_) => break,
            }
        }
        tokio::task::yield_now().await;
    }
}

/// Handles the datagrams of agents and other balancers.
async fn serve_tunnel(shared: Rc<TrafficState>, control: mpsc::Sender<ControlDatagram>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if shared.tunnel.readable().await.is_err() {
            continue;
        }
        for _ in 0..MAX_BATCH_DATAGRAMS {
            match shared.tunnel.try_recv_from(&mut datagram) {
                Ok((len, SocketAddr::V4(from))) => {
                    let datagram = &mut datagram[..len];
                    if let Err(reason) = shared.handle_tunnel_datagram(from, datagram, &control) {
                        shared.counters.count_dropped(reason);
                    }
                }
                Ok(_) => shared.counters.count_dropped(DropReason::InvalidTunnel),
                Err(_) => break,
            }
        }
        tokio::task::yield_now().await;
    }
}

impl TrafficState {
    /// Forwards a datagram of a caller, which follows the space for the tunnel header in `datagram`.
    fn forward(
        &self,
        address: SocketAddrV4,
        caller: SocketAddrV4,
        datagram: &mut [u8],
    ) -> Result<(), DropReason> {
        match route(&datagram[HEADER_LEN_BYTES..], &self.keys.token_keys())? {
            Route::Agent {
                agent,
                service,
                incarnation_low,
            } => {
                let header = Header {
                    kind: DatagramKind::Forward,
                    service,
                    service_address: address,
                    caller,
                    incarnation_low,
                };
                self.send(header, datagram, agent)?;
                self.counters.count_forwarded();
                Ok(())
            }
            Route::NewFlow { connection_id } => {
                let now = self.clock.now();
                let service = self.service_at(address)?;
                let mut router = self.router.borrow_mut();
                let destination = router.place(service, connection_id, now)?;
                drop(router);
                self.send_first_packet(destination, service, address, caller, datagram)
            }
        }
    }

    fn service_at(&self, address: SocketAddrV4) -> Result<ServiceTag, DropReason> {
        self.addresses
            .load()
            .get(&address)
            .copied()
            .ok_or(DropReason::NoService)
    }

    /// Sends a first packet to its destination and counts it.
    fn send_first_packet(
        &self,
        destination: Destination,
        service: ServiceTag,
        service_address: SocketAddrV4,
        caller: SocketAddrV4,
        datagram: &mut [u8],
    ) -> Result<(), DropReason> {
        let (kind, to, incarnation_low) = match destination {
            Destination::Target { agent, incarnation } => {
                self.counters.count_placed();
                (DatagramKind::Forward, agent, incarnation.low_u16())
            }
            Destination::Refusal { agent, incarnation } => {
                self.counters.count_dropped(DropReason::Evacuated);
                (
                    DatagramKind::RefuseFirstPacket,
                    agent,
                    incarnation.low_u16(),
                )
            }
            Destination::Balancer { tunnel_address } => {
                self.counters.count_passed_on();
                (DatagramKind::ForwardFirstPacket, tunnel_address, 0)
            }
        };
        let header = Header {
            kind,
            service,
            service_address,
            caller,
            incarnation_low,
        };
        self.send(header, datagram, to)
    }

    fn send(
        &self,
        header: Header,
        datagram: &mut [u8],
        to: SocketAddrV4,
    ) -> Result<(), DropReason> {
        header.write(&self.keys.tunnel_keys(), datagram);
        match self.tunnel.try_send_to(datagram, SocketAddr::V4(to)) {
            Ok(_) => Ok(()),
            Err(_) => Err(DropReason::SendFailed),
        }
    }

    /// Handles a tunnel datagram.
    fn handle_tunnel_datagram(
        &self,
        from: SocketAddrV4,
        datagram: &mut [u8],
        control: &mpsc::Sender<ControlDatagram>,
    ) -> Result<(), DropReason> {
        let Ok((header, payload)) = Header::decode(datagram, &self.keys.tunnel_keys()) else {
            return Err(DropReason::InvalidTunnel);
        };
        match header.kind {
            DatagramKind::Return => self.return_to_caller(from, &header, payload),
            DatagramKind::ForwardFirstPacket => self.place_for_peer(header, datagram),
            DatagramKind::Report | DatagramKind::Goodbye => {
                if header.kind == DatagramKind::Report {
                    self.counters.count_report();
                }
                let payload = payload.to_vec();
                let message = ControlDatagram {
                    from,
                    header,
                    payload,
                };
                control
                    .try_send(message)
                    .map_err(|_full| DropReason::QueueFull)
            }
            DatagramKind::Forward
            | DatagramKind::ReportAck
            | DatagramKind::Peer
            | DatagramKind::RefuseFirstPacket => Err(DropReason::InvalidTunnel),
        }
    }

    fn return_to_caller(
        &self,
        from: SocketAddrV4,
        header: &Header,
        payload: &[u8],
    ) -> Result<(), DropReason> {
        let now = self.clock.now();
        self.router
            .borrow_mut()
            .record_return(header.service, from, payload, now);
        let sockets = self.sockets.borrow();
        let socket = sockets.get(&header.service_address);
        let socket = socket.ok_or(DropReason::UnknownServiceAddress)?;
        match socket.try_send_to(payload, SocketAddr::V4(header.caller)) {
            Ok(_) => {
                self.counters.count_returned();
                Ok(())
            }
            Err(_) => Err(DropReason::SendFailed),
        }
    }

    /// Places a first packet that another balancer passed on. It is placed on a target or dropped, and
    /// never passed on again, so that two balancers with different views can't forward it in a loop.
    fn place_for_peer(&self, header: Header, datagram: &mut [u8]) -> Result<(), DropReason> {
        let Ok(Route::NewFlow { connection_id }) =
            route(&datagram[HEADER_LEN_BYTES..], &self.keys.token_keys())
        else {
            return Err(DropReason::Malformed);
        };
        let now: Instant = self.clock.now();
        let destination =
            self.router
                .borrow_mut()
                .place_locally(header.service, connection_id, now)?;
        self.send_first_packet(
            destination,
            header.service,
            header.service_address,
            header.caller,
            datagram,
        )
    }
}
