//! Contract tests of the store, for the in-memory store and for the HTTP adapter with the stand-in
//! server.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::ManualClock;
use cranberrypitch_net::store::wire::{Answer, Call};
use cranberrypitch_net::store::{
    Epoch, Error, ExpectedVersion, FaultInjector, HttpStore, HttpStoreOptions, MAX_VALUE_BYTES,
    MemoryStore, Operation, Put, Store, StoreKey, Version, WatchOutcome,
};
use cranberrypitch_standins::store::StoreServer;
use proptest::prelude::*;

const CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// A delay that exceeds [`CALL_TIMEOUT`].
const LONG_DELAY: Duration = Duration::from_millis(250);
/// The time to live of leases.
const TTL: Duration = Duration::from_secs(10);
const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// The clock and the fault injector of the store under test.
struct TestControl {
    clock: ManualClock,
    faults: FaultInjector,
    /// The store itself, for calls of other processes.
    memory: MemoryStore,
}

macro_rules! contract {
    ($($case:ident),* $(,)?) => {
        mod memory {
            $(#[tokio::test]
            async fn $case() {
                let clock = super::ManualClock::new();
                let store = super::MemoryStore::new(
                    super::Arc::new(clock.clone()),
                    super::CALL_TIMEOUT,
                );
                let (faults, memory) = (store.faults().clone(), store.clone());
                super::$case(&store, &super::TestControl { clock, faults, memory }).await;
            })*
        }
        mod http {
            $(#[tokio::test]
            async fn $case() {
                let (server, store, clock) = super::serve().await;
                let (faults, memory) = (server.faults().clone(), server.store().clone());
                super::$case(&store, &super::TestControl { clock, faults, memory }).await;
            })*
        }
    };
}

contract!(
    writes_compare_and_swap,
    one_of_many_concurrent_writers_succeeds,
    leased_keys_end_with_their_lease,
    listing_is_ordered_and_bounded_by_the_prefix,
    watches_return_changes,
    a_watch_fails_when_the_store_is_down,
    long_values_are_refused,
    injected_faults_are_reported_correctly,
    versions_and_leases_of_a_lost_history_are_refused,
);

async fn serve() -> (StoreServer, HttpStore, ManualClock) {
    let clock = ManualClock::new();
    let memory = MemoryStore::new(Arc::new(clock.clone()), Duration::from_secs(5));
    let server = StoreServer::bind(LOOPBACK, memory).await.unwrap();
    let mut options = HttpStoreOptions::new(server.address());
    options.call_timeout = CALL_TIMEOUT;
    (server, HttpStore::new(options), clock)
}

fn key(text: &str) -> StoreKey {
    StoreKey::try_new(text).unwrap()
}

fn put(name: &str, value: &'static [u8], expected: ExpectedVersion) -> Put {
    Put {
        key: key(name),
        value: value.into(),
        expected,
        lease: None,
    }
}

/// Guards against a write that succeeds although the version of the key is not the expected one.
async fn writes_compare_and_swap(store: &impl Store, _: &TestControl) {
    let first = store
        .put(put("a", b"1", ExpectedVersion::Absent))
        .await
        .unwrap();
    let conflict = store.put(put("a", b"2", ExpectedVersion::Absent)).await;
    let current = Some(first);
    assert_eq!(conflict, Err(Error::Conflict { current }));
    let second = put("a", &[0, 255], ExpectedVersion::Version(first));
    let second = store.put(second).await.unwrap();
    assert!(second > first);
    assert!(store.delete(&key("a"), first).await.is_err());
    let entry = store.get(&key("a")).await.unwrap().unwrap();
    assert_eq!((&*entry.value, entry.version), (&[0, 255][..], second));
    store.delete(&key("a"), second).await.unwrap();
    assert_eq!(store.get(&key("a")).await, Ok(None));
    let gone = store.delete(&key("a"), second).await;
    assert_eq!(gone, Err(Error::Conflict { current: None }));
}

