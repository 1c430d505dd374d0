//! The operator's evacuations of failure domains in the store.

use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::{FailureDomain, SystemClock};
use cranberrypitch_net::evacuation::{EvacuationOutcome, begin, end, list};
use cranberrypitch_net::store::{ExpectedVersion, MemoryStore, Put, Store, StoreKey};

fn store() -> MemoryStore {
    MemoryStore::new(Arc::new(SystemClock), Duration::from_millis(500))
}

fn domain() -> FailureDomain {
    FailureDomain::try_new("rs-sul").unwrap()
}

/// Guards against a request that is reported as a change although nothing changed.
#[tokio::test]
async fn repeated_requests_change_nothing() {
    let store = store();
    assert_eq!(end(&store, &domain()).await, EvacuationOutcome::NotBegun);
    assert_eq!(begin(&store, &domain()).await, EvacuationOutcome::Begun);
    let again = begin(&store, &domain()).await;
    assert_eq!(again, EvacuationOutcome::AlreadyBegun);
    assert_eq!(list(&store).await.unwrap(), [domain()].into());
    assert_eq!(end(&store, &domain()).await, EvacuationOutcome::Ended);
    assert!(list(&store).await.unwrap().is_empty());
}

/// Guards against an outcome that is wrong because the answer to the write was lost.
#[tokio::test]
async fn lost_answers_do_not_hide_the_outcome() {
    let store = store();
    store.faults().lose_answers(0, 1);
    assert_eq!(begin(&store, &domain()).await, EvacuationOutcome::Begun);
    store.faults().lose_answers(0, 1);
    assert_eq!(end(&store, &domain()).await, EvacuationOutcome::Ended);
}

/// Guards against a request that is reported as accepted while the store is down.
#[tokio::test]
async fn request_is_not_accepted_while_the_store_is_down() {
    let store = store();
    store.faults().set_down(true);
    let outcome = begin(&store, &domain()).await;
    assert!(matches!(outcome, EvacuationOutcome::NotAccepted(_)));
    store.faults().set_down(false);
    assert!(list(&store).await.unwrap().is_empty());
}

/// Guards against a malformed key, or that of a balancer, that hides the other evacuations or counts as one.
#[tokio::test]
async fn other_keys_are_no_evacuations() {
    let store = store();
    begin(&store, &domain()).await;
    let long_name = "x".repeat(64);
    for key in [
        format!("balancers/evacuated.{long_name}"),
        "balancers/evacuated.rs-norte/front-1".to_string(),
    ] {
        let put = Put {
            key: StoreKey::try_new(&key).unwrap(),
            value: b"{}".as_slice().into(),
            expected: ExpectedVersion::Absent,
            lease: None,
        };
        store.put(put).await.unwrap();
    }
    assert_eq!(list(&store).await.unwrap(), [domain()].into());
}
