//! Synchronisation of a process's configuration with the store and with peers.
//!
//! A few processes in each failure domain hold a watcher slot and watch the store; all others poll
//! their peers. [`ConfigSync::run_until`] spawns no tasks, so a daemon may also drop its future.

mod peer;
mod slot;
mod write_back;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cranberrypitch_core::acceptance::{ApplyResult, ConfigReplica, ConfigSnapshot, ConfigUpdate};
use cranberrypitch_core::config::{ConfigHead, Digest};
use cranberrypitch_core::{Clock, Error as CoreError, FailureDomain, Revision};
use derive_more::{Display, Error, From};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::{Notify, watch};

use crate::config_store::{self, decode_head, head_key, read_shard};
use crate::config_sync::slot::WatcherSlot;
use crate::events::{Event, RateLimit};
use crate::store::{Store, Version, WatchOutcome};

pub use peer::{ConfigPeer, ConfigPeers, ConfigSource, PeerError, PeerResult};

/// The number of shards requested from a peer at once; at their usual size they fill one answer.
const SHARDS_PER_REQUEST: usize = 64;

/// The number of peers that a starting process queries, so that it does not depend on a single peer,
/// which may be stale.
const STARTUP_PEERS: usize = 3;

/// The shortest interval between two polls of peers.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The shortest interval between two log lines about configurations that are not accepted.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The options of a [`ConfigSync`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSyncOptions {
    /// The failure domain of this process.
    pub failure_domain: FailureDomain,
    /// The number of watcher slots of each failure domain.
    pub watchers_per_domain: u32,
    /// The time to live of the lease on a watcher slot.
    pub slot_ttl: Duration,
    /// The mean interval between attempts to take a slot, over all contenders together.
    pub contend_interval: Duration,
    /// The number of processes of the failure domain that contend for its slots. Each waits this many
    /// intervals between its attempts, so that the load on the store does not grow with the fleet.
    pub contenders: u32,
    /// The longest time that one watch call waits for a change.
    pub watch_timeout: Duration,
    /// The mean interval between polls of peers, and between retries of the store.
    pub poll_interval: Duration,
    /// The time limit for an answer of a peer.
    pub peer_timeout: Duration,
    /// The mean rate at which a watcher reads from the store. The head of a large configuration is
    /// long, so a watcher that has read one pauses and polls its peers meanwhile. Other watchers,
    /// which pause at other times, see the next change.
    pub watch_bytes_per_s: u32,
    /// The number of shards of one head up to which a process reads them from the store. If more are
    /// missing, it queries peers first: 41,000 processes that start in a day and read thousands of
    /// shards each would exceed the store's rate limit.
    pub max_shards_from_store: usize,
}

impl ConfigSyncOptions {
    /// Returns the default options for a failure domain.
    pub const fn new(failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain,
            watchers_per_domain: 2,
            slot_ttl: Duration::from_secs(10),
            contend_interval: Duration::from_secs(2),
            contenders: 1,
            watch_timeout: Duration::from_secs(30),
            poll_interval: Duration::from_secs(1),
            peer_timeout: Duration::from_secs(2),
            watch_bytes_per_s: 10_000,
            max_shards_from_store: 16,
        }
    }
}

/// The errors of an attempt to fetch a newer configuration.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
#[non_exhaustive]
pub enum ConfigSyncError {
    /// The store failed, or its configuration is invalid.
    Store(config_store::Error),
    /// A call to a peer failed.
    Peer(PeerError),
    /// The content that the store or a peer sent is invalid.
    Content(CoreError),
    /// A peer did not answer within the timeout.
    #[from(skip)]
    #[display("peer did not answer in time")]
    PeerTimeout,
}

type Result<T> = std::result::Result<T, ConfigSyncError>;

/// The loop that keeps the configuration of a process up to date.
#[derive(Debug)]
pub struct ConfigSync<S, P> {
    store: S,
    peers: P,
    options: ConfigSyncOptions,
    clock: Arc<dyn Clock>,
    random: StdRng,
    replica: Arc<Mutex<ConfigReplica>>,
    publisher: watch::Sender<Option<Arc<ConfigSnapshot>>>,
    newer_revision: Arc<Notify>,
    slot: Option<WatcherSlot>,
    /// The time up to which this process watches the store without a slot, as its slot was lost with the
    /// latest writes of the store and may not be free before.
    watches_without_slot_until: Instant,
    next_slot_attempt: Instant,
    next_watch: Instant,
    watched_version: Version,
    refusal_log_limit: Mutex<RateLimit>,
    stale_log_limit: Mutex<RateLimit>,
}

