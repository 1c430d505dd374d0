//! Guards the operator's functions: an edit is in force or it is not, and its outcome says so, or says
//! that it can't tell.

use std::time::Duration;

use cranberrypitch_core::config::ConfigText;
use cranberrypitch_core::{EditId, Revision, Slots};
use cranberrypitch_net::config_editor::{ApplyOutcome, ConfigEditor, ConfigEditorOptions, check};
use cranberrypitch_net::config_store::Error;
use cranberrypitch_net::store::{FaultInjector, MemoryStore, Operation, Store, StoreKey};

const VALVES: &str = include_str!("../../../samples/valves.json");
const BUTTONS: &str = include_str!("../../../samples/buttons.json");
const MINE: EditId = EditId::new(0xa);
const THEIRS: EditId = EditId::new(0xb);
const FIRST: Revision = Revision::new(1);

fn operator(store: &MemoryStore) -> ConfigEditor<MemoryStore> {
    let options = ConfigEditorOptions {
        max_read_backs: 6,
        read_back_delay: Duration::from_millis(5),
    };
    ConfigEditor::new(store.clone(), options)
}

fn text(slots: u32) -> ConfigText {
    let mut text = check(VALVES).unwrap();
    text.services[0].slots = Slots::new(slots);
    text
}

/// Returns a store with the sample as revision 1.
async fn store() -> MemoryStore {
    let store = MemoryStore::default();
    let outcome = operator(&store)
        .apply(&text(4), Revision::default(), EditId::new(1))
        .await;
    assert!(matches!(
        outcome,
        ApplyOutcome::Accepted {
            revision: FIRST,
            ..
        }
    ));
    store
}

async fn slots_in_force(store: &MemoryStore) -> u32 {
    let current = operator(store).current().await.unwrap().unwrap();
    current.text.services[0].slots.get()
}

/// Guards against a text that is applied differently from what was shown, shards left behind, and a
/// comparison that reads what did not change.
#[tokio::test]
async fn an_edit_goes_through() {
    let store = store().await;
    let operator = operator(&store);
    let changes = operator.diff(&text(5)).await.unwrap();
    assert_eq!(changes[0].to_string(), "matcher: slots 4 -> 5");
    let outcome = operator.apply(&text(5), FIRST, MINE).await;
    assert_eq!(outcome.to_string(), "accepted as revision 2");
    assert_eq!(operator.current().await.unwrap().unwrap().text, text(5));
    let before = store.counters().total(Operation::Get);
    assert!(operator.diff(&text(5)).await.unwrap().is_empty());
    assert_eq!(store.counters().total(Operation::Get), before + 1);
    let status = operator.status().await.unwrap().unwrap();
    assert_eq!((status.edit_id, status.revision), (MINE, FIRST.next()));
    let shards = store
        .list(&StoreKey::try_new("config/shard/").unwrap())
        .await;
    assert_eq!(shards.unwrap().entries.len(), status.shards.get());
}

/// Guards against an edit that overwrites another one, and against a text for another deployment.
#[tokio::test]
async fn the_second_edit_of_a_revision_loses() {
    let store = store().await;
    let operator = operator(&store);
    operator.apply(&text(5), FIRST, MINE).await;
    let ApplyOutcome::Conflict {
        current, changes, ..
    } = operator.apply(&text(6), FIRST, THEIRS).await
    else {
        panic!("the second edit has to lose");
    };
    assert_eq!(current, Revision::new(2));
    assert_eq!(changes.unwrap()[0].to_string(), "matcher: slots 5 -> 6");
    assert_eq!(slots_in_force(&store).await, 5);
    let other = operator
        .apply(&check(BUTTONS).unwrap(), current, THEIRS)
        .await;
    assert!(matches!(
        other,
        ApplyOutcome::NotAccepted(Error::DeploymentMismatch { .. })
    ));
}

/// Guards against two winners when edits of one revision overlap.
#[tokio::test]
async fn one_of_two_overlapping_edits_wins() {
    let store = store().await;
    store.faults().set_delay(Duration::from_millis(3));
    let (one, two) = (operator(&store), operator(&store));
    let (texts, ids) = ((text(5), text(6)), (MINE, THEIRS));
    let (one, two) = tokio::join!(
        one.apply(&texts.0, FIRST, ids.0),
        two.apply(&texts.1, FIRST, ids.1)
    );
    let won = |o: &ApplyOutcome| matches!(o, ApplyOutcome::Accepted { .. });
    let lost = |o: &ApplyOutcome| matches!(o, ApplyOutcome::Conflict { .. });
    assert!(
        (won(&one) && lost(&two)) || (lost(&one) && won(&two)),
        "{one} / {two}"
    );
    let winner = if won(&one) { 5 } else { 6 };
    assert_eq!(slots_in_force(&store).await, winner);
}

