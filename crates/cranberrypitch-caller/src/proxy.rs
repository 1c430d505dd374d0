//! A local TCP port for callers that speak plain TCP.
//!
//! A request is one line of JSON and a body; the answer is one line of JSON and a body, or one line
//! per reading of a feed. `docs/command.md` has the protocol.

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

use self::protocol::Fault;
use self::session::{PERMIT_BYTES, Session, Shared};
use crate::client::{Caller, ServiceEndpoint};
use crate::errors::Result;

/// The callers over the limit that are told so at once; further ones are closed without a line.
const MAX_REFUSALS: usize = 16;

/// The pause after a failed accept, which is usually for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What a proxy is started with.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// The service that requests go to.
    pub endpoint: ServiceEndpoint,
    /// The organisation of requests that name none.
    pub organisation: Option<OrganisationId>,
    /// The number of callers at once.
    pub connections_max: usize,
    /// The longest body.
    pub body_limit_bytes: u64,
    /// The memory of all bodies together; further bodies wait.
    pub body_memory_max_bytes: u64,
    /// The time within which the line of a request has to arrive, counted from the last answer.
    pub request_line_timeout: Duration,
    /// The time within which a body has to arrive.
    pub body_timeout: Duration,
    /// The time within which a caller has to read what it is sent.
    pub write_timeout: Duration,
    /// How long the proxy waits for the outcome of an order that may have started.
    pub response_timeout: Duration,
}

impl ProxyOptions {
    /// Returns the usual limits for requests to a service.
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

/// A local TCP port in front of one service.
#[derive(Debug)]
pub struct Proxy {
    listener: TcpListener,
    address: SocketAddr,
    caller: Caller,
    options: ProxyOptions,
}

impl Proxy {
    /// Binds to an address. Port 0 takes any free port.
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

    /// Returns the address that is served.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves callers until `stop` is ready, then lets the running requests finish for
    /// `drain_timeout`. Returns the number of callers that had to be cut off.
    pub async fn serve(self, stop: impl Future<Output = ()>, drain_timeout: Duration) -> usize {
        let connections_max = self.options.connections_max;
        let permits = self
            .options
            .body_memory_max_bytes
            .max(self.options.body_limit_bytes);
        let permits = usize::try_from(permits.div_ceil(PERMIT_BYTES)).unwrap_or(usize::MAX);
        let shared = Arc::new(Shared {
            caller: self.caller,
            options: self.options,
            memory: Semaphore::new(permits.min(Semaphore::MAX_PERMITS)),
        });
        let stopping = watch::Sender::new(false);
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
            let session = Session::new(stream, Arc::clone(&shared), stopping.subscribe());
            if sessions.len() < connections_max {
                sessions.spawn(session.run());
            } else if refusals.len() < MAX_REFUSALS {
                refusals.spawn(async move { session.refuse(&Fault::Busy).await });
            }
        }
        drop(self.listener);
        stopping.send_replace(true);
        // What is left after the timeout is counted below.
        drop(timeout(drain_timeout, join_all(&mut sessions)).await);
        sessions.len()
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without this, a short answer may wait for the acknowledgement of the one before.
                if stream.set_nodelay(true).is_ok() {
                    return stream;
                }
            }
            Err(error) => {
                log::warn!("the proxy can't accept: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn join_all(sessions: &mut JoinSet<()>) {
    while sessions.join_next().await.is_some() {}
}