/// Guards against two concurrent writers that both succeed.
async fn one_of_many_concurrent_writers_succeeds(store: &impl Store, _: &TestControl) {
    let writers = (0..16).map(|_| store.put(put("slot", b"mine", ExpectedVersion::Absent)));
    let outcomes = futures_util::future::join_all(writers).await;
    assert_eq!(outcomes.iter().filter(|o| o.is_ok()).count(), 1);
}

/// Guards against a key that outlives its lease, and a lapsed lease that is accepted.
async fn leased_keys_end_with_their_lease(store: &impl Store, control: &TestControl) {
    let lease = store.grant(TTL).await.unwrap();
    let mut leased = put("leased", b"x", ExpectedVersion::Absent);
    leased.lease = Some(lease);
    store.put(leased.clone()).await.unwrap();
    control.clock.advance(TTL / 2);
    store.renew(lease).await.unwrap();
    control.clock.advance(TTL * 3 / 4);
    assert!(store.get(&key("leased")).await.unwrap().is_some());
    control.clock.advance(TTL / 2);
    assert_eq!(store.get(&key("leased")).await, Ok(None));
    let lapsed = Error::LeaseLapsed { lease };
    assert_eq!(store.renew(lease).await, Err(lapsed.clone()));
    assert_eq!(store.release(lease).await, Err(lapsed.clone()));
    assert_eq!(store.put(leased.clone()).await, Err(lapsed));
    let lease = store.grant(TTL).await.unwrap();
    leased.lease = Some(lease);
    store.put(leased).await.unwrap();
    store.release(lease).await.unwrap();
    assert_eq!(store.get(&key("leased")).await, Ok(None));
}

/// Guards against keys outside of the prefix in a listing.
async fn listing_is_ordered_and_bounded_by_the_prefix(store: &impl Store, _: &TestControl) {
    for name in ["w/b", "w/a", "v/z", "x", "w"] {
        store
            .put(put(name, b"", ExpectedVersion::Absent))
            .await
            .unwrap();
    }
    let listing = store.list(&key("w/")).await.unwrap();
    let names: Vec<_> = listing.entries.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(names, ["w/a", "w/b"]);
    assert!(listing.entries.iter().all(|e| e.version <= listing.version));
}

/// Guards against a watch that misses a write, a deletion or a lapsed lease, or returns for other
/// keys.
async fn watches_return_changes(store: &impl Store, control: &TestControl) {
    let prefix = key("w/");
    let lease = store.grant(TTL).await.unwrap();
    let mut leased = put("w/leased", b"x", ExpectedVersion::Absent);
    leased.lease = Some(lease);
    store.put(leased).await.unwrap();
    let before = store.list(&prefix).await.unwrap().version;
    store
        .put(put("x", b"", ExpectedVersion::Absent))
        .await
        .unwrap();
    let unchanged = store.watch(&prefix, before, CALL_TIMEOUT).await;
    assert_eq!(unchanged, Ok(WatchOutcome::Unchanged));

    let watch = store.watch(&prefix, before, TTL);
    let write = async {
        tokio::time::sleep(CALL_TIMEOUT * 2).await;
        store.put(put("w/new", b"y", ExpectedVersion::Absent)).await
    };
    let (watched, written) = tokio::join!(watch, write);
    let (version, changed) = changed_keys(watched.unwrap());
    assert_eq!(changed, [("w/new".into(), true)]);
    assert!(version >= written.unwrap());

    control.clock.advance(TTL);
    let (_, changed) = changed_keys(store.watch(&prefix, version, TTL).await.unwrap());
    assert_eq!(changed, [("w/leased".into(), false)]);
    let future_version = store
        .watch(&prefix, Version::new(Epoch::default(), 1 << 40), TTL)
        .await;
    assert_eq!(future_version, Ok(WatchOutcome::Reset));
}

