//! The contract of the store, run against the store in memory and against the HTTP adapter with the
//! stand-in server.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::ManualClock;
use cranberrypitch_net::store::wire::{Answer, Call};
use cranberrypitch_net::store::{
    Error, ExpectedVersion, FaultInjector, HttpStore, HttpStoreOptions, MAX_VALUE_BYTES,
    MemoryStore, Operation, Put, Store, StoreKey, Version, WatchOutcome,
};
use cranberrypitch_standins::store::StoreServer;
use proptest::prelude::*;

const CALL_TIMEOUT: Duration = Duration::from_millis(100);
const LATE: Duration = Duration::from_millis(250);
const TTL: Duration = Duration::from_secs(10);
const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// What a case needs besides the store that it tests.
struct Bench {
    clock: ManualClock,
    faults: FaultInjector,
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
                let faults = store.faults().clone();
                super::$case(&store, &super::Bench { clock, faults }).await;
            })*
        }
        mod http {
            $(#[tokio::test]
            async fn $case() {
                let (server, store, clock) = super::serve().await;
                let faults = server.faults().clone();
                super::$case(&store, &super::Bench { clock, faults }).await;
            })*
        }
    };
}

contract!(
    writes_compare_and_swap,
    one_of_many_writers_wins,
    leases_take_their_keys_along,
    listing_is_ordered_and_bounded_by_the_prefix,
    watches_wait_for_changes,
    a_watch_ends_with_the_store,
    long_values_are_refused,
    faults_keep_their_promises,
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

/// Guards against a write that goes through although the key is not as expected.
async fn writes_compare_and_swap(store: &impl Store, _: &Bench) {
    let first = store
        .put(put("a", b"1", ExpectedVersion::Absent))
        .await
        .unwrap();
    let taken = store.put(put("a", b"2", ExpectedVersion::Absent)).await;
    let current = Some(first);
    assert_eq!(taken, Err(Error::Conflict { current }));
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

/// Guards against two winners of a race.
async fn one_of_many_writers_wins(store: &impl Store, _: &Bench) {
    let writers = (0..16).map(|_| store.put(put("slot", b"mine", ExpectedVersion::Absent)));
    let outcomes = futures_util::future::join_all(writers).await;
    assert_eq!(outcomes.iter().filter(|o| o.is_ok()).count(), 1);
}

/// Guards against a key that outlives its lease, and a lapsed lease that can still be used.
async fn leases_take_their_keys_along(store: &impl Store, bench: &Bench) {
    let lease = store.grant(TTL).await.unwrap();
    let mut bound = put("leased", b"x", ExpectedVersion::Absent);
    bound.lease = Some(lease);
    store.put(bound.clone()).await.unwrap();
    bench.clock.advance(TTL / 2);
    store.renew(lease).await.unwrap();
    bench.clock.advance(TTL * 3 / 4);
    assert!(store.get(&key("leased")).await.unwrap().is_some());
    bench.clock.advance(TTL / 2);
    assert_eq!(store.get(&key("leased")).await, Ok(None));
    let lapsed = Error::LeaseLapsed { lease };
    assert_eq!(store.renew(lease).await, Err(lapsed.clone()));
    assert_eq!(store.release(lease).await, Err(lapsed.clone()));
    assert_eq!(store.put(bound.clone()).await, Err(lapsed));
    let lease = store.grant(TTL).await.unwrap();
    bound.lease = Some(lease);
    store.put(bound).await.unwrap();
    store.release(lease).await.unwrap();
    assert_eq!(store.get(&key("leased")).await, Ok(None));
}

/// Guards against keys of a neighbouring prefix in a listing.
async fn listing_is_ordered_and_bounded_by_the_prefix(store: &impl Store, _: &Bench) {
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

/// Guards against a watch that misses a write, a deletion or a lapse, or wakes up for other keys.
async fn watches_wait_for_changes(store: &impl Store, bench: &Bench) {
    let prefix = key("w/");
    let lease = store.grant(TTL).await.unwrap();
    let mut bound = put("w/leased", b"x", ExpectedVersion::Absent);
    bound.lease = Some(lease);
    store.put(bound).await.unwrap();
    let before = store.list(&prefix).await.unwrap().version;
    store
        .put(put("x", b"", ExpectedVersion::Absent))
        .await
        .unwrap();
    let quiet = store.watch(&prefix, before, CALL_TIMEOUT).await;
    assert_eq!(quiet, Ok(WatchOutcome::Unchanged));

    let watch = store.watch(&prefix, before, TTL);
    let write = async {
        tokio::time::sleep(CALL_TIMEOUT * 2).await;
        store.put(put("w/new", b"y", ExpectedVersion::Absent)).await
    };
    let (watched, written) = tokio::join!(watch, write);
    let (version, changed) = changed_keys(watched.unwrap());
    assert_eq!(changed, [("w/new".into(), true)]);
    assert!(version >= written.unwrap());

    bench.clock.advance(TTL);
    let (_, changed) = changed_keys(store.watch(&prefix, version, TTL).await.unwrap());
    assert_eq!(changed, [("w/leased".into(), false)]);
    let ahead = store.watch(&prefix, Version::new(1 << 40), TTL).await;
    assert_eq!(ahead, Ok(WatchOutcome::Reset));
}

fn changed_keys(watched: WatchOutcome) -> (Version, Vec<(String, bool)>) {
    let WatchOutcome::Changed { version, changes } = watched else {
        panic!("a change is due, not {watched:?}");
    };
    let names = changes
        .iter()
        .map(|c| (c.key.to_string(), c.entry.is_some()));
    (version, names.collect())
}

/// Guards against a watcher that hangs on a store that went down.
async fn a_watch_ends_with_the_store(store: &impl Store, bench: &Bench) {
    let prefix = key("w/");
    let watch = store.watch(&prefix, Version::new(0), TTL);
    let outage = async {
        tokio::time::sleep(CALL_TIMEOUT).await;
        bench.faults.set_down(true);
    };
    let (watched, ()) = tokio::join!(watch, outage);
    assert!(matches!(watched, Err(Error::Unavailable { .. })));
}

/// Guards against values that the service would cut or refuse in another way.
async fn long_values_are_refused(store: &impl Store, _: &Bench) {
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
    Taken,
}

/// Guards against a write that is reported as not done and takes effect, and a lost answer that is
/// reported as anything but unknown.
async fn faults_keep_their_promises(store: &impl Store, bench: &Bench) {
    type Arm = fn(&FaultInjector);
    let rows: [(&str, Arm, bool, Effect); 4] = [
        ("down", |f| f.set_down(true), true, Effect::None),
        ("slow", |f| f.set_delay(LATE), false, Effect::Taken),
        (
            "answer lost",
            |f| f.lose_answers(0, 1),
            false,
            Effect::Taken,
        ),
        (
            "request lost",
            |f| f.lose_requests(0, 1),
            false,
            Effect::None,
        ),
    ];
    for (name, arm, not_done, effect) in rows {
        let before = store.get(&key("k")).await.unwrap();
        let expected = before.as_ref().map_or(ExpectedVersion::Absent, |e| {
            ExpectedVersion::Version(e.version)
        });
        arm(&bench.faults);
        let error = store.put(put("k", b"v", expected)).await.unwrap_err();
        assert_eq!(error.has_no_effect(), not_done, "{name}: {error}");
        if name != "answer lost" && name != "request lost" {
            let read = store.get(&key("k")).await;
            assert!(matches!(read, Err(Error::Unavailable { .. })), "{name}");
        }
        tokio::time::sleep(LATE).await;
        bench.faults.set_down(false);
        bench.faults.set_delay(Duration::ZERO);
        let after = store.get(&key("k")).await.unwrap();
        let taken = if after == before {
            Effect::None
        } else {
            Effect::Taken
        };
        assert_eq!(taken, effect, "{name}");
    }
}

/// Guards against a refused connection that is taken for an unknown outcome, and a connection that
/// the service closed while it was idle.
#[tokio::test]
async fn the_adapter_outlives_the_service() {
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
    let again = StoreServer::bind(address, MemoryStore::default())
        .await
        .unwrap();
    store
        .put(put("a", b"", ExpectedVersion::Absent))
        .await
        .unwrap();
    assert_eq!(again.counters().total(Operation::Put), 1);
    assert_eq!(again.counters().peak_per_second(), 1);
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
