//! Admitted requests, which run at the backend server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrypitch_core::ids::RequestId;
use cranberrypitch_core::{ByteSize, NotRunReason, Outcome, TargetState};
use cranberrypitch_proto::request::{AgentFrame, encode_frame};
use kameo::actor::ActorRef;
use quinn::{SendStream, VarInt};
use tokio::sync::watch;

use crate::backend::{
    BackendError, BackendResponse, BackendServer, FailureCause, FeedSource, RequestInfo,
};
use crate::body::StreamBody;
use crate::target::{Completion, Finish, HealthSample, TargetActor};

/// The QUIC error code that resets a feed's stream when the backend server has interrupted the
/// feed.
const FEED_INTERRUPTED_CODE: VarInt = VarInt::from_u32(1);

/// An admitted request, which occupies a slot or a connection of the backend server.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    pub(crate) id: RequestId,
    pub(crate) info: RequestInfo,
    pub(crate) target: ActorRef<TargetActor>,
}

impl RunningRequest {
    async fn finish(
        self,
        completion: Completion,
        health_sample: Option<HealthSample>,
    ) -> Completion {
        let finish = Finish {
            request: self.id,
            health_sample,
            completion: completion.clone(),
        };
        let _sent = self.target.tell(finish).await;
        completion
    }
}

/// Runs an order to completion even if the caller disconnects; the caller can query the outcome
/// with the ticket.
pub(crate) async fn run_order<B: BackendServer + 'static>(
    backend: Arc<B>,
    order: RunningRequest,
    body: Bytes,
) -> Completion {
    let task = tokio::spawn(async move {
        let started_at = Instant::now();
        let result = backend.order(&order.info, body).await;
        let health_sample = health_sample_of(&result, started_at.elapsed());
        order.finish(completion_of(result), health_sample).await
    });
    task.await
        .unwrap_or_else(|_panicked| Completion::without_body(Outcome::Unknown))
}

/// Forwards an upload to the backend server.
pub(crate) async fn run_upload<B: BackendServer>(
    backend: &B,
    upload: RunningRequest,
    body_len: ByteSize,
    body: StreamBody,
) -> Completion {
    let started_at = Instant::now();
    let result = backend.upload(&upload.info, body_len, body).await;
    let health_sample = health_sample_of(&result, started_at.elapsed());
    upload.finish(completion_of(result), health_sample).await
}

/// Returns the health sample of a result, if it is one: a request that its caller interrupted, or
/// whose deadline passed before it was sent, does not count against the backend server.
fn health_sample_of(
    result: &Result<BackendResponse, BackendError>,
    latency: Duration,
) -> Option<HealthSample> {
    match result {
        Ok(_) => Some(HealthSample::Responded(latency)),
        Err(
            BackendError::NotRun {
                cause: FailureCause::BodySource { .. } | FailureCause::DeadlineExceeded,
            }
            | BackendError::OutcomeUnknown {
                cause: FailureCause::BodySource { .. },
            },
        ) => None,
        Err(BackendError::NotRun {
            cause: FailureCause::Refused { .. },
        }) => Some(HealthSample::Shed),
        Err(_) => Some(HealthSample::Failed),
    }
}

fn completion_of(result: Result<BackendResponse, BackendError>) -> Completion {
    match result {
        Ok(response) => Completion {
            outcome: Outcome::Done,
            body: response.body.as_ref().into(),
        },
        Err(BackendError::NotRun { .. }) => Completion::not_run(NotRunReason::BackendUnavailable),
        Err(BackendError::Failed { body, .. }) => Completion {
            outcome: Outcome::Failed,
            body: body.as_ref().into(),
        },
        Err(BackendError::OutcomeUnknown { .. }) => Completion::without_body(Outcome::Unknown),
    }
}

/// Forwards a feed until the caller or the backend server closes it.
pub(crate) async fn run_feed<B: BackendServer>(
    backend: &B,
    request: RunningRequest,
    resume_from: Option<u64>,
    mut send: SendStream,
    mut state: watch::Receiver<TargetState>,
) {
    let outcome = match backend.feed(&request.info, resume_from).await {
        Ok(feed) => {
            let is_complete = forward_readings(feed, &mut send, &mut state).await;
            if is_complete {
                Outcome::Done
            } else {
                Outcome::Failed
            }
        }
        Err(error) => {
            let completion = completion_of(Err(error));
            let frame = AgentFrame::Response {
                outcome: completion.outcome.clone(),
                body_len: ByteSize::new(0),
            };
            let _sent = write_frame(&mut send, &frame).await;
            completion.outcome
        }
    };
    let _closed = send.finish();
    request
        .finish(Completion::without_body(outcome), None)
        .await;
}

/// Returns true if the feed was complete or the caller closed it, and false if the backend server
/// interrupted it.
async fn forward_readings<F: FeedSource>(
    mut feed: F,
    send: &mut SendStream,
    state: &mut watch::Receiver<TargetState>,
) -> bool {
    let open = AgentFrame::FeedOpen {
        first_sequence: feed.next_sequence(),
    };
    if !write_frame(send, &open).await {
        return true;
    }
    let mut has_sent_go_away = false;
    loop {
        if !has_sent_go_away && *state.borrow_and_update() == TargetState::Draining {
            has_sent_go_away = true;
            if !write_frame(send, &AgentFrame::GoAway).await {
                return true;
            }
        }
        let is_open = tokio::select! {
            reading = feed.next_reading() => match reading {
                Ok(Some(reading)) => {
                    let frame = AgentFrame::Reading {
                        sequence: reading.sequence,
                        payload: reading.payload,
                    };
                    write_frame(send, &frame).await
                }
                Ok(None) => {
                    let next_sequence = feed.next_sequence();
                    return write_frame(send, &AgentFrame::FeedEnd { next_sequence }).await;
                }
                Err(_) => {
                    // The caller reopens the feed at the next reading.
                    let _reset = send.reset(FEED_INTERRUPTED_CODE);
                    return false;
                }
            },
            _closed = send.stopped() => false,
            changed = state.changed(), if !has_sent_go_away => changed.is_ok(),
        };
        if !is_open {
            return true;
        }
    }
}

async fn write_frame(send: &mut SendStream, frame: &AgentFrame) -> bool {
    match encode_frame(frame) {
        Ok(bytes) => send.write_all(&bytes).await.is_ok(),
        Err(_) => false,
    }
}
