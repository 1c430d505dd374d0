//! Why the command ends without a result.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cranberrypitch_core::config::Problems;
use derive_more::{Display, From};

use super::CommandStatus;

pub(super) type Result<T> = std::result::Result<T, Error>;

/// An error of the command.
#[derive(Debug, Display, From)]
pub(super) enum Error {
    #[display("{_0}; see --help")]
    Arguments(pico_args::Error),
    #[display("{option}: {source}; see --help")]
    #[from(ignore)]
    Option {
        option: &'static str,
        source: pico_args::Error,
    },
    #[display("no verb; see --help")]
    NoVerb,
    #[display("unknown verb '{verb}'; see --help")]
    #[from(ignore)]
    UnknownVerb { verb: Box<str> },
    #[display("unknown argument {argument:?}; see --help")]
    #[from(ignore)]
    UnknownArgument { argument: OsString },
    #[display("{rule}; see --help")]
    #[from(ignore)]
    Usage { rule: &'static str },
    #[display("{}: {source}", file.display())]
    #[from(ignore)]
    File {
        file: PathBuf,
        source: std::io::Error,
    },
    #[display("{}", format_problems(file, problems))]
    #[from(ignore)]
    Text { file: PathBuf, problems: Problems },
    #[display("{_0}; see --help")]
    Name(cranberrypitch_core::Error),
    #[display("{_0}")]
    Input(cranberrypitch_net::Error),
    #[display("{_0}")]
    #[from(ignore)]
    Control(cranberrypitch_net::Error),
    #[display("{_0}")]
    Store(cranberrypitch_net::config_store::Error),
    #[display("{_0}")]
    Caller(cranberrypitch_caller::Error),
    #[display("{_0}")]
    Standin(cranberrypitch_standins::Error),
    #[display("demo exceeded the time limit of {} s", limit.as_secs())]
    #[from(ignore)]
    DemoTimeout { limit: Duration },
    #[display("{_0}")]
    System(std::io::Error),
}

impl Error {
    /// Returns an error about the value of an option. The library names missing options itself.
    pub(super) fn option(option: &'static str, source: pico_args::Error) -> Self {
        match source {
            pico_args::Error::Utf8ArgumentParsingFailed { .. }
            | pico_args::Error::ArgumentParsingFailed { .. } => Self::Option { option, source },
            source => Self::Arguments(source),
        }
    }

    pub(super) const fn usage(rule: &'static str) -> Self {
        Self::Usage { rule }
    }

    pub(super) fn file(file: &Path, source: std::io::Error) -> Self {
        Self::File {
            file: file.into(),
            source,
        }
    }

    /// Returns the command status of the error.
    pub(super) const fn status(&self) -> CommandStatus {
        match self {
            Self::Arguments(_)
            | Self::Option { .. }
            | Self::NoVerb
            | Self::UnknownVerb { .. }
            | Self::UnknownArgument { .. }
            | Self::Usage { .. }
            | Self::File { .. }
            | Self::Text { .. }
            | Self::Name(_)
            | Self::Input(_) => CommandStatus::InvalidInput,
            Self::Control(_)
            | Self::Store(_)
            | Self::Caller(_)
            | Self::Standin(_)
            | Self::DemoTimeout { .. }
            | Self::System(_) => CommandStatus::Failed,
        }
    }
}

/// Formats one line per problem, with the file and the position in it.
fn format_problems(file: &Path, problems: &Problems) -> String {
    let lines = problems.0.iter();
    let lines = lines.map(|problem| format!("{}: {problem}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}
