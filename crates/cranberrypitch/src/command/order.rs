//! Places an order, or asks for the outcome of an earlier one.

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
Places an order, which runs at most once, and prints its answer. The ticket goes to stderr: with it,
'order --ask' tells the outcome later and never runs the order.

Usage: cranberrypitch order ENDPOINT --tenant NAME (--body FILE | --key TEXT) [OPTIONS]
       cranberrypitch order ENDPOINT --ask TICKET [OPTIONS]

Endpoint:
  --service NAME     the service, whose name the far end's certificate has to carry
  --address IP:PORT  an address of the service
  --ca FILE          the certificate authority that callers trust (PEM)

Options:
  --tenant NAME           the tenant that orders
  --body FILE             the body of the order
  --key TEXT              takes the JSON object {\"key\": TEXT} as the body
  --ask TICKET            asks for the outcome of an earlier order
  --deadline-ms N         the time within which the order must start [default: 10000]
  --answer-timeout-ms N   how long to wait for the outcome once it may have started [default: 30000]
  --json                  prints one JSON object with outcome, ticket and answer
  --help                  prints this text

Exit codes:
  0  done
  1  failed, or not run
  2  bad arguments or a bad file
  3  outcome unknown
";

/// How long a caller waits for the outcome when no time is given.
const DEFAULT_RESPONSE_TIMEOUT_MS: u64 = 30_000;

/// What is asked of the service.
enum Question {
    Place {
        organisation: OrganisationId,
        deadline: Duration,
        body: Vec<u8>,
    },
    Ask(TicketText),
}

/// How an order ended.
#[derive(Serialize)]
struct Ended {
    outcome: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
    answer: Box<str>,
}

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let json = arguments.contains("--json");
    let service = EndpointArguments::parse(&mut arguments)?;
    let response_timeout = arguments::time_ms(
        &mut arguments,
        "--answer-timeout-ms",
        DEFAULT_RESPONSE_TIMEOUT_MS,
    )?;
    let question = Question::parse(&mut arguments)?;
    arguments::finish(arguments)?;
    let report = arguments::block_on(async {
        let caller = service.caller()?;
        let report = question
            .put(&caller, service.endpoint, response_timeout)
            .await;
        caller.wait_idle().await;
        report
    })?;
    print(&report, json)?;
    Ok(output::status_of(&report.outcome))
}

impl Question {
    fn parse(arguments: &mut Arguments) -> Result<Self> {
        let ask: Option<TicketText> = arguments::optional(arguments, "--ask")?;
        let file: Option<PathBuf> =
            arguments.opt_value_from_os_str("--body", arguments::to_path)?;
        let key: Option<String> = arguments::optional(arguments, "--key")?;
        let body = match (ask, file, key) {
            (Some(ticket), None, None) => return Ok(Self::Ask(ticket)),
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

    async fn put(
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
            Self::Ask(TicketText(ticket)) => {
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

fn print(report: &OrderReport, json: bool) -> Result<()> {
    let ticket = report.ticket.map(|ticket| TicketText(ticket).to_string());
    let answer = String::from_utf8_lossy(&report.response_body);
    if json {
        output::print_json(&Ended {
            outcome: output::name_of(&report.outcome).into(),
            reason: output::reason_of(&report.outcome),
            ticket,
            answer: answer.into(),
        })?;
        return Ok(());
    }
    if let Some(ticket) = ticket {
        output::note(&format_args!("ticket {ticket}"));
    }
    if !report.response_body.is_empty() {
        output::print_bytes(&report.response_body)?;
    }
    output::show_failure("order", &report.outcome);
    Ok(())
}
