//! Signals of the operating system.

use derive_more::Display;
use tokio::signal::unix::{Signal as SignalStream, SignalKind, signal};

use crate::errors::{Error, Result};
use crate::events::Event;
use crate::keys::KeyRing;

/// A signal that a daemon handles.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful shutdown.
    #[display("SIGTERM")]
    Terminate,
    /// Requests a graceful shutdown from a terminal.
    #[display("SIGINT")]
    Interrupt,
    /// Requests a reload of the key file.
    #[display("SIGHUP")]
    ReloadKeys,
}

impl Signal {
    /// Returns the name of the signal, such as `SIGTERM`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::ReloadKeys => "SIGHUP",
        }
    }
}

/// The installed signal handlers.
#[derive(Debug)]
pub struct Signals {
    terminate: SignalStream,
    interrupt: SignalStream,
    hangup: SignalStream,
}

impl Signals {
    /// Installs the signal handlers. Must be called within a Tokio runtime.
    pub fn listen() -> Result<Self> {
        Ok(Self {
            terminate: install_handler(SignalKind::terminate())?,
            interrupt: install_handler(SignalKind::interrupt())?,
            hangup: install_handler(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. Cancel-safe: no signal is lost when the future is dropped.
    pub async fn next(&mut self) -> Signal {
        tokio::select! {
            _ = self.terminate.recv() => Signal::Terminate,
            _ = self.interrupt.recv() => Signal::Interrupt,
            _ = self.hangup.recv() => Signal::ReloadKeys,
        }
    }
}

/// Reloads the keys on each SIGHUP, and returns the first signal that requests a shutdown.
pub async fn wait_for_stop(signals: &mut Signals, keys: &KeyRing) -> Signal {
    loop {
        match signals.next().await {
            Signal::ReloadKeys => reload_keys(keys),
            stop_signal => {
                let signal = stop_signal.name();
                Event::StopRequested { signal }.log();
                return stop_signal;
            }
        }
    }
}

fn reload_keys(keys: &KeyRing) {
    match keys.reload() {
        Ok(()) => {
            let generation = keys.keys().control().generation();
            Event::KeysReloaded { generation }.log();
        }
        Err(error) => log_keys_refused(&error),
    }
}

/// Logs one event for each problem of a key file.
pub(super) fn log_keys_refused(error: &Error) {
    for problem in error.problems() {
        Event::KeysRefused { problem }.log();
    }
}

fn install_handler(kind: SignalKind) -> Result<SignalStream> {
    signal(kind).map_err(|e| Error::thread("signals", &e))
}
