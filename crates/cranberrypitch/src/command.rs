//! The command `cranberrypitch`: one module per verb.

mod apply;
mod arguments;
mod check;
mod demo;
mod diff;
mod errors;
mod evacuate;
mod explain;
mod feed;
mod order;
mod output;
mod proxy;
mod status;
mod upload;

use std::process::ExitCode;

use pico_args::Arguments;

use self::errors::{Error, Result};

const HELP: &str = "\
Operates cranberrypitch and calls its services.

Usage: cranberrypitch VERB [OPTIONS]

Verbs:
  demo     runs all components on loopback, replaces and drains some under load
  check    reports every error of a configuration text
  diff     shows what a configuration text changes
  apply    puts a configuration text in force
  evacuate keeps new flows out of a failure domain, or ends that
  status   shows the configuration in force and the live balancers
  explain  shows the path of a request or flow from the logs of the daemons
  feed     prints the readings of a feed
  order    places an order, or queries the outcome of an earlier one
  upload   uploads a file and prints its confirmed SHA-256
  proxy    accepts requests over plain TCP on a local port

Options:
  --help     prints this text, or that of a verb
  --version  prints the version

Results go to stdout, errors to stderr.

Exit codes:
  0  done
  1  failed or not accepted
  2  invalid arguments, settings or text
  3  outcome unknown
";

/// The result of the command, which determines its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandStatus {
    /// The command has succeeded. Exit code 0.
    Done,
    /// The command has failed, or its request was not accepted. Exit code 1.
    Failed,
    /// An argument, a settings file or a configuration text is invalid. Exit code 2.
    InvalidInput,
    /// The outcome of the request is unknown. Exit code 3.
    OutcomeUnknown,
}

impl From<CommandStatus> for ExitCode {
    fn from(status: CommandStatus) -> Self {
        match status {
            CommandStatus::Done => Self::SUCCESS,
            CommandStatus::Failed => Self::FAILURE,
            CommandStatus::InvalidInput => Self::from(2),
            CommandStatus::OutcomeUnknown => Self::from(3),
        }
    }
}

/// A verb of the command line.
struct Verb {
    name: &'static str,
    help: &'static str,
    run: fn(Arguments) -> Result<CommandStatus>,
}

const VERBS: [Verb; 11] = [
    Verb {
        name: "demo",
        help: demo::HELP,
        run: demo::run,
    },
    Verb {
        name: "check",
        help: check::HELP,
        run: check::run,
    },
    Verb {
        name: "diff",
        help: diff::HELP,
        run: diff::run,
    },
    Verb {
        name: "apply",
        help: apply::HELP,
        run: apply::run,
    },
    Verb {
        name: "evacuate",
        help: evacuate::HELP,
        run: evacuate::run,
    },
    Verb {
        name: "status",
        help: status::HELP,
        run: status::run,
    },
    Verb {
        name: "explain",
        help: explain::HELP,
        run: explain::run,
    },
    Verb {
        name: "feed",
        help: feed::HELP,
        run: feed::run,
    },
    Verb {
        name: "order",
        help: order::HELP,
        run: order::run,
    },
    Verb {
        name: "upload",
        help: upload::HELP,
        run: upload::run,
    },
    Verb {
        name: "proxy",
        help: proxy::HELP,
        run: proxy::run,
    },
];

/// Runs the command with these arguments, and prints errors on stderr.
pub fn run(arguments: Arguments) -> CommandStatus {
    match dispatch(arguments) {
        Ok(status) => status,
        Err(error) => {
            output::print_error(&error);
            error.status()
        }
    }
}

fn dispatch(mut arguments: Arguments) -> Result<CommandStatus> {
    let Some(name) = arguments.subcommand()? else {
        return run_without_verb(arguments);
    };
    let Some(verb) = VERBS.iter().find(|verb| verb.name == name) else {
        return Err(Error::UnknownVerb { verb: name.into() });
    };
    if arguments.contains(["-h", "--help"]) {
        output::print(verb.help.trim_end())?;
        return Ok(CommandStatus::Done);
    }
    (verb.run)(arguments)
}

fn run_without_verb(mut arguments: Arguments) -> Result<CommandStatus> {
    if arguments.contains(["-h", "--help"]) {
        output::print(HELP.trim_end())?;
        return Ok(CommandStatus::Done);
    }
    if arguments.contains(["-V", "--version"]) {
        output::print(concat!("cranberrypitch ", env!("CARGO_PKG_VERSION")))?;
        return Ok(CommandStatus::Done);
    }
    arguments::finish(arguments)?;
    Err(Error::NoVerb)
}