fn changed_keys(watched: WatchOutcome) -> (Version, Vec<(String, bool)>) {
    let WatchOutcome::Changed { version, changes } = watched else {
        panic!("expected a change, got {watched:?}");
    };
    let names = changes
        .iter()
        .map(|c| (c.key.to_string(), c.entry.is_some()));
    (version, names.collect())
}

/// Guards against a watch that hangs when the store becomes unavailable.
async fn a_watch_fails_when_the_store_is_down(store: &impl Store, control: &TestControl) {
    let prefix = key("w/");
    let watch = store.watch(&prefix, Version::new(Epoch::default(), 0), TTL);
    let outage = async {
        tokio::time::sleep(CALL_TIMEOUT).await;
        control.faults.set_down(true);
    };
    let (watched, ()) = tokio::join!(watch, outage);
    assert!(matches!(watched, Err(Error::Unavailable { .. })));
}

/// Guards against values over the limit that are accepted or fail with another error.
async fn long_values_are_refused(store: &impl Store, _: &TestControl) {
    let mut long = put("long", b"", ExpectedVersion::Absent);
    long.value = vec![7; MAX_VALUE_BYTES].into();
    store.put(long.clone()).await.unwrap();
    long.key = key("longer");
    long.value = vec![7; MAX_VALUE_BYTES + 1].into();
    let refused = store.put(long).await;
    assert!(matches!(refused, Err(Error::ValueTooLong { .. })));
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    None,
    Applied,
}

/// Guards against a write that is reported as without effect but takes effect, and a lost answer
/// whose outcome is not reported as unknown.
async fn injected_faults_are_reported_correctly(store: &impl Store, control: &TestControl) {
    type InjectFault = fn(&FaultInjector);
    let rows: [(&str, InjectFault, bool, Effect); 4] = [
        ("down", |f| f.set_down(true), true, Effect::None),
        ("slow", |f| f.set_delay(LONG_DELAY), false, Effect::Applied),
        (
            "answer lost",
            |f| f.lose_answers(0, 1),
            false,
            Effect::Applied,
        ),
        (
            "request lost",
            |f| f.lose_requests(0, 1),
            false,
            Effect::None,
        ),
    ];
    for (name, inject_fault, has_no_effect, effect) in rows {
        let before = store.get(&key("k")).await.unwrap();
        let expected = before.as_ref().map_or(ExpectedVersion::Absent, |e| {
            ExpectedVersion::Version(e.version)
        });
        inject_fault(&control.faults);
        let error = store.put(put("k", b"v", expected)).await.unwrap_err();
        assert_eq!(error.has_no_effect(), has_no_effect, "{name}: {error}");
        if name != "answer lost" && name != "request lost" {
            let read = store.get(&key("k")).await;
            assert!(matches!(read, Err(Error::Unavailable { .. })), "{name}");
        }
        tokio::time::sleep(LONG_DELAY).await;
        control.faults.set_down(false);
        control.faults.set_delay(Duration::ZERO);
        let after = store.get(&key("k")).await.unwrap();
        let actual_effect = if after == before {
            Effect::None
        } else {
            Effect::Applied
        };
        assert_eq!(actual_effect, effect, "{name}");
    }
}

/// Guards against a watch, a write or a lease of a history that the store has lost: after it was restored
/// from a copy, it gives the same versions and leases out again, to other processes.
async fn versions_and_leases_of_a_lost_history_are_refused(
    store: &impl Store,
    control: &TestControl,
) {
    let kept = put("kept", b"", ExpectedVersion::Absent);
    store.put(kept).await.unwrap();
    let copy = control.memory.copy();
    let lease = store.grant(TTL).await.unwrap();
    let mut lost = put("a", b"lost", ExpectedVersion::Absent);
    lost.lease = Some(lease);
    let version = store.put(lost.clone()).await.unwrap();

    control.memory.restore(copy);
    let others = control.memory.grant(TTL).await.unwrap();
    let mut written = put("a", b"other", ExpectedVersion::Absent);
    written.lease = Some(others);
    control.memory.put(written).await.unwrap();

    let watched = store.watch(&key("a"), version, CALL_TIMEOUT).await;
    assert_eq!(watched, Ok(WatchOutcome::Reset));
    lost.expected = ExpectedVersion::Version(version);
    store.put(lost).await.expect_err("a lost version");
    let deleted = store.delete(&key("a"), version).await;
    deleted.expect_err("a lost version");
    store.renew(lease).await.expect_err("a lost lease");
    store.release(lease).await.expect_err("a lost lease");
    let entry = store.get(&key("a")).await.unwrap().expect("still held");
    assert_eq!(&*entry.value, b"other");
}

