//! The verb `order`, which places an order or queries the outcome of an earlier one.

use std::path::PathBuf;
use std::time::Duration;

use cranberrypitch_caller::{
    Caller, OrderOptions, OrderReport, Response, ServiceEndpoint, TicketText, place_order,
    query_order,
};
use cranberrypitch_core::OrganisationId;
use pico_args::Arguments;
use serde::Serialize;

use super::arguments::EndpointArguments;
use super::errors::{Error, Result};
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Places an order, which runs at most once, and prints its response. The ticket is printed on stderr:
with it, 'order --ask' queries the outcome later and never runs the order.

Usage: cranberrypitch order ENDPOINT --tenant NAME (--body FILE | --key TEXT) [OPTIONS]
       cranberrypitch order ENDPOINT --ask TICKET [OPTIONS]

Endpoint:
  --service NAME     the service, whose name the certificate of its agents must contain
  --address IP:PORT  an address of the service
  --ca FILE          the certificate authority that callers trust (PEM)

Options:
  --tenant NAME           the organisation of the caller
  --body FILE             the body of the order
  --key TEXT              sends the JSON object {\"key\": TEXT} as the body
  --ask TICKET            queries the outcome of an earlier order
  --deadline-ms N         the time within which the order must start [default: 10000]
  --answer-timeout-ms N   how long to wait for the outcome once it may have started [default: 30000]
  --json                  prints one JSON object with outcome, ticket and answer
  --help                  prints this text

Exit codes:
  0  done
  1  failed, or not run
  2  invalid arguments or an invalid file
  3  outcome unknown
";

/// The default time limit for the outcome of an order.
const DEFAULT_RESPONSE_TIMEOUT_MS: u64 = 30_000;

/// The action that the arguments select.
enum OrderAction {
    Place {
        organisation: OrganisationId,
        deadline: Duration,
        body: Vec<u8>,
    },
    Query(TicketText),
}

/// The JSON output.
#[derive(Serialize)]
struct OrderOutput {
    outcome: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
    #[serde(rename = "answer")]
    response_body: Box<str>,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let is_json = arguments.contains("--json");
    let service = EndpointArguments::parse(&mut arguments)?;
    let response_timeout = arguments::time_ms(
        &mut arguments,
        "--answer-timeout-ms",
        DEFAULT_RESPONSE_TIMEOUT_MS,
    )?;
    let action = OrderAction::parse(&mut arguments)?;
    arguments::finish(arguments)?;
    let report = arguments::block_on(async {
        let caller = service.caller()?;
        let report = action
            .run(&caller, service.endpoint, response_timeout)
            .await;
        caller.wait_idle().await;
        report
    })?;
    print(&report, is_json)?;
    Ok(output::status_of(&report.outcome))
}

impl OrderAction {
    fn parse(arguments: &mut Arguments) -> Result<Self> {
        let ask: Option<TicketText> = arguments::optional(arguments, "--ask")?;
        let file: Option<PathBuf> =
            arguments.opt_value_from_os_str("--body", arguments::to_path)?;
        let key: Option<String> = arguments::optional(arguments, "--key")?;
        let body = match (ask, file, key) {
            (Some(ticket), None, None) => return Ok(Self::Query(ticket)),
            (None, Some(file), None) => arguments::read(&file)?,
            (None, None, Some(key)) => serde_json::json!({ "key": key }).to_string().into(),
            _ => return Err(Error::usage("give one of --body, --key and --ask")),
        };
        Ok(Self::Place {
            organisation: arguments::organisation(arguments)?,
            deadline: arguments::deadline(arguments)?,
            body,
        })
    }

    async fn run(
        self,
        caller: &Caller,
        endpoint: ServiceEndpoint,
        response_timeout: Duration,
    ) -> Result<OrderReport> {
        match self {
            Self::Place {
                organisation,
                deadline,
                body,
            } => {
                let options = OrderOptions {
                    endpoint,
                    organisation,
                    deadline,
                    response_timeout,
                };
                Ok(place_order(caller, &options, &body).await?)
            }
            Self::Query(TicketText(ticket)) => {
                let Response { outcome, body } =
                    query_order(caller, &endpoint, &ticket, response_timeout).await;
                Ok(OrderReport {
                    outcome,
                    response_body: body,
                    ticket: Some(ticket),
                    attempts: 1,
                })
            }
        }
    }
}

fn print(report: &OrderReport, is_json: bool) -> Result<()> {
    let ticket = report.ticket.map(|ticket| TicketText(ticket).to_string());
    let response_body = String::from_utf8_lossy(&report.response_body);
    if is_json {
        output::print_json(&OrderOutput {
            outcome: output::outcome_name(&report.outcome).into(),
            reason: output::not_run_reason(&report.outcome),
            ticket,
            response_body: response_body.into(),
        })?;
        return Ok(());
    }
    if let Some(ticket) = ticket {
        output::print_progress(&format_args!("ticket {ticket}"));
    }
    if !report.response_body.is_empty() {
        output::print_bytes(&report.response_body)?;
    }
    output::print_failure("order", &report.outcome);
    Ok(())
}
