//! Connections to a service, and the frames on their streams.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::orders::Ticket;
use cranberrypitch_core::retry::RetryOptions;
use cranberrypitch_core::token::TOKEN_LEN_BYTES;
use cranberrypitch_core::{Clock, Outcome, ServiceName, SystemClock};
use cranberrypitch_proto::request::{
    AgentFrame, CallerFrame, IssuedTicket, PREFIX_LEN_BYTES, RequestHead, decode_frame,
    encode_frame, frame_len,
};
use quinn::{ConnectionId, Endpoint, RecvStream, SendStream};

use crate::attempts::{Attempts, SharedRetryBudget};
use crate::errors::{Error, Result};

/// The maximum length of a response body that a caller accepts.
pub const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;

/// The name and address of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEndpoint {
    /// The name of the service, which the certificate of its agents must contain.
    pub service: ServiceName,
    /// An address of the service.
    pub address: SocketAddrV4,
}

/// A QUIC client with one local UDP socket for any number of connections. Clones share the socket
/// and the retry budget.
#[derive(Clone, Debug)]
pub struct Caller {
    endpoint: Endpoint,
    config: quinn::ClientConfig,
    connect_timeout: Duration,
    retry_budget: SharedRetryBudget,
    clock: Arc<dyn Clock>,
}

impl Caller {
    /// Opens the local UDP socket on `local_ip`. `connect_timeout` limits each connection attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be opened.
    pub fn try_new(
        local_ip: Ipv4Addr,
        config: quinn::ClientConfig,
        connect_timeout: Duration,
    ) -> Result<Self> {
        let endpoint = Endpoint::client(SocketAddr::from((local_ip, 0)))?;
        Ok(Self {
            endpoint,
            config,
            connect_timeout,
            retry_budget: SharedRetryBudget::new(RetryOptions::default()),
            clock: Arc::new(SystemClock),
        })
    }

    /// Replaces the retry options, and starts with a new retry budget.
    #[must_use]
    pub fn with_retry_options(mut self, options: RetryOptions) -> Self {
        self.retry_budget = SharedRetryBudget::new(options);
        self
    }

    /// Returns the attempts of a new request, which must start within `deadline`.
    pub(crate) fn attempts(&self, is_repeatable: bool, deadline: Duration) -> Attempts {
        Attempts::start(&self.retry_budget, &self.clock, is_repeatable, deadline)
    }

    /// Opens a connection. With a `routing_token`, it is opened to the agent that issued the token.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not respond in time, refuses the connection, or has a
    /// certificate that is not trusted.
    pub async fn connect(
        &self,
        endpoint: &ServiceEndpoint,
        routing_token: Option<[u8; TOKEN_LEN_BYTES]>,
    ) -> Result<Connection> {
        let mut config = self.config.clone();
        if let Some(token) = routing_token {
            config.initial_dst_cid_provider(Arc::new(move || ConnectionId::new(&token)));
        }
        let attempt = self
            .endpoint
            .connect_with(config, endpoint.address.into(), endpoint.service.as_str())
            .map_err(|source| Error::Connect {
                service: endpoint.service.clone(),
                source,
            })?;
        match tokio::time::timeout(self.connect_timeout, attempt).await {
            Ok(connection) => Ok(Connection { inner: connection? }),
            Err(_) => Err(Error::ConnectTimeout {
                service: endpoint.service.clone(),
                address: endpoint.address,
            }),
        }
    }

    /// Waits until all connections are closed and their close frames have been sent.
    pub async fn wait_idle(&self) {
        self.endpoint.wait_idle().await;
    }
}

/// An open connection to one agent.
#[derive(Clone, Debug)]
pub struct Connection {
    inner: quinn::Connection,
}

/// The outcome of a request and the body of its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Connection {
    /// Requests an order ticket from the agent.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotRun`] if the agent is draining, or an error of the connection.
    pub async fn request_ticket(&self) -> Result<IssuedTicket> {
        let (_send, mut recv) = self.open_stream(&CallerFrame::IssueTicket).await?;
        match read_frame(&mut recv).await? {
            AgentFrame::Ticket(ticket) => Ok(ticket),
            AgentFrame::Response {
                outcome: Outcome::NotRun(reason),
                ..
            } => Err(Error::NotRun { reason }),
            _ => Err(Error::unexpected_frame("ticket")),
        }
    }

    /// Queries the outcome of an order. The order is never run by a query.
    ///
    /// # Errors
    ///
    /// Returns an error of the connection or of the response.
    pub async fn query_order(&self, ticket: Ticket) -> Result<Response> {
        let (_send, mut recv) = self.open_stream(&CallerFrame::QueryOrder(ticket)).await?;
        read_response(&mut recv).await
    }

    /// Sends a request with a body in memory, and waits for its response.
    ///
    /// # Errors
    ///
    /// Returns an error of the connection or of the response. The request may have run then.
    pub async fn send_request(&self, head: RequestHead, body: &[u8]) -> Result<Response> {
        let (mut send, mut recv) = self.open_stream(&CallerFrame::Request(head)).await?;
        // An agent that refuses a request stops its body and states the reason in its response.
        let _written = send.write_all(body).await.and_then(|()| Ok(send.finish()?));
        read_response(&mut recv).await
    }

    /// Opens a stream and sends the first frame.
    pub(crate) async fn open_stream(
        &self,
        frame: &CallerFrame,
    ) -> Result<(SendStream, RecvStream)> {
        let (mut send, recv) = self.inner.open_bi().await?;
        send.write_all(&encode_frame(frame)?).await?;
        Ok((send, recv))
    }

    /// Closes the connection. Requests in flight fail.
    pub fn close(&self) {
        self.inner.close(0_u32.into(), b"");
    }

    /// Returns the statistics of the QUIC connection.
    pub fn stats(&self) -> quinn::ConnectionStats {
        self.inner.stats()
    }
}

pub(crate) async fn read_frame(recv: &mut RecvStream) -> Result<AgentFrame> {
    let mut prefix = [0; PREFIX_LEN_BYTES];
    recv.read_exact(&mut prefix).await?;
    let mut body = vec![0; frame_len(prefix)?];
    recv.read_exact(&mut body).await?;
    Ok(decode_frame(&body)?)
}

/// Reads the outcome of a request and the complete body of its response.
pub(crate) async fn read_response(recv: &mut RecvStream) -> Result<Response> {
    let AgentFrame::Response { outcome, body_len } = read_frame(recv).await? else {
        return Err(Error::unexpected_frame("request"));
    };
    let len_bytes = body_len.get();
    if len_bytes > MAX_RESPONSE_BYTES {
        return Err(Error::ResponseTooLong {
            len_bytes,
            limit_bytes: MAX_RESPONSE_BYTES,
        });
    }
    let mut body = vec![0; usize::try_from(len_bytes).unwrap_or_default()];
    recv.read_exact(&mut body).await?;
    Ok(Response { outcome, body })
}
