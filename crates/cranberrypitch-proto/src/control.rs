//! Messages of the control channel between daemons.
//!
//! A session is a WebSocket connection with one CBOR message per binary frame. It begins with a
//! [`Handshake`], in which both ends prove that they hold the key of the same generation. After it,
//! each frame is a [`Message`]. The content of the configuration is opaque to this module.

use std::net::SocketAddrV4;

use bytes::Bytes;
use cranberrypitch_core::{FailureDomain, KeyGeneration, Revision, ServiceName, VmId};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::cbor;
use crate::errors::{Error, Result};

/// The version of the control protocol.
pub const PROTOCOL_VERSION: u8 = 1;

/// The maximum length of a handshake message. It is small, as the peer is not authenticated yet.
pub const MAX_HANDSHAKE_BYTES: usize = 512;

/// The maximum length of a session message: the longest value of the store (1 MiB) plus 16 KiB for
/// the other fields.
pub const MAX_MESSAGE_BYTES: usize = (1 << 20) + (16 << 10);

/// The length of a nonce.
pub const NONCE_LEN_BYTES: usize = 32;

/// The length of an authentication tag.
pub const TAG_LEN_BYTES: usize = 32;

/// The length of a SHA-256 digest.
pub const DIGEST_LEN_BYTES: usize = 32;

/// A message of the handshake, which precedes the session.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Handshake {
    /// The client opens the handshake.
    Hello {
        /// The protocol version of the client.
        version: u8,
        /// Random bytes of the client.
        #[serde_as(as = "serde_with::Bytes")]
        nonce: [u8; NONCE_LEN_BYTES],
        /// The key generations that the client holds; the first one is its current one.
        generations: Vec<KeyGeneration>,
    },
    /// The server selects a key generation and proves that it holds the key.
    Challenge {
        /// Random bytes of the server.
        #[serde_as(as = "serde_with::Bytes")]
        nonce: [u8; NONCE_LEN_BYTES],
        /// The selected generation.
        generation: KeyGeneration,
        /// The authentication tag over the server's role and both nonces.
        #[serde_as(as = "serde_with::Bytes")]
        tag: [u8; TAG_LEN_BYTES],
    },
    /// The client proves that it holds the key.
    Proof {
        /// The authentication tag over the client's role and both nonces.
        #[serde_as(as = "serde_with::Bytes")]
        tag: [u8; TAG_LEN_BYTES],
    },
    /// The server accepts the client and the session begins.
    Welcome,
    /// The sender refuses the session.
    Refused(RefusalReason),
}

impl Handshake {
    /// Encodes the message as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>> {
        cbor::encode("handshake", self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed or longer than [`MAX_HANDSHAKE_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("handshake", bytes, MAX_HANDSHAKE_BYTES)
    }
}

/// The reason why one end of the control channel refuses the session.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum RefusalReason {
    /// The protocol version of the peer is not supported.
    #[display("unknown version")]
    UnknownVersion,
    /// The two ends have no key generation in common.
    #[display("no shared key generation")]
    NoSharedKey,
    /// The authentication tag of the peer does not verify.
    #[display("wrong key")]
    WrongKey,
    /// The server has reached its maximum number of sessions.
    #[display("too many sessions")]
    Busy,
    /// The message is malformed or out of order.
    #[display("unexpected message")]
    Unexpected,
}

/// A message of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A request of the client.
    Request {
        /// The id of the request, which its answer repeats.
        id: u32,
        /// The request.
        request: Request,
    },
    /// The answer of the server.
    Answer {
        /// The id of the request.
        id: u32,
        /// The answer.
        answer: Answer,
    },
    /// A notice from the server to all its clients, without a request.
    Notice(Notice),
}

impl Message {
    /// Encodes the message as CBOR.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLong`] for a message over [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let bytes = cbor::encode("control message", self)?;
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::TooLong {
                len_bytes: bytes.len(),
                limit_bytes: MAX_MESSAGE_BYTES,
            });
        }
        Ok(bytes)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed or longer than [`MAX_MESSAGE_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("control message", bytes, MAX_MESSAGE_BYTES)
    }
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Requests the head of the configuration in force if it is newer than the client's.
    ConfigFetch {
        /// The revision in force at the client.
        since: Revision,
    },
    /// Requests a shard of the configuration.
    ShardFetch {
        /// The digest of the shard, from the head.
        digest: Digest,
    },
    /// Requests the list of live balancers.
    Balancers,
    /// Requests the addresses of the agents of a service.
    PeerTargets {
        /// The service.
        service: ServiceName,
    },
    /// Requests the status of the server.
    StatusQuery,
    /// Announces that the client is leaving.
    Goodbye {
        /// The VM of the client.
        vm: VmId,
    },
    /// Checks that the session is alive.
    Ping,
}

/// An answer of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The head of the configuration in force.
    ConfigHead(ConfigHead),
    /// The server has no newer configuration than the client.
    UpToDate,
    /// A shard of the configuration.
    ConfigShard(ConfigShard),
    /// The server does not have the shard.
    ShardUnknown,
    /// The live balancers.
    Balancers(Vec<BalancerEntry>),
    /// The tunnel addresses of the agents of a service.
    PeerTargets(Vec<SocketAddrV4>),
    /// The status of the server, as JSON.
    Status(Box<str>),
    /// The server has processed a request that has no result, such as [`Request::Goodbye`].
    Done,
    /// The answer to a [`Request::Ping`].
    Pong,
    /// The server could not produce the answer within the timeout or the length limit.
    Failed,
}

/// A notice of a server to all its clients.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// A newer configuration is in force at the server.
    ConfigHead(ConfigHead),
    /// The list of live balancers has changed.
    Balancers(Vec<BalancerEntry>),
    /// The server is leaving.
    Goodbye {
        /// The VM of the server.
        vm: VmId,
    },
}

/// The head of a configuration, which names its shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The digest of the body.
    pub digest: Digest,
    /// The encoded head, as in the store.
    pub body: Bytes,
}

/// A shard of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigShard {
    /// The revision in force at the server.
    pub revision: Revision,
    /// The digest of the body.
    pub digest: Digest,
    /// The encoded shard, as in the store.
    pub body: Bytes,
}

/// A live balancer, as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerEntry {
    /// The VM of the balancer, which identifies it.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// The failure domain of the VM.
    #[serde(rename = "f")]
    pub failure_domain: FailureDomain,
    /// The address at which the balancer serves control sessions.
    #[serde(rename = "c")]
    pub control_address: SocketAddrV4,
    /// The address at which the balancer receives tunnel datagrams.
    #[serde(rename = "t")]
    pub tunnel_address: SocketAddrV4,
    /// Whether the balancer is leaving and must get no new flows.
    #[serde(rename = "l")]
    pub is_leaving: bool,
}

/// The SHA-256 digest of a head or shard of the configuration. Displayed in hexadecimal.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "serde_with::Bytes")] [u8; DIGEST_LEN_BYTES]);

impl Digest {
    /// Returns the digest with these bytes.
    pub const fn new(value: [u8; DIGEST_LEN_BYTES]) -> Self {
        Self(value)
    }

    /// Returns the bytes of the digest.
    pub const fn get(&self) -> &[u8; DIGEST_LEN_BYTES] {
        &self.0
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Digest({self})")
    }
}
