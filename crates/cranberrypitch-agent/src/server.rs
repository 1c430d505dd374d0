//! The QUIC server: callers' connections, their streams, and the requests on them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use cranberrypitch_core::RoutingToken;
use cranberrypitch_core::config::ClassLimits;
use cranberrypitch_core::ids::RequestId;
use cranberrypitch_core::{ByteSize, Class, Incarnation, NotRunReason, Outcome, TargetState};
use cranberrypitch_proto::request::{
    AgentFrame, CallerFrame, PREFIX_LEN_BYTES, RequestHead, decode_frame, encode_frame, frame_len,
};
use kameo::actor::ActorRef;
use quinn::{Endpoint, Incoming, RecvStream, SendStream};
use tokio::sync::{oneshot, watch};

use crate::backend::{self, BackendServer, RequestInfo};
use crate::body::StreamBody;
use crate::ids::TokenIssuer;
use crate::run::{Started, run_feed, run_order, run_upload};
use crate::target::{
    Cancel, CloseConnection, Ended, IssueTicket, OpenConnection, QueryOrder, Refused, Submit,
    TargetActor, Verdict,
};

/// The longest body of an order.
const MAX_ORDER_BYTES: u64 = 1024 * 1024;

/// How long an agent waits for a caller to acknowledge the end of an answer.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the first frame of a stream may take.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// The limits of the classes that are served, once a configuration is in force.
pub(crate) type Classes = ArcSwapOption<BTreeMap<Class, ClassLimits>>;

/// What all connections share.
#[derive(Debug)]
pub(crate) struct Server<B> {
    pub(crate) backend: Arc<B>,
    pub(crate) target: ActorRef<TargetActor>,
    pub(crate) state: watch::Receiver<TargetState>,
    pub(crate) issuer: TokenIssuer,
    pub(crate) incarnation: Incarnation,
    pub(crate) response_timeout: Duration,
    pub(crate) classes: Arc<Classes>,
    pub(crate) next_request: AtomicU64,
    pub(crate) open_streams: AtomicUsize,
}

