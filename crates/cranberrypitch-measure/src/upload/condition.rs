//! The network conditions and the loss-detection thresholds.

use std::fmt::{Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use cranberrypitch_net::tls::{PACKET_THRESHOLD, TIME_THRESHOLD_RTTS, TransportOptions};
use cranberrypitch_standins::fabric::LinkOptions;
use serde::{Serialize, Serializer};

use crate::errors::Error;

/// The one-way delay of each direction.
const DELAY: Duration = Duration::from_millis(1);
const JITTER: Duration = Duration::from_millis(4);

/// A network condition; each direction has a delay of 1 ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// The name on the command line and in the report.
    pub name: &'static str,
    /// The number of balancers over which packets are sprayed.
    pub balancers: usize,
    /// The maximum additional delay.
    pub jitter: Duration,
    /// The fraction of packets lost in each direction, from 0 to 1.
    pub loss_rate: f64,
}

impl Condition {
    /// Packets sprayed over three balancers, with jitter.
    pub const SPRAYED_JITTER: Self = Self::new("sprayed-jitter", 3, JITTER, 0.0);
    /// Packets sprayed over three balancers, without jitter.
    pub const SPRAYED: Self = Self::new("sprayed", 3, Duration::ZERO, 0.0);
    /// A single balancer, without jitter.
    pub const SINGLE: Self = Self::new("single", 1, Duration::ZERO, 0.0);
    /// All conditions, in the order of measurement.
    pub const ALL: [Self; 7] = [
        Self::SPRAYED_JITTER,
        Self::SPRAYED,
        Self::SINGLE,
        Self::new("single-loss-1%", 1, Duration::ZERO, 0.01),
        Self::new("sprayed-jitter-loss-0.1%", 3, JITTER, 0.001),
        Self::new("sprayed-jitter-loss-1%", 3, JITTER, 0.01),
        Self::new("sprayed-jitter-loss-3%", 3, JITTER, 0.03),
    ];

    const fn new(name: &'static str, balancers: usize, jitter: Duration, loss_rate: f64) -> Self {
        Self {
            name,
            balancers,
            jitter,
            loss_rate,
        }
    }

    pub(crate) fn link(&self) -> LinkOptions {
        LinkOptions::new()
            .delay(DELAY)
            .jitter(self.jitter)
            .loss_rate(self.loss_rate)
    }
}

impl FromStr for Condition {
    type Err = Error;

    fn from_str(name: &str) -> Result<Self, Error> {
        let found = Self::ALL.into_iter().find(|known| known.name == name);
        found.ok_or_else(|| {
            Error::out_of_range(
                "condition",
                "the name of a condition, as the report lists them without this option",
            )
        })
    }
}

impl Serialize for Condition {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name)
    }
}

/// The thresholds of loss detection, formatted like `64:3`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// The reordering threshold, in packets.
    pub packets: u32,
    /// The time threshold, in round-trip times.
    pub rtts: f32,
}

impl Thresholds {
    /// The thresholds that the project uses.
    pub const PROJECT_DEFAULT: Self = Self::new(PACKET_THRESHOLD, TIME_THRESHOLD_RTTS);
    /// The defaults of QUIC (RFC 9002).
    pub const QUIC_DEFAULT: Self = Self::new(3, 1.125);
    /// The thresholds that are compared by default.
    pub const COMPARED: [Self; 7] = [
        Self::PROJECT_DEFAULT,
        Self::QUIC_DEFAULT,
        Self::new(64, 1.125),
        Self::new(64, 2.0),
        Self::new(32, 3.0),
        Self::new(128, 2.0),
        Self::new(128, 3.0),
    ];

    const fn new(packets: u32, rtts: f32) -> Self {
        Self { packets, rtts }
    }

    pub(crate) fn transport(self) -> TransportOptions {
        TransportOptions {
            packet_threshold: self.packets,
            time_threshold_rtts: self.rtts,
            ..TransportOptions::default()
        }
    }
}

impl Display for Thresholds {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.packets, self.rtts)
    }
}

impl FromStr for Thresholds {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse = || {
            let (packets, rtts) = text.split_once(':')?;
            let thresholds = Self::new(packets.parse().ok()?, rtts.parse().ok()?);
            let is_valid = thresholds.packets >= 3 && (1.0..=100.0).contains(&thresholds.rtts);
            is_valid.then_some(thresholds)
        };
        let range = "packets:round-trip times, at least 3:1 and at most 100 round-trip times";
        parse().ok_or_else(|| Error::out_of_range("thresholds", range))
    }
}

impl Serialize for Thresholds {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
