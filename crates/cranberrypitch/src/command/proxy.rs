//! The verb `proxy`, which accepts requests over plain TCP on a local port.

use std::net::SocketAddrV4;
use std::time::Duration;

use cranberrypitch_caller::{Proxy, ProxyOptions};
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};

use super::arguments::EndpointArguments;
use super::errors::{Error, Result};
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Accepts requests over plain TCP on a local port. Requests and responses are a line of JSON and a
body; docs/command.md describes the protocol. Prints its address, and runs until SIGINT or SIGTERM.
Then it accepts no new requests and waits for the running ones.

Usage: cranberrypitch proxy ENDPOINT --listen 127.0.0.1:PORT [OPTIONS]

Endpoint:
  --service NAME     the service, whose name the certificate of its agents must contain
  --address IP:PORT  an address of the service
  --ca FILE          the certificate authority that callers trust (PEM)

Options:
  --listen IP:PORT          the address to listen on, only loopback; port 0 selects a free port
  --tenant NAME             the organisation of requests without one
  --connections-max N       the maximum number of connections, 1 to 4096 [default: 64]
  --body-limit-bytes N      the maximum length of a body, 1 to 16777216 [default: 16777216]
  --answer-timeout-ms N     how long to wait for the outcome of an order [default: 30000]
  --drain-timeout-ms N      how long to wait for running requests after a signal [default: 60000]
  --help                    prints this text

Exit codes:
  0  stopped by a signal, and no connection was aborted
  1  can't listen on the address, or a connection was aborted
  2  invalid arguments or an invalid file
";

const MAX_CONNECTIONS: usize = 4096;
const MAX_BODY_LIMIT_BYTES: u64 = 16 * 1024 * 1024;
const DEFAULT_RESPONSE_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 60_000;

struct Options {
    service: EndpointArguments,
    listen_address: SocketAddrV4,
    proxy: ProxyOptions,
    drain_timeout: Duration,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let options = Options::parse(&mut arguments)?;
    arguments::finish(arguments)?;
    if !options.listen_address.ip().is_loopback() {
        // Requests over plain TCP are neither encrypted nor authenticated.
        return Err(Error::usage("--listen only accepts loopback addresses"));
    }
    arguments::block_on(serve(options))
}

async fn serve(options: Options) -> Result<CommandStatus> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let caller = options.service.caller()?;
    let proxy = Proxy::bind(options.listen_address, caller, options.proxy).await?;
    output::print(format_args!("listening on {}", proxy.address()))?;
    let stop = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    let aborted = proxy.serve(stop, options.drain_timeout).await;
    if aborted > 0 {
        output::print_error(&format_args!("{aborted} connections were aborted"));
        return Ok(CommandStatus::Failed);
    }
    Ok(CommandStatus::Done)
}

impl Options {
    fn parse(arguments: &mut Arguments) -> Result<Self> {
        let service = EndpointArguments::parse(arguments)?;
        let mut proxy_options = ProxyOptions::new(service.endpoint.clone());
        proxy_options.organisation = arguments::optional(arguments, "--tenant")?;
        let connections = arguments::optional_with(arguments, "--connections-max", |text| {
            parse_in_range(text, MAX_CONNECTIONS as u64, "must be 1 to 4096")
        })?;
        if let Some(connections) = connections {
            proxy_options.connections_max = usize::try_from(connections).unwrap_or(MAX_CONNECTIONS);
        }
        let limit = arguments::optional_with(arguments, "--body-limit-bytes", |text| {
            parse_in_range(text, MAX_BODY_LIMIT_BYTES, "must be 1 to 16777216")
        })?;
        proxy_options.body_limit_bytes = limit.unwrap_or(MAX_BODY_LIMIT_BYTES);
        proxy_options.response_timeout = arguments::time_ms(
            arguments,
            "--answer-timeout-ms",
            DEFAULT_RESPONSE_TIMEOUT_MS,
        )?;
        Ok(Self {
            service,
            listen_address: arguments::value(arguments, "--listen")?,
            proxy: proxy_options,
            drain_timeout: arguments::time_ms(
                arguments,
                "--drain-timeout-ms",
                DEFAULT_DRAIN_TIMEOUT_MS,
            )?,
        })
    }
}

fn parse_in_range(
    text: &str,
    max: u64,
    rule: &'static str,
) -> std::result::Result<u64, &'static str> {
    match text.parse::<u64>() {
        Ok(value) if (1..=max).contains(&value) => Ok(value),
        _ => Err(rule),
    }
}
