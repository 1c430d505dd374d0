//! Configuration edits: the reported outcome of an edit matches what is in force, or is unknown.

use std::time::Duration;

use cranberrypitch_core::config::ConfigText;
use cranberrypitch_core::{EditId, Revision, Slots};
use cranberrypitch_net::config_editor::{ApplyOutcome, ConfigEditor, ConfigEditorOptions, check};
use cranberrypitch_net::config_store::Error;
use cranberrypitch_net::store::{FaultInjector, MemoryStore, Operation, Store, StoreKey};

const VALVES: &str = include_str!("../../../samples/valves.json");
const BUTTONS: &str = include_str!("../../../samples/buttons.json");
const OWN_EDIT: EditId = EditId::new(0xa);
const OTHER_EDIT: EditId = EditId::new(0xb);
const FIRST: Revision = Revision::new(1);

fn editor(store: &MemoryStore) -> ConfigEditor<MemoryStore> {
    let options = ConfigEditorOptions {
        max_read_backs: 6,
        read_back_delay: Duration::from_millis(5),
        ..ConfigEditorOptions::default()
    };
    ConfigEditor::new(store.clone(), options)
}

fn text(slots: u32) -> ConfigText {
    let mut text = check(VALVES).unwrap();
    text.services[0].slots = Slots::new(slots);
    text
}

/// Returns a store with the sample configuration as revision 1.
async fn store() -> MemoryStore {
    let store = MemoryStore::default();
    let outcome = editor(&store)
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
    let current = editor(store).current().await.unwrap().unwrap();
    current.text.services[0].slots.get()
}

/// Guards against an edit that differs from its diff, obsolete shards that are not deleted, and a diff
/// that reads unchanged shards.
#[tokio::test]
async fn an_edit_is_applied() {
    let store = store().await;
    let editor = editor(&store);
    let changes = editor.diff(&text(5)).await.unwrap();
    assert_eq!(changes[0].to_string(), "matcher: slots 4 -> 5");
    let outcome = editor.apply(&text(5), FIRST, OWN_EDIT).await;
    assert_eq!(outcome.to_string(), "accepted as revision 2");
    assert_eq!(editor.current().await.unwrap().unwrap().text, text(5));
    let before = store.counters().total(Operation::Get);
    assert!(editor.diff(&text(5)).await.unwrap().is_empty());
    assert_eq!(store.counters().total(Operation::Get), before + 1);
    let status = editor.status().await.unwrap().unwrap();
    assert_eq!((status.edit_id, status.revision), (OWN_EDIT, FIRST.next()));
    let shards = store
        .list(&StoreKey::try_new("config/shard/").unwrap())
        .await;
    assert_eq!(shards.unwrap().entries.len(), status.shards.get());
}

/// Guards against an edit that overwrites another one, and against a text for another deployment.
#[tokio::test]
async fn the_second_edit_of_a_revision_loses() {
    let store = store().await;
    let editor = editor(&store);
    editor.apply(&text(5), FIRST, OWN_EDIT).await;
    let ApplyOutcome::Conflict {
        current, changes, ..
    } = editor.apply(&text(6), FIRST, OTHER_EDIT).await
    else {
        panic!("the second edit has to lose");
    };
    assert_eq!(current, Revision::new(2));
    assert_eq!(changes.unwrap()[0].to_string(), "matcher: slots 5 -> 6");
    assert_eq!(slots_in_force(&store).await, 5);
    let other = editor
        .apply(&check(BUTTONS).unwrap(), current, OTHER_EDIT)
        .await;
    assert!(matches!(
        other,
        ApplyOutcome::NotAccepted(Error::DeploymentMismatch { .. })
    ));
}

