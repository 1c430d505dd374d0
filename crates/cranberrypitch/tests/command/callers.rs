//! The verbs for callers, with a small deployment inside the test process.

use std::path::PathBuf;

use cranberrypitch_standins::Deployment;

use super::{Run, file, run, text_of};
use crate::common::{runs_of, service, small};

/// A deployment, and a file with the certificate authority of its services.
pub struct Fixture {
    pub deployment: Deployment,
    address: String,
    ca_file: PathBuf,
}

impl Fixture {
    pub async fn start(seed: u64) -> Self {
        let deployment = Deployment::start(small(2, 0, seed)).await.unwrap();
        let matcher = deployment.endpoint(&service("matcher")).unwrap();
        Self {
            address: matcher.address.to_string(),
            ca_file: file(&format!("ca-{seed}.pem"), deployment.ca_pem()),
            deployment,
        }
    }

    pub fn endpoint(&self) -> Vec<&str> {
        let ca = text_of(&self.ca_file);
        vec![
            "--service",
            "matcher",
            "--address",
            &self.address,
            "--ca",
            ca,
            "--tenant",
            "shop",
        ]
    }

    async fn call(&self, verb: &[&str]) -> Run {
        run(&[verb, &self.endpoint()].concat()).await
    }
}

/// G5: guards against an order that runs again when its outcome is queried, and a ticket that does
/// not lead to its stored response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_is_placed_once_and_asked_for_later() {
    let fixture = Fixture::start(31).await;
    let placed = fixture.call(&["order", "--key", "quad-7"]).await;
    placed.assert_code(0);
    assert!(placed.stdout.contains("quad-7"), "{placed:?}");
    let ticket = placed.stderr.trim().strip_prefix("ticket ").unwrap();
    let endpoint = fixture.endpoint();
    let without_organisation = &endpoint[..endpoint.len() - 2];
    let queried =
        run(&[&["order", "--ask", ticket, "--json"], without_organisation].concat()).await;
    queried.assert_code(0);
    let output = queried.json();
    assert_eq!(
        (&output["outcome"], &output["ticket"]),
        (&"done".into(), &ticket.into())
    );
    assert_eq!(output["answer"], placed.stdout.trim_end());
    assert_eq!(runs_of(&fixture.deployment, "quad-7"), 1);
    // The agent has not issued a ticket with another check value.
    let mut parts: Vec<_> = ticket.split('.').collect();
    parts[4] = "0123456789abcdef";
    let forged = parts.join(".");
    let unknown = run(&[&["order", "--ask", &forged], without_organisation].concat()).await;
    unknown.assert_code(3);
    assert!(
        unknown
            .stderr
            .contains("the outcome of the order is unknown"),
        "{unknown:?}"
    );
}

/// G4: guards against an order that is reported as unknown or done although there is no target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_without_a_target_fails_and_is_not_run() {
    let mut fixture = Fixture::start(32).await;
    for target in fixture.deployment.targets_mut() {
        target.stop().await.unwrap();
    }
    let placed = fixture
        .call(&["order", "--key", "quad-8", "--deadline-ms", "500"])
        .await;
    placed.assert_code(1);
    assert!(
        placed.stderr.contains("no response from matcher"),
        "{placed:?}"
    );
    assert_eq!(runs_of(&fixture.deployment, "quad-8"), 0);
}

/// Guards against a printed hash that differs from that of the file.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upload_prints_the_confirmed_hash() {
    let fixture = Fixture::start(33).await;
    let content = vec![7; 300_000];
    let trace = file("trace.bin", &content);
    let hash = hash_of(&content);
    let sent = fixture.call(&["upload", text_of(&trace)]).await;
    sent.assert_code(0);
    assert_eq!(sent.stdout.trim_end(), hash);
    let sent = fixture.call(&["upload", text_of(&trace), "--json"]).await;
    assert_eq!(sent.json()["sha256"], hash);
}

/// Guards against readings that are missing, repeated or out of order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feed_prints_the_readings_asked_for() {
    let fixture = Fixture::start(34).await;
    let newest = fixture.call(&["feed", "--count", "1", "--json"]).await;
    newest.assert_code(0);
    let from = newest.json()["sequence"].as_u64().unwrap() - 3;
    let arguments = ["feed", "--from", &from.to_string(), "--count", "5"];
    let feed = fixture.call(&arguments).await;
    feed.assert_code(0);
    let read = |line: &str| -> serde_json::Value { serde_json::from_str(line).unwrap() };
    let sequences: Vec<_> = feed
        .stdout
        .lines()
        .map(|l| read(l)["sequence"].as_u64())
        .collect();
    let expected: Vec<_> = (from..from + 5).map(Some).collect();
    assert_eq!(sequences, expected);
}

pub fn hash_of(content: &[u8]) -> String {
    let digest = ring::digest::digest(&ring::digest::SHA256, content);
    let digits = digest.as_ref().iter().map(|byte| format!("{byte:02x}"));
    digits.collect::<Vec<_>>().concat()
}
