//! The verbs for operators, with a stand-in of the store and a control server.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::Arc;

use cranberrypitch_core::{Revision, ServiceName, VmId};
use cranberrypitch_net::control::ControlHandler;
use cranberrypitch_net::store::MemoryStore;
use cranberrypitch_net::{ControlServer, KeyRing};
use cranberrypitch_proto::control::{BalancerEntry, ConfigHead, ConfigShard, Digest};
use cranberrypitch_standins::store::StoreServer;

use super::{Run, file, run, text_of};
use crate::common::VALVES;

const ANY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

struct Fixture {
    store: StoreServer,
    address: String,
    first: PathBuf,
    second: PathBuf,
}

impl Fixture {
    /// Starts an empty store. The second text changes the slots of the first service from 4 to 5.
    async fn start(name: &str) -> Self {
        let store = StoreServer::bind(ANY, MemoryStore::default())
            .await
            .unwrap();
        let second = VALVES.replacen("\"slots\": 4", "\"slots\": 5", 1);
        Self {
            address: store.address().to_string(),
            store,
            first: file(&format!("{name}-1.json"), VALVES),
            second: file(&format!("{name}-2.json"), second),
        }
    }

    async fn apply(&self, text: &std::path::Path, revision: &str) -> Run {
        let text = text_of(text);
        run(&[
            "apply",
            text,
            "--revision",
            revision,
            "--store",
            &self.address,
        ])
        .await
    }

    async fn revision(&self) -> serde_json::Value {
        let status = run(&["status", "--store", &self.address, "--json"]).await;
        status.json()["store"]["configuration"]["revision"].clone()
    }
}

/// Guards against an accepted edit that is not in force, and against a difference that does not
/// show an edit.
#[tokio::test]
async fn texts_are_compared_and_applied() {
    let fixture = Fixture::start("applied").await;
    let (first, second) = (text_of(&fixture.first), text_of(&fixture.second));
    let empty = run(&["status", "--store", &fixture.address]).await;
    empty.assert_code(0);
    assert!(empty.stdout.contains("no configuration"), "{empty:?}");
    let applied = fixture.apply(&fixture.first, "0").await;
    applied.assert_code(0);
    assert_eq!(applied.stdout, "accepted as revision 1\n");
    for older in [
        vec!["--store", &*fixture.address, second],
        vec![first, second],
    ] {
        let diff = run(&[vec!["diff"], older].concat()).await;
        diff.assert_code(0);
        assert_eq!(diff.stdout, "matcher: slots 4 -> 5\n");
    }
    let same = run(&["diff", first, first, "--json"]).await;
    assert_eq!(same.stdout, "{\"changes\":[]}\n");
    assert_eq!(fixture.revision().await, 1);
}

/// Guards against an edit that overwrites another one, and a conflict that does not show the
/// difference.
#[tokio::test]
async fn apply_under_conflict_changes_nothing() {
    let fixture = Fixture::start("conflict").await;
    fixture.apply(&fixture.first, "0").await.assert_code(0);
    let conflicting = fixture.apply(&fixture.second, "0").await;
    conflicting.assert_code(1);
    assert!(
        conflicting.stderr.contains("revision 1 is in force"),
        "{conflicting:?}"
    );
    assert!(
        conflicting.stdout.contains("matcher: slots 4 -> 5"),
        "{conflicting:?}"
    );
    assert_eq!(fixture.revision().await, 1);
}

/// Guards against a wrong outcome while the store fails: an edit that is reported as accepted, or
/// as not accepted although it may be in force.
#[tokio::test]
async fn apply_tells_what_became_of_an_edit_when_the_store_fails() {
    let fixture = Fixture::start("down").await;
    fixture.apply(&fixture.first, "0").await.assert_code(0);
    let faults = fixture.store.faults();
    faults.set_down(true);
    let down = fixture.apply(&fixture.second, "1").await;
    down.assert_code(1);
    assert!(
        down.stderr.contains("not accepted, and nothing changed"),
        "{down:?}"
    );
    let status = run(&["status", "--store", &fixture.address]).await;
    status.assert_code(1);
    faults.set_down(false);
    assert_eq!(fixture.revision().await, 1);
    // The response to the write of the head is lost. Reading it back shows that the edit is in
    // force.
    faults.lose_answers(1, 1);
    let found = fixture.apply(&fixture.second, "1").await;
    found.assert_code(0);
    assert_eq!(fixture.revision().await, 2);
    // The store fails right after that write, so the edit can't be read back.
    faults.lose_answers(1, 1);
    faults.fail_after(4);
    let unknown = fixture.apply(&fixture.first, "2").await;
    unknown.assert_code(3);
    assert!(unknown.stderr.contains("unknown"), "{unknown:?}");
}

