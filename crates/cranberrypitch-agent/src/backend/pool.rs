//! The pool of idle connections to the backend server.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::connection::Connection;
use super::errors::{BackendError, FailureCause};

/// A pool of idle connections to one backend server.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle_connections_max: usize,
    idle_timeout: Duration,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl ConnectionPool {
    pub(crate) fn new(
        address: SocketAddr,
        idle_connections_max: usize,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            address,
            idle_connections_max,
            idle_timeout,
            idle: Mutex::default(),
        }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle connection that is ready for a request, or a new one.
    pub(crate) async fn acquire(&self, deadline: Instant) -> Result<Exchange, FailureCause> {
        while let Some(mut connection) = self.take_idle() {
            match timeout_at(deadline, connection.sender.ready()).await {
                Ok(Ok(())) => return Ok(Exchange::new(connection, true)),
                Ok(Err(_closed)) => {}
                Err(_elapsed) => return Err(FailureCause::DeadlineExceeded),
            }
        }
        self.open(deadline).await
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, deadline: Instant) -> Result<Exchange, FailureCause> {
        match timeout_at(deadline, Connection::open(self.address)).await {
            Ok(Ok(connection)) => Ok(Exchange::new(connection, false)),
            Ok(Err(error)) => Err(FailureCause::ConnectFailed { kind: error.kind() }),
            Err(_elapsed) => Err(FailureCause::DeadlineExceeded),
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        let now = Instant::now();
        idle.retain(|entry| {
            now < entry.since + self.idle_timeout && !entry.connection.sender.is_closed()
        });
        // A connection may still be writing the end of its last request and is skipped until then.
        let ready = idle.iter().rposition(|e| e.connection.sender.is_ready())?;
        Some(idle.swap_remove(ready).connection)
    }

    /// Returns the connection of an exchange to the pool once the response has been read
    /// completely.
    pub(crate) fn release(&self, exchange: Exchange) {
        let connection = exchange.connection;
        let mut idle = self.lock();
        if idle.len() < self.idle_connections_max && !connection.sender.is_closed() {
            let since = Instant::now();
            idle.push(IdleConnection { connection, since });
        }
    }
}

/// One request and its response on a connection, which is closed on drop.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) connection: Connection,
    pub(crate) is_reused: bool,
    written_at_start_bytes: u64,
}

impl Exchange {
    fn new(connection: Connection, is_reused: bool) -> Self {
        let written_at_start_bytes = connection.gate.written_bytes();
        Self {
            connection,
            is_reused,
            written_at_start_bytes,
        }
    }

    /// Closes the connection and returns an error that states whether the request may have run.
    pub(crate) fn into_error(self, cause: FailureCause) -> BackendError {
        if self.connection.gate.close() == self.written_at_start_bytes {
            BackendError::NotRun { cause }
        } else {
            BackendError::OutcomeUnknown { cause }
        }
    }
}
