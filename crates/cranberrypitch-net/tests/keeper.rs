//! Guards the keeper: what is accepted comes into force everywhere and never reverts, whoever holds
//! the watcher slots and whatever the store does.

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

/// The sources of all processes; a process asks them in turn.
#[derive(Clone, Debug, Default)]
struct Fleet {
    sources: Arc<Mutex<Vec<FleetPeer>>>,
    turn: Arc<Mutex<usize>>,
}

#[derive(Clone, Debug)]
struct FleetPeer {
    source: ConfigSource,
    silent: bool,
}

impl Fleet {
    fn add(&self, source: ConfigSource) {
        let silent = false;
        self.sources
            .lock()
            .unwrap()
            .push(FleetPeer { source, silent });
    }

    fn silence(&self, index: usize) {
        self.sources.lock().unwrap()[index].silent = true;
    }
}

impl ConfigPeers for Fleet {
    type Peer = FleetPeer;

    fn pick(&self, count: usize, _: Revision) -> Vec<FleetPeer> {
        let sources = self.sources.lock().unwrap();
        let mut turn = self.turn.lock().unwrap();
        *turn += 1;
        sources
            .iter()
            .cycle()
            .skip(*turn)
            .take(count.min(sources.len()))
            .cloned()
            .collect()
    }
}

impl FleetPeer {
    fn reach(&self) -> PeerResult<&ConfigSource> {
        let detail = "silent".into();
        if self.silent {
            Err(PeerError { detail })
        } else {
            Ok(&self.source)
        }
    }
}

impl ConfigPeer for FleetPeer {
    async fn revision(&self) -> PeerResult<Revision> {
        Ok(self.reach()?.revision())
    }

    async fn fetch_since(&self, revision: Revision) -> PeerResult<Option<ConfigUpdate>> {
        Ok(self.reach()?.update_since(revision))
    }

    async fn fetch_shards(&self, digests: &[Digest]) -> PeerResult<Vec<Box<str>>> {
        Ok(self.reach()?.shards(digests))
    }
}

struct Bench {
    store: MemoryStore,
    clock: ManualClock,
    fleet: Fleet,
}

type TestConfigSync = ConfigSync<MemoryStore, Fleet>;

impl Bench {
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

    fn keeper(&self, seed: u64) -> (TestConfigSync, ConfigSource) {
        let options = Self::options();
        let clock = Arc::new(self.clock.clone());
        ConfigSync::new(self.store.clone(), self.fleet.clone(), options, clock, seed)
    }

    async fn join(&self, seed: u64) -> (TestConfigSync, ConfigSource) {
        let (mut keeper, source) = self.keeper(seed);
        keeper.start().await;
        self.fleet.add(source.clone());
        (keeper, source)
    }

    async fn apply(&self, slots: u32, edited: u64) {
        let mut text = ConfigText::parse(VALVES).unwrap();
        text.services[0].slots = Slots::new(slots);
        let operator = ConfigEditor::new(self.store.clone(), ConfigEditorOptions::default());
        let id = EditId::new(u128::from(edited) + 1);
        let outcome = operator.apply(&text, Revision::new(edited), id).await;
        assert!(
            matches!(outcome, ApplyOutcome::Accepted { .. }),
            "{outcome}"
        );
    }

    async fn slots_taken(&self) -> usize {
        let prefix = StoreKey::try_new("watch/rs-sul/").unwrap();
        self.store.list(&prefix).await.unwrap().entries.len()
    }
}

/// Steps until the revision is in force; a bounded number of steps.
async fn step_to(keeper: &mut TestConfigSync, source: &ConfigSource, revision: u64) {
    for _ in 0..50 {
        if source.revision() == Revision::new(revision) {
            return;
        }
        keeper.step().await;
    }
    panic!(
        "revision {revision} does not come into force, but {}",
        source.revision()
    );
}

