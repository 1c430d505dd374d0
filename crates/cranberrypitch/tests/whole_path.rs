//! Feeds, orders and uploads end to end, through a fabric that sends each packet to any balancer.

mod common;

use std::time::{Duration, Instant};

use common::{feed_options, order_body, order_options, runs_of, small, upload_options};
use cranberrypitch_caller::{Feed, place_order, upload};
use cranberrypitch_core::Outcome;
use cranberrypitch_core::membership::EvacuatedDomains;
use cranberrypitch_standins::Deployment;

const UPLOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The limit on the time to a refusal. Callers of the deployment wait 5 s for a handshake.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against requests that are lost, altered or misdelivered although no component fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serves_feed_order_and_upload_through_sprayed_packets() {
    let deployment = Deployment::start(small(2, 1, 7)).await.unwrap();
    let caller = deployment.caller().unwrap();

    let mut feed = Feed::open(caller.clone(), feed_options(&deployment, "matcher"))
        .await
        .unwrap();
    let first = feed.next().await.unwrap().unwrap().sequence;

    let order = place_order(
        &caller,
        &order_options(&deployment, "matcher"),
        &order_body("quad-1"),
    )
    .await
    .unwrap();
    assert_eq!(order.outcome, Outcome::Done);
    assert!(String::from_utf8_lossy(&order.response_body).contains("quad-1"));
    assert_eq!(runs_of(&deployment, "quad-1"), 1);

    let file: Vec<u8> = (0..3_000_000_u32)
        .map(|n| n.to_le_bytes()[n as usize % 3])
        .collect();
    let options = upload_options(&deployment, "tracer");
    let sent = upload(&caller, &options, &file);
    let report = tokio::time::timeout(UPLOAD_TIMEOUT, sent)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(report.outcome, Outcome::Done);

    for step in 1..10 {
        assert_eq!(feed.next().await.unwrap().unwrap().sequence, first + step);
    }
    assert_eq!(feed.stats().disconnects, 0);
    let used = deployment
        .balancers()
        .iter()
        .filter(|b| b.handle.counters().forwarded() > 0);
    assert_eq!(used.count(), 3, "every balancer must forward packets");
}

/// Guards against an evacuation that breaks an open flow, and against callers that wait for a handshake although
/// every failure domain is evacuated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn evacuation_of_every_domain_refuses_new_flows_at_once_and_keeps_open_ones() {
    let deployment = Deployment::start(small(2, 1, 8)).await.unwrap();
    let caller = deployment.caller().unwrap();
    let mut feed = Feed::open(caller.clone(), feed_options(&deployment, "matcher"))
        .await
        .unwrap();
    let first = feed.next().await.unwrap().unwrap().sequence;
    let targets = deployment.balancers()[0].handle.targets().await.unwrap();
    let domains = targets.into_iter().map(|t| t.announcement.failure_domain);
    let domains: EvacuatedDomains = domains.collect();
    evacuate(&deployment, &domains).await;

    let endpoint = deployment.endpoint(&"matcher".parse().unwrap());
    let started = Instant::now();
    let refused = caller.connect(&endpoint.unwrap(), None).await;
    let elapsed = started.elapsed();
    assert!(refused.is_err(), "a target took a flow");
    assert!(elapsed < REFUSAL_TIMEOUT, "{refused:?} after {elapsed:?}");
    for step in 1..10 {
        assert_eq!(feed.next().await.unwrap().unwrap().sequence, first + step);
    }
    assert_eq!(feed.stats().disconnects, 0);

    evacuate(&deployment, &EvacuatedDomains::new()).await;
    let options = order_options(&deployment, "matcher");
    let order = place_order(&caller, &options, &order_body("quad-2")).await;
    assert_eq!(order.unwrap().outcome, Outcome::Done);
}

async fn evacuate(deployment: &Deployment, domains: &EvacuatedDomains) {
    for balancer in deployment.balancers() {
        let applied = balancer.handle.set_evacuations(domains.clone());
        applied.await.unwrap();
        // The republication is processed before this query.
        balancer.handle.targets().await.unwrap();
    }
}
