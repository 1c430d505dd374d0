//! Configuration synchronisation: an accepted configuration comes into force in all processes and is
//! never replaced by an older one, whichever process holds a watcher slot and whatever the store does.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cranberrypitch_core::acceptance::ConfigUpdate;
use cranberrypitch_core::config::{ConfigText, Digest};
use cranberrypitch_core::{EditId, FailureDomain, ManualClock, Revision, Slots};
use cranberrypitch_net::config_editor::{ApplyOutcome, ConfigEditor, ConfigEditorOptions};
use cranberrypitch_net::config_sync::{
    ConfigPeer, ConfigPeers, ConfigSource, ConfigSync, ConfigSyncOptions, PeerError, PeerResult,
};
use cranberrypitch_net::store::{MemoryStore, Operation, Store, StoreKey};

const VALVES: &str = include_str!("../../../samples/valves.json");

/// The configuration sources of all processes, which serve as peers in rotation.
#[derive(Clone, Debug, Default)]
struct Fleet {
    sources: Arc<Mutex<Vec<FleetPeer>>>,
    rotation: Arc<Mutex<usize>>,
}

#[derive(Clone, Debug)]
struct FleetPeer {
    source: ConfigSource,
    is_silent: bool,
}

impl Fleet {
    fn add(&self, source: ConfigSource) {
        let is_silent = false;
        self.sources
            .lock()
            .unwrap()
            .push(FleetPeer { source, is_silent });
    }

    fn set_silent(&self, index: usize) {
        self.sources.lock().unwrap()[index].is_silent = true;
    }
}

impl ConfigPeers for Fleet {
    type Peer = FleetPeer;

    fn pick(&self, count: usize, _: Revision) -> Vec<FleetPeer> {
        let sources = self.sources.lock().unwrap();
        let mut rotation = self.rotation.lock().unwrap();
        *rotation += 1;
        sources
            .iter()
            .cycle()
            .skip(*rotation)
            .take(count.min(sources.len()))
            .cloned()
            .collect()
    }
}

impl FleetPeer {
    fn reachable_source(&self) -> PeerResult<&ConfigSource> {
        let detail = "silent".into();
        if self.is_silent {
            Err(PeerError { detail })
        } else {
            Ok(&self.source)
        }
    }
}

impl ConfigPeer for FleetPeer {
    async fn revision(&self) -> PeerResult<Revision> {
        Ok(self.reachable_source()?.revision())
    }

    async fn fetch_since(&self, revision: Revision) -> PeerResult<Option<ConfigUpdate>> {
        Ok(self.reachable_source()?.update_since(revision))
    }

    async fn fetch_shards(&self, digests: &[Digest]) -> PeerResult<Vec<Box<str>>> {
        Ok(self.reachable_source()?.shards(digests))
    }
}

struct Fixture {
    store: MemoryStore,
    clock: ManualClock,
    fleet: Fleet,
}

type TestConfigSync = ConfigSync<MemoryStore, Fleet>;

impl Fixture {
    fn new() -> Self {
        let clock = ManualClock::new();
        let timeout = Duration::from_millis(50);
        Self {
            store: MemoryStore::new(Arc::new(clock.clone()), timeout),
            clock,
            fleet: Fleet::default(),
        }
    }

    fn options() -> ConfigSyncOptions {
        let mut options = ConfigSyncOptions::new(FailureDomain::try_new("rs-sul").unwrap());
        options.watch_timeout = Duration::from_millis(10);
        options.poll_interval = Duration::from_millis(2);
        options.peer_timeout = Duration::from_millis(50);
        options.watch_bytes_per_s = u32::MAX;
        options
    }

    fn editor_options() -> ConfigEditorOptions {
        ConfigEditorOptions {
            write_back_wait: Duration::from_millis(100),
            ..ConfigEditorOptions::default()
        }
    }

    fn config_sync(&self, seed: u64) -> (TestConfigSync, ConfigSource) {
        let options = Self::options();
        let clock = Arc::new(self.clock.clone());
        ConfigSync::new(self.store.clone(), self.fleet.clone(), options, clock, seed)
    }

    async fn join(&self, seed: u64) -> (TestConfigSync, ConfigSource) {
        let (mut config_sync, source) = self.config_sync(seed);
        config_sync.start().await;
        self.fleet.add(source.clone());
        (config_sync, source)
    }

    async fn apply(&self, slots: u32, edited: u64) {
        let id = EditId::new(u128::from(edited) + 1);
        self.apply_as(slots, edited, id).await;
    }

