//! The error type of the crate.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;

use cranberrypitch_core::KeyGeneration;
use cranberrypitch_proto::control::RefusalReason;
use derive_more::{Display, Error};

/// A result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// The errors of the shared runtime.
#[derive(Debug, Display, Error)]
#[non_exhaustive]
pub enum Error {
    /// A settings or key file is invalid.
    #[display("{_0}")]
    InvalidFile(#[error(not(source))] Problems),
    /// A certificate or its key can't be used.
    #[display("{what}: {detail}")]
    Certificate {
        /// The file or text.
        what: Box<str>,
        /// What is wrong with it.
        detail: Box<str>,
    },
    /// The TLS or QUIC library rejected a configuration.
    #[display("TLS configuration: {detail}")]
    Tls {
        /// What the library reported.
        detail: Box<str>,
    },
    /// An address can't be bound.
    #[display("address {address} can't be bound: {source}")]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// What the operating system reported.
        source: io::Error,
    },
    /// A control session failed or could not be opened.
    #[display("control session with {peer}: {kind}")]
    Control {
        /// The address of the peer.
        peer: SocketAddr,
        /// What went wrong.
        kind: ControlErrorKind,
    },
    /// A thread, its runtime or its signals failed.
    #[display("{name}: {detail}")]
    Thread {
        /// The thread, or the resource that it needs.
        name: Box<str>,
        /// What went wrong.
        detail: Box<str>,
    },
    /// Metrics can't be sent to their address.
    #[display("metrics: {detail}")]
    Metrics {
        /// What the operating system reported.
        detail: Box<str>,
    },
}

impl Error {
    /// Returns an error for a file with one problem.
    pub fn invalid_file(problem: Problem) -> Self {
        Self::InvalidFile(Problems(Box::new([problem])))
    }

    /// Returns one text for each problem: one or more for an invalid file, one for any other error.
    pub(crate) fn problems(&self) -> Vec<Box<str>> {
        match self {
            Self::InvalidFile(problems) => problems.texts(),
            error => vec![error.to_string().into()],
        }
    }

    /// Returns an error about a certificate or its key.
    pub fn certificate(what: &impl ToString, detail: &impl ToString) -> Self {
        Self::Certificate {
            what: what.to_string().into(),
            detail: detail.to_string().into(),
        }
    }

    /// Returns an error about a thread, its runtime or its signals.
    pub fn thread(name: &str, detail: &impl ToString) -> Self {
        Self::Thread {
            name: name.into(),
            detail: detail.to_string().into(),
        }
    }

    /// Returns an error about the address that metrics are sent to.
    pub fn metrics(detail: &impl ToString) -> Self {
        Self::Metrics {
            detail: detail.to_string().into(),
        }
    }

    /// Returns an error about a TLS configuration.
    pub fn tls(detail: &impl ToString) -> Self {
        Self::Tls {
            detail: detail.to_string().into(),
        }
    }
}

/// All problems found in one file, at least one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(Box<[Problem]>);

impl Problems {
    /// Returns the problems in the order of the file's fields.
    pub fn as_slice(&self) -> &[Problem] {
        &self.0
    }

    fn texts(&self) -> Vec<Box<str>> {
        let texts = self.0.iter().map(|problem| problem.to_string().into());
        texts.collect()
    }

    /// Returns an error if there are problems.
    pub(crate) fn check(problems: Vec<Problem>) -> Result<()> {
        if problems.is_empty() {
            return Ok(());
        }
        Err(Error::InvalidFile(Self(problems.into())))
    }
}

impl std::fmt::Display for Problems {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

/// One problem with a file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{file}: {field}{}{kind}", if field.is_empty() { "" } else { ": " })]
pub struct Problem {
    /// The file, as given to the program.
    pub file: Box<str>,
    /// The path of the field within the file; empty for the file as a whole.
    pub field: Box<str>,
    /// What is wrong.
    pub kind: ProblemKind,
}

impl Problem {
    /// Returns a problem with a field of a file.
    pub fn new(file: &Path, field: &str, kind: ProblemKind) -> Self {
        Self {
            file: file.display().to_string().into(),
            field: field.into(),
            kind,
        }
    }
}

/// What is wrong with a field or a file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ProblemKind {
    /// The file can't be read.
    #[display("can't be read: {detail}")]
    Unreadable {
        /// What the operating system reported.
        detail: Box<str>,
    },
    /// The text is not JSON.
    #[display("is not JSON: {detail}")]
    NotJson {
        /// What the parser found, with line and column.
        detail: Box<str>,
    },
    /// There is no such field.
    #[display("unknown field; known are {known}")]
    UnknownField {
        /// The known fields.
        known: Box<str>,
    },
    /// The field is missing.
    #[display("missing field; expected {expected}")]
    MissingField {
        /// The allowed values.
        expected: Box<str>,
    },
    /// The value is not allowed.
    #[display("{found} is not allowed; expected {expected}")]
    InvalidValue {
        /// The value found.
        found: Box<str>,
        /// The allowed values.
        expected: Box<str>,
    },
    /// Another socket uses the address.
    #[display("address {address} is in use; expected a free address of this machine")]
    AddressInUse {
        /// The address.
        address: SocketAddrV4,
    },
    /// The address can't be bound for another reason.
    #[display(
        "address {address} can't be bound: {detail}; expected a free address of this machine"
    )]
    BindFailed {
        /// The address.
        address: SocketAddrV4,
        /// What the operating system reported.
        detail: Box<str>,
    },
}

