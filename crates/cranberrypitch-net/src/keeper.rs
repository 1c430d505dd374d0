//! Keeps the configuration of a process up to date.
//!
//! A few processes in each failure domain hold a watcher slot and ask the store; all others ask their
//! peers. [`Keeper::run_until`] is one loop without tasks of its own, so a daemon may also drop it.

mod peer;
mod slot;

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
use crate::events::{Event, RateLimit};
use crate::keeper::slot::Slot;
use crate::store::{Store, Version, Watched};

pub use peer::{ConfigPeer, ConfigPeers, ConfigSource, PeerError, PeerResult};

/// The shards that are asked of a peer at once; at their usual size they fill one answer.
const SHARDS_PER_REQUEST: usize = 64;

/// The peers that a starting process asks for their revision, so that one stale peer among them does
/// not decide.
const PEERS_AT_START: usize = 3;

/// The shortest time between two questions to peers.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// The time between two log lines about configurations that are not taken in.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The options of a [`Keeper`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperOptions {
    /// The failure domain of this process.
    pub failure_domain: FailureDomain,
    /// The watcher slots of each failure domain.
    pub watchers_per_domain: u32,
    /// The time after which a watcher slot lapses.
    pub slot_ttl: Duration,
    /// The mean time between two attempts of any of the contenders to take a slot.
    pub contend_interval: Duration,
    /// The processes of the failure domain that contend for its slots. Each waits this many intervals
    /// between its attempts, so the calls to the store don't grow with the fleet.
    pub contenders: u32,
    /// The longest time that one watch waits.
    pub watch_wait: Duration,
    /// The mean time between two questions to peers, and between two attempts to reach the store.
    pub poll_interval: Duration,
    /// The time within which a peer answers.
    pub peer_timeout: Duration,
    /// The bytes that a watcher reads from the store in a second, on average. The head of a large
    /// text is long, so a watcher that has read one pauses and learns from its peers meanwhile; the
    /// other watchers, which pause at other times, notice the next change.
    pub watch_bytes_per_s: u32,
    /// The shards of one head that are read from the store. When more are lacking, peers are asked
    /// first: 41,000 processes that start in a day and read thousands of shards each would exceed the
    /// store's rate.
    pub shards_from_store: usize,
}

impl KeeperOptions {
    /// Returns the usual options for a failure domain.
    pub const fn new(failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain,
            watchers_per_domain: 2,
            slot_ttl: Duration::from_secs(10),
            contend_interval: Duration::from_secs(2),
            contenders: 1,
            watch_wait: Duration::from_secs(30),
            poll_interval: Duration::from_secs(1),
            peer_timeout: Duration::from_secs(2),
            watch_bytes_per_s: 10_000,
            shards_from_store: 16,
        }
    }
}

/// Why one attempt to learn a newer configuration failed.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
#[non_exhaustive]
pub enum KeeperError {
    /// The store failed, or holds no configuration.
    Store(config_store::Error),
    /// A peer failed.
    Peer(PeerError),
    /// A peer sent what can't be accepted.
    Content(CoreError),
    /// A peer did not answer in time.
    #[from(skip)]
    #[display("peer does not answer in time")]
    PeerTimeout,
}

type Result<T> = std::result::Result<T, KeeperError>;

/// Keeps the configuration of one process up to date.
#[derive(Debug)]
pub struct Keeper<S, P> {
    store: S,
    peers: P,
    options: KeeperOptions,
    clock: Arc<dyn Clock>,
    random: StdRng,
    acceptance: Arc<Mutex<ConfigReplica>>,
    publisher: watch::Sender<Option<Arc<ConfigSnapshot>>>,
    newer: Arc<Notify>,
    slot: Option<Slot>,
    contend_at: Instant,
    watch_at: Instant,
    watched: Version,
    refusals: Mutex<RateLimit>,
    stale: Mutex<RateLimit>,
}

impl<S: Store, P: ConfigPeers> Keeper<S, P> {
    /// Returns a keeper with nothing in force, and where its configuration can be had.
    pub fn new(
        store: S,
        peers: P,
        options: KeeperOptions,
        clock: Arc<dyn Clock>,
        seed: u64,
    ) -> (Self, ConfigSource) {
        let acceptance = Arc::new(Mutex::new(ConfigReplica::new()));
        let newer = Arc::new(Notify::new());
        let (publisher, receiver) = watch::channel(None);
        let source = ConfigSource::new(Arc::clone(&acceptance), receiver, Arc::clone(&newer));
        let keeper = Self {
            contend_at: clock.now(),
            watch_at: clock.now(),
            random: StdRng::seed_from_u64(seed),
            watched: Version::default(),
            refusals: Mutex::new(RateLimit::new(LOG_INTERVAL)),
            stale: Mutex::new(RateLimit::new(LOG_INTERVAL)),
            slot: None,
            store,
            peers,
            options,
            clock,
            acceptance,
            publisher,
            newer,
        };
        (keeper, source)
    }