    async fn apply_as(&self, slots: u32, edited: u64, id: EditId) {
        let mut text = ConfigText::parse(VALVES).unwrap();
        text.services[0].slots = Slots::new(slots);
        let operator = ConfigEditor::new(self.store.clone(), Self::editor_options());
        let outcome = operator.apply(&text, Revision::new(edited), id).await;
        assert!(
            matches!(outcome, ApplyOutcome::Accepted { .. }),
            "{outcome}"
        );
    }

    async fn held_slot_count(&self) -> usize {
        let prefix = StoreKey::try_new("watch/rs-sul/").unwrap();
        self.store.list(&prefix).await.unwrap().entries.len()
    }
}

/// Returns a process with revision 3 in force, whose store was restored from a copy with revision 1.
async fn lose_edits() -> (Fixture, TestConfigSync, ConfigSource) {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let (mut watcher, source) = fixture.join(0).await;
    watcher.step().await;
    let copy = fixture.store.copy();
    fixture.apply(6, 1).await;
    fixture.apply(7, 2).await;
    step_to(&mut watcher, &source, 3).await;
    fixture.store.restore(copy);
    (fixture, watcher, source)
}

/// Returns the slots of the first service in the configuration in force.
fn slots_in_force(source: &ConfigSource) -> Slots {
    let snapshot = source.subscribe().borrow().clone().unwrap();
    snapshot.text().services[0].slots
}

/// Runs up to 50 steps until the revision is in force. Panics otherwise.
async fn step_to(config_sync: &mut TestConfigSync, source: &ConfigSource, revision: u64) {
    for _ in 0..50 {
        if source.revision() == Revision::new(revision) {
            return;
        }
        config_sync.step().await;
    }
    panic!(
        "revision {revision} does not come into force; {} is in force",
        source.revision()
    );
}

/// Guards against more than two processes that watch the store, and changes that don't spread beyond
/// the watchers.
#[tokio::test]
async fn two_watch_and_the_others_learn_from_them() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let mut instances = Vec::new();
    for seed in 0..6 {
        let (mut config_sync, source) = fixture.join(seed).await;
        config_sync.step().await;
        instances.push((config_sync, source));
    }
    assert_eq!(
        instances
            .iter()
            .filter(|(instance, _)| instance.holds_slot())
            .count(),
        2
    );
    assert_eq!(fixture.held_slot_count().await, 2);
    fixture.apply(6, 1).await;
    for (config_sync, source) in &mut instances {
        step_to(config_sync, source, 2).await;
        assert_eq!(slots_in_force(source), Slots::new(6));
    }
}

/// Guards against a watcher that resumes after its lease has lapsed and another process has taken its
/// slot: it must neither keep the slot nor return to an old revision.
#[tokio::test]
async fn a_paused_holder_does_no_harm() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let (mut paused, paused_source) = fixture.join(0).await;
    paused.step().await;
    let (mut second, _) = fixture.join(1).await;
    second.step().await;
    assert!(paused.holds_slot() && second.holds_slot());

    fixture.clock.advance(Duration::from_secs(11));
    let (mut third, third_source) = fixture.join(2).await;
    second.step().await;
    third.step().await;
    second.step().await;
    assert!(third.holds_slot());
    fixture.apply(6, 1).await;
    step_to(&mut third, &third_source, 2).await;
    let (mut fourth, _) = fixture.join(3).await;
    fourth.step().await;

    paused.step().await;
    assert!(!paused.holds_slot());
    step_to(&mut paused, &paused_source, 2).await;
    paused.step().await;
    assert_eq!(fixture.held_slot_count().await, 2);
    assert_eq!(paused_source.revision(), Revision::new(2));
}

/// Guards against a store outage that changes the configuration in force or prevents a start, and
/// against a stale peer that determines the configuration of a process that has just started.
#[tokio::test]
async fn an_outage_changes_nothing() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let (mut stale, stale_source) = fixture.join(0).await;
    stale.step().await;
    fixture.apply(6, 1).await;
    let (mut fresh, fresh_source) = fixture.join(1).await;
    fixture.store.faults().set_down(true);
    fresh.step().await;
    assert_eq!(fresh_source.revision(), Revision::new(2));
    assert_eq!(stale_source.revision(), Revision::new(1));

    let (_, new_source) = fixture.join(2).await;
    assert_eq!(new_source.revision(), Revision::new(2));
    step_to(&mut stale, &stale_source, 2).await;

    fixture.fleet.set_silent(0);
    fixture.fleet.set_silent(1);
    let (_, newer_source) = fixture.join(3).await;
    assert_eq!(newer_source.revision(), Revision::new(2));

    fixture.store.faults().set_down(false);
    fixture.apply(7, 2).await;
    // The next attempt to take a slot is due.
    fixture.clock.advance(Duration::from_secs(4));
    step_to(&mut fresh, &fresh_source, 3).await;
}

