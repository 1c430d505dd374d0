//! A client of one HTTP/1.1 service, with connections that are kept between calls.

use std::net::SocketAddrV4;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The connections that are kept open between calls.
const MAX_IDLE: usize = 4;

/// The options of an [`HttpClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpClientOptions {
    /// The address of the service.
    pub address: SocketAddrV4,
    /// The time within which a connection is set up.
    pub connect_timeout: Duration,
    /// The longest body of an answer.
    pub max_body_bytes: usize,
}

/// A client of the service behind an address.
#[derive(Debug)]
pub struct HttpClient {
    options: HttpClientOptions,
    idle: Mutex<Vec<Connection>>,
}

type Connection = SendRequest<Full<Bytes>>;

/// A failure before the request was on its way, or after.
#[derive(Debug, Display)]
pub enum RequestError {
    /// The service has not seen the request.
    #[display("{_0}")]
    NotSent(Box<str>),
    /// The service may have seen the request.
    #[display("{_0}")]
    MaybeSent(Box<str>),
}

impl RequestError {
    fn not_sent(detail: &impl ToString) -> Self {
        Self::NotSent(detail.to_string().into())
    }

    fn maybe_sent(detail: &impl ToString) -> Self {
        Self::MaybeSent(detail.to_string().into())
    }
}

impl HttpClient {
    /// Returns the client. It connects with the first call.
    pub const fn new(options: HttpClientOptions) -> Self {
        Self {
            options,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and returns the status and body of the answer, which must come within
    /// `limit`. A connection without an answer is not used again.
    pub async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), RequestError> {
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
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|e| RequestError::not_sent(&e))?;
        tokio::spawn(async move {
            // The failure of a connection reaches the call that waits on it.
            drop(connection.await);
        });
        Ok(sender)
    }

    async fn finish(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), RequestError> {
        let status = response.status();
        let body = Limited::new(response.into_body(), self.options.max_body_bytes).collect();
        match timeout(limit, body).await {
            Err(_) => Err(RequestError::maybe_sent(&"answer cut off")),
            Ok(Err(error)) => Err(RequestError::maybe_sent(&error)),
            Ok(Ok(body)) => {
                self.put_idle(connection);
                Ok((status, body.to_bytes()))
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
        if idle.len() < MAX_IDLE && !connection.is_closed() {
            idle.push(connection);
        }
    }
}
