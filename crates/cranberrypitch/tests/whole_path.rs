//! Feeds, orders and uploads end to end, through a fabric that sends each packet to any balancer.

mod common;

use std::time::Duration;

use common::{feed_options, order_body, order_options, runs_of, small, upload_options};
use cranberrypitch_caller::{Feed, place_order, upload};
use cranberrypitch_core::Outcome;
use cranberrypitch_standins::Deployment;

const UPLOAD_TIMEOUT: Duration = Duration::from_secs(10);

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
