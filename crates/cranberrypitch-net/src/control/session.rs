//! Signed messages of a session.

use bytes::Bytes;
use cranberrypitch_core::KeyGeneration;
use cranberrypitch_proto::control::{Message, NONCE_LEN_BYTES, TAG_LEN_BYTES};
use ring::hmac;

use crate::control::channel::Channel;
use crate::errors::ControlErrorKind;
use crate::keys::ControlKeys;

/// The first bytes of everything that is signed, which keep it apart from other uses of the key.
const LABEL: &[u8] = b"cranberrypitch control/1";

type Outcome<T> = std::result::Result<T, ControlErrorKind>;

/// What a signature is for. Different roles keep one end from sending the other one's signatures
/// back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum Role {
    /// The client's proof, and its messages.
    Client = 1,
    /// The server's proof, and its messages.
    Server = 2,
    /// The derivation of the session's key.
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
    ) -> Outcome<[u8; TAG_LEN_BYTES]> {
        keys.sign(generation, &self.content(role))
    }

    /// Verifies the other end's signature.
    pub(super) fn verify(
        &self,
        role: Role,
        keys: &ControlKeys,
        generation: KeyGeneration,
        tag: &[u8],
    ) -> Outcome<()> {
        keys.verify(generation, &self.content(role), tag)
    }

    fn content(&self, role: Role) -> Vec<u8> {
        [LABEL, &[role as u8], &self.client, &self.server].concat()
    }
}

/// The key of a session and the numbers of the next messages.
#[derive(Debug)]
pub(super) struct SessionKey {
    key: hmac::Key,
    own_role: Role,
    sent: u64,
    received: u64,
}

impl SessionKey {
    /// Derives the key from what only the two ends know.
    pub(super) fn derive(
        nonces: &Nonces,
        keys: &ControlKeys,
        generation: KeyGeneration,
        own_role: Role,
    ) -> Outcome<Self> {
        let secret = nonces.sign(Role::Session, keys, generation)?;
        Ok(Self {
            key: hmac::Key::new(hmac::HMAC_SHA256, &secret),
            own_role,
            sent: 0,
            received: 0,
        })
    }

    fn seal(&mut self, message: &[u8]) -> Vec<u8> {
        let number = self.sent;
        self.sent += 1;
        let tag = self.tag(self.own_role, number, message);
        [tag.as_ref(), message].concat()
    }

    fn open(&mut self, frame: &Bytes) -> Outcome<Bytes> {
        let Some((tag, message)) = frame.split_at_checked(TAG_LEN_BYTES) else {
            return Err(ControlErrorKind::InvalidSignature);
        };
        let number = self.received;
        self.received += 1;
        let content = content(self.other_role(), number, message);
        match hmac::verify(&self.key, &content, tag) {
            Ok(()) => Ok(frame.slice(TAG_LEN_BYTES..)),
            Err(ring::error::Unspecified) => Err(ControlErrorKind::InvalidSignature),
        }
    }

    fn tag(&self, role: Role, number: u64, message: &[u8]) -> hmac::Tag {
        hmac::sign(&self.key, &content(role, number, message))
    }

    const fn other_role(&self) -> Role {
        match self.own_role {
            Role::Client => Role::Server,
            _ => Role::Client,
        }
    }
}

fn content(role: Role, number: u64, message: &[u8]) -> Vec<u8> {
    [LABEL, &[role as u8], &number.to_be_bytes(), message].concat()
}

/// An authenticated connection.
#[derive(Debug)]
pub(super) struct Session {
    channel: Channel,
    key: SessionKey,
}

impl Session {
    /// Returns a session over a channel whose other end is authenticated.
    pub(super) const fn new(channel: Channel, key: SessionKey) -> Self {
        Self { channel, key }
    }

    /// Sends a message.
    pub(super) async fn send(&mut self, message: &Message) -> Outcome<()> {
        let bytes = message.encode().map_err(ControlErrorKind::InvalidMessage)?;
        self.send_encoded(&bytes).await
    }

    /// Sends a message that is encoded already.
    pub(super) async fn send_encoded(&mut self, message: &[u8]) -> Outcome<()> {
        let frame = self.key.seal(message);
        self.channel.send(frame).await
    }

    /// Receives a message. Nothing is lost when the future is dropped.
    pub(super) async fn receive(&mut self) -> Outcome<Message> {
        let frame = self.channel.receive().await?;
        let bytes = self.key.open(&frame)?;
        Message::decode(&bytes).map_err(ControlErrorKind::InvalidMessage)
    }

    /// Closes the connection.
    pub(super) async fn close(self) {
        self.channel.close().await;
    }
}
