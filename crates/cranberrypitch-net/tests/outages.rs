//! Log lines about store outages, invalid configurations and failed actors and threads.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::{Revision, SystemClock};
use cranberrypitch_net::Metrics;
use cranberrypitch_net::config_sync::{ConfigPeers, ConfigSync, ConfigSyncOptions};
use cranberrypitch_net::daemon::{RestartLog, log_thread_exit};
use cranberrypitch_net::peers::ControlPeer;
use cranberrypitch_net::store::{ExpectedVersion, MemoryStore, Put, Store, StoreKey, StoreMonitor};

/// Guards against a store outage that is not logged, or is logged for each call.
#[tokio::test]
async fn an_outage_is_logged_once_with_its_end() {
    common::record_log();
    let store = MemoryStore::new(Arc::new(SystemClock), Duration::from_millis(500));
    let faults = store.faults().clone();
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7);
    let monitor = StoreMonitor::new(address, Metrics::disabled());
    let (first, second) = (monitor.observe(store.clone()), monitor.observe(store));
    let key = StoreKey::try_new("config/head").expect("a valid key");
    faults.set_down(true);
    for _ in 0..3 {
        first.get(&key).await.expect_err("the store is down");
        second.get(&key).await.expect_err("the store is down");
    }
    faults.set_down(false);
    first.get(&key).await.expect("the store answers");
    second.get(&key).await.expect("the store answers");
    assert_eq!(common::count_lines("CP0801 store 127.0.0.1:7 down: "), 1);
    assert_eq!(
        common::count_lines("CP0802 store 127.0.0.1:7 back after "),
        1
    );
}

struct NoPeers;

impl ConfigPeers for NoPeers {
    type Peer = ControlPeer;

    fn pick(&self, _: usize, _: Revision) -> Vec<ControlPeer> {
        Vec::new()
    }
}

/// Guards against a malformed configuration in the store that is not logged.
#[tokio::test]
async fn a_malformed_configuration_is_logged() {
    common::record_log();
    let clock = Arc::new(SystemClock);
    let store = MemoryStore::new(Arc::new(SystemClock), Duration::from_millis(500));
    let put = Put {
        key: StoreKey::try_new("config/head").expect("a valid key"),
        value: b"{}".as_slice().into(),
        expected: ExpectedVersion::Absent,
        lease: None,
    };
    store.put(put).await.expect("the store answers");
    let options = ConfigSyncOptions::new("rs-sul".parse().expect("a valid name"));
    let (mut config_sync, _source) = ConfigSync::new(store, NoPeers, options, clock, 1);
    config_sync.start().await;
    common::assert_logged("CP0203 configuration refused: ");
}

/// Guards against an actor restart that is not logged, and a first start that is logged as a restart.
#[test]
fn a_restart_is_logged_with_its_cause() {
    common::record_log();
    let restarts = RestartLog::new("observed");
    restarts.record_start();
    assert_eq!(common::count_lines("CP0105 actor observed"), 0);
    restarts.record_failure(&"out of range");
    restarts.clone().record_start();
    restarts.record_start();
    let line = "CP0105 actor observed restarted after: out of range";
    assert_eq!(common::count_lines(line), 1);
}

/// Guards against a failed thread that is not logged with its name.
#[test]
fn an_ended_thread_is_logged_with_its_name() {
    common::record_log();
    let thread = std::thread::Builder::new().name("observed-thread".into());
    let thread = thread.spawn(|| panic!("no route")).expect("a thread");
    let error = log_thread_exit(thread).to_string();
    assert!(error.contains("observed-thread"), "{error}");
    common::assert_logged("CP0106 thread observed-thread failed: panic: no route");
}