#[derive(Debug, PartialEq)]
enum Expect {
    Accepted,
    NotAccepted,
    Unknown,
}

/// Guards against an outcome that promises more than is known. An edit takes these calls: read the
/// head, write the shard, read the dropped one, write the head.
#[tokio::test]
async fn outcomes_under_faults() {
    type Arm = fn(&FaultInjector);
    let rows: [(&str, Arm, Expect, u32); 9] = [
        ("down before", |f| f.set_down(true), Expect::NotAccepted, 4),
        (
            "down before the shards",
            |f| f.fail_after(1),
            Expect::NotAccepted,
            4,
        ),
        (
            "down before the head",
            |f| f.fail_after(3),
            Expect::NotAccepted,
            4,
        ),
        ("down after", |f| f.fail_after(4), Expect::Accepted, 5),
        (
            "shard's answer lost",
            |f| f.lose_answers(0, 1),
            Expect::Accepted,
            5,
        ),
        (
            "head's answer lost",
            |f| f.lose_answers(1, 1),
            Expect::Accepted,
            5,
        ),
        (
            "head's request lost",
            |f| f.lose_requests(1, 1),
            Expect::Accepted,
            5,
        ),
        (
            "head's answer lost, then down",
            |f| {
                f.lose_answers(1, 1);
                f.fail_after(4);
            },
            Expect::Unknown,
            5,
        ),
        (
            "head's request lost, then down",
            |f| {
                f.lose_requests(1, 1);
                f.fail_after(4);
            },
            Expect::Unknown,
            4,
        ),
    ];
    for (name, arm, expected, slots) in rows {
        let store = store().await;
        arm(store.faults());
        let outcome = operator(&store).apply(&text(5), FIRST, MINE).await;
        let found = match &outcome {
            ApplyOutcome::Accepted { .. } => Expect::Accepted,
            ApplyOutcome::NotAccepted(_) => Expect::NotAccepted,
            ApplyOutcome::Unknown { .. } => Expect::Unknown,
            ApplyOutcome::Conflict { .. } => panic!("{name}: {outcome}"),
        };
        assert_eq!(found, expected, "{name}: {outcome}");
        store.faults().set_down(false);
        assert_eq!(slots_in_force(&store).await, slots, "{name}");
    }
}

/// Guards against a lost answer that is taken for another edit's success or failure, when another
/// edit follows before the read-back. With 4 slots, the other edit brings back the shard that this
/// one is about to delete.
#[tokio::test]
async fn lost_answers_before_another_edit() {
    for (taken, their_slots) in [(true, 6), (true, 4), (false, 6)] {
        let store = store().await;
        if taken {
            store.faults().lose_answers(1, 1);
        } else {
            store.faults().lose_requests(1, 1);
        }
        let before = store.counters().total(Operation::Put);
        let (mine, theirs) = (operator(&store), operator(&store));
        let (my_text, their_text) = (text(5), text(their_slots));
        let other = async {
            while store.counters().total(Operation::Put) < before + 2 {
                tokio::task::yield_now().await;
            }
            let edited = if taken { FIRST.next() } else { FIRST };
            theirs.apply(&their_text, edited, THEIRS).await
        };
        let (mine, theirs) = tokio::join!(mine.apply(&my_text, FIRST, MINE), other);
        assert!(matches!(theirs, ApplyOutcome::Accepted { .. }), "{theirs}");
        match mine {
            ApplyOutcome::Accepted { revision, .. } => assert!(taken && revision == FIRST.next()),
            ApplyOutcome::Conflict { .. } => assert!(!taken),
            other => panic!("{other}"),
        }
        assert_eq!(slots_in_force(&store).await, their_slots);
    }
}

/// Guards against a claim about an edit that lies further back than the head tells.
#[tokio::test]
async fn an_edit_too_far_back_is_unknown() {
    let store = store().await;
    let operator = operator(&store);
    for step in 1..20 {
        operator
            .apply(
                &text(step),
                Revision::new(u64::from(step)),
                EditId::new(100 + u128::from(step)),
            )
            .await;
    }
    let head = operator.current().await.unwrap().unwrap().head;
    assert_eq!(head.contains_edit(EditId::new(101), Revision::new(2)), None);
    assert_eq!(
        head.contains_edit(EditId::new(118), Revision::new(19)),
        Some(true)
    );
    assert_eq!(head.contains_edit(MINE, Revision::new(19)), Some(false));
}
