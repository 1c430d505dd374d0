//! The settings of admission.

use std::time::Duration;

use crate::errors::{Error, Result};
use crate::units::{ConnectionLimit, Slots};

const DEFAULT_ORGANISATION_QUEUE_LEN: u32 = 32;
const DEFAULT_QUEUE_LEN: u32 = 512;
const DEFAULT_FIRST_SLOTS: Slots = Slots::new(1);
const DEFAULT_RAMP: Duration = Duration::from_secs(10);

/// How the slots grow after a start of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// The slots at the start, at least one.
    pub first_slots: Slots,
    /// The time in which the slots grow evenly to the limit.
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

/// The settings of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    slots: Slots,
    connection_limit: ConnectionLimit,
    organisation_queue_len: u32,
    queue_len: u32,
    cold_start: ColdStart,
}

impl AdmissionOptions {
    /// Returns a builder with the limits of the service and defaults for the rest.
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

    /// Returns the slots of the backend server.
    pub const fn slots(&self) -> Slots {
        self.slots
    }

    /// Returns the limit for connections of callers, and for feeds.
    pub const fn connection_limit(&self) -> ConnectionLimit {
        self.connection_limit
    }

    /// Returns the most requests of one organisation that wait.
    pub const fn organisation_queue_len(&self) -> u32 {
        self.organisation_queue_len
    }

    /// Returns the most requests that wait.
    pub const fn queue_len(&self) -> u32 {
        self.queue_len
    }

    /// Returns how the slots grow after a start.
    pub const fn cold_start(&self) -> ColdStart {
        self.cold_start
    }
}

/// Collects the settings of admission.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub struct AdmissionOptionsBuilder {
    options: AdmissionOptions,
}

impl AdmissionOptionsBuilder {
    /// Sets the most requests of one organisation that wait.
    pub const fn organisation_queue_len(mut self, len: u32) -> Self {
        self.options.organisation_queue_len = len;
        self
    }

    /// Sets the most requests that wait.
    pub const fn queue_len(mut self, len: u32) -> Self {
        self.options.queue_len = len;
        self
    }

    /// Sets how the slots grow after a start.
    pub const fn cold_start(mut self, cold_start: ColdStart) -> Self {
        self.options.cold_start = cold_start;
        self
    }

    /// Returns the settings after a check of their ranges.
    pub fn build(self) -> Result<AdmissionOptions> {
        let options = self.options;
        if options.slots.get() == 0 {
            return Err(Error::setting("slots", "at least 1"));
        }
        if options.connection_limit.get() == 0 {
            return Err(Error::setting("connection limit", "at least 1"));
        }
        if !(1..=options.queue_len).contains(&options.organisation_queue_len) {
            let rule = "at least 1, at most the queue length in total";
            return Err(Error::setting("queue length per tenant", rule));
        }
        if !(1..=options.slots.get()).contains(&options.cold_start.first_slots.get()) {
            return Err(Error::setting(
                "first slots",
                "at least 1, at most the slots",
            ));
        }
        Ok(options)
    }
}
