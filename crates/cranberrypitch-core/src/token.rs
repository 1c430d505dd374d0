//! Routing tokens: the connection ids that carry the route of a flow.
//!
//! An agent issues these as QUIC connection ids, so a balancer forwards any packet of an
//! established flow without a flow table. `docs/design.md` gives the layout.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicU32, Ordering};

use siphasher::sip::SipHasher24;

use crate::errors::{Error, Result};
use crate::ids::{Incarnation, KeyGeneration, ServiceTag};

/// The length of a routing token, which is the longest connection id of QUIC version 1.
pub const TOKEN_LEN_BYTES: usize = 20;

/// The largest nonce: it takes three bytes.
pub const MAX_NONCE: u32 = (1 << 24) - 1;

const FORMAT_VERSION: u8 = 1;
const CHECKED_LEN_BYTES: usize = 16;

/// A secret for check values, with the generation that names it on the wire.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct CheckKey {
    generation: KeyGeneration,
    secret: [u8; 16],
}

impl CheckKey {
    /// Returns the key of a generation; only the low four bits of the generation are used.
    pub const fn new(generation: KeyGeneration, secret: [u8; 16]) -> Self {
        Self {
            generation: KeyGeneration::new(generation.get() & 0x0f),
            secret,
        }
    }

    /// Returns the generation.
    pub const fn generation(&self) -> KeyGeneration {
        self.generation
    }

    /// Returns the 64-bit check value of `content`.
    pub fn check_value(&self, content: &[u8]) -> u64 {
        let mut hasher = SipHasher24::new_with_key(&self.secret);
        hasher.write(content);
        hasher.finish()
    }
}

impl std::fmt::Debug for CheckKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CheckKey")
            .field("generation", &self.generation)
            .finish_non_exhaustive()
    }
}

/// Up to two generations of keys: the current one signs, both verify.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenKeys {
    current: CheckKey,
    other: Option<CheckKey>,
}

impl TokenKeys {
    /// Returns the keys with `current` as the one that signs.
    pub const fn new(current: CheckKey, other: Option<CheckKey>) -> Self {
        Self { current, other }
    }

    /// Returns the key that signs.
    pub const fn current(&self) -> &CheckKey {
        &self.current
    }

    /// Returns whether `check` is the check value of `content` under any key held.
    pub fn verifies(&self, content: &[u8], check: u64) -> bool {
        let matches = |key: &CheckKey| key.check_value(content) == check;
        matches(&self.current) || self.other.as_ref().is_some_and(matches)
    }

    /// Returns the key of a generation.
    pub fn by_generation(&self, generation: KeyGeneration) -> Result<&CheckKey> {
        if self.current.generation == generation {
            return Ok(&self.current);
        }
        match &self.other {
            Some(key) if key.generation == generation => Ok(key),
            _ => Err(Error::UnknownKeyGeneration {
                generation: generation.get(),
            }),
        }
    }
}

/// Nonces of one agent that repeat only after all [`MAX_NONCE`] + 1 values were used.
///
/// Random nonces are too few: an agent with 2,000 connections holds some 16,000 connection ids, so
/// one new id in a thousand would be in use already. QUIC does not check the id of a retry, and a
/// connection attempt with an id that is in use gets no answer. Long flows change their ids before
/// the nonces start over.
#[derive(Debug)]
pub struct NonceSequence {
    next: AtomicU32,
}

impl NonceSequence {
    /// Returns a sequence that starts anywhere.
    pub const fn new(start: u32) -> Self {
        Self {
            next: AtomicU32::new(start),
        }
    }

    /// Returns the next nonce. Neighbours are spread, so that an id does not tell its successor.
    pub fn next(&self) -> u32 {
        // An odd factor maps the values of 24 bits one to one.
        const SPREAD: u32 = 0x009e_3779;
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        number.wrapping_mul(SPREAD) & MAX_NONCE
    }
}

/// The content of a routing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoutingToken {
    /// Where the agent receives tunnel datagrams.
    pub agent: SocketAddrV4,
    /// The service that the agent serves.
    pub service: ServiceTag,
    /// The low bits of the agent's incarnation.
    pub incarnation_low: u16,
    /// Tells the connection ids of one agent apart; at most [`MAX_NONCE`].
    pub nonce: u32,
}

impl RoutingToken {
    /// Returns a token for an agent.
    pub const fn new(
        agent: SocketAddrV4,
        service: ServiceTag,
        incarnation: Incarnation,
        nonce: u32,
    ) -> Self {
        let incarnation_low = incarnation.low_u16();
        Self {
            agent,
            service,
            incarnation_low,
            nonce: nonce & MAX_NONCE,
        }
    }

    /// Encodes the token and signs it with the current key.
    pub fn encode(&self, keys: &TokenKeys) -> [u8; TOKEN_LEN_BYTES] {
        let key = keys.current();
        let mut id = [0; TOKEN_LEN_BYTES];
        id[0] = (FORMAT_VERSION << 4) | key.generation().get();
        id[1..5].copy_from_slice(&self.agent.ip().octets());
        id[5..7].copy_from_slice(&self.agent.port().to_be_bytes());
        id[7..11].copy_from_slice(&self.service.get().to_be_bytes());
        id[11..13].copy_from_slice(&self.incarnation_low.to_be_bytes());
        id[13..16].copy_from_slice(&self.nonce.to_be_bytes()[1..]);
        let check = check_bytes(key, &id);
        id[CHECKED_LEN_BYTES..].copy_from_slice(&check);
        id
    }

    /// Decodes a connection id and verifies its check value.
    pub fn decode(id: &[u8], keys: &TokenKeys) -> Result<Self> {
        let Ok(id) = <&[u8; TOKEN_LEN_BYTES]>::try_from(id) else {
            return Err(Error::TokenLength {
                len_bytes: id.len(),
            });
        };
        let version = id[0] >> 4;
        if version != FORMAT_VERSION {
            return Err(Error::UnknownVersion { version });
        }
        let key = keys.by_generation(KeyGeneration::new(id[0] & 0x0f))?;
        if check_bytes(key, id) != id[CHECKED_LEN_BYTES..] {
            return Err(Error::CheckMismatch);
        }
        Ok(Self {
            agent: SocketAddrV4::new(
                Ipv4Addr::new(id[1], id[2], id[3], id[4]),
                u16::from_be_bytes([id[5], id[6]]),
            ),
            service: ServiceTag::new(u32::from_be_bytes([id[7], id[8], id[9], id[10]])),
            incarnation_low: u16::from_be_bytes([id[11], id[12]]),
            nonce: u32::from_be_bytes([0, id[13], id[14], id[15]]),
        })
    }
}

fn check_bytes(key: &CheckKey, id: &[u8; TOKEN_LEN_BYTES]) -> [u8; 4] {
    let [a, b, c, d, ..] = key.check_value(&id[..CHECKED_LEN_BYTES]).to_be_bytes();
    [a, b, c, d]
}
