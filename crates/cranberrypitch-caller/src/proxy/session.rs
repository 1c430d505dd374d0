//! A connection of a plain TCP caller.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::{OrganisationId, Outcome, RequestClass};
use serde::Serialize;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Semaphore, SemaphorePermit, watch};
use tokio::time::timeout;

use super::ProxyOptions;
use super::protocol::{
    EndLine, MAX_LINE_BYTES, ProtocolError, ReadingLine, RequestLine, ResponseLine, json_line,
};
use crate::client::Caller;
use crate::feed::{Feed, FeedOptions};
use crate::order::{OrderOptions, place_order};
use crate::ticket::TicketText;
use crate::upload::{UploadOptions, upload};

/// The maximum number of consecutive attempts to open a feed.
const MAX_FEED_ATTEMPTS: u32 = 20;

const FEED_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The maximum number of bytes that are read and discarded after an error line.
const DISCARD_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// How long bytes are read and discarded after an error line.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of bytes of body memory per semaphore permit.
pub(super) const BYTES_PER_PERMIT: u64 = 1024;

/// The reason why a session ends.
pub(super) enum SessionEnd {
    /// The caller has disconnected.
    Disconnected,
    /// The caller is sent an error line, and the connection is closed.
    Error(ProtocolError),
}

impl From<io::Error> for SessionEnd {
    fn from(_: io::Error) -> Self {
        Self::Disconnected
    }
}

impl From<ProtocolError> for SessionEnd {
    fn from(error: ProtocolError) -> Self {
        Self::Error(error)
    }
}

/// The state that all sessions share.
pub(super) struct SharedState {
    pub(super) caller: Caller,
    pub(super) options: ProxyOptions,
    pub(super) body_memory: Semaphore,
}

/// The connection of one caller.
pub(super) struct Session {
    shared: Arc<SharedState>,
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    shutdown: watch::Receiver<bool>,
}

impl Session {
    pub(super) fn new(
        stream: TcpStream,
        shared: Arc<SharedState>,
        shutdown: watch::Receiver<bool>,
    ) -> Self {
        let (reader, writer) = stream.into_split();
        Self {
            shared,
            reader: BufReader::new(reader),
            writer,
            shutdown,
        }
    }

    /// Serves requests one after another until the caller or the proxy closes the connection.
    pub(super) async fn run(mut self) {
        let end = loop {
            if let Err(end) = self.serve_request().await {
                break end;
            }
        };
        if let SessionEnd::Error(error) = end {
            self.refuse(&error).await;
        }
    }

    /// Sends the caller an error line and closes the connection. Bytes that the caller still sends
    /// are read and discarded; with unread bytes, the operating system would reset the connection,
    /// and the error line could be lost.
    pub(super) async fn refuse(mut self, error: &ProtocolError) {
        let send_error = async {
            self.writer.write_all(&error.line()).await?;
            self.writer.shutdown().await?;
            let mut unread = self.reader.take(DISCARD_MAX_BYTES);
            tokio::io::copy(&mut unread, &mut tokio::io::sink()).await
        };
        // Failures are ignored: the caller has disconnected or is too slow.
        drop(timeout(DISCARD_TIMEOUT, send_error).await);
    }

    async fn serve_request(&mut self) -> Result<(), SessionEnd> {
        let line = self.read_request_line().await?;
        let request = RequestLine::parse(&line)?;
        let organisation = request.organisation.clone();
        let organisation = organisation.or_else(|| self.shared.options.organisation.clone());
        let organisation =
            organisation.ok_or_else(|| ProtocolError::malformed(&"missing field `tenant`"))?;
        if request.class == RequestClass::Feed {
            return self.serve_feed(&request, organisation).await;
        }
        let shared = Arc::clone(&self.shared);
        let (body, _memory) = self.read_body(&shared, request.body_len_bytes).await?;
        let (line, response_body) = match request.class {
            RequestClass::Order => run_order(&shared, &request, organisation, &body).await,
            _ => run_upload(&shared, &request, organisation, &body).await,
        };
        self.write_line(&line).await?;
        self.write(&response_body).await
    }

    async fn read_request_line(&mut self) -> Result<Vec<u8>, SessionEnd> {
        let mut shutdown = self.shutdown.clone();
        let limit = self.shared.options.request_line_timeout;
        tokio::select! {
            biased;
            _ = shutdown.wait_for(|is_set| *is_set) => Err(ProtocolError::Stopping.into()),
            line = timeout(limit, read_line(&mut self.reader)) => {
                line.unwrap_or(Err(ProtocolError::Timeout { what: "the line" }.into()))
            }
        }
    }