    /// Runs until `stop` is ready, and gives the watcher slot up then.
    pub async fn run_until(mut self, stop: impl Future<Output = ()> + Send) {
        let mut stop = std::pin::pin!(stop);
        tokio::select! {
            () = &mut stop => {}
            () = self.start_and_step() => {}
        }
        self.leave().await;
    }

    async fn start_and_step(&mut self) {
        self.start().await;
        loop {
            self.step().await;
        }
    }

    /// Learns a first configuration from the store, or from peers while the store is down.
    pub async fn start(&mut self) {
        if let Err(error) = self.learn_from_store().await {
            log::debug!("no configuration from the store: {error}");
            self.log_refusal(&error);
            if let Err(error) = self.learn_from_newest_peer().await {
                log::debug!("no configuration from peers: {error}");
            }
        }
    }

    /// Does what is due next, and waits as long as it makes sense.
    pub async fn step(&mut self) {
        self.keep_slot().await;
        let outcome = match &self.slot {
            Some(_) if self.clock.now() >= self.watch_at => self.watch_head().await,
            _ => self.ask_and_wait().await,
        };
        if let Err(error) = outcome {
            log::debug!("configuration not learned: {error}");
            self.log_refusal(&error);
            // A watcher that is cut off from the store may still reach its peers.
            if self.slot.is_some()
                && let Err(error) = self.ask_peer().await
            {
                log_failure(&error);
            }
            self.pause().await;
        }
    }

    /// Returns whether this process holds a watcher slot.
    pub const fn holds_slot(&self) -> bool {
        self.slot.is_some()
    }