/// Guards against a slot that stays taken after its holder has released it, or after the answer to its
/// write was lost.
#[tokio::test]
async fn released_slots_become_free() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let (mut config_sync, _) = fixture.join(0).await;
    config_sync.step().await;
    assert_eq!(fixture.held_slot_count().await, 1);
    config_sync.release_slot().await;
    assert_eq!(fixture.held_slot_count().await, 0);
    let (running, _) = fixture.config_sync(2);
    running
        .run_until(async {
            while fixture.held_slot_count().await == 0 {
                tokio::task::yield_now().await;
            }
        })
        .await;
    assert_eq!(fixture.held_slot_count().await, 0);
    let (mut unanswered, _) = fixture.join(1).await;
    fixture.store.faults().lose_answers(1, 1);
    unanswered.step().await;
    assert!(!unanswered.holds_slot());
    assert_eq!(fixture.held_slot_count().await, 0);
}

/// Guards against a starting process that accepts an older configuration than a heartbeat announced.
#[tokio::test]
async fn announced_revisions_exclude_older_ones() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let (mut stale, _) = fixture.join(0).await;
    stale.step().await;
    fixture.store.faults().set_down(true);
    let (mut config_sync, source) = fixture.config_sync(1);
    source.record_peer_revision(Revision::new(2));
    config_sync.start().await;
    config_sync.step().await;
    assert!(source.subscribe().borrow().is_none());
}

/// Guards against an announced change that is fetched only at the next poll.
#[tokio::test]
async fn an_announcement_ends_the_pause() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let (mut fresh, fresh_source) = fixture.join(0).await;
    fresh.step().await;
    let (mut options, clock) = (Fixture::options(), Arc::new(fixture.clock.clone()));
    options.poll_interval = Duration::from_mins(10);
    options.watchers_per_domain = 0;
    let (store, peers) = (fixture.store.clone(), fixture.fleet.clone());
    let (mut waiting, source) = ConfigSync::new(store, peers, options, clock, 1);
    let announce = async {
        fixture.apply(6, 1).await;
        while fresh_source.revision() < Revision::new(2) {
            fresh.step().await;
        }
        source.record_peer_revision(Revision::new(2));
    };
    let receive = async {
        while source.revision() < Revision::new(2) {
            waiting.step().await;
        }
    };
    let both = async { tokio::join!(announce, receive) };
    tokio::time::timeout(Duration::from_secs(10), both)
        .await
        .unwrap();
}

/// Guards against watchers that read long heads as fast as they change, and against a watcher that
/// receives no changes or loses its slot while it pauses.
#[tokio::test]
async fn a_watcher_paces_its_reads() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let (mut other, other_source) = fixture.join(0).await;
    other.step().await;
    let (mut options, clock) = (Fixture::options(), Arc::new(fixture.clock.clone()));
    options.watch_bytes_per_s = 30;
    let (store, peers) = (fixture.store.clone(), fixture.fleet.clone());
    let (mut paced, source) = ConfigSync::new(store, peers, options, clock, 1);
    fixture.apply(6, 1).await;
    step_to(&mut paced, &source, 2).await;
    fixture.apply(7, 2).await;
    let watches = fixture.store.counters().total(Operation::Watch);
    paced.step().await;
    assert_eq!(source.revision(), Revision::new(2));
    assert_eq!(fixture.store.counters().total(Operation::Watch), watches);
    step_to(&mut other, &other_source, 3).await;
    step_to(&mut paced, &source, 3).await;
    assert!(paced.holds_slot());
}

/// Guards against starting processes that read all shards from the store, and against a process without
/// a configuration because its peers have none.
#[tokio::test]
async fn starting_processes_get_their_shards_from_peers() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let mut options = Fixture::options();
    options.max_shards_from_store = 0;
    for (seed, reads) in [(0, 1), (1, 0), (2, 0)] {
        let before = fixture.store.counters().total(Operation::Get);
        let (store, peers) = (fixture.store.clone(), fixture.fleet.clone());
        let clock = Arc::new(fixture.clock.clone());
        let (mut config_sync, source) = ConfigSync::new(store, peers, options.clone(), clock, seed);
        config_sync.start().await;
        assert_eq!(source.revision(), Revision::new(1));
        let read = fixture.store.counters().total(Operation::Get) - before;
        assert_eq!(read, reads);
        fixture.fleet.add(source);
    }
}

