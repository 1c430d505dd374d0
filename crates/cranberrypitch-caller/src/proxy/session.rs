//! One plain TCP caller.

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
    AnswerLine, EndLine, Fault, MAX_LINE_BYTES, ReadingLine, RequestLine, line_of,
};
use crate::client::Caller;
use crate::feed::{Feed, FeedOptions};
use crate::order::{OrderOptions, place_order};
use crate::ticket::TicketText;
use crate::upload::{UploadOptions, upload};

/// How often a feed is tried to be opened before the proxy gives up.
const FEED_ATTEMPTS: u32 = 20;

const FEED_RETRY_DELAY: Duration = Duration::from_millis(250);

/// What a caller may still send after an error line before it is cut off.
const LEFTOVER_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// How long it may take to do so.
const LEFTOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// One permit for the memory of bodies is this many bytes.
pub(super) const PERMIT_BYTES: u64 = 1024;

/// Why a session ends.
pub(super) enum End {
    /// The caller is gone.
    Gone,
    /// The caller is told, and the connection closed.
    Fault(Fault),
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        Self::Gone
    }
}

impl From<Fault> for End {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

/// What all sessions share.
pub(super) struct Shared {
    pub(super) caller: Caller,
    pub(super) options: ProxyOptions,
    pub(super) memory: Semaphore,
}

pub(super) struct Session {
    shared: Arc<Shared>,
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    stopping: watch::Receiver<bool>,
}

impl Session {
    pub(super) fn new(
        stream: TcpStream,
        shared: Arc<Shared>,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        let (reader, writer) = stream.into_split();
        Self {
            shared,
            reader: BufReader::new(reader),
            writer,
            stopping,
        }
    }

    /// Serves one request after the other until either end closes the connection.
    pub(super) async fn run(mut self) {
        let end = loop {
            if let Err(end) = self.serve_one().await {
                break end;
            }
        };
        if let End::Fault(fault) = end {
            self.refuse(&fault).await;
        }
    }

    /// Tells the caller why the connection ends. What the caller still sends is read first, since the
    /// operating system would otherwise drop the line on its way.
    pub(super) async fn refuse(mut self, fault: &Fault) {
        let told = async {
            self.writer.write_all(&fault.line()).await?;
            self.writer.shutdown().await?;
            let mut leftover = self.reader.take(LEFTOVER_MAX_BYTES);
            tokio::io::copy(&mut leftover, &mut tokio::io::sink()).await
        };
        // A caller that is gone or too slow has nothing left to learn.
        drop(timeout(LEFTOVER_TIMEOUT, told).await);
    }

    async fn serve_one(&mut self) -> Result<(), End> {
        let line = self.next_line().await?;
        let request = RequestLine::parse(&line)?;
        let organisation = request.organisation.clone();
        let organisation = organisation.or_else(|| self.shared.options.organisation.clone());
        let organisation =
            organisation.ok_or_else(|| Fault::malformed(&"missing field `tenant`"))?;
        if request.class == RequestClass::Feed {
            return self.serve_feed(&request, organisation).await;
        }
        let shared = Arc::clone(&self.shared);
        let (body, _memory) = self.read_body(&shared, request.body_len_bytes).await?;
        let (line, answer) = match request.class {
            RequestClass::Order => order(&shared, &request, organisation, &body).await,
            _ => upload_body(&shared, &request, organisation, &body).await,
        };
        self.write_line(&line).await?;
        self.write(&answer).await
    }

    async fn next_line(&mut self) -> Result<Vec<u8>, End> {
        let mut stopping = self.stopping.clone();
        let limit = self.shared.options.request_line_timeout;
        tokio::select! {
            biased;
            _ = stopping.wait_for(|stopping| *stopping) => Err(Fault::Stopping.into()),
            line = timeout(limit, read_line(&mut self.reader)) => {
                line.unwrap_or(Err(Fault::Timeout { what: "the line" }.into()))
            }
        }
    }

