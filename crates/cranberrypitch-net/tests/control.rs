//! Contract tests of the control channel, over loopback.

mod common;

use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::wait_for_line;
use cranberrypitch_core::{KeyGeneration, Revision, ServiceName, VmId};
use cranberrypitch_net::control::{ControlHandler, ControlOptions};
use cranberrypitch_net::errors::ControlErrorKind;
use cranberrypitch_net::{ControlClient, ControlServer, Error, KeyRing};
use cranberrypitch_proto::control::{
    BalancerEntry, ConfigHead, ConfigShard, Digest, Handshake, Message, Notice, RefusalReason,
    Request,
};
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::Message as Frame;

const ANY: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0);
const DIGEST: Digest = Digest::new([5; 32]);

struct Handler;

impl ControlHandler for Handler {
    async fn config_head(&self, since: Revision) -> Option<ConfigHead> {
        (since < Revision::new(7)).then(|| head(10))
    }

    async fn config_shard(&self, digest: Digest) -> Option<ConfigShard> {
        let body = Bytes::from(vec![1; 1 << 20]);
        let revision = Revision::new(7);
        (digest == DIGEST).then_some(ConfigShard {
            revision,
            digest,
            body,
        })
    }

    async fn balancers(&self) -> Vec<BalancerEntry> {
        std::future::pending().await
    }

    async fn peer_targets(&self, _: ServiceName) -> Vec<SocketAddrV4> {
        vec![ANY]
    }

    async fn status(&self) -> Box<str> {
        "x".repeat(2 << 20).into()
    }

    async fn goodbye(&self, _: SocketAddr, _: VmId) {}
}

fn head(len_bytes: usize) -> ConfigHead {
    ConfigHead {
        revision: Revision::new(7),
        digest: DIGEST,
        body: Bytes::from(vec![2; len_bytes]),
    }
}

fn vm() -> VmId {
    VmId::try_new("vm-1").expect("a valid name")
}

fn goodbye() -> Notice {
    Notice::Goodbye { vm: vm() }
}

fn v4(address: std::io::Result<SocketAddr>) -> SocketAddrV4 {
    match address {
        Ok(SocketAddr::V4(address)) => address,
        other => panic!("not bound to IPv4: {other:?}"),
    }
}

fn keys(generation: u8, byte: u8) -> Arc<KeyRing> {
    let generation = KeyGeneration::new(generation);
    Arc::new(KeyRing::from_secret(generation, &[byte; 32]))
}

/// Returns a key ring with generations 3 and 4, whose secrets equal those of `keys(3, 3)` and
/// `keys(4, 4)`.
fn both_keys(current: u8) -> Arc<KeyRing> {
    let key = |generation: u8| {
        let secret_hex = format!("{generation:02x}").repeat(32);
        serde_json::json!({ "generation": generation, "secret_hex": secret_hex })
    };
    let text = serde_json::json!({ "current": current, "keys": [key(3), key(4)] });
    let keys = KeyRing::parse(Path::new("keys.json"), &text.to_string());
    Arc::new(keys.expect("the text is valid"))
}

fn options() -> ControlOptions {
    ControlOptions {
        request_timeout: Duration::from_millis(500),
        write_timeout: Duration::from_secs(2),
        handshake_timeout: Duration::from_secs(2),
        ..ControlOptions::default()
    }
}

async fn serve(keys: Arc<KeyRing>, options: ControlOptions) -> (ControlServer, SocketAddrV4) {
    common::record_log();
    let server = ControlServer::bind_with(ANY, keys, Handler, options).await;
    let server = server.expect("a free port");
    let address = v4(Ok(server.local_address()));
    (server, address)
}

async fn refusal(address: SocketAddrV4, keys: &KeyRing) -> ControlErrorKind {
    control_error(ControlClient::connect_with(address, keys, options()).await)
}

fn control_error<T: std::fmt::Debug>(result: Result<T, Error>) -> ControlErrorKind {
    match result {
        Err(Error::Control { kind, .. }) => kind,
        other => panic!("no control error: {other:?}"),
    }
}

async fn wait_until_no_sessions(server: &ControlServer) {
    let wait = async {
        while server.session_count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(5), wait).await;
    waited.expect("the session ends");
}

