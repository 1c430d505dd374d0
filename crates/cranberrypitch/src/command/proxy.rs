//! Serves callers that speak plain TCP on a local port.

use std::net::SocketAddrV4;
use std::time::Duration;

use cranberrypitch_caller::{Proxy, ProxyOptions};
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};

use super::arguments::EndpointArguments;
use super::errors::{Error, Result};
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Serves callers that speak plain TCP on a local port: a line of JSON and a body go in, a line of JSON
and a body come back. docs/command.md has the protocol. Prints its address, and runs until SIGINT or
SIGTERM; then it takes no new request and lets the running ones finish.

Usage: cranberrypitch proxy ENDPOINT --listen 127.0.0.1:PORT [OPTIONS]

Endpoint:
  --service NAME     the service, whose name the far end's certificate has to carry
  --address IP:PORT  an address of the service
  --ca FILE          the certificate authority that callers trust (PEM)

Options:
  --listen IP:PORT          where to listen, on loopback alone; port 0 takes any free port
  --tenant NAME             the tenant of requests that name none
  --connections-max N       callers at once, 1 to 4096 [default: 64]
  --body-limit-bytes N      the longest body, 1 to 16777216 [default: 16777216]
  --answer-timeout-ms N     how long to wait for the outcome of an order [default: 30000]
  --drain-timeout-ms N      how long running requests may take after a signal [default: 60000]
  --help                    prints this text

Exit codes:
  0  stopped by a signal, and no request was cut
  1  the address can't be listened on, or a request was cut
  2  bad arguments or a bad file
";

const MAX_CONNECTIONS: usize = 4096;
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
const DEFAULT_RESPONSE_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 60_000;

struct Options {
    service: EndpointArguments,
    listen: SocketAddrV4,
    proxy: ProxyOptions,
    drain_timeout: Duration,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let options = Options::parse(&mut arguments)?;
    arguments::finish(arguments)?;
    if !options.listen.ip().is_loopback() {
        // The requests of plain TCP callers are neither encrypted nor authenticated.
        return Err(Error::usage("--listen takes addresses on loopback alone"));
    }
    arguments::block_on(serve(options))
}

async fn serve(options: Options) -> Result<CommandStatus> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let caller = options.service.caller()?;
    let proxy = Proxy::bind(options.listen, caller, options.proxy).await?;
    output::print(format_args!("listening on {}", proxy.address()))?;
    let stop = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    let cut = proxy.serve(stop, options.drain_timeout).await;
    if cut > 0 {
        output::error(&format_args!("{cut} connections had to be cut"));
        return Ok(CommandStatus::Failed);
    }
    Ok(CommandStatus::Done)
}

impl Options {
    fn parse(arguments: &mut Arguments) -> Result<Self> {
        let service = EndpointArguments::parse(arguments)?;
        let mut proxy = ProxyOptions::new(service.endpoint.clone());
        proxy.organisation = arguments::optional(arguments, "--tenant")?;
        let connections = arguments::optional_with(arguments, "--connections-max", |text| {
            in_range(text, MAX_CONNECTIONS as u64, "allowed are 1 to 4096")
        })?;
        if let Some(connections) = connections {
            proxy.connections_max = usize::try_from(connections).unwrap_or(MAX_CONNECTIONS);
        }
        let limit = arguments::optional_with(arguments, "--body-limit-bytes", |text| {
            in_range(text, MAX_BODY_BYTES, "allowed are 1 to 16777216")
        })?;
        proxy.body_limit_bytes = limit.unwrap_or(MAX_BODY_BYTES);
        proxy.response_timeout = arguments::time_ms(
            arguments,
            "--answer-timeout-ms",
            DEFAULT_RESPONSE_TIMEOUT_MS,
        )?;
        Ok(Self {
            service,
            listen: arguments::value(arguments, "--listen")?,
            proxy,
            drain_timeout: arguments::time_ms(
                arguments,
                "--drain-timeout-ms",
                DEFAULT_DRAIN_TIMEOUT_MS,
            )?,
        })
    }
}

fn in_range(text: &str, max: u64, rule: &'static str) -> std::result::Result<u64, &'static str> {
    match text.parse::<u64>() {
        Ok(value) if (1..=max).contains(&value) => Ok(value),
        _ => Err(rule),
    }
}
