//! The QUIC server, which accepts callers' connections and serves the requests on their streams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use cranberrypitch_core::RoutingToken;
use cranberrypitch_core::config::ClassLimits;
use cranberrypitch_core::ids::RequestId;
use cranberrypitch_core::{
    ByteSize, Incarnation, NotRunReason, Outcome, RequestClass, TargetState,
};
use cranberrypitch_proto::request::{
    AgentFrame, CallerFrame, PREFIX_LEN_BYTES, RequestHead, decode_frame, encode_frame, frame_len,
};
use kameo::actor::ActorRef;
use quinn::{Endpoint, Incoming, RecvStream, SendStream};
use tokio::sync::{oneshot, watch};

use crate::backend::{self, BackendServer, RequestInfo};
use crate::body::StreamBody;
use crate::refused_callers::RefusedCallers;
use crate::running_request::{RunningRequest, run_feed, run_order, run_upload};
use crate::target::{
    CancelRequest, CloseConnection, Completion, IssueTicket, OpenConnection, QueryOrder,
    RecordRefusal, Submit, SubmitReply, TargetActor,
};
use crate::token_issuer::TokenIssuer;

/// The maximum length of the body of an order.
const MAX_ORDER_BODY_BYTES: u64 = 1024 * 1024;

/// How long an agent waits for a caller to acknowledge a complete response.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an agent waits for the first frame of a stream.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// The limits of the served classes, which are absent until a configuration is in force.
pub(crate) type ServedClasses = ArcSwapOption<BTreeMap<RequestClass, ClassLimits>>;

