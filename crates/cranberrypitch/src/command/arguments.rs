//! Arguments that several verbs share.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use cranberrypitch_caller::{Caller, ServiceEndpoint};
use cranberrypitch_core::OrganisationId;
use cranberrypitch_core::config::ConfigText;
use cranberrypitch_net::config_editor::{ConfigEditor, ConfigEditorOptions, check};
use cranberrypitch_net::store::{HttpStore, HttpStoreOptions};
use cranberrypitch_net::tls::{self, RootCertificates, TransportOptions};
use pico_args::Arguments;

use super::errors::{Error, Result};

/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The default time within which a request must start.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// The maximum value of an option in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;

/// Returns an error if any argument has not been parsed.
pub(super) fn finish(arguments: Arguments) -> Result<()> {
    match arguments.finish().into_iter().next() {
        Some(argument) => Err(Error::UnknownArgument { argument }),
        None => Ok(()),
    }
}

/// Parses the value of a required option.
pub(super) fn value<T: FromStr<Err: Display>>(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<T> {
    let value = arguments.value_from_str(option);
    value.map_err(|e| Error::option(option, e))
}

/// Parses the value of an optional option.
pub(super) fn optional<T: FromStr<Err: Display>>(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<Option<T>> {
    optional_with(arguments, option, T::from_str)
}

/// Parses the value of an optional option by the function `read`.
pub(super) fn optional_with<T, E: Display>(
    arguments: &mut Arguments,
    option: &'static str,
    read: fn(&str) -> std::result::Result<T, E>,
) -> Result<Option<T>> {
    let value = arguments.opt_value_from_fn(option, read);
    value.map_err(|e| Error::option(option, e))
}

/// Parses a required file argument. All options must be parsed before.
pub(super) fn file(arguments: &mut Arguments) -> Result<PathBuf> {
    let file = optional_file(arguments)?;
    file.ok_or(Error::usage("a FILE is missing"))
}

/// Parses an optional file argument. All options must be parsed before.
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

/// Reads a complete file.
pub(super) fn read(file: &Path) -> Result<Vec<u8>> {
    std::fs::read(file).map_err(|e| Error::file(file, e))
}

/// Reads and checks a configuration text.
pub(super) fn read_text(file: &Path) -> Result<ConfigText> {
    let json = std::fs::read_to_string(file).map_err(|e| Error::file(file, e))?;
    check(&json).map_err(|problems| Error::Text {
        file: file.into(),
        problems,
    })
}

/// Returns a configuration editor on the store at an address.
pub(super) fn config_editor(store: SocketAddrV4) -> ConfigEditor<HttpStore> {
    let store = HttpStore::new(HttpStoreOptions::new(store));
    ConfigEditor::new(store, ConfigEditorOptions::default())
}

/// Parses a time in milliseconds, which must be from 1 ms to one day.
pub(super) fn time_ms(
    arguments: &mut Arguments,
    option: &'static str,
    default_ms: u64,
) -> Result<Duration> {
    let parse = |text: &str| match text.parse::<u64>() {
        Ok(ms) if (1..=MAX_TIME_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => Err("must be 1 to 86400000 milliseconds"),
    };
    let time = optional_with(arguments, option, parse)?;
    Ok(time.unwrap_or(Duration::from_millis(default_ms)))
}

/// Parses the time within which a request must start.
pub(super) fn deadline(arguments: &mut Arguments) -> Result<Duration> {
    time_ms(arguments, "--deadline-ms", DEFAULT_DEADLINE_MS)
}

/// Parses the organisation of a request.
pub(super) fn organisation(arguments: &mut Arguments) -> Result<OrganisationId> {
    value(arguments, "--tenant")
}

/// The options for the address of a service and its certificate authority.
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

    /// Opens a local socket, which is bound to loopback if the service is on loopback.
    pub(super) fn caller(&self) -> Result<Caller> {
        let authorities = RootCertificates::from_pem_file(&self.ca_file)?;
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

/// Runs a future on a new single-threaded runtime.
pub(super) fn block_on<T>(verb: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(verb)
}