/// Guards against an answer that is lost or assigned to another request, and a late or too long answer
/// that ends the session.
#[tokio::test]
async fn each_request_gets_its_answer() {
    let (server, address) = serve(keys(3, 3), options()).await;
    let connected =
        ControlClient::connect_with(address, &keys(3, 3), ControlOptions::default()).await;
    let (client, mut notices) = connected.expect("the same key");
    let (head_answer, shard, unknown) = tokio::join!(
        client.config_head(Revision::new(6)),
        client.config_shard(DIGEST),
        client.config_shard(Digest::new([0; 32])),
    );
    assert_eq!(head_answer.expect("answered"), Some(head(10)));
    let shard = shard.expect("answered").expect("it is known");
    assert_eq!(shard.body.len(), 1 << 20);
    assert_eq!(unknown.expect("answered"), None);
    let newer = client.config_head(Revision::new(7)).await;
    assert_eq!(newer.expect("answered"), None);
    let late = control_error(client.balancers().await);
    let too_long = control_error(client.status().await);
    assert_eq!(
        [late, too_long],
        [
            ControlErrorKind::ServerFailed,
            ControlErrorKind::ServerFailed
        ]
    );
    let targets = client
        .peer_targets(ServiceName::try_new("matcher").expect("valid"))
        .await;
    assert_eq!(targets.expect("answered"), [ANY]);
    client.goodbye(vm()).await.expect("answered");
    client.ping().await.expect("answered");
    server.notify(goodbye()).expect("it encodes");
    server.stop().await;
    let notice = notices.next().await.expect("sent before the stop");
    assert_eq!(notice, goodbye());
    assert_eq!(
        control_error(notices.next().await),
        ControlErrorKind::Closed
    );
    assert_eq!(control_error(client.ping().await), ControlErrorKind::Closed);
}

/// Guards against a key rotation during which peers can't connect.
#[tokio::test]
async fn either_generation_opens_a_session() {
    let cases = [
        (both_keys(4), keys(3, 3)),
        (keys(3, 3), both_keys(4)),
        (both_keys(3), both_keys(4)),
        (keys(4, 4), both_keys(3)),
    ];
    for (server_keys, client_keys) in cases {
        let (_server, address) = serve(server_keys, options()).await;
        let connected = ControlClient::connect(address, &client_keys).await;
        let (client, _) = connected.expect("shared key");
        client.ping().await.expect("answered");
    }
}

/// Guards against a wrong or missing key that is accepted, or whose refusal is not logged at both ends.
#[tokio::test]
async fn a_wrong_key_is_refused_and_logged_at_both_ends() {
    let refused = ControlErrorKind::Refused(RefusalReason::NoSharedKey);
    let cases = [
        (
            keys(3, 9),
            ControlErrorKind::WrongKey {
                generation: KeyGeneration::new(3),
            },
            "wrong key",
        ),
        (keys(5, 3), refused, "no shared key generation"),
    ];
    for (client_keys, expected, server_text) in cases {
        let (server, address) = serve(keys(3, 3), options()).await;
        assert_eq!(refusal(address, &client_keys).await, expected);
        wait_for_line("CP0704", &address.to_string()).await;
        wait_for_line("CP0703", server_text).await;
        assert_eq!(server.session_count(), 0);
    }
}

/// Guards against a peer without a key that completes the handshake with any sequence of messages.
#[tokio::test]
async fn peers_without_a_key_are_refused() {
    let hello = |version| {
        let generations = vec![KeyGeneration::new(3)];
        let hello = Handshake::Hello {
            version,
            nonce: [0; 32],
            generations,
        };
        Frame::binary(hello.encode().expect("it encodes"))
    };
    let proof = Handshake::Proof { tag: [0; 32] }
        .encode()
        .expect("it encodes");
    let request = Message::Request {
        id: 1,
        request: Request::StatusQuery,
    };
    let cases = [
        (vec![Frame::binary(vec![0xff; 100])], "malformed handshake"),
        (vec![Frame::binary(vec![0; 513])], "over the limit of 512"),
        (
            vec![Frame::binary(vec![0; 2 << 20])],
            "over the limit of 1064992",
        ),
        (
            vec![Frame::text("hello")],
            "unexpected message instead of a binary frame",
        ),
        (
            vec![Frame::binary(request.encode().expect("it encodes"))],
            "malformed handshake",
        ),
        (
            vec![Frame::binary(proof.clone())],
            "unexpected message instead of a hello",
        ),
        (vec![hello(9)], "protocol version 9 is not known"),
        (
            vec![hello(1), hello(1)],
            "unexpected message instead of a proof",
        ),
        (
            vec![hello(1), Frame::binary(proof)],
            "does not match the key of generation 3",
        ),
        (vec![hello(1)], "timeout: handshake"),
    ];
    for (frames, expected) in cases {
        let (server, address) = serve(keys(3, 3), options()).await;
        let opened = tokio_tungstenite::connect_async(format!("ws://{address}/")).await;
        let (mut socket, _) = opened.expect("the port is open");
        let local = match socket.get_ref() {
            tokio_tungstenite::MaybeTlsStream::Plain(stream) => stream.local_addr(),
            _ => panic!("plain TCP"),
        };
        for frame in frames {
            // The server may have closed the connection already.
            drop(socket.send(frame).await);
        }
        while let Some(Ok(frame)) = socket.next().await {
            let message = Handshake::decode(&frame.into_data());
            assert_ne!(message, Ok(Handshake::Welcome), "{expected}");
        }
        let peer = local.expect("connected");
        wait_for_line(&format!("CP0703 control peer {peer} refused"), expected).await;
        assert_eq!(server.session_count(), 0, "{expected}");
    }
}

