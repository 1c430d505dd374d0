//! The error type of the crate.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cranberrypitch_core::ServiceName;
use derive_more::{Display, Error, From};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of a stand-in.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// Listening on an address failed.
    #[from(ignore)]
    #[display("failed to listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An option is out of range.
    #[from(ignore)]
    #[display("option {option} must be {rule}")]
    InvalidOption {
        /// The name of the option.
        option: &'static str,
        /// The valid range, in words.
        rule: &'static str,
    },
    /// The configuration has no service with this name.
    #[from(ignore)]
    #[display("the configuration has no service '{service}'")]
    UnknownService {
        /// The requested service.
        service: ServiceName,
    },
    /// A target doesn't exist, or its agent is stopped.
    #[display("the agent of the target is not running")]
    AgentNotRunning,
    /// The balancers did not have all targets in state ready before the timeout.
    #[display("the balancers did not have all targets ready within 10 s")]
    DeploymentNotReady,
    /// A balancer failed.
    #[display("balancer: {_0}")]
    Balancer(cranberrypitch_balancer::Error),
    /// An agent failed.
    #[display("agent: {_0}")]
    Agent(cranberrypitch_agent::Error),
    /// A caller failed.
    #[display("caller: {_0}")]
    Caller(cranberrypitch_caller::Error),
    /// A name or a limit is invalid.
    #[display("{_0}")]
    Core(cranberrypitch_core::Error),
    /// The shared runtime failed.
    #[display("{_0}")]
    Net(cranberrypitch_net::Error),
    /// A settings file can't be read, or has an invalid field.
    #[from(ignore)]
    #[display("{file}: {detail}")]
    Settings {
        /// The path of the file.
        file: Box<str>,
        /// The reason, with the field or the position in the file.
        detail: Box<str>,
    },
    /// The creation of a certificate failed.
    #[from(ignore)]
    #[display("failed to create a certificate: {detail}")]
    Certificate {
        /// The reason.
        detail: Box<str>,
    },
}

impl Error {
    /// Returns an [`Error::Listen`].
    pub fn listen(address: impl Into<SocketAddr>, source: io::Error) -> Self {
        Self::Listen {
            address: address.into(),
            source,
        }
    }

    /// Returns an [`Error::UnknownService`].
    pub fn unknown_service(service: &ServiceName) -> Self {
        Self::UnknownService {
            service: service.clone(),
        }
    }

    /// Returns an [`Error::InvalidOption`].
    pub const fn invalid_option(option: &'static str, rule: &'static str) -> Self {
        Self::InvalidOption { option, rule }
    }

    /// Returns an [`Error::Settings`].
    pub fn settings(file: &Path, detail: &impl ToString) -> Self {
        Self::Settings {
            file: file.display().to_string().into(),
            detail: detail.to_string().into(),
        }
    }

    /// Returns an [`Error::Certificate`].
    pub fn certificate(detail: &impl ToString) -> Self {
        Self::Certificate {
            detail: detail.to_string().into(),
        }
    }
}
