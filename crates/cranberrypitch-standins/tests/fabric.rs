//! Tests of the stand-in for the fabric.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use cranberrypitch_standins::fabric::{
    Direction, Fabric, FabricHandle, FabricOptions, LinkOptions,
};
use tokio::net::UdpSocket;
use tokio::time::timeout;

const PUBLIC: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
const FIRST: Ipv4Addr = Ipv4Addr::new(127, 0, 71, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(127, 0, 71, 2);
const SILENCE: Duration = Duration::from_millis(150);
const PATIENCE: Duration = Duration::from_secs(5);

struct Bench {
    fabric: FabricHandle,
    first: UdpSocket,
    second: UdpSocket,
    caller: UdpSocket,
}

async fn bench(adjust: impl FnOnce(FabricOptions) -> FabricOptions) -> Bench {
    let first = UdpSocket::bind((FIRST, 0)).await.expect("first balancer");
    let port = first.local_addr().expect("address").port();
    let second = UdpSocket::bind((SECOND, port)).await.expect("second");
    let options = FabricOptions::new(7)
        .service(PUBLIC, port)
        .balancers(&[FIRST, SECOND]);
    let fabric = Fabric::spawn(adjust(options)).await.expect("fabric");
    let caller = UdpSocket::bind("127.0.0.1:0").await.expect("caller");
    let public = fabric.addresses()[0];
    caller.connect(public).await.expect("connect");
    Bench {
        fabric,
        first,
        second,
        caller,
    }
}

impl Bench {
    async fn send(&self, count: usize) {
        for _ in 0..count {
            self.caller.send(b"ping").await.expect("send");
        }
    }
}

/// Receives until nothing comes for a while; returns the senders.
async fn drain(socket: &UdpSocket) -> Vec<SocketAddr> {
    let mut senders = Vec::new();
    let mut buffer = [0; 2048];
    while let Ok(received) = timeout(SILENCE, socket.recv_from(&mut buffer)).await {
        senders.push(received.expect("receive").1);
    }
    senders
}

/// Guards against a balancer that never gets a packet, or sees another address of the caller.
#[tokio::test]
async fn every_balancer_gets_packets_from_the_same_caller_address() {
    let bench = bench(|options| options).await;
    bench.send(100).await;
    let mut seen = drain(&bench.first).await;
    let first_count = seen.len();
    seen.extend(drain(&bench.second).await);
    assert_eq!(seen.len(), 100);
    assert!((25..=75).contains(&first_count), "{first_count}");
    seen.dedup();
    assert_eq!(seen.len(), 1);
}

/// Guards against answers from another address than the one the caller sent to, and against
/// answers of strangers.
#[tokio::test]
async fn answers_come_from_the_public_address() {
    let bench = bench(|options| options.balancers(&[FIRST])).await;
    bench.send(1).await;
    let sender = drain(&bench.first).await[0];
    let stranger = UdpSocket::bind("127.0.71.9:0").await.expect("stranger");
    stranger.send_to(b"no", sender).await.expect("send");
    bench.first.send_to(b"yes", sender).await.expect("send");
    let mut buffer = [0; 16];
    let (len_bytes, from) = timeout(PATIENCE, bench.caller.recv_from(&mut buffer))
        .await
        .expect("in time")
        .expect("receive");
    assert_eq!(&buffer[..len_bytes], b"yes");
    assert_eq!(from, SocketAddr::V4(bench.fabric.addresses()[0]));
    assert_eq!(bench.fabric.counters().unknown_sender, 1);
}

/// Guards against packets to balancers that have left, and a cut that lets packets through.
#[tokio::test]
async fn balancers_leave_and_are_cut() {
    let bench = bench(|options| options).await;
    bench.fabric.set_balancers(&[SECOND]);
    bench.send(10).await;
    assert_eq!(drain(&bench.first).await.len(), 0);
    assert_eq!(drain(&bench.second).await.len(), 10);
    bench.fabric.set_link_down(SECOND, true);
    bench.send(10).await;
    assert_eq!(drain(&bench.second).await.len(), 0);
    bench.fabric.set_balancers(&[]);
    bench.send(1).await;
    tokio::time::sleep(SILENCE).await;
    let counters = bench.fabric.counters();
    assert_eq!(counters.balancers[&SECOND].link_down, 10);
    assert_eq!(counters.unrouted, 1);
}

/// Guards against link properties that have no effect.
#[tokio::test]
async fn links_delay_lose_and_duplicate() {
    let delay = Duration::from_millis(40);
    let slow = LinkOptions::new().delay(delay).duplication_rate(1.0);
    let bench = bench(|options| options.balancers(&[FIRST]).to_balancers(slow)).await;
    let start = Instant::now();
    bench.send(1).await;
    bench.first.readable().await.expect("readable");
    assert!(start.elapsed() >= delay);
    assert_eq!(drain(&bench.first).await.len(), 2);
    let lossy = LinkOptions::new().loss_rate(1.0);
    let set = bench.fabric.set_link_options(Direction::ToBalancers, lossy);
    set.expect("valid link");
    bench.send(5).await;
    assert_eq!(drain(&bench.first).await.len(), 0);
    assert_eq!(bench.fabric.counters().balancers[&FIRST].lost, 5);
    let wrong = LinkOptions::new().loss_rate(1.5);
    let refused = bench.fabric.set_link_options(Direction::ToBalancers, wrong);
    assert!(refused.is_err(), "a share over 1 is refused");
}

/// Guards against sockets of idle callers that stay open.
#[tokio::test]
async fn socket_of_an_idle_caller_is_dropped() {
    let idle = Duration::from_millis(100);
    let bench = bench(|o| o.balancers(&[FIRST]).idle_timeout(idle)).await;
    bench.send(1).await;
    let old = drain(&bench.first).await[0];
    bench.send(1).await;
    let new = drain(&bench.first).await[0];
    assert_ne!(old, new, "the idle socket was replaced");
    bench.first.send_to(b"late", old).await.expect("send");
    assert_eq!(drain(&bench.caller).await.len(), 0);
}

/// Guards against more sockets than the limit: the longest idle caller's socket makes room.
#[tokio::test]
async fn sockets_of_callers_are_bounded() {
    let bench = bench(|o| o.balancers(&[FIRST]).max_callers(1)).await;
    bench.send(1).await;
    let displaced = drain(&bench.first).await[0];
    let other = UdpSocket::bind("127.0.0.1:0").await.expect("caller");
    let public = bench.fabric.addresses()[0];
    other.send_to(b"ping", public).await.expect("send");
    assert_eq!(drain(&bench.first).await.len(), 1);
    bench.first.send_to(b"late", displaced).await.expect("send");
    assert_eq!(drain(&bench.caller).await.len(), 0);
}
