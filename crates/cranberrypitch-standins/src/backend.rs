//! The stand-in for a backend server, over HTTP/1.1.
//!
//! It runs orders and uploads in slots, serves feeds, drains, takes cancellations and deadlines,
//! and has switches for faults. Its journal holds every run, so a test sees what truly ran.

mod answer;
mod connection;
mod faults;
mod feed;
mod journal;
mod options;
mod requests;
mod server;
mod service;

use std::net::SocketAddr;
use std::sync::Arc;

use cranberrypitch_agent::backend::BackendLoad;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

use self::connection::TrackedStream;
pub use self::faults::{Faults, ResetPoint};
pub use self::feed::reading_json;
pub use self::journal::{JournalEntry, RunOutcome};
pub use self::options::{BackendOptions, ServiceTime};
use self::server::Server;
use crate::errors::{Error, Result};

/// The stand-in for a backend server.
#[derive(Debug)]
pub struct BackendStandin;

impl BackendStandin {
    /// Starts a backend server on the current tokio runtime.
    pub async fn spawn(options: BackendOptions) -> Result<BackendHandle> {
        options.check()?;
        let asked = options.address;
        let listener = TcpListener::bind(asked)
            .await
            .map_err(|e| Error::listen(asked, e))?;
        let address = listener.local_addr().map_err(|e| Error::listen(asked, e))?;
        let server = Arc::new(Server::new(options));
        let accepting = tokio::spawn(accept(listener, Arc::clone(&server)));
        Ok(BackendHandle {
            address,
            server,
            accepting: accepting.abort_handle(),
        })
    }
}

/// A running backend server. It is killed when this is dropped.
#[derive(Debug)]
pub struct BackendHandle {
    address: SocketAddr,
    server: Arc<Server>,
    accepting: AbortHandle,
}

impl BackendHandle {
    /// Returns the address that requests are sent to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to drain: new requests are refused as not run, and running ones finish.
    pub fn drain(&self) {
        self.server.drain();
    }

    /// Stops at once, as a killed process does: connections are dropped and runs are interrupted.
    pub fn kill(&self) {
        self.accepting.abort();
        self.server.abort_runs();
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.server.faults.send_modify(change);
    }

    /// Returns the true load, whatever the load endpoint claims.
    pub fn load(&self) -> BackendLoad {
        self.server.true_load()
    }

    /// Returns every run so far, in the order of their starts.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.server.journal.entries()
    }
}

impl Drop for BackendHandle {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn accept(listener: TcpListener, server: Arc<Server>) {
    let mut connections = JoinSet::new();
    loop {
        server.thawed().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, Arc::clone(&server)));
            }
            Err(error) => log::debug!("stand-in backend server can't accept: {error}"),
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, server: Arc<Server>) {
    let stream = TrackedStream::new(stream);
    let reset = stream.reset_switch();
    let connection = server.open_connection();
    let service = service_fn(move |request| {
        let reset = Arc::clone(&reset);
        let server = Arc::clone(&server);
        let is_excess = connection.is_excess;
        async move { service::answer(&server, request, is_excess, &reset).await }
    });
    let ended = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = ended {
        log::debug!("connection to the stand-in backend server ended: {error}");
    }
}