/// Guards against a client that waits forever for a server that accepts the connection and sends
/// nothing.
#[tokio::test]
async fn a_silent_server_times_out() {
    let listener = TcpListener::bind(ANY).await.expect("a free port");
    let address = v4(listener.local_addr());
    let expected = ControlErrorKind::Timeout { step: "handshake" };
    assert_eq!(refusal(address, &keys(3, 3)).await, expected);
}

/// Guards against an unbounded number of sessions, which would exhaust the memory of a daemon.
#[tokio::test]
async fn sessions_are_bounded() {
    let bounded = ControlOptions {
        max_sessions: 1,
        ..options()
    };
    let (server, address) = serve(keys(3, 3), bounded).await;
    let first = ControlClient::connect(address, &keys(3, 3))
        .await
        .expect("there is room");
    let busy = ControlErrorKind::Refused(RefusalReason::Busy);
    assert_eq!(refusal(address, &keys(3, 3)).await, busy);
    drop(first);
    wait_until_no_sessions(&server).await;
    ControlClient::connect(address, &keys(3, 3))
        .await
        .expect("there is room again");
}

/// Guards against a peer that does not read, or is frozen, and blocks other peers or keeps its session.
#[tokio::test(flavor = "multi_thread")]
async fn slow_and_frozen_peers_are_dropped() {
    let short = ControlOptions {
        idle_timeout: Duration::from_millis(400),
        ..options()
    };
    let cases = [(options(), 40, "too slow"), (short, 0, "timeout: idle")];
    for (options, notices, expected) in cases {
        let (server, address) = serve(keys(3, 3), options).await;
        // The client's runtime is not polled after the handshake, which freezes the client.
        let frozen = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = runtime.expect("a runtime");
            let client = runtime.block_on(ControlClient::connect(address, &keys(3, 3)));
            (client.expect("the same key"), runtime)
        });
        let frozen = frozen.join().expect("no panic");
        for _ in 0..notices {
            server
                .notify(Notice::ConfigHead(head(1 << 20)))
                .expect("it encodes");
        }
        wait_until_no_sessions(&server).await;
        wait_for_line("CP0705", expected).await;
        tokio::task::spawn_blocking(move || drop(frozen))
            .await
            .expect("no panic");
    }
}

/// Guards against a client that stops reading notices, whose queue would grow without bound.
#[tokio::test]
async fn unread_notices_end_the_session() {
    let (server, address) = serve(keys(3, 3), options()).await;
    let bounded = ControlOptions {
        max_queued_notices: 2,
        ..options()
    };
    let connected = ControlClient::connect_with(address, &keys(3, 3), bounded).await;
    let (client, mut notices) = connected.expect("the same key");
    for _ in 0..3 {
        server.notify(goodbye()).expect("it encodes");
    }
    wait_until_no_sessions(&server).await;
    assert!(client.is_closed());
    for _ in 0..2 {
        notices.next().await.expect("it was in time");
    }
    assert_eq!(
        control_error(notices.next().await),
        ControlErrorKind::Closed
    );
}

/// Guards against a message that is accepted after modification on the path.
#[tokio::test]
async fn changed_messages_end_the_session() {
    let (server, address) = serve(keys(3, 3), options()).await;
    let listener = TcpListener::bind(ANY).await.expect("a free port");
    let proxy = v4(listener.local_addr());
    let (tamper, tampering) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        let (client, _) = listener.accept().await.expect("a client");
        let server = TcpStream::connect(address).await.expect("the server");
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut from_client, &mut to_server).await });
        let mut buffer = [0; 4096];
        while let Ok(len_bytes @ 1..) = from_server.read(&mut buffer).await {
            buffer[len_bytes - 1] ^= u8::from(*tampering.borrow());
            to_client
                .write_all(&buffer[..len_bytes])
                .await
                .expect("the client reads");
        }
    });
    let connected = ControlClient::connect_with(proxy, &keys(3, 3), options()).await;
    let (client, mut notices) = connected.expect("the proxy changes nothing yet");
    client.ping().await.expect("answered");
    tamper.send_replace(true);
    server.notify(goodbye()).expect("it encodes");
    assert_eq!(
        control_error(notices.next().await),
        ControlErrorKind::InvalidSignature
    );
    wait_for_line("CP0705", "message signature does not match").await;
}
