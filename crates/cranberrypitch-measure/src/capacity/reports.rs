//! Processor time and memory of load reports at a balancer, over its real sockets.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use cranberrypitch_core::{
    Announcement, ConnectionLimit, FailureDomain, Incarnation, Revision, ServiceName, ServiceTag,
    Slots, TargetLoad, TargetState, VmId,
};
use cranberrypitch_proto::report::Report;
use cranberrypitch_proto::tunnel::{DatagramKind, Header};
use tokio::runtime::Builder;

use super::{CapacityRow, to_f64};
use crate::errors::Result;
use crate::forward::Balancer;
use crate::process::{Memory, thread_time};

const CONTROL_THREAD: &str = "balancer-control";
const TRAFFIC_THREAD: &str = "balancer-traffic";

/// The numbers of targets and services: two targets per service, like 110,000 targets with 57,000
/// services.
const FLEET_SIZES: [(u32, u32); 3] = [(1000, 500), (4000, 2000), (16_000, 8000)];

/// The numbers of targets and services, with a constant number of targets.
const SERVICE_SIZES: [(u32, u32); 3] = [(2000, 1000), (2000, 100), (2000, 10)];

/// The number of reports in flight.
const WINDOW: u32 = 32;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum duration of a round; after it the results count the answered reports only.
const ROUND_TIMEOUT: Duration = Duration::from_secs(10);

const IDLE_TIME: Duration = Duration::from_secs(2);

const AGENT_PORT: u16 = 20_917;

/// The results of one fleet.
struct FleetResult {
    /// Processor time of the control thread per report.
    control_us: f64,
    /// Processor time of the traffic thread per report.
    traffic_us: f64,
    /// Processor time of the control thread per second without reports.
    idle_ms_per_s: f64,
    bytes_per_target: f64,
    answered_fraction: f64,
}

pub(super) fn measure() -> Result<Vec<CapacityRow>> {
    let mut rows = Vec::new();
    for (targets, services) in FLEET_SIZES {
        let result = measure_fleet(targets, services)?;
        let mut push = |quantity, value, unit| {
            rows.push(CapacityRow {
                quantity,
                size_unit: "target",
                size: targets,
                value,
                unit,
            });
        };
        push("control thread, one report", result.control_us, "us");
        push("traffic thread, one report", result.traffic_us, "us");
        push(
            "control thread, no reports",
            result.idle_ms_per_s,
            "ms each s",
        );
        push("memory of one target", result.bytes_per_target, "bytes");
        push("reports answered", result.answered_fraction, "of all");
    }
    for (targets, services) in SERVICE_SIZES {
        let result = measure_fleet(targets, services)?;
        rows.push(CapacityRow {
            quantity: "control thread, one report of a service",
            size_unit: "target of the service",
            size: targets / services,
            value: result.control_us,
            unit: "us",
        });
    }
    Ok(rows)
}

fn measure_fleet(targets: u32, services: u32) -> Result<FleetResult> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let balancer = runtime.block_on(Balancer::start())?;
    let fleet = Fleet {
        balancer: &balancer,
        targets,
        services,
    };
    let before = Memory::read()?;
    let announced = fleet.report_all(0)?;
    let allocated_bytes = Memory::read()?.since(before).allocated_bytes;
    let control = thread_time(CONTROL_THREAD)?;
    let traffic = thread_time(TRAFFIC_THREAD)?;
    let answered = fleet.report_all(1)?;
    let control_used = thread_time(CONTROL_THREAD)?.saturating_sub(control);
    let traffic_used = thread_time(TRAFFIC_THREAD)?.saturating_sub(traffic);
    let idle = thread_time(CONTROL_THREAD)?;
    std::thread::sleep(IDLE_TIME);
    let idle_used = thread_time(CONTROL_THREAD)?.saturating_sub(idle);
    balancer.handle.kill();
    let us_per_report = |used: Duration| used.as_secs_f64() * 1e6 / f64::from(answered.max(1));
    Ok(FleetResult {
        control_us: us_per_report(control_used),
        traffic_us: us_per_report(traffic_used),
        idle_ms_per_s: idle_used.as_secs_f64() * 1e3 / IDLE_TIME.as_secs_f64(),
        bytes_per_target: to_f64(allocated_bytes) / f64::from(announced.max(1)),
        answered_fraction: f64::from(answered) / f64::from(targets),
    })
}

struct Fleet<'a> {
    balancer: &'a Balancer,
    targets: u32,
    services: u32,
}

impl Fleet<'_> {
    /// Sends one report per target and returns the number of reports that were answered.
    fn report_all(&self, sequence: u64) -> Result<u32> {
        let start = Instant::now();
        let mut answered = 0;
        for first in (0..self.targets).step_by(WINDOW as usize) {
            if start.elapsed() > ROUND_TIMEOUT {
                break;
            }
            let end = self.targets.min(first + WINDOW);
            let sockets: Result<Vec<_>> = (first..end)
                .map(|n| self.send_report(n, sequence))
                .collect();
            let mut answer = [0; 1500];
            for socket in sockets? {
                answered += u32::from(socket.recv_from(&mut answer).is_ok());
            }
        }
        Ok(answered)
    }

    fn send_report(&self, number: u32, sequence: u64) -> Result<UdpSocket> {
        let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 77, 0, 1)) + number);
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, AGENT_PORT))?;
        socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let service = ServiceName::try_new(&format!("service-{}", number % self.services))?;
        let tag = ServiceTag::of(&service);
        let incarnation = Incarnation::new(1);
        let announcement = Announcement {
            vm: VmId::try_new(&format!("target-{ip}"))?,
            failure_domain: FailureDomain::try_new("domain-1")?,
            service,
            connection_limit: ConnectionLimit::new(2000),
        };
        let report = Report {
            incarnation,
            sequence,
            state: TargetState::Ready,
            revision: Revision::new(1),
            load: TargetLoad {
                slots: Slots::new(4),
                running: number % 5,
                waiting: 0,
                connections: number % 1000,
            },
            announcement: (sequence == 0).then_some(announcement),
        };
        let header = Header::without_caller(DatagramKind::Report, tag, incarnation.low_u16());
        let mut datagram = Vec::new();
        let keys = self.balancer.keys.tunnel_keys();
        header.encode(&report.encode()?, &keys, &mut datagram);
        socket.send_to(&datagram, self.balancer.tunnel_address)?;
        Ok(socket)
    }
}
