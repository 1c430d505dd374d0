//! Requests that were admitted, at the backend server.

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
use crate::target::{Ended, Finish, HealthSample, TargetActor};

/// The code with which a feed is reset that its backend server has broken off.
const FEED_BROKEN: VarInt = VarInt::from_u32(1);

/// A request that holds a slot or a connection of the backend server.
#[derive(Debug)]
pub(crate) struct Started {
    pub(crate) id: RequestId,
    pub(crate) info: RequestInfo,
    pub(crate) target: ActorRef<TargetActor>,
}

impl Started {
    async fn finish(self, ended: Ended, health_sample: Option<HealthSample>) -> Ended {
        let finish = Finish {
            request: self.id,
            health_sample,
            ended: ended.clone(),
        };
        let _sent = self.target.tell(finish).await;
        ended
    }
}

/// Runs an order to its end, also when the caller has gone: its ticket finds the outcome.
pub(crate) async fn run_order<B: BackendServer + 'static>(
    backend: Arc<B>,
    order: Started,
    body: Bytes,
) -> Ended {
    let run = tokio::spawn(async move {
        let since = Instant::now();
        let result = backend.order(&order.info, body).await;
        let health_sample = health_sample_of(&result, since.elapsed());
        order.finish(ended_by(result), health_sample).await
    });
    run.await
        .unwrap_or_else(|_panicked| Ended::without_body(Outcome::Unknown))
}

/// Passes an upload on.
pub(crate) async fn run_upload<B: BackendServer>(
    backend: &B,
    upload: Started,
    body_len: ByteSize,
    body: StreamBody,
) -> Ended {
    let since = Instant::now();
    let result = backend.upload(&upload.info, body_len, body).await;
    let health_sample = health_sample_of(&result, since.elapsed());
    upload.finish(ended_by(result), health_sample).await
}

/// Returns what a result says about the backend server, if it says anything: a caller that broke
/// its request off does not count against it.
fn health_sample_of(
    result: &Result<BackendResponse, BackendError>,
    latency: Duration,
) -> Option<HealthSample> {
    match result {
        Ok(_) => Some(HealthSample::Answered(latency)),
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

fn ended_by(result: Result<BackendResponse, BackendError>) -> Ended {
    match result {
        Ok(answer) => Ended {
            outcome: Outcome::Done,
            body: answer.body.as_ref().into(),
        },
        Err(BackendError::NotRun { .. }) => Ended::not_run(NotRunReason::BackendUnavailable),
        Err(BackendError::Failed { body, .. }) => Ended {
            outcome: Outcome::Failed,
            body: body.as_ref().into(),
        },
        Err(BackendError::OutcomeUnknown { .. }) => Ended::without_body(Outcome::Unknown),
    }
}

/// Passes a feed on until either end closes it.
pub(crate) async fn run_feed<B: BackendServer>(
    backend: &B,
    started: Started,
    resume_from: Option<u64>,
    mut send: SendStream,
    mut state: watch::Receiver<TargetState>,
) {
    let outcome = match backend.feed(&started.info, resume_from).await {
        Ok(feed) => {
            let is_whole = pass_readings(feed, &mut send, &mut state).await;
            if is_whole {
                Outcome::Done
            } else {
                Outcome::Failed
            }
        }
        Err(error) => {
            let ended = ended_by(Err(error));
            let frame = AgentFrame::Response {
                outcome: ended.outcome.clone(),
                body_len: ByteSize::new(0),
            };
            let _sent = write_frame(&mut send, &frame).await;
            ended.outcome
        }
    };
    let _closed = send.finish();
    started.finish(Ended::without_body(outcome), None).await;
}

/// Returns whether the feed ended as a whole or at the caller's wish.
async fn pass_readings<F: FeedSource>(
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
    let mut has_told_move = false;
    loop {
        if !has_told_move && *state.borrow_and_update() == TargetState::Draining {
            has_told_move = true;
            if !write_frame(send, &AgentFrame::Move).await {
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
                    // The caller opens the feed again at the reading that comes next.
                    let _reset = send.reset(FEED_BROKEN);
                    return false;
                }
            },
            _closed = send.stopped() => false,
            changed = state.changed(), if !has_told_move => changed.is_ok(),
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
