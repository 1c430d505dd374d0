//! Routing tokens: QUIC connection ids that encode the route of a flow.
//!
//! Agents issue routing tokens as their connection ids, so that a balancer can forward any packet of
//! an established flow without a flow table. `docs/design.md` describes the layout.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicU32, Ordering};

use siphasher::sip::SipHasher24;

use crate::errors::{Error, Result};
use crate::ids::{Incarnation, KeyGeneration, ServiceTag};

/// The length of a routing token, which is the maximum length of a connection id in QUIC version 1.
pub const TOKEN_LEN_BYTES: usize = 20;

/// The greatest nonce, which fits into three bytes.
pub const MAX_NONCE: u32 = (1 << 24) - 1;

const FORMAT_VERSION: u8 = 1;
const CHECKED_LEN_BYTES: usize = 16;

/// A secret key for check values, with the generation that identifies it in messages.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct CheckKey {
    generation: KeyGeneration,
    secret: [u8; 16],
}

impl CheckKey {
    /// Returns a key. Only the low four bits of the generation are used.
    pub const fn new(generation: KeyGeneration, secret: [u8; 16]) -> Self {
        Self {
            generation: KeyGeneration::new(generation.get() & 0x0f),
            secret,
        }
    }

    /// Returns the generation, 0 to 15.
    pub const fn generation(&self) -> KeyGeneration {
        self.generation
    }

    /// Returns the check value of `content`, which is a 64-bit MAC (SipHash-2-4).
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

/// Up to two generations of keys. The current key signs; both keys verify.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenKeys {
    current: CheckKey,
    other: Option<CheckKey>,
}

impl TokenKeys {
    /// Returns the keys; `current` is used to sign.
    pub const fn new(current: CheckKey, other: Option<CheckKey>) -> Self {
        Self { current, other }
    }

    /// Returns the key that is used to sign.
    pub const fn current(&self) -> &CheckKey {
        &self.current
    }

    /// Returns whether `check` is the check value of `content` under any of the keys.
    pub fn verifies(&self, content: &[u8], check: u64) -> bool {
        let matches = |key: &CheckKey| key.check_value(content) == check;
        matches(&self.current) || self.other.as_ref().is_some_and(matches)
    }

    /// Returns the key of a generation, or [`Error::UnknownKeyGeneration`].
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

/// The nonces of one agent, which repeat only after all [`MAX_NONCE`] + 1 values have been used.
///
/// Random nonces would collide: an agent with 2,000 connections uses about 16,000 connection ids, so
/// one new id in a thousand would already be in use. The id in a QUIC Retry packet is not checked for
/// collisions, and a connection attempt with an id that is in use receives no answer. Long flows
/// change their ids before the nonces wrap around.
#[derive(Debug)]
pub struct NonceSequence {
    next: AtomicU32,
}

impl NonceSequence {
    /// Returns a sequence that starts at an arbitrary position.
    pub const fn new(start: u32) -> Self {
        Self {
            next: AtomicU32::new(start),
        }
    }

    /// Returns the next nonce. Successive nonces are not adjacent, so that an id does not reveal the
    /// next one at a glance.
    pub fn next(&self) -> u32 {
        // Multiplication by an odd factor is a bijection on 24-bit values.
        const FACTOR: u32 = 0x009e_3779;
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        number.wrapping_mul(FACTOR) & MAX_NONCE
    }
}

/// The decoded content of a routing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoutingToken {
    /// The address at which the agent receives tunnel datagrams.
    pub agent: SocketAddrV4,
    /// The tag of the agent's service.
    pub service: ServiceTag,
    /// The low 16 bits of the agent's incarnation.
    pub incarnation_low: u16,
    /// A number that distinguishes the connection ids of one agent; at most [`MAX_NONCE`].
    pub nonce: u32,
}

impl RoutingToken {
    /// Returns the content of a token. Only the low 24 bits of the nonce are used.
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

    /// Encodes the token and appends a check value under the current key.
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
    ///
    /// Returns an error if the length or format version is wrong, the key generation is unknown or
    /// the check value does not match.
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
