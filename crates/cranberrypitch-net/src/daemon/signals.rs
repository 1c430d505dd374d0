//! Signals of the operating system.

use derive_more::Display;
use tokio::signal::unix::{Signal as Stream, SignalKind, signal};

use crate::errors::{Error, Result};
use crate::events::Event;
use crate::keys::KeyRing;

/// A signal that a daemon acts on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a graceful stop.
    #[display("SIGTERM")]
    Terminate,
    /// Asks for a graceful stop, from a terminal.
    #[display("SIGINT")]
    Interrupt,
    /// Asks to read the key file again.
    #[display("SIGHUP")]
    ReloadKeys,
}

impl Signal {
    /// Returns the name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::ReloadKeys => "SIGHUP",
        }
    }
}

/// The signals that reach the process.
#[derive(Debug)]
pub struct Signals {
    terminate: Stream,
    interrupt: Stream,
    hangup: Stream,
}

impl Signals {
    /// Catches the signals from now on. Needs a runtime.
    pub fn listen() -> Result<Self> {
        Ok(Self {
            terminate: catch(SignalKind::terminate())?,
            interrupt: catch(SignalKind::interrupt())?,
            hangup: catch(SignalKind::hangup())?,
        })
    }

    /// Returns the next signal. Nothing is lost when the future is dropped.
    pub async fn next(&mut self) -> Signal {
        tokio::select! {
            _ = self.terminate.recv() => Signal::Terminate,
            _ = self.interrupt.recv() => Signal::Interrupt,
            _ = self.hangup.recv() => Signal::ReloadKeys,
        }
    }
}

/// Reloads the keys on each SIGHUP, and returns on the first signal that asks for a stop.
pub async fn wait_for_stop(signals: &mut Signals, keys: &KeyRing) -> Signal {
    loop {
        match signals.next().await {
            Signal::ReloadKeys => reload(keys),
            stop => {
                let signal = stop.name();
                Event::StopRequested { signal }.log();
                return stop;
            }
        }
    }
}

fn reload(keys: &KeyRing) {
    match keys.reload() {
        Ok(()) => {
            let generation = keys.keys().control().generation();
            Event::KeysReloaded { generation }.log();
        }
        Err(error) => log_keys_refused(&error),
    }
}

/// Logs each problem of a key file as an event of its own.
pub(super) fn log_keys_refused(error: &Error) {
    for problem in error.problems() {
        Event::KeysRefused { problem }.log();
    }
}

fn catch(kind: SignalKind) -> Result<Stream> {
    signal(kind).map_err(|e| Error::thread("signals", &e))
}
