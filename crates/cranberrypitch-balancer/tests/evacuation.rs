//! Placement while failure domains are evacuated, with stand-ins of agents and the in-memory store.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_balancer::{BalancerHandle, BalancerIdentity, BalancerOptions, ServiceAddress};
use cranberrypitch_core::{
    Announcement, ConnectionLimit, FailureDomain, Incarnation, KeyGeneration, Revision,
    ServiceName, ServiceTag, Slots, SystemClock, TargetLoad, TargetState,
};
use cranberrypitch_net::KeyRing;
use cranberrypitch_net::evacuation::{self, EvacuationOutcome};
use cranberrypitch_net::registry::BalancerRegistry;
use cranberrypitch_net::store::MemoryStore;
use cranberrypitch_proto::control::BalancerEntry;
use cranberrypitch_proto::report::Report;
use cranberrypitch_proto::tunnel::{DatagramKind, Header};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

fn domain(name: &str) -> FailureDomain {
    FailureDomain::try_new(name).unwrap()
}

fn service() -> ServiceName {
    ServiceName::try_new("matcher").unwrap()
}

/// Returns a loopback address whose port is free.
fn free_address() -> SocketAddrV4 {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, socket.local_addr().unwrap().port())
}

/// A balancer that follows the evacuations in a store, and one agent in each of the domains `a` and `b`.
struct Fixture {
    keys: Arc<KeyRing>,
    store: MemoryStore,
    registry: BalancerRegistry<MemoryStore>,
    balancer: BalancerHandle,
    tunnel_address: SocketAddrV4,
    service_address: SocketAddrV4,
    agents: [UdpSocket; 2],
    next_connection_id: u64,
}

impl Fixture {
    async fn start() -> Self {
        let keys = Arc::new(KeyRing::from_secret(KeyGeneration::new(1), &[1; 32]));
        let (tunnel_address, service_address) = (free_address(), free_address());
        let identity = BalancerIdentity {
            vm: "front-1".parse().unwrap(),
            failure_domain: domain("a"),
            tunnel_address,
        };
        let options = BalancerOptions::builder(identity, Arc::clone(&keys));
        let balancer = BalancerHandle::spawn(options.seed(1).build()).unwrap();
        let address = ServiceAddress {
            address: service_address,
            service: ServiceTag::of(&service()),
        };
        let services = [address];
        let opened = balancer.set_services(&services, Revision::new(1));
        opened.await.unwrap();
        let store = MemoryStore::new(Arc::new(SystemClock), Duration::from_secs(2));
        let entry = BalancerEntry {
            vm: "front-1".parse().unwrap(),
            failure_domain: domain("a"),
            control_address: tunnel_address,
            tunnel_address,
            is_leaving: false,
        };
        let (ttl, renewal_interval) = (Duration::from_secs(10), Duration::from_secs(3));
        let (registry, _) = BalancerRegistry::new(store.clone(), entry, ttl, renewal_interval);
        let agents = ["a", "b"].map(|_| {
            let agent = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            agent.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
            agent
        });
        let fixture = Self {
            keys,
            store,
            registry,
            balancer,
            tunnel_address,
            service_address,
            agents,
            next_connection_id: 0,
        };
        fixture.report("a", &fixture.agents[0]);
        fixture.report("b", &fixture.agents[1]);
        fixture
    }

    /// Sends a report of an idle target, and awaits its acknowledgement.
    fn report(&self, domain_name: &str, agent: &UdpSocket) {
        let incarnation = Incarnation::new(1);
        let report = Report {
            incarnation,
            sequence: 0,
            state: TargetState::Ready,
            revision: Revision::new(1),
            load: TargetLoad {
                slots: Slots::new(100),
                running: 0,
                waiting: 0,
                connections: 0,
            },
            announcement: Some(Announcement {
                vm: "target-1".parse().unwrap(),
                failure_domain: domain(domain_name),
                service: service(),
                connection_limit: ConnectionLimit::new(1000),
            }),
        };
        let tag = ServiceTag::of(&service());
        let header = Header::without_caller(DatagramKind::Report, tag, incarnation.low_u16());
        let mut datagram = Vec::new();
        let payload = report.encode().unwrap();
        header.encode(&payload, &self.keys.tunnel_keys(), &mut datagram);
        agent.send_to(&datagram, self.tunnel_address).unwrap();
        agent.recv(&mut [0; 1500]).unwrap();
    }

