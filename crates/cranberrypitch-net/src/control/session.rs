//! Sessions, whose messages are signed.

use bytes::Bytes;
use cranberrypitch_core::KeyGeneration;
use cranberrypitch_proto::control::{Message, NONCE_LEN_BYTES, TAG_LEN_BYTES};
use ring::hmac;

use crate::control::channel::Channel;
use crate::errors::ControlErrorKind;
use crate::keys::ControlKeys;

/// The prefix of all signed content, which separates it from other uses of the key.
const LABEL: &[u8] = b"cranberrypitch control/1";

type ControlResult<T> = std::result::Result<T, ControlErrorKind>;

/// The purpose of a signature. Distinct roles prevent reflection of a signature to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum Role {
    /// The client's proof and messages.
    Client = 1,
    /// The server's proof and messages.
    Server = 2,
    /// The derivation of the session key.
    Session = 3,
}

/// The nonces of both ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Nonces {
    pub(super) client: [u8; NONCE_LEN_BYTES],
    pub(super) server: [u8; NONCE_LEN_BYTES],
}

impl Nonces {
    /// Signs a role and both nonces.
    pub(super) fn sign(
        &self,
        role: Role,
        keys: &ControlKeys,
        generation: KeyGeneration,
    ) -> ControlResult<[u8; TAG_LEN_BYTES]> {
        keys.sign(generation, &self.signed_content(role))
    }

    /// Verifies the signature of the peer.
    pub(super) fn verify(
        &self,
        role: Role,
        keys: &ControlKeys,
        generation: KeyGeneration,
        tag: &[u8],
    ) -> ControlResult<()> {
        keys.verify(generation, &self.signed_content(role), tag)
    }

    fn signed_content(&self, role: Role) -> Vec<u8> {
        [LABEL, &[role as u8], &self.client, &self.server].concat()
    }
}

/// The key of a session, with the sequence numbers of the next messages.
#[derive(Debug)]
pub(super) struct SessionKey {
    key: hmac::Key,
    own_role: Role,
    next_sent: u64,
    next_received: u64,
}

impl SessionKey {
    /// Derives the session key from the control key and both nonces.
    pub(super) fn derive(
        nonces: &Nonces,
        keys: &ControlKeys,
        generation: KeyGeneration,
        own_role: Role,
    ) -> ControlResult<Self> {
        let secret = nonces.sign(Role::Session, keys, generation)?;
        Ok(Self {
            key: hmac::Key::new(hmac::HMAC_SHA256, &secret),
            own_role,
            next_sent: 0,
            next_received: 0,
        })
    }

    fn sign_frame(&mut self, message: &[u8]) -> Vec<u8> {
        let sequence = self.next_sent;
        self.next_sent += 1;
        let tag = self.tag(self.own_role, sequence, message);
        [tag.as_ref(), message].concat()
    }

    fn verify_frame(&mut self, frame: &Bytes) -> ControlResult<Bytes> {
        let Some((tag, message)) = frame.split_at_checked(TAG_LEN_BYTES) else {
            return Err(ControlErrorKind::InvalidSignature);
        };
        let sequence = self.next_received;
        self.next_received += 1;
        let content = signed_content(self.peer_role(), sequence, message);
        match hmac::verify(&self.key, &content, tag) {
            Ok(()) => Ok(frame.slice(TAG_LEN_BYTES..)),
            Err(ring::error::Unspecified) => Err(ControlErrorKind::InvalidSignature),
        }
    }

    fn tag(&self, role: Role, sequence: u64, message: &[u8]) -> hmac::Tag {
        hmac::sign(&self.key, &signed_content(role, sequence, message))
    }

    const fn peer_role(&self) -> Role {
        match self.own_role {
            Role::Client => Role::Server,
            _ => Role::Client,
        }
    }
}

fn signed_content(role: Role, sequence: u64, message: &[u8]) -> Vec<u8> {
    [LABEL, &[role as u8], &sequence.to_be_bytes(), message].concat()
}

/// An authenticated connection whose messages are signed.
#[derive(Debug)]
pub(super) struct Session {
    channel: Channel,
    key: SessionKey,
}

impl Session {
    /// Returns a session over a channel whose peer is authenticated.
    pub(super) const fn new(channel: Channel, key: SessionKey) -> Self {
        Self { channel, key }
    }

    /// Signs and sends a message.
    pub(super) async fn send(&mut self, message: &Message) -> ControlResult<()> {
        let bytes = message.encode().map_err(ControlErrorKind::InvalidMessage)?;
        self.send_encoded(&bytes).await
    }

    /// Signs and sends an encoded message.
    pub(super) async fn send_encoded(&mut self, message: &[u8]) -> ControlResult<()> {
        let frame = self.key.sign_frame(message);
        self.channel.send(frame).await
    }

    /// Receives and verifies a message. Cancel-safe: no message is lost when the future is dropped.
    pub(super) async fn receive(&mut self) -> ControlResult<Message> {
        let frame = self.channel.receive().await?;
        let bytes = self.key.verify_frame(&frame)?;
        Message::decode(&bytes).map_err(ControlErrorKind::InvalidMessage)
    }

    /// Closes the connection.
    pub(super) async fn close(self) {
        self.channel.close().await;
    }
}
