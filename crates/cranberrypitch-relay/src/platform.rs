//! The interface between the daemons and the surrounding platform.

use std::net::SocketAddrV4;
use std::time::Duration;

use cranberrypitch_core::FailureDomain;
use cranberrypitch_core::ServiceName;
use cranberrypitch_core::flow::{PacketHeader, Reset, RouteConfig, StatusReport};
use cranberrypitch_net::store::{Store, StoreKey};
use derive_more::Display;

use crate::errors::Result;

/// A request of a target to its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetRequest {
    /// The target reports its status.
    Status(StatusReport),
    /// The target with this id announces its exit.
    Exit(Box<str>),
}

/// What a key that operators write stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorKey {
    /// The configuration.
    Configuration,
    /// The evacuation of a failure domain. The value has no meaning.
    Evacuation(FailureDomain),
    /// The key of an evacuation without a valid name of a failure domain.
    MalformedEvacuation,
    /// Any other key, which has no effect.
    Other,
}

/// The address and the limits of calls to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// The address of the store.
    pub address: SocketAddrV4,
    /// The timeout of connection setup; the round trip to the store takes milliseconds.
    pub connect_timeout: Duration,
    /// The timeout of a call. A slow store takes some hundred milliseconds.
    pub call_timeout: Duration,
    /// The time that the answer to a watch may take beyond the wait time of the watch.
    pub watch_margin: Duration,
    /// The maximum body length of an answer: a page of a listing, or one value in base64.
    pub max_body_bytes: usize,
}

impl StoreOptions {
    /// Returns options with the default limits.
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_millis(400),
            call_timeout: Duration::from_millis(1200),
            watch_margin: Duration::from_millis(500),
            max_body_bytes: 4 * 1024 * 1024,
        }
    }
}

/// A value of a configuration that takes no effect and is probably a mistake.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum ConfigWarning {
    /// The rate of cold targets is below 0.
    #[display(
        "service {service}: the warm-up rate {rate_per_s} per second is below 0, so no rate is enforced"
    )]
    NegativeWarmupRate {
        /// The name of the service.
        service: ServiceName,
        /// The rate in requests per second.
        rate_per_s: f64,
    },
    /// A time is 0.
    #[display("{place}: the {name} of 0 ms counts as absent")]
    ZeroTime {
        /// The route, or the group of values, that has the time.
        place: Box<str>,
        /// What the time limits.
        name: &'static str,
    },
}

/// Translates between the surrounding platform and the types of cranberrypitch.
pub trait Platform: Send + Sync + 'static {
    /// The platform's key-value service.
    type Store: Store;

    /// The environment variable with the path of the settings file.
    const SETTINGS_VARIABLE: &'static str;

    /// Returns a client of the store. It connects with the first call.
    fn new_store(options: StoreOptions) -> Self::Store;

    /// Returns the prefix of the store keys that operators write.
    fn operator_prefix() -> Result<StoreKey>;

    /// Returns what a key with that prefix stands for.
    fn operator_key(key: &StoreKey) -> OperatorKey;

    /// Parses the value of the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if any part of it is malformed.
    fn parse_config(value: &[u8]) -> Result<RouteConfig>;

    /// Returns the values of a configuration that take no effect and are probably mistakes.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is malformed.
    fn config_warnings(value: &[u8]) -> Result<Box<[ConfigWarning]>>;

    /// Parses the header of a packet.
    ///
    /// # Errors
    ///
    /// Returns an error if the packet is truncated or its length differs from the header's.
    fn parse_header(packet: &[u8]) -> Result<PacketHeader>;

    /// Returns the id of the request that starts in a caller's packet, if the packet contains it.
    fn request_id(packet: &[u8]) -> Option<&str>;

    /// Returns the HTTP status of the answer that starts in a target's packet, if one does.
    fn response_status(packet: &[u8]) -> Option<u16>;

    /// Clears the flag with which the backend server marked a bounced packet, so that the packet is
    /// again the one that the caller sent.
    fn clear_bounced_flag(packet: &mut [u8]);

    /// Returns the packet that resets a flow.
    fn reset_packet(reset: &Reset) -> Vec<u8>;

    /// Parses an HTTP request of a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the path or method is unknown or the body is malformed.
    fn parse_target_request(method: &str, path: &str, body: &[u8]) -> Result<TargetRequest>;

    /// Returns whether a path is that of the readiness probe.
    fn is_readiness_path(path: &str) -> bool;
}
