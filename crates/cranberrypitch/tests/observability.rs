//! Log lines and metrics of the daemons as separate processes.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use common::processes::Processes;
use common::{order_body, organisation};
use cranberrypitch_caller::{OrderOptions, place_order};
use cranberrypitch_core::{Outcome, Revision};

/// Longer than the interval between two metrics samples on a busy machine.
const METRICS_TIMEOUT: Duration = Duration::from_secs(20);

/// Longer than a pause of three seconds, which a process logs. The balancer may log the silent
/// agent earlier, because it counts from the last report.
const SUSPENSION: Duration = Duration::from_millis(4500);

fn receiver() -> UdpSocket {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    let timeout = Some(Duration::from_millis(100));
    receiver.set_read_timeout(timeout).unwrap();
    receiver
}

/// Returns the metric names of `expected` that were not received in time.
fn missing_metrics(receiver: &UdpSocket, expected: &[&str]) -> Vec<String> {
    let mut missing: Vec<_> = expected.iter().map(ToString::to_string).collect();
    let deadline = Instant::now() + METRICS_TIMEOUT;
    let mut buffer = [0; 2048];
    while !missing.is_empty() && Instant::now() < deadline {
        let Ok(len_bytes) = receiver.recv(&mut buffer) else {
            continue;
        };
        let text = String::from_utf8_lossy(&buffer[..len_bytes]).into_owned();
        missing.retain(|name| !text.lines().any(|line| line.starts_with(name.as_str())));
    }
    missing
}

/// Guards against daemons whose start, traffic and stop produce no log lines or metrics.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_tell_what_happens() {
    let receiver = receiver();
    let SocketAddr::V4(address) = receiver.local_addr().unwrap() else {
        panic!("bound to IPv4");
    };
    let mut processes = Processes::prepare().await;
    processes.metrics = Some(address);
    processes
        .apply(&processes.text(4), Revision::default())
        .await;
    processes.add_balancer(&[]);
    processes.add_balancer(&[]);
    processes.add_agent(&[]).await;
    processes.wait_until_serving().await;

    let options = OrderOptions {
        endpoint: processes.endpoint(),
        organisation: organisation("santa-maria"),
        deadline: Duration::from_secs(5),
        response_timeout: Duration::from_secs(5),
    };
    let caller = processes.caller();
    let report = place_order(&caller, &options, &order_body("one")).await;
    assert_eq!(report.unwrap().outcome, Outcome::Done);
    let expected = [
        "cranberrypitch.balancer.flows.placed:",
        "cranberrypitch.balancer.datagrams.forwarded:",
        "cranberrypitch.balancer.datagrams.returned:",
        "cranberrypitch.balancer.reports:",
        "cranberrypitch.balancer.targets.ready:1|g",
        "cranberrypitch.balancer.balancers.live:2|g",
        "cranberrypitch.balancer.configuration.revision:1|g",
        "cranberrypitch.balancer.store.calls:",
        "cranberrypitch.agent.requests.done:1|c",
        "cranberrypitch.agent.requests.wait:",
        "cranberrypitch.agent.requests.service:",
        "cranberrypitch.agent.requests.running:0|g",
        "cranberrypitch.agent.balancers.live:2|g",
        "cranberrypitch.agent.store.call:",
    ];
    assert_eq!(missing_metrics(&receiver, &expected), [""; 0]);

    processes.balancers[1].logged("CP0301 ").await;
    processes.agents[0].logged("CP0403 ").await;
    processes.agents[0].logged("CP0506 ").await;

    processes.store.faults().set_down(true);
    processes.balancers[1].logged("CP0801 ").await;
    processes.store.faults().set_down(false);
    processes.balancers[1].logged("CP0802 ").await;

    processes.balancers[0].signal("TERM");
    processes.agents[0].logged("CP0312 ").await;
    assert!(processes.balancers[0].wait().await.success());
    processes.balancers[0].logged("CP0503 ").await;
    processes.agents[0].signal("TERM");
    assert!(processes.agents[0].wait().await.success());
    processes.balancers[1].logged("CP0302 ").await;
    let drained = [
        "cranberrypitch.balancer.drain:",
        "cranberrypitch.agent.drain:",
    ];
    assert_eq!(missing_metrics(&receiver, &drained), [""; 0]);
}

/// Guards against a failure of a balancer or a backend server without a log line of the agent, and
/// against forged datagrams that are not logged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failures_leave_their_lines() {
    let mut processes = Processes::start(2, 1).await;
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for daemon in processes.balancers.iter().chain(&processes.agents) {
        sender.send_to(&[0; 64], daemon.tunnel_address).unwrap();
        daemon.logged("CP0401 ").await;
    }
    processes.balancers[1].signal("KILL");
    processes.balancers[1].wait().await;
    processes.agents[0].logged("CP0313 ").await;
    processes.backends[0].kill();
    processes.agents[0].logged("CP0505 ").await;
}

/// Guards against a target that is suspected, silent or back without log lines of the balancer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_agent_leaves_its_lines() {
    let processes = Processes::start(1, 2).await;
    let (caller, endpoint) = (processes.caller(), processes.endpoint());
    let balancer = &processes.balancers[0];
    processes.agents[0].signal("STOP");
    let suspended_at = tokio::time::Instant::now();
    let connect_repeatedly = async {
        loop {
            if let Ok(connection) = caller.connect(&endpoint, None).await {
                connection.close();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::select! {
        () = connect_repeatedly => {}
        () = balancer.logged("CP0303 ") => {}
    }
    balancer.logged("CP0306 ").await;
    tokio::time::sleep_until(suspended_at + SUSPENSION).await;
    processes.agents[0].signal("CONT");
    balancer.logged("CP0305 ").await;
    processes.agents[0].logged("CP0107 ").await;
}
