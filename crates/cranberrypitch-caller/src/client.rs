//! Connections to a service and the exchange of frames on their streams.

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

use crate::attempts::{Attempts, SharedBudget};
use crate::errors::{Error, Result};

/// The longest body of an answer that a caller takes.
pub const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;

/// Where a service is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEndpoint {
    /// The service, whose name the far end's certificate has to carry.
    pub service: ServiceName,
    /// An address of the service.
    pub address: SocketAddrV4,
}

/// A caller's transport: one local socket, any number of connections.
#[derive(Clone, Debug)]
pub struct Caller {
    endpoint: Endpoint,
    config: quinn::ClientConfig,
    connect_timeout: Duration,
    retries: SharedBudget,
    clock: Arc<dyn Clock>,
}

impl Caller {
    /// Opens the local socket on `local_ip`.
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
            retries: SharedBudget::new(RetryOptions::default()),
            clock: Arc::new(SystemClock),
        })
    }

    /// Replaces the settings of retries; the retries already earned are lost.
    #[must_use]
    pub fn with_retry_options(mut self, options: RetryOptions) -> Self {
        self.retries = SharedBudget::new(options);
        self
    }

    /// Returns the state of a new request's attempts.
    pub(crate) fn attempts(&self, is_repeatable: bool, deadline: Duration) -> Attempts {
        Attempts::start(&self.retries, &self.clock, is_repeatable, deadline)
    }

    /// Opens a connection; `route` leads it to one agent.
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

    /// Waits until the ends of all closed connections have been sent.
    pub async fn wait_idle(&self) {
        self.endpoint.wait_idle().await;
    }
}

/// An open connection to one agent.
#[derive(Clone, Debug)]
pub struct Connection {
    inner: quinn::Connection,
}

/// The end of a request and the body of its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// How the request ended.
    pub outcome: Outcome,
    /// The body, always whole.
    pub body: Vec<u8>,
}

impl Connection {
    /// Asks the agent for an order ticket.
    pub async fn request_ticket(&self) -> Result<IssuedTicket> {
        let (_send, mut recv) = self.start(&CallerFrame::IssueTicket).await?;
        match read_frame(&mut recv).await? {
            AgentFrame::Ticket(ticket) => Ok(ticket),
            AgentFrame::Response {
                outcome: Outcome::NotRun(reason),
                ..
            } => Err(Error::NotRun { reason }),
            _ => Err(Error::unexpected_frame("ticket")),
        }
    }

    /// Asks for the outcome of an order and runs nothing.
    pub async fn query_order(&self, ticket: Ticket) -> Result<Response> {
        let (_send, mut recv) = self.start(&CallerFrame::QueryOrder(ticket)).await?;
        read_response(&mut recv).await
    }

    /// Sends a request with a body that is held in memory.
    pub async fn send_request(&self, head: RequestHead, body: &[u8]) -> Result<Response> {
        let (mut send, mut recv) = self.start(&CallerFrame::Request(head)).await?;
        // An agent that refuses a request stops its body; its answer tells why.
        let _written = send.write_all(body).await.and_then(|()| Ok(send.finish()?));
        read_response(&mut recv).await
    }

    /// Opens a stream and sends the first frame.
    pub(crate) async fn start(&self, frame: &CallerFrame) -> Result<(SendStream, RecvStream)> {
        let (mut send, recv) = self.inner.open_bi().await?;
        send.write_all(&encode_frame(frame)?).await?;
        Ok((send, recv))
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.inner.close(0_u32.into(), b"");
    }

    /// Returns the statistics of the transport.
    pub fn stats(&self) -> quinn::ConnectionStats {
        self.inner.stats()
    }
}

/// Reads one frame.
pub(crate) async fn read_frame(recv: &mut RecvStream) -> Result<AgentFrame> {
    let mut prefix = [0; PREFIX_LEN_BYTES];
    recv.read_exact(&mut prefix).await?;
    let mut body = vec![0; frame_len(prefix)?];
    recv.read_exact(&mut body).await?;
    Ok(decode_frame(&body)?)
}

/// Reads the end of a request and the whole body of its answer.
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
