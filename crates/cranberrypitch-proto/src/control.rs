//! Messages of the control channel between daemons.
//!
//! A session is a WebSocket connection with one CBOR message per binary frame. It begins with the
//! messages of [`Handshake`], by which both ends prove that they hold the key of the same
//! generation. Then each frame is a [`Message`]. Content of the configuration is opaque here.

use std::net::SocketAddrV4;

use bytes::Bytes;
use cranberrypitch_core::{FailureDomain, KeyGeneration, Revision, ServiceName, VmId};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::cbor;
use crate::errors::{Error, Result};

/// The version of the protocol.
pub const PROTOCOL_VERSION: u8 = 1;

/// The longest message of the handshake, which comes from peers not known yet.
pub const MAX_HANDSHAKE_BYTES: usize = 512;

/// The longest message of a session: the store's longest value with some room for the other
/// fields.
pub const MAX_MESSAGE_BYTES: usize = (1 << 20) + (16 << 10);

/// The length of a nonce.
pub const NONCE_LEN_BYTES: usize = 32;

/// The length of a signature.
pub const TAG_LEN_BYTES: usize = 32;

/// The length of a digest.
pub const DIGEST_LEN_BYTES: usize = 32;

/// A message before the session.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Handshake {
    /// The client begins.
    Hello {
        /// The version of the protocol.
        version: u8,
        /// Random bytes of the client.
        #[serde_as(as = "serde_with::Bytes")]
        nonce: [u8; NONCE_LEN_BYTES],
        /// The key generations that the client holds, the one that signs first.
        generations: Vec<KeyGeneration>,
    },
    /// The server picks a generation and proves that it holds the key.
    Challenge {
        /// Random bytes of the server.
        #[serde_as(as = "serde_with::Bytes")]
        nonce: [u8; NONCE_LEN_BYTES],
        /// The generation that both ends use.
        generation: KeyGeneration,
        /// The signature over the server's role and both nonces.
        #[serde_as(as = "serde_with::Bytes")]
        tag: [u8; TAG_LEN_BYTES],
    },
    /// The client proves that it holds the key.
    Proof {
        /// The signature over the client's role and both nonces.
        #[serde_as(as = "serde_with::Bytes")]
        tag: [u8; TAG_LEN_BYTES],
    },
    /// The server accepts the client; the session begins.
    Welcome,
    /// Either end refuses the other one.
    Refused(RefusalReason),
}

impl Handshake {
    /// Encodes the message.
    pub fn encode(&self) -> Result<Vec<u8>> {
        cbor::encode("handshake", self)
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("handshake", bytes, MAX_HANDSHAKE_BYTES)
    }
}

/// Why one end of the control channel refuses the other one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum RefusalReason {
    /// The version of the protocol is not known.
    #[display("unknown version")]
    UnknownVersion,
    /// No key generation is held by both ends.
    #[display("no shared key generation")]
    NoSharedKey,
    /// The signature does not match the key.
    #[display("wrong key")]
    WrongKey,
    /// The server has as many sessions as it may.
    #[display("too many sessions")]
    Busy,
    /// The message is malformed or does not belong here.
    #[display("unexpected message")]
    Unexpected,
}

/// A message of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The client asks.
    Request {
        /// The number of the request, which its answer repeats.
        id: u32,
        /// The request.
        request: Request,
    },
    /// The server answers.
    Answer {
        /// The number of the request.
        id: u32,
        /// The answer.
        answer: Answer,
    },
    /// The server tells all its clients.
    Notice(Notice),
}

impl Message {
    /// Encodes the message.
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
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        cbor::decode("control message", bytes, MAX_MESSAGE_BYTES)
    }
}

/// What a client asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Asks for the head of the configuration in force, if it is newer.
    ConfigFetch {
        /// The revision in force at the client.
        since: Revision,
    },
    /// Asks for a shard that a head names.
    ShardFetch {
        /// The digest of the shard.
        digest: Digest,
    },
    /// Asks for the live balancers.
    Balancers,
    /// Asks for the agents of a service.
    PeerTargets {
        /// The service.
        service: ServiceName,
    },
    /// Asks for the status.
    StatusQuery,
    /// Says that the client leaves.
    Goodbye {
        /// The VM of the client.
        vm: VmId,
    },
    /// Shows that the client lives.
    Ping,
}

/// What a server answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The head of the configuration in force.
    ConfigHead(ConfigHead),
    /// The client's configuration is as new as the server's.
    UpToDate,
    /// A shard of the configuration.
    ConfigShard(ConfigShard),
    /// The server does not hold the shard.
    ShardUnknown,
    /// The live balancers.
    Balancers(Vec<BalancerEntry>),
    /// The tunnel addresses of the agents of a service.
    PeerTargets(Vec<SocketAddrV4>),
    /// The status, as JSON.
    Status(Box<str>),
    /// The server has taken note.
    Done,
    /// Answers a ping.
    Pong,
    /// The server could not answer in time.
    Failed,
}

/// What a server tells all its clients.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// A newer configuration is in force at the server.
    ConfigHead(ConfigHead),
    /// The live balancers have changed.
    Balancers(Vec<BalancerEntry>),
    /// The server leaves.
    Goodbye {
        /// The VM of the server.
        vm: VmId,
    },
}

/// The head of a configuration, which names its shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The revision.
    pub revision: Revision,
    /// The digest of the body.
    pub digest: Digest,
    /// The head as the store holds it.
    pub body: Bytes,
}

/// A shard of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigShard {
    /// The revision in force at the server.
    pub revision: Revision,
    /// The digest of the body.
    pub digest: Digest,
    /// The shard as the store holds it.
    pub body: Bytes,
}

/// A live balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerEntry {
    /// The VM of the balancer, which identifies it.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// The failure domain of the VM.
    #[serde(rename = "f")]
    pub failure_domain: FailureDomain,
    /// Where the balancer serves control sessions.
    #[serde(rename = "c")]
    pub control_address: SocketAddrV4,
    /// Where the balancer receives tunnel datagrams.
    #[serde(rename = "t")]
    pub tunnel_address: SocketAddrV4,
    /// Whether the balancer is leaving and gets no new work.
    #[serde(rename = "l")]
    pub is_leaving: bool,
}

/// The SHA-256 digest of a part of the configuration.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "serde_with::Bytes")] [u8; DIGEST_LEN_BYTES]);

impl Digest {
    /// Returns the digest with this value.
    pub const fn new(value: [u8; DIGEST_LEN_BYTES]) -> Self {
        Self(value)
    }

    /// Returns the value.
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
