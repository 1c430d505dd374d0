//! Feeds over HTTP/1.1.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::FeedSource;
use super::errors::{BackendError, FailureCause, Result};
use super::pool::Exchange;
use super::request::Reading;

/// A longer reading is refused; a frame to the caller has 64 KiB.
const MAX_LINE_BYTES: usize = 60 * 1024;

/// An open feed over HTTP/1.1. Its connection closes when it is dropped.
#[derive(Debug)]
pub struct HttpFeed {
    body: Incoming,
    buffer: BytesMut,
    next_sequence: u64,
    // Kept for its drop, which closes the connection.
    _exchange: Exchange,
}

#[derive(Deserialize)]
struct Numbered {
    sequence: u64,
}

impl HttpFeed {
    pub(crate) fn new(body: Incoming, next_sequence: u64, exchange: Exchange) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            next_sequence,
            _exchange: exchange,
        }
    }

    fn take_line(&mut self) -> Result<Option<Bytes>> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            return if self.buffer.len() > MAX_LINE_BYTES {
                Err(broken(FailureCause::ResponseTooLong {
                    limit_bytes: MAX_LINE_BYTES,
                }))
            } else {
                Ok(None)
            };
        };
        let mut line = self.buffer.split_to(end + 1);
        line.truncate(end);
        Ok(Some(line.freeze()))
    }

    fn check(&mut self, line: Bytes) -> Result<Reading> {
        let numbered: Numbered = serde_json::from_slice(&line)
            .map_err(|_malformed| broken(FailureCause::MalformedResponse))?;
        if numbered.sequence != self.next_sequence {
            return Err(broken(FailureCause::SequenceGap {
                expected: self.next_sequence,
                found: numbered.sequence,
            }));
        }
        self.next_sequence += 1;
        Ok(Reading {
            sequence: numbered.sequence,
            payload: line,
        })
    }
}

impl FeedSource for HttpFeed {
    fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    async fn next_reading(&mut self) -> Result<Option<Reading>> {
        loop {
            if let Some(line) = self.take_line()? {
                return self.check(line).map(Some);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(broken(FailureCause::from(&error))),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(broken(FailureCause::ConnectionLost)),
            }
        }
    }
}

/// Returns the error of a feed that broke off: what it would have brought is unknown.
const fn broken(cause: FailureCause) -> BackendError {
    BackendError::OutcomeUnknown { cause }
}
