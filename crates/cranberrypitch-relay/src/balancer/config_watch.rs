//! Reads of the operators' configuration and evacuations from the store.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    ConfigCheck, ConfigRead, ConfigReadOptions, ConfigReadSchedule, EvacuationRead, RouteConfig,
};
use cranberrypitch_core::{Clock, Revision};
use cranberrypitch_net::store::{Entry, Result as StoreResult, Store, Version};
use rand::RngExt;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use super::evacuation_keys::evacuation_read;
use super::snapshot_fetch::MissingState;
use super::state_update::StateUpdate;
use crate::errors::Result;
use crate::log;
use crate::metrics::RelayMetrics;
use crate::platform::{OperatorKey, Platform};
use crate::store::prefix_watcher::{POLL_WAIT, PrefixRead, PrefixWatcher};

/// The upper bound of the random time by which balancers differ in the maximum age of a check.
const MAX_JITTER: Duration = Duration::from_millis(400);

/// A notice to the watch of a balancer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ConfigNotice {
    /// Another balancer has read the store.
    Checked(ConfigCheck),
    /// A configuration from the snapshot of another balancer is in force.
    InForce(Revision),
}

/// The inputs of [`watch_config`].
#[derive(Debug)]
pub(crate) struct ConfigWatchInputs {
    /// The address from which this balancer sends messages to agents.
    pub(crate) balancer: SocketAddrV4,
    pub(crate) notices: Receiver<ConfigNotice>,
    /// Requests an immediate read of the store.
    pub(crate) read_request: Arc<Notify>,
    /// Receives the configurations and the checks of this balancer.
    pub(crate) updates: Sender<StateUpdate>,
    /// Receives what this balancer lacks, for the task that fetches snapshots.
    pub(crate) missing: watch::Sender<MissingState>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: RelayMetrics,
}

/// Sends each version of the configuration, and the evacuations, until the receiver is dropped.
///
/// # Errors
///
/// Returns an error if the platform's prefix of operators' keys is invalid.
pub(crate) async fn watch_config<P: Platform, S: Store>(
    store: &S,
    inputs: ConfigWatchInputs,
) -> Result<()> {
    let watcher = PrefixWatcher::new(store, P::operator_prefix()?);
    let jitter = MAX_JITTER.mul_f64(rand::rng().random_range(0.0..=1.0));
    let schedule = ConfigReadSchedule::new(ConfigReadOptions::default(), inputs.balancer, jitter);
    let mut watch = ConfigWatch {
        watcher,
        schedule,
        notices: inputs.notices,
        read_request: inputs.read_request,
        updates: inputs.updates,
        missing: inputs.missing,
        clock: inputs.clock,
        metrics: inputs.metrics,
        was_watching: false,
    };
    while watch.step::<P>().await {}
    Ok(())
}

struct ConfigWatch<'a, S> {
    watcher: PrefixWatcher<'a, S>,
    schedule: ConfigReadSchedule,
    notices: Receiver<ConfigNotice>,
    read_request: Arc<Notify>,
    updates: Sender<StateUpdate>,
    missing: watch::Sender<MissingState>,
    clock: Arc<dyn Clock>,
    metrics: RelayMetrics,
    /// Whether the balancer watched the store at the last step.
    was_watching: bool,
}

/// The result of a successful read of the store.
struct ConfigAnswer {
    configs: Vec<RouteConfig>,
    evacuations: Option<EvacuationRead>,
    started_at: Instant,
    /// The time at which the store had no newer configuration.
    checked_at: Instant,
}

