//! Orders, which run at most once whatever happens to the caller's connection.

use std::time::Duration;

use cranberrypitch_core::{ByteSize, OrganisationId, Outcome, RequestClass, Reservation};
use cranberrypitch_proto::request::{IssuedTicket, RequestHead};

use crate::attempts::Next;
use crate::client::{Caller, Connection, Response, ServiceEndpoint};
use crate::errors::Result;

/// How long a caller waits before it asks again for an order that still runs.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What an order is placed with.
#[derive(Clone, Debug)]
pub struct OrderOptions {
    /// The service.
    pub endpoint: ServiceEndpoint,
    /// The organisation that orders.
    pub organisation: OrganisationId,
    /// The time within which the order must start.
    pub deadline: Duration,
    /// How long the caller waits for the outcome of an order that may have started.
    pub response_timeout: Duration,
}

/// How an order ended, as far as the caller can tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReport {
    /// How it ended: `Done`, `NotRun`, `Failed` or `Unknown`.
    pub outcome: Outcome,
    /// The answer of the backend server.
    pub response_body: Vec<u8>,
    /// The last ticket used, to ask again with.
    pub ticket: Option<IssuedTicket>,
    /// Attempts that were made.
    pub attempts: u32,
}

/// Places an order. It is sent again only after an agent has stated that it was not run.
pub async fn place_order(
    caller: &Caller,
    options: &OrderOptions,
    body: &[u8],
) -> Result<OrderReport> {
    // An order is never repeatable: it goes out again only after it was stated as not run.
    let mut attempts = caller.attempts(false, options.deadline);
    let mut redirect: Option<Reservation> = None;
    loop {
        let tried = try_once(caller, options, body, redirect.take(), attempts.remaining()).await;
        let (next, report) = match tried {
            Ok((response, ticket)) => {
                let next = attempts.after(&response.outcome).await;
                let report = OrderReport {
                    outcome: response.outcome,
                    response_body: response.body,
                    ticket: Some(ticket),
                    attempts: attempts.made(),
                };
                (next, Ok(report))
            }
            // No ticket was used, so nothing can have run.
            Err(error) => (attempts.after_unsent().await, Err(error)),
        };
        match next {
            Next::Attempt(reservation) => redirect = reservation,
            Next::Finish => return report,
        }
    }
}

/// Asks for the outcome of an order that was placed before; never runs it.
pub async fn query_order(
    caller: &Caller,
    endpoint: &ServiceEndpoint,
    ticket: &IssuedTicket,
    response_timeout: Duration,
) -> Response {
    let asked =
        tokio::time::timeout(response_timeout, ask_until_known(caller, endpoint, ticket)).await;
    asked.unwrap_or(Response {
        outcome: Outcome::Unknown,
        body: Vec::new(),
    })
}

async fn try_once(
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
    let answer = tokio::time::timeout(
        options.response_timeout,
        connection.send_request(head, body),
    )
    .await;
    let response = match answer {
        Ok(Ok(response)) if response.outcome != Outcome::StillRunning => response,
        // The order may have run: only the agent that holds the ticket can tell.
        _ => query_order(caller, &options.endpoint, &issued, options.response_timeout).await,
    };
    connection.close();
    Ok((response, issued))
}

async fn ask_until_known(
    caller: &Caller,
    endpoint: &ServiceEndpoint,
    ticket: &IssuedTicket,
) -> Response {
    loop {
        let asked = ask_once(caller, endpoint, ticket).await;
        match asked {
            Ok(response) if response.outcome != Outcome::StillRunning => return response,
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn ask_once(
    caller: &Caller,
    endpoint: &ServiceEndpoint,
    ticket: &IssuedTicket,
) -> Result<Response> {
    let connection: Connection = caller.connect(endpoint, Some(ticket.token)).await?;
    let response = connection.query_order(ticket.ticket).await;
    connection.close();
    response
}
