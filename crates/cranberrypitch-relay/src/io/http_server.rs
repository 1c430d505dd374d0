//! A small HTTP/1.1 server for the calls of the platform and of targets.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::errors::{Error, Result};

/// The maximum body length of a call.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The time within which the header of the next request must arrive; the connection is closed
/// otherwise.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// The backoff after a failed `accept`, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// An HTTP request with its whole body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) body: Bytes,
}

/// The status and body of the response to a call.
pub(crate) type CallResponse = (StatusCode, Bytes);

/// Listens on an address and answers each call with `handler` until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) async fn serve<F, R>(address: SocketAddrV4, handler: F) -> Result<()>
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = CallResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })?;
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
                }
                Err(error) => {
                    tracing::warn!(target: crate::log::TARGET, %address, %error, "HTTP connection not accepted");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection<F, R>(stream: tokio::net::TcpStream, handler: Arc<F>)
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = CallResponse> + Send + 'static,
{
    let service = service_fn(move |request| respond(request, Arc::clone(&handler)));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(target: crate::log::TARGET, %error, "HTTP connection ended with an error");
    }
}

async fn respond<F, R>(
    request: Request<Incoming>,
    handler: Arc<F>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible>
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = CallResponse> + Send + 'static,
{
    let (head, body) = request.into_parts();
    let (status, body) = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let call = Call {
                method: head.method.as_str().into(),
                path: head.uri.path().into(),
                body: body.to_bytes(),
            };
            handler(call).await
        }
        Err(_) => (StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    Ok(response)
}
