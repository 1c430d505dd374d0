//! The start of a daemon and its end.

use std::path::Path;
use std::sync::Arc;

use cranberrypitch_net::daemon::{ExitStatus, Signals, thread_runtime};
use derive_more::Display;

use crate::agent::run_agent;
use crate::balancer::run_balancer;
use crate::daemon::DaemonContext;
use crate::errors::{Error, Result};
use crate::io::clock::BoottimeClock;
use crate::log;
use crate::platform::Platform;
use crate::settings::RelaySettings;

/// The role of a daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Role {
    /// Receives the packets of callers and forwards them to agents.
    #[display("balancer")]
    Balancer,
    /// Runs on the VM of a backend server and relays its packets.
    #[display("agent")]
    Agent,
}

/// Runs a daemon until a signal or an error stops it.
pub fn run_daemon<P: Platform>(role: Role, settings_file: &Path) -> ExitStatus {
    let _guard = log::init();
    let status = match run_role::<P>(role, settings_file) {
        Ok(()) => ExitStatus::Graceful,
        Err(error) => {
            tracing::error!(target: log::TARGET, event = "Failed", %role, %error);
            match error {
                Error::Settings { .. } | Error::SettingsFile { .. } => ExitStatus::Refused,
                _ => ExitStatus::Failed,
            }
        }
    };
    tracing::info!(target: log::TARGET, event = "Stopped", %role, %status);
    status
}

fn run_role<P: Platform>(role: Role, settings_file: &Path) -> Result<()> {
    let settings = RelaySettings::from_file(settings_file)?;
    let runtime = thread_runtime().map_err(|e| Error::settings(&e))?;
    runtime.block_on(async {
        let signals = Signals::listen().map_err(|e| Error::settings(&e))?;
        let vm = &settings.vm;
        tracing::info!(target: log::TARGET, event = "Started", %role, %vm, version = env!("CARGO_PKG_VERSION"));
        let context = DaemonContext {
            settings,
            settings_file: settings_file.into(),
            signals,
            clock: Arc::new(BoottimeClock::new()),
        };
        match role {
            Role::Balancer => run_balancer::<P>(context).await,
            Role::Agent => run_agent::<P>(context).await,
        }
    })
}
