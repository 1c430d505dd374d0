//! Connection limits, slots and cancellation.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_agent::backend::{BackendRequestId, BackendServer, CancelState, RequestInfo};
use cranberrypitch_core::{ConnectionLimit, Slots};
use cranberrypitch_standins::backend::{BackendOptions, BackendStandin, RunOutcome, ServiceTime};
use tokio::time::timeout;

use crate::{
    Outcome, SERVICE_TIME, info, order, outcome, runs, spawn, wait_until, wait_until_load,
    wait_until_runs_ended,
};

/// Guards against an order that fails because the server closed its idle pooled connection.
#[tokio::test]
async fn closed_idle_connections_are_replaced() {
    // Connections of other tests could take the port on 127.0.0.1 before the restart.
    let own_address = SocketAddr::from((Ipv4Addr::new(127, 0, 72, 1), 0));
    let (server, backend) = spawn(|options| options.address(own_address)).await;
    let address = server.address();
    order(&backend, 1).await.expect("first order");
    assert_eq!(server.load().connections, 1);
    order(&backend, 2).await.expect("second order");
    assert_eq!(server.load().connections, 1, "the connection is reused");
    server.kill();
    wait_until(|| server.load().connections == 0).await;
    let restart_options = BackendOptions::new(2).address(address);
    let server = BackendStandin::spawn(restart_options)
        .await
        .expect("restart");
    order(&backend, 3).await.expect("order after the restart");
    assert_eq!(runs(&server, 3), [RunOutcome::Done]);
}

/// Guards against connections that stay open after their request was abandoned.
#[tokio::test]
async fn abandoned_requests_close_their_connections() {
    let (server, backend) = spawn(|options| options).await;
    let abandoned = timeout(SERVICE_TIME / 2, order(&backend, 1)).await;
    assert!(
        abandoned.is_err(),
        "the order finished before it was abandoned"
    );
    wait_until(|| server.load().connections == 0).await;
    wait_until_runs_ended(&server).await;
    assert_eq!(runs(&server, 1), [RunOutcome::Done]);
}

/// Guards against requests over the slot or connection limit that are not refused as not run.
#[tokio::test]
async fn full_servers_refuse_as_not_run() {
    let long_service_time = ServiceTime::Fixed(Duration::from_millis(300));
    let one_slot = Slots::new(1);
    let (server, backend) = spawn(|o| o.slots(one_slot).service_time(long_service_time)).await;
    let (first, second) = tokio::join!(order(&backend, 1), async {
        wait_until_load(&server, 0, 1).await;
        order(&backend, 2).await
    });
    assert_eq!(outcome(first), Outcome::Done);
    assert_eq!(outcome(second), Outcome::NotRun);
    assert_eq!(runs(&server, 2), []);

    let limit = ConnectionLimit::new(1);
    let (server, backend) = spawn(|o| o.connection_limit(limit)).await;
    let feed = backend.feed(&info(3), None).await.expect("feed");
    assert_eq!(outcome(order(&backend, 4).await), Outcome::NotRun);
    drop(feed);
    wait_until(|| server.load().connections == 0).await;
    assert_eq!(outcome(order(&backend, 5).await), Outcome::Done);
}

/// Guards against cancellations without effect, or with a wrong reported state.
#[tokio::test]
async fn waiting_and_running_requests_are_cancelled() {
    let long_service_time = ServiceTime::Fixed(Duration::from_secs(30));
    let one_slot = Slots::new(1);
    let (server, backend) = spawn(|o| o.slots(one_slot).service_time(long_service_time)).await;
    let with_long_timeouts = |id| RequestInfo {
        start_timeout: Duration::from_secs(5),
        response_timeout: Duration::from_secs(5),
        ..info(id)
    };
    let (first, second) = (with_long_timeouts(1), with_long_timeouts(2));
    let (running, waiting, states) = tokio::join!(
        backend.order(&first, Bytes::from_static(b"{}")),
        async {
            wait_until_load(&server, 0, 1).await;
            backend.order(&second, Bytes::from_static(b"{}")).await
        },
        async {
            wait_until_load(&server, 1, 1).await;
            let withdrawn = backend.cancel(BackendRequestId::new(2)).await;
            let stopped = backend.cancel(BackendRequestId::new(1)).await;
            let absent = backend.cancel(BackendRequestId::new(3)).await;
            [withdrawn, stopped, absent].map(|state| state.expect("cancel"))
        },
    );
    let expected = [
        CancelState::Withdrawn,
        CancelState::Stopped,
        CancelState::Absent,
    ];
    assert_eq!(states, expected);
    assert_eq!(outcome(waiting), Outcome::NotRun);
    assert_eq!(outcome(running), Outcome::Failed(409));
    assert_eq!(runs(&server, 1), [RunOutcome::Cancelled]);
    assert_eq!(runs(&server, 2), []);
}
