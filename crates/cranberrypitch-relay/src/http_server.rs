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

/// The longest body of a call.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A connection whose next request takes longer is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause after a connection could not be accepted, as when descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A call with its whole body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) body: Bytes,
}

/// The answer to a call.
pub(crate) type Answer = (StatusCode, Bytes);

/// Listens on an address and answers calls until the process ends.
pub(crate) async fn serve<F, R>(address: SocketAddrV4, answer: F) -> Result<()>
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })?;
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve_connection(stream, Arc::clone(&answer)));
                }
                Err(error) => {
                    tracing::warn!(target: crate::log::TARGET, %address, %error, "accept failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection<F, R>(stream: tokio::net::TcpStream, answer: Arc<F>)
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let service = service_fn(move |request| respond(request, Arc::clone(&answer)));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(target: crate::log::TARGET, %error, "connection ended");
    }
}

async fn respond<F, R>(
    request: Request<Incoming>,
    answer: Arc<F>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible>
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let (head, body) = request.into_parts();
    let (status, body) = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let call = Call {
                method: head.method.as_str().into(),
                path: head.uri.path().into(),
                body: body.to_bytes(),
            };
            answer(call).await
        }
        Err(_) => (StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    Ok(response)
}
