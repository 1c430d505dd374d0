//! Orders, which run at most once even if the caller's connection fails.

use std::time::Duration;

use cranberrypitch_core::{ByteSize, OrganisationId, Outcome, RequestClass, Reservation};
use cranberrypitch_proto::request::{IssuedTicket, RequestHead};

use crate::attempts::NextStep;
use crate::client::{Caller, Connection, Response, ServiceEndpoint};
use crate::errors::Result;

/// The interval of queries for an order that is still running.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The options of an order.
#[derive(Clone, Debug)]
pub struct OrderOptions {
    /// The service that runs the order.
    pub endpoint: ServiceEndpoint,
    /// The organisation of the caller.
    pub organisation: OrganisationId,
    /// The time within which the order must start.
    pub deadline: Duration,
    /// How long the caller waits for the outcome of an order that may have started.
    pub response_timeout: Duration,
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReport {
    /// The outcome, which is `Done`, `NotRun`, `Failed` or `Unknown`.
    pub outcome: Outcome,
    /// The body of the response of the backend server.
    pub response_body: Vec<u8>,
    /// The last ticket used, by which the outcome can be queried later.
    pub ticket: Option<IssuedTicket>,
    /// The number of attempts.
    pub attempts: u32,
}

/// Places an order. It is sent again only after an agent has confirmed that it was not run.
///
/// # Errors
///
/// Returns the error of the last attempt if that attempt failed before the order was sent.
pub async fn place_order(
    caller: &Caller,
    options: &OrderOptions,
    body: &[u8],
) -> Result<OrderReport> {
    // Orders are not repeatable: they are sent again only if they were reported as not run.
    let mut attempts = caller.attempts(false, options.deadline);
    let mut redirect: Option<Reservation> = None;
    loop {
        let result = attempt(caller, options, body, redirect.take(), attempts.remaining()).await;
        let (next, report) = match result {
            Ok((response, ticket)) => {
                let next = attempts.next_after(&response.outcome).await;
                let report = OrderReport {
                    outcome: response.outcome,
                    response_body: response.body,
                    ticket: Some(ticket),
                    attempts: attempts.count(),
                };
                (next, Ok(report))
            }
            // No ticket was used, so the order was not run.
            Err(error) => (attempts.next_after_unsent().await, Err(error)),
        };
        match next {
            NextStep::Attempt(reservation) => redirect = reservation,
            NextStep::Finish => return report,
        }
    }
}

/// Queries the outcome of an earlier order until it is known or `response_timeout` has passed. The
/// order is never run by a query.
pub async fn query_order(
    caller: &Caller,
    endpoint: &ServiceEndpoint,
    ticket: &IssuedTicket,
    response_timeout: Duration,
) -> Response {
    let response =
        tokio::time::timeout(response_timeout, poll_outcome(caller, endpoint, ticket)).await;
    response.unwrap_or(Response {
        outcome: Outcome::Unknown,
        body: Vec::new(),
    })
}

async fn attempt(
    caller: &Caller,
    options: &OrderOptions,
    body: &[u8],
    redirect: Option<Reservation>,
    remaining: Duration,
) -> Result<(Response, IssuedTicket)> {
    let connection = caller
        .connect(&options.endpoint, redirect.map(|r| r.token))
        .await?;
    let issued = connection.request_ticket().await?;
    let head = RequestHead {
        class: RequestClass::Order,
        organisation: options.organisation.clone(),
        deadline: remaining,
        ticket: Some(issued.ticket),
        reservation_serial: redirect.map(|r| r.serial),
        resume_from: None,
        body_len: ByteSize::new(body.len() as u64),
    };
    let result = tokio::time::timeout(
        options.response_timeout,
        connection.send_request(head, body),
    )
    .await;
    let response = match result {
        Ok(Ok(response)) if response.outcome != Outcome::StillRunning => response,
        // The order may have run, which only the agent that issued the ticket can determine.
        _ => query_order(caller, &options.endpoint, &issued, options.response_timeout).await,
    };
    connection.close();
    Ok((response, issued))
}

async fn poll_outcome(
    caller: &Caller,
    endpoint: &ServiceEndpoint,
    ticket: &IssuedTicket,
) -> Response {
    loop {
        let response = query_once(caller, endpoint, ticket).await;
        match response {
            Ok(response) if response.outcome != Outcome::StillRunning => return response,
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn query_once(
    caller: &Caller,
    endpoint: &ServiceEndpoint,
    ticket: &IssuedTicket,
) -> Result<Response> {
    let connection: Connection = caller.connect(endpoint, Some(ticket.token)).await?;
    let response = connection.query_order(ticket.ticket).await;
    connection.close();
    response
}
