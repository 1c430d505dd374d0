//! The messages and replies of the target actor.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::admission::AdmissionOptions;
use cranberrypitch_core::ids::RequestId;
use cranberrypitch_core::orders::Ticket;
use cranberrypitch_core::{
    NotRunReason, OrganisationId, Outcome, RequestClass, TargetLoad, TargetState,
};
use tokio::sync::oneshot;

/// The outcome of a request and the body of its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Completion {
    pub(crate) outcome: Outcome,
    pub(crate) body: Arc<[u8]>,
}

impl Completion {
    pub(crate) fn without_body(outcome: Outcome) -> Self {
        Self {
            outcome,
            body: Arc::default(),
        }
    }

    pub(crate) fn not_run(reason: NotRunReason) -> Self {
        Self::without_body(Outcome::NotRun(reason))
    }
}

/// The reply to [`Submit`].
#[derive(Debug)]
pub(crate) enum SubmitReply {
    /// The request starts now; its end must be reported by [`Finish`].
    Started,
    /// The request is not started.
    Completed(Completion),
}

/// Submits a request to admission.
#[derive(Debug)]
pub(crate) struct Submit {
    pub(crate) request: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) class: RequestClass,
    pub(crate) deadline: Duration,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) reservation: Option<u64>,
    pub(crate) reply: oneshot::Sender<SubmitReply>,
}

/// A sample of the backend server's health, taken at the end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSample {
    /// It responded after this time.
    Responded(Duration),
    /// It was unreachable, closed the connection or returned an error.
    Failed,
    /// It refused the request because of overload.
    Shed,
}

/// Reports the end of a request that was started.
#[derive(Debug)]
pub(crate) struct Finish {
    pub(crate) request: RequestId,
    pub(crate) health_sample: Option<HealthSample>,
    pub(crate) completion: Completion,
}

/// Cancels a request whose caller has disconnected.
#[derive(Debug)]
pub(crate) struct CancelRequest(pub(crate) RequestId);

/// Issues an order ticket. The reply is `None` during a drain.
#[derive(Debug)]
pub(crate) struct IssueTicket;

/// Queries the outcome of an order.
#[derive(Debug)]
pub(crate) struct QueryOrder(pub(crate) Ticket);

/// Requests admission of a connection. The reply is the reason of a refusal, or `None`.
#[derive(Debug)]
pub(crate) struct OpenConnection;

/// Releases an admitted connection.
#[derive(Debug)]
pub(crate) struct CloseConnection;

/// Begins the drain.
#[derive(Debug)]
pub(crate) struct Drain;

/// Reports the result of a probe of the backend server's health endpoint.
#[derive(Debug)]
pub(crate) struct HealthProbeResult {
    pub(crate) is_ok: bool,
}

/// Applies new admission limits.
#[derive(Debug)]
pub(crate) struct Configure(pub(crate) AdmissionOptions);

/// Replaces the known peers, which are the other agents of the service.
#[derive(Debug)]
pub(crate) struct SetPeers(pub(crate) Vec<SocketAddrV4>);

/// Records a request that was refused before it was submitted.
#[derive(Debug)]
pub(crate) struct RecordRefusal {
    pub(crate) organisation: OrganisationId,
    pub(crate) class: RequestClass,
    pub(crate) reason: NotRunReason,
}

/// Samples the metrics, and writes the log lines that are due.
#[derive(Debug)]
pub(crate) struct SampleMetrics;

/// Gets the queueing and service times of requests since they were last logged.
#[derive(Debug)]
pub(crate) struct GetRequestTimes;

/// Gets the state and load of the target.
#[derive(Debug)]
pub(crate) struct GetStatus;

/// The state and load of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// The life-cycle state that balancers receive.
    pub state: TargetState,
    /// The load: slots, running and waiting requests, connections.
    pub load: TargetLoad,
    /// The number of open feeds.
    pub open_feeds: u32,
    /// The time until a draining agent may exit if no further request arrives; `None` while
    /// requests or feeds remain.
    pub time_until_exit: Option<Duration>,
}

impl TargetStatus {
    /// Returns whether no request is running or waiting and no feed is open.
    pub const fn is_idle(&self) -> bool {
        self.load.running == 0 && self.load.waiting == 0 && self.open_feeds == 0
    }
}