/// Guards against an evacuation that is not in the store after its acceptance, that `status` does not show or
/// counts as a balancer, and against a mistyped name that nobody notices.
#[tokio::test]
async fn failure_domain_is_evacuated_until_the_end() {
    let fixture = Fixture::start("evacuated").await;
    fixture.apply(&fixture.first, "0").await.assert_code(0);
    let status = run(&["status", "--store", &fixture.address, "--json"]).await;
    let store = &status.json()["store"];
    assert_eq!(store["evacuated_domains"], serde_json::json!([]));
    let known = "rs-sul";
    assert!(VALVES.contains(known));
    let evacuate = |domain: &'static str, options: &'static [&'static str]| {
        let address = fixture.address.clone();
        async move {
            let request = ["evacuate", domain, "--store", &*address];
            run(&[&request[..], options].concat()).await
        }
    };
    let begun = evacuate(known, &[]).await;
    begun.assert_code(0);
    assert_eq!(
        (&*begun.stdout, &*begun.stderr),
        ("rs-sul: evacuation accepted\n", "")
    );
    let again = evacuate(known, &["--json"]).await;
    assert_eq!(again.json()["outcome"], "already_evacuated");
    let status = run(&["status", "--store", &fixture.address]).await;
    assert!(
        status.stdout.contains("evacuated failure domain rs-sul"),
        "{status:?}"
    );
    assert!(
        status.stdout.contains("balancers in the store: 0"),
        "{status:?}"
    );
    let ended = evacuate(known, &["--end", "--json"]).await;
    ended.assert_code(0);
    assert_eq!(ended.json()["outcome"], "ended");
    let unknown = evacuate("rs-sull", &[]).await;
    unknown.assert_code(0);
    assert!(unknown.stderr.contains("warning: rs-sull"), "{unknown:?}");
    fixture.store.faults().set_down(true);
    evacuate(known, &[]).await.assert_code(1);
}

struct Handler;

impl ControlHandler for Handler {
    async fn config_head(&self, _: Revision) -> Option<ConfigHead> {
        None
    }

    async fn config_shard(&self, _: Digest) -> Option<ConfigShard> {
        None
    }

    async fn balancers(&self) -> Vec<BalancerEntry> {
        vec![BalancerEntry {
            vm: VmId::try_new("entry-1").unwrap(),
            failure_domain: "rs-sul".parse().unwrap(),
            control_address: ANY,
            tunnel_address: ANY,
            is_leaving: true,
        }]
    }

    async fn peer_targets(&self, _: ServiceName) -> Vec<SocketAddrV4> {
        Vec::new()
    }

    async fn status(&self) -> Box<str> {
        r#"{"revision":7}"#.into()
    }

    async fn goodbye(&self, _: SocketAddr, _: VmId) {}
}

/// Guards against a status that is unavailable while the store is down, or served without the keys.
#[tokio::test]
async fn status_over_the_control_channel_needs_the_keys_and_no_store() {
    let keys = |digit: &str| {
        let secret = digit.repeat(64);
        format!(r#"{{"current":1,"keys":[{{"generation":1,"secret_hex":"{secret}"}}]}}"#)
    };
    let (right, wrong) = (
        file("right-keys.json", keys("a")),
        file("wrong-keys.json", keys("b")),
    );
    let ring = Arc::new(KeyRing::load(&right).unwrap());
    let server = ControlServer::bind(ANY, ring, Handler).await.unwrap();
    let address = server.local_address().to_string();
    let status = |file: PathBuf| {
        let address = address.clone();
        async move {
            run(&[
                "status",
                "--control",
                &address,
                "--key-file",
                text_of(&file),
            ])
            .await
        }
    };
    let status_run = status(right).await;
    status_run.assert_code(0);
    assert!(
        status_run.stdout.contains("rs-sul/entry-1"),
        "{status_run:?}"
    );
    assert!(
        status_run.stdout.contains(r#"{"revision":7}"#),
        "{status_run:?}"
    );
    let refused = status(wrong).await;
    refused.assert_code(1);
    assert!(refused.stderr.contains("key"), "{refused:?}");
}
