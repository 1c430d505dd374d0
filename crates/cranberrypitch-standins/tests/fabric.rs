//! Tests of the stand-in for the network fabric.

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
/// The time without datagrams after which no more are expected.
const QUIET_PERIOD: Duration = Duration::from_millis(150);
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// A fabric between one caller and two balancers.
struct TestBed {
    fabric: FabricHandle,
    first: UdpSocket,
    second: UdpSocket,
    caller: UdpSocket,
}

async fn test_bed(adjust: impl FnOnce(FabricOptions) -> FabricOptions) -> TestBed {
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
    TestBed {
        fabric,
        first,
        second,
        caller,
    }
}

impl TestBed {
    async fn send(&self, count: usize) {
        for _ in 0..count {
            self.caller.send(b"ping").await.expect("send");
        }
    }
}

/// Receives datagrams until none arrives for [`QUIET_PERIOD`], and returns their senders.
async fn receive_all(socket: &UdpSocket) -> Vec<SocketAddr> {
    let mut senders = Vec::new();
    let mut buffer = [0; 2048];
    while let Ok(received) = timeout(QUIET_PERIOD, socket.recv_from(&mut buffer)).await {
        senders.push(received.expect("receive").1);
    }
    senders
}

/// Guards against a balancer that receives no packets, or packets from another source address of the
/// caller.
#[tokio::test]
async fn every_balancer_receives_packets_from_the_same_caller_address() {
    let test_bed = test_bed(|options| options).await;
    test_bed.send(100).await;
    let mut senders = receive_all(&test_bed.first).await;
    let first_count = senders.len();
    senders.extend(receive_all(&test_bed.second).await);
    assert_eq!(senders.len(), 100);
    assert!((25..=75).contains(&first_count), "{first_count}");
    senders.dedup();
    assert_eq!(senders.len(), 1);
}

/// Guards against returned packets from another address than the public one, and against packets from
/// unknown senders that reach the caller.
#[tokio::test]
async fn returned_packets_come_from_the_public_address() {
    let test_bed = test_bed(|options| options.balancers(&[FIRST])).await;
    test_bed.send(1).await;
    let sender = receive_all(&test_bed.first).await[0];
    let unknown_sender = UdpSocket::bind("127.0.71.9:0")
        .await
        .expect("unknown sender");
    unknown_sender.send_to(b"no", sender).await.expect("send");
    test_bed.first.send_to(b"yes", sender).await.expect("send");
    let mut buffer = [0; 16];
    let (len_bytes, from) = timeout(RECEIVE_TIMEOUT, test_bed.caller.recv_from(&mut buffer))
        .await
        .expect("packet before the timeout")
        .expect("receive");
    assert_eq!(&buffer[..len_bytes], b"yes");
    assert_eq!(from, SocketAddr::V4(test_bed.fabric.addresses()[0]));
    assert_eq!(test_bed.fabric.counters().unknown_sender, 1);
}

/// Guards against packets to removed balancers, and packets over a link that is down.
#[tokio::test]
async fn removed_and_unreachable_balancers_receive_nothing() {
    let test_bed = test_bed(|options| options).await;
    test_bed.fabric.set_balancers(&[SECOND]);
    test_bed.send(10).await;
    assert_eq!(receive_all(&test_bed.first).await.len(), 0);
    assert_eq!(receive_all(&test_bed.second).await.len(), 10);
    test_bed.fabric.set_link_down(SECOND, true);
    test_bed.send(10).await;
    assert_eq!(receive_all(&test_bed.second).await.len(), 0);
    test_bed.fabric.set_balancers(&[]);
    test_bed.send(1).await;
    tokio::time::sleep(QUIET_PERIOD).await;
    let counters = test_bed.fabric.counters();
    assert_eq!(counters.balancers[&SECOND].link_down, 10);
    assert_eq!(counters.unrouted, 1);
}

/// Guards against link properties that have no effect.
#[tokio::test]
async fn links_delay_lose_and_duplicate() {
    let delay = Duration::from_millis(40);
    let slow_link = LinkOptions::new().delay(delay).duplication_rate(1.0);
    let test_bed = test_bed(|options| options.balancers(&[FIRST]).to_balancers(slow_link)).await;
    let start = Instant::now();
    test_bed.send(1).await;
    test_bed.first.readable().await.expect("readable");
    assert!(start.elapsed() >= delay);
    assert_eq!(receive_all(&test_bed.first).await.len(), 2);
    let lossy_link = LinkOptions::new().loss_rate(1.0);
    let result = test_bed
        .fabric
        .set_link_options(Direction::ToBalancers, lossy_link);
    result.expect("valid link");
    test_bed.send(5).await;
    assert_eq!(receive_all(&test_bed.first).await.len(), 0);
    assert_eq!(test_bed.fabric.counters().balancers[&FIRST].lost, 5);
    let invalid_link = LinkOptions::new().loss_rate(1.5);
    let refused = test_bed
        .fabric
        .set_link_options(Direction::ToBalancers, invalid_link);
    assert!(refused.is_err(), "a loss rate over 1 is refused");
}

/// Guards against sockets of idle callers that stay open.
#[tokio::test]
async fn socket_of_an_idle_caller_is_dropped() {
    let idle = Duration::from_millis(100);
    let test_bed = test_bed(|o| o.balancers(&[FIRST]).idle_timeout(idle)).await;
    test_bed.send(1).await;
    let old_address = receive_all(&test_bed.first).await[0];
    test_bed.send(1).await;
    let new_address = receive_all(&test_bed.first).await[0];
    assert_ne!(old_address, new_address, "the idle socket was replaced");
    test_bed
        .first
        .send_to(b"late", old_address)
        .await
        .expect("send");
    assert_eq!(receive_all(&test_bed.caller).await.len(), 0);
}

/// Guards against more sockets than the limit. A further caller replaces the one that has been idle for
/// longest.
#[tokio::test]
async fn sockets_of_callers_are_bounded() {
    let test_bed = test_bed(|o| o.balancers(&[FIRST]).max_callers(1)).await;
    test_bed.send(1).await;
    let evicted = receive_all(&test_bed.first).await[0];
    let other = UdpSocket::bind("127.0.0.1:0").await.expect("caller");
    let public = test_bed.fabric.addresses()[0];
    other.send_to(b"ping", public).await.expect("send");
    assert_eq!(receive_all(&test_bed.first).await.len(), 1);
    test_bed
        .first
        .send_to(b"late", evicted)
        .await
        .expect("send");
    assert_eq!(receive_all(&test_bed.caller).await.len(), 0);
}