    /// Reads a body once memory for it is available.
    async fn read_body<'a>(
        &mut self,
        shared: &'a SharedState,
        len_bytes: u64,
    ) -> Result<(Vec<u8>, SemaphorePermit<'a>), SessionEnd> {
        let limit_bytes = shared.options.body_limit_bytes;
        if len_bytes > limit_bytes {
            return Err(ProtocolError::BodyTooLong { limit_bytes }.into());
        }
        let permits = u32::try_from(len_bytes.div_ceil(BYTES_PER_PERMIT)).unwrap_or(u32::MAX);
        let read = async {
            let memory = shared.body_memory.acquire_many(permits).await;
            let memory = memory.map_err(|_closed| ProtocolError::Stopping)?;
            let mut body = vec![0; usize::try_from(len_bytes).unwrap_or_default()];
            self.reader.read_exact(&mut body).await?;
            Ok((body, memory))
        };
        let limit = shared.options.body_timeout;
        let read = timeout(limit, read).await;
        read.unwrap_or(Err(ProtocolError::Timeout { what: "the body" }.into()))
    }

    async fn serve_feed(
        &mut self,
        request: &RequestLine,
        organisation: OrganisationId,
    ) -> Result<(), SessionEnd> {
        let options = FeedOptions {
            endpoint: self.shared.options.endpoint.clone(),
            organisation,
            resume_from: request.resume_from,
            max_attempts: MAX_FEED_ATTEMPTS,
            retry_delay: FEED_RETRY_DELAY,
        };
        let opening = Feed::open(self.shared.caller.clone(), options);
        let mut feed = match timeout(request.deadline(), opening).await {
            Ok(Ok(feed)) => feed,
            Ok(Err(error)) => return self.write_line(&ResponseLine::from_error(&error)).await,
            Err(_) => return Err(ProtocolError::Timeout { what: "the feed" }.into()),
        };
        let result = self.forward_readings(&mut feed).await;
        feed.close();
        result
    }

    async fn forward_readings(&mut self, feed: &mut Feed) -> Result<(), SessionEnd> {
        let mut shutdown = self.shutdown.clone();
        loop {
            // `Feed::next` is not cancel safe, so each of the other branches ends the feed.
            let reading = tokio::select! {
                reading = feed.next() => reading,
                sent = self.reader.fill_buf() => {
                    return Err(if sent?.is_empty() {
                        SessionEnd::Disconnected
                    } else {
                        ProtocolError::malformed(&"received a request while a feed was open").into()
                    });
                }
                _ = shutdown.wait_for(|is_set| *is_set) => {
                    return Err(ProtocolError::Stopping.into());
                }
            };
            match reading.map_err(ProtocolError::Feed)? {
                Some(reading) => self.write_line(&ReadingLine::new(&reading)).await?,
                None => return self.write_line(&EndLine { end: true }).await,
            }
        }
    }

    async fn write_line(&mut self, line: &impl Serialize) -> Result<(), SessionEnd> {
        self.write(&json_line(line)).await
    }

    /// Writes bytes. A caller that does not read them in time is disconnected.
    async fn write(&mut self, bytes: &[u8]) -> Result<(), SessionEnd> {
        let limit = self.shared.options.write_timeout;
        match timeout(limit, self.writer.write_all(bytes)).await {
            Ok(written) => Ok(written?),
            Err(_) => Err(SessionEnd::Disconnected),
        }
    }
}

async fn read_line(reader: &mut BufReader<OwnedReadHalf>) -> Result<Vec<u8>, SessionEnd> {
    let mut line = Vec::new();
    let mut limited = reader.take(MAX_LINE_BYTES);
    limited.read_until(b'\n', &mut line).await?;
    match line.last() {
        None => Err(SessionEnd::Disconnected),
        Some(b'\n') => Ok(line),
        Some(_) if line.len() as u64 == MAX_LINE_BYTES => Err(ProtocolError::LineTooLong.into()),
        Some(_) => Err(ProtocolError::malformed(&"the line is not terminated").into()),
    }
}

/// Places an order and waits for its outcome even if the caller disconnects, because it may have
/// started.
async fn run_order(
    shared: &SharedState,
    request: &RequestLine,
    organisation: OrganisationId,
    body: &[u8],
) -> (ResponseLine, Vec<u8>) {
    let options = OrderOptions {
        endpoint: shared.options.endpoint.clone(),
        organisation,
        deadline: request.deadline(),
        response_timeout: shared.options.response_timeout,
    };
    match place_order(&shared.caller, &options, body).await {
        Ok(report) => {
            let line = ResponseLine {
                ticket: report.ticket.map(|ticket| TicketText(ticket).to_string()),
                body_len_bytes: report.response_body.len(),
                ..ResponseLine::from_outcome(&report.outcome)
            };
            (line, report.response_body)
        }
        Err(error) => (ResponseLine::from_error(&error), Vec::new()),
    }
}

async fn run_upload(
    shared: &SharedState,
    request: &RequestLine,
    organisation: OrganisationId,
    body: &[u8],
) -> (ResponseLine, Vec<u8>) {
    let options = UploadOptions {
        endpoint: shared.options.endpoint.clone(),
        organisation,
        deadline: request.deadline(),
        is_repeatable: false,
    };
    let line = match upload(&shared.caller, &options, body).await {
        Ok(report) => ResponseLine {
            sha256: (report.outcome == Outcome::Done).then_some(report.sha256),
            ..ResponseLine::from_outcome(&report.outcome)
        },
        Err(error) => ResponseLine::from_error(&error),
    };
    (line, Vec::new())
}
