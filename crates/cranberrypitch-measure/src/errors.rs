//! The error type of the measurements.

use derive_more::{Display, Error, From};

use crate::VERBS;

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// The errors of a measurement.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// An option is missing its value or has an invalid one.
    #[display("{_0}")]
    Arguments(pico_args::Error),
    /// The report can't be encoded as JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// The core rejects the options of a component.
    #[display("{_0}")]
    Core(cranberrypitch_core::Error),
    /// A configuration text is invalid.
    #[display("{_0}")]
    Text(cranberrypitch_core::config::Problems),
    /// A balancer can't start.
    #[display("{_0}")]
    Balancer(cranberrypitch_balancer::Error),
    /// A caller can't connect.
    #[display("{_0}")]
    Caller(cranberrypitch_caller::Error),
    /// A stand-in can't start.
    #[display("{_0}")]
    Standin(cranberrypitch_standins::Error),
    /// A message can't be encoded.
    #[display("{_0}")]
    Proto(cranberrypitch_proto::Error),
    /// A socket, thread or file operation failed.
    #[display("{_0}")]
    System(std::io::Error),
    /// The measurement of configurations failed.
    #[display("{_0}")]
    Config(crate::config::MeasureError),
    /// There is no verb of this name.
    #[display("unknown verb '{name}'; available verbs: {available}")]
    #[from(skip)]
    UnknownVerb {
        /// The verb in the arguments.
        name: Box<str>,
        /// The names of all verbs, separated by commas.
        available: Box<str>,
    },
    /// The verb doesn't have this option.
    #[display("unknown option '{argument}' for this verb")]
    #[from(skip)]
    UnknownArgument {
        /// The argument that was not parsed.
        #[error(not(source))]
        argument: Box<str>,
    },
    /// An option is outside its range.
    #[display("--{option} must be {range}")]
    #[from(skip)]
    OutOfRange {
        /// The name of the option, without dashes.
        option: &'static str,
        /// The allowed values.
        range: &'static str,
    },
}

impl Error {
    pub(crate) fn unknown_verb(name: &str) -> Self {
        let names: Vec<_> = VERBS.iter().map(|verb| verb.name).collect();
        Self::UnknownVerb {
            name: name.into(),
            available: names.join(", ").into(),
        }
    }

    pub(crate) const fn out_of_range(option: &'static str, range: &'static str) -> Self {
        Self::OutOfRange { option, range }
    }

    pub(crate) fn unknown_argument(argument: &str) -> Self {
        Self::UnknownArgument {
            argument: argument.into(),
        }
    }
}
