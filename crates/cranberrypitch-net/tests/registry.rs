//! The list of live balancers in the store.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::ManualClock;
use cranberrypitch_net::registry::{BalancerRegistry, list_balancers};
use cranberrypitch_net::store::MemoryStore;
use cranberrypitch_proto::control::BalancerEntry;

const TTL: Duration = Duration::from_secs(10);
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

fn entry(number: u8) -> BalancerEntry {
    let ip = Ipv4Addr::new(10, 0, 0, number);
    BalancerEntry {
        vm: format!("front-{number}").parse().expect("a valid name"),
        failure_domain: "rs-sul".parse().expect("a valid name"),
        tunnel_address: SocketAddrV4::new(ip, 4000),
        control_address: SocketAddrV4::new(ip, 4001),
        is_leaving: false,
    }
}

/// Guards against balancers that disappear when the store is restored from a copy: from the list of the
/// others until they have registered again, and from the store for good if the lease that they hold was
/// given out again to another one.
#[tokio::test]
async fn live_balancers_stay_listed_after_a_restoration() {
    let clock = ManualClock::new();
    let store = MemoryStore::new(Arc::new(clock.clone()), Duration::from_secs(2));
    let registry =
        |number| BalancerRegistry::new(store.clone(), entry(number), TTL, RENEWAL_INTERVAL);
    let copy = store.copy();
    let (mut first, _) = registry(1);
    let (mut second, balancers) = registry(2);
    first.step().await;
    second.step().await;
    assert_eq!(balancers.borrow().len(), 2);

    store.restore(copy);
    second.step().await;
    assert_eq!(balancers.borrow().len(), 2, "the first one has had no time");
    first.step().await;
    clock.advance(RENEWAL_INTERVAL);
    second.step().await;
    assert_eq!(list_balancers(&store).await.unwrap().len(), 2);

    first.deregister().await;
    assert_eq!(list_balancers(&store).await.unwrap(), [entry(2)]);
    for _ in 0..4 {
        clock.advance(RENEWAL_INTERVAL);
        second.step().await;
    }
    assert_eq!(*balancers.borrow(), [entry(2)]);
}
