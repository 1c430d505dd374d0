//! An HTTP/1.1 client for one service address, with a pool of idle connections.

use std::net::SocketAddrV4;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The limit of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// The options of an [`HttpClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpClientOptions {
    /// The address of the service.
    pub address: SocketAddrV4,
    /// The time limit for opening a TCP connection.
    pub connect_timeout: Duration,
    /// The limit on the length of a response body.
    pub max_body_bytes: usize,
}

/// An HTTP/1.1 client for one service address.
#[derive(Debug)]
pub struct HttpClient {
    options: HttpClientOptions,
    idle: Mutex<Vec<Connection>>,
}

type Connection = SendRequest<Full<Bytes>>;

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A failed request, by whether the service has received it.
#[derive(Debug, Display)]
pub enum RequestError {
    /// The service has not received the request.
    #[display("{_0}")]
    NotSent(Box<str>),
    /// The service may have received the request.
    #[display("{_0}")]
    MaybeSent(Box<str>),
    /// The service answered, and the body of the response is longer than the limit or did not arrive.
    #[display("{_0}")]
    IncompleteResponse(Box<str>),
}

impl RequestError {
    fn not_sent(detail: &impl ToString) -> Self {
        Self::NotSent(detail.to_string().into())
    }

    fn maybe_sent(detail: &impl ToString) -> Self {
        Self::MaybeSent(detail.to_string().into())
    }

    fn incomplete_response(detail: &impl ToString) -> Self {
        Self::IncompleteResponse(detail.to_string().into())
    }
}

impl HttpClient {
    /// Returns a client, which opens its first connection with the first request.
    pub const fn new(options: HttpClientOptions) -> Self {
        Self {
            options,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and returns the response. `limit` applies to the response head and then to the
    /// body. A connection whose response fails is not reused.
    pub async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<HttpResponse, RequestError> {
        while let Some(mut connection) = self.take_idle() {
            match timeout(limit, connection.try_send_request(request)).await {
                Err(_) => return Err(RequestError::maybe_sent(&"no answer in time")),
                Ok(Ok(response)) => return self.finish(connection, response, limit).await,
                Ok(Err(mut failed)) => match failed.take_message() {
                    // The service closed the idle connection before the request was sent.
                    Some(unsent) => request = unsent,
                    None => return Err(RequestError::maybe_sent(&failed.into_error())),
                },
            }
        }
        let mut connection = self.connect().await?;
        match timeout(limit, connection.send_request(request)).await {
            Err(_) => Err(RequestError::maybe_sent(&"no answer in time")),
            Ok(Ok(response)) => self.finish(connection, response, limit).await,
            Ok(Err(error)) => Err(RequestError::maybe_sent(&error)),
        }
    }

    async fn connect(&self) -> Result<Connection, RequestError> {
        let limit = self.options.connect_timeout;
        let stream = match timeout(limit, TcpStream::connect(self.options.address)).await {
            Err(_) => return Err(RequestError::not_sent(&"no connection in time")),
            Ok(Err(error)) => return Err(RequestError::not_sent(&error)),
            Ok(Ok(stream)) => stream,
        };
        stream
            .set_nodelay(true)
            .map_err(|e| RequestError::not_sent(&e))?;
        let opened = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = opened.map_err(|e| RequestError::not_sent(&e))?;
        tokio::spawn(async move {
            // A connection error is returned by the request that uses the connection.
            drop(connection.await);
        });
        Ok(sender)
    }

    async fn finish(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        limit: Duration,
    ) -> Result<HttpResponse, RequestError> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.options.max_body_bytes).collect();
        match timeout(limit, body).await {
            Err(_) => Err(RequestError::incomplete_response(
                &"answer not complete in time",
            )),
            Ok(Err(error)) => Err(RequestError::incomplete_response(&error)),
            Ok(Ok(body)) => {
                self.put_idle(connection);
                Ok(HttpResponse {
                    status: head.status,
                    headers: head.headers,
                    body: body.to_bytes(),
                })
            }
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| !connection.is_closed());
        let ready = idle.iter().position(SendRequest::is_ready)?;
        Some(idle.swap_remove(ready))
    }

    fn put_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.is_closed() {
            idle.push(connection);
        }
    }
}
