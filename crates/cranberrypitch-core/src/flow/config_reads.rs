//! When a balancer reads the operators' configuration from the store.
//!
//! A few balancers watch the store and announce through agents which version they found and when. The
//! others read the store only after a newer version was announced, or when the last check that they
//! received is too old. There is no election: every balancer that reads the store is correct,
//! and additional readers only cost calls. An announcement never replaces the configuration in force;
//! it only triggers a read. A store that was restored from a copy may lack an announced version until
//! the operator has written it again. The balancer that announces it still has it.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::ids::Revision;

/// A check of the store by a balancer: at some time the newest configuration had this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigCheck {
    /// The version that the store returned.
    pub version: Revision,
    /// The time since the store returned it.
    pub age: Duration,
    /// The balancer that read the store.
    pub checked_by: SocketAddrV4,
}

/// Time limits of a [`ConfigReadSchedule`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigReadOptions {
    /// The maximum wait of a watch. It is shorter than `max_check_age`, so that the checks of one
    /// watching balancer keep the others from reading.
    pub watch_wait: Duration,
    /// The age of the last check from which on a balancer reads the store itself. Together with a read
    /// that times out and its repetition, it bounds the delay of a change when the watching balancer
    /// fails or its watch is stuck.
    pub max_check_age: Duration,
    /// The minimum time between the starts of two reads, unless the second one is due because of the
    /// age of the last check. A series of changes costs one read in this time.
    pub min_read_interval: Duration,
    /// The time since its last own read after which a balancer reads the store, whatever others
    /// announce. It bounds the effect of a balancer that announces wrong checks.
    pub max_read_age: Duration,
}

impl Default for ConfigReadOptions {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(1),
            max_check_age: Duration::from_millis(1500),
            min_read_interval: Duration::from_millis(300),
            max_read_age: Duration::from_secs(30),
        }
    }
}

/// What a balancer does next to follow the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigRead {
    /// Read the configuration or its changes now.
    Now,
    /// Watch the store for changes.
    Watch {
        /// The maximum wait of the watch.
        wait: Duration,
    },
    /// Wait for a check of another balancer, at most until then, and then call
    /// [`ConfigReadSchedule::next`] again.
    WaitUntil(Instant),
}

/// A version that another balancer has, and when its check arrived.
#[derive(Clone, Copy, Debug)]
struct AnnouncedVersion {
    version: Revision,
    announced_by: SocketAddrV4,
    received_at: Instant,
}

/// Decides when a balancer reads the configuration from the store.
#[derive(Clone, Debug)]
pub struct ConfigReadSchedule {
    options: ConfigReadOptions,
    address: SocketAddrV4,
    /// The newest version that this balancer has.
    version: Option<Revision>,
    /// The time up to which `version` is known to be the newest in the store.
    checked_at: Option<Instant>,
    /// A newer version that another balancer has read.
    announced: Option<AnnouncedVersion>,
    /// An announced version that a later read of the store did not return.
    missing_in_store: Option<AnnouncedVersion>,
    /// The time of the last request for a read by this balancer itself that no read has answered.
    requested_at: Option<Instant>,
    /// The start of the last read of the store, successful or not.
    read_started_at: Option<Instant>,
    /// The end of the last successful read of the store.
    read_at: Option<Instant>,
    is_watching: bool,
}

impl ConfigReadSchedule {
    /// Returns the schedule of a balancer that has not read anything. `jitter` is added to the maximum
    /// age of a check; it should differ between balancers, so that they do not all replace a failed
    /// watching balancer at the same time.
    pub fn new(options: ConfigReadOptions, address: SocketAddrV4, jitter: Duration) -> Self {
        let max_check_age = options.max_check_age + jitter;
        Self {
            options: ConfigReadOptions {
                max_check_age,
                ..options
            },
            address,
            version: None,
            checked_at: None,
            announced: None,
            missing_in_store: None,
            requested_at: None,
            read_started_at: None,
            read_at: None,
            is_watching: false,
        }
    }

    /// Returns what to do now. A read that is to start counts as started.
    pub fn next(&mut self, now: Instant) -> ConfigRead {
        let due_at = self.due_at(now);
        if due_at > now && !self.is_watching {
            return ConfigRead::WaitUntil(due_at);
        }
        if due_at > now {
            let next_start = self.next_start(now);
            if next_start > now {
                return ConfigRead::WaitUntil(next_start.min(due_at));
            }
            self.read_started_at = Some(now);
            let wait = self.options.watch_wait;
            return ConfigRead::Watch { wait };
        }
        // A balancer that reads only because of the age of the last check takes over the watch.
        if self.announced.is_none() && self.requested_at.is_none() {
            self.is_watching = true;
        }
        self.read_started_at = Some(now);
        ConfigRead::Now
    }

    /// Returns the earliest start of a read that is not due because of the age of the last check.
    fn next_start(&self, now: Instant) -> Instant {
        let interval = self.options.min_read_interval;
        self.read_started_at.map_or(now, |at| at + interval)
    }

