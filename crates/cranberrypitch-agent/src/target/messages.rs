//! What the target actor is told and asked.

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

/// The end of a request, with the body of its answer.
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

/// What becomes of a submitted request.
#[derive(Debug)]
pub(crate) enum SubmitReply {
    /// It starts now and has to be finished with [`Finish`].
    Started,
    /// It does not start.
    Completed(Completion),
}

/// Submits a request.
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

/// What the end of a request says about the backend server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSample {
    /// It answered after this time.
    Responded(Duration),
    /// It could not be reached, broke off or answered with an error.
    Failed,
    /// It shed the request.
    Shed,
}

/// Reports the end of a request that was started.
#[derive(Debug)]
pub(crate) struct Finish {
    pub(crate) request: RequestId,
    pub(crate) health_sample: Option<HealthSample>,
    pub(crate) completion: Completion,
}

/// Withdraws a request whose caller has gone.
#[derive(Debug)]
pub(crate) struct CancelRequest(pub(crate) RequestId);

/// Asks for a ticket.
#[derive(Debug)]
pub(crate) struct IssueTicket;

/// Asks for the outcome of an order.
#[derive(Debug)]
pub(crate) struct QueryOrder(pub(crate) Ticket);

/// Asks for a connection; the reply is `None` if it may be taken.
#[derive(Debug)]
pub(crate) struct OpenConnection;

/// Gives a connection back.
#[derive(Debug)]
pub(crate) struct CloseConnection;

/// Begins the drain.
#[derive(Debug)]
pub(crate) struct Drain;

/// Passes on what the health endpoint of the backend server said.
#[derive(Debug)]
pub(crate) struct HealthProbeResult {
    pub(crate) is_ok: bool,
}

/// Puts other limits in force.
#[derive(Debug)]
pub(crate) struct Configure(pub(crate) AdmissionOptions);

/// Replaces the known peers, which are other agents of the service.
#[derive(Debug)]
pub(crate) struct SetPeers(pub(crate) Vec<SocketAddrV4>);

/// Notes a request that was refused before it was submitted.
#[derive(Debug)]
pub(crate) struct RecordRefusal {
    pub(crate) organisation: OrganisationId,
    pub(crate) class: RequestClass,
    pub(crate) reason: NotRunReason,
}

/// Sends the metrics, and logs what is due.
#[derive(Debug)]
pub(crate) struct SampleMetrics;

/// Asks for the times of requests since the last log line about them.
#[derive(Debug)]
pub(crate) struct GetRequestTimes;

/// Asks for state and load.
#[derive(Debug)]
pub(crate) struct GetStatus;

/// State and load of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// The state.
    pub state: TargetState,
    /// The load.
    pub load: TargetLoad,
    /// Feeds that are open.
    pub open_feeds: u32,
    /// The time until a draining agent may exit, once nothing is left.
    pub time_until_exit: Option<Duration>,
}

impl TargetStatus {
    /// Returns whether nothing waits or runs any more.
    pub const fn is_idle(&self) -> bool {
        self.load.running == 0 && self.load.waiting == 0 && self.open_feeds == 0
    }
}