/// Guards against processes that all ask the store, and changes that stop at the watchers.
#[tokio::test]
async fn two_watch_and_the_others_learn_from_them() {
    let bench = Bench::new();
    bench.apply(5, 0).await;
    let mut keepers = Vec::new();
    for seed in 0..6 {
        let (mut keeper, source) = bench.join(seed).await;
        keeper.step().await;
        keepers.push((keeper, source));
    }
    assert_eq!(keepers.iter().filter(|(k, _)| k.holds_slot()).count(), 2);
    assert_eq!(bench.slots_taken().await, 2);
    bench.apply(6, 1).await;
    for (keeper, source) in &mut keepers {
        step_to(keeper, source, 2).await;
        let snapshot = source.subscribe().borrow().clone().unwrap();
        assert_eq!(snapshot.text().services[0].slots, Slots::new(6));
    }
}

/// Guards against harm by a paused watcher whose lease lapsed: another process takes the slot, and
/// the watcher that wakes up neither takes it back nor goes back to an old revision.
#[tokio::test]
async fn a_paused_holder_does_no_harm() {
    let bench = Bench::new();
    bench.apply(5, 0).await;
    let (mut paused, paused_source) = bench.join(0).await;
    paused.step().await;
    let (mut second, _) = bench.join(1).await;
    second.step().await;
    assert!(paused.holds_slot() && second.holds_slot());

    bench.clock.advance(Duration::from_secs(11));
    let (mut third, third_source) = bench.join(2).await;
    second.step().await;
    third.step().await;
    second.step().await;
    assert!(third.holds_slot());
    bench.apply(6, 1).await;
    step_to(&mut third, &third_source, 2).await;
    let (mut fourth, _) = bench.join(3).await;
    fourth.step().await;

    paused.step().await;
    assert!(!paused.holds_slot());
    step_to(&mut paused, &paused_source, 2).await;
    paused.step().await;
    assert_eq!(bench.slots_taken().await, 2);
    assert_eq!(paused_source.revision(), Revision::new(2));
}

/// Guards against a store outage that changes what is in force or keeps a new process out, and
/// against a stale peer that decides for a process that has just started.
#[tokio::test]
async fn an_outage_changes_nothing() {
    let bench = Bench::new();
    bench.apply(5, 0).await;
    let (mut stale, stale_source) = bench.join(0).await;
    stale.step().await;
    bench.apply(6, 1).await;
    let (mut fresh, fresh_source) = bench.join(1).await;
    bench.store.faults().set_down(true);
    fresh.step().await;
    assert_eq!(fresh_source.revision(), Revision::new(2));
    assert_eq!(stale_source.revision(), Revision::new(1));

    let (_, new_source) = bench.join(2).await;
    assert_eq!(new_source.revision(), Revision::new(2));
    step_to(&mut stale, &stale_source, 2).await;

    bench.fleet.silence(0);
    bench.fleet.silence(1);
    let (_, newer_source) = bench.join(3).await;
    assert_eq!(newer_source.revision(), Revision::new(2));

    bench.store.faults().set_down(false);
    bench.apply(7, 2).await;
    // The next attempt to take a slot is due.
    bench.clock.advance(Duration::from_secs(4));
    step_to(&mut fresh, &fresh_source, 3).await;
}

/// Guards against a slot that stays taken after its holder left, or after the answer to its write was
/// lost.
#[tokio::test]
async fn slots_become_free() {
    let bench = Bench::new();
    bench.apply(5, 0).await;
    let (mut keeper, _) = bench.join(0).await;
    keeper.step().await;
    assert_eq!(bench.slots_taken().await, 1);
    keeper.release_slot().await;
    assert_eq!(bench.slots_taken().await, 0);
    let (running, _) = bench.keeper(2);
    running
        .run_until(async {
            while bench.slots_taken().await == 0 {
                tokio::task::yield_now().await;
            }
        })
        .await;
    assert_eq!(bench.slots_taken().await, 0);
    let (mut unlucky, _) = bench.join(1).await;
    bench.store.faults().lose_answers(1, 1);
    unlucky.step().await;
    assert!(!unlucky.holds_slot());
    assert_eq!(bench.slots_taken().await, 0);
}