    /// Returns the time at which the next read is due.
    fn due_at(&self, now: Instant) -> Instant {
        let (Some(checked_at), Some(read_at)) = (self.checked_at, self.read_at) else {
            return now;
        };
        if self.announced.is_some() || self.requested_at.is_some() {
            return self.next_start(now);
        }
        let check_due_at = checked_at + self.options.max_check_age;
        check_due_at.min(read_at + self.options.max_read_age)
    }

    /// Returns the newest version that this balancer has.
    pub const fn version(&self) -> Option<Revision> {
        self.version
    }

    /// Returns whether this balancer watches the store for the others.
    pub const fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Returns the time since the store is known to have had no newer version, if it is known.
    pub fn check_age(&self, now: Instant) -> Option<Duration> {
        let checked_at = self.checked_at?;
        Some(now.saturating_duration_since(checked_at))
    }

    /// Returns whether another balancer has read a version that this one has not. A watch in progress
    /// should then be replaced by a read.
    pub fn is_outdated(&self) -> bool {
        self.announced.is_some()
    }

    /// Returns the newest version that another balancer has read, if this one has not.
    pub fn announced_version(&self) -> Option<Revision> {
        self.announced.map(|announced| announced.version)
    }

    /// Records a successful read that the store answered for the state at `checked_at` or later.
    /// `version` is the newest version that the daemon has read so far, if there is any. Returns the
    /// check to announce to the other balancers.
    pub fn on_read(
        &mut self,
        version: Option<Revision>,
        checked_at: Instant,
        now: Instant,
    ) -> Option<ConfigCheck> {
        self.version = self.version.max(version);
        self.checked_at = self.checked_at.max(Some(checked_at));
        self.read_at = Some(now);
        // If a read that started after the announcement did not return the version, the store has lost it or
        // it was announced wrongly.
        let started_at = self.read_started_at;
        let is_read = |announced: &mut AnnouncedVersion| Some(announced.received_at) <= started_at;
        self.missing_in_store = self.announced.take_if(is_read).or(self.missing_in_store);
        self.forget_older_announcements();
        let version = self.version.filter(|_| self.is_watching)?;
        Some(ConfigCheck {
            version,
            age: now.saturating_duration_since(checked_at),
            checked_by: self.address,
        })
    }

    /// Records that this balancer has to know whether the store has a newer configuration as of now. Checks
    /// of other balancers do not show it, as a frozen agent may have relayed them late.
    pub const fn on_read_request(&mut self, now: Instant) {
        self.requested_at = Some(now);
    }

    /// Returns whether a successful read that started at `started_at` answers the last request, and
    /// forgets the request. A version that another balancer has and the store lacks leaves it open.
    pub fn take_answered_request(&mut self, started_at: Instant, now: Instant) -> bool {
        let is_complete = self.announced.is_none() && self.peer_with_missing_version(now).is_none();
        let is_answered = |requested_at: &mut Instant| is_complete && *requested_at <= started_at;
        self.requested_at.take_if(is_answered).is_some()
    }

    /// Records a failed read. The balancer leaves the watch to others that reach the store.
    pub const fn on_failure(&mut self) {
        self.is_watching = false;
    }

    /// Records a configuration in force that did not come from a read of the store.
    pub fn on_config(&mut self, version: Revision) {
        self.version = self.version.max(Some(version));
        self.forget_older_announcements();
    }

    /// Removes announced versions that this balancer has.
    fn forget_older_announcements(&mut self) {
        let version = self.version;
        let is_newer = |announced: &AnnouncedVersion| Some(announced.version) > version;
        self.announced = self.announced.filter(is_newer);
        self.missing_in_store = self.missing_in_store.filter(is_newer);
    }

    /// Returns the balancer to fetch the configuration from, if one has recently announced a newer version
    /// and the store does not have it.
    pub fn peer_with_missing_version(&self, now: Instant) -> Option<SocketAddrV4> {
        let announced = self.missing_in_store?;
        let age = now.saturating_duration_since(announced.received_at);
        (age < self.options.max_check_age).then_some(announced.announced_by)
    }

    /// Processes a check of another balancer. Returns whether the next step has changed.
    pub fn on_check(&mut self, check: &ConfigCheck, now: Instant) -> bool {
        if check.checked_by == self.address || self.read_at.is_none() {
            return false;
        }
        let version = Some(check.version);
        if version > self.version {
            let is_new = version > self.announced.map(|announced| announced.version);
            if is_new {
                self.announced = Some(AnnouncedVersion {
                    version: check.version,
                    announced_by: check.checked_by,
                    received_at: now,
                });
            }
            return is_new;
        }
        if version < self.version {
            return false;
        }
        let checked_at = now.checked_sub(check.age);
        if checked_at <= self.checked_at {
            return false;
        }
        self.checked_at = checked_at;
        // Of two watching balancers, the one with the higher address stops.
        if check.checked_by < self.address {
            self.is_watching = false;
        }
        true
    }

    /// Returns whether the newest version is known as of the maximum age of a check.
    pub fn is_current(&self, now: Instant) -> bool {
        let limit = self.options.max_check_age;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < limit;
        self.announced.is_none() && self.checked_at.is_some_and(is_recent)
    }
}
