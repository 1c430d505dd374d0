//! The error type of the crate.

use derive_more::{Display, Error, From};

use crate::VERBS;

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that can fail in a measurement.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// An option is missing its value or has an invalid one.
    #[display("{_0}")]
    Arguments(pico_args::Error),
    /// The result can't be written as JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A decision of the core refuses its options.
    #[display("{_0}")]
    Core(cranberrypitch_core::Error),
    /// A configuration text is invalid.
    #[display("{_0}")]
    Text(cranberrypitch_core::config::Problems),
    /// A balancer can't run.
    #[display("{_0}")]
    Balancer(cranberrypitch_balancer::Error),
    /// A caller can't connect.
    #[display("{_0}")]
    Caller(cranberrypitch_caller::Error),
    /// A stand-in can't run.
    #[display("{_0}")]
    Standin(cranberrypitch_standins::Error),
    /// A message can't be encoded.
    #[display("{_0}")]
    Proto(cranberrypitch_proto::Error),
    /// The system refuses a socket, a thread or a figure.
    #[display("{_0}")]
    System(std::io::Error),
    /// The measurement of configurations failed.
    #[display("{_0}")]
    Config(crate::config::MeasureError),
    /// The verb is not known.
    #[display("'{name}' is no verb; known are: {known}")]
    #[from(skip)]
    UnknownVerb {
        /// The verb found.
        name: Box<str>,
        /// All verbs.
        known: Box<str>,
    },
    /// An argument is left over.
    #[display("'{argument}' is no option of this verb")]
    #[from(skip)]
    UnknownArgument {
        /// The argument found.
        #[error(not(source))]
        argument: Box<str>,
    },
    /// An option is outside its range.
    #[display("--{option} must be {range}")]
    #[from(skip)]
    OutOfRange {
        /// The option.
        option: &'static str,
        /// The values allowed.
        range: &'static str,
    },
}

impl Error {
    pub(crate) fn unknown_verb(name: &str) -> Self {
        let known: Vec<_> = VERBS.iter().map(|verb| verb.name).collect();
        Self::UnknownVerb {
            name: name.into(),
            known: known.join(", ").into(),
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
