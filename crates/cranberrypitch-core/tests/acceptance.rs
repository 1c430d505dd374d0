//! Tests of the order of configurations: a process never returns to an older revision, never applies
//! one in part, and ends in the same state by whichever path it receives them.

use cranberrypitch_core::acceptance::{ApplyResult, ConfigReplica, ConfigUpdate};
use cranberrypitch_core::config::{
    ConfigEdit, ConfigHead, ConfigText, Digest, Shard, ShardCount, assemble,
};
use cranberrypitch_core::{EditId, Error, Revision, ServiceName, Slots};
use proptest::prelude::*;

const VALVES: &str = include_str!("../../../samples/valves.json");

fn text(services: usize) -> ConfigText {
    let mut text = ConfigText::parse(VALVES).unwrap();
    let sample = text.services[0].clone();
    text.services = (0..services)
        .map(|n| {
            let mut service = sample.clone();
            service.name = ServiceName::try_new(&format!("n{n:05}")).unwrap();
            service
        })
        .collect();
    text
}

/// Returns successive configurations, each with at least one changed service, in `count` shards.
fn chain(length: u32, count: impl Fn(u32) -> usize) -> Vec<ConfigEdit> {
    let mut text = text(40);
    let mut edits: Vec<ConfigEdit> = Vec::new();
    for step in 0..length {
        let slots = Slots::new(10 + step / 2);
        text.services[step as usize * 7 % 40].slots = slots;
        let head = edits.last().map(|e| &e.head);
        let count = ShardCount::try_new(count(step)).unwrap();
        let id = EditId::new(u128::from(step) + 1);
        edits.push(ConfigEdit::with_shard_count(&text, head, id, count).unwrap());
    }
    edits
}

fn apply_edit(process: &mut ConfigReplica, edit: &ConfigEdit) {
    process.apply_head(edit.head.clone()).unwrap();
    for shard in &edit.shards {
        process.apply_shard(shard.encoded()).unwrap();
    }
}

/// Brings a receiver up to date from a sender by the steps of the daemons, and returns the number of
/// answers that the receiver needed.
fn synchronize(receiver: &mut ConfigReplica, sender: &ConfigReplica) -> usize {
    let Some(update) = sender.update_since(receiver.revision()) else {
        return 0;
    };
    let mut answers = 1;
    if receiver.apply_update(update).is_err() {
        let full = sender.update_since(Revision::default()).unwrap();
        receiver.apply_update(full).unwrap();
        answers += 1;
    }
    loop {
        let missing = receiver.missing_shards();
        if missing.is_empty() {
            return answers;
        }
        let shards = sender.shards(&missing);
        assert!(!shards.is_empty());
        for shard in shards {
            receiver.apply_shard(&shard).unwrap();
        }
        answers += 1;
    }
}

/// Guards against a text that differs after assembly from its shards, and against content with a
/// wrong digest.
#[test]
fn shards_hold_the_text() {
    let text = text(300);
    for count in [1, 2, 64, 1024] {
        let count = ShardCount::try_new(count).unwrap();
        let edit = ConfigEdit::with_shard_count(&text, None, EditId::new(1), count).unwrap();
        let head = ConfigHead::decode(&edit.head.encode().unwrap()).unwrap();
        assert_eq!(head, edit.head);
        assert_eq!(assemble(&head, &edit.shards).unwrap(), text);
    }
    let edit = ConfigEdit::plan(&text, None, EditId::new(1)).unwrap();
    let mut wrong = edit.shards.clone();
    wrong.swap(0, 1);
    let error = assemble(&edit.head, &wrong).unwrap_err();
    assert!(matches!(error, Error::DigestMismatch { .. }));
}

/// Guards against shards that grow with the text, and against a number of shards that changes with
/// each small edit.
#[test]
fn shard_count_follows_the_size() {
    let choose = ShardCount::choose;
    assert_eq!(choose(0, None).get(), 1);
    assert_eq!(choose(20 << 20, None).get(), 8192);
    let in_use = ShardCount::try_new(1024).unwrap();
    assert_eq!(choose(16 << 20, Some(in_use)), in_use);
    assert_eq!(choose(1 << 20, Some(in_use)), in_use);
    assert_ne!(choose(17 << 20, Some(in_use)), in_use);
}

/// Guards against a partially applied configuration: it takes effect with its last shard and not
/// before.
#[test]
fn takes_effect_as_a_whole() {
    let edits = chain(2, |_| 8);
    let mut process = ConfigReplica::new();
    apply_edit(&mut process, &edits[0]);
    let changed = edits[1].new_shards(Some(&edits[0].head));
    assert!(!changed.is_empty());
    let result = process.apply_head(edits[1].head.clone()).unwrap();
    assert!(matches!(result, ApplyResult::MissingShards(count) if count == changed.len()));
    for shard in &changed {
        assert_eq!(process.revision(), Revision::new(1));
        process.apply_shard(shard.encoded()).unwrap();
    }
    assert_eq!(process.revision(), Revision::new(2));
}