/// Guards against a heartbeat that does not keep a starting process from an old configuration.
#[tokio::test]
async fn what_was_heard_of_bars_older_revisions() {
    let bench = Bench::new();
    bench.apply(5, 0).await;
    let (mut stale, _) = bench.join(0).await;
    stale.step().await;
    bench.store.faults().set_down(true);
    let (mut keeper, source) = bench.keeper(1);
    source.record_peer_revision(Revision::new(2));
    keeper.start().await;
    keeper.step().await;
    assert!(source.subscribe().borrow().is_none());
}

/// Guards against a change that waits for the next poll although it was announced.
#[tokio::test]
async fn an_announcement_ends_the_pause() {
    let bench = Bench::new();
    bench.apply(5, 0).await;
    let (mut fresh, fresh_source) = bench.join(0).await;
    fresh.step().await;
    let (mut options, clock) = (Bench::options(), Arc::new(bench.clock.clone()));
    options.poll_interval = Duration::from_mins(10);
    options.watchers_per_domain = 0;
    let (store, peers) = (bench.store.clone(), bench.fleet.clone());
    let (mut waiting, source) = ConfigSync::new(store, peers, options, clock, 1);
    let announced = async {
        bench.apply(6, 1).await;
        while fresh_source.revision() < Revision::new(2) {
            fresh.step().await;
        }
        source.record_peer_revision(Revision::new(2));
    };
    let learned = async {
        while source.revision() < Revision::new(2) {
            waiting.step().await;
        }
    };
    let both = async { tokio::join!(announced, learned) };
    tokio::time::timeout(Duration::from_secs(10), both)
        .await
        .unwrap();
}

/// Guards against watchers that read long heads as fast as they change, and against a watcher that
/// learns nothing and loses its slot while it pauses.
#[tokio::test]
async fn a_watcher_paces_its_reads() {
    let bench = Bench::new();
    bench.apply(5, 0).await;
    let (mut other, other_source) = bench.join(0).await;
    other.step().await;
    let (mut options, clock) = (Bench::options(), Arc::new(bench.clock.clone()));
    options.watch_bytes_per_s = 30;
    let (store, peers) = (bench.store.clone(), bench.fleet.clone());
    let (mut paced, source) = ConfigSync::new(store, peers, options, clock, 1);
    bench.apply(6, 1).await;
    step_to(&mut paced, &source, 2).await;
    bench.apply(7, 2).await;
    let watches = bench.store.counters().total(Operation::Watch);
    paced.step().await;
    assert_eq!(source.revision(), Revision::new(2));
    assert_eq!(bench.store.counters().total(Operation::Watch), watches);
    step_to(&mut other, &other_source, 3).await;
    step_to(&mut paced, &source, 3).await;
    assert!(paced.holds_slot());
}

/// Guards against starting processes that read all shards from the store, and against one that has no
/// configuration because its peers have none.
#[tokio::test]
async fn starting_processes_get_their_shards_from_peers() {
    let bench = Bench::new();
    bench.apply(5, 0).await;
    let mut options = Bench::options();
    options.max_shards_from_store = 0;
    for (seed, reads) in [(0, 1), (1, 0), (2, 0)] {
        let before = bench.store.counters().total(Operation::Get);
        let (store, peers) = (bench.store.clone(), bench.fleet.clone());
        let clock = Arc::new(bench.clock.clone());
        let (mut keeper, source) = ConfigSync::new(store, peers, options.clone(), clock, seed);
        keeper.start().await;
        assert_eq!(source.revision(), Revision::new(1));
        let read = bench.store.counters().total(Operation::Get) - before;
        assert_eq!(read, reads);
        bench.fleet.add(source);
    }
}