    /// Reads the store as the balancer does at each interval, and applies the evacuations.
    async fn read_store(&mut self) {
        self.registry.step().await;
        let evacuated = self.registry.evacuated_domains();
        let domains = evacuated.borrow().clone();
        self.balancer.set_evacuations(domains).await.unwrap();
        // The republication is processed before this query.
        self.balancer.targets().await.unwrap();
    }

    async fn begin(&mut self, name: &str) {
        let outcome = evacuation::begin(&self.store, &domain(name)).await;
        assert_eq!(outcome, EvacuationOutcome::Begun);
        self.read_store().await;
    }

    /// Opens flows, and returns what arrived at the agents in the domains `a` and `b`.
    fn open_flows(&mut self, count: u64) -> [Vec<DatagramKind>; 2] {
        let caller = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let mut arrived = [Vec::new(), Vec::new()];
        for _ in 0..count {
            self.next_connection_id += 1;
            let mut initial = vec![0xc0, 0, 0, 0, 1, 8];
            initial.extend(self.next_connection_id.to_be_bytes());
            initial.resize(1200, 0);
            caller.send_to(&initial, self.service_address).unwrap();
            let (index, kind) = self.receive();
            arrived[index].push(kind);
        }
        arrived
    }

    /// Receives a datagram at any of the agents.
    fn receive(&self) -> (usize, DatagramKind) {
        let started = std::time::Instant::now();
        let mut datagram = [0; 1500];
        while started.elapsed() < ANSWER_TIMEOUT {
            for (index, agent) in self.agents.iter().enumerate() {
                agent
                    .set_read_timeout(Some(Duration::from_millis(1)))
                    .unwrap();
                if let Ok(len) = agent.recv(&mut datagram) {
                    let keys = self.keys.tunnel_keys();
                    let (header, _) = Header::decode(&datagram[..len], &keys).unwrap();
                    return (index, header.kind);
                }
            }
        }
        panic!("no datagram arrived");
    }
}

/// Guards against new flows in an evacuated failure domain, and against one that stays empty after the end.
#[tokio::test]
async fn no_flow_is_placed_in_an_evacuated_domain_until_its_end() {
    let mut fixture = Fixture::start().await;
    fixture.read_store().await;
    assert!(!fixture.open_flows(20)[0].is_empty());
    fixture.begin("a").await;
    let [in_a, in_b] = fixture.open_flows(20);
    assert_eq!((in_a.len(), in_b.len()), (0, 20));
    let ended = evacuation::end(&fixture.store, &domain("a")).await;
    assert_eq!(ended, EvacuationOutcome::Ended);
    fixture.read_store().await;
    assert!(!fixture.open_flows(20)[0].is_empty());
}

/// Guards against callers that wait for a handshake which no target may accept: an agent refuses the flow
/// at once.
#[tokio::test]
async fn flows_are_refused_at_once_if_every_domain_is_evacuated() {
    let mut fixture = Fixture::start().await;
    fixture.begin("a").await;
    fixture.begin("b").await;
    let [in_a, in_b] = fixture.open_flows(3);
    let kinds = [in_a, in_b].concat();
    assert_eq!(kinds, [DatagramKind::RefuseFirstPacket; 3]);
}

/// Guards against an evacuation that ends because the store can't be read.
#[tokio::test]
async fn evacuation_stays_in_force_while_the_store_is_down() {
    let mut fixture = Fixture::start().await;
    fixture.begin("a").await;
    fixture.store.faults().set_down(true);
    for _ in 0..5 {
        fixture.read_store().await;
    }
    let [in_a, in_b] = fixture.open_flows(20);
    assert_eq!((in_a.len(), in_b.len()), (0, 20));
}