    /// Gives the watcher slot up, so that another process can take it at once.
    pub async fn leave(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.release(&self.store).await;
        }
    }

    async fn keep_slot(&mut self) {
        if let Some(slot) = &mut self.slot {
            if !slot.keep(&self.store, &*self.clock).await {
                log::debug!("watcher slot {} has lapsed", slot.key());
                self.slot = None;
            }
            return;
        }
        if self.clock.now() < self.contend_at {
            return;
        }
        let turn = self.options.contend_interval * self.options.contenders.max(1);
        self.contend_at = self.clock.now() + self.jitter(turn);
        let taken = Slot::take(
            &self.store,
            &self.options.failure_domain,
            self.options.watchers_per_domain,
            self.options.slot_ttl,
            &*self.clock,
        );
        match taken.await {
            Ok(slot) => self.slot = slot,
            Err(error) => log::debug!("no watcher slot: {error}"),
        }
    }

    /// Waits for a newer head, and takes it in.
    async fn watch_head(&mut self) -> Result<()> {
        let now = self.clock.now();
        let due = self.slot.as_ref().map(|slot| slot.renewal_due(now));
        let wait = self.options.watch_wait.min(due.unwrap_or_default());
        // A renewal that fails stays due, and must not turn the watch into a busy loop.
        let wait = wait.max(self.options.poll_interval);
        let watched = self.store.watch(&head_key(), self.watched, wait).await;
        match watched.map_err(config_store::Error::from)? {
            Watched::Unchanged => Ok(()),
            Watched::Reset => self.learn_from_store().await,
            Watched::Changed { version, changes } => {
                for entry in changes.into_iter().filter_map(|change| change.entry) {
                    self.pace(entry.value.len());
                    let (head, _) = decode_head(&entry)?;
                    self.take_in(head).await?;
                }
                self.watched = version;
                Ok(())
            }
        }
    }

    /// Puts off the next watch after a read.
    fn pace(&mut self, len_bytes: usize) {
        let len_bytes = u32::try_from(len_bytes).unwrap_or(u32::MAX);
        let pause = f64::from(len_bytes) / f64::from(self.options.watch_bytes_per_s.max(1));
        self.watch_at = self.clock.now() + self.jitter(Duration::from_secs_f64(pause));
    }

    async fn learn_from_store(&mut self) -> Result<()> {
        let listing = self.store.list(&head_key()).await;
        let listing = listing.map_err(config_store::Error::from)?;
        for entry in &listing.entries {
            let (head, _) = decode_head(entry)?;
            self.take_in(head).await?;
        }
        self.watched = listing.version;
        Ok(())
    }

    /// Brings a head from the store in force with the shards that it needs. When a shard is gone, an
    /// even newer head has dropped it.
    async fn take_in(&self, head: ConfigHead) -> Result<()> {
        self.log_stale(head.revision);
        let progress = self.lock().apply_head(head)?;
        self.publish(&progress);
        if self.lock().missing_shards().len() > self.options.shards_from_store {
            self.fetch_from_peers().await;
        }
        let lacking = self.lock().missing_shards();
        for digest in lacking {
            let shard = read_shard(&self.store, digest).await?;
            let progress = self.lock().apply_shard(shard.encoded())?;
            self.publish(&progress);
        }
        Ok(())
    }

    async fn fetch_from_peers(&self) {
        for peer in self.peers.pick(PEERS_AT_START, Revision::default()) {
            if let Err(error) = self.fetch_lacking(&peer).await {
                log_failure(&error);
            }
        }
    }

    async fn ask_and_wait(&mut self) -> Result<()> {
        self.ask_peer().await?;
        self.pause().await;
        Ok(())
    }

    async fn ask_peer(&self) -> Result<()> {
        let revision = self.lock().revision();
        match self.peers.pick(1, revision).pop() {
            Some(peer) => self.learn_from(&peer).await,
            None => Ok(()),
        }
    }

    /// Learns from the peer with the newest configuration of a few, so that a stale peer does not
    /// bring an old configuration in force in a process that has just started.
    async fn learn_from_newest_peer(&self) -> Result<()> {
        let mut newest: Option<(Revision, P::Peer)> = None;
        for peer in self.peers.pick(PEERS_AT_START, Revision::default()) {
            match self.in_time(peer.revision()).await {
                Ok(revision) if newest.as_ref().is_none_or(|(best, _)| revision > *best) => {
                    newest = Some((revision, peer));
                }
                Ok(_) => {}
                Err(error) => log_failure(&error),
            }
        }
        let Some((revision, peer)) = newest else {
            return Ok(());
        };
        self.lock().raise_min_revision(revision);
        self.learn_from(&peer).await
    }

    async fn learn_from(&self, peer: &P::Peer) -> Result<()> {
        let before = self.lock().revision();
        let learned = self.learn_newer(peer, before).await;
        let revision = self.lock().revision();
        if revision > before {
            Event::ConfigurationFromPeer { revision }.log();
        }
        learned
    }

    async fn learn_newer(&self, peer: &P::Peer, revision: Revision) -> Result<()> {
        let Some(update) = self.in_time(peer.fetch_since(revision)).await? else {
            return Ok(());
        };
        if let Err(error) = self.offer(update) {
            log::debug!("update refused, asking for the whole head: {error}");
            let whole = peer.fetch_since(Revision::default());
            if let Some(update) = self.in_time(whole).await? {
                self.offer(update)?;
            }
        }
        self.fetch_lacking(peer).await
    }

    /// Fetches the shards that are still needed; stops when the peer has none of them.
    async fn fetch_lacking(&self, peer: &P::Peer) -> Result<()> {
        loop {
            let mut lacking = self.lock().missing_shards();
            lacking.truncate(SHARDS_PER_REQUEST);
            if lacking.is_empty() || self.fetch_some(peer, &lacking).await? == 0 {
                return Ok(());
            }
        }
    }

    async fn fetch_some(&self, peer: &P::Peer, digests: &[Digest]) -> Result<usize> {
        let shards = self.in_time(peer.fetch_shards(digests)).await?;
        let mut useful = 0;
        for shard in shards {
            let progress = self.lock().apply_shard(&shard)?;
            useful += usize::from(!matches!(progress, ApplyResult::Ignored));
            self.publish(&progress);
        }
        Ok(useful)
    }

    fn offer(&self, update: ConfigUpdate) -> Result<()> {
        let progress = self.lock().apply_update(update)?;
        self.publish(&progress);
        Ok(())
    }

    fn publish(&self, progress: &ApplyResult) {
        if let ApplyResult::InForce(snapshot) = progress {
            self.publisher.send_replace(Some(Arc::clone(snapshot)));
        }
    }

    /// Logs that the store offers an older configuration than the one in force.
    fn log_stale(&self, revision: Revision) {
        let in_force = self.lock().revision();
        if revision < in_force && self.is_due(&self.stale) {
            Event::ConfigurationStale { revision, in_force }.log();
        }
    }

    /// Logs that a configuration can't be taken in because of its content.
    fn log_refusal(&self, error: &KeeperError) {
        let is_content = matches!(
            error,
            KeeperError::Content(_) | KeeperError::Store(config_store::Error::Content(_))
        );
        if is_content && self.is_due(&self.refusals) {
            let error = error.to_string().into();
            Event::ConfigurationRefused { error }.log();
        }
    }

    fn is_due(&self, limit: &Mutex<RateLimit>) -> bool {
        let mut limit = limit.lock().unwrap_or_else(PoisonError::into_inner);
        limit.count(self.clock.now()).is_some()
    }

    async fn in_time<T>(&self, answer: impl Future<Output = PeerResult<T>>) -> Result<T> {
        match tokio::time::timeout(self.options.peer_timeout, answer).await {
            Ok(answer) => Ok(answer?),
            Err(_) => Err(KeeperError::PeerTimeout),
        }
    }

    async fn pause(&mut self) {
        let pause = self.jitter(self.options.poll_interval);
        let heard = tokio::time::timeout(pause, self.newer.notified()).await;
        // Announcements come in bursts, as all peers learn of a change at about the same time.
        if heard.is_ok() {
            tokio::time::sleep(MIN_PAUSE.min(pause)).await;
        }
    }

    /// Spreads the fleet's calls over time: returns a half to three halves of `mean`.
    fn jitter(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.random.random_range(0.5..1.5))
    }

    fn lock(&self) -> MutexGuard<'_, ConfigReplica> {
        self.acceptance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_failure(error: &KeeperError) {
    log::debug!("configuration not learned from a peer: {error}");
}