impl<B: BackendServer + 'static> Server<B> {
    /// Accepts connections until the endpoint closes.
    pub(crate) async fn run(self: Arc<Self>, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            tokio::spawn(Arc::clone(&self).serve_connection(incoming));
        }
    }

    async fn serve_connection(self: Arc<Self>, incoming: Incoming) {
        let is_query = self.comes_back(&incoming);
        if !is_query && incoming.may_retry() && *self.state.borrow() != TargetState::Draining {
            // Copies of a first packet may reach several agents, and all would answer with keys that
            // are derived from the caller's connection id: the caller would acknowledge packets of
            // one agent to the other, which ends the connection. A retry gives each agent an id,
            // and so keys, of its own, and the caller follows one of them.
            let _sent = incoming.retry();
            return;
        }
        let refusal = self.target.ask(OpenConnection).await;
        match refusal {
            Ok(None) => {}
            // A caller that asks for the outcome of its order is heard during a drain as well.
            Ok(Some(NotRunReason::Draining)) if is_query => {
                self.serve_streams(incoming).await;
                return;
            }
            _ => {
                incoming.refuse();
                return;
            }
        }
        self.serve_streams(incoming).await;
        let _sent = self.target.tell(CloseConnection).await;
    }

    /// Returns whether the caller has chosen this agent by a routing token.
    fn comes_back(&self, incoming: &Incoming) -> bool {
        RoutingToken::decode(&incoming.orig_dst_cid(), &self.issuer.keys()).is_ok()
    }

    async fn serve_streams(self: &Arc<Self>, incoming: Incoming) {
        let Ok(connection) = incoming.await else {
            return;
        };
        while let Ok((send, recv)) = connection.accept_bi().await {
            let server = Arc::clone(self);
            tokio::spawn(async move {
                server.open_streams.fetch_add(1, Ordering::AcqRel);
                server.serve_stream(send, recv).await;
                server.open_streams.fetch_sub(1, Ordering::AcqRel);
            });
        }
    }

    async fn serve_stream(&self, mut send: SendStream, mut recv: RecvStream) {
        let read = tokio::time::timeout(FRAME_TIMEOUT, read_frame(&mut recv)).await;
        let Ok(Some(frame)) = read else { return };
        match frame {
            CallerFrame::IssueTicket => {
                let issued = self.target.ask(IssueTicket).await.ok().flatten();
                let frame = issued.map_or_else(
                    || response(&Ended::not_run(NotRunReason::Draining)),
                    AgentFrame::Ticket,
                );
                send_last(&mut send, &frame, &[]).await;
            }
            CallerFrame::QueryOrder(ticket) => {
                let ended = self.target.ask(QueryOrder(ticket)).await.ok().flatten();
                let ended = ended.unwrap_or_else(|| Ended::without_body(Outcome::Unknown));
                send_response(&mut send, &ended).await;
            }
            CallerFrame::Request(head) => self.serve_request(head, send, recv).await,
        }
    }

    async fn serve_request(
        &self,
        mut head: RequestHead,
        mut send: SendStream,
        mut recv: RecvStream,
    ) {
        if let Err(reason) = self.limit(&mut head) {
            self.note_refused(&head, reason).await;
            send_response(&mut send, &Ended::not_run(reason)).await;
            return;
        }
        let id = RequestId::new(self.next_request.fetch_add(1, Ordering::Relaxed));
        let started = |info| Started {
            id,
            info,
            target: self.target.clone(),
        };
        match head.class {
            Class::Feed => {
                let verdict = self.submit(id, &head, &mut send).await;
                if let Some(ended) = verdict {
                    send_response(&mut send, &ended).await;
                    return;
                }
                let feed = started(self.info(id, &head));
                run_feed(
                    &*self.backend,
                    feed,
                    head.resume_from,
                    send,
                    self.state.clone(),
                )
                .await;
            }
            Class::Order => {
                let Some(body) = read_order(&mut recv, head.body_len).await else {
                    self.note_refused(&head, NotRunReason::Invalid).await;
                    send_response(&mut send, &Ended::not_run(NotRunReason::Invalid)).await;
                    return;
                };
                let ended = if let Some(ended) = self.submit(id, &head, &mut send).await {
                    ended
                } else {
                    let order = started(self.info(id, &head));
                    run_order(Arc::clone(&self.backend), order, body.into()).await
                };
                send_response(&mut send, &ended).await;
            }
            Class::Upload => {
                let ended = if let Some(ended) = self.submit(id, &head, &mut send).await {
                    ended
                } else {
                    let body = StreamBody::new(recv, head.body_len);
                    let upload = started(self.info(id, &head));
                    run_upload(&*self.backend, upload, head.body_len, body).await
                };
                send_response(&mut send, &ended).await;
            }
        }
    }

    /// Submits a request and waits for its turn. Returns how it ended if it does not start.
    async fn submit(
        &self,
        request: RequestId,
        head: &RequestHead,
        send: &mut SendStream,
    ) -> Option<Ended> {
        let (reply, verdict) = oneshot::channel();
        let submit = Submit {
            request,
            organisation: head.organisation.clone(),
            class: head.class,
            deadline: admission_deadline(head),
            ticket: head.ticket,
            reservation: head.reservation_serial,
            reply,
        };
        if self.target.tell(submit).await.is_err() {
            return Some(Ended::not_run(NotRunReason::BackendUnavailable));
        }
        tokio::pin!(verdict);
        let verdict = tokio::select! {
            verdict = &mut verdict => verdict,
            _gone = send.stopped() => {
                let _sent = self.target.tell(Cancel(request)).await;
                verdict.await
            }
        };
        match verdict {
            Ok(Verdict::Start) => None,
            Ok(Verdict::Answer(ended)) => Some(ended),
            // The target actor has ended, and with it every chance that the request starts.
            Err(_) => Some(Ended::not_run(NotRunReason::BackendUnavailable)),
        }
    }

    async fn note_refused(&self, head: &RequestHead, reason: NotRunReason) {
        let refused = Refused {
            organisation: head.organisation.clone(),
            class: head.class,
            reason,
        };
        // Without its target actor the agent ends anyway.
        let _sent = self.target.tell(refused).await;
    }

    /// Holds a request to the limits of its class.
    fn limit(&self, head: &mut RequestHead) -> Result<(), NotRunReason> {
        let Some(classes) = self.classes.load_full() else {
            return Ok(());
        };
        let limits = classes.get(&head.class).ok_or(NotRunReason::Invalid)?;
        if head.body_len > limits.body_limit {
            return Err(NotRunReason::Invalid);
        }
        head.deadline = head.deadline.min(limits.deadline);
        Ok(())
    }

    fn info(&self, id: RequestId, head: &RequestHead) -> RequestInfo {
        let number = (u128::from(self.incarnation.get()) << 64) | u128::from(id.get());
        RequestInfo {
            id: backend::BackendRequestId::new(number),
            organisation: head.organisation.clone(),
            start_timeout: admission_deadline(head),
            response_timeout: self.response_timeout,
        }
    }
}

/// A feed has no queue to wait in, so it only needs a time that has not passed.
fn admission_deadline(head: &RequestHead) -> Duration {
    const FEED_START: Duration = Duration::from_secs(5);
    match head.class {
        Class::Feed => FEED_START,
        Class::Order | Class::Upload => head.deadline,
    }
}

async fn read_frame(recv: &mut RecvStream) -> Option<CallerFrame> {
    let mut prefix = [0; PREFIX_LEN_BYTES];
    recv.read_exact(&mut prefix).await.ok()?;
    let mut body = vec![0; frame_len(prefix).ok()?];
    recv.read_exact(&mut body).await.ok()?;
    decode_frame(&body).ok()
}

async fn read_order(recv: &mut RecvStream, body_len: ByteSize) -> Option<Vec<u8>> {
    if body_len.get() > MAX_ORDER_BYTES {
        return None;
    }
    let mut body = vec![0; usize::try_from(body_len.get()).ok()?];
    recv.read_exact(&mut body).await.ok()?;
    Some(body)
}

fn response(ended: &Ended) -> AgentFrame {
    AgentFrame::Response {
        outcome: ended.outcome.clone(),
        body_len: ByteSize::new(ended.body.len() as u64),
    }
}

async fn send_response(send: &mut SendStream, ended: &Ended) {
    send_last(send, &response(ended), &ended.body).await;
}

/// Sends the last frame of a stream and waits until the caller has it.
async fn send_last(send: &mut SendStream, frame: &AgentFrame, body: &[u8]) {
    let Ok(bytes) = encode_frame(frame) else {
        return;
    };
    // A caller that has gone asks again for the outcome.
    if send.write_all(&bytes).await.is_ok()
        && send.write_all(body).await.is_ok()
        && send.finish().is_ok()
    {
        let _delivered = tokio::time::timeout(DELIVERY_TIMEOUT, send.stopped()).await;
    }
}
