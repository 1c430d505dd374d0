//! The stand-in for a backend server, which speaks HTTP/1.1.
//!
//! It runs orders and uploads in slots, serves feeds, drains, and supports cancellation, deadlines
//! and fault injection. Its journal records every run, so that a test can compare the outcomes that
//! callers receive with the requests that ran.

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

use self::connection::ResettableStream;
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
    ///
    /// Returns an error if an option is out of range or the address can't be bound.
    pub async fn spawn(options: BackendOptions) -> Result<BackendHandle> {
        options.check()?;
        let requested = options.address;
        let listener = TcpListener::bind(requested)
            .await
            .map_err(|e| Error::listen(requested, e))?;
        let address = listener
            .local_addr()
            .map_err(|e| Error::listen(requested, e))?;
        let server = Arc::new(Server::new(options));
        let accept_task = tokio::spawn(accept(listener, Arc::clone(&server)));
        Ok(BackendHandle {
            address,
            server,
            accept_task: accept_task.abort_handle(),
        })
    }
}

/// A running stand-in backend server, which is killed on drop.
#[derive(Debug)]
pub struct BackendHandle {
    address: SocketAddr,
    server: Arc<Server>,
    accept_task: AbortHandle,
}

impl BackendHandle {
    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to drain. New requests are refused and not run; running ones finish.
    pub fn drain(&self) {
        self.server.drain();
    }

    /// Stops immediately, like a killed process: drops connections and interrupts runs.
    pub fn kill(&self) {
        self.accept_task.abort();
        self.server.abort_tasks();
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.server.faults.send_modify(change);
    }

    /// Returns the actual load, which the load endpoint may report otherwise.
    pub fn load(&self) -> BackendLoad {
        self.server.actual_load()
    }

    /// Returns the runs so far, in the order in which they started.
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
        server.wait_until_unfrozen().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, Arc::clone(&server)));
            }
            Err(error) => {
                log::debug!("stand-in backend server failed to accept a connection: {error}");
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, server: Arc<Server>) {
    let stream = ResettableStream::new(stream);
    let resets_on_drop = stream.reset_flag();
    let connection = server.open_connection();
    let service = service_fn(move |request| {
        let resets_on_drop = Arc::clone(&resets_on_drop);
        let server = Arc::clone(&server);
        let is_over_limit = connection.is_over_limit;
        async move { service::respond(&server, request, is_over_limit, &resets_on_drop).await }
    });
    let result = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!("connection to the stand-in backend server failed: {error}");
    }
}
