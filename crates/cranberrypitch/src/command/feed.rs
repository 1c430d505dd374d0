//! The verb `feed`, which prints the readings of a feed.

use std::time::Duration;

use cranberrypitch_caller::{Feed, FeedOptions};
use pico_args::Arguments;

use super::arguments::EndpointArguments;
use super::errors::Result;
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Prints the readings of a feed, one per line, without gaps or repetitions. A feed whose connection
moves or fails is reopened at the next reading.

Usage: cranberrypitch feed ENDPOINT --tenant NAME [OPTIONS]

Endpoint:
  --service NAME     the service, whose name the certificate of its agents must contain
  --address IP:PORT  an address of the service
  --ca FILE          the certificate authority that callers trust (PEM)

Options:
  --tenant NAME  the organisation of the caller
  --from N       the first reading [default: the newest]
  --count N      ends after this many readings [default: until the feed ends]
  --json         prints {\"sequence\": N, \"payload\": TEXT} per line instead of the payload
  --help         prints this text

Exit codes:
  0  the feed ended, or all requested readings were printed
  1  the feed could not be opened or continued
  2  invalid arguments or an invalid file
";

/// The maximum number of consecutive attempts to open or reopen a feed.
const MAX_ATTEMPTS: u32 = 20;

const RETRY_DELAY: Duration = Duration::from_millis(250);

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let is_json = arguments.contains("--json");
    let service = EndpointArguments::parse(&mut arguments)?;
    let options = FeedOptions {
        endpoint: service.endpoint.clone(),
        organisation: arguments::organisation(&mut arguments)?,
        resume_from: arguments::optional(&mut arguments, "--from")?,
        max_attempts: MAX_ATTEMPTS,
        retry_delay: RETRY_DELAY,
    };
    let count: u64 = arguments::optional(&mut arguments, "--count")?.unwrap_or(u64::MAX);
    arguments::finish(arguments)?;
    arguments::block_on(async {
        let caller = service.caller()?;
        let mut feed = Feed::open(caller.clone(), options).await?;
        let printed = print(&mut feed, count, is_json).await;
        feed.close();
        caller.wait_idle().await;
        printed
    })?;
    Ok(CommandStatus::Done)
}

async fn print(feed: &mut Feed, count: u64, is_json: bool) -> Result<()> {
    for _ in 0..count {
        let Some(reading) = feed.next().await? else {
            break;
        };
        if is_json {
            let payload = String::from_utf8_lossy(&reading.payload);
            let line = serde_json::json!({ "sequence": reading.sequence, "payload": payload });
            output::print(line)?;
        } else {
            output::print_bytes(&reading.payload)?;
        }
    }
    Ok(())
}