/// Guards against two accepted edits when concurrent edits start from the same revision.
#[tokio::test]
async fn one_of_two_overlapping_edits_wins() {
    let store = store().await;
    store.faults().set_delay(Duration::from_millis(3));
    let (one, two) = (editor(&store), editor(&store));
    let (texts, ids) = ((text(5), text(6)), (OWN_EDIT, OTHER_EDIT));
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
enum ExpectedOutcome {
    Accepted,
    NotAccepted,
    Unknown,
}

/// Guards against a reported outcome that is wrong or more definite than what is known. An edit makes
/// these calls: read the head, write the new shard, read the obsolete one, write the head.
#[tokio::test]
async fn outcomes_under_faults() {
    type InjectFaults = fn(&FaultInjector);
    let rows: [(&str, InjectFaults, ExpectedOutcome, u32); 9] = [
        (
            "down before",
            |f| f.set_down(true),
            ExpectedOutcome::NotAccepted,
            4,
        ),
        (
            "down before the shards",
            |f| f.fail_after(1),
            ExpectedOutcome::NotAccepted,
            4,
        ),
        (
            "down before the head",
            |f| f.fail_after(3),
            ExpectedOutcome::NotAccepted,
            4,
        ),
        (
            "down after",
            |f| f.fail_after(4),
            ExpectedOutcome::Accepted,
            5,
        ),
        (
            "shard's answer lost",
            |f| f.lose_answers(0, 1),
            ExpectedOutcome::Accepted,
            5,
        ),
        (
            "head's answer lost",
            |f| f.lose_answers(1, 1),
            ExpectedOutcome::Accepted,
            5,
        ),
        (
            "head's request lost",
            |f| f.lose_requests(1, 1),
            ExpectedOutcome::Accepted,
            5,
        ),
        (
            "head's answer lost, then down",
            |f| {
                f.lose_answers(1, 1);
                f.fail_after(4);
            },
            ExpectedOutcome::Unknown,
            5,
        ),
        (
            "head's request lost, then down",
            |f| {
                f.lose_requests(1, 1);
                f.fail_after(4);
            },
            ExpectedOutcome::Unknown,
            4,
        ),
    ];
    for (name, inject_faults, expected, slots) in rows {
        let store = store().await;
        inject_faults(store.faults());
        let outcome = editor(&store).apply(&text(5), FIRST, OWN_EDIT).await;
        let found = match &outcome {
            ApplyOutcome::Accepted { .. } => ExpectedOutcome::Accepted,
            ApplyOutcome::NotAccepted(_) => ExpectedOutcome::NotAccepted,
            ApplyOutcome::Unknown { .. } => ExpectedOutcome::Unknown,
            ApplyOutcome::Conflict { .. } => panic!("{name}: {outcome}"),
        };
        assert_eq!(found, expected, "{name}: {outcome}");
        store.faults().set_down(false);
        assert_eq!(slots_in_force(&store).await, slots, "{name}");
    }
}

/// Guards against a wrong outcome after a lost answer, when another edit follows before the read-back.
/// With 4 slots, the other edit brings back the shard that this one is about to delete.
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
        let (mine, theirs) = (editor(&store), editor(&store));
        let (my_text, their_text) = (text(5), text(their_slots));
        let other = async {
            while store.counters().total(Operation::Put) < before + 2 {
                tokio::task::yield_now().await;
            }
            let edited = if taken { FIRST.next() } else { FIRST };
            theirs.apply(&their_text, edited, OTHER_EDIT).await
        };
        let (mine, theirs) = tokio::join!(mine.apply(&my_text, FIRST, OWN_EDIT), other);
        assert!(matches!(theirs, ApplyOutcome::Accepted { .. }), "{theirs}");
        match mine {
            ApplyOutcome::Accepted { revision, .. } => assert!(taken && revision == FIRST.next()),
            ApplyOutcome::Conflict { .. } => assert!(!taken),
            other => panic!("{other}"),
        }
        assert_eq!(slots_in_force(&store).await, their_slots);
    }
}

/// Guards against an outcome for an edit that is older than the history in the head.
#[tokio::test]
async fn an_edit_beyond_the_history_is_unknown() {
    let store = store().await;
    let editor = editor(&store);
    for step in 1..20 {
        editor
            .apply(
                &text(step),
                Revision::new(u64::from(step)),
                EditId::new(100 + u128::from(step)),
            )
            .await;
    }
    let head = editor.current().await.unwrap().unwrap().head;
    assert_eq!(head.contains_edit(EditId::new(101), Revision::new(2)), None);
    assert_eq!(
        head.contains_edit(EditId::new(118), Revision::new(19)),
        Some(true)
    );
    assert_eq!(head.contains_edit(OWN_EDIT, Revision::new(19)), Some(false));
}

/// Guards against an edit that is reported as accepted although the store was restored from a copy before the
/// head was written, or as without effect although it is in force.
#[tokio::test]
async fn restoration_during_an_edit_is_reported_truly() {
    for puts_before in 1..=2 {
        let store = store().await;
        let copy = store.copy();
        store.faults().set_delay(Duration::from_millis(2));
        let before = store.counters().total(Operation::Put);
        let restoration = async {
            while store.counters().total(Operation::Put) < before + puts_before {
                tokio::task::yield_now().await;
            }
            store.restore(copy);
        };
        let operator = editor(&store);
        let my_text = text(5);
        let (outcome, ()) = tokio::join!(operator.apply(&my_text, FIRST, OWN_EDIT), restoration);
        store.faults().set_delay(Duration::ZERO);
        let slots = slots_in_force(&store).await;
        match &outcome {
            ApplyOutcome::NotAccepted(_) => assert_eq!(slots, 4, "{outcome}"),
            ApplyOutcome::Accepted { .. } => assert_eq!(slots, 5, "{outcome}"),
            ApplyOutcome::Unknown { .. } | ApplyOutcome::Conflict { .. } => {
                panic!("{puts_before}: {outcome}")
            }
        }
    }
}