/// Guards against a return to an older revision by an older head, by a head of another edit with the
/// same revision, or by an outdated peer.
#[test]
fn never_goes_back() {
    let edits = chain(3, |_| 8);
    let mut stale = ConfigReplica::new();
    apply_edit(&mut stale, &edits[0]);
    let mut process = ConfigReplica::new();
    apply_edit(&mut process, &edits[2]);
    apply_edit(&mut process, &edits[1]);
    synchronize(&mut process, &stale);
    assert_eq!(process.revision(), Revision::new(3));
    let mut conflicting = edits[2].head.clone();
    conflicting.edit_id = EditId::new(99);
    let error = process.apply_head(conflicting).unwrap_err();
    assert!(matches!(error, Error::RevisionConflict { .. }));
}

/// Guards against a restarted process that applies the configuration of an outdated peer although a
/// newer revision was announced.
#[test]
fn restarted_process_waits_for_the_newest_known() {
    let edits = chain(3, |_| 8);
    let (mut stale, mut fresh) = (ConfigReplica::new(), ConfigReplica::new());
    apply_edit(&mut stale, &edits[0]);
    apply_edit(&mut fresh, &edits[2]);
    let mut restarted = ConfigReplica::new();
    restarted.raise_min_revision(Revision::new(3));
    let update = stale.update_since(Revision::default()).unwrap();
    assert!(matches!(
        restarted.apply_update(update).unwrap(),
        ApplyResult::Ignored
    ));
    assert!(restarted.in_force().is_none());
    synchronize(&mut restarted, &fresh);
    assert_eq!(restarted.revision(), Revision::new(3));
}

/// Guards against a delta with unchanged shards, and against a receiver that is too far behind for a
/// delta.
#[test]
fn deltas_carry_changed_shards_only() {
    let edits = chain(300, |_| 16);
    let (mut sender, mut receiver) = (ConfigReplica::new(), ConfigReplica::new());
    let mut late = ConfigReplica::new();
    apply_edit(&mut receiver, &edits[297]);
    apply_edit(&mut late, &edits[0]);
    for edit in &edits {
        apply_edit(&mut sender, edit);
    }
    let Some(ConfigUpdate::Delta(delta)) = sender.update_since(receiver.revision()) else {
        panic!("a delta is due");
    };
    assert!((1..=2).contains(&delta.changed.len()));
    let far_behind = sender.update_since(late.revision());
    assert!(matches!(far_behind, Some(ConfigUpdate::Full(_))));
    for process in [&mut receiver, &mut late] {
        synchronize(process, &sender);
        assert_eq!(process.revision(), sender.revision());
        let shards = |p: &ConfigReplica| p.in_force().unwrap().shards().to_vec();
        assert!(shards(process) == shards(&sender));
    }
}

/// Guards against a complete transfer after a change of the number of shards.
#[test]
fn a_new_shard_count_moves_changed_shards_only() {
    let edits = chain(2, |step| if step == 0 { 8 } else { 64 });
    let mut process = ConfigReplica::new();
    apply_edit(&mut process, &edits[0]);
    let result = process.apply_head(edits[1].head.clone()).unwrap();
    assert!(matches!(result, ApplyResult::MissingShards(1)));
}

proptest! {
    /// Guards against an order of deliveries that results in an older or mixed configuration.
    #[test]
    fn any_order_of_learning_ends_at_the_newest(
        steps in prop::collection::vec((0_usize..4, 0_usize..4, 0_usize..12), 1..60),
        reshape in 0_u32..12,
    ) {
        let edits = chain(12, |step| if step < reshape { 8 } else { 16 });
        let mut processes: Vec<_> = (0..4).map(|_| ConfigReplica::new()).collect();
        let mut newest = [0_u64; 4];
        for (to, from, index) in steps {
            if to == from {
                apply_edit(&mut processes[to], &edits[index]);
                newest[to] = newest[to].max(edits[index].head.revision.get());
            } else {
                let sender = std::mem::take(&mut processes[from]);
                synchronize(&mut processes[to], &sender);
                processes[from] = sender;
                newest[to] = newest[to].max(newest[from]);
            }
            let process = &processes[to];
            prop_assert_eq!(process.revision().get(), newest[to]);
            if let Some(snapshot) = process.in_force() {
                let edit = &edits[usize::try_from(newest[to]).unwrap() - 1];
                prop_assert!(snapshot.shards() == &*edit.shards);
            }
        }
    }

    /// Guards against a panic on arbitrary bytes, and against accepting them.
    #[test]
    fn arbitrary_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let text = String::from_utf8_lossy(&bytes);
        prop_assert!(ConfigHead::decode(&bytes).is_err());
        prop_assert!(Shard::decode(&text).is_err());
        prop_assert!(text.parse::<Digest>().is_err());
        prop_assert!(serde_json::from_slice::<ConfigUpdate>(&bytes).is_err());
    }

    /// Guards against accepting a shard that was altered in transit.
    #[test]
    fn altered_shards_are_not_taken(position in 0_usize..400, byte in any::<u8>()) {
        let edit = &chain(1, |_| 8)[0];
        let mut process = ConfigReplica::new();
        process.apply_head(edit.head.clone()).unwrap();
        let mut altered = edit.shards[0].encoded().as_bytes().to_vec();
        prop_assume!(altered[position] != byte);
        altered[position] = byte;
        let altered = String::from_utf8_lossy(&altered);
        prop_assert!(matches!(process.apply_shard(&altered), Ok(ApplyResult::Ignored)));
    }
}