/// Guards against an accepted edit that is lost with the store's latest writes: processes that start later
/// would return to an older configuration.
#[tokio::test]
async fn edits_that_the_store_lost_are_put_back() {
    let (fixture, mut watcher, _) = lose_edits().await;
    for _ in 0..10 {
        fixture.clock.advance(Duration::from_secs(1));
        watcher.step().await;
    }
    fixture.fleet.set_silent(0);
    let (_, new_source) = fixture.join(1).await;
    assert_eq!(new_source.revision(), Revision::new(3));
    assert_eq!(slots_in_force(&new_source), Slots::new(7));
}

/// Guards against an accepted edit that does not come into force: it is made on the older configuration of
/// the restored store, so its revision is not above that in force.
#[tokio::test]
async fn an_edit_of_a_restored_configuration_comes_into_force() {
    let (fixture, mut watcher, source) = lose_edits().await;
    // No process reaches the store before the operator does.
    fixture.apply_as(8, 1, EditId::new(77)).await;
    for _ in 0..10 {
        fixture.clock.advance(Duration::from_secs(4));
        watcher.step().await;
    }
    assert_eq!(slots_in_force(&source), Slots::new(8));
}

/// Guards against a fleet that does not follow the store after a restoration: the slots of the copy are held
/// by leases that nobody has any more.
#[tokio::test]
async fn watchers_follow_the_store_after_a_restoration() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let (mut first, first_source) = fixture.join(0).await;
    let (mut second, second_source) = fixture.join(1).await;
    first.step().await;
    second.step().await;
    assert!(first.holds_slot() && second.holds_slot());

    let copy = fixture.store.copy();
    fixture.store.restore(copy);
    fixture.apply(6, 1).await;
    for _ in 0..5 {
        fixture.clock.advance(Duration::from_secs(1));
        first.step().await;
        second.step().await;
    }
    assert_eq!(slots_in_force(&first_source), Slots::new(6));
    assert_eq!(slots_in_force(&second_source), Slots::new(6));

    // The slots of the copy become free when their leases lapse.
    for _ in 0..12 {
        fixture.clock.advance(Duration::from_secs(1));
        first.step().await;
        second.step().await;
    }
    assert!(first.holds_slot() && second.holds_slot());
    assert_eq!(fixture.held_slot_count().await, 2);
}

/// Guards against an edit of the older configuration of a restored store that reverts the edits which the
/// store has lost: they are written back first, and the operator sees them.
#[tokio::test]
async fn first_edit_after_a_restoration_waits_for_the_lost_ones() {
    let (fixture, mut watcher, _) = lose_edits().await;
    let options = ConfigEditorOptions::default();
    let operator = ConfigEditor::new(fixture.store.clone(), options);
    let text = ConfigText::parse(VALVES).unwrap();
    let watch = async {
        loop {
            fixture.clock.advance(Duration::from_millis(100));
            watcher.step().await;
        }
    };
    let outcome = tokio::select! {
        outcome = operator.apply(&text, Revision::new(1), EditId::new(77)) => outcome,
        () = watch => unreachable!("the watcher does not end"),
    };
    let current = Revision::new(3);
    assert!(
        matches!(outcome, ApplyOutcome::Conflict { current: found, .. } if found == current),
        "{outcome}"
    );
    let outcome = operator.apply(&text, current, EditId::new(78)).await;
    assert!(
        matches!(outcome, ApplyOutcome::Accepted { revision, .. } if revision > current),
        "{outcome}"
    );
}

/// Guards against a wait and skipped revisions with each edit after a restoration.
#[tokio::test]
async fn only_the_first_edit_after_a_restoration_skips_revisions() {
    let fixture = Fixture::new();
    fixture.apply(5, 0).await;
    let copy = fixture.store.copy();
    fixture.store.restore(copy);
    fixture.apply(6, 1).await;
    let operator = ConfigEditor::new(fixture.store.clone(), Fixture::editor_options());
    let first = operator.status().await.unwrap().unwrap().revision;
    assert!(first > Revision::new(2), "{first}");
    fixture.apply(7, first.get()).await;
    let second = operator.status().await.unwrap().unwrap().revision;
    assert_eq!(second, first.next());
}
