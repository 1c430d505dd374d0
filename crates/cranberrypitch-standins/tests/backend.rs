//! Tests of the stand-in for a backend server, over its HTTP interface.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant, SystemTime};

use cranberrypitch_core::RequestClass;
use cranberrypitch_standins::backend::{
    BackendOptions, BackendStandin, JournalEntry, RunOutcome, ServiceTime, reading_json,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Sends a request on a new connection and returns the head and body of the response.
async fn exchange(address: SocketAddr, line: &str, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let len_bytes = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nhost: standin\r\nconnection: close\r\n\
         content-length: {len_bytes}\r\n{headers}\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("response");
    response
}

async fn order(address: SocketAddr, id: &str, body: &str) -> String {
    let headers = format!("x-request-id: {id}\r\nx-tenant: shop-1\r\nx-deadline-ms: 1000\r\n");
    exchange(address, "POST /orders", &headers, body).await
}

/// Guards against a journal that doesn't record the second run of an order.
#[tokio::test]
async fn journal_records_both_runs_of_an_order() {
    let server = BackendStandin::spawn(BackendOptions::new(1)).await;
    let server = server.expect("server");
    let address = server.address();
    for id in ["a", "b"] {
        let response = order(address, id, r#"{"key":"pair-7"}"#).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    let response = exchange(address, "GET /journal", "", "").await;
    let (_, body) = response.split_once("\r\n\r\n").expect("a body");
    let journal: Vec<JournalEntry> = serde_json::from_str(body).expect("journal");
    let ids: Vec<_> = journal.iter().map(|e| &*e.request_id).collect();
    assert_eq!(ids, ["a", "b"]);
    for entry in &journal {
        assert_eq!(entry.order_key.as_deref(), Some("pair-7"));
        assert_eq!(
            (entry.class, &*entry.organisation),
            (RequestClass::Order, "shop-1")
        );
        assert_eq!(entry.outcome, RunOutcome::Done);
        assert!(entry.finished_at > Some(entry.started_at), "{entry:?}");
    }
}

/// Guards against refusals without the header that the request was not run.
#[tokio::test]
async fn refusals_promise_that_nothing_ran() {
    let server = BackendStandin::spawn(BackendOptions::new(1)).await;
    let server = server.expect("server");
    let address = server.address();
    let expired = "x-request-id: a\r\nx-tenant: t\r\nx-deadline-ms: 0\r\n";
    let cases = [
        ("no id", "x-tenant: t\r\n", "400"),
        ("no organisation", "x-request-id: a\r\n", "400"),
        ("expired deadline", expired, "503"),
    ];
    for (name, headers, status) in cases {
        let response = exchange(address, "POST /orders", headers, "{}").await;
        let expected = format!("HTTP/1.1 {status}");
        assert!(response.starts_with(&expected), "{name}: {response}");
        assert!(response.contains("x-not-run: true"), "{name}: {response}");
    }
    let drained = exchange(address, "POST /drain", "", "").await;
    assert!(drained.starts_with("HTTP/1.1 202"), "{drained}");
    let response = order(address, "b", "{}").await;
    assert!(response.contains("x-not-run: true"), "{response}");
    assert_eq!(server.journal(), []);
}

/// Guards against a cold start that has no effect or never ends.
#[tokio::test]
async fn cold_start_slows_runs_for_its_duration() {
    let duration = Duration::from_millis(100);
    let service_time = Duration::from_millis(30);
    let options = BackendOptions::new(1)
        .service_time(ServiceTime::Fixed(service_time))
        .cold_start(duration, 5.0);
    let server = BackendStandin::spawn(options).await.expect("server");
    let mut times = Vec::new();
    for id in ["cold", "warm"] {
        let start = Instant::now();
        order(server.address(), id, "{}").await;
        times.push(start.elapsed());
    }
    assert!(times[0] >= service_time * 5, "{times:?}");
    assert!(times[1] < service_time * 5, "{times:?}");
}

/// Guards against a killed server whose runs continue.
#[tokio::test]
async fn kill_interrupts_runs() {
    let long_service_time = ServiceTime::Fixed(Duration::from_secs(10));
    // Connections of other tests could take the port on 127.0.0.1 after the kill.
    let own_address = SocketAddr::from((Ipv4Addr::new(127, 0, 73, 1), 0));
    let options = BackendOptions::new(1)
        .service_time(long_service_time)
        .address(own_address);
    let server = BackendStandin::spawn(options).await.expect("server");
    let address = server.address();
    let (response, ()) = tokio::join!(order(address, "a", "{}"), async {
        while server.load().running == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        server.kill();
    });
    assert_eq!(response, "");
    let deadline = Instant::now() + Duration::from_secs(10);
    while server.load().connections > 0 || server.journal()[0].finished_at.is_none() {
        assert!(Instant::now() < deadline, "still running");
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(server.journal()[0].outcome, RunOutcome::Interrupted);
    assert!(TcpStream::connect(address).await.is_err(), "still listens");
}

/// Guards against readings that differ between servers, and a newest reading that doesn't match the
/// time.
#[tokio::test]
async fn feeds_start_at_the_newest_reading() {
    let interval = Duration::from_secs(100);
    let epoch = SystemTime::now() - Duration::from_secs(750);
    let headers = "x-request-id: a\r\nx-tenant: t\r\n";
    let mut responses = Vec::new();
    for seed in [1, 2] {
        let options = BackendOptions::new(seed)
            .feed_seed(5)
            .feed_epoch(epoch)
            .reading_interval(interval)
            .readings_per_feed(1);
        let server = BackendStandin::spawn(options).await.expect("server");
        responses.push(exchange(server.address(), "GET /feeds", headers, "").await);
    }
    for response in responses {
        assert!(response.contains("x-first-sequence: 7\r\n"), "{response}");
        assert!(response.contains(&reading_json(5, 7)), "{response}");
    }
}
