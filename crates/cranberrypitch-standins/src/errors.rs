//! The error type of the crate.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use cranberrypitch_core::ServiceName;
use derive_more::{Display, Error, From};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that can fail when a stand-in starts.
#[derive(Debug, Display, Error, From)]
#[non_exhaustive]
pub enum Error {
    /// An address can't be listened on.
    #[from(ignore)]
    #[display("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
    /// An option is out of range.
    #[from(ignore)]
    #[display("option {option} must be {rule}")]
    Option {
        /// The option.
        option: &'static str,
        /// The allowed range.
        rule: &'static str,
    },
    /// The text has no such service.
    #[from(ignore)]
    #[display("no service '{service}'")]
    UnknownService {
        /// The service asked for.
        service: ServiceName,
    },
    /// The agent of a target has been stopped.
    #[display("the agent is not running")]
    AgentNotRunning,
    /// The deployment did not become ready in time.
    #[display("the deployment did not become ready in time")]
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
    /// A settings file can't be read or has a field that is wrong.
    #[from(ignore)]
    #[display("{file}: {detail}")]
    Settings {
        /// The file.
        file: Box<str>,
        /// What is wrong, with the field or the place in the file.
        detail: Box<str>,
    },
    /// A certificate can't be made.
    #[from(ignore)]
    #[display("can't make a certificate: {detail}")]
    Certificate {
        /// The failure.
        detail: Box<str>,
    },
}

impl Error {
    /// Returns an error for an address that can't be listened on.
    pub fn listen(address: impl Into<SocketAddr>, source: io::Error) -> Self {
        Self::Listen {
            address: address.into(),
            source,
        }
    }

    /// Returns an error for a service that the text doesn't have.
    pub fn unknown_service(service: &ServiceName) -> Self {
        Self::UnknownService {
            service: service.clone(),
        }
    }

    /// Returns an error for an option that is out of range.
    pub const fn option(option: &'static str, rule: &'static str) -> Self {
        Self::Option { option, rule }
    }

    /// Returns an error for a settings file.
    pub fn settings(file: &Path, detail: &impl ToString) -> Self {
        Self::Settings {
            file: file.display().to_string().into(),
            detail: detail.to_string().into(),
        }
    }

    /// Returns an error for a certificate that can't be made.
    pub fn certificate(detail: &impl ToString) -> Self {
        Self::Certificate {
            detail: detail.to_string().into(),
        }
    }
}
