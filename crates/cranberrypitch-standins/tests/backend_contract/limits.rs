//! Connections, slots and cancellation.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_agent::backend::{BackendRequestId, BackendServer, CancelState, RequestInfo};
use cranberrypitch_core::{ConnectionLimit, Slots};
use cranberrypitch_standins::backend::{BackendOptions, BackendStandin, RunOutcome, ServiceTime};
use tokio::time::timeout;

use crate::{
    Report, SERVICE_TIME, info, order, report, runs, spawn, until, until_load, until_settled,
};

/// Guards against an order that fails because its pooled connection was closed meanwhile.
#[tokio::test]
async fn closed_idle_connections_are_replaced() {
    // Connections of other tests take ports of 127.0.0.1, so the restart has an address of its own.
    let own = SocketAddr::from((Ipv4Addr::new(127, 0, 72, 1), 0));
    let (server, backend) = spawn(|options| options.address(own)).await;
    let address = server.address();
    order(&backend, 1).await.expect("first order");
    assert_eq!(server.load().connections, 1);
    order(&backend, 2).await.expect("second order");
    assert_eq!(server.load().connections, 1, "the connection is reused");
    server.kill();
    until(|| server.load().connections == 0).await;
    let again = BackendOptions::new(2).address(address);
    let server = BackendStandin::spawn(again).await.expect("restart");
    order(&backend, 3).await.expect("order after the restart");
    assert_eq!(runs(&server, 3), [RunOutcome::Done]);
}

/// Guards against connections that stay busy after their request was abandoned.
#[tokio::test]
async fn abandoned_requests_close_their_connections() {
    let (server, backend) = spawn(|options| options).await;
    let abandoned = timeout(SERVICE_TIME / 2, order(&backend, 1)).await;
    assert!(abandoned.is_err(), "the order still ran");
    until(|| server.load().connections == 0).await;
    until_settled(&server).await;
    assert_eq!(runs(&server, 1), [RunOutcome::Done]);
}

/// Guards against requests beyond the slots or connections that are not refused as not run.
#[tokio::test]
async fn full_servers_refuse_as_not_run() {
    let long = ServiceTime::Fixed(Duration::from_millis(300));
    let one = Slots::new(1);
    let (server, backend) = spawn(|o| o.slots(one).service_time(long)).await;
    let (first, second) = tokio::join!(order(&backend, 1), async {
        until_load(&server, 0, 1).await;
        order(&backend, 2).await
    });
    assert_eq!(report(first), Report::Done);
    assert_eq!(report(second), Report::NotSent);
    assert_eq!(runs(&server, 2), []);

    let limit = ConnectionLimit::new(1);
    let (server, backend) = spawn(|o| o.connections(limit)).await;
    let feed = backend.feed(&info(3), None).await.expect("feed");
    assert_eq!(report(order(&backend, 4).await), Report::NotSent);
    drop(feed);
    until(|| server.load().connections == 0).await;
    assert_eq!(report(order(&backend, 5).await), Report::Done);
}

/// Guards against cancellations that miss their request, or promise what is not so.
#[tokio::test]
async fn requests_are_cancelled_where_they_stand() {
    let long = ServiceTime::Fixed(Duration::from_secs(30));
    let one = Slots::new(1);
    let (server, backend) = spawn(|o| o.slots(one).service_time(long)).await;
    let patient = |id| RequestInfo {
        start_timeout: Duration::from_secs(5),
        response_timeout: Duration::from_secs(5),
        ..info(id)
    };
    let (first, second) = (patient(1), patient(2));
    let (running, waiting, states) = tokio::join!(
        backend.order(&first, Bytes::from_static(b"{}")),
        async {
            until_load(&server, 0, 1).await;
            backend.order(&second, Bytes::from_static(b"{}")).await
        },
        async {
            until_load(&server, 1, 1).await;
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
    assert_eq!(report(waiting), Report::NotSent);
    assert_eq!(report(running), Report::Failed(409));
    assert_eq!(runs(&server, 1), [RunOutcome::Cancelled]);
    assert_eq!(runs(&server, 2), []);
}
