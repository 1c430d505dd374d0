//! Feeds over HTTP/1.1, with one JSON reading per line.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::FeedSource;
use super::errors::{BackendError, FailureCause, Result};
use super::pool::Exchange;
use super::request::Reading;

/// The maximum length of a reading, which must fit into a 64 KiB frame to the caller.
const MAX_LINE_BYTES: usize = 60 * 1024;

/// An open feed over HTTP/1.1. Its connection is closed on drop.
#[derive(Debug)]
pub struct HttpFeed {
    body: Incoming,
    buffer: BytesMut,
    next_sequence: u64,
    // Dropping the exchange closes the connection.
    _exchange: Exchange,
}

#[derive(Deserialize)]
struct NumberedReading {
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
                Err(interrupted(FailureCause::ResponseTooLong {
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

    fn check_sequence(&mut self, line: Bytes) -> Result<Reading> {
        let reading: NumberedReading = serde_json::from_slice(&line)
            .map_err(|_malformed| interrupted(FailureCause::MalformedResponse))?;
        if reading.sequence != self.next_sequence {
            return Err(interrupted(FailureCause::SequenceGap {
                expected: self.next_sequence,
                found: reading.sequence,
            }));
        }
        self.next_sequence += 1;
        Ok(Reading {
            sequence: reading.sequence,
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
                return self.check_sequence(line).map(Some);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(interrupted(FailureCause::from(&error))),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(interrupted(FailureCause::ConnectionLost)),
            }
        }
    }
}

/// Returns the error of an interrupted feed, whose remaining readings are unknown.
const fn interrupted(cause: FailureCause) -> BackendError {
    BackendError::OutcomeUnknown { cause }
}
