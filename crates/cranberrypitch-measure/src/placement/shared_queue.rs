//! A single queue in front of all targets with complete load information, as the lower bound on
//! waits.

use std::time::{Duration, Instant};

use super::event_queue::EventQueue;
use super::options::Options;
use super::queue::{OrganisationQueues, QueuedRequest, START_DEADLINE};
use super::report::PlacementFigures;
use super::statistics::{Gauge, Statistics};
use super::workload::{FlowKind, WARM_UP, Workload};

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(usize),
    Completion(usize),
    FeedEnd(usize),
    WindowEnd,
}

#[derive(Debug)]
struct Server {
    running: u32,
    flows: u32,
    requests: Gauge,
}

#[derive(Debug)]
struct SharedQueue<'a> {
    options: &'a Options,
    workload: &'a Workload,
    start: Instant,
    now: Instant,
    event_queue: EventQueue<Event>,
    queue: OrganisationQueues,
    servers: Vec<Server>,
    statistics: Statistics,
}

pub(crate) fn run(options: &Options, workload: &Workload) -> PlacementFigures {
    let start = Instant::now();
    let server = || Server {
        running: 0,
        flows: 0,
        requests: Gauge::new(start),
    };
    let mut simulation = SharedQueue {
        options,
        workload,
        start,
        now: start,
        event_queue: EventQueue::new(start),
        queue: OrganisationQueues::new(options.organisations),
        servers: (0..options.targets).map(|_| server()).collect(),
        statistics: Statistics::new(options.organisations),
    };
    simulation.run();
    simulation.statistics.figures("shared-queue", false, 1.0)
}

impl SharedQueue<'_> {
    fn run(&mut self) {
        if let Some(first) = self.workload.flows.first() {
            self.event_queue
                .schedule(self.start + first.arrival, Event::Arrival(0));
        }
        self.event_queue
            .schedule(self.start + WARM_UP, Event::WindowEnd);
        while let Some((at, event)) = self.event_queue.pop() {
            if at > self.start + self.workload.end {
                return;
            }
            self.now = at;
            match event {
                Event::Arrival(flow) => self.on_arrival(flow),
                Event::Completion(server) => self.on_completion(server),
                Event::FeedEnd(server) => self.servers[server].flows -= 1,
                Event::WindowEnd => self.close_window(),
            }
        }
    }

    fn on_arrival(&mut self, index: usize) {
        if let Some(next) = self.workload.flows.get(index + 1) {
            self.event_queue
                .schedule(self.start + next.arrival, Event::Arrival(index + 1));
        }
        let flow = self.workload.flows[index];
        match flow.kind {
            FlowKind::Feed(duration) => {
                let flows = |server: &usize| self.servers[*server].flows;
                let least_loaded = (0..self.servers.len()).min_by_key(flows).unwrap_or(0);
                self.servers[least_loaded].flows += 1;
                self.event_queue
                    .schedule(self.now + duration, Event::FeedEnd(least_loaded));
            }
            FlowKind::Request(_) => self.queue_request(index, flow.organisation),
        }
    }

    fn queue_request(&mut self, flow: usize, organisation: usize) {
        if self.is_measured(flow) {
            self.statistics.arrivals[organisation] += 1;
        }
        let request = QueuedRequest {
            flow,
            arrived_at: self.now,
        };
        if !self.queue.push(organisation, request) {
            self.refuse(flow);
        }
        self.start_waiting_requests();
    }

    fn on_completion(&mut self, server: usize) {
        let completed = &mut self.servers[server];
        completed.running -= 1;
        completed.flows -= 1;
        completed.requests.set(completed.running, self.now);
        self.start_waiting_requests();
    }

    fn start_waiting_requests(&mut self) {
        for flow in self.queue.expire(self.now) {
            self.refuse(flow);
        }
        loop {
            let load =
                |server: &usize| (self.servers[*server].running, self.servers[*server].flows);
            let least_loaded = (0..self.servers.len()).min_by_key(load).unwrap_or(0);
            if self.servers[least_loaded].running >= self.options.slots {
                return;
            }
            let Some(request) = self.queue.pop() else {
                return;
            };
            self.start_request(least_loaded, request);
        }
    }

    fn start_request(&mut self, server: usize, request: QueuedRequest) {
        let wait = self.now - request.arrived_at;
        if wait > START_DEADLINE {
            self.refuse(request.flow);
            return;
        }
        let flow = self.workload.flows[request.flow];
        if self.is_measured(request.flow) {
            self.statistics.record_wait(flow.organisation, wait);
        }
        let target = &mut self.servers[server];
        target.running += 1;
        target.flows += 1;
        target.requests.set(target.running, self.now);
        if let FlowKind::Request(service_time) = flow.kind {
            self.event_queue
                .schedule(self.now + service_time, Event::Completion(server));
        }
    }

    fn refuse(&mut self, flow: usize) {
        self.statistics.refusals += u32::from(self.is_measured(flow));
    }

    fn is_measured(&self, flow: usize) -> bool {
        self.workload.flows[flow].arrival >= WARM_UP
    }

    fn close_window(&mut self) {
        let now = self.now;
        let requests = self
            .servers
            .iter_mut()
            .map(|s| s.requests.take_integral(now));
        let requests: Vec<f64> = requests.collect();
        let flows: Vec<f64> = self.servers.iter().map(|s| f64::from(s.flows)).collect();
        self.statistics.record_window(&requests, &flows);
        self.event_queue
            .schedule(now + Duration::from_secs(1), Event::WindowEnd);
    }
}