impl<S: Store, P: ConfigPeers> ConfigSync<S, P> {
    /// Returns the loop, which has no configuration yet, and the source that other parts of the
    /// process read the configuration from.
    pub fn new(
        store: S,
        peers: P,
        options: ConfigSyncOptions,
        clock: Arc<dyn Clock>,
        seed: u64,
    ) -> (Self, ConfigSource) {
        let replica = Arc::new(Mutex::new(ConfigReplica::new()));
        let newer_revision = Arc::new(Notify::new());
        let (publisher, receiver) = watch::channel(None);
        let source = ConfigSource::new(Arc::clone(&replica), receiver, Arc::clone(&newer_revision));
        let config_sync = Self {
            next_slot_attempt: clock.now(),
            watches_without_slot_until: clock.now(),
            next_watch: clock.now(),
            random: StdRng::seed_from_u64(seed),
            watched_version: Version::default(),
            refusal_log_limit: Mutex::new(RateLimit::new(LOG_INTERVAL)),
            stale_log_limit: Mutex::new(RateLimit::new(LOG_INTERVAL)),
            slot: None,
            store,
            peers,
            options,
            clock,
            replica,
            publisher,
            newer_revision,
        };
        (config_sync, source)
    }

    /// Runs until `stop` completes, then releases the watcher slot.
    pub async fn run_until(mut self, stop: impl Future<Output = ()> + Send) {
        let mut stop = std::pin::pin!(stop);
        tokio::select! {
            () = &mut stop => {}
            () = self.start_and_step() => {}
        }
        self.release_slot().await;
    }

    async fn start_and_step(&mut self) {
        self.start().await;
        loop {
            self.step().await;
        }
    }

    /// Fetches the first configuration from the store, or from peers if the store is unavailable.
    pub async fn start(&mut self) {
        if let Err(error) = self.fetch_from_store().await {
            log::debug!("no configuration from the store: {error}");
            self.log_refusal(&error);
            if let Err(error) = self.fetch_from_newest_peer().await {
                log::debug!("no configuration from peers: {error}");
            }
        }
    }

    /// Runs one iteration: maintains the watcher slot, then watches the store or polls a peer.
    pub async fn step(&mut self) {
        self.maintain_slot().await;
        let now = self.clock.now();
        let is_watcher = self.slot.is_some() || now < self.watches_without_slot_until;
        let outcome = if is_watcher && now >= self.next_watch {
            self.watch_head().await
        } else {
            self.poll_and_pause().await
        };
        if let Err(error) = outcome {
            log::debug!("configuration update failed: {error}");
            self.log_refusal(&error);
            // A watcher that can't reach the store may still reach its peers.
            if self.slot.is_some()
                && let Err(error) = self.poll_peer().await
            {
                log_peer_failure(&error);
            }
            self.pause().await;
        }
    }

    /// Returns whether this process holds a watcher slot.
    pub const fn holds_slot(&self) -> bool {
        self.slot.is_some()
    }

