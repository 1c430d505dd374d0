//! The verb `status`, which shows the configuration in force and the live balancers.

use std::fmt;
use std::net::SocketAddrV4;
use std::path::PathBuf;

use cranberrypitch_core::membership::EvacuatedDomains;
use cranberrypitch_net::config_editor::ConfigStatus;
use cranberrypitch_net::evacuation::{evacuated_domains, evacuated_name};
use cranberrypitch_net::registry::PREFIX as BALANCERS_PREFIX;
use cranberrypitch_net::store::{HttpStore, HttpStoreOptions, Store, StoreKey};
use cranberrypitch_net::{ControlClient, KeyRing, config_store};
use pico_args::Arguments;
use serde::Serialize;

use super::errors::{Error, Result};
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Shows the configuration in force, and the balancers that are registered in the store or known to
one of them.

Usage: cranberrypitch status [--store ADDRESS] [--control ADDRESS --key-file FILE] [--json]

Options:
  --store ADDRESS    reads the store at IP:PORT
  --control ADDRESS  queries the balancer whose control channel listens on IP:PORT, which also
                     works while the store is down
  --key-file FILE    the keys of the deployment
  --json             prints one JSON object
  --help             prints this text

Exit codes:
  0  all requested parts were printed
  1  the store or the balancer could not be read
  2  invalid arguments or an invalid key file
";

/// The output, with the requested parts.
#[derive(Default, Serialize)]
struct StatusOutput {
    #[serde(skip_serializing_if = "Option::is_none")]
    store: Option<StoreReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    balancer: Option<BalancerReport>,
}

/// The contents of the store.
#[derive(Serialize)]
struct StoreReport {
    configuration: Option<Configuration>,
    balancers: Vec<Box<str>>,
    evacuated_domains: EvacuatedDomains,
}

/// The configuration in force, which is absent before the first edit.
#[derive(Serialize)]
struct Configuration {
    revision: u64,
    edit_id: Box<str>,
    previous_edits: Vec<String>,
    deployment: Box<str>,
    shards: usize,
    watchers: Vec<Box<str>>,
}

/// The status that a balancer reports.
#[derive(Serialize)]
struct BalancerReport {
    balancers: Vec<LiveBalancer>,
    /// The balancer's own status, which is JSON.
    status: serde_json::Value,
}

#[derive(Serialize)]
struct LiveBalancer {
    vm: Box<str>,
    failure_domain: Box<str>,
    control: SocketAddrV4,
    tunnel: SocketAddrV4,
    #[serde(rename = "leaving")]
    is_leaving: bool,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let is_json = arguments.contains("--json");
    let store: Option<SocketAddrV4> = arguments::optional(&mut arguments, "--store")?;
    let control: Option<SocketAddrV4> = arguments::optional(&mut arguments, "--control")?;
    let key_file: Option<PathBuf> =
        arguments.opt_value_from_os_str("--key-file", arguments::to_path)?;
    arguments::finish(arguments)?;
    let control = match (control, key_file) {
        (Some(address), Some(file)) => Some((address, KeyRing::load(&file)?)),
        (None, None) => None,
        _ => {
            return Err(Error::usage(
                "--control and --key-file must be given together",
            ));
        }
    };
    if store.is_none() && control.is_none() {
        return Err(Error::usage("give --store or --control or both"));
    }
    let (report, errors) = arguments::block_on(read_status(store, control))?;
    if is_json {
        output::print_json(&report)?;
    } else {
        output::print(&report)?;
    }
    errors.iter().for_each(output::print_error);
    Ok(if errors.is_empty() {
        CommandStatus::Done
    } else {
        CommandStatus::Failed
    })
}

/// Reads the status of the store and of the balancer. If one fails, the other is still returned.
async fn read_status(
    store: Option<SocketAddrV4>,
    control: Option<(SocketAddrV4, KeyRing)>,
) -> Result<(StatusOutput, Vec<Error>)> {
    let mut report = StatusOutput::default();
    let mut errors = Vec::new();
    if let Some(address) = store {
        match read_store(address).await {
            Ok(store) => report.store = Some(store),
            Err(error) => errors.push(error),
        }
    }
    if let Some((address, keys)) = control {
        match read_balancer(address, &keys).await {
            Ok(balancer) => report.balancer = Some(balancer),
            Err(error) => errors.push(error),
        }
    }
    Ok((report, errors))
}