/// The state that all connections share.
#[derive(Debug)]
pub(crate) struct Server<B> {
    pub(crate) backend: Arc<B>,
    pub(crate) target: ActorRef<TargetActor>,
    pub(crate) state: watch::Receiver<TargetState>,
    pub(crate) issuer: TokenIssuer,
    pub(crate) refused_callers: Arc<RefusedCallers>,
    pub(crate) incarnation: Incarnation,
    pub(crate) response_timeout: Duration,
    pub(crate) classes: Arc<ServedClasses>,
    pub(crate) next_request_id: AtomicU64,
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
        if self.must_refuse(&incoming) {
            incoming.refuse();
            return;
        }
        let has_token = self.has_routing_token(&incoming);
        if !has_token && incoming.may_retry() && *self.state.borrow() != TargetState::Draining {
            // Copies of a first packet may reach several agents. Without a retry, all of them would
            // reply with keys that are derived from the same connection ID of the caller, and the
            // caller would acknowledge packets of one agent to another, which closes the
            // connection. A retry gives each agent its own connection ID and thus its own keys, and
            // the caller follows only one of the retries.
            let _sent = incoming.retry();
            return;
        }
        let refusal = self.target.ask(OpenConnection).await;
        match refusal {
            Ok(None) => {}
            // Queries for the outcome of an order are served during a drain as well.
            Ok(Some(NotRunReason::Draining)) if has_token => {
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

    /// Returns whether a balancer has no target for the connection outside evacuated failure domains.
    fn must_refuse(&self, incoming: &Incoming) -> bool {
        match incoming.remote_address() {
            SocketAddr::V4(caller) => self.refused_callers.take(caller),
            SocketAddr::V6(_) => false,
        }
    }

    /// Returns whether the caller has addressed this agent by a routing token.
    fn has_routing_token(&self, incoming: &Incoming) -> bool {
        RoutingToken::decode(&incoming.orig_dst_cid(), &self.issuer.token_keys()).is_ok()
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
        let frame = tokio::time::timeout(FRAME_TIMEOUT, read_frame(&mut recv)).await;
        let Ok(Some(frame)) = frame else { return };
        match frame {
            CallerFrame::IssueTicket => {
                let issued = self.target.ask(IssueTicket).await.ok().flatten();
                let frame = issued.map_or_else(
                    || response_frame(&Completion::not_run(NotRunReason::Draining)),
                    AgentFrame::Ticket,
                );
                send_final_frame(&mut send, &frame, &[]).await;
            }
            CallerFrame::QueryOrder(ticket) => {
                let completion = self.target.ask(QueryOrder(ticket)).await.ok().flatten();
                let completion =
                    completion.unwrap_or_else(|| Completion::without_body(Outcome::Unknown));
                send_response(&mut send, &completion).await;
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
        if let Err(reason) = self.apply_class_limits(&mut head) {
            self.record_refusal(&head, reason).await;
            send_response(&mut send, &Completion::not_run(reason)).await;
            return;
        }
        let id = RequestId::new(self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let running = |info| RunningRequest {
            id,
            info,
            target: self.target.clone(),
        };
        match head.class {
            RequestClass::Feed => {
                let completion = self.submit(id, &head, &mut send).await;
                if let Some(completion) = completion {
                    send_response(&mut send, &completion).await;
                    return;
                }
                let feed = running(self.request_info(id, &head));
                run_feed(
                    &*self.backend,
                    feed,
                    head.resume_from,
                    send,
                    self.state.clone(),
                )
                .await;
            }
            RequestClass::Order => {
                let Some(body) = read_order_body(&mut recv, head.body_len).await else {
                    self.record_refusal(&head, NotRunReason::Invalid).await;
                    send_response(&mut send, &Completion::not_run(NotRunReason::Invalid)).await;
                    return;
                };
                let completion = if let Some(completion) = self.submit(id, &head, &mut send).await {
                    completion
                } else {
                    let order = running(self.request_info(id, &head));
                    run_order(Arc::clone(&self.backend), order, body.into()).await
                };
                send_response(&mut send, &completion).await;
            }
            RequestClass::Upload => {
                let completion = if let Some(completion) = self.submit(id, &head, &mut send).await {
                    completion
                } else {
                    let body = StreamBody::new(recv, head.body_len);
                    let upload = running(self.request_info(id, &head));
                    run_upload(&*self.backend, upload, head.body_len, body).await
                };
                send_response(&mut send, &completion).await;
            }
        }
    }

    /// Submits a request and waits until it is admitted. Returns its completion if it is not
    /// started.
    async fn submit(
        &self,
        request: RequestId,
        head: &RequestHead,
        send: &mut SendStream,
    ) -> Option<Completion> {
        let (reply, response) = oneshot::channel();
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
            return Some(Completion::not_run(NotRunReason::BackendUnavailable));
        }
        tokio::pin!(response);
        let reply = tokio::select! {
            reply = &mut response => reply,
            _stopped = send.stopped() => {
                let _sent = self.target.tell(CancelRequest(request)).await;
                response.await
            }
        };
        match reply {
            Ok(SubmitReply::Started) => None,
            Ok(SubmitReply::Completed(completion)) => Some(completion),
            // The target actor has stopped, so the request can no longer start.
            Err(_) => Some(Completion::not_run(NotRunReason::BackendUnavailable)),
        }
    }

    async fn record_refusal(&self, head: &RequestHead, reason: NotRunReason) {
        let refusal = RecordRefusal {
            organisation: head.organisation.clone(),
            class: head.class,
            reason,
        };
        // The agent exits if its target actor has stopped.
        let _sent = self.target.tell(refusal).await;
    }

    /// Checks a request against the limits of its class, and caps its deadline.
    fn apply_class_limits(&self, head: &mut RequestHead) -> Result<(), NotRunReason> {
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

    fn request_info(&self, id: RequestId, head: &RequestHead) -> RequestInfo {
        let backend_id = (u128::from(self.incarnation.get()) << 64) | u128::from(id.get());
        RequestInfo {
            id: backend::BackendRequestId::new(backend_id),
            organisation: head.organisation.clone(),
            start_timeout: admission_deadline(head),
            response_timeout: self.response_timeout,
        }
    }
}

/// Returns the time within which a request must be admitted. Feeds are not queued, so any deadline
/// that has not passed will do.
fn admission_deadline(head: &RequestHead) -> Duration {
    const FEED_START_TIMEOUT: Duration = Duration::from_secs(5);
    match head.class {
        RequestClass::Feed => FEED_START_TIMEOUT,
        RequestClass::Order | RequestClass::Upload => head.deadline,
    }
}

async fn read_frame(recv: &mut RecvStream) -> Option<CallerFrame> {
    let mut prefix = [0; PREFIX_LEN_BYTES];
    recv.read_exact(&mut prefix).await.ok()?;
    let mut body = vec![0; frame_len(prefix).ok()?];
    recv.read_exact(&mut body).await.ok()?;
    decode_frame(&body).ok()
}

async fn read_order_body(recv: &mut RecvStream, body_len: ByteSize) -> Option<Vec<u8>> {
    if body_len.get() > MAX_ORDER_BODY_BYTES {
        return None;
    }
    let mut body = vec![0; usize::try_from(body_len.get()).ok()?];
    recv.read_exact(&mut body).await.ok()?;
    Some(body)
}

fn response_frame(completion: &Completion) -> AgentFrame {
    AgentFrame::Response {
        outcome: completion.outcome.clone(),
        body_len: ByteSize::new(completion.body.len() as u64),
    }
}

async fn send_response(send: &mut SendStream, completion: &Completion) {
    send_final_frame(send, &response_frame(completion), &completion.body).await;
}

/// Sends the last frame of a stream and waits until the caller has acknowledged it.
async fn send_final_frame(send: &mut SendStream, frame: &AgentFrame, body: &[u8]) {
    let Ok(bytes) = encode_frame(frame) else {
        return;
    };
    // A caller that has disconnected queries the outcome later.
    if send.write_all(&bytes).await.is_ok()
        && send.write_all(body).await.is_ok()
        && send.finish().is_ok()
    {
        let _delivered = tokio::time::timeout(DELIVERY_TIMEOUT, send.stopped()).await;
    }
}