impl<S: Store> ConfigWatch<'_, S> {
    /// Performs the next step of the schedule. Returns whether the receiver of updates still exists.
    async fn step<P: Platform>(&mut self) -> bool {
        while let Ok(notice) = self.notices.try_recv() {
            self.on_notice(notice);
        }
        let now = self.clock.now();
        let next = self.schedule.next(now);
        self.record_state(now);
        match next {
            ConfigRead::Now => self.read::<P>(POLL_WAIT).await,
            ConfigRead::Watch { wait } => self.read::<P>(wait).await,
            ConfigRead::WaitUntil(at) => {
                let wait = at.saturating_duration_since(self.clock.now());
                tokio::select! {
                    Some(notice) = self.notices.recv() => self.on_notice(notice),
                    () = self.read_request.notified() => {
                        self.schedule.on_read_request(self.clock.now());
                    }
                    () = sleep(wait) => {}
                }
                !self.updates.is_closed()
            }
        }
    }

    /// Updates the metrics, and logs when the balancer starts or stops to watch the store.
    fn record_state(&mut self, now: Instant) {
        let (is_watching, age) = (self.schedule.is_watching(), self.schedule.check_age(now));
        self.metrics.set_config_watch(is_watching, age);
        if std::mem::replace(&mut self.was_watching, is_watching) != is_watching {
            let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
            tracing::info!(target: log::TARGET, event = "ConfigurationWatch", is_watching, age_ms);
        }
    }

    fn on_notice(&mut self, notice: ConfigNotice) {
        let now = self.clock.now();
        apply_notice(&mut self.schedule, notice, now);
        let state = self.missing_state(now);
        // Nothing is missing while the own reads succeed.
        self.missing.send_if_modified(|missing| {
            let is_modified = *missing != MissingState::Nothing && *missing != state;
            if is_modified {
                *missing = state;
            }
            is_modified
        });
    }

    /// Returns what the balancer lacks after a successful read.
    fn missing_after_read(&self) -> MissingState {
        let peer = self.schedule.peer_with_missing_version(self.clock.now());
        peer.map_or(MissingState::Nothing, MissingState::ConfigOf)
    }

    /// Returns what the balancer lacks after a failed read.
    fn missing_state(&self, now: Instant) -> MissingState {
        if let Some(peer) = self.schedule.peer_with_missing_version(now) {
            MissingState::ConfigOf(peer)
        } else if self.schedule.is_outdated() {
            MissingState::Config
        } else if self.schedule.is_current(now) {
            MissingState::Nothing
        } else {
            MissingState::Agents
        }
    }

    /// Reads the store and sends what it returned. Returns whether the receiver still exists.
    async fn read<P: Platform>(&mut self, wait: Duration) -> bool {
        let read_after = self.watcher.after();
        let Some(answer) = self.call::<P>(wait).await else {
            return true;
        };
        let updates = match answer {
            Ok(answer) => {
                let version = answer.configs.iter().map(|config| config.version).max();
                let announced = self.schedule.announced_version();
                // A balancer is ready from the first configuration on, and must know the evacuations then.
                let evacuations = answer.evacuations.map(StateUpdate::Evacuations);
                let mut updates: Vec<_> = evacuations.into_iter().collect();
                updates.extend(answer.configs.into_iter().map(StateUpdate::Config));
                updates.extend(self.on_read(version, answer.checked_at));
                updates.extend(self.answer_request(answer.started_at));
                self.log_not_in_store(announced, read_after);
                self.missing.send_replace(self.missing_after_read());
                Ok(updates)
            }
            Err(error) => {
                self.schedule.on_failure();
                let state = self.missing_state(self.clock.now());
                self.missing.send_replace(state);
                Err(error)
            }
        };
        self.watcher.send_updates(updates, &self.updates).await
    }

    /// Logs a version that another balancer announced before a read that did not return it. `read_after`
    /// is the version of the store from which on changes were read; none if everything was read.
    fn log_not_in_store(&self, announced: Option<Revision>, read_after: Option<Version>) {
        let version = self.schedule.version();
        let is_dropped = announced > version && !self.schedule.is_outdated();
        if let Some(announced) = announced.filter(|_| is_dropped) {
            let version = version.map(|version| version.to_string());
            let read_after = read_after.map(|version| version.to_string());
            tracing::warn!(target: log::TARGET, event = "ConfigurationNotInStore", %announced, version, read_after);
        }
    }

    fn on_read(&mut self, version: Option<Revision>, checked_at: Instant) -> Option<StateUpdate> {
        let check = self
            .schedule
            .on_read(version, checked_at, self.clock.now())?;
        Some(StateUpdate::ConfigChecked(check))
    }

    /// Returns the update that answers a request for a read, if a read that started then does.
    fn answer_request(&mut self, started_at: Instant) -> Option<StateUpdate> {
        let now = self.clock.now();
        let is_answered = self.schedule.take_answered_request(started_at, now);
        is_answered.then_some(StateUpdate::ConfigReadUpTo(started_at))
    }

    /// Calls the store: lists the operators' keys before the first watch and after a loss of history, and
    /// watches them otherwise. Returns nothing if a read becomes due during the watch: another balancer
    /// announces a newer version, or this one requests a read.
    async fn call<P: Platform>(&mut self, wait: Duration) -> Option<StoreResult<ConfigAnswer>> {
        let started_at = self.clock.now();
        let is_watch = self.watcher.is_listed() && wait > POLL_WAIT;
        let read = {
            let read = self.watcher.read(wait);
            tokio::pin!(read);
            loop {
                tokio::select! {
                    read = &mut read => break read,
                    Some(notice) = self.notices.recv() => {
                        apply_notice(&mut self.schedule, notice, self.clock.now());
                        if is_watch && self.schedule.is_outdated() {
                            return None;
                        }
                    }
                    () = self.read_request.notified() => {
                        self.schedule.on_read_request(self.clock.now());
                        if is_watch {
                            return None;
                        }
                    }
                }
            }
        };
        Some(read.map(|read| {
            let checked_at = match &read {
                PrefixRead::Listing(_) => started_at,
                PrefixRead::Changes(changes) if changes.is_empty() => started_at + wait,
                PrefixRead::Changes(_) => self.clock.now(),
            };
            let read_up_to = self.watcher.after();
            ConfigAnswer {
                started_at,
                checked_at,
                evacuations: read_up_to.map(|version| evacuation_read::<P>(&read, version)),
                configs: configs::<P>(read),
            }
        }))
    }
}

/// Returns the valid configurations of a read.
fn configs<P: Platform>(read: PrefixRead) -> Vec<RouteConfig> {
    let is_config = |entry: &Entry| P::operator_key(&entry.key) == OperatorKey::Configuration;
    let entries = entries(read).filter(is_config);
    entries.filter_map(|entry| parse::<P>(&entry)).collect()
}

/// Returns the entries of a read, without deleted ones.
fn entries(read: PrefixRead) -> impl Iterator<Item = Entry> {
    let (listed, changed) = match read {
        PrefixRead::Listing(entries) => (entries, Vec::new()),
        PrefixRead::Changes(changes) => (Vec::new(), changes),
    };
    let changed = changed.into_iter().filter_map(|change| change.entry);
    listed.into_iter().chain(changed)
}

fn apply_notice(schedule: &mut ConfigReadSchedule, notice: ConfigNotice, now: Instant) {
    match notice {
        ConfigNotice::Checked(check) => {
            schedule.on_check(&check, now);
        }
        ConfigNotice::InForce(version) => schedule.on_config(version),
    }
}

fn parse<P: Platform>(entry: &Entry) -> Option<RouteConfig> {
    match P::parse_config(&entry.value) {
        Ok(config) => Some(config),
        Err(error) => {
            tracing::error!(target: log::TARGET, event = "ConfigurationRefused", %error);
            None
        }
    }
}
