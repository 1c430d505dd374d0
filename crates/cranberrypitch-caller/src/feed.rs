//! Feeds that continue without a gap when their connection or target changes.

use cranberrypitch_core::{ByteSize, OrganisationId, RequestClass};
use cranberrypitch_proto::request::{AgentFrame, CallerFrame, RequestHead};
use quinn::RecvStream;
use std::time::Duration;

use crate::client::{Caller, Connection, ServiceEndpoint, read_frame};
use crate::errors::{Error, Result};

/// The options of a feed.
#[derive(Clone, Debug)]
pub struct FeedOptions {
    /// The service that provides the feed.
    pub endpoint: ServiceEndpoint,
    /// The organisation of the caller.
    pub organisation: OrganisationId,
    /// The sequence number of the first reading. Without it, the feed starts with the newest
    /// reading.
    pub resume_from: Option<u64>,
    /// The maximum number of consecutive attempts to open or reopen the feed.
    pub max_attempts: u32,
    /// The delay after a failed attempt.
    pub retry_delay: Duration,
}

/// A reading of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The sequence number.
    pub sequence: u64,
    /// The JSON text of the reading.
    pub payload: Box<[u8]>,
}

/// Counters of the connection changes of a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedStats {
    /// How often the feed moved because its target was draining.
    pub moves: u32,
    /// How often the connection failed without a prior notice.
    pub disconnects: u32,
}

/// An open feed.
#[derive(Debug)]
pub struct Feed {
    caller: Caller,
    options: FeedOptions,
    current: FeedConnection,
    next_sequence: u64,
    stats: FeedStats,
}

/// The connection and stream of a feed.
#[derive(Debug)]
struct FeedConnection {
    connection: Connection,
    recv: RecvStream,
    first_sequence: u64,
}

impl Feed {
    /// Opens a feed, and retries up to [`FeedOptions::max_attempts`] times in total.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt, or [`Error::FeedGap`] if the feed does not start at
    /// the requested reading.
    pub async fn open(caller: Caller, options: FeedOptions) -> Result<Self> {
        let current = open_with_retry(&caller, &options, options.resume_from).await?;
        let next_sequence = options.resume_from.unwrap_or(current.first_sequence);
        let mut feed = Self {
            caller,
            options,
            current,
            next_sequence,
            stats: FeedStats::default(),
        };
        feed.check_start()?;
        Ok(feed)
    }

    /// Returns the next reading, or `None` when the backend server has ended the feed.
    ///
    /// A feed that moves or fails is reopened at the next reading, so that no reading is missed or
    /// repeated. This method is not cancel safe: the feed is unusable after its future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the feed can't be reopened, or a reading is missing or repeated.
    pub async fn next(&mut self) -> Result<Option<Reading>> {
        loop {
            match read_frame(&mut self.current.recv).await {
                Ok(AgentFrame::Reading { sequence, payload }) => {
                    return self.accept_reading(sequence, &payload).map(Some);
                }
                Ok(AgentFrame::GoAway) => {
                    self.stats.moves += 1;
                    self.reopen().await?;
                }
                Ok(AgentFrame::FeedEnd { next_sequence }) => return self.check_end(next_sequence),
                Ok(_) => return Err(Error::unexpected_frame("feed")),
                Err(_) => {
                    self.stats.disconnects += 1;
                    self.reopen().await?;
                }
            }
        }
    }

    /// Returns the counters of connection changes.
    pub const fn stats(&self) -> FeedStats {
        self.stats
    }

    /// Closes the connection of the feed.
    pub fn close(&self) {
        self.current.connection.close();
    }

    fn accept_reading(&mut self, sequence: u64, payload: &[u8]) -> Result<Reading> {
        if sequence != self.next_sequence {
            return Err(Error::FeedGap {
                expected: self.next_sequence,
                received: sequence,
            });
        }
        self.next_sequence += 1;
        Ok(Reading {
            sequence,
            payload: payload.into(),
        })
    }

    fn check_end(&self, next_sequence: u64) -> Result<Option<Reading>> {
        if next_sequence == self.next_sequence {
            Ok(None)
        } else {
            Err(Error::FeedGap {
                expected: self.next_sequence,
                received: next_sequence,
            })
        }
    }

    /// Opens a new connection at the next reading before it closes the old one.
    async fn reopen(&mut self) -> Result<()> {
        let current =
            open_with_retry(&self.caller, &self.options, Some(self.next_sequence)).await?;
        let old = std::mem::replace(&mut self.current, current);
        old.connection.close();
        self.check_start()
    }

    fn check_start(&mut self) -> Result<()> {
        let received = self.current.first_sequence;
        if received == self.next_sequence {
            Ok(())
        } else {
            Err(Error::FeedGap {
                expected: self.next_sequence,
                received,
            })
        }
    }
}

async fn open_with_retry(
    caller: &Caller,
    options: &FeedOptions,
    resume_from: Option<u64>,
) -> Result<FeedConnection> {
    let mut attempt = 1;
    loop {
        match open_once(caller, options, resume_from).await {
            Ok(current) => return Ok(current),
            Err(error) if attempt >= options.max_attempts => return Err(error),
            Err(_) => tokio::time::sleep(options.retry_delay).await,
        }
        attempt += 1;
    }
}

async fn open_once(
    caller: &Caller,
    options: &FeedOptions,
    resume_from: Option<u64>,
) -> Result<FeedConnection> {
    let connection = caller.connect(&options.endpoint, None).await?;
    let head = RequestHead {
        class: RequestClass::Feed,
        organisation: options.organisation.clone(),
        deadline: Duration::ZERO,
        ticket: None,
        reservation_serial: None,
        resume_from,
        body_len: ByteSize::new(0),
    };
    let (_send, mut recv) = connection.open_stream(&CallerFrame::Request(head)).await?;
    match read_frame(&mut recv).await? {
        AgentFrame::FeedOpen { first_sequence } => Ok(FeedConnection {
            connection,
            recv,
            first_sequence,
        }),
        AgentFrame::Response {
            outcome: cranberrypitch_core::Outcome::NotRun(reason),
            ..
        } => Err(Error::NotRun { reason }),
        _ => Err(Error::unexpected_frame("feed")),
    }
}