    /// Reads a body, once there is memory for it.
    async fn read_body<'a>(
        &mut self,
        shared: &'a Shared,
        len_bytes: u64,
    ) -> Result<(Vec<u8>, SemaphorePermit<'a>), End> {
        let limit_bytes = shared.options.body_limit_bytes;
        if len_bytes > limit_bytes {
            return Err(Fault::BodyTooLong { limit_bytes }.into());
        }
        let permits = u32::try_from(len_bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        let read = async {
            let memory = shared.memory.acquire_many(permits).await;
            let memory = memory.map_err(|_closed| Fault::Stopping)?;
            let mut body = vec![0; usize::try_from(len_bytes).unwrap_or_default()];
            self.reader.read_exact(&mut body).await?;
            Ok((body, memory))
        };
        let limit = shared.options.body_timeout;
        let read = timeout(limit, read).await;
        read.unwrap_or(Err(Fault::Timeout { what: "the body" }.into()))
    }

    async fn serve_feed(
        &mut self,
        request: &RequestLine,
        organisation: OrganisationId,
    ) -> Result<(), End> {
        let options = FeedOptions {
            endpoint: self.shared.options.endpoint.clone(),
            organisation,
            resume_from: request.resume_from,
            max_attempts: FEED_ATTEMPTS,
            retry_delay: FEED_RETRY_DELAY,
        };
        let opening = Feed::open(self.shared.caller.clone(), options);
        let mut feed = match timeout(request.deadline(), opening).await {
            Ok(Ok(feed)) => feed,
            Ok(Err(error)) => return self.write_line(&AnswerLine::of_error(&error)).await,
            Err(_) => return Err(Fault::Timeout { what: "the feed" }.into()),
        };
        let passed = self.pass_readings(&mut feed).await;
        feed.close();
        passed
    }

    async fn pass_readings(&mut self, feed: &mut Feed) -> Result<(), End> {
        let mut stopping = self.stopping.clone();
        loop {
            // A reading that is dropped half-read could not be read again, so each of the other
            // branches ends the feed.
            let reading = tokio::select! {
                reading = feed.next() => reading,
                sent = self.reader.fill_buf() => {
                    return Err(if sent?.is_empty() {
                        End::Gone
                    } else {
                        Fault::malformed(&"a request came while a feed was open").into()
                    });
                }
                _ = stopping.wait_for(|stopping| *stopping) => return Err(Fault::Stopping.into()),
            };
            match reading.map_err(Fault::Feed)? {
                Some(reading) => self.write_line(&ReadingLine::of(&reading)).await?,
                None => return self.write_line(&EndLine { end: true }).await,
            }
        }
    }

    async fn write_line(&mut self, line: &impl Serialize) -> Result<(), End> {
        self.write(&line_of(line)).await
    }

    /// Writes bytes; a caller that does not read them in time is cut off.
    async fn write(&mut self, bytes: &[u8]) -> Result<(), End> {
        let limit = self.shared.options.write_timeout;
        match timeout(limit, self.writer.write_all(bytes)).await {
            Ok(written) => Ok(written?),
            Err(_) => Err(End::Gone),
        }
    }
}

async fn read_line(reader: &mut BufReader<OwnedReadHalf>) -> Result<Vec<u8>, End> {
    let mut line = Vec::new();
    let mut limited = reader.take(MAX_LINE_BYTES);
    limited.read_until(b'\n', &mut line).await?;
    match line.last() {
        None => Err(End::Gone),
        Some(b'\n') => Ok(line),
        Some(_) if line.len() as u64 == MAX_LINE_BYTES => Err(Fault::LineTooLong.into()),
        Some(_) => Err(Fault::malformed(&"the line has no end").into()),
    }
}

/// Places an order, also when its caller has gone: it may have started.
async fn order(
    shared: &Shared,
    request: &RequestLine,
    organisation: OrganisationId,
    body: &[u8],
) -> (AnswerLine, Vec<u8>) {
    let options = OrderOptions {
        endpoint: shared.options.endpoint.clone(),
        organisation,
        deadline: request.deadline(),
        response_timeout: shared.options.response_timeout,
    };
    match place_order(&shared.caller, &options, body).await {
        Ok(report) => {
            let line = AnswerLine {
                ticket: report.ticket.map(|ticket| TicketText(ticket).to_string()),
                body_len_bytes: report.response_body.len(),
                ..AnswerLine::of(&report.outcome)
            };
            (line, report.response_body)
        }
        Err(error) => (AnswerLine::of_error(&error), Vec::new()),
    }
}

async fn upload_body(
    shared: &Shared,
    request: &RequestLine,
    organisation: OrganisationId,
    body: &[u8],
) -> (AnswerLine, Vec<u8>) {
    let options = UploadOptions {
        endpoint: shared.options.endpoint.clone(),
        organisation,
        deadline: request.deadline(),
        is_repeatable: false,
    };
    let line = match upload(&shared.caller, &options, body).await {
        Ok(report) => AnswerLine {
            sha256: (report.outcome == Outcome::Done).then_some(report.sha256),
            ..AnswerLine::of(&report.outcome)
        },
        Err(error) => AnswerLine::of_error(&error),
    };
    (line, Vec::new())
}
