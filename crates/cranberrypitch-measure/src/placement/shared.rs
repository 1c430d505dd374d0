//! One queue in front of all targets, which sees everything: the bound.

use std::time::{Duration, Instant};

use super::calendar::Calendar;
use super::options::Options;
use super::queue::{DEADLINE, OrganisationQueues, Waiting};
use super::report::Row;
use super::statistics::{Gauge, Statistics};
use super::workload::{FlowKind, WARM_UP, Workload};

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    Finish(usize),
    FeedEnd(usize),
    Window,
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
    calendar: Calendar<Event>,
    queue: OrganisationQueues,
    servers: Vec<Server>,
    statistics: Statistics,
}

pub(crate) fn run(options: &Options, workload: &Workload) -> Row {
    let start = Instant::now();
    let server = || Server {
        running: 0,
        flows: 0,
        requests: Gauge::new(start),
    };
    let mut shared = SharedQueue {
        options,
        workload,
        start,
        now: start,
        calendar: Calendar::new(start),
        queue: OrganisationQueues::new(options.organisations),
        servers: (0..options.targets).map(|_| server()).collect(),
        statistics: Statistics::new(options.organisations),
    };
    shared.run();
    shared.statistics.row("shared-queue", false, 1.0)
}

impl SharedQueue<'_> {
    fn run(&mut self) {
        if let Some(first) = self.workload.flows.first() {
            self.calendar.add(self.start + first.at, Event::Arrive(0));
        }
        self.calendar.add(self.start + WARM_UP, Event::Window);
        while let Some((at, event)) = self.calendar.pop() {
            if at > self.start + self.workload.end {
                return;
            }
            self.now = at;
            match event {
                Event::Arrive(flow) => self.arrive(flow),
                Event::Finish(server) => self.finish(server),
                Event::FeedEnd(server) => self.servers[server].flows -= 1,
                Event::Window => self.close_window(),
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        if let Some(next) = self.workload.flows.get(index + 1) {
            self.calendar
                .add(self.start + next.at, Event::Arrive(index + 1));
        }
        let flow = self.workload.flows[index];
        match flow.kind {
            FlowKind::Feed(length) => {
                let flows = |server: &usize| self.servers[*server].flows;
                let fewest = (0..self.servers.len()).min_by_key(flows).unwrap_or(0);
                self.servers[fewest].flows += 1;
                self.calendar.add(self.now + length, Event::FeedEnd(fewest));
            }
            FlowKind::Request(_) => self.queue_request(index, flow.organisation),
        }
    }

    fn queue_request(&mut self, flow: usize, organisation: usize) {
        if self.is_measured(flow) {
            self.statistics.asked[organisation] += 1;
        }
        let waiting = Waiting {
            flow,
            since: self.now,
        };
        if !self.queue.push(organisation, waiting) {
            self.refuse(flow);
        }
        self.start_waiting();
    }

    fn finish(&mut self, server: usize) {
        let done = &mut self.servers[server];
        done.running -= 1;
        done.flows -= 1;
        done.requests.set(done.running, self.now);
        self.start_waiting();
    }

    fn start_waiting(&mut self) {
        for flow in self.queue.expire(self.now) {
            self.refuse(flow);
        }
        loop {
            let load =
                |server: &usize| (self.servers[*server].running, self.servers[*server].flows);
            let least = (0..self.servers.len()).min_by_key(load).unwrap_or(0);
            if self.servers[least].running >= self.options.slots {
                return;
            }
            let Some(waiting) = self.queue.pop() else {
                return;
            };
            self.start_request(least, waiting);
        }
    }

    fn start_request(&mut self, server: usize, waiting: Waiting) {
        let wait = self.now - waiting.since;
        if wait > DEADLINE {
            self.refuse(waiting.flow);
            return;
        }
        let flow = self.workload.flows[waiting.flow];
        if self.is_measured(waiting.flow) {
            self.statistics.add_wait(flow.organisation, wait);
        }
        let target = &mut self.servers[server];
        target.running += 1;
        target.flows += 1;
        target.requests.set(target.running, self.now);
        if let FlowKind::Request(service) = flow.kind {
            self.calendar.add(self.now + service, Event::Finish(server));
        }
    }

    fn refuse(&mut self, flow: usize) {
        self.statistics.refusals += u32::from(self.is_measured(flow));
    }

    fn is_measured(&self, flow: usize) -> bool {
        self.workload.flows[flow].at >= WARM_UP
    }

    fn close_window(&mut self) {
        let now = self.now;
        let requests = self.servers.iter_mut().map(|s| s.requests.take(now));
        let requests: Vec<f64> = requests.collect();
        let flows: Vec<f64> = self.servers.iter().map(|s| f64::from(s.flows)).collect();
        self.statistics.add_window(&requests, &flows);
        self.calendar
            .add(now + Duration::from_secs(1), Event::Window);
    }
}
