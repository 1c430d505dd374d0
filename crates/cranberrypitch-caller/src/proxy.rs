//! A proxy that accepts requests over plain TCP on a local port.
//!
//! A request is one line of JSON and a body. The response is one line of JSON and a body, or one
//! line per reading of a feed. `docs/command.md` has the protocol.

mod protocol;
mod session;

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::OrganisationId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use self::protocol::ProtocolError;
use self::session::{BYTES_PER_PERMIT, Session, SharedState};
use crate::client::{Caller, ServiceEndpoint};
use crate::errors::Result;

/// The maximum number of refused connections that are sent an error line concurrently. Further ones
/// are closed without it.
const MAX_CONCURRENT_REFUSALS: usize = 16;

/// The delay after a failed `accept`, which usually fails for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The options of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// The service to which requests are sent.
    pub endpoint: ServiceEndpoint,
    /// The organisation of requests without one.
    pub organisation: Option<OrganisationId>,
    /// The maximum number of concurrent connections.
    pub connections_max: usize,
    /// The maximum length of a request body.
    pub body_limit_bytes: u64,
    /// The maximum memory for all request bodies. Further bodies are read once memory is free.
    pub body_memory_max_bytes: u64,
    /// The time within which a request line must arrive after the previous response.
    pub request_line_timeout: Duration,
    /// The time within which a body must arrive.
    pub body_timeout: Duration,
    /// The time within which a caller must read a response.
    pub write_timeout: Duration,
    /// How long the proxy waits for the outcome of an order that may have started.
    pub response_timeout: Duration,
}

impl ProxyOptions {
    /// Returns the default options for a service.
    pub const fn new(endpoint: ServiceEndpoint) -> Self {
        Self {
            endpoint,
            organisation: None,
            connections_max: 64,
            body_limit_bytes: 16 * 1024 * 1024,
            body_memory_max_bytes: 128 * 1024 * 1024,
            request_line_timeout: Duration::from_mins(5),
            body_timeout: Duration::from_mins(1),
            write_timeout: Duration::from_secs(10),
            response_timeout: Duration::from_secs(30),
        }
    }
}

/// A local TCP listener in front of one service.
#[derive(Debug)]
pub struct Proxy {
    listener: TcpListener,
    address: SocketAddr,
    caller: Caller,
    options: ProxyOptions,
}

impl Proxy {
    /// Binds to an address. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(
        address: SocketAddrV4,
        caller: Caller,
        options: ProxyOptions,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener,
            address,
            caller,
            options,
        })
    }

    /// Returns the local address of the listener.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves callers until `stop` is ready, and then waits up to `drain_timeout` for running
    /// requests. Returns the number of connections that were aborted.
    pub async fn serve(self, stop: impl Future<Output = ()>, drain_timeout: Duration) -> usize {
        let connections_max = self.options.connections_max;
        let permits = self
            .options
            .body_memory_max_bytes
            .max(self.options.body_limit_bytes);
        let permits = usize::try_from(permits.div_ceil(BYTES_PER_PERMIT)).unwrap_or(usize::MAX);
        let shared = Arc::new(SharedState {
            caller: self.caller,
            options: self.options,
            body_memory: Semaphore::new(permits.min(Semaphore::MAX_PERMITS)),
        });
        let shutdown = watch::Sender::new(false);
        let mut sessions = JoinSet::new();
        let mut refusals = JoinSet::new();
        tokio::pin!(stop);
        loop {
            let stream = tokio::select! {
                () = &mut stop => break,
                stream = accept(&self.listener) => stream,
            };
            while sessions.try_join_next().is_some() {}
            while refusals.try_join_next().is_some() {}
            let session = Session::new(stream, Arc::clone(&shared), shutdown.subscribe());
            if sessions.len() < connections_max {
                sessions.spawn(session.run());
            } else if refusals.len() < MAX_CONCURRENT_REFUSALS {
                refusals.spawn(async move { session.refuse(&ProtocolError::Busy).await });
            }
        }
        drop(self.listener);
        shutdown.send_replace(true);
        // The sessions that remain after the timeout are counted below.
        drop(timeout(drain_timeout, join_all(&mut sessions)).await);
        sessions.len()
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Otherwise a short response may wait for the acknowledgement of the previous one.
                if stream.set_nodelay(true).is_ok() {
                    return stream;
                }
            }
            Err(error) => {
                log::warn!("proxy can't accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn join_all(sessions: &mut JoinSet<()>) {
    while sessions.join_next().await.is_some() {}
}
