//! The command `cranberrypitch`: one module per verb.

mod arguments;
mod demo;
mod errors;
mod output;

use std::process::ExitCode;

use pico_args::Arguments;

use self::errors::{Error, Result};

const HELP: &str = "\
Operates cranberrypitch and calls its services.

Usage: cranberrypitch VERB [OPTIONS]

Verbs:
  demo    runs every role on loopback, replaces and drains parts under load

Options:
  --help     prints this text, or that of a verb
  --version  prints the version

Results go to stdout, errors to stderr.

Exit codes:
  0  done
  1  failed or not accepted
  2  bad arguments, settings or text
  3  outcome unknown
";

/// How the command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All was done.
    Done,
    /// It failed, or it was not accepted.
    Failed,
    /// An argument, a setting or a text is wrong.
    WrongInput,
    /// It can't be told whether it was done.
    Unknown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::SUCCESS,
            Exit::Failed => Self::FAILURE,
            Exit::WrongInput => Self::from(2),
            Exit::Unknown => Self::from(3),
        }
    }
}

/// A verb of the command.
struct Verb {
    name: &'static str,
    help: &'static str,
    run: fn(Arguments) -> Result<Exit>,
}

const VERBS: [Verb; 1] = [Verb {
    name: "demo",
    help: demo::HELP,
    run: demo::run,
}];

/// Runs the command with these arguments.
pub fn run(arguments: Arguments) -> Exit {
    match dispatch(arguments) {
        Ok(exit) => exit,
        Err(error) => {
            output::error(&error);
            error.exit()
        }
    }
}

fn dispatch(mut arguments: Arguments) -> Result<Exit> {
    let Some(name) = arguments.subcommand()? else {
        return without_verb(arguments);
    };
    let Some(verb) = VERBS.iter().find(|verb| verb.name == name) else {
        return Err(Error::UnknownVerb { verb: name.into() });
    };
    if arguments.contains(["-h", "--help"]) {
        output::print(verb.help.trim_end())?;
        return Ok(Exit::Done);
    }
    (verb.run)(arguments)
}

fn without_verb(mut arguments: Arguments) -> Result<Exit> {
    if arguments.contains(["-h", "--help"]) {
        output::print(HELP.trim_end())?;
        return Ok(Exit::Done);
    }
    if arguments.contains(["-V", "--version"]) {
        output::print(concat!("cranberrypitch ", env!("CARGO_PKG_VERSION")))?;
        return Ok(Exit::Done);
    }
    arguments::finish(arguments)?;
    Err(Error::NoVerb)
}
