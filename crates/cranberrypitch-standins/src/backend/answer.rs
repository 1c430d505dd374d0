//! Answers of the backend server.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;

pub(crate) const NOT_RUN: &str = "x-not-run";

/// A part of a feed. A feed whose parts stop without an end breaks off, as when it is killed.
#[derive(Debug)]
pub(crate) enum FeedPart {
    /// A reading with its line end.
    Reading(Bytes),
    /// The end of a feed that is whole.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A body that is sent whole.
    Whole(Option<Bytes>),
    /// A body that breaks off after `part`, though a length of `len_bytes` was announced.
    Cut { part: Option<Bytes>, len_bytes: u64 },
    /// A feed.
    Feed(mpsc::Receiver<FeedPart>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Whole(body) => Poll::Ready(body.take().map(|data| Ok(Frame::data(data)))),
            Self::Cut { part, .. } => Poll::Ready(Some(match part.take() {
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
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            Self::Cut { len_bytes, .. } => SizeHint::with_exact(*len_bytes),
            Self::Feed(_) => SizeHint::default(),
        }
    }
}

/// An answer of the backend server.
pub(crate) type Answer = Response<AnswerBody>;

/// Returns an answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, content: &T) -> Answer {
    let body = match serde_json::to_vec(content) {
        Ok(body) => Bytes::from(body),
        Err(error) => {
            log::error!("stand-in backend server can't encode an answer: {error}");
            return with_status(StatusCode::INTERNAL_SERVER_ERROR, AnswerBody::Whole(None));
        }
    };
    let mut answer = with_status(status, AnswerBody::Whole(Some(body)));
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// Returns an answer without content.
pub(crate) fn with_status(status: StatusCode, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

/// Returns an answer that says why something failed.
pub(crate) fn error(status: StatusCode, reason: &str) -> Answer {
    #[derive(Serialize)]
    struct Reason<'a> {
        error: &'a str,
    }
    json(status, &Reason { error: reason })
}

/// Returns an answer that says that the request was not run.
pub(crate) fn not_run(status: StatusCode, reason: &str) -> Answer {
    let mut answer = error(status, reason);
    answer
        .headers_mut()
        .insert(NOT_RUN, HeaderValue::from_static("true"));
    answer
}

/// Makes an answer the last one on its connection.
pub(crate) fn closing(mut answer: Answer) -> Answer {
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// Cuts the body of an answer after half of its bytes.
pub(crate) fn cut(answer: Answer) -> Answer {
    answer.map(|body| match body {
        AnswerBody::Whole(Some(whole)) => AnswerBody::Cut {
            part: Some(whole.slice(..whole.len() / 2)),
            len_bytes: whole.len() as u64,
        },
        other => other,
    })
}
