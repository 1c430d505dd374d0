//! Prints the readings of a feed.

use std::time::Duration;

use cranberrypitch_caller::{Feed, FeedOptions};
use pico_args::Arguments;

use super::arguments::EndpointArguments;
use super::errors::Result;
use super::{CommandStatus, arguments, output};

pub(super) const HELP: &str = "\
Prints the readings of a feed, one per line, without a gap and without repeating any. A feed that
moves or breaks is opened again where it stopped.

Usage: cranberrypitch feed ENDPOINT --tenant NAME [OPTIONS]

Endpoint:
  --service NAME     the service, whose name the far end's certificate has to carry
  --address IP:PORT  an address of the service
  --ca FILE          the certificate authority that callers trust (PEM)

Options:
  --tenant NAME  the tenant that reads
  --from N       the first reading [default: the newest]
  --count N      ends after this many readings [default: until the feed ends]
  --json         prints {\"sequence\": N, \"payload\": TEXT} per line in place of the payload
  --help         prints this text

Exit codes:
  0  the feed ended, or all readings asked for were printed
  1  the feed could not be opened or continued
  2  bad arguments or a bad file
";

/// How often a feed is tried to be opened before the command gives up.
const MAX_ATTEMPTS: u32 = 20;

const RETRY_DELAY: Duration = Duration::from_millis(250);

pub(super) fn run(mut arguments: Arguments) -> Result<CommandStatus> {
    let json = arguments.contains("--json");
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
        let printed = print(&mut feed, count, json).await;
        feed.close();
        caller.wait_idle().await;
        printed
    })?;
    Ok(CommandStatus::Done)
}

async fn print(feed: &mut Feed, count: u64, json: bool) -> Result<()> {
    for _ in 0..count {
        let Some(reading) = feed.next().await? else {
            break;
        };
        if json {
            let payload = String::from_utf8_lossy(&reading.payload);
            let line = serde_json::json!({ "sequence": reading.sequence, "payload": payload });
            output::print(line)?;
        } else {
            output::print_bytes(&reading.payload)?;
        }
    }
    Ok(())
}
