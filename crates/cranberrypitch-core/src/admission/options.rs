//! Settings of admission control.

use std::time::Duration;

use crate::errors::{Error, Result};
use crate::units::{ConnectionLimit, Slots};

const DEFAULT_ORGANISATION_QUEUE_LEN: u32 = 32;
const DEFAULT_QUEUE_LEN: u32 = 512;
const DEFAULT_FIRST_SLOTS: Slots = Slots::new(1);
const DEFAULT_RAMP: Duration = Duration::from_secs(10);

/// How the number of usable slots grows after a start of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// The usable slots at the start, at least one.
    pub first_slots: Slots,
    /// The time over which the usable slots grow linearly to the limit.
    pub ramp: Duration,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            first_slots: DEFAULT_FIRST_SLOTS,
            ramp: DEFAULT_RAMP,
        }
    }
}

/// The settings of an [`AdmissionController`](super::AdmissionController).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    slots: Slots,
    connection_limit: ConnectionLimit,
    organisation_queue_len: u32,
    queue_len: u32,
    cold_start: ColdStart,
}

impl AdmissionOptions {
    /// Returns a builder with the limits of the service and default values for everything else.
    pub fn builder(slots: Slots, connection_limit: ConnectionLimit) -> AdmissionOptionsBuilder {
        AdmissionOptionsBuilder {
            options: Self {
                slots,
                connection_limit,
                organisation_queue_len: DEFAULT_ORGANISATION_QUEUE_LEN,
                queue_len: DEFAULT_QUEUE_LEN,
                cold_start: ColdStart::default(),
            },
        }
    }

    /// Returns the number of requests that the backend server runs at once.
    pub const fn slots(&self) -> Slots {
        self.slots
    }

    /// Returns the limit that applies to connections of callers and, separately, to feeds.
    pub const fn connection_limit(&self) -> ConnectionLimit {
        self.connection_limit
    }

    /// Returns the maximum number of waiting requests per organisation.
    pub const fn organisation_queue_len(&self) -> u32 {
        self.organisation_queue_len
    }

    /// Returns the maximum number of waiting requests of all organisations.
    pub const fn queue_len(&self) -> u32 {
        self.queue_len
    }

    /// Returns how the usable slots grow after a start.
    pub const fn cold_start(&self) -> ColdStart {
        self.cold_start
    }
}

/// Builds [`AdmissionOptions`].
#[derive(Clone, Copy, Debug)]
#[must_use]
pub struct AdmissionOptionsBuilder {
    options: AdmissionOptions,
}

impl AdmissionOptionsBuilder {
    /// Sets the maximum number of waiting requests per organisation.
    pub const fn organisation_queue_len(mut self, len: u32) -> Self {
        self.options.organisation_queue_len = len;
        self
    }

    /// Sets the maximum number of waiting requests of all organisations.
    pub const fn queue_len(mut self, len: u32) -> Self {
        self.options.queue_len = len;
        self
    }

    /// Sets how the usable slots grow after a start.
    pub const fn cold_start(mut self, cold_start: ColdStart) -> Self {
        self.options.cold_start = cold_start;
        self
    }

    /// Returns the settings, or an error that names the first one that is out of its range.
    pub fn build(self) -> Result<AdmissionOptions> {
        let options = self.options;
        if options.slots.get() == 0 {
            return Err(Error::setting("slots", "at least 1"));
        }
        if options.connection_limit.get() == 0 {
            return Err(Error::setting("connection limit", "at least 1"));
        }
        if !(1..=options.queue_len).contains(&options.organisation_queue_len) {
            let rule = "at least 1, at most the total queue length";
            return Err(Error::setting("queue length per tenant", rule));
        }
        if !(1..=options.slots.get()).contains(&options.cold_start.first_slots.get()) {
            return Err(Error::setting(
                "first slots",
                "at least 1, at most the number of slots",
            ));
        }
        Ok(options)
    }
}
