//! QUIC connection IDs that are routing tokens of this agent.

use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::token::{NonceSequence, TOKEN_LEN_BYTES};
use cranberrypitch_core::{Incarnation, RoutingToken, ServiceTag};
use cranberrypitch_net::KeyRing;
use quinn::{ConnectionId, ConnectionIdGenerator};
use rand::RngExt;

/// Issues routing tokens for one agent.
#[derive(Clone)]
pub(crate) struct TokenIssuer {
    agent_address: SocketAddrV4,
    service: ServiceTag,
    incarnation: Incarnation,
    key_ring: Arc<KeyRing>,
    token_lifetime: Duration,
    nonces: Arc<NonceSequence>,
}

impl TokenIssuer {
    pub(crate) fn new(
        agent_address: SocketAddrV4,
        service: ServiceTag,
        incarnation: Incarnation,
        key_ring: Arc<KeyRing>,
        token_lifetime: Duration,
    ) -> Self {
        Self {
            agent_address,
            service,
            incarnation,
            key_ring,
            token_lifetime,
            nonces: Arc::new(NonceSequence::new(rand::rng().random())),
        }
    }

    /// Returns the tunnel address that the tokens route to.
    pub(crate) const fn agent_address(&self) -> SocketAddrV4 {
        self.agent_address
    }

    /// Returns the current token keys.
    pub(crate) fn token_keys(&self) -> cranberrypitch_core::TokenKeys {
        self.key_ring.token_keys()
    }

    /// Returns a new token, signed with the current key.
    pub(crate) fn issue(&self) -> [u8; TOKEN_LEN_BYTES] {
        let nonce = self.nonces.next();
        let token = RoutingToken::new(self.agent_address, self.service, self.incarnation, nonce);
        token.encode(&self.key_ring.token_keys())
    }
}

impl fmt::Debug for TokenIssuer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TokenIssuer")
            .field("agent", &self.agent_address)
            .finish_non_exhaustive()
    }
}

impl ConnectionIdGenerator for TokenIssuer {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&self.issue())
    }

    fn cid_len(&self) -> usize {
        TOKEN_LEN_BYTES
    }

    /// IDs expire so that long-lived connections switch to the current key before the previous key
    /// is removed.
    fn cid_lifetime(&self) -> Option<Duration> {
        Some(self.token_lifetime)
    }
}