async fn read_store(address: SocketAddrV4) -> Result<StoreReport> {
    let status = arguments::config_editor(address).status().await?;
    let store = HttpStore::new(HttpStoreOptions::new(address));
    let prefix = StoreKey::try_new(BALANCERS_PREFIX).map_err(config_store::Error::from)?;
    let listing = store.list(&prefix).await;
    let entries = listing.map_err(config_store::Error::from)?.entries;
    let of_balancers = entries
        .iter()
        .filter(|entry| evacuated_name(&entry.key).is_none());
    let names = of_balancers.map(|entry| {
        let key = entry.key.as_str();
        key.strip_prefix(BALANCERS_PREFIX).unwrap_or(key).into()
    });
    Ok(StoreReport {
        configuration: status.map(Configuration::from),
        balancers: names.collect(),
        evacuated_domains: evacuated_domains(&entries),
    })
}

async fn read_balancer(address: SocketAddrV4, keys: &KeyRing) -> Result<BalancerReport> {
    let (client, _notices) = ControlClient::connect(address, keys)
        .await
        .map_err(Error::Control)?;
    let balancers = client.balancers().await.map_err(Error::Control)?;
    let status = client.status().await.map_err(Error::Control)?;
    let to_live_balancer = |entry: cranberrypitch_proto::control::BalancerEntry| LiveBalancer {
        vm: entry.vm.as_str().into(),
        failure_domain: entry.failure_domain.as_str().into(),
        control: entry.control_address,
        tunnel: entry.tunnel_address,
        is_leaving: entry.is_leaving,
    };
    Ok(BalancerReport {
        balancers: balancers.into_iter().map(to_live_balancer).collect(),
        status: serde_json::from_str(&status)
            .unwrap_or_else(|_not_json| serde_json::Value::String(status.into())),
    })
}

impl From<ConfigStatus> for Configuration {
    fn from(status: ConfigStatus) -> Self {
        Self {
            revision: status.revision.get(),
            edit_id: status.edit_id.to_string().into(),
            previous_edits: status
                .previous_edits
                .iter()
                .map(ToString::to_string)
                .collect(),
            deployment: status.deployment.name.to_string().into(),
            shards: status.shards.get(),
            watchers: status
                .watchers
                .iter()
                .map(|key| key.as_str().into())
                .collect(),
        }
    }
}

impl fmt::Display for StatusOutput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = Vec::new();
        if let Some(store) = &self.store {
            store.add_lines(&mut lines);
        }
        if let Some(balancer) = &self.balancer {
            balancer.add_lines(&mut lines);
        }
        f.write_str(&lines.join("\n"))
    }
}

impl StoreReport {
    fn add_lines(&self, lines: &mut Vec<String>) {
        match &self.configuration {
            None => lines
                .push("no configuration is in force; apply the first edit with revision 0".into()),
            Some(c) => {
                lines.push(format!(
                    "revision {} of {} by edit {}, {} shards",
                    c.revision, c.deployment, c.edit_id, c.shards
                ));
                lines.extend(c.watchers.iter().map(|key| format!("watcher {key}")));
            }
        }
        lines.push(format!("balancers in the store: {}", self.balancers.len()));
        lines.extend(self.balancers.iter().map(|name| format!("  {name}")));
        let evacuated = self.evacuated_domains.iter();
        lines.extend(evacuated.map(|domain| format!("evacuated failure domain {domain}")));
    }
}

impl BalancerReport {
    fn add_lines(&self, lines: &mut Vec<String>) {
        lines.push(format!(
            "balancers known to this one: {}",
            self.balancers.len()
        ));
        for b in &self.balancers {
            let leaving = if b.is_leaving { ", leaving" } else { "" };
            lines.push(format!(
                "  {}/{}: control {}, tunnel {}{leaving}",
                b.failure_domain, b.vm, b.control, b.tunnel
            ));
        }
        lines.push(format!("status of this balancer: {}", self.status));
    }
}
