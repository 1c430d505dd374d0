//! Arguments that several verbs take.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use cranberrypitch_caller::{Caller, ServiceEndpoint};
use cranberrypitch_core::OrganisationId;
use cranberrypitch_core::config::ConfigText;
use cranberrypitch_net::operator::{Operator, OperatorOptions, check};
use cranberrypitch_net::store::{HttpStore, HttpStoreOptions};
use cranberrypitch_net::tls::{self, Authorities, TransportOptions};
use pico_args::Arguments;

use super::errors::{Error, Result};

/// How long a caller waits for one connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The time within which a request must start when none is given.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// The longest time that an option in milliseconds takes: one day.
const MAX_TIME_MS: u64 = 86_400_000;

/// Refuses arguments that no option has taken.
pub(super) fn finish(arguments: Arguments) -> Result<()> {
    match arguments.finish().into_iter().next() {
        Some(argument) => Err(Error::UnknownArgument { argument }),
        None => Ok(()),
    }
}

/// Takes the value of an option that has to be given.
pub(super) fn value<T: FromStr<Err: Display>>(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<T> {
    let value = arguments.value_from_str(option);
    value.map_err(|e| Error::option(option, e))
}

/// Takes the value of an option that may be given.
pub(super) fn optional<T: FromStr<Err: Display>>(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<Option<T>> {
    optional_with(arguments, option, T::from_str)
}

/// Takes the value of an option that may be given, with a function that reads it.
pub(super) fn optional_with<T, E: Display>(
    arguments: &mut Arguments,
    option: &'static str,
    read: fn(&str) -> std::result::Result<T, E>,
) -> Result<Option<T>> {
    let value = arguments.opt_value_from_fn(option, read);
    value.map_err(|e| Error::option(option, e))
}

/// Takes a file that is given without an option. Options have to be taken before.
pub(super) fn file(arguments: &mut Arguments) -> Result<PathBuf> {
    let file = optional_file(arguments)?;
    file.ok_or(Error::usage("a FILE is missing"))
}

/// Takes a file that may be given without an option. Options have to be taken before.
pub(super) fn optional_file(arguments: &mut Arguments) -> Result<Option<PathBuf>> {
    let file: Option<PathBuf> = arguments.opt_free_from_os_str(to_path)?;
    match file {
        Some(file) if file.as_os_str().as_encoded_bytes().starts_with(b"-") => {
            Err(Error::UnknownArgument {
                argument: file.into_os_string(),
            })
        }
        file => Ok(file),
    }
}

pub(super) fn to_path(text: &std::ffi::OsStr) -> std::result::Result<PathBuf, &'static str> {
    if text.is_empty() {
        Err("empty file name")
    } else {
        Ok(text.into())
    }
}

/// Reads a file as a whole.
pub(super) fn read(file: &Path) -> Result<Vec<u8>> {
    std::fs::read(file).map_err(|e| Error::file(file, e))
}

/// Reads a configuration text.
pub(super) fn read_text(file: &Path) -> Result<ConfigText> {
    let json = std::fs::read_to_string(file).map_err(|e| Error::file(file, e))?;
    check(&json).map_err(|problems| Error::Text {
        file: file.into(),
        problems,
    })
}

/// Returns the operator's functions on the store at an address.
pub(super) fn operator(store: SocketAddrV4) -> Operator<HttpStore> {
    let store = HttpStore::new(HttpStoreOptions::new(store));
    Operator::new(store, OperatorOptions::default())
}

/// Takes a time in milliseconds of at least 1 ms and at most one day.
pub(super) fn time_ms(
    arguments: &mut Arguments,
    option: &'static str,
    default_ms: u64,
) -> Result<Duration> {
    let parse = |text: &str| match text.parse::<u64>() {
        Ok(ms) if (1..=MAX_TIME_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => Err("allowed are 1 to 86400000 milliseconds"),
    };
    let time = optional_with(arguments, option, parse)?;
    Ok(time.unwrap_or(Duration::from_millis(default_ms)))
}

/// Takes the time within which a request must start.
pub(super) fn deadline(arguments: &mut Arguments) -> Result<Duration> {
    time_ms(arguments, "--deadline-ms", DEFAULT_DEADLINE_MS)
}

/// Takes the organisation that a request belongs to.
pub(super) fn organisation(arguments: &mut Arguments) -> Result<OrganisationId> {
    value(arguments, "--tenant")
}

/// Where a service is found and whom its callers trust.
#[derive(Debug)]
pub(super) struct EndpointArguments {
    pub(super) endpoint: ServiceEndpoint,
    ca_file: PathBuf,
}

impl EndpointArguments {
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self> {
        Ok(Self {
            endpoint: ServiceEndpoint {
                service: value(arguments, "--service")?,
                address: value(arguments, "--address")?,
            },
            ca_file: arguments.value_from_os_str("--ca", to_path)?,
        })
    }

    /// Opens the local socket, on loopback if the service is there.
    pub(super) fn caller(&self) -> Result<Caller> {
        let authorities = Authorities::from_pem_file(&self.ca_file)?;
        let transport = tls::transport_config(&TransportOptions::default())?;
        let config = tls::client_config(&authorities, transport)?;
        let local_ip = if self.endpoint.address.ip().is_loopback() {
            Ipv4Addr::LOCALHOST
        } else {
            Ipv4Addr::UNSPECIFIED
        };
        Ok(Caller::try_new(local_ip, config, CONNECT_TIMEOUT)?)
    }
}

/// Runs a verb on a runtime of its own.
pub(super) fn block_on<T>(verb: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(verb)
}
