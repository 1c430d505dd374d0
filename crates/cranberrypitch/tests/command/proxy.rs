//! The verb `proxy`, with plain TCP callers of a small deployment.

use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use super::callers::{Fixture, hash_of};
use crate::common::runs_of;

/// Longer than any step takes on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

struct Proxy {
    child: Child,
    address: String,
}

impl Proxy {
    async fn start(fixture: &Fixture, options: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cranberrypitch"));
        command
            .args(["proxy", "--listen", "127.0.0.1:0"])
            .args(fixture.endpoint());
        command
            .args(options)
            .stdout(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn().unwrap();
        let mut line = String::new();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        timeout(STEP_TIMEOUT, stdout.read_line(&mut line))
            .await
            .unwrap()
            .unwrap();
        let address = line
            .trim_end()
            .strip_prefix("listening on ")
            .unwrap()
            .into();
        Self { child, address }
    }

    async fn connect(&self) -> BufReader<TcpStream> {
        BufReader::new(TcpStream::connect(&self.address).await.unwrap())
    }
}

async fn send(stream: &mut BufReader<TcpStream>, line: &str, body: &[u8]) {
    let message = [line.as_bytes(), b"\n", body].concat();
    stream.get_mut().write_all(&message).await.unwrap();
}

async fn line(stream: &mut BufReader<TcpStream>) -> Value {
    let mut line = String::new();
    timeout(STEP_TIMEOUT, stream.read_line(&mut line))
        .await
        .unwrap()
        .unwrap();
    serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line:?}"))
}

async fn body(stream: &mut BufReader<TcpStream>, line: &Value) -> Vec<u8> {
    let len_bytes = line["body_len_bytes"].as_u64().unwrap();
    let mut body = vec![0; usize::try_from(len_bytes).unwrap()];
    timeout(STEP_TIMEOUT, stream.read_exact(&mut body))
        .await
        .unwrap()
        .unwrap();
    body
}

/// G3: guards against responses that are truncated, mixed up, or lost between two requests of a
/// connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serves_orders_uploads_and_feeds() {
    let fixture = Fixture::start(41).await;
    let proxy = Proxy::start(&fixture, &[]).await;
    let mut stream = proxy.connect().await;
    for key in ["pair-1", "pair-2"] {
        let order = format!(r#"{{"key":"{key}"}}"#);
        let head = format!(r#"{{"class":"order","body_len_bytes":{}}}"#, order.len());
        send(&mut stream, &head, order.as_bytes()).await;
        let response = line(&mut stream).await;
        assert_eq!(response["outcome"], "done", "{response}");
        assert!(
            response["ticket"].as_str().unwrap().starts_with("cp1."),
            "{response}"
        );
        let body = body(&mut stream, &response).await;
        assert!(String::from_utf8(body).unwrap().contains(key));
        assert_eq!(runs_of(&fixture.deployment, key), 1);
    }
    let file = vec![9; 200_000];
    let head = r#"{"class":"upload","tenant":"bench","deadline_ms":9000,"body_len_bytes":200000}"#;
    send(&mut stream, head, &file).await;
    let response = line(&mut stream).await;
    assert_eq!(response["sha256"], hash_of(&file), "{response}");
    send(&mut stream, r#"{"class":"feed"}"#, b"").await;
    let first = line(&mut stream).await["sequence"].as_u64().unwrap();
    assert_eq!(line(&mut stream).await["sequence"], first + 1);
}

/// Guards against a malformed line, a body or a connection over the limit that is accepted, or
/// refused without an error line.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refuses_with_a_typed_line() {
    let fixture = Fixture::start(42).await;
    let proxy = Proxy::start(&fixture, &["--body-limit-bytes", "1000"]).await;
    let long = format!(r#"{{"class":"order","tenant":"{}"}}"#, "x".repeat(5000));
    let cases = [
        ("tea, please", "malformed"),
        (r#"{"class":"meal"}"#, "malformed"),
        (r#"{"class":"order","speed":3}"#, "malformed"),
        (r#"{"class":"order","deadline_ms":0}"#, "malformed"),
        (r#"{"class":"order","resume_from":1}"#, "malformed"),
        (r#"{"class":"feed","body_len_bytes":1}"#, "malformed"),
        (
            r#"{"class":"upload","body_len_bytes":1001}"#,
            "body_too_long",
        ),
        (&long, "line_too_long"),
    ];
    for (sent, expected) in cases {
        let mut stream = proxy.connect().await;
        send(&mut stream, sent, b"").await;
        let response = line(&mut stream).await;
        assert_eq!(response["error"], expected, "{sent}: {response}");
        let mut rest = Vec::new();
        stream.get_mut().shutdown().await.unwrap();
        timeout(STEP_TIMEOUT, stream.read_to_end(&mut rest))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(rest, b"", "{sent}");
    }
    let proxy = Proxy::start(&fixture, &["--connections-max", "1"]).await;
    let mut first = proxy.connect().await;
    send(&mut first, r#"{"class":"feed"}"#, b"").await;
    line(&mut first).await;
    let mut second = proxy.connect().await;
    assert_eq!(line(&mut second).await["error"], "busy");
}

/// G7: guards against a stop that aborts a running request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stops_gracefully() {
    let fixture = Fixture::start(43).await;
    let mut proxy = Proxy::start(&fixture, &[]).await;
    let mut idle = proxy.connect().await;
    let mut stream = proxy.connect().await;
    send(
        &mut stream,
        r#"{"class":"order","body_len_bytes":15}"#,
        br#"{"key":"last"}"#,
    )
    .await;
    // The last byte of the body is sent after the signal.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let id = proxy.child.id().unwrap().to_string();
    let signalled = Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .await
        .unwrap();
    assert!(signalled.success());
    assert_eq!(line(&mut idle).await["error"], "stopping");
    stream.get_mut().write_all(b" ").await.unwrap();
    let response = line(&mut stream).await;
    assert_eq!(response["outcome"], "done", "{response}");
    assert_eq!(
        body(&mut stream, &response).await.len() as u64,
        response["body_len_bytes"]
    );
    assert_eq!(line(&mut stream).await["error"], "stopping");
    drop((idle, stream));
    let status = timeout(STEP_TIMEOUT, proxy.child.wait())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(status.code(), Some(0));
}
