//! Connection ids that carry the route to this agent.

use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::token::{NonceSequence, TOKEN_LEN_BYTES};
use cranberrypitch_core::{Incarnation, RoutingToken, ServiceTag};
use cranberrypitch_net::KeyRing;
use quinn::{ConnectionId, ConnectionIdGenerator};
use rand::RngExt;

/// Issues routing tokens of one agent.
#[derive(Clone)]
pub(crate) struct TokenIssuer {
    agent: SocketAddrV4,
    service: ServiceTag,
    incarnation: Incarnation,
    keys: Arc<KeyRing>,
    lifetime: Duration,
    nonces: Arc<NonceSequence>,
}

impl TokenIssuer {
    pub(crate) fn new(
        agent: SocketAddrV4,
        service: ServiceTag,
        incarnation: Incarnation,
        keys: Arc<KeyRing>,
        lifetime: Duration,
    ) -> Self {
        Self {
            agent,
            service,
            incarnation,
            keys,
            lifetime,
            nonces: Arc::new(NonceSequence::new(rand::rng().random())),
        }
    }

    /// Returns the address that the tokens lead to.
    pub(crate) const fn agent(&self) -> SocketAddrV4 {
        self.agent
    }

    /// Returns the keys now in force.
    pub(crate) fn keys(&self) -> cranberrypitch_core::TokenKeys {
        self.keys.token_keys()
    }

    /// Returns a new token, signed with the current key.
    pub(crate) fn issue(&self) -> [u8; TOKEN_LEN_BYTES] {
        let nonce = self.nonces.next();
        let token = RoutingToken::new(self.agent, self.service, self.incarnation, nonce);
        token.encode(&self.keys.token_keys())
    }
}

impl fmt::Debug for TokenIssuer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TokenIssuer")
            .field("agent", &self.agent)
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

    /// Long flows change to ids of the current key before the old key is withdrawn.
    fn cid_lifetime(&self) -> Option<Duration> {
        Some(self.lifetime)
    }
}