    /// Releases the watcher slot, so that another process can take it at once.
    pub async fn release_slot(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.release(&self.store).await;
        }
    }

    async fn maintain_slot(&mut self) {
        if let Some(slot) = &mut self.slot {
            let epoch = slot.epoch();
            if !slot.renew_if_due(&self.store, &*self.clock).await {
                log::debug!("watcher slot {} has lapsed", slot.key());
                self.slot = None;
                if self.store.epoch() > Some(epoch) {
                    self.watches_without_slot_until = self.clock.now() + self.options.slot_ttl;
                }
            }
            return;
        }
        if self.clock.now() < self.next_slot_attempt {
            return;
        }
        let interval = self.options.contend_interval * self.options.contenders.max(1);
        self.next_slot_attempt = self.clock.now() + self.jitter(interval);
        let taken = WatcherSlot::take(
            &self.store,
            &self.options.failure_domain,
            self.options.watchers_per_domain,
            self.options.slot_ttl,
            &*self.clock,
        );
        match taken.await {
            Ok(slot) => self.slot = slot,
            Err(error) => log::debug!("watcher slot not taken: {error}"),
        }
    }

    /// Waits for a newer head in the store and applies it.
    async fn watch_head(&mut self) -> Result<()> {
        let now = self.clock.now();
        let due = self.slot.as_ref().map(|slot| slot.time_to_renewal(now));
        let wait = self.options.watch_timeout.min(due.unwrap_or_default());
        // A failed renewal stays due, which must not turn the watch into a busy loop.
        let wait = wait.max(self.options.poll_interval);
        let watched = self
            .store
            .watch(&head_key(), self.watched_version, wait)
            .await;
        match watched.map_err(config_store::Error::from)? {
            WatchOutcome::Unchanged => Ok(()),
            WatchOutcome::Reset => self.fetch_from_store().await,
            WatchOutcome::Changed { version, changes } => {
                for entry in changes.into_iter().filter_map(|change| change.entry) {
                    self.delay_next_watch(entry.value.len());
                    self.on_stored_head(Some(decode_head(&entry)?)).await?;
                }
                self.watched_version = version;
                Ok(())
            }
        }
    }

    /// Delays the next watch so that the mean read rate stays within `watch_bytes_per_s`.
    fn delay_next_watch(&mut self, len_bytes: usize) {
        let len_bytes = u32::try_from(len_bytes).unwrap_or(u32::MAX);
        let pause = f64::from(len_bytes) / f64::from(self.options.watch_bytes_per_s.max(1));
        self.next_watch = self.clock.now() + self.jitter(Duration::from_secs_f64(pause));
    }

    async fn fetch_from_store(&mut self) -> Result<()> {
        let listing = self.store.list(&head_key()).await;
        let listing = listing.map_err(config_store::Error::from)?;
        let found = listing.entries.first().map(decode_head).transpose()?;
        self.on_stored_head(found).await?;
        self.watched_version = listing.version;
        Ok(())
    }

    /// Applies the head that the store has, or writes the configuration in force back if the store has
    /// lost it.
    async fn on_stored_head(&self, found: Option<(ConfigHead, Version)>) -> Result<()> {
        let in_force = self.lock_replica().in_force().cloned();
        let head = found.as_ref().map(|(head, _)| head);
        if let Some(in_force) = in_force
            && write_back::is_lost(in_force.head(), head)
        {
            write_back::write_back(&self.store, &in_force, found.as_ref()).await?;
            let revision = in_force.head().revision;
            let found = head.map_or(Revision::default(), |head| head.revision);
            Event::ConfigurationWrittenBack { revision, found }.log();
            return Ok(());
        }
        match found {
            Some((head, _)) => self.apply_head(head).await,
            None => Ok(()),
        }
    }

    /// Applies a head from the store with the shards that it needs. If a shard is missing from the
    /// store, an even newer head no longer refers to it.
    async fn apply_head(&self, head: ConfigHead) -> Result<()> {
        self.log_stale(head.revision);
        let result = self.lock_replica().apply_head(head)?;
        self.publish(&result);
        if self.lock_replica().missing_shards().len() > self.options.max_shards_from_store {
            self.fetch_from_peers().await;
        }
        let missing = self.lock_replica().missing_shards();
        for digest in missing {
            let shard = read_shard(&self.store, digest).await?;
            let result = self.lock_replica().apply_shard(shard.encoded())?;
            self.publish(&result);
        }
        Ok(())
    }

    async fn fetch_from_peers(&self) {
        for peer in self.peers.pick(STARTUP_PEERS, Revision::default()) {
            if let Err(error) = self.fetch_missing_shards(&peer).await {
                log_peer_failure(&error);
            }
        }
    }

    async fn poll_and_pause(&mut self) -> Result<()> {
        self.poll_peer().await?;
        self.pause().await;
        Ok(())
    }

    async fn poll_peer(&self) -> Result<()> {
        let revision = self.lock_replica().revision();
        match self.peers.pick(1, revision).pop() {
            Some(peer) => self.fetch_from_peer(&peer).await,
            None => Ok(()),
        }
    }

    /// Fetches the configuration from the most up-to-date of a few peers, so that a stale peer does
    /// not bring an old configuration into force in a process that has just started.
    async fn fetch_from_newest_peer(&self) -> Result<()> {
        let mut newest: Option<(Revision, P::Peer)> = None;
        for peer in self.peers.pick(STARTUP_PEERS, Revision::default()) {
            match self.with_peer_timeout(peer.revision()).await {
                Ok(revision) if newest.as_ref().is_none_or(|(best, _)| revision > *best) => {
                    newest = Some((revision, peer));
                }
                Ok(_) => {}
                Err(error) => log_peer_failure(&error),
            }
        }
        let Some((revision, peer)) = newest else {
            return Ok(());
        };
        self.lock_replica().raise_min_revision(revision);
        self.fetch_from_peer(&peer).await
    }

    async fn fetch_from_peer(&self, peer: &P::Peer) -> Result<()> {
        let before = self.lock_replica().revision();
        let result = self.fetch_newer(peer, before).await;
        let revision = self.lock_replica().revision();
        if revision > before {
            Event::ConfigurationFromPeer { revision }.log();
        }
        result
    }

    async fn fetch_newer(&self, peer: &P::Peer, revision: Revision) -> Result<()> {
        let Some(update) = self.with_peer_timeout(peer.fetch_since(revision)).await? else {
            return Ok(());
        };
        if let Err(error) = self.apply_update(update) {
            log::debug!("update refused, fetching the full head: {error}");
            let full = peer.fetch_since(Revision::default());
            if let Some(update) = self.with_peer_timeout(full).await? {
                self.apply_update(update)?;
            }
        }
        self.fetch_missing_shards(peer).await
    }

    /// Fetches the missing shards from a peer; stops when a batch yields none of them.
    async fn fetch_missing_shards(&self, peer: &P::Peer) -> Result<()> {
        loop {
            let mut missing = self.lock_replica().missing_shards();
            missing.truncate(SHARDS_PER_REQUEST);
            if missing.is_empty() || self.fetch_shard_batch(peer, &missing).await? == 0 {
                return Ok(());
            }
        }
    }

    async fn fetch_shard_batch(&self, peer: &P::Peer, digests: &[Digest]) -> Result<usize> {
        let shards = self.with_peer_timeout(peer.fetch_shards(digests)).await?;
        let mut used = 0;
        for shard in shards {
            let result = self.lock_replica().apply_shard(&shard)?;
            used += usize::from(!matches!(result, ApplyResult::Ignored));
            self.publish(&result);
        }
        Ok(used)
    }

    fn apply_update(&self, update: ConfigUpdate) -> Result<()> {
        let result = self.lock_replica().apply_update(update)?;
        self.publish(&result);
        Ok(())
    }

    fn publish(&self, result: &ApplyResult) {
        if let ApplyResult::InForce(snapshot) = result {
            self.publisher.send_replace(Some(Arc::clone(snapshot)));
        }
    }

    /// Logs a configuration from the store that is older than the one in force.
    fn log_stale(&self, revision: Revision) {
        let in_force = self.lock_replica().revision();
        if revision < in_force && self.is_log_due(&self.stale_log_limit) {
            Event::ConfigurationStale { revision, in_force }.log();
        }
    }

    /// Logs a configuration that is refused because of its content.
    fn log_refusal(&self, error: &ConfigSyncError) {
        let is_content = matches!(
            error,
            ConfigSyncError::Content(_) | ConfigSyncError::Store(config_store::Error::Content(_))
        );
        if is_content && self.is_log_due(&self.refusal_log_limit) {
            let error = error.to_string().into();
            Event::ConfigurationRefused { error }.log();
        }
    }

    fn is_log_due(&self, limit: &Mutex<RateLimit>) -> bool {
        let mut limit = limit.lock().unwrap_or_else(PoisonError::into_inner);
        limit.count(self.clock.now()).is_some()
    }

    async fn with_peer_timeout<T>(&self, answer: impl Future<Output = PeerResult<T>>) -> Result<T> {
        match tokio::time::timeout(self.options.peer_timeout, answer).await {
            Ok(answer) => Ok(answer?),
            Err(_) => Err(ConfigSyncError::PeerTimeout),
        }
    }

    async fn pause(&mut self) {
        let pause = self.jitter(self.options.poll_interval);
        let notified = tokio::time::timeout(pause, self.newer_revision.notified()).await;
        // Announcements arrive in bursts, because all peers receive a change at about the same time.
        if notified.is_ok() {
            tokio::time::sleep(MIN_POLL_INTERVAL.min(pause)).await;
        }
    }

    /// Returns a random duration of 0.5 to 1.5 times `mean`, which spreads the calls of the fleet over
    /// time.
    fn jitter(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.random.random_range(0.5..1.5))
    }

    fn lock_replica(&self) -> MutexGuard<'_, ConfigReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_peer_failure(error: &ConfigSyncError) {
    log::debug!("configuration update from a peer failed: {error}");
}
