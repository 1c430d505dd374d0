//! Mutual authentication at the start of a session.
//!
//! The client lists its key generations and the server selects one. Each end signs its role and both
//! nonces, so that a replayed or reflected signature is not accepted.

use cranberrypitch_core::KeyGeneration;
use cranberrypitch_proto::control::{Handshake, NONCE_LEN_BYTES, PROTOCOL_VERSION, RefusalReason};
use ring::rand::{SecureRandom, SystemRandom};

use crate::control::channel::Channel;
use crate::control::session::{Nonces, Role, SessionKey};
use crate::errors::ControlErrorKind;
use crate::keys::ControlKeys;

type ControlResult<T> = std::result::Result<T, ControlErrorKind>;

/// Runs the client's part of the handshake.
pub(super) async fn as_client(
    channel: &mut Channel,
    keys: &ControlKeys,
) -> ControlResult<SessionKey> {
    let result = client_handshake(channel, keys).await;
    send_refusal(channel, &result).await;
    result
}

/// Runs the server's part of the handshake, up to the client's proof. The calling function then sends
/// [`Handshake::Welcome`], or refuses the client when the session limit is reached.
pub(super) async fn as_server(
    channel: &mut Channel,
    keys: &ControlKeys,
) -> ControlResult<SessionKey> {
    let result = server_handshake(channel, keys).await;
    send_refusal(channel, &result).await;
    result
}

/// Sends a message of the handshake.
pub(super) async fn send(channel: &mut Channel, message: &Handshake) -> ControlResult<()> {
    let bytes = message.encode().map_err(ControlErrorKind::InvalidMessage)?;
    channel.send(bytes).await
}

async fn client_handshake(channel: &mut Channel, keys: &ControlKeys) -> ControlResult<SessionKey> {
    let client = nonce()?;
    let hello = Handshake::Hello {
        version: PROTOCOL_VERSION,
        nonce: client,
        generations: keys.generations(),
    };
    send(channel, &hello).await?;
    let Handshake::Challenge {
        nonce: server,
        generation,
        tag,
    } = receive(channel).await?
    else {
        return Err(unexpected("a challenge"));
    };
    let nonces = Nonces { client, server };
    nonces.verify(Role::Server, keys, generation, &tag)?;
    let tag = nonces.sign(Role::Client, keys, generation)?;
    send(channel, &Handshake::Proof { tag }).await?;
    let Handshake::Welcome = receive(channel).await? else {
        return Err(unexpected("a welcome"));
    };
    SessionKey::derive(&nonces, keys, generation, Role::Client)
}

async fn server_handshake(channel: &mut Channel, keys: &ControlKeys) -> ControlResult<SessionKey> {
    let Handshake::Hello {
        version,
        nonce: client,
        generations,
    } = receive(channel).await?
    else {
        return Err(unexpected("a hello"));
    };
    if version != PROTOCOL_VERSION {
        return Err(ControlErrorKind::UnknownVersion { version });
    }
    let generation = pick_generation(keys, &generations)?;
    let nonces = Nonces {
        client,
        server: nonce()?,
    };
    let challenge = Handshake::Challenge {
        nonce: nonces.server,
        generation,
        tag: nonces.sign(Role::Server, keys, generation)?,
    };
    send(channel, &challenge).await?;
    let Handshake::Proof { tag } = receive(channel).await? else {
        return Err(unexpected("a proof"));
    };
    nonces.verify(Role::Client, keys, generation, &tag)?;
    SessionKey::derive(&nonces, keys, generation, Role::Server)
}

/// Prefers the server's current generation, so that sessions follow a key rotation.
fn pick_generation(keys: &ControlKeys, offered: &[KeyGeneration]) -> ControlResult<KeyGeneration> {
    let mut own = keys.generations().into_iter();
    let shared = own.find(|generation| offered.contains(generation));
    shared.ok_or(ControlErrorKind::NoSharedKey)
}

async fn receive(channel: &mut Channel) -> ControlResult<Handshake> {
    let bytes = channel.receive().await?;
    match Handshake::decode(&bytes).map_err(ControlErrorKind::InvalidMessage)? {
        Handshake::Refused(reason) => Err(ControlErrorKind::Refused(reason)),
        message => Ok(message),
    }
}

/// Sends the reason of a refusal to the peer, so that both ends log the same cause.
async fn send_refusal(channel: &mut Channel, result: &ControlResult<SessionKey>) {
    let reason = match result {
        Err(ControlErrorKind::NoSharedKey) => RefusalReason::NoSharedKey,
        Err(ControlErrorKind::WrongKey { .. }) => RefusalReason::WrongKey,
        Err(ControlErrorKind::UnknownVersion { .. }) => RefusalReason::UnknownVersion,
        Err(ControlErrorKind::InvalidMessage(_) | ControlErrorKind::UnexpectedMessage { .. }) => {
            RefusalReason::Unexpected
        }
        _ => return,
    };
    // The connection is closed in any case, so a failure to send the refusal is ignored.
    drop(send(channel, &Handshake::Refused(reason)).await);
}

const fn unexpected(expected: &'static str) -> ControlErrorKind {
    ControlErrorKind::UnexpectedMessage { expected }
}

fn nonce() -> ControlResult<[u8; NONCE_LEN_BYTES]> {
    let mut nonce = [0; NONCE_LEN_BYTES];
    match SystemRandom::new().fill(&mut nonce) {
        Ok(()) => Ok(nonce),
        Err(ring::error::Unspecified) => {
            Err(ControlErrorKind::connection(&"no random bytes available"))
        }
    }
}