impl ProblemKind {
    /// Returns the problem of a file that can't be read.
    pub(crate) fn unreadable(error: &io::Error) -> Self {
        Self::Unreadable {
            detail: error.to_string().into(),
        }
    }

    /// Returns the problem of a text that is not JSON.
    pub(crate) fn not_json(error: &serde_json::Error) -> Self {
        Self::NotJson {
            detail: error.to_string().into(),
        }
    }

    /// Returns the problem of a value that is not allowed. The value is truncated so that it fits a log line.
    pub(crate) fn invalid_value(found: &impl ToString, expected: impl Into<Box<str>>) -> Self {
        const MAX_FOUND_CHARS: usize = 80;
        Self::InvalidValue {
            found: found.to_string().chars().take(MAX_FOUND_CHARS).collect(),
            expected: expected.into(),
        }
    }

    /// Returns the problem of an address that can't be bound.
    pub fn bind_failed(address: SocketAddrV4, error: &io::Error) -> Self {
        if error.kind() == io::ErrorKind::AddrInUse {
            return Self::AddressInUse { address };
        }
        Self::BindFailed {
            address,
            detail: error.to_string().into(),
        }
    }
}

/// What went wrong with a control session.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ControlErrorKind {
    /// The peer rejected the handshake.
    #[display("refused by the peer: {_0}")]
    Refused(RefusalReason),
    /// The two ends have no key generation in common.
    #[display("no shared key generation")]
    NoSharedKey,
    /// The signature of the peer does not match the key.
    #[display("signature does not match the key of generation {generation}")]
    WrongKey {
        /// The generation that both ends hold.
        generation: KeyGeneration,
    },
    /// The peer uses an unknown protocol version.
    #[display("protocol version {version} is not known")]
    UnknownVersion {
        /// The version found.
        version: u8,
    },
    /// A message is malformed or too long.
    #[display("{_0}")]
    InvalidMessage(cranberrypitch_proto::Error),
    /// The protocol does not allow the message at this point.
    #[display("unexpected message instead of {expected}")]
    UnexpectedMessage {
        /// What was expected.
        expected: &'static str,
    },
    /// The signature of a message within a session does not match.
    #[display("message signature does not match")]
    InvalidSignature,
    /// A step took longer than its timeout.
    #[display("timeout: {step}")]
    Timeout {
        /// The step.
        step: &'static str,
    },
    /// The peer does not read its messages fast enough.
    #[display("the peer is too slow")]
    SlowPeer,
    /// The limit on sessions or pending requests is reached.
    #[display("too many {what}")]
    LimitReached {
        /// What the limit applies to.
        what: &'static str,
    },
    /// The server did not answer in time, or its answer was too long.
    #[display("the server could not answer the request")]
    ServerFailed,
    /// The session has ended.
    #[display("closed")]
    Closed,
    /// The connection failed.
    #[display("connection: {detail}")]
    Connection {
        /// What the connection reported.
        detail: Box<str>,
    },
}

impl ControlErrorKind {
    /// Returns whether the error means that one end rejected the other one during the handshake.
    pub const fn is_refusal(&self) -> bool {
        matches!(
            self,
            Self::Refused(_)
                | Self::NoSharedKey
                | Self::WrongKey { .. }
                | Self::UnknownVersion { .. }
        )
    }

    pub(crate) fn connection(detail: &impl ToString) -> Self {
        Self::Connection {
            detail: detail.to_string().into(),
        }
    }

    pub(crate) const fn with_peer(self, peer: SocketAddr) -> Error {
        Error::Control { peer, kind: self }
    }
}