/// Guards against a client that learns of a restoration only from the answer to a call with a version or
/// lease of the lost history: it must neither take the call for a success nor end the lease of another
/// process.
#[tokio::test]
async fn a_call_across_a_restoration_is_no_success() {
    let (server, first, _clock) = serve().await;
    let memory = server.store();
    let copy = memory.copy();
    let lost_lease = first.grant(TTL).await.unwrap();
    let lost = put("a", b"lost", ExpectedVersion::Absent);
    let lost_version = first.put(lost).await.unwrap();
    memory.restore(copy);
    let others = memory.grant(TTL).await.unwrap();
    let mut written = put("a", b"other", ExpectedVersion::Absent);
    written.lease = Some(others);
    memory.put(written).await.unwrap();
    assert_eq!(
        lost_version.number(),
        memory.list(&key("a")).await.unwrap().version.number()
    );
    assert_eq!(lost_lease.number(), others.number());

    // Each client has seen only the earlier epoch, in which the versions and leases were issued.
    let client = || HttpStore::new(HttpStoreOptions::new(server.address()));
    let released = client().release(lost_lease).await;
    assert!(
        matches!(released, Err(Error::EpochEnded(_))),
        "{released:?}"
    );
    let renewed = client().renew(lost_lease).await;
    assert!(matches!(renewed, Err(Error::EpochEnded(_))), "{renewed:?}");
    let watched = client().watch(&key("a"), lost_version, CALL_TIMEOUT).await;
    assert_eq!(watched, Ok(WatchOutcome::Reset));
    let entry = memory
        .get(&key("a"))
        .await
        .unwrap()
        .expect("the lease is held");
    assert_eq!(&*entry.value, b"other");
    let overwrite = put("a", b"lost", ExpectedVersion::Version(lost_version));
    let overwritten = client().put(overwrite).await;
    assert!(
        matches!(overwritten, Err(Error::OutcomeUnknown { .. })),
        "{overwritten:?}"
    );
}

/// Guards against a refused connection that is reported as an unknown outcome, and against reuse of
/// a connection that the service closed while it was idle.
#[tokio::test]
async fn the_adapter_reconnects_after_a_restart() {
    let (server, store, _) = serve().await;
    let address = server.address();
    store
        .put(put("a", b"", ExpectedVersion::Absent))
        .await
        .unwrap();
    drop(server);
    tokio::time::sleep(CALL_TIMEOUT).await;
    let error = store
        .put(put("a", b"", ExpectedVersion::Absent))
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }), "{error}");
    let restarted = StoreServer::bind(address, MemoryStore::default())
        .await
        .unwrap();
    store
        .put(put("a", b"", ExpectedVersion::Absent))
        .await
        .unwrap();
    assert_eq!(restarted.counters().total(Operation::Put), 1);
    assert_eq!(restarted.counters().peak_per_second(), 1);
}

proptest! {
    /// Guards against a panic on arbitrary bytes from the network.
    #[test]
    fn arbitrary_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Call::decode(&bytes).is_err());
        prop_assert!(Answer::decode(&bytes).is_err());
        let text = String::from_utf8_lossy(&bytes);
        prop_assert_eq!(StoreKey::try_new(&text).is_ok(), text.parse::<StoreKey>().is_ok());
    }
}
