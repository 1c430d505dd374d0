//! Checks of settings and configurations, and the status of running daemons, for operators.

use std::fmt;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use cranberrypitch_core::FastSet;
use cranberrypitch_net::daemon::thread_runtime;
use cranberrypitch_net::http_client::{HttpClient, HttpClientOptions};
use http_body_util::Full;
use hyper::{Request, StatusCode, header};

use crate::errors::{Error, Result};
use crate::metrics::{PATH, PREFIX};
use crate::platform::Platform;
use crate::settings::RelaySettings;

/// The timeout of connection setup and of a fetch.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum length of the metrics text.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Reads a settings file and returns a summary: role, VM and failure domain of the daemon.
///
/// # Errors
///
/// Returns an error if the file can't be read, or for the first field that is missing or invalid.
pub fn check_settings(file: &Path) -> Result<String> {
    let settings = RelaySettings::from_file(file)?;
    let role = match &settings.target {
        Some(target) => format!("an agent of service {}", target.service),
        None => "a balancer".to_string(),
    };
    let (vm, domain) = (&settings.vm, &settings.failure_domain);
    Ok(format!(
        "settings of {role}, VM {vm}, failure domain {domain}"
    ))
}

/// Reads an operators' configuration from a file and returns a summary, with one line for each value that
/// takes no effect.
///
/// # Errors
///
/// Returns an error if the file can't be read, or for the first entry that is missing or invalid.
pub fn check_config<P: Platform>(file: &Path) -> Result<String> {
    let text = std::fs::read(file).map_err(|source| Error::File {
        file: file.into(),
        source,
    })?;
    let config = P::parse_config(&text)?;
    let backends = config.routes.iter().flat_map(|route| &route.backends);
    let services: FastSet<_> = backends.map(|backend| &backend.service).collect();
    let summary = format!(
        "configuration {}: {} routes to {} services, idle timeout of flows {} ms",
        config.version,
        config.routes.len(),
        services.len(),
        config.idle_timeout.as_millis()
    );
    let warnings = P::config_warnings(&text)?;
    let warnings = warnings.iter().map(|warning| format!("warning: {warning}"));
    let lines: Vec<_> = std::iter::once(summary).chain(warnings).collect();
    Ok(lines.join("\n"))
}

/// The status of a daemon, read from its metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DaemonStatus {
    /// The version of the configuration in force; 0 at agents.
    pub config_version: u64,
    /// The agents in the directory of a balancer; 0 at agents.
    pub agents: u64,
    /// The flows in the flow table.
    pub flows: u64,
    /// The requests running at the target; 0 at balancers.
    pub requests_running: u64,
    /// Flows reset by the daemon since its start.
    pub flows_reset: u64,
    /// Flow openings refused by an agent since the start of the daemon.
    pub flows_refused: u64,
    /// Calls to the store since the start of the daemon.
    pub store_calls: u64,
    /// Those calls to the store whose outcome was not "ok".
    pub store_failures: u64,
}

impl DaemonStatus {
    /// Parses the text of a daemon's metrics. Unknown metrics are ignored.
    pub fn parse(text: &str) -> Self {
        let mut status = Self::default();
        for line in text.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let Some(name) = name.strip_prefix(PREFIX).and_then(|n| n.strip_prefix('_')) else {
                continue;
            };
            if let Ok(value) = value.parse() {
                status.set_metric(name, value);
            }
        }
        status
    }

    fn set_metric(&mut self, name: &str, value: u64) {
        match name {
            "configuration_version" => self.config_version = value,
            "agents" => self.agents = value,
            "flows" => self.flows = value,
            "requests_running" => self.requests_running = value,
            "flows_reset_total" => self.flows_reset = value,
            "flows_refused_total" => self.flows_refused = value,
            _ => {
                if let Some(labels) = name.strip_prefix("store_calls_total") {
                    self.store_calls += value;
                    if !labels.contains(r#"outcome="ok""#) {
                        self.store_failures += value;
                    }
                }
            }
        }
    }
}

/// The status of several daemons by address, or the error of the fetch.
#[derive(Debug)]
pub struct StatusTable(Vec<(SocketAddrV4, Result<DaemonStatus>)>);

impl StatusTable {
    /// Fetches the status of daemons from their metrics addresses, one after the other.
    ///
    /// # Errors
    ///
    /// Returns an error if the async runtime can't be created. A failed fetch is a row of the table.
    pub fn fetch(addresses: &[SocketAddrV4]) -> Result<Self> {
        let runtime = thread_runtime().map_err(|e| Error::settings(&e))?;
        let mut rows = Vec::with_capacity(addresses.len());
        for &address in addresses {
            rows.push((address, runtime.block_on(fetch_status(address))));
        }
        Ok(Self(rows))
    }

    /// Returns whether the status of every daemon was fetched.
    pub fn is_complete(&self) -> bool {
        self.0.iter().all(|(_, status)| status.is_ok())
    }
}

impl fmt::Display for StatusTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<21} {:>7} {:>6} {:>7} {:>7} {:>7} {:>7} {:>11} {:>14}",
            "address",
            "version",
            "agents",
            "flows",
            "running",
            "resets",
            "refused",
            "store calls",
            "store failures"
        )?;
        for (address, status) in &self.0 {
            match status {
                Ok(s) => write!(
                    f,
                    "\n{:<21} {:>7} {:>6} {:>7} {:>7} {:>7} {:>7} {:>11} {:>14}",
                    address.to_string(),
                    s.config_version,
                    s.agents,
                    s.flows,
                    s.requests_running,
                    s.flows_reset,
                    s.flows_refused,
                    s.store_calls,
                    s.store_failures
                )?,
                Err(error) => write!(f, "\n{:<21} {error}", address.to_string())?,
            }
        }
        Ok(())
    }
}

async fn fetch_status(address: SocketAddrV4) -> Result<DaemonStatus> {
    let client = HttpClient::new(HttpClientOptions {
        address,
        connect_timeout: ANSWER_TIMEOUT,
        max_body_bytes: MAX_BODY_BYTES,
    });
    let request = Request::get(PATH)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .map_err(|e| Error::malformed("request", &e))?;
    let answer = client.exchange(request, ANSWER_TIMEOUT).await;
    let response = answer.map_err(|e| Error::status_unavailable(&e))?;
    match response.status {
        StatusCode::OK => Ok(DaemonStatus::parse(&String::from_utf8_lossy(
            &response.body,
        ))),
        status => Err(Error::status_unavailable(&status)),
    }
}
