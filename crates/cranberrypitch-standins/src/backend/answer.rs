//! Responses of the stand-in backend server.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;

/// The header that marks a request as not run.
pub(crate) const NOT_RUN: &str = "x-not-run";

/// A part of a feed. A feed whose channel closes before [`FeedPart::End`] is aborted, as when the
/// server is killed.
#[derive(Debug)]
pub(crate) enum FeedPart {
    /// A reading as a line, with its line feed.
    Reading(Bytes),
    /// The regular end of a feed.
    End,
}

/// The body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// A body that is sent completely.
    Complete(Option<Bytes>),
    /// A body that is aborted after `part`, although its content length is `len_bytes`.
    Truncated { part: Option<Bytes>, len_bytes: u64 },
    /// A feed.
    Feed(mpsc::Receiver<FeedPart>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Complete(body) => Poll::Ready(body.take().map(|data| Ok(Frame::data(data)))),
            Self::Truncated { part, .. } => Poll::Ready(Some(match part.take() {
                Some(part) => Ok(Frame::data(part)),
                None => Err(io::ErrorKind::ConnectionReset.into()),
            })),
            Self::Feed(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(FeedPart::Reading(line)) => Some(Ok(Frame::data(line))),
                Some(FeedPart::End) => None,
                None => Some(Err(io::ErrorKind::ConnectionReset.into())),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            Self::Truncated { len_bytes, .. } => SizeHint::with_exact(*len_bytes),
            Self::Feed(_) => SizeHint::default(),
        }
    }
}

/// A response of the backend server.
pub(crate) type HttpResponse = Response<ResponseBody>;

/// Returns a response with a JSON body, or status 500 if `content` can't be encoded.
pub(crate) fn json<T: Serialize>(status: StatusCode, content: &T) -> HttpResponse {
    let body = match serde_json::to_vec(content) {
        Ok(body) => Bytes::from(body),
        Err(error) => {
            log::error!("stand-in backend server failed to encode a response: {error}");
            return with_status(
                StatusCode::INTERNAL_SERVER_ERROR,
                ResponseBody::Complete(None),
            );
        }
    };
    let mut response = with_status(status, ResponseBody::Complete(Some(body)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a response with a status and a body, and without headers.
pub(crate) fn with_status(status: StatusCode, body: ResponseBody) -> HttpResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Returns an error response with the reason as its JSON body.
pub(crate) fn error(status: StatusCode, reason: &str) -> HttpResponse {
    #[derive(Serialize)]
    struct ErrorContent<'a> {
        error: &'a str,
    }
    json(status, &ErrorContent { error: reason })
}

/// Returns an error response with the header [`NOT_RUN`].
pub(crate) fn not_run(status: StatusCode, reason: &str) -> HttpResponse {
    let mut response = error(status, reason);
    response
        .headers_mut()
        .insert(NOT_RUN, HeaderValue::from_static("true"));
    response
}

/// Makes a response the last one on its connection.
pub(crate) fn close_connection(mut response: HttpResponse) -> HttpResponse {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Truncates the body of a response to half of its bytes.
pub(crate) fn truncate(response: HttpResponse) -> HttpResponse {
    response.map(|body| match body {
        ResponseBody::Complete(Some(body)) => ResponseBody::Truncated {
            part: Some(body.slice(..body.len() / 2)),
            len_bytes: body.len() as u64,
        },
        other => other,
    })
}
