//! A feed that follows its readings over connections and targets without a gap.

use cranberrypitch_core::{ByteSize, OrganisationId, RequestClass};
use cranberrypitch_proto::request::{AgentFrame, CallerFrame, RequestHead};
use quinn::RecvStream;
use std::time::Duration;

use crate::client::{Caller, Connection, ServiceEndpoint, read_frame};
use crate::errors::{Error, Result};

/// What a feed is opened with.
#[derive(Clone, Debug)]
pub struct FeedOptions {
    /// The service.
    pub endpoint: ServiceEndpoint,
    /// The organisation that reads.
    pub organisation: OrganisationId,
    /// The first reading wanted; without it the feed starts with the newest.
    pub resume_from: Option<u64>,
    /// How often a broken or moved feed is opened again before the caller gives up.
    pub max_attempts: u32,
    /// The pause after a failed attempt.
    pub retry_delay: Duration,
}

/// A reading of a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The number of the reading.
    pub sequence: u64,
    /// The reading.
    pub payload: Box<[u8]>,
}

/// How a feed has fared so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedStats {
    /// Times that the feed moved because its target was draining.
    pub moves: u32,
    /// Times that the connection broke without notice.
    pub disconnects: u32,
}

/// An open feed.
#[derive(Debug)]
pub struct Feed {
    caller: Caller,
    options: FeedOptions,
    flow: Flow,
    next_sequence: u64,
    stats: FeedStats,
}

#[derive(Debug)]
struct Flow {
    connection: Connection,
    recv: RecvStream,
    first_sequence: u64,
}

impl Feed {
    /// Opens a feed.
    pub async fn open(caller: Caller, options: FeedOptions) -> Result<Self> {
        let flow = open_with_retry(&caller, &options, options.resume_from).await?;
        let next_sequence = options.resume_from.unwrap_or(flow.first_sequence);
        let mut feed = Self {
            caller,
            options,
            flow,
            next_sequence,
            stats: FeedStats::default(),
        };
        feed.check_start()?;
        Ok(feed)
    }

    /// Returns the next reading, or `None` when the feed has ended as a whole.
    ///
    /// A moved or broken feed is opened again at the reading that comes next, so that none is
    /// missed and none is repeated.
    pub async fn next(&mut self) -> Result<Option<Reading>> {
        loop {
            match read_frame(&mut self.flow.recv).await {
                Ok(AgentFrame::Reading { sequence, payload }) => {
                    return self.take(sequence, &payload).map(Some);
                }
                Ok(AgentFrame::Move) => {
                    self.stats.moves += 1;
                    self.reopen().await?;
                }
                Ok(AgentFrame::FeedEnd { next_sequence }) => return self.end(next_sequence),
                Ok(_) => return Err(Error::unexpected_frame("feed")),
                Err(_) => {
                    self.stats.disconnects += 1;
                    self.reopen().await?;
                }
            }
        }
    }

    /// Returns how the feed has fared so far.
    pub const fn stats(&self) -> FeedStats {
        self.stats
    }

    /// Closes the feed.
    pub fn close(&self) {
        self.flow.connection.close();
    }

    fn take(&mut self, sequence: u64, payload: &[u8]) -> Result<Reading> {
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

    fn end(&self, next_sequence: u64) -> Result<Option<Reading>> {
        if next_sequence == self.next_sequence {
            Ok(None)
        } else {
            Err(Error::FeedGap {
                expected: self.next_sequence,
                received: next_sequence,
            })
        }
    }

    /// Opens the new flow first and closes the old one afterwards.
    async fn reopen(&mut self) -> Result<()> {
        let flow = open_with_retry(&self.caller, &self.options, Some(self.next_sequence)).await?;
        let old = std::mem::replace(&mut self.flow, flow);
        old.connection.close();
        self.check_start()
    }

    fn check_start(&mut self) -> Result<()> {
        let received = self.flow.first_sequence;
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
) -> Result<Flow> {
    let mut attempt = 1;
    loop {
        match open_once(caller, options, resume_from).await {
            Ok(flow) => return Ok(flow),
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
) -> Result<Flow> {
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
    let (_send, mut recv) = connection.start(&CallerFrame::Request(head)).await?;
    match read_frame(&mut recv).await? {
        AgentFrame::FeedOpen { first_sequence } => Ok(Flow {
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
